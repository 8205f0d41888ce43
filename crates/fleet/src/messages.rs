//! The messages of [`crate::frame::MessageKind`], other than those of membership, as they go over the wire: postcard writes
//! fields and variants by their order, without names. A new field or variant, or another order, needs a new
//! [`crate::frame::FORMAT_VERSION`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::node_id::NodeId;
use crate::register::{AcceptorSet, AcceptorSlot, Ballot, Key, RegisterState, Value};

/// What a proposer asks of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Operation {
    /// Promise to accept no proposal below the ballot, and return what was accepted.
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
        /// The proposed value.
        value: Value,
    },
    /// Return what was accepted, without a promise.
    Read {
        /// The register.
        key: Key,
    },
    /// Adopt the request's acceptor set, joined with the one known, and return the registers that follow a name.
    Reconfigure {
        /// The last name received so far; empty at first.
        after: Key,
    },
    /// To an acceptor that has no state: a part of what the others returned under the request's acceptor set.
    InstallState {
        /// The registers of this part.
        registers: BTreeMap<Key, RegisterState>,
        /// How many registers there are in all parts.
        total: u32,
    },
}

/// A proposer's request to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorRequest {
    /// The acceptors that the proposer counts.
    pub acceptors: AcceptorSet,
    /// Identifies the proposer's round; the reply repeats it.
    pub nonce: u64,
    /// What is asked.
    pub operation: Operation,
}

/// Why an acceptor does not do what it was asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// It has promised this higher ballot.
    HigherPromise(Ballot),
    /// It goes by another acceptor set.
    AcceptorSetMismatch(AcceptorSet),
    /// It has lost its file, or never had one, and has to be admitted first.
    Uninitialized,
    /// So many of the registers to be installed have arrived, and more are missing.
    InstallIncomplete(u32),
    /// It could not store its new state. What it has answered before still holds.
    StoreFailed,
    /// A name or value is too long, or there are too many registers.
    LimitExceeded,
}

/// An acceptor's answer to an [`Operation`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// To `Prepare` and `Read`: what it has accepted; to `Prepare` also its promise.
    Promise {
        /// The ballot of the value.
        accepted: Ballot,
        /// The value accepted last.
        value: Option<Value>,
    },
    /// To `Accept`: it has accepted the value.
    Accepted,
    /// To `Reconfigure`: it has adopted the acceptor set, and knows these registers.
    Reconfigured {
        /// The name asked for.
        after: Key,
        /// The registers after that name, as many as fit.
        registers: BTreeMap<Key, RegisterState>,
        /// Whether there are more.
        more: bool,
    },
    /// To `InstallState`: it has all registers, and takes part from now on.
    StateInstalled,
    /// It does not do what it was asked.
    Rejected(Rejection),
}

/// An acceptor's reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorReply {
    /// The request's.
    pub nonce: u64,
    /// Who replies.
    pub slot: AcceptorSlot,
    /// The generation of its file.
    pub generation: u64,
    /// How often it has stored its state. One that comes back with a lower count has an older copy of its file.
    pub store_count: u64,
    /// The answer.
    pub answer: Answer,
}

/// What a lease holder orders a member to do on behalf of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The role of the lease.
    pub role: Key,
    /// The epoch of the lease: its fencing token.
    pub epoch: u64,
    /// The lease holder.
    pub from: NodeId,
    /// What is ordered.
    pub body: Vec<u8>,
}
