//! Leases on the roles of a fleet (Gray and Cheriton, "Leases"): at most one process holds a role at a time, under an
//! epoch that only rises.
//!
//! The register of a role holds a [`LeaseRecord`]. It contains no time: a contender waits until it has seen the record
//! unchanged for a lease's duration by its own monotonic clock, and the holder counts its lease from the moment before
//! it sent the renewal, less the bound on clock drift. So time decides only when a contender may *try* to acquire the
//! lease. The orders of a former holder that resumes late are rejected by their epoch, a fencing token
//! ([`crate::fencing`]).
//!
//! Unlike the lease of a lock service, this one moves to the best candidate: a candidate that has been first in the
//! ranking for several lease durations asks the holder to hand over.

use std::time::Duration;

use rand_core::RngCore;

use crate::acceptor_knowledge::AcceptorKnowledge;
use crate::messages::{AcceptorReply, AcceptorRequest};
use crate::node_id::NodeId;
use crate::proposer::RoundEvent;
use crate::register::{AcceptorSlot, Key, Value};
use crate::round_driver::RoundDriver;

mod record;

pub use record::{next_record, LeaseChange, LeaseRecord};

/// Number of lease durations for which a process has to be the first candidate before it asks the holder to hand over.
const LEASES_BEFORE_HANDOVER_REQUEST: u32 = 4;
/// A holder renews its lease this many times in a lease's duration.
const RENEWALS_PER_LEASE: u32 = 3;
/// A contender reads the record this many times in a lease's duration.
const READS_PER_LEASE: u32 = 6;
/// Additional wait of a candidate for each candidate that is ranked before it, as a fraction of the lease's duration.
const RANK_DELAY_FRACTION: f64 = 0.1;
/// The wait does not grow for candidates ranked after this.
const MAX_DELAYED_RANK: u32 = 8;

/// The times that govern a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// How long a lease lasts, from the moment before its renewal is sent.
    pub duration: Duration,
    /// The largest difference between the rates of two monotonic clocks, as a fraction.
    pub max_clock_drift: f64,
    /// Requests without a reply are sent again after this interval; a round ends after four intervals.
    pub resend_interval: Duration,
}

impl LeaseSettings {
    /// How long a holder may give orders after it sent a renewal that was accepted.
    fn holder_duration(&self) -> Duration {
        self.duration.mul_f64(1.0 - self.max_clock_drift)
    }

    /// How long a record has to stand unchanged before a contender may acquire the lease.
    fn contender_wait(&self) -> Duration {
        self.duration.mul_f64(1.0 + self.max_clock_drift)
    }
}

/// Why a lease is not held any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseLoss {
    /// No majority accepted a renewal in time.
    Expired,
    /// Another process has acquired it.
    TakenOver,
    /// It was released, or handed over.
    Released,
}

/// A change that a [`LeaseContender`] reports to its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The local process holds the lease from now on.
    Acquired {
        /// The epoch under which it holds the lease.
        epoch: u64,
    },
    /// The local process does not hold the lease any more.
    Lost {
        /// The epoch that has ended.
        epoch: u64,
        /// Why the lease was lost.
        reason: LeaseLoss,
    },
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    epoch: u64,
    until: Duration,
}

#[derive(Clone, Debug)]
struct ObservedRecord {
    record: LeaseRecord,
    /// When the record was first seen in this version.
    since: Duration,
}

/// The lease of one role as seen by one process, which holds the lease or contends for it.
#[derive(Clone, Debug)]
pub struct LeaseContender {
    node: NodeId,
    settings: LeaseSettings,
    /// The purpose of a round is the change that it makes; `None` for a read.
    rounds: RoundDriver<Option<LeaseChange>>,
    observed: Option<ObservedRecord>,
    held: Option<HeldLease>,
    next_round_at: Duration,
    /// Whether the lease is being released: the process gives no more orders.
    is_releasing: bool,
    /// Since when the local process has been the first candidate, or since its latest handover request if that is
    /// later; `None` while it is not the first candidate.
    first_candidate_since: Option<Duration>,
}

impl LeaseContender {
    /// Creates a contender that has not read the role's register yet.
    pub fn new(node: NodeId, role: Key, settings: LeaseSettings) -> LeaseContender {
        LeaseContender {
            node,
            settings,
            rounds: RoundDriver::new(node, role, settings.resend_interval),
            observed: None,
            held: None,
            next_round_at: Duration::ZERO,
            is_releasing: false,
            first_candidate_since: None,
        }
    }

    /// The highest ballot counter used or seen.
    pub fn highest_counter(&self) -> u64 {
        self.rounds.highest_counter()
    }

    /// Uses only ballot counters above `highest`: otherwise a contender that is created again in the same process would
    /// reuse the ballots of the earlier one.
    #[must_use]
    pub fn with_counters_above(mut self, highest: u64) -> LeaseContender {
        self.rounds.skip_counters(highest);
        self
    }

