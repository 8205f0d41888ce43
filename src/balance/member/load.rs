//! A member's load, in costs of usual requests, and its concurrency limit.

use crate::api::Micros;

/// Load under which a member counts as idle and may take a request of any size.
const IDLE_LOAD: f64 = 0.1;

/// What is in flight at a member and how much may be.
#[derive(Default)]
pub struct Load {
    pub(super) attempts_in_flight: u32,
    /// Cost of the attempts in flight.
    pub(super) cost_in_flight: f64,
    /// Cost of attempts that failed early, held against the member for as long as work would have taken.
    pub(super) failure_penalty: f64,
    /// Most cost in flight. Less than a request's is enforced in time: by pauses between requests.
    pub(super) limit: f64,
    pub(super) paused_until: Micros,
    /// Last send or answer: since then the member's connections are idle.
    pub(super) last_used_at: Micros,
}

impl Load {
    /// Nothing in flight, and this concurrency limit.
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

    /// Cost in flight and the failure penalty.
    pub fn effective(&self) -> f64 {
        self.cost_in_flight + self.failure_penalty
    }

    /// The concurrency limit.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Last send or answer; zero if no connection can be open.
    pub fn last_used_at(&self) -> Micros {
        self.last_used_at
    }

    /// Whether the member is to get nothing for the moment.
    pub fn is_paused(&self, now: Micros) -> bool {
        now < self.paused_until
    }

    /// Whether a request of this cost fits into a part of the limit.
    pub fn fits(&self, cost: f64, warmth: f64, part: f64) -> bool {
        let load = self.effective();
        load < IDLE_LOAD || load + cost.min(self.limit / 2.0) <= self.limit * warmth * part
    }

    /// An attempt has been sent.
    pub fn begin(&mut self, now: Micros, cost: f64) {
        self.last_used_at = now;
        self.attempts_in_flight += 1;
        self.cost_in_flight += cost;
    }

    /// An attempt no longer takes up capacity.
    pub fn end(&mut self, cost: f64) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
        let left = if self.attempts_in_flight == 0 { 0.0 } else { self.cost_in_flight - cost };
        self.cost_in_flight = left.max(0.0);
    }

    /// An answer has come in over a connection.
    pub fn mark_used(&mut self, now: Micros) {
        self.last_used_at = now;
    }

    /// No connection could be made: none is open.
    pub fn mark_disconnected(&mut self) {
        self.last_used_at = Micros(0);
    }

    /// Moves the limit by a step; upwards only where the attempt found half of it in use.
    pub fn adjust_limit(&mut self, step: f64, load_at_send: f64, floor: f64) {
        if step < 0.0 || load_at_send * 2.0 > self.limit {
            self.limit = (self.limit + step).max(floor);
        }
    }

    /// Pauses for the part of a latency by which the limit is below one request.
    pub fn pause_after(&mut self, now: Micros, latency: Micros) {
        self.paused_until = now + latency.scale(1.0 / self.limit - 1.0);
    }

    /// Sets the limit anew.
    pub fn reset_limit(&mut self, limit: f64) {
        self.limit = limit;
    }

    /// Holds the cost of an attempt that failed against the member.
    pub fn add_failure_penalty(&mut self, cost: f64) {
        self.failure_penalty += cost;
    }

    /// Lets the failure penalty fade by this factor.
    pub fn decay_failure_penalty(&mut self, factor: impl FnOnce() -> f64) {
        if self.failure_penalty > 0.0 {
            self.failure_penalty *= factor();
        }
    }

    /// What is in flight at a member that is otherwise known nothing of.
    pub fn after_restart(&self, limit: f64) -> Load {
        let &Load { attempts_in_flight, cost_in_flight, .. } = self;
        Load { attempts_in_flight, cost_in_flight, ..Load::new(limit) }
    }
}
