//! The file in which a control server stores its state.

use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::Instant;

use dunemount_rollout::control::{DocumentStore, InvalidDocument, PersistentState};
use dunemount_rollout::version::Document;
use slog::{warn, Logger};

use super::StartError;
use crate::config::version;
use crate::fleet::durable_file;
use crate::shortage::{is_transient_file_error, retry, START_RETRY_TIMEOUT};

/// Validates documents, and stores the state in a file.
pub(super) struct FileStore {
    file: PathBuf,
    log: Logger,
}

impl FileStore {
    pub(super) fn new(file: PathBuf, log: Logger) -> FileStore {
        FileStore { file, log }
    }
}

impl DocumentStore for FileStore {
    fn validate(&mut self, document: &[u8], previous: Option<&Document>) -> Result<(), InvalidDocument> {
        let previous = previous.map(|previous| &previous.bytes()[..]);
        version::validate(document, previous).map_err(|error| InvalidDocument(error.error.to_string()))
    }

    fn store(&mut self, state: &PersistentState) -> bool {
        let stored = durable_file::replace(&self.file, &state.to_file());
        if let Err(e) = &stored {
            warn!(self.log, "config: versions cannot be stored"; "error" => %e, "file" => %self.file.display());
        }
        stored.is_ok()
    }
}

/// Reads the state that a control server has stored: empty if there is no file, or one that cannot be decoded.
///
/// # Errors
/// The file cannot be read, even after retries. It must not be overwritten then, since its content must not be lost.
pub(super) fn read_state(path: &Path, log: &Logger) -> Result<PersistentState, StartError> {
    match retry(Instant::now() + START_RETRY_TIMEOUT, is_transient_file_error, || fs::read(path)) {
        Ok(bytes) => Ok(PersistentState::from_file(&bytes).unwrap_or_else(|error| {
            warn!(log, "config: the stored versions cannot be used; fetching them from the other control machines";
                "why" => %error);
            PersistentState::default()
        })),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(PersistentState::default()),
        Err(source) => Err(StartError::ReadState { path: path.to_path_buf(), source }),
    }
}