    /// The epoch under which the local process may give orders at this moment: their fencing token. Callers check it
    /// right before each order, and again after anything that may have taken time.
    pub fn valid_epoch(&self, now: Duration) -> Option<u64> {
        self.held.filter(|held| now < held.until && !self.is_releasing).map(|held| held.epoch)
    }

    /// Whether the lease is held. Also true from its expiry until the next [`LeaseContender::tick`].
    pub fn is_holder(&self) -> bool {
        self.held.is_some()
    }

    /// The latest record seen; it may have changed since.
    pub fn last_seen(&self) -> Option<&LeaseRecord> {
        self.observed.as_ref().map(|observed| &observed.record)
    }

    /// Releases the lease with the next round; the local process may give no more orders.
    pub fn release(&mut self) {
        self.is_releasing = self.held.is_some();
        self.next_round_at = Duration::ZERO;
    }

    /// When [`LeaseContender::tick`] has to be called next.
    pub fn next_deadline(&self) -> Duration {
        let round = if self.rounds.is_active() { self.rounds.resend_at() } else { self.next_round_at };
        self.held.map_or(round, |held| round.min(held.until))
    }

    /// Handles expired deadlines. `rank` is the local process's rank among the candidates for the role, `None` if it is
    /// not a candidate. Candidates with a later rank try later, so that they do not preempt each other.
    pub fn tick(
        &mut self,
        now: Duration,
        rank: Option<u32>,
        knowledge: &mut AcceptorKnowledge,
        rng: &mut impl RngCore,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) -> Option<LeaseEvent> {
        self.first_candidate_since = self.first_candidate_since.or(Some(now)).filter(|_| rank == Some(0));
        let expired = self.expire(now);
        if self.rounds.is_active() && now >= self.rounds.deadline() {
            self.back_off(now, rng);
        }
        if !self.rounds.is_active() {
            if now >= self.next_round_at {
                self.start_round(now, rank, knowledge, rng, out);
            }
        } else if now >= self.rounds.resend_at() {
            self.rounds.send(now, out);
        }
        expired
    }

    fn expire(&mut self, now: Duration) -> Option<LeaseEvent> {
        let HeldLease { epoch, .. } = self.held.take_if(|held| now >= held.until)?;
        self.is_releasing = false;
        Some(LeaseEvent::Lost { epoch, reason: LeaseLoss::Expired })
    }

    fn back_off(&mut self, now: Duration, rng: &mut impl RngCore) {
        self.next_round_at = self.rounds.back_off(now, rng);
    }

    fn start_round(
        &mut self,
        now: Duration,
        rank: Option<u32>,
        knowledge: &mut AcceptorKnowledge,
        rng: &mut impl RngCore,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) {
        let change = self.next_change(now, rank);
        if change == Some(LeaseChange::RequestHandover) {
            self.first_candidate_since = Some(now);
        }
        match change {
            None => self.rounds.start_read(now, None, knowledge, out),
            Some(_) => self.rounds.start_change(now, change, knowledge, rng, out),
        }
    }

    /// The change that the next round makes; `None` for a read.
    fn next_change(&self, now: Duration, rank: Option<u32>) -> Option<LeaseChange> {
        if self.held.is_some() {
            return Some(if self.is_releasing { LeaseChange::Release } else { LeaseChange::Renew });
        }
        let (observed, rank) = (self.observed.as_ref()?, rank?);
        if self.may_acquire(now, observed, rank) {
            Some(LeaseChange::Acquire)
        } else if rank == 0 && self.may_request_handover(now, &observed.record) {
            Some(LeaseChange::RequestHandover)
        } else {
            None
        }
    }

    /// Whether to ask the holder to hand over: only once the local process has been the first candidate for long
    /// enough, so that a member that joins and leaves repeatedly moves no leases.
    fn may_request_handover(&self, now: Duration, record: &LeaseRecord) -> bool {
        let settle_time = self.settings.duration * LEASES_BEFORE_HANDOVER_REQUEST;
        let is_settled = self.first_candidate_since.is_some_and(|since| now >= since + settle_time);
        is_settled && record.holder.is_some() && record.requested_by.is_none()
    }

    /// Whether to try to acquire the lease: it is free or held by this node, or its record has stood unchanged for a
    /// lease's duration.
    fn may_acquire(&self, now: Duration, observed: &ObservedRecord, rank: u32) -> bool {
        let ObservedRecord { record, since } = observed;
        let rank_delay = self.settings.duration.mul_f64(RANK_DELAY_FRACTION) * rank.min(MAX_DELAYED_RANK);
        match (record.holder, record.requested_by) {
            (Some(holder), _) if holder == self.node => true,
            (Some(_), _) => now >= *since + self.settings.contender_wait() + rank_delay,
            (None, Some(requester)) if requester == self.node => true,
            // The process that requested the handover may try first.
            (None, Some(_)) => now >= *since + self.settings.duration / 2 + rank_delay,
            (None, None) => now >= *since + rank_delay,
        }
    }

