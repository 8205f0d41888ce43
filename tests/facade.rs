//! Tests of the balancer, the facade over the router: the guarantees on which the network code relies, under random
//! steps and in single cases.

use std::collections::BTreeMap;

use dunemount::attempt::{AttemptOutcome, AttemptProgress, FailedAttempt, FailureCause, ResponseStatus};
use dunemount::balancer::{Balancer, EndpointCounts, Output, RoutingDecision, RoutingRequest};
use dunemount::notice::WriteRefusal;
use dunemount::request::InFlightRequests;
use dunemount::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START: Micros = Micros::millis(100_000);
const TIME_LEFT: Micros = Micros::millis(800);

fn class(consistency: Consistency, late_weight: f64) -> Class {
    let window = Micros::millis(900);
    let idempotency = match consistency {
        Consistency::Write => Idempotency::IdempotencyKey { scope: DeduplicationScope::Group, window },
        _ => Idempotency::Idempotent,
    };
    let (latency_objective, deadline) = (Micros::millis(200), Micros::millis(800));
    Class { latency_objective, deadline, priority_weight: 1.0, late_weight, idempotency, consistency }
}

fn balancer(cancels: bool) -> Balancer {
    let settings = Settings {
        classes: vec![
            class(Consistency::BoundedStaleness(Micros::millis(500)), 0.0),
            class(Consistency::Session, 0.0),
            class(Consistency::Strong, 0.5),
            class(Consistency::Write, 0.5),
        ],
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
        cancels,
        peers: false,
        // The facade disables hedged requests even if the settings permit them.
        hedging: true,
        retry_after: true,
        clients_mark_retries: false,
        max_retry_after: Micros::millis(500),
        max_attempts: 4,
        health_check_price: 0.01,
        cross_zone_price: 0.01,
        handshake_price: 0.0,
        drain_grace: Micros::millis(300),
        removed_may_serve: false,
        connection_idle_timeout: Micros::millis(15_000),
        slow_start_initial: 0.2,
        slow_start_window: Micros::millis(10_000),
        overload_multiple: 2.0,
        overload_window: Micros::millis(2000),
    };
    let mut balancer = Balancer::new(settings, 7);
    let entry = |id: u64| Endpoint {
        member: MemberId(id),
        group: GroupId(1),
        weight: 1.0,
        primary: id == 1,
        ..Endpoint::default()
    };
    balancer.update_endpoints(START, true, (1..=3).map(entry).collect());
    balancer
}

fn request(class: usize, session: u64, time_left: Micros) -> RoutingRequest {
    RoutingRequest {
        class: ClassId(class),
        group: GroupId(1),
        session: SessionKey(session),
        committed: None,
        repeat: false,
        time_left,
    }
}

fn answer(status: ResponseStatus, member: MemberId, position: Micros) -> AttemptOutcome {
    let role = Some(if member == MemberId(1) { Role::Primary } else { Role::Replica });
    AttemptOutcome::Response { status, role, position: Some(position) }
}

/// Has the primary serve two reads with an advancing log position, which establishes the log time: without it, the
/// age of a replica's data is unknown, and a single response is not enough evidence.
fn prove_log_time(balancer: &mut Balancer) {
    for now in [START, START + Micros::millis(2)] {
        let (request_id, decision) = balancer.pick(now, request(0, 1, TIME_LEFT));
        assert!(matches!(decision, RoutingDecision::Send { member: MemberId(1), .. }), "{decision:?}");
        balancer.handle_outcome(now, request_id, answer(ResponseStatus::Served, MemberId(1), now));
    }
}

/// Open requests as the network code tracks them: the deadline, and the member that has the attempt in flight.
#[derive(Default)]
struct OpenRequests {
    open: BTreeMap<RequestId, (Micros, Option<MemberId>)>,
}

impl OpenRequests {
    fn apply(&mut self, request_id: RequestId, decision: RoutingDecision) {
        let (_, out) = self.open.get_mut(&request_id).expect("a decision on a request that is finished");
        match decision {
            RoutingDecision::Queued => {}
            RoutingDecision::Send { member, .. } => {
                assert!(out.replace(member).is_none(), "two attempts in flight at once");
            }
            RoutingDecision::Reject { .. } | RoutingDecision::Fail => {
                self.open.remove(&request_id);
            }
        }
    }

