//! The state machine of a gateway in isolation: messages and events that are rare in the simulation of a fleet.

mod common;

use std::time::Duration;

use common::{document, messages, newest, servers, version, MILLI, SECOND};
use dunemount_rollout::connection::ConnectionId;
use dunemount_rollout::follower::{self, ApplyError, Follower};
use dunemount_rollout::frame::encode_frame;
use dunemount_rollout::settings::Timeouts;
use dunemount_rollout::version::{Document, Version};
use dunemount_rollout::wire::{Message, MAX_REJECTION_BYTES};

/// A gateway with its connections and collected outputs.
struct FollowerHarness {
    now: Duration,
    follower: Follower,
    connection_requests: Vec<(ConnectionId, usize)>,
    open: Vec<ConnectionId>,
    sent: Vec<Message>,
    applying: Vec<Document>,
    max_open: usize,
}

impl FollowerHarness {
    fn new(zone: &str, count: usize, in_force: Option<Version>) -> FollowerHarness {
        let settings = follower::Settings {
            fleet: "test".to_string(),
            name: "gw-1".to_string(),
            zone: zone.to_string(),
            servers: servers(count),
            timeouts: Timeouts::default(),
            seed: 3,
        };
        let follower = Follower::new(settings, in_force, Duration::ZERO);
        let mut harness = FollowerHarness {
            now: Duration::ZERO,
            follower,
            connection_requests: vec![],
            open: vec![],
            sent: vec![],
            applying: vec![],
            max_open: 0,
        };
        harness.tick();
        harness
    }

    fn tick(&mut self) {
        self.follower.tick(self.now);
        self.drain_outputs();
    }

    fn drain_outputs(&mut self) {
        while let Some(output) = self.follower.next_output() {
            match output {
                follower::Output::Connect(id, server) => {
                    self.connection_requests.push((id, server));
                    self.open.push(id);
                }
                follower::Output::Send(_, bytes) => self.sent.extend(messages(&bytes)),
                follower::Output::Close(id) => self.open.retain(|open| *open != id),
                follower::Output::Apply(document) => self.applying.push(document),
            }
            self.max_open = self.max_open.max(self.open.len());
        }
    }

    fn wait(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.follower.next_tick() <= until {
            self.now = self.now.max(self.follower.next_tick());
            self.tick();
        }
        self.now = until;
    }

    fn receive(&mut self, id: ConnectionId, message: &Message) {
        self.follower.handle_bytes(self.now, id, &encode_frame(message));
        self.drain_outputs();
    }

    /// Establishes the connection that was requested last, and receives a heartbeat of a fresh control server over it.
    fn connect_fresh(&mut self) -> ConnectionId {
        let (id, _) = *self.connection_requests.last().expect("a requested connection");
        self.follower.handle_connected(self.now, id);
        self.receive(id, &Message::Heartbeat { fresh: true, newest: None });
        id
    }

    fn finish_applying(&mut self, result: Result<(), ApplyError>) {
        let version = self.applying.last().expect("a version to apply").version();
        self.follower.handle_applied(self.now, version, result);
        self.drain_outputs();
    }
}

/// Guards against older versions and against two digests of one number: both are counted, a conflict once, and not
/// applied.
#[test]
fn a_gateway_applies_no_older_version_and_no_second_digest() {
    let mut harness = FollowerHarness::new("zone-0", 3, Some(version(5, "five")));
    let id = harness.connect_fresh();
    harness.sent.clear();
    harness.receive(id, &newest(4, "four"));
    harness.receive(id, &newest(5, "five"));
    for _ in 0..3 {
        harness.receive(id, &newest(5, "other"));
        harness.receive(id, &Message::Heartbeat { fresh: true, newest: Some(version(5, "other")) });
    }
    let status = harness.follower.status(harness.now);
    assert_eq!((status.stale_offers, status.conflicts, harness.applying.len()), (1, 1, 0));
    let [Message::VersionReport { in_force, rejected: Some(rejected) }] = &harness.sent[..] else {
        panic!("{:?}", harness.sent)
    };
    assert_eq!((*in_force, rejected.version), (Some(version(5, "five")), version(5, "other")));
    assert!(rejected.reason.contains("two digests"), "{}", rejected.reason);
    harness.receive(id, &newest(6, "six"));
    harness.finish_applying(Ok(()));
    let status = harness.follower.status(harness.now);
    assert_eq!((status.in_force, status.rejected), (Some(version(6, "six")), None));
}

