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

/// The state that a process needs before it accepts clients.
#[derive(Serialize, Deserialize)]
pub struct GatewaySnapshot {
    /// The Unix time from which positions count, as [`crate::net::clock::Clock::resume`] takes it.
    #[serde(rename = "clock")]
    pub position_reference: i64,
    /// The current reading of the clock on which all other times of the snapshot are; a process of an earlier version
    /// sends none.
    #[serde(rename = "reading", default)]
    pub clock_reading: Option<Reading>,
    /// The text of the configuration in force.
    pub config: String,
    /// The address of discovery, which a new configuration may have changed.
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
    /// Names of the hosts that operators have put administratively down.
    #[serde(rename = "down")]
    pub administratively_down: BTreeSet<String>,
    /// Ids of the requests in flight, and the latest time at which each ends.
    #[serde(rename = "open")]
    pub in_flight: Vec<(String, Micros)>,
    /// Number of clients that the previous process still has.
    #[serde(rename = "clients")]
    pub open_clients: usize,
    /// Whether the sender understands [`Message::Cancel`]; a process of an earlier version does not, and would close
    /// the socket.
    #[serde(rename = "cancels", default)]
    pub accepts_cancel: bool,
    /// Whether the sender understands [`Message::AcceptsRoles`] and [`Message::Roles`]; a process of an earlier version
    /// does not, and would close the socket.
    #[serde(rename = "roles", default, skip_serializing_if = "std::ops::Not::not")]
    pub accepts_roles: bool,
}

/// The role that a host has stated in an answer to one of the processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRole {
    /// The host's name.
    pub host: String,
    /// It stated that it is the primary, otherwise that it is a replica.
    pub is_primary: bool,
    /// When its answer was read, on the clock of [`GatewaySnapshot::clock_reading`].
    pub at: Micros,
    /// The log position in that answer, if it had one.
    pub position: Option<Micros>,
}

/// A message between two processes; some are sent with a descriptor.
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// The sender's state, and the listening socket.
    #[serde(rename = "Estate")]
    Snapshot(Box<GatewaySnapshot>),
    /// The sender accepts clients from now on, and the receiver accepts none any more.
    Ready,
    /// A client and its socket.
    Client {
        /// Whether it has completed the startup handshake.
        greeted: bool,
        /// Whether it has sent a query before.
        #[serde(rename = "asked")]
        has_queried: bool,
        /// Bytes that were received and not parsed yet.
        bytes: Vec<u8>,
        /// The key with which its query may be cancelled; a process of an earlier version sends none.
        #[serde(default)]
        key: CancelKey,
        /// When the complete messages among the bytes arrived, in their order, on the clock of
        /// [`GatewaySnapshot::clock_reading`]. A process of an earlier version sends none, and ignores those that it
        /// receives: there all messages count as having arrived now.
        #[serde(default)]
        arrivals: Vec<Arrival>,
    },
    /// Requests that a client's query is cancelled, if the client is the receiver's. Sent to a previous process only if
    /// its snapshot has [`GatewaySnapshot::accepts_cancel`].
    Cancel(CancelKey),
    /// The sender, which is the next process, understands [`Message::Roles`]. Sent only if the previous process's
    /// snapshot has [`GatewaySnapshot::accepts_roles`].
    AcceptsRoles,
    /// Roles that hosts have stated to the sender.
    Roles(Vec<HostRole>),
    /// Reports the number of clients that the sender still has.
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
    /// An operator has put a host administratively down, or up again.
    #[serde(rename = "Bar")]
    SetDown {
        /// Its name.
        host: String,
        /// Whether it is down.
        #[serde(rename = "out")]
        down: bool,
    },
}
