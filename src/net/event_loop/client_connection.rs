//! The state of a client's connection, and the timeouts after which it is closed.

use std::sync::Arc;

use super::memory_relief::SMALL_HOLDING;
use crate::memory::{HeldBytes, Holder, MemoryBudget};
use crate::pg::client::ClientProtocol;
use crate::{Micros, RequestId};

/// How long a client may take to send its first query, and to complete a command that it has begun.
const COMMAND_TIMEOUT: Micros = Micros::millis(2_400);
/// How long a client may be idle, normally and while the gateway is crowded.
const IDLE_TIMEOUT: Micros = Micros::millis(10_000);
const CROWDED_IDLE_TIMEOUT: Micros = Micros::millis(2_000);
/// How long a client may read nothing of an answer.
const UNREAD_TIMEOUT: Micros = Micros::millis(10_000);
/// Largest number of a client's requests that are processed in one iteration of the event loop, while others wait.
const MAX_REQUESTS_PER_TURN: usize = 16;
/// How long a client has to read an answer, although the memory budget is exceeded.
const MIN_READ_TIME: Micros = Micros::millis(250);
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

/// Why a client may be ended for its memory: the first kind before the second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ReclaimKind {
    /// It has not completed a long command.
    IncompleteCommand,
    /// It has not read an answer.
    UnreadAnswer,
}

impl ReclaimKind {
    /// The name in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            ReclaimKind::IncompleteCommand => "incomplete command",
            ReclaimKind::UnreadAnswer => "unread answer",
        }
    }
}

/// Order in which clients are ended for their memory: the lowest rank first, that of the client which has sent nothing
/// of its command, or has had an answer unread, for the longest time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReclaimRank {
    pub(super) kind: ReclaimKind,
    since: Micros,
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
    /// The iteration of the event loop in which its input was processed last, and the number of its requests in it.
    turn: (u64, usize),
    /// Its input is processed further in the next iteration.
    pub(super) is_deferred: bool,
    /// Since when it has pending output.
    unread_since: Option<Micros>,
    /// Length of the statement in flight, in bytes.
    pub(super) statement_bytes: usize,
    holdings: ClientHoldings,
}

/// The bytes that a client's buffers hold.
struct ClientHoldings {
    input: HeldBytes,
    statement: HeldBytes,
    output: HeldBytes,
}

impl ClientHoldings {
    fn new(memory: &Arc<MemoryBudget>) -> Self {
        ClientHoldings {
            input: memory.entry(Holder::ClientInput),
            statement: memory.entry(Holder::Statements),
            output: memory.entry(Holder::ClientOutput),
        }
    }
}

impl ClientConnection {
    /// A client that has just connected.
    pub(super) fn new(protocol: ClientProtocol, now: Micros, memory: &Arc<MemoryBudget>) -> Self {
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
            turn: (0, 0),
            is_deferred: false,
            unread_since: None,
            statement_bytes: 0,
            holdings: ClientHoldings::new(memory),
        }
    }

    /// Whether it has had its share of this iteration of the event loop.
    pub(super) fn is_turn_over(&self, iteration: u64) -> bool {
        self.turn.0 == iteration && self.turn.1 >= MAX_REQUESTS_PER_TURN
    }

    /// Counts a request that is processed in this iteration of the event loop.
    pub(super) fn count_request(&mut self, iteration: u64) {
        if self.turn.0 != iteration {
            self.turn = (iteration, 0);
        }
        self.turn.1 += 1;
    }

    /// Enters the bytes that its buffers hold at `now` into the memory budget. A statement in flight counts twice: its
    /// text is copied when it is written to a host.
    pub(super) fn update_holdings(&mut self, now: Micros) {
        let unread_since = self.unread_since.unwrap_or(now);
        self.unread_since = (!self.protocol.out.is_empty()).then_some(unread_since);
        let statement = if self.in_flight.is_some() { 2 * self.statement_bytes } else { 0 };
        self.holdings.input.set(self.protocol.allocated_input());
        self.holdings.statement.set(statement);
        self.holdings.output.set(self.protocol.out.allocated());
    }

    /// The rank by which the client is ended if the memory budget is exceeded. None if it holds little, waits for an
    /// answer, or has had no time yet to read one.
    pub(super) fn reclaim_rank(&self, now: Micros) -> Option<ReclaimRank> {
        if self.in_flight.is_some() || self.is_closing {
            return None;
        }
        let has_long_input = self.protocol.unparsed_input() > SMALL_HOLDING && !self.protocol.is_busy();
        if self.incomplete_since.is_some() && has_long_input {
            // A client that goes on sending completes its command soon.
            return Some(ReclaimRank { kind: ReclaimKind::IncompleteCommand, since: self.last_used });
        }
        let has_long_output = self.protocol.out.len() > SMALL_HOLDING;
        let is_overdue = |since: &Micros| has_long_output && now - *since >= MIN_READ_TIME;
        let since = self.unread_since.filter(is_overdue)?;
        Some(ReclaimRank { kind: ReclaimKind::UnreadAnswer, since })
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
