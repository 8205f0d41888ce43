//! Tests of the built program as a separate process with a limit of descriptors. Some stop the process with SIGSTOP and
//! continue it with SIGCONT, so that its next poll reports all events that occurred meanwhile.

mod harness;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use dunemount::hot_restart::handover_socket;
use dunemount::pg::codec;
use harness::process::{reserve_port, Process, POLL_INTERVAL};
use harness::scripted::{accept_discovery_call, answer, let_connections_rest, Host};
use harness::{answer_discovery, bind_loopback, listens, listing, metric, read, ClientConnection};
use rustix::process::Signal;
use serde_json::json;

/// Guards the tests of this file against ports that another process takes between their selection and the start of the
/// gateway: a listener of another process does not count as the gateway, which fails to start, so that the harness can
/// start it again.
#[test]
fn a_port_of_another_process_does_not_count_as_a_started_gateway() {
    let (other, admin_listener) = (bind_loopback(), bind_loopback());
    let (address, admin) = (other.local_addr().expect("bound"), admin_listener.local_addr().expect("bound"));
    drop(admin_listener);
    let known = listing(&[Host::new().address()]);
    let mut process = Process::spawn_at(address, admin, "taken", 200, address, &known);
    assert!(listens(address), "another process listens there");
    assert!(!process.wait_until_listening(), "{}", process.log());
}

/// Guards against idle clients that hold all descriptors for clients while discovery is down: when discovery is back,
/// its list is applied, the gateway can connect to the new host, and a new client is accepted and served.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_hosts() {
    let (old, new, reserved) = (Host::new(), Host::new(), reserve_port());
    let discovery_address = reserved.local_addr().expect("bound").as_socket().expect("an address");
    let gateway = Process::start("filled", 80, discovery_address, listing(&[old.address()]));
    let first = gateway.client();
    // More clients than descriptors: some are accepted, some wait in the listener's queue.
    let idle: Vec<TcpStream> =
        (0..120).map(|_| TcpStream::connect(gateway.address).expect("accepted by the system")).collect();
    assert!(metric(gateway.admin, "pool_size") == 1, "the admin interface still answers");
    let discovery = TcpListener::bind(discovery_address).expect("its old address");
    let (mut watch, _) = accept_discovery_call(&discovery);
    let mut list = listing(&[new.address()]);
    (list["rev"], list["targets"][0]["uid"]) = (json!(9), json!("s-new"));
    answer_discovery(&mut watch, &list);
    let (_watch, request) = accept_discovery_call(&discovery);
    assert!(request.contains("index=9&wait="), "{request}");
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

/// Guards restarts where nothing answers: processes that start at once, with a silent discovery and each with a
/// predecessor that listens on its handover socket and sends nothing, still answer their first empty query.
#[test]
fn processes_that_start_at_once_become_ready_without_discovery_or_predecessor() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let discovery_address = discovery.local_addr().expect("bound");
    let silent_predecessors: Vec<_> = (0..12)
        .map(|index| {
            let name = format!("start{index}");
            let folder = std::env::temp_dir().join(format!("dunemount-{name}-{}", std::process::id()));
            std::fs::create_dir_all(&folder).expect("a folder");
            handover_socket::listen(&folder.join(format!("dunemount-{name}.line")))
                .expect("a handover socket")
        })
        .collect();
    let known = listing(&[host.address()]);
    let mut gateways: Vec<Process> = (0..12)
        .map(|index| Process::spawn(&format!("start{index}"), 200, discovery_address, &known))
        .collect();
    for (index, listener) in silent_predecessors.iter().enumerate() {
        while !gateways[index].wait_until_listening() {
            // Starts the process again, in the folder that holds its handover socket.
            gateways[index].folder = PathBuf::new();
            gateways[index] = Process::spawn(&format!("start{index}"), 200, discovery_address, &known);
        }
        let gateway = &gateways[index];
        let mut client = gateway.client();
        client.ask("");
        assert_eq!(client.answer()[0].tag, b'I');
        assert!(
            handover_socket::HandoverSocket::accept(listener).is_ok(),
            "it has connected to its predecessor"
        );
    }
    drop(discovery);
}

