//! The event loop over all sockets of a worker. It carries out the balancer's decisions and makes none itself.
//!
//! The state of connections, timers, mailboxes and other processes is in modules that do not use the [`Gateway`]. The
//! methods of the [`Gateway`] that act on this state are in one module for each concern.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Duration;

use polling::{Event, Poller};
use slog::{error, info, Drain, Logger};

// Modules with state, which do not use the gateway.
mod abandoned_attempts;
mod admin_session;
mod client_admission;
mod client_connection;
mod connections;
mod host_connection;
mod mailboxes;
mod peers;
mod poll_keys;
mod sockets;
mod timers;
mod traffic_counts;

// Modules with methods of the gateway.
mod admin;
mod clients;
mod config;
mod connection_io;
mod decision_log;
mod discovery_watch;
mod hosts;
mod hot_restart;
mod late_answers;
mod memory_relief;
mod queries;
mod reload;
mod requests;
mod shared_roles;
mod shutdown;
mod start;
mod streaming;
mod sweep;
mod worker_messages;

pub use self::config::{Config, ReadConfig, Signals};

use self::abandoned_attempts::AbandonedAttempts;
use self::admin::AdminInterface;
use self::client_admission::ClientAdmission;
use self::connections::{ConnectionId, Connections};
use self::discovery_watch::DiscoveryWatch;
use self::host_connection::CloseReason;
use self::mailboxes::{Owner, RemoteRequest, WorkerMessage, Workers};
use self::peers::HotRestart;
use self::timers::{Timer, Timers};
use self::traffic_counts::TrafficCounts;
use super::clock::Clock;
use super::discovery::Directory;
use super::pool::Pool;
use crate::admin::metrics::Metrics;
use crate::balancer::{Balancer, Output};
use crate::classes::Classes;
use crate::pg::statement::Statement;
use crate::request::InFlightRequests;
use crate::Micros;

/// The loop counts as having slept if the wait for events took at least this long.
const MIN_SLEEP: Micros = Micros::millis(1);
/// Largest number of balancer outputs and ready clients that one call of `process_pending` handles.
const MAX_STEPS: usize = 100_000;

/// How a wait for events has ended.
#[derive(Clone, Copy, PartialEq)]
enum PollResult {
    Complete,
    Interrupted,
}

/// The phase of the process between its start and its end.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// The process has received the shutdown signal and still accepts new clients.
    HandingOver,
    /// The process only answers the requests that it has already accepted.
    Closing,
}

/// A worker of the gateway: its sockets and its requests in flight.
pub struct Gateway {
    log: Logger,
    /// Index of this worker. The first worker has the listener, discovery, the admin interface and the handover socket.
    this_worker: usize,
    workers: Arc<Workers>,
    received_messages: VecDeque<WorkerMessage>,
    /// Requests of other workers' clients that this worker decides.
    remote_requests: BTreeMap<Owner, RemoteRequest>,
    clock: Clock,
    /// The time of this iteration, read after the wait for events.
    now: Micros,
    /// When the present and the previous wait for events began.
    waited_from: Micros,
    previous_wait_from: Micros,
    poller: Arc<Poller>,
    connections: Connections,
    timers: Timers,
    /// Clients whose buffered input may hold a query to process.
    ready_clients: VecDeque<ConnectionId>,
    /// Clients with more requests than are processed in one iteration.
    deferred_clients: VecDeque<ConnectionId>,
    /// Number of iterations of the event loop.
    iteration: u64,
    read_buffer: Vec<u8>,
    pool: Pool<ConnectionId>,
    abandoned: AbandonedAttempts,
    requests: InFlightRequests<ConnectionId, Statement, Owner>,
    balancer: Balancer,
    classes: Classes,
    connect_timeout: Micros,
    directory: Directory,
    metrics: Metrics,
    counts: TrafficCounts,
    /// Only set on the first worker.
    signals: Option<Signals>,
    /// The text of the configuration in force; kept by the first worker only.
    config_text: String,
    admission: ClientAdmission,
    admin: AdminInterface,
    hot_restart: HotRestart,
    discovery: DiscoveryWatch,
    phase: Phase,
    /// Some connections are not read because the memory budget is exceeded.
    has_paused_connections: bool,
    /// Set during shutdown: the time by which all requests are answered.
    final_answers_by: Option<Micros>,
}

