//! A control machine's part: it accepts documents, has them numbered by the register, keeps the newest with the one before,
//! gives them to its gateways, and knows what each of these has in force. It says nothing of a version before the register
//! has told it, however late it wakes up.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::follower::{Link, Machine, Pace};
use crate::version::{seal, unseal, Digest, Document, Ledger, Version, LONGEST_DOCUMENT, NAMED};
use crate::wire::*;

/// The register's name.
pub const REGISTER: &str = "config/version";

/// First bytes of the file of what a control machine keeps: what it is, and the version of its form.
const MAGIC: &[u8; 8] = b"DMKEEP\x00\x01";
/// Versions that are kept: the newest, and one before it.
const VERSIONS: usize = 2;
/// Documents without a number that are kept at most: those of changes under way, one a machine, and those of changes that
/// were given up and may still be chosen.
pub const WAITING: usize = 16;
/// Most connections of others: gateways, control machines, the operators' tool, and those that have not said who they are.
const MOST_LINKS: usize = MOST_GATEWAYS + 64;
/// Longest message of a gateway, and of whoever has not said who it is.
const LONGEST_SMALL: usize = 1_024;
/// Most connections of the operators' tool: each may send a whole document.
const MOST_TOOLS: usize = 8;
/// Documents that wait until the one before them has been accepted or not; one more is refused.
const MOST_PUTS: usize = 4;
/// The longest of the first pauses before something is tried again; each is twice as long as the one before.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause before a change of the register, or a store, is tried again.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// What a control machine is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// Its own name, one of `machines`.
    pub name: String,
    /// All control machines, in the settings' order.
    pub machines: Vec<Machine>,
    /// As the gateways have it.
    pub pace: Pace,
    /// Between two looks at the register.
    pub look: Duration,
    /// A look that began longer ago does not count any more.
    pub fresh: Duration,
    /// How long an operator waits for a version's acceptance at most.
    pub accept: Duration,
    /// For random numbers.
    pub seed: u64,
}

/// Where documents are judged and kept.
pub trait Desk {
    /// Checks a document whole, as `dunemount check` does, and against the version before it.
    ///
    /// # Errors
    /// The first fault, with its place.
    fn check(&mut self, document: &[u8], before: Option<&Document>) -> Result<(), String>;

    /// Puts versions and documents without a number in place, whole, so that they stay; false if that is not certain.
    /// What was kept before and is not named here may go.
    fn store(&mut self, kept: &Keeping) -> bool;
}

/// What a control machine keeps on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Keeping {
    /// The newest version and the one before, newest last.
    pub versions: Vec<Document>,
    /// Documents that may have got a number, oldest first; [`WAITING`] at most.
    pub waiting: Vec<(Digest, Arc<[u8]>)>,
}

/// What is inside the file of a [`Keeping`].
#[derive(Serialize, Deserialize)]
struct Inside {
    versions: Vec<(Version, Arc<[u8]>)>,
    waiting: Vec<Arc<[u8]>>,
}

impl Keeping {
    /// As it is kept on a disk.
    pub fn file(&self) -> Vec<u8> {
        let versions = self.versions.iter().map(|kept| (kept.version(), kept.bytes().clone())).collect();
        let waiting = self.waiting.iter().map(|(_, bytes)| bytes.clone()).collect();
        seal(MAGIC, &Inside { versions, waiting })
    }

    /// Reads [`Keeping::file`].
    ///
    /// # Errors
    /// Why the bytes are no such file, in words for the operator.
    pub fn read(file: &[u8]) -> Result<Keeping, String> {
        let Inside { versions, waiting } = unseal(MAGIC, file)?;
        let versions: Option<Vec<_>> =
            versions.into_iter().map(|(version, bytes)| Document::of(version, bytes)).collect();
        let versions = versions.ok_or("a document does not fit its version")?;
        let rises = versions.windows(2).all(|pair| pair[0].version().number < pair[1].version().number);
        let long = waiting.iter().any(|bytes| bytes.len() > LONGEST_DOCUMENT);
        if !rises || long || versions.len() > VERSIONS || waiting.len() > WAITING {
            return Err("more than is ever kept, or in another order".to_string());
        }
        let waiting = waiting.into_iter().map(|bytes| (Digest::of(&bytes), bytes)).collect();
        Ok(Keeping { versions, waiting })
    }

    /// The newest version that is kept.
    fn newest(&self) -> Option<&Document> {
        self.versions.last()
    }

    /// The bytes that have a digest.
    fn find(&self, digest: Digest) -> Option<&Arc<[u8]>> {
        let versions = self.versions.iter().map(|kept| (kept.version().digest, kept.bytes()));
        let mut all = versions.chain(self.waiting.iter().map(|(digest, bytes)| (*digest, bytes)));
        all.find(|(known, _)| *known == digest).map(|(_, bytes)| bytes)
    }

    /// With a document that may get a number. If there are too many, the oldest that has one by now goes, else the oldest.
    fn with_waiting(&self, digest: Digest, bytes: Arc<[u8]>, numbered: &VecDeque<Digest>) -> Keeping {
        let mut next = self.clone();
        next.waiting.retain(|(known, _)| *known != digest);
        while next.waiting.len() >= WAITING {
            let spent = next.waiting.iter().position(|(known, _)| numbered.contains(known));
            next.waiting.remove(spent.unwrap_or_default());
        }
        next.waiting.push((digest, bytes));
        next
    }

