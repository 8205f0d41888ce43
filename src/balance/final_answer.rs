//! When a request is given up, and which final answer its client gets.

use super::member::Member;
use super::open_request::OpenRequest;
use super::queue::DROP_RATE_SAMPLE_WEIGHT;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::{GiveUp, Notice};

impl Router {
    /// Ends an unserved request immediately: rejects it if a retry is proved harmless, otherwise fails it.
    pub(super) fn give_up(&mut self, now: Micros, id: RequestId, why: GiveUp, actions: &mut Actions) {
        let Some(open) = self.open_requests.get(&id) else { return };
        let (attempts, group) = (open.attempts, open.request.group);
        actions.push(if self.is_retry_harmless(open) {
            Action::Reject { request: id, retry_after: self.retry_after(now, open) }
        } else {
            Action::Fail { request: id }
        });
        if let Some(group) = self.groups.get_mut(&group).filter(|_| attempts == 0) {
            group.queue_drop_rate += (1.0 - group.queue_drop_rate) * DROP_RATE_SAMPLE_WEIGHT;
        }
        if self.request_tracing {
            self.notify(Notice::GivenUp { request: id, why, attempts });
        }
        self.cancel_remaining(id, actions);
        self.close(id);
    }

    /// Whether the client may retry a request without the risk that it takes effect twice.
    fn is_retry_harmless(&self, open: &OpenRequest) -> bool {
        let harmless = match self.settings.classes[open.request.class.0].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { scope, .. } => scope == DeduplicationScope::All,
            Idempotency::NonIdempotent => false,
        };
        harmless || open.proved_not_executed()
    }

    /// After how long the client may retry: about when the next attempt in flight ends in a group with the
    /// average number of attempts over all groups. None if that would be too late or the settings disable
    /// the hint.
    fn retry_after(&self, now: Micros, open: &OpenRequest) -> Option<Micros> {
        let in_flight = 1.0 + self.attempts.len() as f64 / self.groups.len().max(1) as f64;
        let wait = Micros((self.latencies.mean(open.request.class) / in_flight) as u64);
        let wait = wait.min(self.settings.max_retry_after);
        (self.settings.retry_after && now + wait < open.deadline).then_some(wait)
    }

    /// Gives up a request that can no longer be served in time. Sends it again if all its attempts are lost.
    pub(super) fn check_request(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let Some(open) = self.open_requests.get(&id) else { return };
        if let Some(why) = self.reason_to_give_up(now, open) {
            self.give_up(now, id, why, actions);
            return;
        }
        // Attempts at a member that went down count as lost: a read is sent to another member while it can
        // still be in time, a write with an idempotency key to the new primary once that is known.
        let usable = |id: &MemberId| self.members.get(id).is_some_and(Member::is_usable);
        let lost = !open.in_flight.is_empty() && !open.in_flight.iter().any(|(_, member)| usable(member));
        if !lost || !self.may_send(now, open) {
            return;
        }
        if let Some(to) = self.choose_member(now, id, actions) {
            self.send(now, id, to, actions);
        }
    }

    /// The reason to give up a request now, if there is one.
    fn reason_to_give_up(&self, now: Micros, open: &OpenRequest) -> Option<GiveUp> {
        let class = &self.settings.classes[open.request.class.0];
        let mean = Micros(self.latencies.mean(open.request.class) as u64);
        let waiting = open.in_flight.is_empty();
        if waiting && (now + mean >= open.give_up_at || now >= self.wait_until(open)) {
            return Some(GiveUp::Waited);
        }
        // The answer to an attempt that may not be repeated is awaited as long as the client waits.
        let may_end = waiting || class.idempotency == Idempotency::Idempotent;
        let overdue = may_end && now >= open.give_up_at || now + self.sweep_period() >= open.deadline;
        overdue.then_some(GiveUp::Overdue)
    }

    /// Cancels the attempts in flight of a finished read: their answers are no longer needed.
    pub(super) fn cancel_remaining(&self, id: RequestId, actions: &mut Actions) {
        let Some(open) = self.open_requests.get(&id) else { return };
        let idempotency = self.settings.classes[open.request.class.0].idempotency;
        if !self.settings.cancels || idempotency != Idempotency::Idempotent {
            return;
        }
        let attempts = open.in_flight.iter().map(|(attempt, _)| *attempt);
        let in_flight = attempts.filter(|attempt| self.attempts.contains_key(&(id, *attempt)));
        actions.extend(in_flight.map(|attempt| Action::Cancel { request: id, attempt }));
    }

    /// Removes a finished request. Its attempts in flight are still recorded when they end.
    pub(super) fn close(&mut self, id: RequestId) {
        let Some(open) = self.open_requests.remove(&id) else { return };
        self.request_index.close(id, open.ends_at, open.queue_entry);
    }
}
