//! Upgrades: two gateways at one address, the line between them, and starts without a peer.

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

/// However busy the machine, a peer in the same process answers within this.
const LONG: Duration = Duration::from_secs(60);

/// A path of this test's own.
fn path(test: &str) -> PathBuf {
    std::env::temp_dir().join(format!("dunemount-{test}-{}.line", std::process::id()))
}

fn follow(path: &Path) -> Harness {
    Harness::with_handover(
        200,
        Some(path.to_path_buf()),
        Some(handover_socket::take_over(path, LONG).expect("handed over")),
    )
}

/// Guards clients through an upgrade: one that was idle goes on at the next process on the same
/// connection, half a command included, one that was owed an answer gets it first, and new ones meet no
/// refusal. Then the old process ends by itself.
#[test]
fn clients_go_over_to_the_next_process() {
    let at = path("clients");
    let mut old = Harness::with_handover(200, Some(at.clone()), None);
    let (mut idle, mut half, mut busy) = (old.client(), old.client(), old.client());
    idle.ask(&read("k"));
    assert_eq!(idle.answer().len(), 4);
    busy.ask(&read("held"));
    while !old.host_events.recv().expect("heard").contains("'held'") {}
    half.socket.write_all(b"Q\0\0").expect("written");
    let new = follow(&at);
    assert!(get(new.admin, "/ops/readiness").starts_with("HTTP/1.1 200 "));
    idle.ask(&read("k"));
    assert_eq!(idle.answer().len(), 4);
    half.socket.write_all(b"\0\x05\0").expect("written");
    assert_eq!(half.answer().first().map(|frame| frame.tag), Some(b'I'), "the empty query is whole");
    while metric(new.admin, "responses.look.ok") < 1 {}
    let mut fresh = old.client();
    fresh.ask(&read("k"));
    assert_eq!(fresh.answer().len(), 4);
    old.stop.write_all(&[1]).expect("told");
    assert!(!old.gateway.is_finished(), "it still owes an answer");
    old.host_controls.released.store(true, Ordering::SeqCst);
    assert_eq!(busy.answer().len(), 4);
    old.gateway.join().expect("it ends by itself");
    busy.ask(&read("k"));
    assert_eq!(busy.answer().len(), 4, "it has gone over as well");
    assert_eq!(metric(new.admin, "responses.look.ok"), 3);
    new.end();
}

