//! Bounds of the offset between the clock of a group's log and the router's own clock.
//!
//! Positions are times of the databases' clock, and the router's clock runs independently of it. This
//! machine's time of day may be wrong or be stepped, so it is no evidence. A proof is evidence that a
//! primary's position was current at some time between two points on the router's clock, see
//! [`super::progress`]. Each proof bounds the offset between the two clocks, and all bounds hold together.

use super::snapshot_format::{ContradictionRecord, LogClockRecord, OffsetRecord};
use crate::api::Micros;

/// Maximum drift between two clocks, as a fraction of the elapsed time: twice the fastest slew rate of a
/// clock that is being adjusted.
const MAX_DRIFT_RATE: f64 = 0.001;
/// Rounding error of a position: positions are whole milliseconds, rounded down, and commits are rounded up.
pub(super) const POSITION_ROUNDING_US: i64 = 1_000;
/// Longest time for which the process may be stalled between reading its clock and the reads or writes that
/// follow.
pub(super) const MAX_STALL: Micros = Micros::millis(150);
/// Maximum difference between this machine's time of day and a position for which the first proof suffices.
const PLAUSIBLE_OFFSET_US: i64 = 1_000_000;
/// Number of consecutive proofs that agree with each other and contradict the known offset before they
/// replace it: the log's clock was stepped back, or the known offset came from a corrupt answer.
const MIN_AGREEING_PROOFS: u32 = 3;
/// Time over which these proofs must agree if they put the log time earlier than the known offset does.
const MIN_AGREEMENT_TIME: Micros = Micros::millis(3_000);

/// Lower and upper bound of an offset, in microseconds: the log time minus the router's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OffsetBounds {
    /// When the bounds were exact; from then on they widen by the maximum drift.
    exact_at: Micros,
    lower: i64,
    upper: i64,
}

impl OffsetBounds {
    /// The bounds for a router whose clock is that of the log.
    pub const ZERO: OffsetBounds = OffsetBounds { exact_at: Micros(u64::MAX), lower: 0, upper: 0 };

    /// The bounds that this machine's time of day makes plausible, used while there is no proof.
    pub fn plausible(now: Micros) -> OffsetBounds {
        OffsetBounds { exact_at: now, lower: -PLAUSIBLE_OFFSET_US, upper: PLAUSIBLE_OFFSET_US }
    }

    /// The bounds that follow from a log that was at `position` at some time between `since` and the receipt
    /// of the answer, which may be up to `MAX_STALL` later than `now`.
    pub fn between(since: Micros, now: Micros, position: Micros) -> OffsetBounds {
        let offset_from = |time: Micros| position.0 as i64 - time.0 as i64;
        OffsetBounds {
            exact_at: now,
            lower: offset_from(now + MAX_STALL) - POSITION_ROUNDING_US,
            upper: offset_from(since) + POSITION_ROUNDING_US,
        }
    }

    /// Lower and upper bound of the log time minus the router's time, in microseconds.
    pub fn bounds(self) -> (i64, i64) {
        (self.lower, self.upper)
    }

    /// How far the log time may be behind its upper bound, apart from stalls.
    pub fn width(self, now: Micros) -> Micros {
        let bounds = self.drifted_to(now);
        Micros((bounds.upper - bounds.lower).max(0) as u64) - MAX_STALL
    }

    /// The bounds at a later time, widened by the drift until then.
    fn drifted_to(self, now: Micros) -> OffsetBounds {
        let drift = (now - self.exact_at).scale(MAX_DRIFT_RATE).0 as i64;
        OffsetBounds {
            exact_at: self.exact_at.max(now),
            lower: self.lower - drift,
            upper: self.upper + drift,
        }
    }

    /// The range that both bounds allow, if they overlap.
    pub fn intersection(self, other: OffsetBounds) -> Option<OffsetBounds> {
        let exact_at = self.exact_at.max(other.exact_at);
        let (one, two) = (self.drifted_to(exact_at), other.drifted_to(exact_at));
        let (lower, upper) = (one.lower.max(two.lower), one.upper.min(two.upper));
        (lower <= upper).then_some(OffsetBounds { exact_at, lower, upper })
    }

    /// The smallest range that contains both bounds.
    pub fn hull(self, other: OffsetBounds) -> OffsetBounds {
        let exact_at = self.exact_at.max(other.exact_at);
        let (one, two) = (self.drifted_to(exact_at), other.drifted_to(exact_at));
        OffsetBounds { exact_at, lower: one.lower.min(two.lower), upper: one.upper.max(two.upper) }
    }

    /// These bounds for a router's clock that may be wrong by up to `error` in either direction.
    fn widened(self, error: Micros) -> OffsetBounds {
        let error = error.0 as i64;
        OffsetBounds { lower: self.lower - error, upper: self.upper + error, ..self }
    }

    /// These bounds, extended to allow a log that has reached at least this position by now.
    fn extended_to(self, now: Micros, position: Micros) -> OffsetBounds {
        let bounds = self.drifted_to(now);
        let reached = position.0 as i64 - bounds.exact_at.0 as i64;
        OffsetBounds { upper: bounds.upper.max(reached), ..bounds }
    }

    /// The upper bound of the log time.
    pub fn latest(self, now: Micros) -> Micros {
        let upper = self.drifted_to(now).upper;
        Micros(now.0.saturating_add_signed(upper))
    }

    /// Whether the log may have reached this position by now.
    pub fn allows(self, now: Micros, position: Micros) -> bool {
        position <= self.latest(now + MAX_STALL) + Micros(POSITION_ROUNDING_US as u64)
    }

