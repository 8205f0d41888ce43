//! Conversions between the router's state in memory and its serialised form in a snapshot.

use super::group::Group;
use super::snapshot_format::*;
use crate::api::*;
use crate::notice::PositionSource;

impl From<Endpoint> for EndpointRecord {
    fn from(endpoint: Endpoint) -> EndpointRecord {
        let Endpoint { member, group, zone, state, weight, started, primary } = endpoint;
        EndpointRecord { member, group, zone, state: state.into(), weight, started, primary }
    }
}

impl From<EndpointRecord> for Endpoint {
    fn from(record: EndpointRecord) -> Endpoint {
        let EndpointRecord { member, group, zone, state, weight, started, primary } = record;
        Endpoint { member, group, zone, state: state.into(), weight, started, primary }
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

convert!(EndpointState, EndpointStateRecord: Ready = Ready, Draining = Draining, Removed = Removed);
convert!(Role, RoleRecord: Primary = Primary, Replica = Replica);
convert!(AttemptStatus, StatusRecord:
    Ok = Ok, Error = Error, Rejected = Rejected, Timeout = Timeout, ConnectFailed = ConnectFailed,
    Reset = Reset, Malformed = Malformed, Cancelled = Cancelled, Withdrawn = Withdrawn, NotSent = NotSent,
    Unsuitable = Unsuitable);

impl From<PositionSource> for PositionSourceRecord {
    fn from(source: PositionSource) -> PositionSourceRecord {
        match source {
            PositionSource::Unknown => PositionSourceRecord::Unknown,
            PositionSource::Answer(status) => PositionSourceRecord::Answer(status.into()),
            PositionSource::Report => PositionSourceRecord::Report,
        }
    }
}

impl From<PositionSourceRecord> for PositionSource {
    fn from(record: PositionSourceRecord) -> PositionSource {
        match record {
            PositionSourceRecord::Unknown => PositionSource::Unknown,
            PositionSourceRecord::Answer(status) => PositionSource::Answer(status.into()),
            PositionSourceRecord::Report => PositionSource::Report,
        }
    }
}

impl From<&Group> for GroupRecord {
    fn from(group: &Group) -> GroupRecord {
        GroupRecord {
            members: group.members.clone(),
            served_cost: group.served_cost,
            members_in_service: group.members_in_service,
            log_time: group.log_clock.into(),
            forgotten_commit: group.forgotten_commit,
        }
    }
}

impl From<GroupRecord> for Group {
    fn from(record: GroupRecord) -> Group {
        Group {
            members: record.members,
            served_cost: record.served_cost,
            members_in_service: record.members_in_service,
            log_clock: record.log_time.into(),
            forgotten_commit: record.forgotten_commit,
            ..Group::default()
        }
    }
}
