//! The measurements of the slopes, each at five sizes or more and over several rounds. They time the gateway's own
//! code or its built program, never a simplified copy of it.

pub mod clients;
pub mod lists;
pub mod members;
pub mod pools;
mod process;
pub mod reconnects;
pub mod reload;
pub mod statements;
pub mod voter;

use std::collections::BTreeMap;
use std::path::PathBuf;

use dunemount::config::ActiveConfig;
use dunemount::settings::{SiteSettings, Zones};
use serde_json::{json, Value};

use super::slopes::Point;

/// Parameters of the measurements.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Rounds at each size.
    pub rounds: u32,
    /// Membership is not measured at sizes above this.
    pub largest: usize,
    /// Path of the gateway's program.
    pub gateway: PathBuf,
    /// A directory on the disk that would hold a voter's file.
    pub disk: PathBuf,
}

/// Number of gateways in the settings: the size of the operators' deployment.
const GATEWAYS: u32 = 710;
/// Number of hosts in each group.
const HOSTS_PER_GROUP: usize = 5;
/// Numbers of hosts at which endpoint lists are measured.
const HOST_COUNTS: [usize; 5] = [63, 125, 250, 500, 1_000];

/// Measured values by slope and size, one for each round.
#[derive(Default)]
struct Measurements(BTreeMap<(&'static str, u64), Vec<f64>>);

impl Measurements {
    fn add(&mut self, slope: &'static str, size: usize, value: f64) {
        self.0.entry((slope, size as u64)).or_default().push(value);
    }

    fn points(self) -> Vec<Point> {
        let point =
            |((slope, size), rounds): ((&str, u64), Vec<f64>)| Point::from_rounds(slope, size as f64, rounds);
        self.0.into_iter().filter_map(point).collect()
    }
}

/// A target of discovery's endpoint list.
fn target(index: usize, endpoint: &str, state: &str, boot_ms: u64) -> Value {
    let (group, member) = (index / HOSTS_PER_GROUP, index % HOSTS_PER_GROUP);
    json!({"uid": format!("db-{group:04}-{member}.zone-{}", index % 6), "endpoint": endpoint,
        "az": format!("zone-{}", index % 6), "model": "standard", "pod_group": group, "state": state,
        "capacity_hint": 1.0, "boot_ms": boot_ms, "part": if member == 0 { "master" } else { "replica" }})
}

/// Targets with unreachable addresses.
fn unreachable_targets(count: usize) -> Vec<Value> {
    let endpoint = |index: usize| format!("10.{}.{}.{}:5432", index % 6, index / 250, index % 250 + 1);
    (0..count).map(|index| target(index, &endpoint(index), "Ready", 0)).collect()
}

/// The example configuration of a gateway, with `GATEWAYS` gateways and the given targets, sockets and discovery
/// address.
fn gateway_config(known_targets: &[Value], sockets: usize, discovery: &str) -> Result<Value, String> {
    let example = include_str!("../../../../../examples/config.json");
    let mut config: Value =
        serde_json::from_str(example).map_err(|e| format!("examples/config.json: {e}"))?;
    config["admin_addr"] = json!("127.0.0.1:0");
    config["discovery"] = json!(discovery);
    config["limits"] = json!({"cores": 1, "memory_mb": 1024, "sockets": sockets});
    config["known"] = json!({"rev": 1, "all": true, "targets": known_targets});
    config["settings"]["Balancers"] = json!(GATEWAYS);
    Ok(config)
}

/// The parsed settings of that configuration.
fn site_settings() -> Result<SiteSettings, String> {
    let text = gateway_config(&[], 1024, "127.0.0.1:1")?.to_string();
    let active = ActiveConfig::default().replace(text, &mut Zones::default());
    active.map(|active| active.settings).map_err(|error| error.in_file("examples/config.json").to_string())
}
