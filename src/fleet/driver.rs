//! The thread that carries one node of the fleet: its socket, its clock, its voter's file. It decides nothing.
//!
//! A thread of its own, since a voter waits for its disk at each promise and no client may wait for that.

use std::io::{self, Read, Write};
use std::net::UdpSocket;
use std::os::unix::net::UnixStream;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use dunemount_fleet::fencing::FencingError;
use dunemount_fleet::lease::{LeaseEvent, LeaseLoss, LeaseSettings};
use dunemount_fleet::membership::{MemberIdentity, MembershipChange, MembershipTimeouts};
use dunemount_fleet::node::{NodeEvent, NodeSettings};
use polling::{Event as Poll, PollMode, Poller};
use slog::{error, info, warn, Logger};

use super::acceptor_file::AcceptorFile;
use super::status::{Board, Status};
use super::transport::NodeTransport;
use crate::settings_file::{FleetSettings, NamedAddress, SettingsFileError};

/// Clocks are taken to run apart by no more than this part.
const DRIFT: f64 = 0.05;
/// Time between two tries to have the address, which the process before may still have.
const BIND_PAUSE: Duration = Duration::from_millis(250);
/// How long a node takes at most to give its roles back.
pub(super) const LEAVE: Duration = Duration::from_millis(600);
/// Time between two states put on the board.
const BOARD: Duration = Duration::from_millis(200);
const SOCKET: usize = 0;
const END: usize = 1;

/// A node that runs.
#[derive(Debug)]
pub struct Running {
    /// Its state, for the operators' door.
    pub board: Board,
    end: UnixStream,
    thread: JoinHandle<()>,
}

impl Running {
    /// Lets the node leave its fleet in good order, and waits for it.
    pub fn end(mut self) {
        let _ = self.end.write_all(&[1]);
        let _ = self.thread.join();
    }
}

/// What a node is started with beside the options.
#[derive(Clone, Debug)]
pub struct Start {
    /// The gateway's name.
    pub name: String,
    /// Rises with each start: Unix time in milliseconds will do.
    pub start: u64,
    /// The roles that somebody is to hold.
    pub roles: Vec<String>,
    /// For random numbers.
    pub seed: u64,
}

/// A node's settings by the options, and its place among the voters with its file; none unless they name a fleet.
///
/// # Errors
/// A voter without a file, in words for the operator.
pub fn settings(
    options: &FleetSettings,
    start: Start,
) -> Result<Option<(NodeSettings, Option<usize>)>, SettingsFileError> {
    let (Some(fleet), Some(listen)) = (options.name.clone(), options.listen) else { return Ok(None) };
    let peer = |place: &NamedAddress| MemberIdentity::with_address(&place.name, place.address);
    let slot = options.voter(&start.name)?.map(|(slot, _)| slot);
    // The address that the others know counts, where it is not the one that is listened at.
    let address = slot.map_or(listen, |slot| options.voters[slot].address);
    let voters: Vec<MemberIdentity> = options.voters.iter().map(peer).collect();
    let seeds =
        if options.seeds.is_empty() { voters.clone() } else { options.seeds.iter().map(peer).collect() };
    let (lease, probe) = (Duration::from_millis(options.lease_ms), Duration::from_millis(options.probe_ms));
    let settings = NodeSettings {
        fleet,
        local: MemberIdentity { name: start.name, start: start.start, incarnation: 0, address },
        acceptors: voters,
        seeds,
        fleet_size: options.size,
        roles: start.roles,
        lease: LeaseSettings { duration: lease, max_clock_drift: DRIFT, resend_interval: lease / 20 },
        membership: MembershipTimeouts {
            probe_interval: probe,
            probe_timeout: probe / 3,
            suspicion_timeout: probe * 3,
            down_retention: probe * 120,
        },
        rng_seed: start.seed,
    };
    Ok(Some((settings, slot)))
}

/// Starts a node, if the options name a fleet.
///
/// # Errors
/// A voter without a file; what the system does not give: a thread, a pipe, a poller. An address that is taken is
/// waited for.
pub fn start(options: &FleetSettings, start: Start, log: &Logger) -> io::Result<Option<Running>> {
    let name = start.name.clone();
    let (Some((settings, slot)), Some(listen)) =
        (settings(options, start).map_err(io::Error::other)?, options.listen)
    else {
        return Ok(None);
    };
    let (end, told) = UnixStream::pair()?;
    told.set_nonblocking(true)?;
    let file = options.voter(&name).map_err(io::Error::other)?.map(|(_, path)| AcceptorFile::new(path));
    let board = Board::default();
    let transport = NodeTransport::new(settings, slot.zip(file), log.clone());
    let driver = Driver::new(transport, told, board.clone(), log.clone())?;
    let thread = std::thread::Builder::new().name("fleet".into());
    let log = log.clone();
    let thread = thread.spawn(move || {
        // A gateway serves without its fleet; the others see this member go.
        if catch_unwind(AssertUnwindSafe(|| driver.run(listen))).is_err() {
            error!(log, "fleet: its thread panicked, this gateway is no member any more");
        }
    })?;
    Ok(Some(Running { board, end, thread }))
}

