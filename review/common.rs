//! Stand-ins and helpers shared by the cases: the record, processes, discovery, and version 3 of PostgreSQL's wire
//! protocol on both sides. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const NOT_RUN: i32 = 2;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Unix time in milliseconds, which is also the position of a primary.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

/// What was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), started_at: Instant::now() }
    }

    pub fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{:>10.1} {}", self.now_ms(), text.as_ref());
    }
}

/// Process ids of the running children, for the end of the run.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal by its name to a process that this run has started.
pub fn send_signal(pid: u32, name: &str) {
    let command = format!("kill -{name} {pid}");
    let _ = Command::new("/bin/sh").args(["-c", &command]).stderr(Stdio::null()).status();
}

pub fn end_all_children() {
    for pid in std::mem::take(&mut *lock(&CHILDREN)) {
        send_signal(pid, "KILL");
    }
}

/// Runs a case: ends its processes in any case, and exits with 2 if it panics or takes too long.
pub fn run_case(case: impl FnOnce(Record, &Context) -> i32 + std::panic::UnwindSafe) -> ! {
    let context = Context::new();
    let record = Record::create(&context.folder.join("record.txt"));
    let (watch, scratch) = (record.clone(), context.scratch.clone());
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(112));
        watch.line("verdict: the run took too long");
        end_all_children();
        let _ = std::fs::remove_dir_all(&scratch);
        std::process::exit(NOT_RUN);
    });
    let (inner, given) = (record.clone(), &context);
    let code =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(inner, given))).unwrap_or(NOT_RUN);
    end_all_children();
    let _ = std::fs::remove_dir_all(&context.scratch);
    let word = match code {
        HELD => "held",
        BROKEN => "broken",
        _ => "the case could not run",
    };
    record.line(format!("verdict: {word}"));
    println!("{word}");
    std::process::exit(code);
}

pub struct Context {
    /// Root of the repository.
    pub root: PathBuf,
    /// The case's folder.
    pub folder: PathBuf,
    /// A temporary folder.
    pub scratch: PathBuf,
    /// The `run` line of the deploy file.
    pub run: String,
    pub trouble: bool,
}

impl Context {
    fn new() -> Context {
        let root = PathBuf::from(std::env::var("ROOT").expect("ROOT"));
        let folder = PathBuf::from(std::env::var("CASE").expect("CASE"));
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
        let line = deploy.lines().find(|line| line.starts_with("run = \"")).expect("run");
        let run = line["run = \"".len()..].split('"').next().expect("a command").to_string();
        let scratch = std::env::temp_dir().join(format!("dunemount-review-{}", std::process::id()));
        std::fs::create_dir_all(&scratch).expect("a temporary folder");
        let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
        Context { root, folder, scratch, run, trouble }
    }

    /// The program of the `run` line.
    pub fn program(&self) -> PathBuf {
        self.root.join(self.run.trim_start_matches("exec ").trim())
    }
}

/// Free ports of loopback, all different.
pub fn free_ports(count: usize) -> Vec<u16> {
    let sockets: Vec<(TcpListener, UdpSocket)> = std::iter::repeat_with(|| {
        let tcp = TcpListener::bind("127.0.0.1:0").ok()?;
        let udp = UdpSocket::bind(tcp.local_addr().ok()?).ok()?;
        Some((tcp, udp))
    })
    .flatten()
    .take(count)
    .collect();
    sockets.iter().map(|(tcp, _)| tcp.local_addr().expect("bound").port()).collect()
}

pub type LogLines = Arc<Mutex<Vec<(f64, String)>>>;

/// A process of the project, with its log.
pub struct Process {
    pub name: String,
    child: Child,
    pub pid: u32,
    pub log: LogLines,
    record: Record,
}

