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

/// Highest price of a health check, in requests, for a read to check a replica before it goes to the primary.
const MAX_CHECK_PRICE: f64 = 0.25;
/// Most of its latency objective that such a read may wait: for the checks of two replicas.
pub(super) const REPLICA_CHECK_TIME: f64 = 0.2;
/// Part of its latency objective for which such a read waits for one check, so that one that goes unanswered
/// leaves time for another and for the primary.
const ONE_CHECK_TIME: f64 = REPLICA_CHECK_TIME / 3.0;
/// Latency over the mean below which a primary has capacity to spare, so that no replica is checked.
const PRIMARY_AT_EASE: f64 = 0.9;
/// How strongly the price of crossing zones pulls the draw to the gateway's own zone.
const ZONE_PULL: f64 = 25.0;
/// How strongly an open connection pulls the draw.
const CONNECTION_PULL: f64 = 8.0;
/// How much more strongly it does so for the price of a new one.
const HANDSHAKE_PULL: f64 = 100.0;
/// How strongly load pushes the draw away.
const LOAD_EXPONENT: i32 = 4;
/// Members of a group that one draw looks at, from a random index on where there are more.
pub(super) const MAX_CANDIDATES: usize = 64;

/// Members with their weights in a draw.
pub type WeightedMembers = Vec<(MemberId, f64)>;

/// A read that waits, and what decides which replicas may serve it.
struct WaitingRead<'a> {
    now: Micros,
    settings: &'a Settings,
    open: &'a OpenRequest,
    cost: f64,
    /// The group's primary, which is no candidate.
    primary: Option<MemberId>,
    /// The position that the read must see.
    needed: Option<Micros>,
    /// The log's time at the latest.
    latest: Option<Micros>,
    /// A write of the read's session is in flight: only the primary will have it.
    awaits_commit: bool,
    /// Reads check replicas that do not respond before they rely on them.
    checks_replicas: bool,
}

impl WaitingRead<'_> {
    /// Whether a replica may be sent the read at all.
    fn is_candidate(&self, id: MemberId, member: &Member) -> bool {
        Some(id) != self.primary
            && !self.awaits_commit
            && !self.open.has_tried(id)
            && member.has_capacity(self.now, self.settings, self.cost, 1.0)
    }

    /// Whether a replica is known to have applied what the read must see.
    fn is_covered_by(&self, id: MemberId, member: &Member) -> bool {
        let current = self.needed.is_some_and(|needed| member.log.has_reached(needed));
        let unsure = member.outlier.is_unresponsive() && self.checks_replicas;
        current && !unsure && self.is_candidate(id, member)
    }

    /// Whether a replica should have applied it by now, as far as it was known to lag.
    fn should_be_covered_by(&self, id: MemberId, member: &Member) -> bool {
        let (Some(latest), Some(needed)) = (self.latest, self.needed) else { return false };
        latest - member.log.lag() > needed && self.is_candidate(id, member)
    }
}

impl Router {
    /// Where in a group one choice begins to look: anywhere, if there are more members than it looks at.
    fn candidate_window(&mut self, group: GroupId) -> CandidateWindow {
        let members = self.groups.get(&group).map_or(0, |group| group.members.len());
        let start = if members > MAX_CANDIDATES { self.rng.next_u64() as usize % members } else { 0 };
        CandidateWindow { group, start }
    }

    /// The members of a group that may be sent to, of those that one choice looks at. Where all are ejected
    /// none is: it is not their fault.
    pub(super) fn candidates(&self, window: CandidateWindow) -> impl Iterator<Item = (MemberId, &Member)> {
        let members = self.groups.get(&window.group).map_or(&[][..], |group| &group.members);
        let (before, after) = members.split_at(window.start.min(members.len()));
        let window = after.iter().chain(before).take(MAX_CANDIDATES);
        let window = window.filter_map(|id| Some((*id, self.members.get(id)?)));
        let any_usable = window.clone().any(|(_, member)| member.is_usable());
        window.filter(move |(_, member)| if any_usable { member.is_usable() } else { member.is_in_service() })
    }

    /// The member for a waiting request, if one can take it now.
    pub(super) fn choose(&mut self, now: Micros, id: RequestId, actions: &mut Actions) -> Option<MemberId> {
        let request = self.open_requests.get(&id).filter(|open| self.may_send(now, open))?.request;
        let window = self.candidate_window(request.group);
        match self.settings.classes[request.class.0].consistency {
            Consistency::Write => self.choose_for_write(now, self.open_requests.get(&id)?, window),
            _ => self.choose_for_read(now, id, window, actions),
        }
    }

