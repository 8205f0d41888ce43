//! The gateway on loopback sockets, with toy hosts and a toy discovery in threads of the test.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::process::Command;
use std::sync::mpsc::{channel, sync_channel, Receiver, Sender, SyncSender};
use std::sync::{atomic::AtomicBool, atomic::AtomicUsize, atomic::Ordering, Arc};
use std::thread::JoinHandle;

use dunemount::net::discovery::{BadAnswer, Directory, Listing, Watch};
use dunemount::net::event_loop::{Config, Gateway, Signals};
use dunemount::pg::codec::{self, Frame, Inbox};
use dunemount::settings::{Params, Zones};
use serde_json::{json, Value};

fn settings() -> Value {
    json!({
        "Balancers": 1, "Zone": "a", "TickMs": 5.0, "RegistryMode": "pushed",
        "Classes": [
            {"Name": "look", "AimMs": 30000.0, "DeadlineMs": 30000.0, "Value": 1.0, "Effect": "read_like"},
            {"Name": "store", "AimMs": 30000.0, "DeadlineMs": 30000.0, "Value": 2.0, "LateWorth": 0.5,
             "Effect": "idempotency_key", "Group": "cell", "RepeatWindowMs": 30000.0}],
        "Specifics": {"CountedFromMs": 0.0, "NeedsByClass": ["loose", "update"], "ServerChecks": "none",
                      "SessionMarks": "router"},
        "Permissions": {"Cancelling": true, "RetryAfter": true, "MaxRetryAfterMs": 500.0,
                        "ConnIdleMs": 60000.0, "ConnectTimeoutMs": 10000.0, "SendCap": 4},
        "Safety": {"ColdFrom": 0.2, "ColdMs": 9000.0, "FallMs": 2000.0, "StopSendingWithinMs": 500.0,
                   "TipMultiple": 2.0}
    })
}

fn listing(endpoints: &[SocketAddr]) -> Value {
    let entry = |(index, endpoint): (usize, &SocketAddr)| {
        json!({"uid": format!("s-{index}"), "endpoint": endpoint.to_string(), "az": "a", "pod_group": 1,
               "state": "Ready", "capacity_hint": 1.0, "boot_ms": 0, "part": if index == 0 { "master" } else { "replica" }})
    };
    let targets: Vec<Value> = endpoints.iter().enumerate().map(entry).collect();
    json!({"rev": 4, "all": true, "targets": targets})
}

fn local() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Reads the next message, or `None` at the end of the connection.
fn next_frame(socket: &mut TcpStream, inbox: &mut Inbox) -> Option<Frame> {
    let mut bytes = [0; 4096];
    loop {
        if let Some(frame) = inbox.frame_within(|_| usize::MAX).expect("well framed") {
            return Some(frame);
        }
        match socket.read(&mut bytes) {
            Ok(count) if count > 0 => inbox.push(&bytes[..count]),
            _ => return None,
        }
    }
}

/// What the test and its hosts share.
#[derive(Default)]
struct Mood {
    broke: AtomicBool,
    released: AtomicBool,
}

/// A toy host that tells the test each statement it gets. What it does hangs on the quoted key.
fn toy_host(heard: Sender<String>, mood: Arc<Mood>) -> SocketAddr {
    let listener = local();
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (heard, mood) = (heard.clone(), mood.clone());
            std::thread::spawn(move || host_session(socket, &mood, &heard));
        }
    });
    address
}

