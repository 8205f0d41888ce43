//! One register that many may change, one after the other: looks that tell only what was chosen, and changes that say
//! what becomes of it once a majority has told what it holds.

use std::time::Duration;

use crate::register::Value;

/// What a look or a change has come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The register holds this, and it was chosen: a majority has accepted it under one ballot. Told of a look that began at
    /// that time.
    Holds(Option<Value>, Duration),
    /// A majority has promised a change and tells what the register holds: propose, or withdraw.
    Promised(Option<Value>),
    /// The register holds what was proposed.
    Chosen(Value),
    /// Somebody else came between, or no majority answered in time.
    Failed {
        /// Something had been proposed, which may still be chosen.
        proposed: bool,
        /// No majority answered.
        no_majority: bool,
    },
}
