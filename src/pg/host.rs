//! A connection to a database host, driven by bytes: from greeting through one request at a time.

use super::codec::{self, Frame, Inbox, Outbox};
use crate::attempt::{AttemptProgress, ResponseStatus};
use crate::Role;

/// Longest value that is held until it is whole; a longer one flows.
const MAX_HELD: usize = 64 * 1024;
/// Longest row that is taken at all, its lengths included.
pub const MAX_ROW: usize = 8 * 1024 * 1024 + 16;
/// What comes before the value in a row: type, length, number of columns, the value's length.
const ROW_HEAD: usize = 11;
/// Longest value that may be a report.
const MAX_REPORT: usize = 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Greeting,
    Idle,
    /// A request is out, and this much of its answer has come.
    Busy(Stage),
    Closed,
}

/// How far an answer has come. Its parts come in this order, each once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Nothing,
    Described,
    /// A long row flows, and so many bytes of it are still to come.
    Flowing(usize),
    Row,
    /// The last word on the request: only its report and ReadyForQuery are still to come.
    Told,
}

/// Longest message of a type in this state, by its own word; a type that does not belong there has
/// none. What is out of place is so told at its first byte, and no length is waited for in vain.
fn longest(state: State, tag: u8) -> usize {
    match (tag, state) {
        (b'N' | b'E', _) => 8 * 1024,
        (b'S', _) => 4 * 1024,
        (b'K' | b'v' | b'R', State::Greeting) => 1024,
        (b'Z', State::Greeting | State::Busy(Stage::Told)) => 5,
        (b'T', State::Busy(Stage::Nothing)) => 1024,
        (b'D', State::Busy(Stage::Described)) => MAX_HELD + ROW_HEAD,
        (b'C', State::Busy(Stage::Row)) => 256,
        _ => 0,
    }
}

/// A host's whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// What it says.
    pub said: ResponseStatus,
    /// The messages that a client gets to see.
    pub rows: Vec<u8>,
    /// The value of its row, if it is short enough for a report.
    pub value: Option<Vec<u8>>,
    /// The host's role.
    pub role: Option<Role>,
    /// Its position, or a write's commit, as Unix time in milliseconds.
    pub position: Option<f64>,
}

/// What a host has come to.
#[derive(Clone, Debug, PartialEq)]
pub enum Turn {
    /// It has welcomed the gateway and takes a request.
    Welcome,
    /// It turned the connection away while greeting, with this code.
    Unwelcome(String),
    /// A long answer has begun: [`Host::flow`] gives out what comes of it.
    Flows,
    /// It has answered the request; of one that flowed the rest.
    Answered(Answer),
    /// It does not keep to the protocol: what came is no answer, and the connection is of no use.
    Nonsense,
}

/// A connection to a host.
#[derive(Debug)]
pub struct Host {
    inbox: Inbox,
    /// Bytes for the host.
    pub out: Outbox,
    state: State,
    answer: Answer,
    /// A request is on the connection.
    asked: bool,
    /// The answer flows.
    flows: bool,
    /// What the host says of itself beside this answer cannot be read.
    garbled: bool,
}

impl Default for Host {
    fn default() -> Self {
        let mut host = Host {
            inbox: Inbox::default(),
            out: Outbox::default(),
            state: State::Greeting,
            answer: blank(),
            asked: false,
            flows: false,
            garbled: false,
        };
        codec::startup(&mut host.out.bytes, "app", "shop");
        host
    }
}

fn blank() -> Answer {
    Answer { said: ResponseStatus::Failed, rows: Vec::new(), value: None, role: None, position: None }
}

impl Host {
    /// Whether it takes a request: the last answer is whole and nothing is left of it.
    pub fn is_idle(&self) -> bool {
        self.state == State::Idle && self.inbox.is_empty() && self.out.is_empty()
    }

    /// Puts a request on the connection. False, and nothing is put, unless it is idle.
    #[must_use]
    pub fn ask(&mut self, text: &str) -> bool {
        let idle = self.is_idle();
        if idle {
            self.answer = blank();
            self.garbled = false;
            self.flows = false;
            self.asked = true;
            self.state = State::Busy(Stage::Nothing);
            codec::query(&mut self.out.bytes, text);
        }
        idle
    }

