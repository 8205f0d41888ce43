//! Processing of reports, and waiting until gateways have converged on a target.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::super::convergence::ConvergenceTarget;
use super::super::count;
use super::super::real::Process;
use super::super::simulated::{Command, Report};
use super::outcome::PhaseResult;
use super::{Run, CHECK_INTERVAL};

/// Limit of the wait for one report.
const REPORT_WAIT: Duration = Duration::from_millis(20);

impl Run<'_> {
    /// Returns an error, which aborts the run, if it was interrupted or exceeds its limits of time or memory.
    pub(super) fn check_limits(&mut self) -> Result<(), String> {
        if self.stop.load(Ordering::Relaxed) {
            return Err("interrupted".into());
        }
        if Instant::now() >= self.until {
            return Err(format!("not finished after {} s ([run] longest_s)", self.plan.time_limit.as_secs()));
        }
        let others: u64 =
            self.processes.values().chain(self.control_servers.values()).map(Process::resident_kib).sum();
        let memory = (count::resident_kib("self").unwrap_or(0) + others) / 1024;
        self.outcome.peak_memory_mib = memory.max(self.outcome.peak_memory_mib);
        if memory > self.plan.memory_mib {
            return Err(format!("{memory} MiB in use, {} allowed ([run] memory_mb)", self.plan.memory_mib));
        }
        Ok(())
    }

    /// Waits for one report for at most [`REPORT_WAIT`]. Returns the gateway, the target and the time if it reports
    /// that a target was reached; records any other report.
    pub(super) fn receive_report(&mut self) -> Result<Option<(usize, usize, Instant)>, String> {
        match self.reports.recv_timeout(REPORT_WAIT) {
            Ok(report) => self.record_report(report),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(RecvTimeoutError::Disconnected) => Err("all senders of reports have ended".into()),
        }
    }

    /// Records all pending reports, so that those from before an event do not count for it.
    pub(super) fn drain_reports(&mut self) -> Result<(), String> {
        while let Ok(report) = self.reports.try_recv() {
            self.record_report(report)?;
        }
        Ok(())
    }

    fn record_report(&mut self, report: Report) -> Result<Option<(usize, usize, Instant)>, String> {
        match report {
            Report::TargetReached { gateway, target, at } => return Ok(Some((gateway, target, at))),
            Report::VersionInForce { gateway, number, at } => {
                self.versions.record_in_force(gateway, number, at);
            }
            Report::ControlServerChanged { gateway, server, at } => self.followed.record(gateway, server, at),
            Report::VersionProposed(proposal) => self.versions.record_proposal(proposal),
            Report::Failed(error) => return Err(error),
        }
        Ok(None)
    }

    /// Waits for `time` and checks the limits of the run meanwhile.
    pub(super) fn pause(&mut self, time: Duration) -> Result<(), String> {
        let until = Instant::now() + time;
        loop {
            self.check_limits()?;
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(CHECK_INTERVAL));
        }
    }

    /// Executes `act` as a phase with this name, and waits until all gateways that are live and not frozen, except for
    /// `excluded`, have converged on the target, for at most `settle`.
    pub(super) fn run_until_converged(
        &mut self,
        name: &str,
        target: ConvergenceTarget,
        excluded: &BTreeSet<usize>,
        settle: Duration,
        act: impl FnOnce(&mut Self) -> Result<Instant, String>,
    ) -> Result<(), String> {
        let (id, target) = (target.id, Arc::new(target));
        self.measure_phase(name, |run| {
            run.set_target(&target);
            let began = act(run)?;
            // Gateways that `act` has started do not have the target yet.
            run.set_target(&target);
            let awaited: BTreeSet<usize> = run.running_gateways().difference(excluded).copied().collect();
            let acted = run.wait_for_convergence(id, began, &awaited, settle)?;
            Ok(PhaseResult { acted: Some(acted), ..PhaseResult::default() })
        })
    }

    fn set_target(&self, target: &Arc<ConvergenceTarget>) {
        self.send_to_all(|| Command::SetTarget(target.clone()));
        self.processes.values().for_each(|process| process.set_target(target.clone()));
    }

    fn wait_for_convergence(
        &mut self,
        id: usize,
        began: Instant,
        awaited: &BTreeSet<usize>,
        settle: Duration,
    ) -> Result<(usize, Vec<(usize, Duration)>), String> {
        let mut acted = BTreeMap::new();
        let until = Instant::now() + settle;
        let mut next_check = Instant::now();
        while acted.len() < awaited.len() && Instant::now() < until {
            if let Some((gateway, _, at)) = self
                .receive_report()?
                .filter(|(gateway, target, _)| *target == id && awaited.contains(gateway))
            {
                let time: &mut Duration = acted.entry(gateway).or_default();
                *time = at.saturating_duration_since(began);
            }
            if Instant::now() >= next_check {
                self.check_limits()?;
                let pending = self
                    .processes
                    .iter()
                    .filter(|(index, _)| awaited.contains(index) && !acted.contains_key(index));
                pending.for_each(|(_, process)| process.poll_status(self.plan.gateways()));
                (self.progress)(&format!(
                    "event {id}: {} of {} gateways have acted",
                    acted.len(),
                    awaited.len()
                ));
                next_check = Instant::now() + CHECK_INTERVAL;
            }
        }
        let mut acted: Vec<(usize, Duration)> = acted.into_iter().collect();
        acted.sort_by_key(|(_, time)| *time);
        Ok((awaited.len(), acted))
    }
}
