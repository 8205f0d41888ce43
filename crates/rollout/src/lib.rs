//! Distributes versions of a configuration to all gateways, without I/O, a clock or threads. The caller passes in
//! received bytes, the time and a seed for the random generator, and carries out the outputs: what to send, store or
//! apply.
//!
//! - [`version`]: a document with its version number and digest;
//! - [`history`]: the version history, which is the value of a replicated register;
//! - [`wire`]: the messages between gateways, control servers and the operators' command;
//! - [`frame`]: the frames in which messages are sent;
//! - [`settings`]: the settings that gateways and control servers share;
//! - [`follower`]: the state machine of a gateway;
//! - [`control`]: the state machine of a control server.
//!
//! The package depends on neither the gateway nor the fleet package: a [`control::DocumentStore`] validates documents,
//! and the driver carries out [`control::Output::ReadRegister`], [`control::Output::PrepareChange`] and
//! [`control::Output::Propose`] on a register of its choice.

mod backoff;
pub mod connection;
pub mod control;
pub mod file_format;
pub mod follower;
pub mod frame;
pub mod history;
pub mod settings;
pub mod version;
pub mod wire;
