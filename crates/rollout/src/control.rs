//! A control machine's part: it accepts documents, has them numbered by the register, keeps the newest with the one before,
//! gives them to its gateways, and knows what each of these has in force. It says nothing of a version before the register
//! has told it, however late it wakes up.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::follower::{Link, Machine, Pace};
use crate::version::{Digest, Document};
use crate::wire::Status;

/// The register's name.
pub const REGISTER: &str = "config/version";

/// What a control machine is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// Its own name, one of `machines`.
    pub name: String,
    /// All control machines, in the settings' order.
    pub machines: Vec<Machine>,
    /// As the gateways have it.
    pub pace: Pace,
    /// Between two looks at the register.
    pub look: Duration,
    /// A look that began longer ago does not count any more.
    pub fresh: Duration,
    /// How long an operator waits for a version's acceptance at most.
    pub accept: Duration,
    /// For random numbers.
    pub seed: u64,
}

/// Where documents are judged and kept.
pub trait Desk {
    /// Checks a document whole, as `dunemount check` does, and against the version before it.
    ///
    /// # Errors
    /// The first fault, with its place.
    fn check(&mut self, document: &[u8], before: Option<&Document>) -> Result<(), String>;

    /// Puts versions and documents without a number in place, whole, so that they stay; false if that is not certain.
    /// What was kept before and is not named here may go.
    fn store(&mut self, kept: &Keeping) -> bool;
}

/// What a control machine keeps on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Keeping {
    /// The newest version and the one before, newest last.
    pub versions: Vec<Document>,
    /// Documents that may have got a number, oldest first; [`crate::version::NAMED`] at most.
    pub waiting: Vec<(Digest, Arc<[u8]>)>,
}

impl Keeping {
    /// As it is kept on a disk.
    pub fn file(&self) -> Vec<u8> {
        todo!()
    }

    /// Reads [`Keeping::file`].
    ///
    /// # Errors
    /// Why the bytes are no such file, in words for the operator.
    pub fn read(file: &[u8]) -> Result<Keeping, String> {
        let _ = file;
        todo!()
    }
}

/// What the register says to [`Out::Look`] and [`Out::Change`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// A majority has told that it holds this, and that it was chosen; the look began at that time.
    Holds(Option<Vec<u8>>, Duration),
    /// A majority has promised: it holds this, and waits for [`Out::Propose`] or [`Out::Withdraw`].
    Promised(Option<Vec<u8>>),
    /// It holds what was proposed.
    Chosen(Vec<u8>),
    /// Somebody else came between, or no majority answered in time. `proposed`: what was proposed may still be chosen.
    Failed {
        /// Whether something had been proposed.
        proposed: bool,
        /// No majority answered.
        no_majority: bool,
    },
}

/// What its driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    /// Connects to the control machine in this place of the settings, under this number; then [`Control::opened`] or
    /// [`Control::closed`].
    Connect(Link, usize),
    /// Sends bytes.
    Send(Link, Arc<[u8]>),
    /// Sends what was said before, then closes; nothing more is said of it.
    Close(Link),
    /// Looks what the register holds; then [`Told::Holds`] or [`Told::Failed`].
    Look,
    /// Begins to change the register; then [`Told::Promised`] or [`Told::Failed`].
    Change,
    /// Proposes a value; then [`Told::Chosen`] or [`Told::Failed`].
    Propose(Vec<u8>),
    /// Proposes nothing after all; the register is free for others, and nothing more is told.
    Withdraw,
    /// A line for the log.
    Note(String),
}

/// A control machine's part.
pub struct Control {
    settings: Settings,
    out: VecDeque<Out>,
}

impl Control {
    /// A control machine with what its disk keeps.
    pub fn new(settings: Settings, kept: Keeping, now: Duration) -> Control {
        let _ = (kept, now);
        Control { settings, out: VecDeque::new() }
    }

    /// What it was told at its start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Somebody has connected: the connection's number. At most [`crate::wire::MOST_GATEWAYS`] and some are let in; none
    /// says to close it unheard.
    pub fn accepted(&mut self, now: Duration) -> Option<Link> {
        let _ = now;
        todo!()
    }

    /// A connection of its own is up.
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
    pub fn received(&mut self, now: Duration, link: Link, bytes: &[u8], desk: &mut impl Desk) {
        let _ = (now, link, bytes, desk.check(&[], None));
        todo!()
    }

    /// The register has told.
    pub fn told(&mut self, now: Duration, told: Told, desk: &mut impl Desk) {
        let _ = (now, told, desk.check(&[], None));
        todo!()
    }

    /// Lets time act.
    pub fn tick(&mut self, now: Duration) {
        let _ = now;
        todo!()
    }

    /// When [`Control::tick`] has something to do next.
    pub fn due(&self) -> Duration {
        todo!()
    }

    /// What is to be done next.
    pub fn next(&mut self) -> Option<Out> {
        self.out.pop_front()
    }

    /// What it knows; the driver fills in the members.
    pub fn status(&self, now: Duration) -> Status {
        let _ = now;
        todo!()
    }
}
