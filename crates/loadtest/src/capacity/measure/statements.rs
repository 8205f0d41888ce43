//! Clients that ask at random times, each at the same mean rate: a gateway's processor time, and how often a client finds
//! its connection closed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use super::process::{families, Gateway};
use super::{Figures, Setup};
use crate::capacity::slopes::Point;
use crate::clients::{statement, Connection};

/// Statements a second: up to twice the operators' 1,268 a gateway.
const RATES: [usize; 6] = [160, 320, 634, 951, 1_268, 2_536];
/// So few clients that none is idle for long.
const CLIENTS: usize = 160;
const SOCKETS: usize = 16_384;
/// Threads that play clients, each its part of them, one statement out at a time.
const THREADS: usize = 8;
/// Before anything counts, and while it does.
const WARM: Duration = Duration::from_secs(1);
const COUNTED: Duration = Duration::from_secs(3);

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    /// Where to.
    pub gateway: SocketAddr,
    /// Families that are asked.
    pub families: u64,
    /// Clients in all.
    pub clients: usize,
    /// Statements a second in all.
    pub rate: f64,
    /// Time before anything counts.
    pub warm: Duration,
    /// Time that counts.
    pub counted: Duration,
    /// For all draws.
    pub seed: u64,
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counted {
    /// Statements that were served.
    pub served: u64,
    /// Other answers.
    pub others: u64,
    /// Connections that clients found closed when they wanted to ask, and opened anew.
    pub reconnects: u64,
}

/// Plays clients; at the begin and the end of what counts `mark` is called.
///
/// # Errors
/// What a socket says where the gateway has not closed it.
pub fn play(play: Play, mut mark: impl FnMut()) -> Result<Counted, String> {
    let start = Instant::now();
    std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..THREADS).map(|part| scope.spawn(move || play_part(play, part, start))).collect();
        let sleep_to =
            |at: Duration| std::thread::sleep((start + at).saturating_duration_since(Instant::now()));
        sleep_to(play.warm);
        mark();
        sleep_to(play.warm + play.counted);
        mark();
        let mut sum = Counted::default();
        for thread in threads {
            let part =
                thread.join().map_err(|_| "a client panicked")?.map_err(|e: std::io::Error| e.to_string())?;
            sum.served += part.served;
            sum.others += part.others;
            sum.reconnects += part.reconnects;
        }
        Ok(sum)
    })
}

fn play_part(play: Play, part: usize, start: Instant) -> std::io::Result<Counted> {
    let mine = (part..play.clients).step_by(THREADS);
    let mut rng = Pcg64Mcg::seed_from_u64(play.seed * 1_000 + part as u64);
    let pause = Exp::new(play.rate / play.clients as f64).map_err(std::io::Error::other)?;
    let mut draw = |from: Duration| from + Duration::from_secs_f64(pause.sample(&mut rng));
    let mut due: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    let mut open: Vec<Option<Connection>> = Vec::new();
    for client in 0..mine.len() {
        due.push(Reverse((draw(start.elapsed()), client)));
        open.push(None);
    }
    let (mut counted, mut number) = (Counted::default(), 0u64);
    let end = play.warm + play.counted;
    while let Some(Reverse((at, client))) = due.pop().filter(|Reverse((at, _))| *at < end) {
        if let Some(early) = at.checked_sub(start.elapsed()) {
            std::thread::sleep(early);
        }
        number += 1;
        let seed = (part * play.clients + client) as u64;
        let text = statement(seed, number, number % play.families);
        let before = open[client].take();
        let was_open = before.is_some();
        let known = before.filter(|connection| !connection.is_closed());
        let mut reconnects = u64::from(was_open && known.is_none());
        let mut connection = match known {
            Some(connection) => connection,
            None => Connection::connect(play.gateway)?,
        };
        let served = match connection.query(&text) {
            Ok(served) => served,
            // It crossed the close of its connection.
            Err(_) => {
                reconnects += 1;
                connection = Connection::connect(play.gateway)?;
                connection.query(&text)?
            }
        };
        open[client] = Some(connection);
        if at >= play.warm {
            counted.served += u64::from(served);
            counted.others += u64::from(!served);
            counted.reconnects += reconnects;
        }
        due.push(Reverse((draw(at), client)));
    }
    Ok(counted)
}

/// Measures processor time at each rate.
///
/// # Errors
/// What the gateway or the system says; statements that were not served.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let mut figures = Figures::default();
    let known = families(4)?;
    for round in 0..setup.rounds {
        for rate in RATES {
            let gateway = Gateway::start(setup, &known, SOCKETS, "127.0.0.1:1")?;
            let mut marks = Vec::new();
            let plan = Play {
                gateway: gateway.address,
                families: 4,
                clients: CLIENTS,
                rate: rate as f64,
                warm: WARM,
                counted: COUNTED,
                seed: u64::from(round) + 1,
            };
            let counted = play(plan, || marks.push(gateway.cpu_us()))?;
            let asked = counted.served + counted.others;
            if counted.others * 50 > asked || (asked as f64) < 0.9 * rate as f64 * COUNTED.as_secs_f64() {
                return Err(format!("{rate} statements a second: {counted:?}"));
            }
            if let [from, to] = marks[..] {
                figures.add("statement_cpu_us_s", rate, (to - from) / COUNTED.as_secs_f64());
            }
        }
    }
    Ok(figures.points())
}
