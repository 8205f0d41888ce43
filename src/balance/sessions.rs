//! Sessions by their commits, so that they are forgotten in that order and in bounded steps. Nothing is
//! decided here: the router says what every replica in service has passed.

use std::collections::{BTreeSet, HashMap};

use rustc_hash::FxHashMap;

use crate::api::*;

/// What is known of a session in one group. Its commits in another say nothing here.
#[derive(Debug)]
struct Session {
    /// Attempts of its writes in flight: each may have committed already.
    pending: u32,
    /// Its latest commit.
    commit: Micros,
}

/// All sessions that have written and are not forgotten.
#[derive(Debug, Default)]
pub struct Sessions {
    known: HashMap<(GroupId, SessionKey), Session>,
    /// Of each group the sessions without a write in flight, by commit.
    settled: FxHashMap<GroupId, BTreeSet<(Micros, SessionKey)>>,
}

impl Sessions {
    /// An attempt of a session's write has been sent.
    pub fn begin(&mut self, group: GroupId, key: SessionKey) {
        self.change(group, key, |session| session.pending += 1);
    }

    /// An attempt of a session's write has ended; a session that has never committed anything is forgotten.
    pub fn end(&mut self, group: GroupId, key: SessionKey) {
        self.change(group, key, |session| session.pending = session.pending.saturating_sub(1));
    }

    /// A session's write was committed.
    pub fn committed(&mut self, group: GroupId, key: SessionKey, commit: Micros) {
        self.change(group, key, |session| session.commit = session.commit.max(commit));
    }

    fn change(&mut self, group: GroupId, key: SessionKey, change: impl FnOnce(&mut Session)) {
        let session = self.known.entry((group, key));
        let session = session.or_insert(Session { pending: 0, commit: Micros(0) });
        let settled = self.settled.entry(group).or_default();
        if session.pending == 0 {
            settled.remove(&(session.commit, key));
        }
        change(session);
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

    /// Forgets a group's sessions whose commits were passed, the earliest first and at most so many. The
    /// latest commit among them.
    pub fn forget(&mut self, group: GroupId, passed: Micros, most: usize) -> Option<Micros> {
        let settled = self.settled.get_mut(&group)?;
        let mut latest = None;
        for _ in 0..most {
            let Some(first) = settled.first().copied().filter(|(commit, _)| *commit <= passed) else { break };
            settled.pop_first();
            self.known.remove(&(group, first.1));
            latest = Some(first.0);
        }
        latest
    }

    /// Lowers commits beyond this position to it, so many at most: they are later than the log can be.
    pub fn clamp_commits(&mut self, group: GroupId, latest: Micros, most: usize) {
        let Some(settled) = self.settled.get_mut(&group) else { return };
        for _ in 0..most {
            let Some(last) = settled.last().copied().filter(|(commit, _)| *commit > latest) else { break };
            settled.pop_last();
            settled.insert((latest, last.1));
            self.known.entry((group, last.1)).and_modify(|session| session.commit = latest);
        }
    }

    /// All sessions with the latest commit of each in a group, in no order.
    pub fn commits(&self) -> impl Iterator<Item = (SessionKey, GroupId, Micros)> + '_ {
        self.known.iter().map(|((group, key), session)| (*key, *group, session.commit))
    }

    /// Takes over the commits that another process knew; what it awaited is answered there.
    pub fn restore(&mut self, commits: impl IntoIterator<Item = (SessionKey, GroupId, Micros)>) {
        *self = Sessions::default();
        for (key, group, commit) in commits {
            self.committed(group, key, commit);
        }
    }
}
