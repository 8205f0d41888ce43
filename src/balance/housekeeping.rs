//! Periodic work: sweeps over open requests, and refreshes of members with their weights and slow-start
//! tokens.

use super::group::Group;
use super::health_checks::HealthCheckCandidate;
use super::log_clock::{MAX_STALL, POSITION_ROUNDING_US};
use super::member::Member;
use super::{Actions, Router};
use crate::api::*;

/// Ticks between sweeps while a request waits: two, so that a sweep costs little compared with the events of
/// its ticks.
const SWEEP_TICKS: u64 = 2;
/// Minimum time between refreshes, and maximum time between sweeps while requests are open but none waits.
pub(super) const REFRESH_PERIOD: Micros = Micros::millis(50);
/// Half-life of a member's failure rate and lag: a member that failed gets another chance. It also paces,
/// through `RECOVERY_EXPONENT` in `idle_connections`, how fast the trusted idle time of connections recovers.
const FAILURE_HALF_LIFE: Micros = Micros::millis(3000);
/// Minimum time between health checks of a member, and between writes sent to it in search of the primary.
/// Also the time between sweeps while no request is open, and the time without use after which a member's
/// connections count as idle.
pub(super) const MIN_HEALTH_CHECK_INTERVAL: Micros = Micros::millis(200);
/// Maximum number of health check tokens: a gateway with little traffic can check a whole small group at
/// once.
pub(super) const HEALTH_CHECK_BURST: f64 = 4.0;
/// Fraction of the overload multiple that a member in slow start may be sent; the rest is a margin for random
/// variation.
const SLOW_START_OVERLOAD_FRACTION: f64 = 0.7;
/// Fraction of the overload window: a member in slow start may get the tokens of that time in one burst.
const SLOW_START_BURST_FRACTION: f64 = 0.25;
/// Maximum number of members refreshed, sessions forgotten and groups retried in one step; the rest follows
/// in the next.
const MAX_ITEMS_PER_STEP: usize = 512;
/// The router's only timer: each sweep schedules the next one.
pub(super) const SWEEP_TIMER: TimerId = TimerId(0);

/// Fraction that is left, after `elapsed` microseconds, of a quantity that halves every
/// [`FAILURE_HALF_LIFE`].
pub(super) fn half_life_decay(elapsed: f64) -> f64 {
    0.5f64.powf(elapsed / FAILURE_HALF_LIFE.as_f64())
}

/// A refresh of all members that takes more than one step.
#[derive(Clone, Copy)]
pub struct RefreshProgress {
    /// Time since the refresh before it.
    elapsed: Micros,
    /// Index of the next group to refresh.
    next_group: usize,
}

/// The inputs of a refresh, the same for each member of a group.
struct MemberRefresh<'a> {
    now: Micros,
    settings: &'a Settings,
    /// Time since the last refresh, in microseconds.
    elapsed: f64,
    /// Fraction of the failure rate and of the lag that is kept.
    decay: f64,
    /// Time that a usual request takes, in microseconds.
    usual_latency: f64,
    /// Cost per microsecond that each member of the group has served recently.
    served_rate: f64,
}

impl MemberRefresh<'_> {
    /// Updates a member's failure penalty, slow-start tokens, failure rate, lag and weight. During slow start
    /// each gateway sends a member its even share of the cost that the group serves for this gateway, scaled
    /// by the fraction of its capacity that the member has, so that the sum over all gateways stays within
    /// the overload multiple.
    fn apply(&self, member: &mut Member) {
        let capacity_fraction = member.slow_start.capacity_fraction(self.now, self.settings);
        let failure_rate = member.failure_rate();
        let decay = || (-self.elapsed * (1.0 - failure_rate) / self.usual_latency).exp();
        member.load.decay_failure_penalty(decay);
        let multiple = self.settings.overload_multiple * SLOW_START_OVERLOAD_FRACTION;
        let burst = self.settings.overload_window.as_f64() * SLOW_START_BURST_FRACTION;
        member.slow_start.refill(self.served_rate * capacity_fraction * multiple, self.elapsed, burst);
        member.decay_failures_and_lag(self.decay);
        member.refresh_weight(capacity_fraction);
    }
}

impl Router {
    /// Refreshes members, checks the requests that are due, and sends waiting requests.
    pub(super) fn sweep(&mut self, now: Micros, actions: &mut Actions) {
        self.next_sweep = Micros(u64::MAX);
        self.refresh(now, actions);
        // Requests that are not due are checked only if they may be hedged.
        let due = if self.settings.hedging {
            self.open_requests.keys().copied().collect()
        } else {
            self.request_index.due(now, self.latencies.means())
        };
        for id in due {
            self.check_request(now, id, actions);
        }
        let waiting = self.request_index.groups(self.last_retried_group, MAX_ITEMS_PER_STEP);
        self.last_retried_group = waiting.last().copied().filter(|_| waiting.len() == MAX_ITEMS_PER_STEP);
        for group in waiting {
            self.send_waiting(now, group, actions);
        }
        let next = self.next_sweep_time(now);
        self.schedule_sweep(next, actions);
    }

    /// Shortest time between two sweeps.
    pub(super) fn sweep_period(&self) -> Micros {
        Micros(self.settings.tick.0.max(1) * SWEEP_TICKS)
    }

    /// Schedules a sweep at this time, unless an earlier one is scheduled.
    pub(super) fn schedule_sweep(&mut self, at: Micros, actions: &mut Actions) {
        if at < self.next_sweep {
            self.next_sweep = at;
            actions.push(Action::SetTimer { timer: SWEEP_TIMER, at });
        }
    }

