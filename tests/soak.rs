//! Randomised runs of a gateway process, each generated from a seed: clients that use open connections until the
//! process is killed, at the earliest time that is allowed; series of signals; hosts that hang, reset, fail and reject
//! requests; some runs with many clients for few descriptors. The records of clients and hosts are checked against the
//! rules of the protocol.
//!
//! `SOAK_SEEDS=1..51 cargo test --release --test soak -- --nocapture` runs other seeds than the few default ones.

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
const MAX_DEADLINE: Duration = Duration::from_millis(1_000);
/// Time from the longest deadline after SIGTERM to SIGKILL.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// Time for which clients send requests before SIGTERM, in milliseconds.
const TRAFFIC_MS: Range<u64> = 800..2_500;
/// Tolerances of the protocol: for the final answer, for the forwarded deadline, and for an attempt after its client
/// has disconnected.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
const DISCONNECT_SLACK: Duration = Duration::from_millis(100);
/// Time in which a repeated write with an idempotency key is dropped, and what the gateway and the network may add.
const REPEAT_WINDOW: Duration = Duration::from_millis(250);
const REPEAT_WINDOW_SLACK: Duration = Duration::from_millis(50);
/// A connection that has been idle for less than this is not closed for being idle.
const MIN_IDLE: Duration = Duration::from_millis(1_900);

/// System calls that fail from time to time in every third run: shortages of ports, buffers, memory and descriptors,
/// aborted connections, unreachable hosts, interruptions, and short transfers in half of all reads and writes.
const SHORTAGES: &str = "connect 99 7\nconnect 4 5\nconnect 110 23\nconnect 113 29\nsocket 105 11\nepoll_add 12 13\n\
    accept4 103 5\naccept4 105 9\naccept4 23 17\nrecv 4 7\nrecv 105 31\nrecv short 2\nsend 4 7\nsend 105 31\nsend short 2\n";

/// Outcome of a request, as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Answered(Instant),
    /// The client closed the connection.
    Disconnected(Instant),
    /// The gateway closed the connection.
    Closed,
    /// No answer was received in time.
    Unanswered,
}

/// A client's record of a request.
#[derive(Clone, Debug)]
struct RequestRecord {
    class: &'static str,
    sent_at: Instant,
    deadline: Duration,
    outcome: Outcome,
    /// How long the connection had been idle before the request.
    idle: Duration,
    /// An earlier request of the same connection was still open.
    pipelined: bool,
}

/// A host's record of an attempt.
#[derive(Clone, Debug)]
struct AttemptRecord {
    id: u64,
    received_at: Instant,
    /// The remaining time that the gateway has forwarded.
    forwarded_deadline: Duration,
    ended_at: Instant,
    may_have_run: bool,
}

/// The records of a run, and the state that its threads share.
#[derive(Default)]
struct RunRecord {
    requests: Mutex<BTreeMap<u64, RequestRecord>>,
    attempts: Mutex<Vec<AttemptRecord>>,
    last_id: AtomicU64,
    finished: AtomicBool,
    /// Longest delay of a thread of the test by this machine, in microseconds.
    stall_us: AtomicU64,
}

/// The random choices of a thread, which follow from its seed.
struct RandomChoices(Pcg64Mcg);

impl RandomChoices {
    fn from_seed(seed: u64) -> RandomChoices {
        RandomChoices(Pcg64Mcg::seed_from_u64(seed))
    }

    fn number_in(&mut self, range: Range<u64>) -> u64 {
        range.start + self.0.next_u64() % (range.end - range.start)
    }

    fn millis_in(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.number_in(range))
    }

    /// Returns true with this probability in percent.
    fn with_percent(&mut self, percent: u64) -> bool {
        self.number_in(0..100) < percent
    }
}

fn field<'a>(statement: &'a str, name: &str) -> &'a str {
    let comment = statement.split("/*").nth(1).expect("a comment");
    let field = comment.split([',', ' ']).find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
    field.expect("the field")
}

