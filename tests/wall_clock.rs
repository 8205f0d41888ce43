//! Gateways whose wall clock is off or is stepped, as processes of their own. The hosts' clocks, which read one time, are
//! right.

mod harness;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use harness::process::{Faults, Process, ProcessOptions, POLL_INTERVAL};
use harness::scripted::{Host, HostConnection};
use harness::{bind_loopback, listing, next_request_id, settings};
use serde_json::{json, Value};

/// How old the data of a bounded read may be.
const BOUND_MS: u64 = 800;
/// Steps of the wall clock, in milliseconds: both ways, less than a bound, seconds, and an hour.
const STEPS: [i64; 7] = [-1_000, -600, -3_000, -3_600_000, 600, 3_000, 3_600_000];

/// A primary and two replicas that are so far behind, and count the reads that they serve.
struct Family {
    endpoints: Vec<SocketAddr>,
    lag_ms: Arc<AtomicU64>,
    served: Arc<[AtomicU64; 3]>,
}

impl Family {
    fn behind(lag_ms: u64) -> Family {
        let lag_ms = Arc::new(AtomicU64::new(lag_ms));
        let served = Arc::new([const { AtomicU64::new(0) }; 3]);
        let endpoints = (0..3).map(|index| Family::host(index, &lag_ms, &served)).collect();
        Family { endpoints, lag_ms, served }
    }

    fn host(index: usize, lag_ms: &Arc<AtomicU64>, served: &Arc<[AtomicU64; 3]>) -> SocketAddr {
        let host = Host::new();
        let address = host.address();
        let (lag_ms, served) = (lag_ms.clone(), served.clone());
        std::thread::spawn(move || loop {
            let link = host.accept_ready();
            let (lag_ms, served) = (lag_ms.clone(), served.clone());
            std::thread::spawn(move || Family::session(link, index, &lag_ms, &served));
        });
        address
    }

    fn session(mut link: HostConnection, index: usize, lag_ms: &AtomicU64, served: &[AtomicU64; 3]) {
        while let Some(asked) = link.next_statement() {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64;
            let lag = if index == 0 { 0 } else { lag_ms.load(Ordering::SeqCst) };
            let role = if index == 0 { "master" } else { "replica" };
            if asked.starts_with("SHOW") {
                let report = format!("x0={:.3},x1={}", (now - lag) as f64 / 1000.0, u8::from(index == 0));
                link.send(&harness::scripted::answer_with(report.as_bytes(), role, Some(now - lag)));
            } else {
                served[index].fetch_add(1, Ordering::SeqCst);
                link.send(&harness::scripted::answer(role, Some(now - lag)));
            }
        }
    }

    /// Reads that replicas have served.
    fn at_replicas(&self) -> u64 {
        self.served[1].load(Ordering::SeqCst) + self.served[2].load(Ordering::SeqCst)
    }
}

fn bounded(probing: bool) -> Value {
    let mut settings = settings();
    settings["Specifics"]["NeedsByClass"][0] = json!("recent");
    settings["Specifics"]["LagAllowedMs"] = json!([BOUND_MS, 0.0, 0.0, 0.0]);
    settings["Permissions"]["Probing"] = json!(probing);
    settings
}

/// One bounded read, served.
fn ask(client: &mut harness::ClientConnection) {
    client.ask(&format!(
        "SELECT doc FROM items WHERE id = 'k' /* id={},c=look,d=30000,cluster=1 */",
        next_request_id()
    ));
    assert_eq!(client.answer().len(), 4, "served");
}

fn gateway(
    test: &str,
    step: i64,
    family: &Family,
    probing: bool,
) -> (ProcessOptions, Faults, Process, std::net::TcpListener) {
    let discovery = bind_loopback();
    let place = discovery.local_addr().expect("bound");
    let mut start =
        ProcessOptions { settings: bounded(probing), ..ProcessOptions::with_defaults(test, 200, place) };
    let faults = Faults::none(&start.folder());
    faults.set(&format!("clock {step}\n"));
    start.faults = Some(faults.clone());
    let process = start.start(&listing(&family.endpoints));
    (start, faults, process, discovery)
}

/// Asks until replicas serve.
fn until_replicas_serve(process: &Process, family: &Family) {
    let (mut client, before) = (process.client(), family.at_replicas());
    for _ in 0..3_000 {
        ask(&mut client);
        if family.at_replicas() > before {
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("no replica has served, {}", process.log());
}

/// Guards bounded reads of a process that starts with its wall clock off, whichever way: replicas that are too far behind
/// serve none of them, and serve again soon after they have caught up.
#[test]
fn a_wall_clock_that_is_off_at_the_start_makes_no_read_stale_and_costs_no_replica() {
    for probing in [true, false] {
        for step in STEPS {
            let family = Family::behind(1_700);
            let (_start, _faults, process, _discovery) = gateway("clock-start", step, &family, probing);
            let mut client = process.client();
            for _ in 0..40 {
                ask(&mut client);
                std::thread::sleep(5 * POLL_INTERVAL);
            }
            assert_eq!(family.at_replicas(), 0, "off by {step} ms, probes {probing}");
            if probing {
                family.lag_ms.store(5, Ordering::SeqCst);
                until_replicas_serve(&process, &family);
            }
        }
    }
}

/// Guards a process that runs while its wall clock is stepped.
#[test]
fn a_wall_clock_that_is_stepped_makes_no_read_stale_and_costs_no_replica() {
    for step in STEPS {
        let family = Family::behind(5);
        let (_start, faults, process, _discovery) = gateway("clock-run", 0, &family, true);
        until_replicas_serve(&process, &family);
        faults.set(&format!("clock {step}\n"));
        until_replicas_serve(&process, &family);
        family.lag_ms.store(1_700, Ordering::SeqCst);
        // What was said before holds for as long as the bound allows.
        std::thread::sleep(std::time::Duration::from_millis(BOUND_MS + 50));
        let (mut client, before) = (process.client(), family.at_replicas());
        for _ in 0..40 {
            ask(&mut client);
            std::thread::sleep(5 * POLL_INTERVAL);
        }
        assert_eq!(family.at_replicas(), before, "stepped by {step} ms");
    }
}

/// Guards hot restarts: the next process takes over while its wall clock has been stepped, and replicas go on serving what
/// they may.
#[test]
fn a_next_process_whose_wall_clock_was_stepped_goes_on_in_the_same_time() {
    for step in STEPS {
        let family = Family::behind(5);
        let (start, faults, mut old, discovery) = gateway("clock-next", 0, &family, true);
        until_replicas_serve(&old, &family);
        faults.set(&format!("clock {step}\n"));
        let door = bind_loopback();
        let admin = door.local_addr().expect("bound");
        drop(door);
        let mut next = start.spawn_at(old.address, admin, &listing(&family.endpoints));
        assert!(next.wait_until_listening());
        // Its folder is the next one's as well.
        old.folder = std::path::PathBuf::new();
        drop(old);
        until_replicas_serve(&next, &family);
        family.lag_ms.store(1_700, Ordering::SeqCst);
        std::thread::sleep(std::time::Duration::from_millis(BOUND_MS + 50));
        let (mut client, before) = (next.client(), family.at_replicas());
        for _ in 0..40 {
            ask(&mut client);
            std::thread::sleep(5 * POLL_INTERVAL);
        }
        assert_eq!(family.at_replicas(), before, "stepped by {step} ms");
        drop(discovery);
    }
}
