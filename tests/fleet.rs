//! A fleet of real processes on loopback: roles pass on when their owner is killed or stopped, and voters come back.

mod harness;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

use harness::process::Faults;
use rustix::process::{kill_process, Pid, Signal};

/// However busy the machine, what is waited for comes within this.
const LONG: Duration = Duration::from_secs(60);
/// And a test that waits for a line while others come ends at all.
const LONGEST: Duration = Duration::from_secs(300);

struct Fleet {
    folder: PathBuf,
    voters: String,
    processes: Vec<Option<Child>>,
    said: Sender<(usize, String)>,
    heard: Receiver<(usize, String)>,
    /// Who took the role under each epoch, by the logs.
    owners: BTreeMap<u64, BTreeSet<usize>>,
    doors: Vec<SocketAddr>,
    /// What the system does to each process.
    faults: Vec<Faults>,
    ended: bool,
}

impl Fleet {
    fn of(count: usize, test: &str) -> Fleet {
        let folder = std::env::temp_dir().join(format!("dunemount-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        // All are held until each has its own.
        let sockets: Vec<UdpSocket> =
            (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a free port")).collect();
        let doors: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let address = |index: usize| sockets[index].local_addr().expect("bound").to_string();
        let places: Vec<String> = (0..count).map(|index| format!("gw-{index}@{}", address(index))).collect();
        let voters = places[..count.min(3)].join(", ");
        for (index, door) in doors.iter().enumerate() {
            let file = folder.join(format!("voter-{index}"));
            let ini = format!(
                "[fleet]\nname = {test}\nlisten = {}\nvoters = {voters}\nlease_ms = 900\nprobe_ms = 200\nfile = {}\n",
                address(index),
                file.display()
            );
            std::fs::write(folder.join(format!("{index}.ini")), ini).expect("written");
            let example = include_str!("../examples/config.json");
            let mut config: serde_json::Value = serde_json::from_str(example).expect("JSON");
            config["name"] = format!("gw-{index}").into();
            (config["listen"], config["discovery"]) = ("127.0.0.1:0".into(), "127.0.0.1:1".into());
            config["admin_addr"] = door.local_addr().expect("bound").to_string().into();
            std::fs::write(folder.join(format!("{index}.json")), config.to_string()).expect("written");
        }
        let (said, heard) = channel();
        let processes = (0..count).map(|_| None).collect();
        let mut fleet = Fleet {
            folder,
            voters,
            processes,
            said,
            heard,
            owners: BTreeMap::new(),
            doors: Vec::new(),
            faults: Vec::new(),
            ended: false,
        };
        fleet.doors = doors.iter().map(|door| door.local_addr().expect("bound")).collect();
        drop((sockets, doors));
        fleet.faults =
            (0..count).map(|index| Faults::none_yet(&fleet.folder.join(format!("faults-{index}")))).collect();
        for index in 0..count {
            if index < 3 {
                assert!(fleet.command(index, &["fleet", "found"]).status().expect("it runs").success());
            }
            fleet.start(index);
        }
        fleet
    }

    fn command(&self, index: usize, what: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunemount"));
        command.args(what).arg("--config").arg(self.folder.join(format!("{index}.json")));
        command.arg("--settings").arg(self.folder.join(format!("{index}.ini")));
        for variable in ["GW_CONFIG", "GW_SETTINGS", "GW_NAME", "GW_LISTEN", "GW_ADMIN_ADDR", "GW_DISCOVERY"]
        {
            command.env_remove(variable);
        }
        command.env_remove("TMPDIR").stdout(Stdio::piped()).stderr(Stdio::null());
        self.faults[index].meet(&mut command);
        command
    }

    fn start(&mut self, index: usize) {
        let mut child = self.command(index, &["serve"]).spawn().expect("it starts");
        let output = child.stdout.take().expect("piped");
        let said = self.said.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let _ = said.send((index, line));
            }
        });
        self.processes[index] = Some(child);
    }

    /// Reads logs up to a line with these words; who wrote it, and the line.
    fn until(&mut self, wanted: impl Fn(usize, &str) -> bool) -> (usize, String) {
        let end = Instant::now() + LONGEST;
        loop {
            assert!(Instant::now() < end, "other lines come, and not the one that is waited for");
            let (index, line) = self.heard.recv_timeout(LONG).expect("a line that was waited for");
            if let Some(epoch) = line.contains("fleet: role taken").then(|| epoch(&line)) {
                self.owners.entry(epoch).or_default().insert(index);
            }
            if wanted(index, &line) {
                return (index, line);
            }
        }
    }

    /// Reads logs until each of these has written a line with these words.
    fn until_all(&mut self, who: &[usize], words: &str) {
        let mut left: BTreeSet<usize> = who.iter().copied().collect();
        while !left.is_empty() {
            let (index, _) = self.until(|index, line| left.contains(&index) && line.contains(words));
            left.remove(&index);
        }
    }

    fn taken(&mut self, after: u64) -> (usize, u64) {
        let taken = |_, line: &str| line.contains("fleet: role taken") && epoch(line) > after;
        let (index, line) = self.until(taken);
        (index, epoch(&line))
    }

