//! Attempts: whether another one is allowed, and what is recorded when one is sent or fails.

use super::choice::is_check_due;
use super::housekeeping::MIN_HEALTH_CHECK_INTERVAL;
use super::member::Member;
use super::open_request::{Attempt, OpenRequest};
use super::queue::DROP_RATE_SAMPLE_WEIGHT;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::{AttemptTiming, GiveUp};

/// Errors after which a read is given up.
const MAX_READ_ERRORS: u32 = 2;

impl Router {
    /// Whether a further attempt is within the limits on attempts and cannot make the request take effect
    /// twice. An idempotent request may be executed twice.
    pub(super) fn may_send(&self, now: Micros, open: &OpenRequest) -> bool {
        let may_hedge = open.in_flight.is_empty() || self.settings.hedging;
        let may_repeat = may_hedge && now < self.repeat_window_end(open);
        open.attempts < open.max_attempts
            && match self.settings.classes[open.request.class.0].idempotency {
                Idempotency::Idempotent => may_repeat && open.errors < MAX_READ_ERRORS,
                Idempotency::NonIdempotent | Idempotency::IdempotencyKey { .. } => {
                    open.proved_not_executed() || may_repeat
                }
            }
    }

    /// The times that decide whether the attempt in flight may repeat an earlier one.
    pub fn attempt_timing(&self, id: RequestId) -> Option<AttemptTiming> {
        let open = self.open_requests.get(&id)?;
        let (number, _) = open.in_flight.last()?;
        let window = match self.settings.classes[open.request.class.0].idempotency {
            Idempotency::IdempotencyKey { window, .. } => Some(window),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        };
        Some(AttemptTiming {
            chosen_at: self.attempts.get(&(id, *number))?.sent,
            first_sent_at: open.executed_from.filter(|_| open.may_have_executed),
            window,
        })
    }

    /// Sends a request to a member.
    pub(super) fn send(&mut self, now: Micros, id: RequestId, to: MemberId, actions: &mut Actions) {
        let Some(open) = self.open_requests.get(&id) else { return };
        let class = open.request.class;
        let (cost, needed) = (self.latencies.cost(class), self.needed(now, open).unwrap_or_default());
        let (Some(open), Some(member)) = (self.open_requests.get_mut(&id), self.members.get_mut(&to)) else {
            return;
        };
        let Request { session, group, repeat, .. } = open.request;
        if let Some(entry) = open.queue_entry.take() {
            self.request_index.dequeue(entry);
        }
        if let Some(group) = self.groups.get_mut(&group).filter(|_| open.attempts == 0) {
            group.queue_drop_rate -= group.queue_drop_rate * DROP_RATE_SAMPLE_WEIGHT;
        }
        let attempt = open.begin_attempt(now, to);
        let idle_time = idle_time(now, member, self.settings.connection_idle_timeout);
        let distrusted = idle_time.is_some_and(|time| time > self.idle_connections.trusted_time());
        if distrusted {
            actions.push(Action::CloseIdle { member: to });
        }
        member.load.begin(now, cost);
        member.slow_start.spend(cost);
        if let (Consistency::Write, Some(key)) = (self.settings.classes[class.0].consistency, session) {
            self.sessions.begin(group, key);
        }
        let sent = Attempt {
            class,
            group,
            session,
            sent: now,
            repeat,
            idle_time: idle_time.filter(|_| !distrusted),
            needed,
            cost,
            load_at_send: member.load.cost_in_flight(),
            streaming: false,
        };
        self.attempts.insert((id, attempt), sent);
        // The member gets a timeout: it drops a request that it has not begun by then.
        let timeout = Some(open.give_up_at + self.sweep_period() - now);
        actions.push(Action::Send { request: id, member: to, timeout });
    }

    /// Records a failed attempt. If no other attempt of the request is in flight, queues the request again
    /// or, if no further attempt is allowed or the deadline is a tick away or less, gives it up.
    pub(super) fn after_failure(&mut self, now: Micros, outcome: &Outcome, actions: &mut Actions) {
        let may_return = self.is_unconfirmed(outcome);
        let Some(open) = self.open_requests.get_mut(&outcome.request) else { return };
        open.record_failure(outcome, may_return);
        if !open.in_flight.is_empty() {
            return;
        }
        let open = &self.open_requests[&outcome.request];
        if !self.may_send(now, open) || now + self.settings.tick >= open.deadline {
            self.give_up(now, outcome.request, GiveUp::NoRetry, actions);
            self.check_after_reset(now, outcome, actions);
        } else {
            self.enqueue(outcome.request);
        }
    }

    /// Checks the health of a member whose connection was reset, since no further attempt shows whether it
    /// still runs. Without an answer soon it would count as restarted. Takes no token: there is at most one
    /// check for each lost attempt.
    fn check_after_reset(&mut self, now: Micros, outcome: &Outcome, actions: &mut Actions) {
        let is_due = self.members.get(&outcome.member).is_some_and(|member| is_check_due(now, member));
        if outcome.status == AttemptStatus::Reset && is_due && self.settings.health_checks {
            self.start_health_check(now, outcome.member, actions);
        }
    }
}

/// How long a member's connections have been idle, if longer than [`MIN_HEALTH_CHECK_INTERVAL`] and still
/// open.
fn idle_time(now: Micros, member: &Member, idle_timeout: Micros) -> Option<Micros> {
    let since = now - member.load.last_used_at();
    let idle = !member.load.is_in_use() && since > MIN_HEALTH_CHECK_INTERVAL && since < idle_timeout;
    idle.then_some(since)
}
