//! Scale runs, small: what they refuse, what they count, what they call broken, and that nothing of them is left.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use dunemount_loadtest::scale::limits::{admit, Means};
use dunemount_loadtest::scale::plan::{Event, Plan};
use dunemount_loadtest::scale::report::{self, quantiles, verdicts};
use dunemount_loadtest::scale::run::{play, ControlServerRow, Outcome, Phase};
use rustix::process::{kill_process, Pid, Signal};

/// However busy the machine, what is waited for comes within this.
const LONG: Duration = Duration::from_secs(60);

/// A folder that goes with its test.
struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("dunemount-scale-test-{test}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Quick enough for a test, with terms long enough that a busy machine takes nobody for gone.
fn plan(text: &str) -> Plan {
    let usual = "[run]\nthreads = 2\nquiet_s = 1\njoin_s = 60\nsettle_s = 60\n\
        [fleet]\nprobe_ms = 400\nlease_ms = 2000\n[list]\nhosts = 20\n";
    Plan::read(&format!("{usual}{text}")).expect("a plan")
}

fn played(plan: &Plan) -> Outcome {
    let (outcome, done) = play(plan, &AtomicBool::new(false), &mut |_| {});
    assert_eq!(done, Ok(()));
    outcome
}

fn phase<'a>(outcome: &'a Outcome, name: &str) -> &'a Phase {
    outcome.phases.iter().find(|phase| phase.name == name).expect("a phase")
}

/// How many were to act, and how many did.
fn acted(phase: &Phase) -> (usize, usize) {
    let (wanted, acted) = phase.acted.as_ref().expect("an event");
    (*wanted, acted.len())
}

/// Guards against a file that says something else than its writer meant: each error names section and key.
#[test]
fn what_cannot_be_used_is_named_with_its_place() {
    let cases = [
        ("[run]\nhollow = many", "[run] hollow: \"many\" is no whole number"),
        ("[run]\nhollow = 2000", "[run] hollow: 2000 is out of range (0 to 1000)"),
        ("[run]\nhollow = 900\nreal = 200", "[run] hollow, real: 1000 gateways at most"),
        ("[run]\nhollw = 3", "[run] hollw: no such key"),
        ("[fleet]\nvoters = 2", "[fleet] voters: 2: 1, 3, 5 or 7 keep a majority"),
        ("[run]\nhollow = 2", "[fleet] voters: 3: more than there are gateways"),
        ("[events]\na = flood", "[events] a: \"flood\" is none of: list N"),
        ("[events]\na = list -1", "[events] a: \"list -1\": behind the word stand numbers"),
        ("[events]\na = zone 6 1", "[events] zone 6: zones are 0 to 5"),
        ("[run]\nreal = 1\n[events]\na = apart 1", "[events] apart: datagrams of real processes"),
        ("[run]\ncontrol = 3\n[events]\na = apart 1", "[events] apart: datagrams of real processes"),
        ("[events]\na = version 2 100", "[events] version: needs a [run] control of 1"),
        ("[events]\na = silent 2", "[events] silent: needs a [run] control of 1"),
        ("[events]\na = version 601", "[events] a: \"version 601\" is none of: list N"),
        ("[run]\ncontrol = 7", "[run] control: 7: one a zone, of 6"),
        ("[run]\ncontrol = 2", "[fleet] voters: 3: more than there are control machines"),
        ("[run]\ndocument_bytes = 262145", "[run] document_bytes: 262145 is out of range (0 to 262144)"),
        ("[budgets]\ncontrol.bytes_s = 1", "[budgets] control.bytes_s: is none of"),
        ("[budgets]\ngateway.cores = 1", "[budgets] gateway.cores: is none of"),
        ("[budgets]\ngateway.core = little", "[budgets] gateway.core: \"little\" is no number"),
    ];
    for (text, what) in cases {
        let refused = Plan::read(text).expect_err(text);
        assert!(refused.starts_with(what), "{text:?}: {refused}");
    }
}

