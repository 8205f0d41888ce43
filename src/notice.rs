//! What the decision module tells operators: changes of what it knows with the evidence for them, what the choice of a
//! replica rested on, and why a request was given up.

use crate::{AttemptStatus, GroupId, MemberId, Micros, RequestId, Role};

/// Where a belief about a member's position comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Source {
    /// Nobody has told it.
    #[default]
    Nobody,
    /// An answer to a request, which ended the attempt in this way.
    Answer(AttemptStatus),
    /// What the member reported when it was probed.
    Report,
}

/// What a position is that a member tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Where its log stood as it answered.
    Position,
    /// Where it stood some time ago.
    Report,
    /// The commit of a write that ran between request and answer.
    NewCommit,
    /// The commit of a write that may have run before, of which this may be a repeat that was dropped.
    Commit,
}

/// An answer from which the time of a family's log was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dating {
    /// Who answered.
    pub member: MemberId,
    /// How the attempt or the probe ended.
    pub status: AttemptStatus,
    /// The position that it told.
    pub position: Micros,
    /// What that position is.
    pub told: Told,
    /// When the request was sent, and when its answer was taken in.
    pub sent: Micros,
    /// See `sent`.
    pub heard: Micros,
}

/// What the choice of a member for a read rested on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadBasis {
    /// The position that the read must see; none as long as the log's time is unknown.
    pub needed: Option<Micros>,
    /// The member's position as it is believed, if it has told one.
    pub position: Option<Micros>,
    /// How long ago it told.
    pub age: Micros,
    /// Where the belief comes from.
    pub source: Source,
    /// The time of the log by now at the latest.
    pub log_time: Option<Micros>,
    /// The answer that this time was last taken from, if it was one of this family.
    pub dating: Option<Dating>,
}

/// Why a request was given up before it was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// It came with less time than an attempt takes.
    NoTime,
    /// It waited for as long as one may, or an answer could not be in time any more.
    Waited,
    /// Its time was over while an attempt was out.
    Overdue,
    /// An attempt failed and no other may follow.
    NoRetry,
}

/// Something that operators may want to know of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    /// The time of a family's log was learned, or what was known of it holds no more.
    LogTime {
        /// The family.
        group: GroupId,
        /// What was known before holds no more.
        stepped: bool,
        /// The answer that told.
        dating: Dating,
        /// Bounds of the log's time less this clock's, in microseconds.
        bounds: (i64, i64),
    },
    /// Another member is taken for a family's primary.
    Primary {
        /// The family.
        group: GroupId,
        /// Who was taken for it, if anybody.
        before: Option<MemberId>,
        /// Who is now.
        after: Option<MemberId>,
    },
    /// A request was given up; only where notices of single requests are asked for.
    GivenUp {
        /// The request.
        request: RequestId,
        /// Why.
        why: GiveUp,
        /// Attempts that it has had.
        attempts: u32,
    },
}

/// What a role is called in the log.
pub fn role_name(role: Option<Role>) -> &'static str {
    match role {
        Some(Role::Primary) => "primary",
        Some(Role::Replica) => "replica",
        None => "untold",
    }
}
