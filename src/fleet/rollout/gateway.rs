//! The thread of a gateway that follows the control servers: its connections, its clock, and the file in which the
//! version in force is stored. It has a thread of its own because a version is on the disk before it is reported as in
//! force, and no client may wait for that.

mod installer;
mod startup;
mod status_log;

use std::fs;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use dunemount_rollout::file_format::FileError;
use dunemount_rollout::follower::Settings;
use dunemount_rollout::version::{Document, Version};
use polling::{Event, PollMode, Poller};
use slog::{error, Logger};

use self::installer::{Installed, Installer, STORE_INTERVAL};
use self::startup::Startup;
use self::status_log::StatusLog;
use super::follower_driver::FollowerDriver;
use super::version_channel::{self, VersionReceiver};
use crate::fleet::status::{ConfigurationStatus, SharedStatus};
use crate::shortage::{is_transient_file_error, retry};

/// How long a read of the file is retried after transient errors: the gateway has to be ready soon.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time between two updates of the status.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// The poller's keys: those of the connections come before that of the shutdown pipe.
const FIRST_CONNECTION_KEY: usize = 0;
const SHUTDOWN_KEY: usize = 16;

/// Why the file of the stored version cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoredVersionError {
    /// It could not be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// It contains no version.
    #[error(transparent)]
    Format(#[from] FileError),
}

/// Reads the version that a gateway has stored; none if there is no file. After a transient error the read is retried,
/// since a gateway that starts without its version would go back to an older one.
///
/// # Errors
/// The file cannot be read, or contains no version.
pub fn stored_version(path: &Path) -> Result<Option<Document>, StoredVersionError> {
    match retry(Instant::now() + READ_TIMEOUT, is_transient_file_error, || fs::read(path)) {
        Ok(bytes) => Ok(Some(Document::from_file(&bytes)?)),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e.into()),
    }
}

/// The parameters of the thread's start.
pub struct Start {
    /// The settings of the state machine.
    pub settings: Settings,
    /// The control servers' addresses, in the settings' order.
    pub addresses: Vec<SocketAddr>,
    /// The file in which the version in force is stored.
    pub file: PathBuf,
    /// The version that the gateway was started with.
    pub in_force: Option<Version>,
    /// Where the status is published.
    pub shared_status: SharedStatus,
}

/// The thread that follows the control servers.
#[derive(Debug)]
pub struct FollowerThread {
    shutdown: UnixStream,
    thread: JoinHandle<()>,
}

impl FollowerThread {
    /// Shuts the thread down, and waits until it has ended.
    pub fn end(mut self) {
        let _ = self.shutdown.write_all(&[1]);
        let _ = self.thread.join();
    }
}

/// Starts the thread. The event loop receives versions from the returned receiver.
///
/// # Errors
/// The system cannot create a thread, pipe or poller.
pub fn start(start: Start, log: &Logger) -> io::Result<(FollowerThread, VersionReceiver)> {
    let poller = Arc::new(Poller::new()?);
    let (sender, shutdown) = UnixStream::pair()?;
    shutdown.set_nonblocking(true)?;
    poller.add_with_mode(&shutdown, Event::readable(SHUTDOWN_KEY), PollMode::Level)?;
    let (versions, receiver) = version_channel::open(poller.clone())?;
    let thread = std::thread::Builder::new().name("rollout".into());
    let log = log.clone();
    let thread = thread.spawn(move || {
        let startup =
            Startup { start, shutdown, poller, versions, started_at: Instant::now(), log: log.clone() };
        // The gateway continues with the version in force; the control servers report that it is silent.
        if catch_unwind(AssertUnwindSafe(|| startup.run())).is_err() {
            error!(log, "config: the follower's thread panicked; this gateway receives no more versions");
        }
    })?;
    Ok((FollowerThread { shutdown: sender, thread }, receiver))
}

fn is_shut_down(shutdown: &mut UnixStream) -> bool {
    // A successful read is a shutdown request, not the end of the stream: the other end is open until the thread has
    // ended.
    shutdown.read(&mut [0]).is_ok()
}

/// The state of the thread once it has locked the file.
struct FollowerLoop {
    driver: FollowerDriver,
    shutdown: UnixStream,
    poller: Arc<Poller>,
    started_at: Instant,
    installer: Installer,
    status_log: StatusLog,
    shared_status: SharedStatus,
}

impl FollowerLoop {
    fn run(mut self) {
        let mut ready = Vec::new();
        while !is_shut_down(&mut self.shutdown) {
            ready.clear();
            // An error does not matter: after each wake-up the thread handles everything that is due.
            let _ = self.poller.wait(&mut ready, Some(self.time_to_wait()));
            let installed = self.installer.poll_result();
            self.handle_installed(installed);
            let now = self.started_at.elapsed();
            for document in self.driver.turn(now, &ready) {
                let installed = self.installer.install(document);
                self.handle_installed(installed);
            }
            let installed = self.installer.retry(now);
            self.handle_installed(installed);
            self.publish_status();
        }
        self.driver.close();
    }

    fn time_to_wait(&self) -> Duration {
        let longest = if self.installer.storage_error().is_some() { STORE_INTERVAL } else { STATUS_INTERVAL };
        self.driver.next_turn().saturating_sub(self.started_at.elapsed()).min(longest)
    }

    fn handle_installed(&mut self, installed: Option<Installed>) {
        if let Some(Installed { version, result }) = installed {
            self.driver.handle_applied(self.started_at.elapsed(), version, result.map_err(Into::into));
        }
    }

    /// Publishes the status, and logs its changes.
    fn publish_status(&mut self) {
        let status = self.driver.follower.status(self.started_at.elapsed());
        let servers = &self.driver.follower.settings().servers;
        let server = status.server.and_then(|index| servers.get(index));
        let unstored = self.installer.storage_error().map(str::to_string);
        let configuration =
            ConfigurationStatus { unstored, ..ConfigurationStatus::from_follower(&status, server) };
        self.status_log.update(status, server);
        self.shared_status.update_configuration(configuration);
    }
}
