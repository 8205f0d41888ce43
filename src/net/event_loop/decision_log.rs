//! The log of decisions: the data that they were based on, why a request was given up, and why a connection to a host
//! was closed. Lines about single requests have level debug.

use std::fmt;

use slog::{debug, info, Drain};

use super::connections::{ConnectionId, ConnectionKind};
use super::host_connection::CloseReason;
use super::Gateway;
use crate::attempt::{AttemptOutcome, AttemptProgress, FailureCause, ResponseStatus};
use crate::notice::{
    role_name, AttemptTiming, GiveUp, LogTimeEvidence, Notice, PositionSource, ReadBasis, WriteRefusal,
};
use crate::{AttemptStatus, GroupId, LateAnswer, MemberId, Micros, RequestId};

impl Gateway {
    /// Logs a notice of the balancer.
    pub(super) fn log_notice(&self, notice: Notice) {
        match notice {
            Notice::LogTime { group, stepped, evidence, bounds } => {
                let LogTimeEvidence { status, position, sent, received, .. } = evidence;
                info!(self.log, "log time learned"; "group" => group.0, "stepped" => stepped,
                    "host" => self.directory.name(evidence.member), "answer" => attempt_status_name(status),
                    "position_ms" => self.unix_ms(Some(position)), "sent_ms_ago" => self.ms_ago(sent),
                    "heard_ms_ago" => self.ms_ago(received), "ahead_least_us" => bounds.0, "ahead_most_us" => bounds.1);
            }
            Notice::Primary { group, before, after } => self.log_primary(group, before, after),
            Notice::GivenUp { request, why, attempts } => {
                let id = self.client_id(request);
                debug!(self.log, "request given up"; "id" => id, "why" => give_up_name(why), "attempts" => attempts);
            }
        }
    }

    fn log_primary(&self, group: GroupId, before: Option<MemberId>, after: Option<MemberId>) {
        let name = |member: Option<MemberId>| member.map_or("none", |member| self.directory.name(member));
        if before.is_some() {
            info!(self.log, "primary changed"; "group" => group.0, "before" => name(before), "after" => name(after));
        } else {
            debug!(self.log, "primary found"; "group" => group.0, "host" => name(after));
        }
    }

    /// Logs that the last byte of an attempt has been written, and what the choice of its host was based on.
    pub(super) fn log_attempt(&self, request_id: RequestId, member: MemberId) {
        if !self.log.is_debug_enabled() {
            return;
        }
        let basis = self.balancer.read_basis(self.now, request_id);
        let Some(ReadBasis { needed, position, age, source, is_primary, role_age, log_time, evidence }) =
            basis
        else {
            return;
        };
        let dated_by =
            evidence.map(|evidence| (self.directory.name(evidence.member), LoggedStatus(evidence.status)));
        debug!(self.log, "attempt written"; "id" => self.client_id(request_id), "host" => self.directory.name(member),
            "needed_ms" => self.unix_ms(needed), "position_ms" => self.unix_ms(position), "age_ms" => age.0 / 1000,
"source" => source_name(source), "as_primary" => is_primary,
            "role_ms_ago" => role_age.map(|age| age.as_f64() / 1000.0), "log_time_ms" => self.unix_ms(log_time), "dated_by" => ?dated_by,
            "dated_ms_ago" => evidence.map(|evidence| self.ms_ago(evidence.received)));
    }

    /// Logs when an attempt was written, when its host was chosen, and when the first attempt was sent that it may
    /// repeat.
    pub(super) fn log_attempt_timing(&self, request_id: RequestId, written_at: Micros) {
        if !self.log.is_debug_enabled() {
            return;
        }
        let Some(timing) = self.balancer.attempt_timing(request_id) else { return };
        let AttemptTiming { chosen_at, first_sent_at, window } = timing;
        let ms_before = |time: Micros| (written_at - time).as_f64() / 1000.0;
        debug!(self.log, "attempt timing"; "id" => self.client_id(request_id),
            "chosen_ms_ago" => ms_before(chosen_at), "first_sent_ms_ago" => first_sent_at.map(ms_before),
            "window_ms" => window.map(|window| window.as_f64() / 1000.0));
    }

    /// Logs why an attempt was not written although its connection is ready.
    pub(super) fn log_write_refused(&self, request_id: RequestId, member: MemberId, why: WriteRefusal) {
        debug!(self.log, "attempt not written"; "id" => self.client_id(request_id),
            "host" => self.directory.name(member), "why" => write_refusal_name(why));
    }

    /// Logs the end of an attempt.
    pub(super) fn log_attempt_end(&self, request_id: RequestId, member: MemberId, outcome: &AttemptOutcome) {
        let (id, host) = (self.client_id(request_id), self.directory.name(member));
        match outcome {
            AttemptOutcome::Response { status, role, position } => {
                debug!(self.log, "attempt received a response"; "id" => id, "host" => host,
                    "said" => status_name(*status), "role" => role_name(*role),
                    "position_ms" => self.unix_ms(*position));
            }
            AttemptOutcome::NoResponse(failed) => {
                debug!(self.log, "attempt failed"; "id" => id, "host" => host,
                    "reach" => progress_name(failed.progress), "cause" => cause_name(failed.cause));
            }
        }
    }

