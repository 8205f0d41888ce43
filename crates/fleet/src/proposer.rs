//! A CASPaxos proposer's round (Rystsov, "CASPaxos: Replicated State Machines without logs"): a majority promises and
//! returns the register's value, the owner of the round computes the next value from it, and a majority accepts that.
//!
//! It differs from the published protocol in these points. Ballots are chosen by the caller; there is no shortcut that saves
//! the first phase of a later change. A round may also read without promises: what it finds is certain only if the whole
//! majority has accepted it under one ballot. And each round counts acceptors by the generation of their files and by how
//! often they have stored.
//!
//! A round has no timers: its owner sends [`ProposerRound::pending_requests`] again while it lasts, and drops it when its
//! time is over. What a dropped round has proposed may still be chosen later; only the next round shows that.

use std::collections::{BTreeMap, BTreeSet};

use crate::messages::{AcceptorReply, AcceptorRequest, Answer, Operation, Rejection};
use crate::register::{AcceptorSet, AcceptorSlot, Ballot, Key, Value};

/// The highest store count seen of each acceptor's file, to recognise an acceptor that came back with an older copy of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct StoreCounts(BTreeMap<(AcceptorSlot, u64), u64>);

impl StoreCounts {
    /// The highest store count seen of a slot's file of this generation.
    pub fn highest(&self, slot: AcceptorSlot, generation: u64) -> u64 {
        self.0.get(&(slot, generation)).copied().unwrap_or_default()
    }

    /// Records the store count of a reply, and forgets files that are not in the acceptor set any more.
    pub fn record(&mut self, acceptors: &AcceptorSet, reply: &AcceptorReply) {
        let highest = self.0.entry((reply.slot, reply.generation)).or_default();
        *highest = reply.store_count.max(*highest);
        self.0.retain(|(slot, generation), _| acceptors.generation(*slot) == *generation);
    }
}

/// What each acceptor has accepted, by its reply to a prepare or read.
type AcceptedValues = BTreeMap<AcceptorSlot, (Ballot, Option<Value>)>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Reading(AcceptedValues),
    Preparing(AcceptedValues),
    /// A majority has promised; [`ProposerRound::propose`] is next.
    Prepared,
    Accepting(Value, BTreeSet<AcceptorSlot>),
    Finished,
}

/// What a reply has led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundEvent {
    /// Nothing yet.
    None,
    /// A read has a majority.
    Read {
        /// The ballot of the value.
        ballot: Ballot,
        /// The value with the highest ballot in the majority.
        value: Option<Value>,
        /// Whether the whole majority has accepted it under this ballot: then it is chosen, otherwise it need not be.
        unanimous: bool,
    },
    /// A majority has promised, and this is the register's value: [`ProposerRound::propose`] is next.
    Prepared(Option<Value>),
    /// A majority has accepted the proposed value: it is chosen.
    Chosen(Value),
    /// Another proposer has a higher ballot. What this round proposed may have been chosen or not.
    Preempted(Ballot),
    /// An acceptor knows files that this round's acceptor set does not: a new round has to begin under both joined.
    NewerAcceptorSet(AcceptorSet),
    /// An acceptor goes by an older set: it has to adopt the newer one.
    OutdatedAcceptor(AcceptorSlot),
    /// An acceptor has lost its file and has to be admitted under this generation.
    UninitializedAcceptor(AcceptorSlot, u64),
    /// An acceptor came back with an older copy of its file, or cannot store: its reply does not count.
    UnfitAcceptor(AcceptorSlot),
}

/// One change, or one read, of one register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ProposerRound {
    key: Key,
    ballot: Ballot,
    acceptors: AcceptorSet,
    nonce: u64,
    acceptor_count: u8,
    /// As of the beginning of the round: a reply with a lower count is of an older copy of the file.
    store_counts: StoreCounts,
    phase: Phase,
}

impl ProposerRound {
    /// Begins a change. No other round of this process may have the same nonce.
    pub fn change(
        key: Key,
        ballot: Ballot,
        acceptors: AcceptorSet,
        nonce: u64,
        acceptor_count: u8,
        store_counts: StoreCounts,
    ) -> ProposerRound {
        let phase = Phase::Preparing(AcceptedValues::new());
        ProposerRound { key, ballot, acceptors, nonce, acceptor_count, store_counts, phase }
    }

    /// Begins a read, which asks for no promise and changes nothing.
    pub fn read(
        key: Key,
        acceptors: AcceptorSet,
        nonce: u64,
        acceptor_count: u8,
        store_counts: StoreCounts,
    ) -> ProposerRound {
        let phase = Phase::Reading(AcceptedValues::new());
        let ballot = Ballot::default();
        ProposerRound { key, ballot, acceptors, nonce, acceptor_count, store_counts, phase }
    }

    /// Identifies this round in its requests and their replies.
    pub fn nonce(&self) -> u64 {
        self.nonce
    }

    fn majority(&self) -> usize {
        usize::from(self.acceptor_count) / 2 + 1
    }

