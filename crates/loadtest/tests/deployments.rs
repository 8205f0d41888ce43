//! The module in deployments drawn over all that the protocol and the settings can describe, every rule audited.

use dunemount::config::ActiveConfig;
use dunemount::settings::Zones;
use dunemount::*;
use dunemount_loadtest::deployment::{Deployment, Dice};
use dunemount_loadtest::world::{Counts, Trouble, World};
use serde_json::{json, Value};

fn settings(deployment: &Deployment) -> Settings {
    let taken = ActiveConfig::default().replace(deployment.config.to_string(), &mut Zones::default());
    taken.unwrap_or_else(|fault| panic!("{}", fault.in_file("drawn"))).settings.router
}

/// Requests of a run: enough for both troubles to overlap, few enough for thousands of runs.
const REQUESTS: u64 = 80;

/// Two troubles drawn at random, so that any two may overlap.
fn troubles(world: &mut World, dice: &mut Dice) -> Vec<Trouble> {
    let span = world.span();
    let drawn = (0..2).map(|_| match dice.whole(0, 7) {
        0 => Trouble::AllSlow(dice.scale(1.3, 8.0)),
        1 => Trouble::OneSlow(dice.scale(1.3, 30.0)),
        2 => Trouble::Silent,
        3 => Trouble::Drain,
        4 => Trouble::Restart,
        6 => Trouble::Removal,
        5 => Trouble::Takeover(Micros::millis(4_000)),
        _ => Trouble::Lag(Micros::millis(dice.scale(100.0, 20_000.0) as u64)),
    });
    let drawn: Vec<Trouble> = drawn.collect();
    for trouble in &drawn {
        world.plan(span.scale(dice.uniform(0.1, 0.6)), *trouble);
    }
    drawn
}

fn play(seed: u64, loses: bool, alter: impl Fn(&mut Settings)) -> (World, Vec<Trouble>) {
    let deployment = Deployment::draw(seed);
    let settings = settings(&deployment);
    let mut told = settings.clone();
    alter(&mut told);
    let nodes = settings.gateways.clamp(1, 2) as usize;
    let mut world = World::new(&settings, &told, &deployment.truth, nodes, REQUESTS, seed);
    world.loses = loses;
    let drawn = troubles(&mut world, &mut Dice::new(seed ^ 0x5eed));
    world.run();
    (world, drawn)
}

/// Guards every deployment that can be described, not only the ones that are in service: all are taken, and the rules
/// hold in each with two troubles at once.
#[test]
fn every_deployment_that_can_be_described_keeps_the_rules() {
    let mut all = Counts::default();
    for seed in 0..2_000 {
        let (world, drawn) = play(seed, false, |_| {});
        assert!(world.broken.is_empty(), "seed {seed}, {drawn:?}: {:#?}", world.broken);
        let counts = world.counts;
        assert_eq!(counts.taken, REQUESTS, "seed {seed}");
        assert!(counts.served + counts.ended >= counts.taken, "seed {seed}: {counts:?}");
        all.served += counts.served;
        all.in_time += counts.in_time;
        all.offloaded += counts.offloaded;
    }
    // The draws are no worlds in which nothing is served and no rule is put to the test.
    assert!(all.served > 80_000 && all.in_time > 60_000 && all.offloaded > 30_000, "{all:?}");
}

/// Guards the start: what no deployment can have is refused with the place and the cause, and nothing panics on it.
#[test]
fn what_no_deployment_can_have_is_refused_by_place_and_cause() {
    let faults = [
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
    // A draw whose first class has a late worth.
    let drawn = |seed| Deployment::draw(seed).config;
    let whole = |config: &Value| config.pointer("/settings/Classes/0/LateWorth").is_some();
    let config = (0..100).map(drawn).find(whole).expect("such a draw");
    for (place, value, cause) in faults {
        let mut config = config.clone();
        *config.pointer_mut(place).unwrap_or_else(|| panic!("{place} is there")) = value;
        let text = serde_json::to_string_pretty(&config).expect("text");
        let fault = ActiveConfig::default().replace(text, &mut Zones::default()).err();
        let fault = fault.unwrap_or_else(|| panic!("{place} was taken")).in_file("drawn").to_string();
        assert!(fault.contains(cause), "{place}: {fault}");
        let rest = fault.strip_prefix("drawn:").unwrap_or_default();
        assert!(rest.starts_with(|c: char| c.is_ascii_digit()), "{place}: no line in {fault}");
    }
}

/// The audit finds each broken rule: routers are told settings that are not the deployment's.
#[test]
fn the_audit_finds_each_broken_rule() {
    type Alter = fn(&mut Settings);
    let stretch = |settings: &mut Settings| {
        for class in &mut settings.classes {
            if let Consistency::BoundedStaleness(bound) = &mut class.consistency {
                *bound = bound.scale(50.0);
            }
        }
    };
    let windows = |settings: &mut Settings| {
        for class in &mut settings.classes {
            if let Idempotency::IdempotencyKey { window, .. } = &mut class.idempotency {
                *window = Micros::millis(60_000);
            }
        }
    };
    let harmless = |settings: &mut Settings| {
        settings.classes.iter_mut().for_each(|c| c.idempotency = Idempotency::Idempotent);
    };
    let variants: [(&str, Alter); 6] = [
        ("two attempts out at once", |settings| settings.hedging = true),
        ("over the attempt cap", |settings| settings.max_attempts = 30),
        ("refused though it may have run", harmless),
        ("repeated beyond its class", windows),
        ("drains or is gone", |settings| settings.removed_may_serve = true),
        ("data is too old", stretch),
    ];
    let finds = |name: &str, loses: bool, alter: Alter| {
        let broken = |seed| play(seed, loses, alter).0.broken;
        let found = (0..2_000).any(|seed| broken(seed).iter().any(|what| what.contains(name)));
        assert!(found, "{name} is not found");
    };
    variants.into_iter().for_each(|(name, alter)| finds(name, false, alter));
    finds("no final answer", true, |_| {});
}

/// Guards a host that starts cold under more traffic than the warm ones can take; and the audit finds a router that
/// believes it warm.
#[test]
fn a_cold_host_is_not_pushed_over_in_an_overload() {
    let pushed_over = |seeds: u64, alter: fn(&mut Settings)| {
        (0..seeds).any(|seed| {
            let mut deployment = Deployment::draw(seed);
            let truth = &mut deployment.truth;
            (truth.families, truth.members, truth.cores, truth.load) = (1, 4, 8.0, 1.5);
            let mut settings = settings(&deployment);
            (settings.gateways, settings.overload_multiple, settings.overload_window) =
                (1, 1.5, Micros::millis(1_000));
            (settings.slow_start_initial, settings.slow_start_window) = (0.05, Micros::millis(30_000));
            settings.classes.truncate(1);
            settings.classes[0].consistency = Consistency::Eventual;
            settings.classes[0].latency_objective = Micros::millis(300);
            settings.classes[0].deadline = Micros::millis(900);
            deployment.truth.work_ms = vec![30.0];
            let mut told = settings.clone();
            alter(&mut told);
            let mut world = World::new(&settings, &told, &deployment.truth, 1, 8_000, seed);
            world.plan(Micros::millis(500), Trouble::Restart);
            world.run();
            world.broken.iter().any(|what| what.contains("work sent to a cold host"))
        })
    };
    assert!(!pushed_over(3, |_| {}));
    assert!(pushed_over(20, |settings| settings.slow_start_window = Micros(0)));
}
