//! The pool of connections to hosts: the idle connections, and the number of open ones.
//!
//! A host may send more than its answer, and what it sends too much may arrive late. The protocol has nothing by which
//! such bytes are told from the answer to the next statement, so a connection rests after each answer until no further
//! bytes of it are expected. Bytes that arrive while it rests close it.

use std::collections::BTreeMap;

use crate::{MemberId, Micros};

/// Fraction of the hosts' idle limit after which an idle connection is no longer used: the host may close a connection
/// that is near the limit just as a request is written to it.
const IDLE_FRACTION: f64 = 0.8;

/// Shortest rest of a connection after an answer: covers the jitter between two writes of a host that follow each other.
pub const MIN_REST: Micros = Micros::millis(10);

/// An idle connection.
#[derive(Clone, Copy, Debug)]
struct Idle<C> {
    connection: C,
    /// When it was returned to the pool.
    since: Micros,
    /// When it has rested, so that it may be used again.
    rested_at: Micros,
}

/// The idle connections to each member, most recently used last, and the number of open connections.
#[derive(Debug)]
pub struct Pool<C> {
    idle: BTreeMap<MemberId, Vec<Idle<C>>>,
    open: usize,
    capacity: usize,
    /// Number of processes of this gateway that share the capacity.
    processes: usize,
    idle_timeout: Micros,
}

impl<C: Copy + PartialEq> Pool<C> {
    /// A pool of at most `capacity` connections, to hosts that close idle connections after `idle_limit`.
    pub fn new(capacity: usize, idle_limit: Micros) -> Self {
        let idle_timeout = idle_limit.scale(IDLE_FRACTION);
        Pool { idle: BTreeMap::new(), open: 0, capacity, processes: 1, idle_timeout }
    }

    /// Changes the time after which hosts close idle connections.
    pub fn set_idle_limit(&mut self, idle_limit: Micros) {
        self.idle_timeout = idle_limit.scale(IDLE_FRACTION);
    }

    /// Largest number of connections that this process may have open.
    pub fn max_open(&self) -> usize {
        self.capacity / self.processes
    }

    /// Divides the capacity equally among `processes` processes of this gateway.
    pub fn share(&mut self, processes: usize) {
        self.processes = processes.max(1);
    }

    /// Whether one more connection may be opened.
    pub fn has_capacity(&self) -> bool {
        self.open < self.max_open()
    }

    /// Counts a connection that was opened.
    pub fn on_opened(&mut self) {
        self.open += 1;
    }

    /// Removes a connection that was closed, idle or not.
    pub fn on_closed(&mut self, member: MemberId, connection: C) {
        self.open = self.open.saturating_sub(1);
        if let Some(idle) = self.idle.get_mut(&member) {
            idle.retain(|other| other.connection != connection);
        }
    }

    /// Takes the most recently used idle connection to a member that has rested and has not exceeded the idle timeout.
    pub fn take(&mut self, now: Micros, member: MemberId) -> Option<C> {
        let idle = self.idle.get_mut(&member)?;
        let index = idle.iter().rposition(|candidate| candidate.rested_at <= now)?;
        if now - idle[index].since >= self.idle_timeout {
            return None;
        }
        Some(idle.remove(index).connection)
    }

    /// Returns a connection to the pool. It may be used again once it has rested until `rested_at`.
    pub fn put(&mut self, now: Micros, member: MemberId, connection: C, rested_at: Micros) {
        self.idle.entry(member).or_default().push(Idle { connection, since: now, rested_at });
    }

    /// The connections that have exceeded the idle timeout.
    pub fn stale(&self, now: Micros) -> Vec<C> {
        let idle = self.idle.values().flatten();
        let stale = idle.filter(|candidate| now - candidate.since >= self.idle_timeout);
        stale.map(|candidate| candidate.connection).collect()
    }

    /// The idle connections to a member.
    pub fn idle_to(&self, member: MemberId) -> Vec<C> {
        let idle = self.idle.get(&member).into_iter().flatten();
        idle.map(|candidate| candidate.connection).collect()
    }

    /// The connection that has been idle for the longest time.
    pub fn oldest(&self) -> Option<C> {
        let oldest = self.idle.values().flatten().min_by_key(|candidate| candidate.since);
        oldest.map(|candidate| candidate.connection)
    }

    /// Number of open connections to hosts, idle or not.
    pub fn len(&self) -> usize {
        self.open
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open == 0
    }
}
