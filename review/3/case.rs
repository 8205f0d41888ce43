//! Case 3: the next process of an upgrade is ended again with SIGTERM, and until it has ended nobody accepts clients.

#[path = "../common.rs"]
mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use common::*;

/// An answer that comes later after its time than this is a lost request; and the slack of time limits on sockets.
const LATE_MS: f64 = 500.0;
const SLACK_MS: f64 = 50.0;
const READ_DEADLINE_MS: f64 = 1000.0;
const READ_INTERVAL_MS: u64 = 50;

#[derive(Clone)]
struct Host {
    record: Record,
    name: &'static str,
    is_primary: bool,
    /// The host takes writes and answers none.
    hangs: Arc<AtomicBool>,
}

impl Host {
    fn start(record: &Record, name: &'static str, is_primary: bool, hangs: &Arc<AtomicBool>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let host = Host { record: record.clone(), name, is_primary, hangs: hangs.clone() };
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let host = host.clone();
                std::thread::spawn(move || drop(host.serve(socket)));
            }
        });
        address
    }

    /// The primary stands at the present, replicas 20 ms behind it.
    fn position(&self) -> f64 {
        unix_ms() - if self.is_primary { 0.0 } else { 20.0 }
    }

    fn parameters(&self, position: f64) -> Vec<(&'static str, String)> {
        let role = if self.is_primary { "master" } else { "replica" };
        vec![("part", role.into()), ("caught_up_to", format!("{position:.0}"))]
    }

    fn serve(&self, mut socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        read_startup(&mut socket)?;
        socket.write_all(&greeting())?;
        while let (b'Q', body) = read_message(&mut socket)? {
            let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_string();
            let id = field(&text, "id").unwrap_or_default();
            match &text[..] {
                "" => socket.write_all(&[message(b'I', &[]), message(b'Z', b"I")].concat())?,
                "SELECT 1" => socket.write_all(&row(b"1", "SELECT 1", &[]))?,
                "SHOW gauges" => {
                    let report = format!("x0={:.3},x1={}", self.position() / 1000.0, u8::from(self.is_primary));
                    socket.write_all(&row(report.as_bytes(), "SHOW", &[]))?;
                }
                _ if text.starts_with("INSERT") && !self.is_primary => {
                    socket.write_all(&error("25006", "this is no primary", &self.parameters(self.position().floor())))?;
                }
                _ if text.starts_with("INSERT") => {
                    self.record.line(format!("{}: got the write id={id}", self.name));
                    if self.hangs.load(Ordering::SeqCst) {
                        self.record.line(format!("{}: hangs", self.name));
                        sleep_ms(20_000);
                    }
                    sleep_ms(70);
                    socket.write_all(&row(b"\x9f\x03", "INSERT 0 1", &self.parameters(unix_ms().ceil())))?;
                }
                _ => {
                    self.record.line(format!("{}: got the read id={id}", self.name));
                    sleep_ms(42);
                    socket.write_all(&row(b"value", "SELECT 1", &self.parameters(self.position().floor())))?;
                }
            }
        }
        Ok(())
    }
}

struct Read {
    id: String,
    sent: f64,
    answered: f64,
    answer: Answer,
}

/// One request on a connection of its own, as it comes through the front.
fn read_once(record: &Record, address: SocketAddr) -> Read {
    let id = new_id();
    let text = format!("SELECT doc FROM items WHERE id = '7f3a9c21e0b4d655' /* id={id},c=page-read,d={READ_DEADLINE_MS},cluster=1 */");
    // The startup and the query are written at once; the request is taken from then on.
    let (sent, answer) = match TcpStream::connect(address) {
        Ok(mut socket) => {
            let _ = socket.set_nodelay(true);
            let _ = socket.set_read_timeout(Some(std::time::Duration::from_secs(12)));
            let mut body = 196_608u32.to_be_bytes().to_vec();
            body.extend_from_slice(b"user\0app\0database\0shop\0\0");
            let mut bytes = (body.len() as u32 + 4).to_be_bytes().to_vec();
            bytes.extend(body);
            bytes.extend(message(b'Q', &[text.as_bytes(), b"\0"].concat()));
            let written = socket.write_all(&bytes);
            let sent = record.now_ms();
            record.line(format!("client: {text}"));
            let mut client = Client { socket };
            // The first answer is the greeting's.
            let greeted = written.is_ok() && client.answer() == Answer::Lost;
            let answer = if greeted && client.is_open() { client.answer() } else { Answer::Lost };
            (sent, answer)
        }
        Err(error) => {
            record.line(format!("client: id={id} cannot connect: {error}"));
            return Read { id, sent: record.now_ms(), answered: record.now_ms(), answer: Answer::Empty };
        }
    };
    let answered = record.now_ms();
    record.line(format!("client: id={id} {answer:?} after {:.1} ms", answered - sent));
    Read { id, sent, answered, answer }
}

