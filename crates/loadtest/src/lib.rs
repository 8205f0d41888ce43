//! Deployments drawn at random and a virtual world that steps routers through them, every rule audited; stand-in hosts and
//! clients on loopback; scale runs with hundreds of gateways; and what a size asks of each role. Not part of the gateway.

pub mod capacity;
pub mod clients;
pub mod deployment;
pub mod hosts;
pub mod scale;
pub mod world;
