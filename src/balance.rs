//! Every decision of the router. Its types, events and actions are in `src/api.rs`.
//!
//! The ordinary path: a read goes to a replica whose last known log position covers the read's
//! token or bound, drawn by weight and load with the primary left out; otherwise to the primary.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use indexmap::IndexMap;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxBuildHasher;

use crate::api::*;

mod book;
pub(crate) mod chance;
mod estate;
mod sessions;
mod state;
mod upkeep;

use book::Book;
use chance::{draw, unit};
pub use estate::Estate;
use sessions::Sessions;
use state::{Attempt, Drawn, Due, Group, Member, Open, Turn};

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
const LIMIT_AIM: f64 = 0.25;
/// Most of its aim that a request may spend waiting for room while its family finds room for all...
const PATIENCE: f64 = 0.3;
/// ...and once it refuses this part of them or more: who waits then is late, and its client comes again by
/// itself sooner than a queue would get to it. Evenly less in between.
const CROWDED: f64 = 0.5;
const CROWDED_PATIENCE: f64 = 0.03;
/// Weight of a new request in that part: about the last fifty count.
const CROWD_GAIN: f64 = 0.02;
/// Step of a concurrency limit for each answer: some answers move it by a request's worth.
const LIMIT_STEP: f64 = 0.3;
/// Most that it may be for one of many drivers: an answer more or less moves a limit by a request's worth.
const LONGEST_STEP: f64 = 0.85;
/// A latency counts for at most this many aims, as does a full queue: a few requests that cost many times the
/// usual work do not speak for all.
const MISSED: f64 = 1.0;
/// Concurrency limit of a member never tried, in usual requests; it adapts within a second.
const LIMIT_START: f64 = 8.0;
/// Least concurrency limit over all drivers: enough to keep a member's cores at work, whatever makes all
/// answers slow, and to go on learning from them.
const LIMIT_FLOOR: f64 = 6.5;
/// Drivers up to which each may start with the whole limit; more share what so many have.
const FULL_LIMITS: f64 = 4.0;
/// Requests of a class that may fail to find room before the rest of it waits for the next pass.
const SCAN: u32 = 4;
/// Load under which a member counts as idle and may take a request of any size.
const SPENT: f64 = 0.1;
/// Part of the primary's limit open to reads that must be current, beyond the whole for others: they have no
/// other place, are few, and would be the class that is served worst.
const CURRENT_PART: f64 = 1.4;
/// Part open to writes while all replicas of the family keep up, and while all are behind: each write that is
/// taken is applied by all of them, and who is behind serves few reads until caught up.
const WRITE_PART: f64 = 1.25;
const BEHIND_WRITE_PART: f64 = 0.85;
/// How far behind that is where no class names a bound.
const BEHIND: Micros = Micros::millis(500);
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
/// Most that a probe may cost, in requests, for a read to ask a replica before it goes to the primary.
const ASK_PRICE: f64 = 0.25;
/// Part of its aim for which such a read waits for the word, so that one that goes unheard leaves it time
/// for another and for the primary, however short its aim.
const ASK_PART: f64 = ASK_PATIENCE / 3.0;
/// Most of its aim that a read of such a driver may wait: for the word of two.
const ASK_PATIENCE: f64 = 0.2;
/// Latency against the mean under which a primary has room to spare, so that nobody is asked.
const PRIMARY_EASE: f64 = 0.9;
/// Most probes saved up: a driver with little traffic can ask a whole small group at once.
const PROBE_SAVED: f64 = 4.0;
/// Time after which a member taken as down is tried by a request, and a return counts as a restart.
const AWAY: Micros = Micros::millis(1000);
/// How strongly the price of crossing zones pulls the draw to the driver's own zone.
const ZONE_PULL: f64 = 25.0;
/// How strongly a connection that is open pulls the draw, and how much more so for the price of a new one.
const LINK_PULL: f64 = 8.0;
const HANDSHAKE_PULL: f64 = 100.0;
/// Part of the multiple of its capacity that a cold member may be sent; the rest is for chance.
const COLD_PART: f64 = 0.7;
/// Part of the fall window's budget that a cold member may get in one go.
const COLD_BURST: f64 = 0.25;
/// Members of a family that one draw looks at, from a random place on where there are more.
const WINDOW: usize = 64;
/// Most members surveyed, sessions forgotten and families retried in one step; the rest comes in the next.
const SLICE: usize = 512;
/// The one timer: each sweep asks for the next.
const SWEEP: TimerId = TimerId(0);

