//! A run: everything started, found, disturbed, measured, and ended whatever happens.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dunemount::fleet::file::VoterFile;
use dunemount::options::{FleetOptions, Place};
use dunemount_fleet::register::Slot;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::{json, Value};

use super::count::{self, Counts, Machine};
use super::discovery::Discovery;
use super::goal::{Goal, Progress, Want};
use super::hollow::{Common, Identity, Order, Shard, Word};
use super::plan::{Event, Plan};
use super::real::{self, unix_ms, Process, Spec};

/// Time between two looks at signals, memory and doors.
const LOOK: Duration = Duration::from_millis(200);
/// A gateway that runs slowly runs for the first, then stands for the second.
const SLOW: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(450));
const FLEET: &str = "scale";

/// What a gateway came to in one phase.
#[derive(Clone, Debug)]
pub struct Row {
    /// Which.
    pub gateway: usize,
    /// A process of the program.
    pub real: bool,
    /// It votes.
    pub voter: bool,
    /// What was counted; of a real one processor time only: the fleet's thread, and all others.
    pub counts: Counts,
    /// Memory in KiB at the end: of a real one its own, of a hollow one its part of what all have taken.
    pub memory: u64,
}

/// A part of the run: finding each other, the quiet time, and each event.
#[derive(Clone, Debug)]
pub struct Phase {
    /// Its name.
    pub name: String,
    /// Its length.
    pub length: Duration,
    /// Part of the machine's cores at work.
    pub busy: f64,
    /// UDP datagrams taken in and bytes over loopback, of the whole machine.
    pub traffic: (u64, u64),
    /// Calls to discovery, lists and bytes told.
    pub told: (u64, u64, u64),
    /// The gateways.
    pub rows: Vec<Row>,
    /// For an event: how many were to act, and after how long each did that has, in order.
    pub acted: Option<(usize, Vec<(usize, Duration)>)>,
}

/// What a run gave.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// In their order.
    pub phases: Vec<Phase>,
    /// Most memory of all processes at once, in MiB.
    pub most_memory: u64,
    /// Ids of the processes that were started; all have ended.
    pub started: Vec<u32>,
}

/// A folder that goes with its run.
struct Folder(PathBuf);

impl Folder {
    fn new() -> io::Result<Folder> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("dunemount-scale-{}-{number}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn name(gateway: usize) -> String {
    format!("gw-{gateway:04}")
}

fn number(name: &str) -> Option<usize> {
    name.strip_prefix("gw-")?.parse().ok()
}

/// The example's configuration with these places, this discovery and this list.
fn configuration(
    gateway: usize,
    plan: &Plan,
    door: &str,
    discovery: SocketAddr,
    known: Value,
) -> Result<String, String> {
    let example: Value = serde_json::from_str(include_str!("../../../../examples/config.json"))
        .map_err(|e| format!("the example: {e}"))?;
    let mut config = example;
    config["name"] = name(gateway).into();
    config["listen"] = "127.0.0.1:0".into();
    config["admin_addr"] = door.into();
    config["discovery"] = discovery.to_string().into();
    config["limits"] = json!({"cores": 1.0, "memory_mb": 256, "sockets": 256});
    config["known"] = known;
    config["settings"]["Balancers"] = plan.gateways().into();
    config["settings"]["Zone"] = format!("zone-{}", plan.zone(gateway)).into();
    Ok(config.to_string())
}

struct Run<'a> {
    plan: &'a Plan,
    stop: &'a AtomicBool,
    progress: &'a mut dyn FnMut(&str),
    until: Instant,
    dice: Pcg64Mcg,
    goals: usize,
    live: BTreeSet<usize>,
    /// Those that do nothing for the moment.
    stopped: BTreeSet<usize>,
    identities: Vec<Identity>,
    specs: BTreeMap<usize, Spec>,
    heard: Receiver<Word>,
    words: Sender<Word>,
    outcome: Outcome,
    /// Memory of this process before there were gateways, in KiB.
    before: u64,
    // Ended in this order: gateways, then what they call, then their files.
    shards: Vec<Shard>,
    processes: BTreeMap<usize, Process>,
    common: Arc<Common>,
    discovery: Discovery,
    _folder: Folder,
}

