//! The state machine of a control server. It accepts documents, assigns them version numbers by changes of the
//! register, stores the newest version and the one before, sends the newest to its gateways, and tracks the version
//! that each gateway has in force. It offers gateways a version only after a recent read of the register, so that a
//! process that was stopped for any time does not send an outdated version.
//!
//! - `connections`: the connections, and the role of the process at the other end of each;
//! - `messages`: dispatches messages by the role of the sender;
//! - `peers`: the other control servers;
//! - `gateways`: the versions that gateways have in force, and offers of the newest version;
//! - `versions`: the versions that are known, and the fetch of the newest one's document;
//! - `store`: the stored state;
//! - `proposal`: proposals of operators;
//! - `register`: reads and changes of the register;
//! - `settings`: settings and limits;
//! - `error`: why a proposal is not accepted.

mod connections;
mod error;
mod gateways;
mod messages;
mod peers;
mod proposal;
mod register;
mod settings;
mod store;
mod versions;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::connections::ConnectionTable;
use self::gateways::GatewayRegistry;
use self::messages::ProtocolViolation;
use self::peers::Peers;
use self::proposal::ProposalQueue;
pub use self::register::RegisterEvent;
use self::register::RegisterState;
pub use self::settings::{Settings, MAX_PENDING_DOCUMENTS, REGISTER};
pub use self::store::{DocumentStore, InvalidDocument, PersistentState, StateFileError};
use self::versions::KnownVersions;
use crate::connection::ConnectionId;
use crate::frame::encode_frame;
use crate::wire::{truncate, ControlServerStatus, Hello, Identity, Message, MAX_GATEWAYS, MAX_NAME_BYTES};

/// An action for the driver to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Connect to the control server with this index in the settings. [`ControlServer::handle_connected`] or
    /// [`ControlServer::handle_closed`] follows.
    Connect(ConnectionId, usize),
    /// Send bytes.
    Send(ConnectionId, Arc<[u8]>),
    /// Close a connection once all earlier [`Output::Send`] for it are sent. No event of the connection follows.
    Close(ConnectionId),
    /// Read the register. [`RegisterEvent::Read`] or [`RegisterEvent::Failed`] follows.
    ReadRegister,
    /// Prepare a change of the register. [`RegisterEvent::Promised`] or [`RegisterEvent::Failed`] follows.
    PrepareChange,
    /// Propose a value. [`RegisterEvent::Chosen`] or [`RegisterEvent::Failed`] follows.
    Propose(Vec<u8>),
    /// End the prepared change without a proposal, so that others can change the register. No event follows.
    AbandonChange,
    /// Write a line to the log.
    Log(String),
}

/// The state machine of a control server.
pub struct ControlServer {
    settings: Settings,
    /// This server's index in the settings.
    own_index: Option<usize>,
    rng: Pcg64Mcg,
    outputs: VecDeque<Output>,
    connections: ConnectionTable,
    peers: Peers,
    gateways: GatewayRegistry,
    versions: KnownVersions,
    /// The state on the disk: it changes only after a store has succeeded.
    stored: PersistentState,
    /// After a failed store, the earliest time at which the newest version's document is stored.
    store_retry_at: Duration,
    register: RegisterState,
    proposals: ProposalQueue,
    heartbeat_at: Duration,
    /// Names of the fleet's members.
    members: Vec<String>,
}

impl ControlServer {
    /// Creates a control server with the state on its disk.
    pub fn new(settings: Settings, stored: PersistentState, now: Duration) -> ControlServer {
        let own_index = settings.servers.iter().position(|server| server.name == settings.name);
        let others = (0..settings.servers.len()).filter(|index| Some(*index) != own_index);
        ControlServer {
            own_index,
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            outputs: VecDeque::new(),
            connections: ConnectionTable::default(),
            peers: Peers::new(others, now),
            gateways: GatewayRegistry::default(),
            versions: KnownVersions::new(stored.newest().map(super::version::Document::version), now),
            stored,
            store_retry_at: now,
            register: RegisterState::new(now),
            proposals: ProposalQueue::default(),
            heartbeat_at: now,
            members: Vec::new(),
            settings,
        }
    }

    /// The settings that it was started with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Sets the names of the fleet's members for [`Message::Status`]; only the first [`MAX_GATEWAYS`] are kept.
    pub fn set_members(&mut self, names: impl IntoIterator<Item = String>) {
        let names = names.into_iter().take(MAX_GATEWAYS);
        self.members = names.map(|name| truncate(name, MAX_NAME_BYTES)).collect();
    }

