//! What is known of a group of members as a whole. Nothing is decided here.

use super::log_clock::LogClock;
use crate::api::*;
use crate::notice::LogTimeEvidence;

/// The members of a group that one choice looks at: from this index on.
#[derive(Clone, Copy)]
pub struct CandidateWindow {
    pub group: GroupId,
    pub start: usize,
}

/// A group: its members and what counts for all of them.
#[derive(Default)]
pub struct Group {
    pub members: Vec<MemberId>,
    /// Cost served of late, over the router's `served_span`.
    pub served_cost: f64,
    /// Number of members in service.
    pub members_in_service: f64,
    /// What is proved of the log's time.
    pub log_clock: LogClock,
    /// The answer that last proved something of it.
    pub evidence: Option<LogTimeEvidence>,
    /// The latest commit whose session was forgotten: a member that joins later may not have it yet.
    pub forgotten_commit: Micros,
    /// The latest claim to be the primary that nothing newer disproved.
    pub primary: Option<MemberId>,
    /// When its members were last refreshed; zero if they never were.
    pub refreshed_at: Micros,
    /// Running share of requests that were given up before they were sent to any member.
    pub queue_drop_rate: f64,
}