/// Guards the order in which versions are applied: one at a time, then the newest of those received meanwhile, and
/// never a rejected one.
#[test]
fn a_gateway_applies_one_version_at_a_time_and_the_newest_next() {
    let mut harness = FollowerHarness::new("zone-0", 3, None);
    let id = harness.connect_fresh();
    harness.receive(id, &newest(1, "one"));
    for (number, bytes) in [(2, "two"), (4, "four"), (3, "three"), (1, "one")] {
        harness.receive(id, &newest(number, bytes));
    }
    assert_eq!(harness.applying, [document(1, "one")]);
    harness.follower.handle_applied(harness.now, version(4, "four"), Ok(()));
    assert_eq!(harness.follower.status(harness.now).in_force, None, "it was not being applied");
    harness.finish_applying(Err(ApplyError("é".repeat(200))));
    assert_eq!(harness.applying, [document(1, "one"), document(4, "four")]);
    let rejected = harness.follower.status(harness.now).rejected.expect("a rejected version");
    assert!(rejected.version == version(1, "one") && rejected.reason.len() == MAX_REJECTION_BYTES);
    harness.finish_applying(Err(ApplyError("full".to_string())));
    harness.receive(id, &newest(4, "four"));
    harness.receive(id, &newest(1, "one"));
    assert_eq!(harness.applying.len(), 2, "not a rejected version");
    harness.receive(id, &newest(5, "five"));
    harness.finish_applying(Ok(()));
    assert_eq!(harness.follower.status(harness.now).rejected, None);
}

/// Guards against a control server that sends unexpected messages, or bytes that do not have their digest: the gateway
/// closes the connection and tries the next server.
#[test]
fn a_connection_that_breaks_the_protocol_is_closed() {
    for message in [
        Message::Newest(version(1, "one"), b"another"[..].into()),
        Message::Newest(Version { number: 0, ..version(0, "one") }, b"one"[..].into()),
        Message::QueryStatus,
    ] {
        let mut harness = FollowerHarness::new("zone-1", 3, None);
        let id = harness.connect_fresh();
        harness.receive(id, &message);
        assert_eq!((harness.open.len(), harness.applying.len()), (0, 0), "{message:?}");
        harness.wait(MILLI);
        assert_eq!(harness.connection_requests.iter().map(|(_, server)| *server).collect::<Vec<_>>(), [1, 2]);
    }
}

/// Guards the order of connection attempts: the own zone's server first, then the others in ring order. The gateway
/// tries the next server if one is silent, not reached or not fresh, and backs off longer after each failed round, so
/// that an hour of failures takes few connections.
#[test]
fn servers_are_tried_around_the_ring_with_backoff() {
    let mut harness = FollowerHarness::new("zone-1", 3, None);
    let liveness = Timeouts::default().liveness;
    harness.wait(liveness - MILLI);
    assert_eq!(harness.connection_requests.len(), 1);
    harness.wait(MILLI);
    assert_eq!(
        harness.connection_requests.last().map(|(_, server)| *server),
        Some(2),
        "the server was not reached"
    );
    let (id, _) = harness.connection_requests[1];
    harness.follower.handle_connected(harness.now, id);
    for _ in 0..6 {
        harness.wait(MILLI * 100);
        harness.receive(id, &Message::Heartbeat { fresh: false, newest: None });
    }
    assert_eq!(
        harness.connection_requests.last().map(|(_, server)| *server),
        Some(0),
        "the server was not fresh"
    );
    assert!(harness.follower.status(harness.now).cut_off > liveness * 2);
    harness.wait(SECOND * 3_600);
    let count = harness.connection_requests.len();
    println!("{count} connections in an hour of failures");
    assert!(
        (1_000..3_000).contains(&count),
        "{count}: three per round, with up to five seconds between rounds"
    );
    assert_eq!(harness.max_open, 1);
    // Each connection is refused at once.
    let mut harness = FollowerHarness::new("zone-1", 3, None);
    while harness.now < SECOND * 60 {
        if let Some(id) = harness.open.pop() {
            harness.follower.handle_closed(harness.now, id);
            harness.drain_outputs();
        }
        harness.wait(MILLI);
    }
    assert!(harness.connection_requests.len() < 100, "{}", harness.connection_requests.len());
    // Each server reports that it is fresh, and disconnects at once.
    let mut harness = FollowerHarness::new("zone-1", 3, None);
    while harness.now < SECOND * 60 {
        if let Some(id) = harness.open.pop() {
            harness.follower.handle_connected(harness.now, id);
            harness.receive(id, &Message::Heartbeat { fresh: true, newest: None });
            harness.follower.handle_closed(harness.now, id);
            harness.drain_outputs();
        }
        harness.wait(MILLI);
    }
    assert!(harness.connection_requests.len() < 100, "{}", harness.connection_requests.len());
}

