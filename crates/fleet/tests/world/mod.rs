//! A fleet in virtual time: voters with files, processes that want roles, receivers of orders, and links that lose,
//! double, delay and cut. One seed, one run.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use dunemount_fleet::acceptor::{Acceptor, RequestOutcome};
use dunemount_fleet::fencing::FencingGuard;
use dunemount_fleet::lease::{Change, Electorate, Seat, Terms};
use dunemount_fleet::messages::*;
use dunemount_fleet::node_id::NodeId;
use dunemount_fleet::reconfiguration::Reconfiguration;
use dunemount_fleet::register::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const LEASE: Duration = Duration::from_millis(3_000);
pub const ROLE: &str = "survey/1";
const TICK: Duration = Duration::from_millis(20);

/// What is broken on purpose, to see that a check finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    Nothing,
    /// A voter forgets all in a crash and counts at once.
    Forgets,
    /// A voter answers before its step is stored.
    AnswersFirst,
    /// A voter that has lost its file is let in without what the others know.
    LetInEmpty,
    /// Receivers obey whatever comes.
    NoFence,
    /// The lease counts from the answer, and nobody waits for it to end.
    Impatient,
}

/// What may happen in a run.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    pub loss: f64,
    pub doubled: f64,
    pub delay: Duration,
    pub crashes: bool,
    pub stalls: bool,
    pub cuts: bool,
    /// Voters lose their file in a crash, one at a time.
    pub lost_files: bool,
    /// Clocks run apart by so much, either way.
    pub drift: f64,
}

impl Weather {
    pub const FAIR: Weather = Weather {
        loss: 0.0,
        doubled: 0.0,
        delay: Duration::from_millis(2),
        crashes: false,
        stalls: false,
        cuts: false,
        lost_files: false,
        drift: 0.0,
    };
    pub const FOUL: Weather = Weather {
        loss: 0.1,
        doubled: 0.1,
        delay: Duration::from_millis(120),
        crashes: true,
        stalls: true,
        cuts: true,
        lost_files: false,
        drift: 0.02,
    };
}

enum Event {
    Ask { voter: usize, from: usize, start: u64, call: AcceptorRequest },
    Reply { to: usize, start: u64, reply: AcceptorReply },
    Tick(usize),
    Order { receiver: usize, epoch: u64, from: NodeId },
    Fault,
    Heal(Fault),
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    VoterDown(usize),
    NodeDown(usize),
    Stalled(usize),
    Cut(usize),
}

struct Node {
    id: NodeId,
    start: u64,
    /// Its clock: how fast it runs.
    speed: f64,
    up: bool,
    stalled: bool,
    cut: bool,
    seat: Seat,
    electorate: Electorate,
    admission: Option<Reconfiguration>,
}

struct Place {
    voter: Acceptor,
    disk: Option<Vec<u8>>,
    up: bool,
}

/// What a run has shown.
#[derive(Debug, Default)]
pub struct Seen {
    /// Who took the role under each epoch.
    pub owners: BTreeMap<u64, BTreeSet<NodeId>>,
    /// Per receiver, the epochs of the orders obeyed, in order.
    pub obeyed: Vec<Vec<u64>>,
    pub refused: u64,
    /// Moments at which two processes could order at once.
    pub overlaps: u64,
    pub admitted: u64,
}

impl Seen {
    /// What breaks a rule of the fleet, if anything does.
    pub fn fault(&self) -> Option<String> {
        if let Some((epoch, owners)) = self.owners.iter().find(|(_, owners)| owners.len() > 1) {
            return Some(format!("epoch {epoch} has the owners {owners:?}"));
        }
        for (receiver, epochs) in self.obeyed.iter().enumerate() {
            if let Some(pair) = epochs.windows(2).find(|pair| pair[0] > pair[1]) {
                return Some(format!("receiver {receiver} obeyed epoch {} after {}", pair[1], pair[0]));
            }
        }
        None
    }
}

pub struct World {
    pub now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: Vec<Option<Event>>,
    serial: u64,
    dice: Pcg64Mcg,
    weather: Weather,
    broken: Broken,
    places: Vec<Place>,
    nodes: Vec<Node>,
    fences: Vec<FencingGuard>,
    generations: u32,
    ids: u64,
    pub calm: bool,
    pub seen: Seen,
}

