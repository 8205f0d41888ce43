//! A virtual world on one thread, without sockets: hosts by a plain model, routers that share them and nothing
//! else, and an audit of every rule at each step. What the routers may not know is known here.

use std::collections::BTreeMap;

use dunemount::*;

use crate::deployment::{Dice, Truth};

/// Time after its deadline within which a request's final answer still counts.
const GRACE: Micros = Micros::millis(20);
/// Time that a word takes to a host or back.
const WAY: Micros = Micros(300);

/// What goes wrong in a world.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Work takes so many times as long at every host.
    AllSlow(f64),
    /// Work takes so many times as long at one host.
    OneSlow(f64),
    /// One primary takes requests and answers none; its connections stay open.
    Silent,
    /// One host is listed as draining, later as gone.
    Drain,
    /// One host is listed as gone at once.
    Removal,
    /// One host starts anew, cold.
    Restart,
    /// A replica leads a family, and the list names the old primary for this long.
    Takeover(Micros),
    /// All replicas fall this far behind.
    Lag(Micros),
}

struct Host {
    entry: Endpoint,
    leads: bool,
    /// It has led, so that a router may take it for the primary until told otherwise.
    led: bool,
    lag: Micros,
    /// Its position when its lag changed: a position never goes back.
    stood: Micros,
    slow: f64,
    silent: bool,
    born: Micros,
    running: u32,
    /// Work received lately, in microseconds of one core: for the budget of a cold host.
    received: Vec<(Micros, f64)>,
}

impl Host {
    fn position(&self, now: Micros) -> Micros {
        if self.leads {
            now
        } else {
            self.stood.max(now - self.lag)
        }
    }

    fn follow(&mut self, now: Micros, lag: Micros) {
        self.stood = self.position(now);
        (self.leads, self.lag) = (false, lag);
    }
}

/// A request as its client and the auditor know it.
struct Life {
    node: usize,
    req: Request,
    arrived: Micros,
    deadline: Micros,
    sent: u32,
    out: Vec<AttemptNo>,
    /// Send time of the first attempt that may have run.
    ran: Option<Micros>,
    unproven: bool,
    done: bool,
    needed: Option<Micros>,
}

struct Node {
    router: Router,
    /// What the list told of hosts that binds: nothing new to them.
    bound: BTreeMap<MemberId, bool>,
    /// Hosts that an answer told to be replicas after they had led.
    demoted: BTreeMap<MemberId, bool>,
    /// Commits whose answers came here.
    commits: BTreeMap<(GroupId, SessionKey), Micros>,
}

/// Whether the host had begun the work, so that it takes a place there until its end.
#[derive(Clone, Copy, Debug)]
struct Begun(bool);

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive,
    Reach(RequestId, AttemptNo, MemberId),
    /// An attempt ends; the host had begun it, or it was the clock, the router or a word of refusal.
    End(RequestId, AttemptNo, MemberId, AttemptStatus, Begun),
    Timer(usize, TimerId),
    Probed(usize, MemberId),
    Owed(RequestId),
    List(usize),
    Trouble(Trouble),
    Calm(Trouble, MemberId),
}

/// Counts of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Requests taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Served within the class's aim.
    pub in_time: u64,
    /// Refused or failed.
    pub ended: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Reads sent to replicas.
    pub offloaded: u64,
}

/// Routers, hosts and what is under way between them.
pub struct World {
    settings: Settings,
    truth: Truth,
    dice: Dice,
    now: Micros,
    next: u64,
    steps: BTreeMap<(Micros, u64), Step>,
    hosts: BTreeMap<MemberId, Host>,
    lives: BTreeMap<RequestId, Life>,
    sends: BTreeMap<(RequestId, AttemptNo), Micros>,
    nodes: Vec<Node>,
    left: u64,
    gap: f64,
    /// Final answers that get lost on the way, to see that the audit finds it.
    pub loses: bool,
    /// What was counted.
    pub counts: Counts,
    /// Each broken rule, with its time and what broke it.
    pub broken: Vec<String>,
}

