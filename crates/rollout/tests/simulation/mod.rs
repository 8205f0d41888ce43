//! A simulation of control servers, gateways and operators in virtual time, with failing disks, concurrent changes of
//! the register, delayed and lost connections, partitions, and processes that are killed, stopped and resumed. A run is
//! determined by its seed; each violation of a rule is recorded as a fault.
//!
//! - this module: the processes, and time;
//! - `network`: the connections between them;
//! - `register`: the register;
//! - `audit`: the rules that are checked after each step.

mod audit;
mod network;
mod register;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dunemount_rollout::connection::ConnectionId;
use dunemount_rollout::control::{self, ControlServer, DocumentStore, InvalidDocument, PersistentState};
use dunemount_rollout::follower::{self, ApplyError, Follower};
use dunemount_rollout::frame::FrameReader;
use dunemount_rollout::settings::{ControlServerInfo, Timeouts};
use dunemount_rollout::version::{Digest, Document, Version};
use dunemount_rollout::wire::Message;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::network::{Packet, SimulatedConnection};
use self::register::{Register, RegisterRequest};

/// Time between two steps of a run.
pub const STEP: Duration = Duration::from_millis(10);
/// This interval and the two limits below are those of the control server's process.
pub const READ_INTERVAL: Duration = Duration::from_millis(500);
pub const FRESHNESS: Duration = Duration::from_secs(2);
pub const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Once a version has been the newest for this long, no gateway may begin to apply an older one: a server may offer the
/// older version while it is fresh, and the message may be in transit for the rest of the time.
const MAX_STALENESS: Duration = Duration::from_millis(3_000);
/// Time after which an operation on the register without an answer fails.
const REGISTER_TIMEOUT: Duration = Duration::from_millis(600);
pub const CONTROL_SERVERS: usize = 6;

/// A deliberate fault in the implementation, which the audit has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// No fault.
    Nothing,
    /// Control servers and gateways do not validate documents, but leave that to the operators' command, which does not
    /// do so here.
    CommandChecksAlone,
    /// A gateway that fails to apply a version runs with it nevertheless.
    PartlyApplied,
    /// A control server answers its reads of the register from the last value that it has read.
    SkipsRead,
    /// A gateway that has missed versions is sent all of them, instead of only the newest.
    EveryVersion,
    /// A control server without a majority assigns numbers by itself.
    NumbersAlone,
    /// Each control server assigns numbers by itself, without a register.
    OwnRegister,
    /// All gateways return to their own zone's server at about the same time.
    ReturnAtOnce,
    /// A disk reports that it has stored a state although it has not.
    LosesWrites,
    /// An operator receives a certain rejection of a document that may still be chosen.
    ClaimsCertainty,
    /// The value in a promise counts as chosen without being proposed again.
    TrustsPromise,
}

/// Probabilities of random faults, and the delay of messages.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Probability that an answer of the register is lost.
    pub lost: f64,
    /// Probability that a proposal reaches only a minority of the voters.
    pub minority: f64,
    /// Longest delay between zones.
    pub delay: Duration,
}

impl Conditions {
    pub const GOOD: Conditions = Conditions { lost: 0.0, minority: 0.0, delay: Duration::from_millis(20) };
    pub const BAD: Conditions = Conditions { lost: 0.1, minority: 0.15, delay: Duration::from_millis(120) };
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Process {
    ControlServer(usize),
    Gateway(usize),
    Command(usize),
}
use Process::{Command, ControlServer as Server, Gateway};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    Stopped,
    Down,
}

/// A control server's disk, and its validation of documents.
struct MemoryStore {
    file: Vec<u8>,
    /// Whether stores fail.
    broken: bool,
    /// Whether documents are validated.
    validates: bool,
    /// Whether stores report success without storing.
    loses_writes: bool,
}

impl DocumentStore for MemoryStore {
    fn validate(&mut self, document: &[u8], _: Option<&Document>) -> Result<(), InvalidDocument> {
        match document.starts_with(b"bad") && self.validates {
            true => Err(InvalidDocument("line 1: bad".to_string())),
            false => Ok(()),
        }
    }

    fn store(&mut self, state: &PersistentState) -> bool {
        if !self.broken && !self.loses_writes {
            self.file = state.to_file();
        }
        !self.broken
    }
}

