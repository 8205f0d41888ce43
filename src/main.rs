//! The dunemount gateway: reads its configuration, opens its log and runs the loop.

use std::collections::hash_map::RandomState;
use std::fmt::Display;
use std::hash::BuildHasher;
use std::io::ErrorKind;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::Parser;
use dunemount::check;
use dunemount::cli::{Cli, Command, Fleet, Form, Serve, Version};
use dunemount::config::version::Source;
use dunemount::config::{self, File, InForce, Taken};
use dunemount::fleet::driver;
use dunemount::fleet::rollout::tool::{Failed, Tool};
use dunemount::fleet::rollout::{gateway, machine};
use dunemount::fleet::status::Status;
use dunemount::logging;
use dunemount::net::event_loop::{Config, Gateway, Signals};
use dunemount::settings::Zones;
use dunemount::shortage::{is_shortage, retry, START_PATIENCE};
use dunemount::upgrade::line;
use dunemount_rollout::follower;
use dunemount_rollout::settings::Timeouts;
use dunemount_rollout::version::Document;
use serde::Serialize;
use slog::{info, warn, Level};

/// Exit status of what may or may not have been done.
const UNCERTAIN: u8 = 3;
/// How long the process before may take to hand over.
const HANDOVER_PATIENCE: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        None => serve(cli.serve).map_err(Failed::from),
        Some(Command::Serve(how)) => serve(how).map_err(Failed::from),
        Some(Command::Check(files)) => {
            check::check(&files).map(|found| println!("{found}")).map_err(Failed::from)
        }
        Some(Command::Fleet(fleet)) => fleet_command(fleet),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failed { why, uncertain }) => {
            eprintln!("dunemount: {why}");
            if uncertain {
                eprintln!("dunemount: uncertain: it may still become a version, `fleet config status` tells");
                return ExitCode::from(UNCERTAIN);
            }
            ExitCode::FAILURE
        }
    }
}

fn fleet_command(command: Fleet) -> Result<(), Failed> {
    match command {
        Fleet::Found { files, name } => println!("{}", check::found(&files, name.as_deref())?),
        Fleet::Status { admin, json } => print_as(&Status::ask(admin)?, json),
        Fleet::Control { name, settings, log } => control(name, settings.settings.as_deref(), log)?,
        Fleet::Config(Version::Put { file, settings }) => {
            println!("{}", Tool::of(settings.settings.as_deref())?.put(&file)?);
        }
        Fleet::Config(Version::Show { number, settings }) => {
            let document = Tool::of(settings.settings.as_deref())?.show(number)?;
            let shown = document.version();
            eprintln!("version {}, digest {}", shown.number, shown.digest);
            println!("{}", String::from_utf8_lossy(document.bytes()));
        }
        Fleet::Config(Version::Status { json, settings }) => {
            print_as(&Tool::of(settings.settings.as_deref())?.status()?, json);
        }
    }
    Ok(())
}

/// Prints for people, or as JSON.
fn print_as(told: &(impl Serialize + Display), json: bool) {
    match json {
        true => println!("{}", serde_json::to_string_pretty(told).unwrap_or_default()),
        false => print!("{told}"),
    }
}

/// Runs a control machine.
fn control(name: String, settings: Option<&Path>, form: Form) -> Result<(), String> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let options = check::options(settings)?;
    let file = check::kept(&options, settings)?.to_path_buf();
    let start = machine::Start {
        name: name.clone(),
        file,
        start: start_number(),
        seed: RandomState::new().hash_one(std::process::id()),
        end: pipe_of(&[SIGTERM, SIGINT]).map_err(|e| format!("cannot watch for signals: {e}"))?,
    };
    let (log, _flushed_at_end) = logging::open(name, form, Level::Info);
    machine::run(&options, start, &log)
}

