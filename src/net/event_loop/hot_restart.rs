//! Hot restart: hands this process's state, listener and clients over to the next process of this gateway, and takes
//! those of the previous process over.

use std::io;
use std::os::fd::OwnedFd;
use std::sync::Arc;

use polling::{Event, PollMode};
use slog::{info, warn};

use super::client_connection::ClientConnection;
use super::connections::ConnectionId;
use super::mailboxes::{ClientHandover, Commit, WorkerMessage, WorkerSnapshot};
use super::peers::{Peer, PendingSnapshot};
use super::poll_keys::{FIRST_PEER, HANDOVER_LISTENER};
use super::{Gateway, Phase};
use crate::hot_restart::handover_socket::{self, HandoverSocket, MAX_MESSAGE_BYTES};
use crate::hot_restart::message::{GatewaySnapshot, Message};
use crate::memory::Holder;
use crate::net::discovery::Watch;
use crate::pg::client::{ClientProtocol, ProtocolHandover};
use crate::pg::codec::CancelKey;
use crate::{ClassId, Micros};

/// Length of a client's input in its handover message, which is JSON: up to three digits and a comma for each byte.
const JSON_BYTES_PER_BYTE: usize = 4;
/// The messages that wait for the next process may take the memory budget divided by this number.
const HANDOVER_DIVISOR: usize = 8;

impl Gateway {
    /// Listens on the handover socket for the next process, if a path for it is configured.
    pub(super) fn listen_for_successor(&mut self) {
        let Some(path) = &self.hot_restart.path else { return };
        let listener = handover_socket::listen(path).and_then(|listener| {
            self.poller.add_with_mode(&listener, Event::readable(HANDOVER_LISTENER), PollMode::Level)?;
            Ok(listener)
        });
        match listener {
            Ok(listener) => self.hot_restart.listener = Some(listener),
            Err(e) => warn!(self.log, "hot restart: cannot listen for the next process"; "error" => %e),
        }
    }

    /// Accepts the next process's connection and collects the snapshots of all workers for it.
    pub(super) fn accept_successor(&mut self) {
        let Some(Ok(socket)) = self.hot_restart.listener.as_ref().map(HandoverSocket::accept) else { return };
        // One process at a time: another that connects meanwhile is refused and starts without this one's state.
        if self.hot_restart.pending_snapshot.is_some() {
            return;
        }
        let merged = self.worker_snapshot();
        let awaited_workers = self.workers.count() - 1;
        self.workers.set_has_peer(true);
        self.hot_restart.pending_snapshot =
            Some(PendingSnapshot { socket, awaited_workers, merged, followed_by: Vec::new() });
        self.workers.send_to_others(self.this_worker, || WorkerMessage::CollectSnapshot);
        self.send_complete_snapshot();
    }

    /// The snapshot of this worker: the state of its balancer, and its requests in flight.
    pub(super) fn worker_snapshot(&self) -> WorkerSnapshot {
        let in_flight = self.requests.client_ids().map(|(id, deadline)| (id.to_string(), deadline));
        WorkerSnapshot { balancer: self.balancer.snapshot(), in_flight: in_flight.collect() }
    }

    /// Adds the snapshot of one more worker to the pending one.
    pub(super) fn add_worker_snapshot(&mut self, snapshot: WorkerSnapshot) {
        let Some(pending) = &mut self.hot_restart.pending_snapshot else { return };
        pending.add(snapshot);
        self.send_complete_snapshot();
    }

    /// Once all workers have sent their snapshots, sends the complete one with a copy of the listener, and then the
    /// commits that were made meanwhile.
    fn send_complete_snapshot(&mut self) {
        let pending = self.hot_restart.pending_snapshot.take_if(|pending| pending.awaited_workers == 0);
        let Some(PendingSnapshot { socket, merged, followed_by, .. }) = pending else { return };
        let listener = self.admission.listener.as_ref().and_then(|listener| listener.try_clone().ok());
        let Some(listener) = listener else { return self.update_has_peer() };
        info!(self.log, "hot restart: state handed over"; "clients" => self.workers.client_count(),
            "owed" => merged.in_flight.len());
        let snapshot = self.process_snapshot(merged);
        if let Some(peer) = self.add_peer(socket, true, 0, false) {
            self.send_to_peer(peer, &Message::Snapshot(Box::new(snapshot)), Some(listener.into()));
            for message in followed_by {
                self.send_to_peer(peer, &message, None);
            }
        }
        self.update_has_peer();
    }

