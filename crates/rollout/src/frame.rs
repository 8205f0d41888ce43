//! Frames: a length in four bytes (big endian), and a message of that many bytes.

use std::sync::Arc;

use crate::file_format::decode_exact;
use crate::wire::Message;

/// Longest message in a frame, in bytes: a status with the most gateways and members that it names.
pub const MAX_FRAME_BYTES: usize = 768 * 1024;
/// Bytes of the length in front of a message.
const LENGTH_BYTES: usize = 4;
/// Memory that an empty reader keeps for the next frames, in bytes.
const IDLE_BUFFER_BYTES: usize = 4_096;

/// Why received bytes are no frame. The connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame is longer than the reader's limit.
    #[error("a frame that is too long")]
    TooLong,
    /// The frame contains no message, or one that exceeds its limits.
    #[error("a frame without a valid message")]
    InvalidMessage,
}

/// The frame of a message. The receiver closes the connection if the message exceeds its limits.
pub fn encode_frame(message: &Message) -> Arc<[u8]> {
    // Writing into a vector cannot fail.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(&body);
    frame.into()
}

/// Collects the bytes of a connection until they are a frame. It holds at most one frame and what one read adds.
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
    /// A reader of frames up to a limit, so that a sender of short messages cannot make it hold long ones.
    pub fn new(max_frame_bytes: usize) -> FrameReader {
        FrameReader { bytes: Vec::new(), consumed: 0, max_frame_bytes: max_frame_bytes.min(MAX_FRAME_BYTES) }
    }

    /// Sets the limit of the frames that follow.
    pub fn set_max_frame_bytes(&mut self, max_frame_bytes: usize) {
        self.max_frame_bytes = max_frame_bytes.min(MAX_FRAME_BYTES);
    }

    /// Adds received bytes. [`FrameReader::next_message`] has to be called until it returns none.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next complete message.
    ///
    /// # Errors
    /// The bytes are no frame, and the connection has to be closed.
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
