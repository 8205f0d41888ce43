//! Answers of members that call themselves primaries, as evidence of the log's time.

use super::log_clock::{Change, OffsetBounds, MAX_STALL};
use super::member::Member;
use super::open_request::Attempt;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::{LogTimeEvidence, Notice, PositionKind};

/// How closely a log's time should be known, as a part of the least bound on the age of data: until then
/// primaries are checked for it.
const CLOSE: f64 = 0.1;
/// How long ago a primary's log was known to stand at its position, at least and at most, for a report to be
/// evidence: it must be newer than that, and what it proves is as wide as the time between.
const MIN_EVIDENCE_AGE: Micros = Micros::millis(25);
const MAX_EVIDENCE_AGE: Micros = Micros::millis(250);
/// Least time between two such checks.
const LOG_TIME_CHECK_PAUSE: Micros = Micros::millis(100);

impl Router {
    /// What the position in an answer is.
    pub(super) fn position_kind(&self, outcome: &Outcome, attempt: &Attempt) -> PositionKind {
        let class = &self.settings.classes[attempt.class.0];
        if outcome.status != AttemptStatus::Ok || class.consistency != Consistency::Write {
            return PositionKind::Current;
        }
        // A duplicate may be dropped and answered with the commit of the first run, whoever retries: this
        // router, or the client, which may come by another one.
        let may_be_dropped = matches!(class.idempotency, Idempotency::IdempotencyKey { .. });
        let first = outcome.attempt == AttemptNo(0) && !attempt.repeat && self.settings.clients_mark_retries;
        if first || !may_be_dropped {
            PositionKind::NewCommit
        } else {
            PositionKind::Commit
        }
    }

    /// Takes in what a primary reports of itself: it proves nothing alone, but may show that its log
    /// advances.
    pub(super) fn observe_primary_report(&mut self, now: Micros, member: MemberId, report: HealthReport) {
        if let (Some(Role::Primary), Some(position)) = (report.role, report.position) {
            let (kind, status) = (PositionKind::Reported, AttemptStatus::Ok);
            let answer = LogTimeEvidence { member, status, position, kind, sent: now, received: now };
            self.observe_primary(now, answer);
        }
    }

    /// Takes in an answer of a member that calls itself the primary.
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

    /// What is known of a group's log time is new, or no longer holds.
    fn log_time_changed(&mut self, now: Micros, id: GroupId, change: Change, evidence: LogTimeEvidence) {
        let Some(offset) = self.offset(id) else { return };
        self.log_time.include(offset);
        let (stepped, bounds) = (change != Change::Learned, offset.bounds());
        self.notify(Notice::LogTime { group: id, stepped, evidence, bounds });
        let Some(group) = self.groups.get_mut(&id) else { return };
        if change == Change::Stepped {
            // Commits and positions of before are on another scale: all that was committed so far has to be
            // seen.
            group.forgotten_commit = offset.latest(now + MAX_STALL);
        }
        for id in &group.members {
            if let Some(member) = self.members.get_mut(id) {
                adopt_offset(now, member, offset, change);
            }
        }
    }

    /// Checks a primary whose position was learned a short while ago, while no log's time is known closely
    /// enough.
    pub(super) fn check_primary_for_log_time(&mut self, now: Micros, actions: &mut Actions) {
        let Some(bound) = self.settings.min_staleness_bound() else { return };
        let resting = now - self.log_time_checked_at < LOG_TIME_CHECK_PAUSE || self.health_check_tokens < 1.0;
        let needless =
            self.log_time.is_same_clock() || self.log_time.is_known_within(now, bound.scale(CLOSE));
        if needless || resting || !self.settings.health_checks {
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

    /// How long ago a primary's log was known to stand at its position, if a check of it may prove something.
    fn evidence_age(&self, now: Micros, id: MemberId) -> Option<Micros> {
        let member = self.members.get(&id)?;
        let age = now - member.log.primary_since()?;
        let may_be_checked = !member.health_check.is_in_flight() && member.is_usable();
        (may_be_checked && (MIN_EVIDENCE_AGE..MAX_EVIDENCE_AGE).contains(&age)).then_some(age)
    }
}

/// Brings what is known of a member into line with a log time that has changed.
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
