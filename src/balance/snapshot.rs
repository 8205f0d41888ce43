//! A snapshot of a router's state, which the next process restores in a hot restart. This module makes no
//! decisions: requests and attempts in flight are left out, and everything else is copied unchanged.

use std::collections::BTreeSet;

use super::log_clock::LogClock;
use super::snapshot_format::SessionRecord;
pub use super::snapshot_format::Snapshot;
use super::Router;
use crate::api::*;

impl Snapshot {
    /// Adds the snapshot of another worker of the same gateway, which has other groups.
    pub fn merge(&mut self, other: Snapshot) {
        self.members.extend(other.members);
        self.groups.extend(other.groups);
        for (key, session) in other.sessions.into_iter().chain(other.further_sessions) {
            self.add_session(key, session);
        }
        self.administratively_down.extend(other.administratively_down);
        if self.common_clock.known.is_none() {
            self.common_clock = other.common_clock;
        }
        self.served_span = self.served_span.max(other.served_span);
    }

    /// Adds a session's latest commit in a group. `sessions` holds one group of each session; further groups
    /// are added to `further_sessions`.
    fn add_session(&mut self, key: SessionKey, session: SessionRecord) {
        if let Some(before) = self.sessions.insert(key, session) {
            self.further_sessions.push((key, before));
        }
    }

    /// Keeps only the groups for which `is_included` is true, with their members and sessions.
    pub fn for_groups(mut self, is_included: impl Fn(GroupId) -> bool) -> Snapshot {
        self.members.retain(|_, member| is_included(member.endpoint.group));
        self.groups.retain(|group, _| is_included(*group));
        self.sessions.retain(|_, session| is_included(session.group));
        self.further_sessions.retain(|(_, session)| is_included(session.group));
        self
    }

    /// The members in this snapshot.
    pub fn members(&self) -> BTreeSet<MemberId> {
        self.members.keys().copied().collect()
    }
}

impl Router {
    /// A snapshot of this router's state.
    pub fn snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot {
            members: self.members.iter().map(|(id, member)| (*id, member.into())).collect(),
            groups: self.groups.iter().map(|(id, group)| (*id, group.into())).collect(),
            administratively_down: self.administratively_down.clone(),
            common_clock: self.log_time.common().into(),
            served_span: self.served_span,
            mean_latencies: self.latencies.means().to_vec(),
            ..Snapshot::default()
        };
        for (key, group, commit) in self.sessions.commits() {
            snapshot.add_session(key, SessionRecord { group, commit });
        }
        snapshot
    }

    /// Restores the state of another router; `mean_latencies` are those of this router's classes, where
    /// known. This router's clock may differ from the other's by up to `error` in either direction.
    pub fn restore(&mut self, snapshot: Snapshot, mean_latencies: &[Option<f64>], error: Micros) {
        self.members = snapshot.members.into_iter().map(|(id, record)| (id, record.into())).collect();
        self.groups = snapshot.groups.into_iter().map(|(id, record)| (id, record.into())).collect();
        for group in self.groups.values_mut() {
            group.log_clock = group.log_clock.with_clock_error(error);
        }
        let common = LogClock::from(snapshot.common_clock).with_clock_error(error);
        self.log_time.restore(common, self.groups.values());
        let sessions = snapshot.sessions.into_iter().chain(snapshot.further_sessions);
        self.sessions.restore(sessions.map(|(key, session)| (key, session.group, session.commit)));
        self.administratively_down = snapshot.administratively_down;
        self.served_span = snapshot.served_span;
        self.latencies.restore(mean_latencies);
        let groups: Vec<GroupId> = self.groups.keys().copied().collect();
        groups.into_iter().for_each(|group| self.recompute_group(group));
    }
}