/// Guards the order of events, and that a seed draws the same ones again.
#[test]
fn events_come_in_the_order_of_the_file_and_from_the_seed() {
    let read = |text: &str| Plan::read(text).expect("a plan").events;
    let events = read("[events]\nb = death\na = rack 4\nc = restarts 3 250");
    let wanted = [Event::Death, Event::Rack(4), Event::Restarts(3, Duration::from_millis(250))];
    assert_eq!(events, wanted);
    let events =
        read("[run]\ncontrol = 3\n[events]\na = version\nb = version 5 250\nc = control 2\nd = behind 1.5");
    let ms = Duration::from_millis;
    let wanted = [
        Event::Version(1, ms(0)),
        Event::Version(5, ms(250)),
        Event::Control(ms(2_000)),
        Event::Behind(ms(1_500)),
    ];
    assert_eq!(events, wanted);
    let drawn = |seed: u64| read(&format!("[run]\nseed = {seed}\n[events]\ndrawn = 12"));
    assert_eq!(drawn(5), drawn(5));
    assert_eq!(drawn(5).len(), 12);
    assert_ne!(drawn(5), drawn(6));
}

/// Guards the machine: a run that it could not carry is refused with the reason, before anything starts.
#[test]
fn a_run_that_the_machine_could_not_carry_is_refused() {
    let plan = Plan::read("[run]\nhollow = 710\nreal = 30\n[list]\nrouter = yes").expect("a plan");
    let plenty = Means { descriptors: 1 << 20, memory: 1 << 20, processes: 1 << 20 };
    assert_eq!(admit(&plan, plenty), Ok(()));
    for (what, have) in [
        ("descriptors: ", Means { descriptors: 1024, ..plenty }),
        ("memory: ", Means { memory: 1024, ..plenty }),
        ("processes and threads: ", Means { processes: 64, ..plenty }),
    ] {
        let refused = admit(&plan, have).expect_err(what);
        assert!(refused.starts_with(what), "{refused}");
    }
    let allowed = Plan { memory: 512, ..plan.clone() };
    assert!(admit(&allowed, plenty).expect_err("more than allowed").contains("[run] memory_mb"));
    let processes = Plan { simulated: 0, real: 201, ..plan };
    assert_eq!(admit(&processes, plenty), Err("processes: 201 asked for, 200 at most".to_string()));
    // Control machines are processes like others, and each gateway has connections to them.
    let control = Plan { real: 195, control: 6, ..processes };
    assert_eq!(admit(&control, plenty), Err("processes: 201 asked for, 200 at most".to_string()));
    let (with, without) = (Plan { control: 6, ..allowed.clone() }, Plan { control: 0, ..allowed });
    let (with, without) = (Means::needed(&with), Means::needed(&without));
    assert!(with.descriptors >= without.descriptors + 710 * 3, "{with:?}, {without:?}");
    assert!(with.memory > without.memory && with.processes > without.processes, "{with:?}, {without:?}");

    let folder = Folder::new("refused");
    let file = folder.file("run.ini", "[run]\nhollow = 100\nmemory_mb = 1\n");
    let output = loadtest(&file, &folder.0.join("out"));
    assert!(!output.status.success());
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(said.contains("refused to begin: memory: "), "{said}");
    assert!(!folder.0.join("out").exists(), "nothing was begun");
}

