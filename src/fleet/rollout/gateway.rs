//! The thread of a gateway that follows the control machines: its connections, its clock, the file that keeps the version
//! in force. It decides nothing. A thread of its own, since a version is on the disk before it is said to be in force, and
//! no client may wait for that.

use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use dunemount_rollout::follower::{ApplyError, Follower, FollowerStatus, Settings};
use dunemount_rollout::version::{Document, Version};
use polling::{Event, PollMode, Poller};
use rustix::fs::{flock, FlockOperation};
use slog::{error, info, warn, Logger};

use super::handover::{self, Answer, Inbox, Outbox};
use super::links::Carrier;
use crate::fleet::file::{put, stage, Staged};
use crate::fleet::status::{Board, Configuration};
use crate::shortage::{may_pass, retry};

/// Time between two tries to have the file, which the process before may still have.
const LOCK_PAUSE: Duration = Duration::from_millis(250);
/// How long the file is tried again that cannot be read at this moment: the gateway has to be ready soon.
const READ_PATIENCE: Duration = Duration::from_secs(5);
/// Time between two tries to store a version.
const STORE_PAUSE: Duration = Duration::from_millis(250);
/// Without a fresh control machine for so long, operators are told.
const CUT_OFF: Duration = Duration::from_secs(5);
/// Time between two looks at how it stands, where nothing else happens.
const BOARD: Duration = Duration::from_millis(500);
/// Keys of the poller: the connections have the ones before.
const END: usize = 16;

/// Reads the version that a gateway keeps; none where there is no file. One that cannot be read at this moment is tried
/// again for a while, since whoever goes on without it goes back.
///
/// # Errors
/// Why the file cannot be used, in words for the operator.
pub fn kept(path: &Path) -> Result<Option<Document>, String> {
    match retry(Instant::now() + READ_PATIENCE, may_pass, || fs::read(path)) {
        Ok(bytes) => Document::from_file(&bytes).map(Some).map_err(|e| e.to_string()),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e.to_string()),
    }
}

/// What the thread is started with.
pub struct Start {
    /// The follower's settings.
    pub settings: Settings,
    /// The control machines' addresses, in the settings' order.
    pub machines: Vec<SocketAddr>,
    /// Where the version in force is kept.
    pub file: PathBuf,
    /// The version that the gateway has been started with.
    pub in_force: Option<Version>,
    /// Where it tells how it stands.
    pub board: Board,
}

/// A thread that follows the control machines.
#[derive(Debug)]
pub struct Running {
    end: UnixStream,
    thread: JoinHandle<()>,
}

impl Running {
    /// Ends it, and waits for it.
    pub fn end(mut self) {
        let _ = self.end.write_all(&[1]);
        let _ = self.thread.join();
    }
}

/// Starts the thread. The loop takes versions from the inbox.
///
/// # Errors
/// What the system does not give: a thread, a pipe, a poller.
pub fn start(start: Start, log: &Logger) -> io::Result<(Running, Inbox)> {
    let poller = Arc::new(Poller::new()?);
    let (end, told) = UnixStream::pair()?;
    told.set_nonblocking(true)?;
    poller.add_with_mode(&told, Event::readable(END), PollMode::Level)?;
    let (outbox, inbox) = handover::pair(poller.clone())?;
    let thread = std::thread::Builder::new().name("rollout".into());
    let log = log.clone();
    let thread = thread.spawn(move || {
        // A gateway serves on with what it has; the control machines see that it is silent.
        let run =
            || Waiting { start, end: told, poller, outbox, began: Instant::now(), log: log.clone() }.run();
        if catch_unwind(AssertUnwindSafe(run)).is_err() {
            error!(log, "config: its thread panicked, this gateway gets no versions any more");
        }
    })?;
    Ok((Running { end, thread }, inbox))
}

/// Before the file is this process's.
struct Waiting {
    start: Start,
    end: UnixStream,
    poller: Arc<Poller>,
    outbox: Outbox,
    began: Instant,
    log: Logger,
}

