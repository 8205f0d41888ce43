//! The other control servers: the connections to them, and the messages that control servers exchange.

use std::sync::Arc;
use std::time::Duration;

use super::connections::ConnectionTable;
use super::settings::FIRST_BACKOFF;
use super::{ControlServer, DocumentStore, Output, ProtocolViolation};
use crate::backoff::backoff;
use crate::connection::ConnectionId;
use crate::frame::encode_frame;
use crate::version::{Digest, Document, Version};
use crate::wire::Message;

/// Another control server, and the connection to it.
struct Peer {
    /// Its index in the settings.
    server: usize,
    connection: Option<ConnectionId>,
    /// When the next connection attempt is due.
    retry_at: Duration,
    /// Number of consecutive failed or lost connections; reset by a heartbeat.
    failures: u32,
}

/// All other control servers.
pub(super) struct Peers {
    peers: Vec<Peer>,
}

impl Peers {
    pub(super) fn new(servers: impl Iterator<Item = usize>, now: Duration) -> Peers {
        let peer = |server| Peer { server, connection: None, retry_at: now, failures: 0 };
        Peers { peers: servers.map(peer).collect() }
    }

    pub(super) fn count(&self) -> usize {
        self.peers.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The position among the peers of the control server with this index in the settings.
    pub(super) fn position(&self, server: usize) -> Option<usize> {
        self.peers.iter().position(|peer| peer.server == server)
    }

    /// The connections to all peers, in the order of the peers.
    pub(super) fn connections(&self) -> Vec<ConnectionId> {
        self.peers.iter().filter_map(|peer| peer.connection).collect()
    }

    /// The first peer at or after position `from`, with wraparound, whose connection is established.
    pub(super) fn next_established(
        &self,
        from: usize,
        connections: &ConnectionTable,
    ) -> Option<(usize, ConnectionId)> {
        let count = self.peers.len().max(1);
        (0..count).map(|step| (from + step) % count).find_map(|position| {
            let connection = self.peers.get(position)?.connection?;
            connections.is_established(connection).then_some((position, connection))
        })
    }

    fn by_connection(&mut self, id: ConnectionId) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|peer| peer.connection == Some(id))
    }

    /// When the next connection attempt is due.
    pub(super) fn connect_at(&self) -> Option<Duration> {
        self.peers.iter().filter(|peer| peer.connection.is_none()).map(|peer| peer.retry_at).min()
    }
}

impl ControlServer {
    /// Opens the connections that are due.
    pub(super) fn connect_peers(&mut self, now: Duration) {
        for peer in &mut self.peers.peers {
            if peer.connection.is_none() && now >= peer.retry_at {
                let id = self.connections.insert_outgoing(now, peer.server);
                peer.connection = Some(id);
                self.outputs.push_back(Output::Connect(id, peer.server));
            }
        }
    }

    /// Schedules the next connection attempt if the connection that has ended was to a peer.
    pub(super) fn schedule_reconnect(&mut self, now: Duration, id: ConnectionId) {
        let max_backoff = self.settings.timeouts.max_backoff;
        if let Some(peer) = self.peers.by_connection(id) {
            peer.connection = None;
            peer.retry_at = now + backoff(&mut self.rng, FIRST_BACKOFF, max_backoff, peer.failures);
            peer.failures = peer.failures.saturating_add(1);
        }
    }

    /// Handles a message of a control server that has connected to this one.
    pub(super) fn handle_incoming_peer_message(
        &mut self,
        now: Duration,
        id: ConnectionId,
        server: usize,
        message: Message,
        store: &mut impl DocumentStore,
    ) -> Result<(), ProtocolViolation> {
        match message {
            Message::Heartbeat { fresh, newest } => {
                self.handle_peer_heartbeat(now, id, server, fresh, newest);
            }
            Message::Chosen(version) => self.learn_version(now, version, Some(server)),
            Message::StoreDocument(bytes) => self.handle_store_document(now, id, bytes, store),
            Message::FetchDocument(version) => self.handle_fetch_document(id, version),
            _ => return Err(ProtocolViolation),
        }
        Ok(())
    }

    /// Handles a message of a control server that this one has connected to.
    pub(super) fn handle_outgoing_peer_message(
        &mut self,
        now: Duration,
        id: ConnectionId,
        server: usize,
        message: Message,
        store: &mut impl DocumentStore,
    ) -> Result<(), ProtocolViolation> {
        match message {
            Message::Heartbeat { fresh, newest } => {
                self.handle_peer_heartbeat(now, id, server, fresh, newest);
            }
            Message::DocumentStored(digest) => self.handle_document_stored(digest, server),
            Message::FoundDocument(version, bytes) => {
                return self.handle_found_document(now, version, bytes, store);
            }
            Message::DocumentNotFound(_) => self.handle_document_not_found(now),
            _ => return Err(ProtocolViolation),
        }
        Ok(())
    }

    fn handle_peer_heartbeat(
        &mut self,
        now: Duration,
        id: ConnectionId,
        server: usize,
        fresh: bool,
        newest: Option<Version>,
    ) {
        if let Some(peer) = self.peers.by_connection(id) {
            peer.failures = 0;
        }
        // A fresh server has read the version from the register. Learning it here makes up for a lost `Chosen`.
        if let Some(newest) = newest.filter(|_| fresh) {
            self.learn_version(now, newest, Some(server));
        }
    }

    fn handle_store_document(
        &mut self,
        now: Duration,
        id: ConnectionId,
        bytes: Arc<[u8]>,
        store: &mut impl DocumentStore,
    ) {
        let digest = Digest::of(&bytes);
        let is_last = self.stored.pending.last().is_some_and(|(last, _)| *last == digest);
        if is_last || self.store_pending(now, digest, bytes, store) {
            self.send(id, &Message::DocumentStored(digest));
        }
    }

    fn handle_fetch_document(&mut self, id: ConnectionId, version: Version) {
        let answer = match self.stored.find(version.digest) {
            Some(bytes) => Message::FoundDocument(version, bytes.clone()),
            None => Message::DocumentNotFound("not here".to_string()),
        };
        self.send(id, &answer);
    }

    /// Handles a version's document from a peer. It is stored if the version is the newest and its document is missing.
    fn handle_found_document(
        &mut self,
        now: Duration,
        version: Version,
        bytes: Arc<[u8]>,
        store: &mut impl DocumentStore,
    ) -> Result<(), ProtocolViolation> {
        if Some(version) == self.newest_version() && self.newest_document().is_none() {
            let document = Document::verify(version, bytes).ok_or(ProtocolViolation)?;
            self.store_version(now, document, store);
        }
        Ok(())
    }

    /// Sends a message to each peer whose connection is established.
    pub(super) fn send_to_peers(&mut self, message: &Message) {
        let frame = encode_frame(message);
        for id in self.peers.connections() {
            if self.connections.is_established(id) {
                self.outputs.push_back(Output::Send(id, frame.clone()));
            }
        }
    }
}
