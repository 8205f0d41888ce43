//! Which member gets a request: a replica that has applied what the read must see, drawn by weight and load,
//! or the primary.

use rand_core::RngCore;

use super::group::CandidateWindow;
use super::housekeeping::HEALTH_CHECK_PAUSE;
use super::member::Member;
use super::open_request::OpenRequest;
use super::random::weighted_draw;
use super::{Actions, Router};
use crate::api::*;

/// Most that a probe may cost, in requests, for a read to ask a replica before it goes to the primary.
const ASK_PRICE: f64 = 0.25;
/// Part of its aim for which such a read waits for the word, so that one that goes unheard leaves it time
/// for another and for the primary, however short its aim.
const ASK_PART: f64 = ASK_PATIENCE / 3.0;
/// Most of its aim that a read of such a driver may wait: for the word of two.
pub(super) const ASK_PATIENCE: f64 = 0.2;
/// Latency against the mean under which a primary has room to spare, so that nobody is asked.
const PRIMARY_EASE: f64 = 0.9;
/// How strongly the price of crossing zones pulls the draw to the driver's own zone.
const ZONE_PULL: f64 = 25.0;
/// How strongly a connection that is open pulls the draw, and how much more so for the price of a new one.
const LINK_PULL: f64 = 8.0;
const HANDSHAKE_PULL: f64 = 100.0;
/// Members with their weights in a draw.
pub type WeightedMembers = Vec<(MemberId, f64)>;

/// Members of a family that one draw looks at, from a random place on where there are more.
pub(super) const WINDOW: usize = 64;

impl Router {
    /// Where in a group one choice begins to look: anywhere, if there are more members than it looks at.
    pub(super) fn candidate_window(&mut self, group: GroupId) -> CandidateWindow {
        let ring = self.groups.get(&group).map_or(0, |group| group.members.len());
        let start = if ring > WINDOW { self.rng.next_u64() as usize % ring } else { 0 };
        CandidateWindow { group, start }
    }

    /// The members of a group that may be sent to, of those that one choice looks at. Where all are ejected
    /// none is: it is not their fault.
    pub(super) fn candidates(
        &self,
        CandidateWindow { group, start }: CandidateWindow,
    ) -> impl Iterator<Item = (MemberId, &Member)> {
        let ring = self.groups.get(&group).map_or(&[][..], |group| &group.members);
        let (before, after) = ring.split_at(start.min(ring.len()));
        let window = after.iter().chain(before).take(WINDOW);
        let window = window.filter_map(|id| Some((*id, self.members.get(id)?)));
        let any = window.clone().any(|(_, m)| m.is_usable());
        window.filter(move |(_, m)| if any { m.is_usable() } else { m.is_in_service() })
    }

    /// The member for a waiting request, if one can take it now.
    pub(super) fn choose(&mut self, now: Micros, id: RequestId, actions: &mut Actions) -> Option<MemberId> {
        let group = self.open.get(&id).filter(|open| self.may_send(now, open))?.req.group;
        let candidate_window = self.candidate_window(group);
        let open = self.open.get(&id)?;
        let class = &self.settings.classes[open.req.class.0];
        let cost = self.cost(open.req.class);
        if class.consistency == Consistency::Write {
            return self.choose_writer(now, open, cost, candidate_window);
        }
        let mut weighted = std::mem::take(&mut self.weighted_scratch);
        let primary = self.primary(group);
        let needed = self.needed(now, open);
        let pinned = open.req.session.is_some_and(|key| self.sessions.is_pending(group, key));
        let pin_holds = class.consistency == Consistency::Session && pinned;
        let candidate = |id: MemberId, m: &Member| {
            let out = open.avoid.contains(&id) || open.out.iter().any(|(_, tried)| *tried == id);
            Some(id) != primary && !pin_holds && !out && m.has_capacity(now, &self.settings, cost, 1.0)
        };
        let unsure = |m: &Member| m.outlier.is_unresponsive() && self.reads_check_replicas();
        let current = |m: &Member| needed.is_some_and(|needed| m.log.has_reached(needed));
        let covers = |id, m: &Member| current(m) && !unsure(m) && candidate(id, m);
        let primary = primary.filter(|id| !open.avoid.contains(id));
        self.weigh(now, candidate_window, covers, &mut weighted);
        let mut found = weighted_draw(&mut self.rng, &weighted);
        // Where replicas check, those that should have caught up come before the primary. Where they do not,
        // one of them is asked first: a driver among many meets each too seldom to know.
        let latest = self.log_now(now, group).zip(needed);
        let caught_up = |id, m: &Member| {
            latest.is_some_and(|(now, needed)| now - m.log.lag() > needed) && candidate(id, m)
        };
        let reads = |id: &MemberId| self.takes(now, open.req.class, &self.members[id], cost);
        let primary = primary.filter(reads);
        let at_ease = |m: &Member| m.latency_ratio() < PRIMARY_EASE && !m.outlier.is_unresponsive();
        let at_ease = primary.is_some_and(|id| at_ease(&self.members[&id]));
        let (mut ask, mut asked) = (None, false);
        if found.is_none() && self.settings.replica_checks == ReplicaChecks::Reject {
            self.weigh(now, candidate_window, caught_up, &mut weighted);
            found = weighted_draw(&mut self.rng, &weighted);
        } else if found.is_none()
            && self.reads_check_replicas()
            && class.consistency != Consistency::Strong
            && !at_ease
        {
            let wait = class.latency_objective.scale(ASK_PART);
            let under_way =
                |m: &Member| m.health_check.is_in_flight() && now - m.health_check.last_started_at() < wait;
            asked = self.candidates(candidate_window).any(|(id, m)| under_way(m) && caught_up(id, m));
            // Whoever has waited for two that say nothing has no time for a third.
            let in_time = now + wait < self.patience(open);
            let rested = |m: &Member| {
                in_time
                    && !m.health_check.is_in_flight()
                    && now - m.health_check.last_started_at() >= HEALTH_CHECK_PAUSE
            };
            self.weigh(now, candidate_window, |id, m| rested(m) && caught_up(id, m), &mut weighted);
            ask = weighted_draw(&mut self.rng, &weighted).filter(|_| !asked);
        }
        self.weighted_scratch = weighted;
        if let Some(member) = ask {
            self.start_health_check(now, member, actions);
        }
        if asked || ask.is_some() {
            return None;
        }
        found.or(primary)
    }

