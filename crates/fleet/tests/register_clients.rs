//! Reads and changes of a register by several processes in virtual time, with lost messages and partitions: no outcome
//! contradicts an earlier one.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use dunemount_fleet::acceptor::{Acceptor, RequestOutcome};
use dunemount_fleet::acceptor_knowledge::AcceptorKnowledge;
use dunemount_fleet::lease::LeaseSettings;
use dunemount_fleet::membership::{MemberIdentity, MembershipTimeouts};
use dunemount_fleet::messages::*;
use dunemount_fleet::node::{AcceptorStorage, Node, NodeEvent, NodeSettings, MAX_REGISTER_CLIENTS};
use dunemount_fleet::node_id::NodeId;
use dunemount_fleet::proposer::{ProposerRound, RoundEvent, StoreCounts};
use dunemount_fleet::register::*;
use dunemount_fleet::register_client::{RegisterClient, RegisterOutcome};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const KEY: &str = "config/version";
const STEP: Duration = Duration::from_millis(5);
const LEASE_SETTINGS: LeaseSettings = LeaseSettings {
    duration: Duration::from_secs(3),
    max_clock_drift: 0.05,
    resend_interval: Duration::from_millis(150),
};

enum Message {
    Request { from: usize, request: AcceptorRequest, acceptor: usize },
    Reply { to: usize, reply: AcceptorReply },
}

struct Process {
    client: RegisterClient,
    knowledge: AcceptorKnowledge,
    /// Injected bug: a read that reports the latest value in a majority even if it may not be chosen, and when it
    /// started.
    unconfirmed_read: Option<(ProposerRound, Duration)>,
    /// The unique number of the change under way.
    pending_change: Option<u8>,
    proposed_at: Duration,
    busy: bool,
}

/// A value of the register that an outcome reported.
#[derive(Debug)]
struct Report {
    started_at: Duration,
    reported_at: Duration,
    value: Value,
}

struct Simulation {
    now: Duration,
    acceptors: Vec<Acceptor>,
    processes: Vec<Process>,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    messages: Vec<Option<Message>>,
    partitions: BTreeSet<(usize, usize)>,
    loss: f64,
    rng: Pcg64Mcg,
    reports: Vec<Report>,
    outcomes: Vec<(usize, RegisterOutcome)>,
    changes: u8,
}

