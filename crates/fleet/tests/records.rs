//! Looks at a register and changes of it by several processes, in virtual time, over links that lose and cut: what is told
//! never contradicts what was told before.

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
const TERMS: LeaseSettings = LeaseSettings {
    duration: Duration::from_secs(3),
    max_clock_drift: 0.05,
    resend_interval: Duration::from_millis(150),
};

enum Post {
    Ask { from: usize, call: AcceptorRequest, voter: usize },
    Reply { to: usize, reply: AcceptorReply },
}

struct Process {
    record: RegisterClient,
    electorate: AcceptorKnowledge,
    /// A look that trusts the latest that a majority has accepted, when it began, and when it is given up.
    trusting: Option<(ProposerRound, Duration)>,
    /// A change that it wants: a number that no other has, and whether it was proposed.
    wants: Option<u8>,
    /// When it proposed last.
    proposed: Duration,
    busy: bool,
}

/// What was told to whom: it was asked for at the first time, and told at the second.
#[derive(Debug)]
struct Word {
    asked: Duration,
    told: Duration,
    value: Value,
}

struct World {
    now: Duration,
    voters: Vec<Acceptor>,
    processes: Vec<Process>,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    posts: Vec<Option<Post>>,
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    dice: Pcg64Mcg,
    words: Vec<Word>,
    outcomes: Vec<(usize, RegisterOutcome)>,
    changes: u8,
}

impl World {
    fn new(count: usize, seed: u64) -> World {
        let process = |index: usize| Process {
            record: RegisterClient::new(NodeId(index as u64 + 1), KEY.to_string(), TERMS.resend_interval),
            electorate: AcceptorKnowledge::new(3, (index as u64 + 1) << 32),
            trusting: None,
            wants: None,
            proposed: Duration::ZERO,
            busy: false,
        };
        World {
            now: Duration::ZERO,
            voters: (0..3).map(|slot| Acceptor::founding(AcceptorSlot(slot))).collect(),
            processes: (0..count).map(process).collect(),
            queue: BinaryHeap::new(),
            posts: Vec::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            dice: Pcg64Mcg::seed_from_u64(seed),
            words: Vec::new(),
            outcomes: Vec::new(),
            changes: 0,
        }
    }

    fn part(&mut self) -> f64 {
        f64::from(self.dice.next_u32()) / f64::from(u32::MAX)
    }

    fn post(&mut self, from: usize, voter: usize, post: Post) {
        if self.cut.contains(&(from, voter)) || self.part() < self.loss {
            return;
        }
        let delay = Duration::from_millis(1).mul_f64(1.0 + 40.0 * self.part());
        self.posts.push(Some(post));
        self.queue.push(Reverse((self.now + delay, self.posts.len() as u64, self.posts.len() - 1)));
    }

    fn send(&mut self, from: usize, calls: Vec<(AcceptorSlot, AcceptorRequest)>) {
        for (slot, call) in calls {
            let voter = usize::from(slot.0);
            self.post(from, voter, Post::Ask { from, call, voter });
        }
    }

    fn look(&mut self, index: usize, trusting: bool) {
        let now = self.now;
        let process = &mut self.processes[index];
        if trusting {
            let (nonce, view) = (process.electorate.next_nonce(), process.electorate.acceptors.clone());
            let round = ProposerRound::read(KEY.to_string(), view, nonce, 3, StoreCounts::default());
            let calls = round.pending_requests();
            process.trusting = Some((round, now));
            return self.send(index, calls);
        }
        process.record.read();
    }

    fn change(&mut self, index: usize) {
        self.changes += 1;
        self.processes[index].wants = Some(self.changes);
        self.processes[index].record.begin_change();
    }

