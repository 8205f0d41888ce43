//! A client of one register that many processes may read and change: reads that return only chosen values, and changes
//! whose next value is computed once a majority has returned the current one, as in CASPaxos.
//!
//! CASPaxos reads by a change that leaves the value as it is. Here a read requests no promises at first: if the whole
//! majority has accepted one value under one ballot, that value is chosen; otherwise the read proposes the latest value
//! again.

use std::time::Duration;

use rand_core::RngCore;

use crate::acceptor_knowledge::AcceptorKnowledge;
use crate::messages::{AcceptorReply, AcceptorRequest};
use crate::node_id::NodeId;
use crate::proposer::RoundEvent;
use crate::register::{AcceptorSlot, Key, Value};
use crate::round_driver::RoundDriver;

/// The outcome of a read or a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterOutcome {
    /// The register holds this value, which is chosen; `None` if it never held one.
    Read {
        /// The value.
        value: Option<Value>,
        /// When the read started: the value was current then, or is newer.
        started_at: Duration,
    },
    /// A majority has promised a change and returned this latest value: the owner proposes the next value or withdraws.
    /// The latest value may not be chosen; an owner that has to rely on it proposes it unchanged.
    Prepared(Option<Value>),
    /// The register holds the proposed value.
    Chosen(Value),
    /// Another proposer or a newer acceptor set interfered, the deadline passed, or the node refused to start it.
    Failed {
        /// Whether a value was proposed, which may still be chosen.
        proposed: bool,
        /// Whether the deadline passed without replies of a majority.
        no_majority: bool,
    },
}

/// The purpose of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Read,
    /// Completes a read whose majority was not unanimous: the latest value may or may not be chosen, and is proposed
    /// again.
    Repair {
        read_started_at: Duration,
    },
    Change,
}

/// One process's reads and changes of one register, one at a time. It has to be kept for the lifetime of the process: a
/// new client would reuse its ballots.
#[derive(Clone, Debug)]
pub struct RegisterClient {
    rounds: RoundDriver<Purpose>,
    /// The read or change that starts once the backoff after a failure has elapsed.
    requested: Option<Purpose>,
    backoff_until: Duration,
    /// Whether the active change has proposed a value.
    proposed: bool,
}

impl RegisterClient {
    /// Creates a client that has not read the register yet. Requests without a reply are sent again after the interval;
    /// a round ends after four intervals.
    pub fn new(node: NodeId, key: Key, resend_interval: Duration) -> RegisterClient {
        RegisterClient {
            rounds: RoundDriver::new(node, key, resend_interval),
            requested: None,
            backoff_until: Duration::ZERO,
            proposed: false,
        }
    }

    /// When [`RegisterClient::tick`] has to be called next; `None` while there is nothing to do.
    pub fn next_deadline(&self) -> Option<Duration> {
        if self.rounds.is_active() {
            Some(self.rounds.resend_at().min(self.rounds.deadline()))
        } else {
            self.requested.map(|_| self.backoff_until)
        }
    }

    /// Requests a read, which starts with the next [`RegisterClient::tick`]. No effect while a read or change is under
    /// way, whose outcome serves as well.
    pub fn read(&mut self) {
        if !self.rounds.is_active() && self.requested.is_none() {
            self.requested = Some(Purpose::Read);
        }
    }

    /// Requests a change, which starts with the next [`RegisterClient::tick`]. A read under way is dropped without an
    /// outcome.
    pub fn begin_change(&mut self) {
        if self.rounds.purpose() != Some(Purpose::Change) {
            self.rounds.abandon();
            self.requested = Some(Purpose::Change);
        }
    }

    /// Proposes the register's next value, after [`RegisterOutcome::Prepared`]; `None` withdraws the change.
    pub fn propose(
        &mut self,
        now: Duration,
        value: Option<Value>,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) {
        if self.rounds.purpose() != Some(Purpose::Change) {
            return;
        }
        match value {
            Some(value) if self.rounds.is_prepared() => {
                self.proposed = true;
                self.rounds.propose(now, value, out);
            }
            Some(_) => {}
            None => self.rounds.abandon(),
        }
    }

    /// Handles expired deadlines.
    pub fn tick(
        &mut self,
        now: Duration,
        knowledge: &mut AcceptorKnowledge,
        rng: &mut impl RngCore,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) -> Option<RegisterOutcome> {
        if let Some(purpose) = self.requested.take_if(|_| now >= self.backoff_until) {
            self.start_round(now, purpose, knowledge, rng, out);
        } else if self.rounds.is_active() && now >= self.rounds.deadline() {
            // A prepared round without a proposal has had the replies of a majority.
            let no_majority = !self.rounds.is_prepared();
            return Some(self.fail(now, no_majority, rng));
        } else if self.rounds.is_active() && now >= self.rounds.resend_at() {
            self.rounds.send(now, out);
        }
        None
    }

    fn start_round(
        &mut self,
        now: Duration,
        purpose: Purpose,
        knowledge: &mut AcceptorKnowledge,
        rng: &mut impl RngCore,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) {
        self.proposed = false;
        match purpose {
            Purpose::Read => self.rounds.start_read(now, purpose, knowledge, out),
            Purpose::Repair { .. } | Purpose::Change => {
                self.rounds.start_change(now, purpose, knowledge, rng, out);
            }
        }
    }

    /// Ends the active round, and starts the backoff.
    fn fail(&mut self, now: Duration, no_majority: bool, rng: &mut impl RngCore) -> RegisterOutcome {
        self.backoff_until = self.rounds.back_off(now, rng);
        RegisterOutcome::Failed { proposed: std::mem::take(&mut self.proposed), no_majority }
    }

    /// Handles an acceptor's reply.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        reply: &AcceptorReply,
        knowledge: &mut AcceptorKnowledge,
        rng: &mut impl RngCore,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) -> Option<RegisterOutcome> {
        let read_outcome = |value, started_at| Some(RegisterOutcome::Read { value, started_at });
        match self.rounds.handle_reply(reply, knowledge)? {
            (RoundEvent::Read { value, unanimous: true, .. }, _) => {
                read_outcome(value, self.rounds.started_at())
            }
            (RoundEvent::Read { unanimous: false, .. }, _) => {
                let repair = Purpose::Repair { read_started_at: self.rounds.started_at() };
                self.start_round(now, repair, knowledge, rng, out);
                None
            }
            (RoundEvent::Prepared(value), Purpose::Change) => Some(RegisterOutcome::Prepared(value)),
            (RoundEvent::Prepared(Some(value)), Purpose::Repair { .. }) => {
                self.rounds.propose(now, value, out);
                None
            }
            // No acceptor of the majority has accepted a value.
            (RoundEvent::Prepared(None), Purpose::Repair { read_started_at }) => {
                self.rounds.abandon();
                read_outcome(None, read_started_at)
            }
            (RoundEvent::Chosen(value), Purpose::Repair { read_started_at }) => {
                read_outcome(Some(value), read_started_at)
            }
            (RoundEvent::Chosen(value), _) => Some(RegisterOutcome::Chosen(value)),
            (RoundEvent::Preempted(_) | RoundEvent::NewerAcceptorSet(_), _) => {
                Some(self.fail(now, false, rng))
            }
            _ => None,
        }
    }
}
