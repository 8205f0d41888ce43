//! The staleness of bounded reads, with the gateway as a separate process: a primary whose log stalls while it claims
//! to be the primary, a demoted primary, a gateway that is delayed or stopped, hot restarts, several workers.
//! Durations, lags and rates are drawn log-uniformly from the ranges below.
//!
//! `DATA_AGE_SEEDS=1..101 cargo test --release --test data_age -- --nocapture` runs other seeds than the default ones.

mod harness;

use std::net::TcpListener;
use std::ops::Range;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use harness::process::{Faults, Process, ProcessOptions};
use harness::replica_group::{read, write, Read, ReplicaGroup, StalledBehavior, STALLED_BEHAVIORS};
use harness::{bind_loopback, settings};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::{json, Value};

/// Staleness bound of bounded reads.
const BOUND: Duration = Duration::from_millis(300);
/// How long clients continue to send after the data have become too old.
const LOAD_AFTER_BOUND: Duration = Duration::from_millis(400);
/// Lag of replicas that keep up, in microseconds.
const LAG: u64 = 2_000;
/// How long the primary's log has stalled before the next event, in seconds.
const STALL_SECONDS: Range<f64> = 0.001..2.0;
/// Requests per second: one to thousands.
const RATE: Range<f64> = 1.0..4_000.0;
/// Requests per second at which answers are at most a few milliseconds apart.
const HIGH_RATE: Range<f64> = 700.0..4_000.0;
/// Lag of replicas that are just within the bound, in microseconds.
const LAG_WITHIN_BOUND: Range<f64> = 1_000.0..299_000.0;
/// How long the gateway is stopped, and runs, at a time, in seconds.
const STOP_SECONDS: Range<f64> = 0.001..0.5;
/// Number of stalls of the log in a run with delayed writes.
const STALLS: usize = 3;
/// How long each of these stalls lasts after the bound.
const STALL_AFTER_BOUND: Duration = Duration::from_millis(200);
/// Number of stops of the process during one stall of the log.
const STOPS: usize = 8;
/// Number of clients that share a rate.
const CLIENTS: u32 = 4;
/// Seeds that run where `DATA_AGE_SEEDS` is not set.
const DEFAULT_SEEDS: Range<u64> = 1..6;

/// Random parameters drawn from a seed.
struct RandomParameters(Pcg64Mcg);

impl RandomParameters {
    fn new(seed: u64) -> RandomParameters {
        RandomParameters(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Draws log-uniformly from this range.
    fn log_uniform(&mut self, range: &Range<f64>) -> f64 {
        harness::log_uniform(&mut self.0, range)
    }

    fn duration(&mut self, seconds: &Range<f64>) -> Duration {
        Duration::from_secs_f64(self.log_uniform(seconds))
    }

    fn one_of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.0.next_u64() as usize % all.len()]
    }
}

/// The seeds that `DATA_AGE_SEEDS` gives, or the default ones.
fn seeds() -> Range<u64> {
    let named = std::env::var("DATA_AGE_SEEDS").ok();
    let bounds = named.as_deref().and_then(|range| range.split_once(".."));
    let parsed = bounds.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    parsed.unwrap_or(DEFAULT_SEEDS)
}

/// Settings with a bounded class, classes of writes, and a class of strong reads.
fn staleness_settings(clients_mark_retries: bool) -> Value {
    let mut settings = settings();
    settings["Specifics"]["NeedsByClass"] = json!(["recent", "update", "latest", "update"]);
    settings["Specifics"]["LagAllowedMs"] = json!([BOUND.as_millis() as f64, 0.0, 0.0, 0.0]);
    settings["Permissions"]["Probing"] = json!(true);
    settings["Clients"] = json!({ "MarksRetry": clients_mark_retries });
    settings
}

/// The endpoint list of these groups.
fn listing(groups: &[&ReplicaGroup]) -> Value {
    let entries: Vec<Value> = groups.iter().flat_map(|group| group.list_entries()).collect();
    json!({"rev": 4, "all": true, "targets": entries})
}

/// A gateway in front of some groups, with a record of its writes to hosts.
struct Deployment<'g> {
    options: ProcessOptions,
    process: Process,
    faults: Faults,
    groups: Vec<&'g ReplicaGroup>,
    _discovery: TcpListener,
}

