//! Control servers of a run: the addresses of their processes, proposals of versions, which are sent as the operators'
//! command sends them, and the times at which gateways had these versions in force.

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

/// Timeout for connecting to a control server and for each read of its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// The name, zone and address of a control server.
#[derive(Clone, Debug)]
pub struct ControlServerAddress {
    /// Its name and zone in the settings.
    pub server: ControlServerInfo,
    /// The address on which it listens.
    pub address: SocketAddr,
}

impl ControlServerAddress {
    /// The entry in `[control] machines`.
    pub fn to_setting(&self) -> String {
        format!("{}/{}@{}", self.server.zone, self.server.name, self.address)
    }
}

/// Sends one request to a control server and waits for the answer.
fn call(fleet: &str, at: SocketAddr, message: &Message) -> Result<Message, String> {
    let with_address = |e: io::Error| format!("{at}: {e}");
    let mut socket = TcpStream::connect_timeout(&at, ANSWER_TIMEOUT).map_err(with_address)?;
    socket.set_read_timeout(Some(ANSWER_TIMEOUT)).map_err(with_address)?;
    let hello = Message::Hello(Hello::new(fleet, Identity::Command));
    for message in [&hello, message] {
        socket.write_all(&encode_frame(message)).map_err(with_address)?;
    }
    let mut frames = FrameReader::default();
    let mut bytes = [0; 16 * 1024];
    loop {
        if let Some(message) = frames.next_message().map_err(|bad| format!("{at}: {bad:?}"))? {
            return Ok(message);
        }
        match socket.read(&mut bytes).map_err(with_address)? {
            0 => return Err(format!("{at}: connection closed without an answer")),
            count => frames.push(&bytes[..count]),
        }
    }
}

/// Queries the status of a control server.
///
/// # Errors
/// It does not answer, or not with a status.
pub fn status(fleet: &str, at: SocketAddr) -> Result<ControlServerStatus, String> {
    match call(fleet, at, &Message::QueryStatus)? {
        Message::Status(status) => Ok(status),
        other => Err(format!("{at}: unexpected answer {other:?}")),
    }
}

fn propose(fleet: &str, at: SocketAddr, build_document: Vec<u8>) -> Result<u64, String> {
    match call(fleet, at, &Message::Propose(build_document.into()))? {
        Message::Accepted(version) => Ok(version.number),
        Message::NotAccepted { reason, .. } => Err(reason),
        other => Err(format!("{at}: unexpected answer {other:?}")),
    }
}

/// Builds the document of a version: the shared part of a configuration, with one value that depends on `number`,
/// padded with blanks to at least `length` bytes.
///
/// # Errors
/// The configuration is not valid.
pub fn build_document(configuration: &str, number: u64, length: usize) -> Result<Vec<u8>, String> {
    let mut file: Value = serde_json::from_str(configuration).map_err(|e| e.to_string())?;
    file["settings"]["Permissions"]["MaxRetryAfterMs"] = (1_000.0 + number as f64).into();
    let mut bytes = version::shared_part(&file.to_string())
        .map_err(|fault| fault.in_file("configuration").to_string())?;
    bytes.resize(bytes.len().max(length), b' ');
    Ok(bytes)
}

/// A series of versions to propose, one after the other.
pub struct Proposals {
    /// Name of the fleet.
    pub fleet: &'static str,
    /// The control servers, which receive the proposals in turn.
    pub servers: Vec<SocketAddr>,
    /// Text of the configuration that the versions are derived from.
    pub configuration: String,
    /// Length to which each document is padded, in bytes.
    pub length: usize,
    /// Sequence number of the first proposal among all proposals of the run.
    pub first_sequence: u64,
    /// Number of proposals.
    pub count: usize,
    /// Time from the start of one proposal to the start of the next.
    pub pause: Duration,
    /// Set to cancel the proposals that have not been sent yet.
    pub cancelled: Arc<AtomicBool>,
}

