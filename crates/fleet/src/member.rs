//! Who is there: membership by SWIM with suspicion and incarnations, on `foca`, with names that last and starts that
//! do not. Bytes, the time and a generator are passed in; datagrams and changes are handed out.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Codec, Config, Foca, Identity, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::frame;
use crate::register::NodeId;

/// Longest name of a member, in bytes.
pub const LONGEST_NAME: usize = 64;
/// Most members of a fleet; those beyond are not taken up.
pub const MOST_MEMBERS: usize = 1024;

/// A process of a gateway, as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// The gateway's name: the same across starts, and unlike all others'.
    pub name: String,
    /// Rises with each start of the gateway.
    pub start: u64,
    /// Rises when the process is taken for gone though it is not.
    pub life: u32,
    /// Where it hears datagrams.
    pub address: SocketAddr,
}

impl Peer {
    /// A process that is known by name and address only, to be asked for the rest.
    pub fn at(name: &str, address: SocketAddr) -> Peer {
        Peer { name: name.to_string(), start: 0, life: 0, address }
    }

    /// Its number as a proposer and owner: each start has its own, whatever others think of its life.
    pub fn node(&self) -> NodeId {
        NodeId(frame::tag(&self.name) ^ self.start.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}

/// A name in place, to be compared without a look at the heap. Of a name that is too long the start is kept, and its length
/// tells it from all that are not.
#[derive(Clone, Copy, Debug)]
struct NameKey {
    length: usize,
    words: [u64; LONGEST_NAME / 8],
}

impl NameKey {
    fn of(name: &str) -> NameKey {
        let mut words = [0; LONGEST_NAME / 8];
        for (word, bytes) in words.iter_mut().zip(name.as_bytes().chunks(8)) {
            *word = bytes.iter().fold(0, |word, byte| word << 8 | u64::from(*byte));
        }
        NameKey { length: name.len(), words }
    }
}

impl Eq for NameKey {}

impl PartialEq for NameKey {
    // Word by word: most names differ in the first two, and a call that compares all would cost more than they do.
    #[inline]
    fn eq(&self, other: &NameKey) -> bool {
        self.length == other.length && self.words.iter().zip(&other.words).all(|(own, theirs)| own == theirs)
    }
}

/// A process as the protocol holds it; on the wire it is a [`Peer`]. The protocol looks a member up by comparing the names
/// of all, for each piece of news: with names on the heap that was three quarters of a member's processor time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Peer", into = "Peer")]
struct Known {
    key: NameKey,
    peer: Peer,
}

impl From<Peer> for Known {
    fn from(peer: Peer) -> Known {
        Known { key: NameKey::of(&peer.name), peer }
    }
}

impl From<Known> for Peer {
    fn from(known: Known) -> Peer {
        known.peer
    }
}

impl Identity for Known {
    type Addr = NameKey;

    fn renew(&self) -> Option<Self> {
        let life = self.peer.life.checked_add(1)?;
        Some(Known { key: self.key, peer: Peer { life, ..self.peer.clone() } })
    }

    #[inline]
    fn addr(&self) -> NameKey {
        self.key
    }

    /// Of two that bear one name the later start counts.
    fn win_addr_conflict(&self, other: &Self) -> bool {
        let (own, other) = (&self.peer, &other.peer);
        (own.start, own.life, own.address) > (other.start, other.life, other.address)
    }
}

/// How soon a member that is silent is suspected and given up.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// One member is asked each such time.
    pub probe: Duration,
    /// How long it may take to answer, directly and through others.
    pub answer: Duration,
    /// From the suspicion to being taken for gone.
    pub suspicion: Duration,
    /// For how long a member that is gone is remembered.
    pub remembered: Duration,
}

/// What has changed among the members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A process is there.
    Came(Peer),
    /// A process is gone: dead, cut off, or left.
    Went(Peer),
    /// Another process with this one's name and a later start is there: this one is not a member any more.
    Superseded,
}

/// First byte of a message: it is the protocol's, or tells a process that one with its name has started later. The
/// protocol by itself lets two such processes declare each other gone for ever.
const PROTOCOL: u8 = 0;
const LATER: u8 = 1;