fn main() {
    run_case(|record, context| {
        let (none, hangs) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let target = |uid, endpoint, role| Target { uid, endpoint, zone: "jakarta-1", group: 1, state: "Ready", role }.to_json();
        let discovery = Discovery::start(vec![
            target("s-1", Host::start(&record, "host-1 (primary)", true, &hangs), "master"),
            target("s-2", Host::start(&record, "host-2 (replica)", false, &none), "replica"),
            target("s-3", Host::start(&record, "host-3 (replica)", false, &none), "replica"),
        ]);
        let ports = free_ports(3);
        let path = context.scratch.join("config.json");
        std::fs::write(&path, config_file("n1", ports[0], ports[1], &discovery, &hasil_settings(1000))).expect("written");
        let env = |admin: u16| {
            [
                ("GW_CONFIG", path.display().to_string()),
                ("GW_ADMIN_ADDR", format!("127.0.0.1:{admin}")),
                ("TMPDIR", context.scratch.display().to_string()),
            ]
        };
        let address = SocketAddr::from(([127, 0, 0, 1], ports[0]));
        let is_ready = |admin: u16| {
            let admin = SocketAddr::from(([127, 0, 0, 1], admin));
            http_call(admin, "GET", "/ops/readiness", "").is_ok_and(|(status, _)| status == 200)
        };
        let mut first = Process::start(&record, context, "gateway", &context.run, &env(ports[1]));
        if !wait_until_ready(address, 20_000) {
            return NOT_RUN;
        }
        // Reads on new connections, one each 50 ms, to the end.
        let ends = Arc::new(AtomicBool::new(false));
        let reads: Arc<Mutex<Vec<Read>>> = Arc::default();
        let traffic = {
            let (record, ends, reads) = (record.clone(), ends.clone(), reads.clone());
            std::thread::spawn(move || {
                let mut threads = Vec::new();
                while !ends.load(Ordering::SeqCst) {
                    let (record, reads) = (record.clone(), reads.clone());
                    threads.push(std::thread::spawn(move || {
                        let read = read_once(&record, address);
                        lock(&reads).push(read);
                    }));
                    sleep_ms(READ_INTERVAL_MS);
                }
                threads.into_iter().for_each(|thread| drop(thread.join()));
            })
        };
        sleep_ms(1500);
        let mut next = Process::start(&record, context, "gateway (next)", &context.run, &env(ports[2]));
        if !wait_until(10_000, || is_ready(ports[2])) {
            return NOT_RUN;
        }
        record.line("the next process says that it is ready");
        sleep_ms(1500);
        // The primary hangs, and a write is out there.
        hangs.store(true, Ordering::SeqCst);
        let writer = {
            let record = record.clone();
            std::thread::spawn(move || {
                let (id, k) = (new_id(), new_id());
                let text = format!("INSERT INTO items (id, doc) VALUES ('7f3a9c21e0b4d655', '\\x9f03') RETURNING doc /* id={id},c=tally-write,d=3000,k={k},cluster=1 */");
                record.line(format!("client: {text}"));
                let sent = record.now_ms();
                let answer = Client::connect(address).map_or(Answer::Lost, |mut client| client.ask(&text));
                record.line(format!("client: id={id} {answer:?} after {:.1} ms", record.now_ms() - sent));
            })
        };
        sleep_ms(300);
        if context.trouble {
            next.signal("TERM");
        }
        sleep_ms(6000);
        ends.store(true, Ordering::SeqCst);
        let _ = traffic.join();
        let _ = writer.join();
        record.line(format!("the next process has ended: {}", next.has_ended()));
        if first.has_ended() {
            record.line("the first process has ended");
        }
        let reads = lock(&reads);
        let bound = READ_DEADLINE_MS + LATE_MS + SLACK_MS;
        let lost: Vec<&Read> =
            reads.iter().filter(|read| read.answer == Answer::Lost || read.answered - read.sent > bound).collect();
        for read in &lost {
            record.line(format!("lost: id={} {:?} after {:.1} ms", read.id, read.answer, read.answered - read.sent));
        }
        let served = reads.iter().filter(|read| matches!(read.answer, Answer::Served(_))).count();
        record.line(format!("reads: {}, served: {served}, lost: {}", reads.len(), lost.len()));
        if lost.is_empty() { HELD } else { BROKEN }
    })
}
