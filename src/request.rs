//! A request's life: who is owed its answer, which attempt is out and when the client gives up.
//! Knows no protocol and no sockets: owners and connections are whatever the caller names them by.

use std::collections::{BTreeMap, BTreeSet};

use crate::balancer::Ticket;
use crate::Micros;

/// How far an attempt's bytes had come when it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// No connection was up for it.
    NotConnected,
    /// Its last byte was not written yet.
    PartlyWritten,
    /// Its last byte was written.
    WhollyWritten,
}

/// What ended an attempt that has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection was refused, never came up or broke.
    Lost,
    /// What came back is no answer.
    Spoilt,
    /// The time for it ran out.
    TimedOut,
    /// The gateway did not try: no descriptors, no address, or the choice had gone stale.
    NotTried,
    /// The gateway was held up as it wrote: the data may have become too old meanwhile.
    WrittenTooLate,
}

/// An attempt that ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken {
    /// How far it had come.
    pub reach: Reach,
    /// What ended it.
    pub cause: Cause,
}

impl Broken {
    /// Whether the host may have run it: it begins once the last byte has arrived, never before.
    pub fn may_have_run(self) -> bool {
        self.reach == Reach::WhollyWritten
    }
}

/// A request that is owed an answer.
#[derive(Debug)]
pub struct Life<K, W, O = K> {
    /// The client connection that asked.
    pub owner: O,
    /// What it asked for, as the protocol's front needs it to send it on.
    pub work: W,
    /// When the client stops waiting.
    pub until: Micros,
    /// Its name, which no other request may bear while it is open.
    name: String,
    attempt: Option<K>,
    flows: bool,
}

impl<K: Copy, W, O> Life<K, W, O> {
    /// The connection that carries the attempt now out.
    pub fn attempt(&self) -> Option<K> {
        self.attempt
    }

    /// Whether its answer has begun to flow to the client: then it has no deadline and no further try.
    pub fn flows(&self) -> bool {
        self.flows
    }
}

/// All requests that are owed an answer. Each leaves it exactly once, through [`Ledger::finish`].
#[derive(Debug)]
pub struct Ledger<K, W, O = K> {
    lives: BTreeMap<Ticket, Life<K, W, O>>,
    names: BTreeSet<String>,
    /// Names of requests that another process answers, and when each ends at the latest.
    others: BTreeMap<String, Micros>,
}

impl<K, W, O> Default for Ledger<K, W, O> {
    fn default() -> Self {
        Ledger { lives: BTreeMap::new(), names: BTreeSet::new(), others: BTreeMap::new() }
    }
}

impl<K: Copy, W, O> Ledger<K, W, O> {
    /// Takes a request on.
    pub fn open(&mut self, ticket: Ticket, name: &str, owner: O, work: W, until: Micros) {
        let name = name.to_string();
        self.names.insert(name.clone());
        self.lives.insert(ticket, Life { owner, work, until, name, attempt: None, flows: false });
    }

    /// Whether a request of this name is open.
    pub fn bears(&self, name: &str) -> bool {
        self.names.contains(name) || self.others.contains_key(name)
    }

    /// The names of the open requests, and when each ends at the latest.
    pub fn names(&self) -> impl Iterator<Item = (&str, Micros)> {
        self.lives.values().map(|life| (life.name.as_str(), life.until))
    }

    /// The open requests whose answers do not flow yet.
    pub fn waiting(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.lives.iter().filter(|(_, life)| !life.flows).map(|(ticket, _)| *ticket)
    }

    /// Books requests that another process answers.
    pub fn leave_to_others(&mut self, open: impl IntoIterator<Item = (String, Micros)>) {
        self.others.extend(open);
    }

    /// Forgets those of them that have ended.
    pub fn forget_others(&mut self, now: Micros) {
        self.others.retain(|_, until| *until > now);
    }

    /// The request, while it is owed an answer.
    pub fn get(&self, ticket: Ticket) -> Option<&Life<K, W, O>> {
        self.lives.get(&ticket)
    }

    /// Books an attempt. False, and nothing is booked, if the request has ended or one is out already.
    #[must_use]
    pub fn begin(&mut self, ticket: Ticket, on: K) -> bool {
        let free = self.lives.get_mut(&ticket).filter(|life| life.attempt.is_none());
        free.map(|life| life.attempt = Some(on)).is_some()
    }

    /// Books that the answer of the attempt that is out flows to the client from now on.
    pub fn flow(&mut self, ticket: Ticket) {
        if let Some(life) = self.lives.get_mut(&ticket) {
            life.flows = life.attempt.is_some();
        }
    }

    /// Books the end of the attempt that is out and names its connection.
    pub fn end(&mut self, ticket: Ticket) -> Option<K> {
        self.lives.get_mut(&ticket)?.attempt.take()
    }

    /// Ends a request: whoever gets it back must answer, nobody else may.
    pub fn finish(&mut self, ticket: Ticket) -> Option<Life<K, W, O>> {
        let life = self.lives.remove(&ticket)?;
        self.names.remove(&life.name);
        Some(life)
    }

    /// Number of requests owed an answer.
    pub fn len(&self) -> usize {
        self.lives.len()
    }

    /// Whether nobody is owed anything.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }
}
