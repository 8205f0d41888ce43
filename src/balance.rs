//! Every decision of the router. Its types, events and actions are in `src/api.rs`.
//!
//! The ordinary path: a read goes to a replica whose last known log position covers the read's
//! token or bound, drawn by weight and load with the primary left out; otherwise to the primary.

use std::collections::{BTreeMap, BTreeSet};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::api::*;

mod estate;

pub use estate::Estate;

// ---- Constants. Figures of a deployment come from its settings or from what is observed. ----

/// Ticks between sweeps while a request waits: two, to cost little beside the events of its ticks.
const SWEEP_TICKS: u64 = 2;
/// Time between reweightings, and between sweeps while none waits; the paper's is one second.
const SURVEY: Micros = Micros::millis(50);
/// Weight of a new sample in a running mean of latencies: about the last fifty count.
const MEAN_GAIN: f64 = 0.02;
/// Weight of a new sample in a member's own figures, which must follow a trouble within a second.
const MEMBER_GAIN: f64 = 0.1;
/// Part of the aim that a limit steers the mean latency to: few answers come after it.
const LIMIT_AIM: f64 = 0.27;
/// Most of its aim that a read may spend waiting in the router: the rest is for its service, and its
/// client may come again while there is something left of it.
const PATIENCE: f64 = 0.2;
/// Most of its client's time that a request may be held without having reached a member.
const HELD_PART: f64 = 0.45;
/// Step of a concurrency limit for each answer: tens of answers move it by a request's worth.
const LIMIT_STEP: f64 = 0.1;
/// A latency counts for at most this many aims, as does a full queue: far from any aim.
const MISSED: f64 = 2.0;
/// Concurrency limit of a member never tried, in usual requests; it adapts within a second.
const LIMIT_START: f64 = 8.0;
/// Least concurrency limit: one request running and one behind it, or nothing is learned.
const LIMIT_FLOOR: f64 = 2.0;
/// Drivers up to which each may have these; more share what so many have.
const FULL_LIMITS: f64 = 4.0;
/// Requests of a class that may fail to find room before the rest of it waits for the next pass.
const SCAN: u32 = 4;
/// Load under which a member counts as idle and may take a request of any size.
const SPENT: f64 = 0.1;
/// Part of the primary's limit open to reads; the rest is for writes, which have no other place.
const PRIMARY_READ_PART: f64 = 0.9;
/// Time in which the memory of failures halves, so that a member gets another chance.
const FAIL_HALF_LIFE: Micros = Micros::millis(3000);
/// Least draw weight of a failing member: the trickle that shows its return.
const TRICKLE: f64 = 0.01;
/// Losses in a row on idle connections, none on others, from which those are distrusted.
const IDLE_LOSSES: u32 = 4;
/// Least time between probes of a member, and between writes there that look for a primary.
const SEEK: Micros = Micros::millis(200);
/// Broken connections in a row that eject a member, and errors after which a read is given up.
const EJECT_AFTER: u32 = 2;
/// Doublings of the time out of the draw, at most: members that come back do so within tens of seconds.
const EJECT_DOUBLINGS: u32 = 3;
/// Price of knowledge: part of the service that may be spent on probes in the long run.
const PROBE_SPEND: f64 = 0.004;
/// Most probes saved up: a driver with little traffic can ask a whole small group at once.
const PROBE_SAVED: f64 = 4.0;
/// Time after which a member taken as down is tried by a request, and a return counts as a restart.
const AWAY: Micros = Micros::millis(1000);
/// How strongly the price of crossing zones pulls the draw to the driver's own zone.
const ZONE_PULL: f64 = 25.0;
/// How strongly a connection that is open pulls the draw.
const LINK_PULL: f64 = 8.0;
/// Part of the multiple of its capacity that a cold member may be sent; the rest is for chance.
const COLD_PART: f64 = 0.7;
/// Part of the fall window's budget that a cold member may get in one go.
const COLD_BURST: f64 = 0.25;
/// The one timer: each sweep asks for the next.
const SWEEP: TimerId = TimerId(0);

// ---- State ----

type Actions = Vec<Action>;

#[derive(Clone, Default, Serialize, Deserialize)]
struct Member {
    entry: Entry,
    /// Cold since then; zero when long ago.
    born: Micros,
    position: Option<Micros>,
    position_at: Micros,
    /// How far it is thought to be behind: from its last position, and from reads that it turned away.
    lag: Micros,
    role: Role,
    role_at: Micros,
    #[serde(skip)]
    inflight: u32,
    /// Cost of the attempts in flight, in usual requests.
    #[serde(skip)]
    load: f64,
    /// Cost of what failed at once, held against the member for as long as work would have taken.
    ghost: f64,
    /// Most cost in flight. Less than a request's is kept in time: pauses between requests.
    limit: f64,
    paused_until: Micros,
    /// Running mean of latency over its class's mean.
    stretch: f64,
    /// Running share of failures.
    fail: f64,
    /// Weight in the draw, before zone and load.
    weight: f64,
    /// Out by the operators' hand, whatever the list says.
    barred: bool,
    /// The list calling it gone binds nobody: it has not drained since its start.
    unbound: bool,
    /// Connections refused or cut in a row since a request was last answered.
    breaks: u32,
    /// Since when, and whether one was cut, as by a process that died.
    broken: Option<(Micros, bool)>,
    /// Out of the draw since then.
    ejected: Option<Micros>,
    probed_at: Micros,
    #[serde(skip)]
    probing: bool,
    /// Last send or answer: since then its connections are idle.
    used_at: Micros,
    /// What a cold member may still be sent; starts at random below nothing, to spread the drivers.
    credit: f64,
}

