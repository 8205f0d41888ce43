//! The dunemount gateway: reads its configuration, opens its log and runs the loop.

use std::cell::Cell;
use std::io::ErrorKind;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use dunemount::config::{self, File, InForce, Taken};
use dunemount::net::event_loop::{Config, Gateway, Signals};
use dunemount::settings::Zones;
use dunemount::upgrade::line;
use slog::{info, o, warn, Drain, Level, Logger};

/// How long the process before may take to hand over.
const ESTATE_PATIENCE: Duration = Duration::from_secs(3);
/// Most log lines in a second; what is beyond is counted and dropped.
const LINES_A_SECOND: u32 = 100;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("dunemount: {message}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let path = std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG does not name a configuration file")?;
    let read = read_file(&path);
    let said = |name: &str| std::env::var(name).ok();
    let (mut in_force, mut zones) = (InForce::default(), Zones::default());
    // The process before this one waits in the folder that both share, if it still serves.
    let named = |text: &String| serde_json::from_str::<File>(text).ok().map(|file| file.name);
    let name = said("GW_NAME").or_else(|| read.as_ref().ok().and_then(named));
    let line = name.as_ref().and_then(|name| line_path(name));
    let inherited = line.as_deref().map(|line| line::inherit(line, ESTATE_PATIENCE));
    let (inherited, missed) = match inherited {
        Some(Ok(inherited)) => (Some(inherited), None),
        Some(Err(e)) if !matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
            (None, Some(e))
        }
        _ => (None, None),
    };
    // A file that cannot be taken now was turned down by the process before as well: what it runs on counts.
    let mut taken = None;
    if let Some(before) = &inherited {
        zones = before.estate.directory.zones().clone();
        taken = in_force.take(before.estate.config.clone(), &mut zones).ok();
    }
    let new = read.and_then(|text| in_force.take(text, &mut zones).map_err(|e| format!("{path}: {e}")));
    let Taken { file, seed, site, .. } = match (new, taken) {
        (Ok(new), _) => new,
        (Err(_), Some(taken)) => taken,
        (Err(why), None) => return Err(why),
    };
    let needed = |name: &str, or: &String| config::address(name, said(name).as_ref().unwrap_or(or));
    let admin = said("GW_ADMIN_ADDR").or(file.admin_addr);
    let config = Config {
        listen: needed("GW_LISTEN", &file.listen)?,
        admin: admin.map(|text| config::address("GW_ADMIN_ADDR", &text)).transpose()?,
        discovery: needed("GW_DISCOVERY", &file.discovery)?,
        seed,
        sockets: file.limits.sockets,
        memory_mb: file.limits.memory_mb,
        known: file.known,
        site,
        zones,
        text: in_force.text().to_string(),
        line,
        inherited,
    };
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let signals = Signals {
        end: pipe_of(&[SIGTERM, SIGINT]).map_err(|e| format!("cannot watch for signals: {e}"))?,
        reload: pipe_of(&[SIGHUP]).map_err(|e| format!("cannot watch for signals: {e}"))?,
        // The file is the latest word: what the environment said at the start is over with it.
        reread: Box::new(move |zones| {
            let taken = in_force.take(read_file(&path)?, zones)?;
            Ok((in_force.text().to_string(), taken))
        }),
    };
    let (log, _flushed_at_end) = logger(name.unwrap_or(file.name));
    if let Some(e) = missed {
        warn!(log, "the process before did not hand over, starting alone"; "error" => %e);
    }
    let listen = config.listen;
    let mut gateway =
        Gateway::open(config, signals, log.clone()).map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    info!(log, "listening"; "address" => %listen, "version" => env!("CARGO_PKG_VERSION"));
    gateway.run().map_err(|e| format!("cannot wait for events: {e}"))
}

fn read_file(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("cannot read {path}: {e}"))
}

/// Where processes of this gateway meet: in `TMPDIR`, where one is named.
fn line_path(name: &str) -> Option<PathBuf> {
    let plain: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(PathBuf::from(folder).join(format!("dunemount-{plain}.line")))
}

/// A pipe that becomes readable when one of the signals arrives.
fn pipe_of(signals: &[libc::c_int]) -> std::io::Result<UnixStream> {
    let (wake, pipe) = UnixStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, wake.try_clone()?)?;
    }
    Ok(pipe)
}

/// The log: lines on standard output, written by a thread of their own so that a slow reader never
/// holds up the loop. `GW_LOG=debug` adds a line for each attempt that broke.
fn logger(name: String) -> (Logger, slog_async::AsyncGuard) {
    let level = match std::env::var("GW_LOG").as_deref() {
        Ok("debug") => Level::Debug,
        _ => Level::Info,
    };
    let lines = slog_term::FullFormat::new(slog_term::PlainDecorator::new(std::io::stdout()))
        .use_utc_timestamp()
        .build()
        .fuse();
    let (lines, guard) = slog_async::Async::new(lines)
        .chan_size(512)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let throttle = Throttle(Mutex::new(Cell::new((Instant::now(), 0))));
    let limited = lines.fuse().filter(move |_| throttle.admits()).filter_level(level).fuse();
    (Logger::root(limited, o!("gateway" => name)), guard)
}

/// Admits so many lines a second.
struct Throttle(Mutex<Cell<(Instant, u32)>>);

impl Throttle {
    fn admits(&self) -> bool {
        let Ok(state) = self.0.lock() else { return false };
        let (since, lines) = state.get();
        let fresh = since.elapsed() >= Duration::from_secs(1);
        state.set(if fresh { (Instant::now(), 1) } else { (since, lines.saturating_add(1)) });
        fresh || lines < LINES_A_SECOND
    }
}
