//! Before a gateway follows the control servers: it waits until no other process uses its file, and applies the version that
//! the process before has stored meanwhile.

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

/// Time between two attempts to lock the file, which the process before may still use.
const LOCK_INTERVAL: Duration = Duration::from_millis(250);

/// A gateway's thread before the file is its own.
pub(super) struct Startup {
    pub(super) start: Start,
    pub(super) shutdown: UnixStream,
    pub(super) poller: Arc<Poller>,
    pub(super) versions: VersionSender,
    pub(super) started_at: Instant,
    pub(super) log: Logger,
}

impl Startup {
    /// Runs the thread until it is to end.
    pub(super) fn run(mut self) {
        let Some(_locked) = self.lock() else { return };
        let in_force = self.catch_up();
        if let Some(version) = in_force {
            info!(self.log, "config: goes on with the version kept"; "digest" => %version.digest,
                "version" => version.number);
        }
        self.into_loop(in_force).run();
    }

    fn into_loop(self, in_force: Option<Version>) -> FollowerLoop {
        let now = self.started_at.elapsed();
        let Startup { start, shutdown, poller, versions, started_at, log } = self;
        let Start { settings, addresses, file, board, .. } = start;
        let follower = Follower::new(settings, in_force, now);
        FollowerLoop {
            driver: FollowerDriver::new(follower, addresses, poller.clone(), FIRST_CONNECTION_KEY),
            shutdown,
            poller,
            started_at,
            installer: Installer::new(file, versions, started_at, log.clone()),
            status_log: StatusLog::new(in_force, log),
            board,
        }
    }

    /// Waits until no other process has the file; none if the thread is to end. During an upgrade the process before has it
    /// until it ends.
    fn lock(&mut self) -> Option<File> {
        let mut is_logged = false;
        loop {
            match self.try_lock() {
                Ok(file) => return Some(file),
                Err(e) if !std::mem::replace(&mut is_logged, true) => {
                    warn!(self.log, "config: the file is not to be had yet"; "error" => %e,
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

    /// Applies the version that the process before has stored since this one was started, so that nothing goes back. The
    /// version in force.
    fn catch_up(&mut self) -> Option<Version> {
        let in_force = self.start.in_force;
        let Some(document) = self.newer_stored_version() else { return in_force };
        let version = document.version();
        self.versions.send(document);
        loop {
            match self.versions.try_result() {
                Some(Ok(())) => return Some(version),
                Some(Err(error)) => {
                    warn!(self.log, "config: the version kept cannot be taken"; "why" => %error,
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

    /// Waits for at most so long; whether the thread is to end.
    fn wait(&mut self, pause: Duration) -> bool {
        let _ = self.poller.wait(&mut Vec::new(), Some(pause));
        is_shut_down(&mut self.shutdown)
    }
}