impl Member {
    fn new(entry: Entry, role: Role, limit: f64) -> Member {
        let weight = entry.weight.max(TRICKLE);
        Member { entry, role, limit, weight, stretch: 1.0, ..Member::default() }
    }

    fn usable(&self) -> bool {
        self.listed() && self.ejected.is_none()
    }

    fn listed(&self) -> bool {
        let listed = self.entry.listed == Listed::Ready || self.entry.listed == Listed::Gone && self.unbound;
        listed && !self.barred
    }

    /// Books that an attempt of this cost takes no room any more.
    fn release(&mut self, cost: f64) {
        self.inflight = self.inflight.saturating_sub(1);
        self.load = if self.inflight == 0 { 0.0 } else { (self.load - cost).max(0.0) };
    }

    /// Books a new start: it is cold, its position is still valid.
    fn restart(&mut self, at: Micros, rng: &mut Pcg64Mcg) {
        self.born = at;
        self.credit = -unit(rng);
    }

    /// Books a connection that broke or could not be made. One says little: a full table, a slow link
    /// and a lost answer break those of sound members too; a dead process breaks the next one as well.
    fn break_off(&mut self, now: Micros, cut: bool) {
        self.breaks += 1;
        let (since, before) = self.broken.unwrap_or((now, false));
        self.broken = Some((since, before || cut));
        if self.breaks >= EJECT_AFTER {
            self.ejected = Some(now);
        }
    }
}

#[derive(Clone, Default, Serialize, Deserialize)]
struct Group {
    members: Vec<MemberId>,
    /// Cost served of late, over `Router::span`.
    served: f64,
    /// Members listed as ready.
    live: f64,
    /// The latest commit whose session was forgotten: a member that joins later may not have it yet.
    floor: Micros,
    #[serde(skip)]
    waiting: Vec<RequestId>,
}

#[derive(Default)]
struct Open {
    req: Request,
    arrived: Micros,
    deadline: Micros,
    /// Most attempts, as the settings had it when it arrived.
    most: u32,
    /// After this an answer is worth nothing.
    give_up: Micros,
    attempts: u32,
    out: Vec<(AttemptNo, MemberId)>,
    /// Send time of the first attempt that may have run.
    ran: Option<Micros>,
    /// An attempt ended without proof that it did not run.
    unproven: bool,
    errors: u32,
    avoid: Vec<MemberId>,
}

impl Open {
    /// Whether every attempt so far is proved not to have run.
    fn unrun(&self) -> bool {
        self.out.is_empty() && !self.unproven
    }
}

struct Attempt {
    class: ClassId,
    session: Option<SessionKey>,
    /// For how long the connection had been idle, as far as that matters.
    idle: Option<Micros>,
    /// Position that its answer must show.
    needed: Micros,
    cost: f64,
    load: f64,
    /// Its answer flows: the member has done the work and has room again.
    flows: bool,
}

#[derive(Clone, Serialize, Deserialize)]
struct Session {
    group: GroupId,
    #[serde(skip)]
    pending: u32,
    commit: Micros,
}

/// Makes the decisions of one driver.
pub struct Router {
    settings: Settings,
    rng: Pcg64Mcg,
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    /// Members that operators have put down, in the list or not.
    barred: BTreeSet<MemberId>,
    open: BTreeMap<RequestId, Open>,
    attempts: BTreeMap<(RequestId, AttemptNo), Attempt>,
    sessions: BTreeMap<SessionKey, Session>,
    /// Part of the usual limits that one of so many drivers has.
    limit_share: f64,
    /// Mean latency of each class.
    means: Vec<f64>,
    surveyed: Micros,
    /// When the next sweep is due, zero before the first; a timer that ends before is stale.
    wake: Micros,
    /// Probes that the requests so far have paid for.
    probe_credit: f64,
    /// Time over which the groups' served cost counts, in microseconds: longer than a warm-up.
    span: f64,
    /// Longest that a connection may be idle and still be trusted to carry a request.
    idle_trust: Micros,
    /// Attempts without an answer in a row, all on idle connections.
    idle_losses: u32,
}

/// An even draw between 0 and 1.
fn unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

