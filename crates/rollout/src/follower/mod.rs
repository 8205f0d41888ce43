//! The state machine of a gateway. It keeps a connection to one control server, preferably of its own zone, reports the
//! version in force, and applies newer versions. It never applies an older one.

mod connection;
mod server_ring;
mod versions;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::connection::ServerConnection;
use self::server_ring::ServerRing;
use self::versions::{OfferOutcome, VersionTracker};
use crate::backoff::random_fraction;
use crate::connection::{ConnectionId, ConnectionIds};
use crate::frame::encode_frame;
use crate::settings::{ControlServerInfo, Timeouts};
use crate::version::{Document, Version};
use crate::wire::{Hello, Identity, Message, Rejection};

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// The gateway's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The control servers in the order of the settings, which is the same on all processes. Those of the own zone are
    /// tried first, then the others in ring order.
    pub servers: Vec<ControlServerInfo>,
    /// Intervals and timeouts.
    pub timeouts: Timeouts,
    /// Seed of the random generator.
    pub seed: u64,
}

/// An action for the driver to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Connect to the control server with this index in the settings. [`Follower::handle_connected`] or
    /// [`Follower::handle_closed`] follows.
    Connect(ConnectionId, usize),
    /// Send bytes.
    Send(ConnectionId, Arc<[u8]>),
    /// Close a connection. No event of the connection follows.
    Close(ConnectionId),
    /// Apply a version completely or not at all, and store it before it comes into force. [`Follower::handle_applied`]
    /// follows, and no other version is to be applied until then.
    Apply(Document),
}

/// Why a version could not be applied. The text is for the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ApplyError(pub String);

/// The status of a gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FollowerStatus {
    /// The version in force.
    pub in_force: Option<Version>,
    /// The newest version that was rejected, until one with the same or a higher number is applied.
    pub rejected: Option<Rejection>,
    /// The control server that it receives data from, by its index in the settings.
    pub server: Option<usize>,
    /// Time since the last heartbeat of a fresh control server; zero while it is connected to one.
    pub cut_off: Duration,
    /// Number of offers of a version older than one that is in force, rejected or about to be applied.
    pub stale_offers: u64,
    /// Number of versions received with the number but not the digest of a known one. Such a version is reported as
    /// rejected, and not applied.
    pub conflicts: u64,
}

/// The state machine of a gateway.
pub struct Follower {
    settings: Settings,
    rng: Pcg64Mcg,
    outputs: VecDeque<Output>,
    versions: VersionTracker,
    ring: ServerRing,
    connection_ids: ConnectionIds,
    /// The connection in use.
    active: Option<ServerConnection>,
    /// A second connection, to a server of the own zone, while the active one is to another zone's.
    returning: Option<ServerConnection>,
    /// When the next server is tried while there is no active connection.
    connect_at: Duration,
    /// When a server of the own zone is tried again while the active connection is to another zone's.
    return_at: Option<Duration>,
    report_at: Duration,
    /// When the last heartbeat of any fresh server was received; initially the time of the start.
    last_fresh: Duration,
}

impl Follower {
    /// Creates a gateway with the version that it has stored, which is in force.
    pub fn new(settings: Settings, in_force: Option<Version>, now: Duration) -> Follower {
        let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
        Follower {
            ring: ServerRing::new(&settings, &mut rng),
            rng,
            outputs: VecDeque::new(),
            versions: VersionTracker::new(in_force),
            connection_ids: ConnectionIds::default(),
            active: None,
            returning: None,
            connect_at: now,
            return_at: None,
            report_at: now,
            last_fresh: now,
            settings,
        }
    }

    /// The settings that it was started with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Handles the establishment of a connection.
    pub fn handle_connected(&mut self, now: Duration, id: ConnectionId) {
        let Some(connection) = self.connection_mut(id).filter(|found| !found.is_established()) else {
            return;
        };
        (connection.established_at, connection.last_received) = (Some(now), now);
        let Settings { fleet, name, zone, .. } = &self.settings;
        let identity = Identity::Gateway { name: name.clone(), zone: zone.clone() };
        let hello = encode_frame(&Message::Hello(Hello::new(fleet, identity)));
        self.outputs.push_back(Output::Send(id, hello));
        self.outputs.push_back(Output::Send(id, self.report_frame()));
    }

