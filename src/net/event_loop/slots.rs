//! The loop's table of connections: their places, what the poller is asked for, and bytes in and out.

use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsFd;
use std::sync::atomic::Ordering;

use polling::{Event, PollMode};

use super::admin::AdminLink;
use super::clients::ClientLink;
use super::hosts::HostLink;
use super::timers::Timer;
use super::workers::{InFlight, Owner, Parting, WorkerMessage};
use super::{flowing, Gateway, Phase};
use crate::attempt::FailureCause;
use crate::pg::codec::SendBuffer;
use crate::shortage::{is_shortage, is_to_wait};
use crate::Micros;

/// Most reads of one connection in one turn.
const READS: usize = 4;
/// How long a connection that has been shut waits for its client's end, and for how many bytes of it.
const LINGER: Micros = Micros::millis(300);
const LINGER_BYTES: usize = 256 * 1024;
/// Most such connections at a time while clients come: their descriptors are among those kept back.
const LINGERERS: usize = 6;
/// Time between looks at a client whose bytes are not read.
const UNREAD: Micros = Micros::millis(50);
/// Time until a call is made again that failed for a shortage of this machine.
pub(super) const SHORTAGE_PAUSE: Micros = Micros::millis(20);

/// A connection's place and a number that tells it from others that had the place before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    pub(super) place: usize,
    pub(super) serial: u64,
}

pub(super) struct Slot {
    pub(super) serial: u64,
    pub(super) socket: TcpStream,
    pub(super) interest: (bool, bool),
    pub(super) link: Link,
}

pub(super) enum Link {
    Client(ClientLink),
    Host(HostLink),
    Discovery(SendBuffer),
    Caller(AdminLink),
    /// A client whose connection is shut for writing: what it still sends is thrown away, so many bytes at most.
    Lingering(usize),
}

/// A connection that the poller did not take.
pub(super) struct Unplaced {
    pub(super) socket: TcpStream,
    pub(super) link: Link,
    pub(super) error: io::Error,
}

/// Whether something waits to be read, or somebody to be accepted.
pub(super) fn is_readable(source: &impl AsFd) -> bool {
    use rustix::event::{poll, PollFd, PollFlags, Timespec};
    let mut one = [PollFd::new(source, PollFlags::IN)];
    poll(&mut one, Some(&Timespec::default())).is_ok_and(|count| count > 0)
}

/// Whether the other side has closed, though bytes before its end may still wait to be read.
pub(super) fn hung_up(socket: &TcpStream) -> bool {
    use rustix::event::{poll, PollFd, PollFlags, Timespec};
    match socket.peek(&mut [0]) {
        Ok(0) => true,
        Ok(_) => {
            let mut end = [PollFd::new(socket, PollFlags::RDHUP)];
            poll(&mut end, Some(&Timespec::default())).is_ok_and(|count| count > 0)
        }
        Err(e) => !is_to_wait(&e) && e.kind() != io::ErrorKind::Interrupted,
    }
}

impl Gateway {
    pub(super) fn key_at(&self, place: usize) -> Option<Key> {
        self.slots.get(place).map(|slot| Key { place, serial: slot.serial })
    }

    pub(super) fn slot(&mut self, key: Key) -> Option<&mut Slot> {
        self.slots.get_mut(key.place).filter(|slot| slot.serial == key.serial)
    }

    pub(super) fn client(&mut self, key: Key) -> Option<&mut ClientLink> {
        match &mut self.slot(key)?.link {
            Link::Client(client) => Some(client),
            _ => None,
        }
    }

    pub(super) fn host(&mut self, key: Key) -> Option<&mut HostLink> {
        match &mut self.slot(key)?.link {
            Link::Host(host) => Some(host),
            _ => None,
        }
    }

    pub(super) fn insert(
        &mut self,
        socket: TcpStream,
        link: Link,
        writable: bool,
    ) -> Result<Key, Box<Unplaced>> {
        self.serial += 1;
        let key = Key { place: self.slots.vacant_key(), serial: self.serial };
        let interest = Event { key: key.place, readable: true, writable };
        if let Err(error) = self.poller.add_with_mode(&socket, interest, PollMode::Level) {
            return Err(Box::new(Unplaced { socket, link, error }));
        }
        match link {
            Link::Client(_) => self.clients.open += 1,
            Link::Host(_) => self.pool.opened(),
            Link::Lingering(_) => self.clients.lingering += 1,
            Link::Discovery(_) | Link::Caller(_) => {}
        }
        self.slots.insert(Slot { serial: key.serial, socket, interest: (true, writable), link });
        Ok(key)
    }

