//! Opens connections to database hosts, handles their responses, and makes health checks.

use std::io;

use slog::{debug, warn};

use super::connections::{ConnectionId, ConnectionKind};
use super::host_connection::{CloseReason, HostConnection, HostTask};
use super::timers::Timer;
use super::Gateway;
use crate::attempt::{AttemptOutcome, AttemptProgress, FailedAttempt, FailureCause, ResponseStatus};
use crate::net::dial;
use crate::pg::host::{is_rejection, HostEvent, HostResponse};
use crate::pg::load_report;
use crate::shortage::is_shortage;
use crate::{MemberId, Micros};

/// How long a health check may take.
pub(super) const HEALTH_CHECK_TIMEOUT: Micros = Micros::millis(250);

impl Gateway {
    /// Begins to connect to a member, and sets the timer by which the session must be accepted.
    pub(super) fn connect(&mut self, member: MemberId) -> Result<ConnectionId, FailureCause> {
        let address = self.directory.address(member).ok_or(FailureCause::NotAttempted)?;
        if !self.pool.has_capacity() {
            self.close_oldest_idle()?;
        }
        self.counts.connects += 1;
        let socket = dial(address).map_err(|e| match is_shortage(&e) {
            true => FailureCause::NotAttempted,
            false => FailureCause::ConnectionLost,
        })?;
        let kind = ConnectionKind::Host(HostConnection::new(member, self.now, &self.workers.memory));
        let id = self.add_connection(socket, kind, true).map_err(|_| FailureCause::NotAttempted)?;
        self.set_timer(self.connect_timeout, Timer::ConnectTimeout(id));
        Ok(id)
    }

    fn close_oldest_idle(&mut self) -> Result<(), FailureCause> {
        let Some(idle) = self.pool.oldest() else {
            if let Some(abandoned) = self.abandoned.oldest() {
                self.close_abandoned(abandoned);
                return Ok(());
            }
            warn!(self.log, "no descriptors left for hosts"; "open" => self.pool.len());
            return Err(FailureCause::NotAttempted);
        };
        self.log_host_closed(idle, CloseReason::CapacityNeeded);
        self.close(idle);
        Ok(())
    }

    /// An idle connection to the member, or a new one.
    pub(super) fn idle_or_new_connection(&mut self, member: MemberId) -> Result<ConnectionId, FailureCause> {
        match self.take_idle_connection(member) {
            Some(id) => Ok(id),
            None => self.connect(member),
        }
    }

    /// An idle connection to the member without unread input. Unread input would be mistaken for the response to the
    /// next request, so a connection with any is closed.
    fn take_idle_connection(&mut self, member: MemberId) -> Option<ConnectionId> {
        while let Some(id) = self.pool.take(self.now, member) {
            let connection = self.connections.get(id);
            let peeked = connection.and_then(|connection| connection.socket.peek(&mut [0]).err());
            if peeked.is_some_and(|e| e.kind() == io::ErrorKind::WouldBlock) {
                return Some(id);
            }
            self.log_host_closed(id, CloseReason::UnexpectedInput);
            self.close(id);
        }
        None
    }

    /// Handles the bytes that were received on a connection to a host.
    pub(super) fn process_host(&mut self, id: ConnectionId) {
        while let Some(event) = self.connections.host(id).and_then(|host| host.protocol.next_event()) {
            self.handle_host_event(id, event);
        }
        self.forward_stream(id);
        if let Some(host) = self.connections.host(id) {
            host.update_holdings();
        }
    }

    fn handle_host_event(&mut self, id: ConnectionId, event: HostEvent) {
        let Some(host) = self.connections.host(id) else { return };
        let (member, task) = (host.member, host.task);
        match event {
            HostEvent::Ready => {
                host.is_ready = true;
                self.balancer.session_accepted(self.now, member);
                self.start_task(id);
            }
            HostEvent::StartupRejected(code) => self.handle_session_rejected(id, &code),
            HostEvent::StreamingStarted => match task {
                HostTask::Abandoned => {}
                HostTask::Attempt(request_id) if self.balancer.is_confirming_read(request_id) => {
                    self.handle_host_lost(id, FailureCause::RoleNotConfirmed);
                    self.read_long_late_answer(id);
                }
                HostTask::Attempt(request_id) => self.start_streaming(request_id),
                // A load report is too short to be streamed.
                _ => self.handle_host_lost(id, FailureCause::MalformedResponse),
            },
            HostEvent::Response(response) if task == HostTask::Abandoned => {
                self.handle_late_answer(id, response);
            }
            HostEvent::Response(response) => {
                let written_after = host.answer_written_after();
                host.query = None;
                host.begin_rest();
                self.release_connection(id);
                match task {
                    HostTask::Attempt(request_id) => {
                        let position = self.to_position(response.position);
                        self.note_role_stated(member, response.role, position, written_after);
                        self.handle_response(request_id, member, response);
                    }
                    HostTask::HealthCheck => self.handle_health_response(member, response, written_after),
                    HostTask::None | HostTask::Abandoned => {}
                }
            }
            HostEvent::ProtocolViolation => {
                self.log_protocol_violation(member);
                self.handle_host_lost(id, FailureCause::MalformedResponse);
            }
        }
    }

