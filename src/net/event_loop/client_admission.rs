//! How many clients may connect, and what is known of those that wait in the listener's queue.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::io;
use std::net::TcpListener;

use polling::{Event, PollMode, Poller};

use super::connections::UnregisteredConnection;
use super::poll_keys::LISTENER;
use super::sockets::is_readable;
use crate::pg::codec::CancelKey;
use crate::Micros;

/// The gateway counts as crowded from this fraction of its capacity for clients on: one in so many.
const CROWDED_FRACTION: usize = 3;

/// What is left in the listener's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptQueue {
    /// Nobody.
    Empty,
    /// Perhaps more.
    MaybeMore,
    /// Perhaps more, whom a shortage or lack of capacity keeps there.
    Blocked,
}

/// The most that a worker takes on for clients.
#[derive(Clone, Copy)]
pub(super) struct ClientLimits {
    /// Most clients of all workers.
    pub(super) clients: usize,
    /// Most clients of all workers that are kept open though they have asked before.
    pub(super) known_clients: usize,
    /// Longest message of a client, in bytes.
    pub(super) message: usize,
}

/// The listener for clients, and who may connect.
pub(super) struct ClientAdmission {
    pub(super) listener: Option<TcpListener>,
    pub(super) limits: ClientLimits,
    /// Clients that were accepted and wait for a shortage to pass; counted like those that are served.
    pub(super) unregistered: Vec<UnregisteredConnection>,
    pub(super) cancel_keys: CancelKeys,
    /// While the process ends: when the listener is closed, whoever waits.
    pub(super) listener_deadline: Micros,
    is_accepting: bool,
    /// When the listener's queue was last known to be empty, and whether the poller has reported nobody since.
    queue_empty_at: Micros,
    is_queue_empty: bool,
}

impl ClientAdmission {
    /// Without a listener yet.
    pub(super) fn new(limits: ClientLimits, now: Micros) -> Self {
        ClientAdmission {
            listener: None,
            limits,
            unregistered: Vec::new(),
            cancel_keys: CancelKeys::default(),
            listener_deadline: Micros(0),
            is_accepting: true,
            queue_empty_at: now,
            is_queue_empty: false,
        }
    }

    /// Whether so many clients are many.
    pub(super) fn is_crowded(&self, clients: usize) -> bool {
        clients > self.limits.clients / CROWDED_FRACTION
    }

    /// Whether the listener is watched.
    pub(super) fn is_accepting(&self) -> bool {
        self.is_accepting
    }

    /// Watches the listener, or does not while there is no capacity for clients.
    pub(super) fn set_accepting(&mut self, poller: &Poller, accepting: bool) {
        let Some(listener) = &self.listener else { return };
        let interest = Event { key: LISTENER, readable: accepting, writable: false };
        if poller.modify_with_mode(listener, interest, PollMode::Level).is_ok() {
            self.is_accepting = accepting;
            self.is_queue_empty &= accepting;
        }
    }

    /// Accepts the next client of the queue.
    pub(super) fn accept(&self) -> Option<io::Result<std::net::TcpStream>> {
        let listener = self.listener.as_ref()?;
        Some(listener.accept().map(|(socket, _)| socket))
    }

    /// Since when a client that is accepted now may have waited.
    pub(super) fn queue_empty_at(&self) -> Micros {
        self.queue_empty_at
    }

    /// The queue was found empty.
    pub(super) fn on_queue_empty(&mut self, now: Micros) {
        (self.queue_empty_at, self.is_queue_empty) = (now, true);
    }

    /// Somebody may wait in the queue.
    pub(super) fn on_queue_unknown(&mut self) {
        self.is_queue_empty = false;
    }

    /// Records when nobody waited in the listener's queue last: whoever is accepted later came after that. `has_slept`:
    /// the loop has slept until now, and whoever has come would have woken it. `is_reported`: the poller says that
    /// somebody waits.
    pub(super) fn observe_queue(&mut self, now: Micros, has_slept: bool, is_reported: bool) {
        let Some(listener) = &self.listener else { return };
        if self.is_accepting {
            if !is_reported || has_slept && self.is_queue_empty {
                self.on_queue_empty(now);
            }
        } else if is_readable(listener) {
            self.is_queue_empty = false;
        } else {
            self.queue_empty_at = now;
        }
    }
}

/// Makes keys for cancel requests that nobody can guess: numbers in order under a keyed hash, whose key the system draws.
#[derive(Default)]
pub(super) struct CancelKeys {
    hasher: RandomState,
    issued: u64,
}

impl CancelKeys {
    /// A new key.
    pub(super) fn issue(&mut self) -> CancelKey {
        self.issued += 1;
        let bits = self.hasher.hash_one(self.issued);
        // Some clients read the number as signed and take none below one.
        CancelKey { process: ((bits >> 32) as u32 & 0x7fff_ffff).max(1), secret: bits as u32 }
    }
}
