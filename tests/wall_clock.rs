//! Tests of gateway processes whose wall clock is wrong or is stepped. The clocks of the hosts are correct and agree
//! with each other.

mod harness;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use harness::process::{Faults, Process, ProcessOptions, POLL_INTERVAL};
use harness::scripted::{Host, HostConnection};
use harness::{bind_loopback, listing, next_request_id, settings};
use serde_json::{json, Value};

/// Maximum age of the data of a bounded read.
const MAX_AGE_MS: u64 = 800;
/// Steps of the wall clock, in milliseconds: forwards and backwards, by less than the bound, by seconds and by an hour.
const CLOCK_STEPS_MS: [i64; 7] = [-1_000, -600, -3_000, -3_600_000, 600, 3_000, 3_600_000];

/// A primary and two replicas with an adjustable lag. The hosts count the reads that they serve.
struct ReplicaGroup {
    endpoints: Vec<SocketAddr>,
    lag_ms: Arc<AtomicU64>,
    reads_served: Arc<[AtomicU64; 3]>,
}

impl ReplicaGroup {
    fn with_lag(lag_ms: u64) -> ReplicaGroup {
        let lag_ms = Arc::new(AtomicU64::new(lag_ms));
        let reads_served = Arc::new([const { AtomicU64::new(0) }; 3]);
        let endpoints = (0..3).map(|index| ReplicaGroup::start_host(index, &lag_ms, &reads_served)).collect();
        ReplicaGroup { endpoints, lag_ms, reads_served }
    }

    fn start_host(index: usize, lag_ms: &Arc<AtomicU64>, reads_served: &Arc<[AtomicU64; 3]>) -> SocketAddr {
        let host = Host::new();
        let address = host.address();
        let (lag_ms, reads_served) = (lag_ms.clone(), reads_served.clone());
        std::thread::spawn(move || loop {
            let link = host.accept_ready();
            let (lag_ms, reads_served) = (lag_ms.clone(), reads_served.clone());
            std::thread::spawn(move || ReplicaGroup::serve_connection(link, index, &lag_ms, &reads_served));
        });
        address
    }

    fn serve_connection(
        mut link: HostConnection,
        index: usize,
        lag_ms: &AtomicU64,
        reads_served: &[AtomicU64; 3],
    ) {
        while let Some(statement) = link.next_statement() {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64;
            let lag = if index == 0 { 0 } else { lag_ms.load(Ordering::SeqCst) };
            let role = if index == 0 { "master" } else { "replica" };
            if statement.starts_with("SHOW") {
                let report = format!("x0={:.3},x1={}", (now - lag) as f64 / 1000.0, u8::from(index == 0));
                link.send(&harness::scripted::answer_with(report.as_bytes(), role, Some(now - lag)));
            } else {
                reads_served[index].fetch_add(1, Ordering::SeqCst);
                link.send(&harness::scripted::answer(role, Some(now - lag)));
            }
        }
    }

    /// Number of reads that the replicas have served.
    fn reads_at_replicas(&self) -> u64 {
        self.reads_served[1].load(Ordering::SeqCst) + self.reads_served[2].load(Ordering::SeqCst)
    }
}

/// Settings with bounded reads for the first class, and with or without probes of hosts.
fn settings_with_bounded_reads(probing: bool) -> Value {
    let mut settings = settings();
    settings["Specifics"]["NeedsByClass"][0] = json!("recent");
    settings["Specifics"]["LagAllowedMs"] = json!([MAX_AGE_MS, 0.0, 0.0, 0.0]);
    settings["Permissions"]["Probing"] = json!(probing);
    settings
}

/// Sends a bounded read and checks that it is served.
fn read_bounded(client: &mut harness::ClientConnection) {
    client.ask(&format!(
        "SELECT doc FROM items WHERE id = 'k' /* id={},c=look,d=30000,cluster=1 */",
        next_request_id()
    ));
    assert_eq!(client.answer().len(), 4, "served");
}

/// Starts a gateway whose wall clock is wrong by this number of milliseconds.
fn start_gateway(
    test: &str,
    step_ms: i64,
    group: &ReplicaGroup,
    probing: bool,
) -> (ProcessOptions, Faults, Process, std::net::TcpListener) {
    let discovery = bind_loopback();
    let discovery_address = discovery.local_addr().expect("bound");
    let mut options = ProcessOptions {
        settings: settings_with_bounded_reads(probing),
        ..ProcessOptions::with_defaults(test, 200, discovery_address)
    };
    let faults = Faults::none(&options.folder());
    faults.set(&format!("clock {step_ms}\n"));
    options.faults = Some(faults.clone());
    let process = options.start(&listing(&group.endpoints));
    (options, faults, process, discovery)
}

