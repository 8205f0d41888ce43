//! Attempts: what is booked when one is sent and when it ends, and whether another may follow.

use super::capacity::LIMIT_FLOOR;
use super::housekeeping::HEALTH_CHECK_PAUSE;
use super::open_request::{Attempt, OpenRequest};
use super::queue::DROP_RATE_GAIN;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::{GiveUp, LogTimeEvidence, PositionSource};

/// Weight of a new sample in a running mean of latencies: about the last fifty count.
const MEAN_GAIN: f64 = 0.02;
/// Part of the aim that a limit steers the mean latency to: few answers come after it.
const LIMIT_AIM: f64 = 0.25;
/// Step of a concurrency limit for each answer: some answers move it by a request's worth.
const LIMIT_STEP: f64 = 0.3;
/// Most that it may be for one of many drivers: an answer more or less moves a limit by a request's worth.
const LONGEST_STEP: f64 = 0.85;
/// A latency counts for at most this many aims, as does a full queue: a few requests that cost many times the
/// usual work do not speak for all.
const MISSED: f64 = 1.0;
/// Errors after which a read is given up.
const MAX_READ_ERRORS: u32 = 2;
/// Losses in a row on idle connections, none on others, from which those are distrusted.
const IDLE_LOSSES: u32 = 4;

