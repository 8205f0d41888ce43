//! Tests of the whole gateway on loopback sockets, with toy hosts and a toy discovery server in threads of the test.

mod harness;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::Ordering;

use dunemount::net::discovery::{self, AnswerError, CallFailure, Directory, EndpointList, Watch};
use dunemount::pg::codec;
use dunemount::settings::Zones;
use dunemount::Micros;
use harness::{bind_loopback, listing, metric, read, settings, write, ClientConnection, Harness};
use serde_json::{json, Value};

/// Guards the ordinary path: readiness, answers in order under pipelining, large values and values forwarded byte by
/// byte, and a statement that reaches the host unchanged except for its remaining time.
#[test]
fn requests_are_served_in_order_over_both_protocols() {
    let harness = Harness::start(200);
    let mut client = harness.client();
    client.ask("");
    assert_eq!(client.answer()[0].tag, b'I');
    let texts = [(64 * 1024, read("large")), (3, write("k")), (3, read("k"))];
    for (_, text) in &texts {
        client.ask(text);
    }
    for (length, text) in texts {
        let answer = client.answer();
        assert_eq!(answer.iter().map(|f| f.tag).collect::<Vec<_>>(), b"TDCZ");
        assert_eq!(codec::single_column_value(&answer[1].body).map(<[u8]>::len), Some(length));
        let statement = harness.host_events.recv().expect("a statement");
        let (before, after) = text.split_once("d=30000").expect("a remaining time");
        assert!(statement.starts_with(before) && statement.ends_with(after), "{statement}");
    }
    harness.end();
}

/// Guards values far longer than 64 KiB, as some groups hold them, against being taken for malformed answers.
#[test]
fn long_values_are_served() {
    let harness = Harness::start(200);
    let mut client = harness.client();
    for _ in 0..2 {
        client.ask(&read("huge"));
        let answer = client.answer();
        assert_eq!(answer.iter().map(|f| f.tag).collect::<Vec<_>>(), b"TDCZ");
        assert_eq!(codec::single_column_value(&answer[1].body).map(<[u8]>::len), Some(1024 * 1024));
    }
    harness.end();
}

/// Guards the streaming of long values: the client receives the first bytes before the host has sent the rest, neither
/// the client's deadline nor a pause of the host cuts the value off, and it arrives complete and unchanged.
#[test]
fn a_long_value_is_streamed_and_not_cut_off() {
    let harness = Harness::start(200);
    let mut client = harness.client();
    client.ask(&read("split").replace("d=30000", "d=300"));
    let mut first = [0; 1000];
    client.socket.read_exact(&mut first).expect("the first bytes");
    assert_eq!(first[0], b'T');
    // Longer than the client's deadline, and than the pause after which a short answer counts as malformed.
    std::thread::sleep(std::time::Duration::from_millis(800));
    assert_eq!(metric(harness.admin, "active"), 1);
    harness.host_controls.released.store(true, Ordering::SeqCst);
    client.inbox.push(&first);
    let answer = client.answer();
    assert_eq!(answer.iter().map(|f| f.tag).collect::<Vec<_>>(), b"TDCZ");
    assert_eq!(codec::single_column_value(&answer[1].body).map(<[u8]>::len), Some(1 << 20));
    client.ask(&read("k"));
    assert_eq!(client.answer().len(), 4);
    assert_eq!(metric(harness.admin, "responses.look.ok"), 2);
    harness.end();
}

/// Guards a long value that the host breaks off halfway: the gateway closes the client's connection, sends no second
/// answer, and counts the request as failed.
#[test]
fn a_long_value_that_breaks_off_closes_the_connection() {
    let harness = Harness::start(200);
    let mut client = harness.client();
    client.ask(&read("truncated"));
    let mut first = [0; 1000];
    client.socket.read_exact(&mut first).expect("the first bytes");
    harness.host_controls.released.store(true, Ordering::SeqCst);
    let mut rest = Vec::new();
    let _ = client.socket.read_to_end(&mut rest);
    assert!(rest.len() < 1 << 20 && rest.iter().all(|byte| *byte == 7), "no more than half of the value");
    assert_eq!(metric(harness.admin, "responses.look.errors"), 1);
    harness.end();
}

