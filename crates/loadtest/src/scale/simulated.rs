//! Hollow gateways: the fleet's node, the watch on discovery, the directory and the balancer, the connections to control
//! machines and the versions taken from them as the program has them, each with sockets of its own, many to a thread. There is nothing of clients and nothing of hosts.

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

use super::control::{Machines, Proposal};
use super::convergence::{ConvergenceTarget, ConvergenceTracker};
use super::count::{thread_cpu, Counts};

/// Most gateways of a thread that go on with their list, or take a version, before all nodes are looked at again: either
/// takes milliseconds, and a node that waits behind hundreds of them would be taken for gone by the others.
const LISTS: usize = 2;
/// Longest sleep of a thread.
const LOOK: Duration = Duration::from_millis(200);

/// What all simulated gateways of a run share.
pub struct Common {
    /// Number of gateways, simulated and real.
    pub gateways: usize,
    /// Which region hears at an address.
    pub regions: BTreeMap<SocketAddr, usize>,
    /// Regions hear nothing of each other.
    pub apart: AtomicBool,
    /// Discovery.
    pub discovery: SocketAddr,
    /// The configuration's text.
    pub configuration: String,
    /// Whether the balancer takes the list in.
    pub router: bool,
    /// The fleet's roles.
    pub roles: Vec<String>,
    /// The control servers.
    pub machines: Machines,
    /// How long what may take between a simulated gateway and the control servers.
    pub timeouts: Timeouts,
    /// The number in a name.
    pub number: fn(&str) -> Option<usize>,
}

/// What a simulated gateway is started with.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its number.
    pub index: usize,
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: usize,
    /// What `[fleet]` would say.
    pub fleet: FleetSettings,
    /// A voter's file.
    pub file: Option<PathBuf>,
    /// Its zone.
    pub zone: String,
    /// Where it keeps the version in force.
    pub kept: PathBuf,
    /// For random numbers.
    pub seed: u64,
}

/// What a thread of simulated gateways is to do.
pub enum Command {
    /// Starts a gateway, under this number of its start.
    Start(Box<Identity>, u64),
    /// Ends one without a word.
    Kill(usize),
    /// One does nothing, or goes on.
    Freeze(usize, bool),
    /// All are to converge on this.
    SetTarget(Arc<ConvergenceTarget>),
    /// All read their configuration anew.
    Configure,
    /// Hands in all counts.
    Count(Sender<Vec<(usize, Counts)>>),
}

/// What a gateway, a thread or a process reports.
#[derive(Debug)]
pub enum Report {
    /// A gateway has reached a target.
    TargetReached {
        /// Which.
        gateway: usize,
        /// The target.
        target: usize,
        /// When.
        at: Instant,
    },
    /// A gateway has a version in force.
    VersionInForce {
        /// Which.
        gateway: usize,
        /// The version's number.
        number: u64,
        /// When.
        at: Instant,
    },
    /// A gateway follows a fresh control server, another one than before, or none any more.
    ControlServerChanged {
        /// Which.
        gateway: usize,
        /// The control server's index.
        server: Option<usize>,
        /// When.
        at: Instant,
    },
    /// A version that was proposed has been answered.
    VersionProposed(Proposal),
    /// The run cannot go on.
    Failed(String),
}

/// A thread with its gateways.
pub struct Shard {
    commands: Sender<Command>,
    poller: Arc<Poller>,
    end: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Shard {
    /// Starts a thread without gateways.
    ///
    /// # Errors
    /// What the system does not give.
    pub fn start(common: Arc<Common>, reports: Sender<Report>) -> io::Result<Shard> {
        let (commands, told) = channel();
        let poller = Arc::new(Poller::new()?);
        let end = Arc::new(AtomicBool::new(false));
        let work = Work {
            common,
            told,
            reports: reports.clone(),
            poller: poller.clone(),
            gateways: BTreeMap::new(),
            next: 0,
            clock: Clock::start(),
            began: Instant::now(),
        };
        let ended = end.clone();
        let thread =
            std::thread::Builder::new().name("simulated".into()).spawn(move || {
                match catch_unwind(AssertUnwindSafe(|| work.run(&ended))) {
                    Ok(Ok(())) => {}
                    Ok(Err(what)) => drop(reports.send(Report::Failed(what))),
                    Err(_) => {
                        drop(reports.send(Report::Failed("a thread of simulated gateways panicked".into())));
                    }
                }
            })?;
        Ok(Shard { commands, poller, end, thread: Some(thread) })
    }

    /// Sends it a command.
    pub fn send(&self, order: Command) {
        // One that has failed has said so itself.
        let _ = self.commands.send(order);
        let _ = self.poller.notify();
    }
}

impl Drop for Shard {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
        let _ = self.poller.notify();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A gateway's socket, counted, with the cut between regions.
struct Counted<'a> {
    socket: &'a UdpSocket,
    counts: &'a mut Counts,
    common: &'a Common,
    region: usize,
}

impl DatagramSocket for Counted<'_> {
    fn receive(&mut self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        loop {
            let (count, from) = self.socket.recv_from(bytes)?;
            let apart = self.common.apart.load(Ordering::Relaxed);
            if apart && self.common.regions.get(&from).is_some_and(|region| *region != self.region) {
                self.counts.held += 1;
                continue;
            }
            Counts::book(&mut self.counts.received, frame::peek_kind(&bytes[..count]), count);
            return Ok((count, from));
        }
    }

