//! What `dunemount fleet config status` prints: a table, or JSON with the names given here.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use dunemount_rollout::settings::ControlServerInfo;
use dunemount_rollout::version::Version;
use dunemount_rollout::wire::{ControlServerStatus, GatewayStatus};
use serde::Serialize;

use super::client::ClientError;

/// A gateway that has not reported for longer than this is silent; each gateway reports every second.
const SILENT_AFTER_MS: u64 = 5_000;

/// A version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VersionEntry {
    /// Its number.
    pub version: u64,
    /// The first bytes of its digest, in hexadecimal.
    pub digest: String,
}

impl From<Version> for VersionEntry {
    fn from(version: Version) -> VersionEntry {
        VersionEntry { version: version.number, digest: version.digest.to_string() }
    }
}

/// A control server.
#[derive(Clone, Debug, Serialize)]
pub struct ControlServerEntry {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it has answered the command.
    pub reached: bool,
    /// Why it has not answered.
    pub why: Option<String>,
    /// Whether it has recently read the newest version from a majority of the voters.
    pub fresh: bool,
    /// Time since that read, in milliseconds.
    pub looked_ms: Option<u64>,
    /// The newest version that it knows of.
    pub newest: Option<VersionEntry>,
    /// Whether it has that version's document.
    pub has_document: bool,
    /// Number of gateways that have reported to it.
    pub gateways: usize,
}

/// Whether a gateway has the newest version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GatewayState {
    /// It has it in force.
    InForce,
    /// It has an older one, or none.
    #[serde(rename = "lags")]
    Lagging,
    /// It could not apply it.
    #[serde(rename = "refused")]
    Rejected,
    /// It has not reported for a while.
    Silent,
}

/// A gateway, by its last report.
#[derive(Clone, Debug, Serialize)]
pub struct GatewayEntry {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it has the newest version in force.
    #[serde(rename = "stands")]
    pub state: GatewayState,
    /// The version in force.
    pub in_force: Option<VersionEntry>,
    /// Why it rejected the newest version.
    pub why: Option<String>,
    /// Time since its last report, in milliseconds.
    pub silent_ms: u64,
}

/// The combined status of all control servers.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReport {
    /// The newest version that any control server knows of.
    pub newest: Option<VersionEntry>,
    /// The control servers.
    pub machines: Vec<ControlServerEntry>,
    /// Gateways that have the newest version in force.
    pub in_force: usize,
    /// The gateways that have reported to any control server, by name.
    pub gateways: Vec<GatewayEntry>,
    /// Members of the fleet that have reported to no control server.
    pub unheard: Vec<String>,
}

impl StatusReport {
    /// The report from the answers of these control servers, in the settings' order.
    pub(super) fn new(
        servers: &[(ControlServerInfo, SocketAddr)],
        answers: Vec<Result<ControlServerStatus, ClientError>>,
    ) -> StatusReport {
        let statuses: Vec<&ControlServerStatus> = answers.iter().flatten().collect();
        let newest = statuses.iter().filter_map(|status| status.newest).max();
        let reported = latest_reports(&statuses);
        let unheard = members_without_report(servers, &statuses, &reported);
        let gateways: Vec<GatewayEntry> =
            reported.into_values().map(|gateway| GatewayEntry::new(gateway, newest)).collect();
        let is_in_force = |gateway: &&GatewayEntry| gateway.state == GatewayState::InForce;
        let entries = servers.iter().zip(&answers);
        StatusReport {
            newest: newest.map(VersionEntry::from),
            machines: entries.map(|((server, _), answer)| ControlServerEntry::new(server, answer)).collect(),
            in_force: gateways.iter().filter(is_in_force).count(),
            gateways,
            unheard,
        }
    }
}

/// The last report of each gateway, by name.
fn latest_reports<'a>(statuses: &[&'a ControlServerStatus]) -> BTreeMap<&'a str, &'a GatewayStatus> {
    let mut latest: BTreeMap<&str, &GatewayStatus> = BTreeMap::new();
    for gateway in statuses.iter().flat_map(|status| &status.gateways) {
        let known = latest.entry(&gateway.name).or_insert(gateway);
        if gateway.silent_ms < known.silent_ms {
            *known = gateway;
        }
    }
    latest
}

