//! A control machine: a node of the fleet, the connections for the configuration's versions, and the file that keeps them,
//! all on one thread. It decides nothing.

use std::fs;
use std::io::{self, ErrorKind, Read};
use std::net::{TcpListener, UdpSocket};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dunemount_fleet::node::{Node, NodeEvent};
use dunemount_fleet::register_client::RegisterOutcome;
use dunemount_rollout::control::{
    ControlServer, DocumentStore, InvalidDocument, Output, PersistentState, RegisterEvent, Settings, REGISTER,
};
use dunemount_rollout::settings::{ControlServerInfo, Timeouts};
use dunemount_rollout::version::Document;
use dunemount_rollout::wire::MAX_GATEWAYS;
use polling::{Event as Poll, PollMode, Poller};
use slog::{info, warn, Logger};

use super::connections::{Connections, Heard};
use crate::config::version;
use crate::fleet::carrier::Carrier;
use crate::fleet::driver::{self, LEAVE};
use crate::fleet::file::{put, VoterFile};
use crate::settings_file::{LocalSettings, MAX_CONTROL_SERVERS};
use crate::shortage::{is_shortage, may_pass, retry, START_PATIENCE};

/// Between two looks at the register. One has time to fail and another to do well before the knowledge is stale.
const LOOK: Duration = Duration::from_millis(500);
const FRESH: Duration = Duration::from_secs(2);
/// How long an operator waits for a version's acceptance at most.
pub(super) const ACCEPT: Duration = Duration::from_secs(5);
/// Most connections: all that the control machine's part lets in, and its own to the others.
const MOST: usize = MAX_GATEWAYS + 64 + MAX_CONTROL_SERVERS;
/// Most connections taken in one turn.
const ACCEPTS: usize = 64;
/// So long nobody is let in once the system has refused a descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Most times that what was said leads to more in one turn; the rest waits for the next.
const STEPS: usize = 100;
const SOCKET: usize = usize::MAX - 1;
const LISTENER: usize = usize::MAX - 2;
const END: usize = usize::MAX - 3;

/// What a control machine is started with beside the options.
pub struct Start {
    /// Its name, one of `[control] machines`.
    pub name: String,
    /// Where it keeps versions.
    pub file: PathBuf,
    /// As for a gateway's node.
    pub start: u64,
    /// For random numbers.
    pub seed: u64,
    /// Becomes readable when it is to end.
    pub end: UnixStream,
}

/// Judges documents and keeps them in its file.
struct Desk {
    file: PathBuf,
    log: Logger,
}

impl DocumentStore for Desk {
    fn validate(&mut self, document: &[u8], previous: Option<&Document>) -> Result<(), InvalidDocument> {
        version::validate(document, previous.map(|previous| &previous.bytes()[..]))
            .map_err(|error| InvalidDocument(error.error.to_string()))
    }

    fn store(&mut self, state: &PersistentState) -> bool {
        let done = put(&self.file, &state.to_file());
        if let Err(e) = &done {
            warn!(self.log, "config: versions cannot be kept"; "error" => %e, "file" => %self.file.display());
        }
        done.is_ok()
    }
}

/// Reads what a control machine keeps: blank where there is no file, or one that holds something else.
///
/// # Errors
/// The file cannot be read, also after a while: what it holds is not known to be lost, and nothing is to take its place.
fn kept(path: &Path, log: &Logger) -> Result<PersistentState, String> {
    match retry(Instant::now() + START_PATIENCE, may_pass, || fs::read(path)) {
        Ok(bytes) => Ok(PersistentState::from_file(&bytes).unwrap_or_else(|why| {
            warn!(log, "config: what was kept cannot be used, the others have to give it"; "why" => %why);
            PersistentState::default()
        })),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(PersistentState::default()),
        Err(e) => Err(format!("cannot read {}: {e}", path.display())),
    }
}

