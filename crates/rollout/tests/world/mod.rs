//! Control machines, gateways and operators in virtual time: disks, a register that many change, links that delay, cut and
//! die, processes that are killed, stopped and woken up late. One seed, one run; what breaks a rule is kept as a fault.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use dunemount_rollout::control::{self, Control, Desk, Keeping, Told};
use dunemount_rollout::follower::{self, Follower, Link, Machine as Place, Pace};
use dunemount_rollout::version::{Digest, Document, Ledger, Version};
use dunemount_rollout::wire::{frame, Hello, Inbox, Message, Who, FORM};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const STEP: Duration = Duration::from_millis(10);
/// As the control machine's process has them.
pub const LOOK: Duration = Duration::from_millis(500);
pub const FRESH: Duration = Duration::from_secs(2);
pub const ACCEPT: Duration = Duration::from_secs(5);
/// A version that was the newest for so long is the only one that is still taken: as long as a machine counts as fresh, and
/// what a message and a take last.
const SETTLED: Duration = Duration::from_millis(3_000);
/// When a register's calls that nobody answers are given up.
const GIVEN_UP: Duration = Duration::from_millis(600);
pub const MACHINES: usize = 6;

/// What is broken on purpose, to see that the audit finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    Nothing,
    /// The operators' tool alone checks, and this one does not.
    ToolAlone,
    /// A gateway that fails to take a version has taken a part of it.
    HalfTaken,
    /// A control machine speaks of what it knew before, without having looked.
    LateSpeaker,
    /// A gateway that was away is sent all versions that lie between.
    InOrder,
    /// A control machine without a majority numbers by itself.
    ByItself,
    /// Each control machine numbers by itself: two operators, no register.
    OwnRegister,
    /// Gateways come home at once.
    AllAtOnce,
    /// A disk says that it has stored, and has not.
    DiskLies,
    /// An operator is told that a document is none, whatever may become of it.
    Certain,
    /// What a promise tells counts as chosen.
    TrustsPromise,
}

/// What may go wrong by itself, as parts of one.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    /// A register's answer is lost.
    pub lost: f64,
    /// A proposal arrives at a minority of the voters alone.
    pub minority: f64,
    /// Longest delay of a link between zones.
    pub delay: Duration,
}

impl Weather {
    pub const FAIR: Weather = Weather { lost: 0.0, minority: 0.0, delay: Duration::from_millis(20) };
    pub const FOUL: Weather = Weather { lost: 0.1, minority: 0.15, delay: Duration::from_millis(120) };
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Process {
    Machine(usize),
    Gateway(usize),
    Tool(usize),
}
use Process::{Gateway as G, Machine as M, Tool as T};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    Stopped,
    Down,
}

/// A control machine's disk and checks.
struct Shelf {
    file: Vec<u8>,
    broken: bool,
    checks: bool,
    lies: bool,
}

impl Desk for Shelf {
    fn check(&mut self, document: &[u8], _: Option<&Document>) -> Result<(), String> {
        match document.starts_with(b"bad") && self.checks {
            true => Err("line 1: bad".to_string()),
            false => Ok(()),
        }
    }

    fn store(&mut self, kept: &Keeping) -> bool {
        if !self.broken && !self.lies {
            self.file = kept.file();
        }
        !self.broken
    }
}

pub struct MachineRun {
    pub control: Option<Control>,
    shelf: Shelf,
    pub state: State,
    start: u64,
    /// The register's promise that it has.
    ticket: u64,
    /// The register's value that it saw last, and the one that was told with the last promise.
    saw: Option<Vec<u8>>,
    promised: Option<Vec<u8>>,
}

pub struct GatewayRun {
    pub follower: Option<Follower>,
    pub zone: usize,
    pub state: State,
    start: u64,
    pub disk: Option<Document>,
    /// What it works by.
    pub running: Option<Document>,
    /// What is taken, since when, and when that ends.
    taking: Option<(Duration, Duration, Document)>,
    /// The highest number that it ever had in force.
    highest: u64,
    /// Numbers taken since it was last asked.
    pub takes: Vec<u64>,
    pub refusals: usize,
}

pub struct ToolRun {
    machine: usize,
    request: Message,
    inbox: Inbox,
    pub sent: Duration,
    pub answer: Option<Message>,
    pub answered: Duration,
    ended: bool,
}

enum Item {
    /// Somebody connects; whether its kernel has answered for a process that is stopped.
    Syn(bool),
    Opened,
    Bytes(Arc<[u8]>),
    Fin,
}

struct End {
    who: Process,
    start: u64,
    link: Option<Link>,
    closed: bool,
}

struct Wire {
    ends: [End; 2],
    /// What is on its way to each end.
    ways: [VecDeque<(Duration, Item)>; 2],
}

