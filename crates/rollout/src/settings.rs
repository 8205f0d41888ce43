//! The settings that gateways and control servers share.

use std::time::Duration;

/// A control server's entry in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlServerInfo {
    /// Its name, by which it identifies itself to other control servers.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// Intervals and timeouts of the connections between gateways and control servers.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Longest time between two reports of a gateway.
    pub report_interval: Duration,
    /// Time between two heartbeats of a control server.
    pub heartbeat_interval: Duration,
    /// A gateway tries the next control server if the current one has sent nothing, has not been reached or has not
    /// been fresh for this long.
    pub liveness: Duration,
    /// A gateway that follows a control server of another zone tries one of its own zone again after a random delay of
    /// at most this long.
    pub return_window: Duration,
    /// Longest backoff between connection attempts.
    pub max_backoff: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts {
            report_interval: Duration::from_secs(1),
            heartbeat_interval: Duration::from_millis(150),
            liveness: Duration::from_millis(500),
            return_window: Duration::from_secs(30),
            max_backoff: Duration::from_secs(5),
        }
    }
}
