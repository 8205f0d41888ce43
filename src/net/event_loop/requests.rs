//! Requests in flight: carries out the balancer's decisions, writes attempts to hosts and sends the final answers.

use super::client_connection::RequestLocation;
use super::connections::ConnectionId;
use super::host_connection::{CloseReason, HostTask, SentQuery};
use super::hosts::HEALTH_CHECK_TIMEOUT;
use super::mailboxes::{Abandonment, Commit, FinalAnswer, Owner, WorkerMessage};
use super::sockets::has_hung_up;
use super::timers::Timer;
use super::Gateway;
use crate::attempt::{AttemptOutcome, AttemptProgress, FailedAttempt, FailureCause, ResponseStatus};
use crate::balancer::RoutingDecision;
use crate::memory::Holder;
use crate::notice::WriteRefusal;
use crate::pg::codec::CancelKey;
use crate::pg::host::HostResponse;
use crate::pg::statement::Statement;
use crate::request::InFlightRequest;
use crate::{GroupId, MemberId, Micros, RequestId};

/// The query that asks a host for its load report.
const HEALTH_CHECK_QUERY: &str = "SHOW gauges";

/// The failure of an attempt of which nothing was sent.
const NOT_ATTEMPTED: FailedAttempt =
    FailedAttempt { progress: AttemptProgress::NotConnected, cause: FailureCause::NotAttempted };

impl Gateway {
    /// Counts a request and sends its final answer. For a write, the session's commit is sent to the other process of
    /// this gateway, if there is one, before the answer goes out.
    pub(super) fn finish_request(&mut self, request_id: RequestId, answer: FinalAnswer) {
        self.cancel_attempt(request_id);
        let Some(request) = self.remove_request(request_id) else { return };
        let metrics = self.metrics.class_mut(&request.statement.class);
        match answer {
            FinalAnswer::Served(_) => metrics.ok += 1,
            FinalAnswer::Rejected(_) => metrics.shed += 1,
            FinalAnswer::Failed | FinalAnswer::Cancelled | FinalAnswer::Unroutable(_) => metrics.errors += 1,
        }
        match self.commit_to_publish(&request.statement) {
            Some(commit) => self.publish_commit(commit, Some((request.owner, answer))),
            None => self.send_answer(request.owner, answer),
        }
    }

    /// The commit to send to the other process after a write has ended here. None for a read, or if there is no other
    /// process.
    fn commit_to_publish(&self, statement: &Statement) -> Option<Commit> {
        let (group, session) = (GroupId(statement.group), statement.session);
        if !statement.is_write || !self.workers.has_peer() {
            return None;
        }
        let position = self.balancer.session_commit(group, session)?;
        Some(Commit { group, session, position })
    }

    /// Sends a commit to the other process through the first worker, and then the answer to its client.
    pub(super) fn publish_commit(&mut self, commit: Commit, answer: Option<(Owner, FinalAnswer)>) {
        if self.this_worker != 0 {
            return self.workers.send(0, WorkerMessage::PublishCommit { commit, answer });
        }
        self.send_commit_to_peers(commit);
        if let Some((owner, answer)) = answer {
            self.send_answer(owner, answer);
        }
    }

    /// Removes a request from those in flight. The caller must answer it.
    pub(super) fn remove_request(
        &mut self,
        request_id: RequestId,
    ) -> Option<InFlightRequest<ConnectionId, Statement, Owner>> {
        let request = self.requests.finish(request_id)?;
        self.forget_remote_request(request.owner);
        Some(request)
    }

    /// The same for a request whose client has left, so that it needs no answer.
    fn remove_abandoned_request(
        &mut self,
        request_id: RequestId,
    ) -> Option<InFlightRequest<ConnectionId, Statement, Owner>> {
        let request = self.requests.abandon(request_id)?;
        self.forget_remote_request(request.owner);
        Some(request)
    }

    fn forget_remote_request(&mut self, owner: Owner) {
        if owner.worker != self.this_worker {
            self.remote_requests.remove(&owner);
        }
    }

