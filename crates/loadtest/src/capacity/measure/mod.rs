//! Measurements behind the slopes, each at five sizes or more and over several rounds. What is timed uses the gateway's own
//! code or its built program; nothing here is a shorter copy of it.

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

/// How it is measured.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Rounds at each size.
    pub rounds: u32,
    /// Sizes of membership above this are left out.
    pub largest: usize,
    /// The gateway's program.
    pub gateway: PathBuf,
    /// A folder on the disk that a voter's file would have.
    pub disk: PathBuf,
}

/// Gateways that settings name as their number: the operators' size.
const GATEWAYS: u32 = 710;
/// Hosts of a family.
const FAMILY: usize = 5;
/// Hosts in lists.
const HOSTS: [usize; 5] = [63, 125, 250, 500, 1_000];

/// Figures by slope and size, as they come in.
#[derive(Default)]
struct Figures(BTreeMap<(&'static str, u64), Vec<f64>>);

impl Figures {
    fn add(&mut self, slope: &'static str, size: usize, figure: f64) {
        self.0.entry((slope, size as u64)).or_default().push(figure);
    }

    fn points(self) -> Vec<Point> {
        let point = |((slope, size), rounds): ((&str, u64), Vec<f64>)| Point::of(slope, size as f64, rounds);
        self.0.into_iter().filter_map(point).collect()
    }
}

/// A line of discovery's list.
fn target(index: usize, endpoint: &str, state: &str, boot_ms: u64) -> Value {
    let (family, member) = (index / FAMILY, index % FAMILY);
    json!({"uid": format!("db-{family:04}-{member}.zone-{}", index % 6), "endpoint": endpoint,
        "az": format!("zone-{}", index % 6), "model": "standard", "pod_group": family, "state": state,
        "capacity_hint": 1.0, "boot_ms": boot_ms, "part": if member == 0 { "master" } else { "replica" }})
}

/// Lines of hosts that nobody reaches.
fn targets(count: usize) -> Vec<Value> {
    let endpoint = |index: usize| format!("10.{}.{}.{}:5432", index % 6, index / 250, index % 250 + 1);
    (0..count).map(|index| target(index, &endpoint(index), "Ready", 0)).collect()
}

/// A gateway's configuration, as the example has it but for the number of gateways and what is given.
fn configuration(known: &[Value], sockets: usize, discovery: &str) -> Result<Value, String> {
    let example = include_str!("../../../../../examples/config.json");
    let mut config: Value =
        serde_json::from_str(example).map_err(|e| format!("examples/config.json: {e}"))?;
    config["admin_addr"] = json!("127.0.0.1:0");
    config["discovery"] = json!(discovery);
    config["limits"] = json!({"cores": 1, "memory_mb": 1024, "sockets": sockets});
    config["known"] = json!({"rev": 1, "all": true, "targets": known});
    config["settings"]["Balancers"] = json!(GATEWAYS);
    Ok(config)
}

/// The settings of such a configuration, in the module's terms.
fn site() -> Result<SiteSettings, String> {
    let text = configuration(&[], 1024, "127.0.0.1:1")?.to_string();
    let taken = ActiveConfig::default().replace(text, &mut Zones::default());
    taken.map(|taken| taken.settings).map_err(|fault| fault.in_file("examples/config.json").to_string())
}
