//! Simulated gateways (`hollow` in plans and reports), many to a thread. Each runs the program's own fleet node,
//! discovery watch, directory, balancer and rollout follower, with sockets of its own. Clients and hosts are not
//! simulated.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use dunemount::balancer::Balancer;
use dunemount::config::{version, ActiveConfig, ConfigResult};
use dunemount::fleet::acceptor_file::AcceptorFile;
use dunemount::fleet::durable_file;
use dunemount::fleet::node_settings::{node_settings, NodeStart};
use dunemount::fleet::rollout::follower_driver::FollowerDriver;
use dunemount::fleet::rollout::gateway;
use dunemount::fleet::transport::{DatagramSocket, NodeTransport};
use dunemount::net::clock::Clock;
use dunemount::net::discovery::{AnswerError, CallFailure, Directory, Watch};
use dunemount::settings::Zones;
use dunemount::settings_file::FleetSettings;
use dunemount::{Micros, Settings};
use dunemount_fleet::frame;
use dunemount_fleet::membership::MembershipChange;
use dunemount_fleet::node::NodeEvent;
use dunemount_rollout::follower::{self, ApplyError, Follower};
use dunemount_rollout::settings::Timeouts;
use dunemount_rollout::version::Document;
use polling::{Event, PollMode, Poller};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slog::{o, Discard, Logger};
use socket2::{Domain, Protocol, Socket, Type};

use super::control::{ControlServers, Proposal};
use super::convergence::{ConvergenceTarget, ConvergenceTracker};
use super::count::{thread_cpu, Counts};

/// Limit of gateways of a thread that continue with their list or apply a version in one pass over all its gateways.
/// Either takes milliseconds, and a node that had to wait for hundreds of them would be declared gone by the others.
const MAX_LIST_TURNS: usize = 2;
/// Longest wait of a thread for events.
const MAX_SLEEP: Duration = Duration::from_millis(200);

/// Data that all simulated gateways of a run share.
pub struct SimulationContext {
    /// Number of gateways, simulated and real.
    pub gateways: usize,
    /// The region of the gateway with a datagram address.
    pub regions: BTreeMap<SocketAddr, usize>,
    /// Whether the regions are partitioned: datagrams from other regions are dropped.
    pub partitioned: AtomicBool,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Text of the configuration.
    pub configuration: String,
    /// Whether each gateway updates a balancer from the list.
    pub with_balancer: bool,
    /// Names of the roles that gateways can hold by lease.
    pub roles: Vec<String>,
    /// The control servers.
    pub control_servers: ControlServers,
    /// Timeouts between a gateway and the control servers.
    pub timeouts: Timeouts,
    /// Returns the index in a gateway's name.
    pub gateway_index: fn(&str) -> Option<usize>,
}

/// The parameters that a simulated gateway is started with.
#[derive(Clone, Debug)]
pub struct GatewayIdentity {
    /// Index among all gateways.
    pub index: usize,
    /// Name in the fleet.
    pub name: String,
    /// Index of the region.
    pub region: usize,
    /// The settings of the section `[fleet]`.
    pub fleet: FleetSettings,
    /// The acceptor's file; `None` if the gateway is not an acceptor.
    pub acceptor_file: Option<PathBuf>,
    /// Name of the zone.
    pub zone: String,
    /// The file that stores the version in force.
    pub version_file: PathBuf,
    /// Seed of its random draws.
    pub seed: u64,
}

/// A command to a thread of simulated gateways.
pub enum Command {
    /// Starts or restarts a gateway with this start number.
    Start(Box<GatewayIdentity>, u64),
    /// Ends a gateway without a graceful shutdown.
    Kill(usize),
    /// Freezes a gateway, or lets it continue.
    Freeze(usize, bool),
    /// Sets the convergence target of all gateways.
    SetTarget(Arc<ConvergenceTarget>),
    /// Makes all gateways reload their configuration.
    Configure,
    /// Sends the counters of all gateways, by index.
    Count(Sender<Vec<(usize, Counts)>>),
}

