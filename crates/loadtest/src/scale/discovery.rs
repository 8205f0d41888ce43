//! One stand-in for discovery: a thread that hands the list to whoever asks, and holds those who know it already until
//! it changes or their wait is over.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use polling::{Event, PollMode, Poller};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};

/// Calls that may wait for being taken: a whole fleet comes at once.
const BACKLOG: i32 = 2_048;
/// Most connections at once.
const MOST: usize = 4_096;
/// Most bytes of a call.
const LONGEST: usize = 8 * 1024;
const DOOR: usize = 0;
const LOOK: Duration = Duration::from_millis(50);

/// The list and its answers.
struct List {
    version: u64,
    hosts: Vec<Value>,
    /// The answer to whoever knows an older version, whole, and to whoever knows the one before, of changes.
    whole: Arc<Vec<u8>>,
    changes: Arc<Vec<u8>>,
}

impl List {
    fn answer(version: u64, all: bool, hosts: &[&Value]) -> Arc<Vec<u8>> {
        let body = json!({"rev": version, "all": all, "targets": hosts}).to_string();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        Arc::new([head.into_bytes(), body.into_bytes()].concat())
    }

    fn build(&mut self, changed: &[usize]) {
        let all: Vec<&Value> = self.hosts.iter().collect();
        let some: Vec<&Value> = changed.iter().filter_map(|host| self.hosts.get(*host)).collect();
        self.whole = List::answer(self.version, true, &all);
        self.changes = List::answer(self.version, false, &some);
    }
}

/// What it has been asked and has told.
#[derive(Debug, Default)]
pub struct Told {
    /// Calls.
    pub calls: AtomicU64,
    /// Answers with a list.
    pub lists: AtomicU64,
    /// Bytes of answers.
    pub bytes: AtomicU64,
}

/// A stand-in that runs until it is dropped.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has been asked and has told.
    pub told: Arc<Told>,
    list: Arc<Mutex<List>>,
    poller: Arc<Poller>,
    end: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    group_size: u64,
}

/// The address of a host that is not there: the same for one number, and nobody listens.
fn endpoint(host: u64, version: u64) -> String {
    format!("127.{}.{}.{}:{}", 1 + version % 100, host / 250 % 250, 1 + host % 250, 5432)
}