// ---- State ----

type Actions = Vec<Action>;

impl Member {
    /// Share of its capacity that it surely has: growth is never slower than even.
    fn warmth(&self, now: Micros, settings: &Settings) -> f64 {
        let cold_time = settings.cold_time.as_f64();
        let age = (now - self.born).as_f64();
        if self.born == Micros(0) || age >= cold_time {
            return 1.0;
        }
        settings.cold_from + (1.0 - settings.cold_from) * age / cold_time
    }

    fn has_room(&self, now: Micros, settings: &Settings, cost: f64, part: f64) -> bool {
        now >= self.paused_until && self.has_place(now, settings, cost, part)
    }

    /// Whether it has room for a read that has no other place, pause or not: few are such, and a pause is for
    /// the many that may go elsewhere or come again.
    fn has_place(&self, now: Micros, settings: &Settings, cost: f64, part: f64) -> bool {
        let warmth = self.warmth(now, settings);
        if warmth < 1.0 && self.credit <= 0.0 {
            return false;
        }
        let busy = self.load + self.ghost;
        busy < SPENT || busy + cost.min(self.limit / 2.0) <= self.limit * warmth * part
    }

    fn usable(&self) -> bool {
        self.listed() && self.ejected.is_none()
    }

    fn listed(&self) -> bool {
        let listed = self.entry.listed == Listed::Ready || self.entry.listed == Listed::Gone && self.unbound;
        listed && !self.barred
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

/// Makes the decisions of one driver.
pub struct Router {
    settings: Settings,
    rng: Pcg64Mcg,
    members: IndexMap<MemberId, Member, FxBuildHasher>,
    groups: IndexMap<GroupId, Group, FxBuildHasher>,
    /// Members that operators have put down, in the list or not.
    barred: BTreeSet<MemberId>,
    open: BTreeMap<RequestId, Open>,
    attempts: BTreeMap<(RequestId, AttemptNo), Attempt>,
    book: Book,
    sessions: Sessions,
    /// What the last draw was from.
    drawn: Drawn,
    /// Part of the usual limits that one of so many drivers has.
    limit_share: f64,
    /// Mean latency of each class.
    means: Vec<f64>,
    surveyed: Micros,
    /// Time that the survey under way covers, and the place of the family that is next in it.
    survey: Option<(Micros, usize)>,
    /// The members to be probed first of those that it has seen.
    due: Vec<Due>,
    /// The family that was retried last, where not all had their turn.
    retried: Option<GroupId>,
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

/// What is left after so long of what halves like the memory of failures.
fn halved(elapsed: f64) -> f64 {
    0.5f64.powf(elapsed / FAIL_HALF_LIFE.as_f64())
}

/// Part of the usual limits that one of so many drivers has.
fn limit_share(settings: &Settings) -> f64 {
    (FULL_LIMITS / f64::from(settings.drivers.max(1))).min(1.0)
}

impl Router {
    /// Goes on under new settings. Their classes stand at the old places wherever a request is open.
    pub fn retune(&mut self, settings: Settings) {
        for (place, class) in settings.classes.iter().enumerate() {
            let same = self.settings.classes.get(place).is_some_and(|old| old == class);
            self.means.resize(self.means.len().max(place + 1), 0.0);
            self.means[place] = if same { self.means[place] } else { class.aim.as_f64() / 5.0 };
        }
        self.limit_share = limit_share(&settings);
        self.settings = settings;
        let period = self.period();
        for (id, open) in &mut self.open {
            let end = open.give_up.min(open.deadline - period);
            self.book.close(*id, std::mem::replace(&mut open.end, end), None);
            self.book.open(*id, end);
        }
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
                let named: HashSet<MemberId> = entries.iter().map(|e| e.member).collect();
                for member in self.members.values_mut().filter(|m| !named.contains(&m.entry.member)) {
                    member.entry.listed = Listed::Gone;
                }
            }
        }
        let start = LIMIT_START * self.limit_share.sqrt();
        let mut changed: BTreeSet<GroupId> = entries.iter().map(|entry| entry.group).collect();
        for entry in entries {
            let role = if entry.primary { Role::Primary } else { Role::Replica };
            let member =
                self.members.entry(entry.member).or_insert_with(|| Member::new(entry, role, start, TRICKLE));
            if member.entry.group != entry.group {
                let before = self.groups.entry(member.entry.group).or_default();
                before.members.retain(|id| *id != entry.member);
                changed.insert(member.entry.group);
            }
            let group = self.groups.entry(entry.group).or_default();
            if let Err(place) = group.members.binary_search(&entry.member) {
                group.members.insert(place, entry.member);
            }
            member.barred = self.barred.contains(&entry.member);
            if entry.started > member.born {
                // What was known of its health is void.
                member.fail = 0.0;
                (member.ejected, member.breaks, member.silent) = (None, 0, false);
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
        for group in changed {
            self.recount(group);
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
            let new = Member::new(member.entry, Role::Replica, limit, TRICKLE);
            let old = std::mem::replace(member, new);
            (member.position, member.position_at, member.lag) = (old.position, old.position_at, old.lag);
            (member.inflight, member.load, member.probing) = (old.inflight, old.load, old.probing);
            (member.role_at, member.unbound) = (old.role_at, old.unbound);
            member.restart(now, &mut self.rng);
        }
        let group = member.entry.group;
        self.recount(group);
        self.wake_by(now, actions);
    }

    /// Takes in what a member said. A position stays valid for ever; the latest word on the role wins.
    fn learn(&mut self, now: Micros, id: MemberId, role: Option<Role>, at: Micros, position: Option<Micros>) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let group = member.entry.group;
        let mut contested = false;
        if let Some(role) = role.filter(|_| at >= member.role_at) {
            let leads = self.groups.get(&group).and_then(|g| g.leader) == Some(id);
            contested = leads != (role == Role::Primary);
            member.role = role;
            member.role_at = at;
        }
        let position = position.map(|p| Micros(p.0.min(now.0)));
        if position.is_some() && position >= member.position {
            member.position = position;
            member.position_at = now;
            member.lag = now - position.unwrap_or_default();
        }
        if contested {
            self.recount(group);
        }
    }

    /// A member has answered a request or a probe.
    fn heard(&mut self, now: Micros, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.ejected = None;
        (member.silent, member.heard_at) = (false, now);
        if member.broken.take().is_some_and(|(since, cut)| cut && now - since > AWAY) {
            // Away for so long, its process has most likely started again, whatever the list says: cold.
            member.restart(now, &mut self.rng);
        }
    }

    /// The member believed to be the group's primary.
    fn primary(&self, group: GroupId) -> Option<MemberId> {
        let leader = self.groups.get(&group)?.leader?;
        self.members.get(&leader)?.usable().then_some(leader)
    }

    // ---- Arrival ----

    fn arrive(&mut self, now: Micros, req: Request, actions: &mut Actions) {
        let class = &self.settings.classes[req.class.0];
        let deadline = now + req.time_left;
        let aim = if class.late_worth > 0.0 { deadline } else { deadline.min(now + class.aim) };
        let give_up = aim - self.settings.tick;
        let paid = PROBE_SPEND / self.settings.probe_price.max(f64::MIN_POSITIVE);
        self.probe_credit = (self.probe_credit + paid).min(PROBE_SAVED);
        let most = self.settings.max_attempts;
        let end = give_up.min(deadline - self.period());
        self.open.insert(req.id, Open { req, arrived: now, deadline, most, give_up, end, ..Open::default() });
        self.book.open(req.id, end);
        // What is left of a late retry may be less than a sweep: it is not sent only to be given up.
        if now + self.period() >= give_up {
            return self.give_up(now, req.id, actions);
        }
        self.enqueue(req.id);
        self.place_waiting(now, req.group, actions);
        let waits = self.book.waits(req.group);
        if self.open[&req.id].out.is_empty() {
            self.check_request(now, req.id, actions);
        }
        self.wake_by(if waits { now + self.period() } else { give_up.min(now + SURVEY) }, actions);
    }

    /// How long a request may wait. A write that may have run is held as long as its client waits: only its
    /// answer tells.
    fn patience(&self, open: &Open) -> Micros {
        let class = &self.settings.classes[open.req.class.0];
        if class.need == Need::Write && open.unproven {
            return open.give_up;
        }
        let crowd = self.groups.get(&open.req.group).map_or(0.0, |group| group.crowd / CROWDED).min(1.0);
        let asks = if class.need != Need::Write && self.may_ask() { ASK_PATIENCE } else { 0.0 };
        let part = asks.max(PATIENCE + (CROWDED_PATIENCE - PATIENCE) * crowd);
        open.give_up.min(open.arrived + class.aim.scale(part))
    }

    /// Cost of a request in usual requests: its class's mean latency against the smallest.
    fn cost(&self, class: ClassId) -> f64 {
        let least = self.means.iter().copied().fold(f64::INFINITY, f64::min);
        self.means[class.0] / least
    }

    /// Sends as many of a group's waiting requests as there is room for: writes before reads, since
    /// only the primary takes them, then by worth for work.
    fn place_waiting(&mut self, now: Micros, group: GroupId, actions: &mut Actions) {
        let ranked = |class: ClassId| {
            let settings = &self.settings.classes[class.0];
            (settings.need == Need::Write, self.settings.worth_for_work(class, self.means[class.0]), class)
        };
        let mut queue: Vec<_> = self.book.classes(group).into_iter().map(ranked).collect();
        queue.sort_by(|(a_write, a, _), (b_write, b, _)| b_write.cmp(a_write).then(b.total_cmp(a)));
        for (_, _, class) in queue {
            if !self.any_room(now, group, class) {
                continue;
            }
            // The newest first: in an overload it is the one that can still be in time, while the oldest
            // would be sent only to be given up. Serves any backlog; the oldest are refused early.
            let (mut failed, mut before) = (0, u64::MAX);
            // Once some of a class find no room the rest would not either, and a long queue costs CPU.
            while failed < SCAN {
                let newest = self.book.newest(group, class, before, (SCAN - failed) as usize);
                let Some((last, _)) = newest.last() else { break };
                before = *last;
                for (_, id) in newest {
                    if let Some(member) = self.choose(now, id, actions) {
                        self.send(now, id, member, actions);
                    } else {
                        failed += 1;
                    }
                }
            }
        }
    }

    // ---- Choice ----

    /// Whether any member has room for a request of this class; a family too large to ask has.
    fn any_room(&self, now: Micros, group: GroupId, class: ClassId) -> bool {
        let (cost, Some(group)) = (self.cost(class), self.groups.get(&group)) else { return false };
        let mut members = group.members.iter().filter_map(|id| self.members.get(id));
        group.members.len() > WINDOW || members.any(|m| self.takes(now, class, m, cost))
    }

    /// Whether a member that may be the primary has room for a request of this class.
    fn takes(&self, now: Micros, class: ClassId, member: &Member, cost: f64) -> bool {
        match self.settings.classes[class.0].need {
            Need::Fresh => member.has_place(now, &self.settings, cost, CURRENT_PART),
            Need::Write => member.has_room(now, &self.settings, cost, WRITE_PART),
            _ => member.has_room(now, &self.settings, cost, 1.0),
        }
    }

    /// Where in a group one choice begins to look: anywhere, if there are more members than it looks at.
    fn turn(&mut self, group: GroupId) -> Turn {
        let ring = self.groups.get(&group).map_or(0, |group| group.members.len());
        (group, if ring > WINDOW { self.rng.next_u64() as usize % ring } else { 0 })
    }

    /// The members of a group that may be sent to, of those that one choice looks at. Where all are ejected
    /// none is: it is not their fault.
    fn candidates(&self, (group, from): Turn) -> impl Iterator<Item = (MemberId, &Member)> {
        let ring = self.groups.get(&group).map_or(&[][..], |group| &group.members);
        let (before, after) = ring.split_at(from.min(ring.len()));
        let window = after.iter().chain(before).take(WINDOW);
        let window = window.filter_map(|id| Some((*id, self.members.get(id)?)));
        let any = window.clone().any(|(_, m)| m.usable());
        window.filter(move |(_, m)| if any { m.usable() } else { m.listed() })
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
                let commit = open.req.session.and_then(|key| self.sessions.commit(open.req.group, key));
                let floor = self.groups.get(&open.req.group).map_or(Micros(0), |g| g.floor);
                commit.map_or(floor, |commit| commit.max(floor))
            }
        }
    }

