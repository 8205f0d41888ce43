//! The messages between the workers of a gateway, each worker's mailbox, and the state that all workers share.
//!
//! Each group has one owning worker, which alone decides for it and holds its connections to hosts; each client has one
//! front worker, which may be another. A request is rejected if the mailbox of its worker is full. All other messages
//! are always accepted, since their receivers depend on them.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};

use dunemount_mailbox::{Mailbox, Wake};
use polling::Poller;

use super::connections::ConnectionId;
use crate::admin::metrics::Metrics;
use crate::balancer;
use crate::hot_restart::message::HostRole;
use crate::memory::{HeldBytes, MemoryBudget};
use crate::net::discovery::EndpointList;
use crate::pg::client::ProtocolHandover;
use crate::pg::codec::CancelKey;
use crate::pg::statement::Statement;
use crate::settings::{SiteSettings, Zones};
use crate::{GroupId, Micros, RequestId, SessionKey};

/// Largest number of requests in one worker's mailbox: some milliseconds of its work. A further request would have to
/// wait too long.
const MAX_QUEUED_REQUESTS: usize = 1024;

/// The client of a request: its connection and the worker that has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Owner {
    pub(super) worker: usize,
    pub(super) connection: ConnectionId,
}

/// How a client abandons its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Abandonment {
    /// It has closed its connection and needs no answer.
    Disconnected,
    /// It has cancelled the request and waits for the answer that confirms it.
    Cancelled,
}

/// The final answer to a client's request.
pub(super) enum FinalAnswer {
    /// The rows of the host's response, encoded for the client.
    Served(Vec<u8>),
    /// Rejected, with the time after which to retry if one is known.
    Rejected(Option<Micros>),
    Failed,
    /// Its client has cancelled it.
    Cancelled,
    /// It was never accepted, for this reason.
    Unroutable(String),
}

/// A commit of a session: the log position that its later reads must not be behind.
#[derive(Clone, Copy)]
pub(super) struct Commit {
    pub(super) group: GroupId,
    pub(super) session: SessionKey,
    pub(super) position: Micros,
}

/// A request on its way to the worker that owns its group.
pub(super) struct RequestMessage {
    pub(super) owner: Owner,
    /// Its client's socket, by which the owning worker sees that the client has disconnected. It is gone once the front
    /// worker has closed it.
    pub(super) client_socket: Weak<TcpStream>,
    pub(super) statement: Box<Statement>,
    /// When its client stops waiting.
    pub(super) deadline: Micros,
}

/// A request of another worker's client that this worker decides.
pub(super) struct RemoteRequest {
    pub(super) id: RequestId,
    pub(super) client_socket: Weak<TcpStream>,
}

/// A client on its way to the next process.
pub(super) struct ClientHandover {
    pub(super) socket: TcpStream,
    pub(super) has_queried: bool,
    pub(super) state: ProtocolHandover,
    /// The bytes of the message that will carry its input.
    pub(super) held: HeldBytes,
}

/// One worker's part of the snapshot for the next process.
pub(super) struct WorkerSnapshot {
    pub(super) balancer: balancer::Snapshot,
    /// The clients' ids of the requests in flight, with their deadlines.
    pub(super) in_flight: Vec<(String, Micros)>,
}

/// A message from one worker to another. The front worker has the client, the owning worker decides for the group, and
/// the first worker has the listener, discovery, the admin interface and the handover socket.
pub(super) enum WorkerMessage {
    /// To a front worker: a client to serve, and the earliest time at which it may have begun to wait to be accepted.
    Client { socket: TcpStream, waiting_since: Micros },
    /// To an owning worker: a request to decide.
    Request(RequestMessage),
    /// To the first worker: a request for an owning worker. It must not overtake messages of the other process.
    RelayRequest { worker: usize, request: RequestMessage },
    /// To an owning worker: the client has abandoned its request.
    Abandon(Owner, Abandonment),
    /// To the first worker: the client has abandoned a request that may have been relayed by the first worker.
    RelayAbandon { worker: usize, owner: Owner, how: Abandonment },
    /// To all: cancel the query of the client with this key, at whichever worker it is.
    Cancel(CancelKey),
    /// To an owning worker: the client of a streamed response is ready for more of it.
    ResumeStreaming(Owner),
    /// To a front worker: the final answer to a client's request.
    Answer(ConnectionId, FinalAnswer, HeldBytes),
    /// To a front worker: a chunk of a streamed response; the next one follows once it is written.
    Chunk { from: usize, client: ConnectionId, bytes: Vec<u8>, held: HeldBytes },
    /// To a front worker: close the connection of a client whose streamed response cannot be finished.
    AbortResponse(ConnectionId),
    /// To all: an endpoint list; `is_initial` for the one that was known at the start.
    Endpoints { listing: Box<EndpointList>, is_initial: bool },
    /// To all: new settings.
    Settings(Box<SiteSettings>, Zones),
    /// To all: an operator sets a host administratively down, or up again; `call` waits for all workers' replies.
    SetDown { host: String, down: bool, call: Option<ConnectionId> },
    /// To the first worker: this worker has applied the `SetDown` of this call.
    SetDownDone(ConnectionId),
    /// To all: send the metrics for this call.
    CollectMetrics(ConnectionId),
    /// To the first worker: one worker's metrics for this call.
    Metrics(ConnectionId, Box<Metrics>),
    /// To the first worker: a commit to send to the other process, before the answer, if there is one, goes out.
    PublishCommit { commit: Commit, answer: Option<(Owner, FinalAnswer)> },
    /// To an owning worker: a commit that the other process has reported.
    RecordCommit(Commit),
    /// To the first worker: roles that hosts have stated, for the other process.
    ShareRoles(Vec<HostRole>),
    /// To all: share the roles of all hosts with the other process.
    ShareAllRoles,
    /// To all: roles that hosts have stated to the other process.
    RecordRoles(Vec<HostRole>),
    /// To all: the other process has ended.
    PeerEnded,
    /// To all: send a snapshot for the next process.
    CollectSnapshot,
    /// To the first worker: one worker's snapshot.
    Snapshot(Box<WorkerSnapshot>),
    /// To the first worker: a client to hand over to the next process.
    HandOverClient(Box<ClientHandover>),
    /// To all: the number of processes that share the connections to hosts.
    ShareHostConnections(usize),
    /// To a front worker: close an idle client to make room for a new one.
    EvictClient,
    /// To all: the listener is closed, and all requests must be answered by this time.
    Shutdown(Micros),
}

