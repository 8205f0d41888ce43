//! Case 3: an answer that tells the gateway of a primary's new role is in transit as its client leaves, and is not read.

#[path = "../common.rs"]
mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::*;

/// The bound of `yield-chart`, the slack of time limits on sockets, and the time for which a gateway may be held up.
const BOUND_MS: f64 = 200.0;
const SLACK_MS: f64 = 50.0;
const HELD_UP_MS: f64 = 150.0;
/// What an answer tells counts as known so long after it was written.
const KNOWN_AFTER_MS: f64 = 100.0;
/// The longest time that the network takes one way.
const NETWORK_US: u64 = 780;
const ROUNDS: usize = 6;

/// The settings of `palermo-readings`.
const SETTINGS: &str = r#"{"Azs":["jakarta-1"],"Balancers":3,"Classes":[
{"Name":"yield-chart","AimMs":300.0,"DeadlineMs":750.0,"Value":3.0,"LateWorth":0.0,"Effect":"read_like","Group":"all","RepeatWindowMs":5000.0},
{"Name":"my-settings","AimMs":600.0,"DeadlineMs":2500.0,"Value":2.0,"LateWorth":0.0,"Effect":"read_like","Group":"all","RepeatWindowMs":5000.0},
{"Name":"area-summary","AimMs":300.0,"DeadlineMs":1000.0,"Value":2.0,"LateWorth":0.0,"Effect":"read_like","Group":"all","RepeatWindowMs":5000.0},
{"Name":"fault-status","AimMs":400.0,"DeadlineMs":1000.0,"Value":2.0,"LateWorth":0.0,"Effect":"read_like","Group":"all","RepeatWindowMs":5000.0},
{"Name":"reading-save","AimMs":750.0,"DeadlineMs":3000.0,"Value":6.0,"LateWorth":0.3,"Effect":"idempotency_key","Group":"cell","RepeatWindowMs":2000.0}],
"Clients":{"MarksRetry":true},"Deductions":{"CrossZone":0.026,"Handshake":0.0,"LateFail":0.05,"Probe":0.012,"Waste":0.05},
"DomainType":"replicas","Feedback":{"How":"answers","Names":["x0","x1"]},"HostTypes":["std5"],"Me":0,
"Permissions":{"Cancelling":true,"ConnIdleMs":30000.0,"ConnectTimeoutMs":250.0,"MaxRetryAfterMs":1000.0,"ParallelTries":false,"Peers":false,"Probing":true,"RetryAfter":true,"SendCap":6,"StreamsPerConn":1},
"RegistryMode":"pushed",
"Safety":{"ColdFrom":0.2,"ColdMs":10000.0,"FallMs":1000.0,"GraceToAnswerMs":20.0,"StopSendingWithinMs":250.0,"TipMultiple":2.0},
"Specifics":{"CountedFromMs":0.0,"LagAllowedMs":[200.0,0.0,0.0,0.0,0.0],"NeedsByClass":["recent","own_writes","loose","latest","update"],"ServerChecks":"none","SessionMarks":"router","ShowsRole":"initial","Stamps":true,"WaitMs":0.0,"WaitsForCopy":false},
"Tenants":[],"TickMs":5.0,"Weights":"nominal","WorthBy":"request","Zone":"jakarta-1"}"#;

/// The group's log. Its members' positions are Unix times in milliseconds.
struct Log {
    /// When the primary handed over its role, and stood still as a replica from then on.
    handed_over: Option<f64>,
}

