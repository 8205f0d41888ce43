//! How the time of a family's log stands to the router's own clock.
//!
//! Positions are times of the databases' clock, and the router's clock runs on its own: what this machine
//! takes for the time of day may be off, or be stepped, and says nothing. A primary stands at the present of
//! its log, so each of its answers bounds the offset between the two clocks: the position was taken after the
//! request was sent and before the answer was here.

use serde::{Deserialize, Serialize};

use crate::api::Micros;

/// Most that two clocks run apart, as a part of the time that goes by: twice the fastest slew of a clock that
/// is set.
const DRIFT: f64 = 0.001;
/// Positions are whole milliseconds, rounded down or up.
const ROUNDING: i64 = 1_000;
/// Bounds that miss each other by no more than this still agree: members of a family differ a little.
const TOLERANCE: i64 = 5_000;
/// How far the time of day of this machine and a position may be apart for one answer to be enough.
const PLAUSIBLE: i64 = 1_000_000;
/// Answers in a row that agree with each other and with nothing that is known: then the log's time was
/// stepped.
const CONVINCING: u32 = 3;
/// Time over which they have to agree where it was stepped back: one that was a primary and does not know yet
/// that it is none stands still, which for a moment looks the same, and would make replicas look fresher than
/// they are.
const CONVINCING_BACK: Micros = Micros::millis(3_000);

/// Bounds of an offset, in microseconds: the log's time less the router's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offset {
    /// When they were exact: they drift apart from there.
    at: Micros,
    least: i64,
    most: i64,
}

impl Offset {
    /// For a router whose clock is the log's.
    pub const NONE: Offset = Offset { at: Micros(u64::MAX), least: 0, most: 0 };

    /// What this machine's time of day says, for as long as no primary has said better.
    pub fn plausible(now: Micros) -> Offset {
        Offset { at: now, least: -PLAUSIBLE, most: PLAUSIBLE }
    }

    /// What a primary's answer tells: it stood at this position at some time from `sent` to `now`.
    pub fn between(sent: Micros, now: Micros, position: Micros) -> Offset {
        let less = |time: Micros| position.0 as i64 - time.0 as i64;
        Offset { at: now, least: less(now) - ROUNDING, most: less(sent) + ROUNDING }
    }

    /// Whether these bounds were exact just now.
    pub fn is_of(self, now: Micros) -> bool {
        self.at == now
    }

    /// The log's time less the router's in microseconds, at least and at most.
    pub fn bounds(self) -> (i64, i64) {
        (self.least, self.most)
    }

    /// The bounds at another time.
    fn at(self, now: Micros) -> Offset {
        let drift = (now - self.at).scale(DRIFT).0 as i64;
        Offset { at: self.at.max(now), least: self.least - drift, most: self.most + drift }
    }

    /// What both say, if they can both be right. Where they miss each other a little the second counts.
    fn meet(self, other: Offset) -> Option<Offset> {
        let (least, most) = (self.least.max(other.least), self.most.min(other.most));
        if least - most > TOLERANCE {
            return None;
        }
        Some(if least <= most { Offset { least, most, ..other } } else { other })
    }

    /// Bounds within which both lie.
    pub fn hull(self, other: Offset) -> Offset {
        let at = self.at.max(other.at);
        let (one, two) = (self.at(at), other.at(at));
        Offset { at, least: one.least.min(two.least), most: one.most.max(two.most) }
    }

    /// The log's time at the latest.
    pub fn latest(self, now: Micros) -> Micros {
        let most = self.at(now).most;
        Micros(now.0.saturating_add_signed(most))
    }

    /// Whether the log may stand at this position by now.
    pub fn allows(self, now: Micros, position: Micros) -> bool {
        position <= self.latest(now) + Micros(TOLERANCE as u64)
    }

    /// A time of the log on the router's clock, the latest that it may be.
    pub fn local(self, now: Micros, time: Micros) -> Micros {
        let least = self.at(now).least;
        Micros(time.0.saturating_add_signed(-least))
    }

    /// The same, the earliest that it may be.
    pub fn local_earliest(self, now: Micros, time: Micros) -> Micros {
        let most = self.at(now).most;
        Micros(time.0.saturating_add_signed(-most))
    }
}

/// What an answer changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It fits.
    None,
    /// Nothing was known before.
    Learned,
    /// What was known holds no more.
    Stepped,
}

/// Answers that agree with each other and do not fit what is known.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Doubt {
    offset: Offset,
    answers: u32,
    since: Micros,
}

/// What a family's primaries have told of its log's time.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LogClock {
    known: Option<Offset>,
    /// What the latest answers told that do not fit.
    doubt: Option<Doubt>,
}

impl LogClock {
    /// The offset that all answers fit.
    pub fn known(&self) -> Option<Offset> {
        self.known
    }

    /// The log's time at the latest, with all doubts.
    pub fn latest(&self, now: Micros) -> Option<Micros> {
        let known = self.known?.latest(now);
        Some(self.doubt.map_or(known, |doubt| known.max(doubt.offset.latest(now))))
    }

    /// Takes in what an answer told; `expected` is what is plausible as long as nothing is known.
    pub fn hear(&mut self, told: Offset, expected: Offset) -> Change {
        let now = told.at;
        let fits = self.known.unwrap_or(expected).at(now).meet(told);
        if let Some(fits) = fits {
            let change = if self.known.is_some() { Change::None } else { Change::Learned };
            *self = LogClock { known: Some(if change == Change::None { fits } else { told }), doubt: None };
            return change;
        }
        let agrees = |doubt: Doubt| {
            let offset = doubt.offset.at(now).meet(told)?;
            Some(Doubt { offset, answers: doubt.answers + 1, ..doubt })
        };
        let doubt = self.doubt.and_then(agrees).unwrap_or(Doubt { offset: told, answers: 1, since: now });
        let back = self.known.is_some_and(|known| doubt.offset.latest(now) < known.latest(now));
        let long_enough = !back || now - doubt.since >= CONVINCING_BACK;
        if doubt.answers < CONVINCING || !long_enough {
            self.doubt = Some(doubt);
            return Change::None;
        }
        let change = if self.known.is_some() { Change::Stepped } else { Change::Learned };
        *self = LogClock { known: Some(doubt.offset), doubt: None };
        change
    }
}

#[cfg(test)]
mod tests;
