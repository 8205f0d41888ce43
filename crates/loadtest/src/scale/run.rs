//! Execution of a plan: starts all gateways and control servers, waits until they have converged, executes and measures
//! the events, and ends everything in any case.

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
pub use self::outcome::{ControlServerRow, GatewayRow, Outcome, Phase};
use super::control::{self, FollowedServers};
use super::convergence::Expected;
use super::discovery::Discovery;
use super::plan::Plan;
use super::real::{Process, ProcessSpec};
use super::simulated::{GatewayIdentity, Report, Shard, SimulationContext};

/// Time between two checks of signals, memory and admin interfaces.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The name of the fleet that all gateways and control servers of a run belong to.
const FLEET: &str = "scale";

/// The state of a run.
struct Run<'a> {
    plan: &'a Plan,
    stop: &'a AtomicBool,
    progress: &'a mut dyn FnMut(&str),
    /// When the run is aborted.
    until: Instant,
    rng: Pcg64Mcg,
    /// Number of targets set so far.
    targets: usize,
    /// Gateways that were started and not killed.
    live: BTreeSet<usize>,
    /// Gateways that are frozen at present.
    frozen: BTreeSet<usize>,
    identities: Vec<GatewayIdentity>,
    specs: BTreeMap<usize, ProcessSpec>,
    reports: Receiver<Report>,
    report_sender: Sender<Report>,
    outcome: Outcome,
    /// Memory of the loadtest process before gateways were started, in KiB.
    memory_before: u64,
    // Dropped in this order: gateways, control servers, discovery, then their port claims and files.
    shards: Vec<Shard>,
    processes: BTreeMap<usize, Process>,
    control_servers: BTreeMap<usize, Process>,
    control_specs: Vec<ProcessSpec>,
    versions: control::VersionTracker,
    followed: FollowedServers,
    /// Number of versions proposed so far.
    proposed: u64,
    context: Arc<SimulationContext>,
    discovery: Discovery,
    _port_claims: Vec<TcpListener>,
    _folder: Folder,
}

/// Executes a plan. Returns the measurements and, if the run was aborted, the reason; the measurements are partial
/// then. Setting `stop` aborts the run; `progress` is called with a description of the current step. All processes and
/// threads that were started have ended on return in either case.
pub fn execute(
    plan: &Plan,
    stop: &AtomicBool,
    progress: &mut dyn FnMut(&str),
) -> (Outcome, Result<(), String>) {
    match Run::prepare(plan, stop, progress) {
        Ok(mut run) => {
            let result = run.execute();
            (std::mem::take(&mut run.outcome), result)
        }
        Err(error) => (Outcome::default(), Err(format!("cannot prepare the run: {error}"))),
    }
}

impl Run<'_> {
    /// Starts all control servers and gateways, measures a phase without events, then executes the events.
    fn execute(&mut self) -> Result<(), String> {
        let all: Vec<usize> = (0..self.plan.gateways()).collect();
        let target = self.target(|_, _| Expected::StartedSince(1));
        let settle = self.plan.join_timeout;
        self.run_until_converged("join", target, &BTreeSet::new(), settle, |run| {
            (0..run.plan.control_servers).try_for_each(|index| run.start_control_server(index))?;
            run.wait_for_control_servers()?;
            all.iter().try_for_each(|gateway| run.start(*gateway))?;
            run.wait_for_processes()?;
            Ok(Instant::now())
        })?;
        let quiet = self.plan.quiet_time;
        self.measure_phase("quiet", |run| run.pause(quiet).map(|()| PhaseResult::default()))?;
        for event in &self.plan.events {
            self.execute_event(*event)?;
        }
        self.check_limits()
    }
}