/// Runs a control machine until it is to end.
///
/// # Errors
/// Settings that lack something, and what the system does not give, in words for the operator.
pub fn run(options: &LocalSettings, start: Start, log: &Logger) -> Result<(), String> {
    let machines: Vec<ControlServerInfo> =
        options.control.machines.iter().map(|(machine, _)| machine.clone()).collect();
    let place = machines.iter().position(|machine| machine.name == start.name);
    let place = place.ok_or(format!("{} is none of [control] machines", start.name))?;
    let own =
        driver::Start { name: start.name.clone(), start: start.start, roles: Vec::new(), seed: start.seed };
    let node = driver::settings(&options.fleet, own).map_err(|error| error.to_string())?;
    let (Some((node, slot)), Some(hear)) = (node, options.fleet.listen) else {
        return Err("[fleet] name: missing".into());
    };
    let voter = options.fleet.voter(&start.name).map_err(|error| error.to_string())?;
    let voter = voter.map(|(_, path)| VoterFile::at(path));
    let keeping = kept(&start.file, log)?;
    let settings = Settings {
        fleet: node.fleet.clone(),
        name: start.name,
        servers: machines,
        timeouts: Timeouts::default(),
        read_interval: LOOK,
        freshness: FRESH,
        proposal_timeout: ACCEPT,
        seed: start.seed,
    };
    let (zone, listen) = (settings.servers[place].zone.clone(), options.control.machines[place].1);
    let failed = |what: &str, e: io::Error| format!("cannot {what}: {e}");
    let until = Instant::now() + START_PATIENCE;
    let bind = || UdpSocket::bind(hear);
    let socket =
        retry(until, is_shortage, bind).map_err(|e| failed(&format!("hear datagrams at {hear}"), e))?;
    let bind = || TcpListener::bind(listen);
    let listener = retry(until, is_shortage, bind).map_err(|e| failed(&format!("listen on {listen}"), e))?;
    let poller = Arc::new(retry(until, is_shortage, Poller::new).map_err(|e| failed("wait for events", e))?);
    let set = socket.set_nonblocking(true).and_then(|()| listener.set_nonblocking(true));
    let set = set.and_then(|()| start.end.set_nonblocking(true));
    let set = set
        .and_then(|()| poller.add_with_mode(&socket, Poll::readable(SOCKET), PollMode::Level))
        .and_then(|()| poller.add_with_mode(&listener, Poll::readable(LISTENER), PollMode::Level))
        .and_then(|()| poller.add_with_mode(&start.end, Poll::readable(END), PollMode::Level));
    set.map_err(|e| failed("wait for events", e))?;
    let desk = Desk { file: start.file, log: log.clone() };
    let addresses = options.control.machines.iter().map(|(_, address)| *address).collect();
    let running = Running {
        carrier: Carrier::new(node, slot.zip(voter), log.clone()),
        control: ControlServer::new(settings, keeping, Duration::ZERO),
        connections: Connections::new(poller.clone(), 0, MOST),
        desk,
        addresses,
        socket,
        listener,
        deaf_until: None,
        end: start.end,
        poller,
        began: Instant::now(),
        log: log.clone(),
    };
    info!(log, "control machine"; "hears" => %hear, "listens" => %listen, "zone" => zone);
    running.run();
    Ok(())
}

struct Running {
    carrier: Carrier,
    control: ControlServer,
    connections: Connections,
    desk: Desk,
    /// The control machines', in the settings' order.
    addresses: Vec<std::net::SocketAddr>,
    socket: UdpSocket,
    listener: TcpListener,
    /// Nobody is let in before: the system has refused a descriptor.
    deaf_until: Option<Duration>,
    end: UnixStream,
    poller: Arc<Poller>,
    began: Instant,
    log: Logger,
}

