//! Runs one proposer round at a time against one register: assigns ballots, resends requests, and backs off for a
//! random time after a failure. The owner, a lease ([`crate::lease`]) or a register client
//! ([`crate::register_client`]), gives each round a purpose `P`.

use std::time::Duration;

use rand_core::RngCore;

use crate::acceptor_knowledge::AcceptorKnowledge;
use crate::messages::{AcceptorReply, AcceptorRequest};
use crate::node_id::NodeId;
use crate::proposer::{ProposerRound, RoundEvent};
use crate::register::{AcceptorSlot, Ballot, Key, Value};

/// A round ends after this number of resend intervals.
const ROUND_RESEND_INTERVALS: u32 = 4;
/// Minimum backoff after a failure, as a fraction of the resend interval; a random time of up to one interval is added.
const MIN_BACKOFF_FRACTION: f64 = 0.25;

/// Requests to be sent, each with the slot of its acceptor.
pub(crate) type Outbox = Vec<(AcceptorSlot, AcceptorRequest)>;

#[derive(Clone, Debug)]
struct ActiveRound<P> {
    round: ProposerRound,
    purpose: P,
}

/// The rounds of one process at one register, one at a time.
#[derive(Clone, Debug)]
pub(crate) struct RoundDriver<P> {
    node: NodeId,
    key: Key,
    resend_interval: Duration,
    active: Option<ActiveRound<P>>,
    /// When the latest round started.
    started_at: Duration,
    resend_at: Duration,
    /// The highest ballot counter used or seen.
    highest_counter: u64,
}

impl<P: Copy> RoundDriver<P> {
    pub(crate) fn new(node: NodeId, key: Key, resend_interval: Duration) -> RoundDriver<P> {
        RoundDriver {
            node,
            key,
            resend_interval,
            active: None,
            started_at: Duration::ZERO,
            resend_at: Duration::ZERO,
            highest_counter: 0,
        }
    }

    /// The highest ballot counter used or seen.
    pub(crate) fn highest_counter(&self) -> u64 {
        self.highest_counter
    }

    /// Uses only ballot counters above `highest`.
    pub(crate) fn skip_counters(&mut self, highest: u64) {
        self.highest_counter = highest;
    }

    pub(crate) fn is_active(&self) -> bool {
        self.active.is_some()
    }

    /// The purpose of the active round.
    pub(crate) fn purpose(&self) -> Option<P> {
        self.active.as_ref().map(|active| active.purpose)
    }

    /// Whether a majority has promised the active round.
    pub(crate) fn is_prepared(&self) -> bool {
        self.active.as_ref().is_some_and(|active| active.round.is_prepared())
    }

    /// When the latest round started.
    pub(crate) fn started_at(&self) -> Duration {
        self.started_at
    }

    /// When the active round's requests have to be sent again.
    pub(crate) fn resend_at(&self) -> Duration {
        self.resend_at
    }

    /// When the active round has to be ended.
    pub(crate) fn deadline(&self) -> Duration {
        self.started_at + self.resend_interval * ROUND_RESEND_INTERVALS
    }

    /// Starts a read.
    pub(crate) fn start_read(
        &mut self,
        now: Duration,
        purpose: P,
        knowledge: &mut AcceptorKnowledge,
        out: &mut Outbox,
    ) {
        let nonce = knowledge.next_nonce();
        let round = ProposerRound::read(
            self.key.clone(),
            knowledge.acceptors.clone(),
            nonce,
            knowledge.acceptor_count,
            knowledge.store_counts.clone(),
        );
        self.start(now, ActiveRound { round, purpose }, out);
    }

    /// Starts a change, under a ballot above all known ones.
    pub(crate) fn start_change(
        &mut self,
        now: Duration,
        purpose: P,
        knowledge: &mut AcceptorKnowledge,
        rng: &mut impl RngCore,
        out: &mut Outbox,
    ) {
        let nonce = knowledge.next_nonce();
        self.highest_counter += 1 + u64::from(rng.next_u32() % 2);
        let ballot = Ballot { counter: self.highest_counter, proposer: self.node };
        let round = ProposerRound::change(
            self.key.clone(),
            ballot,
            knowledge.acceptors.clone(),
            nonce,
            knowledge.acceptor_count,
            knowledge.store_counts.clone(),
        );
        self.start(now, ActiveRound { round, purpose }, out);
    }

    fn start(&mut self, now: Duration, round: ActiveRound<P>, out: &mut Outbox) {
        self.started_at = now;
        self.active = Some(round);
        self.send(now, out);
    }

    /// Sends the requests of the active round that are not answered yet.
    pub(crate) fn send(&mut self, now: Duration, out: &mut Outbox) {
        self.resend_at = now + self.resend_interval;
        if let Some(active) = &self.active {
            out.extend(active.round.pending_requests());
        }
    }

    /// Proposes the register's next value in the active round.
    pub(crate) fn propose(&mut self, now: Duration, value: Value, out: &mut Outbox) {
        if let Some(active) = &mut self.active {
            active.round.propose(value);
        }
        self.send(now, out);
    }

    /// Drops the active round.
    pub(crate) fn abandon(&mut self) {
        self.active = None;
    }

    /// Drops the active round. Returns the end of the backoff, whose length is random so that two proposers do not
    /// preempt each other forever.
    pub(crate) fn back_off(&mut self, now: Duration, rng: &mut impl RngCore) -> Duration {
        self.abandon();
        let random_fraction = f64::from(rng.next_u32()) / f64::from(u32::MAX);
        now + self.resend_interval.mul_f64(MIN_BACKOFF_FRACTION + random_fraction)
    }

    /// Handles a reply. Returns the event with the round's purpose, `None` if the reply does not belong to the active
    /// round. Drops the round if the event ends it.
    pub(crate) fn handle_reply(
        &mut self,
        reply: &AcceptorReply,
        knowledge: &mut AcceptorKnowledge,
    ) -> Option<(RoundEvent, P)> {
        let active = self.active.as_mut().filter(|active| active.round.nonce() == reply.nonce)?;
        let (event, purpose) = (active.round.handle_reply(reply), active.purpose);
        knowledge.record_event(&event);
        knowledge.store_counts.record(&knowledge.acceptors, reply);
        if let RoundEvent::Read { ballot, .. } | RoundEvent::Preempted(ballot) = &event {
            self.highest_counter = self.highest_counter.max(ballot.counter);
        }
        let is_over = matches!(
            event,
            RoundEvent::Read { .. }
                | RoundEvent::Chosen(_)
                | RoundEvent::Preempted(_)
                | RoundEvent::NewerAcceptorSet(_)
        );
        if is_over {
            self.abandon();
        }
        Some((event, purpose))
    }
}