enum Ask {
    Look(Duration),
    Change,
    Propose(Vec<u8>),
}

#[derive(Default)]
struct Register {
    value: Option<Vec<u8>>,
    /// Accepted by a minority alone: whoever comes next may meet it or not.
    pending: Option<Vec<u8>>,
    ticket: u64,
    asks: Vec<(Duration, usize, u64, Ask)>,
    answers: Vec<(Duration, usize, u64, bool, Told)>,
}

pub struct World {
    pub now: Duration,
    pub dice: Pcg64Mcg,
    pub weather: Weather,
    variant: Variant,
    pub machines: Vec<MachineRun>,
    pub gateways: Vec<GatewayRun>,
    pub tools: Vec<ToolRun>,
    wires: BTreeMap<u64, Wire>,
    serial: u64,
    starts: u64,
    /// Pairs of zones without a link, the lower one first.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Control machines that reach no majority of the voters.
    pub cut_off: BTreeSet<usize>,
    register: Register,
    /// All that was ever chosen, with its time.
    pub chosen: Vec<(Duration, Version)>,
    documents: BTreeMap<Digest, Arc<[u8]>>,
    digests: BTreeMap<u64, Digest>,
    pub faults: Vec<String>,
    /// Connections of gateways that a control machine was asked for, by machine and second.
    pub knocks: BTreeMap<(usize, u64), usize>,
    pub pace: Pace,
    /// All that control machines and gateways have had done, in order, with its time.
    pub decisions: Digest,
}

fn zone(index: usize) -> String {
    format!("zone-{index}")
}

pub fn places(count: usize) -> Vec<Place> {
    (0..count).map(|index| Place { name: format!("ctl-{index}"), zone: zone(index) }).collect()
}

impl World {
    /// Control machines in six zones, and gateways in the zones named.
    pub fn new(seed: u64, zones: &[usize], weather: Weather, variant: Variant) -> World {
        let mut pace = Pace::default();
        if variant == Variant::AllAtOnce {
            pace.home = Duration::from_millis(300);
        }
        let machine = || MachineRun {
            control: None,
            shelf: Shelf {
                file: Vec::new(),
                broken: false,
                checks: variant != Variant::ToolAlone,
                lies: variant == Variant::DiskLies,
            },
            state: State::Down,
            start: 0,
            ticket: 0,
            saw: None,
            promised: None,
        };
        let gateway = |zone: &usize| GatewayRun {
            follower: None,
            zone: *zone,
            state: State::Down,
            start: 0,
            disk: None,
            running: None,
            taking: None,
            highest: 0,
            takes: Vec::new(),
            refusals: 0,
        };
        let mut world = World {
            now: Duration::ZERO,
            dice: Pcg64Mcg::seed_from_u64(seed),
            weather,
            variant,
            machines: (0..MACHINES).map(|_| machine()).collect(),
            gateways: zones.iter().map(gateway).collect(),
            tools: Vec::new(),
            wires: BTreeMap::new(),
            serial: 0,
            starts: 0,
            cuts: BTreeSet::new(),
            cut_off: BTreeSet::new(),
            register: Register::default(),
            chosen: Vec::new(),
            documents: BTreeMap::new(),
            digests: BTreeMap::new(),
            faults: Vec::new(),
            knocks: BTreeMap::new(),
            pace,
            decisions: Digest([0; 32]),
        };
        (0..MACHINES).for_each(|index| world.start(M(index)));
        (0..zones.len()).for_each(|index| world.start(G(index)));
        world
    }

    pub fn part(&mut self) -> f64 {
        f64::from(self.dice.next_u32()) / f64::from(u32::MAX)
    }

    pub fn pick(&mut self, of: usize) -> usize {
        (self.dice.next_u64() % of as u64) as usize
    }

    // ---- processes

    /// Starts a process that is down, from its disk.
    pub fn start(&mut self, who: Process) {
        self.starts += 1;
        let (seed, start, now, pace) = (self.dice.next_u64(), self.starts, self.now, self.pace);
        match who {
            M(index) => {
                let machine = &mut self.machines[index];
                if machine.state != State::Down {
                    return;
                }
                let kept = match machine.shelf.file.is_empty() {
                    true => Keeping::default(),
                    false => Keeping::read(&machine.shelf.file).expect("a whole file"),
                };
                let settings = control::Settings {
                    fleet: "test".to_string(),
                    name: format!("ctl-{index}"),
                    machines: places(MACHINES),
                    pace,
                    look: LOOK,
                    fresh: FRESH,
                    accept: ACCEPT,
                    seed,
                };
                machine.control = Some(Control::new(settings, kept, now));
                (machine.state, machine.start) = (State::Up, start);
            }
            G(index) => {
                let gateway = &mut self.gateways[index];
                if gateway.state != State::Down {
                    return;
                }
                let settings = follower::Settings {
                    fleet: "test".to_string(),
                    name: format!("gw-{index}"),
                    zone: zone(gateway.zone),
                    machines: places(MACHINES),
                    pace,
                    seed,
                };
                let in_force = gateway.disk.as_ref().map(Document::version);
                gateway.follower = Some(Follower::new(settings, in_force, now));
                gateway.running = gateway.disk.clone();
                (gateway.state, gateway.start) = (State::Up, start);
            }
            T(_) => {}
        }
        self.carry(who);
    }

