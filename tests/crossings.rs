//! Races between pairs of events, in both orders, over loopback sockets. Each order is forced by a scripted peer that
//! withholds a byte, an accept, a greeting or an answer. `docs/design/crossings.md` names the owner of each outcome.

mod harness;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::time::Duration;

use dunemount::pg::codec::{self, CancelKey, ReceiveBuffer};
use harness::process::ProcessOptions;
use harness::scripted::{
    accept_discovery_call, answer, cancel, client_with_key, let_connections_rest, start_gateway, Host,
    HostConnection, HostConnections,
};
use harness::{answer_discovery, bind_loopback, listens, listing, metric, read, write, ClientConnection};
use rustix::process::Signal;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};

/// Descriptors of a gateway, and the number of clients that have sent a query and may stay connected with them.
const MANY_DESCRIPTORS: usize = 200;
const KNOWN_CLIENTS: usize = MANY_DESCRIPTORS / 4;

/// How long a process is stopped, and the time limit of the request that is in flight meanwhile.
const STOP: Duration = Duration::from_millis(400);
/// Longer than loopback takes to deliver bytes.
const ARRIVAL: Duration = Duration::from_millis(50);

/// Disconnects a client. Its FIN reaches the gateway's socket whether or not the gateway reads from it.
fn disconnect(client: ClientConnection) {
    client.socket.shutdown(Shutdown::Both).expect("a socket");
}

/// Guards hosts against useless work where the client disconnects while the connection for its attempt is being
/// established: the host's greeting and the client's FIN are both there at the next poll, and no statement is written.
#[test]
fn a_request_whose_client_disconnects_before_the_greeting_is_not_forwarded() {
    for cores in [1, 2] {
        let host = Host::new();
        let harness = start_gateway(&[&host], cores);
        let mut client = harness.client();
        client.ask(&read("gone"));
        let mut link = host.accept_startup();
        disconnect(client);
        // With one worker, the same poll reports the FIN and the greeting. A second worker must be notified first.
        while cores > 1 && metric(harness.admin, "active") > 0 {}
        link.greet();
        let mut other = harness.client();
        other.ask(&read("here"));
        let mut next = link;
        let mut statement = next.next_statement();
        if statement.is_none() {
            next = host.accept_ready();
            statement = next.next_statement();
        }
        assert!(
            statement.as_ref().is_some_and(|text| text.contains("'here'")),
            "{statement:?}, {cores} cores"
        );
        next.send(&answer("master", None));
        assert_eq!(other.answer().len(), 4);
        harness.end();
    }
}

/// Guards the same between two attempts, where the client's FIN follows more bytes than the gateway reads during a
/// request: the first attempt ends only because the client has disconnected, and no second attempt follows.
#[test]
fn a_request_whose_client_disconnects_after_unread_bytes_is_not_retried() {
    let host = Host::new();
    let harness = start_gateway(&[&host], 1);
    let mut client = harness.client();
    client.ask(&read("gone"));
    let mut link = host.accept_ready();
    assert!(link.next_statement().expect("an attempt").contains("'gone'"));
    // More than the gateway buffers: the rest stays unread in its socket, and the FIN behind it.
    let mut flood = Vec::new();
    codec::write_query(&mut flood, &"y".repeat(80_000));
    client.socket.write_all(&flood.repeat(3)).expect("written");
    disconnect(client);
    // The gateway cancels the attempt when it detects the FIN: it closes the host's connection before the host answers.
    assert_eq!(link.next_statement(), None);
    let mut other = harness.client();
    other.ask(&read("here"));
    let mut next = host.accept_ready();
    assert!(next.next_statement().expect("an attempt").contains("'here'"));
    next.send(&answer("master", None));
    assert_eq!(other.answer().len(), 4);
    // The client's FIN ended the request, and not its deadline: no error is counted.
    assert_eq!(
        metric(harness.admin, "responses.look.errors") + metric(harness.admin, "responses.look.shed"),
        0
    );
    harness.end();
}

