//! Open-loop clients: send times are scheduled in advance. A request that finds its client's connection busy waits, and
//! its latency counts from the scheduled time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use dunemount::pg::codec::{self, ReceiveBuffer};
use hdrhistogram::Histogram;
use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

/// The load that one client generates.
#[derive(Clone, Copy, Debug)]
pub struct ClientPlan {
    /// Address that the gateway listens on.
    pub gateway: SocketAddr,
    /// Requests per second; zero sends each request as soon as the previous one is answered.
    pub rate: f64,
    /// How long the client sends requests.
    pub duration: Duration,
    /// Number of host groups, which the client addresses in turn.
    pub groups: u64,
    /// Seeds the client's random numbers and identifies it in statements.
    pub seed: u64,
}

/// What one client counted.
#[derive(Clone, Debug)]
pub struct ClientResult {
    /// Answers with a value.
    pub served: u64,
    /// Answers without a value.
    pub refused: u64,
    /// Requests without an answer because the connection failed.
    pub lost: u64,
    /// Microseconds from the scheduled send time to the answer.
    pub latency: Histogram<u64>,
}

/// Runs a client for the time of its plan, or until its connection fails.
///
/// # Errors
/// The gateway cannot be reached or does not accept the session, or the rate cannot be used.
pub fn run(plan: ClientPlan) -> std::io::Result<ClientResult> {
    let latency = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(std::io::Error::other)?;
    let mut result = ClientResult { served: 0, refused: 0, lost: 0, latency };
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let interval = Exp::new(plan.rate.max(1e-9)).map_err(std::io::Error::other)?;
    let mut connection = Connection::connect(plan.gateway)?;
    let start = Instant::now();
    let (mut scheduled, mut number) = (Duration::ZERO, 0u64);
    while scheduled < plan.duration {
        number += 1;
        scheduled = if plan.rate > 0.0 {
            scheduled + Duration::from_secs_f64(interval.sample(&mut rng))
        } else {
            start.elapsed()
        };
        if let Some(wait) = scheduled.checked_sub(start.elapsed()) {
            std::thread::sleep(wait);
        }
        let text = statement(plan.seed, number, (plan.seed + number) % plan.groups);
        match connection.query(&text) {
            Ok(true) => result.served += 1,
            Ok(false) => result.refused += 1,
            Err(_) => {
                result.lost += 1;
                return Ok(result);
            }
        }
        let latency_us = start.elapsed().saturating_sub(scheduled).as_micros() as u64;
        result.latency.saturating_record(latency_us.max(1));
    }
    Ok(result)
}

/// A client's statement by its number: of ten, one writes and three read the client's own writes.
pub fn statement(seed: u64, number: u64, group: u64) -> String {
    match number % 10 {
        0 => format!("INSERT INTO items (id, doc) VALUES ('s{seed}', '\\x9f') RETURNING doc /* id={seed:x}-{number:x},c=tally-write,d=2000,k={number:x},cluster={group} */"),
        1..=3 => format!("SELECT doc FROM items WHERE id = 's{seed}' /* id={seed:x}-{number:x},c=own-read,d=1500,cluster={group} */"),
        _ => format!("SELECT doc FROM items WHERE id = 's{seed}' /* id={seed:x}-{number:x},c=page-read,d=1000,cluster={group} */"),
    }
}

/// A client's connection to the gateway.
#[derive(Debug)]
pub struct Connection {
    socket: TcpStream,
    receive_buffer: ReceiveBuffer,
}

impl Connection {
    /// Connects and waits until the gateway accepts statements.
    ///
    /// # Errors
    /// The socket failed, or the connection ended.
    pub fn connect(gateway: SocketAddr) -> std::io::Result<Connection> {
        let socket = TcpStream::connect(gateway)?;
        socket.set_nodelay(true)?;
        let mut connection = Connection { socket, receive_buffer: ReceiveBuffer::default() };
        let mut out = Vec::new();
        codec::write_startup_packet(&mut out, "app", "shop");
        connection.socket.write_all(&out)?;
        connection.read_answer()?;
        Ok(connection)
    }

    /// Sends a statement, waits for its answer and returns whether it was served.
    ///
    /// # Errors
    /// The socket failed, or the connection ended.
    pub fn query(&mut self, text: &str) -> std::io::Result<bool> {
        let mut out = Vec::new();
        codec::write_query(&mut out, text);
        self.socket.write_all(&out)?;
        self.read_answer()
    }

    /// Whether the gateway has closed the connection.
    pub fn is_closed(&self) -> bool {
        let peeked = self.socket.set_nonblocking(true).and_then(|()| self.socket.peek(&mut [0]));
        let is_open = peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        !is_open || self.socket.set_nonblocking(false).is_err()
    }

    /// Reads up to the next ReadyForQuery and returns whether the statement was served.
    fn read_answer(&mut self) -> std::io::Result<bool> {
        let mut bytes = [0; 4096];
        let mut served = false;
        loop {
            match self.receive_buffer.next_message_within(|_| 64 * 1024) {
                Ok(Some(message)) if message.tag == b'Z' => return Ok(served),
                Ok(Some(message)) => served |= message.tag == b'C',
                Ok(None) => match self.socket.read(&mut bytes)? {
                    0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                    count => self.receive_buffer.push(&bytes[..count]),
                },
                Err(_) => return Err(std::io::ErrorKind::InvalidData.into()),
            }
        }
    }
}