/// Guards the counts: each gateway takes each list once, with its bytes, and each sees each death once; a budget that
/// is too small is called broken, one that nothing measured is called that.
#[test]
fn lists_and_deaths_are_counted_and_budgets_judged() {
    let plan = plan(
        "[run]\nhollow = 12\n[fleet]\nprobe_ms = 1000\n[list]\nrouter = yes\n[events]\na = list 1\nb = primary\nc = configuration\nd = death\n\
         [budgets]\ngateway.bytes_s = 1\ngateway.mb = 4096\nvoter.bytes_s = 1000000000\nlist.last_s = 0\n\
         death.last_s = 60\nrack.last_s = 60\n",
    );
    let outcome = played(&plan);
    let names: Vec<&str> = outcome.phases.iter().map(|phase| &*phase.name).collect();
    assert_eq!(names, ["join", "quiet", "list", "primary", "configuration", "death"]);
    for name in ["join", "list", "primary", "configuration"] {
        assert_eq!(acted(phase(&outcome, name)), (12, 12), "{name}");
    }
    assert_eq!(acted(phase(&outcome, "death")), (11, 11));
    let lengths: Vec<u64> = ["list", "primary"]
        .iter()
        .map(|name| {
            let rows = &phase(&outcome, name).rows;
            let lists: Vec<_> = rows.iter().map(|row| row.counts.lists).collect();
            assert!(lists.iter().all(|list| list.messages == 1 && *list == lists[0]), "{name}: {lists:?}");
            lists[0].bytes
        })
        .collect();
    // Both are the whole list: 20 lines of some 150 bytes.
    assert!(lengths.iter().all(|length| (2_000..6_000).contains(length)), "{lengths:?}");
    // Each of the others gives the dead one up, once, and nobody else.
    let rows = &phase(&outcome, "death").rows;
    let given_up: Vec<(u64, u64)> =
        rows.iter().map(|row| (row.counts.losses - row.counts.mistaken, row.counts.mistaken)).collect();
    assert_eq!(given_up.iter().map(|(dead, _)| dead).sum::<u64>(), 11, "{given_up:?}");
    assert!(given_up.iter().all(|(dead, live)| *dead <= 1 && *live == 0), "{given_up:?}");
    // Whoever calls is heard: nothing else than membership, calls and replies is said, and each reply follows a call.
    let all = |kind: usize, sent: bool| -> u64 {
        let rows = outcome.phases.iter().flat_map(|phase| &phase.rows);
        rows.map(|row| if sent { row.counts.sent[kind] } else { row.counts.received[kind] }.messages).sum()
    };
    assert!(all(0, true) > 0 && all(1, true) > 0 && all(2, true) > 0);
    // A node replies in the turn in which it hears, and counts are taken between turns: so of each gateway in each phase.
    for row in outcome.phases.iter().flat_map(|phase| &phase.rows) {
        let (calls, replies) = (row.counts.received[1].messages, row.counts.sent[2].messages);
        assert!(replies <= calls, "{replies} replies to {calls} calls of gateway {}", row.gateway);
    }
    assert_eq!((all(3, true), all(3, false)), (0, 0), "nobody orders");

    let verdicts = verdicts(&plan, &outcome);
    let of = |budget: &str, phase: &str| {
        let found = verdicts.iter().find(|verdict| verdict.budget == budget && verdict.phase == phase);
        found.expect("judged").verdict
    };
    assert_eq!(of("gateway.bytes_s", "quiet"), "broken");
    assert_eq!(of("gateway.bytes_s", "all"), "broken");
    assert_eq!(of("list.last_s", "list"), "broken");
    assert_eq!(of("voter.bytes_s", "quiet"), "kept");
    assert_eq!(of("gateway.mb", "all"), "kept");
    assert_eq!(of("death.last_s", "death"), "kept");
    assert_eq!(of("rack.last_s", "-"), "not measured");
}

/// Guards a budget on time against those that have not acted at all: they are the worst.
#[test]
fn who_has_not_acted_breaks_a_budget() {
    let plan = plan("[run]\nhollow = 3\n[budgets]\ndeath.last_s = 60\n");
    let one = |wanted, acted| Phase {
        name: "death".into(),
        length: Duration::from_secs(1),
        busy: 0.0,
        traffic: (0, 0),
        told: (0, 0, 0),
        rows: vec![],
        acted: Some((wanted, acted)),
        ..Phase::default()
    };
    let second = Duration::from_secs(1);
    let judged = |acted: Vec<(usize, Duration)>| {
        let outcome = Outcome { phases: vec![one(2, acted)], ..Outcome::default() };
        verdicts(&plan, &outcome)[0].verdict
    };
    assert_eq!(judged(vec![(0, second), (1, second)]), "kept");
    assert_eq!(judged(vec![(0, second)]), "broken");
    assert_eq!(judged(vec![]), "broken");
    let times: Vec<_> = (0..100).map(|at| (at, Duration::from_millis(at as u64))).collect();
    let (half, most, last) = quantiles(&times).expect("times");
    assert_eq!((half * 1e3).round() as u64, 49);
    assert_eq!((most * 1e3).round() as u64, 98);
    assert_eq!((last * 1e3).round() as u64, 99);
}