#[derive(Default)]
struct Effects {
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    timers: Vec<(Timer<Known>, Duration)>,
    changes: Vec<Change>,
}

impl Runtime<Known> for &mut Effects {
    fn notify(&mut self, notification: Notification<'_, Known>) {
        match notification {
            Notification::MemberUp(known) => self.changes.push(Change::Came(known.peer.clone())),
            Notification::MemberDown(known) => self.changes.push(Change::Went(known.peer.clone())),
            Notification::Rename(before, after) => {
                self.changes.push(Change::Went(before.peer.clone()));
                self.changes.push(Change::Came(after.peer.clone()));
            }
            Notification::Active | Notification::Idle | Notification::Rejoin(_) | Notification::Defunct => {}
        }
    }

    fn send_to(&mut self, to: Known, data: &[u8]) {
        self.out.push_back((to.peer.address, [&[PROTOCOL], data].concat()));
    }

    fn submit_after(&mut self, event: Timer<Known>, after: Duration) {
        self.timers.push((event, after));
    }
}

/// How often each member passes a piece of news on, in a fleet of this size. Where each passes it on `k` times to members
/// drawn at random, about one in `exp(k)` never hears it and is left to its own probe, whose turn comes once in as many
/// probes as there are members. The library's own rule, four times the decimal logarithm, lets one in 1,100 miss it at 90
/// members; three times the natural one lets one in the cube of their number.
fn transmissions(size: NonZeroU32) -> NonZeroU8 {
    let times = 3.0 * f64::from(size.get().saturating_add(1)).ln();
    NonZeroU8::new(times.ceil().clamp(6.0, 255.0) as u8).unwrap_or(NonZeroU8::MAX)
}

/// The members of a fleet as one of them sees them.
pub struct Membership {
    foca: Foca<Known, PostcardCodec, Pcg64Mcg, foca::NoCustomBroadcast>,
    me: Peer,
    seeds: Vec<Peer>,
    effects: Effects,
    changes: VecDeque<Change>,
    timers: BTreeMap<(Duration, u64), Timer<Known>>,
    serial: u64,
    next_call: Duration,
    call: Duration,
    present: BTreeMap<String, Peer>,
    /// A process with this one's name has started later.
    superseded: bool,
    /// Messages that made no sense, or named too many members or names that are too long.
    refused: u64,
}