    /// Ends a request whose client has disconnected or cancelled it: its attempt ends and no other follows. A request
    /// whose response already streams cannot be cancelled any more.
    pub(super) fn abandon_request(&mut self, request_id: RequestId, how: Abandonment) {
        let is_cancellable = self.requests.get(request_id).is_some_and(|request| !request.is_streaming());
        if how == Abandonment::Cancelled && !is_cancellable {
            return;
        }
        // The balancer records first what a write may have committed, so that the commit is known before the answer is
        // sent.
        if let Some(host) = self.requests.end_attempt(request_id) {
            self.release_connection(host);
        }
        self.balancer.handle_client_gone(self.now, request_id);
        match how {
            Abandonment::Cancelled => {
                self.counts.cancelled += 1;
                self.finish_request(request_id, FinalAnswer::Cancelled);
            }
            Abandonment::Disconnected => {
                self.counts.abandoned += 1;
                let request = self.remove_abandoned_request(request_id);
                if let Some(commit) = request.and_then(|request| self.commit_to_publish(&request.statement)) {
                    self.publish_commit(commit, None);
                }
            }
        }
    }

    /// Cancels the query of the client with this key. False if this worker has no such client.
    pub(super) fn cancel_here(&mut self, key: CancelKey) -> bool {
        let found = self.connections.clients().find(|(_, client)| client.protocol.cancel_key() == Some(key));
        let Some((id, in_flight)) = found.map(|(id, client)| (id, client.in_flight)) else { return false };
        match in_flight {
            Some(RequestLocation::Here(request_id)) => {
                self.abandon_request(request_id, Abandonment::Cancelled);
            }
            Some(RequestLocation::Worker(worker)) => self.send_abandon(worker, id, Abandonment::Cancelled),
            None => {}
        }
        true
    }

    /// Handles a cancel request that came to this worker. The client with the key may be at any worker or process.
    pub(super) fn cancel(&mut self, key: CancelKey) {
        if self.cancel_here(key) {
            return;
        }
        self.workers.send_to_others(self.this_worker, || WorkerMessage::Cancel(key));
        if self.this_worker == 0 {
            self.send_cancel_to_peers(key);
        }
    }

    /// Whether the client of a request has disconnected. The end of its connection may still be unread in the socket,
    /// perhaps behind other bytes. Checked before each attempt, since in an iteration the events of clients come after
    /// those of hosts.
    fn has_client_left(&mut self, request_id: RequestId) -> bool {
        let Some(Owner { worker, connection }) = self.requests.get(request_id).map(|request| request.owner)
        else {
            return false;
        };
        if worker != self.this_worker {
            return self.has_remote_client_left(request_id, Owner { worker, connection });
        }
        let has_left = self.connections.get(connection).is_some_and(|client| has_hung_up(&client.socket));
        if has_left {
            self.handle_connection_lost(connection);
        }
        has_left
    }

    /// The same for a client of another worker, whose message that the client has disconnected may be on its way.
    fn has_remote_client_left(&mut self, request_id: RequestId, owner: Owner) -> bool {
        let Some(request) = self.remote_requests.get(&owner) else { return false };
        let has_left = request.client_socket.upgrade().is_none_or(|socket| has_hung_up(&socket));
        if has_left {
            self.abandon_request(request_id, Abandonment::Disconnected);
        }
        has_left
    }

    /// Sends an answer to the client of a request, at whichever worker it is.
    pub(super) fn send_answer(&mut self, owner: Owner, answer: FinalAnswer) {
        if owner.worker == self.this_worker {
            self.deliver_answer(owner.connection, answer);
        } else {
            let held = self.workers.memory.hold(Holder::Mailboxes, answer.bytes());
            self.workers.send(owner.worker, WorkerMessage::Answer(owner.connection, answer, held));
        }
    }

    /// Writes an answer to a client of this worker.
    pub(super) fn deliver_answer(&mut self, id: ConnectionId, answer: FinalAnswer) {
        let now = self.now;
        let Some(client) = self.connections.client(id) else { return };
        client.in_flight = None;
        client.last_used = now;
        match answer {
            FinalAnswer::Served(rows) => client.protocol.send_rows(&rows),
            FinalAnswer::Rejected(retry_after) => client.protocol.reject(retry_after),
            FinalAnswer::Failed => client.protocol.send_error("58000", "no answer in time, it may have run"),
            FinalAnswer::Cancelled => {
                client.protocol.send_error("57014", "canceling statement due to user request");
            }
            FinalAnswer::Unroutable(why) => client.protocol.send_error("08P01", &why),
        }
        self.write(id);
        self.ready_clients.push_back(id);
        self.evict_surplus_client();
        self.resume_accepting();
    }

    /// Carries out a decision on a request.
    pub(super) fn carry_out(&mut self, request_id: RequestId, decision: RoutingDecision) {
        match decision {
            RoutingDecision::Queued => {}
            RoutingDecision::Send { member, timeout } => self.start_attempt(request_id, member, timeout),
            RoutingDecision::Reject { retry_after } => {
                self.counts.rejected += 1;
                self.finish_request(request_id, FinalAnswer::Rejected(retry_after));
            }
            RoutingDecision::Fail => {
                self.counts.failed += 1;
                self.finish_request(request_id, FinalAnswer::Failed);
            }
        }
    }