    /// Handles the end of a connection, or the failure to establish it.
    pub fn handle_closed(&mut self, now: Duration, id: ConnectionId) {
        let is_id = |connection: &ServerConnection| connection.id == id;
        if self.returning.as_ref().is_some_and(is_id) {
            self.returning = None;
            self.schedule_return(now);
        } else if self.active.as_ref().is_some_and(is_id) {
            self.active = None;
            self.replace_active(now);
        }
    }

    /// Handles received bytes.
    pub fn handle_bytes(&mut self, now: Duration, id: ConnectionId, bytes: &[u8]) {
        let liveness = self.settings.timeouts.liveness;
        let Some(connection) = self.connection_mut(id).filter(|found| found.is_established()) else { return };
        if now >= connection.expires_at(liveness) {
            // The process may have been stopped, and the version in its socket buffer may no longer be the newest.
            return self.close(now, id);
        }
        (connection.last_received, connection.has_received) = (now, true);
        connection.frames.push(bytes);
        // Handling a message may close the connection.
        while let Some(connection) = self.connection_mut(id) {
            match connection.frames.next_message() {
                Ok(Some(Message::Heartbeat { fresh, newest })) => {
                    self.handle_heartbeat(now, id, fresh, newest);
                }
                Ok(Some(Message::Newest(version, bytes))) => self.handle_newest(now, id, version, bytes),
                Ok(None) => return,
                // Control servers send gateways no other message.
                Ok(Some(_)) | Err(_) => return self.close(now, id),
            }
        }
    }

    fn handle_heartbeat(&mut self, now: Duration, id: ConnectionId, fresh: bool, newest: Option<Version>) {
        if fresh {
            if let Some(connection) = self.connection_mut(id) {
                connection.last_fresh = Some(now);
            }
            self.last_fresh = now;
            self.handle_fresh_server(now, id);
        }
        if self.versions.check_newest(newest) {
            self.report(now);
        }
    }

    fn handle_newest(&mut self, now: Duration, id: ConnectionId, version: Version, bytes: Arc<[u8]>) {
        match self.versions.handle_offer(version, bytes) {
            OfferOutcome::Handled | OfferOutcome::Conflict { is_new: false } => {}
            OfferOutcome::Conflict { is_new: true } => self.report(now),
            OfferOutcome::DigestMismatch => self.close(now, id),
        }
    }

    /// The version of [`Output::Apply`] is stored and in force, or could not be applied; then nothing has changed.
    pub fn handle_applied(&mut self, now: Duration, version: Version, result: Result<(), ApplyError>) {
        if self.versions.handle_applied(version, result) {
            self.report(now);
        }
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Duration) {
        while let Some(id) = self.expired_connection(now) {
            self.close(now, id);
        }
        if self.active.is_none() && now >= self.connect_at {
            self.active = self.ring.current().map(|server| self.connect(now, server));
        }
        if self.returning.is_none() && self.return_at.is_some_and(|at| now >= at) {
            self.return_at = None;
            let server = self.ring.random_own_zone_server(&mut self.rng);
            self.returning = server.map(|server| self.connect(now, server));
        }
        if now >= self.report_at {
            self.report(now);
        }
    }

    /// When [`Follower::tick`] is due next.
    pub fn next_tick(&self) -> Duration {
        let liveness = self.settings.timeouts.liveness;
        let expiries = self.connections().map(|connection| connection.expires_at(liveness));
        let can_connect = self.active.is_none() && !self.ring.is_empty();
        let connect = can_connect.then_some(self.connect_at);
        let return_at = self.return_at.filter(|_| self.returning.is_none());
        expiries.chain(connect).chain(return_at).fold(self.report_at, Duration::min)
    }

    /// The next output for the driver.
    pub fn next_output(&mut self) -> Option<Output> {
        // The version to apply is chosen after all other outputs: after a pause of the process several versions are
        // received at once, and only the newest of them is applied.
        self.outputs.pop_front().or_else(|| self.versions.next_to_apply().map(Output::Apply))
    }

