//! Conversions between a member and its serialised form in a hot restart.

use super::health_check::HealthCheck;
use super::load::Load;
use super::log_position::LogPosition;
use super::outlier::{BrokenConnection, OutlierDetection};
use super::role_claim::RoleClaim;
use super::slow_start::SlowStart;
use super::Member;
use crate::balance::progress::PrimaryProgress;
use crate::balance::snapshot_format::MemberRecord;

impl From<&Member> for MemberRecord {
    fn from(member: &Member) -> MemberRecord {
        let Member { endpoint, log, role, load, outlier, slow_start, health_check, .. } = member;
        MemberRecord {
            entry: (*endpoint).into(),
            born: slow_start.started_at,
            born_by_list: slow_start.is_listed_start,
            position: log.position,
            position_at: log.updated_at,
            position_from: log.source.into(),
            lag: log.lag,
            role: role.role.into(),
            role_at: role.claimed_at,
            role_position: role.position,
            ghost: load.failure_penalty,
            limit: load.limit,
            paused_until: load.paused_until,
            stretch: member.latency_ratio,
            fail: member.failure_rate,
            weight: member.weight,
            administratively_down: member.administratively_down,
            unbound: member.serves_if_removed,
            breaks: outlier.consecutive_connect_failures,
            broken: outlier.broken_connection.map(|broken| (broken.since, broken.was_reset)),
            silent: outlier.unresponsive,
            heard_at: outlier.last_response_at,
            ejected: outlier.ejected_at,
            probed_at: health_check.last_started_at,
            used_at: load.last_used_at,
            credit: slow_start.tokens,
        }
    }
}

/// What is in flight stays with the process before, and a primary's progress is followed anew.
impl From<MemberRecord> for Member {
    fn from(record: MemberRecord) -> Member {
        Member {
            endpoint: record.entry.into(),
            administratively_down: record.administratively_down,
            serves_if_removed: record.unbound,
            log: LogPosition {
                position: record.position,
                updated_at: record.position_at,
                source: record.position_from.into(),
                lag: record.lag,
                progress: PrimaryProgress::default(),
            },
            role: RoleClaim {
                role: record.role.into(),
                claimed_at: record.role_at,
                position: record.role_position,
            },
            load: Load {
                attempts_in_flight: 0,
                cost_in_flight: 0.0,
                failure_penalty: record.ghost,
                limit: record.limit,
                paused_until: record.paused_until,
                last_used_at: record.used_at,
            },
            outlier: OutlierDetection {
                consecutive_connect_failures: record.breaks,
                broken_connection: record
                    .broken
                    .map(|(since, was_reset)| BrokenConnection { since, was_reset }),
                unresponsive: record.silent,
                last_response_at: record.heard_at,
                ejected_at: record.ejected,
            },
            slow_start: SlowStart {
                started_at: record.born,
                is_listed_start: record.born_by_list,
                tokens: record.credit,
            },
            health_check: HealthCheck { last_started_at: record.probed_at, in_flight: false },
            latency_ratio: record.stretch,
            failure_rate: record.fail,
            weight: record.weight,
        }
    }
}
