//! Which members a group has and which of them is its primary, according to the endpoint list, the operators
//! and the members' own claims.

use std::collections::{BTreeSet, HashSet};

use super::member::Member;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::Notice;

/// Concurrency limit of a member that has served no request, in usual requests; it adapts within a second.
const INITIAL_LIMIT: f64 = 8.0;

impl Router {
    /// Applies an update of the endpoint list.
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
            EndpointUpdate::Full => self.remove_unlisted(&endpoints),
        }
        let mut changed: BTreeSet<GroupId> = endpoints.iter().map(|endpoint| endpoint.group).collect();
        for endpoint in endpoints {
            let listed_before = self.members.get(&endpoint.member).map(|member| member.endpoint().started);
            changed.extend(self.assign_to_group(&endpoint));
            if listed_before != Some(endpoint.started) {
                self.adopt_listed_start(now, &endpoint);
            }
            let down = self.administratively_down.contains(&endpoint.member);
            if let Some(member) = self.members.get_mut(&endpoint.member) {
                member.relist(endpoint, down, self.settings.removed_may_serve);
            }
        }
        for group in changed {
            self.recompute_group(group);
        }
    }

    /// Marks the members that a full endpoint list does not contain as removed.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: HashSet<MemberId> = endpoints.iter().map(|endpoint| endpoint.member).collect();
        for (id, member) in &mut self.members {
            if !listed.contains(id) {
                member.mark_removed();
            }
        }
    }

    /// Assigns an endpoint to its group, as a new member if it is unknown. Returns the group that it has
    /// left, if it was in another one.
    fn assign_to_group(&mut self, endpoint: &Endpoint) -> Option<GroupId> {
        let (id, limit) = (endpoint.member, self.initial_limit());
        let was_replica = self.former_replicas.remove(&id);
        let role = if endpoint.primary && !was_replica { Role::Primary } else { Role::Replica };
        let member = self.members.entry(id).or_insert_with(|| Member::new(*endpoint, role, limit));
        let before = Some(member.group()).filter(|before| *before != endpoint.group);
        if let Some(before) = before {
            self.groups.entry(before).or_default().members.retain(|member| *member != id);
            member.leave_group(role);
        }
        let group = self.groups.entry(endpoint.group).or_default();
        if let Err(place) = group.members.binary_search(&id) {
            group.members.insert(place, id);
        }
        before
    }

    /// Adopts the start time of a member from the endpoint list: if it is later than the known one, slow
    /// start begins then.
    fn adopt_listed_start(&mut self, now: Micros, endpoint: &Endpoint) {
        let (offset, limit) = (self.offset(endpoint.group), self.initial_limit());
        let Some(member) = self.members.get_mut(&endpoint.member) else { return };
        let started = match offset {
            Some(offset) if endpoint.started != Micros(0) => {
                offset.local_latest(now, endpoint.started).min(now)
            }
            _ => endpoint.started,
        };
        if started > member.slow_start.started_at() {
            member.restart_as_listed(started, &mut self.rng);
            if now - started < self.settings.slow_start_window {
                member.load.reset_limit(limit);
            }
        }
    }

    fn initial_limit(&self) -> f64 {
        INITIAL_LIMIT * self.limit_share.sqrt()
    }

    /// Takes a member out of service on an operator's request, or puts it back.
    pub(super) fn set_administratively_down(
        &mut self,
        now: Micros,
        id: MemberId,
        down: bool,
        actions: &mut Actions,
    ) {
        let down_members = &mut self.administratively_down;
        let changed = if down { down_members.insert(id) } else { down_members.remove(&id) };
        actions.push(Action::CloseIdle { member: id });
        let limit = self.initial_limit();
        let Some(member) = self.members.get_mut(&id).filter(|_| changed) else { return };
        if down {
            member.take_out_of_service();
        } else {
            member.put_back(now, limit, &mut self.rng);
        }
        let group = member.group();
        self.recompute_group(group);
        self.schedule_sweep(now, actions);
    }

    /// Records that a member has responded to a request or a health check.
    pub(super) fn member_responded(&mut self, now: Micros, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        if member.outlier.responded(now) {
            // The process has most likely been restarted, whatever the list says: the member is warming up.
            member.slow_start.restart(now, &mut self.rng);
        }
    }

    /// Records that a member has accepted a session on a new connection.
    pub fn member_accepted_session(&mut self, now: Micros, id: MemberId) {
        if let Some(member) = self.members.get_mut(&id) {
            member.outlier.accepted_session(now);
        }
    }

    /// Recomputes the number of a group's members in service and its primary, after a change of the endpoint
    /// list, of a member's role claim or of a member's administrative state.
    pub(super) fn recompute_group(&mut self, id: GroupId) {
        let Some(group) = self.groups.get_mut(&id) else { return };
        let before = group.primary;
        let members = group.members.iter().filter_map(|id| Some((self.members.get(id)?, *id)));
        let in_service = members.clone().filter(|(member, _)| member.is_in_service()).count();
        let claims = members.filter(|(member, _)| member.role.role() == Role::Primary);
        group.primary = claims.max_by_key(|(member, _)| member.role.claimed_at()).map(|(_, id)| id);
        group.members_in_service = in_service as f64;
        let after = group.primary;
        if before != after {
            self.notify(Notice::Primary { group: id, before, after });
        }
    }

    /// The group's primary, if it is known and usable.
    pub(super) fn primary(&self, group: GroupId) -> Option<MemberId> {
        let primary = self.groups.get(&group)?.primary?;
        self.members.get(&primary)?.is_usable().then_some(primary)
    }

    /// Whether a member may be sent new requests.
    pub fn is_in_service(&self, id: MemberId) -> bool {
        self.members.get(&id).is_some_and(Member::is_in_service)
    }

    /// Whether a member is administratively down or ejected.
    pub fn is_down_or_ejected(&self, id: MemberId) -> bool {
        let member = self.members.get(&id);
        self.administratively_down.contains(&id) || member.is_some_and(|member| member.outlier.is_ejected())
    }
}