/// Guards the larger events, voters among those that go: a zone that is lost and comes back, regions apart, restarts,
/// and one that stands still; in the end all know all.
#[test]
fn zones_regions_and_restarts_are_seen_by_all() {
    let plan = plan(
        "[run]\nhollow = 12\n[places]\nzones = 4\nregions = 2\n[fleet]\nprobe_ms = 150\nlease_ms = 900\n\
         [events]\na = zone 1 1\nb = apart 1\nc = restarts 3 20\nd = stopped 20\ne = rack 2\n",
    );
    let outcome = played(&plan);
    let told: Vec<(&str, (usize, usize))> = outcome
        .phases
        .iter()
        .filter(|phase| phase.acted.is_some())
        .map(|phase| (&*phase.name, acted(phase)))
        .collect();
    let wanted = [
        ("join", (12, 12)),
        // Three of a zone.
        ("zone", (9, 9)),
        ("zone back", (12, 12)),
        ("apart", (12, 12)),
        ("joined", (12, 12)),
        ("restarts", (12, 12)),
        ("stopped", (11, 11)),
        ("goes on", (12, 12)),
    ];
    assert_eq!(told[..8], wanted);
    let held = |name: &str| phase(&outcome, name).rows.iter().map(|row| row.counts.held).sum::<u64>();
    assert!(held("apart") > 0, "the cut holds datagrams back");
    assert_eq!(held("zone") + held("restarts"), 0, "nothing else does");
    assert!(told[8].0 == "rack" && told[8].1 .0 == told[8].1 .1, "{told:?}");
}

fn loadtest(file: &Path, out: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_loadtest"));
    command.arg("scale").arg(file).arg("--out").arg(out).output().expect("it runs")
}

/// Guards what is written, and that a pipe is told of no progress.
#[test]
fn tables_and_a_plot_are_written_and_a_pipe_hears_no_progress() {
    let folder = Folder::new("written");
    let file =
        folder.file("run.ini", "[run]\nhollow = 3\nquiet_s = 1\n[list]\nhosts = 5\n[events]\na = list 1\n");
    let out = folder.0.join("out");
    let output = loadtest(&file, &out);
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success() && said.is_empty(), "{said}");
    let read = |name: &str| fs::read_to_string(out.join(name)).expect(name);
    assert_eq!(read("gateways.csv").lines().count(), 1 + 3 * 3);
    let events: Vec<String> = read("events.csv").lines().map(str::to_string).collect();
    assert_eq!(events.len(), 3);
    assert!(events[2].starts_with("list,") && events[2].contains(",3,3,"), "{events:?}");
    let plot = read("events.svg");
    assert!(plot.starts_with("<svg") && plot.contains("seconds from the event"));
    assert!(String::from_utf8_lossy(&output.stdout).contains("3 hollow and 0 real gateways"));
}

/// A program in place of the real one that notes its id and does what the last line says.
fn program(folder: &Folder, last: &str) -> PathBuf {
    use std::os::unix::fs::PermissionsExt;
    let notes = folder.0.display();
    let path = folder.file("program", &format!("#!/bin/sh\necho $$ > {notes}/id-$$\n{last}\n"));
    fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).expect("permitted");
    path
}

fn ids(folder: &Folder) -> Vec<i32> {
    let files = fs::read_dir(&folder.0).expect("a folder").flatten();
    files.filter_map(|file| file.file_name().to_str()?.strip_prefix("id-")?.parse().ok()).collect()
}

fn assert_all_ended(ids: &[i32]) {
    for id in ids {
        assert!(!Path::new(&format!("/proc/{id}")).exists(), "process {id} is still there");
    }
}

