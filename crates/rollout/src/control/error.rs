//! Why a control server does not accept a proposal. The texts are for the operator.

use std::time::Duration;

use super::store::InvalidDocument;
use crate::history::UnreadableHistory;
use crate::version::Version;

/// Why the value of the register is invalid. Until it is valid again, no version is sent to gateways and no proposal is
/// accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RegisterFault {
    #[error(transparent)]
    Unreadable(#[from] UnreadableHistory),
    #[error("the register has gone back to {} from {known}", display_newest(.newest))]
    WentBack { newest: Option<Version>, known: Version },
    #[error("version {0} of the register is known with another digest")]
    OtherDigest(Version),
    #[error("version number {0} has two digests")]
    TwoDigests(u64),
}

fn display_newest(newest: &Option<Version>) -> String {
    newest.map_or("no version".to_string(), |newest| format!("version {newest}"))
}

/// Why a proposal was not accepted.
#[derive(Debug, thiserror::Error)]
pub(super) enum ProposalError {
    #[error("busy: too many documents wait to be accepted")]
    QueueFull,
    #[error("busy: those before it took too long")]
    QueueTimeout,
    #[error("no change is accepted: {0}")]
    RegisterFault(RegisterFault),
    #[error("no change is accepted: the register holds a value of a later format")]
    UnreadableRegister,
    #[error(transparent)]
    InvalidDocument(#[from] InvalidDocument),
    #[error("this control machine cannot store it")]
    NotStored,
    #[error("too many other versions were accepted since then to tell whether the document became one")]
    OutcomeUnknown,
    #[error("not accepted within {} s: {cause}", .limit.as_secs_f64())]
    Timeout { limit: Duration, cause: TimeoutCause },
}

/// What a proposal was waiting for when it timed out.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub(super) enum TimeoutCause {
    #[error("no control machine of another zone has kept it")]
    NotReplicated,
    #[error("the newest version's document is not here")]
    NewestDocumentMissing,
    #[error("no majority of the voters answered")]
    NoMajority,
    #[error("others came between each time")]
    Contention,
}
