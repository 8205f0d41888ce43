//! Small scale runs: rejected plans, counters, verdicts on budgets, and the end of all processes that a run starts.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use dunemount_loadtest::scale::limits::{check_resources, Resources};
use dunemount_loadtest::scale::plan::{Event, Plan};
use dunemount_loadtest::scale::report::{self, quantiles, verdicts};
use dunemount_loadtest::scale::run::{execute, ControlServerRow, Outcome, Phase};
use rustix::process::{kill_process, Pid, Signal};

/// Timeout that is not reached even on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A folder that is removed at the end of its test.
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

/// A plan with a short run, but with probes and leases long enough that no gateway is declared gone on a busy machine.
fn plan(text: &str) -> Plan {
    let defaults = "[run]\nthreads = 2\nquiet_s = 1\njoin_s = 60\nsettle_s = 60\n\
        [fleet]\nprobe_ms = 400\nlease_ms = 2000\n[list]\nhosts = 20\n";
    Plan::parse(&format!("{defaults}{text}")).expect("a plan")
}

fn run_plan(plan: &Plan) -> Outcome {
    let (outcome, done) = execute(plan, &AtomicBool::new(false), &mut |_| {});
    assert_eq!(done, Ok(()));
    outcome
}

fn phase<'a>(outcome: &'a Outcome, name: &str) -> &'a Phase {
    outcome.phases.iter().find(|phase| phase.name == name).expect("a phase")
}

/// The number of gateways that should act, and the number of those that did.
fn acted(phase: &Phase) -> (usize, usize) {
    let (expected, acted) = phase.acted.as_ref().expect("an event");
    (*expected, acted.len())
}

/// Guards against mistakes in a plan that would go unnoticed: each is an error that names the section and the key.
#[test]
fn invalid_plans_are_rejected_with_section_and_key() {
    let cases = [
        ("[run]\nhollow = many", "[run] hollow: \"many\" is not a whole number"),
        ("[run]\nhollow = 2000", "[run] hollow: 2000 is out of range (0 to 1000)"),
        ("[run]\nhollow = 900\nreal = 200", "[run] hollow, real: at most 1000 gateways together"),
        ("[run]\nhollw = 3", "[run] hollw: unknown key"),
        ("[fleet]\nvoters = 2", "[fleet] voters: 2: must be 1, 3, 5 or 7 to keep a majority"),
        ("[run]\nhollow = 2", "[fleet] voters: 3: more than there are gateways"),
        ("[events]\na = flood", "[events] a: \"flood\" is not one of: list N"),
        ("[events]\na = list -1", "[events] a: \"list -1\": arguments must be numbers from 0 to 100000"),
        ("[events]\na = zone 6 1", "[events] zone 6: zones are 0 to 5"),
        (
            "[run]\nreal = 1\n[events]\na = apart 1",
            "[events] apart: datagrams between processes cannot be dropped",
        ),
        (
            "[run]\ncontrol = 3\n[events]\na = apart 1",
            "[events] apart: datagrams between processes cannot be dropped",
        ),
        ("[events]\na = version 2 100", "[events] version: needs [run] control of at least 1"),
        ("[events]\na = silent 2", "[events] silent: needs [run] control of at least 1"),
        ("[events]\na = version 601", "[events] a: \"version 601\" is not one of: list N"),
        ("[run]\ncontrol = 7", "[run] control: 7: at most one per zone, of 6 zones"),
        ("[run]\ncontrol = 2", "[fleet] voters: 3: more than there are control servers"),
        ("[run]\ndocument_bytes = 262145", "[run] document_bytes: 262145 is out of range (0 to 262144)"),
        ("[budgets]\ncontrol.bytes_s = 1", "[budgets] control.bytes_s: is not one of"),
        ("[budgets]\ngateway.cores = 1", "[budgets] gateway.cores: is not one of"),
        ("[budgets]\ngateway.core = little", "[budgets] gateway.core: \"little\" is not a number"),
    ];
    for (text, expected) in cases {
        let error = Plan::parse(text).expect_err(text);
        assert!(error.starts_with(expected), "{text:?}: {error}");
    }
}