    fn send(&mut self, datagram: &[u8], to: SocketAddr) {
        Counts::book(&mut self.counts.sent, frame::peek_kind(datagram), datagram.len());
        let _ = self.socket.send_to(datagram, to);
    }
}

/// A call to discovery that is out.
struct Call {
    socket: TcpStream,
    text: Vec<u8>,
    sent: usize,
    /// Bytes of its answer so far.
    heard: usize,
    /// Its key in the poller.
    key: usize,
    began: Micros,
    until: Micros,
}

/// The list's part of a gateway.
struct Listing {
    watch: Watch,
    call: Option<Call>,
    /// A watch that has fallen silent and stays out beside the latest call.
    silent: Option<Call>,
    /// When the next call goes out, if none is.
    next: Micros,
    rng: Pcg64Mcg,
    directory: Directory,
    in_force: ActiveConfig,
    settings: Settings,
    balancer: Option<Balancer>,
}

/// The part of a gateway that follows the control servers.
struct Following {
    carrier: FollowerDriver,
    /// Where the version in force is kept.
    kept: PathBuf,
    in_force: Option<Document>,
    /// To be taken; the follower hands out one at a time.
    offered: Option<Document>,
    /// The fresh control server that was heard last.
    heard: Option<usize>,
}

struct Gateway {
    region: usize,
    carrier: NodeTransport,
    socket: UdpSocket,
    listing: Listing,
    following: Option<Following>,
    progress: ConvergenceTracker,
    counts: Counts,
    frozen: bool,
}

struct Work {
    common: Arc<Common>,
    told: Receiver<Command>,
    reports: Sender<Report>,
    poller: Arc<Poller>,
    /// By number; one that was killed leaves its counts.
    gateways: BTreeMap<usize, Result<Box<Gateway>, Counts>>,
    /// Whose turn with a list or a version is first in the next pass.
    next: usize,
    clock: Clock,
    began: Instant,
}

/// Keys of a gateway's sockets: one for datagrams, two for calls, three for control servers.
const KEYS: usize = 6;
/// The first of those for control servers.
const CONTROL: usize = 3;

fn datagrams(index: usize) -> usize {
    KEYS * index
}

/// What the poller has told of a gateway's sockets.
#[derive(Default)]
struct Ready {
    heard: bool,
    answered: bool,
    control: Vec<Event>,
}

