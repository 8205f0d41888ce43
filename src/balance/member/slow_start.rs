//! Slow start: a member that was started recently gets a growing fraction of the load.

use rand_pcg::Pcg64Mcg;

use crate::api::{Micros, Settings};
use crate::balance::random::uniform;

/// When a member was started, and the cost that it may still be sent during its slow start.
#[derive(Default)]
pub struct SlowStart {
    /// When its slow start began; zero if long ago.
    pub(super) started_at: Micros,
    /// Whether the start is from the endpoint list; otherwise the member was seen to recover.
    pub(super) is_listed_start: bool,
    /// Cost that may still be sent during slow start. The first value is random and negative, so that
    /// gateways do not all send at once.
    pub(super) tokens: f64,
}

impl SlowStart {
    /// When the member was started; zero if long ago.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Fraction of its capacity that the member has at least: it grows no slower than linearly.
    pub fn capacity_fraction(&self, now: Micros, settings: &Settings) -> f64 {
        let window = settings.slow_start_window.as_f64();
        let age = (now - self.started_at).as_f64();
        if self.started_at == Micros(0) || age >= window {
            return 1.0;
        }
        settings.slow_start_initial + (1.0 - settings.slow_start_initial) * age / window
    }

    /// Whether no tokens are left, for a member in slow start with this fraction of its capacity.
    pub fn is_exhausted(&self, capacity_fraction: f64) -> bool {
        capacity_fraction < 1.0 && self.tokens <= 0.0
    }

    /// Begins a slow start, because the member was seen to recover.
    pub fn restart(&mut self, at: Micros, rng: &mut Pcg64Mcg) {
        self.started_at = at;
        self.is_listed_start = false;
        self.tokens = -uniform(rng);
    }

    /// Begins a slow start, because the list names a later start.
    pub fn restart_as_listed(&mut self, at: Micros, rng: &mut Pcg64Mcg) {
        self.restart(at, rng);
        self.is_listed_start = true;
    }

    /// Sets the time of a listed start, which can be computed once the log time is known.
    pub fn correct_listed_start(&mut self, at: impl FnOnce() -> Micros) {
        if self.is_listed_start {
            self.started_at = at();
        }
    }

    /// Takes the tokens for an attempt of this cost that has been sent.
    pub fn spend(&mut self, cost: f64) {
        self.tokens -= cost;
    }

    /// Adds the tokens of the elapsed time, at `rate` per microsecond and up to those of a burst. `elapsed`
    /// and `burst` are in microseconds.
    pub fn refill(&mut self, rate: f64, elapsed: f64, burst: f64) {
        self.tokens = (self.tokens + rate * elapsed.min(burst)).min(rate * burst);
    }
}