/// Guards a cancel that meets an upgrade: it arrives at the next process, whose the listener is, while the request is
/// still the old one's; and once the client has gone over its key goes on to count.
#[test]
fn a_cancel_finds_its_request_on_both_sides_of_an_upgrade() {
    let at = path("cancels");
    let old = Harness::with_handover(200, Some(at.clone()), None);
    let (mut client, key) = client_with_key(&old);
    client.ask(&read("held"));
    while !old.host_events.recv().expect("heard").contains("'held'") {}
    let new = follow(&at);
    // The old process has heard that the next one takes clients: it accepts nobody any more.
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

/// Guards clients against a next process that dies or says nothing at any point of the hand-over: before it has read
/// the state, after it, or once it has said that it takes clients. The old one goes on to serve, and hands over again.
#[test]
fn a_next_process_that_dies_at_any_message_costs_nobody() {
    let at = path("dying");
    let old = Harness::with_handover(200, Some(at.clone()), None);
    let mut client = old.client();
    for message in 0..3 {
        let stand_in = match message {
            0 => {
                // It calls and is gone before a word.
                let place = rustix::net::SocketAddrUnix::new(&at).expect("a path");
                let (family, kind) = (rustix::net::AddressFamily::UNIX, rustix::net::SocketType::SEQPACKET);
                let socket = rustix::net::socket(family, kind, None).expect("a socket");
                rustix::net::connect(&socket, &place).expect("it waits there");
                None
            }
            _ => Some(handover_socket::take_over(&at, LONG).expect("handed over")),
        };
        if let Some(mut next) = stand_in {
            // It stands still: clients are served meanwhile.
            client.ask(&read("k"));
            assert_eq!(client.answer().len(), 4, "{message}");
            if message == 2 {
                next.socket.send(&Message::Ready, None).expect("told");
                // Its death is told on the line behind that word.
            }
        }
        let mut other = old.client();
        other.ask(&read("k"));
        assert_eq!(other.answer().len(), 4, "{message}");
    }
    let new = follow(&at);
    client = new.client();
    client.ask(&read("k"));
    assert_eq!(client.answer().len(), 4);
    old.end();
    new.end();
}

/// Guards hosts put down by hand: what is put down outlives the process that took it, and a word at either admin interface of
/// two counts at both.
#[test]
fn bans_hold_at_both_processes() {
    let at = path("bans");
    let old = Harness::with_handover(200, Some(at.clone()), None);
    assert!(set_host_state(old.admin, "down", "s-1"));
    let new = follow(&at);
    assert_eq!(metric(new.admin, "pool_ejected"), 1);
    assert!(set_host_state(old.admin, "down", "s-2"));
    while metric(new.admin, "pool_ejected") != 2 {}
    old.end();
    assert!(set_host_state(new.admin, "up", "s-1"));
    assert_eq!((metric(new.admin, "pool_ejected"), metric(new.admin, "pool_size")), (1, 3));
    new.end();
    // Nobody is left to take over from, and what is still down stays down.
    let alone = Harness::with_handover(200, Some(at.clone()), None);
    assert_eq!(metric(alone.admin, "pool_ejected"), 1);
    assert!(set_host_state(alone.admin, "up", "s-2"));
    alone.end();
    let after = Harness::with_handover(200, Some(at.clone()), None);
    assert_eq!(metric(after.admin, "pool_ejected"), 0);
    after.end();
    std::fs::remove_file(at.with_extension("down")).expect("removed");
}

/// Guards several upgrades in a row, and an upgrade that fails: when the next process ends early, the
/// one before serves again and hands over to another.
#[test]
fn a_process_that_follows_may_fail_and_another_come() {
    let at = path("row");
    let first = Harness::with_handover(200, Some(at.clone()), None);
    let failed = handover_socket::take_over(&at, LONG).expect("handed over");
    drop(failed);
    let second = follow(&at);
    second.end();
    // The second has ended: the first accepts again, and waits for the next.
    let mut client = first.client();
    client.ask(&write("k"));
    assert_eq!(client.answer().len(), 4);
    let third = loop {
        match handover_socket::take_over(&at, LONG) {
            Ok(inherited) => break Harness::with_handover(200, Some(at.clone()), Some(inherited)),
            Err(_) => std::thread::yield_now(),
        }
    };
    first.end();
    client.ask(&write("k"));
    assert_eq!(client.answer().len(), 4);
    third.end();
}

/// Guards starts without a sound peer: nobody there, one that died and left its path, one that says
/// nothing and one that says nonsense. None holds a start up for longer than its patience.
#[test]
fn a_missing_or_broken_peer_stops_no_start() {
    let at = path("alone");
    let soon = Duration::from_millis(50);
    assert!(handover_socket::take_over(&at, soon).is_err(), "nobody");
    drop(handover_socket::listen(&at).expect("a path"));
    assert!(handover_socket::take_over(&at, soon).is_err(), "left behind by a process that died");
    let silent = handover_socket::listen(&at).expect("the path is taken over");
    assert!(handover_socket::take_over(&at, soon).is_err(), "silent");
    let (called, ended) = std::sync::mpsc::channel();
    let caller = at.clone();
    std::thread::spawn(move || called.send(handover_socket::take_over(&caller, LONG).is_err()));
    // The silent call still waits in front.
    for _ in 0..2 {
        let mut line = loop {
            match HandoverSocket::accept(&silent) {
                Ok(line) => break line,
                Err(_) => std::thread::yield_now(),
            }
        };
        let _ = line.send(&Message::Ready, None);
    }
    assert!(ended.recv().expect("it gave up"), "no snapshot");
    std::fs::remove_file(at).expect("removed");
}

/// Guards hand-overs between versions: a client of a process that told no arrivals is taken, and one that reads none
/// passes over them.
#[test]
fn a_client_goes_over_between_versions_that_tell_arrivals_and_that_do_not() {
    #[derive(serde::Deserialize)]
    enum Earlier {
        Client { greeted: bool, asked: bool, bytes: Vec<u8> },
    }
    let told = r#"{"Client":{"greeted":true,"asked":false,"bytes":[81]}}"#;
    let Ok(Message::Client { greeted: true, has_queried: false, bytes, key, arrivals }) =
        serde_json::from_str(told)
    else {
        panic!("an earlier version's client is not understood")
    };
    assert_eq!((bytes, key, arrivals), (vec![81], CancelKey::default(), Vec::new()));
    let arrivals = vec![Arrival(Micros(7), 2), Arrival(Micros(9), 1)];
    let key = CancelKey { process: 3, secret: 4 };
    let message = Message::Client { greeted: true, has_queried: true, bytes: vec![81, 0], key, arrivals };
    let told = serde_json::to_string(&message).expect("text");
    let Earlier::Client { greeted, asked, bytes } =
        serde_json::from_str(&told).expect("understood by an earlier version");
    assert_eq!((greeted, asked, bytes), (true, true, vec![81, 0]));
    let Ok(Message::Client { arrivals, .. }) = serde_json::from_str(&told) else { panic!("not understood") };
    assert_eq!(arrivals, [Arrival(Micros(7), 2), Arrival(Micros(9), 1)]);
}

/// Guards the order and wholeness of what is told: long messages arrive whole, sockets with the message
/// that they belong to, also where the other end reads late.
#[test]
fn a_line_keeps_messages_whole_and_in_order() {
    let at = path("order");
    let waits = handover_socket::listen(&at).expect("a path");
    let (caller, long) = (at.clone(), "x".repeat(300_000));
    let reader = std::thread::spawn(move || handover_socket::take_over(&caller, LONG).err());
    let mut line = loop {
        match HandoverSocket::accept(&waits) {
            Ok(line) => break line,
            Err(_) => std::thread::yield_now(),
        }
    };
    // A first message other than a snapshot ends the call; what was sent is still whole on this side.
    let (socket, mut other) = UnixStream::pair().expect("a pair");
    let down = Message::SetDown { host: long, down: true };
    line.send(&down, Some(OwnedFd::from(socket))).expect("sent");
    let commit = Message::Commit { group: GroupId(1), session: SessionKey(u64::MAX), commit: Micros(7) };
    while line.send(&commit, None).is_ok() && line.has_pending_output() {
        line.flush().unwrap_or_default();
    }
    assert!(reader.join().expect("it returns").is_some());
    assert!(other.write_all(&[0; 1 << 20]).is_err(), "the socket went over and was closed there");
    std::fs::remove_file(at).expect("removed");
}
