//! The loop's part for upgrades: the line to the process that follows and to the one before.

use std::io;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::sync::atomic::Ordering;

use polling::{Event, PollMode};
use slab::Slab;
use slog::{info, warn};

use super::clients::ClientLink;
use super::slots::{Key, Slot};
use super::workers::{Commit, WorkerMessage};
use super::{Gateway, Phase, PEERS, SUCCESSORS};
use crate::balancer;
use crate::hot_restart::handover_socket::{self, HandoverSocket};
use crate::hot_restart::message::{GatewaySnapshot, Message};
use crate::net::discovery::Watch;
use crate::pg::client::{ClientConnection, ClientHandover};
use crate::pg::codec::CancelKey;
use crate::Micros;

/// Descriptors that the other process takes for itself while there are two.
const OTHERS: usize = 24;

/// A client on its way to the process that follows.
pub(super) struct Passed {
    socket: TcpStream,
    asked: bool,
    left: ClientHandover,
}

/// Another process of this gateway.
pub(super) struct Peer {
    line: HandoverSocket,
    /// It follows this one.
    follows: bool,
    /// Clients that the process before still holds.
    holding: usize,
    /// It understands cancels.
    cancels: bool,
    interest: bool,
}

/// The processes of this gateway before and after this one.
#[derive(Default)]
pub(super) struct Succession {
    /// Where this process waits for the one that follows, and the socket on which it does.
    pub(super) path: Option<PathBuf>,
    pub(super) successors: Option<OwnedFd>,
    /// Other processes of this gateway, and the one among them that takes the clients.
    pub(super) peers: Slab<Peer>,
    pub(super) successor: Option<usize>,
    gathering: Option<Gathering>,
}

/// The snapshot for a process that has called, until all workers have told theirs.
struct Gathering {
    line: HandoverSocket,
    waits: usize,
    known: balancer::Snapshot,
    open: Vec<(String, Micros)>,
    /// What goes on the line behind the snapshot.
    after: Vec<Message>,
}

impl Gateway {
    /// Waits for the process that follows, where there is a path for it.
    pub(super) fn await_successors(&mut self) {
        let Some(path) = &self.line.path else { return };
        let waits = handover_socket::listen(path).and_then(|at| {
            self.poller.add_with_mode(&at, Event::readable(SUCCESSORS), PollMode::Level)?;
            Ok(at)
        });
        match waits {
            Ok(at) => self.line.successors = Some(at),
            Err(e) => warn!(self.log, "no upgrade without a stop: cannot wait for it"; "error" => %e),
        }
    }

    /// A process that follows has come: it gets the snapshot of all workers and a copy of the listener.
    pub(super) fn on_successor(&mut self) {
        let Some(Ok(line)) = self.line.successors.as_ref().map(HandoverSocket::accept) else { return };
        // One at a time: another that calls meanwhile starts alone.
        if self.line.gathering.is_some() {
            return;
        }
        let (known, open) = self.own_snapshot();
        let waits = self.workers.size() - 1;
        self.workers.linked.store(true, Ordering::SeqCst);
        self.line.gathering = Some(Gathering { line, waits, known, open, after: Vec::new() });
        self.workers.deliver_others(self.me, || WorkerMessage::Part);
        self.hand_over();
    }

    /// What this worker knows, and the names of its open requests.
    pub(super) fn own_snapshot(&self) -> (balancer::Snapshot, Vec<(String, Micros)>) {
        let open = self.requests.client_ids().map(|(name, until)| (name.to_string(), until)).collect();
        (self.balancer.snapshot(), open)
    }

    /// One more worker has told what it knows.
    pub(super) fn gather_snapshot(&mut self, known: balancer::Snapshot, open: Vec<(String, Micros)>) {
        let Some(gathering) = &mut self.line.gathering else { return };
        gathering.known.merge(known);
        gathering.open.extend(open);
        gathering.waits = gathering.waits.saturating_sub(1);
        self.hand_over();
    }

