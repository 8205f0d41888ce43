//! Streams long values from host to client as they arrive. A host is not read while its client reads too slowly.

use super::connections::ConnectionId;
use super::host_connection::HostTask;
use super::mailboxes::{Owner, WorkerMessage};
use super::Gateway;
use crate::memory::Holder;
use crate::RequestId;

impl Gateway {
    /// Handles the start of a streamed response. From here on the request can neither be retried nor cancelled.
    pub(super) fn start_streaming(&mut self, request_id: RequestId) {
        if self.balancer.start_streaming(self.now, request_id) {
            self.requests.start_streaming(request_id);
        }
    }

    /// Forwards the bytes of a streamed response that have been received.
    pub(super) fn forward_stream(&mut self, id: ConnectionId) {
        let Some(host) = self.connections.host(id) else { return };
        let HostTask::Attempt(request_id) = host.task else { return self.discard_streamed(id) };
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
            let held = self.workers.memory.hold(Holder::Mailboxes, bytes.capacity());
            let chunk =
                WorkerMessage::Chunk { from: self.this_worker, client: owner.connection, bytes, held };
            self.workers.send(owner.worker, chunk);
            // One chunk at a time, which limits the bytes of a value in the mailbox.
            true
        };
        if is_paused {
            self.set_reading_paused(id, true);
        }
    }

    /// Writes a chunk of a streamed response to its client. True if the client has too many unread bytes after it.
    fn write_chunk(&mut self, client: ConnectionId, bytes: &[u8]) -> bool {
        let Some(connection) = self.connections.client(client) else { return false };
        connection.protocol.out.push(bytes);
        self.write(client);
        let max_unread = self.max_unread_bytes();
        self.connections.client(client).is_some_and(|client| client.protocol.out.len() >= max_unread)
    }

    /// Handles a chunk of a streamed response from the owning worker, which waits for a reply before it sends the next.
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

    /// Resumes reading from a host after the client of its streamed response has read enough.
    pub(super) fn resume_streaming(&mut self, request_id: RequestId) {
        let now = self.now;
        let Some(id) = self.requests.get(request_id).and_then(crate::request::InFlightRequest::attempt)
        else {
            return;
        };
        if let Some(host) = self.connections.host(id).filter(|host| host.is_reading_paused) {
            host.last_received = now;
            self.set_reading_paused(id, false);
        }
    }

    /// Ends a request whose streamed response cannot be finished. Closing the connection tells the client.
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
