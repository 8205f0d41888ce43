//! Upgrades: what passes between a process and the one that follows it, and the line it passes on.

pub mod line;
pub mod message;
