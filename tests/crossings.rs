//! Pairs of events that may cross, in both orders, over loopback sockets. Each order is forced by what a stand-in
//! holds back: a byte, an accept, a greeting, an answer. `docs/design/crossings.md` names the owner of each outcome.

mod harness;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use dunemount::pg::codec::{self, CancelKey, ReceiveBuffer};
use harness::scripted::{
    accept_discovery_call, answer, cancel, client_with_key, start_gateway, Host, HostConnection,
};
use harness::{answer_discovery, listens, listing, metric, read, write, ClientConnection};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};

/// Whether the client's end has reached the gateway's machine: it acknowledges it, whoever reads it.
fn leave(talk: ClientConnection) {
    talk.socket.shutdown(Shutdown::Both).expect("a socket");
}

/// Guards hosts against work for nobody where the client leaves while its attempt's connection comes up: the greeting and the end are both
/// there when the gateway looks, and nothing is written.
#[test]
fn a_client_that_leaves_while_its_connection_comes_up_is_not_sent_on() {
    for cores in [1, 2] {
        let host = Host::new();
        let harness = start_gateway(&[&host], cores);
        let mut client = harness.client();
        client.ask(&read("gone"));
        let mut link = host.accept_startup();
        leave(client);
        // Another worker has to be told; this one sees for itself, with the greeting in the same turn.
        while cores > 1 && metric(harness.admin, "active") > 0 {}
        link.greet();
        let mut other = harness.client();
        other.ask(&read("here"));
        let mut next = link;
        let mut asked = next.next_statement();
        if asked.is_none() {
            next = host.accept_ready();
            asked = next.next_statement();
        }
        assert!(asked.as_ref().is_some_and(|text| text.contains("'here'")), "{asked:?}, {cores} cores");
        next.send(&answer("master", None));
        assert_eq!(other.answer().len(), 4);
        harness.end();
    }
}

/// Guards the same between two attempts, with so many bytes behind the request that they are not read: the first
/// attempt's connection is reset only once the client has left, and no second attempt follows.
#[test]
fn a_client_that_leaves_behind_unread_bytes_is_not_tried_again() {
    let host = Host::new();
    let harness = start_gateway(&[&host], 1);
    let mut client = harness.client();
    client.ask(&read("gone"));
    let mut link = host.accept_ready();
    assert!(link.next_statement().expect("an attempt").contains("'gone'"));
    // More than is held, so that the rest is not read; the end lies behind it in the gateway's socket.
    let mut flood = Vec::new();
    codec::write_query(&mut flood, &"y".repeat(80_000));
    client.socket.write_all(&flood.repeat(3)).expect("written");
    leave(client);
    // The attempt is called off at the sight of the end: the host sees its connection end before it has said a word.
    assert_eq!(link.next_statement(), None);
    let mut other = harness.client();
    other.ask(&read("here"));
    let mut next = host.accept_ready();
    assert!(next.next_statement().expect("an attempt").contains("'here'"));
    next.send(&answer("master", None));
    assert_eq!(other.answer().len(), 4);
    // It was the client's end, not that of its time, that ended the request: nobody is told of it.
    assert_eq!(
        metric(harness.admin, "responses.look.errors") + metric(harness.admin, "responses.look.shed"),
        0
    );
    harness.end();
}

/// Guards a cancel: the attempt ends, no other follows, the client hears 57014 once and its connection goes on. One
/// with a key that fits nobody, and one after the answer, change nothing. Also where client and family have different
/// workers.
#[test]
fn a_cancel_ends_the_request_that_it_names_and_no_other() {
    for cores in [1, 2, 3] {
        let host = Host::new();
        let harness = start_gateway(&[&host], cores);
        let ((mut client, key), (mut other, second)) = (client_with_key(&harness), client_with_key(&harness));
        assert_ne!(key, second);
        client.ask(&read("cancelled"));
        let mut link = host.accept_ready();
        assert!(link.next_statement().expect("an attempt").contains("'cancelled'"));
        for wrong in [CancelKey { secret: !key.secret, ..key }, CancelKey::default(), second] {
            cancel(harness.address, wrong);
        }
        cancel(harness.address, key);
        assert_eq!(client.code(), "57014", "{cores} cores");
        assert_eq!(link.next_statement(), None, "the host sees the end of the attempt");
        // After the answer it names nothing any more: the next request is served.
        cancel(harness.address, key);
        for talk in [&mut client, &mut other] {
            talk.ask(&read("next"));
            let mut link = host.accept_ready();
            assert!(link.next_statement().expect("an attempt").contains("'next'"));
            link.send(&answer("master", None));
            assert_eq!(talk.answer().len(), 4);
        }
        assert_eq!(metric(harness.admin, "responses.look.errors"), 1);
        assert_eq!(metric(harness.admin, "responses.look.ok"), 2);
        harness.end();
    }
}

