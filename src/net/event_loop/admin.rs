//! The admin interface: accepts operators' connections, answers their calls, and sets hosts administratively down.
//! Descriptors for these connections are reserved, so that clients and operators cannot keep each other out.
//! If too many operators are connected, a connection that already has its answer is closed first.

use std::collections::BTreeSet;
use std::io;
use std::net::{Shutdown, TcpListener};
use std::path::Path;

use polling::{Event, PollMode};
use slog::{info, warn};

use super::admin_session::AdminSession;
use super::connection_io::SHORTAGE_PAUSE;
use super::connections::{ConnectionId, ConnectionKind};
use super::mailboxes::WorkerMessage;
use super::poll_keys::ADMIN_LISTENER;
use super::timers::Timer;
use super::{Gateway, Phase};
use crate::admin::metrics::Metrics;
use crate::admin::request::{AdminRequest, HttpStatus};
use crate::fleet::status::SharedStatus;

/// Largest number of operators' connections at a time.
const MAX_CONNECTIONS: usize = 12;

/// The listener of the admin interface, and the state that operators have set.
#[derive(Default)]
pub(super) struct AdminInterface {
    pub(super) listener: Option<TcpListener>,
    /// Names of the hosts that are administratively down.
    pub(super) down: BTreeSet<String>,
    /// The status of the fleet, if this gateway is in one.
    pub(super) fleet: Option<SharedStatus>,
}

impl Gateway {
    /// Accepts operators' connections. A call that has arrived with its connection is answered at once.
    pub(super) fn accept_admins(&mut self) {
        while let Some(accepted) = self.admin.listener.as_ref().map(TcpListener::accept) {
            let socket = match accepted {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => return self.set_admin_accepting(false),
            };
            self.evict_surplus_admin();
            let _ = socket.set_nodelay(true);
            let _ = socket.set_nonblocking(true);
            let kind = ConnectionKind::Admin(AdminSession::new(self.now));
            if let Ok(id) = self.add_connection(socket, kind, false) {
                self.read(id);
            }
        }
    }

    /// Resumes accepting operators' connections, or pauses it for [`SHORTAGE_PAUSE`]. Without the pause, a connection
    /// that cannot be accepted because of a shortage would wake the loop again and again.
    pub(super) fn set_admin_accepting(&mut self, accepting: bool) {
        let Some(listener) = &self.admin.listener else { return };
        let interest = Event { key: ADMIN_LISTENER, readable: accepting, writable: false };
        let result = self.poller.modify_with_mode(listener, interest, PollMode::Level);
        if !accepting || result.is_err() {
            self.set_timer(SHORTAGE_PAUSE, Timer::ResumeAdminAccepting);
        }
    }

    /// Closes one connection if the limit is reached: the one that was answered first or, if none has been answered,
    /// the one that connected first.
    fn evict_surplus_admin(&mut self) {
        if self.connections.admins().count() < MAX_CONNECTIONS {
            return;
        }
        let rank = |admin: &AdminSession| (!admin.protocol.has_responded(), admin.since);
        let first = self.connections.admins().min_by_key(|(_, admin)| rank(admin)).map(|(id, _)| id);
        first.into_iter().for_each(|id| self.close(id));
    }

    /// Answers connections whose calls are not complete in time, and closes those that do not read their answers.
    pub(super) fn evict_overdue_admins(&mut self) {
        let now = self.now;
        let overdue = self.connections.admins().filter(|(_, admin)| admin.is_overdue(now));
        let overdue: Vec<ConnectionId> = overdue.map(|(id, _)| id).collect();
        for id in overdue {
            match self.connections.admin(id) {
                Some(admin) if !admin.protocol.has_responded() => {
                    self.reply(id, HttpStatus::RequestTimeout, "no whole call\n");
                }
                _ => self.close(id),
            }
        }
    }

    /// Handles bytes from an operator, or the end of the connection. At its end the connection is closed unless an
    /// answer is still being written.
    pub(super) fn handle_admin_bytes(&mut self, id: ConnectionId, bytes: &[u8], has_ended: bool) {
        let Some(admin) = self.connections.admin(id) else { return };
        if has_ended && admin.protocol.out.is_empty() {
            return self.close(id);
        }
        match admin.protocol.receive(bytes) {
            None => {}
            Some(Ok(request)) => self.handle_admin_request(id, request),
            Some(Err(status)) => self.reply(id, status, "the call cannot be carried out\n"),
        }
    }

    fn handle_admin_request(&mut self, id: ConnectionId, request: AdminRequest) {
        match request {
            AdminRequest::Readiness if self.phase == Phase::Serving => {
                self.reply(id, HttpStatus::Ok, "ready\n");
            }
            AdminRequest::Readiness => self.reply(id, HttpStatus::ServiceUnavailable, "ending\n"),
            AdminRequest::Stats => self.collect_metrics(id),
            AdminRequest::SetDown(name) => self.set_down_on_all_workers(id, &name, true),
            AdminRequest::SetUp(name) => self.set_down_on_all_workers(id, &name, false),
            AdminRequest::Fleet => self.reply_fleet(id),
            AdminRequest::Memory => {
                let text = self.workers.memory.to_string();
                self.reply(id, HttpStatus::Ok, &text);
            }
        }
    }

    fn reply_fleet(&mut self, id: ConnectionId) {
        match self.admin.fleet.as_ref().map(|status| serde_json::to_string(&status.snapshot())) {
            Some(Ok(text)) => self.reply(id, HttpStatus::Ok, &text),
            Some(Err(_)) => {
                self.reply(id, HttpStatus::ServiceUnavailable, "the fleet's state cannot be told\n");
            }
            None => self.reply(id, HttpStatus::NotFound, "no fleet\n"),
        }
    }

