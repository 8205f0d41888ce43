//! Messages between two processes of one gateway, which may be of different versions, in their serialised form (JSON).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::balancer;
use crate::net::clock::Reading;
use crate::net::discovery::Directory;
use crate::pg::codec::CancelKey;
use crate::pg::timed_buffer::Arrival;
use crate::{ClassId, GroupId, Micros, SessionKey};

/// All that a process needs before it accepts clients.
#[derive(Serialize, Deserialize)]
pub struct GatewaySnapshot {
    /// The Unix time from which positions count, as [`crate::net::clock::Clock::resume`] takes it.
    #[serde(rename = "clock")]
    pub position_reference: i64,
    /// What the clock that all other times in here are on has just shown; a process of an earlier version does not say.
    #[serde(rename = "reading", default)]
    pub clock_reading: Option<Reading>,
    /// The text of the configuration in force.
    pub config: String,
    /// Discovery's address, which a new configuration may have moved.
    pub discovery: SocketAddr,
    /// The revision of the endpoint list.
    #[serde(rename = "rev")]
    pub list_revision: Option<u64>,
    /// Names, numbers and addresses of the hosts.
    pub directory: Directory,
    /// Names of the classes with their numbers.
    #[serde(rename = "classes")]
    pub class_ids: BTreeMap<String, ClassId>,
    /// The balancer's state.
    pub balancer: balancer::Snapshot,
    /// Names of the hosts that operators have put down.
    #[serde(rename = "down")]
    pub administratively_down: BTreeSet<String>,
    /// Ids of the requests in flight, and when each ends at the latest.
    #[serde(rename = "open")]
    pub in_flight: Vec<(String, Micros)>,
    /// Number of clients that the process before still has.
    #[serde(rename = "clients")]
    pub open_clients: usize,
    /// It understands [`Message::Cancel`]; a process of an earlier version does not, and would close the socket.
    #[serde(rename = "cancels", default)]
    pub accepts_cancel: bool,
}

/// A message; some carry a descriptor along.
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// The sender's state, and the listening socket.
    #[serde(rename = "Estate")]
    Snapshot(Box<GatewaySnapshot>),
    /// The sender accepts clients now: the receiver accepts none any more.
    Ready,
    /// A client and its socket.
    Client {
        /// It has been greeted.
        greeted: bool,
        /// It has sent a query before.
        #[serde(rename = "asked")]
        has_queried: bool,
        /// Bytes that were received and not parsed yet.
        bytes: Vec<u8>,
        /// The key with which its query may be cancelled; a process of an earlier version gave none.
        #[serde(default)]
        key: CancelKey,
        /// When the complete messages among the bytes arrived, in their order, on the clock of
        /// [`GatewaySnapshot::clock_reading`]. A process of an earlier version gave none, and ignores them: there all count
        /// as having arrived now.
        #[serde(default)]
        arrivals: Vec<Arrival>,
    },
    /// A client's query is to be cancelled, if it is the receiver's. Sent to a process before only if that has said that
    /// it understands it.
    Cancel(CancelKey),
    /// How many clients the sender still has.
    #[serde(rename = "Holding")]
    RemainingClients {
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
    /// Operators have put a host down, or back up.
    #[serde(rename = "Bar")]
    SetDown {
        /// Its name.
        host: String,
        /// Down, or up.
        #[serde(rename = "out")]
        down: bool,
    },
}
