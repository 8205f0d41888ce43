//! Resource shortages of the machine that a process runs on, during which system calls fail. A shortage ejects no host,
//! loses no request and ends no process.

mod harness;

use std::net::TcpListener;
use std::time::Duration;

use harness::process::{Faults, Process, ProcessOptions, POLL_INTERVAL};
use harness::scripted::{answer, Host};
use harness::{bind_loopback, listens, listing, metric, read, ClientConnection};
use rustix::process::Signal;

/// Time for which system calls fail.
const SHORTAGE_DURATION: Duration = Duration::from_millis(300);
/// Numbers of system errors.
const EIO: i32 = 5;
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const EADDRNOTAVAIL: i32 = 99;
const ENETUNREACH: i32 = 101;
const ENOBUFS: i32 = 105;

/// Options for processes with injected faults, the faults, which are none at first, and the listener of discovery.
fn options_with_faults(test: &str) -> (ProcessOptions, Faults, TcpListener) {
    let discovery = bind_loopback();
    let discovery_address = discovery.local_addr().expect("bound");
    let mut options = ProcessOptions::with_defaults(test, 200, discovery_address);
    let faults = Faults::none(&options.folder());
    options.faults = Some(faults.clone());
    (options, faults, discovery)
}

/// Sends a request of a client, answers it at the host, and checks that the client receives the answer.
fn serve_request(client: &mut ClientConnection, host: &Host) {
    client.ask(&read("k"));
    let mut link = host.accept_ready();
    link.next_statement().expect("an attempt");
    link.send(&answer("master", None));
    assert_eq!(client.answer().len(), 4, "served");
}

/// Guards the start against a shortage of descriptors, memory, buffers or ports and against a file that cannot be read
/// for a while: the process waits until the shortage has passed, then listens and serves its first client.
#[test]
fn a_start_during_a_shortage_continues_once_it_has_passed() {
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
        let (options, faults, _discovery) = options_with_faults("short-start");
        let host = Host::new();
        faults.set(&format!("{call} {error} 1 {path}\n"));
        let mut process = options.spawn(&listing(&[host.address()]));
        std::thread::sleep(SHORTAGE_DURATION);
        assert!(
            process.child.try_wait().expect("its own child").is_none(),
            "{call} {error}: the process has ended"
        );
        faults.set("");
        assert!(process.wait_until_listening(), "{call} {error}: {}", process.log());
        serve_request(&mut process.client(), &host);
    }
}

/// Guards accepted clients against a shortage in which their sockets cannot be registered for polling or configured:
/// they are served once it has passed.
#[test]
fn a_client_that_is_accepted_during_a_shortage_is_served_once_it_has_passed() {
    for (call, error) in [("epoll_add", ENOMEM), ("epoll_add", ENOSPC), ("setsockopt", ENOMEM)] {
        let (options, faults, _discovery) = options_with_faults("short-client");
        let host = Host::new();
        let process = options.start(&listing(&[host.address()]));
        // Establishes the connection to the host before the shortage.
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
        std::thread::sleep(SHORTAGE_DURATION);
        faults.set("");
        for client in clients {
            assert_eq!(client.join().expect("greeted"), 2, "{call} {error}");
        }
    }
}

