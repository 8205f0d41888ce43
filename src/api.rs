//! The interface between the router and its caller: settings, ids, events and actions.
//!
//! All times and durations are whole microseconds. Log positions are times of the databases' clock: a
//! member at position `p` has applied every commit made up to `p`. [`crate::Router::new`] takes them for
//! points on the caller's clock, [`crate::Router::with_own_clock`] learns the offset between the two clocks.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

use crate::notice::Notice;

/// A point on the caller's clock, or a length of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// Whole milliseconds as microseconds.
    pub const fn millis(ms: u64) -> Self {
        Micros(ms * 1000)
    }

    /// The number of microseconds as a float, for estimates.
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }

    /// This length of time multiplied by a factor; never negative.
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
    /// A database member; the number has no meaning of its own.
    MemberId(u64);
    /// A group of members that hold the same data.
    GroupId(u64);
    /// A request, unique while the router lives.
    RequestId(u64);
    /// A client session.
    SessionKey(u64);
    /// Index of a class in [`Settings::classes`].
    ClassId(usize);
    /// Index of a tenant in [`Settings::tenants`].
    TenantId(usize);
    /// A zone, for comparison only.
    ZoneId(usize);
    /// The attempts of a request, counted from 0 in the order of their sends.
    AttemptNo(u32);
    /// A timer that the router asked for.
    TimerId(u64);
    /// Another gateway of the same deployment.
    PeerId(u64);
}

/// How recent the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A write: only the primary takes it.
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

/// Which members drop duplicates of a request that bears an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those in the zone of the first attempt's member.
    Zone,
    /// Those in the group of the first attempt's member.
    Group,
}

/// What executing a request twice does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The same as executing it once.
    Idempotent,
    /// A duplicate is dropped within the scope, for the window that begins with the first send.
    IdempotencyKey {
        /// Which members drop it.
        scope: DeduplicationScope,
        /// For how long.
        window: Micros,
    },
    /// It takes effect twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time counts with the full weight.
    pub latency_objective: Micros,
    /// The longest that a client waits, over all attempts.
    pub deadline: Micros,
    /// Weight of a request against those of other classes.
    pub priority_weight: f64,
    /// Part of the weight that an answer after the latency objective still has.
    pub late_weight: f64,
    /// Whether a request may be repeated.
    pub idempotency: Idempotency,
    /// How recent the data must be.
    pub consistency: Consistency,
}

/// A customer with a quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within the quota, over all gateways.
    pub quota_per_s: f64,
}

/// What a member does with a read that it lags too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaChecks {
    /// It answers from what it has.
    None,
    /// It rejects the read unexecuted, at once or after a short wait.
    Reject,
}

/// Who keeps the position of a session's last commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionTokens {
    /// The client: each request says how long ago the last commit was.
    Carried,
    /// The router, from the answers to the session's writes.
    Remembered,
}

/// What a class's weight applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightBasis {
    /// Each request, whatever it costs.
    #[default]
    Request,
    /// Each unit of the work that a request takes.
    Work,
}

/// A router's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, as a part of its usual weight.
    pub over_quota_weight: f64,
    /// What a class's weight applies to.
    pub weight_basis: WeightBasis,
    /// The router's own zone.
    pub zone: ZoneId,
    /// Number of gateways in the deployment, this one included.
    pub gateways: u32,
    /// Shortest time between two batches of events.
    pub tick: Micros,
    /// Endpoint lists come only after [`Action::Watch`].
    pub watch_required: bool,
    /// What members do with reads that they lag too far behind for.
    pub replica_checks: ReplicaChecks,
    /// Who keeps the position of a session's last commit.
    pub session_tokens: SessionTokens,
    /// Health checks are permitted.
    pub health_checks: bool,
    /// Cancels are permitted.
    pub cancels: bool,
    /// Messages to other gateways are permitted.
    pub peers: bool,
    /// Two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// Rejected clients are told when to come back.
    pub retry_after: bool,
    /// Clients mark a request that repeats an earlier one of theirs.
    pub clients_mark_retries: bool,
    /// The longest Retry-After that clients honour.
    pub max_retry_after: Micros,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Price of a health check, as a part of the service, for each request.
    pub health_check_price: f64,
    /// Price of an attempt that crosses zones, likewise.
    pub cross_zone_price: f64,
    /// Price of a connection that is opened, likewise.
    pub handshake_price: f64,
    /// Sends to a member must end this long after it is listed as draining or removed.
    pub drain_grace: Micros,
    /// A member that is removed from the list without having drained may still be sent to.
    pub removed_may_serve: bool,
    /// Connections are closed after this time without use.
    pub connection_idle_timeout: Micros,
    /// Least part of its capacity that a member has as its slow start begins.
    pub slow_start_initial: f64,
    /// Slow start ends after this time at the latest.
    pub slow_start_window: Micros,
    /// Sent more than this multiple of its present capacity...
    pub overload_multiple: f64,
    /// ...for this long, a member in slow start breaks down.
    pub overload_window: Micros,
}

