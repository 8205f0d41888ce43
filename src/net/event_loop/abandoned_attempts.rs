//! Connections to hosts whose attempt or health check has been abandoned and whose answer is still read, since it tells
//! the host's role and log position.

use super::connections::ConnectionId;
use crate::{MemberId, RequestId};

/// Most such connections to one host: one answer tells its role, the others confirm it.
const MAX_PER_HOST: usize = 8;
/// Most such connections in all, as a part of the connections to hosts that may be open.
const CAPACITY_DIVISOR: usize = 8;

struct AbandonedAttempt {
    connection: ConnectionId,
    member: MemberId,
    /// The request whose attempt it was; none for a health check.
    request: Option<RequestId>,
}

/// The connections whose answer is still read, the one that was abandoned first in front.
#[derive(Default)]
pub(super) struct AbandonedAttempts {
    attempts: Vec<AbandonedAttempt>,
}

impl AbandonedAttempts {
    /// Whether one more connection to this member may be kept, if `max_open` connections to hosts may be open.
    pub(super) fn has_room(&self, member: MemberId, max_open: usize) -> bool {
        let to_member = self.attempts.iter().filter(|attempt| attempt.member == member).count();
        to_member < MAX_PER_HOST && self.attempts.len() < max_open.div_ceil(CAPACITY_DIVISOR)
    }

    /// Adds a connection.
    pub(super) fn add(&mut self, connection: ConnectionId, member: MemberId, request: Option<RequestId>) {
        self.attempts.push(AbandonedAttempt { connection, member, request });
    }

    /// Removes a connection that was closed, if it is one of these.
    pub(super) fn on_closed(&mut self, connection: ConnectionId) {
        self.attempts.retain(|attempt| attempt.connection != connection);
    }

    /// The connections that carried attempts of a request.
    pub(super) fn of_request(&self, request: RequestId) -> Vec<ConnectionId> {
        let attempts = self.attempts.iter().filter(|attempt| attempt.request == Some(request));
        attempts.map(|attempt| attempt.connection).collect()
    }

    /// The connection that was abandoned first.
    pub(super) fn oldest(&self) -> Option<ConnectionId> {
        self.attempts.first().map(|attempt| attempt.connection)
    }

    /// Number of these connections.
    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }
}
