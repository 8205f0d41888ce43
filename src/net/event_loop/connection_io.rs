//! Reads and writes connections, sets the events that the poller watches for, and closes connections.

use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;

use super::client_connection::{ClientConnection, RequestLocation};
use super::connections::{Connection, ConnectionId, ConnectionKind, Interest, UnregisteredConnection};
use super::discovery_watch::CallError;
use super::host_connection::HostTask;
use super::mailboxes::{Abandonment, Owner, WorkerMessage};
use super::sockets::has_hung_up;
use super::timers::Timer;
use super::{Gateway, Phase};
use crate::attempt::FailureCause;
use crate::pg::client::MAX_PENDING_OUTPUT;
use crate::shortage::{is_shortage, should_try_later};
use crate::Micros;

/// Largest number of reads from one connection at a time.
const MAX_READS: usize = 4;
/// How long a half-closed connection waits for its client to close, and how many bytes of the client it discards.
const HALF_CLOSED_TIMEOUT: Micros = Micros::millis(300);
const HALF_CLOSED_BYTES: usize = 256 * 1024;
/// Largest number of half-closed connections while clients are accepted: their descriptors come from the reserve.
const MAX_HALF_CLOSED: usize = 6;
/// Time between checks whether a client whose input is not read has disconnected.
const UNREAD_CHECK_INTERVAL: Micros = Micros::millis(50);
/// Time until a system call is retried that failed because this machine lacks a resource.
pub(super) const SHORTAGE_PAUSE: Micros = Micros::millis(20);

impl Gateway {
    /// Adds a connection. One to a host is counted in the pool.
    pub(super) fn add_connection(
        &mut self,
        socket: impl Into<Arc<TcpStream>>,
        kind: ConnectionKind,
        writable: bool,
    ) -> Result<ConnectionId, Box<UnregisteredConnection>> {
        let is_host = matches!(kind, ConnectionKind::Host(_));
        let id = self.connections.insert(socket.into(), kind, writable)?;
        if is_host {
            self.pool.on_opened();
        }
        Ok(id)
    }

    /// Removes a connection from the table and from the counts of its kind.
    pub(super) fn remove_connection(&mut self, id: ConnectionId) -> Option<Connection> {
        self.report_unread_answer(id);
        let connection = self.connections.remove(id)?;
        match &connection.kind {
            ConnectionKind::Client(_) => self.workers.remove_client(self.this_worker),
            ConnectionKind::Host(host) => {
                self.pool.on_closed(host.member, id);
                self.abandoned.on_closed(id);
            }
            ConnectionKind::HalfClosed { .. } | ConnectionKind::Discovery(_) | ConnectionKind::Admin(_) => {}
        }
        self.resume_accepting();
        Some(connection)
    }

    pub(super) fn close(&mut self, id: ConnectionId) {
        drop(self.remove_connection(id));
    }

    /// Closes a client's connection so that its last answer arrives. Closing a socket with unread input resets the
    /// connection, and the system discards output that it has not sent yet. So the connection is shut for writing, and
    /// closed once the client has closed it as well or [`HALF_CLOSED_TIMEOUT`] is over. A request that arrives after
    /// the shutdown is discarded: it was not accepted.
    pub(super) fn close_gracefully(&mut self, id: ConnectionId) {
        let Some(Connection { socket, .. }) = self.remove_connection(id) else { return };
        if self.phase != Phase::Closing && self.connections.half_closed_count() >= MAX_HALF_CLOSED {
            let oldest = self.connections.oldest_half_closed();
            oldest.into_iter().for_each(|id| self.close(id));
        }
        if socket.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let kind = ConnectionKind::HalfClosed { bytes_left: HALF_CLOSED_BYTES };
        if let Ok(id) = self.add_connection(socket, kind, false) {
            self.set_timer(HALF_CLOSED_TIMEOUT, Timer::HalfClosedTimeout(id));
        }
    }

    /// Closes an idle client. False if it stays open, since it has unread input: the poller reports this. It is not read
    /// here, as another connection may be read at the moment.
    pub(super) fn close_if_idle(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(id) else { return false };
        let has_input = match connection.socket.peek(&mut [0]) {
            Ok(count) => count > 0,
            Err(e) => e.kind() == io::ErrorKind::Interrupted,
        };
        if !has_input {
            self.close_gracefully(id);
        }
        !has_input
    }

