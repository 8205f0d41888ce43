//! What the register of a role holds, and how it may change.

use serde::{Deserialize, Serialize};

use crate::node_id::NodeId;
use crate::register::Value;

/// What the register of a role holds. Postcard writes the fields in this order, without names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Rises with each change of the holder, and never falls: the fencing token of the holder's orders.
    pub epoch: u64,
    /// Who holds the lease; nobody after a release.
    pub holder: Option<NodeId>,
    /// Rises with each renewal under an epoch.
    pub renewal: u64,
    /// Who has asked the holder to hand over.
    pub requested_by: Option<NodeId>,
}

impl LeaseRecord {
    /// Reads a register's value; none if it cannot be read, as of a later version: nobody may overwrite it then.
    pub fn decode(value: &[u8]) -> Option<LeaseRecord> {
        postcard::from_bytes(value).ok()
    }

    /// The register's value.
    pub fn encode(&self) -> Value {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The order of records. A renewal that only some acceptors have accepted is returned by some majorities and not by
    /// others, and must not look like one new renewal after the other.
    pub(super) fn version(&self) -> (u64, u64) {
        (self.epoch, self.renewal)
    }
}

/// A change of a role's register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseChange {
    /// To hold the lease under a new epoch.
    Acquire,
    /// To hold it longer.
    Renew,
    /// To leave it to others.
    Release,
    /// To ask its holder to hand it over.
    RequestHandover,
}

/// The next record, if the change still makes sense now that a majority has returned the current one. `expired` is the
/// record that stood unchanged for a lease's duration. This is the one place where an epoch rises.
pub fn next_record(
    change: LeaseChange,
    node: NodeId,
    current: &LeaseRecord,
    expired: Option<&LeaseRecord>,
) -> Option<LeaseRecord> {
    let is_holder = current.holder == Some(node);
    match change {
        LeaseChange::Acquire if is_holder => Some(renewed(current)),
        // Only if there is no later renewal than the one seen: any shows a holder that is alive.
        LeaseChange::Acquire
            if current.holder.is_none()
                || expired.is_some_and(|expired| current.version() <= expired.version()) =>
        {
            let epoch = current.epoch + 1;
            Some(LeaseRecord { epoch, holder: Some(node), renewal: 0, requested_by: None })
        }
        LeaseChange::Renew if is_holder && current.requested_by.is_some_and(|by| by != node) => {
            Some(released(current))
        }
        LeaseChange::Renew if is_holder => Some(renewed(current)),
        LeaseChange::Release if is_holder => Some(released(current)),
        LeaseChange::RequestHandover
            if current.holder.is_some() && !is_holder && current.requested_by.is_none() =>
        {
            Some(LeaseRecord { requested_by: Some(node), ..current.clone() })
        }
        _ => None,
    }
}

fn renewed(current: &LeaseRecord) -> LeaseRecord {
    LeaseRecord { renewal: current.renewal + 1, ..current.clone() }
}

fn released(current: &LeaseRecord) -> LeaseRecord {
    LeaseRecord { holder: None, ..renewed(current) }
}
