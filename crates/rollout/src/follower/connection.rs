//! A gateway's connection to a control server.

use std::time::Duration;

use crate::connection::ConnectionId;
use crate::frame::FrameReader;

/// A connection to a control server, and what has been heard over it.
pub(super) struct ServerConnection {
    pub(super) id: ConnectionId,
    /// The server's index in the settings.
    pub(super) server: usize,
    /// When the connection was established.
    pub(super) established_at: Option<Duration>,
    /// When bytes were received last; before the connection is established, when it was begun.
    pub(super) last_received: Duration,
    pub(super) has_received: bool,
    /// The last heartbeat of the server that said that it is fresh.
    pub(super) last_fresh: Option<Duration>,
    pub(super) frames: FrameReader,
}

impl ServerConnection {
    /// A connection that is to be established.
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

    /// When it is given up if nothing more is received.
    pub(super) fn expires_at(&self, liveness: Duration) -> Duration {
        let fresh_since = match (self.established_at, self.last_fresh) {
            (None, _) => self.last_received,
            (Some(established), None) => established,
            (Some(established), Some(fresh)) => fresh.max(established),
        };
        self.last_received.min(fresh_since) + liveness
    }
}