    fn next_sweep_time(&self, now: Micros) -> Micros {
        let tick = now + self.settings.tick;
        let next = match self.request_index.next_end() {
            _ if self.request_index.any_waiting() => now + self.sweep_period(),
            Some(end) => tick.max(end.min(now + REFRESH_PERIOD)),
            None => now + MIN_HEALTH_CHECK_INTERVAL,
        };
        if self.refresh.is_some() {
            next.min(tick)
        } else {
            next
        }
    }

    /// Refreshes the groups in steps of about [`MAX_ITEMS_PER_STEP`] members. After the last step it starts
    /// the health checks that are due. The next refresh starts [`REFRESH_PERIOD`] or later after the start of
    /// this one.
    fn refresh(&mut self, now: Micros, actions: &mut Actions) {
        let Some(RefreshProgress { elapsed, mut next_group }) =
            self.refresh.or_else(|| self.begin_refresh(now))
        else {
            return;
        };
        let (mut seen, mut due) = (0, std::mem::take(&mut self.due_health_checks));
        while seen < MAX_ITEMS_PER_STEP && next_group < self.groups.len() {
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

    /// Starts a refresh, if one is due.
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

    /// Fraction of a served cost that still counts after `elapsed` microseconds.
    fn served_decay(&self, elapsed: f64) -> f64 {
        0.5f64.powf(elapsed / (2.0 * self.settings.slow_start_window.as_f64()))
    }

    /// Refreshes a group's members and sessions. Returns how many members it had.
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
        let latest_log_time = self.log_now(now, id);
        let reached_by_replicas = self.refresh_members(now, index, elapsed, due);
        self.forget_sessions(id, reached_by_replicas, latest_log_time);
        if let Some(group) = self.groups.get(&id) {
            self.log_time.refresh(group);
        }
        members
    }

    /// Refreshes a group's members, removes lost ones, and collects those whose health may be checked.
    /// Returns the position that all replicas in service have reached, if there are any.
    fn refresh_members(
        &mut self,
        now: Micros,
        index: usize,
        elapsed: f64,
        due: &mut Vec<HealthCheckCandidate>,
    ) -> Option<Micros> {
        let served_decay = self.served_decay(elapsed);
        let has_other_process = self.has_other_process;
        let Router { settings, members, former_replicas, served_span, limit_share, latencies, .. } = self;
        let (_, group) = self.groups.get_index_mut(index)?;
        group.refreshed_at = now;
        group.served_cost *= served_decay;
        let usual_latency = latencies.smallest();
        let refresh = MemberRefresh {
            now,
            settings,
            elapsed,
            decay: half_life_decay(elapsed),
            usual_latency,
            served_rate: served_rate(group, *served_span, usual_latency, settings),
        };
        let (mut lost_in_service, mut reached_by_replicas) = (0.0, None);
        group.members.retain(|id| {
            let Some(member) = members.get_mut(id) else { return false };
            refresh.apply(member);
            let in_service = member.is_in_service();
            // Members that are gone for good are removed; otherwise replaced members pile up over years.
            if !member.is_retained() && (!in_service || member.outlier.is_lost()) {
                if member.may_be_replica(now, has_other_process) {
                    former_replicas.insert(*id);
                }
                members.swap_remove(id);
                lost_in_service += f64::from(u8::from(in_service));
                return false;
            }
            if in_service {
                reached_by_replicas = least_position(reached_by_replicas, member);
                member.outlier.readmit_when_due(now, *limit_share);
                due.extend(HealthCheckCandidate::new(now, *id, member, settings));
            }
            true
        });
        group.members_in_service -= lost_in_service;
        group.primary = group.primary.filter(|primary| members.contains_key(primary));
        reached_by_replicas
    }

    /// Forgets the sessions of a group that no longer restrict any read: all replicas have reached their
    /// commits. Without replicas in service, these are the commits up to the log's latest possible time.
    fn forget_sessions(
        &mut self,
        id: GroupId,
        reached_by_replicas: Option<Micros>,
        latest_log_time: Option<Micros>,
    ) {
        let reached = reached_by_replicas.or(latest_log_time).unwrap_or_default();
        let forgotten = self.sessions.forget(id, reached, MAX_ITEMS_PER_STEP);
        if let (Some(commit), Some(group)) = (forgotten, self.groups.get_mut(&id)) {
            group.forgotten_commit = group.forgotten_commit.max(commit);
        }
        if let Some(latest_log_time) = latest_log_time {
            // A commit beyond this position was recorded for a write whose answer was lost while the log's
            // time was unknown.
            self.sessions.clamp_commits(
                id,
                latest_log_time + MAX_STALL + Micros(POSITION_ROUNDING_US as u64),
                MAX_ITEMS_PER_STEP,
            );
        }
    }
}

/// Cost per microsecond that each member of a group has served recently, at least this gateway's share of a
/// single core.
fn served_rate(group: &Group, served_span: f64, usual_latency: f64, settings: &Settings) -> f64 {
    let least = 1.0 / f64::from(settings.gateways.max(1)) / usual_latency;
    (group.served_cost / served_span / group.members_in_service.max(1.0)).max(least)
}

/// The lower of `least` and the member's position if the member is not the primary, otherwise `least`.
fn least_position(least: Option<Micros>, member: &Member) -> Option<Micros> {
    if member.role.role() == Role::Primary {
        return least;
    }
    let position = member.log.position().unwrap_or_default();
    Some(least.map_or(position, |least| least.min(position)))
}
