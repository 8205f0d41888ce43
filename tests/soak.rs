//! Runs of a gateway that is its own process, drawn from a seed: clients that use open connections until the process is
//! killed, at the earliest moment that is allowed; signals in series; hosts that hang, reset, fail and turn away; some runs
//! crowded. What clients and hosts have seen is judged by the protocol's words.
//!
//! `SOAK_SEEDS=1..51 cargo test --release --test soak -- --nocapture` plays others than the few that stand here.

mod harness;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dunemount::pg::codec::{self, ReceiveBuffer};
use harness::process::{Faults, ProcessOptions};
use harness::scripted::{answer, Host, HostConnection};
use harness::{bind_loopback, listing, next_frame, settings};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::json;

/// The longest deadline of a request.
const LONGEST: Duration = Duration::from_millis(1_000);
/// SIGKILL comes this long after the longest deadline from SIGTERM on.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// How long the clients ask before SIGTERM.
const TRAFFIC: Range<u64> = 800..2_500;
/// The protocol's allowances: for the final answer, for the deadline passed on, for an attempt after its client left.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
const LEFT_SLACK: Duration = Duration::from_millis(100);
/// For how long a repeat of a keyed write is dropped, and what the gateway and the wire may add.
const WINDOW: Duration = Duration::from_millis(250);
const WINDOW_SLACK: Duration = Duration::from_millis(50);
/// A connection that has been idle for less is not closed for that.
const IDLE: Duration = Duration::from_millis(1_900);

/// Calls of the system that fail now and then in every third run: ports, buffers, memory, descriptors, aborted connections,
/// hosts that cannot be reached, interruptions, and half of all reads and writes short.
const SHORTAGES: &str = "connect 99 7\nconnect 4 5\nconnect 110 23\nconnect 113 29\nsocket 105 11\nepoll_add 12 13\n\
    accept4 103 5\naccept4 105 9\naccept4 23 17\nrecv 4 7\nrecv 105 31\nrecv short 2\nsend 4 7\nsend 105 31\nsend short 2\n";

/// What became of a request, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Answered(Instant),
    /// Its client closed the connection.
    Left(Instant),
    /// The gateway closed the connection.
    Closed,
    /// Nothing came in time.
    Nothing,
}

#[derive(Clone, Debug)]
struct Asked {
    class: &'static str,
    sent: Instant,
    wait: Duration,
    end: End,
    /// The connection had been idle for so long.
    idle: Duration,
    /// Requests of the same connection were still owed.
    behind: bool,
}

/// What a host saw of an attempt.
#[derive(Clone, Debug)]
struct Attempt {
    id: u64,
    at: Instant,
    told: Duration,
    ended: Instant,
    may_have_run: bool,
}

/// All that a run has seen, and what its threads share.
#[derive(Default)]
struct Record {
    asked: Mutex<BTreeMap<u64, Asked>>,
    attempts: Mutex<Vec<Attempt>>,
    ids: AtomicU64,
    over: AtomicBool,
    /// Longest time by which this machine held a thread of the test up, in microseconds.
    stall: AtomicU64,
}

struct Dice(Pcg64Mcg);

impl Dice {
    fn of(seed: u64) -> Dice {
        Dice(Pcg64Mcg::seed_from_u64(seed))
    }

    fn within(&mut self, range: Range<u64>) -> u64 {
        range.start + self.0.next_u64() % (range.end - range.start)
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.within(range))
    }

    /// True in so many of a hundred.
    fn in_hundred(&mut self, times: u64) -> bool {
        self.within(0..100) < times
    }
}

fn field<'a>(statement: &'a str, name: &str) -> &'a str {
    let comment = statement.split("/*").nth(1).expect("a comment");
    let field = comment.split([',', ' ']).find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
    field.expect("the field")
}

/// A host that answers, waits, hangs, resets, fails or turns away, as its dice say.
fn host(record: &Arc<Record>, primary: bool, seed: u64) -> SocketAddr {
    let host = Host::new();
    let address = host.address();
    let record = record.clone();
    std::thread::spawn(move || {
        for serial in 0.. {
            let Ok((socket, _)) = host.listener.accept() else { return };
            let record = record.clone();
            std::thread::spawn(move || {
                let mut link = HostConnection { socket, inbox: ReceiveBuffer::default() };
                let mut bytes = [0; 4096];
                while matches!(link.inbox.next_startup_packet(), Ok(None)) {
                    match link.socket.read(&mut bytes) {
                        Ok(count) if count > 0 => link.inbox.push(&bytes[..count]),
                        _ => return,
                    }
                }
                let mut greeting = Vec::new();
                codec::write_message(&mut greeting, b'R', &[0; 4]);
                codec::write_ready_for_query(&mut greeting);
                if link.socket.write_all(&greeting).is_ok() {
                    serve(link, &record, primary, &mut Dice::of(seed << 32 | serial));
                }
            });
        }
    });
    address
}

