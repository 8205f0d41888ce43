//! A replicated group on loopback: a primary that can fail over, hang or be demoted, replicas that follow it, and
//! answers that contain the log position of the data that they were read from.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dunemount::pg::codec;
use serde_json::{json, Value};

use super::scripted::{answer_with, Host, HostConnection};
use super::{next_request_id, ClientConnection};

/// Hosts of a group; the first is the initial primary.
const HOSTS: usize = 3;

/// Time after the write of an answer by which the gateway knows its role and position, in microseconds.
const KNOWN_AFTER_US: u64 = 100_000;

/// The machine's time in microseconds since 1970, which is also the time scale of the log.
pub fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_micros() as u64
}

/// How a host behaves that claims to be the primary while its log does not advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalledBehavior {
    /// It rejects everything.
    Rejects,
    /// It serves reads from its data, and writes only if it has seen their key before.
    Serves,
    /// It answers with errors.
    Fails,
    /// It answers every request with the code for a replica that is too far behind.
    Unsuitable,
    /// It reads requests and answers none.
    Hangs,
}

/// All behaviours of a stalled primary.
pub const STALLED_BEHAVIORS: [StalledBehavior; 5] = [
    StalledBehavior::Rejects,
    StalledBehavior::Serves,
    StalledBehavior::Fails,
    StalledBehavior::Unsuitable,
    StalledBehavior::Hangs,
];

#[derive(Default)]
struct State {
    /// The primary whose log advances, if there is one.
    primary: Option<usize>,
    /// The end of the group's log while no primary advances it.
    stalled_at: u64,
    /// Hosts that wrongly claim to be the primary, with the log position and the behaviour of each.
    claims: BTreeMap<usize, (u64, StalledBehavior)>,
    /// The position up to which each host has applied the log: positions never go back.
    applied: [u64; HOSTS],
    /// Ports of former primaries, and when each first answered a request as a replica since.
    demoted: BTreeMap<u16, Option<u64>>,
    /// Commits of the writes by their keys: a repeat gets the commit of the first one.
    commits: HashMap<String, u64>,
}

/// The state of a host that determines its answer.
struct HostState {
    claims_primary: bool,
    position: u64,
    /// Its behaviour where it does not serve.
    behavior: Option<StalledBehavior>,
}

struct Shared {
    state: Mutex<State>,
    /// The lag of replicas, in microseconds.
    lag: AtomicU64,
}

impl Shared {
    fn host_state(&self, host: usize) -> HostState {
        let mut state = self.state.lock().expect("whole");
        let now = unix_micros();
        let end = state.primary.map_or(state.stalled_at, |_| now);
        match state.claims.get(&host) {
            Some((position, behavior)) => {
                HostState { claims_primary: true, position: *position, behavior: Some(*behavior) }
            }
            None if state.primary == Some(host) => {
                HostState { claims_primary: true, position: now, behavior: None }
            }
            None => {
                let position = end.min(now - self.lag.load(Ordering::SeqCst)).max(state.applied[host]);
                state.applied[host] = position;
                HostState { claims_primary: false, position, behavior: None }
            }
        }
    }

    /// Records when a former primary first answers a request as a replica.
    fn record_replica_answer(&self, port: u16, is_other_answer: bool) {
        let mut state = self.state.lock().expect("whole");
        if let (Some(reported_at), false) = (state.demoted.get_mut(&port), is_other_answer) {
            reported_at.get_or_insert_with(unix_micros);
        }
    }

    /// The commit of a write at the primary, or the commit of an earlier write with the same key.
    fn commit(&self, host: usize, statement: &str) -> Option<u64> {
        let mut state = self.state.lock().expect("whole");
        let key = field(statement, "k").to_string();
        let is_primary = state.primary == Some(host);
        let commit = unix_micros().div_ceil(1_000) * 1_000;
        match state.commits.get(&key) {
            Some(first) => Some(*first),
            None if is_primary => Some(*state.commits.entry(key).or_insert(commit)),
            None => None,
        }
    }

    fn serve(&self, mut connection: HostConnection, host: usize, port: u16) {
        while let Some(statement) = connection.next_statement() {
            let HostState { claims_primary, position, behavior } = self.host_state(host);
            self.record_replica_answer(port, claims_primary || statement.starts_with("SHOW"));
            let (role, position_ms) = (if claims_primary { "master" } else { "replica" }, position / 1_000);
            let is_write = statement.starts_with("INSERT");
            let code = match behavior {
                _ if statement.starts_with("SHOW") => {
                    let report =
                        format!("x0={:.3},x1={}", position_ms as f64 / 1_000.0, u8::from(claims_primary));
                    connection.send(&answer_with(report.as_bytes(), role, None));
                    continue;
                }
                Some(StalledBehavior::Hangs) => continue,
                Some(StalledBehavior::Rejects) => Some("53300"),
                Some(StalledBehavior::Fails) => Some("XX000"),
                Some(StalledBehavior::Unsuitable) => Some("72000"),
                None if is_write && !claims_primary => Some("25006"),
                Some(StalledBehavior::Serves) | None => None,
            };
            let commit = if is_write && code.is_none() { self.commit(host, &statement) } else { None };
            let code = code.or((is_write && commit.is_none()).then_some("25006"));
            let position_ms = commit.map_or(position_ms, |commit| commit / 1_000);
            match code {
                Some(code) => connection.send(&error_answer(code, role, position_ms)),
                None => {
                    let value = format!("{role} {port} {position}");
                    connection.send(&answer_with(value.as_bytes(), role, Some(position_ms)));
                }
            }
        }
    }
}

