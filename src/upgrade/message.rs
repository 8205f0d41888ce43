//! What two processes of one gateway tell each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::balancer;
use crate::net::clock::Reading;
use crate::net::discovery::Directory;
use crate::pg::codec::CancelKey;
use crate::pg::timed_inbox::Arrival;
use crate::{ClassId, GroupId, Micros, SessionKey};

/// All that the process which follows needs before it takes clients.
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The Unix time from which positions count, as [`crate::net::clock::Clock::resume`] takes it.
    pub clock: i64,
    /// What the clock that all other times in here are on has just shown; a process of an earlier version does not say.
    #[serde(default)]
    pub reading: Option<Reading>,
    /// The configuration in force.
    pub config: String,
    /// Discovery's address, which a new configuration may have moved.
    pub discovery: SocketAddr,
    /// The version of the list.
    pub rev: Option<u64>,
    /// Names, numbers and addresses of the hosts.
    pub directory: Directory,
    /// Names of the classes with their numbers.
    pub classes: BTreeMap<String, ClassId>,
    /// What the decision module knows.
    pub balancer: balancer::Snapshot,
    /// Names of the hosts that operators have put down.
    pub down: BTreeSet<String>,
    /// Names of the open requests, and when each ends at the latest.
    pub open: Vec<(String, Micros)>,
    /// Clients that the old process still holds.
    pub clients: usize,
    /// It understands [`Message::Cancel`]; a process of an earlier version does not, and would give up the line.
    #[serde(default)]
    pub cancels: bool,
}

/// A message; some carry a socket along.
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// The snapshot, and the listening socket.
    #[serde(rename = "Estate")]
    Snapshot(Box<Snapshot>),
    /// The sender takes clients now: the receiver accepts nobody any more.
    Ready,
    /// A client and its socket.
    Client {
        /// It has been greeted.
        greeted: bool,
        /// It has asked before.
        asked: bool,
        /// Bytes that came and are not understood yet.
        bytes: Vec<u8>,
        /// The key with which its query may be cancelled; a process of an earlier version gave none.
        #[serde(default)]
        key: CancelKey,
        /// When the whole messages among the bytes arrived, in their order, on the clock of [`Snapshot::clock`]. A
        /// process of an earlier version gave none, and passes over them: there all count as having arrived now.
        #[serde(default)]
        arrivals: Vec<Arrival>,
    },
    /// A client's query is to be cancelled, if it is the receiver's. Sent to a process before that has said that it
    /// understands it.
    Cancel(CancelKey),
    /// How many clients the sender still holds.
    Holding {
        /// Their number.
        clients: usize,
    },
    /// A session's write was committed.
    Commit {
        /// The session's group.
        group: GroupId,
        /// The session.
        session: SessionKey,
        /// Its position.
        commit: Micros,
    },
    /// Operators put a host down, or back up.
    #[serde(rename = "Bar")]
    SetDown {
        /// Its name.
        host: String,
        /// Down, or up.
        #[serde(rename = "out")]
        down: bool,
    },
}
