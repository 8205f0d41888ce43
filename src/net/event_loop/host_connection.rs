//! The state of a connection to a database host.

use crate::attempt::FailureCause;
use crate::pg::host::HostProtocol;
use crate::{MemberId, Micros, RequestId};

/// The present use of a connection to a host.
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
    /// A new connection needs its descriptor.
    CapacityNeeded,
    /// Bytes or the end of the connection arrived while it was idle.
    UnexpectedInput,
    /// The host gets no new requests.
    NotRoutable,
    /// Its query is in flight, and the response is not needed any more.
    ResponseNotAwaited,
    /// Its attempt or health check has failed.
    Failed(FailureCause),
}

/// A connection to a host.
pub(super) struct HostConnection {
    pub(super) protocol: HostProtocol,
    pub(super) member: MemberId,
    /// The host has accepted the session, so that queries can be sent.
    pub(super) is_ready: bool,
    /// The present attempt has been counted as fully written.
    pub(super) is_attempt_counted: bool,
    /// It is not read, since the client that its response streams to has too many unread bytes.
    pub(super) is_reading_paused: bool,
    /// When the present attempt times out.
    pub(super) attempt_deadline: Micros,
    /// The time before which the last byte of the present attempt must be written.
    pub(super) write_deadline: Micros,
    /// When bytes were last received.
    pub(super) last_received: Micros,
    pub(super) task: HostTask,
}

impl HostConnection {
    /// The state of a connection to a member that is being opened.
    pub(super) fn new(member: MemberId, now: Micros) -> Self {
        HostConnection {
            protocol: HostProtocol::default(),
            member,
            is_ready: false,
            is_attempt_counted: false,
            is_reading_paused: false,
            attempt_deadline: now,
            write_deadline: now,
            last_received: now,
            task: HostTask::None,
        }
    }
}
