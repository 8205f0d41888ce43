//! The JSON format of the balancer's snapshot that a process hands over to its successor: the current format byte for
//! byte, and earlier formats that are still read.

use std::collections::{BTreeMap, BTreeSet};

use dunemount::attempt::{AttemptOutcome, AttemptProgress, FailedAttempt, FailureCause, ResponseStatus};
use dunemount::balancer::{Balancer, EndpointCounts, Output, RoutingDecision, RoutingRequest};
use dunemount::*;
use serde_json::Value;

/// The snapshot of [`scenario`].
const SNAPSHOT: &str = include_str!("fixtures/balancer-snapshot-v1.json");
/// The same snapshot without the optional fields.
const WITHOUT_OPTIONAL_FIELDS: &str = include_str!("fixtures/balancer-snapshot-without-optional-fields.json");
/// The same snapshot from a version that kept the log time of a group as `log_clock`, derived from single responses.
const WITH_LOG_CLOCK: &str = include_str!("fixtures/balancer-snapshot-with-log-clock.json");

const START: Micros = Micros::millis(100_000);
/// When one member was restarted.
const RESTART: Micros = Micros::millis(101_000);
/// When the first of the last writes of the scenario begins; they run one after the other.
const LAST_WRITES: Micros = Micros::millis(101_500);
/// When the scenario ends.
const END: Micros = Micros::millis(101_506);
/// Response time of a member.
const LATENCY: Micros = Micros::millis(2);
const DEADLINE: Micros = Micros::millis(800);
/// Lag of the replicas behind their primary.
const LAG: Micros = Micros::millis(10);

/// Number of concurrent reads: fewer than the capacity of two members.
const CONCURRENT_READS: usize = 6;

const BOUNDED: usize = 0;
const SESSION: usize = 1;
const FRESH: usize = 2;
const WRITE: usize = 3;

const FIRST: GroupId = GroupId(1);
const SECOND: GroupId = GroupId(2);
const PRIMARY: u64 = 1;
const REPLICA: u64 = 2;
const EJECTED: u64 = 3;
const DOWN: u64 = 4;
const WARMING_UP: u64 = 5;
const BROKEN: u64 = 6;
const SECOND_PRIMARY: u64 = 11;
const SECOND_REPLICA: u64 = 12;
const REMOVED: u64 = 13;

/// A session that wrote in the first group.
const WRITER: SessionKey = SessionKey(7);
/// A session that wrote in both groups.
const TWO_GROUP_WRITER: SessionKey = SessionKey(8);
/// A session that never writes.
const READER: SessionKey = SessionKey(9);

const LOST: AttemptOutcome = AttemptOutcome::NoResponse(FailedAttempt {
    progress: AttemptProgress::NotConnected,
    cause: FailureCause::ConnectionLost,
});
const RESET: AttemptOutcome = AttemptOutcome::NoResponse(FailedAttempt {
    progress: AttemptProgress::FullyWritten,
    cause: FailureCause::ConnectionLost,
});

fn class(consistency: Consistency) -> Class {
    let window = Micros::millis(900);
    let idempotency = match consistency {
        Consistency::Write => Idempotency::IdempotencyKey { scope: DeduplicationScope::Group, window },
        _ => Idempotency::Idempotent,
    };
    Class {
        latency_objective: Micros::millis(200),
        deadline: DEADLINE,
        priority_weight: 1.0,
        late_weight: 0.5,
        idempotency,
        consistency,
    }
}

