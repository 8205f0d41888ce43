//! Whole nodes in virtual time, by datagrams: who owns what after deaths, what a late owner's orders do, and how long a
//! role is without an owner.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use dunemount_fleet::acceptor::Acceptor;
use dunemount_fleet::frame::{self, MessageKind};
use dunemount_fleet::lease::{LeaseEvent, LeaseSettings};
use dunemount_fleet::membership::{MemberIdentity, MembershipTimeouts};
use dunemount_fleet::messages::{AcceptorRequest, Operation};
use dunemount_fleet::node::{AcceptorStorage, Node, NodeEvent, NodeSettings};
use dunemount_fleet::register::{AcceptorSlot, Ballot, Key};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const LEASE: Duration = Duration::from_millis(3_000);
const STEP: Duration = Duration::from_millis(10);

fn peer(index: usize, start: u64) -> MemberIdentity {
    let address: SocketAddr = format!("127.0.0.{}:7400", index + 1).parse().expect("one");
    MemberIdentity { name: format!("gw-{index}"), start, incarnation: 0, address }
}

/// A file in memory.
#[derive(Default)]
struct File(Option<Vec<u8>>);

impl AcceptorStorage for File {
    fn store(&mut self, file: &[u8]) -> bool {
        self.0 = Some(file.to_vec());
        true
    }
}

type Post = (Duration, u64, SocketAddr, SocketAddr, Vec<u8>);

struct Fleet {
    now: Duration,
    nodes: Vec<Option<Node>>,
    /// Processes that are stopped: time and datagrams wait for them.
    stopped: BTreeSet<usize>,
    files: Vec<File>,
    starts: u64,
    queue: BinaryHeap<Reverse<Post>>,
    serial: u64,
    dice: Pcg64Mcg,
    roles: usize,
    voters: usize,
    owners: BTreeMap<(String, u64), BTreeSet<usize>>,
    obeyed: Vec<(usize, String, u64)>,
    refused: usize,
    let_in: usize,
    /// Who proposes nothing, and which voters hear nothing.
    mute: BTreeSet<usize>,
    deaf: BTreeSet<usize>,
    /// Per register and ballot, the rounds that proposed under it.
    ballots: BTreeMap<(Key, Ballot), BTreeSet<u64>>,
    /// Of all datagrams that were sent: when, from whom, to whom, and each byte.
    digest: u64,
}