    /// The member for a waiting request, if one can take it now.
    fn choose(&mut self, now: Micros, id: RequestId, actions: &mut Actions) -> Option<MemberId> {
        let group = self.open.get(&id).filter(|open| self.may_send(now, open))?.req.group;
        let turn = self.turn(group);
        let open = self.open.get(&id)?;
        let class = &self.settings.classes[open.req.class.0];
        let cost = self.cost(open.req.class);
        if class.need == Need::Write {
            return self.choose_writer(now, open, cost, turn);
        }
        let mut drawn = std::mem::take(&mut self.drawn);
        let primary = self.primary(group);
        let needed = self.needed(now, open);
        let pinned = open.req.session.is_some_and(|key| self.sessions.is_pending(group, key));
        let pin_holds = class.need == Need::Session && pinned;
        let candidate = |id: MemberId, m: &Member| {
            let out = open.avoid.contains(&id) || open.out.iter().any(|(_, tried)| *tried == id);
            Some(id) != primary && !pin_holds && !out && m.has_room(now, &self.settings, cost, 1.0)
        };
        let unsure = |m: &Member| m.silent && self.may_ask();
        let covers =
            |id, m: &Member| m.position.unwrap_or_default() >= needed && !unsure(m) && candidate(id, m);
        let primary = primary.filter(|id| !open.avoid.contains(id));
        self.weigh(now, turn, covers, &mut drawn);
        let mut found = draw(&mut self.rng, &drawn);
        // Where replicas check, those that should have caught up come before the primary. Where they do not,
        // one of them is asked first: a driver among many meets each too seldom to know.
        let caught_up = |id, m: &Member| now - m.lag > needed && candidate(id, m);
        let reads = |id: &MemberId| self.takes(now, open.req.class, &self.members[id], cost);
        let primary = primary.filter(reads);
        let at_ease = |m: &Member| m.stretch < PRIMARY_EASE && !m.silent;
        let at_ease = primary.is_some_and(|id| at_ease(&self.members[&id]));
        let (mut ask, mut asked) = (None, false);
        if found.is_none() && self.settings.checks == Checks::Refuse {
            self.weigh(now, turn, caught_up, &mut drawn);
            found = draw(&mut self.rng, &drawn);
        } else if found.is_none() && self.may_ask() && class.need != Need::Fresh && !at_ease {
            let wait = class.aim.scale(ASK_PART);
            let under_way = |m: &Member| m.probing && now - m.probed_at < wait;
            asked = self.candidates(turn).any(|(id, m)| under_way(m) && caught_up(id, m));
            // Whoever has waited for two that say nothing has no time for a third.
            let in_time = now + wait < self.patience(open);
            let rested = |m: &Member| in_time && !m.probing && now - m.probed_at >= SEEK;
            self.weigh(now, turn, |id, m| rested(m) && caught_up(id, m), &mut drawn);
            ask = draw(&mut self.rng, &drawn).filter(|_| !asked);
        }
        self.drawn = drawn;
        if let Some(member) = ask {
            self.ask(now, member, actions);
        }
        if asked || ask.is_some() {
            return None;
        }
        found.or(primary)
    }