/// Guards the order of events, and that the same seed draws the same events.
#[test]
fn events_come_in_the_order_of_the_file_and_from_the_seed() {
    let read = |text: &str| Plan::parse(text).expect("a plan").events;
    let events = read("[events]\nb = death\na = rack 4\nc = restarts 3 250");
    let wanted =
        [Event::GatewayKilled, Event::RackLost(4), Event::RollingRestart(3, Duration::from_millis(250))];
    assert_eq!(events, wanted);
    let events =
        read("[run]\ncontrol = 3\n[events]\na = version\nb = version 5 250\nc = control 2\nd = behind 1.5");
    let ms = Duration::from_millis;
    let wanted = [
        Event::VersionsProposed(1, ms(0)),
        Event::VersionsProposed(5, ms(250)),
        Event::ControlServerKilled(ms(2_000)),
        Event::GatewayBehind(ms(1_500)),
    ];
    assert_eq!(events, wanted);
    let drawn = |seed: u64| read(&format!("[run]\nseed = {seed}\n[events]\ndrawn = 12"));
    assert_eq!(drawn(5), drawn(5));
    assert_eq!(drawn(5).len(), 12);
    assert_ne!(drawn(5), drawn(6));
}

/// Guards the machine against runs that exceed its resources: they are refused with a reason before anything starts.
#[test]
fn a_run_that_exceeds_the_resources_of_the_machine_is_refused() {
    let plan = Plan::parse("[run]\nhollow = 710\nreal = 30\n[list]\nrouter = yes").expect("a plan");
    let plenty = Resources { descriptors: 1 << 20, memory: 1 << 20, processes: 1 << 20 };
    assert_eq!(check_resources(&plan, plenty), Ok(()));
    for (resource, available) in [
        ("descriptors: ", Resources { descriptors: 1024, ..plenty }),
        ("memory: ", Resources { memory: 1024, ..plenty }),
        ("processes and threads: ", Resources { processes: 64, ..plenty }),
    ] {
        let error = check_resources(&plan, available).expect_err(resource);
        assert!(error.starts_with(resource), "{error}");
    }
    let allowed = Plan { memory_mib: 512, ..plan.clone() };
    assert!(check_resources(&allowed, plenty).expect_err("more than allowed").contains("[run] memory_mb"));
    let processes = Plan { simulated: 0, real: 201, ..plan };
    assert_eq!(
        check_resources(&processes, plenty),
        Err("processes: 201 required, at most 200 allowed".to_string())
    );
    // Control servers count as processes, and each gateway has connections to them.
    let control = Plan { real: 195, control_servers: 6, ..processes };
    assert_eq!(
        check_resources(&control, plenty),
        Err("processes: 201 required, at most 200 allowed".to_string())
    );
    let (with, without) =
        (Plan { control_servers: 6, ..allowed.clone() }, Plan { control_servers: 0, ..allowed });
    let (with, without) = (Resources::required(&with), Resources::required(&without));
    assert!(with.descriptors >= without.descriptors + 710 * 3, "{with:?}, {without:?}");
    assert!(with.memory > without.memory && with.processes > without.processes, "{with:?}, {without:?}");

    let folder = Folder::new("refused");
    let file = folder.file("run.ini", "[run]\nhollow = 100\nmemory_mb = 1\n");
    let output = loadtest(&file, &folder.0.join("out"));
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.contains("refused to start: memory: "), "{stderr}");
    assert!(!folder.0.join("out").exists(), "nothing was started");
}

