//! Control machines as processes of the program, the versions that are put at them as the operators' tool does, and
//! when these were in force.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dunemount::config::version;
use dunemount_rollout::frame::{encode_frame, FrameReader};
use dunemount_rollout::settings::ControlServerInfo;
use dunemount_rollout::wire::{ControlServerStatus, Hello, Identity, Message};
use serde_json::Value;

use super::simulated::Report;

/// How long a control server may take to answer the tool.
const ANSWER: Duration = Duration::from_secs(20);

/// A control server.
#[derive(Clone, Debug)]
pub struct Place {
    /// As the settings name it.
    pub machine: ControlServerInfo,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Place {
    /// As it stands in `[control] machines`.
    pub fn text(&self) -> String {
        format!("{}/{}@{}", self.machine.zone, self.machine.name, self.address)
    }
}

/// Sends one request to a control server and waits for the answer.
fn call(fleet: &str, at: SocketAddr, message: &Message) -> Result<Message, String> {
    let said = |e: io::Error| format!("{at}: {e}");
    let mut socket = TcpStream::connect_timeout(&at, ANSWER).map_err(said)?;
    socket.set_read_timeout(Some(ANSWER)).map_err(said)?;
    let hello = Message::Hello(Hello::new(fleet, Identity::Command));
    for message in [&hello, message] {
        socket.write_all(&encode_frame(message)).map_err(said)?;
    }
    let mut frames = FrameReader::default();
    let mut bytes = [0; 16 * 1024];
    loop {
        if let Some(message) = frames.next_message().map_err(|bad| format!("{at}: {bad:?}"))? {
            return Ok(message);
        }
        match socket.read(&mut bytes).map_err(said)? {
            0 => return Err(format!("{at}: closed without an answer")),
            count => frames.push(&bytes[..count]),
        }
    }
}

/// What a control server knows.
///
/// # Errors
/// It does not answer.
pub fn status(fleet: &str, at: SocketAddr) -> Result<ControlServerStatus, String> {
    match call(fleet, at, &Message::QueryStatus)? {
        Message::Status(status) => Ok(status),
        other => Err(format!("{at}: answers {other:?}")),
    }
}

fn propose(fleet: &str, at: SocketAddr, document: Vec<u8>) -> Result<u64, String> {
    match call(fleet, at, &Message::Propose(document.into()))? {
        Message::Accepted(version) => Ok(version.number),
        Message::NotAccepted { reason, .. } => Err(reason),
        other => Err(format!("{at}: answers {other:?}")),
    }
}

/// What a version says: the shared part of a configuration with one value that is another each time, filled up with
/// blanks to a length.
///
/// # Errors
/// The configuration is none.
pub fn document(configuration: &str, number: u64, length: usize) -> Result<Vec<u8>, String> {
    let mut file: Value = serde_json::from_str(configuration).map_err(|e| e.to_string())?;
    file["settings"]["Permissions"]["MaxRetryAfterMs"] = (1_000.0 + number as f64).into();
    let mut bytes = version::shared_part(&file.to_string())
        .map_err(|fault| fault.in_file("configuration").to_string())?;
    bytes.resize(bytes.len().max(length), b' ');
    Ok(bytes)
}

/// Versions that are to be proposed, one after the other.
pub struct Proposals {
    /// The fleet.
    pub fleet: &'static str,
    /// The control servers; each takes one after the other.
    pub machines: Vec<SocketAddr>,
    /// What versions are of.
    pub configuration: String,
    /// Length of a document.
    pub length: usize,
    /// Number of the first one among all that this run proposes.
    pub first: u64,
    /// How many.
    pub count: usize,
    /// Time from the start of one proposal to the start of the next.
    pub pause: Duration,
    /// No more are to be proposed.
    pub over: Arc<AtomicBool>,
}

impl Proposals {
    /// Proposes them from a thread of its own, which reports when each has been accepted, or why not.
    ///
    /// # Errors
    /// The system gives no thread.
    pub fn begin(self, reports: Sender<Report>) -> io::Result<()> {
        let thread = std::thread::Builder::new().name("proposals".into());
        thread.spawn(move || {
            let start = Instant::now();
            for (place, at) in self.machines.iter().cycle().take(self.count).enumerate() {
                let due = start + self.pause * place as u32;
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                if self.over.load(Ordering::Relaxed) {
                    return;
                }
                let own = self.first + place as u64;
                let document = document(&self.configuration, own, self.length);
                let began = Instant::now();
                let number = document.and_then(|document| propose(self.fleet, *at, document));
                if reports
                    .send(Report::VersionProposed(Proposal { own, began, took: began.elapsed(), number }))
                    .is_err()
                {
                    return;
                }
            }
        })?;
        Ok(())
    }
}

/// A version that was proposed.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Its number among all that this run proposes.
    pub own: u64,
    /// When its proposal began.
    pub began: Instant,
    /// How long until the answer.
    pub took: Duration,
    /// Its number, or why it has none.
    pub number: Result<u64, String>,
}

/// When a version was in force.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Its number; none if it was not accepted.
    pub number: Option<u64>,
    /// From the start of its proposal to the answer.
    pub put: Duration,
    /// From the start of its proposal until a gateway had it or a newer one, for each that has, in order.
    pub acted: Vec<(usize, Duration)>,
}

