//! What the router reports to operators: changes of log times and primaries with their evidence, the basis of the
//! choice of a replica, and why a request was given up.

use crate::{AttemptStatus, GroupId, MemberId, Micros, RequestId, Role};

/// The source of a member's last known position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PositionSource {
    /// No source is known.
    #[default]
    Unknown,
    /// The answer to an attempt that ended with this status.
    Answer(AttemptStatus),
    /// A health report of the member.
    Report,
}

/// The meaning of the position in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionKind {
    /// The position of the member's log when it answered.
    Current,
    /// The position of its log some time before it answered.
    Reported,
    /// The commit of a write that was executed between the request and its answer.
    NewCommit,
    /// The commit of a write that may have been executed earlier: this may be a duplicate that was dropped.
    Commit,
}

/// An answer from which a group's log time was derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogTimeEvidence {
    /// The member that answered.
    pub member: MemberId,
    /// How the attempt or the health check ended.
    pub status: AttemptStatus,
    /// The position in the answer.
    pub position: Micros,
    /// The meaning of that position.
    pub kind: PositionKind,
    /// When the request was sent.
    pub sent: Micros,
    /// When its answer was received.
    pub received: Micros,
}

/// The basis of the choice of a member for a read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadBasis {
    /// The position that the member must have applied; `None` while the log time is unknown.
    pub needed: Option<Micros>,
    /// The member's last known position, if there is one.
    pub position: Option<Micros>,
    /// How long ago that position was last confirmed or advanced.
    pub age: Micros,
    /// The source of that position.
    pub source: PositionSource,
    /// The member is believed to be the group's primary.
    pub is_primary: bool,
    /// How long ago the member last stated its role; `None` if it never did.
    pub role_age: Option<Micros>,
    /// The upper bound of the present log time, if it is known.
    pub log_time: Option<Micros>,
    /// The answer of this group from which the log time was last derived, if there was one.
    pub evidence: Option<LogTimeEvidence>,
}

/// The times that decide whether an attempt may repeat an earlier one of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTiming {
    /// When its member was chosen.
    pub chosen_at: Micros,
    /// When the first attempt that may have been executed was sent; `None` if this attempt repeats none.
    pub first_sent_at: Option<Micros>,
    /// How long duplicates are dropped after that; `None` if the class has no idempotency key.
    pub window: Option<Micros>,
}

/// Why an attempt was not written although its member had been chosen. The log shows these names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteRefusal {
    /// The request is finished or has no attempt in flight.
    NotInFlight,
    /// The member receives no new requests any more.
    OutOfService,
    /// The member is not known to have applied the position that the read must see now.
    DataTooOld,
    /// An earlier attempt may have been executed, and duplicates of it are not dropped any more.
    OutsideRepeatWindow,
    /// An answer would be too late to be of use.
    DeadlinePassed,
}

/// Why a request was given up before it was served. The log shows these names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// It arrived a sweep period (two ticks) or less before the time after which an answer has no value.
    NoTime,
    /// Its time in the queue reached the limit, or an answer could no longer be in time.
    Waited,
    /// An attempt was in flight when the time for a useful answer ended, or when the deadline was a sweep period or
    /// less away.
    Overdue,
    /// An attempt failed, and a retry is not allowed or the deadline is a tick or less away.
    NoRetry,
}

/// An event that is reported to operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    /// A group's log time was learned, or an answer showed that the known log time was wrong.
    LogTime {
        /// The group.
        group: GroupId,
        /// Whether an earlier known log time was replaced.
        stepped: bool,
        /// The answer from which the log time was derived.
        evidence: LogTimeEvidence,
        /// Lower and upper bound of the log time minus this router's clock, in microseconds.
        bounds: (i64, i64),
    },
    /// The known primary of a group has changed.
    Primary {
        /// The group.
        group: GroupId,
        /// The previous primary, if one was known.
        before: Option<MemberId>,
        /// The new primary, if one is known.
        after: Option<MemberId>,
    },
    /// A request was given up; reported only while individual requests are traced.
    GivenUp {
        /// The request.
        request: RequestId,
        /// The reason.
        why: GiveUp,
        /// The number of its attempts.
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
