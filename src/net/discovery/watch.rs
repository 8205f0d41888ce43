//! The watch on discovery: the known version of the endpoint list, the calls in flight, and the time until the next
//! call.

use super::answer::{read_answer, AnswerError};
use super::listing::EndpointList;
use crate::Micros;

/// Time for which a call asks discovery to wait for changes (long polling).
pub const WATCH_WAIT: Micros = Micros::millis(2_000);
/// A call without a complete answer this long after its wait counts as silent: it stays open, and the next call starts.
pub const SILENCE_TIMEOUT: Micros = Micros::millis(700);
/// Number of silent calls since the last list after which the full list is requested: about 45 s.
pub const MAX_SILENT_CALLS: u64 = 16;
/// A call for the full list is abandoned if it has no complete answer after this time.
pub const CALL_TIMEOUT: Micros = Micros::millis(1_500);
/// Shortest backoff before the next call after a failure, and the only one of a fleet of at most five gateways. It is
/// shorter than the 200 ms within which a watch has to continue.
pub const MIN_BACKOFF: Micros = Micros::millis(100);
/// Time after which a change counts as known, whether it was received or not. It is counted from when discovery has the
/// change and is reachable.
pub const KNOWN_WITHIN: Micros = Micros::millis(6_000);
/// Time in which the answer of a reachable discovery service is received and applied.
pub const ANSWER_TIME: Micros = Micros::millis(200);
/// Longest time from the start of a lost or silent call to the start of the next call. In the worst case a change
/// happens right after such a call began (one gap), the next call fails as well (a second gap), and the third call is
/// answered.
pub const CALL_GAP: Micros = Micros::millis(2_900);
/// Longest backoff after a rejected call or one that could not be made. It is counted from the end of that call, since
/// discovery counts as unreachable until then. It is longer than [`CALL_GAP`], since a fleet that calls an overloaded
/// discovery service too often keeps it overloaded.
pub const REJECTED_GAP: Micros = Micros::millis(3_600);
/// Timeout of the call after a rejected one: the time in which an answer that takes as long as a rejection is due. The
/// call does not wait for changes.
pub const REJECTED_TIMEOUT: Micros = Micros::millis(2_100);
const _: () = assert!(2 * CALL_GAP.0 + ANSWER_TIME.0 <= KNOWN_WITHIN.0);
const _: () = assert!(CALL_TIMEOUT.0 + MIN_BACKOFF.0 <= CALL_GAP.0);
const _: () = assert!(WATCH_WAIT.0 + SILENCE_TIMEOUT.0 + MIN_BACKOFF.0 <= CALL_GAP.0);
const _: () = assert!(REJECTED_GAP.0 + REJECTED_TIMEOUT.0 + MIN_BACKOFF.0 + ANSWER_TIME.0 <= KNOWN_WITHIN.0);
/// Backoff range after a first failure, per gateway of the fleet. The backoff is at least half of the range, so 100
/// gateways together retry at most 100 times a second after a first failure, and about 50 times after the next ones.
/// From about 150 gateways on, the longest backoff limits the range after a first failure too, and the fleet retries
/// more often.
const BACKOFF_PER_GATEWAY: Micros = Micros::millis(20);
/// Largest number of times that the backoff range doubles.
const MAX_DOUBLINGS: u64 = 2;
/// Number of lost calls since the last list after which the full list is requested.
const MAX_LOST_CALLS: u64 = 2;

/// Backoff before the next call after `failures` consecutive failures, in a fleet of `gateways`; `draw` is a uniform
/// random number between 0 and 1. A few gateways retry after [`MIN_BACKOFF`]. Many gateways would keep discovery
/// overloaded if they did so: each adds a draw from the upper half of a range that grows with the number of gateways
/// and doubles with each failure, up to the longest backoff `max`.
pub fn backoff(failures: u64, gateways: u32, draw: f64, max: Micros) -> Micros {
    let range = BACKOFF_PER_GATEWAY.scale(f64::from(gateways));
    if range <= MIN_BACKOFF {
        return MIN_BACKOFF;
    }
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let doubled_range = range.scale((1u64 << doublings) as f64).min(max - MIN_BACKOFF);
    MIN_BACKOFF + doubled_range.scale(0.5 + draw / 2.0)
}

/// Why a call returned no endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The call was never made or was rejected: no change was sent.
    Rejected,
    /// The connection was lost, the call was abandoned or its answer is invalid: a change may have been sent.
    Lost,
    /// The call is silent; it stays open and may still be answered.
    Silent,
}

/// The watch: the known version, the bytes of the answers so far, and the failures since the last list. At most two
/// calls are in flight: the latest, and an earlier one that is silent. The first answer counts.
///
/// The silent call is not abandoned, since it is the first to be answered when a discovery service that was down comes
/// back: a drain is then known within a short grace period.
#[derive(Debug)]
pub struct Watch {
    version: Option<u64>,
    answer: Vec<u8>,
    late_answer: Vec<u8>,
    failures: u64,
    lost: u64,
    silent: u64,
    /// How the last call failed, and how much it used of the time in which a change has to be received.
    last_failure: Option<(CallFailure, Micros)>,
}

