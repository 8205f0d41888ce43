//! The watch on discovery: makes the calls, handles their results, and distributes endpoint lists to all workers.

use std::net::SocketAddr;
use std::{error, fmt, io};

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slog::{info, warn};

use super::connection_io::SHORTAGE_PAUSE;
use super::connections::{ConnectionId, ConnectionKind};
use super::mailboxes::WorkerMessage;
use super::timers::Timer;
use super::Gateway;
use crate::balance::random::uniform;
use crate::net::dial;
use crate::net::discovery::{AnswerError, CallFailure, EndpointList, Watch};
use crate::pg::codec::SendBuffer;
use crate::shortage::is_shortage;
use crate::{EndpointState, Micros, Settings};

/// One in this many failures in a row is logged, which is at most one line in ten seconds.
const FAILURES_PER_LINE: u64 = 100;

/// The reason why a call to discovery returned no endpoint list.
#[derive(Debug)]
pub(super) enum CallError {
    /// The connection could not be opened.
    Connect(io::Error),
    /// Discovery answered with this HTTP status.
    Rejected(u16),
    /// Discovery closed the connection before its answer was complete.
    ConnectionEnded,
    /// The connection failed before the answer was complete.
    ConnectionBroke,
    /// The answer cannot be used.
    BadAnswer(AnswerError),
    /// The call timed out without an answer.
    NoAnswer,
    /// The call timed out without an answer, but stays open in case its answer still arrives.
    Silent,
}

impl CallError {
    /// The kind of failure, which decides the backoff of the watch.
    fn failure(&self) -> CallFailure {
        match self {
            CallError::Connect(_) | CallError::Rejected(_) => CallFailure::Rejected,
            CallError::Silent => CallFailure::Silent,
            CallError::ConnectionEnded
            | CallError::ConnectionBroke
            | CallError::BadAnswer(_)
            | CallError::NoAnswer => CallFailure::Lost,
        }
    }
}

impl error::Error for CallError {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            CallError::Connect(e) => Some(e),
            CallError::BadAnswer(bad) => Some(bad),
            _ => None,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Connect(e) => write!(f, "{e}"),
            CallError::Rejected(status) => write!(f, "turned away: {status}"),
            CallError::ConnectionEnded => write!(f, "connection ended"),
            CallError::ConnectionBroke => write!(f, "connection broke"),
            CallError::BadAnswer(bad) => write!(f, "bad answer: {bad:?}"),
            CallError::NoAnswer => write!(f, "no answer"),
            CallError::Silent => write!(f, "silent"),
        }
    }
}

/// The watch on discovery: its address, the version that is known, and the open calls.
pub(super) struct DiscoveryWatch {
    pub(super) address: SocketAddr,
    pub(super) watch: Watch,
    latest_call: Option<ConnectionId>,
    /// A call that has timed out and stays open beside the latest one, in case its answer still arrives.
    silent_call: Option<ConnectionId>,
    /// When the latest call began.
    called_at: Micros,
    /// Number of gateways that call the same discovery.
    gateways: u32,
    /// Time after the announcement of a drain in which the last requests may still be sent to the host.
    drain_grace: Micros,
    rng: Pcg64Mcg,
}