    fn process_outputs(&mut self, now: Micros, balancer: &mut Balancer) {
        while let Some(output) = balancer.poll_output(now) {
            match output {
                Output::Decision(request_id, decision) => self.apply(request_id, decision),
                Output::Cancel(request_id) => {
                    self.open.get_mut(&request_id).expect("a cancel of a finished request").1 = None;
                }
                Output::HealthCheck(member) => {
                    balancer.health_checked(now, member, answer(ResponseStatus::Served, member, now));
                }
                Output::CloseIdle(_) | Output::Notice(_) => {}
            }
        }
        let overdue = self.open.values().any(|(until, _)| *until < now);
        assert!(!overdue, "a request has no answer at its deadline");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Default::default()
    })]

    /// Guards the two guarantees on which the network code relies: every request gets one final answer before its
    /// deadline, and no attempt starts while another one of the request is in flight.
    #[test]
    fn every_request_gets_one_decision_in_time(
        steps in prop::collection::vec((0..9u8, any::<u8>(), 1..60u64), 1..120),
        cancels in any::<bool>(),
    ) {
        let (mut balancer, mut requests, mut now) = (balancer(cancels), OpenRequests::default(), START);
        for (step, pick, ms) in steps {
            let nth = |n: usize| usize::from(pick) % n.max(1);
            let out: Vec<_> = requests.open.iter().filter_map(|(t, (_, m))| Some((*t, (*m)?))).collect();
            let in_flight = out.get(nth(out.len())).copied();
            match (step, in_flight) {
                (0..=2, _) => {
                    // From zero up: a client's last retry may have hardly any time left.
                    let left = Micros::millis(u64::from(pick) * 4);
                    let (request_id, decision) = balancer.pick(now, request(nth(4), u64::from(pick) % 5, left));
                    requests.open.insert(request_id, (now + left, None));
                    requests.apply(request_id, decision);
                }
                (3..=6, Some((request_id, member))) => {
                    let progress = [AttemptProgress::NotConnected, AttemptProgress::PartiallyWritten, AttemptProgress::FullyWritten][nth(3)];
                    let cause = [FailureCause::ConnectionLost, FailureCause::TimedOut, FailureCause::NotAttempted][nth(3)];
                    let outcome = match step {
                        3 => answer(ResponseStatus::Served, member, now),
                        4 => answer([ResponseStatus::Unsuitable, ResponseStatus::Rejected, ResponseStatus::Failed][nth(3)], member, now),
                        _ => AttemptOutcome::NoResponse(FailedAttempt { progress, cause }),
                    };
                    requests.open.get_mut(&request_id).expect("open").1 = None;
                    let decision = balancer.handle_outcome(now, request_id, outcome);
                    if step == 3 {
                        prop_assert_eq!(decision, RoutingDecision::Queued);
                        requests.open.remove(&request_id);
                    } else {
                        requests.apply(request_id, decision);
                    }
                }
                (7, _) => {
                    let Some(request_id) = requests.open.keys().nth(nth(requests.open.len())).copied() else { continue };
                    balancer.handle_client_gone(now, request_id);
                    requests.open.remove(&request_id);
                }
                _ => {
                    // The event loop wakes at the next deadline, or slightly later.
                    let next = balancer.next_deadline().unwrap_or(START);
                    now = now.max(next.min(now + Micros::millis(ms))) + Micros(u64::from(pick));
                }
            }
            requests.process_outputs(now, &mut balancer);
        }
    }
}

