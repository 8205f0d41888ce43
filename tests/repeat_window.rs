//! The deduplication window of writes with an idempotency key: a repeat whose last byte is written after the window takes
//! effect twice, and one inside it is still sent. Some tests step the balancer in virtual time; connects,
//! breaks, windows and stalls are drawn log-uniformly from the ranges below. The others run the gateway on loopback, or as a process.

mod harness;

use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dunemount::attempt::{AttemptOutcome, AttemptProgress, FailedAttempt, FailureCause, ResponseStatus};
use dunemount::balancer::{Balancer, Output, RoutingDecision, RoutingRequest};
use dunemount::notice::WriteRefusal;
use dunemount::*;
use harness::process::{Faults, ProcessOptions};
use harness::scripted::{answer, start_gateway, Host, HostConnection};
use harness::{bind_loopback, listing, metric, write, Harness};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;

const START: Micros = Micros::millis(100_000);
/// Longest time between reading the clock and writing, which the rules grant the process.
const MAX_STALL: Micros = Micros::millis(150);
/// How long a client waits: longer than all that is drawn for one request.
const TIME_LEFT: Micros = Micros::millis(60_000);
/// Ranges of the windows, of the time that a connection takes to be established, and of the time after which a written
/// attempt breaks, in milliseconds.
const WINDOW_MS: Range<f64> = 20.0..20_000.0;
const CONNECT_MS: Range<f64> = 0.05..2_000.0;
const BREAK_MS: Range<f64> = 0.5..20_000.0;
/// How long the process is stalled between reading its clock and writing, in milliseconds.
const STALL_MS: Range<f64> = 0.1..150.0;
/// Number of requests in virtual time.
const SEEDS: Range<u64> = 1..4_001;
/// Fraction of those requests that must be repeated at least once, and end at a window, for the test to show something.
const MIN_SHARE: f64 = 0.1;

/// A time span drawn log-uniformly from a range in milliseconds.
fn span(rng: &mut Pcg64Mcg, range: &Range<f64>) -> Micros {
    Micros((harness::log_uniform(rng, range) * 1000.0) as u64)
}

/// A balancer with one class of writes, whose group drops duplicates for `window`, and a primary with two replicas.
fn balancer_with_window(window: Micros, seed: u64) -> Balancer {
    let idempotency = Idempotency::IdempotencyKey { scope: DeduplicationScope::Group, window };
    let class = Class {
        latency_objective: Micros::millis(500),
        deadline: TIME_LEFT,
        priority_weight: 1.0,
        late_weight: 1.0,
        idempotency,
        consistency: Consistency::Write,
    };
    let settings = Settings {
        classes: vec![class],
        tenants: vec![],
        over_quota_weight: 1.0,
        weight_basis: Default::default(),
        zone: ZoneId(0),
        gateways: 1,
        tick: Micros::millis(5),
        watch_required: false,
        replica_checks: ReplicaChecks::None,
        session_tokens: SessionTokens::Remembered,
        health_checks: false,
        cancels: true,
        peers: false,
        hedging: false,
        retry_after: true,
        clients_mark_retries: false,
        max_retry_after: Micros::millis(500),
        max_attempts: 10,
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
    };
    let mut balancer = Balancer::new(settings, seed);
    let entry =
        |id| Endpoint { member: MemberId(id), group: GroupId(1), primary: id == 1, ..Endpoint::default() };
    balancer.update_endpoints(START, true, (1..=3).map(entry).collect());
    balancer
}

fn write_request() -> RoutingRequest {
    RoutingRequest {
        class: ClassId(0),
        group: GroupId(1),
        session: SessionKey(7),
        committed: None,
        repeat: false,
        time_left: TIME_LEFT,
    }
}

/// What became of one write in virtual time.
#[derive(Clone, Copy, Debug, Default)]
struct Course {
    /// When the first attempt that was executed was written.
    first: Option<Micros>,
    /// When the last one was written.
    last: Option<Micros>,
    /// Number of attempts that were written.
    written: u32,
    /// When a repeat was refused, at the choice of a member or at the write.
    refused: Option<Micros>,
}

