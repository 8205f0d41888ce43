//! A client's connection, driven by bytes: from startup through one query at a time.

use super::codec::{self, CancelKey, FrameError, Outbox, Startup, MAX_MESSAGE};
use super::timed_inbox::{Arrival, TimedInbox};
use crate::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Startup,
    Idle,
    /// A query is owed its answer; what is pipelined behind it waits.
    Busy,
    /// After an error in an extended query: all is passed over up to its Sync.
    Skipping,
    Closed,
}

/// What a client wants next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Demand {
    /// An answer to this query, which arrived at this time: when its last byte was received.
    Query(String, Micros),
    /// The query of the connection with this key called off; this one then closes without a word.
    Cancel(CancelKey),
    /// The connection closed, once what is to be written has been.
    Close,
}

/// What another process needs to go on with a client that is owed nothing.
#[derive(Debug)]
pub struct Handover {
    /// The key with which its query may be cancelled.
    pub key: CancelKey,
    /// It has been greeted.
    pub greeted: bool,
    /// Bytes that came and are not understood yet.
    pub bytes: Vec<u8>,
    /// When the whole messages among them arrived, on the clock that both processes run on.
    pub arrivals: Vec<Arrival>,
}

/// A client's connection.
#[derive(Debug)]
pub struct Client {
    inbox: TimedInbox,
    /// Bytes for the client.
    pub out: Outbox,
    state: State,
    longest: usize,
    key: CancelKey,
}

impl Default for Client {
    fn default() -> Self {
        Client::taking(MAX_MESSAGE, CancelKey::default())
    }
}

impl Client {
    /// A client whose messages may be so long, and whose query may be cancelled with this key.
    pub fn taking(longest: usize, key: CancelKey) -> Self {
        Client { inbox: TimedInbox::default(), out: Outbox::default(), state: State::Startup, longest, key }
    }

    /// The key with which its query may be cancelled, if it has been told.
    pub fn key(&self) -> Option<CancelKey> {
        (self.state != State::Startup).then_some(self.key)
    }

    /// A client of another process. What it has not told the arrival of counts as having arrived now.
    pub fn resume(longest: usize, from: Handover, now: Micros) -> Self {
        let mut client = Client::taking(longest, from.key);
        if from.greeted {
            client.state = State::Idle;
        }
        client.inbox = TimedInbox::resume(from.greeted, &from.bytes, &from.arrivals, now);
        client
    }

    /// What [`Client::resume`] needs, unless the client is owed something or is about to end.
    pub fn part(&self) -> Option<Handover> {
        let free = matches!(self.state, State::Startup | State::Idle) && self.out.is_empty();
        free.then(|| Handover {
            key: self.key,
            greeted: self.state == State::Idle,
            bytes: self.inbox.rest().to_vec(),
            arrivals: self.inbox.arrivals().iter().copied().collect(),
        })
    }

    /// Takes bytes in that are read now. What the system held before is not known here: bytes that were not read
    /// since more than is held had come count from when they are.
    pub fn receive(&mut self, bytes: &[u8], now: Micros) {
        if self.state != State::Closed {
            self.inbox.push(bytes, now);
        }
    }

    /// Whether more bytes are welcome: pipelined queries, and answers that the client does not read,
    /// are held up to the longest message.
    pub fn wants_more(&self) -> bool {
        self.state != State::Closed && self.inbox.len() <= self.longest && self.out.len() <= self.longest
    }

    /// Whether a query is owed its answer.
    pub fn is_busy(&self) -> bool {
        self.state == State::Busy
    }

    /// Whether a message has begun and the rest of it is awaited.
    pub fn is_half(&self) -> bool {
        !matches!(self.state, State::Busy | State::Closed) && !self.inbox.is_empty()
    }

    /// Whether it may be closed without loss: nothing owed, nothing half read, nothing half written.
    pub fn is_idle(&self) -> bool {
        self.state != State::Busy && self.inbox.is_empty() && self.out.is_empty()
    }

    /// The next thing to do for the client; `None` until more comes, or while an answer is owed.
    pub fn demand(&mut self) -> Option<Demand> {
        loop {
            let step = match self.state {
                State::Startup => self.start(),
                State::Idle | State::Skipping => self.command(),
                State::Busy | State::Closed => return None,
            };
            match step {
                Ok(Step::More) => {}
                Ok(Step::Wait) => return None,
                Ok(Step::Do(demand)) => return Some(demand),
                Err(FrameError::TooLong) => return Some(self.fatal("54000", "message too long")),
                Err(FrameError::BadLength) => return Some(self.fatal("08P01", "invalid message length")),
            }
        }
    }