impl Waiting {
    fn run(mut self) {
        let Some(_locked) = self.lock() else { return };
        let in_force = self.catch_up();
        let now = self.began.elapsed();
        let Waiting { start, end, poller, outbox, began, log } = self;
        let Start { settings, machines, file, board, .. } = start;
        let follower = Follower::new(settings, in_force, now);
        let carrier = Carrier::new(follower, machines, poller.clone(), 0);
        let told = Told {
            standing: FollowerStatus { in_force, ..FollowerStatus::default() },
            machine: None,
            cut_off: false,
        };
        if let Some(version) = in_force {
            info!(log, "config: goes on with the version kept"; "digest" => %version.digest,
                "version" => version.number);
        }
        Driver { carrier, end, poller, outbox, began, file, taking: None, unstored: None, told, board, log }
            .run();
    }

    /// Waits until no other process has the file: during an upgrade the one before has it until it ends.
    fn lock(&mut self) -> Option<File> {
        let mut beside = self.start.file.as_os_str().to_owned();
        beside.push(".lock");
        let mut told = false;
        loop {
            let opened = OpenOptions::new().write(true).create(true).truncate(false).open(&beside);
            let locked = opened.and_then(|file| {
                flock(&file, FlockOperation::NonBlockingLockExclusive)?;
                Ok(file)
            });
            match locked {
                Ok(file) => return Some(file),
                Err(e) if !std::mem::replace(&mut told, true) => {
                    warn!(self.log, "config: the file is not to be had yet"; "error" => %e,
                        "file" => %self.start.file.display());
                }
                Err(_) => {}
            }
            if self.wait(LOCK_PAUSE) {
                return None;
            }
        }
    }

    /// What the process before has taken since this one was started is taken here too: nobody goes back.
    fn catch_up(&mut self) -> Option<Version> {
        let in_force = self.start.in_force;
        let newer = |document: &Document| Some(document.version().number) > in_force.map(|own| own.number);
        let Some(document) = kept(&self.start.file).ok().flatten().filter(newer) else { return in_force };
        let version = document.version();
        self.outbox.offer(document);
        loop {
            match self.outbox.answer() {
                Some(Ok(())) => return Some(version),
                Some(Err(why)) => {
                    warn!(self.log, "config: the version kept cannot be taken"; "why" => why,
                        "version" => version.number);
                    return in_force;
                }
                None if self.wait(LOCK_PAUSE) => return in_force,
                None => {}
            }
        }
    }

    /// Waits for so long at most; whether the thread is to end.
    fn wait(&mut self, pause: Duration) -> bool {
        let _ = self.poller.wait(&mut Vec::new(), Some(pause));
        is_to_end(&mut self.end)
    }
}

fn is_to_end(end: &mut UnixStream) -> bool {
    // The other end is held until the thread has ended.
    end.read(&mut [0]).is_ok()
}

/// What operators have been told.
struct Told {
    standing: FollowerStatus,
    /// The control machine that was fresh.
    machine: Option<usize>,
    cut_off: bool,
}

/// How far a version has come that is being taken.
enum Taking {
    /// It is to be brought to the disk, at the next try.
    Storing(Document, Duration),
    /// It is on the disk beside the file, and the loop is to take it.
    Offered(Document, Staged),
    /// The loop has taken it, and it is to be kept, at the next try.
    Keeping(Document, Duration),
}

struct Driver {
    carrier: Carrier,
    end: UnixStream,
    poller: Arc<Poller>,
    outbox: Outbox,
    began: Instant,
    file: PathBuf,
    /// The version that is being taken.
    taking: Option<Taking>,
    /// Why it could not be stored at the last try.
    unstored: Option<String>,
    told: Told,
    board: Board,
    log: Logger,
}

impl Driver {
    fn run(mut self) {
        let mut ready = Vec::new();
        while !is_to_end(&mut self.end) {
            let pause = if self.unstored.is_some() { STORE_PAUSE } else { BOARD };
            let left = self.carrier.due().saturating_sub(self.began.elapsed()).min(pause);
            ready.clear();
            // What comes of it is looked at whatever woke the thread.
            let _ = self.poller.wait(&mut ready, Some(left));
            if let Some(answer) = self.outbox.answer() {
                self.finish(answer);
            }
            let now = self.began.elapsed();
            for document in self.carrier.turn(now, &ready) {
                self.store(document);
            }
            self.try_again(now);
            self.tell();
        }
        self.carrier.close();
    }