    /// Whether reads ask replicas: one of few drivers hears from each often enough.
    pub(super) fn reads_check_replicas(&self) -> bool {
        self.limit_share < 1.0 && self.settings.health_checks && self.settings.health_check_price <= ASK_PRICE
    }

    /// Whether the attempt that is out may still be written now that its connection is up.
    pub fn holds(&self, now: Micros, id: RequestId) -> bool {
        let out = self.open.get(&id).and_then(|open| open.out.last());
        let listed = out.and_then(|(_, to)| self.members.get(to)).is_some_and(Member::is_in_service);
        listed && self.covers(now, id)
    }

    /// Whether the member that a request is out at covers what it must see, were its last byte written now:
    /// it is the primary, or has told of a position that is late enough.
    pub fn covers(&self, now: Micros, id: RequestId) -> bool {
        let Some(open) = self.open.get(&id) else { return false };
        let Some((_, to)) = open.out.last() else { return false };
        let leads = self.settings.classes[open.req.class.0].consistency == Consistency::Write;
        if leads || Some(*to) == self.primary(open.req.group) {
            return true;
        }
        let member = self.members.get(to);
        let reached = |needed| member.map_or(needed == Micros(0), |member| member.log.has_reached(needed));
        self.needed(now, open).is_some_and(reached)
    }

    /// Where a write goes: the primary, or while none is known the most advanced of the members that
    /// have not just said that they are replicas. Answers to reads tell of a new primary too.
    pub(super) fn choose_writer(
        &self,
        now: Micros,
        open: &OpenRequest,
        cost: f64,
        candidate_window: CandidateWindow,
    ) -> Option<MemberId> {
        let part = self.write_part(candidate_window);
        let fits = |m: &Member| m.has_capacity(now, &self.settings, cost, part);
        if let Some(primary) = self.primary(open.req.group) {
            return Some(primary).filter(|id| fits(&self.members[id]));
        }
        if !open.out.is_empty() || open.attempts + 2 > open.most {
            return None;
        }
        let asked = |m: &Member| now - m.role.claimed_at().max(m.load.last_used_at()) < HEALTH_CHECK_PAUSE;
        let unsure = self.candidates(candidate_window).filter(|(_, m)| fits(m) && !asked(m));
        unsure.max_by_key(|(id, m)| (m.log.position(), *id)).map(|(id, _)| id)
    }

    /// The weights of a group's fitting members in a draw: periodic weight, nearness, and against the load
    /// in flight. A driver keeps to replicas that it has connections to: new ones take time and work, and
    /// are capped.
    pub(super) fn weigh(
        &self,
        now: Micros,
        candidate_window: CandidateWindow,
        fits: impl Fn(MemberId, &Member) -> bool,
        weighted: &mut WeightedMembers,
    ) {
        let far = 1.0 + ZONE_PULL * self.settings.cross_zone_price;
        let new = LINK_PULL * (1.0 + HANDSHAKE_PULL * self.settings.handshake_price);
        let weight = |member: &Member| {
            let distance = if member.endpoint().zone == self.settings.zone { 1.0 } else { far };
            let linked = now - member.load.last_used_at() < self.settings.connection_idle_timeout;
            let distance = if linked { distance } else { distance * new };
            let busy = 1.0 + member.load.effective() / member.weight();
            member.weight() / distance / busy.powi(4)
        };
        weighted.clear();
        let fitting = self.candidates(candidate_window).filter(|(id, m)| fits(*id, m));
        weighted.extend(fitting.map(|(id, m)| (id, weight(m))));
    }
}
