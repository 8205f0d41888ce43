//! Non-blocking connections of one thread. Unsent bytes are bounded for each connection, and so are the reads in one
//! turn.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use dunemount_rollout::connection::ConnectionId;
use dunemount_rollout::frame::MAX_FRAME_BYTES;
use dunemount_rollout::version::MAX_DOCUMENT_BYTES;
use polling::{Event, PollMode, Poller};
use slab::Slab;

use crate::net::dial;

/// Most bytes that wait to be sent on one connection: the longest frame, and two documents. A receiver that is too slow
/// is disconnected; after it has reconnected it gets the newest version only.
const MAX_UNSENT_BYTES: usize = MAX_FRAME_BYTES + 2 * MAX_DOCUMENT_BYTES;
/// Bytes that one read takes at most.
const READ_BYTES: usize = 64 * 1024;
/// Most reads of a connection in one turn.
const MAX_READS: usize = 4;

/// What has happened to a connection. Its end is reported by [`Connections::next_lost`].
pub(super) enum ConnectionEvent<'a> {
    Established,
    Received(&'a [u8]),
}

struct Connection {
    id: ConnectionId,
    socket: TcpStream,
    is_connecting: bool,
    /// The connection is closed once all bytes are sent; received bytes are ignored.
    is_closing: bool,
    unsent: VecDeque<Arc<[u8]>>,
    /// Number of bytes of the first element of `unsent` that were sent already.
    sent_of_first: usize,
    /// Number of bytes in `unsent` that were not sent yet.
    unsent_bytes: usize,
    /// The poller watches for the socket to become writable.
    awaits_writable: bool,
}

/// The connections of one thread. The poller's keys are the first key and those after it.
pub(super) struct Connections {
    poller: Arc<Poller>,
    first_key: usize,
    max_connections: usize,
    /// The index of a connection is the distance of its key from the first one.
    open: Slab<Connection>,
    indices: BTreeMap<ConnectionId, usize>,
    /// Connections that could not be established or have ended, and are not reported yet.
    lost: VecDeque<ConnectionId>,
    read_buffer: Vec<u8>,
    /// Bytes sent so far.
    pub(super) sent: u64,
    /// Bytes received so far.
    pub(super) received: u64,
}

impl Connections {
    /// An empty set, which holds at most `max_connections` connections.
    pub(super) fn new(poller: Arc<Poller>, first_key: usize, max_connections: usize) -> Connections {
        Connections {
            poller,
            first_key,
            max_connections,
            open: Slab::new(),
            indices: BTreeMap::new(),
            lost: VecDeque::new(),
            read_buffer: vec![0; READ_BYTES],
            sent: 0,
            received: 0,
        }
    }

    /// Opens a connection. An event reports that it is established, or [`Connections::next_lost`] that it could not be.
    pub(super) fn connect(&mut self, id: ConnectionId, address: SocketAddr) {
        let added = dial(address).and_then(|socket| self.insert(id, socket, true));
        if added.is_err() {
            self.lost.push_back(id);
        }
    }

    /// Adds an accepted connection, which another process has opened.
    pub(super) fn add_accepted(&mut self, id: ConnectionId, socket: TcpStream) {
        let set = socket.set_nonblocking(true).and_then(|()| socket.set_nodelay(true));
        if set.and_then(|()| self.insert(id, socket, false)).is_err() {
            self.lost.push_back(id);
        }
    }

