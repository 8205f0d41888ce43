//! For how long an idle connection is trusted to carry a request: something between gateway and member may
//! drop idle connections silently.

use super::housekeeping::half_life_decay;
use crate::api::*;

/// Losses in a row on idle connections, none on others, from which those are distrusted.
const MAX_IDLE_LOSSES: u32 = 4;
/// Part of the idle time of a lost connection that is trusted from then on.
const TRUSTED_PART: f64 = 0.5;
/// How fast trust comes back, against the memory of failures.
const RECOVERY_EXPONENT: f64 = 0.3;

/// How attempts over idle connections have ended of late.
pub struct IdleConnections {
    trusted_time: Micros,
    consecutive_losses: u32,
}

impl IdleConnections {
    /// All connections are trusted that are not closed after this time without use.
    pub fn new(idle_timeout: Micros) -> IdleConnections {
        IdleConnections { trusted_time: idle_timeout, consecutive_losses: 0 }
    }

    /// Longest that a connection may be idle and still be trusted.
    pub fn trusted_time(&self) -> Micros {
        self.trusted_time
    }

    /// Lets trust come back with time, up to the idle timeout.
    pub fn recover(&mut self, elapsed: f64, idle_timeout: Micros) {
        let trusted = self.trusted_time.scale(1.0 / half_life_decay(elapsed).powf(RECOVERY_EXPONENT));
        self.trusted_time = trusted.min(idle_timeout);
    }

    /// An attempt has ended whose connection had been `idle` for so long, as far as that matters. Whether it
    /// was lost because connections that have been idle for that long are dropped: the member is not to
    /// blame then. Where no new connections can be made nothing is distrusted.
    pub fn record(&mut self, status: AttemptStatus, idle: Option<Micros>, idle_timeout: Micros) -> bool {
        let lost_after = idle.filter(|_| is_unanswered(status));
        if status == AttemptStatus::ConnectFailed {
            self.trusted_time = idle_timeout;
        } else if is_unanswered(status) || idle.is_some() {
            self.consecutive_losses = if lost_after.is_some() { self.consecutive_losses + 1 } else { 0 };
        }
        let dropped_after = lost_after.filter(|_| self.consecutive_losses >= MAX_IDLE_LOSSES);
        if let Some(idle) = dropped_after {
            self.trusted_time = self.trusted_time.min(idle.scale(TRUSTED_PART));
        }
        dropped_after.is_some()
    }
}

/// Whether an attempt with this end went without any word from its member.
pub fn is_unanswered(status: AttemptStatus) -> bool {
    matches!(status, AttemptStatus::Timeout | AttemptStatus::Cancelled | AttemptStatus::Reset)
}
