//! The messages between gateways, control servers and the operators' command. Each is sent in a frame (see [`crate::frame`]);
//! the first one of a connection is a [`Hello`]. The order of variants and fields is the format.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::version::{Digest, Document, Version, MAX_DOCUMENT_BYTES};

/// Version of the protocol. Connections of another one are closed.
pub const PROTOCOL_VERSION: u8 = 1;
/// Longest name of a fleet, a process or a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest [`Rejection::reason`], in bytes.
pub const MAX_REJECTION_BYTES: usize = 256;
/// Longest reason in an answer to the operators' command, in bytes.
pub const MAX_ANSWER_BYTES: usize = 2_048;
/// Most gateways in a status, and most members.
pub const MAX_GATEWAYS: usize = 1_024;

/// The process that opens a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Identity {
    /// A gateway.
    Gateway {
        /// Its name.
        name: String,
        /// Its zone.
        zone: String,
    },
    /// A control server.
    ControlServer {
        /// Its name.
        name: String,
    },
    /// The operators' command.
    Command,
}

/// The first message of the process that opens a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`].
    pub protocol_version: u8,
    /// The fleet's name.
    pub fleet: String,
    /// Which process opens the connection.
    pub identity: Identity,
}

impl Hello {
    /// The first message of a process of this fleet.
    pub fn new(fleet: &str, identity: Identity) -> Hello {
        Hello { protocol_version: PROTOCOL_VERSION, fleet: fleet.to_string(), identity }
    }
}

/// A version that a gateway could not apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The version.
    pub version: Version,
    /// Why, in words for the operator; at most [`MAX_REJECTION_BYTES`].
    pub reason: String,
}

/// What a control server knows of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The version in force there.
    pub in_force: Option<Version>,
    /// The last version that it rejected, if that is newer.
    pub rejected: Option<Rejection>,
    /// Time since its last report, in milliseconds.
    pub silent_ms: u64,
}

/// What a control server knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlServerStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The newest version that it knows of.
    pub newest: Option<Version>,
    /// Whether it has the newest version's document.
    pub has_document: bool,
    /// Whether it has read the newest version from a majority of the voters recently.
    pub fresh: bool,
    /// Time since that read, in milliseconds; none before the first one.
    pub last_read_ms: Option<u64>,
    /// Control servers that it is connected to.
    pub peers: Vec<String>,
    /// The gateways that have reported to it, at most [`MAX_GATEWAYS`].
    pub gateways: Vec<GatewayStatus>,
    /// Names of the fleet's members; the driver fills them in.
    pub members: Vec<String>,
}

/// All messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The first message of the process that opens a connection.
    Hello(Hello),
    /// A gateway reports to its control server: at each change, and at least each
    /// [`crate::settings::Timeouts::report_interval`].
    VersionReport {
        /// The version in force.
        in_force: Option<Version>,
        /// The last version that it rejected, if that is newer.
        rejected: Option<Rejection>,
    },
    /// The heartbeat of a control server.
    Heartbeat {
        /// Whether it knows what the newest version is.
        fresh: bool,
        /// The newest version that it knows of.
        newest: Option<Version>,
    },
    /// A control server sends a gateway the newest version with its document.
    Newest(Version, Arc<[u8]>),
    /// A control server asks another to store a document that is about to get a version number.
    StoreDocument(Arc<[u8]>),
    /// The document with this digest is on the other server's disk.
    DocumentStored(Digest),
    /// A version has been chosen: the register holds it, or has held it.
    Chosen(Version),
    /// A control server asks another for a version's document.
    FetchDocument(Version),
    /// A version with the document that was asked for.
    FoundDocument(Version, Arc<[u8]>),
    /// The command proposes a document as the next version.
    Propose(Arc<[u8]>),
    /// The document has become this version, and is on the disks of two control servers.
    Accepted(Version),
    /// The document has not become a version, or that is not certain.
    NotAccepted {
        /// Why, in words for the operator.
        reason: String,
        /// It may still become a version: `config status` shows it.
        uncertain: bool,
    },
    /// The command asks for the newest version's document, or for that of a version which is still stored.
    ShowDocument(Option<u64>),
    /// The document is not there, and why.
    DocumentNotFound(String),
    /// The command asks for the server's status.
    QueryStatus,
    /// The server's status.
    Status(ControlServerStatus),
}

/// Shortens a text to at most so many bytes, between two characters.
pub(crate) fn truncate(mut text: String, max_bytes: usize) -> String {
    let mut end = max_bytes.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    text
}

fn is_name(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES
}

impl Identity {
    fn is_within_limits(&self) -> bool {
        match self {
            Identity::Gateway { name, zone } => is_name(name) && is_name(zone),
            Identity::ControlServer { name } => is_name(name),
            Identity::Command => true,
        }
    }
}

impl Rejection {
    fn is_within_limits(&self) -> bool {
        self.reason.len() <= MAX_REJECTION_BYTES
    }
}

impl GatewayStatus {
    fn is_within_limits(&self) -> bool {
        is_name(&self.name)
            && is_name(&self.zone)
            && self.rejected.as_ref().is_none_or(Rejection::is_within_limits)
    }
}

impl ControlServerStatus {
    fn is_within_limits(&self) -> bool {
        let counts = [self.peers.len(), self.gateways.len(), self.members.len()];
        is_name(&self.name)
            && is_name(&self.zone)
            && counts.into_iter().all(|count| count <= MAX_GATEWAYS)
            && self.peers.iter().chain(&self.members).all(|name| is_name(name))
            && self.gateways.iter().all(GatewayStatus::is_within_limits)
    }
}

impl Message {
    /// Whether all that it contains is within its limits.
    pub(crate) fn is_within_limits(&self) -> bool {
        match self {
            Message::Hello(hello) => is_name(&hello.fleet) && hello.identity.is_within_limits(),
            Message::VersionReport { rejected, .. } => {
                rejected.as_ref().is_none_or(Rejection::is_within_limits)
            }
            Message::Newest(_, bytes)
            | Message::FoundDocument(_, bytes)
            | Message::StoreDocument(bytes)
            | Message::Propose(bytes) => bytes.len() <= MAX_DOCUMENT_BYTES,
            Message::NotAccepted { reason, .. } | Message::DocumentNotFound(reason) => {
                reason.len() <= MAX_ANSWER_BYTES
            }
            Message::Status(status) => status.is_within_limits(),
            Message::Heartbeat { .. }
            | Message::DocumentStored(_)
            | Message::Chosen(_)
            | Message::FetchDocument(_)
            | Message::Accepted(_)
            | Message::ShowDocument(_)
            | Message::QueryStatus => true,
        }
    }
}

/// The answer to [`Message::ShowDocument`] that contains a document.
impl From<&Document> for Message {
    fn from(document: &Document) -> Message {
        Message::FoundDocument(document.version(), document.bytes().clone())
    }
}
