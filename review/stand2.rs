//! Stand-ins for the cases 6 to 10: database hosts, discovery, clients, and the processes of the project. Only the
//! standard library is used. Every address is a loopback address, and every port comes from the kernel.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit statuses of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;
/// The case ends by itself after this time, whatever happens.
const LONGEST_RUN: Duration = Duration::from_secs(110);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits until a moment more exactly than a sleep does.
pub fn wait_until(at: Instant) {
    loop {
        let left = at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        if left > Duration::from_micros(300) {
            thread::sleep(left - Duration::from_micros(200));
        } else {
            std::hint::spin_loop();
        }
    }
}

/// Whether the disruption takes place: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A small generator of random numbers (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 11) % bound
    }
}

/// What was sent, answered and run, one line each, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }
    pub fn ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:10.2} {}\n", self.ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
    /// The same, and printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that this case has started and that still run.
pub fn end_children() {
    for child in CHILDREN.lock().unwrap_or_else(|e| e.into_inner()).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// What a case works with: its folder for temporary files and its record.
pub struct Case {
    pub folder: PathBuf,
    pub record: Record,
}

/// Runs a case: `CASE FOLDER RECORD`. Ends all its processes whatever happens.
pub fn run(case: impl FnOnce(&Case) -> Result<bool, String> + std::panic::UnwindSafe) -> ! {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.len() != 3 {
        eprintln!("usage: CASE FOLDER RECORD");
        std::process::exit(NOT_RUN);
    }
    let record = match Record::create(Path::new(&arguments[2])) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("cannot write the record: {e}");
            std::process::exit(NOT_RUN);
        }
    };
    thread::spawn(|| {
        thread::sleep(LONGEST_RUN);
        eprintln!("not run: it took too long");
        end_children();
        std::process::exit(NOT_RUN);
    });
    let told = record.clone();
    let this = std::panic::AssertUnwindSafe(Case { folder: PathBuf::from(&arguments[1]), record });
    let result = std::panic::catch_unwind(move || case(&this));
    end_children();
    let status = match result {
        Ok(Ok(true)) => HELD,
        Ok(Ok(false)) => BROKEN,
        Ok(Err(why)) => {
            told.say(format!("not run: {why}"));
            NOT_RUN
        }
        Err(_) => NOT_RUN,
    };
    let word = ["held", "broken", "not run"][status as usize];
    told.say(format!("result: {word}"));
    std::process::exit(status);
}

// ---------------------------------------------------------------------------------------------- messages

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
    out
}

pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let mut out = message(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    out.extend(message(b'D', &[&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat()));
    out.extend(message(b'C', format!("{tag}\0").as_bytes()));
    out
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// The end of an answer: the role, the position and ReadyForQuery.
pub fn status(is_primary: bool, position_ms: u64) -> Vec<u8> {
    let part = if is_primary { "master" } else { "replica" };
    let mut out = message(b'S', format!("part\0{part}\0").as_bytes());
    out.extend(message(b'S', format!("caught_up_to\0{position_ms}\0").as_bytes()));
    out.extend(message(b'Z', b"I"));
    out
}

fn read_message(from: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    from.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    from.read_exact(&mut body)?;
    Ok((head[0], body))
}

fn startup_packet() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0app\0database\0shop\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// A statement as a host receives it.
#[derive(Clone, Debug)]
pub struct Statement {
    pub text: String,
}

impl Statement {
    pub fn is_write(&self) -> bool {
        self.text.starts_with("INSERT")
    }
    /// The quoted literal of this index: 0 is the key, 1 the value of a write.
    pub fn quoted(&self, index: usize) -> &str {
        self.text.split('\'').nth(index * 2 + 1).unwrap_or("")
    }
    pub fn field(&self, name: &str) -> &str {
        let comment = self.text.rsplit("/*").next().unwrap_or("").trim_end_matches("*/");
        let mut fields = comment.split(',').filter_map(|field| field.trim().split_once('='));
        fields.find(|(found, _)| *found == name).map_or("", |(_, value)| value)
    }
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

pub fn new_id() -> String {
    format!("{:016x}", 0x5b10_0000_0000 + LAST_ID.fetch_add(1, Ordering::SeqCst))
}

pub fn read_of(key: &str, class: &str, wait_ms: u64) -> Statement {
    let id = new_id();
    Statement {
        text: format!("SELECT doc FROM items WHERE id = '{key}' /* id={id},c={class},d={wait_ms},cluster=1 */"),
    }
}

pub fn write_of(key: &str, value: &str, class: &str, wait_ms: u64) -> Statement {
    let (id, k) = (new_id(), new_id());
    Statement {
        text: format!(
            "INSERT INTO items (id, doc) VALUES ('{key}', '{value}') RETURNING doc \
             /* id={id},c={class},d={wait_ms},k={k},cluster=1 */"
        ),
    }
}

// ---------------------------------------------------------------------------------------------- hosts

/// A connection of a gateway to a host.
pub struct HostConnection {
    pub socket: TcpStream,
}

/// What a host does with a statement or a probe (`SHOW gauges`). An error ends the connection.
pub type Behaviour = dyn Fn(&mut HostConnection, &Statement) -> io::Result<()> + Send + Sync;

/// A database host on a port of its own.
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub is_primary: bool,
    /// Its zone in discovery's list; that of the gateway is `here`.
    pub zone: &'static str,
}

impl Host {
    pub fn start(name: &str, is_primary: bool, behaviour: Arc<Behaviour>) -> io::Result<Host> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let behaviour = behaviour.clone();
                thread::spawn(move || {
                    let _ = serve(socket, &behaviour);
                });
            }
        });
        Ok(Host { name: name.to_string(), address, is_primary, zone: "here" })
    }

    /// Its entry in discovery's list.
    pub fn entry(&self) -> String {
        let part = if self.is_primary { "master" } else { "replica" };
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"std","pod_group":1,"state":"Ready","capacity_hint":1.0,"boot_ms":0,"part":"{part}"}}"#,
            self.name, self.address, self.zone
        )
    }
}

