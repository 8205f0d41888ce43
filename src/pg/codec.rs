//! Messages of protocol version 3: splitting a byte stream into messages, writing them, and reading the fields that the
//! gateway uses.

use std::io::{self, Write};

use super::message_type::{backend, frontend};
use crate::shortage::should_try_later;

/// Longest message that is always accepted, in bytes: a value of 64 KiB in hexadecimal, with room for the statement
/// around it. Longer messages are accepted where there is memory for them.
pub const MAX_MESSAGE: usize = 144 * 1024;
/// Most bytes that a send buffer keeps after they are written, in front of the bytes still to be written.
const MAX_WRITTEN: usize = 32 * 1024;
/// Longest startup packet, in bytes: the limit of PostgreSQL itself.
const MAX_STARTUP_PACKET: usize = 10_000;

/// A buffer above this number of bytes grows by its length divided by `GROWTH_DIVISOR`.
const LONG_BUFFER: usize = 16 * 1024;
const GROWTH_DIVISOR: usize = 4;
/// Capacity that an empty buffer keeps, in bytes.
const IDLE_CAPACITY: usize = 4096;
/// Size of a message's length field, in bytes.
const LENGTH_SIZE: usize = 4;

/// Version 3.0 as encoded in a startup packet: the major version in the upper 16 bits.
const PROTOCOL_VERSION: u32 = 3 << 16;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;
/// Length of a CancelRequest, its length field included.
const CANCEL_REQUEST_LENGTH: u32 = 16;

/// Why received bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// The length field is above the limit for the message.
    #[error("message too long")]
    TooLong,
    /// The length field is invalid, or does not fit the type of the packet.
    #[error("invalid message length")]
    InvalidLength,
}

/// BackendKeyData: identifies a connection, and authorises a client to cancel its query. The field names are part of
/// the handover message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CancelKey {
    /// The process id, which in PostgreSQL is that of the server process.
    pub process: u32,
    /// Secret that only the client of this connection knows.
    pub secret: u32,
}

/// The first packet of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// StartupMessage: a session in this major and minor protocol version.
    Session(u16, u16),
    /// SSLRequest or GSSENCRequest: the client requests encryption before the session.
    EncryptionRequest,
    /// CancelRequest: cancels the query of the connection that was given this key.
    CancelRequest(CancelKey),
}

impl StartupPacket {
    /// Parses a packet's body.
    ///
    /// # Errors
    /// The body is too short, or its length does not fit its type.
    pub fn parse(body: &[u8]) -> Result<StartupPacket, FramingError> {
        let Some(code) = body.first_chunk::<4>().map(|code| u32::from_be_bytes(*code)) else {
            return Err(FramingError::InvalidLength);
        };
        Ok(match code {
            SSL_REQUEST | GSS_REQUEST => StartupPacket::EncryptionRequest,
            CANCEL_REQUEST => {
                let key: &[u8; 8] = body[4..].try_into().map_err(|_| FramingError::InvalidLength)?;
                let [a, b, c, d, e, f, g, h] = *key;
                let process = u32::from_be_bytes([a, b, c, d]);
                StartupPacket::CancelRequest(CancelKey { process, secret: u32::from_be_bytes([e, f, g, h]) })
            }
            _ => StartupPacket::Session((code >> 16) as u16, code as u16),
        })
    }
}

/// A message: its type byte, and the body that follows the length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The type byte.
    pub tag: u8,
    /// The body.
    pub body: Vec<u8>,
}

/// Reads the length field at an offset; the length includes the field itself. `None` until the field is complete.
fn length_at(bytes: &[u8], offset: usize) -> Result<Option<usize>, FramingError> {
    let Some(length) = bytes.get(offset..).and_then(|rest| rest.first_chunk::<4>()) else { return Ok(None) };
    let length = usize::try_from(i32::from_be_bytes(*length)).map_err(|_| FramingError::InvalidLength)?;
    match length {
        0..4 => Err(FramingError::InvalidLength),
        _ => Ok(Some(length)),
    }
}

/// Adds bytes to a buffer. A long buffer grows by a quarter at a time: doubled, it would hold up to twice its bytes.
fn append(buffer: &mut Vec<u8>, bytes: &[u8]) {
    let needed = buffer.len() + bytes.len();
    if needed > buffer.capacity() && needed > LONG_BUFFER {
        buffer.reserve_exact(bytes.len().max(buffer.len() / GROWTH_DIVISOR));
    }
    buffer.extend_from_slice(bytes);
}

/// Empties a buffer. Large values are rare, so an idle connection does not keep memory for them. A long buffer is given
/// back as a whole: what is left of one that shrinks keeps the allocator from returning the memory around it.
fn empty(buffer: &mut Vec<u8>) {
    if buffer.capacity() > IDLE_CAPACITY {
        *buffer = Vec::new();
    } else {
        buffer.clear();
    }
}

/// Received bytes that are not parsed yet.
#[derive(Debug, Default)]
pub struct ReceiveBuffer {
    bytes: Vec<u8>,
    parsed: usize,
}

