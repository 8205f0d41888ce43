//! A document with its number and digest, and the ledger that a register holds of them.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest document, in bytes.
pub const LONGEST_DOCUMENT: usize = 256 * 1024;
/// Versions that a ledger names: whoever proposed one finds it there as long as fewer others came after it.
pub const NAMED: usize = 8;

/// SHA-256 of a document (FIPS 180-4).
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// A document's digest.
    pub fn of(document: &[u8]) -> Digest {
        let _ = document;
        todo!()
    }
}

/// The first eight bytes, in hexadecimal.
impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..8].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

/// A version: a number has one digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Only rises; the first one is 1.
    pub number: u64,
    /// Of the document.
    pub digest: Digest,
}

/// A version with its bytes, which fit its digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    version: Version,
    bytes: Arc<[u8]>,
}

impl Document {
    /// A version with its bytes; none if they do not fit its digest or are too many.
    pub fn of(version: Version, bytes: Arc<[u8]>) -> Option<Document> {
        let _ = (version, bytes);
        todo!()
    }

    /// The version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The bytes.
    pub fn bytes(&self) -> &Arc<[u8]> {
        &self.bytes
    }

    /// As it is kept on a disk.
    pub fn file(&self) -> Vec<u8> {
        todo!()
    }

    /// Reads [`Document::file`].
    ///
    /// # Errors
    /// Why the bytes are no such file, in words for the operator.
    pub fn read(file: &[u8]) -> Result<Document, String> {
        let _ = file;
        todo!()
    }
}

/// What the register holds: the last versions, and which proposal each came from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Oldest first, [`NAMED`] at most: each with the number that its proposer drew for it.
    entries: Vec<(Version, u64)>,
}

impl Ledger {
    /// Reads a register's value; none has no versions. An unreadable one, of a later form say, is not to be written over.
    pub fn read(value: Option<&[u8]>) -> Option<Ledger> {
        let _ = value;
        todo!()
    }

    /// What the register is to hold: fits into [1,024 bytes].
    pub fn write(&self) -> Vec<u8> {
        todo!()
    }

    /// The newest version.
    pub fn newest(&self) -> Option<Version> {
        self.entries.last().map(|(version, _)| *version)
    }

    /// The version that came from a proposal, if it is still named.
    pub fn of(&self, proposal: u64) -> Option<Version> {
        self.entries.iter().find(|(_, by)| *by == proposal).map(|(version, _)| *version)
    }

    /// With one version more, numbered behind the newest. The one place where a number is given.
    #[must_use]
    pub fn with(&self, digest: Digest, proposal: u64) -> Ledger {
        let _ = (digest, proposal);
        todo!()
    }
}
