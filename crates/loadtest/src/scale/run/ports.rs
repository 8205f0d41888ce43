//! Ports of loopback for gateways and control servers, drawn outside the range that the system assigns by itself.

use std::collections::hash_map::RandomState;
use std::fs;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Ports are drawn from here on, up to the first that the system assigns by itself, at least over this range.
const PORTS: std::ops::Range<u16> = 10_000..20_000;
/// Draws until a port is free.
const MAX_DRAWS: usize = 1_000;
/// First port that the system assigns by itself, where it does not say.
const DEFAULT_EPHEMERAL: u16 = 32_768;

/// The addresses of a run.
pub(super) struct Addresses {
    /// For the fleet's datagrams: gateways, then control servers.
    pub(super) fleet: Vec<SocketAddr>,
    /// Admin interfaces of the gateways that are processes, then the listeners of control servers.
    pub(super) tcp: Vec<SocketAddr>,
}

impl Addresses {
    /// Draws so many of each. All ports are held until each has its own.
    pub(super) fn draw(fleet: usize, tcp: usize) -> io::Result<Addresses> {
        let sockets: Vec<UdpSocket> = (0..fleet).map(|_| bind(UdpSocket::bind)).collect::<io::Result<_>>()?;
        let listeners: Vec<TcpListener> =
            (0..tcp).map(|_| bind(TcpListener::bind)).collect::<io::Result<_>>()?;
        let fleet = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<_>>()?;
        let tcp = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        Ok(Addresses { fleet, tcp })
    }
}

/// Binds a port of loopback that the system assigns to nobody by itself: what it assigns to connections could be taken
/// between the draw and the start of the process that is given the port, or while a control server is away.
fn bind<T>(to: impl Fn(SocketAddr) -> io::Result<T>) -> io::Result<T> {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let first = range.split_whitespace().next().and_then(|text| text.parse().ok());
    let end = first.unwrap_or(DEFAULT_EPHEMERAL).max(PORTS.end);
    let mut last = io::ErrorKind::AddrNotAvailable.into();
    for _ in 0..MAX_DRAWS {
        // Another run on the machine draws others, whatever its seed.
        let drawn = RandomState::new().build_hasher().finish() % u64::from(end - PORTS.start);
        match to(SocketAddr::from(([127, 0, 0, 1], PORTS.start + drawn as u16))) {
            Ok(bound) => return Ok(bound),
            Err(error) => last = error,
        }
    }
    Err(last)
}
