//! What a router knows, as one value that the process which follows it can take in. Nothing is decided here:
//! requests and attempts in flight stay behind, all else is handed over as it stands.

use std::collections::BTreeSet;

use super::log_clock::LogClock;
use super::snapshot_format::SessionRecord;
pub use super::snapshot_format::Snapshot;
use super::Router;
use crate::api::*;

impl Snapshot {
    /// Adds what another worker of the same gateway knows; their groups differ.
    pub fn merge(&mut self, other: Snapshot) {
        self.members.extend(other.members);
        self.groups.extend(other.groups);
        for (key, session) in other.sessions.into_iter().chain(other.roaming) {
            self.add_session(key, session);
        }
        self.administratively_down.extend(other.administratively_down);
        if self.common_clock.known.is_none() {
            self.common_clock = other.common_clock;
        }
        self.span = self.span.max(other.span);
    }

    /// Adds what a session wrote in a group; one that wrote to more than one is kept beside the others.
    fn add_session(&mut self, key: SessionKey, session: SessionRecord) {
        if let Some(before) = self.sessions.insert(key, session) {
            self.roaming.push((key, before));
        }
    }

    /// The part that concerns some groups.
    pub fn for_groups(mut self, own: impl Fn(GroupId) -> bool) -> Snapshot {
        self.members.retain(|_, member| own(member.entry.group));
        self.groups.retain(|group, _| own(*group));
        self.sessions.retain(|_, session| own(session.group));
        self.roaming.retain(|(_, session)| own(session.group));
        self
    }

    /// The members that it knows.
    pub fn members(&self) -> BTreeSet<MemberId> {
        self.members.keys().copied().collect()
    }
}

impl Router {
    /// What this router knows.
    pub fn snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot {
            members: self.members.iter().map(|(id, member)| (*id, member.into())).collect(),
            groups: self.groups.iter().map(|(id, group)| (*id, group.into())).collect(),
            administratively_down: self.administratively_down.clone(),
            common_clock: self.log_time.common().into(),
            span: self.served_span,
            mean_latencies: self.latencies.all().to_vec(),
            ..Snapshot::default()
        };
        for (key, group, commit) in self.sessions.commits() {
            snapshot.add_session(key, SessionRecord { group, commit });
        }
        snapshot
    }

    /// Takes over what another router knew; `mean_latencies` are those of this router's classes, where known.
    /// This router's clock may differ from the other's by `error` either way.
    pub fn restore(&mut self, snapshot: Snapshot, mean_latencies: &[Option<f64>], error: Micros) {
        self.members = snapshot.members.into_iter().map(|(id, record)| (id, record.into())).collect();
        self.groups = snapshot.groups.into_iter().map(|(id, record)| (id, record.into())).collect();
        for group in self.groups.values_mut() {
            group.log_clock = group.log_clock.with_clock_error(error);
        }
        let common = LogClock::from(snapshot.common_clock).with_clock_error(error);
        self.log_time.restore(common, self.groups.values());
        let sessions = snapshot.sessions.into_iter().chain(snapshot.roaming);
        self.sessions.restore(sessions.map(|(key, session)| (key, session.group, session.commit)));
        self.administratively_down = snapshot.administratively_down;
        self.served_span = snapshot.span;
        self.latencies.restore(mean_latencies);
        let groups: Vec<GroupId> = self.groups.keys().copied().collect();
        groups.into_iter().for_each(|group| self.recount(group));
    }
}
