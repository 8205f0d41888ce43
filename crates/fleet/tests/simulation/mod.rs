//! A simulated fleet in virtual time: acceptors with files, processes that contend for a lease, receivers of orders,
//! and links that lose, duplicate and delay messages or are partitioned. The same seed gives the same run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use dunemount_fleet::acceptor::{Acceptor, RequestOutcome};
use dunemount_fleet::acceptor_knowledge::AcceptorKnowledge;
use dunemount_fleet::fencing::FencingGuard;
use dunemount_fleet::lease::{LeaseContender, LeaseEvent, LeaseSettings};
use dunemount_fleet::messages::{AcceptorReply, AcceptorRequest, Operation};
use dunemount_fleet::node_id::NodeId;
use dunemount_fleet::proposer::RoundEvent;
use dunemount_fleet::reconfiguration::Reconfiguration;
use dunemount_fleet::register::{AcceptorSlot, Key};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const LEASE: Duration = Duration::from_millis(3_000);
pub const ROLE: &str = "survey/1";
const TICK: Duration = Duration::from_millis(20);
const RECEIVERS: usize = 2;

/// A bug that is injected to verify that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    None,
    /// An acceptor loses its state in a crash and participates at once.
    AcceptorForgets,
    /// An acceptor replies before its state is stored.
    RepliesBeforeStore,
    /// An acceptor that has lost its file is admitted without the registers of the others.
    AdmittedWithoutState,
    /// Receivers carry out every order, whatever its epoch.
    NoFencing,
    /// Contenders wait for less time than a holder relies on its lease.
    ContendersDoNotWait,
}

/// The faults that may occur in a run.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message arrives twice.
    pub duplication: f64,
    pub max_delay: Duration,
    pub crashes: bool,
    pub pauses: bool,
    pub partitions: bool,
    /// Whether acceptors lose their file in a crash, one at a time.
    pub lost_files: bool,
    /// The largest deviation of a clock's rate in either direction, as a fraction.
    pub clock_drift: f64,
}

impl Conditions {
    pub const FAULTLESS: Conditions = Conditions {
        loss: 0.0,
        duplication: 0.0,
        max_delay: Duration::from_millis(2),
        crashes: false,
        pauses: false,
        partitions: false,
        lost_files: false,
        clock_drift: 0.0,
    };
    pub const FAULTY: Conditions = Conditions {
        loss: 0.1,
        duplication: 0.1,
        max_delay: Duration::from_millis(120),
        crashes: true,
        pauses: true,
        partitions: true,
        lost_files: false,
        clock_drift: 0.02,
    };
}

enum Event {
    Request { acceptor: usize, from: usize, start: u64, request: AcceptorRequest },
    Reply { to: usize, start: u64, reply: AcceptorReply },
    Tick(usize),
    Order { receiver: usize, epoch: u64 },
    Fault,
    Recovery(Fault),
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    AcceptorDown(usize),
    ProcessDown(usize),
    ProcessPaused(usize),
    ProcessIsolated(usize),
}

/// A process that contends for the lease.
struct Process {
    id: NodeId,
    start: u64,
    clock_speed: f64,
    is_up: bool,
    is_paused: bool,
    is_isolated: bool,
    lease: LeaseContender,
    knowledge: AcceptorKnowledge,
    reconfiguration: Option<Reconfiguration>,
}

struct AcceptorNode {
    acceptor: Acceptor,
    file: Option<Vec<u8>>,
    is_up: bool,
}

/// The results of a run.
#[derive(Debug, Default)]
pub struct Observations {
    /// The processes that acquired the lease under each epoch.
    pub holders: BTreeMap<u64, BTreeSet<NodeId>>,
    /// For each receiver, the epochs of the orders carried out, in order.
    pub carried_out: Vec<Vec<u64>>,
    pub rejected_orders: u64,
    /// Number of events after which more than one process could give orders.
    pub overlaps: u64,
    pub admissions: u64,
}

