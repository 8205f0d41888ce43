//! The interface between the router and its caller: settings, ids, events and actions.
//!
//! All times and durations are whole microseconds. Log positions are times of the databases' clock: a
//! member at position `p` has applied every commit made up to `p`. [`crate::Router::new`] treats positions as
//! points on the caller's clock; [`crate::Router::with_own_clock`] learns the offset between the two clocks.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

use crate::notice::Notice;

/// A point on the caller's clock, a log position, or a length of time, in microseconds.
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
    /// A request; the id is unique during the lifetime of the router.
    RequestId(u64);
    /// A client session.
    SessionKey(u64);
    /// Index of a class in [`Settings::classes`].
    ClassId(usize);
    /// Index of a tenant in [`Settings::tenants`].
    TenantId(usize);
    /// A zone, for comparison only.
    ZoneId(usize);
    /// An attempt of a request, counted from 0 in the order of sending.
    AttemptNo(u32);
    /// A timer that the router asked for.
    TimerId(u64);
    /// Another gateway of the same deployment.
    PeerId(u64);
}

/// How recent the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A write: only the primary accepts it.
    Write,
    /// The answer reflects every commit before the request's arrival.
    Strong,
    /// The answer reflects every earlier commit of the request's session.
    Session,
    /// The data is no older than this when the request is sent.
    BoundedStaleness(Micros),
    /// Data of any age: every member may answer.
    Eventual,
}

/// Which members drop duplicates of a request that has an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All members.
    All,
    /// The members in the zone of the first attempt's member.
    Zone,
    /// The members in the group of the first attempt's member.
    Group,
}

/// The effect of executing a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The same as executing it once.
    Idempotent,
    /// A duplicate is dropped within the scope, for the window that begins with the first send.
    IdempotencyKey {
        /// Which members drop the duplicate.
        scope: DeduplicationScope,
        /// How long after the first send duplicates are dropped.
        window: Micros,
    },
    /// It takes effect twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time counts with its full weight.
    pub latency_objective: Micros,
    /// How long a client waits at most, over all attempts.
    pub deadline: Micros,
    /// Weight of a request relative to those of other classes.
    pub priority_weight: f64,
    /// Fraction of its weight that an answer keeps after the latency objective has passed.
    pub late_weight: f64,
    /// Whether a request may be sent more than once.
    pub idempotency: Idempotency,
    /// How recent the data must be.
    pub consistency: Consistency,
}

/// A customer with a quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within the quota, over all gateways.
    pub quota_per_s: f64,
}

/// How a member handles a read that needs a later position than it has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaChecks {
    /// It answers from the data that it has.
    None,
    /// It rejects the read without executing it, at once or after a short wait.
    Reject,
}

/// Where the position of a session's last commit is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionTokens {
    /// By the client: each request carries it in [`Request::committed`].
    Carried,
    /// By the router, which learns it from the answers to the session's writes.
    Remembered,
}

/// What a class's weight applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightBasis {
    /// Each request, whatever its cost.
    #[default]
    Request,
    /// Each unit of work that a request takes.
    Work,
}

/// A router's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, as a fraction of its usual weight.
    pub over_quota_weight: f64,
    /// What a class's weight applies to.
    pub weight_basis: WeightBasis,
    /// The router's own zone.
    pub zone: ZoneId,
    /// Number of gateways in the deployment, this one included.
    pub gateways: u32,
    /// Shortest time between two batches of events.
    pub tick: Micros,
    /// Endpoint lists are sent only after an [`Action::Watch`].
    pub watch_required: bool,
    /// How members handle reads that need a later position than they have applied.
    pub replica_checks: ReplicaChecks,
    /// Where the position of a session's last commit is kept.
    pub session_tokens: SessionTokens,
    /// Health checks are permitted.
    pub health_checks: bool,
    /// Cancelling an attempt is permitted.
    pub cancels: bool,
    /// Messages to other gateways are permitted.
    pub peers: bool,
    /// Two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// A rejection tells the client when to retry.
    pub retry_after: bool,
    /// Clients mark a request that repeats one of their earlier requests.
    pub clients_mark_retries: bool,
    /// The longest Retry-After that clients honour.
    pub max_retry_after: Micros,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Cost of a health check, as a fraction of the service, for each request.
    pub health_check_price: f64,
    /// Cost of an attempt that crosses zones, in the same unit.
    pub cross_zone_price: f64,
    /// Cost of opening a connection, in the same unit.
    pub handshake_price: f64,
    /// Sending to a member must end within this time after it is listed as draining or removed.
    pub drain_grace: Micros,
    /// A member that is removed from the list without having drained may still be sent requests.
    pub removed_may_serve: bool,
    /// Connections are closed after this time without use.
    pub connection_idle_timeout: Micros,
    /// Minimum fraction of its capacity that a member has when its slow start begins.
    pub slow_start_initial: f64,
    /// Slow start ends after this time at the latest.
    pub slow_start_window: Micros,
    /// A member in slow start fails if it is sent more than this multiple of its present capacity for
    /// `overload_window`.
    pub overload_multiple: f64,
    /// How long a member in slow start withstands more than `overload_multiple`.
    pub overload_window: Micros,
}

