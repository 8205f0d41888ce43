//! The status of a node: the JSON of `GET /ops/fleet` and `dunemount fleet status --json`, and the command's table.
//!
//! The names of the fields are those of the JSON, which operators and scripts read: they stay as they are.

use std::time::Duration;

use dunemount_fleet::membership::{MemberIdentity, Membership};
use dunemount_fleet::node::Node;
use dunemount_fleet::node_id::NodeId;
use dunemount_fleet::register::AcceptorSlot;
use dunemount_rollout::follower::FollowerStatus;
use dunemount_rollout::settings::ControlServerInfo;
use serde::{Deserialize, Serialize};

mod client;
mod shared;
mod table;

pub use client::StatusError;
pub use shared::SharedStatus;

/// A member of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Where it receives datagrams.
    pub address: String,
    /// The number of its start.
    pub start: u64,
}

/// A role, as last seen by this node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleStatus {
    /// Its name.
    pub name: String,
    /// The epoch of its lease.
    pub epoch: u64,
    /// The name of the lease holder; none if the role has no holder, or one that this node does not know as a member.
    pub owner: Option<String>,
    /// Whether this node holds a valid lease on it.
    pub held: bool,
}

/// An acceptor; operators know it as a voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterStatus {
    /// The name of its gateway.
    pub name: String,
    /// The generation of its file; 0 for that of a founding acceptor.
    pub generation: u64,
    /// Whether its process is up, as far as this node knows.
    pub present: bool,
}

/// A version of the configuration that a gateway has rejected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedVersion {
    /// Its number.
    pub version: u64,
    /// The first bytes of its digest, in hexadecimal.
    pub digest: String,
    /// Why.
    pub why: String,
}

/// The status of a gateway's configuration versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    /// The number of the version in force; none before the first one.
    pub version: Option<u64>,
    /// The first bytes of its digest, in hexadecimal.
    pub digest: Option<String>,
    /// The control server that it follows.
    pub machine: Option<String>,
    /// Time since a fresh control server was last reachable, in milliseconds; zero while one is.
    pub cut_off_ms: u64,
    /// The last version that was rejected, if it is newer than the one in force.
    pub refused: Option<RejectedVersion>,
    /// Why the version to be applied could not be stored at the last attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unstored: Option<String>,
    /// Number of offered versions that were older than the one in force.
    pub older: u64,
    /// Number of received versions with the number but not the digest of a known version.
    pub conflicts: u64,
}

impl ConfigurationStatus {
    /// The status of a follower of this control server.
    pub fn from_follower(status: &FollowerStatus, server: Option<&ControlServerInfo>) -> ConfigurationStatus {
        let refused = status.rejected.as_ref().map(|rejected| RejectedVersion {
            version: rejected.version.number,
            digest: rejected.version.digest.to_string(),
            why: rejected.reason.clone(),
        });
        ConfigurationStatus {
            version: status.in_force.map(|version| version.number),
            digest: status.in_force.map(|version| version.digest.to_string()),
            machine: server.map(|server| server.name.clone()),
            cut_off_ms: u64::try_from(status.cut_off.as_millis()).unwrap_or(u64::MAX),
            refused,
            unstored: None,
            older: status.stale_offers,
            conflicts: status.conflicts,
        }
    }
}

/// The status of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The fleet's name.
    pub fleet: String,
    /// This node.
    pub me: MemberStatus,
    /// The other members that are up.
    pub members: Vec<MemberStatus>,
    /// The acceptors, by slot.
    pub voters: Vec<VoterStatus>,
    /// Whether this node's acceptor takes part in votes; none if it has no acceptor.
    pub voting: Option<bool>,
    /// Number of registers in this node's acceptor.
    pub registers: usize,
    /// Why this node's acceptor currently makes no new promises: its file cannot be stored, or cannot be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unstored: Option<String>,
    /// The roles that this node is a candidate for.
    pub roles: Vec<RoleStatus>,
    /// Number of dropped datagrams that are damaged, or of another fleet or format version.
    pub foreign: u64,
    /// Number of messages that could not be decoded, or were rejected by the membership protocol.
    pub senseless: u64,
    /// Number of orders that were rejected.
    pub refused: u64,
    /// Number of messages that were too long to be sent.
    pub too_long: u64,
    /// Number of replies from acceptors that cannot store, restarted from an older copy of their file, or have reached
    /// a limit.
    pub unfit: u64,
    /// The status of the configuration's versions, if the gateway gets them from control servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<ConfigurationStatus>,
}

impl NodeStatus {
    /// The status of a node at this moment.
    pub fn from_node(node: &Node, now: Duration) -> NodeStatus {
        let (settings, membership) = (node.settings(), node.membership());
        let (acceptor, knowledge) = (node.acceptor(), node.acceptor_knowledge());
        let drop_counts = node.drop_counts();
        let voters = settings.acceptors.iter().enumerate();
        NodeStatus {
            fleet: settings.fleet.clone(),
            me: member_status(membership.local()),
            members: membership.members().map(member_status).collect(),
            voters: voters.map(|(slot, identity)| voter_status(node, slot, identity)).collect(),
            voting: acceptor.map(|acceptor| !acceptor.is_uninitialized()),
            registers: acceptor.map_or(0, dunemount_fleet::acceptor::Acceptor::register_count),
            unstored: None,
            roles: settings.roles.iter().filter_map(|role| role_status(node, now, role)).collect(),
            foreign: drop_counts.foreign_datagrams,
            senseless: drop_counts.malformed_messages + membership.rejected_messages(),
            refused: drop_counts.rejected_orders,
            too_long: drop_counts.oversized_messages,
            unfit: knowledge.unfit_replies,
            configuration: None,
        }
    }
}

fn member_status(identity: &MemberIdentity) -> MemberStatus {
    MemberStatus { name: identity.name.clone(), address: identity.address.to_string(), start: identity.start }
}

fn voter_status(node: &Node, slot: usize, identity: &MemberIdentity) -> VoterStatus {
    VoterStatus {
        name: identity.name.clone(),
        generation: node.acceptor_knowledge().acceptors.generation(AcceptorSlot(slot as u8)),
        present: all_members(node.membership()).any(|member| member.name == identity.name),
    }
}

/// The status of a role; none if the node is no candidate for it.
fn role_status(node: &Node, now: Duration, role: &str) -> Option<RoleStatus> {
    let lease = node.lease(role)?;
    let record = lease.last_seen();
    let holder = record.and_then(|record| record.holder);
    Some(RoleStatus {
        name: role.to_string(),
        epoch: record.map_or(0, |record| record.epoch),
        owner: holder.and_then(|holder| name_of(node.membership(), holder)),
        held: lease.valid_epoch(now).is_some(),
    })
}

fn name_of(membership: &Membership, id: NodeId) -> Option<String> {
    all_members(membership).find(|member| member.node_id() == id).map(|member| member.name.clone())
}

/// The members that are up, the local one among them.
fn all_members(membership: &Membership) -> impl Iterator<Item = &MemberIdentity> {
    membership.members().chain([membership.local()])
}

#[cfg(test)]
mod tests;
