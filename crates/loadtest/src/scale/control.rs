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
use dunemount_rollout::follower::Machine;
use dunemount_rollout::wire::{frame, Hello, Inbox, Message, Status, Who, FORM};
use serde_json::Value;

use super::hollow::Word;

/// How long a control machine may take to answer the tool.
const ANSWER: Duration = Duration::from_secs(20);

/// A control machine.
#[derive(Clone, Debug)]
pub struct Place {
    /// As the settings name it.
    pub machine: Machine,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Place {
    /// As it stands in `[control] machines`.
    pub fn text(&self) -> String {
        format!("{}/{}@{}", self.machine.zone, self.machine.name, self.address)
    }
}

/// Says one thing to a control machine and hears the answer.
fn ask(fleet: &str, at: SocketAddr, message: &Message) -> Result<Message, String> {
    let said = |e: io::Error| format!("{at}: {e}");
    let mut socket = TcpStream::connect_timeout(&at, ANSWER).map_err(said)?;
    socket.set_read_timeout(Some(ANSWER)).map_err(said)?;
    let hello = Message::Hello(Hello { form: FORM, fleet: fleet.to_string(), who: Who::Tool });
    for message in [&hello, message] {
        socket.write_all(&frame(message)).map_err(said)?;
    }
    let mut inbox = Inbox::default();
    let mut bytes = [0; 16 * 1024];
    loop {
        if let Some(message) = inbox.next().map_err(|bad| format!("{at}: {bad:?}"))? {
            return Ok(message);
        }
        match socket.read(&mut bytes).map_err(said)? {
            0 => return Err(format!("{at}: closed without an answer")),
            count => inbox.push(&bytes[..count]),
        }
    }
}

/// What a control machine knows.
///
/// # Errors
/// It does not answer.
pub fn status(fleet: &str, at: SocketAddr) -> Result<Status, String> {
    match ask(fleet, at, &Message::Ask)? {
        Message::Status(status) => Ok(status),
        other => Err(format!("{at}: answers {other:?}")),
    }
}

fn put(fleet: &str, at: SocketAddr, document: Vec<u8>) -> Result<u64, String> {
    match ask(fleet, at, &Message::Put(document.into()))? {
        Message::Accepted(version) => Ok(version.number),
        Message::NotAccepted { why, .. } => Err(why),
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

/// Versions that are to be put, one after the other.
pub struct Puts {
    /// The fleet.
    pub fleet: &'static str,
    /// The control machines; each takes one after the other.
    pub machines: Vec<SocketAddr>,
    /// What versions are of.
    pub configuration: String,
    /// Length of a document.
    pub length: usize,
    /// Number of the first one among all that this run puts.
    pub first: u64,
    /// How many.
    pub count: usize,
    /// Time from one put's beginning to the next one's.
    pub pause: Duration,
    /// No more are to be put.
    pub over: Arc<AtomicBool>,
}

impl Puts {
    /// Puts them from a thread of its own, which says when each has been accepted, or why not.
    ///
    /// # Errors
    /// The system gives no thread.
    pub fn begin(self, words: Sender<Word>) -> io::Result<()> {
        let thread = std::thread::Builder::new().name("puts".into());
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
                let number = document.and_then(|document| put(self.fleet, *at, document));
                if words.send(Word::Put(Put { own, began, took: began.elapsed(), number })).is_err() {
                    return;
                }
            }
        })?;
        Ok(())
    }
}

/// A version that was put.
#[derive(Clone, Debug)]
pub struct Put {
    /// Its number among all that this run puts.
    pub own: u64,
    /// When its put began.
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
    /// From its put's beginning to the answer.
    pub put: Duration,
    /// From its put's beginning until a gateway had it or a newer one, for each that has, in order.
    pub acted: Vec<(usize, Duration)>,
}

/// What gateways have in force, and since when.
#[derive(Debug, Default)]
pub struct Progress {
    /// The newest number of each.
    pub newest: BTreeMap<usize, u64>,
    /// Each number of each gateway since the event began.
    taken: BTreeMap<usize, Vec<(u64, Instant)>>,
    puts: Vec<Put>,
    /// The first put of the event.
    first: u64,
    /// How often a gateway went back to an older version.
    pub fallen: u64,
}

