//! Proposals: a document that an operator wants as the next version is checked, stored on the disks of two control servers,
//! and given a version number by a change of the register.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

use super::error::{ProposalError, TimeoutCause};
use super::settings::{FIRST_BACKOFF, MAX_BACKOFF, MAX_QUEUED_PROPOSALS};
use super::{ControlServer, DocumentStore};
use crate::backoff::backoff;
use crate::connection::ConnectionId;
use crate::history::VersionHistory;
use crate::version::{Digest, Version};
use crate::wire::{truncate, Message, MAX_ANSWER_BYTES};

/// Rounds of asking all peers for the newest version's document after which it counts as lost.
const FETCH_ROUNDS: usize = 2;

/// How far a proposal has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProposalStage {
    /// It is to be checked against the newest version, for `after_read` once the register has been read anew.
    Check { after_read: bool },
    /// Other control servers are asked to store it.
    Replicate,
    /// The register is to be changed.
    Commit,
}

/// A document that an operator proposes as the next version.
struct Proposal {
    connection: ConnectionId,
    document: Arc<[u8]>,
    digest: Digest,
    /// A random number by which it is found in a history.
    id: u64,
    received_at: Duration,
    stage: ProposalStage,
    /// The newest version when it was checked.
    checked_against: Option<Version>,
    /// It is on as many disks as it has to be.
    is_replicated: bool,
    /// The version number after which it was first proposed; it may have become a version since.
    proposed_after: Option<u64>,
    /// When the register's change is tried again.
    retry_at: Duration,
    /// Changes of the register that failed.
    failures: u32,
}

/// What to do with a proposal once a majority has promised to take a value.
enum CommitDecision {
    Propose(VersionHistory),
    /// Another version has come between, and the document has to be checked against it.
    CheckAgain,
    /// It was proposed before, and may have become a version that the history no longer names.
    OutcomeUnknown,
}

fn number(version: Option<Version>) -> u64 {
    version.map_or(0, |version| version.number)
}

impl Proposal {
    fn new(connection: ConnectionId, document: Arc<[u8]>, id: u64, now: Duration) -> Proposal {
        Proposal {
            connection,
            digest: Digest::of(&document),
            document,
            id,
            received_at: now,
            stage: ProposalStage::Check { after_read: false },
            checked_against: None,
            is_replicated: false,
            proposed_after: None,
            retry_at: now,
            failures: 0,
        }
    }

    /// Its version in a history.
    fn version_in(&self, history: &VersionHistory) -> Option<Version> {
        let own = history.version_of(self.id).filter(|version| version.digest == self.digest);
        own.or(history.newest().filter(|newest| newest.digest == self.digest))
    }

    fn decide(&mut self, history: &VersionHistory) -> CommitDecision {
        // A promised value need not be chosen: it is proposed as it is, and relied on only then.
        if self.version_in(history).is_some() {
            return CommitDecision::Propose(history.clone());
        }
        let oldest_number = number(history.versions().next());
        if self.proposed_after.is_some_and(|after| oldest_number > after + 1) {
            return CommitDecision::OutcomeUnknown;
        }
        if history.newest() != self.checked_against || !self.is_replicated {
            return CommitDecision::CheckAgain;
        }
        self.proposed_after = self.proposed_after.or(Some(number(history.newest())));
        CommitDecision::Propose(history.with_next(self.digest, self.id))
    }
}

/// The proposal under way, and those that wait for it.
#[derive(Default)]
pub(super) struct ProposalQueue {
    current: Option<Proposal>,
    waiting: VecDeque<Proposal>,
}

impl ProposalQueue {
    /// The document that other control servers are asked to store.
    pub(super) fn replicating(&self) -> Option<&Arc<[u8]>> {
        let current = self.current.as_ref().filter(|proposal| proposal.stage == ProposalStage::Replicate);
        current.map(|proposal| &proposal.document)
    }

    /// The register has been read: a proposal that waited for that can be checked.
    pub(super) fn handle_read(&mut self) {
        if let Some(proposal) = &mut self.current {
            if proposal.stage == (ProposalStage::Check { after_read: true }) {
                proposal.stage = ProposalStage::Check { after_read: false };
            }
        }
    }