    /// Hands the snapshot over once all workers have told theirs, and then the commits since.
    fn hand_over(&mut self) {
        let Some(gathering) = self.line.gathering.take_if(|gathering| gathering.waits == 0) else { return };
        let listener = self.clients.listener.as_ref().and_then(|listener| listener.try_clone().ok());
        let Some(listener) = listener else { return self.relink() };
        let Gathering { line, known, open, after, .. } = gathering;
        info!(self.log, "upgrade: state handed over"; "clients" => self.workers.clients(), "owed" => open.len());
        let snapshot = GatewaySnapshot {
            position_reference: self.clock.reference(),
            clock_reading: Some(self.clock.reading()),
            config: self.config.clone(),
            discovery: self.watching.address,
            list_revision: self.watching.watch.known(),
            directory: self.directory.clone(),
            class_ids: self.classes.names().map(|(name, id)| (name.clone(), id)).collect(),
            balancer: known,
            administratively_down: self.admin.down.clone(),
            in_flight: open,
            open_clients: self.workers.clients(),
            accepts_cancel: true,
        };
        if let Some(peer) = self.meet(line, true, 0, false) {
            self.tell(peer, &Message::Snapshot(Box::new(snapshot)), Some(listener.into()));
            for message in after {
                self.tell(peer, &message, None);
            }
        }
        self.relink();
    }

    /// Says to all workers whether there is another process.
    fn relink(&self) {
        let linked = !self.line.peers.is_empty() || self.line.gathering.is_some();
        self.workers.linked.store(linked, Ordering::SeqCst);
    }

    /// Takes up a line.
    pub(super) fn meet(
        &mut self,
        line: HandoverSocket,
        follows: bool,
        holding: usize,
        cancels: bool,
    ) -> Option<usize> {
        let index = self.line.peers.vacant_key();
        let added = self.poller.add_with_mode(&line, Event::readable(PEERS + index), PollMode::Level);
        added.ok().map(|()| self.line.peers.insert(Peer { line, follows, holding, cancels, interest: false }))
    }

    /// The process before has handed over: this one takes clients, and says so.
    pub(super) fn succeed(&mut self, line: HandoverSocket, holding: usize, cancels: bool) {
        if let Some(peer) = self.meet(line, false, holding, cancels) {
            self.tell(peer, &Message::Ready, None);
        }
        self.share_budget();
    }

    /// Takes over what the process before knew of this worker's families.
    pub(super) fn take_part(&mut self, snapshot: &GatewaySnapshot, error: Micros) {
        let mut directory = snapshot.directory.clone();
        // Zones that only the new settings name have got their numbers by now.
        directory.know_zones(self.directory.zones().clone());
        self.directory = directory;
        let place = |class| {
            let (name, _) = self.classes.names().find(|(_, id)| *id == class)?;
            snapshot.class_ids.get(name).copied()
        };
        let (workers, me) = (&self.workers, self.me);
        let part = snapshot.balancer.clone().for_groups(|group| workers.home(group) == me);
        self.balancer.restore(part, place, error);
        self.requests.add_elsewhere(snapshot.in_flight.iter().cloned());
    }

    /// Takes over the lead from the process before.
    pub(super) fn take_lead(&mut self, line: HandoverSocket, snapshot: GatewaySnapshot) {
        self.admin.down = snapshot.administratively_down;
        self.watching.address = snapshot.discovery;
        self.watching.watch = Watch::from(snapshot.list_revision);
        let (clients, rev, cancels) =
            (snapshot.open_clients, snapshot.list_revision.unwrap_or(0), snapshot.accepts_cancel);
        info!(self.log, "upgrade: state taken over"; "clients" => clients, "rev" => rev);
        self.workers.linked.store(true, Ordering::SeqCst);
        self.succeed(line, clients, cancels);
    }

    /// While there are two processes each has its part of what both may hold.
    fn share_budget(&mut self) {
        let parts = if self.line.peers.is_empty() { 1 } else { 2 };
        self.workers.deliver_others(self.me, || WorkerMessage::Share(parts));
        self.share_hosts(parts);
    }

    /// Shares this worker's connections to hosts with so many processes.
    pub(super) fn share_hosts(&mut self, parts: usize) {
        self.pool.share(parts);
        while !self.pool.has_room() {
            let Some(idle) = self.pool.oldest() else { break };
            self.close(idle);
        }
    }

