//! Counters of a gateway, and processor time, memory and traffic as Linux reports them for processes and the machine.

use std::fs;
use std::time::Duration;

use dunemount_fleet::frame::MessageKind;
use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;

/// Number and size of messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCount {
    /// Number of messages.
    pub messages: u64,
    /// Bytes of their payload, without network headers.
    pub bytes: u64,
}

impl TrafficCount {
    /// Counts one message of this many bytes.
    pub fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    fn since(self, before: TrafficCount) -> TrafficCount {
        TrafficCount {
            messages: self.messages.saturating_sub(before.messages),
            bytes: self.bytes.saturating_sub(before.bytes),
        }
    }
}

/// Counters of a gateway. A restart of the gateway continues with them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent, by [`MessageKind::ALL`].
    pub sent: [TrafficCount; 4],
    /// Datagrams received, by [`MessageKind::ALL`].
    pub received: [TrafficCount; 4],
    /// Datagrams dropped because the regions were partitioned.
    pub dropped: u64,
    /// Calls to discovery, and the bytes of the requests.
    pub calls: TrafficCount,
    /// Answers of discovery with a new version of the list, and their bytes.
    pub lists: TrafficCount,
    /// Other answers of discovery, and their bytes: waits that ended without a new version, and failed calls.
    pub idle: TrafficCount,
    /// Bytes sent to control servers.
    pub control_sent: u64,
    /// Bytes received from control servers.
    pub control_received: u64,
    /// Processor time of the fleet's node.
    pub fleet_cpu: Duration,
    /// Processor time of the endpoint list: the discovery watch, the directory and the balancer.
    pub list_cpu: Duration,
    /// Processor time of following the control servers, including the application of versions.
    pub control_cpu: Duration,
    /// How often another gateway was declared gone.
    pub losses: u64,
    /// Of these, the losses of gateways that no event had ended.
    pub mistaken_losses: u64,
}

impl Counts {
    /// Counts a datagram by its kind. One of an unknown kind is not counted; the gateway rejects it.
    pub fn record(flows: &mut [TrafficCount; 4], kind: Option<MessageKind>, bytes: usize) {
        if let Some(flow) = kind.and_then(|kind| flows.get_mut(kind as usize - 1)) {
            flow.add(bytes);
        }
    }

    /// The increase since an earlier reading.
    pub fn since(&self, before: &Counts) -> Counts {
        let flows = |now: &[TrafficCount; 4], before: &[TrafficCount; 4]| {
            std::array::from_fn(|at| now[at].since(before[at]))
        };
        Counts {
            sent: flows(&self.sent, &before.sent),
            received: flows(&self.received, &before.received),
            dropped: self.dropped.saturating_sub(before.dropped),
            calls: self.calls.since(before.calls),
            lists: self.lists.since(before.lists),
            idle: self.idle.since(before.idle),
            control_sent: self.control_sent.saturating_sub(before.control_sent),
            control_received: self.control_received.saturating_sub(before.control_received),
            fleet_cpu: self.fleet_cpu.saturating_sub(before.fleet_cpu),
            list_cpu: self.list_cpu.saturating_sub(before.list_cpu),
            control_cpu: self.control_cpu.saturating_sub(before.control_cpu),
            losses: self.losses.saturating_sub(before.losses),
            mistaken_losses: self.mistaken_losses.saturating_sub(before.mistaken_losses),
        }
    }

    /// Bytes sent and received: datagrams, discovery and control servers.
    pub fn bytes(&self) -> u64 {
        let datagrams = self.sent.iter().chain(&self.received).map(|flow| flow.bytes).sum::<u64>();
        let control = self.control_sent + self.control_received;
        datagrams + self.calls.bytes + self.lists.bytes + self.idle.bytes + control
    }

    /// Number of datagrams, sent and received.
    pub fn messages(&self) -> u64 {
        self.sent.iter().chain(&self.received).map(|flow| flow.messages).sum()
    }

