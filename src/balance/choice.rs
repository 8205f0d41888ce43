//! Selects the member for a request: a replica that has applied the position which the read must see, drawn
//! at random by weight and load, or the primary.

use rand_core::RngCore;

use super::group::CandidateWindow;
use super::housekeeping::MIN_HEALTH_CHECK_INTERVAL;
use super::member::Member;
use super::open_request::OpenRequest;
use super::random::weighted_draw;
use super::{Actions, Router};
use crate::api::*;

/// Highest price of a health check, in requests, at which a read checks a replica before using the primary.
const MAX_HEALTH_CHECK_PRICE: f64 = 0.25;
/// Largest fraction of its latency objective that such a read may wait: enough to check two replicas.
pub(super) const REPLICA_CHECK_WAIT_FRACTION: f64 = 0.2;
/// Fraction of its latency objective that such a read waits for a single check: an unanswered check must
/// leave time for another one and for the primary.
const SINGLE_CHECK_WAIT_FRACTION: f64 = REPLICA_CHECK_WAIT_FRACTION / 3.0;
/// Latency ratio (latency over its class's mean) below which a primary has spare capacity: the read uses it
/// without checking a replica.
const SPARE_CAPACITY_LATENCY_RATIO: f64 = 0.9;
/// How strongly the cross-zone price lowers the draw weight of members outside the gateway's zone.
const CROSS_ZONE_PRICE_WEIGHT: f64 = 25.0;
/// Factor by which the draw weight of a member without an open connection is lowered.
const NO_CONNECTION_BASE_PENALTY: f64 = 8.0;
/// How strongly the handshake price raises that factor.
const HANDSHAKE_PRICE_WEIGHT: f64 = 100.0;
/// Exponent with which load lowers a draw weight.
const LOAD_EXPONENT: i32 = 4;
/// Maximum number of members that one draw considers; in a larger group the draw starts at a random index.
pub(super) const MAX_CANDIDATES: usize = 64;

/// Members with their weights in a draw.
pub type WeightedMembers = Vec<(MemberId, f64)>;

/// A waiting read with the inputs that decide which replicas may serve it.
struct WaitingRead<'a> {
    now: Micros,
    settings: &'a Settings,
    open: &'a OpenRequest,
    cost: f64,
    /// The group's primary, if its role can be relied on; it is no candidate.
    primary: Option<MemberId>,
    /// The position that the read must see.
    needed: Option<Micros>,
    /// Upper bound of the log's time.
    latest_log_time: Option<Micros>,
    /// A write of the read's session is in flight: only the primary is sure to have it.
    awaits_commit: bool,
    /// Reads check the health of replicas: an unresponsive one covers no read until it has responded.
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

    /// Whether a replica is known to have applied the position that the read must see.
    fn is_covered_by(&self, id: MemberId, member: &Member) -> bool {
        let has_position = self.needed.is_some_and(|needed| member.log.has_reached(needed));
        let needs_check = member.outlier.is_unresponsive() && self.checks_replicas;
        has_position && !needs_check && self.is_candidate(id, member)
    }

    /// Whether a replica should have applied that position by now, given its last known lag.
    fn should_be_covered_by(&self, id: MemberId, member: &Member) -> bool {
        let (Some(latest_log_time), Some(needed)) = (self.latest_log_time, self.needed) else { return false };
        latest_log_time - member.log.lag() > needed && self.is_candidate(id, member)
    }
}

impl Router {
    /// The members of a group that one choice considers. In a group larger than [`MAX_CANDIDATES`] the window
    /// starts at a random index.
    fn candidate_window(&mut self, group: GroupId) -> CandidateWindow {
        let members = self.groups.get(&group).map_or(0, |group| group.members.len());
        let start = if members > MAX_CANDIDATES { self.rng.next_u64() as usize % members } else { 0 };
        CandidateWindow { group, start }
    }

