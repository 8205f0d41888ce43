//! Requests that await their final answer, and their attempts in flight. Nothing is decided here.

use super::request_index::QueueEntry;
use crate::api::*;

/// A request that awaits its final answer.
#[derive(Default)]
pub struct OpenRequest {
    pub req: Request,
    pub arrived: Micros,
    pub deadline: Micros,
    /// Most attempts, as the settings had it when it arrived.
    pub most: u32,
    /// After this an answer is worth nothing.
    pub give_up: Micros,
    /// When it ends, as it was booked, and where it waits.
    pub end: Micros,
    pub queue_entry: Option<QueueEntry>,
    pub attempts: u32,
    pub out: Vec<(AttemptNo, MemberId)>,
    /// Send time of the first attempt that may have run.
    pub ran: Option<Micros>,
    /// An attempt ended without proof that it did not run.
    pub unproven: bool,
    pub errors: u32,
    pub avoid: Vec<MemberId>,
}

impl OpenRequest {
    /// Whether every attempt so far is proved not to have run.
    pub fn proved_not_executed(&self) -> bool {
        self.out.is_empty() && !self.unproven
    }
}

/// An attempt that is out.
pub struct Attempt {
    pub class: ClassId,
    pub group: GroupId,
    pub session: Option<SessionKey>,
    /// When it was sent.
    pub sent: Micros,
    /// Its client marked the request as a repeat.
    pub repeat: bool,
    /// For how long the connection had been idle, as far as that matters.
    pub idle: Option<Micros>,
    /// Position that its answer must show.
    pub needed: Micros,
    pub cost: f64,
    pub load: f64,
    /// Its answer flows: the member has done the work and has room again.
    pub flows: bool,
}
