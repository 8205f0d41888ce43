//! Connections of one thread, without waiting: what is to be sent is bounded, and so is what one turn reads.

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

/// Most bytes that wait to be sent on one connection: a whole status, and two documents. Whoever reads no faster is let go,
/// and comes back for the newest alone.
const UNSENT: usize = MAX_FRAME_BYTES + 2 * MAX_DOCUMENT_BYTES;
/// Bytes taken in one read, and most reads of a connection in one turn.
const READ: usize = 64 * 1024;
const READS: usize = 4;

/// What has happened to a connection; its end is told by [`Connections::lost`].
pub(super) enum Heard<'a> {
    /// It is up.
    Opened,
    /// Bytes have come.
    Bytes(&'a [u8]),
}

struct Connection {
    link: ConnectionId,
    socket: TcpStream,
    /// It is not known yet whether it comes up.
    connecting: bool,
    /// Closed once all is sent; nothing is read any more.
    finishing: bool,
    unsent: VecDeque<Arc<[u8]>>,
    /// Bytes of the first one that are sent.
    gone: usize,
    /// Bytes of all of them that are not.
    waiting: usize,
    writable: bool,
}

/// The connections of one thread, under keys of its poller from the first one on.
pub(super) struct Connections {
    poller: Arc<Poller>,
    first_key: usize,
    most: usize,
    /// By place: the key is so far behind the first one.
    open: Slab<Connection>,
    places: BTreeMap<ConnectionId, usize>,
    /// Those that could not be made or kept, not told yet.
    lost: VecDeque<ConnectionId>,
    scratch: Vec<u8>,
    pub(super) sent: u64,
    pub(super) received: u64,
}

impl Connections {
    /// No connections yet, and no more than `most`.
    pub(super) fn new(poller: Arc<Poller>, first_key: usize, most: usize) -> Connections {
        let scratch = vec![0; READ];
        Connections {
            poller,
            first_key,
            most,
            open: Slab::new(),
            places: BTreeMap::new(),
            lost: VecDeque::new(),
            scratch,
            sent: 0,
            received: 0,
        }
    }

    /// Begins a connection; it is told of once it is up, or cannot be made.
    pub(super) fn connect(&mut self, link: ConnectionId, address: SocketAddr) {
        let added = dial(address).and_then(|socket| self.insert(link, socket, true));
        if added.is_err() {
            self.lost.push_back(link);
        }
    }

    /// Takes in a connection that somebody else began.
    pub(super) fn adopt(&mut self, link: ConnectionId, socket: TcpStream) {
        let set = socket.set_nonblocking(true).and_then(|()| socket.set_nodelay(true));
        if set.and_then(|()| self.insert(link, socket, false)).is_err() {
            self.lost.push_back(link);
        }
    }

