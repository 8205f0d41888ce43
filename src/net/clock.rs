//! The gateway's clock: whole microseconds on the monotonic clock, read once a turn of the loop.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::Micros;

/// What the clock shows at the program's start: members may have started as long before it.
const BASE: Micros = Micros::millis(24 * 3_600_000);

/// A monotonic clock and its offset to Unix time, taken once.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// What it showed then.
    base: Micros,
    /// Unix time in microseconds less the clock's own.
    offset: i64,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Clock { start: Instant::now(), base: BASE, offset: unix_now() - BASE.0 as i64 }
    }

    /// Goes on with the clock of another process on this machine, which told its offset.
    pub fn resume(offset: i64) -> Self {
        let base = Micros(unix_now().saturating_sub(offset).max(BASE.0 as i64) as u64);
        Clock { start: Instant::now(), base, offset }
    }

    /// Unix time in microseconds less this clock's own.
    pub fn offset(&self) -> i64 {
        self.offset
    }

    /// The present time.
    pub fn read(&self) -> Micros {
        self.base + Micros(self.start.elapsed().as_micros() as u64)
    }

    /// A Unix time in milliseconds on this clock; zero for what lies before its reach.
    pub fn at_unix_ms(&self, ms: f64) -> Micros {
        Micros(((ms * 1000.0) as i64).saturating_sub(self.offset).max(0) as u64)
    }
}

fn unix_now() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64
}
