//! What a scale run is to do: the INI file, read whole; what is not known is an error and never passed over.

use std::path::{Path, PathBuf};
use std::time::Duration;

use dunemount_rollout::settings::Timeouts;
use dunemount_rollout::version::MAX_DOCUMENT_BYTES;
use ini::Ini;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Most gateways, simulated and real: a member of the fleet knows no more than 1,024.
pub const MOST_GATEWAYS: usize = 1_000;
/// Most processes that a run starts.
pub const MOST_PROCESSES: usize = 200;
/// Most memory of a run, its own and that of what it starts, in MiB.
pub const MOST_MEMORY: u64 = 12 * 1024;
/// Most hosts in the list.
const MOST_HOSTS: u64 = 10_000;
/// Most versions that one event puts: each gateway's times of them are kept until it is over.
const MOST_VERSIONS: f64 = 600.0;

/// A run as its file has it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// For all draws.
    pub seed: u64,
    /// Gateways without client sockets, in the run's own process.
    pub simulated: usize,
    /// Gateways as processes of the program.
    pub real: usize,
    /// Control machines as processes of the program, one a zone from the first on; they vote in the gateways' place.
    pub control: usize,
    /// Length of a version's document, filled up with blanks.
    pub document_bytes: usize,
    /// How long what may take between a simulated gateway and the control servers; processes have the program's own.
    pub timeouts: Timeouts,
    /// The program.
    pub program: PathBuf,
    /// Threads that the simulated gateways share; voters have one each beside them.
    pub threads: usize,
    /// The whole run ends after this.
    pub longest: Duration,
    /// How long all may take to find each other.
    pub join: Duration,
    /// Time without events over which the quiet rates are taken.
    pub quiet: Duration,
    /// How long an event may take until all have acted.
    pub settle: Duration,
    /// Most memory, in MiB, at most [`MOST_MEMORY`].
    pub memory: u64,
    /// Voters: the first of the control servers, or of the gateways where there are none.
    pub voters: usize,
    /// Length of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Time between two probes of a member, in milliseconds.
    pub probe_ms: u64,
    /// Roles that somebody is to hold: the first groups of the list.
    pub roles: u64,
    /// Hosts in the list.
    pub hosts: u64,
    /// Hosts of a group.
    pub group_size: u64,
    /// Whether each simulated gateway's balancer takes the list in, too.
    pub router: bool,
    /// Whether discovery answers a change with the whole list.
    pub whole: bool,
    /// Regions.
    pub regions: usize,
    /// Zones over all regions.
    pub zones: usize,
    /// What happens, in this order.
    pub events: Vec<Event>,
    /// What has to be kept.
    pub budgets: Vec<Budget>,
}

/// Something that happens to the gateways or to the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// So many hosts of the list change.
    List(u64),
    /// The primary of a group is another of its hosts.
    Primary,
    /// Each gateway reads its configuration anew: simulated ones are handed the text, real ones get SIGHUP.
    Configuration,
    /// A gateway that is no voter ends without a word.
    Death,
    /// So many gateways of one zone do.
    Rack(usize),
    /// All gateways of a zone do, voters too, and come back after so long.
    Zone(usize, Duration),
    /// Regions hear nothing of each other for so long.
    Apart(Duration),
    /// So many gateways are started anew, one after the other, each so long after the one before.
    Restarts(usize, Duration),
    /// A gateway does nothing for so long and then goes on.
    Stopped(Duration),
    /// A gateway runs a tenth of the time, for so long.
    Slow(Duration),
    /// So many versions of the configuration are put, each so long after the one before.
    Version(usize, Duration),
    /// The same with one version, while a gateway that is waited for does nothing for so long.
    Behind(Duration),
    /// A control server is killed, and comes back after so long.
    Control(Duration),
    /// A control server does nothing for so long and then goes on.
    Silent(Duration),
}