/// Starts a host that answers, delays, hangs, resets, fails or rejects at random.
fn start_host(record: &Arc<RunRecord>, primary: bool, seed: u64) -> SocketAddr {
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
                    serve_connection(
                        link,
                        &record,
                        primary,
                        &mut RandomChoices::from_seed(seed << 32 | serial),
                    );
                }
            });
        }
    });
    address
}

fn serve_connection(mut link: HostConnection, record: &RunRecord, primary: bool, random: &mut RandomChoices) {
    while let Some(statement) = link.next_statement() {
        let received_at = Instant::now();
        if !statement.contains("/*") {
            let load_report = harness::scripted::answer_with(b"x1=0", "replica", None);
            if link.socket.write_all(&load_report).is_err() {
                return;
            }
            continue;
        }
        let id = field(&statement, "id").parse().expect("a number");
        let forwarded_deadline = Duration::from_millis(field(&statement, "d").parse().expect("a number"));
        let writes = statement.starts_with("INSERT");
        let role = if primary { "master" } else { "replica" };
        let draw = random.number_in(0..100);
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
            0..70 => std::thread::sleep(random.millis_in(0..25)),
            70..80 => std::thread::sleep(random.millis_in(80..500)),
            80..90 => {}
            90..95 => {
                // Some fail only after the time in which a repeated write would be dropped.
                std::thread::sleep(random.millis_in(0..700));
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
            // Waits until the gateway abandons the attempt.
            let _ = link.socket.read(&mut [0; 64]);
        }
        let ended_at = Instant::now();
        record.attempts.lock().expect("not poisoned").push(AttemptRecord {
            id,
            received_at,
            forwarded_deadline,
            ended_at,
            may_have_run,
        });
        if breaks && random.with_percent(50) {
            let _ = link.socket.write_all(&out[..out.len() / 2]);
        }
        if hangs && may_have_run || breaks || link.socket.write_all(&out).is_err() {
            return;
        }
    }
}

/// Runs a client: one connection after the other, with requests one after the other, some pipelined in pairs, some
/// abandoned by an early disconnect.
fn run_client(record: &RunRecord, gateway: SocketAddr, random: &mut RandomChoices) {
    while !record.finished.load(Ordering::SeqCst) {
        let Ok(mut socket) = TcpStream::connect(gateway) else {
            std::thread::sleep(Duration::from_millis(3));
            continue;
        };
        let mut startup = Vec::new();
        codec::write_startup_packet(&mut startup, "app", "shop");
        socket.set_nodelay(true).expect("a socket");
        socket.set_read_timeout(Some(Duration::from_secs(3))).expect("a socket");
        let mut inbox = ReceiveBuffer::default();
        let mut last_used = Instant::now();
        // Some clients send their first query together with the startup packet.
        if random.with_percent(40) {
            if !ask(record, &mut socket, &mut inbox, random, last_used, startup) {
                continue;
            }
        } else if socket.write_all(&startup).is_err()
            || read_until_ready(&mut socket, &mut inbox) != Some(b'Z')
        {
            continue;
        }
        while !record.finished.load(Ordering::SeqCst) {
            if !ask(record, &mut socket, &mut inbox, random, last_used, Vec::new()) {
                break;
            }
            last_used = Instant::now();
            let pause =
                if random.with_percent(5) { random.millis_in(100..400) } else { random.millis_in(0..15) };
            std::thread::sleep(pause);
        }
    }
}

/// Reads up to the message after which the next request may be sent, and returns its tag; `None` at the end of the
/// connection.
fn read_until_ready(socket: &mut TcpStream, inbox: &mut ReceiveBuffer) -> Option<u8> {
    loop {
        let frame = next_frame(socket, inbox)?;
        if frame.tag == b'Z' {
            return Some(frame.tag);
        }
    }
}

