//! A gateway's process, what the kernel says of it, and discovery as it asks for it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use rustix::process::{kill_process, Pid, Signal};
use rustix::time::{clock_gettime, ClockId};
use serde_json::{json, Value};

use super::{configuration, target, Setup, FAMILY};
use crate::hosts::{self, HostBehavior, HostGroup};

static STARTED: AtomicU64 = AtomicU64::new(0);

/// A gateway that ends, and whose files go, with this value.
pub struct Gateway {
    child: Child,
    folder: PathBuf,
    /// Where clients connect.
    pub address: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Gateway {
    /// Starts one and waits until it listens.
    pub fn start(setup: &Setup, known: &[Value], sockets: usize, discovery: &str) -> Result<Gateway, String> {
        let serial = STARTED.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("dunemount-slope-{}-{serial}", std::process::id()));
        let file = folder.join("config.json");
        let free = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
        let address = free.map_err(|e| e.to_string())?;
        let mut config = configuration(known, sockets, discovery)?;
        config["listen"] = json!(address.to_string());
        std::fs::create_dir_all(&folder)
            .and_then(|()| std::fs::write(&file, config.to_string()))
            .map_err(|e| format!("{}: {e}", folder.display()))?;
        let child = Command::new(&setup.gateway)
            .arg("serve")
            .arg("--config")
            .arg(&file)
            .env_remove("TMPDIR")
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}", setup.gateway.display()))?;
        // From here on it ends with this value, whatever goes wrong.
        let mut gateway = Gateway { child, folder, address };
        let lines = gateway.child.stdout.take().ok_or("the gateway has no output")?;
        let mut lines = BufReader::new(lines).lines().map_while(Result::ok);
        let said = lines.by_ref().find(|line| line.contains("listening"));
        // What it says later is read away, or it would stop saying it.
        std::thread::spawn(move || lines.for_each(drop));
        said.ok_or("the gateway did not start")?;
        Ok(gateway)
    }

    /// Processor time so far of all its threads, in microseconds.
    pub fn cpu_us(&self) -> f64 {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let each = tasks.into_iter().flatten().flatten().map(|task| cpu_ns(&task.path().join("schedstat")));
        each.sum::<f64>() / 1_000.0
    }

    /// Memory that it has, in KiB.
    pub fn memory_kib(&self) -> f64 {
        memory_kib(&self.child.id().to_string())
    }

    /// Tells it to read its configuration anew.
    pub fn reload(&self) -> Result<(), String> {
        let id = Pid::from_child(&self.child);
        kill_process(id, Signal::HUP).map_err(|e| format!("SIGHUP: {e}"))
    }
}

fn cpu_ns(path: &std::path::Path) -> f64 {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.split_whitespace().next().and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

/// Processor time of this thread so far, in microseconds.
pub fn own_cpu_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Memory that a process has at present, in KiB; `self` is this one.
pub fn memory_kib(id: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
}

/// Starts stand-in hosts of so many families, and gives their lines of the list.
pub fn families(count: usize) -> Result<Vec<Value>, String> {
    let mut known = Vec::new();
    for family in 0..count {
        let shared = Arc::new(HostGroup::default());
        for member in 0..FAMILY {
            let behavior = HostBehavior { lag_ms: 20, value_bytes: 100 };
            let address =
                hosts::start_host(shared.clone(), member == 0, behavior).map_err(|e| e.to_string())?;
            known.push(target(family * FAMILY + member, &address.to_string(), "Ready", 0));
        }
    }
    Ok(known)
}

/// A discovery that gives the whole list to whoever names no version, and has no news.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whole lists that it has given.
    pub lists: Arc<AtomicU64>,
}

impl Discovery {
    /// Starts one; it ends with this process.
    pub fn start(known: &[Value]) -> Result<Discovery, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let lists = Arc::new(AtomicU64::new(0));
        let body = answer(&json!({"rev": 1, "all": true, "targets": known}));
        let given = lists.clone();
        std::thread::spawn(move || {
            // Calls that wait for news are held open: there are none.
            let mut held: Vec<TcpStream> = Vec::new();
            for mut socket in listener.incoming().flatten() {
                let mut bytes = [0; 2048];
                let count = socket.read(&mut bytes).unwrap_or(0);
                if String::from_utf8_lossy(&bytes[..count]).contains("index=") {
                    held.push(socket);
                    held.drain(..held.len().saturating_sub(64));
                } else if socket.write_all(&body).is_ok() {
                    given.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
        Ok(Discovery { address, lists })
    }
}

/// Discovery's answer with this body, as bytes.
pub fn answer(body: &Value) -> Vec<u8> {
    let body = body.to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