fn serve(socket: TcpStream, behaviour: &Arc<Behaviour>) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let mut connection = HostConnection { socket };
    let mut length = [0; 4];
    connection.socket.read_exact(&mut length)?;
    let mut rest = vec![0; u32::from_be_bytes(length).saturating_sub(4) as usize];
    connection.socket.read_exact(&mut rest)?;
    connection.socket.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())?;
    loop {
        let (tag, mut body) = read_message(&mut connection.socket)?;
        if tag != b'Q' {
            return Ok(());
        }
        body.pop();
        let statement = Statement { text: String::from_utf8_lossy(&body).into_owned() };
        behaviour(&mut connection, &statement)?;
    }
}

/// The answer to a probe.
pub fn gauges(is_primary: bool, position_ms: u64) -> Vec<u8> {
    let report = format!("x0={:.3},x1={}", position_ms as f64 / 1000.0, u8::from(is_primary));
    [row(report.as_bytes(), "SHOW"), message(b'Z', b"I")].concat()
}

// ---------------------------------------------------------------------------------------------- discovery

/// Discovery with a list that does not change: the whole list on a call, and an empty change after a watch's wait.
pub struct Discovery {
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(entries: Vec<String>) -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let entries = Arc::new(entries.join(","));
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let entries = entries.clone();
                thread::spawn(move || {
                    let _ = answer_call(socket, &entries);
                });
            }
        });
        Ok(Discovery { address })
    }
}

