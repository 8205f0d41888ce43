//! Compares the estimated log time with the true one in random simulations. Gaps between requests, latencies,
//! the periods for which a primary advances or is stopped, and stalls of the router are drawn from
//! log-uniform distributions over the ranges below.

use std::ops::Range;

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::*;
use crate::api::{AttemptStatus, MemberId};
use crate::balance::progress::PrimaryProgress;
use crate::balance::random::uniform;
use crate::notice::{LogTimeEvidence, PositionKind};

/// Time between two requests, in microseconds: from ten thousand requests per second to one in three seconds.
const GAP_US: Range<f64> = 100.0..3e6;
/// Time from a request to its answer, in microseconds.
const LATENCY_US: Range<f64> = 50.0..400_000.0;
/// Duration of a period in which a primary advances or is stopped, in microseconds.
const PERIOD_US: Range<f64> = 500.0..20e6;
/// How long the router is stalled between reading its clock and acting, in microseconds.
const STALL_US: Range<f64> = 1.0..150_000.0;

/// An answer that the router has not processed yet.
struct PendingAnswer {
    evidence: LogTimeEvidence,
    /// When the router processes it, by its clock.
    at: f64,
}

/// A router and a primary that answers it, whose log's clock has an offset, drifts and may be stepped.
struct Simulation {
    rng: Pcg64Mcg,
    now: f64,
    offset: f64,
    drift: f64,
    /// The position at which the log is stopped, if it is.
    stopped_at: Option<f64>,
    /// The commit of an earlier write; the answer to a dropped duplicate of that write repeats it.
    last_commit: f64,
    pending_answers: Vec<PendingAnswer>,
    progress: PrimaryProgress,
    clock: LogClock,
}

impl Simulation {
    fn new(seed: u64, offset: f64) -> Simulation {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let drift = (uniform(&mut rng) - 0.5) * 0.001;
        let (now, last_commit) = (86_400e6, 0.0);
        let (progress, clock) = (PrimaryProgress::default(), LogClock::default());
        Simulation {
            rng,
            now,
            offset,
            drift,
            stopped_at: None,
            last_commit,
            pending_answers: vec![],
            progress,
            clock,
        }
    }

    fn log_uniform(&mut self, range: &Range<f64>) -> f64 {
        range.start * (range.end / range.start).powf(uniform(&mut self.rng))
    }

    fn now(&self) -> Micros {
        Micros(self.now as u64)
    }

    fn advance(&mut self, micros: f64) {
        self.now += micros;
        self.offset += micros * self.drift;
    }

    /// The true log time.
    fn log_time(&self) -> f64 {
        self.now + self.offset
    }

    /// The true log time `micros` later, or earlier if negative.
    fn log_time_after(&self, micros: f64) -> f64 {
        self.log_time() + micros * (1.0 + self.drift)
    }

    /// Sends a request. The primary reads its position at a random moment before the answer arrives. The
    /// clock reading with which the router processes the answer may be outdated by a stall.
    fn start_health_check(&mut self) {
        let (latency, stall) = (self.log_uniform(&LATENCY_US), self.log_uniform(&STALL_US));
        let stall = if uniform(&mut self.rng) < 0.1 { stall } else { 0.0 };
        let position_read_after = latency * uniform(&mut self.rng);
        let position_read = self.stopped_at.unwrap_or(self.log_time_after(position_read_after));
        // A position is rounded down and a commit up; the commit is that of a new write or of an earlier one.
        let kind = uniform(&mut self.rng);
        let is_commit = kind < 0.3;
        let position = match is_commit {
            true if kind < 0.15 && self.last_commit > 0.0 => self.last_commit,
            true if self.stopped_at.is_some() => return,
            true => {
                // The write is executed when it arrives.
                self.last_commit = (self.log_time() / 1_000.0).ceil() * 1_000.0;
                self.last_commit
            }
            false => (position_read / 1_000.0).floor() * 1_000.0,
        };
        let (sent, at) = (self.now(), self.now + (latency - stall).max(0.0));
        let status = AttemptStatus::Ok;
        let evidence = LogTimeEvidence {
            member: MemberId(1),
            status,
            position: Micros(position as u64),
            kind: if is_commit { PositionKind::Commit } else { PositionKind::Current },
            sent,
            received: Micros(at as u64),
        };
        self.pending_answers.push(PendingAnswer { evidence, at });
    }

