//! The timers of a worker's event loop.

use std::collections::BTreeMap;
use std::time::Instant;

use super::connections::ConnectionId;
use crate::{Micros, RequestId};

/// What is done when a timer fires.
#[derive(Clone, Copy)]
pub(super) enum Timer {
    /// The connection to a host must be up.
    ConnectTimeout(ConnectionId),
    /// The attempt's time is over.
    AttemptTimeout(RequestId, ConnectionId),
    /// The client gives up: if it is still owed its answer, it gets it now.
    RequestDeadline(RequestId),
    /// The health check's time is over.
    HealthCheckTimeout(ConnectionId),
    /// Discovery should have answered.
    DiscoveryTimeout(ConnectionId),
    /// Discovery is called again.
    DiscoveryRetry,
    /// Accepting goes on, and clients that were accepted in a shortage are served.
    ResumeAccepting,
    /// The configuration that could not be read is read again, up to this moment.
    ReloadRetry(Instant),
    /// Accepting operators' connections goes on.
    ResumeAdminAccepting,
    /// The poller is asked again to watch a connection.
    UpdateInterest(ConnectionId),
    /// The sweep over all connections.
    Sweep,
    /// A client that is not read, since it has sent more than is taken, may have left.
    UnreadCheck(ConnectionId),
    /// A half-closed connection has had its time.
    HalfClosedTimeout(ConnectionId),
    /// After SIGTERM: whoever still waits is answered now.
    FinalAnswers,
    /// After SIGTERM: the handover is over.
    HandoverEnd,
}

/// What is to happen when.
#[derive(Default)]
pub(super) struct Timers {
    queue: BTreeMap<(Micros, u64), Timer>,
    last_number: u64,
}

impl Timers {
    /// Sets a timer; those of one moment fire in the order in which they were set.
    pub(super) fn set(&mut self, at: Micros, timer: Timer) {
        self.last_number += 1;
        self.queue.insert((at, self.last_number), timer);
    }

    /// Takes out the next timer that is due.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        let first = self.queue.first_entry().filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    /// When the next timer is due.
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        self.queue.keys().next().map(|(at, _)| *at)
    }
}
