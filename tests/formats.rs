//! Formats that other programs, or other versions of this one, read: the output is compared byte by byte with fixtures.
//! The files under `tests/fixtures` never change; a changed format gets a new file.

mod harness;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;

use dunemount::admin::connection::AdminConnection;
use dunemount::admin::metrics::Metrics;
use dunemount::admin::request::HttpStatus;
use dunemount::balancer::Balancer;
use dunemount::config::ActiveConfig;
use dunemount::hot_restart::handover_socket::{self, HandoverSocket};
use dunemount::hot_restart::message::{GatewaySnapshot, HostRole, Message};
use dunemount::net::clock::{Clock, Reading};
use dunemount::net::discovery::Directory;
use dunemount::pg::client::{ClientProtocol, ClientRequest};
use dunemount::pg::codec::{self, CancelKey, MAX_MESSAGE};
use dunemount::pg::timed_buffer::Arrival;
use dunemount::settings::Zones;
use dunemount::{ClassId, GroupId, Micros, SessionKey};
use harness::scripted::{cancel, client_with_key};
use harness::{call, get, read, set_host_state, write, ClientConnection, Harness};
use rustix::net::{AddressFamily, RecvFlags, SocketAddrUnix, SocketType};
use serde_json::json;

const KEY: CancelKey = CancelKey { process: 0x0102_0304, secret: 0xf506_0708 };

