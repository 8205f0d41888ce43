//! The limits on clients, and what is known about the clients that wait in the listener's queue.

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

/// The gateway is crowded if more clients are connected than its capacity for clients divided by this number.
const CROWDED_DIVISOR: usize = 3;

/// The state of the listener's queue after accepting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptQueue {
    /// No client waits.
    Empty,
    /// Clients may wait.
    MaybeMore,
    /// Clients may wait, but a shortage or a lack of capacity prevents accepting them.
    Blocked,
}

/// Limits on clients.
#[derive(Clone, Copy)]
pub(super) struct ClientLimits {
    /// Largest number of clients of all workers.
    pub(super) clients: usize,
    /// Largest number of clients of all workers that have queried before and may stay open.
    pub(super) known_clients: usize,
    /// Longest message of a client, in bytes.
    pub(super) message: usize,
}

/// The listener for clients, the limits on clients, and the state of the listener's queue.
pub(super) struct ClientAdmission {
    pub(super) listener: Option<TcpListener>,
    pub(super) limits: ClientLimits,
    /// Accepted clients that could not be registered because of a shortage. They count as clients of this worker.
    pub(super) unregistered: Vec<UnregisteredConnection>,
    pub(super) cancel_keys: CancelKeys,
    /// During shutdown: the time at which the listener is closed even if clients still wait in its queue.
    pub(super) listener_deadline: Micros,
    is_accepting: bool,
    /// When the listener's queue was last known to be empty, and whether no client has been reported since.
    queue_empty_at: Micros,
    is_queue_empty: bool,
}

impl ClientAdmission {
    /// Creates the state without a listener; the first worker gets its listener later.
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

    /// Whether the gateway is crowded with this number of clients.
    pub(super) fn is_crowded(&self, clients: usize) -> bool {
        clients > self.limits.clients / CROWDED_DIVISOR
    }

    /// Whether the poller watches the listener.
    pub(super) fn is_accepting(&self) -> bool {
        self.is_accepting
    }

    /// Sets whether the poller watches the listener, which it does not while there is no capacity for clients.
    pub(super) fn set_accepting(&mut self, poller: &Poller, accepting: bool) {
        let Some(listener) = &self.listener else { return };
        let interest = Event { key: LISTENER, readable: accepting, writable: false };
        if poller.modify_with_mode(listener, interest, PollMode::Level).is_ok() {
            self.is_accepting = accepting;
            self.is_queue_empty &= accepting;
        }
    }

    /// Accepts the next client from the queue. None if this worker has no listener.
    pub(super) fn accept(&self) -> Option<io::Result<std::net::TcpStream>> {
        let listener = self.listener.as_ref()?;
        Some(listener.accept().map(|(socket, _)| socket))
    }

    /// The earliest time at which a client that is accepted now may have entered the queue.
    pub(super) fn queue_empty_at(&self) -> Micros {
        self.queue_empty_at
    }

    /// Records that the queue was found empty.
    pub(super) fn on_queue_empty(&mut self, now: Micros) {
        (self.queue_empty_at, self.is_queue_empty) = (now, true);
    }

    /// Records that clients may wait in the queue.
    pub(super) fn on_queue_unknown(&mut self) {
        self.is_queue_empty = false;
    }

    /// Updates the time at which the listener's queue was last empty: clients accepted later arrived after it.
    /// `has_slept`: the loop has slept until now, and an earlier client would have woken it. `is_reported`: the poller
    /// reports that a client waits.
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

/// Issues keys for cancel requests that cannot be guessed: consecutive numbers under a keyed hash, whose key comes from
/// the system's random numbers.
#[derive(Default)]
pub(super) struct CancelKeys {
    hasher: RandomState,
    issued: u64,
}

impl CancelKeys {
    /// Returns a key that is different for each call.
    pub(super) fn issue(&mut self) -> CancelKey {
        self.issued += 1;
        let bits = self.hasher.hash_one(self.issued);
        // Some clients read the process number as signed and accept none below one.
        CancelKey { process: ((bits >> 32) as u32 & 0x7fff_ffff).max(1), secret: bits as u32 }
    }
}
