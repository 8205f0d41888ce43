//! A replicated family on loopback: a primary that can hand over, hang or be deposed, replicas that follow it, and a record
//! of the data that each read was answered from.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use dunemount::pg::codec;

use super::stage::{answer_with, Host, Link};
use super::{name, Talk};

/// The machine's time in microseconds since 1970: the time of the log as well.
pub fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_micros() as u64
}

/// What the host that is the primary at first does now. Whatever it does, it says that it is the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// It serves, and its log goes on.
    Serves,
    /// Its log stands still; it turns everything away.
    Refuses,
    /// Its log stands still; it serves reads from it.
    ServesStill,
    /// Its log stands still; it answers with errors.
    Fails,
    /// Its log stands still; it says that reads are too far ahead and writes misplaced.
    Misses,
}

/// All ways in which it stands still.
pub const STANDING: [Conduct; 4] = [Conduct::Refuses, Conduct::ServesStill, Conduct::Fails, Conduct::Misses];

struct State {
    conduct: Conduct,
    /// Where the log stands still, if it does.
    still_at: Option<u64>,
}

/// The answer that a client got to a read.
#[derive(Clone, Debug)]
pub struct Read {
    /// The request's id.
    pub id: String,
    /// The port of the host that gave it.
    pub port: u16,
    /// The position of its data, in microseconds.
    pub position: u64,
}

struct Shared {
    state: Mutex<State>,
    /// How far replicas are behind, in microseconds.
    lag: AtomicU64,
}

impl Shared {
    fn position(&self, primary: bool) -> u64 {
        let end = self.state.lock().expect("whole").still_at.unwrap_or_else(unix_micros);
        if primary {
            return end;
        }
        let applied = unix_micros() - self.lag.load(Ordering::SeqCst);
        end.min(applied)
    }

    fn serve(&self, mut link: Link, port: u16, primary: bool) {
        while let Some(asked) = link.asked() {
            let conduct = self.state.lock().expect("whole").conduct;
            let position = self.position(primary);
            let role = if primary { "master" } else { "replica" };
            let told = position / 1_000;
            if asked.starts_with("SHOW") {
                let report = format!("x0={:.3},x1={}", told as f64 / 1_000.0, u8::from(primary));
                link.say(&answer_with(report.as_bytes(), role, None));
                continue;
            }
            let code = match conduct {
                _ if !primary => None,
                Conduct::Serves | Conduct::ServesStill => None,
                Conduct::Refuses => Some("53300"),
                Conduct::Fails => Some("XX000"),
                Conduct::Misses => Some("72000"),
            };
            match code {
                Some(code) => link.say(&refusal(code, role, told)),
                None => link.say(&answer_with(format!("{port} {position}").as_bytes(), role, Some(told))),
            }
        }
    }
}

/// An answer with an error, role and position.
fn refusal(code: &str, role: &str, position_ms: u64) -> Vec<u8> {
    let mut out = Vec::new();
    codec::error(&mut out, "ERROR", code, "not now", None);
    codec::parameter(&mut out, "part", role);
    codec::parameter(&mut out, "caught_up_to", &position_ms.to_string());
    codec::ready(&mut out);
    out
}

/// A primary and two replicas.
pub struct Family {
    /// The hosts' addresses, that of the primary first.
    pub endpoints: Vec<SocketAddr>,
    shared: Arc<Shared>,
}

impl Family {
    /// A family whose replicas are so far behind, in microseconds.
    pub fn following(lag: u64) -> Family {
        let state = Mutex::new(State { conduct: Conduct::Serves, still_at: None });
        let shared = Arc::new(Shared { state, lag: AtomicU64::new(lag) });
        let endpoints = (0..3).map(|index| Family::host(index == 0, &shared)).collect();
        Family { endpoints, shared }
    }

    fn host(primary: bool, shared: &Arc<Shared>) -> SocketAddr {
        let host = Host::new();
        let address = host.address();
        let shared = shared.clone();
        std::thread::spawn(move || loop {
            let link = host.welcomed();
            let shared = shared.clone();
            std::thread::spawn(move || shared.serve(link, address.port(), primary));
        });
        address
    }

    /// From now on the primary does this. Its log stands still from the first moment on at which it does not serve.
    pub fn conduct(&self, conduct: Conduct) {
        let mut state = self.shared.state.lock().expect("whole");
        state.still_at = match conduct {
            Conduct::Serves => None,
            _ => Some(state.still_at.unwrap_or_else(unix_micros)),
        };
        state.conduct = conduct;
    }

    /// Replicas are so far behind from now on, in microseconds.
    pub fn lag(&self, micros: u64) {
        self.shared.lag.store(micros, Ordering::SeqCst);
    }

    /// Whether a replica gave this answer.
    pub fn by_replica(&self, read: &Read) -> bool {
        read.port != self.endpoints[0].port()
    }

    /// How much older than the bound the data of a replica's answer were at the moment when the last byte of the request was
    /// written to it, in microseconds. `sent` has the earliest such moments, so that whatever is told was too old.
    pub fn too_old(&self, read: &Read, sent: &BTreeMap<(String, u16), u64>, bound: u64) -> Option<u64> {
        let at = *sent.get(&(read.id.clone(), read.port)).filter(|_| self.by_replica(read))?;
        at.checked_sub(read.position + bound).filter(|beyond| *beyond > 0)
    }
}

/// Asks a read of this class; none if it is refused or fails.
pub fn ask(client: &mut Talk, class: &str) -> Option<Read> {
    let id = name().to_string();
    client.ask(&format!("SELECT doc FROM items WHERE id = 'k' /* id={id},c={class},d=1000,cluster=1 */"));
    let answer = client.answer();
    let row = answer.iter().find(|frame| frame.tag == b'D')?;
    let value = std::str::from_utf8(&row.body[6..]).expect("text");
    let (port, position) = value.split_once(' ').expect("port and position");
    Some(Read { id, port: port.parse().expect("a port"), position: position.parse().expect("a position") })
}
