//! The loop's part for clients: whom to let in, what they ask, and who has to leave. A client that
//! owes its startup, its first query or the rest of a command is told so and closed; one that has been
//! idle makes room, so that clients that come and never come back leave nothing behind.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;

use polling::{Event, PollMode};
use slog::warn;

use super::requests::Final;
use super::slots::{is_readable, Key, Link, Slot, Unplaced, SHORTAGE_PAUSE};
use super::timers::Timer;
use super::workers::{InFlight, Owner, WorkerMessage};
use super::{Gateway, Phase, LISTENER};
use crate::balancer::RoutingRequest;
use crate::pg::client::{Client, Demand};
use crate::pg::codec::CancelKey;
use crate::pg::statement::Statement;
use crate::{ClassId, GroupId, Micros};

/// Most connections accepted in one turn.
pub(super) const ACCEPTS: usize = 16;
/// Time taken off what a client waits: for the way there and back, and for the turn of the loop.
const MARGIN: Micros = Micros::millis(3);
/// How long a client may take for its first query, and for the rest of a command that it has begun.
const PATIENCE: Micros = Micros::millis(2_400);
/// How long a client may be idle: while there is much room, and else.
const IDLE: Micros = Micros::millis(10_000);
const IDLE_CROWDED: Micros = Micros::millis(2_000);
/// Part of the room for clients from which on it counts as crowded.
const CROWDED: usize = 3;
/// How long an answer may lie unread.
const UNREAD: Micros = Micros::millis(10_000);
/// A client that has asked nothing for so long goes before those that have.
const SILENT: Micros = Micros::millis(50);

/// A client's connection.
pub(super) struct ClientLink {
    pub(super) protocol: Client,
    /// Where its request is decided, while one is open.
    pub(super) in_flight: Option<InFlight>,
    /// The home of its long value waits for word that it has read on.
    pub(super) choked: bool,
    /// Its bytes are not read, and it is looked at now and then whether it has left.
    pub(super) unread: bool,
    /// When it connected.
    pub(super) since: Micros,
    /// When bytes last came or went.
    pub(super) used: Micros,
    /// Since when a message of it has been half there.
    pub(super) half: Option<Micros>,
    /// It may have waited to be accepted since then, with what is read first.
    pub(super) waited_since: Option<Micros>,
    /// It has asked something that could be routed.
    pub(super) asked: bool,
    pub(super) closing: bool,
}

/// Who may come in, and how many are.
pub(super) struct ClientTable {
    pub(super) listener: Option<TcpListener>,
    /// Not while there is no room for clients.
    pub(super) accepting: bool,
    /// Clients that are connected, and the most that may be.
    pub(super) open: usize,
    pub(super) most: usize,
    /// Most clients that are kept open though they have asked before.
    pub(super) most_known: usize,
    pub(super) longest_message: usize,
    /// Nobody waited in the listener's queue then; and whether nobody has since, as far as the loop was told.
    pub(super) queue_empty_at: Micros,
    pub(super) queue_is_empty: bool,
    /// While the process ends: when the listener is closed, whoever waits.
    pub(super) close_by: Micros,
    /// Clients that were accepted and wait for a shortage to pass; counted like those that are served.
    pub(super) waiting: Vec<Unplaced>,
    /// Connections that are shut and wait for their clients' end.
    pub(super) lingering: usize,
    /// Makes the keys with which clients may cancel their queries.
    pub(super) keys: Keys,
}

impl ClientTable {
    fn empty_queue(&mut self, now: Micros) {
        (self.queue_empty_at, self.queue_is_empty) = (now, true);
    }
}

/// Keys that nobody can guess: numbers in order under a keyed hash, whose key the system draws.
#[derive(Default)]
pub(super) struct Keys {
    hasher: RandomState,
    given: u64,
}

impl Keys {
    fn next(&mut self) -> CancelKey {
        self.given += 1;
        let bits = self.hasher.hash_one(self.given);
        // Some clients read the number as signed and take none below one.
        CancelKey { process: ((bits >> 32) as u32 & 0x7fff_ffff).max(1), secret: bits as u32 }
    }
}

/// What is left in the listener's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Queue {
    /// Nobody.
    Empty,
    /// Perhaps more.
    More,
    /// Perhaps more, whom a shortage or lack of room keeps there.
    HeldUp,
}