    fn told(&mut self, index: usize, outcome: RegisterOutcome) {
        self.outcomes.push((index, outcome.clone()));
        let now = self.now;
        let process = &mut self.processes[index];
        match outcome {
            RegisterOutcome::Read { value, started_at: asked } => {
                process.busy = false;
                self.words.push(Word { asked, told: now, value: value.unwrap_or_default() });
            }
            RegisterOutcome::Prepared(value) => {
                let mut value = value.unwrap_or_default();
                let wants = process.wants.expect("a change");
                if !value.contains(&wants) {
                    value.push(wants);
                }
                let mut calls = Vec::new();
                process.proposed = now;
                process.record.propose(now, Some(value), &mut calls);
                self.send(index, calls);
            }
            RegisterOutcome::Chosen(value) => {
                process.busy = false;
                process.wants = None;
                // It was chosen some time since.
                let asked = process.proposed;
                self.words.push(Word { asked, told: now, value });
            }
            RegisterOutcome::Failed { .. } => {
                process.busy = false;
                if process.wants.is_some() {
                    process.busy = true;
                    process.record.begin_change();
                }
            }
        }
    }

    fn run(&mut self, lasts: Duration) {
        let until = self.now + lasts;
        while self.now < until {
            self.now += STEP;
            while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
                let Some(Reverse((_, _, post))) = self.queue.pop() else { break };
                match self.posts[post].take() {
                    Some(Post::Ask { from, call, voter }) => {
                        let reply = match self.voters[voter].handle_request(call) {
                            RequestOutcome::Reply(reply) => reply,
                            RequestOutcome::Store(pending) => pending.stored(),
                        };
                        self.post(from, voter, Post::Reply { to: from, reply });
                    }
                    Some(Post::Reply { to, reply }) => self.hear(to, &reply),
                    None => {}
                }
            }
            for index in 0..self.processes.len() {
                let process = &mut self.processes[index];
                if process
                    .trusting
                    .as_ref()
                    .is_some_and(|(_, asked)| self.now >= *asked + TERMS.resend_interval * 4)
                {
                    (process.trusting, process.busy) = (None, false);
                }
                if process.record.next_deadline().is_some_and(|due| due <= self.now) {
                    let mut calls = Vec::new();
                    let Process { record, electorate, .. } = process;
                    let outcome = record.tick(self.now, electorate, &mut self.dice, &mut calls);
                    self.send(index, calls);
                    outcome.into_iter().for_each(|outcome| self.told(index, outcome));
                }
            }
        }
    }

    fn hear(&mut self, index: usize, reply: &AcceptorReply) {
        let now = self.now;
        let process = &mut self.processes[index];
        if let Some((round, asked)) = &mut process.trusting {
            if let RoundEvent::Read { value, .. } = round.handle_reply(reply) {
                let word = Word { asked: *asked, told: now, value: value.unwrap_or_default() };
                (process.trusting, process.busy) = (None, false);
                self.words.push(word);
            }
        }
        let mut calls = Vec::new();
        let Process { record, electorate, .. } = &mut self.processes[index];
        let outcome = record.handle_reply(now, reply, electorate, &mut self.dice, &mut calls);
        self.send(index, calls);
        outcome.into_iter().for_each(|outcome| self.told(index, outcome));
    }

    /// What contradicts what, if anything does. A change adds a number to the end, so whatever is told after something
    /// else had been told begins with that.
    fn fault(&self) -> Option<String> {
        for word in &self.words {
            for later in self.words.iter().filter(|later| later.asked > word.told) {
                if !later.value.starts_with(&word.value) {
                    return Some(format!("{word:?} and then {later:?}"));
                }
            }
            let values: BTreeSet<u8> = word.value.iter().copied().collect();
            if values.len() < word.value.len() {
                return Some(format!("a change counted twice: {word:?}"));
            }
        }
        None
    }
}

/// A run of four processes that look and change over bad links, then a quiet end with everything told by all.
fn play(seed: u64, trusting: bool) -> World {
    let mut world = World::new(4, seed);
    world.loss = 0.1;
    for _ in 0..150 {
        for index in 0..4 {
            let draw = world.part();
            if world.processes[index].busy || draw > 0.3 {
                continue;
            }
            world.processes[index].busy = true;
            if draw < 0.08 && world.changes < 100 {
                world.change(index);
            } else {
                world.look(index, trusting);
            }
        }
        let pair = (world.dice.next_u32() as usize % 4, world.dice.next_u32() as usize % 3);
        if !world.cut.remove(&pair) {
            world.cut.insert(pair);
        }
        world.run(Duration::from_millis(60));
    }
    (world.loss, world.cut) = (0.0, BTreeSet::new());
    world.run(Duration::from_secs(5));
    for index in 0..4 {
        // One after the other: two that repair at once may outbid each other.
        world.look(index, trusting);
        world.run(Duration::from_secs(1));
    }
    world
}

