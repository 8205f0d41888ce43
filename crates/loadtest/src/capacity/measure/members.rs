//! Membership in virtual time: the real membership code, messages that take up to 20 ms, no message loss. Measures what
//! members send, and how long a change takes to become known to all members.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use dunemount_fleet::frame;
use dunemount_fleet::membership::{MemberIdentity, Membership, MembershipTimeouts};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::process::{memory_kib, thread_cpu_us};
use super::{Measurements, Setup};
use crate::capacity::slopes::Point;

const MEMBER_COUNTS: [usize; 5] = [45, 90, 180, 355, 710];
/// Members probe each 500 ms; the other timeouts follow from that as in `src/fleet/node_settings.rs`.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without events: from the start until all members know each other, and until their updates are no longer
/// gossiped.
const SETTLE_TIME: Duration = Duration::from_secs(30);
/// Time over which the traffic of a quiet fleet is measured.
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// Duration of the network partition between two regions.
const PARTITION_TIME: Duration = Duration::from_secs(30);
/// Longest time to wait until a change is known to all members.
const LONGEST_WAIT: Duration = Duration::from_secs(120);
/// Interval at which the members' knowledge is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Upper bound of a message's delivery delay, in microseconds.
const MAX_DELIVERY_US: u32 = 20_000;
/// Bytes that a datagram adds to its message.
const FRAME_BYTES: u64 = (frame::MAX_DATAGRAM_BYTES - frame::MAX_MESSAGE_BYTES) as u64;

enum ScheduledEvent {
    Tick(usize),
    Deliver(usize, Vec<u8>),
}

struct SimulatedNetwork {
    now: Duration,
    members: Vec<Option<Membership>>,
    /// Time of the next scheduled tick of each member; `Duration::MAX` if none is scheduled.
    next_ticks: Vec<Duration>,
    indices: BTreeMap<SocketAddr, usize>,
    schedule: BTreeMap<(Duration, u64), ScheduledEvent>,
    serial: u64,
    rng: Pcg64Mcg,
    /// Index of the first member beyond the partition; messages across it are dropped.
    partition: Option<usize>,
    sent_messages: u64,
    sent_bytes: u64,
}

fn identity(index: usize, start: u64) -> MemberIdentity {
    let address = SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], 7400));
    MemberIdentity { name: format!("gateway-{index:04}"), start, incarnation: 0, address }
}

impl SimulatedNetwork {
    fn with_members(count: usize, seed: u64) -> SimulatedNetwork {
        let mut network = SimulatedNetwork {
            now: Duration::ZERO,
            members: (0..count).map(|_| None).collect(),
            next_ticks: vec![Duration::MAX; count],
            indices: (0..count).map(|index| (identity(index, 0).address, index)).collect(),
            schedule: BTreeMap::new(),
            serial: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            partition: None,
            sent_messages: 0,
            sent_bytes: 0,
        };
        (0..count).for_each(|index| network.start(index, 1));
        network
    }

    fn start(&mut self, index: usize, start: u64) {
        let timeouts = MembershipTimeouts {
            probe_interval: PROBE_INTERVAL,
            probe_timeout: PROBE_INTERVAL / 3,
            suspicion_timeout: PROBE_INTERVAL * 3,
            down_retention: PROBE_INTERVAL * 120,
        };
        let count = self.members.len();
        // Seed members: one voter in each of the first three zones.
        let seeds = (0..3.min(count))
            .map(|seed| MemberIdentity::with_address(&identity(seed, 0).name, identity(seed, 0).address))
            .collect();
        let seed = u64::from(self.rng.next_u32());
        self.members[index] =
            Some(Membership::new(identity(index, start), seeds, count as u32, timeouts, seed));
        let at = self.now + Duration::from_micros(u64::from(self.rng.next_u32() % 500_000));
        self.next_ticks[index] = at;
        self.schedule_at(at, ScheduledEvent::Tick(index));
    }

    fn schedule_at(&mut self, at: Duration, event: ScheduledEvent) {
        self.serial += 1;
        self.schedule.insert((at, self.serial), event);
    }

