//! Proof that a primary is at its present.
//!
//! A member that calls itself the primary may stand still: it hands over, hangs, or was deposed and does not
//! know it yet. It may reject requests, fail or even serve meanwhile, and the position that it reports is of
//! a time long past. A duplicate of a write that was dropped may be answered with the commit of its first
//! run. No single answer proves the log's time, therefore. A position that has advanced does: a log that
//! advances stands at its present, so the later position was the present at some time after the earlier
//! answer had been asked for.

use super::log_clock::{OffsetBounds, POSITION_ROUNDING_US};
use crate::api::Micros;
use crate::notice::{LogTimeEvidence, PositionKind};

/// A primary's log stood at this position at `since` or later.
#[derive(Clone, Copy, Debug)]
struct Standing {
    position: Micros,
    since: Micros,
    /// When that answer was received.
    received: Micros,
}

/// The progress of a member's log while the member calls itself the primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrimaryProgress {
    last: Option<Standing>,
}

impl PrimaryProgress {
    /// Since when the log has stood at its last known position, as far as is known.
    pub fn since(&self) -> Option<Micros> {
        self.last.map(|last| last.since)
    }

    /// Takes in a further answer of the member as the primary. What it proves of the log's time, if the
    /// position has advanced.
    pub fn observe(&mut self, answer: &LogTimeEvidence) -> Option<OffsetBounds> {
        let &LogTimeEvidence { position, sent, received, kind, .. } = answer;
        let standing = Standing { position, since: sent, received };
        if kind == PositionKind::NewCommit {
            // A member that commits is at its present.
            let last = self.last.filter(|last| last.position > position);
            self.last = last.or(Some(standing));
            return Some(OffsetBounds::between(sent, received, position));
        }
        // A reported position or an old commit may be long past: the log need not stand there.
        let current = kind == PositionKind::Current;
        let Some(last) = &mut self.last else {
            self.last = current.then_some(standing);
            return None;
        };
        // One position may be rounded down in one answer and, as a commit, rounded up in another.
        if position > last.position + Micros(POSITION_ROUNDING_US as u64) {
            let proof = OffsetBounds::between(last.since, received, position);
            let since = if current { last.since.max(sent) } else { last.since };
            *last = Standing { position, since, received };
            return Some(proof);
        }
        if !current {
            return None;
        }
        if position == last.position {
            // It still stands there.
            last.since = last.since.max(sent);
            last.received = last.received.max(received);
        } else if position < last.position && sent > last.received {
            // Positions do not go back: one of the two was corrupted, or the log's clock was stepped.
            self.last = None;
        }
        None
    }
}
