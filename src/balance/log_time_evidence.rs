//! Who dates a log: the members that call themselves primaries, with answers that prove it.

use super::log_clock::{Change, Offset, HOLD};
use super::open_request::Attempt;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::{LogTimeEvidence, Notice, PositionKind};

/// How closely a log's time should be known, as a part of the least bound on the age of data: until then
/// primaries are probed for it.
const CLOSE: f64 = 0.1;
/// How long ago a primary told where it stands, at least and at most, for its next report to date the log:
/// the report must be newer than that, and what it proves is as wide as the time between.
const REPORT_SOON: Micros = Micros::millis(25);
const REPORT_LATE: Micros = Micros::millis(250);
/// Least time between two such probes.
const LOG_TIME_CHECK_PAUSE: Micros = Micros::millis(100);

impl Router {
    /// What the position in an answer is.
    pub(super) fn position_kind(&self, outcome: &Outcome, attempt: &Attempt) -> PositionKind {
        let class = &self.settings.classes[attempt.class.0];
        if outcome.status != AttemptStatus::Ok || class.consistency != Consistency::Write {
            return PositionKind::Current;
        }
        // A repeat may be dropped and told the commit of the first run, whoever repeats: this router, or the
        // client, which may come by another one.
        let repeatable = matches!(class.idempotency, Idempotency::IdempotencyKey { .. });
        let first = outcome.attempt == AttemptNo(0) && !attempt.repeat && self.settings.clients_mark_retries;
        match first || !repeatable {
            true => PositionKind::NewCommit,
            false => PositionKind::Commit,
        }
    }

    /// Takes in what a primary reports of itself: it proves nothing alone, but may show that its log goes on.
    pub(super) fn observe_primary_report(&mut self, now: Micros, member: MemberId, report: HealthReport) {
        if let (Some(Role::Primary), Some(position)) = (report.role, report.position) {
            let (kind, status) = (PositionKind::Reported, AttemptStatus::Ok);
            let evidence = LogTimeEvidence { member, status, position, kind, sent: now, received: now };
            self.observe_primary(now, evidence);
        }
    }

    /// Probes a primary that has told where it stands, while no log's time is known closely enough.
    pub(super) fn check_primary_for_log_time(&mut self, now: Micros, actions: &mut Actions) {
        let bound = |class: &Class| {
            if let Consistency::BoundedStaleness(bound) = class.consistency {
                Some(bound)
            } else {
                None
            }
        };
        let Some(least) = self.settings.classes.iter().filter_map(bound).min() else { return };
        let close = self.common_clock.known().is_some_and(|known| known.width(now) <= least.scale(CLOSE));
        let rests = now - self.log_time_checked_at < LOG_TIME_CHECK_PAUSE || self.health_check_tokens < 1.0;
        if self.one_clock || !self.settings.health_checks || close || rests {
            return;
        }
        let soon = |id: &MemberId| {
            let member = self
                .members
                .get(id)
                .filter(|member| !member.health_check.is_in_flight() && member.is_usable())?;
            let ago = now - member.log.primary_since()?;
            (REPORT_SOON..REPORT_LATE).contains(&ago).then_some((ago, *id))
        };
        let leaders = self.groups.values().filter_map(|group| group.primary);
        if let Some((_, member)) = leaders.filter_map(|id| soon(&id)).min() {
            self.health_check_tokens -= 1.0;
            self.log_time_checked_at = now;
            self.start_health_check(now, member, actions);
        }
    }

    /// How a family's log time stands to this clock: as its primaries prove, or as those of the others do.
    pub(super) fn offset(&self, group: GroupId) -> Option<Offset> {
        if self.one_clock {
            return Some(Offset::NONE);
        }
        let own = self.groups.get(&group).and_then(|group| group.log_clock.known());
        own.map_or(self.usual_offset, |own| self.within_common(own))
    }

    /// What is proved of a family's log time, closer where the proofs of all families fit.
    pub(super) fn within_common(&self, own: Offset) -> Option<Offset> {
        let common = self.common_clock.known().and_then(|common| common.meet(own));
        Some(common.unwrap_or(own))
    }

    /// The time of a family's log by now at the latest: what a replica shows counts against it. None as long
    /// as nothing is proved of any log.
    pub(super) fn log_now(&self, now: Micros, group: GroupId) -> Option<Micros> {
        let latest = self.offset(group)?.latest(now);
        if self.one_clock {
            return Some(latest);
        }
        let own = self.groups.get(&group).and_then(|group| group.log_clock.latest_in_doubt(now));
        let doubt = own.or_else(|| self.common_clock.latest_in_doubt(now));
        Some(doubt.map_or(latest, |doubt| doubt.max(latest)))
    }

    /// Takes in an answer of a member that calls itself the primary: its log has come to this position, and
    /// if it has moved on, that dates the log.
    pub(super) fn observe_primary(&mut self, now: Micros, answer: LogTimeEvidence) {
        if self.one_clock {
            return;
        }
        let Some(member) = self.members.get_mut(&answer.member) else { return };
        let (id, proof) = (member.group(), member.log.observe_as_primary(&answer));
        let (common, usual) = (&mut self.common_clock, self.usual_offset);
        let Some(group) = self.groups.get_mut(&id) else { return };
        let change = proof.map_or(Change::None, |proof| {
            group.evidence = Some(answer);
            common.prove(proof, Offset::plausible(now));
            group.log_clock.prove(proof, usual.unwrap_or(Offset::plausible(now)))
        });
        let (sent, position) = (answer.sent, answer.position);
        common.reach(sent, now, position);
        group.log_clock.reach(sent, now, position);
        if change != Change::None {
            self.log_time_changed(now, id, change, answer);
        }
    }

    /// What is known of a family's log time is new, or holds no more.
    fn log_time_changed(&mut self, now: Micros, id: GroupId, change: Change, evidence: LogTimeEvidence) {
        let Some(offset) = self.offset(id) else { return };
        self.usual_offset = Some(self.usual_offset.map_or(offset, |usual| usual.hull(offset)));
        let (stepped, bounds) = (change != Change::Learned, offset.bounds());
        self.notify(Notice::LogTime { group: id, stepped, evidence, bounds });
        let Some(group) = self.groups.get_mut(&id) else { return };
        if change == Change::Stepped {
            // Commits and positions of before are on another scale: all that was committed so far has to be
            // seen.
            group.forgotten_commit = offset.latest(now + HOLD);
        }
        for id in &group.members {
            let Some(member) = self.members.get_mut(id) else { continue };
            if change == Change::Stepped || member.log.position().is_some_and(|at| !offset.allows(now, at)) {
                member.log.forget_position();
                member.role.forget_position();
            }
            member.log.recompute_lag(offset.latest(now));
            if change == Change::Learned {
                let started = member.endpoint().started;
                member.slow_start.correct_listed_start(|| offset.local(now, started).min(now));
            }
        }
    }
}