    /// Checks whether a client that waits for an answer and whose input is not read has disconnected, since no read
    /// reports the end of its connection.
    pub(super) fn check_unread_client(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Connection { interest, socket, kind: ConnectionKind::Client(client), .. } = connection else {
            return;
        };
        client.has_unread_check = false;
        if interest.readable || client.in_flight.is_none() {
            return;
        }
        if has_hung_up(socket) {
            self.handle_connection_lost(id);
        } else {
            self.schedule_unread_check(id);
        }
    }

    fn schedule_unread_check(&mut self, id: ConnectionId) {
        let Some(client) = self.connections.client(id) else { return };
        if client.in_flight.is_some() && !std::mem::replace(&mut client.has_unread_check, true) {
            self.set_timer(UNREAD_CHECK_INTERVAL, Timer::UnreadCheck(id));
        }
    }

    /// Sets the events that the poller watches for on a connection to those that the connection needs now.
    pub(super) fn update_interest(&mut self, id: ConnectionId) {
        // Input that a client sends after the listener is closed is not read: it is not accepted, and the client
        // retries elsewhere.
        let has_memory = self.has_memory_to_read(id);
        let is_reading_clients = self.phase != Phase::Closing && has_memory;
        let read_ahead = self.read_ahead_bytes();
        let Some(connection) = self.connections.get(id) else { return };
        let (readable, writable) = match &connection.kind {
            ConnectionKind::Client(client) => (
                is_reading_clients && client.protocol.wants_read(read_ahead),
                !client.protocol.out.is_empty(),
            ),
            ConnectionKind::Host(host) => {
                (!host.is_reading_paused && has_memory, !host.protocol.out.is_empty())
            }
            ConnectionKind::Discovery(out) => (true, !out.is_empty()),
            ConnectionKind::Admin(admin) => (true, !admin.protocol.out.is_empty()),
            ConnectionKind::HalfClosed { .. } => (true, false),
        };
        if !readable {
            self.schedule_unread_check(id);
        }
        match self.connections.set_interest(id, Interest { readable, writable }) {
            Ok(()) => {}
            Err(e) if is_shortage(&e) => self.set_timer(SHORTAGE_PAUSE, Timer::UpdateInterest(id)),
            Err(_) => self.handle_connection_lost(id),
        }
    }

    /// Writes the pending output of a connection. An attempt whose last byte must not be written any more is ended.
    pub(super) fn write(&mut self, id: ConnectionId) {
        if self.is_write_overdue(id) {
            return self.handle_host_lost(id, FailureCause::WrittenTooLate);
        }
        let Some(connection) = self.connections.get_mut(id) else { return };
        let out = match &mut connection.kind {
            ConnectionKind::Client(client) => &mut client.protocol.out,
            ConnectionKind::Host(host) => &mut host.protocol.out,
            ConnectionKind::Discovery(out) => out,
            ConnectionKind::Admin(admin) => &mut admin.protocol.out,
            ConnectionKind::HalfClosed { .. } => return,
        };
        let unwritten = out.len();
        let flushed = out.flush(&mut &*connection.socket);
        match &mut connection.kind {
            ConnectionKind::Client(client) => client.update_holdings(self.now),
            ConnectionKind::Host(host) => host.update_holdings(),
            _ => {}
        }
        if unwritten > 0 {
            self.handle_client_written(id, unwritten);
        }
        match flushed {
            Ok(true) => self.handle_all_written(id),
            Ok(false) => self.update_interest(id),
            // A connection that is still being opened is not writable yet.
            Err(e) if e.kind() == io::ErrorKind::NotConnected => self.update_interest(id),
            Err(_) => self.handle_connection_lost(id),
        }
    }

    /// Handles a write to a client that had `unwritten_before` bytes of pending output. A response that streams to it
    /// may resume.
    fn handle_client_written(&mut self, id: ConnectionId, unwritten_before: usize) {
        let (now, max_unread) = (self.now, self.max_unread_bytes());
        let Some(client) = self.connections.client(id) else { return };
        let unwritten = client.protocol.out.len();
        if unwritten < unwritten_before {
            client.last_used = now;
        }
        if unwritten_before >= MAX_PENDING_OUTPUT && unwritten < MAX_PENDING_OUTPUT {
            // Its next message may have waited for this.
            self.ready_clients.push_back(id);
        }
        if unwritten >= max_unread {
            return;
        }
        match client.in_flight {
            Some(RequestLocation::Here(request_id)) => {
                client.is_stream_paused = false;
                self.resume_streaming(request_id);
            }
            Some(RequestLocation::Worker(worker)) if std::mem::take(&mut client.is_stream_paused) => {
                let owner = Owner { worker: self.this_worker, connection: id };
                self.workers.send(worker, WorkerMessage::ResumeStreaming(owner));
            }
            _ => {}
        }
    }

