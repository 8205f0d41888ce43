//! What is renewed in time: sweeps over requests, surveys of members with their weights and slow-start
//! budgets, and probes.

use super::log_clock::{HOLD, ROUNDING};
use super::{Actions, Router};
use crate::api::*;

/// Ticks between sweeps while a request waits: two, to cost little beside the events of its ticks.
pub(super) const SWEEP_TICKS: u64 = 2;
/// Time between reweightings, and between sweeps while none waits; the paper's is one second.
pub(super) const REFRESH_PERIOD: Micros = Micros::millis(50);
/// Time in which the memory of failures halves, so that a member gets another chance.
const FAIL_HALF_LIFE: Micros = Micros::millis(3000);
/// Least time between probes of a member, and between writes there that look for a primary.
pub(super) const HEALTH_CHECK_PAUSE: Micros = Micros::millis(200);
/// Most probes saved up: a driver with little traffic can ask a whole small group at once.
pub(super) const HEALTH_CHECK_BURST: f64 = 4.0;
/// Part of the multiple of its capacity that a cold member may be sent; the rest is for chance.
const COLD_PART: f64 = 0.7;
/// Part of the fall window's budget that a cold member may get in one go.
const COLD_BURST: f64 = 0.25;
/// Most members surveyed, sessions forgotten and families retried in one step; the rest comes in the next.
const MAX_PER_STEP: usize = 512;
/// The one timer: each sweep asks for the next.
pub(super) const SWEEP: TimerId = TimerId(0);

/// What is left after so long of what halves like the memory of failures.
pub(super) fn half_life_decay(elapsed: f64) -> f64 {
    0.5f64.powf(elapsed / FAIL_HALF_LIFE.as_f64())
}

/// A member whose health may be checked: those whose connections broke first, then the one that was checked
/// longest ago.
pub type HealthCheckCandidate = (bool, Micros, MemberId);

impl Router {
    pub(super) fn sweep(&mut self, now: Micros, actions: &mut Actions) {
        self.next_sweep = Micros(u64::MAX);
        let period = self.period();
        self.refresh_members(now, actions);
        // Only where two copies may be out is a request looked at while its attempt is.
        let due = if self.settings.hedging {
            self.open.keys().copied().collect()
        } else {
            self.request_index.due(now, &self.mean_latencies)
        };
        for id in due {
            self.check_request(now, id, actions);
        }
        let waiting = self.request_index.families(self.last_retried, MAX_PER_STEP);
        self.last_retried = waiting.last().copied().filter(|_| waiting.len() == MAX_PER_STEP);
        for group in waiting {
            self.send_waiting(now, group, actions);
        }
        let next = match self.request_index.next_end() {
            _ if self.request_index.is_waiting() => now + period,
            Some(end) => (now + self.settings.tick).max(end.min(now + REFRESH_PERIOD)),
            None => now + HEALTH_CHECK_PAUSE,
        };
        let next = if self.refresh.is_some() { next.min(now + self.settings.tick) } else { next };
        self.sweep_by(next, actions);
    }

    /// Surveys the families, so many members in one step and the others in the next; afterwards it rests
    /// for its period. Probes members whose connections broke, and where members do not check reads
    /// themselves those whose position is oldest, as far as the requests served pay for it.
    pub(super) fn refresh_members(&mut self, now: Micros, actions: &mut Actions) {
        let (elapsed, mut place) = match self.refresh {
            Some(under_way) => under_way,
            None if now - self.refreshed_at < REFRESH_PERIOD => return,
            None => {
                let elapsed = now - self.refreshed_at;
                self.refreshed_at = now;
                let past = elapsed.as_f64().max(1.0);
                self.served_span = self.served_span * self.served_decay(past) + past;
                let trust = self.trusted_idle_time.scale(1.0 / half_life_decay(past).powf(0.3));
                self.trusted_idle_time = trust.min(self.settings.connection_idle_timeout);
                (elapsed, 0)
            }
        };
        let (mut seen, mut due) = (0, std::mem::take(&mut self.due));
        while seen < MAX_PER_STEP && place < self.groups.len() {
            seen += 1 + self.refresh_group(now, place, elapsed, &mut due);
            place += 1;
        }
        self.refresh = Some((elapsed, place)).filter(|_| place < self.groups.len());
        if self.refresh.is_none() {
            self.usual_offset = self.refreshed_offset.take().or(self.usual_offset);
        }
        due.sort_unstable();
        due.truncate(HEALTH_CHECK_BURST as usize);
        self.due = due;
        if self.refresh.is_some() {
            return;
        }
        self.check_primary_for_log_time(now, actions);
        for (_, _, id) in std::mem::take(&mut self.due) {
            if self.health_check_tokens < 1.0 {
                return;
            }
            self.health_check_tokens -= 1.0;
            self.start_health_check(now, id, actions);
        }
    }