/// Why a client has to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Overstay {
    /// It owes the rest of a command, or its first one.
    Late,
    /// It has been idle.
    Idle,
    /// It does not read.
    Deaf,
}

impl ClientLink {
    /// A client that has just come.
    pub(super) fn new(protocol: Client, now: Micros) -> Self {
        ClientLink {
            protocol,
            in_flight: None,
            choked: false,
            unread: false,
            since: now,
            used: now,
            half: None,
            waited_since: None,
            asked: false,
            closing: false,
        }
    }

    /// Whether the client has to leave now.
    fn overstays(&self, now: Micros, crowded: bool) -> Option<Overstay> {
        if !self.protocol.out.is_empty() && now - self.used >= UNREAD {
            return Some(Overstay::Deaf);
        }
        if self.in_flight.is_some() || self.protocol.is_busy() {
            return None;
        }
        let late = self.half.is_some_and(|since| now - since >= PATIENCE)
            || !self.asked && now - self.since >= PATIENCE;
        let idle = if crowded { IDLE_CROWDED } else { IDLE };
        let idle = self.protocol.is_idle() && now - self.used >= idle;
        late.then_some(Overstay::Late).or(idle.then_some(Overstay::Idle))
    }

    /// How much a client with nothing open would be missed: the least first.
    fn missed(&self, now: Micros) -> Option<(bool, Micros)> {
        let silent = !self.asked && now - self.since >= SILENT;
        self.protocol.is_idle().then_some((!silent, self.used))
    }
}

impl Gateway {
    /// Accepts connections, as far as there is room for clients.
    pub(super) fn accept(&mut self) -> Queue {
        self.clients.queue_is_empty = false;
        for accepted in 0..ACCEPTS {
            let (fewest, most) = self.workers.extremes();
            let full = self.workers.clients() + self.lent() >= self.clients.most;
            // Whether anybody waits is known of the first alone: no client makes room for nobody.
            if full && accepted > 0 {
                return Queue::More;
            }
            if full && !self.make_room() {
                if self.workers.size() > 1 {
                    // Perhaps another worker has a client that would not be missed.
                    self.workers.deliver(most, WorkerMessage::MakeRoom);
                    self.set_timer(SHORTAGE_PAUSE, Timer::Accept);
                } else {
                    warn!(self.log, "no descriptors left for clients"; "open" => self.clients.open);
                }
                self.set_accepting(false);
                return Queue::HeldUp;
            }
            let Some(listener) = &self.clients.listener else { return Queue::Empty };
            match listener.accept() {
                Ok((socket, _)) => {
                    self.workers.count(fewest).fetch_add(1, Ordering::Relaxed);
                    match fewest == self.me {
                        true => self.welcome(socket, self.clients.queue_empty_at),
                        false => {
                            let since = self.clients.queue_empty_at;
                            self.workers.deliver(fewest, WorkerMessage::Client(socket, since));
                        }
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.clients.empty_queue(self.now);
                    return Queue::Empty;
                }
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    warn!(self.log, "cannot accept"; "error" => %e);
                    self.set_accepting(false);
                    self.set_timer(SHORTAGE_PAUSE, Timer::Accept);
                    return Queue::HeldUp;
                }
            }
        }
        Queue::More
    }

    /// Serves a client that is counted as this worker's, and may have waited in the queue since a time.
    pub(super) fn welcome(&mut self, socket: TcpStream, since: Micros) {
        let protocol = Client::taking(self.clients.longest_message, self.clients.keys.next());
        let client = ClientLink { waited_since: Some(since), ..ClientLink::new(protocol, self.now) };
        self.admit(socket, client);
    }

    /// Lets a client in that is counted as this worker's; one that the system does not take now waits, since what it has
    /// sent is owed its answer. Its first bytes have often come along.
    pub(super) fn admit(&mut self, socket: TcpStream, client: ClientLink) {
        // Without it answers are only slower; on this kind of socket the other call does not fail.
        let _ = socket.set_nodelay(true);
        let _ = socket.set_nonblocking(true);
        match self.insert(socket, Link::Client(client), false) {
            Ok(key) => {
                self.read(key);
                if let Some(client) = self.client(key) {
                    client.waited_since = None;
                }
                self.ready.push_back(key);
            }
            Err(unplaced) => {
                if self.clients.waiting.is_empty() {
                    warn!(self.log, "cannot serve a client yet"; "error" => %unplaced.error);
                }
                self.set_accepting(false);
                self.set_timer(SHORTAGE_PAUSE, Timer::Accept);
                self.clients.waiting.push(*unplaced);
            }
        }
    }

