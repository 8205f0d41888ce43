//! The loop's part for requests that are owed an answer: carries verdicts out, sends attempts, and gives the
//! final answer.

use std::sync::atomic::Ordering;

use super::hosts::Task;
use super::slots::{hung_up, Key, Link, Slot};
use super::timers::Timer;
use super::workers::{Commit, InFlight, Owner, Parting, WorkerMessage};
use super::Gateway;
use crate::attempt::{AttemptOutcome, AttemptProgress, FailedAttempt, FailureCause, ResponseStatus};
use crate::balancer::RoutingDecision;
use crate::pg::codec::CancelKey;
use crate::pg::host::Answer;
use crate::pg::statement::Statement;
use crate::request::InFlightRequest;
use crate::{GroupId, MemberId, Micros, RequestId};

/// A final answer.
pub(super) enum Final {
    Served(Vec<u8>),
    Refused(Option<Micros>),
    Failed,
    /// Its client has cancelled it.
    Cancelled,
    /// It was never taken on: what is wrong with it.
    Unroutable(String),
}

impl Gateway {
    /// Gives the final answer, and counts it; another process of this gateway hears first of what a write may have
    /// committed.
    pub(super) fn finish(&mut self, request_id: RequestId, answer: Final) {
        self.drop_attempt(request_id);
        let Some(request) = self.conclude(request_id) else { return };
        let tally = self.figures.class_mut(&request.statement.class);
        match answer {
            Final::Served(_) => tally.ok += 1,
            Final::Refused(_) => tally.shed += 1,
            Final::Failed | Final::Cancelled | Final::Unroutable(_) => tally.errors += 1,
        }
        match self.commit_of(&request.statement) {
            Some(commit) => self.tell_commit(commit, Some((request.owner, answer))),
            None => self.answer(request.owner, answer),
        }
    }

    /// What another process, if there is one, has to hold against the session of a write that has ended here.
    fn commit_of(&self, work: &Statement) -> Option<Commit> {
        let (group, session) = (GroupId(work.cluster), work.session);
        let told = work.writes && self.workers.linked.load(Ordering::SeqCst);
        let commit = told.then(|| self.balancer.session_commit(group, session)).flatten()?;
        Some((group, session, commit))
    }

    /// Tells the other process of a commit, by way of the worker that has the line; then the answer goes out.
    pub(super) fn tell_commit(&mut self, commit: Commit, answer: Option<(Owner, Final)>) {
        if self.me != 0 {
            return self.workers.deliver(0, WorkerMessage::Commit { commit, answer });
        }
        self.share_commit(commit);
        if let Some((owner, answer)) = answer {
            self.answer(owner, answer);
        }
    }

    /// Takes a request out of the ledger: whoever gets it must answer.
    pub(super) fn conclude(
        &mut self,
        request_id: RequestId,
    ) -> Option<InFlightRequest<Key, Statement, Owner>> {
        let request = self.requests.finish(request_id)?;
        if request.owner.worker != self.me {
            self.remote_requests.remove(&request.owner);
        }
        Some(request)
    }

    /// The client of an open request has left or cancelled it: its attempt ends and no other follows. One whose
    /// answer flows already cannot be cancelled any more.
    pub(super) fn abandon(&mut self, request_id: RequestId, how: Parting) {
        if how == Parting::Cancelled
            && self.requests.get(request_id).is_none_or(|request| request.is_streaming())
        {
            return;
        }
        // Booked first: what a write may have committed is known before its answer goes out.
        if let Some(key) = self.requests.end_attempt(request_id) {
            self.free(key);
        }
        self.balancer.handle_client_gone(self.now, request_id);
        match how {
            Parting::Cancelled => {
                self.counts.cancelled += 1;
                self.finish(request_id, Final::Cancelled);
            }
            Parting::Gone => {
                self.counts.left += 1;
                let request = self.conclude(request_id);
                if let Some(commit) = request.and_then(|request| self.commit_of(&request.statement)) {
                    self.tell_commit(commit, None);
                }
            }
        }
    }

