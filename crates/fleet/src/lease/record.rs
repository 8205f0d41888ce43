//! The lease record in a role's register, and its allowed changes.

use serde::{Deserialize, Serialize};

use crate::node_id::NodeId;
use crate::register::Value;

/// The value of a role's register. Postcard writes the fields in this order, without names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Increases each time the lease is acquired anew, and never decreases: the fencing token of the holder's orders.
    pub epoch: u64,
    /// The lease holder; `None` after a release.
    pub holder: Option<NodeId>,
    /// Increases with each renewal and with the release under an epoch.
    pub renewal: u64,
    /// The process that has asked the holder to hand over.
    pub requested_by: Option<NodeId>,
}

impl LeaseRecord {
    /// Decodes a register's value. `None` if it cannot be decoded, as when a later version of the program wrote it:
    /// then it must not be overwritten.
    pub fn decode(value: &[u8]) -> Option<LeaseRecord> {
        postcard::from_bytes(value).ok()
    }

    /// Encodes the record as a register's value.
    pub fn encode(&self) -> Value {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Orders records by age. Some majorities return a renewal that only some acceptors have accepted, others do not;
    /// without the order, reading it by turns would look like a series of new renewals.
    pub(super) fn version(&self) -> (u64, u64) {
        (self.epoch, self.renewal)
    }
}

/// A change of a role's register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseChange {
    /// Acquire the lease under a new epoch; by its own holder, a renewal.
    Acquire,
    /// Extend the lease.
    Renew,
    /// Give the lease up.
    Release,
    /// Ask the holder to hand the lease over.
    RequestHandover,
}

/// The next record after a change, or `None` if the change does not apply to the current record. `current` is the
/// record that a majority has returned, `expired` the one that stood unchanged for a lease's duration. Epochs are
/// incremented only here.
pub fn next_record(
    change: LeaseChange,
    node: NodeId,
    current: &LeaseRecord,
    expired: Option<&LeaseRecord>,
) -> Option<LeaseRecord> {
    let is_holder = current.holder == Some(node);
    match change {
        LeaseChange::Acquire if is_holder => Some(renewed(current)),
        // Only without a renewal later than the one seen, since a later one shows that the holder is alive.
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
