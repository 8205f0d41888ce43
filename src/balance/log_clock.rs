//! Bounds of the offset between the clock of a group's log and the router's own clock.
//!
//! Positions are times of the databases' clock, and the router's clock runs on its own: this machine's time
//! of day may be off, or be stepped, and says nothing. What counts is proof that a primary was at its present
//! between two moments, see [`super::progress`]: each proof bounds the offset between the two clocks, and all
//! of them hold.

use super::snapshot_format::{DoubtRecord, LogClockRecord, OffsetRecord};
use crate::api::Micros;

/// Most that two clocks drift apart, as a part of the time that passes: twice the fastest slew of a clock
/// that is being set.
const DRIFT: f64 = 0.001;
/// Positions are whole milliseconds, rounded down, or up where they are commits.
pub(super) const POSITION_ROUNDING_US: i64 = 1_000;
/// Longest that a router may be held up between reading its clock and what it then reads or writes.
pub(super) const MAX_STALL: Micros = Micros::millis(150);
/// How far the time of day of this machine and a position may be apart for the first proof to be enough.
const PLAUSIBLE: i64 = 1_000_000;
/// Proofs in a row that agree with each other and with nothing that is known: then the log's time was stepped
/// back, or what is known came from a corrupt answer.
const CONVINCING_PROOFS: u32 = 3;
/// Time over which they have to agree where something else is known.
const CONVINCING_TIME: Micros = Micros::millis(3_000);

/// Bounds of an offset, in microseconds: the log's time less the router's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OffsetBounds {
    /// When they were exact: they drift apart from there.
    at: Micros,
    least: i64,
    most: i64,
}

impl OffsetBounds {
    /// For a router whose clock is the log's.
    pub const NONE: OffsetBounds = OffsetBounds { at: Micros(u64::MAX), least: 0, most: 0 };

    /// What this machine's time of day says, for as long as nothing is proved.
    pub fn plausible(now: Micros) -> OffsetBounds {
        OffsetBounds { at: now, least: -PLAUSIBLE, most: PLAUSIBLE }
    }

    /// The log stood at this position at some time from `since` on, by an answer that has been received: up
    /// to a hold later than the clock shows.
    pub fn between(since: Micros, now: Micros, position: Micros) -> OffsetBounds {
        let less = |time: Micros| position.0 as i64 - time.0 as i64;
        OffsetBounds {
            at: now,
            least: less(now + MAX_STALL) - POSITION_ROUNDING_US,
            most: less(since) + POSITION_ROUNDING_US,
        }
    }

    /// The log's time less the router's in microseconds, at least and at most.
    pub fn bounds(self) -> (i64, i64) {
        (self.least, self.most)
    }

    /// How far the log's time may lie below the latest that it is taken for.
    pub fn width(self, now: Micros) -> Micros {
        let bounds = self.at(now);
        Micros((bounds.most - bounds.least).max(0) as u64) - MAX_STALL
    }

    /// The bounds at another time.
    fn at(self, now: Micros) -> OffsetBounds {
        let drift = (now - self.at).scale(DRIFT).0 as i64;
        OffsetBounds { at: self.at.max(now), least: self.least - drift, most: self.most + drift }
    }

    /// The bounds that both allow, if they can both be right.
    pub fn intersection(self, other: OffsetBounds) -> Option<OffsetBounds> {
        let at = self.at.max(other.at);
        let (one, two) = (self.at(at), other.at(at));
        let (least, most) = (one.least.max(two.least), one.most.min(two.most));
        (least <= most).then_some(OffsetBounds { at, least, most })
    }

    /// Bounds within which both lie.
    pub fn hull(self, other: OffsetBounds) -> OffsetBounds {
        let at = self.at.max(other.at);
        let (one, two) = (self.at(at), other.at(at));
        OffsetBounds { at, least: one.least.min(two.least), most: one.most.max(two.most) }
    }

    /// The same where the router's clock may be off by an error either way.
    fn widened(self, error: Micros) -> OffsetBounds {
        let error = error.0 as i64;
        OffsetBounds { least: self.least - error, most: self.most + error, ..self }
    }

    /// The same with room for a log that has come to this position by now at the least.
    fn reaching(self, now: Micros, position: Micros) -> OffsetBounds {
        let bounds = self.at(now);
        let reached = position.0 as i64 - bounds.at.0 as i64;
        OffsetBounds { most: bounds.most.max(reached), ..bounds }
    }

    /// The log's time at the latest.
    pub fn latest(self, now: Micros) -> Micros {
        let most = self.at(now).most;
        Micros(now.0.saturating_add_signed(most))
    }

    /// Whether the log may stand at this position by now.
    pub fn allows(self, now: Micros, position: Micros) -> bool {
        position <= self.latest(now + MAX_STALL) + Micros(POSITION_ROUNDING_US as u64)
    }

