//! Convergence targets of the events of a run.

use std::collections::BTreeSet;

use super::super::convergence::{ConvergenceTarget, Expected};
use super::Run;

impl Run<'_> {
    /// A target with what `expected` returns for a gateway's region and the index of another gateway. It expects the
    /// present version of the list and no reload of the configuration.
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

    /// Expects this version of the list.
    pub(super) fn target_of_version(&mut self, version: u64) -> ConvergenceTarget {
        ConvergenceTarget { version, ..self.target(|_, _| Expected::Anything) }
    }

    /// Expects that all live gateways are known, with this start number or a later one.
    pub(super) fn target_of_live(&mut self, earliest: u64) -> ConvergenceTarget {
        let live = self.live.clone();
        self.target(
            |_, other| {
                if live.contains(&other) {
                    Expected::StartedSince(earliest)
                } else {
                    Expected::Anything
                }
            },
        )
    }

    /// Expects that these gateways are known to be gone.
    pub(super) fn target_of_absence(&mut self, gone: &BTreeSet<usize>) -> ConvergenceTarget {
        self.target(|_, other| if gone.contains(&other) { Expected::Absent } else { Expected::Anything })
    }

    /// Expects that the gateways of other regions are known to be gone.
    pub(super) fn target_of_regions(&mut self) -> ConvergenceTarget {
        let plan = self.plan;
        self.target(
            |region, other| if plan.region(other) == region { Expected::Anything } else { Expected::Absent },
        )
    }
}
