//! What a router knows, as one value that the process which follows it can take in. Nothing is decided
//! here: what is out, held or waiting stays behind, all else goes over as it stands.

use serde::{Deserialize, Serialize};

use super::*;

/// All that a router knows of members, groups and sessions.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Snapshot {
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    sessions: BTreeMap<SessionKey, sessions::Session>,
    /// Those that wrote to more than one family; a process of an earlier version knows none.
    #[serde(default)]
    roaming: Vec<(SessionKey, sessions::Session)>,
    #[serde(rename = "barred")]
    administratively_down: BTreeSet<MemberId>,
    #[serde(default)]
    common_clock: LogClock,
    span: f64,
    /// Mean latency of each class, by its place in the settings.
    pub means: Vec<f64>,
}

impl Snapshot {
    /// Adds what another worker of the same gateway knows; their families differ.
    pub fn join(&mut self, other: Snapshot) {
        self.members.extend(other.members);
        self.groups.extend(other.groups);
        for (key, session) in other.sessions.into_iter().chain(other.roaming) {
            if let Some(before) = self.sessions.insert(key, session) {
                self.roaming.push((key, before));
            }
        }
        self.administratively_down.extend(other.administratively_down);
        self.common_clock = self.common_clock.known().map_or(other.common_clock, |_| self.common_clock);
        self.span = self.span.max(other.span);
    }

    /// What concerns some families.
    pub fn part(mut self, own: impl Fn(GroupId) -> bool) -> Snapshot {
        self.members.retain(|_, member| own(member.entry.group));
        self.groups.retain(|group, _| own(*group));
        self.sessions.retain(|_, session| own(session.group()));
        self.roaming.retain(|(_, session)| own(session.group()));
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
        let (sessions, roaming) = self.sessions.all();
        Snapshot {
            members: self.members.iter().map(|(id, member)| (*id, member.clone())).collect(),
            groups: self.groups.iter().map(|(id, group)| (*id, group.clone())).collect(),
            sessions,
            roaming,
            administratively_down: self.administratively_down.clone(),
            common_clock: self.common_clock,
            span: self.span,
            means: self.means.clone(),
        }
    }

    /// Takes over what another router knew; `means` are those of this router's classes, where known. This
    /// router's clock may differ from the other's by `error` either way.
    pub fn inherit(&mut self, snapshot: Snapshot, means: &[Option<f64>], error: Micros) {
        self.members = snapshot.members.into_iter().collect();
        self.groups = snapshot.groups.into_iter().collect();
        for group in self.groups.values_mut() {
            group.log_time = group.log_time.after_error(error);
        }
        self.common_clock = snapshot.common_clock.after_error(error);
        let groups = self.groups.values().filter_map(|group| self.agreed(group.log_time.known()?));
        self.usual_offset = groups.reduce(Offset::hull);
        self.sessions.inherit(snapshot.sessions.into_iter().chain(snapshot.roaming));
        self.administratively_down = snapshot.administratively_down;
        self.span = snapshot.span;
        for (mean, known) in self.means.iter_mut().zip(means) {
            *mean = known.unwrap_or(*mean);
        }
        let groups: Vec<GroupId> = self.groups.keys().copied().collect();
        groups.into_iter().for_each(|group| self.recount(group));
    }
}
