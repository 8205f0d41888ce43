//! The age of the data that bounded reads are answered from, with a gateway as a process of its own: a primary that stands
//! still while it says that it is the primary, one that is deposed, a gateway that is held up or stopped, hot restarts,
//! several workers. Spans, lags and rates are drawn evenly on a log scale over the ranges below.
//!
//! `DATA_AGE_SEEDS=1..101 cargo test --release --test data_age -- --nocapture` plays others than the few that stand here.

mod harness;

use std::net::TcpListener;
use std::ops::Range;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use harness::process::{Faults, Process, ProcessOptions};
use harness::replica_group::{ask, write, Read, ReplicaGroup, StalledBehavior, STALLED_BEHAVIORS};
use harness::{bind_loopback, settings};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::{json, Value};

/// How old the data of a bounded read may be.
const BOUND: Duration = Duration::from_millis(300);
/// For how long clients ask once the data have become too old.
const BEYOND: Duration = Duration::from_millis(400);
/// How far behind replicas are that keep up, in microseconds.
const LAG: u64 = 2_000;
/// How long the primary has stood still before something else happens, in seconds.
const STOOD: Range<f64> = 0.001..2.0;
/// Requests a second: one to thousands.
const RATE: Range<f64> = 1.0..4_000.0;
/// Requests a second at which answers come less than some milliseconds apart.
const OFTEN: Range<f64> = 700.0..4_000.0;
/// How far behind replicas are that are about to be too far, in microseconds.
const NEAR_BOUND: Range<f64> = 1_000.0..299_000.0;
/// For how long the gateway is stopped at a time, in seconds.
const STOPPED: Range<f64> = 0.001..0.5;
/// How often the log stands still in a run of holds, and for how long beyond the bound.
const EPISODES: usize = 3;
const STILL_BEYOND: Duration = Duration::from_millis(200);
/// How often the process is stopped while the log stands still.
const STOPS: usize = 8;
/// Clients that share a rate.
const CLIENTS: u32 = 4;
/// Seeds played where none are named.
const SEEDS: Range<u64> = 1..6;

/// Draws from a seed.
struct Dice(Pcg64Mcg);

impl Dice {
    fn of(seed: u64) -> Dice {
        Dice(Pcg64Mcg::seed_from_u64(seed))
    }

    /// From this range, evenly on a log scale.
    fn log(&mut self, range: &Range<f64>) -> f64 {
        let part = (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        range.start * (range.end / range.start).powf(part)
    }

    fn span(&mut self, seconds: &Range<f64>) -> Duration {
        Duration::from_secs_f64(self.log(seconds))
    }

    fn one_of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.0.next_u64() as usize % all.len()]
    }
}

/// The seeds that DATA_AGE_SEEDS names, or the few that stand here.
fn seeds() -> Range<u64> {
    let named = std::env::var("DATA_AGE_SEEDS").ok();
    let bounds = named.as_deref().and_then(|range| range.split_once(".."));
    let parsed = bounds.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    parsed.unwrap_or(SEEDS)
}

/// A bounded class, one of keyed writes and one that must be current.
fn bounded(clients_mark_retries: bool) -> Value {
    let mut settings = settings();
    settings["Specifics"]["NeedsByClass"] = json!(["recent", "update", "latest", "update"]);
    settings["Specifics"]["LagAllowedMs"] = json!([BOUND.as_millis() as f64, 0.0, 0.0, 0.0]);
    settings["Permissions"]["Probing"] = json!(true);
    settings["Clients"] = json!({ "MarksRetry": clients_mark_retries });
    settings
}

/// The list of some families.
fn listing(families: &[&ReplicaGroup]) -> Value {
    let lines: Vec<Value> = families.iter().flat_map(|family| family.lines()).collect();
    json!({"rev": 4, "all": true, "targets": lines})
}

/// A gateway in front of some families, with a record of what it writes to hosts.
struct Stand<'f> {
    start: ProcessOptions,
    process: Process,
    faults: Faults,
    families: Vec<&'f ReplicaGroup>,
    _discovery: TcpListener,
}