    /// Books when nobody waited in the listener's queue last: whoever is accepted later came after that. `slept`: the loop
    /// has slept until now, and whoever has come would have woken it. `told`: somebody waits, as far as it is asked for.
    pub(super) fn look_at_queue(&mut self, slept: bool, told: bool) {
        let Some(listener) = &self.clients.listener else { return };
        if self.clients.accepting {
            if !told || slept && self.clients.queue_is_empty {
                self.clients.empty_queue(self.now);
            }
        } else if is_readable(listener) {
            self.clients.queue_is_empty = false;
        } else {
            self.clients.queue_empty_at = self.now;
        }
    }

    /// Lets in who has waited for a shortage to pass.
    pub(super) fn let_waiting_in(&mut self) {
        for unplaced in std::mem::take(&mut self.clients.waiting) {
            let Unplaced { socket, link, .. } = unplaced;
            if let Link::Client(client) = link {
                self.admit(socket, client);
            }
        }
    }

    /// Goes on accepting, or pauses.
    pub(super) fn set_accepting(&mut self, on: bool) {
        let Some(listener) = self.clients.listener.as_ref().filter(|_| self.line.successor.is_none() || !on)
        else {
            return;
        };
        let interest = Event { key: LISTENER, readable: on, writable: false };
        if self.poller.modify_with_mode(listener, interest, PollMode::Level).is_ok() {
            self.clients.accepting = on;
            self.clients.queue_is_empty &= on;
        }
    }

    /// Closes the client that is missed least among those with nothing open.
    pub(super) fn make_room(&mut self) -> bool {
        let now = self.now;
        let idle = |(place, slot): (usize, &Slot)| match &slot.link {
            Link::Client(c) => c.missed(now).map(|rank| (rank, Key { place, serial: slot.serial })),
            _ => None,
        };
        let mut found: Vec<_> = self.slots.iter().filter_map(idle).collect();
        found.sort_unstable();
        found.into_iter().any(|(_, key)| self.let_go(key))
    }

    /// Closes the client that has been idle longest where too many that have asked are open: clients
    /// that never use a connection again would keep all they may have, and those that wait get none.
    pub(super) fn spare_clients(&mut self) {
        let most = self.clients.most_known.div_ceil(self.workers.size());
        if self.workers.clients() <= self.clients.most_known || self.clients.open <= most {
            return;
        }
        let known = |(place, slot): (usize, &Slot)| match &slot.link {
            Link::Client(c) if c.asked => {
                Some((c.protocol.is_idle(), c.used, Key { place, serial: slot.serial }))
            }
            _ => None,
        };
        let known: Vec<(bool, Micros, Key)> = self.slots.iter().filter_map(known).collect();
        if known.len() > most {
            let mut idle: Vec<_> = known.into_iter().filter(|(idle, ..)| *idle).collect();
            idle.sort_unstable();
            idle.into_iter().any(|(_, _, key)| self.let_go(key));
        }
    }

    /// The round over clients: those that owe something for too long are told so and closed, those
    /// that have been idle for long make room.
    pub(super) fn reap_clients(&mut self) {
        let crowded = self.workers.clients() > self.clients.most / CROWDED;
        let now = self.now;
        let judge = |(place, slot): (usize, &Slot)| match &slot.link {
            Link::Client(c) => c.overstays(now, crowded).map(|why| (Key { place, serial: slot.serial }, why)),
            _ => None,
        };
        let out: Vec<(Key, Overstay)> = self.slots.iter().filter_map(judge).collect();
        for (key, why) in out {
            match (why, self.client(key)) {
                (Overstay::Late, Some(client)) => {
                    client.protocol.turn_out("57014", "no whole command came in time");
                    client.closing = true;
                    self.write(key);
                }
                (Overstay::Idle, _) => drop(self.let_go(key)),
                _ => self.lose(key),
            }
        }
        if !self.clients.accepting {
            self.set_accepting(true);
        }
    }

