//! One process of the fleet, all parts together: membership, its voter if it has one, its seats, and the fence. Driven by
//! datagrams, the time and a generator; datagrams, files and events are handed out.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::acceptor::{Acceptor, RequestOutcome};
use crate::fencing::{FencingError, FencingGuard};
use crate::frame::{self, FrameError, MessageKind};
use crate::lease::{Change, Electorate, Seat, Terms};
use crate::membership::{MemberIdentity, Membership, MembershipChange, MembershipTimeouts};
use crate::messages::{AcceptorReply, AcceptorRequest, Operation, Order};
use crate::proposer::RoundEvent;
use crate::reconfiguration::Reconfiguration;
use crate::record::{Outcome, Record};
use crate::register::{AcceptorSlot, Key, Value, MAX_KEY_BYTES, MAX_VALUE_BYTES};

/// So many members, by rank, look after a role; the others leave the voters alone.
const CANDIDATES: usize = 3;
/// Most registers, other than the roles', that a process looks at or changes.
pub const MOST_RECORDS: usize = 4;
/// Longest body of an order, in bytes.
pub const LONGEST_ORDER: usize = 1_024;

/// What is told of a look or a change that does not begin.
const NOT_BEGUN: Outcome = Outcome::Failed { proposed: false, no_majority: false };

/// What a process is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// This process.
    pub me: MemberIdentity,
    /// The voters, by place: names and addresses.
    pub voters: Vec<MemberIdentity>,
    /// Whom to call to find the others.
    pub seeds: Vec<MemberIdentity>,
    /// About how many members there are.
    pub size: u32,
    /// The roles that somebody is to hold.
    pub roles: Vec<Key>,
    /// Leases.
    pub terms: Terms,
    /// Membership.
    pub pace: MembershipTimeouts,
    /// For random numbers: drawn anew at each start.
    pub seed: u64,
}

/// Where a voter's file is kept.
pub trait Disk {
    /// Puts the whole file in place, so that it stays whatever happens to the machine; false if that is not certain.
    fn store(&mut self, file: &[u8]) -> bool;
}

/// What has happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member came, went, or this process is not one any more.
    Member(MembershipChange),
    /// This process took a role, or does not hold it any more.
    Role(Key, Change),
    /// An owner's order, not refused; `true` with the first one under its epoch.
    Order(Order, bool),
    /// An order under an epoch that has been succeeded: without effect.
    Refused(Order, FencingError),
    /// This process's voter has been let in.
    VoterIn,
    /// What a look at a register, or a change of it, has come to.
    Record(Key, Outcome),
}

/// How often something was dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Datagrams of another fleet, another form, or spoilt.
    pub foreign: u64,
    /// Messages inside that make no sense.
    pub senseless: u64,
    /// Orders that the fence refused.
    pub orders: u64,
    /// Messages that were too long to send.
    pub too_long: u64,
}

/// A process of the fleet.
pub struct Node {
    settings: Settings,
    tag: u64,
    dice: Pcg64Mcg,
    members: Membership,
    voter: Option<Acceptor>,
    seats: BTreeMap<Key, Seat>,
    /// Per role that it has looked after, and does not now, the highest round of a ballot: none is used again.
    rounds: BTreeMap<Key, u64>,
    /// Registers that are no role's. None goes before the process does, so that no ballot is used again.
    records: BTreeMap<Key, Record>,
    electorate: Electorate,
    admission: Option<(Reconfiguration, Duration)>,
    fence: FencingGuard,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    events: VecDeque<Event>,
    dropped: Dropped,
    was_blank: bool,
    /// It gives its roles back and takes no other.
    leaving: bool,
}

impl Node {
    /// A process with its voter, if it is one.
    pub fn new(settings: Settings, voter: Option<Acceptor>) -> Node {
        let mut dice = Pcg64Mcg::seed_from_u64(settings.seed);
        let me = settings.me.clone();
        let (seeds, voters) = (settings.seeds.clone(), settings.voters.len() as u8);
        let members = Membership::new(me, seeds, settings.size, settings.pace, draw(&mut dice));
        let electorate = Electorate::of(voters, draw(&mut dice));
        Node {
            tag: frame::fleet_tag(&settings.fleet),
            dice,
            members,
            was_blank: voter.as_ref().is_some_and(Acceptor::is_uninitialized),
            voter,
            seats: BTreeMap::new(),
            rounds: BTreeMap::new(),
            records: BTreeMap::new(),
            electorate,
            admission: None,
            fence: FencingGuard::default(),
            out: VecDeque::new(),
            events: VecDeque::new(),
            dropped: Dropped::default(),
            leaving: false,
            settings,
        }
    }