fn terms(broken: Broken) -> Terms {
    let drift = if broken == Broken::Impatient { -0.9 } else { 0.05 };
    Terms { length: LEASE, drift, resend: Duration::from_millis(150) }
}

impl World {
    pub fn new(seed: u64, voters: usize, nodes: usize, weather: Weather, broken: Broken) -> World {
        let mut world = World {
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            serial: 0,
            dice: Pcg64Mcg::seed_from_u64(seed),
            weather,
            broken,
            places: Vec::new(),
            nodes: Vec::new(),
            fences: vec![FencingGuard::default(); 2],
            generations: 0,
            ids: 0,
            calm: false,
            seen: Seen { obeyed: vec![Vec::new(); 2], ..Seen::default() },
        };
        for slot in 0..voters {
            let voter = Acceptor::founding(AcceptorSlot(slot as u8));
            world.places.push(Place { disk: voter.file_bytes(), voter, up: true });
        }
        for index in 0..nodes {
            let node = world.fresh(voters);
            world.nodes.push(node);
            world.at(Duration::from_millis(index as u64), Event::Tick(index));
        }
        world.at(Duration::from_millis(500), Event::Fault);
        world
    }

    fn fresh(&mut self, voters: usize) -> Node {
        self.ids += 1;
        let id = NodeId(self.ids);
        let speed = 1.0 + self.weather.drift * (2.0 * self.part() - 1.0);
        Node {
            id,
            start: self.ids,
            speed,
            up: true,
            stalled: false,
            cut: false,
            seat: Seat::new(id, ROLE.to_string(), terms(self.broken)),
            electorate: Electorate::of(voters as u8, self.ids << 32),
            admission: None,
        }
    }

