//! Handles the messages of other workers, and sends requests to the worker that owns their group.

use super::connections::ConnectionId;
use super::host_connection::SOCKET_SLACK;
use super::mailboxes::{Abandonment, Commit, FinalAnswer, Owner, RequestMessage, WorkerMessage};
use super::{Gateway, Phase};
use crate::pg::codec::CancelKey;
use crate::settings::{SiteSettings, Zones};
use crate::Micros;

/// A poll key of no connection, for steps that are not about one.
const NO_CONNECTION: usize = usize::MAX;

impl Gateway {
    /// Handles the messages in this worker's mailbox. A panic closes the connection that the message was about.
    pub(super) fn handle_mailbox(&mut self) {
        if self.workers.count() == 1 {
            return;
        }
        let mut messages = std::mem::take(&mut self.received_messages);
        self.workers.receive(self.this_worker, &mut messages);
        if self.this_worker == 0 {
            // Messages that the other process sent before these requests arrived must be applied first.
            self.guard(NO_CONNECTION, Gateway::receive_from_peers);
        }
        while let Some(message) = messages.pop_front() {
            let owner = message.owner(self.this_worker);
            if !self.guard(NO_CONNECTION, |gateway| gateway.handle_message(message)) {
                owner.into_iter().for_each(|owner| self.end_connection_of(owner));
            }
        }
        self.received_messages = messages;
    }

    fn end_connection_of(&mut self, owner: Owner) {
        if owner.worker == self.this_worker {
            self.handle_connection_lost(owner.connection);
        } else {
            self.workers.send(owner.worker, WorkerMessage::AbortResponse(owner.connection));
        }
    }

    fn handle_message(&mut self, message: WorkerMessage) {
        match message {
            WorkerMessage::Client { socket, waiting_since } => self.serve_client(socket, waiting_since),
            WorkerMessage::Request(request) => self.handle_request(request),
            WorkerMessage::RelayRequest { worker, request } => self.relay_request(worker, request),
            WorkerMessage::Abandon(owner, how) => self.handle_abandon(owner, how),
            WorkerMessage::RelayAbandon { worker, owner, how } => self.relay_abandon(worker, owner, how),
            WorkerMessage::Cancel(key) => self.handle_cancel(key),
            WorkerMessage::ResumeStreaming(owner) => self.handle_resume_streaming(owner),
            WorkerMessage::Answer(client, answer, _held) => self.deliver_answer(client, answer),
            WorkerMessage::Chunk { from, client, bytes, held } => {
                self.handle_chunk(from, client, &bytes);
                drop(held);
            }
            WorkerMessage::AbortResponse(client) => self.abort_response(client),
            WorkerMessage::Endpoints { listing, is_initial } => self.update_endpoints(*listing, is_initial),
            WorkerMessage::Settings(site, zones) => self.handle_settings(*site, zones),
            WorkerMessage::SetDown { host, down, call } => self.handle_set_down(&host, down, call),
            WorkerMessage::SetDownDone(call) => self.handle_set_down_done(call),
            WorkerMessage::CollectMetrics(call) => self.send_metrics(call),
            WorkerMessage::Metrics(call, metrics) => self.add_metrics(call, &metrics),
            WorkerMessage::PublishCommit { commit, answer } => self.publish_commit(commit, answer),
            WorkerMessage::RecordCommit(commit) => self.record_commit(commit),
            WorkerMessage::ShareRoles(roles) => self.share_roles(roles),
            WorkerMessage::ShareAllRoles => self.share_all_roles(),
            WorkerMessage::RecordRoles(roles) => self.record_roles(roles),
            WorkerMessage::PeerEnded => self.balancer.peer_ended(self.now + SOCKET_SLACK),
            WorkerMessage::CollectSnapshot => self.send_worker_snapshot(),
            WorkerMessage::Snapshot(snapshot) => self.add_worker_snapshot(*snapshot),
            WorkerMessage::HandOverClient(client) => self.send_client(*client),
            WorkerMessage::ShareHostConnections(processes) => self.share_host_connections(processes),
            WorkerMessage::EvictClient => drop(self.evict_idle_client()),
            WorkerMessage::Shutdown(deadline) => self.handle_shutdown(deadline),
        }
    }