impl DiscoveryWatch {
    /// A watch on discovery at this address that continues from a version.
    pub(super) fn new(address: SocketAddr, version: u64, settings: &Settings, seed: u64) -> Self {
        DiscoveryWatch {
            address,
            watch: Watch::from_version(Some(version)),
            latest_call: None,
            silent_call: None,
            called_at: Micros(0),
            gateways: settings.gateways,
            drain_grace: settings.drain_grace,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Applies new settings.
    pub(super) fn update_settings(&mut self, settings: &Settings) {
        (self.gateways, self.drain_grace) = (settings.gateways, settings.drain_grace);
    }

    /// Records that the latest call has failed. Returns the time until the next call.
    fn on_call_failed(&mut self, failure: CallFailure, now: Micros) -> Micros {
        let (spent, draw) = (now - self.called_at, uniform(&mut self.rng));
        self.watch.on_call_failed(failure, self.gateways, self.drain_grace, spent, draw)
    }

    /// Forgets a call that is not open any more.
    fn forget_call(&mut self, id: ConnectionId) {
        self.latest_call = self.latest_call.filter(|call| *call != id);
        self.silent_call = self.silent_call.filter(|call| *call != id);
    }
}

impl Gateway {
    /// Calls discovery, unless a call is open that has not timed out yet.
    pub(super) fn call_discovery(&mut self) {
        if self.discovery.latest_call.is_some() {
            return;
        }
        let address = self.discovery.address;
        self.discovery.called_at = self.now;
        let timeout = self.discovery.watch.timeout();
        let request = self.discovery.watch.next_request(&address.to_string());
        let kind = ConnectionKind::Discovery(SendBuffer::from(request.into_bytes()));
        let added = dial(address).and_then(|socket| {
            self.add_connection(socket, kind, true).map_err(|unregistered| unregistered.error)
        });
        match added {
            Ok(id) => {
                self.discovery.latest_call = Some(id);
                self.set_timer(timeout, Timer::DiscoveryTimeout(id));
            }
            // Nothing was sent, and the failure is not discovery's.
            Err(e) if is_shortage(&e) => self.set_timer(SHORTAGE_PAUSE, Timer::DiscoveryRetry),
            Err(e) => self.schedule_next_call(CallError::Connect(e)),
        }
    }

    /// Handles bytes from discovery, or the end of the connection.
    pub(super) fn handle_discovery_bytes(&mut self, id: ConnectionId, bytes: &[u8], has_ended: bool) {
        let is_late = self.discovery.silent_call == Some(id);
        let answer = if is_late {
            self.discovery.watch.receive_late(bytes, has_ended)
        } else {
            self.discovery.watch.receive(bytes, has_ended)
        };
        match answer {
            Ok(None) if has_ended => self.handle_discovery_lost(id, CallError::ConnectionEnded),
            Ok(None) => {}
            Ok(Some(listing)) => {
                self.distribute_endpoints(listing, false);
                self.end_calls();
                self.call_discovery();
            }
            Err(AnswerError::Status(status)) if !is_late => {
                self.end_call(id);
                self.schedule_next_call(CallError::Rejected(status));
            }
            Err(bad) => self.handle_discovery_lost(id, CallError::BadAnswer(bad)),
        }
    }

    /// Handles a failed call, whose endpoint list may be lost. The failure of a silent call was already recorded when
    /// it timed out.
    pub(super) fn handle_discovery_lost(&mut self, id: ConnectionId, why: CallError) {
        let is_late = self.discovery.silent_call == Some(id);
        self.end_call(id);
        if !is_late {
            self.schedule_next_call(why);
        }
    }

    /// Handles the timeout of a call. It either stays open as the silent one beside the next call, or is given up.
    pub(super) fn handle_discovery_timeout(&mut self, id: ConnectionId) {
        if self.discovery.latest_call != Some(id) {
            return;
        }
        match self.discovery.watch.on_timeout() {
            CallFailure::Silent => {
                self.discovery.latest_call = None;
                if let Some(before) = self.discovery.silent_call.replace(id) {
                    self.close(before);
                }
                self.schedule_next_call(CallError::Silent);
            }
            CallFailure::Lost | CallFailure::Rejected => {
                self.handle_discovery_lost(id, CallError::NoAnswer);
            }
        }
    }

    /// Records a failure and schedules the next call after a backoff.
    fn schedule_next_call(&mut self, why: CallError) {
        let backoff = self.discovery.on_call_failed(why.failure(), self.now);
        let failures = self.discovery.watch.failures();
        if failures % FAILURES_PER_LINE == 1 {
            warn!(self.log, "discovery call failed, retrying"; "why" => %why, "in a row" => failures);
        }
        self.set_timer(backoff, Timer::DiscoveryRetry);
    }

    fn end_call(&mut self, id: ConnectionId) {
        self.discovery.forget_call(id);
        self.close(id);
    }

    fn end_calls(&mut self) {
        let calls = [self.discovery.latest_call.take(), self.discovery.silent_call.take()];
        calls.into_iter().flatten().for_each(|id| self.close(id));
    }

    /// Moves the watch to this address and calls at once. It asks for the full list, since versions of one discovery
    /// need not mean anything to another.
    pub(super) fn move_discovery_watch(&mut self, address: SocketAddr) {
        self.discovery.address = address;
        self.discovery.watch = Watch::from_version(None);
        self.end_calls();
        self.call_discovery();
    }

    /// Applies an endpoint list on all workers.
    pub(super) fn distribute_endpoints(&mut self, listing: EndpointList, is_initial: bool) {
        let message = || WorkerMessage::Endpoints { listing: Box::new(listing.clone()), is_initial };
        self.workers.send_to_others(self.this_worker, message);
        self.update_endpoints(listing, is_initial);
    }

    /// Applies an endpoint list on this worker. Names and addresses are the same on all workers. Each worker takes only
    /// the members of its own groups, and removes members that have moved to a group of another worker.
    pub(super) fn update_endpoints(&mut self, listing: EndpointList, is_initial: bool) {
        let (version, is_full) = (listing.rev, listing.all);
        let (mut endpoints, unreadable) = self.directory.update(listing, &self.clock);
        if unreadable > 0 {
            warn!(self.log, "skipped unreadable entries of the endpoint list"; "rev" => version, "lines" => unreadable);
        }
        if self.this_worker == 0 && (!endpoints.is_empty() || is_initial) {
            info!(self.log, "endpoint list applied"; "rev" => version, "whole" => is_full, "hosts" => endpoints.len());
        }
        let (workers, this_worker, balancer) = (&self.workers, self.this_worker, &self.balancer);
        endpoints.retain_mut(|endpoint| {
            let is_own = workers.owning_worker(endpoint.group) == this_worker;
            if !is_own {
                endpoint.state = EndpointState::Removed;
            }
            is_own || balancer.is_listed(endpoint.member)
        });
        // Members that are missing from a full list are removed, unless an entry of it cannot be read.
        let removes_missing = (is_full || is_initial) && unreadable == 0;
        self.balancer.update_endpoints(self.now, removes_missing, endpoints);
    }
}