/// Guards the decision by the progress of a failed attempt whether the request may have run: a write that cannot have
/// run is rejected, so that the client may retry it; one that may have run fails.
#[test]
fn progress_decides_how_a_write_is_answered() {
    for progress in
        [AttemptProgress::NotConnected, AttemptProgress::PartiallyWritten, AttemptProgress::FullyWritten]
    {
        let (mut balancer, mut now) = (balancer(true), START);
        let (request_id, mut decision) = balancer.pick(now, request(3, 1, TIME_LEFT));
        let last = loop {
            match decision {
                RoutingDecision::Send { .. } => {
                    let failed = FailedAttempt { progress, cause: FailureCause::ConnectionLost };
                    decision = balancer.handle_outcome(now, request_id, AttemptOutcome::NoResponse(failed));
                }
                RoutingDecision::Queued => match balancer.poll_output(now) {
                    Some(Output::Decision(_, next)) => decision = next,
                    Some(_) => {}
                    None => now = now + Micros::millis(5),
                },
                last => break last,
            }
        };
        assert_eq!(last == RoutingDecision::Fail, progress == AttemptProgress::FullyWritten, "{progress:?}");
    }
}

/// Guards against a stale read: a replica that was just fresh enough when it was chosen may be too old by the time its
/// connection is established.
#[test]
fn an_attempt_becomes_invalid_while_its_connection_is_established() {
    let mut balancer = balancer(true);
    prove_log_time(&mut balancer);
    let position = START - Micros::millis(490);
    for member in [2, 3] {
        balancer.health_checked(
            START,
            MemberId(member),
            answer(ResponseStatus::Served, MemberId(member), position),
        );
    }
    let (request_id, decision) = balancer.pick(START, request(0, 1, TIME_LEFT));
    assert!(matches!(decision, RoutingDecision::Send { member: MemberId(2 | 3), .. }));
    assert!(balancer.begin_write(START, request_id).is_ok());
    let late = START + Micros::millis(20);
    assert_eq!(balancer.begin_write(late, request_id), Err(WriteRefusal::DataTooOld));
    balancer.handle_client_gone(START, request_id);
    let finished = Err(WriteRefusal::NotInFlight);
    assert_eq!(balancer.begin_write(START, request_id), finished, "the request is finished");
}

/// Guards hosts against work that nobody waits for: a connection that is established after the deadline, before the
/// balancer's timers have fired, carries no attempt.
#[test]
fn an_attempt_is_not_written_after_its_deadline() {
    for class in 0..4 {
        let mut balancer = balancer(true);
        prove_log_time(&mut balancer);
        let now = START + Micros::millis(2);
        let (request_id, decision) = balancer.pick(now, request(class, 1, TIME_LEFT));
        assert!(matches!(decision, RoutingDecision::Send { .. }), "{decision:?}");
        assert!(balancer.begin_write(now + Micros::millis(100), request_id).is_ok(), "class {class}");
        let late = balancer.begin_write(now + TIME_LEFT, request_id);
        assert_eq!(late, Err(WriteRefusal::DeadlinePassed), "class {class}");
    }
}

/// Guards against decisions on a request whose client has disconnected: its attempt counts as cancelled at once.
#[test]
fn a_request_without_a_client_gets_no_decision() {
    let mut balancer = balancer(true);
    let (request_id, decision) = balancer.pick(START, request(3, 1, TIME_LEFT));
    assert!(matches!(decision, RoutingDecision::Send { .. }));
    balancer.handle_client_gone(START, request_id);
    let failed = AttemptOutcome::NoResponse(FailedAttempt {
        progress: AttemptProgress::FullyWritten,
        cause: FailureCause::TimedOut,
    });
    assert_eq!(balancer.handle_outcome(START, request_id, failed), RoutingDecision::Queued);
    let later = START + Micros::millis(2000);
    while let Some(output) = balancer.poll_output(later) {
        assert!(!matches!(output, Output::Decision(..) | Output::Cancel(_)), "{output:?}");
    }
}