/// Guards the counters and the verdicts: each gateway receives each list once, with its bytes, and declares a killed
/// gateway gone once; a budget that is too small is broken, and one without measurements is not measured.
#[test]
fn lists_and_deaths_are_counted_and_budgets_judged() {
    let plan = plan(
        "[run]\nhollow = 12\n[fleet]\nprobe_ms = 1000\n[list]\nrouter = yes\n[events]\na = list 1\nb = primary\nc = configuration\nd = death\n\
         [budgets]\ngateway.bytes_s = 1\ngateway.mb = 4096\nvoter.bytes_s = 1000000000\nlist.last_s = 0\n\
         death.last_s = 60\nrack.last_s = 60\n",
    );
    let outcome = run_plan(&plan);
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
    // Both answers contain the whole list: 20 hosts of about 150 bytes.
    assert!(lengths.iter().all(|length| (2_000..6_000).contains(length)), "{lengths:?}");
    // Each of the other 11 gateways declares the killed one gone once, and no other.
    let rows = &phase(&outcome, "death").rows;
    let losses: Vec<(u64, u64)> = rows
        .iter()
        .map(|row| (row.counts.losses - row.counts.mistaken_losses, row.counts.mistaken_losses))
        .collect();
    assert_eq!(losses.iter().map(|(dead, _)| dead).sum::<u64>(), 11, "{losses:?}");
    assert!(losses.iter().all(|(dead, live)| *dead <= 1 && *live == 0), "{losses:?}");
    // Only datagrams of membership, calls and replies are sent, and each reply follows a call.
    let all = |kind: usize, sent: bool| -> u64 {
        let rows = outcome.phases.iter().flat_map(|phase| &phase.rows);
        rows.map(|row| if sent { row.counts.sent[kind] } else { row.counts.received[kind] }.messages).sum()
    };
    assert!(all(0, true) > 0 && all(1, true) > 0 && all(2, true) > 0);
    // A node replies in the poll in which it receives a call, and counters are read between polls; so this holds for
    // each gateway in each phase.
    for row in outcome.phases.iter().flat_map(|phase| &phase.rows) {
        let (calls, replies) = (row.counts.received[1].messages, row.counts.sent[2].messages);
        assert!(replies <= calls, "{replies} replies to {calls} calls of gateway {}", row.gateway);
    }
    assert_eq!((all(3, true), all(3, false)), (0, 0), "no orders are sent");

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

/// Guards a time budget against counting only the gateways that have acted: one that has not acted breaks it.
#[test]
fn a_gateway_that_has_not_acted_breaks_a_time_budget() {
    let plan = plan("[run]\nhollow = 3\n[budgets]\ndeath.last_s = 60\n");
    let one = |wanted, acted| Phase {
        name: "death".into(),
        length: Duration::from_secs(1),
        busy: 0.0,
        traffic: (0, 0),
        discovery: (0, 0, 0),
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

/// Guards the events that affect several gateways, acceptors among them: the loss and return of a zone, a partition
/// between regions, restarts and a frozen gateway; all gateways converge after each.
#[test]
fn all_gateways_converge_after_losses_partitions_and_restarts() {
    let plan = plan(
        "[run]\nhollow = 12\n[places]\nzones = 4\nregions = 2\n[fleet]\nprobe_ms = 150\nlease_ms = 900\n\
         [events]\na = zone 1 1\nb = apart 1\nc = restarts 3 20\nd = stopped 20\ne = rack 2\n",
    );
    let outcome = run_plan(&plan);
    let converged: Vec<(&str, (usize, usize))> = outcome
        .phases
        .iter()
        .filter(|phase| phase.acted.is_some())
        .map(|phase| (&*phase.name, acted(phase)))
        .collect();
    let wanted = [
        ("join", (12, 12)),
        // Three gateways are in the zone.
        ("zone", (9, 9)),
        ("zone back", (12, 12)),
        ("apart", (12, 12)),
        ("joined", (12, 12)),
        ("restarts", (12, 12)),
        ("stopped", (11, 11)),
        ("goes on", (12, 12)),
    ];
    assert_eq!(converged[..8], wanted);
    let dropped = |name: &str| phase(&outcome, name).rows.iter().map(|row| row.counts.dropped).sum::<u64>();
    assert!(dropped("apart") > 0, "the partition drops datagrams");
    assert_eq!(dropped("zone") + dropped("restarts"), 0, "no datagrams are dropped otherwise");
    assert!(converged[8].0 == "rack" && converged[8].1 .0 == converged[8].1 .1, "{converged:?}");
}

fn loadtest(file: &Path, out: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_loadtest"));
    command.arg("scale").arg(file).arg("--out").arg(out).output().expect("it runs")
}

/// Guards the written files, and that no progress is written if standard error is not a terminal.
#[test]
fn reports_are_written_and_progress_only_to_a_terminal() {
    let folder = Folder::new("written");
    let file =
        folder.file("run.ini", "[run]\nhollow = 3\nquiet_s = 1\n[list]\nhosts = 5\n[events]\na = list 1\n");
    let out = folder.0.join("out");
    let output = loadtest(&file, &out);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success() && stderr.is_empty(), "{stderr}");
    let read = |name: &str| fs::read_to_string(out.join(name)).expect(name);
    assert_eq!(read("gateways.csv").lines().count(), 1 + 3 * 3);
    let events: Vec<String> = read("events.csv").lines().map(str::to_string).collect();
    assert_eq!(events.len(), 3);
    assert!(events[2].starts_with("list,") && events[2].contains(",3,3,"), "{events:?}");
    let plot = read("events.svg");
    assert!(plot.starts_with("<svg") && plot.contains("seconds from the event"));
    assert!(String::from_utf8_lossy(&output.stdout).contains("3 hollow and 0 real gateways"));
}

/// A shell script in place of the program: it writes its process id into a file name and ends with the line `last`.
fn program(folder: &Folder, last: &str) -> PathBuf {
    use std::os::unix::fs::PermissionsExt;
    let id_folder = folder.0.display();
    let path = folder.file("program", &format!("#!/bin/sh\necho $$ > {id_folder}/id-$$\n{last}\n"));
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

/// Guards against processes left behind: all are ended when the run fails and when it is stopped.
#[test]
fn all_processes_are_ended_after_a_failure() {
    let folder = Folder::new("failure");
    let program = program(&folder, "exec sleep 600");
    let silent =
        Plan { join_timeout: Duration::from_secs(2), program, ..plan("[run]\nhollow = 3\nreal = 3\n") };
    let failed = execute(&silent, &AtomicBool::new(false), &mut |_| {}).1.expect_err("it cannot join");
    assert_eq!(failed, "gateway 3 is not listening");
    assert_eq!(ids(&folder).len(), 3);
    assert_all_ended(&ids(&folder));

    let stop = AtomicBool::new(false);
    let patient = Plan { join_timeout: TEST_TIMEOUT, ..silent };
    let failed = std::thread::scope(|scope| {
        let run = scope.spawn(|| execute(&patient, &stop, &mut |_| {}).1);
        let until = Instant::now() + TEST_TIMEOUT;
        while ids(&folder).len() < 6 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        stop.store(true, Ordering::Relaxed);
        run.join().expect("no panic")
    });
    assert_eq!(failed.expect_err("it was stopped"), "interrupted");
    assert_all_ended(&ids(&folder));
}

/// Guards against a run that continues without one of its processes: the run is aborted with an error that names the
/// process, and all others are ended.
#[test]
fn a_process_that_exits_aborts_the_run() {
    let folder = Folder::new("itself");
    let program = program(&folder, "exit 3");
    let plan = Plan { program, ..plan("[run]\nhollow = 1\nreal = 1\n[fleet]\nvoters = 1\n") };
    let failed = execute(&plan, &AtomicBool::new(false), &mut |_| {}).1.expect_err("it ended");
    assert_eq!(failed, "gateway 1 exited unexpectedly");
    assert_all_ended(&ids(&folder));
}

/// Guards against processes left behind by the command when SIGINT interrupts it.
#[test]
fn all_processes_are_ended_when_the_command_is_interrupted() {
    let folder = Folder::new("interrupted");
    let program = program(&folder, "exec sleep 600");
    let text = format!("[run]\nhollow = 3\nreal = 2\nprogram = {}\n", program.display());
    let file = folder.file("run.ini", &text);
    let mut command = Command::new(env!("CARGO_BIN_EXE_loadtest"));
    command.arg("scale").arg(&file).arg("--out").arg(folder.0.join("out"));
    let mut child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("it runs");
    let until = Instant::now() + TEST_TIMEOUT;
    while ids(&folder).len() < 2 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
    }
    kill_process(Pid::from_child(&child), Signal::INT).expect("its own child");
    assert!(!child.wait().expect("it ends").success());
    assert_eq!(ids(&folder).len(), 2);
    assert_all_ended(&ids(&folder));
}

/// Guards against simulated gateways that behave unlike the program: both form one fleet and act on the same events.
#[test]
fn simulated_gateways_and_processes_form_one_fleet() {
    let plan = Plan {
        program: built(),
        ..plan(
            "[run]\nhollow = 3\nreal = 3\n[events]\na = list 2\nb = primary\nc = configuration\nd = death\n",
        )
    };
    let outcome = run_plan(&plan);
    let mut converged: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for phase in outcome.phases.iter().filter(|phase| phase.acted.is_some()) {
        converged.insert(&phase.name, acted(phase));
    }
    let all = (6, 6);
    let wanted = [("configuration", all), ("death", (5, 5)), ("join", all), ("list", all), ("primary", all)];
    assert_eq!(converged, BTreeMap::from(wanted));
    assert_eq!(outcome.started.len(), 3);
    let ids: Vec<i32> = outcome.started.iter().map(|id| *id as i32).collect();
    assert_all_ended(&ids);
}

/// Guards runs without simulated gateways: processes alone converge, and their processor time is measured.
#[test]
fn a_run_of_processes_alone_is_measured() {
    let outcome =
        run_plan(&Plan { program: built(), ..plan("[run]\nhollow = 0\nreal = 3\n[events]\na = list 1\n") });
    assert_eq!(acted(phase(&outcome, "join")), (3, 3));
    assert_eq!(acted(phase(&outcome, "list")), (3, 3));
    let quiet = phase(&outcome, "quiet");
    assert!(quiet.rows.iter().all(|row| row.real && row.counts.fleet_cpu > Duration::ZERO && row.memory > 0));
}

/// The program, as built with the workspace.
fn built() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_loadtest")).with_file_name("dunemount");
    assert!(program.exists(), "{}: build the workspace first", program.display());
    program
}

/// Guards the distribution of versions: each gateway, simulated or a process, receives the newest version and never an
/// older one after it, for the bytes of one document. While a control server is killed, all gateways still receive new
/// versions, and those of its zone return to it afterwards.
#[test]
fn versions_reach_all_gateways_despite_a_killed_control_server() {
    let text =
        "[run]\nhollow = 10\nreal = 2\ncontrol = 3\nhome_s = 1\nsilent_ms = 20000\nseed = 1\n[places]\nzones = 3\nregions = 1\n\
        [events]\na = version\nb = version 4 100\nc = control 1\nd = version\n\
        [budgets]\nversion.last_s = 60\ncontrol.mb = 1\ncontrol.core = 1\n";
    let plan = Plan { program: built(), ..plan(text) };
    let outcome = run_plan(&plan);
    assert_eq!(outcome.rejections, Vec::<String>::new());
    let converged: Vec<(&str, (usize, usize))> = outcome
        .phases
        .iter()
        .filter(|phase| phase.acted.is_some())
        .map(|phase| (&*phase.name, acted(phase)))
        .collect();
    let killed = phase(&outcome, "control");
    assert!(
        killed.control_servers.iter().all(|row| row.server > 0),
        "the killed one is control server 0, whose zone has no processes: {:?}",
        killed.control_servers
    );
    let (at_killed, _) = acted(killed);
    assert!((4..=6).contains(&at_killed), "{at_killed}");
    let wanted = [
        ("join", (12, 12)),
        ("version", (12, 12)),
        ("version", (48, 48)),
        // The gateways of a zone, all of them simulated: processes take 30 s to return. On a machine so busy that a
        // control server is late by 0.5 s, a process may follow the one that is killed.
        ("control", (at_killed, at_killed)),
        ("control back", (4, 4)),
        ("version", (12, 12)),
    ];
    assert_eq!(converged, wanted);
    assert_eq!(outcome.regressions, 0, "no gateway went back to an older version");
    assert_eq!(outcome.in_force, (0..12).map(|gateway| (gateway, 6)).collect());
    let versions = outcome.phases.iter().flat_map(|phase| &phase.versions);
    let numbers: Vec<Option<u64>> = versions.map(|version| version.number).collect();
    assert_eq!(numbers, (1..=6).map(Some).collect::<Vec<_>>());

    // Each gateway receives one document with the rest of its message, and heartbeats of 40 bytes every 150 ms.
    let first = phase(&outcome, "version");
    let spare = 400 + (first.length.as_secs_f64() / 0.15 * 60.0) as u64;
    for row in first.rows.iter().filter(|row| !row.real) {
        let bytes = row.counts.control_received;
        assert!((4_096..4_096 + spare).contains(&bytes), "gateway {}: {bytes} bytes", row.gateway);
        assert!(row.counts.bytes() >= bytes + row.counts.control_sent);
    }
    // A gateway reports the version in force at once and again every second, in little more than a digest.
    for gateway in 0..plan.simulated {
        let rows = outcome.phases.iter().flat_map(|phase| &phase.rows).filter(|row| row.gateway == gateway);
        let sent: u64 = rows.map(|row| row.counts.control_sent).sum();
        let length: f64 = outcome.phases.iter().map(|phase| phase.length.as_secs_f64()).sum();
        assert!((100..2_000 + (length * 60.0) as u64).contains(&sent), "gateway {gateway}: {sent} bytes");
    }
    let quiet = phase(&outcome, "quiet");
    // Each gateway follows the server of its zone; on a busy machine that is certain only of the 10 simulated ones of
    // 12.
    let assert_followers = |phase: &Phase, least: &[usize]| {
        let followers: Vec<usize> = phase.control_servers.iter().map(|row| row.gateways).collect();
        let enough = followers.iter().zip(least).all(|(followers, least)| followers >= least);
        assert!(
            followers.len() == least.len() && enough && followers.iter().sum::<usize>() <= 12,
            "{followers:?}"
        );
    };
    assert_followers(quiet, &[4, 3, 3]);
    let spent = |row: &ControlServerRow| row.cpu > Duration::ZERO && row.memory > 0;
    assert!(quiet.control_servers.iter().all(spent), "{:?}", quiet.control_servers);
    // The next control server of the ring takes over the gateways of the killed one.
    assert_followers(killed, &[7, 3]);
    let back = phase(&outcome, "control back");
    assert_followers(back, &[4, 3, 3]);
    assert!((1..=4).contains(&back.arrivals.expect("counted")), "{:?}", back.arrivals);

    let verdicts = verdicts(&plan, &outcome);
    let of = |budget: &str| -> Vec<&str> {
        verdicts.iter().filter(|verdict| verdict.budget == budget).map(|verdict| verdict.verdict).collect()
    };
    assert_eq!(of("version.last_s"), ["kept", "kept", "kept"]);
    assert_eq!(of("control.mb"), ["broken", "broken"]);
    assert_eq!(of("control.core"), ["kept", "kept"]);

    assert_eq!(outcome.started.len(), 6, "two gateways, three control servers, one of them twice");
    let ids: Vec<i32> = outcome.started.iter().map(|id| *id as i32).collect();
    assert_all_ended(&ids);
}

/// Guards the time budget of a version: a gateway that is frozen breaks it and still receives the newest version later.
/// Also guards the files and the text that are written about versions.
#[test]
fn a_frozen_gateway_breaks_the_time_budget_of_a_version() {
    let text = "[run]\nhollow = 4\ncontrol = 1\ndocument_bytes = 0\n[fleet]\nvoters = 1\n\
        [events]\na = version\nb = behind 1.5\n[budgets]\nversion.last_s = 60\nbehind.last_s = 1\nsilent.last_s = 1\n";
    let plan = Plan { program: built(), ..plan(text) };
    let outcome = run_plan(&plan);
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
    assert_eq!(lines("control.csv").len(), 1 + 4, "one control server in four phases");
    let report_text = report::render_text(&plan, &outcome);
    assert!(report_text.contains("gateways that went back to an older version: 0"), "{report_text}");
}

/// Guards against gateways that stay with a control server that is frozen: they follow another one, as after a kill,
/// and return later.
#[test]
fn gateways_leave_a_frozen_control_server() {
    let text = "[run]\nhollow = 6\ncontrol = 2\nhome_s = 1\nsilent_ms = 4000\n[fleet]\nvoters = 1\n[places]\nzones = 2\n\
        [events]\na = silent 5\n";
    let outcome = run_plan(&Plan { program: built(), ..plan(text) });
    assert_eq!(acted(phase(&outcome, "silent")), (3, 3));
    let silent = phase(&outcome, "silent");
    let followers: Vec<usize> = silent.control_servers.iter().map(|row| row.gateways).collect();
    assert!(followers == [0, 6] || followers == [6, 0], "{followers:?}");
    assert_eq!(acted(phase(&outcome, "silent back")), (3, 3));
}