/// A report of a gateway, of a thread or of a process.
#[derive(Debug)]
pub enum Report {
    /// A gateway has reached a target.
    TargetReached {
        /// Index of the gateway.
        gateway: usize,
        /// Id of the target.
        target: usize,
        /// Time of the observation.
        at: Instant,
    },
    /// A gateway has a version in force.
    VersionInForce {
        /// Index of the gateway.
        gateway: usize,
        /// The version's number.
        number: u64,
        /// Time of the observation.
        at: Instant,
    },
    /// A gateway follows another fresh control server than before, or has lost the last one.
    ControlServerChanged {
        /// Index of the gateway.
        gateway: usize,
        /// Index of the control server; `None` if the gateway follows no fresh one.
        server: Option<usize>,
        /// Time of the observation.
        at: Instant,
    },
    /// The proposal of a version was answered.
    VersionProposed(Proposal),
    /// An error that aborts the run.
    Failed(String),
}

/// A thread that runs simulated gateways; it ends when this value is dropped.
pub struct Shard {
    commands: Sender<Command>,
    poller: Arc<Poller>,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Shard {
    /// Starts a thread without gateways.
    ///
    /// # Errors
    /// The system cannot provide a poller or a thread.
    pub fn start(context: Arc<SimulationContext>, reports: Sender<Report>) -> io::Result<Shard> {
        let (commands, command_receiver) = channel();
        let poller = Arc::new(Poller::new()?);
        let stopping = Arc::new(AtomicBool::new(false));
        let worker = ShardWorker {
            context,
            command_receiver,
            reports: reports.clone(),
            poller: poller.clone(),
            gateways: BTreeMap::new(),
            next_turn: 0,
            clock: Clock::start(),
            began: Instant::now(),
        };
        let worker_stopping = stopping.clone();
        let thread =
            std::thread::Builder::new().name("simulated".into()).spawn(move || {
                match catch_unwind(AssertUnwindSafe(|| worker.run(&worker_stopping))) {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => drop(reports.send(Report::Failed(error))),
                    Err(_) => {
                        drop(reports.send(Report::Failed("a thread of simulated gateways panicked".into())));
                    }
                }
            })?;
        Ok(Shard { commands, poller, stopping, thread: Some(thread) })
    }

    /// Sends the thread a command.
    pub fn send(&self, command: Command) {
        // A thread that has failed does not receive it; it has sent a report of its failure.
        let _ = self.commands.send(command);
        let _ = self.poller.notify();
    }
}

impl Drop for Shard {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        let _ = self.poller.notify();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A gateway's datagram socket, which counts datagrams and drops those from other regions during a partition.
struct CountedSocket<'a> {
    socket: &'a UdpSocket,
    counts: &'a mut Counts,
    context: &'a SimulationContext,
    region: usize,
}

impl DatagramSocket for CountedSocket<'_> {
    fn receive(&mut self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        loop {
            let (count, from) = self.socket.recv_from(bytes)?;
            let partitioned = self.context.partitioned.load(Ordering::Relaxed);
            if partitioned && self.context.regions.get(&from).is_some_and(|region| *region != self.region) {
                self.counts.dropped += 1;
                continue;
            }
            Counts::record(&mut self.counts.received, frame::peek_kind(&bytes[..count]), count);
            return Ok((count, from));
        }
    }

    fn send(&mut self, datagram: &[u8], to: SocketAddr) {
        Counts::record(&mut self.counts.sent, frame::peek_kind(datagram), datagram.len());
        let _ = self.socket.send_to(datagram, to);
    }
}

/// A call to discovery in progress.
struct Call {
    socket: TcpStream,
    request: Vec<u8>,
    sent: usize,
    /// Bytes of the answer received so far.
    received: usize,
    /// Key in the poller.
    key: usize,
    began: Micros,
    deadline: Micros,
}

