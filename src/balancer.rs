//! The router in blocking style, for a gateway's event loop: [`Balancer::pick`] decides on a request,
//! [`Balancer::handle_outcome`] takes how its attempt ended, [`Balancer::poll_output`] gives out what is to be done next.
//! Timers and attempt numbers are kept here; the router's events and actions are not seen outside.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::attempt::AttemptOutcome;
use crate::balance::{self, Router};
use crate::notice::{Notice, ReadBasis};

/// A request for which a member is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest {
    /// Its class.
    pub class: ClassId,
    /// Its group.
    pub group: GroupId,
    /// Its session; ignored in classes that have none.
    pub session: SessionKey,
    /// Position of its session's last commit, where the client carries one.
    pub committed: Option<Micros>,
    /// The client marked it as a retry.
    pub repeat: bool,
    /// Time until the client gives up.
    pub time_left: Micros,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingDecision {
    /// Start an attempt.
    Send {
        /// Where to.
        member: MemberId,
        /// How long to wait for its response.
        timeout: Micros,
    },
    /// Wait: a later [`Output`] decides.
    Queued,
    /// Final answer: rejected, a retry is harmless.
    Reject {
        /// When to retry, if there is advice.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, and it may have run.
    Fail,
}

/// Something that the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Carry out the decision on a request that was queued.
    Decision(RequestId, RoutingDecision),
    /// Stop waiting for the request's attempt, which has ended for the balancer already.
    Cancel(RequestId),
    /// Check a member's health and call [`Balancer::health_checked`].
    HealthCheck(MemberId),
    /// Close the idle connections to a member.
    CloseIdle(MemberId),
    /// Write to the operators' log.
    Notice(Notice),
}

impl Output {
    fn is_decision_on(&self, request: RequestId) -> bool {
        matches!(self, Output::Decision(id, _) if *id == request)
    }

    fn concerns(&self, request: RequestId) -> bool {
        self.is_decision_on(request) || matches!(self, Output::Cancel(id) if *id == request)
    }
}

/// Numbers of the members that the endpoint list names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    /// All of them.
    pub listed: usize,
    /// Those that get nothing new: administratively down, or ejected.
    pub ejected: usize,
}

/// The attempt that is out for a request.
struct AttemptInFlight {
    number: AttemptNo,
    member: MemberId,
    started_at: Micros,
    /// When its response began to stream to the client.
    streaming_since: Option<Micros>,
}

/// A request until it is finished.
struct TrackedRequest {
    class: ClassId,
    deadline: Micros,
    attempts: u32,
    attempt: Option<AttemptInFlight>,
}

/// What a balancer knows, for the next process of its gateway. Its fields are named as in the message to that.
#[derive(Clone, Serialize, Deserialize)]
pub struct Snapshot {
    groups: BTreeSet<GroupId>,
    pool: BTreeSet<MemberId>,
    router: balance::Snapshot,
}

impl Snapshot {
    /// Adds what another worker of the same gateway knows; their groups differ.
    pub fn merge(&mut self, other: Snapshot) {
        self.groups.extend(other.groups);
        self.pool.extend(other.pool);
        self.router.merge(other.router);
    }

    /// What concerns these groups.
    pub fn for_groups(mut self, is_included: impl Fn(GroupId) -> bool) -> Snapshot {
        self.groups.retain(|group| is_included(*group));
        self.router = self.router.for_groups(is_included);
        let members = self.router.members();
        self.pool.retain(|member| members.contains(member));
        self
    }
}

/// Drives the router for a caller that carries out one decision after the other.
pub struct Balancer {
    router: Router,
    /// Consistency and idempotency of each class.
    kinds: Vec<(Consistency, Idempotency)>,
    groups: BTreeSet<GroupId>,
    /// The members that the endpoint list names.
    listed: BTreeSet<MemberId>,
    next_request: u64,
    requests: BTreeMap<RequestId, TrackedRequest>,
    timers: BTreeSet<(Micros, TimerId)>,
    outputs: VecDeque<Output>,
}

