//! The operators' part: `dunemount fleet config put`, `show` and `status`, each a question or two to the control machines.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use dunemount_rollout::frame::{encode_frame, FrameReader};
use dunemount_rollout::settings::ControlServerInfo;
use dunemount_rollout::version::{Document, Version, MAX_DOCUMENT_BYTES};
use dunemount_rollout::wire::{ControlServerStatus, GatewayStatus, Hello, Identity, Message};
use serde::Serialize;

use super::machine::ACCEPT;
use crate::config::{line_of, version};
use crate::settings_file::{LocalSettings, SettingsFile};
use crate::text_file::{self, AtLine};

/// How long a control machine may take to be reached, and to answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// A gateway tells what is in force each second: one that has said nothing for so long is silent.
const SILENT: u64 = 5_000;

/// Why an operator's wish was not fulfilled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failed {
    /// In words.
    pub why: String,
    /// It may still be fulfilled: `status` tells.
    pub uncertain: bool,
}

impl From<String> for Failed {
    fn from(why: String) -> Failed {
        Failed { why, uncertain: false }
    }
}

/// The control machines that the settings name.
pub struct Tool {
    fleet: String,
    machines: Vec<(ControlServerInfo, SocketAddr)>,
}

/// A connection to a control machine.
struct Talk {
    socket: TcpStream,
    frames: FrameReader,
}