/// The components of a gateway that receive and apply the endpoint list.
struct DiscoveryClient {
    watch: Watch,
    call: Option<Call>,
    /// An earlier call without an answer in time, which is kept open beside the current one.
    silent_call: Option<Call>,
    /// When to start the next call, if none is in progress.
    next_call_at: Micros,
    rng: Pcg64Mcg,
    directory: Directory,
    in_force: ActiveConfig,
    settings: Settings,
    balancer: Option<Balancer>,
}

/// The component of a gateway that follows the control servers.
struct RolloutFollower {
    driver: FollowerDriver,
    /// The file that stores the version in force.
    version_file: PathBuf,
    in_force: Option<Document>,
    /// A received version that has not been applied yet; the follower returns one at a time.
    offered: Option<Document>,
    /// Index of the fresh control server that it followed at the last poll.
    server: Option<usize>,
}

struct Gateway {
    region: usize,
    transport: NodeTransport,
    socket: UdpSocket,
    discovery_client: DiscoveryClient,
    follower: Option<RolloutFollower>,
    tracker: ConvergenceTracker,
    counts: Counts,
    frozen: bool,
}

struct ShardWorker {
    context: Arc<SimulationContext>,
    command_receiver: Receiver<Command>,
    reports: Sender<Report>,
    poller: Arc<Poller>,
    /// By index; a killed gateway leaves its counters.
    gateways: BTreeMap<usize, Result<Box<Gateway>, Counts>>,
    /// Index of the gateway that is served first in the next pass.
    next_turn: usize,
    clock: Clock,
    began: Instant,
}

/// Poller keys per gateway: one for datagrams, two for calls to discovery, three for control servers.
const KEYS_PER_GATEWAY: usize = 6;
/// The first key for control servers, relative to the gateway's first key.
const FIRST_CONTROL_KEY: usize = 3;

fn datagram_key(index: usize) -> usize {
    KEYS_PER_GATEWAY * index
}

/// The sockets of a gateway for which the poller has reported events.
#[derive(Default)]
struct Ready {
    datagram: bool,
    discovery: bool,
    control: Vec<Event>,
}

impl ShardWorker {
    fn run(mut self, stopping: &AtomicBool) -> Result<(), String> {
        let mut events = Vec::new();
        while !stopping.load(Ordering::Relaxed) {
            let wait = self.next_due().saturating_sub(self.began.elapsed()).min(MAX_SLEEP);
            events.clear();
            self.poller.wait(&mut events, Some(wait)).map_err(|e| format!("cannot wait for events: {e}"))?;
            while let Ok(command) = self.command_receiver.try_recv() {
                self.handle_command(command)?;
            }
            let mut ready: BTreeMap<usize, Ready> = BTreeMap::new();
            for event in &events {
                let ready = ready.entry(event.key / KEYS_PER_GATEWAY).or_default();
                match event.key % KEYS_PER_GATEWAY {
                    0 => ready.datagram = true,
                    key if key < FIRST_CONTROL_KEY => ready.discovery = true,
                    _ => ready.control.push(*event),
                }
            }
            let ShardWorker { gateways, context, reports, poller, clock, began, next_turn, .. } = &mut self;
            // Starts after the gateway that was served last: a pass that always started with the first gateway would
            // never reach the last ones under overload.
            let turn_order: Vec<usize> = gateways
                .range(*next_turn..)
                .chain(gateways.range(..*next_turn))
                .map(|(index, _)| *index)
                .collect();
            let mut list_turns = 0;
            for index in turn_order {
                let Some(Ok(gateway)) = gateways.get_mut(&index) else { continue };
                if gateway.frozen {
                    continue;
                }
                let Ready { datagram, discovery, control } = ready.remove(&index).unwrap_or_default();
                let now = began.elapsed();
                if datagram || gateway.transport.node.next_deadline() <= now {
                    gateway.poll_node(now, context);
                }
                let follower = gateway.follower.as_ref();
                if follower.is_some_and(|it| !control.is_empty() || it.driver.next_turn() <= now) {
                    gateway.poll_follower(index, now, &control, reports);
                }
                // A gateway that is not served now is still ready, or due, in the next pass.
                if list_turns < MAX_LIST_TURNS && gateway.has_offered_version() {
                    (list_turns, *next_turn) = (list_turns + 1, index + 1);
                    gateway.apply_offered_version(index, began, context, reports);
                }
                if list_turns < MAX_LIST_TURNS
                    && (discovery || gateway.discovery_client.next_due() <= clock.read())
                {
                    (list_turns, *next_turn) = (list_turns + 1, index + 1);
                    gateway.poll_discovery(index, clock, context, poller);
                }
                if let Some(target) = gateway.tracker.take_reached() {
                    let _ =
                        reports.send(Report::TargetReached { gateway: index, target, at: Instant::now() });
                }
            }
        }
        Ok(())
    }

