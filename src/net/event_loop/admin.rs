//! The loop's part for operators: their listener and their calls. Callers have places of their own, so
//! that neither clients keep them out nor they the clients, and those without a whole call go first.

use std::collections::BTreeSet;
use std::io;
use std::net::{Shutdown, TcpListener};

use polling::{Event, PollMode};
use slog::{info, warn};

use super::slots::{Key, Link, SHORTAGE_PAUSE};
use super::timers::Timer;
use super::workers::WorkerMessage;
use super::{Gateway, Phase, ADMIN};
use crate::admin::connection::AdminConnection;
use crate::admin::metrics::Metrics;
use crate::admin::request::{AdminRequest, HttpStatus};
use crate::fleet::status::Board;
use crate::Micros;

/// Most callers at a time.
const CALLERS: usize = 12;
/// How long a caller may take for its whole call, and how long for reading the answer.
const PATIENCE: Micros = Micros::millis(5_000);
const LINGER: Micros = Micros::millis(1_000);

/// What operators have: their listener, and the names of the hosts that they have put down.
pub(super) struct Admin {
    pub(super) listener: Option<TcpListener>,
    pub(super) down: BTreeSet<String>,
    /// What is known of the fleet, if this gateway is in one.
    pub(super) fleet: Option<Board>,
}

/// An operator's connection.
pub(super) struct AdminLink {
    pub(super) call: AdminConnection,
    /// When it connected, or when it got its answer.
    since: Micros,
    /// Workers whose word the answer waits for, and what they have told so far.
    waits: usize,
    /// What an order is answered with.
    yes: &'static str,
    gathered: Metrics,
}

impl Gateway {
    /// Accepts operators' connections. A call that has come along is answered at once.
    pub(super) fn accept_admin(&mut self) {
        while let Some(accepted) = self.admin.listener.as_ref().map(|listener| listener.accept()) {
            let socket = match accepted {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => return self.watch_admin(false),
            };
            self.make_admin_room();
            let gathered = Metrics::default();
            let link =
                AdminLink { call: AdminConnection::default(), since: self.now, waits: 0, yes: "", gathered };
            let _ = socket.set_nodelay(true);
            let _ = socket.set_nonblocking(true);
            if let Ok(key) = self.insert(socket, Link::Caller(link), false) {
                self.read(key);
            }
        }
    }

    /// Goes on accepting operators' connections, or pauses: while the system lacks something, whoever waits would wake the
    /// loop without end.
    pub(super) fn watch_admin(&mut self, on: bool) {
        let Some(listener) = &self.admin.listener else { return };
        let interest = Event { key: ADMIN, readable: on, writable: false };
        let armed = self.poller.modify_with_mode(listener, interest, PollMode::Level);
        if !on || armed.is_err() {
            self.set_timer(SHORTAGE_PAUSE, Timer::Admin);
        }
    }

    fn callers(&self) -> impl Iterator<Item = (Key, &AdminLink)> {
        self.slots.iter().filter_map(|(place, slot)| match &slot.link {
            Link::Caller(link) => Some((Key { place, serial: slot.serial }, link)),
            _ => None,
        })
    }

    /// Makes a place: whoever has its answer goes first, then whoever has waited longest with half a call.
    fn make_admin_room(&mut self) {
        if self.callers().count() >= CALLERS {
            let rank = |(_, link): &(Key, &AdminLink)| (!link.call.has_responded(), link.since);
            if let Some(key) = self.callers().min_by_key(rank).map(|(key, _)| key) {
                self.close(key);
            }
        }
    }

    /// The round over callers: half a call is told so in the end, an answer need not be waited with.
    pub(super) fn reap_admin_connections(&mut self) {
        let now = self.now;
        let limit = |link: &AdminLink| if link.call.has_responded() { LINGER } else { PATIENCE };
        let late = self.callers().filter(|(_, link)| now - link.since >= limit(link));
        let late: Vec<Key> = late.map(|(key, _)| key).collect();
        for key in late {
            match self.caller(key) {
                Some(link) if !link.call.has_responded() => {
                    self.reply(key, HttpStatus::RequestTimeout, "no whole call\n")
                }
                _ => self.close(key),
            }
        }
    }

    fn caller(&mut self, key: Key) -> Option<&mut AdminLink> {
        match &mut self.slot(key)?.link {
            Link::Caller(link) => Some(link),
            _ => None,
        }
    }

    /// Takes in bytes of a caller, or its end: one that got its answer has read it, one that did not
    /// will get none.
    pub(super) fn caller_says(&mut self, key: Key, bytes: &[u8], ended: bool) {
        let Some(link) = self.caller(key) else { return };
        if ended && link.call.out.is_empty() {
            return self.close(key);
        }
        match link.call.receive(bytes) {
            None => {}
            Some(Ok(order)) => self.obey(key, order),
            Some(Err(status)) => self.reply(key, status, "the call cannot be carried out\n"),
        }
    }

