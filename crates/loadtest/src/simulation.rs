//! A discrete-event simulation on one thread, without sockets: hosts by a simple model, routers that share the hosts
//! and no other state, and an audit of every rule at each event. The audit also uses the true state of hosts and
//! requests, which the routers cannot see.

use std::collections::BTreeMap;

use dunemount::*;

use crate::deployment::{Environment, SeededRng};

/// Time after a request's deadline within which the router must have given the final answer.
const ANSWER_GRACE: Micros = Micros::millis(20);
/// One-way network delay between routers, hosts and discovery.
const NETWORK_DELAY: Micros = Micros(300);

/// A fault that the simulation injects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Work at every host takes this many times as long.
    AllSlow(f64),
    /// Work at one host takes this many times as long.
    OneSlow(f64),
    /// One primary accepts requests and answers none; its connections stay open.
    Unresponsive,
    /// One host is listed as draining, later as removed.
    Drain,
    /// One host is listed as removed immediately.
    Removal,
    /// One host restarts and is cold.
    Restart,
    /// A replica becomes the primary of its group; the endpoint list names the old primary for this long.
    Failover(Micros),
    /// All replicas lag behind by at least this time.
    Lag(Micros),
}

struct Host {
    endpoint: Endpoint,
    is_primary: bool,
    /// Has been the primary, so that a router may treat it as such until an answer reports its new role.
    was_primary: bool,
    lag: Micros,
    /// The log position when its lag changed: a position never moves backwards.
    position_at_lag_change: Micros,
    slowdown: f64,
    unresponsive: bool,
    started_at: Micros,
    running: u32,
    /// Work received within the overload window, with its time, in microseconds of one core: for a cold host's budget.
    recent_work: Vec<(Micros, f64)>,
}

impl Host {
    fn position(&self, now: Micros) -> Micros {
        if self.is_primary {
            now
        } else {
            self.position_at_lag_change.max(now - self.lag)
        }
    }

    fn follow(&mut self, now: Micros, lag: Micros) {
        self.position_at_lag_change = self.position(now);
        (self.is_primary, self.lag) = (false, lag);
    }
}

/// A request with its true state, as the client and the audit know it.
struct TrackedRequest {
    router_index: usize,
    req: Request,
    arrived_at: Micros,
    deadline: Micros,
    attempt_count: u32,
    in_flight: Vec<AttemptNo>,
    /// Send time of the first attempt that may have been executed.
    first_run_at: Option<Micros>,
    /// Whether an attempt that has ended may have been executed.
    may_have_executed: bool,
    done: bool,
    /// Log position that a host must have reached to serve the request.
    required_position: Option<Micros>,
}

/// A router, with what the audit knows about it.
struct AuditedRouter {
    router: Router,
    /// Whether the latest endpoint list forbids new requests to a host, because it drains or is removed.
    unavailable: BTreeMap<MemberId, bool>,
    /// Whether the latest answer of a host reported it as a replica.
    reported_replica: BTreeMap<MemberId, bool>,
    /// The latest commit of each session whose answer this router received.
    commits: BTreeMap<(GroupId, SessionKey), Micros>,
}

/// Whether the host had begun the work, so that it counts as running there until it ends.
#[derive(Clone, Copy, Debug)]
struct Begun(bool);

#[derive(Clone, Copy, Debug)]
enum ScheduledEvent {
    Arrival,
    AttemptArrival(RequestId, AttemptNo, MemberId),
    /// An attempt ends: the host finished the work, or a timeout, a cancellation or a rejection ended it.
    AttemptEnd(RequestId, AttemptNo, MemberId, AttemptStatus, Begun),
    Timer(usize, TimerId),
    HealthCheckAnswer(usize, MemberId),
    AnswerDue(RequestId),
    EndpointList(usize),
    FaultStart(Fault),
    FaultEnd(Fault, MemberId),
}

/// Counters of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Requests that clients sent.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests served within the latency objective of their class.
    pub in_time: u64,
    /// Final answers that reject or fail a request.
    pub unserved: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Reads sent to replicas.
    pub replica_reads: u64,
}

