//! One gateway's balancer and pool of connections in virtual time before a plain model of hosts, at the operators' pace for
//! one of 710: connections that are open, handshakes, probes, a zone that goes and comes back, and subsets of replicas.

use std::collections::BTreeMap;

use dunemount::attempt::{AttemptOutcome, ResponseStatus};
use dunemount::balancer::{Balancer, Output, RoutingDecision, RoutingRequest};
use dunemount::net::pool::Pool;
use dunemount::settings::SiteSettings;
use dunemount::{
    ClassId, Endpoint, EndpointState, GroupId, MemberId, Micros, RequestId, Role, SessionKey, ZoneId,
};
use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp, Uniform};
use rand_pcg::Pcg64Mcg;

use super::{site, Figures, Setup, FAMILY, HOSTS};
use crate::capacity::slopes::Point;

/// Statements a second of one gateway, and their sessions.
const RATE: f64 = 1_268.0;
const SESSIONS: u64 = 3_239;
/// Time of a statement at a host in the mean, of the way there and back, and of a handshake.
const WORK_US: f64 = 3_000.0;
const WAY: Micros = Micros(600);
const HANDSHAKE: Micros = Micros(2_000);
/// How far a replica is behind at most.
const LAG_US: f64 = 400_000.0;
/// Before anything counts, while it does, how long a zone is away, and until its return is over.
const WARM: Micros = Micros::millis(20_000);
const COUNTED: Micros = Micros::millis(20_000);
const AWAY: Micros = Micros::millis(30_000);
const BACK: Micros = Micros::millis(20_000);
const START: Micros = Micros::millis(24 * 3_600_000);
/// Most connections: a third of the descriptors that 3,239 clients need.
const MOST: usize = 4_860;

#[derive(Clone, Copy)]
enum Step {
    Arrive,
    /// An attempt's answer is here, or it was called off before.
    End(RequestId, MemberId, u64),
    /// A probe's answer is here.
    Probed(MemberId, u64),
    Stale,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    handshakes: u64,
    health_checks: u64,
    /// Handshakes with hosts of the zone that goes and comes back.
    returning: u64,
    /// Bounded reads, and those of them that went to a replica.
    reads: u64,
    offloaded: u64,
}

struct World {
    now: Micros,
    balancer: Balancer,
    pool: Pool<u64>,
    hosts: Vec<Endpoint>,
    lags: BTreeMap<MemberId, Micros>,
    steps: BTreeMap<(Micros, u64), Step>,
    serial: u64,
    /// Attempts that are out, by request, with their connections.
    out: BTreeMap<RequestId, (MemberId, u64)>,
    classes: BTreeMap<RequestId, ClassId>,
    families: u64,
    rng: Pcg64Mcg,
    pause: Exp<f64>,
    work: Exp<f64>,
    counts: Counts,
}

impl World {
    /// A world of so many hosts; the gateway is told of so many replicas of each family.
    fn of(site: &SiteSettings, hosts: usize, replicas: usize, seed: u64) -> Result<World, String> {
        let said = |e: rand_distr::ExpError| e.to_string();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let lag = Uniform::new(0.0, LAG_US);
        let entry = |index: usize| Endpoint {
            member: MemberId(index as u64 + 1),
            group: GroupId((index / FAMILY) as u64),
            zone: ZoneId(index % 6),
            state: EndpointState::Ready,
            weight: 1.0,
            started: Micros(0),
            primary: index % FAMILY == 0,
        };
        let hosts: Vec<Endpoint> = (0..hosts).filter(|index| index % FAMILY <= replicas).map(entry).collect();
        let behind = |host: &Endpoint, rng: &mut Pcg64Mcg| match host.primary {
            true => Micros(0),
            false => Micros(lag.sample(rng) as u64),
        };
        let lags = hosts.iter().map(|host| (host.member, behind(host, &mut rng))).collect();
        let mut world = World {
            now: START,
            balancer: Balancer::new(site.router.clone(), seed),
            pool: Pool::new(MOST, site.router.connection_idle_timeout),
            families: hosts.last().map_or(1, |host| host.group.0 + 1),
            hosts,
            lags,
            steps: BTreeMap::new(),
            serial: 0,
            out: BTreeMap::new(),
            classes: BTreeMap::new(),
            rng,
            pause: Exp::new(RATE / 1e6).map_err(said)?,
            work: Exp::new(1.0 / WORK_US).map_err(said)?,
            counts: Counts::default(),
        };
        world.balancer.update_endpoints(world.now, true, world.hosts.clone());
        world.after(Micros(1), Step::Arrive);
        world.after(Micros(1), Step::Stale);
        Ok(world)
    }

