//! The settings and sockets of a control server.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::Instant;

use dunemount_fleet::node::NodeSettings;
use dunemount_rollout::control::Settings;
use dunemount_rollout::settings::Timeouts;
use polling::{Event as PollEvent, PollMode, Poller};

use super::{
    Start, StartError, FRESHNESS, LISTENER_KEY, PROPOSAL_TIMEOUT, READ_INTERVAL, SHUTDOWN_KEY, SOCKET_KEY,
};
use crate::fleet::acceptor_file::AcceptorFile;
use crate::fleet::node_settings::{node_settings, NodeStart};
use crate::settings_file::LocalSettings;
use crate::shortage::{is_shortage, retry, START_RETRY_TIMEOUT};

/// The settings of the fleet's node, and its index among the voters with its file if it is one.
pub(super) fn node_with_voter(
    options: &LocalSettings,
    start: &Start,
) -> Result<(NodeSettings, Option<(usize, AcceptorFile)>), StartError> {
    let node =
        NodeStart { name: start.name.clone(), start: start.start, roles: Vec::new(), seed: start.seed };
    let node = node_settings(&options.fleet, node)?;
    let (node, index) = node.ok_or(StartError::NoFleet)?;
    let voter = options.fleet.voter(&start.name)?;
    let file = voter.map(|(_, path)| AcceptorFile::new(path));
    Ok((node, index.zip(file)))
}

/// The settings of the state machine.
pub(super) fn settings(options: &LocalSettings, start: &Start, fleet: &str) -> Settings {
    Settings {
        fleet: fleet.to_string(),
        name: start.name.clone(),
        servers: options.control.servers.iter().map(|(server, _)| server.clone()).collect(),
        timeouts: Timeouts::default(),
        read_interval: READ_INTERVAL,
        freshness: FRESHNESS,
        proposal_timeout: PROPOSAL_TIMEOUT,
        seed: start.seed,
    }
}

/// The sockets of a control server, and the poller that watches them.
pub(super) struct Sockets {
    pub(super) socket: UdpSocket,
    pub(super) listener: TcpListener,
    pub(super) poller: Arc<Poller>,
}

impl Sockets {
    /// Opens the sockets; a shortage of the system is waited out for a while.
    pub(super) fn open(
        datagrams: SocketAddr,
        listen: SocketAddr,
        shutdown: &UnixStream,
    ) -> Result<Sockets, StartError> {
        let until = Instant::now() + START_RETRY_TIMEOUT;
        let socket = retry(until, is_shortage, || UdpSocket::bind(datagrams))
            .map_err(|source| StartError::BindSocket { address: datagrams, source })?;
        let listener = retry(until, is_shortage, || TcpListener::bind(listen))
            .map_err(|source| StartError::BindListener { address: listen, source })?;
        let poller = Arc::new(retry(until, is_shortage, Poller::new).map_err(StartError::Poller)?);
        let sockets = Sockets { socket, listener, poller };
        sockets.watch(shutdown).map_err(StartError::Poller)?;
        Ok(sockets)
    }

    fn watch(&self, shutdown: &UnixStream) -> std::io::Result<()> {
        self.socket.set_nonblocking(true)?;
        self.listener.set_nonblocking(true)?;
        shutdown.set_nonblocking(true)?;
        self.poller.add_with_mode(&self.socket, PollEvent::readable(SOCKET_KEY), PollMode::Level)?;
        self.poller.add_with_mode(&self.listener, PollEvent::readable(LISTENER_KEY), PollMode::Level)?;
        self.poller.add_with_mode(shutdown, PollEvent::readable(SHUTDOWN_KEY), PollMode::Level)
    }
}
