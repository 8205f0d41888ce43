//! The dunemount gateway: reads its configuration, opens its log and runs the loop.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use dunemount::net::discovery::Listing;
use dunemount::net::event_loop::{Config, Gateway, Signals};
use dunemount::settings::Params;
use dunemount::upgrade::line;
use serde::Deserialize;
use slog::{info, o, warn, Drain, Level, Logger};

/// How long the process before may take to hand over.
const ESTATE_PATIENCE: Duration = Duration::from_secs(3);
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
    let read = read_file(&path);
    let told = |name: &str, or: Option<&String>| std::env::var(name).ok().or(or.cloned());
    let name = told("GW_NAME", read.as_ref().ok().map(|(_, file)| &file.name));
    // The process before this one waits in the folder that both share, if it still serves.
    let line = name.as_ref().and_then(|name| line_path(name));
    let inherited = line.as_deref().map(|line| line::inherit(line, ESTATE_PATIENCE));
    let (inherited, missed) = match inherited {
        Some(Ok(inherited)) => (Some(inherited), None),
        Some(Err(e)) if !matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
            (None, Some(e))
        }
        _ => (None, None),
    };
    // A file that cannot be used now was turned down by the process before as well: what it runs on counts.
    let (text, file) = match (read, &inherited) {
        (Err(_), Some(before)) => parse(&path, before.estate.config.clone())?,
        (read, _) => read?,
    };
    let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed: {:?}: {e}", file.seed))?;
    let mut zones = inherited.as_ref().map(|i| i.estate.directory.zones().clone()).unwrap_or_default();
    let site = file.settings.site(&mut zones).map_err(|e| format!("settings: {e}"))?;
    let needed = |name: &str, or: &String| address(name, told(name, Some(or)).unwrap_or_default());
    let config = Config {
        listen: needed("GW_LISTEN", &file.listen)?,
        admin: told("GW_ADMIN_ADDR", file.admin_addr.as_ref())
            .map(|text| address("GW_ADMIN_ADDR", text))
            .transpose()?,
        discovery: needed("GW_DISCOVERY", &file.discovery)?,
        seed,
        sockets: file.limits.sockets,
        memory_mb: file.limits.memory_mb,
        known: file.known,
        site,
        zones,
        text,
        line,
        inherited,
    };
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let signals = Signals {
        end: pipe_of(&[SIGTERM, SIGINT]).map_err(|e| format!("cannot watch for signals: {e}"))?,
        reload: pipe_of(&[SIGHUP]).map_err(|e| format!("cannot watch for signals: {e}"))?,
        // The file is the latest word: what the environment said at the start is over with it.
        reread: Box::new(move || address("discovery", read_file(&path)?.1.discovery)),
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

fn read_file(path: &str) -> Result<(String, File), String> {
    parse(path, std::fs::read_to_string(path).map_err(|e| format!("cannot read {path}: {e}"))?)
}

fn parse(path: &str, text: String) -> Result<(String, File), String> {
    let file = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    Ok((text, file))
}

/// Where processes of this gateway meet: in `TMPDIR`, where one is named.
fn line_path(name: &str) -> Option<PathBuf> {
    let plain: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(PathBuf::from(folder).join(format!("dunemount-{plain}.line")))
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
