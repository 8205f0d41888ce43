//! Clients that send statements at random times, all at the same mean rate: the gateway's CPU time, and how often a
//! client finds its connection closed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use super::process::{start_host_groups, GatewayProcess};
use super::{Measurements, Setup};
use crate::capacity::slopes::Point;
use crate::clients::{statement, Connection};

/// Statements per second: up to twice the operators' 1,268 for each gateway.
const STATEMENT_RATES: [usize; 6] = [160, 320, 634, 951, 1_268, 2_536];
/// Number of clients, so few that none is idle for long.
const CLIENTS: usize = 160;
const DESCRIPTORS: usize = 16_384;
/// Threads that run the clients, each an equal share of them with one statement in flight at a time.
const CLIENT_THREADS: usize = 8;
/// Time before counting starts, and the time that counts.
const WARM_UP: Duration = Duration::from_secs(1);
const COUNTED_TIME: Duration = Duration::from_secs(3);

/// A load of statements from many clients.
#[derive(Clone, Copy, Debug)]
pub struct StatementLoad {
    /// Address of the gateway.
    pub gateway: SocketAddr,
    /// Number of host groups that statements address.
    pub groups: u64,
    /// Total number of clients.
    pub clients: usize,
    /// Statements per second of all clients together.
    pub rate: f64,
    /// Time before counting starts.
    pub warm_up: Duration,
    /// Time that counts.
    pub counted: Duration,
    /// Seeds all random numbers.
    pub seed: u64,
}

/// What the clients counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counted {
    /// Statements that were served.
    pub served: u64,
    /// Statements with any other answer.
    pub unserved: u64,
    /// Connections that clients found closed when they had a statement to send, and reopened.
    pub reconnects: u64,
}

/// Runs the clients of a load. Calls `mark` at the start and at the end of the time that counts.
///
/// # Errors
/// A socket failed for another reason than that the gateway had closed the connection.
pub fn run_load(load: StatementLoad, mut mark: impl FnMut()) -> Result<Counted, String> {
    let start = Instant::now();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..CLIENT_THREADS)
            .map(|thread_index| scope.spawn(move || run_thread(load, thread_index, start)))
            .collect();
        let sleep_until =
            |at: Duration| std::thread::sleep((start + at).saturating_duration_since(Instant::now()));
        sleep_until(load.warm_up);
        mark();
        sleep_until(load.warm_up + load.counted);
        mark();
        let mut sum = Counted::default();
        for thread in threads {
            let counted = thread
                .join()
                .map_err(|_| "a client thread panicked")?
                .map_err(|e: std::io::Error| e.to_string())?;
            sum.served += counted.served;
            sum.unserved += counted.unserved;
            sum.reconnects += counted.reconnects;
        }
        Ok(sum)
    })
}

fn run_thread(load: StatementLoad, thread_index: usize, start: Instant) -> std::io::Result<Counted> {
    let own_clients = (thread_index..load.clients).step_by(CLIENT_THREADS);
    let mut rng = Pcg64Mcg::seed_from_u64(load.seed * 1_000 + thread_index as u64);
    let interval = Exp::new(load.rate / load.clients as f64).map_err(std::io::Error::other)?;
    let mut draw_next = |from: Duration| from + Duration::from_secs_f64(interval.sample(&mut rng));
    let mut due_clients: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    let mut connections: Vec<Option<Connection>> = Vec::new();
    for client in 0..own_clients.len() {
        due_clients.push(Reverse((draw_next(start.elapsed()), client)));
        connections.push(None);
    }
    let (mut counted, mut number) = (Counted::default(), 0u64);
    let end = load.warm_up + load.counted;
    while let Some(Reverse((at, client))) = due_clients.pop().filter(|Reverse((at, _))| *at < end) {
        if let Some(wait) = at.checked_sub(start.elapsed()) {
            std::thread::sleep(wait);
        }
        number += 1;
        let seed = (thread_index * load.clients + client) as u64;
        let text = statement(seed, number, number % load.groups);
        let previous = connections[client].take();
        let was_open = previous.is_some();
        let usable = previous.filter(|connection| !connection.is_closed());
        let mut reconnects = u64::from(was_open && usable.is_none());
        let mut connection = match usable {
            Some(connection) => connection,
            None => Connection::connect(load.gateway)?,
        };
        let served = match connection.query(&text) {
            Ok(served) => served,
            // The gateway closed the connection while the statement was being sent.
            Err(_) => {
                reconnects += 1;
                connection = Connection::connect(load.gateway)?;
                connection.query(&text)?
            }
        };
        connections[client] = Some(connection);
        if at >= load.warm_up {
            counted.served += u64::from(served);
            counted.unserved += u64::from(!served);
            counted.reconnects += reconnects;
        }
        due_clients.push(Reverse((draw_next(at), client)));
    }
    Ok(counted)
}

/// Measures CPU time at each rate.
///
/// # Errors
/// A failure of the gateway or of the system, more than 2% of the statements not served, or a rate that was not
/// reached.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let mut measurements = Measurements::default();
    let targets = start_host_groups(4)?;
    for round in 0..setup.rounds {
        for rate in STATEMENT_RATES {
            let gateway = GatewayProcess::start(setup, &targets, DESCRIPTORS, "127.0.0.1:1")?;
            let mut marks = Vec::new();
            let load = StatementLoad {
                gateway: gateway.address,
                groups: 4,
                clients: CLIENTS,
                rate: rate as f64,
                warm_up: WARM_UP,
                counted: COUNTED_TIME,
                seed: u64::from(round) + 1,
            };
            let counted = run_load(load, || marks.push(gateway.cpu_us()))?;
            let answered = counted.served + counted.unserved;
            if counted.unserved * 50 > answered
                || (answered as f64) < 0.9 * rate as f64 * COUNTED_TIME.as_secs_f64()
            {
                return Err(format!(
                    "{rate} statements per second: too few were sent or served: {counted:?}"
                ));
            }
            if let [from, to] = marks[..] {
                measurements.add("statement_cpu_us_s", rate, (to - from) / COUNTED_TIME.as_secs_f64());
            }
        }
    }
    Ok(measurements.points())
}
