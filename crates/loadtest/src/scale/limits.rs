//! Resources that a run requires and the machine has available; a run that requires more is refused before it starts.

use rustix::process::{getrlimit, Resource};

use super::count;
use super::plan::{Plan, MAX_MEMORY_MIB, MAX_PROCESSES};

/// Descriptors, memory and processes, either required by a run or available on the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// File descriptors of the loadtest process itself.
    pub descriptors: u64,
    /// Memory of all processes of the run, in MiB.
    pub memory: u64,
    /// Processes and threads together.
    pub processes: u64,
}

// Memory per member and per host is rounded up from runs with 45 to 710 gateways and 1,000 hosts
// (`docs/measurements/scale.md`).

/// Memory that a gateway takes for each member of the fleet that it knows.
const MEMBER_BYTES: u64 = 1_024;
/// Memory of a host in a gateway's directory.
const HOST_BYTES: u64 = 1_024;
/// Memory of a host in a gateway's balancer.
const BALANCED_HOST_BYTES: u64 = 2_048;
/// Memory of a simulated gateway without members and hosts.
const SIMULATED_GATEWAY_BYTES: u64 = 256 * 1024;
/// Memory of a process of the program.
const PROCESS_BYTES: u64 = 32 * 1024 * 1024;
/// Memory of a gateway's connections to control servers, with their read buffers.
const FOLLOWER_BYTES: u64 = 128 * 1024;
/// Memory of the loadtest process without gateways.
const BASE_BYTES: u64 = 64 * 1024 * 1024;
/// Threads of a process of the program.
const THREADS_PER_PROCESS: u64 = 6;

impl Resources {
    /// Reads what the system has available now; a limit that cannot be read counts as unlimited.
    pub fn available() -> Resources {
        let limit = |resource| getrlimit(resource).current.unwrap_or(u64::MAX);
        Resources {
            descriptors: limit(Resource::Nofile),
            memory: count::available_mib().unwrap_or(u64::MAX),
            processes: limit(Resource::Nproc),
        }
    }

    /// What a run of this plan requires.
    pub fn required(plan: &Plan) -> Resources {
        let (simulated, real, control) =
            (plan.simulated as u64, plan.real as u64, plan.control_servers as u64);
        // The connection in use, one to the server that is tried next, and one to the server of the gateway's own zone.
        let (connections, follower) = if control > 0 { (3, FOLLOWER_BYTES) } else { (0, 0) };
        let host = HOST_BYTES + if plan.with_balancer { BALANCED_HOST_BYTES } else { 0 };
        let each =
            SIMULATED_GATEWAY_BYTES + follower + plan.gateways() as u64 * MEMBER_BYTES + plan.hosts * host;
        Resources {
            // A simulated gateway has its datagram socket and both ends of its discovery call; while ports are chosen,
            // a process has two.
            descriptors: (3 + connections) * simulated + 3 * (real + control) + 64,
            memory: (simulated * each + (real + control) * PROCESS_BYTES + BASE_BYTES) / (1024 * 1024),
            processes: plan.threads as u64 + plan.voters as u64 + 2 + THREADS_PER_PROCESS * (real + control),
        }
    }
}

/// Checks whether a run can start with the available resources.
///
/// # Errors
/// The first resource that does not suffice, with the required and the available amount.
pub fn check_resources(plan: &Plan, available: Resources) -> Result<(), String> {
    let required = Resources::required(plan);
    let processes = plan.real + plan.control_servers;
    if processes > MAX_PROCESSES {
        return Err(format!("processes: {processes} required, at most {MAX_PROCESSES} allowed"));
    }
    let allowed = plan.memory_mib.min(MAX_MEMORY_MIB);
    let checks = [
        ("descriptors", required.descriptors, available.descriptors, "available (ulimit -n)"),
        ("memory", required.memory, available.memory, "MiB available"),
        ("memory", required.memory, allowed, "MiB allowed ([run] memory_mb)"),
        ("processes and threads", required.processes, available.processes, "available (ulimit -u)"),
    ];
    match checks.iter().find(|(_, required, limit, _)| required > limit) {
        Some((resource, required, limit, source)) => {
            Err(format!("{resource}: {required} required, {limit} {source}"))
        }
        None => Ok(()),
    }
}
