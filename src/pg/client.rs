//! The server side of the protocol on a client's connection: a state machine driven by bytes that handles the startup
//! and then one simple query at a time.

use super::codec::{self, CancelKey, FramingError, Message, SendBuffer, StartupPacket, MAX_MESSAGE};
use super::message_type::{backend, frontend};
use super::timed_buffer::{Arrival, TimedReceiveBuffer};
use crate::Micros;

/// The major version of the protocol.
const PROTOCOL_MAJOR: u16 = 3;
/// A client's next message waits while this many bytes of answers are pending: some messages of five bytes are answered
/// with a hundred.
pub const MAX_PENDING_OUTPUT: usize = 8 * 1024;
/// The answer to an SSLRequest or a GSSENCRequest: encryption is not supported.
const ENCRYPTION_REJECTED: u8 = b'N';
/// The body of NegotiateProtocolVersion: minor version 0, and no unrecognized options.
const NEGOTIATED_VERSION: [u8; 8] = [0; 8];
/// The body of AuthenticationOk.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];
/// Names and values of the ParameterStatus messages of the startup.
const PARAMETERS: [(&str, &str); 4] = [
    ("server_version", "15.0 (dunemount)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("standard_conforming_strings", "on"),
];

/// SQLSTATE codes of the errors that originate here.
mod sqlstate {
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
    pub const CHARACTER_NOT_IN_REPERTOIRE: &str = "22021";
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    pub const PROGRAM_LIMIT_EXCEEDED: &str = "54000";
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waiting for the startup packet.
    Startup,
    /// Waiting for the next query.
    Idle,
    /// A query has not been answered yet; messages that are pipelined behind it wait.
    Busy,
    /// After an error in an extended query: all messages are skipped up to its Sync.
    SkippingToSync,
    /// No more bytes are read.
    Closed,
}

/// A request of a client to the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientRequest {
    /// Answer this query. The time is its arrival, when its last byte was received.
    Query(String, Micros),
    /// Cancel the query of the connection with this key; this connection is then closed without an answer.
    Cancel(CancelKey),
    /// Close the connection once all pending bytes are written.
    Close,
}

/// The state with which another process continues a client's connection that has no query in progress.
#[derive(Debug)]
pub struct ProtocolHandover {
    /// The key with which the client may cancel its query.
    pub key: CancelKey,
    /// Whether the startup is complete.
    pub greeted: bool,
    /// Received bytes that are not parsed yet.
    pub bytes: Vec<u8>,
    /// The arrivals of the complete messages among them, on the clock that both processes share.
    pub arrivals: Vec<Arrival>,
}

/// The protocol state of a client's connection.
#[derive(Debug)]
pub struct ClientProtocol {
    input: TimedReceiveBuffer,
    /// Bytes to be sent to the client.
    pub out: SendBuffer,
    state: State,
    /// Longest message that is accepted, in bytes.
    max_message: usize,
    cancel_key: CancelKey,
}

impl Default for ClientProtocol {
    fn default() -> Self {
        ClientProtocol::new(MAX_MESSAGE, CancelKey::default())
    }
}

impl ClientProtocol {
    /// A new connection with messages of at most `max_message` bytes, and a key with which its query may be cancelled.
    pub fn new(max_message: usize, cancel_key: CancelKey) -> Self {
        let (input, out) = (TimedReceiveBuffer::default(), SendBuffer::default());
        ClientProtocol { input, out, state: State::Startup, max_message, cancel_key }
    }

    /// The key with which the client may cancel its query; `None` until the startup has sent it.
    pub fn cancel_key(&self) -> Option<CancelKey> {
        (self.state != State::Startup).then_some(self.cancel_key)
    }

    /// Continues the connection of another process. Messages without a recorded arrival count as having arrived now.
    pub fn resume(max_message: usize, from: ProtocolHandover, now: Micros) -> Self {
        let mut client = ClientProtocol::new(max_message, from.key);
        if from.greeted {
            client.state = State::Idle;
        }
        client.input = TimedReceiveBuffer::resume(from.greeted, &from.bytes, &from.arrivals, now);
        client
    }

