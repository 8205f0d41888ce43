//! Deployments drawn at random and a virtual world that steps routers through them, every rule audited. Not part of
//! the gateway.

pub mod deployment;
pub mod world;
