//! The figures that operators fetch, as one value that prints itself in statsd's form.

use std::collections::BTreeMap;
use std::fmt;

/// What became of a class's requests since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Served.
    pub ok: u64,
    /// Refused.
    pub shed: u64,
    /// Failed.
    pub errors: u64,
    /// Attempts written whole to hosts.
    pub tries: u64,
}

/// All figures. Counts only grow; a class that is dropped keeps its own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    classes: BTreeMap<String, Tally>,
    /// Requests taken and not yet ended.
    pub active: usize,
    /// Hosts in the list.
    pub pool_size: usize,
    /// Listed hosts that get nothing at present, by hand or by the module's choice.
    pub pool_ejected: usize,
    /// Configurations taken at SIGHUP.
    pub config_applied: u64,
    /// Configurations turned down at SIGHUP.
    pub config_rejected: u64,
}

impl Figures {
    /// A class's counts; they appear, as zeros, once it has been asked for.
    pub fn class(&mut self, name: &str) -> &mut Tally {
        self.classes.entry(name.to_string()).or_default()
    }

    /// Adds another worker's figures. Configurations are counted by one worker alone.
    pub fn add(&mut self, other: &Figures) {
        for (name, tally) in &other.classes {
            let sum = self.class(name);
            sum.ok += tally.ok;
            sum.shed += tally.shed;
            sum.errors += tally.errors;
            sum.tries += tally.tries;
        }
        self.active += other.active;
        self.pool_size += other.pool_size;
        self.pool_ejected += other.pool_ejected;
        self.config_applied += other.config_applied;
        self.config_rejected += other.config_rejected;
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (class, tally) in &self.classes {
            let counts =
                [("ok", tally.ok), ("shed", tally.shed), ("errors", tally.errors), ("tries", tally.tries)];
            for (name, count) in counts {
                writeln!(f, "gw.responses.{class}.{name}:{count}|c")?;
            }
        }
        let gauges =
            [("active", self.active), ("pool_size", self.pool_size), ("pool_ejected", self.pool_ejected)];
        for (name, level) in gauges {
            writeln!(f, "gw.{name}:{level}|g")?;
        }
        for (name, count) in
            [("config_applied", self.config_applied), ("config_rejected", self.config_rejected)]
        {
            writeln!(f, "gw.{name}:{count}|c")?;
        }
        Ok(())
    }
}
