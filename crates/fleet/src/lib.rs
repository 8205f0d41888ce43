//! Membership, agreement and leases between the gateways of a fleet, without I/O, clock or threads: bytes, the time and a
//! seeded random number generator are passed in; what is to be sent or stored is handed out.
//!
//! - [`frame`]: the frame around each datagram; [`messages`]: what is in it;
//! - [`membership`]: who is there (SWIM);
//! - [`register`], [`acceptor`] and [`proposer`]: a few registers, kept by a small, fixed number of acceptors; a change
//!   needs a majority of them (CASPaxos);
//! - [`reconfiguration`]: how an acceptor that has lost its file is admitted again;
//! - [`register_client`]: reads and changes of a register;
//! - [`lease`]: a role in a register, held by one process at a time under an epoch that only rises;
//! - [`fencing`]: how receivers reject the orders of a former lease holder;
//! - [`node`]: all of these as one process of the fleet.

pub mod acceptor;
pub mod acceptor_knowledge;
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
pub mod register;
pub mod register_client;
mod round_driver;