    fn insert(&mut self, link: ConnectionId, socket: TcpStream, connecting: bool) -> io::Result<()> {
        if self.open.len() >= self.most {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        let place = self.open.vacant_key();
        let interest = Event { key: self.first_key + place, readable: true, writable: connecting };
        self.poller.add_with_mode(&socket, interest, PollMode::Level)?;
        let connection = Connection {
            link,
            socket,
            connecting,
            finishing: false,
            unsent: VecDeque::new(),
            gone: 0,
            waiting: 0,
            writable: connecting,
        };
        self.places.insert(link, place);
        self.open.insert(connection);
        Ok(())
    }

    /// Sends bytes, now or once there is room. One that holds too many back is closed.
    pub(super) fn send(&mut self, link: ConnectionId, bytes: Arc<[u8]>) {
        let Some(place) = self.places.get(&link).copied() else { return };
        let Some(connection) = self.open.get_mut(place) else { return };
        connection.waiting += bytes.len();
        connection.unsent.push_back(bytes);
        if connection.waiting > UNSENT {
            self.lose(place);
        } else if !connection.connecting {
            self.write(place);
        }
    }

    /// Closes a connection; nothing more is said of it.
    pub(super) fn close(&mut self, link: ConnectionId) {
        self.lost.retain(|lost| *lost != link);
        if let Some(place) = self.places.get(&link).copied() {
            self.remove(place);
        }
    }

    /// Closes a connection once all is sent; nothing more is said of it.
    pub(super) fn finish(&mut self, link: ConnectionId) {
        let Some(place) = self.places.get(&link).copied() else { return self.close(link) };
        if let Some(connection) = self.open.get_mut(place) {
            connection.finishing = true;
        }
        self.write(place);
    }

    /// Hears nothing of all that are open, so that what comes waits in the sockets, or hears them again.
    pub(super) fn hold(&mut self, held: bool) -> io::Result<()> {
        for (place, connection) in &self.open {
            let key = self.first_key + place;
            let interest = match held {
                true => Event::none(key),
                false => {
                    Event { key, readable: true, writable: connection.connecting || connection.writable }
                }
            };
            self.poller.modify_with_mode(&connection.socket, interest, PollMode::Level)?;
        }
        Ok(())
    }

    /// Closes all.
    pub(super) fn close_all(&mut self) {
        for place in std::mem::take(&mut self.places).into_values() {
            self.remove(place);
        }
    }

    /// One that could not be made or kept.
    pub(super) fn lost(&mut self) -> Option<ConnectionId> {
        self.lost.pop_front()
    }

    fn remove(&mut self, place: usize) -> Option<ConnectionId> {
        let connection = self.open.try_remove(place)?;
        self.places.remove(&connection.link);
        let _ = self.poller.delete(&connection.socket);
        (!connection.finishing).then_some(connection.link)
    }

    fn lose(&mut self, place: usize) {
        let link = self.remove(place);
        self.lost.extend(link);
    }

    /// Writes what there is room for, and waits for more room if that is not all.
    fn write(&mut self, place: usize) {
        let Some(connection) = self.open.get_mut(place) else { return };
        while let Some(bytes) = connection.unsent.front() {
            match connection.socket.write(&bytes[connection.gone..]) {
                Ok(count) => {
                    self.sent += count as u64;
                    connection.waiting -= count;
                    connection.gone += count;
                    if connection.gone >= bytes.len() {
                        connection.unsent.pop_front();
                        connection.gone = 0;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return self.lose(place),
            }
        }
        if connection.finishing && connection.unsent.is_empty() {
            self.remove(place);
            return;
        }
        let writable = !connection.unsent.is_empty();
        if std::mem::replace(&mut connection.writable, writable) != writable {
            let interest = Event { key: self.first_key + place, readable: true, writable };
            if self.poller.modify_with_mode(&connection.socket, interest, PollMode::Level).is_err() {
                self.lose(place);
            }
        }
    }

    /// Takes in what the poller has told: each happening goes to `tell`.
    pub(super) fn turn(&mut self, ready: &[Event], mut tell: impl FnMut(ConnectionId, Heard)) {
        for event in ready {
            let Some(place) = event.key.checked_sub(self.first_key).filter(|place| *place < self.most) else {
                continue;
            };
            let Some(connection) = self.open.get_mut(place) else { continue };
            if connection.connecting {
                match (connection.socket.take_error(), connection.socket.peer_addr()) {
                    (Ok(None), Ok(_)) => {
                        connection.connecting = false;
                        tell(connection.link, Heard::Opened);
                    }
                    // Not yet.
                    (Ok(None), Err(_)) if !event.readable => continue,
                    _ => {
                        self.lose(place);
                        continue;
                    }
                }
            }
            if event.writable {
                self.write(place);
            }
            if event.readable {
                self.read(place, &mut tell);
            }
        }
    }

    fn read(&mut self, place: usize, tell: &mut impl FnMut(ConnectionId, Heard)) {
        for _ in 0..READS {
            let Some(connection) = self.open.get_mut(place) else { return };
            match connection.socket.read(&mut self.scratch) {
                Ok(0) => return self.lose(place),
                Ok(count) => {
                    self.received += count as u64;
                    // Who is let go has nothing to say any more.
                    if !connection.finishing {
                        tell(connection.link, Heard::Bytes(&self.scratch[..count]));
                    }
                    if count < self.scratch.len() {
                        return;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => return self.lose(place),
            }
        }
    }
}

#[cfg(test)]
mod tests;