#[derive(Clone)]
struct Host {
    record: Record,
    name: &'static str,
    /// It was the primary until the hand-over.
    was_primary: bool,
    log: Arc<Mutex<Log>>,
    /// The client of the read that is to be left alone; dropped in the moment in which the answer is written.
    leaving: Arc<Mutex<Option<TcpStream>>>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

/// What a host got, and what it answered.
struct Sent {
    id: String,
    /// When the last byte of the statement had arrived.
    arrived: f64,
    /// When the answer was written.
    written: f64,
    role: &'static str,
    /// How old the data were when the statement arrived.
    age: f64,
    host: &'static str,
}

impl Host {
    fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let host = self.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let host = host.clone();
                std::thread::spawn(move || drop(host.serve(socket)));
            }
        });
        address
    }

    /// The role and the position at this moment. All members stand still from the hand-over on: there is no new primary
    /// yet, and the group takes no writes. The replicas were two seconds behind before it.
    fn state(&self) -> (&'static str, f64) {
        match lock(&self.log).handed_over {
            Some(at) if self.was_primary => ("replica", at),
            Some(at) => ("replica", at - 2000.0),
            None if self.was_primary => ("master", unix_ms()),
            None => ("replica", unix_ms() - 2000.0),
        }
    }

    fn serve(&self, mut socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        read_startup(&mut socket)?;
        socket.write_all(&greeting())?;
        while let (b'Q', body) = read_message(&mut socket)? {
            let arrived = self.record.now_ms();
            let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_string();
            let id = field(&text, "id").unwrap_or_default();
            let (role, position) = self.state();
            let age = unix_ms() - position;
            let parameters =
                [("part", role.to_string()), ("caught_up_to", format!("{:.0}", position.floor()))];
            match &text[..] {
                "" => socket.write_all(&[message(b'I', &[]), message(b'Z', b"I")].concat())?,
                "SELECT 1" => socket.write_all(&row(b"1", "SELECT 1", &[]))?,
                "SHOW gauges" => {
                    let report = format!("x0={:.3},x1={}", position / 1000.0, u8::from(role == "master"));
                    self.record.line(format!("{}: probed, {report}", self.name));
                    socket.write_all(&row(report.as_bytes(), "SHOW", &[]))?;
                }
                _ if text.starts_with("INSERT") && role != "master" => {
                    socket.write_all(&error("25006", "this is no primary", &parameters))?
                }
                _ => {
                    self.record
                        .line(format!("{}: got id={id} as {role}, its data are {age:.0} ms old", self.name));
                    sleep_ms(20);
                    let command = if text.starts_with("INSERT") { "INSERT 0 1" } else { "SELECT 1" };
                    let written = self.record.now_ms();
                    let leaves = self.was_primary && role == "replica" && lock(&self.leaving).is_some();
                    // Noted before it is written: whoever gets the answer finds it here.
                    lock(&self.sent).push(Sent {
                        id: id.clone(),
                        arrived,
                        written,
                        role,
                        age,
                        host: self.name,
                    });
                    socket.write_all(&row(b"value", command, &parameters))?;
                    self.record.line(format!(
                        "{}: the answer to id={id} is written: {role}, position {position:.0}",
                        self.name
                    ));
                    if leaves {
                        // The client leaves while the answer is on its way.
                        if let Some(client) = lock(&self.leaving).take() {
                            let _ = client.shutdown(Shutdown::Both);
                        }
                        self.record.line(format!("client of id={id}: leaves"));
                    }
                }
            }
        }
        Ok(())
    }
}

/// The network to a host: what either side writes arrives later.
fn network(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else { continue };
            delay(near, far_too);
            delay(far, near_too);
        }
    });
    address
}

