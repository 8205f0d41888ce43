//! The router through its public API: the design's path, the five rules, and each failure found.

use std::collections::BTreeMap;

use dunemount::*;

const GROUP: GroupId = GroupId(1);
const PRIMARY: MemberId = MemberId(10);
const NEAR: MemberId = MemberId(11);
const FAR: MemberId = MemberId(12);
const BOUNDED: ClassId = ClassId(0);
const SESSION: ClassId = ClassId(1);
const ANY: ClassId = ClassId(2);
const WRITE: ClassId = ClassId(3);
const UNSAFE: ClassId = ClassId(4);

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

/// A router with a clock, and what it asked for last.
struct Harness {
    router: Router,
    now: Micros,
    next: u64,
}

impl Harness {
    fn new(settings: Settings) -> Harness {
        let mut harness = Harness { router: Router::new(settings, 7), now: Micros::millis(100_000), next: 0 };
        harness.list(
            EndpointUpdate::Full,
            [PRIMARY, NEAR, FAR].map(|m| endpoint(m, EndpointState::Ready, Micros(0))).to_vec(),
        );
        harness
    }

    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    fn list(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) -> Vec<Action> {
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

    fn end(
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
    let probe = |a: &Action| if let Action::HealthCheck { member } = a { Some(*member) } else { None };
    actions.iter().filter_map(probe).collect()
}

fn finals(actions: &[Action]) -> Vec<(RequestId, bool)> {
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
    harness.health_checked(NEAR, now - Micros::millis(400));
    harness.health_checked(FAR, now - Micros::millis(900));
    for _ in 0..3 {
        assert_eq!(sends(&harness.request(BOUNDED, 1).1)[0].1, NEAR);
    }
}

/// Guards primaries of a large fleet, where each driver meets a replica too seldom to know its position: a
/// read that no replica is known to cover asks one and follows its word, others wait for the same word, and
/// only what no replica covers goes to the primary.
#[test]
fn one_of_many_asks_a_replica_before_a_read_goes_to_the_primary() {
    // The fleet has grown while the router ran.
    let mut harness = Harness::new(settings());
    harness.router.update_settings(Settings { gateways: 10, health_check_price: 0.08, ..settings() });
    harness.sweep(100);
    let behind = |harness: &Harness| Micros(harness.now.0 - 3_000_000);
    for member in [NEAR, FAR] {
        let word = behind(&harness);
        harness.health_checked(member, word);
    }
    // Both are seconds behind as far as is known: nobody is asked.
    let (id, actions) = harness.request(BOUNDED, 1);
    assert_eq!((sends(&actions), health_checks(&actions)), (vec![(id, PRIMARY)], vec![]));
    harness.end(id, 0, PRIMARY, AttemptStatus::Ok, None);
    for member in [NEAR, FAR] {
        let word = Micros(harness.now.0 - 20_000);
        harness.health_checked(member, word);
    }
    // Long after their last word, one is asked for two reads.
    harness.now = harness.now + Micros::millis(5_000);
    let (first, actions) = harness.request(BOUNDED, 1);
    let [member] = health_checks(&actions)[..] else { panic!("asked {:?}", health_checks(&actions)) };
    assert_eq!(sends(&actions), []);
    let (second, actions) = harness.request(BOUNDED, 2);
    assert_eq!((sends(&actions), health_checks(&actions)), (vec![], vec![]));
    harness.now = harness.now + Micros::millis(2);
    let report = HealthReport { position: Some(harness.now), role: Some(Role::Replica) };
    let mut sent = sends(&harness.event(Event::HealthChecked { member, status: AttemptStatus::Ok, report }));
    sent.sort();
    assert_eq!(sent, [(first, member), (second, member)]);
    // The word of one that is behind, or none in time, sends the next on: to the other, then to the primary.
    harness.now = harness.now + Micros::millis(5_000);
    let (third, actions) = harness.request(BOUNDED, 3);
    let [member] = health_checks(&actions)[..] else { panic!("asked {:?}", health_checks(&actions)) };
    let report = HealthReport { position: Some(behind(&harness)), role: Some(Role::Replica) };
    let actions = harness.event(Event::HealthChecked { member, status: AttemptStatus::Ok, report });
    let [other] = health_checks(&actions)[..] else { panic!("asked {:?}", health_checks(&actions)) };
    assert!(other != member && sends(&actions).is_empty());
    assert_eq!(sends(&harness.sweep(30)), [(third, PRIMARY)]);
    // A primary that answers faster than the mean has room to spare: nobody is asked.
    harness.end(third, 0, PRIMARY, AttemptStatus::Ok, None);
    for member in [NEAR, FAR] {
        let word = Micros(harness.now.0 - 20_000);
        harness.health_checked(member, word);
    }
    for _ in 0..30 {
        let (write, _) = harness.request(WRITE, 9);
        harness.end(write, 0, PRIMARY, AttemptStatus::Ok, None);
    }
    harness.now = harness.now + Micros::millis(5_000);
    let (fourth, actions) = harness.request(BOUNDED, 4);
    assert_eq!((sends(&actions), health_checks(&actions)), (vec![(fourth, PRIMARY)], vec![]));
}

/// Guards classes with short aims: a read waits for the word for a part of its aim, and one that hears nothing
/// has time for a second replica and the primary. With a wait of its own length for all of them a read
/// with an aim of 100 ms had none to spare: it asked nobody and crowded the primary.
#[test]
fn a_read_asks_a_replica_however_short_its_aim() {
    for latency_objective in [40, 100, 300].map(Micros::millis) {
        let mut settings = one_of(300);
        settings.replica_checks = ReplicaChecks::None;
        settings.classes[BOUNDED.0].latency_objective = latency_objective;
        let mut harness = Harness::new(settings);
        harness.sweep(100);
        for member in [NEAR, FAR] {
            let word = Micros(harness.now.0 - 20_000);
            harness.health_checked(member, word);
        }
        harness.now = harness.now + Micros::millis(5_000);
        let (id, actions) = harness.request(BOUNDED, 1);
        assert_eq!(
            (sends(&actions), health_checks(&actions).len()),
            (vec![], 1),
            "aim {latency_objective:?}"
        );
        let (mut sent, mut others) = (vec![], 0);
        for _ in 0..latency_objective.0 / 1_000 {
            let actions = harness.sweep(1);
            others += health_checks(&actions).iter().filter(|member| **member != PRIMARY).count();
            sent.extend(sends(&actions));
        }
        assert_eq!((sent, others), (vec![(id, PRIMARY)], 1), "aim {latency_objective:?}");
    }
}

/// Guards a large fleet against a lost zone, where each driver would lose request after request at each of
/// its hosts: after one attempt without any word the member is asked before it is used again.
#[test]
fn one_of_many_asks_a_member_that_fell_silent_before_it_sends_again() {
    for (gateways, asks) in [(3, false), (10, true)] {
        let mut harness = Harness::new(Settings { gateways, health_check_price: 0.08, ..settings() });
        harness.sweep(100);
        let word = Micros(harness.now.0 - 20_000);
        harness.health_checked(NEAR, word);
        let (id, actions) = harness.request(BOUNDED, 1);
        assert_eq!(sends(&actions), [(id, NEAR)]);
        harness.now = harness.now + Micros::millis(100);
        harness.event(Event::ClientLeft(id));
        harness.end(id, 0, NEAR, AttemptStatus::Cancelled, None);
        harness.now = harness.now + Micros::millis(200);
        let (id, actions) = harness.request(BOUNDED, 1);
        assert_eq!(
            (!health_checks(&actions).is_empty(), sends(&actions).is_empty()),
            (asks, asks),
            "{gateways} gateways"
        );
        if asks {
            // Its word, whatever it says of its position, brings it back.
            let report = HealthReport { position: Some(harness.now), role: Some(Role::Replica) };
            let answered = |member| Event::HealthChecked { member, status: AttemptStatus::Ok, report };
            let sent: Vec<_> = [NEAR, FAR].map(|m| sends(&harness.event(answered(m)))).concat();
            assert_eq!(sent.len(), 1);
            assert_eq!(sent[0].0, id);
        }
    }
}

#[test]
fn a_position_never_goes_back() {
    let mut harness = Harness::new(settings());
    let now = harness.now;
    harness.health_checked(NEAR, now - Micros::millis(100));
    harness.health_checked(NEAR, now - Micros::millis(5000));
    assert_eq!(sends(&harness.request(BOUNDED, 1).1)[0].1, NEAR);
}

#[test]
fn a_position_from_the_future_is_not_believed() {
    let mut harness = Harness::new(settings());
    let now = harness.now;
    harness.health_checked(NEAR, now + Micros::millis(60_000));
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
    harness.end(write, 0, PRIMARY, AttemptStatus::Ok, Some(commit));
    assert_eq!(sends(&harness.request(SESSION, 5).1)[0].1, PRIMARY, "no replica is known to have it");
    harness.health_checked(FAR, commit);
    assert_eq!(sends(&harness.request(SESSION, 5).1)[0].1, FAR);
}

/// Guards a write that is out on a connection gone silent: its host may have committed it, so the session's reads go
/// nowhere but to a primary, also while none can be used; other sessions' reads go on.
#[test]
fn a_session_whose_write_is_out_reads_at_no_replica_though_the_primary_is_ejected() {
    let mut harness = Harness::new(settings());
    for member in [NEAR, FAR] {
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

/// Guards a clerk who was not told whether the write ran: until a replica has come past the moment at which its
/// answer was lost, or came without a position, the session reads at the primary. What never ran binds nobody.
#[test]
fn a_session_whose_writes_answer_was_lost_reads_on_from_that_moment() {
    let lost = [
        AttemptStatus::Timeout,
        AttemptStatus::Reset,
        AttemptStatus::Malformed,
        AttemptStatus::Error,
        AttemptStatus::Cancelled,
        AttemptStatus::Ok,
    ];
    let unrun = [
        AttemptStatus::Rejected,
        AttemptStatus::ConnectFailed,
        AttemptStatus::NotSent,
        AttemptStatus::Unsuitable,
    ];
    for status in lost.into_iter().chain(unrun) {
        let mut harness = Harness::new(Settings { max_attempts: 1, ..settings() });
        for member in [NEAR, FAR] {
            harness.health_checked(member, Micros::millis(99_990));
        }
        let (id, actions) = harness.request(UNSAFE, 7);
        assert_eq!(sends(&actions), [(id, PRIMARY)]);
        harness.now = harness.now + Micros::millis(30);
        harness.end(id, 0, PRIMARY, status, None);
        harness.event(Event::ClientLeft(id));
        let to = |harness: &mut Harness, session| {
            sends(&harness.request(SESSION, session).1).first().map(|(_, to)| *to)
        };
        let binds = to(&mut harness, 7) == Some(PRIMARY);
        assert_eq!(binds, lost.contains(&status), "{status:?}");
        assert_ne!(to(&mut harness, 8), Some(PRIMARY), "{status:?}: another session is held to nothing");
        let now = harness.now;
        harness.health_checked(FAR, now);
        assert!(!binds || to(&mut harness, 7) == Some(FAR), "{status:?}: it has come past");
    }
}

/// Guards clients that come again by themselves: what finds no room is refused early, whatever an answer after the
/// aim would be worth. Where room is seldom short it waits for a part of its aim; where half of what comes is
/// refused, who waits is late all the same and is told within a tenth.
#[test]
fn a_request_without_room_is_refused_early() {
    let mut settings = settings();
    settings.classes[BOUNDED.0].late_weight = 0.2;
    for class in [BOUNDED, SESSION, WRITE, UNSAFE] {
        let mut harness = Harness::new(settings.clone());
        let lagging = Micros(harness.now.0 - 5_000_000);
        harness.health_checked(NEAR, lagging);
        harness.health_checked(FAR, lagging);
        // Filled with writes: their answers are owed longer than those of reads.
        while !sends(&harness.request(WRITE, 100).1).is_empty() {}
        while !sends(&harness.request(BOUNDED, 100).1).is_empty() {}
        let held = |harness: &mut Harness| {
            let (last, _) = harness.request(class, 100);
            let refused = |a: &Action| matches!(a, Action::Reject { request, retry_after: Some(_) } if *request == last);
            (1..200).find(|_| harness.sweep(1).iter().any(refused)).expect("refused before its aim")
        };
        let calm = held(&mut harness);
        assert!((20..=65).contains(&calm), "{class:?} is held for {calm} ms");
        for _ in 0..100 {
            harness.request(class, 100);
        }
        harness.sweep(100);
        let crowded = held(&mut harness);
        assert!(crowded <= 20, "{class:?} is held for {crowded} ms in a crowd");
    }
}

/// Guards the advice: the more is under way in a family, the sooner one of it ends and leaves room.
#[test]
fn a_refused_client_comes_again_about_when_the_next_answer_is_due() {
    let advice = |out: usize| {
        let mut harness = Harness::new(settings());
        for _ in 0..out {
            harness.request(WRITE, 100);
        }
        harness.list(EndpointUpdate::Full, vec![]);
        let (id, _) = harness.request(ANY, 1);
        let actions = harness.sweep(70);
        let told = |a: &Action| match a {
            Action::Reject { request, retry_after } if *request == id => *retry_after,
            _ => None,
        };
        actions.iter().find_map(told).expect("refused with advice")
    };
    let (idle, busy) = (advice(0), advice(3));
    assert!(busy.0.abs_diff(idle.0 / 4) <= 1, "{idle:?} with nothing under way, {busy:?} with three");
}

/// How many requests a replica of two holds at once for this driver, after so many answers that took parts of
/// their aim that a function of their number tells.
fn held_after(gateways: u32, answers: u64, part: impl Fn(u64) -> f64) -> f64 {
    let mut settings = one_of(gateways);
    settings.classes = vec![class(Consistency::Eventual, Idempotency::Idempotent, 0.0)];
    let mut harness = Harness::new(settings);
    let mut out = std::collections::VecDeque::new();
    let mut ended = 0;
    loop {
        loop {
            let (id, actions) = harness.request(ClassId(0), 1);
            let Some((_, member)) = sends(&actions).first().copied() else { break };
            out.push_back((id, member));
        }
        if ended == answers {
            return out.iter().filter(|(_, member)| *member != PRIMARY).count() as f64 / 2.0;
        }
        let (request, member) = out.pop_front().expect("something is out");
        harness.now = harness.now + Micros::millis(5);
        ended += 1;
        let freed = harness.event(Event::Outcome(Outcome {
            request,
            attempt: AttemptNo(0),
            member,
            status: AttemptStatus::Ok,
            latency: Micros::millis(200).scale(part(ended)),
            finished: true,
            role: Some(Role::Replica),
            position: None,
            report: HealthReport::default(),
        }));
        out.extend(sends(&freed));
    }
}

/// Guards throughput where all answers are slow, as when something that all members depend on is: a limit that
/// fell to one request running left most cores of every member idle. The floor is one over all drivers.
#[test]
fn members_that_are_all_slow_keep_their_cores_at_work() {
    let alone = held_after(1, 400, |_| 1.2);
    assert!((5.0..=7.0).contains(&alone), "one driver holds {alone} at a member");
    let of_five = held_after(5, 400, |_| 1.2);
    assert!(of_five <= 2.0, "one of five holds {of_five} at a member");
}

/// Guards members that go on with what was called off: each such request takes room there for about as long as one
/// takes, and no longer.
#[test]
fn what_was_called_off_takes_room_until_it_is_done() {
    let mut settings = one_of(1);
    settings.classes = vec![class(Consistency::Eventual, Idempotency::Idempotent, 0.0)];
    let mut harness = Harness::new(settings);
    harness.list(EndpointUpdate::Full, vec![endpoint(NEAR, EndpointState::Ready, Micros(0))]);
    let fill = |harness: &mut Harness| {
        let mut out = Vec::new();
        loop {
            let (id, actions) = harness.request(ClassId(0), 1);
            if sends(&actions).is_empty() {
                return out;
            }
            out.push(id);
        }
    };
    let out = fill(&mut harness);
    let room = out.len();
    for id in out {
        harness.event(Event::ClientLeft(id));
        harness.end(id, 0, NEAR, AttemptStatus::Cancelled, None);
    }
    let at_once = fill(&mut harness);
    assert!(at_once.len() * 2 < room, "{} at once where {room} were called off", at_once.len());
    for id in at_once {
        harness.end(id, 0, NEAR, AttemptStatus::Ok, None);
    }
    for _ in 0..40 {
        harness.sweep(50);
    }
    assert!(fill(&mut harness).len() >= 4);
}

/// Guards the limits against a few requests that cost many times the usual work: the others are in time.
#[test]
fn a_few_heavy_requests_do_not_shut_the_rest_out() {
    let usual = held_after(1, 3_000, |_| 0.18);
    let heavy = held_after(1, 3_000, |n| if n % 14 == 0 { 30.0 } else { 0.18 });
    assert!(heavy > 6.0, "{heavy} at a member where it was {usual}");
}

/// Guards session reads against a member that joins later, from a copy older than a commit whose
/// session was forgotten because all members of its time had passed it.
#[test]
fn a_member_that_joins_late_has_to_reach_forgotten_commits() {
    let mut harness = Harness::new(settings());
    let (id, _) = harness.request(WRITE, 5);
    let commit = harness.now;
    harness.end(id, 0, PRIMARY, AttemptStatus::Ok, Some(commit));
    harness.sweep(100);
    harness.health_checked(NEAR, commit);
    harness.health_checked(FAR, commit);
    harness.sweep(300);
    let late = MemberId(13);
    let draining = [NEAR, FAR].map(|m| endpoint(m, EndpointState::Draining, Micros(0)));
    harness.list(
        EndpointUpdate::Incremental,
        [&[endpoint(late, EndpointState::Ready, Micros(0))], &draining[..]].concat(),
    );
    harness.health_checked(late, Micros(commit.0 - 1));
    assert_eq!(sends(&harness.request(SESSION, 5).1)[0].1, PRIMARY);
    harness.health_checked(late, commit);
    assert_eq!(sends(&harness.request(SESSION, 5).1)[0].1, late);
}

/// Guards hosts and prices against handshakes that a large fleet needs not: where one costs something, reads
/// stay with the member that has a connection open, unless it is loaded.
#[test]
fn a_price_for_handshakes_keeps_reads_where_a_connection_is_open() {
    let moved = |handshake_price| {
        let mut harness = Harness::new(Settings { handshake_price, ..settings() });
        let mut moved = 0;
        for _ in 0..100 {
            // Long enough apart that both are idle, and no longer than a connection stays open.
            harness.now = harness.now + Micros::millis(16_000);
            let (id, actions) = harness.request(ANY, 1);
            let first = sends(&actions)[0].1;
            harness.end(id, 0, first, AttemptStatus::Ok, None);
            harness.now = harness.now + Micros::millis(500);
            let (id, actions) = harness.request(ANY, 1);
            let second = sends(&actions)[0].1;
            harness.end(id, 0, second, AttemptStatus::Ok, None);
            moved += u32::from(second != first);
        }
        moved
    };
    let (free, dear) = (moved(0.0), moved(0.08));
    assert!(free > 4 && dear < free / 2, "moved {free} and {dear} times");
}

#[test]
fn any_reads_leave_the_primary_out_and_spread_by_load() {
    let mut harness = Harness::new(settings());
    let mut count = BTreeMap::new();
    for _ in 0..10 {
        *count.entry(sends(&harness.request(ANY, 1).1)[0].1).or_insert(0) += 1;
    }
    assert_eq!(count.get(&PRIMARY), None);
    assert!(count[&NEAR] >= 3 && count[&FAR] >= 3, "{count:?}");
}

/// Two members that turned reads away at once drew most of the traffic of an incident.
#[test]
fn a_member_that_fails_at_once_does_not_look_idle() {
    for status in [AttemptStatus::Rejected, AttemptStatus::Error] {
        let mut harness = Harness::new(settings());
        let mut count = BTreeMap::new();
        for _ in 0..60 {
            let (mut id, mut actions) = harness.request(ANY, 1);
            let mut no = 0;
            while let Some((request, member)) = sends(&actions).pop() {
                assert_eq!(request, id);
                *count.entry(member).or_insert(0) += 1;
                let status = if member == NEAR { status } else { AttemptStatus::Ok };
                actions = harness.end(id, no, member, status, None);
                no += 1;
                id = request;
            }
            harness.sweep(10);
        }
        assert!(count[&NEAR] * 3 < count[&FAR], "{status:?}: {count:?}");
    }
}

/// Requests sent oldest first were all given up just after their send.
#[test]
fn a_backlog_is_served_newest_first_and_the_oldest_refused_early() {
    let mut harness = Harness::new(settings());
    let mut waiting = Vec::new();
    let mut running = Vec::new();
    while waiting.len() < 3 {
        let (id, actions) = harness.request(ANY, 1);
        match sends(&actions).first() {
            Some((_, member)) => running.push((id, *member)),
            None => waiting.push(id),
        }
    }
    harness.now = harness.now + Micros::millis(5);
    let mut sent = Vec::new();
    for (id, member) in running.drain(..3) {
        sent.extend(
            sends(&harness.end(id, 0, member, AttemptStatus::Ok, None)).into_iter().map(|(id, _)| id),
        );
    }
    assert_eq!(sent.first(), waiting.last());
    for _ in 0..4 {
        waiting.push(harness.request(ANY, 1).0);
    }
    let refused = finals(&harness.sweep(90));
    assert!(!refused.is_empty() && refused.iter().all(|(_, harmless)| *harmless), "{refused:?}");
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
    let freed = harness.end(running[0], 0, PRIMARY, AttemptStatus::Ok, None);
    assert!(sends(&freed).iter().all(|(id, _)| *id != read), "a write was waiting: {freed:?}");
    assert_eq!(sends(&freed).len(), 1);
}

#[test]
fn an_unsafe_write_that_may_have_run_is_failed_at_once() {
    for status in
        [AttemptStatus::Error, AttemptStatus::Reset, AttemptStatus::Timeout, AttemptStatus::Cancelled]
    {
        let mut harness = Harness::new(settings());
        let (id, _) = harness.request(UNSAFE, 1);
        let actions = harness.end(id, 0, PRIMARY, status, None);
        assert_eq!((sends(&actions), finals(&actions)), (vec![], vec![(id, false)]), "{status:?}");
    }
}

#[test]
fn an_unsafe_write_that_never_ran_is_tried_again() {
    let mut harness = Harness::new(settings());
    let (id, _) = harness.request(UNSAFE, 1);
    let mut actions = harness.end(id, 0, PRIMARY, AttemptStatus::Rejected, None);
    for _ in 0..100 {
        assert_eq!(finals(&actions), []);
        if !sends(&actions).is_empty() {
            break;
        }
        actions = harness.sweep(10);
    }
    assert_eq!(sends(&actions), [(id, PRIMARY)]);
}

#[test]
fn a_keyed_write_follows_the_primary_within_its_window_only() {
    for (wait, again) in [(300, true), (1000, false)] {
        let mut harness = Harness::new(settings());
        let (id, _) = harness.request(WRITE, 1);
        let actions = harness.end(id, 0, PRIMARY, AttemptStatus::Reset, None);
        assert_eq!((sends(&actions), finals(&actions)), (vec![(id, PRIMARY)], vec![]));
        let actions = harness.end(id, 1, PRIMARY, AttemptStatus::Reset, None);
        let scout = sends(&actions)[0].1;
        assert_ne!(scout, PRIMARY, "it broke twice");
        harness.end(id, 2, scout, AttemptStatus::Unsuitable, None);
        harness.now = harness.now + Micros::millis(wait);
        let report = HealthReport { position: Some(harness.now), role: Some(Role::Primary) };
        let actions = harness.event(Event::HealthChecked { member: NEAR, status: AttemptStatus::Ok, report });
        assert_eq!(sends(&actions) == [(id, NEAR)], again, "after {wait} ms: {actions:?}");
    }
}

#[test]
fn reads_out_at_a_member_that_went_down_are_rescued() {
    let mut harness = Harness::new(settings());
    let (first, actions) = harness.request(ANY, 1);
    let member = sends(&actions)[0].1;
    let other = if member == NEAR { FAR } else { NEAR };
    harness.event(Event::HealthChecked {
        member,
        status: AttemptStatus::ConnectFailed,
        report: HealthReport::default(),
    });
    assert_eq!(sends(&harness.sweep(2)), [(first, other)]);
}

#[test]
fn nothing_goes_to_a_member_that_drains_or_is_gone() {
    for listed in [EndpointState::Draining, EndpointState::Removed] {
        let mut harness = Harness::new(settings());
        harness.list(EndpointUpdate::Incremental, vec![endpoint(NEAR, listed, Micros(0))]);
        for _ in 0..6 {
            assert!(sends(&harness.request(ANY, 1).1).iter().all(|(_, m)| *m != NEAR));
        }
    }
    let mut harness = Harness::new(settings());
    harness.list(
        EndpointUpdate::Full,
        vec![
            endpoint(PRIMARY, EndpointState::Ready, Micros(0)),
            endpoint(FAR, EndpointState::Ready, Micros(0)),
        ],
    );
    assert!((0..6).all(|_| sends(&harness.request(ANY, 1).1).iter().all(|(_, m)| *m != NEAR)));
}

/// All drivers together may send a cold member its multiple; one alone keeps to its part of a core.
#[test]
fn a_cold_member_gets_a_bounded_trickle_even_when_it_rejects() {
    let mut harness = Harness::new(settings());
    let now = harness.now;
    harness.list(EndpointUpdate::Full, vec![endpoint(NEAR, EndpointState::Ready, now)]);
    let mut sent = 0;
    for _ in 0..2000 {
        let mut actions = harness.request(ANY, 1).1;
        actions.extend(harness.sweep(1));
        for (id, member) in sends(&actions) {
            sent += 1;
            harness.end(id, 0, member, AttemptStatus::Rejected, None);
        }
    }
    // Two seconds at up to 0.36 of a core, in requests of 40 ms (a fifth of the aim), for one of two drivers.
    assert!(sent > 0 && sent <= 2 * 9 + 5, "{sent}");
}

#[test]
fn strange_events_are_ignored() {
    let mut harness = Harness::new(settings());
    let (id, actions) = harness.request(ANY, 1);
    let member = sends(&actions)[0].1;
    harness.end(id, 0, member, AttemptStatus::Ok, None);
    assert_eq!(harness.end(id, 0, member, AttemptStatus::Ok, None), []);
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
fn a_fleet_without_members_refuses_in_time() {
    let mut harness = Harness::new(settings());
    harness.list(EndpointUpdate::Full, vec![]);
    let (id, actions) = harness.request(ANY, 1);
    assert_eq!(sends(&actions), []);
    assert_eq!(finals(&harness.sweep(199)), [(id, true)]);
}

// ---- One of many drivers ----

fn one_of(gateways: u32) -> Settings {
    Settings { gateways, replica_checks: ReplicaChecks::Reject, ..settings() }
}

/// Hundreds of drivers that each asked every member every second cost more than all they served.
#[test]
fn probes_are_paid_for_by_requests() {
    let mut harness = Harness::new(Settings { health_check_price: 0.02, ..settings() });
    let mut asked = 0;
    for step in 0..2000 {
        let (id, mut actions) = if step % 40 == 0 { harness.request(ANY, 1) } else { (RequestId(0), vec![]) };
        for (_, member) in sends(&actions) {
            harness.end(id, 0, member, AttemptStatus::Ok, None);
        }
        actions.extend(harness.sweep(10));
        for action in &actions {
            if let Action::HealthCheck { member } = action {
                asked += 1;
                harness.health_checked(*member, Micros(0));
            }
        }
    }
    // Fifty requests pay for a fifth of a probe each; four are saved from the start.
    assert!((1..=14).contains(&asked), "{asked} probes");
}

/// Every idle driver woke at every second tick, and a day of hundreds was cut off for its CPU.
#[test]
fn an_idle_driver_sleeps() {
    let mut harness = Harness::new(one_of(500));
    let mut timers = 0;
    for _ in 0..1000 {
        let actions = harness.sweep(1);
        timers += actions.iter().filter(|a| matches!(a, Action::SetTimer { .. })).count();
    }
    assert!((1..=10).contains(&timers), "{timers} timers in a second");
}

/// All drivers sent a restarted member their first request in the same moment, and it fell over.
#[test]
fn all_drivers_together_spare_a_cold_member() {
    let (gateways, mut sent) = (200, 0);
    for seed in 0..gateways {
        let mut harness = Harness::new(one_of(gateways));
        harness.router = Router::new(one_of(gateways), u64::from(seed));
        let now = harness.now;
        let started = [PRIMARY, NEAR]
            .map(|m| endpoint(m, EndpointState::Ready, if m == NEAR { now } else { Micros(0) }));
        harness.list(EndpointUpdate::Full, started.to_vec());
        for step in 0..20 {
            let due = step == seed % 20;
            let mut actions = if due { harness.request(ANY, 1).1 } else { vec![] };
            actions.extend(harness.sweep(100));
            for (id, member) in sends(&actions) {
                sent += usize::from(member == NEAR);
                harness.end(id, 0, member, AttemptStatus::Ok, None);
            }
        }
    }
    // In its first 2 s a core does 2000 ms / 40 ms of work, times the 0.28 that is warm in the mean,
    // times the multiple of 2. The drivers ask for seven times that.
    assert!(sent > 0 && sent <= 28, "{sent} sends in two seconds");
}

/// Fresh drivers that knew no position all asked the same replica first.
#[test]
fn fresh_drivers_spread_over_the_replicas() {
    let mut first = BTreeMap::new();
    for seed in 0..60 {
        let mut harness = Harness::new(one_of(60));
        harness.router = Router::new(one_of(60), seed);
        harness.list(
            EndpointUpdate::Full,
            [PRIMARY, NEAR, FAR].map(|m| endpoint(m, EndpointState::Ready, Micros(0))).to_vec(),
        );
        *first.entry(sends(&harness.request(BOUNDED, 1).1)[0].1).or_insert(0) += 1;
    }
    assert!(first[&NEAR] > 15 && first[&FAR] > 15, "{first:?}");
}

/// A replica that turned a read away is not asked again for data as fresh, and what it served counts.
#[test]
fn a_read_turned_away_tells_how_far_behind_a_replica_is() {
    let mut harness = Harness::new(one_of(2));
    let (id, mut actions) = harness.request(BOUNDED, 1);
    for no in 0..2 {
        let replica = sends(&actions)[0].1;
        assert_ne!(replica, PRIMARY);
        actions = harness.end(id, no, replica, AttemptStatus::Unsuitable, None);
    }
    assert_eq!(sends(&actions), [(id, PRIMARY)]);
    assert_eq!(sends(&harness.request(BOUNDED, 1).1)[0].1, PRIMARY, "both have said that they are behind");
    assert_ne!(sends(&harness.request(ANY, 1).1)[0].1, PRIMARY);
}

/// Floors of many drivers added up to five requests a core: a late answer must make each wait.
#[test]
fn one_of_many_pauses_after_a_late_answer_where_one_of_few_goes_on() {
    for (gateways, free) in [(2, true), (500, false)] {
        let mut harness = Harness::new(one_of(gateways));
        for member in [NEAR, FAR] {
            let mut settings = one_of(gateways);
            settings.classes[ANY.0].latency_objective = Micros::millis(5);
            let gone = [PRIMARY, member].map(|m| endpoint(m, EndpointState::Ready, Micros(0)));
            harness = Harness::new(settings);
            harness.list(EndpointUpdate::Full, gone.to_vec());
            let (id, actions) = harness.request(ANY, 1);
            let tried = sends(&actions)[0].1;
            harness.end(id, 0, tried, AttemptStatus::Ok, None);
        }
        let next = sends(&harness.request(ANY, 1).1);
        assert_eq!(next.first().is_some_and(|(_, m)| *m != PRIMARY), free, "{gateways} gateways: {next:?}");
    }
}

/// Guards reads that must be current: the primary is their only place, and one of many keeps it closed for tens of
/// latencies after one late answer. Reads that may go elsewhere wait; these do not.
#[test]
fn a_read_that_must_be_current_passes_the_pause_of_its_primary() {
    let mut settings = one_of(300);
    settings.classes.push(class(Consistency::Strong, Idempotency::Idempotent, 0.0));
    let fresh = ClassId(settings.classes.len() - 1);
    let mut harness = Harness::new(settings);
    harness.list(EndpointUpdate::Full, vec![endpoint(PRIMARY, EndpointState::Ready, Micros(0))]);
    let (late, actions) = harness.request(BOUNDED, 1);
    assert_eq!(sends(&actions), [(late, PRIMARY)]);
    harness.now = harness.now + Micros::millis(190);
    harness.event(Event::ClientLeft(late));
    harness.end(late, 0, PRIMARY, AttemptStatus::Cancelled, None);
    // What it may still be at work on is over, the pause is not.
    harness.sweep(300);
    assert_eq!(sends(&harness.request(BOUNDED, 1).1), []);
    let (current, actions) = harness.request(fresh, 1);
    assert_eq!(sends(&actions), [(current, PRIMARY)]);
    // While one is out there the limit counts as ever.
    assert_eq!(sends(&harness.request(fresh, 1).1), []);
}

/// Guards replicas that fall behind: each write is applied by all of them, so the primary takes fewer while they
/// have not caught up, and never none.
#[test]
fn writes_give_way_where_replicas_are_behind() {
    let taken = |behind: &[MemberId]| {
        let mut settings = settings();
        settings.gateways = 1;
        let mut harness = Harness::new(settings);
        for member in [NEAR, FAR] {
            let lag = if behind.contains(&member) { 20_000 } else { 10 };
            let position = harness.now - Micros::millis(lag);
            harness.health_checked(member, position);
        }
        (0..100).take_while(|session| !sends(&harness.request(WRITE, *session).1).is_empty()).count()
    };
    let (none, one, both) = (taken(&[]), taken(&[FAR]), taken(&[NEAR, FAR]));
    assert!(none > one && one > both && both * 2 > none, "{none}, {one}, {both} writes");
}

/// Guards the class that would be served worst: a primary that is full for reads that may go elsewhere, or come
/// again when a replica has caught up, still takes some that must be current, and not without end.
#[test]
fn a_full_primary_takes_some_reads_that_must_be_current() {
    let mut settings = settings();
    settings.classes.push(class(Consistency::Strong, Idempotency::Idempotent, 0.0));
    let fresh = ClassId(settings.classes.len() - 1);
    let mut harness = Harness::new(settings);
    harness.list(EndpointUpdate::Full, vec![endpoint(PRIMARY, EndpointState::Ready, Micros(0))]);
    let count = |harness: &mut Harness, class| {
        let sent = |harness: &mut Harness| !sends(&harness.request(class, 1).1).is_empty();
        (0..100).take_while(|_| sent(harness)).count()
    };
    let (others, current) = (count(&mut harness, BOUNDED), count(&mut harness, fresh));
    assert!((1..=others).contains(&current), "{current} beside {others}");
    assert_eq!(count(&mut harness, SESSION), 0);
}

// ---- Members, connections and lists that mislead ----

/// Guards writes after a take-over: the list goes on naming the old primary for seconds, and its word counts for
/// nothing against what the members themselves have said since.
#[test]
fn a_list_that_names_the_old_primary_changes_nothing() {
    let mut harness = Harness::new(settings());
    let (id, _) = harness.request(ANY, 1);
    let lead = HealthReport { position: Some(harness.now), role: Some(Role::Primary) };
    harness.event(Event::ClientLeft(id));
    harness.event(Event::HealthChecked { member: NEAR, status: AttemptStatus::Ok, report: lead });
    for second in 1..=4 {
        harness.sweep(1_000);
        let old = [PRIMARY, NEAR, FAR].map(|m| endpoint(m, EndpointState::Ready, Micros(0)));
        harness.list(
            if second % 2 == 0 { EndpointUpdate::Full } else { EndpointUpdate::Incremental },
            old.to_vec(),
        );
        let (id, actions) = harness.request(WRITE, 7);
        assert_eq!(sends(&actions), [(id, NEAR)], "{second} s after the take-over");
        harness.end(id, 0, NEAR, AttemptStatus::Unsuitable, None);
        let lead = HealthReport { position: Some(harness.now), role: Some(Role::Primary) };
        harness.event(Event::HealthChecked { member: NEAR, status: AttemptStatus::Ok, report: lead });
    }
}

/// Guards what tells one slow member from all: where one takes ten times as long it gets a small part of the
/// reads, where both do they share them as before.
#[test]
fn one_slow_member_loses_its_part_and_all_slow_ones_keep_theirs() {
    let part_of_near = |slow: &[MemberId]| {
        let mut harness = Harness::new(settings());
        let mut counts = BTreeMap::new();
        for round in 0..600u64 {
            harness.sweep(10);
            let (request, actions) = harness.request(ANY, 1);
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
        f64::from(counts.get(&NEAR).copied().unwrap_or(0)) / f64::from(total)
    };
    let (one, both) = (part_of_near(&[NEAR]), part_of_near(&[NEAR, FAR]));
    assert!(one < 0.25, "a slow member gets {one}");
    assert!((0.35..=0.65).contains(&both), "one of two slow members gets {both}");
}

/// One reset ejected a member until a probe; where answers were lost everywhere nobody was left.
#[test]
fn two_broken_connections_eject_and_one_does_not() {
    for (breaks, back) in [(1, true), (2, false)] {
        let mut harness = Harness::new(Settings { health_checks: false, ..settings() });
        let mut broken = 0;
        while broken < breaks {
            let (id, actions) = harness.request(ANY, 1);
            let (mut no, mut target) = (0, sends(&actions)[0].1);
            if target == NEAR {
                broken += 1;
                let actions = harness.end(id, no, NEAR, AttemptStatus::Reset, None);
                (no, target) = (1, sends(&actions)[0].1);
            }
            harness.end(id, no, target, AttemptStatus::Ok, None);
            if target == NEAR {
                broken = 0;
            }
        }
        let mut chosen = false;
        for _ in 0..30 {
            let (id, actions) = harness.request(ANY, 1);
            let target = sends(&actions)[0].1;
            chosen |= target == NEAR;
            harness.end(id, 0, target, AttemptStatus::Ok, None);
            harness.sweep(20);
        }
        assert_eq!(chosen, back, "after {breaks} broken connections");
        harness.sweep(1000);
        let mut again = false;
        for _ in 0..30 {
            let (id, actions) = harness.request(ANY, 1);
            let target = sends(&actions)[0].1;
            again |= target == NEAR;
            harness.end(id, 0, target, AttemptStatus::Ok, None);
        }
        assert!(again, "an ejected member is tried again");
    }
}

/// Guards sound members against spoilt answers, which any of them may send: they prove that it is up
/// and eject nobody, and the read they were for goes on to another member.
#[test]
fn spoilt_answers_eject_nobody() {
    let mut harness = Harness::new(Settings { health_checks: false, ..settings() });
    for _ in 0..3 {
        let (id, first) = harness.request(ANY, 1);
        let mut to = sends(&first)[0].1;
        for no in 0..2 {
            harness.now = harness.now + Micros::millis(20);
            let next = harness.end(id, no, to, AttemptStatus::Malformed, None);
            let [(again, other)] = sends(&next)[..] else { panic!("not sent on: {next:?}") };
            assert!(again == id && other != to);
            to = other;
        }
        harness.end(id, 2, to, AttemptStatus::Ok, None);
    }
}

/// Requests that every member answers with an error went round all of them.
#[test]
fn a_read_that_errors_at_two_members_is_given_up() {
    let mut harness = Harness::new(settings());
    let (id, actions) = harness.request(ANY, 1);
    let first = sends(&actions)[0].1;
    let actions = harness.end(id, 0, first, AttemptStatus::Error, None);
    let second = sends(&actions)[0].1;
    assert_ne!(first, second);
    let actions = harness.end(id, 1, second, AttemptStatus::Error, None);
    assert_eq!((sends(&actions), finals(&actions)), (vec![], vec![(id, true)]));
}

#[test]
fn a_group_never_ejects_itself_whole() {
    let mut harness = Harness::new(settings());
    for member in [PRIMARY, NEAR, FAR] {
        for _ in 0..2 {
            harness.event(Event::HealthChecked {
                member,
                status: AttemptStatus::Timeout,
                report: HealthReport::default(),
            });
        }
    }
    assert_eq!(sends(&harness.request(ANY, 1).1).len(), 1);
}

/// A list called every live member gone, and the router believed it where only draining binds.
#[test]
fn where_only_draining_binds_live_members_called_gone_stay_in_use() {
    for removed_may_serve in [false, true] {
        for drained in [false, true] {
            let mut harness = Harness::new(Settings { removed_may_serve, ..settings() });
            if drained {
                let drains = [PRIMARY, NEAR, FAR].map(|m| endpoint(m, EndpointState::Draining, Micros(0)));
                harness.list(EndpointUpdate::Incremental, drains.to_vec());
            }
            harness.list(EndpointUpdate::Full, vec![]);
            harness.sweep(300);
            let (id, actions) = harness.request(ANY, 1);
            assert_eq!(!sends(&actions).is_empty(), removed_may_serve && !drained);
            assert!(finals(&actions).is_empty());
            if let Some((_, member)) = sends(&actions).pop() {
                harness.end(id, 0, member, AttemptStatus::Ok, None);
            }
            let back = [PRIMARY, NEAR, FAR].map(|m| endpoint(m, EndpointState::Ready, Micros(0)));
            harness.list(EndpointUpdate::Full, back.to_vec());
            let (id, actions) = harness.request(ANY, 1);
            assert!(sends(&actions).iter().any(|(sent, _)| *sent == id), "the true list counts again");
        }
    }
}

/// Connections dropped unseen while idle: requests on them waited for nothing.
#[test]
fn idle_connections_that_lose_requests_are_closed_before_a_send() {
    for (gap, closes) in [(2000, true), (20, false)] {
        let mut harness = Harness::new(settings());
        let only = [PRIMARY, NEAR].map(|m| endpoint(m, EndpointState::Ready, Micros(0)));
        harness.list(EndpointUpdate::Full, only.to_vec());
        let (id, actions) = harness.request(ANY, 1);
        harness.end(id, 0, sends(&actions)[0].1, AttemptStatus::Ok, None);
        let mut closed = 0;
        for _ in 0..8 {
            harness.sweep(gap);
            let (id, actions) = harness.request(ANY, 1);
            closed += actions.iter().filter(|a| matches!(a, Action::CloseIdle { .. })).count();
            if let Some((_, member)) = sends(&actions).pop() {
                harness.end(id, 0, member, AttemptStatus::Cancelled, None);
                harness.event(Event::ClientLeft(id));
            }
        }
        assert_eq!(closed > 0, closes, "{gap} ms between sends: {closed} closed");
    }
}

/// Random events against a model of rules 1, 2, 3 and 5 and the attempt cap, after every step.
#[test]
fn random_events_keep_the_rules() {
    for seed in 1..=6u64 {
        check_random(seed, seed % 2 == 0);
    }
}

#[derive(Clone)]
struct Track {
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
    // Members whose last state that binds is a drain.
    let mut drained = BTreeMap::new();
    let mut all: BTreeMap<RequestId, Track> = BTreeMap::new();
    let mut listed = BTreeMap::from([
        (PRIMARY, EndpointState::Ready),
        (NEAR, EndpointState::Ready),
        (FAR, EndpointState::Ready),
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
                all.insert(id, Track { class, deadline, sent: 0, first, out, unproven: false, done: false });
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
                harness.end(id, no, member, status, position)
            }
            6 => {
                let member = [NEAR, FAR][random(2) as usize];
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
                harness.list(EndpointUpdate::Incremental, vec![endpoint(member, state, Micros(0))])
            }
            7 => {
                let member = [PRIMARY, NEAR, FAR][random(3) as usize];
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
                    assert!(!track.done, "seed {seed} step {step}: sent after its end");
                    let binds = match listed[member] {
                        EndpointState::Ready => false,
                        EndpointState::Draining => true,
                        EndpointState::Removed => !removed_may_serve || drained.get(member) == Some(&true),
                    };
                    assert!(!binds, "seed {seed} step {step}: sent to {:?}", listed[member]);
                    let may_run = track.unproven || !track.out.is_empty();
                    match track.class {
                        UNSAFE => assert!(!may_run, "seed {seed} step {step}: unsafe repeated"),
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
                    assert!(track.sent <= 4, "seed {seed} step {step}: over the attempt cap");
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    let track = all.get_mut(request).expect("a known request");
                    assert!(!track.done, "seed {seed} step {step}: two final answers");
                    track.done = true;
                    let may_run = track.unproven || !track.out.is_empty();
                    if matches!(action, Action::Reject { .. }) && [WRITE, UNSAFE].contains(&track.class) {
                        assert!(!may_run, "seed {seed} step {step}: refused though it may have run");
                    }
                }
                _ => {}
            }
        }
        let owed = |t: &&Track| !t.done && harness.now >= t.deadline + Micros::millis(20);
        assert_eq!(all.values().filter(owed).count(), 0, "seed {seed} step {step}: an answer is overdue");
    }
    let again = all.values().filter(|t| t.sent > 1).count();
    assert!(all.len() > 500 && again > 5, "{} requests, {again} tried again", all.len());
}

#[test]
fn the_same_seed_and_events_give_the_same_actions() {
    let run = || {
        let mut harness = Harness::new(settings());
        (0..50).flat_map(|i| harness.request(ClassId(i % 5), i as u64).1).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

/// Guards answers that come shortly before the aim: a read is not called off earlier than it must be,
/// nor so late that its client hears of it after the aim.
#[test]
fn a_read_is_given_up_one_tick_before_its_aim() {
    let mut harness = Harness::new(settings());
    let (id, actions) = harness.request(BOUNDED, 1);
    assert_eq!(sends(&actions).len(), 1);
    assert!(finals(&harness.sweep(198)).is_empty());
    assert_eq!(finals(&harness.sweep(1)), [(id, true)]);
}

/// Guards a large fleet whose hosts have gone: each driver tries a member that is out so much more seldom the
/// more of them do, and word of a new start brings it back at once.
#[test]
fn many_try_a_member_that_is_out_more_seldom_and_a_new_start_brings_it_back() {
    let out = |gateways, started: bool| {
        let mut harness = Harness::new(Settings { gateways, health_checks: false, ..settings() });
        harness.sweep(100);
        let broken = Event::HealthChecked {
            member: NEAR,
            status: AttemptStatus::ConnectFailed,
            report: HealthReport::default(),
        };
        harness.event(broken);
        let since = harness.now;
        assert!(harness.router.is_down_or_ejected(NEAR));
        if started {
            let new = endpoint(NEAR, EndpointState::Ready, harness.now);
            harness.list(EndpointUpdate::Incremental, vec![new]);
        }
        while harness.router.is_down_or_ejected(NEAR) {
            harness.sweep(100);
        }
        harness.now - since
    };
    assert!(out(3, false) <= Micros::millis(1_200));
    assert!(out(100, false) >= Micros::millis(4_500) && out(100, false) <= Micros::millis(6_000));
    assert_eq!(out(100, true), Micros(0));
}

/// Guards odd settings: whatever the number of drivers and the prices, a read is sent or asked for, and
/// answered once; only one of many asks, and only where that is cheap.
#[test]
fn any_number_of_drivers_and_any_price_will_do() {
    for gateways in [0, 1, 3, 100, 300, 1_000, 3_000] {
        for price in [0.0, 0.08, 40.0] {
            let prices = Settings { health_check_price: price, handshake_price: price, ..settings() };
            let mut harness = Harness::new(Settings { gateways, cross_zone_price: price, ..prices });
            // Past the routine probes that were saved up.
            for _ in 0..3 {
                harness.sweep(1_000);
                for member in [PRIMARY, NEAR, FAR] {
                    let word = Micros(harness.now.0 - 20_000);
                    harness.health_checked(member, word);
                }
            }
            harness.now = harness.now + Micros::millis(3_000);
            let (id, mut actions) = harness.request(BOUNDED, 1);
            let asked = sends(&actions).is_empty();
            assert_eq!(asked, gateways > 4 && price < 0.25, "{gateways} gateways, price {price}");
            if asked {
                // Nobody answers.
                actions = (0..30).flat_map(|_| harness.sweep(2)).collect();
            }
            let sent = sends(&actions);
            assert_eq!(sent.len(), 1, "{gateways} gateways, price {price}");
            assert_eq!(sent[0].0, id);
            harness.end(id, 0, sent[0].1, AttemptStatus::Ok, Some(harness.now));
            assert_eq!(finals(&harness.sweep(3_000)), []);
        }
    }
}

/// Guards the order in which requests wait, where worth is told for each unit of work: what is worth more for its
/// work goes first, however long it takes.
#[test]
fn worth_counts_for_a_request_or_for_its_work() {
    for (weight_basis, first) in [(WeightBasis::Request, SESSION), (WeightBasis::Work, ANY)] {
        let mut settings = Settings { weight_basis, ..settings() };
        // Twice the aim is taken for twice the work, until answers tell.
        (settings.classes[ANY.0].latency_objective, settings.classes[ANY.0].priority_weight) =
            (Micros::millis(400), 1.5);
        let mut harness = Harness::new(settings);
        harness.list(
            EndpointUpdate::Full,
            [PRIMARY, NEAR, FAR].map(|m| endpoint(m, EndpointState::Draining, Micros(0))).to_vec(),
        );
        let mut ids = BTreeMap::new();
        for class in [SESSION, ANY] {
            let (id, actions) = harness.request(class, 1);
            assert!(sends(&actions).is_empty(), "nobody may be sent to");
            ids.insert(id, class);
        }
        harness.list(
            EndpointUpdate::Full,
            [PRIMARY, NEAR, FAR].map(|m| endpoint(m, EndpointState::Ready, Micros(0))).to_vec(),
        );
        let sent: Vec<ClassId> = sends(&harness.sweep(10)).iter().map(|(id, _)| ids[id]).collect();
        assert_eq!(sent.first(), Some(&first), "{weight_basis:?}: {sent:?}");
    }
}

/// Guards bounded reads where the list moves a member to another family: its position in the log that it followed before
/// says nothing of the other one's, nor does its role.
#[test]
fn a_member_that_moves_to_another_family_tells_its_position_anew() {
    let mut harness = Harness::new(settings());
    let now = harness.now;
    harness.health_checked(NEAR, now);
    harness.end(RequestId(0), 0, NEAR, AttemptStatus::Ok, None);
    let other = GroupId(2);
    let moved = [(NEAR, false), (MemberId(20), true)].map(|(member, primary)| Endpoint {
        group: other,
        primary,
        ..endpoint(member, EndpointState::Ready, Micros(0))
    });
    harness.list(EndpointUpdate::Incremental, moved.to_vec());
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
    harness.event(Event::HealthChecked { member: NEAR, status: AttemptStatus::Ok, report });
    assert_eq!(sends(&request(&mut harness, 901)), [(RequestId(901), NEAR)]);
}

/// Guards reads from one that was the primary: an answer that it gave before it was deposed may be heard after the one that
/// tells that it is a replica, on another connection. Positions never go back, so they tell which of the two came later.
#[test]
fn an_older_word_on_the_role_heard_later_makes_nobody_primary() {
    for (behind, equal) in [(50, false), (0, true)] {
        let mut harness = Harness::new(settings());
        let (late, actions) = harness.request(WRITE, 1);
        assert_eq!(sends(&actions), [(late, PRIMARY)]);
        let stood = harness.now;
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
        harness.event(outcome(second, PRIMARY, AttemptStatus::Unsuitable, Role::Replica, stood));
        harness.now = harness.now + Micros::millis(20);
        harness.event(outcome(
            late,
            PRIMARY,
            AttemptStatus::Rejected,
            Role::Primary,
            stood - Micros::millis(behind),
        ));
        // By then its position as a replica covers no bounded read.
        harness.now = harness.now + Micros::millis(600);
        let (_, actions) = harness.request(BOUNDED, 3);
        let sent: Vec<MemberId> = sends(&actions).iter().map(|(_, member)| *member).collect();
        assert!(!sent.contains(&PRIMARY), "equal {equal}: {sent:?}");
    }
}
