//! A gateway process that knows many hosts: its memory, and its CPU time for a SIGHUP, which reloads the
//! configuration and requests the full list from discovery.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::process::{DiscoveryServer, GatewayProcess};
use super::{unreachable_targets, Measurements, Setup, HOST_COUNTS};
use crate::capacity::slopes::Point;

/// SIGHUPs in a round, and the time in which the gateway must have handled each.
const RELOADS: u32 = 5;
const RELOAD_TIME: Duration = Duration::from_millis(200);
/// Time until the gateway has applied the first list.
const START_TIME: Duration = Duration::from_millis(500);

/// Measures memory and reloads.
///
/// # Errors
/// A failure of the gateway or of the system, or reloads that did not request exactly one full list each.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let mut measurements = Measurements::default();
    for _ in 0..setup.rounds {
        for hosts in HOST_COUNTS {
            let targets = unreachable_targets(hosts);
            let discovery = DiscoveryServer::start(&targets)?;
            let gateway = GatewayProcess::start(setup, &targets, 1_024, &discovery.address.to_string())?;
            std::thread::sleep(START_TIME);
            measurements.add("host_kib", hosts, gateway.memory_kib());
            let cpu_before = gateway.cpu_us();
            std::thread::sleep(RELOAD_TIME * RELOADS);
            let idle_cpu_us = gateway.cpu_us() - cpu_before;
            let (lists_before, cpu_before) =
                (discovery.full_lists_sent.load(Ordering::Relaxed), gateway.cpu_us());
            for _ in 0..RELOADS {
                gateway.reload()?;
                std::thread::sleep(RELOAD_TIME);
            }
            let list_count = discovery.full_lists_sent.load(Ordering::Relaxed) - lists_before;
            if list_count != u64::from(RELOADS) {
                return Err(format!(
                    "{RELOADS} reloads requested {list_count} full lists, expected one for each"
                ));
            }
            measurements.add(
                "reload_cpu_us",
                hosts,
                (gateway.cpu_us() - cpu_before - idle_cpu_us).max(0.0) / f64::from(RELOADS),
            );
        }
    }
    Ok(measurements.points())
}