/// Members of the fleet that are not control servers and have reported to none.
fn members_without_report(
    servers: &[(ControlServerInfo, SocketAddr)],
    statuses: &[&ControlServerStatus],
    reported: &BTreeMap<&str, &GatewayStatus>,
) -> Vec<String> {
    let servers: BTreeSet<&str> = servers.iter().map(|(server, _)| &server.name[..]).collect();
    let is_known = |name: &str| reported.contains_key(name) || servers.contains(name);
    let members: BTreeSet<&String> = statuses.iter().flat_map(|status| &status.members).collect();
    members.into_iter().filter(|name| !is_known(name)).cloned().collect()
}

impl ControlServerEntry {
    fn new(
        server: &ControlServerInfo,
        answer: &Result<ControlServerStatus, ClientError>,
    ) -> ControlServerEntry {
        let status = answer.as_ref().ok();
        ControlServerEntry {
            name: server.name.clone(),
            zone: server.zone.clone(),
            reached: status.is_some(),
            why: answer.as_ref().err().map(ToString::to_string),
            fresh: status.is_some_and(|status| status.fresh),
            looked_ms: status.and_then(|status| status.last_read_ms),
            newest: status.and_then(|status| status.newest).map(VersionEntry::from),
            has_document: status.is_some_and(|status| status.has_document),
            gateways: status.map_or(0, |status| status.gateways.len()),
        }
    }
}

impl GatewayEntry {
    fn new(gateway: &GatewayStatus, newest: Option<Version>) -> GatewayEntry {
        let rejected = gateway.rejected.as_ref().filter(|rejected| Some(rejected.version) == newest);
        let state = if gateway.silent_ms > SILENT_AFTER_MS {
            GatewayState::Silent
        } else if gateway.in_force == newest {
            GatewayState::InForce
        } else if rejected.is_some() {
            GatewayState::Rejected
        } else {
            GatewayState::Lagging
        };
        GatewayEntry {
            name: gateway.name.clone(),
            zone: gateway.zone.clone(),
            state,
            in_force: gateway.in_force.map(VersionEntry::from),
            why: rejected.map(|rejected| rejected.reason.clone()),
            silent_ms: gateway.silent_ms,
        }
    }
}

fn display_version(version: Option<&VersionEntry>) -> String {
    version.map_or("none".to_string(), |version| format!("{} ({})", version.version, version.digest))
}

impl fmt::Display for ControlServerEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ControlServerEntry { name, zone, newest, .. } = self;
        write!(f, "{name:<24} {zone:<16} {:<28} ", display_version(newest.as_ref()))?;
        match self {
            ControlServerEntry { why: Some(why), .. } => write!(f, "not reached: {why}"),
            ControlServerEntry { fresh: false, looked_ms: None, .. } => {
                write!(f, "no majority heard since its start")
            }
            ControlServerEntry { fresh: false, looked_ms: Some(ago), .. } => {
                write!(f, "no majority heard for {ago} ms")
            }
            ControlServerEntry { has_document: false, newest: Some(_), .. } => {
                write!(f, "fresh, without the bytes")
            }
            ControlServerEntry { .. } => write!(f, "fresh"),
        }
    }
}

impl fmt::Display for GatewayEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let GatewayEntry { name, zone, in_force, why, silent_ms, .. } = self;
        write!(f, "{name:<24} {zone:<16} {:<28} ", display_version(in_force.as_ref()))?;
        match self.state {
            GatewayState::Silent => write!(f, "silent for {silent_ms} ms"),
            GatewayState::Rejected => write!(f, "refused: {}", why.as_deref().unwrap_or_default()),
            GatewayState::Lagging | GatewayState::InForce => write!(f, "lags"),
        }
    }
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "newest version: {}", display_version(self.newest.as_ref()))?;
        writeln!(f, "in force at {} of {} gateways heard", self.in_force, self.gateways.len())?;
        writeln!(f, "\n{:<24} {:<16} {:<28} STATE", "CONTROL MACHINE", "ZONE", "NEWEST")?;
        for server in &self.machines {
            writeln!(f, "{server}")?;
        }
        let behind = self.gateways.iter().filter(|gateway| gateway.state != GatewayState::InForce);
        for (index, gateway) in behind.enumerate() {
            if index == 0 {
                writeln!(f, "\n{:<24} {:<16} {:<28} STATE", "GATEWAY", "ZONE", "IN FORCE")?;
            }
            writeln!(f, "{gateway}")?;
        }
        for name in &self.unheard {
            writeln!(f, "{name}: a member of the fleet that no control machine has heard")?;
        }
        Ok(())
    }
}