/// Guards the machine: processes that were started are ended when the run fails, and when it is told to stop.
#[test]
fn everything_is_ended_after_a_failure() {
    let folder = Folder::new("failure");
    let program = program(&folder, "exec sleep 600");
    let silent = Plan { join: Duration::from_secs(2), program, ..plan("[run]\nhollow = 3\nreal = 3\n") };
    let failed = play(&silent, &AtomicBool::new(false), &mut |_| {}).1.expect_err("it cannot join");
    assert_eq!(failed, "gateway 3 does not listen");
    assert_eq!(ids(&folder).len(), 3);
    assert_all_ended(&ids(&folder));

    let stop = AtomicBool::new(false);
    let patient = Plan { join: LONG, ..silent };
    let failed = std::thread::scope(|scope| {
        let run = scope.spawn(|| play(&patient, &stop, &mut |_| {}).1);
        let until = Instant::now() + LONG;
        while ids(&folder).len() < 6 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        stop.store(true, Ordering::Relaxed);
        run.join().expect("no panic")
    });
    assert_eq!(failed.expect_err("it was stopped"), "interrupted");
    assert_all_ended(&ids(&folder));
}

/// Guards the report: a process that ends by itself breaks the run off and is named, and none is left.
#[test]
fn a_process_that_ends_by_itself_breaks_the_run_off() {
    let folder = Folder::new("itself");
    let program = program(&folder, "exit 3");
    let plan = Plan { program, ..plan("[run]\nhollow = 1\nreal = 1\n[fleet]\nvoters = 1\n") };
    let failed = play(&plan, &AtomicBool::new(false), &mut |_| {}).1.expect_err("it ended");
    assert_eq!(failed, "gateway 1 has ended by itself");
    assert_all_ended(&ids(&folder));
}

/// Guards the same through the command, by the signal that a terminal sends.
#[test]
fn everything_is_ended_when_the_command_is_interrupted() {
    let folder = Folder::new("interrupted");
    let program = program(&folder, "exec sleep 600");
    let text = format!("[run]\nhollow = 3\nreal = 2\nprogram = {}\n", program.display());
    let file = folder.file("run.ini", &text);
    let mut command = Command::new(env!("CARGO_BIN_EXE_loadtest"));
    command.arg("scale").arg(&file).arg("--out").arg(folder.0.join("out"));
    let mut child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("it runs");
    let until = Instant::now() + LONG;
    while ids(&folder).len() < 2 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
    }
    kill_process(Pid::from_child(&child), Signal::INT).expect("its own child");
    assert!(!child.wait().expect("it ends").success());
    assert_eq!(ids(&folder).len(), 2);
    assert_all_ended(&ids(&folder));
}

/// Guards the likeness: hollow gateways and processes of the program are one fleet, and each acts on the same events.
#[test]
fn hollow_gateways_and_processes_of_the_program_are_one_fleet() {
    let plan = Plan {
        program: built(),
        ..plan(
            "[run]\nhollow = 3\nreal = 3\n[events]\na = list 2\nb = primary\nc = configuration\nd = death\n",
        )
    };
    let outcome = played(&plan);
    let mut told: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for phase in outcome.phases.iter().filter(|phase| phase.acted.is_some()) {
        told.insert(&phase.name, acted(phase));
    }
    let all = (6, 6);
    let wanted = [("configuration", all), ("death", (5, 5)), ("join", all), ("list", all), ("primary", all)];
    assert_eq!(told, BTreeMap::from(wanted));
    assert_eq!(outcome.started.len(), 3);
    let ids: Vec<i32> = outcome.started.iter().map(|id| *id as i32).collect();
    assert_all_ended(&ids);
}

/// Guards runs without hollow gateways: processes alone are played, and their processor time is told.
#[test]
fn processes_alone_are_played() {
    let outcome =
        played(&Plan { program: built(), ..plan("[run]\nhollow = 0\nreal = 3\n[events]\na = list 1\n") });
    assert_eq!(acted(phase(&outcome, "join")), (3, 3));
    assert_eq!(acted(phase(&outcome, "list")), (3, 3));
    let quiet = phase(&outcome, "quiet");
    assert!(quiet.rows.iter().all(|row| row.real && row.counts.fleet_cpu > Duration::ZERO && row.memory > 0));
}

