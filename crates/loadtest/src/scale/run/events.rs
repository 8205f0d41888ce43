//! Execution of the events, one function for each kind, and the choice of the gateways that they affect.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand_core::RngCore;
use rustix::process::Signal;

use super::super::convergence::{ConvergenceTarget, Expected};
use super::super::plan::Event;
use super::super::real::unix_ms;
use super::super::simulated::Command;
use super::outcome::PhaseResult;
use super::versions::Loss;
use super::Run;

/// How long a slow gateway runs before it is frozen for [`SLOW_FROZEN`].
const SLOW_RUNNING: Duration = Duration::from_millis(50);
/// How long a slow gateway is frozen each time.
const SLOW_FROZEN: Duration = Duration::from_millis(450);

impl Run<'_> {
    /// Executes one event of the plan and, for a temporary one, its reversal.
    pub(super) fn execute_event(&mut self, event: Event) -> Result<(), String> {
        let name = event.keyword();
        match event {
            Event::HostsMoved(hosts) => self.change_list(name, |run| run.discovery.move_hosts(hosts)),
            Event::PrimaryChanged => self.change_list(name, |run| run.discovery.move_primary()),
            Event::ConfigurationReloaded => self.reload_configuration(name),
            Event::GatewayKilled => {
                let victims = self.draw(1, |_| true);
                self.kill_and_expect_absence(name, &victims, None)
            }
            Event::RackLost(size) => self.lose_rack(name, size),
            Event::ZoneLost(zone, time) => self.lose_zone(name, zone, time),
            Event::RollingRestart(count, pause) => {
                let chosen = self.draw(count, |_| true);
                self.restart(name, &chosen, pause)
            }
            Event::RegionsPartitioned(time) => self.partition_regions(name, time),
            Event::GatewayFrozen(time) => self.freeze_one(name, time),
            Event::GatewaySlow(time) => self.slow_one(name, time),
            Event::VersionsProposed(count, pause) => self.propose_versions(name, count, pause, None),
            Event::GatewayBehind(time) => {
                let behind = self.draw(1, |_| true).first().map(|gateway| (*gateway, time));
                self.propose_versions(name, 1, Duration::ZERO, behind)
            }
            Event::ControlServerKilled(time) => self.lose_control_server(name, time, Loss::Killed),
            Event::ControlServerFrozen(time) => self.lose_control_server(name, time, Loss::Frozen),
        }
    }

    /// Executes `act` as a phase with this name, and waits until all gateways that are live and not frozen have
    /// converged on the target.
    fn act_on_all(
        &mut self,
        name: &str,
        target: ConvergenceTarget,
        act: impl FnOnce(&mut Self) -> Result<Instant, String>,
    ) -> Result<(), String> {
        self.run_until_converged(name, target, &BTreeSet::new(), self.plan.settle_timeout, act)
    }

    fn change_list(&mut self, name: &str, change: impl FnOnce(&mut Self) -> u64) -> Result<(), String> {
        let target = self.target_of_version(self.discovery.version() + 1);
        self.act_on_all(name, target, |run| {
            change(run);
            Ok(Instant::now())
        })
    }

    fn reload_configuration(&mut self, name: &str) -> Result<(), String> {
        let target = ConvergenceTarget { configuration: true, ..self.target(|_, _| Expected::Anything) };
        self.act_on_all(name, target, |run| {
            let began = Instant::now();
            run.send_to_all(|| Command::Configure);
            run.processes.values().try_for_each(|process| process.signal(Signal::HUP))?;
            Ok(began)
        })
    }

    fn lose_rack(&mut self, name: &str, size: usize) -> Result<(), String> {
        let plan = self.plan;
        let zone = self.rng.next_u32() as usize % plan.zones;
        let victims = self.draw(size, |gateway| plan.zone(gateway) == zone);
        self.kill_and_expect_absence(name, &victims, None)
    }

    fn lose_zone(&mut self, name: &str, zone: usize, time: Duration) -> Result<(), String> {
        let plan = self.plan;
        let lost: Vec<usize> =
            self.live.iter().copied().filter(|gateway| plan.zone(*gateway) == zone).collect();
        let began = Instant::now();
        self.kill_and_expect_absence(name, &lost, Some(zone))?;
        self.pause(time.saturating_sub(began.elapsed()))?;
        self.start_control_server(zone)?;
        self.restart("zone back", &lost, Duration::ZERO)
    }

    fn partition_regions(&mut self, name: &str, time: Duration) -> Result<(), String> {
        let target = self.target_of_regions();
        let began = Instant::now();
        self.act_on_all(name, target, |run| {
            run.context.partitioned.store(true, Ordering::Relaxed);
            Ok(Instant::now())
        })?;
        self.pause(time.saturating_sub(began.elapsed()))?;
        let target = self.target_of_live(1);
        self.act_on_all("joined", target, |run| {
            run.context.partitioned.store(false, Ordering::Relaxed);
            Ok(Instant::now())
        })
    }

    fn freeze_one(&mut self, name: &str, time: Duration) -> Result<(), String> {
        let frozen: BTreeSet<usize> = self.draw(1, |_| true).into_iter().collect();
        let target = self.target_of_absence(&frozen);
        let began = Instant::now();
        self.run_until_converged(name, target, &frozen, self.plan.settle_timeout.min(time), |run| {
            run.freeze(&frozen, true)?;
            Ok(Instant::now())
        })?;
        self.pause(time.saturating_sub(began.elapsed()))?;
        let target = self.target_of_live(1);
        self.act_on_all("goes on", target, |run| {
            run.freeze(&frozen, false)?;
            Ok(Instant::now())
        })
    }

    fn slow_one(&mut self, name: &str, time: Duration) -> Result<(), String> {
        let slow: BTreeSet<usize> = self.draw(1, |_| true).into_iter().collect();
        self.measure_phase(name, |run| {
            let end = Instant::now() + time;
            while Instant::now() < end {
                run.freeze(&slow, true)?;
                run.pause(SLOW_FROZEN)?;
                run.freeze(&slow, false)?;
                run.pause(SLOW_RUNNING)?;
            }
            Ok(PhaseResult::default())
        })?;
        let target = self.target_of_live(1);
        self.act_on_all("slow no more", target, |_| Ok(Instant::now()))
    }

    /// Gateways that are live and not frozen.
    pub(super) fn running_gateways(&self) -> BTreeSet<usize> {
        self.live.difference(&self.frozen).copied().collect()
    }

    /// Kills gateways and possibly a control server, and waits until the other gateways know that those gateways are
    /// gone.
    fn kill_and_expect_absence(
        &mut self,
        name: &str,
        victims: &[usize],
        control_server: Option<usize>,
    ) -> Result<(), String> {
        let dead: BTreeSet<usize> = victims.iter().copied().collect();
        let target = self.target_of_absence(&dead);
        self.run_until_converged(name, target, &dead, self.plan.settle_timeout, |run| {
            let began = Instant::now();
            victims.iter().for_each(|gateway| run.kill(*gateway));
            control_server.map(|index| run.control_servers.remove(&index));
            Ok(began)
        })
    }

    /// Starts or restarts gateways one after the other and waits until all gateways know the new starts; times count
    /// from the last start.
    fn restart(&mut self, name: &str, chosen: &[usize], pause: Duration) -> Result<(), String> {
        let restarted: BTreeSet<usize> = chosen.iter().copied().collect();
        let earliest = unix_ms();
        let live: BTreeSet<usize> = self.live.union(&restarted).copied().collect();
        let target = self.target(|_, other| match (restarted.contains(&other), live.contains(&other)) {
            (true, _) => Expected::StartedSince(earliest),
            (false, true) => Expected::StartedSince(1),
            (false, false) => Expected::Anything,
        });
        // Start numbers are times in milliseconds: a start in the same millisecond as the previous one would have its
        // number.
        std::thread::sleep(Duration::from_millis(2));
        self.run_until_converged(name, target, &BTreeSet::new(), self.plan.settle_timeout, |run| {
            for (index, gateway) in chosen.iter().enumerate() {
                if index > 0 {
                    run.pause(pause)?;
                }
                run.kill(*gateway);
                run.start(*gateway)?;
            }
            Ok(Instant::now())
        })
    }

    /// Draws `count` live gateways that are not acceptors and meet a condition, uniformly.
    fn draw(&mut self, count: usize, is_eligible: impl Fn(usize) -> bool) -> Vec<usize> {
        let acceptors = self.plan.voting_gateways();
        let mut eligible: Vec<usize> = self
            .live
            .iter()
            .copied()
            .filter(|gateway| *gateway >= acceptors && is_eligible(*gateway))
            .collect();
        let count = count.min(eligible.len());
        for index in 0..count {
            let other = index + self.rng.next_u32() as usize % (eligible.len() - index);
            eligible.swap(index, other);
        }
        eligible.truncate(count);
        eligible
    }
}
