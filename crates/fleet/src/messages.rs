//! The messages of [`crate::frame::MessageKind`], other than those of membership, in their wire format: postcard
//! encodes fields and variants by their order, without names. A new field or variant, or another order, needs a new
//! [`crate::frame::FORMAT_VERSION`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::node_id::NodeId;
use crate::register::{AcceptorSet, AcceptorSlot, Ballot, Key, RegisterState, Value};

/// An operation that a proposer requests from an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Operation {
    /// Promise to accept no proposal below the ballot, and return the accepted value.
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
    /// Return the accepted value, without a promise.
    Read {
        /// The register.
        key: Key,
    },
    /// Adopt the request's acceptor set, joined with the acceptor's own, and return the registers after a key.
    Reconfigure {
        /// The last key received so far; empty at first.
        after: Key,
    },
    /// Install registers in an acceptor that has no state: one page of the registers that the others returned under the
    /// request's acceptor set.
    InstallState {
        /// The registers of this page.
        registers: BTreeMap<Key, RegisterState>,
        /// Number of registers in all pages.
        total: u32,
    },
}

/// A proposer's request to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorRequest {
    /// The acceptor set whose majority the proposer counts.
    pub acceptors: AcceptorSet,
    /// Identifies the proposer's round; the reply repeats it.
    pub nonce: u64,
    /// The requested operation.
    pub operation: Operation,
}

/// Why an acceptor rejects a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// It has promised this higher ballot.
    HigherPromise(Ballot),
    /// It uses this acceptor set, which differs from the request's.
    AcceptorSetMismatch(AcceptorSet),
    /// It has lost its file, or never had one, and has to be admitted first.
    Uninitialized,
    /// Only this many of the registers to be installed have arrived so far.
    InstallIncomplete(u32),
    /// It could not store its new state. Its earlier answers remain valid.
    StoreFailed,
    /// A key or value is too long, there are too many registers, or the acceptor set is invalid.
    LimitExceeded,
}

/// An acceptor's answer to an [`Operation`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// To `Prepare` and `Read`: the accepted value; to `Prepare` also the promise.
    Promise {
        /// The ballot of the value.
        accepted: Ballot,
        /// The latest accepted value.
        value: Option<Value>,
    },
    /// To `Accept`: it has accepted the value.
    Accepted,
    /// To `Reconfigure`: it has adopted the acceptor set, and holds these registers.
    Reconfigured {
        /// The key of the request.
        after: Key,
        /// The registers after that key, as many as fit.
        registers: BTreeMap<Key, RegisterState>,
        /// Whether there are more.
        more: bool,
    },
    /// To `InstallState`: it has all registers, and participates from now on.
    StateInstalled,
    /// The request is rejected.
    Rejected(Rejection),
}

/// An acceptor's reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorReply {
    /// The nonce of the request.
    pub nonce: u64,
    /// The slot of the replying acceptor.
    pub slot: AcceptorSlot,
    /// The generation of its file.
    pub generation: u64,
    /// How often it has stored its state. A lower count than before shows that it restarted from an older copy of its
    /// file.
    pub store_count: u64,
    /// The answer.
    pub answer: Answer,
}

/// An order of a lease holder to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The role of the lease.
    pub role: Key,
    /// The epoch of the lease: its fencing token.
    pub epoch: u64,
    /// The lease holder.
    pub from: NodeId,
    /// The order's contents, opaque to this crate.
    pub body: Vec<u8>,
}