/// What gateways have in force, and since when.
#[derive(Debug, Default)]
pub struct VersionTracker {
    /// The newest number of each.
    pub newest: BTreeMap<usize, u64>,
    /// Each number of each gateway since the event began.
    taken: BTreeMap<usize, Vec<(u64, Instant)>>,
    proposals: Vec<Proposal>,
    /// The first proposal of the event.
    first: u64,
    /// How often a gateway went back to an older version.
    pub fallen: u64,
}

impl VersionTracker {
    /// An event begins, with this proposal.
    pub fn begin(&mut self, first: u64) {
        self.first = first;
        self.taken.clear();
        self.proposals.clear();
    }

    /// A gateway has a version in force.
    pub fn in_force(&mut self, gateway: usize, number: u64, at: Instant) {
        let before = self.newest.insert(gateway, number);
        self.fallen += u64::from(before.is_some_and(|before| before > number));
        self.taken.entry(gateway).or_default().push((number, at));
    }

    /// A version was accepted, or not.
    pub fn proposed(&mut self, proposal: Proposal) {
        // One of an event that is over counts no more.
        if proposal.own >= self.first {
            self.proposals.push(proposal);
        }
    }

    /// The newest number that was accepted, once all of so many proposals have been answered.
    fn answered(&self, proposals: usize) -> Option<u64> {
        let newest = self.proposals.iter().filter_map(|proposal| proposal.number.as_ref().ok()).max();
        (self.proposals.len() >= proposals).then(|| newest.copied().unwrap_or(0))
    }

    /// Whether so many proposals have been answered, and these gateways have the newest in force.
    pub fn is_done(&self, proposals: usize, waited: &BTreeSet<usize>) -> bool {
        self.answered(proposals).is_some_and(|number| {
            waited.iter().all(|gateway| self.newest.get(gateway).is_some_and(|newest| *newest >= number))
        })
    }

    /// Why versions were not accepted.
    pub fn rejections(&self) -> impl Iterator<Item = &str> {
        self.proposals.iter().filter_map(|proposal| proposal.number.as_ref().err()).map(String::as_str)
    }

    /// Each version's times at these gateways.
    pub fn versions(&self, waited: &BTreeSet<usize>) -> Vec<InForce> {
        let versions = self.proposals.iter().map(|proposal| {
            let number = proposal.number.as_ref().ok().copied();
            let first = |gateway: &usize| {
                let taken = self.taken.get(gateway)?.iter().find(|(taken, _)| Some(*taken) >= number)?;
                Some((*gateway, taken.1.saturating_duration_since(proposal.began)))
            };
            let mut acted: Vec<(usize, Duration)> = match number {
                Some(_) => waited.iter().filter_map(first).collect(),
                None => Vec::new(),
            };
            acted.sort_by_key(|(_, time)| *time);
            InForce { number, put: proposal.took, acted }
        });
        versions.collect()
    }
}

/// Which control server each gateway follows, and since when.
#[derive(Debug, Default)]
pub struct Followed {
    followed: BTreeMap<usize, (Option<usize>, Instant)>,
    /// Connections that came up, by machine.
    arrivals: Vec<(usize, Instant)>,
}

impl Followed {
    /// A gateway follows this one now, or none.
    pub fn record(&mut self, gateway: usize, server: Option<usize>, at: Instant) {
        self.followed.insert(gateway, (server, at));
        self.arrivals.extend(server.map(|server| (server, at)));
    }

    /// Forgets who came when: an event begins.
    pub fn begin(&mut self) {
        self.arrivals.clear();
    }

    /// Since when a gateway follows one of these; nothing if it does not.
    pub fn since(&self, gateway: usize, wanted: impl Fn(usize) -> bool) -> Option<Instant> {
        let (machine, at) = self.followed.get(&gateway)?;
        machine.filter(|machine| wanted(*machine)).map(|_| *at)
    }

    /// How many gateways follow a control server.
    pub fn followers(&self, machine: usize) -> usize {
        self.followed.values().filter(|(heard, _)| *heard == Some(machine)).count()
    }

    /// Most gateways that began to follow a control server within one second.
    pub fn most_in_a_second(&self, machine: usize) -> usize {
        let mut times: Vec<Instant> =
            self.arrivals.iter().filter(|(at, _)| *at == machine).map(|(_, at)| *at).collect();
        times.sort();
        let second = Duration::from_secs(1);
        let behind =
            |place: usize| times[place..].iter().take_while(|at| **at < times[place] + second).count();
        (0..times.len()).map(behind).max().unwrap_or(0)
    }
}

/// What all gateways of a run are told of the control servers.
#[derive(Clone, Debug, Default)]
pub struct Machines(pub Arc<Vec<Place>>);

impl Machines {
    /// As gateways have them.
    pub fn machines(&self) -> Vec<ControlServerInfo> {
        self.0.iter().map(|place| place.machine.clone()).collect()
    }

    /// Where they listen.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.0.iter().map(|place| place.address).collect()
    }

    /// `[control]` as processes of the program read it; nothing without machines.
    pub fn settings(&self, zone: &str, file: &std::path::Path) -> String {
        if self.0.is_empty() {
            return String::new();
        }
        let machines: Vec<String> = self.0.iter().map(Place::text).collect();
        format!("[control]\nmachines = {}\nzone = {zone}\nfile = {}\n", machines.join(", "), file.display())
    }
}
