//! Measurement of a phase: counters, processor time and memory before and after it.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use super::super::count::{self, Counts, MachineSample};
use super::super::real::Process;
use super::super::simulated::Command;
use super::outcome::{ControlServerRow, GatewayRow, Phase, PhaseResult};
use super::Run;

/// Measurements of a control server's process at one moment.
struct ControlServerSample {
    /// Process id.
    process: u32,
    cpu: Duration,
    /// In KiB.
    memory: u64,
}

/// All measurements at one moment.
struct Sample {
    /// Calls to discovery, lists sent in answer, and bytes of all answers.
    discovery: (u64, u64, u64),
    gateways: BTreeMap<usize, Counts>,
    machine: MachineSample,
    control_servers: BTreeMap<usize, ControlServerSample>,
}

impl Run<'_> {
    /// The counters of each gateway.
    fn counts(&self) -> Result<BTreeMap<usize, Counts>, String> {
        let (count_sender, count_receiver) = channel();
        self.send_to_all(|| Command::Count(count_sender.clone()));
        drop(count_sender);
        let mut counts: BTreeMap<usize, Counts> = BTreeMap::new();
        for _ in &self.shards {
            let some = count_receiver.recv_timeout(self.plan.settle_timeout);
            counts.extend(some.map_err(|_| "a thread of simulated gateways did not report its counters")?);
        }
        for (gateway, process) in &self.processes {
            let ([fleet_cpu, control_cpu], all) = process.cpu_times();
            let list_cpu = all.saturating_sub(fleet_cpu + control_cpu);
            let (losses, mistaken_losses) = process.losses();
            let process_counts =
                Counts { fleet_cpu, list_cpu, control_cpu, losses, mistaken_losses, ..Counts::default() };
            counts.insert(*gateway, process_counts);
        }
        Ok(counts)
    }

    fn sample(&self) -> Result<Sample, String> {
        let answers = &self.discovery.answers;
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let discovery = (read(&answers.calls), read(&answers.lists), read(&answers.bytes));
        let (gateways, machine) = (self.counts()?, MachineSample::read());
        Ok(Sample { discovery, gateways, machine, control_servers: self.sample_control_servers() })
    }

    fn sample_control_servers(&self) -> BTreeMap<usize, ControlServerSample> {
        let sample = |process: &Process| ControlServerSample {
            process: process.id(),
            cpu: process.cpu_times().1,
            memory: process.resident_kib(),
        };
        self.control_servers.iter().map(|(index, process)| (*index, sample(process))).collect()
    }

    /// Executes `act` as a phase with this name and records its measurements.
    pub(super) fn measure_phase(
        &mut self,
        name: &str,
        act: impl FnOnce(&mut Self) -> Result<PhaseResult, String>,
    ) -> Result<(), String> {
        (self.progress)(name);
        let before = self.sample()?;
        let began = Instant::now();
        let PhaseResult { acted, versions, arrivals } = act(self)?;
        let length = began.elapsed();
        let after = self.sample()?;
        self.outcome.regressions = self.versions.regressions;
        self.outcome.in_force = self.versions.latest.clone();
        let phase = Phase {
            name: name.to_string(),
            length,
            busy: after.machine.busy_since(&before.machine),
            traffic: after.machine.traffic_since(&before.machine),
            discovery: (
                after.discovery.0 - before.discovery.0,
                after.discovery.1 - before.discovery.1,
                after.discovery.2 - before.discovery.2,
            ),
            rows: self.gateway_rows(&before, &after),
            acted,
            control_servers: self.control_server_rows(&before, &after),
            versions,
            arrivals,
        };
        self.outcome.phases.push(phase);
        Ok(())
    }

    fn gateway_rows(&self, before: &Sample, after: &Sample) -> Vec<GatewayRow> {
        // Memory of simulated gateways cannot be told apart: each gets an equal share of what this process has
        // allocated for all of them.
        let simulated = self.live.range(..self.plan.simulated).count().max(1) as u64;
        let own = count::resident_kib("self").unwrap_or(0).saturating_sub(self.memory_before) / simulated;
        let row = |(gateway, counts): (&usize, &Counts)| GatewayRow {
            gateway: *gateway,
            real: *gateway >= self.plan.simulated,
            voter: *gateway < self.plan.voting_gateways(),
            counts: counts.since(&before.gateways.get(gateway).copied().unwrap_or_default()),
            memory: self.processes.get(gateway).map_or(own, Process::resident_kib),
        };
        after.gateways.iter().map(row).collect()
    }

    fn control_server_rows(&self, before: &Sample, after: &Sample) -> Vec<ControlServerRow> {
        let row = |(index, sample): (&usize, &ControlServerSample)| {
            // The processor time of a process that was started during the phase counts from zero.
            let earlier =
                before.control_servers.get(index).filter(|earlier| earlier.process == sample.process);
            let cpu = sample.cpu.saturating_sub(earlier.map_or(Duration::ZERO, |earlier| earlier.cpu));
            let gateways = self.followed.followers(*index);
            ControlServerRow { server: *index, cpu, memory: sample.memory, gateways }
        };
        after.control_servers.iter().map(row).collect()
    }
}
