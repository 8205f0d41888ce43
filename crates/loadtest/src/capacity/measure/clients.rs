//! CPU time and memory of a gateway process with idle clients, and with clients that all connect at once.

use std::sync::Barrier;
use std::time::{Duration, Instant};

use super::process::{start_host_groups, GatewayProcess};
use super::{Measurements, Setup};
use crate::capacity::slopes::Point;
use crate::clients::{statement, Connection};

/// Numbers of idle clients: up to 3,239, as many as the operators have for each gateway.
const IDLE_CLIENTS: [usize; 5] = [200, 400, 800, 1_600, 3_239];
/// Numbers of clients that connect at once: up to 647, those of a lost zone.
const SIMULTANEOUS_CLIENTS: [usize; 5] = [40, 80, 160, 324, 647];
/// File descriptors of the gateway: enough that it is not crowded with the most clients.
const SOCKETS: usize = 16_384;
/// Time over which idle clients are measured: less than the idle time after which the gateway closes them.
const MEASURED_TIME: Duration = Duration::from_secs(3);
/// Pause before measuring, so that earlier work has completed.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Measures idle clients and clients that connect at once.
///
/// # Errors
/// A failure of the gateway or of the system, or an idle client that was disconnected during the measurement.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let mut measurements = Measurements::default();
    let targets = start_host_groups(4)?;
    let error_text = |e: std::io::Error| e.to_string();
    for _ in 0..setup.rounds {
        for count in IDLE_CLIENTS {
            let gateway = GatewayProcess::start(setup, &targets, SOCKETS, "127.0.0.1:1")?;
            let mut connections = Vec::with_capacity(count);
            for client in 0..count as u64 {
                let mut connection = Connection::connect(gateway.address).map_err(error_text)?;
                connection.query(&statement(client, 5, client % 4)).map_err(error_text)?;
                connections.push(connection);
            }
            std::thread::sleep(SETTLE_TIME);
            let (cpu_before, start) = (gateway.cpu_us(), Instant::now());
            std::thread::sleep(MEASURED_TIME);
            measurements.add(
                "client_cpu_us_s",
                count,
                (gateway.cpu_us() - cpu_before) / start.elapsed().as_secs_f64(),
            );
            measurements.add("client_kib", count, gateway.memory_kib());
            let closed = connections.iter().filter(|connection| connection.is_closed()).count();
            if closed > 0 {
                return Err(format!(
                    "the gateway closed {closed} of {count} idle clients during the measurement"
                ));
            }
        }
        for count in SIMULTANEOUS_CLIENTS {
            let gateway = GatewayProcess::start(setup, &targets, SOCKETS, "127.0.0.1:1")?;
            let (cpu_before, last) = (gateway.cpu_us(), connect_at_once(&gateway, count)?);
            measurements.add("connect_last_ms", count, last.as_secs_f64() * 1e3);
            measurements.add("connect_cpu_us", count, gateway.cpu_us() - cpu_before);
        }
    }
    Ok(measurements.points())
}

/// Connects `count` clients at once, sends one statement from each and returns the time until the last was served.
fn connect_at_once(gateway: &GatewayProcess, count: usize) -> Result<Duration, String> {
    let barrier = Barrier::new(count + 1);
    let connect_and_query = |client: u64| {
        barrier.wait();
        let mut connection = Connection::connect(gateway.address)?;
        let served = connection.query(&statement(client, 5, client % 4))?;
        Ok((Instant::now(), served, connection))
    };
    let connect_and_query = &connect_and_query;
    std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..count as u64).map(|client| scope.spawn(move || connect_and_query(client))).collect();
        barrier.wait();
        let start = Instant::now();
        // All connections stay open until the last statement is served.
        let results: Vec<std::io::Result<_>> = threads
            .into_iter()
            .map(|thread| {
                thread.join().unwrap_or_else(|_| Err(std::io::Error::other("a client thread panicked")))
            })
            .collect();
        let results: Result<Vec<_>, _> = results.into_iter().collect();
        let results = results.map_err(|e| e.to_string())?;
        if results.iter().any(|(_, served, _)| !served) {
            return Err("a statement of a client that connected at once was not served".into());
        }
        let last = results.iter().map(|(at, ..)| *at).max();
        Ok(last.map_or(Duration::ZERO, |last| last - start))
    })
}
