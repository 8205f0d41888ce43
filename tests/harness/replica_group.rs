//! A replicated family on loopback: a primary that can hand over, hang or be deposed, replicas that follow it, and answers
//! that tell what data they were given from.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dunemount::pg::codec;
use serde_json::{json, Value};

use super::scripted::{answer_with, Host, HostConnection};
use super::{next_request_id, ClientConnection};

/// Hosts of a family; the first is the primary at first.
const HOSTS: usize = 3;

/// What an answer tells counts as known so long after it was written, in microseconds.
const KNOWN_AFTER: u64 = 100_000;

/// The machine's time in microseconds since 1970: the time of the log as well.
pub fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_micros() as u64
}

/// What a host does that calls itself the primary while its log stands still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalledBehavior {
    /// It turns everything away.
    Refuses,
    /// It serves reads from what it has, and drops writes that it has seen before.
    Serves,
    /// It answers with errors.
    Fails,
    /// It says that reads are too far ahead and writes misplaced.
    Misses,
    /// It takes requests and answers none.
    Hangs,
}

/// All ways in which it stands still.
pub const STALLED_BEHAVIORS: [StalledBehavior; 5] = [
    StalledBehavior::Refuses,
    StalledBehavior::Serves,
    StalledBehavior::Fails,
    StalledBehavior::Misses,
    StalledBehavior::Hangs,
];

#[derive(Default)]
struct State {
    /// The primary whose log goes on, if there is one.
    live: Option<usize>,
    /// Where the family's log stands still while there is none.
    still_at: u64,
    /// Hosts that call themselves the primary though they are not, where each stands and what it does.
    claims: BTreeMap<usize, (u64, StalledBehavior)>,
    /// How far each host has applied the log: positions never go back.
    applied: [u64; HOSTS],
    /// Hosts that have been the primary, and when each has first answered a request as a replica since.
    deposed: BTreeMap<u16, Option<u64>>,
    /// Commits of the writes by their keys: a repeat is told the first one's.
    commits: HashMap<String, u64>,
}

/// What a host answers with.
struct Word {
    claims: bool,
    position: u64,
    /// What it does instead of serving.
    conduct: Option<StalledBehavior>,
}

struct Shared {
    state: Mutex<State>,
    /// How far replicas are behind, in microseconds.
    lag: AtomicU64,
}

impl Shared {
    fn word(&self, host: usize) -> Word {
        let mut state = self.state.lock().expect("whole");
        let now = unix_micros();
        let end = state.live.map_or(state.still_at, |_| now);
        match state.claims.get(&host) {
            Some((position, conduct)) => Word { claims: true, position: *position, conduct: Some(*conduct) },
            None if state.live == Some(host) => Word { claims: true, position: now, conduct: None },
            None => {
                let position = end.min(now - self.lag.load(Ordering::SeqCst)).max(state.applied[host]);
                state.applied[host] = position;
                Word { claims: false, position, conduct: None }
            }
        }
    }

    /// Books that a host that has been the primary answers a request as a replica.
    fn note_deposed(&self, port: u16, otherwise: bool) {
        let mut state = self.state.lock().expect("whole");
        if let (Some(told), false) = (state.deposed.get_mut(&port), otherwise) {
            told.get_or_insert_with(unix_micros);
        }
    }

    /// The commit of a write at a host that is the primary, or was it and has seen the key before.
    fn commit(&self, host: usize, statement: &str) -> Option<u64> {
        let mut state = self.state.lock().expect("whole");
        let key = field(statement, "k").to_string();
        let live = state.live == Some(host);
        let commit = unix_micros().div_ceil(1_000) * 1_000;
        match state.commits.get(&key) {
            Some(first) => Some(*first),
            None if live => Some(*state.commits.entry(key).or_insert(commit)),
            None => None,
        }
    }

    fn serve(&self, mut link: HostConnection, host: usize, port: u16) {
        while let Some(asked) = link.next_statement() {
            let Word { claims, position, conduct } = self.word(host);
            self.note_deposed(port, claims || asked.starts_with("SHOW"));
            let (role, told) = (if claims { "master" } else { "replica" }, position / 1_000);
            let writes = asked.starts_with("INSERT");
            let code = match conduct {
                _ if asked.starts_with("SHOW") => {
                    let report = format!("x0={:.3},x1={}", told as f64 / 1_000.0, u8::from(claims));
                    link.send(&answer_with(report.as_bytes(), role, None));
                    continue;
                }
                Some(StalledBehavior::Hangs) => continue,
                Some(StalledBehavior::Refuses) => Some("53300"),
                Some(StalledBehavior::Fails) => Some("XX000"),
                Some(StalledBehavior::Misses) => Some("72000"),
                None if writes && !claims => Some("25006"),
                Some(StalledBehavior::Serves) | None => None,
            };
            let commit = if writes && code.is_none() { self.commit(host, &asked) } else { None };
            let code = code.or((writes && commit.is_none()).then_some("25006"));
            let told = commit.map_or(told, |commit| commit / 1_000);
            match code {
                Some(code) => link.send(&refusal(code, role, told)),
                None => {
                    let value = format!("{role} {port} {position}");
                    link.send(&answer_with(value.as_bytes(), role, Some(told)));
                }
            }
        }
    }
}

/// An answer with an error, role and position.
fn refusal(code: &str, role: &str, position_ms: u64) -> Vec<u8> {
    let mut out = Vec::new();
    codec::write_error_response(&mut out, "ERROR", code, "not now", None);
    codec::write_parameter_status(&mut out, "part", role);
    codec::write_parameter_status(&mut out, "caught_up_to", &position_ms.to_string());
    codec::write_ready_for_query(&mut out);
    out
}

