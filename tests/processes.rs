//! The built program as a process of its own, under its limit of descriptors, stopped and continued: what lies in its
//! sockets meanwhile is there all at once when it looks.

mod harness;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use dunemount::hot_restart::handover_socket;
use dunemount::pg::codec;
use harness::process::{Process, POLL_INTERVAL};
use harness::scripted::{accept_discovery_call, answer, Host};
use harness::{answer_discovery, bind_loopback, listens, listing, metric, read, ClientConnection};
use rustix::process::Signal;
use serde_json::json;

/// Guards the tests of this file against ports that another one takes between their choice and a start: whoever else
/// listens there is not taken for the process, and one that ends for it is started anew.
#[test]
fn a_port_that_somebody_else_has_is_not_taken_for_a_process_that_is_up() {
    let (other, door) = (bind_loopback(), bind_loopback());
    let (address, admin) = (other.local_addr().expect("bound"), door.local_addr().expect("bound"));
    drop(door);
    let known = listing(&[Host::new().address()]);
    let mut process = Process::spawn_at(address, admin, "taken", 200, address, &known);
    assert!(listens(address), "somebody does");
    assert!(!process.wait_until_listening(), "{}", process.log());
}

/// Guards a discovery that is down while idle clients fill all descriptors that clients may have: when it returns the
/// list is taken in, the host that it names can be dialled, and a new client gets in and is served.
#[test]
fn idle_clients_that_fill_the_descriptors_leave_discovery_and_hosts_theirs() {
    let (old, new, door) = (Host::new(), Host::new(), bind_loopback());
    let place = door.local_addr().expect("bound");
    drop(door);
    let gateway = Process::start("filled", 80, place, listing(&[old.address()]));
    let first = gateway.client();
    // More than there are descriptors: some are let in, some wait in the system's queue.
    let idle: Vec<TcpStream> =
        (0..120).map(|_| TcpStream::connect(gateway.address).expect("accepted by the system")).collect();
    assert!(metric(gateway.admin, "pool_size") == 1, "the door answers beside them");
    let discovery = TcpListener::bind(place).expect("its old address");
    let (mut watch, _) = accept_discovery_call(&discovery);
    let mut list = listing(&[new.address()]);
    (list["rev"], list["targets"][0]["uid"]) = (json!(9), json!("s-new"));
    answer_discovery(&mut watch, &list);
    let (_watch, asked) = accept_discovery_call(&discovery);
    assert!(asked.contains("index=9&wait="), "{asked}");
    let mut client = gateway.client();
    client.ask(&read("k"));
    let mut link = new.accept_ready();
    assert!(link.next_statement().expect("an attempt").contains("'k'"));
    link.send(&answer("master", None));
    assert_eq!(client.answer().len(), 4);
    let log = gateway.log();
    assert!(!log.contains("cannot accept") && !log.contains("no descriptors left for hosts"), "{log}");
    drop((first, idle));
}

/// Guards restarts: many processes that start at once, discovery silent, and before each a process that has its line
/// and says nothing on it, answer their first empty query all the same.
#[test]
fn processes_that_start_at_once_are_ready_whatever_is_silent() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let place = discovery.local_addr().expect("bound");
    let silent: Vec<_> = (0..12)
        .map(|index| {
            let name = format!("start{index}");
            let folder = std::env::temp_dir().join(format!("dunemount-{name}-{}", std::process::id()));
            std::fs::create_dir_all(&folder).expect("a folder");
            handover_socket::listen(&folder.join(format!("dunemount-{name}.line"))).expect("a line")
        })
        .collect();
    let known = listing(&[host.address()]);
    let mut gateways: Vec<Process> =
        (0..12).map(|index| Process::spawn(&format!("start{index}"), 200, place, &known)).collect();
    for (index, line) in silent.iter().enumerate() {
        while !gateways[index].wait_until_listening() {
            // It starts once more, in the folder where its line is.
            gateways[index].folder = PathBuf::new();
            gateways[index] = Process::spawn(&format!("start{index}"), 200, place, &known);
        }
        let gateway = &gateways[index];
        let mut client = gateway.client();
        client.ask("");
        assert_eq!(client.answer()[0].tag, b'I');
        assert!(handover_socket::HandoverSocket::accept(line).is_ok(), "it has called the process before it");
    }
    drop(discovery);
}