fn balancer(seed: u64) -> Balancer {
    let needs = [
        Consistency::BoundedStaleness(Micros::millis(500)),
        Consistency::Session,
        Consistency::Strong,
        Consistency::Write,
    ];
    let settings = Settings {
        classes: needs.map(class).to_vec(),
        tenants: vec![],
        over_quota_weight: 1.0,
        weight_basis: Default::default(),
        zone: ZoneId(0),
        gateways: 3,
        tick: Micros::millis(5),
        watch_required: false,
        replica_checks: ReplicaChecks::None,
        session_tokens: SessionTokens::Remembered,
        health_checks: true,
        cancels: true,
        peers: false,
        hedging: false,
        retry_after: true,
        clients_mark_retries: false,
        max_retry_after: Micros::millis(500),
        max_attempts: 4,
        health_check_price: 0.01,
        cross_zone_price: 0.01,
        handshake_price: 0.0,
        drain_grace: Micros::millis(300),
        removed_may_serve: true,
        connection_idle_timeout: Micros::millis(15_000),
        slow_start_initial: 0.2,
        slow_start_window: Micros::millis(10_000),
        overload_multiple: 2.0,
        overload_window: Micros::millis(2000),
    };
    Balancer::new(settings, seed)
}

fn group_of(member: u64) -> GroupId {
    if member < SECOND_PRIMARY {
        FIRST
    } else {
        SECOND
    }
}

fn endpoint(member: u64) -> Endpoint {
    Endpoint {
        member: MemberId(member),
        group: group_of(member),
        weight: 1.0,
        primary: member == PRIMARY || member == SECOND_PRIMARY,
        ..Endpoint::default()
    }
}

fn request(class: usize, group: GroupId, session: SessionKey) -> RoutingRequest {
    let class = ClassId(class);
    RoutingRequest { class, group, session, committed: None, repeat: false, time_left: DEADLINE }
}

/// A member's response: the position of a primary is the current time, that of a replica is [`LAG`] before it.
fn answer(member: MemberId, now: Micros) -> AttemptOutcome {
    let (role, position) = match member.0 {
        PRIMARY | SECOND_PRIMARY => (Role::Primary, now),
        _ => (Role::Replica, now - LAG),
    };
    AttemptOutcome::Response { status: ResponseStatus::Served, role: Some(role), position: Some(position) }
}

/// The member to which a request is sent immediately, if any; its attempt stays in flight.
fn pick(balancer: &mut Balancer, now: Micros, request: RoutingRequest) -> Option<(RequestId, u64)> {
    match balancer.pick(now, request) {
        (request_id, RoutingDecision::Send { member, .. }) => Some((request_id, member.0)),
        _ => None,
    }
}

/// The member to which a request is sent immediately, if any; the response comes after [`LATENCY`].
fn serve(balancer: &mut Balancer, now: Micros, request: RoutingRequest) -> Option<u64> {
    let (request_id, member) = pick(balancer, now, request)?;
    let answered = now + LATENCY;
    balancer.handle_outcome(answered, request_id, answer(MemberId(member), answered));
    Some(member)
}

/// Processes all outputs that are due, and answers the health checks of all members except the unresponsive ones.
fn run_due(balancer: &mut Balancer, now: Micros, unresponsive: &[u64]) {
    while let Some(output) = balancer.poll_output(now) {
        match output {
            Output::HealthCheck(member) if unresponsive.contains(&member.0) => {}
            Output::HealthCheck(member) => balancer.health_checked(now, member, answer(member, now)),
            _ => {}
        }
    }
}

/// Runs reads and writes from one time to another. Returns the number of requests that were sent to each member.
fn run(balancer: &mut Balancer, from: Micros, until: Micros, unresponsive: &[u64]) -> BTreeMap<u64, u32> {
    let (mut now, mut sent) = (from, BTreeMap::new());
    while now < until {
        for group in [FIRST, SECOND] {
            for class in [BOUNDED, SESSION, FRESH, WRITE, BOUNDED] {
                run_due(balancer, now, unresponsive);
                // Writes come from other sessions, one for each group.
                let session = if class == WRITE { SessionKey(100 + group.0) } else { READER };
                if let Some(member) = serve(balancer, now, request(class, group, session)) {
                    *sent.entry(member).or_insert(0) += 1;
                }
                now = now + LATENCY;
            }
        }
    }
    sent
}

