//! The settings and limits of a control server.

use std::time::Duration;

use crate::settings::{ControlServerInfo, Timeouts};
use crate::wire::MAX_GATEWAYS;

/// The register's name.
pub const REGISTER: &str = "config/version";
/// Most documents without a version number that are stored: those of proposals under way, one a server, and those of
/// proposals that were given up and may still be chosen.
pub const MAX_PENDING_DOCUMENTS: usize = 16;

/// Versions that are stored: the newest, and one before it.
pub(super) const MAX_STORED_VERSIONS: usize = 2;
/// Most connections that others open: gateways, control servers, commands, and those not identified yet.
pub(super) const MAX_INCOMING_CONNECTIONS: usize = MAX_GATEWAYS + 64;
/// Most connections of the operators' command: each may send a whole document.
pub(super) const MAX_COMMAND_CONNECTIONS: usize = 8;
/// Most proposals that wait for the one before them; one more is rejected.
pub(super) const MAX_QUEUED_PROPOSALS: usize = 4;
/// Longest message of a gateway, and of whoever has not identified itself, in bytes.
pub(super) const MAX_SMALL_MESSAGE_BYTES: usize = 1_024;
/// The first backoff of whatever failed.
pub(super) const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The longest pause before a change of the register, or a store, is tried again.
pub(super) const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The settings of a control server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// Its own name, one of `servers`.
    pub name: String,
    /// All control servers, in the settings' order.
    pub servers: Vec<ControlServerInfo>,
    /// Intervals and timeouts, the same as the gateways'.
    pub timeouts: Timeouts,
    /// Between two reads of the register.
    pub read_interval: Duration,
    /// How long after its begin a read of the register counts as fresh.
    pub freshness: Duration,
    /// How long an operator waits at most until a proposal is accepted.
    pub proposal_timeout: Duration,
    /// Seed of the random generator.
    pub seed: u64,
}
