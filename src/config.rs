//! The platform's configuration file. It takes effect only if all of it can be used. [`version`] handles the part
//! that all gateways share.

use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::Utf8Error;

use serde::Deserialize;
use serde_json::Value;

use crate::net::discovery::EndpointList;
use crate::settings::{SettingsDocument, SettingsError, SiteSettings, Zones};
use crate::text_file::{LineError, ReadError};

pub mod version;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The text is not valid JSON, lacks a required key or has a value of the wrong type.
    #[error("{}", without_position(.0))]
    Json(#[source] serde_json::Error),
    /// The bytes are not valid UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] Utf8Error),
    /// The JSON value is not an object.
    #[error("a configuration is a JSON object")]
    NotAnObject,
    /// A key of the configuration in force is missing.
    #[error("{path}: missing")]
    KeyRemoved {
        /// The path of the key, separated by dots.
        path: String,
    },
    /// The settings object cannot be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The seed is not a hexadecimal number.
    #[error("seed: {text:?}: {source}")]
    Seed {
        /// The value.
        text: String,
        /// The parser's error.
        source: ParseIntError,
    },
    /// An address cannot be used.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// A reload was requested from a worker other than the first, which alone has a [`version::ConfigSource`].
    #[error("not the first worker")]
    NotFirstWorker,
    /// A version has a key that only a gateway's own file may have.
    #[error("{path}: is each gateway's own")]
    NotShared {
        /// The path of the key, separated by dots.
        path: String,
    },
}

impl ConfigError {
    /// Whether a retry with the same configuration may succeed soon.
    pub fn is_transient(&self) -> bool {
        matches!(self, ConfigError::Read(error) if error.is_transient())
    }
}

/// The parser's message without the line and column at its end: [`LineError`] shows the line before the message.
fn without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let position = format!(" at line {} column {}", error.line(), error.column());
    text.strip_suffix(&position).unwrap_or(&text).to_string()
}

impl From<serde_json::Error> for LineError<ConfigError> {
    fn from(error: serde_json::Error) -> Self {
        LineError::new(error.line(), ConfigError::Json(error))
    }
}

/// The result of loading a configuration, with the line of the error.
pub type ConfigResult<T> = Result<T, LineError<ConfigError>>;

/// A value that is not an address with a port.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name}: {text:?} is no address with a port")]
pub struct AddressError {
    /// The key or the environment variable that has the value.
    pub name: &'static str,
    /// The value.
    pub text: String,
}

/// Parses the value of a key or an environment variable of this name as an address with a port.
///
/// # Errors
/// The value is not an address with a port.
pub fn parse_address(name: &'static str, text: &str) -> Result<SocketAddr, AddressError> {
    text.parse().map_err(|_| AddressError { name, text: text.to_string() })
}

/// The serialised form of the configuration file.
#[derive(Deserialize)]
pub struct ConfigFile {
    /// The gateway's name.
    pub name: String,
    /// Address on which clients connect.
    pub listen: String,
    /// Address on which operators connect.
    pub admin_addr: Option<String>,
    /// Address of discovery.
    pub discovery: String,
    seed: String,
    /// Limits on the gateway's resources.
    pub limits: Limits,
    /// The endpoint list to start with, until discovery sends a newer one.
    pub known: EndpointList,
    settings: SettingsDocument,
}

impl ConfigFile {
    /// Checks the addresses that environment variables may override at a start. `text` is the file's text, for the
    /// lines of errors.
    ///
    /// # Errors
    /// One of them is not an address with a port.
    pub fn check_listen_addresses(&self, text: &str) -> ConfigResult<()> {
        let with_line = |error: AddressError| LineError::new(line_of(text, error.name), error);
        parse_address("listen", &self.listen).map_err(with_line)?;
        if let Some(admin) = &self.admin_addr {
            parse_address("admin_addr", admin).map_err(with_line)?;
        }
        Ok(())
    }
}

/// Limits on the gateway's resources.
#[derive(Deserialize)]
pub struct Limits {
    /// Maximum number of file descriptors.
    pub sockets: usize,
    /// Maximum memory in MiB.
    #[serde(default)]
    pub memory_mb: usize,
}

/// A configuration that has passed all checks.
pub struct LoadedConfig {
    /// The file; its settings have been moved to `settings`.
    pub file: ConfigFile,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// The file's settings.
    pub settings: SiteSettings,
}

/// The configuration in force.
#[derive(Default)]
pub struct ActiveConfig {
    text: String,
    json: Value,
}

impl ActiveConfig {
    /// The text of the configuration in force.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Puts another configuration in force.
    ///
    /// # Errors
    /// The text cannot be used; the configuration in force has not changed.
    pub fn replace(&mut self, text: String, zones: &mut Zones) -> ConfigResult<LoadedConfig> {
        let json: Value = serde_json::from_str(&text)?;
        if let Some(path) = first_removed_key(&self.json, &json) {
            return Err(with_line_of_key(&text, ConfigError::KeyRemoved { path }));
        }
        let file: ConfigFile = serde_json::from_str(&text)?;
        let loaded = load(file, zones).map_err(|error| with_line_of_key(&text, error))?;
        (self.text, self.json) = (text, json);
        Ok(loaded)
    }
}

fn load(mut file: ConfigFile, zones: &mut Zones) -> Result<LoadedConfig, ConfigError> {
    let settings = std::mem::take(&mut file.settings).into_site_settings(zones)?;
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|source| ConfigError::Seed { text: file.seed.clone(), source })?;
    let discovery = parse_address("discovery", &file.discovery)?;
    Ok(LoadedConfig { file, seed, discovery, settings })
}

/// Adds to an error the line of the key that its message names.
fn with_line_of_key(text: &str, error: ConfigError) -> LineError<ConfigError> {
    LineError::new(line_of(text, &error.to_string()), error)
}

/// The line, counted from 1, of the key that an error message such as `a.b: c: reason` names; zero if the text has none
/// of its keys. Each key is searched after the one before it, and the last one found counts: the parser does not report
/// the positions of values.
pub fn line_of(text: &str, message: &str) -> usize {
    let mut offset = None;
    for key in message.split(": ").flat_map(|part| part.split('.')) {
        let from = offset.unwrap_or(0);
        offset = text[from..].find(&format!("\"{key}\"")).map(|found| from + found).or(offset);
    }
    offset.map_or(0, |offset| text[..offset].matches('\n').count() + 1)
}

/// The path of the first key that is in the old value and not in the new one. Each entry of a new list must have the
/// keys that all entries of the old list have in common.
fn first_removed_key(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, old)| match new.get(key) {
            None => Some(key.clone()),
            // The endpoint list is used only at the start; afterwards discovery determines its entries.
            Some(_) if key == "known" => None,
            Some(new) => first_removed_key(old, new).map(|inner| format!("{key}.{inner}")),
        }),
        (Value::Array(old), Value::Array(new)) => first_key_missing_in_entries(old, new),
        _ => None,
    }
}

fn first_key_missing_in_entries(old: &[Value], new: &[Value]) -> Option<String> {
    let entries: Vec<_> = old.iter().filter_map(Value::as_object).collect();
    let (first, others) = entries.split_first()?;
    let in_all = |key: &&String| others.iter().all(|entry| entry.contains_key(*key));
    let common: Vec<&String> = first.keys().filter(in_all).collect();
    new.iter().find_map(|entry| {
        let missing = common.iter().find(|key| entry.get(key.as_str()).is_none())?;
        Some(missing.to_string())
    })
}