/// Routers, hosts, and the events that are scheduled between them.
pub struct Simulation {
    settings: Settings,
    environment: Environment,
    rng: SeededRng,
    now: Micros,
    last_serial: u64,
    schedule: BTreeMap<(Micros, u64), ScheduledEvent>,
    hosts: BTreeMap<MemberId, Host>,
    tracked_requests: BTreeMap<RequestId, TrackedRequest>,
    send_times: BTreeMap<(RequestId, AttemptNo), Micros>,
    routers: Vec<AuditedRouter>,
    requests_left: u64,
    mean_gap_us: f64,
    /// Drop the routers' reject and fail answers, to test that the audit detects it.
    pub lose_final_answers: bool,
    /// Counters so far.
    pub counts: Counts,
    /// Each violated rule, with the simulated time, the request or host, and the rule.
    pub violations: Vec<String>,
}

impl Simulation {
    /// Creates a simulation of `routers` routers of a deployment that receive `requests` requests in total. The audit
    /// uses `settings`; `router_settings` may differ from them, to test that the audit detects the resulting
    /// violations.
    pub fn new(
        settings: &Settings,
        router_settings: &Settings,
        environment: &Environment,
        routers: usize,
        requests: u64,
        seed: u64,
    ) -> Simulation {
        let mut rng = SeededRng::new(seed);
        let mut hosts = BTreeMap::new();
        for index in 0..environment.groups * environment.hosts_per_group {
            let member = MemberId(1000 + index);
            let is_primary = index % environment.hosts_per_group == 0;
            let endpoint = Endpoint {
                member,
                group: GroupId(index / environment.hosts_per_group),
                zone: ZoneId((index % environment.zones) as usize),
                state: EndpointState::Ready,
                weight: environment.cores,
                started: Micros(0),
                primary: is_primary,
            };
            let lag = Micros::millis(rng.log_uniform(1.0, 2_000.0) as u64);
            let lag = if is_primary { Micros(0) } else { lag };
            let host = Host {
                endpoint,
                is_primary,
                was_primary: is_primary,
                lag,
                position_at_lag_change: Micros(0),
                slowdown: 1.0,
                unresponsive: false,
                started_at: Micros(0),
                running: 0,
                recent_work: Vec::new(),
            };
            hosts.insert(member, host);
        }
        let mean = environment.work_ms.iter().sum::<f64>() / environment.work_ms.len() as f64;
        let rate = environment.load * environment.cores * hosts.len() as f64 / mean;
        let fleet_fraction = routers as f64 / f64::from(settings.gateways.max(1));
        let mut simulation = Simulation {
            routers: (0..routers)
                .map(|router_index| AuditedRouter {
                    router: Router::new(router_settings.clone(), seed + router_index as u64),
                    unavailable: BTreeMap::new(),
                    reported_replica: BTreeMap::new(),
                    commits: BTreeMap::new(),
                })
                .collect(),
            settings: settings.clone(),
            environment: environment.clone(),
            rng,
            now: Micros::millis(100_000),
            last_serial: 0,
            schedule: BTreeMap::new(),
            hosts,
            tracked_requests: BTreeMap::new(),
            send_times: BTreeMap::new(),
            requests_left: requests,
            mean_gap_us: 1_000.0 / (rate * fleet_fraction.min(1.0)),
            lose_final_answers: false,
            counts: Counts::default(),
            violations: Vec::new(),
        };
        for router_index in 0..routers {
            simulation.send_endpoint_list(router_index, EndpointUpdate::Full);
        }
        simulation.schedule_after(Micros(0), ScheduledEvent::Arrival);
        simulation
    }

    /// The expected time over which all requests arrive.
    pub fn arrival_duration(&self) -> Micros {
        Micros((self.mean_gap_us * self.requests_left as f64) as u64)
    }

    /// Schedules a fault.
    pub fn schedule_fault(&mut self, after: Micros, fault: Fault) {
        self.schedule_after(after, ScheduledEvent::FaultStart(fault));
    }

    /// Runs until all requests have arrived and the time for their final answers is over.
    pub fn run(&mut self) {
        while let Some(((at, _), event)) = self.schedule.pop_first() {
            self.now = self.now + (at - self.now);
            self.process(event);
            if self.requests_left == 0 && self.tracked_requests.is_empty() {
                return;
            }
        }
    }