impl Simulation {
    fn new(count: usize, seed: u64) -> Simulation {
        let process = |index: usize| Process {
            client: RegisterClient::new(
                NodeId(index as u64 + 1),
                KEY.to_string(),
                LEASE_SETTINGS.resend_interval,
            ),
            knowledge: AcceptorKnowledge::new(3, (index as u64 + 1) << 32),
            unconfirmed_read: None,
            pending_change: None,
            proposed_at: Duration::ZERO,
            busy: false,
        };
        Simulation {
            now: Duration::ZERO,
            acceptors: (0..3).map(|slot| Acceptor::founding(AcceptorSlot(slot))).collect(),
            processes: (0..count).map(process).collect(),
            queue: BinaryHeap::new(),
            messages: Vec::new(),
            partitions: BTreeSet::new(),
            loss: 0.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            reports: Vec::new(),
            outcomes: Vec::new(),
            changes: 0,
        }
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn send(&mut self, from: usize, acceptor: usize, message: Message) {
        if self.partitions.contains(&(from, acceptor)) || self.random_fraction() < self.loss {
            return;
        }
        let delay = Duration::from_millis(1).mul_f64(1.0 + 40.0 * self.random_fraction());
        self.messages.push(Some(message));
        self.queue.push(Reverse((self.now + delay, self.messages.len() as u64, self.messages.len() - 1)));
    }

    fn send_requests(&mut self, from: usize, requests: Vec<(AcceptorSlot, AcceptorRequest)>) {
        for (slot, request) in requests {
            let acceptor = usize::from(slot.0);
            self.send(from, acceptor, Message::Request { from, request, acceptor });
        }
    }

    fn read(&mut self, index: usize, unconfirmed_read: bool) {
        let now = self.now;
        let process = &mut self.processes[index];
        if unconfirmed_read {
            let (nonce, acceptors) = (process.knowledge.next_nonce(), process.knowledge.acceptors.clone());
            let round = ProposerRound::read(KEY.to_string(), acceptors, nonce, 3, StoreCounts::default());
            let requests = round.pending_requests();
            process.unconfirmed_read = Some((round, now));
            return self.send_requests(index, requests);
        }
        process.client.read();
    }

    fn change(&mut self, index: usize) {
        self.changes += 1;
        self.processes[index].pending_change = Some(self.changes);
        self.processes[index].client.begin_change();
    }

    fn handle_outcome(&mut self, index: usize, outcome: RegisterOutcome) {
        self.outcomes.push((index, outcome.clone()));
        let now = self.now;
        let process = &mut self.processes[index];
        match outcome {
            RegisterOutcome::Read { value, started_at } => {
                process.busy = false;
                self.reports.push(Report { started_at, reported_at: now, value: value.unwrap_or_default() });
            }
            RegisterOutcome::Prepared(value) => {
                let mut value = value.unwrap_or_default();
                let pending_change = process.pending_change.expect("a change");
                if !value.contains(&pending_change) {
                    value.push(pending_change);
                }
                let mut requests = Vec::new();
                process.proposed_at = now;
                process.client.propose(now, Some(value), &mut requests);
                self.send_requests(index, requests);
            }
            RegisterOutcome::Chosen(value) => {
                process.busy = false;
                process.pending_change = None;
                // It was chosen at some time since the proposal.
                let started_at = process.proposed_at;
                self.reports.push(Report { started_at, reported_at: now, value });
            }
            RegisterOutcome::Failed { .. } => {
                process.busy = false;
                if process.pending_change.is_some() {
                    process.busy = true;
                    process.client.begin_change();
                }
            }
        }
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP;
            while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
                let Some(Reverse((_, _, message))) = self.queue.pop() else { break };
                match self.messages[message].take() {
                    Some(Message::Request { from, request, acceptor }) => {
                        let reply = match self.acceptors[acceptor].handle_request(request) {
                            RequestOutcome::Reply(reply) => reply,
                            RequestOutcome::Store(pending) => pending.stored(),
                        };
                        self.send(from, acceptor, Message::Reply { to: from, reply });
                    }
                    Some(Message::Reply { to, reply }) => self.handle_reply(to, &reply),
                    None => {}
                }
            }
            for index in 0..self.processes.len() {
                let process = &mut self.processes[index];
                if process.unconfirmed_read.as_ref().is_some_and(|(_, started_at)| {
                    self.now >= *started_at + LEASE_SETTINGS.resend_interval * 4
                }) {
                    (process.unconfirmed_read, process.busy) = (None, false);
                }
                if process.client.next_deadline().is_some_and(|due| due <= self.now) {
                    let mut requests = Vec::new();
                    let Process { client, knowledge, .. } = process;
                    let outcome = client.tick(self.now, knowledge, &mut self.rng, &mut requests);
                    self.send_requests(index, requests);
                    outcome.into_iter().for_each(|outcome| self.handle_outcome(index, outcome));
                }
            }
        }
    }

    fn handle_reply(&mut self, index: usize, reply: &AcceptorReply) {
        let now = self.now;
        let process = &mut self.processes[index];
        if let Some((round, started_at)) = &mut process.unconfirmed_read {
            if let RoundEvent::Read { value, .. } = round.handle_reply(reply) {
                let report =
                    Report { started_at: *started_at, reported_at: now, value: value.unwrap_or_default() };
                (process.unconfirmed_read, process.busy) = (None, false);
                self.reports.push(report);
            }
        }
        let mut requests = Vec::new();
        let Process { client, knowledge, .. } = &mut self.processes[index];
        let outcome = client.handle_reply(now, reply, knowledge, &mut self.rng, &mut requests);
        self.send_requests(index, requests);
        outcome.into_iter().for_each(|outcome| self.handle_outcome(index, outcome));
    }

    /// Two reports that contradict each other, or a change that was applied twice, if any. A change appends a number,
    /// so the value of a read that started after a report has to begin with the reported value.
    fn contradiction(&self) -> Option<String> {
        for report in &self.reports {
            for later in self.reports.iter().filter(|later| later.started_at > report.reported_at) {
                if !later.value.starts_with(&report.value) {
                    return Some(format!("{report:?} and then {later:?}"));
                }
            }
            let values: BTreeSet<u8> = report.value.iter().copied().collect();
            if values.len() < report.value.len() {
                return Some(format!("a change was applied twice: {report:?}"));
            }
        }
        None
    }
}

