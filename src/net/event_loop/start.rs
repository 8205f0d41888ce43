//! Start of a gateway: opens its listeners, builds its workers, and restores the state of the previous process.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::time::Instant;

use polling::{Event, PollMode, Poller};
use slog::{o, Logger};

use super::abandoned_attempts::AbandonedAttempts;
use super::admin::AdminInterface;
use super::client_admission::{ClientAdmission, ClientLimits};
use super::config::{Config, Signals};
use super::connections::Connections;
use super::discovery_watch::DiscoveryWatch;
use super::mailboxes::Workers;
use super::peers::HotRestart;
use super::sockets::{is_readable, listen};
use super::sweep::SWEEP_INTERVAL;
use super::timers::{Timer, Timers};
use super::traffic_counts::TrafficCounts;
use super::{poll_keys, Gateway, Phase};
use crate::admin::metrics::Metrics;
use crate::balancer::Balancer;
use crate::classes::Classes;
use crate::hot_restart::handover_socket::{HandoverSocket, HandoverState};
use crate::hot_restart::message::GatewaySnapshot;
use crate::memory::MemoryBudget;
use crate::net::clock::Clock;
use crate::net::discovery::Directory;
use crate::net::pool::Pool;
use crate::pg::codec;
use crate::request::InFlightRequests;
use crate::settings::SiteSettings;
use crate::shortage::{is_shortage, retry, START_RETRY_TIMEOUT};
use crate::Micros;

/// Descriptors reserved for standard streams, poller, signals, listeners, discovery, operators, half-closed
/// connections, and some to spare.
const DESCRIPTOR_RESERVE: usize = 44;
/// Descriptors reserved for each worker after the first, for its poller.
const WORKER_RESERVE: usize = 4;
/// Smallest number of descriptors for each worker, whatever the limit is.
const MIN_WORKER_DESCRIPTORS: usize = 8;
/// Connections to hosts may use the unreserved descriptors divided by this number.
const HOST_DIVISOR: usize = 3;
/// Clients that have queried before may hold as many descriptors as all descriptors divided by this number; above that,
/// idle ones are closed. All clients together may hold two thirds of the unreserved descriptors, so that there is
/// capacity for new clients while others keep idle connections. Since hosts hold the other third, the clients with an
/// attempt in flight hold a third at most.
const KNOWN_CLIENT_DIVISOR: usize = 4;
/// A message of a client may be as long as the memory divided by this number, since many clients may send messages of
/// the greatest length at once; and at most `MAX_MESSAGE_BYTES` long, however much memory there is.
const MESSAGE_DIVISOR: usize = 256;
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
/// The buffers of all connections together may hold the memory divided by this number. The rest is for the state of
/// connections and decisions, for copies of one message at a time, and for what the allocator does not return; with
/// several workers, each thread's part of the allocator keeps its own.
const BUFFER_DIVISOR: usize = 3;
const BUFFER_DIVISOR_OF_SEVERAL_WORKERS: usize = 4;
const MIB: usize = 1024 * 1024;
/// Largest number of bytes that one read from a connection returns.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Shortest connect timeout, whatever the settings say.
const MIN_CONNECT_TIMEOUT: Micros = Micros::millis(10);

/// The state of the previous process, apart from its listener and its clock.
struct Predecessor {
    socket: HandoverSocket,
    snapshot: GatewaySnapshot,
    /// Upper bound of the difference between its clock and this process's.
    clock_error: Micros,
}

/// The limits of a worker.
#[derive(Clone, Copy)]
struct Limits {
    hosts: usize,
    clients: ClientLimits,
}

impl Limits {
    fn of(config: &Config, workers: usize) -> Self {
        let reserve = DESCRIPTOR_RESERVE + WORKER_RESERVE * (workers - 1);
        let budget = config.max_descriptors.saturating_sub(reserve).max(MIN_WORKER_DESCRIPTORS * workers);
        let hosts = budget / HOST_DIVISOR;
        let clients = budget - hosts;
        let memory = config.memory_mib.saturating_mul(MIB);
        let clients = ClientLimits {
            clients,
            known_clients: (config.max_descriptors / KNOWN_CLIENT_DIVISOR).clamp(2, clients),
            message: (memory / MESSAGE_DIVISOR).clamp(codec::MAX_MESSAGE, MAX_MESSAGE_BYTES),
        };
        Limits { hosts: hosts / workers, clients }
    }
}

