//! The loop's timers, the round that comes with one of them, and the counts that it writes.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Instant;

use slog::{info, warn};

use super::hosts::Task;
use super::slots::{Key, Link, Slot};
use super::Gateway;
use crate::attempt::FailureCause;
use crate::balancer::RoutingDecision;
use crate::{Micros, RequestId};

/// An answer that has begun and brings nothing for so long does not end; one that flows is waited for
/// longer, since nobody else can give the rest.
const STALL: Micros = Micros::millis(250);
const FLOW_STALL: Micros = Micros::millis(10_000);
/// Time between rounds over idle and late connections.
pub(super) const ROUND: Micros = Micros::millis(250);
/// Rounds between two lines on the traffic.
const ROUNDS_A_LINE: u64 = 40;

#[derive(Clone, Copy)]
pub(super) enum Timer {
    /// The connection to a host must be up.
    Connect(Key),
    /// The attempt's time is over.
    Attempt(RequestId, Key),
    /// The client gives up: if it is still owed its answer, it gets it now.
    GiveUp(RequestId),
    /// The probe's time is over.
    Probe(Key),
    /// Discovery should have answered.
    Call(Key),
    /// Discovery is called anew.
    Discovery,
    /// Accepting goes on, and clients that were accepted in a shortage are let in.
    Accept,
    /// The configuration that could not be read is tried again, up to this moment.
    Reload(Instant),
    /// Accepting operators' connections goes on.
    Admin,
    /// The poller is asked again for what a connection needs.
    Arm(Key),
    /// The round over idle connections.
    Round,
    /// A client that is not read, since it has sent more than is held, may have left.
    Unread(Key),
    /// A client whose connection is shut has had its time.
    Lingered(Key),
    /// After SIGTERM: whoever still waits is answered now.
    LastAnswers,
    /// After SIGTERM: the hand-over is done.
    HandedOver,
}

/// What is to happen when.
#[derive(Default)]
pub(super) struct Timers {
    queue: BTreeMap<(Micros, u64), Timer>,
    serial: u64,
    /// Rounds so far.
    rounds: u64,
}

impl Timers {
    /// Sets a timer; those of one moment fire in the order in which they were set.
    pub(super) fn set(&mut self, at: Micros, timer: Timer) {
        self.serial += 1;
        self.queue.insert((at, self.serial), timer);
    }

    /// Takes out the next timer that is due.
    fn due(&mut self, now: Micros) -> Option<Timer> {
        let first = self.queue.first_entry().filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    /// When the next one is due.
    pub(super) fn next(&self) -> Option<Micros> {
        self.queue.keys().next().map(|(at, _)| *at)
    }
}

/// What happened since the last line on the traffic.
#[derive(Default)]
pub(super) struct Counts {
    pub(super) taken: u64,
    pub(super) served: u64,
    pub(super) refused: u64,
    pub(super) failed: u64,
    pub(super) left: u64,
    pub(super) cancelled: u64,
    pub(super) attempts: u64,
    pub(super) broken: u64,
    pub(super) connects: u64,
    pub(super) health_checks: u64,
    pub(super) spoilt: u64,
}

impl Gateway {
    pub(super) fn set_timer(&mut self, after: Micros, timer: Timer) {
        self.timers.set(self.now + after, timer);
    }

    pub(super) fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.due(self.now) {
            self.fire(timer);
        }
    }

    pub(super) fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Connect(key) => {
                if self.host(key).is_some_and(|host| !host.welcome) {
                    self.host_lost(key, FailureCause::ConnectionLost);
                }
            }
            Timer::Attempt(request_id, key) => {
                let request = self.requests.get(request_id).filter(|request| !request.is_streaming());
                if request.and_then(|request| request.attempt()) == Some(key) {
                    self.host_lost(key, FailureCause::TimedOut);
                }
            }
            Timer::GiveUp(request_id) => {
                if self.requests.get(request_id).is_some_and(|request| !request.is_streaming()) {
                    warn!(self.log, "request overdue");
                    self.balancer.handle_client_gone(self.now, request_id);
                    self.apply(request_id, RoutingDecision::Fail);
                }
            }
            Timer::Probe(key) => {
                if self.host(key).is_some_and(|host| host.task == Task::Probe) {
                    self.host_lost(key, FailureCause::TimedOut);
                }
            }
            Timer::Call(key) => self.discovery_overdue(key),
            Timer::Discovery => self.call_discovery(),
            Timer::Accept => {
                self.let_waiting_in();
                self.set_accepting(true);
            }
            Timer::Reload(until) => self.reload(until),
            Timer::Admin => self.watch_admin(true),
            Timer::Arm(key) => self.arm(key),
            Timer::Round => self.round(),
            Timer::Unread(key) => self.look_at_unread(key),
            Timer::Lingered(key) => self.close(key),
            Timer::LastAnswers => self.give_last_answers(),
            Timer::HandedOver => self.close_listener(),
        }
    }

    pub(super) fn round(&mut self) {
        self.look_for_signals();
        for key in self.pool.stale(self.now) {
            self.log_host_closed(key, "idle for too long");
            self.close(key);
        }
        let half = |(place, slot): (usize, &Slot)| match &slot.link {
            Link::Host(h) if h.protocol.has_partial_response() && !h.held => {
                let stall = if h.protocol.is_streaming() { FLOW_STALL } else { STALL };
                (self.now - h.heard >= stall).then_some(Key { place, serial: slot.serial })
            }
            _ => None,
        };
        let half: Vec<Key> = self.slots.iter().filter_map(half).collect();
        for key in half {
            self.host_lost(key, FailureCause::MalformedResponse);
        }
        self.reap_clients();
        self.reap_admin_connections();
        self.requests.forget_elsewhere(self.now);
        if self.workers.successor.load(Ordering::SeqCst) {
            self.pass_clients();
        }
        self.timers.rounds += 1;
        if self.timers.rounds % ROUNDS_A_LINE == 0 {
            let counts = std::mem::take(&mut self.counts);
            info!(self.log, "traffic"; "taken" => counts.taken, "served" => counts.served,
                "refused" => counts.refused, "failed" => counts.failed, "left" => counts.left, "cancelled" => counts.cancelled,
                "attempts" => counts.attempts, "broken" => counts.broken, "connects" => counts.connects,
                "probes" => counts.health_checks, "spoilt" => counts.spoilt, "open" => self.requests.len(), "clients" => self.clients.open,
                "hosts" => self.pool.len());
        }
        self.set_timer(ROUND, Timer::Round);
    }
}
