//! Which members a family has and what is known of their health: the list, the operators' word, and signs of
//! life.

use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeSet, HashSet};

use super::random::uniform;
use super::state::Member;
use super::{Actions, Router};
use crate::api::*;

/// Concurrency limit of a member never tried, in usual requests; it adapts within a second.
const LIMIT_START: f64 = 8.0;
/// Least draw weight of a failing member: the trickle that shows its return.
pub(super) const MIN_WEIGHT: f64 = 0.01;
/// Broken connections in a row that eject a member, and errors after which a read is given up.
pub(super) const EJECT_AFTER_FAILURES: u32 = 2;
/// Time after which a member taken as down is tried by a request, and a return counts as a restart.
pub(super) const EJECTION_TIME: Micros = Micros::millis(1000);

impl Member {
    pub(super) fn usable(&self) -> bool {
        self.listed() && self.ejected.is_none()
    }

    pub(super) fn listed(&self) -> bool {
        let listed = self.endpoint.state == EndpointState::Ready
            || self.endpoint.state == EndpointState::Removed && self.unbound;
        listed && !self.administratively_down
    }

    /// Books a new start: it is cold, its position is still valid.
    pub(super) fn restart(&mut self, at: Micros, rng: &mut Pcg64Mcg) {
        self.born = at;
        self.born_by_list = false;
        self.credit = -uniform(rng);
    }

    /// Books a connection that broke or could not be made. One says little: a full table, a slow link
    /// and a lost answer break those of sound members too; a dead process breaks the next one as well.
    pub(super) fn break_off(&mut self, now: Micros, cut: bool) {
        self.breaks += 1;
        let (since, before) = self.broken.unwrap_or((now, false));
        self.broken = Some((since, before || cut));
        if self.breaks >= EJECT_AFTER_FAILURES {
            self.ejected = Some(now);
        }
    }
}

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
                for member in self.members.values_mut().filter(|m| !named.contains(&m.endpoint.member)) {
                    member.endpoint.state = EndpointState::Removed;
                }
            }
        }
        let start = LIMIT_START * self.limit_share.sqrt();
        let mut changed: BTreeSet<GroupId> = endpoints.iter().map(|endpoint| endpoint.group).collect();
        for endpoint in endpoints {
            let role = if endpoint.primary { Role::Primary } else { Role::Replica };
            let (offset, new) = (self.offset(endpoint.group), !self.members.contains_key(&endpoint.member));
            let member = self
                .members
                .entry(endpoint.member)
                .or_insert_with(|| Member::new(endpoint, role, start, MIN_WEIGHT));
            if member.endpoint.group != endpoint.group {
                let before = self.groups.entry(member.endpoint.group).or_default();
                before.members.retain(|id| *id != endpoint.member);
                member.leave_family(role);
                changed.insert(member.endpoint.group);
            }
            let group = self.groups.entry(endpoint.group).or_default();
            if let Err(place) = group.members.binary_search(&endpoint.member) {
                group.members.insert(place, endpoint.member);
            }
            member.administratively_down = self.administratively_down.contains(&endpoint.member);
            let told = new || endpoint.started != member.endpoint.started;
            let started =
                offset.map_or(endpoint.started, |offset| offset.local(now, endpoint.started).min(now));
            let started = if endpoint.started == Micros(0) { endpoint.started } else { started };
            if told && started > member.born {
                // What was known of its health is void.
                member.fail = 0.0;
                (member.ejected, member.breaks, member.silent) = (None, 0, false);
                member.restart(started, &mut self.rng);
                member.born_by_list = true;
                if now - started < self.settings.slow_start_window {
                    member.limit = start;
                }
            }
            member.endpoint = endpoint;
            // Where only draining binds the list may miss live members; one that drained keeps its bond.
            let only_draining = self.settings.removed_may_serve;
            let drains = endpoint.state == EndpointState::Draining;
            member.unbound =
                only_draining && !drains && (member.unbound || endpoint.state == EndpointState::Ready);
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
        member.administratively_down = down;
        if !down {
            let limit = LIMIT_START * self.limit_share.sqrt();
            let new = Member::new(member.endpoint, Role::Replica, limit, MIN_WEIGHT);
            let old = std::mem::replace(member, new);
            (member.position, member.position_at, member.lag) = (old.position, old.position_at, old.lag);
            (member.inflight, member.load, member.probing) = (old.inflight, old.load, old.probing);
            (member.role_at, member.unbound) = (old.role_at, old.unbound);
            member.restart(now, &mut self.rng);
        }
        let group = member.endpoint.group;
        self.recount(group);
        self.sweep_by(now, actions);
    }

    /// A member has answered a request or a probe.
    pub(super) fn member_responded(&mut self, now: Micros, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.ejected = None;
        (member.silent, member.heard_at) = (false, now);
        if member.broken.take().is_some_and(|(since, cut)| cut && now - since > EJECTION_TIME) {
            // Away for so long, its process has most likely started again, whatever the list says: cold.
            member.restart(now, &mut self.rng);
        }
    }

    /// The member believed to be the group's primary.
    pub(super) fn primary(&self, group: GroupId) -> Option<MemberId> {
        let leader = self.groups.get(&group)?.primary?;
        self.members.get(&leader)?.usable().then_some(leader)
    }
}