    /// With the newest version, which waits no longer.
    fn with_version(&self, document: Document) -> Keeping {
        let mut next = self.clone();
        next.waiting.retain(|(known, _)| *known != document.version().digest);
        next.versions.push(document);
        let old = next.versions.len().saturating_sub(VERSIONS);
        next.versions.drain(..old);
        next
    }
}

/// What the register says to [`Out::Look`] and [`Out::Change`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// A majority has told that it holds this, and that it was chosen; the look began at that time.
    Holds(Option<Vec<u8>>, Duration),
    /// A majority has promised: it holds this, and waits for [`Out::Propose`] or [`Out::Withdraw`].
    Promised(Option<Vec<u8>>),
    /// It holds what was proposed.
    Chosen(Vec<u8>),
    /// Somebody else came between, or no majority answered in time. `proposed`: what was proposed may still be chosen.
    Failed {
        /// Whether something had been proposed.
        proposed: bool,
        /// No majority answered.
        no_majority: bool,
    },
}

/// What its driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    /// Connects to the control machine in this place of the settings, under this number; then [`Control::opened`] or
    /// [`Control::closed`].
    Connect(Link, usize),
    /// Sends bytes.
    Send(Link, Arc<[u8]>),
    /// Sends what was said before, then closes; nothing more is said of it.
    Close(Link),
    /// Looks what the register holds; then [`Told::Holds`] or [`Told::Failed`].
    Look,
    /// Begins to change the register; then [`Told::Promised`] or [`Told::Failed`].
    Change,
    /// Proposes a value; then [`Told::Chosen`] or [`Told::Failed`].
    Propose(Vec<u8>),
    /// Proposes nothing after all; the register is free for others, and nothing more is told.
    Withdraw,
    /// A line for the log.
    Note(String),
}

/// Who is at the other end of a connection.
enum End {
    /// It has not said so.
    Unknown,
    Gateway(Subscriber),
    /// A control machine that has connected, by its place: it asks, and is answered.
    Asker(usize),
    /// A control machine that this one has connected to, by its place: it is asked, and answers.
    Asked(usize),
    /// The operators' tool.
    Tool,
}

/// A gateway, as one connection tells of it.
struct Subscriber {
    name: String,
    /// What it has in force, and the version that it could not take; none before it has said so.
    told: Option<(Option<Version>, Option<Version>)>,
    /// What it was sent last, and when.
    sent: Option<(Version, Duration)>,
}

struct Peer {
    end: End,
    /// Its connection is up.
    up: bool,
    /// When it was begun, and when the other end was heard last.
    since: Duration,
    heard: Duration,
    inbox: Inbox,
}

/// The connection to another control machine.
struct Route {
    machine: usize,
    link: Option<Link>,
    /// When it is tried again, and how often it was in vain.
    at: Duration,
    fails: u32,
}

/// What is known of a gateway, whether it is connected or not.
struct Known {
    zone: String,
    in_force: Option<Version>,
    refused: Option<Refusal>,
    heard: Duration,
}

/// What is asked of the register.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Asking {
    Nothing,
    Look,
    Change,
    /// Something was proposed at that time.
    Propose(Duration),
}

/// A document that an operator wants to be the next version.
struct Put {
    link: Link,
    bytes: Arc<[u8]>,
    digest: Digest,
    /// The number drawn for it, by which it is found in a ledger.
    proposal: u64,
    since: Duration,
    stage: Stage,
    /// The version that it was checked against.
    before: Option<Version>,
    /// It is on the disks that it has to be on.
    kept: bool,
    /// It was proposed at some time, so that it may become a version by itself: behind this number, none being 0.
    proposed: Option<u64>,
    /// When the register's change is tried again, and how often it failed.
    again: Duration,
    fails: u32,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// To be checked against the newest version; whether a look has to tell it anew first.
    Judge(bool),
    /// Other machines are asked to keep it.
    Spread,
    /// The register is asked.
    Number,
}

/// The newest version's bytes are asked of other machines in turn.
struct Want {
    version: Version,
    /// The route asked next, and how many were asked.
    next: usize,
    asked: usize,
    at: Duration,
}

/// A control machine's part.
pub struct Control {
    settings: Settings,
    /// Its own place.
    me: Option<usize>,
    dice: Pcg64Mcg,
    out: VecDeque<Out>,
    links: Link,
    peers: BTreeMap<Link, Peer>,
    routes: Vec<Route>,
    /// What is on the disk, and nothing else.
    kept: Keeping,
    /// When a store that failed is tried again.
    store_at: Duration,
    /// The newest version, and since when it is known.
    newest: Option<(Version, Duration)>,
    /// All gateways are to be looked at, whether they lack the newest version.
    offers: bool,
    /// The newest version's frame, once for all gateways.
    framed: Option<(Version, Arc<[u8]>)>,
    /// When the last look began that told.
    looked: Option<Duration>,
    asking: Asking,
    look_at: Duration,
    alive_at: Duration,
    /// The last answer of the register was that no majority answered.
    no_majority: bool,
    /// What is wrong with the register's value: nothing is given out or accepted meanwhile.
    fault: Option<String>,
    want: Option<Want>,
    /// Digests that have got a number, the last ones.
    numbered: VecDeque<Digest>,
    put: Option<Put>,
    puts: VecDeque<Put>,
    gateways: BTreeMap<String, Known>,
    members: Vec<String>,
}

