//! One loop over all sockets. It carries out what the balancer decides and decides nothing itself.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixStream;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dunemount_rollout::version::Document;
use polling::{Event, PollMode, Poller};
use slab::Slab;
use slog::{error, info, o, Drain, Logger};
use socket2::{Domain, Protocol, Socket, Type};

mod admin;
mod clients;
mod flowing;
mod hosts;
mod requests;
mod slots;
mod succession;
mod timers;
mod trace;
mod watching;
mod workers;

use self::admin::Admin;
use self::clients::{ClientTable, Keys, Queue};
use self::slots::{is_readable, Key, Link, Slot, SHORTAGE_PAUSE};
use self::succession::Succession;
use self::timers::{Counts, Timer, Timers, ROUND};
use self::watching::Watching;
use self::workers::{Owner, WorkerMessage, Workers};
use super::clock::Clock;
use super::discovery::{Directory, Listing};
use super::pool::Pool;
use crate::admin::metrics::Metrics;
use crate::balancer::{Balancer, Output, RoutingDecision};
use crate::classes::Classes;
use crate::config::{ConfigResult, LoadedConfig};
use crate::fleet::rollout::version_channel::VersionReceiver;
use crate::fleet::status::Board;
use crate::hot_restart::handover_socket::HandoverState;
use crate::pg::codec;
use crate::pg::statement::Statement;
use crate::request::InFlightRequests;
use crate::settings::{SiteSettings, Zones};
use crate::shortage::{is_shortage, retry, START_PATIENCE};
use crate::{Micros, RequestId};

const LISTENER: usize = usize::MAX - 1;
const SIGNALS: usize = usize::MAX - 2;
const RELOAD: usize = usize::MAX - 3;
const ADMIN: usize = usize::MAX - 4;
const SUCCESSORS: usize = usize::MAX - 5;
const VERSIONS: usize = usize::MAX - 6;
/// From here on: the lines to other processes of this gateway.
const PEERS: usize = usize::MAX / 2;
/// Descriptors kept back: standard streams, poller, signals, listeners, discovery, callers, connections that are
/// shut, and some to spare.
const RESERVE: usize = 44;
/// And for each worker after the first: its poller.
const WORKER_RESERVE: usize = 4;
/// Part of the others that connections to hosts may take.
const HOST_PART: usize = 3;
/// Part of the memory that one message of a client may take: any number of clients may send all they
/// are let; and the longest such message, however much memory there is.
const MESSAGE_PART: usize = 256;
const MOST_MESSAGE: usize = 8 * 1024 * 1024;
/// Most connections that the system keeps for the listener.
const BACKLOG: i32 = 1024;
/// How long the loop goes on accepting after SIGTERM: the hand-over takes up to 0.4 s.
const HAND_OVER: Micros = Micros::millis(500);
/// How much longer the listener is kept where its queue cannot be emptied for a shortage.
const QUEUE_PATIENCE: Micros = Micros::millis(1_000);
/// After the word to end the process may be killed once the longest deadline, or this where that is longer, and 0.7 s are
/// over: all is answered a little before.
const LONGEST_COUNTED: Micros = Micros::millis(3_000);
const LAST_ANSWERS: Micros = Micros::millis(600);
/// The loop has slept if it waited for so long.
const SLEPT: Micros = Micros::millis(1);
/// Part of all descriptors that clients which have asked before may keep open. For requests, clients
/// hold a third of the descriptors among them: while they keep idle ones, new ones must find room.
const KNOWN_PART: usize = 4;

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
    pub site: SiteSettings,
    /// The zones that the settings name.
    pub zones: Zones,
    /// The configuration's text, for the process that follows.
    pub text: String,
    /// Where this process waits for the one that follows.
    pub handover_path: Option<PathBuf>,
    /// What the process before hands over.
    pub predecessor: Option<HandoverState>,
    /// Where the state of the fleet is put, if the gateway is in one.
    pub fleet: Option<Board>,
}

