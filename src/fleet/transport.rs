//! Connects a node of the fleet with its acceptor's file and a datagram socket. Only reading and writing the file can
//! block. The caller decides when a call is due: the event loop of one node, or a program that drives many nodes.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use dunemount_fleet::frame::{FrameError, MAX_DATAGRAM_BYTES};
use dunemount_fleet::node::{AcceptorStorage, Node, NodeSettings};
use dunemount_fleet::register::AcceptorSlot;
use slog::{info, warn, Logger};

use super::acceptor_file::AcceptorFile;

/// Largest number of datagrams received in one call.
const MAX_DATAGRAMS_PER_POLL: usize = 256;
/// Time between two attempts to read an acceptor's file.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A non-blocking datagram socket.
pub trait DatagramSocket {
    /// Receives a datagram: its length and the sender's address.
    ///
    /// # Errors
    /// `WouldBlock` if there is none. Any other error concerns a datagram that was sent before.
    fn receive(&mut self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)>;

    /// Sends a datagram. One that cannot be sent now is dropped: the protocols repeat messages that were lost.
    fn send(&mut self, datagram: &[u8], to: SocketAddr);
}

impl DatagramSocket for &UdpSocket {
    fn receive(&mut self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.recv_from(buffer)
    }

    fn send(&mut self, datagram: &[u8], to: SocketAddr) {
        let _ = self.send_to(datagram, to);
    }
}

/// The storage of a node without an acceptor, which never stores.
struct NoStorage;

impl AcceptorStorage for NoStorage {
    fn store(&mut self, _: &[u8]) -> bool {
        false
    }
}

/// An acceptor's file that could not be read yet.
struct UnreadFile {
    slot: AcceptorSlot,
    /// Salt for the generation of a new file, in case there is no file.
    salt: u32,
    retry_at: Duration,
    error: Option<io::Error>,
}

/// A node and its acceptor's file.
pub struct NodeTransport {
    /// The node; the event loop reads its state and takes its events.
    pub node: Node,
    file: Option<AcceptorFile>,
    unread: Option<UnreadFile>,
    store_error_logged: bool,
    dropped_datagrams: BTreeMap<FrameError, u64>,
    log: Logger,
}

impl NodeTransport {
    /// Creates a node from its settings. The file of its acceptor, if it has one, is read now, or as soon as it can be.
    pub fn new(
        settings: NodeSettings,
        acceptor: Option<(usize, AcceptorFile)>,
        log: Logger,
    ) -> NodeTransport {
        let salt = settings.rng_seed as u32;
        let (slot, file) = acceptor.unzip();
        let slot = slot.map(|slot| AcceptorSlot(slot as u8));
        let unread = slot.map(|slot| UnreadFile { slot, salt, retry_at: Duration::ZERO, error: None });
        let mut transport = NodeTransport {
            node: Node::new(settings, None),
            file,
            unread,
            store_error_logged: false,
            dropped_datagrams: BTreeMap::new(),
            log,
        };
        transport.read_file(Duration::ZERO);
        transport
    }

    /// Why the acceptor currently makes no new promises: its file cannot be read, or cannot be stored.
    pub fn storage_error(&self) -> Option<String> {
        if let Some(UnreadFile { error: Some(e), .. }) = &self.unread {
            return Some(format!("cannot be read: {e}"));
        }
        self.file.as_ref()?.store_error().map(ToString::to_string)
    }

    /// When [`NodeTransport::poll`] is to be called next, unless a datagram arrives before.
    pub fn next_deadline(&self) -> Duration {
        let retry_at = self.unread.as_ref().map_or(Duration::MAX, |unread| unread.retry_at);
        self.node.next_deadline().min(retry_at)
    }

    /// Reads the acceptor's file, if that has not succeeded yet. A file that cannot be read may hold promises: until it
    /// can be read, the node has no acceptor, not even an uninitialized one.
    fn read_file(&mut self, now: Duration) {
        let (Some(unread), Some(file)) = (&mut self.unread, &self.file) else { return };
        if now < unread.retry_at {
            return;
        }
        match file.load(unread.slot, unread.salt) {
            Ok((acceptor, unusable)) => {
                if let Some(why) = unusable {
                    warn!(self.log, "fleet: the voter's file cannot be used; waiting until the other voters admit it";
                        "why" => %why);
                } else if unread.error.is_some() {
                    info!(self.log, "fleet: the voter's file has been read");
                }
                self.node.set_acceptor(acceptor);
                self.unread = None;
            }
            Err(e) => {
                if unread.error.is_none() {
                    warn!(self.log, "fleet: the voter's file cannot be read yet; retrying, it does not vote until then";
                        "error" => %e);
                }
                unread.retry_at = now + READ_RETRY_INTERVAL;
                unread.error = Some(e);
            }
        }
    }

    /// Receives datagrams, handles what has become due, and sends datagrams.
    pub fn poll(&mut self, now: Duration, mut socket: impl DatagramSocket) {
        self.read_file(now);
        self.receive_datagrams(now, &mut socket);
        self.node.tick(now);
        self.send_datagrams(socket);
    }

    /// Sends the node's datagrams.
    pub fn send_datagrams(&mut self, mut socket: impl DatagramSocket) {
        while let Some((to, datagram)) = self.node.next_datagram() {
            socket.send(&datagram, to);
        }
    }

    fn receive_datagrams(&mut self, now: Duration, socket: &mut impl DatagramSocket) {
        // One byte more than the longest datagram, so that one that is too long is not cut to a valid length.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_POLL {
            let (length, from) = match socket.receive(&mut buffer) {
                Ok(received) => received,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // The error concerns a datagram that was sent before: the socket is not connected.
                Err(_) => continue,
            };
            let datagram = &buffer[..length];
            let handled = match &mut self.file {
                Some(file) => self.node.handle_datagram(now, from, datagram, file),
                None => self.node.handle_datagram(now, from, datagram, &mut NoStorage),
            };
            if let Err(error) = handled {
                self.count_dropped(error, from);
            }
            self.log_store_error();
        }
    }

    /// Counts a dropped datagram, and logs it if it is the first of its kind or their number has doubled since the last
    /// line.
    fn count_dropped(&mut self, error: FrameError, from: SocketAddr) {
        let count = self.dropped_datagrams.entry(error).or_default();
        *count += 1;
        if count.is_power_of_two() {
            let why = drop_reason(error);
            warn!(self.log, "fleet: datagram dropped"; "why" => why, "from" => %from, "so_far" => *count);
        }
    }

    /// Logs when the acceptor can no longer store its state, and when it can again.
    fn log_store_error(&mut self) {
        let error = self.file.as_ref().and_then(AcceptorFile::store_error);
        match error {
            Some(e) if !self.store_error_logged => {
                warn!(self.log, "fleet: the voter cannot store its state; it makes no new promises until it can";
                    "error" => %e);
            }
            None if self.store_error_logged => info!(self.log, "fleet: the voter stores again"),
            _ => {}
        }
        self.store_error_logged = error.is_some();
    }
}

/// Why a datagram was dropped: the name in the log.
fn drop_reason(error: FrameError) -> &'static str {
    match error {
        FrameError::Length => "Length",
        FrameError::Magic => "Magic",
        FrameError::Version => "Form",
        FrameError::Fleet => "Fleet",
        FrameError::Checksum => "Checksum",
        FrameError::Kind => "Kind",
    }
}
