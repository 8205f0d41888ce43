//! The versions that a control server knows, and the fetch of the newest one's document.

use std::collections::VecDeque;
use std::time::Duration;

use super::error::RegisterFault;
use super::{ControlServer, DocumentStore};
use crate::history::MAX_HISTORY_VERSIONS;
use crate::version::{Digest, Document, Version};
use crate::wire::Message;

/// Most digests of numbered versions that are remembered.
const MAX_NUMBERED_DIGESTS: usize = MAX_HISTORY_VERSIONS * 2;

/// A fetch of the newest version's document, which is requested from the peers in turn.
pub(super) struct PendingFetch {
    version: Version,
    /// Position of the peer to which the next request is sent.
    next_peer: usize,
    /// Number of requests that were sent.
    pub(super) attempts: usize,
    /// When the next request is due.
    next_at: Duration,
}

/// The versions that a control server knows.
pub(super) struct KnownVersions {
    /// The newest version, and when it became known.
    newest: Option<(Version, Duration)>,
    /// The latest digests that were assigned a version number, oldest first.
    pub(super) numbered_digests: VecDeque<Digest>,
    pub(super) fetch: Option<PendingFetch>,
}

impl KnownVersions {
    pub(super) fn new(newest: Option<Version>, now: Duration) -> KnownVersions {
        KnownVersions {
            newest: newest.map(|version| (version, now)),
            numbered_digests: VecDeque::new(),
            fetch: None,
        }
    }

    pub(super) fn newest(&self) -> Option<Version> {
        self.newest.map(|(version, _)| version)
    }

    /// The newest version, if it was already known at this time.
    pub(super) fn newest_at(&self, time: Duration) -> Option<Version> {
        self.newest.filter(|(_, since)| time >= *since).map(|(version, _)| version)
    }

    /// Whether a version has the number of the newest one but another digest.
    pub(super) fn conflicts_with(&self, version: Version) -> bool {
        self.newest().is_some_and(|newest| newest.number == version.number && newest.digest != version.digest)
    }

    fn remember_numbered(&mut self, digest: Digest) {
        if !self.numbered_digests.contains(&digest) {
            self.numbered_digests.push_back(digest);
            let dropped = self.numbered_digests.len().saturating_sub(MAX_NUMBERED_DIGESTS);
            self.numbered_digests.drain(..dropped);
        }
    }

    /// When the next request for the newest version's document is due.
    pub(super) fn fetch_at(&self) -> Option<Duration> {
        self.fetch.as_ref().map(|fetch| fetch.next_at)
    }
}

impl ControlServer {
    /// The newest version that is known.
    pub(super) fn newest_version(&self) -> Option<Version> {
        self.versions.newest()
    }

    /// The newest version's document, once it is stored.
    pub(super) fn newest_document(&self) -> Option<&Document> {
        self.stored.newest().filter(|stored| Some(stored.version()) == self.newest_version())
    }

    /// Handles a version that has been chosen. `source` is the control server that reported it, by its index in the
    /// settings; `None` if it was read from the register.
    pub(super) fn learn_version(&mut self, now: Duration, version: Version, source: Option<usize>) {
        if self.versions.conflicts_with(version) {
            return self.report_fault(RegisterFault::TwoDigests(version.number));
        }
        self.versions.remember_numbered(version.digest);
        if self.newest_version().is_none_or(|newest| newest.number < version.number) {
            self.versions.newest = Some((version, now));
            let next_peer = source.and_then(|server| self.peers.position(server)).unwrap_or_default();
            self.versions.fetch = Some(PendingFetch { version, next_peer, attempts: 0, next_at: now });
        }
    }

    /// Requests the newest version's document from the next peer, if a request is due.
    pub(super) fn fetch_document(&mut self, now: Duration) {
        let Some(fetch) = self.versions.fetch.as_mut().filter(|fetch| now >= fetch.next_at) else { return };
        fetch.next_at = now + self.settings.timeouts.liveness;
        let Some((peer, id)) = self.peers.next_established(fetch.next_peer, &self.connections) else {
            return;
        };
        fetch.next_peer = (peer + 1) % self.peers.count().max(1);
        fetch.attempts += 1;
        let request = Message::FetchDocument(fetch.version);
        self.send(id, &request);
    }

    /// Handles the answer that a peer does not have the document: the next peer is asked without delay, except at the
    /// end of each round of all peers.
    pub(super) fn handle_document_not_found(&mut self, now: Duration) {
        let peers = self.peers.count().max(1);
        if let Some(fetch) = self.versions.fetch.as_mut().filter(|fetch| fetch.attempts % peers != 0) {
            fetch.next_at = now;
        }
    }

    /// Stores the newest version's document if its bytes are known, and offers it to the gateways that need it.
    pub(super) fn publish_newest(&mut self, now: Duration, store: &mut impl DocumentStore) {
        self.store_newest(now, store);
        if self.newest_document().is_some() {
            self.versions.fetch = None;
        }
        self.offer_newest_to_all(now);
    }
}
