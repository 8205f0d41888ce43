//! The log position that a member has applied, and its source.

use crate::api::Micros;
use crate::balance::log_clock::OffsetBounds;
use crate::balance::progress::PrimaryProgress;
use crate::notice::{LogTimeEvidence, PositionSource};

/// A member's last known log position. It stays valid, because positions never go back.
#[derive(Default)]
pub struct LogPosition {
    pub(super) position: Option<Micros>,
    pub(super) updated_at: Micros,
    pub(super) source: PositionSource,
    /// Estimated lag of the member, from its last position and from the reads that it served or rejected.
    pub(super) lag: Micros,
    pub(super) progress: PrimaryProgress,
}

impl LogPosition {
    /// The last known position, if any is known.
    pub fn position(&self) -> Option<Micros> {
        self.position
    }

    /// When the position was last confirmed or advanced.
    pub fn updated_at(&self) -> Micros {
        self.updated_at
    }

    /// The source of the last known position.
    pub fn source(&self) -> PositionSource {
        self.source
    }

    /// Estimated lag of the member.
    pub fn lag(&self) -> Micros {
        self.lag
    }

    /// Whether the member is known to have applied the log up to `needed`.
    pub fn has_reached(&self, needed: Micros) -> bool {
        self.position.unwrap_or_default() >= needed
    }

    /// The time from which on the log is known to have been at the last position that the member reported as
    /// the primary.
    pub fn primary_since(&self) -> Option<Micros> {
        self.progress.since()
    }

    /// Records a position unless it is older than the last. `latest_log_time` is the upper bound of the
    /// present log time, if it is known.
    pub fn observe(
        &mut self,
        now: Micros,
        position: Option<Micros>,
        latest_log_time: Option<Micros>,
        source: PositionSource,
    ) {
        let position = position.map(|position| {
            latest_log_time.map_or(position, |latest_log_time| position.min(latest_log_time))
        });
        if position.is_none() || position < self.position {
            return;
        }
        self.position = position;
        self.updated_at = now;
        self.source = source;
        self.lag = latest_log_time
            .map_or(self.lag, |latest_log_time| latest_log_time - position.unwrap_or_default());
    }

    /// Records an answer of the member as the primary. Returns the proof of the log time that follows, if
    /// any.
    pub fn observe_as_primary(&mut self, answer: &LogTimeEvidence) -> Option<OffsetBounds> {
        self.progress.observe(answer)
    }

    /// Records that a replica which checks reads has served one that needed this position.
    pub fn served_read(&mut self, needed: Micros, latest_log_time: Micros) {
        self.position = self.position.max(Some(needed));
        self.lag = self.lag.min(latest_log_time - needed);
    }

    /// Records that a replica which checks reads has rejected one that needed this position.
    pub fn rejected_read(&mut self, needed: Micros, latest_log_time: Micros) {
        self.lag = self.lag.max(latest_log_time - needed);
    }

    /// Multiplies the lag by this factor.
    pub fn decay_lag(&mut self, factor: f64) {
        self.lag = self.lag.scale(factor);
    }

    /// Recomputes the lag from the position, after the log time was learned or replaced.
    pub fn recompute_lag(&mut self, latest_log_time: Micros) {
        if let Some(position) = self.position {
            self.lag = latest_log_time - position;
        }
    }

    /// Forgets the position, and nothing else.
    pub fn forget_position(&mut self) {
        self.position = None;
    }

    /// Forgets everything that was learned from the member in the group that it has left.
    pub fn forget_group(&mut self) {
        (self.position, self.source, self.lag) = (None, PositionSource::Unknown, Micros(0));
        self.progress = PrimaryProgress::default();
    }

    /// The state for a member that may have been restarted: its position is still valid.
    pub fn after_restart(&self) -> LogPosition {
        let &LogPosition { position, updated_at, lag, .. } = self;
        LogPosition { position, updated_at, lag, ..LogPosition::default() }
    }
}
