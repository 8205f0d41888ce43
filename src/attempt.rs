//! The outcome of an attempt at a database host: the response, or how much of the request was written and why the
//! attempt failed.

use crate::{AttemptStatus, Micros, Role};

/// How much of the request had been written when the attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptProgress {
    /// No connection had been established.
    NotConnected,
    /// The last byte had not been written.
    PartiallyWritten,
    /// The last byte had been written.
    FullyWritten,
}

/// Why an attempt ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The connection was refused, was not established or broke.
    ConnectionLost,
    /// The received bytes are not a valid response.
    MalformedResponse,
    /// No response was received in time.
    TimedOut,
    /// The gateway sent nothing: no descriptors, no address, or the choice of the host was out of date.
    NotAttempted,
    /// The gateway was delayed while it wrote the request: the host's data may be too old by now, or the rest must not
    /// be written any more.
    WrittenTooLate,
    /// The answer was to confirm the host's role, and it is too long to be looked at before it is served.
    RoleNotConfirmed,
}

/// An attempt that ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// How much of the request had been written.
    pub progress: AttemptProgress,
    /// Why it ended.
    pub cause: FailureCause,
}

impl FailedAttempt {
    /// Whether the host may have run the request: a host never starts before it has received the last byte.
    pub fn may_have_run(self) -> bool {
        self.progress == AttemptProgress::FullyWritten
    }

    fn status(self) -> AttemptStatus {
        if self.may_have_run() {
            return match self.cause {
                FailureCause::TimedOut => AttemptStatus::Timeout,
                FailureCause::WrittenTooLate | FailureCause::RoleNotConfirmed => AttemptStatus::Withdrawn,
                FailureCause::MalformedResponse => AttemptStatus::Malformed,
                FailureCause::ConnectionLost | FailureCause::NotAttempted => AttemptStatus::Reset,
            };
        }
        match self.cause {
            FailureCause::ConnectionLost | FailureCause::MalformedResponse => AttemptStatus::ConnectFailed,
            FailureCause::TimedOut
            | FailureCause::NotAttempted
            | FailureCause::WrittenTooLate
            | FailureCause::RoleNotConfirmed => AttemptStatus::NotSent,
        }
    }
}

/// The status that a host's response reports, independent of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseStatus {
    /// The host served the request.
    Served,
    /// The host has the wrong role or lags too far behind; the request had no effect.
    Unsuitable,
    /// The host rejected the request and did not run it.
    Rejected,
    /// The host reported an error; the request may have run.
    Failed,
}

impl ResponseStatus {
    fn status(self) -> AttemptStatus {
        match self {
            ResponseStatus::Served => AttemptStatus::Ok,
            ResponseStatus::Unsuitable => AttemptStatus::Unsuitable,
            ResponseStatus::Rejected => AttemptStatus::Rejected,
            ResponseStatus::Failed => AttemptStatus::Error,
        }
    }
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug)]
pub enum AttemptOutcome {
    /// A response was received.
    Response {
        /// Its status.
        status: ResponseStatus,
        /// The host's role at the time of the response, if it is in it.
        role: Option<Role>,
        /// The host's log position, or the commit position of a write, if it is in the response.
        position: Option<Micros>,
    },
    /// No response was received.
    NoResponse(FailedAttempt),
}

impl AttemptOutcome {
    /// The status that is reported to the router. The progress of a failed attempt affects nothing else.
    pub(crate) fn status(self) -> AttemptStatus {
        match self {
            AttemptOutcome::Response { status, .. } => status.status(),
            AttemptOutcome::NoResponse(failed) => failed.status(),
        }
    }

    /// The role and the log position that the host reported, if any.
    pub(crate) fn reported(self) -> (Option<Role>, Option<Micros>) {
        match self {
            AttemptOutcome::Response { role, position, .. } => (role, position),
            AttemptOutcome::NoResponse(_) => (None, None),
        }
    }

    /// Whether the request was served.
    pub(crate) fn is_served(self) -> bool {
        matches!(self, AttemptOutcome::Response { status: ResponseStatus::Served, .. })
    }
}