    /// The members of a window that may be sent requests. If all members in service are ejected, the cause is
    /// something that they share, so that none is treated as ejected.
    pub(super) fn candidates(&self, window: CandidateWindow) -> impl Iterator<Item = (MemberId, &Member)> {
        let members = self.groups.get(&window.group).map_or(&[][..], |group| &group.members);
        let (before, after) = members.split_at(window.start.min(members.len()));
        let window = after.iter().chain(before).take(MAX_CANDIDATES);
        let window = window.filter_map(|id| Some((*id, self.members.get(id)?)));
        let any_usable = window.clone().any(|(_, member)| member.is_usable());
        window.filter(move |(_, member)| if any_usable { member.is_usable() } else { member.is_in_service() })
    }

    /// The member for a waiting request, if one has capacity for it now.
    pub(super) fn choose_member(
        &mut self,
        now: Micros,
        id: RequestId,
        actions: &mut Actions,
    ) -> Option<MemberId> {
        let request = self.open_requests.get(&id).filter(|open| self.may_send(now, open))?.request;
        let window = self.candidate_window(request.group);
        match self.settings.classes[request.class.0].consistency {
            Consistency::Write => self.choose_for_write(now, self.open_requests.get(&id)?, window),
            _ => self.choose_for_read(now, id, window, actions),
        }
    }

