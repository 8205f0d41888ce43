//! Answers that are read after their attempt was abandoned, and answers that are not read at all.
//!
//! A member that was the primary may state in an answer that it is a replica now. If that answer is left
//! unread, reads no longer rely on the member as the primary until it has stated its role again.

use super::choice::is_check_due;
use super::member::Member;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::{LogTimeEvidence, PositionKind, PositionSource};

impl Router {
    /// Records that a member has stated its role in an answer that it wrote at `at` or later.
    pub fn role_stated(&mut self, id: MemberId, at: Micros) {
        if let Some(member) = self.members.get_mut(&id) {
            member.unread_answers.role_stated(at);
        }
    }

    /// Records that a member has stated its role in a report that it wrote at `written_at` or later. Members
    /// refresh their reports from time to time, so that the role is as old as the position beside it.
    pub fn role_reported(&mut self, now: Micros, id: MemberId, position: Option<Micros>, written_at: Micros) {
        let Some(group) = self.members.get(&id).map(Member::group) else { return };
        let local = |position| self.offset(group).map(|offset| offset.local_earliest(now, position));
        let refreshed_at = position.and_then(local).unwrap_or_default();
        self.role_stated(id, refreshed_at.min(written_at));
    }

    /// Records that an answer of a member will not be read, which it may write until `until`.
    pub fn answer_left_unread(&mut self, id: MemberId, until: Micros) {
        match self.members.get_mut(&id) {
            Some(member) => member.unread_answers.left_unread(until),
            None => drop(self.former_replicas.insert(id)),
        }
    }

    /// Records that reading an answer of a member was paused, or that it was resumed or ended.
    pub fn set_answer_paused(&mut self, id: MemberId, is_paused: bool) {
        if let Some(member) = self.members.get_mut(&id) {
            member.unread_answers.set_paused(is_paused);
        }
    }

    /// Processes what an answer tells whose attempt has been abandoned. It counts neither for the member's
    /// load and latency nor for its failures.
    pub(super) fn late_answer_read(
        &mut self,
        now: Micros,
        id: MemberId,
        answer: LateAnswer,
        actions: &mut Actions,
    ) {
        let LateAnswer { sent, role, position } = answer;
        let Some(group) = self.members.get(&id).map(Member::group) else {
            // It was removed meanwhile.
            if role == Some(Role::Replica) {
                self.former_replicas.insert(id);
            }
            return;
        };
        let status = AttemptStatus::Cancelled;
        if let (Some(Role::Primary), Some(position)) = (role, position) {
            // It may be the commit of an earlier write, which proves less than a position.
            let kind = PositionKind::Reported;
            let evidence = LogTimeEvidence { member: id, status, position, kind, sent, received: now };
            self.observe_primary(now, evidence);
        }
        // Without positions, claims are ordered by time. An old claim to be the primary must not replace a
        // newer one to be a replica.
        let claimed_at = if role == Some(Role::Primary) { sent } else { now };
        self.observe_member(now, id, role, claimed_at, position, PositionSource::Answer(status));
        self.send_waiting(now, group, actions);
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.keys().copied()
    }

    /// The role that a member has stated last; `None` if it has stated none.
    pub fn stated_role(&self, id: MemberId) -> Option<StatedRole> {
        let claim = &self.members.get(&id)?.role;
        let (role, at, position) = (claim.role(), claim.claimed_at(), claim.position());
        (at > Micros(0)).then_some(StatedRole { role, at, position })
    }

    /// Processes the role that a member has stated to another process of this gateway.
    pub(super) fn role_stated_elsewhere(
        &mut self,
        now: Micros,
        id: MemberId,
        stated: StatedRole,
        actions: &mut Actions,
    ) {
        let Some(group) = self.members.get(&id).map(Member::group) else { return };
        let StatedRole { role, at, position } = stated;
        self.observe_member(now, id, Some(role), at, position, PositionSource::Report);
        self.send_waiting(now, group, actions);
    }

    /// Sets whether there is another process of this gateway: what hosts tell it becomes known here late or
    /// not at all.
    pub fn set_other_process(&mut self, exists: bool) {
        self.has_other_process = exists;
    }

    /// Records that another process of this gateway has ended at `now`, which may have left answers unread.
    pub fn peer_ended(&mut self, now: Micros) {
        self.members.values_mut().for_each(|member| member.unread_answers.left_unread(now));
    }

    /// The group's primary, if it is known and usable, and may be relied on for this request.
    pub(super) fn primary_for(&self, now: Micros, request: &Request) -> Option<MemberId> {
        let primary = self.primary(request.group)?;
        let unread_answers = &self.members.get(&primary)?.unread_answers;
        let is_reliable = !self.needs_current_role(request.class)
            || unread_answers.is_role_current(now, self.has_other_process)
            || unread_answers.is_confirmed_by(request.id);
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
    /// can be sent: by a health check or, if none may be started, by the answer to the read of this id.
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
        let has_token = self.settings.health_checks && self.health_check_tokens >= 1.0;
        if has_token && is_check_due(now, member) {
            self.health_check_tokens -= 1.0;
            self.start_health_check(now, primary, actions);
            return None;
        }
        if self.is_confirming_read_in_flight(primary) || !self.may_confirm(now, id, primary) {
            return None;
        }
        self.members.get_mut(&primary)?.unread_answers.confirm_by(id);
        Some(primary)
    }

    /// Whether the answer to a read is awaited that confirms the role of this member.
    fn is_confirming_read_in_flight(&self, id: MemberId) -> bool {
        let read = self.members.get(&id).and_then(|member| member.unread_answers.confirming_read());
        let open = read.and_then(|read| self.open_requests.get(&read));
        open.is_some_and(|open| open.in_flight.iter().any(|(_, member)| *member == id))
    }

    /// Whether a read may be sent to the primary to confirm its role.
    fn may_confirm(&self, now: Micros, id: RequestId, primary: MemberId) -> bool {
        let Some(open) = self.open_requests.get(&id) else { return false };
        let (class, member) = (open.request.class, &self.members[&primary]);
        let may_be_repeated = self.settings.classes[class.0].idempotency == Idempotency::Idempotent;
        may_be_repeated
            && !open.has_tried(primary)
            && self.has_capacity_for(now, class, member, self.latencies.cost(class))
    }

    /// Whether the answer to a request was to confirm the role of the member that it was sent to.
    pub fn is_confirming_read(&self, id: RequestId) -> bool {
        let open = self.open_requests.get(&id);
        let member = open.and_then(|open| self.members.get(&open.in_flight.last()?.1));
        member.is_some_and(|member| member.unread_answers.is_confirmed_by(id))
    }

    /// Whether a request may be served from an answer with this role and position. If the answer was to confirm
    /// that its member is the primary and does not, the position decides.
    pub fn may_serve(&self, id: RequestId, role: Option<Role>, position: Option<Micros>) -> bool {
        if role == Some(Role::Primary) || !self.is_confirming_read(id) {
            return true;
        }
        let open = self.open_requests.get(&id);
        let attempt = open.and_then(|open| self.attempts.get(&(id, open.in_flight.last()?.0)));
        // Where the needed position is not known, it is zero.
        let needed = attempt.map(|attempt| attempt.needed).filter(|needed| *needed > Micros(0));
        needed.is_some_and(|needed| position.is_some_and(|position| position >= needed))
    }
}
