//! Control machines, gateways and stand-ins for discovery on loopback, each control machine and each gateway a process of
//! its own. What a test waits for is seen in logs, doors and the operators' tool.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

use crate::harness;
use crate::harness::process::Faults;

/// However busy the machine, what is waited for comes within this.
const LONG: Duration = Duration::from_secs(90);
/// Between two looks.
const PAUSE: Duration = Duration::from_millis(20);
/// Zones, and control machines, which are the voters as well.
pub const MACHINES: usize = 3;

/// A stand-in for discovery that counts its calls.
pub struct Discovery {
    pub address: SocketAddr,
    /// Calls for the whole list, and calls that watch.
    pub whole: Arc<AtomicUsize>,
    pub watches: Arc<AtomicUsize>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = harness::local();
        let address = listener.local_addr().expect("bound");
        let discovery = Discovery { address, whole: Arc::default(), watches: Arc::default() };
        let (whole, watches) = (discovery.whole.clone(), discovery.watches.clone());
        std::thread::spawn(move || {
            for mut call in listener.incoming().flatten() {
                let (whole, watches) = (whole.clone(), watches.clone());
                std::thread::spawn(move || {
                    let mut asked = [0; 1024];
                    let count = call.read(&mut asked).unwrap_or(0);
                    let asked = String::from_utf8_lossy(&asked[..count]).into_owned();
                    if asked.contains("index=") {
                        watches.fetch_add(1, Ordering::SeqCst);
                        std::thread::sleep(Duration::from_millis(100));
                    } else if !asked.is_empty() {
                        whole.fetch_add(1, Ordering::SeqCst);
                    }
                    let body = json!({"rev": 4, "all": false, "targets": []}).to_string();
                    let length = body.len();
                    let _ = write!(call, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
                });
            }
        });
        discovery
    }

    pub fn whole(&self) -> usize {
        self.whole.load(Ordering::SeqCst)
    }

    pub fn watches(&self) -> usize {
        self.watches.load(Ordering::SeqCst)
    }
}

/// A process with its log.
struct Process {
    child: Option<Child>,
    log: Arc<Mutex<Vec<String>>>,
}

/// Where a gateway's doors are.
pub struct Doors {
    pub clients: SocketAddr,
    pub admin: SocketAddr,
}

pub struct World {
    pub folder: PathBuf,
    /// The control machines, then the gateways.
    processes: Vec<Process>,
    pub doors: Vec<Doors>,
    pub discoveries: Vec<Discovery>,
    ended: bool,
}

/// An address of this world alone: a port that was free when it was drawn, or is free while its process is down, is nobody
/// else's, whoever draws ports at the same moment.
fn own_address() -> IpAddr {
    static WORLDS: AtomicUsize = AtomicUsize::new(0);
    let world = WORLDS.fetch_add(1, Ordering::SeqCst) + 1;
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let second = 1 + (high ^ middle) % 254;
    Ipv4Addr::new(127, second, low, u8::try_from(world).expect("a few worlds")).into()
}

fn listener(own: IpAddr) -> TcpListener {
    TcpListener::bind((own, 0)).expect("a free port")
}

/// What a test's versions differ in.
pub fn document(mark: usize) -> Value {
    let mut settings = harness::settings();
    settings["Permissions"]["MaxRetryAfterMs"] = json!(1000 + mark);
    settings.as_object_mut().expect("an object").remove("Zone").expect("each gateway's own");
    json!({ "settings": settings })
}

impl World {
    /// Control machines and so many gateways; gateway `n` is in the zone of control machine `n`, around the ring.
    pub fn of(test: &str, gateways: usize) -> World {
        World::with_hosts(test, gateways, harness::listing(&[]))
    }

