//! Convergence after an event: the target state, what each gateway knows, and what it still lacks.

use std::sync::Arc;

/// The knowledge that a target expects of a gateway about another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// Any knowledge meets the target.
    Anything,
    /// The other gateway is known to be gone.
    Absent,
    /// The other gateway is known as live, with this start number (Unix time in milliseconds) or a later one.
    StartedSince(u64),
}

/// The state that all gateways are to reach after an event.
#[derive(Clone, Debug)]
pub struct ConvergenceTarget {
    /// Number of the target within the run, from 1 on.
    pub id: usize,
    /// By the region of the gateway that is to know it: the expectation about each gateway, by index.
    pub others: Vec<Vec<Expected>>,
    /// The lowest version of the endpoint list that meets the target.
    pub version: u64,
    /// Whether the configuration has to be reloaded after the target was set.
    pub configuration: bool,
}

/// Tracks how far one gateway has converged on the current target.
#[derive(Debug)]
pub struct ConvergenceTracker {
    own_index: usize,
    region: usize,
    /// The start number of each gateway that this one knows; zero for one that is gone or not known yet.
    starts: Vec<u64>,
    version: u64,
    configuration_reloaded: bool,
    /// The id of the target that was set last, reached or not.
    last_target: usize,
    /// Kept after it is reached: until the next target, the loss of a gateway that it expects absent is no mistake.
    target: Option<Arc<ConvergenceTarget>>,
    reported: bool,
    /// Number of gateways about which the target is not met yet.
    missing: usize,
    /// How often it has declared another gateway gone, in total.
    pub losses: u64,
    /// Of these, the losses of gateways that no event had ended.
    pub mistaken_losses: u64,
}

impl ConvergenceTracker {
    /// A tracker for the gateway with index `own_index`, which knows none of the `gateways` yet.
    pub fn new(own_index: usize, region: usize, gateways: usize) -> ConvergenceTracker {
        let starts = vec![0; gateways];
        ConvergenceTracker {
            own_index,
            region,
            starts,
            version: 0,
            configuration_reloaded: false,
            last_target: 0,
            target: None,
            reported: false,
            missing: 0,
            losses: 0,
            mistaken_losses: 0,
        }
    }

    /// Records that another gateway has joined with this start number.
    pub fn member_joined(&mut self, other: usize, start: u64) {
        self.set_start(other, start);
    }

    /// Records that another gateway is gone. With a start number, only if that is the start that is known.
    pub fn member_left(&mut self, other: usize, start: Option<u64>) {
        if start.is_none_or(|start| self.starts.get(other) == Some(&start)) {
            self.losses += 1;
            self.mistaken_losses += u64::from(self.expected(other) != Some(Expected::Absent));
            self.set_start(other, 0);
        }
    }

    fn set_start(&mut self, other: usize, start: u64) {
        let before = self.is_missing(other);
        let Some(known) = self.starts.get_mut(other) else { return };
        *known = start;
        let after = self.is_missing(other);
        self.missing = self.missing + usize::from(after) - usize::from(before);
    }

    fn expected(&self, other: usize) -> Option<Expected> {
        self.target.as_ref()?.others.get(self.region)?.get(other).copied()
    }

    fn is_missing(&self, other: usize) -> bool {
        let expected = self.expected(other);
        let Some((expected, start)) =
            expected.zip(self.starts.get(other)).filter(|_| other != self.own_index)
        else {
            return false;
        };
        match expected {
            Expected::Anything => false,
            Expected::Absent => *start != 0,
            Expected::StartedSince(earliest) => *start == 0 || *start < earliest,
        }
    }

    /// Adopts the members reported by the gateway's admin interface if they meet the target. Otherwise the state from
    /// the log is kept: the report is older than the log, but the log may leave out lines.
    pub fn adopt_status(&mut self, starts: Vec<u64>) {
        let logged = std::mem::replace(&mut self.starts, starts);
        let missing = (0..self.starts.len()).filter(|other| self.is_missing(*other)).count();
        if missing == 0 {
            self.missing = 0;
        } else {
            self.starts = logged;
        }
    }

    /// Records that the gateway has applied this version of the endpoint list.
    pub fn list_received(&mut self, version: u64) {
        self.version = version;
    }

    /// Records that the gateway has reloaded its configuration.
    pub fn configuration_read(&mut self) {
        self.configuration_reloaded = true;
    }

    /// Sets the target to converge on; setting the same one again changes nothing.
    pub fn set_target(&mut self, target: Arc<ConvergenceTarget>) {
        if std::mem::replace(&mut self.last_target, target.id) == target.id {
            return;
        }
        self.target = Some(target);
        self.reported = false;
        self.configuration_reloaded = false;
        self.missing = (0..self.starts.len()).filter(|other| self.is_missing(*other)).count();
    }

    /// Returns the target's id once after it has been reached.
    pub fn take_reached(&mut self) -> Option<usize> {
        let target = self.target.as_ref().filter(|_| !self.reported)?;
        let configuration_reloaded = self.configuration_reloaded || !target.configuration;
        let reached = self.missing == 0 && self.version >= target.version && configuration_reloaded;
        self.reported = reached;
        reached.then_some(target.id)
    }
}
