//! The other processes of this gateway during a hot restart: the one before and the one after.

use std::os::fd::OwnedFd;
use std::path::PathBuf;

use slab::Slab;

use super::mailboxes::{ClientHandover, Commit, WorkerSnapshot};
use crate::hot_restart::handover_socket::HandoverSocket;
use crate::hot_restart::message::Message;
use crate::pg::client::ProtocolHandover;

/// Descriptors that the other process takes for itself while there are two.
const PEER_RESERVE: usize = 24;

/// Another process of this gateway.
pub(super) struct Peer {
    pub(super) socket: HandoverSocket,
    /// It is the one after this.
    pub(super) is_successor: bool,
    /// Clients that the process before still holds.
    pub(super) held_clients: usize,
    /// It understands cancel messages.
    pub(super) understands_cancel: bool,
    /// The poller says when the socket can be written.
    pub(super) is_write_watched: bool,
}

/// The snapshot for a process that has connected, until all workers have sent theirs.
pub(super) struct PendingSnapshot {
    pub(super) socket: HandoverSocket,
    pub(super) awaited_workers: usize,
    pub(super) known: WorkerSnapshot,
    /// What is sent behind the snapshot.
    pub(super) followed_by: Vec<Message>,
}

impl PendingSnapshot {
    /// Adds one more worker's snapshot.
    pub(super) fn add(&mut self, snapshot: WorkerSnapshot) {
        self.known.balancer.merge(snapshot.balancer);
        self.known.in_flight.extend(snapshot.in_flight);
        self.awaited_workers = self.awaited_workers.saturating_sub(1);
    }
}

/// The processes of this gateway before and after this one.
#[derive(Default)]
pub(super) struct HotRestart {
    /// Where this process waits for the next one, and the socket on which it does.
    pub(super) path: Option<PathBuf>,
    pub(super) listener: Option<OwnedFd>,
    pub(super) peers: Slab<Peer>,
    /// The peer that takes the clients.
    pub(super) successor: Option<usize>,
    pub(super) pending_snapshot: Option<PendingSnapshot>,
}

impl HotRestart {
    /// Descriptors that other processes hold of those that clients may take.
    pub(super) fn descriptors_of_peers(&self) -> usize {
        self.peers.iter().map(|(_, peer)| peer.held_clients + PEER_RESERVE).sum()
    }

    /// Number of processes, this one included, that share connections to hosts.
    pub(super) fn process_count(&self) -> usize {
        if self.peers.is_empty() {
            1
        } else {
            2
        }
    }

    /// Whether there is another process, or one is about to get its snapshot.
    pub(super) fn has_peer(&self) -> bool {
        !self.peers.is_empty() || self.pending_snapshot.is_some()
    }

    /// The peers' indices.
    pub(super) fn peer_indices(&self) -> Vec<usize> {
        self.peers.iter().map(|(index, _)| index).collect()
    }

    /// The indices of those peers that understand cancel messages.
    pub(super) fn peers_that_cancel(&self) -> Vec<usize> {
        let understanding = self.peers.iter().filter(|(_, peer)| peer.understands_cancel);
        understanding.map(|(index, _)| index).collect()
    }

    /// Whether something is still on its way to another process.
    pub(super) fn has_unsent(&self) -> bool {
        self.peers.iter().any(|(_, peer)| peer.socket.has_pending_output())
    }
}

impl Commit {
    /// As it is sent to another process.
    pub(super) fn to_message(self) -> Message {
        Message::Commit { group: self.group, session: self.session, commit: self.position }
    }
}

impl ClientHandover {
    /// As it is sent to another process: the message, and the socket that goes along.
    pub(super) fn into_message(self) -> (Message, OwnedFd) {
        let ProtocolHandover { key, greeted, bytes, arrivals } = self.state;
        let message = Message::Client { greeted, has_queried: self.has_asked, bytes, key, arrivals };
        (message, self.socket.into())
    }
}
