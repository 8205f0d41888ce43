//! Which log positions members have applied, and which position a read needs.

use super::log_clock::OffsetBounds;
use super::member::Member;
use super::open_request::OpenRequest;
use super::Router;
use crate::api::*;
use crate::notice::{PositionSource, ReadBasis};

impl Router {
    /// Records the role that a member claimed at `at`, and its log position.
    pub(super) fn observe_member(
        &mut self,
        now: Micros,
        id: MemberId,
        role: Option<Role>,
        at: Micros,
        position: Option<Micros>,
        source: PositionSource,
    ) {
        let Some(group) = self.members.get(&id).map(Member::group) else { return };
        // An impossible position is corrupt, and the rest of the answer may be corrupt too.
        if position.is_some_and(|position| !self.is_position_possible(now, group, position)) {
            return;
        }
        let latest_log_time = self.log_now(now, group);
        let Some(member) = self.members.get_mut(&id) else { return };
        let claimed = role.filter(|role| member.role.observe(*role, at, position));
        member.log.observe(now, position, latest_log_time, source);
        let is_primary = self.groups.get(&group).and_then(|group| group.primary) == Some(id);
        if claimed.is_some_and(|role| is_primary != (role == Role::Primary)) {
            self.recompute_group(group);
        }
    }

    /// Whether a group's log may have reached a position by now.
    pub(super) fn is_position_possible(&self, now: Micros, group: GroupId, position: Micros) -> bool {
        let offset = self.offset(group).filter(|_| !self.log_time.is_same_clock());
        offset.is_none_or(|offset| offset.allows(now, position))
    }

    /// Records a member's health report, whose position tells when the report was made.
    pub(super) fn observe_report(&mut self, now: Micros, id: MemberId, report: HealthReport) {
        let Some(group) = self.members.get(&id).map(Member::group) else { return };
        let local = |position| self.offset(group).map(|offset| offset.local_earliest(now, position));
        let at = report.position.and_then(local).unwrap_or_default();
        self.observe_member(now, id, report.role, at, report.position, PositionSource::Report);
    }

    /// The basis of the choice of the member to which a request was sent last.
    pub fn read_basis(&self, now: Micros, id: RequestId) -> Option<ReadBasis> {
        let open = self.open_requests.get(&id)?;
        let member_id = open.in_flight.last()?.1;
        let member = self.members.get(&member_id)?;
        let group = open.request.group;
        let claimed_at = Some(member.role.claimed_at()).filter(|at| *at > Micros(0));
        Some(ReadBasis {
            needed: self.needed(now, open),
            position: member.log.position(),
            age: now - member.log.updated_at(),
            source: member.log.source(),
            is_primary: self.primary(group) == Some(member_id),
            role_age: claimed_at.map(|at| now - at),
            log_time: self.log_now(now, group),
            evidence: self.groups.get(&group).and_then(|group| group.evidence),
        })
    }

    /// Longest time for which this process may be stalled between reading its clock and acting.
    pub(super) fn max_stall(&self) -> Micros {
        self.log_time.max_stall()
    }

    /// The offset between a group's log time and this router's clock.
    pub(super) fn offset(&self, group: GroupId) -> Option<OffsetBounds> {
        self.log_time.offset(self.groups.get(&group))
    }

    /// The upper bound of a group's present log time. `None` while there is no proof for any group.
    pub(super) fn log_now(&self, now: Micros, group: GroupId) -> Option<Micros> {
        self.log_time.latest(now, self.groups.get(&group))
    }

    /// The position that a request sent now needs; `None` if that depends on a log time that is not known
    /// yet.
    pub(super) fn needed(&self, now: Micros, open: &OpenRequest) -> Option<Micros> {
        let group = open.request.group;
        match self.settings.classes[open.request.class.0].consistency {
            Consistency::Write | Consistency::Eventual => Some(Micros(0)),
            Consistency::BoundedStaleness(bound) => Some(self.log_now(now, group)? - bound),
            Consistency::Strong => {
                // The request may have arrived up to `max_stall` after the clock was read.
                Some(self.log_now(now, group)? + self.max_stall() - (now - open.arrived_at))
            }
            Consistency::Session => Some(self.session_token(&open.request)),
        }
    }

    /// The position of the latest commit that a read of a session must see.
    fn session_token(&self, request: &Request) -> Micros {
        if self.settings.session_tokens == SessionTokens::Carried {
            return request.committed.unwrap_or_default();
        }
        let commit = request.session.and_then(|key| self.sessions.commit(request.group, key));
        let forgotten = self.groups.get(&request.group).map_or(Micros(0), |group| group.forgotten_commit);
        commit.map_or(forgotten, |commit| commit.max(forgotten))
    }
}