impl Event {
    /// Its word in the file, and in what the run writes.
    pub fn word(self) -> &'static str {
        match self {
            Event::List(_) => "list",
            Event::Primary => "primary",
            Event::Configuration => "configuration",
            Event::Death => "death",
            Event::Rack(_) => "rack",
            Event::Zone(..) => "zone",
            Event::Apart(_) => "apart",
            Event::Restarts(..) => "restarts",
            Event::Stopped(_) => "stopped",
            Event::Slow(_) => "slow",
            Event::Version(..) => "version",
            Event::Behind(_) => "behind",
            Event::Control(_) => "control",
            Event::Silent(_) => "silent",
        }
    }

    /// Reads `WORD NUMBER...`; times are in seconds, but for the milliseconds between restarts and versions.
    fn read(text: &str) -> Result<Event, String> {
        let mut words = text.split_whitespace();
        let word = words.next().unwrap_or_default();
        let numbers: Vec<f64> = words
            .map(|word| word.parse::<f64>().ok().filter(|number| (0.0..=100_000.0).contains(number)))
            .collect::<Option<_>>()
            .ok_or(format!("{text:?}: behind the word stand numbers from 0 to 100000"))?;
        let seconds = Duration::from_secs_f64;
        Ok(match (word, numbers.as_slice()) {
            ("list", [hosts]) if *hosts >= 1.0 => Event::List(*hosts as u64),
            ("primary", []) => Event::Primary,
            ("configuration", []) => Event::Configuration,
            ("death", []) => Event::Death,
            ("rack", [size]) if *size >= 1.0 => Event::Rack(*size as usize),
            ("zone", [zone, time]) => Event::Zone(*zone as usize, seconds(*time)),
            ("apart", [time]) => Event::Apart(seconds(*time)),
            ("restarts", [count, pause]) if *count >= 1.0 => {
                Event::Restarts(*count as usize, seconds(*pause / 1000.0))
            }
            ("stopped", [time]) => Event::Stopped(seconds(*time)),
            ("slow", [time]) => Event::Slow(seconds(*time)),
            ("version", []) => Event::Version(1, Duration::ZERO),
            ("version", [count]) if (1.0..=MOST_VERSIONS).contains(count) => {
                Event::Version(*count as usize, Duration::ZERO)
            }
            ("version", [count, pause]) if (1.0..=MOST_VERSIONS).contains(count) => {
                Event::Version(*count as usize, seconds(*pause / 1000.0))
            }
            ("behind", [time]) => Event::Behind(seconds(*time)),
            ("control", [time]) => Event::Control(seconds(*time)),
            ("silent", [time]) => Event::Silent(seconds(*time)),
            _ => {
                return Err(format!(
                    "{text:?} is none of: list N, primary, configuration, death, rack N, zone ZONE SECONDS, \
                     apart SECONDS, restarts N MILLISECONDS, stopped SECONDS, slow SECONDS, \
                     version [N] [MILLISECONDS], behind SECONDS, control SECONDS, silent SECONDS"
                ))
            }
        })
    }

    /// One drawn evenly of those that need no number that a run must choose.
    fn draw(rng: &mut Pcg64Mcg) -> Event {
        let kinds = [Event::List(1), Event::Primary, Event::Configuration, Event::Death, Event::Rack(3)];
        kinds[rng.next_u32() as usize % kinds.len()]
    }
}

/// What a budget is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// Part of a core.
    Core,
    /// MB of memory.
    Memory,
    /// Bytes a second, sent and received.
    Bytes,
    /// Seconds from an event to the last gateway that has acted.
    Last,
}

/// A limit that the run holds its figures against.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Its key in the file.
    pub key: String,
    /// `gateway`, `voter`, `control` for a control server, or an event's word.
    pub of: String,
    /// What is limited.
    pub measure: Measure,
    /// How much there may be.
    pub most: f64,
}

impl Budget {
    fn read(key: &str, text: &str) -> Result<Budget, String> {
        let most = text.trim().parse().map_err(|_| format!("{text:?} is no number"))?;
        let (of, what) = key.rsplit_once('.').ok_or("is not WHO.WHAT")?;
        let measure = match (of, what) {
            ("gateway" | "voter" | "control", "core") => Measure::Core,
            ("gateway" | "control", "mb") => Measure::Memory,
            ("gateway" | "voter", "bytes_s") => Measure::Bytes,
            (_, "last_s") => Measure::Last,
            _ => {
                return Err(
                    "is none of gateway.core, gateway.mb, gateway.bytes_s, voter.core, voter.bytes_s, \
                            control.core, control.mb, EVENT.last_s"
                        .into(),
                )
            }
        };
        Ok(Budget { key: key.to_string(), of: of.to_string(), measure, most })
    }
}

/// A whole number in a range.
fn number(text: &str, least: u64, most: u64) -> Result<u64, String> {
    let number: u64 = text.trim().parse().map_err(|_| format!("{text:?} is no whole number"))?;
    match (least..=most).contains(&number) {
        true => Ok(number),
        false => Err(format!("{number} is out of range ({least} to {most})")),
    }
}

fn yes(text: &str) -> Result<bool, String> {
    match text.trim() {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(format!("{text:?} is neither yes nor no")),
    }
}

