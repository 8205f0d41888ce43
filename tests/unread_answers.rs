//! What a host tells in an answer that nobody waits for any more, with the gateway as a separate process: a primary that
//! has handed over its role says so in an answer that is under way as its attempt ends. 0.45 s later a bounded read must
//! not be served from its old data.
//!
//! The answer is under way in the worst moment: the host writes it when the end of the gateway's sending arrives, or, for
//! an end that the test brings about itself, just before, and then it travels for 0.78 ms.

mod harness;

use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use harness::former_primary::{Behavior, Group};
use harness::process::{Process, ProcessOptions};
use harness::scripted::{accept_discovery_call, cancel, connect_with_key};
use harness::{
    answer_discovery, bind_loopback, listing, metric, next_request_id, set_host_state, settings,
    ClientConnection,
};
use rustix::process::Signal;
use serde_json::json;

/// Staleness bound of bounded reads.
const BOUND_MS: f64 = 200.0;
/// Age of the old primary's data when the first read comes: older than the bound.
const BEFORE_FIRST_READ: Duration = Duration::from_millis(300);
/// Time between the first answer and the next bounded read.
const BEFORE_NEXT_READ: Duration = Duration::from_millis(450);
/// How long that read's client waits, in milliseconds: long enough for it to be queued.
const NEXT_READ_WAIT_MS: u32 = 5_000;
/// Longer than a statement takes to its host.
const ARRIVAL: Duration = Duration::from_millis(50);
/// Longer than a host stays ejected after its first failures.
const AFTER_EJECTION_MS: u32 = 4_000;
/// Number of clients that leave at once: more than answers are read of one host.
const ABANDONED: usize = 10;

/// What differs between the runs.
#[derive(Clone, Copy)]
struct Run {
    name: &'static str,
    cores: usize,
    /// The gateway may check the health of hosts.
    has_health_checks: bool,
    /// The old primary's reports are from before its hand-over.
    has_old_reports: bool,
    /// The old primary's behaviour from its hand-over on.
    behavior: Behavior,
    /// Deadline of bounded reads, and their time limit for one attempt follows from it.
    deadline_ms: f64,
}

impl Run {
    fn new(name: &'static str) -> Run {
        Run {
            name,
            cores: 1,
            has_health_checks: false,
            has_old_reports: false,
            behavior: Behavior::Prompt,
            deadline_ms: 10_000.0,
        }
    }
}

/// A gateway in front of a group.
struct Play {
    group: Group,
    options: ProcessOptions,
    process: Process,
    discovery: TcpListener,
}

impl Play {
    /// Starts the gateway and sends requests until it knows the log's time. Then the primary hands over its role, and its
    /// data become too old.
    fn start(run: Run) -> Play {
        let play = Play::start_with_primary(run);
        play.group.set_behavior(run.behavior);
        play.group.state.lock().expect("whole").has_old_reports = run.has_old_reports;
        play.hand_over();
        play
    }

    /// Has the primary hand over its role, and waits until its data are too old.
    fn hand_over(&self) {
        self.group.hand_over();
        std::thread::sleep(BEFORE_FIRST_READ);
    }

    /// Starts the gateway and sends requests until it knows the log's time. The primary keeps its role.
    fn start_with_primary(run: Run) -> Play {
        let (group, discovery) = (Group::start(), bind_loopback());
        let mut settings = settings();
        settings["Specifics"]["NeedsByClass"] = json!(["recent", "update", "latest", "update"]);
        settings["Specifics"]["LagAllowedMs"] = json!([BOUND_MS, 0.0, 0.0, 0.0]);
        settings["Permissions"]["Probing"] = json!(run.has_health_checks);
        settings["Clients"] = json!({ "MarksRetry": true });
        for class in [0, 2] {
            settings["Classes"][class]["AimMs"] = json!(run.deadline_ms);
            settings["Classes"][class]["DeadlineMs"] = json!(run.deadline_ms);
        }
        settings["Classes"][3] = json!({"Name": "once", "AimMs": 200.0, "DeadlineMs": 10_000.0, "Value": 2.0,
            "Effect": "idempotency_key", "Group": "all", "RepeatWindowMs": 9_000.0});
        let name = format!("unread-{}", run.name);
        let options = ProcessOptions {
            settings,
            cores: run.cores,
            ..ProcessOptions::with_defaults(&name, 300, discovery.local_addr().expect("bound"))
        };
        let process = options.start(&listing(&group.endpoints));
        let play = Play { group, options, process, discovery };
        let mut client = play.process.client();
        for step in 0..12 {
            client.ask(&if step % 4 == 0 { write() } else { bounded_read(10_000) });
            client.answer();
            std::thread::sleep(Duration::from_millis(20));
        }
        client.ask(&bounded_read(10_000));
        assert_eq!(client.answer().len(), 4, "the primary serves bounded reads");
        play
    }