impl Settings {
    /// The least bound on the age of data that a class has, if any has one.
    pub fn min_staleness_bound(&self) -> Option<Micros> {
        let bounds = self.classes.iter().filter_map(|class| match class.consistency {
            Consistency::BoundedStaleness(bound) => Some(bound),
            _ => None,
        });
        bounds.min()
    }

    /// The weight of a unit of work for a request of this class that takes so many units.
    pub fn weight_per_work(&self, class: ClassId, work: f64) -> f64 {
        let priority_weight = self.classes[class.0].priority_weight;
        match self.weight_basis {
            WeightBasis::Request => priority_weight / work,
            WeightBasis::Work => priority_weight,
        }
    }
}

/// A member's state in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes the requests that it has and takes no new ones.
    Draining,
    /// It has been removed.
    Removed,
}

/// A member as the endpoint list names it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The member.
    pub member: MemberId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state.
    pub state: EndpointState,
    /// Its capacity relative to that of others.
    pub weight: f64,
    /// Its latest start; zero if long ago.
    pub started: Micros,
    /// The list regards it as its group's primary.
    pub primary: bool,
}

/// What an update of the endpoint list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed endpoints only.
    Incremental,
    /// All endpoints; a member that is missing has been removed.
    Full,
    /// Nothing: the list could not be fetched.
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
    /// Position of the session's last commit, if the request carries one.
    pub committed: Option<Micros>,
    /// Its tenant, if there are tenants.
    pub tenant: Option<TenantId>,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// Time until the client gives up.
    pub time_left: Micros,
}

/// A member's role in its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows the primary's log.
    #[default]
    Replica,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// Served.
    Ok,
    /// The member failed; the request may have taken effect.
    Error,
    /// Rejected unexecuted: no capacity, or draining.
    Rejected,
    /// No answer in time; it may have been executed.
    Timeout,
    /// No connection; it was never executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// The answer could not be understood; it may have been executed.
    Malformed,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// Withdrawn for a reason of the caller's own, which says nothing about the member; it may have been
    /// executed.
    Withdrawn,
    /// Never sent.
    NotSent,
    /// Rejected unexecuted: the member has the wrong role or is too far behind.
    Unsuitable,
}

impl AttemptStatus {
    /// Whether it proves that the attempt had no effect.
    pub fn proves_not_executed(self) -> bool {
        use AttemptStatus::{ConnectFailed, NotSent, Rejected, Unsuitable};
        matches!(self, Rejected | ConnectFailed | NotSent | Unsuitable)
    }
}

/// What a member reported about itself some time ago.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthReport {
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
    /// The member that it was sent to.
    pub member: MemberId,
    /// How it ended.
    pub status: AttemptStatus,
    /// Time since it was sent.
    pub latency: Micros,
    /// The request has finished, by this attempt or earlier.
    pub finished: bool,
    /// The member's role as it answered.
    pub role: Option<Role>,
    /// The member's position, or for a served write the time of the commit.
    pub position: Option<Micros>,
    /// The member's health report, if one came with the answer.
    pub report: HealthReport,
}

/// An input of the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or a change to it.
    Endpoints {
        /// What it holds.
        update: EndpointUpdate,
        /// Its endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// A request has arrived.
    Request(Request),
    /// An answer has begun to stream to the client: the request has its final answer.
    Started {
        /// The request.
        request: RequestId,
    },
    /// An attempt has ended.
    Outcome(Outcome),
    /// The client has left: no answer is owed any more.
    ClientLeft(RequestId),
    /// A timer is due.
    Timer(TimerId),
    /// Operators took a member out of service, or put it back.
    SetAdministrativelyDown {
        /// The member.
        member: MemberId,
        /// Out of service, or back.
        down: bool,
    },
    /// A health check has ended.
    HealthChecked {
        /// The member.
        member: MemberId,
        /// How it ended.
        status: AttemptStatus,
        /// What the member reported.
        report: HealthReport,
    },
    /// Another gateway's message.
    Peer {
        /// Its sender.
        from: PeerId,
        /// Its text.
        text: String,
    },
}

/// An output of the router, for its caller to carry out.
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
    /// Final answer: rejected, and the client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// When to come back, if the client is to be told.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, and the request may or may not have taken effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Check a member's health.
    HealthCheck {
        /// The member.
        member: MemberId,
    },
    /// Close the idle connections to a member, so that the next send opens a new one.
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
    /// Ask for endpoint lists from here on.
    Watch,
    /// Send a message to every other gateway.
    Gossip {
        /// Its text, at most 256 bytes.
        text: String,
    },
    /// Something for the operators' log.
    Notice(Notice),
}