impl<'f> Stand<'f> {
    fn of(test: &str, families: &[&'f ReplicaGroup], cores: usize) -> Stand<'f> {
        let discovery = bind_loopback();
        let place = discovery.local_addr().expect("bound");
        let start = ProcessOptions {
            settings: bounded(true),
            cores,
            ..ProcessOptions::with_defaults(test, 300, place)
        };
        Stand::with(start, discovery, families)
    }

    fn with(mut start: ProcessOptions, discovery: TcpListener, families: &[&'f ReplicaGroup]) -> Stand<'f> {
        let faults = Faults::none(&start.folder());
        start.faults = Some(faults.clone());
        let process = start.start(&listing(families));
        Stand { start, process, faults, families: families.to_vec(), _discovery: discovery }
    }

    /// Another process takes over from this one.
    fn hot_restart(&mut self) {
        let door = bind_loopback();
        let admin = door.local_addr().expect("bound");
        drop(door);
        let mut next = self.start.spawn_at(self.process.address, admin, &listing(&self.families));
        assert!(next.wait_until_listening());
        self.process.signal(Signal::TERM);
        // Their folder is one; the process that goes on removes it.
        self.process.folder = PathBuf::new();
        let _ = self.process.child.wait();
        self.process = next;
    }

    /// Clients ask at this rate for so long: bounded reads, such as must be current, and writes, some of them repeats of
    /// writes before. What the reads were answered.
    fn load(&self, rate: f64, time: Duration) -> Vec<Read> {
        self.load_of(&["look", "look", "look", "own", "store", "again"], rate, time)
    }

    /// The same with requests of these kinds, drawn evenly.
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
        let (mut client, mut dice) = (self.process.client(), Dice::of(seed));
        let (mut reads, mut next, mut key) = (Vec::new(), Instant::now(), harness::next_request_id() as u64);
        loop {
            let group = dice.one_of(&self.families).group;
            match dice.one_of(kinds) {
                "store" => {
                    key = harness::next_request_id() as u64;
                    write(&mut client, key, false, group);
                }
                "again" => write(&mut client, key, true, group),
                class => reads.extend(ask(&mut client, class, group)),
            }
            next = (next + pause).max(Instant::now());
            if next >= end {
                return reads;
            }
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    }

    /// No answer of a replica was too old.
    fn judge(&self, reads: &[Read], what: &str) {
        let sent = self.faults.sent();
        let stale: Vec<_> = reads
            .iter()
            .filter_map(|read| Some((read, read.too_old(&sent, BOUND, &self.families)?)))
            .collect();
        let worst = stale.iter().map(|(_, beyond)| *beyond).max().unwrap_or_default();
        let (count, all) = (stale.len(), reads.iter().filter(|read| read.by_replica).count());
        let log = self.process.log();
        assert!(
            stale.is_empty(),
            "{what}: {count} of {all} answers of replicas too old, by {worst:?} at most\n{log}"
        );
    }
}

/// Guards bounded reads of a gateway that starts while the primary stands still and says that it is the primary: what such a
/// one tells first must not date the log. The incident of report 85f2af.
#[test]
fn a_primary_that_stood_still_before_the_start_does_not_date_the_log() {
    for seed in seeds() {
        let mut dice = Dice::of(seed);
        let (stood, rate, conduct) = (dice.span(&STOOD), dice.log(&RATE), dice.one_of(&STALLED_BEHAVIORS));
        let family = ReplicaGroup::following(LAG);
        let stand = Stand::of("age-start", &[&family], 1);
        family.stand(conduct);
        std::thread::sleep(stood);
        let reads = stand.load(rate, BOUND + BEYOND);
        stand.judge(&reads, &format!("seed {seed}: {conduct:?}, stood for {stood:?}, {rate:.0} a second"));
    }
}

/// Guards bounded reads of a gateway that knows the log's time when the primary comes to a stand, however many answers it
/// gives from then on.
#[test]
fn a_primary_that_stands_still_does_not_pull_the_log_back() {
    for seed in seeds() {
        let mut dice = Dice::of(seed);
        let drawn = (dice.log(&RATE), dice.one_of(&STALLED_BEHAVIORS));
        // One that serves on, and is asked often, is the one that pulls.
        let often = (dice.log(&OFTEN), StalledBehavior::Serves);
        for (rate, conduct) in [drawn, often] {
            let family = ReplicaGroup::following(LAG);
            let stand = Stand::of("age-run", &[&family], 1);
            // Half of the reads go to the primary: its answers are many.
            let kinds = ["look", "own"];
            let known = Duration::from_millis(400);
            // It comes to a stand between two answers, not in a pause of the clients.
            let reads = std::thread::scope(|scope| {
                let load = scope.spawn(|| stand.load_of(&kinds, rate, known + BOUND + BEYOND));
                std::thread::sleep(known);
                family.stand(conduct);
                load.join().expect("the load")
            });
            stand.judge(&reads, &format!("seed {seed}: {conduct:?}, {rate:.0} a second"));
        }
    }
}

/// Guards bounded reads through an election: the old primary stands still, another one is elected, the old one goes on
/// calling itself the primary for a while, and comes back as a replica.
#[test]
fn an_old_primary_beside_a_new_one_dates_no_log() {
    for seed in seeds() {
        let mut dice = Dice::of(seed);
        let (rate, conduct) = (dice.log(&(20.0..RATE.end)), dice.one_of(&STALLED_BEHAVIORS));
        let spans = [dice.span(&STOOD), dice.span(&STOOD), BEYOND];
        let family = ReplicaGroup::following(LAG);
        let stand = Stand::of("age-elect", &[&family], 1);
        let mut reads = if seed % 2 == 0 { stand.load(rate, BOUND) } else { vec![] };
        family.stand(conduct);
        reads.extend(stand.load(rate, spans[0]));
        family.elect(1);
        reads.extend(stand.load(rate, spans[1]));
        family.settle();
        family.lag(BOUND.as_micros() as u64 * 2);
        reads.extend(stand.load(rate, spans[2]));
        stand.judge(&reads, &format!("seed {seed}: {conduct:?}, {spans:?}, {rate:.0} a second"));
    }
}

/// Guards bounded reads of a gateway that is held up for 0.15 s between its clock and every third write, while the log stands
/// still so that what covers a read as it is decided on does not once it is written.
#[test]
fn a_hold_between_clock_and_write_makes_no_read_stale() {
    for seed in seeds() {
        let mut dice = Dice::of(seed);
        let (rate, lag) = (dice.log(&(20.0..RATE.end)), dice.log(&NEAR_BOUND));
        let family = ReplicaGroup::following(lag as u64);
        let stand = Stand::of("age-hold", &[&family], 1);
        let mut reads = stand.load(400.0, BOUND);
        for _ in 0..EPISODES {
            family.stand(StalledBehavior::Serves);
            stand.faults.set("send hold 3\n");
            reads.extend(stand.load(rate, BOUND + STILL_BEYOND));
            stand.faults.set("");
            family.elect(0);
            reads.extend(stand.load(400.0, BOUND));
        }
        stand.judge(&reads, &format!("seed {seed}: {lag:.0} us behind, {rate:.0} a second"));
    }
}

/// Guards the same where the process is stopped again and again, for less and for more, wherever it is just then.
#[test]
fn stops_in_series_make_no_read_stale() {
    for seed in seeds() {
        let mut dice = Dice::of(seed);
        let (rate, lag) = (dice.log(&(20.0..RATE.end)), dice.log(&NEAR_BOUND));
        let family = ReplicaGroup::following(lag as u64);
        let stand = Stand::of("age-stop", &[&family], 1);
        let reads = std::thread::scope(|scope| {
            let load = scope.spawn(|| stand.load(rate, Duration::from_secs(3)));
            while !load.is_finished() {
                family.stand(StalledBehavior::Serves);
                for _ in 0..STOPS {
                    std::thread::sleep(dice.span(&STOPPED));
                    stand.process.signal(Signal::STOP);
                    std::thread::sleep(dice.span(&STOPPED));
                    stand.process.signal(Signal::CONT);
                }
                family.elect(0);
                std::thread::sleep(BOUND);
            }
            load.join().expect("the load")
        });
        stand.judge(&reads, &format!("seed {seed}: {lag:.0} us behind, {rate:.0} a second"));
    }
}

/// Guards hot restarts while the primary stands still, the wall clock of the next process being off: it must not take the
/// log's time from what it hears first, nor from what was handed over on another clock.
#[test]
fn a_hot_restart_while_the_primary_stands_still_makes_no_read_stale() {
    for seed in seeds() {
        let mut dice = Dice::of(seed);
        let (stood, rate, conduct) = (dice.span(&STOOD), dice.log(&RATE), dice.one_of(&STALLED_BEHAVIORS));
        let step = dice.one_of(&[0, -600, 600, -3_600_000, 3_600_000]);
        let family = ReplicaGroup::following(LAG);
        let mut stand = Stand::of("age-next", &[&family], 1);
        let mut reads = if seed % 2 == 0 { stand.load(200.0, BOUND) } else { vec![] };
        family.stand(conduct);
        std::thread::sleep(stood);
        stand.faults.set(&format!("clock {step}\n"));
        stand.hot_restart();
        reads.extend(stand.load(rate, BOUND + BEYOND));
        let what =
            format!("seed {seed}: {conduct:?}, stood for {stood:?}, off by {step} ms, {rate:.0} a second");
        stand.judge(&reads, &what);
    }
}

/// Guards several families over several workers: what one that stands still tells says nothing of the others, and what the
/// others tell says nothing of how long it has stood.
#[test]
fn a_family_that_stands_still_dates_no_other_on_any_worker() {
    for seed in seeds() {
        let mut dice = Dice::of(seed);
        let (stood, rate, conduct) = (dice.span(&STOOD), dice.log(&RATE), dice.one_of(&STALLED_BEHAVIORS));
        let cores = dice.one_of(&[1, 2, 4]);
        let families: Vec<ReplicaGroup> = (1..=3).map(|group| ReplicaGroup::numbered(group, LAG)).collect();
        let families: Vec<&ReplicaGroup> = families.iter().collect();
        let stand = Stand::of("age-workers", &families, cores);
        families[0].stand(conduct);
        std::thread::sleep(stood);
        let mut reads = stand.load(rate, BOUND);
        families[1].stand(conduct);
        reads.extend(stand.load(rate, BOUND + BEYOND));
        stand.judge(
            &reads,
            &format!("seed {seed}: {conduct:?}, {cores} workers, stood for {stood:?}, {rate:.0} a second"),
        );
    }
}

/// Guards the tests above: while the primary serves, replicas answer bounded reads, whether clients mark retries or not, and
/// one that is too far behind answers none.
#[test]
fn replicas_serve_while_the_primary_goes_on() {
    for clients_mark_retries in [true, false] {
        let family = ReplicaGroup::following(LAG);
        let discovery = bind_loopback();
        let place = discovery.local_addr().expect("bound");
        let start = ProcessOptions {
            settings: bounded(clients_mark_retries),
            ..ProcessOptions::with_defaults("age-live", 300, place)
        };
        let stand = Stand::with(start, discovery, &[&family]);
        let reads = stand.load(400.0, Duration::from_millis(1_500));
        let by_replicas = reads.iter().filter(|read| read.by_replica).count();
        assert!(by_replicas * 4 > reads.len(), "{by_replicas} of {}, {}", reads.len(), stand.process.log());
        stand.judge(&reads, "live");
        family.lag(2 * BOUND.as_micros() as u64);
        std::thread::sleep(BOUND);
        let reads = stand.load(400.0, Duration::from_millis(500));
        assert!(reads.iter().all(|read| !read.by_replica), "marked {clients_mark_retries}");
    }
}
