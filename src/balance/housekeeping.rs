//! What is renewed in time: sweeps over open requests, and refreshes of members with their weights and
//! slow-start tokens.

use super::group::Group;
use super::health_checks::HealthCheckCandidate;
use super::log_clock::{MAX_STALL, POSITION_ROUNDING_US};
use super::member::Member;
use super::{Actions, Router};
use crate::api::*;

/// Ticks between sweeps while a request waits: two, to cost little beside the events of its ticks.
const SWEEP_TICKS: u64 = 2;
/// Time between refreshes, and between sweeps while no request waits.
pub(super) const REFRESH_PERIOD: Micros = Micros::millis(50);
/// Time in which the memory of failures halves, so that a member gets another chance.
const FAILURE_HALF_LIFE: Micros = Micros::millis(3000);
/// Least time between health checks of a member, and between writes there that look for a primary.
pub(super) const HEALTH_CHECK_PAUSE: Micros = Micros::millis(200);
/// Most health checks saved up: a gateway with little traffic can check a whole small group at once.
pub(super) const HEALTH_CHECK_BURST: f64 = 4.0;
/// Part of the overload multiple that a member in slow start may be sent; the rest is for chance.
const SLOW_START_PART: f64 = 0.7;
/// Part of the overload window's budget that a member in slow start may get in one go.
const SLOW_START_BURST: f64 = 0.25;
/// Most members refreshed, sessions forgotten and groups retried in one step; the rest comes in the next.
const MAX_PER_STEP: usize = 512;
/// The one timer: each sweep asks for the next.
pub(super) const SWEEP: TimerId = TimerId(0);

/// What is left after this time of what halves like the memory of failures.
pub(super) fn half_life_decay(elapsed: f64) -> f64 {
    0.5f64.powf(elapsed / FAILURE_HALF_LIFE.as_f64())
}

/// A refresh of all members that takes more than one step.
#[derive(Clone, Copy)]
pub struct RefreshProgress {
    /// Time that it covers.
    elapsed: Micros,
    /// Index of the group that is next in it.
    next_group: usize,
}

/// What a refresh does to each member of a group.
struct MemberRefresh<'a> {
    now: Micros,
    settings: &'a Settings,
    /// Time since the last refresh, in microseconds.
    elapsed: f64,
    /// Part of failures and lag that is kept.
    decay: f64,
    /// Time that a usual request takes, in microseconds.
    usual_latency: f64,
    /// Cost a microsecond that each member of the group has served of late.
    served_rate: f64,
}

impl MemberRefresh<'_> {
    /// Renews a member's penalty, slow-start tokens and weight. In slow start a member gets of each gateway
    /// its even part of what the group served there, as far as it is warm: the sum stays inside the multiple.
    fn apply(&self, member: &mut Member) {
        let warmth = member.slow_start.capacity_fraction(self.now, self.settings);
        let failure_rate = member.failure_rate();
        let decay = || (-self.elapsed * (1.0 - failure_rate) / self.usual_latency).exp();
        member.load.decay_failure_penalty(decay);
        let multiple = self.settings.overload_multiple * SLOW_START_PART;
        let burst = self.settings.overload_window.as_f64() * SLOW_START_BURST;
        member.slow_start.refill(self.served_rate * warmth * multiple, self.elapsed, burst);
        member.decay_failures_and_lag(self.decay);
        member.refresh_weight(warmth);
    }
}

impl Router {
    /// Looks at the requests that something falls due for, and refreshes members.
    pub(super) fn sweep(&mut self, now: Micros, actions: &mut Actions) {
        self.next_sweep = Micros(u64::MAX);
        self.refresh(now, actions);
        // Only where requests are hedged is one looked at while its attempt is in flight.
        let due = if self.settings.hedging {
            self.open.keys().copied().collect()
        } else {
            self.request_index.due(now, self.latencies.all())
        };
        for id in due {
            self.check_request(now, id, actions);
        }
        let waiting = self.request_index.groups(self.last_retried, MAX_PER_STEP);
        self.last_retried = waiting.last().copied().filter(|_| waiting.len() == MAX_PER_STEP);
        for group in waiting {
            self.send_waiting(now, group, actions);
        }
        let next = self.next_sweep_time(now);
        self.sweep_by(next, actions);
    }

    /// Shortest time between two sweeps.
    pub(super) fn period(&self) -> Micros {
        Micros(self.settings.tick.0.max(1) * SWEEP_TICKS)
    }

    /// Asks for a sweep at this time, unless one comes before.
    pub(super) fn sweep_by(&mut self, at: Micros, actions: &mut Actions) {
        if at < self.next_sweep {
            self.next_sweep = at;
            actions.push(Action::SetTimer { timer: SWEEP, at });
        }
    }

    fn next_sweep_time(&self, now: Micros) -> Micros {
        let tick = now + self.settings.tick;
        let next = match self.request_index.next_end() {
            _ if self.request_index.is_waiting() => now + self.period(),
            Some(end) => tick.max(end.min(now + REFRESH_PERIOD)),
            None => now + HEALTH_CHECK_PAUSE,
        };
        if self.refresh.is_some() {
            next.min(tick)
        } else {
            next
        }
    }

