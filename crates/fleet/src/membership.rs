//! Membership by SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol"), with suspicion and incarnations, on the `foca` crate. The caller passes in messages, the time and a
//! seed, and takes out messages and changes.
//!
//! It differs from the published protocol in three points. A member is identified by a lasting name and a start number:
//! of two processes with the same name the later start wins, and the other one is notified
//! ([`MembershipChange::Superseded`]); in SWIM itself the two would declare each other dead forever. Members that are
//! down still receive announcements, so that the two sides of a healed network partition find each other again. And
//! updates are gossiped more often than usual, see [`max_transmissions`].

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Codec, Config, Foca, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::frame;

mod identity;

use identity::IndexedIdentity;
pub use identity::{MemberIdentity, MAX_NAME_BYTES};

/// Maximum number of members of a fleet; further members are ignored.
pub const MAX_MEMBERS: usize = 1024;

/// First byte of a message of the SWIM protocol.
const SWIM_MESSAGE: u8 = 0;
/// First byte of a notice that another process with the receiver's name has started later.
const LATER_START_NOTICE: u8 = 1;
const MESSAGE_TYPE_BYTES: usize = 1;

/// The times after which an unresponsive member is suspected, declared down and forgotten.
#[derive(Clone, Copy, Debug)]
pub struct MembershipTimeouts {
    /// Time between two probes; each probes one member.
    pub probe_interval: Duration,
    /// Maximum time until a probed member answers, directly or through others.
    pub probe_timeout: Duration,
    /// Time from the suspicion of a member until it is declared down.
    pub suspicion_timeout: Duration,
    /// How long a member that is down is remembered.
    pub down_retention: Duration,
}

/// A change of the set of members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A process has joined.
    Up(MemberIdentity),
    /// A process is down: dead, unreachable, or left.
    Down(MemberIdentity),
    /// Another process with the local name has started later: the local process is no longer a member.
    Superseded,
}

/// The protocol's output while it handles an input.
#[derive(Default)]
struct ProtocolOutput {
    messages: VecDeque<(SocketAddr, Vec<u8>)>,
    timers: Vec<(Timer<IndexedIdentity>, Duration)>,
    changes: Vec<MembershipChange>,
}

impl Runtime<IndexedIdentity> for &mut ProtocolOutput {
    fn notify(&mut self, notification: Notification<'_, IndexedIdentity>) {
        match notification {
            Notification::MemberUp(member) => {
                self.changes.push(MembershipChange::Up(member.identity.clone()));
            }
            Notification::MemberDown(member) => {
                self.changes.push(MembershipChange::Down(member.identity.clone()));
            }
            Notification::Rename(before, after) => {
                self.changes.push(MembershipChange::Down(before.identity.clone()));
                self.changes.push(MembershipChange::Up(after.identity.clone()));
            }
            Notification::Active | Notification::Idle | Notification::Rejoin(_) | Notification::Defunct => {}
        }
    }

    fn send_to(&mut self, to: IndexedIdentity, data: &[u8]) {
        self.messages.push_back((to.identity.address, [&[SWIM_MESSAGE], data].concat()));
    }

    fn submit_after(&mut self, event: Timer<IndexedIdentity>, after: Duration) {
        self.timers.push((event, after));
    }
}

/// How often each member transmits an update, in a fleet of this size. If each member transmits it `k` times to members
/// drawn at random, about one in `exp(k)` never receives it and finds out only by its own probe, which reaches a given
/// member once in as many probes as there are members. With the library's default, four times the decimal logarithm,
/// one in 1,100 misses an update at 90 members; with three times the natural logarithm, one in the cube of their
/// number.
fn max_transmissions(fleet_size: NonZeroU32) -> NonZeroU8 {
    let transmissions = 3.0 * f64::from(fleet_size.get().saturating_add(1)).ln();
    NonZeroU8::new(transmissions.ceil().clamp(6.0, 255.0) as u8).unwrap_or(NonZeroU8::MAX)
}