    /// When the next gateway has something to do, counted from the start of the thread.
    fn next_due(&self) -> Duration {
        let (now, elapsed) = (self.clock.read(), self.began.elapsed());
        let running = self.gateways.values().flatten().filter(|gateway| !gateway.frozen);
        let times = running.map(|gateway| {
            let list = elapsed + Duration::from_micros((gateway.discovery_client.next_due() - now).0);
            let control = match &gateway.follower {
                Some(_) if gateway.has_offered_version() => Duration::ZERO,
                Some(follower) => follower.driver.next_turn(),
                None => Duration::MAX,
            };
            gateway.transport.node.next_deadline().min(list).min(control)
        });
        times.min().unwrap_or(Duration::MAX)
    }

    fn handle_command(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::Start(identity, start) => {
                let (index, name) = (identity.index, identity.name.clone());
                let counts = match self.gateways.remove(&index) {
                    Some(Ok(mut gateway)) => self.kill(&mut gateway),
                    Some(Err(counts)) => counts,
                    None => Counts::default(),
                };
                let gateway =
                    self.start_gateway(*identity, start, counts).map_err(|e| format!("{name}: {e}"))?;
                self.gateways.insert(index, Ok(Box::new(gateway)));
            }
            Command::Kill(index) => {
                if let Some(Ok(mut gateway)) = self.gateways.remove(&index) {
                    let counts = self.kill(&mut gateway);
                    self.gateways.insert(index, Err(counts));
                }
            }
            Command::Freeze(index, frozen) => {
                if let Some(Ok(gateway)) = self.gateways.get_mut(&index) {
                    let frozen = gateway.freeze(frozen, index, &self.poller);
                    frozen.map_err(|e| format!("cannot wait for sockets: {e}"))?;
                }
            }
            Command::SetTarget(target) => {
                for gateway in self.gateways.values_mut().flatten() {
                    gateway.tracker.set_target(target.clone());
                }
            }
            Command::Configure => {
                for gateway in self.gateways.values_mut().flatten() {
                    gateway.reload_configuration(&self.context.configuration)?;
                }
            }
            Command::Count(reply) => {
                let count = |(index, gateway): (&usize, &Result<Box<Gateway>, Counts>)| match gateway {
                    Ok(gateway) => (*index, gateway.total_counts()),
                    Err(counts) => (*index, *counts),
                };
                let _ = reply.send(self.gateways.iter().map(count).collect());
            }
        }
        Ok(())
    }

    fn start_gateway(
        &self,
        identity: GatewayIdentity,
        start: u64,
        counts: Counts,
    ) -> Result<Gateway, String> {
        let error_text = |e: io::Error| e.to_string();
        let GatewayIdentity { index, name, region, fleet, acceptor_file, zone, version_file, seed } =
            identity;
        let listen = fleet.listen.ok_or("the settings of the fleet have no listen address")?;
        let socket = UdpSocket::bind(listen).map_err(error_text)?;
        socket.set_nonblocking(true).map_err(error_text)?;
        let node_start = NodeStart { name: name.clone(), start, roles: self.context.roles.clone(), seed };
        let (settings, slot) = node_settings(&fleet, node_start)
            .map_err(|error| error.to_string())?
            .ok_or("the settings have no fleet")?;
        let acceptor = slot.zip(acceptor_file.as_deref().map(AcceptorFile::new));
        let transport = NodeTransport::new(settings, acceptor, Logger::root(Discard, o!()));
        let added = self.poller.add_with_mode(&socket, Event::readable(datagram_key(index)), PollMode::Level);
        added.map_err(error_text)?;
        let mut tracker = ConvergenceTracker::new(index, region, self.context.gateways);
        (tracker.losses, tracker.mistaken_losses) = (counts.losses, counts.mistaken_losses);
        let mut discovery_client = DiscoveryClient::new(&self.context, seed)?;
        let fleet = fleet.name.unwrap_or_default();
        let settings = follower::Settings {
            fleet,
            name,
            zone,
            servers: self.context.control_servers.infos(),
            timeouts: self.context.timeouts,
            seed,
        };
        let follower = if settings.servers.is_empty() {
            None
        } else {
            let before = discovery_client.restore(&version_file, &self.context)?;
            let number = before.as_ref().map(Document::version);
            let state_machine = Follower::new(settings, number, self.began.elapsed());
            let (control_servers, key) =
                (self.context.control_servers.addresses(), datagram_key(index) + FIRST_CONTROL_KEY);
            let driver = FollowerDriver::new(state_machine, control_servers, self.poller.clone(), key);
            Some(RolloutFollower { driver, version_file, in_force: before, offered: None, server: None })
        };
        Ok(Gateway { region, transport, socket, discovery_client, follower, tracker, counts, frozen: false })
    }

    /// Removes a gateway's sockets from the poller and returns its counters. The sockets close when the gateway is
    /// dropped.
    fn kill(&self, gateway: &mut Gateway) -> Counts {
        if let Some(follower) = &mut gateway.follower {
            follower.driver.close();
        }
        let _ = self.poller.delete(&gateway.socket);
        for call in gateway.discovery_client.calls() {
            let _ = self.poller.delete(&call.socket);
        }
        gateway.total_counts()
    }
}

