//! The state of a hot restart: the connections to the previous and the next process of this gateway.

use std::os::fd::OwnedFd;
use std::path::PathBuf;

use slab::Slab;

use super::mailboxes::{ClientHandover, Commit, WorkerSnapshot};
use crate::hot_restart::handover_socket::HandoverSocket;
use crate::hot_restart::message::Message;
use crate::memory::HeldBytes;
use crate::pg::client::ProtocolHandover;

/// Descriptors that another process needs for itself, apart from its clients.
const PEER_RESERVE: usize = 24;

/// Another process of this gateway.
pub(super) struct Peer {
    pub(super) socket: HandoverSocket,
    /// It is the next process, not the previous one.
    pub(super) is_successor: bool,
    /// Number of clients that the previous process has not handed over yet.
    pub(super) held_clients: usize,
    /// It supports cancel messages.
    pub(super) supports_cancel: bool,
    /// It supports messages about the roles of hosts.
    pub(super) supports_roles: bool,
    /// The poller watches its socket for writing.
    pub(super) is_write_watched: bool,
    /// The bytes that wait in its socket's queue.
    pub(super) held: HeldBytes,
}

/// The snapshot for the next process while the snapshots of some workers are still missing.
pub(super) struct PendingSnapshot {
    pub(super) socket: HandoverSocket,
    pub(super) awaited_workers: usize,
    /// The snapshots of the workers that have replied, merged.
    pub(super) merged: WorkerSnapshot,
    /// Messages to send after the snapshot.
    pub(super) followed_by: Vec<Message>,
}

impl PendingSnapshot {
    /// Adds the snapshot of one more worker.
    pub(super) fn add(&mut self, snapshot: WorkerSnapshot) {
        self.merged.balancer.merge(snapshot.balancer);
        self.merged.in_flight.extend(snapshot.in_flight);
        self.awaited_workers = self.awaited_workers.saturating_sub(1);
    }
}

/// The previous and the next process of this gateway, and the handover socket.
#[derive(Default)]
pub(super) struct HotRestart {
    /// Path of the handover socket on which this process waits for the next one, and its listener.
    pub(super) path: Option<PathBuf>,
    pub(super) listener: Option<OwnedFd>,
    pub(super) peers: Slab<Peer>,
    /// Index of the peer that takes over the clients, once it has reported that it is ready.
    pub(super) successor: Option<usize>,
    pub(super) pending_snapshot: Option<PendingSnapshot>,
}

impl HotRestart {
    /// Number of descriptors that this process leaves to other processes out of those for clients.
    pub(super) fn descriptors_of_peers(&self) -> usize {
        self.peers.iter().map(|(_, peer)| peer.held_clients + PEER_RESERVE).sum()
    }

    /// Number of processes that share the connections to hosts, including this one.
    pub(super) fn process_count(&self) -> usize {
        if self.peers.is_empty() {
            1
        } else {
            2
        }
    }

    /// Whether there is another process, or one that waits for its snapshot.
    pub(super) fn has_peer(&self) -> bool {
        !self.peers.is_empty() || self.pending_snapshot.is_some()
    }

    /// The peers' indices.
    pub(super) fn peer_indices(&self) -> Vec<usize> {
        self.peers.iter().map(|(index, _)| index).collect()
    }

    /// The indices of the peers that support cancel messages.
    pub(super) fn peers_with_cancel(&self) -> Vec<usize> {
        let supporting = self.peers.iter().filter(|(_, peer)| peer.supports_cancel);
        supporting.map(|(index, _)| index).collect()
    }

    /// The indices of the peers that support messages about the roles of hosts.
    pub(super) fn peers_with_roles(&self) -> Vec<usize> {
        let supporting = self.peers.iter().filter(|(_, peer)| peer.supports_roles);
        supporting.map(|(index, _)| index).collect()
    }

    /// Whether messages to another process are still unsent.
    pub(super) fn has_unsent(&self) -> bool {
        self.peers.iter().any(|(_, peer)| peer.socket.has_pending_output())
    }
}

impl Commit {
    /// The message that sends this commit to another process.
    pub(super) fn to_message(self) -> Message {
        Message::Commit { group: self.group, session: self.session, commit: self.position }
    }
}

impl ClientHandover {
    /// The message that sends this client to another process, and the socket to pass with it.
    pub(super) fn into_message(self) -> (Message, OwnedFd) {
        let ProtocolHandover { key, greeted, bytes, arrivals } = self.state;
        let message = Message::Client { greeted, has_queried: self.has_queried, bytes, key, arrivals };
        (message, self.socket.into())
    }
}
