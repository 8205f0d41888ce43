//! Measurements of a run, phase by phase.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::control::VersionTimes;
use super::super::count::Counts;

/// Measurements of one gateway in one phase.
#[derive(Clone, Debug)]
pub struct GatewayRow {
    /// Index of the gateway.
    pub gateway: usize,
    /// Whether it is a process of the program.
    pub real: bool,
    /// Whether it is an acceptor.
    pub voter: bool,
    /// Counters of the phase. A real gateway has processor time (of the fleet's thread, of the one that follows the
    /// control servers, and of all others) and losses only.
    pub counts: Counts,
    /// Memory in KiB at the end of the phase: a real gateway's own, a simulated one's equal share of the memory that
    /// all simulated gateways take.
    pub memory: u64,
}

/// Measurements of one control server in one phase.
#[derive(Clone, Debug)]
pub struct ControlServerRow {
    /// Index of the control server.
    pub server: usize,
    /// Processor time during the phase.
    pub cpu: Duration,
    /// Memory in KiB at the end of the phase.
    pub memory: u64,
    /// Number of gateways that followed it at the end of the phase.
    pub gateways: usize,
}

/// Measurements of one phase of a run: the start (`join`), the time without events (`quiet`) or an event.
#[derive(Clone, Debug, Default)]
pub struct Phase {
    /// Name of the phase; an event's keyword, or the step that undoes the event.
    pub name: String,
    /// Duration of the phase.
    pub length: Duration,
    /// Fraction of the machine's cores at work.
    pub busy: f64,
    /// UDP datagrams received and bytes over loopback, of the whole machine.
    pub traffic: (u64, u64),
    /// Calls to discovery, lists sent in answer, and bytes of all answers.
    pub discovery: (u64, u64, u64),
    /// Measurements by gateway.
    pub rows: Vec<GatewayRow>,
    /// The number of gateways that should act on the event, and the time of each that has acted, in ascending order;
    /// `None` for a phase that waits for no gateway.
    pub acted: Option<(usize, Vec<(usize, Duration)>)>,
    /// Measurements by control server, of those that run at the end of the phase.
    pub control_servers: Vec<ControlServerRow>,
    /// The versions proposed in this phase.
    pub versions: Vec<VersionTimes>,
    /// For the return of a control server: the highest number of gateways that began to follow it within one second.
    pub arrivals: Option<usize>,
}

/// Measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Phases in the order of their execution.
    pub phases: Vec<Phase>,
    /// Highest memory of all processes together, in MiB.
    pub peak_memory_mib: u64,
    /// Ids of all processes that were started; all have ended by the end of the run.
    pub started: Vec<u32>,
    /// The version that each gateway reported last as in force, by gateway.
    pub in_force: BTreeMap<usize, u64>,
    /// How often a gateway went back to an older version.
    pub regressions: u64,
    /// The reasons for versions that were not accepted.
    pub rejections: Vec<String>,
}

/// Results of an action, for the phase that measures it.
#[derive(Default)]
pub(super) struct PhaseResult {
    /// The number of gateways that should act, and the time of each that has acted, in ascending order.
    pub(super) acted: Option<(usize, Vec<(usize, Duration)>)>,
    pub(super) versions: Vec<VersionTimes>,
    /// Highest number of gateways that began to follow a control server within one second.
    pub(super) arrivals: Option<usize>,
}
