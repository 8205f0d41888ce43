//! Membership in virtual time: joins, deaths, restarts, partitions that heal, duplicate names, and the traffic at 300
//! members.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use dunemount_fleet::membership::{
    MemberIdentity, Membership, MembershipChange, MembershipTimeouts, MAX_NAME_BYTES,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TIMEOUTS: MembershipTimeouts = MembershipTimeouts {
    probe_interval: Duration::from_millis(500),
    probe_timeout: Duration::from_millis(150),
    suspicion_timeout: Duration::from_millis(2_000),
    down_retention: Duration::from_secs(60),
};

fn identity(index: usize, start: u64) -> MemberIdentity {
    let address: SocketAddr =
        format!("127.0.{}.{}:7400", index / 250, index % 250 + 1).parse().expect("an address");
    MemberIdentity { name: format!("gw-{index}"), start, incarnation: 0, address }
}

/// A message in transit: time of arrival, sequence number, index of the receiver, and bytes.
type Envelope = (Duration, u64, usize, Vec<u8>);

struct Network {
    now: Duration,
    members: Vec<Option<Membership>>,
    superseded: Vec<bool>,
    index_by_address: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<Envelope>>,
    sequence: u64,
    rng: Pcg64Mcg,
    loss: f64,
    /// Members below this index cannot reach the others, nor the others them.
    partition_at: Option<usize>,
    sent: u64,
    bytes: u64,
}

impl Network {
    fn new(count: usize, seed: u64) -> Network {
        let mut network = Network {
            now: Duration::ZERO,
            members: Vec::new(),
            superseded: vec![false; count],
            index_by_address: BTreeMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            partition_at: None,
            sent: 0,
            bytes: 0,
        };
        for index in 0..count {
            network.members.push(None);
            network.start(index, identity(index, 1), count);
        }
        network
    }

    fn start(&mut self, index: usize, local: MemberIdentity, size: usize) {
        let seeds = (0..3.min(size))
            .map(|seed| MemberIdentity::with_address(&identity(seed, 0).name, identity(seed, 0).address))
            .collect();
        self.index_by_address.insert(local.address, index);
        let seed = self.rng.next_u64();
        self.members[index] = Some(Membership::new(local, seeds, size as u32, TIMEOUTS, seed));
        self.superseded[index] = false;
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += Duration::from_millis(25);
            while let Some(Reverse((at, _, to, _))) = self.queue.peek() {
                if *at > self.now {
                    break;
                }
                let to = *to;
                let Some(Reverse((.., message))) = self.queue.pop() else { break };
                if let Some(member) = &mut self.members[to] {
                    member.handle_message(self.now, &message);
                }
                self.deliver_output(to);
            }
            for index in 0..self.members.len() {
                if let Some(member) = &mut self.members[index] {
                    if member.next_deadline() <= self.now {
                        member.tick(self.now);
                    }
                }
                self.deliver_output(index);
            }
        }
    }

    fn deliver_output(&mut self, from: usize) {
        while let Some((to, message)) = self.members[from].as_mut().and_then(Membership::next_message) {
            self.sent += 1;
            self.bytes += message.len() as u64;
            let Some(to) = self.index_by_address.get(&to).copied() else { continue };
            let is_partitioned = self.partition_at.is_some_and(|at| (from < at) != (to < at));
            let is_lost = (self.rng.next_u32() as f64 / u32::MAX as f64) < self.loss;
            if is_partitioned || is_lost {
                continue;
            }
            self.sequence += 1;
            let delay = Duration::from_micros(u64::from(self.rng.next_u32() % 20_000));
            self.queue.push(Reverse((self.now + delay, self.sequence, to, message)));
        }
        while let Some(change) = self.members[from].as_mut().and_then(Membership::next_change) {
            self.superseded[from] |= change == MembershipChange::Superseded;
        }
    }

    /// Number of other members that each member knows.
    fn members_seen(&self) -> Vec<usize> {
        self.members.iter().flatten().map(|member| member.members().len()).collect()
    }
}

/// Guards membership: all members find each other through three seeds, a member that died is declared down by all but
/// not at its first silence, a restart under the same name is a new process, and a leave takes effect without a
/// suspicion.
#[test]
fn members_join_die_return_and_leave() {
    let mut network = Network::new(7, 1);
    network.run(Duration::from_secs(5));
    assert_eq!(network.members_seen(), [6; 7]);
    network.members[5] = None;
    network.run(Duration::from_millis(400));
    assert!(
        network.members_seen().iter().filter(|members_seen| **members_seen == 6).count() > 3,
        "a short silence does not take a member down"
    );
    network.run(Duration::from_secs(12));
    assert_eq!(network.members_seen(), [5; 6]);
    network.start(5, identity(5, 2), 7);
    network.run(Duration::from_secs(5));
    assert_eq!(network.members_seen(), [6; 7]);
    let known = |network: &Network| {
        let members_seen = network.members[0]
            .as_ref()
            .expect("running")
            .members()
            .find(|member| member.name == "gw-5")
            .cloned();
        members_seen.expect("known").start
    };
    assert_eq!(known(&network), 2);
    let now = network.now;
    network.members[6].as_mut().expect("running").leave(now);
    network.deliver_output(6);
    network.members[6] = None;
    network.run(Duration::from_secs(2));
    assert_eq!(network.members_seen(), [5; 6], "down without a suspicion");
}