impl Plan {
    /// Reads a file.
    ///
    /// # Errors
    /// What cannot be used, with its section and key.
    pub fn load(path: &Path) -> Result<Plan, String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        Plan::read(&text).map_err(|what| format!("{}: {what}", path.display()))
    }

    /// Reads a file's text.
    ///
    /// # Errors
    /// What cannot be used, with its section and key.
    pub fn read(text: &str) -> Result<Plan, String> {
        let file = Ini::load_from_str_noescape(text).map_err(|e| e.to_string())?;
        let mut plan = Plan {
            seed: 1,
            simulated: 30,
            real: 0,
            control: 0,
            document_bytes: 4_096,
            timeouts: Timeouts::default(),
            program: "target/release/dunemount".into(),
            threads: 4,
            longest: Duration::from_secs(170),
            join: Duration::from_secs(60),
            quiet: Duration::from_secs(10),
            settle: Duration::from_secs(30),
            memory: MOST_MEMORY,
            voters: 3,
            lease_ms: 3_000,
            probe_ms: 500,
            roles: 1,
            hosts: 1_000,
            group_size: 5,
            router: false,
            whole: true,
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
                set.map_err(|what| format!("[{section}] {key}: {what}"))?;
            }
        }
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        plan.events.extend((0..drawn).map(|_| Event::draw(&mut rng)));
        plan.fits()?;
        Ok(plan)
    }

    fn set(&mut self, section: &str, key: &str, value: &str, drawn: &mut u64) -> Result<(), String> {
        let most = MOST_GATEWAYS as u64;
        let seconds = |most| number(value, 1, most).map(Duration::from_secs);
        match (section, key) {
            ("run", "seed") => self.seed = number(value, 0, u64::MAX)?,
            ("run", "hollow") => self.simulated = number(value, 0, most)? as usize,
            ("run", "real") => self.real = number(value, 0, most)? as usize,
            ("run", "control") => self.control = number(value, 0, 64)? as usize,
            ("run", "document_bytes") => {
                self.document_bytes = number(value, 0, MAX_DOCUMENT_BYTES as u64)? as usize;
            }
            ("run", "home_s") => self.timeouts.return_window = seconds(600)?,
            ("run", "silent_ms") => {
                self.timeouts.liveness = Duration::from_millis(number(value, 300, 60_000)?);
            }
            ("run", "program") => self.program = value.into(),
            ("run", "threads") => self.threads = number(value, 1, 64)? as usize,
            ("run", "longest_s") => self.longest = seconds(3_600)?,
            ("run", "join_s") => self.join = seconds(600)?,
            ("run", "quiet_s") => self.quiet = seconds(600)?,
            ("run", "settle_s") => self.settle = seconds(600)?,
            ("run", "memory_mb") => self.memory = number(value, 1, MOST_MEMORY)?,
            ("fleet", "voters") => self.voters = number(value, 1, 7)? as usize,
            ("fleet", "lease_ms") => self.lease_ms = number(value, 300, 600_000)?,
            ("fleet", "probe_ms") => self.probe_ms = number(value, 50, 60_000)?,
            ("fleet", "roles") => self.roles = number(value, 0, MOST_HOSTS)?,
            ("list", "hosts") => self.hosts = number(value, 1, MOST_HOSTS)?,
            ("list", "group_size") => self.group_size = number(value, 1, MOST_HOSTS)?,
            ("list", "router") => self.router = yes(value)?,
            ("list", "whole") => self.whole = yes(value)?,
            ("places", "regions") => self.regions = number(value, 1, 16)? as usize,
            ("places", "zones") => self.zones = number(value, 1, 64)? as usize,
            ("events", "drawn") => *drawn = number(value, 0, 100)?,
            // Any other name: the order in the file counts.
            ("events", _) => self.events.push(Event::read(value)?),
            ("budgets", _) => self.budgets.push(Budget::read(key, value)?),
            _ => return Err("no such key".into()),
        }
        Ok(())
    }

    /// Whether what belongs together fits.
    fn fits(&self) -> Result<(), String> {
        if !matches!(self.voters, 1 | 3 | 5 | 7) {
            return Err(format!("[fleet] voters: {}: 1, 3, 5 or 7 keep a majority", self.voters));
        }
        if self.control > self.zones {
            return Err(format!("[run] control: {}: one a zone, of {}", self.control, self.zones));
        }
        if self.control > 0 && self.voters > self.control {
            return Err(format!("[fleet] voters: {}: more than there are control machines", self.voters));
        }
        if self.control == 0 && self.voters > self.gateways() {
            return Err(format!("[fleet] voters: {}: more than there are gateways", self.voters));
        }
        if self.gateways() > MOST_GATEWAYS {
            return Err(format!("[run] hollow, real: {MOST_GATEWAYS} gateways at most"));
        }
        if self.lease_ms < self.probe_ms {
            return Err("[fleet] lease_ms: shorter than probe_ms".into());
        }
        for event in &self.events {
            match event {
                Event::Zone(zone, _) if *zone >= self.zones => {
                    return Err(format!("[events] zone {zone}: zones are 0 to {}", self.zones - 1))
                }
                Event::Apart(_) if self.real + self.control > 0 => {
                    return Err("[events] apart: datagrams of real processes cannot be held back here".into())
                }
                Event::Version(..) | Event::Behind(_) | Event::Control(_) | Event::Silent(_)
                    if self.control == 0 =>
                {
                    return Err(format!("[events] {}: needs a [run] control of 1", event.word()))
                }
                Event::Primary if self.group_size < 2 => {
                    return Err("[events] primary: needs a list.group_size of 2".into())
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// All gateways; the simulated ones come first.
    pub fn gateways(&self) -> usize {
        self.simulated + self.real
    }

    /// Voters among the gateways, the first of them.
    pub fn voting_gateways(&self) -> usize {
        if self.control > 0 {
            0
        } else {
            self.voters
        }
    }

    /// A gateway's zone.
    pub fn zone(&self, gateway: usize) -> usize {
        gateway % self.zones
    }

    /// A gateway's region.
    pub fn region(&self, gateway: usize) -> usize {
        self.zone(gateway) % self.regions
    }
}
