//! Handles timers that fire, among them the periodic sweep over all connections.

use slog::warn;

use super::connections::ConnectionId;
use super::host_connection::{CloseReason, HostConnection, HostTask};
use super::timers::Timer;
use super::traffic_counts::OpenCounts;
use super::Gateway;
use crate::attempt::FailureCause;
use crate::balancer::RoutingDecision;
use crate::request::InFlightRequest;
use crate::{Micros, RequestId};

/// A response that has begun counts as broken if no bytes arrive for this long. A streamed one is waited for longer,
/// since no other host can send the rest of it.
const RESPONSE_STALL: Micros = Micros::millis(250);
const STREAM_STALL: Micros = Micros::millis(10_000);
/// Time between sweeps.
pub(super) const SWEEP_INTERVAL: Micros = Micros::millis(250);

impl Gateway {
    pub(super) fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            self.handle_timer(timer);
        }
    }

    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::ConnectTimeout(id) => self.handle_connect_timeout(id),
            Timer::AttemptTimeout(request_id, id) => self.handle_attempt_timeout(request_id, id),
            Timer::RequestDeadline(request_id) => self.handle_request_deadline(request_id),
            Timer::HealthCheckTimeout(id) => self.handle_health_check_timeout(id),
            Timer::LateAnswerTimeout(id) => self.close_abandoned(id),
            Timer::DiscoveryTimeout(id) => self.handle_discovery_timeout(id),
            Timer::DiscoveryRetry => self.call_discovery(),
            Timer::ResumeAccepting => {
                self.serve_unregistered_clients();
                self.set_accepting(true);
            }
            Timer::ReloadRetry(until) => self.reload(until),
            Timer::ResumeAdminAccepting => self.set_admin_accepting(true),
            Timer::UpdateInterest(id) => self.update_interest(id),
            Timer::Sweep => self.sweep(),
            Timer::UnreadCheck(id) => self.check_unread_client(id),
            Timer::HalfClosedTimeout(id) => self.close(id),
            Timer::FinalAnswers => self.give_final_answers(),
            Timer::HandoverEnd => self.close_listener(),
        }
    }

    fn handle_connect_timeout(&mut self, id: ConnectionId) {
        if self.connections.host(id).is_some_and(|host| !host.is_ready) {
            self.handle_host_lost(id, FailureCause::ConnectionLost);
        }
    }

    fn handle_attempt_timeout(&mut self, request_id: RequestId, id: ConnectionId) {
        let request = self.requests.get(request_id).filter(|request| !request.is_streaming());
        if request.and_then(InFlightRequest::attempt) == Some(id) {
            self.handle_host_lost(id, FailureCause::TimedOut);
        }
    }

    /// Fails a request whose deadline has passed although the balancer should have decided before.
    fn handle_request_deadline(&mut self, request_id: RequestId) {
        if self.requests.get(request_id).is_some_and(|request| !request.is_streaming()) {
            warn!(self.log, "request overdue");
            self.balancer.handle_client_gone(self.now, request_id);
            self.carry_out(request_id, RoutingDecision::Fail);
        }
    }

    fn handle_health_check_timeout(&mut self, id: ConnectionId) {
        if self.connections.host(id).is_some_and(|host| host.task == HostTask::HealthCheck) {
            self.handle_host_lost(id, FailureCause::TimedOut);
        }
    }

    fn sweep(&mut self) {
        self.check_missed_signals();
        for id in self.pool.stale(self.now) {
            self.log_host_closed(id, CloseReason::IdleTimeout);
            self.close(id);
        }
        self.end_stalled_responses();
        self.evict_overdue_clients();
        self.relieve_memory();
        self.evict_overdue_admins();
        self.requests.expire_client_ids(self.now);
        self.remove_unneeded_timers();
        if self.workers.has_successor() {
            self.hand_over_clients();
        }
        let open = OpenCounts {
            requests: self.requests.len(),
            clients: self.connections.client_count(),
            hosts: self.pool.len(),
            abandoned: self.abandoned.len(),
        };
        self.counts.on_sweep(&self.log, &open);
        self.set_timer(SWEEP_INTERVAL, Timer::Sweep);
    }

    /// Removes the timers of requests and connections that have ended.
    fn remove_unneeded_timers(&mut self) {
        let (requests, connections) = (&self.requests, &mut self.connections);
        self.timers.retain(|timer| match timer {
            Timer::RequestDeadline(request_id) => requests.get(*request_id).is_some(),
            Timer::AttemptTimeout(request_id, id) => {
                requests.get(*request_id).and_then(InFlightRequest::attempt) == Some(*id)
            }
            Timer::ConnectTimeout(id) => connections.host(*id).is_some_and(|host| !host.is_ready),
            Timer::HealthCheckTimeout(id) => {
                connections.host(*id).is_some_and(|host| host.task == HostTask::HealthCheck)
            }
            Timer::LateAnswerTimeout(id) => {
                connections.host(*id).is_some_and(|host| host.task == HostTask::Abandoned)
            }
            Timer::UpdateInterest(id) | Timer::UnreadCheck(id) | Timer::HalfClosedTimeout(id) => {
                connections.get(*id).is_some()
            }
            _ => true,
        });
    }

    fn end_stalled_responses(&mut self) {
        let now = self.now;
        let stalled: Vec<ConnectionId> =
            self.connections.hosts().filter(|(_, host)| is_stalled(host, now)).map(|(id, _)| id).collect();
        for id in stalled {
            self.handle_host_lost(id, FailureCause::MalformedResponse);
        }
    }
}

/// Whether a response has begun on a connection and no more bytes of it arrive.
fn is_stalled(host: &HostConnection, now: Micros) -> bool {
    let stall = if host.protocol.is_streaming() { STREAM_STALL } else { RESPONSE_STALL };
    host.protocol.has_partial_response() && !host.is_paused() && now - host.last_received >= stall
}
