//! What a size asks of each role: inputs and formulas from files, slopes as they were measured, and the tables of
//! `docs/CAPACITY.md` that come of them.

pub mod commands;
pub mod formulas;
pub mod measure;
pub mod page;
pub mod size;
pub mod slopes;