/// Takes a version of the configuration, or reads the file anew where there is none; with the zones that are known.
pub type Reread =
    Box<dyn FnMut(Option<&Document>, &mut Zones) -> ConfigResult<(String, LoadedConfig)> + Send>;

/// What comes from outside while the gateway runs.
pub struct Signals {
    /// Becomes readable when the gateway is to end.
    pub end: UnixStream,
    /// Becomes readable when the configuration is to be read anew.
    pub reload: UnixStream,
    /// Set at the same signals, in the same order. What wakes the loop is a write, which may fail; these are looked at in
    /// each sweep.
    pub told: [Arc<AtomicBool>; 2],
    /// Where versions of the configuration come from, if they do.
    pub versions: Option<VersionReceiver>,
    /// Reads the configuration anew: its text and what it brings, or why it cannot be used.
    pub reread: Reread,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    HandingOver,
    Closing,
}

/// The gateway: its sockets and what it owes. Each part that only its neighbours use is a value of its own.
pub struct Gateway {
    log: Logger,
    /// Which worker this is, and all of them. The first has the listener, discovery, the admin interface and the handover socket.
    me: usize,
    workers: Arc<Workers>,
    mailbox: VecDeque<WorkerMessage>,
    /// Requests that other workers' clients await from this one.
    remote_requests: BTreeMap<Owner, RequestId>,
    clock: Clock,
    /// The time of this turn.
    now: Micros,
    poller: Arc<Poller>,
    slots: Slab<Slot>,
    serial: u64,
    timers: Timers,
    /// Clients whose next query may be looked at.
    ready: VecDeque<Key>,
    scratch: Vec<u8>,
    pool: Pool<Key>,
    requests: InFlightRequests<Key, Statement, Owner>,
    balancer: Balancer,
    classes: Classes,
    connect_timeout: Micros,
    directory: Directory,
    figures: Metrics,
    counts: Counts,
    signals: Option<Signals>,
    /// The text of the configuration in force.
    config: String,
    clients: ClientTable,
    admin: Admin,
    line: Succession,
    watching: Watching,
    phase: Phase,
    /// While the process ends: when all is answered.
    answered_by: Option<Micros>,
}

impl Gateway {
    /// Opens the listener, with one worker.
    pub fn open(config: Config, signals: Signals, log: Logger) -> io::Result<Gateway> {
        let gateways = Gateway::open_all(config, signals, log, 1)?;
        gateways.into_iter().next().ok_or_else(|| io::ErrorKind::InvalidInput.into())
    }

