//! The project's own settings: an INI file beside the platform's JSON. What is not set has the value
//! that the platform's deployment needs; what is not known is an error and never passed over.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use dunemount_rollout::settings::ControlServerInfo;
use ini::Ini;

use crate::fault::Fault;

/// Most control machines: one a zone of the largest fleet, and room to move one.
pub const MOST_MACHINES: usize = 16;
/// Most worker threads that may be asked for.
pub const MOST_CORES: u64 = 64;

/// Everything that the file may set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// `[cores] count`: worker threads for the traffic, 1 to [`MOST_CORES`].
    pub cores: usize,
    /// `[fleet]`: talk between gateways, none unless it is named.
    pub fleet: FleetOptions,
    /// `[control]`: where a configuration's versions come from, nowhere unless machines are named.
    pub control: ControlOptions,
}

/// A gateway's name and where it hears the others of its fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The name, as in the gateway's configuration.
    pub name: String,
    /// Its datagrams' address.
    pub address: SocketAddr,
}

/// `[fleet]`: what a gateway is told of the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOptions {
    /// `name`: unless it is set there is no fleet, no socket and no thread for it.
    pub name: Option<String>,
    /// `listen`: where datagrams are heard.
    pub listen: Option<SocketAddr>,
    /// `voters`: those that keep the registers, in the same order at all gateways.
    pub voters: Vec<Place>,
    /// `seeds`: whom to call first; the voters if none are named.
    pub seeds: Vec<Place>,
    /// `size`: about how many gateways there are.
    pub size: u32,
    /// `lease_ms`: how long a role is held without a renewal, in milliseconds.
    pub lease_ms: u64,
    /// `probe_ms`: time between two probes of other members, in milliseconds.
    pub probe_ms: u64,
    /// `file`: where a voter keeps what it has promised.
    pub file: Option<PathBuf>,
}

/// `[control]`: what a gateway, a control machine and the operators' tool are told of a configuration's versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlOptions {
    /// `machines`: the control machines and where they listen (TCP), in the same order everywhere.
    pub machines: Vec<(ControlServerInfo, SocketAddr)>,
    /// `zone`: a gateway's.
    pub zone: Option<String>,
    /// `file`: where a gateway keeps the version in force, and a control machine what it needs.
    pub file: Option<PathBuf>,
    /// The line on which the section starts, where machines are named.
    pub line: usize,
}

impl Default for Options {
    fn default() -> Self {
        let fleet = FleetOptions {
            name: None,
            listen: None,
            voters: Vec::new(),
            seeds: Vec::new(),
            size: 3,
            lease_ms: 3_000,
            probe_ms: 500,
            file: None,
        };
        Options { cores: 1, fleet, control: ControlOptions::default() }
    }
}

/// What a value may be, and where it goes.
enum Value {
    Number { range: (u64, u64), set: fn(&mut Options, u64) },
    Text(fn(&mut Options, &str) -> Result<(), String>),
}

/// A key that may be set.
struct Key {
    section: &'static str,
    name: &'static str,
    value: Value,
}

const fn number(
    section: &'static str,
    name: &'static str,
    range: (u64, u64),
    set: fn(&mut Options, u64),
) -> Key {
    Key { section, name, value: Value::Number { range, set } }
}

const fn text(
    section: &'static str,
    name: &'static str,
    set: fn(&mut Options, &str) -> Result<(), String>,
) -> Key {
    Key { section, name, value: Value::Text(set) }
}

const KEYS: &[Key] = &[
    number("cores", "count", (1, MOST_CORES), |o, n| o.cores = n as usize),
    text("fleet", "name", |o, text| {
        o.fleet.name = Some(word(text, "a fleet's name")?);
        Ok(())
    }),
    text("fleet", "listen", |o, text| {
        o.fleet.listen = Some(address(text)?);
        Ok(())
    }),
    text("fleet", "voters", |o, text| {
        o.fleet.voters = places(text)?;
        if !matches!(o.fleet.voters.len(), 1 | 3 | 5 | 7) {
            return Err(format!("{} voters: 1, 3, 5 or 7 keep a majority", o.fleet.voters.len()));
        }
        Ok(())
    }),
    text("fleet", "seeds", |o, text| {
        o.fleet.seeds = places(text)?;
        Ok(())
    }),
    number("fleet", "size", (1, 1_000), |o, n| o.fleet.size = n as u32),
    number("fleet", "lease_ms", (300, 600_000), |o, n| o.fleet.lease_ms = n),
    number("fleet", "probe_ms", (50, 60_000), |o, n| o.fleet.probe_ms = n),
    text("fleet", "file", |o, text| {
        o.fleet.file = Some(path(text)?);
        Ok(())
    }),
    text("control", "machines", |o, text| {
        o.control.machines = machines(text)?;
        Ok(())
    }),
    text("control", "zone", |o, text| {
        o.control.zone = Some(word(text, "a zone's name")?);
        Ok(())
    }),
    text("control", "file", |o, text| {
        o.control.file = Some(path(text)?);
        Ok(())
    }),
];

