//! A client's connection, where the gateway speaks as a server: a state machine driven by bytes, from startup through one
//! simple query at a time.

use super::codec::{self, CancelKey, FramingError, Message, SendBuffer, StartupPacket, MAX_MESSAGE};
use super::message_type::{backend, frontend};
use super::timed_buffer::{Arrival, TimedReceiveBuffer};
use crate::Micros;

/// The major version of the protocol.
const PROTOCOL_MAJOR: u16 = 3;
/// Answers an SSLRequest or a GSSENCRequest: without encryption.
const ENCRYPTION_REJECTED: u8 = b'N';
/// The body of NegotiateProtocolVersion: minor version 0, and no option that is not known.
const NEGOTIATED_VERSION: [u8; 8] = [0; 8];
/// The body of AuthenticationOk.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];
/// The ParameterStatus messages of the startup.
const PARAMETERS: [(&str, &str); 4] = [
    ("server_version", "15.0 (dunemount)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("standard_conforming_strings", "on"),
];

/// SQLSTATE codes of the errors that are made here.
mod sqlstate {
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
    pub const CHARACTER_NOT_IN_REPERTOIRE: &str = "22021";
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    pub const PROGRAM_LIMIT_EXCEEDED: &str = "54000";
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The startup packet is awaited.
    Startup,
    /// The next query is awaited.
    Idle,
    /// A query has no answer yet; what is pipelined behind it waits.
    Busy,
    /// After an error in an extended query: all messages are skipped up to its Sync.
    SkippingToSync,
    /// Nothing more is read.
    Closed,
}

/// What a client asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientRequest {
    /// An answer to this query, which arrived at this time: when its last byte was received.
    Query(String, Micros),
    /// The query of the connection with this key cancelled; this connection then closes without an answer.
    Cancel(CancelKey),
    /// The connection closed, once what is to be written has been.
    Close,
}

/// What another process needs to go on with a client that is owed nothing.
#[derive(Debug)]
pub struct ProtocolHandover {
    /// The key with which its query may be cancelled.
    pub key: CancelKey,
    /// It has been greeted.
    pub greeted: bool,
    /// Bytes that were received and not parsed yet.
    pub bytes: Vec<u8>,
    /// When the complete messages among them arrived, on the clock that both processes run on.
    pub arrivals: Vec<Arrival>,
}

/// A client's connection.
#[derive(Debug)]
pub struct ClientProtocol {
    input: TimedReceiveBuffer,
    /// Bytes for the client.
    pub out: SendBuffer,
    state: State,
    /// Longest message that is accepted.
    max_message: usize,
    cancel_key: CancelKey,
}

impl Default for ClientProtocol {
    fn default() -> Self {
        ClientProtocol::new(MAX_MESSAGE, CancelKey::default())
    }
}

impl ClientProtocol {
    /// A connection whose messages may be so long, and whose query may be cancelled with this key.
    pub fn new(max_message: usize, cancel_key: CancelKey) -> Self {
        let (input, out) = (TimedReceiveBuffer::default(), SendBuffer::default());
        ClientProtocol { input, out, state: State::Startup, max_message, cancel_key }
    }

    /// The key with which its query may be cancelled, if the client knows it.
    pub fn cancel_key(&self) -> Option<CancelKey> {
        (self.state != State::Startup).then_some(self.cancel_key)
    }

    /// A client of another process. Messages whose arrival that did not tell count as having arrived now.
    pub fn resume(max_message: usize, from: ProtocolHandover, now: Micros) -> Self {
        let mut client = ClientProtocol::new(max_message, from.key);
        if from.greeted {
            client.state = State::Idle;
        }
        client.input = TimedReceiveBuffer::resume(from.greeted, &from.bytes, &from.arrivals, now);
        client
    }