    /// Opens the listener, with so many gateways. Each is to run on a thread of its own.
    pub fn open_all(config: Config, signals: Signals, log: Logger, count: usize) -> io::Result<Vec<Gateway>> {
        let until = Instant::now() + START_PATIENCE;
        // Whoever is told to end meanwhile waits for nothing.
        let passes = |error: &io::Error| is_shortage(error) && !is_readable(&signals.end);
        let poller = || retry(until, passes, Poller::new).map(Arc::new);
        let pollers: io::Result<Vec<_>> = (0..count).map(|_| poller()).collect();
        let pollers = pollers?;
        let listen = |address, shared| retry(until, passes, || listen(address, shared));
        let workers = Arc::new(Workers::of(&pollers));
        let (line, snapshot, listener, (clock, error)) = match config.predecessor {
            Some(HandoverState { socket, snapshot, listener, requested_at }) => {
                let clock = Clock::resume(snapshot.position_reference, snapshot.clock_reading, requested_at);
                (Some(socket), Some(snapshot), listener.into(), clock)
            }
            None => (None, None, listen(config.listen, true)?, (Clock::start(), Micros(0))),
        };
        let admin = config.admin.map(|address| listen(address, false)).transpose()?;
        let budget = config.sockets.saturating_sub(RESERVE + WORKER_RESERVE * (count - 1)).max(8 * count);
        let (hosts, memory) = (budget / HOST_PART, config.memory_mb.saturating_mul(1024 * 1024));
        let mut gateways: Vec<Gateway> = (0..count)
            .map(|me| {
                let site = config.site.clone();
                let watching = Watching::of(config.discovery, config.known.rev, &site.router, config.seed);
                let mut figures = Metrics::default();
                for class in &site.class_names {
                    figures.class_mut(class);
                }
                let named = site.class_names.into_iter().zip(site.router.classes.clone());
                let mut classes = Classes::default();
                classes.adopt(Micros(0), named.collect(), |_| false);
                Gateway {
                    me,
                    workers: workers.clone(),
                    mailbox: VecDeque::new(),
                    remote_requests: BTreeMap::new(),
                    now: clock.read(),
                    clock,
                    poller: pollers[me].clone(),
                    slots: Slab::new(),
                    serial: 0,
                    timers: Timers::default(),
                    ready: VecDeque::new(),
                    scratch: vec![0; 16 * 1024],
                    pool: Pool::new(hosts / count, site.router.connection_idle_timeout),
                    requests: InFlightRequests::default(),
                    balancer: Balancer::new(site.router, config.seed.wrapping_add(me as u64)),
                    classes,
                    connect_timeout: site.connect_timeout.max(Micros::millis(10)),
                    directory: Directory::new(config.zones.clone()),
                    figures,
                    counts: Counts::default(),
                    signals: None,
                    config: String::new(),
                    clients: ClientTable {
                        listener: None,
                        accepting: true,
                        open: 0,
                        most: budget - hosts,
                        most_known: (config.sockets / KNOWN_PART).clamp(2, budget - hosts),
                        longest_message: (memory / MESSAGE_PART).clamp(codec::MAX_MESSAGE, MOST_MESSAGE),
                        waiting: Vec::new(),
                        queue_empty_at: clock.read(),
                        queue_is_empty: false,
                        close_by: Micros(0),
                        lingering: 0,
                        keys: Keys::default(),
                    },
                    admin: Admin { listener: None, down: BTreeSet::new(), fleet: None },
                    line: Succession::default(),
                    watching,
                    phase: Phase::Serving,
                    answered_by: None,
                    log: log.new(o!("worker" => me)),
                }
            })
            .collect();
        let Some(first) = gateways.first_mut() else { return Err(io::ErrorKind::InvalidInput.into()) };
        if count == 1 {
            first.log = log;
        }
        let watch = |source: &dyn AsRawFd, key| {
            let add =
                || first.poller.add_with_mode(source.as_raw_fd(), Event::readable(key), PollMode::Level);
            retry(until, passes, add)
        };
        watch(&listener, LISTENER)?;
        let versions = signals.versions.as_ref().map(|receiver| (&receiver.pipe, VERSIONS));
        for (pipe, key) in [(&signals.end, SIGNALS), (&signals.reload, RELOAD)].into_iter().chain(versions) {
            pipe.set_nonblocking(true)?;
            watch(pipe, key)?;
        }
        if let Some(admin) = &admin {
            watch(admin, ADMIN)?;
        }
        (first.clients.listener, first.admin.listener, first.admin.fleet) =
            (Some(listener), admin, config.fleet);
        (first.signals, first.config, first.line.path) = (Some(signals), config.text, config.handover_path);
        match (line, snapshot) {
            (Some(line), Some(snapshot)) => {
                gateways.iter_mut().for_each(|worker| worker.take_part(&snapshot, error));
                gateways[0].take_lead(line, snapshot);
            }
            _ => {
                first.listed(config.known, true);
                first.restore_down();
            }
        }
        gateways[0].await_successors();
        gateways[0].call_discovery();
        for worker in &mut gateways {
            worker.set_timer(ROUND, Timer::Round);
        }
        Ok(gateways)
    }

    /// Where clients connect.
    pub fn address(&self) -> Option<SocketAddr> {
        self.clients.listener.as_ref()?.local_addr().ok()
    }