/// Runs one write whose attempts all break without an answer, until its final answer. `stall` draws the time between
/// reading the clock and writing.
fn run_write(balancer: &mut Balancer, rng: &mut Pcg64Mcg, stall: impl Fn(&mut Pcg64Mcg) -> Micros) -> Course {
    let (mut course, mut now) = (Course::default(), START);
    let (id, mut decision) = balancer.pick(now, write_request());
    loop {
        match decision {
            RoutingDecision::Send { .. } => {
                now = now + span(rng, &CONNECT_MS);
                let (progress, cause) = match balancer.begin_write(now, id) {
                    Ok(write_deadline) => {
                        assert!(now < write_deadline, "a write that could not be completed");
                        now = now + stall(rng);
                        course.first.get_or_insert(now);
                        course.last = Some(now);
                        course.written += 1;
                        now = now + span(rng, &BREAK_MS);
                        (AttemptProgress::FullyWritten, FailureCause::ConnectionLost)
                    }
                    Err(_) => {
                        course.refused = Some(now);
                        (AttemptProgress::NotConnected, FailureCause::NotAttempted)
                    }
                };
                let failed = FailedAttempt { progress, cause };
                decision = balancer.handle_outcome(now, id, AttemptOutcome::NoResponse(failed));
            }
            RoutingDecision::Queued => match balancer.poll_output(now) {
                Some(Output::Decision(_, next)) => decision = next,
                Some(_) => {}
                None => now = now.max(balancer.next_deadline().expect("a timer")),
            },
            RoutingDecision::Reject { .. } | RoutingDecision::Fail => {
                course.refused.get_or_insert(now);
                return course;
            }
        }
    }
}

/// Runs many writes and checks each against both sides of its window. Gives the number of repeats.
fn check_courses(stall: impl Fn(&mut Pcg64Mcg) -> Micros + Copy) {
    let (mut repeated, mut ended_by_window) = (0, 0);
    for seed in SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let window = span(&mut rng, &WINDOW_MS);
        let course = run_write(&mut balancer_with_window(window, seed), &mut rng, stall);
        let run = format!("seed {seed}, window {} ms: {course:?}", window.as_f64() / 1000.0);
        let first = course.first.unwrap_or_else(|| panic!("{run}: the first attempt is always written"));
        assert!(course.last <= Some(first + window), "{run}: written after the window");
        // Either the request has used up its attempts, or what was refused was not well inside the window.
        let refused = course.refused.expect("the request ended");
        let is_well_inside = refused + MAX_STALL + MAX_STALL < first + window;
        assert!(course.written >= 10 || !is_well_inside, "{run}: refused well inside the window");
        repeated += u32::from(course.written > 1);
        ended_by_window += u32::from(course.written < 10);
    }
    let least = ((SEEDS.end - SEEDS.start) as f64 * MIN_SHARE) as u32;
    println!("{repeated} writes repeated, {ended_by_window} ended by their window");
    assert!(repeated > least && ended_by_window > least, "too few of a kind");
}

/// Guards against review case 1: the window held when the host was chosen, and was over when its connection had been
/// established.
#[test]
fn no_repeat_is_written_after_the_window_however_long_the_connect_takes() {
    check_courses(|_| Micros(0));
}

/// Guards the window of a process that is stalled between reading its clock and writing, for as long as the rules grant:
/// the window was over when the statement was written.
#[test]
fn no_repeat_is_written_after_the_window_however_long_the_process_stalls() {
    check_courses(|rng| span(rng, &STALL_MS));
}

/// Starts a gateway in front of this host whose class of writes has a window of this many milliseconds.
fn gateway_with_window(host: &Host, window_ms: f64) -> Harness {
    let mut harness = start_gateway(&[host], 1);
    let config = harness.config_with("/settings/Classes/1/RepeatWindowMs", Some(json!(window_ms)));
    harness.reload_config(&config);
    while metric(harness.admin, "config_applied") < 1 {}
    harness
}

/// Guards the same on loopback: on a connection that is established after the window no repeat is written, the client
/// is told that its write may have run, and the connection serves the next request.
#[test]
fn nothing_is_repeated_on_a_connection_that_is_established_after_the_window() {
    const WINDOW: Duration = Duration::from_millis(400);
    let host = Host::new();
    let harness = gateway_with_window(&host, WINDOW.as_millis() as f64);
    let mut client = harness.client();
    client.ask(&write("twice"));
    let mut first = host.accept_ready();
    assert!(first.next_statement().is_some_and(|text| text.contains("'twice'")));
    let executed_at = Instant::now();
    first.reset();
    let mut second = host.accept_startup();
    std::thread::sleep(WINDOW.saturating_sub(executed_at.elapsed()));
    second.greet();
    let statements = std::thread::spawn(move || answer_all(second));
    assert_eq!(client.code(), "58000", "the write may have run");
    client.ask(&write("next"));
    assert_eq!(client.answer().len(), 4);
    drop(client);
    harness.end();
    let statements = statements.join().expect("a host");
    assert!(statements.len() == 1 && statements[0].contains("'next'"), "{statements:?}");
}

/// Serves all statements on a connection until its end, and gives them.
fn answer_all(mut connection: HostConnection) -> Vec<String> {
    let mut statements = Vec::new();
    while let Some(statement) = connection.next_statement() {
        connection.send(&answer("master", None));
        statements.push(statement);
    }
    statements
}