/// A balancer whose state has every part that its successor needs.
fn scenario() -> Balancer {
    let mut balancer = balancer(7);
    let all = [1, 2, 3, 4, 5, 6, 11, 12, 13];
    balancer.update_endpoints(START, true, all.map(endpoint).to_vec());
    run(&mut balancer, START, RESTART, &[]);
    balancer.update_endpoints(RESTART, false, vec![endpoint_at_end(WARMING_UP)]);
    run(&mut balancer, RESTART, LAST_WRITES, &[]);
    let mut now = LAST_WRITES;
    for (group, session) in [(FIRST, WRITER), (FIRST, TWO_GROUP_WRITER), (SECOND, TWO_GROUP_WRITER)] {
        serve(&mut balancer, now, request(WRITE, group, session)).expect("a write is sent");
        now = now + LATENCY;
    }
    balancer.set_administratively_down(END, MemberId(DOWN), true);
    let remaining: Vec<Endpoint> = all.into_iter().filter(|id| *id != REMOVED).map(endpoint_at_end).collect();
    balancer.update_endpoints(END, true, remaining);
    balancer.health_checked(END, MemberId(EJECTED), LOST);
    reset_read_at(&mut balancer, END, BROKEN);
    balancer
}

/// The endpoint of a member in the last endpoint list of the scenario.
fn endpoint_at_end(member: u64) -> Endpoint {
    let started = if member == WARMING_UP { RESTART } else { Micros(0) };
    Endpoint { started, ..endpoint(member) }
}

/// Sends a read to a member and loses its connection.
fn reset_read_at(balancer: &mut Balancer, now: Micros, member: u64) {
    for _ in 0..100 {
        let Some((request_id, to)) = pick(balancer, now, request(SESSION, group_of(member), READER)) else {
            break;
        };
        if to == member {
            balancer.handle_outcome(now, request_id, RESET);
            balancer.handle_client_gone(now, request_id);
            return;
        }
        balancer.handle_client_gone(now, request_id);
    }
    panic!("no read was sent to {member}");
}

fn successor(snapshot: &str) -> Balancer {
    let mut successor = balancer(8);
    successor.restore(serde_json::from_str(snapshot).expect("read"), Some, Micros(0));
    successor
}

fn snapshot_json(balancer: &Balancer) -> String {
    serde_json::to_string(&balancer.snapshot()).expect("written")
}