    /// Cancels the query of the client with this key, if it is this worker's and one is open.
    pub(super) fn cancel_own(&mut self, key: CancelKey) -> bool {
        let named = |(place, slot): (usize, &Slot)| match &slot.link {
            Link::Client(c) if c.protocol.key() == Some(key) => {
                Some((Key { place, serial: slot.serial }, c.in_flight))
            }
            _ => None,
        };
        let Some((client, in_flight)) = self.slots.iter().find_map(named) else { return false };
        match in_flight {
            Some(InFlight::Here(request_id)) => self.abandon(request_id, Parting::Cancelled),
            Some(InFlight::At(home)) => self.take_leave(home, client, Parting::Cancelled),
            None => {}
        }
        true
    }

    /// A cancel has come from a client of this worker: its key may fit a client of any worker or process.
    pub(super) fn cancel(&mut self, key: CancelKey) {
        if self.cancel_own(key) {
            return;
        }
        self.workers.deliver_others(self.me, || WorkerMessage::Cancel(key));
        if self.me == 0 {
            self.share_cancel(key);
        }
    }

    /// Whether the client of a request has left though its end has not been read yet: it lies in the socket, perhaps
    /// behind bytes that wait. Asked before each attempt, since in a turn events of hosts and timers come first.
    fn has_left(&mut self, request_id: RequestId) -> bool {
        let owner = self.requests.get(request_id).map(|request| request.owner);
        let Some(Owner { key, .. }) = owner.filter(|owner| owner.worker == self.me) else { return false };
        let left = self.slot(key).is_some_and(|slot| hung_up(&slot.socket));
        if left {
            self.lose(key);
        }
        left
    }

    /// Sends an answer to whoever asked.
    pub(super) fn answer(&mut self, owner: Owner, answer: Final) {
        match owner.worker == self.me {
            true => self.give(owner.key, answer),
            false => self.workers.deliver(owner.worker, WorkerMessage::Answer(owner.key, answer)),
        }
    }

    /// Gives a client of this worker its answer.
    pub(super) fn give(&mut self, key: Key, answer: Final) {
        let now = self.now;
        let Some(client) = self.client(key) else { return };
        client.in_flight = None;
        client.used = now;
        match answer {
            Final::Served(rows) => client.protocol.serve(&rows),
            Final::Refused(retry_after) => client.protocol.refuse(retry_after),
            Final::Failed => client.protocol.fail("58000", "no answer in time, it may have run"),
            Final::Cancelled => client.protocol.fail("57014", "canceling statement due to user request"),
            Final::Unroutable(why) => client.protocol.fail("08P01", &why),
        }
        self.write(key);
        self.ready.push_back(key);
        self.spare_clients();
        if !self.clients.accepting {
            self.set_accepting(true);
        }
    }

    pub(super) fn apply(&mut self, request_id: RequestId, decision: RoutingDecision) {
        match decision {
            RoutingDecision::Queued => {}
            RoutingDecision::Send { member, timeout } => self.send(request_id, member, timeout),
            RoutingDecision::Reject { retry_after } => {
                self.counts.refused += 1;
                self.finish(request_id, Final::Refused(retry_after));
            }
            RoutingDecision::Fail => {
                self.counts.failed += 1;
                self.finish(request_id, Final::Failed);
            }
        }
    }

    pub(super) fn send(&mut self, request_id: RequestId, member: MemberId, timeout: Micros) {
        if self.requests.get(request_id).is_none_or(|request| request.attempt().is_some())
            || self.has_left(request_id)
        {
            return;
        }
        let key = match self.take_idle(member) {
            Some(key) => key,
            None => match self.connect(member) {
                Ok(key) => key,
                Err(cause) => {
                    self.broke(
                        request_id,
                        member,
                        FailedAttempt { progress: AttemptProgress::NotConnected, cause },
                    );
                    return;
                }
            },
        };
        if !self.requests.start_attempt(request_id, key) {
            return;
        }
        self.set_timer(timeout, Timer::Attempt(request_id, key));
        let until = self.now + timeout;
        if let Some(host) = self.host(key) {
            (host.task, host.until) = (Task::Attempt(request_id), until);
        }
        self.start_task(key);
    }

