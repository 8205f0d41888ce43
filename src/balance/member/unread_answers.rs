//! Whether a member may have stated another role in an answer that was not read.

use crate::api::{AttemptNo, Micros, RequestId};

/// Time after the write of an answer from which on what it tells counts as known.
const KNOWN_AFTER: Micros = Micros::millis(100);
/// Time between two reads that are to confirm the role.
const MIN_CONFIRMATION_INTERVAL: Micros = Micros::millis(100);

/// An attempt whose answer is to confirm the role of the member that it is sent to.
#[derive(Clone, Copy)]
struct Confirmation {
    request: RequestId,
    attempt: AttemptNo,
    sent: Micros,
}

/// The answers of a member that were read or left unread, as far as the member's role depends on them.
#[derive(Default)]
pub struct UnreadAnswers {
    /// The latest answer that states the role was written at this time or later.
    stated_at: Micros,
    /// Answers that will not be read may have been written until then.
    unread_until: Micros,
    /// Number of connections whose answer is not read at present.
    paused: u32,
    /// The last attempt whose answer was to confirm the role.
    confirmation: Option<Confirmation>,
}

impl UnreadAnswers {
    /// Records an answer with a role that was written at `at` or later.
    pub fn role_stated(&mut self, at: Micros) {
        self.stated_at = self.stated_at.max(at);
    }

    /// Records that an answer will not be read, which may be written until `until`.
    pub fn left_unread(&mut self, until: Micros) {
        self.unread_until = self.unread_until.max(until);
    }

    /// Records that reading an answer was paused, or that it was resumed or ended.
    pub fn set_paused(&mut self, is_paused: bool) {
        self.paused = if is_paused { self.paused + 1 } else { self.paused.saturating_sub(1) };
    }

    /// Whether the last known role may be relied on: no later answer that counts as known was left unread, or
    /// was read by another process of this gateway, if there is one.
    pub fn is_role_current(&self, now: Micros, has_other_process: bool) -> bool {
        let counts_as_known = now - KNOWN_AFTER;
        let may_be_unread = self.paused > 0 || has_other_process;
        let unread_until = if may_be_unread { counts_as_known } else { self.unread_until };
        self.stated_at >= unread_until.min(counts_as_known)
    }

    /// Whether a health report may confirm the role. Reports are some time old when they are made, so that
    /// none confirms it while an answer may be left unread at any moment.
    pub fn may_report_confirm(&self, now: Micros, has_other_process: bool) -> bool {
        self.paused == 0 && !has_other_process && self.unread_until <= now
    }

    /// Records that the answer to an attempt of a read, which is sent at `now`, is to confirm the role.
    pub fn confirm_by(&mut self, request: RequestId, attempt: AttemptNo, now: Micros) {
        self.confirmation = Some(Confirmation { request, attempt, sent: now });
    }

    /// Whether a read may be sent to confirm the role, as far as the last such read is concerned.
    pub fn may_confirm(&self, now: Micros) -> bool {
        self.confirmation.is_none_or(|last| now - last.sent >= MIN_CONFIRMATION_INTERVAL)
    }

    /// Whether this attempt was the last whose answer was to confirm the role.
    pub fn is_confirmed_by(&self, request: RequestId, attempt: AttemptNo) -> bool {
        self.confirmation.is_some_and(|last| (last.request, last.attempt) == (request, attempt))
    }
}
