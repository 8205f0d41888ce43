//! Several workers as one gateway. Each family has one home worker, which alone decides for it and holds its
//! connections to hosts; each client has one front worker. What passes between them are mailbox in bounded
//! posts: a request is offered and refused where the post is full, all that is owed always goes in.

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

use dunemount_mailbox::{Mailbox, Wake};
use polling::Poller;

use super::requests::Final;
use super::slots::Key;
use super::succession::Passed;
use super::{Gateway, Phase};
use crate::admin::metrics::Metrics;
use crate::balancer;
use crate::net::discovery::Listing;
use crate::pg::codec::CancelKey;
use crate::pg::statement::Statement;
use crate::settings::{SiteSettings, Zones};
use crate::{GroupId, Micros, RequestId, SessionKey};

/// Most requests that lie in one worker's post: some milliseconds of its work, so that one that finds it full
/// would have waited too long.
const ASKS: usize = 1024;

/// A client's connection and the worker that has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Owner {
    pub(super) worker: usize,
    pub(super) key: Key,
}

/// Where the request of a client is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InFlight {
    /// Here, under this ticket.
    Here(RequestId),
    /// At this worker.
    At(usize),
}

/// How a client parts from its open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Parting {
    /// It has closed its connection: nobody waits for an answer.
    Gone,
    /// It has cancelled the request, and waits to hear so.
    Cancelled,
}

/// A session's commit: its family, the session, the position.
pub(super) type Commit = (GroupId, SessionKey, Micros);

/// What workers tell each other.
pub(super) enum WorkerMessage {
    /// To a front: a client to serve, and since when it may have waited to be accepted.
    Client(TcpStream, Micros),
    /// To a home: a request, and when its client gives up.
    Request { owner: Owner, statement: Box<Statement>, until: Micros },
    /// To a home: the client of an open request has left, or has cancelled it.
    Left(Owner, Parting),
    /// To the line: the same of a request that may have gone past it.
    Leave { home: usize, owner: Owner, how: Parting },
    /// To all: the query of the client with this key is to be cancelled, wherever that client is.
    Cancel(CancelKey),
    /// To a home: the client of a long value has read on.
    Drained(Owner),
    /// To a front: the final answer.
    Answer(Key, Final),
    /// To a front: a piece of a long value; the next one follows once it is written.
    Piece { home: usize, key: Key, bytes: Vec<u8> },
    /// To a front: the answer cannot be finished; its client is told by the end of the connection.
    Cut(Key),
    /// To all: a list, or the one known at the start.
    List(Box<Listing>, bool),
    /// To all: new settings.
    Settings(Box<SiteSettings>, Zones),
    /// To all: operators put a host down, or back up; the call that waits for it, if one does.
    SetDown { host: String, down: bool, call: Option<Key> },
    /// To the admin interface: it holds here.
    IsSetDown(Key),
    /// To all: the figures are asked for by this call.
    Stats(Key),
    /// To the admin interface: the figures of one worker.
    Figures(Key, Box<Metrics>),
    /// To the line: a request whose way to its home leads past what the other process has told.
    Via { home: usize, owner: Owner, statement: Box<Statement>, until: Micros },
    /// To the line: a commit that the other process hears of before its answer, if one is owed, goes out.
    Commit { commit: Commit, answer: Option<(Owner, Final)> },
    /// To a home: a commit at the other process.
    Committed(Commit),
    /// To all: what is known is to be handed over.
    Part,
    /// To the line: what one worker knows, and the names of its open requests.
    Snapshot(Box<balancer::Snapshot>, Vec<(String, Micros)>),
    /// To the line: a client for the process that follows.
    Pass(Box<Passed>),
    /// To all: connections to hosts are shared with so many processes.
    Share(usize),
    /// To a front: a client is to make room for a new one.
    MakeRoom,
    /// To all: the listener is closed, and all is to be answered by this time.
    Close(Micros),
}

impl WorkerMessage {
    /// Who waits for what the message brings.
    fn owner(&self, me: usize) -> Option<Owner> {
        match self {
            WorkerMessage::Request { owner, .. } | WorkerMessage::Via { owner, .. } => Some(*owner),
            WorkerMessage::Commit { answer, .. } => answer.as_ref().map(|(owner, _)| *owner),
            WorkerMessage::Left(owner, _) | WorkerMessage::Drained(owner) => Some(*owner),
            WorkerMessage::Answer(key, _) | WorkerMessage::Piece { key, .. } => {
                Some(Owner { worker: me, key: *key })
            }
            _ => None,
        }
    }
}

