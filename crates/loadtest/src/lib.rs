//! Test tools that are not part of the gateway: randomly generated deployments and a simulation that runs routers
//! through them and audits every rule; stand-in hosts and clients on loopback; scale runs with hundreds of gateways;
//! and the capacity that a given size needs from each role.

pub mod capacity;
pub mod clients;
pub mod deployment;
pub mod hosts;
pub mod scale;
pub mod simulation;
