//! A gateway process with its CPU time and memory, stand-in hosts, and a discovery server.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use rustix::process::{kill_process, Pid, Signal};
use rustix::time::{clock_gettime, ClockId};
use serde_json::{json, Value};

use super::{gateway_config, target, Setup, HOSTS_PER_GROUP};
use crate::hosts::{self, HostBehavior, HostGroup};

static STARTED_GATEWAYS: AtomicU64 = AtomicU64::new(0);

/// A running gateway; dropping this value kills the process and removes its files.
pub struct GatewayProcess {
    child: Child,
    directory: PathBuf,
    /// Address that clients connect to.
    pub address: SocketAddr,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl GatewayProcess {
    /// Starts a gateway and waits until it logs that it is listening.
    pub fn start(
        setup: &Setup,
        targets: &[Value],
        sockets: usize,
        discovery: &str,
    ) -> Result<GatewayProcess, String> {
        let serial = STARTED_GATEWAYS.fetch_add(1, Ordering::Relaxed);
        let directory = std::env::temp_dir().join(format!("dunemount-slope-{}-{serial}", std::process::id()));
        let file = directory.join("config.json");
        let free_address = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
        let address = free_address.map_err(|e| e.to_string())?;
        let mut config = gateway_config(targets, sockets, discovery)?;
        config["listen"] = json!(address.to_string());
        std::fs::create_dir_all(&directory)
            .and_then(|()| std::fs::write(&file, config.to_string()))
            .map_err(|e| format!("{}: {e}", directory.display()))?;
        let child = Command::new(&setup.gateway)
            .arg("serve")
            .arg("--config")
            .arg(&file)
            .env_remove("TMPDIR")
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}", setup.gateway.display()))?;
        // From here on, dropping this value ends the process if a later step fails.
        let mut gateway = GatewayProcess { child, directory, address };
        let stdout = gateway.child.stdout.take().ok_or("the gateway's standard output is not captured")?;
        let mut lines = BufReader::new(stdout).lines().map_while(Result::ok);
        let listening_line = lines.by_ref().find(|line| line.contains("listening"));
        // Keep draining the pipe: once it is full, the gateway can write no more log lines.
        std::thread::spawn(move || lines.for_each(drop));
        listening_line.ok_or("the gateway closed its output before it logged that it is listening")?;
        Ok(gateway)
    }

    /// CPU time that all its threads have used, in microseconds.
    pub fn cpu_us(&self) -> f64 {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let each = tasks.into_iter().flatten().flatten().map(|task| cpu_ns(&task.path().join("schedstat")));
        each.sum::<f64>() / 1_000.0
    }

    /// Its resident memory, in KiB.
    pub fn memory_kib(&self) -> f64 {
        memory_kib(&self.child.id().to_string())
    }

    /// Makes it reload its configuration, by SIGHUP.
    pub fn reload(&self) -> Result<(), String> {
        let id = Pid::from_child(&self.child);
        kill_process(id, Signal::HUP).map_err(|e| format!("cannot send SIGHUP to the gateway: {e}"))
    }
}

/// CPU time of the thread with this `schedstat` file, in nanoseconds.
fn cpu_ns(path: &std::path::Path) -> f64 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.split_whitespace().next().and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

/// CPU time that the calling thread has used, in microseconds.
pub fn thread_cpu_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Resident memory of a process, in KiB; `self` is the calling process.
pub fn memory_kib(id: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
}

/// Starts the stand-in hosts of `count` groups and returns their targets of the endpoint list.
pub fn start_host_groups(count: usize) -> Result<Vec<Value>, String> {
    let mut group_targets = Vec::new();
    for group in 0..count {
        let group_state = Arc::new(HostGroup::default());
        for member in 0..HOSTS_PER_GROUP {
            let behavior = HostBehavior { lag_ms: 20, value_bytes: 100 };
            let address =
                hosts::start_host(group_state.clone(), member == 0, behavior).map_err(|e| e.to_string())?;
            group_targets.push(target(group * HOSTS_PER_GROUP + member, &address.to_string(), "Ready", 0));
        }
    }
    Ok(group_targets)
}

/// A discovery server that sends the full list to calls without a version. It never answers other calls; it holds the
/// latest 64 of them open.
pub struct DiscoveryServer {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Number of full lists that it has sent.
    pub full_lists_sent: Arc<AtomicU64>,
}

impl DiscoveryServer {
    /// Starts the server; it runs until this process exits.
    pub fn start(targets: &[Value]) -> Result<DiscoveryServer, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let full_lists_sent = Arc::new(AtomicU64::new(0));
        let body = http_response(&json!({"rev": 1, "all": true, "targets": targets}));
        let full_list_count = full_lists_sent.clone();
        std::thread::spawn(move || {
            // Calls that wait for a change are held open, because there are no changes.
            let mut held_calls: Vec<TcpStream> = Vec::new();
            for mut socket in listener.incoming().flatten() {
                let mut bytes = [0; 2048];
                let count = socket.read(&mut bytes).unwrap_or(0);
                if String::from_utf8_lossy(&bytes[..count]).contains("index=") {
                    held_calls.push(socket);
                    held_calls.drain(..held_calls.len().saturating_sub(64));
                } else if socket.write_all(&body).is_ok() {
                    full_list_count.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
        Ok(DiscoveryServer { address, full_lists_sent })
    }
}

/// The bytes of discovery's HTTP response with this body.
pub fn http_response(body: &Value) -> Vec<u8> {
    let body = body.to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
