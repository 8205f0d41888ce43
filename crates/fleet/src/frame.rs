//! The datagrams of a fleet: what stands before and behind every message, so that another fleet's, another version's
//! and spoilt ones are dropped unread. Byte by byte in `docs/formats/fleet.md`.

/// Longest datagram, in bytes: it crosses common networks in one piece.
pub const LONGEST: usize = 1400;
const MAGIC: [u8; 2] = *b"DF";
/// The form that is written, and the oldest that is read.
pub const FORM: u8 = 1;
const OLDEST: u8 = 1;
const HEAD: usize = 2 + 1 + 1 + 8;
const TAIL: usize = 4;
/// Room for a message.
pub const ROOM: usize = LONGEST - HEAD - TAIL;

/// What a message belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Membership.
    Member = 1,
    /// A call to a voter.
    Call = 2,
    /// A voter's reply.
    Reply = 3,
    /// An owner's order or word.
    Order = 4,
}

impl Kind {
    /// All of them, in the order of their numbers on the wire.
    pub const ALL: [Kind; 4] = [Kind::Member, Kind::Call, Kind::Reply, Kind::Order];

    fn of(byte: u8) -> Option<Kind> {
        Kind::ALL.get(usize::from(byte).checked_sub(1)?).copied()
    }
}

/// The kind that a datagram says it is of, unchecked: for those who count.
pub fn peek(datagram: &[u8]) -> Option<Kind> {
    datagram.get(3).copied().and_then(Kind::of)
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bad {
    /// Too short for its frame, or too long.
    Length,
    /// No datagram of a fleet.
    Magic,
    /// Of a form that this program does not read.
    Form,
    /// Another fleet's.
    Fleet,
    /// Damaged on its way.
    Checksum,
    /// Of a kind that this form does not have.
    Kind,
}

/// The tag of a fleet, from its name: the same on every machine.
pub fn tag(fleet: &str) -> u64 {
    // FNV-1a: no secret, it only tells fleets apart that share a network.
    fleet
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Puts a message into a datagram; none if it is too long.
pub fn wrap(tag: u64, kind: Kind, message: &[u8]) -> Option<Vec<u8>> {
    if message.len() > ROOM {
        return None;
    }
    let mut datagram = Vec::with_capacity(HEAD + message.len() + TAIL);
    datagram.extend_from_slice(&MAGIC);
    datagram.push(FORM);
    datagram.push(kind as u8);
    datagram.extend_from_slice(&tag.to_le_bytes());
    datagram.extend_from_slice(message);
    datagram.extend_from_slice(&crc32fast::hash(&datagram).to_le_bytes());
    Some(datagram)
}

/// The message of a datagram.
///
/// # Errors
/// Why it has to be dropped.
pub fn open(tag: u64, datagram: &[u8]) -> Result<(Kind, &[u8]), Bad> {
    if datagram.len() < HEAD + TAIL || datagram.len() > LONGEST {
        return Err(Bad::Length);
    }
    let (framed, sum) = datagram.split_at(datagram.len() - TAIL);
    let (head, message) = framed.split_at(HEAD);
    if head[..2] != MAGIC {
        return Err(Bad::Magic);
    }
    if !(OLDEST..=FORM).contains(&head[2]) {
        return Err(Bad::Form);
    }
    if crc32fast::hash(framed).to_le_bytes() != sum {
        return Err(Bad::Checksum);
    }
    if head[4..] != tag.to_le_bytes() {
        return Err(Bad::Fleet);
    }
    Ok((Kind::of(head[3]).ok_or(Bad::Kind)?, message))
}

#[cfg(test)]
mod tests;
