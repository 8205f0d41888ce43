//! Shortages of the machine that a process runs on: calls of the system fail for a while, and pass. They are no verdict on
//! any host, lose no request, and end no process.

mod harness;

use std::net::TcpListener;
use std::time::Duration;

use harness::process::{Faults, Process, ProcessOptions, POLL_INTERVAL};
use harness::scripted::{answer, Host};
use harness::{bind_loopback, listens, listing, metric, read, ClientConnection};
use rustix::process::Signal;

/// Time for which calls fail: a while in the life of a process.
const WHILE: Duration = Duration::from_millis(300);
/// Errors of the system, by their numbers.
const EIO: i32 = 5;
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const EADDRNOTAVAIL: i32 = 99;
const ENETUNREACH: i32 = 101;
const ENOBUFS: i32 = 105;

/// A start whose processes meet faults that the test names, and the discovery that it is told.
fn start(test: &str) -> (ProcessOptions, Faults, TcpListener) {
    let discovery = bind_loopback();
    let place = discovery.local_addr().expect("bound");
    let mut start = ProcessOptions::with_defaults(test, 200, place);
    let faults = Faults::none(&start.folder());
    start.faults = Some(faults.clone());
    (start, faults, discovery)
}

/// Serves one request of a client.
fn serve(client: &mut ClientConnection, host: &Host) {
    client.ask(&read("k"));
    let mut link = host.accept_ready();
    link.next_statement().expect("an attempt");
    link.send(&answer("master", None));
    assert_eq!(client.answer().len(), 4, "served");
}

/// Guards starts: no descriptor, no memory, no port and a file that cannot be read at this moment are waited for, each on
/// the way to the first client.
#[test]
fn a_start_that_meets_a_shortage_goes_on_once_it_has_passed() {
    let failing = [
        ("socket", EMFILE, ""),
        ("socket", ENFILE, ""),
        ("bind", EADDRNOTAVAIL, ""),
        ("listen", ENOBUFS, ""),
        ("epoll_add", ENOMEM, ""),
        ("open", EMFILE, "config.json"),
        ("open", EIO, "config.json"),
    ];
    for (call, error, path) in failing {
        let (start, faults, _discovery) = start("short-start");
        let host = Host::new();
        faults.set(&format!("{call} {error} 1 {path}\n"));
        let mut process = start.spawn(&listing(&[host.address()]));
        std::thread::sleep(WHILE);
        assert!(process.child.try_wait().expect("its own child").is_none(), "{call} {error}: it has ended");
        faults.set("");
        assert!(process.wait_until_listening(), "{call} {error}: {}", process.log());
        serve(&mut process.client(), &host);
    }
}

/// Guards clients that have been accepted: one that cannot be looked after at this moment is, a little later.
#[test]
fn a_client_that_is_accepted_in_a_shortage_is_served_once_it_has_passed() {
    for (call, error) in [("epoll_add", ENOMEM), ("epoll_add", ENOSPC), ("setsockopt", ENOMEM)] {
        let (start, faults, _discovery) = start("short-client");
        let host = Host::new();
        let process = start.start(&listing(&[host.address()]));
        // The connection to the host is there already.
        let mut first = process.client();
        first.ask(&read("k"));
        let mut link = host.accept_ready();
        link.next_statement().expect("an attempt");
        link.send(&answer("master", None));
        assert_eq!(first.answer().len(), 4);
        faults.set(&format!("{call} {error} 1\n"));
        let clients: Vec<_> = (0..3)
            .map(|_| {
                std::thread::spawn({
                    let address = process.address;
                    move || {
                        let mut client = ClientConnection::open(address);
                        client.ask("");
                        client.answer().len()
                    }
                })
            })
            .collect();
        std::thread::sleep(WHILE);
        faults.set("");
        for client in clients {
            assert_eq!(client.join().expect("greeted"), 2, "{call} {error}");
        }
    }
}

/// Guards hosts: what this machine lacks to dial them is held against none, so that all are there once it has passed.
#[test]
fn a_shortage_at_dialling_is_no_verdict_on_a_host() {
    let failing = [
        ("connect", EADDRNOTAVAIL),
        ("connect", ENOBUFS),
        ("connect", ENETUNREACH),
        ("socket", ENOBUFS),
        ("socket", ENOMEM),
        ("setsockopt", ENOBUFS),
    ];
    for (call, error) in failing {
        let (start, faults, _discovery) = start("short-dial");
        let hosts = [Host::new(), Host::new()];
        let process = start.start(&listing(&[hosts[0].address(), hosts[1].address()]));
        let mut client = process.client();
        faults.set(&format!("{call} {error} 1\n"));
        for _ in 0..6 {
            client.ask(&format!(
                "SELECT doc FROM items WHERE id = 'k' /* id={},c=look,d=40,cluster=1 */",
                harness::next_request_id()
            ));
            assert_eq!(client.code(), "53300", "{call} {error}");
        }
        assert_eq!(metric(process.admin, "pool_ejected"), 0, "{call} {error}: {}", process.log());
        faults.set("");
    }
}

