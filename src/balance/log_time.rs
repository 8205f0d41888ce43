//! The offset between the clock of all groups' logs and this router's clock.

use super::group::Group;
use super::log_clock::{Change, LogClock, OffsetBounds, MAX_STALL};
use crate::api::Micros;
use crate::notice::LogTimeEvidence;

/// The known offsets of the logs of all groups.
pub struct LogTime {
    /// Positions are times of this router's clock; otherwise the offset is learned from primaries' answers.
    same_clock: bool,
    /// The clock of all logs, as databases share one. A group whose own proofs contradict it uses those
    /// alone.
    common: LogClock,
    /// Bounds of the offset over all groups, for groups without a proof of their own.
    default_bounds: Option<OffsetBounds>,
    /// The same bounds over the groups that the refresh in progress has visited.
    refreshed_bounds: Option<OffsetBounds>,
}

impl LogTime {
    /// No offset is known yet; `same_clock` means that positions are times of the router's clock.
    pub fn new(same_clock: bool) -> LogTime {
        LogTime { same_clock, common: LogClock::default(), default_bounds: None, refreshed_bounds: None }
    }

    /// Restores the offsets that another router knew: of the common clock, and of each group's log.
    pub fn restore<'a>(&mut self, common: LogClock, groups: impl Iterator<Item = &'a Group>) {
        self.common = common;
        let known = groups.filter_map(|group| Some(self.narrowed_by_common(group.log_clock.known()?)));
        self.default_bounds = known.reduce(OffsetBounds::hull);
    }

    /// Whether positions are times of the router's clock.
    pub fn is_same_clock(&self) -> bool {
        self.same_clock
    }

    /// The clock that the logs of all groups have in common.
    pub fn common(&self) -> LogClock {
        self.common
    }

    /// Longest time for which the process may be stalled between reading its clock and acting; zero for a
    /// router whose clock is that of the log.
    pub fn max_stall(&self) -> Micros {
        if self.same_clock {
            Micros(0)
        } else {
            MAX_STALL
        }
    }

    /// The offset of a group's log: proved by its own primaries, or else by those of other groups.
    pub fn offset(&self, group: Option<&Group>) -> Option<OffsetBounds> {
        if self.same_clock {
            return Some(OffsetBounds::ZERO);
        }
        let own = group.and_then(|group| group.log_clock.known());
        own.map_or(self.default_bounds, |own| Some(self.narrowed_by_common(own)))
    }

    /// The upper bound of a group's present log time, against which a replica's lag is measured. `None` while
    /// there is no proof for any group.
    pub fn latest(&self, now: Micros, group: Option<&Group>) -> Option<Micros> {
        let latest = self.offset(group)?.latest(now);
        if self.same_clock {
            return Some(latest);
        }
        let own = group.and_then(|group| group.log_clock.latest_if_contradicted(now));
        let contradiction = own.or_else(|| self.common.latest_if_contradicted(now));
        Some(contradiction.map_or(latest, |contradiction| contradiction.max(latest)))
    }

    /// Whether the bounds of the common log time are at most `width` apart.
    pub fn is_known_within(&self, now: Micros, width: Micros) -> bool {
        self.common.known().is_some_and(|known| known.width(now) <= width)
    }

    /// Records an answer of a group's primary, whose log has reached at least the position in it, and the
    /// proof that follows from the answer, if any. Returns the change for the group.
    pub fn observe(
        &mut self,
        now: Micros,
        group: &mut Group,
        answer: &LogTimeEvidence,
        proof: Option<OffsetBounds>,
    ) -> Change {
        let change = proof.map_or(Change::None, |proof| {
            group.evidence = Some(*answer);
            self.common.add_proof(proof, OffsetBounds::plausible(now));
            group.log_clock.add_proof(proof, self.default_bounds.unwrap_or(OffsetBounds::plausible(now)))
        });
        self.common.advance_to(answer.sent, now, answer.position);
        group.log_clock.advance_to(answer.sent, now, answer.position);
        change
    }

    /// Extends the default bounds to include a group's changed offset.
    pub fn include(&mut self, offset: OffsetBounds) {
        self.default_bounds =
            Some(self.default_bounds.map_or(offset, |default_bounds| default_bounds.hull(offset)));
    }

    /// Adds a group to the bounds of the refresh in progress.
    pub fn refresh(&mut self, group: &Group) {
        let Some(known) = group.log_clock.known() else { return };
        let offset = self.narrowed_by_common(known);
        self.refreshed_bounds = Some(self.refreshed_bounds.map_or(offset, |other| other.hull(offset)));
    }

    /// Replaces the default bounds with those of the refresh, which has visited all groups.
    pub fn finish_refresh(&mut self) {
        self.default_bounds = self.refreshed_bounds.take().or(self.default_bounds);
    }

    /// A group's own bounds, narrowed by the common bounds if the two overlap.
    fn narrowed_by_common(&self, own: OffsetBounds) -> OffsetBounds {
        let common = self.common.known().and_then(|common| common.intersection(own));
        common.unwrap_or(own)
    }
}
