//! A workload in simulated time: groups of members, sessions, and requests that are answered after a fixed number of
//! later requests. It drives the balancer facade only.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use dunemount::attempt::{AttemptOutcome, ResponseStatus};
use dunemount::balancer::{Balancer, Output, RoutingDecision, RoutingRequest};
use dunemount::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Simulated time between two requests.
const REQUEST_INTERVAL: Micros = Micros(100);
const START: Micros = Micros::millis(24 * 3_600_000);

/// The size of a workload.
#[derive(Clone, Copy)]
pub struct Size {
    pub groups: u64,
    /// Members of each group.
    pub members: u64,
    pub sessions: u64,
    /// Requests that arrive between the send of a request and its answer.
    pub open: usize,
}

/// The time that a number of requests took in the balancer.
#[derive(Clone, Copy, Default)]
pub struct Cost {
    pub total: Duration,
    pub longest: Duration,
    pub requests: u64,
    pub served: u64,
}

pub struct Workload {
    balancer: Balancer,
    size: Size,
    now: Micros,
    rng: Pcg64Mcg,
    in_flight: VecDeque<(RequestId, MemberId, u64)>,
    request_count: u64,
    cost: Cost,
}

fn settings() -> Settings {
    let class = |consistency, idempotency, latency_objective, deadline, late_weight| Class {
        latency_objective: Micros::millis(latency_objective),
        deadline: Micros::millis(deadline),
        priority_weight: 3.0,
        late_weight,
        idempotency,
        consistency,
    };
    let keyed =
        Idempotency::IdempotencyKey { scope: DeduplicationScope::Group, window: Micros::millis(3000) };
    Settings {
        classes: vec![
            class(
                Consistency::BoundedStaleness(Micros::millis(800)),
                Idempotency::Idempotent,
                300,
                1000,
                0.0,
            ),
            class(Consistency::Session, Idempotency::Idempotent, 500, 1500, 0.0),
            class(Consistency::Strong, Idempotency::Idempotent, 750, 2500, 0.2),
            class(Consistency::Write, keyed, 750, 3000, 0.3),
        ],
        tenants: vec![],
        over_quota_weight: 1.0,
        weight_basis: Default::default(),
        zone: ZoneId(0),
        gateways: 1,
        tick: Micros::millis(5),
        watch_required: false,
        replica_checks: ReplicaChecks::None,
        session_tokens: SessionTokens::Remembered,
        health_checks: true,
        cancels: true,
        peers: false,
        hedging: false,
        retry_after: true,
        clients_mark_retries: false,
        max_retry_after: Micros::millis(1000),
        max_attempts: 8,
        health_check_price: 0.01,
        cross_zone_price: 0.01,
        handshake_price: 0.0,
        drain_grace: Micros::millis(2000),
        removed_may_serve: false,
        connection_idle_timeout: Micros::millis(15_000),
        slow_start_initial: 0.15,
        slow_start_window: Micros::millis(13_000),
        overload_multiple: 2.0,
        overload_window: Micros::millis(3000),
    }
}

impl Workload {
    /// A workload whose sessions have all written; no replica has reached their commits.
    pub fn new(size: Size) -> Workload {
        let mut balancer = Balancer::new(settings(), 7);
        let endpoint = |group: u64, index: u64| Endpoint {
            member: MemberId(group * size.members + index + 1),
            group: GroupId(group),
            zone: ZoneId(index as usize % 3),
            weight: 1.0,
            primary: index == 0,
            ..Endpoint::default()
        };
        let all =
            (0..size.groups).flat_map(|group| (0..size.members).map(move |index| endpoint(group, index)));
        balancer.update_endpoints(START, true, all.collect());
        for session in 0..size.sessions {
            let commit = START + Micros::millis(1_000_000) + Micros(session);
            balancer.record_commit(GroupId(session % size.groups), SessionKey(session), commit);
        }
        let rng = Pcg64Mcg::seed_from_u64(11);
        Workload {
            balancer,
            size,
            now: START,
            rng,
            in_flight: VecDeque::new(),
            request_count: 0,
            cost: Cost::default(),
        }
    }

    fn timed<T>(&mut self, step: impl FnOnce(&mut Balancer) -> T) -> T {
        let from = Instant::now();
        let result = step(&mut self.balancer);
        let elapsed = from.elapsed();
        self.cost.total += elapsed;
        self.cost.longest = self.cost.longest.max(elapsed);
        result
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    /// Runs this many requests and gives the time that the balancer took for them.
    pub fn run(&mut self, requests: u64) -> Cost {
        self.cost = Cost { requests, ..Cost::default() };
        for _ in 0..requests {
            self.now = self.now + REQUEST_INTERVAL;
            self.request_count += 1;
            let now = self.now;
            while let Some(output) = self.timed(|b| b.poll_output(now)) {
                match output {
                    Output::Decision(request_id, RoutingDecision::Send { member, .. }) => {
                        self.record_send(request_id, member);
                    }
                    Output::HealthCheck(member) => {
                        let (role, position) = self.report(member);
                        let outcome =
                            AttemptOutcome::Response { status: ResponseStatus::Served, role, position };
                        self.timed(|b| b.health_checked(now, member, outcome));
                    }
                    _ => {}
                }
            }
            let session = self.draw(self.size.sessions);
            let class = [0, 0, 0, 0, 0, 1, 1, 1, 2, 3][self.draw(10) as usize];
            let group = match class {
                1 | 3 => session % self.size.groups,
                _ => self.draw(self.size.groups),
            };
            let request = RoutingRequest {
                class: ClassId(class),
                group: GroupId(group),
                session: SessionKey(session),
                committed: None,
                repeat: false,
                time_left: Micros::millis(1000),
            };
            let (request_id, decision) = self.timed(|b| b.pick(now, request));
            if let RoutingDecision::Send { member, .. } = decision {
                self.record_send(request_id, member);
            }
            let due = self.request_count.saturating_sub(self.size.open as u64);
            while self.in_flight.front().is_some_and(|(.., sent)| *sent <= due) {
                let Some((request_id, member, _)) = self.in_flight.pop_front() else { break };
                let (role, position) = self.report(member);
                let outcome = AttemptOutcome::Response { status: ResponseStatus::Served, role, position };
                self.timed(|b| b.handle_outcome(now, request_id, outcome));
                self.cost.served += 1;
            }
        }
        self.cost
    }

    fn record_send(&mut self, request_id: RequestId, member: MemberId) {
        self.in_flight.push_back((request_id, member, self.request_count));
    }

    /// The role and position that a member reports: replicas lag the primary by 20 ms.
    fn report(&self, member: MemberId) -> (Option<Role>, Option<Micros>) {
        match (member.0 - 1) % self.size.members {
            0 => (Some(Role::Primary), Some(self.now)),
            _ => (Some(Role::Replica), Some(self.now - Micros::millis(20))),
        }
    }
}
