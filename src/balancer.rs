//! A facade over the router for a gateway's event loop: [`Balancer::pick`] decides on a request,
//! [`Balancer::handle_outcome`] processes how its attempt ended, [`Balancer::poll_output`] returns the next output to
//! carry out. The balancer keeps the timers and the attempt numbers and hides the router's events and actions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::attempt::AttemptOutcome;
use crate::balance::{self, Router};
use crate::notice::{AttemptTiming, Notice, ReadBasis, WriteRefusal};

/// A request for which a member is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest {
    /// The request's class.
    pub class: ClassId,
    /// The group that it reads or writes.
    pub group: GroupId,
    /// The client's session; ignored unless the class writes or needs session consistency.
    pub session: SessionKey,
    /// Log position of the session's last commit, if the client sent one.
    pub committed: Option<Micros>,
    /// Whether the client marked it as a retry.
    pub repeat: bool,
    /// Time until the client gives up.
    pub time_left: Micros,
}

/// What the caller is to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingDecision {
    /// Start an attempt.
    Send {
        /// The member to send it to.
        member: MemberId,
        /// How long to wait for the response.
        timeout: Micros,
    },
    /// No decision yet: an [`Output::Decision`] follows, unless the request is finished.
    Queued,
    /// Final answer: rejected; the client may safely retry.
    Reject {
        /// How long the client should wait before a retry, if that is known.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed; the request may have run.
    Fail,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Carry out the decision on a request that was queued.
    Decision(RequestId, RoutingDecision),
    /// Stop waiting for the request's attempt; the balancer already counts it as cancelled.
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

    fn refers_to(&self, request: RequestId) -> bool {
        self.is_decision_on(request) || matches!(self, Output::Cancel(id) if *id == request)
    }
}

/// How many members are in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Members in the endpoint list.
    pub listed: usize,
    /// Members in the endpoint list that receive no new requests: administratively down, or ejected as outliers.
    pub ejected: usize,
}

/// A request's attempt in flight.
struct AttemptInFlight {
    number: AttemptNo,
    member: MemberId,
    started_at: Micros,
    /// When its response began to stream to the client, if it did.
    streaming_since: Option<Micros>,
}

/// A request that is not finished.
struct TrackedRequest {
    class: ClassId,
    deadline: Micros,
    attempts: u32,
    attempt: Option<AttemptInFlight>,
}

/// The balancer's state, handed over to the successor process in a hot restart. The field names are those of the
/// serialised form.
#[derive(Clone, Serialize, Deserialize)]
pub struct Snapshot {
    groups: BTreeSet<GroupId>,
    pool: BTreeSet<MemberId>,
    router: balance::Snapshot,
}

impl Snapshot {
    /// Merges the snapshot of another worker of the same gateway. No group is in both.
    pub fn merge(&mut self, other: Snapshot) {
        self.groups.extend(other.groups);
        self.pool.extend(other.pool);
        self.router.merge(other.router);
    }

    /// Reduces the snapshot to the groups for which `is_included` is true, and their members.
    pub fn for_groups(mut self, is_included: impl Fn(GroupId) -> bool) -> Snapshot {
        self.groups.retain(|group| is_included(*group));
        self.router = self.router.for_groups(is_included);
        let members = self.router.members();
        self.pool.retain(|member| members.contains(member));
        self
    }
}

/// Drives the router for a caller that carries out its decisions one at a time.
pub struct Balancer {
    router: Router,
    /// Consistency and idempotency of each class, indexed by [`ClassId`].
    class_guarantees: Vec<(Consistency, Idempotency)>,
    groups: BTreeSet<GroupId>,
    /// The members in the endpoint list.
    listed: BTreeSet<MemberId>,
    next_request: u64,
    requests: BTreeMap<RequestId, TrackedRequest>,
    timers: BTreeSet<(Micros, TimerId)>,
    outputs: VecDeque<Output>,
}

