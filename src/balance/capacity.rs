//! Which members have capacity for a request of a class: the parts of a concurrency limit that are open to
//! it.

use super::choice::MAX_CANDIDATES;
use super::group::CandidateWindow;
use super::member::Member;
use super::Router;
use crate::api::*;

/// Gateways up to which each may start with the whole limit; more share what so many have.
const FULL_LIMIT_GATEWAYS: f64 = 4.0;
/// Part of the primary's limit open to reads with strong consistency, beyond the whole for others: they have
/// no other place, are few, and would be the class that is served worst.
const STRONG_READ_PART: f64 = 1.4;
/// Part open to writes while all replicas of the group keep up: each write is applied by all of them...
const WRITE_PART: f64 = 1.25;
/// ...and while all lag behind: a replica that does serves few reads until it has caught up.
const LAGGING_WRITE_PART: f64 = 0.85;
/// How far behind that is where no class names a bound.
const DEFAULT_LAG_BOUND: Micros = Micros::millis(500);

/// Part of the usual limits that one of so many gateways has.
pub(super) fn limit_share(settings: &Settings) -> f64 {
    (FULL_LIMIT_GATEWAYS / f64::from(settings.gateways.max(1))).min(1.0)
}

impl Router {
    /// Whether any member has capacity for a request of this class; a group too large to look through has.
    pub(super) fn any_capacity(&self, now: Micros, group: GroupId, class: ClassId) -> bool {
        let (cost, Some(group)) = (self.latencies.cost(class), self.groups.get(&group)) else { return false };
        let mut members = group.members.iter().filter_map(|id| self.members.get(id));
        group.members.len() > MAX_CANDIDATES || members.any(|member| self.takes(now, class, member, cost))
    }

    /// Whether a member that may be the primary has capacity for a request of this class.
    pub(super) fn takes(&self, now: Micros, class: ClassId, member: &Member, cost: f64) -> bool {
        match self.settings.classes[class.0].consistency {
            Consistency::Strong => member.has_capacity_in_pause(now, &self.settings, cost, STRONG_READ_PART),
            Consistency::Write => member.has_capacity(now, &self.settings, cost, WRITE_PART),
            _ => member.has_capacity(now, &self.settings, cost, 1.0),
        }
    }

    /// Part of the primary's limit open to writes: the less, the more replicas lag behind a bound.
    pub(super) fn write_part(&self, window: CandidateWindow) -> f64 {
        let bound = self.settings.min_staleness_bound().unwrap_or(DEFAULT_LAG_BOUND);
        let (mut replicas, mut lagging) = (0, 0);
        for (_, member) in self.candidates(window) {
            if member.role.role() == Role::Replica {
                replicas += 1;
                lagging += u32::from(member.log.lag() > bound);
            }
        }
        let part = f64::from(lagging) / f64::from(replicas.max(1));
        WRITE_PART + (LAGGING_WRITE_PART - WRITE_PART) * part
    }
}
