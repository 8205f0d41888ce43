//! Requests that await their final answer, and their attempts in flight. Nothing is decided here.

use super::request_index::QueueEntry;
use crate::api::*;

/// A request that awaits its final answer.
#[derive(Default)]
pub struct OpenRequest {
    pub request: Request,
    pub arrived_at: Micros,
    pub deadline: Micros,
    /// As the settings had it when the request arrived.
    pub max_attempts: u32,
    /// After this an answer counts for nothing.
    pub give_up_at: Micros,
    /// When the request ends, as the index has it.
    pub end: Micros,
    /// Where the request waits, if it does.
    pub queue_entry: Option<QueueEntry>,
    /// Attempts so far.
    pub attempts: u32,
    pub in_flight: Vec<(AttemptNo, MemberId)>,
    /// Send time of the first attempt that may have been executed.
    pub executed_from: Option<Micros>,
    /// An attempt ended without proof that it was not executed.
    pub may_have_executed: bool,
    /// Attempts that ended in an error.
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

    /// An attempt is sent to a member.
    pub fn begin_attempt(&mut self, now: Micros, to: MemberId) -> AttemptNo {
        let attempt = AttemptNo(self.attempts);
        self.attempts += 1;
        self.in_flight.push((attempt, to));
        self.executed_from = self.executed_from.or(Some(now));
        attempt
    }

    /// An attempt has failed.
    pub fn record_failure(&mut self, outcome: &Outcome) {
        self.in_flight.retain(|(attempt, _)| *attempt != outcome.attempt);
        self.may_have_executed |= !outcome.status.proves_not_executed();
        self.executed_from = self.executed_from.filter(|_| !self.proved_not_executed());
        self.failed_members.push(outcome.member);
        // Errors that follow a read from member to member are its own.
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
    /// Its client marked the request as a repeat.
    pub repeat: bool,
    /// For how long the connection had been idle, as far as that matters.
    pub idle_time: Option<Micros>,
    /// Position that its answer must show.
    pub needed: Micros,
    /// Its cost in usual requests.
    pub cost: f64,
    /// Cost in flight at the member as it was sent, its own included.
    pub load_at_send: f64,
    /// Its answer streams to the client: the member has done the work.
    pub streaming: bool,
}