    /// Part of a served cost that still counts after so long.
    pub(super) fn served_decay(&self, elapsed: f64) -> f64 {
        0.5f64.powf(elapsed / (2.0 * self.settings.slow_start_window.as_f64()))
    }

    /// Renews a family's weights, its rate and what its cold members may be sent, forgets what is past,
    /// and says how many members that were and which are to be probed. A cold member gets of each driver
    /// its even part of what the group served there, as far as it is warm: the sum stays inside the
    /// multiple. A driver may use its share of a single core.
    pub(super) fn refresh_group(
        &mut self,
        now: Micros,
        place: usize,
        elapsed: Micros,
        due: &mut Vec<HealthCheckCandidate>,
    ) -> usize {
        let usual = self.mean_latencies.iter().copied().fold(f64::INFINITY, f64::min);
        let since = self.groups.get_index(place).map_or(now, |(_, group)| group.refreshed_at);
        let elapsed = if since == Micros(0) { elapsed } else { now - since }.as_f64().max(1.0);
        let (kept, forget) = (self.served_decay(elapsed), half_life_decay(elapsed));
        let latest = self.groups.get_index(place).and_then(|(id, _)| self.log_now(now, *id));
        let Router { settings, members, served_span, limit_share, .. } = self;
        let Some((id, group)) = self.groups.get_index_mut(place) else { return 0 };
        group.refreshed_at = now;
        group.served_cost *= kept;
        let multiple = settings.overload_multiple * COLD_PART;
        let floor = 1.0 / f64::from(settings.gateways.max(1)) / usual;
        let window = settings.overload_window.as_f64() * COLD_BURST;
        let served = (group.served_cost / *served_span / group.live_members.max(1.0)).max(floor);
        let (looked, mut gone, mut passed) = (group.members.len(), 0.0, None);
        group.members.retain(|id| {
            let Some(member) = members.get_mut(id) else { return false };
            let warmth = member.slow_start.warmth(now, settings);
            let failure_rate = member.failure_rate();
            member.load.decay_failure_penalty(|| (-elapsed * (1.0 - failure_rate) / usual).exp());
            member.slow_start.refill(served * warmth * multiple, elapsed, window);
            member.forget_by(forget);
            member.refresh_weight(warmth);
            let listed = member.is_in_service();
            // Members gone for good are forgotten, or years of replacements would add up.
            if !(member.is_held() || listed && !member.outlier.is_lost()) {
                members.swap_remove(id);
                gone += f64::from(u8::from(listed));
                return false;
            }
            if !listed {
                return true;
            }
            if member.role.role() != Role::Primary {
                let position = member.log.position().unwrap_or_default();
                passed = Some(passed.map_or(position, |least: Micros| least.min(position)));
            }
            member.outlier.readmit_when_due(now, *limit_share);
            let urgent = member.outlier.has_connect_failures();
            let asked = member.health_check.last_started_at().max(member.log.updated_at());
            let routine = settings.replica_checks == ReplicaChecks::None;
            let due_now = !member.health_check.is_in_flight()
                && (urgent || routine)
                && now - asked >= HEALTH_CHECK_PAUSE;
            due.extend((due_now && settings.health_checks).then_some((!urgent, asked, *id)));
            true
        });
        group.live_members -= gone;
        group.primary = group.primary.filter(|leader| members.contains_key(leader));
        // A token that every live member has passed holds nobody back any more.
        let forgotten = self.sessions.forget(*id, passed.or(latest).unwrap_or_default(), MAX_PER_STEP);
        group.forgotten_commit =
            forgotten.map_or(group.forgotten_commit, |commit| group.forgotten_commit.max(commit));
        if let Some(latest) = latest {
            // What is further on stands for a time that was not known when the commit's answer was lost.
            self.sessions.lower(*id, latest + HOLD + Micros(ROUNDING as u64), MAX_PER_STEP);
        }
        let offset =
            self.groups.get_index(place).and_then(|(_, group)| self.within_common(group.log_clock.known()?));
        if let Some(offset) = offset {
            self.refreshed_offset = Some(self.refreshed_offset.map_or(offset, |other| other.hull(offset)));
        }
        looked
    }

    pub(super) fn health_checked(
        &mut self,
        now: Micros,
        id: MemberId,
        status: AttemptStatus,
        report: HealthReport,
        actions: &mut Actions,
    ) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.health_check.finish();
        let group = member.group();
        match status {
            AttemptStatus::Ok => {
                self.member_responded(now, id);
                self.observe_primary_report(now, id, report);
                self.observe_report(now, id, report);
                self.send_waiting(now, group, actions);
            }
            AttemptStatus::ConnectFailed | AttemptStatus::Reset | AttemptStatus::Timeout => {
                member.outlier.health_check_failed(now);
                self.sweep_by(now, actions);
            }
            _ => {}
        }
    }
}
