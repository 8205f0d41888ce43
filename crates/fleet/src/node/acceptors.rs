//! A process's communication with acceptors: requests to its own acceptor, replies of all acceptors, and help for
//! acceptors that have an outdated acceptor set or have lost their file.

use std::net::SocketAddr;
use std::time::Duration;

use super::{AcceptorStorage, Node, NodeEvent};
use crate::acceptor::{Acceptor, RequestOutcome};
use crate::frame::MessageKind;
use crate::messages::{AcceptorReply, AcceptorRequest, Operation};
use crate::proposer::RoundEvent;
use crate::reconfiguration::Reconfiguration;
use crate::register::{AcceptorSlot, Key};

/// A reconfiguration, and when its requests are to be sent again.
pub(super) struct ActiveReconfiguration {
    reconfiguration: Reconfiguration,
    send_at: Duration,
}

impl ActiveReconfiguration {
    pub(super) fn next_deadline(&self) -> Duration {
        self.send_at
    }
}

impl Node {
    pub(super) fn handle_request(
        &mut self,
        from: SocketAddr,
        request: AcceptorRequest,
        storage: &mut impl AcceptorStorage,
    ) {
        let Some(acceptor) = &mut self.acceptor else {
            self.drop_counts.malformed_messages += 1;
            return;
        };
        let was_uninitialized = acceptor.is_uninitialized();
        let reply = store_and_reply(acceptor, request, storage);
        if was_uninitialized && !acceptor.is_uninitialized() {
            self.events.push_back(NodeEvent::AcceptorAdmitted);
        }
        self.send_message(from, MessageKind::AcceptorReply, &reply);
    }

    pub(super) fn handle_reply(&mut self, now: Duration, reply: &AcceptorReply) {
        let mut requests = Vec::new();
        self.handle_reconfiguration_reply(reply, &mut requests);
        for (role, lease) in &mut self.leases {
            let event = lease.handle_reply(now, reply, &mut self.knowledge, &mut self.rng, &mut requests);
            self.events.extend(event.map(|event| NodeEvent::Lease { role: role.clone(), event }));
        }
        for (key, client) in &mut self.registers {
            let outcome = client.handle_reply(now, reply, &mut self.knowledge, &mut self.rng, &mut requests);
            let event = outcome.map(|outcome| NodeEvent::Register { key: key.clone(), outcome });
            self.events.extend(event);
        }
        self.send_requests(requests);
    }

    fn handle_reconfiguration_reply(
        &mut self,
        reply: &AcceptorReply,
        requests: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) {
        let Some(ActiveReconfiguration { reconfiguration, .. }) = &mut self.reconfiguration else { return };
        if reconfiguration.nonce() != reply.nonce {
            return;
        }
        let event = reconfiguration.handle_reply(reply);
        let acceptors = reconfiguration.acceptors().clone();
        self.knowledge.record_event(&RoundEvent::NewerAcceptorSet(acceptors));
        self.knowledge.record_event(&event);
        if reconfiguration.is_done() {
            self.knowledge.forget_uninitialized(reply.slot);
        }
        if reconfiguration.is_done() || event != RoundEvent::None {
            self.reconfiguration = None;
            return;
        }
        // Requests that have become possible are sent at once, not at the next resend.
        let pending = reconfiguration.pending_requests().into_iter();
        requests.extend(pending.filter(|(slot, _)| *slot != reply.slot));
    }

    /// Sends the newest acceptor set to acceptors that use an older one, and admits an acceptor that has lost its file.
    /// Any process that notices such an acceptor does so.
    pub(super) fn help_acceptors(
        &mut self,
        now: Duration,
        requests: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) {
        for slot in std::mem::take(&mut self.knowledge.outdated) {
            let (nonce, acceptors) = (self.knowledge.next_nonce(), self.knowledge.acceptors.clone());
            let operation = Operation::Reconfigure { after: Key::new() };
            requests.push((slot, AcceptorRequest { acceptors, nonce, operation }));
        }
        match &mut self.reconfiguration {
            Some(active) if active.send_at <= now => {
                active.send_at = now + self.settings.lease.resend_interval;
                requests.extend(active.reconfiguration.pending_requests());
            }
            Some(_) => {}
            None => self.start_reconfiguration(now),
        }
    }

    fn start_reconfiguration(&mut self, now: Duration) {
        let Some((slot, generation)) = self.knowledge.uninitialized.first().copied() else { return };
        let known_generation = self.knowledge.acceptors.generation(slot);
        if generation < known_generation {
            // Another file has been admitted: the acceptor moves to a higher generation once it receives the newer set.
            self.knowledge.uninitialized.remove(0);
            return;
        }
        // If another process is already admitting this file, this one takes over only if the other does not finish.
        let is_under_way = generation == known_generation;
        let delay = if is_under_way { self.settings.lease.duration } else { Duration::ZERO };
        let nonce = self.knowledge.next_nonce();
        let reconfiguration = Reconfiguration::new(
            slot,
            generation,
            &self.knowledge.acceptors,
            nonce,
            self.knowledge.acceptor_count,
            self.knowledge.store_counts.clone(),
        );
        self.reconfiguration = Some(ActiveReconfiguration { reconfiguration, send_at: now + delay });
    }
}

/// Lets the acceptor handle the request, and stores its new state, if any, before it returns the reply.
fn store_and_reply(
    acceptor: &mut Acceptor,
    request: AcceptorRequest,
    storage: &mut impl AcceptorStorage,
) -> AcceptorReply {
    match acceptor.handle_request(request) {
        RequestOutcome::Reply(reply) => reply,
        RequestOutcome::Store(pending) => match storage.store(&pending.file_bytes()) {
            true => pending.stored(),
            false => pending.failed(),
        },
    }
}
