//! Tests of hot restarts: two processes of a gateway at one address, the handover socket between them, and starts
//! without a previous process.

mod harness;

use std::io::Write;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::Duration;

use dunemount::hot_restart::handover_socket::{self, HandoverSocket};
use dunemount::hot_restart::message::Message;
use dunemount::pg::codec::CancelKey;
use dunemount::pg::timed_buffer::Arrival;
use dunemount::{GroupId, Micros, SessionKey};
use harness::scripted::{cancel, client_with_key};
use harness::{get, metric, read, set_host_state, write, Harness};

/// Longest wait for an answer of another thread of the test, also on a busy machine.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(60);

/// A path that only this test uses.
fn socket_path(test: &str) -> PathBuf {
    std::env::temp_dir().join(format!("dunemount-{test}-{}.line", std::process::id()))
}

/// Starts the successor of the process that listens at a path.
fn start_successor(path: &Path) -> Harness {
    Harness::with_handover(
        200,
        Some(path.to_path_buf()),
        Some(handover_socket::take_over(path, HANDOVER_TIMEOUT).expect("handed over")),
    )
}

/// Guards clients during a hot restart: an idle client continues at the successor on the same connection, even after
/// half a command; one that waits for an answer gets it before it is handed over; and new clients are accepted. Then
/// the previous process ends by itself.
#[test]
fn clients_are_handed_over_to_the_successor() {
    let path = socket_path("clients");
    let mut old = Harness::with_handover(200, Some(path.clone()), None);
    let (mut idle, mut half, mut busy) = (old.client(), old.client(), old.client());
    idle.ask(&read("k"));
    assert_eq!(idle.answer().len(), 4);
    busy.ask(&read("held"));
    while !old.host_events.recv().expect("heard").contains("'held'") {}
    half.socket.write_all(b"Q\0\0").expect("written");
    let new = start_successor(&path);
    assert!(get(new.admin, "/ops/readiness").starts_with("HTTP/1.1 200 "));
    idle.ask(&read("k"));
    assert_eq!(idle.answer().len(), 4);
    half.socket.write_all(b"\0\x05\0").expect("written");
    assert_eq!(half.answer().first().map(|frame| frame.tag), Some(b'I'), "the empty query is complete");
    while metric(new.admin, "responses.look.ok") < 1 {}
    let mut fresh = old.client();
    fresh.ask(&read("k"));
    assert_eq!(fresh.answer().len(), 4);
    old.stop.write_all(&[1]).expect("sent");
    assert!(!old.gateway.is_finished(), "a request is still in flight");
    old.host_controls.released.store(true, Ordering::SeqCst);
    assert_eq!(busy.answer().len(), 4);
    old.gateway.join().expect("it ends by itself");
    busy.ask(&read("k"));
    assert_eq!(busy.answer().len(), 4, "this client has been handed over as well");
    assert_eq!(metric(new.admin, "responses.look.ok"), 3);
    new.end();
}

/// Guards a cancel request during a hot restart: it arrives at the successor, which has the listener, while the
/// previous process still has the request. The client's key stays valid after the client was handed over.
#[test]
fn a_cancel_reaches_its_request_in_both_processes() {
    let path = socket_path("cancels");
    let old = Harness::with_handover(200, Some(path.clone()), None);
    let (mut client, key) = client_with_key(&old);
    client.ask(&read("held"));
    while !old.host_events.recv().expect("heard").contains("'held'") {}
    let new = start_successor(&path);
    // The previous process has received the message that the successor accepts clients, and accepts none any more.
    while !get(new.admin, "/ops/readiness").starts_with("HTTP/1.1 200 ") {}
    cancel(old.address, key);
    assert_eq!(client.code(), "57014");
    assert_eq!(metric(old.admin, "responses.look.errors"), 1);
    client.ask(&read("silent"));
    while !old.host_events.recv().expect("heard").contains("'silent'") {}
    while metric(new.admin, "active") < 1 {}
    cancel(old.address, key);
    assert_eq!(client.code(), "57014");
    assert_eq!(metric(new.admin, "responses.look.errors"), 1);
    old.host_controls.released.store(true, Ordering::SeqCst);
    old.end();
    new.end();
}

