//! What a phase of a run costs: counts, processor time and memory before and after it.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use super::super::count::{self, Counts, Machine};
use super::super::real::Process;
use super::super::simulated::Command;
use super::outcome::{ControlServerRow, Phase, PhaseResult, Row};
use super::Run;

/// A control server's process as it stands.
struct ControlServerSample {
    process: u32,
    cpu: Duration,
    /// In KiB.
    memory: u64,
}

/// All counts at one moment.
struct Sample {
    /// Calls to discovery, lists and bytes sent.
    discovery: (u64, u64, u64),
    gateways: BTreeMap<usize, Counts>,
    machine: Machine,
    control: BTreeMap<usize, ControlServerSample>,
}

impl Run<'_> {
    /// What each gateway has counted so far.
    fn counts(&self) -> Result<BTreeMap<usize, Counts>, String> {
        let (back, counted) = channel();
        self.send_to_all(|| Command::Count(back.clone()));
        drop(back);
        let mut counts: BTreeMap<usize, Counts> = BTreeMap::new();
        for _ in &self.shards {
            let some = counted.recv_timeout(self.plan.settle);
            counts.extend(some.map_err(|_| "a thread of simulated gateways does not hand in its counts")?);
        }
        for (gateway, process) in &self.processes {
            let ([fleet_cpu, control_cpu], all) = process.sample();
            let list_cpu = all.saturating_sub(fleet_cpu + control_cpu);
            let (losses, mistaken) = process.losses();
            let counted = Counts { fleet_cpu, list_cpu, control_cpu, losses, mistaken, ..Counts::default() };
            counts.insert(*gateway, counted);
        }
        Ok(counts)
    }

    fn sample(&self) -> Result<Sample, String> {
        let told = &self.discovery.told;
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let discovery = (read(&told.calls), read(&told.lists), read(&told.bytes));
        let (gateways, machine) = (self.counts()?, Machine::look());
        Ok(Sample { discovery, gateways, machine, control: self.sample_control_servers() })
    }

    fn sample_control_servers(&self) -> BTreeMap<usize, ControlServerSample> {
        let sample = |process: &Process| ControlServerSample {
            process: process.id(),
            cpu: process.sample().1,
            memory: process.resident(),
        };
        self.control.iter().map(|(index, process)| (*index, sample(process))).collect()
    }

    /// Does something as a phase of its own, and records what it cost.
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
        self.outcome.fallen = self.versions.fallen;
        self.outcome.in_force = self.versions.newest.clone();
        let phase = Phase {
            name: name.to_string(),
            length,
            busy: after.machine.busy_since(&before.machine),
            traffic: after.machine.traffic_since(&before.machine),
            told: (
                after.discovery.0 - before.discovery.0,
                after.discovery.1 - before.discovery.1,
                after.discovery.2 - before.discovery.2,
            ),
            rows: self.gateway_rows(&before, &after),
            acted,
            machines: self.control_server_rows(&before, &after),
            versions,
            arrivals,
        };
        self.outcome.phases.push(phase);
        Ok(())
    }

    fn gateway_rows(&self, before: &Sample, after: &Sample) -> Vec<Row> {
        // Simulated gateways share what this process has taken since there were none.
        let simulated = self.live.range(..self.plan.simulated).count().max(1) as u64;
        let own = count::resident("self").unwrap_or(0).saturating_sub(self.memory_before) / simulated;
        let row = |(gateway, counts): (&usize, &Counts)| Row {
            gateway: *gateway,
            real: *gateway >= self.plan.simulated,
            voter: *gateway < self.plan.voting_gateways(),
            counts: counts.since(&before.gateways.get(gateway).copied().unwrap_or_default()),
            memory: self.processes.get(gateway).map_or(own, Process::resident),
        };
        after.gateways.iter().map(row).collect()
    }

    fn control_server_rows(&self, before: &Sample, after: &Sample) -> Vec<ControlServerRow> {
        let row = |(index, sample): (&usize, &ControlServerSample)| {
            // One that was started since has a count of its own.
            let earlier = before.control.get(index).filter(|earlier| earlier.process == sample.process);
            let cpu = sample.cpu.saturating_sub(earlier.map_or(Duration::ZERO, |earlier| earlier.cpu));
            let gateways = self.followed.followers(*index);
            ControlServerRow { machine: *index, cpu, memory: sample.memory, gateways }
        };
        after.control.iter().map(row).collect()
    }
}