impl Work {
    fn run(mut self, end: &AtomicBool) -> Result<(), String> {
        let mut events = Vec::new();
        while !end.load(Ordering::Relaxed) {
            let due = self.due().saturating_sub(self.began.elapsed()).min(LOOK);
            events.clear();
            self.poller.wait(&mut events, Some(due)).map_err(|e| format!("cannot wait: {e}"))?;
            while let Ok(order) = self.told.try_recv() {
                self.follow(order)?;
            }
            let mut ready: BTreeMap<usize, Ready> = BTreeMap::new();
            for event in &events {
                let ready = ready.entry(event.key / KEYS).or_default();
                match event.key % KEYS {
                    0 => ready.heard = true,
                    key if key < CONTROL => ready.answered = true,
                    _ => ready.control.push(*event),
                }
            }
            let Work { gateways, common, reports, poller, clock, began, next, .. } = &mut self;
            // Behind the last one that had its turn with a list or a version: from the first one each time, the last would
            // wait for as long as there is more to do than time.
            let order: Vec<usize> =
                gateways.range(*next..).chain(gateways.range(..*next)).map(|(index, _)| *index).collect();
            let mut lists = 0;
            for index in order {
                let Some(Ok(gateway)) = gateways.get_mut(&index) else { continue };
                if gateway.frozen {
                    continue;
                }
                let Ready { heard, answered, control } = ready.remove(&index).unwrap_or_default();
                let now = began.elapsed();
                if heard || gateway.carrier.node.next_deadline() <= now {
                    gateway.turn(now, common);
                }
                let following = gateway.following.as_ref();
                if following.is_some_and(|it| !control.is_empty() || it.carrier.next_turn() <= now) {
                    gateway.follow(index, now, &control, reports);
                }
                // Who is left out is found ready, or due, in the next pass.
                if lists < LISTS && gateway.is_offered() {
                    (lists, *next) = (lists + 1, index + 1);
                    gateway.take_offered(index, began, common, reports);
                }
                if lists < LISTS && (answered || gateway.listing.due() <= clock.read()) {
                    (lists, *next) = (lists + 1, index + 1);
                    gateway.watch(index, clock, common, poller);
                }
                if let Some(target) = gateway.progress.take_reached() {
                    let _ =
                        reports.send(Report::TargetReached { gateway: index, target, at: Instant::now() });
                }
            }
        }
        Ok(())
    }

    /// When a gateway has something to do next.
    fn due(&self) -> Duration {
        let (now, here) = (self.clock.read(), self.began.elapsed());
        let awake = self.gateways.values().flatten().filter(|gateway| !gateway.frozen);
        let due = awake.map(|gateway| {
            let list = here + Duration::from_micros((gateway.listing.due() - now).0);
            let control = match &gateway.following {
                Some(_) if gateway.is_offered() => Duration::ZERO,
                Some(following) => following.carrier.next_turn(),
                None => Duration::MAX,
            };
            gateway.carrier.node.next_deadline().min(list).min(control)
        });
        due.min().unwrap_or(Duration::MAX)
    }

    fn follow(&mut self, order: Command) -> Result<(), String> {
        match order {
            Command::Start(identity, start) => {
                let (index, name) = (identity.index, identity.name.clone());
                let counts = match self.gateways.remove(&index) {
                    Some(Ok(mut gateway)) => self.kill(&mut gateway),
                    Some(Err(counts)) => counts,
                    None => Counts::default(),
                };
                let gateway = self.open(*identity, start, counts).map_err(|e| format!("{name}: {e}"))?;
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
                    gateway.progress.set_target(target.clone());
                }
            }
            Command::Configure => {
                for gateway in self.gateways.values_mut().flatten() {
                    gateway.configure(&self.common.configuration)?;
                }
            }
            Command::Count(back) => {
                let count = |(index, gateway): (&usize, &Result<Box<Gateway>, Counts>)| match gateway {
                    Ok(gateway) => (*index, gateway.counted()),
                    Err(counts) => (*index, *counts),
                };
                let _ = back.send(self.gateways.iter().map(count).collect());
            }
        }
        Ok(())
    }

    fn open(&self, identity: Identity, start: u64, counts: Counts) -> Result<Gateway, String> {
        let said = |e: io::Error| e.to_string();
        let Identity { index, name, region, fleet, file, zone, kept, seed } = identity;
        let listen = fleet.listen.ok_or("no address")?;
        let socket = UdpSocket::bind(listen).map_err(said)?;
        socket.set_nonblocking(true).map_err(said)?;
        let beginning = NodeStart { name: name.clone(), start, roles: self.common.roles.clone(), seed };
        let (settings, slot) =
            node_settings(&fleet, beginning).map_err(|error| error.to_string())?.ok_or("no fleet")?;
        let voter = slot.zip(file.as_deref().map(AcceptorFile::new));
        let carrier = NodeTransport::new(settings, voter, Logger::root(Discard, o!()));
        let added = self.poller.add_with_mode(&socket, Event::readable(datagrams(index)), PollMode::Level);
        added.map_err(said)?;
        let mut progress = ConvergenceTracker::new(index, region, self.common.gateways);
        (progress.losses, progress.mistaken) = (counts.losses, counts.mistaken);
        let mut listing = Listing::new(&self.common, seed)?;
        let fleet = fleet.name.unwrap_or_default();
        let settings = follower::Settings {
            fleet,
            name,
            zone,
            servers: self.common.machines.machines(),
            timeouts: self.common.timeouts,
            seed,
        };
        let following = if settings.servers.is_empty() {
            None
        } else {
            let before = listing.restore(&kept, &self.common)?;
            let number = before.as_ref().map(Document::version);
            let follower = Follower::new(settings, number, self.began.elapsed());
            let (machines, key) = (self.common.machines.addresses(), datagrams(index) + CONTROL);
            let carrier = FollowerDriver::new(follower, machines, self.poller.clone(), key);
            Some(Following { carrier, kept, in_force: before, offered: None, heard: None })
        };
        Ok(Gateway { region, carrier, socket, listing, following, progress, counts, frozen: false })
    }

    /// Its sockets close with it.
    fn kill(&self, gateway: &mut Gateway) -> Counts {
        if let Some(following) = &mut gateway.following {
            following.carrier.close();
        }
        let _ = self.poller.delete(&gateway.socket);
        for call in gateway.listing.calls() {
            let _ = self.poller.delete(&call.socket);
        }
        gateway.counted()
    }
}