impl Fleet {
    fn of(count: usize, roles: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: Duration::ZERO,
            nodes: (0..count).map(|_| None).collect(),
            stopped: BTreeSet::new(),
            files: (0..count).map(|_| File::default()).collect(),
            starts: 0,
            queue: BinaryHeap::new(),
            serial: 0,
            dice: Pcg64Mcg::seed_from_u64(seed),
            roles,
            voters: count.min(3),
            owners: BTreeMap::new(),
            obeyed: Vec::new(),
            refused: 0,
            let_in: 0,
            mute: BTreeSet::new(),
            deaf: BTreeSet::new(),
            ballots: BTreeMap::new(),
            digest: 0,
        };
        for slot in 0..fleet.voters {
            fleet.files[slot].0 = Acceptor::founding(AcceptorSlot(slot as u8)).file_bytes();
        }
        (0..count).for_each(|index| fleet.start(index));
        fleet
    }

    fn start(&mut self, index: usize) {
        self.starts += 1;
        let voters: Vec<MemberIdentity> = (0..self.voters)
            .map(|slot| MemberIdentity::with_address(&peer(slot, 0).name, peer(slot, 0).address))
            .collect();
        let settings = NodeSettings {
            fleet: "test".into(),
            local: peer(index, self.starts),
            seeds: voters.clone(),
            acceptors: voters,
            fleet_size: self.nodes.len() as u32,
            roles: (0..self.roles).map(|role| format!("survey/{role}")).collect(),
            lease: LeaseSettings {
                duration: LEASE,
                max_clock_drift: 0.05,
                resend_interval: Duration::from_millis(150),
            },
            membership: MembershipTimeouts {
                probe_interval: Duration::from_millis(500),
                probe_timeout: Duration::from_millis(150),
                suspicion_timeout: Duration::from_millis(1_500),
                down_retention: Duration::from_secs(60),
            },
            rng_seed: self.dice.next_u64(),
        };
        let slot = AcceptorSlot(index as u8);
        let voter = (index < self.voters).then(|| match &self.files[index].0 {
            Some(file) => Acceptor::from_file(slot, file).expect("a whole file"),
            None => Acceptor::uninitialized(slot, self.starts as u32),
        });
        self.nodes[index] = Some(Node::new(settings, voter));
    }

    fn run(&mut self, lasts: Duration) {
        let until = self.now + lasts;
        while self.now < until {
            self.now += STEP;
            while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
                let Some(Reverse((_, _, from, to, datagram))) = self.queue.pop() else { break };
                let index = usize::from(match to {
                    SocketAddr::V4(to) => to.ip().octets()[3] - 1,
                    SocketAddr::V6(_) => 0,
                });
                if self.stopped.contains(&index) {
                    // It waits in the socket's buffer.
                    self.post(from, to, datagram, Duration::from_millis(50));
                } else if let Some(node) = &mut self.nodes[index] {
                    node.handle_datagram(self.now, from, &datagram, &mut self.files[index])
                        .expect("this fleet's");
                }
                self.carry(index);
            }
            for index in 0..self.nodes.len() {
                if self.stopped.contains(&index) {
                    continue;
                }
                if let Some(node) = &mut self.nodes[index] {
                    if node.next_deadline() <= self.now {
                        node.tick(self.now);
                    }
                }
                self.carry(index);
            }
        }
    }

    fn post(&mut self, from: SocketAddr, to: SocketAddr, datagram: Vec<u8>, delay: Duration) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + delay, self.serial, from, to, datagram)));
    }

    fn carry(&mut self, index: usize) {
        while let Some((to, datagram)) = self.nodes[index].as_mut().and_then(Node::next_datagram) {
            let sent = format!("{} {:?} {index} {to} {datagram:?}", self.digest, self.now);
            self.digest = frame::fleet_tag(&sent);
            if let Ok((MessageKind::AcceptorRequest, message)) =
                frame::decode(frame::fleet_tag("test"), &datagram)
            {
                let deaf = |voter: &usize| peer(*voter, 0).address == to;
                if self.mute.contains(&index) || self.deaf.iter().any(deaf) {
                    continue;
                }
                let call: AcceptorRequest = postcard::from_bytes(message).expect("a call");
                if let Operation::Prepare { key, ballot } = call.operation {
                    self.ballots.entry((key, ballot)).or_default().insert(call.nonce);
                }
            }
            let delay = Duration::from_micros(200 + u64::from(self.dice.next_u32() % 5_000));
            self.post(peer(index, 0).address, to, datagram, delay);
        }
        while let Some(event) = self.nodes[index].as_mut().and_then(Node::next_event) {
            match event {
                NodeEvent::Lease { role, event: LeaseEvent::Acquired { epoch } } => {
                    self.owners.entry((role, epoch)).or_default().insert(index);
                }
                NodeEvent::Order { order, .. } => self.obeyed.push((index, order.role, order.epoch)),
                NodeEvent::OrderRejected { .. } => self.refused += 1,
                NodeEvent::AcceptorAdmitted => self.let_in += 1,
                NodeEvent::Lease { .. } | NodeEvent::Membership(_) | NodeEvent::Register { .. } => {}
            }
        }
    }

    /// Who may order in a role now, stopped or not.
    fn owners_of(&self, role: &str) -> Vec<usize> {
        let owns = |index: &usize| {
            let node = self.nodes[*index].as_ref();
            node.is_some_and(|node| node.held_roles(self.now).any(|(held, _)| held == role))
        };
        (0..self.nodes.len()).filter(owns).collect()
    }

    fn check(&self) {
        for ((role, epoch), owners) in &self.owners {
            assert_eq!(owners.len(), 1, "{role} under {epoch}");
        }
        for ((role, ballot), rounds) in &self.ballots {
            assert_eq!(rounds.len(), 1, "{role}: {ballot:?} is used again, for another value perhaps");
        }
        let mut highest = BTreeMap::new();
        for (receiver, role, epoch) in &self.obeyed {
            let seen = highest.entry((receiver, role)).or_insert(*epoch);
            assert!(epoch >= seen, "receiver {receiver} obeyed {epoch} after {seen} in {role}");
            *seen = *epoch;
        }
    }
}

