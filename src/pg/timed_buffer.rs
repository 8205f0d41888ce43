//! A receive buffer that records when each message arrived.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::codec::{FramingError, Message, ReceiveBuffer, StartupPacket};
use crate::Micros;

/// Size of a message's length field, in bytes.
const LENGTH_SIZE: usize = 4;
/// Number of arrivals for which a buffer without messages keeps memory.
const IDLE_CAPACITY: usize = 16;

/// The time at which consecutive messages became complete, and the number of those messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival(pub Micros, pub usize);

/// Received bytes that are not parsed yet, with the arrival of each message among them: the time at which its last byte
/// was received. Messages that became complete at the same time share an entry, and an incomplete message has none. So
/// there are never more entries than complete messages, of at least five bytes each, however the bytes are split.
#[derive(Debug, Default)]
pub struct TimedReceiveBuffer {
    buffer: ReceiveBuffer,
    arrivals: VecDeque<Arrival>,
    /// Number of bytes of the complete messages at the front of the buffer.
    complete_bytes: usize,
    /// The startup packet was received: the messages after it have type bytes.
    is_started: bool,
}

impl TimedReceiveBuffer {
    /// Restores the contents of a buffer of another process, with the arrivals that it recorded. Messages without a
    /// recorded arrival count as having arrived now, and so do messages with an arrival after now.
    pub fn resume(is_started: bool, bytes: &[u8], arrivals: &[Arrival], now: Micros) -> Self {
        let mut resumed = TimedReceiveBuffer { is_started, ..TimedReceiveBuffer::default() };
        resumed.buffer.push(bytes);
        for Arrival(at, count) in arrivals {
            resumed.record_arrivals((*at).min(now), *count);
        }
        resumed.record_arrivals(now, usize::MAX);
        resumed
    }

    /// Adds bytes that were received at `now`.
    pub fn push(&mut self, bytes: &[u8], now: Micros) {
        self.buffer.push(bytes);
        self.record_arrivals(now, usize::MAX);
    }

    /// Allocates the rest of a long message of at most `max_length` bytes that is not complete.
    pub fn reserve_incomplete(&mut self, max_length: usize) {
        self.buffer.reserve_message_at(self.complete_bytes, usize::from(self.is_started), max_length);
    }

    /// Records the arrival of up to `max` messages that have become complete.
    fn record_arrivals(&mut self, at: Micros, max: usize) {
        let mut count = 0;
        while count < max {
            let type_length = usize::from(self.is_started);
            let message = self.buffer.complete_message_at(self.complete_bytes, type_length);
            let Some(message) = message else { break };
            self.is_started = self.is_started
                || StartupPacket::parse(&message[LENGTH_SIZE..]) != Ok(StartupPacket::EncryptionRequest);
            self.complete_bytes += message.len();
            count += 1;
        }
        match self.arrivals.back_mut().filter(|last| last.0 == at) {
            Some(last) => last.1 += count,
            None if count > 0 => self.arrivals.push_back(Arrival(at, count)),
            None => {}
        }
    }

    /// Removes and returns the arrival of the first message, after its `length` bytes were taken from the buffer.
    fn take_arrival(&mut self, length: usize) -> Micros {
        self.complete_bytes -= length;
        // The message was complete, so it has an entry; without one it would count as having arrived long ago.
        let Some(first) = self.arrivals.front_mut() else { return Micros(0) };
        let at = first.0;
        first.1 -= 1;
        if first.1 == 0 {
            self.arrivals.pop_front();
        }
        if self.arrivals.is_empty() {
            self.arrivals.shrink_to(IDLE_CAPACITY);
        }
        at
    }

    /// The arrivals of the complete messages, in the order of the messages.
    pub fn arrivals(&self) -> &VecDeque<Arrival> {
        &self.arrivals
    }

    /// The received bytes that are not parsed yet.
    pub fn unparsed(&self) -> &[u8] {
        self.buffer.unparsed()
    }

    /// Number of bytes that are allocated, those for the arrivals included.
    pub fn allocated(&self) -> usize {
        self.buffer.allocated() + self.arrivals.capacity() * size_of::<Arrival>()
    }

    /// Number of bytes that are not parsed yet.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether all bytes are parsed.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The startup packet, once it is complete.
    ///
    /// # Errors
    /// The packet is too long, or its length or its content is invalid.
    pub fn next_startup_packet(&mut self) -> Result<Option<StartupPacket>, FramingError> {
        let before = self.buffer.len();
        let startup = self.buffer.next_startup_packet()?;
        if startup.is_some() {
            self.take_arrival(before - self.buffer.len());
        }
        Ok(startup)
    }

    /// The next message, of at most `max_length` bytes, and its arrival, once it is complete.
    ///
    /// # Errors
    /// The message is longer, or its length is invalid.
    pub fn next_message(&mut self, max_length: usize) -> Result<Option<(Message, Micros)>, FramingError> {
        let before = self.buffer.len();
        let message = self.buffer.next_message_within(|_| max_length)?;
        Ok(message.map(|message| (message, self.take_arrival(before - self.buffer.len()))))
    }
}
