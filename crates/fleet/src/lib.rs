//! Membership, agreement and leases between the gateways of a fleet. The crate has no I/O, clock or threads: the caller
//! passes in received bytes, the time and a seed for the random number generator, and takes out the datagrams to be
//! sent and the state to be stored.
//!
//! - [`frame`]: the frame around each datagram; [`messages`]: the messages inside the frames;
//! - [`membership`]: the processes that are up (SWIM);
//! - [`register`], [`acceptor`] and [`proposer`]: a few registers, replicated on a small, fixed number of acceptors; a
//!   change needs a majority of them (CASPaxos);
//! - [`reconfiguration`]: readmits an acceptor that has lost its file;
//! - [`register_client`]: reads and changes of a register;
//! - [`lease`]: a role in a register, held by one process at a time under an epoch that only rises;
//! - [`fencing`]: rejects the orders of a former lease holder at their receivers;
//! - [`node`]: combines all of these into one process of the fleet.

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
