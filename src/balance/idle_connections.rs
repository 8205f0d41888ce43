//! How long a connection may be idle and still be trusted to carry a request: something between gateway
//! and member may drop idle connections silently.

use super::housekeeping::half_life_decay;
use crate::api::*;

/// Consecutive losses on idle connections, none on others, from which idle connections are distrusted.
const MAX_IDLE_LOSSES: u32 = 4;
/// Fraction of a lost connection's idle time that is trusted afterwards.
const TRUSTED_IDLE_FRACTION: f64 = 0.5;
/// How fast the trusted time recovers, relative to the decay of failure rates.
const RECOVERY_EXPONENT: f64 = 0.3;

/// The recent ends of attempts over idle connections.
pub struct IdleConnections {
    trusted_time: Micros,
    consecutive_losses: u32,
}

impl IdleConnections {
    /// Trusts all connections up to the idle timeout, after which they are closed.
    pub fn new(idle_timeout: Micros) -> IdleConnections {
        IdleConnections { trusted_time: idle_timeout, consecutive_losses: 0 }
    }

    /// How long a connection may be idle and still be trusted.
    pub fn trusted_time(&self) -> Micros {
        self.trusted_time
    }

    /// Raises the trusted time after `elapsed` microseconds, up to the idle timeout.
    pub fn recover(&mut self, elapsed: f64, idle_timeout: Micros) {
        let trusted = self.trusted_time.scale(1.0 / half_life_decay(elapsed).powf(RECOVERY_EXPONENT));
        self.trusted_time = trusted.min(idle_timeout);
    }

    /// Records the end of an attempt whose connection had been idle for the time `idle`, if that matters.
    /// Returns whether it was lost because connections that were idle that long are dropped: the member is
    /// not to blame then. If no new connections can be made, all open ones are trusted.
    pub fn record(&mut self, status: AttemptStatus, idle: Option<Micros>, idle_timeout: Micros) -> bool {
        let lost_after = idle.filter(|_| is_unanswered(status));
        if status == AttemptStatus::ConnectFailed {
            self.trusted_time = idle_timeout;
        } else if is_unanswered(status) || idle.is_some() {
            self.consecutive_losses = if lost_after.is_some() { self.consecutive_losses + 1 } else { 0 };
        }
        let dropped_after = lost_after.filter(|_| self.consecutive_losses >= MAX_IDLE_LOSSES);
        if let Some(idle) = dropped_after {
            self.trusted_time = self.trusted_time.min(idle.scale(TRUSTED_IDLE_FRACTION));
        }
        dropped_after.is_some()
    }
}

/// Whether an attempt that ended with this status received no answer from its member.
pub fn is_unanswered(status: AttemptStatus) -> bool {
    matches!(status, AttemptStatus::Timeout | AttemptStatus::Cancelled | AttemptStatus::Reset)
}