impl Listing {
    fn new(common: &Common, seed: u64) -> Result<Listing, String> {
        let mut zones = Zones::default();
        let mut in_force = ActiveConfig::default();
        let taken = in_force.replace(common.configuration.clone(), &mut zones);
        let settings = taken.map_err(|fault| fault.in_file("configuration").to_string())?.settings.router;
        Ok(Listing {
            watch: Watch::from_version(None),
            call: None,
            silent: None,
            next: Micros(0),
            rng: Pcg64Mcg::seed_from_u64(seed),
            directory: Directory::new(zones),
            in_force,
            balancer: common.router.then(|| Balancer::new(settings.clone(), seed)),
            settings,
        })
    }

    /// Takes the version that was kept before its start.
    fn restore(&mut self, kept: &Path, common: &Common) -> Result<Option<Document>, String> {
        let place = kept.display().to_string();
        let document = gateway::stored_version(kept).map_err(|why| format!("{place}: {why}"))?;
        if let Some(document) = &document {
            let text = version::overlay(&common.configuration, document.bytes());
            text.and_then(|text| self.take(text)).map_err(|fault| fault.in_file(&place).to_string())?;
        }
        Ok(document)
    }

    /// Takes a configuration, all of it or nothing.
    fn take(&mut self, text: String) -> ConfigResult<()> {
        let mut zones = self.directory.zones().clone();
        let settings = self.in_force.replace(text, &mut zones)?.settings.router;
        self.directory.set_zones(zones);
        if let Some(balancer) = &mut self.balancer {
            balancer.update_settings(settings.clone());
        }
        self.settings = settings;
        Ok(())
    }

    /// Takes a version and keeps it, as the program does.
    fn take_version(&mut self, document: &Document, kept: &Path, common: &Common) -> Result<(), String> {
        let text = version::overlay(&common.configuration, document.bytes()).map_err(|e| e.to_string())?;
        let staged = durable_file::stage(kept, &document.to_file()).map_err(|e| e.to_string())?;
        match self.take(text) {
            Ok(()) => staged.commit().map_err(|e| e.to_string()),
            Err(fault) => {
                staged.discard();
                Err(fault.to_string())
            }
        }
    }

    fn calls(&self) -> impl Iterator<Item = &Call> {
        self.call.iter().chain(&self.silent)
    }

    fn due(&self) -> Micros {
        self.call.as_ref().map_or(self.next, |call| call.until)
    }

    /// Calls discovery.
    fn dial(&mut self, index: usize, now: Micros, common: &Common, poller: &Poller) -> io::Result<usize> {
        let socket = Socket::new(Domain::for_address(common.discovery), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        match socket.connect(&common.discovery.into()) {
            Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
                return Err(e)
            }
            _ => {}
        }
        let socket: TcpStream = socket.into();
        let first = datagrams(index) + 1;
        let key =
            if self.silent.as_ref().is_some_and(|silent| silent.key == first) { first + 1 } else { first };
        poller.add_with_mode(&socket, Event::writable(key), PollMode::Level)?;
        let until = now + self.watch.timeout();
        let text = self.watch.next_request(&common.discovery.to_string()).into_bytes();
        let length = text.len();
        self.call = Some(Call { socket, text, sent: 0, heard: 0, key, began: now, until });
        Ok(length)
    }