impl Process {
    /// Starts `/bin/sh -c COMMAND` from the root of the repository.
    pub fn start(
        record: &Record,
        context: &Context,
        name: &str,
        command: &str,
        env: &[(&str, String)],
    ) -> Process {
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", command]).current_dir(&context.root);
        for variable in [
            "GW_CONFIG",
            "GW_SETTINGS",
            "GW_NAME",
            "GW_LISTEN",
            "GW_ADMIN_ADDR",
            "GW_DISCOVERY",
            "GW_LOG",
            "TMPDIR",
        ] {
            shell.env_remove(variable);
        }
        shell.envs(env.iter().map(|(key, value)| (*key, value)));
        let mut child = shell
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let pid = child.id();
        lock(&CHILDREN).push(pid);
        record.line(format!("{name}: started"));
        let log: LogLines = LogLines::default();
        let outputs: [Box<dyn Read + Send>; 2] =
            [Box::new(child.stdout.take().expect("piped")), Box::new(child.stderr.take().expect("piped"))];
        for output in outputs {
            let (log, record, name) = (log.clone(), record.clone(), name.to_string());
            std::thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    record.line(format!("{name} log: {line}"));
                    lock(&log).push((record.now_ms(), line));
                }
            });
        }
        Process { name: name.to_string(), child, pid, log, record: record.clone() }
    }

    pub fn signal(&self, name: &str) {
        self.record.line(format!("{}: SIG{name}", self.name));
        send_signal(self.pid, name);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if ended {
            lock(&CHILDREN).retain(|pid| *pid != self.pid);
        }
        ended
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.record.line(format!("{}: SIGKILL", self.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
        lock(&CHILDREN).retain(|pid| *pid != self.pid);
    }

    /// Waits for the end of the process; false if it takes longer.
    pub fn wait_for_end(&mut self, ms: u64) -> bool {
        let ended = wait_until(ms, || self.has_ended());
        self.record.line(format!("{}: {}", self.name, if ended { "has ended" } else { "still runs" }));
        ended
    }

    pub fn has_logged(&self, text: &str) -> bool {
        lock(&self.log).iter().any(|(_, line)| line.contains(text))
    }
}

impl Drop for Process {
    /// No process outlives the run, whatever its verdict.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Polls a condition; false if it does not hold in time.
pub fn wait_until(ms: u64, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_millis(ms);
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        sleep_ms(5);
    }
}

// ---- discovery ----

struct Listing {
    rev: u64,
    /// The entries, as JSON.
    targets: Vec<String>,
}

/// The discovery agent: answers with the whole list, or with no changes once the wait of a watch is over.
#[derive(Clone)]
pub struct Discovery {
    listing: Arc<(Mutex<Listing>, Condvar)>,
    pub address: SocketAddr,
}

pub struct Target<'a> {
    pub uid: &'a str,
    pub endpoint: SocketAddr,
    pub zone: &'a str,
    pub group: u32,
    pub state: &'a str,
    pub role: &'a str,
}

impl Target<'_> {
    pub fn to_json(&self) -> String {
        let Target { uid, endpoint, zone, group, state, role } = self;
        format!(
            r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"{zone}","model":"m","pod_group":{group},"state":"{state}","capacity_hint":1.0,"boot_ms":0,"part":"{role}"}}"#
        )
    }
}

impl Discovery {
    pub fn start(targets: Vec<String>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let listing = Arc::new((Mutex::new(Listing { rev: 1, targets }), Condvar::new()));
        let discovery = Discovery { listing, address };
        let served = discovery.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || served.serve(socket));
            }
        });
        discovery
    }

    /// Replaces the list.
    pub fn replace(&self, targets: Vec<String>) {
        let (listing, changed) = &*self.listing;
        let mut listing = lock(listing);
        listing.rev += 1;
        listing.targets = targets;
        changed.notify_all();
    }

    /// The list in the form of `known`.
    pub fn whole(&self) -> String {
        whole_list(&lock(&self.listing.0))
    }

    fn serve(&self, mut socket: TcpStream) {
        let mut request = Vec::new();
        let mut bytes = [0; 2048];
        while !request.windows(4).any(|end| end == b"\r\n\r\n") {
            match socket.read(&mut bytes) {
                Ok(count) if count > 0 => request.extend_from_slice(&bytes[..count]),
                _ => return,
            }
        }
        let text = String::from_utf8_lossy(&request).to_string();
        let parameter = |name: &str| -> Option<u64> {
            let from = text.find(name)? + name.len();
            text[from..].split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
        };
        let (listing, changed) = &*self.listing;
        let body = match (parameter("index="), parameter("wait=")) {
            (Some(index), wait) => {
                let wait = Duration::from_millis(wait.unwrap_or(0));
                let held = lock(listing);
                let (held, _) = changed
                    .wait_timeout_while(held, wait, |listing| listing.rev <= index)
                    .unwrap_or_else(|poisoned| poisoned.into_inner());
                if held.rev > index {
                    whole_list(&held)
                } else {
                    format!(r#"{{"rev":{},"all":false,"targets":[]}}"#, held.rev)
                }
            }
            _ => whole_list(&lock(listing)),
        };
        let _ = write!(
            socket,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
    }
}

fn whole_list(listing: &Listing) -> String {
    format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, listing.rev, listing.targets.join(","))
}

