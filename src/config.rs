//! The configuration file: read whole, taken whole or not at all. [`version`] is the part of it that all gateways share.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use crate::fault::Fault;
use crate::net::discovery::Listing;
use crate::settings::{Params, Site, Zones};

pub mod version;

/// The file as it stands.
#[derive(Deserialize)]
pub struct File {
    /// The gateway's name.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Where operators call.
    pub admin_addr: Option<String>,
    /// Discovery's address.
    pub discovery: String,
    seed: String,
    /// What the gateway may use.
    pub limits: Limits,
    /// The hosts as last known.
    pub known: Listing,
    settings: Params,
}

/// What the gateway may use.
#[derive(Deserialize)]
pub struct Limits {
    /// Most file descriptors.
    pub sockets: usize,
    /// Most memory, in MiB.
    #[serde(default)]
    pub memory_mb: usize,
}

/// What a file brings once it is taken.
pub struct Taken {
    /// The file, its settings aside.
    pub file: File,
    /// For random numbers.
    pub seed: u64,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The settings.
    pub site: Site,
}

/// The configuration in force.
#[derive(Default)]
pub struct InForce {
    text: String,
    shape: Value,
}

impl InForce {
    /// The text in force.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Takes a file's text, or says why it cannot be used; then nothing has changed.
    pub fn take(&mut self, text: String, zones: &mut Zones) -> Result<Taken, Fault> {
        let shape: Value = serde_json::from_str(&text)?;
        let fault = |what: String| Fault::at(line_of(&text, &what), what);
        if let Some(missing) = lacks(&self.shape, &shape) {
            return Err(fault(format!("{missing}: missing")));
        }
        let mut file: File = serde_json::from_str(&text)?;
        let site = std::mem::take(&mut file.settings).site(zones);
        let site = site.map_err(|e| fault(format!("settings: {e}")))?;
        let seed =
            u64::from_str_radix(&file.seed, 16).map_err(|e| fault(format!("seed: {:?}: {e}", file.seed)))?;
        let discovery = address("discovery", &file.discovery).map_err(fault)?;
        (self.text, self.shape) = (text, shape);
        Ok(Taken { file, seed, discovery, site })
    }
}

/// The line that a message is about, counted from 1: that of the last key of `a.b: c: what` which the text
/// holds after the ones before it; zero where it holds none. The reader gives values without their places.
pub fn line_of(text: &str, message: &str) -> usize {
    let mut at = None;
    for key in message.split(": ").flat_map(|part| part.split('.')) {
        let from = at.unwrap_or(0);
        at = text[from..].find(&format!("\"{key}\"")).map(|found| from + found).or(at);
    }
    at.map_or(0, |at| text[..at].matches('\n').count() + 1)
}

/// Reads an address with a port.
pub fn address(name: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{name}: {text:?} is no address with a port"))
}

/// The first key that the old value has and the new one lacks. Of a list's entries each must have what
/// all the old ones have in common.
fn lacks(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, old)| match new.get(key) {
            None => Some(key.clone()),
            // The list counts at the start only: what its lines say is discovery's business.
            Some(_) if key == "known" => None,
            Some(new) => lacks(old, new).map(|inner| format!("{key}.{inner}")),
        }),
        (Value::Array(old), Value::Array(new)) => {
            let entries: Vec<_> = old.iter().filter_map(Value::as_object).collect();
            let (first, others) = entries.split_first()?;
            let common = first.keys().filter(|key| others.iter().all(|entry| entry.contains_key(*key)));
            let keys: Vec<&String> = common.collect();
            new.iter().find_map(|entry| {
                let missing = keys.iter().find(|key| entry.get(key.as_str()).is_none())?;
                Some(missing.to_string())
            })
        }
        _ => None,
    }
}