pub struct ControlServerRun {
    pub control: Option<ControlServer>,
    store: MemoryStore,
    pub state: State,
    incarnation: u64,
    /// The ballot of the register's last promise.
    ballot: u64,
    /// The register's value that it has last read or chosen.
    last_value: Option<Vec<u8>>,
    /// The value of the register's last promise.
    promised: Option<Vec<u8>>,
}

pub struct GatewayRun {
    pub follower: Option<Follower>,
    pub zone: usize,
    pub state: State,
    incarnation: u64,
    pub disk: Option<Document>,
    /// The version that it is running with.
    pub running: Option<Document>,
    applying: Option<Applying>,
    /// The highest version number that it ever had in force.
    highest: u64,
    /// Numbers of the versions that it has applied, in order.
    pub applied: Vec<u64>,
    pub rejections: usize,
}

/// A version that a gateway is applying.
struct Applying {
    document: Document,
    started_at: Duration,
    ends_at: Duration,
}

pub struct CommandRun {
    server: usize,
    request: Message,
    frames: FrameReader,
    pub sent: Duration,
    pub answer: Option<Message>,
    pub answered: Duration,
    ended: bool,
}

pub struct Simulation {
    pub now: Duration,
    pub rng: Pcg64Mcg,
    pub conditions: Conditions,
    variant: Variant,
    pub control_servers: Vec<ControlServerRun>,
    pub gateways: Vec<GatewayRun>,
    pub commands: Vec<CommandRun>,
    connections: BTreeMap<u64, SimulatedConnection>,
    last_serial: u64,
    last_incarnation: u64,
    /// Pairs of zones that cannot reach each other, the lower one first.
    pub partitions: BTreeSet<(usize, usize)>,
    /// Control servers that reach no majority of the voters.
    pub without_majority: BTreeSet<usize>,
    register: Register,
    /// All versions that were chosen, with the time of the choice.
    pub chosen: Vec<(Duration, Version)>,
    documents: BTreeMap<Digest, Arc<[u8]>>,
    digests: BTreeMap<u64, Digest>,
    pub faults: Vec<String>,
    /// Number of connection attempts of gateways, by server and second.
    pub connection_attempts: BTreeMap<(usize, u64), usize>,
    pub timeouts: Timeouts,
    /// Digest of all outputs of control servers and gateways with their times, in order.
    pub decisions: Digest,
}

fn zone(index: usize) -> String {
    format!("zone-{index}")
}

pub fn control_servers(count: usize) -> Vec<ControlServerInfo> {
    (0..count).map(|index| ControlServerInfo { name: format!("ctl-{index}"), zone: zone(index) }).collect()
}

impl Simulation {
    /// Starts one control server in each of six zones, and gateways in the given zones.
    pub fn new(seed: u64, zones: &[usize], conditions: Conditions, variant: Variant) -> Simulation {
        let mut timeouts = Timeouts::default();
        if variant == Variant::ReturnAtOnce {
            timeouts.return_window = Duration::from_millis(300);
        }
        let server = || ControlServerRun {
            control: None,
            store: MemoryStore {
                file: Vec::new(),
                broken: false,
                validates: variant != Variant::CommandChecksAlone,
                loses_writes: variant == Variant::LosesWrites,
            },
            state: State::Down,
            incarnation: 0,
            ballot: 0,
            last_value: None,
            promised: None,
        };
        let gateway = |zone: &usize| GatewayRun {
            follower: None,
            zone: *zone,
            state: State::Down,
            incarnation: 0,
            disk: None,
            running: None,
            applying: None,
            highest: 0,
            applied: Vec::new(),
            rejections: 0,
        };
        let mut simulation = Simulation {
            now: Duration::ZERO,
            rng: Pcg64Mcg::seed_from_u64(seed),
            conditions,
            variant,
            control_servers: (0..CONTROL_SERVERS).map(|_| server()).collect(),
            gateways: zones.iter().map(gateway).collect(),
            commands: Vec::new(),
            connections: BTreeMap::new(),
            last_serial: 0,
            last_incarnation: 0,
            partitions: BTreeSet::new(),
            without_majority: BTreeSet::new(),
            register: Register::default(),
            chosen: Vec::new(),
            documents: BTreeMap::new(),
            digests: BTreeMap::new(),
            faults: Vec::new(),
            connection_attempts: BTreeMap::new(),
            timeouts,
            decisions: Digest([0; 32]),
        };
        (0..CONTROL_SERVERS).for_each(|index| simulation.start(Server(index)));
        (0..zones.len()).for_each(|index| simulation.start(Gateway(index)));
        simulation
    }

