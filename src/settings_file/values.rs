//! Parsers for the values of the settings file.

use std::net::SocketAddr;
use std::path::PathBuf;

use dunemount_rollout::settings::ControlServerInfo;

use super::{NamedAddress, MAX_CONTROL_SERVERS};

/// Maximum length of a name that is sent to other processes, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Why a value cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// The key is unknown.
    #[error("no such key")]
    UnknownKey,
    /// Not a whole number.
    #[error("{0:?} is no whole number")]
    NotANumber(String),
    /// Less than the minimum or more than the maximum.
    #[error("{value} is out of range ({min} to {max})")]
    OutOfRange {
        /// The value.
        value: u64,
        /// The minimum.
        min: u64,
        /// The maximum.
        max: u64,
    },
    /// An empty value.
    #[error("{0} is empty")]
    Empty(&'static str),
    /// A name that is too long.
    #[error("{what} of {length} bytes, {MAX_NAME_BYTES} at most")]
    TooLong {
        /// Which name, for the message.
        what: &'static str,
        /// Its length in bytes.
        length: usize,
    },
    /// Not an address with a port.
    #[error("{0:?} is no address with a port")]
    NotAnAddress(String),
    /// Not a name and an address, separated by `@`.
    #[error("{0:?} is not NAME@ADDRESS:PORT")]
    NotANamedAddress(String),
    /// Has no zone before the name.
    #[error("{0:?} is not ZONE/NAME@ADDRESS:PORT")]
    WithoutZone(String),
    /// A name or an address that occurs more than once.
    #[error("{0:?}: a name or an address that stands there already")]
    Duplicate(String),
    /// Not one of the supported numbers of voters.
    #[error("{0} voters: 1, 3, 5 or 7 keep a majority")]
    VoterCount(usize),
    /// More control servers than [`MAX_CONTROL_SERVERS`].
    #[error("{0} machines, {MAX_CONTROL_SERVERS} at most")]
    TooManyControlServers(usize),
}

/// Parses a whole number from `min` to `max`.
pub fn number(text: &str, min: u64, max: u64) -> Result<u64, ValueError> {
    let value: u64 = text.parse().map_err(|_| ValueError::NotANumber(text.to_string()))?;
    match (min..=max).contains(&value) {
        true => Ok(value),
        false => Err(ValueError::OutOfRange { value, min, max }),
    }
}

/// Checks a name that is sent to other processes. `what` describes it in error messages.
pub fn name(text: &str, what: &'static str) -> Result<String, ValueError> {
    match text.len() {
        0 => Err(ValueError::Empty(what)),
        1..=MAX_NAME_BYTES => Ok(text.to_string()),
        length => Err(ValueError::TooLong { what, length }),
    }
}

/// Parses a path that must not be empty.
pub fn path(text: &str) -> Result<PathBuf, ValueError> {
    match text {
        "" => Err(ValueError::Empty("a path")),
        _ => Ok(PathBuf::from(text)),
    }
}

/// Parses an address with a port.
pub fn address(text: &str) -> Result<SocketAddr, ValueError> {
    text.parse().map_err(|_| ValueError::NotAnAddress(text.to_string()))
}

/// Parses a list of `NAME@ADDRESS:PORT`, separated by commas.
pub fn named_addresses(text: &str) -> Result<Vec<NamedAddress>, ValueError> {
    let mut addresses: Vec<NamedAddress> = Vec::new();
    for part in text.split(',').map(str::trim) {
        let new = named_address(part)?;
        if addresses.iter().any(|earlier| earlier.name == new.name || earlier.address == new.address) {
            return Err(ValueError::Duplicate(part.to_string()));
        }
        addresses.push(new);
    }
    Ok(addresses)
}

fn named_address(text: &str) -> Result<NamedAddress, ValueError> {
    let (name_text, address_text) =
        text.rsplit_once('@').ok_or_else(|| ValueError::NotANamedAddress(text.to_string()))?;
    Ok(NamedAddress { name: name(name_text, "a gateway's name")?, address: address(address_text)? })
}

/// Parses the voters as [`named_addresses`] does. There must be 1, 3, 5 or 7: an even number tolerates no more failures
/// than the odd number below it.
pub fn voters(text: &str) -> Result<Vec<NamedAddress>, ValueError> {
    let voters = named_addresses(text)?;
    match voters.len() {
        1 | 3 | 5 | 7 => Ok(voters),
        count => Err(ValueError::VoterCount(count)),
    }
}

/// Parses a list of `ZONE/NAME@ADDRESS:PORT`, separated by commas.
pub fn control_servers(text: &str) -> Result<Vec<(ControlServerInfo, SocketAddr)>, ValueError> {
    let parts: Vec<&str> = text.split(',').map(str::trim).collect();
    if parts.len() > MAX_CONTROL_SERVERS {
        return Err(ValueError::TooManyControlServers(parts.len()));
    }
    let mut zones = Vec::new();
    let mut named_servers = Vec::new();
    for part in parts {
        let (zone, rest) = part.split_once('/').ok_or_else(|| ValueError::WithoutZone(part.to_string()))?;
        zones.push(name(zone, "a zone's name")?);
        named_servers.push(rest);
    }
    let servers = named_addresses(&named_servers.join(","))?.into_iter().zip(zones);
    Ok(servers
        .map(|(NamedAddress { name, address }, zone)| (ControlServerInfo { name, zone }, address))
        .collect())
}
