//! The state of a connection to a database host.

use crate::attempt::FailureCause;
use crate::pg::host::HostProtocol;
use crate::{MemberId, Micros, RequestId};

/// What a connection to a host is used for at present.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum HostTask {
    None,
    Attempt(RequestId),
    HealthCheck,
}

/// Why this gateway closes a connection to a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CloseReason {
    IdleTimeout,
    /// Idle connections to this host may be broken.
    Distrusted,
    /// Another connection needs its descriptor.
    CapacityNeeded,
    /// Bytes or an end have come while it was idle.
    UnexpectedInput,
    /// The host gets nothing new.
    NotRoutable,
    /// It carries a request whose response nobody waits for.
    ResponseNotAwaited,
    /// Its attempt or health check has failed.
    Failed(FailureCause),
}

/// A connection to a host.
pub(super) struct HostConnection {
    pub(super) protocol: HostProtocol,
    pub(super) member: MemberId,
    /// The host has accepted the session.
    pub(super) is_ready: bool,
    /// The attempt on it is counted among those written in full.
    pub(super) is_attempt_counted: bool,
    /// Not read, since the client that its response streams to has enough unread.
    pub(super) is_reading_paused: bool,
    /// When the attempt on it ends at the latest.
    pub(super) attempt_deadline: Micros,
    /// When bytes last came.
    pub(super) last_received: Micros,
    pub(super) task: HostTask,
}

impl HostConnection {
    /// A connection to a member that is being opened.
    pub(super) fn new(member: MemberId, now: Micros) -> Self {
        HostConnection {
            protocol: HostProtocol::default(),
            member,
            is_ready: false,
            is_attempt_counted: false,
            is_reading_paused: false,
            attempt_deadline: now,
            last_received: now,
            task: HostTask::None,
        }
    }
}
