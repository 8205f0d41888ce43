//! The state of a client's connection, and the timeouts after which it is closed.

use crate::pg::client::ClientProtocol;
use crate::{Micros, RequestId};

/// How long a client may take to send its first query, and to complete a command that it has begun.
const COMMAND_TIMEOUT: Micros = Micros::millis(2_400);
/// How long a client may be idle, normally and while the gateway is crowded.
const IDLE_TIMEOUT: Micros = Micros::millis(10_000);
const CROWDED_IDLE_TIMEOUT: Micros = Micros::millis(2_000);
/// How long a client may read nothing of an answer.
const UNREAD_TIMEOUT: Micros = Micros::millis(10_000);
/// A client without a query after this time counts as silent, and is closed before clients that have queried.
const SILENT_AFTER: Micros = Micros::millis(50);

/// The worker that decides the request of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestLocation {
    /// The worker that has the client; the request has this id there.
    Here(RequestId),
    /// Another worker, by index.
    Worker(usize),
}

/// Why a client is closed by the sweep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvictionReason {
    /// It has not completed a command, or has not sent its first one, in time.
    CommandTimeout,
    /// It has been idle for too long.
    Idle,
    /// It does not read its answer.
    NotReading,
}

/// Order in which idle clients are closed: the lowest rank first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    is_active: bool,
    last_used: Micros,
}

/// A client's connection.
pub(super) struct ClientConnection {
    pub(super) protocol: ClientProtocol,
    /// The worker that decides its request, while one is in flight.
    pub(super) in_flight: Option<RequestLocation>,
    /// The owning worker waits until the client has read more of its streamed response.
    pub(super) is_stream_paused: bool,
    /// Its input is not read at present, and a timer checks whether it has disconnected.
    pub(super) has_unread_check: bool,
    /// When it connected.
    pub(super) connected_at: Micros,
    /// When bytes were last received from it or written to it.
    pub(super) last_used: Micros,
    /// Since when its input has ended in an incomplete message.
    pub(super) incomplete_since: Option<Micros>,
    /// The earliest time at which it may have begun to wait to be accepted; counts as the arrival of its first bytes.
    pub(super) waiting_since: Option<Micros>,
    /// It has sent a query that could be routed.
    pub(super) has_queried: bool,
    /// It is to be closed once its last answer is written.
    pub(super) is_closing: bool,
}

impl ClientConnection {
    /// A client that has just connected.
    pub(super) fn new(protocol: ClientProtocol, now: Micros) -> Self {
        ClientConnection {
            protocol,
            in_flight: None,
            is_stream_paused: false,
            has_unread_check: false,
            connected_at: now,
            last_used: now,
            incomplete_since: None,
            waiting_since: None,
            has_queried: false,
            is_closing: false,
        }
    }

    /// The reason to close the client now, if there is one.
    pub(super) fn eviction(&self, now: Micros, is_crowded: bool) -> Option<EvictionReason> {
        if !self.protocol.out.is_empty() && now - self.last_used >= UNREAD_TIMEOUT {
            return Some(EvictionReason::NotReading);
        }
        if self.in_flight.is_some() || self.protocol.is_busy() {
            return None;
        }
        if self.is_command_overdue(now) {
            return Some(EvictionReason::CommandTimeout);
        }
        let timeout = if is_crowded { CROWDED_IDLE_TIMEOUT } else { IDLE_TIMEOUT };
        let is_idle = self.protocol.is_idle() && now - self.last_used >= timeout;
        is_idle.then_some(EvictionReason::Idle)
    }

    fn is_command_overdue(&self, now: Micros) -> bool {
        self.incomplete_since.is_some_and(|since| now - since >= COMMAND_TIMEOUT)
            || !self.has_queried && now - self.connected_at >= COMMAND_TIMEOUT
    }

    /// The rank by which idle clients are closed for new ones. None if the client is not idle.
    pub(super) fn eviction_rank(&self, now: Micros) -> Option<EvictionRank> {
        let is_silent = !self.has_queried && now - self.connected_at >= SILENT_AFTER;
        let rank = EvictionRank { is_active: !is_silent, last_used: self.last_used };
        self.protocol.is_idle().then_some(rank)
    }
}
