//! One gateway's balancer and connection pool in virtual time, with a simple model of hosts, at the operators' load
//! of one gateway out of 710. Measures open connections, handshakes, health checks, a zone that is lost and returns,
//! and gateways that know only a subset of the replicas.

use std::collections::BTreeMap;

use dunemount::attempt::{AttemptOutcome, ResponseStatus};
use dunemount::balancer::{Balancer, Output, RoutingDecision, RoutingRequest};
use dunemount::net::pool::{Pool, MIN_REST};
use dunemount::settings::SiteSettings;
use dunemount::{
    ClassId, Endpoint, EndpointState, GroupId, MemberId, Micros, RequestId, Role, SessionKey, ZoneId,
};
use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp, Uniform};
use rand_pcg::Pcg64Mcg;

use super::{site_settings, Measurements, Setup, HOSTS_PER_GROUP, HOST_COUNTS};
use crate::capacity::slopes::Point;

/// Statements per second of one gateway, and the number of sessions that send them.
const STATEMENT_RATE: f64 = 1_268.0;
const SESSIONS: u64 = 3_239;
/// Mean time of a statement at a host; time of a network round trip; time of a handshake.
const MEAN_WORK_US: f64 = 3_000.0;
const ROUND_TRIP: Micros = Micros(600);
const HANDSHAKE_TIME: Micros = Micros(2_000);
/// Largest lag of a replica.
const MAX_LAG_US: f64 = 400_000.0;
/// Time before counting starts; time that counts; time for which a zone is lost; time that counts after its return.
const WARM_UP: Micros = Micros::millis(20_000);
const COUNTED_TIME: Micros = Micros::millis(20_000);
const ZONE_LOST_TIME: Micros = Micros::millis(30_000);
const ZONE_RETURN_TIME: Micros = Micros::millis(20_000);
/// Virtual time at which the simulation starts.
const START_AT: Micros = Micros::millis(24 * 3_600_000);
/// Connection limit of the pool: a third of the descriptors that 3,239 clients need.
const MAX_CONNECTIONS: usize = 4_860;

#[derive(Clone, Copy)]
enum ScheduledEvent {
    Arrival,
    /// The answer of an attempt arrives, unless the attempt has been cancelled.
    AttemptEnd(RequestId, MemberId, u64),
    /// The answer of a health check arrives.
    HealthCheckAnswer(MemberId, u64),
    StaleCheck,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    handshakes: u64,
    health_checks: u64,
    /// Handshakes with hosts of the zone that is lost and returns.
    returned_zone_handshakes: u64,
    /// Reads with bounded staleness, and how many of their attempts were sent to a replica.
    reads: u64,
    replica_reads: u64,
}

struct PoolSimulation {
    now: Micros,
    balancer: Balancer,
    pool: Pool<u64>,
    hosts: Vec<Endpoint>,
    lags: BTreeMap<MemberId, Micros>,
    schedule: BTreeMap<(Micros, u64), ScheduledEvent>,
    serial: u64,
    /// Attempts in flight by request, each with its host and its connection.
    in_flight: BTreeMap<RequestId, (MemberId, u64)>,
    classes: BTreeMap<RequestId, ClassId>,
    groups: u64,
    rng: Pcg64Mcg,
    interval_us: Exp<f64>,
    work_us: Exp<f64>,
    counts: Counts,
}

impl PoolSimulation {
    /// A simulation of `hosts` hosts, of which the gateway knows `replicas` replicas in each group.
    fn new(
        site_settings: &SiteSettings,
        hosts: usize,
        replicas: usize,
        seed: u64,
    ) -> Result<PoolSimulation, String> {
        let error_text = |e: rand_distr::ExpError| e.to_string();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let lag = Uniform::new(0.0, MAX_LAG_US);
        let endpoint = |index: usize| Endpoint {
            member: MemberId(index as u64 + 1),
            group: GroupId((index / HOSTS_PER_GROUP) as u64),
            zone: ZoneId(index % 6),
            state: EndpointState::Ready,
            weight: 1.0,
            started: Micros(0),
            primary: index % HOSTS_PER_GROUP == 0,
        };
        let hosts: Vec<Endpoint> =
            (0..hosts).filter(|index| index % HOSTS_PER_GROUP <= replicas).map(endpoint).collect();
        let draw_lag = |host: &Endpoint, rng: &mut Pcg64Mcg| match host.primary {
            true => Micros(0),
            false => Micros(lag.sample(rng) as u64),
        };
        let lags = hosts.iter().map(|host| (host.member, draw_lag(host, &mut rng))).collect();
        let mut simulation = PoolSimulation {
            now: START_AT,
            balancer: Balancer::new(site_settings.router.clone(), seed),
            pool: Pool::new(MAX_CONNECTIONS, site_settings.router.connection_idle_timeout),
            groups: hosts.last().map_or(1, |host| host.group.0 + 1),
            hosts,
            lags,
            schedule: BTreeMap::new(),
            serial: 0,
            in_flight: BTreeMap::new(),
            classes: BTreeMap::new(),
            rng,
            interval_us: Exp::new(STATEMENT_RATE / 1e6).map_err(error_text)?,
            work_us: Exp::new(1.0 / MEAN_WORK_US).map_err(error_text)?,
            counts: Counts::default(),
        };
        simulation.balancer.update_endpoints(simulation.now, true, simulation.hosts.clone());
        simulation.schedule_after(Micros(1), ScheduledEvent::Arrival);
        simulation.schedule_after(Micros(1), ScheduledEvent::StaleCheck);
        Ok(simulation)
    }