impl Talk {
    fn begin(fleet: &str, address: SocketAddr) -> io::Result<Talk> {
        let socket = TcpStream::connect_timeout(&address, PATIENCE)?;
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(PATIENCE))?;
        let mut talk = Talk { socket, frames: FrameReader::default() };
        talk.say(&Message::Hello(Hello::new(fleet, Identity::Command)))?;
        Ok(talk)
    }

    fn say(&mut self, message: &Message) -> io::Result<()> {
        self.socket.write_all(&encode_frame(message))
    }

    /// The answer, if it comes within this time.
    fn hear(&mut self, within: Duration) -> io::Result<Message> {
        let until = Instant::now() + within;
        let mut bytes = [0; 16 * 1024];
        loop {
            let bad = |bad| io::Error::new(io::ErrorKind::InvalidData, format!("{bad:?}"));
            if let Some(message) = self.frames.next_message().map_err(bad)? {
                return Ok(message);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.socket.set_read_timeout(Some(left))?;
            match self.socket.read(&mut bytes) {
                Ok(0) => {
                    return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "it closed the connection"))
                }
                Ok(count) => self.frames.push(&bytes[..count]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Err(io::ErrorKind::TimedOut.into()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    fn ask(&mut self, question: &Message) -> io::Result<Message> {
        self.say(question)?;
        self.hear(PATIENCE)
    }
}

impl Tool {
    /// The control machines that the settings name.
    ///
    /// # Errors
    /// They name none, or cannot be read.
    pub fn of(settings: Option<&Path>) -> Result<Tool, String> {
        let file = SettingsFile::load(settings).map_err(|error| error.to_string())?;
        let LocalSettings { fleet, control, .. } = file.settings;
        match fleet.name {
            Some(fleet) if !control.machines.is_empty() => Ok(Tool { fleet, machines: control.machines }),
            _ => Err("[control] machines: none are named by --settings or GW_SETTINGS".into()),
        }
    }

    /// Has a file's shared part become the next version: its number and digest.
    ///
    /// # Errors
    /// A fault in the file, or why no version came of it.
    pub fn put(&self, path: &Path) -> Result<String, Failed> {
        let text = text_file::read(path).map_err(|error| error.to_string())?;
        let told = |line, why: String| AtLine::<String>::new(line, why).in_file(path).to_string();
        let document = version::shared_part(&text).map_err(|error| error.in_file(path).to_string())?;
        if document.len() > MAX_DOCUMENT_BYTES {
            let what = format!("{} bytes as a version, {MAX_DOCUMENT_BYTES} at most", document.len());
            return Err(told(0, what).into());
        }
        // One that is known to be awake: a document that waits at one that is stopped could become a version long after
        // the operator has tried again elsewhere. And one that has a majority, if there is any.
        let mut chosen = None;
        let mut silent = Vec::new();
        for (machine, address) in &self.machines {
            match self.status_of(*address) {
                Ok((talk, status)) => {
                    let fresh = status.fresh;
                    if fresh || chosen.is_none() {
                        chosen = Some((talk, &machine.name));
                    }
                    if fresh {
                        break;
                    }
                }
                Err(why) => silent.push(format!("{}: {why}", machine.name)),
            }
        }
        let (mut talk, name) = chosen.ok_or(format!("no control machine answers: {}", silent.join("; ")))?;
        let uncertain = |why: &str| Failed { why: format!("{name}: {why}"), uncertain: true };
        talk.say(&Message::Propose(document.into())).map_err(|e| uncertain(&e.to_string()))?;
        match talk.hear(ACCEPT + PATIENCE) {
            Ok(Message::Accepted(Version { number, digest })) => {
                Ok(format!("version {number}, digest {digest}"))
            }
            Ok(Message::NotAccepted { reason: why, uncertain }) => {
                // What it says of a key is said of the line on which the operator has it.
                let line = line_of(&text, &why);
                let why = if line > 0 { told(line, why) } else { why };
                Err(Failed { why: format!("{name}: {why}"), uncertain })
            }
            Ok(_) => Err(uncertain("an answer without sense")),
            Err(e) => Err(uncertain(&e.to_string())),
        }
    }

    /// The newest version, or the one with this number.
    ///
    /// # Errors
    /// No control machine has it.
    pub fn show(&self, number: Option<u64>) -> Result<Document, String> {
        let mut reasons = Vec::new();
        for (machine, address) in &self.machines {
            let answer = Talk::begin(&self.fleet, *address);
            let why = match answer.and_then(|mut talk| talk.ask(&Message::ShowDocument(number))) {
                Ok(Message::FoundDocument(version, bytes)) => match Document::verify(version, bytes) {
                    Some(document) => return Ok(document),
                    None => "its bytes do not fit their digest".to_string(),
                },
                Ok(Message::DocumentNotFound(why)) => why,
                Ok(_) => "an answer without sense".to_string(),
                Err(e) => e.to_string(),
            };
            reasons.push(format!("{}: {why}", machine.name));
        }
        Err(reasons.join("; "))
    }

    /// What all control machines know, together.
    ///
    /// # Errors
    /// None of them answers.
    pub fn status(&self) -> Result<Report, String> {
        let answers: Vec<Result<ControlServerStatus, String>> = std::thread::scope(|scope| {
            let ask = |address| scope.spawn(move || self.status_of(address).map(|(_, status)| status));
            let asked: Vec<_> = self.machines.iter().map(|(_, address)| ask(*address)).collect();
            let panicked = |_| Err("the question panicked".to_string());
            asked.into_iter().map(|asked| asked.join().unwrap_or_else(panicked)).collect()
        });
        let report = Report::of(&self.machines, answers);
        match report.machines.iter().any(|machine| machine.reached) {
            true => Ok(report),
            false => Err(format!("no control machine answers\n{report}")),
        }
    }

    fn status_of(&self, address: SocketAddr) -> Result<(Talk, ControlServerStatus), String> {
        let asked = Talk::begin(&self.fleet, address).and_then(|mut talk| {
            let answer = talk.ask(&Message::QueryStatus)?;
            Ok((talk, answer))
        });
        match asked {
            Ok((talk, Message::Status(status))) => Ok((talk, status)),
            Ok(_) => Err("an answer without sense".into()),
            Err(e) => Err(e.to_string()),
        }
    }
}

/// A version as it is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Told {
    /// Its number.
    pub version: u64,
    /// The first bytes of its digest, in hexadecimal.
    pub digest: String,
}

impl From<Version> for Told {
    fn from(version: Version) -> Told {
        Told { version: version.number, digest: version.digest.to_string() }
    }
}

/// A control machine as it was found.
#[derive(Clone, Debug, Serialize)]
pub struct Found {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// It has answered.
    pub reached: bool,
    /// Why it has not.
    pub why: Option<String>,
    /// A majority of the voters has told it what the newest version is, not long ago.
    pub fresh: bool,
    /// How long ago, in milliseconds.
    pub looked_ms: Option<u64>,
    /// The newest version that it knows of.
    pub newest: Option<Told>,
    /// It has that one's bytes.
    pub has_document: bool,
    /// Gateways that it has heard.
    pub gateways: usize,
}

/// How a gateway stands with the newest version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stands {
    /// It has it in force.
    InForce,
    /// It has an older one, or none.
    Lags,
    /// It could not take it.
    Refused,
    /// It has not been heard for a while.
    Silent,
}

/// A gateway as it was heard last.
#[derive(Clone, Debug, Serialize)]
pub struct Gateway {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// How it stands.
    pub stands: Stands,
    /// What it has in force.
    pub in_force: Option<Told>,
    /// Why it could not take the newest version.
    pub why: Option<String>,
    /// Since when it has not been heard, in milliseconds.
    pub silent_ms: u64,
}

/// What all control machines know, together.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The newest version that any of them knows of.
    pub newest: Option<Told>,
    /// Each of them.
    pub machines: Vec<Found>,
    /// Gateways that have the newest version in force.
    pub in_force: usize,
    /// The gateways that any of them has heard, by name.
    pub gateways: Vec<Gateway>,
    /// Members of the fleet that none of them has heard.
    pub unheard: Vec<String>,
}

