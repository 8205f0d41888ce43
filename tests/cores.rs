//! One gateway of several workers: every rule across them. Clients are dealt out in turn, so that of two in a
//! row at most one is at home where its family is decided.

mod harness;

use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dunemount::hot_restart::handover_socket;
use harness::{get, metric, next_request_id, read, set_host_state, write, ClientConnection, Harness};

/// The value of an answer's row.
fn value(talk: &mut ClientConnection) -> Vec<u8> {
    let answer = talk.answer();
    let row = answer.iter().find(|frame| frame.tag == b'D').expect("served");
    row.body[6..].to_vec()
}

fn own(key: &str) -> String {
    read(key).replace("c=look", "c=own")
}

/// Guards against stale reads across workers: a session writes on a connection of one worker and reads on one
/// of another as soon as it has its answer, while both replicas are far behind. Sessions that have not written
/// do read there, so that the test can tell.
#[test]
fn a_session_reads_its_write_at_another_worker() {
    for cores in [2, 4] {
        let harness = Harness::with_workers(300, cores);
        let mut clients: Vec<ClientConnection> = (0..cores).map(|_| harness.client()).collect();
        // Roles and positions are learned from answers.
        let mut away = 0;
        for round in 0..60 {
            let talk = &mut clients[round % cores];
            talk.ask(&own(&format!("who-fresh-{round}")));
            away += u32::from(value(talk) != [0]);
        }
        assert!(away > 0, "sessions without a write read from replicas");
        for round in 0..600 {
            let key = format!("who-{round}");
            let (writer, reader) = (round % cores, (round + 1 + round / cores) % cores);
            clients[writer].ask(&write(&key));
            assert_eq!(value(&mut clients[writer]), [0]);
            clients[reader].ask(&own(&key));
            assert_eq!(value(&mut clients[reader]), [0], "round {round} with {cores} workers");
        }
        harness.end();
    }
}

/// Guards operators: the yes to a host put down comes once it holds on all workers, wherever its family is
/// decided, and the figures of a quiet gateway are exact sums.
#[test]
fn orders_hold_and_figures_add_up_on_all_workers() {
    for cores in [2, 3, 4] {
        let harness = Harness::with_workers(300, cores);
        let mut clients: Vec<ClientConnection> = (0..2 * cores).map(|_| harness.client()).collect();
        for talk in &mut clients {
            for _ in 0..5 {
                talk.ask(&read("k"));
                assert_eq!(talk.answer().len(), 4);
            }
        }
        let asked = 10 * cores as u64;
        assert_eq!(metric(harness.admin, "responses.look.ok"), asked);
        assert_eq!(metric(harness.admin, "responses.look.tries"), asked);
        assert_eq!((metric(harness.admin, "active"), metric(harness.admin, "pool_size")), (0, 3));
        for (down, host) in ["s-0", "s-1", "s-2"].into_iter().enumerate() {
            assert!(set_host_state(harness.admin, "down", host));
            assert_eq!(metric(harness.admin, "pool_ejected"), down as u64 + 1);
        }
        for talk in &mut clients {
            talk.ask(&read("k").replace("d=30000", "d=40"));
            assert_eq!(talk.code(), "53300", "all hosts are down");
        }
        assert_eq!(metric(harness.admin, "responses.look.tries"), asked, "nothing went to a host");
        assert!(set_host_state(harness.admin, "up", "s-1"));
        for talk in &mut clients {
            talk.ask(&read("k"));
            assert_eq!(talk.answer().len(), 4);
        }
        assert!(!set_host_state(harness.admin, "down", "nobody"));
        assert!(get(harness.admin, "/ops/readiness").starts_with("HTTP/1.1 200 "));
        harness.end();
    }
}

/// Guards long values: they pass from the worker that holds the host to the one that holds the client whole and
/// in order, also for a client that reads late.
#[test]
fn long_values_pass_between_workers() {
    let harness = Harness::with_workers(300, 3);
    let mut clients: Vec<ClientConnection> = (0..3).map(|_| harness.client()).collect();
    for _ in 0..4 {
        for talk in &mut clients {
            talk.ask(&read("huge"));
        }
        for talk in &mut clients {
            let value = value(talk);
            assert!(value.len() == 1024 * 1024 && value.iter().all(|byte| *byte == 7));
        }
    }
    harness.end();
}

/// Guards clients of a value that breaks off at another worker: the end of their connection tells.
#[test]
fn a_torn_value_ends_its_client_at_another_worker() {
    let harness = Harness::with_workers(300, 2);
    let (mut first, mut second) = (harness.client(), harness.client());
    for talk in [&mut first, &mut second] {
        talk.ask(&read("torn"));
    }
    harness.host_controls.released.store(true, Ordering::SeqCst);
    for talk in [&mut first, &mut second] {
        assert!(talk.answer().iter().all(|frame| frame.tag != b'C' && frame.tag != b'Z'));
    }
    let mut after = harness.client();
    after.ask(&read("k"));
    assert_eq!(after.answer().len(), 4);
    harness.end();
}