    /// Kills a process; its disk stays.
    pub fn kill(&mut self, who: Process) {
        let start = self.start_of(who);
        match who {
            M(index) => (self.machines[index].control, self.machines[index].state) = (None, State::Down),
            G(index) => {
                let stored = self.part() < 0.5;
                let gateway = &mut self.gateways[index];
                if let Some((.., document)) =
                    gateway.taking.take_if(|(.., d)| stored && d.bytes().starts_with(b"good"))
                {
                    // It was stored, and had not been said to be in force.
                    gateway.disk = Some(document);
                }
                (gateway.follower, gateway.state, gateway.taking) = (None, State::Down, None);
                gateway.running = None;
            }
            T(_) => {}
        }
        let ids: Vec<u64> = self.wires.keys().copied().collect();
        for id in ids {
            for side in 0..2 {
                let end = &mut self.wires.get_mut(&id).expect("there").ends[side];
                if end.who == who && end.start == start && end.link.is_some() && !end.closed {
                    end.closed = true;
                    self.put(id, 1 - side, Item::Fin);
                }
            }
        }
    }

    /// Stops a process: its sockets stay open, and what comes waits for it.
    pub fn stop(&mut self, who: Process) {
        match who {
            M(index) if self.machines[index].state == State::Up => {
                self.machines[index].state = State::Stopped
            }
            G(index) if self.gateways[index].state == State::Up => {
                self.gateways[index].state = State::Stopped
            }
            _ => {}
        }
    }

    /// Wakes a stopped process up; it looks at the time or at its sockets first.
    pub fn wake(&mut self, who: Process) {
        match who {
            M(index) if self.machines[index].state == State::Stopped => {
                self.machines[index].state = State::Up
            }
            G(index) if self.gateways[index].state == State::Stopped => {
                self.gateways[index].state = State::Up
            }
            _ => return,
        }
        if self.part() < 0.5 {
            self.tick(who);
        }
    }

    /// All faults end.
    pub fn calm(&mut self) {
        self.weather = Weather::FAIR;
        self.cuts.clear();
        self.cut_off.clear();
        for index in 0..self.machines.len() {
            self.machines[index].shelf.broken = false;
            self.wake(M(index));
            self.start(M(index));
        }
        for index in 0..self.gateways.len() {
            self.wake(G(index));
            self.start(G(index));
        }
    }

    pub fn break_disk(&mut self, index: usize, broken: bool) {
        self.machines[index].shelf.broken = broken;
    }

    /// A region is cut from the other: zones 0 to 2 keep the majority of the voters.
    pub fn part_regions(&mut self) {
        for a in 0..3 {
            for b in 3..6 {
                self.cuts.insert((a, b));
            }
        }
        self.cut_off.extend(3..6);
    }

    /// A control machine is started anew with an empty disk.
    pub fn lose_disk(&mut self, index: usize) {
        self.kill(M(index));
        self.machines[index].shelf.file.clear();
        self.start(M(index));
    }

    fn start_of(&self, who: Process) -> u64 {
        match who {
            M(index) => self.machines[index].start,
            G(index) => self.gateways[index].start,
            T(_) => 0,
        }
    }

    fn zone_of(&self, who: Process) -> usize {
        match who {
            M(index) => index,
            G(index) => self.gateways[index].zone,
            T(index) => self.tools[index].machine,
        }
    }

    fn is_cut(&self, a: Process, b: Process) -> bool {
        let (a, b) = (self.zone_of(a), self.zone_of(b));
        self.cuts.contains(&(a.min(b), a.max(b)))
    }

    // ---- operators

    /// An operator's tool asks a control machine; the number under which its answer is found.
    pub fn operate(&mut self, machine: usize, request: Message) -> usize {
        let tool = self.tools.len();
        self.tools.push(ToolRun {
            machine,
            request,
            inbox: Inbox::default(),
            sent: self.now,
            answer: None,
            answered: Duration::ZERO,
            ended: false,
        });
        self.connect(T(tool), tool as Link + 1, machine);
        tool
    }