fn serve(mut link: HostConnection, record: &Record, primary: bool, dice: &mut Dice) {
    while let Some(statement) = link.next_statement() {
        let at = Instant::now();
        if !statement.contains("/*") {
            let probe = harness::scripted::answer_with(b"x1=0", "replica", None);
            if link.socket.write_all(&probe).is_err() {
                return;
            }
            continue;
        }
        let id = field(&statement, "id").parse().expect("a number");
        let told = Duration::from_millis(field(&statement, "d").parse().expect("a number"));
        let writes = statement.starts_with("INSERT");
        let role = if primary { "master" } else { "replica" };
        let draw = dice.within(0..100);
        let mut out = Vec::new();
        let mut may_have_run = true;
        let hangs = (80..86).contains(&draw);
        match draw {
            _ if writes && !primary => {
                codec::write_error_response(&mut out, "ERROR", "25006", "read only", None);
                codec::write_parameter_status(&mut out, "part", role);
                codec::write_ready_for_query(&mut out);
                may_have_run = false;
            }
            0..70 => std::thread::sleep(dice.millis(0..25)),
            70..80 => std::thread::sleep(dice.millis(80..500)),
            80..90 => {}
            90..95 => {
                // Some fail once a repeat would not be dropped any more.
                std::thread::sleep(dice.millis(0..700));
                codec::write_error_response(&mut out, "ERROR", "XX000", "internal", None);
                codec::write_ready_for_query(&mut out);
            }
            _ => {
                codec::write_error_response(&mut out, "ERROR", "53300", "full", None);
                codec::write_ready_for_query(&mut out);
                may_have_run = false;
            }
        }
        if out.is_empty() {
            out = answer(role, None);
        }
        let breaks = (primary || !writes) && (86..90).contains(&draw);
        if hangs && may_have_run {
            // Until the gateway gives it up.
            let _ = link.socket.read(&mut [0; 64]);
        }
        let ended = Instant::now();
        record.attempts.lock().expect("whole").push(Attempt { id, at, told, ended, may_have_run });
        if breaks && dice.in_hundred(50) {
            let _ = link.socket.write_all(&out[..out.len() / 2]);
        }
        if hangs && may_have_run || breaks || link.socket.write_all(&out).is_err() {
            return;
        }
    }
}

/// A client: one connection after the other, requests one after the other, some in twos, some left early.
fn client(record: &Record, gateway: SocketAddr, dice: &mut Dice) {
    while !record.over.load(Ordering::SeqCst) {
        let Ok(mut socket) = TcpStream::connect(gateway) else {
            std::thread::sleep(Duration::from_millis(3));
            continue;
        };
        let mut hello = Vec::new();
        codec::write_startup_packet(&mut hello, "app", "shop");
        socket.set_nodelay(true).expect("a socket");
        socket.set_read_timeout(Some(Duration::from_secs(3))).expect("a socket");
        let mut inbox = ReceiveBuffer::default();
        let mut used = Instant::now();
        // Some write their first query straight after the startup.
        if dice.in_hundred(40) {
            if !ask(record, &mut socket, &mut inbox, dice, used, hello) {
                continue;
            }
        } else if socket.write_all(&hello).is_err() || last_tag(&mut socket, &mut inbox) != Some(b'Z') {
            continue;
        }
        while !record.over.load(Ordering::SeqCst) {
            if !ask(record, &mut socket, &mut inbox, dice, used, Vec::new()) {
                break;
            }
            used = Instant::now();
            let rest = if dice.in_hundred(5) { dice.millis(100..400) } else { dice.millis(0..15) };
            std::thread::sleep(rest);
        }
    }
}

/// The tag of the last message before the next request may be sent; none at the connection's end.
fn last_tag(socket: &mut TcpStream, inbox: &mut ReceiveBuffer) -> Option<u8> {
    loop {
        let frame = next_frame(socket, inbox)?;
        if frame.tag == b'Z' {
            return Some(frame.tag);
        }
    }
}

