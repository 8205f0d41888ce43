//! Events that concern versions of the configuration: proposals, and the loss of control servers.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand_core::RngCore;
use rustix::process::Signal;

use super::super::control::Proposals;
use super::outcome::PhaseResult;
use super::{Run, CHECK_INTERVAL, FLEET};

/// How a control server becomes unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// Its process is killed, which closes its connections.
    Killed,
    /// Its process is frozen: connections stay open, but it sends nothing.
    Frozen,
}

impl Run<'_> {
    /// Proposes versions and waits until all gateways that are live and not frozen have the newest one in force.
    /// `behind` is a gateway that is frozen for the given time from the first proposal on.
    pub(super) fn propose_versions(
        &mut self,
        name: &str,
        count: usize,
        pause: Duration,
        behind: Option<(usize, Duration)>,
    ) -> Result<(), String> {
        let awaited = self.running_gateways();
        let first = self.proposed + 1;
        self.proposed += count as u64;
        self.measure_phase(name, |run| {
            run.drain_reports()?;
            run.versions.start_event(first);
            if let Some((gateway, _)) = behind {
                run.freeze(&BTreeSet::from([gateway]), true)?;
            }
            let cancelled = Arc::new(AtomicBool::new(false));
            let proposals = Proposals {
                fleet: FLEET,
                servers: run.context.control_servers.addresses(),
                configuration: run.context.configuration.clone(),
                length: run.plan.document_bytes,
                first_sequence: first,
                count,
                pause,
                cancelled: cancelled.clone(),
            };
            proposals.start(run.report_sender.clone()).map_err(|e| e.to_string())?;
            let began = Instant::now();
            let mut frozen = behind;
            let duration = behind.map_or(Duration::ZERO, |(_, time)| time) + pause * count as u32;
            run.receive_until(began + duration + run.plan.settle_timeout, &awaited, |run| {
                if let Some((gateway, _)) = frozen.filter(|(_, time)| began.elapsed() >= *time) {
                    run.freeze(&BTreeSet::from([gateway]), false)?;
                    frozen = None;
                }
                Ok(frozen.is_none() && run.versions.is_done(count, &awaited))
            })?;
            cancelled.store(true, Ordering::Relaxed);
            run.outcome.rejections.extend(run.versions.rejections().map(str::to_string));
            let versions = run.versions.versions(&awaited);
            let mut acted: Vec<(usize, Duration)> =
                versions.iter().flat_map(|version| version.acted.iter().copied()).collect();
            acted.sort_by_key(|(_, time)| *time);
            Ok(PhaseResult { acted: Some((count * awaited.len(), acted)), versions, arrivals: None })
        })
    }

    /// Makes a control server unavailable for a time. Waits until its followers and all gateways of its zone follow
    /// another one and, once it is back, until the gateways of its zone have returned to it.
    pub(super) fn lose_control_server(
        &mut self,
        name: &str,
        time: Duration,
        loss: Loss,
    ) -> Result<(), String> {
        self.drain_reports()?;
        let index = self.rng.next_u32() as usize % self.plan.control_servers.max(1);
        let zone: BTreeSet<usize> =
            self.running_gateways().into_iter().filter(|gateway| self.plan.zone(*gateway) == index).collect();
        let follows = |gateway: &usize| self.followed.since(*gateway, |server| server == index).is_some();
        let mut awaited: BTreeSet<usize> = self.running_gateways().into_iter().filter(follows).collect();
        awaited.extend(&zone);
        let lost = Instant::now();
        self.measure_phase(name, |run| {
            let began = Instant::now();
            match (loss, run.control_servers.get(&index)) {
                (Loss::Frozen, Some(process)) => process.signal(Signal::STOP)?,
                _ => drop(run.control_servers.remove(&index)),
            }
            let found =
                run.wait_for_followers(began, &awaited, run.plan.settle_timeout, |server| server != index)?;
            Ok(PhaseResult { acted: Some(found), ..PhaseResult::default() })
        })?;
        self.pause(time.saturating_sub(lost.elapsed()))?;
        self.measure_phase(&format!("{name} back"), |run| {
            run.drain_reports()?;
            run.followed.start_event();
            let began = Instant::now();
            match run.control_servers.get(&index) {
                Some(process) => process.signal(Signal::CONT)?,
                None => run.start_control_server(index)?,
            }
            // Each gateway returns after a random time within the return window.
            let settle = run.plan.settle_timeout + run.plan.timeouts.return_window;
            let found = run.wait_for_followers(began, &zone, settle, |server| server == index)?;
            let arrivals = Some(run.followed.max_arrivals_per_second(index));
            Ok(PhaseResult { acted: Some(found), arrivals, ..PhaseResult::default() })
        })
    }

    /// Waits until all awaited gateways follow a control server that is `wanted`. Returns their number and the time of
    /// each that does, in ascending order.
    fn wait_for_followers(
        &mut self,
        began: Instant,
        awaited: &BTreeSet<usize>,
        settle: Duration,
        wanted: impl Fn(usize) -> bool,
    ) -> Result<(usize, Vec<(usize, Duration)>), String> {
        self.receive_until(began + settle, awaited, |run| {
            Ok(awaited.iter().all(|gateway| run.followed.since(*gateway, &wanted).is_some()))
        })?;
        let time = |gateway: &usize| {
            let at = self.followed.since(*gateway, &wanted)?;
            Some((*gateway, at.saturating_duration_since(began)))
        };
        let mut acted: Vec<(usize, Duration)> = awaited.iter().filter_map(time).collect();
        acted.sort_by_key(|(_, time)| *time);
        Ok((awaited.len(), acted))
    }

    /// Receives reports until a condition holds or the time `until` is reached.
    fn receive_until(
        &mut self,
        until: Instant,
        awaited: &BTreeSet<usize>,
        mut holds: impl FnMut(&mut Self) -> Result<bool, String>,
    ) -> Result<(), String> {
        let mut next_check = Instant::now();
        while !holds(self)? && Instant::now() < until {
            self.receive_report()?;
            if Instant::now() >= next_check {
                self.check_limits()?;
                // A frozen process is not polled: waiting for its answer would delay the run.
                let polled = awaited.difference(&self.frozen).filter_map(|at| self.processes.get(at));
                polled.for_each(|process| process.poll_status(self.plan.gateways()));
                next_check = Instant::now() + CHECK_INTERVAL;
            }
        }
        Ok(())
    }
}
