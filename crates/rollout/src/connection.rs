//! Identifiers of connections.

/// Identifies a connection. It is assigned by the state machine that owns the connection, and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Assigns connection identifiers.
#[derive(Debug, Default)]
pub(crate) struct ConnectionIds {
    last: u64,
}

impl ConnectionIds {
    pub(crate) fn next_id(&mut self) -> ConnectionId {
        self.last += 1;
        ConnectionId(self.last)
    }
}
