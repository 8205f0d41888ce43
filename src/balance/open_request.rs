//! The state of requests that await their final answer, and of their attempts in flight. It makes no
//! decisions.

use super::request_index::QueueEntry;
use crate::api::*;

/// A request that awaits its final answer.
#[derive(Default)]
pub struct OpenRequest {
    pub request: Request,
    pub arrived_at: Micros,
    pub deadline: Micros,
    /// Maximum number of attempts, from the settings at the time when the request arrived.
    pub max_attempts: u32,
    /// An answer after this time has no value.
    pub give_up_at: Micros,
    /// When the request ends at the latest; its key in the request index.
    pub ends_at: Micros,
    /// The request's place in its queue, if it waits.
    pub queue_entry: Option<QueueEntry>,
    /// Number of attempts so far.
    pub attempts: u32,
    pub in_flight: Vec<(AttemptNo, MemberId)>,
    /// Send time of the first attempt that may have been executed or may yet be: while its connection is
    /// established, the time of the choice of its member.
    pub executed_from: Option<Micros>,
    /// An attempt ended without proof that it was not executed.
    pub may_have_executed: bool,
    /// Number of attempts that ended in an error.
    pub errors: u32,
    /// Members at which an attempt has failed.
    pub failed_members: Vec<MemberId>,
}

impl OpenRequest {
    /// Whether every attempt so far is proved not to have been executed.
    pub fn proved_not_executed(&self) -> bool {
        self.in_flight.is_empty() && !self.may_have_executed
    }

    /// Whether an attempt is in flight at a member, or has failed there.
    pub fn has_tried(&self, member: MemberId) -> bool {
        self.failed_members.contains(&member) || self.in_flight.iter().any(|(_, tried)| *tried == member)
    }

    /// Adds an attempt that is sent to a member, and returns its number.
    pub fn begin_attempt(&mut self, now: Micros, to: MemberId) -> AttemptNo {
        let attempt = AttemptNo(self.attempts);
        self.attempts += 1;
        self.in_flight.push((attempt, to));
        self.executed_from = self.executed_from.or(Some(now));
        attempt
    }

    /// Records that the attempt in flight is written at `now`.
    pub fn mark_sent(&mut self, now: Micros) {
        if !self.may_have_executed && self.in_flight.len() == 1 {
            self.executed_from = Some(now);
        }
    }

    /// Records a failed attempt. `may_return` says whether the request may be sent to its member again.
    pub fn record_failure(&mut self, outcome: &Outcome, may_return: bool) {
        self.in_flight.retain(|(attempt, _)| *attempt != outcome.attempt);
        self.may_have_executed |= !outcome.status.proves_not_executed();
        self.executed_from = self.executed_from.filter(|_| !self.proved_not_executed());
        if !may_return {
            self.failed_members.push(outcome.member);
        }
        // If a read fails with an error at one member after another, the read is the cause.
        self.errors += u32::from(outcome.status == AttemptStatus::Error);
    }
}

/// An attempt in flight.
pub struct Attempt {
    pub class: ClassId,
    pub group: GroupId,
    pub session: Option<SessionKey>,
    /// When it was sent.
    pub sent: Micros,
    /// The client marked the request as a retry.
    pub repeat: bool,
    /// How long the connection had been idle, if long enough to matter.
    pub idle_time: Option<Micros>,
    /// The position that its answer must reflect.
    pub needed: Micros,
    /// Cost in usual requests.
    pub cost: f64,
    /// Cost in flight at the member when the attempt was sent, including its own.
    pub load_at_send: f64,
    /// The answer streams to the client: the member has done the work.
    pub streaming: bool,
}