    /// Who owns the role under the last epoch behind this one, as far as logs were read; waits for one if there is none.
    fn owner_after(&mut self, after: u64) -> (usize, u64) {
        loop {
            if let Some((epoch, owners)) = self.owners.range(after + 1..).next_back() {
                return (*owners.first().expect("one at least"), *epoch);
            }
            self.until(|_, line| line.contains("fleet: role taken"));
        }
    }

    /// The same, somebody else than the one that is gone: what it took before is read first.
    fn other_owner_after(&mut self, gone: usize, after: u64) -> (usize, u64) {
        let (mut owner, mut epoch) = self.owner_after(after);
        while owner == gone {
            (owner, epoch) = self.owner_after(epoch);
        }
        (owner, epoch)
    }

    fn signal(&self, index: usize, signal: Signal) {
        let child = self.processes[index].as_ref().expect("there");
        kill_process(Pid::from_child(child), signal).expect("its own child");
    }

    /// What the command tells of a gateway.
    fn status(&self, index: usize, json: bool) -> String {
        let door = self.doors[index].to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunemount"));
        command.args(["fleet", "status", "--admin", &door]).args(json.then_some("--json"));
        String::from_utf8(command.output().expect("it runs").stdout).expect("text")
    }

    fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.processes[index].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn end(mut self) {
        for (epoch, owners) in &self.owners {
            assert_eq!(owners.len(), 1, "epoch {epoch} was taken by {owners:?}");
        }
        self.ended = true;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.processes.len()).for_each(|index| self.kill(index));
        if self.ended {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("voters: {}; logs and settings in {}", self.voters, self.folder.display());
        }
    }
}

fn epoch(line: &str) -> u64 {
    let text = line.split("epoch: ").nth(1).expect("an epoch");
    text.split(|c: char| !c.is_ascii_digit()).next().and_then(|text| text.parse().ok()).expect("a number")
}

/// Guards a role through the death of its owner: one of the others has it under a later epoch, and the one that was
/// killed comes back as a member and takes no epoch twice.
#[test]
fn a_role_passes_on_when_its_owner_is_killed() {
    let mut fleet = Fleet::of(3, "killed");
    let (mut owner, mut last) = fleet.taken(0);
    for _ in 0..4 {
        fleet.kill(owner);
        let (next, epoch) = fleet.taken(last);
        assert_ne!(next, owner);
        let back = owner;
        fleet.start(back);
        fleet.until(|index, line| index == back && line.contains("fleet: member came"));
        (owner, last) = (next, epoch);
    }
    fleet.end();
}

/// Guards a role through the stop of its owner: somebody else has it meanwhile, and the owner that is woken knows
/// that it has it no more.
#[test]
fn an_owner_that_was_stopped_has_its_role_no_more() {
    let mut fleet = Fleet::of(4, "stopped");
    let (owner, epoch) = fleet.taken(0);
    fleet.signal(owner, Signal::STOP);
    let (next, _) = fleet.taken(epoch);
    assert_ne!(next, owner);
    fleet.signal(owner, Signal::CONT);
    fleet.until(|index, line| index == owner && line.contains("fleet: role ended"));
    fleet.end();
}

/// Guards voters: one that has lost its file is let in by the others; all killed at once go on under later epochs.
#[test]
fn voters_come_back_without_their_file_and_all_at_once() {
    let mut fleet = Fleet::of(3, "voters");
    let (_, epoch) = fleet.taken(0);
    fleet.kill(1);
    std::fs::remove_file(fleet.folder.join("voter-1")).expect("it was there");
    fleet.start(1);
    fleet.until(|index, line| index == 1 && line.contains("fleet: the voter is let in"));
    (0..3).for_each(|index| fleet.kill(index));
    (0..3).for_each(|index| fleet.start(index));
    let (_, later) = fleet.taken(epoch);
    assert!(later > epoch);
    fleet.end();
}

/// Guards a good end: the role is given back, so that nobody waits for a lease, and the program ends by itself.
#[test]
fn who_ends_in_good_order_gives_its_role_back() {
    let mut fleet = Fleet::of(3, "leaves");
    let (mut owner, mut held) = fleet.taken(0);
    let given_back = loop {
        fleet.signal(owner, Signal::TERM);
        let over = |line: &str| line.contains("why: GivenBack") || line.contains("fleet: left");
        let (_, line) = fleet.until(|index, line| index == owner && over(line));
        if line.contains("why: GivenBack") {
            break epoch(&line);
        }
        // On a busy machine the lease ran out before the signal was heard, and there was no role to give back.
        fleet.kill(owner);
        fleet.start(owner);
        (owner, held) = fleet.owner_after(held);
    };
    fleet.owner_after(given_back);
    let mut child = fleet.processes[owner].take().expect("there");
    assert!(child.wait().expect("it ends").success());
    fleet.end();
}

