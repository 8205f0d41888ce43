//! One loop over all sockets. It carries out what the balancer decides and decides nothing itself.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::time::Duration;

use polling::{Event, PollMode, Poller};
use slab::Slab;
use slog::{debug, error, info, warn, Logger};
use socket2::{Domain, Protocol, Socket, Type};

mod door;
mod flowing;
mod guests;
mod succession;
mod watching;

use self::door::CallerLink;
use self::succession::Peer;
use super::clock::Clock;
use super::discovery::{Directory, Listing, Watch};
use super::pool::Pool;
use crate::balancer::{Balancer, Due, Ended, Said, Ticket, Verdict};
use crate::classes::Classes;
use crate::config::Taken;
use crate::fault::Fault;
use crate::ops::figures::Figures;
use crate::pg::client::Client;
use crate::pg::codec::{self, Outbox};
use crate::pg::host::{self, Answer, Host, Turn};
use crate::pg::statement::Statement;
use crate::request::{Broken, Cause, Ledger, Reach};
use crate::settings::{Site, Zones};
use crate::upgrade::line::Inheritance;
use crate::{GroupId, MemberId, Micros, Role};

const LISTENER: usize = usize::MAX - 1;
const SIGNALS: usize = usize::MAX - 2;
const RELOAD: usize = usize::MAX - 3;
const DOOR: usize = usize::MAX - 4;
const HEIRS: usize = usize::MAX - 5;
/// From here on: the lines to other processes of this gateway.
const PEERS: usize = usize::MAX / 2;
/// Descriptors kept back: standard streams, poller, signals, listeners, discovery, callers, and some to
/// spare.
const RESERVE: usize = 40;
/// Part of the others that connections to hosts may take.
const HOST_PART: usize = 3;
/// How long a probe may take.
const PROBE_TIMEOUT: Micros = Micros::millis(250);
/// Part of the memory that one message of a client may take: any number of clients may send all they
/// are let; and the longest such message, however much memory there is.
const MESSAGE_PART: usize = 256;
const MOST_MESSAGE: usize = 8 * 1024 * 1024;
/// An answer that has begun and brings nothing for so long does not end; one that flows is waited for
/// longer, since nobody else can give the rest.
const STALL: Micros = Micros::millis(250);
const FLOW_STALL: Micros = Micros::millis(10_000);
/// How far ahead of this clock a position may lie; further ahead it is spoilt.
const AHEAD: Micros = Micros::millis(1_000);
/// How long the loop goes on accepting after SIGTERM: the hand-over takes up to 0.4 s.
const HAND_OVER: Micros = Micros::millis(500);
/// Part of all descriptors that clients which have asked before may keep open. For requests, clients
/// hold a third of the descriptors among them: while they keep idle ones, new ones must find room.
const KNOWN_PART: usize = 4;
/// Time between rounds over idle and late connections.
const ROUND: Micros = Micros::millis(250);
/// Rounds between two lines on the traffic.
const ROUNDS_A_LINE: u64 = 40;
/// Pause in accepting after the system had no descriptor left.
const ACCEPT_PAUSE: Micros = Micros::millis(20);
/// Most connections accepted, and most reads of one connection, in one turn.
const ACCEPTS: usize = 16;
const READS: usize = 4;

/// What a gateway is told at its start.
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if they may.
    pub admin: Option<SocketAddr>,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Most file descriptors.
    pub sockets: usize,
    /// Most memory, in MiB.
    pub memory_mb: usize,
    /// The hosts as last known.
    pub known: Listing,
    /// The settings.
    pub site: Site,
    /// The zones that the settings name.
    pub zones: Zones,
    /// The configuration's text, for the process that follows.
    pub text: String,
    /// Where this process waits for the one that follows.
    pub line: Option<PathBuf>,
    /// What the process before hands over.
    pub inherited: Option<Inheritance>,
}

/// Reads the configuration anew, with the zones that are known.
pub type Reread = Box<dyn FnMut(&mut Zones) -> Result<(String, Taken), Fault> + Send>;

/// What comes from outside while the gateway runs.
pub struct Signals {
    /// Becomes readable when the gateway is to end.
    pub end: UnixStream,
    /// Becomes readable when the configuration is to be read anew.
    pub reload: UnixStream,
    /// Reads the configuration anew: its text and what it brings, or why it cannot be used.
    pub reread: Reread,
}

/// A connection's place and a number that tells it from others that had the place before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Key {
    place: usize,
    serial: u64,
}

struct Slot {
    serial: u64,
    socket: TcpStream,
    interest: (bool, bool),
    link: Link,
}

