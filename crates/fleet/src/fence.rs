//! What a receiver of orders keeps: the highest epoch of each role. An order under a lower one is of an owner that has
//! been succeeded, however late it wakes up, and is refused.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Most roles that a fence knows; orders for more are refused.
pub const MOST_ROLES: usize = 1024;

/// Why an order is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The role has been seen under this epoch.
    Succeeded(u64),
    /// There are too many roles, or the name is too long.
    Bounds,
}

/// The highest epoch seen of each role. Where it guards what outlives the process it has to be stored before the
/// order is acted upon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fence {
    highest: BTreeMap<String, u64>,
}

impl Fence {
    /// Books an order, or refuses it. Whether it is new for its role is told, since a new epoch voids what the one
    /// before has left unfinished.
    ///
    /// # Errors
    /// Why the order has to be dropped without any effect.
    pub fn admit(&mut self, role: &str, epoch: u64) -> Result<bool, Refused> {
        let known = self.highest.get(role).copied();
        let verdict = match known {
            Some(seen) if epoch < seen => Err(Refused::Succeeded(seen)),
            Some(seen) => Ok(epoch > seen),
            None if self.highest.len() >= MOST_ROLES || role.len() > crate::register::LONGEST_KEY => {
                Err(Refused::Bounds)
            }
            None => Ok(true),
        };
        if verdict == Ok(true) {
            self.highest.insert(role.to_string(), epoch);
        }
        verdict
    }
}