/// Guards the end of a process against a shortage just then: whoever waits in the listener's queue is let in and answered.
#[test]
fn an_end_that_meets_a_shortage_leaves_nobody_in_the_queue() {
    let (start, faults, _discovery) = start("short-end");
    let host = Host::new();
    let mut process = start.start(&listing(&[host.address()]));
    let mut first = process.client();
    faults.set(&format!("accept4 {ENFILE} 1\n"));
    process.signal(Signal::TERM);
    let waiting: Vec<ClientConnection> = (0..5).map(|_| process.greeting_unread()).collect();
    // The listener closes half a second after the word to end: the shortage lasts beyond that.
    std::thread::sleep(Duration::from_millis(520));
    faults.set("");
    for mut talk in waiting {
        let greeted = talk.answer();
        assert_eq!(greeted.last().map(|frame| frame.tag), Some(b'Z'), "{}", process.log());
        assert_eq!(talk.answer().len(), 2, "its empty query");
    }
    assert_eq!(first.answer().len(), 0);
    assert!(process.child.wait().expect("it ends").success());
    assert!(!listens(process.address));
}

/// Guards the log and all that is logged about: a disk that takes no lines for a while holds nobody up, and lines come again.
#[test]
fn a_log_that_cannot_be_written_for_a_while_goes_on() {
    let (start, faults, _discovery) = start("short-log");
    let host = Host::new();
    let process = start.start(&listing(&[host.address()]));
    let mut client = process.client();
    serve(&mut client, &host);
    faults.set(&format!("write {ENOSPC} 1 /log\n"));
    // Each reload logs a line.
    let reload = |process: &Process, times: u64| {
        let before = metric(process.admin, "config_applied");
        process.signal(Signal::HUP);
        while metric(process.admin, "config_applied") < before + times {
            std::thread::sleep(POLL_INTERVAL);
        }
    };
    for _ in 0..3 {
        reload(&process, 1);
    }
    faults.set("");
    let lines = process.log().lines().count();
    while process.log().lines().count() == lines {
        reload(&process, 1);
    }
    serve(&mut client, &host);
}

/// Guards operators and the loop against a shortage just as a call of theirs comes: it is answered once that has passed.
#[test]
fn an_operators_call_that_meets_a_shortage_is_answered_once_it_has_passed() {
    let (start, faults, _discovery) = start("short-admin");
    let host = Host::new();
    let process = start.start(&listing(&[host.address()]));
    faults.set(&format!("accept4 {EMFILE} 1\n"));
    let admin = process.admin;
    let call = std::thread::spawn(move || metric(admin, "pool_size"));
    std::thread::sleep(WHILE);
    faults.set("");
    assert_eq!(call.join().expect("answered"), 1);
}

/// Guards a word to end that comes while a start waits for a shortage to pass: it ends, and has taken nobody.
#[test]
fn a_word_to_end_while_a_start_waits_ends_it() {
    let (start, faults, _discovery) = start("short-word");
    let host = Host::new();
    faults.set(&format!("bind {EADDRNOTAVAIL} 1\n"));
    let mut process = start.spawn(&listing(&[host.address()]));
    std::thread::sleep(WHILE);
    process.signal(Signal::TERM);
    assert!(!process.child.wait().expect("it ends").success());
    assert!(!process.log().contains("listening"), "{}", process.log());
}

/// Guards signals against a write that fails just as they come: the loop is not woken, and hears of them all the same.
#[test]
fn a_signal_whose_wake_up_fails_is_heard() {
    let (start, faults, _discovery) = start("short-signal");
    let host = Host::new();
    let mut process = start.start(&listing(&[host.address()]));
    let mut client = process.client();
    faults.set(&format!("send {ENOBUFS} 1\n"));
    process.signal(Signal::HUP);
    std::thread::sleep(WHILE);
    faults.set("");
    while metric(process.admin, "config_applied") == 0 {
        std::thread::sleep(POLL_INTERVAL);
    }
    faults.set(&format!("send {ENOBUFS} 1\n"));
    process.signal(Signal::TERM);
    std::thread::sleep(WHILE);
    faults.set("");
    assert_eq!(client.answer().len(), 0, "let go");
    assert!(process.child.wait().expect("it ends").success());
}
