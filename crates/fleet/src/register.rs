//! What proposers and voters say to each other about a register: ballots, calls and replies.

use serde::{Deserialize, Serialize};

use std::collections::BTreeMap;

use crate::node_id::NodeId;

/// Longest name of a register, in bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// Longest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024;
/// Most registers that a voter keeps.
pub const MAX_REGISTERS: usize = 1024;

/// Most voters; a view of more places is nobody's.
pub const MAX_ACCEPTORS: u8 = 7;

/// A voter's place among the voters. Whoever fills it may change, the number of places does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slot(pub u8);

/// The order of proposals: no two proposers ever use the same one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The higher one goes before; then the proposer's number decides.
    pub round: u64,
    /// Who proposes.
    pub by: NodeId,
}

/// The name of a register.
pub type Key = String;
/// What a register holds; empty ones hold nothing.
pub type Value = Vec<u8>;

/// What a voter knows of one register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// Nothing below this ballot is accepted any more.
    pub promised: Ballot,
    /// The ballot of the value.
    pub accepted: Ballot,
    /// The value accepted last.
    pub value: Option<Value>,
}

/// Whose files count: of each place the number of the file of the voter that has been let in last. Numbers only rise,
/// so any two views have one that follows both, and nobody has to agree on their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View(BTreeMap<Slot, u64>);

impl View {
    /// The view with another file in a place.
    #[must_use]
    pub fn with(&self, slot: Slot, generation: u64) -> View {
        self.join(&View(BTreeMap::from([(slot, generation)])))
    }

    /// The number of the file that counts in a place; those of the founders have 0.
    pub fn generation(&self, slot: Slot) -> u64 {
        self.0.get(&slot).copied().unwrap_or_default()
    }

    /// Whether it names no places that no fleet has: it is stored for good, and has to fit into every call.
    pub fn is_sound(&self) -> bool {
        self.0.keys().all(|slot| slot.0 < MAX_ACCEPTORS)
    }

    /// The first view that follows both.
    #[must_use]
    pub fn join(&self, other: &View) -> View {
        let mut joined = self.clone();
        for (slot, generation) in &other.0 {
            let known = joined.0.entry(*slot).or_default();
            *known = (*known).max(*generation);
        }
        joined
    }

    /// The number for a file that is laid out anew in a place: above all that the view knows, and unlike any other
    /// that is drawn for it. `salt` is a random number.
    pub fn next_generation(&self, slot: Slot, salt: u32) -> u64 {
        ((self.generation(slot) >> 32) + 1) << 32 | u64::from(salt)
    }
}

/// Most bytes of registers in one message; one register always fits.
const PAGE: usize = 1_150;

/// As many registers as fit into one message, and whether some are left.
pub(crate) fn page<'a>(registers: impl Iterator<Item = (&'a Key, &'a Cell)>) -> (BTreeMap<Key, Cell>, bool) {
    let (mut page, mut bytes) = (BTreeMap::new(), 0);
    for (key, cell) in registers {
        // Names and values with their lengths, and two ballots of at most twenty bytes each.
        bytes += key.len() + cell.value.as_ref().map_or(0, Vec::len) + 48;
        if !page.is_empty() && bytes > PAGE {
            return (page, true);
        }
        page.insert(key.clone(), cell.clone());
    }
    (page, false)
}

/// What a voter is asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Request {
    /// Promise to accept nothing below the ballot, and tell what was accepted.
    Prepare {
        /// The register.
        key: Key,
        /// The proposal's ballot.
        ballot: Ballot,
    },
    /// Accept a value under a ballot.
    Accept {
        /// The register.
        key: Key,
        /// The proposal's ballot.
        ballot: Ballot,
        /// Its value.
        value: Value,
    },
    /// Tell what was accepted, and promise nothing.
    Read {
        /// The register.
        key: Key,
    },
    /// Go by the call's view from now on, joined with the one known, and tell the registers that come after a name.
    Admit {
        /// The last name told so far; empty at the start.
        after: Key,
    },
    /// To that voter: a part of what the others told under the call's view.
    Install {
        /// The registers of this part.
        registers: BTreeMap<Key, Cell>,
        /// How many there are in all parts.
        total: u32,
    },
}

/// A request with what tells old ones from new ones.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Call {
    /// The voters that the caller goes by.
    pub view: View,
    /// Comes back with the reply.
    pub nonce: u64,
    /// What is asked.
    pub request: Request,
}

/// Why a voter does not do what it was asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// It has promised this ballot to somebody.
    Promised(Ballot),
    /// This voter goes by another view.
    View(View),
    /// It has lost its file, or never had one: it has to be let in first.
    Blank,
    /// So many of the registers that it takes over have come, and more are to come.
    Arrived(u32),
    /// It could not store this; it keeps what it has answered before, and may store the next.
    Broken,
    /// A name or value is too long, or there are too many registers.
    Bounds,
}

/// What a voter answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// It promises (where it was asked to), and has accepted this.
    Promise {
        /// The ballot of the value.
        accepted: Ballot,
        /// The value accepted last.
        value: Option<Value>,
    },
    /// It has accepted.
    Accepted,
    /// It counts the new voter, and knows this.
    Admitted {
        /// The name asked for.
        after: Key,
        /// The registers after the name asked for, as far as they fit.
        registers: BTreeMap<Key, Cell>,
        /// There are more.
        more: bool,
    },
    /// It has taken over all of them, and votes.
    Installed,
    /// It does not do that.
    Refused(Refusal),
}

/// A voter's reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reply {
    /// The call's.
    pub nonce: u64,
    /// Who answers.
    pub slot: Slot,
    /// The number of its file.
    pub generation: u64,
    /// How often it has stored: one that comes back with less has an older copy of its file.
    pub stamp: u64,
    /// What it answers.
    pub answer: Answer,
}
