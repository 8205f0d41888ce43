//! Counts of events since the last `traffic` log line.

use slog::{info, Logger};

/// Number of sweeps between two `traffic` log lines.
const SWEEPS_PER_LINE: u64 = 40;

/// Counts of events since the last `traffic` log line.
#[derive(Default)]
pub(super) struct TrafficCounts {
    pub(super) received: u64,
    pub(super) served: u64,
    pub(super) rejected: u64,
    pub(super) failed: u64,
    pub(super) abandoned: u64,
    pub(super) cancelled: u64,
    pub(super) attempts: u64,
    pub(super) failed_attempts: u64,
    pub(super) connects: u64,
    pub(super) health_checks: u64,
    pub(super) malformed: u64,
    pub(super) reclaimed: u64,
    /// Answers that were read after their attempt or health check had been abandoned.
    pub(super) late_answers: u64,
    /// Answers that were left unread.
    pub(super) unread_answers: u64,
    sweeps: u64,
}

/// The numbers of requests and connections that are open at present.
pub(super) struct OpenCounts {
    pub(super) requests: usize,
    pub(super) clients: usize,
    pub(super) hosts: usize,
    /// Those of the connections to hosts whose attempt has been abandoned.
    pub(super) abandoned: usize,
}

impl TrafficCounts {
    /// Counts a sweep. After every [`SWEEPS_PER_LINE`] sweeps, logs the counts and resets them.
    pub(super) fn on_sweep(&mut self, log: &Logger, open: &OpenCounts) {
        self.sweeps += 1;
        if self.sweeps % SWEEPS_PER_LINE != 0 {
            return;
        }
        let counts = std::mem::take(self);
        info!(log, "traffic"; "taken" => counts.received, "served" => counts.served,
            "refused" => counts.rejected, "failed" => counts.failed, "left" => counts.abandoned,
            "cancelled" => counts.cancelled, "attempts" => counts.attempts, "broken" => counts.failed_attempts,
            "connects" => counts.connects, "probes" => counts.health_checks, "spoilt" => counts.malformed,
            "late_answers" => counts.late_answers, "unread_answers" => counts.unread_answers, "open" => open.requests, "clients" => open.clients, "hosts" => open.hosts, "abandoned" => open.abandoned);
    }
}