    /// Logs that this gateway closes a connection to a host.
    pub(super) fn log_host_closed(&self, id: ConnectionId, why: CloseReason) {
        let Some(ConnectionKind::Host(host)) = self.connections.get(id).map(|connection| &connection.kind)
        else {
            return;
        };
        let is_answer_unread = host.protocol.attempt_progress() == AttemptProgress::FullyWritten;
        debug!(self.log, "connection to a host closed"; "connection" => id.index, "why" => close_reason_name(why),
            "host" => self.directory.name(host.member), "answer_unread" => is_answer_unread);
    }

    /// Logs what an answer tells that was read after its attempt or health check had been abandoned.
    pub(super) fn log_late_answer(&self, member: MemberId, answer: &LateAnswer) {
        debug!(self.log, "answer of an abandoned attempt read"; "host" => self.directory.name(member),
            "role" => role_name(answer.role), "position_ms" => self.unix_ms(answer.position),
            "sent_ms_ago" => self.ms_ago(answer.sent));
    }

    fn client_id(&self, request_id: RequestId) -> &str {
        self.requests.get(request_id).map_or("?", |request| request.statement.id.as_str())
    }

    fn unix_ms(&self, position: Option<Micros>) -> Option<f64> {
        position.map(|position| self.clock.unix_ms(position))
    }

    fn ms_ago(&self, time: Micros) -> f64 {
        (self.now - time).as_f64() / 1000.0
    }
}

/// The name of a response status in the log.
fn status_name(status: ResponseStatus) -> &'static str {
    match status {
        ResponseStatus::Served => "Served",
        ResponseStatus::Unsuitable => "Miss",
        ResponseStatus::Rejected => "TurnedAway",
        ResponseStatus::Failed => "Error",
    }
}

/// The name of a failed attempt's progress in the log.
fn progress_name(progress: AttemptProgress) -> &'static str {
    match progress {
        AttemptProgress::NotConnected => "NotConnected",
        AttemptProgress::PartiallyWritten => "PartlyWritten",
        AttemptProgress::FullyWritten => "WhollyWritten",
    }
}

/// The name of a failed attempt's cause in the log.
fn cause_name(cause: FailureCause) -> &'static str {
    match cause {
        FailureCause::ConnectionLost => "Lost",
        FailureCause::MalformedResponse => "Spoilt",
        FailureCause::TimedOut => "TimedOut",
        FailureCause::NotAttempted => "NotTried",
        FailureCause::WrittenTooLate => "WrittenTooLate",
        FailureCause::RoleNotConfirmed => "RoleNotConfirmed",
    }
}

/// The text in the log for the reason why a connection to a host was closed.
fn close_reason_name(why: CloseReason) -> &'static str {
    match why {
        CloseReason::IdleTimeout => "idle for too long",
        CloseReason::Distrusted => "idle connections to it are distrusted",
        CloseReason::CapacityNeeded => "room for another",
        CloseReason::UnexpectedInput => "bytes or an end while idle",
        CloseReason::NotRoutable => "draining or gone",
        CloseReason::ResponseNotAwaited => "its answer is not awaited any more",
        CloseReason::Failed(FailureCause::ConnectionLost) => "lost",
        CloseReason::Failed(FailureCause::MalformedResponse) => "spoilt",
        CloseReason::Failed(FailureCause::TimedOut) => "no answer in time",
        CloseReason::Failed(FailureCause::NotAttempted) => "not tried",
        CloseReason::Failed(FailureCause::WrittenTooLate) => "written too late",
        CloseReason::Failed(FailureCause::RoleNotConfirmed) => "role not confirmed",
    }
}

/// Formats an attempt's status under its name in the log.
struct LoggedStatus(AttemptStatus);

impl fmt::Debug for LoggedStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(attempt_status_name(self.0))
    }
}

/// The name of an attempt's status in the log.
fn attempt_status_name(status: AttemptStatus) -> &'static str {
    match status {
        AttemptStatus::Ok => "Ok",
        AttemptStatus::Error => "Error",
        AttemptStatus::Rejected => "Full",
        AttemptStatus::Timeout => "Timeout",
        AttemptStatus::ConnectFailed => "ConnectFailed",
        AttemptStatus::Reset => "Reset",
        AttemptStatus::Malformed => "Spoilt",
        AttemptStatus::Cancelled => "Cancelled",
        AttemptStatus::Withdrawn => "Withdrawn",
        AttemptStatus::NotSent => "Moot",
        AttemptStatus::Unsuitable => "Miss",
    }
}

/// The name in the log of the source of a host's assumed position.
fn source_name(source: PositionSource) -> String {
    match source {
        PositionSource::Unknown => "Nobody".to_string(),
        PositionSource::Answer(status) => format!("Answer({})", attempt_status_name(status)),
        PositionSource::Report => "Report".to_string(),
    }
}

/// The name in the log of the reason why an attempt was not written.
fn write_refusal_name(why: WriteRefusal) -> &'static str {
    match why {
        WriteRefusal::NotInFlight => "NotInFlight",
        WriteRefusal::OutOfService => "OutOfService",
        WriteRefusal::DataTooOld => "DataTooOld",
        WriteRefusal::OutsideRepeatWindow => "OutsideRepeatWindow",
        WriteRefusal::DeadlinePassed => "DeadlinePassed",
    }
}

/// The name in the log of the reason why a request was given up.
fn give_up_name(why: GiveUp) -> &'static str {
    match why {
        GiveUp::NoTime => "NoTime",
        GiveUp::Waited => "Waited",
        GiveUp::Overdue => "Overdue",
        GiveUp::NoRetry => "NoRetry",
    }
}
