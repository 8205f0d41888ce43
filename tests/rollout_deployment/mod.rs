//! A deployment on loopback: control servers, gateways and simulated discovery services. Each control server and each
//! gateway is a process of its own. Tests observe them through logs, admin interfaces and the operators' command.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

use crate::harness;
use crate::harness::process::{new_test_folder, wait_for_end, Faults};

/// Longest wait, also on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(90);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of zones, and of control servers, which are the voters as well.
pub const CONTROL_SERVERS: usize = 3;

/// A simulated discovery service that counts its requests.
pub struct Discovery {
    pub address: SocketAddr,
    full_list_requests: Arc<AtomicUsize>,
    watches: Arc<AtomicUsize>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = harness::bind_loopback();
        let address = listener.local_addr().expect("bound");
        let discovery = Discovery { address, full_list_requests: Arc::default(), watches: Arc::default() };
        let (full_lists, watches) = (discovery.full_list_requests.clone(), discovery.watches.clone());
        std::thread::spawn(move || {
            for mut connection in listener.incoming().flatten() {
                let (full_lists, watches) = (full_lists.clone(), watches.clone());
                std::thread::spawn(move || {
                    let mut request = [0; 1024];
                    let count = connection.read(&mut request).unwrap_or(0);
                    let request = String::from_utf8_lossy(&request[..count]).into_owned();
                    if request.contains("index=") {
                        watches.fetch_add(1, Ordering::SeqCst);
                        std::thread::sleep(Duration::from_millis(100));
                    } else if !request.is_empty() {
                        full_lists.fetch_add(1, Ordering::SeqCst);
                    }
                    let body = json!({"rev": 4, "all": false, "targets": []}).to_string();
                    let length = body.len();
                    let _ = write!(connection, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
                });
            }
        });
        discovery
    }

    pub fn full_list_requests(&self) -> usize {
        self.full_list_requests.load(Ordering::SeqCst)
    }

    pub fn watches(&self) -> usize {
        self.watches.load(Ordering::SeqCst)
    }
}

/// A process with its log.
struct Process {
    child: Option<Child>,
    log: Arc<Mutex<Vec<String>>>,
}

/// Where a gateway listens.
pub struct GatewayAddresses {
    pub clients: SocketAddr,
    pub admin: SocketAddr,
}

pub struct Deployment {
    pub folder: PathBuf,
    /// The control servers, then the gateways.
    processes: Vec<Process>,
    pub addresses: Vec<GatewayAddresses>,
    pub discoveries: Vec<Discovery>,
    ended: bool,
}

/// An address that only this deployment uses, so that no other test binds the port of a process while that is down.
fn own_address() -> IpAddr {
    static DEPLOYMENTS: AtomicUsize = AtomicUsize::new(0);
    let deployment = DEPLOYMENTS.fetch_add(1, Ordering::SeqCst) + 1;
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let second = 1 + (high ^ middle) % 254;
    Ipv4Addr::new(127, second, low, u8::try_from(deployment).expect("a few deployments")).into()
}

fn listener(own: IpAddr) -> TcpListener {
    TcpListener::bind((own, 0)).expect("a free port")
}

/// A document; those with different marks differ.
pub fn document(mark: usize) -> Value {
    let mut settings = harness::settings();
    settings["Permissions"]["MaxRetryAfterMs"] = json!(1000 + mark);
    settings.as_object_mut().expect("an object").remove("Zone").expect("each gateway's own");
    json!({ "settings": settings })
}

impl Deployment {
    /// Starts all control servers and this number of gateways. Gateway `n` is in the zone of control server
    /// `n % CONTROL_SERVERS`.
    pub fn new(test: &str, gateways: usize) -> Deployment {
        Deployment::with_hosts(test, gateways, harness::listing(&[]))
    }