impl DiscoveryClient {
    fn new(context: &SimulationContext, seed: u64) -> Result<DiscoveryClient, String> {
        let mut zones = Zones::default();
        let mut in_force = ActiveConfig::default();
        let result = in_force.replace(context.configuration.clone(), &mut zones);
        let settings = result.map_err(|fault| fault.in_file("configuration").to_string())?.settings.router;
        Ok(DiscoveryClient {
            watch: Watch::from_version(None),
            call: None,
            silent_call: None,
            next_call_at: Micros(0),
            rng: Pcg64Mcg::seed_from_u64(seed),
            directory: Directory::new(zones),
            in_force,
            balancer: context.with_balancer.then(|| Balancer::new(settings.clone(), seed)),
            settings,
        })
    }

    /// Applies the version that was stored before the gateway's start, if any.
    fn restore(
        &mut self,
        version_file: &Path,
        context: &SimulationContext,
    ) -> Result<Option<Document>, String> {
        let path = version_file.display().to_string();
        let document = gateway::stored_version(version_file).map_err(|error| format!("{path}: {error}"))?;
        if let Some(document) = &document {
            let text = version::overlay(&context.configuration, document.bytes());
            text.and_then(|text| self.apply_configuration(text))
                .map_err(|fault| fault.in_file(&path).to_string())?;
        }
        Ok(document)
    }

    /// Applies a configuration as a whole, or nothing of it if it is not valid.
    fn apply_configuration(&mut self, text: String) -> ConfigResult<()> {
        let mut zones = self.directory.zones().clone();
        let settings = self.in_force.replace(text, &mut zones)?.settings.router;
        self.directory.set_zones(zones);
        if let Some(balancer) = &mut self.balancer {
            balancer.update_settings(settings.clone());
        }
        self.settings = settings;
        Ok(())
    }

