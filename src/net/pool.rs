//! Idle connections to hosts, and how many there are in all.

use std::collections::BTreeMap;

use crate::{MemberId, Micros};

/// Part of the hosts' idle limit for which a connection is kept: one near the limit may be closed by
/// the host just as a request is written to it.
const KEEP: f64 = 0.8;

/// The connections to hosts that carry nothing, by member, the latest used last.
#[derive(Debug)]
pub struct Pool<K> {
    idle: BTreeMap<MemberId, Vec<(K, Micros)>>,
    open: usize,
    most: usize,
    /// Parts that these are shared by.
    parts: usize,
    keep: Micros,
}

impl<K: Copy + PartialEq> Pool<K> {
    /// A pool for at most so many connections to hosts that close them after `idle_limit`.
    pub fn new(most: usize, idle_limit: Micros) -> Self {
        Pool { idle: BTreeMap::new(), open: 0, most, parts: 1, keep: idle_limit.scale(KEEP) }
    }

    /// Hosts now close idle connections after this time.
    pub fn keep_for(&mut self, idle_limit: Micros) {
        self.keep = idle_limit.scale(KEEP);
    }

    /// Most connections to hosts.
    pub fn most(&self) -> usize {
        self.most / self.parts
    }

    /// Shares the connections with other processes of this gateway.
    pub fn share(&mut self, parts: usize) {
        self.parts = parts.max(1);
    }

    /// Whether one more connection may be opened.
    pub fn has_room(&self) -> bool {
        self.open < self.most()
    }

    /// Books a connection that was opened.
    pub fn opened(&mut self) {
        self.open += 1;
    }

    /// Books a connection that was closed, idle or not.
    pub fn closed(&mut self, member: MemberId, key: K) {
        self.open = self.open.saturating_sub(1);
        if let Some(idle) = self.idle.get_mut(&member) {
            idle.retain(|(held, _)| *held != key);
        }
    }

    /// Takes the connection that was used last, unless it has been idle for too long.
    pub fn take(&mut self, now: Micros, member: MemberId) -> Option<K> {
        let idle = self.idle.get_mut(&member)?;
        let fresh = idle.last().is_some_and(|(_, since)| now - *since < self.keep);
        if fresh {
            idle.pop().map(|(key, _)| key)
        } else {
            None
        }
    }

    /// Puts a connection back that may carry the next request.
    pub fn put(&mut self, now: Micros, member: MemberId, key: K) {
        self.idle.entry(member).or_default().push((key, now));
    }

    /// Connections that are to be closed: idle for too long.
    pub fn stale(&self, now: Micros) -> Vec<K> {
        let all = self.idle.values().flatten();
        all.filter(|(_, since)| now - *since >= self.keep).map(|(key, _)| *key).collect()
    }

    /// The idle connections to a member.
    pub fn idle_to(&self, member: MemberId) -> Vec<K> {
        self.idle.get(&member).into_iter().flatten().map(|(key, _)| *key).collect()
    }

    /// The connection that has been idle longest.
    pub fn oldest(&self) -> Option<K> {
        self.idle.values().flatten().min_by_key(|(_, since)| *since).map(|(key, _)| *key)
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