/// Guards the spread: members that come one after the other end with each role at its first candidate, which most of
/// them are for some; then nothing moves any more, and who leaves takes nothing back.
#[test]
fn every_role_goes_to_its_first_candidate_and_stays() {
    let mut fleet = Fleet::of(7, 21, 1);
    (2..7).for_each(|index| fleet.nodes[index] = None);
    fleet.run(LEASE * 3);
    for index in 2..7 {
        fleet.start(index);
        fleet.run(LEASE);
    }
    fleet.run(LEASE * 15);
    let held = |fleet: &Fleet| {
        let owners = (0..21).map(|role| fleet.owners_of(&format!("survey/{role}")));
        owners.fold(vec![0; 7], |mut held, owners| {
            assert_eq!(owners.len(), 1);
            held[owners[0]] += 1;
            held
        })
    };
    let (spread, epochs) = (held(&fleet), fleet.owners.len());
    assert!(
        spread.iter().all(|held| *held <= 9) && spread.iter().filter(|held| **held > 0).count() >= 6,
        "{spread:?}"
    );
    fleet.run(LEASE * 20);
    assert_eq!((held(&fleet), fleet.owners.len()), (spread, epochs), "nothing moves");
    let now = fleet.now;
    let most = held(&fleet).iter().enumerate().max_by_key(|(_, held)| **held).map(|(index, _)| index);
    let leaver = most.expect("somebody");
    fleet.nodes[leaver].as_mut().expect("there").leave(now);
    fleet.run(LEASE / 2);
    assert!(fleet.nodes[leaver].as_ref().expect("there").has_left(), "given back, not run out");
    fleet.run(LEASE * 3);
    assert_eq!(held(&fleet)[leaver], 0, "and not taken again");
    fleet.check();
}

/// Guards the owner that is stopped between its own look at the lease and the send, and woken after a successor has
/// worked for a while: its orders are refused by epoch and nothing of them is obeyed.
#[test]
fn an_owner_that_wakes_up_late_is_refused() {
    for seed in 0..20 {
        let mut fleet = Fleet::of(5, 1, seed);
        fleet.run(LEASE * 3);
        let role = "survey/0";
        let old = fleet.owners_of(role)[0];
        let receiver = (0..5).find(|index| *index != old).expect("another");
        let address = peer(receiver, 0).address;
        // It decides to order and is stopped before the datagram leaves.
        let now = fleet.now;
        let node = fleet.nodes[old].as_mut().expect("there");
        assert!(node.send_order(now, role, address, b"late".to_vec()));
        let late: Vec<_> = std::iter::from_fn(|| node.next_datagram()).collect();
        fleet.stopped.insert(old);
        fleet.run(LEASE * 3);
        let new = fleet.owners_of(role);
        assert_eq!(new.len(), 1, "seed {seed}: somebody else has it");
        assert_ne!(new[0], old);
        let now = fleet.now;
        assert!(fleet.nodes[new[0]].as_mut().expect("there").send_order(now, role, address, b"new".to_vec()));
        fleet.carry(new[0]);
        fleet.run(STEP * 10);
        let obeyed = fleet.obeyed.len();
        fleet.stopped.remove(&old);
        assert!(!fleet.nodes[old].as_mut().expect("there").send_order(now, role, address, b"again".to_vec()));
        for (to, datagram) in late {
            fleet.post(peer(old, 0).address, to, datagram, STEP);
        }
        fleet.run(LEASE);
        assert_eq!(fleet.refused, 1, "seed {seed}: the late order");
        assert_eq!(fleet.obeyed.len(), obeyed, "seed {seed}: nothing of it is obeyed");
        fleet.check();
    }
}

/// Guards the time without an owner after one is killed: at most a lease and a half.
#[test]
fn a_killed_owner_is_followed_within_a_lease_and_a_half() {
    let mut gaps = Vec::new();
    for seed in 0..100 {
        let mut fleet = Fleet::of(5, 1, 100 + seed);
        fleet.run(LEASE * 3 + Duration::from_millis(seed * 37));
        let old = fleet.owners_of("survey/0")[0];
        fleet.nodes[old] = None;
        let killed = fleet.now;
        while fleet.owners_of("survey/0").is_empty() {
            fleet.run(STEP);
            assert!(fleet.now < killed + LEASE * 5, "seed {seed}: nobody follows");
        }
        gaps.push(fleet.now - killed);
        fleet.check();
    }
    gaps.sort();
    println!("without an owner: {:?}, {:?}, {:?}", gaps[0], gaps[50], gaps[99]);
    assert!(gaps[98] <= LEASE.mul_f64(1.5), "{:?}", &gaps[90..]);
}

/// Guards voters: one that has lost its file is let in by the others while roles go on, and with its help another may
/// die; all killed at once and started again know every epoch.
#[test]
fn voters_lose_files_and_all_start_again() {
    let mut fleet = Fleet::of(5, 4, 9);
    fleet.run(LEASE * 3);
    fleet.nodes[1] = None;
    fleet.files[1] = File::default();
    fleet.run(LEASE);
    fleet.start(1);
    fleet.run(LEASE * 3);
    assert_eq!(fleet.let_in, 1);
    fleet.nodes[0] = None;
    fleet.run(LEASE * 3);
    for role in 0..4 {
        assert_eq!(fleet.owners_of(&format!("survey/{role}")).len(), 1, "with the new voter's voice");
    }
    let epochs = |fleet: &Fleet| fleet.owners.keys().map(|(_, epoch)| *epoch).max();
    let before = epochs(&fleet);
    fleet.nodes.iter_mut().for_each(|node| *node = None);
    (0..5).for_each(|index| fleet.start(index));
    fleet.run(LEASE * 4);
    assert!(epochs(&fleet) > before, "later epochs only");
    for role in 0..4 {
        assert_eq!(fleet.owners_of(&format!("survey/{role}")).len(), 1);
    }
    fleet.check();
}