impl Progress {
    /// An event begins, with this put.
    pub fn begin(&mut self, first: u64) {
        self.first = first;
        self.taken.clear();
        self.puts.clear();
    }

    /// A gateway has a version in force.
    pub fn took(&mut self, gateway: usize, number: u64, at: Instant) {
        let before = self.newest.insert(gateway, number);
        self.fallen += u64::from(before.is_some_and(|before| before > number));
        self.taken.entry(gateway).or_default().push((number, at));
    }

    /// A version was accepted, or not.
    pub fn put(&mut self, put: Put) {
        // One of an event that is over counts no more.
        if put.own >= self.first {
            self.puts.push(put);
        }
    }

    /// The newest number that was accepted, once all of so many puts have been answered.
    fn answered(&self, puts: usize) -> Option<u64> {
        let newest = self.puts.iter().filter_map(|put| put.number.as_ref().ok()).max();
        (self.puts.len() >= puts).then(|| newest.copied().unwrap_or(0))
    }

    /// Whether so many puts have been answered, and these gateways have the newest in force.
    pub fn is_done(&self, puts: usize, waited: &BTreeSet<usize>) -> bool {
        self.answered(puts).is_some_and(|number| {
            waited.iter().all(|gateway| self.newest.get(gateway).is_some_and(|newest| *newest >= number))
        })
    }

    /// Why versions were not accepted.
    pub fn refusals(&self) -> impl Iterator<Item = &str> {
        self.puts.iter().filter_map(|put| put.number.as_ref().err()).map(String::as_str)
    }

    /// Each version's times at these gateways.
    pub fn versions(&self, waited: &BTreeSet<usize>) -> Vec<InForce> {
        let versions = self.puts.iter().map(|put| {
            let number = put.number.as_ref().ok().copied();
            let first = |gateway: &usize| {
                let taken = self.taken.get(gateway)?.iter().find(|(taken, _)| Some(*taken) >= number)?;
                Some((*gateway, taken.1.saturating_duration_since(put.began)))
            };
            let mut acted: Vec<(usize, Duration)> = match number {
                Some(_) => waited.iter().filter_map(first).collect(),
                None => Vec::new(),
            };
            acted.sort_by_key(|(_, time)| *time);
            InForce { number, put: put.took, acted }
        });
        versions.collect()
    }
}

/// Which control machine each gateway hears, and since when.
#[derive(Debug, Default)]
pub struct Heard {
    hears: BTreeMap<usize, (Option<usize>, Instant)>,
    /// Connections that came up, by machine.
    arrivals: Vec<(usize, Instant)>,
}

impl Heard {
    /// A gateway hears this one now, or none.
    pub fn note(&mut self, gateway: usize, machine: Option<usize>, at: Instant) {
        self.hears.insert(gateway, (machine, at));
        self.arrivals.extend(machine.map(|machine| (machine, at)));
    }

    /// Forgets who came when: an event begins.
    pub fn begin(&mut self) {
        self.arrivals.clear();
    }

    /// Since when a gateway hears one of these; nothing if it does not.
    pub fn since(&self, gateway: usize, wanted: impl Fn(usize) -> bool) -> Option<Instant> {
        let (machine, at) = self.hears.get(&gateway)?;
        machine.filter(|machine| wanted(*machine)).map(|_| *at)
    }

    /// How many gateways hear a machine.
    pub fn hearing(&self, machine: usize) -> usize {
        self.hears.values().filter(|(heard, _)| *heard == Some(machine)).count()
    }

    /// Most gateways that began to hear a machine within one second.
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

/// What all gateways of a run are told of the control machines.
#[derive(Clone, Debug, Default)]
pub struct Machines(pub Arc<Vec<Place>>);

impl Machines {
    /// As gateways have them.
    pub fn machines(&self) -> Vec<Machine> {
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
