//! Commands that wait behind another of their connection, over loopback sockets: their clients count from when they
//! sent, so the wait is a part of their time. One whose time is over gets one refusal in its turn and goes to no host.
//! Hosts hold an answer back until the time of those behind is over for certain; longer waits change nothing.

mod harness;

use std::io::Write;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dunemount::hot_restart::handover_socket;
use dunemount::pg::codec;
use harness::stage::{answer, gateway, Host};
use harness::{figure, get, name, read, Harness, Talk};

/// How long commands that come too late may wait, and how long the answer before them is held back.
const SHORT: &str = "d=100";
const LONGER: Duration = Duration::from_millis(500);

const CLASSES: [&str; 4] = ["look", "store", "own", "once"];

/// A command of this class that may wait for a short time only.
fn late(class: &str) -> String {
    let id = name();
    match class {
        "look" | "own" => {
            format!("SELECT doc FROM items WHERE id = 'late' /* id={id},c={class},{SHORT},cluster=1 */")
        }
        _ => format!(
            "INSERT INTO items (id, doc) VALUES ('late', '\\x9f') RETURNING doc \
             /* id={id},c={class},{SHORT},k=k{id},cluster=1 */"
        ),
    }
}

/// These commands as they go on the wire.
fn commands(texts: impl IntoIterator<Item = String>) -> Vec<u8> {
    let mut bytes = Vec::new();
    texts.into_iter().for_each(|text| codec::write_query(&mut bytes, &text));
    bytes
}

/// A command that is held up, one of each class behind it that has no time for that, and one that has.
fn queue(first: &str) -> Vec<u8> {
    commands([read(first)].into_iter().chain(CLASSES.map(late)).chain([read("last")]))
}

/// Reads the refusals of the late ones and the answer of the last.
fn refused_and_served(talk: &mut Talk) {
    for class in CLASSES {
        assert_eq!(talk.code(), "53300", "{class}");
    }
    assert_eq!(talk.answer().len(), 4, "the last");
}

/// Guards clients against answers after their time, and hosts against work for nobody: what waited behind a slow command
/// for longer than it may is refused in its turn and never sent, whatever its class and wherever its family is decided;
/// what has time is served. Each is counted once.
#[test]
fn a_command_whose_time_is_over_behind_another_is_refused_unsent() {
    for cores in [1, 2, 3] {
        let host = Host::new();
        let harness = gateway(&[&host], cores);
        // Dealt out in turn: each worker has one, and the family is decided by one of them.
        let mut clients: Vec<Talk> = (0..cores).map(|_| harness.client()).collect();
        let mut link = None;
        for client in &mut clients {
            client.socket.write_all(&queue("slow")).expect("written");
            let mut slow = link.take().unwrap_or_else(|| host.welcomed());
            assert!(slow.asked().expect("an attempt").contains("'slow'"));
            std::thread::sleep(LONGER);
            slow.say(&answer("master", None));
            assert_eq!(client.answer().len(), 4, "the slow one");
            let asked = slow.asked().expect("an attempt");
            assert!(asked.contains("'last'"), "{asked}, {cores} cores");
            slow.say(&answer("master", None));
            refused_and_served(client);
            link = Some(slow);
        }
        let clients = cores as u64;
        for class in CLASSES {
            let served = if class == "look" { 2 * clients } else { 0 };
            let figures = ["shed", "ok", "tries", "errors"]
                .map(|kind| figure(harness.admin, &format!("responses.{class}.{kind}")));
            assert_eq!(figures, [clients, served, served, 0], "{class}, {cores} cores");
        }
        assert_eq!(figure(harness.admin, "active"), 0);
        harness.end();
    }
}

/// Guards the same where the command before is never answered but ends with its own time.
#[test]
fn commands_behind_one_that_runs_out_of_time_are_refused_unsent() {
    for cores in [1, 2] {
        let harness = Harness::with_workers(200, cores);
        let mut clients: Vec<Talk> = (0..cores).map(|_| harness.client()).collect();
        for client in &mut clients {
            let first = read("silent").replace("d=30000", "d=700");
            let all = [first].into_iter().chain(CLASSES.map(late)).chain([read("last")]);
            client.socket.write_all(&commands(all)).expect("written");
        }
        for client in &mut clients {
            // Refused or failed, as its attempts ended.
            let code = client.code();
            assert!(["53300", "58000"].contains(&code.as_str()), "{code}");
            refused_and_served(client);
        }
        assert!(harness.heard.try_iter().all(|text| !text.contains("'late'")), "a late one was sent");
        harness.end();
    }
}

