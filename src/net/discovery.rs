//! The list of hosts: its form, the addresses it gives and the watch that keeps it up to date.
//! The watch is driven by bytes; the loop owns its socket.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::clock::Clock;
use crate::http::{self, BodyError, BodyLength};
use crate::settings::Zones;
use crate::{Endpoint, EndpointState, GroupId, MemberId, Micros};

/// How long a watch asks discovery to wait for news.
pub const WAIT: Micros = Micros::millis(2_000);
/// A watch that has no whole answer for so long after its wait has fallen silent: the next goes out beside it.
pub const SILENCE: Micros = Micros::millis(700);
/// Watches in a row that fall silent before the whole list is asked for: some 45 s.
pub const MOST_SILENT: u64 = 16;
/// A call for the whole list without a whole answer for so long is given up.
pub const TIMEOUT: Micros = Micros::millis(1_500);
/// Backoff before the next try after a call failed: within the 200 ms in which a watch continues.
pub const RETRY: Micros = Micros::millis(100);
/// What discovery has to tell counts as told after so long from when it had it and could be reached, heard or not.
pub const TOLD_WITHIN: Micros = Micros::millis(6_000);
/// Time in which the answer of a discovery that can be reached is here and taken in.
pub const ANSWER: Micros = Micros::millis(200);
/// Longest time from the start of a call that was lost or fell silent to the start of the next. The worst case of a
/// change: it comes right after such a call began (one gap), the next call fails as well (one more), and the third is
/// answered.
pub const CALL_GAP: Micros = Micros::millis(2_900);
/// The same after a call that was turned away, from its end: until then discovery could not be reached. Longer, since
/// a fleet that calls an overbooked discovery too often keeps it so; the call behind it waits for no news, and is
/// given up as soon as an answer that took as long as a refusal does is due.
pub const REFUSED_GAP: Micros = Micros::millis(3_600);
/// How long that call may take.
pub const REFUSED_TIMEOUT: Micros = Micros::millis(2_100);
const _: () = assert!(2 * CALL_GAP.0 + ANSWER.0 <= TOLD_WITHIN.0 && TIMEOUT.0 + RETRY.0 <= CALL_GAP.0);
const _: () = assert!(WAIT.0 + SILENCE.0 + RETRY.0 <= CALL_GAP.0);
const _: () = assert!(REFUSED_GAP.0 + REFUSED_TIMEOUT.0 + RETRY.0 + ANSWER.0 <= TOLD_WITHIN.0);
/// Backoff after a first failure at the longest, for each gateway: a hundred repeat 100 times a second together,
/// then 50 times. From some 150 gateways on the longest backoff binds and they repeat more often.
const FLEET_GAP: Micros = Micros::millis(20);
/// Doublings of the backoff.
const DOUBLINGS: u64 = 2;
/// Most bytes of an answer's head and of its body.
const MAX_HEAD: usize = 16 * 1024;
const MAX_BODY: usize = 4 * 1024 * 1024;

/// Backoff before the next try after so many failures in a row of one among so many gateways; `draw` is an even
/// draw between 0 and 1. Few repeat at once. Many would keep discovery overbooked for as long as they did: they draw
/// from the upper half of a range that grows with their number and doubles, up to the longest backoff.
pub fn backoff(fails: u64, gateways: u32, draw: f64, longest: Micros) -> Micros {
    let share = FLEET_GAP.scale(f64::from(gateways));
    if share <= RETRY {
        return RETRY;
    }
    let most = share.scale((1u64 << fails.saturating_sub(1).min(DOUBLINGS)) as f64);
    RETRY + most.min(longest - RETRY).scale(0.5 + draw / 2.0)
}

/// A list, or a change to one, in discovery's form.
#[derive(Clone, Debug, Deserialize)]
pub struct Listing {
    /// Its version.
    pub rev: u64,
    /// It names all hosts; who is missing is gone.
    #[serde(default)]
    pub all: bool,
    targets: Vec<Value>,
}

impl Listing {
    /// Number of its lines.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Groups of its hosts, one for each line that names one.
    pub fn groups(&self) -> impl Iterator<Item = u32> + '_ {
        let group = |target: &Value| target.get("pod_group")?.as_u64()?.try_into().ok();
        self.targets.iter().filter_map(group)
    }

    /// Whether it names no host.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    #[serde(default)]
    az: String,
    pod_group: u64,
    state: State,
    capacity_hint: Option<f64>,
    #[serde(default)]
    boot_ms: f64,
    #[serde(default)]
    part: String,
}

#[derive(Clone, Copy, Deserialize)]
enum State {
    Ready,
    Terminating,
    Gone,
}