/// Builds the workers of a gateway.
struct WorkerBuilder<'a> {
    config: &'a Config,
    limits: Limits,
    workers: Arc<Workers>,
    clock: Clock,
    log: &'a Logger,
}

impl Gateway {
    /// Opens a gateway with one worker.
    pub fn open(config: Config, signals: Signals, log: Logger) -> io::Result<Gateway> {
        let gateways = Gateway::open_all(config, signals, log, 1)?;
        gateways.into_iter().next().ok_or_else(|| io::ErrorKind::InvalidInput.into())
    }

    /// Opens a gateway with this number of workers. Each must run on its own thread.
    pub fn open_all(
        mut config: Config,
        signals: Signals,
        log: Logger,
        count: usize,
    ) -> io::Result<Vec<Gateway>> {
        let sources = Sources::open(&mut config, &signals, count)?;
        let builder = WorkerBuilder {
            limits: Limits::of(&config, count),
            config: &config,
            workers: Arc::new(Workers::new(&sources.pollers, memory_budget(&config, count))),
            clock: sources.clock,
            log: &log,
        };
        let pollers = sources.pollers.iter().enumerate();
        let mut gateways: Vec<Gateway> =
            pollers.map(|(worker, poller)| builder.build(worker, poller.clone())).collect();
        let Some(first) = gateways.first_mut() else { return Err(io::ErrorKind::InvalidInput.into()) };
        if count == 1 {
            first.log = log;
        }
        first.signals = Some(signals);
        first.admission.listener = Some(sources.listener);
        first.admin.listener = sources.admin;
        first.admin.fleet = config.fleet;
        first.config_text = config.text;
        first.hot_restart.path = config.handover_path;
        match sources.predecessor {
            Some(predecessor) => restore_all(&mut gateways, predecessor),
            None => {
                first.distribute_endpoints(config.endpoints, true);
                first.restore_down();
            }
        }
        start_all(&mut gateways);
        Ok(gateways)
    }
}

/// The event sources of the workers, and the clock and state that they start with.
struct Sources {
    /// One for each worker.
    pollers: Vec<Arc<Poller>>,
    listener: TcpListener,
    admin: Option<TcpListener>,
    clock: Clock,
    predecessor: Option<Predecessor>,
}

impl Sources {
    /// Opens the pollers and the listeners, or takes over the listener of the previous process. Calls that fail
    /// because of a shortage of this machine are retried until [`START_RETRY_TIMEOUT`] is over.
    fn open(config: &mut Config, signals: &Signals, workers: usize) -> io::Result<Self> {
        let until = Instant::now() + START_RETRY_TIMEOUT;
        // A shutdown signal ends the retries.
        let is_retryable = |error: &io::Error| is_shortage(error) && !is_readable(&signals.shutdown);
        let pollers: Vec<_> = (0..workers)
            .map(|_| retry(until, is_retryable, Poller::new).map(Arc::new))
            .collect::<io::Result<_>>()?;
        let listen = |address, shared| retry(until, is_retryable, || listen(address, shared));
        let (predecessor, listener, clock) = match config.predecessor.take() {
            Some(state) => take_over(state),
            None => (None, listen(config.listen, true)?, Clock::start()),
        };
        let admin = config.admin.map(|address| listen(address, false)).transpose()?;
        if let Some(first) = pollers.first() {
            let retried = |add: &mut dyn FnMut() -> io::Result<()>| retry(until, is_retryable, add);
            watch_sources(first, &listener, admin.as_ref(), signals, retried)?;
        }
        Ok(Sources { pollers, listener, admin, clock, predecessor })
    }
}

