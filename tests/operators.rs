//! The operators' door: calls against random cuts, and the door of a running gateway.

mod harness;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;

use dunemount::admin::connection::AdminConnection;
use dunemount::admin::metrics::Metrics;
use dunemount::admin::request::{AdminRequest, HttpStatus};
use harness::{figure, get, order, read, write, Harness};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards calls against their cuts: however the bytes come the order is the same, said once and not
    /// before the last byte, and whatever follows it is passed over.
    #[test]
    fn a_call_is_one_order_however_it_is_cut(cuts in prop::collection::vec(1usize..40, 1..60), which in 0usize..5) {
        let down = AdminRequest::SetDown("s-1".into());
        let (text, wanted) = [
            ("GET /ops/readiness HTTP/1.1\r\n\r\n", Ok(AdminRequest::Readiness)),
            ("GET /ops/stats?all=1 HTTP/1.1\r\nHost: a\r\n\r\n", Ok(AdminRequest::Stats)),
            ("POST /ops/database-hosts/down HTTP/1.1\r\nContent-Length: 5\r\n\r\ns-1\r\n", Ok(down.clone())),
            ("POST /ops/database-hosts/down HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ns-\r\n1\r\n1\r\n0\r\n\r\n", Ok(down)),
            ("GET /ops/database-hosts/up HTTP/1.1\r\n\r\n", Err(HttpStatus::MethodNotAllowed)),
        ][which].clone();
        let mut call = AdminConnection::default();
        let (mut rest, mut said) = (text.as_bytes(), Vec::new());
        for cut in cuts.iter().cycle() {
            let (now, later) = rest.split_at((*cut).min(rest.len()));
            prop_assert!(said.is_empty());
            said.extend(call.receive(now));
            rest = later;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(said, vec![wanted]);
        call.respond(HttpStatus::Ok, "yes");
        call.respond(HttpStatus::NotFound, "no");
        prop_assert_eq!(call.receive(text.as_bytes()), None);
        let out = String::from_utf8(call.out.bytes.clone()).expect("text");
        prop_assert!(out.starts_with("HTTP/1.1 200 OK\r\n") && out.ends_with("\r\n\r\nyes"));
    }

    /// Guards the loop against callers that send anything at all: an order, a fault, or patience.
    #[test]
    fn nothing_read_from_a_caller_panics(bytes in prop::collection::vec(any::<u8>(), 0..20_000)) {
        let mut call = AdminConnection::default();
        let said = call.receive(&bytes);
        prop_assert!(bytes.len() <= 8 * 1024 || said.is_some(), "held without end");
    }
}

/// Guards the form of the figures, which staff and their programs read line by line.
#[test]
fn figures_print_themselves() {
    let mut figures = Metrics::default();
    (figures.active, figures.pool_size, figures.pool_ejected, figures.config_applied) = (14, 9, 2, 3);
    figures.class_mut("own-read").ok = 812;
    figures.class_mut("own-read").attempts = 820;
    let wanted = "gw.responses.own-read.ok:812|c\ngw.responses.own-read.shed:0|c\n\
        gw.responses.own-read.errors:0|c\ngw.responses.own-read.tries:820|c\ngw.active:14|g\n\
        gw.pool_size:9|g\ngw.pool_ejected:2|g\ngw.config_applied:3|c\ngw.config_rejected:0|c\n";
    assert_eq!(figures.to_string(), wanted);
}

/// Guards what the figures count: final answers by class, attempts written, what is open now.
#[test]
fn figures_follow_the_requests() {
    let harness = Harness::start(200);
    assert!(get(harness.admin, "/ops/readiness").starts_with("HTTP/1.1 200 "));
    let mut client = harness.client();
    for (text, frames) in
        [(read("k"), 4), (write("k"), 4), (write("never"), 2), (read("k").replace("c=look", "c=no"), 2)]
    {
        client.ask(&text);
        assert_eq!(client.answer().len(), frames);
    }
    client.ask(&read("held"));
    while !harness.heard.recv().expect("heard").contains("'held'") {}
    for (name, value) in [
        ("responses.look.ok", 1),
        ("responses.look.tries", 2),
        ("responses.store.ok", 1),
        ("responses.store.errors", 1),
        ("responses.store.shed", 0),
        ("active", 1),
        ("pool_size", 3),
        ("pool_ejected", 0),
        ("config_applied", 0),
    ] {
        assert_eq!(figure(harness.admin, name), value, "{name}");
    }
    assert!(figure(harness.admin, "responses.store.tries") >= 2);
    harness.mood.released.store(true, Ordering::SeqCst);
    assert_eq!(client.answer().len(), 4);
    harness.end();
}

/// Guards the door against callers that connect and do not finish: they never keep another waiting, and
/// as many as come hold no more than the door's own places.
#[test]
fn callers_without_a_whole_call_delay_nobody() {
    let harness = Harness::start(200);
    let silent: Vec<TcpStream> =
        (0..40).map(|_| TcpStream::connect(harness.admin).expect("accepted")).collect();
    for mut socket in &silent {
        let _ = socket.write_all(b"GET /ops/readiness HT");
    }
    for _ in 0..20 {
        assert!(get(harness.admin, "/ops/readiness").starts_with("HTTP/1.1 200 "));
    }
    drop(silent);
    harness.end();
}

/// Guards the calls on hosts: ids that nobody has are turned down, two calls out need one back, and the
/// other hosts go on serving meanwhile.
#[test]
fn hosts_are_put_down_and_back_up_by_name() {
    let harness = Harness::start(200);
    let mut client = harness.client();
    assert!(!order(harness.admin, "down", "s-9") && !order(harness.admin, "up", ""));
    for _ in 0..2 {
        assert!(order(harness.admin, "down", "s-0"));
        assert_eq!(figure(harness.admin, "pool_ejected"), 1);
    }
    assert_eq!(figure(harness.admin, "pool_size"), 3);
    for _ in 0..20 {
        client.ask(&read("k"));
        assert_eq!(client.answer().len(), 4);
    }
    assert!(order(harness.admin, "up", "s-0"));
    assert_eq!(figure(harness.admin, "pool_ejected"), 0);
    client.ask(&write("k"));
    assert_eq!(client.answer().len(), 4);
    harness.end();
}
