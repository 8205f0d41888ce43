//! Requests that wait for room: how long each may, and who is sent first.

use super::choice::ASK_PATIENCE;
use super::housekeeping::{HEALTH_CHECK_BURST, REFRESH_PERIOD};
use super::open_request::OpenRequest;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::GiveUp;

/// Most of its aim that a request may spend waiting for room while its family finds room for all...
const LONGEST_QUEUE_TIME: f64 = 0.3;
/// ...and once it refuses this part of them or more: who waits then is late, and its client comes again by
/// itself sooner than a queue would get to it. Evenly less in between.
const FULL_DROP_RATE: f64 = 0.5;
const SHORTEST_QUEUE_TIME: f64 = 0.03;
/// Weight of a new request in that part: about the last fifty count.
pub(super) const DROP_RATE_GAIN: f64 = 0.02;
/// Requests of a class that may fail to find room before the rest of it waits for the next pass.
const MAX_FAILED_PLACEMENTS: u32 = 4;
/// Price of knowledge: part of the service that may be spent on probes in the long run.
const HEALTH_CHECK_SPEND: f64 = 0.004;

impl Router {
    pub(super) fn arrive(&mut self, now: Micros, req: Request, actions: &mut Actions) {
        let class = &self.settings.classes[req.class.0];
        let deadline = now + req.time_left;
        let latency_objective =
            if class.late_weight > 0.0 { deadline } else { deadline.min(now + class.latency_objective) };
        let give_up = latency_objective - self.settings.tick;
        let paid = HEALTH_CHECK_SPEND / self.settings.health_check_price.max(f64::MIN_POSITIVE);
        self.health_check_tokens = (self.health_check_tokens + paid).min(HEALTH_CHECK_BURST);
        let most = self.settings.max_attempts;
        let end = give_up.min(deadline - self.period());
        self.open.insert(
            req.id,
            OpenRequest { req, arrived: now, deadline, most, give_up, end, ..OpenRequest::default() },
        );
        self.request_index.open(req.id, end);
        // What is left of a late retry may be less than a sweep: it is not sent only to be given up.
        if now + self.period() >= give_up {
            return self.give_up(now, req.id, GiveUp::NoTime, actions);
        }
        self.enqueue(req.id);
        self.send_waiting(now, req.group, actions);
        let waits = self.request_index.waits(req.group);
        if self.open[&req.id].out.is_empty() {
            self.check_request(now, req.id, actions);
        }
        self.sweep_by(if waits { now + self.period() } else { give_up.min(now + REFRESH_PERIOD) }, actions);
    }

    /// How long a request may wait. A write that may have run is held as long as its client waits: only its
    /// answer tells.
    pub(super) fn patience(&self, open: &OpenRequest) -> Micros {
        let class = &self.settings.classes[open.req.class.0];
        if class.consistency == Consistency::Write && open.unproven {
            return open.give_up;
        }
        let queue_drop_rate = self
            .groups
            .get(&open.req.group)
            .map_or(0.0, |group| group.queue_drop_rate / FULL_DROP_RATE)
            .min(1.0);
        let asks = if class.consistency != Consistency::Write && self.reads_check_replicas() {
            ASK_PATIENCE
        } else {
            0.0
        };
        let part =
            asks.max(LONGEST_QUEUE_TIME + (SHORTEST_QUEUE_TIME - LONGEST_QUEUE_TIME) * queue_drop_rate);
        open.give_up.min(open.arrived + class.latency_objective.scale(part))
    }

    /// Sends as many of a group's waiting requests as there is room for: writes before reads, since
    /// only the primary takes them, then by worth for work.
    pub(super) fn send_waiting(&mut self, now: Micros, group: GroupId, actions: &mut Actions) {
        let ranked = |class: ClassId| {
            let settings = &self.settings.classes[class.0];
            (
                settings.consistency == Consistency::Write,
                self.settings.weight_per_work(class, self.mean_latencies[class.0]),
                class,
            )
        };
        let mut queue: Vec<_> = self.request_index.classes(group).into_iter().map(ranked).collect();
        queue.sort_by(|(a_write, a, _), (b_write, b, _)| b_write.cmp(a_write).then(b.total_cmp(a)));
        for (_, _, class) in queue {
            if !self.any_room(now, group, class) {
                continue;
            }
            // The newest first: in an overload it is the one that can still be in time, while the oldest
            // would be sent only to be given up. Serves any backlog; the oldest are refused early.
            let (mut failed, mut before) = (0, u64::MAX);
            // Once some of a class find no room the rest would not either, and a long queue costs CPU.
            while failed < MAX_FAILED_PLACEMENTS {
                let newest = self.request_index.newest(
                    group,
                    class,
                    before,
                    (MAX_FAILED_PLACEMENTS - failed) as usize,
                );
                let Some((last, _)) = newest.last() else { break };
                before = *last;
                for (_, id) in newest {
                    if let Some(member) = self.choose(now, id, actions) {
                        self.send(now, id, member, actions);
                    } else {
                        failed += 1;
                    }
                }
            }
        }
    }
}