impl Membership {
    /// A member of a fleet of about `size`, that will call at these others until it is not alone.
    pub fn new(me: Peer, seeds: Vec<Peer>, size: u32, pace: Pace, seed: u64) -> Membership {
        let size = NonZeroU32::new(size).unwrap_or(NonZeroU32::MIN);
        let times = |count: usize, frequency: Duration| {
            Some(PeriodicParams {
                frequency,
                num_members: NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN),
            })
        };
        let usual = Config::new_lan(size);
        let config = Config {
            probe_period: pace.probe,
            probe_rtt: pace.answer,
            suspect_to_down_after: pace.suspicion,
            remove_down_after: pace.remembered,
            max_packet_size: NonZeroUsize::new(frame::ROOM - 1).unwrap_or(NonZeroUsize::MIN),
            max_transmissions: transmissions(size),
            notify_down_members: true,
            // Halves that have given each other up find each other again through these.
            periodic_announce_to_down_members: times(1, pace.probe * 5),
            // Where hundreds start at once not all news of them gets round; whoever is asked tells of some.
            periodic_announce: times(1, pace.probe * 4),
            periodic_gossip: times(2, pace.probe / 2),
            ..usual
        };
        Membership {
            foca: Foca::new(me.clone().into(), config, Pcg64Mcg::seed_from_u64(seed), PostcardCodec),
            seeds: seeds.into_iter().filter(|seed| seed.name != me.name).collect(),
            me,
            effects: Effects::default(),
            changes: VecDeque::new(),
            timers: BTreeMap::new(),
            serial: 0,
            next_call: Duration::ZERO,
            call: pace.probe,
            present: BTreeMap::new(),
            superseded: false,
            refused: 0,
        }
    }

    /// This process.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// The others that are there, by name.
    pub fn present(&self) -> impl ExactSizeIterator<Item = &Peer> {
        self.present.values()
    }

    /// Messages that were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// When [`Membership::tick`] has something to do next.
    pub fn due(&self) -> Duration {
        let timer = self.timers.keys().next().map(|(at, _)| *at);
        timer.map_or(self.next_call, |at| at.min(self.next_call))
    }

    /// Lets time act.
    pub fn tick(&mut self, now: Duration) {
        while let Some(first) = self.timers.first_entry().filter(|first| first.key().0 <= now) {
            let timer = first.remove();
            let done = self.foca.handle_timer(timer, &mut self.effects);
            self.settle(now, done.is_ok());
        }
        if now >= self.next_call {
            self.next_call = now + self.call;
            if self.present.is_empty() && !self.superseded {
                for seed in self.seeds.clone() {
                    let done = self.foca.announce(seed.into(), &mut self.effects);
                    self.settle(now, done.is_ok());
                }
            }
        }
    }

    /// Takes in a message of another member.
    pub fn hear(&mut self, now: Duration, message: &[u8]) {
        match message.split_first() {
            Some((&PROTOCOL, data)) if !self.superseded => match self.outdated(data) {
                Some((address, later)) => self.effects.out.push_back((address, later)),
                None => {
                    let done = self.foca.handle_data(data, &mut self.effects);
                    self.settle(now, done.is_ok());
                }
            },
            Some((&LATER, data)) => match postcard::from_bytes::<Peer>(data) {
                Ok(peer) if peer.name == self.me.name && peer.start > self.me.start => {
                    if !std::mem::replace(&mut self.superseded, true) {
                        self.timers.clear();
                        self.present.clear();
                        self.changes.push_back(Change::Superseded);
                    }
                }
                // This process has started later itself, or it is none of its business.
                Ok(_) => {}
                Err(_) => self.refused += 1,
            },
            Some((&PROTOCOL, _)) => {}
            _ => self.refused += 1,
        }
    }

    /// What to tell the sender of a message if a process with its name has started later: it is heard no more.
    fn outdated(&mut self, mut data: &[u8]) -> Option<(SocketAddr, Vec<u8>)> {
        let header: foca::Header<Known> = PostcardCodec.decode_header(&mut data).ok()?;
        let sender = header.src.peer;
        let known = if sender.name == self.me.name { &self.me } else { self.present.get(&sender.name)? };
        let later = (known.start > sender.start).then(|| postcard::to_stdvec(known).unwrap_or_default())?;
        Some((sender.address, [&[LATER], &later[..]].concat()))
    }

    /// Leaves in good order: the others need not wait for a suspicion.
    pub fn leave(&mut self, now: Duration) {
        if self.superseded {
            return;
        }
        let done = self.foca.leave_cluster(&mut self.effects);
        self.settle(now, done.is_ok());
    }

    /// Books what the protocol has asked for.
    fn settle(&mut self, now: Duration, fine: bool) {
        self.refused += u64::from(!fine);
        for (timer, after) in self.effects.timers.drain(..) {
            self.serial += 1;
            self.timers.insert((now + after, self.serial), timer);
        }
        for change in self.effects.changes.drain(..) {
            match &change {
                Change::Came(peer)
                    if self.present.len() < MOST_MEMBERS && peer.name.len() <= LONGEST_NAME =>
                {
                    self.present.insert(peer.name.clone(), peer.clone());
                }
                Change::Went(peer) if self.present.get(&peer.name) == Some(peer) => {
                    self.present.remove(&peer.name);
                }
                Change::Came(_) | Change::Went(_) | Change::Superseded => {
                    self.refused += u64::from(matches!(change, Change::Came(_)));
                    continue;
                }
            }
            self.changes.push_back(change);
        }
    }

    /// The next datagram's message and where it goes.
    pub fn send(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.effects.out.pop_front()
    }

    /// The next change.
    pub fn change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }
}