fn delay(mut from: TcpStream, mut to: TcpStream) {
    let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
    std::thread::spawn(move || {
        let mut bytes = [0; 65536];
        while let Ok(count) = from.read(&mut bytes) {
            let due = Instant::now() + Duration::from_micros(NETWORK_US);
            if sender.send((due, bytes[..count].to_vec())).is_err() || count == 0 {
                return;
            }
        }
        let _ = sender.send((Instant::now(), Vec::new()));
    });
    std::thread::spawn(move || {
        while let Ok((due, bytes)) = receiver.recv() {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    });
}

fn read_text(id: &str) -> String {
    format!("SELECT doc FROM items WHERE id = '7f3a9c21e0b4d655' /* id={id},c=yield-chart,d=750,cluster=1 */")
}

fn main() {
    run_case(|record, context| {
        let (mut broken, mut decided) = (0, 0);
        for round in 0..ROUNDS {
            record.line(format!("round {round}"));
            let log = Arc::new(Mutex::new(Log { handed_over: None }));
            let (leaving, sent): (Arc<Mutex<Option<TcpStream>>>, Arc<Mutex<Vec<Sent>>>) = Default::default();
            let host = |name, was_primary| {
                let host = Host {
                    record: record.clone(),
                    name,
                    was_primary,
                    log: log.clone(),
                    leaving: leaving.clone(),
                    sent: sent.clone(),
                };
                network(host.start())
            };
            let target = |uid, endpoint, role| {
                Target { uid, endpoint, zone: "jakarta-1", group: 1, state: "Ready", role }.to_json()
            };
            let discovery = Discovery::start(vec![
                target("s-1", host("host-1", true), "master"),
                target("s-2", host("host-2", false), "replica"),
                target("s-3", host("host-3", false), "replica"),
            ]);
            let ports = free_ports(2);
            let path = context.scratch.join("config.json");
            std::fs::write(&path, config_file("n1", ports[0], ports[1], &discovery, SETTINGS))
                .expect("written");
            let env = [("GW_CONFIG", path.display().to_string()), ("GW_LOG", "debug".to_string())];
            let mut gateway = Process::start(&record, context, "gateway", &context.run, &env);
            let address = SocketAddr::from(([127, 0, 0, 1], ports[0]));
            if !wait_until_ready(address, 20_000) {
                return NOT_RUN;
            }
            let mut client = Client::connect(address).expect("a connection");
            for step in 0..20 {
                let id = new_id();
                let text = if step % 4 == 0 {
                    let k = new_id();
                    format!("INSERT INTO items (id, doc) VALUES ('7f3a9c21e0b4d6{step:02}', '\\x9f03') RETURNING doc /* id={id},c=reading-save,d=3000,k={k},cluster=1 */")
                } else {
                    read_text(&id)
                };
                record.line(format!("client: {text}"));
                let answer = client.ask(&text);
                record.line(format!("client: id={id} {answer:?}"));
                sleep_ms(30);
            }
            // The gateway spends its probes.
            sleep_ms(2000);
            lock(&log).handed_over = Some(unix_ms());
            record.line("host-1 hands over its role, which takes less than 980 ms");
            sleep_ms(300);
            // A read whose client leaves just as the answer is written; without the disruption it stays.
            let mut first = Client::connect(address).expect("a connection");
            let id = new_id();
            if context.trouble {
                *lock(&leaving) = first.socket.try_clone().ok();
            }
            record.line(format!("client: {}", read_text(&id)));
            let answer = first.ask(&read_text(&id));
            record.line(format!("client: id={id} {answer:?}"));
            let told = lock(&sent)
                .iter()
                .find(|sent| sent.id == id)
                .map(|sent| (sent.written, sent.role, sent.host));
            sleep_ms(450);
            // Another read, of a client that stays.
            let next = new_id();
            record.line(format!("client: {}", read_text(&next)));
            let answer = client.ask(&read_text(&next));
            record.line(format!("client: id={next} {answer:?}"));
            let sent = lock(&sent);
            let served_by = sent.iter().rev().find(|sent| sent.id == next);
            if let (Some((written, "replica", teller)), Some(served)) = (told, served_by) {
                decided += 1;
                let is_known = served.arrived > written + KNOWN_AFTER_MS + SLACK_MS + HELD_UP_MS;
                let is_old = served.age > BOUND_MS + SLACK_MS + HELD_UP_MS;
                let is_served = matches!(answer, Answer::Served(_));
                record.line(format!(
                    "{teller} told {:.1} ms before that it is a replica; id={next} went to {}, whose data were {:.0} ms old",
                    served.arrived - written, served.host, served.age
                ));
                broken += usize::from(is_known && is_old && is_served && served.host == teller);
            } else {
                record
                    .line(format!("the second read was not sent, or the first one not answered: {answer:?}"));
                decided += usize::from(served_by.is_none() && told.is_some());
            }
            gateway.kill();
        }
        record.line(format!("rounds decided: {decided}, stale reads: {broken}"));
        match (broken, decided) {
            (0, 0) => NOT_RUN,
            (0, _) => HELD,
            _ => BROKEN,
        }
    })
}
