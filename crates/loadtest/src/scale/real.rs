//! Gateways and control servers as processes of the program, each with its own settings and `TMPDIR`, watched by their
//! logs and, the gateways, at their doors.

use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use dunemount::fleet::status::NodeStatus;
use rustix::process::{kill_process, Pid, Signal};

use super::convergence::{ConvergenceTarget, ConvergenceTracker};
use super::count;
use super::simulated::Report;

/// What a process is started with.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its number.
    pub index: usize,
    /// What it is called where something is wrong: `gateway 3`.
    pub who: String,
    /// The program.
    pub program: PathBuf,
    /// What the program is to do, without the settings.
    pub arguments: Vec<String>,
    /// Its own folder, with `settings.ini` and, for a gateway, `config.json`.
    pub folder: PathBuf,
    /// Its door.
    pub admin: SocketAddr,
    /// The number in a gateway's name, and in a control server's.
    pub numbers: [fn(&str) -> Option<usize>; 2],
}

/// What is known of a process.
struct Watched {
    progress: ConvergenceTracker,
    /// The newest version that it has had in force, by its log and by its door.
    version: u64,
    /// The last one by its log alone, whose lines come in order.
    logged: u64,
    /// The control server that it hears.
    heard: Option<usize>,
}

impl Watched {
    /// It has this version in force. The door's word may be older than what the log has told; the log's may not.
    fn took(&mut self, number: u64, by_log: bool) -> bool {
        let fallen = by_log && number < std::mem::replace(&mut self.logged, number);
        let newer = number > self.version;
        self.version = self.version.max(number);
        newer || fallen
    }

    fn hears(&mut self, gateway: usize, machine: Option<usize>, at: Instant, reports: &Sender<Report>) {
        if std::mem::replace(&mut self.heard, machine) != machine {
            let _ = reports.send(Report::ControlServerChanged { gateway, server: machine, at });
        }
    }
}

/// A process that ends with this value.
pub struct Process {
    child: Child,
    spec: Spec,
    watched: Arc<Mutex<Watched>>,
    reports: Sender<Report>,
    /// Its end is wanted.
    to_end: Arc<AtomicBool>,
    is_up: Arc<AtomicBool>,
}

/// Now, as a start's number.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn locked(watched: &Mutex<Watched>) -> std::sync::MutexGuard<'_, Watched> {
    // Whoever panicked with it has at worst left a line out.
    watched.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Process {
    /// Starts one.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start(spec: Spec, progress: ConvergenceTracker, reports: Sender<Report>) -> io::Result<Process> {
        let mut command = Command::new(&spec.program);
        command.args(&spec.arguments).arg("--settings").arg(spec.folder.join("settings.ini"));
        for variable in
            ["GW_CONFIG", "GW_SETTINGS", "GW_NAME", "GW_LISTEN", "GW_ADMIN_ADDR", "GW_DISCOVERY", "GW_LOG"]
        {
            command.env_remove(variable);
        }
        let errors = fs::File::create(spec.folder.join("stderr"))?;
        command.env("TMPDIR", &spec.folder).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(errors);
        let mut child = command.spawn()?;
        let output = child.stdout.take();
        let process = Process {
            child,
            watched: Arc::new(Mutex::new(Watched { progress, version: 0, logged: 0, heard: None })),
            reports,
            to_end: Arc::default(),
            is_up: Arc::default(),
            spec,
        };
        let Some(output) = output else { return Err(io::Error::other("no output")) };
        let log = Log {
            gateway: process.spec.index,
            who: process.spec.who.clone(),
            errors: process.spec.folder.join("stderr"),
            numbers: process.spec.numbers,
            watched: process.watched.clone(),
            reports: process.reports.clone(),
            is_up: process.is_up.clone(),
            to_end: process.to_end.clone(),
        };
        // It ends with the output that it reads.
        std::thread::Builder::new().name("log".into()).spawn(move || log.follow(output))?;
        Ok(process)
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it is called.
    pub fn who(&self) -> &str {
        &self.spec.who
    }

    /// Whether it listens.
    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Relaxed)
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// The system's; one that has ended by itself is among them.
    pub fn signal(&self, signal: Signal) -> Result<(), String> {
        let sent = kill_process(Pid::from_child(&self.child), signal);
        sent.map_err(|e| format!("{}: cannot be signalled: {e}", self.spec.who))
    }

    /// It goes after this from now on.
    pub fn set_target(&self, target: Arc<ConvergenceTarget>) {
        locked(&self.watched).progress.set_target(target);
    }

    /// Others that it has taken for gone, by its log.
    pub fn losses(&self) -> (u64, u64) {
        let progress = &locked(&self.watched).progress;
        (progress.losses, progress.mistaken)
    }

    /// Asks at its door whom it knows, and how it stands with versions: its log leaves out lines where many come in a second.
    pub fn poll_status(&self, gateways: usize) {
        let Ok(status) = NodeStatus::fetch(self.spec.admin) else { return };
        let at = Instant::now();
        self.is_up.store(true, Ordering::Relaxed);
        let mut starts = vec![0; gateways];
        for member in &status.members {
            if let Some(start) = (self.spec.numbers[0])(&member.name).and_then(|other| starts.get_mut(other))
            {
                *start = member.start;
            }
        }
        let gateway = self.spec.index;
        let mut watched = locked(&self.watched);
        if let Some(configuration) = &status.configuration {
            let number = configuration.version.filter(|number| watched.took(*number, false));
            if let Some(number) = number {
                let _ = self.reports.send(Report::VersionInForce { gateway, number, at });
            }
            let machine = configuration.machine.as_deref().filter(|_| configuration.cut_off_ms == 0);
            watched.hears(gateway, machine.and_then(self.spec.numbers[1]), at, &self.reports);
        }
        let progress = &mut watched.progress;
        progress.adopt_status(starts);
        if let Some(target) = progress.take_reached() {
            let _ = self.reports.send(Report::TargetReached { gateway, target, at });
        }
    }

    /// Processor time of the fleet's thread, of the one that follows the control servers, and of all threads.
    pub fn sample(&self) -> ([Duration; 2], Duration) {
        count::process_cpu(self.child.id(), ["fleet", "rollout"])
    }

    /// Memory in KiB; zero once it is gone.
    pub fn resident(&self) -> u64 {
        count::resident(&self.child.id().to_string()).unwrap_or(0)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.to_end.store(true, Ordering::Relaxed);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads a process's log.
struct Log {
    gateway: usize,
    who: String,
    /// What it has said on standard error.
    errors: PathBuf,
    numbers: [fn(&str) -> Option<usize>; 2],
    watched: Arc<Mutex<Watched>>,
    reports: Sender<Report>,
    is_up: Arc<AtomicBool>,
    to_end: Arc<AtomicBool>,
}

/// The value that follows a key in a line of the log.
fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let rest = line.split(&format!(" {key}: ")).nth(1)?;
    rest.split([',', ' ']).next()
}

