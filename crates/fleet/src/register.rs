//! Registers, ballots, and the set of acceptors that stores the registers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::node_id::NodeId;

/// Maximum length of a register's key, in bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// Maximum length of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024;
/// Maximum number of registers that an acceptor keeps.
pub const MAX_REGISTERS: usize = 1024;
/// Maximum number of acceptors; an acceptor set with a slot beyond it is invalid.
pub const MAX_ACCEPTORS: u8 = 7;

/// Maximum size of the registers in one message, in bytes; a single register always fits.
const MAX_PAGE_BYTES: usize = 1_150;
/// Overhead of each register in a message: the lengths of key and value, and two ballots of at most twenty bytes each.
const REGISTER_OVERHEAD_BYTES: usize = 48;

/// The key, or name, of a register.
pub type Key = String;
/// The value of a register, opaque to acceptors and proposers.
pub type Value = Vec<u8>;

/// One of a fixed number of slots for acceptors. The acceptor in a slot may be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptorSlot(pub u8);

/// The ballot number of a proposal, by which proposals are ordered. No two proposals have the same ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The higher counter wins.
    pub counter: u64,
    /// The proposer; decides between equal counters.
    pub proposer: NodeId,
}

/// An acceptor's state of one register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterState {
    /// The highest ballot promised: no proposal below it is accepted.
    pub promised: Ballot,
    /// The ballot of the value.
    pub accepted: Ballot,
    /// The latest accepted value.
    pub value: Option<Value>,
}

/// The current acceptors: for each slot the generation of the latest admitted acceptor file. Generations only increase,
/// so any two sets have a least upper bound ([`AcceptorSet::join`]), and no agreement on the order of sets is needed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorSet(BTreeMap<AcceptorSlot, u64>);

impl AcceptorSet {
    /// The set with a file of this generation in a slot, unless the slot has one of a higher generation.
    #[must_use]
    pub fn with(&self, slot: AcceptorSlot, generation: u64) -> AcceptorSet {
        self.join(&AcceptorSet(BTreeMap::from([(slot, generation)])))
    }

    /// The generation of the admitted file in a slot; 0 is that of the founding acceptor.
    pub fn generation(&self, slot: AcceptorSlot) -> u64 {
        self.0.get(&slot).copied().unwrap_or_default()
    }

    /// Whether it contains only slots that a fleet may have. A set is stored permanently, and has to fit into every
    /// request.
    pub fn is_valid(&self) -> bool {
        self.0.keys().all(|slot| slot.0 < MAX_ACCEPTORS)
    }

    /// The least upper bound of both sets.
    #[must_use]
    pub fn join(&self, other: &AcceptorSet) -> AcceptorSet {
        let mut joined = self.clone();
        for (slot, generation) in &other.0 {
            let known = joined.0.entry(*slot).or_default();
            *known = (*known).max(*generation);
        }
        joined
    }

    /// The generation of a newly created file in a slot: above the slot's generation in this set, and, by the random
    /// number `salt`, different from that of any other file created at the same time.
    pub fn next_generation(&self, slot: AcceptorSlot, salt: u32) -> u64 {
        ((self.generation(slot) >> 32) + 1) << 32 | u64::from(salt)
    }
}

/// As many registers as fit into one message, and whether more remain.
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