    pub(super) fn close(&mut self, key: Key) {
        drop(self.remove(key));
    }

    /// Closes a client's connection so that its last answer arrives: a close over bytes that nobody has read resets
    /// the connection, and what the system still held back goes with it. So it is shut for writing, and closed once
    /// the client has closed as well, or has had its time. A request that crosses the shutdown was not taken.
    pub(super) fn hang_up(&mut self, key: Key) {
        let Some(Slot { socket, .. }) = self.remove(key) else { return };
        let lingers = |(place, slot): (usize, &Slot)| match slot.link {
            Link::Lingering(_) => Some(Key { place, serial: slot.serial }),
            _ => None,
        };
        if self.phase != Phase::Closing && self.clients.lingering >= LINGERERS {
            let oldest = self.slots.iter().filter_map(lingers).min_by_key(|key| key.serial);
            oldest.into_iter().for_each(|key| self.close(key));
        }
        if socket.shutdown(Shutdown::Write).is_ok() {
            if let Ok(key) = self.insert(socket, Link::Lingering(LINGER_BYTES), false) {
                self.set_timer(LINGER, Timer::Lingered(key));
            }
        }
    }

    /// Lets an idle client go, unless bytes of it have come that were not read yet: those are looked at first.
    pub(super) fn let_go(&mut self, key: Key) -> bool {
        let Some(slot) = self.slot(key) else { return false };
        match slot.socket.peek(&mut [0]) {
            Ok(0) => {}
            Err(e) if e.kind() != io::ErrorKind::Interrupted => {}
            _ => {
                self.read(key);
                return false;
            }
        }
        self.hang_up(key);
        true
    }

    /// A client that is owed an answer and whose bytes are not read: its end would not be seen among them.
    pub(super) fn look_at_unread(&mut self, key: Key) {
        let Some(Slot { interest, socket, link: Link::Client(client), .. }) = self.slot(key) else { return };
        client.unread = false;
        if interest.0 || client.in_flight.is_none() {
            return;
        }
        match hung_up(socket) {
            true => self.lose(key),
            false => self.watch_unread(key),
        }
    }

    fn watch_unread(&mut self, key: Key) {
        if let Some(client) = self.client(key).filter(|client| client.in_flight.is_some()) {
            if !std::mem::replace(&mut client.unread, true) {
                self.set_timer(UNREAD, Timer::Unread(key));
            }
        }
    }

    /// Takes a connection out of the loop.
    pub(super) fn remove(&mut self, key: Key) -> Option<Slot> {
        self.slot(key)?;
        let slot = self.slots.remove(key.place);
        let _ = self.poller.delete(&slot.socket);
        match &slot.link {
            Link::Client(_) => {
                self.clients.open -= 1;
                self.workers.count(self.me).fetch_sub(1, Ordering::Relaxed);
            }
            Link::Host(host) => self.pool.closed(host.member, key),
            Link::Lingering(_) => self.clients.lingering -= 1,
            Link::Discovery(_) | Link::Caller(_) => {}
        }
        if !self.clients.accepting {
            self.set_accepting(true);
        }
        Some(slot)
    }

    /// Asks the poller for what the connection needs now.
    pub(super) fn arm(&mut self, key: Key) {
        // What a client sends once the listener is closed is not read: it was not taken, and goes elsewhere.
        let open = self.phase != Phase::Closing;
        let Some(slot) = self.slot(key) else { return };
        let wants = match &slot.link {
            Link::Client(client) => (open && client.protocol.wants_read(), !client.protocol.out.is_empty()),
            Link::Host(host) => (!host.held, !host.protocol.out.is_empty()),
            Link::Discovery(out) => (true, !out.is_empty()),
            Link::Caller(caller) => (true, !caller.call.out.is_empty()),
            Link::Lingering(_) => (true, false),
        };
        let before = std::mem::replace(&mut slot.interest, wants);
        if !wants.0 {
            self.watch_unread(key);
        }
        if wants == before {
            return;
        }
        let interest = Event { key: key.place, readable: wants.0, writable: wants.1 };
        let slot = &mut self.slots[key.place];
        match self.poller.modify_with_mode(&slot.socket, interest, PollMode::Level) {
            Ok(()) => {}
            Err(e) if is_shortage(&e) => {
                slot.interest = before;
                self.set_timer(SHORTAGE_PAUSE, Timer::Arm(key));
            }
            Err(_) => self.lose(key),
        }
    }

