//! The plan of a scale run, read from an INI file. An unknown section or key is an error.

use std::path::{Path, PathBuf};
use std::time::Duration;

use dunemount_rollout::settings::Timeouts;
use dunemount_rollout::version::MAX_DOCUMENT_BYTES;
use ini::Ini;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Limit of gateways, simulated and real together: a member of the fleet knows at most 1,024.
pub const MAX_GATEWAYS: usize = 1_000;
/// Limit of processes that a run starts.
pub const MAX_PROCESSES: usize = 200;
/// Limit of the memory of a run and of the processes that it starts, in MiB.
pub const MAX_MEMORY_MIB: u64 = 12 * 1024;
/// Limit of hosts in the endpoint list.
const MAX_HOSTS: u64 = 10_000;
/// Limit of versions that one event proposes: the times of each gateway are kept in memory until the event is over.
const MAX_VERSIONS: f64 = 600.0;

/// A scale run, as its file describes it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Gateways without client sockets, simulated in the loadtest process (`hollow` in the file).
    pub simulated: usize,
    /// Gateways that run as processes of the program.
    pub real: usize,
    /// Control servers that run as processes of the program, one per zone from the first zone on. Where there are any,
    /// they are the acceptors instead of the gateways.
    pub control_servers: usize,
    /// Length of a version's document in bytes, padded with blanks.
    pub document_bytes: usize,
    /// Timeouts between a simulated gateway and the control servers; processes have the program's own.
    pub timeouts: Timeouts,
    /// Path of the program that gateway and control server processes run.
    pub program: PathBuf,
    /// Threads that the simulated gateways share; each simulated acceptor has another one of its own.
    pub threads: usize,
    /// Time after which the whole run is aborted.
    pub time_limit: Duration,
    /// Time that all gateways have to discover each other.
    pub join_timeout: Duration,
    /// Length of the phase without events, which measures the base rates.
    pub quiet_time: Duration,
    /// Time after an event within which all gateways should have acted.
    pub settle_timeout: Duration,
    /// Limit of the run's memory in MiB, at most [`MAX_MEMORY_MIB`].
    pub memory_mib: u64,
    /// Number of acceptors: the first control servers, or the first gateways where there are no control servers.
    pub voters: usize,
    /// Duration of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Time between two probes of a member of the fleet, in milliseconds.
    pub probe_ms: u64,
    /// Number of roles to be held by lease, one for each of the first groups of the list.
    pub roles: u64,
    /// Hosts in the endpoint list.
    pub hosts: u64,
    /// Hosts per group.
    pub group_size: u64,
    /// Whether each simulated gateway also updates a balancer from the list (`router` in the file).
    pub with_balancer: bool,
    /// Whether discovery answers a change with the whole list.
    pub whole_lists: bool,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones over all regions.
    pub zones: usize,
    /// Events, in the order in which they are executed.
    pub events: Vec<Event>,
    /// Limits that the measurements are checked against.
    pub budgets: Vec<Budget>,
}

/// A change of the gateways, the control servers or the endpoint list. Its keyword in the file is what
/// [`Event::keyword`] returns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// This many hosts of the list get another address.
    HostsMoved(u64),
    /// Another host of the first group becomes its primary.
    PrimaryChanged,
    /// Each gateway reloads its configuration: simulated ones receive its text, processes receive SIGHUP.
    ConfigurationReloaded,
    /// A gateway that is not an acceptor ends without a graceful shutdown.
    GatewayKilled,
    /// This many gateways of one zone end without a graceful shutdown.
    RackLost(usize),
    /// All gateways of a zone, acceptors included, and its control server end without a graceful shutdown and are
    /// started again after this time.
    ZoneLost(usize, Duration),
    /// No datagrams pass between regions for this time.
    RegionsPartitioned(Duration),
    /// This many gateways are restarted one after the other, with this pause between them.
    RollingRestart(usize, Duration),
    /// A gateway is frozen for this time and then continues.
    GatewayFrozen(Duration),
    /// A gateway runs only a tenth of the time, for this long.
    GatewaySlow(Duration),
    /// This many versions of the configuration are proposed, with this pause between them.
    VersionsProposed(usize, Duration),
    /// One version is proposed while a gateway is frozen for this time; the event waits for that gateway, too.
    GatewayBehind(Duration),
    /// A control server is killed and started again after this time.
    ControlServerKilled(Duration),
    /// A control server is frozen for this time and then continues.
    ControlServerFrozen(Duration),
}