    /// Handles an acceptor's reply.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        reply: &AcceptorReply,
        knowledge: &mut AcceptorKnowledge,
        rng: &mut impl RngCore,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) -> Option<LeaseEvent> {
        match self.rounds.handle_reply(reply, knowledge)? {
            (RoundEvent::Read { value, .. }, _) => {
                self.handle_read(now, value.as_deref());
                None
            }
            (RoundEvent::Prepared(value), Some(change)) => self.handle_prepared(now, value, change, rng, out),
            (RoundEvent::Chosen(value), Some(change)) => self.handle_chosen(now, &value, change),
            (RoundEvent::Preempted(_) | RoundEvent::NewerAcceptorSet(_), _) => {
                self.back_off(now, rng);
                None
            }
            _ => None,
        }
    }

    /// The latest value in a majority need not be chosen, but it suffices to detect that the lease is not renewed.
    fn handle_read(&mut self, now: Duration, value: Option<&[u8]>) {
        self.next_round_at = now + self.settings.duration / READS_PER_LEASE;
        let Some(record) = decode_or_default(value) else { return };
        if record.holder.is_none() {
            self.next_round_at = now + self.settings.resend_interval / 4;
        } else if record.requested_by == Some(self.node) {
            // The holder releases the lease at its next renewal, and it stays free until this process acquires it.
            self.next_round_at = now + self.settings.resend_interval / 2;
        }
        self.observe(now, record);
    }

    /// Keeps a record unless it is older than the latest one seen. Only a newer record restarts the wait.
    fn observe(&mut self, now: Duration, record: LeaseRecord) {
        let since = match &self.observed {
            Some(observed) if record.version() < observed.record.version() => return,
            Some(observed) if record.version() == observed.record.version() => observed.since,
            _ => now,
        };
        self.observed = Some(ObservedRecord { record, since });
    }

    /// A majority has promised: proposes the next record, unless the change does not apply to the current one.
    fn handle_prepared(
        &mut self,
        now: Duration,
        value: Option<Value>,
        change: LeaseChange,
        rng: &mut impl RngCore,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) -> Option<LeaseEvent> {
        let Some(current) = decode_or_default(value.as_deref()) else {
            // Written by a later version of the program: it must not be overwritten.
            self.back_off(now, rng);
            return None;
        };
        let Some(next) = next_record(change, self.node, &current, self.last_seen()) else {
            return self.withdraw(now, current, rng);
        };
        // A holder that was asked to hand over gives no more orders.
        self.is_releasing |= change == LeaseChange::Renew && next.holder.is_none();
        self.rounds.propose(now, next.encode(), out);
        None
    }

    /// Ends the round without a proposal: the current record stays.
    fn withdraw(
        &mut self,
        now: Duration,
        current: LeaseRecord,
        rng: &mut impl RngCore,
    ) -> Option<LeaseEvent> {
        let is_holder = current.holder == Some(self.node);
        self.observe(now, current);
        self.back_off(now, rng);
        let lost = self.held.take().filter(|_| !is_holder);
        self.is_releasing &= lost.is_none();
        lost.map(|held| LeaseEvent::Lost { epoch: held.epoch, reason: LeaseLoss::TakenOver })
    }

    /// The record that the local process proposed is chosen.
    fn handle_chosen(&mut self, now: Duration, value: &[u8], change: LeaseChange) -> Option<LeaseEvent> {
        let record = LeaseRecord::decode(value)?;
        let (epoch, is_holder) = (record.epoch, record.holder == Some(self.node));
        self.observe(now, record);
        if is_holder {
            return self.hold(now, epoch, change);
        }
        self.next_round_at = now + self.settings.resend_interval;
        self.is_releasing = false;
        let released = self.held.take()?;
        Some(LeaseEvent::Lost { epoch: released.epoch, reason: LeaseLoss::Released })
    }

    /// Holds the lease. Its duration counts from the start of the round.
    fn hold(&mut self, now: Duration, epoch: u64, change: LeaseChange) -> Option<LeaseEvent> {
        let started_at = self.rounds.started_at();
        let until = started_at + self.settings.holder_duration();
        let previous = self.held.replace(HeldLease { epoch, until });
        self.is_releasing &= change != LeaseChange::Acquire;
        self.next_round_at = if self.is_releasing {
            // The release was requested while the renewal was under way.
            now
        } else {
            started_at + self.settings.duration / RENEWALS_PER_LEASE
        };
        previous.is_none().then_some(LeaseEvent::Acquired { epoch })
    }
}

/// Decodes the record in a register's value. An empty register gives a record of epoch 0 without a holder.
fn decode_or_default(value: Option<&[u8]>) -> Option<LeaseRecord> {
    value.map_or(Some(LeaseRecord::default()), LeaseRecord::decode)
}
