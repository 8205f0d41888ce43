//! What a version is: the part of a configuration that all gateways share, as a JSON object. The other keys are each
//! gateway's own and come from its own file, and so do the zone among the settings and, where a version has none,
//! `discovery`.

use std::net::SocketAddr;
use std::path::PathBuf;

use dunemount_rollout::version::Document;
use serde_json::{Map, Value};

use super::{line_of, ActiveConfig, ConfigError, ConfigResult, LoadedConfig};
use crate::settings::Zones;
use crate::text_file::{self, LineError};

/// The keys that are each gateway's own.
const OWN_KEYS: [&str; 6] = ["name", "listen", "admin_addr", "seed", "limits", "known"];
/// What stands in for a gateway's own keys where there is no gateway.
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
/// The one setting that is each gateway's own: of all gateways in one zone, requests across zones would be priced as if there
/// were none.
const OWN_SETTING: &str = "Zone";

/// The shared part of an operator's file, which is a whole configuration or that part alone: checked as
/// `dunemount check` does.
///
/// # Errors
/// The first fault, with its line in the text.
pub fn shared_part(text: &str) -> ConfigResult<Vec<u8>> {
    let mut object = parse_object(text)?;
    let loaded = ActiveConfig::default().replace(with_placeholders(text, &object), &mut Zones::default())?;
    loaded.file.check_listen_addresses(text)?;
    object.retain(|key, _| !OWN_KEYS.contains(&key.as_str()));
    settings_of(&mut object).map(|settings| settings.remove(OWN_SETTING));
    Ok(serde_json::to_vec_pretty(&object)?)
}

/// Checks that a document can be a version behind the one before it.
///
/// # Errors
/// The first fault.
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

/// Puts the version before in force, and tells whether it names discovery. One that this program cannot use any more
/// stands in nobody's way.
fn activate_previous(active: &mut ActiveConfig, previous: &[u8]) -> ConfigResult<bool> {
    let text = parse_utf8(previous)?;
    let object = parse_object(text)?;
    let _ = active.replace(with_placeholders(text, &object), &mut Zones::default());
    Ok(object.contains_key(DISCOVERY))
}

/// Checks that the object of a text has no key that is each gateway's own.
fn check_shared(object: &mut Map<String, Value>, text: &str) -> ConfigResult<()> {
    let own_key = OWN_KEYS.iter().find(|own| object.contains_key(**own)).map(ToString::to_string);
    let own_setting =
        || settings_of(object)?.contains_key(OWN_SETTING).then(|| format!("{SETTINGS}.{OWN_SETTING}"));
    match own_key.or_else(own_setting) {
        Some(path) => Err(LineError::new(line_of(text, &path), ConfigError::NotShared { path })),
        None => Ok(()),
    }
}

/// What a gateway runs on: its own file's own keys, and the document's.
///
/// # Errors
/// Either is no JSON object.
pub fn overlay(own: &str, document: &[u8]) -> ConfigResult<String> {
    let mut document = parse_object(parse_utf8(document)?)?;
    let keeps_discovery = !document.contains_key(DISCOVERY);
    let mut merged = parse_object(own)?;
    if let Some(settings) = settings_of(&mut document) {
        settings.remove(OWN_SETTING);
        let own = settings_of(&mut merged).and_then(|own| own.remove(OWN_SETTING));
        settings.extend(own.map(|zone| (OWN_SETTING.to_string(), zone)));
    }
    merged.retain(|key, _| OWN_KEYS.contains(&key.as_str()) || (keeps_discovery && key == DISCOVERY));
    merged.extend(document.into_iter().filter(|(key, _)| !OWN_KEYS.contains(&key.as_str())));
    Ok(serde_json::to_string_pretty(&merged)?)
}

/// Where a running gateway's configuration comes from: its own file, and over it the version in force.
pub struct ConfigSource {
    /// The file.
    pub path: PathBuf,
    /// Its text, as it was last accepted.
    pub file_text: String,
    /// What is in force.
    pub active: ActiveConfig,
    /// The version in force, if one is.
    pub version: Option<Document>,
    /// Discovery's address by the configuration in force.
    pub configured_discovery: SocketAddr,
    /// Discovery's address as it is used: the environment may name another one at the start.
    pub discovery: SocketAddr,
}

impl ConfigSource {
    /// Puts a version in force, or without one the file as it stands now, under the version in force: the text and what
    /// it brings.
    ///
    /// # Errors
    /// It cannot be used; then nothing has changed.
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
        // The file is the latest word: what the environment said at the start is over with it. A version that does not
        // move discovery says nothing of it.
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

/// The text with placeholders for what it lacks of a gateway's own keys, behind all that it has, and of its own setting, on
/// the line on which the settings begin: its lines stay what they are.
fn with_placeholders(text: &str, object: &Map<String, Value>) -> String {
    let missing = PLACEHOLDERS.iter().filter(|(key, _)| !object.contains_key(*key));
    let added: Vec<String> = missing.map(|(key, value)| format!("\"{key}\": {value}")).collect();
    let comma = if object.is_empty() || added.is_empty() { "" } else { "," };
    let text = with_own_setting(text, object);
    let head = text.trim_end().strip_suffix('}').unwrap_or(&text);
    format!("{head}{comma}{}}}", added.join(","))
}

fn with_own_setting(text: &str, object: &Map<String, Value>) -> String {
    let settings = object.get(SETTINGS).and_then(Value::as_object);
    let Some(settings) = settings.filter(|settings| !settings.contains_key(OWN_SETTING)) else {
        return text.to_string();
    };
    let Some(offset) = start_of_settings(text) else { return text.to_string() };
    let comma = if settings.is_empty() { "" } else { "," };
    format!("{}\"{OWN_SETTING}\": \"anywhere\"{comma}{}", &text[..offset], &text[offset..])
}

/// Where the settings' own keys begin: the key is followed by a colon and the object; the same word as a value of another
/// key is not.
fn start_of_settings(text: &str) -> Option<usize> {
    let key = format!("\"{SETTINGS}\"");
    text.match_indices(&key).find_map(|(offset, _)| {
        let rest = text[offset + key.len()..].trim_start();
        let rest = rest.strip_prefix(':')?.trim_start().strip_prefix('{')?;
        Some(text.len() - rest.len())
    })
}