    /// The member for a read: a replica that covers it, or the primary. Where members check reads, replicas
    /// that should have caught up come before the primary. Where they do not, the health of one of them is
    /// checked first: one gateway among many meets each too seldom to know.
    fn choose_for_read(
        &mut self,
        now: Micros,
        id: RequestId,
        window: CandidateWindow,
        actions: &mut Actions,
    ) -> Option<MemberId> {
        let open = self.open_requests.get(&id)?;
        let read = WaitingRead {
            now,
            settings: &self.settings,
            open,
            cost: self.latencies.cost(open.request.class),
            primary: self.primary(window.group),
            needed: self.needed(now, open),
            latest: self.log_now(now, window.group),
            awaits_commit: self.awaits_commit(open),
            checks_replicas: self.reads_check_replicas(),
        };
        let primary = self.primary_for_read(&read);
        let mut weighted = std::mem::take(&mut self.weighted_scratch);
        self.weigh(now, window, |id, member| read.is_covered_by(id, member), &mut weighted);
        let mut replica = weighted_draw(&mut self.rng, &weighted);
        let mut check = ReplicaCheck::None;
        if replica.is_none() && self.settings.replica_checks == ReplicaChecks::Reject {
            self.weigh(now, window, |id, member| read.should_be_covered_by(id, member), &mut weighted);
            replica = weighted_draw(&mut self.rng, &weighted);
        } else if replica.is_none() && self.checks_replica_first(&read, primary) {
            self.weigh_due_checks(&read, window, &mut weighted);
            let due = weighted_draw(&mut self.rng, &weighted);
            let in_flight = self.is_check_in_flight(&read, window);
            check = if in_flight { ReplicaCheck::InFlight } else { due.into() };
        }
        self.weighted_scratch = weighted;
        match check {
            ReplicaCheck::None => replica.or(primary),
            ReplicaCheck::InFlight => None,
            ReplicaCheck::Due(member) => {
                self.start_health_check(now, member, actions);
                None
            }
        }
    }

    /// Whether a read of a session has to wait for what a write of it in flight commits.
    fn awaits_commit(&self, open: &OpenRequest) -> bool {
        let Request { class, group, session, .. } = open.request;
        self.settings.classes[class.0].consistency == Consistency::Session
            && session.is_some_and(|key| self.sessions.is_pending(group, key))
    }

    /// The primary, if it may take a read now.
    fn primary_for_read(&self, read: &WaitingRead) -> Option<MemberId> {
        let takes = |id: &MemberId| {
            !read.open.failed_members.contains(id)
                && self.takes(read.now, read.open.request.class, &self.members[id], read.cost)
        };
        read.primary.filter(takes)
    }

    /// Whether a read that no replica is known to cover checks one before it goes to the primary.
    fn checks_replica_first(&self, read: &WaitingRead, primary: Option<MemberId>) -> bool {
        let primary = primary.and_then(|id| self.members.get(&id));
        let at_ease = |primary: &Member| {
            primary.latency_ratio() < PRIMARY_AT_EASE && !primary.outlier.is_unresponsive()
        };
        let class = &self.settings.classes[read.open.request.class.0];
        read.checks_replicas && class.consistency != Consistency::Strong && !primary.is_some_and(at_ease)
    }

    /// How long a read waits for one check.
    fn check_time(&self, read: &WaitingRead) -> Micros {
        self.settings.classes[read.open.request.class.0].latency_objective.scale(ONE_CHECK_TIME)
    }

    /// Whether a read has time for a further check: not so after two that went unanswered.
    fn may_start_check(&self, read: &WaitingRead) -> bool {
        read.now + self.check_time(read) < self.wait_until(read.open)
    }

    /// Collects the weights of the replicas whose health a read may check in a draw.
    fn weigh_due_checks(&self, read: &WaitingRead, window: CandidateWindow, weighted: &mut WeightedMembers) {
        let may_start = self.may_start_check(read);
        let is_due = |id, member: &Member| {
            may_start && is_check_due(read.now, member) && read.should_be_covered_by(id, member)
        };
        self.weigh(read.now, window, is_due, weighted);
    }

    /// Whether a replica is being checked that the read may wait for.
    fn is_check_in_flight(&self, read: &WaitingRead, window: CandidateWindow) -> bool {
        let time = self.check_time(read);
        let awaited = |member: &Member| {
            let check = &member.health_check;
            check.is_in_flight() && read.now - check.last_started_at() < time
        };
        let mut candidates = self.candidates(window);
        candidates.any(|(id, member)| awaited(member) && read.should_be_covered_by(id, member))
    }

