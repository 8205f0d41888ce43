//! The process of a control server: a node of the fleet, the connections for the configuration's versions, and the file in
//! which they are stored, all on one thread. What is to be done is decided by the state machines.

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

/// Time between two reads of the register: one may fail, and the next succeed, before the last is no longer fresh.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// How long a read of the register counts as fresh.
const FRESHNESS: Duration = Duration::from_secs(2);
/// How long an operator waits at most until a proposal is accepted.
pub(super) const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Most connections: all that the state machine accepts, and its own to the other servers.
const MAX_CONNECTIONS: usize = MAX_GATEWAYS + 64 + MAX_CONTROL_SERVERS;
/// Most connections accepted in one turn.
const MAX_ACCEPTS: usize = 64;
/// Pause after the system has refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Most rounds in one turn in which outputs lead to more outputs; the rest waits for the next turn.
const MAX_OUTPUT_ROUNDS: usize = 100;
/// The poller's keys: those of the connections begin at zero.
const SOCKET_KEY: usize = usize::MAX - 1;
const LISTENER_KEY: usize = usize::MAX - 2;
const SHUTDOWN_KEY: usize = usize::MAX - 3;

/// Why a control server cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its name is none of those in the settings.
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
    #[error("cannot hear datagrams at {address}: {source}")]
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
    /// The system gives no poller.
    #[error("cannot wait for events: {0}")]
    Poller(#[source] io::Error),
}

/// What a control server is started with beside the options.
pub struct Start {
    /// Its name, one of `[control] machines`.
    pub name: String,
    /// The file in which versions are stored.
    pub file: PathBuf,
    /// As for a gateway's node.
    pub start: u64,
    /// Seed of the random generator.
    pub seed: u64,
    /// Becomes readable when the process is to end.
    pub shutdown: UnixStream,
}

/// Runs a control server until it is to end.
///
/// # Errors
/// The settings lack something, or the system refuses something.
pub fn run(options: &LocalSettings, start: Start, log: &Logger) -> Result<(), StartError> {
    let servers = &options.control.servers;
    let own = servers.iter().position(|(server, _)| server.name == start.name);
    let own = own.ok_or_else(|| StartError::UnknownName(start.name.clone()))?;
    let (node, voter) = node_with_voter(options, &start)?;
    let Some(datagrams) = options.fleet.listen else { return Err(StartError::NoFleet) };
    let state = read_state(&start.file, log)?;
    let (zone, listen) = (servers[own].0.zone.clone(), servers[own].1);
    let settings = settings(options, &start, &node.fleet);
    let Sockets { socket, listener, poller } = Sockets::open(datagrams, listen, &start.shutdown)?;
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
    info!(log, "control machine"; "hears" => %datagrams, "listens" => %listen, "zone" => zone);
    process.run();
    Ok(())
}

/// A control server that runs.
struct Process {
    transport: NodeTransport,
    control: ControlServer,
    connections: Connections,
    store: FileStore,
    /// The control servers' addresses, in the settings' order.
    addresses: Vec<SocketAddr>,
    socket: UdpSocket,
    listener: TcpListener,
    /// No connection is accepted before: the system has refused one.
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
            // Whatever woke the thread, all that is due is done.
            let _ = self.poller.wait(&mut ready, Some(wait));
            let now = self.now();
            has_more = self.turn(now, &ready);
            if leave_until.is_none() && self.shutdown.read(&mut [0]).is_ok() {
                info!(self.log, "signal to end");
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

    /// Handles the poller's events and the timers. Whether outputs are left for the next turn.
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
                    // A connection that waits to be accepted would wake this thread without end.
                    warn!(self.log, "config: cannot accept"; "error" => %e);
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

    /// Carries out the outputs of the state machines; whether there were any.
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

/// The names of the members that the node knows, its own among them.
fn members(node: &Node) -> Vec<String> {
    let members = node.membership();
    members.members().chain([members.local()]).map(|peer| peer.name.clone()).collect()
}
