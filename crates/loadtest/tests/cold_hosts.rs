//! A cold host under the sum of a whole fleet: what all routers send it in the fall window against what it bears then.
//! Routers share nothing; their traffic is uneven, some have just started, some have not been told yet.

use std::collections::BTreeMap;

use dunemount::*;
use dunemount_loadtest::deployment::Dice;

const HOSTS: u64 = 4;
const CORES: f64 = 3.0;
const COLD: MemberId = MemberId(3);
/// Mean work of a request, in milliseconds of one core.
const WORK: f64 = 60.0;
/// When the host starts anew, and when the world ends.
const BORN: Micros = Micros::millis(10_000);
const END: Micros = Micros::millis(26_000);

/// A fleet and its day.
#[derive(Clone, Copy)]
struct Fleet {
    routers: u32,
    /// Part of the capacity of all hosts that is asked for.
    load: f64,
    /// Routers that start together with the host and know nothing but the list.
    fresh: bool,
    /// How long some routers wait for word of the start.
    late: Micros,
    overload_window: Micros,
    seed: u64,
}

fn settings(fleet: &Fleet) -> Settings {
    let (latency_objective, deadline) = (Micros::millis(300), Micros::millis(1_000));
    let class = Class {
        latency_objective,
        deadline,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        consistency: Consistency::Eventual,
    };
    Settings {
        classes: vec![class],
        tenants: vec![],
        over_quota_weight: 1.0,
        weight_basis: Default::default(),
        zone: ZoneId(0),
        gateways: fleet.routers,
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
        max_retry_after: Micros::millis(500),
        max_attempts: 8,
        health_check_price: 0.01,
        cross_zone_price: 0.0,
        handshake_price: 0.0,
        drain_grace: Micros::millis(2_000),
        removed_may_serve: false,
        connection_idle_timeout: Micros::millis(15_000),
        slow_start_initial: 0.15,
        slow_start_window: Micros::millis(13_000),
        overload_multiple: 2.0,
        overload_window: fleet.overload_window,
    }
}

#[derive(Clone, Copy)]
enum Step {
    Arrive,
    Timer(usize),
    Answer(usize, RequestId, AttemptNo, MemberId, Micros),
    Told(usize),
}

struct World {
    routers: Vec<Router>,
    /// Which of them have been told of the start.
    told: Vec<bool>,
    steps: BTreeMap<(Micros, u64), Step>,
    serial: u64,
    dice: Dice,
    settings: Settings,
    busy: BTreeMap<MemberId, u32>,
    /// When calls reached the cold host, from a router that had been told or not.
    calls: Vec<(Micros, bool)>,
}

impl World {
    fn at(&mut self, at: Micros, step: Step) {
        self.serial += 1;
        self.steps.insert((at, self.serial), step);
    }

    fn warmth(&self, now: Micros) -> f64 {
        let age = (now - BORN).as_f64() / self.settings.slow_start_window.as_f64();
        (self.settings.slow_start_initial + (1.0 - self.settings.slow_start_initial) * age).min(1.0)
    }

    fn handle(&mut self, now: Micros, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[index].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, member, .. } => {
                    let cold = member == COLD && now >= BORN;
                    if cold {
                        self.calls.push((now, self.told[index]));
                    }
                    let busy = self.busy.entry(member).or_default();
                    *busy += 1;
                    let crowd = (f64::from(*busy) / CORES).max(1.0);
                    let speed = if cold { self.warmth(now) } else { 1.0 };
                    let work = WORK * -self.dice.uniform(0.0, 1.0).max(1e-9).ln();
                    let latency = Micros((work * crowd / speed * 1000.0) as u64 + 500);
                    self.at(now + latency, Step::Answer(index, request, AttemptNo(0), member, latency));
                }
                Action::SetTimer { at, .. } => self.at(at.max(now + Micros(1)), Step::Timer(index)),
                Action::HealthCheck { member } => {
                    let report = HealthReport { position: Some(now), role: None };
                    self.handle(
                        now,
                        index,
                        Event::HealthChecked { member, status: AttemptStatus::Ok, report },
                    );
                }
                _ => {}
            }
        }
    }

    /// The list as a router hears it, the host's start in it or not.
    fn list(&mut self, now: Micros, index: usize, started: bool) {
        let entry = |member: u64| Endpoint {
            member: MemberId(member),
            group: GroupId(1),
            zone: ZoneId(0),
            state: EndpointState::Ready,
            weight: 1.0,
            started: if started && MemberId(member) == COLD { BORN } else { Micros(0) },
            primary: member == 1,
        };
        let endpoints = (1..=HOSTS).map(entry).collect();
        self.handle(now, index, Event::Endpoints { update: EndpointUpdate::Full, endpoints });
    }
}

/// Plays a day and gives the calls beyond the budget N and what chance puts on top of it, 2 x root of N + 2, at the
/// worst moment; below nothing where there are none. `alter` changes what the routers believe of the settings.
fn worst(fleet: Fleet, alter: impl Fn(&mut Settings)) -> f64 {
    worst_until(END, fleet, alter)
}

