//! Case 1: a keyed write whose answer is lost is sent again after the window in which its group drops repeats.

#[path = "../common.rs"]
mod common;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::*;

/// The class's window, the slack of every time limit on sockets, and the time for which a gateway may be held up.
const WINDOW_MS: f64 = 1200.0;
const SLACK_MS: f64 = 50.0;
const HELD_UP_MS: f64 = 150.0;
/// The work of a write.
const WORK_MS: u64 = 100;
/// When the connections to the primary are reset after a write whose answer is lost has come.
const RESET_AFTER_MS: u64 = 1176;
/// How late connections come up then, and for how long after the reset: less than `ConnectTimeoutMs`.
const LATE_MS: u64 = 228;
const LATE_FOR_MS: u64 = 600;
const ROUNDS: usize = 8;

/// A key's arrivals at the group.
#[derive(Default)]
struct Key {
    /// When the last byte of each statement with it had arrived.
    arrived: Vec<f64>,
    /// When it was applied.
    applied: Vec<f64>,
}

#[derive(Default)]
struct Group {
    keys: BTreeMap<String, Key>,
    /// The open connections to the primary.
    connections: Vec<TcpStream>,
    /// Connections that are accepted before this moment come up late.
    late_until: Option<Instant>,
    /// How often they were reset, how many connections the three hosts accepted, and how many of them came up late.
    resets: usize,
    accepted: usize,
    late: usize,
    /// Connections come up late after the next reset.
    is_late_next: bool,
    /// The answer to the next new key is lost, and later the connections are reset.
    lose_next: bool,
}

#[derive(Clone)]
struct Host {
    record: Record,
    group: Arc<Mutex<Group>>,
    name: &'static str,
    is_primary: bool,
}

impl Host {
    fn start(record: &Record, group: &Arc<Mutex<Group>>, name: &'static str, is_primary: bool) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let host = Host { record: record.clone(), group: group.clone(), name, is_primary };
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let host = host.clone();
                std::thread::spawn(move || drop(host.serve(socket)));
            }
        });
        address
    }

    fn parameters(&self, position: f64) -> Vec<(&'static str, String)> {
        let role = if self.is_primary { "master" } else { "replica" };
        let report = format!("x0={:.3},x1={}", self.position() / 1000.0, u8::from(self.is_primary));
        vec![("part", role.into()), ("caught_up_to", format!("{position:.0}")), ("gauges", report)]
    }

    /// The primary stands at the present, replicas 20 ms behind it.
    fn position(&self) -> f64 {
        unix_ms() - if self.is_primary { 0.0 } else { 20.0 }
    }

    fn serve(&self, mut socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        read_startup(&mut socket)?;
        let is_late =
            self.is_primary && lock(&self.group).late_until.is_some_and(|until| Instant::now() < until);
        lock(&self.group).accepted += 1;
        if is_late {
            lock(&self.group).late += 1;
            self.record.line(format!("{}: a connection comes up {LATE_MS} ms late", self.name));
            sleep_ms(LATE_MS);
        }
        if self.is_primary {
            lock(&self.group).connections.push(socket.try_clone()?);
        }
        socket.write_all(&greeting())?;
        loop {
            let (tag, body) = read_message(&mut socket)?;
            if tag != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_string();
            match &text[..] {
                "" => socket.write_all(&[message(b'I', &[]), message(b'Z', b"I")].concat())?,
                "SELECT 1" => socket.write_all(&row(b"1", "SELECT 1", &[]))?,
                "SHOW gauges" => {
                    let report =
                        format!("x0={:.3},x1={}", self.position() / 1000.0, u8::from(self.is_primary));
                    socket.write_all(&row(report.as_bytes(), "SHOW", &[]))?;
                }
                _ if text.starts_with("INSERT") => self.write(&mut socket, &text)?,
                _ => {
                    sleep_ms(50);
                    let position = self.position();
                    socket.write_all(&row(b"value", "SELECT 1", &self.parameters(position.floor())))?;
                }
            }
        }
    }

    fn write(&self, socket: &mut TcpStream, text: &str) -> std::io::Result<()> {
        if !self.is_primary {
            return socket.write_all(&error(
                "25006",
                "this is no primary",
                &self.parameters(self.position().floor()),
            ));
        }
        let name = field(text, "k").unwrap_or_default();
        let arrived = self.record.now_ms();
        let (is_lost, is_dropped) = {
            let mut group = lock(&self.group);
            let is_new = !group.keys.contains_key(&name);
            let is_lost = is_new && std::mem::take(&mut group.lose_next);
            let key = group.keys.entry(name.clone()).or_default();
            key.arrived.push(arrived);
            // The group drops a repeat for the window, counted from the first attempt, and for the slack.
            let is_dropped =
                key.applied.first().is_some() && arrived - key.arrived[0] <= WINDOW_MS + SLACK_MS;
            if !is_dropped {
                key.applied.push(arrived);
            }
            (is_lost, is_dropped)
        };
        let what = if is_dropped { "a repeat, dropped" } else { "applied" };
        self.record.line(format!("{}: got the write k={name}: {what}; d={:?}", self.name, field(text, "d")));
        sleep_ms(if is_dropped { 1 } else { WORK_MS });
        if !is_lost {
            let commit = unix_ms().ceil();
            return socket.write_all(&row(b"\x9f\x03", "INSERT 0 1", &self.parameters(commit)));
        }
        self.record.line(format!("{}: the answer to k={name} is lost", self.name));
        sleep_ms(RESET_AFTER_MS - WORK_MS);
        let own = socket.peer_addr()?;
        let mut group = lock(&self.group);
        group.resets += 1;
        if group.is_late_next {
            group.late_until = Some(Instant::now() + Duration::from_millis(LATE_FOR_MS));
        }
        self.record.line(format!("{}: its {} connections are reset", self.name, group.connections.len()));
        // The write's own last, or the gateway would take an idle one for the repeat.
        for connection in group.connections.drain(..) {
            if connection.peer_addr().is_ok_and(|peer| peer != own) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        drop(group);
        sleep_ms(2);
        let _ = socket.shutdown(Shutdown::Both);
        Ok(())
    }
}

