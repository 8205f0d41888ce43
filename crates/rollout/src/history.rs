//! The version history, which is the value of the replicated register: the newest versions, each with the id of its
//! proposal.

use serde::{Deserialize, Serialize};

use crate::file_format::decode_exact;
use crate::version::{Digest, Version};

/// Most versions in a history. A proposer whose outcome is unknown finds its version there until this many newer
/// versions have been chosen.
pub const MAX_HISTORY_VERSIONS: usize = 8;

/// Version of the format, the first byte of the register's value.
const FORMAT: u8 = 1;

/// The register holds a value that this program cannot read, perhaps of a later format. It must not be overwritten.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the register holds a value that this program cannot read, perhaps of a later format")]
pub struct UnreadableHistory;

/// A version and the id of its proposal. The order of the fields is part of the format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    version: Version,
    /// A random number that the proposer has assigned to the proposal.
    proposal_id: u64,
}

/// The newest versions, each with the id of its proposal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionHistory {
    /// Oldest first, at most [`MAX_HISTORY_VERSIONS`].
    entries: Vec<Entry>,
}

impl VersionHistory {
    /// Decodes the value of the register; a register without a value is an empty history.
    ///
    /// # Errors
    /// The value is not a history that this program can read.
    pub fn decode(value: Option<&[u8]>) -> Result<VersionHistory, UnreadableHistory> {
        let Some(value) = value else { return Ok(VersionHistory::default()) };
        let (format, body) = value.split_first().ok_or(UnreadableHistory)?;
        if *format != FORMAT {
            return Err(UnreadableHistory);
        }
        let history: VersionHistory = decode_exact(body).ok_or(UnreadableHistory)?;
        if history.is_valid() {
            Ok(history)
        } else {
            Err(UnreadableHistory)
        }
    }

    fn is_valid(&self) -> bool {
        let number = |entry: &Entry| entry.version.number;
        let is_rising = self.entries.windows(2).all(|pair| number(&pair[0]) < number(&pair[1]));
        let starts_above_zero = self.entries.first().is_none_or(|entry| number(entry) > 0);
        // The number of the next version must not overflow.
        let has_next_number = self.entries.last().is_none_or(|entry| number(entry) < u64::MAX);
        is_rising && starts_above_zero && has_next_number && self.entries.len() <= MAX_HISTORY_VERSIONS
    }

    /// Encodes the value of the register: at most 418 bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut value = vec![FORMAT];
        // Encoding into a vector cannot fail.
        value.extend(postcard::to_stdvec(self).unwrap_or_default());
        value
    }

    /// The newest version.
    pub fn newest(&self) -> Option<Version> {
        self.entries.last().map(|entry| entry.version)
    }

    /// The versions in the history, oldest first.
    pub fn versions(&self) -> impl Iterator<Item = Version> + '_ {
        self.entries.iter().map(|entry| entry.version)
    }

    /// The version of a proposal, if it is still in the history.
    pub fn version_of(&self, proposal_id: u64) -> Option<Version> {
        self.entries.iter().find(|entry| entry.proposal_id == proposal_id).map(|entry| entry.version)
    }

    /// The history with one more version, whose number follows the newest. This is the only place that assigns numbers.
    #[must_use]
    pub fn with_next(&self, digest: Digest, proposal_id: u64) -> VersionHistory {
        let number = self.newest().map_or(0, |version| version.number).saturating_add(1);
        let dropped = self.entries.len().saturating_sub(MAX_HISTORY_VERSIONS - 1);
        let mut entries = self.entries[dropped..].to_vec();
        entries.push(Entry { version: Version { number, digest }, proposal_id });
        VersionHistory { entries }
    }
}