enum Link {
    Client(ClientLink),
    Host(HostLink),
    Discovery(Outbox),
    Caller(CallerLink),
}

struct ClientLink {
    protocol: Client,
    ticket: Option<Ticket>,
    /// When it connected.
    since: Micros,
    /// When bytes last came or went.
    used: Micros,
    /// Since when a message of it has been half there.
    half: Option<Micros>,
    /// It has asked something that could be routed.
    asked: bool,
    closing: bool,
}

struct HostLink {
    protocol: Host,
    member: MemberId,
    welcome: bool,
    /// The attempt on it is counted among those written whole.
    counted: bool,
    /// Not read, since the client that its answer flows to has enough unread.
    held: bool,
    /// When bytes last came.
    heard: Micros,
    task: Task,
}

/// What a connection to a host is for at present.
#[derive(Clone, Copy, PartialEq)]
enum Task {
    None,
    Attempt(Ticket),
    Probe,
}

#[derive(Clone, Copy)]
enum Timer {
    /// The connection to a host must be up.
    Connect(Key),
    /// The attempt's time is over.
    Attempt(Ticket, Key),
    /// The client gives up: if it is still owed its answer, it gets it now.
    GiveUp(Ticket),
    /// The probe's time is over.
    Probe(Key),
    /// Discovery should have answered.
    Call(Key),
    /// Discovery is called anew.
    Discovery,
    /// Accepting goes on.
    Accept,
    /// The round over idle connections.
    Round,
    /// After SIGTERM: the hand-over is done.
    HandedOver,
}

#[derive(Default)]
struct Counts {
    taken: u64,
    served: u64,
    refused: u64,
    failed: u64,
    left: u64,
    attempts: u64,
    broken: u64,
    connects: u64,
    probes: u64,
    spoilt: u64,
}

/// A final answer.
enum Final<'a> {
    Served(&'a [u8]),
    Refused(Option<Micros>),
    Failed,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    HandingOver,
    Closing,
}

/// The gateway: its sockets and what it owes.
pub struct Gateway {
    log: Logger,
    clock: Clock,
    now: Micros,
    poller: Poller,
    listener: Option<TcpListener>,
    /// The operators' listener.
    door: Option<TcpListener>,
    figures: Figures,
    config: String,
    line_path: Option<PathBuf>,
    /// Names of the hosts that operators have put down.
    down: BTreeSet<String>,
    /// Where the process that follows calls.
    heirs: Option<OwnedFd>,
    /// Other processes of this gateway, and the one among them that takes the clients.
    peers: Slab<Peer>,
    heir: Option<usize>,
    accepting: bool,
    signals: Signals,
    slots: Slab<Slot>,
    serial: u64,
    longest_message: usize,
    clients: usize,
    most_clients: usize,
    /// Most clients that are kept open though they have asked before.
    most_known: usize,
    pool: Pool<Key>,
    ledger: Ledger<Key, Statement>,
    balancer: Balancer,
    classes: Classes,
    connect_timeout: Micros,
    directory: Directory,
    discovery: SocketAddr,
    watch: Watch,
    /// The call to discovery that is out.
    calling: Option<Key>,
    discovery_fails: u64,
    timers: BTreeMap<(Micros, u64), Timer>,
    timer_serial: u64,
    /// Clients whose next query may be looked at.
    ready: VecDeque<Key>,
    scratch: Vec<u8>,
    counts: Counts,
    rounds: u64,
    phase: Phase,
}

