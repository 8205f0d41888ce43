//! The state of a group of members as a whole. It makes no decisions.

use super::log_clock::LogClock;
use crate::api::*;
use crate::notice::LogTimeEvidence;

/// The members of a group that one choice considers, starting at the index `start` and wrapping around.
#[derive(Clone, Copy)]
pub struct CandidateWindow {
    pub group: GroupId,
    pub start: usize,
}

/// A group: its members and the state that they share.
#[derive(Default)]
pub struct Group {
    pub members: Vec<MemberId>,
    /// Cost served recently, over the router's `served_span`.
    pub served_cost: f64,
    /// Number of members in service.
    pub members_in_service: f64,
    /// The proved bounds of the log's time.
    pub log_clock: LogClock,
    /// The latest answer that proved a bound of the log's time.
    pub evidence: Option<LogTimeEvidence>,
    /// The latest commit whose session was forgotten: a member that joins later may not have applied it yet.
    pub forgotten_commit: Micros,
    /// The member with the latest claim to be the primary, unless a newer claim disproved it.
    pub primary: Option<MemberId>,
    /// When its members were last refreshed; zero if they never were.
    pub refreshed_at: Micros,
    /// Running fraction of requests that were given up before they were sent to any member.
    pub queue_drop_rate: f64,
}