/// Guards the other side: a repeat whose connection is established inside the window is written and served, although
/// the first attempt waited longer than the window for its own connection.
#[test]
fn a_repeat_inside_the_window_is_written_though_the_first_connect_was_slow() {
    const WINDOW: Duration = Duration::from_millis(3_000);
    let host = Host::new();
    let harness = gateway_with_window(&host, WINDOW.as_millis() as f64);
    let mut client = harness.client();
    client.ask(&write("once"));
    let mut first = host.accept_startup();
    std::thread::sleep(WINDOW);
    first.greet();
    assert!(first.next_statement().is_some());
    first.reset();
    let second = host.listener.try_clone().expect("a listener");
    let statements = std::thread::spawn(move || answer_all(Host { listener: second }.accept_ready()));
    assert_eq!(client.answer().len(), 4, "served");
    drop(client);
    harness.end();
    let statements = statements.join().expect("a host");
    assert!(statements.len() == 1 && statements[0].contains("'once'"), "{statements:?}");
}

/// Guards the service after a repeat was refused: the member has accepted a session soon after its connection was reset,
/// so it was not restarted, and the next answer, however late, begins no slow start.
#[test]
fn a_member_that_accepts_a_session_soon_after_a_reset_begins_no_slow_start() {
    let mut balancer = balancer_with_window(Micros::millis(1_200), 1);
    let reset =
        FailedAttempt { progress: AttemptProgress::FullyWritten, cause: FailureCause::ConnectionLost };
    let refused =
        FailedAttempt { progress: AttemptProgress::NotConnected, cause: FailureCause::NotAttempted };
    let (id, decision) = balancer.pick(START, write_request());
    assert!(matches!(decision, RoutingDecision::Send { member: MemberId(1), .. }), "{decision:?}");
    assert!(balancer.begin_write(START, id).is_ok());
    let now = START + Micros::millis(1_000);
    let decision = balancer.handle_outcome(now, id, AttemptOutcome::NoResponse(reset));
    assert!(matches!(decision, RoutingDecision::Send { member: MemberId(1), .. }), "{decision:?}");
    let now = now + Micros::millis(228);
    balancer.session_accepted(now, MemberId(1));
    assert_eq!(balancer.begin_write(now, id), Err(WriteRefusal::OutsideRepeatWindow));
    assert_eq!(balancer.handle_outcome(now, id, AttemptOutcome::NoResponse(refused)), RoutingDecision::Fail);
    let mut now = now + Micros::millis(1_500);
    for _ in 0..20 {
        let (id, decision) = balancer.pick(now, write_request());
        assert!(matches!(decision, RoutingDecision::Send { member: MemberId(1), .. }), "{decision:?}");
        now = now + Micros::millis(100);
        let position = Some(now);
        let served = ResponseStatus::Served;
        let outcome = AttemptOutcome::Response { status: served, role: Some(Role::Primary), position };
        balancer.handle_outcome(now, id, outcome);
        now = now + Micros::millis(30);
    }
}

/// The window of the gateway process, and by how much sockets may exceed every time limit.
const PROCESS_WINDOW: Duration = Duration::from_millis(1_500);
const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// One write to a gateway process: the faults from its first attempt on until its repeat begins, and after how long the
/// host resets the connection of the first attempt. The host serves the repeat.
#[derive(Clone, Copy, Debug)]
struct Round {
    faults: &'static str,
    reset_after: Duration,
}

/// What became of that write.
struct RoundResult {
    /// Time between the writes of its first and its last attempt.
    repeated_after: Option<Duration>,
    is_served: bool,
}

/// A host that resets the connection on which it receives a request for the first time, and serves repeats.
struct ResettingHost {
    round: Mutex<Round>,
    known_ids: Mutex<BTreeSet<String>>,
    faults: Faults,
}

impl ResettingHost {
    fn serve(&self, mut connection: HostConnection) {
        loop {
            // The faults end with the first bytes of the repeat: what they have done to it is done.
            let _ = connection.socket.peek(&mut [0]);
            self.faults.set("");
            let Some(statement) = connection.next_statement() else { return };
            if self.known_ids.lock().expect("whole").insert(request_id(&statement)) {
                let round = *self.round.lock().expect("whole");
                self.faults.set(round.faults);
                std::thread::sleep(round.reset_after);
                return connection.reset();
            }
            connection.send(&answer("master", None));
        }
    }
}

/// The id in a statement's comment.
fn request_id(statement: &str) -> String {
    let rest = statement.split("id=").nth(1).expect("an id");
    rest.split(',').next().expect("a field").to_string()
}

