//! A gateway's connections to its control machines, and one turn of their loop. It waits for nothing: the gateway's
//! thread, and whoever drives many from one poller, decide when a turn is due.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dunemount_rollout::follower::{ApplyError, Follower, Output};
use dunemount_rollout::version::{Document, Version};
use polling::{Event, Poller};

use super::connections::{Connections, Heard};

/// Most connections at a time: the one that is in use, the next one that is tried, and its own zone's.
const MOST: usize = 3;

/// A gateway's part with its connections.
pub struct Carrier {
    /// The gateway's part: its driver looks at its state.
    pub follower: Follower,
    machines: Vec<SocketAddr>,
    connections: Connections,
    /// It has something to say since the last turn.
    told: bool,
}

impl Carrier {
    /// A gateway's part with the addresses of the control machines, in the settings' order. It uses three keys of the
    /// poller from the first one on.
    pub fn new(
        follower: Follower,
        machines: Vec<SocketAddr>,
        poller: Arc<Poller>,
        first_key: usize,
    ) -> Carrier {
        Carrier { follower, machines, connections: Connections::new(poller, first_key, MOST), told: false }
    }

    /// One turn: takes in what the poller has told, lets time act, and sends what is to be sent. What it hands out is to
    /// be taken, one after the other, each with a word to [`Carrier::taken`].
    pub fn turn(&mut self, now: Duration, ready: &[Event]) -> Vec<Document> {
        let follower = &mut self.follower;
        self.connections.turn(ready, |link, heard| match heard {
            Heard::Opened => follower.handle_connected(now, link),
            Heard::Bytes(bytes) => follower.handle_bytes(now, link, bytes),
        });
        self.told = false;
        self.follower.tick(now);
        self.carry_out(now)
    }

    /// A version is stored and in force, or could not be taken.
    pub fn taken(&mut self, now: Duration, version: Version, result: Result<(), ApplyError>) {
        self.follower.handle_applied(now, version, result);
        self.told = true;
    }

    /// When a turn is due, whatever the poller tells before.
    pub fn due(&self) -> Duration {
        if self.told {
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

    /// Stands still, as a process that is stopped does, or goes on. Whoever drives many from one poller would be woken
    /// again and again by what waits for one that takes no turn.
    ///
    /// # Errors
    /// The system's.
    pub fn hold(&mut self, held: bool) -> io::Result<()> {
        self.connections.hold(held)
    }

    /// Closes all connections.
    pub fn close(&mut self) {
        self.connections.close_all();
    }

    fn carry_out(&mut self, now: Duration) -> Vec<Document> {
        let mut documents = Vec::new();
        loop {
            while let Some(out) = self.follower.next_output() {
                match out {
                    Output::Connect(link, place) => match self.machines.get(place) {
                        Some(address) => self.connections.connect(link, *address),
                        None => self.follower.handle_closed(now, link),
                    },
                    Output::Send(link, bytes) => self.connections.send(link, bytes),
                    Output::Close(link) => self.connections.close(link),
                    Output::Apply(document) => documents.push(document),
                }
            }
            match self.connections.lost() {
                Some(link) => self.follower.handle_closed(now, link),
                None => return documents,
            }
        }
    }
}