    /// Applies a version and stores it, as the program does.
    fn apply_version(
        &mut self,
        document: &Document,
        version_file: &Path,
        context: &SimulationContext,
    ) -> Result<(), String> {
        let text = version::overlay(&context.configuration, document.bytes()).map_err(|e| e.to_string())?;
        let staged = durable_file::stage(version_file, &document.to_file()).map_err(|e| e.to_string())?;
        match self.apply_configuration(text) {
            Ok(()) => staged.commit().map_err(|e| e.to_string()),
            Err(fault) => {
                staged.discard();
                Err(fault.to_string())
            }
        }
    }

    fn calls(&self) -> impl Iterator<Item = &Call> {
        self.call.iter().chain(&self.silent_call)
    }

    fn next_due(&self) -> Micros {
        self.call.as_ref().map_or(self.next_call_at, |call| call.deadline)
    }

    /// Starts a call to discovery and returns the length of its request.
    fn start_call(
        &mut self,
        index: usize,
        now: Micros,
        context: &SimulationContext,
        poller: &Poller,
    ) -> io::Result<usize> {
        let socket = Socket::new(Domain::for_address(context.discovery), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        match socket.connect(&context.discovery.into()) {
            Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
                return Err(e)
            }
            _ => {}
        }
        let socket: TcpStream = socket.into();
        let first = datagram_key(index) + 1;
        let key = if self.silent_call.as_ref().is_some_and(|silent_call| silent_call.key == first) {
            first + 1
        } else {
            first
        };
        poller.add_with_mode(&socket, Event::writable(key), PollMode::Level)?;
        let deadline = now + self.watch.timeout();
        let request = self.watch.next_request(&context.discovery.to_string()).into_bytes();
        let length = request.len();
        self.call = Some(Call { socket, request, sent: 0, received: 0, key, began: now, deadline });
        Ok(length)
    }

    /// Ends the current call or, with `is_silent`, the earlier one that was kept open.
    fn end_call(&mut self, is_silent: bool, poller: &Poller) -> Option<Call> {
        let call = if is_silent { &mut self.silent_call } else { &mut self.call };
        call.take().inspect(|call| drop(poller.delete(&call.socket)))
    }

    /// Handles the timeout of the current call: the watch decides whether it is kept open beside the next one.
    fn handle_timeout(&mut self, now: Micros, poller: &Poller) {
        match self.watch.on_timeout() {
            CallFailure::Silent => {
                self.end_call(true, poller);
                self.silent_call = self.call.take();
                let spent = self.silent_call.as_ref().map_or(Micros(0), |call| now - call.began);
                self.schedule_next_call(CallFailure::Silent, spent, now);
            }
            failure => self.handle_failure(failure, false, now, poller),
        }
    }

    /// Ends a failed call and schedules the next one. For the silent call, that was done when it timed out.
    fn handle_failure(&mut self, failure: CallFailure, is_silent: bool, now: Micros, poller: &Poller) {
        let spent = self.end_call(is_silent, poller).map_or(Micros(0), |call| now - call.began);
        if !is_silent {
            self.schedule_next_call(failure, spent, now);
        }
    }

    /// Schedules the next call for the time that the watch decides on.
    fn schedule_next_call(&mut self, failure: CallFailure, spent: Micros, now: Micros) {
        let random = f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0);
        let Settings { gateways, drain_grace, .. } = self.settings;
        self.next_call_at = now + self.watch.on_call_failed(failure, gateways, drain_grace, spent, random);
    }
}

impl Gateway {
    fn total_counts(&self) -> Counts {
        let ConvergenceTracker { losses, mistaken_losses, .. } = self.tracker;
        let Counts { control_sent, control_received, .. } = self.counts;
        let (sent, received) =
            self.follower.as_ref().map_or((0, 0), |it| (it.driver.sent(), it.driver.received()));
        let (control_sent, control_received) = (control_sent + sent, control_received + received);
        Counts { losses, mistaken_losses, control_sent, control_received, ..self.counts }
    }

