//! Reads the answers of abandoned attempts and health checks. The sending on their connection is ended, and nobody is
//! served from it; what the answer tells of its host is passed to the balancer. An answer that is left unread is
//! reported to the balancer as well.

use std::io::{ErrorKind, Read};
use std::net::Shutdown;

use super::connections::{ConnectionId, ConnectionKind};
use super::host_connection::{CloseReason, HostConnection, HostTask, SentQuery};
use super::timers::Timer;
use super::Gateway;
use crate::attempt::AttemptProgress;
use crate::pg::host::{HostResponse, MAX_ROW};
use crate::pg::load_report;
use crate::{LateAnswer, MemberId, Micros, RequestId, Role};

/// Shortest and longest time for which the answer of an abandoned attempt is awaited; in between, until the time that
/// its statement told the host.
const MIN_LATE_ANSWER_WAIT: Micros = Micros::millis(100);
const MAX_LATE_ANSWER_WAIT: Micros = Micros::millis(1_000);
/// Most bytes that are read of the answer of an abandoned attempt.
const MAX_LATE_ANSWER_BYTES: usize = 256 * 1024;
/// Size and number of the reads before such a connection is closed.
const LAST_READ_BYTES: usize = 8 * 1024;
const MAX_LAST_READS: usize = 16;

impl Gateway {
    /// Ends the use of a connection whose query is in flight. If the query has been written, the sending is ended and the
    /// answer is still read; otherwise, or if too many such connections are open, the connection is closed.
    pub(super) fn abandon_connection(&mut self, id: ConnectionId) {
        let (now, max_open) = (self.now, self.pool.max_open());
        let Some(connection) = self.connections.get_mut(id) else { return };
        let ConnectionKind::Host(host) = &mut connection.kind else { return };
        let member = host.member;
        let query = host.query.filter(|_| host.protocol.attempt_progress() == AttemptProgress::FullyWritten);
        let is_kept = query.is_some()
            && self.abandoned.has_room(member, max_open)
            && connection.socket.shutdown(Shutdown::Write).is_ok();
        let Some(SentQuery { told_deadline, request, .. }) = query.filter(|_| is_kept) else {
            self.log_host_closed(id, CloseReason::ResponseNotAwaited);
            return self.close(id);
        };
        host.abandon(MAX_LATE_ANSWER_BYTES, &self.workers.memory);
        let wait = (told_deadline - now).max(MIN_LATE_ANSWER_WAIT).min(MAX_LATE_ANSWER_WAIT);
        self.abandoned.add(id, member, request);
        self.set_reading_paused(id, false);
        self.discard_streamed(id);
        self.set_timer(wait, Timer::LateAnswerTimeout(id));
    }

    /// Reads the answer of an abandoned attempt to its end, however long its row is.
    pub(super) fn read_long_late_answer(&mut self, id: ConnectionId) {
        let abandoned = self.connections.host(id).filter(|host| host.task == HostTask::Abandoned);
        if let Some(host) = abandoned {
            host.bytes_left = MAX_ROW + MAX_LATE_ANSWER_BYTES;
        }
    }

    /// Discards the bytes of a streamed answer that nobody is served from.
    pub(super) fn discard_streamed(&mut self, id: ConnectionId) {
        if let Some(host) = self.connections.host(id) {
            drop(host.protocol.take_streamed());
        }
    }

    /// Closes the connections that carried abandoned attempts of a request, before another attempt is written: while
    /// they are open, that would be a second copy.
    pub(super) fn close_abandoned_attempts(&mut self, request_id: RequestId) {
        for id in self.abandoned.of_request(request_id) {
            self.close_abandoned(id);
        }
    }

    /// Closes a connection whose attempt has been abandoned, after a last look for its answer.
    pub(super) fn close_abandoned(&mut self, id: ConnectionId) {
        self.read_arrived(id);
        if self.connections.host(id).is_some_and(|host| host.task == HostTask::Abandoned) {
            self.log_host_closed(id, CloseReason::ResponseNotAwaited);
            self.close(id);
        }
    }