    /// Whether its answer flows.
    pub fn flows(&self) -> bool {
        self.flows && matches!(self.state, State::Busy(_))
    }

    /// Takes bytes in.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.inbox.push(bytes);
    }

    /// Whether an answer has begun and the rest of it is awaited.
    pub fn is_half(&self) -> bool {
        match self.state {
            State::Busy(Stage::Nothing) => !self.inbox.is_empty(),
            State::Busy(_) => true,
            _ => false,
        }
    }

    /// The next thing that the bytes so far amount to.
    pub fn turn(&mut self) -> Option<Turn> {
        while self.state != State::Closed {
            let state = self.state;
            match state {
                State::Busy(Stage::Described) if self.begins_to_flow() => return Some(Turn::Flows),
                // Whether a row is too long shows once its head is whole.
                State::Busy(Stage::Described)
                    if self.inbox.rest().starts_with(b"D") && self.inbox.len() < ROW_HEAD =>
                {
                    return None
                }
                State::Busy(Stage::Flowing(left)) => {
                    let bytes = self.inbox.cut_off(left);
                    self.answer.rows.extend_from_slice(bytes);
                    let left = left - bytes.len();
                    if left > 0 {
                        self.state = State::Busy(Stage::Flowing(left));
                        return None;
                    }
                    self.state = State::Busy(Stage::Row);
                    continue;
                }
                _ => {}
            }
            let turn = match self.inbox.frame_within(|tag| longest(state, tag)) {
                Ok(frame) => self.take(&frame?),
                Err(_) => Err(Nonsense),
            };
            match turn {
                Ok(None) => {}
                Ok(turn) => return turn,
                Err(Nonsense) => return Some(self.close(Turn::Nonsense)),
            }
        }
        None
    }

    /// Whether the head of a long row is there: one column, and lengths that fit. Any other row of its
    /// length is nonsense at once.
    fn begins_to_flow(&mut self) -> bool {
        let Some((head, _)) = self.inbox.rest().split_first_chunk::<ROW_HEAD>() else { return false };
        let [tag, a, b, c, d, columns @ .., e, f, g, h] = *head;
        let row = u32::from_be_bytes([a, b, c, d]) as usize;
        let value = u32::from_be_bytes([e, f, g, h]) as usize;
        let fits =
            tag == b'D' && columns == [0, 1] && row == value.saturating_add(ROW_HEAD - 1) && row <= MAX_ROW;
        if fits && value > MAX_HELD {
            self.state = State::Busy(Stage::Flowing(row + 1));
            self.flows = true;
        }
        fits && value > MAX_HELD
    }

    /// What has come of an answer that flows, up to the end of its row: the last word on it is kept
    /// until all has been checked.
    pub fn flow(&mut self) -> Vec<u8> {
        match self.state {
            State::Busy(Stage::Flowing(_) | Stage::Row) if self.flows => {
                std::mem::take(&mut self.answer.rows)
            }
            _ => Vec::new(),
        }
    }

    fn take(&mut self, frame: &Frame) -> Result<Option<Turn>, Nonsense> {
        let body = frame.body.as_slice();
        match (frame.tag, self.state) {
            (b'S', _) => self.note(body),
            (b'Z', State::Greeting) => {
                self.state = State::Idle;
                return Ok(Some(Turn::Welcome));
            }
            (b'E', State::Greeting) => {
                let code = codec::error_code(body).ok_or(Nonsense)?.to_string();
                return Ok(Some(self.close(Turn::Unwelcome(code))));
            }
            (b'E', State::Busy(stage)) if stage != Stage::Told => {
                self.answer.said = match codec::error_code(body).ok_or(Nonsense)? {
                    "25006" | "72000" => ResponseStatus::Unsuitable,
                    "53300" | "57P03" => ResponseStatus::Rejected,
                    _ => ResponseStatus::Failed,
                };
                self.answer.rows.clear();
                self.answer.value = None;
                self.state = State::Busy(Stage::Told);
                if matches!(codec::error_field(body, b'S'), Some("FATAL" | "PANIC")) {
                    let answer = self.whole();
                    return Ok(Some(self.close(Turn::Answered(answer))));
                }
            }
            (b'T', _) if codec::describes_one_column(body) => self.pass_on(frame, Stage::Described),
            (b'D', _) => {
                let value = codec::only_column(body).ok_or(Nonsense)?;
                self.answer.value = (value.len() <= MAX_REPORT).then(|| value.to_vec());
                self.pass_on(frame, Stage::Row);
            }
            (b'C', _) if body.ends_with(&[0]) && body[..body.len() - 1].is_ascii() => {
                self.pass_on(frame, Stage::Told);
                self.answer.said = ResponseStatus::Served;
            }
            (b'Z', _) if body == b"I" => {
                self.state = State::Idle;
                self.asked = false;
                return Ok(Some(Turn::Answered(self.whole())));
            }
            (b'N' | b'K' | b'v' | b'R', _) => {}
            _ => return Err(Nonsense),
        }
        Ok(None)
    }

    fn pass_on(&mut self, frame: &Frame, stage: Stage) {
        codec::frame(&mut self.answer.rows, frame.tag, &frame.body);
        self.state = State::Busy(stage);
    }

    /// Hands the answer out. A report that cannot be read takes all that it says with it.
    fn whole(&mut self) -> Answer {
        let answer = std::mem::replace(&mut self.answer, blank());
        match self.garbled {
            true => Answer { role: None, position: None, ..answer },
            false => answer,
        }
    }

    /// How far the request had come, if the connection ends now.
    pub fn reach(&self) -> AttemptProgress {
        match (self.asked, self.out.is_empty()) {
            (false, _) => AttemptProgress::NotConnected,
            (true, false) => AttemptProgress::PartiallyWritten,
            (true, true) => AttemptProgress::FullyWritten,
        }
    }

    /// The connection has ended: the answer, if its last word had come. Without that word nothing of
    /// it may reach a client.
    pub fn ended(&mut self) -> Option<Answer> {
        let whole = self.state == State::Busy(Stage::Told);
        self.state = State::Closed;
        whole.then(|| self.whole())
    }

    fn close(&mut self, turn: Turn) -> Turn {
        self.state = State::Closed;
        turn
    }

    fn note(&mut self, body: &[u8]) {
        match codec::parameter_of(body) {
            Some(("part", "master")) => self.answer.role = Some(Role::Primary),
            Some(("part", "replica")) => self.answer.role = Some(Role::Replica),
            Some(("caught_up_to", position)) if is_figure(position) => {
                self.answer.position = position.parse().ok();
            }
            Some((name, _)) if !matches!(name, "part" | "caught_up_to") => {}
            _ => self.garbled = true,
        }
    }
}

/// What a host sent is no answer.
struct Nonsense;

/// Whether the text is a plain number: digits, with a point among them at most.
fn is_figure(text: &str) -> bool {
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |text: &str| (1..=15).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
    digits(whole) && digits(part)
}

/// Role and position in a load report such as `x0=1767225600.123,x1=1`. There alone a position is in
/// seconds; it is handed on as Unix time in milliseconds, like any other. A report with anything in it
/// that cannot be read says nothing: the rest of it may be spoilt as well.
pub fn report(text: &[u8]) -> (Option<Role>, Option<f64>) {
    let (mut role, mut position) = (None, None);
    for pair in std::str::from_utf8(text).unwrap_or("?").split(',') {
        match pair.trim().split_once('=') {
            Some(("x1", "1" | "1.0")) => role = Some(Role::Primary),
            Some(("x1", "0" | "0.0")) => role = Some(Role::Replica),
            Some(("x0", seconds)) if is_figure(seconds) => {
                position = seconds.parse().ok().map(|seconds: f64| seconds * 1000.0);
            }
            Some((name, value)) if !matches!(name, "x0" | "x1") && is_figure(value) => {}
            _ => return (None, None),
        }
    }
    (role, position)
}
