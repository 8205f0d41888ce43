//! The watch on discovery: which version of the endpoint list is known, the calls that are out, and the time until the
//! next.

use super::answer::{read_answer, BadAnswer};
use super::listing::Listing;
use crate::Micros;

/// How long a call asks discovery to wait for changes.
pub const WATCH_WAIT: Micros = Micros::millis(2_000);
/// A call that has no complete answer for so long after its wait has fallen silent: the next goes out beside it.
pub const SILENCE_TIMEOUT: Micros = Micros::millis(700);
/// Calls in a row that fall silent before the full list is asked for: some 45 s.
pub const MAX_SILENT_CALLS: u64 = 16;
/// A call for the full list without a complete answer for so long is given up.
pub const CALL_TIMEOUT: Micros = Micros::millis(1_500);
/// Least backoff before the next call after one failed: within the 200 ms in which a watch continues.
pub const MIN_BACKOFF: Micros = Micros::millis(100);
/// A change counts as known after so long from when discovery had it and could be reached, received or not.
pub const KNOWN_WITHIN: Micros = Micros::millis(6_000);
/// Time in which the answer of a discovery that can be reached is here and taken in.
pub const ANSWER_TIME: Micros = Micros::millis(200);
/// Longest time from the start of a call that was lost or fell silent to the start of the next. The worst case of a
/// change: it comes right after such a call began (one gap), the next call fails as well (one more), and the third is
/// answered.
pub const CALL_GAP: Micros = Micros::millis(2_900);
/// The same after a call that was rejected, from its end: until then discovery could not be reached. Longer, since a fleet
/// that calls an overloaded discovery too often keeps it so; the call behind it waits for no changes, and is given up as
/// soon as an answer that took as long as a rejection does is due.
pub const REJECTED_GAP: Micros = Micros::millis(3_600);
/// How long the call after one that was rejected may take.
pub const REJECTED_TIMEOUT: Micros = Micros::millis(2_100);
const _: () = assert!(2 * CALL_GAP.0 + ANSWER_TIME.0 <= KNOWN_WITHIN.0);
const _: () = assert!(CALL_TIMEOUT.0 + MIN_BACKOFF.0 <= CALL_GAP.0);
const _: () = assert!(WATCH_WAIT.0 + SILENCE_TIMEOUT.0 + MIN_BACKOFF.0 <= CALL_GAP.0);
const _: () = assert!(REJECTED_GAP.0 + REJECTED_TIMEOUT.0 + MIN_BACKOFF.0 + ANSWER_TIME.0 <= KNOWN_WITHIN.0);
/// Longest backoff after a first failure, for each gateway: a hundred repeat 100 times a second together, then 50 times.
/// From some 150 gateways on the longest backoff binds and they repeat more often.
const BACKOFF_PER_GATEWAY: Micros = Micros::millis(20);
/// Doublings of the backoff.
const MAX_DOUBLINGS: u64 = 2;
/// Lost calls in a row after which the full list is asked for.
const MAX_LOST_CALLS: u64 = 2;

/// Backoff before the next call after so many failures in a row of one among so many gateways; `draw` is an even draw
/// between 0 and 1. Few repeat at once. Many would keep discovery overloaded for as long as they did: they draw from the
/// upper half of a range that grows with their number and doubles, up to the longest backoff.
pub fn backoff(failures: u64, gateways: u32, draw: f64, longest: Micros) -> Micros {
    let range = BACKOFF_PER_GATEWAY.scale(f64::from(gateways));
    if range <= MIN_BACKOFF {
        return MIN_BACKOFF;
    }
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let most = range.scale((1u64 << doublings) as f64).min(longest - MIN_BACKOFF);
    MIN_BACKOFF + most.scale(0.5 + draw / 2.0)
}

/// How a call that brought no list ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// It was never made or was rejected: no change was sent.
    Rejected,
    /// It broke off, was given up or its answer cannot be read: a change may have been sent.
    Lost,
    /// It has fallen silent; it stays out, and may be answered yet.
    Silent,
}

/// The watch: which version is known, the bytes of the answers so far, and what has failed since the last list. Two
/// calls are out at most: the latest, and before it one that has fallen silent. The first answer counts.
/// The silent call is not given up since it is the first to be answered when a discovery that was down comes back: a drain
/// is then known within a short grace.
#[derive(Debug)]
pub struct Watch {
    version: Option<u64>,
    answer: Vec<u8>,
    late_answer: Vec<u8>,
    failures: u64,
    lost: u64,
    silent: u64,
    /// How the last call failed, and what it took of the time in which a change has to be received.
    last_failure: Option<(CallFailure, Micros)>,
}

