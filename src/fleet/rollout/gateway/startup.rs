//! The steps before a gateway follows the control servers: it waits until no other process uses its file, and applies
//! the version that the previous process has stored meanwhile.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dunemount_rollout::follower::Follower;
use dunemount_rollout::version::{Document, Version};
use polling::Poller;
use rustix::fs::{flock, FlockOperation};
use slog::{info, warn, Logger};

use super::installer::Installer;
use super::status_log::StatusLog;
use super::{is_shut_down, stored_version, FollowerLoop, Start, FIRST_CONNECTION_KEY};
use crate::fleet::rollout::follower_driver::FollowerDriver;
use crate::fleet::rollout::version_channel::VersionSender;

/// Time between two attempts to lock the file, which the previous process may still use.
const LOCK_INTERVAL: Duration = Duration::from_millis(250);

/// The state of a gateway's thread before it has locked the file.
pub(super) struct Startup {
    pub(super) start: Start,
    pub(super) shutdown: UnixStream,
    pub(super) poller: Arc<Poller>,
    pub(super) versions: VersionSender,
    pub(super) started_at: Instant,
    pub(super) log: Logger,
}

impl Startup {
    /// Runs the thread until it is shut down.
    pub(super) fn run(mut self) {
        let Some(_locked) = self.lock() else { return };
        let in_force = self.catch_up();
        if let Some(version) = in_force {
            info!(self.log, "config: continuing with the stored version"; "digest" => %version.digest,
                "version" => version.number);
        }
        self.into_loop(in_force).run();
    }

    fn into_loop(self, in_force: Option<Version>) -> FollowerLoop {
        let now = self.started_at.elapsed();
        let Startup { start, shutdown, poller, versions, started_at, log } = self;
        let Start { settings, addresses, file, shared_status, .. } = start;
        let follower = Follower::new(settings, in_force, now);
        FollowerLoop {
            driver: FollowerDriver::new(follower, addresses, poller.clone(), FIRST_CONNECTION_KEY),
            shutdown,
            poller,
            started_at,
            installer: Installer::new(file, versions, started_at, log.clone()),
            status_log: StatusLog::new(in_force, log),
            shared_status,
        }
    }

    /// Waits until no other process has locked the file; none if the thread is shut down meanwhile. During a hot
    /// restart the previous process has the lock until it ends.
    fn lock(&mut self) -> Option<File> {
        let mut is_logged = false;
        loop {
            match self.try_lock() {
                Ok(file) => return Some(file),
                Err(e) if !std::mem::replace(&mut is_logged, true) => {
                    warn!(self.log, "config: cannot lock the version's file yet; retrying"; "error" => %e,
                        "file" => %self.start.file.display());
                }
                Err(_) => {}
            }
            if self.wait(LOCK_INTERVAL) {
                return None;
            }
        }
    }

    fn try_lock(&self) -> io::Result<File> {
        let mut path = self.start.file.as_os_str().to_owned();
        path.push(".lock");
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(&path)?;
        flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        Ok(file)
    }

    /// Applies a newer version that the previous process has stored since this one was started, so that the gateway
    /// does not go back to an older one. Returns the version in force.
    fn catch_up(&mut self) -> Option<Version> {
        let in_force = self.start.in_force;
        let Some(document) = self.newer_stored_version() else { return in_force };
        let version = document.version();
        self.versions.send(document);
        loop {
            match self.versions.try_result() {
                Some(Ok(())) => return Some(version),
                Some(Err(error)) => {
                    warn!(self.log, "config: the stored version cannot be applied"; "why" => %error,
                        "version" => version.number);
                    return in_force;
                }
                None if self.wait(LOCK_INTERVAL) => return in_force,
                None => {}
            }
        }
    }

    fn newer_stored_version(&self) -> Option<Document> {
        let in_force = self.start.in_force.map(|version| version.number);
        let stored = stored_version(&self.start.file).ok().flatten();
        stored.filter(|document| Some(document.version().number) > in_force)
    }

    /// Waits for at most this time. Returns whether the thread is to shut down.
    fn wait(&mut self, pause: Duration) -> bool {
        let _ = self.poller.wait(&mut Vec::new(), Some(pause));
        is_shut_down(&mut self.shutdown)
    }
}
