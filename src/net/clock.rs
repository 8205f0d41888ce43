//! The gateway's clock: whole microseconds on the monotonic clock, read once in each iteration of the event loop.
//!
//! The machine's wall clock may be wrong, or be stepped, at any moment. It only maps log positions, which are Unix
//! times of the databases, to whole microseconds. The router learns from primaries' responses how far log positions
//! differ from this clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::Micros;

/// The clock's value when the process starts. A member that started up to this long before the process still has a
/// start time on the clock.
const BASE: Micros = Micros::millis(24 * 3_600_000);

/// A monotonic clock, and the Unix time that corresponds to log position zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// The clock's value at `start`.
    base: Micros,
    /// Subtracted from a Unix time in microseconds to get a log position. The position is close to the value of the
    /// clock if the wall clock was right at the start.
    reference: i64,
}

/// The clock and the machine's wall clock, read at the same moment. The field names are part of the handover message.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Reading {
    /// Value of the gateway's clock.
    pub clock: Micros,
    /// Wall clock: Unix time in microseconds.
    pub unix: i64,
}

impl Clock {
    /// Starts a clock at its base value, with the current wall clock as reference.
    pub fn start() -> Self {
        Clock { start: Instant::now(), base: BASE, reference: unix_now() - BASE.0 as i64 }
    }

    /// Continues the clock of another process on this machine, which took `reading` at some time after `requested_at`.
    /// The wall clock gives the age of the reading. If the wall clock was stepped in the meantime, the reading is taken
    /// to be as old as it can be, so that no time span that this process has to keep is longer than intended. A process
    /// of an earlier version sends no reading.
    ///
    /// Also returns the largest difference, in either direction, between this clock and that of the other process.
    pub fn resume(reference: i64, reading: Option<Reading>, requested_at: Instant) -> (Self, Micros) {
        let (start, now) = (Instant::now(), unix_now());
        let error = Micros(start.saturating_duration_since(requested_at).as_micros() as u64);
        let reading = reading.unwrap_or(Reading {
            clock: Micros(now.saturating_sub(reference).max(BASE.0 as i64) as u64),
            unix: now,
        });
        let base =
            reading.clock + elapsed_between(reading.unix, now, start.saturating_duration_since(requested_at));
        (Clock { start, base, reference }, error)
    }

    /// Reads this clock and the wall clock together.
    pub fn reading(&self) -> Reading {
        Reading { clock: self.read(), unix: unix_now() }
    }

    /// The Unix time of log position zero, in microseconds.
    pub fn reference(&self) -> i64 {
        self.reference
    }

    /// The current time.
    pub fn read(&self) -> Micros {
        self.base + Micros(self.start.elapsed().as_micros() as u64)
    }

    /// Converts a log position to Unix time in milliseconds.
    pub fn unix_ms(&self, position: Micros) -> f64 {
        (position.0 as i64).saturating_add(self.reference) as f64 / 1000.0
    }

    /// Converts a Unix time in milliseconds to a log position; zero for a time before the reference.
    pub fn at_unix_ms(&self, ms: f64) -> Micros {
        Micros(((ms * 1000.0) as i64).saturating_sub(self.reference).max(0) as u64)
    }
}

/// Time between two readings of the wall clock that were taken at most `max` apart; `max` if their difference is
/// negative or longer, because the wall clock was stepped.
fn elapsed_between(before: i64, after: i64, max: Duration) -> Micros {
    let max = Micros(max.as_micros() as u64);
    let elapsed = u64::try_from(after.saturating_sub(before)).map(Micros).ok();
    elapsed.filter(|elapsed| *elapsed <= max).unwrap_or(max)
}

fn unix_now() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i64
}
