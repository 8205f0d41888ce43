//! The platform's configuration file: accepted whole or not at all. [`version`] is the part of it that all gateways share.

use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::Utf8Error;

use serde::Deserialize;
use serde_json::Value;

use crate::net::discovery::EndpointList;
use crate::settings::{SettingsDocument, SettingsError, SiteSettings, Zones};
use crate::text_file::{AtLine, ReadError};

pub mod version;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Its file cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// It is no JSON, or lacks a key, or has a value of another type.
    #[error("{}", without_position(.0))]
    Json(#[source] serde_json::Error),
    /// It is no text.
    #[error(transparent)]
    NotUtf8(#[from] Utf8Error),
    /// It is JSON, but no object.
    #[error("a configuration is a JSON object")]
    NotAnObject,
    /// It lacks a key that the one in force has.
    #[error("{path}: missing")]
    KeyRemoved {
        /// The key, behind those that it is in.
        path: String,
    },
    /// Its settings cannot be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// Its seed is no hexadecimal number.
    #[error("seed: {text:?}: {source}")]
    Seed {
        /// What stands there.
        text: String,
        /// Why it is none.
        source: ParseIntError,
    },
    /// An address cannot be used.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// A worker that has no source of configurations was asked for one.
    #[error("not the first worker")]
    NotFirstWorker,
    /// A version has a key that each gateway has for itself.
    #[error("{path}: is each gateway's own")]
    NotShared {
        /// The key, behind the one that it is in.
        path: String,
    },
}

impl ConfigError {
    /// Whether the same configuration may be usable soon.
    pub fn is_transient(&self) -> bool {
        matches!(self, ConfigError::Read(error) if error.is_transient())
    }
}

/// The parser's message without the line and column at its end, which an error in a file names first.
fn without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let position = format!(" at line {} column {}", error.line(), error.column());
    text.strip_suffix(&position).unwrap_or(&text).to_string()
}

impl From<serde_json::Error> for AtLine<ConfigError> {
    fn from(error: serde_json::Error) -> Self {
        AtLine::new(error.line(), ConfigError::Json(error))
    }
}

/// What comes of a text that may be no usable configuration.
pub type ConfigResult<T> = Result<T, AtLine<ConfigError>>;

/// A text that is no address with a port.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name}: {text:?} is no address with a port")]
pub struct AddressError {
    /// The key or the variable that holds it.
    pub name: &'static str,
    /// The text.
    pub text: String,
}

/// Reads the address with a port that a key or a variable of this name holds.
///
/// # Errors
/// It is none.
pub fn address(name: &'static str, text: &str) -> Result<SocketAddr, AddressError> {
    text.parse().map_err(|_| AddressError { name, text: text.to_string() })
}

/// The file in its serialised form.
#[derive(Deserialize)]
pub struct ConfigFile {
    /// The gateway's name.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Where operators connect.
    pub admin_addr: Option<String>,
    /// Discovery's address.
    pub discovery: String,
    seed: String,
    /// What the gateway may use.
    pub limits: Limits,
    /// The hosts as last known.
    pub known: EndpointList,
    settings: SettingsDocument,
}

impl ConfigFile {
    /// Checks the addresses that the environment may replace at a start, in the file of this text.
    ///
    /// # Errors
    /// One of them is no address with a port.
    pub fn check_listen_addresses(&self, text: &str) -> ConfigResult<()> {
        let at_its_line = |error: AddressError| AtLine::new(line_of(text, error.name), error);
        address("listen", &self.listen).map_err(at_its_line)?;
        if let Some(admin) = &self.admin_addr {
            address("admin_addr", admin).map_err(at_its_line)?;
        }
        Ok(())
    }
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

/// A configuration that can be used.
pub struct LoadedConfig {
    /// The file, its settings aside.
    pub file: ConfigFile,
    /// For random numbers.
    pub seed: u64,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The settings.
    pub settings: SiteSettings,
}

/// The configuration in force.
#[derive(Default)]
pub struct ActiveConfig {
    text: String,
    json: Value,
}

impl ActiveConfig {
    /// The text in force.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Puts another text in force.
    ///
    /// # Errors
    /// It cannot be used; then nothing has changed.
    pub fn replace(&mut self, text: String, zones: &mut Zones) -> ConfigResult<LoadedConfig> {
        let json: Value = serde_json::from_str(&text)?;
        if let Some(path) = first_removed_key(&self.json, &json) {
            return Err(at_key(&text, ConfigError::KeyRemoved { path }));
        }
        let file: ConfigFile = serde_json::from_str(&text)?;
        let loaded = load(file, zones).map_err(|error| at_key(&text, error))?;
        (self.text, self.json) = (text, json);
        Ok(loaded)
    }
}

fn load(mut file: ConfigFile, zones: &mut Zones) -> Result<LoadedConfig, ConfigError> {
    let settings = std::mem::take(&mut file.settings).into_site_settings(zones)?;
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|source| ConfigError::Seed { text: file.seed.clone(), source })?;
    let discovery = address("discovery", &file.discovery)?;
    Ok(LoadedConfig { file, seed, discovery, settings })
}

/// An error with the line of the key that its message names.
fn at_key(text: &str, error: ConfigError) -> AtLine<ConfigError> {
    AtLine::new(line_of(text, &error.to_string()), error)
}

/// The line that a message is about, counted from 1: that of the last key of `a.b: c: what` which the text
/// holds after the ones before it; zero where it holds none. The parser gives values without their places.
pub fn line_of(text: &str, message: &str) -> usize {
    let mut offset = None;
    for key in message.split(": ").flat_map(|part| part.split('.')) {
        let from = offset.unwrap_or(0);
        offset = text[from..].find(&format!("\"{key}\"")).map(|found| from + found).or(offset);
    }
    offset.map_or(0, |offset| text[..offset].matches('\n').count() + 1)
}

/// The first key that the old value has and the new one lacks, behind those that it is in. Of a list's entries each must
/// have what all the old ones have in common.
fn first_removed_key(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, old)| match new.get(key) {
            None => Some(key.clone()),
            // The list counts at the start only: what its entries say is discovery's business.
            Some(_) if key == "known" => None,
            Some(new) => first_removed_key(old, new).map(|inner| format!("{key}.{inner}")),
        }),
        (Value::Array(old), Value::Array(new)) => first_key_lacking_in_entries(old, new),
        _ => None,
    }
}

fn first_key_lacking_in_entries(old: &[Value], new: &[Value]) -> Option<String> {
    let entries: Vec<_> = old.iter().filter_map(Value::as_object).collect();
    let (first, others) = entries.split_first()?;
    let in_all = |key: &&String| others.iter().all(|entry| entry.contains_key(*key));
    let common: Vec<&String> = first.keys().filter(in_all).collect();
    new.iter().find_map(|entry| {
        let missing = common.iter().find(|key| entry.get(key.as_str()).is_none())?;
        Some(missing.to_string())
    })
}