impl Control {
    /// A control machine with what its disk keeps.
    pub fn new(settings: Settings, kept: Keeping, now: Duration) -> Control {
        let me = settings.machines.iter().position(|machine| machine.name == settings.name);
        let others = (0..settings.machines.len()).filter(|index| Some(*index) != me);
        let routes = others.map(|machine| Route { machine, link: None, at: now, fails: 0 }).collect();
        Control {
            me,
            dice: Pcg64Mcg::seed_from_u64(settings.seed),
            out: VecDeque::new(),
            links: 0,
            peers: BTreeMap::new(),
            routes,
            newest: kept.newest().map(|newest| (newest.version(), now)),
            kept,
            store_at: now,
            offers: false,
            framed: None,
            looked: None,
            asking: Asking::Nothing,
            look_at: now,
            alive_at: now,
            no_majority: false,
            fault: None,
            want: None,
            numbered: VecDeque::new(),
            put: None,
            puts: VecDeque::new(),
            gateways: BTreeMap::new(),
            members: Vec::new(),
            settings,
        }
    }

    /// What it was told at its start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Who is a member of the fleet, for [`Message::Status`]: the first [`MOST_GATEWAYS`] count.
    pub fn members(&mut self, names: impl IntoIterator<Item = String>) {
        self.members = names.into_iter().take(MOST_GATEWAYS).map(|name| cut(name, LONGEST_NAME)).collect();
    }

    /// Somebody has connected: the connection's number. At most [`crate::wire::MOST_GATEWAYS`] and some are let in; none
    /// says to close it unheard.
    pub fn accepted(&mut self, now: Duration) -> Option<Link> {
        let others = self.peers.values().filter(|peer| !matches!(peer.end, End::Asked(_)));
        (others.count() < MOST_LINKS).then(|| self.begin(now, End::Unknown, true))
    }

    /// A connection of its own is up.
    pub fn opened(&mut self, now: Duration, link: Link) {
        let Some(peer) = self.peers.get_mut(&link).filter(|peer| !peer.up) else { return };
        (peer.up, peer.heard) = (true, now);
        let who = Who::Control { name: self.settings.name.clone() };
        self.say(link, &Message::Hello(Hello { form: FORM, fleet: self.settings.fleet.clone(), who }));
        if let Some(put) = self.put.as_ref().filter(|put| put.stage == Stage::Spread) {
            let keep = Message::Keep(put.bytes.clone());
            self.say(link, &keep);
        }
    }

    /// A connection could not be made, or has ended.
    pub fn closed(&mut self, now: Duration, link: Link) {
        self.peers.remove(&link);
        let pause = self.settings.pace.pause;
        if let Some(route) = self.routes.iter_mut().find(|route| route.link == Some(link)) {
            route.link = None;
            route.at = now + backoff(&mut self.dice, route.fails, pause);
            route.fails = route.fails.saturating_add(1);
        }
    }

    /// Bytes have come.
    pub fn received(&mut self, now: Duration, link: Link, bytes: &[u8], desk: &mut impl Desk) {
        let Some(peer) = self.peers.get_mut(&link).filter(|peer| peer.up) else { return };
        peer.heard = now;
        peer.inbox.push(bytes);
        // A message may end the connection.
        while let Some(peer) = self.peers.get_mut(&link) {
            let sensible = match peer.inbox.next() {
                Ok(Some(message)) => self.heed(now, link, message, desk),
                Ok(None) => break,
                Err(_) => false,
            };
            if !sensible {
                self.close(now, link);
            }
        }
        self.go_on(now, desk);
    }

    /// The register has told.
    pub fn told(&mut self, now: Duration, told: Told, desk: &mut impl Desk) {
        match told {
            Told::Holds(value, began) => {
                self.no_majority = false;
                if self.asking == Asking::Look {
                    self.asking = Asking::Nothing;
                }
                self.look_at = now + self.settings.look.mul_f64(0.9 + 0.1 * part(&mut self.dice));
                self.learn(now, value.as_deref(), began);
                if let Some(put) = self.put.as_mut().filter(|put| put.stage == Stage::Judge(true)) {
                    put.stage = Stage::Judge(false);
                }
            }
            Told::Promised(value) => {
                let asked = self.asking == Asking::Change;
                self.asking = Asking::Nothing;
                let proposal = if asked { self.decide(now, value.as_deref()) } else { None };
                match proposal {
                    Some(value) => {
                        self.asking = Asking::Propose(now);
                        self.out.push_back(Out::Propose(value));
                    }
                    None => self.out.push_back(Out::Withdraw),
                }
            }
            Told::Chosen(value) => {
                self.no_majority = false;
                if let Asking::Propose(began) = std::mem::replace(&mut self.asking, Asking::Nothing) {
                    self.look_at = now + self.settings.look;
                    self.learn(now, Some(&value), began);
                    self.numbered(&value, desk, now);
                }
            }
            Told::Failed { no_majority, .. } => {
                self.no_majority = no_majority;
                if std::mem::replace(&mut self.asking, Asking::Nothing) == Asking::Look {
                    self.look_at = now + self.settings.look.mul_f64(0.25 + 0.25 * part(&mut self.dice));
                } else if let Some(put) = &mut self.put {
                    put.again = now + backoff(&mut self.dice, put.fails, LONGEST_PAUSE);
                    put.fails = put.fails.saturating_add(1);
                }
            }
        }
        self.go_on(now, desk);
    }

