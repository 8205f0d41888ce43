//! An inbox for those whose messages have their time: it knows when each arrived.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::codec::{Frame, FrameError, Inbox, Startup};
use crate::Micros;

/// When messages came whole, and how many in a row did at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival(pub Micros, pub usize);

/// Bytes that have come in and are not yet understood, and the arrival of each message among them: when its last
/// byte was received. Messages that came whole at one time share an entry, and one of which the rest is awaited has
/// none: whatever pieces they come in, there are no more entries than whole messages held, of five bytes at least.
#[derive(Debug, Default)]
pub struct TimedInbox {
    inbox: Inbox,
    arrivals: VecDeque<Arrival>,
    /// Bytes of the whole messages, which lie in front.
    whole: usize,
    /// The startup packet has come: what lies behind it has type bytes.
    started: bool,
}

impl TimedInbox {
    /// What another inbox held, and the arrivals that it told: as many as it knew. The rest counts as having
    /// arrived now, and nothing as having arrived later.
    pub fn resume(started: bool, bytes: &[u8], arrivals: &[Arrival], now: Micros) -> Self {
        let mut resumed = TimedInbox { started, ..TimedInbox::default() };
        resumed.inbox.push(bytes);
        for Arrival(at, count) in arrivals {
            resumed.mark((*at).min(now), *count);
        }
        resumed.mark(now, usize::MAX);
        resumed
    }

    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8], now: Micros) {
        self.inbox.push(bytes);
        self.mark(now, usize::MAX);
    }

    /// Notes the arrival of messages that are whole and were not, so many at the most.
    fn mark(&mut self, at: Micros, most: usize) {
        let mut count = 0;
        while count < most {
            let Some(message) = self.inbox.whole_at(self.whole, usize::from(self.started)) else { break };
            self.started = self.started || Startup::read(&message[4..]) != Ok(Startup::Encryption);
            self.whole += message.len();
            count += 1;
        }
        match self.arrivals.back_mut().filter(|last| last.0 == at) {
            Some(last) => last.1 += count,
            None if count > 0 => self.arrivals.push_back(Arrival(at, count)),
            None => {}
        }
    }

    /// The arrival of the message in front, which has been taken out with so many bytes.
    fn unmark(&mut self, length: usize) -> Micros {
        self.whole -= length;
        // What is taken out was whole and has its entry; without one it would count as long over.
        let Some(first) = self.arrivals.front_mut() else { return Micros(0) };
        let at = first.0;
        first.1 -= 1;
        if first.1 == 0 {
            self.arrivals.pop_front();
        }
        if self.arrivals.is_empty() {
            self.arrivals.shrink_to(16);
        }
        at
    }

    /// The arrivals of the whole messages, in their order.
    pub fn arrivals(&self) -> &VecDeque<Arrival> {
        &self.arrivals
    }

    /// The bytes held.
    pub fn rest(&self) -> &[u8] {
        self.inbox.rest()
    }

    /// Number of bytes held.
    pub fn len(&self) -> usize {
        self.inbox.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.inbox.is_empty()
    }

    /// The startup packet, once it is whole.
    pub fn startup(&mut self) -> Result<Option<Startup>, FrameError> {
        let before = self.inbox.len();
        let startup = self.inbox.startup()?;
        if startup.is_some() {
            self.unmark(before - self.inbox.len());
        }
        Ok(startup)
    }

    /// The next message of no more than the longest length and its arrival, once it is whole.
    pub fn frame(&mut self, longest: usize) -> Result<Option<(Frame, Micros)>, FrameError> {
        let before = self.inbox.len();
        let frame = self.inbox.frame_within(|_| longest)?;
        Ok(frame.map(|frame| (frame, self.unmark(before - self.inbox.len()))))
    }
}