/// Guards a cancel that comes while the request waits for its connection: nothing is written, and a cancel that is cut
/// off or too long closes its own connection only.
#[test]
fn a_cancel_while_the_connection_comes_up_leaves_nothing_to_write() {
    let host = Host::new();
    let harness = start_gateway(&[&host], 1);
    let (mut client, key) = client_with_key(&harness);
    client.ask(&write("cancelled"));
    let mut link = host.accept_startup();
    for bytes in [
        &[0, 0, 0, 8, 4, 210, 22, 46][..],
        &[0, 0, 0, 20, 4, 210, 22, 46, 1, 1, 1, 1, 2, 2, 2, 2, 3, 3, 3, 3],
    ] {
        let mut bad = TcpStream::connect(harness.address).expect("accepted");
        bad.write_all(bytes).expect("written");
        let _ = bad.read_to_end(&mut Vec::new());
    }
    cancel(harness.address, key);
    assert_eq!(client.code(), "57014");
    link.greet();
    client.ask(&read("next"));
    let asked = link.next_statement().or_else(|| host.accept_ready().next_statement()).expect("an attempt");
    assert!(asked.contains("'next'"), "{asked}");
    drop(link);
    drop(harness);
}

/// Guards the last answer before a close over unread bytes: the client hears all of it, though it has sent more than
/// the gateway ever read. A system that resets the connection takes the answer along.
#[test]
fn the_last_answer_arrives_whole_though_the_client_sent_on() {
    let host = Host::new();
    let mut harness = start_gateway(&[&host], 1);
    // A client that holds little and reads late: most of the answer is still with the gateway's system at the close.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a socket");
    socket.connect(&harness.address.into()).expect("accepted");
    let mut client = ClientConnection { socket: socket.into(), inbox: ReceiveBuffer::default() };
    let mut hello = Vec::new();
    codec::write_startup_packet(&mut hello, "app", "shop");
    client.socket.write_all(&hello).expect("written");
    assert_eq!(client.answer().pop().map(|frame| frame.tag), Some(b'Z'));
    client.ask(&read("large"));
    let mut link = host.accept_ready();
    link.next_statement().expect("an attempt");
    harness.stop.write_all(&[1]).expect("told");
    // Once the listener is closed nothing more is read of clients.
    while listens(harness.address) {
        std::thread::sleep(std::time::Duration::from_millis(2));
    }
    for _ in 0..50 {
        client.ask(&read("too-late"));
    }
    let value = vec![7; 60_000];
    let mut out = Vec::new();
    codec::write_message(&mut out, b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01");
    codec::write_message(
        &mut out,
        b'D',
        &[&[0, 1][..], &(value.len() as u32).to_be_bytes(), &value].concat(),
    );
    codec::write_message(&mut out, b'C', b"SELECT 1\0");
    codec::write_ready_for_query(&mut out);
    link.send(&out);
    harness.gateway.join().expect("it ends by itself");
    let answer = client.answer();
    assert_eq!(answer.iter().map(|frame| frame.tag).collect::<Vec<_>>(), b"TDCZ");
    assert_eq!(codec::single_column_value(&answer[1].body), Some(&value[..]));
    // What crossed the close was not taken: the end comes in order, and no attempt was made of it.
    assert_eq!(client.answer().len(), 0);
    assert!(link.next_statement().is_none_or(|text| !text.contains("too-late")));
}

/// Guards against a process that serves until it is killed: a client that has its next request always there is
/// answered what was read before the listener closed, and then let go.
#[test]
fn a_client_that_keeps_sending_does_not_hold_the_end_up() {
    let host = Host::new();
    let mut harness = start_gateway(&[&host], 1);
    let mut client = harness.client();
    client.ask(&read("first"));
    let mut link = host.accept_ready();
    link.next_statement().expect("an attempt");
    harness.stop.write_all(&[1]).expect("told");
    harness.stop.write_all(&[1]).expect("twice");
    while listens(harness.address) {
        std::thread::sleep(std::time::Duration::from_millis(2));
    }
    let mut sender = client.socket.try_clone().expect("a socket");
    let more = std::thread::spawn(move || {
        let mut bytes = Vec::new();
        codec::write_query(
            &mut bytes,
            "SELECT doc FROM items WHERE id = 'more' /* id=more,c=look,d=30000,cluster=1 */",
        );
        while sender.write_all(&bytes).is_ok() {}
    });
    link.send(&answer("master", None));
    harness.gateway.join().expect("it ends by itself");
    assert_eq!(client.answer().len(), 4);
    more.join().expect("its connection has ended");
}

/// Guards a clerk against a write that was answered into silence: the host has committed, its answer never arrives,
/// and the session's next read goes to the primary, not to a replica that is behind.
#[test]
fn a_session_whose_writes_answer_is_reset_reads_at_the_primary() {
    let (primary, replica) = (Host::new(), Host::new());
    let harness = start_gateway(&[&primary, &replica], 1);
    let mut client = harness.client();
    client.ask(&write("clerk").replace("c=store", "c=once"));
    let mut link = primary.accept_ready();
    link.next_statement().expect("the write");
    // It has committed; the answer is lost with the connection.
    link.reset();
    assert_eq!(client.code(), "58000");
    client.ask(&read("clerk").replace("c=look", "c=own"));
    let mut link = primary.accept_ready();
    assert!(link.next_statement().expect("the read").contains("'clerk'"));
    link.send(&answer("master", None));
    assert_eq!(client.answer().len(), 4);
    harness.end();
}

/// Guards answers that break off at each byte, by an end and by a reset: what is not whole is not served, the client
/// gets one answer, from the second attempt.
#[test]
fn an_answer_that_breaks_off_at_any_byte_is_not_served() {
    let whole = answer("master", None);
    // The last word on the request is CommandComplete: what comes behind it says nothing of the answer.
    let told = whole.len() - 6 - (5 + "part\0master\0".len());
    let cuts: Vec<(usize, bool)> = (0..told).flat_map(|at| [(at, false), (at, true)]).collect();
    let break_off = |at: usize, reset: bool| {
        let (primary, replica) = (Host::new(), Host::new());
        let harness = start_gateway(&[&primary, &replica], 1);
        let mut client = harness.client();
        client.ask(&read("broken"));
        let mut link = replica.accept_ready();
        link.next_statement().expect("an attempt");
        link.send(&whole[..at]);
        match reset {
            true => link.reset(),
            false => drop(link),
        }
        let mut link = primary.accept_ready();
        link.next_statement().expect("a second attempt");
        link.send(&whole);
        let answer: Vec<u8> = client.answer().iter().map(|frame| frame.tag).collect();
        assert_eq!(answer, b"TDCZ", "{at} {reset}");
        assert_eq!(metric(harness.admin, "responses.look.ok"), 1);
        harness.end();
    };
    // A gateway each, and some side by side: each takes its time to hand over at its end.
    std::thread::scope(|scope| {
        for few in cuts.chunks(cuts.len().div_ceil(24)) {
            scope.spawn(|| few.iter().for_each(|(at, reset)| break_off(*at, *reset)));
        }
    });
}

/// A list of these hosts in which the second one drains.
fn draining(hosts: &[SocketAddr], rev: u64) -> Value {
    let mut list = listing(hosts);
    list["rev"] = json!(rev);
    list["targets"][1]["state"] = json!("Terminating");
    list
}

/// Guards drains that come right behind a watch that fails, whichever way: silent until it is given up, reset, cut off
/// within its answer, an answer without a length that is reset, turned away, or answered only once it was given up.
/// The next call hears of the drain, and nothing is sent there after it.
#[test]
fn a_drain_right_behind_a_watch_that_fails_is_heard() {
    let body = |list: &Value| format!("HTTP/1.1 200 OK\r\n\r\n{list}");
    for way in ["silent", "late", "reset", "cut", "unsaid", "refused"] {
        let (primary, replica) = (Host::new(), Host::new());
        let harness = start_gateway(&[&primary, &replica], 1);
        let list = draining(&[primary.address(), replica.address()], 9);
        let (mut watch, asked) = accept_discovery_call(&harness.discovery);
        assert!(asked.contains("index=4&wait="), "{asked}");
        match way {
            "silent" | "late" => {}
            "reset" => {
                HostConnection {
                    socket: watch.try_clone().expect("a socket"),
                    inbox: ReceiveBuffer::default(),
                }
                .reset();
            }
            "cut" => watch
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":9,")
                .expect("written"),
            "unsaid" => {
                let text = body(&list);
                watch.write_all(&text.as_bytes()[..text.len() - 1]).expect("written");
                HostConnection {
                    socket: watch.try_clone().expect("a socket"),
                    inbox: ReceiveBuffer::default(),
                }
                .reset();
            }
            _ => watch.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").expect("written"),
        }
        let kept = ["silent", "late"].contains(&way).then(|| watch.try_clone().expect("a socket"));
        drop(watch);
        let (mut next, asked) = accept_discovery_call(&harness.discovery);
        assert!(asked.starts_with("GET /catalog/members"), "{way}: {asked}");
        if let Some(mut late) = kept.filter(|_| way == "late") {
            // An answer to the call that was given up, with an older list, is nobody's.
            let _ = late.write_all(body(&listing(&[primary.address(), replica.address()])).as_bytes());
        }
        answer_discovery(&mut next, &list);
        // The call after it goes on from there: the list has been taken in.
        let (_watch, asked) = accept_discovery_call(&harness.discovery);
        assert!(asked.contains("index=9&wait="), "{way}: {asked}");
        let mut client = harness.client();
        client.ask(&read("k"));
        let mut link = primary.accept_ready();
        assert!(link.next_statement().expect("an attempt").contains("'k'"), "{way}");
        link.send(&answer("master", None));
        assert_eq!(client.answer().len(), 4, "{way}");
        replica.listener.set_nonblocking(true).expect("a socket");
        assert!(replica.listener.accept().is_err(), "{way}: nothing goes to the host that drains");
        harness.end();
    }
}

