//! When a gateway has acted on an event: what it is to know, what it knows, and what it still lacks.

use std::sync::Arc;

/// What a gateway is to know of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Want {
    /// It does not matter.
    Any,
    /// That it is gone.
    Gone,
    /// That it is there with a start of this number or later.
    From(u64),
}

/// What all gateways are to know after an event.
#[derive(Clone, Debug)]
pub struct Goal {
    /// The event's number.
    pub id: usize,
    /// Of the others, for each region of the gateway that is to know it.
    pub others: Vec<Vec<Want>>,
    /// The list's version, at least.
    pub version: u64,
    /// Whether the configuration is to be read anew.
    pub configuration: bool,
}

/// What one gateway knows, as far as goals go.
#[derive(Debug)]
pub struct Progress {
    me: usize,
    region: usize,
    /// The start of each other one that it knows; zero for one that is gone.
    starts: Vec<u64>,
    version: u64,
    configured: bool,
    /// The number of the goal that was set last, reached or not.
    last: usize,
    /// It stays once it is reached, so that what it wants gone is known as such until the next.
    goal: Option<Arc<Goal>>,
    told: bool,
    lacks: usize,
    /// Others that it has taken for gone, over its whole life.
    pub losses: u64,
    /// Of these, the ones that nothing had ended.
    pub mistaken: u64,
}

impl Progress {
    /// One that knows nothing of so many.
    pub fn new(me: usize, region: usize, gateways: usize) -> Progress {
        let starts = vec![0; gateways];
        Progress {
            me,
            region,
            starts,
            version: 0,
            configured: false,
            last: 0,
            goal: None,
            told: false,
            lacks: 0,
            losses: 0,
            mistaken: 0,
        }
    }

    /// Another one is there.
    pub fn came(&mut self, other: usize, start: u64) {
        self.know(other, start);
    }

    /// Another one is gone, if this start of it is the one that is known; without a number any is.
    pub fn went(&mut self, other: usize, start: Option<u64>) {
        if start.is_none_or(|start| self.starts.get(other) == Some(&start)) {
            self.losses += 1;
            self.mistaken += u64::from(self.wants(other) != Some(Want::Gone));
            self.know(other, 0);
        }
    }

    fn know(&mut self, other: usize, start: u64) {
        let before = self.is_lacking(other);
        let Some(known) = self.starts.get_mut(other) else { return };
        *known = start;
        let after = self.is_lacking(other);
        self.lacks = self.lacks + usize::from(after) - usize::from(before);
    }

    fn wants(&self, other: usize) -> Option<Want> {
        self.goal.as_ref()?.others.get(self.region)?.get(other).copied()
    }

    fn is_lacking(&self, other: usize) -> bool {
        let want = self.wants(other);
        let Some((want, start)) = want.zip(self.starts.get(other)).filter(|_| other != self.me) else {
            return false;
        };
        match want {
            Want::Any => false,
            Want::Gone => *start != 0,
            Want::From(least) => *start == 0 || *start < least,
        }
    }

    /// Takes over whom it knows, as its door tells, if it lacks nothing then; what the door tells is older than the log,
    /// which may leave out lines.
    pub fn adopt(&mut self, starts: Vec<u64>) {
        let logged = std::mem::replace(&mut self.starts, starts);
        let lacks = (0..self.starts.len()).filter(|other| self.is_lacking(*other)).count();
        if lacks == 0 {
            self.lacks = 0;
        } else {
            self.starts = logged;
        }
    }

    /// A list was taken in.
    pub fn listed(&mut self, version: u64) {
        self.version = version;
    }

    /// The configuration was read.
    pub fn configured(&mut self) {
        self.configured = true;
    }

    /// Goes after this from now on; told of it again it changes nothing.
    pub fn pursue(&mut self, goal: Arc<Goal>) {
        if std::mem::replace(&mut self.last, goal.id) == goal.id {
            return;
        }
        self.goal = Some(goal);
        self.told = false;
        self.configured = false;
        self.lacks = (0..self.starts.len()).filter(|other| self.is_lacking(*other)).count();
    }

    /// The goal's number, once it has been reached; told once.
    pub fn reached(&mut self) -> Option<usize> {
        let goal = self.goal.as_ref().filter(|_| !self.told)?;
        let configured = self.configured || !goal.configuration;
        let reached = self.lacks == 0 && self.version >= goal.version && configured;
        self.told = reached;
        reached.then_some(goal.id)
    }
}