    /// A time of the log on the router's clock, the latest that it may be.
    pub fn local_latest(self, now: Micros, time: Micros) -> Micros {
        let least = self.at(now).least;
        Micros(time.0.saturating_add_signed(-least))
    }

    /// The same, the earliest that it may be.
    pub fn local_earliest(self, now: Micros, time: Micros) -> Micros {
        let most = self.at(now).most;
        Micros(time.0.saturating_add_signed(-most))
    }
}

/// What a proof has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It fits what was known.
    None,
    /// Nothing was known before.
    Learned,
    /// What was known no longer holds.
    Stepped,
}

/// Proofs that agree with each other and contradict what is known.
#[derive(Clone, Copy, Debug)]
struct Contradiction {
    offset: OffsetBounds,
    proofs: u32,
    since: Micros,
}

/// What is proved of a log's time.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogClock {
    known: Option<OffsetBounds>,
    /// The latest proofs that contradict it.
    contradiction: Option<Contradiction>,
}

impl LogClock {
    /// The offset that all proofs fit.
    pub fn known(&self) -> Option<OffsetBounds> {
        self.known
    }

    /// Takes in a proof; `expected` is what is plausible as long as nothing is known.
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
        // The log was stepped, or this answer is corrupt. For as long as that is open the later time counts,
        // which makes no replica look fresher.
        let back = proof.most < known.at(proof.at).least;
        self.contradict(proof, if back { CONVINCING_TIME } else { Micros(0) }, Change::Stepped)
    }

    /// By a primary's answer to a request of `sent` its log has come to this position, which proves nothing
    /// else.
    pub fn advance_to(&mut self, sent: Micros, now: Micros, position: Micros) {
        let Some(known) = self.known else { return };
        if known.allows(now, position) {
            self.known = Some(known.reaching(now, position));
        } else if self.latest_if_contradicted(now).is_none_or(|latest| latest < position) {
            let offset = OffsetBounds::between(sent, now, position);
            self.contradiction = Some(Contradiction { offset, proofs: 0, since: now });
        }
    }

    /// The log's time at the latest by proofs that contradict what is known, if there are any.
    pub fn latest_if_contradicted(&self, now: Micros) -> Option<Micros> {
        Some(self.contradiction?.offset.latest(now))
    }

    /// What is left of it where the router's clock may be off by an error either way.
    pub fn after_error(self, error: Micros) -> LogClock {
        LogClock { known: self.known.map(|known| known.widened(error)), contradiction: None }
    }

    fn adopt(&mut self, offset: OffsetBounds, change: Change) -> Change {
        *self = LogClock { known: Some(offset), contradiction: None };
        change
    }

    fn contradict(&mut self, proof: OffsetBounds, time: Micros, change: Change) -> Change {
        let agrees = |contradiction: Contradiction| {
            let offset = contradiction.offset.intersection(proof)?;
            Some(Contradiction { offset, proofs: contradiction.proofs + 1, ..contradiction })
        };
        let first = Contradiction { offset: proof, proofs: 1, since: proof.at };
        let contradiction = self.contradiction.and_then(agrees).unwrap_or(first);
        if contradiction.proofs >= CONVINCING_PROOFS && proof.at - contradiction.since >= time {
            return self.adopt(contradiction.offset, change);
        }
        self.contradiction = Some(contradiction);
        Change::None
    }
}

impl From<OffsetBounds> for OffsetRecord {
    fn from(OffsetBounds { at, least, most }: OffsetBounds) -> OffsetRecord {
        OffsetRecord { at, least, most }
    }
}

impl From<OffsetRecord> for OffsetBounds {
    fn from(OffsetRecord { at, least, most }: OffsetRecord) -> OffsetBounds {
        OffsetBounds { at, least, most }
    }
}

impl From<Contradiction> for DoubtRecord {
    fn from(Contradiction { offset, proofs, since }: Contradiction) -> DoubtRecord {
        DoubtRecord { offset: offset.into(), proofs, since }
    }
}

impl From<DoubtRecord> for Contradiction {
    fn from(DoubtRecord { offset, proofs, since }: DoubtRecord) -> Contradiction {
        Contradiction { offset: offset.into(), proofs, since }
    }
}

impl From<LogClock> for LogClockRecord {
    fn from(LogClock { known, contradiction }: LogClock) -> LogClockRecord {
        LogClockRecord { known: known.map(Into::into), doubt: contradiction.map(Into::into) }
    }
}

impl From<LogClockRecord> for LogClock {
    fn from(LogClockRecord { known, doubt }: LogClockRecord) -> LogClock {
        LogClock { known: known.map(Into::into), contradiction: doubt.map(Into::into) }
    }
}

#[cfg(test)]
mod tests;