    /// The same, with gateways that know these hosts.
    pub fn with_hosts(test: &str, gateways: usize, known: Value) -> Deployment {
        let folder = new_test_folder(test);
        let own = own_address();
        // All ports stay bound until each process has been given its own.
        let datagrams: Vec<UdpSocket> = (0..CONTROL_SERVERS + gateways)
            .map(|_| UdpSocket::bind((own, 0)).expect("a free port"))
            .collect();
        let streams: Vec<TcpListener> = (0..CONTROL_SERVERS + 2 * gateways).map(|_| listener(own)).collect();
        let datagrams_at = |index: usize| datagrams[index].local_addr().expect("bound").to_string();
        let stream_at = |index: usize| streams[index].local_addr().expect("bound");
        let server_list =
            |form: &dyn Fn(usize) -> String| (0..CONTROL_SERVERS).map(form).collect::<Vec<_>>().join(", ");
        let voters = server_list(&|index| format!("c-{index}@{}", datagrams_at(index)));
        let machines = server_list(&|index| format!("zone-{index}/c-{index}@{}", stream_at(index)));
        for index in 0..CONTROL_SERVERS + gateways {
            let path = |kind: &str| folder.join(format!("{kind}-{index}")).display().to_string();
            let ini = format!(
                "[fleet]\nname = {test}\nlisten = {}\nvoters = {voters}\nlease_ms = 900\nprobe_ms = 200\nfile = {}\n\
                 [control]\nmachines = {machines}\nzone = zone-{}\nfile = {}\n",
                datagrams_at(index),
                path("voter"),
                index % CONTROL_SERVERS,
                path("kept"),
            );
            std::fs::write(folder.join(format!("{index}.ini")), ini).expect("written");
        }
        let reversed: Vec<&str> = machines.rsplit(", ").collect();
        let ini = format!(
            "[fleet]\nname = {test}\nlisten = {own}:0\nvoters = {voters}\n[control]\nmachines = {}\n",
            reversed.join(", ")
        );
        std::fs::write(folder.join("reversed.ini"), ini).expect("written");
        let discoveries: Vec<Discovery> = (0..gateways).map(|_| Discovery::start()).collect();
        let mut addresses = Vec::new();
        for (index, discovery) in discoveries.iter().enumerate() {
            let (clients, admin) =
                (stream_at(CONTROL_SERVERS + 2 * index), stream_at(CONTROL_SERVERS + 2 * index + 1));
            let config = json!({"name": format!("gw-{index}"), "listen": clients.to_string(),
                "admin_addr": admin.to_string(), "discovery": discovery.address.to_string(), "seed": "1f",
                "limits": {"sockets": 200, "memory_mb": 48}, "known": known, "settings": harness::settings()});
            std::fs::write(folder.join(format!("{}.json", CONTROL_SERVERS + index)), config.to_string())
                .expect("written");
            addresses.push(GatewayAddresses { clients, admin });
        }
        drop((datagrams, streams));
        let processes =
            (0..CONTROL_SERVERS + gateways).map(|_| Process { child: None, log: Arc::default() }).collect();
        let mut deployment = Deployment { folder, processes, addresses, discoveries, ended: false };
        for index in 0..CONTROL_SERVERS {
            let found =
                deployment.dunemount(&["fleet", "found", "--name", &format!("c-{index}")], index).output();
            assert!(found.expect("it runs").status.success());
        }
        (0..CONTROL_SERVERS + gateways).for_each(|index| deployment.start(index));
        deployment
    }

    /// A command that runs the program with the settings file of a process.
    fn dunemount(&self, args: &[&str], index: usize) -> Command {
        self.with_settings(args, &format!("{index}.ini"))
    }

    fn with_settings(&self, args: &[&str], settings: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunemount"));
        command.args(args).arg("--settings").arg(self.folder.join(settings));
        for variable in ["GW_CONFIG", "GW_SETTINGS", "GW_NAME", "GW_LISTEN", "GW_ADMIN_ADDR", "GW_DISCOVERY"]
        {
            command.env_remove(variable);
        }
        command.env_remove("TMPDIR").stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }

    /// The system faults that are injected into a process.
    pub fn faults(&self, index: usize) -> Faults {
        Faults::at(&self.folder.join(format!("faults-{index}")))
    }

    /// Starts a process; its log is appended to that of earlier starts.
    pub fn start(&mut self, index: usize) {
        let mut command = match index < CONTROL_SERVERS {
            true => self.dunemount(&["fleet", "control", "--name", &format!("c-{index}")], index),
            false => self.serve(index),
        };
        self.faults(index).inject(&mut command);
        self.run(index, &mut command);
    }

