//! The JSON format of the discovery service's endpoint list.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

/// A full endpoint list, or the changed entries of one.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Version of the endpoint list.
    pub rev: u64,
    /// The list is complete: hosts that it does not name have been removed.
    #[serde(default)]
    pub all: bool,
    targets: Vec<Value>,
}

impl EndpointList {
    /// Number of entries, valid or not.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether the list has no entries.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The group of each entry that has a valid one.
    pub fn groups(&self) -> impl Iterator<Item = u32> + '_ {
        let group = |target: &Value| target.get("pod_group")?.as_u64()?.try_into().ok();
        self.targets.iter().filter_map(group)
    }

    /// The entries in order; `None` for an invalid entry.
    pub(super) fn into_targets(self) -> impl Iterator<Item = Option<Target>> {
        self.targets.into_iter().map(|target| serde_json::from_value(target).ok())
    }
}

/// An entry of the list.
#[derive(Deserialize)]
pub(super) struct Target {
    pub(super) uid: String,
    pub(super) endpoint: SocketAddr,
    #[serde(default)]
    pub(super) az: String,
    pub(super) pod_group: u64,
    pub(super) state: TargetState,
    pub(super) capacity_hint: Option<f64>,
    #[serde(default)]
    pub(super) boot_ms: f64,
    #[serde(default)]
    pub(super) part: String,
}

/// Lifecycle state of an entry's host.
#[derive(Clone, Copy, Deserialize)]
pub(super) enum TargetState {
    Ready,
    Terminating,
    Gone,
}
