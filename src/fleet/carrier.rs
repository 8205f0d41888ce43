//! A node with its voter's file, and one turn of its loop over whatever carries its datagrams. It waits for nothing but
//! a voter's disk: the driver of one node, and whoever drives many from one poller, decide when a turn is due.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use dunemount_fleet::frame;
use dunemount_fleet::node::{Disk, Node, Settings};
use dunemount_fleet::register::Slot;
use slog::{warn, Logger};

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

impl Disk for NoDisk {
    fn store(&mut self, _: &[u8]) -> bool {
        false
    }
}

/// A node and its voter's file.
pub struct Carrier {
    /// The node: its driver looks at its state and takes its events.
    pub node: Node,
    file: Option<VoterFile>,
    refused: BTreeMap<frame::Bad, u64>,
    log: Logger,
}

impl Carrier {
    /// A node by its settings; a voter with its place and its file, which is read now.
    pub fn new(settings: Settings, voter: Option<(usize, VoterFile)>, log: Logger) -> Carrier {
        let salt = settings.seed as u32;
        let found = voter.as_ref().map(|(slot, file)| file.voter(Slot(*slot as u8), salt));
        if let Some((_, Some(why))) = &found {
            warn!(log, "fleet: the voter's file cannot be used, the others have to let it in"; "why" => why);
        }
        let node = Node::new(settings, found.map(|(voter, _)| voter));
        Carrier { node, file: voter.map(|(_, file)| file), refused: BTreeMap::new(), log }
    }

    /// One turn: takes in what has come, lets time act, and sends what is to be sent.
    pub fn turn(&mut self, now: Duration, mut wire: impl Wire) {
        self.take_in(now, &mut wire);
        self.node.tick(now);
        self.send(wire);
    }

    /// Sends what is to be sent.
    pub fn send(&mut self, mut wire: impl Wire) {
        while let Some((to, datagram)) = self.node.send() {
            wire.send(&datagram, to);
        }
    }

    fn take_in(&mut self, now: Duration, wire: &mut impl Wire) {
        let mut bytes = [0; frame::LONGEST + 1];
        for _ in 0..DATAGRAMS {
            // Errors of a socket without a connection are of datagrams sent before; they are not this one's.
            let (count, from) = match wire.receive(&mut bytes) {
                Ok(got) => got,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => continue,
            };
            let heard = match &mut self.file {
                Some(file) => self.node.hear(now, from, &bytes[..count], file),
                None => self.node.hear(now, from, &bytes[..count], &mut NoDisk),
            };
            if let Err(bad) = heard {
                let count = self.refused.entry(bad).or_default();
                *count += 1;
                if count.is_power_of_two() {
                    warn!(self.log, "fleet: datagram dropped"; "why" => ?bad, "from" => %from, "so_far" => *count);
                }
            }
            if let Some(e) = self.file.as_mut().and_then(|file| file.failed.take()) {
                warn!(self.log, "fleet: the voter cannot store and votes no more until it is started again"; "error" => %e);
            }
        }
    }
}
