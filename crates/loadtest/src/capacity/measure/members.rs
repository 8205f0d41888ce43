//! Membership in virtual time: real members, messages that take up to 20 ms, nothing lost. What all of them send, and how
//! long news takes to the last of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use dunemount_fleet::frame;
use dunemount_fleet::membership::{MemberIdentity, Membership, MembershipTimeouts};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::process::{memory_kib, own_cpu_us};
use super::{Figures, Setup};
use crate::capacity::slopes::Point;

const SIZES: [usize; 5] = [45, 90, 180, 355, 710];
/// As `src/fleet/node_settings.rs` sets it from a probe each 500 ms.
const PROBE: Duration = Duration::from_millis(500);
/// How long nothing happens, from a start to where all know all, and from there to where the news of it has ended.
const SETTLE: Duration = Duration::from_secs(30);
const WATCHED: Duration = Duration::from_secs(10);
/// How long regions do not hear each other.
const APART: Duration = Duration::from_secs(30);
/// Longest that news is waited for.
const LONGEST: Duration = Duration::from_secs(120);
/// How often it is looked at.
const LOOK: Duration = Duration::from_millis(100);
/// Longest that a message is on its way, in microseconds.
const WAY: u32 = 20_000;
/// Bytes around a message in its datagram.
const FRAME: u64 = (frame::MAX_DATAGRAM_BYTES - frame::MAX_MESSAGE_BYTES) as u64;

enum Step {
    Tick(usize),
    Hear(usize, Vec<u8>),
}

struct Net {
    now: Duration,
    members: Vec<Option<Membership>>,
    /// When each is looked at next, as far as that has been booked.
    booked: Vec<Duration>,
    at: BTreeMap<SocketAddr, usize>,
    steps: BTreeMap<(Duration, u64), Step>,
    serial: u64,
    dice: Pcg64Mcg,
    /// Members on either side of it hear nothing of the other.
    cut: Option<usize>,
    sent: u64,
    bytes: u64,
}

fn peer(index: usize, start: u64) -> MemberIdentity {
    let address = SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], 7400));
    MemberIdentity { name: format!("gateway-{index:04}"), start, incarnation: 0, address }
}

impl Net {
    fn of(count: usize, seed: u64) -> Net {
        let mut net = Net {
            now: Duration::ZERO,
            members: (0..count).map(|_| None).collect(),
            booked: vec![Duration::MAX; count],
            at: (0..count).map(|index| (peer(index, 0).address, index)).collect(),
            steps: BTreeMap::new(),
            serial: 0,
            dice: Pcg64Mcg::seed_from_u64(seed),
            cut: None,
            sent: 0,
            bytes: 0,
        };
        (0..count).for_each(|index| net.start(index, 1));
        net
    }

    fn start(&mut self, index: usize, start: u64) {
        let pace = MembershipTimeouts {
            probe_interval: PROBE,
            probe_timeout: PROBE / 3,
            suspicion_timeout: PROBE * 3,
            down_retention: PROBE * 120,
        };
        let count = self.members.len();
        // One voter in each of the first zones.
        let seeds = (0..3.min(count))
            .map(|seed| MemberIdentity::with_address(&peer(seed, 0).name, peer(seed, 0).address))
            .collect();
        let seed = u64::from(self.dice.next_u32());
        self.members[index] = Some(Membership::new(peer(index, start), seeds, count as u32, pace, seed));
        let at = self.now + Duration::from_micros(u64::from(self.dice.next_u32() % 500_000));
        self.booked[index] = at;
        self.book(at, Step::Tick(index));
    }

    fn book(&mut self, at: Duration, step: Step) {
        self.serial += 1;
        self.steps.insert((at, self.serial), step);
    }

    fn run(&mut self, until: Duration) {
        while let Some(first) = self.steps.first_entry().filter(|first| first.key().0 <= until) {
            let ((now, _), step) = first.remove_entry();
            self.now = now;
            let index = match step {
                // One that was booked later than another was since would book a turn of its own for ever.
                Step::Tick(index) if self.booked[index] != now => continue,
                Step::Tick(index) => {
                    self.booked[index] = Duration::MAX;
                    self.members[index].as_mut().into_iter().for_each(|member| member.tick(now));
                    index
                }
                Step::Hear(index, message) => {
                    self.members[index]
                        .as_mut()
                        .into_iter()
                        .for_each(|member| member.handle_message(now, &message));
                    index
                }
            };
            self.carry(index);
        }
        self.now = until;
    }

    /// Puts what a member sends on its way and books its next turn.
    fn carry(&mut self, from: usize) {
        while let Some((to, message)) = self.members[from].as_mut().and_then(Membership::next_message) {
            self.sent += 1;
            self.bytes += message.len() as u64 + FRAME;
            let to = self.at.get(&to).copied();
            let apart = |to: &usize| self.cut.is_some_and(|cut| (from < cut) != (*to < cut));
            if let Some(to) = to.filter(|to| !apart(to)) {
                let way = Duration::from_micros(u64::from(self.dice.next_u32() % WAY));
                self.book(self.now + way, Step::Hear(to, message));
            }
        }
        let Some(member) = &mut self.members[from] else { return };
        while member.next_change().is_some() {}
        let due = member.next_deadline().max(self.now);
        if due < self.booked[from] {
            self.booked[from] = due;
            self.book(due, Step::Tick(from));
        }
    }