    /// Writes what waits to be written.
    pub(super) fn write(&mut self, key: Key) {
        let now = self.now;
        let Some(slot) = self.slot(key) else { return };
        let out = match &mut slot.link {
            Link::Client(client) => &mut client.protocol.out,
            Link::Host(host) => &mut host.protocol.out,
            Link::Discovery(out) => out,
            Link::Caller(caller) => &mut caller.call.out,
            Link::Lingering(_) => return,
        };
        let before = out.len();
        let flushed = out.flush(&mut slot.socket);
        if let (Link::Client(client), true) = (&mut slot.link, before > 0) {
            let left = client.protocol.out.len();
            client.used = if left < before { now } else { client.used };
            let waits = client.in_flight.filter(|_| left < flowing::UNREAD);
            let choked = waits.is_some() && std::mem::take(&mut client.choked);
            match waits {
                Some(InFlight::Here(request_id)) => self.let_flow(request_id),
                Some(InFlight::At(home)) if choked => {
                    self.workers.deliver(home, WorkerMessage::Drained(Owner { worker: self.me, key }));
                }
                _ => {}
            }
        }
        let Some(slot) = self.slot(key) else { return };
        match flushed {
            Ok(true) => {
                match &slot.link {
                    Link::Client(ClientLink { closing: true, .. }) => return self.hang_up(key),
                    Link::Caller(caller) if caller.call.has_responded() => self.caller_served(key),
                    Link::Host(_) => self.attempt_written(key),
                    _ => {}
                }
                self.arm(key);
            }
            Ok(false) => self.arm(key),
            // A connection that is still coming up is not writable yet.
            Err(e) if e.kind() == io::ErrorKind::NotConnected => self.arm(key),
            Err(_) => self.lose(key),
        }
    }

    pub(super) fn read(&mut self, key: Key) {
        let mut scratch = std::mem::take(&mut self.scratch);
        for _ in 0..READS {
            let Some(slot) = self.slot(key) else { break };
            if matches!(&slot.link, Link::Host(host) if host.held) {
                break;
            }
            match slot.socket.read(&mut scratch) {
                Ok(0) => {
                    self.take_in(key, &[], true);
                    break;
                }
                Ok(count) => {
                    self.take_in(key, &scratch[..count], false);
                    if count < scratch.len() {
                        break;
                    }
                }
                Err(e) if is_to_wait(&e) => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // A reset is no end: what had come before it may be a part.
                Err(_) => {
                    self.lose(key);
                    break;
                }
            }
        }
        self.scratch = scratch;
        self.arm(key);
    }

    /// Takes in bytes or the end of a connection.
    pub(super) fn take_in(&mut self, key: Key, bytes: &[u8], ended: bool) {
        let now = self.now;
        let Some(slot) = self.slot(key) else { return };
        match &mut slot.link {
            Link::Client(client) if !ended => {
                client.used = now;
                client.protocol.receive(bytes, client.waited_since.unwrap_or(now));
                self.ready.push_back(key);
            }
            Link::Host(host) if !ended => {
                host.heard = now;
                host.protocol.receive(bytes);
                while let Some(turn) = self.host(key).and_then(|host| host.protocol.next_event()) {
                    self.host_turn(key, turn);
                }
                self.flow(key);
            }
            Link::Discovery(_) => self.discovery_says(key, bytes, ended),
            Link::Caller(_) => self.caller_says(key, bytes, ended),
            Link::Lingering(left) if !ended && bytes.len() < *left => *left -= bytes.len(),
            _ => self.lose(key),
        }
    }

    /// A connection has ended or is of no use any more.
    pub(super) fn lose(&mut self, key: Key) {
        let Some(slot) = self.slot(key) else { return };
        match &mut slot.link {
            Link::Client(client) => {
                match client.in_flight.take() {
                    Some(InFlight::Here(request_id)) => self.abandon(request_id, Parting::Gone),
                    Some(InFlight::At(home)) => self.take_leave(home, key, Parting::Gone),
                    None => {}
                }
                self.close(key);
            }
            Link::Host(_) => self.host_lost(key, FailureCause::ConnectionLost),
            Link::Discovery(_) => self.discovery_failed(key, "connection broke"),
            Link::Caller(_) | Link::Lingering(_) => self.close(key),
        }
    }
}
