//! A receive buffer that knows when each message arrived.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::codec::{FramingError, Message, ReceiveBuffer, StartupPacket};
use crate::Micros;

/// Bytes of a message's length.
const LENGTH: usize = 4;
/// Entries that a buffer without messages keeps memory for.
const IDLE_CAPACITY: usize = 16;

/// When messages were complete, and how many in a row were at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival(pub Micros, pub usize);

/// Bytes that were received and not parsed yet, and the arrival of each message among them: when its last byte was
/// received. Messages that were complete at one time share an entry, and one of which the rest is awaited has none:
/// whatever pieces they come in, there are no more entries than complete messages, of five bytes at least.
#[derive(Debug, Default)]
pub struct TimedReceiveBuffer {
    buffer: ReceiveBuffer,
    arrivals: VecDeque<Arrival>,
    /// Bytes of the complete messages, which stand in front.
    complete_bytes: usize,
    /// The startup packet has come: messages behind it have type bytes.
    is_started: bool,
}

impl TimedReceiveBuffer {
    /// What another buffer held, and the arrivals that it told: as many as it knew. The rest counts as having
    /// arrived now, and nothing as having arrived later.
    pub fn resume(is_started: bool, bytes: &[u8], arrivals: &[Arrival], now: Micros) -> Self {
        let mut resumed = TimedReceiveBuffer { is_started, ..TimedReceiveBuffer::default() };
        resumed.buffer.push(bytes);
        for Arrival(at, count) in arrivals {
            resumed.note_arrivals((*at).min(now), *count);
        }
        resumed.note_arrivals(now, usize::MAX);
        resumed
    }

    /// Adds bytes that were received.
    pub fn push(&mut self, bytes: &[u8], now: Micros) {
        self.buffer.push(bytes);
        self.note_arrivals(now, usize::MAX);
    }

    /// Notes the arrival of messages that are complete and were not, so many at the most.
    fn note_arrivals(&mut self, at: Micros, max: usize) {
        let mut count = 0;
        while count < max {
            let type_length = usize::from(self.is_started);
            let message = self.buffer.complete_message_at(self.complete_bytes, type_length);
            let Some(message) = message else { break };
            self.is_started = self.is_started
                || StartupPacket::parse(&message[LENGTH..]) != Ok(StartupPacket::EncryptionRequest);
            self.complete_bytes += message.len();
            count += 1;
        }
        match self.arrivals.back_mut().filter(|last| last.0 == at) {
            Some(last) => last.1 += count,
            None if count > 0 => self.arrivals.push_back(Arrival(at, count)),
            None => {}
        }
    }

    /// The arrival of the message in front, which has been taken out with so many bytes.
    fn take_arrival(&mut self, length: usize) -> Micros {
        self.complete_bytes -= length;
        // What is taken out was complete and has its entry; without one it would count as long over.
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

    /// The arrivals of the complete messages, in their order.
    pub fn arrivals(&self) -> &VecDeque<Arrival> {
        &self.arrivals
    }

    /// The bytes that are not parsed yet.
    pub fn unparsed(&self) -> &[u8] {
        self.buffer.unparsed()
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
    /// Its length or its content cannot be.
    pub fn next_startup_packet(&mut self) -> Result<Option<StartupPacket>, FramingError> {
        let before = self.buffer.len();
        let startup = self.buffer.next_startup_packet()?;
        if startup.is_some() {
            self.take_arrival(before - self.buffer.len());
        }
        Ok(startup)
    }

    /// The next message of no more than `max_length` bytes and its arrival, once it is complete.
    ///
    /// # Errors
    /// It is longer, or its length cannot be.
    pub fn next_message(&mut self, max_length: usize) -> Result<Option<(Message, Micros)>, FramingError> {
        let before = self.buffer.len();
        let message = self.buffer.next_message_within(|_| max_length)?;
        Ok(message.map(|message| (message, self.take_arrival(before - self.buffer.len()))))
    }
}
