//! Case 6: some answers bring a second copy right behind. Each value names the request that it was made for, so that a
//! client that is served another one shows it.

#[path = "../stand2.rs"]
mod stand;

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stand::*;

/// One answer in this many brings a second copy.
const COPIES: u64 = 20;
const CLIENTS: u64 = 64;
const RUN: Duration = Duration::from_secs(50);
/// One way between two data centres, in microseconds: 0.42 to 0.78 ms.
const SHORTEST_WAY_US: u64 = 420;
const LONGEST_WAY_US: u64 = 780;

/// The way from a host to the gateway: what is written arrives after the time of the way, and in order.
fn deliver(connection: &mut HostConnection, writes: &[Vec<u8>], random: &Mutex<Random>) -> io::Result<()> {
    let written = Instant::now();
    for bytes in writes {
        let way = SHORTEST_WAY_US + random.lock().unwrap().below(LONGEST_WAY_US - SHORTEST_WAY_US + 1);
        wait_until(written + Duration::from_micros(way));
        io::Write::write_all(&mut connection.socket, bytes)?;
    }
    Ok(())
}

fn main() {
    run(|case| {
        let record = case.record.clone();
        // The value that a host made for each request.
        let made: Arc<Mutex<HashMap<String, String>>> = Arc::default();
        let copies = Arc::new(AtomicU64::new(0));
        let behaviour = |name: &str, is_primary: bool| -> Arc<Behaviour> {
            let (record, made, copies) = (record.clone(), made.clone(), copies.clone());
            let (name, random) = (name.to_string(), Mutex::new(Random::new(name.len() as u64 + u64::from(is_primary))));
            Arc::new(move |connection, statement| {
                if statement.text.starts_with("SHOW") {
                    return deliver(connection, &[gauges(is_primary, unix_ms())], &random);
                }
                let (id, key) = (statement.field("id"), statement.quoted(0));
                let (work, has_copy) = {
                    let mut random = random.lock().unwrap();
                    (20 + random.below(30), random.below(COPIES) == 0 && trouble())
                };
                sleep_ms(work);
                let value = format!("{key} for {id}");
                made.lock().unwrap().insert(id.to_string(), value.clone());
                let answer = [row(value.as_bytes(), "SELECT 1"), status(is_primary, unix_ms())].concat();
                // The copy is written right behind the answer: nothing else waits on the connection, since the gateway
                // has not got the answer yet.
                let writes = if has_copy { vec![answer.clone(), answer] } else { vec![answer] };
                record.line(format!("{name} answers {id}: {value}{}", if has_copy { ", twice" } else { "" }));
                copies.fetch_add(u64::from(has_copy), Ordering::SeqCst);
                deliver(connection, &writes, &random)
            })
        };
        // The hosts are in another data centre than the gateway.
        let start = |name: &str, is_primary| {
            Host::start(name, is_primary, behaviour(name, is_primary)).map(|host| Host { zone: "jakarta-2", ..host })
        };
        let hosts: Vec<Host> = [("host-a", true), ("host-bb", false), ("host-ccc", false)]
            .into_iter()
            .map(|(name, is_primary)| start(name, is_primary))
            .collect::<Result<_, _>>()
            .map_err(|e| e.to_string())?;
        let discovery = Discovery::start(hosts.iter().map(Host::entry).collect()).map_err(|e| e.to_string())?;
        let gateway = Gateway::start(case, &hosts, discovery.address, &settings(&usual_classes()), 192, 1024, vec![])?;

        let (served, foreign, other) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
        let end = Instant::now() + RUN;
        thread::scope(|scope| {
            for number in 0..CLIENTS {
                let (record, made, gateway) = (&record, &made, &gateway);
                let (served, foreign, other) = (&served, &foreign, &other);
                scope.spawn(move || {
                    let mut random = Random::new(1000 + number);
                    let Ok(mut client) = Client::connect(gateway.address) else { return };
                    while Instant::now() < end {
                        let key = format!("station-{}", random.below(1_000_000));
                        let statement = read_of(&key, "page-read", 1000);
                        let id = statement.field("id").to_string();
                        match client.ask(&statement) {
                            Answer::Served(value) => {
                                served.fetch_add(1, Ordering::SeqCst);
                                let value = String::from_utf8_lossy(&value).into_owned();
                                let own = made.lock().unwrap().get(&id).cloned();
                                record.line(format!("{id} asked for {key}: served '{value}'"));
                                if own.as_ref() != Some(&value) {
                                    foreign.fetch_add(1, Ordering::SeqCst);
                                    record.line(format!(
                                        "FOREIGN: {id} asked for {key} and is served '{value}'; made for it: {own:?}"
                                    ));
                                }
                            }
                            answer => {
                                other.fetch_add(1, Ordering::SeqCst);
                                record.line(format!("{id}: {answer:?}"));
                                if matches!(answer, Answer::None(_)) {
                                    match Client::connect(gateway.address) {
                                        Ok(next) => client = next,
                                        Err(_) => return,
                                    }
                                }
                            }
                        }
                        sleep_ms(random.below(100));
                    }
                });
            }
        });
        Gateway::copy_log(case);
        if gateway.process.has_ended() {
            return Err("the gateway ended".to_string());
        }
        let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        record.say(format!(
            "{} requests served, {} of them with a value made for another request; {} not served; {} second copies",
            count(&served),
            count(&foreign),
            count(&other),
            count(&copies)
        ));
        if count(&served) < 1000 {
            return Err("too few requests were served to judge".to_string());
        }
        Ok(count(&foreign) == 0)
    })
}
