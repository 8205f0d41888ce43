//! The endpoint list as discovery writes it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

/// An endpoint list, or a change to one.
#[derive(Clone, Debug, Deserialize)]
pub struct Listing {
    /// Its version.
    pub rev: u64,
    /// It names all hosts; who is missing is gone.
    #[serde(default)]
    pub all: bool,
    targets: Vec<Value>,
}

impl Listing {
    /// Number of its entries.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether it names no host.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Groups of its hosts, one for each entry that names one.
    pub fn groups(&self) -> impl Iterator<Item = u32> + '_ {
        let group = |target: &Value| target.get("pod_group")?.as_u64()?.try_into().ok();
        self.targets.iter().filter_map(group)
    }

    /// Its entries, one by one; none for each that cannot be read.
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

/// Whether an entry's host takes requests.
#[derive(Clone, Copy, Deserialize)]
pub(super) enum TargetState {
    Ready,
    Terminating,
    Gone,
}
