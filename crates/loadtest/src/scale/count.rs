//! What is counted at a gateway, and what the system tells of processes and of the machine.

use std::fs;
use std::time::Duration;

use dunemount_fleet::frame::MessageKind;
use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;

/// Messages and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Flow {
    /// Messages.
    pub messages: u64,
    /// Bytes of their payload, without the network's own heads.
    pub bytes: u64,
}

impl Flow {
    /// Books one message.
    pub fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    fn since(self, before: Flow) -> Flow {
        Flow {
            messages: self.messages.saturating_sub(before.messages),
            bytes: self.bytes.saturating_sub(before.bytes),
        }
    }
}

/// Everything that is counted at a gateway since its start; a start anew goes on with the counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent, by [`MessageKind::ALL`].
    pub sent: [Flow; 4],
    /// Datagrams received, by [`MessageKind::ALL`].
    pub received: [Flow; 4],
    /// Datagrams that the cut between regions held back.
    pub held: u64,
    /// Calls to discovery, and the bytes of them.
    pub calls: Flow,
    /// Lists with news, and their bytes.
    pub lists: Flow,
    /// Other answers of discovery, and their bytes: of a wait that was over without news, and of calls that failed.
    pub idle: Flow,
    /// Bytes sent to control servers.
    pub control_sent: u64,
    /// Bytes received from control servers.
    pub control_received: u64,
    /// Processor time of the fleet's part.
    pub fleet_cpu: Duration,
    /// Processor time of the list's part: the watch, the directory, the balancer.
    pub list_cpu: Duration,
    /// Processor time of the part that follows the control servers, versions taken in it.
    pub control_cpu: Duration,
    /// Others taken for gone.
    pub losses: u64,
    /// Of these, the ones that nothing had ended.
    pub mistaken: u64,
}

impl Counts {
    /// Books a datagram by its kind; one of no kind is the gateway's to refuse.
    pub fn book(flows: &mut [Flow; 4], kind: Option<MessageKind>, bytes: usize) {
        if let Some(flow) = kind.and_then(|kind| flows.get_mut(kind as usize - 1)) {
            flow.add(bytes);
        }
    }

    /// What has come since.
    pub fn since(&self, before: &Counts) -> Counts {
        let flows = |now: &[Flow; 4], before: &[Flow; 4]| std::array::from_fn(|at| now[at].since(before[at]));
        Counts {
            sent: flows(&self.sent, &before.sent),
            received: flows(&self.received, &before.received),
            held: self.held.saturating_sub(before.held),
            calls: self.calls.since(before.calls),
            lists: self.lists.since(before.lists),
            idle: self.idle.since(before.idle),
            control_sent: self.control_sent.saturating_sub(before.control_sent),
            control_received: self.control_received.saturating_sub(before.control_received),
            fleet_cpu: self.fleet_cpu.saturating_sub(before.fleet_cpu),
            list_cpu: self.list_cpu.saturating_sub(before.list_cpu),
            control_cpu: self.control_cpu.saturating_sub(before.control_cpu),
            losses: self.losses.saturating_sub(before.losses),
            mistaken: self.mistaken.saturating_sub(before.mistaken),
        }
    }

    /// Bytes sent and received, of datagrams, of discovery and of control servers.
    pub fn bytes(&self) -> u64 {
        let datagrams = self.sent.iter().chain(&self.received).map(|flow| flow.bytes).sum::<u64>();
        let control = self.control_sent + self.control_received;
        datagrams + self.calls.bytes + self.lists.bytes + self.idle.bytes + control
    }

    /// Datagrams sent and received.
    pub fn messages(&self) -> u64 {
        self.sent.iter().chain(&self.received).map(|flow| flow.messages).sum()
    }

    /// Processor time.
    pub fn cpu(&self) -> Duration {
        self.fleet_cpu + self.list_cpu + self.control_cpu
    }
}

/// Processor time of this thread so far.
pub fn thread_cpu() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.clamp(0, 999_999_999) as u32)
}

fn field(path: &str, name: &str) -> Option<u64> {
    let text = fs::read_to_string(path).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Memory of a process in KiB, as the system has it resident; none once it is gone.
pub fn resident(process: &str) -> Option<u64> {
    field(&format!("/proc/{process}/status"), "VmRSS:")
}

/// Memory in MiB that the system could still give.
pub fn available() -> Option<u64> {
    field("/proc/meminfo", "MemAvailable:").map(|kib| kib / 1024)
}

/// Processor time of a process's threads with each of these names, and of all of them.
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

/// What the machine has done since it started: time at work and in all, in ticks over all cores; UDP datagrams taken
/// in; bytes over loopback.
#[derive(Clone, Copy, Debug, Default)]
pub struct Machine {
    busy: u64,
    all: u64,
    datagrams: u64,
    loopback: u64,
}

impl Machine {
    /// As it stands; what cannot be read is zero.
    pub fn look() -> Machine {
        let read = |path: &str| fs::read_to_string(path).unwrap_or_default();
        let numbers = |line: &str| -> Vec<u64> {
            line.split_whitespace().filter_map(|word| word.parse().ok()).collect()
        };
        let stat = numbers(read("/proc/stat").lines().next().unwrap_or_default());
        // user, nice, system, idle, iowait, irq, softirq, steal; guests are counted in the first two.
        let all: u64 = stat.iter().take(8).sum();
        let idle: u64 = stat.iter().skip(3).take(2).sum();
        let snmp = read("/proc/net/snmp");
        let udp = snmp.lines().filter_map(|line| line.strip_prefix("Udp:")).nth(1).map(numbers);
        let dev = read("/proc/net/dev");
        let loopback = dev.lines().find_map(|line| line.trim().strip_prefix("lo:")).map(numbers);
        let first = |numbers: Option<Vec<u64>>| numbers.and_then(|n| n.first().copied()).unwrap_or(0);
        Machine { busy: all - idle, all, datagrams: first(udp), loopback: first(loopback) }
    }

    /// Part of its cores at work since.
    pub fn busy_since(&self, before: &Machine) -> f64 {
        self.busy.saturating_sub(before.busy) as f64 / self.all.saturating_sub(before.all).max(1) as f64
    }

    /// UDP datagrams and bytes of all networking over loopback since, of everything that runs on the machine.
    pub fn traffic_since(&self, before: &Machine) -> (u64, u64) {
        (self.datagrams.saturating_sub(before.datagrams), self.loopback.saturating_sub(before.loopback))
    }
}
