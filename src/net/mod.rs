//! Sockets: the event loop, its clock, the pool of connections to hosts, and discovery.

pub mod clock;
pub mod discovery;
pub mod event_loop;
pub mod pool;

use std::io;
use std::net::{SocketAddr, TcpStream};

use socket2::{Domain, Protocol, Socket, Type};

/// Starts a TCP connection on a non-blocking socket, without waiting for it to be established.
pub(crate) fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    loop {
        match socket.connect(&address.into()).map_err(|e| (e.raw_os_error(), e)) {
            // An interrupted connect may continue in the background; the next call returns its state.
            Err((Some(libc::EINTR), _)) => {}
            Ok(()) | Err((Some(libc::EINPROGRESS | libc::EALREADY | libc::EISCONN), _)) => {
                return Ok(socket.into());
            }
            Err((_, e)) => return Err(e),
        }
    }
}
