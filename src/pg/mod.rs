//! Version 3 of PostgreSQL's protocol, simple queries only: as a server towards clients, as a client towards database
//! hosts. Nothing in here touches a socket; connections are state machines driven by bytes.

pub mod client;
pub mod codec;
pub mod host;
pub mod load_report;
pub mod message_type;
pub mod statement;
pub mod timed_buffer;