    /// Whether reads check replicas: one of few gateways hears from each often enough.
    pub(super) fn reads_check_replicas(&self) -> bool {
        self.limit_share < 1.0
            && self.settings.health_checks
            && self.settings.health_check_price <= MAX_CHECK_PRICE
    }

    /// Whether the attempt in flight may still be written now that its connection is up.
    pub fn may_write_attempt(&self, now: Micros, id: RequestId) -> bool {
        let attempt = self.open_requests.get(&id).and_then(|open| open.in_flight.last());
        let member = attempt.and_then(|(_, to)| self.members.get(to));
        member.is_some_and(Member::is_in_service) && self.covers(now, id)
    }

    /// Whether the member that a request was sent to covers what it must see, were its last byte written now:
    /// it is the primary, or its last known position is late enough.
    pub fn covers(&self, now: Micros, id: RequestId) -> bool {
        let Some(open) = self.open_requests.get(&id) else { return false };
        let Some((_, to)) = open.in_flight.last() else { return false };
        let write = self.settings.classes[open.request.class.0].consistency == Consistency::Write;
        if write || Some(*to) == self.primary(open.request.group) {
            return true;
        }
        let member = self.members.get(to);
        let reached = |needed| member.map_or(needed == Micros(0), |member| member.log.has_reached(needed));
        self.needed(now, open).is_some_and(reached)
    }

    /// The member for a write: the primary, or while none is known the most advanced of the members that have
    /// not just claimed to be replicas. Answers to reads tell of a new primary too.
    fn choose_for_write(&self, now: Micros, open: &OpenRequest, window: CandidateWindow) -> Option<MemberId> {
        let cost = self.latencies.cost(open.request.class);
        let part = self.write_part(window);
        let fits = |member: &Member| member.has_capacity(now, &self.settings, cost, part);
        if let Some(primary) = self.primary(open.request.group) {
            return Some(primary).filter(|id| fits(&self.members[id]));
        }
        if !open.in_flight.is_empty() || open.attempts + 2 > open.max_attempts {
            return None;
        }
        let just_asked = |member: &Member| {
            now - member.role.claimed_at().max(member.load.last_used_at()) < HEALTH_CHECK_PAUSE
        };
        let unsure = self.candidates(window).filter(|(_, member)| fits(member) && !just_asked(member));
        unsure.max_by_key(|(id, member)| (member.log.position(), *id)).map(|(id, _)| id)
    }

    /// Collects the weights of a group's fitting members in a draw.
    fn weigh(
        &self,
        now: Micros,
        window: CandidateWindow,
        fits: impl Fn(MemberId, &Member) -> bool,
        weighted: &mut WeightedMembers,
    ) {
        weighted.clear();
        let fitting = self.candidates(window).filter(|(id, member)| fits(*id, member));
        weighted.extend(fitting.map(|(id, member)| (id, self.draw_weight(now, member))));
    }

    /// A member's weight in a draw: its own weight, nearness, and against the load in flight. A gateway keeps
    /// to replicas that it has connections to: new ones take time and work, and are capped.
    fn draw_weight(&self, now: Micros, member: &Member) -> f64 {
        let settings = &self.settings;
        let far = 1.0 + ZONE_PULL * settings.cross_zone_price;
        let unconnected = CONNECTION_PULL * (1.0 + HANDSHAKE_PULL * settings.handshake_price);
        let distance = if member.endpoint().zone == settings.zone { 1.0 } else { far };
        let connected = now - member.load.last_used_at() < settings.connection_idle_timeout;
        let distance = if connected { distance } else { distance * unconnected };
        let load = 1.0 + member.load.effective() / member.weight();
        member.weight() / distance / load.powi(LOAD_EXPONENT)
    }
}

/// Whether a replica's health is checked before a read goes to the primary.
enum ReplicaCheck {
    /// It is not.
    None,
    /// A check is in flight that the read waits for.
    InFlight,
    /// A check of this replica is to be started.
    Due(MemberId),
}

impl From<Option<MemberId>> for ReplicaCheck {
    fn from(due: Option<MemberId>) -> ReplicaCheck {
        due.map_or(ReplicaCheck::None, ReplicaCheck::Due)
    }
}

/// Whether a member's health has not been checked of late.
fn is_check_due(now: Micros, member: &Member) -> bool {
    let check = &member.health_check;
    !check.is_in_flight() && now - check.last_started_at() >= HEALTH_CHECK_PAUSE
}
