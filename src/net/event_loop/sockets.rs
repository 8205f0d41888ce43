//! Socket operations of the event loop other than reading and writing.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, Protocol, Socket, Type};

use crate::shortage::should_try_later;

/// Largest number of connections that the system queues for a listener.
pub(super) const BACKLOG: i32 = 1024;

/// Opens a listener on an address. With `shared`, the next process may listen on the same address.
pub(super) fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    rustix::net::sockopt::set_socket_reuseport(&socket, shared)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Whether bytes can be read, or a connection accepted, without waiting.
pub(super) fn is_readable(source: &impl AsFd) -> bool {
    has_event(PollFd::new(source, PollFlags::IN))
}

/// Whether the peer has closed the connection, even if bytes that it sent before are still unread.
pub(super) fn has_hung_up(socket: &TcpStream) -> bool {
    match socket.peek(&mut [0]) {
        Ok(0) => true,
        Ok(_) => has_event(PollFd::new(socket, PollFlags::RDHUP)),
        Err(e) => !should_try_later(&e) && e.kind() != io::ErrorKind::Interrupted,
    }
}

fn has_event(descriptor: PollFd) -> bool {
    poll(&mut [descriptor], Some(&Timespec::default())).is_ok_and(|count| count > 0)
}
