//! The router's bookkeeping: queues, sessions and the one timer. What is booked, and when, is decided
//! elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::capacity::limit_share;
use super::class_latencies::ClassLatencies;
use super::housekeeping::HEALTH_CHECK_BURST;
use super::idle_connections::IdleConnections;
use super::log_time::LogTime;
use super::member::Member;
use super::request_index::RequestIndex;
use super::sessions::Sessions;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::Notice;

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
            open: BTreeMap::new(),
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
            traced: false,
        }
    }

    /// A router whose clock is its own: how the log's time stands to it is learned from what primaries say.
    pub fn with_own_clock(settings: Settings, seed: u64) -> Self {
        Router { log_time: LogTime::new(false), ..Router::new(settings, seed) }
    }

    /// Tells of single requests as well from now on.
    pub fn trace(&mut self) {
        self.traced = true;
    }

    /// Keeps what operators are to be told. A router whose clock is the log's tells nothing: its driver keeps
    /// its own record.
    pub(super) fn notify(&mut self, notice: Notice) {
        if !self.log_time.is_same_clock() {
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

    /// A session's write was committed, here or at the process beside this one.
    pub fn committed(&mut self, group: GroupId, key: SessionKey, commit: Micros) {
        self.sessions.committed(group, key, commit);
    }

    /// The latest commit known of a session in a family, or the moment up to which it may have committed.
    pub fn commit(&self, group: GroupId, key: SessionKey) -> Option<Micros> {
        self.sessions.commit(group, key).filter(|commit| *commit > Micros(0))
    }

    /// An answer has begun to stream: the request has its final answer, and the member has capacity again.
    pub(super) fn started(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let Some(open) = self.open.get(&id) else { return };
        for (attempt, to) in &open.in_flight {
            let attempt = self.attempts.get_mut(&(id, *attempt));
            if let (Some(attempt), Some(member)) = (attempt, self.members.get_mut(to)) {
                attempt.streaming = true;
                member.load.end(attempt.cost);
            }
        }
        let group = open.request.group;
        self.close(id);
        self.send_waiting(now, group, actions);
    }
}