    /// Its voter, once its file could be read; not while it has one.
    pub fn set_voter(&mut self, voter: Acceptor) {
        if self.voter.is_none() {
            self.was_blank = voter.is_uninitialized();
            self.voter = Some(voter);
        }
    }

    /// Who is there.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// This process's voter.
    pub fn voter(&self) -> Option<&Acceptor> {
        self.voter.as_ref()
    }

    /// What the voters are known to be.
    pub fn electorate(&self) -> &Electorate {
        &self.electorate
    }

    /// What was dropped.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// What it was told at its start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The role's seat, if this process looks after it.
    pub fn seat(&self, role: &str) -> Option<&Seat> {
        self.seats.get(role)
    }

    /// The roles that this process may order in now.
    pub fn roles(&self, now: Duration) -> impl Iterator<Item = (&Key, u64)> {
        self.seats.iter().filter_map(move |(role, seat)| Some((role, seat.order(now)?)))
    }

    /// The next datagram and where it goes.
    pub fn send(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop_front()
    }

    /// The next event.
    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// When [`Node::tick`] has something to do next.
    pub fn due(&self) -> Duration {
        let seats = self.seats.values().map(Seat::due);
        let records = self.records.values().filter_map(Record::due);
        let admission = self.admission.iter().map(|(_, at)| *at);
        seats.chain(records).chain(admission).fold(self.members.next_deadline(), Duration::min)
    }

    /// Orders something in a role, at this moment. False if this process may not (any more): whoever has taken time
    /// since it decided has to look again.
    pub fn order(&mut self, now: Duration, role: &str, to: SocketAddr, body: Vec<u8>) -> bool {
        let Some(epoch) = self.seats.get(role).and_then(|seat| seat.order(now)) else { return false };
        if body.len() > LONGEST_ORDER {
            self.dropped.too_long += 1;
            return false;
        }
        let order = Order { role: role.to_string(), epoch, from: self.settings.me.node_id(), body };
        self.post(to, MessageKind::Order, &order);
        true
    }

    /// Looks what a register holds; then [`Event::Record`] tells. Nothing happens while a look or a change of it is under
    /// way. Told at once to have failed: of a role's register, of more than [`MOST_RECORDS`], and while leaving.
    pub fn look(&mut self, now: Duration, key: &str) {
        if let Some(record) = self.record(key) {
            record.look();
            self.carry_records(now);
        }
    }

    /// Begins to change a register that is no role's; then [`Event::Record`] tells. A look under way is given up. Told at
    /// once to have failed where [`Node::look`] is.
    pub fn change(&mut self, now: Duration, key: &str) {
        if let Some(record) = self.record(key) {
            record.change();
            self.carry_records(now);
        }
    }

    /// After [`Outcome::Promised`]: what the register is to hold, or none to leave it as it is. A value of more than
    /// [`MAX_VALUE_BYTES`] bytes is none, and told to have failed.
    pub fn propose(&mut self, now: Duration, key: &str, value: Option<Value>) {
        let Some(record) = self.records.get_mut(key) else { return };
        let mut calls = Vec::new();
        let too_long = value.as_ref().is_some_and(|value| value.len() > MAX_VALUE_BYTES);
        record.propose(now, value.filter(|_| !too_long), &mut calls);
        if too_long {
            self.events.push_back(Event::Record(key.to_string(), NOT_BEGUN));
        }
        self.call(calls);
    }

    /// A register's record, if one may be begun.
    fn record(&mut self, key: &str) -> Option<&mut Record> {
        // A seat and a record of one process would use the same ballots in a role's register.
        let role = self.settings.roles.iter().any(|role| role == key) || self.seats.contains_key(key);
        let full = self.records.len() >= MOST_RECORDS && !self.records.contains_key(key);
        if role || full || self.leaving || key.len() > MAX_KEY_BYTES {
            self.events.push_back(Event::Record(key.to_string(), NOT_BEGUN));
            return None;
        }
        let (me, terms) = (self.settings.me.node_id(), self.settings.terms);
        Some(self.records.entry(key.to_string()).or_insert_with(|| Record::new(me, key.to_string(), terms)))
    }

