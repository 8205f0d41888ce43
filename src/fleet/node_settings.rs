//! Derives the settings of a node from the operator's settings.

use std::time::Duration;

use dunemount_fleet::lease::LeaseSettings;
use dunemount_fleet::membership::{MemberIdentity, MembershipTimeouts};
use dunemount_fleet::node::NodeSettings;

use crate::settings_file::{FleetSettings, NamedAddress, SettingsFileError};

/// Largest relative difference between the rates of two gateways' clocks.
const MAX_CLOCK_DRIFT: f64 = 0.05;
/// Number of times that a request is sent again within a lease's duration.
const RESENDS_PER_LEASE: u32 = 20;
/// The time that a member has to answer a probe is the probe interval divided by this.
const PROBE_TIMEOUTS_PER_INTERVAL: u32 = 3;
const SUSPICION_PROBE_INTERVALS: u32 = 3;
const DOWN_RETENTION_PROBE_INTERVALS: u32 = 120;

/// The parameters of a node's start that are not in the operator's settings.
#[derive(Clone, Debug)]
pub struct NodeStart {
    /// The gateway's name.
    pub name: String,
    /// A number that rises with each start of this gateway, such as Unix time in milliseconds.
    pub start: u64,
    /// The roles that this node is a candidate for.
    pub roles: Vec<String>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A node's settings, and the slot of its acceptor if it has one; none unless the operator's settings name a fleet.
///
/// # Errors
/// The gateway is a voter, and the settings name no file for it.
pub fn node_settings(
    options: &FleetSettings,
    start: NodeStart,
) -> Result<Option<(NodeSettings, Option<usize>)>, SettingsFileError> {
    let (Some(fleet), Some(listen)) = (options.name.clone(), options.listen) else { return Ok(None) };
    let slot = options.voter(&start.name)?.map(|(slot, _)| slot);
    // An acceptor is known by its address in the list of voters, which may differ from the one that it listens on.
    let address = slot.map_or(listen, |slot| options.voters[slot].address);
    let acceptors = identities(&options.voters);
    let seeds = if options.seeds.is_empty() { acceptors.clone() } else { identities(&options.seeds) };
    let settings = NodeSettings {
        fleet,
        local: MemberIdentity { name: start.name, start: start.start, incarnation: 0, address },
        acceptors,
        seeds,
        fleet_size: options.size,
        roles: start.roles,
        lease: lease_settings(Duration::from_millis(options.lease_ms)),
        membership: membership_timeouts(Duration::from_millis(options.probe_ms)),
        rng_seed: start.seed,
    };
    Ok(Some((settings, slot)))
}

fn identities(addresses: &[NamedAddress]) -> Vec<MemberIdentity> {
    let identity = |address: &NamedAddress| MemberIdentity::with_address(&address.name, address.address);
    addresses.iter().map(identity).collect()
}

fn lease_settings(duration: Duration) -> LeaseSettings {
    LeaseSettings {
        duration,
        max_clock_drift: MAX_CLOCK_DRIFT,
        resend_interval: duration / RESENDS_PER_LEASE,
    }
}

fn membership_timeouts(probe_interval: Duration) -> MembershipTimeouts {
    MembershipTimeouts {
        probe_interval,
        probe_timeout: probe_interval / PROBE_TIMEOUTS_PER_INTERVAL,
        suspicion_timeout: probe_interval * SUSPICION_PROBE_INTERVALS,
        down_retention: probe_interval * DOWN_RETENTION_PROBE_INTERVALS,
    }
}