    fn handle_all_written(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        match &connection.kind {
            ConnectionKind::Client(ClientConnection { is_closing: true, .. }) => {
                return self.close_gracefully(id);
            }
            ConnectionKind::Admin(admin) if admin.protocol.has_responded() => self.handle_admin_answered(id),
            ConnectionKind::Host(_) => self.handle_attempt_written(id),
            _ => {}
        }
        self.update_interest(id);
    }

    pub(super) fn read(&mut self, id: ConnectionId) {
        let mut buffer = std::mem::take(&mut self.read_buffer);
        for _ in 0..MAX_READS {
            let read_ahead = self.read_ahead_bytes();
            let Some(connection) = self.connections.get_mut(id) else { break };
            let may_read = match &connection.kind {
                ConnectionKind::Host(host) => !host.is_reading_paused,
                ConnectionKind::Client(client) => client.protocol.wants_read(read_ahead),
                _ => true,
            };
            if !may_read || !self.has_memory_to_read(id) {
                break;
            }
            let Some(connection) = self.connections.get_mut(id) else { break };
            match (&*connection.socket).read(&mut buffer) {
                Ok(0) => {
                    self.handle_received(id, &[], true);
                    break;
                }
                Ok(count) => {
                    self.handle_received(id, &buffer[..count], false);
                    if count < buffer.len() {
                        break;
                    }
                }
                Err(e) if should_try_later(&e) => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // A reset is not an orderly end: the bytes before it may be incomplete.
                Err(_) => {
                    self.handle_connection_lost(id);
                    break;
                }
            }
        }
        self.read_buffer = buffer;
        self.update_interest(id);
    }

    /// Handles received bytes or the end of a connection.
    pub(super) fn handle_received(&mut self, id: ConnectionId, bytes: &[u8], has_ended: bool) {
        let (now, read_up_to) = (self.now, self.previous_wait_from);
        let Some(connection) = self.connections.get_mut(id) else { return };
        match &mut connection.kind {
            ConnectionKind::Client(client) if !has_ended => {
                client.last_used = now;
                client.protocol.receive(bytes, client.waiting_since.unwrap_or(now));
                client.update_holdings(now);
                self.ready_clients.push_back(id);
            }
            ConnectionKind::Host(host) if !has_ended => {
                host.receive(bytes, now);
                host.read_up_to = read_up_to;
                if host.task == HostTask::Abandoned {
                    host.bytes_left = host.bytes_left.saturating_sub(bytes.len());
                    if host.bytes_left == 0 {
                        return self.handle_host_lost(id, FailureCause::MalformedResponse);
                    }
                }
                self.process_host(id);
            }
            ConnectionKind::Host(host) => {
                // The host has ended the connection in order: all that it has written was read.
                host.has_ended = true;
                self.handle_connection_lost(id);
            }
            ConnectionKind::Discovery(_) => self.handle_discovery_bytes(id, bytes, has_ended),
            ConnectionKind::Admin(_) => self.handle_admin_bytes(id, bytes, has_ended),
            ConnectionKind::HalfClosed { bytes_left } if !has_ended && bytes.len() < *bytes_left => {
                *bytes_left -= bytes.len();
            }
            _ => self.handle_connection_lost(id),
        }
    }

    /// Handles a connection that has ended or can no longer be used.
    pub(super) fn handle_connection_lost(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        match &mut connection.kind {
            ConnectionKind::Client(client) => {
                match client.in_flight.take() {
                    Some(RequestLocation::Here(request_id)) => {
                        self.abandon_request(request_id, Abandonment::Disconnected);
                    }
                    Some(RequestLocation::Worker(worker)) => {
                        self.send_abandon(worker, id, Abandonment::Disconnected);
                    }
                    None => {}
                }
                self.close(id);
            }
            ConnectionKind::Host(_) => self.handle_host_lost(id, FailureCause::ConnectionLost),
            ConnectionKind::Discovery(_) => self.handle_discovery_lost(id, CallError::ConnectionBroke),
            ConnectionKind::Admin(_) | ConnectionKind::HalfClosed { .. } => self.close(id),
        }
    }
}
