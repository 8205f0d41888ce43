//! The loop's part for long values: they pass from host to client as they come, and the host waits for
//! a client that reads slowly.

use super::hosts::Task;
use super::slots::Key;
use super::workers::{Owner, WorkerMessage};
use super::Gateway;
use crate::RequestId;

/// A host is not read while the client that its answer flows to has so much unread.
pub(super) const UNREAD: usize = 64 * 1024;

impl Gateway {
    /// The answer on a connection to a host begins to flow: the request belongs to its client.
    pub(super) fn begin_flow(&mut self, request_id: RequestId) {
        if self.balancer.start_streaming(self.now, request_id) {
            self.requests.start_streaming(request_id);
        }
    }

    /// Passes on what has come of an answer that flows.
    pub(super) fn flow(&mut self, key: Key) {
        let Some(host) = self.host(key) else { return };
        let Task::Attempt(request_id) = host.task else { return };
        let bytes = host.protocol.flow();
        let Some(owner) = self
            .requests
            .get(request_id)
            .filter(|request| request.is_streaming())
            .map(|request| request.owner)
        else {
            return;
        };
        if bytes.is_empty() {
            return;
        }
        let full = match owner.worker == self.me {
            true => self.pass_on_bytes(owner.key, &bytes),
            false => {
                let (home, key) = (self.me, owner.key);
                self.workers.deliver(owner.worker, WorkerMessage::Piece { home, key, bytes });
                // One piece at a time: the post holds no more of a value than that.
                true
            }
        };
        if let Some(host) = self.host(key).filter(|_| full) {
            host.held = true;
            self.arm(key);
        }
    }

    /// Writes a piece of a long value to its client. True if it has enough unread now.
    fn pass_on_bytes(&mut self, key: Key, bytes: &[u8]) -> bool {
        let Some(client) = self.client(key) else { return false };
        client.protocol.out.bytes.extend_from_slice(bytes);
        self.write(key);
        self.client(key).is_some_and(|client| client.protocol.out.len() >= UNREAD)
    }

    /// A piece of a long value has come from its home, which waits for a word before it sends the next.
    pub(super) fn piece(&mut self, home: usize, key: Key, bytes: &[u8]) {
        if self.pass_on_bytes(key, bytes) {
            if let Some(client) = self.client(key) {
                client.choked = true;
            }
        } else if self.client(key).is_some() {
            self.workers.deliver(home, WorkerMessage::Drained(Owner { worker: self.me, key }));
        }
    }

    /// The client of an answer that flows has read on: so is its host.
    pub(super) fn let_flow(&mut self, request_id: RequestId) {
        let now = self.now;
        let Some(key) = self.requests.get(request_id).and_then(|request| request.attempt()) else { return };
        if let Some(host) = self.host(key).filter(|host| host.held) {
            (host.held, host.heard) = (false, now);
            self.arm(key);
        }
    }

    /// An answer that flowed cannot be finished: its client is told by the end of the connection.
    pub(super) fn cut_off(&mut self, request_id: RequestId) {
        let Some(request) = self.conclude(request_id) else { return };
        self.counts.failed += 1;
        self.figures.class_mut(&request.statement.class).errors += 1;
        match request.owner.worker == self.me {
            true => self.cut(request.owner.key),
            false => self.workers.deliver(request.owner.worker, WorkerMessage::Cut(request.owner.key)),
        }
    }

    /// Ends the connection of a client whose answer cannot be finished.
    pub(super) fn cut(&mut self, key: Key) {
        if let Some(client) = self.client(key) {
            client.in_flight = None;
            self.close(key);
        }
    }
}
