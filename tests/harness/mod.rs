//! Shared by the tests of the whole gateway: a gateway on loopback sockets, with toy hosts and a toy discovery server
//! in threads of the test.
#![allow(dead_code, reason = "each test binary uses a part of the harness")]

pub mod former_primary;
pub mod process;
pub mod replica_group;
pub mod scripted;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::mpsc::{channel, sync_channel, Receiver, Sender, SyncSender};
use std::sync::{atomic::AtomicBool, atomic::AtomicUsize, atomic::Ordering, Arc};
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

use dunemount::config::ActiveConfig;
use dunemount::hot_restart::handover_socket::HandoverState;
use dunemount::net::event_loop::{Config, Gateway, Signals};
use dunemount::pg::codec::{self, Message, ReceiveBuffer};
use dunemount::settings::Zones;
use dunemount_rollout::version::Document;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

pub fn settings() -> Value {
    json!({
        "Balancers": 1, "Zone": "a", "TickMs": 5.0, "RegistryMode": "pushed",
        "Classes": [
            {"Name": "look", "AimMs": 30000.0, "DeadlineMs": 30000.0, "Value": 1.0, "Effect": "read_like"},
            {"Name": "store", "AimMs": 30000.0, "DeadlineMs": 30000.0, "Value": 2.0, "LateWorth": 0.5,
             "Effect": "idempotency_key", "Group": "cell", "RepeatWindowMs": 30000.0},
            {"Name": "own", "AimMs": 30000.0, "DeadlineMs": 30000.0, "Value": 1.0, "Effect": "read_like"},
            {"Name": "once", "AimMs": 30000.0, "DeadlineMs": 30000.0, "Value": 2.0, "Effect": "non_idempotent"}],
        "Specifics": {"CountedFromMs": 0.0, "NeedsByClass": ["loose", "update", "own_writes", "update"],
                      "ServerChecks": "none",
                      "SessionMarks": "router"},
        "Permissions": {"Cancelling": true, "RetryAfter": true, "MaxRetryAfterMs": 500.0,
                        "ConnIdleMs": 60000.0, "ConnectTimeoutMs": 10000.0, "SendCap": 4},
        "Safety": {"ColdFrom": 0.2, "ColdMs": 9000.0, "FallMs": 2000.0, "StopSendingWithinMs": 500.0,
                   "TipMultiple": 2.0}
    })
}

pub fn listing(endpoints: &[SocketAddr]) -> Value {
    let entry = |(index, endpoint): (usize, &SocketAddr)| {
        json!({"uid": format!("s-{index}"), "endpoint": endpoint.to_string(), "az": "a", "pod_group": 1,
               "state": "Ready", "capacity_hint": 1.0, "boot_ms": 0, "part": if index == 0 { "master" } else { "replica" }})
    };
    let targets: Vec<Value> = endpoints.iter().enumerate().map(entry).collect();
    json!({"rev": 4, "all": true, "targets": targets})
}

/// Answers a call to discovery with an endpoint list.
pub fn answer_discovery(call: &mut TcpStream, list: &Value) {
    let body = list.to_string();
    write!(call, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).expect("written");
}

pub fn bind_loopback() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Whether a process listens at this address. A connection to a free ephemeral port may connect to itself, which does
/// not count.
pub fn listens(address: SocketAddr) -> bool {
    TcpStream::connect(address).is_ok_and(|socket| socket.local_addr().is_ok_and(|own| own != address))
}

/// Reads the next message, or `None` at the end of the connection.
pub fn next_frame(socket: &mut TcpStream, inbox: &mut ReceiveBuffer) -> Option<Message> {
    let mut bytes = [0; 4096];
    loop {
        if let Some(frame) = inbox.next_message_within(|_| usize::MAX).expect("well framed") {
            return Some(frame);
        }
        match socket.read(&mut bytes) {
            Ok(count) if count > 0 => inbox.push(&bytes[..count]),
            _ => return None,
        }
    }
}

/// Switches with which a test controls its toy hosts.
#[derive(Default)]
pub struct HostControls {
    /// Set once a host has injected the fault of a statement that fails at its first attempt only.
    pub fault_injected: AtomicBool,
    /// Lets hosts answer the statements that they hold back.
    pub released: AtomicBool,
    /// Hosts accept connections and send nothing, as after a network failure.
    pub unresponsive: AtomicBool,
}

