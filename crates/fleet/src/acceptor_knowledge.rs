//! What a process knows about the acceptors, shared by all its rounds.

use crate::proposer::{RoundEvent, StoreCounts};
use crate::register::{AcceptorSet, AcceptorSlot};

/// What a process has learned about the acceptors from their replies.
#[derive(Clone, Debug, Default)]
pub struct AcceptorKnowledge {
    /// Number of acceptor slots.
    pub acceptor_count: u8,
    /// The newest acceptor set seen.
    pub acceptors: AcceptorSet,
    /// The highest store count seen for each acceptor.
    pub store_counts: StoreCounts,
    /// Slots whose acceptor uses an older set.
    pub outdated: Vec<AcceptorSlot>,
    /// Acceptors that have lost their file, with the generation under which they are to be admitted.
    pub uninitialized: Vec<(AcceptorSlot, u64)>,
    /// Number of replies from acceptors that restarted from an older copy of their file, cannot store, or have reached
    /// a limit.
    pub unfit_replies: u64,
    last_nonce: u64,
}

impl AcceptorKnowledge {
    /// Creates the knowledge about acceptors in `acceptor_count` slots. `salt` is a random number, so that a reply to
    /// an earlier start of this process is not mistaken for a reply to this one.
    pub fn new(acceptor_count: u8, salt: u64) -> AcceptorKnowledge {
        AcceptorKnowledge { acceptor_count, last_nonce: salt, ..AcceptorKnowledge::default() }
    }

    /// A nonce that no other round of this process uses.
    pub fn next_nonce(&mut self) -> u64 {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        self.last_nonce
    }

    /// Records the information about the acceptors in an event.
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

    /// Removes a slot whose acceptor no longer has to be admitted.
    pub fn forget_uninitialized(&mut self, slot: AcceptorSlot) {
        self.uninitialized.retain(|(known, _)| *known != slot);
    }
}