    /// Freezes the gateway, or lets it continue. Data that arrives meanwhile stays in the sockets, as with a stopped
    /// process.
    fn freeze(&mut self, frozen: bool, index: usize, poller: &Poller) -> io::Result<()> {
        self.frozen = frozen;
        let interest = if frozen { Event::none } else { Event::readable };
        poller.modify_with_mode(&self.socket, interest(datagram_key(index)), PollMode::Level)?;
        for call in self.discovery_client.calls() {
            let interest = match (frozen, call.sent < call.request.len()) {
                (true, _) => Event::none,
                (false, true) => Event::writable,
                (false, false) => Event::readable,
            };
            poller.modify_with_mode(&call.socket, interest(call.key), PollMode::Level)?;
        }
        match &mut self.follower {
            Some(follower) => follower.driver.set_paused(frozen),
            None => Ok(()),
        }
    }

    /// Handles datagrams and timers of the fleet's node, and records membership changes.
    fn poll_node(&mut self, now: Duration, context: &SimulationContext) {
        let before = thread_cpu();
        let Gateway { transport, socket, counts, region, .. } = self;
        transport.poll(now, CountedSocket { socket, counts, context, region: *region });
        while let Some(event) = self.transport.node.next_event() {
            match event {
                NodeEvent::Membership(MembershipChange::Up(peer)) => {
                    if let Some(other) = (context.gateway_index)(&peer.name) {
                        self.tracker.member_joined(other, peer.start);
                    }
                }
                NodeEvent::Membership(MembershipChange::Down(peer)) => {
                    if let Some(other) = (context.gateway_index)(&peer.name) {
                        self.tracker.member_left(other, Some(peer.start));
                    }
                }
                _ => {}
            }
        }
        self.counts.fleet_cpu += thread_cpu() - before;
    }

    /// Handles events and timers of the connections to control servers, and reports a change of the followed server.
    fn poll_follower(&mut self, index: usize, now: Duration, ready: &[Event], reports: &Sender<Report>) {
        let Some(RolloutFollower { driver, offered, server, .. }) = &mut self.follower else { return };
        let before = thread_cpu();
        *offered = driver.turn(now, ready).pop().or(offered.take());
        let status = driver.follower.status(now);
        let fresh_server = status.server.filter(|_| status.cut_off.is_zero());
        if std::mem::replace(server, fresh_server) != fresh_server {
            let _ = reports.send(Report::ControlServerChanged {
                gateway: index,
                server: fresh_server,
                at: Instant::now(),
            });
        }
        self.counts.control_cpu += thread_cpu() - before;
    }

    /// Whether a received version has not been applied yet.
    fn has_offered_version(&self) -> bool {
        self.follower.as_ref().is_some_and(|follower| follower.offered.is_some())
    }

    /// Applies and stores the version received from the control server, and reports it if that succeeds.
    fn apply_offered_version(
        &mut self,
        index: usize,
        began: &Instant,
        context: &SimulationContext,
        reports: &Sender<Report>,
    ) {
        let Some(RolloutFollower { driver, version_file, in_force, offered, .. }) = &mut self.follower else {
            return;
        };
        let Some(document) = offered.take() else { return };
        let before = thread_cpu();
        let result = self.discovery_client.apply_version(&document, version_file, context);
        let version = document.version();
        if result.is_ok() {
            *in_force = Some(document);
            let _ = reports.send(Report::VersionInForce {
                gateway: index,
                number: version.number,
                at: Instant::now(),
            });
        }
        driver.handle_applied(began.elapsed(), version, result.map_err(ApplyError));
        self.counts.control_cpu += thread_cpu() - before;
    }

