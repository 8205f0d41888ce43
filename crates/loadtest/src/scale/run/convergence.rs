//! Reports of gateways, and the wait until all of them have converged on a target.

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

/// Longest wait for one report.
const REPORT_WAIT: Duration = Duration::from_millis(20);

impl Run<'_> {
    /// Breaks the run off where it was interrupted, takes too long or takes too much memory.
    pub(super) fn check_limits(&mut self) -> Result<(), String> {
        if self.stop.load(Ordering::Relaxed) {
            return Err("interrupted".into());
        }
        if Instant::now() >= self.until {
            return Err(format!("not over after {} s ([run] longest_s)", self.plan.longest.as_secs()));
        }
        let others: u64 = self.processes.values().chain(self.control.values()).map(Process::resident).sum();
        let memory = (count::resident("self").unwrap_or(0) + others) / 1024;
        self.outcome.most_memory = memory.max(self.outcome.most_memory);
        if memory > self.plan.memory {
            return Err(format!("{memory} MiB taken, {} allowed ([run] memory_mb)", self.plan.memory));
        }
        Ok(())
    }

    /// Receives one report, if one comes soon. That a gateway has reached a target is returned, all else is recorded.
    pub(super) fn receive_report(&mut self) -> Result<Option<(usize, usize, Instant)>, String> {
        match self.reports.recv_timeout(REPORT_WAIT) {
            Ok(report) => self.record_report(report),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(RecvTimeoutError::Disconnected) => Err("all gateways have ended".into()),
        }
    }

    /// Records what was reported before something begins.
    pub(super) fn drain_reports(&mut self) -> Result<(), String> {
        while let Ok(report) = self.reports.try_recv() {
            self.record_report(report)?;
        }
        Ok(())
    }

    fn record_report(&mut self, report: Report) -> Result<Option<(usize, usize, Instant)>, String> {
        match report {
            Report::TargetReached { gateway, target, at } => return Ok(Some((gateway, target, at))),
            Report::VersionInForce { gateway, number, at } => self.versions.in_force(gateway, number, at),
            Report::ControlServerChanged { gateway, server, at } => self.followed.record(gateway, server, at),
            Report::VersionProposed(proposal) => self.versions.proposed(proposal),
            Report::Failed(what) => return Err(what),
        }
        Ok(None)
    }

    /// Waits, checking limits meanwhile.
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

    /// Does something as a phase of its own, and waits until all live gateways but those left out have converged on a target.
    pub(super) fn run_until_converged(
        &mut self,
        name: &str,
        target: ConvergenceTarget,
        left_out: &BTreeSet<usize>,
        settle: Duration,
        act: impl FnOnce(&mut Self) -> Result<Instant, String>,
    ) -> Result<(), String> {
        let (id, target) = (target.id, Arc::new(target));
        self.measure_phase(name, |run| {
            run.set_target(&target);
            let began = act(run)?;
            // Those that were started by it do not know the target yet.
            run.set_target(&target);
            let waited: BTreeSet<usize> = run.awake().difference(left_out).copied().collect();
            let acted = run.wait_for_convergence(id, began, &waited, settle)?;
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
        waited: &BTreeSet<usize>,
        settle: Duration,
    ) -> Result<(usize, Vec<(usize, Duration)>), String> {
        let mut acted = BTreeMap::new();
        let until = Instant::now() + settle;
        let mut next_check = Instant::now();
        while acted.len() < waited.len() && Instant::now() < until {
            if let Some((gateway, _, at)) = self
                .receive_report()?
                .filter(|(gateway, target, _)| *target == id && waited.contains(gateway))
            {
                let time: &mut Duration = acted.entry(gateway).or_default();
                *time = at.saturating_duration_since(began);
            }
            if Instant::now() >= next_check {
                self.check_limits()?;
                let pending = self
                    .processes
                    .iter()
                    .filter(|(index, _)| waited.contains(index) && !acted.contains_key(index));
                pending.for_each(|(_, process)| process.poll_status(self.plan.gateways()));
                (self.progress)(&format!("event {id}: {} of {} have acted", acted.len(), waited.len()));
                next_check = Instant::now() + CHECK_INTERVAL;
            }
        }
        let mut acted: Vec<(usize, Duration)> = acted.into_iter().collect();
        acted.sort_by_key(|(_, time)| *time);
        Ok((waited.len(), acted))
    }
}