impl Running {
    fn run(mut self) {
        let mut ready = Vec::new();
        let mut until: Option<Duration> = None;
        let mut more = true;
        while until.is_none_or(|until| self.now() < until && !self.carrier.node.has_left()) {
            let due = self.carrier.due().min(self.control.next_tick());
            let due = self.deaf_until.map_or(due, |until| due.min(until));
            let left = if more { Duration::ZERO } else { due.saturating_sub(self.now()) };
            ready.clear();
            // What comes of it is looked at whatever woke the thread.
            let _ = self.poller.wait(&mut ready, Some(left));
            let now = self.now();
            self.carrier.turn(now, &self.socket);
            self.hear(now, &ready);
            self.control.tick(now);
            more = (0..STEPS).all(|_| self.carry_out(now));
            if until.is_none() && self.end.read(&mut [0]).is_ok() {
                info!(self.log, "signal to end");
                self.carrier.node.leave(now);
                self.carrier.node.tick(now);
                until = Some(now + LEAVE);
            }
            self.carrier.send(&self.socket);
        }
        self.connections.close_all();
        info!(self.log, "ended");
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn hear(&mut self, now: Duration, ready: &[Poll]) {
        let Running { control, desk, .. } = self;
        self.connections.turn(ready, |link, heard| match heard {
            Heard::Opened => control.handle_connected(now, link),
            Heard::Bytes(bytes) => control.handle_bytes(now, link, bytes, desk),
        });
        self.accept(now);
    }

    fn accept(&mut self, now: Duration) {
        if let Some(until) = self.deaf_until {
            if now < until || self.listen_for(Poll::readable(LISTENER)).is_err() {
                return;
            }
            self.deaf_until = None;
        }
        for _ in 0..ACCEPTS {
            match self.listener.accept() {
                Ok((socket, _)) => {
                    if let Some(link) = self.control.handle_accepted(now) {
                        self.connections.adopt(link, socket);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => {
                    // Whoever waits to be let in would wake this thread without end.
                    warn!(self.log, "config: cannot accept"; "error" => %e);
                    let _ = self.listen_for(Poll::none(LISTENER));
                    self.deaf_until = Some(now + ACCEPT_PAUSE);
                    return;
                }
            }
        }
    }

    fn listen_for(&self, interest: Poll) -> io::Result<()> {
        self.poller.modify_with_mode(&self.listener, interest, PollMode::Level)
    }

    /// Carries out what the control machine's part and the node say; whether that was anything.
    fn carry_out(&mut self, now: Duration) -> bool {
        let mut done = false;
        while let Some(out) = self.control.next_output() {
            done = true;
            let node = &mut self.carrier.node;
            match out {
                Output::Connect(link, place) => match self.addresses.get(place) {
                    Some(address) => self.connections.connect(link, *address),
                    None => self.control.handle_closed(now, link),
                },
                Output::Send(link, bytes) => self.connections.send(link, bytes),
                Output::Close(link) => self.connections.finish(link),
                Output::ReadRegister => node.read_register(now, REGISTER),
                Output::PrepareChange => node.begin_change(now, REGISTER),
                Output::Propose(value) => node.propose(now, REGISTER, Some(value)),
                Output::AbandonChange => node.propose(now, REGISTER, None),
                Output::Log(text) => info!(self.log, "{}", text),
            }
        }
        while let Some(link) = self.connections.lost() {
            done = true;
            self.control.handle_closed(now, link);
        }
        while let Some(event) = self.carrier.node.next_event() {
            done = true;
            match event {
                NodeEvent::Register { key, outcome } if key == REGISTER => {
                    self.control.handle_register_event(now, told(outcome), &mut self.desk);
                }
                event => {
                    if matches!(event, NodeEvent::Membership(_)) {
                        self.control.set_members(members(&self.carrier.node));
                    }
                    driver::log_event(&self.log, event);
                }
            }
        }
        done
    }
}

fn told(outcome: RegisterOutcome) -> RegisterEvent {
    match outcome {
        RegisterOutcome::Read { value, started_at: began } => {
            RegisterEvent::Read { value, started_at: began }
        }
        RegisterOutcome::Prepared(value) => RegisterEvent::Promised(value),
        RegisterOutcome::Chosen(value) => RegisterEvent::Chosen(value),
        RegisterOutcome::Failed { proposed, no_majority } => RegisterEvent::Failed { proposed, no_majority },
    }
}

/// The members that the node knows, itself among them.
fn members(node: &Node) -> Vec<String> {
    let members = node.membership();
    members.members().chain([members.local()]).map(|peer| peer.name.clone()).collect()
}