/// Guards the return to the own zone's server: the gateway opens a second connection within the return window, and
/// closes the first one once that server is fresh. If the server is not fresh, the second connection is closed again.
#[test]
fn a_gateway_returns_to_its_own_zone_over_a_second_connection() {
    let mut harness = FollowerHarness::new("zone-1", 3, None);
    let (first, _) = harness.connection_requests[0];
    harness.follower.handle_closed(harness.now, first);
    harness.open.clear();
    harness.tick();
    let away = harness.connect_fresh();
    let started = harness.now;
    let heartbeat = |fresh| Message::Heartbeat { fresh, newest: None };
    let mut attempts = 0;
    let mut returned = None;
    while returned.is_none() {
        harness.wait(MILLI * 100);
        harness.receive(away, &heartbeat(true));
        assert!(harness.now < started + SECOND * 70, "two attempts within two return windows");
        let Some((id, 1)) =
            harness.connection_requests.last().copied().filter(|(id, _)| harness.open.contains(id))
        else {
            continue;
        };
        assert!(harness.follower.status(harness.now).server == Some(2), "it still follows the other server");
        harness.follower.handle_connected(harness.now, id);
        harness.receive(id, &heartbeat(attempts > 0));
        attempts += 1;
        if attempts > 1 {
            returned = Some(id);
        } else {
            for _ in 0..6 {
                harness.wait(MILLI * 100);
                harness.receive(away, &heartbeat(true));
                harness.receive(id, &heartbeat(false));
            }
            assert!(!harness.open.contains(&id), "closed, since the server is not fresh");
        }
    }
    assert_eq!(harness.open, returned.into_iter().collect::<Vec<_>>());
    assert_eq!((harness.max_open, harness.follower.status(harness.now).server), (2, Some(1)));
    harness.wait(MILLI * 400);
    harness.receive(returned.expect("a second connection"), &heartbeat(true));
    assert_eq!(harness.open.len(), 1);
}

/// Guards against outdated versions after the gateway's process was stopped: data from its socket buffer is not read.
#[test]
fn a_gateway_that_was_stopped_ignores_buffered_data() {
    let mut harness = FollowerHarness::new("zone-1", 3, None);
    let id = harness.connect_fresh();
    harness.now += SECOND;
    harness.receive(id, &newest(1, "one"));
    assert_eq!((harness.open.len(), harness.applying.len()), (0, 0));
}

/// Guards a gateway in a zone without a control server, which follows another zone's and never tries to return, and a
/// gateway whose settings name no control server.
#[test]
fn a_zone_without_a_server_follows_others() {
    let mut harness = FollowerHarness::new("nowhere", 3, None);
    let id = harness.connect_fresh();
    for _ in 0..400 {
        harness.wait(MILLI * 100);
        harness.receive(id, &Message::Heartbeat { fresh: true, newest: None });
    }
    assert_eq!(harness.connection_requests.len(), 1);
    let mut harness = FollowerHarness::new("zone-1", 0, None);
    harness.wait(SECOND * 10);
    assert_eq!(harness.connection_requests, []);
}
