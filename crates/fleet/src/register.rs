//! Registers, ballots, and the set of acceptors that decides on them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::node_id::NodeId;

/// Longest name of a register, in bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// Longest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024;
/// Most registers that an acceptor keeps.
pub const MAX_REGISTERS: usize = 1024;
/// Most acceptors; an acceptor set with more slots is invalid.
pub const MAX_ACCEPTORS: u8 = 7;

/// Most bytes of registers in one message; a single register always fits.
const MAX_PAGE_BYTES: usize = 1_150;
/// Of each register in a message: the lengths of name and value, and two ballots of at most twenty bytes each.
const REGISTER_OVERHEAD_BYTES: usize = 48;

/// The name of a register.
pub type Key = String;
/// What a register holds.
pub type Value = Vec<u8>;

/// One of the fixed number of places for acceptors. The acceptor in it may be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptorSlot(pub u8);

/// The order of proposals. No two proposals ever have the same ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The higher counter wins.
    pub counter: u64,
    /// Who proposes; decides between equal counters.
    pub proposer: NodeId,
}

/// An acceptor's state of one register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterState {
    /// No proposal below this ballot is accepted any more.
    pub promised: Ballot,
    /// The ballot of the value.
    pub accepted: Ballot,
    /// The value accepted last.
    pub value: Option<Value>,
}

/// The acceptors that count: for each slot the generation of the acceptor file admitted last. Generations only rise, so any
/// two sets have a least one that follows both ([`AcceptorSet::join`]), and nobody has to agree on the order of sets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorSet(BTreeMap<AcceptorSlot, u64>);

impl AcceptorSet {
    /// The set with another file in a slot.
    #[must_use]
    pub fn with(&self, slot: AcceptorSlot, generation: u64) -> AcceptorSet {
        self.join(&AcceptorSet(BTreeMap::from([(slot, generation)])))
    }

    /// The generation of the file that counts in a slot; 0 is that of the founding acceptor.
    pub fn generation(&self, slot: AcceptorSlot) -> u64 {
        self.0.get(&slot).copied().unwrap_or_default()
    }

    /// Whether it names only slots that a fleet may have. A set is stored for good, and has to fit into every request.
    pub fn is_valid(&self) -> bool {
        self.0.keys().all(|slot| slot.0 < MAX_ACCEPTORS)
    }

    /// The least set that follows both.
    #[must_use]
    pub fn join(&self, other: &AcceptorSet) -> AcceptorSet {
        let mut joined = self.clone();
        for (slot, generation) in &other.0 {
            let known = joined.0.entry(*slot).or_default();
            *known = (*known).max(*generation);
        }
        joined
    }

    /// The generation of a file that is created anew in a slot: above all that this set knows, and different from any other
    /// created at the same time. `salt` is a random number.
    pub fn next_generation(&self, slot: AcceptorSlot, salt: u32) -> u64 {
        ((self.generation(slot) >> 32) + 1) << 32 | u64::from(salt)
    }
}

/// As many registers as fit into one message, and whether some are left.
pub(crate) fn first_page<'a>(
    registers: impl Iterator<Item = (&'a Key, &'a RegisterState)>,
) -> (BTreeMap<Key, RegisterState>, bool) {
    let (mut page, mut bytes) = (BTreeMap::new(), 0);
    for (key, state) in registers {
        bytes += key.len() + state.value.as_ref().map_or(0, Vec::len) + REGISTER_OVERHEAD_BYTES;
        if !page.is_empty() && bytes > MAX_PAGE_BYTES {
            return (page, true);
        }
        page.insert(key.clone(), state.clone());
    }
    (page, false)
}