/// Guards looks and changes over bad links: nothing told contradicts what was told before, no change is lost or counted
/// twice, and all agree in the end.
#[test]
fn what_is_told_never_contradicts_what_was_told() {
    let (mut looks, mut changes) = (0, 0);
    for seed in 0..150 {
        let world = play(seed, false);
        assert_eq!(world.fault(), None, "seed {seed}");
        let last = &world.words[world.words.len() - 1].value;
        assert_eq!(last.len(), usize::from(world.changes), "seed {seed}: every change is there");
        for (_, outcome) in &world.outcomes[world.outcomes.len() - 4..] {
            assert!(
                matches!(outcome, RegisterOutcome::Read { value: Some(value), .. } if value == last),
                "seed {seed}"
            );
        }
        looks +=
            world.outcomes.iter().filter(|(_, told)| matches!(told, RegisterOutcome::Read { .. })).count();
        changes += last.len();
    }
    println!("{looks} looks, {changes} changes");
    assert!(looks > 1_000 && changes > 1_000);
}

/// Guards the audit: a look that trusts the latest of a majority tells what was never chosen, and is found out.
#[test]
fn a_look_that_trusts_the_latest_is_found_out() {
    let found = (0..150).filter(|seed| play(*seed, true).fault().is_some()).count();
    println!("found out in {found} of 150 runs");
    assert!(found > 0);
}

/// The first value is chosen by all, the next one is accepted by the first voter alone.
fn minority() -> World {
    let mut world = World::new(3, 3);
    world.change(0);
    world.run(Duration::from_secs(1));
    assert!(matches!(world.outcomes.last(), Some((0, RegisterOutcome::Chosen(value))) if *value == [1]));
    world.change(0);
    while !matches!(world.outcomes.last(), Some((0, RegisterOutcome::Prepared(_)))) {
        world.run(STEP);
    }
    // Its proposal is on its way to all; that to the first one arrives.
    world.cut.extend([(0, 1), (0, 2)]);
    for post in world.posts.iter_mut() {
        post.take_if(|post| matches!(post, Post::Ask { voter, .. } if *voter > 0));
    }
    world.processes[0].wants = None;
    world.run(Duration::from_secs(2));
    let failed = RegisterOutcome::Failed { proposed: true, no_majority: true };
    assert_eq!(world.outcomes.last(), Some(&(0, failed)), "it may still be chosen");
    world
}

/// Guards a value that a minority has accepted: whoever meets it has it chosen before it is told, and everybody is told the
/// same from then on; whoever does not meet it is not told of it.
#[test]
fn a_minority_s_value_is_told_only_once_it_is_chosen() {
    let mut world = minority();
    world.cut.insert((1, 2));
    let began = world.now;
    world.look(1, false);
    world.run(Duration::from_secs(1));
    let Some((1, RegisterOutcome::Read { value: Some(value), started_at: at })) = world.outcomes.last()
    else {
        panic!("{:?}", world.outcomes)
    };
    assert_eq!(*value, [1, 2]);
    assert!(*at >= began && *at <= began + STEP * 2, "the time at which the look began");
    world.cut.insert((2, 0));
    world.look(2, false);
    world.run(Duration::from_secs(1));
    assert!(
        matches!(world.outcomes.last(), Some((2, RegisterOutcome::Read { value: Some(value), .. })) if *value == [1, 2])
    );

    let mut world = minority();
    world.cut.insert((2, 0));
    world.look(2, false);
    world.run(Duration::from_secs(1));
    assert!(
        matches!(world.outcomes.last(), Some((2, RegisterOutcome::Read { value: Some(value), .. })) if *value == [1])
    );
    assert_eq!(world.fault(), None);
}

