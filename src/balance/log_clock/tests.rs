//! The log's time against a true one, at random. Gaps between answers, their latencies, the spans for which a
//! primary goes on or stands still, and holds are drawn evenly on a log scale over the ranges below.

use std::ops::Range;

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::*;
use crate::api::{AttemptStatus, MemberId};
use crate::balance::progress::PrimaryProgress;
use crate::balance::random::uniform;
use crate::notice::{LogTimeEvidence, PositionKind};

/// Time between two requests, in microseconds: ten thousand a second to one in three seconds.
const GAP: Range<f64> = 100.0..3e6;
/// Time from a request to its answer.
const LATENCY: Range<f64> = 50.0..400_000.0;
/// For how long a primary goes on, or stands still.
const SPAN: Range<f64> = 500.0..20e6;
/// For how long the router is held up between its clock and what it does then.
const HELD: Range<f64> = 1.0..150_000.0;

/// An answer on its way.
struct Coming {
    evidence: LogTimeEvidence,
    /// When the router takes it in, by its clock.
    at: f64,
}

/// A log whose clock is off by so much, drifts and is stepped, and a primary that answers.
struct World {
    rng: Pcg64Mcg,
    now: f64,
    offset: f64,
    slew: f64,
    /// The log stands still at this time of its clock.
    still: Option<f64>,
    /// Some write's commit, which a dropped repeat tells again.
    commit: f64,
    coming: Vec<Coming>,
    progress: PrimaryProgress,
    clock: LogClock,
}

