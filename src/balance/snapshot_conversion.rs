//! Conversions between the router's state in memory and its serialised form.

use super::progress::Progress;
use super::snapshot_format::*;
use super::state::{Group, Member};
use crate::api::*;
use crate::notice::Source;

impl From<Entry> for EndpointRecord {
    fn from(entry: Entry) -> EndpointRecord {
        let Entry { member, group, zone, listed, weight, started, primary } = entry;
        EndpointRecord { member, group, zone, listed: listed.into(), weight, started, primary }
    }
}

impl From<EndpointRecord> for Entry {
    fn from(record: EndpointRecord) -> Entry {
        let EndpointRecord { member, group, zone, listed, weight, started, primary } = record;
        Entry { member, group, zone, listed: listed.into(), weight, started, primary }
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

convert!(Listed, EndpointStateRecord: Ready = Ready, Draining = Draining, Gone = Gone);
convert!(Role, RoleRecord: Primary = Primary, Replica = Replica);
convert!(Status, StatusRecord:
    Ok = Ok, Error = Error, Full = Full, Timeout = Timeout, ConnectFailed = ConnectFailed, Reset = Reset,
    Spoilt = Spoilt, Cancelled = Cancelled, Withdrawn = Withdrawn, Moot = Moot, Miss = Miss);

impl From<Source> for PositionSourceRecord {
    fn from(source: Source) -> PositionSourceRecord {
        match source {
            Source::Nobody => PositionSourceRecord::Nobody,
            Source::Answer(status) => PositionSourceRecord::Answer(status.into()),
            Source::Report => PositionSourceRecord::Report,
        }
    }
}

impl From<PositionSourceRecord> for Source {
    fn from(record: PositionSourceRecord) -> Source {
        match record {
            PositionSourceRecord::Nobody => Source::Nobody,
            PositionSourceRecord::Answer(status) => Source::Answer(status.into()),
            PositionSourceRecord::Report => Source::Report,
        }
    }
}

impl From<&Member> for MemberRecord {
    fn from(member: &Member) -> MemberRecord {
        MemberRecord {
            entry: member.entry.into(),
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
            entry: record.entry.into(),
            born: record.born,
            born_by_list: record.born_by_list,
            position: record.position,
            position_at: record.position_at,
            position_from: record.position_from.into(),
            lag: record.lag,
            role: record.role.into(),
            role_at: record.role_at,
            role_position: record.role_position,
            progress: Progress::default(),
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
            served: group.served,
            live: group.live,
            log_time: group.log_time.into(),
            floor: group.floor,
        }
    }
}

impl From<GroupRecord> for Group {
    fn from(record: GroupRecord) -> Group {
        Group {
            members: record.members,
            served: record.served,
            live: record.live,
            log_time: record.log_time.into(),
            floor: record.floor,
            ..Group::default()
        }
    }
}