    fn part(&mut self) -> f64 {
        (self.dice.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn pick(&mut self, of: usize) -> usize {
        (self.dice.next_u64() % of as u64) as usize
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.serial += 1;
        self.events.push(Some(event));
        self.queue.push(Reverse((self.now + after, self.serial, self.events.len() - 1)));
    }

    /// Puts a message on a link.
    fn post(&mut self, cut: bool, event: impl Fn() -> Event) {
        let copies = if self.part() < self.weather.doubled { 2 } else { 1 };
        for _ in 0..copies {
            let lost = cut || !self.calm && self.part() < self.weather.loss;
            // Mostly quick, now and then very late.
            let late = if self.part() < 0.02 && !self.calm { 40.0 } else { 1.0 };
            let delay = self.weather.delay.mul_f64(self.part() * late);
            if !lost {
                self.at(delay, event());
            }
        }
    }

    /// Runs up to a time.
    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, _, index))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events[index].take() {
                self.turn(event);
            }
            self.watch();
        }
        self.now = until;
    }

    /// Ends all faults.
    pub fn calm(&mut self) {
        self.calm = true;
        for index in 0..self.places.len() {
            self.heal(Fault::VoterDown(index));
        }
        for index in 0..self.nodes.len() {
            self.heal(Fault::NodeDown(index));
            self.heal(Fault::Stalled(index));
            self.heal(Fault::Cut(index));
        }
    }

    /// Whoever may order now.
    pub fn owners(&self) -> Vec<NodeId> {
        let may = |node: &&Node| {
            node.up && !node.stalled && node.seat.order(self.now.mul_f64(node.speed)).is_some()
        };
        self.nodes.iter().filter(may).map(|node| node.id).collect()
    }

    /// The voters, for a run that does not end well.
    pub fn voters(&self) -> String {
        let tell = |place: &Place| {
            let voter = &place.voter;
            format!(
                "{:?} up {} file {} view {:?}; ",
                voter.slot(),
                place.up,
                voter.generation(),
                voter.acceptors()
            )
        };
        let nodes = |node: &Node| format!("{:?} {:?} {:?}; ", node.id, node.electorate, node.admission);
        self.places.iter().map(tell).chain(self.nodes.iter().map(nodes)).collect()
    }

    fn watch(&mut self) {
        self.seen.overlaps += u64::from(self.owners().len() > 1);
    }

    fn turn(&mut self, event: Event) {
        match event {
            Event::Ask { voter, from, start, call } => self.ask(voter, from, start, call),
            Event::Reply { to, start, reply } => self.reply(to, start, &reply),
            Event::Tick(index) => self.tick(index),
            Event::Order { receiver, epoch, .. } => {
                let admitted = self.fences[receiver].admit(ROLE, epoch).is_ok();
                if admitted || self.broken == Broken::NoFence {
                    self.seen.obeyed[receiver].push(epoch);
                } else {
                    self.seen.refused += 1;
                }
            }
            Event::Fault => self.fault(),
            Event::Heal(fault) => self.heal(fault),
        }
    }

    fn ask(&mut self, index: usize, from: usize, start: u64, call: AcceptorRequest) {
        let broken = self.broken;
        let crashes = self.weather.crashes && !self.calm && self.part() < 0.01;
        let place = &mut self.places[index];
        if !place.up {
            return;
        }
        let reply = match place.voter.handle_request(call) {
            RequestOutcome::Reply(reply) => reply,
            RequestOutcome::Store(pending) => {
                let bytes = pending.file_bytes();
                if crashes && broken != Broken::AnswersFirst {
                    // In the middle of storing: the file is the old or the new one, and nobody got an answer.
                    if bytes.len() % 2 == 0 {
                        place.disk = Some(bytes);
                    }
                    return self.take_down(Fault::VoterDown(index));
                }
                if !crashes {
                    place.disk = Some(bytes);
                }
                pending.stored()
            }
        };
        let cut = self.nodes[from].cut;
        self.post(cut, || Event::Reply { to: from, start, reply: reply.clone() });
        if crashes {
            self.take_down(Fault::VoterDown(index));
        }
    }

    fn reply(&mut self, to: usize, start: u64, reply: &AcceptorReply) {
        let node = &mut self.nodes[to];
        if !node.up || node.start != start {
            return;
        }
        if node.stalled {
            // It lies in the process's buffer until it goes on.
            let reply = reply.clone();
            return self.at(TICK, Event::Reply { to, start, reply });
        }
        let now = self.now.mul_f64(node.speed);
        let mut out = Vec::new();
        if let Some(admission) = node.admission.as_mut().filter(|admission| admission.nonce() == reply.nonce)
        {
            let event = admission.handle_reply(reply);
            node.electorate.note(&event);
            if admission.is_done() {
                node.electorate.blank.clear();
                self.seen.admitted += 1;
                node.admission = None;
            } else if event != dunemount_fleet::proposer::RoundEvent::None {
                node.admission = None;
            }
        }
        let change = node.seat.hear(now, reply, &mut node.electorate, &mut self.dice, &mut out);
        self.note(to, change);
        self.send(to, out);
    }

    fn tick(&mut self, index: usize) {
        let jitter = TICK.mul_f64(0.5 + self.part());
        self.at(jitter, Event::Tick(index));
        let rank = Some(index as u32);
        let node = &mut self.nodes[index];
        if !node.up || node.stalled {
            return;
        }
        let now = self.now.mul_f64(node.speed);
        let mut out = Vec::new();
        let change = node.seat.tick(now, rank, &mut node.electorate, &mut self.dice, &mut out);
        let electorate = &mut node.electorate;
        // Voters that lag or have lost their file are helped by whoever notices.
        for slot in std::mem::take(&mut electorate.older) {
            let nonce = electorate.nonce();
            out.push((
                slot,
                AcceptorRequest {
                    acceptors: electorate.view.clone(),
                    nonce,
                    operation: Operation::Reconfigure { after: Key::new() },
                },
            ));
        }
        if let (None, Some((slot, generation))) = (&node.admission, electorate.blank.first().copied()) {
            let (nonce, voters) = (electorate.nonce(), electorate.voters);
            let (view, stamps) = (electorate.view.clone(), electorate.stamps.clone());
            node.admission = Some(Reconfiguration::new(slot, generation, &view, nonce, voters, stamps));
        }
        if let Some(admission) = node.admission.as_ref().filter(|_| self.serial % 4 == 0) {
            let broken = self.broken == Broken::LetInEmpty;
            out.extend(admission.pending_requests().into_iter().map(|(slot, call)| match call.operation {
                Operation::InstallState { .. } if broken => (
                    slot,
                    AcceptorRequest {
                        operation: Operation::InstallState { registers: BTreeMap::new(), total: 0 },
                        ..call
                    },
                ),
                _ => (slot, call),
            }));
        }
        // An owner orders; between its own look at the lease and the order's way it may be stopped.
        let order = node.seat.order(now);
        let (id, cut) = (node.id, node.cut);
        self.note(index, change);
        self.send(index, out);
        if let Some(epoch) = order.filter(|_| self.part() < 0.3) {
            let receiver = self.pick(2);
            if self.weather.stalls && !self.calm && self.part() < 0.005 {
                let stalled = LEASE.mul_f64(0.5 + 3.0 * self.part());
                self.nodes[index].stalled = true;
                self.at(stalled, Event::Heal(Fault::Stalled(index)));
                return self.at(stalled, Event::Order { receiver, epoch, from: id });
            }
            self.post(cut, || Event::Order { receiver, epoch, from: id });
        }
    }

    fn send(&mut self, from: usize, out: Vec<(AcceptorSlot, AcceptorRequest)>) {
        let (start, cut) = (self.nodes[from].start, self.nodes[from].cut);
        for (slot, call) in out {
            let voter = usize::from(slot.0);
            self.post(cut, || Event::Ask { voter, from, start, call: call.clone() });
        }
    }

    fn note(&mut self, index: usize, change: Option<Change>) {
        if let Some(Change::Took { epoch }) = change {
            self.seen.owners.entry(epoch).or_default().insert(self.nodes[index].id);
        }
    }

    fn fault(&mut self) {
        let next = Duration::from_millis(200).mul_f64(1.0 + 20.0 * self.part());
        self.at(next, Event::Fault);
        if self.calm {
            return;
        }
        let weather = self.weather;
        let (voter, node) = (self.pick(self.places.len()), self.pick(self.nodes.len()));
        let owner = self.owners().first().and_then(|id| self.nodes.iter().position(|node| node.id == *id));
        // Owners are hit more often than others.
        let node = if self.part() < 0.5 { owner.unwrap_or(node) } else { node };
        let fault = match self.pick(4) {
            0 if weather.crashes => Fault::VoterDown(voter),
            1 if weather.crashes => Fault::NodeDown(node),
            2 if weather.stalls => Fault::Stalled(node),
            3 if weather.cuts => Fault::Cut(node),
            _ => return,
        };
        self.take_down(fault);
    }

    fn take_down(&mut self, fault: Fault) {
        let lasts = Duration::from_millis(100).mul_f64(1.0 + 80.0 * self.part());
        match fault {
            Fault::VoterDown(index) => {
                let others = self.places.iter().all(|place| place.up && !place.voter.is_uninitialized());
                let place = &mut self.places[index];
                place.up = false;
                if self.weather.lost_files && others {
                    place.disk = None;
                }
            }
            Fault::NodeDown(index) => self.nodes[index].up = false,
            Fault::Stalled(index) => self.nodes[index].stalled = true,
            Fault::Cut(index) => self.nodes[index].cut = true,
        }
        self.at(lasts, Event::Heal(fault));
    }

    fn heal(&mut self, fault: Fault) {
        match fault {
            Fault::VoterDown(index) if !self.places[index].up => {
                self.generations += 1;
                let (slot, salt) = (AcceptorSlot(index as u8), 1_000 + self.generations);
                let place = &mut self.places[index];
                place.up = true;
                place.voter = match &place.disk {
                    _ if self.broken == Broken::Forgets => Acceptor::founding(slot),
                    Some(file) => Acceptor::from_file(slot, file).expect("a whole file"),
                    None => Acceptor::uninitialized(slot, salt),
                };
            }
            Fault::VoterDown(_) => {}
            Fault::NodeDown(index) if !self.nodes[index].up => {
                self.nodes[index] = self.fresh(self.places.len());
            }
            Fault::NodeDown(_) => {}
            Fault::Stalled(index) => self.nodes[index].stalled = false,
            Fault::Cut(index) => self.nodes[index].cut = false,
        }
    }
}