/// Guards hosts against useless work: no attempt starts for a client whose FIN has already arrived, whether it follows
/// a request, part of a request, or far more bytes than are read at once. Another client that is served afterwards
/// shows that the gateway has handled the FIN.
#[test]
fn a_client_that_has_disconnected_when_its_request_is_read_starts_no_attempt() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let discovery_address = discovery.local_addr().expect("bound");
    let gateway = Process::start("left", 200, discovery_address, listing(&[host.address()]));
    let mut complete = Vec::new();
    codec::write_query(&mut complete, &read("gone"));
    let incomplete = complete[..complete.len() - 1].to_vec();
    let mut flood = complete.clone();
    // More bytes than one iteration of the event loop reads, but within the limit of a message. The FIN follows them.
    codec::write_query(&mut flood, &"x".repeat(100_000));
    for bytes in [complete, incomplete, flood] {
        let mut startup_and_bytes = Vec::new();
        codec::write_startup_packet(&mut startup_and_bytes, "app", "shop");
        startup_and_bytes.extend_from_slice(&bytes);
        // A stopped gateway cannot read the bytes before the FIN arrives.
        gateway.signal(Signal::STOP);
        let mut socket = TcpStream::connect(gateway.address).expect("accepted by the system");
        socket.write_all(&startup_and_bytes).expect("written");
        socket.shutdown(Shutdown::Write).expect("a socket");
        while !is_fin_acknowledged(&socket) {
            std::thread::sleep(POLL_INTERVAL);
        }
        gateway.signal(Signal::CONT);
        let _ = socket.read_to_end(&mut Vec::new());
    }
    let mut other = gateway.client();
    other.ask(&read("here"));
    let mut link = host.accept_ready();
    let statement = link.next_statement().expect("an attempt");
    assert!(statement.contains("'here'"), "{statement}");
    link.send(&answer("master", None));
    assert_eq!(other.answer().len(), 4);
    drop(link);
    assert_eq!(metric(gateway.admin, "responses.look.tries"), 1);
}

/// Whether the peer's TCP stack has acknowledged the FIN of this socket, whether or not the peer has read it: state
/// `FIN_WAIT2` in `/proc/net/tcp`.
fn is_fin_acknowledged(socket: &TcpStream) -> bool {
    let port = format!(":{:04X}", socket.local_addr().expect("bound").port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of TCP sockets");
    table.lines().any(|line| {
        let mut fields = line.split_whitespace().skip(1);
        fields.next().is_some_and(|local| local.ends_with(&port)) && fields.nth(1) == Some("05")
    })
}

/// Guards hosts against useless work where one poll reports both the request and the FIN of its client, and a
/// connection to the host is already open: the request is not written to it.
#[test]
fn a_request_followed_by_its_clients_fin_is_not_written_on_an_open_connection() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let discovery_address = discovery.local_addr().expect("bound");
    let gateway = Process::start("gone", 200, discovery_address, listing(&[host.address()]));
    let mut gone = gateway.client();
    gone.ask(&read("before"));
    let mut link = host.accept_ready();
    link.next_statement().expect("an attempt");
    link.send(&answer("master", None));
    assert_eq!(gone.answer().len(), 4);
    let_connections_rest();
    gateway.signal(Signal::STOP);
    gone.ask(&read("gone"));
    gone.socket.shutdown(Shutdown::Write).expect("a socket");
    gateway.signal(Signal::CONT);
    assert_eq!(gone.socket.read(&mut [0; 64]).unwrap_or(0), 0, "the gateway closes the connection");
    let mut client = gateway.client();
    client.ask(&read("here"));
    assert!(link.next_statement().expect("an attempt").contains("'here'"));
    link.send(&answer("master", None));
    assert_eq!(client.answer().len(), 4);
    assert_eq!(metric(gateway.admin, "responses.look.tries"), 2);
}

/// Guards requests that arrive as the gateway closes idle connections to make room: they are unread in the sockets of
/// idle clients when a new client connects, and each of them is answered.
#[test]
fn a_request_that_arrives_as_room_is_made_is_served() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let discovery_address = discovery.local_addr().expect("bound");
    let gateway = Process::start("room", 60, discovery_address, listing(&[host.address()]));
    // The maximum number of clients: 60 descriptors less the reserved ones, less a third of the rest for hosts.
    let mut held: Vec<ClientConnection> = (0..11).map(|_| gateway.client()).collect();
    gateway.signal(Signal::STOP);
    let newcomer = TcpStream::connect(gateway.address).expect("accepted by the system");
    for client in &mut held {
        client.ask("");
    }
    gateway.signal(Signal::CONT);
    let answers: Vec<usize> = held.iter_mut().map(|client| client.answer().len()).collect();
    assert_eq!(answers, [2; 11], "{}", gateway.log());
    drop(newcomer);
}

