//! Starting, killing and freezing gateways and control servers, and waiting until they are ready.

use std::collections::BTreeSet;
use std::time::Instant;

use rustix::process::Signal;

use super::super::control;
use super::super::convergence::ConvergenceTracker;
use super::super::real::{unix_ms, Process};
use super::super::simulated::{Command, Shard};
use super::{Run, FLEET};

impl Run<'_> {
    /// The thread of a simulated gateway; `None` for a gateway that is a process.
    fn shard(&self, gateway: usize) -> Option<&Shard> {
        if gateway >= self.plan.simulated {
            return None;
        }
        let acceptors = self.plan.voting_gateways().min(self.plan.simulated);
        let shared = self.shards.len().saturating_sub(acceptors).max(1);
        self.shards.get(if gateway < acceptors { gateway } else { acceptors + gateway % shared })
    }

    /// Sends a command to all threads of simulated gateways.
    pub(super) fn send_to_all(&self, command: impl Fn() -> Command) {
        self.shards.iter().for_each(|shard| shard.send(command()));
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
            let process = started.map_err(|e| format!("cannot start {program}: {e}"))?;
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

    /// Freezes gateways, or lets them continue.
    pub(super) fn freeze(&mut self, chosen: &BTreeSet<usize>, frozen: bool) -> Result<(), String> {
        for gateway in chosen {
            match (self.shard(*gateway), self.processes.get(gateway)) {
                (Some(shard), _) => shard.send(Command::Freeze(*gateway, frozen)),
                (None, Some(process)) => process.signal(if frozen { Signal::STOP } else { Signal::CONT })?,
                (None, None) => {}
            }
            if frozen {
                self.frozen.insert(*gateway);
            } else {
                self.frozen.remove(gateway);
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
        let process = started.map_err(|e| format!("cannot start {program}: {e}"))?;
        self.outcome.started.push(process.id());
        self.control_servers.insert(index, process);
        Ok(())
    }

    /// Waits until each control server reports that it knows the newest version.
    pub(super) fn wait_for_control_servers(&mut self) -> Result<(), String> {
        let until = Instant::now() + self.plan.join_timeout;
        for index in 0..self.plan.control_servers {
            let at = self.control_specs[index].admin;
            while !control::status(FLEET, at).is_ok_and(|status| status.fresh) {
                if Instant::now() >= until {
                    return Err(format!(
                        "{} does not know yet which version is the newest",
                        self.control_specs[index].label
                    ));
                }
                self.receive_report()?;
                self.check_limits()?;
            }
        }
        Ok(())
    }

    /// Waits until each gateway that is a process is listening.
    pub(super) fn wait_for_processes(&mut self) -> Result<(), String> {
        let until = Instant::now() + self.plan.join_timeout;
        while let Some(process) = self.processes.values().find(|process| !process.is_listening()) {
            if Instant::now() >= until {
                return Err(format!("{} is not listening", process.label()));
            }
            // The log drops lines when there are too many, possibly the one that reports the listener.
            process.poll_status(self.plan.gateways());
            self.receive_report()?;
            self.check_limits()?;
        }
        Ok(())
    }
}