/// Guards clients against a successor that dies or stops at any point of the handover: before it has read the state,
/// after that, or once it has reported that it accepts clients. The previous process continues to serve, and hands over
/// again.
#[test]
fn a_successor_that_dies_at_any_message_affects_no_client() {
    let path = socket_path("dying");
    let old = Harness::with_handover(200, Some(path.clone()), None);
    let mut client = old.client();
    for message in 0..3 {
        let successor = match message {
            0 => {
                // It connects, and closes the connection before any message.
                let address = rustix::net::SocketAddrUnix::new(&path).expect("a path");
                let (family, kind) = (rustix::net::AddressFamily::UNIX, rustix::net::SocketType::SEQPACKET);
                let socket = rustix::net::socket(family, kind, None).expect("a socket");
                rustix::net::connect(&socket, &address).expect("a process listens there");
                None
            }
            _ => Some(handover_socket::take_over(&path, HANDOVER_TIMEOUT).expect("handed over")),
        };
        if let Some(mut next) = successor {
            // The successor does nothing: the previous process serves clients meanwhile.
            client.ask(&read("k"));
            assert_eq!(client.answer().len(), 4, "{message}");
            if message == 2 {
                next.socket.send(&Message::Ready, None).expect("sent");
                // The end of the connection follows that message on the socket.
            }
        }
        let mut other = old.client();
        other.ask(&read("k"));
        assert_eq!(other.answer().len(), 4, "{message}");
    }
    let new = start_successor(&path);
    client = new.client();
    client.ask(&read("k"));
    assert_eq!(client.answer().len(), 4);
    old.end();
    new.end();
}

/// Guards hosts that are administratively down: the state outlives the process that received the command, and a command
/// at the admin interface of either process takes effect at both.
#[test]
fn hosts_put_down_are_down_at_both_processes() {
    let path = socket_path("bans");
    let old = Harness::with_handover(200, Some(path.clone()), None);
    assert!(set_host_state(old.admin, "down", "s-1"));
    let new = start_successor(&path);
    assert_eq!(metric(new.admin, "pool_ejected"), 1);
    assert!(set_host_state(old.admin, "down", "s-2"));
    while metric(new.admin, "pool_ejected") != 2 {}
    old.end();
    assert!(set_host_state(new.admin, "up", "s-1"));
    assert_eq!((metric(new.admin, "pool_ejected"), metric(new.admin, "pool_size")), (1, 3));
    new.end();
    // There is no process to take over from, and a host that was not put up again stays down.
    let alone = Harness::with_handover(200, Some(path.clone()), None);
    assert_eq!(metric(alone.admin, "pool_ejected"), 1);
    assert!(set_host_state(alone.admin, "up", "s-2"));
    alone.end();
    let after = Harness::with_handover(200, Some(path.clone()), None);
    assert_eq!(metric(after.admin, "pool_ejected"), 0);
    after.end();
    std::fs::remove_file(path.with_extension("down")).expect("removed");
}

/// Guards several hot restarts in a row, and one that fails: if the successor ends early, the previous process serves
/// again and hands over to another successor.
#[test]
fn another_successor_takes_over_after_one_has_failed() {
    let path = socket_path("row");
    let first = Harness::with_handover(200, Some(path.clone()), None);
    let failed = handover_socket::take_over(&path, HANDOVER_TIMEOUT).expect("handed over");
    drop(failed);
    let second = start_successor(&path);
    second.end();
    // The second has ended: the first accepts again, and waits for the next.
    let mut client = first.client();
    client.ask(&write("k"));
    assert_eq!(client.answer().len(), 4);
    let third = loop {
        match handover_socket::take_over(&path, HANDOVER_TIMEOUT) {
            Ok(inherited) => break Harness::with_handover(200, Some(path.clone()), Some(inherited)),
            Err(_) => std::thread::yield_now(),
        }
    };
    first.end();
    client.ask(&write("k"));
    assert_eq!(client.answer().len(), 4);
    third.end();
}