/// Ends a worker's sleep.
pub(super) struct Bell(Arc<Poller>);

impl Wake for Bell {
    fn wake(&self) {
        // It fails only where the poller is broken, which its own worker is told as well.
        let _ = self.0.notify();
    }
}

/// The workers of one gateway and what they share.
pub(super) struct Workers {
    posts: Vec<Mailbox<WorkerMessage, Bell>>,
    /// Clients of each worker, those on their way to it included.
    clients: Vec<AtomicUsize>,
    /// A worker has died: none goes on with a part of the families.
    lost: AtomicBool,
    /// There is another process of this gateway, and it is the one that takes the clients.
    pub(super) linked: AtomicBool,
    pub(super) successor: AtomicBool,
}

impl Workers {
    /// A workers whose workers sleep in these pollers.
    pub(super) fn of(pollers: &[Arc<Poller>]) -> Workers {
        Workers {
            posts: pollers.iter().map(|poller| Mailbox::new(ASKS, Bell(poller.clone()))).collect(),
            clients: pollers.iter().map(|_| AtomicUsize::new(0)).collect(),
            lost: AtomicBool::new(false),
            linked: AtomicBool::new(false),
            successor: AtomicBool::new(false),
        }
    }

    /// Number of workers.
    pub(super) fn size(&self) -> usize {
        self.posts.len()
    }

    /// The worker that decides for a family.
    pub(super) fn home(&self, group: GroupId) -> usize {
        (group.0 % self.posts.len() as u64) as usize
    }

    /// One worker's count of clients.
    pub(super) fn count(&self, worker: usize) -> &AtomicUsize {
        &self.clients[worker]
    }

    /// Clients of all workers.
    pub(super) fn clients(&self) -> usize {
        self.clients.iter().map(|count| count.load(Ordering::Relaxed)).sum()
    }

    /// The worker with the fewest clients, and the one with the most.
    pub(super) fn extremes(&self) -> (usize, usize) {
        let count = |worker: &usize| self.clients[*worker].load(Ordering::Relaxed);
        let fewest = (0..self.size()).min_by_key(count).unwrap_or(0);
        (fewest, (0..self.size()).max_by_key(count).unwrap_or(0))
    }

    /// Tells a worker what it is owed.
    pub(super) fn deliver(&self, to: usize, message: WorkerMessage) {
        self.posts[to].deliver(message);
    }

    /// Tells all but one.
    pub(super) fn deliver_others(&self, me: usize, message: impl Fn() -> WorkerMessage) {
        for worker in (0..self.size()).filter(|worker| *worker != me) {
            self.deliver(worker, message());
        }
    }

    /// Whether a worker has died.
    pub(super) fn is_lost(&self) -> bool {
        self.lost.load(Ordering::SeqCst)
    }

    /// A worker has died: the others end as well.
    pub(super) fn lose(&self) {
        self.lost.store(true, Ordering::SeqCst);
        self.posts.iter().for_each(|post| post.deliver(WorkerMessage::Close(Micros(0))));
    }
}

impl Gateway {
    /// Whether this worker may sleep: nothing lies in its post.
    pub(super) fn may_sleep(&self) -> bool {
        self.workers.size() == 1 || self.workers.posts[self.me].may_sleep()
    }

    /// Reads what other workers have told. A panic ends the connection that the message was about.
    pub(super) fn read_mailbox(&mut self) {
        if self.workers.size() == 1 {
            return;
        }
        let mut mailbox = std::mem::take(&mut self.mailbox);
        self.workers.posts[self.me].take(&mut mailbox);
        if self.me == 0 {
            // What was told on the line before any of these requests came counts for them.
            self.guard(usize::MAX, Gateway::hear_peers);
        }
        while let Some(message) = mailbox.pop_front() {
            let owner = message.owner(self.me);
            if self.guard(usize::MAX, |gateway| gateway.handle_message(message)) {
                continue;
            }
            if let Some(Owner { worker, key }) = owner {
                match worker == self.me {
                    true => self.lose(key),
                    false => self.workers.deliver(worker, WorkerMessage::Cut(key)),
                }
            }
        }
        self.mailbox = mailbox;
    }

