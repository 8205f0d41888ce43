//! Convergence after an event: what a gateway is to know, what it knows, and what it still lacks.

use std::sync::Arc;

/// What a gateway is to know of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// Nothing.
    Anything,
    /// That it is gone.
    Absent,
    /// That it is there with a start of this number or later.
    StartedSince(u64),
}

/// What all gateways are to know after an event.
#[derive(Clone, Debug)]
pub struct ConvergenceTarget {
    /// Its number in the run.
    pub id: usize,
    /// Of the others, for each region of the gateway that is to know it.
    pub others: Vec<Vec<Expected>>,
    /// The list's version, at least.
    pub version: u64,
    /// Whether the configuration is to be read anew.
    pub configuration: bool,
}

/// What one gateway knows, as far as targets ask for it.
#[derive(Debug)]
pub struct ConvergenceTracker {
    me: usize,
    region: usize,
    /// The start of each other one that it knows; zero for one that is gone.
    starts: Vec<u64>,
    version: u64,
    configured: bool,
    /// The number of the target that was set last, reached or not.
    last: usize,
    /// It stays once it is reached, so that an expected absence is known as such until the next.
    target: Option<Arc<ConvergenceTarget>>,
    reported: bool,
    /// Others about which it does not know yet what the target expects.
    missing: usize,
    /// Others that it has taken for gone, over its whole life.
    pub losses: u64,
    /// Of these, the ones that nothing had ended.
    pub mistaken: u64,
}

impl ConvergenceTracker {
    /// A gateway that knows nothing of so many others.
    pub fn new(me: usize, region: usize, gateways: usize) -> ConvergenceTracker {
        let starts = vec![0; gateways];
        ConvergenceTracker {
            me,
            region,
            starts,
            version: 0,
            configured: false,
            last: 0,
            target: None,
            reported: false,
            missing: 0,
            losses: 0,
            mistaken: 0,
        }
    }

    /// Another one is there.
    pub fn member_joined(&mut self, other: usize, start: u64) {
        self.set_start(other, start);
    }

    /// Another one is gone, if this start of it is the one that is known; without a number any is.
    pub fn member_left(&mut self, other: usize, start: Option<u64>) {
        if start.is_none_or(|start| self.starts.get(other) == Some(&start)) {
            self.losses += 1;
            self.mistaken += u64::from(self.expected(other) != Some(Expected::Absent));
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
        let Some((expected, start)) = expected.zip(self.starts.get(other)).filter(|_| other != self.me)
        else {
            return false;
        };
        match expected {
            Expected::Anything => false,
            Expected::Absent => *start != 0,
            Expected::StartedSince(least) => *start == 0 || *start < least,
        }
    }

    /// Takes over the members that its admin interface reports, if nothing is missing then: that report is older than the log,
    /// which may leave out lines.
    pub fn adopt_status(&mut self, starts: Vec<u64>) {
        let logged = std::mem::replace(&mut self.starts, starts);
        let missing = (0..self.starts.len()).filter(|other| self.is_missing(*other)).count();
        if missing == 0 {
            self.missing = 0;
        } else {
            self.starts = logged;
        }
    }

    /// A list was taken in.
    pub fn list_received(&mut self, version: u64) {
        self.version = version;
    }

    /// The configuration was read.
    pub fn configuration_read(&mut self) {
        self.configured = true;
    }

    /// Converges on this from now on; the same target again changes nothing.
    pub fn set_target(&mut self, target: Arc<ConvergenceTarget>) {
        if std::mem::replace(&mut self.last, target.id) == target.id {
            return;
        }
        self.target = Some(target);
        self.reported = false;
        self.configured = false;
        self.missing = (0..self.starts.len()).filter(|other| self.is_missing(*other)).count();
    }

    /// The target's number, once it has been reached; returned once.
    pub fn take_reached(&mut self) -> Option<usize> {
        let target = self.target.as_ref().filter(|_| !self.reported)?;
        let configured = self.configured || !target.configuration;
        let reached = self.missing == 0 && self.version >= target.version && configured;
        self.reported = reached;
        reached.then_some(target.id)
    }
}
