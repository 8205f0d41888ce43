//! A gateway's part: it keeps one connection to a control machine (its own zone's if that is to be had), tells what is in
//! force, and takes what is newer, whole. It never goes back.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::version::{Document, Version};
use crate::wire::{cut, frame, Hello, Inbox, Message, Refusal, Who, FORM, LONGEST_WHY};

/// The longest of the first pauses after all machines have been tried in vain; each is twice as long as the one before.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// A connection: numbers are given by whoever keeps the state, and never used again.
pub type Link = u64;

/// A control machine, as the settings name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// How long what may take.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// A gateway tells what is in force, at least.
    pub tell: Duration,
    /// A control machine says that it is there.
    pub alive: Duration,
    /// One that has said nothing for so long, has not come up by then, or has not been fresh for so long, is left for
    /// the next.
    pub silent: Duration,
    /// Within this, drawn, a gateway tries its own zone's machine again.
    pub home: Duration,
    /// The longest pause, drawn, after all machines have been tried in vain.
    pub pause: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            tell: Duration::from_secs(1),
            alive: Duration::from_millis(150),
            silent: Duration::from_millis(500),
            home: Duration::from_secs(30),
            pause: Duration::from_secs(5),
        }
    }
}

/// What a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// The gateway's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The control machines, in the settings' order, which is the same everywhere. One's own zone's come first, then the
    /// others behind them around the ring.
    pub machines: Vec<Machine>,
    /// How long what may take.
    pub pace: Pace,
    /// For random numbers.
    pub seed: u64,
}

/// What its driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    /// Connects to the machine in this place of the settings, under this number; then [`Follower::opened`] or
    /// [`Follower::closed`].
    Connect(Link, usize),
    /// Sends bytes.
    Send(Link, Arc<[u8]>),
    /// Closes a connection; nothing more is said of it.
    Close(Link),
    /// Takes a version, all of it or nothing, and stores it before it is in force; then [`Follower::taken`]. One at a time.
    Take(Document),
}

/// How a gateway stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// What is in force.
    pub in_force: Option<Version>,
    /// The last version that could not be taken, if that is newer.
    pub refused: Option<Refusal>,
    /// The control machine that it hears, by its place in the settings.
    pub machine: Option<usize>,
    /// Since when no fresh control machine has been heard; zero while one is.
    pub cut_off: Duration,
    /// Versions that were offered and are older than the one in force, or than one that was refused.
    pub older: u64,
    /// A number that came with two digests: told to the operators, nothing is taken.
    pub conflicts: u64,
}

/// A connection to a control machine.
struct Line {
    link: Link,
    /// The machine, by its place in the settings.
    machine: usize,
    /// Since when it is up.
    up: Option<Duration>,
    /// When it was heard last; before it is up, when it was begun.
    heard: Duration,
    /// It has said something.
    said: bool,
    /// When it last said that it is fresh.
    fresh: Option<Duration>,
    inbox: Inbox,
}

impl Line {
    /// When it is left if nothing comes.
    fn ends(&self, silent: Duration) -> Duration {
        let fresh = self.up.map_or(self.heard, |up| self.fresh.map_or(up, |fresh| fresh.max(up)));
        self.heard.min(fresh) + silent
    }
}

/// A gateway's part.
pub struct Follower {
    settings: Settings,
    dice: Pcg64Mcg,
    out: VecDeque<Out>,
    in_force: Option<Version>,
    refused: Option<Refusal>,
    /// The machines in the order in which they are tried: its own zone's, so many, then the others.
    ring: Vec<usize>,
    own: usize,
    /// The next one of the ring, and how many were tried in vain since one was good.
    turn: usize,
    vain: usize,
    /// Vain turns around the whole ring, one after the other.
    turns: u32,
    links: Link,
    /// The connection, and a second one to its own zone's machine while it tries to come home.
    line: Option<Line>,
    home: Option<Line>,
    /// When the next machine is tried while there is no connection, and when its own zone's is while there is another.
    again: Duration,
    home_at: Option<Duration>,
    tell_at: Duration,
    /// What is being taken, and what comes after it: newer than that, and nothing between is kept.
    taking: Option<Version>,
    waiting: Option<Document>,
    /// When a fresh machine was heard last; its start before.
    fresh: Duration,
    older: u64,
    conflicts: u64,
    /// The last conflict counted.
    clashed: Option<Version>,
}