    fn run(&mut self, until: Duration) {
        while let Some(first) = self.schedule.first_entry().filter(|first| first.key().0 <= until) {
            let ((now, _), event) = first.remove_entry();
            self.now = now;
            let index = match event {
                // An earlier tick has replaced this one; it must not run, or it would keep scheduling further ticks.
                ScheduledEvent::Tick(index) if self.next_ticks[index] != now => continue,
                ScheduledEvent::Tick(index) => {
                    self.next_ticks[index] = Duration::MAX;
                    self.members[index].as_mut().into_iter().for_each(|member| member.tick(now));
                    index
                }
                ScheduledEvent::Deliver(index, message) => {
                    self.members[index]
                        .as_mut()
                        .into_iter()
                        .for_each(|member| member.handle_message(now, &message));
                    index
                }
            };
            self.send_messages(index);
        }
        self.now = until;
    }

    /// Schedules the delivery of a member's messages and its next tick.
    fn send_messages(&mut self, from: usize) {
        while let Some((to, message)) = self.members[from].as_mut().and_then(Membership::next_message) {
            self.sent_messages += 1;
            self.sent_bytes += message.len() as u64 + FRAME_BYTES;
            let to = self.indices.get(&to).copied();
            let is_partitioned =
                |to: &usize| self.partition.is_some_and(|partition| (from < partition) != (*to < partition));
            if let Some(to) = to.filter(|to| !is_partitioned(to)) {
                let delay = Duration::from_micros(u64::from(self.rng.next_u32() % MAX_DELIVERY_US));
                self.schedule_at(self.now + delay, ScheduledEvent::Deliver(to, message));
            }
        }
        let Some(member) = &mut self.members[from] else { return };
        while member.next_change().is_some() {}
        let next_tick = member.next_deadline().max(self.now);
        if next_tick < self.next_ticks[from] {
            self.next_ticks[from] = next_tick;
            self.schedule_at(next_tick, ScheduledEvent::Tick(from));
        }
    }

    /// Whether each running member knows as many others as `others` gives for its index.
    fn all_know(&self, others: impl Fn(usize) -> usize) -> bool {
        let mut running =
            self.members.iter().enumerate().filter_map(|(at, member)| Some((at, member.as_ref()?)));
        running.all(|(at, member)| member.members().len() == others(at))
    }

    /// Runs until each running member knows as many others as `others` gives for its index. Returns the seconds that
    /// this took, and the bytes per member in the worst second; `None`, with a message to the operator, if it took
    /// too long.
    fn run_until_known(&mut self, change: &str, others: impl Fn(usize) -> usize) -> Option<(f64, f64)> {
        let from = self.now;
        let running = self.members.iter().flatten().count() as f64;
        let (mut most_bytes, mut second_end, mut bytes) =
            (0, self.now + Duration::from_secs(1), self.sent_bytes);
        let mut known = None;
        // Run to the end of the second in which the last member learned of it, so that this second counts in full.
        while known.is_none_or(|at| at + Duration::from_secs(1) > self.now) {
            known = known.or(self.all_know(&others).then_some(self.now));
            if known.is_none() && self.now >= from + LONGEST_WAIT {
                eprintln!(
                    "loadtest: {} members: {change} not known to all after {LONGEST_WAIT:?}; no value recorded",
                    self.members.len()
                );
                return None;
            }
            self.run(self.now + CHECK_INTERVAL);
            if self.now >= second_end {
                most_bytes = most_bytes.max(self.sent_bytes - bytes);
                (second_end, bytes) = (self.now + Duration::from_secs(1), self.sent_bytes);
            }
        }
        known.map(|at| ((at - from).as_secs_f64(), most_bytes as f64 / running))
    }
}

