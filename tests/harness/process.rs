//! The built program as a separate process: its settings, folder, log and signals, and system call faults injected into
//! it.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use dunemount::pg::codec::{self, ReceiveBuffer};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use socket2::{Domain, Protocol, Socket, Type};

use super::{settings, ClientConnection};

/// Longest wait for a process to end by itself, also on a busy machine.
const END_TIMEOUT: Duration = Duration::from_secs(90);
/// Time between two polls of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Creates a folder that no other test uses, nor another call for the same test.
pub fn new_test_folder(test: &str) -> PathBuf {
    static FOLDERS: AtomicUsize = AtomicUsize::new(0);
    let (process, number) = (std::process::id(), FOLDERS.fetch_add(1, Ordering::SeqCst));
    let folder = std::env::temp_dir().join(format!("dunemount-{test}-{process}-{number}"));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Waits until a process has ended by itself, and gives its exit status; `None` if it still runs after
/// [`END_TIMEOUT`].
pub fn wait_for_end(child: &mut Child) -> Option<ExitStatus> {
    let end = Instant::now() + END_TIMEOUT;
    while Instant::now() < end {
        if let Some(status) = child.try_wait().expect("its own child") {
            return Some(status);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    None
}

/// The memory of a process that is no file, in KiB. Zero once it has ended, and while it is a child of the test that has
/// not executed its program yet: then the system shows the memory of the test.
pub fn anonymous_kib(process: u32) -> u64 {
    let program = |id: &str| std::fs::read_link(format!("/proc/{id}/exe")).ok();
    if program(&process.to_string()) == program("self") {
        return 0;
    }
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    kib.map_or(0, |kib| kib.parse().expect("a number"))
}

/// A statement whose last byte was written to a host.
#[derive(Clone, Debug)]
pub struct StatementWrite {
    /// The request's id.
    pub id: String,
    /// The host's port.
    pub port: u16,
    /// The machine's time just before the call that wrote the last byte, in microseconds.
    pub at: u64,
}

/// System call faults injected into processes, in the format described beside the source of the preload library. A test
/// may change them while the processes run.
#[derive(Clone, Debug)]
pub struct Faults {
    script: PathBuf,
}

impl Faults {
    /// The faults of the script in this folder.
    pub fn at(folder: &Path) -> Faults {
        Faults { script: folder.join("faults") }
    }

    /// No faults at first, with the script in this folder.
    pub fn none(folder: &Path) -> Faults {
        let faults = Faults::at(folder);
        faults.set("");
        faults
    }

    /// Replaces the faults by those of this script.
    pub fn set(&self, script: &str) {
        std::fs::create_dir_all(self.script.parent().expect("a folder")).expect("a folder");
        let next = self.script.with_extension("next");
        std::fs::write(&next, script).expect("written");
        std::fs::rename(&next, &self.script).expect("in place");
    }

    /// The earliest time at which the last byte of each statement was written to a host: the machine's time in
    /// microseconds by the request's id and the host's port.
    pub fn sent(&self) -> BTreeMap<(String, u16), u64> {
        self.writes().into_iter().map(|write| ((write.id, write.port), write.at)).collect()
    }

    /// The statements whose last byte was written to a host, in the order of these writes.
    pub fn writes(&self) -> Vec<StatementWrite> {
        let text = std::fs::read_to_string(self.sent_path()).unwrap_or_default();
        let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
        let line = |line: &str| {
            let mut parts = line.split(' ');
            let (time, port, id) = (parts.next()?, parts.next()?, parts.next()?);
            Some(StatementWrite { id: id.to_string(), port: port.parse().ok()?, at: time.parse().ok()? })
        };
        whole.lines().filter_map(line).collect()
    }

    fn sent_path(&self) -> PathBuf {
        self.script.with_extension("sent")
    }

    /// Makes the command run with these faults.
    pub fn inject(&self, command: &mut Command) {
        command.env("LD_PRELOAD", library()).env("FAULTS", &self.script).env("SENT", self.sent_path());
    }
}

/// The preload library that makes system calls fail, built once.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/faults/preload.c");
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let library = folder.join(format!("faults-{}.so", std::process::id()));
        let built = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .arg(&library)
            .args([source, "-ldl"])
            .status()
            .expect("a C compiler");
        assert!(built.success(), "{source}");
        library
    })
}

/// A running gateway.
pub struct Process {
    pub child: Child,
    pub address: SocketAddr,
    pub admin: SocketAddr,
    pub folder: PathBuf,
    /// Keeps its ports reserved where the harness chose them.
    reserved: Vec<Socket>,
}

/// Reserves a port of loopback: while it is bound, without a listener, the system assigns it to no other process,
/// however long the gateway takes to listen there. Sockets that reuse addresses can still be bound to it.
pub fn reserve_port() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).expect("a socket");
    socket.set_reuse_address(true).expect("an option");
    rustix::net::sockopt::set_socket_reuseport(&socket, true).expect("an option");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket
}

/// The options of a process, except its ports and its endpoint list.
#[derive(Clone)]
pub struct ProcessOptions {
    /// The gateway's name.
    pub name: String,
    /// Maximum number of descriptors, in its settings and as the system's limit.
    pub sockets: usize,
    /// Memory limit in its settings.
    pub memory_mib: u64,
    pub discovery: SocketAddr,
    pub settings: Value,
    /// Number of workers.
    pub cores: usize,
    pub faults: Option<Faults>,
}

