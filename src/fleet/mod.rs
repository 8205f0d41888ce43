//! What a gateway does as one of a fleet: the thread that carries `dunemount-fleet` over UDP, and a voter's file.
//! Without `[fleet]` in the settings nothing of it is started.

pub mod acceptor_file;
pub mod driver;
pub mod durable_file;
pub mod rollout;
pub mod status;
pub mod transport;
