//! Ports of loopback for gateways and control servers, outside the range that the system assigns by itself. They are drawn
//! in blocks that a run claims for as long as it lasts, so that two runs at a time never share a port: each port is bound
//! and released here, and bound again later by whoever it is for.

use std::collections::hash_map::RandomState;
use std::fs;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Blocks are drawn from this port on.
const FIRST_PORT: u16 = 10_000;
/// Ports of a block: the first is held by the run that has claimed the block, the others are handed out.
const BLOCK_PORTS: u16 = 64;
/// Draws until a block is free.
const MAX_DRAWS: usize = 1_000;
/// First port that the system assigns by itself, where it does not say.
const DEFAULT_EPHEMERAL: u16 = 32_768;
/// Least end of the range that blocks are drawn from.
const MIN_END: u16 = 20_000;

/// The addresses of a run, and its claims on the blocks that they are from.
pub(super) struct Addresses {
    /// For the fleet's datagrams: gateways, then control servers.
    pub(super) fleet: Vec<SocketAddr>,
    /// Admin interfaces of the gateways that are processes, then the listeners of control servers.
    pub(super) tcp: Vec<SocketAddr>,
    /// Held for as long as the addresses are used.
    pub(super) claims: Vec<TcpListener>,
}

impl Addresses {
    /// Draws so many of each.
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

/// Draws so many addresses that can be bound, from blocks that are claimed one after the other.
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

/// Claims a block that no other run has, by holding its first port. What the system assigns to connections could be taken
/// between the draw and the start of the process that is given the port, or while a control server is away.
fn claim_block() -> io::Result<TcpListener> {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let first = range.split_whitespace().next().and_then(|text| text.parse().ok());
    let end = first.unwrap_or(DEFAULT_EPHEMERAL).max(MIN_END);
    let blocks = u64::from((end - FIRST_PORT) / BLOCK_PORTS);
    let mut last = io::ErrorKind::AddrNotAvailable.into();
    for _ in 0..MAX_DRAWS {
        // Another run on the machine draws others, whatever its seed.
        let block = RandomState::new().build_hasher().finish() % blocks;
        match TcpListener::bind(loopback(FIRST_PORT + block as u16 * BLOCK_PORTS)) {
            Ok(claim) => return Ok(claim),
            Err(error) => last = error,
        }
    }
    Err(last)
}