    fn start_attempt(&mut self, request_id: RequestId, member: MemberId, timeout: Micros) {
        let is_free = self.requests.get(request_id).is_some_and(|request| request.attempt().is_none());
        if !is_free || self.has_client_left(request_id) {
            return;
        }
        let id = match self.idle_or_new_connection(member) {
            Ok(id) => id,
            Err(cause) => {
                let failed = FailedAttempt { progress: AttemptProgress::NotConnected, cause };
                return self.handle_attempt_failed(request_id, member, failed);
            }
        };
        if !self.requests.start_attempt(request_id, id) {
            return;
        }
        self.set_timer(timeout, Timer::AttemptTimeout(request_id, id));
        let attempt_deadline = self.now + timeout;
        if let Some(host) = self.connections.host(id) {
            (host.task, host.attempt_deadline) = (HostTask::Attempt(request_id), attempt_deadline);
        }
        self.start_task(id);
    }

    /// Writes the query for a connection's task if the connection is ready and the choice of the host is still valid.
    pub(super) fn start_task(&mut self, id: ConnectionId) {
        let Some(host) = self.connections.host(id).filter(|host| host.is_ready) else { return };
        match host.task {
            HostTask::None | HostTask::Abandoned => self.release_connection(id),
            HostTask::HealthCheck => self.write_health_check(id),
            HostTask::Attempt(request_id) => self.write_attempt(id, request_id),
        }
    }

    fn write_health_check(&mut self, id: ConnectionId) {
        let now = self.clock.read();
        let Some(member) = self.connections.host(id).map(|host| host.member) else { return };
        if !self.balancer.is_routable(member) {
            self.release_connection(id);
            return self.balancer.health_checked(now, member, AttemptOutcome::NoResponse(NOT_ATTEMPTED));
        }
        if let Some(host) = self.connections.host(id) {
            host.begin_query(SentQuery {
                sent_at: now,
                told_deadline: now + HEALTH_CHECK_TIMEOUT,
                request: None,
            });
        }
        self.write_query(id, HEALTH_CHECK_QUERY);
    }

    fn write_attempt(&mut self, id: ConnectionId, request_id: RequestId) {
        self.close_abandoned_attempts(request_id);
        // Not the iteration's time: the time left that is written into the statement, and the limit on the age of its
        // data, count from the write.
        let now = self.clock.read();
        if self.has_client_left(request_id) {
            return;
        }
        let write_deadline = match self.balancer.begin_write(now, request_id) {
            Ok(write_deadline) => write_deadline,
            Err(why) => return self.refuse_write(now, id, request_id, why),
        };
        let Some(request) = self.requests.get(request_id) else { return };
        let Some(host) = self.connections.host(id) else { return };
        host.write_deadline = write_deadline;
        let deadline = host.attempt_deadline.min(request.deadline);
        let text = request.statement.with_wait(deadline - now);
        host.begin_query(SentQuery { sent_at: now, told_deadline: deadline, request: Some(request_id) });
        self.counts.attempts += 1;
        self.write_query(id, &text);
    }

    /// Ends an attempt that must not be written any more, at `now`, and continues with another one or the final answer.
    fn refuse_write(&mut self, now: Micros, id: ConnectionId, request_id: RequestId, why: WriteRefusal) {
        let Some(member) = self.connections.host(id).map(|host| host.member) else { return };
        if self.requests.get(request_id).is_none() {
            return;
        }
        self.log_write_refused(request_id, member, why);
        self.release_connection(id);
        self.requests.end_attempt(request_id);
        self.handle_attempt_failed_at(now, request_id, member, NOT_ATTEMPTED);
    }

    fn write_query(&mut self, id: ConnectionId, text: &str) {
        if self.connections.host(id).is_some_and(|host| host.protocol.send_query(text)) {
            self.write(id);
        } else {
            self.handle_connection_lost(id);
        }
    }

    /// Whether a connection holds bytes of an attempt that must not be written any more.
    pub(super) fn is_write_overdue(&mut self, id: ConnectionId) -> bool {
        let Some(host) = self.connections.host(id) else { return false };
        let is_incomplete = matches!(host.task, HostTask::Attempt(_))
            && host.protocol.attempt_progress() == AttemptProgress::PartiallyWritten;
        let write_deadline = host.write_deadline;
        is_incomplete && self.clock.read() >= write_deadline
    }