/// A name that goes over the wire.
fn word(text: &str, what: &str) -> Result<String, String> {
    match text.len() {
        0 => Err(format!("{what} is empty")),
        1..=64 => Ok(text.to_string()),
        length => Err(format!("{what} of {length} bytes, 64 at most")),
    }
}

fn path(text: &str) -> Result<PathBuf, String> {
    match text {
        "" => Err("a path is empty".into()),
        _ => Ok(PathBuf::from(text)),
    }
}

fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{text:?} is no address with a port"))
}

/// `NAME@ADDRESS:PORT`, separated by commas.
fn places(text: &str) -> Result<Vec<Place>, String> {
    let mut places: Vec<Place> = Vec::new();
    for part in text.split(',').map(str::trim) {
        let (name, at) = part.rsplit_once('@').ok_or(format!("{part:?} is not NAME@ADDRESS:PORT"))?;
        let place = Place { name: word(name, "a gateway's name")?, address: address(at)? };
        if places.iter().any(|known| known.name == place.name || known.address == place.address) {
            return Err(format!("{part:?}: a name or an address that stands there already"));
        }
        places.push(place);
    }
    Ok(places)
}

/// `ZONE/NAME@ADDRESS:PORT`, separated by commas.
fn machines(text: &str) -> Result<Vec<(ControlServerInfo, SocketAddr)>, String> {
    let parts: Vec<&str> = text.split(',').map(str::trim).collect();
    if parts.len() > MOST_MACHINES {
        return Err(format!("{} machines, {MOST_MACHINES} at most", parts.len()));
    }
    let mut zones = Vec::new();
    let mut rest = Vec::new();
    for part in parts {
        let (zone, place) = part.split_once('/').ok_or(format!("{part:?} is not ZONE/NAME@ADDRESS:PORT"))?;
        zones.push(word(zone, "a zone's name")?);
        rest.push(place);
    }
    let places = places(&rest.join(","))?.into_iter();
    Ok(places
        .zip(zones)
        .map(|(Place { name, address }, zone)| (ControlServerInfo { name, zone }, address))
        .collect())
}

impl Options {
    /// Reads a file's text, or names the first line of it that cannot be used.
    pub fn read(text: &str) -> Result<Options, Fault> {
        // The parser gives up a line or two behind what it could not read.
        let file = Ini::load_from_str_noescape(text).map_err(|e| {
            let line = text.lines().position(|line| !is_ini(line)).unwrap_or(e.line);
            Fault::at(line + 1, "neither a [section] nor a key with its value")
        })?;
        let mut options = Options::default();
        let mut faults = Vec::new();
        let mut seen = Vec::new();
        for (section, values) in &file {
            let section = section.unwrap_or_default();
            if !section.is_empty() && !KEYS.iter().any(|key| key.section == section) {
                let line = line_of(text, section, None, 0);
                faults.push(Fault::at(line, format!("[{section}]: no such section")));
                continue;
            }
            for (name, value) in values.iter() {
                let again = seen.iter().filter(|known| **known == (section, name)).count();
                seen.push((section, name));
                let line = line_of(text, section, Some(name), again);
                if again > 0 {
                    faults.push(Fault::at(line, format!("[{section}] {name}: set twice")));
                } else if let Err(what) = options.set(section, name, value) {
                    faults.push(Fault::at(line, format!("[{section}] {name}: {what}")));
                }
            }
        }
        if let Some(first) = faults.into_iter().min_by_key(|fault| fault.line) {
            return Err(first);
        }
        options.fleet.whole().map_err(|what| Fault::at(line_of(text, "fleet", None, 0), what))?;
        if !options.control.machines.is_empty() {
            options.control.line = line_of(text, "control", None, 0);
            if options.fleet.name.is_none() {
                let what = "[control] machines: [fleet] name is missing, which each connection says first";
                return Err(Fault::at(options.control.line, what));
            }
        }
        Ok(options)
    }