    /// Handles a connection that another process has opened. `None` if there are too many connections: the driver has
    /// to close it.
    pub fn handle_accepted(&mut self, now: Duration) -> Option<ConnectionId> {
        self.connections.insert_incoming(now)
    }

    /// Handles the establishment of a connection to another control server.
    pub fn handle_connected(&mut self, now: Duration, id: ConnectionId) {
        let connection = self.connections.find_mut(id).filter(|connection| !connection.is_established);
        let Some(connection) = connection else { return };
        (connection.is_established, connection.last_received) = (true, now);
        let identity = Identity::ControlServer { name: self.settings.name.clone() };
        let hello = Message::Hello(Hello::new(&self.settings.fleet, identity));
        self.send(id, &hello);
        if let Some(document) = self.proposals.replicating() {
            let request = Message::StoreDocument(document.clone());
            self.send(id, &request);
        }
    }

    /// Handles the end of a connection, or the failure to establish it.
    pub fn handle_closed(&mut self, now: Duration, id: ConnectionId) {
        self.connections.remove(id);
        self.schedule_reconnect(now, id);
    }

    /// Handles received bytes.
    pub fn handle_bytes(
        &mut self,
        now: Duration,
        id: ConnectionId,
        bytes: &[u8],
        store: &mut impl DocumentStore,
    ) {
        let Some(connection) = self.connections.established_mut(id) else { return };
        connection.last_received = now;
        connection.frames.push(bytes);
        // Handling a message may close the connection.
        while let Some(connection) = self.connections.find_mut(id) {
            let handled = match connection.frames.next_message() {
                Ok(Some(message)) => self.handle_message(now, id, message, store),
                Ok(None) => break,
                Err(_) => Err(ProtocolViolation),
            };
            if handled.is_err() {
                self.close(now, id);
            }
        }
        self.make_progress(now, store);
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Duration) {
        self.expire_proposals(now);
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.settings.timeouts.heartbeat_interval;
            self.close_expired(now);
            self.send_heartbeats(now);
        }
        self.connect_peers(now);
        self.read_register(now);
        self.fetch_document(now);
        self.begin_change(now);
    }

    /// When [`ControlServer::tick`] is due next.
    pub fn next_tick(&self) -> Duration {
        let proposal = self.proposals.oldest().map(|received| received + self.settings.proposal_timeout);
        let commit = self.proposals.commit_at().filter(|_| self.register.can_change());
        let due =
            [self.peers.connect_at(), self.register.next_read(), self.versions.fetch_at(), proposal, commit];
        due.into_iter().flatten().fold(self.heartbeat_at, Duration::min)
    }

    /// The next output for the driver.
    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The server's status.
    pub fn status(&self, now: Duration) -> ControlServerStatus {
        let servers = &self.settings.servers;
        let last_read = self.register.last_read;
        let peers = self.connections.connected_servers();
        ControlServerStatus {
            name: self.settings.name.clone(),
            zone: self.own_index.map(|own| servers[own].zone.clone()).unwrap_or_default(),
            newest: self.newest_version(),
            has_document: self.newest_document().is_some(),
            fresh: self.is_fresh(now),
            last_read_ms: last_read.map(|read| now.saturating_sub(read).as_millis() as u64),
            peers: peers.map(|server| servers[server].name.clone()).collect(),
            gateways: self.gateways.statuses(now),
            members: self.members.clone(),
        }
    }

    fn send(&mut self, id: ConnectionId, message: &Message) {
        if self.connections.contains(id) {
            self.outputs.push_back(Output::Send(id, encode_frame(message)));
        }
    }

    fn log(&mut self, line: String) {
        self.outputs.push_back(Output::Log(line));
    }

    fn heartbeat(&self, now: Duration) -> Message {
        Message::Heartbeat { fresh: self.is_fresh(now), newest: self.newest_version() }
    }

    fn send_heartbeats(&mut self, now: Duration) {
        let frame = encode_frame(&self.heartbeat(now));
        let receivers = self.connections.heartbeat_receivers().into_iter();
        self.outputs.extend(receivers.map(|id| Output::Send(id, frame.clone())));
    }

    fn close(&mut self, now: Duration, id: ConnectionId) {
        if self.connections.contains(id) {
            self.outputs.push_back(Output::Close(id));
            self.handle_closed(now, id);
        }
    }

    /// Closes the connections that have timed out.
    fn close_expired(&mut self, now: Duration) {
        for id in self.connections.expired(now, &self.settings) {
            self.close(now, id);
        }
    }
}
