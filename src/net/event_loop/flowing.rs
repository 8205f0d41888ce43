//! The loop's part for long values: they pass from host to client as they come, and the host waits for
//! a client that reads slowly.

use super::hosts::Task;
use super::slots::Key;
use super::Gateway;
use crate::balancer::Ticket;

/// A host is not read while the client that its answer flows to has so much unread.
pub(super) const UNREAD: usize = 64 * 1024;

impl Gateway {
    /// The answer on a connection to a host begins to flow: the request belongs to its client.
    pub(super) fn begin_flow(&mut self, ticket: Ticket) {
        if self.balancer.started(self.now, ticket) {
            self.ledger.flow(ticket);
        }
    }

    /// Passes on what has come of an answer that flows.
    pub(super) fn flow(&mut self, key: Key) {
        let Some(host) = self.host(key) else { return };
        let Task::Attempt(ticket) = host.task else { return };
        let bytes = host.protocol.flow();
        let Some(owner) = self.ledger.get(ticket).filter(|life| life.flows()).map(|life| life.owner) else {
            return;
        };
        let Some(client) = self.client(owner).filter(|_| !bytes.is_empty()) else { return };
        client.protocol.out.bytes.extend_from_slice(&bytes);
        self.write(owner);
        let unread = self.client(owner).map_or(0, |client| client.protocol.out.len());
        if let Some(host) = self.host(key).filter(|_| unread >= UNREAD) {
            host.held = true;
            self.arm(key);
        }
    }

    /// The client of an answer that flows has read on: so is its host.
    pub(super) fn let_flow(&mut self, ticket: Ticket) {
        let now = self.now;
        let Some(key) = self.ledger.get(ticket).and_then(|life| life.attempt()) else { return };
        if let Some(host) = self.host(key).filter(|host| host.held) {
            (host.held, host.heard) = (false, now);
            self.arm(key);
        }
    }

    /// An answer that flowed cannot be finished: its client is told by the end of the connection.
    pub(super) fn cut_off(&mut self, ticket: Ticket) {
        let Some(life) = self.ledger.finish(ticket) else { return };
        self.counts.failed += 1;
        self.figures.class(&life.work.class).errors += 1;
        if let Some(client) = self.client(life.owner) {
            client.ticket = None;
            self.close(life.owner);
        }
    }
}