struct Driver {
    transport: NodeTransport,
    end: UnixStream,
    poller: Poller,
    began: Instant,
    board: Board,
    /// When the board is renewed.
    next_board: Duration,
    log: Logger,
}

impl Driver {
    fn new(transport: NodeTransport, end: UnixStream, board: Board, log: Logger) -> io::Result<Driver> {
        let poller = Poller::new()?;
        poller.add_with_mode(&end, Poll::readable(END), PollMode::Level)?;
        let (began, next_board) = (Instant::now(), Duration::ZERO);
        Ok(Driver { transport, end, poller, began, board, next_board, log })
    }

    fn run(mut self, listen: std::net::SocketAddr) {
        let Some(socket) = self.bind(listen) else { return };
        let added = self.poller.add_with_mode(&socket, Poll::readable(SOCKET), PollMode::Level);
        if let Err(e) = added {
            warn!(self.log, "fleet: cannot wait for datagrams, this gateway is not a member"; "error" => %e);
            return;
        }
        info!(self.log, "fleet: joining"; "address" => %listen);
        let mut until = None;
        while until.is_none_or(|until| self.now() < until && !self.transport.node.has_left()) {
            self.wait(self.transport.next_deadline().min(self.next_board));
            let now = self.now();
            self.transport.poll(now, &socket);
            if until.is_none() && self.is_to_end() {
                self.transport.node.leave(now);
                self.transport.node.tick(now);
                self.transport.send_datagrams(&socket);
                until = Some(now + LEAVE);
            }
            self.tell();
            if now >= self.next_board {
                self.next_board = now + BOARD;
                let unstored = self.transport.storage_error();
                self.board.put(Status { unstored, ..Status::of(&self.transport.node, now) });
            }
        }
        info!(self.log, "fleet: left");
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Waits for the address: during an upgrade the process before has it until it ends.
    fn bind(&mut self, listen: std::net::SocketAddr) -> Option<UdpSocket> {
        let mut told = false;
        loop {
            match UdpSocket::bind(listen).and_then(|socket| socket.set_nonblocking(true).map(|()| socket)) {
                Ok(socket) => return Some(socket),
                Err(e) if !std::mem::replace(&mut told, true) => {
                    warn!(self.log, "fleet: the address is not to be had yet"; "address" => %listen, "error" => %e);
                }
                Err(_) => {}
            }
            self.wait(self.now() + BIND_PAUSE);
            if self.is_to_end() {
                return None;
            }
        }
    }

    fn wait(&self, until: Duration) {
        let left = until.saturating_sub(self.now());
        // What comes of it is looked at whatever woke the thread.
        let _ = self.poller.wait(&mut Vec::new(), Some(left));
    }

    fn is_to_end(&mut self) -> bool {
        self.end.read(&mut [0]).is_ok()
    }

    fn tell(&mut self) {
        while let Some(event) = self.transport.node.next_event() {
            log_event(&self.log, event);
        }
    }
}

/// A loss in the words of the operators' pages.
fn loss_reason(loss: LeaseLoss) -> &'static str {
    match loss {
        LeaseLoss::Expired => "NotRenewed",
        LeaseLoss::TakenOver => "Taken",
        LeaseLoss::Released => "GivenBack",
    }
}

/// A rejection in the words of the operators' pages.
fn fencing_reason(error: FencingError) -> String {
    match error {
        FencingError::StaleEpoch { newest } => format!("Succeeded({newest})"),
        FencingError::LimitExceeded => "Bounds".to_string(),
    }
}

/// Tells operators of an event. What became of a register is told by whoever asked for it.
pub(super) fn log_event(log: &Logger, event: NodeEvent) {
    match event {
        NodeEvent::Membership(MembershipChange::Up(peer)) => {
            info!(log, "fleet: member came"; "member" => &peer.name, "address" => %peer.address);
        }
        NodeEvent::Membership(MembershipChange::Down(peer)) => {
            info!(log, "fleet: member went"; "member" => &peer.name, "address" => %peer.address);
        }
        NodeEvent::Membership(MembershipChange::Superseded) => {
            warn!(log, "fleet: a process with this name has started later, this one is no member any more");
        }
        NodeEvent::Lease { role, event: LeaseEvent::Acquired { epoch } } => {
            info!(log, "fleet: role taken"; "epoch" => epoch, "role" => role);
        }
        NodeEvent::Lease { role, event: LeaseEvent::Lost { epoch, reason } } => {
            info!(log, "fleet: role ended"; "why" => loss_reason(reason), "epoch" => epoch, "role" => role);
        }
        NodeEvent::Order { order, is_first_of_epoch } => {
            info!(log, "fleet: order"; "first" => is_first_of_epoch, "epoch" => order.epoch, "role" => order.role);
        }
        NodeEvent::OrderRejected { order, error } => {
            let why = fencing_reason(error);
            warn!(log, "fleet: order refused"; "why" => why, "epoch" => order.epoch, "role" => order.role);
        }
        NodeEvent::AcceptorAdmitted => info!(log, "fleet: the voter is let in"),
        NodeEvent::Register { .. } => {}
    }
}