/// Asks one request or two at once, behind these bytes, and records what became of them. False if the connection is of no more use.
fn ask(
    record: &Record,
    socket: &mut TcpStream,
    inbox: &mut ReceiveBuffer,
    dice: &mut Dice,
    used: Instant,
    mut bytes: Vec<u8>,
) -> bool {
    let count = if dice.in_hundred(10) { 2 } else { 1 };
    let mut greeted = bytes.is_empty();
    let mut ids = Vec::new();
    for index in 0..count {
        let id = record.ids.fetch_add(1, Ordering::SeqCst) + 1;
        let wait = dice.within(120..LONGEST.as_millis() as u64 + 1);
        let class = ["look", "look", "own", "store", "once"][dice.within(0..5) as usize];
        let comment = format!("/* id={id},c={class},d={wait},cluster=1 */");
        let text = match class {
            "store" => format!("INSERT INTO items (id, doc) VALUES ('s{id}', '\\x9f') RETURNING doc /* id={id},c=store,d={wait},k={id},cluster=1 */"),
            "once" => format!("INSERT INTO items (id, doc) VALUES ('s{id}', '\\x9f') RETURNING doc {comment}"),
            _ => format!("SELECT doc FROM items WHERE id = 's{id}' {comment}"),
        };
        codec::write_query(&mut bytes, &text);
        ids.push((id, class, Duration::from_millis(wait), index > 0));
    }
    let (sent, idle) = (Instant::now(), used.elapsed());
    if socket.write_all(&bytes).is_err() {
        return false;
    }
    let leaves = dice.in_hundred(6);
    for (id, class, wait, behind) in ids {
        let slack = Duration::from_micros(record.stall.load(Ordering::SeqCst)) + Duration::from_millis(250);
        let until = sent + wait + ANSWER_SLACK + slack;
        let end = if leaves {
            std::thread::sleep(dice.millis(0..60));
            let _ = socket.shutdown(std::net::Shutdown::Both);
            End::Left(Instant::now())
        } else {
            let greeting = if greeted { End::Answered(sent) } else { await_answer(socket, inbox, until) };
            greeted = true;
            match greeting {
                End::Answered(_) => await_answer(socket, inbox, until),
                other => other,
            }
        };
        let asked = Asked { class, sent, wait, end, idle, behind };
        record.asked.lock().expect("whole").insert(id, asked);
        if !matches!(end, End::Answered(_)) && !leaves {
            return false;
        }
    }
    !leaves
}

