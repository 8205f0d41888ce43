//! Processes the end of each attempt: updates its member, its class and its session.

use super::class_latencies::ClassLatencies;
use super::idle_connections::is_unanswered;
use super::member::Member;
use super::open_request::Attempt;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::{LogTimeEvidence, PositionSource};

/// Minimum concurrency limit of a member, summed over all gateways. Even if something slows all answers, it
/// is enough to keep the member's cores busy and to get the answers by which the limit adapts.
const MIN_LIMIT: f64 = 6.5;
/// Fraction of the latency objective to which a limit steers the mean latency: few answers then miss the
/// objective.
const TARGET_LATENCY_FRACTION: f64 = 0.25;
/// Step of a concurrency limit per answer, as a fraction of the request's cost: about three fast answers
/// raise the limit by the cost of one request.
const LIMIT_STEP: f64 = 0.3;
/// Maximum step where many gateways share the limits.
const MAX_LIMIT_STEP: f64 = 0.85;
/// Cap on the ratio of a latency to its latency objective, and the ratio that a rejection counts as: a few
/// requests with many times the usual work must not dominate the limit.
const MAX_OBJECTIVE_RATIO: f64 = 1.0;

impl Router {
    /// Processes the end of an attempt.
    pub(super) fn attempt_ended(&mut self, now: Micros, outcome: Outcome, actions: &mut Actions) {
        let Some(attempt) = self.attempts.remove(&(outcome.request, outcome.attempt)) else { return };
        self.record_outcome(now, &outcome, &attempt);
        self.observe_answer(now, &outcome, &attempt);
        self.record_commit(now, &outcome, &attempt);
        let Some(group) = self.members.get(&outcome.member).map(Member::group) else { return };
        if outcome.status == AttemptStatus::Ok {
            self.groups.entry(group).or_default().served_cost += attempt.cost;
        }
        if self.settings.replica_checks == ReplicaChecks::Reject {
            self.record_checked_read(now, &outcome, &attempt);
        }
        if outcome.finished {
            self.cancel_remaining(outcome.request, actions);
            self.close(outcome.request);
        } else {
            self.after_failure(now, &outcome, actions);
        }
        self.send_waiting(now, group, actions);
    }

    /// Records the member's state as its answer reports it.
    fn observe_answer(&mut self, now: Micros, outcome: &Outcome, attempt: &Attempt) {
        let &Outcome { member, status, role, position, report, .. } = outcome;
        if is_answer(status) {
            self.member_responded(now, member);
            if let Some(member) = self.members.get_mut(&member) {
                member.outlier.answered_request();
            }
        }
        if let (Some(Role::Primary), Some(position)) = (role, position) {
            let (kind, sent) = (self.position_kind(outcome, attempt), attempt.sent);
            let answer = LogTimeEvidence { member, status, position, kind, sent, received: now };
            self.observe_primary(now, answer);
        }
        // The position of a served write is its commit, which the primary has reached.
        self.observe_member(now, member, role, now, position, PositionSource::Answer(status));
        self.observe_report(now, member, report);
    }

    /// Records the position of a session's commit or, if that is unknown, the latest position that it may
    /// have.
    fn record_commit(&mut self, now: Micros, outcome: &Outcome, attempt: &Attempt) {
        let Some(key) = attempt.session else { return };
        if self.settings.classes[attempt.class.0].consistency != Consistency::Write {
            return;
        }
        let commit = match (outcome.status, outcome.position) {
            (status, _) if status.proves_not_executed() => Micros(0),
            (AttemptStatus::Ok, Some(commit)) => commit,
            // The lost answer may have reported a commit: later reads of the session must see the log as of
            // this moment.
            _ => self.log_now(now + self.max_stall(), attempt.group).unwrap_or(Micros(u64::MAX)),
        };
        self.committed(attempt.group, key, commit);
        self.sessions.end(attempt.group, key);
    }

    /// Updates a member's position and lag from a read that it checked and then served or rejected.
    fn record_checked_read(&mut self, now: Micros, outcome: &Outcome, attempt: &Attempt) {
        let (needed, latest_log_time) = (attempt.needed, self.log_now(now, attempt.group));
        let (Some(latest_log_time), Some(member)) = (latest_log_time, self.members.get_mut(&outcome.member))
        else {
            return;
        };
        match outcome.status {
            _ if needed == Micros(0) => {}
            AttemptStatus::Unsuitable => member.log.rejected_read(needed, latest_log_time),
            AttemptStatus::Ok => member.log.served_read(needed, latest_log_time),
            _ => {}
        }
    }

    /// Records a commit of a session, made through this process or another one of the gateway.
    pub fn committed(&mut self, group: GroupId, key: SessionKey, commit: Micros) {
        self.sessions.committed(group, key, commit);
    }

