//! A node with its voter's file, and one turn of its loop over whatever carries its datagrams. It waits for nothing but
//! a voter's disk: the driver of one node, and whoever drives many from one poller, decide when a turn is due.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use dunemount_fleet::frame;
use dunemount_fleet::node::{AcceptorStorage, Node, NodeSettings};
use dunemount_fleet::register::AcceptorSlot;
use slog::{info, warn, Logger};

use super::file::VoterFile;

/// Most datagrams taken in one turn.
const DATAGRAMS: usize = 256;

/// What carries datagrams, without waiting.
pub trait Wire {
    /// Takes a datagram that has come: its length and who sent it.
    ///
    /// # Errors
    /// `WouldBlock` when none is there; others are of datagrams sent before.
    fn receive(&mut self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)>;

    /// Sends one. What cannot be sent now is lost like any other, and sent again by whoever needs it.
    fn send(&mut self, datagram: &[u8], to: SocketAddr);
}

impl Wire for &UdpSocket {
    fn receive(&mut self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.recv_from(bytes)
    }

    fn send(&mut self, datagram: &[u8], to: SocketAddr) {
        let _ = self.send_to(datagram, to);
    }
}

/// For a node that is no voter: it never stores.
struct NoDisk;

impl AcceptorStorage for NoDisk {
    fn store(&mut self, _: &[u8]) -> bool {
        false
    }
}

/// Time between two tries to read a voter's file.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// A voter's file that could not be read yet.
struct Unread {
    slot: AcceptorSlot,
    /// For the number of a new file, if there turns out to be none.
    salt: u32,
    again: Duration,
    why: String,
}

/// A node and its voter's file.
pub struct Carrier {
    /// The node: its driver looks at its state and takes its events.
    pub node: Node,
    file: Option<VoterFile>,
    unread: Option<Unread>,
    /// Operators have been told that the voter cannot store.
    told_unstored: bool,
    refused: BTreeMap<frame::FrameError, u64>,
    log: Logger,
}

impl Carrier {
    /// A node by its settings; a voter with its place and its file, which is read now, or as soon as it can be.
    pub fn new(settings: NodeSettings, voter: Option<(usize, VoterFile)>, log: Logger) -> Carrier {
        let salt = settings.rng_seed as u32;
        let (slot, file) = voter.unzip();
        let unread = slot.map(|slot| Unread {
            slot: AcceptorSlot(slot as u8),
            salt,
            again: Duration::ZERO,
            why: String::new(),
        });
        let node = Node::new(settings, None);
        let mut carrier = Carrier { node, file, unread, told_unstored: false, refused: BTreeMap::new(), log };
        carrier.read_file(Duration::ZERO);
        carrier
    }

    /// Why the voter answers nothing new at present: its file cannot be read, or not be stored.
    pub fn unstored(&self) -> Option<&str> {
        let unread = self.unread.as_ref().map(|unread| unread.why.as_str());
        unread.or_else(|| self.file.as_ref()?.failed.as_deref())
    }

    /// When something is to be done that the node does not know of.
    pub fn due(&self) -> Duration {
        let again = self.unread.as_ref().map_or(Duration::MAX, |unread| unread.again);
        self.node.next_deadline().min(again)
    }

    /// Reads the voter's file. One that cannot be read at this moment may hold promises: until it can be there is no
    /// voter, neither this one nor a blank one.
    fn read_file(&mut self, now: Duration) {
        let (Some(unread), Some(file)) = (&mut self.unread, &self.file) else { return };
        if now < unread.again {
            return;
        }
        match file.voter(unread.slot, unread.salt) {
            Ok((voter, unusable)) => {
                if let Some(why) = unusable {
                    warn!(self.log, "fleet: the voter's file cannot be used, the others have to let it in"; "why" => why);
                } else if !unread.why.is_empty() {
                    info!(self.log, "fleet: the voter's file is read");
                }
                self.node.set_acceptor(voter);
                self.unread = None;
            }
            Err(e) => {
                if unread.why.is_empty() {
                    warn!(self.log, "fleet: the voter's file cannot be read yet, it votes once it can be"; "error" => %e);
                }
                (unread.why, unread.again) = (format!("cannot be read: {e}"), now + READ_PAUSE);
            }
        }
    }

    /// One turn: takes in what has come, lets time act, and sends what is to be sent.
    pub fn turn(&mut self, now: Duration, mut wire: impl Wire) {
        self.read_file(now);
        self.take_in(now, &mut wire);
        self.node.tick(now);
        self.send(wire);
    }

    /// Sends what is to be sent.
    pub fn send(&mut self, mut wire: impl Wire) {
        while let Some((to, datagram)) = self.node.next_datagram() {
            wire.send(&datagram, to);
        }
    }

    fn take_in(&mut self, now: Duration, wire: &mut impl Wire) {
        let mut bytes = [0; frame::MAX_DATAGRAM_BYTES + 1];
        for _ in 0..DATAGRAMS {
            // Errors of a socket without a connection are of datagrams sent before; they are not this one's.
            let (count, from) = match wire.receive(&mut bytes) {
                Ok(got) => got,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => continue,
            };
            let heard = match &mut self.file {
                Some(file) => self.node.handle_datagram(now, from, &bytes[..count], file),
                None => self.node.handle_datagram(now, from, &bytes[..count], &mut NoDisk),
            };
            if let Err(bad) = heard {
                let count = self.refused.entry(bad).or_default();
                *count += 1;
                if count.is_power_of_two() {
                    let why = drop_reason(bad);
                    warn!(self.log, "fleet: datagram dropped"; "why" => why, "from" => %from, "so_far" => *count);
                }
            }
            self.tell_unstored();
        }
    }

    /// Tells operators when the voter cannot store, and when it can again.
    fn tell_unstored(&mut self) {
        let failed = self.file.as_ref().and_then(|file| file.failed.as_deref());
        match failed {
            Some(e) if !self.told_unstored => {
                warn!(self.log, "fleet: the voter cannot store, it answers nothing new until it can"; "error" => e);
            }
            None if self.told_unstored => info!(self.log, "fleet: the voter stores again"),
            _ => {}
        }
        self.told_unstored = failed.is_some();
    }
}

/// Why a datagram was dropped, in the words of the operators' pages.
fn drop_reason(error: frame::FrameError) -> &'static str {
    match error {
        frame::FrameError::Length => "Length",
        frame::FrameError::Magic => "Magic",
        frame::FrameError::Version => "Form",
        frame::FrameError::Fleet => "Fleet",
        frame::FrameError::Checksum => "Checksum",
        frame::FrameError::Kind => "Kind",
    }
}