/// Guards the watch while calls are silent, as of a discovery that is down: the next call goes out beside the silent one,
/// with the version kept, and two are out at most. News on either counts and ends the other; a late word without news
/// is nobody's and leaves the call after it in place.
#[test]
fn a_silent_watch_stays_out_beside_the_next_call() {
    let ended = |socket: &mut TcpStream| matches!(socket.read(&mut [0; 8]), Ok(0) | Err(_));
    let open = |socket: &TcpStream| {
        socket.set_nonblocking(true).expect("a socket");
        let open = socket.peek(&mut [0; 8]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        socket.set_nonblocking(false).expect("a socket");
        open
    };
    for first in ["the silent one", "the next", "the silent one without news"] {
        let host = Host::new();
        let harness = start_gateway(&[&host], 1);
        let (mut oldest, asked) = accept_discovery_call(&harness.discovery);
        assert!(asked.contains("index=4&wait="), "{asked}");
        let (mut silent, asked) = accept_discovery_call(&harness.discovery);
        assert!(asked.contains("index=4&wait="), "{asked}");
        assert!(open(&oldest), "the silent watch stays out");
        let (mut next, asked) = accept_discovery_call(&harness.discovery);
        assert!(asked.contains("index=4&wait="), "{asked}");
        assert!(ended(&mut oldest), "two are out at most");
        assert!(open(&silent));
        let mut list = listing(&[host.address()]);
        list["rev"] = json!(9);
        let left = match first {
            "the silent one" => {
                answer_discovery(&mut silent, &list);
                &mut next
            }
            "the next" => {
                answer_discovery(&mut next, &list);
                &mut silent
            }
            _ => {
                answer_discovery(&mut silent, &listing(&[host.address()]));
                assert!(ended(&mut silent), "{first}: of no use any more");
                assert!(open(&next));
                answer_discovery(&mut next, &list);
                &mut silent
            }
        };
        let (mut after, asked) = accept_discovery_call(&harness.discovery);
        assert!(asked.contains("index=9&wait="), "{first}: {asked}");
        assert!(ended(left), "{first}: the other is let go");
        // What the one that was let go says now is nobody's.
        let _ = left.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"rev\":20,\"all\":true,\"targets\":[]}",
        );
        list["rev"] = json!(10);
        answer_discovery(&mut after, &list);
        let (_watch, asked) = accept_discovery_call(&harness.discovery);
        assert!(asked.contains("index=10&wait="), "{first}: {asked}");
        harness.end();
    }
}

