//! The router's bookkeeping: queues, sessions and the one timer. What is booked, and when, is decided
//! elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::capacity::limit_share;
use super::housekeeping::{HEALTH_CHECK_BURST, SWEEP, SWEEP_TICKS};
use super::log_clock::LogClock;
use super::member::Member;
use super::open_request::OpenRequest;
use super::request_index::{QueueEntry, RequestIndex};
use super::sessions::Sessions;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::Notice;

impl Router {
    /// A router that knows nothing but its settings; `seed` feeds its draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Router {
            mean_latencies: settings.classes.iter().map(|c| c.latency_objective.as_f64() / 5.0).collect(),
            trusted_idle_time: settings.connection_idle_timeout,
            limit_share: limit_share(&settings),
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            members: IndexMap::default(),
            groups: IndexMap::default(),
            administratively_down: BTreeSet::new(),
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
            request_index: RequestIndex::default(),
            sessions: Sessions::default(),
            weighted_scratch: Vec::new(),
            refreshed_at: Micros(0),
            refresh: None,
            due: Vec::new(),
            last_retried: None,
            next_sweep: Micros(0),
            health_check_tokens: HEALTH_CHECK_BURST,
            served_span: 0.0,
            idle_losses: 0,
            one_clock: true,
            common_clock: LogClock::default(),
            usual_offset: None,
            refreshed_offset: None,
            log_time_checked_at: Micros(0),
            notices: Vec::new(),
            traced: false,
        }
    }

    /// A router whose clock is its own: how the log's time stands to it is learned from what primaries say.
    pub fn with_own_clock(settings: Settings, seed: u64) -> Self {
        Router { one_clock: false, ..Router::new(settings, seed) }
    }

    /// Tells of single requests as well from now on.
    pub fn trace(&mut self) {
        self.traced = true;
    }

    /// Keeps what operators are to be told. A router whose clock is the log's tells nothing: its driver keeps
    /// its own record.
    pub(super) fn notify(&mut self, notice: Notice) {
        if !self.one_clock {
            self.notices.push(notice);
        }
    }

    /// The longest that any client waits, by the settings.
    pub fn longest_deadline(&self) -> Micros {
        self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Whether a member may be sent anything new.
    pub fn admits(&self, id: MemberId) -> bool {
        self.members.get(&id).is_some_and(Member::is_in_service)
    }

    /// Whether a member is left out, by hand or by choice.
    pub fn avoids(&self, id: MemberId) -> bool {
        self.administratively_down.contains(&id)
            || self.members.get(&id).is_some_and(|m| m.outlier.is_ejected())
    }

    /// Counts the group's live members and finds its leader anew: after a list, a claim, or one that is void.
    pub(super) fn recount(&mut self, id: GroupId) {
        let Some(group) = self.groups.get_mut(&id) else { return };
        let before = group.primary;
        let members = group.members.iter().filter_map(|id| Some((self.members.get(id)?, *id)));
        let claims = members.filter(|(m, _)| m.role.role() == Role::Primary);
        group.primary = claims.max_by_key(|(m, _)| m.role.claimed_at()).map(|(_, id)| id);
        let live = group.members.iter().filter(|id| self.members.get(*id).is_some_and(Member::is_in_service));
        group.live_members = live.count() as f64;
        let after = group.primary;
        if before != after {
            self.notify(Notice::Primary { group: id, before, after });
        }
    }

    /// Puts a request into its family's queue.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let (group, class) = (open.req.group, open.req.class);
        let (give_up, patience) = (open.give_up, self.patience(open));
        let queue_entry =
            self.request_index.wait(QueueEntry { id, group, class, give_up, patience, place: 0 });
        self.open.entry(id).and_modify(|open| open.queue_entry = Some(queue_entry));
    }

    /// A session's write was committed, here or at the process beside this one.
    pub fn committed(&mut self, group: GroupId, key: SessionKey, commit: Micros) {
        self.sessions.committed(group, key, commit);
    }

    /// The latest commit known of a session in a family, or the moment up to which it may have committed.
    pub fn commit(&self, group: GroupId, key: SessionKey) -> Option<Micros> {
        self.sessions.commit(group, key).filter(|commit| *commit > Micros(0))
    }

    /// An answer has begun to flow: the request belongs to its client, and the member has room again.
    pub(super) fn started(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let Some(OpenRequest { req, out, .. }) = self.open.get(&id) else { return };
        for (no, to) in out {
            if let (Some(a), Some(m)) = (self.attempts.get_mut(&(id, *no)), self.members.get_mut(to)) {
                a.flows = true;
                m.load.end(a.cost);
            }
        }
        let group = req.group;
        self.close(id);
        self.send_waiting(now, group, actions);
    }

    /// Cancels the attempts still out for a finished read: their answers serve nobody.
    pub(super) fn cancel_remaining(&self, id: RequestId, actions: &mut Actions) {
        let Some(open) = self.open.get(&id) else { return };
        if self.settings.cancels
            && self.settings.classes[open.req.class.0].idempotency == Idempotency::Idempotent
        {
            let out = open.out.iter().filter(|(attempt, _)| self.attempts.contains_key(&(id, *attempt)));
            actions.extend(out.map(|(attempt, _)| Action::Cancel { request: id, attempt: *attempt }));
        }
    }

    /// Forgets a finished request; its attempts are still booked as they end.
    pub(super) fn close(&mut self, id: RequestId) {
        let Some(open) = self.open.remove(&id) else { return };
        self.request_index.close(id, open.end, open.queue_entry);
    }

    pub(super) fn period(&self) -> Micros {
        Micros(self.settings.tick.0.max(1) * SWEEP_TICKS)
    }

    /// Asks for a sweep at `at`, unless one comes before.
    pub(super) fn sweep_by(&mut self, at: Micros, actions: &mut Actions) {
        if at < self.next_sweep {
            self.next_sweep = at;
            actions.push(Action::SetTimer { timer: SWEEP, at });
        }
    }

    /// Probes a member.
    pub(super) fn start_health_check(&mut self, now: Micros, id: MemberId, actions: &mut Actions) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.health_check.start(now);
        actions.push(Action::HealthCheck { member: id });
    }
}
