//! Sockets: the loop, its clock, the connections to hosts and the watch on discovery.

pub mod clock;
pub mod discovery;
pub mod event_loop;
pub mod pool;

use std::io;
use std::net::{SocketAddr, TcpStream};

use socket2::{Domain, Protocol, Socket, Type};

/// Starts a connection without waiting for it.
pub(crate) fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(e) if e.raw_os_error() != Some(libc::EINPROGRESS) => Err(e),
        _ => Ok(socket.into()),
    }
}
