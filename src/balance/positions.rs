//! How far members have applied the log, how the log's time stands to this clock, and what a read must see.

use super::log_clock::{Change, Offset};
use super::state::Open;
use super::Router;
use crate::api::*;
use crate::notice::{Dating, Notice, ReadBasis, Source};

impl Router {
    /// Takes in what a member said. A position stays valid for ever; the latest word on the role wins.
    pub(super) fn learn(
        &mut self,
        now: Micros,
        id: MemberId,
        role: Option<Role>,
        at: Micros,
        position: Option<Micros>,
        source: Source,
    ) {
        let Some(group) = self.members.get(&id).map(|member| member.entry.group) else { return };
        let (offset, latest) = (self.offset(group), self.log_now(now, group));
        // What cannot be is spoilt, and so may the rest of it be.
        if position.is_some_and(|at| !self.one_clock && offset.is_some_and(|offset| !offset.allows(now, at)))
        {
            return;
        }
        let Some(member) = self.members.get_mut(&id) else { return };
        let mut contested = false;
        if let Some(role) = role.filter(|_| at >= member.role_at) {
            let leads = self.groups.get(&group).and_then(|g| g.leader) == Some(id);
            contested = leads != (role == Role::Primary);
            member.role = role;
            member.role_at = at;
        }
        let position = position.map(|position| latest.map_or(position, |latest| position.min(latest)));
        if position.is_some() && position >= member.position {
            member.position = position;
            member.position_at = now;
            member.position_from = source;
            member.lag = latest.map_or(member.lag, |latest| latest - position.unwrap_or_default());
        }
        if contested {
            self.recount(group);
        }
    }

    /// Takes in a member's report of itself. Its position dates the rest of it.
    pub(super) fn learn_report(&mut self, now: Micros, id: MemberId, report: Report) {
        let Some(group) = self.members.get(&id).map(|member| member.entry.group) else { return };
        let local = |position| self.offset(group).map(|offset| offset.local_earliest(now, position));
        let at = report.position.and_then(local).unwrap_or_default();
        self.learn(now, id, report.role, at, report.position, Source::Report);
    }

    /// How a family's log time stands to this clock: as its primaries say, or as those of the others do.
    pub(super) fn offset(&self, group: GroupId) -> Option<Offset> {
        if self.one_clock {
            return Some(Offset::NONE);
        }
        self.groups.get(&group).and_then(|group| group.log_clock.known()).or(self.usual_offset)
    }

    /// The time of a family's log by now at the latest: what a replica shows counts against it. None as long
    /// as no primary has told.
    pub(super) fn log_now(&self, now: Micros, group: GroupId) -> Option<Micros> {
        if self.one_clock {
            return Some(now);
        }
        let own = self.groups.get(&group).and_then(|group| group.log_clock.latest(now));
        own.or_else(|| Some(self.usual_offset?.latest(now)))
    }

    /// Takes in what a primary's answer tells of the log's time.
    pub(super) fn hear_log_time(&mut self, now: Micros, dating: Dating) {
        let told = Offset::between(dating.sent, now, dating.position);
        let Some(id) =
            self.members.get(&dating.member).map(|member| member.entry.group).filter(|_| !self.one_clock)
        else {
            return;
        };
        let expected = self.usual_offset.unwrap_or(Offset::plausible(now));
        let (family, Some(group)) = (id, self.groups.get_mut(&id)) else { return };
        let change = group.log_clock.hear(told, expected);
        if group.log_clock.known().is_some_and(|known| known.is_of(now)) {
            group.dating = Some(dating);
        }
        let (Some(offset), true) = (group.log_clock.known(), change != Change::None) else { return };
        self.usual_offset = Some(self.usual_offset.map_or(offset, |usual| usual.hull(offset)));
        if change == Change::Stepped {
            // Commits and positions of before are on another scale: all that was committed so far has to be
            // seen.
            group.floor = offset.latest(now);
        }
        for id in &group.members {
            let Some(member) = self.members.get_mut(id) else { continue };
            if change == Change::Stepped || member.position.is_some_and(|at| !offset.allows(now, at)) {
                member.position = None;
            }
            if let Some(position) = member.position {
                member.lag = offset.latest(now) - position;
            }
            if change == Change::Learned && member.born_by_list {
                member.born = offset.local(now, member.entry.started).min(now);
            }
        }
        let (stepped, bounds) = (change == Change::Stepped, offset.bounds());
        self.note(Notice::LogTime { group: family, stepped, dating, bounds });
    }

    /// What the choice of the member that a request is out at rested on.
    pub fn read_basis(&self, now: Micros, id: RequestId) -> Option<ReadBasis> {
        let open = self.open.get(&id)?;
        let member = self.members.get(&open.out.last()?.1)?;
        let group = open.req.group;
        Some(ReadBasis {
            needed: self.needed(now, open),
            position: member.position,
            age: now - member.position_at,
            source: member.position_from,
            log_time: self.log_now(now, group),
            dating: self.groups.get(&group).and_then(|group| group.dating),
        })
    }

    /// The position that a read sent now must see; none where nobody has told the log's time yet.
    pub(super) fn needed(&self, now: Micros, open: &Open) -> Option<Micros> {
        Some(match (self.settings.classes[open.req.class.0].need, self.settings.tokens) {
            (Need::Write | Need::Any, _) => Micros(0),
            (Need::Bounded(bound), _) => self.log_now(now, open.req.group)? - bound,
            (Need::Fresh, _) => self.log_now(now, open.req.group)? - (now - open.arrived),
            (Need::Session, Tokens::Carried) => open.req.committed.unwrap_or_default(),
            (Need::Session, Tokens::Remembered) => {
                let commit = open.req.session.and_then(|key| self.sessions.commit(open.req.group, key));
                let floor = self.groups.get(&open.req.group).map_or(Micros(0), |g| g.floor);
                commit.map_or(floor, |commit| commit.max(floor))
            }
        })
    }
}
