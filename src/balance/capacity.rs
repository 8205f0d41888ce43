//! Which members have capacity for a request of a class: how much of a concurrency limit the class may use.

use super::choice::MAX_CANDIDATES;
use super::group::CandidateWindow;
use super::member::Member;
use super::Router;
use crate::api::*;

/// Up to this number of gateways, each one has the usual concurrency limits; more gateways share what this
/// many have in total.
const FULL_LIMIT_GATEWAYS: f64 = 4.0;
/// Multiple of the primary's limit that reads with strong consistency may use, more than other requests: they
/// can be sent nowhere else, are few, and would otherwise be the class that is served worst.
const STRONG_READ_LIMIT_FACTOR: f64 = 1.4;
/// Multiple of the primary's limit that writes may use while all replicas of the group keep up: all of them
/// apply each write.
const WRITE_LIMIT_FACTOR: f64 = 1.25;
/// The same while all replicas lag behind: a lagging replica serves few reads until it has caught up.
const LAGGING_WRITE_LIMIT_FACTOR: f64 = 0.85;
/// Lag above which a replica counts as lagging if no class has a staleness bound.
const DEFAULT_LAG_BOUND: Micros = Micros::millis(500);

/// This gateway's fraction of the usual concurrency limits: 1 for up to [`FULL_LIMIT_GATEWAYS`] gateways.
pub(super) fn limit_share(settings: &Settings) -> f64 {
    (FULL_LIMIT_GATEWAYS / f64::from(settings.gateways.max(1))).min(1.0)
}

impl Router {
    /// Whether any member has capacity for a request of this class. A group of more than [`MAX_CANDIDATES`]
    /// members is too large to search and is assumed to have capacity.
    pub(super) fn any_member_has_capacity(&self, now: Micros, group: GroupId, class: ClassId) -> bool {
        let (cost, Some(group)) = (self.latencies.cost(class), self.groups.get(&group)) else { return false };
        let mut members = group.members.iter().filter_map(|id| self.members.get(id));
        group.members.len() > MAX_CANDIDATES
            || members.any(|member| self.has_capacity_for(now, class, member, cost))
    }

    /// Whether a member that may be the primary has capacity for a request of this class.
    pub(super) fn has_capacity_for(&self, now: Micros, class: ClassId, member: &Member, cost: f64) -> bool {
        match self.settings.classes[class.0].consistency {
            Consistency::Strong => {
                member.has_capacity_in_pause(now, &self.settings, cost, STRONG_READ_LIMIT_FACTOR)
            }
            Consistency::Write => member.has_capacity(now, &self.settings, cost, WRITE_LIMIT_FACTOR),
            _ => member.has_capacity(now, &self.settings, cost, 1.0),
        }
    }

    /// Multiple of the primary's limit that writes may use: it falls with the fraction of replicas whose lag
    /// exceeds the bound.
    pub(super) fn write_limit_factor(&self, window: CandidateWindow) -> f64 {
        let bound = self.settings.min_staleness_bound().unwrap_or(DEFAULT_LAG_BOUND);
        let (mut replicas, mut lagging) = (0, 0);
        for (_, member) in self.candidates(window) {
            if member.role.role() == Role::Replica {
                replicas += 1;
                lagging += u32::from(member.log.lag() > bound);
            }
        }
        let lagging_fraction = f64::from(lagging) / f64::from(replicas.max(1));
        WRITE_LIMIT_FACTOR + (LAGGING_WRITE_LIMIT_FACTOR - WRITE_LIMIT_FACTOR) * lagging_fraction
    }
}
