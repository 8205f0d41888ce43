//! The table of a worker's connections: their sockets, kinds and states, and the events that the poller watches for.

use std::io;
use std::net::TcpStream;
use std::sync::Arc;

use polling::{Event, PollMode, Poller};
use slab::Slab;

use super::admin_session::AdminSession;
use super::client_connection::ClientConnection;
use super::host_connection::HostConnection;
use crate::pg::codec::SendBuffer;

/// Identifies a connection: its index in the table, and a generation, since indices are reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId {
    pub(super) index: usize,
    pub(super) generation: u64,
}

/// The events that the poller watches for on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Interest {
    pub(super) readable: bool,
    pub(super) writable: bool,
}

impl Interest {
    fn event(self, index: usize) -> Event {
        Event { key: index, readable: self.readable, writable: self.writable }
    }
}

/// The kind of a connection, with its state.
pub(super) enum ConnectionKind {
    Client(ClientConnection),
    Host(HostConnection),
    /// A call to discovery.
    Discovery(SendBuffer),
    /// An operator's call.
    Admin(AdminSession),
    /// A client's connection that is shut for writing. Up to `bytes_left` more bytes from the client are discarded.
    HalfClosed {
        bytes_left: usize,
    },
}

/// An open connection.
pub(super) struct Connection {
    generation: u64,
    /// Other workers may look at the socket of a client whose request they decide, and hold no reference meanwhile.
    pub(super) socket: Arc<TcpStream>,
    pub(super) interest: Interest,
    pub(super) kind: ConnectionKind,
}

/// A connection that could not be registered with the poller.
pub(super) struct UnregisteredConnection {
    pub(super) socket: Arc<TcpStream>,
    pub(super) kind: ConnectionKind,
    pub(super) error: io::Error,
}

/// All connections of a worker.
pub(super) struct Connections {
    table: Slab<Connection>,
    poller: Arc<Poller>,
    last_generation: u64,
    clients: usize,
    half_closed: usize,
}

impl Connections {
    /// An empty table; its connections are registered with this poller.
    pub(super) fn new(poller: Arc<Poller>) -> Self {
        Connections { table: Slab::new(), poller, last_generation: 0, clients: 0, half_closed: 0 }
    }

    /// Adds a connection and has the poller watch it for reading, and with `writable` for writing as well.
    pub(super) fn insert(
        &mut self,
        socket: Arc<TcpStream>,
        kind: ConnectionKind,
        writable: bool,
    ) -> Result<ConnectionId, Box<UnregisteredConnection>> {
        self.last_generation += 1;
        let id = ConnectionId { index: self.table.vacant_key(), generation: self.last_generation };
        let interest = Interest { readable: true, writable };
        if let Err(error) = self.poller.add_with_mode(&socket, interest.event(id.index), PollMode::Level) {
            return Err(Box::new(UnregisteredConnection { socket, kind, error }));
        }
        match kind {
            ConnectionKind::Client(_) => self.clients += 1,
            ConnectionKind::HalfClosed { .. } => self.half_closed += 1,
            ConnectionKind::Host(_) | ConnectionKind::Discovery(_) | ConnectionKind::Admin(_) => {}
        }
        self.table.insert(Connection { generation: id.generation, socket, interest, kind });
        Ok(id)
    }

    /// Removes a connection from the table and from the poller.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        self.get(id)?;
        let connection = self.table.remove(id.index);
        let _ = self.poller.delete(&connection.socket);
        match connection.kind {
            ConnectionKind::Client(_) => self.clients -= 1,
            ConnectionKind::HalfClosed { .. } => self.half_closed -= 1,
            ConnectionKind::Host(_) | ConnectionKind::Discovery(_) | ConnectionKind::Admin(_) => {}
        }
        Some(connection)
    }

    /// The id of the connection that has an index at present.
    pub(super) fn id_at(&self, index: usize) -> Option<ConnectionId> {
        self.table.get(index).map(|connection| ConnectionId { index, generation: connection.generation })
    }

    /// The connection with this id, if it is still open.
    pub(super) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.table.get(id.index).filter(|connection| connection.generation == id.generation)
    }

    /// The connection with this id, if it is still open.
    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.table.get_mut(id.index).filter(|connection| connection.generation == id.generation)
    }

    /// The state of a client's connection, if it is open and a client's.
    pub(super) fn client(&mut self, id: ConnectionId) -> Option<&mut ClientConnection> {
        match &mut self.get_mut(id)?.kind {
            ConnectionKind::Client(client) => Some(client),
            _ => None,
        }
    }

    /// The state of a connection to a host, if it is open and to a host.
    pub(super) fn host(&mut self, id: ConnectionId) -> Option<&mut HostConnection> {
        match &mut self.get_mut(id)?.kind {
            ConnectionKind::Host(host) => Some(host),
            _ => None,
        }
    }

    /// The state of an operator's connection, if it is open and an operator's.
    pub(super) fn admin(&mut self, id: ConnectionId) -> Option<&mut AdminSession> {
        match &mut self.get_mut(id)?.kind {
            ConnectionKind::Admin(admin) => Some(admin),
            _ => None,
        }
    }

    /// Whether a client's connection is at an index.
    pub(super) fn is_client_at(&self, index: usize) -> bool {
        matches!(self.table.get(index), Some(Connection { kind: ConnectionKind::Client(_), .. }))
    }

    /// All connections, by index.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.table.iter().map(|(index, connection)| {
            (ConnectionId { index, generation: connection.generation }, connection)
        })
    }

    /// The clients' connections, by index.
    pub(super) fn clients(&self) -> impl Iterator<Item = (ConnectionId, &ClientConnection)> {
        self.iter().filter_map(|(id, connection)| match &connection.kind {
            ConnectionKind::Client(client) => Some((id, client)),
            _ => None,
        })
    }

    /// The connections to hosts, by index.
    pub(super) fn hosts(&self) -> impl Iterator<Item = (ConnectionId, &HostConnection)> {
        self.iter().filter_map(|(id, connection)| match &connection.kind {
            ConnectionKind::Host(host) => Some((id, host)),
            _ => None,
        })
    }

    /// The operators' connections, by index.
    pub(super) fn admins(&self) -> impl Iterator<Item = (ConnectionId, &AdminSession)> {
        self.iter().filter_map(|(id, connection)| match &connection.kind {
            ConnectionKind::Admin(admin) => Some((id, admin)),
            _ => None,
        })
    }

    /// The half-closed connection that was opened first.
    pub(super) fn oldest_half_closed(&self) -> Option<ConnectionId> {
        let half_closed = self
            .iter()
            .filter(|(_, connection)| matches!(connection.kind, ConnectionKind::HalfClosed { .. }));
        half_closed.map(|(id, _)| id).min_by_key(|id| id.generation)
    }

    /// Number of clients' connections.
    pub(super) fn client_count(&self) -> usize {
        self.clients
    }

    /// Number of half-closed connections.
    pub(super) fn half_closed_count(&self) -> usize {
        self.half_closed
    }

    /// Changes the events that the poller watches for on a connection. If the poller fails, they stay as they were.
    pub(super) fn set_interest(&mut self, id: ConnectionId, interest: Interest) -> io::Result<()> {
        let Some(connection) = self.table.get_mut(id.index).filter(|c| c.generation == id.generation) else {
            return Ok(());
        };
        if connection.interest != interest {
            self.poller.modify_with_mode(&connection.socket, interest.event(id.index), PollMode::Level)?;
            connection.interest = interest;
        }
        Ok(())
    }
}