/// Four processes read and change a register over faulty links. Then the links are repaired and each process reads once
/// more.
fn run_reads_and_changes(seed: u64, unconfirmed_read: bool) -> Simulation {
    let mut simulation = Simulation::new(4, seed);
    simulation.loss = 0.1;
    for _ in 0..150 {
        for index in 0..4 {
            let draw = simulation.random_fraction();
            if simulation.processes[index].busy || draw > 0.3 {
                continue;
            }
            simulation.processes[index].busy = true;
            if draw < 0.08 && simulation.changes < 100 {
                simulation.change(index);
            } else {
                simulation.read(index, unconfirmed_read);
            }
        }
        let pair = (simulation.rng.next_u32() as usize % 4, simulation.rng.next_u32() as usize % 3);
        if !simulation.partitions.remove(&pair) {
            simulation.partitions.insert(pair);
        }
        simulation.run(Duration::from_millis(60));
    }
    (simulation.loss, simulation.partitions) = (0.0, BTreeSet::new());
    simulation.run(Duration::from_secs(5));
    for index in 0..4 {
        // One after the other: two concurrent repairs may preempt each other.
        simulation.read(index, unconfirmed_read);
        simulation.run(Duration::from_secs(1));
    }
    simulation
}

/// Guards reads and changes over faulty links: no outcome contradicts an earlier one, no change is lost or applied
/// twice, and in the end all processes read the same value.
#[test]
fn no_outcome_contradicts_an_earlier_one() {
    let (mut reads, mut changes) = (0, 0);
    for seed in 0..150 {
        let simulation = run_reads_and_changes(seed, false);
        assert_eq!(simulation.contradiction(), None, "seed {seed}");
        let last = &simulation.reports[simulation.reports.len() - 1].value;
        assert_eq!(last.len(), usize::from(simulation.changes), "seed {seed}: every change is in the value");
        for (_, outcome) in &simulation.outcomes[simulation.outcomes.len() - 4..] {
            assert!(
                matches!(outcome, RegisterOutcome::Read { value: Some(value), .. } if value == last),
                "seed {seed}"
            );
        }
        reads += simulation
            .outcomes
            .iter()
            .filter(|(_, outcome)| matches!(outcome, RegisterOutcome::Read { .. }))
            .count();
        changes += last.len();
    }
    println!("{reads} reads, {changes} changes");
    assert!(reads > 1_000 && changes > 1_000);
}

/// Guards the check itself: a read that reports the latest value in a majority, although it may never be chosen, is
/// found.
#[test]
fn a_read_that_trusts_the_latest_value_is_found() {
    let found = (0..150).filter(|seed| run_reads_and_changes(*seed, true).contradiction().is_some()).count();
    println!("found in {found} of 150 runs");
    assert!(found > 0);
}

/// The first value is accepted by all acceptors, the next value by the first acceptor only.
fn value_accepted_by_minority() -> Simulation {
    let mut simulation = Simulation::new(3, 3);
    simulation.change(0);
    simulation.run(Duration::from_secs(1));
    assert!(matches!(simulation.outcomes.last(), Some((0, RegisterOutcome::Chosen(value))) if *value == [1]));
    simulation.change(0);
    while !matches!(simulation.outcomes.last(), Some((0, RegisterOutcome::Prepared(_)))) {
        simulation.run(STEP);
    }
    // Its proposal is in transit to all acceptors; only the first acceptor receives it.
    simulation.partitions.extend([(0, 1), (0, 2)]);
    for message in &mut simulation.messages {
        message.take_if(|message| matches!(message, Message::Request { acceptor, .. } if *acceptor > 0));
    }
    simulation.processes[0].pending_change = None;
    simulation.run(Duration::from_secs(2));
    let failed = RegisterOutcome::Failed { proposed: true, no_majority: true };
    assert_eq!(simulation.outcomes.last(), Some(&(0, failed)), "it may still be chosen");
    simulation
}

/// Guards reads of a value that only a minority has accepted: a read whose majority includes that minority gets the
/// value chosen before it reports it, and later reads report the same value; a read without it reports the earlier
/// value.
#[test]
fn a_value_of_a_minority_is_reported_only_once_it_is_chosen() {
    let mut simulation = value_accepted_by_minority();
    simulation.partitions.insert((1, 2));
    let read_at = simulation.now;
    simulation.read(1, false);
    simulation.run(Duration::from_secs(1));
    let Some((1, RegisterOutcome::Read { value: Some(value), started_at: at })) = simulation.outcomes.last()
    else {
        panic!("{:?}", simulation.outcomes)
    };
    assert_eq!(*value, [1, 2]);
    assert!(*at >= read_at && *at <= read_at + STEP * 2, "the time at which the read started");
    simulation.partitions.insert((2, 0));
    simulation.read(2, false);
    simulation.run(Duration::from_secs(1));
    assert!(
        matches!(simulation.outcomes.last(), Some((2, RegisterOutcome::Read { value: Some(value), .. })) if *value == [1, 2])
    );

    let mut simulation = value_accepted_by_minority();
    simulation.partitions.insert((2, 0));
    simulation.read(2, false);
    simulation.run(Duration::from_secs(1));
    assert!(
        matches!(simulation.outcomes.last(), Some((2, RegisterOutcome::Read { value: Some(value), .. })) if *value == [1])
    );
    assert_eq!(simulation.contradiction(), None);
}

