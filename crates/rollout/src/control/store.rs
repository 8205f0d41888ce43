//! The stored state of a control server: the newest versions with their documents, and documents that may get a version
//! number.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::settings::{MAX_BACKOFF, MAX_PENDING_DOCUMENTS, MAX_STORED_VERSIONS};
use super::ControlServer;
use crate::file_format::{self, FileError, Magic};
use crate::version::{Digest, Document, Version, MAX_DOCUMENT_BYTES};

/// First bytes of the file of a [`PersistentState`].
const STATE_MAGIC: &Magic = b"DMKEEP\x00\x01";

/// Validates documents and stores them.
pub trait DocumentStore {
    /// Validates a document completely, as `dunemount check` does, and against the version before it.
    ///
    /// # Errors
    /// The first fault, with its location in the document.
    fn validate(&mut self, document: &[u8], previous: Option<&Document>) -> Result<(), InvalidDocument>;

    /// Durably replaces the stored state; false if it may not have been stored.
    fn store(&mut self, state: &PersistentState) -> bool;
}

/// Why a document is invalid. The text is for the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidDocument(pub String);

/// Why the file of a control server cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateFileError {
    /// The file is truncated, damaged, or of another kind or format.
    #[error(transparent)]
    File(#[from] FileError),
    /// A document does not have the digest of its version, or exceeds its limits.
    #[error("a document does not match its version")]
    DigestMismatch,
    /// The file contains more or longer documents than are ever stored, or versions out of order.
    #[error("too many or too long documents, or versions out of order")]
    OutOfBounds,
}

/// The state that a control server stores.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The newest version and the one before it, newest last.
    pub versions: Vec<Document>,
    /// Documents that may get a version number, oldest first; at most [`MAX_PENDING_DOCUMENTS`].
    pub pending: Vec<(Digest, Arc<[u8]>)>,
}

/// The body of the file of a [`PersistentState`], which is encoded by the order of the fields.
#[derive(Serialize, Deserialize)]
struct StoredState {
    versions: Vec<StoredVersion>,
    pending: Vec<Arc<[u8]>>,
}

/// A version in a [`StoredState`], which is encoded by the order of the fields.
#[derive(Serialize, Deserialize)]
struct StoredVersion {
    version: Version,
    document: Arc<[u8]>,
}

impl From<&PersistentState> for StoredState {
    fn from(state: &PersistentState) -> StoredState {
        let stored = |document: &Document| StoredVersion {
            version: document.version(),
            document: document.bytes().clone(),
        };
        StoredState {
            versions: state.versions.iter().map(stored).collect(),
            pending: state.pending.iter().map(|(_, bytes)| bytes.clone()).collect(),
        }
    }
}

impl TryFrom<StoredState> for PersistentState {
    type Error = StateFileError;

    fn try_from(stored: StoredState) -> Result<PersistentState, StateFileError> {
        let verify = |stored: StoredVersion| Document::verify(stored.version, stored.document);
        let versions: Option<Vec<Document>> = stored.versions.into_iter().map(verify).collect();
        let versions = versions.ok_or(StateFileError::DigestMismatch)?;
        let is_rising = versions.windows(2).all(|pair| pair[0].version().number < pair[1].version().number);
        let is_too_long = stored.pending.iter().any(|bytes| bytes.len() > MAX_DOCUMENT_BYTES);
        let is_too_many =
            versions.len() > MAX_STORED_VERSIONS || stored.pending.len() > MAX_PENDING_DOCUMENTS;
        if !is_rising || is_too_long || is_too_many {
            return Err(StateFileError::OutOfBounds);
        }
        let pending = stored.pending.into_iter().map(|bytes| (Digest::of(&bytes), bytes)).collect();
        Ok(PersistentState { versions, pending })
    }
}

impl PersistentState {
    /// Encodes the file in which the state is stored.
    pub fn to_file(&self) -> Vec<u8> {
        file_format::encode(STATE_MAGIC, &StoredState::from(self))
    }

