//! Targets of a run: what all gateways are to know after an event.

use std::collections::BTreeSet;

use super::super::convergence::{ConvergenceTarget, Expected};
use super::Run;

impl Run<'_> {
    /// A target by what a gateway of a region is to know of each other one; the list and the configuration stay as they are.
    pub(super) fn target(&mut self, expected: impl Fn(usize, usize) -> Expected) -> ConvergenceTarget {
        self.targets += 1;
        let others = |region| (0..self.plan.gateways()).map(|other| expected(region, other)).collect();
        let others = (0..self.plan.regions).map(others).collect();
        ConvergenceTarget {
            id: self.targets,
            others,
            version: self.discovery.version(),
            configuration: false,
        }
    }

    /// A version of the list, and nothing else.
    pub(super) fn target_of_version(&mut self, version: u64) -> ConvergenceTarget {
        ConvergenceTarget { version, ..self.target(|_, _| Expected::Anything) }
    }

    /// All live gateways are known, with a start of this number or later.
    pub(super) fn target_of_live(&mut self, least: u64) -> ConvergenceTarget {
        let live = self.live.clone();
        self.target(
            |_, other| if live.contains(&other) { Expected::StartedSince(least) } else { Expected::Anything },
        )
    }

    /// These gateways are known to be gone.
    pub(super) fn target_of_absence(&mut self, gone: &BTreeSet<usize>) -> ConvergenceTarget {
        self.target(|_, other| if gone.contains(&other) { Expected::Absent } else { Expected::Anything })
    }

    /// Gateways of other regions are known to be gone.
    pub(super) fn target_of_regions(&mut self) -> ConvergenceTarget {
        let plan = self.plan;
        self.target(
            |region, other| if plan.region(other) == region { Expected::Anything } else { Expected::Absent },
        )
    }
}