    /// Starts the next process of the gateway beside the present one, and gives the previous one.
    fn start_next_process(&mut self) -> Process {
        let listener = bind_loopback();
        let admin = listener.local_addr().expect("bound");
        drop(listener);
        let next = self.options.spawn_at(self.process.address, admin, &listing(&self.group.endpoints));
        let mut previous = std::mem::replace(&mut self.process, next);
        assert!(self.process.wait_until_listening());
        // Both processes use one folder; the new process removes it.
        previous.folder = PathBuf::new();
        previous
    }

    /// Asserts that a bounded read, some time after the old primary has told its role, is not served: no member has data
    /// that are recent enough.
    fn assert_next_read_is_not_served(&self) {
        if self.group.state.lock().expect("whole").behavior != Behavior::LateReports {
            self.group.set_behavior(Behavior::Prompt);
        }
        std::thread::sleep(BEFORE_NEXT_READ);
        self.assert_not_served(&bounded_read(NEXT_READ_WAIT_MS));
    }

    /// Asserts that a read is not served.
    fn assert_not_served(&self, statement: &str) {
        let mut client = self.process.client();
        client.ask(statement);
        let is_served = is_served(&mut client);
        assert!(!is_served, "served from old data by a host that had told its role\n{}", self.process.log());
    }

    /// Sends a bounded read that arrives at the old primary, which behaves like this from now on.
    fn begin_read(&self, behavior: Behavior) -> ClientConnection {
        self.group.set_behavior(behavior);
        let mut client = self.process.client();
        client.ask(&bounded_read(10_000));
        std::thread::sleep(ARRIVAL);
        client
    }

    /// Abandons a bounded read at the old primary, whose answer is lost and was expected within this time.
    fn lose_an_answer(&self, wait_ms: u32) {
        let behavior = self.group.state.lock().expect("whole").behavior;
        self.group.set_behavior(Behavior::CutOff);
        let mut client = self.process.client();
        client.ask(&bounded_read(wait_ms));
        std::thread::sleep(ARRIVAL);
        drop(client);
        self.group.wait_for_answer();
        self.group.set_behavior(behavior);
    }

    /// Answers the calls to discovery that watch for something newer than this revision with this list.
    fn answer_watch(&self, revision: u64, list: &serde_json::Value) {
        let (mut call, _) = accept_discovery_call_with(&self.discovery, &format!("index={revision}&"));
        answer_discovery(&mut call, list);
    }
}

/// Whether the next answer contains a row; false also where the connection ends.
fn is_served(client: &mut ClientConnection) -> bool {
    client.answer().iter().any(|frame| frame.tag == b'D')
}

fn bounded_read(wait_ms: u32) -> String {
    let id = next_request_id();
    format!("SELECT doc FROM items WHERE id = 'k' /* id={id},c=look,d={wait_ms},cluster=1 */")
}

fn strong_read(wait_ms: u32) -> String {
    bounded_read(wait_ms).replace("c=look", "c=own")
}

fn write() -> String {
    let (id, key) = (next_request_id(), next_request_id());
    format!("INSERT INTO items (id, doc) VALUES ('w', '\\x9f') RETURNING doc /* id={id},c=store,d=10000,k={key},cluster=1 */")
}

/// Guards bounded reads after a client has closed its connection while the answer to it was under way (review/3).
#[test]
fn an_answer_under_way_as_its_client_leaves_is_read() {
    for cores in [1, 2] {
        let play = Play::start(Run { cores, ..Run::new("leaves") });
        play.group.set_behavior(Behavior::UnderWay);
        let mut client = play.process.client();
        client.ask(&bounded_read(10_000));
        play.group.wait_for_answer();
        drop(client);
        play.assert_next_read_is_not_served();
    }
}

/// Guards the same after a client has cancelled its request.
#[test]
fn an_answer_under_way_as_its_client_cancels_is_read() {
    for cores in [1, 2] {
        let play = Play::start(Run { cores, ..Run::new("cancels") });
        play.group.set_behavior(Behavior::AtEndOfSending);
        let (mut client, key) = connect_with_key(play.process.address);
        client.ask(&bounded_read(10_000));
        std::thread::sleep(ARRIVAL);
        cancel(play.process.address, key);
        assert_eq!(client.code(), "57014");
        play.group.wait_for_answer();
        play.assert_next_read_is_not_served();
    }
}

