//! A member's load, measured in costs of usual requests, and its concurrency limit.

use crate::api::Micros;

/// Load below which a member counts as idle and may be sent a request of any cost.
const IDLE_LOAD: f64 = 0.1;

/// The cost in flight at a member, and its limit.
#[derive(Default)]
pub struct Load {
    pub(super) attempts_in_flight: u32,
    /// Cost of the attempts in flight.
    pub(super) cost_in_flight: f64,
    /// Cost of attempts that failed early, counted as load for about as long as their execution would have
    /// taken.
    pub(super) failure_penalty: f64,
    /// Maximum cost in flight. A limit below the cost of one request is enforced by pauses between requests.
    pub(super) limit: f64,
    pub(super) paused_until: Micros,
    /// When an attempt was last sent or ended: while none is in flight, the member's connections have been
    /// idle since then. Zero if the last attempt could not connect.
    pub(super) last_used_at: Micros,
}

impl Load {
    /// No load, with this concurrency limit.
    pub fn new(limit: f64) -> Load {
        Load { limit, ..Load::default() }
    }

    /// Whether any attempt is in flight.
    pub fn is_in_use(&self) -> bool {
        self.attempts_in_flight > 0
    }

    /// Cost of the attempts in flight.
    pub fn cost_in_flight(&self) -> f64 {
        self.cost_in_flight
    }

    /// Sum of the cost in flight and the failure penalty.
    pub fn effective(&self) -> f64 {
        self.cost_in_flight + self.failure_penalty
    }

    /// The concurrency limit.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// When an attempt was last sent or ended; zero if no connection can be open.
    pub fn last_used_at(&self) -> Micros {
        self.last_used_at
    }

    /// Whether the member is paused and should not be sent requests.
    pub fn is_paused(&self, now: Micros) -> bool {
        now < self.paused_until
    }

    /// Whether a request of this cost fits into a fraction of the limit, given the fraction of its capacity
    /// that the member has.
    pub fn fits(&self, cost: f64, capacity_fraction: f64, limit_fraction: f64) -> bool {
        let load = self.effective();
        load < IDLE_LOAD
            || load + cost.min(self.limit / 2.0) <= self.limit * capacity_fraction * limit_fraction
    }

    /// Adds an attempt that has been sent.
    pub fn begin(&mut self, now: Micros, cost: f64) {
        self.last_used_at = now;
        self.attempts_in_flight += 1;
        self.cost_in_flight += cost;
    }

    /// Removes an attempt that no longer takes up capacity.
    pub fn end(&mut self, cost: f64) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
        let left = if self.attempts_in_flight == 0 { 0.0 } else { self.cost_in_flight - cost };
        self.cost_in_flight = left.max(0.0);
    }

    /// Records the end of an attempt, unless it could not connect: then see [`Load::mark_disconnected`].
    pub fn mark_used(&mut self, now: Micros) {
        self.last_used_at = now;
    }

    /// Records that no connection is open, because none could be made.
    pub fn mark_disconnected(&mut self) {
        self.last_used_at = Micros(0);
    }

    /// Changes the limit by a step; raises it only if more than half of it was in use when the attempt was
    /// sent.
    pub fn adjust_limit(&mut self, step: f64, load_at_send: f64, floor: f64) {
        if step < 0.0 || load_at_send * 2.0 > self.limit {
            self.limit = (self.limit + step).max(floor);
        }
    }

    /// Pauses the member so that a limit below one request is kept on average: for a limit of 1/n, the pause
    /// after an attempt is n - 1 times its latency.
    pub fn pause_after(&mut self, now: Micros, latency: Micros) {
        self.paused_until = now + latency.scale(1.0 / self.limit - 1.0);
    }

    /// Replaces the limit.
    pub fn reset_limit(&mut self, limit: f64) {
        self.limit = limit;
    }

    /// Adds the cost of a failed attempt to the failure penalty.
    pub fn add_failure_penalty(&mut self, cost: f64) {
        self.failure_penalty += cost;
    }

    /// Multiplies the failure penalty, unless it is zero, by this factor.
    pub fn decay_failure_penalty(&mut self, factor: impl FnOnce() -> f64) {
        if self.failure_penalty > 0.0 {
            self.failure_penalty *= factor();
        }
    }

    /// The state for a member that may have been restarted: attempts in flight are still awaited.
    pub fn after_restart(&self, limit: f64) -> Load {
        let &Load { attempts_in_flight, cost_in_flight, .. } = self;
        Load { attempts_in_flight, cost_in_flight, ..Load::new(limit) }
    }
}
