//! The process of a control server. One thread runs the node of the fleet, the connections over which versions of the
//! configuration are exchanged, and the file in which versions are stored. The state machines make all decisions.

mod setup;
mod store;

use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dunemount_fleet::node::{Node, NodeEvent};
use dunemount_fleet::register_client::RegisterOutcome;
use dunemount_rollout::control::{ControlServer, Output, RegisterEvent, REGISTER};
use dunemount_rollout::wire::MAX_GATEWAYS;
use polling::{Event as PollEvent, PollMode, Poller};
use slog::{info, warn, Logger};

use self::setup::{node_with_voter, settings, Sockets};
use self::store::{read_state, FileStore};
use super::connections::{ConnectionEvent, Connections};
use crate::fleet::event_log::log_event;
use crate::fleet::event_loop::LEAVE_TIMEOUT;
use crate::fleet::transport::NodeTransport;
use crate::settings_file::{LocalSettings, SettingsFileError, MAX_CONTROL_SERVERS};

/// Time between two reads of the register: if one fails, the next may still succeed before the last result is no longer
/// fresh.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// How long a read of the register counts as fresh.
const FRESHNESS: Duration = Duration::from_secs(2);
/// Longest time until a proposal is accepted.
pub(super) const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Most connections: all that the state machine accepts, and this server's own connections to the other servers.
const MAX_CONNECTIONS: usize = MAX_GATEWAYS + 64 + MAX_CONTROL_SERVERS;
/// Most connections accepted in one turn.
const MAX_ACCEPTS: usize = 64;
/// Pause after the system has failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Most rounds of carrying out outputs in one turn, since outputs may cause further ones; the rest waits for the next
/// turn.
const MAX_OUTPUT_ROUNDS: usize = 100;
/// The poller's keys: those of the connections begin at zero.
const SOCKET_KEY: usize = usize::MAX - 1;
const LISTENER_KEY: usize = usize::MAX - 2;
const SHUTDOWN_KEY: usize = usize::MAX - 3;

