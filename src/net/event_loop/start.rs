//! How a gateway starts: its listeners, one worker after the other, and what it takes over from the process before.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::time::Instant;

use polling::{Event, PollMode, Poller};
use slog::{o, Logger};

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
use crate::net::clock::Clock;
use crate::net::discovery::Directory;
use crate::net::pool::Pool;
use crate::pg::codec;
use crate::request::InFlightRequests;
use crate::settings::SiteSettings;
use crate::shortage::{is_shortage, retry, START_RETRY_TIMEOUT};
use crate::Micros;

/// Descriptors kept back: standard streams, poller, signals, listeners, discovery, operators, half-closed connections,
/// and some to spare.
const DESCRIPTOR_RESERVE: usize = 44;
/// And for each worker after the first: its poller.
const WORKER_RESERVE: usize = 4;
/// Least descriptors for each worker.
const MIN_WORKER_DESCRIPTORS: usize = 8;
/// Connections to hosts may take one in so many of the other descriptors.
const HOST_FRACTION: usize = 3;
/// Clients that have asked before may keep open one in so many of all descriptors. For requests, clients hold a third of
/// the descriptors among them: while they keep idle ones, new ones must find capacity.
const KNOWN_CLIENT_FRACTION: usize = 4;
/// One message of a client may take one in so many of all bytes of memory: any number of clients may send the most that
/// they may. And the longest such message, however much memory there is.
const MESSAGE_FRACTION: usize = 256;
const MAX_MESSAGE: usize = 8 * 1024 * 1024;
/// Bytes read from a connection at a time.
const READ_BUFFER: usize = 16 * 1024;
/// Least time for a connection to a host to come up.
const MIN_CONNECT_TIMEOUT: Micros = Micros::millis(10);

/// What the process before hands over, but for its listener and its clock.
struct Predecessor {
    socket: HandoverSocket,
    snapshot: GatewaySnapshot,
    /// By how much its clock may differ from this process's.
    clock_error: Micros,
}

/// The most that each worker takes on.
#[derive(Clone, Copy)]
struct Limits {
    hosts: usize,
    clients: ClientLimits,
}

impl Limits {
    fn of(config: &Config, workers: usize) -> Self {
        let reserve = DESCRIPTOR_RESERVE + WORKER_RESERVE * (workers - 1);
        let budget = config.max_descriptors.saturating_sub(reserve).max(MIN_WORKER_DESCRIPTORS * workers);
        let hosts = budget / HOST_FRACTION;
        let clients = budget - hosts;
        let memory = config.memory_mib.saturating_mul(1024 * 1024);
        let clients = ClientLimits {
            clients,
            known_clients: (config.max_descriptors / KNOWN_CLIENT_FRACTION).clamp(2, clients),
            message: (memory / MESSAGE_FRACTION).clamp(codec::MAX_MESSAGE, MAX_MESSAGE),
        };
        Limits { hosts: hosts / workers, clients }
    }
}

/// What all workers are built from.
struct Parts<'a> {
    config: &'a Config,
    limits: Limits,
    workers: Arc<Workers>,
    clock: Clock,
    log: &'a Logger,
}

impl Gateway {
    /// Opens the listener, with one worker.
    pub fn open(config: Config, signals: Signals, log: Logger) -> io::Result<Gateway> {
        let gateways = Gateway::open_all(config, signals, log, 1)?;
        gateways.into_iter().next().ok_or_else(|| io::ErrorKind::InvalidInput.into())
    }

    /// Opens the listener, with so many workers. Each is to run on a thread of its own.
    pub fn open_all(
        mut config: Config,
        signals: Signals,
        log: Logger,
        count: usize,
    ) -> io::Result<Vec<Gateway>> {
        let sources = Sources::open(&mut config, &signals, count)?;
        let parts = Parts {
            limits: Limits::of(&config, count),
            config: &config,
            workers: Arc::new(Workers::new(&sources.pollers)),
            clock: sources.clock,
            log: &log,
        };
        let pollers = sources.pollers.iter().enumerate();
        let mut gateways: Vec<Gateway> =
            pollers.map(|(worker, poller)| parts.build(worker, poller.clone())).collect();
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
        begin_all(&mut gateways);
        Ok(gateways)
    }
}

/// What the workers wait for and read from at their start.
struct Sources {
    /// One for each worker.
    pollers: Vec<Arc<Poller>>,
    listener: TcpListener,
    admin: Option<TcpListener>,
    clock: Clock,
    predecessor: Option<Predecessor>,
}

impl Sources {
    /// Opens the pollers and the listeners, or takes over the listener of the process before. What fails for a shortage of
    /// this machine is tried again for a while.
    fn open(config: &mut Config, signals: &Signals, workers: usize) -> io::Result<Self> {
        let until = Instant::now() + START_RETRY_TIMEOUT;
        // A signal to end is not kept waiting by a shortage.
        let passes = |error: &io::Error| is_shortage(error) && !is_readable(&signals.shutdown);
        let pollers: Vec<_> = (0..workers)
            .map(|_| retry(until, passes, Poller::new).map(Arc::new))
            .collect::<io::Result<_>>()?;
        let listen = |address, shared| retry(until, passes, || listen(address, shared));
        let (predecessor, listener, clock) = match config.predecessor.take() {
            Some(state) => take_over(state),
            None => (None, listen(config.listen, true)?, Clock::start()),
        };
        let admin = config.admin.map(|address| listen(address, false)).transpose()?;
        if let Some(first) = pollers.first() {
            let retried = |add: &mut dyn FnMut() -> io::Result<()>| retry(until, passes, add);
            watch_sources(first, &listener, admin.as_ref(), signals, retried)?;
        }
        Ok(Sources { pollers, listener, admin, clock, predecessor })
    }
}

impl Parts<'_> {
    /// A worker without listeners.
    fn build(&self, worker: usize, poller: Arc<Poller>) -> Gateway {
        let Parts { config, limits, clock, .. } = self;
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
            read_buffer: vec![0; READ_BUFFER],
            pool: Pool::new(limits.hosts, settings.connection_idle_timeout),
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
            final_answers_by: None,
        }
    }
}

fn initial_classes(site: &SiteSettings) -> Classes {
    let named = site.class_names.iter().cloned().zip(site.router.classes.clone());
    let mut classes = Classes::default();
    classes.update(Micros(0), named.collect(), |_| false);
    classes
}

/// Metrics that show each class from the start.
fn initial_metrics(site: &SiteSettings) -> Metrics {
    let mut metrics = Metrics::default();
    for class in &site.class_names {
        metrics.class_mut(class);
    }
    metrics
}

/// How long a connection to a host may take to come up.
pub(super) fn connect_timeout(site: &SiteSettings) -> Micros {
    site.connect_timeout.max(MIN_CONNECT_TIMEOUT)
}

/// Takes over from the process before: its listener, and a clock that goes on with its own.
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

/// Restores on all workers what the process before knew, and has the first take its place.
fn restore_all(gateways: &mut [Gateway], predecessor: Predecessor) {
    let Predecessor { socket, snapshot, clock_error } = predecessor;
    for worker in gateways.iter_mut() {
        worker.restore(&snapshot, clock_error);
    }
    gateways[0].take_place_of(socket, snapshot);
}

/// Has the first worker wait for the next process and call discovery, and all sweep.
fn begin_all(gateways: &mut [Gateway]) {
    gateways[0].listen_for_successor();
    gateways[0].call_discovery();
    for worker in gateways {
        worker.set_timer(SWEEP_INTERVAL, Timer::Sweep);
    }
}