/// The same, of calls up to a moment.
fn worst_until(last: Micros, fleet: Fleet, alter: impl Fn(&mut Settings)) -> f64 {
    let settings = settings(&fleet);
    let mut believed = settings.clone();
    alter(&mut believed);
    let count = fleet.routers as usize;
    let router = |index: usize| Router::new(believed.clone(), fleet.seed * 1_000 + index as u64);
    let mut world = World {
        routers: (0..count).map(router).collect(),
        told: vec![false; count],
        steps: BTreeMap::new(),
        serial: 0,
        dice: Dice::new(fleet.seed),
        settings,
        busy: BTreeMap::new(),
        calls: Vec::new(),
    };
    // Some routers see several times the mean traffic.
    let shares: Vec<f64> = (0..count).map(|index| 1.0 / (1.0 + index as f64).powf(0.5)).collect();
    let all: f64 = shares.iter().sum();
    let gap = WORK * 1000.0 / (HOSTS as f64 * CORES * fleet.load);
    let from = Micros::millis(1_000);
    for index in 0..count {
        world.list(from, index, false);
        let late = Micros((fleet.late.as_f64() * world.dice.uniform(0.0, 1.0)) as u64);
        world.at(BORN + late, Step::Told(index));
    }
    world.at(from, Step::Arrive);
    let mut next = 0;
    while let Some(((now, _), step)) = world.steps.pop_first() {
        if now > END {
            break;
        }
        match step {
            Step::Arrive => {
                let wait = gap * -world.dice.uniform(0.0, 1.0).max(1e-9).ln();
                world.at(now + Micros(wait as u64), Step::Arrive);
                let mut point = world.dice.uniform(0.0, all);
                let found = shares.iter().position(|share| {
                    point -= share;
                    point < 0.0
                });
                next += 1;
                let request = Request {
                    id: RequestId(next),
                    class: ClassId(0),
                    group: GroupId(1),
                    session: None,
                    committed: None,
                    tenant: None,
                    repeat: false,
                    time_left: Micros::millis(1_000),
                };
                world.handle(now, found.unwrap_or(0), Event::Request(request));
            }
            Step::Timer(index) => world.handle(now, index, Event::Timer(TimerId(0))),
            Step::Told(index) => {
                if fleet.fresh {
                    world.routers[index] = Router::new(believed.clone(), fleet.seed * 2_000 + index as u64);
                }
                world.told[index] = true;
                world.list(now, index, true);
            }
            Step::Answer(index, request, attempt, member, latency) => {
                world.busy.entry(member).and_modify(|busy| *busy -= 1);
                let (role, position) = (None, None);
                let (status, finished, report) = (AttemptStatus::Ok, true, HealthReport::default());
                let outcome =
                    Outcome { request, attempt, member, status, latency, finished, role, position, report };
                world.handle(now, index, Event::Outcome(outcome));
            }
        }
    }
    let window = world.settings.overload_window;
    let mut worst = f64::NEG_INFINITY;
    for (end, (now, _)) in world.calls.iter().enumerate() {
        let since = world.calls.iter().take(end + 1).filter(|(at, _)| *at + window > *now);
        let (calls, told) =
            since.fold((0.0, 0.0), |(all, told), (_, is)| (all + 1.0, told + f64::from(u8::from(*is))));
        if *now > last {
            break;
        }
        // The rule binds where over two thirds came from routers that had been told.
        if told * 3.0 <= calls * 2.0 {
            continue;
        }
        let from = (*now - window).max(BORN);
        let warmth = (world.warmth(from) + world.warmth(*now)) / 2.0;
        let capacity = CORES * window.as_f64() / 1000.0 / WORK;
        let budget = world.settings.overload_multiple * warmth * capacity;
        worst = worst.max(calls - budget - 2.0 * budget.sqrt() - 2.0);
    }
    worst
}

/// Guards cold hosts against the sum of all routers, however many there are, in calm and in overload, with windows of
/// one and three seconds; a variant in which each takes the whole budget for its own, and the host for warm, is caught.
#[test]
fn all_routers_together_keep_within_a_cold_hosts_budget() {
    for routers in [3, 20, 30, 300] {
        for load in [0.7, 1.5] {
            for (fresh, late, window) in
                [(false, 0, 3_000), (true, 0, 3_000), (false, 2_000, 3_000), (false, 0, 1_000)]
            {
                for seed in 1..=2 {
                    let (late, overload_window) = (Micros::millis(late), Micros::millis(window));
                    let fleet = Fleet { routers, load, fresh, late, overload_window, seed };
                    let over = worst(fleet, |_| {});
                    assert!(over <= 0.0, "{routers} routers, load {load}, fresh {fresh}, {late:?}, {overload_window:?}, {seed}: {over:.1}");
                    // Each believes itself alone, and the host warm; few of them have not the limits for it.
                    let alone = |believed: &mut Settings| {
                        (believed.gateways, believed.slow_start_window) = (1, Micros(0));
                    };
                    if seed == 1 && load > 1.0 && routers >= 30 {
                        let over = worst(fleet, alone);
                        assert!(
                            over > 0.0,
                            "{routers} routers, fresh {fresh}, {late:?}, {overload_window:?}: not caught"
                        );
                    }
                }
            }
        }
    }
}

/// Guards the same at the ends: a router alone, two, eight, and nine hundred, for as long as the host is cold. Two roots and 2 on
/// top, also where the budget is under thirty calls and three roots and 3 would be allowed.
#[test]
fn a_cold_hosts_budget_holds_for_one_router_and_for_nine_hundred() {
    for (routers, window) in [(1, 3_000), (1, 1_000), (2, 3_000), (2, 1_000), (8, 1_000), (900, 3_000)] {
        for (load, fresh, late) in [(0.7, false, 0), (1.5, true, 0), (1.5, false, 2_000)] {
            let (late, overload_window) = (Micros::millis(late), Micros::millis(window));
            let fleet = Fleet { routers, load, fresh, late, overload_window, seed: 3 };
            let warm = BORN + settings(&fleet).slow_start_window;
            let over = worst_until(warm, fleet, |_| {});
            assert!(
                over <= 0.0,
                "{routers} routers, load {load}, fresh {fresh}, {late:?}, {window} ms: {over:.1}"
            );
        }
    }
}