    /// Where operators call.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.listener.as_ref()?.local_addr().ok()
    }

    /// Serves until a signal ends it and all that was taken is answered.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        if self.log.is_debug_enabled() {
            self.balancer.enable_request_notices();
        }
        info!(self.log, "ready"; "clients" => self.clients.most, "hosts" => self.pool.most());
        while self.phase != Phase::Closing
            || self.clients.listener.is_some()
            || self.workers.clients() + self.clients.lingering > 0
            || self.is_telling()
        {
            if self.workers.is_lost() {
                return Err(io::Error::other("another worker has died"));
            }
            let next = self.timers.next().into_iter().chain(self.balancer.next_deadline()).min();
            let asleep = self.clock.read();
            let wait = next.map(|at| Duration::from_micros((at - asleep).0));
            let wait = if self.may_sleep() { wait } else { Some(Duration::ZERO) };
            events.clear();
            if let Err(e) = self.poller.wait(&mut events, wait) {
                if e.kind() != io::ErrorKind::Interrupted {
                    return Err(e);
                }
            }
            self.now = self.clock.read();
            let queued = events.iter().any(|event| event.key == LISTENER);
            self.look_at_queue(self.now - asleep >= SLEPT, queued);
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
            self.read_mailbox();
            // The module's own timers come first: a request that ends now gets its verdict, and only
            // what the module leaves over falls to the backstop.
            self.guard(SIGNALS, Gateway::settle);
            self.guard(SIGNALS, Gateway::fire_timers);
            self.guard(SIGNALS, Gateway::settle);
        }
        info!(self.log, "ended"; "owed" => self.requests.len());
        Ok(())
    }

    /// Serves with all workers, each on a thread of its own and the first on this one. One that ends before
    /// its time ends all: half of the families without anybody to decide for them is worse than a restart.
    pub fn run_all(gateways: Vec<Gateway>) -> io::Result<()> {
        std::thread::scope(|scope| {
            let mut gateways = gateways.into_iter();
            let first = gateways.next();
            let others: Vec<_> = gateways.map(|worker| scope.spawn(|| worker.work())).collect();
            let mut ended = first.map_or(Ok(()), Gateway::work);
            for other in others {
                let other = other.join().unwrap_or_else(|_| Err(io::Error::other("a worker panicked")));
                ended = ended.and(other);
            }
            ended
        })
    }

    /// Runs to its end; the others are told of one that comes too soon.
    fn work(mut self) -> io::Result<()> {
        let workers = self.workers.clone();
        let ended = catch_unwind(AssertUnwindSafe(|| self.run()))
            .unwrap_or_else(|_| Err(io::Error::other("a worker panicked")));
        if let Err(e) = &ended {
            error!(self.log, "worker ends"; "error" => %e);
            workers.lose();
        }
        ended
    }

    /// Runs a step; a panic ends the connection that it was for and nothing else. False if there was one.
    fn guard(&mut self, place: usize, step: impl FnOnce(&mut Self)) -> bool {
        if catch_unwind(AssertUnwindSafe(|| step(self))).is_ok() {
            return true;
        }
        error!(self.log, "panic caught"; "connection" => place);
        if let Some(key) = self.key_at(place) {
            let _ = catch_unwind(AssertUnwindSafe(|| self.lose(key)));
        }
        false
    }

    fn on_event(&mut self, event: Event) {
        match event.key {
            LISTENER => {
                self.accept();
            }
            ADMIN => self.accept_admin(),
            SUCCESSORS => self.on_successor(),
            SIGNALS => self.on_signal(),
            RELOAD => self.on_reload(),
            VERSIONS => self.on_version(),
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
            } else if !self.process_output() {
                return;
            }
        }
    }

    fn process_output(&mut self) -> bool {
        let Some(output) = self.balancer.poll_output(self.now) else { return false };
        match output {
            Output::Decision(request_id, decision) => self.apply(request_id, decision),
            Output::Cancel(request_id) => self.drop_attempt(request_id),
            Output::HealthCheck(member) => self.probe(member),
            Output::CloseIdle(member) => {
                for key in self.pool.idle_to(member) {
                    self.log_host_closed(key, "idle connections to it are distrusted");
                    self.close(key);
                }
            }
            Output::Notice(notice) => self.log_notice(notice),
        }
        true
    }

    fn on_signal(&mut self) {
        let mut bytes = [0; 16];
        let Some(signals) = &mut self.signals else { return };
        signals.told[0].store(false, Ordering::SeqCst);
        let _ = signals.end.read(&mut bytes);
        if self.phase == Phase::Serving {
            info!(self.log, "signal to end, handing over"; "owed" => self.requests.len());
            self.phase = Phase::HandingOver;
            let longest = self.balancer.longest_deadline().min(LONGEST_COUNTED);
            self.answer_by(self.now + longest + LAST_ANSWERS);
            // A process that follows has the listener: nobody has to be waited for.
            let wait = if self.line.successor.is_some() { Micros(0) } else { HAND_OVER };
            self.clients.close_by = self.now + wait + QUEUE_PATIENCE;
            self.set_timer(wait, Timer::HandedOver);
        }
    }

    /// Looks for signals that did not wake the loop.
    fn look_for_signals(&mut self) {
        let Some(signals) = &self.signals else { return };
        let [end, reload] = [0, 1].map(|signal: usize| signals.told[signal].load(Ordering::SeqCst));
        if reload {
            self.on_reload();
        }
        if end {
            self.on_signal();
        }
    }

    /// Nothing that is taken is answered later than this.
    fn answer_by(&mut self, by: Micros) {
        self.answered_by = Some(by);
        self.set_timer(by - self.now, Timer::LastAnswers);
    }

    /// The process may be killed soon: whoever still waits is told so now.
    fn give_last_answers(&mut self) {
        let waiting: Vec<RequestId> = self.requests.waiting().collect();
        for request_id in waiting {
            self.balancer.handle_client_gone(self.now, request_id);
            self.apply(request_id, RoutingDecision::Fail);
        }
    }

    /// Accepts to the end of the queue; not of those that come meanwhile, without end.
    fn empty_queue(&mut self) -> Queue {
        let turns = (BACKLOG as usize).div_ceil(clients::ACCEPTS) + 1;
        let left = (0..turns).map(|_| self.accept()).find(|left| *left != Queue::More);
        left.unwrap_or(Queue::More)
    }

    /// The hand-over is done: takes what has arrived, then closes the listener and idle clients.
    fn close_listener(&mut self) {
        let empties = self.line.successor.is_none() && self.me == 0 && self.clients.listener.is_some();
        let left = if empties { self.empty_queue() } else { Queue::Empty };
        // Nobody is left in the queue for a shortage, or as long as those who go make room.
        if left == Queue::HeldUp && self.now < self.clients.close_by {
            self.set_timer(SHORTAGE_PAUSE, Timer::HandedOver);
        } else if let Some(listener) = self.clients.listener.take() {
            let _ = self.poller.delete(&listener);
            info!(self.log, "listener closed"; "owed" => self.requests.len(), "clients" => self.clients.open);
        }
        if self.phase == Phase::Closing {
            return;
        }
        self.phase = Phase::Closing;
        if self.me == 0 {
            let by = self.answered_by.unwrap_or(self.now);
            self.workers.deliver_others(0, || WorkerMessage::Close(by));
        }
        let keys: Vec<Key> = self.slots.iter().map(|(place, s)| Key { place, serial: s.serial }).collect();
        for key in keys {
            if self.client(key).is_some() {
                self.read(key);
                self.ready.push_back(key);
            }
        }
    }
}

/// Listens; a shared address may be listened on by the process that follows as well.
fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    rustix::net::sockopt::set_socket_reuseport(&socket, shared)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