impl Settings {
    /// The smallest staleness bound of all classes, if any class has one.
    pub fn min_staleness_bound(&self) -> Option<Micros> {
        let bounds = self.classes.iter().filter_map(|class| match class.consistency {
            Consistency::BoundedStaleness(bound) => Some(bound),
            _ => None,
        });
        bounds.min()
    }

    /// The weight per unit of work, for a request of this class that takes `work` units.
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
    /// It accepts requests.
    #[default]
    Ready,
    /// It finishes the requests that it has and accepts no new ones.
    Draining,
    /// It has been removed.
    Removed,
}

/// A member's entry in the endpoint list.
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
    /// Its capacity relative to that of other members.
    pub weight: f64,
    /// When it was last started, in log time; zero if long ago.
    pub started: Micros,
    /// Whether the list names it as its group's primary.
    pub primary: bool,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed endpoints only.
    Incremental,
    /// All endpoints; a member that is missing has been removed.
    Full,
    /// No endpoints: the list could not be fetched.
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
    /// The client marked it as a repeat of an earlier request.
    pub repeat: bool,
    /// Time until the client gives up.
    pub time_left: Micros,
}

/// A member's role in its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes.
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
    /// Rejected without being executed: the member has no capacity or is draining.
    Rejected,
    /// No answer in time; it may have been executed.
    Timeout,
    /// No connection, or it broke before the request was completely sent; it was never executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// The answer could not be understood; it may have been executed.
    Malformed,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// Withdrawn by the caller for a reason that does not concern the member; it may have been executed.
    Withdrawn,
    /// Not sent, or not completely; it was never executed.
    NotSent,
    /// Rejected without being executed: the member has the wrong role or lags too far behind.
    Unsuitable,
}

impl AttemptStatus {
    /// Whether this status proves that the attempt was not executed.
    pub fn proves_not_executed(self) -> bool {
        use AttemptStatus::{ConnectFailed, NotSent, Rejected, Unsuitable};
        matches!(self, Rejected | ConnectFailed | NotSent | Unsuitable)
    }
}

/// What a member reported about itself some time ago.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthReport {
    /// Its log position at that time.
    pub position: Option<Micros>,
    /// Its role at that time.
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
    /// The request has finished, with this attempt or earlier.
    pub finished: bool,
    /// The member's role when it answered.
    pub role: Option<Role>,
    /// The member's log position; for a served write, the position of its commit.
    pub position: Option<Micros>,
    /// The member's health report; its fields are `None` unless the answer contained one.
    pub report: HealthReport,
}

/// An input of the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or a change to it.
    Endpoints {
        /// What it contains.
        update: EndpointUpdate,
        /// The endpoints in it.
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
    /// The client has disconnected: the request needs no answer any more.
    ClientLeft(RequestId),
    /// A timer is due.
    Timer(TimerId),
    /// Operators took a member out of service, or put it back into service.
    SetAdministrativelyDown {
        /// The member.
        member: MemberId,
        /// `true` for out of service, `false` for back in service.
        down: bool,
    },
    /// A health check has ended.
    HealthChecked {
        /// The member.
        member: MemberId,
        /// How the health check ended.
        status: AttemptStatus,
        /// What the member reported.
        report: HealthReport,
    },
    /// An answer was read whose attempt or health check had been abandoned.
    LateAnswer {
        /// The member.
        member: MemberId,
        /// What it tells.
        answer: LateAnswer,
    },
    /// A member has stated its role to another process of this gateway.
    RoleStatedElsewhere {
        /// The member.
        member: MemberId,
        /// Its role.
        stated: StatedRole,
    },
    /// Another gateway's message.
    Peer {
        /// The gateway that sent it.
        from: PeerId,
        /// Its text.
        text: String,
    },
}

/// A role that a member has stated in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedRole {
    /// The role.
    pub role: Role,
    /// When the answer was read.
    pub at: Micros,
    /// The log position in the answer, if it had one.
    pub position: Option<Micros>,
}

/// What an answer tells that was read after its attempt or health check had been abandoned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LateAnswer {
    /// When the request was sent.
    pub sent: Micros,
    /// The member's role, if the answer states it.
    pub role: Option<Role>,
    /// The member's log position, or the commit of a write, if the answer states it.
    pub position: Option<Micros>,
}

/// An output of the router, for its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The member to send it to.
        member: MemberId,
        /// How long to wait for an answer; `None` waits until the client gives up.
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
        /// How long the client should wait before it retries, if the rejection is to say so.
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
        /// The earliest time at which it is due.
        at: Micros,
    },
    /// Subscribe to endpoint lists.
    Watch,
    /// Send a message to every other gateway.
    Gossip {
        /// Its text, at most 256 bytes.
        text: String,
    },
    /// An event to be logged for operators.
    Notice(Notice),
}
