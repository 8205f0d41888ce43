//! A gateway with several workers: the rules hold across workers. Clients are distributed over the workers in turn, so
//! of two successive clients at most one is on the worker that decides for its group.

mod harness;

use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dunemount::hot_restart::handover_socket;
use harness::{get, metric, next_request_id, read, set_host_state, write, ClientConnection, Harness};

/// The value of an answer's row.
fn value(client: &mut ClientConnection) -> Vec<u8> {
    let answer = client.answer();
    let row = answer.iter().find(|frame| frame.tag == b'D').expect("served");
    row.body[6..].to_vec()
}

fn session_read(key: &str) -> String {
    read(key).replace("c=look", "c=own")
}

/// Guards against stale reads across workers: a session writes on a connection of one worker and reads on a connection
/// of another as soon as it has the answer, while both replicas are far behind. Sessions without a write do read from
/// replicas, which shows that the test would detect a stale read.
#[test]
fn a_session_reads_its_write_at_another_worker() {
    for cores in [2, 4] {
        let harness = Harness::with_workers(300, cores);
        let mut clients: Vec<ClientConnection> = (0..cores).map(|_| harness.client()).collect();
        // Roles and positions are learned from answers.
        let mut replica_reads = 0;
        for round in 0..60 {
            let client = &mut clients[round % cores];
            client.ask(&session_read(&format!("who-fresh-{round}")));
            replica_reads += u32::from(value(client) != [0]);
        }
        assert!(replica_reads > 0, "sessions without a write read from replicas");
        for round in 0..600 {
            let key = format!("who-{round}");
            let (writer, reader) = (round % cores, (round + 1 + round / cores) % cores);
            clients[writer].ask(&write(&key));
            assert_eq!(value(&mut clients[writer]), [0]);
            clients[reader].ask(&session_read(&key));
            assert_eq!(value(&mut clients[reader]), [0], "round {round} with {cores} workers");
        }
        harness.end();
    }
}

