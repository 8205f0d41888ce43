//! Values of the settings file: how each kind is read.

use std::net::SocketAddr;
use std::path::PathBuf;

use dunemount_rollout::settings::ControlServerInfo;

use super::{NamedAddress, MAX_CONTROL_SERVERS};

/// Longest name that goes over the wire, in bytes.
const MAX_NAME: usize = 64;

/// Why a value cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// There is no key of this name.
    #[error("no such key")]
    UnknownKey,
    /// Not a number.
    #[error("{0:?} is no whole number")]
    NotANumber(String),
    /// Less than the least value, or more than the greatest.
    #[error("{value} is out of range ({min} to {max})")]
    OutOfRange {
        /// The value.
        value: u64,
        /// The least that is accepted.
        min: u64,
        /// The greatest that is accepted.
        max: u64,
    },
    /// Nothing where something is needed.
    #[error("{0} is empty")]
    Empty(&'static str),
    /// A name that is too long.
    #[error("{what} of {length} bytes, {MAX_NAME} at most")]
    TooLong {
        /// Whose name.
        what: &'static str,
        /// Its length in bytes.
        length: usize,
    },
    /// Not an address and a port.
    #[error("{0:?} is no address with a port")]
    NotAnAddress(String),
    /// A name or an address is missing.
    #[error("{0:?} is not NAME@ADDRESS:PORT")]
    NotANamedAddress(String),
    /// A zone is missing.
    #[error("{0:?} is not ZONE/NAME@ADDRESS:PORT")]
    WithoutZone(String),
    /// The same name or address more than once.
    #[error("{0:?}: a name or an address that stands there already")]
    Duplicate(String),
    /// A number of voters of which a majority is no use.
    #[error("{0} voters: 1, 3, 5 or 7 keep a majority")]
    VoterCount(usize),
    /// Too many control servers.
    #[error("{0} machines, {MAX_CONTROL_SERVERS} at most")]
    TooManyControlServers(usize),
}

/// A whole number within a range.
pub fn number(text: &str, min: u64, max: u64) -> Result<u64, ValueError> {
    let value: u64 = text.parse().map_err(|_| ValueError::NotANumber(text.to_string()))?;
    match (min..=max).contains(&value) {
        true => Ok(value),
        false => Err(ValueError::OutOfRange { value, min, max }),
    }
}

/// A name that goes over the wire; `what` says whose.
pub fn name(text: &str, what: &'static str) -> Result<String, ValueError> {
    match text.len() {
        0 => Err(ValueError::Empty(what)),
        1..=MAX_NAME => Ok(text.to_string()),
        length => Err(ValueError::TooLong { what, length }),
    }
}

/// A path.
pub fn path(text: &str) -> Result<PathBuf, ValueError> {
    match text {
        "" => Err(ValueError::Empty("a path")),
        _ => Ok(PathBuf::from(text)),
    }
}

/// An address with a port.
pub fn address(text: &str) -> Result<SocketAddr, ValueError> {
    text.parse().map_err(|_| ValueError::NotAnAddress(text.to_string()))
}

/// `NAME@ADDRESS:PORT`, separated by commas.
pub fn named_addresses(text: &str) -> Result<Vec<NamedAddress>, ValueError> {
    let mut addresses: Vec<NamedAddress> = Vec::new();
    for part in text.split(',').map(str::trim) {
        let new = named_address(part)?;
        if addresses.iter().any(|known| known.name == new.name || known.address == new.address) {
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

/// The voters, as [`named_addresses`]: a number of which a majority survives as many failures as possible.
pub fn voters(text: &str) -> Result<Vec<NamedAddress>, ValueError> {
    let voters = named_addresses(text)?;
    match voters.len() {
        1 | 3 | 5 | 7 => Ok(voters),
        count => Err(ValueError::VoterCount(count)),
    }
}

/// `ZONE/NAME@ADDRESS:PORT`, separated by commas.
pub fn control_servers(text: &str) -> Result<Vec<(ControlServerInfo, SocketAddr)>, ValueError> {
    let parts: Vec<&str> = text.split(',').map(str::trim).collect();
    if parts.len() > MAX_CONTROL_SERVERS {
        return Err(ValueError::TooManyControlServers(parts.len()));
    }
    let mut zones = Vec::new();
    let mut without_zones = Vec::new();
    for part in parts {
        let (zone, rest) = part.split_once('/').ok_or_else(|| ValueError::WithoutZone(part.to_string()))?;
        zones.push(name(zone, "a zone's name")?);
        without_zones.push(rest);
    }
    let servers = named_addresses(&without_zones.join(","))?.into_iter().zip(zones);
    Ok(servers
        .map(|(NamedAddress { name, address }, zone)| (ControlServerInfo { name, zone }, address))
        .collect())
}