/// A field of a statement's comment.
fn field<'a>(statement: &'a str, name: &str) -> &'a str {
    let comment = statement.split("/*").nth(1).expect("a comment");
    let field = comment.split([',', ' ']).find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
    field.expect("the field")
}

/// A primary and two replicas.
pub struct ReplicaGroup {
    /// The hosts' addresses, that of the first primary first.
    pub endpoints: Vec<SocketAddr>,
    /// Its number in the list.
    pub group: usize,
    shared: Arc<Shared>,
}

impl ReplicaGroup {
    /// A family whose replicas are so far behind, in microseconds.
    pub fn following(lag: u64) -> ReplicaGroup {
        ReplicaGroup::numbered(1, lag)
    }

    /// The same with a number of its own.
    pub fn numbered(group: usize, lag: u64) -> ReplicaGroup {
        let state = Mutex::new(State { live: Some(0), ..State::default() });
        let shared = Arc::new(Shared { state, lag: AtomicU64::new(lag) });
        let endpoints = (0..HOSTS).map(|index| ReplicaGroup::host(index, &shared)).collect();
        ReplicaGroup { endpoints, group, shared }
    }

    fn host(index: usize, shared: &Arc<Shared>) -> SocketAddr {
        let host = Host::new();
        let address = host.address();
        let shared = shared.clone();
        std::thread::spawn(move || loop {
            let link = host.accept_ready();
            let shared = shared.clone();
            std::thread::spawn(move || shared.serve(link, index, address.port()));
        });
        address
    }

    /// The list's lines for its hosts.
    pub fn lines(&self) -> Vec<Value> {
        let line = |(index, endpoint): (usize, &SocketAddr)| {
            json!({"uid": format!("s-{}-{index}", self.group), "endpoint": endpoint.to_string(), "az": "a",
                "pod_group": self.group, "state": "Ready", "capacity_hint": 1.0, "boot_ms": 0,
                "part": if index == 0 { "master" } else { "replica" }})
        };
        self.endpoints.iter().enumerate().map(line).collect()
    }

    /// The primary's log comes to a stand, and with it the family's. It goes on calling itself the primary.
    pub fn stand(&self, conduct: StalledBehavior) {
        let mut state = self.shared.state.lock().expect("whole");
        let now = unix_micros();
        if let Some(live) = state.live.take() {
            state.still_at = now;
            state.applied[live] = now;
            state.deposed.insert(self.endpoints[live].port(), None);
            state.claims.insert(live, (now, conduct));
        }
    }

    /// Another host becomes the primary; whoever was it goes on as it does.
    pub fn elect(&self, host: usize) {
        let mut state = self.shared.state.lock().expect("whole");
        state.claims.remove(&host);
        state.live = Some(host);
    }

    /// Whoever calls itself the primary and is not goes on as a replica.
    pub fn settle(&self) {
        self.shared.state.lock().expect("whole").claims.clear();
    }

    /// Whether a read that was sent to a host at this time is excused: the host has been the primary, and nothing that it
    /// answered as a replica counts as known yet.
    pub fn excuses(&self, port: u16, sent: u64) -> bool {
        let state = self.shared.state.lock().expect("whole");
        let told = state.deposed.get(&port);
        told.is_some_and(|told| told.is_none_or(|told| sent < told + KNOWN_AFTER))
    }

    /// Replicas are so far behind from now on, in microseconds.
    pub fn lag(&self, micros: u64) {
        self.shared.lag.store(micros, Ordering::SeqCst);
    }
}

/// The answer that a client got to a read.
#[derive(Clone, Debug)]
pub struct Read {
    /// The request's id.
    pub id: String,
    /// The host that gave it called itself a replica.
    pub by_replica: bool,
    /// The port of that host.
    pub port: u16,
    /// The position of its data, in microseconds.
    pub position: u64,
}

impl Read {
    /// How much older than the bound the data of a replica's answer were at the moment when the last byte of the request was
    /// written to it, and what no family excuses. `sent` has the earliest such moments, so that whatever is told was too old.
    pub fn too_old(
        &self,
        sent: &BTreeMap<(String, u16), u64>,
        bound: Duration,
        families: &[&ReplicaGroup],
    ) -> Option<Duration> {
        let at = *sent.get(&(self.id.clone(), self.port)).filter(|_| self.by_replica)?;
        if families.iter().any(|family| family.excuses(self.port, at)) {
            return None;
        }
        let beyond = at.checked_sub(self.position + bound.as_micros() as u64)?;
        (beyond > 0).then(|| Duration::from_micros(beyond))
    }
}

/// Asks a read of this class; none if it is refused or fails, or the connection ends.
pub fn ask(client: &mut ClientConnection, class: &str, group: usize) -> Option<Read> {
    let id = next_request_id().to_string();
    client
        .ask(&format!("SELECT doc FROM items WHERE id = 'k' /* id={id},c={class},d=1000,cluster={group} */"));
    let answer = client.answer();
    let row = answer.iter().find(|frame| frame.tag == b'D')?;
    let value = std::str::from_utf8(&row.body[6..]).expect("text");
    let [role, port, position] = value.split(' ').collect::<Vec<_>>()[..] else { panic!("{value}") };
    let (port, position) = (port.parse().expect("a port"), position.parse().expect("a position"));
    Some(Read { id, by_replica: role == "replica", port, position })
}

/// Asks a write with this key, marked as a repeat or not, whatever becomes of it.
pub fn write(client: &mut ClientConnection, key: u64, repeat: bool, group: usize) {
    let (id, mark) = (next_request_id(), if repeat { ",r=1" } else { "" });
    client.ask(&format!(
        "INSERT INTO items (id, doc) VALUES ('w', '\\x9f') RETURNING doc /* id={id},c=store,d=1000,k={key}{mark},cluster={group} */"
    ));
    client.answer();
}