impl Follower {
    /// A gateway with the version that it has in force, if it keeps one.
    pub fn new(settings: Settings, in_force: Option<Version>, now: Duration) -> Follower {
        let mut dice = Pcg64Mcg::seed_from_u64(settings.seed);
        let count = settings.machines.len();
        let is_own = |index: &usize| settings.machines[*index].zone == settings.zone;
        let mut ring: Vec<usize> = (0..count).filter(is_own).collect();
        let own = ring.len();
        if own > 0 {
            // Gateways of a zone with several machines spread over them.
            ring.rotate_left(pick(&mut dice, own));
        }
        // Those of a zone without one spread over all.
        let last = (0..count).rev().find(is_own).unwrap_or_else(|| pick(&mut dice, count.max(1)));
        ring.extend((1..=count).map(|step| (last + step) % count).filter(|index| !is_own(index)));
        Follower {
            dice,
            out: VecDeque::new(),
            in_force,
            refused: None,
            ring,
            own,
            turn: 0,
            vain: 0,
            turns: 0,
            links: 0,
            line: None,
            home: None,
            again: now,
            home_at: None,
            tell_at: now,
            taking: None,
            waiting: None,
            fresh: now,
            older: 0,
            conflicts: 0,
            clashed: None,
            settings,
        }
    }

    /// What it was told at its start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// A connection is up.
    pub fn opened(&mut self, now: Duration, link: Link) {
        let Some(line) = self.line_of(link).filter(|line| line.up.is_none()) else { return };
        (line.up, line.heard) = (Some(now), now);
        let Settings { fleet, name, zone, .. } = &self.settings;
        let who = Who::Gateway { name: name.clone(), zone: zone.clone() };
        let hello = Message::Hello(Hello { form: FORM, fleet: fleet.clone(), who });
        self.out.push_back(Out::Send(link, frame(&hello)));
        let in_force = self.said();
        self.out.push_back(Out::Send(link, in_force));
    }

    /// A connection could not be made, or has ended.
    pub fn closed(&mut self, now: Duration, link: Link) {
        if self.home.as_ref().is_some_and(|line| line.link == link) {
            self.home = None;
            self.plan_home(now);
        } else if self.line.as_ref().is_some_and(|line| line.link == link) {
            self.line = None;
            self.go_on(now);
        }
    }

    /// Bytes have come.
    pub fn received(&mut self, now: Duration, link: Link, bytes: &[u8]) {
        let silent = self.settings.pace.silent;
        let Some(line) = self.line_of(link).filter(|line| line.up.is_some()) else { return };
        if now >= line.ends(silent) {
            // Whoever wakes up late finds in its socket what was the newest when it fell asleep.
            return self.leave(now, link);
        }
        (line.heard, line.said) = (now, true);
        line.inbox.push(bytes);
        // A message may end the connection.
        while let Some(line) = self.line_of(link) {
            match line.inbox.next() {
                Ok(Some(Message::Alive { fresh, newest })) => {
                    if fresh {
                        line.fresh = Some(now);
                        self.fresh = now;
                        self.settle(now, link);
                    }
                    if let (Some(newest), Some(in_force)) = (newest, self.in_force) {
                        self.clash(now, in_force, newest);
                    }
                }
                Ok(Some(Message::Newest(version, bytes))) => {
                    if !self.offered(now, version, bytes) {
                        return self.leave(now, link);
                    }
                }
                Ok(None) => return,
                // Nothing else is said to a gateway.
                Ok(Some(_)) | Err(_) => return self.leave(now, link),
            }
        }
    }

    /// What [`Out::Take`] asked for is stored and in force, or could not be taken: then nothing has changed.
    pub fn taken(&mut self, now: Duration, version: Version, result: Result<(), String>) {
        if self.taking != Some(version) {
            return;
        }
        self.taking = None;
        match result {
            Ok(()) => {
                self.in_force = Some(version);
                self.refused.take_if(|refused| refused.version.number <= version.number);
            }
            Err(why) => self.refuse(version, why),
        }
        self.tell(now);
        if let Some(next) = self.waiting.take() {
            self.take(next);
        }
    }

