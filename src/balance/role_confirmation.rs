//! Whether a group's primary may be relied on for a read, and how its role is confirmed where it may not.
//!
//! An answer in which the primary has stated another role may have been left unread, or may have been read by
//! another process of this gateway.

use super::choice::is_check_due;
use super::{Actions, Router};
use crate::api::*;

impl Router {
    /// The group's primary, if it is known and usable, and may be relied on for this request.
    pub(super) fn primary_for(&self, now: Micros, request: &Request) -> Option<MemberId> {
        let primary = self.primary(request.group)?;
        let unread_answers = &self.members.get(&primary)?.unread_answers;
        let is_reliable = !self.needs_current_role(request.class)
            || unread_answers.is_role_current(now, self.has_other_process)
            || self.is_confirming_read(request.id);
        is_reliable.then_some(primary)
    }

    /// Whether requests of this class rely on the primary's role only while no later answer is unread.
    fn needs_current_role(&self, class: ClassId) -> bool {
        match self.settings.classes[class.0].consistency {
            // Each commit that this gateway knows was made at the member that last claimed to be the primary.
            Consistency::Session => self.settings.session_tokens == SessionTokens::Carried,
            Consistency::Write | Consistency::Eventual => false,
            Consistency::BoundedStaleness(_) | Consistency::Strong => true,
        }
    }

    /// Has the role of a group's primary confirmed if it cannot be relied on, so that reads that wait for it
    /// can be sent: by a health check or, if none may be started or is of use, by the answer to the read of
    /// this id.
    /// Returns the primary if the read is to be sent to it.
    pub(super) fn confirm_primary(
        &mut self,
        now: Micros,
        id: RequestId,
        group: GroupId,
        actions: &mut Actions,
    ) -> Option<MemberId> {
        let primary = self.primary(group)?;
        let member = &self.members[&primary];
        let is_current = member.unread_answers.is_role_current(now, self.has_other_process);
        if is_current || member.health_check.is_in_flight() {
            return None;
        }
        let is_useful = member.unread_answers.may_report_confirm(now, self.has_other_process);
        let has_token = self.settings.health_checks && self.health_check_tokens >= 1.0;
        if is_useful && has_token && is_check_due(now, member) {
            self.health_check_tokens -= 1.0;
            self.start_health_check(now, primary, actions);
            return None;
        }
        if !self.may_confirm(now, id, primary) {
            return None;
        }
        let attempt = AttemptNo(self.open_requests.get(&id)?.attempts);
        self.members.get_mut(&primary)?.unread_answers.confirm_by(id, attempt, now);
        Some(primary)
    }

    /// Whether a read may be sent to the primary to confirm its role.
    fn may_confirm(&self, now: Micros, id: RequestId, primary: MemberId) -> bool {
        let Some(open) = self.open_requests.get(&id) else { return false };
        let (class, member) = (open.request.class, &self.members[&primary]);
        let may_be_repeated = self.settings.classes[class.0].idempotency == Idempotency::Idempotent;
        may_be_repeated
            && !open.has_tried(primary)
            && member.unread_answers.may_confirm(now)
            && self.has_capacity_for(now, class, member, self.latencies.cost(class))
    }

    /// The attempt in flight whose answer is to confirm the role of the member that it was sent to.
    fn confirming_attempt(&self, id: RequestId) -> Option<AttemptNo> {
        let is_confirming = |(attempt, to): &&(AttemptNo, MemberId)| {
            let member = self.members.get(to);
            member.is_some_and(|member| member.unread_answers.is_confirmed_by(id, *attempt))
        };
        let mut in_flight = self.open_requests.get(&id)?.in_flight.iter();
        in_flight.find(is_confirming).map(|(attempt, _)| *attempt)
    }

    /// Whether an answer to a request is awaited that is to confirm the role of its member.
    pub fn is_confirming_read(&self, id: RequestId) -> bool {
        self.confirming_attempt(id).is_some()
    }

    /// Whether an attempt was given up since its answer, which was to confirm its member's role, is too long
    /// to be looked at before it is served. The read may be sent there again once the role is confirmed.
    pub(super) fn is_unconfirmed(&self, outcome: &Outcome) -> bool {
        outcome.status == AttemptStatus::Withdrawn
            && self.confirming_attempt(outcome.request) == Some(outcome.attempt)
    }

    /// Whether a request may be served from an answer with this role and position. If the answer was to
    /// confirm that its member is the primary and does not, the position decides.
    pub fn may_serve(&self, id: RequestId, role: Option<Role>, position: Option<Micros>) -> bool {
        let Some(attempt) = self.confirming_attempt(id) else { return true };
        // Where the needed position is not known, it is zero.
        let needed = self.attempts.get(&(id, attempt)).map(|attempt| attempt.needed);
        let needed = needed.filter(|needed| *needed > Micros(0));
        let is_covered = needed.is_some_and(|needed| position.is_some_and(|position| position >= needed));
        role == Some(Role::Primary) || is_covered
    }
}