/// Guards the requests in flight: each is answered once and has at most one attempt at a time.
#[test]
fn each_in_flight_request_is_finished_once() {
    let (mut requests, mut balancer) = (InFlightRequests::default(), balancer(true));
    let (request_id, _) = balancer.pick(START, request(0, 1, TIME_LEFT));
    requests.insert(request_id, "name", 'c', "work", START);
    assert!(requests.has_client_id("name") && !requests.has_client_id("other"));
    assert!(requests.start_attempt(request_id, 'a'));
    assert!(!requests.start_attempt(request_id, 'b'), "a second attempt while one is in flight");
    assert_eq!(requests.end_attempt(request_id), Some('a'));
    assert!(requests.start_attempt(request_id, 'b'));
    assert_eq!(requests.finish(request_id).and_then(|request| request.attempt()), Some('b'));
    assert!(
        requests.finish(request_id).is_none()
            && !requests.start_attempt(request_id, 'd')
            && requests.is_empty()
    );
    assert!(!requests.has_client_id("name"), "a finished request frees its client id");
}

/// Guards against an answer after the deadline: a client's last retry may have less time left than the router needs
/// for an attempt, and is then rejected at once, which is safe to retry, instead of at its deadline.
#[test]
fn an_attempt_without_time_is_rejected_at_once() {
    for class in 0..4 {
        let mut balancer = balancer(true);
        let (_, decision) = balancer.pick(START, request(class, 1, Micros::millis(8)));
        assert!(matches!(decision, RoutingDecision::Reject { .. }), "{decision:?}");
    }
}

/// Guards the time that a client has left for a retry: a request that never reached a host gets its answer before
/// half of its time has passed, in every class, even if its group has no primary throughout.
#[test]
fn a_request_that_never_reached_a_host_is_not_queued_for_long() {
    for class in 0..4 {
        let (mut balancer, mut now) = (balancer(true), START);
        let (request_id, mut decision) = balancer.pick(now, request(class, 1, TIME_LEFT));
        while matches!(decision, RoutingDecision::Queued | RoutingDecision::Send { .. }) {
            let failed = FailedAttempt {
                progress: AttemptProgress::NotConnected,
                cause: FailureCause::ConnectionLost,
            };
            match balancer.poll_output(now) {
                _ if decision != RoutingDecision::Queued => {
                    decision = balancer.handle_outcome(now, request_id, AttemptOutcome::NoResponse(failed));
                }
                Some(Output::Decision(_, next)) => decision = next,
                Some(Output::HealthCheck(member)) => {
                    balancer.health_checked(now, member, AttemptOutcome::NoResponse(failed));
                }
                Some(_) => {}
                None => now = now + Micros::millis(5),
            }
        }
        assert!(matches!(decision, RoutingDecision::Reject { .. }), "class {class}: {decision:?}");
        assert!(now < START + TIME_LEFT.scale(0.5), "class {class}: queued until {now:?}");
    }
}

