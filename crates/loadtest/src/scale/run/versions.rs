//! The run's events around a configuration's versions: they are put, and control machines are lost.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand_core::RngCore;
use rustix::process::Signal;

use super::super::control::Puts;
use super::{Found, Run, FLEET, LOOK};

/// How a control machine is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// Its connections end with it.
    Killed,
    /// It says nothing more.
    Stopped,
}

impl Run<'_> {
    /// Versions are put, and in force at all that live; one of these may do nothing at first.
    pub(super) fn put_versions(
        &mut self,
        word: &str,
        count: usize,
        pause: Duration,
        behind: Option<(usize, Duration)>,
    ) -> Result<(), String> {
        let waited = self.awake();
        let first = self.put + 1;
        self.put += count as u64;
        self.phase(word, |run| {
            run.drain()?;
            run.versions.begin(first);
            if let Some((gateway, _)) = behind {
                run.freeze(&BTreeSet::from([gateway]), true)?;
            }
            let over = Arc::new(AtomicBool::new(false));
            let puts = Puts {
                fleet: FLEET,
                machines: run.common.machines.addresses(),
                configuration: run.common.configuration.clone(),
                length: run.plan.document_bytes,
                first,
                count,
                pause,
                over: over.clone(),
            };
            puts.begin(run.words.clone()).map_err(|e| e.to_string())?;
            let began = Instant::now();
            let mut asleep = behind;
            let lasts = behind.map_or(Duration::ZERO, |(_, time)| time) + pause * count as u32;
            run.hear_until(began + lasts + run.plan.settle, &waited, |run| {
                if let Some((gateway, _)) = asleep.filter(|(_, time)| began.elapsed() >= *time) {
                    run.freeze(&BTreeSet::from([gateway]), false)?;
                    asleep = None;
                }
                Ok(asleep.is_none() && run.versions.is_done(count, &waited))
            })?;
            over.store(true, Ordering::Relaxed);
            run.outcome.refusals.extend(run.versions.refusals().map(str::to_string));
            let versions = run.versions.versions(&waited);
            let mut acted: Vec<(usize, Duration)> =
                versions.iter().flat_map(|version| version.acted.iter().copied()).collect();
            acted.sort_by_key(|(_, time)| *time);
            Ok(Found { acted: Some((count * waited.len(), acted)), versions, arrivals: None })
        })
    }

    /// A control machine is lost; who heard it, and all of its zone, hear another, and its zone comes back to it once
    /// it is there again.
    pub(super) fn lose_control(&mut self, word: &str, time: Duration, loss: Loss) -> Result<(), String> {
        self.drain()?;
        let place = self.dice.next_u32() as usize % self.plan.control.max(1);
        let zone: BTreeSet<usize> =
            self.awake().into_iter().filter(|gateway| self.plan.zone(*gateway) == place).collect();
        let heard = |gateway: &usize| self.hears.since(*gateway, |machine| machine == place).is_some();
        let mut waited: BTreeSet<usize> = self.awake().into_iter().filter(heard).collect();
        waited.extend(&zone);
        let lost = Instant::now();
        self.phase(word, |run| {
            let began = Instant::now();
            match (loss, run.control.get(&place)) {
                (Loss::Stopped, Some(process)) => process.signal(Signal::STOP)?,
                _ => drop(run.control.remove(&place)),
            }
            let found = run.hear_others(began, &waited, run.plan.settle, |machine| machine != place)?;
            Ok(Found { acted: Some(found), ..Found::default() })
        })?;
        self.pause(time.saturating_sub(lost.elapsed()))?;
        self.phase(&format!("{word} back"), |run| {
            run.drain()?;
            run.hears.begin();
            let began = Instant::now();
            match run.control.get(&place) {
                Some(process) => process.signal(Signal::CONT)?,
                None => run.start_control(place)?,
            }
            // They come back within a draw over this time.
            let settle = run.plan.settle + run.plan.pace.home;
            let found = run.hear_others(began, &zone, settle, |machine| machine == place)?;
            let arrivals = Some(run.hears.most_in_a_second(place));
            Ok(Found { acted: Some(found), arrivals, ..Found::default() })
        })
    }

    /// Waits until gateways hear one of these control machines.
    fn hear_others(
        &mut self,
        began: Instant,
        waited: &BTreeSet<usize>,
        settle: Duration,
        wanted: impl Fn(usize) -> bool,
    ) -> Result<(usize, Vec<(usize, Duration)>), String> {
        self.hear_until(began + settle, waited, |run| {
            Ok(waited.iter().all(|gateway| run.hears.since(*gateway, &wanted).is_some()))
        })?;
        let time = |gateway: &usize| {
            let at = self.hears.since(*gateway, &wanted)?;
            Some((*gateway, at.saturating_duration_since(began)))
        };
        let mut acted: Vec<(usize, Duration)> = waited.iter().filter_map(time).collect();
        acted.sort_by_key(|(_, time)| *time);
        Ok((waited.len(), acted))
    }

    /// Hears what gateways say until something holds, or its time is over.
    fn hear_until(
        &mut self,
        until: Instant,
        waited: &BTreeSet<usize>,
        mut holds: impl FnMut(&mut Self) -> Result<bool, String>,
    ) -> Result<(), String> {
        let mut next_look = Instant::now();
        while !holds(self)? && Instant::now() < until {
            self.hear()?;
            if Instant::now() >= next_look {
                self.look()?;
                // One that is stopped would keep the run waiting for its answer.
                let asked = waited.difference(&self.stopped).filter_map(|at| self.processes.get(at));
                asked.for_each(|process| process.ask(self.plan.gateways()));
                next_look = Instant::now() + LOOK;
            }
        }
        Ok(())
    }
}