    /// What [`ClientProtocol::resume`] needs, unless the client is owed something or is about to end.
    pub fn to_handover(&self) -> Option<ProtocolHandover> {
        let owed_nothing = matches!(self.state, State::Startup | State::Idle) && self.out.is_empty();
        owed_nothing.then(|| ProtocolHandover {
            key: self.cancel_key,
            greeted: self.state == State::Idle,
            bytes: self.input.unparsed().to_vec(),
            arrivals: self.input.arrivals().iter().copied().collect(),
        })
    }

    /// Takes bytes in that are read now. What the system held before is not known here: bytes that were not read
    /// since more than is held had come count from when they are.
    pub fn receive(&mut self, bytes: &[u8], now: Micros) {
        if self.state != State::Closed {
            self.input.push(bytes, now);
        }
    }

    /// Whether more bytes are to be read: pipelined queries, and answers that the client does not read, are held up to
    /// the longest message.
    pub fn wants_read(&self) -> bool {
        self.state != State::Closed
            && self.input.len() <= self.max_message
            && self.out.len() <= self.max_message
    }

    /// Whether a query has no answer yet.
    pub fn is_busy(&self) -> bool {
        self.state == State::Busy
    }

    /// Whether a message has begun and the rest of it is awaited.
    pub fn has_partial_message(&self) -> bool {
        !matches!(self.state, State::Busy | State::Closed) && !self.input.is_empty()
    }

    /// Whether it may be closed without loss: nothing owed, nothing partially read, nothing partially written.
    pub fn is_idle(&self) -> bool {
        self.state != State::Busy && self.input.is_empty() && self.out.is_empty()
    }

    /// The next thing that the client asks for; `None` until more bytes come, or while an answer is owed.
    pub fn next_request(&mut self) -> Option<ClientRequest> {
        loop {
            let step = match self.state {
                State::Startup => self.handle_startup(),
                State::Idle | State::SkippingToSync => self.handle_message(),
                State::Busy | State::Closed => return None,
            };
            match step {
                Ok(Step::Continue) => {}
                Ok(Step::AwaitBytes) => return None,
                Ok(Step::Request(request)) => return Some(request),
                Err(FramingError::TooLong) => {
                    return Some(self.close_with_error(sqlstate::PROGRAM_LIMIT_EXCEEDED, "message too long"))
                }
                Err(FramingError::InvalidLength) => {
                    return Some(
                        self.close_with_error(sqlstate::PROTOCOL_VIOLATION, "invalid message length"),
                    )
                }
            }
        }
    }

    fn handle_startup(&mut self) -> Result<Step, FramingError> {
        let Some(startup) = self.input.next_startup_packet()? else { return Ok(Step::AwaitBytes) };
        match startup {
            StartupPacket::EncryptionRequest => self.out.bytes.push(ENCRYPTION_REJECTED),
            StartupPacket::CancelRequest(key) => {
                self.state = State::Closed;
                return Ok(Step::Request(ClientRequest::Cancel(key)));
            }
            StartupPacket::Session(PROTOCOL_MAJOR, minor) => self.greet(minor),
            StartupPacket::Session(..) => {
                let error =
                    self.close_with_error(sqlstate::PROTOCOL_VIOLATION, "unsupported protocol version");
                return Ok(Step::Request(error));
            }
        }
        Ok(Step::Continue)
    }

    /// Accepts a client that asked for this minor version.
    fn greet(&mut self, minor: u16) {
        let out = &mut self.out.bytes;
        if minor > 0 {
            codec::write_message(out, backend::NEGOTIATE_PROTOCOL_VERSION, &NEGOTIATED_VERSION);
        }
        codec::write_message(out, backend::AUTHENTICATION, &AUTHENTICATION_OK);
        for (name, value) in PARAMETERS {
            codec::write_parameter_status(out, name, value);
        }
        codec::write_backend_key_data(out, self.cancel_key);
        self.ready_for_query();
    }