    fn handle_request(&mut self, request: RequestMessage) {
        self.accept_request(request);
    }

    /// Relays a request to its owning worker, now that earlier messages of the other process have been applied.
    fn relay_request(&mut self, worker: usize, request: RequestMessage) {
        let owner = request.owner;
        if worker == self.this_worker {
            self.handle_request(request);
        } else if !self.workers.try_send(worker, WorkerMessage::Request(request)) {
            self.counts.rejected += 1;
            self.send_answer(owner, FinalAnswer::Rejected(None));
        }
    }

    fn handle_abandon(&mut self, owner: Owner, how: Abandonment) {
        if let Some(request_id) = self.remote_requests.get(&owner).map(|request| request.id) {
            self.abandon_request(request_id, how);
        }
    }

    fn relay_abandon(&mut self, worker: usize, owner: Owner, how: Abandonment) {
        if worker == self.this_worker {
            self.handle_abandon(owner, how);
        } else {
            self.workers.send(worker, WorkerMessage::Abandon(owner, how));
        }
    }

    fn handle_cancel(&mut self, key: CancelKey) {
        if !self.cancel_here(key) && self.this_worker == 0 {
            self.send_cancel_to_peers(key);
        }
    }

    fn handle_resume_streaming(&mut self, owner: Owner) {
        if let Some(request_id) = self.remote_requests.get(&owner).map(|request| request.id) {
            self.resume_streaming(request_id);
        }
    }

    fn handle_settings(&mut self, site: SiteSettings, zones: Zones) {
        self.directory.set_zones(zones);
        self.apply_site(site);
    }

    fn handle_set_down(&mut self, host: &str, down: bool, call: Option<ConnectionId>) {
        self.set_down(host, down);
        if let Some(call) = call {
            self.workers.send(0, WorkerMessage::SetDownDone(call));
        }
    }

    fn send_metrics(&mut self, call: ConnectionId) {
        let metrics = Box::new(self.current_metrics());
        self.workers.send(0, WorkerMessage::Metrics(call, metrics));
    }

    pub(super) fn record_commit(&mut self, commit: Commit) {
        self.balancer.record_commit(commit.group, commit.session, commit.position);
    }

    fn send_worker_snapshot(&mut self) {
        let snapshot = Box::new(self.worker_snapshot());
        self.workers.send(0, WorkerMessage::Snapshot(snapshot));
    }

    fn handle_shutdown(&mut self, deadline: Micros) {
        if self.phase != Phase::Closing {
            self.answer_all_by(deadline);
            self.close_listener();
        }
    }

    /// Whether a request of this worker's clients for a group of `worker` is decided here without a message.
    pub(super) fn decides_directly(&self, worker: usize) -> bool {
        worker == self.this_worker && !self.is_relayed()
    }

    /// Whether requests of this worker are relayed by the first worker, since there is another process.
    fn is_relayed(&self) -> bool {
        self.this_worker != 0 && self.workers.has_peer()
    }

    /// Tells an owning worker that a client abandons its request. The message takes the same way as the request, which
    /// it must not overtake.
    pub(super) fn send_abandon(&self, worker: usize, client: ConnectionId, how: Abandonment) {
        let owner = Owner { worker: self.this_worker, connection: client };
        if self.is_relayed() {
            self.workers.send(0, WorkerMessage::RelayAbandon { worker, owner, how });
        } else {
            self.workers.send(worker, WorkerMessage::Abandon(owner, how));
        }
    }

    /// Offers a request to its owning worker, through the first worker if there is another process. False if the
    /// mailbox is full.
    #[must_use]
    pub(super) fn offer_request(&self, worker: usize, request: RequestMessage) -> bool {
        if self.is_relayed() {
            self.workers.try_send(0, WorkerMessage::RelayRequest { worker, request })
        } else {
            self.workers.try_send(worker, WorkerMessage::Request(request))
        }
    }
}
