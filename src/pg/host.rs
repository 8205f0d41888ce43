//! A connection to a database host, where the gateway speaks as a client: a state machine driven by bytes, from startup
//! through one simple query at a time.

use super::codec::{self, Message, ReceiveBuffer, SendBuffer};
use super::load_report::is_plain_number;
use super::message_type::backend;
use crate::attempt::{AttemptProgress, ResponseStatus};
use crate::Role;

/// The user and the database that the startup packet names.
const USER: &str = "app";
const DATABASE: &str = "shop";
/// Longest value that is buffered until it is complete; a longer one is streamed.
const MAX_BUFFERED_VALUE: usize = 64 * 1024;
/// Longest row that is accepted at all, its lengths included.
pub const MAX_ROW: usize = 8 * 1024 * 1024 + 16;
/// What comes before the value in a row: type, length, number of columns, the value's length.
const ROW_HEAD: usize = 11;
/// Longest value that may be a load report.
const MAX_LOAD_REPORT: usize = 1024;
/// The body of ReadyForQuery outside of a transaction.
const IDLE_TRANSACTION_STATUS: &[u8] = b"I";

/// SQLSTATE codes that tell what became of a query.
mod sqlstate {
    pub const READ_ONLY_TRANSACTION: &str = "25006";
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    pub const CANNOT_CONNECT_NOW: &str = "57P03";
}

/// Whether an error with this SQLSTATE says that the host had no capacity for the query, and has not run it.
pub fn is_rejection(code: &str) -> bool {
    matches!(code, sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The first ReadyForQuery is awaited.
    Startup,
    /// It takes a query.
    Idle,
    /// A query is out, and this much of its response has come.
    Busy(ResponseProgress),
    /// Nothing more is read.
    Closed,
}

/// How far a response has come. Its messages come in this order, each once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseProgress {
    Nothing,
    RowDescription,
    /// A long row is streamed, and so many bytes of it are still to come.
    StreamingRow(usize),
    DataRow,
    /// CommandComplete or ErrorResponse: only ParameterStatus messages and ReadyForQuery are still to come.
    Completed,
}

/// Longest message of a type in this state, by its own length; zero for a type that does not belong there. What is out
/// of place is so known at its first byte, and no length is awaited in vain.
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
        (backend::DATA_ROW, State::Busy(ResponseProgress::RowDescription)) => MAX_BUFFERED_VALUE + ROW_HEAD,
        (backend::COMMAND_COMPLETE, State::Busy(ResponseProgress::DataRow)) => 256,
        _ => 0,
    }
}

/// A host's complete response to a query.
#[derive(Clone, Debug, PartialEq)]
pub struct HostResponse {
    /// What became of the query.
    pub status: ResponseStatus,
    /// The messages that a client gets to see.
    pub rows: Vec<u8>,
    /// The value of its row, if it is short enough for a load report.
    pub value: Option<Vec<u8>>,
    /// The host's role.
    pub role: Option<Role>,
    /// Its position, or a write's commit, as Unix time in milliseconds.
    pub position: Option<f64>,
}

impl HostResponse {
    /// A response with a status and nothing else.
    pub fn empty(status: ResponseStatus) -> HostResponse {
        HostResponse { status, rows: Vec::new(), value: None, role: None, position: None }
    }
}

/// What a host's bytes amount to.
#[derive(Clone, Debug, PartialEq)]
pub enum HostEvent {
    /// The startup is over: it takes a query.
    Ready,
    /// It rejected the connection during the startup, with this SQLSTATE.
    StartupRejected(String),
    /// A long response has begun: [`HostProtocol::take_streamed`] returns what comes of it.
    StreamingStarted,
    /// It has responded to the query; of a response that was streamed this is the rest.
    Response(HostResponse),
    /// It violates the protocol: what came is no response, and the connection is of no use.
    ProtocolViolation,
}

/// What a host sent does not belong there.
struct ProtocolViolation;

/// A connection to a host.
#[derive(Debug)]
pub struct HostProtocol {
    input: ReceiveBuffer,
    /// Bytes for the host.
    pub out: SendBuffer,
    state: State,
    response: HostResponse,
    /// A query is on the connection.
    has_query: bool,
    /// The response is streamed.
    is_streamed: bool,
    /// What the host says of itself beside this response cannot be read.
    has_invalid_status: bool,
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
        };
        codec::write_startup_packet(&mut host.out.bytes, USER, DATABASE);
        host
    }
}