/// Plays these rounds against a gateway process of this name, one after the other.
fn play_rounds(name: &str, rounds: &[Round]) -> Vec<RoundResult> {
    let (host, discovery) = (Host::new(), bind_loopback());
    let mut options = ProcessOptions::with_defaults(name, 300, discovery.local_addr().expect("bound"));
    options.settings["Classes"][1]["RepeatWindowMs"] = json!(PROCESS_WINDOW.as_millis() as f64);
    let faults = Faults::none(&options.folder());
    options.faults = Some(faults.clone());
    let process = options.start(&listing(&[host.address()]));
    let (round, known_ids) = (Mutex::new(rounds[0]), Mutex::default());
    let resetting = Arc::new(ResettingHost { round, known_ids, faults: faults.clone() });
    let served_by = resetting.clone();
    std::thread::spawn(move || loop {
        let (connection, host) = (host.accept_ready(), served_by.clone());
        std::thread::spawn(move || host.serve(connection));
    });
    let mut client = process.client();
    let mut play = |round: &Round| {
        *resetting.round.lock().expect("whole") = *round;
        let statement = write("k");
        client.ask(&statement);
        let is_served = client.answer().len() == 4;
        faults.set("");
        let (id, writes) = (request_id(&statement), faults.writes());
        let written: Vec<u64> = writes.iter().filter(|write| write.id == id).map(|write| write.at).collect();
        let repeated_after =
            (written.len() > 1).then(|| Duration::from_micros(written[written.len() - 1] - written[0]));
        RoundResult { repeated_after, is_served }
    };
    rounds.iter().map(&mut play).collect()
}

/// Guards clients against waiting for nothing: a write that waits for a usable host is failed once it may not be sent
/// again, not at its deadline.
#[test]
fn a_write_that_waits_in_the_queue_fails_at_the_end_of_its_window() {
    for window_ms in [160, 400, 1_200, 3_000, 20_000] {
        let window = Micros::millis(window_ms);
        let mut balancer = balancer_with_window(window, 1);
        let lost =
            FailedAttempt { progress: AttemptProgress::FullyWritten, cause: FailureCause::ConnectionLost };
        let (id, mut decision) = balancer.pick(START, write_request());
        assert!(balancer.begin_write(START, id).is_ok());
        // All hosts are taken out of service, so that the write waits.
        for member in 1..=3 {
            balancer.set_administratively_down(START, MemberId(member), true);
        }
        let mut now = START + Micros::millis(1);
        decision = match decision {
            RoutingDecision::Send { .. } => {
                balancer.handle_outcome(now, id, AttemptOutcome::NoResponse(lost))
            }
            other => panic!("{other:?}"),
        };
        while decision == RoutingDecision::Queued {
            match balancer.poll_output(now) {
                Some(Output::Decision(_, next)) => decision = next,
                Some(_) => {}
                None => now = now.max(balancer.next_deadline().expect("a timer")),
            }
        }
        assert_eq!(decision, RoutingDecision::Fail, "it may have run");
        assert!(
            now <= START + window,
            "window {window_ms} ms: failed {} ms after",
            (now - START).as_f64() / 1e3
        );
    }
}

/// Asserts that a gateway process with these faults repeats a write whose connection is reset early, and writes nothing
/// after the window where the reset comes after `late_reset`.
fn assert_process_keeps_window(name: &str, faults: &'static str, late_reset: Duration) {
    let early_reset = Duration::from_millis(50);
    let resets = [early_reset, late_reset, late_reset, early_reset];
    let rounds = resets.map(|reset_after| Round { faults, reset_after });
    for (round, result) in rounds.iter().zip(play_rounds(name, &rounds)) {
        let RoundResult { repeated_after, is_served } = result;
        println!("{name}: {round:?}: repeated after {repeated_after:?}, served: {is_served}");
        let is_in_window = repeated_after.is_none_or(|after| after <= PROCESS_WINDOW + SOCKET_SLACK);
        assert!(is_in_window, "{round:?}: repeated after {repeated_after:?}");
        let is_early = round.reset_after == early_reset;
        assert!(!is_early || is_served && repeated_after.is_some(), "{round:?}: not repeated");
    }
}

/// Guards the same for a process that is delayed for 0.15 s between reading its clock and each write: it reads the clock
/// 1.45 s after the first attempt, and writes after 1.6 s.
#[test]
fn a_process_that_is_delayed_before_it_writes_keeps_the_window() {
    assert_process_keeps_window("repeat-hold", "send hold 1\n", Duration::from_millis(1_300));
}

/// Guards the same where a statement is written in part: its last byte is accepted 0.3 s after the others, and is not
/// written any more once the window is over.
#[test]
fn a_statement_that_is_written_in_part_is_not_completed_after_the_window() {
    assert_process_keeps_window("repeat-part", "send stall 1\n", Duration::from_millis(1_300));
}
