//! Clients with arrival times fixed ahead: a request that finds all connections of its client busy waits, and its
//! latency counts from the time at which it was to be sent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use dunemount::pg::codec::{self, ReceiveBuffer};
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
///
/// # Errors
/// What the socket says before the first statement.
pub fn play(plan: Plan) -> std::io::Result<Seen> {
    let latency = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(std::io::Error::other)?;
    let mut seen = Seen { served: 0, refused: 0, lost: 0, latency };
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let pause = Exp::new(plan.rate.max(1e-9)).map_err(std::io::Error::other)?;
    let mut connection = Connection::open(plan.gateway)?;
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
        let text = statement(plan.seed, number, (plan.seed + number) % plan.families);
        match connection.ask(&text) {
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

/// A client's statement: one in ten writes, three read what the client wrote.
pub fn statement(seed: u64, number: u64, family: u64) -> String {
    match number % 10 {
        0 => format!("INSERT INTO items (id, doc) VALUES ('s{seed}', '\\x9f') RETURNING doc /* id={seed:x}-{number:x},c=tally-write,d=2000,k={number:x},cluster={family} */"),
        1..=3 => format!("SELECT doc FROM items WHERE id = 's{seed}' /* id={seed:x}-{number:x},c=own-read,d=1500,cluster={family} */"),
        _ => format!("SELECT doc FROM items WHERE id = 's{seed}' /* id={seed:x}-{number:x},c=page-read,d=1000,cluster={family} */"),
    }
}

/// A client's connection.
#[derive(Debug)]
pub struct Connection {
    socket: TcpStream,
    inbox: ReceiveBuffer,
}

impl Connection {
    /// Connects and waits until statements are taken.
    ///
    /// # Errors
    /// What the socket says, or that the connection ended.
    pub fn open(gateway: SocketAddr) -> std::io::Result<Connection> {
        let socket = TcpStream::connect(gateway)?;
        socket.set_nodelay(true)?;
        let mut connection = Connection { socket, inbox: ReceiveBuffer::default() };
        let mut out = Vec::new();
        codec::write_startup_packet(&mut out, "app", "shop");
        connection.socket.write_all(&out)?;
        connection.answer()?;
        Ok(connection)
    }

    /// Sends a statement and waits for its answer: whether a value came.
    ///
    /// # Errors
    /// What the socket says, or that the connection ended.
    pub fn ask(&mut self, text: &str) -> std::io::Result<bool> {
        let mut out = Vec::new();
        codec::write_query(&mut out, text);
        self.socket.write_all(&out)?;
        self.answer()
    }

    /// Whether the gateway has closed it.
    pub fn is_closed(&self) -> bool {
        let quiet = self.socket.set_nonblocking(true).and_then(|()| self.socket.peek(&mut [0]));
        let open = quiet.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        !open || self.socket.set_nonblocking(false).is_err()
    }

    /// Reads to the next ReadyForQuery: whether a value came.
    fn answer(&mut self) -> std::io::Result<bool> {
        let mut bytes = [0; 4096];
        let mut served = false;
        loop {
            match self.inbox.next_message_within(|_| 64 * 1024) {
                Ok(Some(frame)) if frame.tag == b'Z' => return Ok(served),
                Ok(Some(frame)) => served |= frame.tag == b'C',
                Ok(None) => match self.socket.read(&mut bytes)? {
                    0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                    count => self.inbox.push(&bytes[..count]),
                },
                Err(_) => return Err(std::io::ErrorKind::InvalidData.into()),
            }
        }
    }
}