fn host_session(mut socket: TcpStream, mood: &Mood, heard: &Sender<String>) {
    let mut inbox = Inbox::default();
    let mut bytes = [0; 4096];
    while inbox.startup().expect("a startup").is_none() {
        let count = socket.read(&mut bytes).unwrap_or(0);
        inbox.push(&bytes[..count]);
    }
    let mut out = Vec::new();
    codec::frame(&mut out, b'R', &[0; 4]);
    codec::ready(&mut out);
    while socket.write_all(&out).is_ok() {
        let Some(query) = next_frame(&mut socket, &mut inbox) else { return };
        let text = String::from_utf8_lossy(&query.body).trim_end_matches('\0').to_string();
        let _ = heard.send(text.clone());
        if text.contains("'silent'") {
            // Until the gateway ends the connection.
            assert_eq!(socket.read(&mut bytes).unwrap_or(0), 0);
            let _ = heard.send("ended".to_string());
            return;
        }
        let spoilt = text.contains("'first-spoilt'") && !mood.broke.swap(true, Ordering::SeqCst);
        if text.contains("'first-breaks'") && !mood.broke.swap(true, Ordering::SeqCst) {
            return;
        }
        while text.contains("'held'") && !mood.released.load(Ordering::SeqCst) {
            std::thread::yield_now();
        }
        out.clear();
        if text.contains("'never'") {
            codec::error(&mut out, "ERROR", "XX000", "internal", None);
        } else {
            let value: &[u8] = match text.split('\'').nth(1) {
                Some("large") => &[7; 64 * 1024],
                Some("huge") => &[7; 1024 * 1024],
                _ => b"\x01\x00\xff",
            };
            codec::frame(&mut out, b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01");
            let row = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
            codec::frame(&mut out, if spoilt { b'?' } else { b'D' }, &row);
            codec::frame(&mut out, b'C', b"SELECT 1\0");
            codec::parameter(&mut out, "part", "master");
        }
        codec::ready(&mut out);
        if text.contains("'doubled'") {
            out.extend_from_within(..);
        }
    }
}

struct Rig {
    address: SocketAddr,
    stop: UnixStream,
    reload: UnixStream,
    /// What rereading the configuration brings; a send waits until it is read.
    file: SyncSender<Result<SocketAddr, String>>,
    gateway: JoinHandle<()>,
    heard: Receiver<String>,
    discovery: TcpListener,
    mood: Arc<Mood>,
}

impl Rig {
    fn start(limit: usize) -> Rig {
        let (sender, heard) = channel();
        let discovery = local();
        let mood = Arc::new(Mood::default());
        let hosts: Vec<_> = (0..3).map(|_| toy_host(sender.clone(), mood.clone())).collect();
        let (stop, end) = UnixStream::pair().expect("a pair");
        let (reload, anew) = UnixStream::pair().expect("a pair");
        let (file, read) = sync_channel(0);
        let reread = Box::new(move || read.recv().expect("a file"));
        let signals = Signals { end, reload: anew, reread };
        let mut zones = Zones::default();
        let params: Params = serde_json::from_value(settings()).expect("settings");
        let config = Config {
            listen: "127.0.0.1:0".parse().expect("an address"),
            discovery: discovery.local_addr().expect("bound"),
            seed: 1,
            sockets: limit,
            memory_mb: 48,
            known: serde_json::from_value(listing(&hosts)).expect("a listing"),
            site: params.site(&mut zones).expect("a site"),
            zones,
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let mut gateway = Gateway::open(config, signals, log).expect("it opens");
        let address = gateway.address().expect("it listens");
        let gateway = std::thread::spawn(move || gateway.run().expect("it runs"));
        Rig { address, stop, reload, file, gateway, heard, discovery, mood }
    }

    fn client(&self) -> Talk {
        let mut socket = TcpStream::connect(self.address).expect("accepted");
        let mut hello = Vec::new();
        codec::startup(&mut hello, "app", "shop");
        socket.write_all(&hello).expect("written");
        let mut talk = Talk { socket, inbox: Inbox::default() };
        assert_eq!(talk.answer().pop().map(|frame| frame.tag), Some(b'Z'));
        talk
    }

    /// Ends the gateway as a signal does, and waits for it.
    fn end(mut self) {
        self.stop.write_all(&[1]).expect("told");
        self.gateway.join().expect("it ends by itself");
    }
}

struct Talk {
    socket: TcpStream,
    inbox: Inbox,
}

impl Talk {
    fn ask(&mut self, text: &str) {
        let mut bytes = Vec::new();
        codec::query(&mut bytes, text);
        self.socket.write_all(&bytes).expect("written");
    }

    /// The messages up to the next ReadyForQuery, that included, or to the end.
    fn answer(&mut self) -> Vec<Frame> {
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

    fn code(&mut self) -> String {
        let answer = self.answer();
        assert_eq!(answer.iter().map(|f| f.tag).collect::<Vec<_>>(), b"EZ");
        codec::error_field(&answer[0].body, b'C').expect("a code").to_string()
    }
}

/// A name for each request, as clients give them.
fn name() -> usize {
    static NAMES: AtomicUsize = AtomicUsize::new(0);
    NAMES.fetch_add(1, Ordering::SeqCst)
}

fn read(key: &str) -> String {
    let id = name();
    format!("SELECT doc FROM items WHERE id = '{key}' /* id={id},c=look,d=30000,cluster=1 */")
}

fn write(key: &str) -> String {
    let id = name();
    format!("INSERT INTO items (id, doc) VALUES ('{key}', '\\x9f') RETURNING doc /* id={id},c=store,d=30000,k=77,cluster=1 */")
}

/// Guards the ordinary path: readiness, pipelining in order, large values and bytes passed on as they
/// are, and a statement that reaches the host unchanged but for the time left.
#[test]
fn requests_are_served_in_order_over_both_protocols() {
    let rig = Rig::start(200);
    let mut client = rig.client();
    client.ask("");
    assert_eq!(client.answer()[0].tag, b'I');
    let texts = [(64 * 1024, read("large")), (3, write("k")), (3, read("k"))];
    for (_, text) in &texts {
        client.ask(text);
    }
    for (length, text) in texts {
        let answer = client.answer();
        assert_eq!(answer.iter().map(|f| f.tag).collect::<Vec<_>>(), b"TDCZ");
        assert_eq!(codec::only_column(&answer[1].body).map(<[u8]>::len), Some(length));
        let heard = rig.heard.recv().expect("heard");
        let (before, after) = text.split_once("d=30000").expect("a wait");
        assert!(heard.starts_with(before) && heard.ends_with(after), "{heard}");
    }
    rig.end();
}

/// Guards values far beyond 64 KiB, as some groups hold them: they are no spoilt answers while there is
/// memory for them.
#[test]
fn values_are_served_as_long_as_memory_allows() {
    let rig = Rig::start(200);
    let mut client = rig.client();
    for _ in 0..2 {
        client.ask(&read("huge"));
        let answer = client.answer();
        assert_eq!(answer.iter().map(|f| f.tag).collect::<Vec<_>>(), b"TDCZ");
        assert_eq!(codec::only_column(&answer[1].body).map(<[u8]>::len), Some(1024 * 1024));
    }
    rig.end();
}

/// Guards what a client is told of bad requests; the connection goes on.
#[test]
fn bad_requests_get_an_error_and_the_connection_goes_on() {
    let rig = Rig::start(200);
    let mut client = rig.client();
    for (text, code) in [
        ("SELECT 1".to_string(), "08P01"),
        (read("k").replace("c=look", "c=unheard"), "08P01"),
        (read("k").replace("cluster=1", "cluster=9"), "08P01"),
        (write("k").replace("c=store", "c=look"), "08P01"),
        (write("k").replace("k=77,", ""), "08P01"),
        (read("k").replace("d=30000", "d=0"), "53300"),
        (write("never"), "58000"),
    ] {
        client.ask(&text);
        assert_eq!(client.code(), code, "{text}");
    }
    client.ask(&read("k"));
    assert_eq!(client.answer().len(), 4);
    rig.end();
}

/// Guards the answer that another client is owed: the id of an open request is not taken twice.
#[test]
fn an_id_is_open_once() {
    let rig = Rig::start(200);
    let (mut first, mut second) = (rig.client(), rig.client());
    let text = read("held");
    first.ask(&text);
    rig.heard.recv().expect("the attempt is out");
    second.ask(&text);
    assert_eq!(second.code(), "08P01");
    rig.mood.released.store(true, Ordering::SeqCst);
    assert_eq!(first.answer().len(), 4);
    second.ask(&text);
    assert_eq!(second.answer().len(), 4, "it is free again");
    rig.end();
}

/// Guards clients against spoilt answers and against what comes behind a good one: a second copy must
/// not be served for the next request.
#[test]
fn only_whole_answers_to_the_request_are_served() {
    let rig = Rig::start(200);
    let mut client = rig.client();
    client.ask(&read("first-spoilt"));
    assert_eq!(client.answer().len(), 4);
    for _ in 0..6 {
        client.ask(&read("doubled"));
        assert_eq!(codec::only_column(&client.answer()[1].body).map(<[u8]>::len), Some(3));
        client.ask(&read("large"));
        assert_eq!(codec::only_column(&client.answer()[1].body).map(<[u8]>::len), Some(64 * 1024));
    }
    rig.end();
}

/// Guards a request whose connection breaks after its last byte: a read goes to another host.
#[test]
fn a_read_outlives_its_connection() {
    let rig = Rig::start(200);
    let mut client = rig.client();
    client.ask(&read("first-breaks"));
    assert_eq!(client.answer().len(), 4);
    rig.end();
}

/// Guards against work for nobody and against a leak: a client that leaves in the middle of its
/// request takes the attempt's connection with it, and the gateway ends with nothing owed.
#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let rig = Rig::start(200);
    let mut client = rig.client();
    client.ask(&read("silent"));
    rig.heard.recv().expect("the attempt is out");
    drop(client);
    assert_eq!(rig.heard.recv().expect("the host sees the end"), "ended");
    rig.end();
}

/// Guards the hand-over: the listener closes, what was taken before is answered, then the gateway ends.
#[test]
fn a_signal_lets_go_only_when_nothing_is_owed() {
    let mut rig = Rig::start(200);
    let (mut busy, mut idle) = (rig.client(), rig.client());
    busy.ask(&read("held"));
    rig.heard.recv().expect("the attempt is out");
    rig.stop.write_all(&[1]).expect("told");
    assert_eq!(idle.answer().len(), 0, "an idle client is closed in the end");
    assert!(TcpStream::connect(rig.address).is_err(), "the listener is closed");
    assert!(!rig.gateway.is_finished(), "it still owes an answer");
    rig.mood.released.store(true, Ordering::SeqCst);
    assert_eq!(busy.answer().len(), 4);
    rig.gateway.join().expect("it ends by itself");
}

/// Guards clients that wait for a connection against those that asked once and keep theirs: of these a
/// quarter of the descriptors stays open, and the one idle longest goes first.
#[test]
fn clients_that_asked_once_make_room() {
    let rig = Rig::start(80);
    let mut held: Vec<Talk> = Vec::new();
    for _ in 0..21 {
        let mut client = rig.client();
        client.ask(&read("k"));
        assert_eq!(client.answer().len(), 4);
        held.push(client);
    }
    assert_eq!(held.remove(0).answer().len(), 0, "closed");
    for client in &mut held {
        client.ask(&read("k"));
        assert_eq!(client.answer().len(), 4, "still open");
    }
    rig.end();
}

/// Guards the descriptor budget: with more clients than descriptors the idle ones make room.
#[test]
fn idle_clients_make_room_for_new_ones() {
    let rig = Rig::start(50);
    let mut held: Vec<Talk> = (0..20).map(|_| rig.client()).collect();
    let mut last = held.pop().expect("a client");
    last.ask(&read("k"));
    assert_eq!(last.answer().last().map(|frame| frame.tag), Some(b'Z'));
    drop((held, last));
    rig.end();
}

/// Guards the descriptors against clients that connect and say nothing, or stop in the middle of a
/// command: each is closed, and a client that asked in time stays.
#[test]
fn clients_that_owe_a_command_are_closed() {
    let rig = Rig::start(200);
    let mut good = rig.client();
    let mut silent = TcpStream::connect(rig.address).expect("accepted");
    let mut mute = rig.client();
    let mut half = rig.client();
    half.socket.write_all(b"Q\0\0\0").expect("written");
    good.ask(&read("k"));
    assert_eq!(good.answer().len(), 4);
    for talk in [&mut mute, &mut half] {
        let last = talk.answer().pop().expect("a word on it");
        assert_eq!((last.tag, codec::error_field(&last.body, b'C')), (b'E', Some("57014")));
    }
    let mut said = Vec::new();
    silent.read_to_end(&mut said).expect("closed in order");
    assert_eq!(said.first(), Some(&b'E'));
    good.ask(&read("k"));
    assert_eq!(good.answer().len(), 4);
    rig.end();
}

/// Guards against discovery that is silent, cut off or malformed: the last list goes on serving.
#[test]
fn broken_discovery_leaves_the_last_list() {
    let rig = Rig::start(200);
    let mut calls = rig.discovery.incoming().flatten();
    let mut bytes = [0; 1024];
    for (round, text) in
        ["", "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"rev\"", "no HTTP at all\r\n\r\n"]
            .into_iter()
            .enumerate()
    {
        let mut call = calls.next().expect("a call");
        let count = call.read(&mut bytes).expect("a request");
        let asked = String::from_utf8_lossy(&bytes[..count]).into_owned();
        // A watch goes on from what is known; after two failures the whole list is asked for.
        assert_eq!(asked.starts_with("GET /catalog/members?index=4&wait="), round < 2, "{asked}");
        call.write_all(text.as_bytes()).expect("written");
    }
    let mut client = rig.client();
    client.ask(&read("k"));
    assert_eq!(client.answer().len(), 4);
    rig.end();
}

/// Guards a new configuration under load: the watch moves to the new address at once and asks for the
/// whole list there, the old one is let go, and what was taken before is answered. A file that cannot
/// be used, and a signal without a change, harm nothing.
#[test]
fn a_new_configuration_moves_the_watch_and_keeps_the_requests() {
    let mut rig = Rig::start(200);
    let mut bytes = [0; 1024];
    let mut called = |from: &TcpListener| {
        let (mut call, _) = from.accept().expect("a call");
        let count = call.read(&mut bytes).expect("a request");
        (call, String::from_utf8_lossy(&bytes[..count]).into_owned())
    };
    let (mut old, _) = called(&rig.discovery);
    let mut busy = rig.client();
    busy.ask(&read("held"));
    rig.heard.recv().expect("the attempt is out");
    rig.reload.write_all(&[1]).expect("told");
    rig.file.send(Err("no file".into())).expect("read");
    let moved = local();
    for _ in 0..2 {
        rig.reload.write_all(&[1]).expect("told");
        rig.file.send(Ok(moved.local_addr().expect("bound"))).expect("read");
        let (mut call, asked) = called(&moved);
        assert!(asked.starts_with("GET /catalog/members HTTP"), "the whole list, without a wait: {asked}");
        assert_eq!(old.read(&mut [0; 8]).unwrap_or(0), 0, "the old watch is closed");
        let body = r#"{"rev":9,"all":false,"targets":[]}"#;
        write!(call, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).expect("written");
        let (watch, asked) = called(&moved);
        assert!(asked.starts_with("GET /catalog/members?index=9&wait="), "{asked}");
        old = watch;
    }
    rig.mood.released.store(true, Ordering::SeqCst);
    assert_eq!(busy.answer().len(), 4);
    rig.end();
}

/// Guards the reading of discovery's answers however they are cut and framed, and that a line that
/// cannot be read does not take the others with it.
#[test]
fn listings_are_read_in_any_framing() {
    let mut body = listing(&["127.0.0.1:1".parse().expect("an address")]);
    body["targets"].as_array_mut().expect("lines").push(json!({"uid": 5}));
    let body = body.to_string();
    let (half, rest) = body.split_at(body.len() / 2);
    for answer in [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{half}\r\n{:x}\r\n{rest}\r\n0\r\n\r\n",
            half.len(),
            rest.len()
        ),
    ] {
        let mut watch = Watch::from(None);
        let last = answer.len() - 1;
        for byte in &answer.as_bytes()[..last] {
            assert!(watch.receive(&[*byte], false).expect("no fault so far").is_none());
        }
        let listing = watch.receive(&answer.as_bytes()[last..], false).expect("read").expect("whole");
        let mut directory = Directory::new(Zones::default());
        let (entries, unread) = directory.take(listing, &dunemount::net::clock::Clock::start());
        assert_eq!((entries.len(), unread), (1, 1));
        assert!(watch.call("h").starts_with("GET /catalog/members?index=4&wait=20000 "));
    }
    let receive = |text: &str| Watch::from(None).receive(text.as_bytes(), true).err();
    assert_eq!(receive("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), Some(BadAnswer::Status(503)));
    assert_eq!(receive("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"), Some(BadAnswer::TooLong));
    assert_eq!(receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"), Some(BadAnswer::Body));
    assert_eq!(receive("HTTP/1.1 200"), Some(BadAnswer::Head));
    assert_eq!(receive(""), None, "an end without a word is no bad answer");
    let _: Listing = serde_json::from_value(listing(&[])).expect("an empty list");
}

/// Guards the operators: a configuration that cannot be used is named in one line, and the exit tells.
#[test]
fn a_bad_configuration_is_one_clear_line() {
    let path = std::env::temp_dir().join(format!("dunemount-config-{}.json", std::process::id()));
    let base = json!({"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f",
        "limits": {"sockets": 100}, "known": listing(&[]), "settings": settings()});
    let broken = |pointer: &str, value: Value| {
        let mut config = base.clone();
        *config.pointer_mut(pointer).expect("a field") = value;
        config.to_string()
    };
    for text in [
        "{".to_string(),
        broken("/listen", json!("nowhere")),
        broken("/seed", json!("seed")),
        broken("/settings/Classes", json!([])),
        broken("/settings/Safety", json!(null)),
    ] {
        std::fs::write(&path, &text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunemount"));
        let output = command.env("GW_CONFIG", &path).output().expect("it starts");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && said.lines().count() == 1, "{text}: {said}");
    }
    std::fs::remove_file(path).expect("removed");
}
