//! A site in the module's own time: families of members, sessions, and requests that are answered once
//! so many have come behind them. Drives the facade and nothing below it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use dunemount::attempt::{AttemptOutcome, ResponseStatus};
use dunemount::balancer::{Balancer, Output, RoutingDecision, RoutingRequest};
use dunemount::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// One request each so often, in the module's time.
const PACE: Micros = Micros(100);
const START: Micros = Micros::millis(24 * 3_600_000);

/// The size of a site.
#[derive(Clone, Copy)]
pub struct Size {
    pub families: u64,
    /// Members of each family.
    pub members: u64,
    pub sessions: u64,
    /// Requests that come between one that is sent and its answer.
    pub open: usize,
}

/// What so many requests took.
#[derive(Clone, Copy, Default)]
pub struct Cost {
    pub total: Duration,
    pub longest: Duration,
    pub requests: u64,
    pub served: u64,
}

pub struct Scene {
    balancer: Balancer,
    size: Size,
    now: Micros,
    rng: Pcg64Mcg,
    out: VecDeque<(RequestId, MemberId, u64)>,
    taken: u64,
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

impl Scene {
    /// A site whose sessions have all written; their commits lie ahead of every replica.
    pub fn new(size: Size) -> Scene {
        let mut balancer = Balancer::new(settings(), 7);
        let endpoint = |family: u64, place: u64| Endpoint {
            member: MemberId(family * size.members + place + 1),
            group: GroupId(family),
            zone: ZoneId(place as usize % 3),
            weight: 1.0,
            primary: place == 0,
            ..Endpoint::default()
        };
        let all = (0..size.families).flat_map(|f| (0..size.members).map(move |m| endpoint(f, m)));
        balancer.update_endpoints(START, true, all.collect());
        for session in 0..size.sessions {
            let commit = START + Micros::millis(1_000_000) + Micros(session);
            balancer.record_commit(GroupId(session % size.families), SessionKey(session), commit);
        }
        let rng = Pcg64Mcg::seed_from_u64(11);
        Scene { balancer, size, now: START, rng, out: VecDeque::new(), taken: 0, cost: Cost::default() }
    }

    fn timed<T>(&mut self, step: impl FnOnce(&mut Balancer) -> T) -> T {
        let from = Instant::now();
        let done = step(&mut self.balancer);
        let took = from.elapsed();
        self.cost.total += took;
        self.cost.longest = self.cost.longest.max(took);
        done
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    /// Plays so many requests and says what the module took for them.
    pub fn play(&mut self, requests: u64) -> Cost {
        self.cost = Cost { requests, ..Cost::default() };
        for _ in 0..requests {
            self.now = self.now + PACE;
            self.taken += 1;
            let now = self.now;
            while let Some(due) = self.timed(|b| b.poll_output(now)) {
                match due {
                    Output::Decision(request_id, RoutingDecision::Send { member, .. }) => {
                        self.sent(request_id, member);
                    }
                    Output::HealthCheck(member) => {
                        let (role, position) = self.told(member);
                        let said =
                            AttemptOutcome::Response { status: ResponseStatus::Served, role, position };
                        self.timed(|b| b.health_checked(now, member, said));
                    }
                    _ => {}
                }
            }
            let session = self.draw(self.size.sessions);
            let class = [0, 0, 0, 0, 0, 1, 1, 1, 2, 3][self.draw(10) as usize];
            let group = match class {
                1 | 3 => session % self.size.families,
                _ => self.draw(self.size.families),
            };
            let ask = RoutingRequest {
                class: ClassId(class),
                group: GroupId(group),
                session: SessionKey(session),
                committed: None,
                repeat: false,
                time_left: Micros::millis(1000),
            };
            let (request_id, decision) = self.timed(|b| b.pick(now, ask));
            if let RoutingDecision::Send { member, .. } = decision {
                self.sent(request_id, member);
            }
            let old = self.taken.saturating_sub(self.size.open as u64);
            while self.out.front().is_some_and(|(.., sent)| *sent <= old) {
                let Some((request_id, member, _)) = self.out.pop_front() else { break };
                let (role, position) = self.told(member);
                let ended = AttemptOutcome::Response { status: ResponseStatus::Served, role, position };
                self.timed(|b| b.handle_outcome(now, request_id, ended));
                self.cost.served += 1;
            }
        }
        self.cost
    }

    fn sent(&mut self, request_id: RequestId, member: MemberId) {
        self.out.push_back((request_id, member, self.taken));
    }

    /// What a member says: the primary has everything, its replicas are a little behind.
    fn told(&self, member: MemberId) -> (Option<Role>, Option<Micros>) {
        match (member.0 - 1) % self.size.members {
            0 => (Some(Role::Primary), Some(self.now)),
            _ => (Some(Role::Replica), Some(self.now - Micros::millis(20))),
        }
    }
}