    /// Ends the latest call, or the watch that fell silent before it.
    fn end_call(&mut self, late: bool, poller: &Poller) -> Option<Call> {
        let call = if late { &mut self.silent } else { &mut self.call };
        call.take().inspect(|call| drop(poller.delete(&call.socket)))
    }

    /// The latest call has had its time: whether it stays out beside the next is the watch's to say.
    fn overdue(&mut self, now: Micros, poller: &Poller) {
        match self.watch.on_timeout() {
            CallFailure::Silent => {
                self.end_call(true, poller);
                self.silent = self.call.take();
                let spent = self.silent.as_ref().map_or(Micros(0), |call| now - call.began);
                self.call_again(CallFailure::Silent, spent, now);
            }
            how => self.failed(how, false, now, poller),
        }
    }

    /// A call has failed. One that fell silent before was booked then.
    fn failed(&mut self, how: CallFailure, late: bool, now: Micros, poller: &Poller) {
        let spent = self.end_call(late, poller).map_or(Micros(0), |call| now - call.began);
        if !late {
            self.call_again(how, spent, now);
        }
    }

    /// When the next call goes out is the watch's to say.
    fn call_again(&mut self, how: CallFailure, spent: Micros, now: Micros) {
        let draw = f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0);
        let Settings { gateways, drain_grace, .. } = self.settings;
        self.next = now + self.watch.on_call_failed(how, gateways, drain_grace, spent, draw);
    }
}

impl Gateway {
    fn counted(&self) -> Counts {
        let ConvergenceTracker { losses, mistaken, .. } = self.progress;
        let Counts { control_sent, control_received, .. } = self.counts;
        let (sent, received) =
            self.following.as_ref().map_or((0, 0), |it| (it.carrier.sent(), it.carrier.received()));
        let (control_sent, control_received) = (control_sent + sent, control_received + received);
        Counts { losses, mistaken, control_sent, control_received, ..self.counts }
    }

    /// What comes meanwhile waits in the sockets, as it does before a process that is stopped.
    fn freeze(&mut self, frozen: bool, index: usize, poller: &Poller) -> io::Result<()> {
        self.frozen = frozen;
        let heard = if frozen { Event::none } else { Event::readable };
        poller.modify_with_mode(&self.socket, heard(datagrams(index)), PollMode::Level)?;
        for out in self.listing.calls() {
            let answered = match (frozen, out.sent < out.text.len()) {
                (true, _) => Event::none,
                (false, true) => Event::writable,
                (false, false) => Event::readable,
            };
            poller.modify_with_mode(&out.socket, answered(out.key), PollMode::Level)?;
        }
        match &mut self.following {
            Some(following) => following.carrier.set_paused(frozen),
            None => Ok(()),
        }
    }

    fn turn(&mut self, now: Duration, common: &Common) {
        let before = thread_cpu();
        let Gateway { carrier, socket, counts, region, .. } = self;
        carrier.poll(now, Counted { socket, counts, common, region: *region });
        while let Some(event) = self.carrier.node.next_event() {
            match event {
                NodeEvent::Membership(MembershipChange::Up(peer)) => {
                    if let Some(other) = (common.number)(&peer.name) {
                        self.progress.member_joined(other, peer.start);
                    }
                }
                NodeEvent::Membership(MembershipChange::Down(peer)) => {
                    if let Some(other) = (common.number)(&peer.name) {
                        self.progress.member_left(other, Some(peer.start));
                    }
                }
                _ => {}
            }
        }
        self.counts.fleet_cpu += thread_cpu() - before;
    }

    /// Goes on with the control servers.
    fn follow(&mut self, index: usize, now: Duration, ready: &[Event], reports: &Sender<Report>) {
        let Some(Following { carrier, offered, heard, .. }) = &mut self.following else { return };
        let before = thread_cpu();
        *offered = carrier.turn(now, ready).pop().or(offered.take());
        let status = carrier.follower.status(now);
        let hears = status.server.filter(|_| status.cut_off.is_zero());
        if std::mem::replace(heard, hears) != hears {
            let _ = reports.send(Report::ControlServerChanged {
                gateway: index,
                server: hears,
                at: Instant::now(),
            });
        }
        self.counts.control_cpu += thread_cpu() - before;
    }

    /// Whether a version is to be taken.
    fn is_offered(&self) -> bool {
        self.following.as_ref().is_some_and(|following| following.offered.is_some())
    }