    fn after(&mut self, time: Micros, step: Step) {
        self.serial += 1;
        self.steps.insert((self.now + time, self.serial), step);
    }

    fn run(&mut self, lasts: Micros) {
        let until = self.now + lasts;
        loop {
            let step = self.steps.keys().next().map_or(until, |(at, _)| *at);
            // The balancer moves on with each tick of its settings at the least.
            let due = self.balancer.next_deadline().unwrap_or(until).max(self.now);
            let next = step.min(due);
            if next > until {
                self.now = until;
                return;
            }
            self.now = next;
            let mut turns = 0;
            while let Some(due) = self.balancer.poll_output(self.now).filter(|_| turns < 100_000) {
                turns += 1;
                self.carry_out(due);
            }
            if self.balancer.next_deadline().is_some_and(|at| at <= self.now) && step > self.now {
                self.now = self.now + Micros(1);
            }
            while let Some(first) = self.steps.first_entry().filter(|first| first.key().0 <= self.now) {
                let step = first.remove();
                self.step(step);
            }
        }
    }

    fn carry_out(&mut self, due: Output) {
        match due {
            Output::Decision(request_id, decision) => self.apply(request_id, decision),
            Output::Cancel(request_id) => {
                // As the gateway does: the connection goes with the attempt.
                if let Some((member, key)) = self.out.remove(&request_id) {
                    self.pool.on_closed(member, key);
                }
            }
            Output::HealthCheck(member) => {
                self.counts.health_checks += 1;
                let (key, ready) = self.connection(member);
                self.after(ready + WAY, Step::Probed(member, key));
            }
            Output::CloseIdle(member) => {
                for key in self.pool.idle_to(member) {
                    self.pool.on_closed(member, key);
                }
            }
            Output::Notice(_) => {}
        }
    }

    /// A connection to a host, and when it can be used.
    fn connection(&mut self, member: MemberId) -> (u64, Micros) {
        if let Some(key) = self.pool.take(self.now, member) {
            return (key, Micros(0));
        }
        self.serial += 1;
        self.pool.on_opened();
        self.counts.handshakes += 1;
        self.counts.returning += u64::from((member.0 - 1) % 6 == 0);
        (self.serial, HANDSHAKE)
    }

    fn apply(&mut self, request_id: RequestId, decision: RoutingDecision) {
        match decision {
            RoutingDecision::Send { member, .. } => {
                let (key, ready) = self.connection(member);
                if self.classes.get(&request_id) == Some(&ClassId(0)) {
                    self.counts.offloaded += u64::from(!leads(member));
                }
                self.out.insert(request_id, (member, key));
                let work = Micros(self.work.sample(&mut self.rng) as u64);
                self.after(ready + WAY + work, Step::End(request_id, member, key));
            }
            RoutingDecision::Queued => {}
            RoutingDecision::Reject { .. } | RoutingDecision::Fail => drop(self.classes.remove(&request_id)),
        }
    }

