//! The settings of a node, from those of the operator.

use std::time::Duration;

use dunemount_fleet::lease::LeaseSettings;
use dunemount_fleet::membership::{MemberIdentity, MembershipTimeouts};
use dunemount_fleet::node::NodeSettings;

use crate::settings_file::{FleetSettings, NamedAddress, SettingsFileError};

/// The most by which the speeds of two gateways' clocks differ, as a part.
const MAX_CLOCK_DRIFT: f64 = 0.05;
/// How often requests are sent again within a lease.
const RESENDS_PER_LEASE: u32 = 20;
/// A member has this part of the probe interval to answer.
const PROBE_TIMEOUTS_PER_INTERVAL: u32 = 3;
const SUSPICION_PROBE_INTERVALS: u32 = 3;
const DOWN_RETENTION_PROBE_INTERVALS: u32 = 120;

/// What a node is started with beside the operator's settings.
#[derive(Clone, Debug)]
pub struct NodeStart {
    /// The gateway's name.
    pub name: String,
    /// Rises with each start: Unix time in milliseconds will do.
    pub start: u64,
    /// The roles that somebody is to hold.
    pub roles: Vec<String>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A node's settings, and the slot of its acceptor if it has one; none unless the operator names a fleet.
///
/// # Errors
/// A voter without a file.
pub fn node_settings(
    options: &FleetSettings,
    start: NodeStart,
) -> Result<Option<(NodeSettings, Option<usize>)>, SettingsFileError> {
    let (Some(fleet), Some(listen)) = (options.name.clone(), options.listen) else { return Ok(None) };
    let slot = options.voter(&start.name)?.map(|(slot, _)| slot);
    // Of an acceptor the address that the others know counts: it may differ from the one that is listened at.
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