    /// The snapshot of this process, from the merged snapshots of its workers.
    fn process_snapshot(&self, merged: WorkerSnapshot) -> GatewaySnapshot {
        GatewaySnapshot {
            position_reference: self.clock.reference(),
            clock_reading: Some(self.clock.reading()),
            config: self.config_text.clone(),
            discovery: self.discovery.address,
            list_revision: self.discovery.watch.version(),
            directory: self.directory.clone(),
            class_ids: self.classes.names().map(|(name, id)| (name.clone(), id)).collect(),
            balancer: merged.balancer,
            administratively_down: self.admin.down.clone(),
            in_flight: merged.in_flight,
            open_clients: self.workers.client_count(),
            accepts_cancel: true,
            accepts_roles: true,
        }
    }

    /// Updates the flag by which all workers know whether there is another process.
    fn update_has_peer(&self) {
        self.workers.set_has_peer(self.hot_restart.has_peer());
    }

    /// Adds another process. None if its socket cannot be registered with the poller.
    fn add_peer(
        &mut self,
        socket: HandoverSocket,
        is_successor: bool,
        held_clients: usize,
        supports_cancel: bool,
    ) -> Option<usize> {
        let index = self.hot_restart.peers.vacant_key();
        let event = Event::readable(FIRST_PEER + index);
        self.poller.add_with_mode(&socket, event, PollMode::Level).ok()?;
        let held = self.workers.memory.entry(Holder::Handover);
        let peer = Peer {
            socket,
            is_successor,
            held_clients,
            supports_cancel,
            supports_roles: false,
            is_write_watched: false,
            held,
        };
        Some(self.hot_restart.peers.insert(peer))
    }

    /// Restores the previous process's state of this worker's groups.
    pub(super) fn restore(&mut self, snapshot: &GatewaySnapshot, clock_error: Micros) {
        let mut directory = snapshot.directory.clone();
        // These zones already include numbers for the zones that only the new settings name.
        directory.set_zones(self.directory.zones().clone());
        self.directory = directory;
        let previous_class = |class: ClassId| {
            let (name, _) = self.classes.names().find(|(_, id)| *id == class)?;
            snapshot.class_ids.get(name).copied()
        };
        let (workers, this_worker) = (&self.workers, self.this_worker);
        let own = snapshot.balancer.clone().for_groups(|group| workers.owning_worker(group) == this_worker);
        self.balancer.restore(own, previous_class, clock_error);
        self.requests.add_at_other_process(snapshot.in_flight.iter().cloned());
    }

    /// Takes the place of the previous process, which finishes its own requests. This one accepts clients from now on,
    /// and reports that it is ready.
    pub(super) fn take_place_of(&mut self, socket: HandoverSocket, snapshot: GatewaySnapshot) {
        self.admin.down = snapshot.administratively_down;
        self.discovery.address = snapshot.discovery;
        self.discovery.watch = Watch::from_version(snapshot.list_revision);
        info!(self.log, "hot restart: state taken over"; "clients" => snapshot.open_clients,
            "rev" => snapshot.list_revision.unwrap_or(0));
        self.workers.set_has_peer(true);
        if let Some(peer) = self.add_peer(socket, false, snapshot.open_clients, snapshot.accepts_cancel) {
            self.send_to_peer(peer, &Message::Ready, None);
            if snapshot.accepts_roles {
                self.handle_peer_accepts_roles(peer);
                self.send_to_peer(peer, &Message::AcceptsRoles, None);
            }
        }
        self.divide_host_connections();
    }

    /// Divides the connections to hosts equally among the processes.
    fn divide_host_connections(&mut self) {
        let processes = self.hot_restart.process_count();
        self.workers.send_to_others(self.this_worker, || WorkerMessage::ShareHostConnections(processes));
        self.share_host_connections(processes);
    }

    /// Limits this worker's connections to hosts to its share with this number of processes, and closes idle ones above
    /// it.
    pub(super) fn share_host_connections(&mut self, processes: usize) {
        self.pool.share(processes);
        self.workers.memory.share(processes);
        while !self.pool.has_capacity() {
            let Some(idle) = self.pool.oldest().or(self.abandoned.oldest()) else { break };
            self.close(idle);
        }
    }

    /// Number of descriptors for clients that this process leaves to other processes, at most half of them.
    pub(super) fn descriptors_lent(&self) -> usize {
        self.hot_restart.descriptors_of_peers().min(self.admission.limits.clients / 2)
    }

    pub(super) fn send_to_peer(&mut self, index: usize, message: &Message, descriptor: Option<OwnedFd>) {
        let Some(peer) = self.hot_restart.peers.get_mut(index) else { return };
        let sent = peer.socket.send(message, descriptor);
        self.handle_peer_sent(index, sent);
    }

    fn send_to_peers(&mut self, except: Option<usize>, message: &Message) {
        for index in self.hot_restart.peer_indices() {
            if Some(index) != except {
                self.send_to_peer(index, message, None);
            }
        }
    }