    /// An operator puts a document.
    pub fn put_document(&mut self, machine: usize, document: &str) -> usize {
        let bytes: Arc<[u8]> = document.as_bytes().into();
        self.documents.insert(Digest::of(&bytes), bytes.clone());
        self.operate(machine, Message::Put(bytes))
    }

    // ---- links

    fn connect(&mut self, from: Process, link: Link, machine: usize) {
        self.serial += 1;
        let start = self.start_of(from);
        let ends = [
            End { who: from, start, link: Some(link), closed: false },
            End { who: M(machine), start: 0, link: None, closed: false },
        ];
        let id = self.serial;
        self.wires.insert(id, Wire { ends, ways: Default::default() });
        self.put(id, 1, Item::Syn(false));
        if matches!(from, G(_)) {
            *self.knocks.entry((machine, self.now.as_secs())).or_default() += 1;
        }
    }

    /// Puts something on its way to an end.
    fn put(&mut self, id: u64, side: usize, item: Item) {
        self.put_after(id, side, item, Duration::ZERO);
    }

    fn put_after(&mut self, id: u64, side: usize, item: Item, after: Duration) {
        let part = self.part();
        let Some(wire) = self.wires.get(&id) else { return };
        let same = self.zone_of(wire.ends[0].who) == self.zone_of(wire.ends[1].who);
        let delay = if same { Duration::from_millis(2) } else { self.weather.delay };
        let now = self.now;
        let Some(wire) = self.wires.get_mut(&id) else { return };
        let at = now + after + delay.mul_f64(part);
        let at = wire.ways[side].back().map_or(at, |(last, _)| at.max(*last));
        wire.ways[side].push_back((at, item));
    }

    fn wire_of(&self, who: Process, link: Link) -> Option<(u64, usize)> {
        let start = self.start_of(who);
        let is = |end: &End| end.who == who && end.start == start && end.link == Some(link) && !end.closed;
        self.wires.iter().find_map(|(id, wire)| Some((*id, wire.ends.iter().position(is)?)))
    }

    /// Delivers what has arrived at each end.
    fn deliver(&mut self) {
        let ids: Vec<u64> = self.wires.keys().copied().collect();
        for id in ids {
            for side in 0..2 {
                let Some(wire) = self.wires.get(&id) else { break };
                let due = wire.ways[side].front().is_some_and(|(at, _)| *at <= self.now);
                let who = wire.ends[side].who;
                if !due || self.is_cut(who, wire.ends[1 - side].who) {
                    continue;
                }
                self.deliver_to(id, side, who);
                self.carry(who);
            }
            let over = |wire: &Wire| wire.ends.iter().all(|end| end.closed);
            if self.wires.get(&id).is_some_and(over) {
                self.wires.remove(&id);
            }
        }
    }

    fn deliver_to(&mut self, id: u64, side: usize, who: Process) {
        let now = self.now;
        while let Some(wire) = self.wires.get_mut(&id) {
            let Some((at, item)) = wire.ways[side].front_mut() else { return };
            if *at > now {
                return;
            }
            let state = match who {
                M(index) => self.machines[index].state,
                G(index) => self.gateways[index].state,
                T(_) => State::Up,
            };
            if state == State::Stopped {
                if let Item::Syn(answered) = item {
                    if !std::mem::replace(answered, true) {
                        self.put(id, 1 - side, Item::Opened);
                    }
                }
                return;
            }
            let Some((_, item)) = wire.ways[side].pop_front() else { return };
            if let Item::Syn(answered) = item {
                let M(index) = who else { return };
                let machine = &mut self.machines[index];
                let start = machine.start;
                match machine.control.as_mut().and_then(|control| control.accepted(now)) {
                    Some(link) => {
                        let end = &mut self.wires.get_mut(&id).expect("there").ends[side];
                        (end.link, end.start) = (Some(link), start);
                        if !answered {
                            self.put(id, 1 - side, Item::Opened);
                        }
                    }
                    None => {
                        self.wires.get_mut(&id).expect("there").ends[side].closed = true;
                        self.put(id, 1 - side, Item::Fin);
                    }
                }
                continue;
            }
            let end = &wire.ends[side];
            let (start, link, closed) = (end.start, end.link, end.closed);
            let there = start == self.start_of(who) && state == State::Up;
            if closed || !there || link.is_none() {
                // A socket that is not there any more.
                let wire = self.wires.get_mut(&id).expect("there");
                let first = !std::mem::replace(&mut wire.ends[side].closed, true);
                if first && !matches!(item, Item::Fin) {
                    self.put(id, 1 - side, Item::Fin);
                }
                continue;
            }
            if matches!(item, Item::Fin) {
                let wire = self.wires.get_mut(&id).expect("there");
                wire.ends[side].closed = true;
                // Nothing that it sent is read any more, as after a reset.
                wire.ends[1 - side].closed = true;
            }
            self.hand(who, link.expect("one"), item);
        }
    }