    /// Stops the primary. Answers in flight contain earlier positions, or the one at which it is stopped.
    fn stop_log(&mut self) {
        let stopped_at = self.log_time();
        self.stopped_at = Some(stopped_at);
        let (rounded_position, exact_position) =
            (Micros((stopped_at / 1_000.0).floor() as u64 * 1_000), Micros(stopped_at as u64));
        self.pending_answers.retain(|pending| {
            pending.evidence.kind != PositionKind::Commit
                || pending.evidence.position <= exact_position + Micros(1_000)
        });
        for PendingAnswer { evidence, .. } in &mut self.pending_answers {
            evidence.position = if evidence.kind == PositionKind::Commit {
                evidence.position
            } else {
                evidence.position.min(rounded_position)
            };
        }
    }

    /// Processes the answers that arrive by `until`, in their order, and returns the changes.
    fn process_answers(&mut self, until: f64) -> Vec<Change> {
        self.pending_answers.sort_by(|a, b| a.at.total_cmp(&b.at));
        let arrived = self.pending_answers.partition_point(|pending| pending.at <= until);
        let arrived: Vec<PendingAnswer> = self.pending_answers.drain(..arrived).collect();
        let mut changes = Vec::new();
        for PendingAnswer { evidence, at } in arrived {
            if let Some(proof) = self.progress.observe(&evidence) {
                changes.push(self.clock.add_proof(proof, OffsetBounds::plausible(evidence.received)));
            } else {
                self.clock.advance_to(evidence.sent, evidence.received, evidence.position);
            }
            self.check(at);
        }
        self.check(until);
        changes
    }

    /// Asserts that the estimate is not earlier than the true log time, within the error of calculations in
    /// whole microseconds.
    fn check(&self, at: f64) {
        let ahead = self.ahead(at);
        assert!(ahead.is_none_or(|ahead| ahead >= -2.0), "{ahead:?} at {at}, {:?}", self.clock);
    }

    /// How far the estimated upper bound is ahead of the true log time.
    fn ahead(&self, at: f64) -> Option<f64> {
        let now = Micros(at as u64);
        let known = self.clock.known()?.latest(now);
        let known = known.max(self.clock.latest_if_contradicted(now).unwrap_or_default());
        Some(known.0 as f64 - self.log_time_after(at - self.now))
    }

    /// Sends requests for `time` with gaps from this range, and returns the changes by their answers.
    fn run(&mut self, time: f64, gap: &Range<f64>) -> Vec<Change> {
        let (end, mut changes) = (self.now + time, Vec::new());
        while self.now < end {
            self.start_health_check();
            let gap = self.log_uniform(gap).min(end - self.now).max(1.0);
            changes.extend(self.process_answers(self.now + gap));
            self.advance(gap);
        }
        changes
    }

    /// Waits until all answers in flight have been processed.
    fn process_remaining(&mut self) -> Vec<Change> {
        let changes = self.process_answers(self.now + LATENCY_US.end);
        self.advance(LATENCY_US.end);
        changes
    }
}

/// Guards bounds on the age of data: the estimated log time is never earlier than the true one, for any
/// offset and drift of the clocks, and it is soon accurate while the primary advances.
#[test]
fn the_estimated_log_time_is_never_too_early() {
    for seed in 0..400 {
        let offset = [0.0, -3_600e6, -1e6, 3e6, 3_600e6][seed as usize % 5];
        let mut simulation = Simulation::new(seed, offset);
        simulation.run(10e6, &(100.0..100_000.0));
        let ahead = simulation.ahead(simulation.now).expect("known after ten seconds");
        // The smallest gap and latency of many determine the accuracy.
        assert!(ahead <= 60_000.0, "seed {seed}: {ahead} us ahead");
        simulation.run(30e6, &GAP_US);
    }
}

