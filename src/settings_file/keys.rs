//! The keys of the settings file: the range of each, and the field of [`LocalSettings`] that it sets.

use super::values::{self, ValueError};
use super::{LocalSettings, MAX_CORES};

type SetNumber = fn(&mut LocalSettings, u64);
type SetText = fn(&mut LocalSettings, &str) -> Result<(), ValueError>;

/// How the value of a key is parsed, and the function that stores it.
enum Setter {
    Number { min: u64, max: u64, set: SetNumber },
    Text(SetText),
}

/// A key that may be set.
struct Key {
    section: &'static str,
    name: &'static str,
    setter: Setter,
}

const fn number(section: &'static str, name: &'static str, range: (u64, u64), set: SetNumber) -> Key {
    Key { section, name, setter: Setter::Number { min: range.0, max: range.1, set } }
}

const fn text(section: &'static str, name: &'static str, set: SetText) -> Key {
    Key { section, name, setter: Setter::Text(set) }
}

const KEYS: &[Key] = &[
    number("cores", "count", (1, MAX_CORES), |settings, value| settings.cores = value as usize),
    text("fleet", "name", |settings, text| {
        settings.fleet.name = Some(values::name(text, "a fleet's name")?);
        Ok(())
    }),
    text("fleet", "listen", |settings, text| {
        settings.fleet.listen = Some(values::address(text)?);
        Ok(())
    }),
    text("fleet", "voters", |settings, text| {
        settings.fleet.voters = values::voters(text)?;
        Ok(())
    }),
    text("fleet", "seeds", |settings, text| {
        settings.fleet.seeds = values::named_addresses(text)?;
        Ok(())
    }),
    number("fleet", "size", (1, 1_000), |settings, value| settings.fleet.size = value as u32),
    number("fleet", "lease_ms", (300, 600_000), |settings, value| settings.fleet.lease_ms = value),
    number("fleet", "probe_ms", (50, 60_000), |settings, value| settings.fleet.probe_ms = value),
    text("fleet", "file", |settings, text| {
        settings.fleet.file = Some(values::path(text)?);
        Ok(())
    }),
    text("control", "machines", |settings, text| {
        settings.control.servers = values::control_servers(text)?;
        Ok(())
    }),
    text("control", "zone", |settings, text| {
        settings.control.zone = Some(values::name(text, "a zone's name")?);
        Ok(())
    }),
    text("control", "file", |settings, text| {
        settings.control.file = Some(values::path(text)?);
        Ok(())
    }),
];

/// Whether a section of this name has keys.
pub fn is_section(name: &str) -> bool {
    KEYS.iter().any(|key| key.section == name)
}

/// Parses the value of a key and stores it in the settings.
///
/// # Errors
/// The key is unknown, or its value cannot be used.
pub fn set(settings: &mut LocalSettings, section: &str, name: &str, value: &str) -> Result<(), ValueError> {
    let key = KEYS.iter().find(|key| key.section == section && key.name == name);
    match key.ok_or(ValueError::UnknownKey)?.setter {
        Setter::Number { min, max, set } => set(settings, values::number(value, min, max)?),
        Setter::Text(set) => set(settings, value.trim())?,
    }
    Ok(())
}
