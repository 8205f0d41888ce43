//! Answers of members that claim to be primaries, as evidence of the log time.

use super::log_clock::{Change, OffsetBounds, MAX_STALL};
use super::member::Member;
use super::open_request::Attempt;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::{LogTimeEvidence, Notice, PositionKind};

/// Required accuracy of the log time, as a fraction of the smallest staleness bound: until it is reached,
/// primaries' health is checked to improve it.
const LOG_TIME_ACCURACY_FRACTION: f64 = 0.1;
/// Limits of the age of a primary's last known position for a health check to be useful. The position in the
/// answer must have advanced since, and the bounds that follow are as wide as the time between the two.
const MIN_EVIDENCE_AGE: Micros = Micros::millis(25);
const MAX_EVIDENCE_AGE: Micros = Micros::millis(250);
/// Minimum time between two health checks of primaries for the log time.
const LOG_TIME_CHECK_INTERVAL: Micros = Micros::millis(100);

impl Router {
    /// The meaning of the position in an answer.
    pub(super) fn position_kind(&self, outcome: &Outcome, attempt: &Attempt) -> PositionKind {
        let class = &self.settings.classes[attempt.class.0];
        if outcome.status != AttemptStatus::Ok || class.consistency != Consistency::Write {
            return PositionKind::Current;
        }
        // A duplicate may be dropped and answered with the commit of the first execution. Both this router
        // and the client may retry, and the client may do so through another gateway.
        let may_be_dropped = matches!(class.idempotency, Idempotency::IdempotencyKey { .. });
        let first = outcome.attempt == AttemptNo(0) && !attempt.repeat && self.settings.clients_mark_retries;
        if first || !may_be_dropped {
            PositionKind::NewCommit
        } else {
            PositionKind::Commit
        }
    }

    /// Records a primary's health report. A report is no proof by itself, but may show that the primary's log
    /// has advanced.
    pub(super) fn observe_primary_report(&mut self, now: Micros, member: MemberId, report: HealthReport) {
        if let (Some(Role::Primary), Some(position)) = (report.role, report.position) {
            let (kind, status) = (PositionKind::Reported, AttemptStatus::Ok);
            let answer = LogTimeEvidence { member, status, position, kind, sent: now, received: now };
            self.observe_primary(now, answer);
        }
    }

    /// Records an answer of a member that claims to be the primary.
    pub(super) fn observe_primary(&mut self, now: Micros, answer: LogTimeEvidence) {
        if self.log_time.is_same_clock() {
            return;
        }
        let Some(member) = self.members.get_mut(&answer.member) else { return };
        let (id, proof) = (member.group(), member.log.observe_as_primary(&answer));
        let Some(group) = self.groups.get_mut(&id) else { return };
        let change = self.log_time.observe(now, group, &answer, proof);
        if change != Change::None {
            self.log_time_changed(now, id, change, answer);
        }
    }

    /// Applies a group's log time that was learned or replaced to the group and its members.
    fn log_time_changed(&mut self, now: Micros, id: GroupId, change: Change, evidence: LogTimeEvidence) {
        let Some(offset) = self.offset(id) else { return };
        self.log_time.include(offset);
        let (stepped, bounds) = (change != Change::Learned, offset.bounds());
        self.notify(Notice::LogTime { group: id, stepped, evidence, bounds });
        let Some(group) = self.groups.get_mut(&id) else { return };
        if change == Change::Stepped {
            // Earlier commits and positions are times of the clock before the step and cannot be compared:
            // reads of sessions must see all commits so far.
            group.forgotten_commit = offset.latest(now + MAX_STALL);
        }
        for id in &group.members {
            if let Some(member) = self.members.get_mut(id) {
                adopt_offset(now, member, offset, change);
            }
        }
    }

    /// Checks the health of a primary whose position was learned recently, while the log time is not accurate
    /// enough.
    pub(super) fn check_primary_for_log_time(&mut self, now: Micros, actions: &mut Actions) {
        let Some(bound) = self.settings.min_staleness_bound() else { return };
        let throttled =
            now - self.log_time_checked_at < LOG_TIME_CHECK_INTERVAL || self.health_check_tokens < 1.0;
        let unneeded = self.log_time.is_same_clock()
            || self.log_time.is_known_within(now, bound.scale(LOG_TIME_ACCURACY_FRACTION));
        if unneeded || throttled || !self.settings.health_checks {
            return;
        }
        let primaries = self.groups.values().filter_map(|group| group.primary);
        let candidates = primaries.filter_map(|id| Some((self.evidence_age(now, id)?, id)));
        if let Some((_, member)) = candidates.min() {
            self.health_check_tokens -= 1.0;
            self.log_time_checked_at = now;
            self.start_health_check(now, member, actions);
        }
    }

    /// The age of a primary's last known position, if a health check now may yield a proof.
    fn evidence_age(&self, now: Micros, id: MemberId) -> Option<Micros> {
        let member = self.members.get(&id)?;
        let age = now - member.log.primary_since()?;
        let may_be_checked = !member.health_check.is_in_flight() && member.is_usable();
        (may_be_checked && (MIN_EVIDENCE_AGE..MAX_EVIDENCE_AGE).contains(&age)).then_some(age)
    }
}

/// Updates a member's position, lag and listed start for a log time that has changed.
fn adopt_offset(now: Micros, member: &mut Member, offset: OffsetBounds, change: Change) {
    let impossible = |position| !offset.allows(now, position);
    if change == Change::Stepped || member.log.position().is_some_and(impossible) {
        member.log.forget_position();
        member.role.forget_position();
    }
    member.log.recompute_lag(offset.latest(now));
    if change == Change::Learned {
        let started = member.endpoint().started;
        member.slow_start.correct_listed_start(|| offset.local_latest(now, started).min(now));
    }
}