    fn start(&mut self) -> Result<Step, FrameError> {
        let Some(startup) = self.inbox.startup()? else { return Ok(Step::Wait) };
        let out = &mut self.out.bytes;
        match startup {
            Startup::Encryption => out.push(b'N'),
            Startup::Cancel(key) => {
                self.state = State::Closed;
                return Ok(Step::Do(Demand::Cancel(key)));
            }
            Startup::Session(3, minor) => {
                if minor > 0 {
                    codec::frame(out, b'v', &[0; 8]);
                }
                codec::frame(out, b'R', &[0; 4]);
                for (name, value) in [
                    ("server_version", "15.0 (dunemount)"),
                    ("server_encoding", "UTF8"),
                    ("client_encoding", "UTF8"),
                    ("standard_conforming_strings", "on"),
                ] {
                    codec::parameter(out, name, value);
                }
                codec::key_data(out, self.key);
                codec::ready(out);
                self.state = State::Idle;
            }
            Startup::Session(..) => return Ok(Step::Do(self.fatal("08P01", "unsupported protocol version"))),
        }
        Ok(Step::More)
    }

    fn command(&mut self) -> Result<Step, FrameError> {
        let Some((frame, arrived)) = self.inbox.frame(self.longest)? else { return Ok(Step::Wait) };
        match (frame.tag, self.state) {
            (b'X', _) => {
                self.state = State::Closed;
                Ok(Step::Do(Demand::Close))
            }
            (b'S', _) => {
                self.state = State::Idle;
                codec::ready(&mut self.out.bytes);
                Ok(Step::More)
            }
            (_, State::Skipping) => Ok(Step::More),
            (b'Q', _) => Ok(self.query(frame.body, arrived)),
            (b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F', _) => {
                codec::error(&mut self.out.bytes, "ERROR", "0A000", "only simple queries are served", None);
                if frame.tag == b'F' {
                    codec::ready(&mut self.out.bytes);
                } else {
                    self.state = State::Skipping;
                }
                Ok(Step::More)
            }
            _ => Ok(Step::Do(self.fatal("08P01", "unknown message type"))),
        }
    }

    fn query(&mut self, mut body: Vec<u8>, arrived: Micros) -> Step {
        if body.pop() != Some(0) || body.contains(&0) {
            return Step::Do(self.fatal("08P01", "query does not end where it should"));
        }
        self.state = State::Busy;
        match String::from_utf8(body) {
            Ok(text) if text.trim_matches([' ', '\t', '\r', '\n', ';']).is_empty() => {
                codec::frame(&mut self.out.bytes, b'I', &[]);
                self.settle();
                Step::More
            }
            Ok(text) => Step::Do(Demand::Query(text, arrived)),
            Err(_) => {
                self.fail("22021", "statement is not UTF-8");
                Step::More
            }
        }
    }

    /// Answers the query with a host's rows, whole as they came.
    pub fn serve(&mut self, rows: &[u8]) {
        self.out.bytes.extend_from_slice(rows);
        self.settle();
    }

    /// Refuses the query: trying again is harmless, after the given time if there is one.
    pub fn refuse(&mut self, come_back: Option<Micros>) {
        let advice = come_back.map(|wait| wait.0.div_ceil(1000).to_string());
        codec::error(&mut self.out.bytes, "ERROR", "53300", "refused, try again", advice.as_deref());
        self.settle();
    }

    /// Fails the query.
    pub fn fail(&mut self, code: &str, message: &str) {
        codec::error(&mut self.out.bytes, "ERROR", code, message, None);
        self.settle();
    }

    fn settle(&mut self) {
        codec::ready(&mut self.out.bytes);
        self.state = State::Idle;
    }

    /// Closes the connection with a word on why, once that has been written.
    pub fn turn_out(&mut self, code: &str, message: &str) {
        self.fatal(code, message);
    }

    fn fatal(&mut self, code: &str, message: &str) -> Demand {
        codec::error(&mut self.out.bytes, "FATAL", code, message, None);
        self.state = State::Closed;
        Demand::Close
    }
}

enum Step {
    More,
    Wait,
    Do(Demand),
}
