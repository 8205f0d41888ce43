//! Logs the changes of a gateway's status.

use std::time::Duration;

use dunemount_rollout::follower::FollowerStatus;
use dunemount_rollout::settings::ControlServerInfo;
use dunemount_rollout::version::Version;
use slog::{error, info, warn, Logger};

/// A gateway that has followed no fresh control server for this time logs that it is cut off.
const CUT_OFF_AFTER: Duration = Duration::from_secs(5);

/// The status that was logged last.
pub(super) struct StatusLog {
    status: FollowerStatus,
    /// The last fresh control server, by its index in the settings.
    fresh_server: Option<usize>,
    is_cut_off: bool,
    log: Logger,
}

impl StatusLog {
    pub(super) fn new(in_force: Option<Version>, log: Logger) -> StatusLog {
        let status = FollowerStatus { in_force, ..FollowerStatus::default() };
        StatusLog { status, fresh_server: None, is_cut_off: false, log }
    }

    /// Logs the differences from the previous status. `server` is the control server that the gateway follows.
    pub(super) fn update(&mut self, status: FollowerStatus, server: Option<&ControlServerInfo>) {
        self.log_versions(&status);
        self.log_server(&status, server);
        self.log_offers(&status);
        self.status = status;
    }

    fn log_versions(&self, status: &FollowerStatus) {
        if let Some(version) = status.in_force.filter(|new| self.status.in_force != Some(*new)) {
            info!(self.log, "config: version in force"; "digest" => %version.digest, "version" => version.number);
        }
        let before = self.status.rejected.as_ref();
        if let Some(rejected) = status.rejected.as_ref().filter(|new| before != Some(*new)) {
            warn!(self.log, "config: version refused"; "why" => &rejected.reason,
                "digest" => %rejected.version.digest, "version" => rejected.version.number);
        }
    }

    fn log_server(&mut self, status: &FollowerStatus, server: Option<&ControlServerInfo>) {
        // While none is fresh the servers are tried in turn, which is not logged.
        let fresh = server.filter(|_| status.cut_off.is_zero());
        if let Some(server) = fresh.filter(|_| self.fresh_server != status.server) {
            self.fresh_server = status.server;
            info!(self.log, "config: following a control machine"; "zone" => &server.zone, "machine" => &server.name);
        }
        if status.cut_off > CUT_OFF_AFTER && !std::mem::replace(&mut self.is_cut_off, true) {
            warn!(self.log, "config: cut off from all control machines; the version in force stays");
        }
        if status.cut_off.is_zero() && std::mem::replace(&mut self.is_cut_off, false) {
            info!(self.log, "config: no longer cut off");
        }
    }

    fn log_offers(&self, status: &FollowerStatus) {
        if status.conflicts > self.status.conflicts {
            error!(self.log, "config: received one version number with two digests; the version is not applied";
                "so_far" => status.conflicts);
        }
        if status.stale_offers > self.status.stale_offers {
            warn!(self.log, "config: an older version was offered and not applied"; "so_far" => status.stale_offers);
        }
    }
}