impl Router {
    /// A router that knows nothing but its settings; `seed` feeds its draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Router {
            means: settings.classes.iter().map(|c| c.aim.as_f64() / 5.0).collect(),
            idle_trust: settings.connection_idle,
            limit_share: (FULL_LIMITS / f64::from(settings.drivers.max(1))).min(1.0),
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            barred: BTreeSet::new(),
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
            sessions: BTreeMap::new(),
            surveyed: Micros(0),
            wake: Micros(0),
            probe_credit: PROBE_SAVED,
            span: 0.0,
            idle_losses: 0,
        }
    }

    /// Goes on under new settings. Their classes stand at the old places wherever a request is open.
    pub fn retune(&mut self, settings: Settings) {
        for (place, class) in settings.classes.iter().enumerate() {
            let same = self.settings.classes.get(place).is_some_and(|old| old == class);
            self.means.resize(self.means.len().max(place + 1), 0.0);
            self.means[place] = if same { self.means[place] } else { class.aim.as_f64() / 5.0 };
        }
        self.settings = settings;
    }

    /// Takes one event at `now` and appends what the driver must do, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if self.wake == Micros(0) {
            self.surveyed = now;
            if self.settings.must_watch {
                actions.push(Action::Watch);
            }
            self.sweep(now, actions);
        }
        match event {
            Event::Members { kind, entries } => self.members_listed(now, kind, entries, actions),
            Event::Request(req) => self.arrive(now, req, actions),
            Event::Started { request } => self.started(now, request, actions),
            Event::Outcome(outcome) => self.outcome(now, outcome, actions),
            Event::Gone(id) => self.close(id),
            Event::Bar { member, out } => self.bar(now, member, out, actions),
            Event::Timer(SWEEP) if now >= self.wake => self.sweep(now, actions),
            Event::Timer(_) | Event::Peer { .. } => {}
            Event::Probed { member, status, report } => self.probed(now, member, status, report, actions),
        }
    }

    // ---- Members and evidence ----

    fn members_listed(&mut self, now: Micros, kind: ListKind, entries: Vec<Entry>, actions: &mut Actions) {
        match kind {
            ListKind::Failed if self.settings.must_watch => actions.push(Action::Watch),
            ListKind::Failed | ListKind::Changes => {}
            ListKind::Full => {
                let named = |m: &Member| entries.iter().any(|e| e.member == m.entry.member);
                for member in self.members.values_mut().filter(|m| !named(m)) {
                    member.entry.listed = Listed::Gone;
                }
            }
        }
        let start = LIMIT_START * self.limit_share.sqrt();
        for entry in entries {
            let role = if entry.primary { Role::Primary } else { Role::Replica };
            let member = self.members.entry(entry.member).or_insert_with(|| Member::new(entry, role, start));
            let group = self.groups.entry(entry.group).or_default();
            if !group.members.contains(&entry.member) {
                group.members.push(entry.member);
                group.members.sort();
            }
            member.barred = self.barred.contains(&entry.member);
            if entry.started > member.born {
                // What was known of its health is void.
                member.fail = 0.0;
                member.restart(entry.started, &mut self.rng);
                if now - entry.started < self.settings.cold_time {
                    member.limit = start;
                }
            }
            member.entry = entry;
            // Where only draining binds the list may miss live members; one that drained keeps its bond.
            let only_draining = self.settings.only_draining_binds;
            let drains = entry.listed == Listed::Draining;
            member.unbound = only_draining && !drains && (member.unbound || entry.listed == Listed::Ready);
        }
    }

    /// Leaves a member out by hand, or puts it back. It may have been started anew meanwhile: it comes back
    /// cold, with its old position and no say in who leads, and nothing else of it counts any more.
    fn bar(&mut self, now: Micros, id: MemberId, out: bool, actions: &mut Actions) {
        let changed = if out { self.barred.insert(id) } else { self.barred.remove(&id) };
        actions.push(Action::CloseIdle { member: id });
        let Some(member) = self.members.get_mut(&id).filter(|_| changed) else { return };
        member.barred = out;
        if !out {
            let limit = LIMIT_START * self.limit_share.sqrt();
            let new = Member::new(member.entry, Role::Replica, limit);
            let old = std::mem::replace(member, new);
            (member.position, member.position_at, member.lag) = (old.position, old.position_at, old.lag);
            (member.inflight, member.load, member.probing) = (old.inflight, old.load, old.probing);
            (member.role_at, member.unbound) = (old.role_at, old.unbound);
            member.restart(now, &mut self.rng);
        }
        self.wake_by(now, actions);
    }

    /// Whether a member may be sent anything new.
    pub fn admits(&self, id: MemberId) -> bool {
        self.members.get(&id).is_some_and(Member::listed)
    }

    /// Whether a member is left out, by hand or by choice.
    pub fn avoids(&self, id: MemberId) -> bool {
        self.barred.contains(&id) || self.members.get(&id).is_some_and(|m| m.ejected.is_some())
    }

    /// Takes in what a member said. A position stays valid for ever; the latest word on the role wins.
    fn learn(&mut self, now: Micros, id: MemberId, role: Option<Role>, at: Micros, position: Option<Micros>) {
        let Some(member) = self.members.get_mut(&id) else { return };
        if let Some(role) = role.filter(|_| at >= member.role_at) {
            member.role = role;
            member.role_at = at;
        }
        let position = position.map(|p| Micros(p.0.min(now.0)));
        if position.is_some() && position >= member.position {
            member.position = position;
            member.position_at = now;
            member.lag = now - position.unwrap_or_default();
        }
    }

    /// A member has answered a request or a probe.
    fn heard(&mut self, now: Micros, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.ejected = None;
        if member.broken.take().is_some_and(|(since, cut)| cut && now - since > AWAY) {
            // Away for so long, its process has most likely started again, whatever the list says: cold.
            member.restart(now, &mut self.rng);
        }
    }

    /// The member believed to be the group's primary: the latest claim that nothing newer disproved.
    fn primary(&self, group: GroupId) -> Option<MemberId> {
        let members = self.groups.get(&group)?.members.iter();
        let claims = members.filter(|id| self.members[id].role == Role::Primary);
        let latest = claims.max_by_key(|id| self.members[id].role_at)?;
        self.members[latest].usable().then_some(*latest)
    }

    /// Share of its capacity that a member surely has: growth is never slower than even.
    fn warmth(&self, now: Micros, member: &Member) -> f64 {
        let cold_time = self.settings.cold_time.as_f64();
        let age = (now - member.born).as_f64();
        if member.born == Micros(0) || age >= cold_time {
            return 1.0;
        }
        self.settings.cold_from + (1.0 - self.settings.cold_from) * age / cold_time
    }

    // ---- Arrival ----

    fn arrive(&mut self, now: Micros, req: Request, actions: &mut Actions) {
        let class = &self.settings.classes[req.class.0];
        let deadline = now + req.time_left;
        let aim = if class.late_worth > 0.0 { deadline } else { deadline.min(now + class.aim) };
        let give_up = aim - self.settings.tick;
        if let (Need::Write, Some(key)) = (class.need, req.session) {
            self.session(req.group, key).pending += 1;
        }
        let paid = PROBE_SPEND / self.settings.probe_price.max(f64::MIN_POSITIVE);
        self.probe_credit = (self.probe_credit + paid).min(PROBE_SAVED);
        let most = self.settings.max_attempts;
        self.open.insert(req.id, Open { req, arrived: now, deadline, most, give_up, ..Open::default() });
        // What is left of a late retry may be less than a sweep: it is not sent only to be given up.
        if now + self.period() >= give_up {
            return self.give_up(now, req.id, actions);
        }
        self.groups.entry(req.group).or_default().waiting.push(req.id);
        self.place_waiting(now, req.group, actions);
        if self.open[&req.id].out.is_empty() {
            self.check_request(now, req.id, actions);
        }
        let waits = !self.groups[&req.group].waiting.is_empty();
        self.wake_by(if waits { now + self.period() } else { give_up.min(now + SURVEY) }, actions);
    }

    fn session(&mut self, group: GroupId, key: SessionKey) -> &mut Session {
        self.sessions.entry(key).or_insert(Session { group, pending: 0, commit: Micros(0) })
    }

    /// A session's write was committed, here or at the process beside this one.
    pub fn committed(&mut self, group: GroupId, key: SessionKey, commit: Micros) {
        let session = self.session(group, key);
        session.commit = session.commit.max(commit);
    }

    /// Cost of a request in usual requests: its class's mean latency against the smallest.
    fn cost(&self, class: ClassId) -> f64 {
        let least = self.means.iter().copied().fold(f64::INFINITY, f64::min);
        self.means[class.0] / least
    }

    /// Sends as many of a group's waiting requests as there is room for: writes before reads, since
    /// only the primary takes them, then by worth for work.
    fn place_waiting(&mut self, now: Micros, group: GroupId, actions: &mut Actions) {
        let Some(queue) = self.groups.get_mut(&group).map(|g| std::mem::take(&mut g.waiting)) else { return };
        let keyed = |id| {
            let class = self.open.get(&id)?.req.class.0;
            let settings = &self.settings.classes[class];
            Some(((settings.need == Need::Write, settings.worth / self.means[class]), id))
        };
        let mut queue: Vec<_> = queue.into_iter().rev().filter_map(keyed).collect();
        // The newest first: in an overload it is the one that can still be in time, while the oldest
        // would be sent only to be given up. Serves any backlog; the oldest are refused early.
        queue.sort_by(|((a_write, a), _), ((b_write, b), _)| b_write.cmp(a_write).then(b.total_cmp(a)));
        let mut left = Vec::new();
        let mut writes_wait = false;
        // Once some of a class find no room the rest would not either, and a long queue costs CPU.
        let mut failed = vec![0; self.means.len()];
        for ((write, _), id) in queue {
            let class = self.open[&id].req.class.0;
            let member = if failed[class] < SCAN { self.choose(now, id, writes_wait) } else { None };
            if let Some(member) = member {
                self.send(now, id, member, actions);
            } else {
                failed[class] += 1;
                writes_wait |= write;
                left.push(id);
            }
        }
        left.reverse();
        if let Some(group) = self.groups.get_mut(&group) {
            group.waiting = left;
        }
    }

    // ---- Choice ----

    /// The members of a group that may be sent to. Where all are ejected none is: it is not their fault.
    fn candidates(&self, group: GroupId) -> Vec<MemberId> {
        let Some(group) = self.groups.get(&group) else { return Vec::new() };
        let listed: Vec<_> = group.members.iter().copied().filter(|m| self.members[m].listed()).collect();
        let usable: Vec<_> = listed.iter().copied().filter(|m| self.members[m].usable()).collect();
        if usable.is_empty() {
            listed
        } else {
            usable
        }
    }

    fn has_room(&self, now: Micros, id: MemberId, cost: f64, part: f64) -> bool {
        let member = &self.members[&id];
        let warmth = self.warmth(now, member);
        if now < member.paused_until || warmth < 1.0 && member.credit <= 0.0 {
            return false;
        }
        let busy = member.load + member.ghost;
        busy < SPENT || busy + cost.min(member.limit / 2.0) <= member.limit * warmth * part
    }

    /// Whether a further attempt keeps rule two and the limits on attempts.
    fn may_send(&self, now: Micros, open: &Open) -> bool {
        let free = open.unrun();
        let copies = open.out.is_empty() || self.settings.second_copies;
        open.attempts < open.most
            && match self.settings.classes[open.req.class.0].effect {
                Effect::Safe => copies && open.errors < EJECT_AFTER,
                Effect::Unsafe | Effect::Keyed { scope: RepeatScope::Zone, .. } => free,
                Effect::Keyed { window, .. } => {
                    free || copies && open.ran.is_none_or(|sent| now < sent + window)
                }
            }
    }

    /// The position that a read sent now must see.
    fn needed(&self, now: Micros, open: &Open) -> Micros {
        match (self.settings.classes[open.req.class.0].need, self.settings.tokens) {
            (Need::Write | Need::Any, _) => Micros(0),
            (Need::Bounded(bound), _) => now - bound,
            (Need::Fresh, _) => open.arrived,
            (Need::Session, Tokens::Carried) => {
                open.req.since_commit.map_or(Micros(0), |age| open.arrived - age)
            }
            (Need::Session, Tokens::Remembered) => {
                let session = open.req.session.and_then(|key| self.sessions.get(&key));
                let floor = self.groups.get(&open.req.group).map_or(Micros(0), |g| g.floor);
                session.map_or(floor, |s| s.commit.max(floor))
            }
        }
    }

    /// The member for a waiting request, if one can take it now. While writes wait, the primary is
    /// closed to reads.
    fn choose(&mut self, now: Micros, id: RequestId, writes_wait: bool) -> Option<MemberId> {
        let open = self.open.get(&id)?;
        if !self.may_send(now, open) {
            return None;
        }
        let class = &self.settings.classes[open.req.class.0];
        let (group, cost) = (open.req.group, self.cost(open.req.class));
        let primary = self.primary(group);
        if class.need == Need::Write {
            return self.choose_writer(now, open, cost);
        }
        let needed = self.needed(now, open);
        let session = open.req.session.and_then(|key| self.sessions.get(&key));
        let pinned = session.is_some_and(|s| s.pending > 0);
        let pin_holds = class.need == Need::Session && pinned && primary.is_some();
        let candidate = |m: &MemberId| {
            let out = open.avoid.contains(m) || open.out.iter().any(|(_, tried)| tried == m);
            Some(*m) != primary && !pin_holds && !out && self.has_room(now, *m, cost, 1.0)
        };
        let replicas: Vec<MemberId> = self.candidates(group).into_iter().filter(candidate).collect();
        let covers = |m: &MemberId| self.members[m].position.unwrap_or_default() >= needed;
        let eligible: Vec<MemberId> = replicas.iter().copied().filter(covers).collect();
        let primary = primary.filter(|m| !writes_wait && !open.avoid.contains(m));
        if let Some(member) = self.draw(now, &eligible) {
            return Some(member);
        }
        // Where replicas check, those that should have caught up come before the primary.
        if self.settings.checks == Checks::Refuse {
            let caught_up = |m: &MemberId| now - self.members[m].lag > needed;
            let hopeful: Vec<MemberId> = replicas.into_iter().filter(caught_up).collect();
            if let Some(member) = self.draw(now, &hopeful) {
                return Some(member);
            }
        }
        primary.filter(|m| self.has_room(now, *m, cost, PRIMARY_READ_PART))
    }

    /// Whether the attempt that is out may still be written now that its connection is up.
    pub fn holds(&self, now: Micros, id: RequestId) -> bool {
        let Some(open) = self.open.get(&id) else { return false };
        let to = open.out.last().map(|(_, to)| *to);
        let Some(member) = to.and_then(|to| self.members.get(&to)) else { return false };
        let leads = self.settings.classes[open.req.class.0].need == Need::Write;
        let leads = leads || to == self.primary(open.req.group);
        member.listed() && (leads || member.position.unwrap_or_default() >= self.needed(now, open))
    }

    /// Where a write goes: the primary, or while none is known the most advanced of the members that
    /// have not just said that they are replicas. Answers to reads tell of a new primary too.
    fn choose_writer(&self, now: Micros, open: &Open, cost: f64) -> Option<MemberId> {
        let fits = |m: &MemberId| self.has_room(now, *m, cost, 1.0);
        if let Some(member) = self.primary(open.req.group) {
            return Some(member).filter(fits);
        }
        if !open.out.is_empty() || open.attempts + 2 > open.most {
            return None;
        }
        let mut unsure = self.candidates(open.req.group);
        let asked = |m: &Member| now - m.role_at.max(m.used_at) < SEEK;
        unsure.retain(|m| fits(m) && !asked(&self.members[m]));
        unsure.into_iter().max_by_key(|m| self.members[m].position)
    }

    /// Draws a replica: periodic weight, nearness, and against the load in flight. A driver keeps to
    /// replicas that it has connections to: new ones take time and work, and are capped.
    fn draw(&mut self, now: Micros, eligible: &[MemberId]) -> Option<MemberId> {
        let far = 1.0 + ZONE_PULL * self.settings.cross_zone_price;
        let weight = |id: &MemberId| {
            let member = &self.members[id];
            let distance = if member.entry.zone == self.settings.zone { 1.0 } else { far };
            let linked = now - member.used_at < self.settings.connection_idle;
            let distance = if linked { distance } else { distance * LINK_PULL };
            let busy = 1.0 + (member.load + member.ghost) / member.weight;
            member.weight / distance / (busy * busy)
        };
        let weights: Vec<f64> = eligible.iter().map(weight).collect();
        let total: f64 = weights.iter().sum();
        let mut point = unit(&mut self.rng) * total;
        for (id, weight) in eligible.iter().zip(weights) {
            if point < weight {
                return Some(*id);
            }
            point -= weight;
        }
        eligible.last().copied()
    }

    // ---- Send ----

    fn send(&mut self, now: Micros, id: RequestId, to: MemberId, actions: &mut Actions) {
        let Some(class) = self.open.get(&id).map(|open| open.req.class) else { return };
        let cost = self.cost(class);
        let needed = self.needed(now, &self.open[&id]);
        let (Some(open), Some(member)) = (self.open.get_mut(&id), self.members.get_mut(&to)) else { return };
        let attempt = AttemptNo(open.attempts);
        open.attempts += 1;
        open.out.push((attempt, to));
        open.ran = open.ran.or(Some(now));
        let (since, open_for) = (now - member.used_at, self.settings.connection_idle);
        let idle = member.inflight == 0 && since > SEEK && since < open_for;
        if idle && since > self.idle_trust {
            actions.push(Action::CloseIdle { member: to });
        }
        let idle = (idle && since <= self.idle_trust).then_some(since);
        member.used_at = now;
        member.inflight += 1;
        member.load += cost;
        member.credit -= cost;
        let session = open.req.session;
        self.attempts.insert(
            (id, attempt),
            Attempt { class, session, idle, needed, cost, load: member.load, flows: false },
        );
        actions.push(Action::Send { request: id, member: to, timeout: None });
    }

    // ---- Outcome ----

    fn outcome(&mut self, now: Micros, o: Outcome, actions: &mut Actions) {
        let Some(attempt) = self.attempts.remove(&(o.request, o.attempt)) else { return };
        self.judge(now, &o, &attempt);
        let answered =
            matches!(o.status, Status::Ok | Status::Miss | Status::Full | Status::Error | Status::Spoilt);
        if answered {
            self.heard(now, o.member);
            self.members.entry(o.member).and_modify(|m| m.breaks = 0);
        }
        let write = self.settings.classes[attempt.class.0].need == Need::Write;
        // A served write's position is its commit, which its primary has reached.
        self.learn(now, o.member, o.role, now, o.position);
        self.learn(now, o.member, o.report.role, o.report.position.unwrap_or_default(), o.report.position);
        if o.status == Status::Ok && write {
            let group = self.members.get(&o.member).map(|m| m.entry.group);
            if let (Some(group), Some(key), Some(commit)) = (group, attempt.session, o.position) {
                self.committed(group, key, commit);
            }
        }
        let Some(member) = self.members.get_mut(&o.member) else { return };
        let group = member.entry.group;
        if o.status == Status::Ok {
            self.groups.entry(group).or_default().served += attempt.cost;
        }
        if attempt.needed > Micros(0) && self.settings.checks == Checks::Refuse {
            // Where members check, what they serve and what they turn away tells how far they are.
            if o.status == Status::Miss {
                member.lag = member.lag.max(now - attempt.needed);
            } else if o.status == Status::Ok {
                member.position = member.position.max(Some(attempt.needed));
                member.lag = member.lag.min(now - attempt.needed);
            }
        }
        if o.finished {
            self.call_off_rest(o.request, actions);
            self.close(o.request);
        } else {
            self.after_failure(now, &o, actions);
        }
        self.place_waiting(now, group, actions);
    }

    /// An answer has begun to flow: the request belongs to its client, and the member has room again.
    fn started(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let Some(Open { req, out, .. }) = self.open.get(&id) else { return };
        for (no, to) in out {
            if let (Some(a), Some(m)) = (self.attempts.get_mut(&(id, *no)), self.members.get_mut(to)) {
                a.flows = true;
                m.release(a.cost);
            }
        }
        let group = req.group;
        self.close(id);
        self.place_waiting(now, group, actions);
    }

    /// Books an outcome to its member: load, limit, latency and failures.
    fn judge(&mut self, now: Micros, o: &Outcome, attempt: &Attempt) {
        let mean = &mut self.means[attempt.class.0];
        let aim = self.settings.classes[attempt.class.0].aim.as_f64();
        let latency = o.latency.as_f64();
        let Some(member) = self.members.get_mut(&o.member) else { return };
        member.used_at = if o.status == Status::ConnectFailed { Micros(0) } else { now };
        if !attempt.flows {
            member.release(attempt.cost);
        }
        // Answers that stay out on idle connections only: something drops those unseen. Shorter idle
        // times are trusted then, not so where none can be made, and the member is not blamed.
        let silent = matches!(o.status, Status::Timeout | Status::Cancelled | Status::Reset);
        let idle = attempt.idle.filter(|_| silent);
        if o.status == Status::ConnectFailed {
            self.idle_trust = self.settings.connection_idle;
        } else if silent || attempt.idle.is_some() {
            self.idle_losses = if idle.is_some() { self.idle_losses + 1 } else { 0 };
        }
        let dropped = idle.filter(|_| self.idle_losses >= IDLE_LOSSES);
        self.idle_trust = dropped.map_or(self.idle_trust, |time| self.idle_trust.min(time.scale(0.5)));
        let used = match o.status {
            _ if dropped.is_some() => None,
            Status::Ok => {
                member.stretch += (latency / *mean - member.stretch) * MEMBER_GAIN;
                *mean += (latency - *mean) * MEAN_GAIN;
                Some(latency / aim)
            }
            Status::Timeout | Status::Cancelled => {
                *mean += (latency - *mean).max(0.0) * MEAN_GAIN;
                Some((latency / aim).max(1.0))
            }
            Status::Full => Some(MISSED),
            _ => None,
        };
        if let Some(used) = used {
            // Of many drivers each sees few answers, and the noise of their steps evens out: they are longer.
            let step = LIMIT_STEP / self.limit_share.sqrt() * (1.0 - used.min(MISSED) / LIMIT_AIM);
            let step = step * attempt.cost.min(member.limit.max(1.0));
            if step < 0.0 || attempt.load * 2.0 > member.limit {
                member.limit = (member.limit + step).max(LIMIT_FLOOR * self.limit_share);
            }
            member.paused_until = now + o.latency.scale(1.0 / member.limit - 1.0);
        }
        match o.status {
            Status::Ok => member.fail -= member.fail * MEMBER_GAIN,
            // It has done the work and sent something: neither down nor idle.
            Status::Spoilt => member.fail += (1.0 - member.fail) * MEMBER_GAIN,
            // A member that fails or turns away at once must not look lightly loaded and draw all
            // traffic; one that failed by chance is spared for no longer than a request takes.
            Status::Error | Status::Full | Status::ConnectFailed | Status::Reset => {
                member.fail += (1.0 - member.fail) * MEMBER_GAIN;
                member.ghost += attempt.cost;
            }
            _ => {}
        }
        if matches!(o.status, Status::ConnectFailed | Status::Reset) {
            member.break_off(now, o.status == Status::Reset);
        }
    }

    /// What becomes of a request whose attempt failed.
    fn after_failure(&mut self, now: Micros, o: &Outcome, actions: &mut Actions) {
        let Some(open) = self.open.get_mut(&o.request) else { return };
        open.out.retain(|(attempt, _)| *attempt != o.attempt);
        let proved = matches!(o.status, Status::Full | Status::ConnectFailed | Status::Moot | Status::Miss);
        open.unproven |= !proved;
        open.ran = open.ran.filter(|_| !open.unrun());
        open.avoid.push(o.member);
        // Errors that follow a read from member to member are its own.
        open.errors += u32::from(o.status == Status::Error);
        if open.out.is_empty() {
            let open = &self.open[&o.request];
            if !self.may_send(now, open) || now + self.settings.tick >= open.deadline {
                self.give_up(now, o.request, actions);
            } else {
                self.groups.entry(open.req.group).or_default().waiting.push(o.request);
            }
        }
    }

    // ---- Final answer ----

    /// Ends a request unserved, at once: refused where that is proved harmless, else failed.
    fn give_up(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let Some(open) = self.open.get(&id) else { return };
        let effect = self.settings.classes[open.req.class.0].effect;
        let harmless = matches!(effect, Effect::Safe | Effect::Keyed { scope: RepeatScope::All, .. });
        if harmless || open.unrun() {
            let wait = Micros(self.means[open.req.class.0] as u64).min(self.settings.max_retry_after);
            let useful = self.settings.retry_after && now + wait < open.deadline;
            actions.push(Action::Refuse { request: id, retry_after: useful.then_some(wait) });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.call_off_rest(id, actions);
        self.close(id);
    }

    /// Cancels the attempts still out for a finished read: their answers serve nobody.
    fn call_off_rest(&self, id: RequestId, actions: &mut Actions) {
        let Some(open) = self.open.get(&id) else { return };
        if self.settings.cancels && self.settings.classes[open.req.class.0].effect == Effect::Safe {
            let out = open.out.iter().filter(|(attempt, _)| self.attempts.contains_key(&(id, *attempt)));
            actions.extend(out.map(|(attempt, _)| Action::Cancel { request: id, attempt: *attempt }));
        }
    }

    /// Forgets a finished request; its attempts are still booked as they end.
    fn close(&mut self, id: RequestId) {
        let Some(open) = self.open.remove(&id) else { return };
        if self.settings.classes[open.req.class.0].need == Need::Write {
            if let Some(session) = open.req.session.and_then(|key| self.sessions.get_mut(&key)) {
                session.pending = session.pending.saturating_sub(1);
            }
        }
    }

    // ---- Sweep ----

    fn period(&self) -> Micros {
        Micros(self.settings.tick.0.max(1) * SWEEP_TICKS)
    }

    /// Asks for a sweep at `at`, unless one comes before.
    fn wake_by(&mut self, at: Micros, actions: &mut Actions) {
        if at < self.wake {
            self.wake = at;
            actions.push(Action::SetTimer { timer: SWEEP, at });
        }
    }

    fn sweep(&mut self, now: Micros, actions: &mut Actions) {
        self.wake = Micros(u64::MAX);
        let period = self.period();
        if now - self.surveyed >= SURVEY {
            self.reweigh(now);
            self.check_members(now, actions);
        }
        for id in self.open.keys().copied().collect::<Vec<_>>() {
            self.check_request(now, id, actions);
        }
        let waits = |g: &Group| !g.waiting.is_empty();
        let groups: Vec<GroupId> = self.groups.iter().filter(|(_, g)| waits(g)).map(|(id, _)| *id).collect();
        for group in groups {
            self.place_waiting(now, group, actions);
        }
        let ends = self.open.values().map(|o| o.give_up.min(o.deadline - period));
        let next = match ends.min() {
            _ if self.groups.values().any(waits) => now + period,
            Some(end) => (now + self.settings.tick).max(end.min(now + SURVEY)),
            None => now + SEEK,
        };
        self.wake_by(next, actions);
    }

    /// Ends a request that can no longer be worth anything; rescues one that is lost.
    fn check_request(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let (period, Some(open)) = (self.period(), self.open.get(&id)) else { return };
        let class = &self.settings.classes[open.req.class.0];
        let mean = Micros(self.means[open.req.class.0] as u64);
        let waiting = open.out.is_empty();
        // A read that has waited for this part of its aim would be sent only to be given up. One that was
        // never sent is given up while its client has the time to come again.
        let aimed =
            if class.late_worth > 0.0 { open.give_up } else { open.arrived + class.aim.scale(PATIENCE) };
        let held =
            if open.unproven { open.give_up } else { open.arrived + open.req.time_left.scale(HELD_PART) };
        let patience = aimed.min(held);
        let hopeless = waiting && (now + mean >= open.give_up || now >= patience);
        let settled = class.effect == Effect::Safe || waiting;
        if hopeless || settled && now >= open.give_up || now + period >= open.deadline {
            self.give_up(now, id, actions);
            return;
        }
        if waiting || !self.may_send(now, open) {
            return;
        }
        // Attempts at a member that went down are given up for lost: a read is sent elsewhere while it
        // can still be in time, a keyed write to the new primary once that is known.
        let usable = |m: &MemberId| self.members.get(m).is_some_and(Member::usable);
        if open.out.iter().any(|(_, m)| usable(m)) {
            return;
        }
        if let Some(to) = self.choose(now, id, false) {
            self.send(now, id, to, actions);
        }
    }

    /// Renews the weights of the draw, the rates and what cold members may be sent, and forgets what
    /// is past. A cold member gets of each driver its even part of what the group served there, as far
    /// as it is warm: the sum stays inside the multiple. A driver may use its share of a single core.
    fn reweigh(&mut self, now: Micros) {
        let elapsed = (now - self.surveyed).as_f64().max(1.0);
        self.surveyed = now;
        let forget = 0.5f64.powf(elapsed / FAIL_HALF_LIFE.as_f64());
        let keep = 0.5f64.powf(elapsed / (2.0 * self.settings.cold_time.as_f64()));
        self.span = self.span * keep + elapsed;
        self.idle_trust = self.idle_trust.scale(1.0 / forget.powf(0.3)).min(self.settings.connection_idle);
        for group in self.groups.values_mut() {
            group.served *= keep;
            group.live = group.members.iter().filter(|id| self.members[id].listed()).count() as f64;
        }
        let usual = self.means.iter().copied().fold(f64::INFINITY, f64::min);
        let multiple = self.settings.fall_multiple * COLD_PART;
        let floor = 1.0 / f64::from(self.settings.drivers.max(1)) / usual;
        let window = self.settings.fall_time.as_f64() * COLD_BURST;
        let warmth: Vec<f64> = self.members.values().map(|m| self.warmth(now, m)).collect();
        for (member, warmth) in self.members.values_mut().zip(warmth) {
            member.ghost *= (-elapsed * (1.0 - member.fail) / usual).exp();
            let group = &self.groups[&member.entry.group];
            let rate = (group.served / self.span / group.live.max(1.0)).max(floor) * warmth * multiple;
            member.credit = (member.credit + rate * elapsed.min(window)).min(rate * window);
            member.fail *= forget;
            member.lag = member.lag.scale(forget);
            let sound = (1.0 - member.fail).powi(4);
            let size = if member.entry.weight > 0.0 { member.entry.weight } else { 1.0 };
            member.weight = (size * warmth * sound / member.stretch.max(0.2)).max(TRICKLE);
        }
        // Members gone for good are forgotten, or years of replacements would add up.
        let held = |m: &Member| m.inflight > 0 || m.entry.listed == Listed::Ready;
        self.members.retain(|_, m| held(m) || m.listed() && m.breaks <= EJECT_AFTER + EJECT_DOUBLINGS);
        for group in self.groups.values_mut() {
            group.members.retain(|id| self.members.contains_key(id));
        }
        // A token that every live member has passed holds nobody back any more.
        let behind = |m: &&Member| m.listed() && m.role != Role::Primary;
        let position =
            |id: &MemberId| Some(&self.members[id]).filter(behind).map(|m| m.position.unwrap_or_default());
        let passed = |g: &Group| g.members.iter().filter_map(position).min().unwrap_or(now);
        let passed: BTreeMap<_, _> = self.groups.iter().map(|(id, g)| (*id, passed(g))).collect();
        self.sessions.retain(|_, s| {
            let Some(group) = self.groups.get_mut(&s.group) else { return s.pending > 0 };
            let held = s.pending > 0 || passed[&s.group] < s.commit;
            group.floor = if held { group.floor } else { group.floor.max(s.commit) };
            held
        });
    }

    /// Probes members whose connections broke, and where members do not check reads themselves those
    /// whose position is oldest, as far as the requests served pay for it.
    fn check_members(&mut self, now: Micros, actions: &mut Actions) {
        let routine = self.settings.checks == Checks::None;
        let mut due = Vec::new();
        for (id, member) in self.members.iter_mut().filter(|(_, m)| m.listed()) {
            // A member that is out gets a request now and then, ever more seldom.
            let pause =
                AWAY.scale(f64::from(1 << member.breaks.saturating_sub(EJECT_AFTER).min(EJECT_DOUBLINGS)));
            member.ejected = member.ejected.filter(|since| now - *since <= pause);
            let urgent = member.breaks > 0;
            let asked = member.probed_at.max(member.position_at);
            let due_now = !member.probing && (urgent || routine) && now - asked >= SEEK;
            due.extend((due_now && self.settings.probes).then_some((!urgent, asked, *id)));
        }
        due.sort();
        for (_, _, id) in due {
            let Some(member) = self.members.get_mut(&id).filter(|_| self.probe_credit >= 1.0) else { return };
            self.probe_credit -= 1.0;
            member.probing = true;
            member.probed_at = now;
            actions.push(Action::Probe { member: id });
        }
    }

    fn probed(&mut self, now: Micros, id: MemberId, status: Status, report: Report, actions: &mut Actions) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.probing = false;
        let group = member.entry.group;
        match status {
            Status::Ok => {
                self.heard(now, id);
                self.learn(now, id, report.role, report.position.unwrap_or_default(), report.position);
                self.place_waiting(now, group, actions);
            }
            Status::ConnectFailed | Status::Reset | Status::Timeout => {
                member.breaks = member.breaks.max(1);
                member.break_off(now, false);
                self.wake_by(now, actions);
            }
            _ => {}
        }
    }
}