/// Why a control server cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings name no control server with this name.
    #[error("{0} is none of [control] machines")]
    UnknownName(String),
    /// The settings name no fleet.
    #[error("[fleet] name: missing")]
    NoFleet,
    /// The settings of the fleet cannot be used.
    #[error(transparent)]
    Fleet(#[from] SettingsFileError),
    /// The file with its state cannot be read.
    #[error("cannot read {}: {source}", .path.display())]
    ReadState {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The address for datagrams cannot be bound.
    #[error("cannot bind the datagram socket to {address}: {source}")]
    BindSocket {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The address for connections cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    BindListener {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The poller cannot be created, or cannot watch the sockets.
    #[error("cannot wait for events: {0}")]
    Poller(#[source] io::Error),
}

/// The parameters of a control server's start that are not in the settings.
pub struct Start {
    /// Its name, one of `[control] machines`.
    pub name: String,
    /// The file in which versions are stored.
    pub file: PathBuf,
    /// A number that rises with each start of this control server, such as Unix time in milliseconds.
    pub start: u64,
    /// Seed of the random generator.
    pub seed: u64,
    /// Becomes readable when the process is to shut down.
    pub shutdown: UnixStream,
}

/// Runs a control server until it is shut down.
///
/// # Errors
/// The settings are incomplete, the stored state cannot be read, or the sockets cannot be opened.
pub fn run(options: &LocalSettings, start: Start, log: &Logger) -> Result<(), StartError> {
    let servers = &options.control.servers;
    let own = servers.iter().position(|(server, _)| server.name == start.name);
    let own = own.ok_or_else(|| StartError::UnknownName(start.name.clone()))?;
    let (node, voter) = node_with_voter(options, &start)?;
    let Some(datagram_address) = options.fleet.listen else { return Err(StartError::NoFleet) };
    let state = read_state(&start.file, log)?;
    let (zone, listen) = (servers[own].0.zone.clone(), servers[own].1);
    let settings = settings(options, &start, &node.fleet);
    let Sockets { socket, listener, poller } = Sockets::open(datagram_address, listen, &start.shutdown)?;
    let process = Process {
        transport: NodeTransport::new(node, voter, log.clone()),
        control: ControlServer::new(settings, state, Duration::ZERO),
        connections: Connections::new(poller.clone(), 0, MAX_CONNECTIONS),
        store: FileStore::new(start.file, log.clone()),
        addresses: servers.iter().map(|(_, address)| *address).collect(),
        socket,
        listener,
        accept_again_at: None,
        shutdown: start.shutdown,
        poller,
        started_at: Instant::now(),
        log: log.clone(),
    };
    info!(log, "control machine started"; "hears" => %datagram_address, "listens" => %listen, "zone" => zone);
    process.run();
    Ok(())
}

/// A running control server.
struct Process {
    transport: NodeTransport,
    control: ControlServer,
    connections: Connections,
    store: FileStore,
    /// The control servers' addresses, in the settings' order.
    addresses: Vec<SocketAddr>,
    socket: UdpSocket,
    listener: TcpListener,
    /// No connection is accepted before this time: the system has failed to accept one.
    accept_again_at: Option<Duration>,
    shutdown: UnixStream,
    poller: Arc<Poller>,
    started_at: Instant,
    log: Logger,
}

impl Process {
    fn run(mut self) {
        let mut ready = Vec::new();
        let mut leave_until: Option<Duration> = None;
        let mut has_more = true;
        while leave_until.is_none_or(|until| self.now() < until && !self.transport.node.has_left()) {
            ready.clear();
            let wait = if has_more { Duration::ZERO } else { self.next_turn().saturating_sub(self.now()) };
            // An error does not matter: after each wake-up the thread handles everything that is due.
            let _ = self.poller.wait(&mut ready, Some(wait));
            let now = self.now();
            has_more = self.turn(now, &ready);
            if leave_until.is_none() && self.shutdown.read(&mut [0]).is_ok() {
                info!(self.log, "signal received, leaving the fleet");
                self.transport.node.leave(now);
                self.transport.node.tick(now);
                leave_until = Some(now + LEAVE_TIMEOUT);
            }
            self.transport.send_datagrams(&self.socket);
        }
        self.connections.close_all();
        info!(self.log, "ended");
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn next_turn(&self) -> Duration {
        let next = self.transport.next_deadline().min(self.control.next_tick());
        self.accept_again_at.map_or(next, |at| next.min(at))
    }

    /// Handles the poller's events and the timers. Returns whether outputs are left for the next turn.
    fn turn(&mut self, now: Duration, ready: &[PollEvent]) -> bool {
        self.transport.poll(now, &self.socket);
        self.handle_ready(now, ready);
        self.accept(now);
        self.control.tick(now);
        (0..MAX_OUTPUT_ROUNDS).all(|_| self.carry_out(now))
    }

    fn handle_ready(&mut self, now: Duration, ready: &[PollEvent]) {
        let Process { control, store, .. } = self;
        self.connections.handle_ready(ready, |id, event| match event {
            ConnectionEvent::Established => control.handle_connected(now, id),
            ConnectionEvent::Received(bytes) => control.handle_bytes(now, id, bytes, store),
        });
    }

    fn accept(&mut self, now: Duration) {
        if let Some(at) = self.accept_again_at {
            if now < at || self.watch_listener(PollEvent::readable(LISTENER_KEY)).is_err() {
                return;
            }
            self.accept_again_at = None;
        }
        for _ in 0..MAX_ACCEPTS {
            match self.listener.accept() {
                Ok((socket, _)) => {
                    if let Some(id) = self.control.handle_accepted(now) {
                        self.connections.add_accepted(id, socket);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => {
                    // A connection that waits to be accepted would wake this thread again and again.
                    warn!(self.log, "config: cannot accept a connection; trying again after a pause"; "error" => %e);
                    let _ = self.watch_listener(PollEvent::none(LISTENER_KEY));
                    self.accept_again_at = Some(now + ACCEPT_PAUSE);
                    return;
                }
            }
        }
    }

    fn watch_listener(&self, interest: PollEvent) -> io::Result<()> {
        self.poller.modify_with_mode(&self.listener, interest, PollMode::Level)
    }

    /// Carries out the outputs of the state machines. Returns whether there were any.
    fn carry_out(&mut self, now: Duration) -> bool {
        let mut has_outputs = false;
        while let Some(output) = self.control.next_output() {
            has_outputs = true;
            self.carry_out_output(now, output);
        }
        while let Some(id) = self.connections.next_lost() {
            has_outputs = true;
            self.control.handle_closed(now, id);
        }
        while let Some(event) = self.transport.node.next_event() {
            has_outputs = true;
            self.handle_node_event(now, event);
        }
        has_outputs
    }

    fn carry_out_output(&mut self, now: Duration, output: Output) {
        let node = &mut self.transport.node;
        match output {
            Output::Connect(id, server) => match self.addresses.get(server) {
                Some(address) => self.connections.connect(id, *address),
                None => self.control.handle_closed(now, id),
            },
            Output::Send(id, bytes) => self.connections.send(id, bytes),
            Output::Close(id) => self.connections.close_after_sending(id),
            Output::ReadRegister => node.read_register(now, REGISTER),
            Output::PrepareChange => node.begin_change(now, REGISTER),
            Output::Propose(value) => node.propose(now, REGISTER, Some(value)),
            Output::AbandonChange => node.propose(now, REGISTER, None),
            Output::Log(line) => info!(self.log, "{}", line),
        }
    }

    fn handle_node_event(&mut self, now: Duration, event: NodeEvent) {
        match event {
            NodeEvent::Register { key, outcome } if key == REGISTER => {
                self.control.handle_register_event(now, register_event(outcome), &mut self.store);
            }
            event => {
                if matches!(event, NodeEvent::Membership(_)) {
                    self.control.set_members(members(&self.transport.node));
                }
                log_event(&self.log, event);
            }
        }
    }
}

fn register_event(outcome: RegisterOutcome) -> RegisterEvent {
    match outcome {
        RegisterOutcome::Read { value, started_at } => RegisterEvent::Read { value, started_at },
        RegisterOutcome::Prepared(value) => RegisterEvent::Promised(value),
        RegisterOutcome::Chosen(value) => RegisterEvent::Chosen(value),
        RegisterOutcome::Failed { proposed, no_majority } => RegisterEvent::Failed { proposed, no_majority },
    }
}

/// The names of the members that the node knows, including its own.
fn members(node: &Node) -> Vec<String> {
    let members = node.membership();
    members.members().chain([members.local()]).map(|peer| peer.name.clone()).collect()
}
