//! When a request is given up, and what its client is told then.

use super::group::Group;
use super::member::Member;
use super::queue::DROP_RATE_GAIN;
use super::{Actions, Router};
use crate::api::*;
use crate::notice::{GiveUp, Notice};

impl Router {
    /// Ends a request unserved, at once: refused where that is proved harmless, else failed.
    pub(super) fn give_up(&mut self, now: Micros, id: RequestId, why: GiveUp, actions: &mut Actions) {
        let Some(attempts) = self.open.get(&id).map(|open| open.attempts) else { return };
        if self.traced {
            self.notify(Notice::GivenUp { request: id, why, attempts });
        }
        let Some(open) = self.open.get(&id) else { return };
        if open.attempts == 0 {
            let dropped =
                |group: &mut Group| group.queue_drop_rate += (1.0 - group.queue_drop_rate) * DROP_RATE_GAIN;
            self.groups.entry(open.req.group).and_modify(dropped);
        }
        let idempotency = self.settings.classes[open.req.class.0].idempotency;
        let harmless = matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
        );
        if harmless || open.proved_not_executed() {
            // About when the next of those under way in its family ends.
            let ahead = 1.0 + self.attempts.len() as f64 / self.groups.len().max(1) as f64;
            let wait = Micros((self.mean_latencies[open.req.class.0] / ahead) as u64);
            let wait = wait.min(self.settings.max_retry_after);
            let useful = self.settings.retry_after && now + wait < open.deadline;
            actions.push(Action::Reject { request: id, retry_after: useful.then_some(wait) });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.cancel_remaining(id, actions);
        self.close(id);
    }

    /// Ends a request that can no longer be worth anything; rescues one that is lost.
    pub(super) fn check_request(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let (period, Some(open)) = (self.period(), self.open.get(&id)) else { return };
        let class = &self.settings.classes[open.req.class.0];
        let mean = Micros(self.mean_latencies[open.req.class.0] as u64);
        let waiting = open.out.is_empty();
        let hopeless = waiting && (now + mean >= open.give_up || now >= self.patience(open));
        let settled = class.idempotency == Idempotency::Idempotent || waiting;
        if hopeless || settled && now >= open.give_up || now + period >= open.deadline {
            let why = if hopeless { GiveUp::Waited } else { GiveUp::Overdue };
            self.give_up(now, id, why, actions);
            return;
        }
        if waiting || !self.may_send(now, open) {
            return;
        }
        // Attempts at a member that went down are given up for lost: a read is sent elsewhere while it
        // can still be in time, a keyed write to the new primary once that is known.
        let usable = |m: &MemberId| self.members.get(m).is_some_and(Member::is_usable);
        if open.out.iter().any(|(_, m)| usable(m)) {
            return;
        }
        if let Some(to) = self.choose(now, id, actions) {
            self.send(now, id, to, actions);
        }
    }
}
