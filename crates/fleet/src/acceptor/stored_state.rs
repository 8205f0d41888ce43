//! An acceptor's file: magic bytes with the format version, length, checksum, and the state in postcard, which writes
//! the fields in their order and without names. `docs/formats/fleet.md` specifies it byte by byte.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::register::{AcceptorSet, Key, RegisterState};

/// The file type, followed by the format version.
const MAGIC: &[u8; 8] = b"DMVOTE\x00\x01";
const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;

/// The state that an acceptor must keep across a crash.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct StoredState {
    pub(super) generation: u64,
    pub(super) store_count: u64,
    pub(super) acceptors: AcceptorSet,
    pub(super) registers: BTreeMap<Key, RegisterState>,
}

/// Why an acceptor's file cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AcceptorFileError {
    /// The file is shorter than its header, or than the length in it.
    #[error("the file is truncated")]
    Truncated,
    /// The file is not an acceptor's file, or has a format version that this program does not support.
    #[error("not a voter's file of a supported format version")]
    UnknownFormat,
    /// The checksum does not match the contents, or there are bytes after them.
    #[error("the checksum does not match")]
    ChecksumMismatch,
    /// The checksum matches, but the contents cannot be decoded.
    #[error("the contents cannot be decoded")]
    Malformed,
}

impl StoredState {
    pub(super) fn encode(&self) -> Vec<u8> {
        // Writing into a vector cannot fail.
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut file = MAGIC.to_vec();
        file.extend_from_slice(&(body.len() as u32).to_le_bytes());
        file.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        file.extend_from_slice(&body);
        file
    }

    pub(super) fn decode(file: &[u8]) -> Result<StoredState, AcceptorFileError> {
        let (magic, rest) = file.split_first_chunk().ok_or(AcceptorFileError::Truncated)?;
        let (length, rest) = rest.split_first_chunk::<LENGTH_BYTES>().ok_or(AcceptorFileError::Truncated)?;
        let (checksum, body) =
            rest.split_first_chunk::<CHECKSUM_BYTES>().ok_or(AcceptorFileError::Truncated)?;
        if magic != MAGIC {
            return Err(AcceptorFileError::UnknownFormat);
        }
        let length = u32::from_le_bytes(*length) as usize;
        if body.len() < length {
            return Err(AcceptorFileError::Truncated);
        }
        if body.len() > length || crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
            return Err(AcceptorFileError::ChecksumMismatch);
        }
        postcard::from_bytes(body).map_err(|_| AcceptorFileError::Malformed)
    }
}