/// The program, as it is built with the workspace.
fn built() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_loadtest")).with_file_name("dunemount");
    assert!(program.exists(), "{}: build the workspace first", program.display());
    program
}

/// Guards the way of a version: each gateway, hollow or a process, gets the newest, never an older one behind it, for the
/// bytes of one document; a control machine that is killed costs nobody a version, and its zone comes back to it.
#[test]
fn versions_reach_all_gateways_and_a_lost_control_machine_is_passed_over() {
    let text =
        "[run]\nhollow = 10\nreal = 2\ncontrol = 3\nhome_s = 1\nsilent_ms = 20000\nseed = 1\n[places]\nzones = 3\nregions = 1\n\
        [events]\na = version\nb = version 4 100\nc = control 1\nd = version\n\
        [budgets]\nversion.last_s = 60\ncontrol.mb = 1\ncontrol.core = 1\n";
    let plan = Plan { program: built(), ..plan(text) };
    let outcome = played(&plan);
    assert_eq!(outcome.rejections, Vec::<String>::new());
    let told: Vec<(&str, (usize, usize))> = outcome
        .phases
        .iter()
        .filter(|phase| phase.acted.is_some())
        .map(|phase| (&*phase.name, acted(phase)))
        .collect();
    let killed = phase(&outcome, "control");
    assert!(
        killed.machines.iter().all(|row| row.machine > 0),
        "the one without processes: {:?}",
        killed.machines
    );
    let (at_killed, _) = acted(killed);
    assert!((4..=6).contains(&at_killed), "{at_killed}");
    let wanted = [
        ("join", (12, 12)),
        ("version", (12, 12)),
        ("version", (48, 48)),
        // A zone's gateways, all of them hollow: processes take 30 s to come back. On a machine so busy that a control
        // machine is late by 0.5 s a process may hear the one that is killed.
        ("control", (at_killed, at_killed)),
        ("control back", (4, 4)),
        ("version", (12, 12)),
    ];
    assert_eq!(told, wanted);
    assert_eq!(outcome.fallen, 0, "nobody went back");
    assert_eq!(outcome.in_force, (0..12).map(|gateway| (gateway, 6)).collect());
    let versions = outcome.phases.iter().flat_map(|phase| &phase.versions);
    let numbers: Vec<Option<u64>> = versions.map(|version| version.number).collect();
    assert_eq!(numbers, (1..=6).map(Some).collect::<Vec<_>>());

    // A document each, with what stands beside it and the signs of life, which are 40 bytes each 150 ms.
    let first = phase(&outcome, "version");
    let spare = 400 + (first.length.as_secs_f64() / 0.15 * 60.0) as u64;
    for row in first.rows.iter().filter(|row| !row.real) {
        let bytes = row.counts.control_received;
        assert!((4_096..4_096 + spare).contains(&bytes), "gateway {}: {bytes} bytes", row.gateway);
        assert!(row.counts.bytes() >= bytes + row.counts.control_sent);
    }
    // What is in force is told at once, a digest and little more, and again each second.
    for gateway in 0..plan.simulated {
        let rows = outcome.phases.iter().flat_map(|phase| &phase.rows).filter(|row| row.gateway == gateway);
        let sent: u64 = rows.map(|row| row.counts.control_sent).sum();
        let length: f64 = outcome.phases.iter().map(|phase| phase.length.as_secs_f64()).sum();
        assert!((100..2_000 + (length * 60.0) as u64).contains(&sent), "gateway {gateway}: {sent} bytes");
    }
    let quiet = phase(&outcome, "quiet");
    // Each zone hears its own: of 12 the 10 hollow ones, however late the machine is.
    let assert_heard = |phase: &Phase, least: &[usize]| {
        let heard: Vec<usize> = phase.machines.iter().map(|row| row.gateways).collect();
        let enough = heard.iter().zip(least).all(|(heard, least)| heard >= least);
        assert!(heard.len() == least.len() && enough && heard.iter().sum::<usize>() <= 12, "{heard:?}");
    };
    assert_heard(quiet, &[4, 3, 3]);
    let spent = |row: &ControlServerRow| row.cpu > Duration::ZERO && row.memory > 0;
    assert!(quiet.machines.iter().all(spent), "{:?}", quiet.machines);
    // The next one of the ring has both zones.
    assert_heard(killed, &[7, 3]);
    let back = phase(&outcome, "control back");
    assert_heard(back, &[4, 3, 3]);
    assert!((1..=4).contains(&back.arrivals.expect("counted")), "{:?}", back.arrivals);

    let verdicts = verdicts(&plan, &outcome);
    let of = |budget: &str| -> Vec<&str> {
        verdicts.iter().filter(|verdict| verdict.budget == budget).map(|verdict| verdict.verdict).collect()
    };
    assert_eq!(of("version.last_s"), ["kept", "kept", "kept"]);
    assert_eq!(of("control.mb"), ["broken", "broken"]);
    assert_eq!(of("control.core"), ["kept", "kept"]);

    assert_eq!(outcome.started.len(), 6, "two gateways, three control machines, one of them twice");
    let ids: Vec<i32> = outcome.started.iter().map(|id| *id as i32).collect();
    assert_all_ended(&ids);
}

