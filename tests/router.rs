//! The router through its public API: how requests are routed, the five routing rules, and regression tests.

use std::collections::BTreeMap;

use dunemount::*;

const GROUP: GroupId = GroupId(1);
const PRIMARY: MemberId = MemberId(10);
const REPLICA_1: MemberId = MemberId(11);
const REPLICA_2: MemberId = MemberId(12);
const BOUNDED: ClassId = ClassId(0);
const SESSION: ClassId = ClassId(1);
const EVENTUAL: ClassId = ClassId(2);
const WRITE: ClassId = ClassId(3);
const NON_IDEMPOTENT: ClassId = ClassId(4);

fn class(consistency: Consistency, idempotency: Idempotency, late_weight: f64) -> Class {
    let (latency_objective, deadline) = (Micros::millis(200), Micros::millis(2000));
    Class { latency_objective, deadline, priority_weight: 1.0, late_weight, idempotency, consistency }
}

fn settings() -> Settings {
    let keyed = Idempotency::IdempotencyKey { scope: DeduplicationScope::Group, window: Micros::millis(900) };
    Settings {
        classes: vec![
            class(Consistency::BoundedStaleness(Micros::millis(500)), Idempotency::Idempotent, 0.0),
            class(Consistency::Session, Idempotency::Idempotent, 0.0),
            class(Consistency::Eventual, Idempotency::Idempotent, 0.0),
            class(Consistency::Write, keyed, 0.5),
            class(Consistency::Write, Idempotency::NonIdempotent, 0.5),
        ],
        tenants: vec![],
        over_quota_weight: 1.0,
        weight_basis: Default::default(),
        zone: ZoneId(0),
        gateways: 2,
        tick: Micros::millis(1),
        watch_required: false,
        replica_checks: ReplicaChecks::None,
        session_tokens: SessionTokens::Remembered,
        health_checks: true,
        cancels: true,
        peers: false,
        hedging: true,
        retry_after: true,
        clients_mark_retries: false,
        max_retry_after: Micros::millis(500),
        max_attempts: 4,
        health_check_price: 0.01,
        cross_zone_price: 0.0,
        handshake_price: 0.0,
        drain_grace: Micros::millis(300),
        removed_may_serve: false,
        connection_idle_timeout: Micros::millis(15_000),
        slow_start_initial: 0.2,
        slow_start_window: Micros::millis(10_000),
        overload_multiple: 2.0,
        overload_window: Micros::millis(2000),
    }
}

fn endpoint(member: MemberId, state: EndpointState, started: Micros) -> Endpoint {
    let primary = member == PRIMARY;
    Endpoint { member, group: GROUP, zone: ZoneId(0), state, weight: 1.0, started, primary }
}

/// A router with its own clock and a counter of request ids.
struct Harness {
    router: Router,
    now: Micros,
    next: u64,
}

impl Harness {
    fn new(settings: Settings) -> Harness {
        let mut harness = Harness { router: Router::new(settings, 7), now: Micros::millis(100_000), next: 0 };
        harness.update_endpoints(
            EndpointUpdate::Full,
            [PRIMARY, REPLICA_1, REPLICA_2].map(|m| endpoint(m, EndpointState::Ready, Micros(0))).to_vec(),
        );
        harness
    }

    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    fn update_endpoints(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) -> Vec<Action> {
        self.event(Event::Endpoints { update, endpoints })
    }

    fn sweep(&mut self, ms: u64) -> Vec<Action> {
        self.now = self.now + Micros::millis(ms);
        self.event(Event::Timer(TimerId(0)))
    }

    fn request(&mut self, class: ClassId, session: u64) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let session = Some(SessionKey(session));
        let time_left = Micros::millis(2000);
        let (committed, tenant, repeat) = (None, None, false);
        let request = Request { id, class, group: GROUP, session, committed, tenant, repeat, time_left };
        (id, self.event(Event::Request(request)))
    }

    fn finish_attempt(
        &mut self,
        id: RequestId,
        no: u32,
        member: MemberId,
        status: AttemptStatus,
        position: Option<Micros>,
    ) -> Vec<Action> {
        let role = Some(if member == PRIMARY { Role::Primary } else { Role::Replica });
        let answered = matches!(
            status,
            AttemptStatus::Ok | AttemptStatus::Error | AttemptStatus::Rejected | AttemptStatus::Unsuitable
        );
        self.event(Event::Outcome(Outcome {
            request: id,
            attempt: AttemptNo(no),
            member,
            status,
            latency: Micros::millis(20),
            finished: status == AttemptStatus::Ok,
            role: role.filter(|_| answered),
            position,
            report: HealthReport::default(),
        }))
    }

    fn health_checked(&mut self, member: MemberId, position: Micros) {
        let role = Some(if member == PRIMARY { Role::Primary } else { Role::Replica });
        let report = HealthReport { position: Some(position), role };
        self.event(Event::HealthChecked { member, status: AttemptStatus::Ok, report });
    }
}