/// Measures all sizes, the smallest first.
///
/// # Errors
/// A simulation panicked.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let mut measurements = Measurements::default();
    let sizes = MEMBER_COUNTS.into_iter().filter(|size| *size <= setup.largest);
    // Memory is measured one network at a time, before others allocate. Each network continues as the first round of
    // its size, because starting it is the most expensive part.
    let mut rounds: Vec<(usize, u64, Option<SimulatedNetwork>)> = Vec::new();
    for size in sizes {
        let kib_before = memory_kib("self");
        let mut network = SimulatedNetwork::with_members(size, 1);
        network.run(SETTLE_TIME / 3);
        measurements.add("member_kib", size, (memory_kib("self") - kib_before).max(0.0) / size as f64);
        rounds.push((size, 1, Some(network)));
        rounds.extend((2..=u64::from(setup.rounds)).map(|seed| (size, seed, None)));
    }
    let results: Vec<Result<Measurements, String>> = std::thread::scope(|scope| {
        let network_of = |(size, seed, network): (usize, u64, Option<SimulatedNetwork>)| {
            network.unwrap_or_else(|| SimulatedNetwork::with_members(size, seed))
        };
        let threads: Vec<_> =
            rounds.into_iter().map(|run| scope.spawn(move || simulate(network_of(run)))).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or_else(|_| Err("a simulation of membership panicked".into())))
            .collect()
    });
    for result in results {
        for ((slope, size), values) in result?.0 {
            values.into_iter().for_each(|value| measurements.add(slope, size as usize, value));
        }
    }
    Ok(measurements.points())
}

fn simulate(mut network: SimulatedNetwork) -> Result<Measurements, String> {
    let (mut measurements, size) = (Measurements::default(), network.members.len());
    network.run(SETTLE_TIME);
    if network.run_until_known("the start of all members", |_| size - 1).is_none() {
        return Ok(measurements);
    }
    let (cpu_before, messages_before, bytes_before) =
        (thread_cpu_us(), network.sent_messages, network.sent_bytes);
    network.run(network.now + MEASURED_TIME);
    let per_member_second = |sum: f64| sum / MEASURED_TIME.as_secs_f64() / size as f64;
    measurements.add("member_cpu_us_s", size, per_member_second(thread_cpu_us() - cpu_before));
    measurements.add(
        "member_messages_s",
        size,
        per_member_second((network.sent_messages - messages_before) as f64),
    );
    measurements.add("member_bytes_s", size, per_member_second((network.sent_bytes - bytes_before) as f64));

    let mut record_change = |network: &mut SimulatedNetwork,
                             change: &str,
                             slopes: [&'static str; 2],
                             others: &dyn Fn(usize) -> usize| {
        if let Some((seconds, bytes)) = network.run_until_known(change, others) {
            measurements.add(slopes[0], size, seconds);
            measurements.add(slopes[1], size, bytes);
        }
    };
    network.members[size - 1] = None;
    record_change(&mut network, "a member's failure", ["death_known_s", "death_bytes_s"], &|_| size - 2);

    // The partition comes before the zone's failure: members that are still unknown after the zone's return would be
    // attributed to the partition.
    let (remaining, half) = (size - 1, size / 2);
    network.partition = Some(half);
    network.run(network.now + PARTITION_TIME);
    network.run_until_known("the partition of the regions", |at| {
        if at < half {
            half - 1
        } else {
            remaining - half - 1
        }
    });
    network.partition = None;
    record_change(&mut network, "the end of the partition", ["rejoin_known_s", "rejoin_bytes_s"], &|_| {
        remaining - 1
    });

    // Members keep gossiping the regions' updates for a while after all know them, which would delay the zone's
    // updates.
    network.run(network.now + SETTLE_TIME);
    let zone = size - size / 6..size;
    zone.clone().for_each(|index| network.members[index] = None);
    record_change(&mut network, "a zone's failure", ["zone_death_known_s", "zone_death_bytes_s"], &|_| {
        zone.start - 1
    });
    zone.for_each(|index| network.start(index, 3));
    record_change(&mut network, "a zone's return", ["zone_back_known_s", "zone_back_bytes_s"], &|_| size - 1);
    Ok(measurements)
}