    /// Lets time act.
    pub fn tick(&mut self, now: Duration) {
        self.expire(now);
        if now >= self.alive_at {
            self.alive_at = now + self.settings.pace.alive;
            self.sweep(now);
            let alive = frame(&Message::Alive { fresh: self.is_fresh(now), newest: self.known() });
            let up = |peer: &&Peer| peer.up && !matches!(peer.end, End::Unknown | End::Tool);
            let links: Vec<Link> =
                self.peers.iter().filter(|(_, peer)| up(peer)).map(|(link, _)| *link).collect();
            self.out.extend(links.into_iter().map(|link| Out::Send(link, alive.clone())));
        }
        for index in 0..self.routes.len() {
            let route = &self.routes[index];
            if route.link.is_none() && now >= route.at {
                let machine = route.machine;
                let link = self.begin(now, End::Asked(machine), false);
                self.routes[index].link = Some(link);
                self.out.push_back(Out::Connect(link, machine));
            }
        }
        if self.asking == Asking::Nothing && now >= self.look_at {
            self.asking = Asking::Look;
            self.out.push_back(Out::Look);
        }
        if self.want.as_ref().is_some_and(|want| now >= want.at) {
            self.ask(now);
        }
        self.press(now);
    }

    /// When [`Control::tick`] has something to do next.
    pub fn due(&self) -> Duration {
        let routes = self.routes.iter().filter(|route| route.link.is_none()).map(|route| route.at);
        let look = (self.asking == Asking::Nothing).then_some(self.look_at);
        let want = self.want.as_ref().map(|want| want.at);
        let puts = self.put.iter().chain(&self.puts).map(|put| put.since + self.settings.accept);
        let free = matches!(self.asking, Asking::Nothing | Asking::Look);
        let again = self.put.iter().filter(|put| free && put.stage == Stage::Number).map(|put| put.again);
        routes.chain(look).chain(want).chain(puts).chain(again).fold(self.alive_at, Duration::min)
    }

    /// What is to be done next.
    #[allow(clippy::should_implement_trait)] // It may have more later.
    pub fn next(&mut self) -> Option<Out> {
        self.out.pop_front()
    }

    /// What it knows.
    pub fn status(&self, now: Duration) -> Status {
        let millis = |since: Duration| now.saturating_sub(since).as_millis() as u64;
        let zone = self.me.map(|me| self.settings.machines[me].zone.clone()).unwrap_or_default();
        let there = |peer: &Peer| match peer.end {
            End::Asked(machine) if peer.up => Some(self.settings.machines[machine].name.clone()),
            _ => None,
        };
        let seen = |(name, known): (&String, &Known)| Seen {
            name: name.clone(),
            zone: known.zone.clone(),
            in_force: known.in_force,
            refused: known.refused.clone(),
            silent_ms: millis(known.heard),
        };
        Status {
            name: self.settings.name.clone(),
            zone,
            newest: self.known(),
            has_document: self.known().is_some() && self.held().is_some(),
            fresh: self.is_fresh(now),
            looked_ms: self.looked.map(millis),
            peers: self.peers.values().filter_map(there).collect(),
            gateways: self.gateways.iter().map(seen).collect(),
            members: self.members.clone(),
        }
    }

    /// Whether it knows what the newest version is: a look that began not long ago has told, and its value was in order.
    /// A machine that wakes up late is not fresh, whatever it did before.
    fn is_fresh(&self, now: Duration) -> bool {
        self.fault.is_none() && self.looked.is_some_and(|looked| now < looked + self.settings.fresh)
    }

    /// The newest version known.
    fn known(&self) -> Option<Version> {
        self.newest.map(|(version, _)| version)
    }

    /// The newest version's document, once it is on the disk.
    fn held(&self) -> Option<&Document> {
        self.kept.newest().filter(|kept| Some(kept.version()) == self.known())
    }

    fn begin(&mut self, now: Duration, end: End, up: bool) -> Link {
        self.links += 1;
        // Other machines' answers hold a document; all others say little until it is known who they are.
        let longest = if up { LONGEST_SMALL } else { LONGEST_DOCUMENT + LONGEST_SMALL };
        let peer = Peer { end, up, since: now, heard: now, inbox: Inbox::of(longest) };
        self.peers.insert(self.links, peer);
        self.links
    }

    fn say(&mut self, link: Link, message: &Message) {
        if self.peers.contains_key(&link) {
            self.out.push_back(Out::Send(link, frame(message)));
        }
    }

    fn close(&mut self, now: Duration, link: Link) {
        if self.peers.contains_key(&link) {
            self.out.push_back(Out::Close(link));
            self.closed(now, link);
        }
    }