impl Observations {
    /// Describes a violation of the rules of the fleet, if there is one.
    pub fn violation(&self) -> Option<String> {
        if let Some((epoch, holders)) = self.holders.iter().find(|(_, holders)| holders.len() > 1) {
            return Some(format!("epoch {epoch} has the holders {holders:?}"));
        }
        for (receiver, epochs) in self.carried_out.iter().enumerate() {
            if let Some(pair) = epochs.windows(2).find(|pair| pair[0] > pair[1]) {
                return Some(format!("receiver {receiver} carried out epoch {} after {}", pair[1], pair[0]));
            }
        }
        None
    }
}

pub struct Simulation {
    pub now: Duration,
    /// Time, sequence number and index into `events`, earliest first.
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: Vec<Option<Event>>,
    sequence: u64,
    rng: Pcg64Mcg,
    conditions: Conditions,
    bug: InjectedBug,
    acceptor_nodes: Vec<AcceptorNode>,
    processes: Vec<Process>,
    guards: Vec<FencingGuard>,
    files_created: u32,
    last_id: u64,
    faults_ended: bool,
    pub observations: Observations,
}

fn lease_settings(bug: InjectedBug) -> LeaseSettings {
    let max_clock_drift = if bug == InjectedBug::ContendersDoNotWait { -0.9 } else { 0.05 };
    LeaseSettings { duration: LEASE, max_clock_drift, resend_interval: Duration::from_millis(150) }
}

impl Simulation {
    pub fn new(
        seed: u64,
        acceptors: usize,
        processes: usize,
        conditions: Conditions,
        bug: InjectedBug,
    ) -> Simulation {
        let mut simulation = Simulation {
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            conditions,
            bug,
            acceptor_nodes: Vec::new(),
            processes: Vec::new(),
            guards: vec![FencingGuard::default(); RECEIVERS],
            files_created: 0,
            last_id: 0,
            faults_ended: false,
            observations: Observations {
                carried_out: vec![Vec::new(); RECEIVERS],
                ..Observations::default()
            },
        };
        for slot in 0..acceptors {
            let acceptor = Acceptor::founding(AcceptorSlot(slot as u8));
            simulation.acceptor_nodes.push(AcceptorNode {
                file: acceptor.file_bytes(),
                acceptor,
                is_up: true,
            });
        }
        for index in 0..processes {
            let process = simulation.new_process(acceptors);
            simulation.processes.push(process);
            simulation.schedule(Duration::from_millis(index as u64), Event::Tick(index));
        }
        simulation.schedule(Duration::from_millis(500), Event::Fault);
        simulation
    }

    fn new_process(&mut self, acceptors: usize) -> Process {
        self.last_id += 1;
        let id = NodeId(self.last_id);
        let clock_speed = 1.0 + self.conditions.clock_drift * (2.0 * self.random_fraction() - 1.0);
        Process {
            id,
            start: self.last_id,
            clock_speed,
            is_up: true,
            is_paused: false,
            is_isolated: false,
            lease: LeaseContender::new(id, ROLE.to_string(), lease_settings(self.bug)),
            knowledge: AcceptorKnowledge::new(acceptors as u8, self.last_id << 32),
            reconfiguration: None,
        }
    }

    fn random_fraction(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn random_index(&mut self, length: usize) -> usize {
        (self.rng.next_u64() % length as u64) as usize
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Some(event));
        self.queue.push(Reverse((self.now + after, self.sequence, self.events.len() - 1)));
    }

    /// Sends a message over a link, which may lose, duplicate or delay it.
    fn send(&mut self, is_isolated: bool, event: impl Fn() -> Event) {
        let copies = if self.random_fraction() < self.conditions.duplication { 2 } else { 1 };
        for _ in 0..copies {
            let is_lost = is_isolated || !self.faults_ended && self.random_fraction() < self.conditions.loss;
            // Most messages arrive soon, a few very late.
            let lateness = if self.random_fraction() < 0.02 && !self.faults_ended { 40.0 } else { 1.0 };
            let delay = self.conditions.max_delay.mul_f64(self.random_fraction() * lateness);
            if !is_lost {
                self.schedule(delay, event());
            }
        }
    }