impl Balancer {
    /// Creates a balancer without endpoints. It never hedges, even if the settings enable hedging.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = Settings { hedging: false, ..settings };
        Balancer {
            class_guarantees: class_guarantees(&settings),
            router: Router::with_own_clock(settings, seed),
            groups: BTreeSet::new(),
            listed: BTreeSet::new(),
            next_request: 0,
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            outputs: VecDeque::new(),
        }
    }

    /// Replaces the settings. The classes of requests in flight must keep their ids.
    pub fn update_settings(&mut self, settings: Settings) {
        self.class_guarantees = class_guarantees(&settings);
        self.router.update_settings(Settings { hedging: false, ..settings });
    }

    /// The longest deadline of all classes in the settings.
    pub fn longest_deadline(&self) -> Micros {
        self.router.longest_deadline()
    }

    /// Whether a request of this class is in flight.
    pub fn has_requests_of(&self, class: ClassId) -> bool {
        self.requests.values().any(|request| request.class == class)
    }

    /// Processes a full endpoint list, or an incremental update if `is_full` is false.
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

    /// Takes a snapshot for the successor process.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { groups: self.groups.clone(), pool: self.listed.clone(), router: self.router.snapshot() }
    }

    /// Restores the state of another process. `previous_class` returns the id that a class of this process had at the
    /// other one; `clock_error` is the largest possible difference between the clocks of the two processes.
    pub fn restore(
        &mut self,
        snapshot: Snapshot,
        previous_class: impl Fn(ClassId) -> Option<ClassId>,
        clock_error: Micros,
    ) {
        let known_mean = |class| {
            previous_class(ClassId(class)).and_then(|id| snapshot.router.mean_latencies.get(id.0).copied())
        };
        let means: Vec<Option<f64>> = (0..self.class_guarantees.len()).map(known_mean).collect();
        (self.groups, self.listed) = (snapshot.groups, snapshot.pool);
        self.router.restore(snapshot.router, &means, clock_error);
    }

    /// Records a session's commit that another process of this gateway has received.
    pub fn record_commit(&mut self, group: GroupId, session: SessionKey, commit: Micros) {
        self.router.committed(group, session, commit);
    }

    /// The commit that a session's reads in a group must see, if one is recorded for this very session.
    pub fn session_commit(&self, group: GroupId, session: SessionKey) -> Option<Micros> {
        self.router.commit(group, session)
    }

    /// Takes a member out of service on an operator's request, regardless of the endpoint list, or returns it to
    /// service.
    pub fn set_administratively_down(&mut self, now: Micros, member: MemberId, down: bool) {
        self.drive(now, Event::SetAdministrativelyDown { member, down });
    }

    /// Whether the member is in the endpoint list.
    pub fn is_listed(&self, member: MemberId) -> bool {
        self.listed.contains(&member)
    }

    /// How many members are in the endpoint list, and how many of them receive no new requests.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        EndpointCounts {
            listed: self.listed.len(),
            ejected: self.listed.iter().filter(|member| self.router.is_down_or_ejected(**member)).count(),
        }
    }

    /// Whether new requests may be sent to the member.
    pub fn is_routable(&self, member: MemberId) -> bool {
        self.router.is_in_service(member)
    }

    /// Whether the group has ever been in an endpoint list.
    pub fn has_group(&self, group: GroupId) -> bool {
        self.groups.contains(&group)
    }

    /// Whether requests of this class write.
    pub fn is_write_class(&self, class: ClassId) -> bool {
        self.class_guarantees[class.0].0 == Consistency::Write
    }

    /// Whether requests of this class carry an idempotency key.
    pub fn is_keyed_class(&self, class: ClassId) -> bool {
        matches!(self.class_guarantees[class.0].1, Idempotency::IdempotencyKey { .. })
    }

    /// Accepts a request and returns the decision on it; [`RoutingDecision::Queued`] if the decision comes later.
    pub fn pick(&mut self, now: Micros, request: RoutingRequest) -> (RequestId, RoutingDecision) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let deadline = now + request.time_left;
        let tracked = TrackedRequest { class: request.class, deadline, attempts: 0, attempt: None };
        self.requests.insert(id, tracked);
        let has_session = matches!(
            self.class_guarantees.get(request.class.0),
            Some((Consistency::Write | Consistency::Session, _))
        );
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

    /// Records that the response of the attempt in flight has begun to stream to the client; no further decision on the
    /// request follows. Returns false if no attempt is in flight, as after the final answer.
    #[must_use]
    pub fn start_streaming(&mut self, now: Micros, request: RequestId) -> bool {
        let tracked = self.requests.get_mut(&request);
        let Some(attempt) = tracked.and_then(|tracked| tracked.attempt.as_mut()) else { return false };
        attempt.streaming_since = Some(now);
        self.drive(now, Event::Started { request });
        true
    }

    /// Processes the outcome of the attempt in flight. A request that was served, or whose response streams, is
    /// finished; for any other the caller carries out the returned decision.
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

    /// Records that a member has accepted the session on a new connection.
    pub fn session_accepted(&mut self, now: Micros, member: MemberId) {
        self.router.member_accepted_session(now, member);
    }

    /// Checks whether the attempt in flight may still be written to its member, and records that it is sent at `now`:
    /// its connection may have taken long to establish. Returns the time before which its last byte must be written.
    ///
    /// # Errors
    /// The attempt must not be written; the caller reports it as failed.
    pub fn begin_write(&mut self, now: Micros, request: RequestId) -> Result<Micros, WriteRefusal> {
        if !self.requests.contains_key(&request) {
            return Err(WriteRefusal::NotInFlight);
        }
        self.router.begin_write(now, request)
    }

    /// Whether the member of the attempt in flight is known to be recent enough for the request if its last byte is
    /// written now.
    pub fn is_fresh_enough(&self, now: Micros, request: RequestId) -> bool {
        self.router.covers(now, request)
    }

    /// The facts on which the choice of the member for the attempt in flight was based.
    pub fn read_basis(&self, now: Micros, request: RequestId) -> Option<ReadBasis> {
        self.router.read_basis(now, request)
    }

    /// The times that decide whether the attempt in flight may repeat an earlier one of its request.
    pub fn attempt_timing(&self, request: RequestId) -> Option<AttemptTiming> {
        self.router.attempt_timing(request)
    }

    /// Enables notices about single requests.
    pub fn enable_request_notices(&mut self) {
        self.router.enable_request_tracing();
    }

    /// Finishes a request whose client has disconnected or has been answered without the balancer.
    pub fn handle_client_gone(&mut self, now: Micros, request: RequestId) {
        self.outputs.retain(|output| !output.refers_to(request));
        if self.requests.contains_key(&request) {
            self.drive(now, Event::ClientLeft(request));
            self.remove_request(now, request);
        }
    }

    /// Processes the outcome of a health check and the role and log position that the member reported.
    pub fn health_checked(&mut self, now: Micros, member: MemberId, outcome: AttemptOutcome) {
        let (role, position) = outcome.reported();
        let report = HealthReport { position, role };
        self.drive(now, Event::HealthChecked { member, status: outcome.status(), report });
    }

    /// Processes what an answer tells that was read after its attempt or health check had been abandoned.
    pub fn late_answer_read(&mut self, now: Micros, member: MemberId, answer: LateAnswer) {
        self.drive(now, Event::LateAnswer { member, answer });
    }

    /// Records that a member has stated its role in an answer that it wrote at `at` or later, beside this position.
    pub fn role_stated(&mut self, now: Micros, member: MemberId, position: Option<Micros>, at: Micros) {
        self.router.role_stated(now, member, position, at);
    }

    /// Records that a member has stated its role in a health report that it wrote at `written_at` or later, beside this
    /// position.
    pub fn role_reported(
        &mut self,
        now: Micros,
        member: MemberId,
        position: Option<Micros>,
        written_at: Micros,
    ) {
        self.router.role_reported(now, member, position, written_at);
    }

    /// Whether the answer to the attempt in flight was to confirm that its member is the primary.
    pub fn is_confirming_read(&self, request: RequestId) -> bool {
        self.router.is_confirming_read(request)
    }

    /// Whether the request may be served from an answer with this role and position. An answer that was to confirm the
    /// primary's role and does not is served only if its position is recent enough.
    pub fn may_serve(&self, request: RequestId, role: Option<Role>, position: Option<Micros>) -> bool {
        self.router.may_serve(request, role, position)
    }

    /// Records that an answer of a member will not be read, which it may write until `until`: it is not relied on as
    /// the primary for reads until it has stated its role again.
    pub fn answer_left_unread(&mut self, member: MemberId, until: Micros) {
        self.router.answer_left_unread(member, until);
    }

    /// All members.
    pub fn members(&self) -> Vec<MemberId> {
        self.router.members().collect()
    }

    /// The role that a member has stated last; `None` if it has stated none.
    pub fn stated_role(&self, member: MemberId) -> Option<StatedRole> {
        self.router.stated_role(member)
    }

    /// Processes the role that a member has stated to another process of this gateway.
    pub fn role_stated_elsewhere(&mut self, now: Micros, member: MemberId, stated: StatedRole) {
        self.drive(now, Event::RoleStatedElsewhere { member, stated });
    }

    /// Sets whether there is another process of this gateway, which hosts may have told another role.
    pub fn set_other_process(&mut self, exists: bool) {
        self.router.set_other_process(exists);
    }

    /// Records that another process of this gateway has ended at `now`, which may have left answers unread.
    pub fn peer_ended(&mut self, now: Micros) {
        self.router.peer_ended(now);
    }

    /// Records that reading an answer of a member was paused, or that it was resumed or ended.
    pub fn set_answer_paused(&mut self, member: MemberId, is_paused: bool) {
        self.router.set_answer_paused(member, is_paused);
    }

    /// Returns the next output, in order. If there is none, fires the timers that are due first.
    pub fn poll_output(&mut self, now: Micros) -> Option<Output> {
        if self.outputs.is_empty() {
            // Timers set while these fire wait for the next call: one that sets itself as due at once would loop
            // forever.
            let later = self.timers.split_off(&(now + Micros(1), TimerId(0)));
            for (_, timer) in std::mem::replace(&mut self.timers, later) {
                self.drive(now, Event::Timer(timer));
            }
        }
        self.outputs.pop_front()
    }

    /// When [`Balancer::poll_output`] is to be called next: at once (zero) if outputs are pending, otherwise when the
    /// first timer is due.
    pub fn next_deadline(&self) -> Option<Micros> {
        if self.outputs.is_empty() {
            self.timers.first().map(|(at, _)| *at)
        } else {
            Some(Micros(0))
        }
    }

    /// Removes and returns the pending decision on a request; [`RoutingDecision::Queued`] if there is none.
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

    /// Removes a finished request; an attempt still in flight counts as cancelled.
    fn remove_request(&mut self, now: Micros, request: RequestId) {
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
            // The gateway always watches the endpoint list, and the balancer has no connection to other gateways.
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

    /// Outputs a final answer and removes the request. A pending decision to send is dropped; the caller that receives
    /// the answer closes the attempt's connection.
    fn conclude(&mut self, now: Micros, request: RequestId, decision: RoutingDecision) {
        if !self.requests.contains_key(&request) {
            return;
        }
        self.outputs.retain(|output| !output.is_decision_on(request));
        self.outputs.push_back(Output::Decision(request, decision));
        self.remove_request(now, request);
    }
}

/// Consistency and idempotency of each class, indexed by [`ClassId`].
fn class_guarantees(settings: &Settings) -> Vec<(Consistency, Idempotency)> {
    settings.classes.iter().map(|class| (class.consistency, class.idempotency)).collect()
}