/// Names, numbers and addresses of the hosts.
#[derive(Clone, Default, Deserialize, Serialize)]
pub struct Directory {
    numbers: BTreeMap<String, MemberId>,
    hosts: BTreeMap<MemberId, (SocketAddr, String)>,
    zones: Zones,
}

impl Directory {
    /// A directory that shares the settings' zone names.
    pub fn new(zones: Zones) -> Self {
        Directory { zones, ..Directory::default() }
    }

    /// The names of the zones.
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Takes on the numbers of more zones.
    pub fn know_zones(&mut self, zones: Zones) {
        self.zones = zones;
    }

    /// The host of this name; a name not met before gets the next number.
    pub fn number(&mut self, name: &str) -> MemberId {
        let next = MemberId(self.numbers.len() as u64 + 1);
        *self.numbers.entry(name.to_string()).or_insert(next)
    }

    /// Where a host listens.
    pub fn address(&self, member: MemberId) -> Option<SocketAddr> {
        self.hosts.get(&member).map(|(address, _)| *address)
    }

    /// The host of this name, if a list has ever named it.
    pub fn member(&self, name: &str) -> Option<MemberId> {
        self.numbers.get(name).copied()
    }

    /// The host's name in the list.
    pub fn name(&self, member: MemberId) -> &str {
        self.hosts.get(&member).map_or("?", |(_, name)| name)
    }

    /// Takes a listing in. Lines that cannot be read are counted and passed over.
    pub fn take(&mut self, listing: Listing, clock: &Clock) -> (Vec<Endpoint>, usize) {
        let lines = listing.targets.len();
        let mut entries = Vec::with_capacity(lines);
        for target in listing.targets {
            let Ok(target) = serde_json::from_value::<Target>(target) else { continue };
            let member = self.number(&target.uid);
            self.hosts.insert(member, (target.endpoint, target.uid));
            entries.push(Endpoint {
                member,
                group: GroupId(target.pod_group),
                zone: self.zones.id(target.az),
                state: match target.state {
                    State::Ready => EndpointState::Ready,
                    State::Terminating => EndpointState::Draining,
                    State::Gone => EndpointState::Removed,
                },
                weight: target.capacity_hint.unwrap_or(1.0),
                started: if target.boot_ms > 0.0 { clock.at_unix_ms(target.boot_ms) } else { Micros(0) },
                primary: target.part == "master",
            });
        }
        let unread = lines - entries.len();
        (entries, unread)
    }
}

/// Why an answer of discovery cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadAnswer {
    /// Not HTTP, or cut off.
    Head,
    /// Another status than 200.
    Status(u16),
    /// Longer than is taken.
    TooLong,
    /// A body that is no listing.
    Body,
    /// A late answer that tells nothing which is not known.
    NotNewer,
}

impl BadAnswer {
    fn of(bad: BodyError, malformed: BadAnswer) -> BadAnswer {
        match bad {
            BodyError::Malformed => malformed,
            BodyError::TooLong => BadAnswer::TooLong,
        }
    }
}

/// How a call that brought no list ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed {
    /// It was never made or was turned away: nothing was told.
    Empty,
    /// It broke off, was given up or its answer cannot be read: something may have been told.
    Lost,
    /// It has fallen silent; it stays out, and may be answered yet.
    Silent,
}

/// The watch: which version is known, the bytes of the answers so far, and what has failed since the last list. Two
/// calls are out at most: the latest, and before it a watch that has fallen silent. Whichever brings news first counts.
/// Given up, the silent one would be missing in the moment in which a discovery that was down comes back, and word of a
/// drain would then be later than a short grace.
#[derive(Debug)]
pub struct Watch {
    known: Option<u64>,
    answer: Vec<u8>,
    late: Vec<u8>,
    fails: u64,
    lost: u64,
    silent: u64,
    /// How the last call failed, and what it took of the time in which a change has to be heard.
    last: Option<(Failed, Micros)>,
}

impl Watch {
    /// A watch that goes on from this version.
    pub fn from(rev: Option<u64>) -> Self {
        Watch { known: rev, answer: Vec::new(), late: Vec::new(), fails: 0, lost: 0, silent: 0, last: None }
    }

    /// The version that is known.
    pub fn known(&self) -> Option<u64> {
        self.known
    }