    /// Processor time of all three components.
    pub fn cpu(&self) -> Duration {
        self.fleet_cpu + self.list_cpu + self.control_cpu
    }
}

/// Processor time of the calling thread so far.
pub fn thread_cpu() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.clamp(0, 999_999_999) as u32)
}

fn proc_field(path: &str, name: &str) -> Option<u64> {
    let text = fs::read_to_string(path).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Resident memory of a process (`self` or its id) in KiB; `None` once it is gone.
pub fn resident_kib(process: &str) -> Option<u64> {
    proc_field(&format!("/proc/{process}/status"), "VmRSS:")
}

/// Available memory of the machine in MiB.
pub fn available_mib() -> Option<u64> {
    proc_field("/proc/meminfo", "MemAvailable:").map(|kib| kib / 1024)
}

/// Processor time of a process's threads by each of these thread names, and of all its threads together.
pub fn process_cpu<const N: usize>(process: u32, names: [&str; N]) -> ([Duration; N], Duration) {
    let (mut named, mut all) = ([Duration::ZERO; N], Duration::ZERO);
    for thread in fs::read_dir(format!("/proc/{process}/task")).into_iter().flatten().flatten() {
        let read = |file: &str| fs::read_to_string(thread.path().join(file)).unwrap_or_default();
        let spent = read("schedstat").split_whitespace().next().and_then(|text| text.parse().ok());
        let spent = Duration::from_nanos(spent.unwrap_or(0));
        all += spent;
        let comm = read("comm");
        if let Some(named) =
            names.iter().position(|name| *name == comm.trim()).and_then(|at| named.get_mut(at))
        {
            *named += spent;
        }
    }
    (named, all)
}

/// Counters of the whole machine since its boot.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineSample {
    /// Clock ticks at work, over all cores.
    busy_ticks: u64,
    /// Clock ticks at work or idle, over all cores.
    total_ticks: u64,
    /// Received UDP datagrams.
    datagrams: u64,
    loopback_bytes: u64,
}

impl MachineSample {
    /// Reads the current counters; one that cannot be read is zero.
    pub fn read() -> MachineSample {
        let read = |path: &str| fs::read_to_string(path).unwrap_or_default();
        let numbers = |line: &str| -> Vec<u64> {
            line.split_whitespace().filter_map(|word| word.parse().ok()).collect()
        };
        let stat = numbers(read("/proc/stat").lines().next().unwrap_or_default());
        // user, nice, system, idle, iowait, irq, softirq, steal; guest time is included in the first two.
        let total: u64 = stat.iter().take(8).sum();
        let idle: u64 = stat.iter().skip(3).take(2).sum();
        let snmp = read("/proc/net/snmp");
        let udp = snmp.lines().filter_map(|line| line.strip_prefix("Udp:")).nth(1).map(numbers);
        let dev = read("/proc/net/dev");
        let loopback_bytes = dev.lines().find_map(|line| line.trim().strip_prefix("lo:")).map(numbers);
        let first = |numbers: Option<Vec<u64>>| numbers.and_then(|n| n.first().copied()).unwrap_or(0);
        MachineSample {
            busy_ticks: total - idle,
            total_ticks: total,
            datagrams: first(udp),
            loopback_bytes: first(loopback_bytes),
        }
    }

    /// Fraction of the machine's cores at work since an earlier reading.
    pub fn busy_since(&self, before: &MachineSample) -> f64 {
        self.busy_ticks.saturating_sub(before.busy_ticks) as f64
            / self.total_ticks.saturating_sub(before.total_ticks).max(1) as f64
    }

    /// Received UDP datagrams and bytes over loopback since an earlier reading, of everything that runs on the machine.
    pub fn traffic_since(&self, before: &MachineSample) -> (u64, u64) {
        (
            self.datagrams.saturating_sub(before.datagrams),
            self.loopback_bytes.saturating_sub(before.loopback_bytes),
        )
    }
}