fn await_answer(socket: &mut TcpStream, inbox: &mut ReceiveBuffer, until: Instant) -> End {
    let mut bytes = [0; 4096];
    loop {
        while let Some(frame) = inbox.next_message_within(|_| usize::MAX).expect("well framed") {
            if frame.tag == b'Z' {
                return End::Answered(Instant::now());
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return End::Nothing;
        }
        socket.set_read_timeout(Some(left)).expect("a socket");
        match socket.read(&mut bytes) {
            Ok(count) if count > 0 => inbox.push(&bytes[..count]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            _ => return End::Closed,
        }
    }
}

/// Plays a run; what was wrong in it, by the protocol's words.
fn play(seed: u64) -> (usize, Vec<String>) {
    let mut dice = Dice::of(seed);
    let crowded = seed % 4 == 3;
    let record = Arc::new(Record::default());
    let hosts: Vec<SocketAddr> = (0..3).map(|index| host(&record, index == 0, seed * 8 + index)).collect();
    let discovery = bind_loopback();
    let place = discovery.local_addr().expect("bound");
    let mut start =
        ProcessOptions::with_defaults(&format!("soak-{seed}"), if crowded { 90 } else { 300 }, place);
    start.settings = settings();
    for (index, class) in start.settings["Classes"].as_array_mut().expect("classes").iter_mut().enumerate() {
        class["DeadlineMs"] = json!(LONGEST.as_millis() as u64);
        class["AimMs"] = json!(600.0);
        if index == 1 {
            class["RepeatWindowMs"] = json!(WINDOW.as_millis() as u64);
        }
    }
    let faults = Faults::none(&start.folder());
    start.faults = Some(faults.clone());
    let mut process = start.start(&listing(&hosts));
    if seed % 3 == 1 {
        faults.set(SHORTAGES);
    }
    let clients: Vec<_> = (0..if crowded { 34 } else { 12 })
        .map(|index| {
            let (record, gateway) = (record.clone(), process.address);
            std::thread::spawn(move || client(&record, gateway, &mut Dice::of(seed << 16 | index)))
        })
        .collect();
    let idle: Vec<TcpStream> =
        (0..if crowded { 20 } else { 0 }).filter_map(|_| TcpStream::connect(process.address).ok()).collect();
    let monitor = {
        let record = record.clone();
        std::thread::spawn(move || {
            while !record.over.load(Ordering::SeqCst) {
                let began = Instant::now();
                std::thread::sleep(Duration::from_millis(5));
                let late = began.elapsed().saturating_sub(Duration::from_millis(5));
                record.stall.fetch_max(late.as_micros() as u64, Ordering::SeqCst);
            }
        })
    };
    let traffic = Instant::now() + dice.millis(TRAFFIC);
    while Instant::now() < traffic {
        std::thread::sleep(dice.millis(50..400));
        if dice.in_hundred(40) {
            process.signal(Signal::HUP);
        }
    }
    let term = Instant::now();
    for _ in 0..dice.within(1..4) {
        process.signal(Signal::TERM);
        if dice.in_hundred(30) {
            process.signal(Signal::HUP);
        }
        std::thread::sleep(dice.millis(0..40));
    }
    let kill = term + LONGEST + KILL_AFTER;
    while Instant::now() < kill && process.child.try_wait().expect("its own child").is_none() {
        std::thread::sleep(Duration::from_millis(2));
    }
    let ended = process.child.try_wait().expect("its own child");
    let after = term.elapsed();
    let _ = process.child.kill();
    let _ = process.child.wait();
    record.over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client that ends");
    }
    monitor.join().expect("it ends");
    drop((idle, discovery));
    let mut faults = judge(&record, term, crowded);
    let log = process.log();
    if log.contains("panic") || log.contains("request overdue") || !faults.is_empty() {
        faults.push(format!("{ended:?} {after:?} after the word to end\n{log}"));
    }
    let asked = record.asked.lock().expect("whole").len();
    (asked, faults)
}

/// Holds what was seen against the rules.
fn judge(record: &Record, term: Instant, crowded: bool) -> Vec<String> {
    let stall = Duration::from_micros(record.stall.load(Ordering::SeqCst)) * 2;
    let (asked, mut attempts) =
        (record.asked.lock().expect("whole"), record.attempts.lock().expect("whole").clone());
    attempts.sort_by_key(|attempt| attempt.at);
    let mut faults = Vec::new();
    let seen: BTreeSet<u64> = attempts.iter().map(|attempt| attempt.id).collect();
    for (id, request) in asked.iter() {
        let Asked { class, sent, wait, end, idle, behind } = request;
        let told = |what: &str| format!("{id} ({class}, {} ms): {what}", wait.as_millis());
        match end {
            End::Answered(at) if *at > *sent + *wait + ANSWER_SLACK + stall && !behind => {
                faults.push(told(&format!("answered {:?} after it was sent", *at - *sent)));
            }
            End::Nothing => faults.push(told("never answered")),
            End::Closed if seen.contains(id) => faults.push(told("forwarded, and closed without an answer")),
            // A close may cross a request that is not read: at the end, of an idle connection, or to make room.
            End::Closed if *sent + *wait + ANSWER_SLACK < term && *idle < IDLE && !crowded && !behind => {
                faults.push(told("closed without an answer"));
            }
            _ => {}
        }
    }
    let mut before: BTreeMap<u64, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &attempts {
        let Some(request) = asked.get(&attempt.id) else { continue };
        let told = |what: String| format!("{} ({}): {what}", attempt.id, request.class);
        let left = (request.sent + request.wait).saturating_duration_since(attempt.at);
        if attempt.told > left + DEADLINE_SLACK + stall {
            faults.push(told(format!("told {:?} where {left:?} were left", attempt.told)));
        }
        if let End::Left(at) = request.end {
            if attempt.at > at + LEFT_SLACK + stall {
                faults.push(told(format!("an attempt {:?} after its client left", attempt.at - at)));
            }
        }
        let earlier = before.entry(attempt.id).or_default();
        for other in earlier.iter() {
            if other.ended > attempt.at + stall + Duration::from_millis(20) {
                faults.push(told("two attempts out at once".to_string()));
            }
            let late = attempt.at - other.at > WINDOW + WINDOW_SLACK + stall;
            if other.may_have_run && (request.class == "once" || request.class == "store" && late) {
                faults.push(told(format!("run again {:?} after the first", attempt.at - other.at)));
            }
        }
        earlier.push(attempt);
    }
    faults
}

fn seeds() -> Range<u64> {
    let named = std::env::var("SOAK_SEEDS").ok();
    let range = named.as_deref().map(|text| text.split_once("..").expect("FROM..TO"));
    range.map_or(1..9, |(from, to)| from.parse().expect("a seed")..to.parse().expect("a seed"))
}

/// Guards all rules of a request's life at once, through the end of the process.
#[test]
fn no_rule_breaks_while_clients_go_on_until_the_kill() {
    let mut broken = Vec::new();
    let all: Vec<u64> = seeds().collect();
    // Few at a time: what is measured is the gateway, not the machine.
    for seeds in all.chunks(2) {
        let runs: Vec<_> = seeds
            .iter()
            .map(|seed| {
                (
                    *seed,
                    std::thread::spawn({
                        let seed = *seed;
                        move || play(seed)
                    }),
                )
            })
            .collect();
        for (seed, run) in runs {
            let (asked, faults) = run.join().expect("a run that ends");
            println!("seed {seed}: {asked} requests, {} faults", faults.len());
            assert!(asked > 50, "seed {seed}: nobody asked");
            broken.extend(faults.into_iter().map(|fault| format!("seed {seed}: {fault}")));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