/// Guards the error codes for invalid, refused and failed requests, after which the connection stays usable.
#[test]
fn bad_requests_get_an_error_and_the_connection_stays_usable() {
    let harness = Harness::start(200);
    let mut client = harness.client();
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
    harness.end();
}

/// Guards the answer to an open request of another client: a request with the same id is rejected until that one is
/// answered.
#[test]
fn the_id_of_an_open_request_is_rejected() {
    let harness = Harness::start(200);
    let (mut first, mut second) = (harness.client(), harness.client());
    let text = read("held");
    first.ask(&text);
    harness.host_events.recv().expect("the attempt is in progress");
    second.ask(&text);
    assert_eq!(second.code(), "08P01");
    harness.host_controls.released.store(true, Ordering::SeqCst);
    assert_eq!(first.answer().len(), 4);
    second.ask(&text);
    assert_eq!(second.answer().len(), 4, "the id is free again");
    harness.end();
}

/// Guards clients against malformed answers and against unsolicited bytes after a valid answer: a duplicate answer must
/// not be served for the next request.
#[test]
fn only_complete_answers_to_the_request_are_served() {
    let harness = Harness::start(200);
    let mut client = harness.client();
    client.ask(&read("first-malformed"));
    assert_eq!(client.answer().len(), 4);
    for _ in 0..6 {
        client.ask(&read("doubled"));
        assert_eq!(codec::single_column_value(&client.answer()[1].body).map(<[u8]>::len), Some(3));
        client.ask(&read("large"));
        assert_eq!(codec::single_column_value(&client.answer()[1].body).map(<[u8]>::len), Some(64 * 1024));
    }
    harness.end();
}

/// Guards a request whose connection breaks after its last byte is written: a read is retried at another host.
#[test]
fn a_read_is_retried_when_its_connection_breaks() {
    let harness = Harness::start(200);
    let mut client = harness.client();
    client.ask(&read("first-breaks"));
    assert_eq!(client.answer().len(), 4);
    harness.end();
}

/// Guards against useless work and against a leak: when a client disconnects during its request, the gateway closes the
/// attempt's connection, and it can shut down without an open request.
#[test]
fn a_client_that_disconnects_ends_its_attempt() {
    let harness = Harness::start(200);
    let mut client = harness.client();
    client.ask(&read("silent"));
    harness.host_events.recv().expect("the attempt is in progress");
    drop(client);
    assert_eq!(harness.host_events.recv().expect("the host sees the end"), "ended");
    harness.end();
}

/// Guards the shutdown: the listener closes, requests accepted before are answered, then the gateway ends.
#[test]
fn a_shutdown_waits_until_open_requests_are_answered() {
    let mut harness = Harness::start(200);
    let (mut busy, mut idle) = (harness.client(), harness.client());
    busy.ask(&read("held"));
    harness.host_events.recv().expect("the attempt is in progress");
    harness.stop.write_all(&[1]).expect("signalled");
    assert_eq!(idle.answer().len(), 0, "an idle client is closed without an answer");
    assert!(TcpStream::connect(harness.address).is_err(), "the listener is closed");
    assert!(!harness.gateway.is_finished(), "a request is still open");
    harness.host_controls.released.store(true, Ordering::SeqCst);
    assert_eq!(busy.answer().len(), 4);
    harness.gateway.join().expect("it ends by itself");
}

/// Guards clients that wait for a connection against idle ones that sent a request and keep their connections: idle
/// connections keep a quarter of the descriptors, and the one that has been idle for longest is closed first.
#[test]
fn clients_that_are_idle_after_a_request_make_room() {
    let harness = Harness::start(80);
    let mut held: Vec<ClientConnection> = Vec::new();
    for _ in 0..21 {
        let mut client = harness.client();
        client.ask(&read("k"));
        assert_eq!(client.answer().len(), 4);
        held.push(client);
    }
    assert_eq!(held.remove(0).answer().len(), 0, "closed");
    for client in &mut held {
        client.ask(&read("k"));
        assert_eq!(client.answer().len(), 4, "still open");
    }
    harness.end();
}

