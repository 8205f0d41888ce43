//! A CASPaxos proposer's round (Rystsov, "CASPaxos: Replicated State Machines without logs"): a majority promises and
//! returns the register's value, the owner of the round computes the next value from it, and a majority accepts that.
//!
//! It differs from the published protocol in these points. Ballots are chosen by the caller, and the optimisation that
//! skips the first phase of a later change is left out. A round may also read without promises: the value that it
//! returns is known to be chosen only if the whole majority has accepted it under one ballot. And a reply counts only
//! if it comes from the file of the generation in the acceptor set, with a store count that is not below the highest
//! known at the start of the round.
//!
//! A round has no timers: its owner resends [`ProposerRound::pending_requests`] while the round lasts, and drops it at
//! its deadline. The value that a dropped round proposed may still be chosen later; only the next round can tell.

use std::collections::{BTreeMap, BTreeSet};

use crate::messages::{AcceptorReply, AcceptorRequest, Answer, Operation, Rejection};
use crate::register::{AcceptorSet, AcceptorSlot, Ballot, Key, Value};

/// The highest store count seen for each acceptor's file, to recognise an acceptor that restarted from an older copy of
/// it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct StoreCounts(BTreeMap<(AcceptorSlot, u64), u64>);

impl StoreCounts {
    /// The highest store count seen for the file of this generation in a slot; 0 if none was seen.
    pub fn highest(&self, slot: AcceptorSlot, generation: u64) -> u64 {
        self.0.get(&(slot, generation)).copied().unwrap_or_default()
    }

    /// Records the store count of a reply, and removes files that are not in the acceptor set.
    pub fn record(&mut self, acceptors: &AcceptorSet, reply: &AcceptorReply) {
        let highest = self.0.entry((reply.slot, reply.generation)).or_default();
        *highest = reply.store_count.max(*highest);
        self.0.retain(|(slot, generation), _| acceptors.generation(*slot) == *generation);
    }
}

/// The value that each acceptor has accepted, according to its reply to a prepare or read.
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

/// The effect of a reply on a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundEvent {
    /// No effect yet.
    None,
    /// A majority has replied to a read.
    Read {
        /// The ballot of the value.
        ballot: Ballot,
        /// The value with the highest ballot in the majority.
        value: Option<Value>,
        /// Whether the whole majority has accepted the value under this ballot. If so it is chosen, otherwise it may
        /// not be.
        unanimous: bool,
    },
    /// A majority has promised, and this is the register's value: [`ProposerRound::propose`] is next.
    Prepared(Option<Value>),
    /// A majority has accepted the proposed value: it is chosen.
    Chosen(Value),
    /// Another proposer has a higher ballot. The value that this round proposed may or may not be chosen.
    Preempted(Ballot),
    /// An acceptor's set contains files that this round's acceptor set does not: a new round has to start under the
    /// join of both.
    NewerAcceptorSet(AcceptorSet),
    /// An acceptor uses an older set: it has to adopt the newer one.
    OutdatedAcceptor(AcceptorSlot),
    /// An acceptor has lost its file and has to be admitted under this generation.
    UninitializedAcceptor(AcceptorSlot, u64),
    /// An acceptor restarted from an older copy of its file, cannot store, or has reached a limit: its reply does not
    /// count.
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
    /// The counts at the start of the round: a reply with a lower count comes from an older copy of the file.
    store_counts: StoreCounts,
    phase: Phase,
}

impl ProposerRound {
    /// Starts a change. No other round of this process may have the same nonce.
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

    /// Starts a read, which requests no promise and changes nothing.
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

    /// The requests that are not answered yet, to be sent at once and resent at intervals.
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

    /// Checks the acceptor's file and set. Returns an event if the reply does not count.
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
