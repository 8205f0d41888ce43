//! Case 9: hundreds of bad clients stop in the middle of a statement and stay. The memory of the process is compared
//! with its limit, at which the platform kills it.

#[path = "../stand2.rs"]
mod stand;

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use stand::*;

const MEMORY_MB: u64 = 64;
const SOCKETS: u64 = 1024;
const BAD_CLIENTS: u64 = 300;
/// What each of them announces and sends of its statement.
const ANNOUNCED: usize = 250_000;
const SENT: usize = 240_000;
const RUN: Duration = Duration::from_secs(12);

/// A client that sends half a command at full speed, and stays until the gateway ends its connection.
fn send_half(gateway: &Gateway) -> std::io::Result<()> {
    let mut client = Client::connect(gateway.address)?;
    let mut bytes = vec![b'Q'];
    bytes.extend_from_slice(&(ANNOUNCED as u32).to_be_bytes());
    bytes.extend_from_slice(b"INSERT INTO items (id, doc) VALUES ('station-0', '\\x");
    bytes.resize(SENT, b'3');
    client.socket.write_all(&bytes)?;
    let mut rest = Vec::new();
    std::io::Read::read_to_end(&mut client.socket, &mut rest).map(|_| ())
}

fn main() {
    run(|case| {
        let (record, data) = (case.record.clone(), Arc::new(Data::default()));
        let hosts: Vec<Host> = [("host-a", true), ("host-b", false), ("host-c", false)]
            .into_iter()
            .map(|(name, is_primary)| {
                Host::start(name, is_primary, replicated(record.clone(), name, is_primary, 0, 15, data.clone()))
            })
            .collect::<Result<_, _>>()
            .map_err(|e| e.to_string())?;
        let discovery = Discovery::start(hosts.iter().map(Host::entry).collect()).map_err(|e| e.to_string())?;
        let classes = settings(&usual_classes());
        let gateway = Gateway::start(case, &hosts, discovery.address, &classes, MEMORY_MB, SOCKETS, vec![])?;
        if gateway.process.anonymous_kib().is_none() {
            return Err("the memory of a process cannot be read here".to_string());
        }

        let (served, unserved, most) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
        let end = Instant::now() + RUN;
        thread::scope(|scope| {
            // The platform, which kills a gateway over its limit.
            scope.spawn(|| {
                while Instant::now() < end {
                    let Some(kib) = gateway.process.anonymous_kib() else { return };
                    if kib > most.fetch_max(kib, Ordering::SeqCst) {
                        record.line(format!("the gateway holds {kib} KiB"));
                    }
                    if kib > MEMORY_MB * 1024 {
                        record.say(format!("over the limit of {MEMORY_MB} MB: the platform kills the gateway"));
                        gateway.process.kill();
                        return;
                    }
                    sleep_ms(2);
                }
            });
            // The usual clients.
            for number in 0..8 {
                let (gateway, record, served, unserved) = (&gateway, &record, &served, &unserved);
                scope.spawn(move || {
                    let mut random = Random::new(number + 1);
                    let mut client = Client::connect(gateway.address).ok();
                    while Instant::now() < end {
                        let read = read_of(&format!("station-{number}"), "page-read", 1000);
                        let answer = match &mut client {
                            Some(client) => client.ask(&read),
                            None => Answer::None("no connection".to_string()),
                        };
                        record.line(format!("{}: {answer:?}", read.field("id")));
                        match answer {
                            Answer::Served(_) => served.fetch_add(1, Ordering::SeqCst),
                            _ => unserved.fetch_add(1, Ordering::SeqCst),
                        };
                        if matches!(answer, Answer::None(_)) {
                            client = Client::connect(gateway.address).ok();
                        }
                        sleep_ms(30 + random.below(50));
                    }
                });
            }
            if trouble() {
                sleep_ms(3000);
                record.line(format!("{BAD_CLIENTS} clients send {SENT} bytes of a statement of {ANNOUNCED} and stay"));
                for _ in 0..BAD_CLIENTS {
                    scope.spawn(|| {
                        if let Err(e) = send_half(&gateway) {
                            record.line(format!("a bad client: {e}"));
                        }
                    });
                }
            }
        });
        Gateway::copy_log(case);
        let most = most.load(Ordering::SeqCst);
        record.say(format!(
            "most memory {most} KiB of {} KiB; {} usual requests served, {} not",
            MEMORY_MB * 1024,
            served.load(Ordering::SeqCst),
            unserved.load(Ordering::SeqCst)
        ));
        if served.load(Ordering::SeqCst) < 50 {
            return Err("too few requests were served to judge".to_string());
        }
        Ok(most <= MEMORY_MB * 1024)
    })
}