    /// The change of the register has failed.
    pub(super) fn retry_later(&mut self, now: Duration, rng: &mut Pcg64Mcg) {
        if let Some(proposal) = &mut self.current {
            proposal.retry_at = now + backoff(rng, FIRST_BACKOFF, MAX_BACKOFF, proposal.failures);
            proposal.failures = proposal.failures.saturating_add(1);
        }
    }

    /// Whether the register is to be changed for the proposal under way.
    pub(super) fn is_committing(&self) -> bool {
        self.current.as_ref().is_some_and(|proposal| proposal.stage == ProposalStage::Commit)
    }

    /// Whether a change of the register is due.
    pub(super) fn is_ready(&self, now: Duration) -> bool {
        self.commit_at().is_some_and(|at| now >= at)
    }

    /// When a change of the register is due.
    pub(super) fn commit_at(&self) -> Option<Duration> {
        self.current.as_ref().filter(|_| self.is_committing()).map(|proposal| proposal.retry_at)
    }

    /// When the first of them was received.
    pub(super) fn oldest(&self) -> Option<Duration> {
        self.current.iter().chain(&self.waiting).map(|proposal| proposal.received_at).min()
    }

    /// Removes the first waiting proposal if its time is over: its connection.
    fn pop_expired(&mut self, now: Duration, limit: Duration) -> Option<ConnectionId> {
        let first = self.waiting.front().filter(|proposal| now >= proposal.received_at + limit)?;
        let id = first.connection;
        self.waiting.pop_front();
        Some(id)
    }

    /// Whether the proposal under way can be checked; takes the next one if there is none.
    fn take_next_to_check(&mut self) -> bool {
        if self.current.is_none() {
            self.current = self.waiting.pop_front();
        }
        let to_check = ProposalStage::Check { after_read: false };
        self.current.as_ref().is_some_and(|proposal| proposal.stage == to_check)
    }
}

impl ControlServer {
    /// An operator proposes a document as the next version.
    pub(super) fn handle_propose(&mut self, now: Duration, id: ConnectionId, document: Arc<[u8]>) {
        if self.proposals.waiting.len() >= MAX_QUEUED_PROPOSALS {
            return self.send_not_accepted(id, ProposalError::QueueFull, false);
        }
        let proposal = Proposal::new(id, document, self.rng.next_u64(), now);
        self.proposals.waiting.push_back(proposal);
    }

    /// Does all that can be done now.
    pub(super) fn make_progress(&mut self, now: Duration, store: &mut impl DocumentStore) {
        self.publish_newest(now, store);
        while self.proposals.take_next_to_check() && self.check_proposal(now, store) {}
        self.begin_change(now);
    }

    /// Checks the proposed document against the newest version and stores it; false if that has to wait.
    fn check_proposal(&mut self, now: Duration, store: &mut impl DocumentStore) -> bool {
        if let Some(fault) = &self.register.fault {
            let error = ProposalError::RegisterFault(fault.clone());
            self.reject_proposal(error);
            return true;
        }
        if !self.can_check() || !self.is_fresh(now) {
            return false;
        }
        match self.validate_and_store(now, store) {
            Ok(()) => self.replicate_proposal(),
            Err(error) => self.reject_proposal(error),
        }
        true
    }

    /// Whether the newest version's document is there, or will never be: if nobody has it, operators must be able to propose
    /// another.
    fn can_check(&self) -> bool {
        let max_attempts = (self.peers.count() * FETCH_ROUNDS).max(1);
        let is_lost = self.versions.fetch.as_ref().is_some_and(|fetch| fetch.attempts >= max_attempts);
        self.newest_version().is_none()
            || self.newest_document().is_some()
            || is_lost
            || self.peers.is_empty()
    }

    fn validate_and_store(
        &mut self,
        now: Duration,
        store: &mut impl DocumentStore,
    ) -> Result<(), ProposalError> {
        let Some(proposal) = &self.proposals.current else { return Ok(()) };
        let (digest, document) = (proposal.digest, proposal.document.clone());
        store.validate(&document, self.stored.newest())?;
        let is_stored = self.newest_document().is_some_and(|newest| newest.version().digest == digest);
        if is_stored || self.store_pending(now, digest, document, store) {
            Ok(())
        } else {
            Err(ProposalError::NotStored)
        }
    }

