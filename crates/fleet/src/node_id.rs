//! The identifier of one process as a proposer and lease holder.

use serde::{Deserialize, Serialize};

use crate::hash::{fnv1a_64, GOLDEN_RATIO};

/// Identifies one start of one gateway. A restarted process has a new identifier, so that it is never mistaken for its
/// predecessor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl NodeId {
    /// The identifier of this start of the gateway with this name.
    pub fn from_start(name: &str, start: u64) -> NodeId {
        NodeId(fnv1a_64(name) ^ start.wrapping_mul(GOLDEN_RATIO))
    }
}