fn protocol_config(fleet_size: u32, timeouts: MembershipTimeouts) -> Config {
    let fleet_size = NonZeroU32::new(fleet_size).unwrap_or(NonZeroU32::MIN);
    let to_members = |count: usize, frequency: Duration| {
        let num_members = NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
        Some(PeriodicParams { frequency, num_members })
    };
    let max_packet_bytes = frame::MAX_MESSAGE_BYTES - MESSAGE_TYPE_BYTES;
    Config {
        probe_period: timeouts.probe_interval,
        probe_rtt: timeouts.probe_timeout,
        suspect_to_down_after: timeouts.suspicion_timeout,
        remove_down_after: timeouts.down_retention,
        max_packet_size: NonZeroUsize::new(max_packet_bytes).unwrap_or(NonZeroUsize::MIN),
        max_transmissions: max_transmissions(fleet_size),
        notify_down_members: true,
        // The sides of a partition declare each other down; these announcements let them find each other again.
        periodic_announce_to_down_members: to_members(1, timeouts.probe_interval * 5),
        // When hundreds of members start at once, not every update reaches all; the reply to an announcement names some
        // members.
        periodic_announce: to_members(1, timeouts.probe_interval * 4),
        periodic_gossip: to_members(2, timeouts.probe_interval / 2),
        ..Config::new_lan(fleet_size)
    }
}

/// One member's view of the members of the fleet.
pub struct Membership {
    protocol: Foca<IndexedIdentity, PostcardCodec, Pcg64Mcg, foca::NoCustomBroadcast>,
    local: MemberIdentity,
    seeds: Vec<MemberIdentity>,
    output: ProtocolOutput,
    changes: VecDeque<MembershipChange>,
    /// By time, then in the order in which they were set.
    timers: BTreeMap<(Duration, u64), Timer<IndexedIdentity>>,
    timer_sequence: u64,
    next_announcement: Duration,
    announcement_interval: Duration,
    /// The other members that are up, by name.
    up: BTreeMap<String, MemberIdentity>,
    superseded: bool,
    rejected_messages: u64,
}

impl Membership {
    /// Creates the local member of a fleet of about `fleet_size` members. It announces itself to the seeds until it
    /// knows another member.
    pub fn new(
        local: MemberIdentity,
        seeds: Vec<MemberIdentity>,
        fleet_size: u32,
        timeouts: MembershipTimeouts,
        rng_seed: u64,
    ) -> Membership {
        let config = protocol_config(fleet_size, timeouts);
        let rng = Pcg64Mcg::seed_from_u64(rng_seed);
        Membership {
            protocol: Foca::new(local.clone().into(), config, rng, PostcardCodec),
            seeds: seeds.into_iter().filter(|seed| seed.name != local.name).collect(),
            local,
            output: ProtocolOutput::default(),
            changes: VecDeque::new(),
            timers: BTreeMap::new(),
            timer_sequence: 0,
            next_announcement: Duration::ZERO,
            announcement_interval: timeouts.probe_interval,
            up: BTreeMap::new(),
            superseded: false,
            rejected_messages: 0,
        }
    }

    /// The identity of the local process.
    pub fn local(&self) -> &MemberIdentity {
        &self.local
    }

    /// The other members that are up, by name.
    pub fn members(&self) -> impl ExactSizeIterator<Item = &MemberIdentity> {
        self.up.values()
    }

    /// Number of messages that could not be handled, and of members not added because there are too many or their name
    /// is too long.
    pub fn rejected_messages(&self) -> u64 {
        self.rejected_messages
    }

    /// When [`Membership::tick`] has to be called next.
    pub fn next_deadline(&self) -> Duration {
        let timer = self.timers.keys().next().map(|(at, _)| *at);
        timer.map_or(self.next_announcement, |at| at.min(self.next_announcement))
    }

    /// Handles the expired timers, and announces the local process while it knows no other member.
    pub fn tick(&mut self, now: Duration) {
        while let Some(first) = self.timers.first_entry().filter(|first| first.key().0 <= now) {
            let timer = first.remove();
            let handled = self.protocol.handle_timer(timer, &mut self.output);
            self.apply_output(now, handled.is_ok());
        }
        if now >= self.next_announcement {
            self.next_announcement = now + self.announcement_interval;
            if self.up.is_empty() && !self.superseded {
                self.announce_to_seeds(now);
            }
        }
    }