/// Guards the same where the client leaves long before the answer, so that the host sees the end of the sending first.
#[test]
fn an_answer_that_is_written_after_its_client_has_left_is_read() {
    let play = Play::start(Run::new("left"));
    let client = play.begin_read(Behavior::AtEndOfSending);
    drop(client);
    play.group.wait_for_answer();
    play.assert_next_read_is_not_served();
}

/// Guards the same at the deadline of the request, and at the time limit of the attempt before it.
#[test]
fn an_answer_under_way_as_its_time_is_over_is_read() {
    for statement in [bounded_read(300), strong_read(300)] {
        let play = Play::start(Run { deadline_ms: 300.0, ..Run::new("time") });
        play.group.set_behavior(Behavior::AtEndOfSending);
        let mut client = play.process.client();
        client.ask(&statement);
        play.group.wait_for_answer();
        play.assert_next_read_is_not_served();
    }
}

/// Guards the same where the answer cannot be read: the connection breaks as the attempt ends. The old primary is not
/// relied on until it has stated its role again.
#[test]
fn a_primary_whose_answer_was_lost_is_not_relied_on() {
    let play = Play::start(Run::new("cut"));
    let client = play.begin_read(Behavior::CutOff);
    drop(client);
    play.group.wait_for_answer();
    play.assert_next_read_is_not_served();
}

/// Guards the same where more answers are abandoned than are read: none of them may be forgotten.
#[test]
fn many_clients_that_leave_at_once_hide_no_answer() {
    let play = Play::start(Run::new("many"));
    play.group.set_behavior(Behavior::AtEndOfSending);
    let mut clients: Vec<ClientConnection> = (0..ABANDONED).map(|_| play.process.client()).collect();
    clients.iter_mut().for_each(|client| client.ask(&strong_read(10_000)));
    std::thread::sleep(2 * ARRIVAL);
    drop(clients);
    play.group.wait_for_answer();
    play.assert_next_read_is_not_served();
}

/// Guards the same for health checks that time out: what a late report tells counts.
#[test]
fn a_report_under_way_as_its_health_check_times_out_is_read() {
    let behavior = Behavior::LateReports;
    let play = Play::start(Run { has_health_checks: true, behavior, ..Run::new("check") });
    play.group.wait_for_answer();
    play.assert_next_read_is_not_served();
}

/// Guards the same for a streamed answer whose end is not read, since its client reads nothing.
#[test]
fn a_primary_whose_answer_is_not_read_for_a_slow_client_is_not_relied_on() {
    for cores in [1, 2] {
        let play = Play::start(Run { cores, ..Run::new("slow") });
        play.group.set_behavior(Behavior::LongValue);
        let mut client = play.process.client();
        client.ask(&bounded_read(10_000));
        play.group.wait_for_answer();
        play.assert_next_read_is_not_served();
        drop(client);
    }
}

/// Guards the same for a write that may be sent again, and whose answer tells that the host is no primary.
#[test]
fn a_write_under_way_as_its_time_is_over_is_not_forgotten() {
    let play = Play::start(Run::new("further"));
    play.group.set_behavior(Behavior::AtEndOfSending);
    let mut client = play.process.client();
    client.ask(&write().replace("c=store", "c=once"));
    play.group.wait_for_answer();
    drop(client);
    play.assert_next_read_is_not_served();
}

/// Guards the same where the host drains while its answer is under way, and returns.
#[test]
fn an_answer_under_way_from_a_draining_host_is_read() {
    assert_known_after_return("drains", |list| list["targets"][0]["state"] = json!("Terminating"));
}

/// Guards the same where the host is no longer listed while its answer is under way, and returns.
#[test]
fn an_answer_under_way_from_a_removed_host_is_read() {
    assert_known_after_return("removed", |list| {
        list["targets"].as_array_mut().expect("targets").remove(0);
    });
}

/// Asserts that an answer is read which is under way while the list takes the old primary out of service, and that what
/// it tells is known once the host is listed again.
fn assert_known_after_return(name: &'static str, take_out: impl Fn(&mut serde_json::Value)) {
    let play = Play::start(Run::new(name));
    let client = play.begin_read(Behavior::AtEndOfSending);
    let mut list = listing(&play.group.endpoints);
    list["rev"] = json!(5);
    let mut without = list.clone();
    take_out(&mut without);
    play.answer_watch(4, &without);
    accept_discovery_call_with(&play.discovery, "index=5&");
    client.socket.shutdown(Shutdown::Both).expect("a socket");
    play.group.wait_for_answer();
    list["rev"] = json!(6);
    play.answer_watch(5, &list);
    play.assert_next_read_is_not_served();
}

