//! Reconfiguration: admits an acceptor that has lost its file, under a new generation.
//!
//! A majority *of all* acceptors, found among the other ones, adopts an acceptor set with the new file and returns all
//! its registers; then the acceptor installs the highest promise and the latest accepted value of each register. From
//! then on no proposer gets a majority under an older set, since any majority includes an acceptor that has adopted the
//! new set.
//!
//! CASPaxos changes its acceptors one at a time, in an order that an operator ensures. Here any number of processes may
//! reconfigure at once: sets are joined slot by slot, so concurrent changes need no order.

use std::collections::BTreeMap;

use crate::messages::{AcceptorReply, AcceptorRequest, Answer, Operation, Rejection};
use crate::proposer::{RoundEvent, StoreCounts};
use crate::register::{first_page, AcceptorSet, AcceptorSlot, Key, RegisterState};

/// The registers received from one of the other acceptors.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Transfer {
    /// The generation of the file from which the registers were read.
    generation: u64,
    registers: BTreeMap<Key, RegisterState>,
    is_complete: bool,
}

impl Transfer {
    fn new(generation: u64) -> Transfer {
        Transfer { generation, registers: BTreeMap::new(), is_complete: false }
    }

    /// The last key received so far; empty if there is none.
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
    /// Starts to admit the acceptor whose new file has this generation, under the known set extended by that file. The
    /// generation has to be above the one in the known set, or the same if the admission of this file is under way; an
    /// uninitialized acceptor moves to a higher generation once it receives the set.
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

    /// Identifies this reconfiguration in its requests and their replies.
    pub fn nonce(&self) -> u64 {
        self.nonce
    }

    /// The acceptor set that this reconfiguration establishes.
    pub fn acceptors(&self) -> &AcceptorSet {
        &self.acceptors
    }

    /// Whether the acceptor has been admitted.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    fn complete_transfers(&self) -> impl Iterator<Item = &Transfer> {
        self.transfers.values().filter(|transfer| transfer.is_complete)
    }

    /// Whether a majority of all acceptors, among the other ones, has returned its registers: any majority that ever
    /// chose a value or made a promise includes one of them.
    fn has_majority(&self) -> bool {
        self.complete_transfers().count() > usize::from(self.acceptor_count) / 2
    }

    /// The requests that are not answered yet, to be sent at once and resent at intervals.
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

    /// The request to another acceptor; `None` if it has returned all its registers.
    fn reconfigure_request(&self, slot: AcceptorSlot) -> Option<(AcceptorSlot, AcceptorRequest)> {
        let transfer = self.transfers.get(&slot);
        if transfer.is_some_and(|transfer| transfer.is_complete) {
            return None;
        }
        let after = transfer.map(Transfer::last_key).unwrap_or_default();
        Some((slot, self.request(Operation::Reconfigure { after })))
    }

    /// The requests to the acceptor to be admitted: all registers, in as many pages as they need.
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

    /// The highest promise and the latest accepted value of each register.
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

    /// Handles a reply. [`RoundEvent::NewerAcceptorSet`] means that another file was admitted in the slot first,
    /// [`RoundEvent::UninitializedAcceptor`] that the acceptor now has another file: either event ends this attempt.
    pub fn handle_reply(&mut self, reply: &AcceptorReply) -> RoundEvent {
        if reply.nonce != self.nonce || reply.slot.0 >= self.acceptor_count {
            return RoundEvent::None;
        }
        let is_admitted_slot = reply.slot == self.slot;
        match &reply.answer {
            Answer::Rejected(Rejection::AcceptorSetMismatch(set)) => return self.join_acceptors(set),
            // The acceptor has been restarted, and its former file must not be admitted any more.
            Answer::Rejected(Rejection::Uninitialized)
                if is_admitted_slot && reply.generation != self.generation =>
            {
                return RoundEvent::UninitializedAcceptor(reply.slot, reply.generation);
            }
            Answer::StateInstalled if is_admitted_slot => self.is_done = true,
            Answer::Reconfigured { after, registers, more }
                if !is_admitted_slot && self.is_from_current_file(reply) =>
            {
                let transfer =
                    self.transfers.entry(reply.slot).or_insert_with(|| Transfer::new(reply.generation));
                // A page may arrive twice, or belong to a transfer that has been dropped.
                if *after == transfer.last_key() && !transfer.is_complete {
                    transfer.registers.extend(registers.clone());
                    transfer.is_complete = !more;
                }
            }
            _ => {}
        }
        RoundEvent::None
    }

    /// Whether the reply comes from the file in the acceptor set, and not from an older copy of it.
    fn is_from_current_file(&self, reply: &AcceptorReply) -> bool {
        reply.generation == self.acceptors.generation(reply.slot)
            && reply.store_count >= self.store_counts.highest(reply.slot, reply.generation)
    }

    fn join_acceptors(&mut self, set: &AcceptorSet) -> RoundEvent {
        self.acceptors = self.acceptors.join(set);
        // Registers read from a file that is not in the set any more may lack some that a majority accepted.
        let acceptors = &self.acceptors;
        self.transfers.retain(|slot, transfer| acceptors.generation(*slot) == transfer.generation);
        if self.acceptors.generation(self.slot) == self.generation {
            RoundEvent::None
        } else {
            RoundEvent::NewerAcceptorSet(self.acceptors.clone())
        }
    }
}