    /// Handles all events up to a time.
    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, _, index))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events[index].take() {
                self.handle_event(event);
            }
            self.observations.overlaps += u64::from(self.holders().len() > 1);
        }
        self.now = until;
    }

    /// Ends all faults.
    pub fn end_faults(&mut self) {
        self.faults_ended = true;
        for index in 0..self.acceptor_nodes.len() {
            self.recover(Fault::AcceptorDown(index));
        }
        for index in 0..self.processes.len() {
            self.recover(Fault::ProcessDown(index));
            self.recover(Fault::ProcessPaused(index));
            self.recover(Fault::ProcessIsolated(index));
        }
    }

    /// The processes that may give orders now.
    pub fn holders(&self) -> Vec<NodeId> {
        let may_order = |process: &&Process| {
            let local_now = self.now.mul_f64(process.clock_speed);
            process.is_up && !process.is_paused && process.lease.valid_epoch(local_now).is_some()
        };
        self.processes.iter().filter(may_order).map(|process| process.id).collect()
    }

    /// Describes the acceptors and the processes' knowledge about them, for a failed run.
    pub fn describe(&self) -> String {
        let describe_acceptor = |node: &AcceptorNode| {
            let acceptor = &node.acceptor;
            let (slot, generation) = (acceptor.slot(), acceptor.generation());
            format!("{slot:?} up {} file {generation} set {:?}; ", node.is_up, acceptor.acceptors())
        };
        let describe_process = |process: &Process| {
            format!("{:?} {:?} {:?}; ", process.id, process.knowledge, process.reconfiguration)
        };
        let acceptors = self.acceptor_nodes.iter().map(describe_acceptor);
        acceptors.chain(self.processes.iter().map(describe_process)).collect()
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Request { acceptor, from, start, request } => {
                self.handle_request(acceptor, from, start, request);
            }
            Event::Reply { to, start, reply } => self.handle_reply(to, start, &reply),
            Event::Tick(index) => self.tick(index),
            Event::Order { receiver, epoch } => self.handle_order(receiver, epoch),
            Event::Fault => self.draw_fault(),
            Event::Recovery(fault) => self.recover(fault),
        }
    }

    fn handle_order(&mut self, receiver: usize, epoch: u64) {
        let is_admitted = self.guards[receiver].admit(ROLE, epoch).is_ok();
        if is_admitted || self.bug == InjectedBug::NoFencing {
            self.observations.carried_out[receiver].push(epoch);
        } else {
            self.observations.rejected_orders += 1;
        }
    }

    fn handle_request(&mut self, index: usize, from: usize, start: u64, request: AcceptorRequest) {
        let crashes = self.conditions.crashes && !self.faults_ended && self.random_fraction() < 0.01;
        let node = &mut self.acceptor_nodes[index];
        if !node.is_up {
            return;
        }
        let reply = match node.acceptor.handle_request(request) {
            RequestOutcome::Reply(reply) => reply,
            RequestOutcome::Store(pending) => {
                let bytes = pending.file_bytes();
                if crashes && self.bug != InjectedBug::RepliesBeforeStore {
                    // A crash during the store: the file is the old or the new one, and no reply is sent.
                    if bytes.len() % 2 == 0 {
                        node.file = Some(bytes);
                    }
                    return self.inject(Fault::AcceptorDown(index));
                }
                if !crashes {
                    node.file = Some(bytes);
                }
                pending.stored()
            }
        };
        let is_isolated = self.processes[from].is_isolated;
        self.send(is_isolated, || Event::Reply { to: from, start, reply: reply.clone() });
        if crashes {
            self.inject(Fault::AcceptorDown(index));
        }
    }

    fn handle_reply(&mut self, to: usize, start: u64, reply: &AcceptorReply) {
        let process = &mut self.processes[to];
        if !process.is_up || process.start != start {
            return;
        }
        if process.is_paused {
            // The reply stays in the process's receive buffer until the process resumes.
            let reply = reply.clone();
            return self.schedule(TICK, Event::Reply { to, start, reply });
        }
        let local_now = self.now.mul_f64(process.clock_speed);
        let active = process.reconfiguration.as_mut();
        if let Some(reconfiguration) = active.filter(|active| active.nonce() == reply.nonce) {
            let event = reconfiguration.handle_reply(reply);
            process.knowledge.record_event(&event);
            if reconfiguration.is_done() {
                process.knowledge.uninitialized.clear();
                self.observations.admissions += 1;
                process.reconfiguration = None;
            } else if event != RoundEvent::None {
                process.reconfiguration = None;
            }
        }
        let mut requests = Vec::new();
        let Process { lease, knowledge, .. } = process;
        let event = lease.handle_reply(local_now, reply, knowledge, &mut self.rng, &mut requests);
        self.record_event(to, event);
        self.send_requests(to, requests);
    }

    fn tick(&mut self, index: usize) {
        let jitter = TICK.mul_f64(0.5 + self.random_fraction());
        self.schedule(jitter, Event::Tick(index));
        let rank = Some(index as u32);
        let process = &mut self.processes[index];
        if !process.is_up || process.is_paused {
            return;
        }
        let local_now = self.now.mul_f64(process.clock_speed);
        let mut requests = Vec::new();
        let Process { lease, knowledge, .. } = process;
        let event = lease.tick(local_now, rank, knowledge, &mut self.rng, &mut requests);
        help_acceptors(process, self.sequence, self.bug, &mut requests);
        // A holder may be paused between the check of its lease and the order.
        let valid_epoch = process.lease.valid_epoch(local_now);
        self.record_event(index, event);
        self.send_requests(index, requests);
        if let Some(epoch) = valid_epoch.filter(|_| self.random_fraction() < 0.3) {
            self.send_order(index, epoch);
        }
    }

    fn send_order(&mut self, index: usize, epoch: u64) {
        let receiver = self.random_index(RECEIVERS);
        if self.conditions.pauses && !self.faults_ended && self.random_fraction() < 0.005 {
            let pause = LEASE.mul_f64(0.5 + 3.0 * self.random_fraction());
            self.processes[index].is_paused = true;
            self.schedule(pause, Event::Recovery(Fault::ProcessPaused(index)));
            return self.schedule(pause, Event::Order { receiver, epoch });
        }
        let is_isolated = self.processes[index].is_isolated;
        self.send(is_isolated, || Event::Order { receiver, epoch });
    }

    fn send_requests(&mut self, from: usize, requests: Vec<(AcceptorSlot, AcceptorRequest)>) {
        let Process { start, is_isolated, .. } = self.processes[from];
        for (slot, request) in requests {
            let acceptor = usize::from(slot.0);
            self.send(is_isolated, || Event::Request { acceptor, from, start, request: request.clone() });
        }
    }

    fn record_event(&mut self, index: usize, event: Option<LeaseEvent>) {
        if let Some(LeaseEvent::Acquired { epoch }) = event {
            self.observations.holders.entry(epoch).or_default().insert(self.processes[index].id);
        }
    }

    fn draw_fault(&mut self) {
        let next = Duration::from_millis(200).mul_f64(1.0 + 20.0 * self.random_fraction());
        self.schedule(next, Event::Fault);
        if self.faults_ended {
            return;
        }
        let conditions = self.conditions;
        let acceptor = self.random_index(self.acceptor_nodes.len());
        let process = self.random_index(self.processes.len());
        let holder = self.holders().first().copied();
        let holder = self.processes.iter().position(|process| Some(process.id) == holder);
        // Faults hit the holder more often than other processes.
        let process = if self.random_fraction() < 0.5 { holder.unwrap_or(process) } else { process };
        let fault = match self.random_index(4) {
            0 if conditions.crashes => Fault::AcceptorDown(acceptor),
            1 if conditions.crashes => Fault::ProcessDown(process),
            2 if conditions.pauses => Fault::ProcessPaused(process),
            3 if conditions.partitions => Fault::ProcessIsolated(process),
            _ => return,
        };
        self.inject(fault);
    }

    fn inject(&mut self, fault: Fault) {
        let duration = Duration::from_millis(100).mul_f64(1.0 + 80.0 * self.random_fraction());
        match fault {
            Fault::AcceptorDown(index) => {
                let all_take_part =
                    self.acceptor_nodes.iter().all(|node| node.is_up && !node.acceptor.is_uninitialized());
                let node = &mut self.acceptor_nodes[index];
                node.is_up = false;
                if self.conditions.lost_files && all_take_part {
                    node.file = None;
                }
            }
            Fault::ProcessDown(index) => self.processes[index].is_up = false,
            Fault::ProcessPaused(index) => self.processes[index].is_paused = true,
            Fault::ProcessIsolated(index) => self.processes[index].is_isolated = true,
        }
        self.schedule(duration, Event::Recovery(fault));
    }

    fn recover(&mut self, fault: Fault) {
        match fault {
            Fault::AcceptorDown(index) if !self.acceptor_nodes[index].is_up => self.restart_acceptor(index),
            Fault::ProcessDown(index) if !self.processes[index].is_up => {
                self.processes[index] = self.new_process(self.acceptor_nodes.len());
            }
            Fault::AcceptorDown(_) | Fault::ProcessDown(_) => {}
            Fault::ProcessPaused(index) => self.processes[index].is_paused = false,
            Fault::ProcessIsolated(index) => self.processes[index].is_isolated = false,
        }
    }

    fn restart_acceptor(&mut self, index: usize) {
        self.files_created += 1;
        let (slot, salt) = (AcceptorSlot(index as u8), 1_000 + self.files_created);
        let node = &mut self.acceptor_nodes[index];
        node.is_up = true;
        node.acceptor = match &node.file {
            _ if self.bug == InjectedBug::AcceptorForgets => Acceptor::founding(slot),
            Some(file) => Acceptor::from_file(slot, file).expect("a complete file"),
            None => Acceptor::uninitialized(slot, salt),
        };
    }
}