/// Guards members that are administratively down: they receive no requests until an operator returns them to service,
/// even if the endpoint list removes and lists them again in between; an attempt that waits for a connection is not
/// sent either. A member that returns is in slow start and receives requests within seconds.
#[test]
fn a_member_that_is_administratively_down_gets_nothing_until_it_is_up() {
    let (mut balancer, down_member) = (balancer(true), MemberId(2));
    let entry = |id: u64, listed| Endpoint {
        member: MemberId(id),
        group: GroupId(1),
        weight: 1.0,
        primary: id == 1,
        state: listed,
        ..Endpoint::default()
    };
    let mut now = START;
    // Counts the reads and health checks sent to each member in this time; all are answered at once.
    let mut serve = |balancer: &mut Balancer, ms: u64| {
        let mut sent = BTreeMap::new();
        for _ in 0..ms / 20 {
            now = now + Micros::millis(20);
            while let Some(output) = balancer.poll_output(now) {
                if let Output::HealthCheck(member) = output {
                    *sent.entry(member).or_insert(0) += 1;
                    balancer.health_checked(now, member, answer(ResponseStatus::Served, member, now));
                }
            }
            if let (request_id, RoutingDecision::Send { member, .. }) =
                balancer.pick(now, request(0, 1, TIME_LEFT))
            {
                *sent.entry(member).or_insert(0) += 1;
                balancer.handle_outcome(now, request_id, answer(ResponseStatus::Served, member, now));
            }
        }
        (now, sent)
    };
    let (at, sent) = serve(&mut balancer, 2_000);
    assert!(sent[&down_member] > 10);
    let (waiting, decision) = loop {
        let (request_id, decision) = balancer.pick(at, request(0, 1, TIME_LEFT));
        if matches!(decision, RoutingDecision::Send { member, .. } if member == down_member) {
            break (request_id, decision);
        }
    };
    assert!(matches!(decision, RoutingDecision::Send { .. }));
    assert!(balancer.begin_write(at, waiting).is_ok());
    for _ in 0..2 {
        balancer.set_administratively_down(at, down_member, true);
        assert!(!balancer.is_routable(down_member));
        assert_eq!(balancer.begin_write(at, waiting), Err(WriteRefusal::OutOfService));
    }
    assert_eq!(balancer.endpoint_counts(), EndpointCounts { listed: 3, ejected: 1 });
    let (at, sent) = serve(&mut balancer, 1_000);
    assert!(!sent.contains_key(&down_member));
    balancer.update_endpoints(at, true, vec![entry(1, EndpointState::Ready), entry(3, EndpointState::Ready)]);
    assert_eq!(balancer.endpoint_counts(), EndpointCounts { listed: 2, ejected: 0 });
    let (at, _) = serve(&mut balancer, 1_000);
    balancer.update_endpoints(at, false, vec![entry(2, EndpointState::Ready)]);
    let (at, sent) = serve(&mut balancer, 1_000);
    assert!(!sent.contains_key(&down_member), "it is listed again and still administratively down");
    balancer.set_administratively_down(at, down_member, false);
    assert_eq!(balancer.endpoint_counts(), EndpointCounts { listed: 3, ejected: 0 });
    let (_, sent) = serve(&mut balancer, 5_000);
    assert!((1..120).contains(&sent[&down_member]), "few requests during slow start: {}", sent[&down_member]);
}

/// Guards the balancer's state across a hot restart: the snapshot, in its serialised form, carries the commits of
/// sessions, the positions of replicas and the members that are administratively down over to the next process.
#[test]
fn the_state_of_another_process_is_restored() {
    let mut before = balancer(true);
    for member in [2, 3] {
        before.health_checked(
            START,
            MemberId(member),
            answer(ResponseStatus::Served, MemberId(member), START),
        );
    }
    before.set_administratively_down(START, MemberId(2), true);
    before.record_commit(GroupId(1), SessionKey(9), START + Micros::millis(50));
    let text = serde_json::to_string(&before.snapshot()).expect("written");
    let mut after = balancer(true);
    after.restore(serde_json::from_str(&text).expect("read"), Some, Micros(0));
    let now = START + Micros::millis(100);
    for (session, wanted) in [(9, 1), (8, 3)] {
        let (_, decision) = after.pick(now, request(1, session, TIME_LEFT));
        assert!(
            matches!(decision, RoutingDecision::Send { member: MemberId(to), .. } if to == wanted),
            "{decision:?}"
        );
    }
    // A commit that is reported after the restore counts as well.
    after.record_commit(GroupId(1), SessionKey(8), now);
    let (_, decision) = after.pick(now, request(1, 8, TIME_LEFT));
    assert!(matches!(decision, RoutingDecision::Send { member: MemberId(1), .. }), "{decision:?}");
    assert_eq!(after.endpoint_counts(), EndpointCounts { listed: 3, ejected: 1 });
}