impl ProcessOptions {
    /// The default settings, one worker, and no faults.
    pub fn with_defaults(name: &str, sockets: usize, discovery: SocketAddr) -> ProcessOptions {
        ProcessOptions {
            name: name.to_string(),
            sockets,
            memory_mib: 48,
            discovery,
            settings: settings(),
            cores: 1,
            faults: None,
        }
    }

    /// The folder that all processes of this name share.
    pub fn folder(&self) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("dunemount-{}-{}", self.name, std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        folder
    }

    /// Starts a process on ports that are free now, and waits until it listens.
    pub fn start(&self, known: &Value) -> Process {
        loop {
            let mut process = self.spawn(known);
            if process.wait_until_listening() {
                return process;
            }
        }
    }

    /// Starts a process on ports that are free now.
    pub fn spawn(&self, known: &Value) -> Process {
        let reserved = [reserve_port(), reserve_port()];
        let [address, admin] = reserved
            .each_ref()
            .map(|socket| socket.local_addr().expect("bound").as_socket().expect("an address"));
        let mut process = self.spawn_at(address, admin, known);
        process.reserved.extend(reserved);
        process
    }

    /// Starts a process on these ports; the log of an earlier process in the same folder continues in its own file.
    pub fn spawn_at(&self, address: SocketAddr, admin: SocketAddr, known: &Value) -> Process {
        let folder = self.folder();
        let config = json!({"name": self.name, "listen": address.to_string(), "admin_addr": admin.to_string(),
            "discovery": self.discovery.to_string(), "seed": "1f",
            "limits": {"sockets": self.sockets, "memory_mb": self.memory_mib}, "known": known,
            "settings": self.settings});
        std::fs::write(folder.join("config.json"), config.to_string()).expect("written");
        let limited = format!("ulimit -n {} && exec \"$0\"", self.sockets);
        let mut command = Command::new("sh");
        command
            .args(["-c", &limited, env!("CARGO_BIN_EXE_dunemount")])
            .env("GW_CONFIG", folder.join("config.json"))
            .env("TMPDIR", &folder)
            .stdout(Stdio::from(std::fs::File::create(folder.join("log")).expect("a file")));
        if self.cores > 1 {
            let options = folder.join("options.ini");
            std::fs::write(&options, format!("[cores]\ncount = {}\n", self.cores)).expect("written");
            command.env("GW_SETTINGS", options);
        }
        if let Some(faults) = &self.faults {
            faults.inject(&mut command);
        }
        Process {
            child: command.spawn().expect("the process starts"),
            address,
            admin,
            folder,
            reserved: Vec::new(),
        }
    }
}

impl Process {
    /// Starts a process with this limit of descriptors, in its settings and in the system, and waits until it listens.
    pub fn start(name: &str, sockets: usize, discovery: SocketAddr, known: Value) -> Process {
        ProcessOptions::with_defaults(name, sockets, discovery).start(&known)
    }

    /// Starts a process on ports that are free now.
    pub fn spawn(name: &str, sockets: usize, discovery: SocketAddr, known: &Value) -> Process {
        ProcessOptions::with_defaults(name, sockets, discovery).spawn(known)
    }

    /// Starts a process on these ports.
    pub fn spawn_at(
        address: SocketAddr,
        admin: SocketAddr,
        name: &str,
        sockets: usize,
        discovery: SocketAddr,
        known: &Value,
    ) -> Process {
        ProcessOptions::with_defaults(name, sockets, discovery).spawn_at(address, admin, known)
    }

    /// Waits until its log reports that it listens. False if it has ended instead: its ports were free when they were
    /// chosen, but another process may have taken one since. A listener on the port proves nothing: it may be that
    /// other process.
    pub fn wait_until_listening(&mut self) -> bool {
        loop {
            if self.log().contains("listening") {
                return true;
            }
            if self.child.try_wait().expect("its own child").is_some() {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a signal to the process. Returns after a stop signal once all of its threads have stopped.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("its own child");
        while signal == Signal::STOP && !self.has_stopped() {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Whether all threads of the process have stopped or ended.
    fn has_stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        tasks.into_iter().flatten().flatten().all(|task| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            let state = stat.rsplit_once(") ").and_then(|(_, fields)| fields.chars().next());
            state.is_none_or(|state| matches!(state, 'T' | 't' | 'Z' | 'X'))
        })
    }

    /// Connects a client and waits for the greeting; reconnects if the gateway closes the connection first, for example
    /// to free a descriptor.
    pub fn client(&self) -> ClientConnection {
        loop {
            let socket = TcpStream::connect(self.address).expect("it listens");
            let mut connection = ClientConnection { socket, inbox: ReceiveBuffer::default() };
            let mut startup = Vec::new();
            codec::write_startup_packet(&mut startup, "app", "shop");
            connection.socket.write_all(&startup).expect("written");
            if connection.answer().pop().is_some_and(|frame| frame.tag == b'Z') {
                return connection;
            }
        }
    }

    /// Connects a client that has sent its startup packet and an empty query, and has read nothing yet.
    pub fn greeting_unread(&self) -> ClientConnection {
        let socket = TcpStream::connect(self.address).expect("accepted by the system");
        let mut connection = ClientConnection { socket, inbox: ReceiveBuffer::default() };
        let mut startup = Vec::new();
        codec::write_startup_packet(&mut startup, "app", "shop");
        codec::write_query(&mut startup, "");
        connection.socket.write_all(&startup).expect("written");
        connection
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).expect("a log")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