impl World {
    /// A world of `nodes` routers of a deployment that together get so many requests. What the routers are told of
    /// the settings may be wrong, to see that the audit finds what they then do.
    pub fn new(
        settings: &Settings,
        told: &Settings,
        truth: &Truth,
        nodes: usize,
        requests: u64,
        seed: u64,
    ) -> World {
        let mut dice = Dice::new(seed);
        let mut hosts = BTreeMap::new();
        for place in 0..truth.families * truth.members {
            let member = MemberId(1000 + place);
            let leads = place % truth.members == 0;
            let entry = Endpoint {
                member,
                group: GroupId(place / truth.members),
                zone: ZoneId((place % truth.zones) as usize),
                state: EndpointState::Ready,
                weight: truth.cores,
                started: Micros(0),
                primary: leads,
            };
            let lag = Micros::millis(dice.scale(1.0, 2_000.0) as u64);
            let lag = if leads { Micros(0) } else { lag };
            let host = Host {
                entry,
                leads,
                led: leads,
                lag,
                stood: Micros(0),
                slow: 1.0,
                silent: false,
                born: Micros(0),
                running: 0,
                received: Vec::new(),
            };
            hosts.insert(member, host);
        }
        let mean = truth.work_ms.iter().sum::<f64>() / truth.work_ms.len() as f64;
        let rate = truth.load * truth.cores * hosts.len() as f64 / mean;
        let share = nodes as f64 / f64::from(settings.gateways.max(1));
        let mut world = World {
            nodes: (0..nodes)
                .map(|node| Node {
                    router: Router::new(told.clone(), seed + node as u64),
                    bound: BTreeMap::new(),
                    demoted: BTreeMap::new(),
                    commits: BTreeMap::new(),
                })
                .collect(),
            settings: settings.clone(),
            truth: truth.clone(),
            dice,
            now: Micros::millis(100_000),
            next: 0,
            steps: BTreeMap::new(),
            hosts,
            lives: BTreeMap::new(),
            sends: BTreeMap::new(),
            left: requests,
            gap: 1_000.0 / (rate * share.min(1.0)),
            loses: false,
            counts: Counts::default(),
            broken: Vec::new(),
        };
        for node in 0..nodes {
            world.tell(node, EndpointUpdate::Full);
        }
        world.at(Micros(0), Step::Arrive);
        world
    }

    /// The time over which requests arrive.
    pub fn span(&self) -> Micros {
        Micros((self.gap * self.left as f64) as u64)
    }

    /// Lets something go wrong after so long.
    pub fn plan(&mut self, after: Micros, trouble: Trouble) {
        self.at(after, Step::Trouble(trouble));
    }

    /// Goes on until all is answered.
    pub fn run(&mut self) {
        while let Some(((at, _), step)) = self.steps.pop_first() {
            self.now = self.now + (at - self.now);
            self.step(step);
            if self.left == 0 && self.lives.is_empty() {
                return;
            }
        }
    }

    fn at(&mut self, after: Micros, step: Step) {
        self.next += 1;
        self.steps.insert((self.now + after, self.next), step);
    }

    fn breach(&mut self, what: String) {
        self.broken.push(format!("{} us: {what}", self.now.0));
    }