    /// Clients that this process has no room for because of another.
    pub(super) fn lent(&self) -> usize {
        let held: usize = self.line.peers.iter().map(|(_, peer)| peer.holding + OTHERS).sum();
        held.min(self.clients.most / 2)
    }

    fn tell(&mut self, index: usize, message: &Message, with: Option<OwnedFd>) {
        let Some(peer) = self.line.peers.get_mut(index) else { return };
        let sent = peer.line.send(message, with);
        self.tend(index, sent);
    }

    fn tell_others(&mut self, but: Option<usize>, message: &Message) {
        let others: Vec<usize> = self.line.peers.iter().map(|(index, _)| index).collect();
        for index in others.into_iter().filter(|index| Some(*index) != but) {
            self.tell(index, message, None);
        }
    }

    /// After something was sent on a line: asks the poller for what it needs, or gives it up.
    fn tend(&mut self, index: usize, sent: io::Result<()>) {
        let Some(peer) = self.line.peers.get_mut(index) else { return };
        let behind = peer.line.has_pending_output();
        let interest = Event { key: PEERS + index, readable: true, writable: behind };
        let armed = sent.and_then(|()| match std::mem::replace(&mut peer.interest, behind) == behind {
            true => Ok(()),
            false => self.poller.modify_with_mode(&peer.line, interest, PollMode::Level),
        });
        if let Err(e) = armed {
            self.disconnect(index, &e);
        }
    }

    /// Sends what waited for room on a line.
    pub(super) fn push_on(&mut self, index: usize) {
        if let Some(peer) = self.line.peers.get_mut(index) {
            let sent = peer.line.flush();
            self.tend(index, sent);
        }
    }

    /// The other process has ended, or makes no sense. If it was to take the clients, this one goes on.
    fn disconnect(&mut self, index: usize, why: &io::Error) {
        let Some(peer) = self.line.peers.try_remove(index) else { return };
        let _ = self.poller.delete(&peer.line);
        info!(self.log, "upgrade: the other process is gone"; "followed" => peer.follows, "why" => %why);
        self.relink();
        if self.line.successor == Some(index) {
            self.line.successor = None;
            self.workers.successor.store(false, Ordering::SeqCst);
            if self.phase == Phase::Serving {
                self.await_successors();
                self.set_accepting(true);
            }
        }
        self.share_budget();
    }

    /// Reads all lines, so that nothing is decided before what the other process has told.
    pub(super) fn hear_peers(&mut self) {
        let peers: Vec<usize> = self.line.peers.iter().map(|(index, _)| index).collect();
        for index in peers {
            while let Some(peer) = self.line.peers.get_mut(index) {
                match peer.line.receive() {
                    Ok(None) => break,
                    Ok(Some((message, with))) => self.handle(index, message, with),
                    Err(e) => self.disconnect(index, &e),
                }
            }
        }
    }

    fn handle(&mut self, index: usize, message: Message, with: Option<OwnedFd>) {
        match message {
            Message::Ready => {
                info!(self.log, "upgrade: the next process takes clients"; "clients" => self.clients.open);
                self.line.successor = Some(index);
                self.workers.successor.store(true, Ordering::SeqCst);
                self.set_accepting(false);
                if let Some(at) = self.line.successors.take() {
                    let _ = self.poller.delete(&at);
                }
                self.share_budget();
                self.pass_clients();
            }
            Message::Client { greeted, has_queried, bytes, key, arrivals } => {
                if let Some(peer) = self.line.peers.get_mut(index) {
                    peer.holding = peer.holding.saturating_sub(1);
                }
                if let Some(socket) = with {
                    let left = ClientHandover { key, greeted, bytes, arrivals };
                    self.adopt(Passed { socket: socket.into(), asked: has_queried, left });
                }
            }
            Message::RemainingClients { clients } => {
                if let Some(peer) = self.line.peers.get_mut(index) {
                    peer.holding = clients;
                }
            }
            Message::Commit { group, session, commit } => {
                match self.workers.home(group) {
                    home if home == self.me => self.balancer.record_commit(group, session, commit),
                    home => self.workers.deliver(home, WorkerMessage::Committed((group, session, commit))),
                }
                self.tell_others(Some(index), &Message::Commit { group, session, commit });
            }
            Message::SetDown { host, down } => {
                let message = || WorkerMessage::SetDown { host: host.clone(), down, call: None };
                self.workers.deliver_others(self.me, message);
                self.set_down(&host, down);
                self.store_down(&host, down);
                self.tell_others(Some(index), &Message::SetDown { host, down });
            }
            Message::Cancel(key) => {
                if !self.cancel_own(key) {
                    self.workers.deliver_others(self.me, || WorkerMessage::Cancel(key));
                }
            }
            Message::Snapshot(_) => warn!(self.log, "upgrade: a state snapshot out of place"),
        }
    }