    /// The gateways know these hosts.
    pub fn with_hosts(test: &str, gateways: usize, known: Value) -> World {
        let folder = std::env::temp_dir().join(format!("dunemount-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let own = own_address();
        // All are held until each has its own.
        let datagrams: Vec<UdpSocket> =
            (0..MACHINES + gateways).map(|_| UdpSocket::bind((own, 0)).expect("a free port")).collect();
        let streams: Vec<TcpListener> = (0..MACHINES + 2 * gateways).map(|_| listener(own)).collect();
        let datagrams_at = |index: usize| datagrams[index].local_addr().expect("bound").to_string();
        let stream_at = |index: usize| streams[index].local_addr().expect("bound");
        let places = |form: &dyn Fn(usize) -> String| (0..MACHINES).map(form).collect::<Vec<_>>().join(", ");
        let voters = places(&|index| format!("c-{index}@{}", datagrams_at(index)));
        let machines = places(&|index| format!("zone-{index}/c-{index}@{}", stream_at(index)));
        for index in 0..MACHINES + gateways {
            let path = |kind: &str| folder.join(format!("{kind}-{index}")).display().to_string();
            let ini = format!(
                "[fleet]\nname = {test}\nlisten = {}\nvoters = {voters}\nlease_ms = 900\nprobe_ms = 200\nfile = {}\n\
                 [control]\nmachines = {machines}\nzone = zone-{}\nfile = {}\n",
                datagrams_at(index),
                path("voter"),
                index % MACHINES,
                path("kept"),
            );
            std::fs::write(folder.join(format!("{index}.ini")), ini).expect("written");
        }
        let back: Vec<&str> = machines.rsplit(", ").collect();
        let ini = format!(
            "[fleet]\nname = {test}\nlisten = {own}:0\nvoters = {voters}\n[control]\nmachines = {}\n",
            back.join(", ")
        );
        std::fs::write(folder.join("back.ini"), ini).expect("written");
        let discoveries: Vec<Discovery> = (0..gateways).map(|_| Discovery::start()).collect();
        let mut doors = Vec::new();
        for (index, discovery) in discoveries.iter().enumerate() {
            let (clients, admin) = (stream_at(MACHINES + 2 * index), stream_at(MACHINES + 2 * index + 1));
            let config = json!({"name": format!("gw-{index}"), "listen": clients.to_string(),
                "admin_addr": admin.to_string(), "discovery": discovery.address.to_string(), "seed": "1f",
                "limits": {"sockets": 200, "memory_mb": 48}, "known": known, "settings": harness::settings()});
            std::fs::write(folder.join(format!("{}.json", MACHINES + index)), config.to_string())
                .expect("written");
            doors.push(Doors { clients, admin });
        }
        drop((datagrams, streams));
        let processes =
            (0..MACHINES + gateways).map(|_| Process { child: None, log: Arc::default() }).collect();
        let mut world = World { folder, processes, doors, discoveries, ended: false };
        for index in 0..MACHINES {
            let found = world.dunemount(&["fleet", "found", "--name", &format!("c-{index}")], index).output();
            assert!(found.expect("it runs").status.success());
        }
        (0..MACHINES + gateways).for_each(|index| world.start(index));
        world
    }

    /// The program with a process's settings.
    fn dunemount(&self, what: &[&str], index: usize) -> Command {
        self.with_settings(what, &format!("{index}.ini"))
    }

    fn with_settings(&self, what: &[&str], settings: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunemount"));
        command.args(what).arg("--settings").arg(self.folder.join(settings));
        for variable in ["GW_CONFIG", "GW_SETTINGS", "GW_NAME", "GW_LISTEN", "GW_ADMIN_ADDR", "GW_DISCOVERY"]
        {
            command.env_remove(variable);
        }
        command.env_remove("TMPDIR").stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }

    /// What the system does to a process.
    pub fn faults(&self, index: usize) -> Faults {
        Faults::at(&self.folder.join(format!("faults-{index}")))
    }

    /// Starts a process; its log goes on.
    pub fn start(&mut self, index: usize) {
        let mut command = match index < MACHINES {
            true => self.dunemount(&["fleet", "control", "--name", &format!("c-{index}")], index),
            false => self.serve(index),
        };
        self.faults(index).meet(&mut command);
        self.run(index, &mut command);
    }

    fn serve(&self, index: usize) -> Command {
        let mut command = self.dunemount(&["serve"], index);
        command.arg("--config").arg(self.folder.join(format!("{index}.json")));
        // Where the process that follows finds the one before.
        let shared = self.folder.join(format!("shared-{index}"));
        std::fs::create_dir_all(&shared).expect("a folder");
        command.env("TMPDIR", shared);
        command
    }

    /// Starts the process that follows a gateway's: it counts as a gateway of its own, with a door of its own.
    pub fn start_successor(&mut self, gateway: usize) -> usize {
        let admin = listener(self.doors[gateway].admin.ip()).local_addr().expect("bound");
        let mut command = self.serve(MACHINES + gateway);
        command.env("GW_ADMIN_ADDR", admin.to_string());
        self.doors.push(Doors { clients: self.doors[gateway].clients, admin });
        self.processes.push(Process { child: None, log: Arc::default() });
        self.run(self.processes.len() - 1, &mut command);
        self.doors.len() - 1
    }

    fn run(&mut self, index: usize, command: &mut Command) {
        let mut child = command.spawn().expect("it starts");
        let log = self.processes[index].log.clone();
        let read = |output: Box<dyn Read + Send>| {
            let log = log.clone();
            std::thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    log.lock().expect("its own").push(line);
                }
            });
        };
        read(Box::new(child.stdout.take().expect("piped")));
        read(Box::new(child.stderr.take().expect("piped")));
        self.processes[index].child = Some(child);
    }

    pub fn signal(&self, index: usize, signal: Signal) {
        let child = self.processes[index].child.as_ref().expect("there");
        kill_process(Pid::from_child(child), signal).expect("its own child");
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let child = self.processes[index].child.as_mut();
        child.is_none_or(|child| child.try_wait().expect("its own child").is_some())
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.processes[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends a process as operators do, and tells whether it did well.
    pub fn end_process(&mut self, index: usize) -> bool {
        self.signal(index, Signal::TERM);
        self.processes[index].child.take().expect("there").wait().expect("it ends").success()
    }

    /// The lines that a process has logged so far.
    pub fn log(&self, index: usize) -> Vec<String> {
        self.processes[index].log.lock().expect("its own").clone()
    }

    /// Waits for what can be seen.
    pub fn until(&self, what: &str, seen: impl Fn(&World) -> bool) {
        let began = Instant::now();
        while !seen(self) {
            if began.elapsed() > LONG {
                for (index, process) in self.processes.iter().enumerate() {
                    for line in process.log.lock().expect("its own").iter().rev().take(12).rev() {
                        eprintln!("{index}: {line}");
                    }
                }
                eprintln!("{}", self.status());
                panic!("waited in vain: {what}");
            }
            std::thread::sleep(PAUSE);
        }
    }

    pub fn until_logged(&self, index: usize, words: &str) {
        self.until(&format!("{words} of {index}"), |world| {
            world.log(index).iter().any(|line| line.contains(words))
        });
    }

    /// Runs `fleet config` with these words, and the tool's settings of this name.
    pub fn config(&self, what: &[&str], settings: &str) -> Output {
        let words: Vec<&str> = ["fleet", "config"].iter().chain(what).copied().collect();
        self.with_settings(&words, settings).output().expect("it runs")
    }

    /// Puts a document: the number that it got, or why none.
    pub fn put(&self, document: &Value) -> Result<u64, String> {
        self.put_by(document, "0.ini")
    }

    pub fn put_by(&self, document: &Value, settings: &str) -> Result<u64, String> {
        static FILES: AtomicUsize = AtomicUsize::new(0);
        let path = self.folder.join(format!("put-{}.json", FILES.fetch_add(1, Ordering::SeqCst)));
        std::fs::write(&path, format!("{document:#}")).expect("written");
        let output = self.config(&["put", path.to_str().expect("a path")], settings);
        let said = String::from_utf8_lossy(&output.stdout).into_owned();
        match output.status.success() {
            true => Ok(number(&said).expect("a version")),
            false => Err(String::from_utf8_lossy(&output.stderr).into_owned()),
        }
    }

    /// Puts a document as soon as there is a majority that has found itself.
    pub fn put_at_last(&self, document: &Value) -> u64 {
        let began = Instant::now();
        loop {
            match self.put(document) {
                Ok(number) => return number,
                Err(why) if began.elapsed() > LONG => panic!("{why}"),
                Err(_) => std::thread::sleep(PAUSE),
            }
        }
    }

    /// What `fleet config status --json` tells.
    pub fn status(&self) -> Value {
        let output = self.config(&["status", "--json"], "0.ini");
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    }

    /// What `fleet status` prints of a gateway.
    pub fn fleet_status(&self, gateway: usize) -> String {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunemount"));
        command.args(["fleet", "status", "--admin", &self.doors[gateway].admin.to_string()]);
        String::from_utf8(command.output().expect("it runs").stdout).expect("text")
    }

    /// What `fleet config status` prints.
    pub fn table(&self) -> String {
        let output = self.config(&["status"], "0.ini");
        String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned()
    }

    /// How a gateway stands with the versions, by its door.
    pub fn standing(&self, gateway: usize) -> Value {
        let Ok(mut door) = TcpStream::connect(self.doors[gateway].admin) else { return Value::Null };
        let mut said = String::new();
        let asked = door.write_all(b"GET /ops/fleet HTTP/1.1\r\nHost: x\r\n\r\n");
        if asked.and_then(|()| door.read_to_string(&mut said)).is_err() {
            return Value::Null;
        }
        let body = said.split_once("\r\n\r\n").map(|(_, body)| body).unwrap_or_default();
        let status: Value = serde_json::from_str(body).unwrap_or_default();
        status["configuration"].clone()
    }

    /// Waits until these gateways have this version in force.
    pub fn until_in_force(&self, gateways: impl IntoIterator<Item = usize>, version: u64) {
        for gateway in gateways {
            self.until(&format!("version {version} at gateway {gateway}"), |world| {
                world.standing(gateway)["version"] == version
            });
        }
    }

    /// Waits until a gateway hears a control machine, and knows from it.
    pub fn until_heard(&self, gateway: usize, machine: &str) {
        self.until(&format!("{machine} heard by {gateway}"), |world| {
            let standing = world.standing(gateway);
            standing["machine"] == machine && standing["cut_off_ms"] == 0
        });
    }

    /// The versions that a gateway has had in force, by its log.
    pub fn in_force(&self, gateway: usize) -> Vec<u64> {
        let log = self.log(MACHINES + gateway);
        let lines = log.iter().filter(|line| line.contains("config: version in force"));
        lines.map(|line| number(line).expect("a version")).collect()
    }

    /// All has been seen: the folder may go. No gateway has gone back.
    pub fn end(mut self) {
        for gateway in 0..self.doors.len() {
            let versions = self.in_force(gateway);
            assert!(versions.is_sorted(), "gateway {gateway} went back: {versions:?}");
        }
        self.ended = true;
    }
}

impl Drop for World {
    fn drop(&mut self) {
        (0..self.processes.len()).for_each(|index| self.kill(index));
        if self.ended {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("settings in {}", self.folder.display());
        }
    }
}

/// The number behind the word `version` or `version:`.
fn number(text: &str) -> Option<u64> {
    text.split("version").skip(1).find_map(|rest| {
        let rest = rest.trim_start_matches([':', ' ']);
        rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
    })
}