/// Guards against members that stay down by mistake, and against partitions that stay after the network has healed:
/// with 30% loss no member is down permanently, and two sides that have declared each other down become one fleet
/// again.
#[test]
fn loss_and_partitions_heal() {
    let mut network = Network::new(9, 2);
    network.loss = 0.3;
    network.run(Duration::from_secs(60));
    network.loss = 0.0;
    network.run(Duration::from_secs(20));
    assert_eq!(network.members_seen(), [8; 9]);
    network.partition_at = Some(4);
    network.run(Duration::from_secs(30));
    assert_eq!(network.members_seen(), [3, 3, 3, 3, 4, 4, 4, 4, 4]);
    network.partition_at = None;
    network.run(Duration::from_secs(30));
    assert_eq!(network.members_seen(), [8; 9]);
}

/// Guards against duplicate names: of two processes with the same name the later start is the member, and the other one
/// is notified.
#[test]
fn of_two_processes_with_one_name_the_later_start_counts() {
    let mut network = Network::new(5, 3);
    network.run(Duration::from_secs(5));
    let namesake =
        MemberIdentity { address: "127.0.9.9:7400".parse().expect("an address"), ..identity(4, 2) };
    network.members.push(None);
    network.superseded.push(false);
    network.start(5, namesake, 5);
    network.run(Duration::from_secs(20));
    assert!(network.superseded[4] && !network.superseded[5], "{:?}", network.superseded);
    let starts: Vec<u64> = network.members[..4]
        .iter()
        .flatten()
        .flat_map(|member| member.members().filter(|member| member.name == "gw-4").map(|member| member.start))
        .collect();
    assert_eq!(starts, [2; 4]);
}

/// Guards against malformed messages: they change nothing and are counted.
#[test]
fn malformed_messages_change_nothing() {
    let mut network = Network::new(3, 4);
    network.run(Duration::from_secs(5));
    let now = network.now;
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let member = network.members[0].as_mut().expect("running");
    let rejected_before = member.rejected_messages();
    for length in 0..600 {
        let bytes: Vec<u8> = (0..length).map(|_| rng.next_u32() as u8).collect();
        member.handle_message(now, &bytes);
        assert_eq!(member.members().len(), 2);
    }
    assert!(member.rejected_messages() > rejected_before + 500);
}

/// Guards the traffic: the messages that a member sends do not grow with the fleet.
#[test]
fn a_member_of_three_hundred_sends_as_much_as_one_of_thirty() {
    let mut rates = Vec::new();
    for count in [30, 300] {
        let mut network = Network::new(count, 6);
        network.run(Duration::from_secs(45));
        let missing = network.members_seen().iter().filter(|members_seen| **members_seen < count - 1).count();
        assert_eq!(
            missing,
            0,
            "members that do not see all of {count}: {:?}",
            network.members_seen().iter().min()
        );
        (network.sent, network.bytes) = (0, 0);
        network.run(Duration::from_secs(10));
        let rate = |sum: u64| sum as f64 / 10.0 / count as f64;
        rates.push((rate(network.sent), rate(network.bytes)));
        println!(
            "{count} members: {:.1} messages and {:.0} bytes a second each",
            rate(network.sent),
            rate(network.bytes)
        );
    }
    // A datagram holds updates on about fifty members and grows no further in a larger fleet.
    assert!(rates[1].0 < rates[0].0 * 1.2 && rates[1].1 < rates[0].1 * 2.5, "{rates:?}");
}

/// Guards dissemination: the update about a death reaches every member by gossip. A member that misses it would find
/// out only by its own probe, which reaches a given member once in as many probes as there are members.
#[test]
fn news_of_a_death_reaches_the_last_member_by_gossip() {
    let (count, deaths) = (90, 24);
    for seed in 100..102 {
        let mut network = Network::new(count, seed);
        network.run(Duration::from_secs(30));
        assert!(
            network.members_seen().iter().all(|members_seen| *members_seen == count - 1),
            "{:?}",
            network.members_seen()
        );
        for dead in 1..=deaths {
            let until = network.now + Duration::from_secs(12);
            network.members[count - dead] = None;
            while network.members_seen().iter().any(|members_seen| *members_seen != count - 1 - dead) {
                assert!(
                    network.now < until,
                    "seed {seed}: death {dead} is not known to all by {:?}",
                    network.now
                );
                network.run(Duration::from_millis(100));
            }
        }
    }
}

/// Guards the comparison of names: names of the maximum length that differ in one byte only, or in their length, are
/// separate members, and a name that is too long is rejected without hiding another member.
#[test]
fn names_that_differ_in_one_byte_are_a_member_each() {
    let longest = "n".repeat(MAX_NAME_BYTES);
    let with_change = |at: usize, with: &str| format!("{}{with}{}", &longest[..at], &longest[at + 1..]);
    let last = MAX_NAME_BYTES - 1;
    let names = [
        longest.clone(),
        with_change(0, "m"),
        with_change(8, "m"),
        with_change(last, "m"),
        with_change(last, ""),
        with_change(last, "\0"),
    ];
    let too_long = format!("{longest}n");
    let mut network = Network::new(3, 8);
    for name in names.iter().chain([&too_long]) {
        let index = network.members.len();
        network.members.push(None);
        network.superseded.push(false);
        network.start(index, MemberIdentity { name: name.clone(), ..identity(index, 1) }, 10);
    }
    network.run(Duration::from_secs(20));
    let mut all: Vec<&str> = names.iter().map(String::as_str).chain(["gw-0", "gw-1", "gw-2"]).collect();
    all.sort_unstable();
    for member in network.members.iter().take(3 + names.len()).flatten() {
        let local = member.local().name.as_str();
        let members_seen: Vec<&str> = member.members().map(|identity| identity.name.as_str()).collect();
        let others: Vec<&str> = all.iter().copied().filter(|name| *name != local).collect();
        assert_eq!(members_seen, others, "as {local} sees them");
        assert!(member.rejected_messages() > 0, "the name that is too long is rejected and counted");
    }
    assert_eq!(network.superseded, [false; 10]);
}