    /// Handles the result of sending to a peer: updates the events that the poller watches for, or removes the peer
    /// after an error.
    fn handle_peer_sent(&mut self, index: usize, sent: io::Result<()>) {
        let watched = sent.and_then(|()| self.watch_peer(index));
        if let Err(e) = watched {
            self.remove_peer(index, &e);
        }
    }

    fn watch_peer(&mut self, index: usize) -> io::Result<()> {
        let Some(peer) = self.hot_restart.peers.get_mut(index) else { return Ok(()) };
        peer.held.set(peer.socket.allocated());
        let is_behind = peer.socket.has_pending_output();
        if std::mem::replace(&mut peer.is_write_watched, is_behind) == is_behind {
            return Ok(());
        }
        let interest = Event { key: FIRST_PEER + index, readable: true, writable: is_behind };
        self.poller.modify_with_mode(&peer.socket, interest, PollMode::Level)
    }

    /// Sends a peer the messages that were waiting until its socket is writable.
    pub(super) fn flush_peer(&mut self, index: usize) {
        if let Some(peer) = self.hot_restart.peers.get_mut(index) {
            let sent = peer.socket.flush();
            self.handle_peer_sent(index, sent);
        }
    }

    /// Removes a peer that has ended or violates the protocol. If it was the next process, this one accepts clients
    /// again, unless it is shutting down.
    fn remove_peer(&mut self, index: usize, why: &io::Error) {
        let Some(peer) = self.hot_restart.peers.try_remove(index) else { return };
        let _ = self.poller.delete(&peer.socket);
        info!(self.log, "hot restart: the other process is gone"; "followed" => peer.is_successor, "why" => %why);
        self.update_has_peer();
        self.forget_roles_of_peer();
        if self.hot_restart.successor == Some(index) {
            self.hot_restart.successor = None;
            self.workers.set_has_successor(false);
            if self.phase == Phase::Serving {
                self.listen_for_successor();
                self.set_accepting(true);
            }
        }
        self.divide_host_connections();
    }

    /// Receives and handles the messages of all peers, so that later decisions take them into account.
    pub(super) fn receive_from_peers(&mut self) {
        for index in self.hot_restart.peer_indices() {
            while let Some(peer) = self.hot_restart.peers.get_mut(index) {
                match peer.socket.receive() {
                    Ok(None) => break,
                    Ok(Some((message, descriptor))) => self.handle_peer_message(index, message, descriptor),
                    Err(e) => self.remove_peer(index, &e),
                }
            }
        }
    }

    fn handle_peer_message(&mut self, index: usize, message: Message, descriptor: Option<OwnedFd>) {
        match message {
            Message::Ready => self.handle_successor_ready(index),
            Message::Client { greeted, has_queried, bytes, key, arrivals } => {
                if let Some(peer) = self.hot_restart.peers.get_mut(index) {
                    peer.held_clients = peer.held_clients.saturating_sub(1);
                }
                if let Some(socket) = descriptor {
                    let state = ProtocolHandover { key, greeted, bytes, arrivals };
                    let held = self.workers.memory.entry(Holder::Handover);
                    self.adopt_client(ClientHandover { socket: socket.into(), has_queried, state, held });
                }
            }
            Message::RemainingClients { clients } => {
                if let Some(peer) = self.hot_restart.peers.get_mut(index) {
                    peer.held_clients = clients;
                }
            }
            Message::Commit { group, session, commit } => {
                self.handle_peer_commit(index, Commit { group, session, position: commit });
            }
            Message::SetDown { host, down } => self.handle_peer_set_down(index, host, down),
            Message::Cancel(key) => {
                if !self.cancel_here(key) {
                    self.workers.send_to_others(self.this_worker, || WorkerMessage::Cancel(key));
                }
            }
            Message::AcceptsRoles => self.handle_peer_accepts_roles(index),
            Message::Roles(roles) => self.handle_peer_roles(roles),
            Message::Snapshot(_) => warn!(self.log, "hot restart: ignored an unexpected state snapshot"),
        }
    }

    /// Handles the next process's report that it accepts clients from now on.
    fn handle_successor_ready(&mut self, index: usize) {
        info!(self.log, "hot restart: the next process accepts clients"; "clients" => self.connections.client_count());
        self.hot_restart.successor = Some(index);
        self.workers.set_has_successor(true);
        self.set_accepting(false);
        if let Some(listener) = self.hot_restart.listener.take() {
            let _ = self.poller.delete(&listener);
        }
        self.divide_host_connections();
        self.hand_over_clients();
    }