impl Proposals {
    /// Starts a thread that sends the proposals and reports the result of each.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(self, reports: Sender<Report>) -> io::Result<()> {
        let thread = std::thread::Builder::new().name("proposals".into());
        thread.spawn(move || {
            let start = Instant::now();
            for (index, at) in self.servers.iter().cycle().take(self.count).enumerate() {
                let due = start + self.pause * index as u32;
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                if self.cancelled.load(Ordering::Relaxed) {
                    return;
                }
                let sequence = self.first_sequence + index as u64;
                let document = build_document(&self.configuration, sequence, self.length);
                let began = Instant::now();
                let number = document.and_then(|document| propose(self.fleet, *at, document));
                if reports
                    .send(Report::VersionProposed(Proposal {
                        sequence,
                        began,
                        answer_time: began.elapsed(),
                        number,
                    }))
                    .is_err()
                {
                    return;
                }
            }
        })?;
        Ok(())
    }
}

/// A proposed version and its answer.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Sequence number among all proposals of the run.
    pub sequence: u64,
    /// When the proposal was started.
    pub began: Instant,
    /// Time until the answer.
    pub answer_time: Duration,
    /// The number of the accepted version, or the reason why it was not accepted.
    pub number: Result<u64, String>,
}

/// The times at which a version was answered and in force.
#[derive(Clone, Debug)]
pub struct VersionTimes {
    /// The version's number; `None` if it was not accepted.
    pub number: Option<u64>,
    /// Time from the start of its proposal to the answer.
    pub answer_time: Duration,
    /// For each gateway that has it or a newer one in force, the time from the start of the proposal, in ascending
    /// order.
    pub acted: Vec<(usize, Duration)>,
}

/// Tracks which versions gateways have in force, and since when.
#[derive(Debug, Default)]
pub struct VersionTracker {
    /// The version that each gateway reported last, by gateway.
    pub latest: BTreeMap<usize, u64>,
    /// The versions that each gateway has reported since the event began, with the time of the report.
    in_force_since: BTreeMap<usize, Vec<(u64, Instant)>>,
    proposals: Vec<Proposal>,
    /// Sequence number of the event's first proposal.
    first_sequence: u64,
    /// How often a gateway went back to an older version.
    pub regressions: u64,
}

impl VersionTracker {
    /// Starts the records of an event whose first proposal has this sequence number.
    pub fn start_event(&mut self, first_sequence: u64) {
        self.first_sequence = first_sequence;
        self.in_force_since.clear();
        self.proposals.clear();
    }

    /// Records that a gateway has a version in force.
    pub fn record_in_force(&mut self, gateway: usize, number: u64, at: Instant) {
        let before = self.latest.insert(gateway, number);
        self.regressions += u64::from(before.is_some_and(|before| before > number));
        self.in_force_since.entry(gateway).or_default().push((number, at));
    }

    /// Records the answer to a proposal.
    pub fn record_proposal(&mut self, proposal: Proposal) {
        // A late answer to a proposal of an earlier event is ignored.
        if proposal.sequence >= self.first_sequence {
            self.proposals.push(proposal);
        }
    }

    /// The highest accepted version number, once this many proposals have been answered; 0 if none was accepted.
    fn newest_accepted(&self, proposals: usize) -> Option<u64> {
        let newest = self.proposals.iter().filter_map(|proposal| proposal.number.as_ref().ok()).max();
        (self.proposals.len() >= proposals).then(|| newest.copied().unwrap_or(0))
    }

    /// Whether this many proposals have been answered and all awaited gateways have the newest accepted version in
    /// force.
    pub fn is_done(&self, proposals: usize, awaited: &BTreeSet<usize>) -> bool {
        self.newest_accepted(proposals).is_some_and(|number| {
            awaited.iter().all(|gateway| self.latest.get(gateway).is_some_and(|latest| *latest >= number))
        })
    }