/// Guards the descriptor budget: with more clients than descriptors, idle connections are closed to make room.
#[test]
fn idle_clients_make_room_for_new_ones() {
    let harness = Harness::start(50);
    let mut held: Vec<ClientConnection> = (0..20).map(|_| harness.client()).collect();
    let mut last = held.pop().expect("a client");
    last.ask(&read("k"));
    assert_eq!(last.answer().last().map(|frame| frame.tag), Some(b'Z'));
    drop((held, last));
    harness.end();
}

/// Guards the descriptors against clients that connect and send nothing, or stop in the middle of a command: each is
/// closed, and a client that sent its request in time stays connected.
#[test]
fn clients_without_a_complete_command_are_closed() {
    let harness = Harness::start(200);
    let mut good = harness.client();
    let mut silent = TcpStream::connect(harness.address).expect("accepted");
    let mut without_command = harness.client();
    let mut half_command = harness.client();
    half_command.socket.write_all(b"Q\0\0\0").expect("written");
    good.ask(&read("k"));
    assert_eq!(good.answer().len(), 4);
    for client in [&mut without_command, &mut half_command] {
        let last = client.answer().pop().expect("an error");
        assert_eq!((last.tag, codec::error_field(&last.body, b'C')), (b'E', Some("57014")));
    }
    let mut received = Vec::new();
    silent.read_to_end(&mut received).expect("closed without a reset");
    assert_eq!(received.first(), Some(&b'E'));
    good.ask(&read("k"));
    assert_eq!(good.answer().len(), 4);
    harness.end();
}

/// Guards against discovery answers that are missing, cut off or malformed: the last list stays in use.
#[test]
fn invalid_discovery_answers_leave_the_last_list_in_use() {
    let harness = Harness::start(200);
    let mut calls = harness.discovery.incoming().flatten();
    let mut bytes = [0; 1024];
    for (round, text) in
        ["", "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"rev\"", "no HTTP at all\r\n\r\n"]
            .into_iter()
            .enumerate()
    {
        let mut call = calls.next().expect("a call");
        let count = call.read(&mut bytes).expect("a request");
        let request = String::from_utf8_lossy(&bytes[..count]).into_owned();
        // A watch continues from the known version; after two failures the full list is requested.
        assert_eq!(request.starts_with("GET /catalog/members?index=4&wait="), round < 2, "{request}");
        call.write_all(text.as_bytes()).expect("written");
    }
    let mut client = harness.client();
    client.ask(&read("k"));
    assert_eq!(client.answer().len(), 4);
    harness.end();
}

/// Guards a reload of the configuration during a request: the watch moves to the new address immediately and requests
/// the full list there, the old watch is closed, and requests accepted before are answered. An invalid file, and a
/// reload without a change, have no effect.
#[test]
fn a_new_configuration_moves_the_watch_and_keeps_the_requests() {
    let mut harness = Harness::start(200);
    let mut bytes = [0; 1024];
    let mut accept_call = |discovery: &TcpListener| {
        let (mut call, _) = discovery.accept().expect("a call");
        let count = call.read(&mut bytes).expect("a request");
        (call, String::from_utf8_lossy(&bytes[..count]).into_owned())
    };
    let (mut old_watch, _) = accept_call(&harness.discovery);
    let mut busy = harness.client();
    busy.ask(&read("held"));
    harness.host_events.recv().expect("the attempt is in progress");
    harness.reload_config("");
    let new_discovery = bind_loopback();
    for _ in 0..2 {
        let address = new_discovery.local_addr().expect("bound").to_string();
        harness.reload_config(&harness.config_with("/discovery", Some(json!(address))));
        let (mut call, request) = accept_call(&new_discovery);
        assert!(request.starts_with("GET /catalog/members HTTP"), "the full list, without a wait: {request}");
        assert_eq!(old_watch.read(&mut [0; 8]).unwrap_or(0), 0, "the old watch is closed");
        let body = r#"{"rev":9,"all":false,"targets":[]}"#;
        write!(call, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).expect("written");
        let (watch, request) = accept_call(&new_discovery);
        assert!(request.starts_with("GET /catalog/members?index=9&wait="), "{request}");
        old_watch = watch;
    }
    harness.host_controls.released.store(true, Ordering::SeqCst);
    assert_eq!(busy.answer().len(), 4);
    harness.end();
}

