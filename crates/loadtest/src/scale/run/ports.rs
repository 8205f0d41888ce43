//! Loopback ports for gateways and control servers, outside the ephemeral range that the system assigns from. They are
//! taken from blocks that a run claims until it ends, so that concurrent runs never share a port: each port is bound
//! and released here, and bound again later by the gateway or control server that it is for.

use std::collections::hash_map::RandomState;
use std::fs;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// First port of the first block.
const FIRST_PORT: u16 = 10_000;
/// Ports per block: the run that has claimed the block keeps the first one bound, the others are handed out.
const BLOCK_PORTS: u16 = 64;
/// Limit of random draws until a free block is found.
const MAX_DRAWS: usize = 1_000;
/// First port of the ephemeral range, where the system does not report it.
const DEFAULT_EPHEMERAL: u16 = 32_768;
/// Lowest end of the range that blocks are drawn from.
const MIN_END: u16 = 20_000;

/// The addresses of a run, and its claims on the blocks that contain them.
pub(super) struct Addresses {
    /// Datagram addresses: gateways, then control servers.
    pub(super) fleet: Vec<SocketAddr>,
    /// TCP addresses: admin interfaces of the gateways that are processes, then control servers.
    pub(super) tcp: Vec<SocketAddr>,
    /// To be kept while the addresses are used.
    pub(super) claims: Vec<TcpListener>,
}

impl Addresses {
    /// Draws this many datagram and TCP addresses.
    pub(super) fn draw(fleet: usize, tcp: usize) -> io::Result<Addresses> {
        let mut claims = Vec::new();
        let fleet = draw_ports(fleet, &mut claims, UdpSocket::bind)?;
        let tcp = draw_ports(tcp, &mut claims, TcpListener::bind)?;
        Ok(Addresses { fleet, tcp, claims })
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Draws `count` addresses that can be bound, claiming blocks one after the other.
fn draw_ports<T>(
    count: usize,
    claims: &mut Vec<TcpListener>,
    bind: impl Fn(SocketAddr) -> io::Result<T>,
) -> io::Result<Vec<SocketAddr>> {
    let mut drawn = Vec::new();
    while drawn.len() < count {
        let claim = claim_block()?;
        let first = claim.local_addr()?.port();
        let free = (first + 1..first + BLOCK_PORTS).map(loopback).filter(|address| bind(*address).is_ok());
        drawn.extend(free.take(count - drawn.len()));
        claims.push(claim);
    }
    Ok(drawn)
}

/// Claims a block that no other run has, by keeping its first port bound. Ports of the ephemeral range are not used:
/// the system could assign one to a connection between the draw and the start of the process, or while a control server
/// is down.
fn claim_block() -> io::Result<TcpListener> {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let first = range.split_whitespace().next().and_then(|text| text.parse().ok());
    let end = first.unwrap_or(DEFAULT_EPHEMERAL).max(MIN_END);
    let blocks = u64::from((end - FIRST_PORT) / BLOCK_PORTS);
    let mut last = io::ErrorKind::AddrNotAvailable.into();
    for _ in 0..MAX_DRAWS {
        // Not from the plan's seed, so that concurrent runs with the same seed draw different blocks.
        let block = RandomState::new().build_hasher().finish() % blocks;
        match TcpListener::bind(loopback(FIRST_PORT + block as u16 * BLOCK_PORTS)) {
            Ok(claim) => return Ok(claim),
            Err(error) => last = error,
        }
    }
    Err(last)
}