/// Guards requests against an answer that has begun and never ends, in the row or behind it, with its connection open:
/// the next attempt is served. One whose last word has come is served as it is.
#[test]
fn an_answer_that_never_ends_is_broken_off() {
    let whole = answer("master", None);
    let told = whole.len() - 6 - (5 + "part\0master\0".len());
    for (at, second) in [(1, true), (40, true), (told - 1, true), (told, false)] {
        let (primary, replica) = (Host::new(), Host::new());
        let harness = start_gateway(&[&primary, &replica], 1);
        let mut client = harness.client();
        client.ask(&read("endless"));
        let mut link = replica.accept_ready();
        link.next_statement().expect("an attempt");
        link.send(&whole[..at]);
        if second {
            let mut next = primary.accept_ready();
            next.next_statement().expect("a second attempt");
            next.send(&whole);
        }
        let answer: Vec<u8> = client.answer().iter().map(|frame| frame.tag).collect();
        assert_eq!(answer, b"TDCZ", "{at}");
        assert_eq!(link.next_statement(), None, "its connection is of no use any more");
        harness.end();
    }
}

/// Guards a long answer whose first part is out against a cancel: it can be called off no more, and comes whole.
#[test]
fn a_cancel_does_not_cut_an_answer_that_flows() {
    let host = Host::new();
    let harness = start_gateway(&[&host], 1);
    let (mut client, key) = client_with_key(&harness);
    client.ask(&read("long"));
    let mut link = host.accept_ready();
    link.next_statement().expect("an attempt");
    let value = vec![7; 200_000];
    let mut out = Vec::new();
    codec::write_message(&mut out, b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01");
    codec::write_message(
        &mut out,
        b'D',
        &[&[0, 1][..], &(value.len() as u32).to_be_bytes(), &value].concat(),
    );
    codec::write_message(&mut out, b'C', b"SELECT 1\0");
    codec::write_ready_for_query(&mut out);
    let (half, rest) = out.split_at(100_000);
    link.send(half);
    let mut first = [0; 1000];
    client.socket.read_exact(&mut first).expect("its first part");
    client.inbox.push(&first);
    cancel(harness.address, key);
    link.send(rest);
    let answer = client.answer();
    assert_eq!(answer.iter().map(|frame| frame.tag).collect::<Vec<_>>(), b"TDCZ");
    assert_eq!(codec::single_column_value(&answer[1].body), Some(&value[..]));
    assert_eq!(metric(harness.admin, "responses.look.ok"), 1);
    harness.end();
}

/// Guards clients against others that flood, that send a byte at a time, and that read nothing: they are served beside
/// them, the slow one too, and what the floods sent behind their request is held back by the system.
#[test]
fn floods_and_slow_clients_keep_nobody_from_being_served() {
    let host = Host::new();
    let harness = start_gateway(&[&host], 1);
    let mut floods: Vec<ClientConnection> = (0..4).map(|_| harness.client()).collect();
    let mut flood = Vec::new();
    codec::write_query(&mut flood, &"y".repeat(64 * 1024));
    let mut held = Vec::new();
    for talk in &mut floods {
        talk.ask(&read("flood"));
        let mut link = host.accept_ready();
        assert!(link.next_statement().expect("an attempt").contains("'flood'"));
        held.push(link);
        talk.socket.set_nonblocking(true).expect("a socket");
        let mut sent = 0;
        while let Ok(count) = talk.socket.write(&flood) {
            sent += count;
            assert!(sent < 64 * 1024 * 1024, "it is read without end");
        }
    }
    let mut slow = harness.client();
    let mut bytes = Vec::new();
    codec::write_query(&mut bytes, &read("slow"));
    for byte in bytes {
        slow.socket.write_all(&[byte]).expect("written");
    }
    let mut link = host.accept_ready();
    for (talk, name) in [(&mut slow, "slow"), (&mut harness.client(), "quick")] {
        if name == "quick" {
            talk.ask(&read(name));
        }
        assert!(link.next_statement().expect("an attempt").contains(name));
        link.send(&answer("master", None));
        assert_eq!(talk.answer().len(), 4);
    }
    assert_eq!(metric(harness.admin, "active"), 4, "the floods' own requests are still out");
    drop(floods);
    drop(held);
    harness.end();
}
