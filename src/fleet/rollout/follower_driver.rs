//! The connections of a gateway to its control servers. The driver never blocks: its caller, which is the gateway's
//! thread or a program that drives many gateways from one poller, decides when a turn is due.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dunemount_rollout::follower::{ApplyError, Follower, Output};
use dunemount_rollout::version::{Document, Version};
use polling::{Event, Poller};

use super::connections::{ConnectionEvent, Connections};

/// Most connections at a time: the one in use, the next one that is tried, and the one to the own zone's server.
const MAX_CONNECTIONS: usize = 3;

/// A gateway's state machine with its connections.
pub struct FollowerDriver {
    /// The state machine; the owner reads its status.
    pub follower: Follower,
    /// Addresses of the control servers, in the settings' order.
    addresses: Vec<SocketAddr>,
    connections: Connections,
    /// The state machine may have new outputs since the last turn.
    has_outputs: bool,
}

impl FollowerDriver {
    /// A gateway's state machine with the addresses of the control servers, in the settings' order. It uses three keys
    /// of the poller from the first one on.
    pub fn new(
        follower: Follower,
        addresses: Vec<SocketAddr>,
        poller: Arc<Poller>,
        first_key: usize,
    ) -> FollowerDriver {
        let connections = Connections::new(poller, first_key, MAX_CONNECTIONS);
        FollowerDriver { follower, addresses, connections, has_outputs: false }
    }

    /// Runs one turn: handles the poller's events and the timers, and carries out the outputs. The caller applies the
    /// returned versions one after the other, and reports each with [`FollowerDriver::handle_applied`].
    pub fn turn(&mut self, now: Duration, ready: &[Event]) -> Vec<Document> {
        let follower = &mut self.follower;
        self.connections.handle_ready(ready, |id, event| match event {
            ConnectionEvent::Established => follower.handle_connected(now, id),
            ConnectionEvent::Received(bytes) => follower.handle_bytes(now, id, bytes),
        });
        self.has_outputs = false;
        self.follower.tick(now);
        self.carry_out(now)
    }

    /// Handles the report that a version is stored and in force, or could not be applied.
    pub fn handle_applied(&mut self, now: Duration, version: Version, result: Result<(), ApplyError>) {
        self.follower.handle_applied(now, version, result);
        self.has_outputs = true;
    }

    /// When the next turn is due, unless the poller has events before.
    pub fn next_turn(&self) -> Duration {
        if self.has_outputs {
            Duration::ZERO
        } else {
            self.follower.next_tick()
        }
    }

    /// Bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.connections.sent
    }

    /// Bytes received so far.
    pub fn received(&self) -> u64 {
        self.connections.received
    }

    /// Pauses the connections, as those of a stopped process are, or resumes them. A program that drives many gateways
    /// from one poller would otherwise be woken again and again by bytes for a gateway that runs no turns.
    ///
    /// # Errors
    /// The poller cannot change how it watches a socket.
    pub fn set_paused(&mut self, paused: bool) -> io::Result<()> {
        self.connections.set_paused(paused)
    }

    /// Closes all connections.
    pub fn close(&mut self) {
        self.connections.close_all();
    }

    fn carry_out(&mut self, now: Duration) -> Vec<Document> {
        let mut documents = Vec::new();
        loop {
            while let Some(output) = self.follower.next_output() {
                match output {
                    Output::Connect(id, server) => match self.addresses.get(server) {
                        Some(address) => self.connections.connect(id, *address),
                        None => self.follower.handle_closed(now, id),
                    },
                    Output::Send(id, bytes) => self.connections.send(id, bytes),
                    Output::Close(id) => self.connections.close(id),
                    Output::Apply(document) => documents.push(document),
                }
            }
            match self.connections.next_lost() {
                Some(id) => self.follower.handle_closed(now, id),
                None => return documents,
            }
        }
    }
}