impl Log {
    fn follow(self, output: impl io::Read) {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            self.read(&line);
        }
        if !self.to_end.load(Ordering::Relaxed) {
            let said = fs::read_to_string(&self.errors).unwrap_or_default();
            let why = said.lines().last().map_or(String::new(), |line| format!(": {line}"));
            let _ = self.reports.send(Report::Failed(format!("{} has ended by itself{why}", self.who)));
        }
    }

    fn read(&self, line: &str) {
        let at = Instant::now();
        let mut watched = locked(&self.watched);
        if line.contains("config: version in force") {
            let number = value(line, "version").and_then(|text| text.parse().ok());
            if let Some(number) = number.filter(|number| watched.took(*number, true)) {
                let _ = self.reports.send(Report::VersionInForce { gateway: self.gateway, number, at });
            }
        } else if line.contains("config: hears a control machine") {
            let machine = value(line, "machine").and_then(self.numbers[1]);
            watched.hears(self.gateway, machine, at, &self.reports);
        }
        let progress = &mut watched.progress;
        let other = || value(line, "member").and_then(self.numbers[0]);
        if line.contains("fleet: member came") {
            other().into_iter().for_each(|other| progress.member_joined(other, unix_ms()));
        } else if line.contains("fleet: member went") {
            other().into_iter().for_each(|other| progress.member_left(other, None));
        } else if line.contains("configuration file reloaded") {
            progress.configuration_read();
        } else if line.contains(" endpoint list applied, ") {
            let version = value(line, "rev").and_then(|text| text.parse().ok());
            version.into_iter().for_each(|version| progress.list_received(version));
        } else if line.contains(" listening, ") {
            self.is_up.store(true, Ordering::Relaxed);
        }
        if let Some(target) = progress.take_reached() {
            let _ = self.reports.send(Report::TargetReached { gateway: self.gateway, target, at });
        }
    }
}

/// Writes a process's files into its folder.
///
/// # Errors
/// The system's.
pub fn lay_out(folder: &Path, configuration: Option<&str>, settings: &str) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    if let Some(configuration) = configuration {
        fs::write(folder.join("config.json"), configuration)?;
    }
    fs::write(folder.join("settings.ini"), settings)
}