    /// Brings a version to the disk, and offers it to the loop. A disk that takes nothing for a while is tried again, as
    /// long as this version is the one to be taken.
    fn store(&mut self, document: Document) {
        match stage(&self.file, &document.to_file()) {
            Ok(staged) => {
                self.stored();
                self.outbox.offer(document.clone());
                self.taking = Some(Taking::Offered(document, staged));
            }
            Err(e) if may_pass(&e) => {
                self.cannot_store(&document, &e);
                self.taking = Some(Taking::Storing(document, self.began.elapsed() + STORE_PAUSE));
            }
            Err(e) => self.taken(document.version(), Err(ApplyError(format!("cannot be kept: {e}")))),
        }
    }

    /// The loop has taken the version, or has not.
    fn finish(&mut self, answer: Answer) {
        let (document, staged) = match self.taking.take() {
            Some(Taking::Offered(document, staged)) => (document, staged),
            other => {
                self.taking = other;
                return;
            }
        };
        match answer {
            Ok(()) => {
                let settled = staged.settle();
                self.kept(document, settled);
            }
            Err(why) => {
                staged.discard();
                self.taken(document.version(), Err(ApplyError(why)));
            }
        }
    }

    /// The version that the loop has taken is in its place on the disk, or is to be put there whole once more.
    fn kept(&mut self, document: Document, result: io::Result<()>) {
        match result {
            Err(e) if may_pass(&e) => {
                self.cannot_store(&document, &e);
                self.taking = Some(Taking::Keeping(document, self.began.elapsed() + STORE_PAUSE));
            }
            result => {
                self.stored();
                let result = result
                    .map_err(|e| ApplyError(format!("in force until the next start, cannot be kept: {e}")));
                self.taken(document.version(), result);
            }
        }
    }

    /// Stores what could not be stored before.
    fn try_again(&mut self, now: Duration) {
        match self.taking.take() {
            Some(Taking::Storing(document, at)) if now >= at => self.store(document),
            Some(Taking::Keeping(document, at)) if now >= at => {
                let result = put(&self.file, &document.to_file());
                self.kept(document, result);
            }
            other => self.taking = other,
        }
    }

    fn cannot_store(&mut self, document: &Document, why: &io::Error) {
        if self.unstored.replace(why.to_string()).is_none() {
            warn!(self.log, "config: a version cannot be stored, it is tried again"; "error" => %why,
                "version" => document.version().number);
        }
    }

    fn stored(&mut self) {
        if self.unstored.take().is_some() {
            info!(self.log, "config: versions can be stored again");
        }
    }

    fn taken(&mut self, version: Version, result: Result<(), ApplyError>) {
        self.carrier.taken(self.began.elapsed(), version, result);
    }

    /// Tells operators what has changed.
    fn tell(&mut self) {
        let standing = self.carrier.follower.status(self.began.elapsed());
        let (before, settings) = (&self.told.standing, self.carrier.follower.settings());
        let machine = standing.server.and_then(|place| settings.servers.get(place));
        if let Some(version) = standing.in_force.filter(|new| before.in_force != Some(*new)) {
            info!(self.log, "config: version in force"; "digest" => %version.digest, "version" => version.number);
        }
        if let Some(refused) = standing.rejected.as_ref().filter(|new| before.rejected.as_ref() != Some(*new))
        {
            warn!(self.log, "config: version refused"; "why" => &refused.reason,
                "digest" => %refused.version.digest, "version" => refused.version.number);
        }
        // While none is fresh the machines are tried in turn, which is no news.
        let fresh = machine.filter(|_| standing.cut_off.is_zero());
        if let Some(machine) = fresh.filter(|_| self.told.machine != standing.server) {
            self.told.machine = standing.server;
            info!(self.log, "config: hears a control machine"; "zone" => &machine.zone, "machine" => &machine.name);
        }
        if standing.cut_off > CUT_OFF && !std::mem::replace(&mut self.told.cut_off, true) {
            warn!(self.log, "config: cut off from all control machines, the version in force stays");
        }
        if standing.cut_off.is_zero() && std::mem::replace(&mut self.told.cut_off, false) {
            info!(self.log, "config: no longer cut off");
        }
        if standing.conflicts > before.conflicts {
            error!(self.log, "config: one number came with two digests, nothing is taken";
                "so_far" => standing.conflicts);
        }
        if standing.stale_offers > before.stale_offers {
            warn!(self.log, "config: an older version was offered and not taken"; "so_far" => standing.stale_offers);
        }
        let unstored = self.unstored.clone();
        self.board.configure(Configuration { unstored, ..Configuration::of(&standing, machine) });
        self.told.standing = standing;
    }
}