impl Gateway {
    /// Opens the listener.
    pub fn open(config: Config, signals: Signals, log: Logger) -> io::Result<Gateway> {
        let poller = Poller::new()?;
        let (line, estate, listener) = match config.inherited {
            Some(left) => (Some(left.line), Some(left.estate), left.listener.into()),
            None => (None, None, listen(config.listen, true)?),
        };
        poller.add_with_mode(&listener, Event::readable(LISTENER), PollMode::Level)?;
        for (pipe, key) in [(&signals.end, SIGNALS), (&signals.reload, RELOAD)] {
            pipe.set_nonblocking(true)?;
            poller.add_with_mode(pipe, Event::readable(key), PollMode::Level)?;
        }
        let door = config.admin.map(|address| listen(address, false)).transpose()?;
        if let Some(door) = &door {
            poller.add_with_mode(door, Event::readable(DOOR), PollMode::Level)?;
        }
        let mut figures = Figures::default();
        for class in &config.site.classes {
            figures.class(class);
        }
        let named = config.site.classes.into_iter().zip(config.site.settings.classes.clone());
        let mut classes = Classes::default();
        classes.adopt(Micros(0), named.collect(), |_| false);
        let clock = estate.as_ref().map_or_else(Clock::start, |estate| Clock::resume(estate.clock));
        let budget = config.sockets.saturating_sub(RESERVE).max(8);
        let hosts = budget / HOST_PART;
        let memory = config.memory_mb.saturating_mul(1024 * 1024);
        let idle_limit = config.site.settings.connection_idle;
        let mut gateway = Gateway {
            now: clock.read(),
            clock,
            poller,
            listener: Some(listener),
            door,
            figures,
            config: config.text,
            line_path: config.line,
            down: BTreeSet::new(),
            heirs: None,
            peers: Slab::new(),
            heir: None,
            accepting: true,
            signals,
            slots: Slab::new(),
            serial: 0,
            longest_message: (memory / MESSAGE_PART).clamp(codec::MAX_MESSAGE, MOST_MESSAGE),
            clients: 0,
            most_clients: budget - hosts,
            most_known: (config.sockets / KNOWN_PART).clamp(2, budget - hosts),
            pool: Pool::new(hosts, idle_limit),
            ledger: Ledger::default(),
            balancer: Balancer::new(config.site.settings, config.seed),
            classes,
            connect_timeout: config.site.connect_timeout.max(Micros::millis(10)),
            directory: Directory::new(config.zones),
            discovery: config.discovery,
            watch: Watch::from(Some(config.known.rev)),
            calling: None,
            discovery_fails: 0,
            timers: BTreeMap::new(),
            timer_serial: 0,
            ready: VecDeque::new(),
            scratch: vec![0; 16 * 1024],
            counts: Counts::default(),
            rounds: 0,
            phase: Phase::Serving,
            log,
        };
        match (line, estate) {
            (Some(line), Some(estate)) => gateway.take_estate(line, estate),
            _ => {
                gateway.listed(config.known, true);
                gateway.recall_bans();
            }
        }
        gateway.await_heirs();
        gateway.call_discovery();
        gateway.set_timer(ROUND, Timer::Round);
        Ok(gateway)
    }