/// The settings of `quimper-main`.
fn config(listen: u16, admin: u16, discovery: &Discovery) -> String {
    let (address, known) = (discovery.address, discovery.whole());
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:{listen}","admin_addr":"127.0.0.1:{admin}","discovery":"{address}",
"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
"settings":{{"Azs":["quimper-room"],"Balancers":1,"Classes":[
{{"Name":"browse-read","AimMs":400.0,"DeadlineMs":1000.0,"Value":1.0,"LateWorth":0.0,"Effect":"read_like","Group":"all","RepeatWindowMs":5000.0}},
{{"Name":"own-read","AimMs":300.0,"DeadlineMs":750.0,"Value":3.0,"LateWorth":0.2,"Effect":"read_like","Group":"all","RepeatWindowMs":5000.0}},
{{"Name":"current-read","AimMs":600.0,"DeadlineMs":2500.0,"Value":3.0,"LateWorth":0.0,"Effect":"read_like","Group":"all","RepeatWindowMs":5000.0}},
{{"Name":"record-write","AimMs":750.0,"DeadlineMs":2000.0,"Value":6.0,"LateWorth":0.3,"Effect":"idempotency_key","Group":"cell","RepeatWindowMs":1200.0}}],
"Clients":{{"MarksRetry":false}},"Deductions":{{"CrossZone":0.0,"Handshake":0.0,"LateFail":0.05,"Probe":0.01,"Waste":0.05}},
"DomainType":"replicas","Feedback":{{"How":"answers","Names":["x0","x1"]}},"HostTypes":["std-5core"],"Me":0,
"Permissions":{{"Cancelling":true,"ConnIdleMs":30000.0,"ConnectTimeoutMs":250.0,"MaxRetryAfterMs":1000.0,"ParallelTries":false,"Peers":false,"Probing":true,"RetryAfter":true,"SendCap":10,"StreamsPerConn":1}},
"RegistryMode":"pushed",
"Safety":{{"ColdFrom":0.19,"ColdMs":14000.0,"FallMs":1500.0,"GraceToAnswerMs":20.0,"StopSendingWithinMs":250.0,"TipMultiple":2.5}},
"Specifics":{{"CountedFromMs":0.0,"LagAllowedMs":[500.0,0.0,0.0,0.0],"NeedsByClass":["recent","own_writes","latest","update"],"ServerChecks":"hold","SessionMarks":"client","ShowsRole":"delayed","Stamps":true,"WaitMs":20.0,"WaitsForCopy":false}},
"Tenants":[],"TickMs":5.0,"Weights":"rough","WorthBy":"request","Zone":"quimper-room"}}}}"#
    )
}