    /// The member for a read: a replica that covers it, or the primary. If members check reads, replicas that
    /// should have caught up are preferred to the primary. If they do not, the health of such a replica is
    /// checked first: one of many gateways gets answers from each replica too rarely to know its state.
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
            primary: self.primary_for(now, &open.request),
            needed: self.needed(now, open),
            latest_log_time: self.log_now(now, window.group),
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
            ReplicaCheck::None => {
                replica.or(primary).or_else(|| self.confirm_primary(now, id, window.group, actions))
            }
            ReplicaCheck::InFlight => None,
            ReplicaCheck::Due(member) => {
                self.start_health_check(now, member, actions);
                None
            }
        }
    }

    /// Whether a read has to see the commit of a write of its session that is still in flight.
    fn awaits_commit(&self, open: &OpenRequest) -> bool {
        let Request { class, group, session, .. } = open.request;
        self.settings.classes[class.0].consistency == Consistency::Session
            && session.is_some_and(|key| self.sessions.is_pending(group, key))
    }

    /// The primary, if it may take a read now.
    fn primary_for_read(&self, read: &WaitingRead) -> Option<MemberId> {
        let may_take = |id: &MemberId| {
            !read.open.failed_members.contains(id)
                && self.has_capacity_for(read.now, read.open.request.class, &self.members[id], read.cost)
        };
        read.primary.filter(may_take)
    }

    /// Whether a read that no replica is known to cover checks a replica before it uses the primary.
    fn checks_replica_first(&self, read: &WaitingRead, primary: Option<MemberId>) -> bool {
        let primary = primary.and_then(|id| self.members.get(&id));
        let has_spare_capacity = |primary: &Member| {
            primary.latency_ratio() < SPARE_CAPACITY_LATENCY_RATIO && !primary.outlier.is_unresponsive()
        };
        let class = &self.settings.classes[read.open.request.class.0];
        read.checks_replicas
            && class.consistency != Consistency::Strong
            && !primary.is_some_and(has_spare_capacity)
    }

    /// How long a read waits for a single check.
    fn single_check_wait(&self, read: &WaitingRead) -> Micros {
        self.settings.classes[read.open.request.class.0].latency_objective.scale(SINGLE_CHECK_WAIT_FRACTION)
    }

    /// Whether a read has time for a further check; after two unanswered ones it has not.
    fn may_start_check(&self, read: &WaitingRead) -> bool {
        read.now + self.single_check_wait(read) < self.wait_until(read.open)
    }

    /// Collects the draw weights of the replicas whose health the read may check.
    fn weigh_due_checks(&self, read: &WaitingRead, window: CandidateWindow, weighted: &mut WeightedMembers) {
        let may_start = self.may_start_check(read);
        let is_due = |id, member: &Member| {
            may_start && is_check_due(read.now, member) && read.should_be_covered_by(id, member)
        };
        self.weigh(read.now, window, is_due, weighted);
    }

    /// Whether a health check is in flight that the read may wait for.
    fn is_check_in_flight(&self, read: &WaitingRead, window: CandidateWindow) -> bool {
        let time = self.single_check_wait(read);
        let awaited = |member: &Member| {
            let check = &member.health_check;
            check.is_in_flight() && read.now - check.last_started_at() < time
        };
        let mut candidates = self.candidates(window);
        candidates.any(|(id, member)| awaited(member) && read.should_be_covered_by(id, member))
    }

    /// Whether reads check replicas. With few gateways each one gets answers from every replica often enough,
    /// and no checks are needed.
    pub(super) fn reads_check_replicas(&self) -> bool {
        self.limit_share < 1.0
            && self.settings.health_checks
            && self.settings.health_check_price <= MAX_HEALTH_CHECK_PRICE
    }

    /// The member for a write: the primary or, while no primary is known, the member with the latest log
    /// position among those that were not used recently and have not recently claimed a role, if another
    /// attempt remains after this one. A new primary also becomes known from the answers to reads.
    fn choose_for_write(&self, now: Micros, open: &OpenRequest, window: CandidateWindow) -> Option<MemberId> {
        let cost = self.latencies.cost(open.request.class);
        let limit_factor = self.write_limit_factor(window);
        let fits = |member: &Member| member.has_capacity(now, &self.settings, cost, limit_factor);
        if let Some(primary) = self.primary(open.request.group) {
            return Some(primary).filter(|id| fits(&self.members[id]));
        }
        if !open.in_flight.is_empty() || open.attempts + 2 > open.max_attempts {
            return None;
        }
        let recently_contacted = |member: &Member| {
            now - member.role.claimed_at().max(member.load.last_used_at()) < MIN_HEALTH_CHECK_INTERVAL
        };
        let possible_primaries =
            self.candidates(window).filter(|(_, member)| fits(member) && !recently_contacted(member));
        possible_primaries.max_by_key(|(id, member)| (member.log.position(), *id)).map(|(id, _)| id)
    }

    /// Collects the draw weights of the members in a window for which `fits` holds.
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

    /// A member's weight in a draw: its own weight, lowered by the zone and connection penalties and by its
    /// load. A gateway prefers replicas that it has open connections to, because new connections take time
    /// and work, and their number is capped.
    fn draw_weight(&self, now: Micros, member: &Member) -> f64 {
        let settings = &self.settings;
        let cross_zone_penalty = 1.0 + CROSS_ZONE_PRICE_WEIGHT * settings.cross_zone_price;
        let no_connection_penalty =
            NO_CONNECTION_BASE_PENALTY * (1.0 + HANDSHAKE_PRICE_WEIGHT * settings.handshake_price);
        let penalty = if member.endpoint().zone == settings.zone { 1.0 } else { cross_zone_penalty };
        let connected = now - member.load.last_used_at() < settings.connection_idle_timeout;
        let penalty = if connected { penalty } else { penalty * no_connection_penalty };
        let load = 1.0 + member.load.effective() / member.weight();
        member.weight() / penalty / load.powi(LOAD_EXPONENT)
    }
}

/// Whether a replica's health is checked before a read goes to the primary.
enum ReplicaCheck {
    /// No check is needed.
    None,
    /// A check is in flight that the read waits for.
    InFlight,
    /// A check of this replica has to be started.
    Due(MemberId),
}

impl From<Option<MemberId>> for ReplicaCheck {
    fn from(due: Option<MemberId>) -> ReplicaCheck {
        due.map_or(ReplicaCheck::None, ReplicaCheck::Due)
    }
}

/// Whether no health check of a member is in flight and the last one is long enough ago for another.
pub(super) fn is_check_due(now: Micros, member: &Member) -> bool {
    let check = &member.health_check;
    !check.is_in_flight() && now - check.last_started_at() >= MIN_HEALTH_CHECK_INTERVAL
}
