//! Reconfiguration: admits an acceptor that has lost its file, under a new generation.
//!
//! A majority *of all*, among the other acceptors, adopts an acceptor set with the new file and returns all registers that
//! it keeps; then the acceptor takes over, of each register, the highest promise and the value accepted last. From then on
//! no proposer gets a majority under an older set, since any majority includes an acceptor that has adopted the new one.
//!
//! CASPaxos changes its acceptors one at a time, in an order that an operator keeps. Here any number of processes may
//! reconfigure at once: sets are joined slot by slot, so concurrent changes need no order.

use std::collections::BTreeMap;

use crate::messages::{AcceptorReply, AcceptorRequest, Answer, Operation, Rejection};
use crate::proposer::{RoundEvent, StoreCounts};
use crate::register::{first_page, AcceptorSet, AcceptorSlot, Key, RegisterState};

/// What one of the other acceptors has returned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Transfer {
    /// The generation of the file that it was read from.
    generation: u64,
    registers: BTreeMap<Key, RegisterState>,
    is_complete: bool,
}

impl Transfer {
    fn new(generation: u64) -> Transfer {
        Transfer { generation, registers: BTreeMap::new(), is_complete: false }
    }

    /// The last name received so far.
    fn last_key(&self) -> Key {
        self.registers.keys().next_back().cloned().unwrap_or_default()
    }
}

/// One attempt to admit an acceptor. Like a [`crate::proposer::ProposerRound`] it has no timers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Reconfiguration {
    slot: AcceptorSlot,
    generation: u64,
    acceptors: AcceptorSet,
    nonce: u64,
    acceptor_count: u8,
    store_counts: StoreCounts,
    transfers: BTreeMap<AcceptorSlot, Transfer>,
    is_done: bool,
}

impl Reconfiguration {
    /// Begins to admit the acceptor whose new file has this generation, under the set that follows the one known. The
    /// generation has to be above the known one; an uninitialized acceptor takes such a one once it learns of the set.
    pub fn new(
        slot: AcceptorSlot,
        generation: u64,
        known: &AcceptorSet,
        nonce: u64,
        acceptor_count: u8,
        store_counts: StoreCounts,
    ) -> Reconfiguration {
        Reconfiguration {
            slot,
            generation,
            acceptors: known.with(slot, generation),
            nonce,
            acceptor_count,
            store_counts,
            transfers: BTreeMap::new(),
            is_done: false,
        }
    }

    /// Identifies it in its requests and their replies.
    pub fn nonce(&self) -> u64 {
        self.nonce
    }

    /// The acceptor set that it brings about.
    pub fn acceptors(&self) -> &AcceptorSet {
        &self.acceptors
    }

    /// Whether the acceptor is admitted.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    fn complete_transfers(&self) -> impl Iterator<Item = &Transfer> {
        self.transfers.values().filter(|transfer| transfer.is_complete)
    }

    /// A majority of all has to be there among the others: any majority that ever chose a value or promised includes one of
    /// them.
    fn has_majority(&self) -> bool {
        self.complete_transfers().count() > usize::from(self.acceptor_count) / 2
    }

    /// The requests that are not answered yet, to be sent now and again from time to time.
    pub fn pending_requests(&self) -> Vec<(AcceptorSlot, AcceptorRequest)> {
        if self.is_done {
            return Vec::new();
        }
        if self.has_majority() {
            return self.install_requests();
        }
        let others = (0..self.acceptor_count).map(AcceptorSlot).filter(|slot| *slot != self.slot);
        others.filter_map(|slot| self.reconfigure_request(slot)).collect()
    }

    fn request(&self, operation: Operation) -> AcceptorRequest {
        AcceptorRequest { acceptors: self.acceptors.clone(), nonce: self.nonce, operation }
    }

    /// To another acceptor, unless it has returned all.
    fn reconfigure_request(&self, slot: AcceptorSlot) -> Option<(AcceptorSlot, AcceptorRequest)> {
        let transfer = self.transfers.get(&slot);
        if transfer.is_some_and(|transfer| transfer.is_complete) {
            return None;
        }
        let after = transfer.map(Transfer::last_key).unwrap_or_default();
        Some((slot, self.request(Operation::Reconfigure { after })))
    }

    /// To the acceptor to be admitted: all registers, in as many parts as they need.
    fn install_requests(&self) -> Vec<(AcceptorSlot, AcceptorRequest)> {
        let merged = self.merged_registers();
        let total = merged.len() as u32;
        let (mut rest, mut requests) = (merged.iter(), Vec::new());
        loop {
            let (registers, more) = first_page(rest.clone());
            rest.by_ref().take(registers.len()).for_each(drop);
            requests.push((self.slot, self.request(Operation::InstallState { registers, total })));
            if !more {
                return requests;
            }
        }
    }

    /// Of each register the highest promise and the value accepted last.
    fn merged_registers(&self) -> BTreeMap<Key, RegisterState> {
        let mut merged: BTreeMap<Key, RegisterState> = BTreeMap::new();
        for (key, state) in self.complete_transfers().flat_map(|transfer| &transfer.registers) {
            let known = merged.entry(key.clone()).or_default();
            known.promised = known.promised.max(state.promised);
            if state.accepted > known.accepted {
                (known.accepted, known.value) = (state.accepted, state.value.clone());
            }
        }
        merged
    }

    /// Handles a reply. [`RoundEvent::NewerAcceptorSet`] says that another file was admitted in the slot first,
    /// [`RoundEvent::UninitializedAcceptor`] that the acceptor has another file by now: either ends this attempt.
    pub fn handle_reply(&mut self, reply: &AcceptorReply) -> RoundEvent {
        if reply.nonce != self.nonce || reply.slot.0 >= self.acceptor_count {
            return RoundEvent::None;
        }
        let is_admitted_slot = reply.slot == self.slot;
        match &reply.answer {
            Answer::Rejected(Rejection::AcceptorSetMismatch(set)) => return self.join_acceptors(set),
            // It was restarted meanwhile, and its former file is not to be admitted any more.
            Answer::Rejected(Rejection::Uninitialized)
                if is_admitted_slot && reply.generation != self.generation =>
            {
                return RoundEvent::UninitializedAcceptor(reply.slot, reply.generation);
            }
            Answer::StateInstalled if is_admitted_slot => self.is_done = true,
            Answer::Reconfigured { after, registers, more } if !is_admitted_slot && self.counts(reply) => {
                let transfer =
                    self.transfers.entry(reply.slot).or_insert_with(|| Transfer::new(reply.generation));
                // A part may arrive twice, or belong to a transfer that was dropped since.
                if *after == transfer.last_key() && !transfer.is_complete {
                    transfer.registers.extend(registers.clone());
                    transfer.is_complete = !more;
                }
            }
            _ => {}
        }
        RoundEvent::None
    }

    /// Whether the reply is from a file that counts, and not from an older copy of it.
    fn counts(&self, reply: &AcceptorReply) -> bool {
        reply.generation == self.acceptors.generation(reply.slot)
            && reply.store_count >= self.store_counts.highest(reply.slot, reply.generation)
    }

    fn join_acceptors(&mut self, set: &AcceptorSet) -> RoundEvent {
        self.acceptors = self.acceptors.join(set);
        // What was read from a file that does not count any more need not be all that a majority knew.
        let acceptors = &self.acceptors;
        self.transfers.retain(|slot, transfer| acceptors.generation(*slot) == transfer.generation);
        if self.acceptors.generation(self.slot) == self.generation {
            RoundEvent::None
        } else {
            RoundEvent::NewerAcceptorSet(self.acceptors.clone())
        }
    }
}
