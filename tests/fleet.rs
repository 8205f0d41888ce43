//! Tests of a fleet of real processes on loopback: leases pass on when their holder is killed or stopped, and voters
//! return after they have lost their files.

mod harness;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

use harness::process::{new_test_folder, wait_for_end, Faults};
use rustix::process::{kill_process, Pid, Signal};

/// Longest wait for any next log line, also on a busy machine.
const LINE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for an expected log line while other lines are read.
const TEST_TIMEOUT: Duration = Duration::from_secs(300);

struct Fleet {
    directory: PathBuf,
    voters: String,
    processes: Vec<Option<Child>>,
    line_sender: Sender<(usize, String)>,
    lines: Receiver<(usize, String)>,
    /// The processes that acquired the lease under each epoch, by their logs.
    holders: BTreeMap<u64, BTreeSet<usize>>,
    admin_addresses: Vec<SocketAddr>,
    /// The system faults of each process.
    faults: Vec<Faults>,
    passed: bool,
}

impl Fleet {
    fn start_all(count: usize, test: &str) -> Fleet {
        let directory = new_test_folder(test);
        // All sockets stay bound until each process has been given its own ports.
        let sockets: Vec<UdpSocket> =
            (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a free port")).collect();
        let admin_listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let address = |index: usize| sockets[index].local_addr().expect("bound").to_string();
        let members: Vec<String> = (0..count).map(|index| format!("gw-{index}@{}", address(index))).collect();
        let voters = members[..count.min(3)].join(", ");
        for (index, admin) in admin_listeners.iter().enumerate() {
            let file = directory.join(format!("voter-{index}"));
            let ini = format!(
                "[fleet]\nname = {test}\nlisten = {}\nvoters = {voters}\nlease_ms = 900\nprobe_ms = 200\nfile = {}\n",
                address(index),
                file.display()
            );
            std::fs::write(directory.join(format!("{index}.ini")), ini).expect("written");
            let example = include_str!("../examples/config.json");
            let mut config: serde_json::Value = serde_json::from_str(example).expect("JSON");
            config["name"] = format!("gw-{index}").into();
            (config["listen"], config["discovery"]) = ("127.0.0.1:0".into(), "127.0.0.1:1".into());
            config["admin_addr"] = admin.local_addr().expect("bound").to_string().into();
            std::fs::write(directory.join(format!("{index}.json")), config.to_string()).expect("written");
        }
        let (line_sender, lines) = channel();
        let processes = (0..count).map(|_| None).collect();
        let mut fleet = Fleet {
            directory,
            voters,
            processes,
            line_sender,
            lines,
            holders: BTreeMap::new(),
            admin_addresses: Vec::new(),
            faults: Vec::new(),
            passed: false,
        };
        fleet.admin_addresses =
            admin_listeners.iter().map(|listener| listener.local_addr().expect("bound")).collect();
        drop((sockets, admin_listeners));
        fleet.faults =
            (0..count).map(|index| Faults::none(&fleet.directory.join(format!("faults-{index}")))).collect();
        for index in 0..count {
            if index < 3 {
                assert!(fleet.command(index, &["fleet", "found"]).status().expect("it runs").success());
            }
            fleet.start(index);
        }
        fleet
    }

    fn command(&self, index: usize, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunemount"));
        command.args(args).arg("--config").arg(self.directory.join(format!("{index}.json")));
        command.arg("--settings").arg(self.directory.join(format!("{index}.ini")));
        for variable in ["GW_CONFIG", "GW_SETTINGS", "GW_NAME", "GW_LISTEN", "GW_ADMIN_ADDR", "GW_DISCOVERY"]
        {
            command.env_remove(variable);
        }
        command.env_remove("TMPDIR").stdout(Stdio::piped()).stderr(Stdio::null());
        self.faults[index].inject(&mut command);
        command
    }

    fn start(&mut self, index: usize) {
        let mut child = self.command(index, &["serve"]).spawn().expect("it starts");
        let output = child.stdout.take().expect("piped");
        let line_sender = self.line_sender.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let _ = line_sender.send((index, line));
            }
        });
        self.processes[index] = Some(child);
    }

    /// Reads logs up to a matching line. Returns the process that wrote it, and the line.
    fn wait_for_line(&mut self, wanted: impl Fn(usize, &str) -> bool) -> (usize, String) {
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            assert!(Instant::now() < end, "timed out: only other lines were logged");
            let (index, line) = self.lines.recv_timeout(LINE_TIMEOUT).expect("a log line in time");
            if let Some(epoch) = line.contains("fleet: role lease acquired").then(|| epoch(&line)) {
                self.holders.entry(epoch).or_default().insert(index);
            }
            if wanted(index, &line) {
                return (index, line);
            }
        }
    }

    /// Reads logs until each of these has written a line that contains the text.
    fn wait_for_line_of_each(&mut self, processes: &[usize], words: &str) {
        let mut left: BTreeSet<usize> = processes.iter().copied().collect();
        while !left.is_empty() {
            let (index, _) = self.wait_for_line(|index, line| left.contains(&index) && line.contains(words));
            left.remove(&index);
        }
    }

    fn wait_for_acquisition(&mut self, after: u64) -> (usize, u64) {
        let is_acquisition =
            |_, line: &str| line.contains("fleet: role lease acquired") && epoch(line) > after;
        let (index, line) = self.wait_for_line(is_acquisition);
        (index, epoch(&line))
    }

    /// The holder of the lease under the last epoch after this one, and the epoch, by the logs read so far; waits for
    /// an acquisition if there is none.
    fn holder_after(&mut self, after: u64) -> (usize, u64) {
        loop {
            if let Some((epoch, holders)) = self.holders.range(after + 1..).next_back() {
                return (*holders.first().expect("one at least"), *epoch);
            }
            self.wait_for_line(|_, line| line.contains("fleet: role lease acquired"));
        }
    }

    /// The same, but skips acquisitions by a process that was killed, which may still be among the lines to be read.
    fn other_holder_after(&mut self, killed: usize, after: u64) -> (usize, u64) {
        let (mut holder, mut epoch) = self.holder_after(after);
        while holder == killed {
            (holder, epoch) = self.holder_after(epoch);
        }
        (holder, epoch)
    }

    fn signal(&self, index: usize, signal: Signal) {
        let child = self.processes[index].as_ref().expect("a running process");
        kill_process(Pid::from_child(child), signal).expect("the signal is sent");
    }

    /// The output of `fleet status` for a gateway.
    fn status(&self, index: usize, json: bool) -> String {
        let admin = self.admin_addresses[index].to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunemount"));
        command.args(["fleet", "status", "--admin", &admin]).args(json.then_some("--json"));
        String::from_utf8(command.output().expect("it runs").stdout).expect("text")
    }

    /// Waits until the status of a gateway, as JSON, contains a text.
    fn wait_for_status(&self, index: usize, text: &str) {
        let end = Instant::now() + TEST_TIMEOUT;
        while !self.status(index, true).contains(text) {
            assert!(Instant::now() < end, "timed out: {text} is not in the status of {index}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until all gateways have read their voters' files and vote.
    fn wait_until_all_vote(&self) {
        (0..self.processes.len()).for_each(|index| self.wait_for_status(index, "\"voting\": true"));
    }

    /// Waits until a process has ended by itself because of `cause`. After a timeout, prints the log lines that no test
    /// has read yet.
    fn wait_for_end(&mut self, index: usize, cause: &str) -> ExitStatus {
        let child = self.processes[index].as_mut().expect("a running process");
        let Some(status) = wait_for_end(child) else {
            self.lines.try_iter().for_each(|(index, line)| eprintln!("{index}: {line}"));
            panic!("timed out waiting for the end of process {index}: {cause}");
        };
        self.processes[index] = None;
        status
    }

    fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.processes[index].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn end(mut self) {
        for (epoch, holders) in &self.holders {
            assert_eq!(holders.len(), 1, "epoch {epoch} was acquired by {holders:?}");
        }
        self.passed = true;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.processes.len()).for_each(|index| self.kill(index));
        if self.passed {
            let _ = std::fs::remove_dir_all(&self.directory);
        } else {
            eprintln!("voters: {}; logs and settings in {}", self.voters, self.directory.display());
        }
    }
}

fn epoch(line: &str) -> u64 {
    let text = line.split("epoch: ").nth(1).expect("an epoch");
    text.split(|c: char| !c.is_ascii_digit()).next().and_then(|text| text.parse().ok()).expect("a number")
}

/// Guards a lease whose holder is killed: one of the others acquires it under a later epoch, and the killed process
/// returns as a member and acquires no epoch twice.
#[test]
fn a_lease_passes_on_when_its_holder_is_killed() {
    let mut fleet = Fleet::start_all(3, "killed");
    let (mut holder, mut last_epoch) = fleet.wait_for_acquisition(0);
    for _ in 0..4 {
        fleet.kill(holder);
        let (next, epoch) = fleet.wait_for_acquisition(last_epoch);
        assert_ne!(next, holder);
        let restarted = holder;
        fleet.start(restarted);
        fleet.wait_for_line(|index, line| index == restarted && line.contains("fleet: member up"));
        (holder, last_epoch) = (next, epoch);
    }
    fleet.end();
}

/// Guards a lease whose holder is stopped: another process acquires it meanwhile, and the former holder detects the
/// loss once it continues.
#[test]
fn a_holder_that_was_stopped_loses_its_lease() {
    let mut fleet = Fleet::start_all(4, "stopped");
    let (holder, epoch) = fleet.wait_for_acquisition(0);
    fleet.signal(holder, Signal::STOP);
    let (next, _) = fleet.wait_for_acquisition(epoch);
    assert_ne!(next, holder);
    fleet.signal(holder, Signal::CONT);
    fleet.wait_for_line(|index, line| index == holder && line.contains("fleet: role lease ended"));
    fleet.end();
}

/// Guards voters: one that has lost its file is admitted by the others, and after all were killed at once they continue
/// under later epochs.
#[test]
fn voters_return_without_their_file_and_after_all_were_killed() {
    let mut fleet = Fleet::start_all(3, "voters");
    let (_, epoch) = fleet.wait_for_acquisition(0);
    fleet.kill(1);
    std::fs::remove_file(fleet.directory.join("voter-1")).expect("the file exists");
    fleet.start(1);
    fleet.wait_for_line(|index, line| index == 1 && line.contains("fleet: the voter has been admitted"));
    (0..3).for_each(|index| fleet.kill(index));
    (0..3).for_each(|index| fleet.start(index));
    let (_, later) = fleet.wait_for_acquisition(epoch);
    assert!(later > epoch);
    fleet.end();
}

/// Guards a graceful shutdown: the lease is released, so that the others need not wait for it to expire, and the
/// program ends.
#[test]
fn a_graceful_shutdown_releases_the_lease() {
    let mut fleet = Fleet::start_all(3, "leaves");
    let (mut holder, mut held) = fleet.wait_for_acquisition(0);
    let released_epoch = loop {
        fleet.signal(holder, Signal::TERM);
        let has_ended = |line: &str| line.contains("why: GivenBack") || line.contains("fleet: left");
        let (_, line) = fleet.wait_for_line(|index, line| index == holder && has_ended(line));
        if line.contains("why: GivenBack") {
            break epoch(&line);
        }
        // On a busy machine the lease expired before the signal was handled, and there was none to release.
        fleet.kill(holder);
        fleet.start(holder);
        (holder, held) = fleet.holder_after(held);
    };
    fleet.holder_after(released_epoch);
    assert!(fleet.wait_for_end(holder, "a graceful shutdown").success());
    fleet.end();
}

/// Guards the operators' view: the admin interface shows members, voters and the lease's holder, and the command prints
/// them.
#[test]
fn the_status_shows_members_voters_and_the_holder() {
    let mut fleet = Fleet::start_all(3, "status");
    let (holder, epoch) = fleet.wait_for_acquisition(0);
    // The status is updated at intervals: it may show members later than the log does.
    let status = loop {
        let status: serde_json::Value = serde_json::from_str(&fleet.status(holder, true)).unwrap_or_default();
        if status["members"].as_array().is_some_and(|members| members.len() == 2)
            && status["roles"][0]["held"] == true
        {
            break status;
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    assert_eq!(status["roles"][0]["owner"], format!("gw-{holder}"));
    assert_eq!(status["roles"][0]["epoch"], epoch);
    assert_eq!(status["voting"], true);
    let table = fleet.status(holder, false);
    for word in ["fleet status", "gw-0", "gw-1", "gw-2", "survey/1", "(here)", "votes"] {
        assert!(table.contains(word), "{word} in {table}");
    }
    fleet.end();
}

/// Guards voters whose directory fails for a while, at each of the system calls that store: no voter stops for good.
/// The lease passes on once the directory works again; until then no process acquires it, and log and status show the
/// reason.
#[test]
fn voters_continue_after_their_directory_has_failed_for_a_while() {
    for fault in ["open 28 1 voter", "write 28 1 voter", "fsync 5 1 voter", "rename 5 1 voter", "fsync 5 2"] {
        let mut fleet = Fleet::start_all(3, "folder");
        let (holder, epoch) = fleet.wait_for_acquisition(0);
        // The two others elect the holder without one that is still starting: its file could not be read then.
        fleet.wait_until_all_vote();
        fleet.faults.iter().for_each(|faults| faults.set(fault));
        let others: Vec<usize> = (0..3).filter(|index| *index != holder).collect();
        fleet.wait_for_line_of_each(&others, "cannot store");
        fleet.wait_for_status(others[0], "\"unstored\": \"");
        let status = fleet.status(others[0], false);
        assert!(status.contains("cannot store"), "{fault}: {status}");
        fleet.kill(holder);
        fleet.faults.iter().for_each(|faults| faults.set(""));
        fleet.wait_for_line_of_each(&others, "stores again");
        fleet.other_holder_after(holder, epoch);
        fleet.end();
    }
}

/// Guards voters whose directory fails at some of the system calls all the time: leases still pass on.
#[test]
fn a_directory_with_intermittent_failures_blocks_no_lease() {
    let mut fleet = Fleet::start_all(3, "now-and-then");
    fleet.faults.iter().for_each(|faults| faults.set("fsync 5 7\nwrite 28 11 voter\n"));
    let (mut holder, mut last_epoch) = fleet.wait_for_acquisition(0);
    for _ in 0..3 {
        fleet.kill(holder);
        let next = fleet.other_holder_after(holder, last_epoch);
        fleet.start(holder);
        (holder, last_epoch) = next;
    }
    fleet.end();
}

/// Guards promises in a file that cannot be read at the start: the voter is not treated as one that has lost its file,
/// and votes once the file can be read.
#[test]
fn a_file_that_cannot_be_read_for_a_while_is_not_treated_as_missing() {
    for fault in ["open 5 1 voter-1", "open 24 1 voter-1"] {
        let mut fleet = Fleet::start_all(3, "unread");
        let (_, epoch) = fleet.wait_for_acquisition(0);
        fleet.kill(1);
        fleet.faults[1].set(fault);
        fleet.start(1);
        fleet.wait_for_line(|index, line| {
            assert!(!line.contains("cannot be used"), "{line}");
            index == 1 && line.contains("cannot be read yet")
        });
        fleet.faults[1].set("");
        fleet.wait_for_line(|index, line| {
            assert!(!(index == 1 && line.contains("admitted")), "{line}");
            index == 1 && line.contains("the voter's file has been read")
        });
        // With only one of the others left, its vote is needed.
        let (holder, last_epoch) = fleet.holder_after(epoch - 1);
        let killed = if holder == 1 { 0 } else { holder };
        fleet.kill(killed);
        if holder != 1 {
            fleet.wait_for_acquisition(last_epoch);
        }
        fleet.end();
    }
}

/// Guards promises against a kill between any two steps of storing them, or in the middle of a write: the voter
/// continues from a complete file, and no epoch has two holders.
#[test]
fn a_voter_that_is_killed_while_it_stores_continues_from_a_complete_file() {
    for fault in [
        "open kill 3 voter",
        "write half 2 voter",
        "fsync kill 2 voter",
        "rename kill 2 voter",
        "fsync kill 3",
    ] {
        let mut fleet = Fleet::start_all(3, "stores");
        let (mut holder, mut last_epoch) = fleet.wait_for_acquisition(0);
        for _ in 0..2 {
            // The process is killed while the holder stores the renewal of its lease.
            fleet.faults[holder].set(fault);
            assert!(!fleet.wait_for_end(holder, fault).success(), "{fault}");
            fleet.faults[holder].set("");
            let (_, epoch) = fleet.other_holder_after(holder, last_epoch);
            fleet.start(holder);
            let restarted = holder;
            fleet.wait_for_line(|index, line| {
                assert!(!line.contains("cannot be used"), "{fault}: {line}");
                index == restarted && line.contains("fleet: member up")
            });
            // On a busy machine the lease may have passed on once more meanwhile.
            (holder, last_epoch) = fleet.holder_after(epoch - 1);
        }
        fleet.end();
    }
}