    fn schedule_after(&mut self, delay: Micros, event: ScheduledEvent) {
        self.serial += 1;
        self.schedule.insert((self.now + delay, self.serial), event);
    }

    fn run(&mut self, duration: Micros) {
        let until = self.now + duration;
        loop {
            let next_event = self.schedule.keys().next().map_or(until, |(at, _)| *at);
            // The balancer must run at its own deadlines too, at least once per tick of its settings.
            let deadline = self.balancer.next_deadline().unwrap_or(until).max(self.now);
            let next = next_event.min(deadline);
            if next > until {
                self.now = until;
                return;
            }
            self.now = next;
            let mut output_count = 0;
            while let Some(output) = self.balancer.poll_output(self.now).filter(|_| output_count < 100_000) {
                output_count += 1;
                self.execute(output);
            }
            if self.balancer.next_deadline().is_some_and(|at| at <= self.now) && next_event > self.now {
                self.now = self.now + Micros(1);
            }
            while let Some(first) = self.schedule.first_entry().filter(|first| first.key().0 <= self.now) {
                let event = first.remove();
                self.process(event);
            }
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Decision(request_id, decision) => self.apply(request_id, decision),
            Output::Cancel(request_id) => {
                // As the gateway does, close the connection of a cancelled attempt.
                if let Some((member, key)) = self.in_flight.remove(&request_id) {
                    self.pool.on_closed(member, key);
                }
            }
            Output::HealthCheck(member) => {
                self.counts.health_checks += 1;
                let (key, ready) = self.connection(member);
                self.schedule_after(ready + ROUND_TRIP, ScheduledEvent::HealthCheckAnswer(member, key));
            }
            Output::CloseIdle(member) => {
                for key in self.pool.idle_to(member) {
                    self.pool.on_closed(member, key);
                }
            }
            Output::Notice(_) => {}
        }
    }

    /// Takes or opens a connection to a host; returns its key and the time until it can be used.
    fn connection(&mut self, member: MemberId) -> (u64, Micros) {
        if let Some(key) = self.pool.take(self.now, member) {
            return (key, Micros(0));
        }
        self.serial += 1;
        self.pool.on_opened();
        self.counts.handshakes += 1;
        self.counts.returned_zone_handshakes += u64::from((member.0 - 1) % 6 == 0);
        (self.serial, HANDSHAKE_TIME)
    }

    fn apply(&mut self, request_id: RequestId, decision: RoutingDecision) {
        match decision {
            RoutingDecision::Send { member, .. } => {
                let (key, ready) = self.connection(member);
                if self.classes.get(&request_id) == Some(&ClassId(0)) {
                    self.counts.replica_reads += u64::from(!is_primary(member));
                }
                self.in_flight.insert(request_id, (member, key));
                let work = Micros(self.work_us.sample(&mut self.rng) as u64);
                self.schedule_after(
                    ready + ROUND_TRIP + work,
                    ScheduledEvent::AttemptEnd(request_id, member, key),
                );
            }
            RoutingDecision::Queued => {}
            RoutingDecision::Reject { .. } | RoutingDecision::Fail => drop(self.classes.remove(&request_id)),
        }
    }

