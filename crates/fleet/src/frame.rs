//! The frame around every datagram: magic bytes, format version, message kind, fleet tag and a checksum, so that
//! datagrams of another fleet or another version, and damaged ones, are dropped unread. `docs/formats/fleet.md`
//! specifies it byte by byte.

use thiserror::Error;

use crate::hash::fnv1a_64;

/// Maximum length of a datagram, in bytes: such a datagram crosses common networks without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The format version that is written, and the newest version that is read.
pub const FORMAT_VERSION: u8 = 1;
/// Maximum length of a message, in bytes, so that it fits into a datagram.
pub const MAX_MESSAGE_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - CHECKSUM_BYTES;

const MAGIC: [u8; 2] = *b"DF";
const OLDEST_READABLE_VERSION: u8 = 1;
/// Magic, version, kind, fleet tag.
const HEADER_BYTES: usize = 2 + 1 + 1 + 8;
const VERSION_OFFSET: usize = 2;
const KIND_OFFSET: usize = 3;
const TAG_OFFSET: usize = 4;
const CHECKSUM_BYTES: usize = 4;

/// The kind of message that a datagram carries. The discriminants are the bytes on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A message of the membership protocol.
    Membership = 1,
    /// A proposer's request to an acceptor.
    AcceptorRequest = 2,
    /// An acceptor's reply.
    AcceptorReply = 3,
    /// A lease holder's order.
    Order = 4,
}

impl MessageKind {
    /// All kinds, in the order of their bytes on the wire.
    pub const ALL: [MessageKind; 4] = [
        MessageKind::Membership,
        MessageKind::AcceptorRequest,
        MessageKind::AcceptorReply,
        MessageKind::Order,
    ];

    fn from_byte(byte: u8) -> Option<MessageKind> {
        MessageKind::ALL.get(usize::from(byte).checked_sub(1)?).copied()
    }
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum FrameError {
    /// It is shorter than an empty frame, or longer than [`MAX_DATAGRAM_BYTES`].
    #[error("the datagram is too short or too long")]
    Length,
    /// It does not start with the magic bytes.
    #[error("the datagram does not start with the magic bytes")]
    Magic,
    /// It has a format version that this program does not read.
    #[error("the format version is not supported")]
    Version,
    /// It belongs to another fleet.
    #[error("the datagram belongs to another fleet")]
    Fleet,
    /// It was damaged in transit.
    #[error("the checksum does not match")]
    Checksum,
    /// It has a message kind that this format version does not define.
    #[error("the message kind is unknown")]
    Kind,
}

/// The tag of a fleet, computed from its name. It distinguishes fleets that share a network, and is not a secret.
pub fn fleet_tag(fleet: &str) -> u64 {
    fnv1a_64(fleet)
}

/// The message kind in a datagram's header, without any check; for statistics only.
pub fn peek_kind(datagram: &[u8]) -> Option<MessageKind> {
    datagram.get(KIND_OFFSET).copied().and_then(MessageKind::from_byte)
}

/// Encodes a message as a datagram; `None` if the message is longer than [`MAX_MESSAGE_BYTES`].
pub fn encode(fleet_tag: u64, kind: MessageKind, message: &[u8]) -> Option<Vec<u8>> {
    if message.len() > MAX_MESSAGE_BYTES {
        return None;
    }
    let mut datagram = Vec::with_capacity(HEADER_BYTES + message.len() + CHECKSUM_BYTES);
    datagram.extend_from_slice(&MAGIC);
    datagram.push(FORMAT_VERSION);
    datagram.push(kind as u8);
    datagram.extend_from_slice(&fleet_tag.to_le_bytes());
    datagram.extend_from_slice(message);
    datagram.extend_from_slice(&crc32fast::hash(&datagram).to_le_bytes());
    Some(datagram)
}

/// Checks a datagram and returns the message in it.
///
/// # Errors
/// The reason why the datagram has to be dropped.
pub fn decode(fleet_tag: u64, datagram: &[u8]) -> Result<(MessageKind, &[u8]), FrameError> {
    if datagram.len() < HEADER_BYTES + CHECKSUM_BYTES || datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(FrameError::Length);
    }
    let (content, checksum) = datagram.split_at(datagram.len() - CHECKSUM_BYTES);
    let (header, message) = content.split_at(HEADER_BYTES);
    if header[..VERSION_OFFSET] != MAGIC {
        return Err(FrameError::Magic);
    }
    if !(OLDEST_READABLE_VERSION..=FORMAT_VERSION).contains(&header[VERSION_OFFSET]) {
        return Err(FrameError::Version);
    }
    if crc32fast::hash(content).to_le_bytes() != checksum {
        return Err(FrameError::Checksum);
    }
    if header[TAG_OFFSET..] != fleet_tag.to_le_bytes() {
        return Err(FrameError::Fleet);
    }
    let kind = MessageKind::from_byte(header[KIND_OFFSET]).ok_or(FrameError::Kind)?;
    Ok((kind, message))
}

#[cfg(test)]
mod tests;
