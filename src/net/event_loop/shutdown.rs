//! Shutdown: the gateway hands its clients over or accepts new ones for a while, answers all accepted requests, and
//! closes.

use std::io::Read;
use std::sync::atomic::Ordering;

use slog::info;

use super::client_admission::AcceptQueue;
use super::clients::MAX_ACCEPTS;
use super::connection_io::SHORTAGE_PAUSE;
use super::connections::ConnectionId;
use super::mailboxes::WorkerMessage;
use super::sockets::BACKLOG;
use super::timers::Timer;
use super::{Gateway, Phase};
use crate::balancer::RoutingDecision;
use crate::{Micros, RequestId};

/// How long the loop continues to accept after SIGTERM: new connections may arrive for up to 0.4 s.
const HANDOVER_DURATION: Micros = Micros::millis(500);
/// How much longer the listener stays open while a shortage prevents accepting all clients in its queue.
const MAX_QUEUE_DELAY: Micros = Micros::millis(1_000);
/// The process may be killed when the longest deadline, of which at most `MAX_COUNTED_DEADLINE` counts, plus 0.7 s have
/// passed since SIGTERM. All requests are answered a little before that, `FINAL_ANSWERS_AFTER` after that deadline.
const MAX_COUNTED_DEADLINE: Micros = Micros::millis(3_000);
const FINAL_ANSWERS_AFTER: Micros = Micros::millis(600);

impl Gateway {
    pub(super) fn handle_shutdown_signal(&mut self) {
        let mut bytes = [0; 16];
        let Some(signals) = &mut self.signals else { return };
        signals.shutdown_requested.store(false, Ordering::SeqCst);
        let _ = signals.shutdown.read(&mut bytes);
        if self.phase != Phase::Serving {
            return;
        }
        info!(self.log, "shutdown signal received, handing over"; "owed" => self.requests.len());
        self.phase = Phase::HandingOver;
        let longest = self.balancer.longest_deadline().min(MAX_COUNTED_DEADLINE);
        self.answer_all_by(self.now + longest + FINAL_ANSWERS_AFTER);
        // If the next process has the listener, this one waits for no new connections.
        let wait = if self.hot_restart.successor.is_some() { Micros(0) } else { HANDOVER_DURATION };
        self.admission.listener_deadline = self.now + wait + MAX_QUEUE_DELAY;
        self.set_timer(wait, Timer::HandoverEnd);
    }

    /// Handles signals that did not wake the loop.
    pub(super) fn check_missed_signals(&mut self) {
        let Some(signals) = &self.signals else { return };
        let is_shutdown_requested = signals.shutdown_requested.load(Ordering::SeqCst);
        let is_reload_requested = signals.reload_requested.load(Ordering::SeqCst);
        if is_reload_requested {
            self.handle_reload_signal();
        }
        if is_shutdown_requested {
            self.handle_shutdown_signal();
        }
    }

    /// Sets the time by which all accepted requests are answered.
    pub(super) fn answer_all_by(&mut self, deadline: Micros) {
        self.final_answers_by = Some(deadline);
        self.set_timer(deadline - self.now, Timer::FinalAnswers);
    }

    /// Fails all requests that are still waiting, since the process may be killed soon.
    pub(super) fn give_final_answers(&mut self) {
        let waiting: Vec<RequestId> = self.requests.waiting().collect();
        for request_id in waiting {
            self.balancer.handle_client_gone(self.now, request_id);
            self.carry_out(request_id, RoutingDecision::Fail);
        }
    }

    /// Ends the handover: accepts the clients that wait in the queue, then closes the listener and idle clients.
    pub(super) fn close_listener(&mut self) {
        let owns_queue = self.hot_restart.successor.is_none()
            && self.this_worker == 0
            && self.admission.listener.is_some();
        let left = if owns_queue { self.empty_accept_queue() } else { AcceptQueue::Empty };
        // While a shortage or a lack of capacity keeps clients in the queue, the listener stays open, up to a deadline.
        if left == AcceptQueue::Blocked && self.now < self.admission.listener_deadline {
            self.set_timer(SHORTAGE_PAUSE, Timer::HandoverEnd);
        } else if let Some(listener) = self.admission.listener.take() {
            let _ = self.poller.delete(&listener);
            info!(self.log, "listener closed"; "owed" => self.requests.len(),
                "clients" => self.connections.client_count());
        }
        if self.phase != Phase::Closing {
            self.start_closing();
        }
    }

    /// Starts the last phase on this worker and, if it is the first, on all others. The input of each client is read
    /// for the last time: queries that are complete then are still answered.
    fn start_closing(&mut self) {
        self.phase = Phase::Closing;
        if self.this_worker == 0 {
            let deadline = self.final_answers_by.unwrap_or(self.now);
            self.workers.send_to_others(0, || WorkerMessage::Shutdown(deadline));
        }
        let ids: Vec<ConnectionId> = self.connections.iter().map(|(id, _)| id).collect();
        for id in ids {
            if self.connections.client(id).is_some() {
                self.read(id);
                self.ready_clients.push_back(id);
            }
        }
    }

    /// Accepts the clients in the queue. The number of rounds is limited, since new clients may keep arriving.
    fn empty_accept_queue(&mut self) -> AcceptQueue {
        let rounds = (BACKLOG as usize).div_ceil(MAX_ACCEPTS) + 1;
        let left = (0..rounds).map(|_| self.accept_clients()).find(|left| *left != AcceptQueue::MaybeMore);
        left.unwrap_or(AcceptQueue::MaybeMore)
    }
}