    /// Closes connections that have been silent for too long, or have not said who they are.
    fn sweep(&mut self, now: Duration) {
        let Pace { tell, silent, .. } = self.settings.pace;
        let over = |peer: &Peer| match peer.end {
            End::Unknown => now >= peer.since + silent * 4,
            End::Gateway(_) => now >= peer.heard + (tell * 5).max(silent * 4),
            End::Asker(_) | End::Asked(_) => now >= peer.heard + silent * 4,
            End::Tool => now >= peer.heard + self.settings.accept * 2 + silent * 4,
        };
        let silent: Vec<Link> =
            self.peers.iter().filter(|(_, peer)| over(peer)).map(|(link, _)| *link).collect();
        silent.into_iter().for_each(|link| self.close(now, link));
    }

    /// Takes a message. False if it makes no sense from whoever sent it.
    fn heed(&mut self, now: Duration, link: Link, message: Message, desk: &mut impl Desk) -> bool {
        let Some(peer) = self.peers.get(&link) else { return false };
        match (&peer.end, message) {
            (End::Unknown, Message::Hello(hello)) => return self.greeted(now, link, hello),
            (End::Gateway(_), Message::InForce { version, refused }) => {
                self.reported(now, link, version, refused);
            }
            (End::Asker(_) | End::Asked(_), Message::Alive { fresh, newest }) => {
                let machine = match peer.end {
                    End::Asker(machine) | End::Asked(machine) => machine,
                    _ => return false,
                };
                if let Some(route) = self.routes.iter_mut().find(|route| route.link == Some(link)) {
                    route.fails = 0;
                }
                // What another one knows from the register is as good as its word at the time of choice, which may be lost.
                if let Some(newest) = newest.filter(|_| fresh) {
                    self.adopt(now, newest, Some(machine));
                }
            }
            (End::Asker(machine), Message::Chosen(version)) => {
                let machine = *machine;
                self.adopt(now, version, Some(machine));
            }
            (End::Asker(_), Message::Keep(bytes)) => {
                let digest = Digest::of(&bytes);
                let last = self.kept.waiting.last().is_some_and(|(last, _)| *last == digest);
                if last || self.store(now, desk, self.kept.with_waiting(digest, bytes, &self.numbered)) {
                    self.say(link, &Message::Kept(digest));
                }
            }
            (End::Asker(_), Message::Want(version)) => {
                let answer = match self.kept.find(version.digest) {
                    Some(bytes) => Message::Given(version, bytes.clone()),
                    None => Message::NotShown("not here".to_string()),
                };
                self.say(link, &answer);
            }
            (End::Asked(machine), Message::Kept(digest)) => {
                let machine = *machine;
                self.is_kept(digest, machine);
            }
            (End::Asked(_), Message::Given(version, bytes)) => {
                if Some(version) == self.known() && self.held().is_none() {
                    match Document::of(version, bytes) {
                        Some(document) => {
                            self.store(now, desk, self.kept.with_version(document));
                        }
                        None => return false,
                    }
                }
            }
            (End::Asked(_), Message::NotShown(_)) => {
                // The next one is asked at once, but the ring is not run around without a pause.
                if let Some(want) =
                    self.want.as_mut().filter(|want| want.asked % self.routes.len().max(1) != 0)
                {
                    want.at = now;
                }
            }
            (End::Tool, Message::Put(bytes)) => self.wanted(now, link, bytes),
            (End::Tool, Message::Show(number)) => {
                let answer = self.show(number);
                self.say(link, &answer);
            }
            (End::Tool, Message::Ask) => {
                let status = Message::Status(self.status(now));
                self.say(link, &status);
            }
            _ => return false,
        }
        true
    }

