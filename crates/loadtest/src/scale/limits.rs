//! What a run needs of the machine, what the machine gives, and the refusal to begin where that would not do.

use rustix::process::{getrlimit, Resource};

use super::count;
use super::plan::{Plan, MOST_MEMORY, MOST_PROCESSES};

/// Descriptors, memory and processes: needed, or to be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Means {
    /// Open descriptors of the run's own process.
    pub descriptors: u64,
    /// MiB of memory, of all its processes.
    pub memory: u64,
    /// Processes and threads.
    pub processes: u64,
}

/// A member that another member knows, a host of a directory and one of a balancer, in bytes, rounded up from runs with
/// 45 to 710 gateways before 1,000 hosts (`docs/measurements/scale.md`).
const MEMBER: u64 = 1_024;
const HOST: u64 = 1_024;
const BALANCED: u64 = 2_048;
/// A simulated gateway without them, and a process of the program, in bytes.
const SIMULATED: u64 = 256 * 1024;
const PROCESS: u64 = 32 * 1024 * 1024;
/// A gateway's connections to control servers with what they read into.
const FOLLOWER: u64 = 128 * 1024;
/// The rest of the run.
const REST: u64 = 64 * 1024 * 1024;
/// Threads of a process of the program.
const THREADS: u64 = 6;

impl Means {
    /// What the system gives now; what it does not tell counts as without end.
    pub fn to_be_had() -> Means {
        let limit = |resource| getrlimit(resource).current.unwrap_or(u64::MAX);
        Means {
            descriptors: limit(Resource::Nofile),
            memory: count::available().unwrap_or(u64::MAX),
            processes: limit(Resource::Nproc),
        }
    }

    /// What a run needs.
    pub fn needed(plan: &Plan) -> Means {
        let (simulated, real, control) = (plan.simulated as u64, plan.real as u64, plan.control as u64);
        // The connection in use, the next one that is tried, and the own zone's.
        let (connections, follower) = if control > 0 { (3, FOLLOWER) } else { (0, 0) };
        let host = HOST + if plan.router { BALANCED } else { 0 };
        let each = SIMULATED + follower + plan.gateways() as u64 * MEMBER + plan.hosts * host;
        Means {
            // Datagrams, the call and its other end; while ports are chosen two a process.
            descriptors: (3 + connections) * simulated + 3 * (real + control) + 64,
            memory: (simulated * each + (real + control) * PROCESS + REST) / (1024 * 1024),
            processes: plan.threads as u64 + plan.voters as u64 + 2 + THREADS * (real + control),
        }
    }
}

/// Whether a run may begin with what is to be had.
///
/// # Errors
/// What would not do, with both figures.
pub fn admit(plan: &Plan, have: Means) -> Result<(), String> {
    let need = Means::needed(plan);
    let processes = plan.real + plan.control;
    if processes > MOST_PROCESSES {
        return Err(format!("processes: {processes} asked for, {MOST_PROCESSES} at most"));
    }
    let most = plan.memory.min(MOST_MEMORY);
    let checks = [
        ("descriptors", need.descriptors, have.descriptors, "to be had (ulimit -n)"),
        ("memory", need.memory, have.memory, "MiB available"),
        ("memory", need.memory, most, "MiB allowed ([run] memory_mb)"),
        ("processes and threads", need.processes, have.processes, "to be had (ulimit -u)"),
    ];
    match checks.iter().find(|(_, need, have, _)| need > have) {
        Some((what, need, have, of)) => Err(format!("{what}: {need} needed, {have} {of}")),
        None => Ok(()),
    }
}