    fn set(&mut self, section: &str, name: &str, value: &str) -> Result<(), String> {
        let key = KEYS.iter().find(|key| key.section == section && key.name == name);
        let (range, set) = match key.ok_or("no such key")?.value {
            Value::Number { range, set } => (range, set),
            Value::Text(set) => return set(self, value.trim()),
        };
        let number: u64 = value.parse().map_err(|_| format!("{value:?} is no whole number"))?;
        let (least, most) = range;
        if number < least || number > most {
            return Err(format!("{number} is out of range ({least} to {most})"));
        }
        set(self, number);
        Ok(())
    }
}

impl FleetOptions {
    /// Whether what belongs together is there.
    fn whole(&self) -> Result<(), String> {
        if self.name.is_none() {
            // Nothing of it counts, and nothing else of the section is asked for.
            return Ok(());
        }
        if self.listen.is_none() {
            return Err("[fleet] listen: missing".into());
        }
        if self.voters.is_empty() {
            return Err("[fleet] voters: missing".into());
        }
        if self.lease_ms < self.probe_ms {
            return Err("[fleet] lease_ms: shorter than probe_ms".into());
        }
        Ok(())
    }

    /// The place among the voters of the gateway with this name, and its file; none for one without a vote.
    ///
    /// # Errors
    /// A voter without a file would have promised nothing after each start.
    pub fn voter(&self, name: &str) -> Result<Option<(usize, &Path)>, String> {
        let Some(place) = self.voters.iter().position(|voter| voter.name == name) else { return Ok(None) };
        let file = self.file.as_deref().ok_or(format!("[fleet] file: missing, and {name} is a voter"))?;
        Ok(Some((place, file)))
    }
}

impl ControlOptions {
    /// A gateway's zone and where it keeps the version in force; none without machines.
    ///
    /// # Errors
    /// A key that is missing.
    pub fn follows(&self) -> Result<Option<(&str, &Path)>, Fault> {
        if self.machines.is_empty() {
            return Ok(None);
        }
        let zone = self.zone.as_deref().ok_or_else(|| self.missing("zone"))?;
        Ok(Some((zone, self.kept()?)))
    }

    /// Where versions are kept.
    ///
    /// # Errors
    /// It is not named.
    pub fn kept(&self) -> Result<&Path, Fault> {
        self.file.as_deref().ok_or_else(|| self.missing("file"))
    }

    /// Whether the control machines take a gateway of this name.
    ///
    /// # Errors
    /// They do not.
    pub fn takes(&self, name: &str) -> Result<(), Fault> {
        let what = match self.machines.is_empty() {
            true => return Ok(()),
            false => word(name, "[control] machines: the gateway's name").map(|_| ()),
        };
        what.map_err(|what| Fault::at(self.line, what))
    }

    fn missing(&self, key: &str) -> Fault {
        Fault::at(self.line, format!("[control] {key}: missing"))
    }
}

/// Whether a line by itself is a comment, a section's head or a key with a value.
fn is_ini(line: &str) -> bool {
    let line = line.trim();
    match line.chars().next() {
        None | Some(';' | '#') => true,
        Some('[') => line.contains(']'),
        Some(_) => line.contains(['=', ':']),
    }
}

/// The line, counted from 1, on which a section starts, or a key of it stands for the `nth` time,
/// counted from 0. The parser gives values without their places.
fn line_of(text: &str, section: &str, key: Option<&str>, nth: usize) -> usize {
    let mut here = "";
    let mut found = 0;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.split(']').next()) {
            here = name.trim();
            if key.is_none() && here == section {
                return index + 1;
            }
        } else if let Some(key) = key.filter(|_| here == section) {
            let name = line.split(['=', ':']).next().unwrap_or_default().trim();
            if name == key {
                if found == nth {
                    return index + 1;
                }
                found += 1;
            }
        }
    }
    0
}