fn answer_call(mut socket: TcpStream, entries: &str) -> io::Result<()> {
    let mut input = BufReader::new(socket.try_clone()?);
    let mut first = String::new();
    input.read_line(&mut first)?;
    let mut line = String::new();
    while input.read_line(&mut line)? > 2 {
        line.clear();
    }
    let number = |name: &str| -> Option<u64> {
        let rest = first.split(name).nth(1)?;
        rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
    };
    let is_watch = number("index=") == Some(1);
    if is_watch {
        sleep_ms(number("wait=").unwrap_or(0));
    }
    let (all, entries) = if is_watch { ("false", "") } else { ("true", entries) };
    let body = format!(r#"{{"rev":1,"all":{all},"targets":[{entries}]}}"#);
    write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

// ---------------------------------------------------------------------------------------------- clients

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    /// An ErrorResponse with this code.
    Error(String),
    /// The connection ended, or nothing came in time.
    None(String),
}

/// A client's connection to a gateway.
pub struct Client {
    pub socket: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let socket = TcpStream::connect(address)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(Duration::from_secs(10)))?;
        let mut client = Client { socket };
        client.socket.write_all(&startup_packet())?;
        while read_message(&mut client.socket)?.0 != b'Z' {}
        Ok(client)
    }
    pub fn ask(&mut self, statement: &Statement) -> Answer {
        let query = message(b'Q', format!("{}\0", statement.text).as_bytes());
        let mut answer = Answer::None("no answer".to_string());
        if let Err(e) = self.socket.write_all(&query) {
            return Answer::None(e.to_string());
        }
        loop {
            match read_message(&mut self.socket) {
                Ok((b'Z', _)) => return answer,
                Ok((b'D', body)) => answer = Answer::Served(body.get(6..).unwrap_or_default().to_vec()),
                Ok((b'E', body)) => {
                    let mut fields = body.split(|byte| *byte == 0);
                    let code = fields.find(|field| field.first() == Some(&b'C'));
                    answer = Answer::Error(String::from_utf8_lossy(&code.unwrap_or_default()[1..]).into_owned());
                }
                Ok(_) => {}
                Err(e) => return Answer::None(e.to_string()),
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------- processes

static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

/// A port that is free at present. It is one that the kernel doesn't give to connections by default, so that none takes it
/// before the process that it is meant for; the first depends on this process, so that two cases don't choose the same.
fn free_port(is_free: impl Fn(SocketAddr) -> bool) -> io::Result<SocketAddr> {
    for _ in 0..1000 {
        let next = u64::from(std::process::id()) * 61 + NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + (next % 20_000) as u16));
        if is_free(address) {
            return Ok(address);
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "no free port"))
}

pub fn free_address() -> io::Result<SocketAddr> {
    free_port(|address| TcpListener::bind(address).is_ok())
}

pub fn free_datagram_address() -> io::Result<SocketAddr> {
    free_port(|address| UdpSocket::bind(address).is_ok())
}

/// The command of a process in the deploy file.
pub fn deploy_command(name: &str) -> Result<String, String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy/balancer.toml: {e}"))?;
    let line = text.lines().find(|line| line.starts_with(&format!("{name} = ")));
    let command = line.and_then(|line| line.split('"').nth(1));
    command.map(str::to_string).ok_or_else(|| format!("deploy/balancer.toml has no {name}"))
}

/// A process of the project, by its index among those that the case has started.
#[derive(Clone, Copy)]
pub struct Process {
    index: usize,
    pub pid: u32,
}

impl Process {
    /// Starts a command as the platform does, by `/bin/sh -c` from the root.
    pub fn start(command: &str, variables: &[(&str, String)], log: &Path) -> Result<Process, String> {
        let file = File::options().append(true).create(true).open(log).map_err(|e| e.to_string())?;
        let errors = file.try_clone().map_err(|e| e.to_string())?;
        let mut started = Command::new("/bin/sh");
        started.arg("-c").arg(command).stdin(Stdio::null()).stdout(file).stderr(errors);
        for name in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_SETTINGS", "GW_LOG", "GW_CONFIG", "GW_ADMIN_ADDR"] {
            started.env_remove(name);
        }
        let child = started.envs(variables.iter().map(|(name, value)| (*name, value.clone()))).spawn();
        let child = child.map_err(|e| format!("{command}: {e}"))?;
        let pid = child.id();
        let mut children = CHILDREN.lock().unwrap();
        children.push(child);
        Ok(Process { index: children.len() - 1, pid })
    }
    pub fn has_ended(&self) -> bool {
        !matches!(CHILDREN.lock().unwrap()[self.index].try_wait(), Ok(None))
    }
    pub fn kill(&self) {
        let mut children = CHILDREN.lock().unwrap();
        let _ = children[self.index].kill();
        let _ = children[self.index].wait();
    }
    /// Sends a signal by name, such as TERM.
    pub fn signal(&self, name: &str) {
        if !self.has_ended() {
            let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.pid)).status();
        }
    }
    /// The process's memory that is no file, in KiB.
    pub fn anonymous_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

/// One class of the settings.
pub struct Class {
    pub name: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub effect: &'static str,
    pub needs: &'static str,
    pub lag_ms: u64,
}

/// The classes of the small deployment of these cases.
pub fn usual_classes() -> Vec<Class> {
    let class = |name, aim_ms, deadline_ms, effect, needs, lag_ms| Class { name, aim_ms, deadline_ms, effect, needs, lag_ms };
    vec![
        class("page-read", 300, 1000, "read_like", "recent", 800),
        class("own-read", 500, 1500, "read_like", "own_writes", 0),
        class("fresh-read", 750, 2500, "read_like", "latest", 0),
        class("tally-write", 750, 3000, "idempotency_key", "update", 0),
    ]
}