    fn handle_peer_commit(&mut self, index: usize, commit: Commit) {
        let worker = self.workers.owning_worker(commit.group);
        if worker == self.this_worker {
            self.record_commit(commit);
        } else {
            self.workers.send(worker, WorkerMessage::RecordCommit(commit));
        }
        self.send_to_peers(Some(index), &commit.to_message());
    }

    fn handle_peer_set_down(&mut self, index: usize, host: String, down: bool) {
        let message = || WorkerMessage::SetDown { host: host.clone(), down, call: None };
        self.workers.send_to_others(self.this_worker, message);
        self.set_down(&host, down);
        self.store_down(&host, down);
        self.send_to_peers(Some(index), &Message::SetDown { host, down });
    }

    /// Serves a client that the previous process has handed over, or one that could not be handed over.
    fn adopt_client(&mut self, client: ClientHandover) {
        let ClientHandover { socket, has_queried, state, held: _held } = client;
        let protocol = ClientProtocol::resume(self.admission.limits.message, state, self.now);
        let mut client = ClientConnection::new(protocol, self.now, &self.workers.memory);
        client.has_queried = has_queried;
        self.workers.add_client(self.this_worker);
        self.add_client(socket, client);
    }

    /// Hands a client over to the next process if it waits for no answer. False if it stays.
    pub(super) fn try_hand_over_client(&mut self, id: ConnectionId) -> bool {
        if !self.workers.has_successor() {
            return false;
        }
        let Some(client) = self.connections.client(id) else { return false };
        if client.in_flight.is_some() || client.is_closing {
            return false;
        }
        let has_queried = client.has_queried;
        let message_bytes = JSON_BYTES_PER_BYTE * client.protocol.unparsed_input();
        if message_bytes > 0 && !self.may_queue_handover(message_bytes) {
            return false;
        }
        let Some(client) = self.connections.client(id) else { return false };
        let Some(state) = client.protocol.to_handover() else { return false };
        // Counted for the first worker until it is sent, so that the first worker does not end before.
        self.workers.add_client(0);
        let Some(connection) = self.remove_connection(id) else {
            self.workers.remove_client(0);
            return true;
        };
        // No request of the client is in flight, so no other worker looks at its socket.
        let Some(socket) = Arc::into_inner(connection.socket) else {
            self.workers.remove_client(0);
            return true;
        };
        let held = self.workers.memory.hold(Holder::Handover, message_bytes);
        let client = ClientHandover { socket, has_queried, state, held };
        if self.this_worker == 0 {
            self.send_client(client);
        } else {
            self.workers.send(0, WorkerMessage::HandOverClient(Box::new(client)));
        }
        true
    }

    /// Whether a message of this length may join those that wait for the next process. A client whose message may not
    /// stays, and is tried again by the next sweep.
    fn may_queue_handover(&self, message_bytes: usize) -> bool {
        let queued = self.workers.memory.held(Holder::Handover);
        let max_queued = (self.workers.memory.limit() / HANDOVER_DIVISOR).min(MAX_MESSAGE_BYTES / 2);
        queued + message_bytes <= max_queued
    }

    /// Sends a client to the next process. If that process has ended, the client stays here.
    pub(super) fn send_client(&mut self, client: ClientHandover) {
        match self.hot_restart.successor {
            Some(successor) => {
                let (message, socket) = client.into_message();
                self.send_to_peer(successor, &message, Some(socket));
            }
            None => self.adopt_client(client),
        }
        self.workers.remove_client(0);
    }

    /// Hands over all clients that wait for no answer, and reports how many are left.
    pub(super) fn hand_over_clients(&mut self) {
        let ids: Vec<ConnectionId> = self.connections.iter().map(|(id, _)| id).collect();
        for id in ids {
            self.try_hand_over_client(id);
        }
        if let Some(successor) = self.hot_restart.successor {
            let remaining = Message::RemainingClients { clients: self.workers.client_count() };
            self.send_to_peer(successor, &remaining, None);
        }
    }

    /// Sends the other process a session's commit, before the client gets its answer.
    pub(super) fn send_commit_to_peers(&mut self, commit: Commit) {
        let message = commit.to_message();
        self.send_to_peers(None, &message);
        if let Some(pending) = &mut self.hot_restart.pending_snapshot {
            pending.followed_by.push(message);
        }
    }

    /// Sends the other process a cancel request whose client is not at this process.
    pub(super) fn send_cancel_to_peers(&mut self, key: CancelKey) {
        for index in self.hot_restart.peers_with_cancel() {
            self.send_to_peer(index, &Message::Cancel(key), None);
        }
    }

    /// Sends the other process an operator's change of a host's administrative state, before the confirmation is sent.
    pub(super) fn send_down_to_peers(&mut self, host: &str, down: bool) {
        self.send_to_peers(None, &Message::SetDown { host: host.to_string(), down });
    }
}