    pub fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    pub fn random_index(&mut self, of: usize) -> usize {
        (self.rng.next_u64() % of as u64) as usize
    }

    // ---- processes

    /// Starts a process that is down with the state on its disk.
    pub fn start(&mut self, process: Process) {
        self.last_incarnation += 1;
        let (seed, incarnation, now, timeouts) =
            (self.rng.next_u64(), self.last_incarnation, self.now, self.timeouts);
        match process {
            Server(index) => {
                let server = &mut self.control_servers[index];
                if server.state != State::Down {
                    return;
                }
                let stored = match server.store.file.is_empty() {
                    true => PersistentState::default(),
                    false => PersistentState::from_file(&server.store.file).expect("a complete file"),
                };
                let settings = control::Settings {
                    fleet: "test".to_string(),
                    name: format!("ctl-{index}"),
                    servers: control_servers(CONTROL_SERVERS),
                    timeouts,
                    read_interval: READ_INTERVAL,
                    freshness: FRESHNESS,
                    proposal_timeout: PROPOSAL_TIMEOUT,
                    seed,
                };
                server.control = Some(ControlServer::new(settings, stored, now));
                (server.state, server.incarnation) = (State::Up, incarnation);
            }
            Gateway(index) => {
                let gateway = &mut self.gateways[index];
                if gateway.state != State::Down {
                    return;
                }
                let settings = follower::Settings {
                    fleet: "test".to_string(),
                    name: format!("gw-{index}"),
                    zone: zone(gateway.zone),
                    servers: control_servers(CONTROL_SERVERS),
                    timeouts,
                    seed,
                };
                let in_force = gateway.disk.as_ref().map(Document::version);
                gateway.follower = Some(Follower::new(settings, in_force, now));
                gateway.running = gateway.disk.clone();
                (gateway.state, gateway.incarnation) = (State::Up, incarnation);
            }
            Command(_) => {}
        }
        self.carry_out(process);
    }

    /// Kills a process. The state on its disk is kept.
    pub fn kill(&mut self, process: Process) {
        let incarnation = self.incarnation_of(process);
        match process {
            Server(index) => {
                (self.control_servers[index].control, self.control_servers[index].state) =
                    (None, State::Down);
            }
            Gateway(index) => {
                let stored = self.random_fraction() < 0.5;
                let gateway = &mut self.gateways[index];
                let is_good = |applying: &mut Applying| applying.document.bytes().starts_with(b"good");
                if let Some(Applying { document, .. }) =
                    gateway.applying.take_if(|applying| stored && is_good(applying))
                {
                    // The version was stored, but not reported yet.
                    gateway.disk = Some(document);
                }
                (gateway.follower, gateway.state, gateway.applying) = (None, State::Down, None);
                gateway.running = None;
            }
            Command(_) => {}
        }
        let serials: Vec<u64> = self.connections.keys().copied().collect();
        for serial in serials {
            for side in 0..2 {
                let end = &mut self.connections.get_mut(&serial).expect("an open connection").ends[side];
                if end.process == process
                    && end.incarnation == incarnation
                    && end.connection_id.is_some()
                    && !end.closed
                {
                    end.closed = true;
                    self.enqueue(serial, 1 - side, Packet::Fin);
                }
            }
        }
    }

    /// Stops a process: its sockets stay open and buffer messages.
    pub fn stop(&mut self, process: Process) {
        match process {
            Server(index) if self.control_servers[index].state == State::Up => {
                self.control_servers[index].state = State::Stopped;
            }
            Gateway(index) if self.gateways[index].state == State::Up => {
                self.gateways[index].state = State::Stopped;
            }
            _ => {}
        }
    }

    /// Resumes a stopped process, which at random runs its timers before it reads from its sockets.
    pub fn resume(&mut self, process: Process) {
        match process {
            Server(index) if self.control_servers[index].state == State::Stopped => {
                self.control_servers[index].state = State::Up;
            }
            Gateway(index) if self.gateways[index].state == State::Stopped => {
                self.gateways[index].state = State::Up;
            }
            _ => return,
        }
        if self.random_fraction() < 0.5 {
            self.tick(process);
        }
    }

    /// Ends all faults: resumes and starts all processes, and repairs disks and connections.
    pub fn end_faults(&mut self) {
        self.conditions = Conditions::GOOD;
        self.partitions.clear();
        self.without_majority.clear();
        for index in 0..self.control_servers.len() {
            self.control_servers[index].store.broken = false;
            self.resume(Server(index));
            self.start(Server(index));
        }
        for index in 0..self.gateways.len() {
            self.resume(Gateway(index));
            self.start(Gateway(index));
        }
    }

