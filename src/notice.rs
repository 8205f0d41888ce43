//! What the decision module reports to operators: changes of what it knows with the evidence for them, what the choice
//! of a replica rested on, and why a request was given up.

use crate::{AttemptStatus, GroupId, MemberId, Micros, RequestId, Role};

/// Where a member's position is known from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PositionSource {
    /// It is not known.
    #[default]
    Unknown,
    /// An answer to a request, whose attempt ended in this way.
    Answer(AttemptStatus),
    /// The member's health report.
    Report,
}

/// What the position in an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionKind {
    /// Where the member's log stood as it answered.
    Current,
    /// Where its log stood some time ago.
    Reported,
    /// The commit of a write that was executed between request and answer.
    NewCommit,
    /// The commit of a write that may have been executed before: this may be a duplicate that was dropped.
    Commit,
}

/// An answer from which the time of a group's log was derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogTimeEvidence {
    /// The member that answered.
    pub member: MemberId,
    /// How the attempt or the health check ended.
    pub status: AttemptStatus,
    /// The position in the answer.
    pub position: Micros,
    /// What that position is.
    pub kind: PositionKind,
    /// When the request was sent.
    pub sent: Micros,
    /// When its answer was received.
    pub received: Micros,
}

/// What the choice of a member for a read rested on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadBasis {
    /// The position that the read must see; none as long as the log's time is unknown.
    pub needed: Option<Micros>,
    /// The member's last known position, if there is one.
    pub position: Option<Micros>,
    /// How long ago it was learned.
    pub age: Micros,
    /// Where it is known from.
    pub source: PositionSource,
    /// The latest that the log's time may be by now.
    pub log_time: Option<Micros>,
    /// The answer that this time was last derived from, if it was one of this group.
    pub evidence: Option<LogTimeEvidence>,
}

/// Why a request was given up before it was served. The names are what the log shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// It came with less time left than an attempt takes.
    NoTime,
    /// It waited in the queue for as long as it may, or an answer could no longer be in time.
    Waited,
    /// Its time was over while an attempt was in flight.
    Overdue,
    /// An attempt failed and no retry is allowed.
    NoRetry,
}

/// Something that operators may want to know of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    /// The time of a group's log was learned, or what was known of it no longer holds.
    LogTime {
        /// The group.
        group: GroupId,
        /// What was known before no longer holds.
        stepped: bool,
        /// The answer that it was derived from.
        evidence: LogTimeEvidence,
        /// Bounds of the log's time less this clock's, in microseconds.
        bounds: (i64, i64),
    },
    /// Another member is taken for a group's primary.
    Primary {
        /// The group.
        group: GroupId,
        /// The member that was taken for it before, if any.
        before: Option<MemberId>,
        /// The member that is now, if any.
        after: Option<MemberId>,
    },
    /// A request was given up; only while single requests are traced.
    GivenUp {
        /// The request.
        request: RequestId,
        /// Why.
        why: GiveUp,
        /// Attempts that it had.
        attempts: u32,
    },
}

/// A role's name in the log.
pub fn role_name(role: Option<Role>) -> &'static str {
    match role {
        Some(Role::Primary) => "primary",
        Some(Role::Replica) => "replica",
        None => "untold",
    }
}