    fn handle(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].router.handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(node, action);
        }
    }

    /// Tells a router the list as it stands.
    fn tell(&mut self, node: usize, update: EndpointUpdate) {
        let endpoints: Vec<Endpoint> = self.hosts.values().map(|host| host.entry).collect();
        for entry in &endpoints {
            let binds = match entry.state {
                EndpointState::Ready => false,
                EndpointState::Draining => true,
                EndpointState::Removed => {
                    !self.settings.removed_may_serve
                        || self.nodes[node].bound.get(&entry.member) == Some(&true)
                }
            };
            self.nodes[node].bound.insert(entry.member, binds);
        }
        self.handle(node, Event::Endpoints { update, endpoints });
    }

    fn tell_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.at(WAY, Step::List(node));
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive => self.arrive(),
            Step::Reach(id, no, to) => self.reach(id, no, to),
            Step::End(id, no, from, status, begun) => self.end(id, no, from, status, begun),
            Step::Timer(node, timer) => self.handle(node, Event::Timer(timer)),
            Step::Probed(node, member) => self.probed(node, member),
            Step::Owed(id) => self.owed(id),
            Step::List(node) => self.tell(node, EndpointUpdate::Incremental),
            Step::Trouble(trouble) => self.trouble(trouble),
            Step::Calm(trouble, member) => self.calm(trouble, member),
        }
    }

    fn arrive(&mut self) {
        if self.left == 0 {
            return;
        }
        self.left -= 1;
        let gap = self.gap * -self.dice.uniform(0.0, 1.0).max(1e-9).ln();
        self.at(Micros(gap as u64), Step::Arrive);
        self.next += 1;
        let (id, node) = (RequestId(self.next), self.dice.whole(0, self.nodes.len() as u64 - 1) as usize);
        let class = ClassId(self.dice.whole(0, self.settings.classes.len() as u64 - 1) as usize);
        let group = GroupId(self.dice.whole(0, self.truth.families - 1));
        let of = &self.settings.classes[class.0];
        let session = matches!(of.consistency, Consistency::Write | Consistency::Session)
            .then(|| SessionKey(self.dice.whole(0, 20)));
        let commit = session.and_then(|key| self.nodes[node].commits.get(&(group, key)).copied());
        let carried =
            self.settings.session_tokens == SessionTokens::Carried && of.consistency == Consistency::Session;
        let committed = if carried { commit } else { None };
        let needed = match of.consistency {
            Consistency::Strong => Some(self.now),
            Consistency::Session => commit,
            Consistency::Write | Consistency::Eventual | Consistency::BoundedStaleness(_) => None,
        };
        let time_left = of.deadline.scale(self.dice.uniform(0.3, 1.0));
        let req = Request { id, class, group, session, committed, tenant: None, repeat: false, time_left };
        let deadline = self.now + time_left;
        self.lives.insert(
            id,
            Life {
                node,
                req,
                arrived: self.now,
                deadline,
                sent: 0,
                out: Vec::new(),
                ran: None,
                unproven: false,
                done: false,
                needed,
            },
        );
        self.counts.taken += 1;
        self.at(time_left + GRACE, Step::Owed(id));
        self.handle(node, Event::Request(req));
    }

    fn owed(&mut self, id: RequestId) {
        let Some(life) = self.lives.get(&id) else { return };
        let (node, done) = (life.node, life.done);
        if !done {
            self.breach(format!("{id:?}: no final answer"));
            self.handle(node, Event::ClientLeft(id));
        }
        self.lives.remove(&id);
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { request, member, timeout } => self.send(node, request, member, timeout),
            Action::Cancel { request, attempt } => {
                if !self.settings.cancels {
                    self.breach(format!("{request:?}: called off where that is not allowed"));
                }
                let to = self.to(request, attempt);
                self.at(WAY, Step::End(request, attempt, to, AttemptStatus::Cancelled, Begun(false)));
            }
            Action::Reject { .. } | Action::Fail { .. } if self.loses => {}
            Action::Reject { request, .. } => self.final_answer(request, true),
            Action::Fail { request } => self.final_answer(request, false),
            Action::HealthCheck { member } => {
                if !self.settings.health_checks {
                    self.breach(format!("{member:?}: probed where that is not allowed"));
                }
                self.at(WAY, Step::Probed(node, member));
            }
            Action::SetTimer { timer, at } => self.at(at - self.now, Step::Timer(node, timer)),
            Action::Watch => self.at(WAY, Step::List(node)),
            Action::Gossip { .. } if !self.settings.peers => {
                self.breach("told peers where that is not allowed".into());
            }
            Action::Gossip { .. } | Action::CloseIdle { .. } | Action::Notice(_) => {}
        }
    }

    fn final_answer(&mut self, id: RequestId, refused: bool) {
        let Some(life) = self.lives.get_mut(&id) else { return };
        let may_run = life.unproven || !life.out.is_empty();
        let idempotency = self.settings.classes[life.req.class.0].idempotency;
        let harmless = matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
        );
        let twice = std::mem::replace(&mut life.done, true);
        self.counts.ended += 1;
        if twice {
            self.breach(format!("{id:?}: two final answers"));
        }
        if refused && may_run && !harmless {
            self.breach(format!("{id:?}: refused though it may have run"));
        }
    }

    fn to(&self, id: RequestId, no: AttemptNo) -> MemberId {
        let sent = self.steps.values().find_map(|step| match step {
            Step::Reach(i, n, to) | Step::End(i, n, to, ..) if (*i, *n) == (id, no) => Some(*to),
            _ => None,
        });
        sent.unwrap_or_default()
    }

    /// Audits a send and puts it on its way.
    fn send(&mut self, node: usize, id: RequestId, to: MemberId, timeout: Option<Micros>) {
        let now = self.now;
        let Some(life) = self.lives.get_mut(&id) else {
            return self.breach(format!("{id:?}: sent after its end"));
        };
        let (settings, host) = (&self.settings, &self.hosts[&to]);
        let class = &settings.classes[life.req.class.0];
        let may_run = life.unproven || !life.out.is_empty();
        let mut wrong = Vec::new();
        let mut rule = |kept: bool, name: &'static str| {
            if !kept {
                wrong.push(name);
            }
        };
        rule(!life.done, "sent after its end");
        rule(host.entry.group == life.req.group, "sent to another family");
        rule(life.out.is_empty() || settings.hedging, "two attempts out at once");
        rule(life.sent < settings.max_attempts, "over the attempt cap");
        rule(self.nodes[node].bound.get(&to) == Some(&false), "sent to a host that drains or is gone");
        rule(
            match class.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::NonIdempotent
                | Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, .. } => !may_run,
                Idempotency::IdempotencyKey { window, .. } => {
                    !may_run || life.ran.is_none_or(|ran| now < ran + window)
                }
            },
            "repeated beyond its class",
        );
        let position = host.position(now);
        let needed = match class.consistency {
            Consistency::BoundedStaleness(bound) => now - bound,
            _ => life.needed.unwrap_or_default(),
        };
        // One that has led is excused until an answer has told that it leads no more.
        let excused = host.led && self.nodes[node].demoted.get(&to) != Some(&true);
        let checked =
            settings.replica_checks == ReplicaChecks::Reject || class.consistency == Consistency::Write;
        rule(checked || excused || position >= needed, "sent where its data is too old");
        let no = AttemptNo(life.sent);
        life.sent += 1;
        life.out.push(no);
        life.ran = life.ran.or(Some(now));
        let wait = timeout.unwrap_or(life.deadline - now).min(life.deadline - now);
        let offloaded = class.consistency != Consistency::Write && !host.leads;
        self.counts.sent += 1;
        self.counts.offloaded += u64::from(offloaded);
        for name in wrong {
            self.breach(format!("{id:?} at {to:?}: {name}"));
        }
        self.sends.insert((id, no), now);
        self.at(WAY, Step::Reach(id, no, to));
        self.at(wait, Step::End(id, no, to, AttemptStatus::Timeout, Begun(false)));
    }

    /// A host gets a request.
    fn reach(&mut self, id: RequestId, no: AttemptNo, to: MemberId) {
        if !self.sends.contains_key(&(id, no)) {
            return;
        }
        let Some(life) = self.lives.get(&id) else { return };
        let class = &self.settings.classes[life.req.class.0];
        let needed = match class.consistency {
            Consistency::BoundedStaleness(bound) => self.now - bound,
            _ => life.needed.unwrap_or_default(),
        };
        let work = Micros((self.truth.work_ms[life.req.class.0] * 1000.0) as u64);
        let work = work.scale(-self.dice.uniform(0.0, 1.0).max(1e-9).ln());
        let (now, cores) = (self.now, self.truth.cores);
        let Some(host) = self.hosts.get_mut(&to) else { return };
        let position = host.position(now);
        let warmth = warmth(&self.settings, now, host.born);
        let replica_checks = self.settings.replica_checks == ReplicaChecks::Reject;
        let turned_away =
            class.consistency == Consistency::Write && !host.leads || replica_checks && position < needed;
        if host.silent {
            return;
        }
        if turned_away {
            return self.at(WAY, Step::End(id, no, to, AttemptStatus::Unsuitable, Begun(false)));
        }
        if f64::from(host.running) >= cores * 20.0 {
            return self.at(WAY, Step::End(id, no, to, AttemptStatus::Rejected, Begun(false)));
        }
        host.running += 1;
        host.received.push((now, work.as_f64()));
        let crowd = (f64::from(host.running) / cores).max(1.0);
        let takes = work.scale(crowd * host.slow / warmth);
        self.budget(to);
        let status = if self.dice.chance(0.002) { AttemptStatus::Error } else { AttemptStatus::Ok };
        self.at(takes, Step::End(id, no, to, status, Begun(true)));
    }

    /// Audits what a cold host was sent, by these routers' part of the fleet.
    fn budget(&mut self, to: MemberId) {
        let (now, window) = (self.now, self.settings.overload_window);
        let part = self.nodes.len() as f64 / f64::from(self.settings.gateways.max(1));
        let Some(host) = self.hosts.get_mut(&to) else { return };
        host.received.retain(|(at, _)| *at + window >= now);
        let warmth = warmth(&self.settings, now, host.born);
        if warmth >= 1.0 {
            return;
        }
        let work: f64 = host.received.iter().map(|(_, work)| work).sum();
        let most =
            self.settings.overload_multiple * warmth * self.truth.cores * window.as_f64() * part.min(1.0);
        // Works are drawn with a long tail: what chance puts on top of a few of the dearest.
        let dearest = self.truth.work_ms.iter().copied().fold(0.0, f64::max) * 1000.0;
        if work > most + 8.0 * dearest * self.nodes.len() as f64 {
            self.breach(format!("{to:?}: {work:.0} us of work sent to a cold host, {most:.0} at most"));
        }
    }

    /// An attempt ends for its router, by its host or by the clock, whichever comes first.
    fn end(&mut self, id: RequestId, no: AttemptNo, from: MemberId, status: AttemptStatus, begun: Begun) {
        let Begun(ran) = begun;
        let Some(host) = self.hosts.get_mut(&from) else { return };
        if ran {
            host.running = host.running.saturating_sub(1);
        }
        let (leads, stands) = (host.leads, host.position(self.now));
        if ran && host.silent {
            return;
        }
        let Some(sent) = self.sends.remove(&(id, no)) else { return };
        let latency = self.now - sent;
        let answered = matches!(
            status,
            AttemptStatus::Ok | AttemptStatus::Unsuitable | AttemptStatus::Rejected | AttemptStatus::Error
        );
        let write = |req: &Request| self.settings.classes[req.class.0].consistency == Consistency::Write;
        let mut position = answered.then_some(stands);
        let mut finished = true;
        let mut node = 0;
        if let Some(life) = self.lives.get_mut(&id) {
            node = life.node;
            life.out.retain(|out| *out != no);
            let proved = matches!(
                status,
                AttemptStatus::Rejected
                    | AttemptStatus::ConnectFailed
                    | AttemptStatus::NotSent
                    | AttemptStatus::Unsuitable
            );
            life.unproven |= !proved;
            if !life.unproven && life.out.is_empty() {
                life.ran = None;
            }
            if status == AttemptStatus::Ok && !life.done {
                life.done = true;
                let latency_objective = self.settings.classes[life.req.class.0].latency_objective;
                self.counts.served += 1;
                self.counts.in_time += u64::from(self.now <= life.arrived + latency_objective);
                if let (true, Some(key)) = (write(&life.req), life.req.session) {
                    position = Some(self.now);
                    self.nodes[node].commits.insert((life.req.group, key), self.now);
                }
            }
            finished = life.done;
        }
        let role = answered.then_some(if leads { Role::Primary } else { Role::Replica });
        if answered {
            self.nodes[node].demoted.insert(from, !leads);
        }
        let report = HealthReport { position: position.filter(|_| answered), role };
        let outcome = Outcome {
            request: id,
            attempt: no,
            member: from,
            status,
            latency,
            finished,
            role,
            position,
            report,
        };
        self.handle(node, Event::Outcome(outcome));
    }

    fn probed(&mut self, node: usize, member: MemberId) {
        let Some(host) = self.hosts.get(&member) else { return };
        let position = host.position(self.now);
        let role = Some(if host.leads { Role::Primary } else { Role::Replica });
        let report = HealthReport { position: Some(position), role };
        let (status, report) = if host.silent {
            (AttemptStatus::Timeout, HealthReport::default())
        } else {
            (AttemptStatus::Ok, report)
        };
        self.handle(node, Event::HealthChecked { member, status, report });
    }

    fn trouble(&mut self, trouble: Trouble) {
        let members: Vec<MemberId> = self.hosts.keys().copied().collect();
        let member = members[self.dice.whole(0, members.len() as u64 - 1) as usize];
        let leader = self.hosts.values().find(|host| host.leads).map(|host| host.entry.member);
        let member = if trouble == Trouble::Silent { leader.unwrap_or(member) } else { member };
        let now = self.now;
        match trouble {
            Trouble::AllSlow(factor) => self.hosts.values_mut().for_each(|host| host.slow = factor),
            Trouble::Lag(lag) => {
                for host in self.hosts.values_mut().filter(|host| !host.leads) {
                    host.follow(now, lag.max(host.lag));
                }
            }
            Trouble::OneSlow(factor) => {
                self.hosts.entry(member).and_modify(|host| host.slow = factor);
            }
            Trouble::Silent => {
                self.hosts.entry(member).and_modify(|host| host.silent = true);
            }
            Trouble::Drain => {
                self.hosts.entry(member).and_modify(|host| host.entry.state = EndpointState::Draining);
                self.tell_all();
            }
            Trouble::Removal => {
                self.hosts.entry(member).and_modify(|host| host.entry.state = EndpointState::Removed);
                self.tell_all();
            }
            Trouble::Restart => {
                self.hosts.entry(member).and_modify(|host| {
                    (host.born, host.running, host.entry.started) = (now, 0, now);
                    host.received.clear();
                });
                self.tell_all();
            }
            Trouble::Takeover(late) => {
                let Some(old) = leader else { return };
                let group = self.hosts[&old].entry.group;
                let heir = self.hosts.values().find(|host| host.entry.group == group && !host.leads);
                let Some(heir) = heir.map(|host| host.entry.member) else { return };
                self.hosts.entry(old).and_modify(|host| host.follow(now, Micros::millis(5)));
                self.hosts.entry(heir).and_modify(|host| (host.leads, host.led) = (true, true));
                return self.at(late, Step::Calm(trouble, heir));
            }
        }
        self.at(self.span().scale(0.3), Step::Calm(trouble, member));
    }

    fn calm(&mut self, trouble: Trouble, member: MemberId) {
        match trouble {
            Trouble::AllSlow(_) => self.hosts.values_mut().for_each(|host| host.slow = 1.0),
            Trouble::OneSlow(_) => {
                self.hosts.entry(member).and_modify(|host| host.slow = 1.0);
            }
            Trouble::Silent => {
                self.hosts.entry(member).and_modify(|host| host.silent = false);
            }
            Trouble::Drain => {
                self.hosts.entry(member).and_modify(|host| host.entry.state = EndpointState::Removed);
                self.tell_all();
            }
            Trouble::Takeover(_) => {
                let group = self.hosts[&member].entry.group;
                for host in self.hosts.values_mut().filter(|host| host.entry.group == group) {
                    host.entry.primary = host.leads;
                }
                self.tell_all();
            }
            Trouble::Removal | Trouble::Restart | Trouble::Lag(_) => {}
        }
    }
}

/// The part of its capacity that a host has by now: it grows evenly from its start.
fn warmth(settings: &Settings, now: Micros, born: Micros) -> f64 {
    let (age, time) = ((now - born).as_f64(), settings.slow_start_window.as_f64());
    if born == Micros(0) || age >= time {
        return 1.0;
    }
    settings.slow_start_initial + (1.0 - settings.slow_start_initial) * age / time
}