/// Guards the shutdown against signals that arrive together: two SIGHUP and two SIGTERM are pending at once while a
/// request is open. The request is answered, and the process ends by itself with success.
#[test]
fn signals_that_arrive_together_shut_the_process_down_gracefully() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let discovery_address = discovery.local_addr().expect("bound");
    let mut gateway = Process::start("signals", 200, discovery_address, listing(&[host.address()]));
    let mut client = gateway.client();
    client.ask(&read("k"));
    let mut link = host.accept_ready();
    link.next_statement().expect("an attempt");
    gateway.signal(Signal::STOP);
    for signal in [Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM] {
        gateway.signal(signal);
    }
    gateway.signal(Signal::CONT);
    // The listener closes while the request is still open.
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

/// Guards a SIGTERM that arrives during the start, while the predecessor is silent on its handover socket: the new
/// process ends without having accepted a client.
#[test]
fn a_sigterm_during_the_start_ends_the_process() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let discovery_address = discovery.local_addr().expect("bound");
    let folder = std::env::temp_dir().join(format!("dunemount-early-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let predecessor =
        handover_socket::listen(&folder.join("dunemount-early.line")).expect("a handover socket");
    let mut gateway = Process::spawn("early", 200, discovery_address, &listing(&[host.address()]));
    // Once the process has connected to its predecessor, it waits for an answer.
    let handover = loop {
        if let Ok(handover) = handover_socket::HandoverSocket::accept(&predecessor) {
            break handover;
        }
        std::thread::sleep(POLL_INTERVAL);
    };
    gateway.signal(Signal::TERM);
    gateway.child.wait().expect("it ends");
    assert!(!gateway.log().contains("listening"), "{}", gateway.log());
    drop(handover);
}

/// Guards the shutdown against the earliest SIGKILL, which follows SIGTERM after 3 s and another 0.7 s where a deadline
/// is longer: requests with far longer deadlines, at a host that hangs, have received their final answers by then, and
/// so has one whose client connects right before the listener closes.
#[test]
fn requests_with_deadlines_after_the_kill_are_answered_before_it() {
    let (host, discovery) = (Host::new(), bind_loopback());
    let discovery_address = discovery.local_addr().expect("bound");
    let mut gateway = Process::start("kill", 200, discovery_address, listing(&[host.address()]));
    let mut clients: Vec<ClientConnection> = (0..2).map(|_| gateway.client()).collect();
    for client in &mut clients {
        client.ask(&read("k"));
    }
    let mut links: Vec<_> = clients.iter().map(|_| host.accept_ready()).collect();
    links.iter_mut().for_each(|link| drop(link.next_statement().expect("an attempt")));
    gateway.signal(Signal::TERM);
    // One more client connects right before the listener closes.
    let mut late = gateway.client();
    late.ask(&read("late"));
    let mut link = host.accept_ready();
    link.next_statement().expect("an attempt");
    clients.push(late);
    std::thread::sleep(Duration::from_millis(3_700));
    let _ = gateway.child.kill();
    for client in &mut clients {
        // The request has failed, or is refused where its class and its attempts allow a refusal.
        let code = client.code();
        assert!(["58000", "53300"].contains(&code.as_str()), "{code}, {}", gateway.log());
    }
}

/// Guards the remaining time that is forwarded to a host where requests hold all descriptors for clients: the time for
/// which another client waits in the listener's queue counts towards the deadline of its request.
#[test]
fn a_request_that_waits_to_be_accepted_has_less_time_left() {
    const WAIT: Duration = Duration::from_millis(800);
    let (host, discovery) = (Host::new(), bind_loopback());
    let discovery_address = discovery.local_addr().expect("bound");
    // 60 descriptors less the reserved ones, less a third of the rest for hosts: 11 clients, 5 connections to hosts.
    let gateway = Process::start("queue", 60, discovery_address, listing(&[host.address()]));
    let mut held: Vec<ClientConnection> = (0..11).map(|_| gateway.client()).collect();
    // A connection with an incomplete command is not closed to make room.
    held.iter_mut().for_each(|client| client.socket.write_all(b"Q\0").expect("written"));
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
    let statement = link.next_statement().expect("an attempt");
    let remaining_ms: u64 = statement
        .split(",d=")
        .nth(1)
        .expect("a time")
        .split(',')
        .next()
        .and_then(|d| d.parse().ok())
        .expect("a number");
    assert!(remaining_ms <= 1_500 - 800 + 150, "forwarded with {remaining_ms} ms");
}