/// The settings object.
pub fn settings(classes: &[Class]) -> String {
    let listed: Vec<String> = classes
        .iter()
        .map(|class| {
            format!(
                r#"{{"Name":"{}","AimMs":{},"DeadlineMs":{},"Value":3.0,"LateWorth":0.2,"Effect":"{}","Group":"cell","RepeatWindowMs":3000.0}}"#,
                class.name, class.aim_ms, class.deadline_ms, class.effect
            )
        })
        .collect();
    let needs: Vec<String> = classes.iter().map(|class| format!("\"{}\"", class.needs)).collect();
    let lags: Vec<String> = classes.iter().map(|class| class.lag_ms.to_string()).collect();
    format!(
        r#"{{"Balancers":1,"Zone":"here","TickMs":5.0,"RegistryMode":"pushed","Classes":[{}],
 "Clients":{{"MarksRetry":true}},
 "Specifics":{{"CountedFromMs":0.0,"NeedsByClass":[{}],"LagAllowedMs":[{}],"ServerChecks":"none","SessionMarks":"router","Stamps":true}},
 "Permissions":{{"Cancelling":true,"Probing":true,"RetryAfter":true,"MaxRetryAfterMs":1000.0,"ConnIdleMs":15000.0,"ConnectTimeoutMs":250.0,"SendCap":8}},
 "Deductions":{{"CrossZone":0.01,"Probe":0.01}},
 "Safety":{{"ColdFrom":0.15,"ColdMs":13000.0,"FallMs":3000.0,"StopSendingWithinMs":2000.0,"TipMultiple":2.0}}}}"#,
        listed.join(","),
        needs.join(","),
        lags.join(",")
    )
}

