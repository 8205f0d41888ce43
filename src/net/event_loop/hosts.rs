//! The loop's part for hosts: connections to them, what they say, and probes.

use std::io;

use slog::{debug, warn};

use super::slots::{Key, Link, Slot};
use super::timers::Timer;
use super::Gateway;
use crate::attempt::{AttemptOutcome, AttemptProgress, FailedAttempt, FailureCause, ResponseStatus};
use crate::net::dial;
use crate::pg::host::{is_rejection, HostConnection, HostEvent, HostResponse};
use crate::pg::load_report;
use crate::shortage::is_shortage;
use crate::{MemberId, Micros, RequestId};

/// How long a probe may take.
const PROBE_TIMEOUT: Micros = Micros::millis(250);

pub(super) struct HostLink {
    pub(super) protocol: HostConnection,
    pub(super) member: MemberId,
    pub(super) welcome: bool,
    /// The attempt on it is counted among those written whole.
    pub(super) counted: bool,
    /// Not read, since the client that its answer flows to has enough unread.
    pub(super) held: bool,
    /// When the attempt on it ends at the latest.
    pub(super) until: Micros,
    /// When bytes last came.
    pub(super) heard: Micros,
    pub(super) task: Task,
}

/// What the log says of a connection that is given up for this cause.
fn close_reason(cause: FailureCause) -> &'static str {
    match cause {
        FailureCause::ConnectionLost => "lost",
        FailureCause::MalformedResponse => "spoilt",
        FailureCause::TimedOut => "no answer in time",
        FailureCause::NotAttempted => "not tried",
        FailureCause::WrittenTooLate => "written too late",
    }
}

/// What a connection to a host is for at present.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Task {
    None,
    Attempt(RequestId),
    Probe,
}

impl Gateway {
    pub(super) fn connect(&mut self, member: MemberId) -> Result<Key, FailureCause> {
        let address = self.directory.address(member).ok_or(FailureCause::NotAttempted)?;
        if !self.pool.has_room() {
            match self.pool.oldest() {
                Some(idle) => {
                    self.log_host_closed(idle, "room for another");
                    self.close(idle);
                }
                None => {
                    warn!(self.log, "no descriptors left for hosts"; "open" => self.pool.len());
                    return Err(FailureCause::NotAttempted);
                }
            }
        }
        self.counts.connects += 1;
        let socket = dial(address).map_err(|e| {
            if is_shortage(&e) {
                FailureCause::NotAttempted
            } else {
                FailureCause::ConnectionLost
            }
        })?;
        let link = HostLink {
            protocol: HostConnection::default(),
            member,
            welcome: false,
            counted: false,
            held: false,
            until: self.now,
            heard: self.now,
            task: Task::None,
        };
        let key = self.insert(socket, Link::Host(link), true).map_err(|_| FailureCause::NotAttempted)?;
        self.set_timer(self.connect_timeout, Timer::Connect(key));
        Ok(key)
    }

    /// An idle connection to the member on which nothing has come. What lies unread there is no answer
    /// to the next request, and must not be taken for it.
    pub(super) fn take_idle(&mut self, member: MemberId) -> Option<Key> {
        while let Some(key) = self.pool.take(self.now, member) {
            let quiet = |slot: &mut Slot| slot.socket.peek(&mut [0]).err().map(|e| e.kind());
            if self.slot(key).and_then(quiet) == Some(io::ErrorKind::WouldBlock) {
                return Some(key);
            }
            self.log_host_closed(key, "bytes or an end while idle");
            self.close(key);
        }
        None
    }

