//! When a member's health was checked.

use crate::api::Micros;

/// A member's latest health check.
#[derive(Default)]
pub struct HealthCheck {
    pub(super) last_started_at: Micros,
    pub(super) in_flight: bool,
}

impl HealthCheck {
    /// When the latest one was started.
    pub fn last_started_at(&self) -> Micros {
        self.last_started_at
    }

    /// Whether it has not ended yet.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// A health check is started.
    pub fn start(&mut self, now: Micros) {
        (self.in_flight, self.last_started_at) = (true, now);
    }

    /// It has ended.
    pub fn finish(&mut self) {
        self.in_flight = false;
    }

    /// One in flight is still awaited of a member that may have been restarted.
    pub fn after_restart(&self) -> HealthCheck {
        HealthCheck { in_flight: self.in_flight, ..HealthCheck::default() }
    }
}
