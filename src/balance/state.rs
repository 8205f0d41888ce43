//! What the router keeps of members, families, open requests and attempts. Nothing is decided here.

use super::log_clock::{LogClock, ROUNDING};
use super::progress::PrimaryProgress;
use super::request_index::QueueEntry;
use crate::api::*;
use crate::notice::{LogTimeEvidence, PositionSource};

/// A member that may be probed: those whose connections broke first, then the one asked longest ago.
pub type HealthCheckCandidate = (bool, Micros, MemberId);

/// A family, and the place among its members where one choice begins to look.
pub type CandidateWindow = (GroupId, usize);

/// Members with their weights in a draw.
pub type WeightedMembers = Vec<(MemberId, f64)>;

/// A member as this router knows it.
#[derive(Default)]
pub struct Member {
    pub endpoint: Endpoint,
    /// Cold since then; zero when long ago.
    pub born: Micros,
    /// That is what the list tells; else it was seen to come back.
    pub born_by_list: bool,
    pub position: Option<Micros>,
    pub position_at: Micros,
    pub position_from: PositionSource,
    /// How far it is thought to be behind: from its last position, and from reads that it turned away.
    pub lag: Micros,
    pub role: Role,
    pub role_at: Micros,
    /// The position that it told along with its role, if it told one.
    pub role_position: Option<Micros>,
    /// What it last told as the primary.
    pub progress: PrimaryProgress,
    pub inflight: u32,
    /// Cost of the attempts in flight, in usual requests.
    pub load: f64,
    /// Cost of what failed at once, held against the member for as long as work would have taken.
    pub ghost: f64,
    /// Most cost in flight. Less than a request's is kept in time: pauses between requests.
    pub limit: f64,
    pub paused_until: Micros,
    /// Running mean of latency over its class's mean.
    pub stretch: f64,
    /// Running share of failures.
    pub fail: f64,
    /// Weight in the draw, before zone and load.
    pub weight: f64,
    /// Out by the operators' hand, whatever the list says.
    pub administratively_down: bool,
    /// The list calling it gone binds nobody: it has not drained since its start.
    pub unbound: bool,
    /// Connections refused or cut in a row since a request was last answered.
    pub breaks: u32,
    /// Since when, and whether one was cut, as by a process that died.
    pub broken: Option<(Micros, bool)>,
    /// It gave no word since an attempt that went without an answer was sent, and when it last gave one.
    pub silent: bool,
    pub heard_at: Micros,
    /// Out of the draw since then.
    pub ejected: Option<Micros>,
    pub probed_at: Micros,
    pub probing: bool,
    /// Last send or answer: since then its connections are idle.
    pub used_at: Micros,
    /// What a cold member may still be sent; starts at random below nothing, to spread the drivers.
    pub credit: f64,
}

impl Member {
    /// A member never heard of, with this limit and at least this weight.
    pub fn new(endpoint: Endpoint, role: Role, limit: f64, least: f64) -> Member {
        let weight = endpoint.weight.max(least);
        Member { endpoint, role, limit, weight, stretch: 1.0, ..Member::default() }
    }

    /// Whether a word on the role, said at this time and with this position, is later than the last one.
    /// Positions never go back, and answers may be heard in another order than they were given; they are
    /// rounded either way, and whoever hands over tells both roles at one position, the replica's last.
    fn role_is_later(&self, role: Role, at: Micros, position: Option<Micros>) -> bool {
        let rounding = Micros(ROUNDING as u64);
        match (position, self.role_position) {
            (Some(position), Some(last)) if role == Role::Primary && self.role == Role::Replica => {
                position > last + rounding
            }
            (Some(position), Some(last)) => position + rounding >= last,
            _ => at >= self.role_at,
        }
    }

    /// Takes in a word on the role if it is later than the last one. Whether it was.
    pub fn take_role(&mut self, role: Role, at: Micros, position: Option<Micros>) -> bool {
        let later = self.role_is_later(role, at, position);
        if later {
            (self.role, self.role_at, self.role_position) = (role, at.max(self.role_at), position);
        }
        later
    }

    /// Forgets what it told as a member of another family: the list has moved it.
    pub fn leave_family(&mut self, role: Role) {
        (self.position, self.position_from, self.lag) = (None, PositionSource::Unknown, Micros(0));
        (self.role, self.role_at, self.role_position) = (role, Micros(0), None);
        self.progress = PrimaryProgress::default();
    }

    /// Books that an attempt of this cost takes no room any more.
    pub fn release(&mut self, cost: f64) {
        self.inflight = self.inflight.saturating_sub(1);
        self.load = if self.inflight == 0 { 0.0 } else { (self.load - cost).max(0.0) };
    }
}

/// A family: its members and what counts for all of them.
#[derive(Default)]
pub struct Group {
    pub members: Vec<MemberId>,
    /// Cost served of late, over `Router::served_span`.
    pub served_cost: f64,
    /// Members listed as ready.
    pub live_members: f64,
    /// What is proved of the log's time.
    pub log_clock: LogClock,
    /// The answer that last proved something of it.
    pub evidence: Option<LogTimeEvidence>,
    /// The latest commit whose session was forgotten: a member that joins later may not have it yet.
    pub forgotten_commit: Micros,
    /// The latest claim to be the primary that nothing newer disproved.
    pub primary: Option<MemberId>,
    pub refreshed_at: Micros,
    /// Running share of requests that were given up before anybody was sent them.
    pub queue_drop_rate: f64,
}

/// A request that awaits its final answer.
#[derive(Default)]
pub struct Open {
    pub req: Request,
    pub arrived: Micros,
    pub deadline: Micros,
    /// Most attempts, as the settings had it when it arrived.
    pub most: u32,
    /// After this an answer is worth nothing.
    pub give_up: Micros,
    /// When it ends, as it was booked, and where it waits.
    pub end: Micros,
    pub queue_entry: Option<QueueEntry>,
    pub attempts: u32,
    pub out: Vec<(AttemptNo, MemberId)>,
    /// Send time of the first attempt that may have run.
    pub ran: Option<Micros>,
    /// An attempt ended without proof that it did not run.
    pub unproven: bool,
    pub errors: u32,
    pub avoid: Vec<MemberId>,
}

impl Open {
    /// Whether every attempt so far is proved not to have run.
    pub fn unrun(&self) -> bool {
        self.out.is_empty() && !self.unproven
    }
}

/// An attempt that is out.
pub struct Attempt {
    pub class: ClassId,
    pub group: GroupId,
    pub session: Option<SessionKey>,
    /// When it was sent.
    pub sent: Micros,
    /// Its client marked the request as a repeat.
    pub repeat: bool,
    /// For how long the connection had been idle, as far as that matters.
    pub idle: Option<Micros>,
    /// Position that its answer must show.
    pub needed: Micros,
    pub cost: f64,
    pub load: f64,
    /// Its answer flows: the member has done the work and has room again.
    pub flows: bool,
}
