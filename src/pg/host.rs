//! The client side of the protocol on a connection to a database host: a state machine driven by bytes that handles the
//! startup and then one simple query at a time.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::codec::{self, Message, ReceiveBuffer, SendBuffer};
use super::load_report::is_plain_number;
use super::message_type::backend;
use crate::attempt::{AttemptProgress, ResponseStatus};
use crate::Role;

/// The user in the startup packet.
const USER: &str = "app";
/// The database in the startup packet.
const DATABASE: &str = "shop";
/// Longest value that is buffered until it is complete, in bytes; a longer value is streamed.
const MAX_BUFFERED_VALUE: usize = 64 * 1024;
/// Longest row that is accepted, in bytes, its length fields included.
pub const MAX_ROW: usize = 8 * 1024 * 1024 + 16;
/// Size of the head of a row before the value: type, length, number of columns, and the value's length.
const ROW_HEAD_LENGTH: usize = 11;
/// Longest value that may be a load report, in bytes.
const MAX_LOAD_REPORT: usize = 1024;
/// The first word of a query that asks for a load report.
const LOAD_REPORT_VERB: &str = "SHOW";
/// The body of a ReadyForQuery outside a transaction.
const IDLE_TRANSACTION_STATUS: &[u8] = b"I";

/// SQLSTATE codes that determine the status of a response.
mod sqlstate {
    pub const READ_ONLY_TRANSACTION: &str = "25006";
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    pub const CANNOT_CONNECT_NOW: &str = "57P03";
}

/// Whether an error with this SQLSTATE means that the host had no capacity for the query and has not run it.
pub fn is_rejection(code: &str) -> bool {
    matches!(code, sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waiting for the first ReadyForQuery.
    Startup,
    /// Ready for a query.
    Idle,
    /// A query was sent, and this much of its response was received.
    Busy(ResponseProgress),
    /// No more bytes are read.
    Closed,
}

/// How much of a response was received. Its messages come in this order, each once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseProgress {
    Nothing,
    RowDescription,
    /// A long row is being streamed, and this many bytes of it are still missing.
    StreamingRow(usize),
    DataRow,
    /// CommandComplete or ErrorResponse was received: only ParameterStatus messages and ReadyForQuery may follow.
    Completed,
}

/// Longest length of a message of a type in this state, as given by its length field; zero for a type that is not
/// allowed there. An unexpected message is therefore rejected at its first byte, and its length is never waited for.
fn max_message_length(state: State, tag: u8) -> usize {
    match (tag, state) {
        (backend::NOTICE_RESPONSE | backend::ERROR_RESPONSE, _) => 8 * 1024,
        (backend::PARAMETER_STATUS, _) => 4 * 1024,
        (
            backend::BACKEND_KEY_DATA | backend::NEGOTIATE_PROTOCOL_VERSION | backend::AUTHENTICATION,
            State::Startup,
        ) => 1024,
        (backend::READY_FOR_QUERY, State::Startup | State::Busy(ResponseProgress::Completed)) => 5,
        (backend::ROW_DESCRIPTION, State::Busy(ResponseProgress::Nothing)) => 1024,
        (backend::DATA_ROW, State::Busy(ResponseProgress::RowDescription)) => {
            MAX_BUFFERED_VALUE + ROW_HEAD_LENGTH
        }
        (backend::COMMAND_COMPLETE, State::Busy(ResponseProgress::DataRow)) => 256,
        _ => 0,
    }
}

/// A host's complete response to a query.
#[derive(Clone, Debug, PartialEq)]
pub struct HostResponse {
    /// The outcome of the query.
    pub status: ResponseStatus,
    /// The messages to be forwarded to the client.
    pub rows: Vec<u8>,
    /// The value of the row, if it is short enough for a load report.
    pub value: Option<Vec<u8>>,
    /// The host's role, if the response states it.
    pub role: Option<Role>,
    /// The host's log position, or the commit of a write, as Unix time in milliseconds.
    pub position: Option<f64>,
}

impl HostResponse {
    /// A response with a status and no content.
    pub fn empty(status: ResponseStatus) -> HostResponse {
        HostResponse { status, rows: Vec::new(), value: None, role: None, position: None }
    }
}

/// Identifies a complete response, so that a second copy of it is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ResponseDigest {
    content: u64,
    /// The response states a log position, which has moved on when a later query is answered in the same way.
    has_position: bool,
    is_load_report: bool,
}

