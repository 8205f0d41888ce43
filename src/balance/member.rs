//! The state of a database member in this router: its entry in the endpoint list, and what its answers and
//! failures have shown.

use rand_pcg::Pcg64Mcg;

use crate::api::*;

mod health_check;
mod load;
mod log_position;
mod outlier;
mod role_claim;
mod serialized;
mod slow_start;
mod unread_answers;

use health_check::HealthCheck;
use load::Load;
use log_position::LogPosition;
use outlier::OutlierDetection;
use role_claim::RoleClaim;
use slow_start::SlowStart;
use unread_answers::UnreadAnswers;

/// Minimum weight of a failing member in a draw: the few requests that it still gets show its recovery.
const MIN_WEIGHT: f64 = 0.01;
/// Lower limit of the latency ratio in a weight: a lower ratio doesn't raise the weight further.
const MIN_LATENCY_RATIO: f64 = 0.2;
/// Weight of a new sample in a member's running means, which must reflect a fault within a second.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Exponent by which the failure rate lowers a weight.
const FAILURE_EXPONENT: i32 = 4;

/// A database member.
pub struct Member {
    endpoint: Endpoint,
    /// Taken out of service by operators, regardless of the list.
    administratively_down: bool,
    /// It may still be sent requests after its removal from the list: it has not drained since it was last
    /// listed as ready.
    serves_if_removed: bool,
    pub log: LogPosition,
    pub role: RoleClaim,
    pub load: Load,
    pub outlier: OutlierDetection,
    pub slow_start: SlowStart,
    pub health_check: HealthCheck,
    pub unread_answers: UnreadAnswers,
    /// Running mean of the latency of a request divided by the mean latency of its class.
    latency_ratio: f64,
    /// Running mean of the fraction of requests that fail.
    failure_rate: f64,
    /// Weight in a draw, before zone and load are taken into account.
    weight: f64,
}

impl Member {
    /// A member of which only the endpoint is known, with this role and concurrency limit.
    pub fn new(endpoint: Endpoint, role: Role, limit: f64) -> Member {
        Member {
            endpoint,
            administratively_down: false,
            serves_if_removed: false,
            log: LogPosition::default(),
            role: RoleClaim::unclaimed(role),
            load: Load::new(limit),
            outlier: OutlierDetection::default(),
            slow_start: SlowStart::default(),
            health_check: HealthCheck::default(),
            unread_answers: UnreadAnswers::default(),
            latency_ratio: 1.0,
            failure_rate: 0.0,
            weight: endpoint.weight.max(MIN_WEIGHT),
        }
    }

    /// The member's entry in the endpoint list.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// The member's group.
    pub fn group(&self) -> GroupId {
        self.endpoint.group
    }

    /// Whether it may be sent requests according to the endpoint list and the operators.
    pub fn is_in_service(&self) -> bool {
        let listed = match self.endpoint.state {
            EndpointState::Ready => true,
            EndpointState::Draining => false,
            EndpointState::Removed => self.serves_if_removed,
        };
        listed && !self.administratively_down
    }

    /// Whether it is in service and not ejected.
    pub fn is_usable(&self) -> bool {
        self.is_in_service() && !self.outlier.is_ejected()
    }

    /// Whether it has stated to be a replica, or may have done so in an answer that was not read.
    pub fn may_be_replica(&self, now: Micros, has_other_process: bool) -> bool {
        let has_stated_replica = self.role.role() == Role::Replica && self.role.claimed_at() > Micros(0);
        has_stated_replica || !self.unread_answers.is_role_current(now, has_other_process)
    }

    /// Whether it must not be removed: it has attempts in flight or is listed as ready.
    pub fn is_retained(&self) -> bool {
        self.load.is_in_use() || self.endpoint.state == EndpointState::Ready
    }

    /// Updates its entry from the endpoint list. With `removed_may_serve` the list may miss live members, so
    /// that a removed one is still sent requests; one that has drained stays out of service.
    pub fn relist(&mut self, endpoint: Endpoint, administratively_down: bool, removed_may_serve: bool) {
        let ready = endpoint.state == EndpointState::Ready;
        let drains = endpoint.state == EndpointState::Draining;
        self.serves_if_removed = removed_may_serve && !drains && (self.serves_if_removed || ready);
        self.administratively_down = administratively_down;
        self.endpoint = endpoint;
    }