/// Guards a cancel request: the attempt ends, none follows, the client receives 57014 once and its connection stays
/// usable. One with an unknown key, one with the key of a client without a request, and one after the answer have no
/// effect. This also holds where the client and the group belong to different workers.
#[test]
fn a_cancel_ends_only_the_request_of_its_key() {
    for cores in [1, 2, 3] {
        let host = Host::new();
        let harness = start_gateway(&[&host], cores);
        let ((mut client, key), (mut other, other_key)) =
            (client_with_key(&harness), client_with_key(&harness));
        assert_ne!(key, other_key);
        client.ask(&read("cancelled"));
        let mut link = host.accept_ready();
        assert!(link.next_statement().expect("an attempt").contains("'cancelled'"));
        for wrong in [CancelKey { secret: !key.secret, ..key }, CancelKey::default(), other_key] {
            cancel(harness.address, wrong);
        }
        cancel(harness.address, key);
        assert_eq!(client.code(), "57014", "{cores} cores");
        assert_eq!(link.next_statement(), None, "the attempt's connection is closed");
        // After the answer the key matches no request: the next request is served.
        cancel(harness.address, key);
        for connection in [&mut client, &mut other] {
            connection.ask(&read("next"));
            let mut link = host.accept_ready();
            assert!(link.next_statement().expect("an attempt").contains("'next'"));
            link.send(&answer("master", None));
            assert_eq!(connection.answer().len(), 4);
        }
        assert_eq!(metric(harness.admin, "responses.look.errors"), 1);
        assert_eq!(metric(harness.admin, "responses.look.ok"), 2);
        harness.end();
    }
}

/// Guards a cancel request that arrives while the request waits for its connection to the host: no statement is
/// written. A cancel request that is cut off or too long closes only its own connection.
#[test]
fn a_cancel_while_the_connection_is_established_leaves_nothing_to_write() {
    let host = Host::new();
    let harness = start_gateway(&[&host], 1);
    let (mut client, key) = client_with_key(&harness);
    client.ask(&write("cancelled"));
    let mut link = host.accept_startup();
    for bytes in [
        &[0, 0, 0, 8, 4, 210, 22, 46][..],
        &[0, 0, 0, 20, 4, 210, 22, 46, 1, 1, 1, 1, 2, 2, 2, 2, 3, 3, 3, 3],
    ] {
        let mut malformed = TcpStream::connect(harness.address).expect("accepted");
        malformed.write_all(bytes).expect("written");
        let _ = malformed.read_to_end(&mut Vec::new());
    }
    cancel(harness.address, key);
    assert_eq!(client.code(), "57014");
    link.greet();
    client.ask(&read("next"));
    let statement =
        link.next_statement().or_else(|| host.accept_ready().next_statement()).expect("an attempt");
    assert!(statement.contains("'next'"), "{statement}");
    drop(link);
    drop(harness);
}