impl Balancer {
    /// A balancer that knows its settings only. It never hedges, whatever they say.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = Settings { hedging: false, ..settings };
        Balancer {
            kinds: kinds(&settings),
            router: Router::with_own_clock(settings, seed),
            groups: BTreeSet::new(),
            listed: BTreeSet::new(),
            next_request: 0,
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            outputs: VecDeque::new(),
        }
    }

    /// Continues under new settings. Classes of requests in flight must keep their ids.
    pub fn update_settings(&mut self, settings: Settings) {
        self.kinds = kinds(&settings);
        self.router.retune(Settings { hedging: false, ..settings });
    }

    /// The longest that any client waits, by the settings.
    pub fn longest_deadline(&self) -> Micros {
        self.router.longest_deadline()
    }

    /// Whether a request of this class is in flight.
    pub fn has_requests_of(&self, class: ClassId) -> bool {
        self.requests.values().any(|request| request.class == class)
    }

    /// Takes in an endpoint list or changes to it.
    pub fn update_endpoints(&mut self, now: Micros, is_full: bool, endpoints: Vec<Endpoint>) {
        self.groups.extend(endpoints.iter().map(|endpoint| endpoint.group));
        if is_full {
            self.listed.clear();
        }
        for endpoint in &endpoints {
            match endpoint.state {
                EndpointState::Ready | EndpointState::Draining => self.listed.insert(endpoint.member),
                EndpointState::Removed => self.listed.remove(&endpoint.member),
            };
        }
        let update = if is_full { EndpointUpdate::Full } else { EndpointUpdate::Incremental };
        self.drive(now, Event::Endpoints { update, endpoints });
    }

    /// What is known, for the next process.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { groups: self.groups.clone(), pool: self.listed.clone(), router: self.router.snapshot() }
    }

    /// Restores what another process knew. `previous_class` gives the id that a class of this process had there;
    /// `clock_error` is by how much the clocks of the two may differ.
    pub fn restore(
        &mut self,
        snapshot: Snapshot,
        previous_class: impl Fn(ClassId) -> Option<ClassId>,
        clock_error: Micros,
    ) {
        let known_mean = |class| {
            previous_class(ClassId(class)).and_then(|id| snapshot.router.mean_latencies.get(id.0).copied())
        };
        let means: Vec<Option<f64>> = (0..self.kinds.len()).map(known_mean).collect();
        (self.groups, self.listed) = (snapshot.groups, snapshot.pool);
        self.router.restore(snapshot.router, &means, clock_error);
    }

    /// Records a commit of a session at another process of this gateway.
    pub fn record_commit(&mut self, group: GroupId, session: SessionKey, commit: Micros) {
        self.router.committed(group, session, commit);
    }

    /// The commit that a session's reads in a group must see, where it is known for this session alone.
    pub fn session_commit(&self, group: GroupId, session: SessionKey) -> Option<Micros> {
        self.router.commit(group, session)
    }

    /// Takes a member out of use on the operators' order, whatever the endpoint list says, or puts it back.
    pub fn set_administratively_down(&mut self, now: Micros, member: MemberId, down: bool) {
        self.drive(now, Event::SetAdministrativelyDown { member, down });
    }

    /// Whether the endpoint list names a member.
    pub fn is_listed(&self, member: MemberId) -> bool {
        self.listed.contains(&member)
    }

    /// Numbers of members in the endpoint list.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        EndpointCounts {
            listed: self.listed.len(),
            ejected: self.listed.iter().filter(|member| self.router.avoids(**member)).count(),
        }
    }

    /// Whether the member may be sent anything new.
    pub fn is_routable(&self, member: MemberId) -> bool {
        self.router.admits(member)
    }

    /// Whether an endpoint list has ever named this group.
    pub fn has_group(&self, group: GroupId) -> bool {
        self.groups.contains(&group)
    }

    /// Whether requests of this class write.
    pub fn is_write_class(&self, class: ClassId) -> bool {
        self.kinds[class.0].0 == Consistency::Write
    }

    /// Whether requests of this class carry an idempotency key.
    pub fn is_keyed_class(&self, class: ClassId) -> bool {
        matches!(self.kinds[class.0].1, Idempotency::IdempotencyKey { .. })
    }

    /// Takes a request on. Unless it is queued it is decided at once.
    pub fn pick(&mut self, now: Micros, request: RoutingRequest) -> (RequestId, RoutingDecision) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let deadline = now + request.time_left;
        let tracked = TrackedRequest { class: request.class, deadline, attempts: 0, attempt: None };
        self.requests.insert(id, tracked);
        let has_session =
            matches!(self.kinds.get(request.class.0), Some((Consistency::Write | Consistency::Session, _)));
        self.drive(
            now,
            Event::Request(Request {
                id,
                class: request.class,
                group: request.group,
                session: has_session.then_some(request.session),
                committed: request.committed,
                tenant: None,
                repeat: request.repeat,
                time_left: request.time_left,
            }),
        );
        (id, self.take_decision(id))
    }

    /// The response of the attempt that is out has begun to stream to the client: nothing will be decided about the
    /// request any more. False if it has been decided already.
    #[must_use]
    pub fn start_streaming(&mut self, now: Micros, request: RequestId) -> bool {
        let tracked = self.requests.get_mut(&request);
        let Some(attempt) = tracked.and_then(|tracked| tracked.attempt.as_mut()) else { return false };
        attempt.streaming_since = Some(now);
        self.drive(now, Event::Started { request });
        true
    }

    /// Takes in how the attempt that is out ended. A served request is finished; for any other the decision says how it
    /// goes on.
    pub fn handle_outcome(
        &mut self,
        now: Micros,
        request: RequestId,
        outcome: AttemptOutcome,
    ) -> RoutingDecision {
        let attempt = self.requests.get(&request).and_then(|tracked| tracked.attempt.as_ref());
        let is_streaming = attempt.is_some_and(|attempt| attempt.streaming_since.is_some());
        let is_finished = is_streaming || outcome.is_served();
        let (role, position) = outcome.reported();
        self.end_attempt(now, request, outcome.status(), is_finished, role, position);
        if is_finished {
            self.requests.remove(&request);
        }
        self.take_decision(request)
    }

    /// Whether the attempt that is out may still be written to its member, after its connection took time to come up.
    pub fn is_attempt_valid(&self, now: Micros, request: RequestId) -> bool {
        self.requests.contains_key(&request) && self.router.holds(now, request)
    }

    /// Whether the member of the attempt that is out is known to be recent enough for the request, were its last byte
    /// written now.
    pub fn is_fresh_enough(&self, now: Micros, request: RequestId) -> bool {
        self.router.covers(now, request)
    }

    /// What the choice of the member of the attempt that is out rested on.
    pub fn read_basis(&self, now: Micros, request: RequestId) -> Option<ReadBasis> {
        self.router.read_basis(now, request)
    }

    /// Gives notices of single requests as well from now on.
    pub fn enable_request_notices(&mut self) {
        self.router.trace();
    }

    /// The client has left or was answered by other means: the request is finished.
    pub fn handle_client_gone(&mut self, now: Micros, request: RequestId) {
        self.outputs.retain(|output| !output.concerns(request));
        if self.requests.contains_key(&request) {
            self.drive(now, Event::ClientLeft(request));
            self.forget(now, request);
        }
    }

    /// Takes in how a health check ended and what the member reported.
    pub fn health_checked(&mut self, now: Micros, member: MemberId, outcome: AttemptOutcome) {
        let (role, position) = outcome.reported();
        let report = HealthReport { position, role };
        self.drive(now, Event::HealthChecked { member, status: outcome.status(), report });
    }

    /// Fires the timers that are due and gives the next output, in order.
    pub fn poll_output(&mut self, now: Micros) -> Option<Output> {
        if self.outputs.is_empty() {
            // Timers set while these fire wait for the next call, or one due at once would never end.
            let later = self.timers.split_off(&(now + Micros(1), TimerId(0)));
            for (_, timer) in std::mem::replace(&mut self.timers, later) {
                self.drive(now, Event::Timer(timer));
            }
        }
        self.outputs.pop_front()
    }

    /// When [`Balancer::poll_output`] has something to do next.
    pub fn next_deadline(&self) -> Option<Micros> {
        if self.outputs.is_empty() {
            self.timers.first().map(|(at, _)| *at)
        } else {
            Some(Micros(0))
        }
    }

    /// Takes out the decision that the last event brought for a request.
    fn take_decision(&mut self, request: RequestId) -> RoutingDecision {
        let index = self.outputs.iter().position(|output| output.is_decision_on(request));
        match index.and_then(|index| self.outputs.remove(index)) {
            Some(Output::Decision(_, decision)) => decision,
            _ => RoutingDecision::Queued,
        }
    }

    fn end_attempt(
        &mut self,
        now: Micros,
        request: RequestId,
        status: AttemptStatus,
        finished: bool,
        role: Option<Role>,
        position: Option<Micros>,
    ) {
        let tracked = self.requests.get_mut(&request);
        let Some(attempt) = tracked.and_then(|tracked| tracked.attempt.take()) else { return };
        self.drive(
            now,
            Event::Outcome(Outcome {
                request,
                attempt: attempt.number,
                member: attempt.member,
                status,
                latency: attempt.streaming_since.unwrap_or(now) - attempt.started_at,
                finished,
                role,
                position,
                report: HealthReport::default(),
            }),
        );
    }

    /// Forgets a finished request; an attempt that is still out counts as cancelled.
    fn forget(&mut self, now: Micros, request: RequestId) {
        self.cancel_attempt(now, request);
        self.requests.remove(&request);
    }

    fn cancel_attempt(&mut self, now: Micros, request: RequestId) {
        self.end_attempt(now, request, AttemptStatus::Cancelled, true, None, None);
    }

    fn drive(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        for action in actions {
            self.handle_action(now, action);
        }
    }

    fn handle_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, member, timeout } => self.start_attempt(now, request, member, timeout),
            Action::Reject { request, retry_after } => {
                self.conclude(now, request, RoutingDecision::Reject { retry_after });
            }
            Action::Fail { request } => self.conclude(now, request, RoutingDecision::Fail),
            Action::Cancel { request, .. } => {
                if self.requests.get(&request).is_some_and(|tracked| tracked.attempt.is_some()) {
                    self.outputs.push_back(Output::Cancel(request));
                    self.cancel_attempt(now, request);
                }
            }
            Action::HealthCheck { member } => self.outputs.push_back(Output::HealthCheck(member)),
            Action::CloseIdle { member } => self.outputs.push_back(Output::CloseIdle(member)),
            Action::SetTimer { timer, at } => {
                self.timers.insert((at, timer));
            }
            Action::Notice(notice) => self.outputs.push_back(Output::Notice(notice)),
            // The endpoint list is always watched, and this driver has no way to other gateways.
            Action::Watch | Action::Gossip { .. } => {}
        }
    }

    fn start_attempt(&mut self, now: Micros, request: RequestId, member: MemberId, timeout: Option<Micros>) {
        let Some(tracked) = self.requests.get_mut(&request) else { return };
        let number = AttemptNo(tracked.attempts);
        tracked.attempt = Some(AttemptInFlight { number, member, started_at: now, streaming_since: None });
        tracked.attempts += 1;
        let time_left = tracked.deadline - now;
        let timeout = timeout.map_or(time_left, |timeout| timeout.min(time_left));
        let decision = RoutingDecision::Send { member, timeout };
        self.outputs.push_back(Output::Decision(request, decision));
    }

    /// Gives out a final answer. A decision to send that nobody has taken yet is void with it, and whoever takes the
    /// answer closes the attempt's connection.
    fn conclude(&mut self, now: Micros, request: RequestId, decision: RoutingDecision) {
        if !self.requests.contains_key(&request) {
            return;
        }
        self.outputs.retain(|output| !output.is_decision_on(request));
        self.outputs.push_back(Output::Decision(request, decision));
        self.forget(now, request);
    }
}

/// Consistency and idempotency of each class.
fn kinds(settings: &Settings) -> Vec<(Consistency, Idempotency)> {
    settings.classes.iter().map(|class| (class.consistency, class.idempotency)).collect()
}
