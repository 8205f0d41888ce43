//! The latest commits of sessions, ordered by commit so that sessions are removed in that order and in
//! bounded steps. This module makes no decisions: the router says up to which position sessions may be
//! forgotten.

use std::collections::{BTreeSet, HashMap};

use rustc_hash::FxHashMap;

use crate::api::*;

/// A session's writes in one group. Its commits in other groups are kept separately.
#[derive(Debug)]
struct Session {
    /// Number of attempts of its writes in flight: each may have committed already.
    pending: u32,
    /// Its latest commit.
    commit: Micros,
}

/// All sessions that have written and have not been forgotten.
#[derive(Debug, Default)]
pub struct Sessions {
    known: HashMap<(GroupId, SessionKey), Session>,
    /// The sessions of each group that have no write in flight, ordered by commit.
    settled: FxHashMap<GroupId, BTreeSet<(Micros, SessionKey)>>,
}

impl Sessions {
    /// Records that an attempt of a session's write has been sent.
    pub fn begin(&mut self, group: GroupId, key: SessionKey) {
        self.update(group, key, |session| session.pending += 1);
    }

    /// Records that an attempt of a session's write has ended. A session without any commit is forgotten when
    /// its last attempt ends.
    pub fn end(&mut self, group: GroupId, key: SessionKey) {
        self.update(group, key, |session| session.pending = session.pending.saturating_sub(1));
    }

    /// Records the commit of a session's write.
    pub fn committed(&mut self, group: GroupId, key: SessionKey, commit: Micros) {
        self.update(group, key, |session| session.commit = session.commit.max(commit));
    }

    fn update(&mut self, group: GroupId, key: SessionKey, update: impl FnOnce(&mut Session)) {
        let session = self.known.entry((group, key));
        let session = session.or_insert(Session { pending: 0, commit: Micros(0) });
        let settled = self.settled.entry(group).or_default();
        if session.pending == 0 {
            settled.remove(&(session.commit, key));
        }
        update(session);
        if session.pending > 0 {
            return;
        }
        if session.commit == Micros(0) {
            self.known.remove(&(group, key));
        } else {
            settled.insert((session.commit, key));
        }
    }

    /// The latest commit of a session, if one is known.
    pub fn commit(&self, group: GroupId, key: SessionKey) -> Option<Micros> {
        self.known.get(&(group, key)).map(|session| session.commit)
    }

    /// Whether a write of a session is in flight.
    pub fn is_pending(&self, group: GroupId, key: SessionKey) -> bool {
        self.known.get(&(group, key)).is_some_and(|session| session.pending > 0)
    }

    /// Forgets the sessions of a group whose commits are at most `passed`, the earliest first and at most
    /// `max_count`. Returns the latest commit among them.
    pub fn forget(&mut self, group: GroupId, passed: Micros, max_count: usize) -> Option<Micros> {
        let settled = self.settled.get_mut(&group)?;
        let mut latest = None;
        for _ in 0..max_count {
            let Some(first) = settled.first().copied().filter(|(commit, _)| *commit <= passed) else { break };
            settled.pop_first();
            self.known.remove(&(group, first.1));
            latest = Some(first.0);
        }
        latest
    }

    /// Lowers commits beyond `latest`, a position that the log cannot have passed, to it: at most
    /// `max_count`.
    pub fn clamp_commits(&mut self, group: GroupId, latest: Micros, max_count: usize) {
        let Some(settled) = self.settled.get_mut(&group) else { return };
        for _ in 0..max_count {
            let Some(last) = settled.last().copied().filter(|(commit, _)| *commit > latest) else { break };
            settled.pop_last();
            settled.insert((latest, last.1));
            self.known.entry((group, last.1)).and_modify(|session| session.commit = latest);
        }
    }

    /// The latest commit of each session in each group, in no particular order.
    pub fn commits(&self) -> impl Iterator<Item = (SessionKey, GroupId, Micros)> + '_ {
        self.known.iter().map(|((group, key), session)| (*key, *group, session.commit))
    }

    /// Restores the commits that another process knew. Writes in flight there are answered there, not here.
    pub fn restore(&mut self, commits: impl IntoIterator<Item = (SessionKey, GroupId, Micros)>) {
        *self = Sessions::default();
        for (key, group, commit) in commits {
            self.committed(group, key, commit);
        }
    }
}
