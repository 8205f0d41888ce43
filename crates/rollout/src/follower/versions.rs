//! Which versions a gateway applies: only ever a newer one, one at a time, and never two digests of one number.

use std::sync::Arc;

use super::ApplyError;
use crate::version::{Document, Version};
use crate::wire::{truncate, Rejection, MAX_REJECTION_BYTES};

/// What came of a version that a control server offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OfferOutcome {
    /// It is applied next, is known already, or is older than what is known.
    Handled,
    /// Its number is known with another digest; `is_new` if that was not known yet.
    Conflict { is_new: bool },
    /// Its bytes do not have its digest.
    DigestMismatch,
}

/// The versions that a gateway knows of.
#[derive(Default)]
pub(super) struct VersionTracker {
    pub(super) in_force: Option<Version>,
    /// The newest version that was rejected.
    pub(super) rejected: Option<Rejection>,
    /// The version that is being applied.
    applying: Option<Version>,
    /// The version that is applied next. Those between are skipped.
    next: Option<Document>,
    /// Offers that were older than what is known.
    pub(super) stale_offers: u64,
    /// Numbers that came with two digests.
    pub(super) conflicts: u64,
    /// The last conflict that was counted.
    last_conflict: Option<Version>,
}

impl VersionTracker {
    pub(super) fn new(in_force: Option<Version>) -> VersionTracker {
        VersionTracker { in_force, ..VersionTracker::default() }
    }

    /// A control server offers a version.
    pub(super) fn handle_offer(&mut self, version: Version, bytes: Arc<[u8]>) -> OfferOutcome {
        // A version that is older than one which was rejected is not gone back to either.
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

    /// Compares the newest version that a control server knows of with the one in force. Whether a new conflict was found.
    pub(super) fn check_newest(&mut self, newest: Option<Version>) -> bool {
        let (Some(newest), Some(in_force)) = (newest, self.in_force) else { return false };
        self.detect_conflict(in_force, newest) == Some(true)
    }

    /// Whether two versions have one number and two digests, and if so whether that is new. A new conflict is counted, and
    /// reported as a rejection.
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
            format!("number {} came with two digests: {} and {}", known.number, known.digest, other.digest);
        self.reject(other, reason);
        Some(true)
    }

    /// The version that is being applied is stored and in force, or could not be applied. False if it is another one.
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

    /// The next version to apply, once the one before is done.
    pub(super) fn next_to_apply(&mut self) -> Option<Document> {
        let document = self.next.take_if(|_| self.applying.is_none())?;
        self.applying = Some(document.version());
        Some(document)
    }

    /// Only the newest rejected version is reported, and it is not applied again.
    fn reject(&mut self, version: Version, reason: String) {
        if self.rejected.as_ref().is_none_or(|rejected| rejected.version.number <= version.number) {
            self.rejected = Some(Rejection { version, reason: truncate(reason, MAX_REJECTION_BYTES) });
        }
    }

    /// Has a version wait until it can be applied, unless it has been rejected or is not newer than the one in force.
    fn enqueue(&mut self, document: Document) {
        let version = document.version();
        let is_rejected = self.rejected.as_ref().is_some_and(|rejected| rejected.version == version);
        let is_newer = self.in_force.is_none_or(|in_force| in_force.number < version.number);
        if is_newer && !is_rejected {
            self.next = Some(document);
        }
    }
}
