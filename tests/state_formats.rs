//! What a process hands its successor of the decision module's state, as JSON: today's form byte for byte, and earlier
//! forms that are still read.

use std::collections::{BTreeMap, BTreeSet};

use dunemount::attempt::{AttemptOutcome, AttemptProgress, FailedAttempt, FailureCause, ResponseStatus};
use dunemount::balancer::{Balancer, EndpointCounts, Output, RoutingDecision, RoutingRequest};
use dunemount::*;
use serde_json::Value;

/// Written by the scenario below.
const SNAPSHOT: &str = include_str!("fixtures/balancer-snapshot-v1.json");
/// The same without the fields that may be missing.
const WITHOUT_OPTIONAL_FIELDS: &str = include_str!("fixtures/balancer-snapshot-without-optional-fields.json");
/// The same as a version wrote it that kept the log's time of a family as `log_clock`, from single answers.
const WITH_LOG_CLOCK: &str = include_str!("fixtures/balancer-snapshot-with-log-clock.json");

const START: Micros = Micros::millis(100_000);
/// When one member was started anew.
const RESTART: Micros = Micros::millis(101_000);
/// When the last writes of the scenario begin, one after the other, and when it ends.
const LAST_WRITES: Micros = Micros::millis(101_500);
const END: Micros = Micros::millis(101_506);
/// Time that a member takes to answer.
const LATENCY: Micros = Micros::millis(2);
const DEADLINE: Micros = Micros::millis(800);
/// How far replicas are behind their primary.
const LAG: Micros = Micros::millis(10);

/// Fewer than fill two members.
const READS_AT_ONCE: usize = 6;

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

/// Wrote in the first group.
const WRITER: SessionKey = SessionKey(7);
/// Wrote in both groups.
const ROAMER: SessionKey = SessionKey(8);
/// Never writes.
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

/// A member's answer: the primaries stand at the present, the others a little before.
fn answer(member: MemberId, now: Micros) -> AttemptOutcome {
    let (role, position) = match member.0 {
        PRIMARY | SECOND_PRIMARY => (Role::Primary, now),
        _ => (Role::Replica, now - LAG),
    };
    AttemptOutcome::Response { status: ResponseStatus::Served, role: Some(role), position: Some(position) }
}

/// Where a request goes at once, if it goes anywhere; the attempt stays out.
fn pick(balancer: &mut Balancer, now: Micros, ask: RoutingRequest) -> Option<(RequestId, u64)> {
    match balancer.pick(now, ask) {
        (request_id, RoutingDecision::Send { member, .. }) => Some((request_id, member.0)),
        _ => None,
    }
}

/// Where a request goes at once; it is answered a latency later.
fn serve(balancer: &mut Balancer, now: Micros, ask: RoutingRequest) -> Option<u64> {
    let (request_id, member) = pick(balancer, now, ask)?;
    let answered = now + LATENCY;
    balancer.handle_outcome(answered, request_id, answer(MemberId(member), answered));
    Some(member)
}

/// Lets what is due act and answers the health checks of all members but these.
fn run_due(balancer: &mut Balancer, now: Micros, unheard: &[u64]) {
    while let Some(output) = balancer.poll_output(now) {
        match output {
            Output::HealthCheck(member) if unheard.contains(&member.0) => {}
            Output::HealthCheck(member) => balancer.health_checked(now, member, answer(member, now)),
            _ => {}
        }
    }
}

