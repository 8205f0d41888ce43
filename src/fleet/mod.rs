//! Runs this gateway as a member of a fleet: a thread for the node of `dunemount-fleet` over UDP, the acceptor's file,
//! and the node's status. Nothing here is started unless the settings have a `[fleet]` section.

pub mod acceptor_file;
pub mod durable_file;
mod event_log;
pub mod event_loop;
pub mod node_settings;
pub mod rollout;
pub mod status;
pub mod transport;
