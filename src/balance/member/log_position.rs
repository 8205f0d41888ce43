//! How far a member has applied the log, and how that is known.

use crate::api::Micros;
use crate::balance::log_clock::OffsetBounds;
use crate::balance::progress::PrimaryProgress;
use crate::notice::{LogTimeEvidence, PositionSource};

/// A member's last known log position. It stays valid for ever: positions never go back.
#[derive(Default)]
pub struct LogPosition {
    pub(super) position: Option<Micros>,
    pub(super) updated_at: Micros,
    pub(super) source: PositionSource,
    /// How far the member is thought to lag behind: from its last position, and from reads that it rejected.
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

    /// Where the position is known from.
    pub fn source(&self) -> PositionSource {
        self.source
    }

    /// How far the member is thought to lag behind.
    pub fn lag(&self) -> Micros {
        self.lag
    }

    /// Whether the member has applied the log up to `needed`.
    pub fn has_reached(&self, needed: Micros) -> bool {
        self.position.unwrap_or_default() >= needed
    }

    /// Since when the log has stood at the last position that the member gave as the primary.
    pub fn primary_since(&self) -> Option<Micros> {
        self.progress.since()
    }

    /// Takes in a position unless it is older; `latest` is the log's time at the latest, where known.
    pub fn observe(
        &mut self,
        now: Micros,
        position: Option<Micros>,
        latest: Option<Micros>,
        source: PositionSource,
    ) {
        let position = position.map(|position| latest.map_or(position, |latest| position.min(latest)));
        if position.is_none() || position < self.position {
            return;
        }
        self.position = position;
        self.updated_at = now;
        self.source = source;
        self.lag = latest.map_or(self.lag, |latest| latest - position.unwrap_or_default());
    }

    /// Takes in an answer of the member as the primary. What it proves of the log's time, if anything.
    pub fn observe_as_primary(&mut self, answer: &LogTimeEvidence) -> Option<OffsetBounds> {
        self.progress.observe(answer)
    }

    /// A replica that checks reads has served one that needed this position.
    pub fn served_read(&mut self, needed: Micros, latest: Micros) {
        self.position = self.position.max(Some(needed));
        self.lag = self.lag.min(latest - needed);
    }

    /// A replica that checks reads has rejected one that needed this position.
    pub fn rejected_read(&mut self, needed: Micros, latest: Micros) {
        self.lag = self.lag.max(latest - needed);
    }

    /// Lets the lag fade by this factor.
    pub fn decay_lag(&mut self, factor: f64) {
        self.lag = self.lag.scale(factor);
    }

    /// The log's time has been learned anew: what was known of the lag holds no more.
    pub fn recompute_lag(&mut self, latest: Micros) {
        if let Some(position) = self.position {
            self.lag = latest - position;
        }
    }

    /// Forgets the position alone.
    pub fn forget_position(&mut self) {
        self.position = None;
    }

    /// Forgets all that was learned from the member in the group that it has left.
    pub fn forget_group(&mut self) {
        (self.position, self.source, self.lag) = (None, PositionSource::Unknown, Micros(0));
        self.progress = PrimaryProgress::default();
    }

    /// What is kept of a member that may have been restarted: its position is still valid.
    pub fn after_restart(&self) -> LogPosition {
        let &LogPosition { position, updated_at, lag, .. } = self;
        LogPosition { position, updated_at, lag, ..LogPosition::default() }
    }
}