impl FinalAnswer {
    /// Number of bytes that it carries.
    pub(super) fn bytes(&self) -> usize {
        match self {
            FinalAnswer::Served(rows) => rows.capacity(),
            FinalAnswer::Unroutable(why) => why.capacity(),
            FinalAnswer::Rejected(_) | FinalAnswer::Failed | FinalAnswer::Cancelled => 0,
        }
    }
}

impl WorkerMessage {
    /// The client that the message is about, whose connection is closed if handling the message panics. `this_worker`
    /// is the receiver.
    pub(super) fn owner(&self, this_worker: usize) -> Option<Owner> {
        match self {
            WorkerMessage::Request(request) | WorkerMessage::RelayRequest { request, .. } => {
                Some(request.owner)
            }
            WorkerMessage::PublishCommit { answer, .. } => answer.as_ref().map(|(owner, _)| *owner),
            WorkerMessage::Abandon(owner, _) | WorkerMessage::ResumeStreaming(owner) => Some(*owner),
            WorkerMessage::Answer(client, ..) | WorkerMessage::Chunk { client, .. } => {
                Some(Owner { worker: this_worker, connection: *client })
            }
            _ => None,
        }
    }
}

/// Wakes a worker that sleeps in its poller.
struct PollerWaker(Arc<Poller>);

impl Wake for PollerWaker {
    fn wake(&self) {
        // This fails only if the poller is broken, which its own worker detects too.
        let _ = self.0.notify();
    }
}

/// The mailboxes of all workers of a gateway, and the state that they share.
pub(super) struct Workers {
    /// The bytes that the buffers of all workers hold.
    pub(super) memory: Arc<MemoryBudget>,
    mailboxes: Vec<Mailbox<WorkerMessage, PollerWaker>>,
    /// Number of clients of each worker, including those that are on their way to it.
    client_counts: Vec<AtomicUsize>,
    /// A worker has failed. All others end, since a gateway must not serve only some of the groups.
    has_dead_worker: AtomicBool,
    /// There is another process of this gateway.
    has_peer: AtomicBool,
    /// The other process is the next one, which takes over the clients.
    has_successor: AtomicBool,
}

impl Workers {
    /// Creates the mailboxes of workers that sleep in these pollers, one poller each.
    pub(super) fn new(pollers: &[Arc<Poller>], memory: Arc<MemoryBudget>) -> Workers {
        let mailbox = |poller: &Arc<Poller>| Mailbox::new(MAX_QUEUED_REQUESTS, PollerWaker(poller.clone()));
        Workers {
            memory,
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

    /// Adds one client to a worker's count.
    pub(super) fn add_client(&self, worker: usize) {
        self.client_counts[worker].fetch_add(1, Ordering::Relaxed);
    }

    /// Subtracts one client from a worker's count.
    pub(super) fn remove_client(&self, worker: usize) {
        self.client_counts[worker].fetch_sub(1, Ordering::Relaxed);
    }

    /// Number of clients of all workers.
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

    /// Sends a worker a message, which is accepted even if its mailbox is full.
    pub(super) fn send(&self, to: usize, message: WorkerMessage) {
        self.mailboxes[to].send(message);
    }

    /// Sends a message to all workers except this one, even if their mailboxes are full.
    pub(super) fn send_to_others(&self, this_worker: usize, message: impl Fn() -> WorkerMessage) {
        for worker in (0..self.count()).filter(|worker| *worker != this_worker) {
            self.send(worker, message());
        }
    }

    /// Sends a worker a message unless its mailbox is full. Returns false if it is.
    #[must_use]
    pub(super) fn try_send(&self, to: usize, message: WorkerMessage) -> bool {
        self.mailboxes[to].try_send(message).is_ok()
    }

    /// Moves all messages in a worker's mailbox to the end of a queue.
    pub(super) fn receive(&self, worker: usize, into: &mut VecDeque<WorkerMessage>) {
        self.mailboxes[worker].drain_into(into);
    }

    /// Prepares a worker for sleep. False if its mailbox holds messages, so that it must not sleep.
    pub(super) fn may_sleep(&self, worker: usize) -> bool {
        self.count() == 1 || self.mailboxes[worker].prepare_sleep()
    }

    /// Whether a worker has failed.
    pub(super) fn has_dead_worker(&self) -> bool {
        self.has_dead_worker.load(Ordering::SeqCst)
    }

    /// Records that a worker has failed, and wakes the others so that they end.
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

    /// Whether the other process is the next one and takes over the clients.
    pub(super) fn has_successor(&self) -> bool {
        self.has_successor.load(Ordering::SeqCst)
    }

    pub(super) fn set_has_successor(&self, has_successor: bool) {
        self.has_successor.store(has_successor, Ordering::SeqCst);
    }
}