impl HostProtocol {
    /// Whether it takes a query: the last response is complete and nothing is left of it.
    pub fn is_idle(&self) -> bool {
        self.state == State::Idle && self.input.is_empty() && self.out.is_empty()
    }

    /// Puts a query on the connection. False, and nothing is put, unless it is idle.
    #[must_use]
    pub fn send_query(&mut self, text: &str) -> bool {
        let idle = self.is_idle();
        if idle {
            self.response = HostResponse::empty(ResponseStatus::Failed);
            self.has_invalid_status = false;
            self.is_streamed = false;
            self.has_query = true;
            self.state = State::Busy(ResponseProgress::Nothing);
            codec::write_query(&mut self.out.bytes, text);
        }
        idle
    }

    /// Whether its response is being streamed.
    pub fn is_streaming(&self) -> bool {
        self.is_streamed && matches!(self.state, State::Busy(_))
    }

    /// Takes bytes in.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.input.push(bytes);
    }

    /// Whether a response has begun and the rest of it is awaited.
    pub fn has_partial_response(&self) -> bool {
        match self.state {
            State::Busy(ResponseProgress::Nothing) => !self.input.is_empty(),
            State::Busy(_) => true,
            _ => false,
        }
    }

    /// The next thing that the bytes so far amount to; `None` until more come.
    pub fn next_event(&mut self) -> Option<HostEvent> {
        while self.state != State::Closed {
            let state = self.state;
            match state {
                State::Busy(ResponseProgress::RowDescription) if self.starts_streaming() => {
                    return Some(HostEvent::StreamingStarted)
                }
                // Whether a row is too long shows once its head is complete.
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
        self.input.unparsed().first() == Some(&backend::DATA_ROW) && self.input.len() < ROW_HEAD
    }

    /// Whether the head of a long row is there: one column, and lengths that fit. Any other row of its
    /// length violates the protocol.
    fn starts_streaming(&mut self) -> bool {
        let Some((head, _)) = self.input.unparsed().split_first_chunk::<ROW_HEAD>() else { return false };
        let [tag, a, b, c, d, columns @ .., e, f, g, h] = *head;
        let row = u32::from_be_bytes([a, b, c, d]) as usize;
        let value = u32::from_be_bytes([e, f, g, h]) as usize;
        let has_one_column = columns == [0, 1] && row == value.saturating_add(ROW_HEAD - 1);
        let streams =
            tag == backend::DATA_ROW && has_one_column && row <= MAX_ROW && value > MAX_BUFFERED_VALUE;
        if streams {
            self.state = State::Busy(ResponseProgress::StreamingRow(row + 1));
            self.is_streamed = true;
        }
        streams
    }

    /// Moves what has come of a streamed row to the response. False while some of it is still to come.
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

    /// What has come of a response that is streamed, up to the end of its row: CommandComplete is kept back
    /// until all has been checked.
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

    /// An error in place of a response, or of the rest of one.
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

    /// Adds a message to what the client gets to see.
    fn forward(&mut self, message: &Message, progress: ResponseProgress) {
        codec::write_message(&mut self.response.rows, message.tag, &message.body);
        self.state = State::Busy(progress);
    }

    /// Takes the response out. Where the host says something of itself that cannot be read, nothing that it says of itself
    /// counts.
    fn take_response(&mut self) -> HostResponse {
        let empty = HostResponse::empty(ResponseStatus::Failed);
        let response = std::mem::replace(&mut self.response, empty);
        match self.has_invalid_status {
            true => HostResponse { role: None, position: None, ..response },
            false => response,
        }
    }

    /// How far the query has come, if the connection ends now.
    pub fn attempt_progress(&self) -> AttemptProgress {
        match (self.has_query, self.out.is_empty()) {
            (false, _) => AttemptProgress::NotConnected,
            (true, false) => AttemptProgress::PartiallyWritten,
            (true, true) => AttemptProgress::FullyWritten,
        }
    }

    /// The connection has ended: the response, if CommandComplete or ErrorResponse had come. Without that nothing of
    /// it may reach a client.
    pub fn handle_end(&mut self) -> Option<HostResponse> {
        let is_completed = self.state == State::Busy(ResponseProgress::Completed);
        self.state = State::Closed;
        is_completed.then(|| self.take_response())
    }

    fn close(&mut self, event: HostEvent) -> HostEvent {
        self.state = State::Closed;
        event
    }

    /// Notes what the host says of itself.
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