    /// Continues the calls to discovery: writes requests, reads answers, handles timeouts and starts the next call.
    fn poll_discovery(&mut self, index: usize, clock: &Clock, context: &SimulationContext, poller: &Poller) {
        let before = thread_cpu();
        let now = clock.read();
        for is_silent in [true, false] {
            self.advance_call(is_silent, now, clock, poller);
        }
        if self.discovery_client.call.as_ref().is_some_and(|call| call.deadline <= now) {
            self.discovery_client.handle_timeout(now, poller);
        }
        if self.discovery_client.call.is_none() && self.discovery_client.next_call_at <= now {
            match self.discovery_client.start_call(index, now, context, poller) {
                Ok(length) => self.counts.calls.add(length),
                Err(_) => self.discovery_client.handle_failure(CallFailure::Rejected, false, now, poller),
            }
        }
        self.counts.list_cpu += thread_cpu() - before;
    }

    /// Continues the current call or, with `is_silent`, the earlier one that was kept open.
    fn advance_call(&mut self, is_silent: bool, now: Micros, clock: &Clock, poller: &Poller) {
        let discovery_client = &mut self.discovery_client;
        let Some(call) =
            (if is_silent { &mut discovery_client.silent_call } else { &mut discovery_client.call })
        else {
            return;
        };
        if call.sent < call.request.len() {
            match call.socket.write(&call.request[call.sent..]) {
                Ok(count) => call.sent += count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => {
                    return discovery_client.handle_failure(CallFailure::Rejected, is_silent, now, poller)
                }
            }
            if call.sent == call.request.len() {
                let changed =
                    poller.modify_with_mode(&call.socket, Event::readable(call.key), PollMode::Level);
                if changed.is_err() {
                    discovery_client.handle_failure(CallFailure::Lost, is_silent, now, poller);
                }
            }
            return;
        }
        let mut bytes = [0; 64 * 1024];
        loop {
            let Some(call) =
                (if is_silent { &mut discovery_client.silent_call } else { &mut discovery_client.call })
            else {
                return;
            };
            let count = match call.socket.read(&mut bytes) {
                Ok(count) => count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.counts.idle.add(call.received);
                    return discovery_client.handle_failure(CallFailure::Lost, is_silent, now, poller);
                }
            };
            call.received += count;
            let (received, known) = (call.received, discovery_client.watch.version());
            let answer = match is_silent {
                true => discovery_client.watch.receive_late(&bytes[..count], count == 0),
                false => discovery_client.watch.receive(&bytes[..count], count == 0),
            };
            let failure = match answer {
                Ok(None) if count > 0 => continue,
                Ok(Some(list)) => {
                    let (version, all) = (list.rev, list.all);
                    let (entries, unreadable) = discovery_client.directory.update(list, clock);
                    if let Some(balancer) = &mut discovery_client.balancer {
                        balancer.update_endpoints(now, all && unreadable == 0, entries);
                    }
                    let is_new = known != Some(version);
                    (if is_new { &mut self.counts.lists } else { &mut self.counts.idle }).add(received);
                    self.tracker.list_received(version);
                    [true, false]
                        .into_iter()
                        .for_each(|is_silent| drop(discovery_client.end_call(is_silent, poller)));
                    discovery_client.next_call_at = now;
                    return;
                }
                Err(AnswerError::Status(_)) => CallFailure::Rejected,
                Ok(None) | Err(_) => CallFailure::Lost,
            };
            self.counts.idle.add(received);
            return discovery_client.handle_failure(failure, is_silent, now, poller);
        }
    }

    /// Reloads the configuration, as the program does on SIGHUP.
    fn reload_configuration(&mut self, text: &str) -> Result<(), String> {
        let before = thread_cpu();
        let in_force = self.follower.as_ref().and_then(|follower| follower.in_force.as_ref());
        let text = match in_force {
            Some(document) => version::overlay(text, document.bytes()),
            None => Ok(text.to_string()),
        };
        text.and_then(|text| self.discovery_client.apply_configuration(text))
            .map_err(|fault| fault.in_file("configuration").to_string())?;
        self.tracker.configuration_read();
        self.counts.list_cpu += thread_cpu() - before;
        Ok(())
    }
}
