//! Membership in virtual time: joins, deaths, returns, cuts that heal, names borne twice, and its cost at 300 members.

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

fn peer(index: usize, start: u64) -> MemberIdentity {
    let address: SocketAddr = format!("127.0.{}.{}:7400", index / 250, index % 250 + 1).parse().expect("one");
    MemberIdentity { name: format!("gw-{index}"), start, incarnation: 0, address }
}

/// A message on its way: when it comes, its number, to whom, and what it says.
type Post = (Duration, u64, usize, Vec<u8>);

struct Net {
    now: Duration,
    members: Vec<Option<Membership>>,
    superseded: Vec<bool>,
    at: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<Post>>,
    serial: u64,
    dice: Pcg64Mcg,
    loss: f64,
    /// Members on either side hear nothing of the other.
    cut: Option<usize>,
    sent: u64,
    bytes: u64,
}

impl Net {
    fn of(count: usize, seed: u64) -> Net {
        let mut net = Net {
            now: Duration::ZERO,
            members: Vec::new(),
            superseded: vec![false; count],
            at: BTreeMap::new(),
            queue: BinaryHeap::new(),
            serial: 0,
            dice: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            cut: None,
            sent: 0,
            bytes: 0,
        };
        for index in 0..count {
            net.members.push(None);
            net.start(index, peer(index, 1), count);
        }
        net
    }

    fn start(&mut self, index: usize, me: MemberIdentity, size: usize) {
        let seeds = (0..3.min(size))
            .map(|seed| MemberIdentity::with_address(&peer(seed, 0).name, peer(seed, 0).address))
            .collect();
        self.at.insert(me.address, index);
        let seed = self.dice.next_u64();
        self.members[index] = Some(Membership::new(me, seeds, size as u32, TIMEOUTS, seed));
        self.superseded[index] = false;
    }

    fn run(&mut self, lasts: Duration) {
        let until = self.now + lasts;
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
                self.carry(to);
            }
            for index in 0..self.members.len() {
                if let Some(member) = &mut self.members[index] {
                    if member.next_deadline() <= self.now {
                        member.tick(self.now);
                    }
                }
                self.carry(index);
            }
        }
    }

    fn carry(&mut self, from: usize) {
        while let Some((to, message)) = self.members[from].as_mut().and_then(Membership::next_message) {
            self.sent += 1;
            self.bytes += message.len() as u64;
            let Some(to) = self.at.get(&to).copied() else { continue };
            let parted = self.cut.is_some_and(|at| (from < at) != (to < at));
            let lost = (self.dice.next_u32() as f64 / u32::MAX as f64) < self.loss;
            if parted || lost {
                continue;
            }
            self.serial += 1;
            let delay = Duration::from_micros(u64::from(self.dice.next_u32() % 20_000));
            self.queue.push(Reverse((self.now + delay, self.serial, to, message)));
        }
        while let Some(change) = self.members[from].as_mut().and_then(Membership::next_change) {
            self.superseded[from] |= change == MembershipChange::Superseded;
        }
    }

    /// How many others each member sees.
    fn seen(&self) -> Vec<usize> {
        self.members.iter().flatten().map(|member| member.members().len()).collect()
    }
}

/// Guards the view of who is there: all find each other through three seeds, a death is seen by all and by nobody
/// before, a return under the old name is a new process, a leave needs no suspicion.
#[test]
fn members_come_die_return_and_leave() {
    let mut net = Net::of(7, 1);
    net.run(Duration::from_secs(5));
    assert_eq!(net.seen(), [6; 7]);
    net.members[5] = None;
    net.run(Duration::from_millis(400));
    assert!(net.seen().iter().filter(|seen| **seen == 6).count() > 3, "silence alone is no death");
    net.run(Duration::from_secs(12));
    assert_eq!(net.seen(), [5; 6]);
    net.start(5, peer(5, 2), 7);
    net.run(Duration::from_secs(5));
    assert_eq!(net.seen(), [6; 7]);
    let known = |net: &Net| {
        let seen = net.members[0].as_ref().expect("there").members().find(|p| p.name == "gw-5").cloned();
        seen.expect("known").start
    };
    assert_eq!(known(&net), 2);
    let now = net.now;
    net.members[6].as_mut().expect("there").leave(now);
    net.carry(6);
    net.members[6] = None;
    net.run(Duration::from_secs(2));
    assert_eq!(net.seen(), [5; 6], "gone without a suspicion");
}

/// Guards against false deaths and lasting cuts: 30% loss takes nobody out for good, two halves that have given each
/// other up are one fleet again by themselves.
#[test]
fn loss_and_cuts_heal() {
    let mut net = Net::of(9, 2);
    net.loss = 0.3;
    net.run(Duration::from_secs(60));
    net.loss = 0.0;
    net.run(Duration::from_secs(20));
    assert_eq!(net.seen(), [8; 9]);
    net.cut = Some(4);
    net.run(Duration::from_secs(30));
    assert_eq!(net.seen(), [3, 3, 3, 3, 4, 4, 4, 4, 4]);
    net.cut = None;
    net.run(Duration::from_secs(30));
    assert_eq!(net.seen(), [8; 9]);
}

