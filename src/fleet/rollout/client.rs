//! A blocking connection of the operators' command to a control server.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use dunemount_rollout::frame::{encode_frame, FrameError, FrameReader};
use dunemount_rollout::wire::{Hello, Identity, Message};

/// How long a control server may take to be reached, and to answer.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that one read takes at most.
const READ_BYTES: usize = 16 * 1024;

/// Why a control server did not answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// No answer came in time.
    #[error("timed out")]
    Timeout,
    /// The server closed the connection.
    #[error("the control machine closed the connection")]
    Closed,
    /// The server sent bytes that are not a frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The server sent a message that is no answer to the request.
    #[error("unexpected message instead of an answer")]
    UnexpectedAnswer,
    /// The thread that sent the request has panicked.
    #[error("the thread that sent the request panicked")]
    Panicked,
}

/// A connection to a control server.
pub(super) struct Client {
    socket: TcpStream,
    frames: FrameReader,
}

impl Client {
    /// Connects to a control server of this fleet.
    pub(super) fn connect(fleet: &str, address: SocketAddr) -> Result<Client, ClientError> {
        let socket = TcpStream::connect_timeout(&address, REQUEST_TIMEOUT)?;
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(REQUEST_TIMEOUT))?;
        let mut client = Client { socket, frames: FrameReader::default() };
        client.send(&Message::Hello(Hello::new(fleet, Identity::Command)))?;
        Ok(client)
    }

    /// Sends a message.
    pub(super) fn send(&mut self, message: &Message) -> Result<(), ClientError> {
        Ok(self.socket.write_all(&encode_frame(message))?)
    }

    /// Receives a message, or fails once the timeout has passed.
    pub(super) fn receive(&mut self, timeout: Duration) -> Result<Message, ClientError> {
        let deadline = Instant::now() + timeout;
        let mut bytes = [0; READ_BYTES];
        loop {
            if let Some(message) = self.frames.next_message()? {
                return Ok(message);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ClientError::Timeout);
            }
            self.socket.set_read_timeout(Some(left))?;
            match self.socket.read(&mut bytes) {
                Ok(0) => return Err(ClientError::Closed),
                Ok(count) => self.frames.push(&bytes[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Err(ClientError::Timeout),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
    }

    /// Sends a request and receives the answer.
    pub(super) fn request(&mut self, request: &Message) -> Result<Message, ClientError> {
        self.send(request)?;
        self.receive(REQUEST_TIMEOUT)
    }
}
