//! Version 3 of the PostgreSQL protocol, simple queries only: the server side towards clients, and the client side
//! towards database hosts. Connections are state machines driven by bytes; nothing here uses a socket.

pub mod client;
pub mod codec;
pub mod host;
pub mod load_report;
pub mod message_type;
pub mod statement;
pub mod timed_buffer;