/// Calls an operators' or discovery's address, and returns the body of the answer.
pub fn http_call(address: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<(u16, String)> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    socket.set_read_timeout(Some(Duration::from_secs(2)))?;
    let length = body.len();
    write!(socket, "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\n\r\n{body}")?;
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer)?;
    let text = String::from_utf8_lossy(&answer).to_string();
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok((status, text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_string())))
}

// ---- PostgreSQL's wire protocol ----

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
    out
}

fn read_exact(socket: &mut TcpStream, count: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; count];
    socket.read_exact(&mut bytes)?;
    Ok(bytes)
}

fn read_length(socket: &mut TcpStream) -> io::Result<usize> {
    let length = read_exact(socket, 4)?;
    let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
    length.checked_sub(4).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// The next message: its type and body.
pub fn read_message(socket: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let tag = read_exact(socket, 1)?[0];
    let length = read_length(socket)?;
    Ok((tag, read_exact(socket, length)?))
}

/// Reads the startup packet of a client.
pub fn read_startup(socket: &mut TcpStream) -> io::Result<()> {
    let length = read_length(socket)?;
    read_exact(socket, length).map(drop)
}

pub fn greeting() -> Vec<u8> {
    [message(b'R', &[0; 4]), message(b'Z', b"I")].concat()
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// A row of one column, CommandComplete, and the ParameterStatus messages.
pub fn row(value: &[u8], command: &str, parameters: &[(&str, String)]) -> Vec<u8> {
    let mut out = message(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    out.extend(message(b'D', &[&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat()));
    out.extend(message(b'C', format!("{command}\0").as_bytes()));
    for (name, value) in parameters {
        out.extend(parameter(name, value));
    }
    out.extend(message(b'Z', b"I"));
    out
}

pub fn error(code: &str, text: &str, parameters: &[(&str, String)]) -> Vec<u8> {
    let mut out = message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes());
    for (name, value) in parameters {
        out.extend(parameter(name, value));
    }
    out.extend(message(b'Z', b"I"));
    out
}

/// A field of the comment at the end of a statement.
pub fn field(text: &str, name: &str) -> Option<String> {
    let comment = text.rsplit_once("/*")?.1.split("*/").next()?;
    let pair = comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))?;
    Some(pair.trim().to_string())
}

/// A client's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Empty,
    /// An ErrorResponse with this code.
    Error(String),
    /// The connection ended without a whole answer.
    Lost,
}

/// A client's connection.
pub struct Client {
    pub socket: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(Duration::from_secs(8)))?;
        let mut body = 196_608u32.to_be_bytes().to_vec();
        body.extend_from_slice(b"user\0app\0database\0shop\0\0");
        let mut startup = (body.len() as u32 + 4).to_be_bytes().to_vec();
        startup.extend(body);
        socket.write_all(&startup)?;
        let mut client = Client { socket };
        loop {
            match read_message(&mut client.socket)? {
                (b'Z', _) => return Ok(client),
                (b'E', _) => return Err(io::ErrorKind::ConnectionRefused.into()),
                _ => {}
            }
        }
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.socket.write_all(&message(b'Q', &[text.as_bytes(), b"\0"].concat()))
    }

    pub fn answer(&mut self) -> Answer {
        let mut answer = Answer::Lost;
        loop {
            match read_message(&mut self.socket) {
                Ok((b'Z', _)) => return answer,
                Ok((b'I', _)) => answer = Answer::Empty,
                Ok((b'D', body)) if body.len() >= 6 => answer = Answer::Served(body[6..].to_vec()),
                Ok((b'E', body)) => {
                    let fields = body.split(|byte| *byte == 0);
                    let code = fields.filter_map(|field| field.strip_prefix(b"C")).next().unwrap_or_default();
                    answer = Answer::Error(String::from_utf8_lossy(code).to_string());
                }
                Ok(_) => {}
                Err(_) => return if matches!(answer, Answer::Error(_)) { answer } else { Answer::Lost },
            }
        }
    }

    /// Whether the gateway has not closed the connection.
    pub fn is_open(&self) -> bool {
        !matches!(self.socket.peek(&mut [0]), Ok(0))
    }

    pub fn ask(&mut self, text: &str) -> Answer {
        match self.send(text) {
            Ok(()) => self.answer(),
            Err(_) => Answer::Lost,
        }
    }
}

