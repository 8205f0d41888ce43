//! Ends of attempts: what each says about its member, its class and its session.

use super::class_latencies::ClassLatencies;
use super::idle_connections::is_unanswered;
use super::member::Member;
use super::open_request::Attempt;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::{LogTimeEvidence, PositionSource};

/// Least concurrency limit over all gateways: enough to keep a member's cores at work, whatever makes all
/// answers slow, and to go on learning from them.
const MIN_LIMIT: f64 = 6.5;
/// Part of the latency objective that a limit steers the mean latency to: few answers come after it.
const LIMIT_TARGET: f64 = 0.25;
/// Step of a concurrency limit for each answer: some answers move it by a request's cost.
const LIMIT_STEP: f64 = 0.3;
/// Longest step for one of many gateways.
const MAX_LIMIT_STEP: f64 = 0.85;
/// A latency counts for at most this many latency objectives, as does a rejection: a few requests that cost
/// many times the usual work do not speak for all.
const MAX_OBJECTIVES: f64 = 1.0;

impl Router {
    /// An attempt has ended.
    pub(super) fn outcome(&mut self, now: Micros, outcome: Outcome, actions: &mut Actions) {
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

    /// Takes in what an answer says about its member.
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
        // A served write's position is its commit, which its primary has reached.
        self.observe_member(now, member, role, now, position, PositionSource::Answer(status));
        self.observe_report(now, member, report);
    }

    /// Keeps what a session's write has committed, or may have.
    fn record_commit(&mut self, now: Micros, outcome: &Outcome, attempt: &Attempt) {
        let Some(key) = attempt.session else { return };
        if self.settings.classes[attempt.class.0].consistency != Consistency::Write {
            return;
        }
        let commit = match (outcome.status, outcome.position) {
            (status, _) if status.proves_not_executed() => Micros(0),
            (AttemptStatus::Ok, Some(commit)) => commit,
            // What was lost on the way may have been a commit: its session reads on from this moment.
            _ => self.log_now(now + self.max_stall(), attempt.group).unwrap_or(Micros(u64::MAX)),
        };
        self.committed(attempt.group, key, commit);
        self.sessions.end(attempt.group, key);
    }

    /// Where members check reads, those that one serves and rejects show how far it is.
    fn record_checked_read(&mut self, now: Micros, outcome: &Outcome, attempt: &Attempt) {
        let (needed, latest) = (attempt.needed, self.log_now(now, attempt.group));
        let (Some(latest), Some(member)) = (latest, self.members.get_mut(&outcome.member)) else { return };
        match outcome.status {
            _ if needed == Micros(0) => {}
            AttemptStatus::Unsuitable => member.log.rejected_read(needed, latest),
            AttemptStatus::Ok => member.log.served_read(needed, latest),
            _ => {}
        }
    }

    /// A session's write was committed, here or at the process beside this one.
    pub fn committed(&mut self, group: GroupId, key: SessionKey, commit: Micros) {
        self.sessions.committed(group, key, commit);
    }

    /// The latest known commit of a session in a group, or the moment up to which it may have committed.
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
        // The member is not blamed where something drops idle connections silently.
        let idle_timeout = self.settings.connection_idle_timeout;
        let dropped_while_idle =
            self.idle_connections.record(outcome.status, attempt.idle_time, idle_timeout);
        if !dropped_while_idle {
            let objective = self.settings.classes[attempt.class.0].latency_objective;
            let latency = record_latency(&mut self.latencies, member, outcome, attempt.class, objective);
            if let Some(objectives) = latency {
                adapt_limit(member, objectives, attempt, &self.settings, self.limit_share);
                member.load.pause_after(now, outcome.latency);
            }
            if is_unanswered(outcome.status) {
                // It may be partitioned, which shows in nothing else.
                member.outlier.went_unanswered(now, outcome.latency);
            }
        }
        record_failure(now, member, outcome.status, attempt.cost);
    }
}

/// Whether an attempt with this end was answered by its member.
fn is_answer(status: AttemptStatus) -> bool {
    use AttemptStatus::{Error, Malformed, Ok, Rejected, Unsuitable};
    matches!(status, Ok | Unsuitable | Rejected | Error | Malformed)
}

/// Records a latency at the member and its class. How many latency objectives it counts for in the member's
/// limit, if it says anything of that.
fn record_latency(
    latencies: &mut ClassLatencies,
    member: &mut Member,
    outcome: &Outcome,
    class: ClassId,
    objective: Micros,
) -> Option<f64> {
    let latency = outcome.latency.as_f64();
    let objectives = latency / objective.as_f64();
    match outcome.status {
        AttemptStatus::Ok => {
            member.record_latency(latencies.record_served(class, latency));
            Some(objectives)
        }
        AttemptStatus::Timeout | AttemptStatus::Cancelled => {
            latencies.record_unanswered(class, latency);
            Some(objectives.max(1.0))
        }
        AttemptStatus::Rejected => Some(MAX_OBJECTIVES),
        _ => None,
    }
}

/// Moves a member's concurrency limit towards the one at which its mean latency is on target.
fn adapt_limit(member: &mut Member, objectives: f64, attempt: &Attempt, settings: &Settings, share: f64) {
    // Of many gateways each sees few answers, and the noise of their steps evens out: they are longer.
    let step = (LIMIT_STEP / share.sqrt()).min(MAX_LIMIT_STEP);
    let step = step * (1.0 - objectives.min(MAX_OBJECTIVES) / LIMIT_TARGET);
    let step = step * attempt.cost.min(member.load.limit().max(1.0));
    let floor = MIN_LIMIT / f64::from(settings.gateways.max(1));
    member.load.adjust_limit(step, attempt.load_at_send, floor);
}

/// Records whether an attempt failed: in the failure rate, the penalty and outlier detection.
fn record_failure(now: Micros, member: &mut Member, status: AttemptStatus, cost: f64) {
    match status {
        AttemptStatus::Ok => member.record_success(),
        // It has done the work and sent something: neither down nor idle.
        AttemptStatus::Malformed => member.record_failure(),
        // What it has begun may go on there, for about as long as a request takes.
        AttemptStatus::Timeout | AttemptStatus::Cancelled => member.load.add_failure_penalty(cost),
        // A member that fails or rejects at once must not look lightly loaded and draw all traffic; one that
        // failed by chance is spared for no longer than a request takes.
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