/// The snapshot with the commits of the session that wrote in two groups swapped; their order is not defined.
fn with_commits_swapped(snapshot: &str) -> String {
    let (first, second) = (r#"{"group":1,"commit":101504000}"#, r#"{"group":2,"commit":101506000}"#);
    let parts: Vec<&str> = snapshot.split(first).collect();
    assert_eq!((parts.len(), parts[1].matches(second).count()), (2, 1), "one session of two groups");
    format!("{}{second}{}", parts[0], parts[1].replace(second, first))
}

/// The members to which concurrent reads of a class in a group are sent at this time, before any is answered.
fn read_members(balancer: &mut Balancer, now: Micros, class: usize, group: GroupId) -> BTreeSet<u64> {
    let mut requests = Vec::new();
    let mut members = BTreeSet::new();
    for _ in 0..CONCURRENT_READS {
        let (request_id, decision) = balancer.pick(now, request(class, group, READER));
        requests.push(request_id);
        if let RoutingDecision::Send { member, .. } = decision {
            members.insert(member.0);
        }
    }
    for request_id in requests {
        balancer.handle_client_gone(now, request_id);
    }
    members
}

/// Checks the parts of the state that every format has: the routable members, the primaries, and the sessions' commits.
fn assert_members_and_sessions(snapshot: &str, now: Micros) {
    let balancer = &mut successor(snapshot);
    assert_eq!(
        balancer.endpoint_counts(),
        EndpointCounts { listed: 8, ejected: 2 },
        "one is ejected and one is administratively down"
    );
    assert!(!balancer.is_listed(MemberId(REMOVED)) && balancer.is_routable(MemberId(REMOVED)));
    assert!(balancer.is_listed(MemberId(DOWN)) && !balancer.is_routable(MemberId(DOWN)));
    assert!(balancer.is_routable(MemberId(WARMING_UP)) && balancer.is_routable(MemberId(BROKEN)));
    assert!(balancer.has_group(FIRST) && balancer.has_group(SECOND) && !balancer.has_group(GroupId(3)));
    assert_eq!(balancer.session_commit(FIRST, WRITER), Some(Micros::millis(101_502)));
    assert_eq!(balancer.session_commit(SECOND, WRITER), None);
    assert_eq!(balancer.session_commit(FIRST, READER), None);
    for (group, primary) in [(FIRST, PRIMARY), (SECOND, SECOND_PRIMARY)] {
        for class in [WRITE, FRESH] {
            let members = read_members(&mut successor(snapshot), now, class, group);
            assert_eq!(members, BTreeSet::from([primary]), "{group:?}");
        }
    }
    // A session reads where its own commits are visible: no replica has reported their positions yet.
    assert_eq!(serve(balancer, now, request(SESSION, FIRST, WRITER)), Some(PRIMARY));
    let replicas = read_members(&mut successor(snapshot), now, SESSION, FIRST);
    assert!(replicas.is_subset(&BTreeSet::from([REPLICA, BROKEN, WARMING_UP])), "{replicas:?}");
    assert!(replicas.contains(&REPLICA) && replicas.contains(&BROKEN), "{replicas:?}");
    let replicas = read_members(&mut successor(snapshot), now, SESSION, SECOND);
    assert_eq!(replicas, BTreeSet::from([SECOND_REPLICA, REMOVED]));
}

/// Checks that a member which lost a connection before is ejected by the next loss, and that an ejected one is tried
/// again.
fn assert_health(balancer: &mut Balancer, now: Micros) {
    reset_read_at(balancer, now, BROKEN);
    assert_eq!(balancer.endpoint_counts(), EndpointCounts { listed: 8, ejected: 3 });
    let later = now + Micros::millis(1_500);
    run(balancer, now, later, &[EJECTED, BROKEN]);
    assert_eq!(
        balancer.endpoint_counts(),
        EndpointCounts { listed: 8, ejected: 1 },
        "only the member that is administratively down is still avoided"
    );
}

/// Checks that a member in slow start gets fewer requests until its slow start ends.
fn assert_slow_start(balancer: &mut Balancer, now: Micros) {
    let sent = run(balancer, now, now + Micros::millis(2_000), &[EJECTED, BROKEN]);
    let (warm, warming_up) = (sent[&REPLICA], sent.get(&WARMING_UP).copied().unwrap_or(0));
    assert!(warming_up * 2 < warm, "{sent:?}");
    let warm_up_ends = RESTART + Micros::millis(10_000);
    let now = warm_up_ends + Micros::millis(2_000);
    run(balancer, warm_up_ends, now, &[]);
    let sent = run(balancer, now, now + Micros::millis(2_000), &[]);
    assert!(sent[&WARMING_UP] * 2 > sent[&REPLICA], "{sent:?}");
}

/// Guards a hot restart between versions: the snapshot is written as before, byte for byte.
#[test]
fn the_snapshot_is_written_byte_for_byte() {
    let written = snapshot_json(&scenario());
    assert!(written == SNAPSHOT || written == with_commits_swapped(SNAPSHOT), "{written}");
}

/// Guards a hot restart after another: a restored snapshot is written again unchanged, except for the last digit of a
/// number, which parsing may change.
#[test]
fn a_restored_snapshot_is_written_unchanged() {
    let value = |text: &str| serde_json::from_str::<Value>(text).expect("JSON");
    let written = snapshot_json(&successor(SNAPSHOT));
    let same = |expected: &str| is_same(&value(&written), &value(expected));
    assert!(same(SNAPSHOT) || same(&with_commits_swapped(SNAPSHOT)), "{written}");
}

/// Whether two values are equal, except for the last digits of fractions.
fn is_same(one: &Value, other: &Value) -> bool {
    match (one, other) {
        (Value::Object(one), Value::Object(other)) => {
            one.len() == other.len() && one.iter().zip(other).all(|(a, b)| a.0 == b.0 && is_same(a.1, b.1))
        }
        (Value::Array(one), Value::Array(other)) => {
            one.len() == other.len() && one.iter().zip(other).all(|(a, b)| is_same(a, b))
        }
        (Value::Number(one), Value::Number(other)) if one.is_f64() && other.is_f64() => {
            let (one, other) = (one.as_f64().unwrap_or_default(), other.as_f64().unwrap_or_default());
            (one - other).abs() <= 1e-14 * one.abs()
        }
        _ => one == other,
    }
}

/// Guards the meaning of each part of the snapshot for the process that restores it.
#[test]
fn the_snapshot_keeps_its_meaning() {
    let now = END + LATENCY;
    for snapshot in [SNAPSHOT.to_string(), with_commits_swapped(SNAPSHOT)] {
        let mut balancer = successor(&snapshot);
        assert_members_and_sessions(&snapshot, now);
        assert_eq!(balancer.session_commit(FIRST, TWO_GROUP_WRITER), Some(Micros::millis(101_504)));
        assert_eq!(balancer.session_commit(SECOND, TWO_GROUP_WRITER), Some(Micros::millis(101_506)));
        assert_eq!(serve(&mut balancer, now, request(SESSION, FIRST, TWO_GROUP_WRITER)), Some(PRIMARY));
        assert_eq!(
            serve(&mut balancer, now, request(SESSION, SECOND, TWO_GROUP_WRITER)),
            Some(SECOND_PRIMARY)
        );
        // The log time of both groups and the replicas' positions are known: their data are fresh enough.
        let replicas = read_members(&mut successor(&snapshot), now, BOUNDED, FIRST);
        assert!(replicas.contains(&REPLICA) && replicas.contains(&BROKEN), "{replicas:?}");
        assert!(!replicas.contains(&EJECTED) && !replicas.contains(&DOWN), "{replicas:?}");
        let replicas = read_members(&mut successor(&snapshot), now, BOUNDED, SECOND);
        assert_eq!(replicas, BTreeSet::from([SECOND_REPLICA, REMOVED]));
        let late = now + Micros::millis(600);
        let members = read_members(&mut successor(&snapshot), late, BOUNDED, SECOND);
        assert_eq!(
            members,
            BTreeSet::from([SECOND_PRIMARY]),
            "no replica is known to be fresh enough by then"
        );
        assert_health(&mut successor(&snapshot), now);
        assert_slow_start(&mut successor(&snapshot), now);
    }
}

/// Guards a hot restart from an earlier version, whose snapshot lacks the optional fields. The log time is unknown
/// then, and no replica counts as fresh enough until responses of the primaries have established it.
#[test]
fn a_snapshot_without_optional_fields_is_read() {
    for snapshot in [WITHOUT_OPTIONAL_FIELDS, WITH_LOG_CLOCK] {
        let now = END + LATENCY;
        assert_members_and_sessions(snapshot, now);
        for (group, primary) in [(FIRST, PRIMARY), (SECOND, SECOND_PRIMARY)] {
            let members = read_members(&mut successor(snapshot), now, BOUNDED, group);
            assert_eq!(members, BTreeSet::from([primary]), "{group:?}");
        }
        let mut balancer = successor(snapshot);
        run(&mut balancer, now, now + Micros::millis(200), &[EJECTED, BROKEN]);
        let now = now + Micros::millis(200);
        let replicas = read_members(&mut balancer, now, BOUNDED, SECOND);
        assert_eq!(replicas, BTreeSet::from([SECOND_REPLICA, REMOVED]));
        assert_health(&mut successor(snapshot), END + LATENCY);
        assert_slow_start(&mut successor(snapshot), END + LATENCY);
    }
}