    fn obey(&mut self, key: Key, order: AdminRequest) {
        match order {
            AdminRequest::Readiness if self.phase == Phase::Serving => {
                self.reply(key, HttpStatus::Ok, "ready\n")
            }
            AdminRequest::Readiness => self.reply(key, HttpStatus::ServiceUnavailable, "ending\n"),
            AdminRequest::Stats => self.gather(key),
            AdminRequest::SetDown(name) => self.order(key, &name, true),
            AdminRequest::SetUp(name) => self.order(key, &name, false),
            AdminRequest::Fleet => {
                match self.admin.fleet.as_ref().map(|board| serde_json::to_string(&board.get())) {
                    Some(Ok(text)) => self.reply(key, HttpStatus::Ok, &text),
                    Some(Err(_)) => {
                        self.reply(key, HttpStatus::ServiceUnavailable, "the fleet's state cannot be told\n")
                    }
                    None => self.reply(key, HttpStatus::NotFound, "no fleet\n"),
                }
            }
        }
    }

    /// The figures of all workers, once each has told its own.
    fn gather(&mut self, key: Key) {
        let (own, others) = (self.figures().clone(), self.workers.size() - 1);
        if let Some(link) = self.caller(key) {
            (link.waits, link.gathered) = (others + 1, Metrics::default());
        }
        self.workers.deliver_others(self.me, || WorkerMessage::Stats(key));
        self.add_figures(key, &own);
    }

    /// One worker's figures for a call.
    pub(super) fn add_figures(&mut self, key: Key, figures: &Metrics) {
        let Some(link) = self.caller(key) else { return };
        link.gathered.add(figures);
        link.waits = link.waits.saturating_sub(1);
        if link.waits == 0 {
            let text = link.gathered.to_string();
            self.reply(key, HttpStatus::Ok, &text);
        }
    }

    /// The figures as they stand.
    pub(super) fn figures(&mut self) -> &Metrics {
        self.figures.active = self.requests.len();
        let counts = self.balancer.endpoint_counts();
        (self.figures.pool_size, self.figures.pool_ejected) = (counts.listed, counts.ejected);
        &self.figures
    }

    /// Operators put a host down, or back up. They hear yes once it holds on every worker.
    fn order(&mut self, key: Key, name: &str, down: bool) {
        if self.directory.member(name).is_none() {
            warn!(self.log, "operators name a host that nobody has"; "host" => name);
            return self.reply(key, HttpStatus::NotFound, "no such database host\n");
        }
        info!(self.log, "{}", if down { "host put down by hand" } else { "host put back up" }; "host" => name);
        let workers = self.workers.size();
        if let Some(link) = self.caller(key) {
            (link.waits, link.yes) = (workers, if down { "down\n" } else { "up\n" });
        }
        let message = || WorkerMessage::SetDown { host: name.to_string(), down, call: Some(key) };
        self.workers.deliver_others(self.me, message);
        self.set_down(name, down);
        self.store_down(name, down);
        self.share_down(name, down);
        self.is_set_down(key);
    }

    /// A host is administratively down on this worker, or up again. Its idle connections are closed.
    pub(super) fn set_down(&mut self, name: &str, down: bool) {
        let member = self.directory.number(name);
        self.balancer.set_administratively_down(self.now, member, down);
        while self.process_output() {}
    }

    /// An order holds on one more worker.
    pub(super) fn is_set_down(&mut self, key: Key) {
        let Some(link) = self.caller(key) else { return };
        link.waits = link.waits.saturating_sub(1);
        if link.waits == 0 {
            let yes = link.yes;
            self.reply(key, HttpStatus::Ok, yes);
        }
    }

    /// Keeps the names of the hosts that are down in a file beside the line, for a start without a
    /// process to take over from: they stay down until the call back.
    pub(super) fn store_down(&mut self, name: &str, down: bool) {
        let changed =
            if down { self.admin.down.insert(name.to_string()) } else { self.admin.down.remove(name) };
        let Some(path) = self.line.path.as_ref().filter(|_| changed) else { return };
        let (path, new) = (path.with_extension("down"), path.with_extension("new"));
        let written = serde_json::to_vec(&self.admin.down).map_err(io::Error::from);
        let kept =
            written.and_then(|text| std::fs::write(&new, text)).and_then(|()| std::fs::rename(new, path));
        if let Err(e) = kept {
            warn!(self.log, "hosts put down by hand cannot be kept in a file"; "error" => %e);
        }
    }

    /// Puts down the hosts that were when the process before ended.
    pub(super) fn restore_down(&mut self) {
        let Some(path) = self.line.path.as_ref().map(|path| path.with_extension("down")) else { return };
        let Ok(text) = std::fs::read(path) else { return };
        match serde_json::from_slice::<BTreeSet<String>>(&text) {
            Ok(down) => {
                for name in &down {
                    self.set_down(name, true);
                    let message = || WorkerMessage::SetDown { host: name.clone(), down: true, call: None };
                    self.workers.deliver_others(self.me, message);
                }
                if !down.is_empty() {
                    info!(self.log, "hosts still down by hand"; "hosts" => down.len());
                }
                self.admin.down = down;
            }
            Err(e) => warn!(self.log, "hosts put down by hand cannot be read"; "error" => %e),
        }
    }

    fn reply(&mut self, key: Key, status: HttpStatus, text: &str) {
        let now = self.now;
        if let Some(link) = self.caller(key) {
            link.call.respond(status, text);
            link.since = now;
            self.write(key);
        }
    }

    /// The answer is written: the caller sees its end, and closes when it has read it.
    pub(super) fn caller_served(&mut self, key: Key) {
        if let Some(slot) = self.slot(key) {
            let _ = slot.socket.shutdown(Shutdown::Write);
        }
    }
}
