//! Proves the log's time from the progress of a primary's log.
//!
//! The log of a member that claims to be the primary may have stopped: the member hands over its role, hangs,
//! or was deposed and does not know it yet. Meanwhile it may reject requests, fail or even serve, and the
//! position that it reports is long out of date. A duplicate write that it drops may be answered with the
//! commit of its first execution. A single answer therefore proves nothing about the log's time. A position
//! that has advanced does: a log that advances is up to date, so the later position was the log's time at
//! some moment after the request for the earlier answer had been sent.

use super::log_clock::{OffsetBounds, POSITION_ROUNDING_US};
use crate::api::Micros;
use crate::notice::{LogTimeEvidence, PositionKind};

/// A position that a primary's log had at `since` or later.
#[derive(Clone, Copy, Debug)]
struct ObservedPosition {
    position: Micros,
    since: Micros,
    /// When the answer that reported it was received.
    received: Micros,
}

/// The progress of a member's log while the member calls itself the primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrimaryProgress {
    last: Option<ObservedPosition>,
}

impl PrimaryProgress {
    /// The log was at its last known position at this time or later; none if no position is known.
    pub fn since(&self) -> Option<Micros> {
        self.last.map(|last| last.since)
    }

    /// Records a further answer of the member as the primary. Returns the bounds of the log's time that it
    /// proves, if it is a new commit or the position has advanced.
    pub fn observe(&mut self, answer: &LogTimeEvidence) -> Option<OffsetBounds> {
        let &LogTimeEvidence { position, sent, received, kind, .. } = answer;
        let observed = ObservedPosition { position, since: sent, received };
        if kind == PositionKind::NewCommit {
            // The log of a member that commits is up to date.
            let last = self.last.filter(|last| last.position > position);
            self.last = last.or(Some(observed));
            return Some(OffsetBounds::between(sent, received, position));
        }
        // A reported position or an old commit may be long out of date: the log may be further on.
        let current = kind == PositionKind::Current;
        let Some(last) = &mut self.last else {
            self.last = current.then_some(observed);
            return None;
        };
        // The same position may be rounded down in one answer and, as a commit, rounded up in another.
        if position > last.position + Micros(POSITION_ROUNDING_US as u64) {
            let proof = OffsetBounds::between(last.since, received, position);
            let since = if current { last.since.max(sent) } else { last.since };
            *last = ObservedPosition { position, since, received };
            return Some(proof);
        }
        if !current {
            return None;
        }
        if position == last.position {
            // The log is still at this position.
            last.since = last.since.max(sent);
            last.received = last.received.max(received);
        } else if position < last.position && sent > last.received {
            // Positions never decrease: one of the two was corrupted, or the log's clock was stepped.
            self.last = None;
        }
        None
    }
}