impl ResponseDigest {
    fn of(response: &HostResponse, is_load_report: bool) -> ResponseDigest {
        let mut hasher = DefaultHasher::new();
        response.rows.hash(&mut hasher);
        response.role.map(|role| role == Role::Primary).hash(&mut hasher);
        response.position.map(f64::to_bits).hash(&mut hasher);
        ResponseDigest { content: hasher.finish(), has_position: response.position.is_some(), is_load_report }
    }

    /// Whether this response is a second copy of the previous one on its connection. Without a position, equal
    /// responses to queries of one kind may both be genuine.
    fn is_copy_of(&self, previous: &ResponseDigest) -> bool {
        let is_conclusive = self.has_position || self.is_load_report != previous.is_load_report;
        self.content == previous.content && is_conclusive
    }
}

/// An event on a connection to a host.
#[derive(Clone, Debug, PartialEq)]
pub enum HostEvent {
    /// The startup is complete, and the host accepts a query.
    Ready,
    /// The host rejected the connection during the startup, with this SQLSTATE.
    StartupRejected(String),
    /// A long response has begun: [`HostProtocol::take_streamed`] returns its bytes as they are received.
    StreamingStarted,
    /// The response to the query is complete; of a streamed response this is the rest.
    Response(HostResponse),
    /// The host violated the protocol: the bytes are not a response, and the connection is unusable.
    ProtocolViolation,
}

/// A message of the host is malformed or not allowed in the present state.
struct ProtocolViolation;

/// The protocol state of a connection to a host.
#[derive(Debug)]
pub struct HostProtocol {
    input: ReceiveBuffer,
    /// Bytes to be sent to the host.
    pub out: SendBuffer,
    state: State,
    response: HostResponse,
    /// A query was sent and its response is not complete.
    has_query: bool,
    /// The response is streamed.
    is_streamed: bool,
    /// A role or position that the host reported with this response is invalid.
    has_invalid_status: bool,
    /// The query asks for a load report.
    is_load_report: bool,
    /// The previous response that was served on this connection.
    previous: Option<ResponseDigest>,
}

impl Default for HostProtocol {
    fn default() -> Self {
        let mut host = HostProtocol {
            input: ReceiveBuffer::default(),
            out: SendBuffer::default(),
            state: State::Startup,
            response: HostResponse::empty(ResponseStatus::Failed),
            has_query: false,
            is_streamed: false,
            has_invalid_status: false,
            is_load_report: false,
            previous: None,
        };
        codec::write_startup_packet(&mut host.out.bytes, USER, DATABASE);
        host
    }
}

impl HostProtocol {
    /// Whether a query can be sent: the last response is complete, and no bytes are left in either direction.
    pub fn is_idle(&self) -> bool {
        self.state == State::Idle && self.input.is_empty() && self.out.is_empty()
    }

    /// Sends a query. Returns false, and sends nothing, unless the connection is idle.
    #[must_use]
    pub fn send_query(&mut self, text: &str) -> bool {
        let idle = self.is_idle();
        if idle {
            self.response = HostResponse::empty(ResponseStatus::Failed);
            self.has_invalid_status = false;
            self.is_streamed = false;
            self.has_query = true;
            self.is_load_report = text.starts_with(LOAD_REPORT_VERB);
            self.state = State::Busy(ResponseProgress::Nothing);
            codec::write_query(&mut self.out.bytes, text);
        }
        idle
    }

    /// Whether a response is being streamed.
    pub fn is_streaming(&self) -> bool {
        self.is_streamed && matches!(self.state, State::Busy(_))
    }

    /// Whether the latest response was streamed.
    pub fn was_streamed(&self) -> bool {
        self.is_streamed
    }

    /// Number of bytes that are allocated for both directions.
    pub fn allocated(&self) -> usize {
        self.input.allocated() + self.out.allocated() + self.response.rows.capacity()
    }

