//! Files that a run writes for its gateways and control servers: configurations and settings, in a temporary folder.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::{fs, io};

use dunemount::settings_file::FleetSettings;
use serde_json::{json, Value};

use super::super::plan::Plan;
use super::names::{gateway_name, zone_name};
use super::FLEET;

/// A temporary folder that is removed when it is dropped.
pub(super) struct Folder(PathBuf);

impl Folder {
    /// Creates a folder whose name contains the id of this process.
    pub(super) fn new() -> io::Result<Folder> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("dunemount-scale-{}-{number}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    /// The path of a file in the folder.
    pub(super) fn join(&self, name: impl AsRef<Path>) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The text of `examples/config.json`, adapted to a gateway with this admin address, this discovery address and these
/// known hosts.
pub(super) fn configuration(
    gateway: usize,
    plan: &Plan,
    admin: &str,
    discovery: SocketAddr,
    known: Value,
) -> Result<String, String> {
    let example: Value = serde_json::from_str(include_str!("../../../../../examples/config.json"))
        .map_err(|e| format!("examples/config.json: {e}"))?;
    let mut config = example;
    config["name"] = gateway_name(gateway).into();
    config["listen"] = "127.0.0.1:0".into();
    config["admin_addr"] = admin.into();
    config["discovery"] = discovery.to_string().into();
    config["limits"] = json!({"cores": 1.0, "memory_mb": 256, "sockets": 256});
    config["known"] = known;
    config["settings"]["Balancers"] = plan.gateways().into();
    config["settings"]["Zone"] = zone_name(plan.zone(gateway)).into();
    Ok(config.to_string())
}

/// The absolute path of the program, so that processes in any folder find it.
pub(super) fn program(path: &Path) -> Result<PathBuf, String> {
    fs::canonicalize(path).map_err(|e| format!("[run] program: {}: {e}", path.display()))
}

/// The section `[fleet]` of a process's settings.
pub(super) fn fleet_settings(fleet: &FleetSettings) -> String {
    let voters: Vec<String> =
        fleet.voters.iter().map(|voter| format!("{}@{}", voter.name, voter.address)).collect();
    let mut text = format!(
        "[fleet]\nname = {FLEET}\nvoters = {}\nsize = {}\nlease_ms = {}\nprobe_ms = {}\n",
        voters.join(", "),
        fleet.size,
        fleet.lease_ms,
        fleet.probe_ms
    );
    if let Some(listen) = fleet.listen {
        text += &format!("listen = {listen}\n");
    }
    if let Some(file) = &fleet.file {
        text += &format!("file = {}\n", file.display());
    }
    text
}