impl Event {
    /// The event's keyword in the plan and in the reports.
    pub fn keyword(self) -> &'static str {
        match self {
            Event::HostsMoved(_) => "list",
            Event::PrimaryChanged => "primary",
            Event::ConfigurationReloaded => "configuration",
            Event::GatewayKilled => "death",
            Event::RackLost(_) => "rack",
            Event::ZoneLost(..) => "zone",
            Event::RegionsPartitioned(_) => "apart",
            Event::RollingRestart(..) => "restarts",
            Event::GatewayFrozen(_) => "stopped",
            Event::GatewaySlow(_) => "slow",
            Event::VersionsProposed(..) => "version",
            Event::GatewayBehind(_) => "behind",
            Event::ControlServerKilled(_) => "control",
            Event::ControlServerFrozen(_) => "silent",
        }
    }

    /// Parses `KEYWORD NUMBER...`. Times are in seconds, except for the pauses between restarts and between versions,
    /// which are in milliseconds.
    fn parse(text: &str) -> Result<Event, String> {
        let mut words = text.split_whitespace();
        let keyword = words.next().unwrap_or_default();
        let numbers: Vec<f64> = words
            .map(|word| word.parse::<f64>().ok().filter(|number| (0.0..=100_000.0).contains(number)))
            .collect::<Option<_>>()
            .ok_or(format!("{text:?}: arguments must be numbers from 0 to 100000"))?;
        let seconds = Duration::from_secs_f64;
        Ok(match (keyword, numbers.as_slice()) {
            ("list", [hosts]) if *hosts >= 1.0 => Event::HostsMoved(*hosts as u64),
            ("primary", []) => Event::PrimaryChanged,
            ("configuration", []) => Event::ConfigurationReloaded,
            ("death", []) => Event::GatewayKilled,
            ("rack", [size]) if *size >= 1.0 => Event::RackLost(*size as usize),
            ("zone", [zone, time]) => Event::ZoneLost(*zone as usize, seconds(*time)),
            ("apart", [time]) => Event::RegionsPartitioned(seconds(*time)),
            ("restarts", [count, pause]) if *count >= 1.0 => {
                Event::RollingRestart(*count as usize, seconds(*pause / 1000.0))
            }
            ("stopped", [time]) => Event::GatewayFrozen(seconds(*time)),
            ("slow", [time]) => Event::GatewaySlow(seconds(*time)),
            ("version", []) => Event::VersionsProposed(1, Duration::ZERO),
            ("version", [count]) if (1.0..=MAX_VERSIONS).contains(count) => {
                Event::VersionsProposed(*count as usize, Duration::ZERO)
            }
            ("version", [count, pause]) if (1.0..=MAX_VERSIONS).contains(count) => {
                Event::VersionsProposed(*count as usize, seconds(*pause / 1000.0))
            }
            ("behind", [time]) => Event::GatewayBehind(seconds(*time)),
            ("control", [time]) => Event::ControlServerKilled(seconds(*time)),
            ("silent", [time]) => Event::ControlServerFrozen(seconds(*time)),
            _ => {
                return Err(format!(
                "{text:?} is not one of: list N, primary, configuration, death, rack N, zone ZONE SECONDS, \
                     apart SECONDS, restarts N MILLISECONDS, stopped SECONDS, slow SECONDS, \
                     version [N] [MILLISECONDS], behind SECONDS, control SECONDS, silent SECONDS"
            ))
            }
        })
    }

    /// Draws an event uniformly from the kinds that need no argument chosen by the plan.
    fn draw(rng: &mut Pcg64Mcg) -> Event {
        let kinds = [
            Event::HostsMoved(1),
            Event::PrimaryChanged,
            Event::ConfigurationReloaded,
            Event::GatewayKilled,
            Event::RackLost(3),
        ];
        kinds[rng.next_u32() as usize % kinds.len()]
    }
}

/// The quantity that a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// Processor time, as a fraction of one core.
    CpuCores,
    /// Memory in MB (a million bytes).
    Memory,
    /// Bytes per second, sent and received together.
    BytesPerSecond,
    /// Seconds from an event until the last gateway has acted.
    SecondsToLast,
}

/// A limit that the measurements of a run are checked against.
#[derive(Clone, Debug)]
pub struct Budget {
    /// The key in the file, `SUBJECT.MEASURE`.
    pub key: String,
    /// `gateway`, `voter`, `control` for a control server, or an event's keyword.
    pub subject: String,
    /// The limited quantity.
    pub measure: Measure,
    /// The highest value that keeps the budget, in the unit of the measure.
    pub limit: f64,
}