    /// Takes the version that the control server has brought.
    fn take_offered(&mut self, index: usize, began: &Instant, common: &Common, reports: &Sender<Report>) {
        let Some(Following { carrier, kept, in_force, offered, .. }) = &mut self.following else { return };
        let Some(document) = offered.take() else { return };
        let before = thread_cpu();
        let taken = self.listing.take_version(&document, kept, common);
        let version = document.version();
        if taken.is_ok() {
            *in_force = Some(document);
            let _ = reports.send(Report::VersionInForce {
                gateway: index,
                number: version.number,
                at: Instant::now(),
            });
        }
        carrier.handle_applied(began.elapsed(), version, taken.map_err(ApplyError));
        self.counts.control_cpu += thread_cpu() - before;
    }

    /// Goes on with the watch: writes the call, reads the answer, or calls again.
    fn watch(&mut self, index: usize, clock: &Clock, common: &Common, poller: &Poller) {
        let before = thread_cpu();
        let now = clock.read();
        for late in [true, false] {
            self.go_on(late, now, clock, poller);
        }
        if self.listing.call.as_ref().is_some_and(|call| call.until <= now) {
            self.listing.overdue(now, poller);
        }
        if self.listing.call.is_none() && self.listing.next <= now {
            match self.listing.dial(index, now, common, poller) {
                Ok(length) => self.counts.calls.add(length),
                Err(_) => self.listing.failed(CallFailure::Rejected, false, now, poller),
            }
        }
        self.counts.list_cpu += thread_cpu() - before;
    }

    fn go_on(&mut self, late: bool, now: Micros, clock: &Clock, poller: &Poller) {
        let listing = &mut self.listing;
        let Some(out) = (if late { &mut listing.silent } else { &mut listing.call }) else { return };
        if out.sent < out.text.len() {
            match out.socket.write(&out.text[out.sent..]) {
                Ok(count) => out.sent += count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => return listing.failed(CallFailure::Rejected, late, now, poller),
            }
            if out.sent == out.text.len() {
                let changed = poller.modify_with_mode(&out.socket, Event::readable(out.key), PollMode::Level);
                if changed.is_err() {
                    listing.failed(CallFailure::Lost, late, now, poller);
                }
            }
            return;
        }
        let mut bytes = [0; 64 * 1024];
        loop {
            let Some(out) = (if late { &mut listing.silent } else { &mut listing.call }) else { return };
            let count = match out.socket.read(&mut bytes) {
                Ok(count) => count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.counts.idle.add(out.heard);
                    return listing.failed(CallFailure::Lost, late, now, poller);
                }
            };
            out.heard += count;
            let (heard, known) = (out.heard, listing.watch.version());
            let answer = match late {
                true => listing.watch.receive_late(&bytes[..count], count == 0),
                false => listing.watch.receive(&bytes[..count], count == 0),
            };
            let how = match answer {
                Ok(None) if count > 0 => continue,
                Ok(Some(list)) => {
                    let (version, all) = (list.rev, list.all);
                    let (entries, unread) = listing.directory.update(list, clock);
                    if let Some(balancer) = &mut listing.balancer {
                        balancer.update_endpoints(now, all && unread == 0, entries);
                    }
                    let news = known != Some(version);
                    (if news { &mut self.counts.lists } else { &mut self.counts.idle }).add(heard);
                    self.progress.list_received(version);
                    [true, false].into_iter().for_each(|late| drop(listing.end_call(late, poller)));
                    listing.next = now;
                    return;
                }
                Err(AnswerError::Status(_)) => CallFailure::Rejected,
                Ok(None) | Err(_) => CallFailure::Lost,
            };
            self.counts.idle.add(heard);
            return listing.failed(how, late, now, poller);
        }
    }

    /// Reads the configuration anew, as a signal makes the program do.
    fn configure(&mut self, text: &str) -> Result<(), String> {
        let before = thread_cpu();
        let in_force = self.following.as_ref().and_then(|following| following.in_force.as_ref());
        let text = match in_force {
            Some(document) => version::overlay(text, document.bytes()),
            None => Ok(text.to_string()),
        };
        text.and_then(|text| self.listing.take(text))
            .map_err(|fault| fault.in_file("configuration").to_string())?;
        self.progress.configuration_read();
        self.counts.list_cpu += thread_cpu() - before;
        Ok(())
    }
}