/// Guards the same if the databases' clock is stepped: from the first answer on no replica appears fresher
/// than it is, and the new time is adopted once answers agree on it, after a step back for three seconds.
#[test]
fn a_step_of_the_log_clock_is_adopted_once_answers_agree() {
    for seed in 0..200 {
        for step in [-3_600e6, -2e6, 2e6, 3_600e6] {
            let mut simulation = Simulation::new(seed, 0.0);
            simulation.run(5e6, &(100.0..200_000.0));
            simulation.process_remaining();
            simulation.offset += step;
            simulation.last_commit = 0.0;
            // The router cannot know of the step before the first answer.
            let first = simulation.log_time().max(0.0) as u64 + 1_000;
            simulation.clock.advance_to(simulation.now(), simulation.now(), Micros(first));
            let changes = simulation.run(8e6, &(100.0..200_000.0));
            let stepped = changes.iter().filter(|change| **change == Change::Stepped).count();
            assert_eq!(stepped, 1, "seed {seed}, step {step}");
            let ahead = simulation.ahead(simulation.now).expect("known");
            assert!(ahead <= 100_000.0, "seed {seed}, step {step}: {ahead} us ahead");
        }
    }
}

/// Guards against an answer with a corrupt position: one that the log cannot have reached is not adopted as
/// the log time, and makes replicas appear stale only until the next proof.
#[test]
fn a_corrupt_position_counts_until_the_next_proof() {
    for seed in 0..200 {
        for too_far in [200_000, 2_000_000, 3_600_000_000] {
            let mut simulation = Simulation::new(seed, 0.0);
            simulation.run(5e6, &(100.0..200_000.0));
            simulation.process_remaining();
            let (now, before) = (simulation.now(), simulation.clock.known());
            let corrupt = Micros(simulation.log_time() as u64 + too_far);
            simulation.clock.advance_to(now, now, corrupt);
            assert!(
                simulation.clock.latest_if_contradicted(now) >= Some(corrupt),
                "the position may be true"
            );
            assert_eq!(simulation.clock.known(), before, "the known offset is unchanged");
            simulation.run(5e6, &(100.0..200_000.0));
            assert_eq!(simulation.clock.latest_if_contradicted(simulation.now()), None, "seed {seed}");
            assert!(simulation.ahead(simulation.now).is_some_and(|ahead| ahead <= 100_000.0), "seed {seed}");
        }
    }
}

/// Guards against a member that claims to be the primary while its log is stopped, before its first answer or
/// later: for any duration, request rate and kind of answer, no replica appears fresher than it is. The
/// incident of report 85f2af.
#[test]
fn a_stopped_primary_does_not_move_the_log_time() {
    for seed in 0..400 {
        let mut simulation = Simulation::new(seed, 0.0);
        let mut stopped = seed % 2 == 0;
        for _ in 0..12 {
            let (period, smallest_gap) =
                (simulation.log_uniform(&PERIOD_US), simulation.log_uniform(&GAP_US));
            simulation.stopped_at = None;
            if stopped {
                simulation.stop_log();
            }
            simulation.run(period.min(smallest_gap * 3_000.0), &(smallest_gap..smallest_gap * 10.0));
            stopped = !stopped;
        }
    }
}

/// Guards the test above: it would fail if single answers were accepted as proofs.
#[test]
fn a_single_answer_of_a_stopped_primary_is_no_proof() {
    let mut simulation = Simulation::new(1, 0.0);
    simulation.stopped_at = Some(simulation.log_time() - 500_000.0);
    let changes = simulation.run(20e6, &GAP_US);
    assert_eq!((changes.len(), simulation.clock.known()), (0, None));
    // If its first answer were accepted as a proof, the log time would be half a second too early.
    let position = Micros(simulation.stopped_at.expect("the log is stopped") as u64);
    let single_answer = OffsetBounds::between(simulation.now(), simulation.now(), position);
    assert!((single_answer.latest(simulation.now()).0 as f64) < simulation.log_time() - 400_000.0);
}

/// Guards a hot restart: the offset that is handed over stays valid if the next process's clock has an error.
#[test]
fn a_handed_over_offset_allows_for_the_error_of_the_next_clock() {
    for seed in 0..200 {
        let mut simulation = Simulation::new(seed, 0.0);
        simulation.run(5e6, &(100.0..200_000.0));
        simulation.process_remaining();
        let error = simulation.log_uniform(&(1.0..2e6));
        let actual = error * (2.0 * uniform(&mut simulation.rng) - 1.0);
        simulation.clock = simulation.clock.with_clock_error(Micros(error.ceil() as u64));
        simulation.progress = PrimaryProgress::default();
        // The next process's clock is ahead of the previous one by the actual error.
        simulation.now += actual;
        simulation.offset -= actual;
        simulation.check(simulation.now);
        simulation.run(5e6, &GAP_US);
    }
}
