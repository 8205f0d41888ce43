//! A gateway as a member of a fleet: `dunemount-fleet` over UDP in a thread of its own, its acceptor's file, and its status.
//! Nothing of it is started without `[fleet]` in the settings.

pub mod acceptor_file;
pub mod durable_file;
mod event_log;
pub mod event_loop;
pub mod node_settings;
pub mod rollout;
pub mod status;
pub mod transport;
