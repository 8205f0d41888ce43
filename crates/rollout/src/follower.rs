//! A gateway's part: it keeps one connection to a control machine (its own zone's if that is to be had), tells what is in
//! force, and takes what is newer, whole. It never goes back.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::version::{Document, Version};
use crate::wire::Refusal;

/// A connection: numbers are given by whoever keeps the state, and never used again.
pub type Link = u64;

/// A control machine, as the settings name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// How long what may take.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// A gateway tells what is in force, at least.
    pub tell: Duration,
    /// A control machine says that it is there.
    pub alive: Duration,
    /// One that has said nothing for so long, has not come up by then, or has not been fresh for so long, is left for
    /// the next.
    pub silent: Duration,
    /// Within this, drawn, a gateway tries its own zone's machine again.
    pub home: Duration,
    /// The longest pause, drawn, after all machines have been tried in vain.
    pub pause: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            tell: Duration::from_secs(1),
            alive: Duration::from_millis(150),
            silent: Duration::from_millis(500),
            home: Duration::from_secs(30),
            pause: Duration::from_secs(5),
        }
    }
}

/// What a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// The gateway's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The control machines, in the settings' order, which is the same everywhere. One's own zone's come first, then the
    /// others behind them around the ring.
    pub machines: Vec<Machine>,
    /// How long what may take.
    pub pace: Pace,
    /// For random numbers.
    pub seed: u64,
}

/// What its driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    /// Connects to the machine in this place of the settings, under this number; then [`Follower::opened`] or
    /// [`Follower::closed`].
    Connect(Link, usize),
    /// Sends bytes.
    Send(Link, Arc<[u8]>),
    /// Closes a connection; nothing more is said of it.
    Close(Link),
    /// Takes a version, all of it or nothing, and stores it before it is in force; then [`Follower::taken`]. One at a time.
    Take(Document),
}

/// How a gateway stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// What is in force.
    pub in_force: Option<Version>,
    /// The last version that could not be taken, if that is newer.
    pub refused: Option<Refusal>,
    /// The control machine that it hears, by its place in the settings.
    pub machine: Option<usize>,
    /// Since when no fresh control machine has been heard; zero while one is.
    pub cut_off: Duration,
    /// Versions that were offered and are older than the one in force.
    pub older: u64,
    /// A number that came with two digests: told to the operators, nothing is taken.
    pub conflicts: u64,
}

/// A gateway's part.
pub struct Follower {
    settings: Settings,
    out: VecDeque<Out>,
}

impl Follower {
    /// A gateway with the version that it has in force, if it keeps one.
    pub fn new(settings: Settings, in_force: Option<Version>, now: Duration) -> Follower {
        let _ = (in_force, now);
        Follower { settings, out: VecDeque::new() }
    }

    /// What it was told at its start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// A connection is up.
    pub fn opened(&mut self, now: Duration, link: Link) {
        let _ = (now, link);
        todo!()
    }

    /// A connection could not be made, or has ended.
    pub fn closed(&mut self, now: Duration, link: Link) {
        let _ = (now, link);
        todo!()
    }

    /// Bytes have come.
    pub fn received(&mut self, now: Duration, link: Link, bytes: &[u8]) {
        let _ = (now, link, bytes);
        todo!()
    }

    /// What [`Out::Take`] asked for is stored and in force, or could not be taken: then nothing has changed.
    pub fn taken(&mut self, now: Duration, version: Version, result: Result<(), String>) {
        let _ = (now, version, result);
        todo!()
    }

    /// Lets time act.
    pub fn tick(&mut self, now: Duration) {
        let _ = now;
        todo!()
    }

    /// When [`Follower::tick`] has something to do next.
    pub fn due(&self) -> Duration {
        todo!()
    }

    /// What is to be done next.
    pub fn next(&mut self) -> Option<Out> {
        self.out.pop_front()
    }

    /// How it stands.
    pub fn standing(&self, now: Duration) -> Standing {
        let _ = now;
        todo!()
    }
}