    fn handle_message(&mut self) -> Result<Step, FramingError> {
        let Some((message, arrived)) = self.input.next_message(self.max_message)? else {
            return Ok(Step::AwaitBytes);
        };
        Ok(match (message.tag, self.state) {
            (frontend::TERMINATE, _) => {
                self.state = State::Closed;
                Step::Request(ClientRequest::Close)
            }
            (frontend::SYNC, _) => {
                self.ready_for_query();
                Step::Continue
            }
            (_, State::SkippingToSync) => Step::Continue,
            (frontend::QUERY, _) => self.handle_query(message.body, arrived),
            (frontend::FUNCTION_CALL, _) => {
                self.reject_extended_query();
                self.ready_for_query();
                Step::Continue
            }
            _ if is_extended_query(&message) => {
                self.reject_extended_query();
                self.state = State::SkippingToSync;
                Step::Continue
            }
            _ => Step::Request(self.close_with_error(sqlstate::PROTOCOL_VIOLATION, "unknown message type")),
        })
    }

    fn handle_query(&mut self, mut body: Vec<u8>, arrived: Micros) -> Step {
        if body.pop() != Some(0) || body.contains(&0) {
            let message = "query does not end where it should";
            return Step::Request(self.close_with_error(sqlstate::PROTOCOL_VIOLATION, message));
        }
        self.state = State::Busy;
        match String::from_utf8(body) {
            Ok(text) if text.trim_matches([' ', '\t', '\r', '\n', ';']).is_empty() => {
                codec::write_message(&mut self.out.bytes, backend::EMPTY_QUERY_RESPONSE, &[]);
                self.ready_for_query();
                Step::Continue
            }
            Ok(text) => Step::Request(ClientRequest::Query(text, arrived)),
            Err(_) => {
                self.send_error(sqlstate::CHARACTER_NOT_IN_REPERTOIRE, "statement is not UTF-8");
                Step::Continue
            }
        }
    }

    fn reject_extended_query(&mut self) {
        let message = "only simple queries are served";
        codec::write_error_response(
            &mut self.out.bytes,
            "ERROR",
            sqlstate::FEATURE_NOT_SUPPORTED,
            message,
            None,
        );
    }

    /// Answers the query with a host's messages, as they came.
    pub fn send_rows(&mut self, rows: &[u8]) {
        self.out.bytes.extend_from_slice(rows);
        self.ready_for_query();
    }

    /// Rejects the query: a retry is harmless, after the given time if there is one.
    pub fn reject(&mut self, retry_after: Option<Micros>) {
        let retry_after_ms = retry_after.map(|wait| wait.0.div_ceil(1000).to_string());
        let (out, message) = (&mut self.out.bytes, "refused, try again");
        codec::write_error_response(
            out,
            "ERROR",
            sqlstate::TOO_MANY_CONNECTIONS,
            message,
            retry_after_ms.as_deref(),
        );
        self.ready_for_query();
    }

    /// Answers the query with an error.
    pub fn send_error(&mut self, code: &str, message: &str) {
        codec::write_error_response(&mut self.out.bytes, "ERROR", code, message, None);
        self.ready_for_query();
    }

    fn ready_for_query(&mut self) {
        codec::write_ready_for_query(&mut self.out.bytes);
        self.state = State::Idle;
    }

    /// Closes the connection with an error, once that has been written.
    pub fn close_with_error(&mut self, code: &str, message: &str) -> ClientRequest {
        codec::write_error_response(&mut self.out.bytes, "FATAL", code, message, None);
        self.state = State::Closed;
        ClientRequest::Close
    }
}

fn is_extended_query(message: &Message) -> bool {
    matches!(
        message.tag,
        frontend::PARSE
            | frontend::BIND
            | frontend::DESCRIBE
            | frontend::EXECUTE
            | frontend::CLOSE
            | frontend::FLUSH
    )
}

/// What comes of handling a message.
enum Step {
    /// The next message may be handled.
    Continue,
    /// No message is complete.
    AwaitBytes,
    /// The client asks for something.
    Request(ClientRequest),
}
