//! Gateways and control servers as processes of the program, each with its own settings and `TMPDIR`. They are observed
//! through their logs and, the gateways, also through their admin interfaces.

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
pub struct ProcessSpec {
    /// Index of the gateway or of the control server.
    pub index: usize,
    /// Its name in error messages, such as `gateway 3`.
    pub label: String,
    /// Path of the program.
    pub program: PathBuf,
    /// Arguments of the program, without `--settings`.
    pub arguments: Vec<String>,
    /// Its own folder, which contains `settings.ini` and, for a gateway, `config.json`.
    pub folder: PathBuf,
    /// A gateway's admin interface; the address on which a control server listens.
    pub admin: SocketAddr,
    /// Functions that return the index in the name of a gateway and in that of a control server.
    pub index_parsers: [fn(&str) -> Option<usize>; 2],
}

/// The known state of a process.
struct ProcessState {
    tracker: ConvergenceTracker,
    /// The newest version that it has had in force, according to its log and its admin interface.
    newest_version: u64,
    /// The last version that its log has reported; log lines arrive in order.
    logged_version: u64,
    /// Index of the control server that it follows.
    server: Option<usize>,
}

impl ProcessState {
    /// Records the version in force and returns whether it has to be reported: it is newer than all before, or the log
    /// says that the process went back. An older version from the admin interface is ignored, since the log may be
    /// ahead of it.
    fn record_version(&mut self, number: u64, from_log: bool) -> bool {
        let went_back = from_log && number < std::mem::replace(&mut self.logged_version, number);
        let is_newer = number > self.newest_version;
        self.newest_version = self.newest_version.max(number);
        is_newer || went_back
    }

    /// Records the control server that the process follows, and reports a change.
    fn record_server(
        &mut self,
        gateway: usize,
        server: Option<usize>,
        at: Instant,
        reports: &Sender<Report>,
    ) {
        if std::mem::replace(&mut self.server, server) != server {
            let _ = reports.send(Report::ControlServerChanged { gateway, server, at });
        }
    }
}

/// A running process of the program; it is killed when this value is dropped.
pub struct Process {
    child: Child,
    spec: ProcessSpec,
    state: Arc<Mutex<ProcessState>>,
    reports: Sender<Report>,
    /// Set before the process is killed, so that its end is not reported as a failure.
    stopping: Arc<AtomicBool>,
    is_listening: Arc<AtomicBool>,
}