/// Guards two concurrent changes: both are chosen, one after the other, in either order.
#[test]
fn two_concurrent_changes_give_two_values() {
    let mut firsts = BTreeSet::new();
    for seed in 0..100 {
        let mut simulation = Simulation::new(2, seed);
        simulation.change(0);
        simulation.change(1);
        simulation.run(Duration::from_secs(10));
        let chosen = simulation.outcomes.iter().filter_map(|(index, outcome)| match outcome {
            RegisterOutcome::Chosen(value) => Some((*index, value.clone())),
            _ => None,
        });
        let chosen: Vec<_> = chosen.collect();
        assert_eq!(chosen.len(), 2, "seed {seed}: {:?}", simulation.outcomes);
        assert_eq!((chosen[0].1.len(), chosen[1].1.len()), (1, 2), "seed {seed}");
        assert!(chosen[1].1.starts_with(&chosen[0].1), "seed {seed}");
        firsts.insert(chosen[0].0);
    }
    assert_eq!(firsts.len(), 2, "either may be first");
}

/// Guards the outcome without a majority, and that the register can be read again once there is one.
#[test]
fn without_a_majority_reads_and_changes_fail_and_say_why() {
    let mut simulation = Simulation::new(1, 5);
    simulation.partitions.extend([(0, 1), (0, 2)]);
    let failed = |proposed| (0, RegisterOutcome::Failed { proposed, no_majority: true });
    simulation.read(0, false);
    simulation.run(Duration::from_secs(1));
    assert_eq!(simulation.outcomes, [failed(false)]);
    simulation.processes[0].client.begin_change();
    simulation.run(Duration::from_secs(1));
    assert_eq!(simulation.outcomes.last(), Some(&failed(false)));
    simulation.partitions.clear();
    simulation.read(0, false);
    simulation.run(Duration::from_secs(1));
    assert!(matches!(simulation.outcomes.last(), Some((0, RegisterOutcome::Read { value: None, .. }))));
}

/// Guards a change whose owner never proposes a value: it ends at its deadline, and the outcome does not report a
/// missing majority.
#[test]
fn a_prepared_change_without_a_proposal_ends() {
    let mut simulation = Simulation::new(1, 6);
    let process = &mut simulation.processes[0];
    process.client.begin_change();
    let (mut requests, mut now) = (Vec::new(), STEP);
    let Process { client, knowledge, .. } = process;
    assert_eq!(client.tick(now, knowledge, &mut simulation.rng, &mut requests), None);
    let mut outcomes = Vec::new();
    for (slot, request) in requests {
        let reply = match simulation.acceptors[usize::from(slot.0)].handle_request(request) {
            RequestOutcome::Reply(reply) => reply,
            RequestOutcome::Store(pending) => pending.stored(),
        };
        outcomes.extend(client.handle_reply(now, &reply, knowledge, &mut simulation.rng, &mut Vec::new()));
    }
    assert_eq!(outcomes, [RegisterOutcome::Prepared(None)], "once");
    while let Some(due) = client.next_deadline() {
        now = due;
        outcomes.extend(client.tick(now, knowledge, &mut simulation.rng, &mut Vec::new()));
    }
    assert_eq!(outcomes[1..], [RegisterOutcome::Failed { proposed: false, no_majority: false }]);
    let mut requests = Vec::new();
    client.propose(now, Some(vec![1]), &mut requests);
    assert!(requests.is_empty(), "too late");
}

/// A storage that discards the file.
struct NullStorage;

impl AcceptorStorage for NullStorage {
    fn store(&mut self, _: &[u8]) -> bool {
        true
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, index as u8 + 1], 7400))
}

fn nodes() -> Vec<Node> {
    let acceptors: Vec<MemberIdentity> =
        (0..3).map(|index| MemberIdentity::with_address(&format!("gw-{index}"), address(index))).collect();
    let node = |index: usize| {
        let settings = NodeSettings {
            fleet: "test".into(),
            local: MemberIdentity { start: 1, ..acceptors[index].clone() },
            seeds: acceptors.clone(),
            acceptors: acceptors.clone(),
            fleet_size: 3,
            roles: vec!["survey/1".to_string()],
            lease: LEASE_SETTINGS,
            membership: MembershipTimeouts {
                probe_interval: Duration::from_millis(500),
                probe_timeout: Duration::from_millis(150),
                suspicion_timeout: Duration::from_millis(1_500),
                down_retention: Duration::from_secs(60),
            },
            rng_seed: index as u64 + 1,
        };
        Node::new(settings, Some(Acceptor::founding(AcceptorSlot(index as u8))))
    };
    (0..3).map(node).collect()
}