/// Guards two changers at once: two values, one after the other, whoever is first.
#[test]
fn two_at_once_give_two_values() {
    let mut firsts = BTreeSet::new();
    for seed in 0..100 {
        let mut world = World::new(2, seed);
        world.change(0);
        world.change(1);
        world.run(Duration::from_secs(10));
        let chosen = world.outcomes.iter().filter_map(|(index, told)| match told {
            RegisterOutcome::Chosen(value) => Some((*index, value.clone())),
            _ => None,
        });
        let chosen: Vec<_> = chosen.collect();
        assert_eq!(chosen.len(), 2, "seed {seed}: {:?}", world.outcomes);
        assert_eq!((chosen[0].1.len(), chosen[1].1.len()), (1, 2), "seed {seed}");
        assert!(chosen[1].1.starts_with(&chosen[0].1), "seed {seed}");
        firsts.insert(chosen[0].0);
    }
    assert_eq!(firsts.len(), 2, "either may be first");
}

/// Guards what is said without a majority, and that a value's register goes on once there is one.
#[test]
fn without_a_majority_nothing_is_told_and_it_says_so() {
    let mut world = World::new(1, 5);
    world.cut.extend([(0, 1), (0, 2)]);
    let failed = |proposed| (0, RegisterOutcome::Failed { proposed, no_majority: true });
    world.look(0, false);
    world.run(Duration::from_secs(1));
    assert_eq!(world.outcomes, [failed(false)]);
    world.processes[0].record.begin_change();
    world.run(Duration::from_secs(1));
    assert_eq!(world.outcomes.last(), Some(&failed(false)));
    world.cut.clear();
    world.look(0, false);
    world.run(Duration::from_secs(1));
    assert!(matches!(world.outcomes.last(), Some((0, RegisterOutcome::Read { value: None, .. }))));
}

/// Guards a change whose owner never says what the register is to hold: it ends, and not for want of a majority.
#[test]
fn a_promise_that_nobody_uses_ends() {
    let mut world = World::new(1, 6);
    let process = &mut world.processes[0];
    process.record.begin_change();
    let (mut calls, mut now) = (Vec::new(), STEP);
    let Process { record, electorate, .. } = process;
    assert_eq!(record.tick(now, electorate, &mut world.dice, &mut calls), None);
    let mut told = Vec::new();
    for (slot, call) in calls {
        let reply = match world.voters[usize::from(slot.0)].handle_request(call) {
            RequestOutcome::Reply(reply) => reply,
            RequestOutcome::Store(pending) => pending.stored(),
        };
        told.extend(record.handle_reply(now, &reply, electorate, &mut world.dice, &mut Vec::new()));
    }
    assert_eq!(told, [RegisterOutcome::Prepared(None)], "once");
    while let Some(due) = record.next_deadline() {
        now = due;
        told.extend(record.tick(now, electorate, &mut world.dice, &mut Vec::new()));
    }
    assert_eq!(told[1..], [RegisterOutcome::Failed { proposed: false, no_majority: false }]);
    let mut calls = Vec::new();
    record.propose(now, Some(vec![1]), &mut calls);
    assert!(calls.is_empty(), "too late");
}

/// A disk that forgets.
struct Nowhere;

impl AcceptorStorage for Nowhere {
    fn store(&mut self, _: &[u8]) -> bool {
        true
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, index as u8 + 1], 7400))
}

