//! The admin interface: requests that are split at random, and the interface of a running gateway.

mod harness;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;

use dunemount::admin::connection::AdminConnection;
use dunemount::admin::metrics::Metrics;
use dunemount::admin::request::{AdminRequest, HttpStatus};
use harness::{get, metric, read, set_host_state, write, Harness};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards the parsing of requests: however the bytes are split, a request is returned once and not before its last
    /// byte is received, and bytes after the response are ignored.
    #[test]
    fn a_request_is_parsed_once_however_it_is_split(cuts in prop::collection::vec(1usize..40, 1..60), which in 0usize..5) {
        let down = AdminRequest::SetDown("s-1".into());
        let (text, expected) = [
            ("GET /ops/readiness HTTP/1.1\r\n\r\n", Ok(AdminRequest::Readiness)),
            ("GET /ops/stats?all=1 HTTP/1.1\r\nHost: a\r\n\r\n", Ok(AdminRequest::Stats)),
            ("POST /ops/database-hosts/down HTTP/1.1\r\nContent-Length: 5\r\n\r\ns-1\r\n", Ok(down.clone())),
            ("POST /ops/database-hosts/down HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ns-\r\n1\r\n1\r\n0\r\n\r\n", Ok(down)),
            ("GET /ops/database-hosts/up HTTP/1.1\r\n\r\n", Err(HttpStatus::MethodNotAllowed)),
        ][which].clone();
        let mut connection = AdminConnection::default();
        let (mut rest, mut parsed) = (text.as_bytes(), Vec::new());
        for cut in cuts.iter().cycle() {
            let (now, later) = rest.split_at((*cut).min(rest.len()));
            prop_assert!(parsed.is_empty());
            parsed.extend(connection.receive(now));
            rest = later;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(parsed, vec![expected]);
        connection.respond(HttpStatus::Ok, "yes");
        connection.respond(HttpStatus::NotFound, "no");
        prop_assert_eq!(connection.receive(text.as_bytes()), None);
        let out = String::from_utf8(connection.out.bytes.clone()).expect("text");
        prop_assert!(out.starts_with("HTTP/1.1 200 OK\r\n") && out.ends_with("\r\n\r\nyes"));
    }

    /// Guards against a panic, and an unbounded buffer, on arbitrary bytes from an operator's connection.
    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..20_000)) {
        let mut connection = AdminConnection::default();
        let parsed = connection.receive(&bytes);
        prop_assert!(bytes.len() <= 8 * 1024 || parsed.is_some(), "buffered without a limit");
    }
}

/// Guards the text format of the metrics, which operators and their programs read line by line.
#[test]
fn metrics_have_the_statsd_format() {
    let mut metrics = Metrics::default();
    (metrics.active, metrics.pool_size, metrics.pool_ejected, metrics.config_applied) = (14, 9, 2, 3);
    metrics.class_mut("own-read").ok = 812;
    metrics.class_mut("own-read").attempts = 820;
    let expected = "gw.responses.own-read.ok:812|c\ngw.responses.own-read.shed:0|c\n\
        gw.responses.own-read.errors:0|c\ngw.responses.own-read.tries:820|c\ngw.active:14|g\n\
        gw.pool_size:9|g\ngw.pool_ejected:2|g\ngw.config_applied:3|c\ngw.config_rejected:0|c\n";
    assert_eq!(metrics.to_string(), expected);
}

/// Guards the values of the metrics: final answers per class, fully written attempts, and requests in flight.
#[test]
fn metrics_count_requests_and_attempts() {
    let harness = Harness::start(200);
    assert!(get(harness.admin, "/ops/readiness").starts_with("HTTP/1.1 200 "));
    let mut client = harness.client();
    for (text, messages) in
        [(read("k"), 4), (write("k"), 4), (write("never"), 2), (read("k").replace("c=look", "c=no"), 2)]
    {
        client.ask(&text);
        assert_eq!(client.answer().len(), messages);
    }
    client.ask(&read("held"));
    while !harness.host_events.recv().expect("a query").contains("'held'") {}
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
        assert_eq!(metric(harness.admin, name), value, "{name}");
    }
    assert!(metric(harness.admin, "responses.store.tries") >= 2);
    harness.host_controls.released.store(true, Ordering::SeqCst);
    assert_eq!(client.answer().len(), 4);
    harness.end();
}

/// Guards the admin interface against operators' connections with incomplete requests: they never delay other requests,
/// and use no more connections than the limit of the admin interface.
#[test]
fn incomplete_requests_delay_no_others() {
    let harness = Harness::start(200);
    let incomplete: Vec<TcpStream> =
        (0..40).map(|_| TcpStream::connect(harness.admin).expect("accepted")).collect();
    for mut socket in &incomplete {
        let _ = socket.write_all(b"GET /ops/readiness HT");
    }
    for _ in 0..20 {
        assert!(get(harness.admin, "/ops/readiness").starts_with("HTTP/1.1 200 "));
    }
    drop(incomplete);
    harness.end();
}

/// Guards the requests that set hosts administratively down: unknown names are rejected, a host that was set down twice
/// is up again after one request, and the other hosts continue to serve.
#[test]
fn hosts_are_set_down_and_up_by_name() {
    let harness = Harness::start(200);
    let mut client = harness.client();
    assert!(!set_host_state(harness.admin, "down", "s-9") && !set_host_state(harness.admin, "up", ""));
    for _ in 0..2 {
        assert!(set_host_state(harness.admin, "down", "s-0"));
        assert_eq!(metric(harness.admin, "pool_ejected"), 1);
    }
    assert_eq!(metric(harness.admin, "pool_size"), 3);
    for _ in 0..20 {
        client.ask(&read("k"));
        assert_eq!(client.answer().len(), 4);
    }
    assert!(set_host_state(harness.admin, "up", "s-0"));
    assert_eq!(metric(harness.admin, "pool_ejected"), 0);
    client.ask(&write("k"));
    assert_eq!(client.answer().len(), 4);
    harness.end();
}
