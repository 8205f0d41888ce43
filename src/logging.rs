//! The log: lines on standard output, written by a thread of their own so that a slow reader never
//! holds up the traffic.

use std::cell::Cell;
use std::io::stdout;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use slog::{o, Drain, Level, Logger, Never, OwnedKVList, Record, SendSyncRefUnwindSafeDrain};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

use crate::cli::LogFormat;

/// Most log lines in a second, of level debug and of all others; what is beyond is counted and dropped.
const LINES_A_SECOND: u32 = 100;
/// Lines that wait for the writer at most.
const QUEUE: usize = 512;

/// Opens the log; it is flushed when the guard is dropped.
pub fn open(name: String, form: LogFormat, level: Level) -> (Logger, AsyncGuard) {
    match form {
        LogFormat::Text => {
            let plain = slog_term::PlainDecorator::new(stdout());
            queued(name, level, slog_term::FullFormat::new(plain).use_utc_timestamp().build())
        }
        LogFormat::Json => queued(name, level, Mutex::new(slog_json::Json::default(stdout()))),
    }
}

fn queued<D>(name: String, level: Level, lines: D) -> (Logger, AsyncGuard)
where
    D: Drain + Send + 'static,
    D::Err: std::fmt::Debug,
{
    // A line that cannot be written is lost; the thread that writes, and whoever logs, go on.
    let (lines, guard) = Async::new(lines.ignore_res())
        .chan_size(QUEUE)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(Throttle::over(lines.ignore_res(), level), o!("gateway" => name)), guard)
}

/// Admits lines of a level, and so many of them a second.
struct Throttle<D> {
    lines: D,
    level: Level,
    /// Lines on single requests, which a busy second has many of, and all others: none takes the others' place.
    single: Allowance,
    others: Allowance,
}

/// Lines written since the second that is counted began.
struct Allowance(Mutex<Cell<(Instant, u32)>>);

impl Allowance {
    fn whole() -> Self {
        Allowance(Mutex::new(Cell::new((Instant::now(), 0))))
    }

    fn admits(&self) -> bool {
        let Ok(state) = self.0.lock() else { return false };
        let (since, lines) = state.get();
        let fresh = since.elapsed() >= Duration::from_secs(1);
        state.set(if fresh { (Instant::now(), 1) } else { (since, lines.saturating_add(1)) });
        fresh || lines < LINES_A_SECOND
    }
}

impl<D> Throttle<D> {
    fn over(lines: D, level: Level) -> Self {
        Throttle { lines, level, single: Allowance::whole(), others: Allowance::whole() }
    }
}

impl<D> Drain for Throttle<D>
where
    D: SendSyncRefUnwindSafeDrain<Ok = (), Err = Never>,
{
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let allowance = if record.level().is_at_least(Level::Info) { &self.others } else { &self.single };
        if record.level().is_at_least(self.level) && allowance.admits() {
            self.lines.log(record, values)?;
        }
        Ok(())
    }

    fn is_enabled(&self, level: Level) -> bool {
        level.is_at_least(self.level)
    }
}