fn fixture(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Compares the program's output with a fixture, byte by byte.
fn assert_bytes(name: &str, written: &[u8]) {
    let stored = fixture(name);
    let (actual, expected) = (String::from_utf8_lossy(written), String::from_utf8_lossy(&stored));
    assert!(stored == written, "{name}: written {actual:?}, stored {expected:?}");
}

/// The path of a handover socket for a test.
fn socket_path(test: &str) -> PathBuf {
    std::env::temp_dir().join(format!("dunemount-formats-{test}-{}.line", std::process::id()))
}

/// The message in a fixture, as the program parses it.
fn message(name: &str) -> Message {
    serde_json::from_slice(&fixture(name)).expect("a message")
}

fn assert_message(name: &str, written: &Message) {
    assert_bytes(name, &serde_json::to_vec(written).expect("JSON"));
}

/// A snapshot in which every field outside of the balancer's snapshot differs from its default.
fn snapshot() -> GatewaySnapshot {
    let mut zones = Zones::default();
    zones.id("a".to_string());
    let mut directory = Directory::new(zones);
    let known = serde_json::from_value(harness::listing(&[([10, 0, 0, 5], 5432).into()])).expect("a listing");
    directory.update(known, &Clock::start());
    let configuration = json!({"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f",
        "limits": {"sockets": 200, "memory_mb": 48}, "known": harness::listing(&[]), "settings": harness::settings()});
    let taken = ActiveConfig::default()
        .replace(configuration.to_string(), &mut Zones::default())
        .expect("a configuration");
    GatewaySnapshot {
        position_reference: 1_764_000_000_000_000,
        clock_reading: Some(Reading { clock: Micros(86_400_000_123), unix: 1_764_086_400_000_124 }),
        config: "{\"name\": \"n\"}\n".to_string(),
        discovery: "10.0.0.9:7000".parse().expect("an address"),
        list_revision: Some(41),
        directory,
        class_ids: BTreeMap::from([("look".to_string(), ClassId(0)), ("store".to_string(), ClassId(3))]),
        balancer: Balancer::new(taken.settings.router, 7).snapshot(),
        administratively_down: BTreeSet::from(["db-1".to_string(), "db-7".to_string()]),
        in_flight: vec![("r-1".to_string(), Micros(86_401_000_000))],
        open_clients: 17,
        accepts_cancel: true,
        accepts_roles: true,
    }
}

/// Guards the format of the snapshot that one process hands over to the next, which may be of another version.
#[test]
fn the_handover_snapshot_keeps_its_format() {
    assert_message("handover-estate-v2.json", &Message::Snapshot(Box::new(snapshot())));
    let Message::Snapshot(read) = message("handover-estate-v2.json") else { panic!("another message") };
    assert_eq!(read.position_reference, 1_764_000_000_000_000);
    let reading = read.clock_reading.expect("a reading");
    assert_eq!((reading.clock, reading.unix), (Micros(86_400_000_123), 1_764_086_400_000_124));
    assert_eq!(read.config, "{\"name\": \"n\"}\n");
    assert_eq!(read.discovery, SocketAddr::from(([10, 0, 0, 9], 7000)));
    assert_eq!(read.list_revision, Some(41));
    let host = read.directory.member("s-0").expect("known");
    assert_eq!(read.directory.address(host), Some(SocketAddr::from(([10, 0, 0, 5], 5432))));
    assert_eq!((read.directory.name(host), read.directory.member("s-1")), ("s-0", None));
    assert_eq!(read.directory.zones().clone().id("b".to_string()).0, 1, "one zone is known");
    assert_eq!(read.class_ids.get("store"), Some(&ClassId(3)));
    assert_eq!(read.administratively_down.iter().map(String::as_str).collect::<Vec<_>>(), ["db-1", "db-7"]);
    assert_eq!(read.in_flight, [("r-1".to_string(), Micros(86_401_000_000))]);
    assert_eq!((read.open_clients, read.accepts_cancel, read.accepts_roles), (17, true, true));
    assert_message("handover-estate-v2.json", &Message::Snapshot(read));
}

/// Guards a hot restart from an earlier version, whose snapshot lacks `accepts_roles` alone.
#[test]
fn a_snapshot_without_roles_keeps_its_bytes() {
    let Message::Snapshot(read) = message("handover-estate-v1.json") else { panic!("another message") };
    assert!(read.clock_reading.is_some() && read.accepts_cancel && !read.accepts_roles);
    assert_message("handover-estate-v1.json", &Message::Snapshot(read));
}

/// Guards the messages about the roles of hosts.
#[test]
fn messages_about_roles_keep_their_bytes() {
    assert_message("handover-accepts-roles-v1.json", &Message::AcceptsRoles);
    assert!(matches!(message("handover-accepts-roles-v1.json"), Message::AcceptsRoles));
    let role = |host: &str, is_primary, at, position| HostRole {
        host: host.to_string(),
        is_primary,
        at: Micros(at),
        position,
    };
    let roles = vec![
        role("s-7", true, 86_400_777_000, Some(Micros(86_400_776_000))),
        role("s-8", false, 86_400_777_001, None),
    ];
    assert_message("handover-roles-v1.json", &Message::Roles(roles.clone()));
    assert!(matches!(message("handover-roles-v1.json"), Message::Roles(read) if read == roles));
}

/// Guards a hot restart from an earlier version, whose snapshot has neither a clock reading nor `accepts_cancel`.
#[test]
fn the_handover_snapshot_of_an_earlier_version_is_read() {
    let Message::Snapshot(read) = message("handover-estate-v0.json") else { panic!("another message") };
    assert!(read.clock_reading.is_none() && !read.accepts_cancel);
    assert_eq!((read.open_clients, read.list_revision), (17, Some(41)));
}

/// Guards the format of the other handover messages: each is written, and read back, as in its fixture.
#[test]
fn handover_messages_keep_their_format() {
    assert_message("handover-ready-v1.json", &Message::Ready);
    assert!(matches!(message("handover-ready-v1.json"), Message::Ready));

    let arrivals = vec![Arrival(Micros(86_400_000_001), 2), Arrival(Micros(86_400_000_009), 1)];
    let bytes = b"S\0\0\0\x04\xff".to_vec();
    let sent = Message::Client {
        greeted: true,
        has_queried: false,
        bytes: bytes.clone(),
        key: KEY,
        arrivals: arrivals.clone(),
    };
    assert_message("handover-client-v1.json", &sent);
    let Message::Client { greeted, has_queried, bytes: read, key, arrivals: read_arrivals } =
        message("handover-client-v1.json")
    else {
        panic!("another message")
    };
    assert!(greeted && !has_queried && read == bytes && key == KEY && read_arrivals == arrivals);

    assert_message("handover-cancel-v1.json", &Message::Cancel(KEY));
    assert!(matches!(message("handover-cancel-v1.json"), Message::Cancel(KEY)));

    assert_message("handover-holding-v1.json", &Message::RemainingClients { clients: 203 });
    assert!(matches!(message("handover-holding-v1.json"), Message::RemainingClients { clients: 203 }));

    let (group, session, commit) = (GroupId(12), SessionKey(u64::MAX - 1), Micros(86_400_777_000));
    assert_message("handover-commit-v1.json", &Message::Commit { group, session, commit });
    assert!(
        matches!(message("handover-commit-v1.json"), Message::Commit { group: GroupId(12), session: s, commit: c }
        if s == session && c == commit)
    );

    for (name, down) in [("handover-bar-down-v1.json", true), ("handover-bar-up-v1.json", false)] {
        assert_message(name, &Message::SetDown { host: "db-1".to_string(), down });
        assert!(
            matches!(message(name), Message::SetDown { host, down: read } if host == "db-1" && read == down)
        );
    }
}

/// Guards clients that a process of an earlier version hands over, without a cancel key and without arrivals.
#[test]
fn the_handover_client_of_an_earlier_version_is_read() {
    let Message::Client { greeted, has_queried, bytes, key, arrivals } = message("handover-client-v0.json")
    else {
        panic!("another message")
    };
    assert!(
        greeted && has_queried && bytes == b"Q\0\0" && key == CancelKey::default() && arrivals.is_empty()
    );
}

/// Receives the next packet on a handover socket.
fn packet(socket: &OwnedFd) -> Vec<u8> {
    let mut bytes = vec![0; 1 << 16];
    let (count, _) = rustix::net::recv(socket, &mut bytes, RecvFlags::empty()).expect("a packet");
    bytes.truncate(count);
    bytes
}

/// Guards how messages are split into packets: at most 32 KiB each, after a byte that says whether more packets follow.
#[test]
fn handover_packets_keep_their_format() {
    let path = socket_path("packets");
    let listener = handover_socket::listen(&path).expect("a free path");
    let socket = rustix::net::socket(AddressFamily::UNIX, SocketType::SEQPACKET, None).expect("a socket");
    rustix::net::connect(&socket, &SocketAddrUnix::new(&path).expect("a path")).expect("accepted");
    let mut handover = HandoverSocket::accept(&listener).expect("a connection");
    handover.send(&Message::RemainingClients { clients: 203 }, None).expect("sent");
    assert_bytes("handover-packet-v1.bin", &packet(&socket));

    let text = serde_json::to_vec(&long_message()).expect("JSON");
    handover.send(&long_message(), None).expect("sent");
    let (first, second) = (packet(&socket), packet(&socket));
    assert!(first[0] == b'+' && first[1..] == text[..32 * 1024]);
    assert!(second[0] == b'.' && second[1..] == text[32 * 1024..]);
    std::fs::remove_file(path).expect("removed");

    for packet in [&first, &second] {
        rustix::net::send(socket.as_fd(), packet, rustix::net::SendFlags::empty()).expect("sent");
    }
    let (read, descriptor) = handover.receive().expect("a message").expect("complete");
    assert!(descriptor.is_none() && serde_json::to_vec(&read).expect("JSON") == text);
}

/// A message that needs two packets.
fn long_message() -> Message {
    let bytes = vec![7; 20_000];
    Message::Client { greeted: true, has_queried: true, bytes, key: KEY, arrivals: Vec::new() }
}

/// Guards the file of the hosts that are administratively down: it is read at the start and rewritten with each change.
#[test]
fn the_file_of_hosts_that_are_down_keeps_its_format() {
    let path = socket_path("down");
    let file = path.with_extension("down");
    std::fs::write(&file, fixture("hosts-down-v1.json")).expect("written");
    let harness = Harness::with_handover(200, Some(path.clone()), None);
    assert_eq!(harness::metric(harness.admin, "pool_ejected"), 2, "they are down from the start");
    assert!(set_host_state(harness.admin, "up", "s-2"));
    assert_bytes("hosts-down-one-v1.json", &std::fs::read(&file).expect("a file"));
    assert!(set_host_state(harness.admin, "down", "s-2"));
    assert_bytes("hosts-down-v1.json", &std::fs::read(&file).expect("a file"));
    assert!(set_host_state(harness.admin, "up", "s-0") && set_host_state(harness.admin, "up", "s-2"));
    assert_bytes("hosts-down-none-v1.json", &std::fs::read(&file).expect("a file"));
    harness.end();
    std::fs::remove_file(file).expect("removed");
}

/// A startup packet with this protocol version.
fn startup(version: u32) -> Vec<u8> {
    let mut packet = Vec::new();
    codec::write_startup_packet(&mut packet, "app", "shop");
    packet[4..8].copy_from_slice(&version.to_be_bytes());
    packet
}

const VERSION_3: u32 = 3 << 16;

/// The output of a new client connection that receives these bytes, and its first request.
fn respond_to(bytes: &[u8]) -> (Vec<u8>, Option<ClientRequest>) {
    let mut client = ClientProtocol::new(MAX_MESSAGE, KEY);
    client.receive(bytes, Micros(5));
    let request = client.next_request();
    (client.out.bytes, request)
}

/// The output of a client connection that receives these bytes after its startup, and its first request.
fn respond_after_startup(bytes: &[u8]) -> (Vec<u8>, Option<ClientRequest>) {
    let (greeting, _) = respond_to(&startup(VERSION_3));
    let (output, request) = respond_to(&[&startup(VERSION_3), bytes].concat());
    (output.strip_prefix(greeting.as_slice()).expect("the greeting first").to_vec(), request)
}

/// An encoded message.
fn encode(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    codec::write_message(&mut bytes, tag, body);
    bytes
}

/// Guards the responses to a startup packet: the messages of a completed startup, and those that reject it.
#[test]
fn startup_responses_keep_their_bytes() {
    let (greeting, request) = respond_to(&startup(VERSION_3));
    assert_eq!(request, None);
    assert_bytes("client-greeting-v1.bin", &greeting);
    assert_bytes("client-greeting-minor-v1.bin", &respond_to(&startup(VERSION_3 + 2)).0);
    let encryption = [8u32.to_be_bytes(), 80_877_103u32.to_be_bytes()].concat();
    assert_bytes("client-encryption-v1.bin", &respond_to(&encryption).0);
    for (name, bytes) in [
        ("client-version-v1.bin", startup(2 << 16)),
        ("client-startup-too-long-v1.bin", 10_001u32.to_be_bytes().to_vec()),
        ("client-startup-bad-length-v1.bin", 3u32.to_be_bytes().to_vec()),
    ] {
        let (output, request) = respond_to(&bytes);
        assert_eq!(request, Some(ClientRequest::Close));
        assert_bytes(name, &output);
    }
    let mut bytes = Vec::new();
    codec::write_cancel_request(&mut bytes, KEY);
    assert_bytes("cancel-request-v1.bin", &bytes);
    assert_eq!(respond_to(&bytes), (Vec::new(), Some(ClientRequest::Cancel(KEY))));
}

/// Guards the responses to messages that are not a routable query.
#[test]
fn responses_to_other_messages_keep_their_bytes() {
    for (name, bytes, expected) in [
        (
            "client-too-long-v1.bin",
            [b"Q".as_slice(), &i32::MAX.to_be_bytes()].concat(),
            Some(ClientRequest::Close),
        ),
        ("client-bad-length-v1.bin", b"Q\0\0\0\x03".to_vec(), Some(ClientRequest::Close)),
        ("client-unknown-message-v1.bin", encode(b'?', b""), Some(ClientRequest::Close)),
        ("client-bad-query-v1.bin", encode(b'Q', b"SELECT 1"), Some(ClientRequest::Close)),
        ("client-not-utf8-v1.bin", encode(b'Q', b"\xff\0"), None),
        ("client-empty-query-v1.bin", encode(b'Q', b" ;\0"), None),
        ("client-function-call-v1.bin", encode(b'F', b""), None),
        ("client-extended-v1.bin", [encode(b'P', b"x"), encode(b'B', b""), encode(b'S', b"")].concat(), None),
        ("client-sync-v1.bin", encode(b'S', b""), None),
        ("client-terminate-v1.bin", encode(b'X', b""), Some(ClientRequest::Close)),
    ] {
        let (output, request) = respond_after_startup(&bytes);
        assert_eq!(request, expected, "{name}");
        assert_bytes(name, &output);
    }
}

/// Guards a rejection, with and without the retry delay in milliseconds, which is rounded up.
#[test]
fn rejections_keep_their_bytes() {
    for (name, retry_after) in
        [("client-refused-v1.bin", None), ("client-refused-wait-v1.bin", Some(Micros(120_001)))]
    {
        let mut client = ClientProtocol::new(MAX_MESSAGE, KEY);
        client.receive(&[startup(VERSION_3), encode(b'Q', b"SELECT 1\0")].concat(), Micros(5));
        assert_eq!(client.next_request(), Some(ClientRequest::Query("SELECT 1".to_string(), Micros(5))));
        client.out.bytes.clear();
        client.reject(retry_after);
        assert_bytes(name, &client.out.bytes);
    }
}

/// The bytes of the next answer, up to ReadyForQuery or the end of the connection.
fn answer_bytes(socket: &mut TcpStream) -> Vec<u8> {
    let (mut bytes, mut next) = (Vec::new(), [0]);
    while !bytes.ends_with(b"Z\0\0\0\x05I") && socket.read(&mut next).is_ok_and(|count| count > 0) {
        bytes.push(next[0]);
    }
    bytes
}

/// Sends a statement and returns the bytes of its answer.
fn ask(client: &mut ClientConnection, text: &str) -> Vec<u8> {
    client.ask(text);
    answer_bytes(&mut client.socket)
}

/// Guards every answer of a running gateway to clients: rows as the host sent them, and each error.
#[test]
fn answers_keep_their_bytes() {
    let harness = Harness::start(200);
    let mut client = harness.client();
    let look = |change: &dyn Fn(String) -> String| change(read("k"));
    for (name, text) in [
        ("answer-read-v1.bin", read("k")),
        ("answer-failed-v1.bin", write("never")),
        ("answer-refused-v1.bin", look(&|text| text.replace("d=30000", "d=0"))),
        ("answer-unknown-class-v1.bin", look(&|text| text.replace("c=look", "c=none"))),
        ("answer-unknown-group-v1.bin", look(&|text| text.replace("cluster=1", "cluster=9"))),
        ("answer-wrong-class-v1.bin", look(&|text| text.replace("c=look", "c=store"))),
        ("answer-no-comment-v1.bin", "SELECT doc FROM items WHERE id = 'k'".to_string()),
        ("answer-no-statement-v1.bin", "DELETE FROM items".to_string()),
        ("answer-no-key-v1.bin", look(&|text| text.replace('\'', ""))),
        ("answer-lacks-id-v1.bin", look(&|text| text.replace("id=", "no="))),
        ("answer-lacks-class-v1.bin", look(&|text| text.replace("c=look", ""))),
        ("answer-lacks-group-v1.bin", look(&|text| text.replace("cluster=1", ""))),
        ("answer-lacks-deadline-v1.bin", look(&|text| text.replace("d=30000", ""))),
        ("answer-bad-id-v1.bin", look(&|text| text.replace("id=", "id=_"))),
        ("answer-bad-group-v1.bin", look(&|text| text.replace("cluster=1", "cluster=x"))),
        ("answer-bad-deadline-v1.bin", look(&|text| text.replace("d=30000", "d=-1"))),
        ("answer-bad-key-v1.bin", write("k").replace("k=77", "k=")),
        ("answer-bad-after-v1.bin", look(&|text| text.replace("cluster=1", "cluster=1,after=x"))),
    ] {
        assert_bytes(name, &ask(&mut client, &text));
    }
    harness.end();
}

/// Guards the answer to a cancelled request, and to a request with the id of another request in flight.
#[test]
fn answers_to_requests_in_flight_keep_their_bytes() {
    let harness = Harness::start(200);
    let (mut client, key) = client_with_key(&harness);
    let held = read("held");
    client.ask(&held);
    while !harness.host_events.recv().expect("a query").contains("'held'") {}
    assert_bytes("answer-id-in-use-v1.bin", &ask(&mut harness.client(), &held));
    cancel(harness.address, key);
    assert_bytes("answer-cancelled-v1.bin", &answer_bytes(&mut client.socket));
    harness.host_controls.released.store(true, Ordering::SeqCst);
    harness.end();
}

/// Guards the error for a client that sends an incomplete message and nothing more after the startup.
#[test]
fn an_incomplete_message_gets_these_bytes() {
    let harness = Harness::start(200);
    let mut client = harness.client();
    client.socket.write_all(b"Q\0\0").expect("written");
    assert_bytes("client-too-late-v1.bin", &answer_bytes(&mut client.socket));
    harness.end();
}

/// Guards the head of a response with each status of the admin interface.
#[test]
fn admin_statuses_keep_their_bytes() {
    for (name, status) in [
        ("admin-200-v1.txt", HttpStatus::Ok),
        ("admin-400-v1.txt", HttpStatus::BadRequest),
        ("admin-404-v1.txt", HttpStatus::NotFound),
        ("admin-405-v1.txt", HttpStatus::MethodNotAllowed),
        ("admin-408-v1.txt", HttpStatus::RequestTimeout),
        ("admin-413-v1.txt", HttpStatus::ContentTooLarge),
        ("admin-503-v1.txt", HttpStatus::ServiceUnavailable),
    ] {
        let mut connection = AdminConnection::default();
        connection.respond(status, "body\n");
        assert_bytes(name, &connection.out.bytes);
    }
}

/// Sends a request that sets a host `down` or `up`, and returns the response.
fn post(admin: SocketAddr, state: &str, host: &str) -> String {
    let (length, path) = (host.len(), format!("/ops/database-hosts/{state}"));
    call(admin, &format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{host}"))
}

/// Guards every response of a running gateway's admin interface.
#[test]
fn admin_answers_keep_their_bytes() {
    let mut harness = Harness::start(200);
    let admin = harness.admin;
    let mut incomplete = TcpStream::connect(admin).expect("accepted");
    incomplete.write_all(b"GET /ops/readiness HT").expect("written");
    for (name, response) in [
        ("admin-ready-v1.txt", get(admin, "/ops/readiness")),
        ("admin-no-fleet-v1.txt", get(admin, "/ops/fleet")),
        ("admin-unknown-path-v1.txt", get(admin, "/ops")),
        ("admin-wrong-method-v1.txt", get(admin, "/ops/database-hosts/down")),
        ("admin-malformed-v1.txt", call(admin, "no call\r\n\r\n")),
        (
            "admin-too-long-v1.txt",
            call(admin, "POST /ops/database-hosts/up HTTP/1.1\r\nContent-Length: 1025\r\n\r\n"),
        ),
        ("admin-unknown-host-v1.txt", post(admin, "down", "s-9")),
        ("admin-down-v1.txt", post(admin, "down", "s-1")),
        ("admin-up-v1.txt", post(admin, "up", "s-1")),
        ("admin-stats-v1.txt", get(admin, "/ops/stats")),
    ] {
        assert_bytes(name, response.as_bytes());
    }
    let mut response = Vec::new();
    incomplete.read_to_end(&mut response).expect("a response, then the end");
    assert_bytes("admin-too-late-v1.txt", &response);

    let mut client = harness.client();
    client.ask(&read("held"));
    while !harness.host_events.recv().expect("a query").contains("'held'") {}
    harness.stop.write_all(&[1]).expect("written");
    let shutting_down =
        std::iter::repeat_with(|| get(admin, "/ops/readiness")).find(|response| !response.contains("200 OK"));
    assert_bytes("admin-ending-v1.txt", shutting_down.expect("another status").as_bytes());
    harness.host_controls.released.store(true, Ordering::SeqCst);
    harness.gateway.join().expect("the gateway ends");
}

/// Guards the text of the metrics, with classes in the order of their names.
#[test]
fn metrics_keep_their_text() {
    let mut metrics = Metrics::default();
    for (class, first) in [("store", 10), ("look", 20)] {
        let counters = metrics.class_mut(class);
        (counters.ok, counters.shed, counters.errors, counters.attempts) =
            (first, first + 1, first + 2, first + 3);
    }
    (metrics.active, metrics.pool_size, metrics.pool_ejected) = (31, 32, 33);
    (metrics.config_applied, metrics.config_rejected) = (41, 42);
    assert_bytes("figures-v1.txt", metrics.to_string().as_bytes());
}
