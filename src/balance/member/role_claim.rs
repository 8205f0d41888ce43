//! Which role a member claims.

use crate::api::{Micros, Role};
use crate::balance::log_clock::POSITION_ROUNDING_US;

/// The latest claim of a member about its role.
#[derive(Default)]
pub struct RoleClaim {
    pub(super) role: Role,
    pub(super) claimed_at: Micros,
    /// The position that came with the claim, if one did.
    pub(super) position: Option<Micros>,
}

impl RoleClaim {
    /// A role that the member has not claimed itself.
    pub fn unclaimed(role: Role) -> RoleClaim {
        RoleClaim { role, ..RoleClaim::default() }
    }

    /// The role that the member was last known to have.
    pub fn role(&self) -> Role {
        self.role
    }

    /// When the member claimed it; zero if it never did.
    pub fn claimed_at(&self) -> Micros {
        self.claimed_at
    }

    /// Takes in a claim if it is later than the last one. Whether it was.
    pub fn observe(&mut self, role: Role, at: Micros, position: Option<Micros>) -> bool {
        let later = self.is_later(role, at, position);
        if later {
            (self.role, self.claimed_at, self.position) = (role, at.max(self.claimed_at), position);
        }
        later
    }

    /// Whether a claim made at this time and position is later than the last one. Positions never go back,
    /// and answers may be received in another order than they were given. Positions are rounded either way,
    /// and a member that hands its role over claims both roles at one position, the replica's last.
    fn is_later(&self, role: Role, at: Micros, position: Option<Micros>) -> bool {
        let rounding = Micros(POSITION_ROUNDING_US as u64);
        match (position, self.position) {
            (Some(position), Some(last)) if role == Role::Primary && self.role == Role::Replica => {
                position > last + rounding
            }
            (Some(position), Some(last)) => position + rounding >= last,
            _ => at >= self.claimed_at,
        }
    }

    /// The log's time was stepped, or the position cannot be: claims are ordered by their times again.
    pub fn forget_position(&mut self) {
        self.position = None;
    }

    /// A member that may have been restarted is a replica until it claims otherwise.
    pub fn after_restart(&self) -> RoleClaim {
        RoleClaim { role: Role::Replica, claimed_at: self.claimed_at, position: None }
    }
}
