//! What a request costs and who has room for it: concurrency limits, slow start, the parts of classes.

use super::choice::MAX_CANDIDATES;
use super::group::CandidateWindow;
use super::member::Member;
use super::Router;
use crate::api::*;

/// Drivers up to which each may start with the whole limit; more share what so many have.
const FULL_LIMITS: f64 = 4.0;
/// Part of the primary's limit open to reads that must be current, beyond the whole for others: they have no
/// other place, are few, and would be the class that is served worst.
const CURRENT_PART: f64 = 1.4;
/// Part open to writes while all replicas of the family keep up, and while all are behind: each write that is
/// taken is applied by all of them, and who is behind serves few reads until caught up.
const WRITE_PART: f64 = 1.25;
const BEHIND_WRITE_PART: f64 = 0.85;
/// How far behind that is where no class names a bound.
const BEHIND: Micros = Micros::millis(500);

/// Part of the usual limits that one of so many drivers has.
pub(super) fn limit_share(settings: &Settings) -> f64 {
    (FULL_LIMITS / f64::from(settings.gateways.max(1))).min(1.0)
}

impl Router {
    /// Whether any member has room for a request of this class; a family too large to ask has.
    pub(super) fn any_capacity(&self, now: Micros, group: GroupId, class: ClassId) -> bool {
        let (cost, Some(group)) = (self.latencies.cost(class), self.groups.get(&group)) else { return false };
        let mut members = group.members.iter().filter_map(|id| self.members.get(id));
        group.members.len() > MAX_CANDIDATES || members.any(|m| self.takes(now, class, m, cost))
    }

    /// Whether a member that may be the primary has room for a request of this class.
    pub(super) fn takes(&self, now: Micros, class: ClassId, member: &Member, cost: f64) -> bool {
        match self.settings.classes[class.0].consistency {
            Consistency::Strong => member.has_capacity_in_pause(now, &self.settings, cost, CURRENT_PART),
            Consistency::Write => member.has_capacity(now, &self.settings, cost, WRITE_PART),
            _ => member.has_capacity(now, &self.settings, cost, 1.0),
        }
    }

    /// Part of the primary's limit open to writes: the less, the more replicas are behind a bound.
    pub(super) fn write_part(&self, candidate_window: CandidateWindow) -> f64 {
        let bound = self.settings.least_staleness_bound().unwrap_or(BEHIND);
        let replicas = self.candidates(candidate_window).filter(|(_, m)| m.role.role() == Role::Replica);
        let count = |(all, late), (_, m): (_, &Member)| (all + 1, late + u32::from(m.log.lag() > bound));
        let (all, late) = replicas.fold((0, 0), count);
        let part = f64::from(late) / f64::from(all.max(1));
        WRITE_PART + (BEHIND_WRITE_PART - WRITE_PART) * part
    }
}
