//! The gateway on loopback sockets, with toy hosts and a toy discovery in threads of the test.

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

/// Guards the ordinary path: readiness, pipelining in order, large values and bytes passed on as they
/// are, and a statement that reaches the host unchanged but for the time left.
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
        let heard = harness.host_events.recv().expect("heard");
        let (before, after) = text.split_once("d=30000").expect("a wait");
        assert!(heard.starts_with(before) && heard.ends_with(after), "{heard}");
    }
    harness.end();
}

/// Guards values far beyond 64 KiB, as some groups hold them: they are no spoilt answers.
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

/// Guards long values on their way: the first bytes come while the rest is still awaited, neither the
/// client's time nor a pause of the host cuts them off, and the whole arrives as it was sent.
#[test]
fn a_long_value_flows_and_is_not_cut_off() {
    let harness = Harness::start(200);
    let mut client = harness.client();
    client.ask(&read("split").replace("d=30000", "d=300"));
    let mut first = [0; 1000];
    client.socket.read_exact(&mut first).expect("the first bytes");
    assert_eq!(first[0], b'T');
    // Beyond the client's time, and beyond the pause at which a short answer counts as spoilt.
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

/// Guards a value that breaks halfway: the client is told by the end of its connection, gets no second
/// answer, and the request counts as failed.
#[test]
fn a_long_value_that_breaks_ends_the_connection() {
    let harness = Harness::start(200);
    let mut client = harness.client();
    client.ask(&read("truncated"));
    let mut first = [0; 1000];
    client.socket.read_exact(&mut first).expect("the first bytes");
    harness.host_controls.released.store(true, Ordering::SeqCst);
    let mut rest = Vec::new();
    let _ = client.socket.read_to_end(&mut rest);
    assert!(rest.len() < 1 << 20 && rest.iter().all(|byte| *byte == 7), "no more than the half");
    assert_eq!(metric(harness.admin, "responses.look.errors"), 1);
    harness.end();
}

/// Guards what a client is told of bad requests; the connection goes on.
#[test]
fn bad_requests_get_an_error_and_the_connection_goes_on() {
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

/// Guards the answer that another client is owed: the id of an open request is not taken twice.
#[test]
fn an_id_is_open_once() {
    let harness = Harness::start(200);
    let (mut first, mut second) = (harness.client(), harness.client());
    let text = read("held");
    first.ask(&text);
    harness.host_events.recv().expect("the attempt is out");
    second.ask(&text);
    assert_eq!(second.code(), "08P01");
    harness.host_controls.released.store(true, Ordering::SeqCst);
    assert_eq!(first.answer().len(), 4);
    second.ask(&text);
    assert_eq!(second.answer().len(), 4, "it is free again");
    harness.end();
}

/// Guards clients against spoilt answers and against what comes behind a good one: a second copy must
/// not be served for the next request.
#[test]
fn only_whole_answers_to_the_request_are_served() {
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

/// Guards a request whose connection breaks after its last byte: a read goes to another host.
#[test]
fn a_read_outlives_its_connection() {
    let harness = Harness::start(200);
    let mut client = harness.client();
    client.ask(&read("first-breaks"));
    assert_eq!(client.answer().len(), 4);
    harness.end();
}

/// Guards against work for nobody and against a leak: a client that leaves in the middle of its
/// request takes the attempt's connection with it, and the gateway ends with nothing owed.
#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let harness = Harness::start(200);
    let mut client = harness.client();
    client.ask(&read("silent"));
    harness.host_events.recv().expect("the attempt is out");
    drop(client);
    assert_eq!(harness.host_events.recv().expect("the host sees the end"), "ended");
    harness.end();
}

/// Guards the hand-over: the listener closes, what was taken before is answered, then the gateway ends.
#[test]
fn a_signal_lets_go_only_when_nothing_is_owed() {
    let mut harness = Harness::start(200);
    let (mut busy, mut idle) = (harness.client(), harness.client());
    busy.ask(&read("held"));
    harness.host_events.recv().expect("the attempt is out");
    harness.stop.write_all(&[1]).expect("told");
    assert_eq!(idle.answer().len(), 0, "an idle client is closed in the end");
    assert!(TcpStream::connect(harness.address).is_err(), "the listener is closed");
    assert!(!harness.gateway.is_finished(), "it still owes an answer");
    harness.host_controls.released.store(true, Ordering::SeqCst);
    assert_eq!(busy.answer().len(), 4);
    harness.gateway.join().expect("it ends by itself");
}

/// Guards clients that wait for a connection against those that asked once and keep theirs: of these a
/// quarter of the descriptors stays open, and the one idle longest goes first.
#[test]
fn clients_that_asked_once_make_room() {
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

/// Guards the descriptor budget: with more clients than descriptors the idle ones make room.
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

/// Guards the descriptors against clients that connect and say nothing, or stop in the middle of a
/// command: each is closed, and a client that asked in time stays.
#[test]
fn clients_that_owe_a_command_are_closed() {
    let harness = Harness::start(200);
    let mut good = harness.client();
    let mut silent = TcpStream::connect(harness.address).expect("accepted");
    let mut mute = harness.client();
    let mut half = harness.client();
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
    harness.end();
}

/// Guards against discovery that is silent, cut off or malformed: the last list goes on serving.
#[test]
fn broken_discovery_leaves_the_last_list() {
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
        let asked = String::from_utf8_lossy(&bytes[..count]).into_owned();
        // A watch goes on from what is known; after two failures the whole list is asked for.
        assert_eq!(asked.starts_with("GET /catalog/members?index=4&wait="), round < 2, "{asked}");
        call.write_all(text.as_bytes()).expect("written");
    }
    let mut client = harness.client();
    client.ask(&read("k"));
    assert_eq!(client.answer().len(), 4);
    harness.end();
}

/// Guards a new configuration under load: the watch moves to the new address at once and asks for the
/// whole list there, the old one is let go, and what was taken before is answered. A file that cannot
/// be used, and a signal without a change, harm nothing.
#[test]
fn a_new_configuration_moves_the_watch_and_keeps_the_requests() {
    let mut harness = Harness::start(200);
    let mut bytes = [0; 1024];
    let mut called = |from: &TcpListener| {
        let (mut call, _) = from.accept().expect("a call");
        let count = call.read(&mut bytes).expect("a request");
        (call, String::from_utf8_lossy(&bytes[..count]).into_owned())
    };
    let (mut old, _) = called(&harness.discovery);
    let mut busy = harness.client();
    busy.ask(&read("held"));
    harness.host_events.recv().expect("the attempt is out");
    harness.reload_config("");
    let moved = bind_loopback();
    for _ in 0..2 {
        let address = moved.local_addr().expect("bound").to_string();
        harness.reload_config(&harness.config_with("/discovery", Some(json!(address))));
        let (mut call, asked) = called(&moved);
        assert!(asked.starts_with("GET /catalog/members HTTP"), "the whole list, without a wait: {asked}");
        assert_eq!(old.read(&mut [0; 8]).unwrap_or(0), 0, "the old watch is closed");
        let body = r#"{"rev":9,"all":false,"targets":[]}"#;
        write!(call, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).expect("written");
        let (watch, asked) = called(&moved);
        assert!(asked.starts_with("GET /catalog/members?index=9&wait="), "{asked}");
        old = watch;
    }
    harness.host_controls.released.store(true, Ordering::SeqCst);
    assert_eq!(busy.answer().len(), 4);
    harness.end();
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
        let mut watch = Watch::from_version(None);
        let last = answer.len() - 1;
        for byte in &answer.as_bytes()[..last] {
            assert!(watch.receive(&[*byte], false).expect("no fault so far").is_none());
        }
        let listing = watch.receive(&answer.as_bytes()[last..], false).expect("read").expect("whole");
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
    assert_eq!(receive(""), None, "an end without a word is no bad answer");
    let _: EndpointList = serde_json::from_value(listing(&[])).expect("an empty list");
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

/// Guards a fleet against a lost zone: a dial that fails after its request has left is told to the module
/// all the same, and the host leaves the draw.
#[test]
fn a_dial_that_nobody_waits_for_any_more_still_ejects() {
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
    assert!(metric(harness.admin, "pool_ejected") > 0, "the module heard of it");
    harness.end();
}

/// Guards a drain whose word comes while a connection to that host is coming up: the request that waits for it is
/// never written there, and its client hears of it.
#[test]
fn nothing_is_written_on_a_connection_that_comes_up_after_the_word_of_a_drain() {
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
        // The next call shows that the list was taken.
        let (_watch, _) = harness.discovery.accept().expect("the next call");
        harness.host_controls.unresponsive.store(false, Ordering::SeqCst);
        assert!(matches!(client.code().as_str(), "53300" | "57P03"), "refused: nothing was sent");
        assert!(harness.host_events.try_iter().all(|said| said == "connected"), "a statement was written");
        harness.end();
    }
}

/// Guards a drain whose word comes while a request is being written: what has begun to go out is finished there and
/// answered, however much of it the host has read by then, and nothing else is written to that host.
#[test]
fn a_request_that_is_half_written_when_a_drain_is_told_is_finished() {
    const WHOLE: usize = 128 << 10;
    for read_first in [0, 1, 4, 5, 4_096, WHOLE / 2, WHOLE] {
        let harness = Harness::start(200);
        // A primary of the test's own, which reads no further than it is told.
        let slow = bind_loopback();
        let mut list: Value =
            serde_json::from_str::<Value>(&harness.initial_config).expect("a configuration")["known"].take();
        let (mut call, _) = harness.discovery.accept().expect("a call");
        assert!(call.read(&mut [0; 1024]).expect("a request") > 0);
        list["rev"] = json!(9);
        list["targets"][0]["endpoint"] = json!(slow.local_addr().expect("bound").to_string());
        harness::answer_discovery(&mut call, &list);
        let (mut call, _) = harness.discovery.accept().expect("the next call");
        assert!(call.read(&mut [0; 1024]).expect("a request") > 0);
        let mut client = harness.client();
        let long = write("k").replace("\\x9f", &format!("\\x{}", "9f".repeat(WHOLE / 2)));
        assert!(long.len() > WHOLE, "the value is long");
        client.ask(&long);
        let (mut host, _) = slow.accept().expect("a dial");
        let mut inbox = codec::ReceiveBuffer::default();
        let mut bytes = [0; 4096];
        while inbox.next_startup_packet().expect("a startup").is_none() {
            let count = host.read(&mut bytes).expect("a startup");
            inbox.push(&bytes[..count]);
        }
        let mut welcome = Vec::new();
        codec::write_message(&mut welcome, b'R', &[0; 4]);
        codec::write_ready_for_query(&mut welcome);
        host.write_all(&welcome).expect("written");
        // The first byte shows that the request is on its way; the rest as far as this run goes.
        let mut begun = vec![0; read_first.max(1)];
        host.read_exact(&mut begun).expect("the request's first bytes");
        inbox.push(&begun);
        list["rev"] = json!(10);
        list["targets"][0]["state"] = json!("Terminating");
        harness::answer_discovery(&mut call, &list);
        let (_watch, _) = harness.discovery.accept().expect("the next call shows that the list was taken");
        let query = harness::next_frame(&mut host, &mut inbox).expect("the whole request");
        assert!(query.body.len() > WHOLE);
        let mut answer = Vec::new();
        codec::write_message(&mut answer, b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01");
        codec::write_message(&mut answer, b'D', &[0, 1, 0, 0, 0, 1, 7]);
        codec::write_message(&mut answer, b'C', b"INSERT 0 1\0");
        codec::write_parameter_status(&mut answer, "part", "master");
        codec::write_ready_for_query(&mut answer);
        host.write_all(&answer).expect("written");
        assert_eq!(client.answer().len(), 4, "served by the host that had begun to get it");
        // Whatever comes now goes elsewhere: this host's connection ends and none is dialled.
        host.set_read_timeout(Some(std::time::Duration::from_secs(20))).expect("a socket");
        assert_eq!(host.read(&mut bytes).ok(), Some(0), "the connection ends, long before its idle limit");
        client.ask(&read("any"));
        client.answer();
        slow.set_nonblocking(true).expect("a listener");
        assert!(slow.accept().is_err(), "nothing is dialled");
        harness.end();
    }
}

/// Guards hosts in an overload: a read is told to be wanted until its aim, after which nobody waits for it,
/// and not until its client's deadline, so that the host need not run what comes too late.
#[test]
fn a_host_is_told_by_when_a_read_is_too_late() {
    let mut harness = Harness::start(200);
    let text = harness.config_with("/settings/Classes/0/AimMs", Some(json!(4000.0)));
    harness.reload_config(&text);
    let mut client = harness.client();
    for (text, most) in [(read("a"), 4_100), (write("b"), 30_000)] {
        client.ask(&text);
        assert_eq!(client.answer().last().map(|frame| frame.tag), Some(b'Z'));
        let heard = harness.host_events.recv().expect("a statement");
        let told = heard.split_once(",d=").and_then(|(_, rest)| rest.split(',').next()).expect("a wait");
        let told: u64 = told.parse().expect("a number");
        assert!(told <= most && told * 2 > most, "told {told}");
    }
    harness.end();
}

/// Guards an overbooked discovery: a call that is turned away is repeated for the changes alone, however
/// often, and never for the whole list, which costs it many times as much.
#[test]
fn an_overbooked_discovery_is_asked_for_changes_only() {
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

/// Guards a discovery of fixed capacity against a fleet that starts at once: a hundred gateways, each call
/// served in turn within 2 s or failed. With a fixed pause most never get through; with the pause of a fleet
/// all do, soon, and a few gateways repeat at once as ever.
#[test]
fn a_fleet_that_starts_at_once_gets_through_to_discovery() {
    let late = |pause: &dyn Fn(u64, f64) -> u64| {
        let mut draws = (1..).map(|n: u64| (n * 7_919 % 1_009) as f64 / 1_009.0);
        let mut calls: Vec<(u64, u64)> = (0..100).map(|_| (0, 0)).collect();
        let (mut free, mut late) = (0, 0);
        for _ in 0..20_000 {
            calls.sort_by(|a, b| b.cmp(a));
            let Some((at, fails)) = calls.pop() else { break };
            // 40 ms of work for a call, half of it also where it is turned away.
            free = free.max(at);
            if free - at < 2_000 {
                free += 40;
                late += u64::from(free > 15_000);
            } else {
                free += 20;
                calls.push((at + pause(fails + 1, draws.next().expect("a draw")), fails + 1));
            }
        }
        late + calls.len() as u64
    };
    let longest = discovery::REJECTED_GAP;
    let fleet = |fails, draw| discovery::backoff(fails, 100, draw, longest).0 / 1_000;
    assert_eq!(late(&fleet), 0);
    assert!(late(&|_, _| discovery::MIN_BACKOFF.0 / 1_000) > 20);
    for (gateways, draw) in [(0, 0.9), (1, 0.5), (3, 1.0)] {
        assert_eq!(discovery::backoff(9, gateways, draw, longest), discovery::MIN_BACKOFF);
    }
}

/// Guards drains of which discovery has told while calls failed, whatever the fleet's size and the grace: a change
/// counts as told 6 s after discovery had it and could be reached. Until a call has been turned away it could not. From
/// there, or from the start of a watch that falls silent, two calls fail one way or another and the third is answered.
/// A watch that waited for 20 s and pauses of up to 5 s after calls that were turned away broke it. Whether a call that
/// has had its time stays out is the watch's own word.
#[test]
fn a_change_is_heard_within_six_seconds_however_calls_fail() {
    hear_in_time(Watch::timeout);
}

/// Guards the same where no call is silent for longer than one behind a refusal may be: it breaks, is cut or is turned
/// away.
#[test]
fn a_change_is_heard_within_six_seconds_where_calls_break() {
    hear_in_time(|watch| watch.timeout().min(discovery::REJECTED_TIMEOUT));
}

fn hear_in_time(longest: impl Fn(&Watch) -> Micros) {
    use discovery::{ANSWER_TIME, KNOWN_WITHIN, MIN_BACKOFF};
    let second = Micros::millis(1_000);
    let ways = [CallFailure::Rejected, CallFailure::Lost, CallFailure::Silent];
    let way = |row: usize, call: u32| ways[row / 3usize.pow(call) % 3];
    for gateways in [0, 1, 3, 10, 100, 300, 3_000] {
        for grace in [Micros(0), second.scale(0.25), second.scale(2.0)] {
            for row in 0..81 {
                for part in [0.0, 0.3, 0.9, 1.0] {
                    let mut watch = Watch::from_version(Some(4));
                    // Since when a change may be owed: the start of the call before the one that failed, or the end
                    // of one that was turned away.
                    let (mut now, mut owed) = (Micros(0), vec![Micros(0)]);
                    for call in 0..4 {
                        let (began, mut how, mut spent) = (now, way(row, call), longest(&watch).scale(part));
                        if how == CallFailure::Silent {
                            (spent, how) = (watch.timeout(), watch.on_timeout());
                        }
                        now = now + spent;
                        let backoff = watch.on_call_failed(how, gateways, grace, spent, part);
                        now = now + backoff;
                        match how {
                            CallFailure::Lost | CallFailure::Silent => owed.push(began),
                            CallFailure::Rejected => owed = vec![now - backoff],
                        }
                        let from = owed[owed.len().saturating_sub(2)];
                        assert!(
                            now + ANSWER_TIME - from <= KNOWN_WITHIN,
                            "{gateways}, {grace:?}, {row}, {part}, {call}"
                        );
                        assert!(backoff >= MIN_BACKOFF);
                        // An answer that was lost may have told already: the next call comes within the grace.
                        let lost = (0..=call).any(|call| way(row, call) != CallFailure::Rejected);
                        assert!(!lost || backoff <= grace.scale(0.5).max(MIN_BACKOFF));
                    }
                }
            }
        }
    }
}

/// Guards the watch of a discovery that is down for a while: calls that fall silent keep the version, so that its first
/// word is the change and not an older whole list, and only a silence that lasts asks for the whole list.
#[test]
fn a_silence_keeps_the_version_until_it_lasts() {
    let mut watch = Watch::from_version(Some(4));
    for silent in 1..=discovery::MAX_SILENT_CALLS {
        assert!(watch.next_request("h").starts_with("GET /catalog/members?index=4&wait="), "{silent}");
        assert_eq!(watch.on_timeout(), CallFailure::Silent);
        watch.on_call_failed(CallFailure::Silent, 3, Micros::millis(250), watch.timeout(), 0.5);
    }
    assert!(watch.next_request("h").starts_with("GET /catalog/members HTTP"));
    assert_eq!(watch.on_timeout(), CallFailure::Lost, "a call for the whole list is given up");
    // A call behind a refusal does not wait either.
    let mut watch = Watch::from_version(Some(4));
    watch.on_call_failed(CallFailure::Rejected, 3, Micros::millis(250), Micros(0), 0.5);
    assert_eq!(watch.on_timeout(), CallFailure::Lost);
}

/// Guards what is known against a late answer of a watch that fell silent: it counts only where it is newer, whichever
/// way it is cut, and the answer of the call after it is read apart from it.
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
                Ok(None) => panic!("the answer is whole"),
            }
            if newer {
                assert_eq!((watch.version(), watch.failures()), (Some(5), 0));
            } else {
                let listing = watch.receive(&text(7).as_bytes()[30..], false).expect("read").expect("whole");
                assert_eq!((listing.rev, watch.version()), (7, Some(7)));
            }
        }
    }
}

/// Guards drains that a lost answer may have told of: they are owed until a list has come, however many calls are
/// turned away meanwhile, and after two that were lost the whole list is asked for.
#[test]
fn what_a_lost_answer_told_is_owed_until_a_list_has_come() {
    let second = Micros::millis(1_000);
    assert!(discovery::WATCH_WAIT < Watch::from_version(Some(4)).timeout());
    let (grace, mut watch) = (second.scale(2.0), Watch::from_version(Some(4)));
    for how in [CallFailure::Lost, CallFailure::Rejected, CallFailure::Rejected] {
        assert_eq!(watch.on_call_failed(how, 300, grace, Micros(0), 1.0), second);
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