/// Guards hosts against work for nobody: a client whose end lies in its socket begins no attempt, whether it left
/// right behind its request, in the middle of one, or behind far more bytes than are read. The gateway is shown to
/// be through with it by another client that is served after it.
#[test]
fn a_client_that_is_gone_when_its_request_is_read_begins_no_attempt() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let place = discovery.local_addr().expect("bound");
    let gateway = Process::start("left", 200, place, listing(&[host.address()]));
    let mut whole = Vec::new();
    codec::write_query(&mut whole, &read("gone"));
    let half = whole[..whole.len() - 1].to_vec();
    let mut flood = whole.clone();
    // More than a turn reads, less than a message may have: the end lies behind it.
    codec::write_query(&mut flood, &"x".repeat(100_000));
    for bytes in [whole, half, flood] {
        let mut hello = Vec::new();
        codec::write_startup_packet(&mut hello, "app", "shop");
        hello.extend_from_slice(&bytes);
        // Stopped, it cannot look between the bytes and the end behind them.
        gateway.signal(Signal::STOP);
        let mut socket = TcpStream::connect(gateway.address).expect("accepted by the system");
        socket.write_all(&hello).expect("written");
        socket.shutdown(Shutdown::Write).expect("a socket");
        while !is_end_acknowledged(&socket) {
            std::thread::sleep(POLL_INTERVAL);
        }
        gateway.signal(Signal::CONT);
        let _ = socket.read_to_end(&mut Vec::new());
    }
    let mut other = gateway.client();
    other.ask(&read("here"));
    let mut link = host.accept_ready();
    let asked = link.next_statement().expect("an attempt");
    assert!(asked.contains("'here'"), "{asked}");
    link.send(&answer("master", None));
    assert_eq!(other.answer().len(), 4);
    drop(link);
    assert_eq!(metric(gateway.admin, "responses.look.tries"), 1);
}

/// Whether the other side's system has the end that this socket has sent, read or not: `FIN_WAIT2` in `/proc/net/tcp`.
fn is_end_acknowledged(socket: &TcpStream) -> bool {
    let port = format!(":{:04X}", socket.local_addr().expect("bound").port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    table.lines().any(|line| {
        let mut words = line.split_whitespace().skip(1);
        words.next().is_some_and(|own| own.ends_with(&port)) && words.nth(1) == Some("05")
    })
}

/// Guards hosts against work for nobody where the request and its client's end are both there at the first look, and
/// a connection to the host is open already: nothing is written on it.
#[test]
fn a_request_with_its_clients_end_behind_it_is_not_written_on_an_open_connection() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let place = discovery.local_addr().expect("bound");
    let gateway = Process::start("gone", 200, place, listing(&[host.address()]));
    let mut gone = gateway.client();
    gone.ask(&read("before"));
    let mut link = host.accept_ready();
    link.next_statement().expect("an attempt");
    link.send(&answer("master", None));
    assert_eq!(gone.answer().len(), 4);
    gateway.signal(Signal::STOP);
    gone.ask(&read("gone"));
    gone.socket.shutdown(Shutdown::Write).expect("a socket");
    gateway.signal(Signal::CONT);
    assert_eq!(gone.socket.read(&mut [0; 64]).unwrap_or(0), 0, "it is through with it");
    let mut client = gateway.client();
    client.ask(&read("here"));
    assert!(link.next_statement().expect("an attempt").contains("'here'"));
    link.send(&answer("master", None));
    assert_eq!(client.answer().len(), 4);
    assert_eq!(metric(gateway.admin, "responses.look.tries"), 2);
}

/// Guards requests that cross the making of room: they lie unread in the sockets of idle clients when a new one comes,
/// and each of them is answered.
#[test]
fn a_request_that_crosses_the_making_of_room_is_served() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let place = discovery.local_addr().expect("bound");
    let gateway = Process::start("room", 60, place, listing(&[host.address()]));
    // As many as there is room for: 60 less those kept back, less a third of the rest for hosts.
    let mut held: Vec<ClientConnection> = (0..11).map(|_| gateway.client()).collect();
    gateway.signal(Signal::STOP);
    let newcomer = TcpStream::connect(gateway.address).expect("accepted by the system");
    for talk in &mut held {
        talk.ask("");
    }
    gateway.signal(Signal::CONT);
    let answers: Vec<usize> = held.iter_mut().map(|talk| talk.answer().len()).collect();
    assert_eq!(answers, [2; 11], "{}", gateway.log());
    drop(newcomer);
}