    /// Lets time act on the records.
    fn carry_records(&mut self, now: Duration) {
        let (mut calls, mut events) = (Vec::new(), Vec::new());
        for (key, record) in &mut self.records {
            if record.due().is_some_and(|due| due <= now) {
                let outcome = record.tick(now, &mut self.electorate, &mut self.dice, &mut calls);
                events.extend(outcome.map(|outcome| Event::Record(key.clone(), outcome)));
            }
        }
        self.events.extend(events);
        self.call(calls);
    }

    /// Leaves in good order: roles are given back, and the others are told. The datagrams have to be sent, and time
    /// given to [`Node::tick`] until [`Node::has_left`].
    pub fn leave(&mut self, now: Duration) {
        self.retire();
        self.members.leave(now);
        self.carry_members();
    }

    /// Gives all roles back, and takes none any more: a process that is no member looks after nothing.
    fn retire(&mut self) {
        self.leaving = true;
        self.seats.values_mut().for_each(Seat::give_back);
    }

    /// Whether no role is held any more.
    pub fn has_left(&self) -> bool {
        self.seats.values().all(|seat| !seat.is_held())
    }

    fn post<T: Serialize>(&mut self, to: SocketAddr, kind: MessageKind, message: &T) {
        let message = postcard::to_stdvec(message).ok();
        match message.and_then(|message| frame::encode(self.tag, kind, &message)) {
            Some(datagram) => self.out.push_back((to, datagram)),
            None => self.dropped.too_long += 1,
        }
    }

    fn carry_members(&mut self) {
        while let Some((to, message)) = self.members.next_message() {
            match frame::encode(self.tag, MessageKind::Membership, &message) {
                Some(datagram) => self.out.push_back((to, datagram)),
                None => self.dropped.too_long += 1,
            }
        }
        while let Some(change) = self.members.next_change() {
            if change == MembershipChange::Superseded {
                self.retire();
            }
            self.events.push_back(Event::Member(change));
        }
    }

    fn call(&mut self, calls: Vec<(AcceptorSlot, AcceptorRequest)>) {
        for (slot, call) in calls {
            if let Some(voter) = self.settings.voters.get(usize::from(slot.0)) {
                self.post(voter.address, MessageKind::AcceptorRequest, &call);
            }
        }
    }

    /// Takes in a datagram.
    ///
    /// # Errors
    /// Why it was dropped unread.
    pub fn hear(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: &[u8],
        disk: &mut impl Disk,
    ) -> Result<(), FrameError> {
        let (kind, message) = frame::decode(self.tag, datagram).inspect_err(|_| self.dropped.foreign += 1)?;
        match kind {
            MessageKind::Membership => {
                self.members.handle_message(now, message);
                self.carry_members();
            }
            MessageKind::AcceptorRequest => match postcard::from_bytes(message) {
                Ok(call) => self.vote(from, call, disk),
                Err(_) => self.dropped.senseless += 1,
            },
            MessageKind::AcceptorReply => match postcard::from_bytes(message) {
                Ok(reply) => self.told(now, &reply),
                Err(_) => self.dropped.senseless += 1,
            },
            MessageKind::Order => match postcard::from_bytes::<Order>(message) {
                Ok(order) => match self.fence.admit(&order.role, order.epoch) {
                    Ok(first) => self.events.push_back(Event::Order(order, first)),
                    Err(why) => {
                        self.dropped.orders += 1;
                        self.events.push_back(Event::Refused(order, why));
                    }
                },
                Err(_) => self.dropped.senseless += 1,
            },
        }
        Ok(())
    }

    fn vote(&mut self, from: SocketAddr, call: AcceptorRequest, disk: &mut impl Disk) {
        let Some(voter) = &mut self.voter else {
            self.dropped.senseless += 1;
            return;
        };
        let reply = match voter.handle_request(call) {
            RequestOutcome::Reply(reply) => reply,
            RequestOutcome::Store(pending) => match disk.store(&pending.file_bytes()) {
                true => pending.stored(),
                false => pending.failed(),
            },
        };
        if std::mem::replace(&mut self.was_blank, self.voter.as_ref().is_some_and(Acceptor::is_uninitialized))
            && !self.was_blank
        {
            self.events.push_back(Event::VoterIn);
        }
        self.post(from, MessageKind::AcceptorReply, &reply);
    }

