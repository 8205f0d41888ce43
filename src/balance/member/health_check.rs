//! The time and state of a member's latest health check.

use crate::api::Micros;

/// A member's latest health check.
#[derive(Default)]
pub struct HealthCheck {
    pub(super) last_started_at: Micros,
    pub(super) in_flight: bool,
}

impl HealthCheck {
    /// When the latest health check was started.
    pub fn last_started_at(&self) -> Micros {
        self.last_started_at
    }

    /// Whether a health check is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Records the start of a health check.
    pub fn start(&mut self, now: Micros) {
        (self.in_flight, self.last_started_at) = (true, now);
    }

    /// Records the end of the health check in flight.
    pub fn finish(&mut self) {
        self.in_flight = false;
    }

    /// The state for a member that may have been restarted: a health check in flight is still awaited.
    pub fn after_restart(&self) -> HealthCheck {
        HealthCheck { in_flight: self.in_flight, ..HealthCheck::default() }
    }
}
