//! The pool of connections to hosts: which are idle, and how many are open in all.

use std::collections::BTreeMap;

use crate::{MemberId, Micros};

/// Fraction of the hosts' idle limit for which a connection is kept: one near the limit may be closed by the host just as
/// a request is written to it.
const IDLE_FRACTION: f64 = 0.8;

/// The connections to hosts that carry nothing, by member, the latest used last.
#[derive(Debug)]
pub struct Pool<C> {
    idle: BTreeMap<MemberId, Vec<(C, Micros)>>,
    open: usize,
    capacity: usize,
    /// Processes that share the capacity.
    processes: usize,
    idle_timeout: Micros,
}

impl<C: Copy + PartialEq> Pool<C> {
    /// A pool for at most so many connections to hosts that close them after `idle_limit`.
    pub fn new(capacity: usize, idle_limit: Micros) -> Self {
        let idle_timeout = idle_limit.scale(IDLE_FRACTION);
        Pool { idle: BTreeMap::new(), open: 0, capacity, processes: 1, idle_timeout }
    }

    /// Hosts close idle connections after this time from now on.
    pub fn set_idle_limit(&mut self, idle_limit: Micros) {
        self.idle_timeout = idle_limit.scale(IDLE_FRACTION);
    }

    /// Most connections to hosts.
    pub fn max_open(&self) -> usize {
        self.capacity / self.processes
    }

    /// Shares the capacity among so many processes of this gateway.
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

    /// Forgets a connection that was closed, idle or not.
    pub fn on_closed(&mut self, member: MemberId, connection: C) {
        self.open = self.open.saturating_sub(1);
        if let Some(idle) = self.idle.get_mut(&member) {
            idle.retain(|(other, _)| *other != connection);
        }
    }

    /// Takes the connection that was used last, unless it has been idle for too long.
    pub fn take(&mut self, now: Micros, member: MemberId) -> Option<C> {
        let idle = self.idle.get_mut(&member)?;
        let (_, idle_since) = idle.last()?;
        if now - *idle_since >= self.idle_timeout {
            return None;
        }
        idle.pop().map(|(connection, _)| connection)
    }

    /// Puts a connection back that may carry the next request.
    pub fn put(&mut self, now: Micros, member: MemberId, connection: C) {
        self.idle.entry(member).or_default().push((connection, now));
    }

    /// The connections that have been idle for too long.
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

    /// The connection that has been idle longest.
    pub fn oldest(&self) -> Option<C> {
        let oldest = self.idle.values().flatten().min_by_key(|(_, idle_since)| *idle_since);
        oldest.map(|(connection, _)| *connection)
    }

    /// Number of connections to hosts.
    pub fn len(&self) -> usize {
        self.open
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.open == 0
    }
}
