//! Running means of the classes' latencies, and the costs of requests that follow from them.

use crate::api::*;

/// Weight of a new sample in a running mean: about the last fifty count.
const SAMPLE_WEIGHT: f64 = 0.02;
/// The initial mean latency of a class is its latency objective divided by this.
const INITIAL_MEAN_DIVISOR: f64 = 5.0;

/// Mean latency of each class, in microseconds.
pub struct ClassLatencies {
    means: Vec<f64>,
}

impl ClassLatencies {
    /// The initial means of these classes.
    pub fn new(classes: &[Class]) -> ClassLatencies {
        ClassLatencies { means: classes.iter().map(initial_mean).collect() }
    }

    /// Replaces the classes. Classes that have changed start again at their initial mean.
    pub fn update_classes(&mut self, old: &[Class], new: &[Class]) {
        self.means.resize(self.means.len().max(new.len()), 0.0);
        for (index, class) in new.iter().enumerate() {
            if old.get(index) != Some(class) {
                self.means[index] = initial_mean(class);
            }
        }
    }

    /// Takes over the means that are known.
    pub fn restore(&mut self, means: &[Option<f64>]) {
        for (mean, known) in self.means.iter_mut().zip(means) {
            *mean = known.unwrap_or(*mean);
        }
    }

    /// All means, in the order of the classes.
    pub fn means(&self) -> &[f64] {
        &self.means
    }

    /// The mean latency of a class.
    pub fn mean(&self, class: ClassId) -> f64 {
        self.means[class.0]
    }

    /// The smallest of the means, in microseconds: the time that a usual request takes.
    pub fn smallest(&self) -> f64 {
        self.means.iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// Cost of a request in usual requests: its class's mean latency over the smallest.
    pub fn cost(&self, class: ClassId) -> f64 {
        self.mean(class) / self.smallest()
    }

    /// Records the latency of a served request. Returns its ratio to the previous mean of its class.
    pub fn record_served(&mut self, class: ClassId, latency: f64) -> f64 {
        let mean = &mut self.means[class.0];
        let ratio = latency / *mean;
        *mean += (latency - *mean) * SAMPLE_WEIGHT;
        ratio
    }

    /// Records that a request went unanswered for `waited` microseconds, a lower bound of its latency.
    pub fn record_unanswered(&mut self, class: ClassId, waited: f64) {
        let mean = &mut self.means[class.0];
        *mean += (waited - *mean).max(0.0) * SAMPLE_WEIGHT;
    }
}

fn initial_mean(class: &Class) -> f64 {
    class.latency_objective.as_f64() / INITIAL_MEAN_DIVISOR
}