/// Guards the same where an operator puts the host down while its answer is under way, and up again.
#[test]
fn an_answer_under_way_from_a_host_that_is_put_down_is_read() {
    let play = Play::start(Run::new("down"));
    let client = play.begin_read(Behavior::AtEndOfSending);
    assert!(set_host_state(play.process.admin, "down", "s-0"));
    drop(client);
    play.group.wait_for_answer();
    assert!(set_host_state(play.process.admin, "up", "s-0"));
    play.assert_next_read_is_not_served();
}

/// Guards the same where the host is ejected while its answer is under way, since it accepts no sessions.
#[test]
fn an_answer_under_way_from_an_ejected_host_is_read() {
    let play = Play::start(Run::new("ejected"));
    let leaving = play.begin_read(Behavior::NoSessions);
    let mut failing = play.process.client();
    while metric(play.process.admin, "pool_ejected") == 0 {
        failing.ask(&bounded_read(400));
        assert!(!is_served(&mut failing));
    }
    drop(leaving);
    play.group.wait_for_answer();
    play.group.set_behavior(Behavior::Prompt);
    std::thread::sleep(BEFORE_NEXT_READ);
    play.assert_not_served(&bounded_read(AFTER_EJECTION_MS));
}

/// Guards the same where the connection breaks while the client waits, so that another attempt may follow.
#[test]
fn an_attempt_after_a_lost_answer_does_not_rely_on_the_old_primary() {
    let play = Play::start(Run::new("attempt"));
    play.group.set_behavior(Behavior::Reset);
    let mut client = play.process.client();
    client.ask(&bounded_read(400));
    play.group.wait_for_answer();
    assert!(!is_served(&mut client), "{}", play.process.log());
    play.assert_next_read_is_not_served();
}

/// Guards the same against a report that is older than the answer that was lost.
#[test]
fn a_report_from_before_the_lost_answer_confirms_nothing() {
    let play = Play::start(Run { has_health_checks: true, has_old_reports: true, ..Run::new("report") });
    play.lose_an_answer(200);
    play.assert_next_read_is_not_served();
}

/// Guards bounded reads at the next process of a hot restart after the previous one has read what the host tells.
#[test]
fn what_the_previous_process_reads_is_known_to_the_next_one() {
    for cores in [1, 2] {
        let mut play = Play::start(Run { cores, ..Run::new("restart") });
        let mut client = play.begin_read(Behavior::Held);
        let _previous = play.start_next_process();
        play.group.set_behavior(Behavior::Prompt);
        assert_eq!(client.answer().len(), 4, "served by the previous process");
        play.assert_next_read_is_not_served();
    }
}

/// Guards the same where the previous process is killed and the answer to it is lost.
#[test]
fn what_a_killed_process_has_left_unread_is_not_relied_on() {
    for cores in [1, 2] {
        let mut play = Play::start(Run { cores, ..Run::new("killed") });
        let _client = play.begin_read(Behavior::Held);
        let mut previous = play.start_next_process();
        previous.signal(Signal::STOP);
        play.group.set_behavior(Behavior::Prompt);
        play.group.wait_for_answer();
        previous.signal(Signal::KILL);
        previous.child.wait().expect("its own child");
        play.assert_next_read_is_not_served();
    }
}

/// Guards the same where the host writes its answer after the process has been killed, and has stated its old role to the
/// next process in between.
#[test]
fn what_a_host_writes_to_a_killed_process_is_not_forgotten() {
    let mut play = Play::start_with_primary(Run::new("late"));
    let _client = play.begin_read(Behavior::HeldUntilHandOver);
    let mut previous = play.start_next_process();
    play.group.set_behavior(Behavior::Prompt);
    previous.signal(Signal::KILL);
    previous.child.wait().expect("its own child");
    let mut other = play.process.client();
    other.ask(&strong_read(10_000));
    assert!(is_served(&mut other), "by the primary");
    play.hand_over();
    play.assert_next_read_is_not_served();
}

/// Guards the same against an answer whose position is impossible: the role beside it is not believed either.
#[test]
fn a_corrupt_answer_confirms_nothing() {
    let play = Play::start(Run::new("corrupt"));
    play.lose_an_answer(200);
    std::thread::sleep(BEFORE_FIRST_READ);
    play.group.set_behavior(Behavior::Corrupt);
    let mut client = play.process.client();
    client.ask(&write());
    client.answer();
    play.assert_next_read_is_not_served();
}