    /// Lets time act.
    pub fn tick(&mut self, now: Duration) {
        while let Some(link) = self.over(now) {
            self.leave(now, link);
        }
        if self.line.is_none() && now >= self.again {
            self.line = self.connect(now, self.turn);
        }
        if self.home.is_none() && self.home_at.is_some_and(|at| now >= at) {
            let own = pick(&mut self.dice, self.own.max(1));
            self.home_at = None;
            self.home = self.connect(now, own);
        }
        if now >= self.tell_at {
            self.tell(now);
        }
    }

    /// When [`Follower::tick`] has something to do next.
    pub fn due(&self) -> Duration {
        let silent = self.settings.pace.silent;
        let lines = [&self.line, &self.home].into_iter().flatten().map(|line| line.ends(silent));
        let again = self.line.is_none().then_some(self.again).filter(|_| !self.ring.is_empty());
        let home = self.home_at.filter(|_| self.home.is_none());
        lines.chain(again).chain(home).fold(self.tell_at, Duration::min)
    }

    /// What is to be done next.
    #[allow(clippy::should_implement_trait)] // It may have more later.
    pub fn next(&mut self) -> Option<Out> {
        // What is taken is decided last: one that wakes up late finds several versions, and takes the newest alone.
        self.out.pop_front().or_else(|| {
            let document = self.waiting.take_if(|_| self.taking.is_none())?;
            self.taking = Some(document.version());
            Some(Out::Take(document))
        })
    }

    /// How it stands.
    pub fn standing(&self, now: Duration) -> Standing {
        let silent = self.settings.pace.silent;
        let line = self.line.as_ref().filter(|line| line.said);
        let hears = line.is_some_and(|line| line.fresh.is_some_and(|fresh| now < fresh + silent));
        let cut_off = if hears { Duration::ZERO } else { now.saturating_sub(self.fresh) };
        Standing {
            in_force: self.in_force,
            refused: self.refused.clone(),
            machine: line.map(|line| line.machine),
            cut_off,
            older: self.older,
            conflicts: self.conflicts,
        }
    }

    /// A connection whose time is over.
    fn over(&self, now: Duration) -> Option<Link> {
        let silent = self.settings.pace.silent;
        let over = |line: &&Line| now >= line.ends(silent);
        [&self.home, &self.line].into_iter().flatten().find(over).map(|line| line.link)
    }

    fn line_of(&mut self, link: Link) -> Option<&mut Line> {
        [&mut self.line, &mut self.home].into_iter().flatten().find(|line| line.link == link)
    }

    /// Begins a connection to a machine of the ring.
    fn connect(&mut self, now: Duration, at: usize) -> Option<Line> {
        let machine = *self.ring.get(at)?;
        self.links += 1;
        let link = self.links;
        self.out.push_back(Out::Connect(link, machine));
        Some(Line { link, machine, up: None, heard: now, said: false, fresh: None, inbox: Inbox::default() })
    }

    /// Closes a connection, and goes on as if it had ended.
    fn leave(&mut self, now: Duration, link: Link) {
        self.out.push_back(Out::Close(link));
        self.closed(now, link);
    }

    /// The connection is lost: the other one if there is one, else the next machine of the ring; after a vain turn around
    /// it a pause that grows.
    fn go_on(&mut self, now: Duration) {
        if self.home.as_ref().is_some_and(|home| home.up.is_some()) {
            self.line = self.home.take();
            self.home_at = None;
            self.turn = 0;
            return;
        }
        if let Some(home) = self.home.take() {
            self.out.push_back(Out::Close(home.link));
        }
        self.home_at = None;
        self.turn = (self.turn + 1) % self.ring.len().max(1);
        self.vain += 1;
        self.again = now;
        if self.vain >= self.ring.len() {
            let longest = FIRST_PAUSE.saturating_mul(1 << self.turns.min(16)).min(self.settings.pace.pause);
            self.again = now + longest.mul_f64(0.5 + 0.5 * part(&mut self.dice));
            (self.vain, self.turn) = (0, 0);
            self.turns = self.turns.saturating_add(1);
        }
    }

