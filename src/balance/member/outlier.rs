//! Outlier detection: ejects members whose connections fail.

use crate::api::Micros;

/// Number of consecutive connection failures that eject a member.
const EJECT_AFTER_FAILURES: u32 = 2;
/// Time after which a request is sent to an ejected member, and after which a response counts as a sign of a
/// restart.
const EJECTION_TIME: Micros = Micros::millis(1000);
/// Maximum number of doublings of the ejection time: members that recover do so within tens of seconds.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// A connection failure since which the member has not responded.
#[derive(Clone, Copy)]
pub struct BrokenConnection {
    pub(super) since: Micros,
    /// Whether a connection was reset, as happens when a process dies.
    pub(super) was_reset: bool,
}

/// The state of a member's outlier detection.
#[derive(Default)]
pub struct OutlierDetection {
    /// Consecutive connection failures since the member last answered a request.
    pub(super) consecutive_connect_failures: u32,
    pub(super) broken_connection: Option<BrokenConnection>,
    /// Whether the member has not responded since an attempt was sent that remained unanswered.
    pub(super) unresponsive: bool,
    pub(super) last_response_at: Micros,
    pub(super) ejected_at: Option<Micros>,
}

impl OutlierDetection {
    /// Whether the member is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejected_at.is_some()
    }

    /// Whether the member has not responded since an unanswered attempt was sent.
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Whether the member's connections have failed since it last answered a request.
    pub fn has_connect_failures(&self) -> bool {
        self.consecutive_connect_failures > 0
    }

    /// Whether the member has failed so often that it is removed once it is not listed as ready.
    pub fn is_lost(&self) -> bool {
        self.consecutive_connect_failures > EJECT_AFTER_FAILURES + MAX_EJECTION_DOUBLINGS
    }

    /// Records that a connection broke or could not be made. A single failure is weak evidence: a full
    /// connection table, a slow link or a lost answer breaks connections to healthy members too, while a dead
    /// process breaks the next connection as well.
    pub fn connection_failed(&mut self, now: Micros, was_reset: bool) {
        self.consecutive_connect_failures += 1;
        let before = self.broken_connection.unwrap_or(BrokenConnection { since: now, was_reset: false });
        let was_reset = before.was_reset || was_reset;
        self.broken_connection = Some(BrokenConnection { was_reset, ..before });
        if self.consecutive_connect_failures >= EJECT_AFTER_FAILURES {
            self.ejected_at = Some(now);
        }
    }

    /// Records a health check without an answer: it counts at least as the second failure.
    pub fn health_check_failed(&mut self, now: Micros) {
        self.consecutive_connect_failures = self.consecutive_connect_failures.max(1);
        self.connection_failed(now, false);
    }

    /// Records a response. Returns whether the member has probably been restarted: a connection was reset,
    /// and it did not respond for longer than the ejection time.
    pub fn responded(&mut self, now: Micros) -> bool {
        self.ejected_at = None;
        (self.unresponsive, self.last_response_at) = (false, now);
        let broken = self.broken_connection.take();
        broken.is_some_and(|broken| broken.was_reset && now - broken.since > EJECTION_TIME)
    }

    /// Records that the member has accepted a session. One that does so this soon after a connection broke
    /// has not been restarted. Whether it answers requests is not known yet.
    pub fn accepted_session(&mut self, now: Micros) {
        self.broken_connection = self.broken_connection.filter(|broken| now - broken.since > EJECTION_TIME);
    }

    /// Records that the member has answered a request.
    pub fn answered_request(&mut self) {
        self.consecutive_connect_failures = 0;
    }

    /// Records an attempt that remained unanswered for `waited`. The member is unresponsive if it has not
    /// responded to anything else since the attempt was sent.
    pub fn went_unanswered(&mut self, now: Micros, waited: Micros) {
        self.unresponsive |= now - self.last_response_at >= waited;
    }

    /// Readmits an ejected member after a pause, so that a request is sent to it. The pause grows with
    /// further failures, and with the number of gateways so that they do not all try at once. `limit_share`
    /// is this gateway's share of the usual limits.
    pub fn readmit_when_due(&mut self, now: Micros, limit_share: f64) {
        let failures = self.consecutive_connect_failures;
        let doublings = failures.saturating_sub(EJECT_AFTER_FAILURES).min(MAX_EJECTION_DOUBLINGS);
        let pause = EJECTION_TIME.scale(f64::from(1 << doublings) / limit_share.sqrt());
        self.ejected_at = self.ejected_at.filter(|since| now - *since <= pause);
    }

    /// Forgets failures, because the list names a later start: they were those of the previous process.
    pub fn forget_failures(&mut self) {
        (self.ejected_at, self.consecutive_connect_failures, self.unresponsive) = (None, 0, false);
    }
}