/// Rises with each start.
fn start_number() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn serve(how: Serve) -> Result<(), String> {
    let path = how.files.config.ok_or("GW_CONFIG does not name a configuration file, nor does --config")?;
    let options = check::options(how.files.settings.as_deref())?;
    let follows = check::follows(&options, how.files.settings.as_deref())?;
    let named_path = path.display().to_string();
    let read = check::read_within(START_PATIENCE, &path);
    let said = |name: &str| std::env::var(name).ok();
    let (mut in_force, mut zones) = (InForce::default(), Zones::default());
    // The process before this one waits in the folder that both share, if it still serves.
    let named = |text: &String| serde_json::from_str::<File>(text).ok().map(|file| file.name);
    let name = said("GW_NAME").or_else(|| read.as_ref().ok().and_then(named));
    let line = name.as_ref().and_then(|name| line_path(name));
    let until = Instant::now() + HANDOVER_PATIENCE;
    let inherit = |line: &Path| retry(until, is_shortage, || line::inherit(line, HANDOVER_PATIENCE));
    let inherited = line.as_deref().map(inherit);
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
        zones = before.snapshot.directory.zones().clone();
        taken = in_force.take(before.snapshot.config.clone(), &mut zones).ok();
    }
    // A version that cannot be read or used is as none: the newest one comes from the control machines again.
    let mut unusable = None;
    let kept = follows.and_then(|(_, path)| {
        gateway::kept(path).unwrap_or_else(|why| {
            unusable = Some(why);
            None
        })
    });
    let (mut own, mut version) = (in_force.text().to_string(), None);
    let new = read.and_then(|text| {
        own = text;
        if let Some(document) = kept {
            let whole = config::version::overlay(&own, document.bytes());
            match whole.and_then(|whole| in_force.take(whole, &mut zones)) {
                Ok(taken) => {
                    version = Some(document);
                    return Ok(taken);
                }
                Err(why) => unusable = Some(format!("version {}: {why}", document.version().number)),
            }
        }
        in_force.take(own.clone(), &mut zones).map_err(|fault| fault.of(&named_path))
    });
    let Taken { file, seed, site, discovery: named } = match (new, taken) {
        (Ok(new), _) => new,
        (Err(_), Some(taken)) => {
            own = in_force.text().to_string();
            taken
        }
        (Err(why), None) => return Err(why),
    };
    let needed = |name: &str, or: &String| config::address(name, said(name).as_ref().unwrap_or(or));
    let admin = said("GW_ADMIN_ADDR").or(file.admin_addr);
    let mut config = Config {
        listen: needed("GW_LISTEN", &file.listen)?,
        admin: admin.map(|text| config::address("GW_ADMIN_ADDR", &text)).transpose()?,
        discovery: needed("GW_DISCOVERY", &file.discovery)?,
        seed,
        max_descriptors: file.limits.sockets,
        memory_mib: file.limits.memory_mb,
        endpoints: file.known,
        site,
        zones,
        text: in_force.text().to_string(),
        handover_path: line,
        inherited,
        fleet: None,
    };
    // `GW_LOG=debug` adds a line for each attempt that broke.
    let level = if said("GW_LOG").as_deref() == Some("debug") { Level::Debug } else { Level::Info };
    let fleet_name = name.clone().unwrap_or_else(|| file.name.clone());
    check::takes(&options, how.files.settings.as_deref(), &fleet_name)?;
    let (log, _flushed_at_end) = logging::open(name.unwrap_or(file.name), how.log, level);
    if let Some(e) = missed {
        warn!(log, "the process before did not hand over, starting alone"; "error" => %e);
    }
    if let Some(why) = unusable {
        warn!(log, "config: the version kept cannot be used, starting without"; "why" => why);
    }
    let listen = config.listen;
    let mut groups: Vec<u32> = config.endpoints.groups().collect();
    groups.sort_unstable();
    groups.dedup();
    let start = driver::Start {
        name: fleet_name.clone(),
        start: start_number(),
        roles: groups.into_iter().map(|group| format!("survey/{group}")).collect(),
        seed: RandomState::new().hash_one(std::process::id()),
    };
    let fleet =
        driver::start(&options.fleet, start, &log).map_err(|e| format!("cannot join the fleet: {e}"))?;
    config.fleet = fleet.as_ref().map(|fleet| fleet.board.clone());
    let rollout = match (follows, fleet.as_ref()) {
        (Some((zone, file)), Some(fleet)) => {
            let start = gateway::Start {
                settings: follower::Settings {
                    fleet: options.fleet.name.clone().unwrap_or_default(),
                    name: fleet_name,
                    zone: zone.to_string(),
                    servers: options.control.machines.iter().map(|(server, _)| server.clone()).collect(),
                    timeouts: Timeouts::default(),
                    seed: RandomState::new().hash_one(std::process::id()),
                },
                machines: options.control.machines.iter().map(|(_, address)| *address).collect(),
                file: file.to_path_buf(),
                in_force: version.as_ref().map(Document::version),
                board: fleet.board.clone(),
            };
            Some(
                gateway::start(start, &log)
                    .map_err(|e| format!("cannot follow the control machines: {e}"))?,
            )
        }
        _ => None,
    };
    let (rollout, versions) = rollout.unzip();
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let used = config.discovery;
    let mut source = Source { path, own, in_force, version, named, used };
    let told = [flag_of(&[SIGTERM, SIGINT]), flag_of(&[SIGHUP])];
    let [told_to_end, told_to_reload] =
        told.map(|flag| flag.map_err(|e| format!("cannot watch for signals: {e}")));
    let signals = Signals {
        shutdown: pipe_of(&[SIGTERM, SIGINT]).map_err(|e| format!("cannot watch for signals: {e}"))?,
        reload: pipe_of(&[SIGHUP]).map_err(|e| format!("cannot watch for signals: {e}"))?,
        shutdown_requested: told_to_end?,
        reload_requested: told_to_reload?,
        versions,
        read_config: Box::new(move |new, zones| source.take(new, zones)),
    };
    let workers = Gateway::open_all(config, signals, log.clone(), options.cores)
        .map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    info!(log, "listening"; "address" => %listen, "version" => env!("CARGO_PKG_VERSION"),
        "cores" => options.cores);
    let ended = Gateway::run_all(workers).map_err(|e| format!("cannot wait for events: {e}"));
    if let Some(rollout) = rollout {
        rollout.end();
    }
    if let Some(fleet) = fleet {
        fleet.end();
    }
    ended
}

/// Where processes of this gateway meet: in `TMPDIR`, where one is named.
fn line_path(name: &str) -> Option<PathBuf> {
    let plain: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(PathBuf::from(folder).join(format!("dunemount-{plain}.line")))
}

/// A flag that is set when one of the signals arrives.
fn flag_of(signals: &[libc::c_int]) -> std::io::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in signals {
        signal_hook::flag::register(*signal, flag.clone())?;
    }
    Ok(flag)
}

/// A pipe that becomes readable when one of the signals arrives.
fn pipe_of(signals: &[libc::c_int]) -> std::io::Result<UnixStream> {
    let (wake, pipe) = retry(Instant::now() + START_PATIENCE, is_shortage, UnixStream::pair)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, wake.try_clone()?)?;
    }
    Ok(pipe)
}
