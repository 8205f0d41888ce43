//! The gateway's clock: whole microseconds on the monotonic clock, read once a turn of the loop.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::Micros;

/// What the clock shows at the program's start: members may have started as long before it.
const BASE: Micros = Micros::millis(24 * 3_600_000);

/// A monotonic clock and its offset to Unix time, taken once.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time in microseconds less the clock's own.
    offset: i64,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), offset: unix.as_micros() as i64 - BASE.0 as i64 }
    }

    /// The present time.
    pub fn read(&self) -> Micros {
        BASE + Micros(self.start.elapsed().as_micros() as u64)
    }

    /// A Unix time in milliseconds on this clock; zero for what lies before its reach.
    pub fn at_unix_ms(&self, ms: f64) -> Micros {
        Micros(((ms * 1000.0) as i64).saturating_sub(self.offset).max(0) as u64)
    }
}
