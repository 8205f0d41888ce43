//! How far members have applied the log, and what a read must see.

use super::log_clock::OffsetBounds;
use super::member::Member;
use super::open_request::OpenRequest;
use super::Router;
use crate::api::*;
use crate::notice::{PositionSource, ReadBasis};

impl Router {
    /// Takes in a member's role and position, claimed at this time.
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
        // A position that cannot be is corrupt, and so may the rest of the answer be.
        if position.is_some_and(|position| !self.is_possible(now, group, position)) {
            return;
        }
        let latest = self.log_now(now, group);
        let Some(member) = self.members.get_mut(&id) else { return };
        let claimed = role.filter(|role| member.role.observe(*role, at, position));
        member.log.observe(now, position, latest, source);
        let is_primary = self.groups.get(&group).and_then(|group| group.primary) == Some(id);
        if claimed.is_some_and(|role| is_primary != (role == Role::Primary)) {
            self.recount(group);
        }
    }

    /// Whether a group's log may stand at a position by now.
    fn is_possible(&self, now: Micros, group: GroupId, position: Micros) -> bool {
        let offset = self.offset(group).filter(|_| !self.log_time.is_same_clock());
        offset.is_none_or(|offset| offset.allows(now, position))
    }

    /// Takes in a member's health report. Its position says when the rest of it was true.
    pub(super) fn observe_report(&mut self, now: Micros, id: MemberId, report: HealthReport) {
        let Some(group) = self.members.get(&id).map(Member::group) else { return };
        let local = |position| self.offset(group).map(|offset| offset.local_earliest(now, position));
        let at = report.position.and_then(local).unwrap_or_default();
        self.observe_member(now, id, report.role, at, report.position, PositionSource::Report);
    }

    /// What the choice of the member that a request was sent to rested on.
    pub fn read_basis(&self, now: Micros, id: RequestId) -> Option<ReadBasis> {
        let open = self.open.get(&id)?;
        let member = self.members.get(&open.in_flight.last()?.1)?;
        let group = open.request.group;
        Some(ReadBasis {
            needed: self.needed(now, open),
            position: member.log.position(),
            age: now - member.log.updated_at(),
            source: member.log.source(),
            log_time: self.log_now(now, group),
            evidence: self.groups.get(&group).and_then(|group| group.evidence),
        })
    }

    /// For how long this router may be held up between reading its clock and what it does then.
    pub(super) fn max_stall(&self) -> Micros {
        self.log_time.max_stall()
    }

    /// The offset between a group's log time and this router's clock.
    pub(super) fn offset(&self, group: GroupId) -> Option<OffsetBounds> {
        self.log_time.offset(self.groups.get(&group))
    }

    /// The time of a group's log by now at the latest. None as long as nothing is proved of any log.
    pub(super) fn log_now(&self, now: Micros, group: GroupId) -> Option<Micros> {
        self.log_time.latest(now, self.groups.get(&group))
    }

    /// The position that a request sent now must see; none where the log's time is not known yet.
    pub(super) fn needed(&self, now: Micros, open: &OpenRequest) -> Option<Micros> {
        let group = open.request.group;
        match self.settings.classes[open.request.class.0].consistency {
            Consistency::Write | Consistency::Eventual => Some(Micros(0)),
            Consistency::BoundedStaleness(bound) => Some(self.log_now(now, group)? - bound),
            Consistency::Strong => {
                // The request may have arrived up to a hold after the clock was read.
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
