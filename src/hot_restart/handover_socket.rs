//! The socket between two processes of one gateway: a Unix socket of type `SOCK_SEQPACKET`, which keeps packets whole
//! and passes file descriptors. It never blocks once the state has been received; packets that cannot be sent yet are
//! queued in order.

use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, AsRawFd, OwnedFd, RawFd};
use std::path::Path;
use std::time::{Duration, Instant};

use rustix::io::Errno;
use rustix::net::{
    self, AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketAddrUnix, SocketFlags, SocketType,
};

use super::message::{GatewaySnapshot, Message};

/// Most bytes of a message in one packet.
const MAX_PAYLOAD_BYTES: usize = 32 * 1024;
/// Longest message that is accepted.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// First byte of a packet that is followed by another one of the same message.
const CONTINUED: u8 = b'+';
/// First byte of a message's last packet.
const FINAL: u8 = b'.';
/// Most connections that wait to be accepted.
const BACKLOG: i32 = 4;

/// A packet that is still to be sent, and the descriptor that is sent with it.
struct Packet {
    bytes: Vec<u8>,
    descriptor: Option<OwnedFd>,
}

/// One end of the connection between two processes.
pub struct HandoverSocket {
    socket: OwnedFd,
    pending: VecDeque<Packet>,
    /// The bytes received so far of a message that is not complete.
    partial_message: Vec<u8>,
    receive_buffer: Vec<u8>,
}

/// The state that the previous process hands over.
pub struct HandoverState {
    /// The connection to the previous process.
    pub socket: HandoverSocket,
    /// Its snapshot.
    pub snapshot: GatewaySnapshot,
    /// The listening socket.
    pub listener: OwnedFd,
    /// When this process requested the state; the snapshot was taken later.
    pub requested_at: Instant,
}

fn open_socket() -> io::Result<OwnedFd> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    Ok(net::socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

/// Listens at a path for the successor of this process. An existing socket belongs to a previous process, and is
/// replaced.
///
/// # Errors
/// The path cannot be bound.
pub fn listen(path: &Path) -> io::Result<OwnedFd> {
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let socket = open_socket()?;
    net::bind(&socket, &SocketAddrUnix::new(path)?)?;
    net::listen(&socket, BACKLOG)?;
    Ok(socket)
}

/// Takes over from the process that listens at a path.
///
/// # Errors
/// No process listens, or it sends no state within the timeout.
pub fn take_over(path: &Path, timeout: Duration) -> io::Result<HandoverState> {
    let (requested_at, socket) = (Instant::now(), open_socket()?);
    net::connect(&socket, &SocketAddrUnix::new(path)?)?;
    rustix::io::ioctl_fionbio(&socket, false)?;
    let deadline = requested_at + timeout;
    let mut socket = HandoverSocket::new(socket);
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        net::sockopt::set_socket_timeout(&socket.socket, net::sockopt::Timeout::Recv, Some(left))?;
        match socket.receive()? {
            Some((Message::Snapshot(snapshot), Some(listener))) => {
                rustix::io::ioctl_fionbio(&socket.socket, true)?;
                return Ok(HandoverState { socket, snapshot: *snapshot, listener, requested_at });
            }
            Some(_) => return Err(io::ErrorKind::InvalidData.into()),
            None => {}
        }
    }
}

impl HandoverSocket {
    fn new(socket: OwnedFd) -> HandoverSocket {
        HandoverSocket {
            socket,
            pending: VecDeque::new(),
            partial_message: Vec::new(),
            receive_buffer: Vec::new(),
        }
    }

    /// Accepts the next connection of another process.
    ///
    /// # Errors
    /// No connection waits to be accepted, or the system cannot accept it.
    pub fn accept(listener: &OwnedFd) -> io::Result<HandoverSocket> {
        let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
        Ok(HandoverSocket::new(net::accept_with(listener, flags)?))
    }

    /// Queues a message with an optional descriptor, and sends as many packets as the socket accepts now.
    ///
    /// # Errors
    /// The other process has closed the connection.
    pub fn send(&mut self, message: &Message, descriptor: Option<OwnedFd>) -> io::Result<()> {
        let json = serde_json::to_vec(message)?;
        let mut payloads = json.chunks(MAX_PAYLOAD_BYTES).peekable();
        let mut descriptor = descriptor;
        while let Some(payload) = payloads.next() {
            let is_final = payloads.peek().is_none();
            let bytes = [&[if is_final { FINAL } else { CONTINUED }], payload].concat();
            let descriptor = if is_final { descriptor.take() } else { None };
            self.pending.push_back(Packet { bytes, descriptor });
        }
        self.flush()
    }

    /// Number of bytes that are allocated for packets that wait to be sent, and for a message that is not complete.
    pub fn allocated(&self) -> usize {
        let pending: usize = self.pending.iter().map(|packet| packet.bytes.capacity()).sum();
        pending + self.partial_message.capacity()
    }

    /// Whether packets wait to be sent.
    pub fn has_pending_output(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Sends as many packets as the socket accepts now. A descriptor that has been sent is closed in this process.
    ///
    /// # Errors
    /// The other process has closed the connection.
    pub fn flush(&mut self) -> io::Result<()> {
        while let Some(packet) = self.pending.front() {
            match send_packet(&self.socket, packet) {
                Ok(()) => drop(self.pending.pop_front()),
                // Too many descriptors in flight are treated like a full socket.
                Err(Errno::AGAIN | Errno::TOOMANYREFS) => return Ok(()),
                Err(Errno::INTR) => {}
                Err(e) => return Err(e.into()),
            }
        }
        Ok(())
    }

    /// The next message and the descriptor received with it; `None` while no complete message has arrived.
    ///
    /// # Errors
    /// The other process has closed the connection, or has sent bytes that are not a message.
    pub fn receive(&mut self) -> io::Result<Option<(Message, Option<OwnedFd>)>> {
        self.receive_buffer.resize(MAX_PAYLOAD_BYTES + 1, 0);
        loop {
            let (length, descriptor) = match receive_packet(&self.socket, &mut self.receive_buffer) {
                Ok(received) => received,
                Err(Errno::AGAIN) => return Ok(None),
                Err(Errno::INTR) => continue,
                Err(e) => return Err(e.into()),
            };
            let Some((kind, payload)) = self.receive_buffer[..length].split_first() else {
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            if self.partial_message.len() + payload.len() > MAX_MESSAGE_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            self.partial_message.extend_from_slice(payload);
            if *kind == FINAL {
                let json = std::mem::take(&mut self.partial_message);
                return Ok(Some((serde_json::from_slice(&json)?, descriptor)));
            }
        }
    }
}

fn send_packet(socket: &OwnedFd, packet: &Packet) -> Result<(), Errno> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let descriptors: Vec<_> = packet.descriptor.iter().map(|descriptor| descriptor.as_fd()).collect();
    if !descriptors.is_empty() {
        ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
    }
    net::sendmsg(socket, &[IoSlice::new(&packet.bytes)], &mut ancillary, SendFlags::NOSIGNAL).map(drop)
}

/// The length of the next packet, and the descriptor received with it.
fn receive_packet(socket: &OwnedFd, buffer: &mut [u8]) -> Result<(usize, Option<OwnedFd>), Errno> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let received =
        net::recvmsg(socket, &mut [IoSliceMut::new(buffer)], &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    let mut descriptor = None;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(descriptors) = message {
            descriptor = descriptors.last();
        }
    }
    Ok((received.bytes, descriptor))
}

impl AsRawFd for HandoverSocket {
    fn as_raw_fd(&self) -> RawFd {
        self.socket.as_raw_fd()
    }
}
