//! Health checks: which members are checked, as far as the requests served pay for it, and what a check
//! shows.

use super::housekeeping::HEALTH_CHECK_PAUSE;
use super::member::Member;
use super::{Actions, Router};
use crate::api::*;

/// A member whose health may be checked. In order: those whose connections broke first, then the one that was
/// heard of longest ago.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HealthCheckCandidate {
    is_routine: bool,
    last_heard_at: Micros,
    member: MemberId,
}

impl HealthCheckCandidate {
    /// The member, if its health may be checked: when its connections broke, and where members do not check
    /// reads themselves.
    pub fn new(
        now: Micros,
        id: MemberId,
        member: &Member,
        settings: &Settings,
    ) -> Option<HealthCheckCandidate> {
        let is_routine = !member.outlier.has_connect_failures();
        let last_heard_at = member.health_check.last_started_at().max(member.log.updated_at());
        let needed = !is_routine || settings.replica_checks == ReplicaChecks::None;
        let rested = !member.health_check.is_in_flight() && now - last_heard_at >= HEALTH_CHECK_PAUSE;
        let candidate = HealthCheckCandidate { is_routine, last_heard_at, member: id };
        (needed && rested && settings.health_checks).then_some(candidate)
    }
}

impl Router {
    /// Starts the health checks that are due, as far as they are paid for.
    pub(super) fn start_due_health_checks(&mut self, now: Micros, actions: &mut Actions) {
        for candidate in std::mem::take(&mut self.due_health_checks) {
            if self.health_check_tokens < 1.0 {
                return;
            }
            self.health_check_tokens -= 1.0;
            self.start_health_check(now, candidate.member, actions);
        }
    }

    /// Starts a health check of a member.
    pub(super) fn start_health_check(&mut self, now: Micros, id: MemberId, actions: &mut Actions) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.health_check.start(now);
        actions.push(Action::HealthCheck { member: id });
    }

    /// A health check has ended.
    pub(super) fn health_checked(
        &mut self,
        now: Micros,
        id: MemberId,
        status: AttemptStatus,
        report: HealthReport,
        actions: &mut Actions,
    ) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.health_check.finish();
        let group = member.group();
        match status {
            AttemptStatus::Ok => {
                self.member_responded(now, id);
                self.observe_primary_report(now, id, report);
                self.observe_report(now, id, report);
                self.send_waiting(now, group, actions);
            }
            AttemptStatus::ConnectFailed | AttemptStatus::Reset | AttemptStatus::Timeout => {
                member.outlier.health_check_failed(now);
                self.sweep_by(now, actions);
            }
            _ => {}
        }
    }
}