impl Watch {
    /// A watch that continues from a version; `None` requests the full list.
    pub fn from_version(version: Option<u64>) -> Self {
        Watch {
            version,
            answer: Vec::new(),
            late_answer: Vec::new(),
            failures: 0,
            lost: 0,
            silent: 0,
            last_failure: None,
        }
    }

    /// The version of the last endpoint list; `None` until one is received, and when the full list is to be requested.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Number of consecutive failed calls.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// The HTTP request of the next call.
    pub fn next_request(&mut self, host: &str) -> String {
        self.answer.clear();
        let wait_ms = if self.was_rejected() { 0 } else { WATCH_WAIT.0 / 1000 };
        let query =
            self.version.map(|version| format!("?index={version}&wait={wait_ms}")).unwrap_or_default();
        format!("GET /catalog/members{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
    }

    fn was_rejected(&self) -> bool {
        self.last_failure.is_some_and(|(failure, _)| failure == CallFailure::Rejected)
    }

    /// Time after which the latest call has failed.
    pub fn timeout(&self) -> Micros {
        match self.version {
            _ if self.was_rejected() => REJECTED_TIMEOUT,
            Some(_) => WATCH_WAIT + SILENCE_TIMEOUT,
            None => CALL_TIMEOUT,
        }
    }

    /// Handles a timeout of the latest call. The call either stays open as the silent one, in place of an earlier
    /// silent call, or is abandoned. Calls that do not wait for changes are abandoned: an overloaded discovery service
    /// would otherwise have to serve them twice.
    pub fn on_timeout(&mut self) -> CallFailure {
        if self.was_rejected() || self.version.is_none() {
            return CallFailure::Lost;
        }
        self.late_answer = std::mem::take(&mut self.answer);
        CallFailure::Silent
    }

    /// Records that a call failed after `duration`, in a fleet of `gateways`, and returns the time until the next call;
    /// `draw` is a uniform random number between 0 and 1.
    ///
    /// After two lost calls, or [`MAX_SILENT_CALLS`] silent ones, the version is dropped and the full list is
    /// requested. Rejected calls do not lead to that, since requesting the full list from an overloaded discovery
    /// service would make the overload worse. A lost answer may already have announced a drain, whose grace period then
    /// runs, also while further calls are rejected.
    pub fn on_call_failed(
        &mut self,
        failure: CallFailure,
        gateways: u32,
        drain_grace: Micros,
        duration: Micros,
        draw: f64,
    ) -> Micros {
        self.failures += 1;
        self.lost += u64::from(failure == CallFailure::Lost);
        self.silent += u64::from(failure == CallFailure::Silent);
        let is_version_kept = self.lost < MAX_LOST_CALLS && self.silent < MAX_SILENT_CALLS;
        self.version = self.version.filter(|_| is_version_kept);
        let max_backoff = self.max_backoff(failure, drain_grace, duration);
        let backoff = backoff(self.failures, gateways, draw, max_backoff);
        let time_used = if failure == CallFailure::Rejected { backoff } else { duration + backoff };
        self.last_failure = Some((failure, time_used));
        backoff
    }

    /// Longest backoff after this failure. The next call must begin early enough for a change to be received within
    /// [`KNOWN_WITHIN`]. If a failed call may have announced a drain, the limit is half of the drain's grace period.
    fn max_backoff(&self, failure: CallFailure, drain_grace: Micros, duration: Micros) -> Micros {
        let used_before = self.last_failure.map_or(Micros(0), |(_, time_used)| time_used);
        let max_backoff = match failure {
            CallFailure::Lost | CallFailure::Silent => {
                CALL_GAP.min(KNOWN_WITHIN - ANSWER_TIME - used_before) - duration
            }
            CallFailure::Rejected => REJECTED_GAP,
        };
        let may_miss_drain = self.lost + self.silent > 0;
        let max_backoff = if may_miss_drain { max_backoff.min(drain_grace.scale(0.5)) } else { max_backoff };
        max_backoff.max(MIN_BACKOFF)
    }

    /// Adds received bytes of the latest call; returns the endpoint list once the answer is complete. `has_ended` says
    /// that no more bytes will come.
    pub fn receive(&mut self, bytes: &[u8], has_ended: bool) -> Result<Option<EndpointList>, AnswerError> {
        self.answer.extend_from_slice(bytes);
        let listing = read_answer(&self.answer, has_ended)?;
        if let Some(listing) = &listing {
            *self = Watch::from_version(Some(listing.rev));
        }
        Ok(listing)
    }

    /// Adds received bytes of the silent call. Its list counts only if it is newer than the known version. Otherwise
    /// the later call has already returned that version, and the silent one is of no more use.
    pub fn receive_late(
        &mut self,
        bytes: &[u8],
        has_ended: bool,
    ) -> Result<Option<EndpointList>, AnswerError> {
        self.late_answer.extend_from_slice(bytes);
        // An invalid answer is dropped: no more of it is read.
        let answer = read_answer(&self.late_answer, has_ended).inspect_err(|_| self.late_answer = Vec::new());
        let Some(listing) = answer? else { return Ok(None) };
        if self.version.is_some_and(|version| listing.rev <= version) {
            self.late_answer = Vec::new();
            return Err(AnswerError::NotNewer);
        }
        *self = Watch::from_version(Some(listing.rev));
        Ok(Some(listing))
    }
}