/// Guards the end against signals that cross: a new configuration and two words to end are there at once, with a
/// request owed; the request is answered, and the process ends by itself and in order.
#[test]
fn signals_that_come_all_at_once_end_the_process_in_order() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let place = discovery.local_addr().expect("bound");
    let mut gateway = Process::start("signals", 200, place, listing(&[host.address()]));
    let mut client = gateway.client();
    client.ask(&read("k"));
    let mut link = host.accept_ready();
    link.next_statement().expect("an attempt");
    gateway.signal(Signal::STOP);
    for signal in [Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM] {
        gateway.signal(signal);
    }
    gateway.signal(Signal::CONT);
    // The listener closes in the end; the answer is still owed then.
    while listens(gateway.address) {
        std::thread::sleep(POLL_INTERVAL);
    }
    gateway.signal(Signal::TERM);
    gateway.signal(Signal::HUP);
    link.send(&answer("master", None));
    assert_eq!(client.answer().len(), 4);
    assert_eq!(client.answer().len(), 0);
    assert!(gateway.child.wait().expect("it ends").success());
}

/// Guards a word to end that comes at the start, while a process before is silent on its line: the new one ends, and
/// has taken nobody.
#[test]
fn a_word_to_end_at_the_start_ends_it() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let place = discovery.local_addr().expect("bound");
    let folder = std::env::temp_dir().join(format!("dunemount-early-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let before = handover_socket::listen(&folder.join("dunemount-early.line")).expect("a line");
    let mut gateway = Process::spawn("early", 200, place, &listing(&[host.address()]));
    // It has called the process before it, and waits.
    let line = loop {
        if let Ok(line) = handover_socket::HandoverSocket::accept(&before) {
            break line;
        }
        std::thread::sleep(POLL_INTERVAL);
    };
    gateway.signal(Signal::TERM);
    gateway.child.wait().expect("it ends");
    assert!(!gateway.log().contains("listening"), "{}", gateway.log());
    drop(line);
}

/// Guards the end against the earliest kill, 3 s and 0.7 s after the word to end where a deadline is longer: a request that has
/// far more time, at a host that hangs, has its final answer by then, and so has one whose client reads on until the kill.
#[test]
fn whoever_has_more_time_than_the_process_is_answered_before_the_kill() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let place = discovery.local_addr().expect("bound");
    let mut gateway = Process::start("kill", 200, place, listing(&[host.address()]));
    let mut clients: Vec<ClientConnection> = (0..2).map(|_| gateway.client()).collect();
    for client in &mut clients {
        client.ask(&read("k"));
    }
    let mut links: Vec<_> = clients.iter().map(|_| host.accept_ready()).collect();
    links.iter_mut().for_each(|link| drop(link.next_statement().expect("an attempt")));
    gateway.signal(Signal::TERM);
    // One more comes right before the listener closes.
    let mut late = gateway.client();
    late.ask(&read("late"));
    let mut link = host.accept_ready();
    link.next_statement().expect("an attempt");
    clients.push(late);
    std::thread::sleep(Duration::from_millis(3_700));
    let _ = gateway.child.kill();
    for client in &mut clients {
        // Failed, or refused where its class and its attempts allow that.
        let code = client.code();
        assert!(["58000", "53300"].contains(&code.as_str()), "{code}, {}", gateway.log());
    }
}

/// Guards the deadline that a host is told, where all places for clients are taken by requests: one that waits in the listener's
/// queue meanwhile has no more time for that.
#[test]
fn a_request_that_waits_to_be_accepted_has_less_time_left() {
    const WAIT: Duration = Duration::from_millis(800);
    let (host, discovery) = (Host::new(), bind_loopback());
    let place = discovery.local_addr().expect("bound");
    // 60 less those kept back, less a third of the rest for hosts: 11 clients, 5 connections to hosts.
    let gateway = Process::start("queue", 60, place, listing(&[host.address()]));
    let mut held: Vec<ClientConnection> = (0..11).map(|_| gateway.client()).collect();
    // A command that has begun keeps its place.
    held.iter_mut().for_each(|talk| talk.socket.write_all(b"Q\0").expect("written"));
    while metric(gateway.admin, "active") > 0 {
        std::thread::sleep(POLL_INTERVAL);
    }
    let mut waiting = TcpStream::connect(gateway.address).expect("accepted by the system");
    let mut bytes = Vec::new();
    codec::write_startup_packet(&mut bytes, "app", "shop");
    let text = "SELECT doc FROM items WHERE id = 'k' /* id=waited,c=look,d=1500,cluster=1 */";
    codec::write_query(&mut bytes, text);
    waiting.write_all(&bytes).expect("written");
    std::thread::sleep(WAIT);
    drop(held);
    let mut link = host.accept_ready();
    let asked = link.next_statement().expect("an attempt");
    let told: u64 = asked
        .split(",d=")
        .nth(1)
        .expect("a time")
        .split(',')
        .next()
        .and_then(|d| d.parse().ok())
        .expect("a number");
    assert!(told <= 1_500 - 800 + 150, "told {told} ms");
}