    fn said(&self, member: MemberId) -> AttemptOutcome {
        let lag = self.lags.get(&member).copied().unwrap_or_default();
        let primary = leads(member);
        let role = if primary { Role::Primary } else { Role::Replica };
        AttemptOutcome::Response {
            status: ResponseStatus::Served,
            role: Some(role),
            position: Some(self.now - WAY.scale(0.5) - lag),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive => self.arrive(),
            Step::End(request_id, member, key) => {
                if self.out.get(&request_id) == Some(&(member, key)) {
                    self.out.remove(&request_id);
                    self.pool.put(self.now, member, key);
                    self.classes.remove(&request_id);
                    let decision = self.balancer.handle_outcome(self.now, request_id, self.said(member));
                    self.apply(request_id, decision);
                }
            }
            Step::Probed(member, key) => {
                self.pool.put(self.now, member, key);
                self.balancer.health_checked(self.now, member, self.said(member));
            }
            Step::Stale => {
                let stale: Vec<u64> = self.pool.stale(self.now);
                let stale: std::collections::BTreeSet<u64> = stale.into_iter().collect();
                for member in self.hosts.iter().map(|host| host.member).collect::<Vec<_>>() {
                    for key in self.pool.idle_to(member).into_iter().filter(|key| stale.contains(key)) {
                        self.pool.on_closed(member, key);
                    }
                }
                self.after(Micros::millis(250), Step::Stale);
            }
        }
    }

    fn arrive(&mut self) {
        let pause = Micros(self.pause.sample(&mut self.rng) as u64);
        self.after(pause, Step::Arrive);
        let draw = |rng: &mut Pcg64Mcg, below: u64| Uniform::new(0, below).sample(rng);
        let kind = draw(&mut self.rng, 10);
        // As the loadtest's clients ask: seven in ten bounded, two of the client's own, one write.
        let class = ClassId(match kind {
            0 => 3,
            1 | 2 => 1,
            _ => 0,
        });
        let ask = RoutingRequest {
            class,
            group: GroupId(draw(&mut self.rng, self.families)),
            session: SessionKey(draw(&mut self.rng, SESSIONS)),
            committed: None,
            repeat: false,
            time_left: Micros::millis(1_000),
        };
        self.counts.reads += u64::from(class == ClassId(0));
        let (request_id, decision) = self.balancer.pick(self.now, ask);
        self.classes.insert(request_id, class);
        self.apply(request_id, decision);
    }

    /// Lists a zone's hosts as gone, or as there again and cold.
    fn list_zone(&mut self, listed: EndpointState) {
        let started = if listed == EndpointState::Ready { self.now } else { Micros(0) };
        let of_zone = self.hosts.iter().filter(|host| host.zone == ZoneId(0));
        let entries: Vec<Endpoint> =
            of_zone.map(|host| Endpoint { state: listed, started, ..*host }).collect();
        self.balancer.update_endpoints(self.now, false, entries);
    }
}

/// Whether a host is its family's primary: the first of each.
fn leads(member: MemberId) -> bool {
    (member.0 as usize - 1) % FAMILY == 0
}

/// Measures all of them.
///
/// # Errors
/// Settings or rates that make no sense.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let (mut figures, site) = (Figures::default(), site()?);
    let seconds = COUNTED.as_f64() / 1e6;
    for seed in 1..=u64::from(setup.rounds) {
        for hosts in HOSTS {
            let mut world = World::of(&site, hosts, FAMILY - 1, seed)?;
            world.run(WARM);
            world.counts = Counts::default();
            world.run(COUNTED);
            figures.add("pool_connections", hosts, world.pool.len() as f64);
            figures.add("pool_handshakes_s", hosts, world.counts.handshakes as f64 / seconds);
            figures.add("pool_probes_s", hosts, world.counts.health_checks as f64 / seconds);
            world.list_zone(EndpointState::Removed);
            world.run(AWAY);
            world.counts = Counts::default();
            world.list_zone(EndpointState::Ready);
            world.run(BACK);
            figures.add("pool_return_handshakes", hosts, world.counts.returning as f64);
        }
        for replicas in 0..FAMILY {
            let mut world = World::of(&site, HOSTS[HOSTS.len() - 1], replicas, seed)?;
            world.run(WARM);
            world.counts = Counts::default();
            world.run(COUNTED);
            let part = world.counts.offloaded as f64 / world.counts.reads.max(1) as f64;
            figures.add("subset_replica_part", replicas, part);
            figures.add("subset_connections", replicas, world.pool.len() as f64);
        }
    }
    Ok(figures.points())
}