    /// Decodes a file written by [`PersistentState::to_file`].
    ///
    /// # Errors
    /// The file is truncated, damaged, of another kind or format, or exceeds the limits of the state.
    pub fn from_file(file: &[u8]) -> Result<PersistentState, StateFileError> {
        file_format::decode::<StoredState>(STATE_MAGIC, file)?.try_into()
    }

    /// The newest version that is stored.
    pub(super) fn newest(&self) -> Option<&Document> {
        self.versions.last()
    }

    /// The stored version with this number.
    pub(super) fn version(&self, number: u64) -> Option<&Document> {
        self.versions.iter().find(|document| document.version().number == number)
    }

    /// The stored document with this digest, with or without a version number.
    pub(super) fn find(&self, digest: Digest) -> Option<&Arc<[u8]>> {
        let versions = self.versions.iter().map(|document| (document.version().digest, document.bytes()));
        let pending = self.pending.iter().map(|(digest, bytes)| (*digest, bytes));
        versions.chain(pending).find(|(known, _)| *known == digest).map(|(_, bytes)| bytes)
    }

    /// The state with one more document that may get a version number. If there are too many, the oldest whose digest
    /// is in `numbered_digests` is dropped, or else the oldest.
    fn with_pending(
        &self,
        digest: Digest,
        bytes: Arc<[u8]>,
        numbered_digests: &VecDeque<Digest>,
    ) -> PersistentState {
        let mut state = self.clone();
        state.pending.retain(|(known, _)| *known != digest);
        while state.pending.len() >= MAX_PENDING_DOCUMENTS {
            let has_number = state.pending.iter().position(|(known, _)| numbered_digests.contains(known));
            state.pending.remove(has_number.unwrap_or_default());
        }
        state.pending.push((digest, bytes));
        state
    }

    /// The state with a new newest version, whose document is no longer pending.
    fn with_version(&self, document: Document) -> PersistentState {
        let mut state = self.clone();
        state.pending.retain(|(known, _)| *known != document.version().digest);
        state.versions.push(document);
        let dropped = state.versions.len().saturating_sub(MAX_STORED_VERSIONS);
        state.versions.drain(..dropped);
        state
    }
}

impl ControlServer {
    /// Stores a document that may get a version number; false if it may not have been stored.
    pub(super) fn store_pending(
        &mut self,
        now: Duration,
        digest: Digest,
        bytes: Arc<[u8]>,
        store: &mut impl DocumentStore,
    ) -> bool {
        let state = self.stored.with_pending(digest, bytes, &self.versions.numbered_digests);
        self.store(now, state, store)
    }

    /// Stores the newest version's document. A failed store is retried later.
    pub(super) fn store_version(
        &mut self,
        now: Duration,
        document: Document,
        store: &mut impl DocumentStore,
    ) {
        let state = self.stored.with_version(document);
        self.store(now, state, store);
    }

    fn store(&mut self, now: Duration, state: PersistentState, store: &mut impl DocumentStore) -> bool {
        let is_stored = store.store(&state);
        if is_stored {
            self.stored = state;
            self.gateways.schedule_offers();
        } else {
            self.store_retry_at = now + MAX_BACKOFF;
            self.log("config: what is to be kept could not be stored".to_string());
        }
        is_stored
    }

    /// Stores the newest version with its document if that was stored without a version number before.
    pub(super) fn store_newest(&mut self, now: Duration, store: &mut impl DocumentStore) {
        let Some(newest) = self.newest_version() else { return };
        if self.newest_document().is_some() || now < self.store_retry_at {
            return;
        }
        let bytes = self.stored.find(newest.digest).cloned();
        if let Some(document) = bytes.and_then(|bytes| Document::verify(newest, bytes)) {
            self.store_version(now, document, store);
        }
    }
}