    fn insert(&mut self, id: ConnectionId, socket: TcpStream, is_connecting: bool) -> io::Result<()> {
        if self.open.len() >= self.max_connections {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        let index = self.open.vacant_key();
        let interest = Event { key: self.first_key + index, readable: true, writable: is_connecting };
        self.poller.add_with_mode(&socket, interest, PollMode::Level)?;
        let connection = Connection {
            id,
            socket,
            is_connecting,
            is_closing: false,
            unsent: VecDeque::new(),
            sent_of_first: 0,
            unsent_bytes: 0,
            awaits_writable: is_connecting,
        };
        self.indices.insert(id, index);
        self.open.insert(connection);
        Ok(())
    }

    /// Sends bytes, now or when the socket is writable. A connection with too many unsent bytes is closed.
    pub(super) fn send(&mut self, id: ConnectionId, bytes: Arc<[u8]>) {
        let Some(index) = self.indices.get(&id).copied() else { return };
        let Some(connection) = self.open.get_mut(index) else { return };
        connection.unsent_bytes += bytes.len();
        connection.unsent.push_back(bytes);
        if connection.unsent_bytes > MAX_UNSENT_BYTES {
            self.lose(index);
        } else if !connection.is_connecting {
            self.write(index);
        }
    }

    /// Closes a connection. No further events of it are reported.
    pub(super) fn close(&mut self, id: ConnectionId) {
        self.lost.retain(|lost| *lost != id);
        if let Some(index) = self.indices.get(&id).copied() {
            self.remove(index);
        }
    }

    /// Closes a connection once all bytes are sent. No further events of it are reported.
    pub(super) fn close_after_sending(&mut self, id: ConnectionId) {
        let Some(index) = self.indices.get(&id).copied() else { return self.close(id) };
        if let Some(connection) = self.open.get_mut(index) {
            connection.is_closing = true;
        }
        self.write(index);
    }

    /// Pauses or resumes all connections. While they are paused, received bytes wait in the sockets.
    pub(super) fn set_paused(&mut self, paused: bool) -> io::Result<()> {
        for (index, connection) in &self.open {
            let key = self.first_key + index;
            let interest = if paused {
                Event::none(key)
            } else {
                let writable = connection.is_connecting || connection.awaits_writable;
                Event { key, readable: true, writable }
            };
            self.poller.modify_with_mode(&connection.socket, interest, PollMode::Level)?;
        }
        Ok(())
    }

    /// Closes all connections.
    pub(super) fn close_all(&mut self) {
        for index in std::mem::take(&mut self.indices).into_values() {
            self.remove(index);
        }
    }

    /// The next connection that could not be established or has ended.
    pub(super) fn next_lost(&mut self) -> Option<ConnectionId> {
        self.lost.pop_front()
    }

    fn remove(&mut self, index: usize) -> Option<ConnectionId> {
        let connection = self.open.try_remove(index)?;
        self.indices.remove(&connection.id);
        let _ = self.poller.delete(&connection.socket);
        (!connection.is_closing).then_some(connection.id)
    }

    fn lose(&mut self, index: usize) {
        let id = self.remove(index);
        self.lost.extend(id);
    }

    /// Writes as many bytes as the socket accepts; if some remain, the poller reports when it is writable again.
    fn write(&mut self, index: usize) {
        let Some(connection) = self.open.get_mut(index) else { return };
        while let Some(bytes) = connection.unsent.front() {
            match connection.socket.write(&bytes[connection.sent_of_first..]) {
                Ok(count) => {
                    self.sent += count as u64;
                    connection.unsent_bytes -= count;
                    connection.sent_of_first += count;
                    if connection.sent_of_first >= bytes.len() {
                        connection.unsent.pop_front();
                        connection.sent_of_first = 0;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return self.lose(index),
            }
        }
        if connection.is_closing && connection.unsent.is_empty() {
            self.remove(index);
            return;
        }
        let writable = !connection.unsent.is_empty();
        if std::mem::replace(&mut connection.awaits_writable, writable) != writable {
            let interest = Event { key: self.first_key + index, readable: true, writable };
            if self.poller.modify_with_mode(&connection.socket, interest, PollMode::Level).is_err() {
                self.lose(index);
            }
        }
    }

    /// Handles the poller's events.
    pub(super) fn handle_ready(
        &mut self,
        ready: &[Event],
        mut on_event: impl FnMut(ConnectionId, ConnectionEvent),
    ) {
        for event in ready {
            let Some(index) =
                event.key.checked_sub(self.first_key).filter(|index| *index < self.max_connections)
            else {
                continue;
            };
            let Some(connection) = self.open.get_mut(index) else { continue };
            if connection.is_connecting {
                match (connection.socket.take_error(), connection.socket.peer_addr()) {
                    (Ok(None), Ok(_)) => {
                        connection.is_connecting = false;
                        on_event(connection.id, ConnectionEvent::Established);
                    }
                    // The connection is neither established nor failed yet.
                    (Ok(None), Err(_)) if !event.readable => continue,
                    _ => {
                        self.lose(index);
                        continue;
                    }
                }
            }
            if event.writable {
                self.write(index);
            }
            if event.readable {
                self.read(index, &mut on_event);
            }
        }
    }

    fn read(&mut self, index: usize, on_event: &mut impl FnMut(ConnectionId, ConnectionEvent)) {
        for _ in 0..MAX_READS {
            let Some(connection) = self.open.get_mut(index) else { return };
            match connection.socket.read(&mut self.read_buffer) {
                Ok(0) => return self.lose(index),
                Ok(count) => {
                    self.received += count as u64;
                    // Bytes received on a connection that is closing are ignored.
                    if !connection.is_closing {
                        on_event(connection.id, ConnectionEvent::Received(&self.read_buffer[..count]));
                    }
                    if count < self.read_buffer.len() {
                        return;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => return self.lose(index),
            }
        }
    }
}

#[cfg(test)]
mod tests;
