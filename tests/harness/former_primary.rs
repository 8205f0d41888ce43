//! A group of stand-in hosts whose primary hands over its role, and how it answers from then on.

use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dunemount::pg::codec;

use super::next_request_id;
use super::process::POLL_INTERVAL;
use super::scripted::{answer_with, Host, HostConnection};

/// How far the replicas lag, in milliseconds.
const LAG_MS: u64 = 2_000;
/// Time that an answer travels.
const NETWORK: Duration = Duration::from_micros(780);
/// Size of a value whose answer is written whole although its client reads nothing.
const LONG_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// How far an impossible position is ahead of the log, in milliseconds.
const IMPOSSIBLE_LEAD_MS: u64 = 3_600_000;
/// Age of a report at the hand-over, in milliseconds.
const OLD_REPORT_MS: u64 = 50;

/// How the old primary answers the next request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// At once.
    Prompt,
    /// The answer is written when the test hears of it, and travels for [`NETWORK`].
    UnderWay,
    /// The answer is written once the end of the gateway's sending has arrived.
    AtEndOfSending,
    /// The same, and the connection is reset before the answer is complete.
    CutOff,
    /// Requests at once, health checks once the end of the gateway's sending has arrived.
    LateReports,
    /// The answer is written once the test sets another behaviour.
    Held,
    /// A long value, at once; also while it is the primary.
    LongValue,
    /// The connection is reset in place of an answer.
    Reset,
    /// A statement that arrives while the host is the primary is answered once it has handed over its role.
    HeldUntilHandOver,
    /// The answer claims that the host is the primary, at an impossible position.
    Corrupt,
    /// The same as [`Behavior::AtEndOfSending`], and new connections are reset before a session is accepted.
    NoSessions,
}

/// What a test has set of a group.
pub struct State {
    /// When the primary handed over its role, in milliseconds since 1970.
    pub handed_over: Option<u64>,
    /// The behaviour of the old primary towards requests and health checks after that.
    pub behavior: Behavior,
    /// Health checks of the old primary get a report from before its hand-over.
    pub has_old_reports: bool,
}

/// A group of a primary and two replicas. All stand still once the primary has handed over its role.
pub struct Group {
    pub endpoints: Vec<SocketAddr>,
    pub state: Arc<Mutex<State>>,
    /// Receives a message whenever the old primary has written an answer as a replica.
    answers: Receiver<()>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

impl Group {
    pub fn start() -> Group {
        let state = Arc::new(Mutex::new(State {
            handed_over: None,
            behavior: Behavior::Prompt,
            has_old_reports: false,
        }));
        let (sender, answers) = channel();
        let endpoints = (0..3).map(|index| start_host(index == 0, &state, &sender)).collect();
        Group { endpoints, state, answers }
    }

    pub fn hand_over(&self) {
        self.state.lock().expect("whole").handed_over = Some(unix_ms());
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        self.state.lock().expect("whole").behavior = behavior;
    }

    /// Waits until the old primary has written an answer as a replica.
    pub fn wait_for_answer(&self) {
        self.answers.recv_timeout(Duration::from_secs(60)).expect("an answer as a replica");
    }
}

fn start_host(was_primary: bool, state: &Arc<Mutex<State>>, answers: &Sender<()>) -> SocketAddr {
    let host = Host::new();
    let address = host.address();
    let (state, answers) = (state.clone(), answers.clone());
    std::thread::spawn(move || loop {
        let mut connection = host.accept_startup();
        if was_primary && state.lock().expect("whole").behavior == Behavior::NoSessions {
            connection.reset();
            continue;
        }
        connection.greet();
        let (state, answers) = (state.clone(), answers.clone());
        std::thread::spawn(move || serve(connection, was_primary, &state, &answers));
    });
    address
}

/// Serves a connection of the gateway until its sending has ended.
fn serve(mut connection: HostConnection, was_primary: bool, state: &Mutex<State>, answers: &Sender<()>) {
    while let Some(statement) = connection.next_statement() {
        let is_held = was_primary && state.lock().expect("whole").behavior == Behavior::HeldUntilHandOver;
        while is_held && state.lock().expect("whole").handed_over.is_none() {
            std::thread::sleep(POLL_INTERVAL);
        }
        let (handed_over, behavior, has_old_reports) = {
            let state = state.lock().expect("whole");
            (state.handed_over, state.behavior, state.has_old_reports)
        };
        let is_primary = was_primary && handed_over.is_none();
        let end_of_log = handed_over.unwrap_or_else(unix_ms);
        let position = if was_primary { end_of_log } else { end_of_log - LAG_MS };
        let has_behavior = was_primary && (!is_primary || behavior == Behavior::LongValue);
        let behavior = if has_behavior { behavior } else { Behavior::Prompt };
        let is_check = statement.starts_with("SHOW");
        let is_old_report = is_check && was_primary && !is_primary && has_old_reports;
        if is_old_report {
            let report = answer_to(&statement, true, position - OLD_REPORT_MS, behavior);
            connection.send(&report);
            continue;
        }
        let answer = match behavior {
            Behavior::Corrupt => answer_to(&statement, true, position + IMPOSSIBLE_LEAD_MS, behavior),
            _ => answer_to(&statement, is_primary, position, behavior),
        };
        let is_late_report = behavior == Behavior::LateReports && is_check;
        let is_late_answer =
            matches!(behavior, Behavior::AtEndOfSending | Behavior::CutOff | Behavior::NoSessions);
        if is_late_report || is_late_answer {
            assert!(connection.next_statement().is_none(), "one statement a connection");
        }
        while behavior == Behavior::Held && state.lock().expect("whole").behavior == Behavior::Held {
            std::thread::sleep(POLL_INTERVAL);
        }
        if was_primary && !is_primary {
            // The receiver is gone once the test has ended.
            let _ = answers.send(());
        }
        match behavior {
            Behavior::UnderWay => std::thread::sleep(NETWORK),
            Behavior::CutOff | Behavior::Reset => return connection.reset(),
            _ => {}
        }
        if std::io::Write::write_all(&mut connection.socket, &answer).is_err() {
            return;
        }
    }
}

fn answer_to(statement: &str, is_primary: bool, position: u64, behavior: Behavior) -> Vec<u8> {
    let role = if is_primary { "master" } else { "replica" };
    if statement.starts_with("SHOW") {
        let report = format!("x0={:.3},x1={}", position as f64 / 1_000.0, u8::from(is_primary));
        return answer_with(report.as_bytes(), role, None);
    }
    if statement.starts_with("INSERT") && !is_primary {
        let mut out = Vec::new();
        codec::write_error_response(&mut out, "ERROR", "25006", "no primary", None);
        codec::write_parameter_status(&mut out, "part", role);
        codec::write_parameter_status(&mut out, "caught_up_to", &position.to_string());
        codec::write_ready_for_query(&mut out);
        return out;
    }
    // No two answers are equal, even while the log stands still.
    let short = next_request_id().to_string().into_bytes();
    let value = if behavior == Behavior::LongValue { vec![b'x'; LONG_VALUE_BYTES] } else { short };
    answer_with(&value, role, Some(position))
}
