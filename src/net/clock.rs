//! The gateway's clock: whole microseconds on the monotonic clock, read once in each iteration of the event loop.
//!
//! The machine's time of day may be wrong, or be stepped, at any moment. It only maps log positions, which are Unix times
//! of the databases, to whole microseconds: how those differ from this clock the router learns from primaries' responses.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::Micros;

/// What the clock shows at the program's start: members may have started as long before it.
const BASE: Micros = Micros::millis(24 * 3_600_000);

/// A monotonic clock, and the Unix time from which positions count.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// What it showed then.
    base: Micros,
    /// A Unix time in microseconds less this is a position: about the time of the clock, where the time of day was right
    /// at the start.
    reference: i64,
}

/// What a clock and the machine's time of day show at one moment.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Reading {
    /// The clock.
    pub clock: Micros,
    /// Unix time in microseconds.
    pub unix: i64,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Clock { start: Instant::now(), base: BASE, reference: unix_now() - BASE.0 as i64 }
    }

    /// Continues the clock of another process on this machine. That process read it after `asked`, and the time of day
    /// shows how long ago, unless that was stepped meanwhile: then it was as long ago as it may have been, and no span
    /// that this process has to keep is longer than it was meant to be. A process of an earlier version gives no reading.
    ///
    /// Also gives by how much it may differ from the other one, either way.
    pub fn resume(reference: i64, reading: Option<Reading>, asked: Instant) -> (Self, Micros) {
        let (start, now) = (Instant::now(), unix_now());
        let error = Micros(start.saturating_duration_since(asked).as_micros() as u64);
        let reading = reading.unwrap_or(Reading {
            clock: Micros(now.saturating_sub(reference).max(BASE.0 as i64) as u64),
            unix: now,
        });
        let base = reading.clock + elapsed_between(reading.unix, now, start.saturating_duration_since(asked));
        (Clock { start, base, reference }, error)
    }

    /// What it shows, beside the time of day.
    pub fn reading(&self) -> Reading {
        Reading { clock: self.read(), unix: unix_now() }
    }

    /// The Unix time from which positions count, in microseconds.
    pub fn reference(&self) -> i64 {
        self.reference
    }

    /// The present time.
    pub fn read(&self) -> Micros {
        self.base + Micros(self.start.elapsed().as_micros() as u64)
    }

    /// A position as Unix time in milliseconds.
    pub fn unix_ms(&self, position: Micros) -> f64 {
        (position.0 as i64).saturating_add(self.reference) as f64 / 1000.0
    }

    /// The position of a Unix time in milliseconds; zero for what lies before its reach.
    pub fn at_unix_ms(&self, ms: f64) -> Micros {
        Micros(((ms * 1000.0) as i64).saturating_sub(self.reference).max(0) as u64)
    }
}

/// Time from one reading of the time of day to another that was taken within `longest` of it.
fn elapsed_between(before: i64, after: i64, longest: Duration) -> Micros {
    let longest = Micros(longest.as_micros() as u64);
    let elapsed = u64::try_from(after.saturating_sub(before)).map(Micros).ok();
    elapsed.filter(|elapsed| *elapsed <= longest).unwrap_or(longest)
}

fn unix_now() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64
}