/// Guards hosts against work for nobody: a client that leaves ends its attempt, also where the attempt is at
/// another worker, and nothing stays open.
#[test]
fn a_client_that_leaves_ends_its_attempt_at_another_worker() {
    let harness = Harness::with_workers(300, 2);
    let clients: Vec<ClientConnection> = (0..2)
        .map(|_| {
            let mut talk = harness.client();
            talk.ask(&read("silent"));
            talk
        })
        .collect();
    let mut silent = 0;
    while silent < 2 {
        silent += u32::from(harness.host_events.recv().expect("heard").contains("'silent'"));
    }
    assert_eq!(metric(harness.admin, "active"), 2);
    drop(clients);
    let mut ended = 0;
    while ended < 2 {
        ended += u32::from(harness.host_events.recv().expect("heard") == "ended");
    }
    while metric(harness.admin, "active") > 0 {}
    harness.end();
}

/// Guards the end in good order: what every worker owes is answered after the signal, and then all end.
#[test]
fn all_workers_answer_what_they_owe_before_the_end() {
    let mut harness = Harness::with_workers(300, 4);
    let mut clients: Vec<ClientConnection> = (0..4).map(|_| harness.client()).collect();
    for talk in &mut clients {
        talk.ask(&read("held"));
    }
    let mut held = 0;
    while held < 4 {
        held += u32::from(harness.host_events.recv().expect("heard").contains("'held'"));
    }
    std::io::Write::write_all(&mut harness.stop, &[1]).expect("told");
    harness.host_controls.released.store(true, Ordering::SeqCst);
    for talk in &mut clients {
        assert_eq!(talk.answer().len(), 4);
        assert!(talk.answer().is_empty(), "then the connection ends");
    }
    harness.gateway.join().expect("all workers end");
}

/// Guards a name that is open: the same one on another worker's connection is told so, and only that.
#[test]
fn a_name_is_open_once_over_all_workers() {
    let harness = Harness::with_workers(300, 3);
    let mut clients: Vec<ClientConnection> = (0..3).map(|_| harness.client()).collect();
    let text = read("held");
    clients[0].ask(&text);
    while !harness.host_events.recv().expect("heard").contains("'held'") {}
    for talk in &mut clients[1..] {
        talk.ask(&text);
        assert_eq!(talk.code(), "08P01");
    }
    harness.host_controls.released.store(true, Ordering::SeqCst);
    assert_eq!(clients[0].answer().len(), 4);
    assert!(next_request_id() > 0);
    harness.end();
}

/// Guards settings that change while several workers serve: a class that only the new file has is known to all
/// of them, and those in force before go on.
#[test]
fn new_settings_reach_all_workers() {
    let mut harness = Harness::with_workers(300, 3);
    let mut clients: Vec<ClientConnection> = (0..3).map(|_| harness.client()).collect();
    let new = harness.text.replace("\"look\"", "\"glance\"");
    harness.reload_config(&new);
    while metric(harness.admin, "config_applied") < 1 {}
    for talk in &mut clients {
        talk.ask(&read("k").replace("c=look", "c=glance"));
        assert_eq!(talk.answer().len(), 4);
        talk.ask(&write("k"));
        assert_eq!(talk.answer().len(), 4);
    }
    harness.end();
}

/// Guards upgrades that change the number of workers: hosts put down stay down, sessions read what they wrote at
/// the process before, a write there that is answered while two serve counts at the next process at once, clients
/// go over on their connections, and the old process ends by itself.
#[test]
fn an_upgrade_may_change_the_number_of_workers() {
    for (before, after) in [(1, 4), (4, 2), (3, 3)] {
        let name = format!("dunemount-cores-{before}-{after}-{}.line", std::process::id());
        let at: PathBuf = std::env::temp_dir().join(name);
        let mut old = Harness::with_workers_and_handover(300, Some(at.clone()), None, before);
        let mut clients: Vec<ClientConnection> = (0..4).map(|_| old.client()).collect();
        for (number, talk) in clients.iter_mut().enumerate() {
            talk.ask(&own(&format!("who-fresh-{number}")));
            value(talk);
            talk.ask(&write(&format!("who-{number}")));
            assert_eq!(value(talk), [0]);
        }
        assert!(set_host_state(old.admin, "down", "s-2"));
        // One that is owed its answer stays until it has it.
        let mut held = old.client();
        held.ask(&read("held"));
        while !old.host_events.recv().expect("heard").contains("'held'") {}
        let inherited = handover_socket::take_over(&at, Duration::from_secs(60)).expect("handed over");
        let new = Harness::with_workers_and_handover(300, Some(at.clone()), Some(inherited), after);
        assert_eq!((metric(new.admin, "pool_ejected"), metric(new.admin, "pool_size")), (1, 3));
        for round in 0..200 {
            let talk = &mut clients[round % 4];
            talk.ask(&own(&format!("who-{}", (round + round / 4) % 4)));
            assert_eq!(value(talk), [0], "from {before} to {after}, round {round}");
            talk.ask(&write(&format!("who-{}", round % 4)));
            assert_eq!(value(talk), [0]);
        }
        std::io::Write::write_all(&mut old.stop, &[1]).expect("told");
        assert!(!old.gateway.is_finished(), "it still owes an answer");
        old.host_controls.released.store(true, Ordering::SeqCst);
        assert_eq!(held.answer().len(), 4);
        old.gateway.join().expect("it ends by itself");
        for talk in clients.iter_mut().chain([&mut held]) {
            talk.ask(&read("k"));
            assert_eq!(talk.answer().len(), 4);
        }
        assert_eq!(metric(new.admin, "responses.look.ok"), 5);
        new.end();
    }
}
