//! A connection to a database host, driven by bytes: from greeting through one request at a time.

use super::codec::{self, Inbox, Outbox};
use crate::balancer::Said;
use crate::request::Reach;
use crate::Role;

/// Most bytes of an answer: one value with its description.
const MAX_ANSWER: usize = 2 * codec::MAX_MESSAGE;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Greeting,
    Idle,
    Busy,
    Closed,
}

/// A host's whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// What it says.
    pub said: Said,
    /// The messages that a client gets to see.
    pub rows: Vec<u8>,
    /// The first column of its row.
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
    /// It has answered the request.
    Answered(Answer),
    /// It does not keep to the protocol.
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
    /// The answer's last word on the request has come.
    told: bool,
}

impl Default for Host {
    fn default() -> Self {
        let mut host = Host {
            inbox: Inbox::default(),
            out: Outbox::default(),
            state: State::Greeting,
            answer: blank(),
            asked: false,
            told: false,
        };
        codec::startup(&mut host.out.bytes, "app", "shop");
        host
    }
}

fn blank() -> Answer {
    Answer { said: Said::Error, rows: Vec::new(), value: None, role: None, position: None }
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
            self.told = false;
            self.asked = true;
            self.state = State::Busy;
            codec::query(&mut self.out.bytes, text);
        }
        idle
    }

    /// Takes bytes in.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.inbox.push(bytes);
    }

    /// The next thing that the bytes so far amount to.
    pub fn turn(&mut self) -> Option<Turn> {
        while self.state != State::Closed {
            let frame = match self.inbox.frame() {
                Ok(frame) => frame?,
                Err(_) => return Some(self.close(Turn::Nonsense)),
            };
            match (frame.tag, self.state) {
                (b'N', _) | (b'K' | b'v' | b'R', State::Greeting) => {}
                (b'S', _) => self.note(&frame.body),
                (b'Z', State::Greeting) => {
                    self.state = State::Idle;
                    return Some(Turn::Welcome);
                }
                (b'E', State::Greeting) => {
                    let code = codec::error_field(&frame.body, b'C').unwrap_or_default().to_string();
                    return Some(self.close(Turn::Unwelcome(code)));
                }
                (b'E', State::Busy) => {
                    self.answer.said = match codec::error_field(&frame.body, b'C') {
                        Some("25006" | "72000") => Said::Miss,
                        Some("53300" | "57P03") => Said::TurnedAway,
                        _ => Said::Error,
                    };
                    self.answer.rows.clear();
                    self.told = true;
                    if matches!(codec::error_field(&frame.body, b'S'), Some("FATAL" | "PANIC")) {
                        let answer = std::mem::replace(&mut self.answer, blank());
                        return Some(self.close(Turn::Answered(answer)));
                    }
                }
                (b'T' | b'D' | b'C', State::Busy) if !self.told => {
                    codec::frame(&mut self.answer.rows, frame.tag, &frame.body);
                    if self.answer.rows.len() > MAX_ANSWER {
                        return Some(self.close(Turn::Nonsense));
                    }
                    if frame.tag == b'D' {
                        self.answer.value = codec::first_column(&frame.body).map(<[u8]>::to_vec);
                    } else if frame.tag == b'C' {
                        self.answer.said = Said::Served;
                        self.told = true;
                    }
                }
                (b'Z', State::Busy) if self.told => {
                    self.state = State::Idle;
                    self.asked = false;
                    return Some(Turn::Answered(std::mem::replace(&mut self.answer, blank())));
                }
                _ => return Some(self.close(Turn::Nonsense)),
            }
        }
        None
    }

    /// How far the request had come, if the connection ends now.
    pub fn reach(&self) -> Reach {
        match (self.asked, self.out.is_empty()) {
            (false, _) => Reach::NotConnected,
            (true, false) => Reach::PartlyWritten,
            (true, true) => Reach::WhollyWritten,
        }
    }

    /// The connection has ended: the answer, if its last word had come. Without that word nothing of
    /// it may reach a client.
    pub fn ended(&mut self) -> Option<Answer> {
        let whole = self.state == State::Busy && self.told;
        self.state = State::Closed;
        whole.then(|| std::mem::replace(&mut self.answer, blank()))
    }

    fn close(&mut self, turn: Turn) -> Turn {
        self.state = State::Closed;
        turn
    }

    fn note(&mut self, body: &[u8]) {
        match codec::parameter_of(body) {
            Some(("part", "master")) => self.answer.role = Some(Role::Primary),
            Some(("part", "replica")) => self.answer.role = Some(Role::Replica),
            Some(("caught_up_to", position)) => self.answer.position = position.parse().ok(),
            _ => {}
        }
    }
}

/// Role and position in a load report such as `x0=1767225600.123,x1=1`. There alone a position is in
/// seconds; it is handed on as Unix time in milliseconds, like any other.
pub fn report(text: &[u8]) -> (Option<Role>, Option<f64>) {
    let text = std::str::from_utf8(text).unwrap_or_default();
    let field = |name| {
        let find = |pair: &str| pair.trim().strip_prefix(name)?.strip_prefix('=')?.parse::<f64>().ok();
        text.split(',').find_map(find)
    };
    let role = field("x1").map(|x| if x == 1.0 { Role::Primary } else { Role::Replica });
    (role, field("x0").map(|seconds| seconds * 1000.0))
}