    /// Writes the task's request, if the connection is up and the choice still holds.
    pub(super) fn start_task(&mut self, key: Key) {
        // Not the turn's time: what the statement tells of its deadline, and the age of the data that it may see, count
        // from the write.
        let now = self.clock.read();
        let Some(host) = self.host(key).filter(|host| host.welcome) else { return };
        let (member, task, until) = (host.member, host.task, host.until);
        if matches!(task, Task::Attempt(request_id) if self.has_left(request_id)) {
            return;
        }
        let text = match task {
            Task::None => return self.free(key),
            Task::Probe if !self.balancer.is_routable(member) => {
                self.free(key);
                let failed = FailedAttempt {
                    progress: AttemptProgress::NotConnected,
                    cause: FailureCause::NotAttempted,
                };
                return self.balancer.health_checked(now, member, AttemptOutcome::NoResponse(failed));
            }
            Task::Probe => "SHOW gauges".to_string(),
            Task::Attempt(request_id) => {
                let holds = self.balancer.is_attempt_valid(now, request_id);
                let Some(request) = self.requests.get(request_id) else { return };
                let text = request.statement.with_wait(until.min(request.deadline) - now);
                if !holds {
                    self.free(key);
                    self.requests.end_attempt(request_id);
                    let failed = FailedAttempt {
                        progress: AttemptProgress::NotConnected,
                        cause: FailureCause::NotAttempted,
                    };
                    self.broke(request_id, member, failed);
                    return;
                }
                self.counts.attempts += 1;
                text
            }
        };
        if self.host(key).is_some_and(|host| host.protocol.ask(&text)) {
            self.write(key);
        } else {
            self.lose(key);
        }
    }

    /// The attempt on a connection has been written to its last byte: counts it, and gives it up if the gateway was
    /// held up for so long that its data may be too old.
    pub(super) fn attempt_written(&mut self, key: Key) {
        let Some(host) = self.host(key) else { return };
        let Task::Attempt(request_id) = host.task else { return };
        if host.protocol.reach() != AttemptProgress::FullyWritten
            || std::mem::replace(&mut host.counted, true)
        {
            return;
        }
        let member = host.member;
        if let Some(request) = self.requests.get(request_id) {
            self.figures.class_mut(&request.statement.class).attempts += 1;
        }
        self.log_attempt(request_id, member);
        if !self.balancer.is_fresh_enough(self.clock.read(), request_id) {
            self.host_lost(key, FailureCause::WrittenTooLate);
        }
    }

    /// Puts a welcomed connection that carries nothing back into the pool; one to a host that gets nothing new is
    /// closed, so that the host need not wait for it.
    pub(super) fn free(&mut self, key: Key) {
        let now = self.now;
        let Some(host) = self.host(key) else { return };
        host.task = Task::None;
        host.counted = false;
        let (member, idle, welcome) = (host.member, host.protocol.is_idle(), host.welcome);
        if idle && self.balancer.is_routable(member) {
            self.pool.put(now, member, key);
        } else if welcome {
            self.log_host_closed(
                key,
                if idle { "draining or gone" } else { "its answer is not awaited any more" },
            );
            self.close(key);
        }
    }

    /// Takes a request's attempt off the wire. What has been written ends with its connection; one
    /// that is still coming up has carried nothing and may serve another request.
    pub(super) fn drop_attempt(&mut self, request_id: RequestId) {
        let Some(key) = self.requests.end_attempt(request_id) else { return };
        self.free(key);
    }

    /// An attempt has ended without an answer.
    pub(super) fn broke(&mut self, request_id: RequestId, member: MemberId, failed: FailedAttempt) {
        self.counts.broken += 1;
        let outcome = AttemptOutcome::NoResponse(failed);
        self.log_attempt_end(request_id, member, &outcome);
        let decision = self.balancer.handle_outcome(self.now, request_id, outcome);
        while self.process_output() {}
        if self.requests.get(request_id).is_some_and(|request| request.is_streaming()) {
            return self.cut_off(request_id);
        }
        self.apply(request_id, decision);
    }

    pub(super) fn answered(&mut self, request_id: RequestId, member: MemberId, answer: Answer) {
        self.requests.end_attempt(request_id);
        let position = self.position(answer.position);
        let outcome = AttemptOutcome::Response { status: answer.said, role: answer.role, position };
        self.log_attempt_end(request_id, member, &outcome);
        let decision = self.balancer.handle_outcome(self.now, request_id, outcome);
        if answer.said == ResponseStatus::Served {
            self.counts.served += 1;
            self.finish(request_id, Final::Served(answer.rows));
        } else {
            while self.process_output() {}
            match self.requests.get(request_id).is_some_and(|request| request.is_streaming()) {
                true => self.cut_off(request_id),
                false => self.apply(request_id, decision),
            }
        }
    }
}
