//! Conversions between the router's state in memory and its serialised form.

use super::progress::PrimaryProgress;
use super::snapshot_format::*;
use super::state::{Group, Member};
use crate::api::*;
use crate::notice::PositionSource;

impl From<Endpoint> for EndpointRecord {
    fn from(endpoint: Endpoint) -> EndpointRecord {
        let Endpoint { member, group, zone, state, weight, started, primary } = endpoint;
        EndpointRecord { member, group, zone, listed: state.into(), weight, started, primary }
    }
}

impl From<EndpointRecord> for Endpoint {
    fn from(record: EndpointRecord) -> Endpoint {
        let EndpointRecord { member, group, zone, listed, weight, started, primary } = record;
        Endpoint { member, group, zone, state: listed.into(), weight, started, primary }
    }
}

/// Conversions both ways between an enum in memory and its record, variant by variant.
macro_rules! convert {
    ($memory:ident, $record:ident: $($variant:ident = $recorded:ident),*) => {
        impl From<$memory> for $record {
            fn from(value: $memory) -> $record {
                match value {
                    $($memory::$variant => $record::$recorded,)*
                }
            }
        }

        impl From<$record> for $memory {
            fn from(record: $record) -> $memory {
                match record {
                    $($record::$recorded => $memory::$variant,)*
                }
            }
        }
    };
}

convert!(EndpointState, EndpointStateRecord: Ready = Ready, Draining = Draining, Removed = Gone);
convert!(Role, RoleRecord: Primary = Primary, Replica = Replica);
convert!(AttemptStatus, StatusRecord:
    Ok = Ok, Error = Error, Rejected = Full, Timeout = Timeout, ConnectFailed = ConnectFailed, Reset = Reset,
    Malformed = Spoilt, Cancelled = Cancelled, Withdrawn = Withdrawn, NotSent = Moot, Unsuitable = Miss);

impl From<PositionSource> for PositionSourceRecord {
    fn from(source: PositionSource) -> PositionSourceRecord {
        match source {
            PositionSource::Unknown => PositionSourceRecord::Nobody,
            PositionSource::Answer(status) => PositionSourceRecord::Answer(status.into()),
            PositionSource::Report => PositionSourceRecord::Report,
        }
    }
}

impl From<PositionSourceRecord> for PositionSource {
    fn from(record: PositionSourceRecord) -> PositionSource {
        match record {
            PositionSourceRecord::Nobody => PositionSource::Unknown,
            PositionSourceRecord::Answer(status) => PositionSource::Answer(status.into()),
            PositionSourceRecord::Report => PositionSource::Report,
        }
    }
}

impl From<&Member> for MemberRecord {
    fn from(member: &Member) -> MemberRecord {
        MemberRecord {
            entry: member.endpoint.into(),
            born: member.born,
            born_by_list: member.born_by_list,
            position: member.position,
            position_at: member.position_at,
            position_from: member.position_from.into(),
            lag: member.lag,
            role: member.role.into(),
            role_at: member.role_at,
            role_position: member.role_position,
            ghost: member.ghost,
            limit: member.limit,
            paused_until: member.paused_until,
            stretch: member.stretch,
            fail: member.fail,
            weight: member.weight,
            administratively_down: member.administratively_down,
            unbound: member.unbound,
            breaks: member.breaks,
            broken: member.broken,
            silent: member.silent,
            heard_at: member.heard_at,
            ejected: member.ejected,
            probed_at: member.probed_at,
            used_at: member.used_at,
            credit: member.credit,
        }
    }
}

/// What is out stays behind: nothing is in flight here, and a primary's progress is followed anew.
impl From<MemberRecord> for Member {
    fn from(record: MemberRecord) -> Member {
        Member {
            endpoint: record.entry.into(),
            born: record.born,
            born_by_list: record.born_by_list,
            position: record.position,
            position_at: record.position_at,
            position_from: record.position_from.into(),
            lag: record.lag,
            role: record.role.into(),
            role_at: record.role_at,
            role_position: record.role_position,
            progress: PrimaryProgress::default(),
            inflight: 0,
            load: 0.0,
            ghost: record.ghost,
            limit: record.limit,
            paused_until: record.paused_until,
            stretch: record.stretch,
            fail: record.fail,
            weight: record.weight,
            administratively_down: record.administratively_down,
            unbound: record.unbound,
            breaks: record.breaks,
            broken: record.broken,
            silent: record.silent,
            heard_at: record.heard_at,
            ejected: record.ejected,
            probed_at: record.probed_at,
            probing: false,
            used_at: record.used_at,
            credit: record.credit,
        }
    }
}

impl From<&Group> for GroupRecord {
    fn from(group: &Group) -> GroupRecord {
        GroupRecord {
            members: group.members.clone(),
            served: group.served_cost,
            live: group.live_members,
            log_time: group.log_clock.into(),
            floor: group.forgotten_commit,
        }
    }
}

impl From<GroupRecord> for Group {
    fn from(record: GroupRecord) -> Group {
        Group {
            members: record.members,
            served_cost: record.served,
            live_members: record.live,
            log_clock: record.log_time.into(),
            forgotten_commit: record.floor,
            ..Group::default()
        }
    }
}
