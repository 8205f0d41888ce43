//! A CASPaxos acceptor (Rystsov, "CASPaxos: Replicated State Machines without logs"): keeps promises and accepted
//! values of each register, and replies only once its new state is durable.
//!
//! It does no I/O. [`Acceptor::handle_request`] returns either a reply or a [`PendingStore`] with the bytes to be
//! stored; the reply of a pending store exists only after [`PendingStore::stored`], so that no caller can send it too
//! early.
//!
//! It differs from the published protocol in these points. A request names the acceptor set that its proposer uses, and
//! is rejected if the acceptor uses another one. An acceptor that has lost its file rejects everything until a majority
//! of all acceptors, found among the others, has adopted a set with its new file and returned its registers
//! ([`crate::reconfiguration`]). And each reply carries the number of stores so far, by which proposers recognise an
//! acceptor that restarted from an older copy of its file.

use std::collections::BTreeMap;

use crate::messages::{AcceptorReply, AcceptorRequest, Answer, Operation, Rejection};
use crate::register::{
    first_page, AcceptorSet, AcceptorSlot, Ballot, Key, RegisterState, Value, MAX_KEY_BYTES, MAX_REGISTERS,
    MAX_VALUE_BYTES,
};

mod stored_state;

pub use stored_state::AcceptorFileError;
use stored_state::StoredState;

/// The acceptor in one slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    slot: AcceptorSlot,
    generation: u64,
    /// The random part of the generation of a newly created file.
    salt: u32,
    /// `None` until it is admitted.
    state: Option<StoredState>,
    installing: PartialState,
}

/// The registers received so far by an uninitialized acceptor, all from one reconfiguration under one acceptor set.
/// Pages of two reconfigurations could reach the total of one of them and yet lack some of its registers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct PartialState {
    nonce: u64,
    acceptors: AcceptorSet,
    registers: BTreeMap<Key, RegisterState>,
}

/// The result of a request.
#[must_use]
pub enum RequestOutcome<'a> {
    /// Nothing has to be stored: the reply may be sent at once.
    Reply(AcceptorReply),
    /// The reply may be sent once the new state is stored.
    Store(PendingStore<'a>),
}

/// A change of the acceptor's state that has to be durable before it is visible to any other process.
#[must_use]
pub struct PendingStore<'a> {
    acceptor: &'a mut Acceptor,
    next: StoredState,
    nonce: u64,
    answer: Answer,
}

impl PendingStore<'_> {
    /// The complete contents that the file must have before the reply may be sent.
    pub fn file_bytes(&self) -> Vec<u8> {
        self.next.encode()
    }

    /// The file is durable: changes the state and returns the reply.
    pub fn stored(self) -> AcceptorReply {
        self.acceptor.state = Some(self.next);
        self.acceptor.installing = PartialState::default();
        self.acceptor.reply(self.nonce, self.answer)
    }

    /// It is unknown whether the file is durable: returns a rejection. The file holds either this change or the state
    /// before it, and no other process sees this change, so an acceptor restarted from either file keeps all its
    /// earlier answers. The next store writes the complete state again.
    pub fn failed(self) -> AcceptorReply {
        self.acceptor.reply(self.nonce, Answer::Rejected(Rejection::StoreFailed))
    }
}

impl Acceptor {
    /// An acceptor of a new fleet, which participates at once. Its file has to be stored before it replies to anything.
    /// Only for fleets that the operator has declared new, since two files of generation 0 in one slot cannot be
    /// distinguished.
    pub fn founding(slot: AcceptorSlot) -> Acceptor {
        let state = StoredState {
            generation: 0,
            store_count: 0,
            acceptors: AcceptorSet::default(),
            registers: BTreeMap::new(),
        };
        Acceptor { slot, generation: 0, salt: 0, state: Some(state), installing: PartialState::default() }
    }

    /// An acceptor without a file: it does not participate until the others have admitted it. `salt` is a random number
    /// that distinguishes its new file from other files.
    pub fn uninitialized(slot: AcceptorSlot, salt: u32) -> Acceptor {
        let generation = AcceptorSet::default().next_generation(slot, salt);
        Acceptor { slot, generation, salt, state: None, installing: PartialState::default() }
    }

