//! Several workers as one gateway: the messages between them, each worker's mailbox, and what all of them share.
//!
//! Each group has one owning worker, which alone decides for it and holds its connections to hosts; each client has one
//! front worker, which may be another. A request is offered, and rejected where the mailbox is full; messages that
//! the receiver waits for are always taken.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

use dunemount_mailbox::{Mailbox, Wake};
use polling::Poller;

use super::connections::ConnectionId;
use crate::admin::metrics::Metrics;
use crate::balancer;
use crate::net::discovery::EndpointList;
use crate::pg::client::ProtocolHandover;
use crate::pg::codec::CancelKey;
use crate::pg::statement::Statement;
use crate::settings::{SiteSettings, Zones};
use crate::{GroupId, Micros, SessionKey};

/// Most requests that lie in one worker's mailbox: some milliseconds of its work, so that one that finds it full
/// would have waited too long.
const MAX_OFFERED: usize = 1024;

/// A client's connection and the worker that has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Owner {
    pub(super) worker: usize,
    pub(super) connection: ConnectionId,
}

/// How a client abandons its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Abandonment {
    /// It has closed its connection: nobody waits for an answer.
    Disconnected,
    /// It has cancelled the request, and waits for the answer that says so.
    Cancelled,
}

/// A final answer.
pub(super) enum FinalAnswer {
    /// The host's rows.
    Served(Vec<u8>),
    /// Rejected, and when to retry if there is advice.
    Rejected(Option<Micros>),
    Failed,
    /// Its client has cancelled it.
    Cancelled,
    /// It was never taken on: what is wrong with it.
    Unroutable(String),
}

/// A session's commit.
#[derive(Clone, Copy)]
pub(super) struct Commit {
    pub(super) group: GroupId,
    pub(super) session: SessionKey,
    pub(super) position: Micros,
}

/// A request on its way to the worker that owns its group.
pub(super) struct RequestMessage {
    pub(super) owner: Owner,
    pub(super) statement: Box<Statement>,
    /// When its client gives up.
    pub(super) deadline: Micros,
}

/// A client on its way to the next process.
pub(super) struct ClientHandover {
    pub(super) socket: TcpStream,
    pub(super) has_asked: bool,
    pub(super) state: ProtocolHandover,
}

/// What one worker knows, for the next process.
pub(super) struct WorkerSnapshot {
    pub(super) balancer: balancer::Snapshot,
    /// Client ids of the requests in flight, and when each ends at the latest.
    pub(super) in_flight: Vec<(String, Micros)>,
}

/// A message from one worker to another. The front worker has the client, the owning worker decides, the first worker
/// has the listener, discovery, the admin interface and the handover socket.
pub(super) enum WorkerMessage {
    /// To a front worker: a client to serve, and since when it may have waited to be accepted.
    Client { socket: TcpStream, waiting_since: Micros },
    /// To an owning worker: a request.
    Request(RequestMessage),
    /// To the first worker: a request for an owning worker, which must not overtake what the other process has sent.
    RelayRequest { worker: usize, request: RequestMessage },
    /// To an owning worker: the client has abandoned its request.
    Abandon(Owner, Abandonment),
    /// To the first worker: the same of a request that may have gone past it.
    RelayAbandon { worker: usize, owner: Owner, how: Abandonment },
    /// To all: the query of the client with this key is to be cancelled, wherever that client is.
    Cancel(CancelKey),
    /// To an owning worker: the client of a streamed response has read on.
    ResumeStreaming(Owner),
    /// To a front worker: the final answer.
    Answer(ConnectionId, FinalAnswer),
    /// To a front worker: a chunk of a streamed response; the next one follows once it is written.
    Chunk { from: usize, client: ConnectionId, bytes: Vec<u8> },
    /// To a front worker: the streamed response cannot be finished; its client learns so by the end of the connection.
    AbortResponse(ConnectionId),
    /// To all: an endpoint list, or the one known at the start.
    Endpoints { listing: Box<EndpointList>, is_initial: bool },
    /// To all: new settings.
    Settings(Box<SiteSettings>, Zones),
    /// To all: operators take a host down, or put it back; the call that waits for it, if one does.
    SetDown { host: String, down: bool, call: Option<ConnectionId> },
    /// To the first worker: that holds here, for this call.
    SetDownDone(ConnectionId),
    /// To all: this call asks for the metrics.
    CollectMetrics(ConnectionId),
    /// To the first worker: the metrics of one worker, for this call.
    Metrics(ConnectionId, Box<Metrics>),
    /// To the first worker: a commit that the other process learns of before its answer, if one is owed, goes out.
    PublishCommit { commit: Commit, answer: Option<(Owner, FinalAnswer)> },
    /// To an owning worker: a commit at the other process.
    RecordCommit(Commit),
    /// To all: a snapshot is asked for.
    CollectSnapshot,
    /// To the first worker: one worker's snapshot.
    Snapshot(Box<WorkerSnapshot>),
    /// To the first worker: a client for the next process.
    HandOverClient(Box<ClientHandover>),
    /// To all: connections to hosts are shared with so many processes.
    ShareHostConnections(usize),
    /// To a front worker: an idle client is to be closed for a new one.
    EvictClient,
    /// To all: the listener is closed, and all is to be answered by this time.
    Shutdown(Micros),
}

