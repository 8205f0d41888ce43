//! The envelope of the package's files: magic bytes with the format's version, the length of the body, its SHA-256
//! digest, and the body.

use serde::{de::DeserializeOwned, Serialize};

use crate::version::Digest;

/// The first bytes of a file: seven that identify its kind, and the version of its format.
pub(crate) type Magic = [u8; 8];
/// Number of bytes of [`Magic`] that identify the kind of file.
const KIND_BYTES: usize = 7;

/// Why a file cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileError {
    /// The file ends before its body does.
    #[error("the file is truncated")]
    Truncated,
    /// The first bytes identify another kind of file, or no known kind.
    #[error("not a file of this kind")]
    WrongKind,
    /// The file has a format version that this program cannot read.
    #[error("format version {0} is not supported")]
    UnknownFormat(u8),
    /// The body is longer than its length says, or does not have the digest that was written with it.
    #[error("the checksum does not match")]
    Checksum,
    /// The body cannot be decoded.
    #[error("the contents cannot be decoded")]
    Undecodable,
    /// The document does not have the digest of its version, or exceeds its limits.
    #[error("the document does not match its version")]
    DigestMismatch,
}

/// Encodes a file with this body.
pub(crate) fn encode(magic: &Magic, body: &impl Serialize) -> Vec<u8> {
    // Encoding into a vector cannot fail.
    let body = postcard::to_stdvec(body).unwrap_or_default();
    let mut file = magic.to_vec();
    file.extend_from_slice(&(body.len() as u32).to_be_bytes());
    file.extend_from_slice(&Digest::of(&body).0);
    file.extend_from_slice(&body);
    file
}

/// Decodes the body of a file written by [`encode`]. A truncated or damaged file yields an error.
pub(crate) fn decode<T: DeserializeOwned>(magic: &Magic, file: &[u8]) -> Result<T, FileError> {
    let (found, rest) = file.split_first_chunk::<8>().ok_or(FileError::Truncated)?;
    if found[..KIND_BYTES] != magic[..KIND_BYTES] {
        return Err(FileError::WrongKind);
    }
    if found != magic {
        return Err(FileError::UnknownFormat(found[KIND_BYTES]));
    }
    let (length, rest) = rest.split_first_chunk::<4>().ok_or(FileError::Truncated)?;
    let (digest, body) = rest.split_first_chunk::<32>().ok_or(FileError::Truncated)?;
    let length = u32::from_be_bytes(*length) as usize;
    if body.len() < length {
        return Err(FileError::Truncated);
    }
    if body.len() > length || Digest::of(body).0 != *digest {
        return Err(FileError::Checksum);
    }
    decode_exact(body).ok_or(FileError::Undecodable)
}

/// Decodes a value; `None` unless it takes up all bytes.
pub(crate) fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(value, _)| value)
}
