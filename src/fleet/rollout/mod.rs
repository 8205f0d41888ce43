//! Distributes versions of the configuration from the control servers to all gateways: sockets, threads and files
//! around the state machines of `dunemount_rollout`.
//!
//! - [`gateway`]: the thread of a gateway that follows the control servers;
//! - [`follower_driver`]: its connections to them;
//! - [`version_channel`]: hands versions from that thread to the event loop;
//! - [`control_server`]: the process of a control server;
//! - [`config_command`]: the operators' command, and [`status_report`] what it prints;
//! - `connections`: non-blocking connections of one thread.

mod client;
pub mod config_command;
mod connections;
pub mod control_server;
pub mod follower_driver;
pub mod gateway;
pub mod status_report;
pub mod version_channel;
