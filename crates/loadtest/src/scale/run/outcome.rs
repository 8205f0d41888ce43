//! What a run measured, phase by phase.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::control::InForce;
use super::super::count::Counts;

/// What a gateway came to in one phase.
#[derive(Clone, Debug)]
pub struct Row {
    /// Which.
    pub gateway: usize,
    /// A process of the program.
    pub real: bool,
    /// It votes.
    pub voter: bool,
    /// What was counted; of a real one processor time only: the fleet's thread, and all others.
    pub counts: Counts,
    /// Memory in KiB at the end: of a real one its own, of a simulated one its part of what all have taken.
    pub memory: u64,
}

/// What a control server's process came to in one phase.
#[derive(Clone, Debug)]
pub struct ControlServerRow {
    /// Which, by its place.
    pub machine: usize,
    /// Processor time.
    pub cpu: Duration,
    /// Memory in KiB at the end.
    pub memory: u64,
    /// Gateways that heard it at the end.
    pub gateways: usize,
}

/// A part of the run: finding each other, the quiet time, and each event.
#[derive(Clone, Debug, Default)]
pub struct Phase {
    /// Its name.
    pub name: String,
    /// Its length.
    pub length: Duration,
    /// Part of the machine's cores at work.
    pub busy: f64,
    /// UDP datagrams taken in and bytes over loopback, of the whole machine.
    pub traffic: (u64, u64),
    /// Calls to discovery, lists and bytes told.
    pub told: (u64, u64, u64),
    /// The gateways.
    pub rows: Vec<Row>,
    /// For an event: how many were to act, and after how long each did that has, in order.
    pub acted: Option<(usize, Vec<(usize, Duration)>)>,
    /// The control servers that are there.
    pub machines: Vec<ControlServerRow>,
    /// The versions that were put.
    pub versions: Vec<InForce>,
    /// For a control server that came back: most gateways that came to it within one second.
    pub arrivals: Option<usize>,
}

/// What a run gave.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// In their order.
    pub phases: Vec<Phase>,
    /// Most memory of all processes at once, in MiB.
    pub most_memory: u64,
    /// Ids of the processes that were started; all have ended.
    pub started: Vec<u32>,
    /// The newest version that each gateway has had in force.
    pub in_force: BTreeMap<usize, u64>,
    /// How often a gateway went back to an older version.
    pub fallen: u64,
    /// Why versions were not accepted.
    pub rejections: Vec<String>,
}

/// What an event came to, for the phase that measures it.
#[derive(Default)]
pub(super) struct PhaseResult {
    /// How many gateways were to act, and after how long each did that has, in order.
    pub(super) acted: Option<(usize, Vec<(usize, Duration)>)>,
    pub(super) versions: Vec<InForce>,
    /// Most gateways that connected to a control server within one second.
    pub(super) arrivals: Option<usize>,
}