/// Sends one request, or two pipelined ones, after these bytes and records their outcomes. Returns false if the
/// connection cannot be used any more.
fn ask(
    record: &RunRecord,
    socket: &mut TcpStream,
    inbox: &mut ReceiveBuffer,
    random: &mut RandomChoices,
    last_used: Instant,
    mut bytes: Vec<u8>,
) -> bool {
    let count = if random.with_percent(10) { 2 } else { 1 };
    let mut greeted = bytes.is_empty();
    let mut sent_requests = Vec::new();
    for index in 0..count {
        let id = record.last_id.fetch_add(1, Ordering::SeqCst) + 1;
        let deadline_ms = random.number_in(120..MAX_DEADLINE.as_millis() as u64 + 1);
        let class = ["look", "look", "own", "store", "once"][random.number_in(0..5) as usize];
        let comment = format!("/* id={id},c={class},d={deadline_ms},cluster=1 */");
        let text = match class {
            "store" => format!("INSERT INTO items (id, doc) VALUES ('s{id}', '\\x9f') RETURNING doc /* id={id},c=store,d={deadline_ms},k={id},cluster=1 */"),
            "once" => format!("INSERT INTO items (id, doc) VALUES ('s{id}', '\\x9f') RETURNING doc {comment}"),
            _ => format!("SELECT doc FROM items WHERE id = 's{id}' {comment}"),
        };
        codec::write_query(&mut bytes, &text);
        sent_requests.push((id, class, Duration::from_millis(deadline_ms), index > 0));
    }
    let (sent_at, idle) = (Instant::now(), last_used.elapsed());
    if socket.write_all(&bytes).is_err() {
        return false;
    }
    let disconnects = random.with_percent(6);
    // When the request before this one on the connection was answered; for the first, when it was sent.
    let mut previous_answered_at = sent_at;
    for (id, class, deadline, pipelined) in sent_requests {
        let slack =
            Duration::from_micros(record.stall_us.load(Ordering::SeqCst)) + Duration::from_millis(250);
        // The gateway answers the requests of a connection in order, so a pipelined one may be answered after its own
        // deadline: once the one before it has been answered.
        let until = (sent_at + deadline).max(previous_answered_at) + ANSWER_SLACK + slack;
        let outcome = if disconnects {
            std::thread::sleep(random.millis_in(0..60));
            let _ = socket.shutdown(std::net::Shutdown::Both);
            Outcome::Disconnected(Instant::now())
        } else {
            let greeting =
                if greeted { Outcome::Answered(sent_at) } else { await_answer(socket, inbox, until) };
            greeted = true;
            match greeting {
                Outcome::Answered(_) => await_answer(socket, inbox, until),
                other => other,
            }
        };
        let request = RequestRecord { class, sent_at, deadline, outcome, idle, pipelined };
        record.requests.lock().expect("not poisoned").insert(id, request);
        if let Outcome::Answered(at) = outcome {
            previous_answered_at = at;
        } else if !disconnects {
            return false;
        }
    }
    !disconnects
}