/// Starts a toy host that reports each received statement to the test. The quoted key of a statement selects its
/// behaviour.
pub fn toy_host(index: u8, host_events: Sender<String>, host_controls: Arc<HostControls>) -> SocketAddr {
    let listener = bind_loopback();
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (host_events, host_controls) = (host_events.clone(), host_controls.clone());
            std::thread::spawn(move || host_session(index, socket, &host_controls, &host_events));
        }
    });
    address
}

fn host_session(
    index: u8,
    mut socket: TcpStream,
    host_controls: &HostControls,
    host_events: &Sender<String>,
) {
    let mut inbox = ReceiveBuffer::default();
    let mut bytes = [0; 4096];
    while inbox.next_startup_packet().expect("a startup").is_none() {
        let count = socket.read(&mut bytes).unwrap_or(0);
        inbox.push(&bytes[..count]);
    }
    if host_controls.unresponsive.load(Ordering::SeqCst) {
        let _ = host_events.send("connected".to_string());
        // Waits until the test makes the hosts respond, or the gateway closes the connection.
        socket.set_nonblocking(true).expect("a socket");
        while host_controls.unresponsive.load(Ordering::SeqCst) {
            if socket.peek(&mut bytes).is_ok_and(|count| count == 0) {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        socket.set_nonblocking(false).expect("a socket");
    }
    let mut out = Vec::new();
    codec::write_message(&mut out, b'R', &[0; 4]);
    codec::write_ready_for_query(&mut out);
    while socket.write_all(&out).is_ok() {
        let Some(query) = next_frame(&mut socket, &mut inbox) else { return };
        let text = String::from_utf8_lossy(&query.body).trim_end_matches('\0').to_string();
        let _ = host_events.send(text.clone());
        if text.contains("'silent'") {
            // Waits until the gateway closes the connection.
            assert_eq!(socket.read(&mut bytes).unwrap_or(0), 0);
            let _ = host_events.send("ended".to_string());
            return;
        }
        let malformed =
            text.contains("'first-malformed'") && !host_controls.fault_injected.swap(true, Ordering::SeqCst);
        if text.contains("'first-breaks'") && !host_controls.fault_injected.swap(true, Ordering::SeqCst) {
            return;
        }
        while text.contains("'held'") && !host_controls.released.load(Ordering::SeqCst) {
            std::thread::yield_now();
        }
        out.clear();
        if text.contains("'never'") {
            codec::write_error_response(&mut out, "ERROR", "XX000", "internal", None);
        } else {
            let value: &[u8] = match text.split('\'').nth(1) {
                // The index of the host, in a group of a primary and two replicas that are far behind.
                Some(key) if key.starts_with("who") => &[index],
                Some("large") => &[7; 64 * 1024],
                Some("huge") => &[7; 1024 * 1024],
                _ => b"\x01\x00\xff",
            };
            codec::write_message(&mut out, b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01");
            let row = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
            if text.contains("'split'") || text.contains("'truncated'") {
                // The first half of a long row is sent immediately, the rest on release, or never.
                let long = [&[0, 1, 0, 0x10, 0, 0][..], &[7; 1 << 20]].concat();
                let mut row = Vec::new();
                codec::write_message(&mut row, b'D', &long);
                let (half, rest) = row.split_at(row.len() / 2);
                out.extend_from_slice(half);
                let _ = socket.write_all(&out);
                while !host_controls.released.load(Ordering::SeqCst) {
                    std::thread::yield_now();
                }
                if text.contains("'truncated'") {
                    return;
                }
                out = rest.to_vec();
                codec::write_message(&mut out, b'C', b"SELECT 1\0");
                codec::write_ready_for_query(&mut out);
                continue;
            }
            codec::write_message(&mut out, if malformed { b'?' } else { b'D' }, &row);
            codec::write_message(&mut out, b'C', b"SELECT 1\0");
            let reports_index = text.contains("'who");
            codec::write_parameter_status(
                &mut out,
                "part",
                if reports_index && index > 0 { "replica" } else { "master" },
            );
            if reports_index {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
                let position = if index > 0 { now - 20_000 } else { now };
                codec::write_parameter_status(&mut out, "caught_up_to", &position.to_string());
            }
        }
        codec::write_ready_for_query(&mut out);
        if text.contains("'doubled'") {
            out.extend_from_within(..);
        }
    }
}

/// A running gateway with its discovery server and the controls of its toy hosts.
pub struct Harness {
    pub address: SocketAddr,
    pub admin: SocketAddr,
    pub stop: UnixStream,
    pub reload: UnixStream,
    /// Sends the content of the configuration file for the next reload; blocks until the gateway reads it.
    pub config_file: SyncSender<String>,
    /// The content of the configuration file at the start.
    pub initial_config: String,
    pub gateway: JoinHandle<()>,
    /// The statements that toy hosts receive, and `connected` and `ended` of connections without answers.
    pub host_events: Receiver<String>,
    pub discovery: TcpListener,
    pub host_controls: Arc<HostControls>,
}

impl Harness {
    pub fn start(limit: usize) -> Harness {
        Harness::with_handover(limit, None, None)
    }

    /// Starts a gateway that listens for its successor on a handover socket at this path, and may take over from a
    /// predecessor.
    pub fn with_handover(
        limit: usize,
        handover_path: Option<PathBuf>,
        predecessor: Option<HandoverState>,
    ) -> Harness {
        Harness::with_workers_and_handover(limit, handover_path, predecessor, 1)
    }

    /// Starts a gateway with this number of workers.
    pub fn with_workers(limit: usize, cores: usize) -> Harness {
        Harness::with_workers_and_handover(limit, None, None, cores)
    }

    /// Starts a gateway with this number of workers that listens on a handover socket, and may take over from a
    /// predecessor.
    pub fn with_workers_and_handover(
        limit: usize,
        handover_path: Option<PathBuf>,
        predecessor: Option<HandoverState>,
        cores: usize,
    ) -> Harness {
        let (sender, host_events) = channel();
        let host_controls = Arc::new(HostControls::default());
        let hosts: Vec<_> =
            (0..3).map(|index| toy_host(index, sender.clone(), host_controls.clone())).collect();
        Harness::open(limit, handover_path, predecessor, cores, listing(&hosts), host_events, host_controls)
    }

    /// Starts a gateway with this number of workers and this endpoint list, whose hosts the test provides.
    pub fn with_list(limit: usize, cores: usize, known: Value) -> Harness {
        Harness::open(limit, None, None, cores, known, channel().1, Arc::default())
    }

    fn open(
        limit: usize,
        handover_path: Option<PathBuf>,
        predecessor: Option<HandoverState>,
        cores: usize,
        known: Value,
        host_events: Receiver<String>,
        host_controls: Arc<HostControls>,
    ) -> Harness {
        let discovery = bind_loopback();
        let (stop, shutdown) = UnixStream::pair().expect("a pair");
        let (reload, reload_receiver) = UnixStream::pair().expect("a pair");
        let (config_file, file_receiver) = sync_channel(0);
        let (mut active_config, mut zones) = (ActiveConfig::default(), Zones::default());
        let text = json!({"name": "n", "listen": "127.0.0.1:0", "admin_addr": "127.0.0.1:0",
            "discovery": discovery.local_addr().expect("bound").to_string(), "seed": "1f",
            "limits": {"sockets": limit, "memory_mb": 48}, "known": known, "settings": settings()})
        .to_string();
        let active = active_config.replace(text.clone(), &mut zones).expect("a configuration");
        let config = Config {
            listen: "127.0.0.1:0".parse().expect("an address"),
            admin: Some("127.0.0.1:0".parse().expect("an address")),
            discovery: active.discovery,
            seed: active.seed,
            max_descriptors: limit,
            memory_mib: 48,
            endpoints: active.file.known,
            site: active.settings,
            zones,
            text: text.clone(),
            handover_path,
            predecessor,
            fleet: None,
        };
        let read_config = Box::new(move |_: Option<&Document>, zones: &mut Zones| {
            let text: String = file_receiver.recv().expect("a file");
            active_config.replace(text.clone(), zones).map(|active| (text, active))
        });
        let signals = Signals {
            shutdown,
            reload: reload_receiver,
            shutdown_requested: Default::default(),
            reload_requested: Default::default(),
            versions: None,
            read_config,
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let workers = Gateway::open_all(config, signals, log, cores).expect("the gateway opens");
        let address = workers[0].address().expect("it listens");
        let admin = workers[0].admin_address().expect("an admin interface");
        let gateway = std::thread::spawn(move || Gateway::run_all(workers).expect("it runs"));
        Harness {
            address,
            admin,
            stop,
            reload,
            config_file,
            initial_config: text,
            gateway,
            host_events,
            discovery,
            host_controls,
        }
    }

    pub fn client(&self) -> ClientConnection {
        ClientConnection::open(self.address)
    }

    /// Replaces the configuration file and requests a reload, as operators do with a signal.
    pub fn reload_config(&mut self, text: &str) {
        self.reload.write_all(&[1]).expect("signalled");
        self.config_file.send(text.to_string()).expect("read");
    }

    /// The initial configuration with one value replaced, or removed.
    pub fn config_with(&self, pointer: &str, value: Option<Value>) -> String {
        let mut config: Value = serde_json::from_str(&self.initial_config).expect("as it was written");
        let (parent, key) = pointer.rsplit_once('/').expect("a path");
        match (config.pointer_mut(parent).expect("a parent value"), value) {
            (Value::Object(map), Some(value)) => drop(map.insert(key.to_string(), value)),
            (Value::Object(map), None) => drop(map.remove(key)),
            (list, value) => list[key.parse::<usize>().expect("an index")] = value.unwrap_or_default(),
        }
        config.to_string()
    }

    /// Shuts the gateway down as a signal does, and waits for it to end.
    pub fn end(mut self) {
        self.stop.write_all(&[1]).expect("signalled");
        self.gateway.join().expect("it ends by itself");
    }
}

pub struct ClientConnection {
    pub socket: TcpStream,
    pub inbox: ReceiveBuffer,
}

impl ClientConnection {
    /// Opens a connection that the gateway admits.
    pub fn open(address: SocketAddr) -> ClientConnection {
        let mut socket = TcpStream::connect(address).expect("accepted");
        let mut startup = Vec::new();
        codec::write_startup_packet(&mut startup, "app", "shop");
        socket.write_all(&startup).expect("written");
        let mut connection = ClientConnection { socket, inbox: ReceiveBuffer::default() };
        assert_eq!(connection.answer().pop().map(|frame| frame.tag), Some(b'Z'));
        connection
    }

    pub fn ask(&mut self, text: &str) {
        let mut bytes = Vec::new();
        codec::write_query(&mut bytes, text);
        self.socket.write_all(&bytes).expect("written");
    }

    /// Reads the messages up to and including the next ReadyForQuery, or to the end of the connection.
    pub fn answer(&mut self) -> Vec<Message> {
        let mut frames = Vec::new();
        while let Some(frame) = next_frame(&mut self.socket, &mut self.inbox) {
            let last = frame.tag == b'Z';
            frames.push(frame);
            if last {
                break;
            }
        }
        frames
    }

    pub fn code(&mut self) -> String {
        let answer = self.answer();
        assert_eq!(answer.iter().map(|f| f.tag).collect::<Vec<_>>(), b"EZ");
        codec::error_field(&answer[0].body, b'C').expect("a code").to_string()
    }
}

/// Sends a request to the admin interface and reads the whole response.
pub fn call(admin: SocketAddr, text: &str) -> String {
    let mut socket = TcpStream::connect(admin).expect("accepted");
    socket.write_all(text.as_bytes()).expect("written");
    let mut response = String::new();
    socket.read_to_string(&mut response).expect("a response, then the end");
    response
}

pub fn get(admin: SocketAddr, path: &str) -> String {
    call(admin, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
}

/// Sets a database host administratively `up` or `down`; gives whether the admin interface accepts it.
pub fn set_host_state(admin: SocketAddr, state: &str, id: &str) -> bool {
    let length = id.len();
    let head =
        format!("POST /ops/database-hosts/{state} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
    call(admin, &(head + id)).starts_with("HTTP/1.1 200 ")
}

pub fn metric(admin: SocketAddr, name: &str) -> u64 {
    let response = get(admin, "/ops/stats");
    let line = response.lines().find_map(|line| line.strip_prefix(&format!("gw.{name}:")));
    let (value, _kind) = line.and_then(|line| line.split_once('|')).expect("the metric");
    value.parse().expect("a number")
}

/// Draws log-uniformly from a range.
pub fn log_uniform(rng: &mut Pcg64Mcg, range: &Range<f64>) -> f64 {
    let fraction = (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    range.start * (range.end / range.start).powf(fraction)
}

/// A new request id, as clients choose one for each request.
pub fn next_request_id() -> usize {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    NEXT_ID.fetch_add(1, Ordering::SeqCst)
}

pub fn read(key: &str) -> String {
    let id = next_request_id();
    format!("SELECT doc FROM items WHERE id = '{key}' /* id={id},c=look,d=30000,cluster=1 */")
}

pub fn write(key: &str) -> String {
    let id = next_request_id();
    format!("INSERT INTO items (id, doc) VALUES ('{key}', '\\x9f') RETURNING doc /* id={id},c=store,d=30000,k=77,cluster=1 */")
}