/// Guards the budget of a version: one gateway that stands still breaks it and gets the newest later; a control machine
/// that falls silent without a word is left like one that is gone. And what is written of it.
#[test]
fn a_gateway_that_lags_breaks_the_budget_of_a_version() {
    let text = "[run]\nhollow = 4\ncontrol = 1\ndocument_bytes = 0\n[fleet]\nvoters = 1\n\
        [events]\na = version\nb = behind 1.5\n[budgets]\nversion.last_s = 60\nbehind.last_s = 1\nsilent.last_s = 1\n";
    let plan = Plan { program: built(), ..plan(text) };
    let outcome = played(&plan);
    assert_eq!(outcome.rejections, Vec::<String>::new());
    assert_eq!(acted(phase(&outcome, "version")), (4, 4));
    assert_eq!(acted(phase(&outcome, "behind")), (4, 4));
    assert_eq!(outcome.in_force, (0..4).map(|gateway| (gateway, 2)).collect());
    let verdicts = verdicts(&plan, &outcome);
    let judged: Vec<(&str, &str)> =
        verdicts.iter().map(|verdict| (&*verdict.budget, verdict.verdict)).collect();
    let wanted = [("version.last_s", "kept"), ("behind.last_s", "broken"), ("silent.last_s", "not measured")];
    assert_eq!(judged, wanted);

    let folder = Folder::new("versions");
    report::write(&plan, &outcome, &folder.0).expect("written");
    let lines = |name: &str| -> Vec<String> {
        fs::read_to_string(folder.0.join(name)).expect(name).lines().map(str::to_string).collect()
    };
    let versions = lines("versions.csv");
    assert_eq!(versions.len(), 3);
    assert!(versions[1].starts_with("version,") && versions[2].starts_with("behind,"), "{versions:?}");
    assert_eq!(lines("control.csv").len(), 1 + 4, "one machine in four phases");
    let said = report::text(&plan, &outcome);
    assert!(said.contains("gateways that went back to an older version: 0"), "{said}");
}

/// Guards the likeness of a stopped control machine and a killed one: its gateways hear another, and come back.
#[test]
fn a_control_machine_that_falls_silent_is_left_for_the_next() {
    let text = "[run]\nhollow = 6\ncontrol = 2\nhome_s = 1\nsilent_ms = 4000\n[fleet]\nvoters = 1\n[places]\nzones = 2\n\
        [events]\na = silent 5\n";
    let outcome = played(&Plan { program: built(), ..plan(text) });
    assert_eq!(acted(phase(&outcome, "silent")), (3, 3));
    let silent = phase(&outcome, "silent");
    let heard: Vec<usize> = silent.machines.iter().map(|row| row.gateways).collect();
    assert!(heard == [0, 6] || heard == [6, 0], "{heard:?}");
    assert_eq!(acted(phase(&outcome, "silent back")), (3, 3));
}