    pub(super) fn host_turn(&mut self, key: Key, turn: HostEvent) {
        let Some(host) = self.host(key) else { return };
        let (member, task) = (host.member, host.task);
        match turn {
            HostEvent::Ready => {
                host.welcome = true;
                self.start_task(key);
            }
            HostEvent::StartupRejected(code) => {
                host.task = Task::None;
                self.close(key);
                debug!(self.log, "host turned a connection away"; "host" => self.directory.name(member),
                    "code" => &code);
                let turned_away = is_rejection(&code);
                let status = if turned_away { ResponseStatus::Rejected } else { ResponseStatus::Failed };
                let said = HostResponse::empty(status);
                match task {
                    Task::Attempt(request_id) if turned_away => self.answered(request_id, member, said),
                    Task::Attempt(request_id) => {
                        self.requests.end_attempt(request_id);
                        self.broke(
                            request_id,
                            member,
                            FailedAttempt {
                                progress: AttemptProgress::NotConnected,
                                cause: FailureCause::ConnectionLost,
                            },
                        );
                    }
                    Task::Probe => self.probed(member, said),
                    Task::None => {}
                }
            }
            HostEvent::StreamingStarted => match task {
                Task::Attempt(request_id) => self.begin_flow(request_id),
                // No report is that long.
                _ => self.host_lost(key, FailureCause::MalformedResponse),
            },
            HostEvent::Response(answer) => {
                self.free(key);
                match task {
                    Task::Attempt(request_id) => self.answered(request_id, member, answer),
                    Task::Probe => self.probed(member, answer),
                    Task::None => {}
                }
            }
            HostEvent::ProtocolViolation => {
                self.counts.spoilt += 1;
                // Once between two lines on the traffic: those of a bad day would crowd out all others.
                if self.counts.spoilt == 1 {
                    warn!(self.log, "host breaks the protocol"; "host" => self.directory.name(member));
                }
                self.host_lost(key, FailureCause::MalformedResponse);
            }
        }
    }

    /// A connection to a host has ended, or is given up for this cause.
    pub(super) fn host_lost(&mut self, key: Key, cause: FailureCause) {
        let Some(host) = self.host(key) else { return };
        let (member, task) = (host.member, std::mem::replace(&mut host.task, Task::None));
        let (progress, welcome) = (host.protocol.attempt_progress(), host.welcome);
        let answer = host.protocol.handle_end();
        if cause != FailureCause::ConnectionLost {
            self.log_host_closed(key, close_reason(cause));
        }
        self.close(key);
        match (task, answer) {
            // Whoever it was dialled for did not wait for it to fail, but the module must hear of it.
            (Task::None, _) if !welcome && cause == FailureCause::ConnectionLost => {
                self.balancer.health_checked(
                    self.now,
                    member,
                    AttemptOutcome::NoResponse(FailedAttempt { progress, cause }),
                );
            }
            (Task::None, _) => {}
            (Task::Attempt(request_id), Some(answer)) => self.answered(request_id, member, answer),
            (Task::Attempt(request_id), None) => {
                self.requests.end_attempt(request_id);
                self.broke(request_id, member, FailedAttempt { progress, cause });
            }
            (Task::Probe, Some(answer)) => self.probed(member, answer),
            (Task::Probe, None) => {
                self.balancer.health_checked(
                    self.now,
                    member,
                    AttemptOutcome::NoResponse(FailedAttempt { progress, cause }),
                );
            }
        }
    }

    pub(super) fn probe(&mut self, member: MemberId) {
        self.counts.health_checks += 1;
        let key = match self.take_idle(member) {
            Some(key) => Ok(key),
            None => self.connect(member),
        };
        match key {
            Ok(key) => {
                if let Some(host) = self.host(key) {
                    host.task = Task::Probe;
                }
                self.set_timer(PROBE_TIMEOUT, Timer::Probe(key));
                self.start_task(key);
            }
            Err(cause) => {
                let failed = FailedAttempt { progress: AttemptProgress::NotConnected, cause };
                self.balancer.health_checked(self.now, member, AttemptOutcome::NoResponse(failed));
            }
        }
    }

    pub(super) fn probed(&mut self, member: MemberId, answer: HostResponse) {
        let (role, position) = load_report::parse(&answer.value.unwrap_or_default());
        let position = self.position(position);
        self.balancer.health_checked(
            self.now,
            member,
            AttemptOutcome::Response { status: answer.status, role, position },
        );
    }

    /// A position that a host has told; whether it can be is for the decision module to say.
    pub(super) fn position(&self, unix_ms: Option<f64>) -> Option<Micros> {
        unix_ms.map(|ms| self.clock.at_unix_ms(ms))
    }
}