/// Guards the same where what the previous process hears reaches the next one too late: it is stopped, with the answer
/// in its socket.
#[test]
fn what_a_stopped_process_has_not_passed_on_is_not_relied_on() {
    for cores in [1, 2] {
        let mut play = Play::start(Run { cores, ..Run::new("stopped") });
        let _client = play.begin_read(Behavior::Held);
        let previous = play.start_next_process();
        previous.signal(Signal::STOP);
        play.group.set_behavior(Behavior::Prompt);
        play.group.wait_for_answer();
        play.assert_next_read_is_not_served();
        previous.signal(Signal::CONT);
    }
}

/// Guards the same where the previous process ends in good order before the host answers.
#[test]
fn what_an_ended_process_has_left_unread_is_not_relied_on() {
    let mut play = Play::start(Run::new("ended"));
    let _client = play.begin_read(Behavior::Held);
    let mut previous = play.start_next_process();
    previous.signal(Signal::TERM);
    previous.child.wait().expect("its own child");
    play.group.set_behavior(Behavior::Prompt);
    play.group.wait_for_answer();
    play.assert_next_read_is_not_served();
}

/// Guards availability: after a lost answer the primary is relied on again once it has stated its role, in the answer to a
/// health check that a read causes or, where there are none, to a write.
#[test]
fn a_primary_that_states_its_role_again_serves_reads() {
    for has_health_checks in [false, true] {
        let play = Play::start(Run { has_health_checks, ..Run::new("again") });
        play.group.set_behavior(Behavior::CutOff);
        let mut leaving = play.process.client();
        leaving.ask(&bounded_read(10_000));
        play.group.wait_for_answer();
        drop(leaving);
        play.group.state.lock().expect("whole").handed_over = None;
        play.group.set_behavior(Behavior::Prompt);
        let mut client = play.process.client();
        if !has_health_checks {
            client.ask(&write());
            client.answer();
        }
        client.ask(&bounded_read(10_000));
        assert_eq!(client.answer().len(), 4, "{}", play.process.log());
    }
}

/// Accepts calls to discovery up to one whose text contains this, and gives its socket and text.
fn accept_discovery_call_with(discovery: &TcpListener, wanted: &str) -> (TcpStream, String) {
    loop {
        let (socket, text) = accept_discovery_call(discovery);
        if text.contains(wanted) {
            return (socket, text);
        }
    }
}

/// Guards availability where there are neither health checks nor writes: the answer to a read confirms the role of the
/// primary, after a lost answer and after the end of the previous process of a hot restart.
#[test]
fn a_read_confirms_the_primary_where_there_are_no_health_checks() {
    assert_read_confirms("confirms", Behavior::Prompt);
}

/// Guards the same where the values are streamed: the answer that confirms the role is not served itself, but the read is
/// sent again.
#[test]
fn a_read_of_a_long_value_confirms_the_primary() {
    assert_read_confirms("confirms-long", Behavior::LongValue);
}

/// Asserts that strong reads are served by the primary once its role is not relied on any more.
fn assert_read_confirms(name: &'static str, behavior: Behavior) {
    for is_restarted in [false, true] {
        let mut play = Play::start(Run::new(name));
        if is_restarted {
            let mut previous = play.start_next_process();
            previous.signal(Signal::TERM);
            previous.child.wait().expect("its own child");
        } else {
            play.lose_an_answer(10_000);
        }
        play.group.state.lock().expect("whole").handed_over = None;
        play.group.set_behavior(behavior);
        let mut client = play.process.client();
        for read in 0..3 {
            client.ask(&strong_read(10_000));
            assert!(is_served(&mut client), "{is_restarted}, {read}: {}", play.process.log());
            std::thread::sleep(BEFORE_NEXT_READ);
        }
    }
}

/// Guards bounded reads whose answer was to confirm the role of the primary: where it does not, nobody is served from it,
/// whether it is short or would be streamed.
#[test]
fn nobody_is_served_from_an_answer_that_confirms_no_role() {
    for behavior in [Behavior::Prompt, Behavior::LongValue] {
        let play = Play::start(Run::new("confirms-not"));
        play.lose_an_answer(10_000);
        play.group.set_behavior(behavior);
        std::thread::sleep(BEFORE_NEXT_READ);
        let mut client = play.process.client();
        client.ask(&bounded_read(400));
        assert_eq!(client.code(), "53300", "{behavior:?}");
    }
}