impl ReceiveBuffer {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        // Moving the rest for each few bytes that are parsed would cost more the longer it is.
        if self.parsed > self.bytes.len() / 2 {
            self.bytes.drain(..self.parsed);
            self.parsed = 0;
            self.bytes.shrink_to(IDLE_CAPACITY.max(2 * self.bytes.len()));
        }
        append(&mut self.bytes, bytes);
    }

    /// Number of bytes that are allocated.
    pub fn allocated(&self) -> usize {
        self.bytes.capacity()
    }

    /// Allocates the rest of the message that begins at an offset, with `type_length` bytes before its length field, if
    /// a long part of it has been received and it is no longer than `max_length`: a buffer that grows with it would
    /// leave gaps of many sizes in the memory.
    pub fn reserve_message_at(&mut self, offset: usize, type_length: usize, max_length: usize) {
        let received = self.unparsed().get(offset..).unwrap_or_default();
        let Ok(Some(length)) = length_at(received, type_length) else { return };
        if received.len() > LONG_BUFFER && length <= max_length {
            let missing = (type_length + length).saturating_sub(received.len());
            self.bytes.reserve_exact(missing);
        }
    }

    /// The received bytes that are not parsed yet.
    pub fn unparsed(&self) -> &[u8] {
        &self.bytes[self.parsed..]
    }

    /// Number of bytes that are not parsed yet.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.parsed
    }

    /// Whether all bytes are parsed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The startup packet, once it is complete.
    ///
    /// # Errors
    /// The packet is too long, or its length or its content is invalid.
    pub fn next_startup_packet(&mut self) -> Result<Option<StartupPacket>, FramingError> {
        let Some(body) = self.take_body(0, MAX_STARTUP_PACKET)? else { return Ok(None) };
        StartupPacket::parse(&body).map(Some)
    }

    /// The complete message that begins at an offset, with `type_length` bytes before its length field; `None` while
    /// the message is incomplete, and if its length is invalid.
    pub fn complete_message_at(&self, offset: usize, type_length: usize) -> Option<&[u8]> {
        let bytes = self.unparsed().get(offset..)?;
        let length = length_at(bytes, type_length).ok()??;
        bytes.get(..type_length + length)
    }

    /// Takes up to `max` bytes out of the buffer, without parsing them.
    pub fn take_up_to(&mut self, max: usize) -> &[u8] {
        let count = max.min(self.len());
        self.parsed += count;
        &self.bytes[self.parsed - count..self.parsed]
    }

    /// The next message, once it is complete.
    ///
    /// # Errors
    /// The message is longer than [`MAX_MESSAGE`], or its length is invalid.
    pub fn next_message(&mut self) -> Result<Option<Message>, FramingError> {
        self.next_message_within(|_| MAX_MESSAGE)
    }

    /// The next message, once it is complete. `max_length` gives the longest length for each type; a type for which
    /// that is zero is rejected as soon as its type byte is received.
    ///
    /// # Errors
    /// The message is longer, or its length is invalid.
    pub fn next_message_within(
        &mut self,
        max_length: impl Fn(u8) -> usize,
    ) -> Result<Option<Message>, FramingError> {
        let Some(tag) = self.bytes.get(self.parsed).copied() else { return Ok(None) };
        let max_length = max_length(tag);
        if max_length == 0 {
            return Err(FramingError::TooLong);
        }
        Ok(self.take_body(1, max_length)?.map(|body| Message { tag, body }))
    }

    /// Takes the body of the first message, with `type_length` bytes before its length field, out of the buffer. The
    /// length is checked before the rest is received, so that a message that is too long is rejected at once.
    fn take_body(&mut self, type_length: usize, max_length: usize) -> Result<Option<Vec<u8>>, FramingError> {
        let unparsed = &self.bytes[self.parsed..];
        let Some(length) = length_at(unparsed, type_length)? else { return Ok(None) };
        if length > max_length {
            return Err(FramingError::TooLong);
        }
        let Some(body) = unparsed.get(type_length + LENGTH_SIZE..type_length + length).map(<[u8]>::to_vec)
        else {
            return Ok(None);
        };
        self.parsed += type_length + length;
        if self.parsed == self.bytes.len() {
            self.parsed = 0;
            empty(&mut self.bytes);
        }
        Ok(Some(body))
    }
}

/// Bytes to be sent.
#[derive(Debug, Default)]
pub struct SendBuffer {
    /// All buffered bytes, including those already written.
    pub bytes: Vec<u8>,
    written: usize,
}

