//! Discovery: the endpoint list in the JSON format of the discovery service, the directory of hosts built from it, and
//! the watch that keeps it up to date. The watch is driven by bytes; the event loop owns its socket.

mod answer;
mod directory;
mod listing;
mod watch;

pub use answer::AnswerError;
pub use directory::Directory;
pub use listing::EndpointList;
pub use watch::{
    backoff, CallFailure, Watch, ANSWER_TIME, CALL_GAP, CALL_TIMEOUT, KNOWN_WITHIN, MAX_SILENT_CALLS,
    MIN_BACKOFF, REJECTED_GAP, REJECTED_TIMEOUT, SILENCE_TIMEOUT, WATCH_WAIT,
};
