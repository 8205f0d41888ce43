//! The pool of connections to hosts: the idle connections, and the number of open ones.

use std::collections::BTreeMap;

use crate::{MemberId, Micros};

/// Fraction of the hosts' idle limit after which an idle connection is no longer used: the host may close a connection
/// that is near the limit just as a request is written to it.
const IDLE_FRACTION: f64 = 0.8;

/// The idle connections to each member, most recently used last, and the number of open connections.
#[derive(Debug)]
pub struct Pool<C> {
    idle: BTreeMap<MemberId, Vec<(C, Micros)>>,
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
            idle.retain(|(other, _)| *other != connection);
        }
    }

    /// Takes the most recently used idle connection to a member, unless it has exceeded the idle timeout.
    pub fn take(&mut self, now: Micros, member: MemberId) -> Option<C> {
        let idle = self.idle.get_mut(&member)?;
        let (_, idle_since) = idle.last()?;
        if now - *idle_since >= self.idle_timeout {
            return None;
        }
        idle.pop().map(|(connection, _)| connection)
    }

    /// Returns a connection to the pool, ready for the next request.
    pub fn put(&mut self, now: Micros, member: MemberId, connection: C) {
        self.idle.entry(member).or_default().push((connection, now));
    }

    /// The connections that have exceeded the idle timeout.
    pub fn stale(&self, now: Micros) -> Vec<C> {
        let idle = self.idle.values().flatten();
        let stale = idle.filter(|(_, idle_since)| now - *idle_since >= self.idle_timeout);
        stale.map(|(connection, _)| *connection).collect()
    }

    /// The idle connections to a member.
    pub fn idle_to(&self, member: MemberId) -> Vec<C> {
        let idle = self.idle.get(&member).into_iter().flatten();
        idle.map(|(connection, _)| *connection).collect()
    }

    /// The connection that has been idle for the longest time.
    pub fn oldest(&self) -> Option<C> {
        let oldest = self.idle.values().flatten().min_by_key(|(_, idle_since)| *idle_since);
        oldest.map(|(connection, _)| *connection)
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
