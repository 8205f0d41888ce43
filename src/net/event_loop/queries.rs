//! Queries of clients: each is parsed as a statement, sent to the worker that owns its group, and accepted there.

use std::sync::Arc;

use super::client_connection::RequestLocation;
use super::connections::ConnectionId;
use super::mailboxes::{FinalAnswer, Owner, RemoteRequest, RequestMessage};
use super::memory_relief::SMALL_HOLDING;
use super::timers::Timer;
use super::Gateway;
use crate::balancer::RoutingRequest;
use crate::pg::statement::Statement;
use crate::{ClassId, GroupId, Micros};

/// Subtracted from the time that a client waits: allows for the network in both directions and for one loop iteration.
const DEADLINE_MARGIN: Micros = Micros::millis(3);

impl Gateway {
    pub(super) fn handle_query(&mut self, client: ConnectionId, text: String, arrived_at: Micros) {
        self.counts.received += 1;
        let text_bytes = text.len();
        if let Some(client) = self.connections.client(client) {
            client.statement_bytes = text_bytes;
        }
        let statement = match Statement::parse(text) {
            Ok(statement) => statement,
            Err(e) => {
                self.counts.failed += 1;
                return self.deliver_answer(client, FinalAnswer::Unroutable(e.to_string()));
            }
        };
        if text_bytes > SMALL_HOLDING && self.workers.memory.is_exceeded() {
            return self.reject_unrouted(client, &statement.class);
        }
        // The client counts from when it sent the query, so time spent waiting behind other queries of the connection
        // counts too.
        let deadline = arrived_at + (statement.wait - DEADLINE_MARGIN);
        let deadline = self.final_answers_by.map_or(deadline, |by| deadline.min(by));
        let owner = Owner { worker: self.this_worker, connection: client };
        let worker = self.workers.owning_worker(GroupId(statement.group));
        let client_socket = self.connections.get(client).map(|client| Arc::downgrade(&client.socket));
        let client_socket = client_socket.unwrap_or_default();
        let request = RequestMessage { owner, client_socket, statement: Box::new(statement), deadline };
        if self.decides_directly(worker) {
            self.accept_request(request);
        } else {
            self.offer_to_owning_worker(worker, request);
        }
    }

    fn offer_to_owning_worker(&mut self, worker: usize, request: RequestMessage) {
        let (owner, class) = (request.owner, request.statement.class.clone());
        if let Some(client) = self.connections.client(owner.connection) {
            (client.in_flight, client.has_queried) = (Some(RequestLocation::Worker(worker)), true);
        }
        if self.offer_request(worker, request) {
            return;
        }
        // The mailbox of the owning worker is full: the request would wait there for too long.
        self.reject_unrouted(owner.connection, &class);
    }

    /// Rejects a request that no worker has accepted.
    fn reject_unrouted(&mut self, client: ConnectionId, class: &str) {
        self.counts.rejected += 1;
        if self.classes.id(self.now, class).is_some() {
            self.metrics.class_mut(class).shed += 1;
        }
        self.deliver_answer(client, FinalAnswer::Rejected(None));
    }

    /// Accepts a request of a client of any worker, or answers with the reason why it cannot be routed.
    pub(super) fn accept_request(&mut self, request: RequestMessage) {
        let RequestMessage { owner, client_socket, statement, deadline } = request;
        let class = match self.routable_class(&statement) {
            Ok(class) => class,
            Err(why) => {
                self.counts.failed += 1;
                return self.send_answer(owner, FinalAnswer::Unroutable(why.to_string()));
            }
        };
        let time_left = deadline - self.now;
        if time_left == Micros(0) {
            self.counts.rejected += 1;
            self.metrics.class_mut(&statement.class).shed += 1;
            return self.send_answer(owner, FinalAnswer::Rejected(None));
        }
        let request = RoutingRequest {
            class,
            group: GroupId(statement.group),
            session: statement.session,
            committed: statement.last_commit_ms.map(|after| self.clock.at_unix_ms(after)),
            repeat: statement.is_retry,
            time_left,
        };
        let (request_id, decision) = self.balancer.pick(self.now, request);
        if owner.worker != self.this_worker {
            self.remote_requests.insert(owner, RemoteRequest { id: request_id, client_socket });
        } else if let Some(client) = self.connections.client(owner.connection) {
            client.has_queried = true;
            client.in_flight = Some(RequestLocation::Here(request_id));
        }
        let client_id = statement.id.clone();
        self.requests.insert(request_id, &client_id, owner, *statement, deadline);
        self.set_timer(time_left, Timer::RequestDeadline(request_id));
        // Earlier outputs of the balancer come first: they may close connections that this request must not use.
        self.process_outputs();
        self.carry_out(request_id, decision);
    }

    /// The class of a statement, or the reason why the statement cannot be routed here.
    fn routable_class(&self, statement: &Statement) -> Result<ClassId, Unroutable> {
        let class = self.classes.id(self.now, &statement.class).ok_or(Unroutable::UnknownClass)?;
        if !self.balancer.has_group(GroupId(statement.group)) {
            return Err(Unroutable::UnknownGroup);
        }
        let lacks_key = self.balancer.is_keyed_class(class) && !statement.has_idempotency_key;
        if self.balancer.is_write_class(class) != statement.is_write || lacks_key {
            return Err(Unroutable::UnfitForClass);
        }
        if self.requests.has_client_id(&statement.id) {
            return Err(Unroutable::IdInUse);
        }
        Ok(class)
    }
}

/// Why a statement cannot be routed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unroutable {
    UnknownClass,
    UnknownGroup,
    UnfitForClass,
    IdInUse,
}

impl std::error::Error for Unroutable {}

impl std::fmt::Display for Unroutable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Unroutable::UnknownClass => "unknown class",
            Unroutable::UnknownGroup => "unknown group",
            Unroutable::UnfitForClass => "the statement does not fit its class",
            Unroutable::IdInUse => "a request of this id is open",
        })
    }
}
