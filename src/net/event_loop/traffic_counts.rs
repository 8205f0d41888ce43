//! Counts of what has happened since the last log line on the traffic.

use slog::{info, Logger};

/// Sweeps between two log lines.
const SWEEPS_PER_LINE: u64 = 40;

/// What happened since the last log line.
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
    sweeps: u64,
}

/// What is open at the moment.
pub(super) struct OpenCounts {
    pub(super) requests: usize,
    pub(super) clients: usize,
    pub(super) hosts: usize,
}

impl TrafficCounts {
    /// A sweep has ended. The counts are written and begin anew after every so many of them.
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
            "open" => open.requests, "clients" => open.clients, "hosts" => open.hosts);
    }
}