    /// An acceptor that continues from its file.
    ///
    /// # Errors
    /// The reason why the file cannot be used. The caller then creates an [`Acceptor::uninitialized`].
    pub fn from_file(slot: AcceptorSlot, file: &[u8]) -> Result<Acceptor, AcceptorFileError> {
        let state = StoredState::decode(file)?;
        let generation = state.generation;
        Ok(Acceptor { slot, generation, salt: 0, state: Some(state), installing: PartialState::default() })
    }

    /// The contents that the file must have before this acceptor replies to anything; `None` while it is uninitialized.
    pub fn file_bytes(&self) -> Option<Vec<u8>> {
        self.state.as_ref().map(StoredState::encode)
    }

    /// The acceptor's slot.
    pub fn slot(&self) -> AcceptorSlot {
        self.slot
    }

    /// The generation of the acceptor's file.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether it has no state and has to be admitted by the others.
    pub fn is_uninitialized(&self) -> bool {
        self.state.is_none()
    }

    /// The acceptor set that it uses; `None` while it is uninitialized.
    pub fn acceptors(&self) -> Option<&AcceptorSet> {
        self.state.as_ref().map(|state| &state.acceptors)
    }

    /// Number of registers that it keeps.
    pub fn register_count(&self) -> usize {
        self.state.as_ref().map_or(0, |state| state.registers.len())
    }

    fn reply(&self, nonce: u64, answer: Answer) -> AcceptorReply {
        let store_count = self.state.as_ref().map_or(0, |state| state.store_count);
        AcceptorReply { nonce, slot: self.slot, generation: self.generation, store_count, answer }
    }