/// A gateway, as the platform starts it.
#[derive(Clone)]
pub struct Gateway {
    pub process: Process,
    pub address: SocketAddr,
    pub admin: SocketAddr,
    config: PathBuf,
    folder: PathBuf,
    extra: Vec<(&'static str, String)>,
}

impl Gateway {
    /// Starts a gateway and waits until it takes clients.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        case: &Case,
        hosts: &[Host],
        discovery: SocketAddr,
        settings: &str,
        memory_mb: u64,
        sockets: u64,
        extra: Vec<(&'static str, String)>,
    ) -> Result<Gateway, String> {
        let address = free_address().map_err(|e| e.to_string())?;
        let admin = free_address().map_err(|e| e.to_string())?;
        let entries: Vec<String> = hosts.iter().map(Host::entry).collect();
        let text = format!(
            r#"{{"name":"g1","listen":"{address}","admin_addr":"{admin}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{{"rev":0,"all":true,"targets":[{}]}},
"settings":{settings}}}"#,
            entries.join(",")
        );
        let (config, folder) = (case.folder.join("config.json"), case.folder.join("tmp"));
        std::fs::write(&config, text).map_err(|e| e.to_string())?;
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        Gateway::launch(case, address, admin, config, folder, extra)
    }

    /// Starts the next process of this gateway, as in an upgrade: a second admin address, everything else the same.
    pub fn upgrade(&self, case: &Case) -> Result<Gateway, String> {
        let admin = free_address().map_err(|e| e.to_string())?;
        Gateway::launch(case, self.address, admin, self.config.clone(), self.folder.clone(), self.extra.clone())
    }

    fn launch(
        case: &Case,
        address: SocketAddr,
        admin: SocketAddr,
        config: PathBuf,
        folder: PathBuf,
        extra: Vec<(&'static str, String)>,
    ) -> Result<Gateway, String> {
        let mut variables = vec![
            ("GW_CONFIG", config.display().to_string()),
            ("GW_ADMIN_ADDR", admin.to_string()),
            ("TMPDIR", folder.display().to_string()),
        ];
        variables.extend(extra.iter().cloned());
        let process = Process::start(&deploy_command("run")?, &variables, &case.folder.join("gateway.log"))?;
        let gateway = Gateway { process, address, admin, config, folder, extra };
        let until = Instant::now() + Duration::from_secs(20);
        while !gateway.is_ready() {
            if process.has_ended() || Instant::now() >= until {
                let log = std::fs::read_to_string(case.folder.join("gateway.log")).unwrap_or_default();
                return Err(format!("the gateway is not ready: {}", log.lines().last().unwrap_or("")));
            }
            sleep_ms(5);
        }
        Ok(gateway)
    }

    fn is_ready(&self) -> bool {
        self.call("GET", "/ops/readiness", "").is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// An operator's call.
    pub fn call(&self, method: &str, path: &str, body: &str) -> io::Result<String> {
        let mut socket = TcpStream::connect(self.admin)?;
        socket.set_read_timeout(Some(Duration::from_secs(2)))?;
        write!(socket, "{method} {path} HTTP/1.1\r\nHost: g\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        let mut answer = String::new();
        socket.read_to_string(&mut answer)?;
        Ok(answer)
    }

    /// The gateway's log, for the record.
    pub fn copy_log(case: &Case) {
        let log = std::fs::read_to_string(case.folder.join("gateway.log")).unwrap_or_default();
        for line in log.lines() {
            case.record.line(format!("log: {line}"));
        }
    }
}

// ---------------------------------------------------------------------------------------------- a group's data

/// The commits of a group: for each key the values with the times of their commits.
#[derive(Default)]
pub struct Data {
    commits: Mutex<HashMap<String, Vec<(u64, String)>>>,
    /// The commit of the first write with each idempotency key.
    keys: Mutex<HashMap<String, u64>>,
}

/// How long a group drops the repeats of a key.
const REPEATS_DROPPED_MS: u64 = 3_000;

impl Data {
    /// Commits a value, and returns the commit's position: its time, rounded up.
    pub fn commit(&self, key: &str, value: &str) -> u64 {
        let mut commits = self.commits.lock().unwrap();
        let at = unix_ms() + 1;
        commits.entry(key.to_string()).or_default().push((at, value.to_string()));
        at
    }
    /// The same for a write with an idempotency key, whose repeats are dropped.
    pub fn commit_once(&self, statement: &Statement) -> u64 {
        let mut keys = self.keys.lock().unwrap();
        let first = keys.get(statement.field("k")).copied();
        if let Some(first) = first.filter(|first| unix_ms() < first + REPEATS_DROPPED_MS) {
            return first;
        }
        let at = self.commit(statement.quoted(0), statement.quoted(1));
        keys.insert(statement.field("k").to_string(), at);
        at
    }
    /// Whether a value that was read is older than one that was written: its commit came before, or there is none.
    pub fn is_older(&self, key: &str, found: &str, written: &str) -> bool {
        let commits = self.commits.lock().unwrap();
        let place = |value: &str| commits.get(key)?.iter().rposition(|(_, committed)| committed == value);
        place(found) < place(written)
    }
    /// The value of a key as of a position.
    pub fn read(&self, key: &str, position_ms: u64) -> String {
        let commits = self.commits.lock().unwrap();
        let values = commits.get(key).into_iter().flatten();
        values.filter(|(at, _)| *at <= position_ms).last().map_or("-".to_string(), |(_, value)| value.clone())
    }
}

/// A sound host of a replicated group: the primary stands at the present, a replica `lag_ms` behind it.
pub fn replicated(
    record: Record,
    name: &str,
    is_primary: bool,
    lag_ms: u64,
    work_ms: u64,
    data: Arc<Data>,
) -> Arc<Behaviour> {
    let name = name.to_string();
    Arc::new(move |connection: &mut HostConnection, statement: &Statement| {
        let position = || if is_primary { unix_ms() } else { unix_ms() - lag_ms };
        if statement.text.starts_with("SHOW") {
            return connection.socket.write_all(&gauges(is_primary, position()));
        }
        let (id, key) = (statement.field("id"), statement.quoted(0));
        if statement.is_write() && !is_primary {
            return connection.socket.write_all(&[error("25006", "no primary"), status(false, position())].concat());
        }
        sleep_ms(work_ms);
        let (value, tag, position) = if statement.is_write() {
            let value = statement.quoted(1).to_string();
            let commit = data.commit_once(statement);
            // The commit's time is rounded up: it has passed when the answer goes out.
            sleep_ms(2);
            (value, "INSERT 0 1", commit)
        } else {
            let position = position();
            (data.read(key, position), "SELECT 1", position)
        };
        record.line(format!("{name} ran {id} '{key}': {value} at {position}"));
        connection.socket.write_all(&[row(value.as_bytes(), tag), status(is_primary, position)].concat())
    })
}

/// A flag that other threads wait for.
#[derive(Default)]
pub struct Stop {
    is_set: AtomicBool,
    lock: Mutex<()>,
    changed: Condvar,
}

impl Stop {
    pub fn set(&self) {
        self.is_set.store(true, Ordering::SeqCst);
        let _guard = self.lock.lock().unwrap();
        self.changed.notify_all();
    }
    pub fn is_set(&self) -> bool {
        self.is_set.load(Ordering::SeqCst)
    }
}
