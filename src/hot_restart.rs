//! Hot restart: a process of this gateway hands its state, its listening socket and its clients over to its successor
//! without rejecting any client.

pub mod handover_socket;
pub mod message;
