//! Routers in randomly generated deployments that cover everything the protocol and the settings can describe; every
//! rule is audited.

use dunemount::config::ActiveConfig;
use dunemount::settings::Zones;
use dunemount::*;
use dunemount_loadtest::deployment::{Deployment, SeededRng};
use dunemount_loadtest::simulation::{Counts, Fault, Simulation};
use serde_json::{json, Value};

fn settings(deployment: &Deployment) -> Settings {
    let active = ActiveConfig::default().replace(deployment.config.to_string(), &mut Zones::default());
    active.unwrap_or_else(|error| panic!("{}", error.in_file("drawn"))).settings.router
}

/// Requests in each run: enough for both faults to overlap, few enough for thousands of runs.
const REQUESTS: u64 = 80;

/// Schedules two random faults, so that any two may overlap.
fn schedule_faults(simulation: &mut Simulation, rng: &mut SeededRng) -> Vec<Fault> {
    let arrival_duration = simulation.arrival_duration();
    let faults = (0..2).map(|_| match rng.integer(0, 7) {
        0 => Fault::AllSlow(rng.log_uniform(1.3, 8.0)),
        1 => Fault::OneSlow(rng.log_uniform(1.3, 30.0)),
        2 => Fault::Unresponsive,
        3 => Fault::Drain,
        4 => Fault::Restart,
        6 => Fault::Removal,
        5 => Fault::Failover(Micros::millis(4_000)),
        _ => Fault::Lag(Micros::millis(rng.log_uniform(100.0, 20_000.0) as u64)),
    });
    let faults: Vec<Fault> = faults.collect();
    for fault in &faults {
        simulation.schedule_fault(arrival_duration.scale(rng.uniform(0.1, 0.6)), *fault);
    }
    faults
}

/// Simulates the deployment of a seed with routers whose settings `alter` changes.
fn simulate(seed: u64, lose_final_answers: bool, alter: impl Fn(&mut Settings)) -> (Simulation, Vec<Fault>) {
    let deployment = Deployment::generate(seed);
    let settings = settings(&deployment);
    let mut router_settings = settings.clone();
    alter(&mut router_settings);
    let routers = settings.gateways.clamp(1, 2) as usize;
    let mut simulation =
        Simulation::new(&settings, &router_settings, &deployment.environment, routers, REQUESTS, seed);
    simulation.lose_final_answers = lose_final_answers;
    let faults = schedule_faults(&mut simulation, &mut SeededRng::new(seed ^ 0x5eed));
    simulation.run();
    (simulation, faults)
}

/// Guards every deployment that the settings can describe, not only those in service: each configuration is accepted,
/// and the rules hold in each with two faults at a time.
#[test]
fn every_deployment_keeps_the_rules() {
    let mut all = Counts::default();
    for seed in 0..2_000 {
        let (simulation, faults) = simulate(seed, false, |_| {});
        assert!(simulation.violations.is_empty(), "seed {seed}, {faults:?}: {:#?}", simulation.violations);
        let counts = simulation.counts;
        assert_eq!(counts.requests, REQUESTS, "seed {seed}");
        assert!(counts.served + counts.unserved >= counts.requests, "seed {seed}: {counts:?}");
        all.served += counts.served;
        all.in_time += counts.in_time;
        all.replica_reads += counts.replica_reads;
    }
    // Enough requests are served, in time and by replicas, that the rules are really exercised.
    assert!(all.served > 80_000 && all.in_time > 60_000 && all.replica_reads > 30_000, "{all:?}");
}

