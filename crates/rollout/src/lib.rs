//! Distributes versions of a configuration to all gateways, without input, output, clock or threads: bytes, the time and a
//! seeded random generator are passed in, what is to be sent, stored or applied is handed out.
//!
//! - [`version`]: a document with its version number and digest;
//! - [`history`]: the version history, which is the value of a replicated register;
//! - [`wire`]: the messages between gateways, control servers and the operators' command;
//! - [`frame`]: the frames in which messages are sent;
//! - [`settings`]: what gateways and control servers have in common;
//! - [`follower`]: the state machine of a gateway;
//! - [`control`]: the state machine of a control server.
//!
//! The package knows no gateway and no fleet: whether a document can be used is asked of a [`control::DocumentStore`], and the
//! register is whatever carries out [`control::Output::ReadRegister`] and [`control::Output::PrepareChange`].

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