impl Gateway {
    /// The address on which clients connect. None on workers without the listener.
    pub fn address(&self) -> Option<SocketAddr> {
        self.admission.listener.as_ref()?.local_addr().ok()
    }

    /// The address on which operators connect. None if there is no admin interface.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.listener.as_ref()?.local_addr().ok()
    }

    /// Runs all workers, each on its own thread and the first on the calling thread. A worker that fails ends all of
    /// them: each group is decided by one worker, and a restart is better than a gateway that cannot serve some groups.
    pub fn run_all(gateways: Vec<Gateway>) -> io::Result<()> {
        std::thread::scope(|scope| {
            let mut gateways = gateways.into_iter();
            let first = gateways.next();
            let others: Vec<_> = gateways.map(|worker| scope.spawn(|| worker.run_worker())).collect();
            let mut result = first.map_or(Ok(()), Gateway::run_worker);
            for other in others {
                let other = other.join().unwrap_or_else(|_| Err(io::Error::other("a worker panicked")));
                result = result.and(other);
            }
            result
        })
    }

    /// Runs this worker until it ends. If it fails or panics, the other workers are told to end.
    fn run_worker(mut self) -> io::Result<()> {
        let workers = self.workers.clone();
        let result = catch_unwind(AssertUnwindSafe(|| self.run()))
            .unwrap_or_else(|_| Err(io::Error::other("a worker panicked")));
        if let Err(e) = &result {
            error!(self.log, "worker failed, ending all workers"; "error" => %e);
            workers.on_worker_death();
        }
        result
    }

    /// Serves until the shutdown signal has come and all accepted requests are answered.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        if self.log.is_debug_enabled() {
            self.balancer.enable_request_notices();
        }
        info!(self.log, "ready"; "clients" => self.admission.limits.clients, "hosts" => self.pool.max_open());
        while !self.is_finished() {
            if self.workers.has_dead_worker() {
                return Err(io::Error::other("another worker has died"));
            }
            self.run_iteration(&mut events)?;
        }
        info!(self.log, "ended"; "owed" => self.requests.len());
        Ok(())
    }

    fn is_finished(&self) -> bool {
        self.phase == Phase::Closing
            && self.admission.listener.is_none()
            && self.workers.client_count() + self.connections.half_closed_count() == 0
            && !self.hot_restart.has_unsent()
    }

    fn run_iteration(&mut self, events: &mut Vec<Event>) -> io::Result<()> {
        let asleep_since = self.clock.read();
        self.previous_wait_from = std::mem::replace(&mut self.waited_from, asleep_since);
        self.wait_for_events(events, asleep_since)?;
        self.now = self.clock.read();
        self.iteration += 1;
        self.balancer.set_other_process(self.workers.has_peer());
        self.resume_deferred_clients();
        let is_listener_reported = events.iter().any(|event| event.key == poll_keys::LISTENER);
        self.admission.observe_queue(self.now, self.now - asleep_since >= MIN_SLEEP, is_listener_reported);
        self.handle_events(std::mem::take(events));
        // Messages of the other process are applied before the queries that were just read are processed.
        self.guard(poll_keys::SHUTDOWN, Gateway::receive_from_peers);
        self.handle_mailbox();
        // The balancer's own timers come first: a request whose deadline has come gets the balancer's decision. The
        // deadline timer of the request applies only if the balancer has made none.
        self.guard(poll_keys::SHUTDOWN, Gateway::process_pending);
        self.guard(poll_keys::SHUTDOWN, Gateway::fire_timers);
        self.guard(poll_keys::SHUTDOWN, Gateway::process_pending);
        self.guard(poll_keys::SHUTDOWN, Gateway::resume_paused_connections);
        Ok(())
    }

    fn wait_for_events(&self, events: &mut Vec<Event>, now: Micros) -> io::Result<()> {
        let timer = self.timers.next_deadline().into_iter();
        let deadline = timer.chain(self.balancer.next_deadline()).min();
        let timeout = deadline.map(|at| Duration::from_micros((at - now).0));
        let may_sleep = self.deferred_clients.is_empty() && self.workers.may_sleep(self.this_worker);
        let timeout = if may_sleep { timeout } else { Some(Duration::ZERO) };
        if self.poll_events(events, timeout)? == PollResult::Interrupted {
            // By a signal or the end of a stop. What has arrived meanwhile is reported before timers and messages are
            // handled.
            self.poll_events(events, Some(Duration::ZERO))?;
        }
        Ok(())
    }

    fn poll_events(&self, events: &mut Vec<Event>, timeout: Option<Duration>) -> io::Result<PollResult> {
        events.clear();
        match self.poller.wait(events, timeout) {
            Ok(_) => Ok(PollResult::Complete),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(PollResult::Interrupted),
            Err(e) => Err(e),
        }
    }

    /// Handles the events that the poller reports. Those of clients come last, so that the balancer has received what
    /// hosts and discovery have sent before it decides the next request.
    fn handle_events(&mut self, events: Vec<Event>) {
        let is_client_event =
            |event: &Event| event.key == poll_keys::LISTENER || self.connections.is_client_at(event.key);
        let (client_events, others): (Vec<_>, Vec<_>) = events.into_iter().partition(is_client_event);
        for event in others.into_iter().chain(client_events) {
            self.guard(event.key, |gateway| gateway.handle_event(event));
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event.key {
            poll_keys::LISTENER => {
                self.accept_clients();
            }
            poll_keys::ADMIN_LISTENER => self.accept_admins(),
            poll_keys::HANDOVER_LISTENER => self.accept_successor(),
            poll_keys::SHUTDOWN => self.handle_shutdown_signal(),
            poll_keys::RELOAD => self.handle_reload_signal(),
            poll_keys::VERSIONS => self.handle_config_version(),
            key if key >= poll_keys::FIRST_PEER => self.flush_peer(key - poll_keys::FIRST_PEER),
            index => {
                let Some(id) = self.connections.id_at(index) else { return };
                if event.writable {
                    self.write(id);
                }
                if event.readable {
                    self.read(id);
                }
            }
        }
    }

    /// Runs a step and catches a panic. After a panic, the connection with this poll key, if there is one, is closed,
    /// and the worker continues. False if the step panicked.
    ///
    /// The poll key is always logged under `connection`. For a step that concerns no connection, it is the key of a
    /// listener, a signal or a peer, or any other key that no connection has.
    fn guard(&mut self, poll_key: usize, step: impl FnOnce(&mut Self)) -> bool {
        if catch_unwind(AssertUnwindSafe(|| step(self))).is_ok() {
            return true;
        }
        error!(self.log, "panic caught"; "connection" => poll_key);
        if let Some(id) = self.connections.id_at(poll_key) {
            let _ = catch_unwind(AssertUnwindSafe(|| self.handle_connection_lost(id)));
        }
        false
    }

    /// Processes ready clients and outputs of the balancer until none is pending, or [`MAX_STEPS`] is reached.
    fn process_pending(&mut self) {
        for _ in 0..MAX_STEPS {
            if let Some(client) = self.ready_clients.pop_front() {
                self.process_client(client);
            } else if !self.process_output() {
                return;
            }
        }
    }

    /// Carries out the next output of the balancer. False if there is none.
    fn process_output(&mut self) -> bool {
        let Some(output) = self.balancer.poll_output(self.now) else { return false };
        match output {
            Output::Decision(request_id, decision) => self.carry_out(request_id, decision),
            Output::Cancel(request_id) => self.cancel_attempt(request_id),
            Output::HealthCheck(member) => self.start_health_check(member),
            Output::CloseIdle(member) => {
                for host in self.pool.idle_to(member) {
                    self.log_host_closed(host, CloseReason::Distrusted);
                    self.close(host);
                }
            }
            Output::Notice(notice) => {
                self.share_primary_change(&notice);
                self.log_notice(notice);
            }
        }
        true
    }

    /// Carries out all pending outputs of the balancer.
    fn process_outputs(&mut self) {
        while self.process_output() {}
    }

    fn set_timer(&mut self, after: Micros, timer: Timer) {
        self.timers.set(self.now + after, timer);
    }
}
