//! How far members have applied the log, how the log's time stands to this clock, and what a read must see.

use super::log_clock::Offset;
use super::open_request::OpenRequest;
use super::Router;
use crate::api::*;
use crate::notice::{PositionSource, ReadBasis};

impl Router {
    /// Takes in what a member said. A position stays valid for ever; the latest word on the role wins.
    pub(super) fn observe_member(
        &mut self,
        now: Micros,
        id: MemberId,
        role: Option<Role>,
        at: Micros,
        position: Option<Micros>,
        source: PositionSource,
    ) {
        let Some(group) = self.members.get(&id).map(|member| member.group()) else { return };
        let (offset, latest) = (self.offset(group), self.log_now(now, group));
        // What cannot be is spoilt, and so may the rest of it be.
        if position.is_some_and(|at| {
            !self.log_time.is_same_clock() && offset.is_some_and(|offset| !offset.allows(now, at))
        }) {
            return;
        }
        let Some(member) = self.members.get_mut(&id) else { return };
        let mut contested = false;
        if let Some(role) = role.filter(|role| member.role.observe(*role, at, position)) {
            let leads = self.groups.get(&group).and_then(|g| g.primary) == Some(id);
            contested = leads != (role == Role::Primary);
        }
        member.log.observe(now, position, latest, source);
        if contested {
            self.recount(group);
        }
    }

    /// Takes in a member's report of itself. Its position dates the rest of it.
    pub(super) fn observe_report(&mut self, now: Micros, id: MemberId, report: HealthReport) {
        let Some(group) = self.members.get(&id).map(|member| member.group()) else { return };
        let local = |position| self.offset(group).map(|offset| offset.local_earliest(now, position));
        let at = report.position.and_then(local).unwrap_or_default();
        self.observe_member(now, id, report.role, at, report.position, PositionSource::Report);
    }

    /// What the choice of the member that a request is out at rested on.
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
    pub(super) fn hold(&self) -> Micros {
        self.log_time.hold()
    }

    /// The offset between a group's log time and this router's clock.
    pub(super) fn offset(&self, group: GroupId) -> Option<Offset> {
        self.log_time.offset(self.groups.get(&group))
    }

    /// The time of a group's log by now at the latest. None as long as nothing is proved of any log.
    pub(super) fn log_now(&self, now: Micros, group: GroupId) -> Option<Micros> {
        self.log_time.latest(now, self.groups.get(&group))
    }

    /// The position that a read sent now must see; none where nobody has told the log's time yet.
    pub(super) fn needed(&self, now: Micros, open: &OpenRequest) -> Option<Micros> {
        Some(match (self.settings.classes[open.request.class.0].consistency, self.settings.session_tokens) {
            (Consistency::Write | Consistency::Eventual, _) => Micros(0),
            (Consistency::BoundedStaleness(bound), _) => self.log_now(now, open.request.group)? - bound,
            // It may have arrived up to a hold after the clock was read.
            (Consistency::Strong, _) => {
                self.log_now(now, open.request.group)? + self.hold() - (now - open.arrived_at)
            }
            (Consistency::Session, SessionTokens::Carried) => open.request.committed.unwrap_or_default(),
            (Consistency::Session, SessionTokens::Remembered) => {
                let commit =
                    open.request.session.and_then(|key| self.sessions.commit(open.request.group, key));
                let floor = self.groups.get(&open.request.group).map_or(Micros(0), |g| g.forgotten_commit);
                commit.map_or(floor, |commit| commit.max(floor))
            }
        })
    }
}
