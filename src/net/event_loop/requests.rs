//! The loop's part for requests that are owed an answer: carries verdicts out, sends attempts, and gives the
//! final answer.

use std::sync::atomic::Ordering;

use super::hosts::Task;
use super::slots::{hung_up, Key, Link, Slot};
use super::timers::Timer;
use super::workers::{Commit, InFlight, Owner, Parting, WorkerMessage};
use super::Gateway;
use crate::balancer::{Ended, Said, Ticket, Verdict};
use crate::pg::codec::CancelKey;
use crate::pg::host::Answer;
use crate::pg::statement::Statement;
use crate::request::{Broken, Cause, Life, Reach};
use crate::{GroupId, MemberId, Micros};

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
    pub(super) fn finish(&mut self, ticket: Ticket, answer: Final) {
        self.drop_attempt(ticket);
        let Some(life) = self.conclude(ticket) else { return };
        let tally = self.figures.class(&life.work.class);
        match answer {
            Final::Served(_) => tally.ok += 1,
            Final::Refused(_) => tally.shed += 1,
            Final::Failed | Final::Cancelled | Final::Unroutable(_) => tally.errors += 1,
        }
        match self.commit_of(&life.work) {
            Some(commit) => self.tell_commit(commit, Some((life.owner, answer))),
            None => self.answer(life.owner, answer),
        }
    }

    /// What another process, if there is one, has to hold against the session of a write that has ended here.
    fn commit_of(&self, work: &Statement) -> Option<Commit> {
        let (group, session) = (GroupId(work.cluster), work.session);
        let told = work.writes && self.workers.linked.load(Ordering::SeqCst);
        let commit = told.then(|| self.balancer.commit(group, session)).flatten()?;
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
    pub(super) fn conclude(&mut self, ticket: Ticket) -> Option<Life<Key, Statement, Owner>> {
        let life = self.ledger.finish(ticket)?;
        if life.owner.worker != self.me {
            self.remote_requests.remove(&life.owner);
        }
        Some(life)
    }

    /// The client of an open request has left or cancelled it: its attempt ends and no other follows. One whose
    /// answer flows already cannot be cancelled any more.
    pub(super) fn abandon(&mut self, ticket: Ticket, how: Parting) {
        if how == Parting::Cancelled && self.ledger.get(ticket).is_none_or(|life| life.flows()) {
            return;
        }
        // Booked first: what a write may have committed is known before its answer goes out.
        if let Some(key) = self.ledger.end(ticket) {
            self.free(key);
        }
        self.balancer.gone(self.now, ticket);
        match how {
            Parting::Cancelled => {
                self.counts.cancelled += 1;
                self.finish(ticket, Final::Cancelled);
            }
            Parting::Gone => {
                self.counts.left += 1;
                let life = self.conclude(ticket);
                if let Some(commit) = life.and_then(|life| self.commit_of(&life.work)) {
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
            Some(InFlight::Here(ticket)) => self.abandon(ticket, Parting::Cancelled),
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
    fn has_left(&mut self, ticket: Ticket) -> bool {
        let owner = self.ledger.get(ticket).map(|life| life.owner);
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
            Final::Refused(come_back) => client.protocol.refuse(come_back),
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

    pub(super) fn apply(&mut self, ticket: Ticket, verdict: Verdict) {
        match verdict {
            Verdict::Held => {}
            Verdict::Send { member, timeout } => self.send(ticket, member, timeout),
            Verdict::Refuse { come_back } => {
                self.counts.refused += 1;
                self.finish(ticket, Final::Refused(come_back));
            }
            Verdict::Fail => {
                self.counts.failed += 1;
                self.finish(ticket, Final::Failed);
            }
        }
    }

    pub(super) fn send(&mut self, ticket: Ticket, member: MemberId, timeout: Micros) {
        if self.ledger.get(ticket).is_none_or(|life| life.attempt().is_some()) || self.has_left(ticket) {
            return;
        }
        let key = match self.take_idle(member) {
            Some(key) => key,
            None => match self.connect(member) {
                Ok(key) => key,
                Err(cause) => {
                    self.broke(ticket, member, Broken { reach: Reach::NotConnected, cause });
                    return;
                }
            },
        };
        if !self.ledger.begin(ticket, key) {
            return;
        }
        self.set_timer(timeout, Timer::Attempt(ticket, key));
        let until = self.now + timeout;
        if let Some(host) = self.host(key) {
            (host.task, host.until) = (Task::Attempt(ticket), until);
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
        if matches!(task, Task::Attempt(ticket) if self.has_left(ticket)) {
            return;
        }
        let text = match task {
            Task::None => return self.free(key),
            Task::Probe if !self.balancer.admits(member) => {
                self.free(key);
                let broken = Broken { reach: Reach::NotConnected, cause: Cause::NotTried };
                return self.balancer.probed(now, member, Ended::Broken(broken));
            }
            Task::Probe => "SHOW gauges".to_string(),
            Task::Attempt(ticket) => {
                let holds = self.balancer.still_holds(now, ticket);
                let Some(life) = self.ledger.get(ticket) else { return };
                let text = life.work.with_wait(until.min(life.until) - now);
                if !holds {
                    self.free(key);
                    self.ledger.end(ticket);
                    let broken = Broken { reach: Reach::NotConnected, cause: Cause::NotTried };
                    self.broke(ticket, member, broken);
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
        let Task::Attempt(ticket) = host.task else { return };
        if host.protocol.reach() != Reach::WhollyWritten || std::mem::replace(&mut host.counted, true) {
            return;
        }
        let member = host.member;
        if let Some(life) = self.ledger.get(ticket) {
            self.figures.class(&life.work.class).tries += 1;
        }
        self.log_attempt(ticket, member);
        if !self.balancer.still_covers(self.clock.read(), ticket) {
            self.host_lost(key, Cause::WrittenTooLate);
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
        if idle && self.balancer.admits(member) {
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
    pub(super) fn drop_attempt(&mut self, ticket: Ticket) {
        let Some(key) = self.ledger.end(ticket) else { return };
        self.free(key);
    }

    /// An attempt has ended without an answer.
    pub(super) fn broke(&mut self, ticket: Ticket, member: MemberId, broken: Broken) {
        self.counts.broken += 1;
        let ended = Ended::Broken(broken);
        self.log_attempt_end(ticket, member, &ended);
        let verdict = self.balancer.report(self.now, ticket, ended);
        while self.do_due() {}
        if self.ledger.get(ticket).is_some_and(|life| life.flows()) {
            return self.cut_off(ticket);
        }
        self.apply(ticket, verdict);
    }

    pub(super) fn answered(&mut self, ticket: Ticket, member: MemberId, answer: Answer) {
        self.ledger.end(ticket);
        let position = self.position(answer.position);
        let ended = Ended::Answer { said: answer.said, role: answer.role, position };
        self.log_attempt_end(ticket, member, &ended);
        let verdict = self.balancer.report(self.now, ticket, ended);
        if answer.said == Said::Served {
            self.counts.served += 1;
            self.finish(ticket, Final::Served(answer.rows));
        } else {
            while self.do_due() {}
            match self.ledger.get(ticket).is_some_and(|life| life.flows()) {
                true => self.cut_off(ticket),
                false => self.apply(ticket, verdict),
            }
        }
    }
}