    fn schedule_after(&mut self, after: Micros, event: ScheduledEvent) {
        self.last_serial += 1;
        self.schedule.insert((self.now + after, self.last_serial), event);
    }

    fn record_violation(&mut self, violation: String) {
        self.violations.push(format!("{} us: {violation}", self.now.0));
    }

    fn handle(&mut self, router_index: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[router_index].router.handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(router_index, action);
        }
    }

    /// Sends a router the current endpoint list.
    fn send_endpoint_list(&mut self, router_index: usize, update: EndpointUpdate) {
        let endpoints: Vec<Endpoint> = self.hosts.values().map(|host| host.endpoint).collect();
        for endpoint in &endpoints {
            let unavailable = match endpoint.state {
                EndpointState::Ready => false,
                EndpointState::Draining => true,
                EndpointState::Removed => {
                    !self.settings.removed_may_serve
                        || self.routers[router_index].unavailable.get(&endpoint.member) == Some(&true)
                }
            };
            self.routers[router_index].unavailable.insert(endpoint.member, unavailable);
        }
        self.handle(router_index, Event::Endpoints { update, endpoints });
    }

    fn schedule_endpoint_lists(&mut self) {
        for router_index in 0..self.routers.len() {
            self.schedule_after(NETWORK_DELAY, ScheduledEvent::EndpointList(router_index));
        }
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival => self.add_request(),
            ScheduledEvent::AttemptArrival(id, no, to) => self.attempt_arrived(id, no, to),
            ScheduledEvent::AttemptEnd(id, no, from, status, begun) => {
                self.end_attempt(id, no, from, status, begun);
            }
            ScheduledEvent::Timer(router_index, timer) => self.handle(router_index, Event::Timer(timer)),
            ScheduledEvent::HealthCheckAnswer(router_index, member) => {
                self.answer_health_check(router_index, member);
            }
            ScheduledEvent::AnswerDue(id) => self.check_answered(id),
            ScheduledEvent::EndpointList(router_index) => {
                self.send_endpoint_list(router_index, EndpointUpdate::Incremental);
            }
            ScheduledEvent::FaultStart(fault) => self.start_fault(fault),
            ScheduledEvent::FaultEnd(fault, member) => self.end_fault(fault, member),
        }
    }

    fn add_request(&mut self) {
        if self.requests_left == 0 {
            return;
        }
        self.requests_left -= 1;
        let gap_us = self.mean_gap_us * -self.rng.uniform(0.0, 1.0).max(1e-9).ln();
        self.schedule_after(Micros(gap_us as u64), ScheduledEvent::Arrival);
        self.last_serial += 1;
        let (id, router_index) =
            (RequestId(self.last_serial), self.rng.integer(0, self.routers.len() as u64 - 1) as usize);
        let class = ClassId(self.rng.integer(0, self.settings.classes.len() as u64 - 1) as usize);
        let group = GroupId(self.rng.integer(0, self.environment.groups - 1));
        let class_settings = &self.settings.classes[class.0];
        let session = matches!(class_settings.consistency, Consistency::Write | Consistency::Session)
            .then(|| SessionKey(self.rng.integer(0, 20)));
        let commit = session.and_then(|key| self.routers[router_index].commits.get(&(group, key)).copied());
        let carried = self.settings.session_tokens == SessionTokens::Carried
            && class_settings.consistency == Consistency::Session;
        let committed = if carried { commit } else { None };
        let required_position = match class_settings.consistency {
            Consistency::Strong => Some(self.now),
            Consistency::Session => commit,
            Consistency::Write | Consistency::Eventual | Consistency::BoundedStaleness(_) => None,
        };
        let time_left = class_settings.deadline.scale(self.rng.uniform(0.3, 1.0));
        let req = Request { id, class, group, session, committed, tenant: None, repeat: false, time_left };
        let deadline = self.now + time_left;
        self.tracked_requests.insert(
            id,
            TrackedRequest {
                router_index,
                req,
                arrived_at: self.now,
                deadline,
                attempt_count: 0,
                in_flight: Vec::new(),
                first_run_at: None,
                may_have_executed: false,
                done: false,
                required_position,
            },
        );
        self.counts.requests += 1;
        self.schedule_after(time_left + ANSWER_GRACE, ScheduledEvent::AnswerDue(id));
        self.handle(router_index, Event::Request(req));
    }

    fn check_answered(&mut self, id: RequestId) {
        let Some(tracked) = self.tracked_requests.get(&id) else { return };
        let (router_index, done) = (tracked.router_index, tracked.done);
        if !done {
            self.record_violation(format!("{id:?}: no final answer in time"));
            self.handle(router_index, Event::ClientLeft(id));
        }
        self.tracked_requests.remove(&id);
    }

    fn execute(&mut self, router_index: usize, action: Action) {
        match action {
            Action::Send { request, member, timeout } => self.send(router_index, request, member, timeout),
            Action::Cancel { request, attempt } => {
                if !self.settings.cancels {
                    self.record_violation(format!("{request:?}: cancelled although the settings forbid it"));
                }
                let to = self.attempt_target(request, attempt);
                self.schedule_after(
                    NETWORK_DELAY,
                    ScheduledEvent::AttemptEnd(request, attempt, to, AttemptStatus::Cancelled, Begun(false)),
                );
            }
            Action::Reject { .. } | Action::Fail { .. } if self.lose_final_answers => {}
            Action::Reject { request, .. } => self.final_answer(request, true),
            Action::Fail { request } => self.final_answer(request, false),
            Action::HealthCheck { member } => {
                if !self.settings.health_checks {
                    self.record_violation(format!(
                        "{member:?}: health check although the settings forbid it"
                    ));
                }
                self.schedule_after(NETWORK_DELAY, ScheduledEvent::HealthCheckAnswer(router_index, member));
            }
            Action::SetTimer { timer, at } => {
                self.schedule_after(at - self.now, ScheduledEvent::Timer(router_index, timer));
            }
            Action::Watch => self.schedule_after(NETWORK_DELAY, ScheduledEvent::EndpointList(router_index)),
            Action::Gossip { .. } if !self.settings.peers => {
                self.record_violation("gossip to peers although the settings forbid it".into());
            }
            Action::Gossip { .. } | Action::CloseIdle { .. } | Action::Notice(_) => {}
        }
    }

    fn final_answer(&mut self, id: RequestId, rejected: bool) {
        let Some(tracked) = self.tracked_requests.get_mut(&id) else { return };
        let execution_possible = tracked.may_have_executed || !tracked.in_flight.is_empty();
        let idempotency = self.settings.classes[tracked.req.class.0].idempotency;
        let repeatable = matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
        );
        let already_done = std::mem::replace(&mut tracked.done, true);
        self.counts.unserved += 1;
        if already_done {
            self.record_violation(format!("{id:?}: two final answers"));
        }
        if rejected && execution_possible && !repeatable {
            self.record_violation(format!("{id:?}: rejected although it may have been executed"));
        }
    }

    fn attempt_target(&self, id: RequestId, no: AttemptNo) -> MemberId {
        let target = self.schedule.values().find_map(|event| match event {
            ScheduledEvent::AttemptArrival(i, n, to) | ScheduledEvent::AttemptEnd(i, n, to, ..)
                if (*i, *n) == (id, no) =>
            {
                Some(*to)
            }
            _ => None,
        });
        target.unwrap_or_default()
    }

    /// Audits an attempt and schedules its arrival and its timeout.
    fn send(&mut self, router_index: usize, id: RequestId, to: MemberId, timeout: Option<Micros>) {
        let now = self.now;
        let Some(tracked) = self.tracked_requests.get_mut(&id) else {
            return self.record_violation(format!("{id:?}: attempt sent after the request was removed"));
        };
        let (settings, host) = (&self.settings, &self.hosts[&to]);
        let class = &settings.classes[tracked.req.class.0];
        let execution_possible = tracked.may_have_executed || !tracked.in_flight.is_empty();
        let mut violated = Vec::new();
        let mut check = |holds: bool, name: &'static str| {
            if !holds {
                violated.push(name);
            }
        };
        check(!tracked.done, "attempt sent after the final answer");
        check(host.endpoint.group == tracked.req.group, "sent to a host of another group");
        check(tracked.in_flight.is_empty() || settings.hedging, "concurrent attempts without hedging");
        check(tracked.attempt_count < settings.max_attempts, "more attempts than the settings allow");
        check(
            self.routers[router_index].unavailable.get(&to) == Some(&false),
            "sent to a draining or removed host",
        );
        check(
            match class.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::NonIdempotent
                | Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, .. } => !execution_possible,
                Idempotency::IdempotencyKey { window, .. } => {
                    !execution_possible
                        || tracked.first_run_at.is_none_or(|first_run_at| now < first_run_at + window)
                }
            },
            "retried beyond its idempotency",
        );
        let position = host.position(now);
        let required_position = match class.consistency {
            Consistency::BoundedStaleness(bound) => now - bound,
            _ => tracked.required_position.unwrap_or_default(),
        };
        // A former primary is exempt until an answer has reported that it is a replica.
        let former_primary =
            host.was_primary && self.routers[router_index].reported_replica.get(&to) != Some(&true);
        let checked_by_host =
            settings.replica_checks == ReplicaChecks::Reject || class.consistency == Consistency::Write;
        check(
            checked_by_host || former_primary || position >= required_position,
            "sent to a host whose data is too old",
        );
        let no = AttemptNo(tracked.attempt_count);
        tracked.attempt_count += 1;
        tracked.in_flight.push(no);
        tracked.first_run_at = tracked.first_run_at.or(Some(now));
        let wait = timeout.unwrap_or(tracked.deadline - now).min(tracked.deadline - now);
        let replica_read = class.consistency != Consistency::Write && !host.is_primary;
        self.counts.sent += 1;
        self.counts.replica_reads += u64::from(replica_read);
        for name in violated {
            self.record_violation(format!("{id:?} at {to:?}: {name}"));
        }
        self.send_times.insert((id, no), now);
        self.schedule_after(NETWORK_DELAY, ScheduledEvent::AttemptArrival(id, no, to));
        self.schedule_after(
            wait,
            ScheduledEvent::AttemptEnd(id, no, to, AttemptStatus::Timeout, Begun(false)),
        );
    }

    /// An attempt arrives at a host.
    fn attempt_arrived(&mut self, id: RequestId, no: AttemptNo, to: MemberId) {
        if !self.send_times.contains_key(&(id, no)) {
            return;
        }
        let Some(tracked) = self.tracked_requests.get(&id) else { return };
        let class = &self.settings.classes[tracked.req.class.0];
        let required_position = match class.consistency {
            Consistency::BoundedStaleness(bound) => self.now - bound,
            _ => tracked.required_position.unwrap_or_default(),
        };
        let work = Micros((self.environment.work_ms[tracked.req.class.0] * 1000.0) as u64);
        let work = work.scale(-self.rng.uniform(0.0, 1.0).max(1e-9).ln());
        let (now, cores) = (self.now, self.environment.cores);
        let Some(host) = self.hosts.get_mut(&to) else { return };
        let position = host.position(now);
        let capacity_fraction = capacity_fraction(&self.settings, now, host.started_at);
        let replica_checks = self.settings.replica_checks == ReplicaChecks::Reject;
        let unsuitable = class.consistency == Consistency::Write && !host.is_primary
            || replica_checks && position < required_position;
        if host.unresponsive {
            return;
        }
        if unsuitable {
            return self.schedule_after(
                NETWORK_DELAY,
                ScheduledEvent::AttemptEnd(id, no, to, AttemptStatus::Unsuitable, Begun(false)),
            );
        }
        if f64::from(host.running) >= cores * 20.0 {
            return self.schedule_after(
                NETWORK_DELAY,
                ScheduledEvent::AttemptEnd(id, no, to, AttemptStatus::Rejected, Begun(false)),
            );
        }
        host.running += 1;
        host.recent_work.push((now, work.as_f64()));
        let contention = (f64::from(host.running) / cores).max(1.0);
        let duration = work.scale(contention * host.slowdown / capacity_fraction);
        self.audit_cold_budget(to);
        let status = if self.rng.chance(0.002) { AttemptStatus::Error } else { AttemptStatus::Ok };
        self.schedule_after(duration, ScheduledEvent::AttemptEnd(id, no, to, status, Begun(true)));
    }

    /// Audits the work that a cold host received against these routers' share of its budget.
    fn audit_cold_budget(&mut self, to: MemberId) {
        let (now, window) = (self.now, self.settings.overload_window);
        let fleet_fraction = self.routers.len() as f64 / f64::from(self.settings.gateways.max(1));
        let Some(host) = self.hosts.get_mut(&to) else { return };
        host.recent_work.retain(|(at, _)| *at + window >= now);
        let capacity_fraction = capacity_fraction(&self.settings, now, host.started_at);
        if capacity_fraction >= 1.0 {
            return;
        }
        let work: f64 = host.recent_work.iter().map(|(_, work)| work).sum();
        let limit = self.settings.overload_multiple
            * capacity_fraction
            * self.environment.cores
            * window.as_f64()
            * fleet_fraction.min(1.0);
        // Work is exponentially distributed: allow for a few very large requests from each router.
        let largest_work = self.environment.work_ms.iter().copied().fold(0.0, f64::max) * 1000.0;
        if work > limit + 8.0 * largest_work * self.routers.len() as f64 {
            self.record_violation(format!(
                "{to:?}: {work:.0} us of work sent to a cold host, limit {limit:.0} us"
            ));
        }
    }

    /// Ends an attempt for its router by the host's answer or by its timeout, whichever comes first.
    fn end_attempt(
        &mut self,
        id: RequestId,
        no: AttemptNo,
        from: MemberId,
        status: AttemptStatus,
        begun: Begun,
    ) {
        let Begun(work_begun) = begun;
        let Some(host) = self.hosts.get_mut(&from) else { return };
        if work_begun {
            host.running = host.running.saturating_sub(1);
        }
        let (is_primary, current_position) = (host.is_primary, host.position(self.now));
        if work_begun && host.unresponsive {
            return;
        }
        let Some(sent_at) = self.send_times.remove(&(id, no)) else { return };
        let latency = self.now - sent_at;
        let host_answered = matches!(
            status,
            AttemptStatus::Ok | AttemptStatus::Unsuitable | AttemptStatus::Rejected | AttemptStatus::Error
        );
        let write = |req: &Request| self.settings.classes[req.class.0].consistency == Consistency::Write;
        let mut position = host_answered.then_some(current_position);
        let mut finished = true;
        let mut router_index = 0;
        if let Some(tracked) = self.tracked_requests.get_mut(&id) {
            router_index = tracked.router_index;
            tracked.in_flight.retain(|attempt| *attempt != no);
            let not_executed = matches!(
                status,
                AttemptStatus::Rejected
                    | AttemptStatus::ConnectFailed
                    | AttemptStatus::NotSent
                    | AttemptStatus::Unsuitable
            );
            tracked.may_have_executed |= !not_executed;
            if !tracked.may_have_executed && tracked.in_flight.is_empty() {
                tracked.first_run_at = None;
            }
            if status == AttemptStatus::Ok && !tracked.done {
                tracked.done = true;
                let latency_objective = self.settings.classes[tracked.req.class.0].latency_objective;
                self.counts.served += 1;
                self.counts.in_time += u64::from(self.now <= tracked.arrived_at + latency_objective);
                if let (true, Some(key)) = (write(&tracked.req), tracked.req.session) {
                    position = Some(self.now);
                    self.routers[router_index].commits.insert((tracked.req.group, key), self.now);
                }
            }
            finished = tracked.done;
        }
        let role = host_answered.then_some(if is_primary { Role::Primary } else { Role::Replica });
        if host_answered {
            self.routers[router_index].reported_replica.insert(from, !is_primary);
        }
        let report = HealthReport { position: position.filter(|_| host_answered), role };
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
        self.handle(router_index, Event::Outcome(outcome));
    }

    fn answer_health_check(&mut self, router_index: usize, member: MemberId) {
        let Some(host) = self.hosts.get(&member) else { return };
        let position = host.position(self.now);
        let role = Some(if host.is_primary { Role::Primary } else { Role::Replica });
        let report = HealthReport { position: Some(position), role };
        let (status, report) = if host.unresponsive {
            (AttemptStatus::Timeout, HealthReport::default())
        } else {
            (AttemptStatus::Ok, report)
        };
        self.handle(router_index, Event::HealthChecked { member, status, report });
    }

    fn start_fault(&mut self, fault: Fault) {
        let members: Vec<MemberId> = self.hosts.keys().copied().collect();
        let member = members[self.rng.integer(0, members.len() as u64 - 1) as usize];
        let first_primary = self.hosts.values().find(|host| host.is_primary).map(|host| host.endpoint.member);
        let member = if fault == Fault::Unresponsive { first_primary.unwrap_or(member) } else { member };
        let now = self.now;
        match fault {
            Fault::AllSlow(factor) => self.hosts.values_mut().for_each(|host| host.slowdown = factor),
            Fault::Lag(lag) => {
                for host in self.hosts.values_mut().filter(|host| !host.is_primary) {
                    host.follow(now, lag.max(host.lag));
                }
            }
            Fault::OneSlow(factor) => {
                self.hosts.entry(member).and_modify(|host| host.slowdown = factor);
            }
            Fault::Unresponsive => {
                self.hosts.entry(member).and_modify(|host| host.unresponsive = true);
            }
            Fault::Drain => {
                self.hosts.entry(member).and_modify(|host| host.endpoint.state = EndpointState::Draining);
                self.schedule_endpoint_lists();
            }
            Fault::Removal => {
                self.hosts.entry(member).and_modify(|host| host.endpoint.state = EndpointState::Removed);
                self.schedule_endpoint_lists();
            }
            Fault::Restart => {
                self.hosts.entry(member).and_modify(|host| {
                    (host.started_at, host.running, host.endpoint.started) = (now, 0, now);
                    host.recent_work.clear();
                });
                self.schedule_endpoint_lists();
            }
            Fault::Failover(list_delay) => {
                let Some(old_primary) = first_primary else { return };
                let group = self.hosts[&old_primary].endpoint.group;
                let successor =
                    self.hosts.values().find(|host| host.endpoint.group == group && !host.is_primary);
                let Some(successor) = successor.map(|host| host.endpoint.member) else { return };
                self.hosts.entry(old_primary).and_modify(|host| host.follow(now, Micros::millis(5)));
                self.hosts
                    .entry(successor)
                    .and_modify(|host| (host.is_primary, host.was_primary) = (true, true));
                return self.schedule_after(list_delay, ScheduledEvent::FaultEnd(fault, successor));
            }
        }
        self.schedule_after(self.arrival_duration().scale(0.3), ScheduledEvent::FaultEnd(fault, member));
    }

    fn end_fault(&mut self, fault: Fault, member: MemberId) {
        match fault {
            Fault::AllSlow(_) => self.hosts.values_mut().for_each(|host| host.slowdown = 1.0),
            Fault::OneSlow(_) => {
                self.hosts.entry(member).and_modify(|host| host.slowdown = 1.0);
            }
            Fault::Unresponsive => {
                self.hosts.entry(member).and_modify(|host| host.unresponsive = false);
            }
            Fault::Drain => {
                self.hosts.entry(member).and_modify(|host| host.endpoint.state = EndpointState::Removed);
                self.schedule_endpoint_lists();
            }
            Fault::Failover(_) => {
                let group = self.hosts[&member].endpoint.group;
                for host in self.hosts.values_mut().filter(|host| host.endpoint.group == group) {
                    host.endpoint.primary = host.is_primary;
                }
                self.schedule_endpoint_lists();
            }
            Fault::Removal | Fault::Restart | Fault::Lag(_) => {}
        }
    }
}

/// The fraction of its full capacity that a host has now: it grows linearly during slow start.
fn capacity_fraction(settings: &Settings, now: Micros, started_at: Micros) -> f64 {
    let (age_us, window_us) = ((now - started_at).as_f64(), settings.slow_start_window.as_f64());
    if started_at == Micros(0) || age_us >= window_us {
        return 1.0;
    }
    settings.slow_start_initial + (1.0 - settings.slow_start_initial) * age_us / window_us
}