    /// The latest time on the router's clock that a log time may correspond to.
    pub fn local_latest(self, now: Micros, time: Micros) -> Micros {
        let lower = self.drifted_to(now).lower;
        Micros(time.0.saturating_add_signed(-lower))
    }

    /// The earliest time on the router's clock that a log time may correspond to.
    pub fn local_earliest(self, now: Micros, time: Micros) -> Micros {
        let upper = self.drifted_to(now).upper;
        Micros(time.0.saturating_add_signed(-upper))
    }
}

/// How a proof has changed the known offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Neither learned nor replaced: the proof agrees with the known offset, or does not suffice yet.
    None,
    /// Known for the first time.
    Learned,
    /// Replaced, because proofs contradicted it.
    Stepped,
}

/// Proofs that agree with each other and contradict the known or the expected offset.
#[derive(Clone, Copy, Debug)]
struct Contradiction {
    offset: OffsetBounds,
    proofs: u32,
    since: Micros,
}

/// The offset of a log's clock, as far as it has been proved.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogClock {
    known: Option<OffsetBounds>,
    /// The latest proofs that contradict the known offset.
    contradiction: Option<Contradiction>,
}

impl LogClock {
    /// The offset that all accepted proofs agree on, if there is one.
    pub fn known(&self) -> Option<OffsetBounds> {
        self.known
    }

    /// Adds a proof. While no offset is known, a proof that agrees with `expected` suffices.
    pub fn add_proof(&mut self, proof: OffsetBounds, expected: OffsetBounds) -> Change {
        let Some(known) = self.known else {
            return match expected.intersection(proof) {
                Some(_) => self.adopt(proof, Change::Learned),
                None => self.contradict(proof, Micros(0), Change::Learned),
            };
        };
        if let Some(both) = known.intersection(proof) {
            return self.adopt(both, Change::None);
        }
        // The log's clock was stepped, or this answer is corrupt. Until that is decided the later log time
        // counts, so that no replica appears fresher than it is.
        let went_back = proof.upper < known.drifted_to(proof.exact_at).lower;
        self.contradict(proof, if went_back { MIN_AGREEMENT_TIME } else { Micros(0) }, Change::Stepped)
    }

    /// Records that a primary's log has reached this position, according to its answer to a request that was
    /// sent at `sent`. This raises the upper bound only; it is no proof.
    pub fn advance_to(&mut self, sent: Micros, now: Micros, position: Micros) {
        let Some(known) = self.known else { return };
        if known.allows(now, position) {
            self.known = Some(known.extended_to(now, position));
        } else if self.latest_if_contradicted(now).is_none_or(|latest| latest < position) {
            let offset = OffsetBounds::between(sent, now, position);
            self.contradiction = Some(Contradiction { offset, proofs: 0, since: now });
        }
    }

    /// The upper bound of the log time according to answers that contradict the known offset, if there are
    /// any.
    pub fn latest_if_contradicted(&self, now: Micros) -> Option<Micros> {
        Some(self.contradiction?.offset.latest(now))
    }

    /// This state for a router's clock that may be wrong by up to `error` in either direction: wider bounds,
    /// and no contradiction.
    pub fn with_clock_error(self, error: Micros) -> LogClock {
        LogClock { known: self.known.map(|known| known.widened(error)), contradiction: None }
    }

    fn adopt(&mut self, offset: OffsetBounds, change: Change) -> Change {
        *self = LogClock { known: Some(offset), contradiction: None };
        change
    }

    fn contradict(&mut self, proof: OffsetBounds, min_duration: Micros, change: Change) -> Change {
        let agrees = |contradiction: Contradiction| {
            let offset = contradiction.offset.intersection(proof)?;
            Some(Contradiction { offset, proofs: contradiction.proofs + 1, ..contradiction })
        };
        let first = Contradiction { offset: proof, proofs: 1, since: proof.exact_at };
        let contradiction = self.contradiction.and_then(agrees).unwrap_or(first);
        if contradiction.proofs >= MIN_AGREEING_PROOFS && proof.exact_at - contradiction.since >= min_duration
        {
            return self.adopt(contradiction.offset, change);
        }
        self.contradiction = Some(contradiction);
        Change::None
    }
}

impl From<OffsetBounds> for OffsetRecord {
    fn from(OffsetBounds { exact_at, lower, upper }: OffsetBounds) -> OffsetRecord {
        OffsetRecord { exact_at, lower, upper }
    }
}

impl From<OffsetRecord> for OffsetBounds {
    fn from(OffsetRecord { exact_at, lower, upper }: OffsetRecord) -> OffsetBounds {
        OffsetBounds { exact_at, lower, upper }
    }
}

impl From<Contradiction> for ContradictionRecord {
    fn from(Contradiction { offset, proofs, since }: Contradiction) -> ContradictionRecord {
        ContradictionRecord { offset: offset.into(), proofs, since }
    }
}

impl From<ContradictionRecord> for Contradiction {
    fn from(ContradictionRecord { offset, proofs, since }: ContradictionRecord) -> Contradiction {
        Contradiction { offset: offset.into(), proofs, since }
    }
}

impl From<LogClock> for LogClockRecord {
    fn from(LogClock { known, contradiction }: LogClock) -> LogClockRecord {
        LogClockRecord { known: known.map(Into::into), contradiction: contradiction.map(Into::into) }
    }
}

impl From<LogClockRecord> for LogClock {
    fn from(LogClockRecord { known, contradiction }: LogClockRecord) -> LogClock {
        LogClock { known: known.map(Into::into), contradiction: contradiction.map(Into::into) }
    }
}

#[cfg(test)]
mod tests;
