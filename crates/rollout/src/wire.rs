//! What gateways, control machines and the operators' tool say to each other over a connection: frames of a length in
//! four bytes (big endian) and that many bytes, a message each. The first one is a [`Hello`].

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::version::{Digest, Document, Version};

/// The form of the messages; another one is not talked to.
pub const FORM: u8 = 1;
/// Longest message, in bytes: a status of all gateways, or a document with what stands beside it.
pub const LONGEST: usize = 512 * 1024;
/// Most gateways in a status.
pub const MOST_GATEWAYS: usize = 1_024;

/// Who begins a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Who {
    /// A gateway.
    Gateway {
        /// Its name.
        name: String,
        /// Its zone.
        zone: String,
    },
    /// A control machine.
    Control {
        /// Its name.
        name: String,
    },
    /// The operators' tool.
    Tool,
}

/// The first message of whoever connects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`FORM`].
    pub form: u8,
    /// The fleet's name.
    pub fleet: String,
    /// Who connects.
    pub who: Who,
}

/// A version that a gateway could not take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Which.
    pub version: Version,
    /// Why, in words for the operator; 256 bytes at most.
    pub why: String,
}

/// What a control machine knows of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// What it has in force.
    pub in_force: Option<Version>,
    /// The last version that it could not take, if that is newer.
    pub refused: Option<Refusal>,
    /// Since when it has not been heard, in milliseconds.
    pub silent_ms: u64,
}

/// What a control machine knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The newest version that it knows of.
    pub newest: Option<Version>,
    /// Whether it has the newest one's bytes.
    pub has_document: bool,
    /// Whether a majority of the voters has told what the newest one is not long ago.
    pub fresh: bool,
    /// How long ago, in milliseconds; none since its start.
    pub looked_ms: Option<u64>,
    /// Control machines that it is connected to.
    pub peers: Vec<String>,
    /// The gateways that it has heard, [`MOST_GATEWAYS`] at most.
    pub gateways: Vec<Seen>,
    /// Members of the fleet, by name, as its membership knows them; filled in by the driver.
    pub members: Vec<String>,
}

/// Everything that is said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Whoever connects, first.
    Hello(Hello),
    /// A gateway tells its control machine, at once when it changes and else each [`crate::follower::Pace::tell`].
    InForce {
        /// What is in force.
        version: Option<Version>,
        /// The last version that it could not take, if that is newer.
        refused: Option<Refusal>,
    },
    /// A control machine tells its gateways from time to time that it is there.
    Alive {
        /// Whether it knows what the newest version is.
        fresh: bool,
        /// The newest one.
        newest: Option<Version>,
    },
    /// A control machine gives a gateway the newest version, whole.
    Newest(Version, Arc<[u8]>),
    /// A control machine asks another to keep a document that is about to get a number.
    Keep(Arc<[u8]>),
    /// It is on that one's disk.
    Kept(Digest),
    /// A version has been chosen: the register holds it, or held it.
    Chosen(Version),
    /// A control machine asks another for a version's bytes.
    Want(Version),
    /// The bytes that were wanted.
    Given(Version, Arc<[u8]>),
    /// The tool: a document is to be the next version.
    Put(Arc<[u8]>),
    /// It is, under this number, and on the disks of two control machines.
    Accepted(Version),
    /// It is not, or that is not certain: why, in words for the operator.
    NotAccepted {
        /// Why.
        why: String,
        /// It may still become a version by itself: `config status` tells.
        uncertain: bool,
    },
    /// The tool: the newest version's bytes, or those of an older one that is still there.
    Show(Option<u64>),
    /// They are not there, and why.
    NotShown(String),
    /// The tool: what is known.
    Ask,
    /// What is known.
    Status(Status),
}

/// Why a connection's bytes are no messages: it is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// A frame of more than [`LONGEST`] bytes.
    TooLong,
    /// A frame that is no message.
    Senseless,
}

/// A message's frame.
pub fn frame(message: &Message) -> Arc<[u8]> {
    let _ = message;
    todo!()
}

/// What a version is shown as, whoever asks: the answer to [`Message::Show`].
pub fn shown(document: &Document) -> Message {
    Message::Given(document.version(), document.bytes().clone())
}

/// Bytes of a connection that are no whole frame yet, at most [`LONGEST`] and a read's.
#[derive(Debug, Default)]
pub struct Inbox {
    bytes: Vec<u8>,
}

impl Inbox {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message.
    ///
    /// # Errors
    /// The connection makes no sense, and is to be closed.
    pub fn next(&mut self) -> Result<Option<Message>, Bad> {
        todo!()
    }
}