    fn hand(&mut self, who: Process, link: Link, item: Item) {
        let now = self.now;
        match who {
            M(index) => {
                let MachineRun { control: Some(control), shelf, .. } = &mut self.machines[index] else {
                    return;
                };
                match item {
                    Item::Opened => control.opened(now, link),
                    Item::Bytes(bytes) => control.received(now, link, &bytes, shelf),
                    Item::Fin => control.closed(now, link),
                    Item::Syn(_) => {}
                }
            }
            G(index) => {
                let Some(follower) = &mut self.gateways[index].follower else { return };
                match item {
                    Item::Opened => follower.opened(now, link),
                    Item::Bytes(bytes) => follower.received(now, link, &bytes),
                    Item::Fin => follower.closed(now, link),
                    Item::Syn(_) => {}
                }
            }
            T(index) => {
                let tool = &mut self.tools[index];
                match item {
                    Item::Opened => {
                        let hello =
                            Message::Hello(Hello { form: FORM, fleet: "test".into(), who: Who::Tool });
                        let request = frame(&tool.request);
                        let Some((id, side)) = self.wire_of(who, link) else { return };
                        self.put(id, 1 - side, Item::Bytes(frame(&hello)));
                        self.put(id, 1 - side, Item::Bytes(request));
                    }
                    Item::Bytes(bytes) => {
                        tool.inbox.push(&bytes);
                        if let Some(answer) = tool.inbox.next().expect("sense") {
                            (tool.answer, tool.answered) = (Some(answer), now);
                            self.answered(index);
                        }
                    }
                    Item::Fin => tool.ended = true,
                    Item::Syn(_) => {}
                }
            }
        }
    }

    // ---- what processes want

    /// Adds what a process has had done to the digest of all decisions.
    fn decided(&mut self, who: Process, kind: &str, number: u64, bytes: &[u8]) {
        let (of, index) = match who {
            M(index) => ("machine", index),
            G(index) => ("gateway", index),
            T(index) => ("tool", index),
        };
        let line = format!("{} {of} {index} {kind} {number} ", self.now.as_nanos());
        self.decisions = Digest::of(&[&self.decisions.0, line.as_bytes(), bytes].concat());
    }

    fn control_decided(&mut self, who: Process, out: &control::Out) {
        match out {
            control::Out::Connect(link, machine) => {
                self.decided(who, "connect", *link, &machine.to_be_bytes())
            }
            control::Out::Send(link, bytes) => self.decided(who, "send", *link, bytes),
            control::Out::Close(link) => self.decided(who, "close", *link, &[]),
            control::Out::Look => self.decided(who, "look", 0, &[]),
            control::Out::Change => self.decided(who, "change", 0, &[]),
            control::Out::Propose(value) => self.decided(who, "propose", 0, value),
            control::Out::Withdraw => self.decided(who, "withdraw", 0, &[]),
            control::Out::Note(text) => self.decided(who, "note", 0, text.as_bytes()),
        }
    }

    fn gateway_decided(&mut self, who: Process, out: &follower::Out) {
        match out {
            follower::Out::Connect(link, machine) => {
                self.decided(who, "connect", *link, &machine.to_be_bytes())
            }
            follower::Out::Send(link, bytes) => self.decided(who, "send", *link, bytes),
            follower::Out::Close(link) => self.decided(who, "close", *link, &[]),
            follower::Out::Take(document) => {
                self.decided(who, "take", document.version().number, document.bytes())
            }
        }
    }

    fn carry(&mut self, who: Process) {
        match who {
            M(index) => {
                while let Some(out) = self.machines[index].control.as_mut().and_then(Control::next) {
                    self.control_decided(who, &out);
                    match out {
                        control::Out::Connect(link, machine) => self.connect(who, link, machine),
                        control::Out::Send(link, bytes) => self.send(who, link, bytes),
                        control::Out::Close(link) => self.close(who, link),
                        control::Out::Look => self.ask(index, Ask::Look(self.now)),
                        control::Out::Change => self.ask(index, Ask::Change),
                        control::Out::Propose(value) => self.ask(index, Ask::Propose(value)),
                        control::Out::Withdraw => self.machines[index].ticket = 0,
                        control::Out::Note(_) => {}
                    }
                }
            }
            G(index) => {
                while let Some(out) = self.gateways[index].follower.as_mut().and_then(Follower::next) {
                    self.gateway_decided(who, &out);
                    match out {
                        follower::Out::Connect(link, machine) => self.connect(who, link, machine),
                        follower::Out::Send(link, bytes) => self.send(who, link, bytes),
                        follower::Out::Close(link) => self.close(who, link),
                        follower::Out::Take(document) => {
                            let lasts = Duration::from_millis(10 + self.pick(50) as u64);
                            let gateway = &mut self.gateways[index];
                            if gateway.taking.is_some() {
                                self.faults.push(format!("gateway {index} is to take two at once"));
                            }
                            self.gateways[index].taking = Some((self.now, self.now + lasts, document));
                        }
                    }
                }
            }
            T(_) => {}
        }
    }

