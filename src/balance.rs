//! Every decision of the router, one kind in each of the modules below. Its types, events and actions are in
//! `src/api.rs`.
//!
//! The ordinary path: a read goes to a replica whose last known log position covers the read's
//! token or bound, drawn by weight and load with the primary left out; otherwise to the primary.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxBuildHasher;

use crate::api::*;
use crate::notice::Notice;

mod attempts;
mod bookkeeping;
mod capacity;
mod choice;
mod final_answer;
mod group;
mod housekeeping;
mod log_clock;
mod log_time_evidence;
mod member;
mod membership;
mod open_request;
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
use group::Group;
use housekeeping::{HealthCheckCandidate, SWEEP};
use log_clock::{LogClock, Offset};
use member::Member;
use open_request::{Attempt, OpenRequest};
use request_index::RequestIndex;
use sessions::Sessions;
pub use snapshot::Snapshot;

type Actions = Vec<Action>;

/// Makes the decisions of one driver.
pub struct Router {
    settings: Settings,
    rng: Pcg64Mcg,
    members: IndexMap<MemberId, Member, FxBuildHasher>,
    groups: IndexMap<GroupId, Group, FxBuildHasher>,
    /// Members that operators have put down, in the list or not.
    administratively_down: BTreeSet<MemberId>,
    open: BTreeMap<RequestId, OpenRequest>,
    attempts: BTreeMap<(RequestId, AttemptNo), Attempt>,
    request_index: RequestIndex,
    sessions: Sessions,
    /// What the last draw was from.
    weighted_scratch: WeightedMembers,
    /// Part of the usual limits that one of so many drivers has.
    limit_share: f64,
    /// Mean latency of each class.
    mean_latencies: Vec<f64>,
    refreshed_at: Micros,
    /// Time that the survey under way covers, and the place of the family that is next in it.
    refresh: Option<(Micros, usize)>,
    /// The members to be probed first of those that it has seen.
    due: Vec<HealthCheckCandidate>,
    /// The family that was retried last, where not all had their turn.
    last_retried: Option<GroupId>,
    /// When the next sweep is due, zero before the first; a timer that ends before is stale.
    next_sweep: Micros,
    /// Probes that the requests so far have paid for.
    health_check_tokens: f64,
    /// Time over which the groups' served cost counts, in microseconds: longer than a warm-up.
    served_span: f64,
    /// Longest that a connection may be idle and still be trusted to carry a request.
    trusted_idle_time: Micros,
    /// Attempts without an answer in a row, all on idle connections.
    idle_losses: u32,
    /// Positions are times of this router's clock; else what primaries say tells how the log's time stands to
    /// it.
    one_clock: bool,
    /// The time of all logs: databases read one clock. A family whose own answers do not fit it goes by
    /// those.
    common_clock: LogClock,
    /// Bounds of the log's time over all families, for those of which nothing is proved; and those of the
    /// survey under way.
    usual_offset: Option<Offset>,
    refreshed_offset: Option<Offset>,
    /// When a primary was last probed for the time of its log.
    log_time_checked_at: Micros,
    /// What operators are told at the end of the event under way.
    notices: Vec<Notice>,
    /// They are told of single requests as well.
    traced: bool,
}

impl Router {
    /// Goes on under new settings. Their classes stand at the old places wherever a request is open.
    pub fn retune(&mut self, settings: Settings) {
        for (place, class) in settings.classes.iter().enumerate() {
            let same = self.settings.classes.get(place).is_some_and(|old| old == class);
            self.mean_latencies.resize(self.mean_latencies.len().max(place + 1), 0.0);
            self.mean_latencies[place] =
                if same { self.mean_latencies[place] } else { class.latency_objective.as_f64() / 5.0 };
        }
        self.limit_share = limit_share(&settings);
        if self.settings.replica_checks == ReplicaChecks::Reject
            && settings.replica_checks == ReplicaChecks::None
        {
            // What a member that checked has served tells no position that counts where none checks.
            self.members.values_mut().for_each(|member| member.log.forget_position());
        }
        self.settings = settings;
        let period = self.period();
        for (id, open) in &mut self.open {
            let end = open.give_up.min(open.deadline - period);
            self.request_index.close(*id, std::mem::replace(&mut open.end, end), None);
            self.request_index.open(*id, end);
        }
    }

    /// Takes one event at `now` and appends what the driver must do, in order.
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
                self.endpoints_updated(now, kind, entries, actions)
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
                self.health_checked(now, member, status, report, actions)
            }
        }
        actions.extend(self.notices.drain(..).map(Action::Notice));
    }
}