impl World {
    fn of(seed: u64, offset: f64) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let slew = (uniform(&mut rng) - 0.5) * 0.001;
        let (now, commit) = (86_400e6, 0.0);
        let (progress, clock) = (PrimaryProgress::default(), LogClock::default());
        World { rng, now, offset, slew, still: None, commit, coming: vec![], progress, clock }
    }

    fn log(&mut self, range: &Range<f64>) -> f64 {
        range.start * (range.end / range.start).powf(uniform(&mut self.rng))
    }

    fn now(&self) -> Micros {
        Micros(self.now as u64)
    }

    fn pass(&mut self, micros: f64) {
        self.now += micros;
        self.offset += micros * self.slew;
    }

    /// The log's present.
    fn present(&self) -> f64 {
        self.now + self.offset
    }

    /// What the log's present is so much later, or was before.
    fn present_after(&self, micros: f64) -> f64 {
        self.present() + micros * (1.0 + self.slew)
    }

    /// Sends a request; its position is taken at any moment until its answer is there, and both ends may be
    /// held up.
    fn start_health_check(&mut self) {
        let (latency, held) = (self.log(&LATENCY), self.log(&HELD));
        let held = if uniform(&mut self.rng) < 0.1 { held } else { 0.0 };
        let taken = latency * uniform(&mut self.rng);
        let stood = self.still.unwrap_or(self.present_after(taken));
        // Rounded down, or a commit rounded up: of a write that ran just now, or of one that ran before.
        let kind = uniform(&mut self.rng);
        let commit = kind < 0.3;
        let position = match commit {
            true if kind < 0.15 && self.commit > 0.0 => self.commit,
            true if self.still.is_some() => return,
            true => {
                // It ran as it came.
                self.commit = (self.present() / 1_000.0).ceil() * 1_000.0;
                self.commit
            }
            false => (stood / 1_000.0).floor() * 1_000.0,
        };
        let (sent, at) = (self.now(), self.now + (latency - held).max(0.0));
        let status = AttemptStatus::Ok;
        let evidence = LogTimeEvidence {
            member: MemberId(1),
            status,
            position: Micros(position as u64),
            kind: if commit { PositionKind::Commit } else { PositionKind::Current },
            sent,
            received: Micros(at as u64),
        };
        self.coming.push(Coming { evidence, at });
    }

    /// The primary comes to a stand: what is on its way was told before, or tells where it stands.
    fn stand(&mut self) {
        let still = self.present();
        self.still = Some(still);
        let (told, last) = (Micros((still / 1_000.0).floor() as u64 * 1_000), Micros(still as u64));
        self.coming.retain(|coming| {
            coming.evidence.kind != PositionKind::Commit || coming.evidence.position <= last + Micros(1_000)
        });
        for Coming { evidence, .. } in &mut self.coming {
            evidence.position = if evidence.kind == PositionKind::Commit {
                evidence.position
            } else {
                evidence.position.min(told)
            };
        }
    }

    /// Takes in the answers that are here by a time, in their order.
    fn take_in(&mut self, until: f64) -> Vec<Change> {
        self.coming.sort_by(|a, b| a.at.total_cmp(&b.at));
        let here = self.coming.partition_point(|coming| coming.at <= until);
        let here: Vec<Coming> = self.coming.drain(..here).collect();
        let mut changes = Vec::new();
        for Coming { evidence, at } in here {
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

    /// The log's time is not taken for earlier than it is: to the microsecond, whole ones being what is
    /// reckoned in.
    fn check(&self, at: f64) {
        let ahead = self.ahead(at);
        assert!(ahead.is_none_or(|ahead| ahead >= -2.0), "{ahead:?} at {at}, {:?}", self.clock);
    }

    /// How far beyond the true time of the log the latest one lies.
    fn ahead(&self, at: f64) -> Option<f64> {
        let now = Micros(at as u64);
        let known = self.clock.known()?.latest(now);
        let known = known.max(self.clock.latest_if_contradicted(now).unwrap_or_default());
        Some(known.0 as f64 - self.present_after(at - self.now))
    }

    /// Asks for so long with gaps from this range; whatever is changed by the answers.
    fn go_on(&mut self, time: f64, gap: &Range<f64>) -> Vec<Change> {
        let (end, mut changes) = (self.now + time, Vec::new());
        while self.now < end {
            self.start_health_check();
            let gap = self.log(gap).min(end - self.now).max(1.0);
            changes.extend(self.take_in(self.now + gap));
            self.pass(gap);
        }
        changes
    }

    /// All that is on its way arrives.
    fn settle(&mut self) -> Vec<Change> {
        let changes = self.take_in(self.now + LATENCY.end);
        self.pass(LATENCY.end);
        changes
    }
}

/// Guards bounds on the age of data: the log's time is never taken for earlier than it is, whatever the
/// clocks' offset and drift, and is known soon and closely while its primary goes on.
#[test]
fn the_time_of_the_log_is_never_taken_for_earlier_than_it_is() {
    for seed in 0..400 {
        let offset = [0.0, -3_600e6, -1e6, 3e6, 3_600e6][seed as usize % 5];
        let mut world = World::of(seed, offset);
        world.go_on(10e6, &(100.0..100_000.0));
        let ahead = world.ahead(world.now).expect("known after ten seconds");
        // The least gap and latency of many.
        assert!(ahead <= 60_000.0, "seed {seed}: {ahead} beyond it");
        world.go_on(30e6, &GAP);
    }
}

/// Guards the same where the databases' own clock is stepped: from the first answer on nothing passes for
/// fresher than it is, and the new time counts once answers agree on it, back for three seconds.
#[test]
fn a_step_of_the_logs_clock_counts_once_answers_agree_on_it() {
    for seed in 0..200 {
        for step in [-3_600e6, -2e6, 2e6, 3_600e6] {
            let mut world = World::of(seed, 0.0);
            world.go_on(5e6, &(100.0..200_000.0));
            world.settle();
            world.offset += step;
            world.commit = 0.0;
            // What is told between the step and the first answer cannot be known.
            let first = world.present().max(0.0) as u64 + 1_000;
            world.clock.advance_to(world.now(), world.now(), Micros(first));
            let changes = world.go_on(8e6, &(100.0..200_000.0));
            let stepped = changes.iter().filter(|change| **change == Change::Stepped).count();
            assert_eq!(stepped, 1, "seed {seed}, step {step}");
            let ahead = world.ahead(world.now).expect("known");
            assert!(ahead <= 100_000.0, "seed {seed}, step {step}: {ahead} beyond it");
        }
    }
}

/// Guards against an answer whose position was spoilt: one that is beyond what the log can be is not taken
/// for its time, and holds replicas back no longer than until the next proof.
#[test]
fn a_spoilt_position_counts_until_the_next_proof() {
    for seed in 0..200 {
        for beyond in [200_000, 2_000_000, 3_600_000_000] {
            let mut world = World::of(seed, 0.0);
            world.go_on(5e6, &(100.0..200_000.0));
            world.settle();
            let (now, before) = (world.now(), world.clock.known());
            let spoilt = Micros(world.present() as u64 + beyond);
            world.clock.advance_to(now, now, spoilt);
            assert!(world.clock.latest_if_contradicted(now) >= Some(spoilt), "it may be true");
            assert_eq!(world.clock.known(), before, "nobody's position is believed for it");
            world.go_on(5e6, &(100.0..200_000.0));
            assert_eq!(world.clock.latest_if_contradicted(world.now()), None, "seed {seed}");
            assert!(world.ahead(world.now).is_some_and(|ahead| ahead <= 100_000.0), "seed {seed}");
        }
    }
}

/// Guards against whoever calls itself the primary and stands still, before it was ever heard or after:
/// however long, at whatever rate, and whatever it answers, no replica looks fresher than it is. The
/// incident of report 85f2af.
#[test]
fn a_primary_that_stands_still_moves_the_time_of_the_log_nowhere() {
    for seed in 0..400 {
        let mut world = World::of(seed, 0.0);
        let mut still = seed % 2 == 0;
        for _ in 0..12 {
            let (served_span, fastest) = (world.log(&SPAN), world.log(&GAP));
            world.still = None;
            if still {
                world.stand();
            }
            world.go_on(served_span.min(fastest * 3_000.0), &(fastest..fastest * 10.0));
            still = !still;
        }
    }
}

/// Guards the test above: single answers taken for proof would be found by it.
#[test]
fn one_answer_of_who_stands_still_proves_nothing() {
    let mut world = World::of(1, 0.0);
    world.still = Some(world.present() - 500_000.0);
    let changes = world.go_on(20e6, &GAP);
    assert_eq!((changes.len(), world.clock.known()), (0, None));
    // Taken for proof, its first answer would put the log's time half a second back.
    let position = Micros(world.still.expect("still") as u64);
    let alone = OffsetBounds::between(world.now(), world.now(), position);
    assert!((alone.latest(world.now()).0 as f64) < world.present() - 400_000.0);
}

/// Guards a hot restart: what is handed over holds on a clock that has gone wrong meanwhile.
#[test]
fn what_is_handed_over_allows_for_the_error_of_the_next_clock() {
    for seed in 0..200 {
        let mut world = World::of(seed, 0.0);
        world.go_on(5e6, &(100.0..200_000.0));
        world.settle();
        let error = world.log(&(1.0..2e6));
        let actual = error * (2.0 * uniform(&mut world.rng) - 1.0);
        world.clock = world.clock.after_error(Micros(error.ceil() as u64));
        world.progress = PrimaryProgress::default();
        // The next clock shows so much more for the same moment.
        world.now += actual;
        world.offset -= actual;
        world.check(world.now);
        world.go_on(5e6, &GAP);
    }
}
