//! How an attempt at a database host ends: the response that came, or how far its request had come and what ended it.

use crate::{AttemptStatus, Micros, Role};

/// How far an attempt's request had been written when the attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptProgress {
    /// No connection was up for it.
    NotConnected,
    /// Its last byte was not written yet.
    PartiallyWritten,
    /// Its last byte was written.
    FullyWritten,
}

/// What ended an attempt that got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The connection was refused, never came up or broke.
    ConnectionLost,
    /// The bytes that came back are no response.
    MalformedResponse,
    /// No response came in time.
    TimedOut,
    /// The gateway sent nothing: no descriptors, no address, or the choice of the host was out of date.
    NotAttempted,
    /// The gateway was held up while it wrote: the host's data may be too old by now.
    WrittenTooLate,
}

/// An attempt that ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// How far its request had been written.
    pub progress: AttemptProgress,
    /// What ended it.
    pub cause: FailureCause,
}

impl FailedAttempt {
    /// Whether the host may have run the request: it begins once the last byte has arrived, never before.
    pub fn may_have_run(self) -> bool {
        self.progress == AttemptProgress::FullyWritten
    }

    fn status(self) -> AttemptStatus {
        if self.may_have_run() {
            return match self.cause {
                FailureCause::TimedOut => AttemptStatus::Timeout,
                FailureCause::WrittenTooLate => AttemptStatus::Withdrawn,
                FailureCause::MalformedResponse => AttemptStatus::Malformed,
                FailureCause::ConnectionLost | FailureCause::NotAttempted => AttemptStatus::Reset,
            };
        }
        match self.cause {
            FailureCause::ConnectionLost | FailureCause::MalformedResponse => AttemptStatus::ConnectFailed,
            FailureCause::TimedOut | FailureCause::NotAttempted | FailureCause::WrittenTooLate => {
                AttemptStatus::NotSent
            }
        }
    }
}

/// What a host's response says, whatever the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseStatus {
    /// Served.
    Served,
    /// The host has the wrong role or is too far behind; the request had no effect.
    Unsuitable,
    /// The host rejected the request; it never ran.
    Rejected,
    /// The host failed; the request may have run.
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
    /// With a response.
    Response {
        /// What it says.
        status: ResponseStatus,
        /// The host's role as it responded.
        role: Option<Role>,
        /// Its log position, or the commit of a write.
        position: Option<Micros>,
    },
    /// Without one.
    NoResponse(FailedAttempt),
}

impl AttemptOutcome {
    /// The status that is reported to the router; nothing else depends on an attempt's progress.
    pub(crate) fn status(self) -> AttemptStatus {
        match self {
            AttemptOutcome::Response { status, .. } => status.status(),
            AttemptOutcome::NoResponse(failed) => failed.status(),
        }
    }

    /// The role and the log position that the host reported.
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