    pub fn break_disk(&mut self, index: usize, broken: bool) {
        self.control_servers[index].store.broken = broken;
    }

    /// Partitions the two regions, zones 0 to 2 and 3 to 5. The first one keeps the majority of the voters.
    pub fn partition_regions(&mut self) {
        for a in 0..3 {
            for b in 3..6 {
                self.partitions.insert((a, b));
            }
        }
        self.without_majority.extend(3..6);
    }

    /// Restarts a control server with an empty disk.
    pub fn lose_disk(&mut self, index: usize) {
        self.kill(Server(index));
        self.control_servers[index].store.file.clear();
        self.start(Server(index));
    }

    fn incarnation_of(&self, process: Process) -> u64 {
        match process {
            Server(index) => self.control_servers[index].incarnation,
            Gateway(index) => self.gateways[index].incarnation,
            Command(_) => 0,
        }
    }

    fn zone_of(&self, process: Process) -> usize {
        match process {
            Server(index) => index,
            Gateway(index) => self.gateways[index].zone,
            Command(index) => self.commands[index].server,
        }
    }

    fn is_partitioned(&self, a: Process, b: Process) -> bool {
        let (a, b) = (self.zone_of(a), self.zone_of(b));
        self.partitions.contains(&(a.min(b), a.max(b)))
    }

    // ---- operators

    /// Sends a request of the operators' command to a control server. Returns the command's index.
    pub fn send_request(&mut self, server: usize, request: Message) -> usize {
        let command = self.commands.len();
        self.commands.push(CommandRun {
            server,
            request,
            frames: FrameReader::default(),
            sent: self.now,
            answer: None,
            answered: Duration::ZERO,
            ended: false,
        });
        self.connect(Command(command), ConnectionId(command as u64 + 1), server);
        command
    }

    /// Proposes a document at a control server. Returns the command's index.
    pub fn propose_document(&mut self, server: usize, document: &str) -> usize {
        let bytes: Arc<[u8]> = document.as_bytes().into();
        self.documents.insert(Digest::of(&bytes), bytes.clone());
        self.send_request(server, Message::Propose(bytes))
    }

    // ---- outputs of processes

    /// Adds an output to the digest of all decisions. The names of processes and outputs are part of the digests in the
    /// fixture, so they must not change.
    fn record_output(&mut self, process: Process, kind: &str, number: u64, bytes: &[u8]) {
        let (of, index) = match process {
            Server(index) => ("machine", index),
            Gateway(index) => ("gateway", index),
            Command(index) => ("tool", index),
        };
        let line = format!("{} {of} {index} {kind} {number} ", self.now.as_nanos());
        self.decisions = Digest::of(&[&self.decisions.0, line.as_bytes(), bytes].concat());
    }

    fn record_control_output(&mut self, process: Process, output: &control::Output) {
        match output {
            control::Output::Connect(connection_id, server) => {
                self.record_output(process, "connect", connection_id.0, &server.to_be_bytes());
            }
            control::Output::Send(connection_id, bytes) => {
                self.record_output(process, "send", connection_id.0, bytes);
            }
            control::Output::Close(connection_id) => {
                self.record_output(process, "close", connection_id.0, &[]);
            }
            control::Output::ReadRegister => self.record_output(process, "look", 0, &[]),
            control::Output::PrepareChange => self.record_output(process, "change", 0, &[]),
            control::Output::Propose(value) => self.record_output(process, "propose", 0, value),
            control::Output::AbandonChange => self.record_output(process, "withdraw", 0, &[]),
            control::Output::Log(text) => self.record_output(process, "note", 0, text.as_bytes()),
        }
    }

    fn record_gateway_output(&mut self, process: Process, output: &follower::Output) {
        match output {
            follower::Output::Connect(connection_id, server) => {
                self.record_output(process, "connect", connection_id.0, &server.to_be_bytes());
            }
            follower::Output::Send(connection_id, bytes) => {
                self.record_output(process, "send", connection_id.0, bytes);
            }
            follower::Output::Close(connection_id) => {
                self.record_output(process, "close", connection_id.0, &[]);
            }
            follower::Output::Apply(document) => {
                self.record_output(process, "take", document.version().number, document.bytes());
            }
        }
    }

