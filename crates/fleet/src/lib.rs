//! Agreement and leases between the gateways of a fleet, without input, output, clock or threads: bytes, the time and
//! a seeded generator are passed in, what is to be sent or stored is handed out.
//!
//! - [`frame`] and [`membership`]: datagrams, and who is there (SWIM);
//! - [`register`] and [`voter`]: a few registers, kept by a small, fixed number of voters; a change needs a majority
//!   (compare-and-swap on ballots, one round of promises and one of acceptance, as in the published CASPaxos);
//! - [`round`]: one change as its proposer drives it, and how a voter that has lost its file is let in again;
//! - [`lease`]: a role in a register, held by one process at a time under an epoch that only rises;
//! - [`record`]: a register that is no role's: looks that tell only what was chosen, and changes of it;
//! - [`fencing`]: what a receiver of orders keeps, so that an owner that wakes up late does no harm;
//! - [`node`]: all of these as one process of the fleet.

pub mod acceptor;
pub mod fencing;
pub mod frame;
mod hash;
pub mod lease;
pub mod membership;
pub mod messages;
pub mod node;
pub mod node_id;
pub mod proposer;
pub mod reconfiguration;
pub mod record;
pub mod register;