/// Sends bounded reads until a replica serves one.
fn wait_until_replicas_serve(process: &Process, group: &ReplicaGroup) {
    let (mut client, before) = (process.client(), group.reads_at_replicas());
    for _ in 0..3_000 {
        read_bounded(&mut client);
        if group.reads_at_replicas() > before {
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("no replica has served a read, {}", process.log());
}

/// Guards bounded reads of a process whose wall clock is wrong from the start, ahead or behind: replicas that lag too
/// far serve none of them. Where hosts are probed, replicas serve them again soon after they have caught up.
#[test]
fn a_wall_clock_that_is_wrong_at_the_start_causes_no_stale_read_and_excludes_no_replica() {
    for probing in [true, false] {
        for step_ms in CLOCK_STEPS_MS {
            let group = ReplicaGroup::with_lag(1_700);
            let (_options, _faults, process, _discovery) =
                start_gateway("clock-start", step_ms, &group, probing);
            let mut client = process.client();
            for _ in 0..40 {
                read_bounded(&mut client);
                std::thread::sleep(5 * POLL_INTERVAL);
            }
            assert_eq!(group.reads_at_replicas(), 0, "wrong by {step_ms} ms, probing {probing}");
            if probing {
                group.lag_ms.store(5, Ordering::SeqCst);
                wait_until_replicas_serve(&process, &group);
            }
        }
    }
}

/// Guards bounded reads of a process whose wall clock is stepped while it runs: replicas within the bound continue to
/// serve them, and replicas that lag too far serve none.
#[test]
fn a_wall_clock_that_is_stepped_causes_no_stale_read_and_excludes_no_replica() {
    for step_ms in CLOCK_STEPS_MS {
        let group = ReplicaGroup::with_lag(5);
        let (_options, faults, process, _discovery) = start_gateway("clock-run", 0, &group, true);
        wait_until_replicas_serve(&process, &group);
        faults.set(&format!("clock {step_ms}\n"));
        wait_until_replicas_serve(&process, &group);
        group.lag_ms.store(1_700, Ordering::SeqCst);
        // Positions that the replicas reported before satisfy the bound for this long.
        std::thread::sleep(std::time::Duration::from_millis(MAX_AGE_MS + 50));
        let (mut client, before) = (process.client(), group.reads_at_replicas());
        for _ in 0..40 {
            read_bounded(&mut client);
            std::thread::sleep(5 * POLL_INTERVAL);
        }
        assert_eq!(group.reads_at_replicas(), before, "stepped by {step_ms} ms");
    }
}

/// Guards hot restarts where the wall clock is stepped before the next process takes over: replicas within the bound
/// continue to serve bounded reads, and replicas that lag too far serve none.
#[test]
fn a_hot_restart_after_a_clock_step_causes_no_stale_read_and_excludes_no_replica() {
    for step_ms in CLOCK_STEPS_MS {
        let group = ReplicaGroup::with_lag(5);
        let (options, faults, mut old, discovery) = start_gateway("clock-next", 0, &group, true);
        wait_until_replicas_serve(&old, &group);
        faults.set(&format!("clock {step_ms}\n"));
        let admin_listener = bind_loopback();
        let admin = admin_listener.local_addr().expect("bound");
        drop(admin_listener);
        let mut next = options.spawn_at(old.address, admin, &listing(&group.endpoints));
        assert!(next.wait_until_listening());
        // The next process uses the same folder, which must not be removed with the old one.
        old.folder = std::path::PathBuf::new();
        drop(old);
        wait_until_replicas_serve(&next, &group);
        group.lag_ms.store(1_700, Ordering::SeqCst);
        std::thread::sleep(std::time::Duration::from_millis(MAX_AGE_MS + 50));
        let (mut client, before) = (next.client(), group.reads_at_replicas());
        for _ in 0..40 {
            read_bounded(&mut client);
            std::thread::sleep(5 * POLL_INTERVAL);
        }
        assert_eq!(group.reads_at_replicas(), before, "stepped by {step_ms} ms");
        drop(discovery);
    }
}
