//! Types that pass between a driver and the router: settings, ids, events and actions.
//!
//! All times and durations are whole microseconds. Log positions are times of the databases' clock: a
//! member at position `p` has applied every commit made up to `p`. [`crate::Router::new`] takes them for
//! points on the driver's clock, [`crate::Router::with_own_clock`] learns how the two clocks stand.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

use crate::notice::Notice;

/// A point on the driver's clock, or a length of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// Whole milliseconds as microseconds.
    pub const fn millis(ms: u64) -> Self {
        Micros(ms * 1000)
    }

    /// The figure as a float, for estimates.
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }

    /// This length of time times a factor; never negative.
    pub fn scale(self, factor: f64) -> Self {
        Micros((self.0 as f64 * factor).max(0.0) as u64)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

/// Subtraction stops at zero.
impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty);)*) => {$(
        #[$doc]
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A database member; the number means nothing.
    MemberId(u64);
    /// A group of members that hold the same data.
    GroupId(u64);
    /// A request, unique while the router lives.
    RequestId(u64);
    /// A client session.
    SessionKey(u64);
    /// Place of a class in [`Settings::classes`].
    ClassId(usize);
    /// Place of a tenant in [`Settings::tenants`].
    TenantId(usize);
    /// A zone, for comparison only.
    ZoneId(usize);
    /// The attempts of a request, counted from 0 in the order of their sends.
    AttemptNo(u32);
    /// A timer that the router asked for.
    TimerId(u64);
    /// Another driver of the same deployment.
    PeerId(u64);
}

/// How recent the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Only the primary takes it.
    Write,
    /// Every commit before the request's arrival.
    Strong,
    /// Every commit of the request's session.
    Session,
    /// Data no older than this when the request is sent.
    BoundedStaleness(Micros),
    /// Any member will do.
    Eventual,
}

/// Which members drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those in the zone of the member that was tried first.
    Zone,
    /// Those in the group of the member that was tried first.
    Group,
}

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat is harmless.
    Idempotent,
    /// A repeat is dropped within the scope, for the window from the first send on.
    IdempotencyKey {
        /// Who drops it.
        scope: DeduplicationScope,
        /// For how long.
        window: Micros,
    },
    /// A repeat would take effect twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time has its full worth.
    pub latency_objective: Micros,
    /// The longest that a client waits, over all its tries.
    pub deadline: Micros,
    /// Worth of a request.
    pub priority_weight: f64,
    /// Share of the worth that an answer after the aim still has.
    pub late_weight: f64,
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// How recent the data must be.
    pub consistency: Consistency,
}

/// A customer with a share of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its share, over all drivers.
    pub quota_per_s: f64,
}

/// What a member does with a read that it lags too far for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaChecks {
    /// It answers from what it has.
    None,
    /// It turns the read away untouched, at once or after waiting a little.
    Reject,
}

/// Who tells what a session has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionTokens {
    /// The request says how long ago the last commit was.
    Carried,
    /// The router remembers the commits whose answers it saw.
    Remembered,
}

/// What the worth of a class counts for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightBasis {
    /// Each request, whatever it costs.
    #[default]
    Request,
    /// Each unit of the work that a request takes.
    Work,
}

/// Everything a router is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of its usual worth.
    pub over_quota_weight: f64,
    /// What a class's worth is the worth of.
    pub weight_basis: WeightBasis,
    /// The router's own zone.
    pub zone: ZoneId,
    /// Number of drivers in the deployment, this one included.
    pub gateways: u32,
    /// Shortest time between two batches of events.
    pub tick: Micros,
    /// Member lists come only after [`Action::Watch`].
    pub watch_required: bool,
    /// What members do with reads that they lag too far for.
    pub replica_checks: ReplicaChecks,
    /// Who tells what a session has written.
    pub session_tokens: SessionTokens,
    /// Probes are permitted.
    pub health_checks: bool,
    /// Cancels are permitted.
    pub cancels: bool,
    /// Messages to other drivers are permitted.
    pub peers: bool,
    /// Two attempts of a request may be out at once.
    pub hedging: bool,
    /// Refused clients are told when to come back.
    pub retry_after: bool,
    /// Clients mark a request that repeats another of theirs.
    pub clients_mark_retries: bool,
    /// The longest advice that clients honour.
    pub max_retry_after: Micros,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Price of a probe, in parts of the service, for each request.
    pub health_check_price: f64,
    /// Price of an attempt that crosses zones, likewise.
    pub cross_zone_price: f64,
    /// Price of a connection that is opened, likewise.
    pub handshake_price: f64,
    /// Sends to a member must end this long after word that it drains or is gone.
    pub drain_grace: Micros,
    /// Only word that a member drains binds; one that is called gone without it may be sent to.
    pub removed_may_serve: bool,
    /// Connections are closed after this time without use.
    pub connection_idle_timeout: Micros,
    /// A member starts at this share of its capacity or more.
    pub slow_start_initial: f64,
    /// And is warm after this time at the latest.
    pub slow_start_window: Micros,
    /// Sent more than this multiple of its present capacity...
    pub overload_multiple: f64,
    /// ...for this long, a cold member falls over.
    pub overload_window: Micros,
}

