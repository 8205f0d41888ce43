//! The start of a gateway: reads its files, takes over from the previous process, opens the log, joins the fleet,
//! follows the control servers, and runs the event loop until a signal ends it.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use dunemount_rollout::follower;
use dunemount_rollout::settings::Timeouts;
use dunemount_rollout::version::Document;
use slog::{info, warn, Level, Logger};

use crate::cli::{LogFormat, ServeArgs};
use crate::config::version::ConfigSource;
use crate::config::{parse_address, AddressError, ConfigError, LoadedConfig};
use crate::fleet::event_loop::{self as fleet_event_loop, FleetThread};
use crate::fleet::node_settings::NodeStart;
use crate::fleet::rollout::gateway::{self, FollowerThread};
use crate::fleet::rollout::version_channel::VersionReceiver;
use crate::fleet::status::SharedStatus;
use crate::logging;
use crate::net::event_loop::{Config, Gateway};
use crate::settings::Zones;
use crate::settings_file::{LoadError, SettingsFile, SettingsFileError};
use crate::shortage::START_RETRY_TIMEOUT;
use crate::text_file::{self, ReadError, TextFileError};

mod initial_config;
pub mod signals;
mod takeover;

use self::initial_config::InitialConfig;
use self::takeover::Takeover;

/// Why a gateway does not start, or ends with an error.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// No configuration is named.
    #[error("GW_CONFIG does not name a configuration file, nor does --config")]
    NoConfig,
    /// The configuration cannot be read, and there is no previous process to take over from.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The configuration cannot be used, and there is no previous process to take over from.
    #[error(transparent)]
    Config(#[from] TextFileError<ConfigError>),
    /// An address cannot be used.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// The settings cannot be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The settings lack an entry that this gateway needs.
    #[error(transparent)]
    Settings(#[from] TextFileError<SettingsFileError>),
    /// The fleet's node does not start.
    #[error("cannot join the fleet: {0}")]
    JoinFleet(#[source] io::Error),
    /// The follower of the control servers does not start.
    #[error("cannot follow the control machines: {0}")]
    FollowControlServers(#[source] io::Error),
    /// Signals cannot be received.
    #[error("cannot watch for signals: {0}")]
    Signals(#[source] io::Error),
    /// The event loop does not start.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address for clients.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The event loop has ended with an error.
    #[error("cannot wait for events: {0}")]
    EventLoop(#[source] io::Error),
}

/// Runs a gateway until a signal ends it.
///
/// # Errors
/// The gateway cannot start, or its event loop fails.
pub fn serve(args: ServeArgs) -> Result<(), StartError> {
    let path = args.files.config.ok_or(StartError::NoConfig)?;
    let settings_file = SettingsFile::load(args.files.settings.as_deref())?;
    let version_file = settings_file.follower()?.map(|follower| follower.file);
    let text = text_file::read_within(START_RETRY_TIMEOUT, &path);
    let name = variable("GW_NAME").or_else(|| initial_config::configured_name(text.as_ref().ok()?));
    let takeover = Takeover::attempt(name.as_deref());
    let initial = InitialConfig::load(&path, text, takeover.state.as_ref(), version_file)?;
    let name = name.unwrap_or_else(|| initial.loaded.file.name.clone());
    Startup { path, settings_file, name, initial, takeover }.run(args.log)
}

/// The state of a start once the files are read and the previous process has handed over.
struct Startup {
    /// The configuration file.
    path: PathBuf,
    settings_file: SettingsFile,
    /// The gateway's name.
    name: String,
    initial: InitialConfig,
    takeover: Takeover,
}

impl Startup {
    fn run(self, log_format: LogFormat) -> Result<(), StartError> {
        let addresses = Addresses::of(&self.initial.loaded)?;
        self.settings_file.check_gateway_name(&self.name)?;
        let (log, _flushed_at_end) = logging::open(self.name.clone(), log_format, log_level());
        self.log_problems(&log);
        let fleet = self.join_fleet(&log)?;
        let follower = self.follow_control_servers(fleet.as_ref(), &log)?;
        let (follower, versions) = follower.unzip();
        let shared_status = fleet.as_ref().map(|fleet| fleet.status.clone());
        let cores = self.settings_file.settings.cores;
        let (config, source) = self.into_event_loop_parts(&addresses, shared_status);
        let ended = run_event_loop(config, source, versions, cores, &log);
        if let Some(follower) = follower {
            follower.end();
        }
        if let Some(fleet) = fleet {
            fleet.end();
        }
        ended
    }

    /// Logs the problems from before the log was opened.
    fn log_problems(&self, log: &Logger) {
        if let Some(e) = &self.takeover.error {
            warn!(log, "the previous process did not hand over its state; starting without it"; "error" => %e);
        }
        if let Some(why) = &self.initial.unusable_version {
            warn!(log, "config: the stored version cannot be used; starting without it"; "why" => %why);
        }
    }

    fn join_fleet(&self, log: &Logger) -> Result<Option<FleetThread>, StartError> {
        let mut groups: Vec<u32> = self.initial.loaded.file.known.groups().collect();
        groups.sort_unstable();
        groups.dedup();
        let start = NodeStart {
            name: self.name.clone(),
            start: start_number(),
            roles: groups.into_iter().map(|group| format!("survey/{group}")).collect(),
            seed: random_seed(),
        };
        fleet_event_loop::start(&self.settings_file.settings.fleet, start, log).map_err(StartError::JoinFleet)
    }

    fn follow_control_servers(
        &self,
        fleet: Option<&FleetThread>,
        log: &Logger,
    ) -> Result<Option<(FollowerThread, VersionReceiver)>, StartError> {
        let (Some(own), Some(fleet)) = (self.settings_file.follower()?, fleet) else { return Ok(None) };
        let settings = &self.settings_file.settings;
        let start = gateway::Start {
            settings: follower::Settings {
                fleet: settings.fleet.name.clone().unwrap_or_default(),
                name: self.name.clone(),
                zone: own.zone.to_string(),
                servers: settings.control.servers.iter().map(|(server, _)| server.clone()).collect(),
                timeouts: Timeouts::default(),
                seed: random_seed(),
            },
            addresses: settings.control.servers.iter().map(|(_, address)| *address).collect(),
            file: own.file.to_path_buf(),
            in_force: self.initial.version.as_ref().map(Document::version),
            shared_status: fleet.status.clone(),
        };
        gateway::start(start, log).map(Some).map_err(StartError::FollowControlServers)
    }

    /// The event loop's parameters, and the source of further configurations.
    fn into_event_loop_parts(
        self,
        addresses: &Addresses,
        fleet: Option<SharedStatus>,
    ) -> (Config, ConfigSource) {
        let InitialConfig { loaded, active, zones, file_text, version, .. } = self.initial;
        let config = Config {
            listen: addresses.listen,
            admin: addresses.admin,
            discovery: addresses.discovery,
            seed: loaded.seed,
            max_descriptors: loaded.file.limits.sockets,
            memory_mib: loaded.file.limits.memory_mb,
            endpoints: loaded.file.known,
            site: loaded.settings,
            zones,
            text: active.text().to_string(),
            handover_path: self.takeover.socket_path,
            predecessor: self.takeover.state,
            fleet,
        };
        let source = ConfigSource {
            path: self.path,
            file_text,
            active,
            version,
            configured_discovery: loaded.discovery,
            discovery: addresses.discovery,
        };
        (config, source)
    }
}

/// The addresses of a configuration; an environment variable overrides each of them.
struct Addresses {
    listen: SocketAddr,
    admin: Option<SocketAddr>,
    discovery: SocketAddr,
}

impl Addresses {
    fn of(loaded: &LoadedConfig) -> Result<Addresses, AddressError> {
        let address_of = |name, configured: &str| match variable(name) {
            Some(text) => parse_address(name, &text),
            None => parse_address(name, configured),
        };
        let admin = variable("GW_ADMIN_ADDR").or_else(|| loaded.file.admin_addr.clone());
        Ok(Addresses {
            listen: address_of("GW_LISTEN", &loaded.file.listen)?,
            admin: admin.map(|text| parse_address("GW_ADMIN_ADDR", &text)).transpose()?,
            discovery: address_of("GW_DISCOVERY", &loaded.file.discovery)?,
        })
    }
}

/// Opens all workers and runs them until they end.
fn run_event_loop(
    config: Config,
    mut source: ConfigSource,
    versions: Option<VersionReceiver>,
    cores: usize,
    log: &Logger,
) -> Result<(), StartError> {
    let address = config.listen;
    let read_config = Box::new(move |new: Option<&Document>, zones: &mut Zones| source.reload(new, zones));
    let signals = signals::watch(versions, read_config).map_err(StartError::Signals)?;
    let workers = Gateway::open_all(config, signals, log.clone(), cores)
        .map_err(|source| StartError::Listen { address, source })?;
    info!(log, "listening"; "address" => %address, "version" => env!("CARGO_PKG_VERSION"), "cores" => cores);
    Gateway::run_all(workers).map_err(StartError::EventLoop)
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// The log level: `GW_LOG=debug` adds lines about single requests, their attempts, and connections to hosts.
fn log_level() -> Level {
    match variable("GW_LOG").as_deref() {
        Some("debug") => Level::Debug,
        _ => Level::Info,
    }
}

/// A number that rises with each start of a process: Unix time in milliseconds.
pub fn start_number() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// A seed that differs between processes.
pub fn random_seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}
