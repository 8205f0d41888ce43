//! Proof that a primary is at its present.
//!
//! Whoever calls itself the primary may stand still: it hands over, hangs, or was deposed and does not know
//! it yet. It may turn requests away, fail or even serve meanwhile, and the position that it tells is of a
//! time that is long over. A repeat of a write that was dropped may be answered with the commit of its
//! first run. No single answer dates a log, therefore. A position that has moved on does: a log that goes
//! on stands at its present, so the later position was the present at some time after the earlier answer
//! had been asked for.

use super::log_clock::{Offset, ROUNDING};
use crate::api::Micros;
use crate::notice::{Dating, Told};

/// What a member last told of its log as the primary: it stood at this position at `since` or later.
#[derive(Clone, Copy, Debug)]
struct Stand {
    position: Micros,
    since: Micros,
    /// When that answer was taken in.
    heard: Micros,
}

/// What a member tells of its log while it calls itself the primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    last: Option<Stand>,
}

impl Progress {
    /// Since when it has stood at the position that it last told, as far as is known.
    pub fn since(&self) -> Option<Micros> {
        self.last.map(|last| last.since)
    }

    /// Takes in a further answer of the member as the primary. What it proves of the log's time, if its
    /// position has moved on.
    pub fn hear(&mut self, answer: &Dating) -> Option<Offset> {
        let &Dating { position, sent, heard, told, .. } = answer;
        let stands = Stand { position, since: sent, heard };
        if told == Told::NewCommit {
            // Whoever commits is at the present.
            let last = self.last.filter(|last| last.position > position);
            self.last = last.or(Some(stands));
            return Some(Offset::between(sent, heard, position));
        }
        // What was reported or committed may be long over: nobody is known to stand there.
        let current = told == Told::Position;
        let Some(last) = &mut self.last else {
            self.last = current.then_some(stands);
            return None;
        };
        // One position may be told rounded down and, as a commit, rounded up.
        if position > last.position + Micros(ROUNDING as u64) {
            let proof = Offset::between(last.since, heard, position);
            let since = if current { last.since.max(sent) } else { last.since };
            *last = Stand { position, since, heard };
            return Some(proof);
        }
        if !current {
            return None;
        }
        if position == last.position {
            // It stands there still.
            last.since = last.since.max(sent);
            last.heard = last.heard.max(heard);
        } else if position < last.position && sent > last.heard {
            // Positions do not go back: one of the two was spoilt, or the log's clock was stepped.
            self.last = None;
        }
        None
    }
}
