//! The memory budget of the process: the bytes that its buffers hold for clients and hosts, by what holds them, against
//! one limit. All workers share it, and two processes of one gateway have half of it each during a hot restart.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// What holds bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// Received bytes of clients that are not parsed yet, and their arrival times.
    ClientInput,
    /// Statements in flight, and their copies on the way to hosts.
    Statements,
    /// Answers that clients have not read yet.
    ClientOutput,
    /// Responses of hosts that are not complete, and bytes still to be written to hosts.
    Hosts,
    /// The same of attempts that have been abandoned, whose answers are still read.
    AbandonedAttempts,
    /// Answers and chunks on their way between workers.
    Mailboxes,
    /// Messages for the other process of a hot restart.
    Handover,
}

impl Holder {
    /// All of them, with the names of their metrics.
    pub const NAMES: [(Holder, &'static str); 7] = [
        (Holder::ClientInput, "client_input"),
        (Holder::Statements, "statements"),
        (Holder::ClientOutput, "client_output"),
        (Holder::Hosts, "hosts"),
        (Holder::AbandonedAttempts, "abandoned_attempts"),
        (Holder::Mailboxes, "mailboxes"),
        (Holder::Handover, "handover"),
    ];
}

/// The bytes that are held, by holder, and their limit.
#[derive(Debug)]
pub struct MemoryBudget {
    capacity: usize,
    /// Number of processes of this gateway that share the capacity.
    processes: AtomicUsize,
    held: [AtomicUsize; Holder::NAMES.len()],
}

impl MemoryBudget {
    /// A budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { capacity, processes: AtomicUsize::new(1), held: Default::default() })
    }

    /// Divides the capacity equally among `processes` processes of this gateway.
    pub fn share(&self, processes: usize) {
        self.processes.store(processes.max(1), Ordering::Relaxed);
    }

    /// Largest number of bytes that this process may hold.
    pub fn limit(&self) -> usize {
        self.capacity / self.processes.load(Ordering::Relaxed)
    }

    /// Number of bytes that a holder has at present.
    pub fn held(&self, holder: Holder) -> usize {
        self.held[holder as usize].load(Ordering::Relaxed)
    }

    /// Number of bytes that all holders have at present.
    pub fn total(&self) -> usize {
        self.held.iter().map(|bytes| bytes.load(Ordering::Relaxed)).sum()
    }

    /// Whether more bytes are held than the limit allows.
    pub fn is_exceeded(&self) -> bool {
        self.total() > self.limit()
    }

    /// An entry for bytes of a holder, with none at first.
    pub fn entry(self: &Arc<Self>, holder: Holder) -> HeldBytes {
        HeldBytes { budget: self.clone(), holder, bytes: 0 }
    }

    /// An entry for this number of bytes of a holder.
    pub fn hold(self: &Arc<Self>, holder: Holder, bytes: usize) -> HeldBytes {
        let mut entry = self.entry(holder);
        entry.set(bytes);
        entry
    }
}

impl fmt::Display for MemoryBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (holder, name) in Holder::NAMES {
            writeln!(f, "gw.memory.{name}:{}|g", self.held(holder))?;
        }
        writeln!(f, "gw.memory.limit:{}|g", self.limit())
    }
}

/// The bytes of one buffer, or of several that belong together, in a [`MemoryBudget`]. They are returned when it is
/// dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Arc<MemoryBudget>,
    holder: Holder,
    bytes: usize,
}

impl HeldBytes {
    /// Changes the number of bytes.
    pub fn set(&mut self, bytes: usize) {
        let held = &self.budget.held[self.holder as usize];
        if bytes >= self.bytes {
            held.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else {
            held.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }

    /// The number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