fn nodes() -> Vec<Node> {
    let voters: Vec<MemberIdentity> =
        (0..3).map(|index| MemberIdentity::with_address(&format!("gw-{index}"), address(index))).collect();
    let node = |index: usize| {
        let settings = NodeSettings {
            fleet: "test".into(),
            local: MemberIdentity { start: 1, ..voters[index].clone() },
            seeds: voters.clone(),
            acceptors: voters.clone(),
            fleet_size: 3,
            roles: vec!["survey/1".to_string()],
            lease: TERMS,
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

/// Carries datagrams, and lets time act; what was told of registers meanwhile.
fn carry(nodes: &mut [Node], now: &mut Duration, lasts: Duration) -> Vec<(usize, Key, RegisterOutcome)> {
    let (until, mut told) = (*now + lasts, Vec::new());
    while *now < until {
        *now += STEP;
        for index in 0..nodes.len() {
            if nodes[index].next_deadline() <= *now {
                nodes[index].tick(*now);
            }
            while let Some((to, datagram)) = nodes[index].next_datagram() {
                let Some(to) = (0..nodes.len()).find(|other| address(*other) == to) else { continue };
                nodes[to]
                    .handle_datagram(*now, address(index), &datagram, &mut Nowhere)
                    .expect("this fleet's");
            }
            while let Some(event) = nodes[index].next_event() {
                if let NodeEvent::Register { key, outcome } = event {
                    told.push((index, key, outcome));
                }
            }
        }
    }
    told
}

/// Guards a register's way through whole nodes: looked at, changed, and looked at by another; with what begins at all.
#[test]
fn nodes_look_and_change() {
    let (mut nodes, mut now) = (nodes(), Duration::ZERO);
    carry(&mut nodes, &mut now, Duration::from_secs(5));
    let second = Duration::from_secs(1);
    nodes[0].read_register(now, KEY);
    let told = carry(&mut nodes, &mut now, second);
    assert!(
        matches!(&told[..], [(0, key, RegisterOutcome::Read { value: None, .. })] if key == KEY),
        "{told:?}"
    );
    nodes[0].read_register(now, KEY);
    nodes[0].begin_change(now, KEY);
    let told = carry(&mut nodes, &mut now, second / 10);
    assert!(matches!(&told[..], [(0, _, RegisterOutcome::Prepared(None))]), "the look is given up: {told:?}");
    nodes[0].propose(now, KEY, Some(b"one".to_vec()));
    let told = carry(&mut nodes, &mut now, second);
    assert_eq!(told, [(0, KEY.to_string(), RegisterOutcome::Chosen(b"one".to_vec()))]);
    let began = now;
    nodes[2].read_register(now, KEY);
    let told = carry(&mut nodes, &mut now, second);
    assert_eq!(
        told,
        [(2, KEY.to_string(), RegisterOutcome::Read { value: Some(b"one".to_vec()), started_at: began })]
    );

    // Withdrawn: nothing is told, and others go on.
    nodes[1].begin_change(now, KEY);
    carry(&mut nodes, &mut now, second / 10);
    nodes[1].propose(now, KEY, None);
    assert_eq!(carry(&mut nodes, &mut now, second), []);
    nodes[0].read_register(now, KEY);
    assert_eq!(carry(&mut nodes, &mut now, second).len(), 1);

    let not_begun = RegisterOutcome::Failed { proposed: false, no_majority: false };
    nodes[1].begin_change(now, KEY);
    carry(&mut nodes, &mut now, second / 10);
    nodes[1].propose(now, KEY, Some(vec![0; MAX_VALUE_BYTES + 1]));
    assert_eq!(carry(&mut nodes, &mut now, second), [(1, KEY.to_string(), not_begun.clone())], "too long");
    nodes[1].read_register(now, "survey/1");
    let told = carry(&mut nodes, &mut now, second);
    assert_eq!(
        told,
        [(1, "survey/1".to_string(), not_begun.clone())],
        "a role's register is its seat's alone"
    );
    for register in 1..=MAX_REGISTER_CLIENTS {
        nodes[1].read_register(now, &format!("other/{register}"));
        let told = carry(&mut nodes, &mut now, second);
        assert_eq!(told[0].2 == not_begun, register == MAX_REGISTER_CLIENTS, "bounded: {told:?}");
    }
    nodes[0].leave(now);
    nodes[0].read_register(now, KEY);
    let told = carry(&mut nodes, &mut now, second);
    assert_eq!(told, [(0, KEY.to_string(), not_begun)], "whoever leaves begins none");
}