/// Guards the same where a slow writer sends a byte at a time: what counts is the last one, which lies before the wait.
#[test]
fn a_command_that_came_byte_by_byte_is_refused_unsent() {
    let host = Host::new();
    let harness = gateway(&[&host], 1);
    let mut client = harness.client();
    for byte in queue("slow") {
        client.socket.write_all(&[byte]).expect("written");
    }
    let mut link = host.welcomed();
    assert!(link.asked().expect("an attempt").contains("'slow'"));
    std::thread::sleep(LONGER);
    link.say(&answer("master", None));
    assert_eq!(client.answer().len(), 4, "the slow one");
    assert!(link.asked().expect("an attempt").contains("'last'"));
    link.say(&answer("master", None));
    refused_and_served(&mut client);
    harness.end();
}

/// Guards a client that has sent more than is held: what was read counts from then, and the rest is read once there is
/// room, and answered in order.
#[test]
fn a_client_that_is_held_back_is_read_on_and_answered_in_order() {
    for cores in [1, 2] {
        let host = Host::new();
        let harness = gateway(&[&host], cores);
        let mut client = harness.client();
        let senseless = 8;
        let all = [read("slow")].into_iter().chain(CLASSES.map(late));
        let all = all.chain((0..senseless).map(|_| "x".repeat(100_000))).chain([read("last")]);
        let (bytes, mut socket) = (commands(all), client.socket.try_clone().expect("a socket"));
        let writer = std::thread::spawn(move || socket.write_all(&bytes).expect("written"));
        let mut link = host.welcomed();
        assert!(link.asked().expect("an attempt").contains("'slow'"));
        std::thread::sleep(LONGER);
        link.say(&answer("master", None));
        assert_eq!(client.answer().len(), 4, "the slow one");
        for class in CLASSES {
            assert_eq!(client.code(), "53300", "{class}");
        }
        for _ in 0..senseless {
            assert_eq!(client.code(), "08P01");
        }
        assert!(link.asked().expect("an attempt").contains("'last'"));
        link.say(&answer("master", None));
        assert_eq!(client.answer().len(), 4, "the last");
        writer.join().expect("all is taken");
        harness.end();
    }
}

/// Guards an upgrade that meets commands which wait: they go over with their arrivals, so that the next process refuses
/// those whose time was over before they came to it, unsent, and serves the others.
#[test]
fn commands_go_over_to_the_next_process_with_their_arrivals() {
    for cores in [1, 2] {
        let at =
            std::env::temp_dir().join(format!("dunemount-pipelining-{cores}-{}.line", std::process::id()));
        let old = Harness::with_cores(200, Some(at.clone()), None, cores);
        let mut idle = old.client();
        let mut clients: Vec<Talk> = (0..cores).map(|_| old.client()).collect();
        for client in &mut clients {
            client.socket.write_all(&queue("held")).expect("written");
            while !old.heard.recv().expect("heard").contains("'held'") {}
        }
        let patience = Duration::from_secs(60);
        let inherited = handover_socket::take_over(&at, patience).expect("handed over");
        let new = Harness::with_cores(200, Some(at), Some(inherited), cores);
        assert!(get(new.admin, "/ops/readiness").starts_with("HTTP/1.1 200 "));
        // Once the idle client is served over there, the old process passes its clients on.
        while figure(new.admin, "responses.look.ok") < 1 {
            idle.ask(&read("k"));
            assert_eq!(idle.answer().len(), 4);
        }
        std::thread::sleep(LONGER);
        old.mood.released.store(true, Ordering::SeqCst);
        for client in &mut clients {
            assert_eq!(client.answer().len(), 4, "the slow one");
            refused_and_served(client);
        }
        for class in CLASSES {
            assert_eq!(figure(old.admin, &format!("responses.{class}.shed")), 0, "{class}");
            assert_eq!(figure(new.admin, &format!("responses.{class}.shed")), cores as u64, "{class}");
        }
        assert_eq!(figure(new.admin, "responses.look.ok"), 1 + cores as u64);
        assert!(old.heard.try_iter().all(|text| !text.contains("'late'")), "a late one was sent");
        old.end();
        new.end();
    }
}