/// The Unix time in milliseconds, which serves as the number of a start.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn lock_state(state: &Mutex<ProcessState>) -> std::sync::MutexGuard<'_, ProcessState> {
    // A thread that panicked while it held the lock has at worst lost a log line.
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Process {
    /// Starts a process and a thread that reads its log.
    ///
    /// # Errors
    /// The system cannot start the program or the thread, or cannot create the file for standard error.
    pub fn start(
        spec: ProcessSpec,
        tracker: ConvergenceTracker,
        reports: Sender<Report>,
    ) -> io::Result<Process> {
        let mut command = Command::new(&spec.program);
        command.args(&spec.arguments).arg("--settings").arg(spec.folder.join("settings.ini"));
        for variable in
            ["GW_CONFIG", "GW_SETTINGS", "GW_NAME", "GW_LISTEN", "GW_ADMIN_ADDR", "GW_DISCOVERY", "GW_LOG"]
        {
            command.env_remove(variable);
        }
        let stderr = fs::File::create(spec.folder.join("stderr"))?;
        command.env("TMPDIR", &spec.folder).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(stderr);
        let mut child = command.spawn()?;
        let output = child.stdout.take();
        let process = Process {
            child,
            state: Arc::new(Mutex::new(ProcessState {
                tracker,
                newest_version: 0,
                logged_version: 0,
                server: None,
            })),
            reports,
            stopping: Arc::default(),
            is_listening: Arc::default(),
            spec,
        };
        let Some(output) = output else { return Err(io::Error::other("standard output is not piped")) };
        let log_reader = LogReader {
            gateway: process.spec.index,
            label: process.spec.label.clone(),
            stderr_file: process.spec.folder.join("stderr"),
            index_parsers: process.spec.index_parsers,
            state: process.state.clone(),
            reports: process.reports.clone(),
            is_listening: process.is_listening.clone(),
            stopping: process.stopping.clone(),
        };
        // The thread ends when the process closes its standard output.
        std::thread::Builder::new().name("log".into()).spawn(move || log_reader.run(output))?;
        Ok(process)
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Its name in error messages.
    pub fn label(&self) -> &str {
        &self.spec.label
    }

    /// Whether it has been seen listening.
    pub fn is_listening(&self) -> bool {
        self.is_listening.load(Ordering::Relaxed)
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// The system cannot send it, for instance because the process has exited.
    pub fn signal(&self, signal: Signal) -> Result<(), String> {
        let sent = kill_process(Pid::from_child(&self.child), signal);
        sent.map_err(|e| format!("cannot send a signal to {}: {e}", self.spec.label))
    }

    /// Sets the target to converge on.
    pub fn set_target(&self, target: Arc<ConvergenceTarget>) {
        lock_state(&self.state).tracker.set_target(target);
    }

    /// How often it has declared other gateways gone according to its log, and how often of these no event had ended
    /// them.
    pub fn losses(&self) -> (u64, u64) {
        let tracker = &lock_state(&self.state).tracker;
        (tracker.losses, tracker.mistaken_losses)
    }

    /// Queries the admin interface for the known members, the version in force and the control server: the log drops
    /// lines when too many occur within a second.
    pub fn poll_status(&self, gateways: usize) {
        let Ok(status) = NodeStatus::fetch(self.spec.admin) else { return };
        let at = Instant::now();
        self.is_listening.store(true, Ordering::Relaxed);
        let mut starts = vec![0; gateways];
        for member in &status.members {
            if let Some(start) =
                (self.spec.index_parsers[0])(&member.name).and_then(|other| starts.get_mut(other))
            {
                *start = member.start;
            }
        }
        let gateway = self.spec.index;
        let mut state = lock_state(&self.state);
        if let Some(configuration) = &status.configuration {
            let number = configuration.version.filter(|number| state.record_version(*number, false));
            if let Some(number) = number {
                let _ = self.reports.send(Report::VersionInForce { gateway, number, at });
            }
            let server = configuration.machine.as_deref().filter(|_| configuration.cut_off_ms == 0);
            state.record_server(gateway, server.and_then(self.spec.index_parsers[1]), at, &self.reports);
        }
        let tracker = &mut state.tracker;
        tracker.adopt_status(starts);
        if let Some(target) = tracker.take_reached() {
            let _ = self.reports.send(Report::TargetReached { gateway, target, at });
        }
    }

    /// Processor time of the fleet's thread, of the thread that follows the control servers, and of all threads.
    pub fn cpu_times(&self) -> ([Duration; 2], Duration) {
        count::process_cpu(self.child.id(), ["fleet", "rollout"])
    }

    /// Resident memory in KiB; zero once the process is gone.
    pub fn resident_kib(&self) -> u64 {
        count::resident_kib(&self.child.id().to_string()).unwrap_or(0)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the log of a process and reports what it says.
struct LogReader {
    gateway: usize,
    label: String,
    /// The file that receives standard error.
    stderr_file: PathBuf,
    index_parsers: [fn(&str) -> Option<usize>; 2],
    state: Arc<Mutex<ProcessState>>,
    reports: Sender<Report>,
    is_listening: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
}

/// The value of a key in a log line.
fn log_value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let rest = line.split(&format!(" {key}: ")).nth(1)?;
    rest.split([',', ' ']).next()
}

impl LogReader {
    fn run(self, output: impl io::Read) {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            self.handle_line(&line);
        }
        if !self.stopping.load(Ordering::Relaxed) {
            let stderr = fs::read_to_string(&self.stderr_file).unwrap_or_default();
            let reason = stderr.lines().last().map_or(String::new(), |line| format!(": {line}"));
            let _ = self.reports.send(Report::Failed(format!("{} exited unexpectedly{reason}", self.label)));
        }
    }

    fn handle_line(&self, line: &str) {
        let at = Instant::now();
        let mut state = lock_state(&self.state);
        if line.contains("config: version in force") {
            let number = log_value(line, "version").and_then(|text| text.parse().ok());
            if let Some(number) = number.filter(|number| state.record_version(*number, true)) {
                let _ = self.reports.send(Report::VersionInForce { gateway: self.gateway, number, at });
            }
        } else if line.contains("config: following a control machine") {
            let server = log_value(line, "machine").and_then(self.index_parsers[1]);
            state.record_server(self.gateway, server, at, &self.reports);
        }
        let tracker = &mut state.tracker;
        let member = || log_value(line, "member").and_then(self.index_parsers[0]);
        if line.contains("fleet: member up") {
            member().into_iter().for_each(|other| tracker.member_joined(other, unix_ms()));
        } else if line.contains("fleet: member down") {
            member().into_iter().for_each(|other| tracker.member_left(other, None));
        } else if line.contains("configuration file reloaded") {
            tracker.configuration_read();
        } else if line.contains(" endpoint list applied, ") {
            let version = log_value(line, "rev").and_then(|text| text.parse().ok());
            version.into_iter().for_each(|version| tracker.list_received(version));
        } else if line.contains(" listening, ") {
            self.is_listening.store(true, Ordering::Relaxed);
        }
        if let Some(target) = tracker.take_reached() {
            let _ = self.reports.send(Report::TargetReached { gateway: self.gateway, target, at });
        }
    }
}

/// Creates a process's folder and writes its settings and, for a gateway, its configuration.
///
/// # Errors
/// The folder or a file cannot be written.
pub fn write_files(folder: &Path, configuration: Option<&str>, settings: &str) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    if let Some(configuration) = configuration {
        fs::write(folder.join("config.json"), configuration)?;
    }
    fs::write(folder.join("settings.ini"), settings)
}
