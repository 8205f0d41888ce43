//! Hot restart: the next process of this gateway takes over what this one knows, its listener and its clients, and this
//! one did so from the process before.

use std::io;
use std::os::fd::OwnedFd;

use polling::{Event, PollMode};
use slog::{info, warn};

use super::client_connection::ClientConnection;
use super::connections::ConnectionId;
use super::mailboxes::{ClientHandover, Commit, WorkerMessage, WorkerSnapshot};
use super::peers::{Peer, PendingSnapshot};
use super::poll_keys::{FIRST_PEER, HANDOVER_LISTENER};
use super::{Gateway, Phase};
use crate::hot_restart::handover_socket::{self, HandoverSocket};
use crate::hot_restart::message::{GatewaySnapshot, Message};
use crate::net::discovery::Watch;
use crate::pg::client::{ClientProtocol, ProtocolHandover};
use crate::pg::codec::CancelKey;
use crate::{ClassId, Micros};

impl Gateway {
    /// Waits for the next process, where there is a path for it.
    pub(super) fn listen_for_successor(&mut self) {
        let Some(path) = &self.hot_restart.path else { return };
        let listener = handover_socket::listen(path).and_then(|listener| {
            self.poller.add_with_mode(&listener, Event::readable(HANDOVER_LISTENER), PollMode::Level)?;
            Ok(listener)
        });
        match listener {
            Ok(listener) => self.hot_restart.listener = Some(listener),
            Err(e) => warn!(self.log, "no upgrade without a stop: cannot wait for it"; "error" => %e),
        }
    }

    /// The next process has connected: it gets the snapshot of all workers and a copy of the listener.
    pub(super) fn accept_successor(&mut self) {
        let Some(Ok(socket)) = self.hot_restart.listener.as_ref().map(HandoverSocket::accept) else { return };
        // One at a time: another that connects meanwhile starts alone.
        if self.hot_restart.pending_snapshot.is_some() {
            return;
        }
        let known = self.worker_snapshot();
        let awaited_workers = self.workers.count() - 1;
        self.workers.set_has_peer(true);
        self.hot_restart.pending_snapshot =
            Some(PendingSnapshot { socket, awaited_workers, known, followed_by: Vec::new() });
        self.workers.send_to_others(self.this_worker, || WorkerMessage::CollectSnapshot);
        self.send_complete_snapshot();
    }

    /// What this worker knows.
    pub(super) fn worker_snapshot(&self) -> WorkerSnapshot {
        let in_flight = self.requests.client_ids().map(|(id, deadline)| (id.to_string(), deadline));
        WorkerSnapshot { balancer: self.balancer.snapshot(), in_flight: in_flight.collect() }
    }

    /// One more worker has sent what it knows.
    pub(super) fn add_worker_snapshot(&mut self, snapshot: WorkerSnapshot) {
        let Some(pending) = &mut self.hot_restart.pending_snapshot else { return };
        pending.add(snapshot);
        self.send_complete_snapshot();
    }

    /// Sends the snapshot once all workers have sent theirs, and then the commits since.
    fn send_complete_snapshot(&mut self) {
        let pending = self.hot_restart.pending_snapshot.take_if(|pending| pending.awaited_workers == 0);
        let Some(PendingSnapshot { socket, known, followed_by, .. }) = pending else { return };
        let listener = self.admission.listener.as_ref().and_then(|listener| listener.try_clone().ok());
        let Some(listener) = listener else { return self.update_has_peer() };
        info!(self.log, "upgrade: state handed over"; "clients" => self.workers.client_count(),
            "owed" => known.in_flight.len());
        let snapshot = self.process_snapshot(known);
        if let Some(peer) = self.add_peer(socket, true, 0, false) {
            self.send_to_peer(peer, &Message::Snapshot(Box::new(snapshot)), Some(listener.into()));
            for message in followed_by {
                self.send_to_peer(peer, &message, None);
            }
        }
        self.update_has_peer();
    }

    /// What this process knows, of which the workers know this.
    fn process_snapshot(&self, known: WorkerSnapshot) -> GatewaySnapshot {
        GatewaySnapshot {
            position_reference: self.clock.reference(),
            clock_reading: Some(self.clock.reading()),
            config: self.config_text.clone(),
            discovery: self.discovery.address,
            list_revision: self.discovery.watch.version(),
            directory: self.directory.clone(),
            class_ids: self.classes.names().map(|(name, id)| (name.clone(), id)).collect(),
            balancer: known.balancer,
            administratively_down: self.admin.down.clone(),
            in_flight: known.in_flight,
            open_clients: self.workers.client_count(),
            accepts_cancel: true,
        }
    }

