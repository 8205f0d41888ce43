//! Versions of the configuration. A version is a JSON object with the keys that all gateways share. The other keys
//! differ between gateways and come from each gateway's own file; so does the zone in the settings and, if the
//! version does not have it, `discovery`.

use std::net::SocketAddr;
use std::path::PathBuf;

use dunemount_rollout::version::Document;
use serde_json::{Map, Value};

use super::{line_of, ActiveConfig, ConfigError, ConfigResult, LoadedConfig};
use crate::settings::Zones;
use crate::text_file::{self, LineError};

/// The keys that differ between gateways: they are only in each gateway's own file, never in a version.
const GATEWAY_KEYS: [&str; 6] = ["name", "listen", "admin_addr", "seed", "limits", "known"];
/// Values for the gateway's keys and for `discovery` while a version is checked without a gateway's file.
const PLACEHOLDERS: [(&str, &str); 6] = [
    ("name", r#""anybody""#),
    ("listen", r#""127.0.0.1:0""#),
    ("seed", r#""0""#),
    ("limits", r#"{"sockets": 64}"#),
    ("known", r#"{"rev": 0, "all": true, "targets": []}"#),
    (DISCOVERY, r#""127.0.0.1:1""#),
];
const DISCOVERY: &str = "discovery";
const SETTINGS: &str = "settings";
/// The only setting that differs between gateways: if all gateways had the same zone, they would price
/// requests to hosts in other zones as if these were in their own zone.
const GATEWAY_SETTING: &str = "Zone";

/// Extracts the shared part from an operator's file, which is a complete configuration or the shared part only. The
/// file is checked as `dunemount check` does.
///
/// # Errors
/// The first error, with its line in the text.
pub fn shared_part(text: &str) -> ConfigResult<Vec<u8>> {
    let mut object = parse_object(text)?;
    let loaded = ActiveConfig::default().replace(with_placeholders(text, &object), &mut Zones::default())?;
    loaded.file.check_listen_addresses(text)?;
    object.retain(|key, _| !GATEWAY_KEYS.contains(&key.as_str()));
    settings_of(&mut object).map(|settings| settings.remove(GATEWAY_SETTING));
    Ok(serde_json::to_vec_pretty(&object)?)
}

/// Checks that a document can be the version that follows the previous one.
///
/// # Errors
/// The first error.
pub fn validate(document: &[u8], previous: Option<&[u8]>) -> ConfigResult<()> {
    let mut active = ActiveConfig::default();
    let had_discovery = match previous {
        Some(previous) => activate_previous(&mut active, previous)?,
        None => false,
    };
    let text = parse_utf8(document)?;
    let mut object = parse_object(text)?;
    check_shared(&mut object, text)?;
    if had_discovery && !object.contains_key(DISCOVERY) {
        return Err(LineError::without_line(ConfigError::KeyRemoved { path: DISCOVERY.to_string() }));
    }
    active.replace(with_placeholders(text, &object), &mut Zones::default()).map(|_| ())
}

/// Puts the previous version in force and returns whether it has `discovery`. A previous version whose values this
/// program can no longer use is ignored, so that it does not block the next one.
fn activate_previous(active: &mut ActiveConfig, previous: &[u8]) -> ConfigResult<bool> {
    let text = parse_utf8(previous)?;
    let object = parse_object(text)?;
    let _ = active.replace(with_placeholders(text, &object), &mut Zones::default());
    Ok(object.contains_key(DISCOVERY))
}

/// Checks that the object has none of the keys that differ between gateways. `text` is its text, for the line of the
/// error.
fn check_shared(object: &mut Map<String, Value>, text: &str) -> ConfigResult<()> {
    let gateway_key = GATEWAY_KEYS.iter().find(|key| object.contains_key(**key)).map(ToString::to_string);
    let gateway_setting = || {
        settings_of(object)?.contains_key(GATEWAY_SETTING).then(|| format!("{SETTINGS}.{GATEWAY_SETTING}"))
    };
    match gateway_key.or_else(gateway_setting) {
        Some(path) => Err(LineError::new(line_of(text, &path), ConfigError::NotShared { path })),
        None => Ok(()),
    }
}

/// Merges a gateway's file and a version: the gateway's keys come from the file, all others from the version. The
/// file's `discovery` is kept if the version has none.
///
/// # Errors
/// Either is not a JSON object.
pub fn overlay(file_text: &str, document: &[u8]) -> ConfigResult<String> {
    let mut document = parse_object(parse_utf8(document)?)?;
    let keeps_discovery = !document.contains_key(DISCOVERY);
    let mut merged = parse_object(file_text)?;
    if let Some(settings) = settings_of(&mut document) {
        settings.remove(GATEWAY_SETTING);
        let zone = settings_of(&mut merged).and_then(|settings| settings.remove(GATEWAY_SETTING));
        settings.extend(zone.map(|zone| (GATEWAY_SETTING.to_string(), zone)));
    }
    merged.retain(|key, _| GATEWAY_KEYS.contains(&key.as_str()) || (keeps_discovery && key == DISCOVERY));
    merged.extend(document.into_iter().filter(|(key, _)| !GATEWAY_KEYS.contains(&key.as_str())));
    Ok(serde_json::to_string_pretty(&merged)?)
}

/// The sources of a running gateway's configuration: its own file and the version in force, which takes precedence.
pub struct ConfigSource {
    /// Path of the gateway's own file.
    pub path: PathBuf,
    /// The text of the file when it was last accepted.
    pub file_text: String,
    /// The configuration in force.
    pub active: ActiveConfig,
    /// The version in force, if any.
    pub version: Option<Document>,
    /// Address of discovery in the configuration in force.
    pub configured_discovery: SocketAddr,
    /// Address of discovery that is used: an environment variable may override it at the start.
    pub discovery: SocketAddr,
}

impl ConfigSource {
    /// Puts a new version in force or, without one, reads the file again and applies the version in force to it.
    /// Returns the resulting text and configuration.
    ///
    /// # Errors
    /// The file cannot be read or the result cannot be used; the configuration in force has not changed.
    pub fn reload(
        &mut self,
        new: Option<&Document>,
        zones: &mut Zones,
    ) -> ConfigResult<(String, LoadedConfig)> {
        let file_text = match new {
            Some(_) => self.file_text.clone(),
            None => text_file::read(&self.path).map_err(LineError::without_line)?,
        };
        let text = match new.or(self.version.as_ref()) {
            Some(document) => overlay(&file_text, document.bytes())?,
            None => file_text.clone(),
        };
        let mut loaded = self.active.replace(text.clone(), zones)?;
        // Reading the file again ends the override of discovery by the environment at the start. A version ends it only
        // if it changes the address of discovery.
        if new.is_none() || loaded.discovery != self.configured_discovery {
            (self.configured_discovery, self.discovery) = (loaded.discovery, loaded.discovery);
        }
        loaded.discovery = self.discovery;
        self.file_text = file_text;
        self.version = new.cloned().or(self.version.take());
        Ok((text, loaded))
    }
}

fn parse_utf8(bytes: &[u8]) -> ConfigResult<&str> {
    std::str::from_utf8(bytes).map_err(LineError::without_line)
}

fn parse_object(text: &str) -> ConfigResult<Map<String, Value>> {
    match serde_json::from_str(text)? {
        Value::Object(object) => Ok(object),
        _ => Err(LineError::new(1, ConfigError::NotAnObject)),
    }
}

fn settings_of(object: &mut Map<String, Value>) -> Option<&mut Map<String, Value>> {
    object.get_mut(SETTINGS)?.as_object_mut()
}

/// Adds placeholders to the text for the gateway's keys that it lacks, without changing line numbers: keys are
/// appended at the end, the setting is inserted on the line on which the settings begin.
fn with_placeholders(text: &str, object: &Map<String, Value>) -> String {
    let missing = PLACEHOLDERS.iter().filter(|(key, _)| !object.contains_key(*key));
    let added: Vec<String> = missing.map(|(key, value)| format!("\"{key}\": {value}")).collect();
    let comma = if object.is_empty() || added.is_empty() { "" } else { "," };
    let text = with_zone_placeholder(text, object);
    let head = text.trim_end().strip_suffix('}').unwrap_or(&text);
    format!("{head}{comma}{}}}", added.join(","))
}

fn with_zone_placeholder(text: &str, object: &Map<String, Value>) -> String {
    let settings = object.get(SETTINGS).and_then(Value::as_object);
    let Some(settings) = settings.filter(|settings| !settings.contains_key(GATEWAY_SETTING)) else {
        return text.to_string();
    };
    let Some(offset) = start_of_settings(text) else { return text.to_string() };
    let comma = if settings.is_empty() { "" } else { "," };
    format!("{}\"{GATEWAY_SETTING}\": \"anywhere\"{comma}{}", &text[..offset], &text[offset..])
}

/// The offset behind the opening brace of the settings object. The word `settings` may also be the value of another
/// key; only the key is followed by a colon and a brace.
fn start_of_settings(text: &str) -> Option<usize> {
    let key = format!("\"{SETTINGS}\"");
    text.match_indices(&key).find_map(|(offset, _)| {
        let rest = text[offset + key.len()..].trim_start();
        let rest = rest.strip_prefix(':')?.trim_start().strip_prefix('{')?;
        Some(text.len() - rest.len())
    })
}