/// Plays a plan, and says what it gave and what broke it off, if anything did: what it gave is partial then. `stop`
/// breaks it off; `progress` is told what is being done. Everything that was started has ended in either case.
pub fn play(plan: &Plan, stop: &AtomicBool, progress: &mut dyn FnMut(&str)) -> (Outcome, Result<(), String>) {
    match Run::prepare(plan, stop, progress) {
        Ok(mut run) => {
            let played = run.play();
            (std::mem::take(&mut run.outcome), played)
        }
        Err(what) => (Outcome::default(), Err(format!("cannot prepare the run: {what}"))),
    }
}

impl<'a> Run<'a> {
    fn prepare(
        plan: &'a Plan,
        stop: &'a AtomicBool,
        progress: &'a mut dyn FnMut(&str),
    ) -> Result<Run<'a>, String> {
        let said = |e: io::Error| e.to_string();
        let folder = Folder::new().map_err(said)?;
        let discovery =
            Discovery::start(plan.hosts, plan.group_size, plan.zones, plan.whole).map_err(said)?;
        // All ports are held until each gateway has its own.
        let sockets: Vec<UdpSocket> = (0..plan.gateways())
            .map(|_| UdpSocket::bind("127.0.0.1:0"))
            .collect::<io::Result<_>>()
            .map_err(said)?;
        let doors: Vec<TcpListener> = (0..plan.real)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<io::Result<_>>()
            .map_err(said)?;
        let addresses: Vec<SocketAddr> =
            sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<_>>().map_err(said)?;
        let doors: Vec<SocketAddr> = {
            let found = doors.iter().map(TcpListener::local_addr).collect::<io::Result<_>>();
            found.map_err(said)?
        };
        drop(sockets);
        let voters: Vec<Place> = (0..plan.voters)
            .map(|gateway| Place { name: name(gateway), address: addresses[gateway] })
            .collect();
        let mut dice = Pcg64Mcg::seed_from_u64(plan.seed);
        let mut identities = Vec::new();
        for (index, address) in addresses.iter().enumerate() {
            let file = (index < plan.voters).then(|| folder.0.join(format!("voter-{index}")));
            if let Some(file) = &file {
                VoterFile::at(file).found(Slot(index as u8)).map_err(said)?;
            }
            let fleet = FleetOptions {
                name: Some(FLEET.into()),
                listen: Some(*address),
                voters: voters.clone(),
                seeds: Vec::new(),
                size: plan.gateways() as u32,
                lease_ms: plan.lease_ms,
                probe_ms: plan.probe_ms,
                file: file.clone(),
            };
            let region = plan.region(index);
            identities.push(Identity {
                index,
                name: name(index),
                region,
                fleet,
                file,
                seed: dice.next_u64(),
            });
        }
        let groups = plan.hosts.div_ceil(plan.group_size).min(plan.roles);
        let mut specs = BTreeMap::new();
        for (index, door) in (plan.hollow..plan.gateways()).zip(doors) {
            let folder = folder.0.join(name(index));
            let known = discovery.known(plan.roles);
            let config = configuration(index, plan, &door.to_string(), discovery.address, known)?;
            real::lay_out(&folder, &config, &settings(&identities[index].fleet)).map_err(said)?;
            let program = program(&plan.program)?;
            specs.insert(index, Spec { index, program, folder, door, number });
        }
        let regions = addresses.iter().enumerate().map(|(index, address)| (*address, plan.region(index)));
        let common = Common {
            gateways: plan.gateways(),
            regions: regions.collect(),
            apart: AtomicBool::new(false),
            discovery: discovery.address,
            configuration: configuration(0, plan, "127.0.0.1:0", discovery.address, discovery.known(0))?,
            router: plan.router,
            roles: (0..groups).map(|group| format!("survey/{group}")).collect(),
            number,
        };
        let common = Arc::new(common);
        let (words, heard) = channel();
        let mut shards = Vec::new();
        // A voter waits for its disk: each has a thread of its own, as in the program.
        for _ in 0..plan.voters.min(plan.hollow) + plan.threads.min(plan.hollow) {
            shards.push(Shard::start(common.clone(), words.clone()).map_err(said)?);
        }
        Ok(Run {
            plan,
            stop,
            progress,
            until: Instant::now() + plan.longest,
            dice,
            goals: 0,
            live: BTreeSet::new(),
            stopped: BTreeSet::new(),
            identities,
            specs,
            heard,
            words,
            outcome: Outcome::default(),
            before: count::resident("self").unwrap_or(0),
            shards,
            processes: BTreeMap::new(),
            common,
            discovery,
            _folder: folder,
        })
    }

    fn play(&mut self) -> Result<(), String> {
        let all: Vec<usize> = (0..self.plan.gateways()).collect();
        let goal = self.goal(|_, _| Want::From(1));
        let settle = self.plan.join;
        self.step("join", goal, &BTreeSet::new(), settle, |run| {
            all.iter().try_for_each(|gateway| run.start(*gateway))?;
            run.wait_for_processes()?;
            Ok(Instant::now())
        })?;
        let quiet = self.plan.quiet;
        self.phase("quiet", |run| run.pause(quiet).map(|()| None))?;
        for event in &self.plan.events {
            self.event(*event)?;
        }
        self.look()
    }

    // ---- What happens ----

    fn event(&mut self, event: Event) -> Result<(), String> {
        let (settle, word) = (self.plan.settle, event.word());
        let none = BTreeSet::new();
        match event {
            Event::List(hosts) => {
                let goal = self.goal_of_version(self.discovery.version() + 1);
                self.step(word, goal, &none, settle, |run| {
                    run.discovery.move_hosts(hosts);
                    Ok(Instant::now())
                })
            }
            Event::Primary => {
                let goal = self.goal_of_version(self.discovery.version() + 1);
                self.step(word, goal, &none, settle, |run| {
                    run.discovery.move_primary();
                    Ok(Instant::now())
                })
            }
            Event::Configuration => {
                let goal = Goal { configuration: true, ..self.goal(|_, _| Want::Any) };
                self.step(word, goal, &none, settle, |run| {
                    let began = Instant::now();
                    run.tell_all(|| Order::Configure);
                    run.processes.values().try_for_each(|process| process.signal(Signal::HUP))?;
                    Ok(began)
                })
            }
            Event::Death => {
                let victims = self.draw(1, |_| true);
                self.die(word, &victims)
            }
            Event::Rack(size) => {
                let zone = self.dice.next_u32() as usize % self.plan.zones;
                let plan = self.plan;
                let victims = self.draw(size, |gateway| plan.zone(gateway) == zone);
                self.die(word, &victims)
            }
            Event::Zone(zone, time) => {
                let plan = self.plan;
                let gone: Vec<usize> =
                    self.live.iter().copied().filter(|gateway| plan.zone(*gateway) == zone).collect();
                let lost = Instant::now();
                self.die(word, &gone)?;
                self.pause(time.saturating_sub(lost.elapsed()))?;
                self.come_back("zone back", &gone, Duration::ZERO)
            }
            Event::Restarts(count, pause) => {
                let chosen = self.draw(count, |_| true);
                self.come_back(word, &chosen, pause)
            }
            Event::Apart(time) => {
                let goal = self.goal_of_regions();
                let cut = Instant::now();
                self.step(word, goal, &none, settle, |run| {
                    run.common.apart.store(true, Ordering::Relaxed);
                    Ok(Instant::now())
                })?;
                self.pause(time.saturating_sub(cut.elapsed()))?;
                let goal = self.goal_of_live(1);
                self.step("joined", goal, &none, settle, |run| {
                    run.common.apart.store(false, Ordering::Relaxed);
                    Ok(Instant::now())
                })
            }
            Event::Stopped(time) => {
                let chosen = self.draw(1, |_| true);
                let stopped: BTreeSet<usize> = chosen.iter().copied().collect();
                let goal =
                    self.goal(|_, other| if stopped.contains(&other) { Want::Gone } else { Want::Any });
                let began = Instant::now();
                self.step(word, goal, &stopped, settle.min(time), |run| {
                    run.freeze(&stopped, true)?;
                    Ok(Instant::now())
                })?;
                self.pause(time.saturating_sub(began.elapsed()))?;
                let goal = self.goal_of_live(1);
                self.step("goes on", goal, &none, settle, |run| {
                    run.freeze(&stopped, false)?;
                    Ok(Instant::now())
                })
            }
            Event::Slow(time) => {
                let slow: BTreeSet<usize> = self.draw(1, |_| true).into_iter().collect();
                self.phase(word, |run| {
                    let end = Instant::now() + time;
                    while Instant::now() < end {
                        run.freeze(&slow, true)?;
                        run.pause(SLOW.1)?;
                        run.freeze(&slow, false)?;
                        run.pause(SLOW.0)?;
                    }
                    Ok(None)
                })?;
                let goal = self.goal_of_live(1);
                self.step("slow no more", goal, &none, settle, |_| Ok(Instant::now()))
            }
        }
    }

    /// Gateways end without a word; those that are left see them gone.
    fn die(&mut self, word: &str, victims: &[usize]) -> Result<(), String> {
        let dead: BTreeSet<usize> = victims.iter().copied().collect();
        let goal = self.goal(|_, other| if dead.contains(&other) { Want::Gone } else { Want::Any });
        self.step(word, goal, &dead, self.plan.settle, |run| {
            let began = Instant::now();
            victims.iter().for_each(|gateway| run.kill(*gateway));
            Ok(began)
        })
    }

    /// Gateways start, anew or for the first time since they were lost, one after the other; counted from the last.
    fn come_back(&mut self, word: &str, chosen: &[usize], pause: Duration) -> Result<(), String> {
        let new: BTreeSet<usize> = chosen.iter().copied().collect();
        let least = unix_ms();
        let live: BTreeSet<usize> = self.live.union(&new).copied().collect();
        let goal = self.goal(|_, other| match (new.contains(&other), live.contains(&other)) {
            (true, _) => Want::From(least),
            (false, true) => Want::From(1),
            (false, false) => Want::Any,
        });
        // A start within the millisecond of the one before would be the same start.
        std::thread::sleep(Duration::from_millis(2));
        self.step(word, goal, &BTreeSet::new(), self.plan.settle, |run| {
            for (place, gateway) in chosen.iter().enumerate() {
                if place > 0 {
                    run.pause(pause)?;
                }
                run.kill(*gateway);
                run.start(*gateway)?;
            }
            Ok(Instant::now())
        })
    }

    /// So many of the live ones that do not vote, drawn evenly.
    fn draw(&mut self, count: usize, fit: impl Fn(usize) -> bool) -> Vec<usize> {
        let voters = self.plan.voters;
        let mut fit: Vec<usize> =
            self.live.iter().copied().filter(|gateway| *gateway >= voters && fit(*gateway)).collect();
        let count = count.min(fit.len());
        for place in 0..count {
            let other = place + self.dice.next_u32() as usize % (fit.len() - place);
            fit.swap(place, other);
        }
        fit.truncate(count);
        fit
    }

    // ---- Goals ----

    /// A goal by what a gateway of a region is to know of another; lists and configuration as they are.
    fn goal(&mut self, want: impl Fn(usize, usize) -> Want) -> Goal {
        self.goals += 1;
        let others = |region| (0..self.plan.gateways()).map(|other| want(region, other)).collect();
        let others = (0..self.plan.regions).map(others).collect();
        Goal { id: self.goals, others, version: self.discovery.version(), configuration: false }
    }

    fn goal_of_version(&mut self, version: u64) -> Goal {
        Goal { version, ..self.goal(|_, _| Want::Any) }
    }

    fn goal_of_live(&mut self, least: u64) -> Goal {
        let live = self.live.clone();
        self.goal(|_, other| if live.contains(&other) { Want::From(least) } else { Want::Any })
    }

    fn goal_of_regions(&mut self) -> Goal {
        let plan = self.plan;
        self.goal(|region, other| if plan.region(other) == region { Want::Any } else { Want::Gone })
    }

    // ---- Gateways ----

    /// The thread of a hollow gateway; none of a process.
    fn shard(&self, gateway: usize) -> Option<&Shard> {
        if gateway >= self.plan.hollow {
            return None;
        }
        let voters = self.plan.voters.min(self.plan.hollow);
        let shared = self.shards.len().saturating_sub(voters).max(1);
        self.shards.get(if gateway < voters { gateway } else { voters + gateway % shared })
    }

    fn tell_all(&self, order: impl Fn() -> Order) {
        self.shards.iter().for_each(|shard| shard.tell(order()));
    }

    fn start(&mut self, gateway: usize) -> Result<(), String> {
        let Some(identity) = self.identities.get(gateway).cloned() else { return Ok(()) };
        if let Some(shard) = self.shard(gateway) {
            shard.tell(Order::Start(Box::new(identity), unix_ms()));
        } else if let Some(spec) = self.specs.get(&gateway).cloned() {
            let progress = Progress::new(gateway, identity.region, self.plan.gateways());
            let program = spec.program.display().to_string();
            let started = Process::start(spec, progress, self.words.clone());
            let process = started.map_err(|e| format!("{program} cannot be started: {e}"))?;
            self.outcome.started.push(process.id());
            self.processes.insert(gateway, process);
        }
        self.live.insert(gateway);
        Ok(())
    }

    /// Ends one without a word.
    fn kill(&mut self, gateway: usize) {
        match self.shard(gateway) {
            Some(shard) => shard.tell(Order::Kill(gateway)),
            None => drop(self.processes.remove(&gateway)),
        }
        self.live.remove(&gateway);
    }

    fn freeze(&mut self, chosen: &BTreeSet<usize>, frozen: bool) -> Result<(), String> {
        for gateway in chosen {
            match (self.shard(*gateway), self.processes.get(gateway)) {
                (Some(shard), _) => shard.tell(Order::Freeze(*gateway, frozen)),
                (None, Some(process)) => process.signal(if frozen { Signal::STOP } else { Signal::CONT })?,
                (None, None) => {}
            }
            if frozen {
                self.stopped.insert(*gateway);
            } else {
                self.stopped.remove(gateway);
            }
        }
        Ok(())
    }

    fn wait_for_processes(&mut self) -> Result<(), String> {
        let until = Instant::now() + self.plan.join;
        while let Some(gateway) =
            self.processes.iter().find(|(_, process)| !process.is_up()).map(|(at, _)| *at)
        {
            if Instant::now() >= until {
                return Err(format!("gateway {gateway} does not listen"));
            }
            match self.heard.recv_timeout(Duration::from_millis(20)) {
                Ok(Word::Failed(what)) => return Err(what),
                _ => self.look()?,
            }
        }
        Ok(())
    }

    // ---- Measuring ----

    /// Whether the run may go on; also what it takes of memory.
    fn look(&mut self) -> Result<(), String> {
        if self.stop.load(Ordering::Relaxed) {
            return Err("interrupted".into());
        }
        if Instant::now() >= self.until {
            return Err(format!("not over after {} s ([run] longest_s)", self.plan.longest.as_secs()));
        }
        let others: u64 = self.processes.values().map(Process::resident).sum();
        let memory = (count::resident("self").unwrap_or(0) + others) / 1024;
        self.outcome.most_memory = memory.max(self.outcome.most_memory);
        if memory > self.plan.memory {
            return Err(format!("{memory} MiB taken, {} allowed ([run] memory_mb)", self.plan.memory));
        }
        Ok(())
    }

    fn pause(&mut self, time: Duration) -> Result<(), String> {
        let until = Instant::now() + time;
        loop {
            self.look()?;
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(LOOK));
        }
    }

    /// Something happens, and all that live and are not left out go after a goal.
    fn step(
        &mut self,
        name: &str,
        goal: Goal,
        left_out: &BTreeSet<usize>,
        settle: Duration,
        act: impl FnOnce(&mut Self) -> Result<Instant, String>,
    ) -> Result<(), String> {
        let (id, goal) = (goal.id, Arc::new(goal));
        self.phase(name, |run| {
            run.pursue(&goal);
            let began = act(run)?;
            // Those that were started by it do not know the goal yet.
            run.pursue(&goal);
            let waited: BTreeSet<usize> = run
                .live
                .difference(left_out)
                .copied()
                .filter(|gateway| !run.stopped.contains(gateway))
                .collect();
            run.await_all(id, began, &waited, settle).map(Some)
        })
    }

    fn pursue(&self, goal: &Arc<Goal>) {
        self.tell_all(|| Order::Pursue(goal.clone()));
        self.processes.values().for_each(|process| process.pursue(goal.clone()));
    }

    fn await_all(
        &mut self,
        id: usize,
        began: Instant,
        waited: &BTreeSet<usize>,
        settle: Duration,
    ) -> Result<(usize, Vec<(usize, Duration)>), String> {
        let mut acted = BTreeMap::new();
        let until = Instant::now() + settle;
        let mut next_look = Instant::now();
        while acted.len() < waited.len() && Instant::now() < until {
            match self.heard.recv_timeout(Duration::from_millis(20)) {
                Ok(Word::Acted { gateway, goal, at }) if goal == id && waited.contains(&gateway) => {
                    let time: &mut Duration = acted.entry(gateway).or_default();
                    *time = at.saturating_duration_since(began);
                }
                Ok(Word::Acted { .. }) | Err(RecvTimeoutError::Timeout) => {}
                Ok(Word::Failed(what)) => return Err(what),
                Err(RecvTimeoutError::Disconnected) => return Err("all gateways have ended".into()),
            }
            if Instant::now() >= next_look {
                self.look()?;
                let asked =
                    self.processes.iter().filter(|(at, _)| waited.contains(at) && !acted.contains_key(at));
                asked.for_each(|(_, process)| process.ask(self.plan.gateways()));
                (self.progress)(&format!("event {id}: {} of {} have acted", acted.len(), waited.len()));
                next_look = Instant::now() + LOOK;
            }
        }
        let mut acted: Vec<(usize, Duration)> = acted.into_iter().collect();
        acted.sort_by_key(|(_, time)| *time);
        Ok((waited.len(), acted))
    }

    fn counts(&self) -> Result<BTreeMap<usize, Counts>, String> {
        let (back, counted) = channel();
        self.tell_all(|| Order::Count(back.clone()));
        drop(back);
        let mut counts: BTreeMap<usize, Counts> = BTreeMap::new();
        for _ in &self.shards {
            let some = counted.recv_timeout(self.plan.settle);
            counts.extend(some.map_err(|_| "a thread of hollow gateways does not hand in its counts")?);
        }
        for (gateway, process) in &self.processes {
            let (fleet, all, _) = process.sample();
            let list_cpu = all.saturating_sub(fleet);
            let (losses, mistaken) = process.losses();
            let counted = Counts { fleet_cpu: fleet, list_cpu, losses, mistaken, ..Counts::default() };
            counts.insert(*gateway, counted);
        }
        Ok(counts)
    }

    /// Does something and books what it took.
    fn phase(
        &mut self,
        name: &str,
        act: impl FnOnce(&mut Self) -> Result<Option<(usize, Vec<(usize, Duration)>)>, String>,
    ) -> Result<(), String> {
        (self.progress)(name);
        let told = |run: &Self| {
            let told = &run.discovery.told;
            let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
            (read(&told.calls), read(&told.lists), read(&told.bytes))
        };
        let (told_before, before, machine) = (told(self), self.counts()?, Machine::look());
        let began = Instant::now();
        let acted = act(self)?;
        let length = began.elapsed();
        let (after, now, told_after) = (self.counts()?, Machine::look(), told(self));
        let hollow = self.live.range(..self.plan.hollow).count().max(1) as u64;
        let own = count::resident("self").unwrap_or(0).saturating_sub(self.before) / hollow;
        let rows = after.iter().map(|(gateway, counts)| {
            let before = before.get(gateway).copied().unwrap_or_default();
            let real = *gateway >= self.plan.hollow;
            let memory = self.processes.get(gateway).map_or(own, Process::resident);
            let voter = *gateway < self.plan.voters;
            Row { gateway: *gateway, real, voter, counts: counts.since(&before), memory }
        });
        self.outcome.phases.push(Phase {
            name: name.to_string(),
            length,
            busy: now.busy_since(&machine),
            traffic: now.traffic_since(&machine),
            told: (told_after.0 - told_before.0, told_after.1 - told_before.1, told_after.2 - told_before.2),
            rows: rows.collect(),
            acted,
        });
        Ok(())
    }
}

/// The program, so that it is found from any folder.
fn program(path: &Path) -> Result<PathBuf, String> {
    fs::canonicalize(path).map_err(|e| format!("[run] program: {}: {e}", path.display()))
}

/// `[fleet]` as a process of the program reads it.
fn settings(fleet: &FleetOptions) -> String {
    let voters: Vec<String> =
        fleet.voters.iter().map(|place| format!("{}@{}", place.name, place.address)).collect();
    let mut text = format!(
        "[fleet]\nname = {FLEET}\nvoters = {}\nsize = {}\nlease_ms = {}\nprobe_ms = {}\n",
        voters.join(", "),
        fleet.size,
        fleet.lease_ms,
        fleet.probe_ms
    );
    if let Some(listen) = fleet.listen {
        text += &format!("listen = {listen}\n");
    }
    if let Some(file) = &fleet.file {
        text += &format!("file = {}\n", file.display());
    }
    text
}
