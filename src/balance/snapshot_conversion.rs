//! Conversions between the router's state in memory and its serialised form.

use super::group::Group;
use super::snapshot_format::*;
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

impl From<&Group> for GroupRecord {
    fn from(group: &Group) -> GroupRecord {
        GroupRecord {
            members: group.members.clone(),
            served: group.served_cost,
            live: group.members_in_service,
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
            members_in_service: record.live,
            log_clock: record.log_time.into(),
            forgotten_commit: record.floor,
            ..Group::default()
        }
    }
}