impl SendBuffer {
    /// Number of bytes still to be written.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.written
    }

    /// Number of bytes that are allocated.
    pub fn allocated(&self) -> usize {
        self.bytes.capacity()
    }

    /// Adds bytes to be sent.
    pub fn push(&mut self, bytes: &[u8]) {
        append(&mut self.bytes, bytes);
    }

    /// Whether everything has been written.
    pub fn is_empty(&self) -> bool {
        self.written == self.bytes.len()
    }

    /// Writes as many bytes as possible without blocking. True once everything is written.
    ///
    /// # Errors
    /// The connection failed.
    pub fn flush(&mut self, to: &mut impl Write) -> io::Result<bool> {
        while self.written < self.bytes.len() {
            match to.write(&self.bytes[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(e) if should_try_later(&e) => {
                    // While a value is streamed, more bytes are added: drop those already written.
                    if self.written > MAX_WRITTEN {
                        self.bytes.drain(..self.written);
                        self.written = 0;
                    }
                    return Ok(false);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        empty(&mut self.bytes);
        self.written = 0;
        Ok(true)
    }
}

impl From<Vec<u8>> for SendBuffer {
    fn from(bytes: Vec<u8>) -> Self {
        SendBuffer { bytes, written: 0 }
    }
}

/// Writes a message.
pub fn write_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&((body.len() + LENGTH_SIZE) as u32).to_be_bytes());
    out.extend_from_slice(body);
}

/// Writes a StartupMessage.
pub fn write_startup_packet(out: &mut Vec<u8>, user: &str, database: &str) {
    let mut body = PROTOCOL_VERSION.to_be_bytes().to_vec();
    for word in ["user", user, "database", database, ""] {
        body.extend_from_slice(word.as_bytes());
        body.push(0);
    }
    out.extend_from_slice(&((body.len() + LENGTH_SIZE) as u32).to_be_bytes());
    out.extend_from_slice(&body);
}

/// Writes a Query.
pub fn write_query(out: &mut Vec<u8>, text: &str) {
    let length = LENGTH_SIZE + text.len() + 1;
    out.reserve_exact(1 + length);
    out.push(frontend::QUERY);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

/// Writes a ParameterStatus.
pub fn write_parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    write_message(out, backend::PARAMETER_STATUS, format!("{name}\0{value}\0").as_bytes());
}

/// Writes an ErrorResponse with its fields for severity, SQLSTATE, message and, if given, detail.
pub fn write_error_response(
    out: &mut Vec<u8>,
    severity: &str,
    sqlstate: &str,
    message: &str,
    detail: Option<&str>,
) {
    let mut body = format!("S{severity}\0V{severity}\0C{sqlstate}\0M{message}\0");
    if let Some(detail) = detail {
        body.push_str(&format!("D{detail}\0"));
    }
    body.push('\0');
    write_message(out, backend::ERROR_RESPONSE, body.as_bytes());
}

/// Writes a BackendKeyData.
pub fn write_backend_key_data(out: &mut Vec<u8>, key: CancelKey) {
    write_message(
        out,
        backend::BACKEND_KEY_DATA,
        &[key.process.to_be_bytes(), key.secret.to_be_bytes()].concat(),
    );
}

/// Writes a CancelRequest for the connection with this key.
pub fn write_cancel_request(out: &mut Vec<u8>, key: CancelKey) {
    for word in [CANCEL_REQUEST_LENGTH, CANCEL_REQUEST, key.process, key.secret] {
        out.extend_from_slice(&word.to_be_bytes());
    }
}

/// Writes a ReadyForQuery with the status of an idle connection, outside a transaction.
pub fn write_ready_for_query(out: &mut Vec<u8>) {
    write_message(out, backend::READY_FOR_QUERY, b"I");
}

/// The value of a field of an ErrorResponse or NoticeResponse.
pub fn error_field(body: &[u8], field: u8) -> Option<&str> {
    let found = body.split(|byte| *byte == 0).find(|part| part.first() == Some(&field))?;
    std::str::from_utf8(&found[1..]).ok()
}

/// The SQLSTATE of a well-formed ErrorResponse: every field is terminated, the last one is empty, and a code is
/// present.
pub fn sqlstate(body: &[u8]) -> Option<&str> {
    let code = error_field(body, b'C').filter(|_| body.ends_with(&[0, 0]))?;
    (code.len() == 5 && code.bytes().all(|byte| byte.is_ascii_alphanumeric())).then_some(code)
}

/// Name and value of a ParameterStatus, if the message is well formed.
pub fn parse_parameter_status(body: &[u8]) -> Option<(&str, &str)> {
    let text = std::str::from_utf8(body.strip_suffix(&[0])?).ok()?;
    text.split_once('\0').filter(|(_, value)| !value.contains('\0'))
}

/// Whether the body of a RowDescription describes exactly one column.
pub fn describes_single_column(body: &[u8]) -> bool {
    let name_ends = body.iter().skip(2).position(|byte| *byte == 0).map(|at| at + 3);
    body.starts_with(&[0, 1]) && name_ends.is_some_and(|end| body.len() == end + 18)
}

/// The value of a DataRow with one column, if the length matches the body.
pub fn single_column_value(body: &[u8]) -> Option<&[u8]> {
    let value = body.strip_prefix(&[0, 1])?;
    let length = u32::from_be_bytes(*value.first_chunk()?);
    value.get(4..).filter(|value| value.len() == length as usize)
}
