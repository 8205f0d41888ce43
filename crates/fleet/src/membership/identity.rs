//! The identity of a member: its wire format, and the form that the protocol compares quickly.

use std::net::SocketAddr;

use foca::Identity;
use serde::{Deserialize, Serialize};

use crate::node_id::NodeId;

/// Maximum length of a member's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
const WORD_BYTES: usize = 8;

/// A process of a gateway as the other members know it. On the wire, postcard writes the fields in this order, without
/// names.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// The gateway's name: unique in the fleet, and the same after a restart.
    pub name: String,
    /// Increases with each start of the gateway.
    pub start: u64,
    /// Increases each time the process refutes that it is down (SWIM's incarnation number).
    pub incarnation: u32,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
}

impl MemberIdentity {
    /// A process of which only the name and address are known, such as a seed or an acceptor in the settings.
    pub fn with_address(name: &str, address: SocketAddr) -> MemberIdentity {
        MemberIdentity { name: name.to_string(), start: 0, incarnation: 0, address }
    }

    /// Its identifier as a proposer and lease holder: different for each start, but independent of the incarnation.
    pub fn node_id(&self) -> NodeId {
        NodeId::from_start(&self.name, self.start)
    }
}

/// A member's name without an allocation, for comparisons. Only the beginning of a name that is too long is kept; its
/// length distinguishes it from all valid names.
#[derive(Clone, Copy, Debug)]
pub(super) struct NameKey {
    length: usize,
    words: [u64; MAX_NAME_BYTES / WORD_BYTES],
}

impl NameKey {
    fn new(name: &str) -> NameKey {
        let mut words = [0; MAX_NAME_BYTES / WORD_BYTES];
        for (word, bytes) in words.iter_mut().zip(name.as_bytes().chunks(WORD_BYTES)) {
            *word = bytes.iter().fold(0, |word, byte| word << 8 | u64::from(*byte));
        }
        NameKey { length: name.len(), words }
    }
}

impl Eq for NameKey {}

impl PartialEq for NameKey {
    // Compares word by word: most names differ in the first two words, so comparing all words at once would cost more.
    #[inline]
    fn eq(&self, other: &NameKey) -> bool {
        self.length == other.length && self.words.iter().zip(&other.words).all(|(left, right)| left == right)
    }
}

/// An identity whose name is also kept in a form that compares quickly: for each update the protocol looks up a member
/// by comparing it with the names of all members. On the wire it is a [`MemberIdentity`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "MemberIdentity", into = "MemberIdentity")]
pub(super) struct IndexedIdentity {
    key: NameKey,
    pub(super) identity: MemberIdentity,
}

impl From<MemberIdentity> for IndexedIdentity {
    fn from(identity: MemberIdentity) -> IndexedIdentity {
        IndexedIdentity { key: NameKey::new(&identity.name), identity }
    }
}

impl From<IndexedIdentity> for MemberIdentity {
    fn from(indexed: IndexedIdentity) -> MemberIdentity {
        indexed.identity
    }
}

impl Identity for IndexedIdentity {
    type Addr = NameKey;

    fn renew(&self) -> Option<Self> {
        let incarnation = self.identity.incarnation.checked_add(1)?;
        Some(IndexedIdentity {
            key: self.key,
            identity: MemberIdentity { incarnation, ..self.identity.clone() },
        })
    }

    #[inline]
    fn addr(&self) -> NameKey {
        self.key
    }

    /// Of two processes with the same name the later start wins.
    fn win_addr_conflict(&self, other: &Self) -> bool {
        let (own, other) = (&self.identity, &other.identity);
        (own.start, own.incarnation, own.address) > (other.start, other.incarnation, other.address)
    }
}