    /// Somebody says who it is. False if it is not talked to.
    fn greeted(&mut self, now: Duration, link: Link, hello: Hello) -> bool {
        if hello.form != FORM || hello.fleet != self.settings.fleet {
            let theirs = format!("form {}, fleet {}", hello.form, hello.fleet);
            self.out.push_back(Out::Note(format!("config: a connection of {theirs} is not talked to")));
            return false;
        }
        let (end, longest) = match hello.who {
            Who::Gateway { name, zone } => {
                self.remember(now, &name, zone);
                (End::Gateway(Subscriber { name, told: None, sent: None }), LONGEST_SMALL)
            }
            Who::Control { name } => {
                let place = self.settings.machines.iter().position(|machine| machine.name == name);
                let Some(place) = place.filter(|place| Some(*place) != self.me) else { return false };
                // A new connection says that the one before it is lost.
                let same = |peer: &Peer| matches!(peer.end, End::Asker(machine) if machine == place);
                let before = self.peers.iter().find(|(_, peer)| same(peer)).map(|(link, _)| *link);
                before.into_iter().for_each(|link| self.close(now, link));
                (End::Asker(place), LONGEST_DOCUMENT + LONGEST_SMALL)
            }
            Who::Tool => {
                if self.peers.values().filter(|peer| matches!(peer.end, End::Tool)).count() >= MOST_TOOLS {
                    return false;
                }
                (End::Tool, LONGEST_DOCUMENT + LONGEST_SMALL)
            }
        };
        let alive = Message::Alive { fresh: self.is_fresh(now), newest: self.known() };
        if !matches!(end, End::Tool) {
            self.say(link, &alive);
        }
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.end = end;
            peer.inbox.limit(longest);
        }
        true
    }

    /// Remembers a gateway; the one that has been silent for longest goes if there are too many.
    fn remember(&mut self, now: Duration, name: &str, zone: String) {
        if !self.gateways.contains_key(name) && self.gateways.len() >= MOST_GATEWAYS {
            let oldest =
                self.gateways.iter().min_by_key(|(_, known)| known.heard).map(|(name, _)| name.clone());
            oldest.into_iter().for_each(|name| drop(self.gateways.remove(&name)));
        }
        let new = Known { zone: String::new(), in_force: None, refused: None, heard: now };
        let known = self.gateways.entry(name.to_string()).or_insert(new);
        (known.zone, known.heard) = (zone, now);
    }

    /// A gateway tells what it has in force.
    fn reported(&mut self, now: Duration, link: Link, version: Option<Version>, refused: Option<Refusal>) {
        let Some(Peer { end: End::Gateway(subscriber), .. }) = self.peers.get_mut(&link) else { return };
        subscriber.told = Some((version, refused.as_ref().map(|refused| refused.version)));
        if let Some(known) = self.gateways.get_mut(&subscriber.name) {
            (known.in_force, known.refused, known.heard) = (version, refused, now);
        }
        self.offer(now, link);
    }

    /// Sends a gateway the newest version if it is older there: only what is stored and, by a majority of the voters not
    /// long ago, the newest; and not in a tight loop.
    fn offer(&mut self, now: Duration, link: Link) {
        if !self.is_fresh(now) {
            return;
        }
        let Some(document) = self.held().cloned() else { return };
        let version = document.version();
        let Some(Peer { end: End::Gateway(subscriber), .. }) = self.peers.get_mut(&link) else { return };
        let Some((in_force, refused)) = subscriber.told else { return };
        let older = in_force.is_none_or(|in_force| in_force.number < version.number);
        let again = self.settings.pace.tell * 3;
        let sent = subscriber.sent.is_some_and(|(sent, at)| sent == version && now < at + again);
        if !older || refused == Some(version) || sent {
            return;
        }
        subscriber.sent = Some((version, now));
        if self.framed.as_ref().is_none_or(|(framed, _)| *framed != version) {
            self.framed = Some((version, frame(&Message::Newest(version, document.bytes().clone()))));
        }
        self.out.extend(self.framed.iter().map(|(_, newest)| Out::Send(link, newest.clone())));
    }

    /// What the register holds, as a look or a change tells that began then.
    fn learn(&mut self, now: Duration, value: Option<&[u8]>, began: Duration) {
        let Some(ledger) = Ledger::read(value) else {
            return self.doubt(
                "the register holds what this program cannot read, of a later form perhaps".to_string(),
            );
        };
        // A look that began before a version was known by another way may be older than that.
        let known = self.newest.filter(|(_, since)| began >= *since).map(|(version, _)| version);
        match (ledger.newest(), known) {
            (newest, Some(known)) if newest.is_none_or(|newest| newest.number < known.number) => {
                let newest = newest.map_or("no version".to_string(), |newest| format!("version {newest}"));
                return self.doubt(format!("the register has gone back to {newest} from {known}"));
            }
            (Some(newest), _) if self.clashes(newest) => {
                return self.doubt(format!("version {newest} of the register is known with another digest"));
            }
            _ => {}
        }
        self.fault = None;
        self.looked = self.looked.max(Some(began));
        self.offers = true;
        for version in ledger.versions() {
            self.adopt(now, version, None);
        }
    }

    /// Something is wrong with the register: said once, and nothing is given out or accepted until it is not any more.
    fn doubt(&mut self, fault: String) {
        if self.fault.as_ref() != Some(&fault) {
            self.out.push_back(Out::Note(format!("config: {fault}")));
            self.fault = Some(fault);
        }
    }

    /// Whether a version has the number of the newest one and not its digest.
    fn clashes(&self, version: Version) -> bool {
        self.known().is_some_and(|known| known.number == version.number && known.digest != version.digest)
    }

    /// A version has been chosen. `teller` is the machine that says so.
    fn adopt(&mut self, now: Duration, version: Version, teller: Option<usize>) {
        if self.clashes(version) {
            return self.doubt(format!("number {} has two digests", version.number));
        }
        if !self.numbered.contains(&version.digest) {
            self.numbered.push_back(version.digest);
            let old = self.numbered.len().saturating_sub(NAMED * 2);
            self.numbered.drain(..old);
        }
        if self.known().is_none_or(|known| known.number < version.number) {
            self.newest = Some((version, now));
            let next = self.routes.iter().position(|route| Some(route.machine) == teller).unwrap_or_default();
            self.want = Some(Want { version, next, asked: 0, at: now });
        }
    }

    /// Puts what is to be kept in place; what is on the disk is what is known to be kept.
    fn store(&mut self, now: Duration, desk: &mut impl Desk, next: Keeping) -> bool {
        let stored = desk.store(&next);
        if stored {
            self.kept = next;
            self.offers = true;
        } else {
            self.store_at = now + LONGEST_PAUSE;
            self.out.push_back(Out::Note("config: what is to be kept could not be stored".to_string()));
        }
        stored
    }

    /// Asks the next machine for the newest version's bytes.
    fn ask(&mut self, now: Duration) {
        let Some(want) = &mut self.want else { return };
        let count = self.routes.len().max(1);
        let up = |link: &Link| self.peers.get(link).is_some_and(|peer| peer.up);
        let route = (0..count).map(|step| (want.next + step) % count).find_map(|at| {
            let link = self.routes.get(at)?.link.filter(up)?;
            Some((at, link))
        });
        want.at = now + self.settings.pace.silent;
        if let Some((at, link)) = route {
            (want.next, want.asked) = ((at + 1) % count, want.asked + 1);
            let message = Message::Want(want.version);
            self.say(link, &message);
        }
    }

    /// The newest version's document goes on the disk as such, and to whoever lacks it.
    fn settle(&mut self, now: Duration, desk: &mut impl Desk) {
        if let (Some(newest), None, true) = (self.known(), self.held(), now >= self.store_at) {
            let document =
                self.kept.find(newest.digest).and_then(|bytes| Document::of(newest, bytes.clone()));
            if let Some(document) = document {
                self.store(now, desk, self.kept.with_version(document));
            }
        }
        if self.held().is_some() {
            self.want = None;
        }
        if !std::mem::take(&mut self.offers) {
            return;
        }
        let gateways = self.peers.iter().filter(|(_, peer)| matches!(peer.end, End::Gateway(_)));
        let links: Vec<Link> = gateways.map(|(link, _)| *link).collect();
        links.into_iter().for_each(|link| self.offer(now, link));
    }

    /// An operator wants a document to be the next version.
    fn wanted(&mut self, now: Duration, link: Link, bytes: Arc<[u8]>) {
        if self.puts.len() >= MOST_PUTS {
            let why = "busy: too many documents wait to be accepted".to_string();
            return self.say(link, &Message::NotAccepted { why, uncertain: false });
        }
        let (digest, proposal) = (Digest::of(&bytes), self.dice.next_u64());
        self.puts.push_back(Put {
            link,
            bytes,
            digest,
            proposal,
            since: now,
            stage: Stage::Judge(false),
            before: None,
            kept: false,
            proposed: None,
            again: now,
            fails: 0,
        });
    }

    /// Goes on with whatever can go on now.
    fn go_on(&mut self, now: Duration, desk: &mut impl Desk) {
        self.settle(now, desk);
        loop {
            if self.put.is_none() {
                self.put = self.puts.pop_front();
            }
            match self.put.as_ref().map(|put| put.stage) {
                Some(Stage::Judge(false)) if self.judge(now, desk) => {}
                _ => break,
            }
        }
        self.press(now);
    }

    /// Checks the document against the newest version, and has it kept. True if it has come further, or is refused.
    fn judge(&mut self, now: Duration, desk: &mut impl Desk) -> bool {
        if let Some(fault) = &self.fault {
            let why = format!("no change is accepted: {fault}");
            self.answer_no(why);
            return true;
        }
        // If nobody has the newest one's bytes, an operator has to be able to put others.
        let turns = self.routes.len() * 2;
        let lost = self.want.as_ref().is_some_and(|want| want.asked >= turns.max(1));
        let here = self.known().is_none() || self.held().is_some() || lost || self.routes.is_empty();
        let Some(put) = self.put.as_ref().filter(|_| here && self.is_fresh(now)) else { return false };
        let (digest, bytes) = (put.digest, put.bytes.clone());
        if let Err(fault) = desk.check(&bytes, self.kept.newest()) {
            self.answer_no(fault);
            return true;
        }
        let before = self.known();
        let same = before.is_some_and(|known| known.digest == digest);
        let held = same && self.held().is_some();
        if !held && !self.store(now, desk, self.kept.with_waiting(digest, bytes.clone(), &self.numbered)) {
            self.answer_no("this control machine cannot store it".to_string());
            return true;
        }
        let alone = self.routes.is_empty();
        let Some(put) = &mut self.put else { return false };
        put.before = before;
        // What is in force already is kept already.
        put.kept |= alone;
        put.stage = if same || put.kept { Stage::Number } else { Stage::Spread };
        if put.stage == Stage::Spread {
            let links: Vec<Link> = self.routes.iter().filter_map(|route| route.link).collect();
            let keep = frame(&Message::Keep(bytes));
            for link in links {
                if self.peers.get(&link).is_some_and(|peer| peer.up) {
                    self.out.push_back(Out::Send(link, keep.clone()));
                }
            }
        }
        true
    }

    /// Another machine has a document on its disk: enough if it is of another zone, or if there is only one zone.
    fn is_kept(&mut self, digest: Digest, machine: usize) {
        let zone = |place: usize| self.settings.machines.get(place).map(|machine| &machine.zone);
        let own = self.me.and_then(zone);
        let one = self.settings.machines.iter().all(|machine| Some(&machine.zone) == own);
        let enough = one || zone(machine) != own;
        let here = |put: &&mut Put| enough && put.digest == digest && put.stage == Stage::Spread;
        if let Some(put) = self.put.as_mut().filter(here) {
            (put.kept, put.stage) = (true, Stage::Number);
        }
    }

    /// Begins the register's change once the document is kept.
    fn press(&mut self, now: Duration) {
        let ready = |put: &Put| put.stage == Stage::Number && now >= put.again;
        let free = matches!(self.asking, Asking::Nothing | Asking::Look);
        if free && self.put.as_ref().is_some_and(ready) {
            self.asking = Asking::Change;
            self.out.push_back(Out::Change);
        }
    }

    /// A majority has promised: what the register is to hold, or none to leave it as it is.
    fn decide(&mut self, now: Duration, value: Option<&[u8]>) -> Option<Vec<u8>> {
        let put = self.put.as_mut().filter(|put| put.stage == Stage::Number)?;
        let Some(ledger) = Ledger::read(value) else {
            self.doubt(
                "the register holds what this program cannot read, of a later form perhaps".to_string(),
            );
            self.answer_no("no change is accepted: the register holds a later form".to_string());
            return None;
        };
        // What is told need not be chosen: whoever is to rely on it has it chosen as it is.
        let named = ledger.of(put.proposal).is_some_and(|version| version.digest == put.digest);
        let same = ledger.newest().is_some_and(|newest| newest.digest == put.digest);
        if named || same {
            return Some(ledger.write());
        }
        let number = |version: Option<Version>| version.map_or(0, |version| version.number);
        if put.proposed.is_some_and(|behind| number(ledger.versions().next()) > behind + 1) {
            // It may have been one of those that are not named any more, and is not to come back over them.
            self.answer_no(
                "so many others came since that nothing tells whether it was a version".to_string(),
            );
            return None;
        }
        if ledger.newest() == put.before && put.kept {
            put.proposed = put.proposed.or(Some(number(ledger.newest())));
            return Some(ledger.with(put.digest, put.proposal).write());
        }
        // Another version has come between: the document is checked against that one first.
        put.stage = Stage::Judge(true);
        self.look_at = now;
        None
    }

    /// What was proposed is chosen: the operator and all other machines are told.
    fn numbered(&mut self, value: &[u8], desk: &mut impl Desk, now: Duration) {
        let Some(ledger) = Ledger::read(Some(value)) else { return };
        self.settle(now, desk);
        if let Some(newest) = ledger.newest() {
            let links: Vec<Link> = self.routes.iter().filter_map(|route| route.link).collect();
            links.into_iter().for_each(|link| self.tell(link, &Message::Chosen(newest)));
        }
        let Some(put) = &self.put else { return };
        let same = ledger.newest().filter(|newest| newest.digest == put.digest);
        let version = ledger.of(put.proposal).filter(|version| version.digest == put.digest).or(same);
        if let Some(version) = version {
            let link = put.link;
            self.put = None;
            self.out.push_back(Out::Note(format!("config: version {version} is accepted")));
            self.say(link, &Message::Accepted(version));
        }
    }

    /// Sends to another control machine if its connection is up.
    fn tell(&mut self, link: Link, message: &Message) {
        if self.peers.get(&link).is_some_and(|peer| peer.up) {
            self.say(link, message);
        }
    }

    /// The document under way is not accepted.
    fn answer_no(&mut self, why: String) {
        if let Some(put) = self.put.take() {
            let why = cut(why, LONGEST_ANSWER);
            self.say(put.link, &Message::NotAccepted { why, uncertain: put.proposed.is_some() });
        }
    }

    /// Operators whose time is over are told so.
    fn expire(&mut self, now: Duration) {
        let accept = self.settings.accept;
        let over = |put: &Put| now >= put.since + accept;
        if let Some(put) = self.put.as_ref().filter(|put| over(put)) {
            let majority = "no majority of the voters answered";
            let why = match put.stage {
                Stage::Spread => "no control machine of another zone has kept it",
                Stage::Judge(_) if self.is_fresh(now) => "the newest version's document is not here",
                Stage::Judge(_) => majority,
                Stage::Number if self.no_majority || put.fails == 0 => majority,
                Stage::Number => "others came between each time",
            };
            let why = format!("not accepted within {} s: {why}", accept.as_secs_f64());
            self.answer_no(why);
            // Whatever waits behind it goes on once something is told.
            self.look_at = now;
        }
        while self.puts.front().is_some_and(over) {
            if let Some(put) = self.puts.pop_front() {
                let why = "busy: those before it took too long".to_string();
                self.say(put.link, &Message::NotAccepted { why, uncertain: false });
            }
        }
    }

    /// The answer to [`Message::Show`].
    fn show(&self, number: Option<u64>) -> Message {
        let mut kept = self.kept.versions.iter();
        let found = match number {
            None => self.held(),
            Some(number) => kept.find(|kept| kept.version().number == number),
        };
        found.map_or_else(
            || {
                let why = match (number, self.known()) {
                    (None, None) => "there is no version that this control machine knows of".to_string(),
                    (None, Some(newest)) => format!("the document of version {newest} is not here yet"),
                    (Some(number), _) => {
                        format!("version {number} is not kept here: only the newest and one before it")
                    }
                };
                Message::NotShown(why)
            },
            shown,
        )
    }
}

/// A drawn pause that grows with each vain attempt, up to the longest.
fn backoff(dice: &mut Pcg64Mcg, fails: u32, longest: Duration) -> Duration {
    let pause = FIRST_PAUSE.saturating_mul(1 << fails.min(16)).min(longest);
    pause.mul_f64(0.5 + 0.5 * part(dice))
}

fn part(dice: &mut Pcg64Mcg) -> f64 {
    f64::from(dice.next_u32()) / f64::from(u32::MAX)
}