/// Guards hosts against being ejected for a shortage of this machine when the gateway connects to them: all of them are
/// available once it has passed.
#[test]
fn a_shortage_while_connecting_ejects_no_host() {
    let failing = [
        ("connect", EADDRNOTAVAIL),
        ("connect", ENOBUFS),
        ("connect", ENETUNREACH),
        ("socket", ENOBUFS),
        ("socket", ENOMEM),
        ("setsockopt", ENOBUFS),
    ];
    for (call, error) in failing {
        let (options, faults, _discovery) = options_with_faults("short-dial");
        let hosts = [Host::new(), Host::new()];
        let process = options.start(&listing(&[hosts[0].address(), hosts[1].address()]));
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

/// Guards the shutdown against a shortage in which connections cannot be accepted: all clients in the listener's queue
/// are accepted and answered.
#[test]
fn a_shutdown_during_a_shortage_accepts_all_clients_in_the_queue() {
    let (options, faults, _discovery) = options_with_faults("short-end");
    let host = Host::new();
    let mut process = options.start(&listing(&[host.address()]));
    let mut first = process.client();
    faults.set(&format!("accept4 {ENFILE} 1\n"));
    process.signal(Signal::TERM);
    let waiting: Vec<ClientConnection> = (0..5).map(|_| process.greeting_unread()).collect();
    // The listener closes half a second after SIGTERM. The shortage lasts longer.
    std::thread::sleep(Duration::from_millis(520));
    faults.set("");
    for mut client in waiting {
        let greeting = client.answer();
        assert_eq!(greeting.last().map(|frame| frame.tag), Some(b'Z'), "{}", process.log());
        assert_eq!(client.answer().len(), 2, "the answer to its empty query");
    }
    assert_eq!(first.answer().len(), 0);
    assert!(process.child.wait().expect("it ends").success());
    assert!(!listens(process.address));
}

/// Guards the log, and everything that writes to it, against a disk that is full for a while: reloads and requests are
/// not held up meanwhile, and lines are logged again afterwards.
#[test]
fn a_log_that_cannot_be_written_for_a_while_continues() {
    let (options, faults, _discovery) = options_with_faults("short-log");
    let host = Host::new();
    let process = options.start(&listing(&[host.address()]));
    let mut client = process.client();
    serve_request(&mut client, &host);
    faults.set(&format!("write {ENOSPC} 1 /log\n"));
    // Reloads the configuration, which logs a line, and waits until it has been applied this many more times.
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
    serve_request(&mut client, &host);
}

/// Guards the admin interface and the event loop against a shortage in which a call to the admin interface cannot be
/// accepted: it is answered once the shortage has passed.
#[test]
fn an_admin_call_during_a_shortage_is_answered_once_it_has_passed() {
    let (options, faults, _discovery) = options_with_faults("short-admin");
    let host = Host::new();
    let process = options.start(&listing(&[host.address()]));
    faults.set(&format!("accept4 {EMFILE} 1\n"));
    let admin = process.admin;
    let call = std::thread::spawn(move || metric(admin, "pool_size"));
    std::thread::sleep(SHORTAGE_DURATION);
    faults.set("");
    assert_eq!(call.join().expect("answered"), 1);
}

/// Guards a SIGTERM that arrives while the start waits for a shortage to pass: the process ends without having accepted
/// a client.
#[test]
fn a_sigterm_while_the_start_waits_for_a_shortage_ends_the_process() {
    let (options, faults, _discovery) = options_with_faults("short-word");
    let host = Host::new();
    faults.set(&format!("bind {EADDRNOTAVAIL} 1\n"));
    let mut process = options.spawn(&listing(&[host.address()]));
    std::thread::sleep(SHORTAGE_DURATION);
    process.signal(Signal::TERM);
    assert!(!process.child.wait().expect("it ends").success());
    assert!(!process.log().contains("listening"), "{}", process.log());
}

/// Guards signals against a shortage in which the signal handler cannot write the byte that wakes the event loop: they
/// are handled all the same.
#[test]
fn a_signal_whose_wake_up_fails_is_handled() {
    let (options, faults, _discovery) = options_with_faults("short-signal");
    let host = Host::new();
    let mut process = options.start(&listing(&[host.address()]));
    let mut client = process.client();
    faults.set(&format!("send {ENOBUFS} 1\n"));
    process.signal(Signal::HUP);
    std::thread::sleep(SHORTAGE_DURATION);
    faults.set("");
    while metric(process.admin, "config_applied") == 0 {
        std::thread::sleep(POLL_INTERVAL);
    }
    faults.set(&format!("send {ENOBUFS} 1\n"));
    process.signal(Signal::TERM);
    std::thread::sleep(SHORTAGE_DURATION);
    faults.set("");
    assert_eq!(client.answer().len(), 0, "the client is disconnected");
    assert!(process.child.wait().expect("it ends").success());
}