impl WorkerBuilder<'_> {
    /// Builds a worker without listeners.
    fn build(&self, worker: usize, poller: Arc<Poller>) -> Gateway {
        let WorkerBuilder { config, limits, clock, .. } = self;
        let (site, settings) = (&config.site, &config.site.router);
        let discovery = DiscoveryWatch::new(config.discovery, config.endpoints.rev, settings, config.seed);
        let now = clock.read();
        Gateway {
            log: self.log.new(o!("worker" => worker)),
            this_worker: worker,
            workers: self.workers.clone(),
            received_messages: VecDeque::new(),
            remote_requests: BTreeMap::new(),
            clock: *clock,
            now,
            connections: Connections::new(poller.clone()),
            poller,
            timers: Timers::default(),
            ready_clients: VecDeque::new(),
            deferred_clients: VecDeque::new(),
            iteration: 0,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            pool: Pool::new(limits.hosts, settings.connection_idle_timeout),
            abandoned: AbandonedAttempts::default(),
            waited_from: Micros(0),
            previous_wait_from: Micros(0),
            requests: InFlightRequests::default(),
            balancer: Balancer::new(settings.clone(), config.seed.wrapping_add(worker as u64)),
            classes: initial_classes(site),
            connect_timeout: connect_timeout(site),
            directory: Directory::new(config.zones.clone()),
            metrics: initial_metrics(site),
            counts: TrafficCounts::default(),
            signals: None,
            config_text: String::new(),
            admission: ClientAdmission::new(limits.clients, now),
            admin: AdminInterface::default(),
            hot_restart: HotRestart::default(),
            discovery,
            phase: Phase::Serving,
            has_paused_connections: false,
            final_answers_by: None,
        }
    }
}

/// The budget for all buffers.
fn memory_budget(config: &Config, workers: usize) -> Arc<MemoryBudget> {
    let divisor = if workers > 1 { BUFFER_DIVISOR_OF_SEVERAL_WORKERS } else { BUFFER_DIVISOR };
    MemoryBudget::new(config.memory_mib.saturating_mul(MIB) / divisor)
}

fn initial_classes(site: &SiteSettings) -> Classes {
    let named = site.class_names.iter().cloned().zip(site.router.classes.clone());
    let mut classes = Classes::default();
    classes.update(Micros(0), named.collect(), |_| false);
    classes
}

/// Metrics in which each class has an entry from the start, also without requests.
fn initial_metrics(site: &SiteSettings) -> Metrics {
    let mut metrics = Metrics::default();
    for class in &site.class_names {
        metrics.class_mut(class);
    }
    metrics
}

/// The time within which a host must accept a new session.
pub(super) fn connect_timeout(site: &SiteSettings) -> Micros {
    site.connect_timeout.max(MIN_CONNECT_TIMEOUT)
}

/// Takes over the listener of the previous process and continues its clock.
fn take_over(state: HandoverState) -> (Option<Predecessor>, TcpListener, Clock) {
    let HandoverState { socket, snapshot, listener, requested_at } = state;
    let (clock, clock_error) =
        Clock::resume(snapshot.position_reference, snapshot.clock_reading, requested_at);
    (Some(Predecessor { socket, snapshot, clock_error }), listener.into(), clock)
}

/// Has the first worker's poller watch the listeners and the signals.
fn watch_sources(
    poller: &Poller,
    listener: &TcpListener,
    admin: Option<&TcpListener>,
    signals: &Signals,
    retried: impl Fn(&mut dyn FnMut() -> io::Result<()>) -> io::Result<()>,
) -> io::Result<()> {
    let watch = |source: &dyn AsRawFd, key| {
        retried(&mut || poller.add_with_mode(source.as_raw_fd(), Event::readable(key), PollMode::Level))
    };
    watch(listener, poll_keys::LISTENER)?;
    let versions = signals.versions.as_ref().map(|inbox| (&inbox.pipe, poll_keys::VERSIONS));
    let pipes = [(&signals.shutdown, poll_keys::SHUTDOWN), (&signals.reload, poll_keys::RELOAD)];
    for (pipe, key) in pipes.into_iter().chain(versions) {
        pipe.set_nonblocking(true)?;
        watch(pipe, key)?;
    }
    if let Some(admin) = admin {
        watch(admin, poll_keys::ADMIN_LISTENER)?;
    }
    Ok(())
}

/// Restores the state of the previous process on all workers, and has the first worker take its place.
fn restore_all(gateways: &mut [Gateway], predecessor: Predecessor) {
    let Predecessor { socket, snapshot, clock_error } = predecessor;
    for worker in gateways.iter_mut() {
        worker.restore(&snapshot, clock_error);
    }
    gateways[0].take_place_of(socket, snapshot);
}

/// Has the first worker listen for the next process and call discovery, and starts the sweeps of all workers.
fn start_all(gateways: &mut [Gateway]) {
    gateways[0].listen_for_successor();
    gateways[0].call_discovery();
    for worker in gateways {
        worker.set_timer(SWEEP_INTERVAL, Timer::Sweep);
    }
}