/// Guards the last answer before the gateway closes a connection with unread bytes: the client receives all of it,
/// though it has sent more than the gateway read. Closing a socket with unread bytes resets the connection, which
/// discards the answer.
#[test]
fn the_last_answer_arrives_complete_though_the_client_keeps_sending() {
    let host = Host::new();
    let mut harness = start_gateway(&[&host], 1);
    // A client with a small receive buffer that reads late: at the close, most of the answer is still in the send
    // buffer of the gateway's socket.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a socket");
    socket.connect(&harness.address.into()).expect("accepted");
    let mut client = ClientConnection { socket: socket.into(), inbox: ReceiveBuffer::default() };
    let mut startup = Vec::new();
    codec::write_startup_packet(&mut startup, "app", "shop");
    client.socket.write_all(&startup).expect("written");
    assert_eq!(client.answer().pop().map(|frame| frame.tag), Some(b'Z'));
    client.ask(&read("large"));
    let mut link = host.accept_ready();
    link.next_statement().expect("an attempt");
    harness.stop.write_all(&[1]).expect("signalled");
    // Once the listener is closed, the gateway reads nothing more from clients.
    while listens(harness.address) {
        std::thread::sleep(Duration::from_millis(2));
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
    // The requests sent after the close were not read: the connection ends without a reset, and no attempt was made.
    assert_eq!(client.answer().len(), 0);
    assert!(link.next_statement().is_none_or(|text| !text.contains("too-late")));
}

/// Guards against a shutdown that never completes: a client that sends requests without a pause receives the answers to
/// those read before the listener closed, and is then disconnected.
#[test]
fn a_client_that_keeps_sending_does_not_delay_the_shutdown() {
    let host = Host::new();
    let mut harness = start_gateway(&[&host], 1);
    let mut client = harness.client();
    client.ask(&read("first"));
    let mut link = host.accept_ready();
    link.next_statement().expect("an attempt");
    harness.stop.write_all(&[1]).expect("signalled");
    harness.stop.write_all(&[1]).expect("signalled again");
    while listens(harness.address) {
        std::thread::sleep(Duration::from_millis(2));
    }
    let mut sender = client.socket.try_clone().expect("a socket");
    let sending = std::thread::spawn(move || {
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
    sending.join().expect("its connection has ended");
}

/// Guards a session's own writes where the answer to a write is lost: the host has committed, its answer never arrives,
/// and the session's next read goes to the primary, not to a replica that may lag.
#[test]
fn a_session_reads_at_the_primary_after_the_answer_to_its_write_is_lost() {
    let (primary, replica) = (Host::new(), Host::new());
    let harness = start_gateway(&[&primary, &replica], 1);
    let mut client = harness.client();
    client.ask(&write("clerk").replace("c=store", "c=once"));
    let mut link = primary.accept_ready();
    link.next_statement().expect("the write");
    // The host has committed; the answer is lost with the connection.
    link.reset();
    assert_eq!(client.code(), "58000");
    client.ask(&read("clerk").replace("c=look", "c=own"));
    let mut link = primary.accept_ready();
    assert!(link.next_statement().expect("the read").contains("'clerk'"));
    link.send(&answer("master", None));
    assert_eq!(client.answer().len(), 4);
    harness.end();
}

/// Guards against serving an incomplete answer, whose connection is closed or reset after any of its bytes: the client
/// receives one answer, that of the second attempt.
#[test]
fn an_answer_that_breaks_off_at_any_byte_is_not_served() {
    let complete = answer("master", None);
    // CommandComplete ends the answer: the ParameterStatus and ReadyForQuery after it do not matter.
    let complete_at = complete.len() - 6 - (5 + "part\0master\0".len());
    let cuts: Vec<(usize, bool)> = (0..complete_at).flat_map(|at| [(at, false), (at, true)]).collect();
    let break_off = |at: usize, reset: bool| {
        let (primary, replica) = (Host::new(), Host::new());
        let harness = start_gateway(&[&primary, &replica], 1);
        let mut client = harness.client();
        client.ask(&read("broken"));
        let mut link = replica.accept_ready();
        link.next_statement().expect("an attempt");
        link.send(&complete[..at]);
        match reset {
            true => link.reset(),
            false => drop(link),
        }
        let mut link = primary.accept_ready();
        link.next_statement().expect("a second attempt");
        link.send(&complete);
        let answer: Vec<u8> = client.answer().iter().map(|frame| frame.tag).collect();
        assert_eq!(answer, b"TDCZ", "{at} {reset}");
        assert_eq!(metric(harness.admin, "responses.look.ok"), 1);
        harness.end();
    };
    // Each case has its own gateway. They run in parallel, since each shutdown takes a while.
    std::thread::scope(|scope| {
        for chunk in cuts.chunks(cuts.len().div_ceil(24)) {
            scope.spawn(|| chunk.iter().for_each(|(at, reset)| break_off(*at, *reset)));
        }
    });
}

/// An endpoint list of these hosts in which the second one is draining.
fn list_with_draining_host(hosts: &[SocketAddr], rev: u64) -> Value {
    let mut list = listing(hosts);
    list["rev"] = json!(rev);
    list["targets"][1]["state"] = json!("Terminating");
    list
}

/// Guards drains that are published right after a watch fails in any way: it is silent until it times out, reset, cut
/// off within its answer, reset within an answer without a length, rejected, or answered only after its timeout. The
/// next call returns the drain, and nothing is sent to that host afterwards.
#[test]
fn a_drain_right_after_a_failed_watch_is_received() {
    let body = |list: &Value| format!("HTTP/1.1 200 OK\r\n\r\n{list}");
    for failure in ["silent", "late", "reset", "cut off", "without a length", "rejected"] {
        let (primary, replica) = (Host::new(), Host::new());
        let harness = start_gateway(&[&primary, &replica], 1);
        let list = list_with_draining_host(&[primary.address(), replica.address()], 9);
        let (mut watch, request) = accept_discovery_call(&harness.discovery);
        assert!(request.contains("index=4&wait="), "{request}");
        match failure {
            "silent" | "late" => {}
            "reset" => {
                HostConnection {
                    socket: watch.try_clone().expect("a socket"),
                    inbox: ReceiveBuffer::default(),
                }
                .reset();
            }
            "cut off" => watch
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":9,")
                .expect("written"),
            "without a length" => {
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
        let open_watch = ["silent", "late"].contains(&failure).then(|| watch.try_clone().expect("a socket"));
        drop(watch);
        let (mut next, request) = accept_discovery_call(&harness.discovery);
        assert!(request.starts_with("GET /catalog/members"), "{failure}: {request}");
        if let Some(mut late) = open_watch.filter(|_| failure == "late") {
            // An answer to the call that timed out, with an older list, is ignored.
            let _ = late.write_all(body(&listing(&[primary.address(), replica.address()])).as_bytes());
        }
        answer_discovery(&mut next, &list);
        // The next call continues from the new version: the list has been applied.
        let (_watch, request) = accept_discovery_call(&harness.discovery);
        assert!(request.contains("index=9&wait="), "{failure}: {request}");
        let mut client = harness.client();
        client.ask(&read("k"));
        let mut link = primary.accept_ready();
        assert!(link.next_statement().expect("an attempt").contains("'k'"), "{failure}");
        link.send(&answer("master", None));
        assert_eq!(client.answer().len(), 4, "{failure}");
        replica.listener.set_nonblocking(true).expect("a socket");
        assert!(replica.listener.accept().is_err(), "{failure}: nothing is sent to the draining host");
        harness.end();
    }
}

/// Guards the watch while calls are silent, as when discovery is down: the next call is made from the same version
/// while the silent one stays open, and at most two are open. A newer list on either is applied and closes the other.
/// A late answer without a newer list is ignored, and the next call stays open.
#[test]
fn a_silent_watch_stays_open_beside_the_next_call() {
    let is_closed = |socket: &mut TcpStream| matches!(socket.read(&mut [0; 8]), Ok(0) | Err(_));
    let is_open = |socket: &TcpStream| {
        socket.set_nonblocking(true).expect("a socket");
        let would_block = socket.peek(&mut [0; 8]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        socket.set_nonblocking(false).expect("a socket");
        would_block
    };
    for answered in ["the silent call", "the next call", "the silent call, with an old list"] {
        let host = Host::new();
        let harness = start_gateway(&[&host], 1);
        let (mut oldest, request) = accept_discovery_call(&harness.discovery);
        assert!(request.contains("index=4&wait="), "{request}");
        let (mut silent, request) = accept_discovery_call(&harness.discovery);
        assert!(request.contains("index=4&wait="), "{request}");
        assert!(is_open(&oldest), "the silent watch stays open");
        let (mut next, request) = accept_discovery_call(&harness.discovery);
        assert!(request.contains("index=4&wait="), "{request}");
        assert!(is_closed(&mut oldest), "at most two calls are open");
        assert!(is_open(&silent));
        let mut list = listing(&[host.address()]);
        list["rev"] = json!(9);
        let unneeded = match answered {
            "the silent call" => {
                answer_discovery(&mut silent, &list);
                &mut next
            }
            "the next call" => {
                answer_discovery(&mut next, &list);
                &mut silent
            }
            _ => {
                answer_discovery(&mut silent, &listing(&[host.address()]));
                assert!(is_closed(&mut silent), "{answered}: it is closed");
                assert!(is_open(&next));
                answer_discovery(&mut next, &list);
                &mut silent
            }
        };
        let (mut after, request) = accept_discovery_call(&harness.discovery);
        assert!(request.contains("index=9&wait="), "{answered}: {request}");
        assert!(is_closed(unneeded), "{answered}: the other call is closed");
        // An answer to the closed call is ignored.
        let _ = unneeded.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"rev\":20,\"all\":true,\"targets\":[]}",
        );
        list["rev"] = json!(10);
        answer_discovery(&mut after, &list);
        let (_watch, request) = accept_discovery_call(&harness.discovery);
        assert!(request.contains("index=10&wait="), "{answered}: {request}");
        harness.end();
    }
}

/// Guards requests against an answer that stops within the row or after it while its connection stays open: the gateway
/// abandons the attempt and serves the answer of the next one. An answer that stops after CommandComplete is served.
#[test]
fn an_answer_that_never_ends_is_abandoned() {
    let complete = answer("master", None);
    let complete_at = complete.len() - 6 - (5 + "part\0master\0".len());
    for (at, is_retried) in [(1, true), (40, true), (complete_at - 1, true), (complete_at, false)] {
        let (primary, replica) = (Host::new(), Host::new());
        let harness = start_gateway(&[&primary, &replica], 1);
        let mut client = harness.client();
        client.ask(&read("endless"));
        let mut link = replica.accept_ready();
        link.next_statement().expect("an attempt");
        link.send(&complete[..at]);
        if is_retried {
            let mut next = primary.accept_ready();
            next.next_statement().expect("a second attempt");
            next.send(&complete);
        }
        let answer: Vec<u8> = client.answer().iter().map(|frame| frame.tag).collect();
        assert_eq!(answer, b"TDCZ", "{at}");
        assert_eq!(link.next_statement(), None, "its connection is closed");
        harness.end();
    }
}

/// Guards a long answer whose first bytes have been sent to the client against a cancel request: it can no longer be
/// cancelled, and arrives complete.
#[test]
fn a_cancel_does_not_cut_off_an_answer_that_is_streamed() {
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
    client.socket.read_exact(&mut first).expect("its first bytes");
    client.inbox.push(&first);
    cancel(harness.address, key);
    link.send(rest);
    let answer = client.answer();
    assert_eq!(answer.iter().map(|frame| frame.tag).collect::<Vec<_>>(), b"TDCZ");
    assert_eq!(codec::single_column_value(&answer[1].body), Some(&value[..]));
    assert_eq!(metric(harness.admin, "responses.look.ok"), 1);
    harness.end();
}

/// Guards clients against others that flood the gateway without reading, and that send one byte at a time: both the
/// slow client and a usual one are served meanwhile. The bytes that the flooding clients send after their request are
/// limited by the flow control of TCP.
#[test]
fn flooding_and_slow_clients_do_not_block_others() {
    let host = Host::new();
    let harness = start_gateway(&[&host], 1);
    let mut flooding_clients: Vec<ClientConnection> = (0..4).map(|_| harness.client()).collect();
    let mut flood = Vec::new();
    codec::write_query(&mut flood, &"y".repeat(64 * 1024));
    let mut held = Vec::new();
    for client in &mut flooding_clients {
        client.ask(&read("flood"));
        let mut link = host.accept_ready();
        assert!(link.next_statement().expect("an attempt").contains("'flood'"));
        held.push(link);
        client.socket.set_nonblocking(true).expect("a socket");
        let mut sent = 0;
        while let Ok(count) = client.socket.write(&flood) {
            sent += count;
            assert!(sent < 64 * 1024 * 1024, "the gateway reads without a limit");
        }
    }
    let mut slow = harness.client();
    let mut bytes = Vec::new();
    codec::write_query(&mut bytes, &read("slow"));
    for byte in bytes {
        slow.socket.write_all(&[byte]).expect("written");
    }
    let mut link = host.accept_ready();
    for (client, name) in [(&mut slow, "slow"), (&mut harness.client(), "quick")] {
        if name == "quick" {
            client.ask(&read(name));
        }
        assert!(link.next_statement().expect("an attempt").contains(name));
        link.send(&answer("master", None));
        assert_eq!(client.answer().len(), 4);
        let_connections_rest();
    }
    assert_eq!(metric(harness.admin, "active"), 4, "the flooding clients' own requests are still open");
    drop(flooding_clients);
    drop(held);
    harness.end();
}

/// Guards the request of a client that is about to be closed for being idle: it arrives together with the answer to
/// another client, and this answer makes one known client too many.
#[test]
fn a_request_that_crosses_with_the_eviction_of_its_idle_client_is_served() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let address = discovery.local_addr().expect("bound");
    let options = ProcessOptions::with_defaults("crossing-eviction", MANY_DESCRIPTORS, address);
    let process = options.start(&listing(&[host.address()]));
    let (received, is_received) = channel();
    let (release, is_released) = channel::<()>();
    std::thread::spawn(move || {
        let mut connections = HostConnections::new(&host);
        loop {
            let (connection, statement) = connections.next_statement();
            if statement.contains("'surplus'") {
                received.send(()).expect("awaited");
                is_released.recv().expect("released");
            }
            connection.send(&answer("master", None));
        }
    });
    let mut clients: Vec<ClientConnection> = (0..KNOWN_CLIENTS).map(|_| process.client()).collect();
    for client in &mut clients {
        client.ask(&read("known"));
        assert_eq!(client.answer().len(), 4);
    }
    let mut surplus = process.client();
    surplus.ask(&read("surplus"));
    is_received.recv().expect("a statement");
    process.signal(Signal::STOP);
    release.send(()).expect("awaited");
    // The answer arrives before the request, so that the gateway handles it first.
    std::thread::sleep(ARRIVAL);
    clients[0].ask(&read("crossing"));
    process.signal(Signal::CONT);
    assert_eq!(surplus.answer().len(), 4);
    assert_eq!(clients[0].answer().len(), 4, "{}", process.log());
}

/// Guards an answer that has arrived while the process was stopped, beyond the time limit of its request: the answer is
/// read before any time-out or decision, also where the stop has interrupted the wait for events.
#[test]
fn an_answer_that_arrives_during_a_stop_is_handled_before_time_outs() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let address = discovery.local_addr().expect("bound");
    let options = ProcessOptions::with_defaults("crossing-stop", MANY_DESCRIPTORS, address);
    let process = options.start(&listing(&[host.address()]));
    let mut client = process.client();
    client.ask(&read("stopped").replace("d=30000", &format!("d={}", STOP.as_millis())));
    let mut connection = host.accept_ready();
    assert!(connection.next_statement().is_some());
    process.signal(Signal::STOP);
    connection.send(&answer("master", None));
    std::thread::sleep(STOP);
    process.signal(Signal::CONT);
    assert_eq!(client.answer().len(), 4, "served");
}
