//! How often clients find their connection closed at the operators' rate of one statement per client each 2.556 s: with
//! spare descriptors, with so few that the gateway is crowded, and with too few to keep all clients that have sent a
//! statement. Counts, not times.

use std::time::Duration;

use super::process::{start_host_groups, GatewayProcess};
use super::statements::{run_load, StatementLoad};
use super::{Measurements, Setup};
use crate::capacity::slopes::Point;

const CLIENT_COUNTS: [usize; 5] = [200, 400, 800, 1_600, 3_239];
/// Mean seconds between two statements of a client.
const STATEMENT_INTERVAL_S: f64 = 2.3 / 0.9;
/// Time before counting starts: longer than the idle time that a gateway with spare descriptors allows.
const WARM_UP: Duration = Duration::from_secs(14);
const COUNTED_TIME: Duration = Duration::from_secs(10);
/// Slopes with the gateway's number of descriptors for each client: below 4.5 the gateway is crowded, and below 4 it
/// cannot keep the connections of all clients that have sent a statement.
const DESCRIPTORS_PER_CLIENT: [(&str, f64); 3] =
    [("reconnects_roomy_s", 5.0), ("reconnects_crowded_s", 4.2), ("reconnects_short_s", 2.5)];

/// Measures all three slopes, the sizes of each in parallel.
///
/// # Errors
/// A failure of a gateway or of the system.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let mut measurements = Measurements::default();
    let targets = start_host_groups(4)?;
    for round in 0..setup.rounds {
        for (slope, descriptors) in DESCRIPTORS_PER_CLIENT {
            let measure_clients = |clients: usize| {
                let sockets = (clients as f64 * descriptors) as usize + 48;
                let gateway = GatewayProcess::start(setup, &targets, sockets, "127.0.0.1:1")?;
                let load = StatementLoad {
                    gateway: gateway.address,
                    groups: 4,
                    clients,
                    rate: clients as f64 / STATEMENT_INTERVAL_S,
                    warm_up: WARM_UP,
                    counted: COUNTED_TIME,
                    seed: u64::from(round) + 1,
                };
                run_load(load, || ()).map(|counted| (clients, counted.reconnects))
            };
            let measure_clients = &measure_clients;
            let results: Vec<Result<(usize, u64), String>> = std::thread::scope(|scope| {
                let threads: Vec<_> = CLIENT_COUNTS
                    .iter()
                    .map(|clients| scope.spawn(move || measure_clients(*clients)))
                    .collect();
                let joined = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
                joined
                    .map(|joined| joined.unwrap_or_else(|_| Err("a measurement thread panicked".into())))
                    .collect()
            });
            for counted in results {
                let (clients, reconnects) = counted?;
                measurements.add(slope, clients, reconnects as f64 / COUNTED_TIME.as_secs_f64());
            }
        }
    }
    Ok(measurements.points())
}
