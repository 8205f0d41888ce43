//! The last check of an attempt, right before its request is written. Its member was chosen earlier: the
//! connection may have taken long to establish, and what allowed the choice may not hold any more.

use super::member::Member;
use super::open_request::OpenRequest;
use super::Router;
use crate::api::*;
use crate::notice::WriteRefusal;

/// Longest time in which a statement may be written in part: the remaining time that it tells its member was
/// computed when its first byte was written, and may be off by this much.
const MAX_WRITE_TIME: Micros = Micros::millis(150);

impl Router {
    /// Checks whether the attempt in flight may be written at `now`, and records that it is sent then.
    /// Returns the time before which its last byte must be written.
    ///
    /// # Errors
    /// The attempt must not be written; the variant tells why.
    pub fn begin_write(&mut self, now: Micros, id: RequestId) -> Result<Micros, WriteRefusal> {
        self.check_write(now, id)?;
        let open = self.open_requests.get_mut(&id).ok_or(WriteRefusal::NotInFlight)?;
        open.mark_sent(now);
        Ok(self.write_deadline(&self.open_requests[&id]).min(now + MAX_WRITE_TIME))
    }

    fn check_write(&self, now: Micros, id: RequestId) -> Result<(), WriteRefusal> {
        let open = self.open_requests.get(&id).ok_or(WriteRefusal::NotInFlight)?;
        let (_, to) = open.in_flight.last().ok_or(WriteRefusal::NotInFlight)?;
        if !self.members.get(to).is_some_and(Member::is_in_service) {
            return Err(WriteRefusal::OutOfService);
        }
        if !self.covers(now, id) {
            return Err(WriteRefusal::DataTooOld);
        }
        if now >= self.write_deadline(open) {
            return Err(WriteRefusal::OutsideRepeatWindow);
        }
        if now >= open.deadline.min(open.give_up_at + self.sweep_period()) {
            return Err(WriteRefusal::DeadlinePassed);
        }
        Ok(())
    }

    /// The time before which the last byte of the attempt in flight must be written: the member executes it
    /// from then on.
    fn write_deadline(&self, open: &OpenRequest) -> Micros {
        match open.may_have_executed {
            true => self.repeat_window_end(open),
            false => Micros(u64::MAX),
        }
    }

    /// Whether the member that a request was sent to covers the position that the request must see if its
    /// last byte is written now: the member is the primary, or its last known position is late enough.
    pub fn covers(&self, now: Micros, id: RequestId) -> bool {
        let Some(open) = self.open_requests.get(&id) else { return false };
        let Some((_, to)) = open.in_flight.last() else { return false };
        let write = self.settings.classes[open.request.class.0].consistency == Consistency::Write;
        if write || Some(*to) == self.primary_for(now, &open.request) {
            return true;
        }
        let member = self.members.get(to);
        let reached = |needed| member.map_or(needed == Micros(0), |member| member.log.has_reached(needed));
        self.needed(now, open).is_some_and(reached)
    }

    /// The time before which a request may be sent again although an earlier attempt may have been executed:
    /// always if it is idempotent, never if duplicates are not dropped by the whole group. A process that is
    /// stalled after it has read its clock still writes inside the window.
    pub(super) fn repeat_window_end(&self, open: &OpenRequest) -> Micros {
        match self.settings.classes[open.request.class.0].idempotency {
            Idempotency::Idempotent => Micros(u64::MAX),
            Idempotency::NonIdempotent
            | Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, .. } => Micros(0),
            Idempotency::IdempotencyKey { window, .. } => {
                let usable = window - self.max_stall();
                open.executed_from.map_or(Micros(u64::MAX), |sent| sent + usable)
            }
        }
    }
}
