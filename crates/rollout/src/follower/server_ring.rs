//! The order in which a gateway tries the control servers.

use std::time::Duration;

use rand_pcg::Pcg64Mcg;

use super::Settings;
use crate::backoff::{backoff, random_index};

/// The backoff after the first round of attempts in which no server stayed fresh.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);

/// The control servers in the order in which they are tried, and the progress of the attempts.
pub(super) struct ServerRing {
    /// Indices in the settings: the own zone's servers, then the others.
    servers: Vec<usize>,
    /// Number of the own zone's servers.
    own_zone_count: usize,
    /// Position of the server that is tried next.
    position: usize,
    /// Number of failed attempts in the current round.
    failed_attempts: usize,
    /// Number of consecutive rounds in which the attempts at all servers failed.
    failed_rounds: u32,
}

impl ServerRing {
    /// The ring of a gateway, which starts with the servers of its own zone. A random start spreads the gateways of a
    /// zone over its servers, and those of a zone without servers over all servers.
    pub(super) fn new(settings: &Settings, rng: &mut Pcg64Mcg) -> ServerRing {
        let count = settings.servers.len();
        let is_own_zone = |index: &usize| settings.servers[*index].zone == settings.zone;
        let mut servers: Vec<usize> = (0..count).filter(is_own_zone).collect();
        let own_zone_count = servers.len();
        if own_zone_count > 0 {
            servers.rotate_left(random_index(rng, own_zone_count));
        }
        let last_own = (0..count).rev().find(is_own_zone);
        let start = last_own.unwrap_or_else(|| random_index(rng, count.max(1)));
        let others = (1..=count).map(|step| (start + step) % count);
        servers.extend(others.filter(|index| !is_own_zone(index)));
        ServerRing { servers, own_zone_count, position: 0, failed_attempts: 0, failed_rounds: 0 }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    pub(super) fn has_own_zone(&self) -> bool {
        self.own_zone_count > 0
    }

    /// Whether the server with this index in the settings is in the own zone.
    pub(super) fn is_own_zone(&self, server: usize) -> bool {
        self.servers[..self.own_zone_count].contains(&server)
    }

    /// The server that is tried next.
    pub(super) fn current(&self) -> Option<usize> {
        self.servers.get(self.position).copied()
    }

    /// A random server of the own zone.
    pub(super) fn random_own_zone_server(&self, rng: &mut Pcg64Mcg) -> Option<usize> {
        let position = random_index(rng, self.own_zone_count.max(1));
        self.servers.get(position).copied()
    }

    /// Starts the next round of attempts with the own zone's servers.
    pub(super) fn restart(&mut self) {
        self.position = 0;
    }

    /// Records that a server has stayed fresh, which resets the backoff.
    pub(super) fn record_success(&mut self) {
        (self.failed_attempts, self.failed_rounds) = (0, 0);
    }

    /// Records a failed attempt or a lost connection, and advances to the next server. Returns the pause before that
    /// server is tried, which is zero until the attempts at all servers have failed.
    pub(super) fn record_failure(&mut self, rng: &mut Pcg64Mcg, max_backoff: Duration) -> Duration {
        self.position = (self.position + 1) % self.servers.len().max(1);
        self.failed_attempts += 1;
        if self.failed_attempts < self.servers.len() {
            return Duration::ZERO;
        }
        let pause = backoff(rng, FIRST_BACKOFF, max_backoff, self.failed_rounds);
        (self.failed_attempts, self.position) = (0, 0);
        self.failed_rounds = self.failed_rounds.saturating_add(1);
        pause
    }
}
