//! Health checks: which members are checked periodically, within the budget that requests provide, and how
//! the result of any check is used.

use super::housekeeping::MIN_HEALTH_CHECK_INTERVAL;
use super::member::Member;
use super::{Actions, Router};
use crate::api::*;

/// A member whose health may be checked. Candidates sort in the order of their checks: members with connect
/// failures come first; among equals, the member whose last contact is the longest ago.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HealthCheckCandidate {
    is_routine: bool,
    last_contact_at: Micros,
    member: MemberId,
}

impl HealthCheckCandidate {
    /// The member, if its health may be checked: because its connections broke, or because members do not
    /// check reads themselves.
    pub fn new(
        now: Micros,
        id: MemberId,
        member: &Member,
        settings: &Settings,
    ) -> Option<HealthCheckCandidate> {
        let is_routine = !member.outlier.has_connect_failures();
        let last_contact_at = member.health_check.last_started_at().max(member.log.updated_at());
        let needed = !is_routine || settings.replica_checks == ReplicaChecks::None;
        let interval_passed =
            !member.health_check.is_in_flight() && now - last_contact_at >= MIN_HEALTH_CHECK_INTERVAL;
        let candidate = HealthCheckCandidate { is_routine, last_contact_at, member: id };
        (needed && interval_passed && settings.health_checks).then_some(candidate)
    }
}

impl Router {
    /// Starts the health checks that are due, as long as there are tokens.
    pub(super) fn start_due_health_checks(&mut self, now: Micros, actions: &mut Actions) {
        for candidate in std::mem::take(&mut self.due_health_checks) {
            if self.health_check_tokens < 1.0 {
                return;
            }
            self.health_check_tokens -= 1.0;
            self.start_health_check(now, candidate.member, actions);
        }
    }

    /// Starts a health check of a member. Takes no token: callers whose checks are bounded by tokens take one
    /// themselves.
    pub(super) fn start_health_check(&mut self, now: Micros, id: MemberId, actions: &mut Actions) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.health_check.start(now);
        actions.push(Action::HealthCheck { member: id });
    }

    /// Processes the result of a health check.
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
                self.schedule_sweep(now, actions);
            }
            _ => {}
        }
    }
}