impl Watch {
    /// A watch that goes on from this version.
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

    /// The version that is known.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Number of calls that have failed in a row.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// The text of the next call.
    pub fn next_request(&mut self, host: &str) -> String {
        self.answer.clear();
        let wait_ms = if self.was_rejected() { 0 } else { WATCH_WAIT.0 / 1000 };
        let query =
            self.version.map(|version| format!("?index={version}&wait={wait_ms}")).unwrap_or_default();
        format!("GET /catalog/members{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
    }

    fn was_rejected(&self) -> bool {
        self.last_failure.is_some_and(|(how, _)| how == CallFailure::Rejected)
    }

    /// How long the latest call may take until it has failed.
    pub fn timeout(&self) -> Micros {
        match self.version {
            _ if self.was_rejected() => REJECTED_TIMEOUT,
            Some(_) => WATCH_WAIT + SILENCE_TIMEOUT,
            None => CALL_TIMEOUT,
        }
    }

    /// The latest call has timed out. It stays out as the silent one, which replaces an earlier one, or is given up. Calls
    /// that do not wait are given up: an overloaded discovery would have them twice.
    pub fn on_timeout(&mut self) -> CallFailure {
        if self.was_rejected() || self.version.is_none() {
            return CallFailure::Lost;
        }
        self.late_answer = std::mem::take(&mut self.answer);
        CallFailure::Silent
    }

    /// Records that a call of one among so many gateways failed after it took `spent`, and returns the time until the
    /// next; `draw` is an even draw between 0 and 1. After two that were lost, or [`MAX_SILENT_CALLS`] that fell silent,
    /// the version is forgotten and the full list asked for; to ask an overloaded discovery for it would only make it
    /// worse. An answer that was lost may have announced a drain already, whose grace then runs, also while further calls
    /// are rejected.
    pub fn on_call_failed(
        &mut self,
        how: CallFailure,
        gateways: u32,
        drain_grace: Micros,
        spent: Micros,
        draw: f64,
    ) -> Micros {
        self.failures += 1;
        self.lost += u64::from(how == CallFailure::Lost);
        self.silent += u64::from(how == CallFailure::Silent);
        let is_version_kept = self.lost < MAX_LOST_CALLS && self.silent < MAX_SILENT_CALLS;
        self.version = self.version.filter(|_| is_version_kept);
        let longest = self.longest_backoff(how, drain_grace, spent);
        let backoff = backoff(self.failures, gateways, draw, longest);
        let taken = if how == CallFailure::Rejected { backoff } else { spent + backoff };
        self.last_failure = Some((how, taken));
        backoff
    }

    fn longest_backoff(&self, how: CallFailure, drain_grace: Micros, spent: Micros) -> Micros {
        let taken_before = self.last_failure.map_or(Micros(0), |(_, taken)| taken);
        let longest = match how {
            CallFailure::Lost | CallFailure::Silent => {
                CALL_GAP.min(KNOWN_WITHIN - ANSWER_TIME - taken_before) - spent
            }
            CallFailure::Rejected => REJECTED_GAP,
        };
        let may_miss_drain = self.lost + self.silent > 0;
        let longest = if may_miss_drain { longest.min(drain_grace.scale(0.5)) } else { longest };
        longest.max(MIN_BACKOFF)
    }

    /// Takes in bytes of the latest call; an endpoint list once the answer is complete. `has_ended`: no more will come.
    pub fn receive(&mut self, bytes: &[u8], has_ended: bool) -> Result<Option<Listing>, BadAnswer> {
        self.answer.extend_from_slice(bytes);
        let listing = read_answer(&self.answer, has_ended)?;
        if let Some(listing) = &listing {
            *self = Watch::from_version(Some(listing.rev));
        }
        Ok(listing)
    }

    /// Takes in bytes of the call that fell silent. What it says counts only if it is newer than what is known: the call
    /// after it asked for that as well, and the older one is of no use any more.
    pub fn receive_late(&mut self, bytes: &[u8], has_ended: bool) -> Result<Option<Listing>, BadAnswer> {
        self.late_answer.extend_from_slice(bytes);
        // What cannot be used is dropped: nobody reads on.
        let answer = read_answer(&self.late_answer, has_ended).inspect_err(|_| self.late_answer = Vec::new());
        let Some(listing) = answer? else { return Ok(None) };
        if self.version.is_some_and(|version| listing.rev <= version) {
            self.late_answer = Vec::new();
            return Err(BadAnswer::NotNewer);
        }
        *self = Watch::from_version(Some(listing.rev));
        Ok(Some(listing))
    }
}
