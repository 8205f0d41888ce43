//! The state of an operator's connection.

use crate::admin::connection::AdminConnection;
use crate::admin::metrics::Metrics;
use crate::Micros;

/// How long an operator may take for a complete call, and how long for reading the answer.
const CALL_TIMEOUT: Micros = Micros::millis(5_000);
const READ_TIMEOUT: Micros = Micros::millis(1_000);

/// An operator's connection.
pub(super) struct AdminSession {
    pub(super) protocol: AdminConnection,
    /// When it connected, or when it got its answer.
    pub(super) since: Micros,
    /// Workers whose reply the answer waits for, and the metrics that have come so far.
    pub(super) awaited_workers: usize,
    pub(super) metrics: Metrics,
    /// What an order is answered with once it holds on every worker.
    pub(super) confirmation: &'static str,
}

impl AdminSession {
    /// An operator that has just connected.
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

    /// One worker has replied. True once all have.
    pub(super) fn on_worker_reply(&mut self) -> bool {
        self.awaited_workers = self.awaited_workers.saturating_sub(1);
        self.awaited_workers == 0
    }
}
