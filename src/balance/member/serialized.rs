//! Conversions between a member and its serialised form in a snapshot.

use super::health_check::HealthCheck;
use super::load::Load;
use super::log_position::LogPosition;
use super::outlier::{BrokenConnection, OutlierDetection};
use super::role_claim::RoleClaim;
use super::slow_start::SlowStart;
use super::unread_answers::UnreadAnswers;
use super::Member;
use crate::balance::progress::PrimaryProgress;
use crate::balance::snapshot_format::MemberRecord;

impl From<&Member> for MemberRecord {
    fn from(member: &Member) -> MemberRecord {
        let Member { endpoint, log, role, load, outlier, slow_start, health_check, .. } = member;
        MemberRecord {
            endpoint: (*endpoint).into(),
            started_at: slow_start.started_at,
            is_listed_start: slow_start.is_listed_start,
            position: log.position,
            position_updated_at: log.updated_at,
            position_source: log.source.into(),
            lag: log.lag,
            role: role.role.into(),
            role_claimed_at: role.claimed_at,
            role_position: role.position,
            failure_penalty: load.failure_penalty,
            limit: load.limit,
            paused_until: load.paused_until,
            latency_ratio: member.latency_ratio,
            failure_rate: member.failure_rate,
            weight: member.weight,
            administratively_down: member.administratively_down,
            serves_if_removed: member.serves_if_removed,
            consecutive_connect_failures: outlier.consecutive_connect_failures,
            broken_connection: outlier.broken_connection.map(|broken| (broken.since, broken.was_reset)),
            unresponsive: outlier.unresponsive,
            last_response_at: outlier.last_response_at,
            ejected_at: outlier.ejected_at,
            health_check_started_at: health_check.last_started_at,
            last_used_at: load.last_used_at,
            slow_start_tokens: slow_start.tokens,
        }
    }
}

/// Attempts and health checks in flight stay with the previous process, and a primary's progress starts anew.
impl From<MemberRecord> for Member {
    fn from(record: MemberRecord) -> Member {
        Member {
            endpoint: record.endpoint.into(),
            administratively_down: record.administratively_down,
            serves_if_removed: record.serves_if_removed,
            log: LogPosition {
                position: record.position,
                updated_at: record.position_updated_at,
                source: record.position_source.into(),
                lag: record.lag,
                progress: PrimaryProgress::default(),
            },
            role: RoleClaim {
                role: record.role.into(),
                claimed_at: record.role_claimed_at,
                position: record.role_position,
            },
            load: Load {
                attempts_in_flight: 0,
                cost_in_flight: 0.0,
                failure_penalty: record.failure_penalty,
                limit: record.limit,
                paused_until: record.paused_until,
                last_used_at: record.last_used_at,
            },
            outlier: OutlierDetection {
                consecutive_connect_failures: record.consecutive_connect_failures,
                broken_connection: record
                    .broken_connection
                    .map(|(since, was_reset)| BrokenConnection { since, was_reset }),
                unresponsive: record.unresponsive,
                last_response_at: record.last_response_at,
                ejected_at: record.ejected_at,
            },
            slow_start: SlowStart {
                started_at: record.started_at,
                is_listed_start: record.is_listed_start,
                tokens: record.slow_start_tokens,
            },
            health_check: HealthCheck { last_started_at: record.health_check_started_at, in_flight: false },
            unread_answers: UnreadAnswers::default(),
            latency_ratio: record.latency_ratio,
            failure_rate: record.failure_rate,
            weight: record.weight,
        }
    }
}