    /// The gateway's status.
    pub fn status(&self, now: Duration) -> FollowerStatus {
        let liveness = self.settings.timeouts.liveness;
        let connection = self.active.as_ref().filter(|connection| connection.has_received);
        let last_fresh = connection.and_then(|connection| connection.last_fresh);
        let follows_fresh = last_fresh.is_some_and(|fresh| now < fresh + liveness);
        let cut_off = if follows_fresh { Duration::ZERO } else { now.saturating_sub(self.last_fresh) };
        FollowerStatus {
            in_force: self.versions.in_force,
            rejected: self.versions.rejected.clone(),
            server: connection.map(|connection| connection.server),
            cut_off,
            stale_offers: self.versions.stale_offers,
            conflicts: self.versions.conflicts,
        }
    }

    fn connections(&self) -> impl Iterator<Item = &ServerConnection> {
        [&self.active, &self.returning].into_iter().flatten()
    }

    fn connection_mut(&mut self, id: ConnectionId) -> Option<&mut ServerConnection> {
        [&mut self.active, &mut self.returning].into_iter().flatten().find(|connection| connection.id == id)
    }

    fn expired_connection(&self, now: Duration) -> Option<ConnectionId> {
        let liveness = self.settings.timeouts.liveness;
        let is_expired = |connection: &&ServerConnection| now >= connection.expires_at(liveness);
        let mut connections = [&self.returning, &self.active].into_iter().flatten();
        connections.find(is_expired).map(|connection| connection.id)
    }

    fn connect(&mut self, now: Duration, server: usize) -> ServerConnection {
        let id = self.connection_ids.next_id();
        self.outputs.push_back(Output::Connect(id, server));
        ServerConnection::new(id, server, now)
    }

    /// Closes a connection, and handles its end.
    fn close(&mut self, now: Duration, id: ConnectionId) {
        self.outputs.push_back(Output::Close(id));
        self.handle_closed(now, id);
    }

    /// Replaces a lost active connection by the second one if that is established; otherwise schedules the next
    /// attempt.
    fn replace_active(&mut self, now: Duration) {
        self.return_at = None;
        if self.returning.as_ref().is_some_and(ServerConnection::is_established) {
            self.active = self.returning.take();
            self.ring.restart();
            return;
        }
        if let Some(returning) = self.returning.take() {
            self.outputs.push_back(Output::Close(returning.id));
        }
        self.connect_at = now + self.ring.record_failure(&mut self.rng, self.settings.timeouts.max_backoff);
    }

    /// Handles a heartbeat of a fresh server. If it came over the second connection, to a server of the own zone, that
    /// connection becomes the active one and the other is closed.
    fn handle_fresh_server(&mut self, now: Duration, id: ConnectionId) {
        if self.returning.as_ref().is_some_and(|returning| returning.id == id) {
            if let Some(left) = std::mem::replace(&mut self.active, self.returning.take()) {
                self.outputs.push_back(Output::Close(left.id));
            }
            self.ring.restart();
        }
        let Some(active) = &self.active else { return };
        let is_own_zone = self.ring.is_own_zone(active.server);
        // A server counts as a success only once its connection has lasted for `liveness`: if servers report that they
        // are fresh and then disconnect, the attempts must still back off.
        let liveness = self.settings.timeouts.liveness;
        if active.established_at.is_some_and(|established| now >= established + liveness) {
            self.ring.record_success();
        }
        if !is_own_zone && self.returning.is_none() && self.return_at.is_none() {
            self.schedule_return(now);
        }
    }

    /// Schedules the next attempt at a server of the own zone, after a random delay so that not all gateways return at
    /// once.
    fn schedule_return(&mut self, now: Duration) {
        let is_away = self.active.as_ref().is_some_and(|active| !self.ring.is_own_zone(active.server));
        let delay = self.settings.timeouts.return_window.mul_f64(random_fraction(&mut self.rng));
        self.return_at = (is_away && self.ring.has_own_zone()).then_some(now + delay);
    }

    /// Reports the version in force over each established connection.
    fn report(&mut self, now: Duration) {
        self.report_at = now + self.settings.timeouts.report_interval;
        let frame = self.report_frame();
        let established = [&self.active, &self.returning].into_iter().flatten();
        let established = established.filter(|connection| connection.is_established());
        self.outputs.extend(established.map(|connection| Output::Send(connection.id, frame.clone())));
    }

    fn report_frame(&self) -> Arc<[u8]> {
        let (in_force, rejected) = (self.versions.in_force, self.versions.rejected.clone());
        encode_frame(&Message::VersionReport { in_force, rejected })
    }
}
