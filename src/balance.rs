//! The router: the state of the decision module and the dispatch of its events. Its types, events and actions
//! are in `src/api.rs`; each module below makes one kind of decision.
//!
//! The usual case: a read goes to a replica whose last known log position covers the read's session token or
//! staleness bound, drawn at random by weight and load, the primary excluded. If there is no such replica,
//! the read goes to the primary.
//!
//! Inputs of decisions: [`member`] and [`group`] hold the reported state, [`log_time`] and
//! [`class_latencies`] the estimates. A request arrives in [`queue`], [`choice`] selects its member by
//! [`capacity`] and [`positions`], [`attempts`] sends it, [`write_check`] checks it once more when it is
//! written, [`outcomes`] processes the end of each attempt, and [`final_answer`] ends a request that is not
//! served. [`membership`] follows the endpoint list and the
//! roles; [`housekeeping`] and [`health_checks`] do the periodic work.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxBuildHasher;

use crate::api::*;
use crate::notice::Notice;

mod attempts;
mod capacity;
mod choice;
mod class_latencies;
mod final_answer;
mod group;
mod health_checks;
mod housekeeping;
mod idle_connections;
mod log_clock;
mod log_time;
mod log_time_evidence;
mod member;
mod membership;
mod open_request;
mod outcomes;
mod positions;
mod progress;
mod queue;
pub(crate) mod random;
mod request_index;
mod role_confirmation;
mod sessions;
mod snapshot;
mod snapshot_conversion;
mod snapshot_format;
mod unread_answers;
mod write_check;

use capacity::limit_share;
use choice::WeightedMembers;
use class_latencies::ClassLatencies;
use group::Group;
use health_checks::HealthCheckCandidate;
use housekeeping::{RefreshProgress, HEALTH_CHECK_BURST, SWEEP_TIMER};
use idle_connections::IdleConnections;
use log_time::LogTime;
use member::Member;
use open_request::{Attempt, OpenRequest};
use request_index::RequestIndex;
use sessions::Sessions;
pub use snapshot::Snapshot;

type Actions = Vec<Action>;

/// Makes the decisions of one gateway.
pub struct Router {
    settings: Settings,
    rng: Pcg64Mcg,
    members: IndexMap<MemberId, Member, FxBuildHasher>,
    groups: IndexMap<GroupId, Group, FxBuildHasher>,
    /// Removed members that were replicas by their own word, or may have been: a list that names one of them
    /// as the primary is out of date. At most one entry for each host that was ever listed.
    former_replicas: BTreeSet<MemberId>,
    /// There is another process of this gateway, in a hot restart.
    has_other_process: bool,
    /// Members that operators have taken out of service, whether listed or not.
    administratively_down: BTreeSet<MemberId>,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    attempts: BTreeMap<(RequestId, AttemptNo), Attempt>,
    request_index: RequestIndex,
    sessions: Sessions,
    /// Buffer for the members of a draw, reused to avoid an allocation per draw.
    weighted_scratch: WeightedMembers,
    /// This gateway's fraction of the usual concurrency limits, see [`limit_share`].
    limit_share: f64,
    latencies: ClassLatencies,
    idle_connections: IdleConnections,
    /// When the latest refresh of members started.
    refreshed_at: Micros,
    /// The refresh in progress, if there is one.
    refresh: Option<RefreshProgress>,
    /// The first members to check, among those that the refresh in progress has visited.
    due_health_checks: Vec<HealthCheckCandidate>,
    /// Number of health checks that refreshes may start; each request adds a fraction of one.
    health_check_tokens: f64,
    /// The last group whose queue the previous sweep retried, if it did not reach all waiting groups.
    last_retried_group: Option<GroupId>,
    /// When the next sweep is due; zero before the first. A timer that fires earlier is stale.
    next_sweep: Micros,
    /// Time over which the groups' served cost was accumulated, in microseconds. Both decay with a half-life
    /// of two slow-start windows, so that they reach back further than a slow start.
    served_span: f64,
    log_time: LogTime,
    /// When a primary's health was last checked to learn the log's time.
    log_time_checked_at: Micros,
    /// Notices of the event in progress, emitted at its end.
    notices: Vec<Notice>,
    /// Notices about single requests are emitted as well.
    request_tracing: bool,
}