fn main() {
    run_case(|record, context| {
        let group = Arc::new(Mutex::new(Group::default()));
        let primary = Host::start(&record, &group, "host-1 (primary)", true);
        let replicas = [
            Host::start(&record, &group, "host-2 (replica)", false),
            Host::start(&record, &group, "host-3 (replica)", false),
        ];
        let target = |uid, endpoint, role| Target {
            uid,
            endpoint,
            zone: "quimper-room",
            group: 1,
            state: "Ready",
            role,
        };
        let discovery = Discovery::start(vec![
            target("s-1", primary, "master").to_json(),
            target("s-2", replicas[0], "replica").to_json(),
            target("s-3", replicas[1], "replica").to_json(),
        ]);
        let ports = free_ports(2);
        let path = context.scratch.join("config.json");
        std::fs::write(&path, config(ports[0], ports[1], &discovery)).expect("written");
        let env =
            [("GW_CONFIG", path.display().to_string()), ("TMPDIR", context.scratch.display().to_string())];
        let mut gateway = Process::start(&record, context, "gateway", &context.run, &env);
        let address = SocketAddr::from(([127, 0, 0, 1], ports[0]));
        if !wait_until_ready(address, 20_000) {
            return NOT_RUN;
        }
        let mut client = Client::connect(address).expect("a connection");
        for round in 0..ROUNDS {
            // Usual traffic for a second.
            for step in 0..10 {
                let (id, session) = (new_id(), format!("7f3a9c21e0b4d6{step:02}"));
                let text = if step % 5 == 0 {
                    let k = new_id();
                    format!("INSERT INTO items (id, doc) VALUES ('{session}', '\\x9f03') RETURNING doc /* id={id},c=record-write,d=2000,k={k},cluster=1 */")
                } else {
                    format!("SELECT doc FROM items WHERE id = '{session}' /* id={id},c=browse-read,d=1000,cluster=1 */")
                };
                record.line(format!("client: {text}"));
                let answer = client.ask(&text);
                record.line(format!("client: id={id} {answer:?}"));
                sleep_ms(30);
            }
            let (id, k) = (new_id(), new_id());
            lock(&group).lose_next = context.trouble;
            // Late in three rounds of four: no more than a third of all connections come up late.
            lock(&group).is_late_next = round % 4 != 0;
            let text = format!("INSERT INTO items (id, doc) VALUES ('7f3a9c21e0b4d655', '\\x9f03') RETURNING doc /* id={id},c=record-write,d=2000,k={k},cluster=1 */");
            record.line(format!("client: round {round}: {text}"));
            let sent = record.now_ms();
            let answer = client.ask(&text);
            record.line(format!("client: id={id} {answer:?} after {:.1} ms", record.now_ms() - sent));
            sleep_ms(1500);
            if answer == Answer::Lost {
                client = Client::connect(address).expect("a connection");
            }
        }
        let has_ended = gateway.has_ended();
        if has_ended {
            record.line("the gateway has ended");
        }
        let bound = WINDOW_MS + SLACK_MS + HELD_UP_MS;
        let mut broken = 0;
        for (name, key) in &lock(&group).keys {
            let late = key.arrived.iter().filter(|at| **at - key.arrived[0] > bound).count();
            if key.arrived.len() > 1 {
                let after: Vec<String> =
                    key.arrived.iter().map(|at| format!("{:.1}", at - key.arrived[0])).collect();
                record.line(format!(
                    "k={name}: arrived after {} ms, applied {} times",
                    after.join(", "),
                    key.applied.len()
                ));
            }
            broken += late;
        }
        record.line(format!("attempts sent again later than {bound} ms after the first: {broken}"));
        let group = lock(&group);
        record.line(format!(
            "resets: {}; connections: {}, of which late: {}",
            group.resets, group.accepted, group.late
        ));
        // Without a reset the disruption did not take place.
        if broken > 0 {
            BROKEN
        } else if has_ended || (context.trouble && group.resets == 0) {
            NOT_RUN
        } else {
            HELD
        }
    })
}