fn await_answer(socket: &mut TcpStream, inbox: &mut ReceiveBuffer, until: Instant) -> Outcome {
    let mut bytes = [0; 4096];
    loop {
        while let Some(frame) = inbox.next_message_within(|_| usize::MAX).expect("well framed") {
            if frame.tag == b'Z' {
                return Outcome::Answered(Instant::now());
            }
        }
        let time_left = until.saturating_duration_since(Instant::now());
        if time_left.is_zero() {
            return Outcome::Unanswered;
        }
        socket.set_read_timeout(Some(time_left)).expect("a socket");
        match socket.read(&mut bytes) {
            Ok(count) if count > 0 => inbox.push(&bytes[..count]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            _ => return Outcome::Closed,
        }
    }
}

/// Runs the gateway with this seed and returns the number of requests and the violations of the protocol.
fn run_gateway(seed: u64) -> (usize, Vec<String>) {
    let mut random = RandomChoices::from_seed(seed);
    let crowded = seed % 4 == 3;
    let record = Arc::new(RunRecord::default());
    let hosts: Vec<SocketAddr> =
        (0..3).map(|index| start_host(&record, index == 0, seed * 8 + index)).collect();
    let discovery = bind_loopback();
    let discovery_address = discovery.local_addr().expect("bound");
    let mut options = ProcessOptions::with_defaults(
        &format!("soak-{seed}"),
        if crowded { 90 } else { 300 },
        discovery_address,
    );
    options.settings = settings();
    for (index, class) in options.settings["Classes"].as_array_mut().expect("classes").iter_mut().enumerate()
    {
        class["DeadlineMs"] = json!(MAX_DEADLINE.as_millis() as u64);
        class["AimMs"] = json!(600.0);
        if index == 1 {
            class["RepeatWindowMs"] = json!(REPEAT_WINDOW.as_millis() as u64);
        }
    }
    let faults = Faults::none(&options.folder());
    options.faults = Some(faults.clone());
    let mut process = options.start(&listing(&hosts));
    if seed % 3 == 1 {
        faults.set(SHORTAGES);
    }
    let clients: Vec<_> = (0..if crowded { 34 } else { 12 })
        .map(|index| {
            let (record, gateway) = (record.clone(), process.address);
            std::thread::spawn(move || {
                run_client(&record, gateway, &mut RandomChoices::from_seed(seed << 16 | index));
            })
        })
        .collect();
    let idle: Vec<TcpStream> =
        (0..if crowded { 20 } else { 0 }).filter_map(|_| TcpStream::connect(process.address).ok()).collect();
    let monitor = {
        let record = record.clone();
        std::thread::spawn(move || {
            while !record.finished.load(Ordering::SeqCst) {
                let started_at = Instant::now();
                std::thread::sleep(Duration::from_millis(5));
                let delay = started_at.elapsed().saturating_sub(Duration::from_millis(5));
                record.stall_us.fetch_max(delay.as_micros() as u64, Ordering::SeqCst);
            }
        })
    };
    let traffic_end = Instant::now() + random.millis_in(TRAFFIC_MS);
    while Instant::now() < traffic_end {
        std::thread::sleep(random.millis_in(50..400));
        if random.with_percent(40) {
            process.signal(Signal::HUP);
        }
    }
    let terminated_at = Instant::now();
    for _ in 0..random.number_in(1..4) {
        process.signal(Signal::TERM);
        if random.with_percent(30) {
            process.signal(Signal::HUP);
        }
        std::thread::sleep(random.millis_in(0..40));
    }
    let kill_at = terminated_at + MAX_DEADLINE + KILL_AFTER;
    while Instant::now() < kill_at && process.child.try_wait().expect("its own child").is_none() {
        std::thread::sleep(Duration::from_millis(2));
    }
    let exit_status = process.child.try_wait().expect("its own child");
    let after = terminated_at.elapsed();
    let _ = process.child.kill();
    let _ = process.child.wait();
    record.finished.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client that ends");
    }
    monitor.join().expect("it ends");
    drop((idle, discovery));
    let mut violations = find_violations(&record, terminated_at, crowded);
    let log = process.log();
    if log.contains("panic") || log.contains("request overdue") || !violations.is_empty() {
        violations.push(format!("{exit_status:?} {after:?} after SIGTERM\n{log}"));
    }
    let request_count = record.requests.lock().expect("not poisoned").len();
    (request_count, violations)
}