    /// Asks the other control servers to store the document, unless it is the newest version's already.
    fn replicate_proposal(&mut self) {
        let newest = self.versions.newest();
        let Some(proposal) = &mut self.proposals.current else { return };
        let is_newest = newest.is_some_and(|newest| newest.digest == proposal.digest);
        proposal.checked_against = newest;
        proposal.is_replicated |= self.peers.is_empty();
        if is_newest || proposal.is_replicated {
            proposal.stage = ProposalStage::Commit;
            return;
        }
        proposal.stage = ProposalStage::Replicate;
        let request = Message::StoreDocument(proposal.document.clone());
        self.send_to_peers(&request);
    }

    /// Another control server has stored a document: enough if it is of another zone, or if there is only one zone.
    pub(super) fn handle_document_stored(&mut self, digest: Digest, server: usize) {
        let servers = &self.settings.servers;
        let zone = |index: usize| servers.get(index).map(|server| &server.zone);
        let own_zone = self.own_index.and_then(zone);
        let has_one_zone = servers.iter().all(|server| Some(&server.zone) == own_zone);
        if !has_one_zone && zone(server) == own_zone {
            return;
        }
        let Some(proposal) = &mut self.proposals.current else { return };
        if proposal.digest == digest && proposal.stage == ProposalStage::Replicate {
            (proposal.is_replicated, proposal.stage) = (true, ProposalStage::Commit);
        }
    }

    /// The history to propose after a majority has promised; none to leave the register as it is.
    pub(super) fn choose_history(
        &mut self,
        now: Duration,
        history: &VersionHistory,
    ) -> Option<VersionHistory> {
        let proposal = self.proposals.current.as_mut()?;
        match proposal.decide(history) {
            CommitDecision::Propose(history) => return Some(history),
            CommitDecision::CheckAgain => {
                proposal.stage = ProposalStage::Check { after_read: true };
                self.register.schedule_read(now);
            }
            CommitDecision::OutcomeUnknown => self.reject_proposal(ProposalError::OutcomeUnknown),
        }
        None
    }

    /// The proposed value has been chosen: the operator and the other control servers are notified.
    pub(super) fn complete_proposal(&mut self, now: Duration, value: &[u8], store: &mut impl DocumentStore) {
        let Ok(history) = VersionHistory::decode(Some(value)) else { return };
        self.publish_newest(now, store);
        if let Some(newest) = history.newest() {
            self.send_to_peers(&Message::Chosen(newest));
        }
        let Some(proposal) = &self.proposals.current else { return };
        if let Some(version) = proposal.version_in(&history) {
            let id = proposal.connection;
            self.proposals.current = None;
            self.log(format!("config: version {version} is accepted"));
            self.send(id, &Message::Accepted(version));
        }
    }

    /// The proposal under way is not accepted.
    pub(super) fn reject_proposal(&mut self, error: ProposalError) {
        if let Some(proposal) = self.proposals.current.take() {
            self.send_not_accepted(proposal.connection, error, proposal.proposed_after.is_some());
        }
    }

    fn send_not_accepted(&mut self, id: ConnectionId, error: ProposalError, uncertain: bool) {
        let reason = truncate(error.to_string(), MAX_ANSWER_BYTES);
        self.send(id, &Message::NotAccepted { reason, uncertain });
    }

    /// Rejects the proposals whose time is over.
    pub(super) fn expire_proposals(&mut self, now: Duration) {
        let limit = self.settings.proposal_timeout;
        if let Some(cause) = self.timeout_cause(now) {
            self.reject_proposal(ProposalError::Timeout { limit, cause });
            // The proposals that wait behind it go on with the next event.
            self.register.schedule_read(now);
        }
        while let Some(id) = self.proposals.pop_expired(now, limit) {
            self.send_not_accepted(id, ProposalError::QueueTimeout, false);
        }
    }

    /// What the proposal under way was waiting for, if its time is over.
    fn timeout_cause(&self, now: Duration) -> Option<TimeoutCause> {
        let proposal = self.proposals.current.as_ref()?;
        if now < proposal.received_at + self.settings.proposal_timeout {
            return None;
        }
        Some(match proposal.stage {
            ProposalStage::Replicate => TimeoutCause::NotReplicated,
            ProposalStage::Check { .. } if self.is_fresh(now) => TimeoutCause::NewestDocumentMissing,
            ProposalStage::Check { .. } => TimeoutCause::NoMajority,
            ProposalStage::Commit if self.register.no_majority || proposal.failures == 0 => {
                TimeoutCause::NoMajority
            }
            ProposalStage::Commit => TimeoutCause::Contention,
        })
    }
}
