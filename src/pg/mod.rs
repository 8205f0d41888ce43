//! The clients' and hosts' protocol: version 3 of PostgreSQL's, simple queries only. Nothing in here
//! touches a socket; connection states are driven by bytes.

pub mod client;
pub mod codec;
pub mod host;
pub mod statement;
pub mod timed_inbox;
