//! Hot restart: a process of this gateway hands its state, its listening socket and its clients over to the process that
//! follows it, without refusing anybody.

pub mod handover_socket;
pub mod message;
