//! What gateways, control machines and the operators' tool say to each other over a connection: frames of a length in
//! four bytes (big endian) and that many bytes, a message each. The first one is a [`Hello`].

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::version::{whole, Digest, Document, Version, LONGEST_DOCUMENT};

/// The form of the messages; another one is not talked to.
pub const FORM: u8 = 1;
/// Longest message, in bytes: a status of all gateways and members, which are the most that it names.
pub const LONGEST: usize = 768 * 1024;
/// Longest name of a fleet, a process or a zone, in bytes.
pub const LONGEST_NAME: usize = 64;
/// Longest [`Refusal::why`], in bytes.
pub const LONGEST_WHY: usize = 256;
/// Longest reason that the tool is told, in bytes.
pub const LONGEST_ANSWER: usize = 2_048;
/// Most gateways in a status, and most members.
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

/// Cuts words for the operator down to so many bytes, between two characters.
pub(crate) fn cut(mut words: String, longest: usize) -> String {
    let mut end = longest.min(words.len());
    while !words.is_char_boundary(end) {
        end -= 1;
    }
    words.truncate(end);
    words
}

impl Message {
    /// Whether everything in it is within its bounds.
    fn fits(&self) -> bool {
        let name = |name: &String| name.len() <= LONGEST_NAME;
        let refusal = |refused: &Option<Refusal>| refused.as_ref().is_none_or(|r| r.why.len() <= LONGEST_WHY);
        match self {
            Message::Hello(Hello { fleet, who, .. }) => {
                name(fleet)
                    && match who {
                        Who::Gateway { name: own, zone } => name(own) && name(zone),
                        Who::Control { name: own } => name(own),
                        Who::Tool => true,
                    }
            }
            Message::InForce { refused, .. } => refusal(refused),
            Message::Newest(_, bytes)
            | Message::Given(_, bytes)
            | Message::Keep(bytes)
            | Message::Put(bytes) => bytes.len() <= LONGEST_DOCUMENT,
            Message::NotAccepted { why, .. } | Message::NotShown(why) => why.len() <= LONGEST_ANSWER,
            Message::Status(status) => {
                let seen = |seen: &Seen| name(&seen.name) && name(&seen.zone) && refusal(&seen.refused);
                let count = |count: usize| count <= MOST_GATEWAYS;
                name(&status.name)
                    && name(&status.zone)
                    && count(status.peers.len())
                    && count(status.gateways.len())
                    && count(status.members.len())
                    && status.peers.iter().chain(&status.members).all(name)
                    && status.gateways.iter().all(seen)
            }
            Message::Alive { .. }
            | Message::Kept(_)
            | Message::Chosen(_)
            | Message::Want(_)
            | Message::Accepted(_)
            | Message::Show(_)
            | Message::Ask => true,
        }
    }
}

/// A message's frame. One that is not within its bounds is closed upon by whoever gets it.
pub fn frame(message: &Message) -> Arc<[u8]> {
    // Writing into a vector cannot fail.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(&body);
    frame.into()
}

/// What a version is shown as, whoever asks: the answer to [`Message::Show`].
pub fn shown(document: &Document) -> Message {
    Message::Given(document.version(), document.bytes().clone())
}

/// Bytes of a connection that are no whole frame yet, at most [`LONGEST`] and a read's.
#[derive(Debug)]
pub struct Inbox {
    bytes: Vec<u8>,
    /// So many of them have been read.
    read: usize,
    longest: usize,
}

impl Default for Inbox {
    fn default() -> Self {
        Inbox::of(LONGEST)
    }
}

impl Inbox {
    /// For frames of so many bytes at most: whoever has no long messages to send takes no room for them.
    pub fn of(longest: usize) -> Inbox {
        Inbox { bytes: Vec::new(), read: 0, longest: longest.min(LONGEST) }
    }

    /// From now on, frames of so many bytes at most.
    pub fn limit(&mut self, longest: usize) {
        self.longest = longest.min(LONGEST);
    }

    /// Takes bytes in. [`Inbox::next`] has to be called after it until nothing is left.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message.
    ///
    /// # Errors
    /// The connection makes no sense, and is to be closed.
    #[allow(clippy::should_implement_trait)] // It may have more later.
    pub fn next(&mut self) -> Result<Option<Message>, Bad> {
        let rest = self.bytes.get(self.read..).unwrap_or_default();
        let Some((length, rest)) = rest.split_first_chunk::<4>() else { return Ok(self.wait()) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > self.longest {
            return Err(Bad::TooLong);
        }
        let Some(body) = rest.get(..length) else { return Ok(self.wait()) };
        self.read += 4 + length;
        whole(body).filter(Message::fits).map(Some).ok_or(Bad::Senseless)
    }

    /// What has been read goes; what is left waits for more.
    fn wait(&mut self) -> Option<Message> {
        self.bytes.drain(..self.read);
        self.read = 0;
        if self.bytes.is_empty() {
            self.bytes.shrink_to(4_096);
        }
        None
    }
}