impl Budget {
    fn parse(key: &str, text: &str) -> Result<Budget, String> {
        let limit = text.trim().parse().map_err(|_| format!("{text:?} is not a number"))?;
        let (subject, unit) = key.rsplit_once('.').ok_or("is not SUBJECT.MEASURE")?;
        let measure =
            match (subject, unit) {
                ("gateway" | "voter" | "control", "core") => Measure::CpuCores,
                ("gateway" | "control", "mb") => Measure::Memory,
                ("gateway" | "voter", "bytes_s") => Measure::BytesPerSecond,
                (_, "last_s") => Measure::SecondsToLast,
                _ => return Err(
                    "is not one of gateway.core, gateway.mb, gateway.bytes_s, voter.core, voter.bytes_s, \
                            control.core, control.mb, EVENT.last_s"
                        .into(),
                ),
            };
        Ok(Budget { key: key.to_string(), subject: subject.to_string(), measure, limit })
    }
}

/// Parses a whole number and checks its range.
fn parse_integer(text: &str, min: u64, max: u64) -> Result<u64, String> {
    let number: u64 = text.trim().parse().map_err(|_| format!("{text:?} is not a whole number"))?;
    match (min..=max).contains(&number) {
        true => Ok(number),
        false => Err(format!("{number} is out of range ({min} to {max})")),
    }
}

fn parse_yes_no(text: &str) -> Result<bool, String> {
    match text.trim() {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(format!("{text:?} is neither yes nor no")),
    }
}

