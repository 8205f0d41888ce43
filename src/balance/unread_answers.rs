//! Answers that are read after their attempt was abandoned, and answers that are not read at all.
//!
//! A member that was the primary may state in an answer that it is a replica now. If that answer is left
//! unread, reads no longer rely on the member as the primary until it has stated its role again.

use super::member::Member;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::{LogTimeEvidence, PositionKind, PositionSource};

impl Router {
    /// Records that a member has stated its role in an answer that it wrote at `at` or later, beside this
    /// position. An answer with an impossible position is corrupt, and its role is not believed.
    pub fn role_stated(&mut self, now: Micros, id: MemberId, position: Option<Micros>, at: Micros) {
        let Some(group) = self.members.get(&id).map(Member::group) else { return };
        if position.is_some_and(|position| !self.is_position_possible(now, group, position)) {
            return;
        }
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
        self.role_stated(now, id, position, refreshed_at.min(written_at));
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

    /// Records that another process of this gateway has ended at `now`. Members may still write answers to
    /// its requests until these expire, and nobody reads them.
    pub fn peer_ended(&mut self, now: Micros) {
        let longest_wait = self.settings.classes.iter().map(|class| class.deadline).max();
        let until = now + longest_wait.unwrap_or_default();
        self.members.values_mut().for_each(|member| member.unread_answers.left_unread(until));
    }
}
