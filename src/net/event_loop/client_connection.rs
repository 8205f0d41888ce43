//! The state of a client's connection, and how long one may stay.

use crate::pg::client::ClientProtocol;
use crate::{Micros, RequestId};

/// How long a client may take for its first query, and for the rest of a command that it has begun.
const COMMAND_TIMEOUT: Micros = Micros::millis(2_400);
/// How long a client may be idle, and how long while the gateway is crowded.
const IDLE_TIMEOUT: Micros = Micros::millis(10_000);
const CROWDED_IDLE_TIMEOUT: Micros = Micros::millis(2_000);
/// How long an answer may lie unread.
const UNREAD_TIMEOUT: Micros = Micros::millis(10_000);
/// A client that has asked nothing for so long is closed before those that have.
const SILENT_AFTER: Micros = Micros::millis(50);

/// Where the request of a client is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestLocation {
    /// At the worker that has the client, under this id.
    Here(RequestId),
    /// At this other worker.
    Worker(usize),
}

/// Why a client is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvictionReason {
    /// It owes the rest of a command, or its first one.
    CommandTimeout,
    /// It has been idle.
    Idle,
    /// It does not read.
    NotReading,
}

/// Order in which idle clients are closed: the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    is_active: bool,
    last_used: Micros,
}

/// A client's connection.
pub(super) struct ClientConnection {
    pub(super) protocol: ClientProtocol,
    /// Where its request is decided, while one is in flight.
    pub(super) in_flight: Option<RequestLocation>,
    /// The owning worker of its streamed response waits for it to read on.
    pub(super) is_stream_paused: bool,
    /// Its bytes are not read, and a timer checks whether it has left.
    pub(super) has_unread_check: bool,
    /// When it connected.
    pub(super) connected_at: Micros,
    /// When bytes last came or went.
    pub(super) last_used: Micros,
    /// Since when a message of it has been incomplete.
    pub(super) incomplete_since: Option<Micros>,
    /// It may have waited to be accepted since then, with what is read first.
    pub(super) waiting_since: Option<Micros>,
    /// It has asked something that could be routed.
    pub(super) has_asked: bool,
    /// It is closed once its last answer is written.
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
            has_asked: false,
            is_closing: false,
        }
    }

    /// Why the client is to be closed now, if it is.
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
            || !self.has_asked && now - self.connected_at >= COMMAND_TIMEOUT
    }

    /// The order in which idle clients are closed for new ones; none for one that is not idle.
    pub(super) fn eviction_rank(&self, now: Micros) -> Option<EvictionRank> {
        let is_silent = !self.has_asked && now - self.connected_at >= SILENT_AFTER;
        let rank = EvictionRank { is_active: !is_silent, last_used: self.last_used };
        self.protocol.is_idle().then_some(rank)
    }
}
