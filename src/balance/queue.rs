//! Requests that wait for capacity: how long each may wait, and which is sent first.

use super::choice::REPLICA_CHECK_WAIT_FRACTION;
use super::housekeeping::{HEALTH_CHECK_BURST, REFRESH_PERIOD};
use super::open_request::OpenRequest;
use super::request_index::QueueEntry;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::GiveUp;

/// Largest fraction of its latency objective that a request may wait, while its group drops none.
const MAX_QUEUE_TIME_FRACTION: f64 = 0.3;
/// The same once the group drops [`OVERLOAD_DROP_RATE`] of its requests or more; linear in between. A request
/// that waits in an overload is late, and its client retries before the queue gets to it.
const MIN_QUEUE_TIME_FRACTION: f64 = 0.03;
/// Fraction of dropped requests at and above which [`MIN_QUEUE_TIME_FRACTION`] applies.
const OVERLOAD_DROP_RATE: f64 = 0.5;
/// Weight of a new request in the running drop rate: about the last fifty count.
pub(super) const DROP_RATE_SAMPLE_WEIGHT: f64 = 0.02;
/// Number of requests of a class that may fail to find capacity before the rest of the class waits for the
/// next pass: trying each request of a long queue costs processor time.
const MAX_FAILED_PLACEMENTS: usize = 4;
/// Highest long-run cost of the health checks that take a token, as a fraction of the cost of all requests.
/// These are the checks that a refresh starts; the checks that a read starts take none and are not included.
const HEALTH_CHECK_COST_FRACTION: f64 = 0.004;

impl Router {
    /// Processes an arriving request: sends it, queues it, or gives it up.
    pub(super) fn request_arrived(&mut self, now: Micros, request: Request, actions: &mut Actions) {
        let id = request.id;
        self.add_health_check_tokens();
        let open = self.open_request(now, request);
        let (give_up_at, end) = (open.give_up_at, open.ends_at);
        self.open_requests.insert(id, open);
        self.request_index.open(id, end);
        // A late retry may have less time left than a sweep period: if sent, it would only be given up.
        if now + self.sweep_period() >= give_up_at {
            return self.give_up(now, id, GiveUp::NoTime, actions);
        }
        self.enqueue(id);
        self.send_waiting(now, request.group, actions);
        let group_waits = self.request_index.has_waiting(request.group);
        if self.open_requests[&id].in_flight.is_empty() {
            self.check_request(now, id, actions);
        }
        let next = if group_waits { now + self.sweep_period() } else { give_up_at.min(now + REFRESH_PERIOD) };
        self.schedule_sweep(next, actions);
    }

    /// Adds the fraction of a health check token that each request contributes.
    fn add_health_check_tokens(&mut self) {
        let earned = HEALTH_CHECK_COST_FRACTION / self.settings.health_check_price.max(f64::MIN_POSITIVE);
        self.health_check_tokens = (self.health_check_tokens + earned).min(HEALTH_CHECK_BURST);
    }

    /// The state of a new request, with the times by which it has to be answered.
    fn open_request(&self, now: Micros, request: Request) -> OpenRequest {
        let class = &self.settings.classes[request.class.0];
        let deadline = now + request.time_left;
        let late_counts = class.late_weight > 0.0;
        let due = if late_counts { deadline } else { deadline.min(now + class.latency_objective) };
        let give_up_at = due - self.settings.tick;
        OpenRequest {
            request,
            arrived_at: now,
            deadline,
            max_attempts: self.settings.max_attempts,
            give_up_at,
            ends_at: give_up_at.min(deadline - self.sweep_period()),
            ..OpenRequest::default()
        }
    }

    /// Puts a request into its group's queue.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(open) = self.open_requests.get(&id) else { return };
        let entry = QueueEntry {
            id,
            group: open.request.group,
            class: open.request.class,
            give_up_at: open.give_up_at,
            wait_until: self.wait_until(open),
            place: 0,
        };
        let entry = self.request_index.enqueue(entry);
        self.open_requests.entry(id).and_modify(|open| open.queue_entry = Some(entry));
    }

    /// Until when a request may wait. A write that may have been executed waits as long as it may be sent
    /// again: only an answer shows whether it was.
    pub(super) fn wait_until(&self, open: &OpenRequest) -> Micros {
        let class = &self.settings.classes[open.request.class.0];
        let write = class.consistency == Consistency::Write;
        if write && open.may_have_executed {
            return open.give_up_at.min(self.repeat_window_end(open));
        }
        let group = self.groups.get(&open.request.group);
        let overload = group.map_or(0.0, |group| group.queue_drop_rate / OVERLOAD_DROP_RATE).min(1.0);
        let queue_time_fraction =
            MAX_QUEUE_TIME_FRACTION + (MIN_QUEUE_TIME_FRACTION - MAX_QUEUE_TIME_FRACTION) * overload;
        let check_wait_fraction =
            if !write && self.reads_check_replicas() { REPLICA_CHECK_WAIT_FRACTION } else { 0.0 };
        let time = class.latency_objective.scale(check_wait_fraction.max(queue_time_fraction));
        open.give_up_at.min(open.arrived_at + time)
    }

    /// Sends as many of a group's waiting requests as there is capacity for.
    pub(super) fn send_waiting(&mut self, now: Micros, group: GroupId, actions: &mut Actions) {
        for class in self.waiting_classes(group) {
            if self.any_member_has_capacity(now, group, class) {
                self.send_waiting_of(now, group, class, actions);
            }
        }
    }

    /// The classes of a group's waiting requests: writes before reads, since only the primary takes writes,
    /// then by priority weight per unit of work.
    fn waiting_classes(&self, group: GroupId) -> Vec<ClassId> {
        let mut classes = self.request_index.classes(group);
        let is_write = |class: &ClassId| self.settings.classes[class.0].consistency == Consistency::Write;
        let weight = |class: &ClassId| self.settings.weight_per_work(*class, self.latencies.mean(*class));
        classes.sort_by(|a, b| is_write(b).cmp(&is_write(a)).then(weight(b).total_cmp(&weight(a))));
        classes
    }

    /// Sends waiting requests of a class, the newest first: in an overload the newest can still be in time,
    /// while the oldest would be sent only to be given up.
    fn send_waiting_of(&mut self, now: Micros, group: GroupId, class: ClassId, actions: &mut Actions) {
        let (mut failed, mut before) = (0, u64::MAX);
        while failed < MAX_FAILED_PLACEMENTS {
            let newest = self.request_index.newest(group, class, before, MAX_FAILED_PLACEMENTS - failed);
            let Some((last, _)) = newest.last() else { break };
            before = *last;
            for (_, id) in newest {
                if let Some(member) = self.choose_member(now, id, actions) {
                    self.send(now, id, member, actions);
                } else {
                    failed += 1;
                }
            }
        }
    }
}
