//! Slow start: a member that was started a short while ago gets a growing part of the load.

use rand_pcg::Pcg64Mcg;

use crate::api::{Micros, Settings};
use crate::balance::random::uniform;

/// A member's start and what it may be sent while it is warming up.
#[derive(Default)]
pub struct SlowStart {
    /// Warming up since then; zero when long ago.
    pub(super) started_at: Micros,
    /// The list names that start; else the member was seen to come back.
    pub(super) is_listed_start: bool,
    /// Cost that may still be sent while warming up. Starts at random below zero, to spread the gateways.
    pub(super) tokens: f64,
}

impl SlowStart {
    /// When the member was started; zero when long ago.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Part of its capacity that the member surely has: growth is never slower than linear.
    pub fn capacity_fraction(&self, now: Micros, settings: &Settings) -> f64 {
        let window = settings.slow_start_window.as_f64();
        let age = (now - self.started_at).as_f64();
        if self.started_at == Micros(0) || age >= window {
            return 1.0;
        }
        settings.slow_start_initial + (1.0 - settings.slow_start_initial) * age / window
    }

    /// Whether nothing may be sent at the moment, given the warmth.
    pub fn is_exhausted(&self, warmth: f64) -> bool {
        warmth < 1.0 && self.tokens <= 0.0
    }

    /// The member was seen to come back.
    pub fn restart(&mut self, at: Micros, rng: &mut Pcg64Mcg) {
        self.started_at = at;
        self.is_listed_start = false;
        self.tokens = -uniform(rng);
    }

    /// The list names a later start.
    pub fn restart_as_listed(&mut self, at: Micros, rng: &mut Pcg64Mcg) {
        self.restart(at, rng);
        self.is_listed_start = true;
    }

    /// The log's time is known from now on, and with it when a listed start was.
    pub fn correct_listed_start(&mut self, at: impl FnOnce() -> Micros) {
        if self.is_listed_start {
            self.started_at = at();
        }
    }

    /// An attempt of this cost has been sent.
    pub fn spend(&mut self, cost: f64) {
        self.tokens -= cost;
    }

    /// Adds the tokens of a time, up to those of a burst, at this rate a microsecond.
    pub fn refill(&mut self, rate: f64, elapsed: f64, burst: f64) {
        self.tokens = (self.tokens + rate * elapsed.min(burst)).min(rate * burst);
    }
}
