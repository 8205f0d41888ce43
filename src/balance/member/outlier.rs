//! Outlier detection: which members are ejected because their connections break.

use crate::api::Micros;

/// Connection failures in a row that eject a member.
const EJECT_AFTER_FAILURES: u32 = 2;
/// Time after which an ejected member is tried by a request, and a return counts as a restart.
const EJECTION_TIME: Micros = Micros::millis(1000);
/// Doublings of the ejection time, at most: members that come back do so within tens of seconds.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// A connection of the member has broken and it has not responded since.
#[derive(Clone, Copy)]
pub struct BrokenConnection {
    pub(super) since: Micros,
    /// One was reset, as by a process that died.
    pub(super) was_reset: bool,
}

/// A member's failures to respond.
#[derive(Default)]
pub struct OutlierDetection {
    /// Connections refused or reset in a row since a request was last answered.
    pub(super) consecutive_connect_failures: u32,
    pub(super) broken_connection: Option<BrokenConnection>,
    /// It has not responded since an attempt was sent that went without an answer.
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

    /// Whether the member has failed for so long that it is forgotten once it is not listed as ready.
    pub fn is_lost(&self) -> bool {
        self.consecutive_connect_failures > EJECT_AFTER_FAILURES + MAX_EJECTION_DOUBLINGS
    }

    /// A connection broke or could not be made. One says little: a full table, a slow link and a lost answer
    /// break connections to sound members too; a dead process breaks the next one as well.
    pub fn connection_failed(&mut self, now: Micros, was_reset: bool) {
        self.consecutive_connect_failures += 1;
        let before = self.broken_connection.unwrap_or(BrokenConnection { since: now, was_reset: false });
        let was_reset = before.was_reset || was_reset;
        self.broken_connection = Some(BrokenConnection { was_reset, ..before });
        if self.consecutive_connect_failures >= EJECT_AFTER_FAILURES {
            self.ejected_at = Some(now);
        }
    }

    /// A health check went without an answer: it counts as the second failure at least.
    pub fn health_check_failed(&mut self, now: Micros) {
        self.consecutive_connect_failures = self.consecutive_connect_failures.max(1);
        self.connection_failed(now, false);
    }

    /// The member has responded. Whether it has most likely been restarted meanwhile: it was gone for long.
    pub fn responded(&mut self, now: Micros) -> bool {
        self.ejected_at = None;
        (self.unresponsive, self.last_response_at) = (false, now);
        let broken = self.broken_connection.take();
        broken.is_some_and(|broken| broken.was_reset && now - broken.since > EJECTION_TIME)
    }

    /// The member has answered a request.
    pub fn answered_request(&mut self) {
        self.consecutive_connect_failures = 0;
    }

    /// An attempt went without an answer, and nothing else came since it was sent.
    pub fn went_unanswered(&mut self, now: Micros, waited: Micros) {
        self.unresponsive |= now - self.last_response_at >= waited;
    }

    /// Lets an ejected member get a request now and then: ever more seldom, and from many gateways not at
    /// once. `limit_share` is this gateway's part of the usual limits.
    pub fn readmit_when_due(&mut self, now: Micros, limit_share: f64) {
        let failures = self.consecutive_connect_failures;
        let doublings = failures.saturating_sub(EJECT_AFTER_FAILURES).min(MAX_EJECTION_DOUBLINGS);
        let pause = EJECTION_TIME.scale(f64::from(1 << doublings) / limit_share.sqrt());
        self.ejected_at = self.ejected_at.filter(|since| now - *since <= pause);
    }

    /// The list names a later start: the failures were those of the process before.
    pub fn forget_failures(&mut self) {
        (self.ejected_at, self.consecutive_connect_failures, self.unresponsive) = (None, 0, false);
    }
}
