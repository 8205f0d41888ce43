//! The dunemount gateway: reads its configuration, opens its log and runs the loop.

use std::cell::Cell;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use dunemount::net::discovery::Listing;
use dunemount::net::event_loop::{Config, Gateway, Signals};
use dunemount::settings::{Params, Zones};
use serde::Deserialize;
use slog::{info, o, Drain, Level, Logger};

/// Most log lines in a second; what is beyond is counted and dropped.
const LINES_A_SECOND: u32 = 100;

#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    admin_addr: Option<String>,
    discovery: String,
    seed: String,
    limits: Limits,
    known: Listing,
    settings: Params,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    #[serde(default)]
    memory_mb: usize,
}

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
    let file = read_file(&path)?;
    let told = |name: &str, or: String| std::env::var(name).unwrap_or(or);
    let name = told("GW_NAME", file.name);
    let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed: {:?}: {e}", file.seed))?;
    let mut zones = Zones::default();
    let site = file.settings.site(&mut zones).map_err(|e| format!("settings: {e}"))?;
    let admin = std::env::var("GW_ADMIN_ADDR").ok().or(file.admin_addr);
    let config = Config {
        listen: address("GW_LISTEN", told("GW_LISTEN", file.listen))?,
        admin: admin.map(|text| address("GW_ADMIN_ADDR", text)).transpose()?,
        discovery: address("GW_DISCOVERY", told("GW_DISCOVERY", file.discovery))?,
        seed,
        sockets: file.limits.sockets,
        memory_mb: file.limits.memory_mb,
        known: file.known,
        site,
        zones,
    };
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let signals = Signals {
        end: pipe_of(&[SIGTERM, SIGINT]).map_err(|e| format!("cannot watch for signals: {e}"))?,
        reload: pipe_of(&[SIGHUP]).map_err(|e| format!("cannot watch for signals: {e}"))?,
        // The file is the latest word: what the environment said at the start is over with it.
        reread: Box::new(move || address("discovery", read_file(&path)?.discovery)),
    };
    let (log, _flushed_at_end) = logger(name);
    let listen = config.listen;
    let mut gateway =
        Gateway::open(config, signals, log.clone()).map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    info!(log, "listening"; "address" => %listen, "version" => env!("CARGO_PKG_VERSION"));
    gateway.run().map_err(|e| format!("cannot wait for events: {e}"))
}

fn read_file(path: &str) -> Result<File, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {path}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))
}

fn address(name: &str, text: String) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{name}: {text:?} is no address with a port"))
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
