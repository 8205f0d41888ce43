//! What a router knows, as one value that the process which follows it can take in. Nothing is decided
//! here: what is out, held or waiting stays behind, all else goes over as it stands.

use super::*;

/// All that a router knows of members, groups and sessions.
#[derive(Default, Serialize, Deserialize)]
pub struct Estate {
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    sessions: BTreeMap<SessionKey, Session>,
    barred: BTreeSet<MemberId>,
    span: f64,
    /// Mean latency of each class, by its place in the settings.
    pub means: Vec<f64>,
}

impl Router {
    /// What this router knows.
    pub fn estate(&self) -> Estate {
        Estate {
            members: self.members.clone(),
            groups: self.groups.clone(),
            sessions: self.sessions.clone(),
            barred: self.barred.clone(),
            span: self.span,
            means: self.means.clone(),
        }
    }

    /// Takes over what another router knew; `means` are those of this router's classes, where known.
    pub fn inherit(&mut self, estate: Estate, means: &[Option<f64>]) {
        self.members = estate.members;
        self.groups = estate.groups;
        self.sessions = estate.sessions;
        self.barred = estate.barred;
        self.span = estate.span;
        for (mean, known) in self.means.iter_mut().zip(means) {
            *mean = known.unwrap_or(*mean);
        }
    }
}
