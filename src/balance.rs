//! The router: the decision module's state, and the way of an event through it. Its types, events and actions
//! are in `src/api.rs`; each module below makes one kind of decision.
//!
//! The ordinary path: a read goes to a replica whose last known log position covers the read's token or
//! bound, drawn by weight and load with the primary left out; otherwise to the primary.
//!
//! Inputs of decisions: [`member`] and [`group`] hold what is known, [`log_time`] and [`class_latencies`]
//! what is estimated. A request arrives in [`queue`], [`choice`] picks its member by [`capacity`] and
//! [`positions`], [`attempts`] sends it, [`outcomes`] takes its end in, and [`final_answer`] ends it
//! unserved. [`membership`] follows the endpoint list and the roles, [`housekeeping`] and [`health_checks`]
//! what is due in time.

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
mod sessions;
mod snapshot;
mod snapshot_conversion;
mod snapshot_format;

use capacity::limit_share;
use choice::WeightedMembers;
use class_latencies::ClassLatencies;
use group::Group;
use health_checks::HealthCheckCandidate;
use housekeeping::{RefreshProgress, HEALTH_CHECK_BURST, SWEEP};
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
    /// Members that operators have taken out of service, in the list or not.
    administratively_down: BTreeSet<MemberId>,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    attempts: BTreeMap<(RequestId, AttemptNo), Attempt>,
    request_index: RequestIndex,
    sessions: Sessions,
    /// Memory for the members of a draw, kept between draws.
    weighted_scratch: WeightedMembers,
    /// Part of the usual limits that one of so many gateways has.
    limit_share: f64,
    latencies: ClassLatencies,
    idle_connections: IdleConnections,
    /// When the latest refresh of members began.
    refreshed_at: Micros,
    /// The refresh under way, if there is one.
    refresh: Option<RefreshProgress>,
    /// Members to be checked first, of those that the refresh under way has seen.
    due_health_checks: Vec<HealthCheckCandidate>,
    /// Health checks that the requests so far have paid for.
    health_check_tokens: f64,
    /// The group that was retried last, where not all had their turn.
    last_retried: Option<GroupId>,
    /// When the next sweep is due, zero before the first; a timer that ends before is stale.
    next_sweep: Micros,
    /// Time over which the groups' served cost counts, in microseconds: longer than a slow start.
    served_span: f64,
    log_time: LogTime,
    /// When a primary was last checked for the time of its log.
    log_time_checked_at: Micros,
    /// Notices of the event under way, for its end.
    notices: Vec<Notice>,
    /// Single requests are traced: there are notices of them as well.
    request_tracing: bool,
}

impl Router {
    /// A router that knows nothing but its settings; `seed` feeds its draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Router {
            latencies: ClassLatencies::new(&settings.classes),
            idle_connections: IdleConnections::new(settings.connection_idle_timeout),
            limit_share: limit_share(&settings),
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            members: IndexMap::default(),
            groups: IndexMap::default(),
            administratively_down: BTreeSet::new(),
            open_requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            request_index: RequestIndex::default(),
            sessions: Sessions::default(),
            weighted_scratch: Vec::new(),
            refreshed_at: Micros(0),
            refresh: None,
            due_health_checks: Vec::new(),
            last_retried: None,
            next_sweep: Micros(0),
            health_check_tokens: HEALTH_CHECK_BURST,
            served_span: 0.0,
            log_time: LogTime::new(true),
            log_time_checked_at: Micros(0),
            notices: Vec::new(),
            request_tracing: false,
        }
    }

    /// A router whose clock is its own: the offset of the log's time is learned from what primaries answer.
    pub fn with_own_clock(settings: Settings, seed: u64) -> Self {
        Router { log_time: LogTime::new(false), ..Router::new(settings, seed) }
    }

    /// Gives notice of single requests as well from now on.
    pub fn enable_request_tracing(&mut self) {
        self.request_tracing = true;
    }

    /// The longest that any client waits, by the settings.
    pub fn longest_deadline(&self) -> Micros {
        self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Goes on under new settings. Their classes stand at the old places wherever a request is open.
    pub fn update_settings(&mut self, settings: Settings) {
        self.latencies.retune(&self.settings.classes, &settings.classes);
        self.limit_share = limit_share(&settings);
        if self.settings.replica_checks == ReplicaChecks::Reject
            && settings.replica_checks == ReplicaChecks::None
        {
            // What a member that checked reads has served shows no position that counts where none checks.
            self.members.values_mut().for_each(|member| member.log.forget_position());
        }
        self.settings = settings;
        let period = self.period();
        for (id, open) in &mut self.open_requests {
            let end = open.give_up_at.min(open.deadline - period);
            self.request_index.close(*id, std::mem::replace(&mut open.end, end), None);
            self.request_index.open(*id, end);
        }
    }

    /// Handles one event at `now` and appends what the caller must do, in order.
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
            Event::Request(req) => self.arrive(now, req, actions),
            Event::Started { request } => self.started(now, request, actions),
            Event::Outcome(outcome) => self.outcome(now, outcome, actions),
            Event::ClientLeft(id) => self.close(id),
            Event::SetAdministrativelyDown { member, down } => {
                self.set_administratively_down(now, member, down, actions);
            }
            Event::Timer(SWEEP) if now >= self.next_sweep => self.sweep(now, actions),
            Event::Timer(_) | Event::Peer { .. } => {}
            Event::HealthChecked { member, status, report } => {
                self.health_checked(now, member, status, report, actions);
            }
        }
        actions.extend(self.notices.drain(..).map(Action::Notice));
    }

    /// Gives notice at the end of the event under way. A router whose clock is the log's gives none: its
    /// caller keeps its own record.
    fn notify(&mut self, notice: Notice) {
        if !self.log_time.is_same_clock() {
            self.notices.push(notice);
        }
    }
}