    /// Adds received bytes.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.input.push(bytes);
    }

    /// Number of bytes of the present response that are held.
    pub fn response_bytes(&self) -> usize {
        self.input.len() + self.response.rows.len()
    }

    /// Whether the outcome of the query was received; its status parameters and ReadyForQuery may be missing.
    pub fn has_completed_response(&self) -> bool {
        self.state == State::Busy(ResponseProgress::Completed)
    }

    /// Whether part of a response was received and the rest of it is missing.
    pub fn has_partial_response(&self) -> bool {
        match self.state {
            State::Busy(ResponseProgress::Nothing) => !self.input.is_empty(),
            State::Busy(_) => true,
            _ => false,
        }
    }

    /// The next event in the bytes received so far; `None` until more are received.
    pub fn next_event(&mut self) -> Option<HostEvent> {
        while self.state != State::Closed {
            let state = self.state;
            match state {
                State::Busy(ResponseProgress::RowDescription) if self.starts_streaming() => {
                    return Some(HostEvent::StreamingStarted)
                }
                // Whether a row is too long is known only once its head is complete.
                State::Busy(ResponseProgress::RowDescription) if self.has_partial_row_head() => return None,
                State::Busy(ResponseProgress::StreamingRow(left)) => {
                    if !self.continue_streaming(left) {
                        return None;
                    }
                    continue;
                }
                _ => {}
            }
            let event = match self.input.next_message_within(|tag| max_message_length(state, tag)) {
                Ok(message) => self.handle_message(&message?),
                Err(_) => Err(ProtocolViolation),
            };
            match event {
                Ok(None) => {}
                Ok(event) => return event,
                Err(ProtocolViolation) => return Some(self.close(HostEvent::ProtocolViolation)),
            }
        }
        None
    }

    fn has_partial_row_head(&self) -> bool {
        self.input.unparsed().first() == Some(&backend::DATA_ROW) && self.input.len() < ROW_HEAD_LENGTH
    }

    /// Starts streaming if the head of a long row was received, with one column and lengths that match. Any other row
    /// of that length violates the protocol.
    fn starts_streaming(&mut self) -> bool {
        let Some((head, _)) = self.input.unparsed().split_first_chunk::<ROW_HEAD_LENGTH>() else {
            return false;
        };
        let [tag, a, b, c, d, columns @ .., e, f, g, h] = *head;
        let row = u32::from_be_bytes([a, b, c, d]) as usize;
        let value = u32::from_be_bytes([e, f, g, h]) as usize;
        let has_one_column = columns == [0, 1] && row == value.saturating_add(ROW_HEAD_LENGTH - 1);
        let is_streamed =
            tag == backend::DATA_ROW && has_one_column && row <= MAX_ROW && value > MAX_BUFFERED_VALUE;
        if is_streamed {
            self.state = State::Busy(ResponseProgress::StreamingRow(row + 1));
            self.is_streamed = true;
        }
        is_streamed
    }

    /// Moves the received bytes of a streamed row to the response. False while some bytes of the row are missing.
    fn continue_streaming(&mut self, left: usize) -> bool {
        let bytes = self.input.take_up_to(left);
        self.response.rows.extend_from_slice(bytes);
        let left = left - bytes.len();
        self.state = State::Busy(match left {
            0 => ResponseProgress::DataRow,
            left => ResponseProgress::StreamingRow(left),
        });
        left == 0
    }

    /// Takes the bytes of a streamed response that were received so far, up to the end of its row. CommandComplete is
    /// held back until the whole response is checked.
    pub fn take_streamed(&mut self) -> Vec<u8> {
        match self.state {
            State::Busy(ResponseProgress::StreamingRow(_) | ResponseProgress::DataRow)
                if self.is_streamed =>
            {
                std::mem::take(&mut self.response.rows)
            }
            _ => Vec::new(),
        }
    }

    fn handle_message(&mut self, message: &Message) -> Result<Option<HostEvent>, ProtocolViolation> {
        let body = message.body.as_slice();
        match (message.tag, self.state) {
            (backend::PARAMETER_STATUS, _) => self.handle_parameter_status(body),
            (backend::READY_FOR_QUERY, State::Startup) => {
                self.state = State::Idle;
                return Ok(Some(HostEvent::Ready));
            }
            (backend::ERROR_RESPONSE, State::Startup) => {
                let code = codec::sqlstate(body).ok_or(ProtocolViolation)?.to_string();
                return Ok(Some(self.close(HostEvent::StartupRejected(code))));
            }
            (backend::ERROR_RESPONSE, State::Busy(progress)) if progress != ResponseProgress::Completed => {
                return self.handle_error(body);
            }
            (backend::ROW_DESCRIPTION, _) if codec::describes_single_column(body) => {
                self.forward(message, ResponseProgress::RowDescription);
            }
            (backend::DATA_ROW, _) => {
                let value = codec::single_column_value(body).ok_or(ProtocolViolation)?;
                self.response.value = (value.len() <= MAX_LOAD_REPORT).then(|| value.to_vec());
                self.forward(message, ResponseProgress::DataRow);
            }
            (backend::COMMAND_COMPLETE, _) if body.ends_with(&[0]) && body[..body.len() - 1].is_ascii() => {
                self.forward(message, ResponseProgress::Completed);
                self.response.status = ResponseStatus::Served;
            }
            (backend::READY_FOR_QUERY, _) if body == IDLE_TRANSACTION_STATUS => {
                self.reject_second_copy()?;
                self.state = State::Idle;
                self.has_query = false;
                return Ok(Some(HostEvent::Response(self.take_response())));
            }
            (
                backend::NOTICE_RESPONSE
                | backend::BACKEND_KEY_DATA
                | backend::NEGOTIATE_PROTOCOL_VERSION
                | backend::AUTHENTICATION,
                _,
            ) => {}
            _ => return Err(ProtocolViolation),
        }
        Ok(None)
    }

    /// Rejects a response that repeats the previous one: it answers the previous query, and what answers this one is
    /// still to come.
    fn reject_second_copy(&mut self) -> Result<(), ProtocolViolation> {
        if self.response.status != ResponseStatus::Served {
            return Ok(());
        }
        let digest = ResponseDigest::of(&self.response, self.is_load_report);
        match self.previous.replace(digest) {
            Some(previous) if digest.is_copy_of(&previous) => Err(ProtocolViolation),
            _ => Ok(()),
        }
    }

    /// Handles an error in place of a response or of the rest of one.
    fn handle_error(&mut self, body: &[u8]) -> Result<Option<HostEvent>, ProtocolViolation> {
        self.response.status = match codec::sqlstate(body).ok_or(ProtocolViolation)? {
            sqlstate::READ_ONLY_TRANSACTION | sqlstate::SNAPSHOT_TOO_OLD => ResponseStatus::Unsuitable,
            code if is_rejection(code) => ResponseStatus::Rejected,
            _ => ResponseStatus::Failed,
        };
        self.response.rows.clear();
        self.response.value = None;
        self.state = State::Busy(ResponseProgress::Completed);
        if matches!(codec::error_field(body, b'S'), Some("FATAL" | "PANIC")) {
            let response = self.take_response();
            return Ok(Some(self.close(HostEvent::Response(response))));
        }
        Ok(None)
    }

    /// Adds a message to those that are forwarded to the client.
    fn forward(&mut self, message: &Message, progress: ResponseProgress) {
        codec::write_message(&mut self.response.rows, message.tag, &message.body);
        self.state = State::Busy(progress);
    }

    /// Takes the response out. If any role or position that the host reported is invalid, the response has neither.
    fn take_response(&mut self) -> HostResponse {
        let empty = HostResponse::empty(ResponseStatus::Failed);
        let response = std::mem::replace(&mut self.response, empty);
        match self.has_invalid_status {
            true => HostResponse { role: None, position: None, ..response },
            false => response,
        }
    }

    /// How much of the query in flight has been written; `NotConnected` if there is none.
    pub fn attempt_progress(&self) -> AttemptProgress {
        match (self.has_query, self.out.is_empty()) {
            (false, _) => AttemptProgress::NotConnected,
            (true, false) => AttemptProgress::PartiallyWritten,
            (true, true) => AttemptProgress::FullyWritten,
        }
    }

    /// Handles the end of the connection. Returns the response if its CommandComplete or ErrorResponse was received;
    /// without that, nothing of the response may be sent to a client.
    pub fn handle_end(&mut self) -> Option<HostResponse> {
        let is_completed = self.state == State::Busy(ResponseProgress::Completed);
        self.state = State::Closed;
        let is_own = is_completed && self.reject_second_copy().is_ok();
        is_own.then(|| self.take_response())
    }

    fn close(&mut self, event: HostEvent) -> HostEvent {
        self.state = State::Closed;
        event
    }

    /// Records the role or the position that the host reports.
    fn handle_parameter_status(&mut self, body: &[u8]) {
        match codec::parse_parameter_status(body) {
            Some(("part", "master")) => self.response.role = Some(Role::Primary),
            Some(("part", "replica")) => self.response.role = Some(Role::Replica),
            Some(("caught_up_to", position)) if is_plain_number(position) => {
                self.response.position = position.parse().ok();
            }
            Some((name, _)) if !matches!(name, "part" | "caught_up_to") => {}
            _ => self.has_invalid_status = true,
        }
    }
}
