//! The envelope of the package's files: magic bytes with the format's version, the length of the body, its SHA-256 digest,
//! and the body.

use serde::{de::DeserializeOwned, Serialize};

use crate::version::Digest;

/// Bytes at the start of a file: seven that name its kind, and the version of its format.
pub(crate) type Magic = [u8; 8];
/// Bytes of [`Magic`] that name the kind of file.
const KIND_BYTES: usize = 7;

/// Why bytes are not the file that was expected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileError {
    /// The file ends too early.
    #[error("cut off")]
    Truncated,
    /// The first bytes name another kind of file, or none.
    #[error("not a file of this kind")]
    WrongKind,
    /// The format is of a version that this program cannot read.
    #[error("of form {0}, which this program does not know")]
    UnknownFormat(u8),
    /// The body is not what was written.
    #[error("the checksum does not fit")]
    Checksum,
    /// The body cannot be decoded.
    #[error("what is inside cannot be read")]
    Undecodable,
    /// A document does not have the digest that its version gives.
    #[error("the document does not fit its version")]
    DigestMismatch,
}

/// The bytes of a file.
pub(crate) fn encode(magic: &Magic, body: &impl Serialize) -> Vec<u8> {
    // Writing into a vector cannot fail.
    let body = postcard::to_stdvec(body).unwrap_or_default();
    let mut file = magic.to_vec();
    file.extend_from_slice(&(body.len() as u32).to_be_bytes());
    file.extend_from_slice(&Digest::of(&body).0);
    file.extend_from_slice(&body);
    file
}

/// Reads what [`encode`] has written. A file that is truncated or damaged yields an error.
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

/// Decodes a value that takes all the bytes.
pub(crate) fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(value, _)| value)
}