    /// The requests that are not answered yet, to be sent now and again from time to time.
    pub fn pending_requests(&self) -> Vec<(AcceptorSlot, AcceptorRequest)> {
        let (key, ballot) = (self.key.clone(), self.ballot);
        let (operation, answered): (Operation, BTreeSet<AcceptorSlot>) = match &self.phase {
            Phase::Reading(values) => (Operation::Read { key }, values.keys().copied().collect()),
            Phase::Preparing(values) => {
                (Operation::Prepare { key, ballot }, values.keys().copied().collect())
            }
            Phase::Accepting(value, accepted) => {
                (Operation::Accept { key, ballot, value: value.clone() }, accepted.clone())
            }
            Phase::Prepared | Phase::Finished => return Vec::new(),
        };
        let request = AcceptorRequest { acceptors: self.acceptors.clone(), nonce: self.nonce, operation };
        let slots = (0..self.acceptor_count).map(AcceptorSlot).filter(|slot| !answered.contains(slot));
        slots.map(|slot| (slot, request.clone())).collect()
    }

    /// Whether a majority has promised, and [`ProposerRound::propose`] is next.
    pub fn is_prepared(&self) -> bool {
        self.phase == Phase::Prepared
    }

    /// Proposes the register's next value, after [`RoundEvent::Prepared`].
    pub fn propose(&mut self, value: Value) {
        if self.phase == Phase::Prepared {
            self.phase = Phase::Accepting(value, BTreeSet::new());
        }
    }

    /// Handles an acceptor's reply.
    pub fn handle_reply(&mut self, reply: &AcceptorReply) -> RoundEvent {
        let is_known_slot = reply.slot.0 < self.acceptor_count;
        if reply.nonce != self.nonce || !is_known_slot || self.phase == Phase::Finished {
            return RoundEvent::None;
        }
        if let Some(event) = self.check_acceptor(reply) {
            return event;
        }
        match &reply.answer {
            Answer::Rejected(Rejection::HigherPromise(ballot)) if *ballot > self.ballot => {
                self.phase = Phase::Finished;
                RoundEvent::Preempted(*ballot)
            }
            Answer::Promise { accepted, value } => {
                self.handle_accepted_value(reply.slot, *accepted, value.clone())
            }
            Answer::Accepted => self.handle_acceptance(reply.slot),
            _ => RoundEvent::None,
        }
    }

    /// An event if the reply does not count, because of the acceptor's file or set.
    fn check_acceptor(&mut self, reply: &AcceptorReply) -> Option<RoundEvent> {
        let is_member = reply.generation == self.acceptors.generation(reply.slot);
        match &reply.answer {
            Answer::Rejected(Rejection::Uninitialized) => {
                Some(RoundEvent::UninitializedAcceptor(reply.slot, reply.generation))
            }
            Answer::Rejected(Rejection::StoreFailed | Rejection::LimitExceeded) => {
                Some(RoundEvent::UnfitAcceptor(reply.slot))
            }
            Answer::Rejected(Rejection::AcceptorSetMismatch(set))
                if self.acceptors.join(set) != self.acceptors =>
            {
                self.phase = Phase::Finished;
                Some(RoundEvent::NewerAcceptorSet(set.clone()))
            }
            Answer::Rejected(Rejection::AcceptorSetMismatch(_)) if is_member => {
                Some(RoundEvent::OutdatedAcceptor(reply.slot))
            }
            _ if !is_member => Some(RoundEvent::None),
            _ if reply.store_count < self.store_counts.highest(reply.slot, reply.generation) => {
                Some(RoundEvent::UnfitAcceptor(reply.slot))
            }
            _ => None,
        }
    }

    fn handle_accepted_value(
        &mut self,
        slot: AcceptorSlot,
        accepted: Ballot,
        value: Option<Value>,
    ) -> RoundEvent {
        let majority = self.majority();
        let (Phase::Reading(values) | Phase::Preparing(values)) = &mut self.phase else {
            return RoundEvent::None;
        };
        values.insert(slot, (accepted, value));
        if values.len() < majority {
            return RoundEvent::None;
        }
        let latest = values.values().max_by_key(|(ballot, _)| *ballot).cloned();
        let (ballot, value) = latest.unwrap_or_default();
        let unanimous = values.values().all(|(accepted, _)| *accepted == ballot);
        match std::mem::replace(&mut self.phase, Phase::Prepared) {
            Phase::Reading(_) => {
                self.phase = Phase::Finished;
                RoundEvent::Read { ballot, value, unanimous }
            }
            _ => RoundEvent::Prepared(value),
        }
    }

    fn handle_acceptance(&mut self, slot: AcceptorSlot) -> RoundEvent {
        let majority = self.majority();
        let Phase::Accepting(value, accepted) = &mut self.phase else { return RoundEvent::None };
        accepted.insert(slot);
        if accepted.len() < majority {
            return RoundEvent::None;
        }
        let value = std::mem::take(value);
        self.phase = Phase::Finished;
        RoundEvent::Chosen(value)
    }
}
