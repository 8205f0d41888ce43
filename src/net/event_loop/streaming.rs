//! Long values: they are streamed from host to client as they come, and the host waits for a client that reads slowly.

use super::connections::ConnectionId;
use super::host_connection::HostTask;
use super::mailboxes::{Owner, WorkerMessage};
use super::Gateway;
use crate::RequestId;

/// A host is not read while the client that its response streams to has so many bytes unread.
pub(super) const MAX_UNREAD: usize = 64 * 1024;

impl Gateway {
    /// The response of a request's attempt begins to stream: the request belongs to its client from here on.
    pub(super) fn start_streaming(&mut self, request_id: RequestId) {
        if self.balancer.start_streaming(self.now, request_id) {
            self.requests.start_streaming(request_id);
        }
    }

    /// Forwards what has come of a response that streams.
    pub(super) fn forward_stream(&mut self, id: ConnectionId) {
        let Some(host) = self.connections.host(id) else { return };
        let HostTask::Attempt(request_id) = host.task else { return };
        let bytes = host.protocol.take_streamed();
        let Some(request) = self.requests.get(request_id).filter(|request| request.is_streaming()) else {
            return;
        };
        if bytes.is_empty() {
            return;
        }
        let owner = request.owner;
        let is_paused = if owner.worker == self.this_worker {
            self.write_chunk(owner.connection, &bytes)
        } else {
            let chunk = WorkerMessage::Chunk { from: self.this_worker, client: owner.connection, bytes };
            self.workers.send(owner.worker, chunk);
            // One chunk at a time: the mailbox holds no more of a value than that.
            true
        };
        if is_paused {
            self.pause_reading(id);
        }
    }

    fn pause_reading(&mut self, id: ConnectionId) {
        if let Some(host) = self.connections.host(id) {
            host.is_reading_paused = true;
            self.update_interest(id);
        }
    }

    /// Writes a chunk of a streamed response to its client. True if it has enough unread now.
    fn write_chunk(&mut self, client: ConnectionId, bytes: &[u8]) -> bool {
        let Some(connection) = self.connections.client(client) else { return false };
        connection.protocol.out.bytes.extend_from_slice(bytes);
        self.write(client);
        self.connections.client(client).is_some_and(|client| client.protocol.out.len() >= MAX_UNREAD)
    }

    /// A chunk of a streamed response has come from its owning worker, which waits for a reply before it sends the next.
    pub(super) fn handle_chunk(&mut self, from: usize, client: ConnectionId, bytes: &[u8]) {
        let is_full = self.write_chunk(client, bytes);
        let Some(connection) = self.connections.client(client) else { return };
        if is_full {
            connection.is_stream_paused = true;
        } else {
            let owner = Owner { worker: self.this_worker, connection: client };
            self.workers.send(from, WorkerMessage::ResumeStreaming(owner));
        }
    }

    /// The client of a streamed response has read on: its host is read on as well.
    pub(super) fn resume_streaming(&mut self, request_id: RequestId) {
        let now = self.now;
        let Some(id) = self.requests.get(request_id).and_then(crate::request::InFlightRequest::attempt)
        else {
            return;
        };
        if let Some(host) = self.connections.host(id).filter(|host| host.is_reading_paused) {
            (host.is_reading_paused, host.last_received) = (false, now);
            self.update_interest(id);
        }
    }

    /// A streamed response cannot be finished: its client learns so by the end of the connection.
    pub(super) fn abort_streaming(&mut self, request_id: RequestId) {
        let Some(request) = self.remove_request(request_id) else { return };
        self.counts.failed += 1;
        self.metrics.class_mut(&request.statement.class).errors += 1;
        let Owner { worker, connection } = request.owner;
        if worker == self.this_worker {
            self.abort_response(connection);
        } else {
            self.workers.send(worker, WorkerMessage::AbortResponse(connection));
        }
    }

    /// Ends the connection of a client whose response cannot be finished.
    pub(super) fn abort_response(&mut self, id: ConnectionId) {
        if let Some(client) = self.connections.client(id) {
            client.in_flight = None;
            self.close(id);
        }
    }
}
