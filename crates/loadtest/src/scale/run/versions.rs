//! Events around versions of the configuration: they are proposed, and control servers are lost.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand_core::RngCore;
use rustix::process::Signal;

use super::super::control::Proposals;
use super::outcome::PhaseResult;
use super::{Run, CHECK_INTERVAL, FLEET};

/// How a control server is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// Its process ends, and its connections with it.
    Killed,
    /// It is frozen and sends nothing more.
    Stopped,
}

impl Run<'_> {
    /// Proposes versions and waits until they are in force at all live gateways; one of these may be frozen at first.
    pub(super) fn propose_versions(
        &mut self,
        name: &str,
        count: usize,
        pause: Duration,
        behind: Option<(usize, Duration)>,
    ) -> Result<(), String> {
        let waited = self.awake();
        let first = self.proposed + 1;
        self.proposed += count as u64;
        self.measure_phase(name, |run| {
            run.drain_reports()?;
            run.versions.begin(first);
            if let Some((gateway, _)) = behind {
                run.freeze(&BTreeSet::from([gateway]), true)?;
            }
            let over = Arc::new(AtomicBool::new(false));
            let proposals = Proposals {
                fleet: FLEET,
                machines: run.common.machines.addresses(),
                configuration: run.common.configuration.clone(),
                length: run.plan.document_bytes,
                first,
                count,
                pause,
                over: over.clone(),
            };
            proposals.begin(run.report_sender.clone()).map_err(|e| e.to_string())?;
            let began = Instant::now();
            let mut asleep = behind;
            let lasts = behind.map_or(Duration::ZERO, |(_, time)| time) + pause * count as u32;
            run.receive_until(began + lasts + run.plan.settle, &waited, |run| {
                if let Some((gateway, _)) = asleep.filter(|(_, time)| began.elapsed() >= *time) {
                    run.freeze(&BTreeSet::from([gateway]), false)?;
                    asleep = None;
                }
                Ok(asleep.is_none() && run.versions.is_done(count, &waited))
            })?;
            over.store(true, Ordering::Relaxed);
            run.outcome.rejections.extend(run.versions.rejections().map(str::to_string));
            let versions = run.versions.versions(&waited);
            let mut acted: Vec<(usize, Duration)> =
                versions.iter().flat_map(|version| version.acted.iter().copied()).collect();
            acted.sort_by_key(|(_, time)| *time);
            Ok(PhaseResult { acted: Some((count * waited.len(), acted)), versions, arrivals: None })
        })
    }

    /// Loses a control server: its followers and all of its zone follow another, and its zone returns to it once it is back.
    pub(super) fn lose_control_server(
        &mut self,
        name: &str,
        time: Duration,
        loss: Loss,
    ) -> Result<(), String> {
        self.drain_reports()?;
        let index = self.rng.next_u32() as usize % self.plan.control.max(1);
        let zone: BTreeSet<usize> =
            self.awake().into_iter().filter(|gateway| self.plan.zone(*gateway) == index).collect();
        let follows = |gateway: &usize| self.followed.since(*gateway, |server| server == index).is_some();
        let mut waited: BTreeSet<usize> = self.awake().into_iter().filter(follows).collect();
        waited.extend(&zone);
        let lost = Instant::now();
        self.measure_phase(name, |run| {
            let began = Instant::now();
            match (loss, run.control.get(&index)) {
                (Loss::Stopped, Some(process)) => process.signal(Signal::STOP)?,
                _ => drop(run.control.remove(&index)),
            }
            let found = run.wait_for_followers(began, &waited, run.plan.settle, |server| server != index)?;
            Ok(PhaseResult { acted: Some(found), ..PhaseResult::default() })
        })?;
        self.pause(time.saturating_sub(lost.elapsed()))?;
        self.measure_phase(&format!("{name} back"), |run| {
            run.drain_reports()?;
            run.followed.begin();
            let began = Instant::now();
            match run.control.get(&index) {
                Some(process) => process.signal(Signal::CONT)?,
                None => run.start_control_server(index)?,
            }
            // They come back within a draw over this time.
            let settle = run.plan.settle + run.plan.timeouts.return_window;
            let found = run.wait_for_followers(began, &zone, settle, |server| server == index)?;
            let arrivals = Some(run.followed.most_in_a_second(index));
            Ok(PhaseResult { acted: Some(found), arrivals, ..PhaseResult::default() })
        })
    }

    /// Waits until gateways follow one of these control servers.
    fn wait_for_followers(
        &mut self,
        began: Instant,
        waited: &BTreeSet<usize>,
        settle: Duration,
        wanted: impl Fn(usize) -> bool,
    ) -> Result<(usize, Vec<(usize, Duration)>), String> {
        self.receive_until(began + settle, waited, |run| {
            Ok(waited.iter().all(|gateway| run.followed.since(*gateway, &wanted).is_some()))
        })?;
        let time = |gateway: &usize| {
            let at = self.followed.since(*gateway, &wanted)?;
            Some((*gateway, at.saturating_duration_since(began)))
        };
        let mut acted: Vec<(usize, Duration)> = waited.iter().filter_map(time).collect();
        acted.sort_by_key(|(_, time)| *time);
        Ok((waited.len(), acted))
    }

    /// Receives reports until a condition holds, or the time is over.
    fn receive_until(
        &mut self,
        until: Instant,
        waited: &BTreeSet<usize>,
        mut holds: impl FnMut(&mut Self) -> Result<bool, String>,
    ) -> Result<(), String> {
        let mut next_check = Instant::now();
        while !holds(self)? && Instant::now() < until {
            self.receive_report()?;
            if Instant::now() >= next_check {
                self.check_limits()?;
                // One that is stopped would keep the run waiting for its answer.
                let polled = waited.difference(&self.stopped).filter_map(|at| self.processes.get(at));
                polled.for_each(|process| process.poll_status(self.plan.gateways()));
                next_check = Instant::now() + CHECK_INTERVAL;
            }
        }
        Ok(())
    }
}