/// Guards starts without a working previous process: none at all, one that died and left its socket, one that sends
/// nothing and one that sends an unexpected message. None delays a start for longer than the timeout.
#[test]
fn a_missing_or_broken_previous_process_prevents_no_start() {
    let path = socket_path("alone");
    let short_timeout = Duration::from_millis(50);
    assert!(handover_socket::take_over(&path, short_timeout).is_err(), "no process");
    drop(handover_socket::listen(&path).expect("a path"));
    assert!(handover_socket::take_over(&path, short_timeout).is_err(), "left behind by a process that died");
    let silent = handover_socket::listen(&path).expect("the path is taken over");
    assert!(handover_socket::take_over(&path, short_timeout).is_err(), "silent");
    let (result_sender, result) = std::sync::mpsc::channel();
    let successor_path = path.clone();
    std::thread::spawn(move || {
        result_sender.send(handover_socket::take_over(&successor_path, HANDOVER_TIMEOUT).is_err())
    });
    // The connection of the earlier call is still the first in the queue.
    for _ in 0..2 {
        let mut socket = loop {
            match HandoverSocket::accept(&silent) {
                Ok(socket) => break socket,
                Err(_) => std::thread::yield_now(),
            }
        };
        let _ = socket.send(&Message::Ready, None);
    }
    assert!(result.recv().expect("it returns"), "no snapshot");
    std::fs::remove_file(path).expect("removed");
}

/// Guards handovers between versions: the message of a process that sends no arrivals is understood, and a process that
/// reads no arrivals ignores them.
#[test]
fn a_client_is_handed_over_between_versions_with_and_without_arrivals() {
    #[derive(serde::Deserialize)]
    enum Earlier {
        Client { greeted: bool, asked: bool, bytes: Vec<u8> },
    }
    let json = r#"{"Client":{"greeted":true,"asked":false,"bytes":[81]}}"#;
    let Ok(Message::Client { greeted: true, has_queried: false, bytes, key, arrivals }) =
        serde_json::from_str(json)
    else {
        panic!("an earlier version's client is not understood")
    };
    assert_eq!((bytes, key, arrivals), (vec![81], CancelKey::default(), Vec::new()));
    let arrivals = vec![Arrival(Micros(7), 2), Arrival(Micros(9), 1)];
    let key = CancelKey { process: 3, secret: 4 };
    let message = Message::Client { greeted: true, has_queried: true, bytes: vec![81, 0], key, arrivals };
    let json = serde_json::to_string(&message).expect("JSON");
    let Earlier::Client { greeted, asked, bytes } =
        serde_json::from_str(&json).expect("understood by an earlier version");
    assert_eq!((greeted, asked, bytes), (true, true, vec![81, 0]));
    let Ok(Message::Client { arrivals, .. }) = serde_json::from_str(&json) else { panic!("not understood") };
    assert_eq!(arrivals, [Arrival(Micros(7), 2), Arrival(Micros(9), 1)]);
}

/// Guards the order and completeness of messages: long messages arrive complete, and descriptors with the message that
/// they belong to, even if the other end reads late.
#[test]
fn a_handover_socket_keeps_messages_whole_and_in_order() {
    let path = socket_path("order");
    let listener = handover_socket::listen(&path).expect("a path");
    let (successor_path, long) = (path.clone(), "x".repeat(300_000));
    let reader =
        std::thread::spawn(move || handover_socket::take_over(&successor_path, HANDOVER_TIMEOUT).err());
    let mut handover = loop {
        match HandoverSocket::accept(&listener) {
            Ok(handover) => break handover,
            Err(_) => std::thread::yield_now(),
        }
    };
    // The other end closes the connection at a first message that is no snapshot; this end sends until it
    // detects that.
    let (socket, mut other) = UnixStream::pair().expect("a pair");
    let down = Message::SetDown { host: long, down: true };
    handover.send(&down, Some(OwnedFd::from(socket))).expect("sent");
    let commit = Message::Commit { group: GroupId(1), session: SessionKey(u64::MAX), commit: Micros(7) };
    while handover.send(&commit, None).is_ok() && handover.has_pending_output() {
        handover.flush().unwrap_or_default();
    }
    assert!(reader.join().expect("it returns").is_some());
    assert!(other.write_all(&[0; 1 << 20]).is_err(), "the descriptor was received and closed there");
    std::fs::remove_file(path).expect("removed");
}