    /// Whether each member knows so many others.
    fn all_know(&self, others: impl Fn(usize) -> usize) -> bool {
        let mut there =
            self.members.iter().enumerate().filter_map(|(at, member)| Some((at, member.as_ref()?)));
        there.all(|(at, member)| member.members().len() == others(at))
    }

    /// Goes on until each member knows so many others: how long that took, and the most bytes a second and member. News
    /// that does not get round in time is told, and gives no figure.
    fn until_known(&mut self, what: &str, others: impl Fn(usize) -> usize) -> Option<(f64, f64)> {
        let from = self.now;
        let there = self.members.iter().flatten().count() as f64;
        let (mut most, mut second, mut bytes) = (0, self.now + Duration::from_secs(1), self.bytes);
        let mut known = None;
        // The second in which the last one knows counts whole.
        while known.is_none_or(|at| at + Duration::from_secs(1) > self.now) {
            known = known.or(self.all_know(&others).then_some(self.now));
            if known.is_none() && self.now >= from + LONGEST {
                eprintln!("loadtest: {} members: not all knew {what} after {LONGEST:?}", self.members.len());
                return None;
            }
            self.run(self.now + LOOK);
            if self.now >= second {
                most = most.max(self.bytes - bytes);
                (second, bytes) = (self.now + Duration::from_secs(1), self.bytes);
            }
        }
        known.map(|at| ((at - from).as_secs_f64(), most as f64 / there))
    }
}

/// Measures all sizes, the smallest first.
///
/// # Errors
/// News that did not get round in time.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let mut figures = Figures::default();
    let sizes = SIZES.into_iter().filter(|size| *size <= setup.largest);
    // By itself, before others take memory. Each goes on as its size's first round: the start is the dearest part.
    let mut runs: Vec<(usize, u64, Option<Net>)> = Vec::new();
    for size in sizes {
        let before = memory_kib("self");
        let mut net = Net::of(size, 1);
        net.run(SETTLE / 3);
        figures.add("member_kib", size, (memory_kib("self") - before).max(0.0) / size as f64);
        runs.push((size, 1, Some(net)));
        runs.extend((2..=u64::from(setup.rounds)).map(|seed| (size, seed, None)));
    }
    let ended: Vec<Result<Figures, String>> = std::thread::scope(|scope| {
        let of = |(size, seed, net): (usize, u64, Option<Net>)| net.unwrap_or_else(|| Net::of(size, seed));
        let all: Vec<_> = runs.into_iter().map(|run| scope.spawn(move || play(of(run)))).collect();
        all.into_iter().map(|one| one.join().unwrap_or_else(|_| Err("a play panicked".into()))).collect()
    });
    for one in ended {
        for ((slope, size), rounds) in one?.0 {
            rounds.into_iter().for_each(|figure| figures.add(slope, size as usize, figure));
        }
    }
    Ok(figures.points())
}

fn play(mut net: Net) -> Result<Figures, String> {
    let (mut figures, size) = (Figures::default(), net.members.len());
    net.run(SETTLE);
    if net.until_known("each other", |_| size - 1).is_none() {
        return Ok(figures);
    }
    let (cpu, sent, bytes) = (own_cpu_us(), net.sent, net.bytes);
    net.run(net.now + WATCHED);
    let each = |sum: f64| sum / WATCHED.as_secs_f64() / size as f64;
    figures.add("member_cpu_us_s", size, each(own_cpu_us() - cpu));
    figures.add("member_messages_s", size, each((net.sent - sent) as f64));
    figures.add("member_bytes_s", size, each((net.bytes - bytes) as f64));

    let mut news = |net: &mut Net, what: &str, slopes: [&'static str; 2], others: &dyn Fn(usize) -> usize| {
        if let Some((took, bytes)) = net.until_known(what, others) {
            figures.add(slopes[0], size, took);
            figures.add(slopes[1], size, bytes);
        }
    };
    net.members[size - 1] = None;
    news(&mut net, "a death", ["death_known_s", "death_bytes_s"], &|_| size - 2);

    // Before the zone: what its return leaves unknown would be counted as the regions'.
    let (left, half) = (size - 1, size / 2);
    net.cut = Some(half);
    net.run(net.now + APART);
    net.until_known("that regions are apart", |at| if at < half { half - 1 } else { left - half - 1 });
    net.cut = None;
    news(&mut net, "that regions are joined", ["rejoin_known_s", "rejoin_bytes_s"], &|_| left - 1);

    // The news of the regions is passed on for a while after all know it, and would stand in the way of the zone's.
    net.run(net.now + SETTLE);
    let zone = size - size / 6..size;
    zone.clone().for_each(|index| net.members[index] = None);
    news(&mut net, "a zone's death", ["zone_death_known_s", "zone_death_bytes_s"], &|_| zone.start - 1);
    zone.for_each(|index| net.start(index, 3));
    news(&mut net, "a zone's return", ["zone_back_known_s", "zone_back_bytes_s"], &|_| size - 1);
    Ok(figures)
}
