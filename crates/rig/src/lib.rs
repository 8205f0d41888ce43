//! Deployments drawn at random and a virtual world that steps routers through them, every rule audited, and scale runs
//! with hundreds of gateways. Not part of the gateway.

pub mod deployment;
pub mod scale;
pub mod world;
