//! The connections of a control server, and the role of the process at the other end of each.

use std::collections::BTreeMap;
use std::time::Duration;

use super::gateways::Subscription;
use super::settings::{Settings, MAX_COMMAND_CONNECTIONS, MAX_INCOMING_CONNECTIONS, MAX_SMALL_MESSAGE_BYTES};
use crate::connection::{ConnectionId, ConnectionIds};
use crate::frame::FrameReader;
use crate::version::MAX_DOCUMENT_BYTES;

/// Longest message that contains a document, in bytes.
const MAX_DOCUMENT_MESSAGE_BYTES: usize = MAX_DOCUMENT_BYTES + MAX_SMALL_MESSAGE_BYTES;

/// The process at the other end of a connection.
pub(super) enum Role {
    /// It has not identified itself yet.
    Unidentified,
    Gateway(Subscription),
    /// A control server that has connected to this one, by its index in the settings: it sends requests, and receives
    /// the answers.
    IncomingPeer(usize),
    /// A control server that this one has connected to, by its index in the settings: it receives requests, and
    /// answers.
    OutgoingPeer(usize),
    /// The operators' command.
    Command,
}

impl Role {
    fn max_message_bytes(&self) -> usize {
        match self {
            Role::Unidentified | Role::Gateway(_) => MAX_SMALL_MESSAGE_BYTES,
            Role::IncomingPeer(_) | Role::OutgoingPeer(_) | Role::Command => MAX_DOCUMENT_MESSAGE_BYTES,
        }
    }
}

/// A connection of a control server.
pub(super) struct Connection {
    pub(super) role: Role,
    pub(super) is_established: bool,
    opened_at: Duration,
    /// When bytes were last received.
    pub(super) last_received: Duration,
    pub(super) frames: FrameReader,
}

impl Connection {
    fn new(role: Role, is_established: bool, now: Duration) -> Connection {
        let frames = FrameReader::new(role.max_message_bytes());
        Connection { role, is_established, opened_at: now, last_received: now, frames }
    }

    /// Sets the role of the process at the other end, and the length limit of its messages.
    pub(super) fn identify(&mut self, role: Role) {
        self.frames.set_max_frame_bytes(role.max_message_bytes());
        self.role = role;
    }

    /// Whether nothing was received for too long, or the process has not identified itself in time.
    fn is_expired(&self, now: Duration, settings: &Settings) -> bool {
        let timeouts = &settings.timeouts;
        let idle = timeouts.liveness * 4;
        match self.role {
            Role::Unidentified => now >= self.opened_at + idle,
            Role::Gateway(_) => now >= self.last_received + (timeouts.report_interval * 5).max(idle),
            Role::IncomingPeer(_) | Role::OutgoingPeer(_) => now >= self.last_received + idle,
            Role::Command => now >= self.last_received + settings.proposal_timeout * 2 + idle,
        }
    }
}

/// All connections of a control server.
#[derive(Default)]
pub(super) struct ConnectionTable {
    ids: ConnectionIds,
    open: BTreeMap<ConnectionId, Connection>,
}

impl ConnectionTable {
    /// Adds a connection that another process has opened; `None` if there are too many.
    pub(super) fn insert_incoming(&mut self, now: Duration) -> Option<ConnectionId> {
        let is_incoming = |found: &&Connection| !matches!(found.role, Role::OutgoingPeer(_));
        let count = self.open.values().filter(is_incoming).count();
        let has_capacity = count < MAX_INCOMING_CONNECTIONS;
        has_capacity.then(|| self.insert(Connection::new(Role::Unidentified, true, now)))
    }

    /// Adds a connection to another control server, which is not established yet.
    pub(super) fn insert_outgoing(&mut self, now: Duration, server: usize) -> ConnectionId {
        self.insert(Connection::new(Role::OutgoingPeer(server), false, now))
    }

    fn insert(&mut self, connection: Connection) -> ConnectionId {
        let id = self.ids.next_id();
        self.open.insert(id, connection);
        id
    }

    pub(super) fn remove(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }

    pub(super) fn contains(&self, id: ConnectionId) -> bool {
        self.open.contains_key(&id)
    }

    pub(super) fn find(&self, id: ConnectionId) -> Option<&Connection> {
        self.open.get(&id)
    }

    pub(super) fn find_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.open.get_mut(&id)
    }

    /// The connection with this id, if it is established.
    pub(super) fn established_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.find_mut(id).filter(|connection| connection.is_established)
    }

    pub(super) fn is_established(&self, id: ConnectionId) -> bool {
        self.find(id).is_some_and(|connection| connection.is_established)
    }

    /// The subscription of the gateway at the other end, if it is one.
    pub(super) fn subscription_mut(&mut self, id: ConnectionId) -> Option<&mut Subscription> {
        match self.find_mut(id) {
            Some(Connection { role: Role::Gateway(subscription), .. }) => Some(subscription),
            _ => None,
        }
    }

    /// The connection that this other control server has opened.
    pub(super) fn incoming_peer(&self, server: usize) -> Option<ConnectionId> {
        let is_peer = |found: &Connection| matches!(found.role, Role::IncomingPeer(peer) if peer == server);
        self.ids_where(is_peer).first().copied()
    }

    pub(super) fn has_command_capacity(&self) -> bool {
        self.ids_where(|found| matches!(found.role, Role::Command)).len() < MAX_COMMAND_CONNECTIONS
    }

    /// The connections over which heartbeats are sent.
    pub(super) fn heartbeat_receivers(&self) -> Vec<ConnectionId> {
        let receives = |found: &Connection| {
            found.is_established && !matches!(found.role, Role::Unidentified | Role::Command)
        };
        self.ids_where(receives)
    }

    pub(super) fn gateways(&self) -> Vec<ConnectionId> {
        self.ids_where(|found| matches!(found.role, Role::Gateway(_)))
    }

    /// The connections that have timed out.
    pub(super) fn expired(&self, now: Duration, settings: &Settings) -> Vec<ConnectionId> {
        self.ids_where(|found| found.is_expired(now, settings))
    }

    /// The control servers that this one has connected to, by their index in the settings.
    pub(super) fn connected_servers(&self) -> impl Iterator<Item = usize> + '_ {
        self.open.values().filter_map(|connection| match connection.role {
            Role::OutgoingPeer(server) if connection.is_established => Some(server),
            _ => None,
        })
    }

    fn ids_where(&self, matches: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        self.open.iter().filter(|(_, connection)| matches(connection)).map(|(id, _)| *id).collect()
    }
}