/// Waits until a gateway has answered an empty query.
pub fn wait_until_ready(address: SocketAddr, ms: u64) -> bool {
    wait_until(ms, || Client::connect(address).is_ok_and(|mut client| client.ask("") == Answer::Empty))
}

/// A number that differs for each call, in the form of ids and keys.
pub fn new_id() -> String {
    static LAST: Mutex<u64> = Mutex::new(0);
    let mut last = lock(&LAST);
    *last += 1;
    format!("{:08x}{:08x}", std::process::id(), *last)
}

/// Counts lines by a word, for the summary of a record.
pub type Counts = BTreeMap<String, u64>;

// ---- configurations ----

/// The settings of `hasil-jawa` as its gateways have them; `advice_ms` is the longest advice to a refused client.
pub fn hasil_settings(advice_ms: u32) -> String {
    format!(
        r#"{{"Azs":["jakarta-1"],"Balancers":3,"Classes":[
{{"Name":"page-read","AimMs":300.0,"DeadlineMs":1000.0,"Value":3.0,"LateWorth":0.0,"Effect":"read_like","Group":"all","RepeatWindowMs":5000.0}},
{{"Name":"own-read","AimMs":500.0,"DeadlineMs":1500.0,"Value":3.0,"LateWorth":0.0,"Effect":"read_like","Group":"all","RepeatWindowMs":5000.0}},
{{"Name":"fresh-read","AimMs":750.0,"DeadlineMs":2500.0,"Value":3.0,"LateWorth":0.2,"Effect":"read_like","Group":"all","RepeatWindowMs":5000.0}},
{{"Name":"tally-write","AimMs":750.0,"DeadlineMs":3000.0,"Value":6.0,"LateWorth":0.3,"Effect":"idempotency_key","Group":"cell","RepeatWindowMs":3000.0}}],
"Clients":{{"MarksRetry":true}},"Deductions":{{"CrossZone":0.01,"Handshake":0.0,"LateFail":0.05,"Probe":0.01,"Waste":0.056}},
"DomainType":"replicas","Feedback":{{"How":"probe","Names":["x0","x1"]}},"HostTypes":["std-3core"],"Me":0,
"Permissions":{{"Cancelling":true,"ConnIdleMs":15000.0,"ConnectTimeoutMs":250.0,"MaxRetryAfterMs":{advice_ms}.0,"ParallelTries":false,"Peers":false,"Probing":true,"RetryAfter":true,"SendCap":8,"StreamsPerConn":1}},
"RegistryMode":"pushed",
"Safety":{{"ColdFrom":0.15,"ColdMs":13000.0,"FallMs":3000.0,"GraceToAnswerMs":20.0,"StopSendingWithinMs":2000.0,"TipMultiple":2.0}},
"Specifics":{{"CountedFromMs":0.0,"LagAllowedMs":[800.0,0.0,0.0,0.0],"NeedsByClass":["recent","own_writes","latest","update"],"ServerChecks":"none","SessionMarks":"router","ShowsRole":"delayed","Stamps":true,"WaitMs":0.0,"WaitsForCopy":false}},
"Tenants":[],"TickMs":5.0,"Weights":"nominal","WorthBy":"request","Zone":"jakarta-1"}}"#
    )
}

pub fn config_file(name: &str, listen: u16, admin: u16, discovery: &Discovery, settings: &str) -> String {
    let (address, known) = (discovery.address, discovery.whole());
    format!(
        r#"{{"name":"{name}","listen":"127.0.0.1:{listen}","admin_addr":"127.0.0.1:{admin}","discovery":"{address}",
"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
"settings":{settings}}}"#
    )
}