    /// Handles a proposer's request.
    pub fn handle_request(&mut self, request: AcceptorRequest) -> RequestOutcome<'_> {
        let AcceptorRequest { acceptors, nonce, operation } = request;
        if self.is_uninitialized() {
            self.prepare_installation(&acceptors, nonce, &operation);
        }
        match self.next_state(acceptors, operation) {
            Ok((next, answer)) if self.state.as_ref() == Some(&next) => {
                RequestOutcome::Reply(self.reply(nonce, answer))
            }
            Ok((next, answer)) => {
                let next = StoredState { store_count: next.store_count + 1, ..next };
                RequestOutcome::Store(PendingStore { acceptor: self, next, nonce, answer })
            }
            Err(rejection) => RequestOutcome::Reply(self.reply(nonce, Answer::Rejected(rejection))),
        }
    }

    /// For an uninitialized acceptor: moves on to a generation that the set does not contain yet, and collects
    /// registers to be installed.
    fn prepare_installation(&mut self, acceptors: &AcceptorSet, nonce: u64, operation: &Operation) {
        if acceptors.is_valid() && acceptors.generation(self.slot) > self.generation {
            // Another file of this slot has been admitted, or its admission is under way.
            self.generation = acceptors.next_generation(self.slot, self.salt);
        }
        if let Operation::InstallState { registers, .. } = operation {
            self.collect_registers(nonce, acceptors, registers);
        }
    }

    /// The state after the operation, and the answer.
    fn next_state(
        &self,
        acceptors: AcceptorSet,
        operation: Operation,
    ) -> Result<(StoredState, Answer), Rejection> {
        if !acceptors.is_valid() {
            return Err(Rejection::LimitExceeded);
        }
        if let Operation::InstallState { total, .. } = operation {
            return self.install(acceptors, total);
        }
        let mut next = self.state.clone().ok_or(Rejection::Uninitialized)?;
        if let Operation::Reconfigure { after } = operation {
            return self.reconfigure(next, &acceptors, after);
        }
        if acceptors != next.acceptors {
            return Err(Rejection::AcceptorSetMismatch(next.acceptors));
        }
        let answer = match operation {
            Operation::Prepare { key, ballot } => prepare(&mut next.registers, key, ballot)?,
            Operation::Accept { key, ballot, value } => accept(&mut next.registers, key, ballot, value)?,
            Operation::Read { key } => {
                let state = next.registers.get(&key).cloned().unwrap_or_default();
                Answer::Promise { accepted: state.accepted, value: state.value }
            }
            Operation::Reconfigure { .. } | Operation::InstallState { .. } => {
                return Err(Rejection::AcceptorSetMismatch(next.acceptors))
            }
        };
        Ok((next, answer))
    }

    /// Adopts an acceptor set, and returns the registers after a key.
    fn reconfigure(
        &self,
        mut next: StoredState,
        acceptors: &AcceptorSet,
        after: Key,
    ) -> Result<(StoredState, Answer), Rejection> {
        let joined = next.acceptors.join(acceptors);
        if joined.generation(self.slot) != self.generation {
            // Another file has been admitted in this slot: this acceptor is not in the set any more.
            return Err(Rejection::AcceptorSetMismatch(joined));
        }
        next.acceptors = joined;
        let following = next.registers.iter().filter(|(key, _)| **key > after);
        let (registers, more) = first_page(following);
        Ok((next, Answer::Reconfigured { after, registers, more }))
    }

    /// Collects one page of the registers to be installed. They take effect only once all have arrived.
    fn collect_registers(
        &mut self,
        nonce: u64,
        acceptors: &AcceptorSet,
        registers: &BTreeMap<Key, RegisterState>,
    ) {
        if acceptors.generation(self.slot) != self.generation || !acceptors.is_valid() {
            return;
        }
        if self.installing.nonce != nonce || self.installing.acceptors != *acceptors {
            self.installing =
                PartialState { nonce, acceptors: acceptors.clone(), registers: BTreeMap::new() };
        }
        let arrived = &mut self.installing.registers;
        for (key, state) in registers {
            let has_capacity = arrived.len() < MAX_REGISTERS || arrived.contains_key(key);
            if key.len() <= MAX_KEY_BYTES && has_capacity {
                arrived.insert(key.clone(), state.clone());
            }
        }
    }

    /// Installs the collected registers once they are complete. An acceptor that already has a state keeps it.
    fn install(&self, acceptors: AcceptorSet, total: u32) -> Result<(StoredState, Answer), Rejection> {
        if acceptors.generation(self.slot) != self.generation {
            return Err(Rejection::Uninitialized);
        }
        let arrived = self.installing.registers.len() as u32;
        match &self.state {
            // The acceptor has already been admitted, perhaps by another process.
            Some(state) => Ok((state.clone(), Answer::StateInstalled)),
            None if arrived < total => Err(Rejection::InstallIncomplete(arrived)),
            None => {
                let registers = self.installing.registers.clone();
                let state = StoredState { generation: self.generation, store_count: 0, acceptors, registers };
                Ok((state, Answer::StateInstalled))
            }
        }
    }
}

fn prepare(
    registers: &mut BTreeMap<Key, RegisterState>,
    key: Key,
    ballot: Ballot,
) -> Result<Answer, Rejection> {
    let state = register_mut(registers, key)?;
    // An equal ballot comes from the same proposer, which has not received the reply.
    if ballot < state.promised {
        return Err(Rejection::HigherPromise(state.promised));
    }
    state.promised = ballot;
    Ok(Answer::Promise { accepted: state.accepted, value: state.value.clone() })
}

fn accept(
    registers: &mut BTreeMap<Key, RegisterState>,
    key: Key,
    ballot: Ballot,
    value: Value,
) -> Result<Answer, Rejection> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(Rejection::LimitExceeded);
    }
    let state = register_mut(registers, key)?;
    if ballot < state.promised {
        return Err(Rejection::HigherPromise(state.promised));
    }
    *state = RegisterState { promised: ballot, accepted: ballot, value: Some(value) };
    Ok(Answer::Accepted)
}

fn register_mut(
    registers: &mut BTreeMap<Key, RegisterState>,
    key: Key,
) -> Result<&mut RegisterState, Rejection> {
    let is_known = registers.contains_key(&key);
    if key.len() > MAX_KEY_BYTES || !is_known && registers.len() >= MAX_REGISTERS {
        return Err(Rejection::LimitExceeded);
    }
    Ok(registers.entry(key).or_default())
}

#[cfg(test)]
mod tests;
