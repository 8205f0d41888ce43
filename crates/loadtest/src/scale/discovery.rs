//! A simulated discovery service: a thread that answers calls with the endpoint list. A call that names the current
//! version is held (long polling) until the list changes or its wait ends.

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

/// Listen backlog: a whole fleet connects at once.
const LISTEN_BACKLOG: i32 = 2_048;
/// Limit of open connections.
const MAX_CONNECTIONS: usize = 4_096;
/// Limit of a request's length.
const MAX_REQUEST_BYTES: usize = 8 * 1024;
/// Key of the listener in the poller; connections have the keys above.
const LISTENER_KEY: usize = 0;
/// Longest time between two checks for waits that have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The endpoint list with its prepared answers.
struct HostList {
    version: u64,
    hosts: Vec<Value>,
    /// The answer with all hosts.
    full_answer: Arc<Vec<u8>>,
    /// The answer with the hosts that changed since the previous version.
    delta_answer: Arc<Vec<u8>>,
}

impl HostList {
    /// An HTTP response with these hosts; `all` says whether they are the whole list.
    fn answer(version: u64, all: bool, hosts: &[&Value]) -> Arc<Vec<u8>> {
        let body = json!({"rev": version, "all": all, "targets": hosts}).to_string();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        Arc::new([head.into_bytes(), body.into_bytes()].concat())
    }

    /// Prepares the answers after these hosts have changed.
    fn build(&mut self, changed: &[usize]) {
        let all: Vec<&Value> = self.hosts.iter().collect();
        let changed: Vec<&Value> = changed.iter().filter_map(|host| self.hosts.get(*host)).collect();
        self.full_answer = HostList::answer(self.version, true, &all);
        self.delta_answer = HostList::answer(self.version, false, &changed);
    }
}

/// Counters of calls and answers.
#[derive(Debug, Default)]
pub struct AnswerCounts {
    /// Number of calls.
    pub calls: AtomicU64,
    /// Number of answers with a new version.
    pub lists: AtomicU64,
    /// Bytes of all answers.
    pub bytes: AtomicU64,
}

/// A simulated discovery service that runs until it is dropped.
pub struct Discovery {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Counters of calls and answers.
    pub answers: Arc<AnswerCounts>,
    list: Arc<Mutex<HostList>>,
    poller: Arc<Poller>,
    end: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    group_size: u64,
}

/// The address of a host, on which nothing listens. It depends on the host and on the version of the list in which the
/// host last moved.
fn endpoint(host: u64, version: u64) -> String {
    format!("127.{}.{}.{}:{}", 1 + version % 100, host / 250 % 250, 1 + host % 250, 5432)
}