/// An error answer with role and position.
fn error_answer(code: &str, role: &str, position_ms: u64) -> Vec<u8> {
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
    /// The hosts' addresses, that of the initial primary first.
    pub endpoints: Vec<SocketAddr>,
    /// Its id in the endpoint list.
    pub group: usize,
    shared: Arc<Shared>,
}

impl ReplicaGroup {
    /// A group with id 1 whose replicas lag by this much, in microseconds.
    pub fn with_lag(lag: u64) -> ReplicaGroup {
        ReplicaGroup::with_id(1, lag)
    }

    /// A group with this id whose replicas lag by this much, in microseconds.
    pub fn with_id(group: usize, lag: u64) -> ReplicaGroup {
        let state = Mutex::new(State { primary: Some(0), ..State::default() });
        let shared = Arc::new(Shared { state, lag: AtomicU64::new(lag) });
        let endpoints = (0..HOSTS).map(|index| ReplicaGroup::host(index, &shared)).collect();
        ReplicaGroup { endpoints, group, shared }
    }

    fn host(index: usize, shared: &Arc<Shared>) -> SocketAddr {
        let host = Host::new();
        let address = host.address();
        let shared = shared.clone();
        std::thread::spawn(move || loop {
            let connection = host.accept_ready();
            let shared = shared.clone();
            std::thread::spawn(move || shared.serve(connection, index, address.port()));
        });
        address
    }

    /// The entries of its hosts in the endpoint list.
    pub fn list_entries(&self) -> Vec<Value> {
        let entry = |(index, endpoint): (usize, &SocketAddr)| {
            json!({"uid": format!("s-{}-{index}", self.group), "endpoint": endpoint.to_string(), "az": "a",
                "pod_group": self.group, "state": "Ready", "capacity_hint": 1.0, "boot_ms": 0,
                "part": if index == 0 { "master" } else { "replica" }})
        };
        self.endpoints.iter().enumerate().map(entry).collect()
    }

    /// Stops the log of the primary, and with it the group's log. The host continues to claim to be the primary.
    pub fn stall(&self, behavior: StalledBehavior) {
        let mut state = self.shared.state.lock().expect("whole");
        let now = unix_micros();
        if let Some(primary) = state.primary.take() {
            state.stalled_at = now;
            state.applied[primary] = now;
            state.demoted.insert(self.endpoints[primary].port(), None);
            state.claims.insert(primary, (now, behavior));
        }
    }

    /// Makes this host the primary; an old primary that still claims the role continues to do so.
    pub fn elect(&self, host: usize) {
        let mut state = self.shared.state.lock().expect("whole");
        state.claims.remove(&host);
        state.primary = Some(host);
    }

    /// Makes every host that wrongly claims to be the primary continue as a replica.
    pub fn withdraw_claims(&self) {
        self.shared.state.lock().expect("whole").claims.clear();
    }

    /// Whether a read that was sent to a host at this time is exempt from the staleness bound: the host is a former
    /// primary, and the gateway cannot know yet any answer that it gave as a replica.
    pub fn exempts(&self, port: u16, sent: u64) -> bool {
        let state = self.shared.state.lock().expect("whole");
        let demoted = state.demoted.get(&port);
        demoted.is_some_and(|reported_at| {
            reported_at.is_none_or(|reported_at| sent < reported_at + KNOWN_AFTER_US)
        })
    }

    /// Sets the lag of replicas, in microseconds.
    pub fn set_lag(&self, micros: u64) {
        self.shared.lag.store(micros, Ordering::SeqCst);
    }
}

/// The answer that a client got to a read.
#[derive(Clone, Debug)]
pub struct Read {
    /// The request's id.
    pub id: String,
    /// Whether the host reported itself as a replica.
    pub by_replica: bool,
    /// The port of that host.
    pub port: u16,
    /// The position of its data, in microseconds.
    pub position: u64,
}

impl Read {
    /// How much older than the bound the data of a replica's answer were when the last byte of the request was written
    /// to it, unless a group exempts the read. `sent` has the earliest such times, so a violation is reported only
    /// where the data were certainly too old.
    pub fn too_old(
        &self,
        sent: &BTreeMap<(String, u16), u64>,
        bound: Duration,
        groups: &[&ReplicaGroup],
    ) -> Option<Duration> {
        let at = *sent.get(&(self.id.clone(), self.port)).filter(|_| self.by_replica)?;
        if groups.iter().any(|group| group.exempts(self.port, at)) {
            return None;
        }
        let excess = at.checked_sub(self.position + bound.as_micros() as u64)?;
        (excess > 0).then(|| Duration::from_micros(excess))
    }
}

/// Sends a read of this class; `None` if it is rejected or fails, or the connection ends.
pub fn read(client: &mut ClientConnection, class: &str, group: usize) -> Option<Read> {
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

/// Sends a write with this key, marked as a repeat or not, and ignores its result.
pub fn write(client: &mut ClientConnection, key: u64, repeat: bool, group: usize) {
    let (id, mark) = (next_request_id(), if repeat { ",r=1" } else { "" });
    client.ask(&format!(
        "INSERT INTO items (id, doc) VALUES ('w', '\\x9f') RETURNING doc /* id={id},c=store,d=1000,k={key}{mark},cluster={group} */"
    ));
    client.answer();
}