impl Router {
    /// Whether a further attempt keeps rule two and the limits on attempts.
    pub(super) fn may_send(&self, now: Micros, open: &OpenRequest) -> bool {
        let free = open.proved_not_executed();
        let copies = open.out.is_empty() || self.settings.hedging;
        open.attempts < open.most
            && match self.settings.classes[open.req.class.0].idempotency {
                Idempotency::Idempotent => copies && open.errors < MAX_READ_ERRORS,
                Idempotency::NonIdempotent
                | Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, .. } => free,
                Idempotency::IdempotencyKey { window, .. } => {
                    free || copies && open.ran.is_none_or(|sent| now < sent + window)
                }
            }
    }

    pub(super) fn send(&mut self, now: Micros, id: RequestId, to: MemberId, actions: &mut Actions) {
        let Some(class) = self.open.get(&id).map(|open| open.req.class) else { return };
        let cost = self.cost(class);
        let needed = self.needed(now, &self.open[&id]).unwrap_or_default();
        let (Some(open), Some(member)) = (self.open.get_mut(&id), self.members.get_mut(&to)) else { return };
        if let Some(queue_entry) = open.queue_entry.take() {
            self.request_index.leave(queue_entry);
        }
        if open.attempts == 0 {
            self.groups
                .entry(open.req.group)
                .and_modify(|group| group.queue_drop_rate -= group.queue_drop_rate * DROP_RATE_GAIN);
        }
        let attempt = AttemptNo(open.attempts);
        open.attempts += 1;
        open.out.push((attempt, to));
        open.ran = open.ran.or(Some(now));
        let (since, open_for) = (now - member.load.last_used_at(), self.settings.connection_idle_timeout);
        let idle = !member.load.is_in_use() && since > HEALTH_CHECK_PAUSE && since < open_for;
        if idle && since > self.trusted_idle_time {
            actions.push(Action::CloseIdle { member: to });
        }
        let idle = (idle && since <= self.trusted_idle_time).then_some(since);
        member.load.begin(now, cost);
        member.slow_start.spend(cost);
        let (session, group, repeat) = (open.req.session, open.req.group, open.req.repeat);
        if let (Consistency::Write, Some(key)) = (self.settings.classes[class.0].consistency, session) {
            self.sessions.begin(group, key);
        }
        self.attempts.insert(
            (id, attempt),
            Attempt {
                class,
                group,
                session,
                sent: now,
                repeat,
                idle,
                needed,
                cost,
                load: member.load.cost_in_flight(),
                flows: false,
            },
        );
        // The member is told by when it is too late: it drops what it has not begun by then.
        let timeout = Some(open.give_up + self.period() - now);
        actions.push(Action::Send { request: id, member: to, timeout });
    }

    pub(super) fn outcome(&mut self, now: Micros, o: Outcome, actions: &mut Actions) {
        let Some(attempt) = self.attempts.remove(&(o.request, o.attempt)) else { return };
        self.record_outcome(now, &o, &attempt);
        let answered = matches!(
            o.status,
            AttemptStatus::Ok
                | AttemptStatus::Unsuitable
                | AttemptStatus::Rejected
                | AttemptStatus::Error
                | AttemptStatus::Malformed
        );
        if answered {
            self.member_responded(now, o.member);
            self.members.entry(o.member).and_modify(|m| m.outlier.answered_request());
        }
        if let (Some(Role::Primary), Some(position)) = (o.role, o.position) {
            let (member, status, sent) = (o.member, o.status, attempt.sent);
            let kind = self.position_kind(&o, &attempt);
            self.observe_primary(
                now,
                LogTimeEvidence { member, status, position, kind, sent, received: now },
            );
        }
        // A served write's position is its commit, which its primary has reached.
        self.observe_member(now, o.member, o.role, now, o.position, PositionSource::Answer(o.status));
        self.observe_report(now, o.member, o.report);
        let write = self.settings.classes[attempt.class.0].consistency == Consistency::Write;
        if let Some(key) = attempt.session.filter(|_| write) {
            // What was lost on the way may have been a commit: its session reads on from this moment.
            let told = o.position.filter(|_| o.status == AttemptStatus::Ok);
            let lost = self.log_now(now + self.hold(), attempt.group).unwrap_or(Micros(u64::MAX));
            let commit = if o.status.proves_not_executed() { Micros(0) } else { told.unwrap_or(lost) };
            self.committed(attempt.group, key, commit);
            self.sessions.end(attempt.group, key);
        }
        let latest = self.log_now(now, attempt.group);
        let Some(member) = self.members.get_mut(&o.member) else { return };
        let group = member.group();
        if o.status == AttemptStatus::Ok {
            self.groups.entry(group).or_default().served_cost += attempt.cost;
        }
        let checked = attempt.needed > Micros(0) && self.settings.replica_checks == ReplicaChecks::Reject;
        if let Some(latest) = latest.filter(|_| checked) {
            // Where members check, what they serve and what they turn away tells how far they are.
            if o.status == AttemptStatus::Unsuitable {
                member.log.rejected_read(attempt.needed, latest);
            } else if o.status == AttemptStatus::Ok {
                member.log.served_read(attempt.needed, latest);
            }
        }
        if o.finished {
            self.cancel_remaining(o.request, actions);
            self.close(o.request);
        } else {
            self.after_failure(now, &o, actions);
        }
        self.send_waiting(now, group, actions);
    }

    /// Books an outcome to its member: load, limit, latency and failures.
    pub(super) fn record_outcome(&mut self, now: Micros, o: &Outcome, attempt: &Attempt) {
        let mean = &mut self.mean_latencies[attempt.class.0];
        let latency_objective = self.settings.classes[attempt.class.0].latency_objective.as_f64();
        let latency = o.latency.as_f64();
        let Some(member) = self.members.get_mut(&o.member) else { return };
        match o.status {
            AttemptStatus::ConnectFailed => member.load.mark_disconnected(),
            _ => member.load.mark_used(now),
        }
        if !attempt.flows {
            member.load.end(attempt.cost);
        }
        // Answers that stay out on idle connections only: something drops those unseen. Shorter idle
        // times are trusted then, not so where none can be made, and the member is not blamed.
        let silent =
            matches!(o.status, AttemptStatus::Timeout | AttemptStatus::Cancelled | AttemptStatus::Reset);
        let idle = attempt.idle.filter(|_| silent);
        if o.status == AttemptStatus::ConnectFailed {
            self.trusted_idle_time = self.settings.connection_idle_timeout;
        } else if silent || attempt.idle.is_some() {
            self.idle_losses = if idle.is_some() { self.idle_losses + 1 } else { 0 };
        }
        let dropped = idle.filter(|_| self.idle_losses >= IDLE_LOSSES);
        self.trusted_idle_time =
            dropped.map_or(self.trusted_idle_time, |time| self.trusted_idle_time.min(time.scale(0.5)));
        let used = match o.status {
            _ if dropped.is_some() => None,
            AttemptStatus::Ok => {
                member.record_latency(latency / *mean);
                *mean += (latency - *mean) * MEAN_GAIN;
                Some(latency / latency_objective)
            }
            AttemptStatus::Timeout | AttemptStatus::Cancelled => {
                *mean += (latency - *mean).max(0.0) * MEAN_GAIN;
                Some((latency / latency_objective).max(1.0))
            }
            AttemptStatus::Rejected => Some(MISSED),
            _ => None,
        };
        // It may be cut off, which shows in nothing else.
        if silent && dropped.is_none() {
            member.outlier.went_unanswered(now, o.latency);
        }
        if let Some(used) = used {
            // Of many drivers each sees few answers, and the noise of their steps evens out: they are longer.
            let step = (LIMIT_STEP / self.limit_share.sqrt()).min(LONGEST_STEP);
            let step = step * (1.0 - used.min(MISSED) / LIMIT_AIM);
            let step = step * attempt.cost.min(member.load.limit().max(1.0));
            let floor = LIMIT_FLOOR / f64::from(self.settings.gateways.max(1));
            member.load.adjust_limit(step, attempt.load, floor);
            member.load.pause_after(now, o.latency);
        }
        match o.status {
            AttemptStatus::Ok => member.record_success(),
            // It has done the work and sent something: neither down nor idle.
            AttemptStatus::Malformed => member.record_failure(),
            // What it has begun may go on there, for about as long as a request takes.
            AttemptStatus::Timeout | AttemptStatus::Cancelled => {
                member.load.add_failure_penalty(attempt.cost)
            }
            // A member that fails or turns away at once must not look lightly loaded and draw all
            // traffic; one that failed by chance is spared for no longer than a request takes.
            AttemptStatus::Error
            | AttemptStatus::Rejected
            | AttemptStatus::ConnectFailed
            | AttemptStatus::Reset => {
                member.record_failure();
                member.load.add_failure_penalty(attempt.cost);
            }
            _ => {}
        }
        if matches!(o.status, AttemptStatus::ConnectFailed | AttemptStatus::Reset) {
            member.outlier.connection_failed(now, o.status == AttemptStatus::Reset);
        }
    }

    /// What becomes of a request whose attempt failed.
    pub(super) fn after_failure(&mut self, now: Micros, o: &Outcome, actions: &mut Actions) {
        let Some(open) = self.open.get_mut(&o.request) else { return };
        open.out.retain(|(attempt, _)| *attempt != o.attempt);
        open.unproven |= !o.status.proves_not_executed();
        open.ran = open.ran.filter(|_| !open.proved_not_executed());
        open.avoid.push(o.member);
        // Errors that follow a read from member to member are its own.
        open.errors += u32::from(o.status == AttemptStatus::Error);
        if open.out.is_empty() {
            let open = &self.open[&o.request];
            if !self.may_send(now, open) || now + self.settings.tick >= open.deadline {
                self.give_up(now, o.request, GiveUp::NoRetry, actions);
            } else {
                self.enqueue(o.request);
            }
        }
    }
}
