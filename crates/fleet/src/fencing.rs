//! Fencing tokens, as described by Kleppmann ("How to do distributed locking") and by Chubby as sequencers: the epoch
//! of a lease is attached to every order that its holder sends, and each receiver rejects an order whose epoch is lower
//! than the highest that it has seen for the role. So the orders of a former holder that was paused and resumes late
//! have no effect, whatever its clock shows.
//!
//! Unlike a token handed out by a lock service, the epoch is part of the lease's own register ([`crate::lease`]), and
//! orders of different roles are independent of each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::register::MAX_KEY_BYTES;

/// Maximum number of roles in a guard; orders in further roles are rejected.
pub const MAX_ROLES: usize = 1024;

/// Why an order is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FencingError {
    /// An order under a later epoch of the role has been seen.
    #[error("succeeded by epoch {newest}")]
    StaleEpoch {
        /// The highest epoch seen.
        newest: u64,
    },
    /// There are too many roles, or the role's name is too long.
    #[error("too many roles, or a name that is too long")]
    LimitExceeded,
}

/// The highest epoch (fencing token) seen for each role. If it protects state that outlives the process, it has to be
/// persisted before the order is carried out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencingGuard {
    highest_epochs: BTreeMap<String, u64>,
}

impl FencingGuard {
    /// Checks an order's epoch and records it. Returns true for the first order under a new epoch, which invalidates
    /// all unfinished work of the previous epoch.
    ///
    /// # Errors
    /// The reason why the order must have no effect.
    pub fn admit(&mut self, role: &str, epoch: u64) -> Result<bool, FencingError> {
        if let Some(newest) = self.highest_epochs.get_mut(role) {
            if epoch < *newest {
                return Err(FencingError::StaleEpoch { newest: *newest });
            }
            return Ok(epoch > std::mem::replace(newest, epoch));
        }
        if self.highest_epochs.len() >= MAX_ROLES || role.len() > MAX_KEY_BYTES {
            return Err(FencingError::LimitExceeded);
        }
        self.highest_epochs.insert(role.to_string(), epoch);
        Ok(true)
    }
}