impl Router {
    /// A router without members or groups; its random draws derive from `seed`.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Router {
            latencies: ClassLatencies::new(&settings.classes),
            idle_connections: IdleConnections::new(settings.connection_idle_timeout),
            limit_share: limit_share(&settings),
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            members: IndexMap::default(),
            groups: IndexMap::default(),
            former_replicas: BTreeSet::new(),
            has_other_process: false,
            administratively_down: BTreeSet::new(),
            open_requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            request_index: RequestIndex::default(),
            sessions: Sessions::default(),
            weighted_scratch: Vec::new(),
            refreshed_at: Micros(0),
            refresh: None,
            due_health_checks: Vec::new(),
            last_retried_group: None,
            next_sweep: Micros(0),
            health_check_tokens: HEALTH_CHECK_BURST,
            served_span: 0.0,
            log_time: LogTime::new(true),
            log_time_checked_at: Micros(0),
            notices: Vec::new(),
            request_tracing: false,
        }
    }

    /// A router whose clock is not the log's: it learns the offset from the answers of primaries.
    pub fn with_own_clock(settings: Settings, seed: u64) -> Self {
        Router { log_time: LogTime::new(false), ..Router::new(settings, seed) }
    }

    /// From now on, notices about single requests are emitted as well.
    pub fn enable_request_tracing(&mut self) {
        self.request_tracing = true;
    }

    /// The longest deadline of any class in the settings.
    pub fn longest_deadline(&self) -> Micros {
        self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Continues with new settings. The class of every open request must keep its index in them.
    pub fn update_settings(&mut self, settings: Settings) {
        self.latencies.update_classes(&self.settings.classes, &settings.classes);
        self.limit_share = limit_share(&settings);
        if self.settings.replica_checks == ReplicaChecks::Reject
            && settings.replica_checks == ReplicaChecks::None
        {
            // Positions inferred from reads that members checked are not valid once members do not check.
            self.members.values_mut().for_each(|member| member.log.forget_position());
        }
        self.settings = settings;
        let period = self.sweep_period();
        for (id, open) in &mut self.open_requests {
            let end = open.give_up_at.min(open.deadline - period);
            self.request_index.close(*id, std::mem::replace(&mut open.ends_at, end), None);
            self.request_index.open(*id, end);
        }
    }

    /// Handles one event at `now` and appends the actions that the caller must perform, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if self.next_sweep == Micros(0) {
            self.refreshed_at = now;
            if self.settings.watch_required {
                actions.push(Action::Watch);
            }
            self.sweep(now, actions);
        }
        match event {
            Event::Endpoints { update: kind, endpoints: entries } => {
                self.endpoints_updated(now, kind, entries, actions);
            }
            Event::Request(req) => self.request_arrived(now, req, actions),
            Event::Started { request } => self.response_started(now, request, actions),
            Event::Outcome(outcome) => self.attempt_ended(now, outcome, actions),
            Event::ClientLeft(id) => self.close(id),
            Event::SetAdministrativelyDown { member, down } => {
                self.set_administratively_down(now, member, down, actions);
            }
            Event::Timer(SWEEP_TIMER) if now >= self.next_sweep => self.sweep(now, actions),
            Event::Timer(_) | Event::Peer { .. } => {}
            Event::HealthChecked { member, status, report } => {
                self.health_checked(now, member, status, report, actions);
            }
            Event::RoleStatedElsewhere { member, stated } => {
                self.role_stated_elsewhere(now, member, stated, actions);
            }
            Event::LateAnswer { member, answer } => self.late_answer_read(now, member, answer, actions),
        }
        actions.extend(self.notices.drain(..).map(Action::Notice));
    }

    /// Emits a notice at the end of the event in progress. A router whose clock is the log's emits none: its
    /// caller keeps its own record.
    fn notify(&mut self, notice: Notice) {
        if !self.log_time.is_same_clock() {
            self.notices.push(notice);
        }
    }
}