    /// Handles a host's refusal of the session, with its error code.
    fn handle_session_rejected(&mut self, id: ConnectionId, code: &str) {
        let Some(host) = self.connections.host(id) else { return };
        let (member, task) = (host.member, std::mem::replace(&mut host.task, HostTask::None));
        self.close(id);
        debug!(self.log, "host refused the session"; "host" => self.directory.name(member), "code" => code);
        let is_rejection = is_rejection(code);
        let status = if is_rejection { ResponseStatus::Rejected } else { ResponseStatus::Failed };
        let response = HostResponse::empty(status);
        match task {
            HostTask::Attempt(request_id) if is_rejection => {
                self.handle_response(request_id, member, response);
            }
            HostTask::Attempt(request_id) => {
                self.requests.end_attempt(request_id);
                let cause = FailureCause::ConnectionLost;
                let failed = FailedAttempt { progress: AttemptProgress::NotConnected, cause };
                self.handle_attempt_failed(request_id, member, failed);
            }
            HostTask::HealthCheck => self.handle_health_response(member, response, Micros(0)),
            HostTask::None | HostTask::Abandoned => {}
        }
    }

    fn log_protocol_violation(&mut self, member: MemberId) {
        self.counts.malformed += 1;
        // Logged once between two `traffic` lines, so that these lines do not crowd out all others.
        if self.counts.malformed == 1 {
            warn!(self.log, "host violated the protocol"; "host" => self.directory.name(member));
        }
    }

    /// Handles a connection to a host that has ended, or that is given up for this cause.
    pub(super) fn handle_host_lost(&mut self, id: ConnectionId, cause: FailureCause) {
        let Some(host) = self.connections.host(id) else { return };
        let (member, task) = (host.member, std::mem::replace(&mut host.task, HostTask::None));
        let (progress, is_ready, query) = (host.protocol.attempt_progress(), host.is_ready, host.query);
        let is_given_up = matches!(
            cause,
            FailureCause::TimedOut | FailureCause::WrittenTooLate | FailureCause::RoleNotConfirmed
        );
        let response = if is_given_up && !host.protocol.has_completed_response() {
            self.abandon_connection(id);
            None
        } else {
            let response = host.protocol.handle_end();
            if cause != FailureCause::ConnectionLost {
                self.log_host_closed(id, CloseReason::Failed(cause));
            }
            self.close(id);
            response
        };
        let failed = FailedAttempt { progress, cause };
        match (task, response) {
            // The request for which it was opened has ended, but the balancer must know that connecting has failed.
            (HostTask::None, _) if !is_ready && cause == FailureCause::ConnectionLost => {
                self.health_checked(member, AttemptOutcome::NoResponse(failed));
            }
            (HostTask::None | HostTask::Abandoned, None) | (HostTask::None, Some(_)) => {}
            (HostTask::Abandoned, Some(response)) => {
                if let Some(query) = query {
                    self.late_answer_read(member, query, response, query.sent_at);
                }
            }
            (HostTask::Attempt(request_id), Some(response)) => {
                self.handle_response(request_id, member, response);
            }
            (HostTask::Attempt(request_id), None) => {
                self.requests.end_attempt(request_id);
                self.handle_attempt_failed(request_id, member, failed);
            }
            (HostTask::HealthCheck, Some(response)) => {
                self.handle_health_response(member, response, Micros(0));
            }
            (HostTask::HealthCheck, None) => self.health_checked(member, AttemptOutcome::NoResponse(failed)),
        }
    }

    pub(super) fn start_health_check(&mut self, member: MemberId) {
        self.counts.health_checks += 1;
        match self.idle_or_new_connection(member) {
            Ok(id) => {
                if let Some(host) = self.connections.host(id) {
                    host.task = HostTask::HealthCheck;
                }
                self.set_timer(HEALTH_CHECK_TIMEOUT, Timer::HealthCheckTimeout(id));
                self.start_task(id);
            }
            Err(cause) => {
                let failed = FailedAttempt { progress: AttemptProgress::NotConnected, cause };
                self.health_checked(member, AttemptOutcome::NoResponse(failed));
            }
        }
    }

    fn handle_health_response(&mut self, member: MemberId, response: HostResponse, written_after: Micros) {
        let (role, position) = load_report::parse(&response.value.unwrap_or_default());
        let position = self.to_position(position);
        self.note_role_reported(member, role, position, written_after);
        self.health_checked(member, AttemptOutcome::Response { status: response.status, role, position });
    }

    fn health_checked(&mut self, member: MemberId, outcome: AttemptOutcome) {
        self.balancer.health_checked(self.now, member, outcome);
    }

    /// Converts a position that a host has reported. The balancer decides whether it is plausible.
    pub(super) fn to_position(&self, unix_ms: Option<f64>) -> Option<Micros> {
        unix_ms.map(|ms| self.clock.at_unix_ms(ms))
    }
}