/// Guards the parsing of discovery's answers with a content length or in chunks, however they are split, and the valid
/// entries of a list against an entry that cannot be read.
#[test]
fn endpoint_lists_are_read_in_any_framing() {
    let mut body = listing(&["127.0.0.1:1".parse().expect("an address")]);
    body["targets"].as_array_mut().expect("entries").push(json!({"uid": 5}));
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
        let mut watch = Watch::from_version(None);
        let last = answer.len() - 1;
        for byte in &answer.as_bytes()[..last] {
            assert!(watch.receive(&[*byte], false).expect("no fault so far").is_none());
        }
        let listing = watch.receive(&answer.as_bytes()[last..], false).expect("valid").expect("complete");
        let mut directory = Directory::new(Zones::default());
        let (entries, unread) = directory.update(listing, &dunemount::net::clock::Clock::start());
        assert_eq!((entries.len(), unread), (1, 1));
        assert!(watch.next_request("h").starts_with("GET /catalog/members?index=4&wait=2000 "));
    }
    let receive = |text: &str| Watch::from_version(None).receive(text.as_bytes(), true).err();
    assert_eq!(receive("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), Some(AnswerError::Status(503)));
    assert_eq!(receive("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"), Some(AnswerError::TooLong));
    assert_eq!(receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"), Some(AnswerError::Body));
    assert_eq!(receive("HTTP/1.1 200"), Some(AnswerError::Head));
    assert_eq!(receive(""), None, "a connection that ends without an answer is not an invalid answer");
    let _: EndpointList = serde_json::from_value(listing(&[])).expect("an empty list");
}

/// Guards operators' diagnostics: an invalid configuration is reported in one line, with a failure as exit status.
#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
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
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && stderr.lines().count() == 1, "{text}: {stderr}");
    }
    std::fs::remove_file(path).expect("removed");
}

