//! Frames: a message with its length in front, as four bytes in big-endian order.

use std::sync::Arc;

use crate::file_format::decode_exact;
use crate::wire::Message;

/// Longest message in a frame, in bytes: enough for a status with [`crate::wire::MAX_GATEWAYS`] gateways and members.
pub const MAX_FRAME_BYTES: usize = 768 * 1024;
/// Size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;
/// Buffer capacity that an empty reader keeps for the next frames, in bytes.
const IDLE_BUFFER_BYTES: usize = 4_096;

/// Why received bytes are not a valid frame. The connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame is longer than the reader's limit.
    #[error("a frame exceeds the length limit")]
    TooLong,
    /// The frame contains no message, or a message that exceeds its limits.
    #[error("a frame does not contain a valid message")]
    InvalidMessage,
}

/// Encodes a message as a frame. Limits are not checked here: the receiver closes the connection if the message exceeds
/// them.
pub fn encode_frame(message: &Message) -> Arc<[u8]> {
    // Encoding into a vector cannot fail.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(&body);
    frame.into()
}

/// Buffers the bytes of a connection until they form a frame. It holds at most one frame and the bytes of one read.
#[derive(Debug)]
pub struct FrameReader {
    bytes: Vec<u8>,
    /// Bytes at the front that have been decoded.
    consumed: usize,
    max_frame_bytes: usize,
}

impl Default for FrameReader {
    fn default() -> Self {
        FrameReader::new(MAX_FRAME_BYTES)
    }
}

impl FrameReader {
    /// Creates a reader of frames up to a limit, so that a peer that sends only short messages cannot make the reader
    /// buffer long ones. The limit is at most [`MAX_FRAME_BYTES`].
    pub fn new(max_frame_bytes: usize) -> FrameReader {
        FrameReader { bytes: Vec::new(), consumed: 0, max_frame_bytes: max_frame_bytes.min(MAX_FRAME_BYTES) }
    }

    /// Sets the length limit of the frames that follow.
    pub fn set_max_frame_bytes(&mut self, max_frame_bytes: usize) {
        self.max_frame_bytes = max_frame_bytes.min(MAX_FRAME_BYTES);
    }

    /// Adds received bytes. [`FrameReader::next_message`] has to be called until it returns `None`.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Decodes the next message; `None` if no frame is complete yet.
    ///
    /// # Errors
    /// The bytes are not a valid frame, and the connection has to be closed.
    pub fn next_message(&mut self) -> Result<Option<Message>, FrameError> {
        let unread = self.bytes.get(self.consumed..).unwrap_or_default();
        let Some((length, rest)) = unread.split_first_chunk::<LENGTH_BYTES>() else {
            self.discard_consumed();
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > self.max_frame_bytes {
            return Err(FrameError::TooLong);
        }
        let Some(body) = rest.get(..length) else {
            self.discard_consumed();
            return Ok(None);
        };
        self.consumed += LENGTH_BYTES + length;
        decode_exact(body).filter(Message::is_within_limits).map(Some).ok_or(FrameError::InvalidMessage)
    }

    fn discard_consumed(&mut self) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        if self.bytes.is_empty() {
            self.bytes.shrink_to(IDLE_BUFFER_BYTES);
        }
    }
}
