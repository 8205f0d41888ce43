//! A run: everything started, found, disturbed, measured, and ended whatever happens.

mod versions;

use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dunemount::fleet::file::VoterFile;
use dunemount::settings_file::{FleetSettings, NamedAddress};
use dunemount_fleet::register::Slot;
use dunemount_rollout::follower;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::{json, Value};

use self::versions::Loss;
use super::control::{self, Heard, InForce, Machines};
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
/// Ports are drawn from here on, up to the first that the system gives by itself, at least over this range.
const PORTS: std::ops::Range<u16> = 10_000..20_000;
/// Draws until a port is free.
const TRIES: usize = 1_000;

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

/// What a control machine's process came to in one phase.
#[derive(Clone, Debug)]
pub struct MachineRow {
    /// Which, by its place.
    pub machine: usize,
    /// Processor time.
    pub cpu: Duration,
    /// Memory in KiB at the end.
    pub memory: u64,
    /// Gateways that heard it at the end.
    pub gateways: usize,
}

/// A part of the run: finding each other, the quiet time, and each event.
#[derive(Clone, Debug, Default)]
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
    /// The control machines that are there.
    pub machines: Vec<MachineRow>,
    /// The versions that were put.
    pub versions: Vec<InForce>,
    /// For a control machine that came back: most gateways that came to it within one second.
    pub arrivals: Option<usize>,
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
    /// The newest version that each gateway has had in force.
    pub in_force: BTreeMap<usize, u64>,
    /// How often a gateway went back to an older version.
    pub fallen: u64,
    /// Why versions were not accepted.
    pub refusals: Vec<String>,
}

