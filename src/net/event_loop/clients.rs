//! Accepts clients, processes their input and closes them. A client that does not complete its startup, its first query
//! or a command in time gets an error and is closed. Idle clients are closed to make room for new ones.

use std::io;
use std::net::TcpStream;
use std::sync::Arc;

use slog::warn;

use super::client_admission::AcceptQueue;
use super::client_connection::{ClientConnection, EvictionReason};
use super::connection_io::SHORTAGE_PAUSE;
use super::connections::{ConnectionId, ConnectionKind, UnregisteredConnection};
use super::mailboxes::WorkerMessage;
use super::timers::Timer;
use super::{Gateway, Phase};
use crate::pg::client::{ClientProtocol, ClientRequest};
use crate::Micros;

/// Largest number of connections that one call of [`Gateway::accept_clients`] accepts.
pub(super) const MAX_ACCEPTS: usize = 16;

impl Gateway {
    /// Accepts connections while there is capacity for clients, up to [`MAX_ACCEPTS`], and returns the state of the
    /// listener's queue after that. If there is no capacity for the first one, an idle client is closed for it.
    pub(super) fn accept_clients(&mut self) -> AcceptQueue {
        self.admission.on_queue_unknown();
        for accepted in 0..MAX_ACCEPTS {
            let (least_loaded, most_loaded) = (self.workers.least_loaded(), self.workers.most_loaded());
            let open = self.workers.client_count() + self.descriptors_lent();
            let is_full = open >= self.admission.limits.clients;
            // The poller has reported one waiting client, so no idle client is closed after the first accept: its place
            // might not be needed. At shutdown the queue is emptied without such a report, and an idle client may be
            // closed although none waits.
            if is_full && accepted > 0 {
                return AcceptQueue::MaybeMore;
            }
            if is_full && !self.evict_idle_client() {
                self.pause_accepting_when_full(most_loaded);
                return AcceptQueue::Blocked;
            }
            let Some(result) = self.admission.accept() else { return AcceptQueue::Empty };
            match result {
                Ok(socket) => self.place_client(least_loaded, socket),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.admission.on_queue_empty(self.now);
                    return AcceptQueue::Empty;
                }
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    warn!(self.log, "cannot accept a client, pausing"; "error" => %e);
                    self.pause_accepting();
                    return AcceptQueue::Blocked;
                }
            }
        }
        AcceptQueue::MaybeMore
    }

    /// Assigns an accepted client to a worker.
    fn place_client(&mut self, worker: usize, socket: TcpStream) {
        self.workers.add_client(worker);
        let waiting_since = self.admission.queue_empty_at();
        if worker == self.this_worker {
            self.serve_client(socket, waiting_since);
        } else {
            self.workers.send(worker, WorkerMessage::Client { socket, waiting_since });
        }
    }

    /// Stops accepting because this worker has no idle client to close. Accepting resumes after a connection of this
    /// worker closes, after one of its clients gets an answer, and at its next sweep; if there are other workers, also
    /// after [`SHORTAGE_PAUSE`].
    fn pause_accepting_when_full(&mut self, most_loaded: usize) {
        if self.workers.count() > 1 {
            // Another worker may have an idle client that can be closed.
            self.workers.send(most_loaded, WorkerMessage::EvictClient);
            self.set_timer(SHORTAGE_PAUSE, Timer::ResumeAccepting);
        } else {
            warn!(self.log, "no descriptors left for clients"; "open" => self.connections.client_count());
        }
        self.set_accepting(false);
    }

    /// Stops accepting for [`SHORTAGE_PAUSE`], since this machine lacks a resource.
    fn pause_accepting(&mut self) {
        self.set_accepting(false);
        self.set_timer(SHORTAGE_PAUSE, Timer::ResumeAccepting);
    }

    /// Serves an accepted client that is already counted for this worker. It may have waited in the listener's queue
    /// since `waiting_since`.
    pub(super) fn serve_client(&mut self, socket: TcpStream, waiting_since: Micros) {
        let key = self.admission.cancel_keys.issue();
        let protocol = ClientProtocol::new(self.admission.limits.message, key);
        let mut client = ClientConnection::new(protocol, self.now, &self.workers.memory);
        client.waiting_since = Some(waiting_since);
        self.add_client(socket, client);
    }

    /// Registers a client that is already counted for this worker and reads at once, since its first bytes have often
    /// arrived already. A client that cannot be registered because of a shortage is kept and retried, since what it has
    /// sent must be answered.
    pub(super) fn add_client(&mut self, socket: impl Into<Arc<TcpStream>>, client: ClientConnection) {
        let socket = socket.into();
        // Without `nodelay` answers are only slower; `set_nonblocking` does not fail on this kind of socket.
        let _ = socket.set_nodelay(true);
        let _ = socket.set_nonblocking(true);
        match self.add_connection(socket, ConnectionKind::Client(client), false) {
            Ok(id) => {
                self.read(id);
                if let Some(client) = self.connections.client(id) {
                    client.waiting_since = None;
                }
                self.ready_clients.push_back(id);
            }
            Err(unregistered) => {
                if self.admission.unregistered.is_empty() {
                    warn!(self.log, "cannot register a client, retrying"; "error" => %unregistered.error);
                }
                self.pause_accepting();
                self.admission.unregistered.push(*unregistered);
            }
        }
    }

    /// Retries the clients that could not be registered because of a shortage.
    pub(super) fn serve_unregistered_clients(&mut self) {
        for unregistered in std::mem::take(&mut self.admission.unregistered) {
            let UnregisteredConnection { socket, kind, .. } = unregistered;
            if let ConnectionKind::Client(client) = kind {
                self.add_client(socket, client);
            }
        }
    }

    /// Starts or stops accepting clients. Does not start again once the next process accepts them.
    pub(super) fn set_accepting(&mut self, accepting: bool) {
        if self.hot_restart.successor.is_none() || !accepting {
            self.admission.set_accepting(&self.poller, accepting);
        }
    }

    /// Accepts clients again if accepting was paused.
    pub(super) fn resume_accepting(&mut self) {
        if !self.admission.is_accepting() {
            self.set_accepting(true);
        }
    }

    /// Closes the idle client that is first by eviction rank. False if no client could be closed.
    pub(super) fn evict_idle_client(&mut self) -> bool {
        let now = self.now;
        let clients = self.connections.clients();
        let mut ranked: Vec<_> =
            clients.filter_map(|(id, client)| client.eviction_rank(now).map(|rank| (rank, id))).collect();
        ranked.sort_unstable();
        ranked.into_iter().any(|(_, id)| self.close_if_idle(id))
    }

    /// Closes the client that has been idle longest if too many clients that have queried before are open, on all
    /// workers and on this one. Without this limit, clients that never use their connections again could hold all the
    /// capacity, and new clients would get none.
    pub(super) fn evict_surplus_client(&mut self) {
        let max_known = self.admission.limits.known_clients;
        let max_here = max_known.div_ceil(self.workers.count());
        if self.workers.client_count() <= max_known || self.connections.client_count() <= max_here {
            return;
        }
        let known: Vec<_> = self.connections.clients().filter(|(_, client)| client.has_queried).collect();
        if known.len() <= max_here {
            return;
        }
        let idle = known.into_iter().filter(|(_, client)| client.protocol.is_idle());
        let mut idle: Vec<_> = idle.map(|(id, client)| (client.last_used, id)).collect();
        idle.sort_unstable();
        idle.into_iter().any(|(_, id)| self.close_if_idle(id));
    }

    /// Closes clients whose commands are overdue, with an error, and clients that have been idle or have not read their
    /// answers for too long.
    pub(super) fn evict_overdue_clients(&mut self) {
        let is_crowded = self.admission.is_crowded(self.workers.client_count());
        let now = self.now;
        let clients = self.connections.clients();
        let overdue: Vec<_> = clients
            .filter_map(|(id, client)| client.eviction(now, is_crowded).map(|reason| (id, reason)))
            .collect();
        for (id, reason) in overdue {
            match reason {
                EvictionReason::CommandTimeout => {
                    self.close_with_error(id, "57014", "no whole command came in time");
                }
                EvictionReason::Idle => drop(self.close_if_idle(id)),
                EvictionReason::NotReading => self.handle_connection_lost(id),
            }
        }
        self.resume_accepting();
    }

    /// Ends a client with an error and drops what it has sent.
    pub(super) fn close_with_error(&mut self, id: ConnectionId, code: &str, message: &str) {
        if let Some(client) = self.connections.client(id) {
            client.protocol.close_with_error(code, message);
            client.is_closing = true;
            self.write(id);
        }
    }

    /// Processes a client's next queries until one of them is in flight.
    pub(super) fn process_client(&mut self, id: ConnectionId) {
        if self.try_hand_over_client(id) {
            return;
        }
        while let Some(request) = self.next_request(id) {
            match request {
                ClientRequest::Query(text, arrived_at) => self.handle_query(id, text, arrived_at),
                ClientRequest::Cancel(key) => {
                    self.mark_closing(id);
                    self.cancel(key);
                }
                ClientRequest::Close => self.mark_closing(id),
            }
        }
        let (now, is_ending) = (self.now, self.phase == Phase::Closing);
        if let Some(client) = self.connections.client(id) {
            let is_processed =
                !client.protocol.is_busy() && !client.is_deferred && !client.protocol.awaits_reading();
            client.is_closing |= is_ending && is_processed;
            let incomplete_since = client.incomplete_since.unwrap_or(now);
            // Commands that wait for the next iteration are complete.
            let is_incomplete = !client.is_deferred && client.protocol.has_partial_message();
            client.incomplete_since = is_incomplete.then_some(incomplete_since);
        }
        self.write(id);
        self.relieve_memory();
    }

    /// The client's next request in this iteration. One that has had its share goes on in the next iteration.
    fn next_request(&mut self, id: ConnectionId) -> Option<ClientRequest> {
        let client = self.connections.client(id)?;
        if client.is_turn_over(self.iteration) {
            if !std::mem::replace(&mut client.is_deferred, true) {
                self.deferred_clients.push_back(id);
            }
            return None;
        }
        let request = client.protocol.next_request()?;
        client.count_request(self.iteration);
        Some(request)
    }

    /// Lets the clients go on that had their share of the iteration before.
    pub(super) fn resume_deferred_clients(&mut self) {
        for id in std::mem::take(&mut self.deferred_clients) {
            if let Some(client) = self.connections.client(id) {
                client.is_deferred = false;
                self.ready_clients.push_back(id);
            }
        }
    }

    fn mark_closing(&mut self, id: ConnectionId) {
        if let Some(client) = self.connections.client(id) {
            client.is_closing = true;
        }
    }
}