    /// The state for [`ClientProtocol::resume`]; `None` if a query or bytes for the client are pending, an extended
    /// query is being skipped, or the connection is closing.
    pub fn to_handover(&self) -> Option<ProtocolHandover> {
        let is_settled = matches!(self.state, State::Startup | State::Idle) && self.out.is_empty();
        is_settled.then(|| ProtocolHandover {
            key: self.cancel_key,
            greeted: self.state == State::Idle,
            bytes: self.input.unparsed().to_vec(),
            arrivals: self.input.arrivals().iter().copied().collect(),
        })
    }

    /// Adds bytes that are read at `now`. The time at which bytes reached the kernel's socket buffer is unknown: bytes
    /// that were left unread because the input limit was reached count from when they are read.
    pub fn receive(&mut self, bytes: &[u8], now: Micros) {
        if self.state != State::Closed {
            self.input.push(bytes, now);
            self.input.reserve_incomplete(self.max_message);
        }
    }

    /// Whether more bytes should be read: pipelined queries are buffered up to the length of the longest message, or up
    /// to `read_ahead` bytes if that is more, and answers that the client does not read up to the former.
    pub fn wants_read(&self, read_ahead: usize) -> bool {
        self.state != State::Closed
            && self.input.len() <= self.max_message.max(read_ahead)
            && self.out.len() <= self.max_message
    }

    /// Number of bytes that are allocated for input.
    pub fn allocated_input(&self) -> usize {
        self.input.allocated()
    }

    /// Number of received bytes that are not parsed yet.
    pub fn unparsed_input(&self) -> usize {
        self.input.len()
    }

    /// Whether a query is in progress.
    pub fn is_busy(&self) -> bool {
        self.state == State::Busy
    }

    /// Whether part of a message was received and the rest of it is missing.
    pub fn has_partial_message(&self) -> bool {
        !matches!(self.state, State::Busy | State::Closed)
            && !self.input.is_empty()
            && self.out.len() < MAX_PENDING_OUTPUT
    }

    /// Whether received messages wait until the client has read its answers.
    pub fn awaits_reading(&self) -> bool {
        !self.input.is_empty() && self.out.len() >= MAX_PENDING_OUTPUT
    }

    /// Whether the connection may be closed without loss: no query in progress, no unparsed input, no pending output.
    pub fn is_idle(&self) -> bool {
        self.state != State::Busy && self.input.is_empty() && self.out.is_empty()
    }

    /// The client's next request; `None` until more bytes are received, while a query is in progress, and while the
    /// client has to read its answers first.
    pub fn next_request(&mut self) -> Option<ClientRequest> {
        while self.out.len() < MAX_PENDING_OUTPUT {
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
        None
    }

    fn handle_startup(&mut self) -> Result<Step, FramingError> {
        let Some(startup) = self.input.next_startup_packet()? else { return Ok(Step::AwaitBytes) };
        match startup {
            StartupPacket::EncryptionRequest => self.out.bytes.push(ENCRYPTION_REJECTED),
            StartupPacket::CancelRequest(key) => {
                self.state = State::Closed;
                return Ok(Step::Request(ClientRequest::Cancel(key)));
            }
            StartupPacket::Session(PROTOCOL_MAJOR, minor) => self.accept_session(minor),
            StartupPacket::Session(..) => {
                let error =
                    self.close_with_error(sqlstate::PROTOCOL_VIOLATION, "unsupported protocol version");
                return Ok(Step::Request(error));
            }
        }
        Ok(Step::Continue)
    }

    /// Accepts a client that requested this minor version.
    fn accept_session(&mut self, minor: u16) {
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

    /// Answers the query with a host's messages, unchanged.
    pub fn send_rows(&mut self, rows: &[u8]) {
        self.out.push(rows);
        self.ready_for_query();
    }

    /// Rejects the query. The client may safely retry it, after `retry_after` if that is given.
    pub fn reject(&mut self, retry_after: Option<Micros>) {
        let retry_after_ms = retry_after.map(|delay| delay.0.div_ceil(1000).to_string());
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

    /// Sends an error and closes the connection once it is written.
    pub fn close_with_error(&mut self, code: &str, message: &str) -> ClientRequest {
        codec::write_error_response(&mut self.out.bytes, "FATAL", code, message, None);
        self.input = TimedReceiveBuffer::default();
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

/// The result of handling input.
enum Step {
    /// Continue with the next message.
    Continue,
    /// Wait for more bytes: no message is complete.
    AwaitBytes,
    /// The client has a request.
    Request(ClientRequest),
}