/// Checks the records of a run against the rules of the protocol.
fn find_violations(record: &RunRecord, terminated_at: Instant, crowded: bool) -> Vec<String> {
    let stall = Duration::from_micros(record.stall_us.load(Ordering::SeqCst)) * 2;
    let (requests, mut attempts) = (
        record.requests.lock().expect("not poisoned"),
        record.attempts.lock().expect("not poisoned").clone(),
    );
    attempts.sort_by_key(|attempt| attempt.received_at);
    let mut violations = Vec::new();
    let forwarded: BTreeSet<u64> = attempts.iter().map(|attempt| attempt.id).collect();
    for (id, request) in requests.iter() {
        let RequestRecord { class, sent_at, deadline, outcome, idle, pipelined } = request;
        let describe =
            |description: &str| format!("{id} ({class}, {} ms): {description}", deadline.as_millis());
        match outcome {
            Outcome::Answered(at) if *at > *sent_at + *deadline + ANSWER_SLACK + stall && !pipelined => {
                violations.push(describe(&format!("answered {:?} after it was sent", *at - *sent_at)));
            }
            Outcome::Unanswered => {
                violations.push(describe(&format!("never answered (pipelined: {pipelined})")));
            }
            Outcome::Closed if forwarded.contains(id) => {
                violations.push(describe("forwarded, and closed without an answer"));
            }
            // The gateway may close a connection before it reads a request that is on its way: at the shutdown,
            // when the connection was idle, or to make room.
            Outcome::Closed
                if *sent_at + *deadline + ANSWER_SLACK < terminated_at
                    && *idle < MIN_IDLE
                    && !crowded
                    && !pipelined =>
            {
                violations.push(describe("closed without an answer"));
            }
            _ => {}
        }
    }
    let mut attempts_by_request: BTreeMap<u64, Vec<&AttemptRecord>> = BTreeMap::new();
    for attempt in &attempts {
        let Some(request) = requests.get(&attempt.id) else { continue };
        let describe = |description: String| format!("{} ({}): {description}", attempt.id, request.class);
        let time_left = (request.sent_at + request.deadline).saturating_duration_since(attempt.received_at);
        if attempt.forwarded_deadline > time_left + DEADLINE_SLACK + stall {
            violations.push(describe(format!(
                "forwarded with {:?} where {time_left:?} were left",
                attempt.forwarded_deadline
            )));
        }
        if let Outcome::Disconnected(at) = request.outcome {
            if attempt.received_at > at + DISCONNECT_SLACK + stall {
                violations.push(describe(format!(
                    "an attempt {:?} after its client disconnected",
                    attempt.received_at - at
                )));
            }
        }
        let earlier = attempts_by_request.entry(attempt.id).or_default();
        for other in earlier.iter() {
            if other.ended_at > attempt.received_at + stall + Duration::from_millis(20) {
                violations.push(describe("two attempts in progress at once".to_string()));
            }
            let beyond_window =
                attempt.received_at - other.received_at > REPEAT_WINDOW + REPEAT_WINDOW_SLACK + stall;
            if other.may_have_run && (request.class == "once" || request.class == "store" && beyond_window) {
                violations.push(describe(format!(
                    "run again {:?} after the first",
                    attempt.received_at - other.received_at
                )));
            }
        }
        earlier.push(attempt);
    }
    violations
}

fn seeds() -> Range<u64> {
    let variable = std::env::var("SOAK_SEEDS").ok();
    let range = variable.as_deref().map(|text| text.split_once("..").expect("FROM..TO"));
    range.map_or(1..9, |(from, to)| from.parse().expect("a seed")..to.parse().expect("a seed"))
}

/// Guards all rules for the handling of requests together, through the shutdown of the process.
#[test]
fn no_rule_is_violated_while_clients_continue_until_the_kill() {
    let mut all_violations = Vec::new();
    let all_seeds: Vec<u64> = seeds().collect();
    // Two at a time, so that delays come from the gateway and not from an overloaded machine.
    for seeds in all_seeds.chunks(2) {
        let runs: Vec<_> = seeds
            .iter()
            .map(|seed| {
                (
                    *seed,
                    std::thread::spawn({
                        let seed = *seed;
                        move || run_gateway(seed)
                    }),
                )
            })
            .collect();
        for (seed, run) in runs {
            let (request_count, violations) = run.join().expect("a run that ends");
            println!("seed {seed}: {request_count} requests, {} violations", violations.len());
            assert!(request_count > 50, "seed {seed}: too few requests");
            all_violations
                .extend(violations.into_iter().map(|violation| format!("seed {seed}: {violation}")));
        }
    }
    assert!(all_violations.is_empty(), "{}", all_violations.join("\n"));
}