/// Guards operators: a request to set a host down is acknowledged once it is in effect on all workers, whichever worker
/// decides for the host's group, and the metrics of an idle gateway are exact sums.
#[test]
fn host_states_apply_and_metrics_add_up_on_all_workers() {
    for cores in [2, 3, 4] {
        let harness = Harness::with_workers(300, cores);
        let mut clients: Vec<ClientConnection> = (0..2 * cores).map(|_| harness.client()).collect();
        for client in &mut clients {
            for _ in 0..5 {
                client.ask(&read("k"));
                assert_eq!(client.answer().len(), 4);
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
        for client in &mut clients {
            client.ask(&read("k").replace("d=30000", "d=40"));
            assert_eq!(client.code(), "53300", "all hosts are down");
        }
        assert_eq!(metric(harness.admin, "responses.look.tries"), asked, "nothing went to a host");
        assert!(set_host_state(harness.admin, "up", "s-1"));
        for client in &mut clients {
            client.ask(&read("k"));
            assert_eq!(client.answer().len(), 4);
        }
        assert!(!set_host_state(harness.admin, "down", "nobody"));
        assert!(get(harness.admin, "/ops/readiness").starts_with("HTTP/1.1 200 "));
        harness.end();
    }
}

/// Guards long values: they pass completely and in order from the worker with the host connection to the worker with
/// the client connection, even if the client reads late.
#[test]
fn long_values_pass_between_workers() {
    let harness = Harness::with_workers(300, 3);
    let mut clients: Vec<ClientConnection> = (0..3).map(|_| harness.client()).collect();
    for _ in 0..4 {
        for client in &mut clients {
            client.ask(&read("huge"));
        }
        for client in &mut clients {
            let value = value(client);
            assert!(value.len() == 1024 * 1024 && value.iter().all(|byte| *byte == 7));
        }
    }
    harness.end();
}

/// Guards clients whose value is cut off at another worker: their connection is closed, which shows that the value is
/// incomplete.
#[test]
fn a_truncated_value_closes_its_client_at_another_worker() {
    let harness = Harness::with_workers(300, 2);
    let (mut first, mut second) = (harness.client(), harness.client());
    for client in [&mut first, &mut second] {
        client.ask(&read("truncated"));
    }
    harness.host_controls.released.store(true, Ordering::SeqCst);
    for client in [&mut first, &mut second] {
        assert!(client.answer().iter().all(|frame| frame.tag != b'C' && frame.tag != b'Z'));
    }
    let mut after = harness.client();
    after.ask(&read("k"));
    assert_eq!(after.answer().len(), 4);
    harness.end();
}

/// Guards hosts against work without a client: a client that disconnects ends its attempt, even if the attempt runs on
/// another worker, and no request stays open.
#[test]
fn a_client_that_disconnects_ends_its_attempt_at_another_worker() {
    let harness = Harness::with_workers(300, 2);
    let clients: Vec<ClientConnection> = (0..2)
        .map(|_| {
            let mut client = harness.client();
            client.ask(&read("silent"));
            client
        })
        .collect();
    let mut silent = 0;
    while silent < 2 {
        silent += u32::from(harness.host_events.recv().expect("an event").contains("'silent'"));
    }
    assert_eq!(metric(harness.admin, "active"), 2);
    drop(clients);
    let mut ended = 0;
    while ended < 2 {
        ended += u32::from(harness.host_events.recv().expect("an event") == "ended");
    }
    while metric(harness.admin, "active") > 0 {}
    harness.end();
}

/// Guards the graceful shutdown: every worker answers its open requests after the signal, and then all end.
#[test]
fn all_workers_answer_open_requests_before_they_end() {
    let mut harness = Harness::with_workers(300, 4);
    let mut clients: Vec<ClientConnection> = (0..4).map(|_| harness.client()).collect();
    for client in &mut clients {
        client.ask(&read("held"));
    }
    let mut held = 0;
    while held < 4 {
        held += u32::from(harness.host_events.recv().expect("an event").contains("'held'"));
    }
    std::io::Write::write_all(&mut harness.stop, &[1]).expect("signalled");
    harness.host_controls.released.store(true, Ordering::SeqCst);
    for client in &mut clients {
        assert_eq!(client.answer().len(), 4);
        assert!(client.answer().is_empty(), "then the connection ends");
    }
    harness.gateway.join().expect("all workers end");
}

/// Guards the id of an open request: a request with the same id on another worker's connection gets an error, and the
/// open request is still answered.
#[test]
fn a_request_id_is_open_once_over_all_workers() {
    let harness = Harness::with_workers(300, 3);
    let mut clients: Vec<ClientConnection> = (0..3).map(|_| harness.client()).collect();
    let text = read("held");
    clients[0].ask(&text);
    while !harness.host_events.recv().expect("an event").contains("'held'") {}
    for client in &mut clients[1..] {
        client.ask(&text);
        assert_eq!(client.code(), "08P01");
    }
    harness.host_controls.released.store(true, Ordering::SeqCst);
    assert_eq!(clients[0].answer().len(), 4);
    assert!(next_request_id() > 0);
    harness.end();
}

/// Guards settings that change while several workers serve: all of them know a class that only the new file has, and
/// classes that were active before stay so.
#[test]
fn new_settings_reach_all_workers() {
    let mut harness = Harness::with_workers(300, 3);
    let mut clients: Vec<ClientConnection> = (0..3).map(|_| harness.client()).collect();
    let new = harness.initial_config.replace("\"look\"", "\"glance\"");
    harness.reload_config(&new);
    while metric(harness.admin, "config_applied") < 1 {}
    for client in &mut clients {
        client.ask(&read("k").replace("c=look", "c=glance"));
        assert_eq!(client.answer().len(), 4);
        client.ask(&write("k"));
        assert_eq!(client.answer().len(), 4);
    }
    harness.end();
}

/// Guards upgrades that change the number of workers: hosts set down stay down, sessions read their writes of the old
/// process, a write that the old process answers while both serve takes effect in the new process immediately, client
/// connections move to the new process, and the old process ends by itself.
#[test]
fn an_upgrade_may_change_the_number_of_workers() {
    for (before, after) in [(1, 4), (4, 2), (3, 3)] {
        let name = format!("dunemount-cores-{before}-{after}-{}.line", std::process::id());
        let handover_path: PathBuf = std::env::temp_dir().join(name);
        let mut old = Harness::with_workers_and_handover(300, Some(handover_path.clone()), None, before);
        let mut clients: Vec<ClientConnection> = (0..4).map(|_| old.client()).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            client.ask(&session_read(&format!("who-fresh-{number}")));
            value(client);
            client.ask(&write(&format!("who-{number}")));
            assert_eq!(value(client), [0]);
        }
        assert!(set_host_state(old.admin, "down", "s-2"));
        // A client with an open request stays at the old process until it has its answer.
        let mut held = old.client();
        held.ask(&read("held"));
        while !old.host_events.recv().expect("an event").contains("'held'") {}
        let inherited =
            handover_socket::take_over(&handover_path, Duration::from_secs(60)).expect("handed over");
        let new =
            Harness::with_workers_and_handover(300, Some(handover_path.clone()), Some(inherited), after);
        assert_eq!((metric(new.admin, "pool_ejected"), metric(new.admin, "pool_size")), (1, 3));
        for round in 0..200 {
            let client = &mut clients[round % 4];
            client.ask(&session_read(&format!("who-{}", (round + round / 4) % 4)));
            assert_eq!(value(client), [0], "from {before} to {after}, round {round}");
            client.ask(&write(&format!("who-{}", round % 4)));
            assert_eq!(value(client), [0]);
        }
        std::io::Write::write_all(&mut old.stop, &[1]).expect("signalled");
        assert!(!old.gateway.is_finished(), "it still has an open request");
        old.host_controls.released.store(true, Ordering::SeqCst);
        assert_eq!(held.answer().len(), 4);
        old.gateway.join().expect("it ends by itself");
        for client in clients.iter_mut().chain([&mut held]) {
            client.ask(&read("k"));
            assert_eq!(client.answer().len(), 4);
        }
        assert_eq!(metric(new.admin, "responses.look.ok"), 5);
        new.end();
    }
}