/// Sends requests to acceptors that have an outdated acceptor set or have lost their file, as any process does that
/// notices them.
fn help_acceptors(
    process: &mut Process,
    sequence: u64,
    bug: InjectedBug,
    requests: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
) {
    let knowledge = &mut process.knowledge;
    for slot in std::mem::take(&mut knowledge.outdated) {
        let (nonce, acceptors) = (knowledge.next_nonce(), knowledge.acceptors.clone());
        let operation = Operation::Reconfigure { after: Key::new() };
        requests.push((slot, AcceptorRequest { acceptors, nonce, operation }));
    }
    let uninitialized = knowledge.uninitialized.first().copied();
    if let (None, Some((slot, generation))) = (&process.reconfiguration, uninitialized) {
        let (nonce, acceptor_count) = (knowledge.next_nonce(), knowledge.acceptor_count);
        let (acceptors, store_counts) = (knowledge.acceptors.clone(), knowledge.store_counts.clone());
        let reconfiguration =
            Reconfiguration::new(slot, generation, &acceptors, nonce, acceptor_count, store_counts);
        process.reconfiguration = Some(reconfiguration);
    }
    if let Some(reconfiguration) = process.reconfiguration.as_ref().filter(|_| sequence % 4 == 0) {
        let pending = reconfiguration.pending_requests().into_iter();
        requests.extend(pending.map(|(slot, request)| (slot, with_bug(request, bug))));
    }
}

fn with_bug(request: AcceptorRequest, bug: InjectedBug) -> AcceptorRequest {
    match request.operation {
        Operation::InstallState { .. } if bug == InjectedBug::AdmittedWithoutState => {
            let operation = Operation::InstallState { registers: BTreeMap::new(), total: 0 };
            AcceptorRequest { operation, ..request }
        }
        _ => request,
    }
}