    /// Refreshes the groups, so many members in one step and the others in the next; afterwards it rests for
    /// its period. Then checks the health of members.
    fn refresh(&mut self, now: Micros, actions: &mut Actions) {
        let Some(RefreshProgress { elapsed, mut next_group }) =
            self.refresh.or_else(|| self.begin_refresh(now))
        else {
            return;
        };
        let (mut seen, mut due) = (0, std::mem::take(&mut self.due_health_checks));
        while seen < MAX_PER_STEP && next_group < self.groups.len() {
            seen += 1 + self.refresh_group(now, next_group, elapsed, &mut due);
            next_group += 1;
        }
        due.sort_unstable();
        due.truncate(HEALTH_CHECK_BURST as usize);
        self.due_health_checks = due;
        if next_group < self.groups.len() {
            self.refresh = Some(RefreshProgress { elapsed, next_group });
            return;
        }
        self.refresh = None;
        self.log_time.finish_refresh();
        self.check_primary_for_log_time(now, actions);
        self.start_due_health_checks(now, actions);
    }

    /// Begins a refresh, if one is due.
    fn begin_refresh(&mut self, now: Micros) -> Option<RefreshProgress> {
        let elapsed = now - self.refreshed_at;
        if elapsed < REFRESH_PERIOD {
            return None;
        }
        self.refreshed_at = now;
        let micros = elapsed.as_f64().max(1.0);
        self.served_span = self.served_span * self.served_decay(micros) + micros;
        self.idle_connections.recover(micros, self.settings.connection_idle_timeout);
        Some(RefreshProgress { elapsed, next_group: 0 })
    }

    /// Part of a served cost that still counts after this time.
    fn served_decay(&self, elapsed: f64) -> f64 {
        0.5f64.powf(elapsed / (2.0 * self.settings.slow_start_window.as_f64()))
    }

    /// Refreshes a group: its members and its sessions. How many members it had.
    fn refresh_group(
        &mut self,
        now: Micros,
        index: usize,
        elapsed: Micros,
        due: &mut Vec<HealthCheckCandidate>,
    ) -> usize {
        let Some((id, group)) = self.groups.get_index(index) else { return 0 };
        let (id, members) = (*id, group.members.len());
        let first = group.refreshed_at == Micros(0);
        let elapsed = if first { elapsed } else { now - group.refreshed_at }.as_f64().max(1.0);
        let latest = self.log_now(now, id);
        let passed = self.refresh_members(now, index, elapsed, due);
        self.forget_sessions(id, passed, latest);
        if let Some(group) = self.groups.get(&id) {
            self.log_time.refresh(group);
        }
        members
    }

    /// Refreshes a group's members, forgets those that are lost, and collects those whose health may be
    /// checked. The position that all replicas in service have passed, if there are any.
    fn refresh_members(
        &mut self,
        now: Micros,
        index: usize,
        elapsed: f64,
        due: &mut Vec<HealthCheckCandidate>,
    ) -> Option<Micros> {
        let served_decay = self.served_decay(elapsed);
        let Router { settings, members, served_span, limit_share, latencies, .. } = self;
        let (_, group) = self.groups.get_index_mut(index)?;
        group.refreshed_at = now;
        group.served_cost *= served_decay;
        let usual_latency = latencies.least();
        let refresh = MemberRefresh {
            now,
            settings,
            elapsed,
            decay: half_life_decay(elapsed),
            usual_latency,
            served_rate: served_rate(group, *served_span, usual_latency, settings),
        };
        let (mut lost_in_service, mut passed) = (0.0, None);
        group.members.retain(|id| {
            let Some(member) = members.get_mut(id) else { return false };
            refresh.apply(member);
            let in_service = member.is_in_service();
            // Members gone for good are forgotten, or years of replacements would add up.
            if !member.is_retained() && (!in_service || member.outlier.is_lost()) {
                members.swap_remove(id);
                lost_in_service += f64::from(u8::from(in_service));
                return false;
            }
            if in_service {
                passed = least_position(passed, member);
                member.outlier.readmit_when_due(now, *limit_share);
                due.extend(HealthCheckCandidate::new(now, *id, member, settings));
            }
            true
        });
        group.live_members -= lost_in_service;
        group.primary = group.primary.filter(|primary| members.contains_key(primary));
        passed
    }

    /// Forgets the sessions of a group that hold nobody back any more: all replicas have passed their
    /// commits.
    fn forget_sessions(&mut self, id: GroupId, passed: Option<Micros>, latest: Option<Micros>) {
        let passed = passed.or(latest).unwrap_or_default();
        let forgotten = self.sessions.forget(id, passed, MAX_PER_STEP);
        if let (Some(commit), Some(group)) = (forgotten, self.groups.get_mut(&id)) {
            group.forgotten_commit = group.forgotten_commit.max(commit);
        }
        if let Some(latest) = latest {
            // What is further on stands for a time that was not known when the commit's answer was lost.
            self.sessions.clamp_commits(
                id,
                latest + MAX_STALL + Micros(POSITION_ROUNDING_US as u64),
                MAX_PER_STEP,
            );
        }
    }
}

/// Cost a microsecond that each member of a group has served of late: at least this gateway's share of a
/// single core.
fn served_rate(group: &Group, served_span: f64, usual_latency: f64, settings: &Settings) -> f64 {
    let least = 1.0 / f64::from(settings.gateways.max(1)) / usual_latency;
    (group.served_cost / served_span / group.live_members.max(1.0)).max(least)
}

/// The lesser of a position and that of a replica.
fn least_position(least: Option<Micros>, member: &Member) -> Option<Micros> {
    if member.role.role() == Role::Primary {
        return least;
    }
    let position = member.log.position().unwrap_or_default();
    Some(least.map_or(position, |least| least.min(position)))
}