    fn carry_out(&mut self, process: Process) {
        match process {
            Server(index) => {
                while let Some(output) =
                    self.control_servers[index].control.as_mut().and_then(ControlServer::next_output)
                {
                    self.record_control_output(process, &output);
                    match output {
                        control::Output::Connect(connection_id, server) => {
                            self.connect(process, connection_id, server);
                        }
                        control::Output::Send(connection_id, bytes) => {
                            self.send(process, connection_id, bytes);
                        }
                        control::Output::Close(connection_id) => self.close(process, connection_id),
                        control::Output::ReadRegister => self.request(index, RegisterRequest::Read(self.now)),
                        control::Output::PrepareChange => self.request(index, RegisterRequest::Prepare),
                        control::Output::Propose(value) => {
                            self.request(index, RegisterRequest::Propose(value));
                        }
                        control::Output::AbandonChange => self.control_servers[index].ballot = 0,
                        control::Output::Log(_) => {}
                    }
                }
            }
            Gateway(index) => {
                while let Some(output) =
                    self.gateways[index].follower.as_mut().and_then(Follower::next_output)
                {
                    self.record_gateway_output(process, &output);
                    match output {
                        follower::Output::Connect(connection_id, server) => {
                            self.connect(process, connection_id, server);
                        }
                        follower::Output::Send(connection_id, bytes) => {
                            self.send(process, connection_id, bytes);
                        }
                        follower::Output::Close(connection_id) => self.close(process, connection_id),
                        follower::Output::Apply(document) => {
                            let duration = Duration::from_millis(10 + self.random_index(50) as u64);
                            let gateway = &mut self.gateways[index];
                            if gateway.applying.is_some() {
                                self.faults.push(format!("gateway {index} is to apply two versions at once"));
                            }
                            let (started_at, ends_at) = (self.now, self.now + duration);
                            self.gateways[index].applying = Some(Applying { document, started_at, ends_at });
                        }
                    }
                }
            }
            Command(_) => {}
        }
    }

    // ---- time

    fn tick(&mut self, process: Process) {
        let now = self.now;
        match process {
            Server(index) => {
                if let Some(control) =
                    self.control_servers[index].control.as_mut().filter(|c| c.next_tick() <= now)
                {
                    control.tick(now);
                    self.carry_out(process);
                }
            }
            Gateway(index) => {
                if let Some(follower) =
                    self.gateways[index].follower.as_mut().filter(|f| f.next_tick() <= now)
                {
                    follower.tick(now);
                    self.carry_out(process);
                }
            }
            Command(_) => {}
        }
    }

    fn finish_applying(&mut self, index: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let applying = gateway.applying.take_if(|applying| applying.ends_at <= now);
        let Some(Applying { document, started_at, .. }) = applying else { return };
        let version = document.version();
        let fails = match &document.bytes()[..] {
            bytes if bytes.starts_with(b"bad") => self.variant != Variant::CommandChecksAlone,
            bytes if bytes.starts_with(b"half") => index % 3 == 0,
            _ => false,
        };
        let result = match fails {
            true => {
                gateway.rejections += 1;
                if self.variant == Variant::PartlyApplied {
                    gateway.running = Some(document);
                }
                Err(ApplyError("it cannot be used here".to_string()))
            }
            false => {
                gateway.disk = Some(document.clone());
                gateway.running = Some(document);
                gateway.applied.push(version.number);
                Ok(())
            }
        };
        let is_applied = result.is_ok();
        if let Some(follower) = &mut gateway.follower {
            follower.handle_applied(now, version, result);
        }
        self.carry_out(Gateway(index));
        if is_applied {
            let newest = self.chosen.iter().rev().find(|(at, _)| *at + MAX_STALENESS <= started_at);
            if let Some((at, newest)) = newest.filter(|(_, newest)| newest.number > version.number) {
                let since = started_at - *at;
                self.faults.push(format!(
                    "gateway {index} applied {version}, {newest} is the newest since {since:?}"
                ));
            }
        }
    }

    /// Runs the simulation for this time, and audits it after each step.
    pub fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP;
            self.run_register();
            self.deliver();
            for index in 0..self.control_servers.len() {
                if self.control_servers[index].state == State::Up {
                    self.tick(Server(index));
                }
            }
            for index in 0..self.gateways.len() {
                if self.gateways[index].state == State::Up {
                    self.finish_applying(index);
                    self.tick(Gateway(index));
                }
            }
            self.audit();
        }
    }
}