/// Guards the capacity of members whose responses stream: the member's work is done, and a client that reads slowly
/// must not block other requests. The end of the response is counted once. The commit of a streamed write still
/// counts for its session, although the request is closed for the balancer at the first byte.
#[test]
fn a_member_has_capacity_again_once_its_response_streams() {
    let mut balancer = balancer(true);
    for member in [2, 3] {
        balancer.health_checked(
            START,
            MemberId(member),
            answer(ResponseStatus::Served, MemberId(member), START),
        );
    }
    let mut out = Vec::new();
    let queued = loop {
        match balancer.pick(START, request(0, 1, TIME_LEFT)) {
            (request_id, RoutingDecision::Send { member, .. }) => out.push((request_id, member)),
            (request_id, _) => break request_id,
        }
    };
    for (request_id, _) in &out {
        assert!(balancer.start_streaming(START, *request_id));
    }
    let placed = std::iter::from_fn(|| balancer.poll_output(START)).any(
        |output| matches!(output, Output::Decision(request_id, RoutingDecision::Send { .. }) if request_id == queued),
    );
    assert!(placed, "the queued request is sent while the responses still stream");
    let late = START + Micros::millis(5_000);
    for (request_id, member) in out {
        balancer.handle_client_gone(START, queued);
        assert_eq!(
            balancer.handle_outcome(late, request_id, answer(ResponseStatus::Served, member, START)),
            RoutingDecision::Queued
        );
    }
    let (write, decision) = balancer.pick(late, request(3, 5, TIME_LEFT));
    assert!(matches!(decision, RoutingDecision::Send { member: MemberId(1), .. }), "{decision:?}");
    assert!(balancer.start_streaming(late, write));
    balancer.handle_outcome(late, write, answer(ResponseStatus::Served, MemberId(1), late));
    assert!(!balancer.start_streaming(late, write), "the request is finished");
    let (_, decision) = balancer.pick(late, request(1, 5, TIME_LEFT));
    assert!(matches!(decision, RoutingDecision::Send { member: MemberId(1), .. }), "{decision:?}");
}

/// Guards slow start when the wall clock of this machine is wrong: the age of a host, from the start time in the
/// endpoint list, is computed by the log time as soon as a primary has reported it. By this machine's clock the start
/// may seem to be in the future or long ago.
#[test]
fn slow_start_depends_on_the_log_time() {
    let now = Micros::millis(20_000_000);
    for off in [-3_600_000_000i64, -3_000_000, 0, 3_000_000, 3_600_000_000] {
        let start = now;
        for (age, cold) in [(Micros::millis(2_000), true), (Micros::millis(3_000_000), false)] {
            let mut balancer = balancer(true);
            let log_at = |now: Micros| Micros(now.0.checked_add_signed(off).expect("a time"));
            let (mut now, log) = (start, log_at(start));
            let entry = |id: u64| Endpoint {
                member: MemberId(id),
                group: GroupId(1),
                weight: 1.0,
                primary: id == 1,
                started: if id == 2 { log - age } else { Micros(0) },
                ..Endpoint::default()
            };
            balancer.update_endpoints(now, true, (1..=3).map(entry).collect());
            // The first response is the starting point; a clock that is far off takes several more as evidence.
            for _ in 0..4 {
                let (request_id, decision) = balancer.pick(now, request(0, 1, TIME_LEFT));
                assert!(
                    matches!(decision, RoutingDecision::Send { member: MemberId(1), .. }),
                    "clock off by {off} us: {decision:?}"
                );
                balancer.handle_outcome(
                    now,
                    request_id,
                    answer(ResponseStatus::Served, MemberId(1), log_at(now)),
                );
                now = now + Micros::millis(5);
            }
            for member in [2, 3] {
                balancer.health_checked(
                    now,
                    MemberId(member),
                    answer(ResponseStatus::Served, MemberId(member), log_at(now)),
                );
            }
            let mut sent = BTreeMap::new();
            for _ in 0..8 {
                if let (_, RoutingDecision::Send { member, .. }) =
                    balancer.pick(now, request(0, 1, TIME_LEFT))
                {
                    *sent.entry(member.0).or_insert(0) += 1;
                }
            }
            assert!(sent.contains_key(&3), "clock off by {off} us: {sent:?}");
            assert_eq!(sent.contains_key(&2), !cold, "clock off by {off} us, host up for {age:?}: {sent:?}");
        }
    }
}

