//! Installs a version of the configuration at a gateway: stages it beside the file, has the event loop apply it, and
//! then replaces the file. Transient errors of the disk are retried.

use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use dunemount_rollout::follower::ApplyError;
use dunemount_rollout::version::{Document, Version};
use slog::{info, warn, Logger};

use crate::fleet::durable_file::{self, StagedFile};
use crate::fleet::rollout::version_channel::{ApplyResult, VersionSender};
use crate::shortage::is_transient_file_error;

/// Time between two attempts to store a version.
pub(super) const STORE_INTERVAL: Duration = Duration::from_millis(250);

/// Why a version could not be installed, with a message for the operator.
#[derive(Debug, thiserror::Error)]
pub(super) enum InstallError {
    /// It could not be stored, and is not applied.
    #[error("cannot be stored: {0}")]
    Store(#[source] io::Error),
    /// It is applied, but could not replace the file.
    #[error("in force until the next start, cannot be stored: {0}")]
    Commit(#[source] io::Error),
    /// The event loop could not apply it.
    #[error(transparent)]
    Apply(#[from] ApplyError),
}

impl From<InstallError> for ApplyError {
    fn from(error: InstallError) -> ApplyError {
        ApplyError(error.to_string())
    }
}

/// The result of installing a version.
pub(super) struct Installed {
    pub(super) version: Version,
    pub(super) result: Result<(), InstallError>,
}

/// The next step for the version that is being installed. Times count from [`Installer::started_at`].
enum Stage {
    /// It is to be staged, at this time.
    Store(Document, Duration),
    /// It is staged, and the event loop is to apply it.
    Apply(Document, StagedFile),
    /// The event loop has applied it, and it is to replace the file, at this time.
    Commit(Document, Duration),
}

/// Installs one version at a time.
pub(super) struct Installer {
    file: PathBuf,
    versions: VersionSender,
    started_at: Instant,
    stage: Option<Stage>,
    /// Why the version could not be stored at the last attempt.
    storage_error: Option<String>,
    log: Logger,
}

impl Installer {
    pub(super) fn new(file: PathBuf, versions: VersionSender, started_at: Instant, log: Logger) -> Installer {
        Installer { file, versions, started_at, stage: None, storage_error: None, log }
    }

    /// Why the version could not be stored at the last attempt.
    pub(super) fn storage_error(&self) -> Option<&str> {
        self.storage_error.as_deref()
    }

    /// Stages a version, and sends it to the event loop. Returns a result only if that has failed for good.
    pub(super) fn install(&mut self, document: Document) -> Option<Installed> {
        match durable_file::stage(&self.file, &document.to_file()) {
            Ok(staged) => {
                self.record_stored();
                self.versions.send(document.clone());
                self.stage = Some(Stage::Apply(document, staged));
                None
            }
            Err(error) if is_transient_file_error(&error) => {
                self.record_storage_error(&document, &error);
                self.stage = Some(Stage::Store(document, self.next_attempt()));
                None
            }
            Err(error) => {
                let result = Err(InstallError::Store(error));
                Some(Installed { version: document.version(), result })
            }
        }
    }

    /// Handles the event loop's result, if there is one.
    pub(super) fn poll_result(&mut self) -> Option<Installed> {
        let result = self.versions.try_result()?;
        match self.stage.take() {
            Some(Stage::Apply(document, staged)) => self.handle_result(document, staged, result),
            other => {
                self.stage = other;
                None
            }
        }
    }

    fn handle_result(
        &mut self,
        document: Document,
        staged: StagedFile,
        result: ApplyResult,
    ) -> Option<Installed> {
        match result {
            Ok(()) => {
                let committed = staged.commit();
                self.finish(document, committed)
            }
            Err(error) => {
                staged.discard();
                Some(Installed { version: document.version(), result: Err(error.into()) })
            }
        }
    }

    /// Ends the installation of a version that the event loop has applied; after a transient error the file is replaced
    /// later.
    fn finish(&mut self, document: Document, committed: io::Result<()>) -> Option<Installed> {
        match committed {
            Err(error) if is_transient_file_error(&error) => {
                self.record_storage_error(&document, &error);
                self.stage = Some(Stage::Commit(document, self.next_attempt()));
                None
            }
            committed => {
                self.record_stored();
                let result = committed.map_err(InstallError::Commit);
                Some(Installed { version: document.version(), result })
            }
        }
    }

    /// Retries a step that has failed with a transient error, if it is due.
    pub(super) fn retry(&mut self, now: Duration) -> Option<Installed> {
        match self.stage.take() {
            Some(Stage::Store(document, at)) if now >= at => self.install(document),
            Some(Stage::Commit(document, at)) if now >= at => {
                let committed = durable_file::replace(&self.file, &document.to_file());
                self.finish(document, committed)
            }
            other => {
                self.stage = other;
                None
            }
        }
    }

    fn next_attempt(&self) -> Duration {
        self.started_at.elapsed() + STORE_INTERVAL
    }

    fn record_storage_error(&mut self, document: &Document, error: &io::Error) {
        if self.storage_error.replace(error.to_string()).is_none() {
            warn!(self.log, "config: a version cannot be stored; retrying"; "error" => %error,
                "version" => document.version().number);
        }
    }

    fn record_stored(&mut self) {
        if self.storage_error.take().is_some() {
            info!(self.log, "config: versions can be stored again");
        }
    }
}