    /// A client that the process before has passed on.
    fn adopt(&mut self, Passed { socket, asked, left }: Passed) {
        let protocol = ClientConnection::resume(self.clients.longest_message, left, self.now);
        let client = ClientLink { asked, ..ClientLink::new(protocol, self.now) };
        self.workers.count(self.me).fetch_add(1, Ordering::Relaxed);
        self.admit(socket, client);
    }

    /// Passes a client on to the process that follows, if it is owed nothing. False if it stays.
    pub(super) fn pass_on(&mut self, key: Key) -> bool {
        if !self.workers.successor.load(Ordering::SeqCst) {
            return false;
        }
        let Some(client) = self.client(key).filter(|client| client.in_flight.is_none() && !client.closing)
        else {
            return false;
        };
        let asked = client.asked;
        let Some(left) = client.protocol.to_handover() else { return false };
        // Counted until it is on the line: the first worker does not end before.
        self.workers.count(0).fetch_add(1, Ordering::Relaxed);
        match self.remove(key) {
            Some(Slot { socket, .. }) => {
                let client = Passed { socket, asked, left };
                match self.me {
                    0 => self.pass_further(client),
                    _ => self.workers.deliver(0, WorkerMessage::Pass(Box::new(client))),
                }
            }
            None => drop(self.workers.count(0).fetch_sub(1, Ordering::Relaxed)),
        }
        true
    }

    /// Puts a client on the line to the process that follows; if that has died it stays here.
    pub(super) fn pass_further(&mut self, client: Passed) {
        match self.line.successor {
            Some(successor) => {
                let Passed { socket, asked, left: ClientHandover { key, greeted, bytes, arrivals } } = client;
                let message = Message::Client { greeted, has_queried: asked, bytes, key, arrivals };
                self.tell(successor, &message, Some(socket.into()));
            }
            None => self.adopt(client),
        }
        self.workers.count(0).fetch_sub(1, Ordering::Relaxed);
    }

    /// Passes on all clients that are owed nothing, and says how many are left.
    pub(super) fn pass_clients(&mut self) {
        let keys: Vec<Key> = self.slots.iter().map(|(place, s)| Key { place, serial: s.serial }).collect();
        for key in keys {
            self.pass_on(key);
        }
        if let Some(successor) = self.line.successor {
            self.tell(successor, &Message::RemainingClients { clients: self.workers.clients() }, None);
        }
    }

    /// Tells the other process of a session's commit, before its client hears of it.
    pub(super) fn share_commit(&mut self, (group, session, commit): Commit) {
        let message = Message::Commit { group, session, commit };
        self.tell_others(None, &message);
        if let Some(gathering) = &mut self.line.gathering {
            gathering.after.push(message);
        }
    }

    /// Tells the other process of a cancel that fits nobody here.
    pub(super) fn share_cancel(&mut self, key: CancelKey) {
        let heeds = |(index, peer): (usize, &Peer)| peer.cancels.then_some(index);
        let others: Vec<usize> = self.line.peers.iter().filter_map(heeds).collect();
        for index in others {
            self.tell(index, &Message::Cancel(key), None);
        }
    }

    /// Tells the other process what operators have said of a host, before they hear yes.
    pub(super) fn share_down(&mut self, host: &str, down: bool) {
        self.tell_others(None, &Message::SetDown { host: host.to_string(), down });
    }

    /// Whether something is still on its way to another process.
    pub(super) fn is_telling(&self) -> bool {
        self.line.peers.iter().any(|(_, peer)| peer.line.has_pending_output())
    }
}