    fn serve(&self, index: usize) -> Command {
        let mut command = self.dunemount(&["serve"], index);
        command.arg("--config").arg(self.folder.join(format!("{index}.json")));
        // The process and its successor share this folder for the handover socket.
        let shared = self.folder.join(format!("shared-{index}"));
        std::fs::create_dir_all(&shared).expect("a folder");
        command.env("TMPDIR", shared);
        command
    }

    /// Starts the successor of a gateway's process. It gets an index among the gateways, which is returned, and an
    /// admin interface of its own.
    pub fn start_successor(&mut self, gateway: usize) -> usize {
        let admin = listener(self.addresses[gateway].admin.ip()).local_addr().expect("bound");
        let mut command = self.serve(CONTROL_SERVERS + gateway);
        command.env("GW_ADMIN_ADDR", admin.to_string());
        self.addresses.push(GatewayAddresses { clients: self.addresses[gateway].clients, admin });
        self.processes.push(Process { child: None, log: Arc::default() });
        self.run(self.processes.len() - 1, &mut command);
        self.addresses.len() - 1
    }

    fn run(&mut self, index: usize, command: &mut Command) {
        let mut child = command.spawn().expect("it starts");
        let log = self.processes[index].log.clone();
        let read = |output: Box<dyn Read + Send>| {
            let log = log.clone();
            std::thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    log.lock().expect("no panic").push(line);
                }
            });
        };
        read(Box::new(child.stdout.take().expect("piped")));
        read(Box::new(child.stderr.take().expect("piped")));
        self.processes[index].child = Some(child);
    }

    pub fn signal(&self, index: usize, signal: Signal) {
        let child = self.processes[index].child.as_ref().expect("a running process");
        kill_process(Pid::from_child(child), signal).expect("the signal is sent");
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let child = self.processes[index].child.as_mut();
        child.is_none_or(|child| child.try_wait().expect("a child process").is_some())
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.processes[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends a process by a signal. Returns whether its exit status was success.
    pub fn end_process(&mut self, index: usize) -> bool {
        self.signal(index, Signal::TERM);
        let child = self.processes[index].child.as_mut().expect("a running process");
        let Some(status) = wait_for_end(child) else {
            self.print_logs();
            panic!("timed out waiting for the end of process {index}");
        };
        self.processes[index].child = None;
        status.success()
    }

    /// The lines that a process has logged so far.
    pub fn log(&self, index: usize) -> Vec<String> {
        self.processes[index].log.lock().expect("no panic").clone()
    }

    /// Prints the last log lines of all processes.
    fn print_logs(&self) {
        for (index, process) in self.processes.iter().enumerate() {
            for line in process.log.lock().expect("no panic").iter().rev().take(12).rev() {
                eprintln!("{index}: {line}");
            }
        }
    }

    /// Waits until a condition holds.
    pub fn wait_until(&self, description: &str, condition: impl Fn(&Deployment) -> bool) {
        let began = Instant::now();
        while !condition(self) {
            if began.elapsed() > TIMEOUT {
                self.print_logs();
                eprintln!("{}", self.status());
                panic!("timed out waiting for: {description}");
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    pub fn wait_until_logged(&self, index: usize, words: &str) {
        self.wait_until(&format!("{words} of {index}"), |deployment| {
            deployment.log(index).iter().any(|line| line.contains(words))
        });
    }

    /// Runs `fleet config` with these arguments and a settings file.
    pub fn config(&self, subcommand: &[&str], settings: &str) -> Output {
        let args: Vec<&str> = ["fleet", "config"].iter().chain(subcommand).copied().collect();
        self.with_settings(&args, settings).output().expect("it runs")
    }

    /// Proposes a document: its version number, or the error.
    pub fn propose(&self, document: &Value) -> Result<u64, String> {
        self.propose_with(document, "0.ini")
    }

    pub fn propose_with(&self, document: &Value, settings: &str) -> Result<u64, String> {
        static FILES: AtomicUsize = AtomicUsize::new(0);
        let path = self.folder.join(format!("put-{}.json", FILES.fetch_add(1, Ordering::SeqCst)));
        std::fs::write(&path, format!("{document:#}")).expect("written");
        let output = self.config(&["put", path.to_str().expect("a path")], settings);
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        match output.status.success() {
            true => Ok(number(&stdout).expect("a version")),
            false => Err(String::from_utf8_lossy(&output.stderr).into_owned()),
        }
    }

    /// Retries to propose a document until it is accepted. Returns its version number.
    pub fn propose_until_accepted(&self, document: &Value) -> u64 {
        let began = Instant::now();
        loop {
            match self.propose(document) {
                Ok(number) => return number,
                Err(error) if began.elapsed() > TIMEOUT => panic!("{error}"),
                Err(_) => std::thread::sleep(POLL_INTERVAL),
            }
        }
    }

    /// The output of `fleet config status --json`.
    pub fn status(&self) -> Value {
        let output = self.config(&["status", "--json"], "0.ini");
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    }

    /// The output of `fleet status` for a gateway.
    pub fn fleet_status(&self, gateway: usize) -> String {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunemount"));
        command.args(["fleet", "status", "--admin", &self.addresses[gateway].admin.to_string()]);
        String::from_utf8(command.output().expect("it runs").stdout).expect("text")
    }

    /// The output of `fleet config status`.
    pub fn status_table(&self) -> String {
        let output = self.config(&["status"], "0.ini");
        String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned()
    }

    /// The configuration status of a gateway, by its admin interface.
    pub fn configuration_status(&self, gateway: usize) -> Value {
        let Ok(mut admin) = TcpStream::connect(self.addresses[gateway].admin) else { return Value::Null };
        let mut response = String::new();
        let sent = admin.write_all(b"GET /ops/fleet HTTP/1.1\r\nHost: x\r\n\r\n");
        if sent.and_then(|()| admin.read_to_string(&mut response)).is_err() {
            return Value::Null;
        }
        let body = response.split_once("\r\n\r\n").map(|(_, body)| body).unwrap_or_default();
        let status: Value = serde_json::from_str(body).unwrap_or_default();
        status["configuration"].clone()
    }

    /// Waits until these gateways have this version in force.
    pub fn wait_until_in_force(&self, gateways: impl IntoIterator<Item = usize>, version: u64) {
        for gateway in gateways {
            self.wait_until(&format!("version {version} at gateway {gateway}"), |deployment| {
                deployment.configuration_status(gateway)["version"] == version
            });
        }
    }

    /// Waits until a gateway follows a fresh control server.
    pub fn wait_until_followed(&self, gateway: usize, server: &str) {
        self.wait_until(&format!("{server} followed by {gateway}"), |deployment| {
            let status = deployment.configuration_status(gateway);
            status["machine"] == server && status["cut_off_ms"] == 0
        });
    }

    /// The versions that were in force at a gateway, by its log.
    pub fn versions_in_force(&self, gateway: usize) -> Vec<u64> {
        let log = self.log(CONTROL_SERVERS + gateway);
        let lines = log.iter().filter(|line| line.contains("config: version in force"));
        lines.map(|line| number(line).expect("a version")).collect()
    }

    /// Waits until the logs of these gateways tell that a version was in force. They are written by a thread of their own,
    /// after the status is published, and a kill loses what it has not written.
    pub fn wait_until_log_has(&mut self, gateways: impl IntoIterator<Item = usize>, version: u64) {
        for gateway in gateways {
            self.wait_until("its log says so", |deployment| {
                deployment.versions_in_force(gateway).contains(&version)
            });
        }
    }

    /// Ends a successful test: checks that no gateway went back to an older version, and removes the folder.
    pub fn end(mut self) {
        for gateway in 0..self.addresses.len() {
            let versions = self.versions_in_force(gateway);
            assert!(versions.is_sorted(), "gateway {gateway} went back: {versions:?}");
        }
        self.ended = true;
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        (0..self.processes.len()).for_each(|index| self.kill(index));
        if self.ended {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("settings in {}", self.folder.display());
        }
    }
}

/// The number after the word `version` or `version:`.
fn number(text: &str) -> Option<u64> {
    text.split("version").skip(1).find_map(|rest| {
        let rest = rest.trim_start_matches([':', ' ']);
        rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
    })
}