    /// Reads what has arrived on a connection whose attempt has been abandoned. May be called while another connection
    /// is read.
    fn read_arrived(&mut self, id: ConnectionId) {
        let mut buffer = [0; LAST_READ_BYTES];
        for _ in 0..MAX_LAST_READS {
            let Some(connection) = self.connections.get(id) else { return };
            match (&*connection.socket).read(&mut buffer) {
                Ok(count) if count > 0 => self.handle_received(id, &buffer[..count], false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }

    /// Handles the complete answer of an abandoned attempt or health check, and closes its connection.
    pub(super) fn handle_late_answer(&mut self, id: ConnectionId, response: HostResponse) {
        let Some(host) = self.connections.host(id) else { return };
        let (member, written_after) = (host.member, host.answer_written_after());
        let query = host.query.take();
        self.close(id);
        if let Some(query) = query {
            self.late_answer_read(member, query, response, written_after);
        }
    }

    /// Passes what an answer tells to the balancer.
    pub(super) fn late_answer_read(
        &mut self,
        member: MemberId,
        query: SentQuery,
        response: HostResponse,
        written_after: Micros,
    ) {
        let (role, position) = match query.request {
            Some(_) => (response.role, response.position),
            None => load_report::parse(&response.value.unwrap_or_default()),
        };
        let answer = LateAnswer { sent: query.sent_at, role, position: self.to_position(position) };
        self.counts.late_answers += 1;
        self.log_late_answer(member, &answer);
        match query.request {
            Some(_) => self.note_role_stated(member, role, answer.position, written_after),
            None => self.note_role_reported(member, role, answer.position, written_after),
        }
        self.balancer.late_answer_read(self.now, member, answer);
    }

    /// Records that a host has stated its role in an answer that it wrote at `written_after` or later.
    pub(super) fn note_role_stated(
        &mut self,
        member: MemberId,
        role: Option<Role>,
        position: Option<Micros>,
        written_after: Micros,
    ) {
        if role.is_some() {
            self.balancer.role_stated(self.now, member, position, written_after);
        }
    }

    /// Records that a host has stated its role in a health report that it wrote at `written_after` or later.
    pub(super) fn note_role_reported(
        &mut self,
        member: MemberId,
        role: Option<Role>,
        position: Option<Micros>,
        written_after: Micros,
    ) {
        if role.is_some() {
            self.balancer.role_reported(self.now, member, position, written_after);
        }
    }

    /// Reports the answer of a connection that is being closed to the balancer if it is left unread.
    pub(super) fn report_unread_answer(&mut self, id: ConnectionId) {
        let now = self.now;
        let Some(host) = self.connections.host(id) else { return };
        let member = host.member;
        let (is_paused, unread_until) = (host.is_paused(), host.unread_until(now));
        if is_paused {
            self.balancer.set_answer_paused(member, false);
        }
        if let Some(until) = unread_until {
            self.counts.unread_answers += 1;
            self.balancer.answer_left_unread(member, until);
        }
    }

    /// Pauses or resumes reading a host whose streamed response is not read by its client.
    pub(super) fn set_reading_paused(&mut self, id: ConnectionId, is_paused: bool) {
        self.change_pause(id, |host| host.is_reading_paused = is_paused);
        self.update_interest(id);
    }

    /// Changes why a host is not read, and reports to the balancer whether its answer is left unread meanwhile.
    pub(super) fn change_pause(&mut self, id: ConnectionId, change: impl FnOnce(&mut HostConnection)) {
        let Some(host) = self.connections.host(id) else { return };
        let was_paused = host.is_paused();
        change(host);
        let (member, is_paused) = (host.member, host.is_paused());
        host.was_paused |= is_paused;
        if was_paused != is_paused {
            self.balancer.set_answer_paused(member, is_paused);
        }
    }
}
