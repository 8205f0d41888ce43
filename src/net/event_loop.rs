//! One event loop over all sockets of a worker. It carries out what the balancer decides and decides nothing itself.
//!
//! The state of connections, timers, mailboxes and processes lies in modules that know nothing of the [`Gateway`]. It
//! drives them from one module for each concern.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Duration;

use polling::{Event, Poller};
use slog::{error, info, Drain, Logger};

// State.
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

// What drives it.
mod admin;
mod clients;
mod config;
mod connection_io;
mod decision_log;
mod discovery_watch;
mod hosts;
mod hot_restart;
mod queries;
mod reload;
mod requests;
mod shutdown;
mod start;
mod streaming;
mod sweep;
mod worker_messages;

pub use self::config::{Config, ReadConfig, Signals};

use self::admin::AdminInterface;
use self::client_admission::ClientAdmission;
use self::connections::{ConnectionId, Connections};
use self::discovery_watch::DiscoveryWatch;
use self::host_connection::CloseReason;
use self::mailboxes::{Owner, WorkerMessage, Workers};
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
use crate::{Micros, RequestId};

/// The loop has slept if it waited for so long.
const SLEPT: Micros = Micros::millis(1);
/// Most outputs of the balancer and clients in one iteration.
const MAX_STEPS: usize = 100_000;

/// How far the process has come in its life.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// It has got the signal to end, and still accepts clients that come meanwhile.
    HandingOver,
    /// It only answers what it has taken.
    Closing,
}

/// A worker of the gateway: its sockets, and the requests that it owes an answer.
pub struct Gateway {
    log: Logger,
    /// Which worker this is. The first has the listener, discovery, the admin interface and the handover socket.
    this_worker: usize,
    workers: Arc<Workers>,
    received_messages: VecDeque<WorkerMessage>,
    /// Requests that other workers' clients await from this one.
    remote_requests: BTreeMap<Owner, RequestId>,
    clock: Clock,
    /// The time of this iteration.
    now: Micros,
    poller: Arc<Poller>,
    connections: Connections,
    timers: Timers,
    /// Clients whose next query may be looked at.
    ready_clients: VecDeque<ConnectionId>,
    read_buffer: Vec<u8>,
    pool: Pool<ConnectionId>,
    requests: InFlightRequests<ConnectionId, Statement, Owner>,
    balancer: Balancer,
    classes: Classes,
    connect_timeout: Micros,
    directory: Directory,
    metrics: Metrics,
    counts: TrafficCounts,
    /// Of the first worker alone.
    signals: Option<Signals>,
    /// The text of the configuration in force.
    config_text: String,
    admission: ClientAdmission,
    admin: AdminInterface,
    hot_restart: HotRestart,
    discovery: DiscoveryWatch,
    phase: Phase,
    /// While the process ends: when all is answered.
    final_answers_by: Option<Micros>,
}

impl Gateway {
    /// Where clients connect.
    pub fn address(&self) -> Option<SocketAddr> {
        self.admission.listener.as_ref()?.local_addr().ok()
    }

    /// Where operators connect.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.listener.as_ref()?.local_addr().ok()
    }

    /// Serves with all workers, each on a thread of its own and the first on this one. One that ends before
    /// its time ends all: half of the groups without anybody to decide for them is worse than a restart.
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

    /// Runs to its end; the others learn of one that comes too soon.
    fn run_worker(mut self) -> io::Result<()> {
        let workers = self.workers.clone();
        let result = catch_unwind(AssertUnwindSafe(|| self.run()))
            .unwrap_or_else(|_| Err(io::Error::other("a worker panicked")));
        if let Err(e) = &result {
            error!(self.log, "worker ends"; "error" => %e);
            workers.on_worker_death();
        }
        result
    }

    /// Serves until a signal ends it and all that was taken is answered.
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
        self.wait_for_events(events, asleep_since)?;
        self.now = self.clock.read();
        let is_listener_reported = events.iter().any(|event| event.key == poll_keys::LISTENER);
        self.admission.observe_queue(self.now, self.now - asleep_since >= SLEPT, is_listener_reported);
        self.handle_events(std::mem::take(events));
        // What the other process has sent counts before any of the bytes just read is acted upon.
        self.guard(poll_keys::SHUTDOWN, Gateway::receive_from_peers);
        self.handle_mailbox();
        // The balancer's own timers come first: a request that ends now gets its decision, and only what the balancer
        // leaves over falls to the backstop.
        self.guard(poll_keys::SHUTDOWN, Gateway::process_pending);
        self.guard(poll_keys::SHUTDOWN, Gateway::fire_timers);
        self.guard(poll_keys::SHUTDOWN, Gateway::process_pending);
        Ok(())
    }

    fn wait_for_events(&self, events: &mut Vec<Event>, now: Micros) -> io::Result<()> {
        let timer = self.timers.next_deadline().into_iter();
        let deadline = timer.chain(self.balancer.next_deadline()).min();
        let timeout = deadline.map(|at| Duration::from_micros((at - now).0));
        let timeout = if self.workers.may_sleep(self.this_worker) { timeout } else { Some(Duration::ZERO) };
        events.clear();
        match self.poller.wait(events, timeout) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => Err(e),
            _ => Ok(()),
        }
    }

    /// Handles what the poller reports. What hosts and discovery say reaches the balancer before the next request is
    /// decided.
    fn handle_events(&mut self, events: Vec<Event>) {
        let is_of_client =
            |event: &Event| event.key == poll_keys::LISTENER || self.connections.is_client_at(event.key);
        let (of_clients, others): (Vec<_>, Vec<_>) = events.into_iter().partition(is_of_client);
        for event in others.into_iter().chain(of_clients) {
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

    /// Runs a step; a panic ends the connection that it was for and nothing else. False if there was one.
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

    /// Handles what is pending until nothing is left for this iteration.
    fn process_pending(&mut self) {
        for _ in 0..MAX_STEPS {
            if let Some(client) = self.ready_clients.pop_front() {
                self.process_client(client);
            } else if !self.process_output() {
                return;
            }
        }
    }

    /// Carries out the balancer's next output. False if there is none.
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
            Output::Notice(notice) => self.log_notice(notice),
        }
        true
    }

    /// Carries out all that the balancer has decided.
    fn process_outputs(&mut self) {
        while self.process_output() {}
    }

    fn set_timer(&mut self, after: Micros, timer: Timer) {
        self.timers.set(self.now + after, timer);
    }
}