/// Guards the operators' view: the door tells of members, voters and the role's owner, and the command prints it; a
/// gateway in no fleet says so.
#[test]
fn the_status_tells_who_is_there_and_who_owns_what() {
    let mut fleet = Fleet::of(3, "status");
    let (owner, epoch) = fleet.taken(0);
    // Each has heard of the others before its board tells so.
    let told = loop {
        let told: serde_json::Value = serde_json::from_str(&fleet.status(owner, true)).unwrap_or_default();
        if told["members"].as_array().is_some_and(|members| members.len() == 2)
            && told["roles"][0]["held"] == true
        {
            break told;
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    assert_eq!(told["roles"][0]["owner"], format!("gw-{owner}"));
    assert_eq!(told["roles"][0]["epoch"], epoch);
    assert_eq!(told["voting"], true);
    let table = fleet.status(owner, false);
    for word in ["fleet status", "gw-0", "gw-1", "gw-2", "survey/1", "(here)", "votes"] {
        assert!(table.contains(word), "{word} in {table}");
    }
    fleet.end();
}

/// Guards voters whose folder fails for a while, at each of the calls that store: none is silenced for good. A role passes
/// on once the folder takes what they promise; until then nobody takes it, and log and status say why.
#[test]
fn a_folder_that_fails_for_a_while_silences_voters_for_that_while() {
    for fault in ["open 28 1 voter", "write 28 1 voter", "fsync 5 1 voter", "rename 5 1 voter", "fsync 5 2"] {
        let mut fleet = Fleet::of(3, "folder");
        let (owner, epoch) = fleet.taken(0);
        fleet.faults.iter().for_each(|faults| faults.set(fault));
        let others: Vec<usize> = (0..3).filter(|index| *index != owner).collect();
        fleet.until_all(&others, "cannot store");
        let told = loop {
            let told = fleet.status(others[0], true);
            if told.contains("\"unstored\": \"") {
                break fleet.status(others[0], false);
            }
            std::thread::sleep(Duration::from_millis(20));
        };
        assert!(told.contains("cannot store"), "{fault}: {told}");
        fleet.kill(owner);
        fleet.faults.iter().for_each(|faults| faults.set(""));
        fleet.until_all(&others, "stores again");
        fleet.other_owner_after(owner, epoch);
        fleet.end();
    }
}

/// Guards the same where some of the calls fail all the time.
#[test]
fn a_folder_that_fails_now_and_then_holds_no_role_up() {
    let mut fleet = Fleet::of(3, "now-and-then");
    fleet.faults.iter().for_each(|faults| faults.set("fsync 5 7\nwrite 28 11 voter\n"));
    let (mut owner, mut last) = fleet.taken(0);
    for _ in 0..3 {
        fleet.kill(owner);
        let next = fleet.other_owner_after(owner, last);
        fleet.start(owner);
        (owner, last) = next;
    }
    fleet.end();
}

/// Guards promises against a file that cannot be read at a start: its voter is not taken for one that has lost it, and
/// votes once it can be read.
#[test]
fn a_file_that_cannot_be_read_for_a_while_is_not_taken_for_none() {
    for fault in ["open 5 1 voter-1", "open 24 1 voter-1"] {
        let mut fleet = Fleet::of(3, "unread");
        let (_, epoch) = fleet.taken(0);
        fleet.kill(1);
        fleet.faults[1].set(fault);
        fleet.start(1);
        fleet.until(|index, line| {
            assert!(!line.contains("cannot be used"), "{line}");
            index == 1 && line.contains("cannot be read yet")
        });
        fleet.faults[1].set("");
        fleet.until(|index, line| {
            assert!(!(index == 1 && line.contains("let in")), "{line}");
            index == 1 && line.contains("the voter's file is read")
        });
        // With only one of the others left, its vote is needed.
        let (owner, last) = fleet.owner_after(epoch - 1);
        let killed = if owner == 1 { 0 } else { owner };
        fleet.kill(killed);
        if owner != 1 {
            fleet.taken(last);
        }
        fleet.end();
    }
}

/// Guards promises against a kill between any two steps of storing them, half of a write included: the voter goes on from
/// what is whole, and no epoch has two owners.
#[test]
fn a_voter_that_is_killed_while_it_stores_goes_on_from_what_is_whole() {
    for moment in [
        "open kill 3 voter",
        "write half 2 voter",
        "fsync kill 2 voter",
        "rename kill 2 voter",
        "fsync kill 3",
    ] {
        let mut fleet = Fleet::of(3, "stores");
        let (mut owner, mut last) = fleet.taken(0);
        for _ in 0..2 {
            // The owner stores what it renews; the process is gone in the middle of it.
            fleet.faults[owner].set(moment);
            let mut child = fleet.processes[owner].take().expect("there");
            assert!(!child.wait().expect("killed").success(), "{moment}");
            fleet.faults[owner].set("");
            let (_, epoch) = fleet.other_owner_after(owner, last);
            fleet.start(owner);
            let back = owner;
            fleet.until(|index, line| {
                assert!(!line.contains("cannot be used"), "{moment}: {line}");
                index == back && line.contains("fleet: member came")
            });
            // On a busy machine it may have passed on once more meanwhile.
            (owner, last) = fleet.owner_after(epoch - 1);
        }
        fleet.end();
    }
}