    /// A fresh machine is heard: the second connection becomes the only one, and a machine that stays is a good one.
    fn settle(&mut self, now: Duration, link: Link) {
        if self.home.as_ref().is_some_and(|home| home.link == link) {
            if let Some(line) = std::mem::replace(&mut self.line, self.home.take()) {
                self.out.push_back(Out::Close(line.link));
            }
            self.turn = 0;
        }
        let Some(line) = &self.line else { return };
        let home = self.is_own(line.machine);
        // One that says it is fresh and is gone again was in vain, or the ring would be run around without a pause.
        if line.up.is_some_and(|up| now >= up + self.settings.pace.silent) {
            (self.vain, self.turns) = (0, 0);
        }
        if !home && self.home.is_none() && self.home_at.is_none() {
            self.plan_home(now);
        }
    }

    fn is_own(&self, machine: usize) -> bool {
        self.ring[..self.own].contains(&machine)
    }

    /// Its own zone's machine is tried at a drawn time, so that not all come home at once.
    fn plan_home(&mut self, now: Duration) {
        let away = self.line.as_ref().is_some_and(|line| !self.is_own(line.machine));
        let wait = self.settings.pace.home.mul_f64(part(&mut self.dice));
        self.home_at = (away && self.own > 0).then_some(now + wait);
    }

    /// Tells what is in force, over each connection that is up.
    fn tell(&mut self, now: Duration) {
        self.tell_at = now + self.settings.pace.tell;
        let said = self.said();
        let lines = [&self.line, &self.home].into_iter().flatten().filter(|line| line.up.is_some());
        self.out.extend(lines.map(|line| Out::Send(line.link, said.clone())));
    }

    fn said(&self) -> Arc<[u8]> {
        frame(&Message::InForce { version: self.in_force, refused: self.refused.clone() })
    }

    /// A version could not be taken. Only the newest such one is told, and it is not taken again.
    fn refuse(&mut self, version: Version, why: String) {
        if self.refused.as_ref().is_none_or(|refused| refused.version.number <= version.number) {
            self.refused = Some(Refusal { version, why: cut(why, LONGEST_WHY) });
        }
    }

    /// Whether a version has the number of another one and not its digest. That is told to the operators, once for each,
    /// and nothing is taken.
    fn clash(&mut self, now: Duration, known: Version, other: Version) -> bool {
        if known.number != other.number || known.digest == other.digest {
            return false;
        }
        if self.clashed != Some(other) {
            self.clashed = Some(other);
            self.conflicts += 1;
            let why = format!(
                "number {} came with two digests: {} and {}",
                known.number, known.digest, other.digest
            );
            self.refuse(other, why);
            self.tell(now);
        }
        true
    }

    /// A version is offered. False if its bytes do not fit it: whoever says so is left.
    fn offered(&mut self, now: Duration, version: Version, bytes: Arc<[u8]>) -> bool {
        // What is older than one that was refused is not gone back to either.
        let refused = self.refused.as_ref().map(|refused| refused.version);
        let known = [self.in_force, self.taking, self.waiting.as_ref().map(Document::version), refused];
        for known in known.into_iter().flatten() {
            if known == version || self.clash(now, known, version) {
                return true;
            }
            if version.number < known.number {
                self.older += 1;
                return true;
            }
        }
        match Document::of(version, bytes) {
            Some(document) => self.take(document),
            None => return false,
        }
        true
    }

    /// Has a version that is newer than all that are known wait until it can be taken.
    fn take(&mut self, document: Document) {
        let version = document.version();
        let refused = self.refused.as_ref().is_some_and(|refused| refused.version == version);
        let newer = self.in_force.is_none_or(|in_force| in_force.number < version.number);
        if refused || !newer {
            return;
        }
        self.waiting = Some(document);
    }
}

fn part(dice: &mut Pcg64Mcg) -> f64 {
    f64::from(dice.next_u32()) / f64::from(u32::MAX)
}

fn pick(dice: &mut Pcg64Mcg, of: usize) -> usize {
    (dice.next_u64() % of as u64) as usize
}
