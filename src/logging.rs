//! The log: lines on standard output, written by a separate thread so that a slow reader never delays the traffic.

use std::cell::Cell;
use std::io::stdout;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use slog::{o, Drain, Level, Logger, Never, OwnedKVList, Record, SendSyncRefUnwindSafeDrain};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

use crate::cli::LogFormat;

/// Most log lines in a second, counted separately for level debug and for all other levels; further lines are dropped.
const MAX_LINES_PER_SECOND: u32 = 100;
/// Most lines that wait for the writer.
const QUEUE_CAPACITY: usize = 512;

/// Opens the log; it is flushed when the guard is dropped.
pub fn open(name: String, format: LogFormat, level: Level) -> (Logger, AsyncGuard) {
    match format {
        LogFormat::Text => {
            let plain = slog_term::PlainDecorator::new(stdout());
            open_with(name, level, slog_term::FullFormat::new(plain).use_utc_timestamp().build())
        }
        LogFormat::Json => open_with(name, level, Mutex::new(slog_json::Json::default(stdout()))),
    }
}

fn open_with<D>(name: String, level: Level, lines: D) -> (Logger, AsyncGuard)
where
    D: Drain + Send + 'static,
    D::Err: std::fmt::Debug,
{
    // A line that cannot be written is dropped, without an effect on the writing thread or on the threads that log.
    let (lines, guard) = Async::new(lines.ignore_res())
        .chan_size(QUEUE_CAPACITY)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(RateLimited::new(lines.ignore_res(), level), o!("gateway" => name)), guard)
}

/// A drain that forwards lines of at least a level, and a limited number of them in a second.
struct RateLimited<D> {
    inner: D,
    level: Level,
    /// Debug lines concern single requests and may be many in a second: their own limit keeps them from displacing
    /// others.
    debug_limit: RateLimit,
    other_limit: RateLimit,
}

/// Limits the number of lines in a second. Holds the start of the current second, and the number of lines since.
struct RateLimit(Mutex<Cell<(Instant, u32)>>);

impl RateLimit {
    fn new() -> Self {
        RateLimit(Mutex::new(Cell::new((Instant::now(), 0))))
    }

    fn try_acquire(&self) -> bool {
        let Ok(state) = self.0.lock() else { return false };
        let (since, lines) = state.get();
        let is_new_second = since.elapsed() >= Duration::from_secs(1);
        state.set(if is_new_second { (Instant::now(), 1) } else { (since, lines.saturating_add(1)) });
        is_new_second || lines < MAX_LINES_PER_SECOND
    }
}

impl<D> RateLimited<D> {
    fn new(inner: D, level: Level) -> Self {
        RateLimited { inner, level, debug_limit: RateLimit::new(), other_limit: RateLimit::new() }
    }
}

impl<D> Drain for RateLimited<D>
where
    D: SendSyncRefUnwindSafeDrain<Ok = (), Err = Never>,
{
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let is_debug = !record.level().is_at_least(Level::Info);
        let limit = if is_debug { &self.debug_limit } else { &self.other_limit };
        if record.level().is_at_least(self.level) && limit.try_acquire() {
            self.inner.log(record, values)?;
        }
        Ok(())
    }

    fn is_enabled(&self, level: Level) -> bool {
        level.is_at_least(self.level)
    }
}