/// Guards the start: an invalid value is rejected with its line and the cause, and never causes a panic.
#[test]
fn an_invalid_configuration_is_rejected_with_line_and_cause() {
    let invalid = [
        ("/settings/Balancers", json!(0), "Balancers: not positive"),
        ("/settings/Balancers", json!(-1), "invalid value"),
        ("/settings/Classes", json!([]), "Classes: empty"),
        ("/settings/Classes/0/AimMs", json!(0.0), "AimMs: not positive"),
        ("/settings/Classes/0/DeadlineMs", json!(-5.0), "DeadlineMs: not positive"),
        ("/settings/Classes/0/Value", json!(-1.0), "Value: negative"),
        ("/settings/Classes/0/LateWorth", json!(1.5), "LateWorth: not within 0 to 1"),
        ("/settings/Classes/0/Effect", json!("perhaps"), "unknown variant"),
        ("/settings/Specifics/NeedsByClass", json!([]), "NeedsByClass: not one for each of Classes"),
        ("/settings/Specifics/ServerChecks", json!("maybe"), "unknown variant"),
        ("/settings/Permissions/SendCap", json!(0), "SendCap: not positive"),
        ("/settings/Safety/ColdFrom", json!(1.5), "Safety.ColdFrom: not within 0 to 1"),
        ("/settings/Safety/TipMultiple", json!(0.0), "Safety.TipMultiple: not positive"),
    ];
    // A deployment whose first class sets LateWorth, which is optional.
    let generated = |seed| Deployment::generate(seed).config;
    let sets_late_worth = |config: &Value| config.pointer("/settings/Classes/0/LateWorth").is_some();
    let config = (0..100).map(generated).find(sets_late_worth).expect("a deployment that sets LateWorth");
    for (path, value, cause) in invalid {
        let mut config = config.clone();
        *config.pointer_mut(path).unwrap_or_else(|| panic!("{path}: not in the configuration")) = value;
        let text = serde_json::to_string_pretty(&config).expect("text");
        let error = ActiveConfig::default().replace(text, &mut Zones::default()).err();
        let error = error.unwrap_or_else(|| panic!("{path}: accepted")).in_file("drawn").to_string();
        assert!(error.contains(cause), "{path}: {error}");
        let location = error.strip_prefix("drawn:").unwrap_or_default();
        assert!(location.starts_with(|c: char| c.is_ascii_digit()), "{path}: no line in {error}");
    }
}

/// Guards the audit itself: it reports each violated rule when routers run with settings other than the deployment's.
#[test]
fn the_audit_reports_each_violated_rule() {
    type Alter = fn(&mut Settings);
    let widen_staleness_bounds = |settings: &mut Settings| {
        for class in &mut settings.classes {
            if let Consistency::BoundedStaleness(bound) = &mut class.consistency {
                *bound = bound.scale(50.0);
            }
        }
    };
    let widen_idempotency_windows = |settings: &mut Settings| {
        for class in &mut settings.classes {
            if let Idempotency::IdempotencyKey { window, .. } = &mut class.idempotency {
                *window = Micros::millis(60_000);
            }
        }
    };
    let make_idempotent = |settings: &mut Settings| {
        settings.classes.iter_mut().for_each(|c| c.idempotency = Idempotency::Idempotent);
    };
    let variants: [(&str, Alter); 6] = [
        ("concurrent attempts without hedging", |settings| settings.hedging = true),
        ("more attempts than the settings allow", |settings| settings.max_attempts = 30),
        ("rejected although it may have been executed", make_idempotent),
        ("retried beyond its idempotency", widen_idempotency_windows),
        ("draining or removed host", |settings| settings.removed_may_serve = true),
        ("data is too old", widen_staleness_bounds),
    ];
    let assert_reported = |name: &str, lose_final_answers: bool, alter: Alter| {
        let violations = |seed| simulate(seed, lose_final_answers, alter).0.violations;
        let reported =
            (0..2_000).any(|seed| violations(seed).iter().any(|violation| violation.contains(name)));
        assert!(reported, "{name}: not reported by the audit");
    };
    variants.into_iter().for_each(|(name, alter)| assert_reported(name, false, alter));
    assert_reported("no final answer", true, |_| {});
}

/// Guards a cold host against overload when there is more traffic than the warm hosts can serve. The audit reports a
/// router that treats the host as warm.
#[test]
fn a_cold_host_is_not_overloaded() {
    let overloads_cold_host = |seeds: u64, alter: fn(&mut Settings)| {
        (0..seeds).any(|seed| {
            let mut deployment = Deployment::generate(seed);
            let environment = &mut deployment.environment;
            (environment.groups, environment.hosts_per_group, environment.cores, environment.load) =
                (1, 4, 8.0, 1.5);
            let mut settings = settings(&deployment);
            (settings.gateways, settings.overload_multiple, settings.overload_window) =
                (1, 1.5, Micros::millis(1_000));
            (settings.slow_start_initial, settings.slow_start_window) = (0.05, Micros::millis(30_000));
            settings.classes.truncate(1);
            settings.classes[0].consistency = Consistency::Eventual;
            settings.classes[0].latency_objective = Micros::millis(300);
            settings.classes[0].deadline = Micros::millis(900);
            deployment.environment.work_ms = vec![30.0];
            let mut router_settings = settings.clone();
            alter(&mut router_settings);
            let mut simulation =
                Simulation::new(&settings, &router_settings, &deployment.environment, 1, 8_000, seed);
            simulation.schedule_fault(Micros::millis(500), Fault::Restart);
            simulation.run();
            simulation.violations.iter().any(|violation| violation.contains("work sent to a cold host"))
        })
    };
    assert!(!overloads_cold_host(3, |_| {}));
    assert!(overloads_cold_host(20, |settings| settings.slow_start_window = Micros(0)));
}
