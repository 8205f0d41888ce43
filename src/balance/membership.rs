//! Which members a family has and what is known of their health: the list, the operators' word, and signs of
//! life.

use std::collections::{BTreeSet, HashSet};

use super::member::Member;
use super::{Actions, Router};
use crate::api::*;

/// Concurrency limit of a member never tried, in usual requests; it adapts within a second.
const LIMIT_START: f64 = 8.0;

impl Router {
    pub(super) fn endpoints_updated(
        &mut self,
        now: Micros,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
        actions: &mut Actions,
    ) {
        match update {
            EndpointUpdate::Failed if self.settings.watch_required => actions.push(Action::Watch),
            EndpointUpdate::Failed | EndpointUpdate::Incremental => {}
            EndpointUpdate::Full => {
                let named: HashSet<MemberId> = endpoints.iter().map(|e| e.member).collect();
                for member in self.members.values_mut().filter(|m| !named.contains(&m.endpoint().member)) {
                    member.mark_removed();
                }
            }
        }
        let start = LIMIT_START * self.limit_share.sqrt();
        let mut changed: BTreeSet<GroupId> = endpoints.iter().map(|endpoint| endpoint.group).collect();
        for endpoint in endpoints {
            let role = if endpoint.primary { Role::Primary } else { Role::Replica };
            let (offset, new) = (self.offset(endpoint.group), !self.members.contains_key(&endpoint.member));
            let member =
                self.members.entry(endpoint.member).or_insert_with(|| Member::new(endpoint, role, start));
            if member.group() != endpoint.group {
                let before = self.groups.entry(member.group()).or_default();
                before.members.retain(|id| *id != endpoint.member);
                member.leave_group(role);
                changed.insert(member.group());
            }
            let group = self.groups.entry(endpoint.group).or_default();
            if let Err(place) = group.members.binary_search(&endpoint.member) {
                group.members.insert(place, endpoint.member);
            }
            let told = new || endpoint.started != member.endpoint().started;
            let started =
                offset.map_or(endpoint.started, |offset| offset.local(now, endpoint.started).min(now));
            let started = if endpoint.started == Micros(0) { endpoint.started } else { started };
            if told && started > member.slow_start.started_at() {
                member.restart_as_listed(started, &mut self.rng);
                if now - started < self.settings.slow_start_window {
                    member.load.reset_limit(start);
                }
            }
            let down = self.administratively_down.contains(&endpoint.member);
            member.relist(endpoint, down, self.settings.removed_may_serve);
        }
        for group in changed {
            self.recount(group);
        }
    }

    /// Leaves a member out by hand, or puts it back. It may have been started anew meanwhile: it comes back
    /// cold, with its old position and no say in who leads, and nothing else of it counts any more.
    pub(super) fn set_administratively_down(
        &mut self,
        now: Micros,
        id: MemberId,
        down: bool,
        actions: &mut Actions,
    ) {
        let all = &mut self.administratively_down;
        let changed = if down { all.insert(id) } else { all.remove(&id) };
        actions.push(Action::CloseIdle { member: id });
        let Some(member) = self.members.get_mut(&id).filter(|_| changed) else { return };
        if down {
            member.take_out_of_service();
        } else {
            member.put_back(now, LIMIT_START * self.limit_share.sqrt(), &mut self.rng);
        }
        let group = member.group();
        self.recount(group);
        self.sweep_by(now, actions);
    }

    /// A member has answered a request or a probe.
    pub(super) fn member_responded(&mut self, now: Micros, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        if member.outlier.responded(now) {
            // Its process has most likely been restarted, whatever the list says: it is warming up.
            member.slow_start.restart(now, &mut self.rng);
        }
    }

    /// The member believed to be the group's primary.
    pub(super) fn primary(&self, group: GroupId) -> Option<MemberId> {
        let leader = self.groups.get(&group)?.primary?;
        self.members.get(&leader)?.is_usable().then_some(leader)
    }
}