    /// Lets all workers know whether there is another process.
    fn update_has_peer(&self) {
        self.workers.set_has_peer(self.hot_restart.has_peer());
    }

    /// Adds another process. None if the poller does not take its socket.
    fn add_peer(
        &mut self,
        socket: HandoverSocket,
        is_successor: bool,
        held_clients: usize,
        understands_cancel: bool,
    ) -> Option<usize> {
        let index = self.hot_restart.peers.vacant_key();
        let event = Event::readable(FIRST_PEER + index);
        self.poller.add_with_mode(&socket, event, PollMode::Level).ok()?;
        let peer = Peer { socket, is_successor, held_clients, understands_cancel, is_write_watched: false };
        Some(self.hot_restart.peers.insert(peer))
    }

    /// Restores what the process before knew of this worker's groups.
    pub(super) fn restore(&mut self, snapshot: &GatewaySnapshot, clock_error: Micros) {
        let mut directory = snapshot.directory.clone();
        // Zones that only the new settings name have got their numbers by now.
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

    /// Takes the place of the process before, which goes on with its requests: this one takes clients from now on, and
    /// says so.
    pub(super) fn take_place_of(&mut self, socket: HandoverSocket, snapshot: GatewaySnapshot) {
        self.admin.down = snapshot.administratively_down;
        self.discovery.address = snapshot.discovery;
        self.discovery.watch = Watch::from_version(snapshot.list_revision);
        info!(self.log, "upgrade: state taken over"; "clients" => snapshot.open_clients,
            "rev" => snapshot.list_revision.unwrap_or(0));
        self.workers.set_has_peer(true);
        if let Some(peer) = self.add_peer(socket, false, snapshot.open_clients, snapshot.accepts_cancel) {
            self.send_to_peer(peer, &Message::Ready, None);
        }
        self.divide_host_connections();
    }

    /// While there are two processes, each has its fraction of the connections to hosts that both may have.
    fn divide_host_connections(&mut self) {
        let processes = self.hot_restart.process_count();
        self.workers.send_to_others(self.this_worker, || WorkerMessage::ShareHostConnections(processes));
        self.share_host_connections(processes);
    }

    /// Shares this worker's connections to hosts with so many processes.
    pub(super) fn share_host_connections(&mut self, processes: usize) {
        self.pool.share(processes);
        while !self.pool.has_capacity() {
            let Some(idle) = self.pool.oldest() else { break };
            self.close(idle);
        }
    }

    /// Clients that this process has no capacity for because of another.
    pub(super) fn descriptors_lent(&self) -> usize {
        self.hot_restart.descriptors_of_peers().min(self.admission.limits.clients / 2)
    }

    fn send_to_peer(&mut self, index: usize, message: &Message, with: Option<OwnedFd>) {
        let Some(peer) = self.hot_restart.peers.get_mut(index) else { return };
        let sent = peer.socket.send(message, with);
        self.handle_peer_sent(index, sent);
    }

    fn send_to_peers(&mut self, except: Option<usize>, message: &Message) {
        for index in self.hot_restart.peer_indices() {
            if Some(index) != except {
                self.send_to_peer(index, message, None);
            }
        }
    }

    /// After something was sent to a peer: has the poller watch its socket for what it needs, or gives it up.
    fn handle_peer_sent(&mut self, index: usize, sent: io::Result<()>) {
        let watched = sent.and_then(|()| self.watch_peer(index));
        if let Err(e) = watched {
            self.remove_peer(index, &e);
        }
    }

    fn watch_peer(&mut self, index: usize) -> io::Result<()> {
        let Some(peer) = self.hot_restart.peers.get_mut(index) else { return Ok(()) };
        let is_behind = peer.socket.has_pending_output();
        if std::mem::replace(&mut peer.is_write_watched, is_behind) == is_behind {
            return Ok(());
        }
        let interest = Event { key: FIRST_PEER + index, readable: true, writable: is_behind };
        self.poller.modify_with_mode(&peer.socket, interest, PollMode::Level)
    }

    /// Sends a peer what waited for its socket.
    pub(super) fn flush_peer(&mut self, index: usize) {
        if let Some(peer) = self.hot_restart.peers.get_mut(index) {
            let sent = peer.socket.flush();
            self.handle_peer_sent(index, sent);
        }
    }

    /// A peer has ended, or breaks the protocol. If it was to take the clients, this process goes on.
    fn remove_peer(&mut self, index: usize, why: &io::Error) {
        let Some(peer) = self.hot_restart.peers.try_remove(index) else { return };
        let _ = self.poller.delete(&peer.socket);
        info!(self.log, "upgrade: the other process is gone"; "followed" => peer.is_successor, "why" => %why);
        self.update_has_peer();
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

    /// Receives from all peers, so that nothing is decided before what the other process has sent.
    pub(super) fn receive_from_peers(&mut self) {
        for index in self.hot_restart.peer_indices() {
            while let Some(peer) = self.hot_restart.peers.get_mut(index) {
                match peer.socket.receive() {
                    Ok(None) => break,
                    Ok(Some((message, with))) => self.handle_peer_message(index, message, with),
                    Err(e) => self.remove_peer(index, &e),
                }
            }
        }
    }

    fn handle_peer_message(&mut self, index: usize, message: Message, with: Option<OwnedFd>) {
        match message {
            Message::Ready => self.handle_successor_ready(index),
            Message::Client { greeted, has_queried, bytes, key, arrivals } => {
                if let Some(peer) = self.hot_restart.peers.get_mut(index) {
                    peer.held_clients = peer.held_clients.saturating_sub(1);
                }
                if let Some(socket) = with {
                    let state = ProtocolHandover { key, greeted, bytes, arrivals };
                    let client = ClientHandover { socket: socket.into(), has_asked: has_queried, state };
                    self.adopt_client(client);
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
            Message::Snapshot(_) => warn!(self.log, "upgrade: a state snapshot out of place"),
        }
    }

    /// The next process takes clients from now on.
    fn handle_successor_ready(&mut self, index: usize) {
        info!(self.log, "upgrade: the next process takes clients"; "clients" => self.connections.client_count());
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

    /// Serves a client that the process before has handed over.
    fn adopt_client(&mut self, ClientHandover { socket, has_asked, state }: ClientHandover) {
        let protocol = ClientProtocol::resume(self.admission.limits.message, state, self.now);
        let client = ClientConnection { has_asked, ..ClientConnection::new(protocol, self.now) };
        self.workers.add_client(self.this_worker);
        self.add_client(socket, client);
    }

    /// Hands a client over to the next process, if it is owed nothing. False if it stays.
    pub(super) fn try_hand_over_client(&mut self, id: ConnectionId) -> bool {
        if !self.workers.has_successor() {
            return false;
        }
        let Some(client) = self.connections.client(id) else { return false };
        if client.in_flight.is_some() || client.is_closing {
            return false;
        }
        let has_asked = client.has_asked;
        let Some(state) = client.protocol.to_handover() else { return false };
        // Counted until it is on the handover socket: the first worker does not end before.
        self.workers.add_client(0);
        let Some(connection) = self.remove_connection(id) else {
            self.workers.remove_client(0);
            return true;
        };
        let client = ClientHandover { socket: connection.socket, has_asked, state };
        if self.this_worker == 0 {
            self.send_client(client);
        } else {
            self.workers.send(0, WorkerMessage::HandOverClient(Box::new(client)));
        }
        true
    }

    /// Sends a client to the next process; if that has died the client stays here.
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

    /// Hands over all clients that are owed nothing, and says how many are left.
    pub(super) fn hand_over_clients(&mut self) {
        let ids: Vec<ConnectionId> = self.connections.iter().map(|(id, _)| id).collect();
        for id in ids {
            self.try_hand_over_client(id);
        }
        if let Some(successor) = self.hot_restart.successor {
            let holding = Message::RemainingClients { clients: self.workers.client_count() };
            self.send_to_peer(successor, &holding, None);
        }
    }

    /// Sends the other process a session's commit, before its client learns of it.
    pub(super) fn send_commit_to_peers(&mut self, commit: Commit) {
        let message = commit.to_message();
        self.send_to_peers(None, &message);
        if let Some(pending) = &mut self.hot_restart.pending_snapshot {
            pending.followed_by.push(message);
        }
    }

    /// Sends the other process a cancel that fits nobody here.
    pub(super) fn send_cancel_to_peers(&mut self, key: CancelKey) {
        for index in self.hot_restart.peers_that_cancel() {
            self.send_to_peer(index, &Message::Cancel(key), None);
        }
    }

    /// Sends the other process an operators' order on a host, before they get the confirmation.
    pub(super) fn send_down_to_peers(&mut self, host: &str, down: bool) {
        self.send_to_peers(None, &Message::SetDown { host: host.to_string(), down });
    }
}