    /// Whether reads ask replicas: one of few drivers hears from each often enough.
    fn may_ask(&self) -> bool {
        self.limit_share < 1.0 && self.settings.probes && self.settings.probe_price <= ASK_PRICE
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
    fn choose_writer(&self, now: Micros, open: &Open, cost: f64, turn: Turn) -> Option<MemberId> {
        let part = self.write_part(turn);
        let fits = |m: &Member| m.has_room(now, &self.settings, cost, part);
        if let Some(primary) = self.primary(open.req.group) {
            return Some(primary).filter(|id| fits(&self.members[id]));
        }
        if !open.out.is_empty() || open.attempts + 2 > open.most {
            return None;
        }
        let asked = |m: &Member| now - m.role_at.max(m.used_at) < SEEK;
        let unsure = self.candidates(turn).filter(|(_, m)| fits(m) && !asked(m));
        unsure.max_by_key(|(id, m)| (m.position, *id)).map(|(id, _)| id)
    }

    /// Part of the primary's limit open to writes: the less, the more replicas are behind a bound.
    fn write_part(&self, turn: Turn) -> f64 {
        let bound = |class: &Class| if let Need::Bounded(bound) = class.need { Some(bound) } else { None };
        let bound = self.settings.classes.iter().filter_map(bound).min().unwrap_or(BEHIND);
        let replicas = self.candidates(turn).filter(|(_, m)| m.role == Role::Replica);
        let count = |(all, late), (_, m): (_, &Member)| (all + 1, late + u32::from(m.lag > bound));
        let (all, late) = replicas.fold((0, 0), count);
        let part = f64::from(late) / f64::from(all.max(1));
        WRITE_PART + (BEHIND_WRITE_PART - WRITE_PART) * part
    }

    /// The weights of a group's fitting members in a draw: periodic weight, nearness, and against the load
    /// in flight. A driver keeps to replicas that it has connections to: new ones take time and work, and
    /// are capped.
    fn weigh(&self, now: Micros, turn: Turn, fits: impl Fn(MemberId, &Member) -> bool, drawn: &mut Drawn) {
        let far = 1.0 + ZONE_PULL * self.settings.cross_zone_price;
        let new = LINK_PULL * (1.0 + HANDSHAKE_PULL * self.settings.handshake_price);
        let weight = |member: &Member| {
            let distance = if member.entry.zone == self.settings.zone { 1.0 } else { far };
            let linked = now - member.used_at < self.settings.connection_idle;
            let distance = if linked { distance } else { distance * new };
            let busy = 1.0 + (member.load + member.ghost) / member.weight;
            member.weight / distance / busy.powi(4)
        };
        drawn.clear();
        let fitting = self.candidates(turn).filter(|(id, m)| fits(*id, m));
        drawn.extend(fitting.map(|(id, m)| (id, weight(m))));
    }

    // ---- Send ----

    fn send(&mut self, now: Micros, id: RequestId, to: MemberId, actions: &mut Actions) {
        let Some(class) = self.open.get(&id).map(|open| open.req.class) else { return };
        let cost = self.cost(class);
        let needed = self.needed(now, &self.open[&id]);
        let (Some(open), Some(member)) = (self.open.get_mut(&id), self.members.get_mut(&to)) else { return };
        if let Some(spot) = open.spot.take() {
            self.book.leave(spot);
        }
        if open.attempts == 0 {
            self.groups.entry(open.req.group).and_modify(|group| group.crowd -= group.crowd * CROWD_GAIN);
        }
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
        let (session, group) = (open.req.session, open.req.group);
        if let (Need::Write, Some(key)) = (self.settings.classes[class.0].need, session) {
            self.sessions.begin(group, key);
        }
        self.attempts.insert(
            (id, attempt),
            Attempt { class, group, session, idle, needed, cost, load: member.load, flows: false },
        );
        // The member is told by when it is too late: it drops what it has not begun by then.
        let timeout = Some(open.give_up + self.period() - now);
        actions.push(Action::Send { request: id, member: to, timeout });
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
        // A served write's position is its commit, which its primary has reached.
        self.learn(now, o.member, o.role, now, o.position);
        self.learn(now, o.member, o.report.role, o.report.position.unwrap_or_default(), o.report.position);
        let write = self.settings.classes[attempt.class.0].need == Need::Write;
        if let Some(key) = attempt.session.filter(|_| write) {
            // What was lost on the way may have been a commit: its session reads on from this moment.
            let told = o.position.filter(|_| o.status == Status::Ok);
            let commit = if o.status.proves_unrun() { Micros(0) } else { told.unwrap_or(now) };
            self.committed(attempt.group, key, commit);
            self.sessions.end(attempt.group, key);
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
        // It may be cut off, which shows in nothing else.
        member.silent |= silent && dropped.is_none() && now - member.heard_at >= o.latency;
        if let Some(used) = used {
            // Of many drivers each sees few answers, and the noise of their steps evens out: they are longer.
            let step = (LIMIT_STEP / self.limit_share.sqrt()).min(LONGEST_STEP);
            let step = step * (1.0 - used.min(MISSED) / LIMIT_AIM);
            let step = step * attempt.cost.min(member.limit.max(1.0));
            if step < 0.0 || attempt.load * 2.0 > member.limit {
                let floor = LIMIT_FLOOR / f64::from(self.settings.drivers.max(1));
                member.limit = (member.limit + step).max(floor);
            }
            member.paused_until = now + o.latency.scale(1.0 / member.limit - 1.0);
        }
        match o.status {
            Status::Ok => member.fail -= member.fail * MEMBER_GAIN,
            // It has done the work and sent something: neither down nor idle.
            Status::Spoilt => member.fail += (1.0 - member.fail) * MEMBER_GAIN,
            // What it has begun may go on there, for about as long as a request takes.
            Status::Timeout | Status::Cancelled => member.ghost += attempt.cost,
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
        open.unproven |= !o.status.proves_unrun();
        open.ran = open.ran.filter(|_| !open.unrun());
        open.avoid.push(o.member);
        // Errors that follow a read from member to member are its own.
        open.errors += u32::from(o.status == Status::Error);
        if open.out.is_empty() {
            let open = &self.open[&o.request];
            if !self.may_send(now, open) || now + self.settings.tick >= open.deadline {
                self.give_up(now, o.request, actions);
            } else {
                self.enqueue(o.request);
            }
        }
    }

    // ---- Final answer ----

    /// Ends a request unserved, at once: refused where that is proved harmless, else failed.
    fn give_up(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let Some(open) = self.open.get(&id) else { return };
        if open.attempts == 0 {
            let crowded = |group: &mut Group| group.crowd += (1.0 - group.crowd) * CROWD_GAIN;
            self.groups.entry(open.req.group).and_modify(crowded);
        }
        let effect = self.settings.classes[open.req.class.0].effect;
        let harmless = matches!(effect, Effect::Safe | Effect::Keyed { scope: RepeatScope::All, .. });
        if harmless || open.unrun() {
            // About when the next of those under way in its family ends.
            let ahead = 1.0 + self.attempts.len() as f64 / self.groups.len().max(1) as f64;
            let wait = Micros((self.means[open.req.class.0] / ahead) as u64);
            let wait = wait.min(self.settings.max_retry_after);
            let useful = self.settings.retry_after && now + wait < open.deadline;
            actions.push(Action::Refuse { request: id, retry_after: useful.then_some(wait) });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.call_off_rest(id, actions);
        self.close(id);
    }

    // ---- Sweep ----

    fn sweep(&mut self, now: Micros, actions: &mut Actions) {
        self.wake = Micros(u64::MAX);
        let period = self.period();
        self.survey(now, actions);
        // Only where two copies may be out is a request looked at while its attempt is.
        let due = if self.settings.second_copies {
            self.open.keys().copied().collect()
        } else {
            self.book.due(now, &self.means)
        };
        for id in due {
            self.check_request(now, id, actions);
        }
        let waiting = self.book.families(self.retried, SLICE);
        self.retried = waiting.last().copied().filter(|_| waiting.len() == SLICE);
        for group in waiting {
            self.place_waiting(now, group, actions);
        }
        let next = match self.book.next_end() {
            _ if self.book.is_waiting() => now + period,
            Some(end) => (now + self.settings.tick).max(end.min(now + SURVEY)),
            None => now + SEEK,
        };
        let next = if self.survey.is_some() { next.min(now + self.settings.tick) } else { next };
        self.wake_by(next, actions);
    }

    /// Ends a request that can no longer be worth anything; rescues one that is lost.
    fn check_request(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let (period, Some(open)) = (self.period(), self.open.get(&id)) else { return };
        let class = &self.settings.classes[open.req.class.0];
        let mean = Micros(self.means[open.req.class.0] as u64);
        let waiting = open.out.is_empty();
        let hopeless = waiting && (now + mean >= open.give_up || now >= self.patience(open));
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
        if let Some(to) = self.choose(now, id, actions) {
            self.send(now, id, to, actions);
        }
    }

    /// Surveys the families, so many members in one step and the others in the next; afterwards it rests
    /// for its period. Probes members whose connections broke, and where members do not check reads
    /// themselves those whose position is oldest, as far as the requests served pay for it.
    fn survey(&mut self, now: Micros, actions: &mut Actions) {
        let (elapsed, mut place) = match self.survey {
            Some(under_way) => under_way,
            None if now - self.surveyed < SURVEY => return,
            None => {
                let elapsed = now - self.surveyed;
                self.surveyed = now;
                let past = elapsed.as_f64().max(1.0);
                self.span = self.span * self.kept(past) + past;
                let trust = self.idle_trust.scale(1.0 / halved(past).powf(0.3));
                self.idle_trust = trust.min(self.settings.connection_idle);
                (elapsed, 0)
            }
        };
        let (mut seen, mut due) = (0, std::mem::take(&mut self.due));
        while seen < SLICE && place < self.groups.len() {
            seen += 1 + self.reweigh(now, place, elapsed, &mut due);
            place += 1;
        }
        self.survey = Some((elapsed, place)).filter(|_| place < self.groups.len());
        due.sort_unstable();
        due.truncate(PROBE_SAVED as usize);
        self.due = due;
        if self.survey.is_some() {
            return;
        }
        for (_, _, id) in std::mem::take(&mut self.due) {
            if self.probe_credit < 1.0 {
                return;
            }
            self.probe_credit -= 1.0;
            self.ask(now, id, actions);
        }
    }

    /// Part of a served cost that still counts after so long.
    fn kept(&self, elapsed: f64) -> f64 {
        0.5f64.powf(elapsed / (2.0 * self.settings.cold_time.as_f64()))
    }

    /// Renews a family's weights, its rate and what its cold members may be sent, forgets what is past,
    /// and says how many members that were and which are to be probed. A cold member gets of each driver
    /// its even part of what the group served there, as far as it is warm: the sum stays inside the
    /// multiple. A driver may use its share of a single core.
    fn reweigh(&mut self, now: Micros, place: usize, elapsed: Micros, due: &mut Vec<Due>) -> usize {
        let usual = self.means.iter().copied().fold(f64::INFINITY, f64::min);
        let since = self.groups.get_index(place).map_or(now, |(_, group)| group.surveyed);
        let elapsed = if since == Micros(0) { elapsed } else { now - since }.as_f64().max(1.0);
        let (kept, forget) = (self.kept(elapsed), halved(elapsed));
        let Router { settings, members, span, limit_share, .. } = self;
        let Some((id, group)) = self.groups.get_index_mut(place) else { return 0 };
        group.surveyed = now;
        group.served *= kept;
        let multiple = settings.fall_multiple * COLD_PART;
        let floor = 1.0 / f64::from(settings.drivers.max(1)) / usual;
        let window = settings.fall_time.as_f64() * COLD_BURST;
        let served = (group.served / *span / group.live.max(1.0)).max(floor);
        let (looked, mut gone, mut passed) = (group.members.len(), 0.0, None);
        group.members.retain(|id| {
            let Some(member) = members.get_mut(id) else { return false };
            let warmth = member.warmth(now, settings);
            if member.ghost > 0.0 {
                member.ghost *= (-elapsed * (1.0 - member.fail) / usual).exp();
            }
            let rate = served * warmth * multiple;
            member.credit = (member.credit + rate * elapsed.min(window)).min(rate * window);
            member.fail *= forget;
            member.lag = member.lag.scale(forget);
            let sound = (1.0 - member.fail).powi(4);
            let size = if member.entry.weight > 0.0 { member.entry.weight } else { 1.0 };
            member.weight = (size * warmth * sound / member.stretch.max(0.2)).max(TRICKLE);
            let listed = member.listed();
            // Members gone for good are forgotten, or years of replacements would add up.
            let held = member.inflight > 0 || member.entry.listed == Listed::Ready;
            if !(held || listed && member.breaks <= EJECT_AFTER + EJECT_DOUBLINGS) {
                members.swap_remove(id);
                gone += f64::from(u8::from(listed));
                return false;
            }
            if !listed {
                return true;
            }
            if member.role != Role::Primary {
                let position = member.position.unwrap_or_default();
                passed = Some(passed.map_or(position, |least: Micros| least.min(position)));
            }
            // A member that is out gets a request now and then, ever more seldom, and from many not at once.
            let doublings = member.breaks.saturating_sub(EJECT_AFTER).min(EJECT_DOUBLINGS);
            let pause = AWAY.scale(f64::from(1 << doublings) / limit_share.sqrt());
            member.ejected = member.ejected.filter(|since| now - *since <= pause);
            let urgent = member.breaks > 0;
            let asked = member.probed_at.max(member.position_at);
            let routine = settings.checks == Checks::None;
            let due_now = !member.probing && (urgent || routine) && now - asked >= SEEK;
            due.extend((due_now && settings.probes).then_some((!urgent, asked, *id)));
            true
        });
        group.live -= gone;
        group.leader = group.leader.filter(|leader| members.contains_key(leader));
        // A token that every live member has passed holds nobody back any more.
        let latest = self.sessions.forget(*id, passed.unwrap_or(now), SLICE);
        group.floor = latest.map_or(group.floor, |latest| group.floor.max(latest));
        looked
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