impl Plan {
    /// Reads a plan from a file.
    ///
    /// # Errors
    /// The first value that is not valid, with its section and key.
    pub fn load(path: &Path) -> Result<Plan, String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        Plan::parse(&text).map_err(|error| format!("{}: {error}", path.display()))
    }

    /// Parses the text of a plan.
    ///
    /// # Errors
    /// The first value that is not valid, with its section and key.
    pub fn parse(text: &str) -> Result<Plan, String> {
        let file = Ini::load_from_str_noescape(text).map_err(|e| e.to_string())?;
        let mut plan = Plan {
            seed: 1,
            simulated: 30,
            real: 0,
            control_servers: 0,
            document_bytes: 4_096,
            timeouts: Timeouts::default(),
            program: "target/release/dunemount".into(),
            threads: 4,
            time_limit: Duration::from_secs(170),
            join_timeout: Duration::from_secs(60),
            quiet_time: Duration::from_secs(10),
            settle_timeout: Duration::from_secs(30),
            memory_mib: MAX_MEMORY_MIB,
            voters: 3,
            lease_ms: 3_000,
            probe_ms: 500,
            roles: 1,
            hosts: 1_000,
            group_size: 5,
            with_balancer: false,
            whole_lists: true,
            regions: 2,
            zones: 6,
            events: Vec::new(),
            budgets: Vec::new(),
        };
        let mut drawn = 0;
        for (section, values) in &file {
            let section = section.unwrap_or_default();
            for (key, value) in values {
                let set = plan.set(section, key, value, &mut drawn);
                set.map_err(|error| format!("[{section}] {key}: {error}"))?;
            }
        }
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        plan.events.extend((0..drawn).map(|_| Event::draw(&mut rng)));
        plan.validate()?;
        Ok(plan)
    }

    fn set(&mut self, section: &str, key: &str, value: &str, drawn: &mut u64) -> Result<(), String> {
        let max_gateways = MAX_GATEWAYS as u64;
        let seconds = |max| parse_integer(value, 1, max).map(Duration::from_secs);
        match (section, key) {
            ("run", "seed") => self.seed = parse_integer(value, 0, u64::MAX)?,
            ("run", "hollow") => self.simulated = parse_integer(value, 0, max_gateways)? as usize,
            ("run", "real") => self.real = parse_integer(value, 0, max_gateways)? as usize,
            ("run", "control") => self.control_servers = parse_integer(value, 0, 64)? as usize,
            ("run", "document_bytes") => {
                self.document_bytes = parse_integer(value, 0, MAX_DOCUMENT_BYTES as u64)? as usize;
            }
            ("run", "home_s") => self.timeouts.return_window = seconds(600)?,
            ("run", "silent_ms") => {
                self.timeouts.liveness = Duration::from_millis(parse_integer(value, 300, 60_000)?);
            }
            ("run", "program") => self.program = value.into(),
            ("run", "threads") => self.threads = parse_integer(value, 1, 64)? as usize,
            ("run", "longest_s") => self.time_limit = seconds(3_600)?,
            ("run", "join_s") => self.join_timeout = seconds(600)?,
            ("run", "quiet_s") => self.quiet_time = seconds(600)?,
            ("run", "settle_s") => self.settle_timeout = seconds(600)?,
            ("run", "memory_mb") => self.memory_mib = parse_integer(value, 1, MAX_MEMORY_MIB)?,
            ("fleet", "voters") => self.voters = parse_integer(value, 1, 7)? as usize,
            ("fleet", "lease_ms") => self.lease_ms = parse_integer(value, 300, 600_000)?,
            ("fleet", "probe_ms") => self.probe_ms = parse_integer(value, 50, 60_000)?,
            ("fleet", "roles") => self.roles = parse_integer(value, 0, MAX_HOSTS)?,
            ("list", "hosts") => self.hosts = parse_integer(value, 1, MAX_HOSTS)?,
            ("list", "group_size") => self.group_size = parse_integer(value, 1, MAX_HOSTS)?,
            ("list", "router") => self.with_balancer = parse_yes_no(value)?,
            ("list", "whole") => self.whole_lists = parse_yes_no(value)?,
            ("places", "regions") => self.regions = parse_integer(value, 1, 16)? as usize,
            ("places", "zones") => self.zones = parse_integer(value, 1, 64)? as usize,
            ("events", "drawn") => *drawn = parse_integer(value, 0, 100)?,
            // The key of an event may be any other name; events are executed in the order of the file.
            ("events", _) => self.events.push(Event::parse(value)?),
            ("budgets", _) => self.budgets.push(Budget::parse(key, value)?),
            _ => return Err("unknown key".into()),
        }
        Ok(())
    }

    /// Checks values that depend on each other.
    fn validate(&self) -> Result<(), String> {
        if !matches!(self.voters, 1 | 3 | 5 | 7) {
            return Err(format!("[fleet] voters: {}: must be 1, 3, 5 or 7 to keep a majority", self.voters));
        }
        if self.control_servers > self.zones {
            return Err(format!(
                "[run] control: {}: at most one per zone, of {} zones",
                self.control_servers, self.zones
            ));
        }
        if self.control_servers > 0 && self.voters > self.control_servers {
            return Err(format!("[fleet] voters: {}: more than there are control servers", self.voters));
        }
        if self.control_servers == 0 && self.voters > self.gateways() {
            return Err(format!("[fleet] voters: {}: more than there are gateways", self.voters));
        }
        if self.gateways() > MAX_GATEWAYS {
            return Err(format!("[run] hollow, real: at most {MAX_GATEWAYS} gateways together"));
        }
        if self.lease_ms < self.probe_ms {
            return Err("[fleet] lease_ms: must not be shorter than probe_ms".into());
        }
        for event in &self.events {
            match event {
                Event::ZoneLost(zone, _) if *zone >= self.zones => {
                    return Err(format!("[events] zone {zone}: zones are 0 to {}", self.zones - 1))
                }
                Event::RegionsPartitioned(_) if self.real + self.control_servers > 0 => {
                    return Err("[events] apart: datagrams between processes cannot be dropped; needs real = 0 and control = 0".into())
                }
                Event::VersionsProposed(..)
                | Event::GatewayBehind(_)
                | Event::ControlServerKilled(_)
                | Event::ControlServerFrozen(_)
                    if self.control_servers == 0 =>
                {
                    return Err(format!("[events] {}: needs [run] control of at least 1", event.keyword()))
                }
                Event::PrimaryChanged if self.group_size < 2 => {
                    return Err("[events] primary: needs [list] group_size of at least 2".into())
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Number of all gateways; the simulated ones have the first indexes.
    pub fn gateways(&self) -> usize {
        self.simulated + self.real
    }

    /// Number of acceptors among the gateways; they have the first indexes.
    pub fn voting_gateways(&self) -> usize {
        if self.control_servers > 0 {
            0
        } else {
            self.voters
        }
    }

    /// The zone of the gateway with this index.
    pub fn zone(&self, gateway: usize) -> usize {
        gateway % self.zones
    }

    /// The region of the gateway with this index.
    pub fn region(&self, gateway: usize) -> usize {
        self.zone(gateway) % self.regions
    }
}