impl Settings {
    /// What a unit of work is worth that goes into a request of this class, of which one takes so much.
    pub fn weight_per_work(&self, class: ClassId, work: f64) -> f64 {
        let priority_weight = self.classes[class.0].priority_weight;
        match self.weight_basis {
            WeightBasis::Request => priority_weight / work,
            WeightBasis::Work => priority_weight,
        }
    }
}

/// What the list says of a member's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listed {
    /// It takes work.
    #[default]
    Ready,
    /// It finishes its work and takes nothing new.
    Draining,
    /// It has been removed.
    Gone,
}

/// A line of a member list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Entry {
    /// The member.
    pub member: MemberId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state.
    pub listed: Listed,
    /// Its size against that of others.
    pub weight: f64,
    /// Its latest start; zero if long ago.
    pub started: Micros,
    /// The list regards it as its group's primary.
    pub primary: bool,
}

/// What a member list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// All members; who is missing has been removed.
    Full,
    /// The list could not be had.
    Failed,
}

/// A client's request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its group.
    pub group: GroupId,
    /// Its session, if it has one.
    pub session: Option<SessionKey>,
    /// Position of the session's last commit, if one is carried.
    pub committed: Option<Micros>,
    /// Its tenant, if there are tenants.
    pub tenant: Option<TenantId>,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// Time until the client gives up.
    pub time_left: Micros,
}

/// A member's part in its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows the primary's log.
    #[default]
    Replica,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The member failed; an effect may have occurred.
    Error,
    /// Turned away unseen: no room, or draining.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// What came back is no answer; it may have run.
    Spoilt,
    /// Called off; it may have run.
    Cancelled,
    /// Taken back for a cause of the driver's own, which says nothing of the member; it may have run.
    Withdrawn,
    /// Never sent.
    Moot,
    /// Turned away untouched: wrong role, or too far behind.
    Miss,
}

impl Status {
    /// Whether it proves that the attempt had no effect.
    pub fn proves_unrun(self) -> bool {
        matches!(self, Status::Full | Status::ConnectFailed | Status::Moot | Status::Miss)
    }
}

/// What a member said of itself some time ago.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Its log position then.
    pub position: Option<Micros>,
    /// Its role then.
    pub role: Option<Role>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The member tried.
    pub member: MemberId,
    /// How it ended.
    pub status: Status,
    /// Time since it was sent.
    pub latency: Micros,
    /// The request has finished, by this or earlier.
    pub finished: bool,
    /// The member's role as it answered.
    pub role: Option<Role>,
    /// Its position, or for a served write the time of the commit.
    pub position: Option<Micros>,
    /// The member's report, if one came along.
    pub report: Report,
}

/// What a driver tells the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// A member list, or a change to it.
    Members {
        /// What it holds.
        kind: ListKind,
        /// Its lines.
        entries: Vec<Entry>,
    },
    /// A request has arrived.
    Request(Request),
    /// A streamed answer has started: the request now belongs to the client.
    Started {
        /// The request.
        request: RequestId,
    },
    /// An attempt has ended.
    Outcome(Outcome),
    /// The client has left; nothing is owed any more.
    Gone(RequestId),
    /// A timer is due.
    Timer(TimerId),
    /// Operators put a member down, or back up.
    SetDown {
        /// The member.
        member: MemberId,
        /// Down, or up.
        down: bool,
    },
    /// A probe has ended.
    HealthChecked {
        /// The member probed.
        member: MemberId,
        /// How it ended.
        status: Status,
        /// What the member said.
        report: Report,
    },
    /// Another driver's message.
    Peer {
        /// Its sender.
        from: PeerId,
        /// Its text.
        text: String,
    },
}

/// What the router asks of a driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        member: MemberId,
        /// How long to wait; `None` waits until the client gives up.
        timeout: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer: refused, and a further try is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// When to come back, if there is advice.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, with no word on its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Check a member's health and log position.
    HealthCheck {
        /// The member.
        member: MemberId,
    },
    /// Close the connections to a member that carry nothing, so that the next send opens a new one.
    CloseIdle {
        /// The member.
        member: MemberId,
    },
    /// Send an [`Event::Timer`] at or after this time.
    SetTimer {
        /// The timer.
        timer: TimerId,
        /// When.
        at: Micros,
    },
    /// Ask for member lists from here on.
    Watch,
    /// Send a message to every other driver.
    TellPeers {
        /// Its text, at most 256 bytes.
        text: String,
    },
    /// Something for the operators' log.
    Notice(Notice),
}
