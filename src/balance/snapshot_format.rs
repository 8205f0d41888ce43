//! The serialised form of a router's state in a hot restart. The names are read and written by other versions
//! of the gateway: they stay as they are, whatever the types in memory are called.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::api::*;

/// All that a router knows of members, groups and sessions.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Snapshot {
    pub(super) members: BTreeMap<MemberId, MemberRecord>,
    pub(super) groups: BTreeMap<GroupId, GroupRecord>,
    /// Each session once.
    pub(super) sessions: BTreeMap<SessionKey, SessionRecord>,
    /// Further groups of sessions that wrote to more than one; a process of an earlier version knows none.
    #[serde(default)]
    pub(super) roaming: Vec<(SessionKey, SessionRecord)>,
    #[serde(rename = "barred")]
    pub(super) administratively_down: BTreeSet<MemberId>,
    #[serde(default)]
    pub(super) common_clock: LogClockRecord,
    pub(super) span: f64,
    /// Mean latency of each class, by its place in the settings.
    #[serde(rename = "means")]
    pub mean_latencies: Vec<f64>,
}

/// A member.
#[derive(Clone, Serialize, Deserialize)]
pub struct MemberRecord {
    pub entry: EndpointRecord,
    pub born: Micros,
    #[serde(default)]
    pub born_by_list: bool,
    pub position: Option<Micros>,
    pub position_at: Micros,
    #[serde(default)]
    pub position_from: PositionSourceRecord,
    pub lag: Micros,
    pub role: RoleRecord,
    pub role_at: Micros,
    #[serde(default)]
    pub role_position: Option<Micros>,
    pub ghost: f64,
    pub limit: f64,
    pub paused_until: Micros,
    pub stretch: f64,
    pub fail: f64,
    pub weight: f64,
    #[serde(rename = "barred")]
    pub administratively_down: bool,
    pub unbound: bool,
    pub breaks: u32,
    /// Since when, and whether a connection was cut.
    pub broken: Option<(Micros, bool)>,
    pub silent: bool,
    pub heard_at: Micros,
    pub ejected: Option<Micros>,
    pub probed_at: Micros,
    pub used_at: Micros,
    pub credit: f64,
}

/// A member as the endpoint list named it.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct EndpointRecord {
    pub member: MemberId,
    pub group: GroupId,
    pub zone: ZoneId,
    pub listed: EndpointStateRecord,
    pub weight: f64,
    pub started: Micros,
    pub primary: bool,
}

/// What the endpoint list said of a member's state.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub enum EndpointStateRecord {
    Ready,
    Draining,
    Gone,
}

/// A member's role.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub enum RoleRecord {
    Primary,
    Replica,
}

/// Where a member's position comes from.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub enum PositionSourceRecord {
    #[default]
    Nobody,
    Answer(StatusRecord),
    Report,
}

/// How the attempt ended whose answer had a position.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub enum StatusRecord {
    Ok,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Spoilt,
    Cancelled,
    Withdrawn,
    Moot,
    Miss,
}

/// A group. Earlier versions wrote a `log_clock`, which rested on single answers and is not read.
#[derive(Clone, Serialize, Deserialize)]
pub struct GroupRecord {
    pub members: Vec<MemberId>,
    pub served: f64,
    pub live: f64,
    #[serde(default)]
    pub log_time: LogClockRecord,
    pub floor: Micros,
}

/// A session's latest commit in a group.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct SessionRecord {
    pub group: GroupId,
    pub commit: Micros,
}

/// What is proved of a log's time.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct LogClockRecord {
    pub known: Option<OffsetRecord>,
    pub doubt: Option<DoubtRecord>,
}

/// Bounds of the log's time less the router's, in microseconds.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct OffsetRecord {
    #[serde(rename = "at")]
    pub exact_at: Micros,
    #[serde(rename = "least")]
    pub lower: i64,
    #[serde(rename = "most")]
    pub upper: i64,
}

/// Proofs that do not fit what is known of a log's time.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct DoubtRecord {
    pub offset: OffsetRecord,
    pub proofs: u32,
    pub since: Micros,
}
