//! Proposals: a document that an operator proposes as the next version is validated, stored on the disks of two control
//! servers, and assigned a version number by a change of the register.

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

/// Number of rounds of requests to all peers after which the newest version's document counts as lost.
const FETCH_ROUNDS: usize = 2;

/// The next step of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProposalStage {
    /// Validate it against the newest version; if `after_read`, only after the next read of the register.
    Check { after_read: bool },
    /// Wait until another control server has stored it.
    Replicate,
    /// Change the register.
    Commit,
}

/// A document that an operator proposes as the next version.
struct Proposal {
    connection: ConnectionId,
    document: Arc<[u8]>,
    digest: Digest,
    /// A random number that identifies the proposal in a history.
    id: u64,
    received_at: Duration,
    stage: ProposalStage,
    /// The newest version when the document was validated.
    checked_against: Option<Version>,
    /// Whether enough control servers have stored it.
    is_replicated: bool,
    /// The newest version number when the document was first proposed to the register. Since then it may have become a
    /// version.
    proposed_after: Option<u64>,
    /// When a change of the register may be tried again.
    retry_at: Duration,
    /// Number of failed changes of the register.
    failures: u32,
}

/// How to continue a proposal after a majority of the voters has promised.
enum CommitDecision {
    /// Propose this history as the register's value.
    Propose(VersionHistory),
    /// Validate the document again, since the newest version is not the one that it was validated against, or too few
    /// control servers have stored it.
    CheckAgain,
    /// Reject the proposal with an unknown outcome: it was proposed to the register before, and may have become a
    /// version that is no longer in the history.
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

    /// The proposal's version in a history: the one with its id, or the newest version if that has the same document.
    fn version_in(&self, history: &VersionHistory) -> Option<Version> {
        let own = history.version_of(self.id).filter(|version| version.digest == self.digest);
        own.or(history.newest().filter(|newest| newest.digest == self.digest))
    }

    fn decide(&mut self, history: &VersionHistory) -> CommitDecision {
        // A promised value need not have been chosen: it is proposed unchanged, and relied on only after it is chosen.
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

/// The current proposal, and those that wait for it.
#[derive(Default)]
pub(super) struct ProposalQueue {
    current: Option<Proposal>,
    waiting: VecDeque<Proposal>,
}

impl ProposalQueue {
    /// The document that the current proposal asks other control servers to store.
    pub(super) fn replicating(&self) -> Option<&Arc<[u8]>> {
        let current = self.current.as_ref().filter(|proposal| proposal.stage == ProposalStage::Replicate);
        current.map(|proposal| &proposal.document)
    }

    /// Handles a read of the register: a proposal that waited for it can be validated.
    pub(super) fn handle_read(&mut self) {
        if let Some(proposal) = &mut self.current {
            if proposal.stage == (ProposalStage::Check { after_read: true }) {
                proposal.stage = ProposalStage::Check { after_read: false };
            }
        }
    }

    /// Schedules the next change of the register after a failed one.
    pub(super) fn retry_later(&mut self, now: Duration, rng: &mut Pcg64Mcg) {
        if let Some(proposal) = &mut self.current {
            proposal.retry_at = now + backoff(rng, FIRST_BACKOFF, MAX_BACKOFF, proposal.failures);
            proposal.failures = proposal.failures.saturating_add(1);
        }
    }

    /// Whether the current proposal waits for a change of the register.
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

    /// When the oldest proposal was received.
    pub(super) fn oldest(&self) -> Option<Duration> {
        self.current.iter().chain(&self.waiting).map(|proposal| proposal.received_at).min()
    }

    /// Removes the first waiting proposal if it has timed out, and returns its connection.
    fn pop_expired(&mut self, now: Duration, limit: Duration) -> Option<ConnectionId> {
        let first = self.waiting.front().filter(|proposal| now >= proposal.received_at + limit)?;
        let id = first.connection;
        self.waiting.pop_front();
        Some(id)
    }

    /// Whether the current proposal is ready to be validated. If there is none, the first that waits becomes the
    /// current one.
    fn take_next_to_check(&mut self) -> bool {
        if self.current.is_none() {
            self.current = self.waiting.pop_front();
        }
        let to_check = ProposalStage::Check { after_read: false };
        self.current.as_ref().is_some_and(|proposal| proposal.stage == to_check)
    }
}

impl ControlServer {
    /// Handles an operator's proposal of a document as the next version.
    pub(super) fn handle_propose(&mut self, now: Duration, id: ConnectionId, document: Arc<[u8]>) {
        if self.proposals.waiting.len() >= MAX_QUEUED_PROPOSALS {
            return self.send_not_accepted(id, ProposalError::QueueFull, false);
        }
        let proposal = Proposal::new(id, document, self.rng.next_u64(), now);
        self.proposals.waiting.push_back(proposal);
    }

    /// Stores and offers the newest version, and advances proposals as far as possible.
    pub(super) fn make_progress(&mut self, now: Duration, store: &mut impl DocumentStore) {
        self.publish_newest(now, store);
        while self.proposals.take_next_to_check() && self.check_proposal(now, store) {}
        self.begin_change(now);
    }

    /// Validates the proposed document against the newest version and stores it; false if that has to wait.
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

    /// Whether the newest version's document is stored, or counts as lost: if no control server has it, operators must
    /// still be able to propose another.
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

    /// Asks the other control servers to store the document, unless it is already that of the newest version.
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

    /// Handles a confirmation that another control server has stored a document. One is enough if that server is in
    /// another zone, or if there is only one zone.
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

    /// The history to propose after a majority has promised; `None` to abandon the change.
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

    /// Notifies the operator and the other control servers that the proposed value has been chosen.
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

    /// Rejects the current proposal.
    pub(super) fn reject_proposal(&mut self, error: ProposalError) {
        if let Some(proposal) = self.proposals.current.take() {
            self.send_not_accepted(proposal.connection, error, proposal.proposed_after.is_some());
        }
    }

    fn send_not_accepted(&mut self, id: ConnectionId, error: ProposalError, uncertain: bool) {
        let reason = truncate(error.to_string(), MAX_ANSWER_BYTES);
        self.send(id, &Message::NotAccepted { reason, uncertain });
    }

    /// Rejects the proposals that have timed out.
    pub(super) fn expire_proposals(&mut self, now: Duration) {
        let limit = self.settings.proposal_timeout;
        if let Some(cause) = self.timeout_cause(now) {
            self.reject_proposal(ProposalError::Timeout { limit, cause });
            // The next waiting proposal is handled on the next event: the read makes sure that one follows soon.
            self.register.schedule_read(now);
        }
        while let Some(id) = self.proposals.pop_expired(now, limit) {
            self.send_not_accepted(id, ProposalError::QueueTimeout, false);
        }
    }

    /// What the current proposal was waiting for, if it has timed out.
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