    /// Where clients connect.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// Where operators call.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.door.as_ref()?.local_addr().ok()
    }

    /// Serves until a signal ends it and all that was taken is answered.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        info!(self.log, "ready"; "clients" => self.most_clients, "hosts" => self.pool.most());
        while self.phase != Phase::Closing || self.clients > 0 || self.is_telling() {
            let next = self.timers.keys().next().map(|(at, _)| *at);
            let next = next.into_iter().chain(self.balancer.next_due()).min();
            let wait = next.map(|at| Duration::from_micros((at - self.clock.read()).0));
            events.clear();
            if let Err(e) = self.poller.wait(&mut events, wait) {
                if e.kind() != io::ErrorKind::Interrupted {
                    return Err(e);
                }
            }
            self.now = self.clock.read();
            // What hosts and discovery tell goes to the module before the next request is decided.
            let turn = std::mem::take(&mut events);
            let (clients, others): (Vec<_>, Vec<_>) = turn.into_iter().partition(|event| {
                let slot = self.slots.get(event.key);
                event.key == LISTENER || slot.is_some_and(|s| matches!(s.link, Link::Client(_)))
            });
            for event in others.into_iter().chain(clients) {
                self.guard(event.key, |gateway| gateway.on_event(event));
            }
            // What the other process has told counts before any of the bytes just read is acted upon.
            self.guard(SIGNALS, Gateway::hear_peers);
            // The module's own timers come first: a request that ends now gets its verdict, and only
            // what the module leaves over falls to the backstop.
            self.guard(SIGNALS, Gateway::settle);
            self.guard(SIGNALS, Gateway::fire_timers);
            self.guard(SIGNALS, Gateway::settle);
        }
        info!(self.log, "ended"; "owed" => self.ledger.len());
        Ok(())
    }

    /// Runs a step; a panic ends the connection that it was for and nothing else.
    fn guard(&mut self, place: usize, step: impl FnOnce(&mut Self)) {
        if catch_unwind(AssertUnwindSafe(|| step(self))).is_ok() {
            return;
        }
        error!(self.log, "panic caught"; "connection" => place);
        if let Some(key) = self.key_at(place) {
            let _ = catch_unwind(AssertUnwindSafe(|| self.lose(key)));
        }
    }

    fn on_event(&mut self, event: Event) {
        match event.key {
            LISTENER => self.accept(),
            DOOR => self.answer_door(),
            HEIRS => self.on_heir(),
            SIGNALS => self.on_signal(),
            RELOAD => self.on_reload(),
            place if place >= PEERS => self.push_on(place - PEERS),
            place => {
                let Some(key) = self.key_at(place) else { return };
                if event.writable {
                    self.write(key);
                }
                if event.readable {
                    self.read(key);
                }
            }
        }
    }

    /// Carries out what has fallen due until nothing is left for this turn.
    fn settle(&mut self) {
        for _ in 0..100_000 {
            if let Some(key) = self.ready.pop_front() {
                self.pump(key);
            } else if !self.do_due() {
                return;
            }
        }
    }

    fn do_due(&mut self) -> bool {
        let Some(due) = self.balancer.tick(self.now) else { return false };
        match due {
            Due::Verdict(ticket, verdict) => self.apply(ticket, verdict),
            Due::Cancel(ticket) => self.drop_attempt(ticket),
            Due::Probe(member) => self.probe(member),
            Due::CloseIdle(member) => {
                for key in self.pool.idle_to(member) {
                    self.close(key);
                }
            }
            Due::Note(text) => info!(self.log, "module: {}", text),
        }
        true
    }

    // ---- Slots ----

    fn key_at(&self, place: usize) -> Option<Key> {
        self.slots.get(place).map(|slot| Key { place, serial: slot.serial })
    }

    fn slot(&mut self, key: Key) -> Option<&mut Slot> {
        self.slots.get_mut(key.place).filter(|slot| slot.serial == key.serial)
    }

    fn client(&mut self, key: Key) -> Option<&mut ClientLink> {
        match &mut self.slot(key)?.link {
            Link::Client(client) => Some(client),
            _ => None,
        }
    }

    fn host(&mut self, key: Key) -> Option<&mut HostLink> {
        match &mut self.slot(key)?.link {
            Link::Host(host) => Some(host),
            _ => None,
        }
    }

    fn insert(&mut self, socket: TcpStream, link: Link, writable: bool) -> io::Result<Key> {
        self.serial += 1;
        let key = Key { place: self.slots.vacant_key(), serial: self.serial };
        let interest = Event { key: key.place, readable: true, writable };
        self.poller.add_with_mode(&socket, interest, PollMode::Level)?;
        match link {
            Link::Client(_) => self.clients += 1,
            Link::Host(_) => self.pool.opened(),
            Link::Discovery(_) | Link::Caller(_) => {}
        }
        self.slots.insert(Slot { serial: key.serial, socket, interest: (true, writable), link });
        Ok(key)
    }

    fn close(&mut self, key: Key) {
        drop(self.remove(key));
    }

    /// Takes a connection out of the loop.
    fn remove(&mut self, key: Key) -> Option<Slot> {
        self.slot(key)?;
        let slot = self.slots.remove(key.place);
        let _ = self.poller.delete(&slot.socket);
        match &slot.link {
            Link::Client(_) => self.clients -= 1,
            Link::Host(host) => self.pool.closed(host.member, key),
            Link::Discovery(_) | Link::Caller(_) => {}
        }
        if !self.accepting {
            self.set_accepting(true);
        }
        Some(slot)
    }

    /// Asks the poller for what the connection needs now.
    fn arm(&mut self, key: Key) {
        let Some(slot) = self.slot(key) else { return };
        let wants = match &slot.link {
            Link::Client(client) => (client.protocol.wants_more(), !client.protocol.out.is_empty()),
            Link::Host(host) => (!host.held, !host.protocol.out.is_empty()),
            Link::Discovery(out) => (true, !out.is_empty()),
            Link::Caller(caller) => (true, !caller.call.out.is_empty()),
        };
        if wants == slot.interest {
            return;
        }
        slot.interest = wants;
        let interest = Event { key: key.place, readable: wants.0, writable: wants.1 };
        let slot = &self.slots[key.place];
        if self.poller.modify_with_mode(&slot.socket, interest, PollMode::Level).is_err() {
            self.lose(key);
        }
    }

    /// Writes what waits to be written.
    fn write(&mut self, key: Key) {
        let now = self.now;
        let Some(slot) = self.slot(key) else { return };
        let out = match &mut slot.link {
            Link::Client(client) => &mut client.protocol.out,
            Link::Host(host) => &mut host.protocol.out,
            Link::Discovery(out) => out,
            Link::Caller(caller) => &mut caller.call.out,
        };
        let before = out.len();
        let flushed = out.flush(&mut slot.socket);
        if let (Link::Client(client), true) = (&mut slot.link, before > 0) {
            let left = client.protocol.out.len();
            client.used = if left < before { now } else { client.used };
            if let Some(ticket) = client.ticket.filter(|_| left < flowing::UNREAD) {
                self.let_flow(ticket);
            }
        }
        let Some(slot) = self.slot(key) else { return };
        match flushed {
            Ok(true) => {
                match &slot.link {
                    Link::Client(ClientLink { closing: true, .. }) => return self.close(key),
                    Link::Caller(caller) if caller.call.is_answered() => self.caller_served(key),
                    Link::Host(_) => self.count_try(key),
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

    fn read(&mut self, key: Key) {
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
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.take_in(key, &[], true);
                    break;
                }
            }
        }
        self.scratch = scratch;
        self.arm(key);
    }

    /// Takes in bytes or the end of a connection.
    fn take_in(&mut self, key: Key, bytes: &[u8], ended: bool) {
        let now = self.now;
        let Some(slot) = self.slot(key) else { return };
        match &mut slot.link {
            Link::Client(client) if !ended => {
                client.used = now;
                client.protocol.receive(bytes);
                self.ready.push_back(key);
            }
            Link::Host(host) if !ended => {
                host.heard = now;
                host.protocol.receive(bytes);
                while let Some(turn) = self.host(key).and_then(|host| host.protocol.turn()) {
                    self.host_turn(key, turn);
                }
                self.flow(key);
            }
            Link::Discovery(_) => self.discovery_says(key, bytes, ended),
            Link::Caller(_) => self.caller_says(key, bytes, ended),
            _ => self.lose(key),
        }
    }

    /// A connection has ended or is of no use any more.
    fn lose(&mut self, key: Key) {
        let Some(slot) = self.slot(key) else { return };
        match &mut slot.link {
            Link::Client(client) => {
                let ticket = client.ticket.take();
                if let Some(ticket) = ticket {
                    self.counts.left += 1;
                    self.drop_attempt(ticket);
                    self.ledger.finish(ticket);
                    self.balancer.gone(self.now, ticket);
                }
                self.close(key);
            }
            Link::Host(_) => self.host_lost(key, Cause::Lost),
            Link::Discovery(_) => self.discovery_failed(key, "connection broke"),
            Link::Caller(_) => self.close(key),
        }
    }

    // ---- Answers ----

    /// Gives the final answer, and counts it.
    fn finish(&mut self, ticket: Ticket, answer: Final) {
        self.drop_attempt(ticket);
        let Some(life) = self.ledger.finish(ticket) else { return };
        let now = self.now;
        let tally = self.figures.class(&life.work.class);
        match answer {
            Final::Served(_) => tally.ok += 1,
            Final::Refused(_) => tally.shed += 1,
            Final::Failed => tally.errors += 1,
        }
        if let Some(client) = self.client(life.owner) {
            client.ticket = None;
            client.used = now;
            match answer {
                Final::Served(rows) => client.protocol.serve(rows),
                Final::Refused(come_back) => client.protocol.refuse(come_back),
                Final::Failed => client.protocol.fail("58000", "no answer in time, it may have run"),
            }
            self.write(life.owner);
            self.ready.push_back(life.owner);
            self.spare_clients();
            if !self.accepting {
                self.set_accepting(true);
            }
        }
    }

    // ---- Attempts ----

    fn apply(&mut self, ticket: Ticket, verdict: Verdict) {
        match verdict {
            Verdict::Held => {}
            Verdict::Send { member, timeout } => self.send(ticket, member, timeout),
            Verdict::Refuse { come_back } => {
                self.counts.refused += 1;
                self.finish(ticket, Final::Refused(come_back));
            }
            Verdict::Fail => {
                self.counts.failed += 1;
                self.finish(ticket, Final::Failed);
            }
        }
    }

    fn send(&mut self, ticket: Ticket, member: MemberId, timeout: Micros) {
        if self.ledger.get(ticket).is_none_or(|life| life.attempt().is_some()) {
            return;
        }
        let key = match self.take_idle(member) {
            Some(key) => key,
            None => match self.connect(member) {
                Ok(key) => key,
                Err(cause) => {
                    self.broke(ticket, member, Broken { reach: Reach::NotConnected, cause });
                    return;
                }
            },
        };
        if !self.ledger.begin(ticket, key) {
            return;
        }
        self.set_timer(timeout, Timer::Attempt(ticket, key));
        if let Some(host) = self.host(key) {
            host.task = Task::Attempt(ticket);
        }
        self.start_task(key);
    }

    /// Writes the task's request, if the connection is up and the choice still holds.
    fn start_task(&mut self, key: Key) {
        let now = self.now;
        let Some(host) = self.host(key).filter(|host| host.welcome) else { return };
        let (member, task) = (host.member, host.task);
        let text = match task {
            Task::None => {
                self.pool.put(now, member, key);
                return;
            }
            Task::Probe if !self.balancer.admits(member) => {
                self.free(key);
                let broken = Broken { reach: Reach::NotConnected, cause: Cause::NotTried };
                return self.balancer.probed(now, member, Ended::Broken(broken));
            }
            Task::Probe => "SHOW gauges".to_string(),
            Task::Attempt(ticket) => {
                let holds = self.balancer.still_holds(now, ticket);
                let Some(life) = self.ledger.get(ticket) else { return };
                let text = life.work.with_wait(life.until - now);
                if !holds {
                    self.free(key);
                    self.ledger.end(ticket);
                    let broken = Broken { reach: Reach::NotConnected, cause: Cause::NotTried };
                    self.broke(ticket, member, broken);
                    return;
                }
                self.counts.attempts += 1;
                text
            }
        };
        if self.host(key).is_some_and(|host| host.protocol.ask(&text)) {
            self.write(key);
        } else {
            self.lose(key);
        }
    }

    /// Counts the attempt on a connection once its last byte is written.
    fn count_try(&mut self, key: Key) {
        let Some(host) = self.host(key) else { return };
        let Task::Attempt(ticket) = host.task else { return };
        if host.protocol.reach() == Reach::WhollyWritten && !std::mem::replace(&mut host.counted, true) {
            if let Some(life) = self.ledger.get(ticket) {
                self.figures.class(&life.work.class).tries += 1;
            }
        }
    }

    /// Puts a welcomed connection that carries nothing back into the pool.
    fn free(&mut self, key: Key) {
        let now = self.now;
        let Some(host) = self.host(key) else { return };
        host.task = Task::None;
        host.counted = false;
        let (member, idle, welcome) = (host.member, host.protocol.is_idle(), host.welcome);
        if idle {
            self.pool.put(now, member, key);
        } else if welcome {
            self.close(key);
        }
    }

    /// Takes a request's attempt off the wire. What has been written ends with its connection; one
    /// that is still coming up has carried nothing and may serve another request.
    fn drop_attempt(&mut self, ticket: Ticket) {
        let Some(key) = self.ledger.end(ticket) else { return };
        self.free(key);
    }

    /// An attempt has ended without an answer.
    fn broke(&mut self, ticket: Ticket, member: MemberId, broken: Broken) {
        self.counts.broken += 1;
        debug!(self.log, "attempt broke"; "host" => self.directory.name(member),
            "reach" => ?broken.reach, "cause" => ?broken.cause);
        let verdict = self.balancer.report(self.now, ticket, Ended::Broken(broken));
        while self.do_due() {}
        if self.ledger.get(ticket).is_some_and(|life| life.flows()) {
            return self.cut_off(ticket);
        }
        self.apply(ticket, verdict);
    }

    fn answered(&mut self, ticket: Ticket, answer: Answer) {
        self.ledger.end(ticket);
        let (role, position) = self.believed(answer.role, answer.position);
        let ended = Ended::Answer { said: answer.said, role, position };
        let verdict = self.balancer.report(self.now, ticket, ended);
        if answer.said == Said::Served {
            self.counts.served += 1;
            let work = self.ledger.get(ticket).map(|life| &life.work).filter(|work| work.writes);
            let told = work.map(|work| (GroupId(work.cluster), work.session));
            if let (Some((group, session)), Some(commit), false) = (told, position, self.peers.is_empty()) {
                self.share_commit(group, session, commit);
            }
            self.finish(ticket, Final::Served(&answer.rows));
        } else {
            while self.do_due() {}
            match self.ledger.get(ticket).is_some_and(|life| life.flows()) {
                true => self.cut_off(ticket),
                false => self.apply(ticket, verdict),
            }
        }
    }

    // ---- Hosts ----

    fn connect(&mut self, member: MemberId) -> Result<Key, Cause> {
        let address = self.directory.address(member).ok_or(Cause::NotTried)?;
        if !self.pool.has_room() {
            match self.pool.oldest() {
                Some(idle) => self.close(idle),
                None => {
                    warn!(self.log, "no descriptors left for hosts"; "open" => self.pool.len());
                    return Err(Cause::NotTried);
                }
            }
        }
        self.counts.connects += 1;
        let shortage = |e: &io::Error| matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE));
        let socket = dial(address).map_err(|e| if shortage(&e) { Cause::NotTried } else { Cause::Lost })?;
        let link = HostLink {
            protocol: Host::default(),
            member,
            welcome: false,
            counted: false,
            held: false,
            heard: self.now,
            task: Task::None,
        };
        let key = self.insert(socket, Link::Host(link), true).map_err(|_| Cause::NotTried)?;
        self.set_timer(self.connect_timeout, Timer::Connect(key));
        Ok(key)
    }

    /// An idle connection to the member on which nothing has come. What lies unread there is no answer
    /// to the next request, and must not be taken for it.
    fn take_idle(&mut self, member: MemberId) -> Option<Key> {
        while let Some(key) = self.pool.take(self.now, member) {
            let quiet = |slot: &mut Slot| slot.socket.peek(&mut [0]).err().map(|e| e.kind());
            if self.slot(key).and_then(quiet) == Some(io::ErrorKind::WouldBlock) {
                return Some(key);
            }
            self.close(key);
        }
        None
    }

    fn host_turn(&mut self, key: Key, turn: Turn) {
        let Some(host) = self.host(key) else { return };
        let (member, task) = (host.member, host.task);
        match turn {
            Turn::Welcome => {
                host.welcome = true;
                self.start_task(key);
            }
            Turn::Unwelcome(code) => {
                host.task = Task::None;
                self.close(key);
                debug!(self.log, "host turned a connection away"; "host" => self.directory.name(member),
                    "code" => &code);
                let turned_away = matches!(code.as_str(), "53300" | "57P03");
                let said = Answer {
                    said: if turned_away { Said::TurnedAway } else { Said::Error },
                    rows: Vec::new(),
                    value: None,
                    role: None,
                    position: None,
                };
                match task {
                    Task::Attempt(ticket) if turned_away => self.answered(ticket, said),
                    Task::Attempt(ticket) => {
                        self.ledger.end(ticket);
                        self.broke(ticket, member, Broken { reach: Reach::NotConnected, cause: Cause::Lost });
                    }
                    Task::Probe => self.probed(member, said),
                    Task::None => {}
                }
            }
            Turn::Flows => match task {
                Task::Attempt(ticket) => self.begin_flow(ticket),
                // No report is that long.
                _ => self.host_lost(key, Cause::Spoilt),
            },
            Turn::Answered(answer) => {
                self.free(key);
                match task {
                    Task::Attempt(ticket) => self.answered(ticket, answer),
                    Task::Probe => self.probed(member, answer),
                    Task::None => {}
                }
            }
            Turn::Nonsense => {
                self.counts.spoilt += 1;
                // Once between two lines on the traffic: those of a bad day would crowd out all others.
                if self.counts.spoilt == 1 {
                    warn!(self.log, "host breaks the protocol"; "host" => self.directory.name(member));
                }
                self.host_lost(key, Cause::Spoilt);
            }
        }
    }

    /// A connection to a host has ended, or is given up for this cause.
    fn host_lost(&mut self, key: Key, cause: Cause) {
        let Some(host) = self.host(key) else { return };
        let (member, task) = (host.member, std::mem::replace(&mut host.task, Task::None));
        let reach = host.protocol.reach();
        let answer = host.protocol.ended();
        self.close(key);
        match (task, answer) {
            (Task::None, _) => {}
            (Task::Attempt(ticket), Some(answer)) => self.answered(ticket, answer),
            (Task::Attempt(ticket), None) => {
                self.ledger.end(ticket);
                self.broke(ticket, member, Broken { reach, cause });
            }
            (Task::Probe, Some(answer)) => self.probed(member, answer),
            (Task::Probe, None) => {
                self.balancer.probed(self.now, member, Ended::Broken(Broken { reach, cause }));
            }
        }
    }

    fn probe(&mut self, member: MemberId) {
        self.counts.probes += 1;
        let key = match self.take_idle(member) {
            Some(key) => Ok(key),
            None => self.connect(member),
        };
        match key {
            Ok(key) => {
                if let Some(host) = self.host(key) {
                    host.task = Task::Probe;
                }
                self.set_timer(PROBE_TIMEOUT, Timer::Probe(key));
                self.start_task(key);
            }
            Err(cause) => {
                let broken = Broken { reach: Reach::NotConnected, cause };
                self.balancer.probed(self.now, member, Ended::Broken(broken));
            }
        }
    }

    fn probed(&mut self, member: MemberId, answer: Answer) {
        let (role, position) = host::report(&answer.value.unwrap_or_default());
        let (role, position) = self.believed(role, position);
        self.balancer.probed(self.now, member, Ended::Answer { said: answer.said, role, position });
    }

    /// What a host says of itself, on this clock; nothing of it where its position cannot be.
    fn believed(&self, role: Option<Role>, position: Option<f64>) -> (Option<Role>, Option<Micros>) {
        let position = position.map(|ms| self.clock.at_unix_ms(ms));
        if position.is_some_and(|at| at > self.now + AHEAD) {
            return (None, None);
        }
        (role, position)
    }

    // ---- Timers and signals ----

    fn set_timer(&mut self, after: Micros, timer: Timer) {
        self.timer_serial += 1;
        self.timers.insert((self.now + after, self.timer_serial), timer);
    }

    fn fire_timers(&mut self) {
        while let Some(first) = self.timers.first_entry().filter(|first| first.key().0 <= self.now) {
            let timer = first.remove();
            self.fire(timer);
        }
    }

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Connect(key) => {
                if self.host(key).is_some_and(|host| !host.welcome) {
                    self.host_lost(key, Cause::Lost);
                }
            }
            Timer::Attempt(ticket, key) => {
                let life = self.ledger.get(ticket).filter(|life| !life.flows());
                if life.and_then(|life| life.attempt()) == Some(key) {
                    self.host_lost(key, Cause::TimedOut);
                }
            }
            Timer::GiveUp(ticket) => {
                if self.ledger.get(ticket).is_some_and(|life| !life.flows()) {
                    warn!(self.log, "request overdue");
                    self.balancer.gone(self.now, ticket);
                    self.apply(ticket, Verdict::Fail);
                }
            }
            Timer::Probe(key) => {
                if self.host(key).is_some_and(|host| host.task == Task::Probe) {
                    self.host_lost(key, Cause::TimedOut);
                }
            }
            Timer::Call(key) => {
                if self.slot(key).is_some() {
                    self.discovery_failed(key, "no answer");
                }
            }
            Timer::Discovery => self.call_discovery(),
            Timer::Accept => self.set_accepting(true),
            Timer::Round => self.round(),
            Timer::HandedOver => self.close_doors(),
        }
    }

    fn round(&mut self) {
        for key in self.pool.stale(self.now) {
            self.close(key);
        }
        let half = |(place, slot): (usize, &Slot)| match &slot.link {
            Link::Host(h) if h.protocol.is_half() && !h.held => {
                let stall = if h.protocol.flows() { FLOW_STALL } else { STALL };
                (self.now - h.heard >= stall).then_some(Key { place, serial: slot.serial })
            }
            _ => None,
        };
        let half: Vec<Key> = self.slots.iter().filter_map(half).collect();
        for key in half {
            self.host_lost(key, Cause::Spoilt);
        }
        self.see_out_guests();
        self.see_out_callers();
        self.ledger.forget_others(self.now);
        if self.heir.is_some() {
            self.pass_clients();
        }
        self.rounds += 1;
        if self.rounds % ROUNDS_A_LINE == 0 {
            let counts = std::mem::take(&mut self.counts);
            info!(self.log, "traffic"; "taken" => counts.taken, "served" => counts.served,
                "refused" => counts.refused, "failed" => counts.failed, "left" => counts.left,
                "attempts" => counts.attempts, "broken" => counts.broken, "connects" => counts.connects,
                "probes" => counts.probes, "spoilt" => counts.spoilt, "open" => self.ledger.len(), "clients" => self.clients,
                "hosts" => self.pool.len());
        }
        self.set_timer(ROUND, Timer::Round);
    }

    fn on_signal(&mut self) {
        let mut bytes = [0; 16];
        let _ = self.signals.end.read(&mut bytes);
        if self.phase == Phase::Serving {
            info!(self.log, "signal to end, handing over"; "owed" => self.ledger.len());
            self.phase = Phase::HandingOver;
            // A process that follows has the listener: nobody has to be waited for.
            let wait = if self.heir.is_some() { Micros(0) } else { HAND_OVER };
            self.set_timer(wait, Timer::HandedOver);
        }
    }

    /// The hand-over is done: takes what has arrived, then closes the listener and idle clients.
    fn close_doors(&mut self) {
        if self.heir.is_none() {
            self.accept();
        }
        if let Some(listener) = self.listener.take() {
            let _ = self.poller.delete(&listener);
        }
        self.phase = Phase::Closing;
        let keys: Vec<Key> = self.slots.iter().map(|(place, s)| Key { place, serial: s.serial }).collect();
        for key in keys {
            if self.client(key).is_some() {
                self.read(key);
                self.ready.push_back(key);
            }
        }
        info!(self.log, "listener closed"; "owed" => self.ledger.len(), "clients" => self.clients);
    }
}

/// Listens; a shared address may be listened on by the process that follows as well.
fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    rustix::net::sockopt::set_socket_reuseport(&socket, shared)?;
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Starts a connection without waiting for it.
fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(e) if e.raw_os_error() != Some(libc::EINPROGRESS) => Err(e),
        _ => Ok(socket.into()),
    }
}
