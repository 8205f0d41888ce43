//! The messages between gateways, control servers and the operators' command. Each is sent in a frame (see
//! [`crate::frame`]); the first message of a connection is a [`Hello`]. Messages are encoded by the order of their
//! variants and fields, which therefore must not change.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::version::{Digest, Document, Version, MAX_DOCUMENT_BYTES};

/// Version of the protocol. A connection whose [`Hello`] names another version is closed.
pub const PROTOCOL_VERSION: u8 = 1;
/// Longest name of a fleet, a process or a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest [`Rejection::reason`], in bytes.
pub const MAX_REJECTION_BYTES: usize = 256;
/// Longest text in an answer to the operators' command, in bytes.
pub const MAX_ANSWER_BYTES: usize = 2_048;
/// Most gateways in a [`ControlServerStatus`], and most members.
pub const MAX_GATEWAYS: usize = 1_024;

/// The process that opens a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Identity {
    /// A gateway.
    Gateway {
        /// Its name, by which its status is kept across connections.
        name: String,
        /// Its zone.
        zone: String,
    },
    /// A control server.
    ControlServer {
        /// Its name in the settings.
        name: String,
    },
    /// The operators' command.
    Command,
}

/// The first message of the process that opens a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub protocol_version: u8,
    /// Name of the sender's fleet; the receiver closes the connection if its own differs.
    pub fleet: String,
    /// The process that opens the connection.
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
    /// The version that was not applied.
    pub version: Version,
    /// The cause, for the operator; at most [`MAX_REJECTION_BYTES`].
    pub reason: String,
}

/// The last report of a gateway to a control server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The version that the gateway had in force.
    pub in_force: Option<Version>,
    /// The newest version that it rejected, until it applies one with the same or a higher number.
    pub rejected: Option<Rejection>,
    /// Time since its last report or, if later, its last connection, in milliseconds.
    pub silent_ms: u64,
}

/// The status of a control server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlServerStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The newest version that it knows.
    pub newest: Option<Version>,
    /// Whether it has stored the newest version's document.
    pub has_document: bool,
    /// Whether it has read the newest version from a majority of the voters recently.
    pub fresh: bool,
    /// Time since the last such read began, in milliseconds; `None` before the first one.
    pub last_read_ms: Option<u64>,
    /// Names of the control servers to which it has opened a connection.
    pub peers: Vec<String>,
    /// The gateways that have reported to it, at most [`MAX_GATEWAYS`].
    pub gateways: Vec<GatewayStatus>,
    /// Names of the fleet's members, which the driver sets.
    pub members: Vec<String>,
}

/// All messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The first message of the process that opens a connection.
    Hello(Hello),
    /// A gateway reports its version to its control server: at each change, and at least once per
    /// [`crate::settings::Timeouts::report_interval`].
    VersionReport {
        /// The version in force.
        in_force: Option<Version>,
        /// The newest version that it rejected, until it applies one with the same or a higher number.
        rejected: Option<Rejection>,
    },
    /// The heartbeat of a control server.
    Heartbeat {
        /// Whether the server has read the newest version from a majority of the voters recently.
        fresh: bool,
        /// The newest version that the server knows.
        newest: Option<Version>,
    },
    /// A control server sends a gateway the newest version with its document.
    Newest(Version, Arc<[u8]>),
    /// A control server asks another to store a document that is about to get a version number.
    StoreDocument(Arc<[u8]>),
    /// The answer to [`Message::StoreDocument`]: the document with this digest is on the sender's disk.
    DocumentStored(Digest),
    /// A version has been chosen: the register holds it, or held it before a newer one.
    Chosen(Version),
    /// A control server asks another for a version's document.
    FetchDocument(Version),
    /// A version with its document: the answer to [`Message::FetchDocument`] and [`Message::ShowDocument`].
    FoundDocument(Version, Arc<[u8]>),
    /// The operators' command proposes a document as the next version.
    Propose(Arc<[u8]>),
    /// The proposed document has become this version, and is on the disks of two control servers.
    Accepted(Version),
    /// The proposed document has not become a version, or may still become one.
    NotAccepted {
        /// The cause, for the operator.
        reason: String,
        /// Whether it may still become a version, which `config status` then shows.
        uncertain: bool,
    },
    /// The command requests the newest version's document, or that of the version with this number.
    ShowDocument(Option<u64>),
    /// The requested document is not stored; contains the cause.
    DocumentNotFound(String),
    /// The command requests the server's status.
    QueryStatus,
    /// The answer to [`Message::QueryStatus`].
    Status(ControlServerStatus),
}

/// Shortens a text to at most `max_bytes`, at a character boundary.
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
    /// Whether all names, texts, documents and lists in it are within their limits.
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