/// Guards names: of two processes that bear one, the later start counts and the other is told.
#[test]
fn a_name_borne_twice_is_the_later_starts() {
    let mut net = Net::of(5, 3);
    net.run(Duration::from_secs(5));
    let twin = MemberIdentity { address: "127.0.9.9:7400".parse().expect("one"), ..peer(4, 2) };
    net.members.push(None);
    net.superseded.push(false);
    net.start(5, twin, 5);
    net.run(Duration::from_secs(20));
    assert!(net.superseded[4] && !net.superseded[5], "{:?}", net.superseded);
    let starts: Vec<u64> = net.members[..4]
        .iter()
        .flatten()
        .flat_map(|member| member.members().filter(|p| p.name == "gw-4").map(|p| p.start))
        .collect();
    assert_eq!(starts, [2; 4]);
}

/// Guards the fleet against bytes that are none of its messages: no state moves, and they are counted.
#[test]
fn nonsense_moves_nothing() {
    let mut net = Net::of(3, 4);
    net.run(Duration::from_secs(5));
    let now = net.now;
    let mut dice = Pcg64Mcg::seed_from_u64(5);
    let member = net.members[0].as_mut().expect("there");
    let refused = member.rejected_messages();
    for length in 0..600 {
        let bytes: Vec<u8> = (0..length).map(|_| dice.next_u32() as u8).collect();
        member.handle_message(now, &bytes);
        assert_eq!(member.members().len(), 2);
    }
    assert!(member.rejected_messages() > refused + 500);
}

/// Guards the cost: what a member sends does not grow with the fleet.
#[test]
fn a_member_of_three_hundred_sends_as_much_as_one_of_thirty() {
    let mut rates = Vec::new();
    for count in [30, 300] {
        let mut net = Net::of(count, 6);
        net.run(Duration::from_secs(45));
        let missing = net.seen().iter().filter(|seen| **seen < count - 1).count();
        assert_eq!(missing, 0, "members that do not see all of {count}: {:?}", net.seen().iter().min());
        (net.sent, net.bytes) = (0, 0);
        net.run(Duration::from_secs(10));
        let rate = |sum: u64| sum as f64 / 10.0 / count as f64;
        rates.push((rate(net.sent), rate(net.bytes)));
        println!(
            "{count} members: {:.1} messages and {:.0} bytes a second each",
            rate(net.sent),
            rate(net.bytes)
        );
    }
    // A datagram that tells of members is full at some fifty of them, and grows no more.
    assert!(rates[1].0 < rates[0].0 * 1.2 && rates[1].1 < rates[0].1 * 2.5, "{rates:?}");
}

/// Guards the last one to hear: news of a death reaches each member by itself, and nobody is left to find out by its own
/// probe, whose turn comes once in as many probes as there are members.
#[test]
fn the_last_member_hears_of_a_death_as_the_others_do() {
    let (count, deaths) = (90, 24);
    for seed in 100..102 {
        let mut net = Net::of(count, seed);
        net.run(Duration::from_secs(30));
        assert!(net.seen().iter().all(|seen| *seen == count - 1), "{:?}", net.seen());
        for dead in 1..=deaths {
            let until = net.now + Duration::from_secs(12);
            net.members[count - dead] = None;
            while net.seen().iter().any(|seen| *seen != count - 1 - dead) {
                assert!(net.now < until, "seed {seed}: death {dead} is not known to all by {:?}", net.now);
                net.run(Duration::from_millis(100));
            }
        }
    }
}

/// Guards names against being taken for each other: such that differ in one place only, at either end of the longest, are
/// members each, and one that is too long is none and hides none.
#[test]
fn names_that_differ_in_one_place_are_members_each() {
    let longest = "n".repeat(MAX_NAME_BYTES);
    let but = |at: usize, with: &str| format!("{}{with}{}", &longest[..at], &longest[at + 1..]);
    let last = MAX_NAME_BYTES - 1;
    let names = [longest.clone(), but(0, "m"), but(8, "m"), but(last, "m"), but(last, ""), but(last, "\0")];
    let too_long = format!("{longest}n");
    let mut net = Net::of(3, 8);
    for name in names.iter().chain([&too_long]) {
        let index = net.members.len();
        net.members.push(None);
        net.superseded.push(false);
        net.start(index, MemberIdentity { name: name.clone(), ..peer(index, 1) }, 10);
    }
    net.run(Duration::from_secs(20));
    let mut all: Vec<&str> = names.iter().map(String::as_str).chain(["gw-0", "gw-1", "gw-2"]).collect();
    all.sort_unstable();
    for member in net.members.iter().take(3 + names.len()).flatten() {
        let me = member.local().name.as_str();
        let seen: Vec<&str> = member.members().map(|peer| peer.name.as_str()).collect();
        let others: Vec<&str> = all.iter().copied().filter(|name| *name != me).collect();
        assert_eq!(seen, others, "as {me} sees them");
        assert!(member.rejected_messages() > 0, "the name that is too long is refused and counted");
    }
    assert_eq!(net.superseded, [false; 10]);
}