impl<'g> Deployment<'g> {
    fn new(test: &str, groups: &[&'g ReplicaGroup], cores: usize) -> Deployment<'g> {
        let discovery = bind_loopback();
        let address = discovery.local_addr().expect("bound");
        let options = ProcessOptions {
            settings: staleness_settings(true),
            cores,
            ..ProcessOptions::with_defaults(test, 300, address)
        };
        Deployment::with_options(options, discovery, groups)
    }

    fn with_options(
        mut options: ProcessOptions,
        discovery: TcpListener,
        groups: &[&'g ReplicaGroup],
    ) -> Deployment<'g> {
        let faults = Faults::none(&options.folder());
        options.faults = Some(faults.clone());
        let process = options.start(&listing(groups));
        Deployment { options, process, faults, groups: groups.to_vec(), _discovery: discovery }
    }

    /// Starts another process that takes over from this one.
    fn hot_restart(&mut self) {
        let listener = bind_loopback();
        let admin = listener.local_addr().expect("bound");
        drop(listener);
        let mut next = self.options.spawn_at(self.process.address, admin, &listing(&self.groups));
        assert!(next.wait_until_listening());
        self.process.signal(Signal::TERM);
        // Both processes use one folder; the new process removes it.
        self.process.folder = PathBuf::new();
        let _ = self.process.child.wait();
        self.process = next;
    }

    /// Sends bounded reads, strong reads and writes, some of them repeats of earlier writes, at this rate for this
    /// long. Gives the answers to the reads.
    fn load(&self, rate: f64, time: Duration) -> Vec<Read> {
        self.load_of(&["look", "look", "look", "own", "store", "again"], rate, time)
    }

    /// The same with requests of these kinds, drawn uniformly.
    fn load_of(&self, kinds: &[&'static str], rate: f64, time: Duration) -> Vec<Read> {
        let pause = Duration::from_secs_f64(f64::from(CLIENTS) / rate);
        let end = Instant::now() + time;
        std::thread::scope(|scope| {
            let clients =
                (0..CLIENTS).map(|seed| scope.spawn(move || self.client(kinds, pause, end, seed.into())));
            let clients: Vec<_> = clients.collect();
            clients.into_iter().flat_map(|client| client.join().expect("a client")).collect()
        })
    }

    fn client(&self, kinds: &[&'static str], pause: Duration, end: Instant, seed: u64) -> Vec<Read> {
        let (mut client, mut parameters) = (self.process.client(), RandomParameters::new(seed));
        let (mut reads, mut next, mut key) = (Vec::new(), Instant::now(), harness::next_request_id() as u64);
        loop {
            let group = parameters.one_of(&self.groups).group;
            match parameters.one_of(kinds) {
                "store" => {
                    key = harness::next_request_id() as u64;
                    write(&mut client, key, false, group);
                }
                "again" => write(&mut client, key, true, group),
                class => reads.extend(read(&mut client, class, group)),
            }
            next = (next + pause).max(Instant::now());
            if next >= end {
                return reads;
            }
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    }

    /// Asserts that no answer of a replica was older than the bound.
    fn assert_fresh(&self, reads: &[Read], run: &str) {
        let sent = self.faults.sent();
        let stale: Vec<_> =
            reads.iter().filter_map(|read| Some((read, read.too_old(&sent, BOUND, &self.groups)?))).collect();
        let worst = stale.iter().map(|(_, excess)| *excess).max().unwrap_or_default();
        let (count, all) = (stale.len(), reads.iter().filter(|read| read.by_replica).count());
        let log = self.process.log();
        assert!(
            stale.is_empty(),
            "{run}: {count} of {all} answers of replicas too old, by {worst:?} at most\n{log}"
        );
    }
}

/// Guards bounded reads of a gateway that starts while the primary is stalled and still claims the role: the first
/// answers of such a primary must not set the log clock. This was the incident of report 85f2af.
#[test]
fn a_primary_stalled_before_the_start_does_not_set_the_log_clock() {
    for seed in seeds() {
        let mut parameters = RandomParameters::new(seed);
        let (stalled_for, rate, behavior) = (
            parameters.duration(&STALL_SECONDS),
            parameters.log_uniform(&RATE),
            parameters.one_of(&STALLED_BEHAVIORS),
        );
        let group = ReplicaGroup::with_lag(LAG);
        let deployment = Deployment::new("age-start", &[&group], 1);
        group.stall(behavior);
        std::thread::sleep(stalled_for);
        let reads = deployment.load(rate, BOUND + LOAD_AFTER_BOUND);
        deployment.assert_fresh(
            &reads,
            &format!("seed {seed}: {behavior:?}, stalled for {stalled_for:?}, {rate:.0} a second"),
        );
    }
}

/// Guards bounded reads of a gateway that knows the log time when the primary stalls: the answers of the stalled
/// primary, however many, must not set the log clock back.
#[test]
fn a_stalled_primary_does_not_set_the_log_clock_back() {
    for seed in seeds() {
        let mut parameters = RandomParameters::new(seed);
        let drawn = (parameters.log_uniform(&RATE), parameters.one_of(&STALLED_BEHAVIORS));
        // A stalled primary that continues to serve many requests affects the log clock most.
        let frequent = (parameters.log_uniform(&HIGH_RATE), StalledBehavior::Serves);
        for (rate, behavior) in [drawn, frequent] {
            let group = ReplicaGroup::with_lag(LAG);
            let deployment = Deployment::new("age-run", &[&group], 1);
            // Half of the reads go to the primary, so that it gives many answers.
            let kinds = ["look", "own"];
            let known = Duration::from_millis(400);
            // The primary stalls between two answers, while the clients are sending.
            let reads = std::thread::scope(|scope| {
                let load = scope.spawn(|| deployment.load_of(&kinds, rate, known + BOUND + LOAD_AFTER_BOUND));
                std::thread::sleep(known);
                group.stall(behavior);
                load.join().expect("the load")
            });
            deployment.assert_fresh(&reads, &format!("seed {seed}: {behavior:?}, {rate:.0} a second"));
        }
    }
}

/// Guards bounded reads during an election: the old primary stalls, another one is elected, the old one continues to
/// claim the role for a while, and then becomes a replica.
#[test]
fn an_old_primary_beside_a_new_one_does_not_set_the_log_clock() {
    for seed in seeds() {
        let mut parameters = RandomParameters::new(seed);
        let (rate, behavior) =
            (parameters.log_uniform(&(20.0..RATE.end)), parameters.one_of(&STALLED_BEHAVIORS));
        let durations =
            [parameters.duration(&STALL_SECONDS), parameters.duration(&STALL_SECONDS), LOAD_AFTER_BOUND];
        let group = ReplicaGroup::with_lag(LAG);
        let deployment = Deployment::new("age-elect", &[&group], 1);
        let mut reads = if seed % 2 == 0 { deployment.load(rate, BOUND) } else { vec![] };
        group.stall(behavior);
        reads.extend(deployment.load(rate, durations[0]));
        group.elect(1);
        reads.extend(deployment.load(rate, durations[1]));
        group.withdraw_claims();
        group.set_lag(BOUND.as_micros() as u64 * 2);
        reads.extend(deployment.load(rate, durations[2]));
        deployment
            .assert_fresh(&reads, &format!("seed {seed}: {behavior:?}, {durations:?}, {rate:.0} a second"));
    }
}

/// Guards bounded reads of a gateway that is delayed for 0.15 s between reading its clock and every third write, while
/// the log is stalled: a replica that covers a read at the decision no longer covers it at the write.
#[test]
fn a_delay_between_clock_and_write_makes_no_read_stale() {
    for seed in seeds() {
        let mut parameters = RandomParameters::new(seed);
        let (rate, lag) =
            (parameters.log_uniform(&(20.0..RATE.end)), parameters.log_uniform(&LAG_WITHIN_BOUND));
        let group = ReplicaGroup::with_lag(lag as u64);
        let deployment = Deployment::new("age-hold", &[&group], 1);
        let mut reads = deployment.load(400.0, BOUND);
        for _ in 0..STALLS {
            group.stall(StalledBehavior::Serves);
            deployment.faults.set("send hold 3\n");
            reads.extend(deployment.load(rate, BOUND + STALL_AFTER_BOUND));
            deployment.faults.set("");
            group.elect(0);
            reads.extend(deployment.load(400.0, BOUND));
        }
        deployment.assert_fresh(&reads, &format!("seed {seed}: {lag:.0} us behind, {rate:.0} a second"));
    }
}

/// Guards the same where the process is stopped repeatedly, for varying times, at arbitrary points of its code.
#[test]
fn repeated_stops_make_no_read_stale() {
    for seed in seeds() {
        let mut parameters = RandomParameters::new(seed);
        let (rate, lag) =
            (parameters.log_uniform(&(20.0..RATE.end)), parameters.log_uniform(&LAG_WITHIN_BOUND));
        let group = ReplicaGroup::with_lag(lag as u64);
        let deployment = Deployment::new("age-stop", &[&group], 1);
        let reads = std::thread::scope(|scope| {
            let load = scope.spawn(|| deployment.load(rate, Duration::from_secs(3)));
            while !load.is_finished() {
                group.stall(StalledBehavior::Serves);
                for _ in 0..STOPS {
                    std::thread::sleep(parameters.duration(&STOP_SECONDS));
                    deployment.process.signal(Signal::STOP);
                    std::thread::sleep(parameters.duration(&STOP_SECONDS));
                    deployment.process.signal(Signal::CONT);
                }
                group.elect(0);
                std::thread::sleep(BOUND);
            }
            load.join().expect("the load")
        });
        deployment.assert_fresh(&reads, &format!("seed {seed}: {lag:.0} us behind, {rate:.0} a second"));
    }
}

/// Guards hot restarts while the primary is stalled and the wall clock of the new process is off: it must take the log
/// time neither from the first answers nor from a handover that was measured on another clock.
#[test]
fn a_hot_restart_while_the_primary_is_stalled_makes_no_read_stale() {
    for seed in seeds() {
        let mut parameters = RandomParameters::new(seed);
        let (stalled_for, rate, behavior) = (
            parameters.duration(&STALL_SECONDS),
            parameters.log_uniform(&RATE),
            parameters.one_of(&STALLED_BEHAVIORS),
        );
        let step = parameters.one_of(&[0, -600, 600, -3_600_000, 3_600_000]);
        let group = ReplicaGroup::with_lag(LAG);
        let mut deployment = Deployment::new("age-next", &[&group], 1);
        let mut reads = if seed % 2 == 0 { deployment.load(200.0, BOUND) } else { vec![] };
        group.stall(behavior);
        std::thread::sleep(stalled_for);
        deployment.faults.set(&format!("clock {step}\n"));
        deployment.hot_restart();
        reads.extend(deployment.load(rate, BOUND + LOAD_AFTER_BOUND));
        let run = format!(
            "seed {seed}: {behavior:?}, stalled for {stalled_for:?}, off by {step} ms, {rate:.0} a second"
        );
        deployment.assert_fresh(&reads, &run);
    }
}

/// Guards several groups on several workers: the answers of a stalled group must not affect the log time of the others,
/// nor the answers of the others that of the stalled group.
#[test]
fn a_stalled_group_sets_no_other_log_clock_on_any_worker() {
    for seed in seeds() {
        let mut parameters = RandomParameters::new(seed);
        let (stalled_for, rate, behavior) = (
            parameters.duration(&STALL_SECONDS),
            parameters.log_uniform(&RATE),
            parameters.one_of(&STALLED_BEHAVIORS),
        );
        let cores = parameters.one_of(&[1, 2, 4]);
        let groups: Vec<ReplicaGroup> = (1..=3).map(|id| ReplicaGroup::with_id(id, LAG)).collect();
        let groups: Vec<&ReplicaGroup> = groups.iter().collect();
        let deployment = Deployment::new("age-workers", &groups, cores);
        groups[0].stall(behavior);
        std::thread::sleep(stalled_for);
        let mut reads = deployment.load(rate, BOUND);
        groups[1].stall(behavior);
        reads.extend(deployment.load(rate, BOUND + LOAD_AFTER_BOUND));
        deployment.assert_fresh(
            &reads,
            &format!(
                "seed {seed}: {behavior:?}, {cores} workers, stalled for {stalled_for:?}, {rate:.0} a second"
            ),
        );
    }
}

/// Guards the tests above against passing without replica reads: while the primary advances the log, replicas answer
/// bounded reads, whether clients mark retries or not; replicas that lag too far answer none.
#[test]
fn replicas_serve_while_the_primary_advances() {
    for clients_mark_retries in [true, false] {
        let group = ReplicaGroup::with_lag(LAG);
        let discovery = bind_loopback();
        let address = discovery.local_addr().expect("bound");
        let options = ProcessOptions {
            settings: staleness_settings(clients_mark_retries),
            ..ProcessOptions::with_defaults("age-live", 300, address)
        };
        let deployment = Deployment::with_options(options, discovery, &[&group]);
        let reads = deployment.load(400.0, Duration::from_millis(1_500));
        let by_replicas = reads.iter().filter(|read| read.by_replica).count();
        assert!(
            by_replicas * 4 > reads.len(),
            "{by_replicas} of {}, {}",
            reads.len(),
            deployment.process.log()
        );
        deployment.assert_fresh(&reads, "live");
        group.set_lag(2 * BOUND.as_micros() as u64);
        std::thread::sleep(BOUND);
        let reads = deployment.load(400.0, Duration::from_millis(500));
        assert!(reads.iter().all(|read| !read.by_replica), "marked {clients_mark_retries}");
    }
}