    /// Marks it as removed, because a full list does not contain it.
    pub fn mark_removed(&mut self) {
        self.endpoint.state = EndpointState::Removed;
    }

    /// Forgets the log position and role that it reported in its former group, after the list moved it to
    /// another.
    pub fn leave_group(&mut self, role: Role) {
        self.log.forget_group();
        self.role = RoleClaim::unclaimed(role);
    }

    /// Forgets its failures, because the list names a later start, and begins its slow start.
    pub fn restart_as_listed(&mut self, at: Micros, rng: &mut Pcg64Mcg) {
        self.failure_rate = 0.0;
        self.outlier.forget_failures();
        self.slow_start.restart_as_listed(at, rng);
    }

    /// Takes it out of service on behalf of the operators.
    pub fn take_out_of_service(&mut self) {
        self.administratively_down = true;
    }

    /// Puts it back into service on behalf of the operators. It may have been restarted meanwhile: it begins
    /// a slow start, keeps its position, and is a replica until it claims otherwise. Its other statistics are
    /// reset.
    pub fn put_back(&mut self, now: Micros, limit: f64, rng: &mut Pcg64Mcg) {
        let mut slow_start = SlowStart::default();
        slow_start.restart(now, rng);
        *self = Member {
            serves_if_removed: self.serves_if_removed,
            log: self.log.after_restart(),
            role: self.role.after_restart(),
            load: self.load.after_restart(limit),
            health_check: self.health_check.after_restart(),
            unread_answers: std::mem::take(&mut self.unread_answers),
            slow_start,
            ..Member::new(self.endpoint, Role::Replica, limit)
        };
    }

    /// Running mean of the latency of a request divided by the mean latency of its class.
    pub fn latency_ratio(&self) -> f64 {
        self.latency_ratio
    }

    /// Running mean of the fraction of requests that fail.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Weight in a draw, before zone and load are taken into account.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Records a served request; `ratio` is its latency divided by the mean latency of its class.
    pub fn record_latency(&mut self, ratio: f64) {
        self.latency_ratio += (ratio - self.latency_ratio) * SAMPLE_WEIGHT;
    }

    /// Records a served request in the failure rate.
    pub fn record_success(&mut self) {
        self.failure_rate -= self.failure_rate * SAMPLE_WEIGHT;
    }

    /// Records a failed request in the failure rate.
    pub fn record_failure(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * SAMPLE_WEIGHT;
    }

    /// Multiplies the failure rate and the lag by this factor.
    pub fn decay_failures_and_lag(&mut self, factor: f64) {
        self.failure_rate *= factor;
        self.log.decay_lag(factor);
    }

    /// Recomputes the weight, for a member that has at least this fraction of its capacity.
    pub fn refresh_weight(&mut self, capacity_fraction: f64) {
        let reliability = (1.0 - self.failure_rate).powi(FAILURE_EXPONENT);
        let size = if self.endpoint.weight > 0.0 { self.endpoint.weight } else { 1.0 };
        let weight = size * capacity_fraction * reliability / self.latency_ratio.max(MIN_LATENCY_RATIO);
        self.weight = weight.max(MIN_WEIGHT);
    }

    /// Whether it has capacity for a request of this cost within `limit_fraction` of its concurrency limit.
    pub fn has_capacity(&self, now: Micros, settings: &Settings, cost: f64, limit_fraction: f64) -> bool {
        !self.load.is_paused(now) && self.has_capacity_in_pause(now, settings, cost, limit_fraction)
    }

    /// The same regardless of a pause, for a request that can be sent nowhere else. Such requests are few; a
    /// pause is for the many that may be sent elsewhere or be retried.
    pub fn has_capacity_in_pause(
        &self,
        now: Micros,
        settings: &Settings,
        cost: f64,
        limit_fraction: f64,
    ) -> bool {
        let capacity_fraction = self.slow_start.capacity_fraction(now, settings);
        !self.slow_start.is_exhausted(capacity_fraction)
            && self.load.fits(cost, capacity_fraction, limit_fraction)
    }
}
