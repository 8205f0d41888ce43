//! The admin interface: operators' HTTP requests, and the metrics. The event loop owns the sockets.

pub mod connection;
pub mod metrics;
pub mod request;
