//! A gateway's process with idle clients, and with clients that connect at once.

use std::sync::Barrier;
use std::time::{Duration, Instant};

use super::process::{families, Gateway};
use super::{Figures, Setup};
use crate::capacity::slopes::Point;
use crate::clients::{statement, Connection};

/// Idle clients: up to the operators' 3,239 a gateway.
const IDLE: [usize; 5] = [200, 400, 800, 1_600, 3_239];
/// Clients that come at once: up to a lost zone's 647.
const AT_ONCE: [usize; 5] = [40, 80, 160, 324, 647];
/// Descriptors of the gateway: the largest is not crowded.
const SOCKETS: usize = 16_384;
/// Time over which idle clients are watched: less than they may be idle.
const WATCHED: Duration = Duration::from_secs(3);
/// Until what ended before has left nothing behind.
const REST: Duration = Duration::from_millis(500);

/// Measures both.
///
/// # Errors
/// What the gateway or the system says; an idle client that went while it was watched.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let mut figures = Figures::default();
    let known = families(4)?;
    let said = |e: std::io::Error| e.to_string();
    for _ in 0..setup.rounds {
        for count in IDLE {
            let gateway = Gateway::start(setup, &known, SOCKETS, "127.0.0.1:1")?;
            let mut open = Vec::with_capacity(count);
            for client in 0..count as u64 {
                let mut connection = Connection::connect(gateway.address).map_err(said)?;
                connection.query(&statement(client, 5, client % 4)).map_err(said)?;
                open.push(connection);
            }
            std::thread::sleep(REST);
            let (cpu, from) = (gateway.cpu_us(), Instant::now());
            std::thread::sleep(WATCHED);
            figures.add("client_cpu_us_s", count, (gateway.cpu_us() - cpu) / from.elapsed().as_secs_f64());
            figures.add("client_kib", count, gateway.memory_kib());
            let gone = open.iter().filter(|connection| connection.is_closed()).count();
            if gone > 0 {
                return Err(format!("{gone} of {count} idle clients were closed while they were watched"));
            }
        }
        for count in AT_ONCE {
            let gateway = Gateway::start(setup, &known, SOCKETS, "127.0.0.1:1")?;
            let (cpu, last) = (gateway.cpu_us(), come_at_once(&gateway, count)?);
            figures.add("connect_last_ms", count, last.as_secs_f64() * 1e3);
            figures.add("connect_cpu_us", count, gateway.cpu_us() - cpu);
        }
    }
    Ok(figures.points())
}

/// Clients that connect at once and ask once: when the last was served.
fn come_at_once(gateway: &Gateway, count: usize) -> Result<Duration, String> {
    let gate = Barrier::new(count + 1);
    let come = |client: u64| {
        gate.wait();
        let mut connection = Connection::connect(gateway.address)?;
        let served = connection.query(&statement(client, 5, client % 4))?;
        Ok((Instant::now(), served, connection))
    };
    let come = &come;
    std::thread::scope(|scope| {
        let all: Vec<_> = (0..count as u64).map(|client| scope.spawn(move || come(client))).collect();
        gate.wait();
        let from = Instant::now();
        // Connections stay open until the last is served.
        let ended: Vec<std::io::Result<_>> = all
            .into_iter()
            .map(|thread| thread.join().unwrap_or_else(|_| Err(std::io::Error::other("a client panicked"))))
            .collect();
        let ended: Result<Vec<_>, _> = ended.into_iter().collect();
        let ended = ended.map_err(|e| e.to_string())?;
        if ended.iter().any(|(_, served, _)| !served) {
            return Err("a client that came at once was not served".into());
        }
        let last = ended.iter().map(|(at, ..)| *at).max();
        Ok(last.map_or(Duration::ZERO, |last| last - from))
    })
}