/// Guards a fleet against a lost zone: a connection attempt that fails after its request has ended is still reported to
/// the router, which ejects the host.
#[test]
fn a_connect_that_fails_after_its_request_ended_ejects_the_host() {
    let mut harness = Harness::start(200);
    let text = harness.config_with("/settings/Permissions/ConnectTimeoutMs", Some(json!(300.0)));
    harness.reload_config(&text);
    harness.host_controls.unresponsive.store(true, Ordering::SeqCst);
    let mut client = harness.client();
    let id = harness::next_request_id();
    client.ask(&format!("SELECT doc FROM items WHERE id = 'a' /* id={id},c=look,d=80,cluster=1 */"));
    assert!(matches!(client.code().as_str(), "53300" | "57P03"), "refused in time");
    for _ in 0..1_000 {
        if metric(harness.admin, "pool_ejected") > 0 {
            break;
        }
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    assert!(metric(harness.admin, "pool_ejected") > 0, "the failure is reported to the router");
    harness.end();
}

/// Guards a drain that is received while a connection to that host is being established: the request that waits for the
/// connection is never written to it, and its client is answered with a refusal.
#[test]
fn nothing_is_written_on_a_connection_that_is_established_after_a_drain() {
    for state in ["Terminating", "Gone"] {
        let harness = Harness::start(200);
        harness.host_controls.unresponsive.store(true, Ordering::SeqCst);
        let mut client = harness.client();
        client.ask(&write("k").replace("d=30000", "d=2000"));
        assert_eq!(harness.host_events.recv().expect("a dial"), "connected");
        let (mut call, _) = harness.discovery.accept().expect("a call");
        assert!(call.read(&mut [0; 1024]).expect("a request") > 0);
        let mut list: Value =
            serde_json::from_str::<Value>(&harness.initial_config).expect("a configuration")["known"].take();
        list["rev"] = json!(9);
        for target in list["targets"].as_array_mut().expect("hosts") {
            target["state"] = json!(state);
        }
        list["all"] = json!(false);
        harness::answer_discovery(&mut call, &list);
        // The next call shows that the list was applied.
        let (_watch, _) = harness.discovery.accept().expect("the next call");
        harness.host_controls.unresponsive.store(false, Ordering::SeqCst);
        assert!(matches!(client.code().as_str(), "53300" | "57P03"), "refused: nothing was sent");
        assert!(harness.host_events.try_iter().all(|event| event == "connected"), "a statement was written");
        harness.end();
    }
}

/// Guards a drain that is received while a request is being written: the request is written to its end and answered by
/// that host, however much of it the host has read by then, and nothing else is written to that host.
#[test]
fn a_request_that_is_partly_written_when_its_host_drains_is_finished() {
    const VALUE_LENGTH: usize = 128 << 10;
    for read_first in [0, 1, 4, 5, 4_096, VALUE_LENGTH / 2, VALUE_LENGTH] {
        let harness = Harness::start(200);
        // The primary is a listener of the test, which controls how much of the request is read.
        let primary = bind_loopback();
        let mut list: Value =
            serde_json::from_str::<Value>(&harness.initial_config).expect("a configuration")["known"].take();
        let (mut call, _) = harness.discovery.accept().expect("a call");
        assert!(call.read(&mut [0; 1024]).expect("a request") > 0);
        list["rev"] = json!(9);
        list["targets"][0]["endpoint"] = json!(primary.local_addr().expect("bound").to_string());
        harness::answer_discovery(&mut call, &list);
        let (mut call, _) = harness.discovery.accept().expect("the next call");
        assert!(call.read(&mut [0; 1024]).expect("a request") > 0);
        let mut client = harness.client();
        let long = write("k").replace("\\x9f", &format!("\\x{}", "9f".repeat(VALUE_LENGTH / 2)));
        assert!(long.len() > VALUE_LENGTH, "the value is long");
        client.ask(&long);
        let (mut host, _) = primary.accept().expect("a connection");
        let mut inbox = codec::ReceiveBuffer::default();
        let mut bytes = [0; 4096];
        while inbox.next_startup_packet().expect("a startup").is_none() {
            let count = host.read(&mut bytes).expect("a startup");
            inbox.push(&bytes[..count]);
        }
        let mut greeting = Vec::new();
        codec::write_message(&mut greeting, b'R', &[0; 4]);
        codec::write_ready_for_query(&mut greeting);
        host.write_all(&greeting).expect("written");
        // At least one byte is read, which shows that the gateway has begun to write the request.
        let mut first_bytes = vec![0; read_first.max(1)];
        host.read_exact(&mut first_bytes).expect("the request's first bytes");
        inbox.push(&first_bytes);
        list["rev"] = json!(10);
        list["targets"][0]["state"] = json!("Terminating");
        harness::answer_discovery(&mut call, &list);
        let (_watch, _) = harness.discovery.accept().expect("the next call shows that the list was applied");
        let query = harness::next_frame(&mut host, &mut inbox).expect("the complete request");
        assert!(query.body.len() > VALUE_LENGTH);
        let mut answer = Vec::new();
        codec::write_message(&mut answer, b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01");
        codec::write_message(&mut answer, b'D', &[0, 1, 0, 0, 0, 1, 7]);
        codec::write_message(&mut answer, b'C', b"INSERT 0 1\0");
        codec::write_parameter_status(&mut answer, "part", "master");
        codec::write_ready_for_query(&mut answer);
        host.write_all(&answer).expect("written");
        assert_eq!(client.answer().len(), 4, "served by the host that had received the first bytes");
        // The gateway sends nothing more to this host: its connection is closed, and no new one is opened.
        host.set_read_timeout(Some(std::time::Duration::from_secs(20))).expect("a socket");
        assert_eq!(
            host.read(&mut bytes).ok(),
            Some(0),
            "the connection is closed long before its idle limit"
        );
        client.ask(&read("any"));
        client.answer();
        primary.set_nonblocking(true).expect("a listener");
        assert!(primary.accept().is_err(), "no connection is opened");
        harness.end();
    }
}

/// Guards overloaded hosts against useless work: a read is forwarded with its latency objective as the remaining time
/// instead of its client's deadline, since nobody waits for the answer after that. The host does not need to run a read
/// that would be late.
#[test]
fn a_read_is_forwarded_with_its_latency_objective_as_remaining_time() {
    let mut harness = Harness::start(200);
    let text = harness.config_with("/settings/Classes/0/AimMs", Some(json!(4000.0)));
    harness.reload_config(&text);
    let mut client = harness.client();
    for (text, max_ms) in [(read("a"), 4_100), (write("b"), 30_000)] {
        client.ask(&text);
        assert_eq!(client.answer().last().map(|frame| frame.tag), Some(b'Z'));
        let statement = harness.host_events.recv().expect("a statement");
        let remaining_ms = statement
            .split_once(",d=")
            .and_then(|(_, rest)| rest.split(',').next())
            .expect("a remaining time");
        let remaining_ms: u64 = remaining_ms.parse().expect("a number");
        assert!(remaining_ms <= max_ms && remaining_ms * 2 > max_ms, "forwarded with {remaining_ms} ms");
    }
    harness.end();
}

/// Guards an overloaded discovery server: a rejected call is retried for changes only, after any number of rejections,
/// and never for the full list, which costs the server many times as much.
#[test]
fn an_overloaded_discovery_is_asked_for_changes_only() {
    let harness = Harness::start(200);
    for _ in 0..4 {
        let (mut socket, _) = harness.discovery.accept().expect("a call");
        let mut bytes = [0; 4096];
        let count = socket.read(&mut bytes).expect("a request");
        let call = String::from_utf8_lossy(&bytes[..count]).to_string();
        assert!(call.starts_with("GET /catalog/members?index=4&"), "{call}");
        socket.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").expect("written");
    }
    harness.end();
}

/// Guards a discovery server of fixed capacity against 100 gateways that start at once; it serves calls in order, each
/// within 2 s or not at all. With a fixed backoff most gateways are never served. With the backoff of a fleet all are
/// served soon, and a few gateways still retry after the shortest backoff.
#[test]
fn a_fleet_that_starts_at_once_is_served_by_discovery() {
    let count_late_calls = |backoff_ms: &dyn Fn(u64, f64) -> u64| {
        let mut draws = (1..).map(|n: u64| (n * 7_919 % 1_009) as f64 / 1_009.0);
        let mut calls: Vec<(u64, u64)> = (0..100).map(|_| (0, 0)).collect();
        let (mut server_free_at, mut late) = (0, 0);
        for _ in 0..20_000 {
            calls.sort_by(|a, b| b.cmp(a));
            let Some((at, failures)) = calls.pop() else { break };
            // A served call takes the server 40 ms, a rejected one half of that.
            server_free_at = server_free_at.max(at);
            if server_free_at - at < 2_000 {
                server_free_at += 40;
                late += u64::from(server_free_at > 15_000);
            } else {
                server_free_at += 20;
                calls.push((at + backoff_ms(failures + 1, draws.next().expect("a draw")), failures + 1));
            }
        }
        late + calls.len() as u64
    };
    let max_backoff = discovery::REJECTED_GAP;
    let fleet_backoff_ms = |failures, draw| discovery::backoff(failures, 100, draw, max_backoff).0 / 1_000;
    assert_eq!(count_late_calls(&fleet_backoff_ms), 0);
    assert!(count_late_calls(&|_, _| discovery::MIN_BACKOFF.0 / 1_000) > 20);
    for (gateways, draw) in [(0, 0.9), (1, 0.5), (3, 1.0)] {
        assert_eq!(discovery::backoff(9, gateways, draw, max_backoff), discovery::MIN_BACKOFF);
    }
}

/// Guards drains that discovery publishes while calls fail, for any size of the fleet and any drain grace period: a
/// change counts as known 6 s after discovery had it and was reachable. Discovery counts as unreachable until the end
/// of a rejected call. From then, or from the start of a silent watch, two calls fail in any way and the third is
/// answered. Watches that waited for 20 s, and backoffs of up to 5 s after rejected calls, exceeded the 6 s. `Watch`
/// itself decides whether a call that has timed out stays open.
#[test]
fn a_change_is_known_within_six_seconds_however_calls_fail() {
    assert_change_known_in_time(Watch::timeout);
}

/// Guards the same where no call lasts longer than one after a rejected call may: it is lost, cut off or rejected.
#[test]
fn a_change_is_known_within_six_seconds_where_calls_break() {
    assert_change_known_in_time(|watch| watch.timeout().min(discovery::REJECTED_TIMEOUT));
}

/// Simulates every sequence of four failed calls, each lasting a fraction of `max_duration`, and checks the time by
/// which the call that follows each of them is answered.
fn assert_change_known_in_time(max_duration: impl Fn(&Watch) -> Micros) {
    use discovery::{ANSWER_TIME, KNOWN_WITHIN, MIN_BACKOFF};
    let second = Micros::millis(1_000);
    let failure_kinds = [CallFailure::Rejected, CallFailure::Lost, CallFailure::Silent];
    let planned_failure = |sequence: usize, call: u32| failure_kinds[sequence / 3usize.pow(call) % 3];
    for gateways in [0, 1, 3, 10, 100, 300, 3_000] {
        for grace in [Micros(0), second.scale(0.25), second.scale(2.0)] {
            for sequence in 0..81 {
                for fraction in [0.0, 0.3, 0.9, 1.0] {
                    let mut watch = Watch::from_version(Some(4));
                    // Times since which a change may be undelivered: the start of each failed call, of which the
                    // one before the latest counts, or the end of a rejected call.
                    let (mut now, mut undelivered_since) = (Micros(0), vec![Micros(0)]);
                    for call in 0..4 {
                        let (started_at, mut failure, mut duration) =
                            (now, planned_failure(sequence, call), max_duration(&watch).scale(fraction));
                        if failure == CallFailure::Silent {
                            (duration, failure) = (watch.timeout(), watch.on_timeout());
                        }
                        now = now + duration;
                        let backoff = watch.on_call_failed(failure, gateways, grace, duration, fraction);
                        now = now + backoff;
                        match failure {
                            CallFailure::Lost | CallFailure::Silent => undelivered_since.push(started_at),
                            CallFailure::Rejected => undelivered_since = vec![now - backoff],
                        }
                        let changed_at = undelivered_since[undelivered_since.len().saturating_sub(2)];
                        assert!(
                            now + ANSWER_TIME - changed_at <= KNOWN_WITHIN,
                            "{gateways}, {grace:?}, {sequence}, {fraction}, {call}"
                        );
                        assert!(backoff >= MIN_BACKOFF);
                        // A lost answer may have announced a drain: the next call starts within its grace period.
                        let lost =
                            (0..=call).any(|call| planned_failure(sequence, call) != CallFailure::Rejected);
                        assert!(!lost || backoff <= grace.scale(0.5).max(MIN_BACKOFF));
                    }
                }
            }
        }
    }
}

/// Guards the watch of a discovery server that is down for a while: silent calls keep the version, so that its first
/// answer is the change and not an older full list. Only after many silent calls is the full list requested.
#[test]
fn silent_calls_keep_the_version_up_to_their_limit() {
    let mut watch = Watch::from_version(Some(4));
    for silent in 1..=discovery::MAX_SILENT_CALLS {
        assert!(watch.next_request("h").starts_with("GET /catalog/members?index=4&wait="), "{silent}");
        assert_eq!(watch.on_timeout(), CallFailure::Silent);
        watch.on_call_failed(CallFailure::Silent, 3, Micros::millis(250), watch.timeout(), 0.5);
    }
    assert!(watch.next_request("h").starts_with("GET /catalog/members HTTP"));
    assert_eq!(watch.on_timeout(), CallFailure::Lost, "a call for the full list is abandoned");
    // A call after a rejected one is abandoned as well, since it does not wait for changes either.
    let mut watch = Watch::from_version(Some(4));
    watch.on_call_failed(CallFailure::Rejected, 3, Micros::millis(250), Micros(0), 0.5);
    assert_eq!(watch.on_timeout(), CallFailure::Lost);
}

/// Guards the known version against a late answer of a silent watch: its list is applied only if it is newer, wherever
/// the answer is split, and the answer of the next call is parsed separately.
#[test]
fn a_late_answer_counts_only_if_it_is_newer() {
    let text = |rev: u64| {
        let body = json!({"rev": rev, "all": false, "targets": []}).to_string();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    for cut in [1, 20, 60] {
        for (rev, newer) in [(3, false), (4, false), (5, true)] {
            let mut watch = Watch::from_version(Some(4));
            watch.next_request("h");
            let late = text(rev);
            assert!(matches!(watch.receive(&late.as_bytes()[..cut], false), Ok(None)));
            assert_eq!(watch.on_timeout(), CallFailure::Silent);
            watch.on_call_failed(CallFailure::Silent, 3, Micros(0), watch.timeout(), 0.5);
            watch.next_request("h");
            assert!(matches!(watch.receive(&text(7).as_bytes()[..30], false), Ok(None)));
            match watch.receive_late(&late.as_bytes()[cut..], false) {
                Ok(Some(listing)) => assert!(newer && listing.rev == 5),
                Err(bad) => assert!(!newer && bad == AnswerError::NotNewer),
                Ok(None) => panic!("the answer is complete"),
            }
            if newer {
                assert_eq!((watch.version(), watch.failures()), (Some(5), 0));
            } else {
                let listing =
                    watch.receive(&text(7).as_bytes()[30..], false).expect("valid").expect("complete");
                assert_eq!((listing.rev, watch.version()), (7, Some(7)));
            }
        }
    }
}

/// Guards drains that a lost answer may have announced: until a list is received, backoffs stay within the grace period
/// of a drain, however many calls are rejected meanwhile. After two lost calls the full list is requested.
#[test]
fn backoffs_after_a_lost_answer_stay_within_the_drain_grace_until_a_list_is_received() {
    let second = Micros::millis(1_000);
    assert!(discovery::WATCH_WAIT < Watch::from_version(Some(4)).timeout());
    let (grace, mut watch) = (second.scale(2.0), Watch::from_version(Some(4)));
    for failure in [CallFailure::Lost, CallFailure::Rejected, CallFailure::Rejected] {
        assert_eq!(watch.on_call_failed(failure, 300, grace, Micros(0), 1.0), second);
    }
    assert_eq!(watch.version(), Some(4));
    watch.on_call_failed(CallFailure::Lost, 300, grace, Micros(0), 1.0);
    assert_eq!(watch.version(), None);
    let body = r#"{"rev":9,"all":true,"targets":[]}"#;
    let list = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    assert!(matches!(watch.receive(list.as_bytes(), true), Ok(Some(_))));
    assert_eq!((watch.version(), watch.failures()), (Some(9), 0));
    assert_eq!(watch.on_call_failed(CallFailure::Rejected, 300, grace, second, 1.0), discovery::REJECTED_GAP);
}