/// What came of something that happened.
#[derive(Default)]
struct Found {
    acted: Option<(usize, Vec<(usize, Duration)>)>,
    versions: Vec<InForce>,
    arrivals: Option<usize>,
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

/// A control machine's name, by its place, which is its zone too.
fn control_name(place: usize) -> String {
    format!("control-{place}")
}

fn control_number(name: &str) -> Option<usize> {
    name.strip_prefix("control-")?.parse().ok()
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
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
    config["settings"]["Zone"] = zone_name(plan.zone(gateway)).into();
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
    control: BTreeMap<usize, Process>,
    control_specs: Vec<Spec>,
    versions: control::Progress,
    hears: Heard,
    /// Versions put so far.
    put: u64,
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
        let sockets: Vec<UdpSocket> = (0..plan.gateways() + plan.control)
            .map(|_| bind(UdpSocket::bind::<SocketAddr>))
            .collect::<io::Result<_>>()
            .map_err(said)?;
        let doors: Vec<TcpListener> = (0..plan.real + plan.control)
            .map(|_| bind(TcpListener::bind::<SocketAddr>))
            .collect::<io::Result<_>>()
            .map_err(said)?;
        let addresses: Vec<SocketAddr> =
            sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<_>>().map_err(said)?;
        let doors: Vec<SocketAddr> = {
            let found = doors.iter().map(TcpListener::local_addr).collect::<io::Result<_>>();
            found.map_err(said)?
        };
        drop(sockets);
        // Control machines come behind the gateways.
        let (doors, control_doors) = doors.split_at(plan.real);
        let machines = control_doors.iter().enumerate().map(|(place, address)| control::Place {
            machine: follower::Machine { name: control_name(place), zone: zone_name(place) },
            address: *address,
        });
        let machines = Machines(Arc::new(machines.collect()));
        let voters: Vec<NamedAddress> = (0..plan.voters)
            .map(|place| match plan.control {
                0 => NamedAddress { name: name(place), address: addresses[place] },
                _ => NamedAddress { name: control_name(place), address: addresses[plan.gateways() + place] },
            })
            .collect();
        let file_of = |place: usize| -> Result<Option<PathBuf>, String> {
            if place >= plan.voters {
                return Ok(None);
            }
            let file = folder.0.join(format!("voter-{place}"));
            VoterFile::at(&file).found(Slot(place as u8)).map_err(said)?;
            Ok(Some(file))
        };
        let fleet_of = |listen: SocketAddr, file: Option<PathBuf>| FleetSettings {
            name: Some(FLEET.into()),
            listen: Some(listen),
            voters: voters.clone(),
            seeds: Vec::new(),
            size: (plan.gateways() + plan.control) as u32,
            lease_ms: plan.lease_ms,
            probe_ms: plan.probe_ms,
            file,
        };
        let (addresses, control_addresses) = addresses.split_at(plan.gateways());
        let mut dice = Pcg64Mcg::seed_from_u64(plan.seed);
        let mut identities = Vec::new();
        for (index, address) in addresses.iter().enumerate() {
            let file = if index < plan.voting_gateways() { file_of(index)? } else { None };
            identities.push(Identity {
                index,
                name: name(index),
                region: plan.region(index),
                fleet: fleet_of(*address, file.clone()),
                file,
                zone: zone_name(plan.zone(index)),
                kept: folder.0.join(format!("kept-{index}")),
                seed: dice.next_u64(),
            });
        }
        let numbers = [number as fn(&str) -> Option<usize>, control_number];
        let mut control_specs = Vec::new();
        for (place, (address, listen)) in control_addresses.iter().zip(control_doors).enumerate() {
            let own = folder.0.join(control_name(place));
            let text = settings(&fleet_of(*address, file_of(place)?))
                + &machines.settings(&zone_name(place), &own.join("kept"));
            real::lay_out(&own, None, &text).map_err(said)?;
            control_specs.push(Spec {
                index: place,
                who: format!("control machine {place}"),
                program: program(&plan.program)?,
                arguments: ["fleet", "control", "--name", &control_name(place)].map(str::to_string).to_vec(),
                folder: own,
                door: *listen,
                numbers,
            });
        }
        let groups = plan.hosts.div_ceil(plan.group_size).min(plan.roles);
        let mut specs = BTreeMap::new();
        for (index, door) in (plan.hollow..plan.gateways()).zip(doors) {
            let folder = folder.0.join(name(index));
            let known = discovery.known(plan.roles);
            let config = configuration(index, plan, &door.to_string(), discovery.address, known)?;
            let text = settings(&identities[index].fleet)
                + &machines.settings(&zone_name(plan.zone(index)), &folder.join("kept"));
            real::lay_out(&folder, Some(&config), &text).map_err(said)?;
            let program = program(&plan.program)?;
            let config = folder.join("config.json").display().to_string();
            let arguments = vec!["serve".to_string(), "--config".to_string(), config];
            let who = format!("gateway {index}");
            specs.insert(index, Spec { index, who, program, arguments, folder, door: *door, numbers });
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
            machines,
            pace: plan.pace,
            number,
        };
        let common = Arc::new(common);
        let (words, heard) = channel();
        let mut shards = Vec::new();
        // A voter waits for its disk: each has a thread of its own, as in the program.
        for _ in 0..plan.voting_gateways().min(plan.hollow) + plan.threads.min(plan.hollow) {
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
            control: BTreeMap::new(),
            control_specs,
            versions: control::Progress::default(),
            hears: Heard::default(),
            put: 0,
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
            (0..run.plan.control).try_for_each(|place| run.start_control(place))?;
            run.wait_for_control()?;
            all.iter().try_for_each(|gateway| run.start(*gateway))?;
            run.wait_for_processes()?;
            Ok(Instant::now())
        })?;
        let quiet = self.plan.quiet;
        self.phase("quiet", |run| run.pause(quiet).map(|()| Found::default()))?;
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
                self.die(word, &victims, None)
            }
            Event::Rack(size) => {
                let zone = self.dice.next_u32() as usize % self.plan.zones;
                let plan = self.plan;
                let victims = self.draw(size, |gateway| plan.zone(gateway) == zone);
                self.die(word, &victims, None)
            }
            Event::Zone(zone, time) => {
                let plan = self.plan;
                let gone: Vec<usize> =
                    self.live.iter().copied().filter(|gateway| plan.zone(*gateway) == zone).collect();
                let lost = Instant::now();
                self.die(word, &gone, Some(zone))?;
                self.pause(time.saturating_sub(lost.elapsed()))?;
                self.start_control(zone)?;
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
                    Ok(Found::default())
                })?;
                let goal = self.goal_of_live(1);
                self.step("slow no more", goal, &none, settle, |_| Ok(Instant::now()))
            }
            Event::Version(count, pause) => self.put_versions(word, count, pause, None),
            Event::Behind(time) => {
                let behind = self.draw(1, |_| true).first().map(|gateway| (*gateway, time));
                self.put_versions(word, 1, Duration::ZERO, behind)
            }
            Event::Control(time) => self.lose_control(word, time, Loss::Killed),
            Event::Silent(time) => self.lose_control(word, time, Loss::Stopped),
        }
    }

    /// Those that live and are not stopped.
    fn awake(&self) -> BTreeSet<usize> {
        self.live.difference(&self.stopped).copied().collect()
    }

    /// Gateways end without a word, and a control machine with them; those that are left see them gone.
    fn die(&mut self, word: &str, victims: &[usize], machine: Option<usize>) -> Result<(), String> {
        let dead: BTreeSet<usize> = victims.iter().copied().collect();
        let goal = self.goal(|_, other| if dead.contains(&other) { Want::Gone } else { Want::Any });
        self.step(word, goal, &dead, self.plan.settle, |run| {
            let began = Instant::now();
            victims.iter().for_each(|gateway| run.kill(*gateway));
            machine.map(|place| run.control.remove(&place));
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
        let voters = self.plan.voting_gateways();
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
        let voters = self.plan.voting_gateways().min(self.plan.hollow);
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
        self.hears.note(gateway, None, Instant::now());
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

    fn start_control(&mut self, place: usize) -> Result<(), String> {
        let Some(spec) = self.control_specs.get(place).cloned() else { return Ok(()) };
        let program = spec.program.display().to_string();
        let progress = Progress::new(place, 0, 0);
        let started = Process::start(spec, progress, self.words.clone());
        let process = started.map_err(|e| format!("{program} cannot be started: {e}"))?;
        self.outcome.started.push(process.id());
        self.control.insert(place, process);
        Ok(())
    }

    /// Waits until each control machine knows what the newest version is.
    fn wait_for_control(&mut self) -> Result<(), String> {
        let until = Instant::now() + self.plan.join;
        for place in 0..self.plan.control {
            let at = self.control_specs[place].door;
            while !control::status(FLEET, at).is_ok_and(|status| status.fresh) {
                if Instant::now() >= until {
                    return Err(format!("{} is not fresh", self.control_specs[place].who));
                }
                self.hear()?;
                self.look()?;
            }
        }
        Ok(())
    }

    fn wait_for_processes(&mut self) -> Result<(), String> {
        let until = Instant::now() + self.plan.join;
        while let Some(process) = self.processes.values().find(|process| !process.is_up()) {
            if Instant::now() >= until {
                return Err(format!("{} does not listen", process.who()));
            }
            // Its log leaves out lines where many others come, and the one that it listens may be among them.
            process.ask(self.plan.gateways());
            self.hear()?;
            self.look()?;
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
        let others: u64 = self.processes.values().chain(self.control.values()).map(Process::resident).sum();
        let memory = (count::resident("self").unwrap_or(0) + others) / 1024;
        self.outcome.most_memory = memory.max(self.outcome.most_memory);
        if memory > self.plan.memory {
            return Err(format!("{memory} MiB taken, {} allowed ([run] memory_mb)", self.plan.memory));
        }
        Ok(())
    }

    /// Hears one word, if one comes soon: a gateway that has reached a goal is handed out, the rest is noted.
    fn hear(&mut self) -> Result<Option<(usize, usize, Instant)>, String> {
        match self.heard.recv_timeout(Duration::from_millis(20)) {
            Ok(word) => self.note(word),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(RecvTimeoutError::Disconnected) => Err("all gateways have ended".into()),
        }
    }

    /// Notes what has been said before something begins.
    fn drain(&mut self) -> Result<(), String> {
        while let Ok(word) = self.heard.try_recv() {
            self.note(word)?;
        }
        Ok(())
    }

    fn note(&mut self, word: Word) -> Result<Option<(usize, usize, Instant)>, String> {
        match word {
            Word::Acted { gateway, goal, at } => return Ok(Some((gateway, goal, at))),
            Word::Took { gateway, number, at } => self.versions.took(gateway, number, at),
            Word::Hears { gateway, machine, at } => self.hears.note(gateway, machine, at),
            Word::Put(put) => self.versions.put(put),
            Word::Failed(what) => return Err(what),
        }
        Ok(None)
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
            let acted = run.await_all(id, began, &waited, settle)?;
            Ok(Found { acted: Some(acted), ..Found::default() })
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
            if let Some((gateway, _, at)) =
                self.hear()?.filter(|(gateway, goal, _)| *goal == id && waited.contains(gateway))
            {
                let time: &mut Duration = acted.entry(gateway).or_default();
                *time = at.saturating_duration_since(began);
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
            let ([fleet_cpu, control_cpu], all) = process.sample();
            let list_cpu = all.saturating_sub(fleet_cpu + control_cpu);
            let (losses, mistaken) = process.losses();
            let counted = Counts { fleet_cpu, list_cpu, control_cpu, losses, mistaken, ..Counts::default() };
            counts.insert(*gateway, counted);
        }
        Ok(counts)
    }

    /// Each control machine's process, its processor time and its memory.
    fn sample_control(&self) -> BTreeMap<usize, (u32, Duration, u64)> {
        let sample = |(place, process): (&usize, &Process)| {
            (*place, (process.id(), process.sample().1, process.resident()))
        };
        self.control.iter().map(sample).collect()
    }

    /// Does something and books what it took.
    fn phase(
        &mut self,
        name: &str,
        act: impl FnOnce(&mut Self) -> Result<Found, String>,
    ) -> Result<(), String> {
        (self.progress)(name);
        let told = |run: &Self| {
            let told = &run.discovery.told;
            let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
            (read(&told.calls), read(&told.lists), read(&told.bytes))
        };
        let (told_before, before, machine) = (told(self), self.counts()?, Machine::look());
        let control = self.sample_control();
        let began = Instant::now();
        let Found { acted, versions, arrivals } = act(self)?;
        let length = began.elapsed();
        let (after, now, told_after) = (self.counts()?, Machine::look(), told(self));
        let hollow = self.live.range(..self.plan.hollow).count().max(1) as u64;
        let own = count::resident("self").unwrap_or(0).saturating_sub(self.before) / hollow;
        let rows = after.iter().map(|(gateway, counts)| {
            let before = before.get(gateway).copied().unwrap_or_default();
            let real = *gateway >= self.plan.hollow;
            let memory = self.processes.get(gateway).map_or(own, Process::resident);
            let voter = *gateway < self.plan.voting_gateways();
            Row { gateway: *gateway, real, voter, counts: counts.since(&before), memory }
        });
        let machines = self.sample_control().into_iter().map(|(place, (id, cpu, memory))| {
            // One that was started since has a count of its own.
            let before = control.get(&place).filter(|before| before.0 == id);
            let cpu = cpu.saturating_sub(before.map_or(Duration::ZERO, |before| before.1));
            let gateways = self.hears.hearing(place);
            MachineRow { machine: place, cpu, memory, gateways }
        });
        let machines = machines.collect();
        self.outcome.fallen = self.versions.fallen;
        self.outcome.in_force = self.versions.newest.clone();
        self.outcome.phases.push(Phase {
            name: name.to_string(),
            length,
            busy: now.busy_since(&machine),
            traffic: now.traffic_since(&machine),
            told: (told_after.0 - told_before.0, told_after.1 - told_before.1, told_after.2 - told_before.2),
            rows: rows.collect(),
            acted,
            machines,
            versions,
            arrivals,
        });
        Ok(())
    }
}

/// Has a port of loopback that the system gives to nobody by itself: what it gives to connections could be taken between
/// the choice and the start of the process that is told the port, or while a control machine is away.
fn bind<T>(to: impl Fn(SocketAddr) -> io::Result<T>) -> io::Result<T> {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let least = range.split_whitespace().next().and_then(|text| text.parse().ok()).unwrap_or(32_768u16);
    let ports = PORTS.start..least.max(PORTS.end);
    let mut last = io::ErrorKind::AddrNotAvailable.into();
    for _ in 0..TRIES {
        // Another run on the machine draws others, whatever its seed.
        let drawn = RandomState::new().build_hasher().finish() % u64::from(ports.end - ports.start);
        match to(SocketAddr::from(([127, 0, 0, 1], ports.start + drawn as u16))) {
            Ok(bound) => return Ok(bound),
            Err(e) => last = e,
        }
    }
    Err(last)
}

/// The program, so that it is found from any folder.
fn program(path: &Path) -> Result<PathBuf, String> {
    fs::canonicalize(path).map_err(|e| format!("[run] program: {}: {e}", path.display()))
}

/// `[fleet]` as a process of the program reads it.
fn settings(fleet: &FleetSettings) -> String {
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
