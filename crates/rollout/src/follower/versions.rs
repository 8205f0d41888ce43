//! The versions that a gateway applies: only newer ones, one at a time, and never two digests of one number.

use std::sync::Arc;

use super::ApplyError;
use crate::version::{Document, Version};
use crate::wire::{truncate, Rejection, MAX_REJECTION_BYTES};

/// The outcome of a version that a control server has offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OfferOutcome {
    /// It is queued to be applied, already known, or older than a known version.
    Handled,
    /// Its number is known with another digest; `is_new` if this conflict was not known yet.
    Conflict { is_new: bool },
    /// Its bytes do not have its digest, or exceed their limits.
    DigestMismatch,
}

/// The versions that a gateway knows.
#[derive(Default)]
pub(super) struct VersionTracker {
    pub(super) in_force: Option<Version>,
    /// The newest version that was rejected.
    pub(super) rejected: Option<Rejection>,
    /// The version that is being applied.
    applying: Option<Version>,
    /// The version to apply next. A newer offer replaces it, so that versions in between are skipped.
    next: Option<Document>,
    /// Number of offers that were older than a known version.
    pub(super) stale_offers: u64,
    /// Number of conflicts, which are versions received with the number but not the digest of a known one.
    pub(super) conflicts: u64,
    /// The last conflict that was counted.
    last_conflict: Option<Version>,
}

impl VersionTracker {
    pub(super) fn new(in_force: Option<Version>) -> VersionTracker {
        VersionTracker { in_force, ..VersionTracker::default() }
    }

    /// Handles a version that a control server offers.
    pub(super) fn handle_offer(&mut self, version: Version, bytes: Arc<[u8]>) -> OfferOutcome {
        // A rejected version counts as known, so that no version older than it is applied afterwards.
        let rejected = self.rejected.as_ref().map(|rejected| rejected.version);
        let next = self.next.as_ref().map(Document::version);
        for known in [self.in_force, self.applying, next, rejected].into_iter().flatten() {
            if known == version {
                return OfferOutcome::Handled;
            }
            if let Some(is_new) = self.detect_conflict(known, version) {
                return OfferOutcome::Conflict { is_new };
            }
            if version.number < known.number {
                self.stale_offers += 1;
                return OfferOutcome::Handled;
            }
        }
        match Document::verify(version, bytes) {
            Some(document) => {
                self.enqueue(document);
                OfferOutcome::Handled
            }
            None => OfferOutcome::DigestMismatch,
        }
    }

    /// Compares the newest version that a control server knows with the one in force. Returns whether a new conflict
    /// was found.
    pub(super) fn check_newest(&mut self, newest: Option<Version>) -> bool {
        let (Some(newest), Some(in_force)) = (newest, self.in_force) else { return false };
        self.detect_conflict(in_force, newest) == Some(true)
    }

    /// Detects whether two versions have the same number but different digests. Returns `Some` if they do, with whether
    /// this conflict is new. A new conflict is counted, and recorded as a rejection.
    fn detect_conflict(&mut self, known: Version, other: Version) -> Option<bool> {
        if known.number != other.number || known.digest == other.digest {
            return None;
        }
        if self.last_conflict == Some(other) {
            return Some(false);
        }
        self.last_conflict = Some(other);
        self.conflicts += 1;
        let reason =
            format!("version number {} has two digests: {} and {}", known.number, known.digest, other.digest);
        self.reject(other, reason);
        Some(true)
    }

    /// Handles the result of applying a version. Returns false if that version was not being applied.
    pub(super) fn handle_applied(&mut self, version: Version, result: Result<(), ApplyError>) -> bool {
        if self.applying != Some(version) {
            return false;
        }
        self.applying = None;
        match result {
            Ok(()) => {
                self.in_force = Some(version);
                self.rejected.take_if(|rejected| rejected.version.number <= version.number);
            }
            Err(ApplyError(reason)) => self.reject(version, reason),
        }
        if let Some(next) = self.next.take() {
            self.enqueue(next);
        }
        true
    }

    /// The next version to apply, unless one is still being applied.
    pub(super) fn next_to_apply(&mut self) -> Option<Document> {
        let document = self.next.take_if(|_| self.applying.is_none())?;
        self.applying = Some(document.version());
        Some(document)
    }

    /// Records a rejected version. Only the newest one is kept: it is reported, and not applied again.
    fn reject(&mut self, version: Version, reason: String) {
        if self.rejected.as_ref().is_none_or(|rejected| rejected.version.number <= version.number) {
            self.rejected = Some(Rejection { version, reason: truncate(reason, MAX_REJECTION_BYTES) });
        }
    }

    /// Queues a version to be applied, unless it was rejected or is not newer than the one in force.
    fn enqueue(&mut self, document: Document) {
        let version = document.version();
        let is_rejected = self.rejected.as_ref().is_some_and(|rejected| rejected.version == version);
        let is_newer = self.in_force.is_none_or(|in_force| in_force.number < version.number);
        if is_newer && !is_rejected {
            self.next = Some(document);
        }
    }
}
