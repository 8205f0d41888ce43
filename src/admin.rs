//! The admin interface: operators' HTTP requests and the metrics, both without sockets.

pub mod connection;
pub mod metrics;
pub mod request;
