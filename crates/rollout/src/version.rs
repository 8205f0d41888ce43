//! A document with its version number and digest.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::file_format::{self, FileError, Magic};

/// Longest document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// First bytes of a document's file.
const DOCUMENT_MAGIC: &Magic = b"DMCONF\x00\x01";

/// SHA-256 of a document (FIPS 180-4).
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of a document.
    pub fn of(document: &[u8]) -> Digest {
        Digest(Sha256::digest(document).into())
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

/// A version of the configuration. Each number has exactly one digest. The type is part of stored files and of
/// messages, which are encoded by the order of its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The version number, which only increases; the first one is 1.
    pub number: u64,
    /// The digest of the version's document.
    pub digest: Digest,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.number, self.digest)
    }
}

/// A version with its document's bytes, which have the version's digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    version: Version,
    bytes: Arc<[u8]>,
}

/// The body of a document's file, which is encoded by the order of the fields.
#[derive(Serialize, Deserialize)]
struct StoredDocument {
    version: Version,
    bytes: Arc<[u8]>,
}

impl Document {
    /// Combines a version with its bytes; `None` if the bytes do not have the version's digest or exceed
    /// [`MAX_DOCUMENT_BYTES`], or if the version number is zero.
    pub fn verify(version: Version, bytes: Arc<[u8]>) -> Option<Document> {
        let is_allowed = version.number > 0 && bytes.len() <= MAX_DOCUMENT_BYTES;
        (is_allowed && Digest::of(&bytes) == version.digest).then_some(Document { version, bytes })
    }

    /// The version that the bytes belong to.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The bytes of the document.
    pub fn bytes(&self) -> &Arc<[u8]> {
        &self.bytes
    }

    /// Encodes the file in which a gateway stores the document.
    pub fn to_file(&self) -> Vec<u8> {
        let body = StoredDocument { version: self.version, bytes: self.bytes.clone() };
        file_format::encode(DOCUMENT_MAGIC, &body)
    }

    /// Decodes a file written by [`Document::to_file`].
    ///
    /// # Errors
    /// The file is truncated, damaged, or of another kind or format.
    pub fn from_file(file: &[u8]) -> Result<Document, FileError> {
        let StoredDocument { version, bytes } = file_format::decode(DOCUMENT_MAGIC, file)?;
        Document::verify(version, bytes).ok_or(FileError::DigestMismatch)
    }
}
