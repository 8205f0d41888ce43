//! What a node of the fleet tells of itself: put on a board by its thread, read at the operators' door, and printed by
//! `dunemount fleet status`.

use std::fmt;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use dunemount_fleet::membership::MemberIdentity;
use dunemount_fleet::node::Node;
use dunemount_fleet::node_id::NodeId;
use dunemount_fleet::register::AcceptorSlot;
use dunemount_rollout::follower::FollowerStatus;
use dunemount_rollout::settings::ControlServerInfo;
use serde::{Deserialize, Serialize};

/// How long the door may take to answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// Longest answer taken: a thousand members and roles are a fifth of it.
const LONGEST: u64 = 1024 * 1024;

/// A member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it hears datagrams.
    pub address: String,
    /// The number of its start.
    pub start: u64,
}

/// A role, as this node has seen it last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Role {
    /// Its name.
    pub name: String,
    /// Its epoch.
    pub epoch: u64,
    /// Who has it; unnamed if it is no member that this node knows.
    pub owner: Option<String>,
    /// This node may order in it.
    pub held: bool,
}

/// A place among the voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    /// Who fills it.
    pub name: String,
    /// The number of the file that counts; 0 for that of the foundation.
    pub generation: u64,
    /// Whether its process is there, as far as this node knows.
    pub present: bool,
}

/// A version of the configuration that a gateway could not take.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Its number.
    pub version: u64,
    /// The first bytes of its digest, in hexadecimal.
    pub digest: String,
    /// Why.
    pub why: String,
}

/// How a gateway stands with the configuration's versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The number of the version in force; none before the first one.
    pub version: Option<u64>,
    /// The first bytes of its digest, in hexadecimal.
    pub digest: Option<String>,
    /// The control machine that it hears.
    pub machine: Option<String>,
    /// Since when no fresh control machine has been heard, in milliseconds; zero while one is.
    pub cut_off_ms: u64,
    /// The last version that could not be taken, if that is newer.
    pub refused: Option<Refused>,
    /// Why the version that is to be taken could not be stored at the last try.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unstored: Option<String>,
    /// Versions that were offered and are older than the one in force.
    pub older: u64,
    /// Numbers that came with two digests.
    pub conflicts: u64,
}