/// Delivers datagrams and calls `tick` for a duration. Returns the outcomes that the nodes reported.
fn run_nodes(
    nodes: &mut [Node],
    now: &mut Duration,
    duration: Duration,
) -> Vec<(usize, Key, RegisterOutcome)> {
    let (until, mut outcomes) = (*now + duration, Vec::new());
    while *now < until {
        *now += STEP;
        for index in 0..nodes.len() {
            if nodes[index].next_deadline() <= *now {
                nodes[index].tick(*now);
            }
            while let Some((to, datagram)) = nodes[index].next_datagram() {
                let Some(to) = (0..nodes.len()).find(|other| address(*other) == to) else { continue };
                nodes[to]
                    .handle_datagram(*now, address(index), &datagram, &mut NullStorage)
                    .expect("a datagram of this fleet");
            }
            while let Some(event) = nodes[index].next_event() {
                if let NodeEvent::Register { key, outcome } = event {
                    outcomes.push((index, key, outcome));
                }
            }
        }
    }
    outcomes
}

/// Guards the registers of whole nodes: a value changed by one node is read by another, and reads and changes that are
/// not allowed fail at once.
#[test]
fn nodes_read_and_change() {
    let (mut nodes, mut now) = (nodes(), Duration::ZERO);
    run_nodes(&mut nodes, &mut now, Duration::from_secs(5));
    let second = Duration::from_secs(1);
    nodes[0].read_register(now, KEY);
    let outcomes = run_nodes(&mut nodes, &mut now, second);
    assert!(
        matches!(&outcomes[..], [(0, key, RegisterOutcome::Read { value: None, .. })] if key == KEY),
        "{outcomes:?}"
    );
    nodes[0].read_register(now, KEY);
    nodes[0].begin_change(now, KEY);
    let outcomes = run_nodes(&mut nodes, &mut now, second / 10);
    assert!(
        matches!(&outcomes[..], [(0, _, RegisterOutcome::Prepared(None))]),
        "the read is dropped: {outcomes:?}"
    );
    nodes[0].propose(now, KEY, Some(b"one".to_vec()));
    let outcomes = run_nodes(&mut nodes, &mut now, second);
    assert_eq!(outcomes, [(0, KEY.to_string(), RegisterOutcome::Chosen(b"one".to_vec()))]);
    let read_at = now;
    nodes[2].read_register(now, KEY);
    let outcomes = run_nodes(&mut nodes, &mut now, second);
    assert_eq!(
        outcomes,
        [(2, KEY.to_string(), RegisterOutcome::Read { value: Some(b"one".to_vec()), started_at: read_at })]
    );

    // A withdrawn change has no outcome, and does not block other reads.
    nodes[1].begin_change(now, KEY);
    run_nodes(&mut nodes, &mut now, second / 10);
    nodes[1].propose(now, KEY, None);
    assert_eq!(run_nodes(&mut nodes, &mut now, second), []);
    nodes[0].read_register(now, KEY);
    assert_eq!(run_nodes(&mut nodes, &mut now, second).len(), 1);

    let not_started = RegisterOutcome::Failed { proposed: false, no_majority: false };
    nodes[1].begin_change(now, KEY);
    run_nodes(&mut nodes, &mut now, second / 10);
    nodes[1].propose(now, KEY, Some(vec![0; MAX_VALUE_BYTES + 1]));
    assert_eq!(
        run_nodes(&mut nodes, &mut now, second),
        [(1, KEY.to_string(), not_started.clone())],
        "too long"
    );
    nodes[1].read_register(now, "survey/1");
    let outcomes = run_nodes(&mut nodes, &mut now, second);
    assert_eq!(
        outcomes,
        [(1, "survey/1".to_string(), not_started.clone())],
        "the register of a role is used by its lease only"
    );
    for register in 1..=MAX_REGISTER_CLIENTS {
        nodes[1].read_register(now, &format!("other/{register}"));
        let outcomes = run_nodes(&mut nodes, &mut now, second);
        assert_eq!(outcomes[0].2 == not_started, register == MAX_REGISTER_CLIENTS, "limited: {outcomes:?}");
    }
    nodes[0].leave(now);
    nodes[0].read_register(now, KEY);
    let outcomes = run_nodes(&mut nodes, &mut now, second);
    assert_eq!(outcomes, [(0, KEY.to_string(), not_started)], "a leaving node starts no reads");
}