    /// The reasons for versions that were not accepted.
    pub fn rejections(&self) -> impl Iterator<Item = &str> {
        self.proposals.iter().filter_map(|proposal| proposal.number.as_ref().err()).map(String::as_str)
    }

    /// The times of each proposed version at the awaited gateways.
    pub fn versions(&self, awaited: &BTreeSet<usize>) -> Vec<VersionTimes> {
        let versions = self.proposals.iter().map(|proposal| {
            let number = proposal.number.as_ref().ok().copied();
            let first_in_force = |gateway: &usize| {
                let first =
                    self.in_force_since.get(gateway)?.iter().find(|(version, _)| Some(*version) >= number)?;
                Some((*gateway, first.1.saturating_duration_since(proposal.began)))
            };
            let mut acted: Vec<(usize, Duration)> = match number {
                Some(_) => awaited.iter().filter_map(first_in_force).collect(),
                None => Vec::new(),
            };
            acted.sort_by_key(|(_, time)| *time);
            VersionTimes { number, answer_time: proposal.answer_time, acted }
        });
        versions.collect()
    }
}

/// Which control server each gateway follows, and since when.
#[derive(Debug, Default)]
pub struct FollowedServers {
    /// By gateway: the index of the control server, `None` if it follows none, and the time of the last change.
    followed: BTreeMap<usize, (Option<usize>, Instant)>,
    /// Control servers that gateways began to follow since the event began, with the time.
    arrivals: Vec<(usize, Instant)>,
}

impl FollowedServers {
    /// Records that a gateway follows another control server from now on, or none.
    pub fn record(&mut self, gateway: usize, server: Option<usize>, at: Instant) {
        self.followed.insert(gateway, (server, at));
        self.arrivals.extend(server.map(|server| (server, at)));
    }

    /// Forgets the arrivals before an event.
    pub fn start_event(&mut self) {
        self.arrivals.clear();
    }

    /// Since when a gateway has followed its present control server, if that one is `wanted`.
    pub fn since(&self, gateway: usize, wanted: impl Fn(usize) -> bool) -> Option<Instant> {
        let (server, at) = self.followed.get(&gateway)?;
        server.filter(|server| wanted(*server)).map(|_| *at)
    }

    /// Number of gateways that follow a control server.
    pub fn followers(&self, server: usize) -> usize {
        self.followed.values().filter(|(followed, _)| *followed == Some(server)).count()
    }

    /// Highest number of gateways that began to follow a control server within one second.
    pub fn max_arrivals_per_second(&self, server: usize) -> usize {
        let mut times: Vec<Instant> =
            self.arrivals.iter().filter(|(followed, _)| *followed == server).map(|(_, at)| *at).collect();
        times.sort();
        let second = Duration::from_secs(1);
        let arrivals_within_second =
            |start: usize| times[start..].iter().take_while(|at| **at < times[start] + second).count();
        (0..times.len()).map(arrivals_within_second).max().unwrap_or(0)
    }
}

/// The control servers of a run, in the order of their indexes.
#[derive(Clone, Debug, Default)]
pub struct ControlServers(pub Arc<Vec<ControlServerAddress>>);

impl ControlServers {
    /// Their names and zones.
    pub fn infos(&self) -> Vec<ControlServerInfo> {
        self.0.iter().map(|server| server.server.clone()).collect()
    }

    /// Their addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.0.iter().map(|server| server.address).collect()
    }

    /// The section `[control]` of a process's settings; empty in a run without control servers.
    pub fn settings(&self, zone: &str, file: &std::path::Path) -> String {
        if self.0.is_empty() {
            return String::new();
        }
        let servers: Vec<String> = self.0.iter().map(ControlServerAddress::to_setting).collect();
        format!("[control]\nmachines = {}\nzone = {zone}\nfile = {}\n", servers.join(", "), file.display())
    }
}