    /// Collects the metrics of all workers for a call.
    fn collect_metrics(&mut self, id: ConnectionId) {
        let own = self.current_metrics();
        if let Some(admin) = self.connections.admin(id) {
            (admin.awaited_workers, admin.metrics) = (self.workers.count(), Metrics::default());
        }
        self.workers.send_to_others(self.this_worker, || WorkerMessage::CollectMetrics(id));
        self.add_metrics(id, &own);
    }

    /// Adds one worker's metrics for a call, which is answered once all workers have sent theirs.
    pub(super) fn add_metrics(&mut self, id: ConnectionId, metrics: &Metrics) {
        let Some(admin) = self.connections.admin(id) else { return };
        admin.metrics.add(metrics);
        if admin.on_worker_reply() {
            let text = admin.metrics.to_string();
            self.reply(id, HttpStatus::Ok, &text);
        }
    }

    /// The present metrics of this worker.
    pub(super) fn current_metrics(&mut self) -> Metrics {
        self.metrics.active = self.requests.len();
        let endpoints = self.balancer.endpoint_counts();
        (self.metrics.pool_size, self.metrics.pool_ejected) = (endpoints.listed, endpoints.ejected);
        self.metrics.clone()
    }

    /// Sets a host administratively down, or up again, on all workers. The operator gets the confirmation once every
    /// worker has applied it.
    fn set_down_on_all_workers(&mut self, id: ConnectionId, name: &str, down: bool) {
        if self.directory.member(name).is_none() {
            warn!(self.log, "unknown host in an operator's call"; "host" => name);
            return self.reply(id, HttpStatus::NotFound, "no such database host\n");
        }
        info!(self.log, "{}", if down { "host administratively down" } else { "host administratively up" };
            "host" => name);
        let workers = self.workers.count();
        if let Some(admin) = self.connections.admin(id) {
            (admin.awaited_workers, admin.confirmation) = (workers, if down { "down\n" } else { "up\n" });
        }
        let message = || WorkerMessage::SetDown { host: name.to_string(), down, call: Some(id) };
        self.workers.send_to_others(self.this_worker, message);
        self.set_down(name, down);
        self.store_down(name, down);
        self.send_down_to_peers(name, down);
        self.handle_set_down_done(id);
    }

    /// Sets a host administratively down on this worker, or up again. Its idle connections are closed.
    pub(super) fn set_down(&mut self, name: &str, down: bool) {
        let member = self.directory.assign_id(name);
        self.balancer.set_administratively_down(self.now, member, down);
        self.process_outputs();
    }

    /// Records that one more worker has applied a call's change; the last one's reply leads to the confirmation.
    pub(super) fn handle_set_down_done(&mut self, id: ConnectionId) {
        let Some(admin) = self.connections.admin(id) else { return };
        if admin.on_worker_reply() {
            let confirmation = admin.confirmation;
            self.reply(id, HttpStatus::Ok, confirmation);
        }
    }

    /// Records that a host is down or up, and stores the names of all hosts that are down in a file beside the handover
    /// socket. After a start without a previous process they stay down until an operator sets them up again.
    pub(super) fn store_down(&mut self, name: &str, down: bool) {
        let is_changed =
            if down { self.admin.down.insert(name.to_string()) } else { self.admin.down.remove(name) };
        let Some(path) = self.hot_restart.path.as_ref().filter(|_| is_changed) else { return };
        if let Err(e) = write_down_file(path, &self.admin.down) {
            warn!(self.log, "cannot store the administratively down hosts"; "error" => %e);
        }
    }

    /// Restores the state of the hosts that were administratively down when the previous process ended.
    pub(super) fn restore_down(&mut self) {
        let Some(path) = self.hot_restart.path.as_ref().map(|path| path.with_extension("down")) else {
            return;
        };
        let Ok(text) = std::fs::read(path) else { return };
        let down = match serde_json::from_slice::<BTreeSet<String>>(&text) {
            Ok(down) => down,
            Err(e) => {
                warn!(self.log, "cannot read the stored administratively down hosts"; "error" => %e);
                return;
            }
        };
        for name in &down {
            self.set_down(name, true);
            let message = || WorkerMessage::SetDown { host: name.clone(), down: true, call: None };
            self.workers.send_to_others(self.this_worker, message);
        }
        if !down.is_empty() {
            info!(self.log, "restored the administratively down hosts"; "hosts" => down.len());
        }
        self.admin.down = down;
    }

    fn reply(&mut self, id: ConnectionId, status: HttpStatus, text: &str) {
        let now = self.now;
        if let Some(admin) = self.connections.admin(id) {
            admin.protocol.respond(status, text);
            admin.since = now;
            self.write(id);
        }
    }

    /// Shuts a connection for writing once the answer is written. The operator closes it after reading the answer.
    pub(super) fn handle_admin_answered(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get(id) {
            let _ = connection.socket.shutdown(Shutdown::Write);
        }
    }
}

/// Replaces the file beside the handover socket with the names of the hosts that are down.
fn write_down_file(socket_path: &Path, down: &BTreeSet<String>) -> io::Result<()> {
    let new = socket_path.with_extension("new");
    std::fs::write(&new, serde_json::to_vec(down)?)?;
    std::fs::rename(new, socket_path.with_extension("down"))
}