    fn send(&mut self, who: Process, link: Link, bytes: Arc<[u8]>) {
        let Some((id, side)) = self.wire_of(who, link) else { return };
        if let (Variant::InOrder, M(_), G(gateway)) = (self.variant, who, self.wires[&id].ends[1 - side].who)
        {
            let mut inbox = Inbox::default();
            inbox.push(&bytes);
            if let Ok(Some(Message::Newest(newest, _))) = inbox.next() {
                let has =
                    self.gateways[gateway].running.as_ref().map_or(0, |running| running.version().number);
                let between = |version: &&Version| version.number > has && version.number <= newest.number;
                let all: Vec<Version> =
                    self.chosen.iter().map(|(_, version)| version).filter(between).copied().collect();
                for (step, version) in all.into_iter().enumerate() {
                    let document = self.documents[&version.digest].clone();
                    let newest = frame(&Message::Newest(version, document));
                    self.put_after(
                        id,
                        1 - side,
                        Item::Bytes(newest),
                        Duration::from_millis(100) * step as u32,
                    );
                }
                return;
            }
        }
        if self.variant == Variant::Certain {
            let mut inbox = Inbox::default();
            inbox.push(&bytes);
            if let Ok(Some(Message::NotAccepted { why, uncertain: true })) = inbox.next() {
                let certain = frame(&Message::NotAccepted { why, uncertain: false });
                return self.put(id, 1 - side, Item::Bytes(certain));
            }
        }
        self.put(id, 1 - side, Item::Bytes(bytes));
    }

    fn close(&mut self, who: Process, link: Link) {
        if let Some((id, side)) = self.wire_of(who, link) {
            self.put(id, 1 - side, Item::Fin);
            if let Some(wire) = self.wires.get_mut(&id) {
                wire.ends[side].closed = true;
            }
        }
    }

    // ---- the register

    fn ask(&mut self, machine: usize, ask: Ask) {
        let start = self.machines[machine].start;
        if matches!(ask, Ask::Change) {
            // A look under way is given up.
            self.register.asks.retain(|(_, by, _, ask)| *by != machine || !matches!(ask, Ask::Look(_)));
            self.register.answers.retain(|(_, by, _, look, _)| *by != machine || !look);
        }
        let at = self.now + self.weather.delay.mul_f64(self.part());
        self.register.asks.push((at, machine, start, ask));
    }

    /// A register's value that numbers one more by itself, for the variants.
    fn by_itself(&mut self, machine: usize, ask: Ask) -> Option<Told> {
        let as_it_is = match &ask {
            Ask::Propose(value) => self.machines[machine].promised.as_ref() == Some(value),
            _ => false,
        };
        let alone = match self.variant {
            Variant::TrustsPromise => as_it_is,
            Variant::OwnRegister => true,
            Variant::ByItself => self.cut_off.contains(&machine),
            Variant::LateSpeaker => matches!(ask, Ask::Look(_)) && self.machines[machine].saw.is_some(),
            _ => false,
        };
        if !alone {
            return None;
        }
        let saw = self.machines[machine].saw.clone();
        Some(match ask {
            Ask::Look(_) => Told::Holds(saw, self.now),
            Ask::Change => Told::Promised(saw),
            Ask::Propose(value) => {
                self.machines[machine].saw = Some(value.clone());
                Told::Chosen(value)
            }
        })
    }

    fn choose(&mut self, value: Vec<u8>) {
        let newest = Ledger::read(Some(&value)).and_then(|ledger| ledger.newest());
        self.register.value = Some(value);
        self.register.pending = None;
        let Some(newest) = newest else { return };
        if self.chosen.last().is_some_and(|(_, last)| *last == newest) {
            return;
        }
        self.chosen.push((self.now, newest));
        let holds = |machine: &&MachineRun| {
            let kept = Keeping::read(&machine.shelf.file).unwrap_or_default();
            kept.waiting.iter().any(|(digest, _)| *digest == newest.digest)
                || kept.versions.iter().any(|kept| kept.version().digest == newest.digest)
        };
        let disks = self.machines.iter().filter(holds).count();
        if disks < 2 {
            self.faults.push(format!("version {newest} is on {disks} disks as it is chosen"));
        }
    }

