//! Clients with arrival times fixed ahead: a request that finds all connections of its client busy waits, and its
//! latency counts from the time at which it was to be sent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use dunemount::pg::codec::{self, Inbox};
use hdrhistogram::Histogram;
use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

/// What one client does.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Where the gateway listens.
    pub gateway: SocketAddr,
    /// Requests a second; zero asks the next as soon as the last is answered.
    pub rate: f64,
    /// For how long.
    pub time: Duration,
    /// Families that it asks in turn.
    pub families: u64,
    /// For its draws and its names.
    pub seed: u64,
}

/// What one client saw.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Answers with a value.
    pub served: u64,
    /// Any other answer.
    pub refused: u64,
    /// Requests without an answer: the connection ended.
    pub lost: u64,
    /// Microseconds from the intended time to the answer.
    pub latency: Histogram<u64>,
}

/// Plays a client to its end.
pub fn play(plan: Plan) -> std::io::Result<Seen> {
    let latency = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(std::io::Error::other)?;
    let mut seen = Seen { served: 0, refused: 0, lost: 0, latency };
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let pause = Exp::new(plan.rate.max(1e-9)).map_err(std::io::Error::other)?;
    let mut socket = TcpStream::connect(plan.gateway)?;
    socket.set_nodelay(true)?;
    let mut inbox = Inbox::default();
    let mut out = Vec::new();
    codec::startup(&mut out, "app", "shop");
    socket.write_all(&out)?;
    answer(&mut socket, &mut inbox)?;
    let start = Instant::now();
    let (mut due, mut number) = (Duration::ZERO, 0u64);
    while due < plan.time {
        number += 1;
        due = if plan.rate > 0.0 {
            due + Duration::from_secs_f64(pause.sample(&mut rng))
        } else {
            start.elapsed()
        };
        if let Some(early) = due.checked_sub(start.elapsed()) {
            std::thread::sleep(early);
        }
        let (seed, family) = (plan.seed, (plan.seed + number) % plan.families);
        let text = match number % 10 {
            0 => format!("INSERT INTO items (id, doc) VALUES ('s{seed}', '\\x9f') RETURNING doc /* id={seed:x}-{number:x},c=tally-write,d=2000,k={number:x},cluster={family} */"),
            1..=3 => format!("SELECT doc FROM items WHERE id = 's{seed}' /* id={seed:x}-{number:x},c=own-read,d=1500,cluster={family} */"),
            _ => format!("SELECT doc FROM items WHERE id = 's{seed}' /* id={seed:x}-{number:x},c=page-read,d=1000,cluster={family} */"),
        };
        out.clear();
        codec::query(&mut out, &text);
        socket.write_all(&out)?;
        match answer(&mut socket, &mut inbox) {
            Ok(true) => seen.served += 1,
            Ok(false) => seen.refused += 1,
            Err(_) => {
                seen.lost += 1;
                return Ok(seen);
            }
        }
        let took = start.elapsed().saturating_sub(due).as_micros() as u64;
        seen.latency.saturating_record(took.max(1));
    }
    Ok(seen)
}

/// Reads to the next ReadyForQuery: whether a value came.
fn answer(socket: &mut TcpStream, inbox: &mut Inbox) -> std::io::Result<bool> {
    let mut bytes = [0; 4096];
    let mut served = false;
    loop {
        match inbox.frame_within(|_| 64 * 1024) {
            Ok(Some(frame)) if frame.tag == b'Z' => return Ok(served),
            Ok(Some(frame)) => served |= frame.tag == b'C',
            Ok(None) => match socket.read(&mut bytes)? {
                0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                count => inbox.push(&bytes[..count]),
            },
            Err(_) => return Err(std::io::ErrorKind::InvalidData.into()),
        }
    }
}
