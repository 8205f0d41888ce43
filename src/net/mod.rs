//! Sockets: the loop, its clock, the connections to hosts and the watch on discovery.

pub mod clock;
pub mod discovery;
pub mod event_loop;
pub mod pool;
