//! Gateways and control servers of a run: started, killed, frozen, and waited for.

use std::collections::BTreeSet;
use std::time::Instant;

use rustix::process::Signal;

use super::super::control;
use super::super::convergence::ConvergenceTracker;
use super::super::real::{unix_ms, Process};
use super::super::simulated::{Command, Shard};
use super::{Run, FLEET};

impl Run<'_> {
    /// The thread of a simulated gateway; none for a process.
    fn shard(&self, gateway: usize) -> Option<&Shard> {
        if gateway >= self.plan.simulated {
            return None;
        }
        let acceptors = self.plan.voting_gateways().min(self.plan.simulated);
        let shared = self.shards.len().saturating_sub(acceptors).max(1);
        self.shards.get(if gateway < acceptors { gateway } else { acceptors + gateway % shared })
    }

    /// Sends a command to all threads of simulated gateways.
    pub(super) fn send_to_all(&self, order: impl Fn() -> Command) {
        self.shards.iter().for_each(|shard| shard.send(order()));
    }

    /// Starts a gateway, simulated or as a process.
    pub(super) fn start(&mut self, gateway: usize) -> Result<(), String> {
        let Some(identity) = self.identities.get(gateway).cloned() else { return Ok(()) };
        if let Some(shard) = self.shard(gateway) {
            shard.send(Command::Start(Box::new(identity), unix_ms()));
        } else if let Some(spec) = self.specs.get(&gateway).cloned() {
            let progress = ConvergenceTracker::new(gateway, identity.region, self.plan.gateways());
            let program = spec.program.display().to_string();
            let started = Process::start(spec, progress, self.report_sender.clone());
            let process = started.map_err(|e| format!("{program} cannot be started: {e}"))?;
            self.outcome.started.push(process.id());
            self.processes.insert(gateway, process);
        }
        self.live.insert(gateway);
        Ok(())
    }

    /// Ends a gateway without a graceful shutdown.
    pub(super) fn kill(&mut self, gateway: usize) {
        match self.shard(gateway) {
            Some(shard) => shard.send(Command::Kill(gateway)),
            None => drop(self.processes.remove(&gateway)),
        }
        self.followed.record(gateway, None, Instant::now());
        self.live.remove(&gateway);
    }

    /// Freezes gateways, or lets them go on.
    pub(super) fn freeze(&mut self, chosen: &BTreeSet<usize>, frozen: bool) -> Result<(), String> {
        for gateway in chosen {
            match (self.shard(*gateway), self.processes.get(gateway)) {
                (Some(shard), _) => shard.send(Command::Freeze(*gateway, frozen)),
                (None, Some(process)) => process.signal(if frozen { Signal::STOP } else { Signal::CONT })?,
                (None, None) => {}
            }
            if frozen {
                self.stopped.insert(*gateway);
            } else {
                self.stopped.remove(gateway);
            }
        }
        Ok(())
    }

    /// Starts a control server as a process.
    pub(super) fn start_control_server(&mut self, index: usize) -> Result<(), String> {
        let Some(spec) = self.control_specs.get(index).cloned() else { return Ok(()) };
        let program = spec.program.display().to_string();
        let progress = ConvergenceTracker::new(index, 0, 0);
        let started = Process::start(spec, progress, self.report_sender.clone());
        let process = started.map_err(|e| format!("{program} cannot be started: {e}"))?;
        self.outcome.started.push(process.id());
        self.control.insert(index, process);
        Ok(())
    }

    /// Waits until each control server knows what the newest version is.
    pub(super) fn wait_for_control_servers(&mut self) -> Result<(), String> {
        let until = Instant::now() + self.plan.join;
        for index in 0..self.plan.control {
            let at = self.control_specs[index].admin;
            while !control::status(FLEET, at).is_ok_and(|status| status.fresh) {
                if Instant::now() >= until {
                    return Err(format!("{} is not fresh", self.control_specs[index].who));
                }
                self.receive_report()?;
                self.check_limits()?;
            }
        }
        Ok(())
    }

    /// Waits until each gateway that is a process listens.
    pub(super) fn wait_for_processes(&mut self) -> Result<(), String> {
        let until = Instant::now() + self.plan.join;
        while let Some(process) = self.processes.values().find(|process| !process.is_up()) {
            if Instant::now() >= until {
                return Err(format!("{} does not listen", process.who()));
            }
            // Its log leaves out lines where many others come, and the one that it listens may be among them.
            process.poll_status(self.plan.gateways());
            self.receive_report()?;
            self.check_limits()?;
        }
        Ok(())
    }
}