/// Guards session reads after a gateway was delayed for up to 0.15 s between reading its clock and receiving the
/// response to a write: the commit is later than its clock shows, and the session must see it nevertheless.
#[test]
fn a_commit_ahead_of_the_clock_of_a_delayed_gateway_counts() {
    for delay_ms in [1, 10, 60, 100, 149] {
        let mut balancer = balancer(true);
        prove_log_time(&mut balancer);
        let mut now = START + Micros::millis(5);
        let (write, decision) = balancer.pick(now, request(3, 7, TIME_LEFT));
        assert!(matches!(decision, RoutingDecision::Send { member: MemberId(1), .. }), "{decision:?}");
        let commit = now + Micros::millis(delay_ms);
        balancer.handle_outcome(now, write, answer(ResponseStatus::Served, MemberId(1), commit));
        // Refreshes of the group's members take place in the meantime.
        for _ in 0..30 {
            now = now + Micros::millis(5);
            while balancer.poll_output(now).is_some() {}
        }
        for member in [2, 3] {
            let before = commit - Micros::millis(1);
            balancer.health_checked(
                now,
                MemberId(member),
                answer(ResponseStatus::Served, MemberId(member), before),
            );
        }
        let (_, decision) = balancer.pick(now, request(1, 7, TIME_LEFT));
        assert!(
            matches!(decision, RoutingDecision::Send { member: MemberId(1), .. }),
            "delayed by {delay_ms} ms: {decision:?}"
        );
    }
}

/// Guards bounded reads after a response of the primary with a wrong position, ahead of its log: once that member is a
/// replica that lags far behind, it must not be considered as fresh as the wrong position.
#[test]
fn a_wrong_position_of_the_primary_is_not_used_once_it_is_a_replica() {
    for ahead_ms in [200, 2_000, 3_600_000] {
        let mut balancer = balancer(true);
        prove_log_time(&mut balancer);
        let mut now = START + Micros::millis(5);
        let (request_id, _) = balancer.pick(now, request(2, 1, TIME_LEFT));
        let wrong_position = now + Micros::millis(ahead_ms);
        balancer.handle_outcome(now, request_id, answer(ResponseStatus::Served, MemberId(1), wrong_position));
        now = now + Micros::millis(700);
        while balancer.poll_output(now).is_some() {}
        // The response to a write reports that it is now a replica, 700 ms behind.
        let (request_id, decision) = balancer.pick(now, request(3, 1, TIME_LEFT));
        assert!(matches!(decision, RoutingDecision::Send { member: MemberId(1), .. }), "{decision:?}");
        let (status, role, position) =
            (ResponseStatus::Unsuitable, Some(Role::Replica), Some(START + Micros::millis(5)));
        balancer.handle_outcome(now, request_id, AttemptOutcome::Response { status, role, position });
        let (_, decision) = balancer.pick(now, request(0, 2, TIME_LEFT));
        assert!(
            !matches!(decision, RoutingDecision::Send { member: MemberId(1), .. }),
            "{ahead_ms} ms ahead: {decision:?}"
        );
    }
}

/// Guards hosts against blame for delays of this gateway: a read that was written too late is retried at another
/// member, and the host is not ejected. (A request that must not be retried would fail, since it may have run.)
#[test]
fn a_read_that_was_written_too_late_is_retried_elsewhere() {
    for delay_ms in [10, 150, 2_000] {
        let mut balancer = balancer(true);
        prove_log_time(&mut balancer);
        let now = START + Micros::millis(2);
        for member in [2, 3] {
            let position = now - Micros::millis(492);
            balancer.health_checked(
                now,
                MemberId(member),
                answer(ResponseStatus::Served, MemberId(member), position),
            );
        }
        let (request_id, decision) = balancer.pick(now, request(0, 1, Micros::millis(5_000)));
        assert!(matches!(decision, RoutingDecision::Send { member: MemberId(2 | 3), .. }), "{decision:?}");
        assert!(balancer.is_fresh_enough(now, request_id));
        let written = now + Micros::millis(delay_ms);
        assert!(!balancer.is_fresh_enough(written, request_id), "written {delay_ms} ms late");
        let failed =
            FailedAttempt { progress: AttemptProgress::FullyWritten, cause: FailureCause::WrittenTooLate };
        let decision = balancer.handle_outcome(now, request_id, AttemptOutcome::NoResponse(failed));
        let is_retried = matches!(decision, RoutingDecision::Send { .. } | RoutingDecision::Queued);
        assert!(is_retried, "{decision:?}");
        assert_eq!(balancer.endpoint_counts().ejected, 0, "no member is ejected");
    }
}