impl Discovery {
    /// Starts a service whose list has `hosts` hosts in groups of `group_size`, spread over the zones. The first host
    /// of each group is its primary. With `whole`, each answer with a new version contains the whole list.
    ///
    /// # Errors
    /// The system cannot provide a port, a poller or a thread.
    pub fn start(hosts: u64, group_size: u64, zones: usize, whole: bool) -> io::Result<Discovery> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        socket.listen(LISTEN_BACKLOG)?;
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
        let (full_answer, delta_answer) = (Arc::default(), Arc::default());
        let mut list = HostList { version: 1, hosts, full_answer, delta_answer };
        list.build(&[]);
        let list = Arc::new(Mutex::new(list));
        let poller = Arc::new(Poller::new()?);
        poller.add_with_mode(&listener, Event::readable(LISTENER_KEY), PollMode::Level)?;
        let (answers, end) = (Arc::new(AnswerCounts::default()), Arc::new(AtomicBool::new(false)));
        let server = DiscoveryServer {
            listener,
            poller: poller.clone(),
            list: list.clone(),
            answers: answers.clone(),
            whole,
            connections: BTreeMap::new(),
            next_key: LISTENER_KEY + 1,
        };
        let ended = end.clone();
        let thread =
            std::thread::Builder::new().name("discovery".into()).spawn(move || server.run(&ended))?;
        Ok(Discovery { address, answers, list, poller, end, thread: Some(thread), group_size })
    }

    fn with_list<T>(&self, act: impl FnOnce(&mut HostList) -> T) -> T {
        // A thread that panicked while it held the lock has at worst left outdated answers.
        act(&mut self.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// The current version of the list.
    pub fn version(&self) -> u64 {
        self.with_list(|list| list.version)
    }

    /// Length of the answer with the whole list, in bytes.
    pub fn length(&self) -> usize {
        self.with_list(|list| list.full_answer.len())
    }

    /// The hosts of the first `groups` groups, in the form of discovery's answers and marked as the whole list.
    pub fn known(&self, groups: u64) -> Value {
        let first = groups.saturating_mul(self.group_size) as usize;
        self.with_list(|list| {
            json!({"rev": list.version, "all": true, "targets": list.hosts[..first.min(list.hosts.len())]})
        })
    }

    fn change(&self, act: impl FnOnce(&mut HostList) -> Vec<usize>) -> u64 {
        let version = self.with_list(|list| {
            list.version += 1;
            let changed = act(list);
            list.build(&changed);
            list.version
        });
        let _ = self.poller.notify();
        version
    }

    /// Gives the first `count` hosts another address. Returns the new version of the list.
    pub fn move_hosts(&self, count: u64) -> u64 {
        self.change(|list| {
            let (version, count) = (list.version, (count as usize).min(list.hosts.len()));
            for (host, line) in list.hosts.iter_mut().enumerate().take(count) {
                line["endpoint"] = endpoint(host as u64, version).into();
            }
            (0..count).collect()
        })
    }

    /// Makes the next host of the first group its primary. Returns the new version of the list.
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

/// A connection to the service, which carries one call.
struct Connection {
    socket: TcpStream,
    request_bytes: Vec<u8>,
    /// The version that the caller knows and the end of its wait; `None` before the request is complete and after it
    /// has been answered.
    pending: Option<(Option<u64>, Instant)>,
    answer: Option<Arc<Vec<u8>>>,
    sent: usize,
}

/// The thread's state.
struct DiscoveryServer {
    listener: TcpListener,
    poller: Arc<Poller>,
    list: Arc<Mutex<HostList>>,
    answers: Arc<AnswerCounts>,
    /// Whether each answer with a new version contains the whole list.
    whole: bool,
    connections: BTreeMap<usize, Connection>,
    /// Poller key of the next connection.
    next_key: usize,
}

impl DiscoveryServer {
    fn run(mut self, end: &AtomicBool) {
        let mut events = Vec::new();
        while !end.load(Ordering::Relaxed) {
            events.clear();
            let _ = self.poller.wait(&mut events, Some(POLL_INTERVAL));
            for event in &events {
                match event.key {
                    LISTENER_KEY => self.accept(),
                    key => self.serve(key),
                }
            }
            self.answer_calls();
        }
    }

    fn accept(&mut self) {
        while let Ok((socket, _)) = self.listener.accept() {
            let key = self.next_key;
            self.next_key += 1;
            let is_accepted = self.connections.len() < MAX_CONNECTIONS
                && socket.set_nonblocking(true).is_ok()
                && self.poller.add_with_mode(&socket, Event::readable(key), PollMode::Level).is_ok();
            if is_accepted {
                let connection =
                    Connection { socket, request_bytes: Vec::new(), pending: None, answer: None, sent: 0 };
                self.connections.insert(key, connection);
            }
        }
    }

    /// Continues to read a request or to write its answer.
    fn serve(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let keep_open = match connection.answer {
            Some(_) => connection.write().unwrap_or(false),
            None => connection.read(&self.answers).unwrap_or(false),
        };
        if !keep_open {
            self.close(key);
        }
    }

    fn close(&mut self, key: usize) {
        if let Some(connection) = self.connections.remove(&key) {
            let _ = self.poller.delete(&connection.socket);
        }
    }

    /// Answers the calls that know another version than the current one, and those whose wait has ended.
    fn answer_calls(&mut self) {
        let (version, full_answer, delta_answer) = {
            let list = self.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            (list.version, list.full_answer.clone(), list.delta_answer.clone())
        };
        let now = Instant::now();
        let mut done = Vec::new();
        for (key, connection) in &mut self.connections {
            let Some((known, until)) = connection.pending else { continue };
            let is_new = known != Some(version);
            if !is_new && now < until {
                continue;
            }
            connection.pending = None;
            let knows_previous = known.is_some_and(|known| known + 1 == version);
            let answer = match (is_new, self.whole || !knows_previous) {
                (true, true) => full_answer.clone(),
                (true, false) => delta_answer.clone(),
                (false, _) => HostList::answer(version, false, &[]),
            };
            self.answers.lists.fetch_add(u64::from(is_new), Ordering::Relaxed);
            self.answers.bytes.fetch_add(answer.len() as u64, Ordering::Relaxed);
            connection.answer = Some(answer);
            let keep_open = connection.write().unwrap_or(false)
                && self
                    .poller
                    .modify_with_mode(&connection.socket, Event::writable(*key), PollMode::Level)
                    .is_ok();
            if !keep_open {
                done.push(*key);
            }
        }
        done.into_iter().for_each(|key| self.close(key));
    }
}

impl Connection {
    /// Reads the request. Returns whether the connection stays open.
    fn read(&mut self, answers: &AnswerCounts) -> io::Result<bool> {
        let mut bytes = [0; 2048];
        loop {
            match self.socket.read(&mut bytes) {
                Ok(0) => return Ok(false),
                Ok(count) => self.request_bytes.extend_from_slice(&bytes[..count]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&self.request_bytes) {
            Ok(httparse::Status::Complete(_)) if self.pending.is_none() => {
                let path = request.path.unwrap_or_default();
                let number = |name: &str| -> Option<u64> {
                    let (_, query) = path.split_once('?')?;
                    let found = query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
                    found?.parse().ok()
                };
                let wait = Duration::from_millis(number("wait").unwrap_or(0).min(60_000));
                self.pending = Some((number("index"), Instant::now() + wait));
                answers.calls.fetch_add(1, Ordering::Relaxed);
                Ok(true)
            }
            Ok(_) => Ok(self.request_bytes.len() <= MAX_REQUEST_BYTES),
            Err(_) => Ok(false),
        }
    }

    /// Writes the answer. Returns whether there is more to write.
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
