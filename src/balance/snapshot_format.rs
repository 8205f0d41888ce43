//! The serialised form of a router's state in a hot restart. Other versions of the gateway read and write it:
//! the serialised names must not change. Where a name here differs, an attribute gives the serialised one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::api::*;

/// A router's state: its members, groups and sessions.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Snapshot {
    pub(super) members: BTreeMap<MemberId, MemberRecord>,
    pub(super) groups: BTreeMap<GroupId, GroupRecord>,
    /// One group of each session.
    pub(super) sessions: BTreeMap<SessionKey, SessionRecord>,
    /// Further groups of the sessions that wrote to more than one; earlier versions do not have this field.
    #[serde(default, rename = "roaming")]
    pub(super) further_sessions: Vec<(SessionKey, SessionRecord)>,
    #[serde(rename = "barred")]
    pub(super) administratively_down: BTreeSet<MemberId>,
    #[serde(default)]
    pub(super) common_clock: LogClockRecord,
    #[serde(rename = "span")]
    pub(super) served_span: f64,
    /// Mean latency of each class in microseconds, in the order of the settings.
    #[serde(rename = "means")]
    pub mean_latencies: Vec<f64>,
}

/// A member.
#[derive(Clone, Serialize, Deserialize)]
pub struct MemberRecord {
    #[serde(rename = "entry")]
    pub endpoint: EndpointRecord,
    #[serde(rename = "born")]
    pub started_at: Micros,
    #[serde(default, rename = "born_by_list")]
    pub is_listed_start: bool,
    pub position: Option<Micros>,
    #[serde(rename = "position_at")]
    pub position_updated_at: Micros,
    #[serde(default, rename = "position_from")]
    pub position_source: PositionSourceRecord,
    pub lag: Micros,
    pub role: RoleRecord,
    #[serde(rename = "role_at")]
    pub role_claimed_at: Micros,
    #[serde(default)]
    pub role_position: Option<Micros>,
    #[serde(rename = "ghost")]
    pub failure_penalty: f64,
    pub limit: f64,
    pub paused_until: Micros,
    #[serde(rename = "stretch")]
    pub latency_ratio: f64,
    #[serde(rename = "fail")]
    pub failure_rate: f64,
    pub weight: f64,
    #[serde(rename = "barred")]
    pub administratively_down: bool,
    #[serde(rename = "unbound")]
    pub serves_if_removed: bool,
    #[serde(rename = "breaks")]
    pub consecutive_connect_failures: u32,
    /// Time of the first failure, and whether a connection was reset.
    #[serde(rename = "broken")]
    pub broken_connection: Option<(Micros, bool)>,
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    #[serde(rename = "heard_at")]
    pub last_response_at: Micros,
    #[serde(rename = "ejected")]
    pub ejected_at: Option<Micros>,
    #[serde(rename = "probed_at")]
    pub health_check_started_at: Micros,
    #[serde(rename = "used_at")]
    pub last_used_at: Micros,
    #[serde(rename = "credit")]
    pub slow_start_tokens: f64,
}

/// A member's entry in the endpoint list.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct EndpointRecord {
    pub member: MemberId,
    pub group: GroupId,
    pub zone: ZoneId,
    #[serde(rename = "listed")]
    pub state: EndpointStateRecord,
    pub weight: f64,
    pub started: Micros,
    pub primary: bool,
}

/// A member's state in the endpoint list.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub enum EndpointStateRecord {
    Ready,
    Draining,
    #[serde(rename = "Gone")]
    Removed,
}

/// A member's role.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub enum RoleRecord {
    Primary,
    Replica,
}

/// The source of a member's last known position.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub enum PositionSourceRecord {
    #[default]
    #[serde(rename = "Nobody")]
    Unknown,
    Answer(StatusRecord),
    Report,
}

/// The status of the attempt whose answer contained the position.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub enum StatusRecord {
    Ok,
    Error,
    #[serde(rename = "Full")]
    Rejected,
    Timeout,
    ConnectFailed,
    Reset,
    #[serde(rename = "Spoilt")]
    Malformed,
    Cancelled,
    Withdrawn,
    #[serde(rename = "Moot")]
    NotSent,
    #[serde(rename = "Miss")]
    Unsuitable,
}

/// A group. Earlier versions wrote a key `log_clock`, which was derived from single answers; it is not read.
#[derive(Clone, Serialize, Deserialize)]
pub struct GroupRecord {
    pub members: Vec<MemberId>,
    #[serde(rename = "served")]
    pub served_cost: f64,
    #[serde(rename = "live")]
    pub members_in_service: f64,
    #[serde(default)]
    pub log_time: LogClockRecord,
    #[serde(rename = "floor")]
    pub forgotten_commit: Micros,
}

/// A session's latest commit in a group.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct SessionRecord {
    pub group: GroupId,
    pub commit: Micros,
}

/// The offset of a log's clock, as far as it has been proved.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct LogClockRecord {
    pub known: Option<OffsetRecord>,
    #[serde(rename = "doubt")]
    pub contradiction: Option<ContradictionRecord>,
}

/// Lower and upper bound of the log time minus the router's time, in microseconds.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct OffsetRecord {
    #[serde(rename = "at")]
    pub exact_at: Micros,
    #[serde(rename = "least")]
    pub lower: i64,
    #[serde(rename = "most")]
    pub upper: i64,
}

/// Proofs that agree with each other and contradict the known or the expected offset.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct ContradictionRecord {
    pub offset: OffsetRecord,
    pub proofs: u32,
    pub since: Micros,
}