/// Runs reads and writes from one time to another. How often each member was sent one.
fn run(balancer: &mut Balancer, from: Micros, until: Micros, unheard: &[u64]) -> BTreeMap<u64, u32> {
    let (mut now, mut sent) = (from, BTreeMap::new());
    while now < until {
        for group in [FIRST, SECOND] {
            for class in [BOUNDED, SESSION, FRESH, WRITE, BOUNDED] {
                run_due(balancer, now, unheard);
                // Other sessions write meanwhile, each in one group.
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

/// The state of a process that has seen all that its successor must know.
fn scenario() -> Balancer {
    let mut balancer = balancer(7);
    let all = [1, 2, 3, 4, 5, 6, 11, 12, 13];
    balancer.update_endpoints(START, true, all.map(endpoint).to_vec());
    run(&mut balancer, START, RESTART, &[]);
    balancer.update_endpoints(RESTART, false, vec![listed_at_the_end(WARMING_UP)]);
    run(&mut balancer, RESTART, LAST_WRITES, &[]);
    let mut now = LAST_WRITES;
    for (group, session) in [(FIRST, WRITER), (FIRST, ROAMER), (SECOND, ROAMER)] {
        serve(&mut balancer, now, request(WRITE, group, session)).expect("a write is sent");
        now = now + LATENCY;
    }
    balancer.set_administratively_down(END, MemberId(DOWN), true);
    let left: Vec<Endpoint> = all.into_iter().filter(|id| *id != REMOVED).map(listed_at_the_end).collect();
    balancer.update_endpoints(END, true, left);
    balancer.health_checked(END, MemberId(EJECTED), LOST);
    reset_at(&mut balancer, END, BROKEN);
    balancer
}

fn listed_at_the_end(member: u64) -> Endpoint {
    let started = if member == WARMING_UP { RESTART } else { Micros(0) };
    Endpoint { started, ..endpoint(member) }
}

/// The connection of a read that is out at a member breaks.
fn reset_at(balancer: &mut Balancer, now: Micros, member: u64) {
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

fn text(balancer: &Balancer) -> String {
    serde_json::to_string(&balancer.snapshot()).expect("written")
}

/// The one session of two groups may be handed over either way round.
fn other_way_round(snapshot: &str) -> String {
    let (first, second) = (r#"{"group":1,"commit":101504000}"#, r#"{"group":2,"commit":101506000}"#);
    let parts: Vec<&str> = snapshot.split(first).collect();
    assert_eq!((parts.len(), parts[1].matches(second).count()), (2, 1), "one session of two groups");
    format!("{}{second}{}", parts[0], parts[1].replace(second, first))
}

/// Members that reads of a class in a group are sent to at this moment, several at once and none answered.
fn readers(balancer: &mut Balancer, now: Micros, class: usize, group: GroupId) -> BTreeSet<u64> {
    let mut requests = Vec::new();
    let mut members = BTreeSet::new();
    for _ in 0..READS_AT_ONCE {
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

/// What is read back from any of the forms: who may be sent to, who leads, and what sessions wrote.
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
            let members = readers(&mut successor(snapshot), now, class, group);
            assert_eq!(members, BTreeSet::from([primary]), "{group:?}");
        }
    }
    // A session reads where its own commits are: no replica has told of them yet.
    assert_eq!(serve(balancer, now, request(SESSION, FIRST, WRITER)), Some(PRIMARY));
    let replicas = readers(&mut successor(snapshot), now, SESSION, FIRST);
    assert!(replicas.is_subset(&BTreeSet::from([REPLICA, BROKEN, WARMING_UP])), "{replicas:?}");
    assert!(replicas.contains(&REPLICA) && replicas.contains(&BROKEN), "{replicas:?}");
    let replicas = readers(&mut successor(snapshot), now, SESSION, SECOND);
    assert_eq!(replicas, BTreeSet::from([SECOND_REPLICA, REMOVED]));
}

/// A member whose connection has broken before is ejected by the next one, and one that was ejected is tried again.
fn assert_health(balancer: &mut Balancer, now: Micros) {
    reset_at(balancer, now, BROKEN);
    assert_eq!(balancer.endpoint_counts(), EndpointCounts { listed: 8, ejected: 3 });
    let later = now + Micros::millis(1_500);
    run(balancer, now, later, &[EJECTED, BROKEN]);
    assert_eq!(
        balancer.endpoint_counts(),
        EndpointCounts { listed: 8, ejected: 1 },
        "only who is administratively down is still avoided"
    );
}

/// A member that is warming up gets the less, as long as it is.
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

/// Guards a hot restart between versions: the state is written as it always was, byte for byte.
#[test]
fn the_state_is_written_byte_for_byte() {
    let written = text(&scenario());
    assert!(written == SNAPSHOT || written == other_way_round(SNAPSHOT), "{written}");
}

/// Guards a hot restart after a hot restart: what was read is written again as it was, but for the last digit of a
/// number, which reading may change.
#[test]
fn the_state_that_was_read_is_written_again_as_it_was() {
    let value = |text: &str| serde_json::from_str::<Value>(text).expect("JSON");
    let written = text(&successor(SNAPSHOT));
    let same = |wanted: &str| is_same(&value(&written), &value(wanted));
    assert!(same(SNAPSHOT) || same(&other_way_round(SNAPSHOT)), "{written}");
}

/// Whether two values are the same, but for the last digits of fractions.
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

/// Guards the meaning of each part of the state at the process that takes it over.
#[test]
fn the_state_keeps_its_meaning() {
    let now = END + LATENCY;
    for snapshot in [SNAPSHOT.to_string(), other_way_round(SNAPSHOT)] {
        let mut balancer = successor(&snapshot);
        assert_members_and_sessions(&snapshot, now);
        assert_eq!(balancer.session_commit(FIRST, ROAMER), Some(Micros::millis(101_504)));
        assert_eq!(balancer.session_commit(SECOND, ROAMER), Some(Micros::millis(101_506)));
        assert_eq!(serve(&mut balancer, now, request(SESSION, FIRST, ROAMER)), Some(PRIMARY));
        assert_eq!(serve(&mut balancer, now, request(SESSION, SECOND, ROAMER)), Some(SECOND_PRIMARY));
        // The time of both logs is known, and so are the replicas' positions: their data are young enough.
        let replicas = readers(&mut successor(&snapshot), now, BOUNDED, FIRST);
        assert!(replicas.contains(&REPLICA) && replicas.contains(&BROKEN), "{replicas:?}");
        assert!(!replicas.contains(&EJECTED) && !replicas.contains(&DOWN), "{replicas:?}");
        let replicas = readers(&mut successor(&snapshot), now, BOUNDED, SECOND);
        assert_eq!(replicas, BTreeSet::from([SECOND_REPLICA, REMOVED]));
        let late = now + Micros::millis(600);
        let members = readers(&mut successor(&snapshot), late, BOUNDED, SECOND);
        assert_eq!(
            members,
            BTreeSet::from([SECOND_PRIMARY]),
            "no replica is known to be young enough by then"
        );
        assert_health(&mut successor(&snapshot), now);
        assert_slow_start(&mut successor(&snapshot), now);
    }
}

/// Guards a hot restart from an earlier version: fields that it did not write may be missing. Nothing is known of the
/// log's time then, and no replica passes for young enough until the primaries have proved it.
#[test]
fn a_state_without_optional_fields_is_read() {
    for snapshot in [WITHOUT_OPTIONAL_FIELDS, WITH_LOG_CLOCK] {
        let now = END + LATENCY;
        assert_members_and_sessions(snapshot, now);
        for (group, primary) in [(FIRST, PRIMARY), (SECOND, SECOND_PRIMARY)] {
            let members = readers(&mut successor(snapshot), now, BOUNDED, group);
            assert_eq!(members, BTreeSet::from([primary]), "{group:?}");
        }
        let mut balancer = successor(snapshot);
        run(&mut balancer, now, now + Micros::millis(200), &[EJECTED, BROKEN]);
        let now = now + Micros::millis(200);
        let replicas = readers(&mut balancer, now, BOUNDED, SECOND);
        assert_eq!(replicas, BTreeSet::from([SECOND_REPLICA, REMOVED]));
        assert_health(&mut successor(snapshot), END + LATENCY);
        assert_slow_start(&mut successor(snapshot), END + LATENCY);
    }
}
