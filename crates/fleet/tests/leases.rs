//! Leases and their epochs in a simulated fleet in virtual time: thousands of seeds, and injected bugs that the checks
//! have to find.

mod simulation;

use std::time::Duration;

use simulation::{Conditions, InjectedBug, Simulation, LEASE};

const SEEDS: u64 = 5_000;
const THREADS: u64 = 6;
const RUN: Duration = Duration::from_secs(60);

fn run_faults(seed: u64, conditions: Conditions, bug: InjectedBug) -> Simulation {
    let acceptors = [3, 5, 7, 1][(seed % 4) as usize];
    let mut simulation = Simulation::new(seed, acceptors, 3 + (seed % 3) as usize, conditions, bug);
    simulation.run(RUN);
    simulation
}

/// Guards the safety of leases under crashes, pauses, partitions, and lost, duplicated and delayed messages: each epoch
/// has one holder, and no receiver carries out an order after one of a later epoch. Once the faults have ended, one
/// process acquires the lease without intervention.
#[test]
fn every_epoch_has_one_holder_and_no_order_follows_a_later_one() {
    let run = |seed: u64| {
        let lost_files = seed % 2 == 0;
        let mut simulation =
            run_faults(seed, Conditions { lost_files, ..Conditions::FAULTY }, InjectedBug::None);
        assert_eq!(simulation.observations.violation(), None, "seed {seed}");
        simulation.end_faults();
        simulation.run(RUN + LEASE * 4);
        // A handover to the first candidate may be under way at any single moment.
        let is_held = (0..10).any(|_| {
            simulation.run(simulation.now + LEASE / 10);
            simulation.holders().len() == 1
        });
        assert!(is_held, "seed {seed}: one holder once faults have ended: {}", simulation.describe());
        assert_eq!(simulation.observations.violation(), None, "seed {seed}");
        (
            simulation.observations.rejected_orders,
            simulation.observations.holders.len(),
            simulation.observations.admissions,
        )
    };
    // Each thread runs its own seeds; the results do not depend on the thread.
    let (mut rejected, mut epochs, mut admissions) = (0, 0, 0);
    std::thread::scope(|scope| {
        let runs = |from: u64| move || (from..SEEDS).step_by(THREADS as usize).map(run).collect::<Vec<_>>();
        let threads: Vec<_> = (0..THREADS).map(|from| scope.spawn(runs(from))).collect();
        for seen in threads.into_iter().flat_map(|thread| thread.join().expect("no run fails")) {
            rejected += seen.0;
            epochs += seen.1;
            admissions += seen.2;
        }
    });
    println!(
        "{SEEDS} runs: {epochs} epochs, {rejected} late orders rejected, {admissions} acceptors admitted"
    );
    // The runs prove nothing unless leases change, orders arrive late and acceptors are admitted.
    assert!(rejected > 800, "{rejected} late orders");
    assert!(epochs > 16_000, "{epochs} epochs");
    assert!(admissions > 800, "{admissions} acceptors admitted");
}

/// Guards the lease itself: while clocks stay within the drift bound and no process is paused, no two processes may
/// give orders at once.
#[test]
fn within_the_clock_drift_bound_no_two_may_give_orders_at_once() {
    for seed in 0..200 {
        let crashes = Conditions {
            crashes: true,
            max_delay: Duration::from_millis(10),
            clock_drift: 0.02,
            ..Conditions::FAULTLESS
        };
        let mut simulation = Simulation::new(seed, 5, 3, crashes, InjectedBug::None);
        simulation.run(RUN);
        assert_eq!(simulation.observations.overlaps, 0, "seed {seed}");
        assert_eq!(simulation.observations.violation(), None, "seed {seed}");
    }
}

/// Guards the checks themselves: they find each injected bug.
#[test]
fn each_injected_bug_is_found() {
    let lost = Conditions { lost_files: true, ..Conditions::FAULTY };
    for (bug, conditions) in [
        (InjectedBug::AcceptorForgets, Conditions::FAULTY),
        (InjectedBug::RepliesBeforeStore, Conditions::FAULTY),
        (InjectedBug::AdmittedWithoutState, lost),
        (InjectedBug::NoFencing, Conditions::FAULTY),
    ] {
        let found = (0..400).find_map(|seed| run_faults(seed, conditions, bug).observations.violation());
        assert!(found.is_some(), "{bug:?} is not found");
    }
    let found = (0..50).any(|seed| {
        let bug = InjectedBug::ContendersDoNotWait;
        let mut simulation = Simulation::new(seed, 3, 3, Conditions::FAULTLESS, bug);
        simulation.run(RUN);
        simulation.observations.overlaps > 0
    });
    assert!(found, "contenders that do not wait are not found");
}
