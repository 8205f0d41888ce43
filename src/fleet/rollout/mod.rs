//! A configuration's version on its way to all gateways: what carries `dunemount-rollout` over TCP. Without machines in
//! `[control]` nothing of it is started.

mod connections;
pub mod gateway;
pub mod handover;
pub mod links;
pub mod machine;
pub mod tool;
