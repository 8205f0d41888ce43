//! The role that a member claims to have.

use crate::api::{Micros, Role};
use crate::balance::log_clock::POSITION_ROUNDING_US;

/// A member's latest claim of a role.
#[derive(Default)]
pub struct RoleClaim {
    pub(super) role: Role,
    pub(super) claimed_at: Micros,
    /// The log position that was reported with the claim, if there was one.
    pub(super) position: Option<Micros>,
}

impl RoleClaim {
    /// A role that the member has not claimed itself, such as that of the endpoint list.
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

    /// The log position that was reported with the claim, if there was one.
    pub fn position(&self) -> Option<Micros> {
        self.position
    }

    /// Records a claim if it is later than the last one, and returns whether it is.
    pub fn observe(&mut self, role: Role, at: Micros, position: Option<Micros>) -> bool {
        let later = self.is_later(role, at, position);
        if later {
            (self.role, self.claimed_at, self.position) = (role, at.max(self.claimed_at), position);
        }
        later
    }

    /// Whether a claim made at this time and position is later than the last one. Positions never go back,
    /// but answers may be received in another order than they were sent. Positions are rounded up or down,
    /// and a member that hands over its role claims both roles at one position, first primary, then replica.
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

    /// Forgets the position, after the log's clock was stepped or because the position is impossible: the
    /// next claim is ordered by its time.
    pub fn forget_position(&mut self) {
        self.position = None;
    }

    /// The state for a member that may have been restarted: it is a replica until it claims otherwise.
    pub fn after_restart(&self) -> RoleClaim {
        RoleClaim { role: Role::Replica, claimed_at: self.claimed_at, position: None }
    }
}
