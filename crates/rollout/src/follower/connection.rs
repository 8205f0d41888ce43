//! A gateway's connection to a control server.

use std::time::Duration;

use crate::connection::ConnectionId;
use crate::frame::FrameReader;

/// A connection to a control server, and when data was received over it.
pub(super) struct ServerConnection {
    pub(super) id: ConnectionId,
    /// The server's index in the settings.
    pub(super) server: usize,
    /// When the connection was established.
    pub(super) established_at: Option<Duration>,
    /// When bytes were last received or, if none were, when the connection was established or begun.
    pub(super) last_received: Duration,
    /// Whether any bytes were received.
    pub(super) has_received: bool,
    /// When the last heartbeat was received in which the server reported that it is fresh.
    pub(super) last_fresh: Option<Duration>,
    pub(super) frames: FrameReader,
}

impl ServerConnection {
    /// A connection that is not established yet.
    pub(super) fn new(id: ConnectionId, server: usize, now: Duration) -> ServerConnection {
        ServerConnection {
            id,
            server,
            established_at: None,
            last_received: now,
            has_received: false,
            last_fresh: None,
            frames: FrameReader::default(),
        }
    }

    pub(super) fn is_established(&self) -> bool {
        self.established_at.is_some()
    }

    /// When the connection times out unless more is received: `liveness` after the last bytes or after the last
    /// heartbeat of a fresh server, whichever is earlier. Until the first such heartbeat, the time at which the
    /// connection was established counts instead.
    pub(super) fn expires_at(&self, liveness: Duration) -> Duration {
        let fresh_since = match (self.established_at, self.last_fresh) {
            (None, _) => self.last_received,
            (Some(established), None) => established,
            (Some(established), Some(fresh)) => fresh.max(established),
        };
        self.last_received.min(fresh_since) + liveness
    }
}