    fn host_answer(&self, member: MemberId) -> AttemptOutcome {
        let lag = self.lags.get(&member).copied().unwrap_or_default();
        let primary = is_primary(member);
        let role = if primary { Role::Primary } else { Role::Replica };
        AttemptOutcome::Response {
            status: ResponseStatus::Served,
            role: Some(role),
            position: Some(self.now - ROUND_TRIP.scale(0.5) - lag),
        }
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival => self.add_request(),
            ScheduledEvent::AttemptEnd(request_id, member, key) => {
                if self.in_flight.get(&request_id) == Some(&(member, key)) {
                    self.in_flight.remove(&request_id);
                    self.pool.put(self.now, member, key, self.now + MIN_REST);
                    self.classes.remove(&request_id);
                    let decision =
                        self.balancer.handle_outcome(self.now, request_id, self.host_answer(member));
                    self.apply(request_id, decision);
                }
            }
            ScheduledEvent::HealthCheckAnswer(member, key) => {
                self.pool.put(self.now, member, key, self.now + MIN_REST);
                self.balancer.health_checked(self.now, member, self.host_answer(member));
            }
            ScheduledEvent::StaleCheck => {
                let stale: Vec<u64> = self.pool.stale(self.now);
                let stale: std::collections::BTreeSet<u64> = stale.into_iter().collect();
                for member in self.hosts.iter().map(|host| host.member).collect::<Vec<_>>() {
                    for key in self.pool.idle_to(member).into_iter().filter(|key| stale.contains(key)) {
                        self.pool.on_closed(member, key);
                    }
                }
                self.schedule_after(Micros::millis(250), ScheduledEvent::StaleCheck);
            }
        }
    }

    fn add_request(&mut self) {
        let interval = Micros(self.interval_us.sample(&mut self.rng) as u64);
        self.schedule_after(interval, ScheduledEvent::Arrival);
        let draw = |rng: &mut Pcg64Mcg, below: u64| Uniform::new(0, below).sample(rng);
        let choice = draw(&mut self.rng, 10);
        // A mix close to that of the load test's clients: of ten, seven bounded reads, two of the client's own
        // writes, one write.
        let class = ClassId(match choice {
            0 => 3,
            1 | 2 => 1,
            _ => 0,
        });
        let request = RoutingRequest {
            class,
            group: GroupId(draw(&mut self.rng, self.groups)),
            session: SessionKey(draw(&mut self.rng, SESSIONS)),
            committed: None,
            repeat: false,
            time_left: Micros::millis(1_000),
        };
        self.counts.reads += u64::from(class == ClassId(0));
        let (request_id, decision) = self.balancer.pick(self.now, request);
        self.classes.insert(request_id, class);
        self.apply(request_id, decision);
    }

    /// Lists the first zone's hosts as removed, or as ready again and cold.
    fn list_zone(&mut self, new_state: EndpointState) {
        let started = if new_state == EndpointState::Ready { self.now } else { Micros(0) };
        let zone_hosts = self.hosts.iter().filter(|host| host.zone == ZoneId(0));
        let entries: Vec<Endpoint> =
            zone_hosts.map(|host| Endpoint { state: new_state, started, ..*host }).collect();
        self.balancer.update_endpoints(self.now, false, entries);
    }
}

/// Whether a host is the primary of its group, which is the first host of each.
fn is_primary(member: MemberId) -> bool {
    (member.0 as usize - 1) % HOSTS_PER_GROUP == 0
}

/// Measures pools against the number of hosts and against the replicas of a group that the gateway knows.
///
/// # Errors
/// The settings cannot be read, or a rate is invalid.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let (mut measurements, site_settings) = (Measurements::default(), site_settings()?);
    let seconds = COUNTED_TIME.as_f64() / 1e6;
    for seed in 1..=u64::from(setup.rounds) {
        for hosts in HOST_COUNTS {
            let mut simulation = PoolSimulation::new(&site_settings, hosts, HOSTS_PER_GROUP - 1, seed)?;
            simulation.run(WARM_UP);
            simulation.counts = Counts::default();
            simulation.run(COUNTED_TIME);
            measurements.add("pool_connections", hosts, simulation.pool.len() as f64);
            measurements.add("pool_handshakes_s", hosts, simulation.counts.handshakes as f64 / seconds);
            measurements.add("pool_probes_s", hosts, simulation.counts.health_checks as f64 / seconds);
            simulation.list_zone(EndpointState::Removed);
            simulation.run(ZONE_LOST_TIME);
            simulation.counts = Counts::default();
            simulation.list_zone(EndpointState::Ready);
            simulation.run(ZONE_RETURN_TIME);
            measurements.add(
                "pool_return_handshakes",
                hosts,
                simulation.counts.returned_zone_handshakes as f64,
            );
        }
        for replicas in 0..HOSTS_PER_GROUP {
            let mut simulation =
                PoolSimulation::new(&site_settings, HOST_COUNTS[HOST_COUNTS.len() - 1], replicas, seed)?;
            simulation.run(WARM_UP);
            simulation.counts = Counts::default();
            simulation.run(COUNTED_TIME);
            let replica_fraction =
                simulation.counts.replica_reads as f64 / simulation.counts.reads.max(1) as f64;
            measurements.add("subset_replica_part", replicas, replica_fraction);
            measurements.add("subset_connections", replicas, simulation.pool.len() as f64);
        }
    }
    Ok(measurements.points())
}
