//! The thread that runs this gateway's node of the fleet. It owns the socket and the clock; all decisions are the
//! node's.
//!
//! The node has a thread of its own, since an acceptor waits for its disk at each promise and no client may wait for
//! that.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::net::UnixStream;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use polling::{Event as PollEvent, PollMode, Poller};
use slog::{error, info, warn, Logger};

use super::acceptor_file::AcceptorFile;
use super::event_log::log_event;
use super::node_settings::{node_settings, NodeStart};
use super::status::{NodeStatus, SharedStatus};
use super::transport::NodeTransport;
use crate::settings_file::FleetSettings;

/// Time between two attempts to bind the address, which the previous process of this gateway may still use.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time that a node which leaves its fleet may take to release its leases.
pub(super) const LEAVE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between two updates of the status.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);
const SOCKET_KEY: usize = 0;
const SHUTDOWN_KEY: usize = 1;

/// The thread of a running node.
#[derive(Debug)]
pub struct FleetThread {
    /// The node's status, for the admin interface.
    pub status: SharedStatus,
    shutdown: UnixStream,
    thread: JoinHandle<()>,
}

impl FleetThread {
    /// Makes the node leave its fleet gracefully, and waits until the thread has ended.
    pub fn end(mut self) {
        let _ = self.shutdown.write_all(&[1]);
        let _ = self.thread.join();
    }
}

/// Starts the node's thread, if the settings name a fleet. The thread retries to bind an address that is in use.
///
/// # Errors
/// The gateway is a voter without a file, or the system cannot create a thread, pipe or poller.
pub fn start(options: &FleetSettings, start: NodeStart, log: &Logger) -> io::Result<Option<FleetThread>> {
    let name = start.name.clone();
    let settings = node_settings(options, start).map_err(io::Error::other)?;
    let (Some((settings, slot)), Some(listen)) = (settings, options.listen) else { return Ok(None) };
    let (sender, shutdown) = UnixStream::pair()?;
    shutdown.set_nonblocking(true)?;
    let file = options.voter(&name).map_err(io::Error::other)?.map(|(_, path)| AcceptorFile::new(path));
    let transport = NodeTransport::new(settings, slot.zip(file), log.clone());
    let status = SharedStatus::default();
    let event_loop = EventLoop::new(transport, shutdown, status.clone(), log.clone())?;
    let thread = std::thread::Builder::new().name("fleet".into());
    let log = log.clone();
    let thread = thread.spawn(move || {
        // The gateway continues to serve without its fleet; the other members detect that this one is down.
        if catch_unwind(AssertUnwindSafe(|| event_loop.run(listen))).is_err() {
            error!(log, "fleet: the node's thread panicked; this gateway is no longer a member");
        }
    })?;
    Ok(Some(FleetThread { status, shutdown: sender, thread }))
}

struct EventLoop {
    transport: NodeTransport,
    shutdown: UnixStream,
    poller: Poller,
    started_at: Instant,
    status: SharedStatus,
    next_status_at: Duration,
    log: Logger,
}

impl EventLoop {
    fn new(
        transport: NodeTransport,
        shutdown: UnixStream,
        status: SharedStatus,
        log: Logger,
    ) -> io::Result<EventLoop> {
        let poller = Poller::new()?;
        poller.add_with_mode(&shutdown, PollEvent::readable(SHUTDOWN_KEY), PollMode::Level)?;
        let (started_at, next_status_at) = (Instant::now(), Duration::ZERO);
        Ok(EventLoop { transport, shutdown, poller, started_at, status, next_status_at, log })
    }

    fn run(mut self, listen: SocketAddr) {
        let Some(socket) = self.bind(listen) else { return };
        let added = self.poller.add_with_mode(&socket, PollEvent::readable(SOCKET_KEY), PollMode::Level);
        if let Err(e) = added {
            warn!(self.log, "fleet: cannot wait for datagrams; this gateway is not a member"; "error" => %e);
            return;
        }
        info!(self.log, "fleet: joining"; "address" => %listen);
        let mut leave_deadline = None;
        while leave_deadline.is_none_or(|deadline| !self.has_left(deadline)) {
            self.wait(self.transport.next_deadline().min(self.next_status_at));
            let now = self.now();
            self.transport.poll(now, &socket);
            if leave_deadline.is_none() && self.is_shut_down() {
                self.leave(now, &socket);
                leave_deadline = Some(now + LEAVE_TIMEOUT);
            }
            self.log_events();
            self.update_status(now);
        }
        info!(self.log, "fleet: left");
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Binds the address, and retries until that succeeds: during a hot restart the previous process uses it until it
    /// ends. None if the thread is shut down meanwhile.
    fn bind(&mut self, listen: SocketAddr) -> Option<UdpSocket> {
        let mut is_logged = false;
        loop {
            match bind_nonblocking(listen) {
                Ok(socket) => return Some(socket),
                Err(e) if !is_logged => {
                    warn!(self.log, "fleet: cannot bind the address yet; retrying"; "address" => %listen, "error" => %e);
                    is_logged = true;
                }
                Err(_) => {}
            }
            self.wait(self.now() + BIND_RETRY_INTERVAL);
            if self.is_shut_down() {
                return None;
            }
        }
    }

    fn wait(&self, until: Duration) {
        let timeout = until.saturating_sub(self.now());
        // The events do not matter: after each wake-up the thread handles everything that is due.
        let _ = self.poller.wait(&mut Vec::new(), Some(timeout));
    }

    fn is_shut_down(&mut self) -> bool {
        self.shutdown.read(&mut [0]).is_ok()
    }

    fn leave(&mut self, now: Duration, socket: &UdpSocket) {
        self.transport.node.leave(now);
        self.transport.node.tick(now);
        self.transport.send_datagrams(socket);
    }

    fn has_left(&self, deadline: Duration) -> bool {
        self.now() >= deadline || self.transport.node.has_left()
    }

    fn log_events(&mut self) {
        while let Some(event) = self.transport.node.next_event() {
            log_event(&self.log, event);
        }
    }

    fn update_status(&mut self, now: Duration) {
        if now < self.next_status_at {
            return;
        }
        self.next_status_at = now + STATUS_INTERVAL;
        let unstored = self.transport.storage_error();
        self.status.update(NodeStatus { unstored, ..NodeStatus::from_node(&self.transport.node, now) });
    }
}

fn bind_nonblocking(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
