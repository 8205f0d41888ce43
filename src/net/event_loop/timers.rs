//! The timers of a worker's event loop.

use std::collections::BTreeMap;
use std::time::Instant;

use super::connections::ConnectionId;
use crate::{Micros, RequestId};

/// The action of a timer.
#[derive(Clone, Copy)]
pub(super) enum Timer {
    /// The host must have accepted the session by now.
    ConnectTimeout(ConnectionId),
    /// The attempt has timed out.
    AttemptTimeout(RequestId, ConnectionId),
    /// The request's deadline has come: a client that has no answer yet gets an error.
    RequestDeadline(RequestId),
    /// The health check has timed out.
    HealthCheckTimeout(ConnectionId),
    /// The answer of the abandoned attempt or health check has not come in time.
    LateAnswerTimeout(ConnectionId),
    /// The call to discovery has timed out.
    DiscoveryTimeout(ConnectionId),
    /// Calls discovery again.
    DiscoveryRetry,
    /// Resumes accepting clients, and registers those that could not be registered because of a shortage.
    ResumeAccepting,
    /// Reads the configuration file again; it is retried up to this moment.
    ReloadRetry(Instant),
    /// Resumes accepting operators' connections.
    ResumeAdminAccepting,
    /// Retries changing the events that the poller watches for on a connection.
    UpdateInterest(ConnectionId),
    /// Runs the sweep over all connections.
    Sweep,
    /// Checks whether a client has disconnected that is not read, since it has sent more than is buffered.
    UnreadCheck(ConnectionId),
    /// The half-closed connection has timed out.
    HalfClosedTimeout(ConnectionId),
    /// After SIGTERM: answers all requests that are still waiting.
    FinalAnswers,
    /// After SIGTERM: ends the handover and closes the listener.
    HandoverEnd,
}

/// The pending timers, ordered by the time at which they are due.
#[derive(Default)]
pub(super) struct Timers {
    queue: BTreeMap<(Micros, u64), Timer>,
    last_number: u64,
}

impl Timers {
    /// Sets a timer. Timers with the same time fire in the order in which they were set.
    pub(super) fn set(&mut self, at: Micros, timer: Timer) {
        self.last_number += 1;
        self.queue.insert((at, self.last_number), timer);
    }

    /// Removes and returns the next timer that is due.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        let first = self.queue.first_entry().filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    /// Removes the timers that are not needed any more. Most timeouts never fire, and their timers may be far ahead.
    pub(super) fn retain(&mut self, mut is_needed: impl FnMut(&Timer) -> bool) {
        self.queue.retain(|_, timer| is_needed(timer));
    }

    /// When the next timer is due.
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        self.queue.keys().next().map(|(at, _)| *at)
    }
}
