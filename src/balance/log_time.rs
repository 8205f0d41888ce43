//! The offset between the clock of the groups' logs and this router's clock.

use super::group::Group;
use super::log_clock::{Change, LogClock, OffsetBounds, MAX_STALL};
use crate::api::Micros;
use crate::notice::LogTimeEvidence;

/// What is known of the time of all groups' logs.
pub struct LogTime {
    /// Positions are times of this router's clock; else the offset is learned from what primaries answer.
    same_clock: bool,
    /// The time of all logs: databases read one clock. A group whose own answers do not fit it goes by those.
    common: LogClock,
    /// Bounds of the offset over all groups, for those of which nothing is proved.
    usual: Option<OffsetBounds>,
    /// Those bounds over the groups that the refresh under way has seen.
    refreshed: Option<OffsetBounds>,
}

impl LogTime {
    /// Nothing is known yet; `same_clock` where positions are times of the router's clock.
    pub fn new(same_clock: bool) -> LogTime {
        LogTime { same_clock, common: LogClock::default(), usual: None, refreshed: None }
    }

    /// Takes over what another router knew of all logs and of each group's.
    pub fn restore<'a>(&mut self, common: LogClock, groups: impl Iterator<Item = &'a Group>) {
        self.common = common;
        let known = groups.filter_map(|group| Some(self.within_common(group.log_clock.known()?)));
        self.usual = known.reduce(OffsetBounds::hull);
    }

    /// Whether positions are times of the router's clock.
    pub fn is_same_clock(&self) -> bool {
        self.same_clock
    }

    /// What is proved of the time of all logs.
    pub fn common(&self) -> LogClock {
        self.common
    }

    /// For how long the router may be held up between reading its clock and what it does then: a router whose
    /// clock is the log's acts in no time.
    pub fn max_stall(&self) -> Micros {
        if self.same_clock {
            Micros(0)
        } else {
            MAX_STALL
        }
    }

    /// The offset of a group's log: as its own primaries prove, or as those of the others do.
    pub fn offset(&self, group: Option<&Group>) -> Option<OffsetBounds> {
        if self.same_clock {
            return Some(OffsetBounds::ZERO);
        }
        let own = group.and_then(|group| group.log_clock.known());
        own.map_or(self.usual, |own| Some(self.within_common(own)))
    }

    /// The time of a group's log by now at the latest: what a replica shows counts against it. None as long
    /// as nothing is proved of any log.
    pub fn latest(&self, now: Micros, group: Option<&Group>) -> Option<Micros> {
        let latest = self.offset(group)?.latest(now);
        if self.same_clock {
            return Some(latest);
        }
        let own = group.and_then(|group| group.log_clock.latest_if_contradicted(now));
        let contradiction = own.or_else(|| self.common.latest_if_contradicted(now));
        Some(contradiction.map_or(latest, |contradiction| contradiction.max(latest)))
    }

    /// Whether the time of all logs is known this closely.
    pub fn is_known_within(&self, now: Micros, width: Micros) -> bool {
        self.common.known().is_some_and(|known| known.width(now) <= width)
    }

    /// Takes in an answer of a group's primary, and what it proves of the log's time, if anything: the log
    /// has come to its position at the least. What that changed for the group.
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
            group.log_clock.add_proof(proof, self.usual.unwrap_or(OffsetBounds::plausible(now)))
        });
        self.common.advance_to(answer.sent, now, answer.position);
        group.log_clock.advance_to(answer.sent, now, answer.position);
        change
    }

    /// A group's offset has changed: the usual bounds have room for it from now on.
    pub fn include(&mut self, offset: OffsetBounds) {
        self.usual = Some(self.usual.map_or(offset, |usual| usual.hull(offset)));
    }

    /// A refresh has come to this group.
    pub fn refresh(&mut self, group: &Group) {
        let Some(known) = group.log_clock.known() else { return };
        let offset = self.within_common(known);
        self.refreshed = Some(self.refreshed.map_or(offset, |other| other.hull(offset)));
    }

    /// A refresh has come to all groups: its bounds are the usual ones from now on.
    pub fn finish_refresh(&mut self) {
        self.usual = self.refreshed.take().or(self.usual);
    }

    /// What is proved of a group's log, closer where the proofs of all groups fit.
    fn within_common(&self, own: OffsetBounds) -> OffsetBounds {
        let common = self.common.known().and_then(|common| common.intersection(own));
        common.unwrap_or(own)
    }
}
