//! The metrics that operators fetch, in the statsd text format.

use std::collections::BTreeMap;
use std::fmt;

/// Counters of a class's requests since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Requests answered with a host's rows.
    pub ok: u64,
    /// Requests rejected to shed load.
    pub shed: u64,
    /// Requests answered with an error.
    pub errors: u64,
    /// Attempts whose statement was written completely to a host: the metric `tries`.
    pub attempts: u64,
}

/// All metrics. Counters only grow; a class that is removed from the settings keeps its counters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    classes: BTreeMap<String, ClassCounters>,
    /// Requests in flight.
    pub active: usize,
    /// Hosts in the endpoint list.
    pub pool_size: usize,
    /// Listed hosts that currently get no requests: administratively down, or ejected by the router.
    pub pool_ejected: usize,
    /// Configurations accepted at SIGHUP.
    pub config_applied: u64,
    /// Configurations rejected at SIGHUP.
    pub config_rejected: u64,
}

impl Metrics {
    /// The counters of a class, which are added as zeros on first use.
    pub fn class_mut(&mut self, name: &str) -> &mut ClassCounters {
        self.classes.entry(name.to_string()).or_default()
    }

    /// Adds another worker's metrics. Only one worker counts configurations.
    pub fn add(&mut self, other: &Metrics) {
        for (name, counters) in &other.classes {
            let sum = self.class_mut(name);
            sum.ok += counters.ok;
            sum.shed += counters.shed;
            sum.errors += counters.errors;
            sum.attempts += counters.attempts;
        }
        self.active += other.active;
        self.pool_size += other.pool_size;
        self.pool_ejected += other.pool_ejected;
        self.config_applied += other.config_applied;
        self.config_rejected += other.config_rejected;
    }
}

impl fmt::Display for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (class, ClassCounters { ok, shed, errors, attempts }) in &self.classes {
            for (name, count) in [("ok", ok), ("shed", shed), ("errors", errors), ("tries", attempts)] {
                writeln!(f, "gw.responses.{class}.{name}:{count}|c")?;
            }
        }
        let gauges =
            [("active", self.active), ("pool_size", self.pool_size), ("pool_ejected", self.pool_ejected)];
        for (name, value) in gauges {
            writeln!(f, "gw.{name}:{value}|g")?;
        }
        for (name, count) in
            [("config_applied", self.config_applied), ("config_rejected", self.config_rejected)]
        {
            writeln!(f, "gw.{name}:{count}|c")?;
        }
        Ok(())
    }
}
