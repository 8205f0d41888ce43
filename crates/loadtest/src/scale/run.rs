//! A run: everything started, converged, disturbed, measured, and ended whatever happens.

mod convergence;
mod events;
mod files;
mod gateways;
mod measure;
mod names;
mod outcome;
mod ports;
mod prepare;
mod targets;
mod versions;

use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::{Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand_pcg::Pcg64Mcg;

use self::files::Folder;
use self::outcome::PhaseResult;
pub use self::outcome::{ControlServerRow, Outcome, Phase, Row};
use super::control::{self, Followed};
use super::convergence::Expected;
use super::discovery::Discovery;
use super::plan::Plan;
use super::real::{Process, Spec};
use super::simulated::{Common, Identity, Report, Shard};

/// Time between two checks of signals, memory and admin interfaces.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
const FLEET: &str = "scale";

/// A run under way.
struct Run<'a> {
    plan: &'a Plan,
    stop: &'a AtomicBool,
    progress: &'a mut dyn FnMut(&str),
    /// When the run is broken off.
    until: Instant,
    rng: Pcg64Mcg,
    /// Targets set so far.
    targets: usize,
    /// Gateways that were started and not killed.
    live: BTreeSet<usize>,
    /// Gateways that are frozen for the moment.
    stopped: BTreeSet<usize>,
    identities: Vec<Identity>,
    specs: BTreeMap<usize, Spec>,
    reports: Receiver<Report>,
    report_sender: Sender<Report>,
    outcome: Outcome,
    /// Memory of this process before there were gateways, in KiB.
    memory_before: u64,
    // Dropped in this order: gateways, then what they call, then their files.
    shards: Vec<Shard>,
    processes: BTreeMap<usize, Process>,
    control: BTreeMap<usize, Process>,
    control_specs: Vec<Spec>,
    versions: control::VersionTracker,
    followed: Followed,
    /// Versions proposed so far.
    proposed: u64,
    common: Arc<Common>,
    discovery: Discovery,
    _port_claims: Vec<TcpListener>,
    _folder: Folder,
}

/// Plays a plan. Returns what it measured and, if it was broken off, why: the measurements are partial then. `stop` breaks
/// it off; `progress` is called with what is being done. Everything that was started has ended in either case.
pub fn play(plan: &Plan, stop: &AtomicBool, progress: &mut dyn FnMut(&str)) -> (Outcome, Result<(), String>) {
    match Run::prepare(plan, stop, progress) {
        Ok(mut run) => {
            let played = run.play();
            (std::mem::take(&mut run.outcome), played)
        }
        Err(what) => (Outcome::default(), Err(format!("cannot prepare the run: {what}"))),
    }
}

impl Run<'_> {
    /// Starts everybody, measures a quiet time, then plays the events.
    fn play(&mut self) -> Result<(), String> {
        let all: Vec<usize> = (0..self.plan.gateways()).collect();
        let target = self.target(|_, _| Expected::StartedSince(1));
        let settle = self.plan.join;
        self.run_until_converged("join", target, &BTreeSet::new(), settle, |run| {
            (0..run.plan.control).try_for_each(|index| run.start_control_server(index))?;
            run.wait_for_control_servers()?;
            all.iter().try_for_each(|gateway| run.start(*gateway))?;
            run.wait_for_processes()?;
            Ok(Instant::now())
        })?;
        let quiet = self.plan.quiet;
        self.measure_phase("quiet", |run| run.pause(quiet).map(|()| PhaseResult::default()))?;
        for event in &self.plan.events {
            self.play_event(*event)?;
        }
        self.check_limits()
    }
}
