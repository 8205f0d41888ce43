//! A document with its number and digest, and the ledger that a register holds of them.

use std::fmt;
use std::sync::Arc;

use serde::{de::DeserializeOwned, Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Longest document, in bytes.
pub const LONGEST_DOCUMENT: usize = 256 * 1024;
/// Versions that a ledger names: whoever proposed one finds it there as long as fewer others came after it.
pub const NAMED: usize = 8;

/// First bytes of a document's file: what it is, and the version of its form.
const MAGIC: &[u8; 8] = b"DMCONF\x00\x01";
/// Form of a ledger, its first byte.
const LEDGER: u8 = 1;

/// SHA-256 of a document (FIPS 180-4).
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// A document's digest.
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

/// A version: a number has one digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Only rises; the first one is 1.
    pub number: u64,
    /// Of the document.
    pub digest: Digest,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.number, self.digest)
    }
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
        let fits = version.number > 0 && bytes.len() <= LONGEST_DOCUMENT;
        (fits && Digest::of(&bytes) == version.digest).then_some(Document { version, bytes })
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
        seal(MAGIC, &(self.version, &self.bytes))
    }

    /// Reads [`Document::file`].
    ///
    /// # Errors
    /// Why the bytes are no such file, in words for the operator.
    pub fn read(file: &[u8]) -> Result<Document, String> {
        let (version, bytes) = unseal(MAGIC, file)?;
        Document::of(version, bytes).ok_or_else(|| "the document does not fit its version".to_string())
    }
}

/// A file's bytes: what it is and its form, the length of what is inside, its SHA-256, and what is inside.
pub(crate) fn seal(magic: &[u8; 8], inside: &impl Serialize) -> Vec<u8> {
    // Writing into a vector cannot fail.
    let body = postcard::to_stdvec(inside).unwrap_or_default();
    let mut file = magic.to_vec();
    file.extend_from_slice(&(body.len() as u32).to_be_bytes());
    file.extend_from_slice(&Digest::of(&body).0);
    file.extend_from_slice(&body);
    file
}

/// Reads what [`seal`] has made, whole: a file that is cut off or spoilt is no file.
pub(crate) fn unseal<T: DeserializeOwned>(magic: &[u8; 8], file: &[u8]) -> Result<T, String> {
    let (found, rest) = file.split_first_chunk::<8>().ok_or("cut off")?;
    if found[..7] != magic[..7] {
        return Err("not a file of this kind".to_string());
    }
    if found != magic {
        return Err(format!("of form {}, which this program does not know", found[7]));
    }
    let (length, rest) = rest.split_first_chunk::<4>().ok_or("cut off")?;
    let (digest, body) = rest.split_first_chunk::<32>().ok_or("cut off")?;
    let length = u32::from_be_bytes(*length) as usize;
    if body.len() < length {
        return Err("cut off".to_string());
    }
    if body.len() > length || Digest::of(body).0 != *digest {
        return Err("the checksum does not fit".to_string());
    }
    whole(body).ok_or_else(|| "what is inside cannot be read".to_string())
}

/// Reads a value that takes all the bytes.
pub(crate) fn whole<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(value, _)| value)
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
        let Some(value) = value else { return Some(Ledger::default()) };
        let (form, rest) = value.split_first()?;
        let ledger: Ledger = (*form == LEDGER).then(|| whole(rest))??;
        let rises = ledger.entries.windows(2).all(|pair| pair[0].0.number < pair[1].0.number);
        let first = ledger.entries.first().is_none_or(|(version, _)| version.number > 0);
        // Behind the last number there is none to give.
        let last = ledger.entries.last().is_none_or(|(version, _)| version.number < u64::MAX);
        (rises && first && last && ledger.entries.len() <= NAMED).then_some(ledger)
    }

    /// What the register is to hold: 418 bytes at most.
    pub fn write(&self) -> Vec<u8> {
        let mut value = vec![LEDGER];
        // Writing into a vector cannot fail.
        value.extend(postcard::to_stdvec(self).unwrap_or_default());
        value
    }

    /// The newest version.
    pub fn newest(&self) -> Option<Version> {
        self.entries.last().map(|(version, _)| *version)
    }

    /// The versions that it names, oldest first.
    pub fn versions(&self) -> impl Iterator<Item = Version> + '_ {
        self.entries.iter().map(|(version, _)| *version)
    }

    /// The version that came from a proposal, if it is still named.
    pub fn of(&self, proposal: u64) -> Option<Version> {
        self.entries.iter().find(|(_, by)| *by == proposal).map(|(version, _)| *version)
    }

    /// With one version more, numbered behind the newest. The one place where a number is given.
    #[must_use]
    pub fn with(&self, digest: Digest, proposal: u64) -> Ledger {
        let number = self.newest().map_or(0, |version| version.number).saturating_add(1);
        let old = self.entries.len().saturating_sub(NAMED - 1);
        let mut entries = self.entries[old..].to_vec();
        entries.push((Version { number, digest }, proposal));
        Ledger { entries }
    }
}
