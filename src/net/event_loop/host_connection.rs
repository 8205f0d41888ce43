//! The state of a connection to a database host.

use std::sync::Arc;

use crate::attempt::{AttemptProgress, FailureCause};
use crate::memory::{HeldBytes, Holder, MemoryBudget};
use crate::net::pool::MIN_REST;
use crate::pg::host::HostProtocol;
use crate::{MemberId, Micros, RequestId};

/// Rest of a connection after a streamed answer.
const STREAMED_REST: Micros = Micros::millis(100);
const MAX_REST: Micros = Micros::millis(1_000);
/// The rest after an answer that came in pieces, as a multiple of the longest gap between two of them.
const GAPS_PER_REST: f64 = 2.0;
/// How much longer time limits are on sockets.
pub(super) const SOCKET_SLACK: Micros = Micros::millis(50);

/// The present use of a connection to a host.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum HostTask {
    None,
    Attempt(RequestId),
    HealthCheck,
    /// Its attempt or health check has been abandoned, and its answer is still read.
    Abandoned,
}

/// A query that was written to a host and whose answer has not been read.
#[derive(Clone, Copy)]
pub(super) struct SentQuery {
    pub(super) sent_at: Micros,
    /// Until when the host expects that its answer is awaited.
    pub(super) told_deadline: Micros,
    /// The request; none for a health check.
    pub(super) request: Option<RequestId>,
}

/// Why this gateway closes a connection to a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CloseReason {
    IdleTimeout,
    /// Idle connections to this host may be broken.
    Distrusted,
    /// A new connection needs its descriptor.
    CapacityNeeded,
    /// Bytes or the end of the connection arrived while it was idle.
    UnexpectedInput,
    /// The host gets no new requests.
    NotRoutable,
    /// Its query is in flight, and the response is not needed any more.
    ResponseNotAwaited,
    /// Its attempt or health check has failed.
    Failed(FailureCause),
}

/// A connection to a host.
pub(super) struct HostConnection {
    pub(super) protocol: HostProtocol,
    pub(super) member: MemberId,
    /// The host has accepted the session, so that queries can be sent.
    pub(super) is_ready: bool,
    /// The present attempt has been counted as fully written.
    pub(super) is_attempt_counted: bool,
    /// It is not read, since the client that its response streams to has too many unread bytes.
    pub(super) is_reading_paused: bool,
    /// It is not read, since the memory budget is exceeded.
    pub(super) is_memory_paused: bool,
    /// When the present attempt times out.
    pub(super) attempt_deadline: Micros,
    /// The time before which the last byte of the present attempt must be written.
    pub(super) write_deadline: Micros,
    /// When bytes were last received.
    pub(super) last_received: Micros,
    /// The longest gap between two pieces of the present answer.
    longest_gap: Micros,
    /// When it may carry a further statement, after its last answer.
    pub(super) rested_at: Micros,
    pub(super) task: HostTask,
    /// The query in flight, until its answer or the end of the connection has been read.
    pub(super) query: Option<SentQuery>,
    /// Reading the present answer was paused.
    pub(super) was_paused: bool,
    /// All that arrived before this time had been read before the latest bytes.
    pub(super) read_up_to: Micros,
    /// The host has ended the connection in order, and everything before the end was read.
    pub(super) has_ended: bool,
    /// Number of bytes that are still read of an abandoned attempt's answer.
    pub(super) bytes_left: usize,
    held: HeldBytes,
}

impl HostConnection {
    /// The state of a connection to a member that is being opened.
    pub(super) fn new(member: MemberId, now: Micros, memory: &Arc<MemoryBudget>) -> Self {
        HostConnection {
            protocol: HostProtocol::default(),
            member,
            is_ready: false,
            is_attempt_counted: false,
            is_reading_paused: false,
            is_memory_paused: false,
            attempt_deadline: now,
            write_deadline: now,
            last_received: now,
            longest_gap: Micros(0),
            rested_at: now,
            task: HostTask::None,
            query: None,
            was_paused: false,
            read_up_to: Micros(0),
            has_ended: false,
            bytes_left: 0,
            held: memory.entry(Holder::Hosts),
        }
    }

    /// Enters the bytes that its buffers hold now into the memory budget.
    pub(super) fn update_holdings(&mut self) {
        self.held.set(self.protocol.allocated());
    }

    /// Records the query that is about to be written.
    pub(super) fn begin_query(&mut self, query: SentQuery) {
        self.query = Some(query);
        self.was_paused = false;
    }

    /// Ends its task: from now on its answer is read for what it tells of the host alone.
    pub(super) fn abandon(&mut self, byte_limit: usize, memory: &Arc<MemoryBudget>) {
        self.task = HostTask::Abandoned;
        self.bytes_left = byte_limit;
        self.held = memory.entry(Holder::AbandonedAttempts);
        self.update_holdings();
    }

    /// Whether its answer is not read at present.
    pub(super) fn is_paused(&self) -> bool {
        self.is_reading_paused || self.is_memory_paused
    }

    /// The answer that has just been read was written at this time or later.
    pub(super) fn answer_written_after(&self) -> Micros {
        let sent_at = self.query.map_or(Micros(0), |query| query.sent_at);
        let is_prompt = !self.was_paused && !self.protocol.was_streamed();
        sent_at.max(if is_prompt { self.read_up_to } else { Micros(0) })
    }

    /// If the connection were closed at `now`, the host might write an answer that is not read until this time.
    pub(super) fn unread_until(&self, now: Micros) -> Option<Micros> {
        let is_written = self.protocol.attempt_progress() == AttemptProgress::FullyWritten;
        let query = self.query.filter(|_| is_written && !self.has_ended)?;
        Some(query.told_deadline.max(now) + SOCKET_SLACK)
    }

    /// Handles bytes that are received at `now`.
    pub(super) fn receive(&mut self, bytes: &[u8], now: Micros) {
        if self.protocol.has_partial_response() && !self.is_reading_paused && !self.is_memory_paused {
            self.longest_gap = self.longest_gap.max(now - self.last_received);
        }
        self.last_received = now;
        self.protocol.receive(bytes);
    }

    /// Begins the rest after an answer whose last byte has been received. A further answer that the host writes right
    /// behind it arrives within the rest.
    pub(super) fn begin_rest(&mut self) {
        let rest = if self.protocol.was_streamed() { STREAMED_REST } else { MIN_REST };
        let longest_gap = std::mem::replace(&mut self.longest_gap, Micros(0));
        self.rested_at = self.last_received + rest.max(longest_gap.scale(GAPS_PER_REST)).min(MAX_REST);
    }
}