impl Report {
    fn of(
        machines: &[(ControlServerInfo, SocketAddr)],
        answers: Vec<Result<ControlServerStatus, String>>,
    ) -> Report {
        let newest = answers.iter().flatten().filter_map(|status| status.newest).max();
        let mut heard: BTreeMap<&str, &GatewayStatus> = BTreeMap::new();
        for seen in answers.iter().flatten().flat_map(|status| &status.gateways) {
            // Whoever heard it last knows best.
            let known = heard.entry(&seen.name).or_insert(seen);
            if seen.silent_ms < known.silent_ms {
                *known = seen;
            }
        }
        let own = machines.iter().map(|(machine, _)| &machine.name[..]);
        let known: BTreeSet<&str> = heard.keys().copied().chain(own).collect();
        let members = answers.iter().flatten().flat_map(|status| &status.members);
        let unheard: BTreeSet<&String> = members.filter(|name| !known.contains(&name[..])).collect();
        let gateways: Vec<Gateway> = heard.into_values().map(|seen| Gateway::of(seen, newest)).collect();
        let found = |((machine, _), answer): (
            &(ControlServerInfo, SocketAddr),
            &Result<ControlServerStatus, String>,
        )| {
            let status = answer.as_ref().ok();
            Found {
                name: machine.name.clone(),
                zone: machine.zone.clone(),
                reached: status.is_some(),
                why: answer.as_ref().err().cloned(),
                fresh: status.is_some_and(|status| status.fresh),
                looked_ms: status.and_then(|status| status.last_read_ms),
                newest: status.and_then(|status| status.newest).map(Told::from),
                has_document: status.is_some_and(|status| status.has_document),
                gateways: status.map_or(0, |status| status.gateways.len()),
            }
        };
        Report {
            newest: newest.map(Told::from),
            machines: machines.iter().zip(&answers).map(found).collect(),
            in_force: gateways.iter().filter(|gateway| gateway.stands == Stands::InForce).count(),
            unheard: unheard.into_iter().cloned().collect(),
            gateways,
        }
    }
}

impl Gateway {
    fn of(seen: &GatewayStatus, newest: Option<Version>) -> Gateway {
        let refused = seen.rejected.as_ref().filter(|refused| Some(refused.version) == newest);
        let stands = match seen {
            seen if seen.silent_ms > SILENT => Stands::Silent,
            seen if seen.in_force == newest => Stands::InForce,
            _ if refused.is_some() => Stands::Refused,
            _ => Stands::Lags,
        };
        Gateway {
            name: seen.name.clone(),
            zone: seen.zone.clone(),
            stands,
            in_force: seen.in_force.map(Told::from),
            why: refused.map(|refused| refused.reason.clone()),
            silent_ms: seen.silent_ms,
        }
    }
}

fn shown(version: Option<&Told>) -> String {
    version.map_or("none".to_string(), |told| format!("{} ({})", told.version, told.digest))
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "newest version: {}", shown(self.newest.as_ref()))?;
        writeln!(f, "in force at {} of {} gateways heard", self.in_force, self.gateways.len())?;
        writeln!(f, "\n{:<24} {:<16} {:<28} STATE", "CONTROL MACHINE", "ZONE", "NEWEST")?;
        for machine in &self.machines {
            let Found { name, zone, newest, .. } = machine;
            write!(f, "{name:<24} {zone:<16} {:<28} ", shown(newest.as_ref()))?;
            match machine {
                Found { why: Some(why), .. } => writeln!(f, "not reached: {why}")?,
                Found { fresh: false, looked_ms: None, .. } => {
                    writeln!(f, "no majority heard since its start")?
                }
                Found { fresh: false, looked_ms: Some(ago), .. } => {
                    writeln!(f, "no majority heard for {ago} ms")?;
                }
                Found { has_document: false, newest: Some(_), .. } => {
                    writeln!(f, "fresh, without the bytes")?
                }
                Found { .. } => writeln!(f, "fresh")?,
            }
        }
        let behind = self.gateways.iter().filter(|gateway| gateway.stands != Stands::InForce);
        for (index, gateway) in behind.enumerate() {
            if index == 0 {
                writeln!(f, "\n{:<24} {:<16} {:<28} STATE", "GATEWAY", "ZONE", "IN FORCE")?;
            }
            let Gateway { name, zone, in_force, why, silent_ms, .. } = gateway;
            write!(f, "{name:<24} {zone:<16} {:<28} ", shown(in_force.as_ref()))?;
            match gateway.stands {
                Stands::Silent => writeln!(f, "silent for {silent_ms} ms")?,
                Stands::Refused => writeln!(f, "refused: {}", why.as_deref().unwrap_or_default())?,
                Stands::Lags | Stands::InForce => writeln!(f, "lags")?,
            }
        }
        for name in &self.unheard {
            writeln!(f, "{name}: a member of the fleet that no control machine has heard")?;
        }
        Ok(())
    }
}
