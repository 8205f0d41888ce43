//! What a process knows of the acceptors, shared by all its rounds.

use crate::proposer::{RoundEvent, StoreCounts};
use crate::register::{AcceptorSet, AcceptorSlot};

/// What a process knows of the acceptors.
#[derive(Clone, Debug, Default)]
pub struct AcceptorKnowledge {
    /// Number of slots.
    pub acceptor_count: u8,
    /// The newest acceptor set seen.
    pub acceptors: AcceptorSet,
    /// How often each acceptor has stored.
    pub store_counts: StoreCounts,
    /// Slots whose acceptor goes by an older set.
    pub outdated: Vec<AcceptorSlot>,
    /// Acceptors that have lost their file, with the generation under which they are to be admitted.
    pub uninitialized: Vec<(AcceptorSlot, u64)>,
    /// Replies of acceptors that came back with an older copy of their file or cannot store.
    pub unfit_replies: u64,
    last_nonce: u64,
}

impl AcceptorKnowledge {
    /// Of acceptors in so many slots. `salt` is drawn at random, so that no reply to an earlier start of this process is
    /// mistaken for one to this.
    pub fn new(acceptor_count: u8, salt: u64) -> AcceptorKnowledge {
        AcceptorKnowledge { acceptor_count, last_nonce: salt, ..AcceptorKnowledge::default() }
    }

    /// A nonce that no other round of this process has.
    pub fn next_nonce(&mut self) -> u64 {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        self.last_nonce
    }

    /// Records what an event says of the acceptors.
    pub fn record_event(&mut self, event: &RoundEvent) {
        match event {
            RoundEvent::NewerAcceptorSet(set) => self.acceptors = self.acceptors.join(set),
            RoundEvent::OutdatedAcceptor(slot) if !self.outdated.contains(slot) => self.outdated.push(*slot),
            RoundEvent::UninitializedAcceptor(slot, generation)
                if !self.uninitialized.contains(&(*slot, *generation)) =>
            {
                self.forget_uninitialized(*slot);
                self.uninitialized.push((*slot, *generation));
            }
            RoundEvent::UnfitAcceptor(_) => self.unfit_replies += 1,
            _ => {}
        }
    }

    /// The slot's acceptor need not be admitted any more.
    pub fn forget_uninitialized(&mut self, slot: AcceptorSlot) {
        self.uninitialized.retain(|(known, _)| *known != slot);
    }
}