    fn announce_to_seeds(&mut self, now: Duration) {
        for seed in self.seeds.clone() {
            let announced = self.protocol.announce(seed.into(), &mut self.output);
            self.apply_output(now, announced.is_ok());
        }
    }

    /// Handles a message from another member.
    pub fn handle_message(&mut self, now: Duration, message: &[u8]) {
        match message.split_first() {
            Some((&SWIM_MESSAGE, _)) if self.superseded => {}
            Some((&SWIM_MESSAGE, data)) => self.handle_swim_message(now, data),
            Some((&LATER_START_NOTICE, data)) => self.handle_later_start_notice(data),
            _ => self.rejected_messages += 1,
        }
    }

    fn handle_swim_message(&mut self, now: Duration, data: &[u8]) {
        if let Some(notice) = self.later_start_notice(data) {
            self.output.messages.push_back(notice);
            return;
        }
        let handled = self.protocol.handle_data(data, &mut self.output);
        self.apply_output(now, handled.is_ok());
    }

    /// The notice to a message's sender if a process with its name has started later; its message is then ignored.
    fn later_start_notice(&mut self, mut data: &[u8]) -> Option<(SocketAddr, Vec<u8>)> {
        let header: foca::Header<IndexedIdentity> = PostcardCodec.decode_header(&mut data).ok()?;
        let sender = header.src.identity;
        let known = if sender.name == self.local.name { &self.local } else { self.up.get(&sender.name)? };
        if known.start <= sender.start {
            return None;
        }
        let known = postcard::to_stdvec(known).unwrap_or_default();
        Some((sender.address, [&[LATER_START_NOTICE], &known[..]].concat()))
    }

    fn handle_later_start_notice(&mut self, data: &[u8]) {
        let Ok(later) = postcard::from_bytes::<MemberIdentity>(data) else {
            self.rejected_messages += 1;
            return;
        };
        // Addressed to an earlier start of this process or to another process, or a repetition.
        if later.name != self.local.name || later.start <= self.local.start || self.superseded {
            return;
        }
        self.superseded = true;
        self.timers.clear();
        self.up.clear();
        self.changes.push_back(MembershipChange::Superseded);
    }

    /// Leaves gracefully, so that the other members need not suspect this process first.
    pub fn leave(&mut self, now: Duration) {
        if self.superseded {
            return;
        }
        let left = self.protocol.leave_cluster(&mut self.output);
        self.apply_output(now, left.is_ok());
    }

    /// Sets the timers and applies the changes that the protocol has requested.
    fn apply_output(&mut self, now: Duration, succeeded: bool) {
        self.rejected_messages += u64::from(!succeeded);
        for (timer, after) in self.output.timers.drain(..) {
            self.timer_sequence += 1;
            self.timers.insert((now + after, self.timer_sequence), timer);
        }
        for change in std::mem::take(&mut self.output.changes) {
            if self.apply_change(&change) {
                self.changes.push_back(change);
            }
        }
    }

    /// Applies the change to the known members. Returns whether it has to be reported.
    fn apply_change(&mut self, change: &MembershipChange) -> bool {
        match change {
            MembershipChange::Up(member)
                if self.up.len() < MAX_MEMBERS && member.name.len() <= MAX_NAME_BYTES =>
            {
                self.up.insert(member.name.clone(), member.clone());
                true
            }
            MembershipChange::Up(_) => {
                self.rejected_messages += 1;
                false
            }
            MembershipChange::Down(member) if self.up.get(&member.name) == Some(member) => {
                self.up.remove(&member.name);
                true
            }
            MembershipChange::Down(_) | MembershipChange::Superseded => false,
        }
    }

    /// The next message to be sent, and its destination.
    pub fn next_message(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.output.messages.pop_front()
    }

    /// The next change, for the owner.
    pub fn next_change(&mut self) -> Option<MembershipChange> {
        self.changes.pop_front()
    }
}
