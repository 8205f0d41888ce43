//! The state of an operator's connection.

use crate::admin::connection::AdminConnection;
use crate::admin::metrics::Metrics;
use crate::Micros;

/// How long an operator may take to send a complete call, and to read the answer.
const CALL_TIMEOUT: Micros = Micros::millis(5_000);
const READ_TIMEOUT: Micros = Micros::millis(1_000);

/// An operator's connection.
pub(super) struct AdminSession {
    pub(super) protocol: AdminConnection,
    /// When it connected, or when its answer was ready to be sent.
    pub(super) since: Micros,
    /// Number of workers whose replies are still missing, and the sum of the metrics received so far.
    pub(super) awaited_workers: usize,
    pub(super) metrics: Metrics,
    /// The answer to a change of a host's administrative state, sent once every worker has applied it.
    pub(super) confirmation: &'static str,
}

impl AdminSession {
    /// The state of a connection that has just been accepted.
    pub(super) fn new(now: Micros) -> Self {
        AdminSession {
            protocol: AdminConnection::default(),
            since: now,
            awaited_workers: 0,
            metrics: Metrics::default(),
            confirmation: "",
        }
    }

    /// Whether it has taken too long for its call, or for reading the answer.
    pub(super) fn is_overdue(&self, now: Micros) -> bool {
        let timeout = if self.protocol.has_responded() { READ_TIMEOUT } else { CALL_TIMEOUT };
        now - self.since >= timeout
    }

    /// Records a worker's reply. True once all workers have replied.
    pub(super) fn on_worker_reply(&mut self) -> bool {
        self.awaited_workers = self.awaited_workers.saturating_sub(1);
        self.awaited_workers == 0
    }
}