/// Guards service without a majority: no role is owned, nothing piles up, and all comes back by itself.
#[test]
fn without_a_majority_nobody_owns_anything() {
    let mut fleet = Fleet::of(5, 3, 11);
    fleet.run(LEASE * 3);
    (fleet.nodes[0], fleet.nodes[1]) = (None, None);
    fleet.run(LEASE * 2);
    for _ in 0..20 {
        fleet.run(Duration::from_secs(3));
        for role in 0..3 {
            assert!(fleet.owners_of(&format!("survey/{role}")).is_empty());
        }
        assert!(fleet.queue.len() < 200, "{} datagrams on their way", fleet.queue.len());
    }
    fleet.start(0);
    fleet.run(LEASE * 3);
    for role in 0..3 {
        assert_eq!(fleet.owners_of(&format!("survey/{role}")).len(), 1);
    }
    fleet.check();
}

/// Guards a fleet of one: it owns all, and again after each start, under later epochs.
#[test]
fn a_fleet_of_one_owns_all() {
    let mut fleet = Fleet::of(1, 2, 12);
    for starts in 1..4 {
        fleet.run(LEASE * 2);
        for role in ["survey/0", "survey/1"] {
            assert_eq!(fleet.owners_of(role), [0]);
            assert_eq!(fleet.owners.keys().filter(|(held, _)| held == role).count(), starts);
        }
        fleet.nodes[0] = None;
        fleet.start(0);
    }
    fleet.check();
}

/// Guards ballots, which name one value each: a process that has lost its place among a role's candidates and has it again
/// goes on above those that it has used, also if the voters that it hears now know nothing of them.
#[test]
fn no_ballot_is_used_again_by_who_looks_after_a_role_again() {
    let mut fleet = Fleet::of(7, 16, 13);
    fleet.mute = (0..7).filter(|index| *index != 3).collect();
    (4..7).for_each(|index| fleet.nodes[index] = None);
    fleet.run(LEASE * 3);
    // One voter alone hears what it proposes, again and again.
    fleet.deaf = BTreeSet::from([1, 2]);
    fleet.run(LEASE * 5);
    // It is no candidate for some roles any more, and then it is again, with the two others.
    fleet.deaf = BTreeSet::from([0, 1, 2]);
    (4..7).for_each(|index| fleet.start(index));
    fleet.run(LEASE * 2);
    (4..7).for_each(|index| fleet.nodes[index] = None);
    fleet.run(LEASE * 3);
    fleet.deaf = BTreeSet::from([0]);
    fleet.run(LEASE * 5);
    assert!(fleet.ballots.len() > 200, "{}", fleet.ballots.len());
    fleet.check();
}

/// Guards decisions against a change that is not meant: the same seed gives the same datagrams at the same times, through
/// deaths, a lost file, silent voters, registers that are read and changed, and a leave.
#[test]
fn the_same_seed_gives_the_same_datagrams() {
    let run = |seed: u64| {
        let mut fleet = Fleet::of(7, 5, seed);
        fleet.run(LEASE * 3);
        for round in 0..12 {
            let (index, now) = (fleet.dice.next_u32() as usize % 7, fleet.now);
            let key = format!("config/{}", round % 3);
            match (round % 6, &mut fleet.nodes[index]) {
                (0, Some(node)) => node.read_register(now, &key),
                (1 | 4, Some(node)) => node.begin_change(now, &key),
                (2, _) => {
                    fleet.nodes[index] = None;
                    fleet.files[index] = File::default();
                    fleet.run(LEASE);
                    fleet.start(index);
                }
                (3, _) => {
                    fleet.deaf = BTreeSet::from([index % 3]);
                }
                (_, Some(node)) => {
                    let now = fleet.now;
                    node.leave(now);
                    fleet.run(LEASE);
                    fleet.start(index);
                }
                (_, None) => {}
            }
            fleet.run(LEASE / 6);
            if let Some(node) = &mut fleet.nodes[index] {
                node.propose(fleet.now, &key, Some(vec![round; 3]));
            }
            fleet.run(LEASE / 2);
            fleet.deaf.clear();
        }
        fleet.check();
        fleet.digest
    };
    let kept = [12_943_390_530_538_999_451, 1_438_771_815_652_841_542, 7_092_480_359_083_854_448];
    assert_eq!([run(21), run(22), run(23)], kept);
}
