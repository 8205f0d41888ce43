//! Capacity planning: computes from a deployment's size, formulas and measured slopes what each role needs, and
//! writes the tables of `docs/CAPACITY.md`.

pub mod commands;
pub mod formulas;
pub mod measure;
pub mod page;
pub mod size;
pub mod slopes;