    /// Looks at a client's next queries until one is owed its answer.
    pub(super) fn pump(&mut self, key: Key) {
        if self.pass_on(key) {
            return;
        }
        while let Some(demand) = self.client(key).and_then(|client| client.protocol.demand()) {
            match demand {
                Demand::Query(text, arrived) => self.query(key, text, arrived),
                Demand::Cancel(other) => {
                    self.client(key).into_iter().for_each(|client| client.closing = true);
                    self.cancel(other);
                }
                Demand::Close => self.client(key).into_iter().for_each(|client| client.closing = true),
            }
        }
        let (now, closing) = (self.now, self.phase == Phase::Closing);
        if let Some(client) = self.client(key) {
            client.closing |= closing && !client.protocol.is_busy();
            client.half = client.protocol.is_half().then(|| client.half.unwrap_or(now));
        }
        self.write(key);
    }

    fn query(&mut self, key: Key, text: String, arrived: Micros) {
        self.counts.taken += 1;
        let statement = match Statement::parse(text) {
            Ok(statement) => statement,
            Err(e) => {
                self.counts.failed += 1;
                return self.give(key, Final::Unroutable(e.to_string()));
            }
        };
        // Its client counts from when it sent: what the query has waited behind others of its connection is over.
        let until = arrived + (statement.wait - MARGIN);
        let until = self.answered_by.map_or(until, |by| until.min(by));
        let home = self.workers.home(GroupId(statement.cluster));
        if self.decides(home) {
            return self.take_on(Owner { worker: self.me, key }, statement, until);
        }
        let class = statement.class.clone();
        if let Some(client) = self.client(key) {
            (client.in_flight, client.asked) = (Some(InFlight::At(home)), true);
        }
        if !self.forward(home, key, statement, until) {
            // Its home has more waiting than it can look at in time.
            self.counts.refused += 1;
            if self.classes.id(self.now, &class).is_some() {
                self.figures.class_mut(&class).shed += 1;
            }
            self.give(key, Final::Refused(None));
        }
    }

    /// Takes a request on for whoever asked, or says what is wrong with it.
    pub(super) fn take_on(&mut self, owner: Owner, statement: Statement, until: Micros) {
        let (class, statement) = match self.route(statement) {
            Ok(found) => found,
            Err(why) => {
                self.counts.failed += 1;
                return self.answer(owner, Final::Unroutable(why));
            }
        };
        let (now, clock) = (self.now, self.clock);
        let time_left = until - now;
        if time_left == Micros(0) {
            self.counts.refused += 1;
            self.figures.class_mut(&statement.class).shed += 1;
            return self.answer(owner, Final::Refused(None));
        }
        let request = RoutingRequest {
            class,
            group: GroupId(statement.cluster),
            session: statement.session,
            committed: statement.after.map(|after| clock.at_unix_ms(after)),
            repeat: statement.repeat,
            time_left,
        };
        let (request_id, decision) = self.balancer.pick(now, request);
        if owner.worker != self.me {
            self.remote_requests.insert(owner, request_id);
        } else if let Some(client) = self.client(owner.key) {
            client.asked = true;
            client.in_flight = Some(InFlight::Here(request_id));
        }
        let id = statement.id.clone();
        self.requests.insert(request_id, &id, owner, statement, until);
        self.set_timer(time_left, Timer::GiveUp(request_id));
        // What fell due before the verdict comes first: connections to be closed before it is sent.
        while self.process_output() {}
        self.apply(request_id, decision);
    }

    /// The class of a statement that can be routed here.
    fn route(&self, statement: Statement) -> Result<(ClassId, Statement), String> {
        let class = self.classes.id(self.now, &statement.class).ok_or("unknown class")?;
        if !self.balancer.has_group(GroupId(statement.cluster)) {
            return Err("unknown group".into());
        }
        let lacks_key = self.balancer.is_keyed_class(class) && !statement.keyed;
        if self.balancer.is_write_class(class) != statement.writes || lacks_key {
            return Err("the statement does not fit its class".into());
        }
        if self.requests.has_client_id(&statement.id) {
            return Err("a request of this id is open".into());
        }
        Ok((class, statement))
    }
}