    fn handle_message(&mut self, message: WorkerMessage) {
        match message {
            WorkerMessage::Client(socket, since) => self.welcome(socket, since),
            WorkerMessage::Request { owner, statement, until } => self.take_on(owner, *statement, until),
            WorkerMessage::Left(owner, how) => {
                if let Some(request_id) = self.remote_requests.get(&owner).copied() {
                    self.abandon(request_id, how);
                }
            }
            WorkerMessage::Leave { home, owner, how } if home == self.me => {
                self.handle_message(WorkerMessage::Left(owner, how));
            }
            WorkerMessage::Leave { home, owner, how } => {
                self.workers.deliver(home, WorkerMessage::Left(owner, how))
            }
            WorkerMessage::Cancel(key) => {
                if !self.cancel_own(key) && self.me == 0 {
                    self.share_cancel(key);
                }
            }
            WorkerMessage::Drained(owner) => {
                if let Some(request_id) = self.remote_requests.get(&owner).copied() {
                    self.let_flow(request_id);
                }
            }
            WorkerMessage::Answer(key, answer) => self.give(key, answer),
            WorkerMessage::Piece { home, key, bytes } => self.piece(home, key, &bytes),
            WorkerMessage::Cut(key) => self.cut(key),
            WorkerMessage::List(listing, known) => self.take_list(*listing, known),
            WorkerMessage::Settings(site, zones) => {
                self.directory.know_zones(zones);
                self.settle_in(*site);
            }
            WorkerMessage::SetDown { host, down, call } => {
                self.set_down(&host, down);
                if let Some(call) = call {
                    self.workers.deliver(0, WorkerMessage::IsSetDown(call));
                }
            }
            WorkerMessage::IsSetDown(call) => self.is_set_down(call),
            WorkerMessage::Stats(call) => {
                let figures = Box::new(self.figures().clone());
                self.workers.deliver(0, WorkerMessage::Figures(call, figures));
            }
            WorkerMessage::Figures(call, figures) => self.add_figures(call, &figures),
            WorkerMessage::Via { home, owner, statement, until } => match home == self.me {
                true => self.take_on(owner, *statement, until),
                false => {
                    if self.workers.posts[home]
                        .offer(WorkerMessage::Request { owner, statement, until })
                        .is_err()
                    {
                        self.counts.refused += 1;
                        self.answer(owner, Final::Refused(None));
                    }
                }
            },
            WorkerMessage::Commit { commit, answer } => self.tell_commit(commit, answer),
            WorkerMessage::Committed((group, session, commit)) => {
                self.balancer.record_commit(group, session, commit)
            }
            WorkerMessage::Part => {
                let (known, open) = self.own_snapshot();
                self.workers.deliver(0, WorkerMessage::Snapshot(Box::new(known), open));
            }
            WorkerMessage::Snapshot(known, open) => self.gather_snapshot(*known, open),
            WorkerMessage::Pass(client) => self.pass_further(*client),
            WorkerMessage::Share(parts) => self.share_hosts(parts),
            WorkerMessage::MakeRoom => drop(self.make_room()),
            WorkerMessage::Close(by) => {
                if self.phase != Phase::Closing {
                    self.answer_by(by);
                    self.close_listener();
                }
            }
        }
    }

    /// Whether a request of this worker's clients is decided on the spot.
    pub(super) fn decides(&self, home: usize) -> bool {
        home == self.me && (self.me == 0 || !self.workers.linked.load(Ordering::SeqCst))
    }

    /// Tells a home that a client parts from its request, by the way that this took: it must not be overtaken.
    pub(super) fn take_leave(&self, home: usize, key: Key, how: Parting) {
        let owner = Owner { worker: self.me, key };
        match self.me != 0 && self.workers.linked.load(Ordering::SeqCst) {
            true => self.workers.deliver(0, WorkerMessage::Leave { home, owner, how }),
            false => self.workers.deliver(home, WorkerMessage::Left(owner, how)),
        }
    }

    /// Offers a request to its home, past the line where there is another process. False if too many lie
    /// there already.
    pub(super) fn forward(&mut self, home: usize, key: Key, statement: Statement, until: Micros) -> bool {
        let (owner, statement) = (Owner { worker: self.me, key }, Box::new(statement));
        if self.me != 0 && self.workers.linked.load(Ordering::SeqCst) {
            return self.workers.posts[0].offer(WorkerMessage::Via { home, owner, statement, until }).is_ok();
        }
        self.workers.posts[home].offer(WorkerMessage::Request { owner, statement, until }).is_ok()
    }
}