impl WorkerMessage {
    /// Who waits for what the message brings to this worker.
    pub(super) fn owner(&self, this_worker: usize) -> Option<Owner> {
        match self {
            WorkerMessage::Request(request) | WorkerMessage::RelayRequest { request, .. } => {
                Some(request.owner)
            }
            WorkerMessage::PublishCommit { answer, .. } => answer.as_ref().map(|(owner, _)| *owner),
            WorkerMessage::Abandon(owner, _) | WorkerMessage::ResumeStreaming(owner) => Some(*owner),
            WorkerMessage::Answer(client, _) | WorkerMessage::Chunk { client, .. } => {
                Some(Owner { worker: this_worker, connection: *client })
            }
            _ => None,
        }
    }
}

/// Ends a worker's sleep.
struct PollerWaker(Arc<Poller>);

impl Wake for PollerWaker {
    fn wake(&self) {
        // It fails only where the poller is broken, which its own worker notices as well.
        let _ = self.0.notify();
    }
}

/// The workers of one gateway and what they share.
pub(super) struct Workers {
    mailboxes: Vec<Mailbox<WorkerMessage, PollerWaker>>,
    /// Clients of each worker, those on their way to it included.
    client_counts: Vec<AtomicUsize>,
    /// A worker has died: none goes on with only some of the groups.
    has_dead_worker: AtomicBool,
    /// There is another process of this gateway.
    has_peer: AtomicBool,
    /// The other process is the one that takes the clients.
    has_successor: AtomicBool,
}

impl Workers {
    /// Workers that sleep in these pollers, one each.
    pub(super) fn new(pollers: &[Arc<Poller>]) -> Workers {
        let mailbox = |poller: &Arc<Poller>| Mailbox::new(MAX_OFFERED, PollerWaker(poller.clone()));
        Workers {
            mailboxes: pollers.iter().map(mailbox).collect(),
            client_counts: pollers.iter().map(|_| AtomicUsize::new(0)).collect(),
            has_dead_worker: AtomicBool::new(false),
            has_peer: AtomicBool::new(false),
            has_successor: AtomicBool::new(false),
        }
    }

    /// Number of workers.
    pub(super) fn count(&self) -> usize {
        self.mailboxes.len()
    }

    /// The worker that decides for a group.
    pub(super) fn owning_worker(&self, group: GroupId) -> usize {
        (group.0 % self.mailboxes.len() as u64) as usize
    }

    /// Counts a client as a worker's.
    pub(super) fn add_client(&self, worker: usize) {
        self.client_counts[worker].fetch_add(1, Ordering::Relaxed);
    }

    /// A client is not a worker's any more.
    pub(super) fn remove_client(&self, worker: usize) {
        self.client_counts[worker].fetch_sub(1, Ordering::Relaxed);
    }

    /// Clients of all workers.
    pub(super) fn client_count(&self) -> usize {
        self.client_counts.iter().map(|count| count.load(Ordering::Relaxed)).sum()
    }

    /// The worker with the fewest clients.
    pub(super) fn least_loaded(&self) -> usize {
        (0..self.count()).min_by_key(|worker| self.load_of(*worker)).unwrap_or(0)
    }

    /// The worker with the most clients.
    pub(super) fn most_loaded(&self) -> usize {
        (0..self.count()).max_by_key(|worker| self.load_of(*worker)).unwrap_or(0)
    }

    fn load_of(&self, worker: usize) -> usize {
        self.client_counts[worker].load(Ordering::Relaxed)
    }

    /// Sends a worker what it is owed.
    pub(super) fn send(&self, to: usize, message: WorkerMessage) {
        self.mailboxes[to].send(message);
    }

    /// Sends all but one worker what they are owed.
    pub(super) fn send_to_others(&self, this_worker: usize, message: impl Fn() -> WorkerMessage) {
        for worker in (0..self.count()).filter(|worker| *worker != this_worker) {
            self.send(worker, message());
        }
    }

    /// Offers a worker a request. False if too many lie in its mailbox.
    #[must_use]
    pub(super) fn try_send(&self, to: usize, message: WorkerMessage) -> bool {
        self.mailboxes[to].try_send(message).is_ok()
    }

    /// Moves all messages to a worker to the end of a queue.
    pub(super) fn receive(&self, worker: usize, into: &mut VecDeque<WorkerMessage>) {
        self.mailboxes[worker].drain_into(into);
    }

    /// Whether a worker may sleep: nothing lies in its mailbox.
    pub(super) fn may_sleep(&self, worker: usize) -> bool {
        self.count() == 1 || self.mailboxes[worker].prepare_sleep()
    }

    /// Whether a worker has died.
    pub(super) fn has_dead_worker(&self) -> bool {
        self.has_dead_worker.load(Ordering::SeqCst)
    }

    /// A worker has died: the others end as well.
    pub(super) fn on_worker_death(&self) {
        self.has_dead_worker.store(true, Ordering::SeqCst);
        self.mailboxes.iter().for_each(|mailbox| mailbox.send(WorkerMessage::Shutdown(Micros(0))));
    }

    /// Whether there is another process of this gateway.
    pub(super) fn has_peer(&self) -> bool {
        self.has_peer.load(Ordering::SeqCst)
    }

    pub(super) fn set_has_peer(&self, has_peer: bool) {
        self.has_peer.store(has_peer, Ordering::SeqCst);
    }

    /// Whether the other process is the one that takes the clients.
    pub(super) fn has_successor(&self) -> bool {
        self.has_successor.load(Ordering::SeqCst)
    }

    pub(super) fn set_has_successor(&self, has_successor: bool) {
        self.has_successor.store(has_successor, Ordering::SeqCst);
    }
}