    /// Counts the attempt on a connection once its last byte is written. Ends it if so much time has passed since the
    /// choice of the host that the data may be too old.
    pub(super) fn handle_attempt_written(&mut self, id: ConnectionId) {
        let Some(host) = self.connections.host(id) else { return };
        let HostTask::Attempt(request_id) = host.task else { return };
        if host.protocol.attempt_progress() != AttemptProgress::FullyWritten
            || std::mem::replace(&mut host.is_attempt_counted, true)
        {
            return;
        }
        let member = host.member;
        if let Some(request) = self.requests.get(request_id) {
            self.metrics.class_mut(&request.statement.class).attempts += 1;
        }
        let written_at = self.clock.read();
        self.log_attempt(request_id, member);
        self.log_attempt_timing(request_id, written_at);
        if !self.balancer.is_fresh_enough(written_at, request_id) {
            self.handle_host_lost(id, FailureCause::WrittenTooLate);
        }
    }

    /// Ends the task of a connection. An idle connection returns to the pool; if the host gets no new requests, it is
    /// closed instead, so that the host need not wait for it. A connection whose query is in flight is abandoned. One
    /// that is still being opened is kept, and returns to the pool once it is ready.
    pub(super) fn release_connection(&mut self, id: ConnectionId) {
        let now = self.now;
        let Some(host) = self.connections.host(id) else { return };
        host.task = HostTask::None;
        host.is_attempt_counted = false;
        let (member, is_idle, is_ready) = (host.member, host.protocol.is_idle(), host.is_ready);
        let rested_at = host.rested_at;
        if is_idle && self.balancer.is_routable(member) {
            self.pool.put(now, member, id, rested_at);
        } else if is_idle {
            self.log_host_closed(id, CloseReason::NotRoutable);
            self.close(id);
        } else if is_ready {
            self.abandon_connection(id);
        }
    }

    /// Ends a request's attempt. If its query was written, nobody is served from the connection any more. One that is
    /// still being opened has carried nothing and may serve another request.
    pub(super) fn cancel_attempt(&mut self, request_id: RequestId) {
        if let Some(host) = self.requests.end_attempt(request_id) {
            self.release_connection(host);
        }
    }

    /// Reports an attempt that has ended without a response and carries out the balancer's decision.
    pub(super) fn handle_attempt_failed(
        &mut self,
        request_id: RequestId,
        member: MemberId,
        failed: FailedAttempt,
    ) {
        self.handle_attempt_failed_at(self.now, request_id, member, failed);
    }

    /// The same for an attempt that has ended at `now`, later than this iteration began.
    fn handle_attempt_failed_at(
        &mut self,
        now: Micros,
        request_id: RequestId,
        member: MemberId,
        failed: FailedAttempt,
    ) {
        self.counts.failed_attempts += 1;
        let decision = self.report_outcome(now, request_id, member, AttemptOutcome::NoResponse(failed));
        self.continue_request(request_id, decision);
    }

    /// Handles the response to an attempt: answers the client or continues with another attempt.
    pub(super) fn handle_response(
        &mut self,
        request_id: RequestId,
        member: MemberId,
        response: HostResponse,
    ) {
        self.requests.end_attempt(request_id);
        let role = response.role;
        let position = self.to_position(response.position);
        let is_served = response.status == ResponseStatus::Served;
        let status = if is_served && !self.balancer.may_serve(request_id, role, position) {
            ResponseStatus::Unsuitable
        } else {
            response.status
        };
        let outcome = AttemptOutcome::Response { status, role, position };
        let decision = self.report_outcome(self.now, request_id, member, outcome);
        if status == ResponseStatus::Served {
            self.counts.served += 1;
            self.finish_request(request_id, FinalAnswer::Served(response.rows));
        } else {
            self.continue_request(request_id, decision);
        }
    }

    fn report_outcome(
        &mut self,
        now: Micros,
        request_id: RequestId,
        member: MemberId,
        outcome: AttemptOutcome,
    ) -> RoutingDecision {
        self.log_attempt_end(request_id, member, &outcome);
        self.balancer.handle_outcome(now, request_id, outcome)
    }

    /// Carries out the decision on a request whose attempt has failed. A response that streams already is aborted.
    fn continue_request(&mut self, request_id: RequestId, decision: RoutingDecision) {
        self.process_outputs();
        if self.requests.get(request_id).is_some_and(InFlightRequest::is_streaming) {
            self.abort_streaming(request_id);
        } else {
            self.carry_out(request_id, decision);
        }
    }
}
