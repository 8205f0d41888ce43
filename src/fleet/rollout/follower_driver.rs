//! The connections of a gateway to its control servers. The driver never waits: the gateway's thread, or whoever drives many
//! gateways from one poller, decides when a turn is due.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dunemount_rollout::follower::{ApplyError, Follower, Output};
use dunemount_rollout::version::{Document, Version};
use polling::{Event, Poller};

use super::connections::{ConnectionEvent, Connections};

/// Most connections at a time: the one in use, the next one that is tried, and that to the own zone's server.
const MAX_CONNECTIONS: usize = 3;

/// A gateway's state machine with its connections.
pub struct FollowerDriver {
    /// The state machine, of which the owner reads the status.
    pub follower: Follower,
    /// Addresses of the control servers, in the settings' order.
    addresses: Vec<SocketAddr>,
    connections: Connections,
    /// The state machine has outputs since the last turn.
    has_outputs: bool,
}

impl FollowerDriver {
    /// A gateway's state machine with the addresses of the control servers, in the settings' order. It uses three keys of the
    /// poller from the first one on.
    pub fn new(
        follower: Follower,
        addresses: Vec<SocketAddr>,
        poller: Arc<Poller>,
        first_key: usize,
    ) -> FollowerDriver {
        let connections = Connections::new(poller, first_key, MAX_CONNECTIONS);
        FollowerDriver { follower, addresses, connections, has_outputs: false }
    }

    /// One turn: handles the poller's events and the timers, and sends what is to be sent. The versions that it returns are to
    /// be applied one after the other, each with a call of [`FollowerDriver::handle_applied`].
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

    /// A version is stored and in force, or could not be applied.
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

    /// Stops receiving, as a stopped process does, or receives again. Without this, whoever drives many gateways from one
    /// poller would be woken again and again by what waits for one that takes no turn.
    ///
    /// # Errors
    /// The poller's.
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