fn sends(actions: &[Action]) -> Vec<(RequestId, MemberId)> {
    let send = |a: &Action| match a {
        Action::Send { request, member, .. } => Some((*request, *member)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn health_checks(actions: &[Action]) -> Vec<MemberId> {
    let health_check = |a: &Action| if let Action::HealthCheck { member } = a { Some(*member) } else { None };
    actions.iter().filter_map(health_check).collect()
}

fn final_answers(actions: &[Action]) -> Vec<(RequestId, bool)> {
    let end = |a: &Action| match a {
        Action::Reject { request, .. } => Some((*request, true)),
        Action::Fail { request } => Some((*request, false)),
        _ => None,
    };
    actions.iter().filter_map(end).collect()
}

#[test]
fn bounded_reads_follow_the_position_filter() {
    let mut harness = Harness::new(settings());
    assert_eq!(sends(&harness.request(BOUNDED, 1).1)[0].1, PRIMARY, "no position is known");
    let now = harness.now;
    harness.health_checked(REPLICA_1, now - Micros::millis(400));
    harness.health_checked(REPLICA_2, now - Micros::millis(900));
    for _ in 0..3 {
        assert_eq!(sends(&harness.request(BOUNDED, 1).1)[0].1, REPLICA_1);
    }
}

/// Guards the primaries of a large fleet, in which each gateway contacts a replica too rarely to know its
/// position. A read that no replica is known to cover has one replica checked and follows the answer, other
/// reads wait for the same answer, and only reads that no replica covers go to the primary.
#[test]
fn in_a_large_fleet_a_replica_is_checked_before_a_read_goes_to_the_primary() {
    // The fleet grows while the router runs.
    let mut harness = Harness::new(settings());
    harness.router.update_settings(Settings { gateways: 10, health_check_price: 0.08, ..settings() });
    harness.sweep(100);
    let behind = |harness: &Harness| Micros(harness.now.0 - 3_000_000);
    for member in [REPLICA_1, REPLICA_2] {
        let position = behind(&harness);
        harness.health_checked(member, position);
    }
    // Both replicas are known to be seconds behind: none is checked.
    let (id, actions) = harness.request(BOUNDED, 1);
    assert_eq!((sends(&actions), health_checks(&actions)), (vec![(id, PRIMARY)], vec![]));
    harness.finish_attempt(id, 0, PRIMARY, AttemptStatus::Ok, None);
    for member in [REPLICA_1, REPLICA_2] {
        let position = Micros(harness.now.0 - 20_000);
        harness.health_checked(member, position);
    }
    // Long after the last known positions, one health check serves two reads.
    harness.now = harness.now + Micros::millis(5_000);
    let (first, actions) = harness.request(BOUNDED, 1);
    let [member] = health_checks(&actions)[..] else { panic!("checked {:?}", health_checks(&actions)) };
    assert_eq!(sends(&actions), []);
    let (second, actions) = harness.request(BOUNDED, 2);
    assert_eq!((sends(&actions), health_checks(&actions)), (vec![], vec![]));
    harness.now = harness.now + Micros::millis(2);
    let report = HealthReport { position: Some(harness.now), role: Some(Role::Replica) };
    let mut sent = sends(&harness.event(Event::HealthChecked { member, status: AttemptStatus::Ok, report }));
    sent.sort();
    assert_eq!(sent, [(first, member), (second, member)]);
    // If the replica is behind, or does not answer in time, the read moves on: to the other replica, then to the
    // primary.
    harness.now = harness.now + Micros::millis(5_000);
    let (third, actions) = harness.request(BOUNDED, 3);
    let [member] = health_checks(&actions)[..] else { panic!("checked {:?}", health_checks(&actions)) };
    let report = HealthReport { position: Some(behind(&harness)), role: Some(Role::Replica) };
    let actions = harness.event(Event::HealthChecked { member, status: AttemptStatus::Ok, report });
    let [other] = health_checks(&actions)[..] else { panic!("checked {:?}", health_checks(&actions)) };
    assert!(other != member && sends(&actions).is_empty());
    assert_eq!(sends(&harness.sweep(30)), [(third, PRIMARY)]);
    // A primary that answers faster than the mean has spare capacity: no replica is checked.
    harness.finish_attempt(third, 0, PRIMARY, AttemptStatus::Ok, None);
    for member in [REPLICA_1, REPLICA_2] {
        let position = Micros(harness.now.0 - 20_000);
        harness.health_checked(member, position);
    }
    for _ in 0..30 {
        let (write, _) = harness.request(WRITE, 9);
        harness.finish_attempt(write, 0, PRIMARY, AttemptStatus::Ok, None);
    }
    harness.now = harness.now + Micros::millis(5_000);
    let (fourth, actions) = harness.request(BOUNDED, 4);
    assert_eq!((sends(&actions), health_checks(&actions)), (vec![(fourth, PRIMARY)], vec![]));
}

/// Guards classes with a short latency objective: a read waits for a health check for a fraction of its objective,
/// so that without an answer there is time for a second replica and the primary. With one fixed wait for all
/// classes, a read with an objective of 100 ms had no time left: it checked no replica and overloaded the primary.
#[test]
fn a_read_checks_a_replica_however_short_its_latency_objective() {
    for latency_objective in [40, 100, 300].map(Micros::millis) {
        let mut settings = fleet_settings(300);
        settings.replica_checks = ReplicaChecks::None;
        settings.classes[BOUNDED.0].latency_objective = latency_objective;
        let mut harness = Harness::new(settings);
        harness.sweep(100);
        for member in [REPLICA_1, REPLICA_2] {
            let position = Micros(harness.now.0 - 20_000);
            harness.health_checked(member, position);
        }
        harness.now = harness.now + Micros::millis(5_000);
        let (id, actions) = harness.request(BOUNDED, 1);
        assert_eq!(
            (sends(&actions), health_checks(&actions).len()),
            (vec![], 1),
            "objective {latency_objective:?}"
        );
        let (mut sent, mut others) = (vec![], 0);
        for _ in 0..latency_objective.0 / 1_000 {
            let actions = harness.sweep(1);
            others += health_checks(&actions).iter().filter(|member| **member != PRIMARY).count();
            sent.extend(sends(&actions));
        }
        assert_eq!((sent, others), (vec![(id, PRIMARY)], 1), "objective {latency_objective:?}");
    }
}

/// When a zone is lost, each gateway of a large fleet would lose request after request at each host of the zone:
/// after one attempt without an answer, the member is checked before it is used again.
#[test]
fn in_a_large_fleet_an_unresponsive_member_is_checked_before_the_next_send() {
    for (gateways, checks) in [(3, false), (10, true)] {
        let mut harness = Harness::new(Settings { gateways, health_check_price: 0.08, ..settings() });
        harness.sweep(100);
        let position = Micros(harness.now.0 - 20_000);
        harness.health_checked(REPLICA_1, position);
        let (id, actions) = harness.request(BOUNDED, 1);
        assert_eq!(sends(&actions), [(id, REPLICA_1)]);
        harness.now = harness.now + Micros::millis(100);
        harness.event(Event::ClientLeft(id));
        harness.finish_attempt(id, 0, REPLICA_1, AttemptStatus::Cancelled, None);
        harness.now = harness.now + Micros::millis(200);
        let (id, actions) = harness.request(BOUNDED, 1);
        assert_eq!(
            (!health_checks(&actions).is_empty(), sends(&actions).is_empty()),
            (checks, checks),
            "{gateways} gateways"
        );
        if checks {
            // An answer makes the member usable again, whatever position it reports.
            let report = HealthReport { position: Some(harness.now), role: Some(Role::Replica) };
            let answered = |member| Event::HealthChecked { member, status: AttemptStatus::Ok, report };
            let sent: Vec<_> = [REPLICA_1, REPLICA_2].map(|m| sends(&harness.event(answered(m)))).concat();
            assert_eq!(sent.len(), 1);
            assert_eq!(sent[0].0, id);
        }
    }
}

#[test]
fn a_position_never_goes_back() {
    let mut harness = Harness::new(settings());
    let now = harness.now;
    harness.health_checked(REPLICA_1, now - Micros::millis(100));
    harness.health_checked(REPLICA_1, now - Micros::millis(5000));
    assert_eq!(sends(&harness.request(BOUNDED, 1).1)[0].1, REPLICA_1);
}

#[test]
fn a_position_in_the_future_is_not_trusted() {
    let mut harness = Harness::new(settings());
    let now = harness.now;
    harness.health_checked(REPLICA_1, now + Micros::millis(60_000));
    harness.now = now + Micros::millis(600);
    assert_eq!(sends(&harness.request(BOUNDED, 1).1)[0].1, PRIMARY);
}

#[test]
fn a_session_reads_at_the_primary_until_a_replica_has_its_write() {
    let mut harness = Harness::new(settings());
    let (write, actions) = harness.request(WRITE, 5);
    assert_eq!(sends(&actions), [(write, PRIMARY)]);
    assert_eq!(sends(&harness.request(SESSION, 5).1)[0].1, PRIMARY, "its write is pending");
    assert_ne!(sends(&harness.request(SESSION, 6).1)[0].1, PRIMARY, "another session has written nothing");
    let commit = harness.now;
    harness.now = harness.now + Micros::millis(20);
    harness.finish_attempt(write, 0, PRIMARY, AttemptStatus::Ok, Some(commit));
    assert_eq!(sends(&harness.request(SESSION, 5).1)[0].1, PRIMARY, "no replica is known to have it");
    harness.health_checked(REPLICA_2, commit);
    assert_eq!(sends(&harness.request(SESSION, 5).1)[0].1, REPLICA_2);
}

/// A write in flight on a connection that stopped responding may have been committed, so the session's reads go only
/// to a primary, even while no primary is usable; reads of other sessions continue.
#[test]
fn a_session_with_a_write_in_flight_reads_at_no_replica_though_the_primary_is_ejected() {
    let mut harness = Harness::new(settings());
    for member in [REPLICA_1, REPLICA_2] {
        harness.health_checked(member, Micros::millis(99_990));
    }
    let (id, actions) = harness.request(WRITE, 7);
    assert_eq!(sends(&actions), [(id, PRIMARY)]);
    for _ in 0..3 {
        let (status, report) = (AttemptStatus::ConnectFailed, HealthReport::default());
        harness.event(Event::HealthChecked { member: PRIMARY, status, report });
    }
    assert_eq!(sends(&harness.request(SESSION, 7).1), []);
    assert_ne!(sends(&harness.request(SESSION, 8).1), []);
}

/// Guards a session that does not know whether its write ran: until a replica has passed the time at which the answer
/// was lost, or arrived without a position, the session reads at the primary. A write that never ran has no effect.
#[test]
fn a_lost_write_answer_binds_the_session_to_that_time() {
    let lost = [
        AttemptStatus::Timeout,
        AttemptStatus::Reset,
        AttemptStatus::Malformed,
        AttemptStatus::Error,
        AttemptStatus::Cancelled,
        AttemptStatus::Ok,
    ];
    let not_run = [
        AttemptStatus::Rejected,
        AttemptStatus::ConnectFailed,
        AttemptStatus::NotSent,
        AttemptStatus::Unsuitable,
    ];
    for status in lost.into_iter().chain(not_run) {
        let mut harness = Harness::new(Settings { max_attempts: 1, ..settings() });
        for member in [REPLICA_1, REPLICA_2] {
            harness.health_checked(member, Micros::millis(99_990));
        }
        let (id, actions) = harness.request(NON_IDEMPOTENT, 7);
        assert_eq!(sends(&actions), [(id, PRIMARY)]);
        harness.now = harness.now + Micros::millis(30);
        harness.finish_attempt(id, 0, PRIMARY, status, None);
        harness.event(Event::ClientLeft(id));
        let to = |harness: &mut Harness, session| {
            sends(&harness.request(SESSION, session).1).first().map(|(_, to)| *to)
        };
        let binds = to(&mut harness, 7) == Some(PRIMARY);
        assert_eq!(binds, lost.contains(&status), "{status:?}");
        assert_ne!(to(&mut harness, 8), Some(PRIMARY), "{status:?}: another session is not bound");
        let now = harness.now;
        harness.health_checked(REPLICA_2, now);
        assert!(!binds || to(&mut harness, 7) == Some(REPLICA_2), "{status:?}: the replica has passed it");
    }
}

/// Clients retry by themselves, so a request without capacity is rejected early, whatever an answer after the
/// latency objective would be worth. Where capacity is rarely short, it waits for a fraction of its objective; where
/// half of the requests are rejected, a waiting request would be late anyway and is rejected within a tenth of it.
#[test]
fn a_request_without_capacity_is_rejected_early() {
    let mut settings = settings();
    settings.classes[BOUNDED.0].late_weight = 0.2;
    for class in [BOUNDED, SESSION, WRITE, NON_IDEMPOTENT] {
        let mut harness = Harness::new(settings.clone());
        let lagging = Micros(harness.now.0 - 5_000_000);
        harness.health_checked(REPLICA_1, lagging);
        harness.health_checked(REPLICA_2, lagging);
        // Filled with writes: they stay open longer than reads.
        while !sends(&harness.request(WRITE, 100).1).is_empty() {}
        while !sends(&harness.request(BOUNDED, 100).1).is_empty() {}
        let wait_ms = |harness: &mut Harness| {
            let (last, _) = harness.request(class, 100);
            let rejected = |a: &Action| matches!(a, Action::Reject { request, retry_after: Some(_) } if *request == last);
            (1..200)
                .find(|_| harness.sweep(1).iter().any(rejected))
                .expect("rejected before its latency objective")
        };
        let normal = wait_ms(&mut harness);
        assert!((20..=65).contains(&normal), "{class:?} waits for {normal} ms");
        for _ in 0..100 {
            harness.request(class, 100);
        }
        harness.sweep(100);
        let overloaded = wait_ms(&mut harness);
        assert!(overloaded <= 20, "{class:?} waits for {overloaded} ms under overload");
    }
}

/// Guards the retry-after advice: the more requests are in flight in a group, the sooner one ends and frees capacity.
#[test]
fn a_rejected_client_retries_when_the_next_answer_is_due() {
    let retry_after_with = |in_flight: usize| {
        let mut harness = Harness::new(settings());
        for _ in 0..in_flight {
            harness.request(WRITE, 100);
        }
        harness.update_endpoints(EndpointUpdate::Full, vec![]);
        let (id, _) = harness.request(EVENTUAL, 1);
        let actions = harness.sweep(70);
        let advice = |a: &Action| match a {
            Action::Reject { request, retry_after } if *request == id => *retry_after,
            _ => None,
        };
        actions.iter().find_map(advice).expect("rejected with a retry-after")
    };
    let (idle, busy) = (retry_after_with(0), retry_after_with(3));
    assert!(busy.0.abs_diff(idle.0 / 4) <= 1, "{idle:?} with none in flight, {busy:?} with three");
}

/// Requests in flight at each of two replicas from this gateway, after `answers` answers. `latency_ratio` gives the
/// latency of the nth answer as a fraction of the latency objective.
fn in_flight_per_replica(gateways: u32, answers: u64, latency_ratio: impl Fn(u64) -> f64) -> f64 {
    let mut settings = fleet_settings(gateways);
    settings.classes = vec![class(Consistency::Eventual, Idempotency::Idempotent, 0.0)];
    let mut harness = Harness::new(settings);
    let mut in_flight = std::collections::VecDeque::new();
    let mut ended = 0;
    loop {
        loop {
            let (id, actions) = harness.request(ClassId(0), 1);
            let Some((_, member)) = sends(&actions).first().copied() else { break };
            in_flight.push_back((id, member));
        }
        if ended == answers {
            return in_flight.iter().filter(|(_, member)| *member != PRIMARY).count() as f64 / 2.0;
        }
        let (request, member) = in_flight.pop_front().expect("a request in flight");
        harness.now = harness.now + Micros::millis(5);
        ended += 1;
        let freed = harness.event(Event::Outcome(Outcome {
            request,
            attempt: AttemptNo(0),
            member,
            status: AttemptStatus::Ok,
            latency: Micros::millis(200).scale(latency_ratio(ended)),
            finished: true,
            role: Some(Role::Replica),
            position: None,
            report: HealthReport::default(),
        }));
        in_flight.extend(sends(&freed));
    }
}

/// Guards throughput where all answers are slow, for example because a shared dependency is: a concurrency limit that
/// fell to one running request left most cores of every member idle. The lower bound is shared by all gateways.
#[test]
fn members_that_are_all_slow_keep_their_cores_busy() {
    let alone = in_flight_per_replica(1, 400, |_| 1.2);
    assert!((5.0..=7.0).contains(&alone), "one gateway has {alone} in flight at a member");
    let of_five = in_flight_per_replica(5, 400, |_| 1.2);
    assert!(of_five <= 2.0, "one of five gateways has {of_five} in flight at a member");
}

/// Members continue to run cancelled requests: each one occupies capacity there for about the latency of one request,
/// and no longer.
#[test]
fn a_cancelled_request_occupies_capacity_until_it_is_done() {
    let mut settings = fleet_settings(1);
    settings.classes = vec![class(Consistency::Eventual, Idempotency::Idempotent, 0.0)];
    let mut harness = Harness::new(settings);
    harness
        .update_endpoints(EndpointUpdate::Full, vec![endpoint(REPLICA_1, EndpointState::Ready, Micros(0))]);
    let fill = |harness: &mut Harness| {
        let mut in_flight = Vec::new();
        loop {
            let (id, actions) = harness.request(ClassId(0), 1);
            if sends(&actions).is_empty() {
                return in_flight;
            }
            in_flight.push(id);
        }
    };
    let in_flight = fill(&mut harness);
    let capacity = in_flight.len();
    for id in in_flight {
        harness.event(Event::ClientLeft(id));
        harness.finish_attempt(id, 0, REPLICA_1, AttemptStatus::Cancelled, None);
    }
    let at_once = fill(&mut harness);
    assert!(at_once.len() * 2 < capacity, "{} sent at once after {capacity} were cancelled", at_once.len());
    for id in at_once {
        harness.finish_attempt(id, 0, REPLICA_1, AttemptStatus::Ok, None);
    }
    for _ in 0..40 {
        harness.sweep(50);
    }
    assert!(fill(&mut harness).len() >= 4);
}

/// Guards the concurrency limits against a few requests that cost many times the usual work: the others are
/// still served in time.
#[test]
fn a_few_expensive_requests_leave_capacity_for_the_others() {
    let usual = in_flight_per_replica(1, 3_000, |_| 0.18);
    let expensive = in_flight_per_replica(1, 3_000, |n| if n % 14 == 0 { 30.0 } else { 0.18 });
    assert!(expensive > 6.0, "{expensive} in flight at a member where {usual} are usual");
}

/// Guards session reads against a member that joins later with data older than a commit whose session was dropped
/// because all members known then had passed it.
#[test]
fn a_member_that_joins_late_must_pass_the_commits_of_dropped_sessions() {
    let mut harness = Harness::new(settings());
    let (id, _) = harness.request(WRITE, 5);
    let commit = harness.now;
    harness.finish_attempt(id, 0, PRIMARY, AttemptStatus::Ok, Some(commit));
    harness.sweep(100);
    harness.health_checked(REPLICA_1, commit);
    harness.health_checked(REPLICA_2, commit);
    harness.sweep(300);
    let late = MemberId(13);
    let draining = [REPLICA_1, REPLICA_2].map(|m| endpoint(m, EndpointState::Draining, Micros(0)));
    harness.update_endpoints(
        EndpointUpdate::Incremental,
        [&[endpoint(late, EndpointState::Ready, Micros(0))], &draining[..]].concat(),
    );
    harness.health_checked(late, Micros(commit.0 - 1));
    assert_eq!(sends(&harness.request(SESSION, 5).1)[0].1, PRIMARY);
    harness.health_checked(late, commit);
    assert_eq!(sends(&harness.request(SESSION, 5).1)[0].1, late);
}

/// Guards hosts against unnecessary handshakes of a large fleet: where a handshake has a price, reads stay with the
/// member that has an open connection, unless it is loaded.
#[test]
fn a_price_for_handshakes_keeps_reads_where_a_connection_is_open() {
    let moved = |handshake_price| {
        let mut harness = Harness::new(Settings { handshake_price, ..settings() });
        let mut moved = 0;
        for _ in 0..100 {
            // The second gap leaves both members idle, and is shorter than the idle timeout of connections.
            harness.now = harness.now + Micros::millis(16_000);
            let (id, actions) = harness.request(EVENTUAL, 1);
            let first = sends(&actions)[0].1;
            harness.finish_attempt(id, 0, first, AttemptStatus::Ok, None);
            harness.now = harness.now + Micros::millis(500);
            let (id, actions) = harness.request(EVENTUAL, 1);
            let second = sends(&actions)[0].1;
            harness.finish_attempt(id, 0, second, AttemptStatus::Ok, None);
            moved += u32::from(second != first);
        }
        moved
    };
    let (free, priced) = (moved(0.0), moved(0.08));
    assert!(free > 4 && priced < free / 2, "moved {free} and {priced} times");
}

#[test]
fn eventual_reads_skip_the_primary_and_spread_by_load() {
    let mut harness = Harness::new(settings());
    let mut count = BTreeMap::new();
    for _ in 0..10 {
        *count.entry(sends(&harness.request(EVENTUAL, 1).1)[0].1).or_insert(0) += 1;
    }
    assert_eq!(count.get(&PRIMARY), None);
    assert!(count[&REPLICA_1] >= 3 && count[&REPLICA_2] >= 3, "{count:?}");
}

/// In an incident, two members that rejected reads immediately attracted most of the traffic.
#[test]
fn a_member_that_fails_immediately_does_not_look_idle() {
    for status in [AttemptStatus::Rejected, AttemptStatus::Error] {
        let mut harness = Harness::new(settings());
        let mut count = BTreeMap::new();
        for _ in 0..60 {
            let (mut id, mut actions) = harness.request(EVENTUAL, 1);
            let mut no = 0;
            while let Some((request, member)) = sends(&actions).pop() {
                assert_eq!(request, id);
                *count.entry(member).or_insert(0) += 1;
                let status = if member == REPLICA_1 { status } else { AttemptStatus::Ok };
                actions = harness.finish_attempt(id, no, member, status, None);
                no += 1;
                id = request;
            }
            harness.sweep(10);
        }
        assert!(count[&REPLICA_1] * 3 < count[&REPLICA_2], "{status:?}: {count:?}");
    }
}

/// Queued requests that were sent oldest first were all abandoned just after they were sent.
#[test]
fn a_backlog_is_served_newest_first_and_the_oldest_rejected_early() {
    let mut harness = Harness::new(settings());
    let mut waiting = Vec::new();
    let mut running = Vec::new();
    while waiting.len() < 3 {
        let (id, actions) = harness.request(EVENTUAL, 1);
        match sends(&actions).first() {
            Some((_, member)) => running.push((id, *member)),
            None => waiting.push(id),
        }
    }
    harness.now = harness.now + Micros::millis(5);
    let mut sent = Vec::new();
    for (id, member) in running.drain(..3) {
        sent.extend(
            sends(&harness.finish_attempt(id, 0, member, AttemptStatus::Ok, None))
                .into_iter()
                .map(|(id, _)| id),
        );
    }
    assert_eq!(sent.first(), waiting.last());
    for _ in 0..4 {
        waiting.push(harness.request(EVENTUAL, 1).0);
    }
    let rejected = final_answers(&harness.sweep(90));
    assert!(!rejected.is_empty() && rejected.iter().all(|(_, is_reject)| *is_reject), "{rejected:?}");
}

#[test]
fn writes_come_before_reads_at_the_primary() {
    let mut harness = Harness::new(settings());
    let mut running = Vec::new();
    loop {
        let (id, actions) = harness.request(WRITE, 100);
        if sends(&actions).is_empty() {
            break;
        }
        running.push(id);
    }
    let (read, _) = harness.request(BOUNDED, 1);
    let freed = harness.finish_attempt(running[0], 0, PRIMARY, AttemptStatus::Ok, None);
    assert!(sends(&freed).iter().all(|(id, _)| *id != read), "a write was waiting: {freed:?}");
    assert_eq!(sends(&freed).len(), 1);
}

#[test]
fn a_non_idempotent_write_that_may_have_run_fails_immediately() {
    for status in
        [AttemptStatus::Error, AttemptStatus::Reset, AttemptStatus::Timeout, AttemptStatus::Cancelled]
    {
        let mut harness = Harness::new(settings());
        let (id, _) = harness.request(NON_IDEMPOTENT, 1);
        let actions = harness.finish_attempt(id, 0, PRIMARY, status, None);
        assert_eq!((sends(&actions), final_answers(&actions)), (vec![], vec![(id, false)]), "{status:?}");
    }
}

/// Guards a primary that is well against a slow start after a single reset: where no further attempt follows, a health
/// check shows that it still runs.
#[test]
fn a_reset_that_no_attempt_follows_is_followed_by_a_health_check() {
    for (health_checks, checked) in [(true, vec![PRIMARY]), (false, vec![])] {
        let mut harness = Harness::new(Settings { health_checks, ..settings() });
        let (id, _) = harness.request(NON_IDEMPOTENT, 1);
        harness.now = harness.now + Micros::millis(400);
        let actions = harness.finish_attempt(id, 0, PRIMARY, AttemptStatus::Reset, None);
        let check = |action: &Action| match action {
            Action::HealthCheck { member } => Some(*member),
            _ => None,
        };
        assert_eq!(actions.iter().filter_map(check).collect::<Vec<_>>(), checked, "{actions:?}");
    }
}

#[test]
fn a_non_idempotent_write_that_never_ran_is_retried() {
    let mut harness = Harness::new(settings());
    let (id, _) = harness.request(NON_IDEMPOTENT, 1);
    let mut actions = harness.finish_attempt(id, 0, PRIMARY, AttemptStatus::Rejected, None);
    for _ in 0..100 {
        assert_eq!(final_answers(&actions), []);
        if !sends(&actions).is_empty() {
            break;
        }
        actions = harness.sweep(10);
    }
    assert_eq!(sends(&actions), [(id, PRIMARY)]);
}

#[test]
fn a_write_with_a_key_is_retried_within_its_deduplication_window_only() {
    for (wait, again) in [(300, true), (1000, false)] {
        let mut harness = Harness::new(settings());
        let (id, _) = harness.request(WRITE, 1);
        let actions = harness.finish_attempt(id, 0, PRIMARY, AttemptStatus::Reset, None);
        assert_eq!((sends(&actions), final_answers(&actions)), (vec![(id, PRIMARY)], vec![]));
        let actions = harness.finish_attempt(id, 1, PRIMARY, AttemptStatus::Reset, None);
        let replica = sends(&actions)[0].1;
        assert_ne!(replica, PRIMARY, "its connection was reset twice");
        harness.finish_attempt(id, 2, replica, AttemptStatus::Unsuitable, None);
        harness.now = harness.now + Micros::millis(wait);
        let report = HealthReport { position: Some(harness.now), role: Some(Role::Primary) };
        let actions =
            harness.event(Event::HealthChecked { member: REPLICA_1, status: AttemptStatus::Ok, report });
        assert_eq!(sends(&actions) == [(id, REPLICA_1)], again, "after {wait} ms: {actions:?}");
    }
}

#[test]
fn reads_in_flight_at_a_member_that_went_down_are_retried_elsewhere() {
    let mut harness = Harness::new(settings());
    let (first, actions) = harness.request(EVENTUAL, 1);
    let member = sends(&actions)[0].1;
    let other = if member == REPLICA_1 { REPLICA_2 } else { REPLICA_1 };
    harness.event(Event::HealthChecked {
        member,
        status: AttemptStatus::ConnectFailed,
        report: HealthReport::default(),
    });
    assert_eq!(sends(&harness.sweep(2)), [(first, other)]);
}

#[test]
fn nothing_goes_to_a_member_that_is_draining_or_removed() {
    for listed in [EndpointState::Draining, EndpointState::Removed] {
        let mut harness = Harness::new(settings());
        harness.update_endpoints(EndpointUpdate::Incremental, vec![endpoint(REPLICA_1, listed, Micros(0))]);
        for _ in 0..6 {
            assert!(sends(&harness.request(EVENTUAL, 1).1).iter().all(|(_, m)| *m != REPLICA_1));
        }
    }
    let mut harness = Harness::new(settings());
    harness.update_endpoints(
        EndpointUpdate::Full,
        vec![
            endpoint(PRIMARY, EndpointState::Ready, Micros(0)),
            endpoint(REPLICA_2, EndpointState::Ready, Micros(0)),
        ],
    );
    assert!((0..6).all(|_| sends(&harness.request(EVENTUAL, 1).1).iter().all(|(_, m)| *m != REPLICA_1)));
}

/// All gateways together may send a member in slow start its overload multiple; each one alone keeps to its share of a
/// core.
#[test]
fn a_member_in_slow_start_gets_a_bounded_rate_even_when_it_rejects() {
    let mut harness = Harness::new(settings());
    let now = harness.now;
    harness.update_endpoints(EndpointUpdate::Full, vec![endpoint(REPLICA_1, EndpointState::Ready, now)]);
    let mut sent = 0;
    for _ in 0..2000 {
        let mut actions = harness.request(EVENTUAL, 1).1;
        actions.extend(harness.sweep(1));
        for (id, member) in sends(&actions) {
            sent += 1;
            harness.finish_attempt(id, 0, member, AttemptStatus::Rejected, None);
        }
    }
    // Two seconds at up to 0.36 of a core, in requests of 40 ms (a fifth of the latency objective), for one of two
    // gateways.
    assert!(sent > 0 && sent <= 2 * 9 + 5, "{sent}");
}

#[test]
fn unexpected_events_are_ignored() {
    let mut harness = Harness::new(settings());
    let (id, actions) = harness.request(EVENTUAL, 1);
    let member = sends(&actions)[0].1;
    harness.finish_attempt(id, 0, member, AttemptStatus::Ok, None);
    assert_eq!(harness.finish_attempt(id, 0, member, AttemptStatus::Ok, None), []);
    assert_eq!(harness.event(Event::ClientLeft(id)), []);
    assert_eq!(harness.event(Event::Timer(TimerId(99))), []);
    assert_eq!(harness.event(Event::Peer { from: PeerId(1), text: "hi".into() }), []);
    assert_eq!(harness.event(Event::Started { request: id }), []);
    harness.event(Event::HealthChecked {
        member: MemberId(999),
        status: AttemptStatus::Ok,
        report: HealthReport::default(),
    });
}

#[test]
fn without_members_a_request_is_rejected_in_time() {
    let mut harness = Harness::new(settings());
    harness.update_endpoints(EndpointUpdate::Full, vec![]);
    let (id, actions) = harness.request(EVENTUAL, 1);
    assert_eq!(sends(&actions), []);
    assert_eq!(final_answers(&harness.sweep(199)), [(id, true)]);
}

// ---- One gateway of a large fleet ----

fn fleet_settings(gateways: u32) -> Settings {
    Settings { gateways, replica_checks: ReplicaChecks::Reject, ..settings() }
}

/// Hundreds of gateways that each checked every member every second cost more than all requests that they served.
#[test]
fn requests_pay_for_health_checks() {
    let mut harness = Harness::new(Settings { health_check_price: 0.02, ..settings() });
    let mut checked = 0;
    for step in 0..2000 {
        let (id, mut actions) =
            if step % 40 == 0 { harness.request(EVENTUAL, 1) } else { (RequestId(0), vec![]) };
        for (_, member) in sends(&actions) {
            harness.finish_attempt(id, 0, member, AttemptStatus::Ok, None);
        }
        actions.extend(harness.sweep(10));
        for action in &actions {
            if let Action::HealthCheck { member } = action {
                checked += 1;
                harness.health_checked(*member, Micros(0));
            }
        }
    }
    // Fifty requests pay for a fifth of a health check each; the budget starts with four.
    assert!((1..=14).contains(&checked), "{checked} health checks");
}

/// Every idle gateway woke at every second tick, and a day-long run of hundreds was cut off because of its CPU usage.
#[test]
fn an_idle_gateway_sets_few_timers() {
    let mut harness = Harness::new(fleet_settings(500));
    let mut timers = 0;
    for _ in 0..1000 {
        let actions = harness.sweep(1);
        timers += actions.iter().filter(|a| matches!(a, Action::SetTimer { .. })).count();
    }
    assert!((1..=10).contains(&timers), "{timers} timers in a second");
}

/// All gateways sent a restarted member their first request at the same time, which overloaded it.
#[test]
fn all_gateways_together_limit_the_load_of_a_member_in_slow_start() {
    let (gateways, mut sent) = (200, 0);
    for seed in 0..gateways {
        let mut harness = Harness::new(fleet_settings(gateways));
        harness.router = Router::new(fleet_settings(gateways), u64::from(seed));
        let now = harness.now;
        let started = [PRIMARY, REPLICA_1]
            .map(|m| endpoint(m, EndpointState::Ready, if m == REPLICA_1 { now } else { Micros(0) }));
        harness.update_endpoints(EndpointUpdate::Full, started.to_vec());
        for step in 0..20 {
            let due = step == seed % 20;
            let mut actions = if due { harness.request(EVENTUAL, 1).1 } else { vec![] };
            actions.extend(harness.sweep(100));
            for (id, member) in sends(&actions) {
                sent += usize::from(member == REPLICA_1);
                harness.finish_attempt(id, 0, member, AttemptStatus::Ok, None);
            }
        }
    }
    // In its first 2 s a core does 2000 ms / 40 ms of work, times a mean warm-up ratio of 0.28, times the overload
    // multiple of 2. The gateways offer seven times that.
    assert!(sent > 0 && sent <= 28, "{sent} sends in two seconds");
}

/// New gateways that knew no position all tried the same replica first.
#[test]
fn new_gateways_spread_over_the_replicas() {
    let mut first = BTreeMap::new();
    for seed in 0..60 {
        let mut harness = Harness::new(fleet_settings(60));
        harness.router = Router::new(fleet_settings(60), seed);
        harness.update_endpoints(
            EndpointUpdate::Full,
            [PRIMARY, REPLICA_1, REPLICA_2].map(|m| endpoint(m, EndpointState::Ready, Micros(0))).to_vec(),
        );
        *first.entry(sends(&harness.request(BOUNDED, 1).1)[0].1).or_insert(0) += 1;
    }
    assert!(first[&REPLICA_1] > 15 && first[&REPLICA_2] > 15, "{first:?}");
}

/// A replica that rejected a read as too far behind gets no further read that needs data as recent, but still serves
/// eventual reads.
#[test]
fn an_unsuitable_answer_bounds_the_position_of_a_replica() {
    let mut harness = Harness::new(fleet_settings(2));
    let (id, mut actions) = harness.request(BOUNDED, 1);
    for no in 0..2 {
        let replica = sends(&actions)[0].1;
        assert_ne!(replica, PRIMARY);
        actions = harness.finish_attempt(id, no, replica, AttemptStatus::Unsuitable, None);
    }
    assert_eq!(sends(&actions), [(id, PRIMARY)]);
    assert_eq!(
        sends(&harness.request(BOUNDED, 1).1)[0].1,
        PRIMARY,
        "both have reported that they are behind"
    );
    assert_ne!(sends(&harness.request(EVENTUAL, 1).1)[0].1, PRIMARY);
}

/// The minimum limits of many gateways added up to five requests per core: a late answer must make each one pause.
#[test]
fn a_gateway_of_a_large_fleet_pauses_after_a_late_answer() {
    for (gateways, sends_again) in [(2, true), (500, false)] {
        let mut harness = Harness::new(fleet_settings(gateways));
        for member in [REPLICA_1, REPLICA_2] {
            let mut settings = fleet_settings(gateways);
            settings.classes[EVENTUAL.0].latency_objective = Micros::millis(5);
            let listed = [PRIMARY, member].map(|m| endpoint(m, EndpointState::Ready, Micros(0)));
            harness = Harness::new(settings);
            harness.update_endpoints(EndpointUpdate::Full, listed.to_vec());
            let (id, actions) = harness.request(EVENTUAL, 1);
            let tried = sends(&actions)[0].1;
            harness.finish_attempt(id, 0, tried, AttemptStatus::Ok, None);
        }
        let next = sends(&harness.request(EVENTUAL, 1).1);
        assert_eq!(
            next.first().is_some_and(|(_, m)| *m != PRIMARY),
            sends_again,
            "{gateways} gateways: {next:?}"
        );
    }
}

/// Strong reads can only go to the primary, but a gateway of a large fleet pauses it for tens of latencies after one
/// late answer. Reads that may go elsewhere wait for the end of the pause; strong reads do not.
#[test]
fn a_strong_read_ignores_the_pause_of_its_primary() {
    let mut settings = fleet_settings(300);
    settings.classes.push(class(Consistency::Strong, Idempotency::Idempotent, 0.0));
    let strong = ClassId(settings.classes.len() - 1);
    let mut harness = Harness::new(settings);
    harness.update_endpoints(EndpointUpdate::Full, vec![endpoint(PRIMARY, EndpointState::Ready, Micros(0))]);
    let (late, actions) = harness.request(BOUNDED, 1);
    assert_eq!(sends(&actions), [(late, PRIMARY)]);
    harness.now = harness.now + Micros::millis(190);
    harness.event(Event::ClientLeft(late));
    harness.finish_attempt(late, 0, PRIMARY, AttemptStatus::Cancelled, None);
    // The cancelled request is no longer counted as running; the pause is not over.
    harness.sweep(300);
    assert_eq!(sends(&harness.request(BOUNDED, 1).1), []);
    let (current, actions) = harness.request(strong, 1);
    assert_eq!(sends(&actions), [(current, PRIMARY)]);
    // While one is in flight at the primary, the limit applies as usual.
    assert_eq!(sends(&harness.request(strong, 1).1), []);
}

/// Every replica applies each write, so the primary gets fewer writes while replicas lag, but never none.
#[test]
fn lagging_replicas_reduce_writes() {
    let writes_sent = |lagging: &[MemberId]| {
        let mut settings = settings();
        settings.gateways = 1;
        let mut harness = Harness::new(settings);
        for member in [REPLICA_1, REPLICA_2] {
            let lag = if lagging.contains(&member) { 20_000 } else { 10 };
            let position = harness.now - Micros::millis(lag);
            harness.health_checked(member, position);
        }
        (0..100).take_while(|session| !sends(&harness.request(WRITE, *session).1).is_empty()).count()
    };
    let (none, one, both) =
        (writes_sent(&[]), writes_sent(&[REPLICA_2]), writes_sent(&[REPLICA_1, REPLICA_2]));
    assert!(none > one && one > both && both * 2 > none, "{none}, {one}, {both} writes");
}

/// Guards strong reads, which have no alternative: a primary at its limit for reads that may go elsewhere, or be
/// retried when a replica has caught up, still gets a limited number of strong reads.
#[test]
fn a_primary_at_its_limit_takes_some_strong_reads() {
    let mut settings = settings();
    settings.classes.push(class(Consistency::Strong, Idempotency::Idempotent, 0.0));
    let strong = ClassId(settings.classes.len() - 1);
    let mut harness = Harness::new(settings);
    harness.update_endpoints(EndpointUpdate::Full, vec![endpoint(PRIMARY, EndpointState::Ready, Micros(0))]);
    let count = |harness: &mut Harness, class| {
        let sent = |harness: &mut Harness| !sends(&harness.request(class, 1).1).is_empty();
        (0..100).take_while(|_| sent(harness)).count()
    };
    let (others, current) = (count(&mut harness, BOUNDED), count(&mut harness, strong));
    assert!((1..=others).contains(&current), "{current} strong reads after {others} bounded reads");
    assert_eq!(count(&mut harness, SESSION), 0);
}

// ---- Failing members, broken connections and wrong endpoint lists ----

/// Guards writes after a failover: the endpoint list names the old primary for seconds, and must not override the
/// roles that the members themselves have reported since.
#[test]
fn a_list_that_names_the_old_primary_overrides_no_reported_role() {
    let mut harness = Harness::new(settings());
    let (id, _) = harness.request(EVENTUAL, 1);
    let report = HealthReport { position: Some(harness.now), role: Some(Role::Primary) };
    harness.event(Event::ClientLeft(id));
    harness.event(Event::HealthChecked { member: REPLICA_1, status: AttemptStatus::Ok, report });
    for second in 1..=4 {
        harness.sweep(1_000);
        let old = [PRIMARY, REPLICA_1, REPLICA_2].map(|m| endpoint(m, EndpointState::Ready, Micros(0)));
        harness.update_endpoints(
            if second % 2 == 0 { EndpointUpdate::Full } else { EndpointUpdate::Incremental },
            old.to_vec(),
        );
        let (id, actions) = harness.request(WRITE, 7);
        assert_eq!(sends(&actions), [(id, REPLICA_1)], "{second} s after the failover");
        harness.finish_attempt(id, 0, REPLICA_1, AttemptStatus::Unsuitable, None);
        let report = HealthReport { position: Some(harness.now), role: Some(Role::Primary) };
        harness.event(Event::HealthChecked { member: REPLICA_1, status: AttemptStatus::Ok, report });
    }
}

/// Latencies are compared within the group: a member that is ten times slower than the other gets a small fraction of
/// the reads, but where both are slow they share the reads evenly.
#[test]
fn one_slow_member_loses_its_share_and_equally_slow_members_keep_theirs() {
    let share_of_first_replica = |slow: &[MemberId]| {
        let mut harness = Harness::new(settings());
        let mut counts = BTreeMap::new();
        for round in 0..600u64 {
            harness.sweep(10);
            let (request, actions) = harness.request(EVENTUAL, 1);
            let Some((_, member)) = sends(&actions).first().copied() else { continue };
            let latency = Micros::millis(if slow.contains(&member) { 100 } else { 10 });
            *counts.entry(member).or_insert(0) += u32::from(round >= 100);
            harness.event(Event::Outcome(Outcome {
                request,
                attempt: AttemptNo(0),
                member,
                status: AttemptStatus::Ok,
                latency,
                finished: true,
                role: Some(Role::Replica),
                position: None,
                report: HealthReport::default(),
            }));
        }
        let total: u32 = counts.values().sum();
        f64::from(counts.get(&REPLICA_1).copied().unwrap_or(0)) / f64::from(total)
    };
    let (one, both) = (share_of_first_replica(&[REPLICA_1]), share_of_first_replica(&[REPLICA_1, REPLICA_2]));
    assert!(one < 0.25, "a slow member gets {one}");
    assert!((0.35..=0.65).contains(&both), "one of two slow members gets {both}");
}

/// One reset ejected a member until its next health check; where answers were lost everywhere, no member was left.
#[test]
fn two_broken_connections_eject_a_member_and_one_does_not() {
    for (breaks, stays) in [(1, true), (2, false)] {
        let mut harness = Harness::new(Settings { health_checks: false, ..settings() });
        let mut broken = 0;
        while broken < breaks {
            let (id, actions) = harness.request(EVENTUAL, 1);
            let (mut no, mut target) = (0, sends(&actions)[0].1);
            if target == REPLICA_1 {
                broken += 1;
                let actions = harness.finish_attempt(id, no, REPLICA_1, AttemptStatus::Reset, None);
                (no, target) = (1, sends(&actions)[0].1);
            }
            harness.finish_attempt(id, no, target, AttemptStatus::Ok, None);
            if target == REPLICA_1 {
                broken = 0;
            }
        }
        let mut chosen = false;
        for _ in 0..30 {
            let (id, actions) = harness.request(EVENTUAL, 1);
            let target = sends(&actions)[0].1;
            chosen |= target == REPLICA_1;
            harness.finish_attempt(id, 0, target, AttemptStatus::Ok, None);
            harness.sweep(20);
        }
        assert_eq!(chosen, stays, "after {breaks} broken connections");
        harness.sweep(1000);
        let mut again = false;
        for _ in 0..30 {
            let (id, actions) = harness.request(EVENTUAL, 1);
            let target = sends(&actions)[0].1;
            again |= target == REPLICA_1;
            harness.finish_attempt(id, 0, target, AttemptStatus::Ok, None);
        }
        assert!(again, "an ejected member is used again later");
    }
}

/// Any member may send a malformed answer: it proves that the member is up and ejects nobody, and the read is retried
/// at another member.
#[test]
fn malformed_answers_eject_no_member() {
    let mut harness = Harness::new(Settings { health_checks: false, ..settings() });
    for _ in 0..3 {
        let (id, first) = harness.request(EVENTUAL, 1);
        let mut to = sends(&first)[0].1;
        for no in 0..2 {
            harness.now = harness.now + Micros::millis(20);
            let next = harness.finish_attempt(id, no, to, AttemptStatus::Malformed, None);
            let [(again, other)] = sends(&next)[..] else { panic!("not retried: {next:?}") };
            assert!(again == id && other != to);
            to = other;
        }
        harness.finish_attempt(id, 2, to, AttemptStatus::Ok, None);
    }
}

/// Requests that fail with an error at every member were retried at all of them.
#[test]
fn a_read_that_fails_at_two_members_is_not_retried() {
    let mut harness = Harness::new(settings());
    let (id, actions) = harness.request(EVENTUAL, 1);
    let first = sends(&actions)[0].1;
    let actions = harness.finish_attempt(id, 0, first, AttemptStatus::Error, None);
    let second = sends(&actions)[0].1;
    assert_ne!(first, second);
    let actions = harness.finish_attempt(id, 1, second, AttemptStatus::Error, None);
    assert_eq!((sends(&actions), final_answers(&actions)), (vec![], vec![(id, true)]));
}

#[test]
fn a_group_never_ejects_all_its_members() {
    let mut harness = Harness::new(settings());
    for member in [PRIMARY, REPLICA_1, REPLICA_2] {
        for _ in 0..2 {
            harness.event(Event::HealthChecked {
                member,
                status: AttemptStatus::Timeout,
                report: HealthReport::default(),
            });
        }
    }
    assert_eq!(sends(&harness.request(EVENTUAL, 1).1).len(), 1);
}

/// A list reported every live member as removed, and the router stopped using them although removed members may serve.
#[test]
fn removed_members_stay_in_use_where_they_may_serve() {
    for removed_may_serve in [false, true] {
        for drained in [false, true] {
            let mut harness = Harness::new(Settings { removed_may_serve, ..settings() });
            if drained {
                let drains =
                    [PRIMARY, REPLICA_1, REPLICA_2].map(|m| endpoint(m, EndpointState::Draining, Micros(0)));
                harness.update_endpoints(EndpointUpdate::Incremental, drains.to_vec());
            }
            harness.update_endpoints(EndpointUpdate::Full, vec![]);
            harness.sweep(300);
            let (id, actions) = harness.request(EVENTUAL, 1);
            assert_eq!(!sends(&actions).is_empty(), removed_may_serve && !drained);
            assert!(final_answers(&actions).is_empty());
            if let Some((_, member)) = sends(&actions).pop() {
                harness.finish_attempt(id, 0, member, AttemptStatus::Ok, None);
            }
            let back = [PRIMARY, REPLICA_1, REPLICA_2].map(|m| endpoint(m, EndpointState::Ready, Micros(0)));
            harness.update_endpoints(EndpointUpdate::Full, back.to_vec());
            let (id, actions) = harness.request(EVENTUAL, 1);
            assert!(
                sends(&actions).iter().any(|(sent, _)| *sent == id),
                "the correct list takes effect again"
            );
        }
    }
}

/// Idle connections were dropped without notice: requests sent on them never got an answer.
#[test]
fn idle_connections_that_lose_requests_are_closed_before_a_send() {
    for (gap, closes) in [(2000, true), (20, false)] {
        let mut harness = Harness::new(settings());
        let only = [PRIMARY, REPLICA_1].map(|m| endpoint(m, EndpointState::Ready, Micros(0)));
        harness.update_endpoints(EndpointUpdate::Full, only.to_vec());
        let (id, actions) = harness.request(EVENTUAL, 1);
        harness.finish_attempt(id, 0, sends(&actions)[0].1, AttemptStatus::Ok, None);
        let mut closed = 0;
        for _ in 0..8 {
            harness.sweep(gap);
            let (id, actions) = harness.request(EVENTUAL, 1);
            closed += actions.iter().filter(|a| matches!(a, Action::CloseIdle { .. })).count();
            if let Some((_, member)) = sends(&actions).pop() {
                harness.finish_attempt(id, 0, member, AttemptStatus::Cancelled, None);
                harness.event(Event::ClientLeft(id));
            }
        }
        assert_eq!(closed > 0, closes, "{gap} ms between sends: {closed} closed");
    }
}

/// Checks random events against a model of rules 1, 2, 3 and 5 and of the attempt limit, after every step.
#[test]
fn random_events_keep_the_rules() {
    for seed in 1..=6u64 {
        check_random(seed, seed % 2 == 0);
    }
}

#[derive(Clone)]
struct TrackedRequest {
    class: ClassId,
    deadline: Micros,
    sent: u32,
    first: Micros,
    out: Vec<(u32, MemberId)>,
    unproven: bool,
    done: bool,
}

fn check_random(seed: u64, removed_may_serve: bool) {
    let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mut random = move |n: u64| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state % n
    };
    let mut harness = Harness::new(Settings { removed_may_serve, ..settings() });
    // Whether the last listed state of a member, other than removed, was draining.
    let mut drained = BTreeMap::new();
    let mut all: BTreeMap<RequestId, TrackedRequest> = BTreeMap::new();
    let mut listed = BTreeMap::from([
        (PRIMARY, EndpointState::Ready),
        (REPLICA_1, EndpointState::Ready),
        (REPLICA_2, EndpointState::Ready),
    ]);
    let mut known: BTreeMap<MemberId, Micros> = BTreeMap::new();
    for step in 0..3000 {
        let out: Vec<(RequestId, u32, MemberId)> =
            all.iter().flat_map(|(id, t)| t.out.iter().map(|(no, m)| (*id, *no, *m))).collect();
        let actions = match random(10) {
            0..=2 => {
                let class = ClassId(random(5) as usize);
                let (id, actions) = harness.request(class, random(6));
                let deadline = harness.now + Micros::millis(2000);
                let (first, out) = (harness.now, Vec::new());
                all.insert(
                    id,
                    TrackedRequest { class, deadline, sent: 0, first, out, unproven: false, done: false },
                );
                actions
            }
            3..=5 if !out.is_empty() => {
                let (id, no, member) = out[random(out.len() as u64) as usize];
                let status = [
                    AttemptStatus::Ok,
                    AttemptStatus::Ok,
                    AttemptStatus::Ok,
                    AttemptStatus::Error,
                    AttemptStatus::Rejected,
                    AttemptStatus::Timeout,
                    AttemptStatus::ConnectFailed,
                    AttemptStatus::Reset,
                    AttemptStatus::Unsuitable,
                ][random(9) as usize];
                let track = all.get_mut(&id).expect("tracked");
                track.out.retain(|(n, _)| *n != no);
                let proved = matches!(
                    status,
                    AttemptStatus::Rejected
                        | AttemptStatus::ConnectFailed
                        | AttemptStatus::Unsuitable
                        | AttemptStatus::NotSent
                );
                track.unproven |= !proved;
                track.done |= status == AttemptStatus::Ok;
                let answered = matches!(
                    status,
                    AttemptStatus::Ok
                        | AttemptStatus::Rejected
                        | AttemptStatus::Unsuitable
                        | AttemptStatus::Error
                );
                let position = answered.then(|| harness.now - Micros::millis(random(1000)));
                if let Some(position) = position {
                    let best = known.entry(member).or_default();
                    *best = (*best).max(position);
                }
                harness.finish_attempt(id, no, member, status, position)
            }
            6 => {
                let member = [REPLICA_1, REPLICA_2][random(2) as usize];
                let states = [
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ];
                let state = states[random(5) as usize];
                listed.insert(member, state);
                if state != EndpointState::Removed {
                    drained.insert(member, state == EndpointState::Draining);
                }
                harness
                    .update_endpoints(EndpointUpdate::Incremental, vec![endpoint(member, state, Micros(0))])
            }
            7 => {
                let member = [PRIMARY, REPLICA_1, REPLICA_2][random(3) as usize];
                harness.event(Event::HealthChecked {
                    member,
                    status: AttemptStatus::Ok,
                    report: HealthReport::default(),
                })
            }
            _ => harness.sweep(2 + random(3)),
        };
        for action in &actions {
            match action {
                Action::Send { request, member, .. } => {
                    let track = all.get_mut(request).expect("a known request");
                    assert!(!track.done, "seed {seed} step {step}: sent after its final answer");
                    let binds = match listed[member] {
                        EndpointState::Ready => false,
                        EndpointState::Draining => true,
                        EndpointState::Removed => !removed_may_serve || drained.get(member) == Some(&true),
                    };
                    assert!(!binds, "seed {seed} step {step}: sent to {:?}", listed[member]);
                    let may_run = track.unproven || !track.out.is_empty();
                    match track.class {
                        NON_IDEMPOTENT => assert!(!may_run, "seed {seed} step {step}: write repeated"),
                        WRITE if may_run => assert!(harness.now < track.first + Micros::millis(900)),
                        BOUNDED if *member != PRIMARY => {
                            let position = known.get(member).copied().unwrap_or_default();
                            assert!(
                                position >= harness.now - Micros::millis(500),
                                "seed {seed} step {step}: stale"
                            );
                        }
                        _ => {}
                    }
                    if !may_run {
                        track.first = harness.now;
                    }
                    track.out.push((track.sent, *member));
                    track.sent += 1;
                    assert!(track.sent <= 4, "seed {seed} step {step}: over the attempt limit");
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    let track = all.get_mut(request).expect("a known request");
                    assert!(!track.done, "seed {seed} step {step}: two final answers");
                    track.done = true;
                    let may_run = track.unproven || !track.out.is_empty();
                    if matches!(action, Action::Reject { .. })
                        && [WRITE, NON_IDEMPOTENT].contains(&track.class)
                    {
                        assert!(!may_run, "seed {seed} step {step}: rejected though it may have run");
                    }
                }
                _ => {}
            }
        }
        let owed = |t: &&TrackedRequest| !t.done && harness.now >= t.deadline + Micros::millis(20);
        assert_eq!(
            all.values().filter(owed).count(),
            0,
            "seed {seed} step {step}: a final answer is overdue"
        );
    }
    let retried = all.values().filter(|t| t.sent > 1).count();
    assert!(all.len() > 500 && retried > 5, "{} requests, {retried} retried", all.len());
}

#[test]
fn the_same_seed_and_events_give_the_same_actions() {
    let run = || {
        let mut harness = Harness::new(settings());
        (0..50).flat_map(|i| harness.request(ClassId(i % 5), i as u64).1).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

/// Guards answers that arrive shortly before the latency objective: a read is not cancelled earlier than necessary,
/// nor so late that its client gets the rejection after the objective.
#[test]
fn a_read_is_rejected_one_tick_before_its_latency_objective() {
    let mut harness = Harness::new(settings());
    let (id, actions) = harness.request(BOUNDED, 1);
    assert_eq!(sends(&actions).len(), 1);
    assert!(final_answers(&harness.sweep(198)).is_empty());
    assert_eq!(final_answers(&harness.sweep(1)), [(id, true)]);
}

/// Guards lost hosts of a large fleet: the more gateways there are, the more rarely each one tries a member that is
/// down, and a newer start time in the endpoint list makes the member usable immediately.
#[test]
fn a_large_fleet_retries_a_down_member_rarely_until_it_restarts() {
    let down_time = |gateways, restarted: bool| {
        let mut harness = Harness::new(Settings { gateways, health_checks: false, ..settings() });
        harness.sweep(100);
        let broken = Event::HealthChecked {
            member: REPLICA_1,
            status: AttemptStatus::ConnectFailed,
            report: HealthReport::default(),
        };
        harness.event(broken);
        let since = harness.now;
        assert!(harness.router.is_down_or_ejected(REPLICA_1));
        if restarted {
            let new = endpoint(REPLICA_1, EndpointState::Ready, harness.now);
            harness.update_endpoints(EndpointUpdate::Incremental, vec![new]);
        }
        while harness.router.is_down_or_ejected(REPLICA_1) {
            harness.sweep(100);
        }
        harness.now - since
    };
    assert!(down_time(3, false) <= Micros::millis(1_200));
    assert!(down_time(100, false) >= Micros::millis(4_500) && down_time(100, false) <= Micros::millis(6_000));
    assert_eq!(down_time(100, true), Micros(0));
}

/// Guards unusual settings: whatever the number of gateways and the prices, a read is sent, or waits for a health
/// check, and is answered once. Only a gateway of a large fleet checks first, and only where a check is cheap.
#[test]
fn any_number_of_gateways_and_any_price_serve_a_read() {
    for gateways in [0, 1, 3, 100, 300, 1_000, 3_000] {
        for price in [0.0, 0.08, 40.0] {
            let prices = Settings { health_check_price: price, handshake_price: price, ..settings() };
            let mut harness = Harness::new(Settings { gateways, cross_zone_price: price, ..prices });
            // Uses up the budget of periodic health checks.
            for _ in 0..3 {
                harness.sweep(1_000);
                for member in [PRIMARY, REPLICA_1, REPLICA_2] {
                    let position = Micros(harness.now.0 - 20_000);
                    harness.health_checked(member, position);
                }
            }
            harness.now = harness.now + Micros::millis(3_000);
            let (id, mut actions) = harness.request(BOUNDED, 1);
            let checks_first = sends(&actions).is_empty();
            assert_eq!(checks_first, gateways > 4 && price < 0.25, "{gateways} gateways, price {price}");
            if checks_first {
                // No member answers the health checks.
                actions = (0..30).flat_map(|_| harness.sweep(2)).collect();
            }
            let sent = sends(&actions);
            assert_eq!(sent.len(), 1, "{gateways} gateways, price {price}");
            assert_eq!(sent[0].0, id);
            harness.finish_attempt(id, 0, sent[0].1, AttemptStatus::Ok, Some(harness.now));
            assert_eq!(final_answers(&harness.sweep(3_000)), []);
        }
    }
}

/// Guards the order of the queue where the priority weight is per unit of work: the request with the higher weight
/// per work goes first, however long it takes.
#[test]
fn the_priority_weight_is_per_request_or_per_work() {
    for (weight_basis, first) in [(WeightBasis::Request, SESSION), (WeightBasis::Work, EVENTUAL)] {
        let mut settings = Settings { weight_basis, ..settings() };
        // Until latencies are known, twice the latency objective is taken as twice the work.
        (settings.classes[EVENTUAL.0].latency_objective, settings.classes[EVENTUAL.0].priority_weight) =
            (Micros::millis(400), 1.5);
        let mut harness = Harness::new(settings);
        harness.update_endpoints(
            EndpointUpdate::Full,
            [PRIMARY, REPLICA_1, REPLICA_2].map(|m| endpoint(m, EndpointState::Draining, Micros(0))).to_vec(),
        );
        let mut ids = BTreeMap::new();
        for class in [SESSION, EVENTUAL] {
            let (id, actions) = harness.request(class, 1);
            assert!(sends(&actions).is_empty(), "no member may be used");
            ids.insert(id, class);
        }
        harness.update_endpoints(
            EndpointUpdate::Full,
            [PRIMARY, REPLICA_1, REPLICA_2].map(|m| endpoint(m, EndpointState::Ready, Micros(0))).to_vec(),
        );
        let sent: Vec<ClassId> = sends(&harness.sweep(10)).iter().map(|(id, _)| ids[id]).collect();
        assert_eq!(sent.first(), Some(&first), "{weight_basis:?}: {sent:?}");
    }
}

/// Guards bounded reads where the list moves a member to another group: neither its position in the log of the old
/// group nor its role there is valid in the new one.
#[test]
fn a_member_that_moves_to_another_group_loses_its_position_and_role() {
    let mut harness = Harness::new(settings());
    let now = harness.now;
    harness.health_checked(REPLICA_1, now);
    harness.finish_attempt(RequestId(0), 0, REPLICA_1, AttemptStatus::Ok, None);
    let other = GroupId(2);
    let moved = [(REPLICA_1, false), (MemberId(20), true)].map(|(member, primary)| Endpoint {
        group: other,
        primary,
        ..endpoint(member, EndpointState::Ready, Micros(0))
    });
    harness.update_endpoints(EndpointUpdate::Incremental, moved.to_vec());
    let request = |harness: &mut Harness, id| {
        let time_left = Micros::millis(2000);
        let (session, committed, tenant, repeat) = (None, None, None, false);
        let (id, class) = (RequestId(id), BOUNDED);
        harness.event(Event::Request(Request {
            id,
            class,
            group: other,
            session,
            committed,
            tenant,
            repeat,
            time_left,
        }))
    };
    assert_eq!(sends(&request(&mut harness, 900)), [(RequestId(900), MemberId(20))]);
    let report = HealthReport { position: Some(now), role: Some(Role::Replica) };
    harness.event(Event::HealthChecked { member: REPLICA_1, status: AttemptStatus::Ok, report });
    assert_eq!(sends(&request(&mut harness, 901)), [(RequestId(901), REPLICA_1)]);
}

/// An answer that a primary gave before its demotion may arrive, on another connection, after the one that reports it
/// as a replica. Positions never go back, so they show which of the two answers is newer.
#[test]
fn an_older_role_report_that_arrives_later_is_ignored() {
    for (behind, equal) in [(50, false), (0, true)] {
        let mut harness = Harness::new(settings());
        let (late, actions) = harness.request(WRITE, 1);
        assert_eq!(sends(&actions), [(late, PRIMARY)]);
        let stalled_at = harness.now;
        harness.now = harness.now + Micros::millis(20);
        let outcome = |request, member, status, role, position| {
            Event::Outcome(Outcome {
                request,
                attempt: AttemptNo(0),
                member,
                status,
                latency: Micros::millis(20),
                finished: false,
                role: Some(role),
                position: Some(position),
                report: HealthReport::default(),
            })
        };
        let (second, _) = harness.request(WRITE, 2);
        harness.event(outcome(second, PRIMARY, AttemptStatus::Unsuitable, Role::Replica, stalled_at));
        harness.now = harness.now + Micros::millis(20);
        harness.event(outcome(
            late,
            PRIMARY,
            AttemptStatus::Rejected,
            Role::Primary,
            stalled_at - Micros::millis(behind),
        ));
        // By now its position as a replica covers no bounded read.
        harness.now = harness.now + Micros::millis(600);
        let (_, actions) = harness.request(BOUNDED, 3);
        let sent: Vec<MemberId> = sends(&actions).iter().map(|(_, member)| *member).collect();
        assert!(!sent.contains(&PRIMARY), "equal {equal}: {sent:?}");
    }
}