    /// The text of the next call.
    pub fn call(&mut self, host: &str) -> String {
        self.answer.clear();
        let wait = if self.was_refused() { 0 } else { WAIT.0 / 1000 };
        let query = self.known.map(|rev| format!("?index={rev}&wait={wait}")).unwrap_or_default();
        format!("GET /catalog/members{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
    }

    fn was_refused(&self) -> bool {
        self.last.is_some_and(|(how, _)| how == Failed::Empty)
    }

    /// How long the latest call may take until it has failed.
    pub fn timeout(&self) -> Micros {
        match self.known {
            _ if self.was_refused() => REFUSED_TIMEOUT,
            Some(_) => WAIT + SILENCE,
            None => TIMEOUT,
        }
    }

    /// The latest call has had its time: whether it stays out as a watch that fell silent, in the place of one before
    /// it, or is given up. Calls that do not wait are: a discovery that is overbooked would have them twice.
    pub fn overdue(&mut self) -> Failed {
        if self.was_refused() || self.known.is_none() {
            return Failed::Lost;
        }
        self.late = std::mem::take(&mut self.answer);
        Failed::Silent
    }

    /// Number of calls that have failed in a row.
    pub fn fails(&self) -> u64 {
        self.fails
    }

    /// Books that a call of one among so many gateways failed after it took `spent`, and gives the time until the next;
    /// `draw` is an even draw between 0 and 1. After two that were lost, or [`MOST_SILENT`] that fell silent, the version
    /// is forgotten and the whole list asked for; whoever asks an overbooked discovery for it only makes it worse. An
    /// answer that was lost may have told of a drain already, whose grace then runs, also while further calls are turned
    /// away.
    pub fn failed(&mut self, how: Failed, gateways: u32, grace: Micros, spent: Micros, draw: f64) -> Micros {
        self.fails += 1;
        self.lost += u64::from(how == Failed::Lost);
        self.silent += u64::from(how == Failed::Silent);
        self.known = self.known.filter(|_| self.lost < 2 && self.silent < MOST_SILENT);
        let before = self.last.map_or(Micros(0), |(_, gap)| gap);
        let left = match how {
            Failed::Lost | Failed::Silent => CALL_GAP.min(TOLD_WITHIN - ANSWER - before) - spent,
            Failed::Empty => REFUSED_GAP,
        };
        let owed = self.lost + self.silent > 0;
        let left = if owed { left.min(grace.scale(0.5)) } else { left };
        let backoff = backoff(self.fails, gateways, draw, left.max(RETRY));
        self.last = Some((how, if how == Failed::Empty { backoff } else { spent + backoff }));
        backoff
    }

    /// Takes in bytes of the latest call; a listing once the answer is whole. `ended`: no more will come.
    pub fn receive(&mut self, bytes: &[u8], ended: bool) -> Result<Option<Listing>, BadAnswer> {
        self.answer.extend_from_slice(bytes);
        let listing = read_answer(&self.answer, ended)?;
        if let Some(listing) = &listing {
            *self = Watch::from(Some(listing.rev));
        }
        Ok(listing)
    }

    /// Takes in bytes of the watch that fell silent. What it tells counts only if it is newer than what is known: the
    /// call after it asked for that as well, and the older one is of no use any more.
    pub fn receive_late(&mut self, bytes: &[u8], ended: bool) -> Result<Option<Listing>, BadAnswer> {
        self.late.extend_from_slice(bytes);
        // What cannot be used is not kept: nobody reads on.
        let answer = read_answer(&self.late, ended).inspect_err(|_| self.late = Vec::new());
        let Some(listing) = answer? else { return Ok(None) };
        if self.known.is_some_and(|known| listing.rev <= known) {
            self.late = Vec::new();
            return Err(BadAnswer::NotNewer);
        }
        *self = Watch::from(Some(listing.rev));
        Ok(Some(listing))
    }
}

/// The listing in an answer, once it is whole; an end without a word is none.
fn read_answer(bytes: &[u8], ended: bool) -> Result<Option<Listing>, BadAnswer> {
    if ended && bytes.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) if ended || bytes.len() > MAX_HEAD => return Err(BadAnswer::Head),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(BadAnswer::Head),
    };
    let status = response.code.unwrap_or_default();
    let body = &bytes[head..];
    let extent =
        http::body_length(response.headers, MAX_BODY).map_err(|bad| BadAnswer::of(bad, BadAnswer::Head))?;
    let whole = match extent {
        BodyLength::Chunked => {
            http::decode_chunked(body, MAX_BODY).map_err(|bad| BadAnswer::of(bad, BadAnswer::Body))?
        }
        BodyLength::Known(length) => body.get(..length).map(<[u8]>::to_vec),
        BodyLength::Unspecified => ended.then(|| body.to_vec()),
    };
    let Some(whole) = whole else {
        return match body.len() {
            _ if ended => Err(BadAnswer::Body),
            long if long > 2 * MAX_BODY => Err(BadAnswer::TooLong),
            _ => Ok(None),
        };
    };
    match status {
        200 => serde_json::from_slice(&whole).map(Some).map_err(|_| BadAnswer::Body),
        _ => Err(BadAnswer::Status(status)),
    }
}
