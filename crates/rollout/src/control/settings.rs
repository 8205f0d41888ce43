//! The settings and limits of a control server.

use std::time::Duration;

use crate::settings::{ControlServerInfo, Timeouts};
use crate::wire::MAX_GATEWAYS;

/// Name of the register that holds the version history.
pub const REGISTER: &str = "config/version";
/// Most documents without a version number that are stored: those of current proposals, one per server, and those of
/// proposals that were not accepted but may still be chosen.
pub const MAX_PENDING_DOCUMENTS: usize = 16;

/// Most versions that are stored: the newest, and the one before it.
pub(super) const MAX_STORED_VERSIONS: usize = 2;
/// Most incoming connections: gateways, control servers, operators' commands, and processes not identified yet.
pub(super) const MAX_INCOMING_CONNECTIONS: usize = MAX_GATEWAYS + 64;
/// Most connections of the operators' command, each of which may buffer a whole document.
pub(super) const MAX_COMMAND_CONNECTIONS: usize = 8;
/// Most proposals that wait for the current one; further proposals are rejected.
pub(super) const MAX_QUEUED_PROPOSALS: usize = 4;
/// Longest message of a gateway or of a process that has not identified itself, in bytes.
pub(super) const MAX_SMALL_MESSAGE_BYTES: usize = 1_024;
/// First backoff of connection attempts to peers and of changes of the register.
pub(super) const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff of changes of the register, and the pause before a failed store is retried.
pub(super) const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The settings of a control server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// This server's name, which is also in `servers`.
    pub name: String,
    /// All control servers, in the settings' order.
    pub servers: Vec<ControlServerInfo>,
    /// Intervals and timeouts, which have to be the same on gateways.
    pub timeouts: Timeouts,
    /// Time between two reads of the register.
    pub read_interval: Duration,
    /// How long a read of the register counts as fresh after it began.
    pub freshness: Duration,
    /// Time after which a proposal that has not been accepted is rejected.
    pub proposal_timeout: Duration,
    /// Seed of the random generator.
    pub seed: u64,
}