    /// The latest known commit of a session in a group, or the time up to which it may have committed.
    pub fn commit(&self, group: GroupId, key: SessionKey) -> Option<Micros> {
        self.sessions.commit(group, key).filter(|commit| *commit > Micros(0))
    }

    /// A response has started to stream: the request has its final answer, and the member's capacity is free
    /// again.
    pub(super) fn response_started(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let Some(open) = self.open_requests.get(&id) else { return };
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

    /// Records an outcome at its member: load, limit, latency and failures.
    fn record_outcome(&mut self, now: Micros, outcome: &Outcome, attempt: &Attempt) {
        let Some(member) = self.members.get_mut(&outcome.member) else { return };
        match outcome.status {
            AttemptStatus::ConnectFailed => member.load.mark_disconnected(),
            _ => member.load.mark_used(now),
        }
        if !attempt.streaming {
            member.load.end(attempt.cost);
        }
        // The member is not to blame if something drops idle connections silently.
        let idle_timeout = self.settings.connection_idle_timeout;
        let dropped_while_idle =
            self.idle_connections.record(outcome.status, attempt.idle_time, idle_timeout);
        if !dropped_while_idle {
            let objective = self.settings.classes[attempt.class.0].latency_objective;
            let latency = record_latency(&mut self.latencies, member, outcome, attempt.class, objective);
            if let Some(objective_ratio) = latency {
                adapt_limit(member, objective_ratio, attempt, &self.settings, self.limit_share);
                member.load.pause_after(now, outcome.latency);
            }
            if is_unanswered(outcome.status) {
                // The member may be partitioned, which no other signal shows.
                member.outlier.went_unanswered(now, outcome.latency);
            }
        }
        record_failure(now, member, outcome.status, attempt.cost);
    }
}

/// Whether an attempt that ended with this status was answered by its member.
fn is_answer(status: AttemptStatus) -> bool {
    use AttemptStatus::{Error, Malformed, Ok, Rejected, Unsuitable};
    matches!(status, Ok | Unsuitable | Rejected | Error | Malformed)
}

/// Records a latency at the member and its class. Returns the ratio to the latency objective for the member's
/// limit, if the attempt counts for the limit.
fn record_latency(
    latencies: &mut ClassLatencies,
    member: &mut Member,
    outcome: &Outcome,
    class: ClassId,
    objective: Micros,
) -> Option<f64> {
    let latency = outcome.latency.as_f64();
    let objective_ratio = latency / objective.as_f64();
    match outcome.status {
        AttemptStatus::Ok => {
            member.record_latency(latencies.record_served(class, latency));
            Some(objective_ratio)
        }
        AttemptStatus::Timeout | AttemptStatus::Cancelled => {
            latencies.record_unanswered(class, latency);
            Some(objective_ratio.max(1.0))
        }
        AttemptStatus::Rejected => Some(MAX_OBJECTIVE_RATIO),
        _ => None,
    }
}

/// Moves a member's concurrency limit towards the one at which its mean latency is on target. `share` is this
/// gateway's fraction of the usual limits.
fn adapt_limit(
    member: &mut Member,
    objective_ratio: f64,
    attempt: &Attempt,
    settings: &Settings,
    share: f64,
) {
    // Each of many gateways gets few answers, and the noise of their steps averages out: the steps are
    // longer.
    let step = (LIMIT_STEP / share.sqrt()).min(MAX_LIMIT_STEP);
    let step = step * (1.0 - objective_ratio.min(MAX_OBJECTIVE_RATIO) / TARGET_LATENCY_FRACTION);
    let step = step * attempt.cost.min(member.load.limit().max(1.0));
    let floor = MIN_LIMIT / f64::from(settings.gateways.max(1));
    member.load.adjust_limit(step, attempt.load_at_send, floor);
}

/// Records an attempt's success or failure in the failure rate, the penalty and outlier detection.
fn record_failure(now: Micros, member: &mut Member, status: AttemptStatus, cost: f64) {
    match status {
        AttemptStatus::Ok => member.record_success(),
        // The member has done the work and sent an answer: it is neither down nor idle, and gets no penalty.
        AttemptStatus::Malformed => member.record_failure(),
        // The member may continue the work for about as long as a request takes.
        AttemptStatus::Timeout | AttemptStatus::Cancelled => member.load.add_failure_penalty(cost),
        // A member that fails or rejects at once must not look lightly loaded and attract all traffic. After
        // a random failure the penalty lasts no longer than a request takes.
        AttemptStatus::Error
        | AttemptStatus::Rejected
        | AttemptStatus::ConnectFailed
        | AttemptStatus::Reset => {
            member.record_failure();
            member.load.add_failure_penalty(cost);
        }
        AttemptStatus::Withdrawn | AttemptStatus::NotSent | AttemptStatus::Unsuitable => {}
    }
    if matches!(status, AttemptStatus::ConnectFailed | AttemptStatus::Reset) {
        member.outlier.connection_failed(now, status == AttemptStatus::Reset);
    }
}
