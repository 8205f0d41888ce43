//! What the settings of gateways and of control servers have in common.

use std::time::Duration;

/// A control server, as the settings name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlServerInfo {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// Intervals and timeouts of the connections between gateways and control servers.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// A gateway reports the version in force at least this often.
    pub report_interval: Duration,
    /// Between two heartbeats of a control server.
    pub heartbeat_interval: Duration,
    /// A control server that has sent nothing, has not been reached or has not been fresh for so long is left for the next.
    pub liveness: Duration,
    /// A gateway that follows another zone's control server tries its own zone's again at a random time within this.
    pub return_window: Duration,
    /// Upper limit of the backoff between connection attempts.
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