impl Discovery {
    /// Starts one with so many hosts in groups of a size over the zones; the first of each group is its primary.
    ///
    /// # Errors
    /// What the system does not give: a port, a poller, a thread.
    pub fn start(hosts: u64, group_size: u64, zones: usize, whole: bool) -> io::Result<Discovery> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let listener: TcpListener = socket.into();
        let address = listener.local_addr()?;
        let host = |host: u64| {
            json!({"uid": format!("host-{host:04}"), "endpoint": endpoint(host, 0),
                "az": format!("zone-{}", host % zones as u64), "pod_group": host / group_size, "state": "Ready",
                "capacity_hint": 1.0, "boot_ms": 0,
                "part": if host % group_size == 0 { "master" } else { "replica" }})
        };
        let hosts = (0..hosts).map(host).collect();
        let (old, new) = (Arc::default(), Arc::default());
        let mut list = List { version: 1, hosts, whole: old, changes: new };
        list.build(&[]);
        let list = Arc::new(Mutex::new(list));
        let poller = Arc::new(Poller::new()?);
        poller.add_with_mode(&listener, Event::readable(DOOR), PollMode::Level)?;
        let (told, end) = (Arc::new(Told::default()), Arc::new(AtomicBool::new(false)));
        let desk = Desk {
            listener,
            poller: poller.clone(),
            list: list.clone(),
            told: told.clone(),
            whole,
            calls: BTreeMap::new(),
            next: DOOR + 1,
        };
        let ended = end.clone();
        let thread = std::thread::Builder::new().name("discovery".into()).spawn(move || desk.run(&ended))?;
        Ok(Discovery { address, told, list, poller, end, thread: Some(thread), group_size })
    }

    fn with_list<T>(&self, act: impl FnOnce(&mut List) -> T) -> T {
        // Whoever panicked with it has at worst left an answer of before.
        act(&mut self.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// The version of the list.
    pub fn version(&self) -> u64 {
        self.with_list(|list| list.version)
    }

    /// Length of a whole answer, in bytes.
    pub fn length(&self) -> usize {
        self.with_list(|list| list.whole.len())
    }

    /// The whole list in discovery's form with the hosts of the first so many groups only.
    pub fn known(&self, groups: u64) -> Value {
        let first = groups.saturating_mul(self.group_size) as usize;
        self.with_list(|list| {
            json!({"rev": list.version, "all": true, "targets": list.hosts[..first.min(list.hosts.len())]})
        })
    }

    fn change(&self, act: impl FnOnce(&mut List) -> Vec<usize>) -> u64 {
        let version = self.with_list(|list| {
            list.version += 1;
            let changed = act(list);
            list.build(&changed);
            list.version
        });
        let _ = self.poller.notify();
        version
    }

    /// The first so many hosts have moved; the list's new version.
    pub fn move_hosts(&self, count: u64) -> u64 {
        self.change(|list| {
            let (version, count) = (list.version, (count as usize).min(list.hosts.len()));
            for (host, line) in list.hosts.iter_mut().enumerate().take(count) {
                line["endpoint"] = endpoint(host as u64, version).into();
            }
            (0..count).collect()
        })
    }

    /// The first group has another primary; the list's new version.
    pub fn move_primary(&self) -> u64 {
        let size = self.group_size as usize;
        self.change(|list| {
            let size = size.min(list.hosts.len());
            let primary = list.hosts[..size].iter().position(|host| host["part"] == "master").unwrap_or(0);
            let next = (primary + 1) % size;
            list.hosts[primary]["part"] = "replica".into();
            list.hosts[next]["part"] = "master".into();
            vec![primary, next]
        })
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
        let _ = self.poller.notify();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A call to it.
struct Call {
    socket: TcpStream,
    asked: Vec<u8>,
    /// What the caller knows, and until when it waits for more.
    waits: Option<(Option<u64>, Instant)>,
    answer: Option<Arc<Vec<u8>>>,
    sent: usize,
}

struct Desk {
    listener: TcpListener,
    poller: Arc<Poller>,
    list: Arc<Mutex<List>>,
    told: Arc<Told>,
    whole: bool,
    calls: BTreeMap<usize, Call>,
    next: usize,
}

impl Desk {
    fn run(mut self, end: &AtomicBool) {
        let mut events = Vec::new();
        while !end.load(Ordering::Relaxed) {
            events.clear();
            let _ = self.poller.wait(&mut events, Some(LOOK));
            for event in &events {
                match event.key {
                    DOOR => self.accept(),
                    key => self.serve(key),
                }
            }
            self.answer();
        }
    }

    fn accept(&mut self) {
        while let Ok((socket, _)) = self.listener.accept() {
            let key = self.next;
            self.next += 1;
            let fit = self.calls.len() < MOST
                && socket.set_nonblocking(true).is_ok()
                && self.poller.add_with_mode(&socket, Event::readable(key), PollMode::Level).is_ok();
            if fit {
                let call = Call { socket, asked: Vec::new(), waits: None, answer: None, sent: 0 };
                self.calls.insert(key, call);
            }
        }
    }

    /// Reads a call, or goes on with its answer.
    fn serve(&mut self, key: usize) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        let goes_on = match call.answer {
            Some(_) => call.write().unwrap_or(false),
            None => call.read(&self.told).unwrap_or(false),
        };
        if !goes_on {
            self.close(key);
        }
    }

    fn close(&mut self, key: usize) {
        if let Some(call) = self.calls.remove(&key) {
            let _ = self.poller.delete(&call.socket);
        }
    }

    /// Answers those for whom there is something new, or whose wait is over.
    fn answer(&mut self) {
        let (version, whole, changes) = {
            let list = self.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            (list.version, list.whole.clone(), list.changes.clone())
        };
        let now = Instant::now();
        let mut done = Vec::new();
        for (key, call) in &mut self.calls {
            let Some((known, until)) = call.waits else { continue };
            let news = known != Some(version);
            if !news && now < until {
                continue;
            }
            call.waits = None;
            let one_before = known.is_some_and(|known| known + 1 == version);
            let answer = match (news, self.whole || !one_before) {
                (true, true) => whole.clone(),
                (true, false) => changes.clone(),
                (false, _) => List::answer(version, false, &[]),
            };
            self.told.lists.fetch_add(u64::from(news), Ordering::Relaxed);
            self.told.bytes.fetch_add(answer.len() as u64, Ordering::Relaxed);
            call.answer = Some(answer);
            let goes_on = call.write().unwrap_or(false)
                && self.poller.modify_with_mode(&call.socket, Event::writable(*key), PollMode::Level).is_ok();
            if !goes_on {
                done.push(*key);
            }
        }
        done.into_iter().for_each(|key| self.close(key));
    }
}

impl Call {
    /// Whether it goes on.
    fn read(&mut self, told: &Told) -> io::Result<bool> {
        let mut bytes = [0; 2048];
        loop {
            match self.socket.read(&mut bytes) {
                Ok(0) => return Ok(false),
                Ok(count) => self.asked.extend_from_slice(&bytes[..count]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&self.asked) {
            Ok(httparse::Status::Complete(_)) if self.waits.is_none() => {
                let path = request.path.unwrap_or_default();
                let number = |name: &str| -> Option<u64> {
                    let (_, query) = path.split_once('?')?;
                    let found = query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
                    found?.parse().ok()
                };
                let wait = Duration::from_millis(number("wait").unwrap_or(0).min(60_000));
                self.waits = Some((number("index"), Instant::now() + wait));
                told.calls.fetch_add(1, Ordering::Relaxed);
                Ok(true)
            }
            Ok(_) => Ok(self.asked.len() <= LONGEST),
            Err(_) => Ok(false),
        }
    }

    /// Whether there is more to write.
    fn write(&mut self) -> io::Result<bool> {
        let Some(answer) = &self.answer else { return Ok(true) };
        while self.sent < answer.len() {
            match self.socket.write(&answer[self.sent..]) {
                Ok(count) => self.sent += count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(true),
                Err(e) => return Err(e),
            }
        }
        Ok(false)
    }
}