    fn told(&mut self, now: Duration, reply: &AcceptorReply) {
        let mut calls = Vec::new();
        if let Some((admission, _)) = self.admission.as_mut().filter(|(a, _)| a.nonce() == reply.nonce) {
            let told = admission.handle_reply(reply);
            self.electorate.note(&RoundEvent::NewerAcceptorSet(admission.acceptors().clone()));
            self.electorate.note(&told);
            let over = admission.is_done() || told != RoundEvent::None;
            if admission.is_done() {
                let slot = reply.slot;
                self.electorate.blank.retain(|(at, _)| *at != slot);
            }
            // The next part is asked for at once.
            calls.extend(
                admission.pending_requests().into_iter().filter(|(slot, _)| !over && *slot != reply.slot),
            );
            if over {
                self.admission = None;
            }
        }
        let mut events = Vec::new();
        for (role, seat) in &mut self.seats {
            let change = seat.hear(now, reply, &mut self.electorate, &mut self.dice, &mut calls);
            events.extend(change.map(|change| Event::Role(role.clone(), change)));
        }
        for (key, record) in &mut self.records {
            let outcome = record.hear(now, reply, &mut self.electorate, &mut self.dice, &mut calls);
            events.extend(outcome.map(|outcome| Event::Record(key.clone(), outcome)));
        }
        self.events.extend(events);
        self.call(calls);
    }

    /// Lets time act.
    pub fn tick(&mut self, now: Duration) {
        self.members.tick(now);
        self.carry_members();
        self.carry_records(now);
        let mut calls = Vec::new();
        let ranks: Vec<Option<u32>> = self.settings.roles.iter().map(|role| self.rank(role)).collect();
        for (role, rank) in self.settings.roles.clone().into_iter().zip(ranks) {
            let (me, terms) = (self.settings.me.node_id(), self.settings.terms);
            if rank.is_some() && !self.seats.contains_key(&role) {
                let highest = self.rounds.remove(&role).unwrap_or_default();
                self.seats.insert(role.clone(), Seat::new(me, role.clone(), terms).above(highest));
            }
            let Some(seat) = self.seats.get_mut(&role) else { continue };
            if seat.due() <= now {
                let change = seat.tick(now, rank, &mut self.electorate, &mut self.dice, &mut calls);
                self.events.extend(change.map(|change| Event::Role(role.clone(), change)));
            }
            if rank.is_none() && !seat.is_held() {
                self.rounds.insert(role.clone(), seat.highest());
                self.seats.remove(&role);
            }
        }
        self.help(now, &mut calls);
        self.call(calls);
    }

    /// This process's place among those that look after a role: each role has an order of its own over the members,
    /// which a member that comes or goes changes for few roles only.
    fn rank(&self, role: &str) -> Option<u32> {
        let weight =
            |name: &str| frame::fleet_tag(&format!("{name}/{role}")).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mine = (weight(&self.settings.me.name), &self.settings.me.name);
        let before = self.members.members().filter(|peer| (weight(&peer.name), &peer.name) > mine).count();
        (before < CANDIDATES && !self.leaving).then_some(before as u32)
    }

    /// Voters that lag are told of the view, one that has lost its file is let in: by whoever notices.
    fn help(&mut self, now: Duration, calls: &mut Vec<(AcceptorSlot, AcceptorRequest)>) {
        for slot in std::mem::take(&mut self.electorate.older) {
            let (nonce, view) = (self.electorate.nonce(), self.electorate.view.clone());
            calls.push((
                slot,
                AcceptorRequest {
                    acceptors: view,
                    nonce,
                    operation: Operation::Reconfigure { after: Key::new() },
                },
            ));
        }
        match (&mut self.admission, self.electorate.blank.first().copied()) {
            (Some((admission, at)), _) if *at <= now => {
                *at = now + self.settings.terms.resend;
                calls.extend(admission.pending_requests());
            }
            (None, Some((slot, generation))) if generation >= self.electorate.view.generation(slot) => {
                // If somebody has begun to let this very file in, this process does only if nobody ends it.
                let begun = generation == self.electorate.view.generation(slot);
                let wait = if begun { self.settings.terms.length } else { Duration::ZERO };
                let nonce = self.electorate.nonce();
                let Electorate { view, stamps, voters, .. } = &self.electorate;
                let admission = Reconfiguration::new(slot, generation, view, nonce, *voters, stamps.clone());
                self.admission = Some((admission, now + wait));
            }
            // It has an older number than one that was let in: it takes a higher one when it hears of the view.
            (None, Some(_)) => drop(self.electorate.blank.remove(0)),
            _ => {}
        }
    }
}

fn draw(dice: &mut Pcg64Mcg) -> u64 {
    use rand_core::RngCore;
    dice.next_u64()
}
