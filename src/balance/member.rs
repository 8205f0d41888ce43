//! A database member as this router knows it: what the endpoint list says, and what its answers and failures
//! have shown.

use rand_pcg::Pcg64Mcg;

use crate::api::*;

mod health_check;
mod load;
mod log_position;
mod outlier;
mod role_claim;
mod serialized;
mod slow_start;

use health_check::HealthCheck;
use load::Load;
use log_position::LogPosition;
use outlier::OutlierDetection;
use role_claim::RoleClaim;
use slow_start::SlowStart;

/// Least weight of a failing member in a draw: the trickle that shows its return.
const MIN_WEIGHT: f64 = 0.01;
/// Least latency ratio that raises a weight.
const MIN_LATENCY_RATIO: f64 = 0.2;
/// Weight of a new sample in a member's own figures, which must follow a fault within a second.
const SAMPLE_WEIGHT: f64 = 0.1;
/// How strongly the rate of failures lowers a weight.
const FAILURE_EXPONENT: i32 = 4;

/// A database member.
pub struct Member {
    endpoint: Endpoint,
    /// Taken out of service by operators, whatever the list says.
    administratively_down: bool,
    /// It may still be sent to once it is removed from the list: it has not drained since its start.
    serves_if_removed: bool,
    pub log: LogPosition,
    pub role: RoleClaim,
    pub load: Load,
    pub outlier: OutlierDetection,
    pub slow_start: SlowStart,
    pub health_check: HealthCheck,
    /// Running mean of latency over its class's mean.
    latency_ratio: f64,
    /// Running share of failures.
    failure_rate: f64,
    /// Weight in a draw, before zone and load.
    weight: f64,
}

impl Member {
    /// A member that nothing is known of but its endpoint, with this concurrency limit.
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
            latency_ratio: 1.0,
            failure_rate: 0.0,
            weight: endpoint.weight.max(MIN_WEIGHT),
        }
    }

    /// The member as the list names it.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// The member's group.
    pub fn group(&self) -> GroupId {
        self.endpoint.group
    }

    /// Whether it may be sent requests, by the list and by the operators.
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

    /// Whether it is kept whatever is known of it.
    pub fn is_retained(&self) -> bool {
        self.load.is_in_use() || self.endpoint.state == EndpointState::Ready
    }

    /// The list names it again, or changed. Where `removed_may_serve`, the list may miss live members; one
    /// that has drained stays out of service.
    pub fn relist(&mut self, endpoint: Endpoint, administratively_down: bool, removed_may_serve: bool) {
        let ready = endpoint.state == EndpointState::Ready;
        let drains = endpoint.state == EndpointState::Draining;
        self.serves_if_removed = removed_may_serve && !drains && (self.serves_if_removed || ready);
        self.administratively_down = administratively_down;
        self.endpoint = endpoint;
    }

    /// A full list does not name it.
    pub fn mark_removed(&mut self) {
        self.endpoint.state = EndpointState::Removed;
    }

    /// The list has moved it to another group: what it said in the former one is void.
    pub fn leave_group(&mut self, role: Role) {
        self.log.forget_group();
        self.role = RoleClaim::unclaimed(role);
    }

    /// The list names a later start: what was known of its health is void.
    pub fn restart_as_listed(&mut self, at: Micros, rng: &mut Pcg64Mcg) {
        self.failure_rate = 0.0;
        self.outlier.forget_failures();
        self.slow_start.restart_as_listed(at, rng);
    }

    /// Operators take it out of service.
    pub fn take_out_of_service(&mut self) {
        self.administratively_down = true;
    }

    /// Operators put it back. It may have been restarted meanwhile: it is warming up, with its old position
    /// and no claim to be the primary, and nothing else that was known of it counts any more.
    pub fn put_back(&mut self, now: Micros, limit: f64, rng: &mut Pcg64Mcg) {
        let mut slow_start = SlowStart::default();
        slow_start.restart(now, rng);
        *self = Member {
            serves_if_removed: self.serves_if_removed,
            log: self.log.after_restart(),
            role: self.role.after_restart(),
            load: self.load.after_restart(limit),
            health_check: self.health_check.after_restart(),
            slow_start,
            ..Member::new(self.endpoint, Role::Replica, limit)
        };
    }

    /// Running mean of latency over its class's mean.
    pub fn latency_ratio(&self) -> f64 {
        self.latency_ratio
    }

    /// Running share of failures.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Weight in a draw, before zone and load.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// A request was served with this latency over its class's mean.
    pub fn record_latency(&mut self, ratio: f64) {
        self.latency_ratio += (ratio - self.latency_ratio) * SAMPLE_WEIGHT;
    }

    /// A request was served.
    pub fn record_success(&mut self) {
        self.failure_rate -= self.failure_rate * SAMPLE_WEIGHT;
    }

    /// A request failed.
    pub fn record_failure(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * SAMPLE_WEIGHT;
    }

    /// Lets failures and the lag fade by this factor.
    pub fn decay_failures_and_lag(&mut self, factor: f64) {
        self.failure_rate *= factor;
        self.log.decay_lag(factor);
    }

    /// Computes the weight anew, for a member that surely has this part of its capacity.
    pub fn refresh_weight(&mut self, warmth: f64) {
        let reliability = (1.0 - self.failure_rate).powi(FAILURE_EXPONENT);
        let size = if self.endpoint.weight > 0.0 { self.endpoint.weight } else { 1.0 };
        let weight = size * warmth * reliability / self.latency_ratio.max(MIN_LATENCY_RATIO);
        self.weight = weight.max(MIN_WEIGHT);
    }

    /// Whether it has capacity for a request of this cost, within a part of its concurrency limit.
    pub fn has_capacity(&self, now: Micros, settings: &Settings, cost: f64, part: f64) -> bool {
        !self.load.is_paused(now) && self.has_capacity_in_pause(now, settings, cost, part)
    }

    /// The same for a request that can be sent nowhere else, pause or not: few are such, and a pause is for
    /// the many that may be sent elsewhere or be retried.
    pub fn has_capacity_in_pause(&self, now: Micros, settings: &Settings, cost: f64, part: f64) -> bool {
        let warmth = self.slow_start.capacity_fraction(now, settings);
        !self.slow_start.is_exhausted(warmth) && self.load.fits(cost, warmth, part)
    }
}