impl Configuration {
    /// How a gateway stands that hears this control machine.
    pub fn of(status: &FollowerStatus, server: Option<&ControlServerInfo>) -> Configuration {
        let refused = status.rejected.as_ref().map(|rejected| Refused {
            version: rejected.version.number,
            digest: rejected.version.digest.to_string(),
            why: rejected.reason.clone(),
        });
        Configuration {
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

/// The state of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The fleet's name.
    pub fleet: String,
    /// This node.
    pub me: Member,
    /// The others that are there.
    pub members: Vec<Member>,
    /// The voters, by place.
    pub voters: Vec<Voter>,
    /// This node's own voter: whether it votes, and how many registers it keeps.
    pub voting: Option<bool>,
    /// Registers that this node's voter keeps.
    pub registers: usize,
    /// Why this node's own voter answers nothing new at present: its file cannot be stored, or not be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unstored: Option<String>,
    /// The roles that this node looks after.
    pub roles: Vec<Role>,
    /// Datagrams dropped: another fleet's, another version's, spoilt.
    pub foreign: u64,
    /// Messages that made no sense.
    pub senseless: u64,
    /// Orders refused, since their epoch had been succeeded.
    pub refused: u64,
    /// Messages too long to be sent.
    pub too_long: u64,
    /// Replies of voters that cannot store, or came back with an older copy of their file.
    pub unfit: u64,
    /// How it stands with the configuration's versions, if it gets them from control machines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<Configuration>,
}

/// Where a node's thread puts its status, and the door finds it.
#[derive(Clone, Debug, Default)]
pub struct Board(Arc<Mutex<Status>>);

impl Board {
    /// Puts up a new status; what another thread tells of the configuration's versions stays.
    pub fn put(&self, status: Status) {
        let mut board = self.lock();
        let configuration = board.configuration.take();
        *board = Status { configuration, ..status };
    }

    /// Puts up how this gateway stands with the configuration's versions.
    pub fn configure(&self, configuration: Configuration) {
        self.lock().configuration = Some(configuration);
    }

    /// The status as it stands.
    pub fn get(&self) -> Status {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Status> {
        // Whoever panicked over it has changed it whole or not at all.
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Status {
    /// A node's status.
    pub fn of(node: &Node, now: Duration) -> Status {
        let settings = node.settings();
        let member = |peer: &MemberIdentity| Member {
            name: peer.name.clone(),
            address: peer.address.to_string(),
            start: peer.start,
        };
        let (members, me) = (node.membership(), node.membership().local());
        let named = |id: NodeId| {
            let mut all = members.members().chain([me]);
            all.find(|peer| peer.node_id() == id).map(|peer| peer.name.clone())
        };
        let seat = |role: &String| {
            let seat = node.lease(role)?;
            let (seen, held) = (seat.last_seen(), seat.valid_epoch(now));
            let owner = seen.and_then(|tenure| tenure.holder).and_then(named);
            let epoch = seen.map_or(0, |tenure| tenure.epoch);
            Some(Role { name: role.clone(), epoch, owner, held: held.is_some() })
        };
        let voter = |(slot, voter): (usize, &MemberIdentity)| Voter {
            name: voter.name.clone(),
            generation: node.acceptor_knowledge().acceptors.generation(AcceptorSlot(slot as u8)),
            present: members.members().chain([me]).any(|peer| peer.name == voter.name),
        };
        let dropped = node.drop_counts();
        Status {
            fleet: settings.fleet.clone(),
            me: member(me),
            members: members.members().map(member).collect(),
            voters: settings.acceptors.iter().enumerate().map(voter).collect(),
            voting: node.acceptor().map(|voter| !voter.is_uninitialized()),
            registers: node.acceptor().map_or(0, |voter| voter.register_count()),
            unstored: None,
            roles: settings.roles.iter().filter_map(seat).collect(),
            foreign: dropped.foreign_datagrams,
            senseless: dropped.malformed_messages + members.rejected_messages(),
            refused: dropped.rejected_orders,
            too_long: dropped.oversized_messages,
            unfit: node.acceptor_knowledge().unfit_replies,
            configuration: None,
        }
    }

    /// Asks a gateway's door.
    ///
    /// # Errors
    /// What went wrong, in words for the operator.
    pub fn ask(door: SocketAddr) -> Result<Status, String> {
        let text = fetch(door).map_err(|e| format!("{door} does not answer: {e}"))?;
        let (head, body) = text.split_once("\r\n\r\n").ok_or(format!("{door}: no answer of a door"))?;
        match head.split(' ').nth(1) {
            Some("200") => serde_json::from_str(body).map_err(|e| format!("{door}: {e}")),
            Some("404") => Err(format!("{door}: this gateway is in no fleet")),
            _ => Err(format!("{door}: {}", head.lines().next().unwrap_or_default())),
        }
    }
}

fn fetch(door: SocketAddr) -> io::Result<String> {
    let mut socket = TcpStream::connect_timeout(&door, PATIENCE)?;
    socket.set_read_timeout(Some(PATIENCE))?;
    socket.write_all(format!("GET /ops/fleet HTTP/1.1\r\nHost: {door}\r\n\r\n").as_bytes())?;
    let mut text = String::new();
    socket.take(LONGEST).read_to_string(&mut text)?;
    Ok(text)
}

impl fmt::Display for Configuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.version, &self.digest) {
            (Some(version), Some(digest)) => {
                write!(f, "configuration: version {version} ({digest}) in force")?
            }
            _ => write!(f, "configuration: no version in force, the gateway's own file")?,
        }
        match &self.machine {
            Some(machine) if self.cut_off_ms == 0 => writeln!(f, ", heard from {machine}")?,
            _ => writeln!(f, ", cut off from all control machines for {} ms", self.cut_off_ms)?,
        }
        if let Some(Refused { version, digest, why }) = &self.refused {
            writeln!(f, "refused: version {version} ({digest}): {why}")?;
        }
        if let Some(why) = &self.unstored {
            writeln!(f, "a version cannot be stored, it is tried again: {why}")?;
        }
        let Configuration { older, conflicts, .. } = self;
        match older + conflicts {
            0 => Ok(()),
            _ => writeln!(f, "offered and not taken: {older} older; numbers with two digests: {conflicts}"),
        }
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let voting = match self.voting {
            None => "no voter".to_string(),
            Some(true) => format!("votes, {} registers", self.registers),
            Some(false) => "a voter without its file, to be let in".to_string(),
        };
        writeln!(f, "fleet {}, {} at {}: {voting}", self.fleet, self.me.name, self.me.address)?;
        if let Some(why) = &self.unstored {
            writeln!(f, "the voter cannot store, it answers nothing new until it can: {why}")?;
        }
        let Status { foreign, senseless, too_long, refused, unfit, .. } = self;
        writeln!(f, "dropped: {foreign} foreign, {senseless} senseless, {too_long} too long; orders refused: {refused}")?;
        if *unfit > 0 {
            writeln!(f, "replies of voters that cannot store or have an older copy of their file: {unfit}")?;
        }
        if let Some(configuration) = &self.configuration {
            write!(f, "{configuration}")?;
        }
        writeln!(f, "\n{:<24} {:<24} START", "MEMBER", "ADDRESS")?;
        for member in std::iter::once(&self.me).chain(&self.members) {
            writeln!(f, "{:<24} {:<24} {}", member.name, member.address, member.start)?;
        }
        writeln!(f, "\n{:<24} {:<24} PRESENT", "VOTER", "FILE")?;
        for voter in &self.voters {
            writeln!(
                f,
                "{:<24} {:<24} {}",
                voter.name,
                voter.generation,
                if voter.present { "yes" } else { "no" }
            )?;
        }
        writeln!(f, "\n{:<24} {:<24} EPOCH", "ROLE", "OWNER")?;
        for role in &self.roles {
            let owner = role.owner.as_deref().unwrap_or(if role.epoch == 0 { "-" } else { "?" });
            let own = if role.held { " (here)" } else { "" };
            writeln!(f, "{:<24} {:<24} {}", role.name, format!("{owner}{own}"), role.epoch)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
