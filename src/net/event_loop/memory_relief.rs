//! Keeps the buffers within the memory budget. While it is exceeded, connections that hold much are not read, long
//! statements are rejected, and clients are ended that have sent nothing of an incomplete command, or have had an answer
//! unread, for the longest time. Each client may always hold a little, so that short requests are served meanwhile.

use slog::info;

use super::client_connection::{ReclaimKind, ReclaimRank};
use super::connections::{ConnectionId, ConnectionKind};
use super::{Gateway, Phase};
use crate::memory::Holder;

/// Number of bytes that a client may hold in each direction although the budget is exceeded.
pub(super) const SMALL_HOLDING: usize = 8 * 1024;
/// Most bytes of pipelined commands that are read ahead, also as a part of the budget, and the part of the budget up to
/// which they are.
const MAX_READ_AHEAD_BYTES: usize = 4 * 1024 * 1024;
const READ_AHEAD_DIVISOR: usize = 4;
const READ_AHEAD_ROOM_DIVISOR: usize = 2;
/// A host is not read while the client that its response streams to has this many bytes of pending output.
const MAX_UNREAD_BYTES: usize = 64 * 1024;

impl Gateway {
    /// Ends clients, one at a time, until the budget is kept or no other client can be ended.
    pub(super) fn relieve_memory(&mut self) {
        if !self.workers.memory.is_exceeded() {
            return;
        }
        for (rank, id) in self.reclaimable_clients() {
            if !self.workers.memory.is_exceeded() {
                return;
            }
            self.reclaim(id, rank);
        }
    }

    /// The clients that can be ended for their memory, in the order in which they are.
    fn reclaimable_clients(&mut self) -> Vec<(ReclaimRank, ConnectionId)> {
        let now = self.now;
        let clients = self.connections.clients();
        let mut ranked: Vec<_> =
            clients.filter_map(|(id, client)| client.reclaim_rank(now).map(|rank| (rank, id))).collect();
        ranked.sort_unstable();
        ranked
    }

    fn reclaim(&mut self, id: ConnectionId, rank: ReclaimRank) {
        self.counts.reclaimed += 1;
        if self.counts.reclaimed == 1 {
            info!(self.log, "memory budget exceeded, ending a client"; "why" => rank.kind.name(),
                "held" => self.workers.memory.total(), "limit" => self.workers.memory.limit());
        }
        match rank.kind {
            // It was never forwarded, so that the client may safely repeat it.
            ReclaimKind::IncompleteCommand => {
                self.close_with_error(id, "53300", "no memory for long commands, try again");
            }
            ReclaimKind::UnreadAnswer => self.handle_connection_lost(id),
        }
    }

    /// Whether a connection may be read, as far as memory is concerned. One that may not is looked at again once the
    /// budget is kept.
    pub(super) fn has_memory_to_read(&mut self, id: ConnectionId) -> bool {
        let memory = &self.workers.memory;
        if !memory.is_exceeded() {
            return true;
        }
        // Otherwise a response may be what returns the memory of its statement.
        let do_clients_read_slowly = memory.held(Holder::ClientOutput) > memory.limit() / 2;
        let Some(connection) = self.connections.get_mut(id) else { return true };
        let is_paused = match &mut connection.kind {
            ConnectionKind::Client(client) => client.protocol.unparsed_input() > SMALL_HOLDING,
            ConnectionKind::Host(host) => {
                let is_paused = do_clients_read_slowly && host.protocol.response_bytes() > SMALL_HOLDING;
                self.change_pause(id, |host| host.is_memory_paused = is_paused);
                is_paused
            }
            _ => false,
        };
        self.has_paused_connections |= is_paused;
        !is_paused
    }

    /// Number of bytes of a client's pipelined commands that are read while there is much room. The end of its connection
    /// is seen only once everything before it has been read, or fits into the system's buffers.
    pub(super) fn read_ahead_bytes(&self) -> usize {
        let memory = &self.workers.memory;
        let has_room = memory.total() <= memory.limit() / READ_AHEAD_ROOM_DIVISOR;
        // The next process gets the input of clients in one message each.
        if has_room && self.phase == Phase::Serving && !self.workers.has_peer() {
            MAX_READ_AHEAD_BYTES.min(memory.limit() / READ_AHEAD_DIVISOR)
        } else {
            0
        }
    }

    /// Resumes the connections that were not read while the budget was exceeded.
    pub(super) fn resume_paused_connections(&mut self) {
        if !self.has_paused_connections || self.workers.memory.is_exceeded() {
            return;
        }
        self.has_paused_connections = false;
        let now = self.now;
        let ids: Vec<ConnectionId> = self.connections.iter().map(|(id, _)| id).collect();
        for id in ids {
            if let Some(host) = self.connections.host(id).filter(|host| host.is_memory_paused) {
                host.last_received = now;
                self.change_pause(id, |host| host.is_memory_paused = false);
            }
            self.update_interest(id);
        }
    }

    /// The number of bytes of pending output from which on a client's streamed response is not read from its host.
    pub(super) fn max_unread_bytes(&self) -> usize {
        if self.workers.memory.is_exceeded() {
            SMALL_HOLDING
        } else {
            MAX_UNREAD_BYTES
        }
    }
}