    fn run_register(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.register.asks).into_iter().partition(|(at, ..)| *at <= now);
        self.register.asks = later;
        for (_, machine, start, ask) in due {
            let is_look = matches!(ask, Ask::Look(_));
            let (answer, late) = self.registered(machine, ask);
            let at = now + if late { GIVEN_UP } else { self.weather.delay.mul_f64(self.part()) };
            self.register.answers.push((at, machine, start, is_look, answer));
        }
        let ready = |(at, machine, _, _, _): &(Duration, usize, u64, bool, Told)| {
            *at <= now && self.machines[*machine].state != State::Stopped
        };
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.register.answers).into_iter().partition(ready);
        self.register.answers = later;
        for (_, index, start, _, told) in due {
            let machine = &mut self.machines[index];
            if machine.start != start {
                continue;
            }
            if let Told::Holds(value, _) = &told {
                machine.saw = value.clone();
            }
            if let Told::Chosen(value) = &told {
                machine.saw = Some(value.clone());
            }
            if let Some(control) = &mut machine.control {
                control.told(now, told, &mut machine.shelf);
            }
            self.carry(M(index));
        }
    }

    /// What the register says, and whether that takes until the caller gives up.
    fn registered(&mut self, machine: usize, ask: Ask) -> (Told, bool) {
        let proposed = matches!(ask, Ask::Propose(_));
        let failed = |no_majority| Told::Failed { proposed, no_majority };
        if !matches!(self.variant, Variant::Nothing) {
            let copy = match &ask {
                Ask::Look(began) => Ask::Look(*began),
                Ask::Change => Ask::Change,
                Ask::Propose(value) => Ask::Propose(value.clone()),
            };
            if let Some(told) = self.by_itself(machine, copy) {
                return (told, false);
            }
        }
        let cut_off = self.cut_off.contains(&machine);
        let (lost, minority, meets) =
            (self.part() < self.weather.lost, self.part() < self.weather.minority, self.part() < 0.5);
        let register = &mut self.register;
        match ask {
            _ if cut_off && !proposed => (failed(true), true),
            Ask::Look(began) => {
                if let Some(value) = register.pending.take_if(|_| meets) {
                    // It has the value chosen before it tells of it.
                    register.ticket += 1;
                    self.choose(value);
                }
                match lost {
                    true => (failed(true), true),
                    false => (Told::Holds(self.register.value.clone(), began), false),
                }
            }
            Ask::Change => {
                register.ticket += 1;
                self.machines[machine].ticket = register.ticket;
                let latest = register.pending.clone().filter(|_| meets).or(register.value.clone());
                self.machines[machine].promised = latest.clone();
                match lost {
                    true => (failed(true), true),
                    false => (Told::Promised(latest), false),
                }
            }
            Ask::Propose(value) => {
                let ticket = self.machines[machine].ticket;
                if ticket != register.ticket {
                    return (failed(false), false);
                }
                if cut_off || minority {
                    if minority || meets {
                        register.pending = Some(value);
                    }
                    return (failed(true), true);
                }
                self.choose(value.clone());
                match lost {
                    true => (failed(true), true),
                    false => (Told::Chosen(value), false),
                }
            }
        }
    }

    // ---- time

    fn tick(&mut self, who: Process) {
        let now = self.now;
        match who {
            M(index) => {
                if let Some(control) = self.machines[index].control.as_mut().filter(|c| c.due() <= now) {
                    control.tick(now);
                    self.carry(who);
                }
            }
            G(index) => {
                if let Some(follower) = self.gateways[index].follower.as_mut().filter(|f| f.due() <= now) {
                    follower.tick(now);
                    self.carry(who);
                }
            }
            T(_) => {}
        }
    }

    fn take(&mut self, index: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let Some((began, _, document)) = gateway.taking.take_if(|(_, ends, _)| *ends <= now) else { return };
        let version = document.version();
        let fails = match &document.bytes()[..] {
            bytes if bytes.starts_with(b"bad") => self.variant != Variant::ToolAlone,
            bytes if bytes.starts_with(b"half") => index % 3 == 0,
            _ => false,
        };
        let result = match fails {
            true => {
                gateway.refusals += 1;
                if self.variant == Variant::HalfTaken {
                    gateway.running = Some(document);
                }
                Err("it cannot be used here".to_string())
            }
            false => {
                gateway.disk = Some(document.clone());
                gateway.running = Some(document);
                gateway.takes.push(version.number);
                Ok(())
            }
        };
        let taken = result.is_ok();
        if let Some(follower) = &mut gateway.follower {
            follower.taken(now, version, result);
        }
        self.carry(G(index));
        if taken {
            let newest = self.chosen.iter().rev().find(|(at, _)| *at + SETTLED <= began);
            if let Some((at, newest)) = newest.filter(|(_, newest)| newest.number > version.number) {
                let since = began - *at;
                self.faults
                    .push(format!("gateway {index} takes {version}, {newest} is the newest since {since:?}"));
            }
        }
    }

    /// Runs for a while, and audits after each step.
    pub fn run(&mut self, lasts: Duration) {
        let until = self.now + lasts;
        while self.now < until {
            self.now += STEP;
            self.run_register();
            self.deliver();
            for index in 0..self.machines.len() {
                if self.machines[index].state == State::Up {
                    self.tick(M(index));
                }
            }
            for index in 0..self.gateways.len() {
                if self.gateways[index].state == State::Up {
                    self.take(index);
                    self.tick(G(index));
                }
            }
            self.audit();
        }
    }

    // ---- the audit

    fn numbered(&mut self, version: Version, by: &str) {
        let known = *self.digests.entry(version.number).or_insert(version.digest);
        if known != version.digest {
            self.faults.push(format!(
                "number {} has two digests, {known} and {} at {by}",
                version.number, version.digest
            ));
        }
        if !self.chosen.iter().any(|(_, chosen)| *chosen == version) {
            self.faults.push(format!("version {version} at {by} was never chosen by a majority"));
        }
    }

    fn audit(&mut self) {
        if !self.faults.is_empty() {
            return;
        }
        for index in 0..self.gateways.len() {
            let gateway = &self.gateways[index];
            let (Some(follower), State::Up) = (&gateway.follower, gateway.state) else { continue };
            let standing = follower.standing(self.now);
            let said = standing.in_force;
            let works = gateway.running.as_ref().map(Document::version);
            let bad = gateway.running.as_ref().is_some_and(|running| running.bytes().starts_with(b"bad"));
            let number = works.map_or(0, |version| version.number);
            let fallen = number < gateway.highest && gateway.disk.is_some();
            if said != works || bad {
                self.faults.push(format!("gateway {index} says {said:?}, works by {works:?}, bad {bad}"));
            }
            if fallen {
                let highest = gateway.highest;
                self.faults.push(format!("gateway {index} has gone back from {highest} to {number}"));
            }
            self.gateways[index].highest = number.max(self.gateways[index].highest);
            if let Some(version) = works {
                self.numbered(version, &format!("gateway {index}"));
            }
        }
        for index in 0..self.machines.len() {
            let status = self.machines[index].control.as_ref().map(|control| control.status(self.now));
            if let Some(newest) = status.and_then(|status| status.newest) {
                self.numbered(newest, &format!("control machine {index}"));
            }
        }
    }

    /// An operator has been answered.
    fn answered(&mut self, tool: usize) {
        let ToolRun { request: Message::Put(bytes), answer, .. } = &self.tools[tool] else { return };
        let digest = Digest::of(bytes);
        let chosen = self.chosen.iter().any(|(_, version)| version.digest == digest);
        match answer {
            Some(Message::Accepted(version)) if !self.chosen.iter().any(|(_, known)| known == version) => {
                let fault = format!("tool {tool} was told {version}, which was never chosen");
                self.faults.push(fault);
            }
            Some(Message::Accepted(version)) if version.digest != digest => {
                self.faults.push(format!("tool {tool} was told another document's version, {version}"));
            }
            Some(Message::NotAccepted { why, uncertain: false }) if chosen => {
                self.faults.push(format!("tool {tool} was told for certain that it is none: {why}"));
            }
            _ => {}
        }
    }

    /// Whether a document's number was said not to be one, and it became one later: asked at the end.
    pub fn denied(&self) -> Option<String> {
        self.tools.iter().enumerate().find_map(|(index, tool)| match (&tool.request, &tool.answer) {
            (Message::Put(bytes), Some(Message::NotAccepted { why, uncertain: false })) => {
                let digest = Digest::of(bytes);
                let chosen = self.chosen.iter().any(|(_, version)| version.digest == digest);
                chosen.then(|| {
                    format!("tool {index} was told for certain that it is none, and it became one: {why}")
                })
            }
            _ => None,
        })
    }

    /// The newest version that was chosen.
    pub fn newest(&self) -> Option<Version> {
        self.chosen.last().map(|(_, version)| *version)
    }

    /// Gateways that do not have the newest version in force, and have not refused it.
    pub fn behind(&self) -> Vec<usize> {
        let newest = self.newest();
        let behind = |index: &usize| {
            let Some(follower) = &self.gateways[*index].follower else { return true };
            let standing = follower.standing(self.now);
            standing.in_force != newest && standing.refused.map(|refused| refused.version) != newest
        };
        (0..self.gateways.len()).filter(behind).collect()
    }
}
