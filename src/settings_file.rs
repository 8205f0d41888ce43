//! The settings of this project: an INI file, separate from the platform's JSON configuration. The default of each
//! key is the value that the platform's deployment needs; an unknown key is an error and is never ignored.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use dunemount_rollout::settings::ControlServerInfo;
use ini::Ini;

use crate::shortage::START_RETRY_TIMEOUT;
use crate::text_file::{self, LineError, ReadError, TextFileError};

mod keys;
mod lines;
mod values;

pub use self::values::ValueError;

/// Maximum number of control servers: one per zone of the largest fleet, with room to move one.
pub const MAX_CONTROL_SERVERS: usize = 16;
/// Maximum number of worker threads.
pub const MAX_CORES: u64 = 64;

/// Why the settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsFileError {
    /// A line is not valid INI.
    #[error("neither a [section] nor a key with its value")]
    NotIni,
    /// A section is unknown.
    #[error("[{section}]: no such section")]
    UnknownSection {
        /// Name of the section.
        section: String,
    },
    /// A key is set more than once in a section.
    #[error("[{section}] {key}: set twice")]
    DuplicateKey {
        /// Section of the key.
        section: String,
        /// Name of the key.
        key: String,
    },
    /// A key is unknown, or its value cannot be used.
    #[error("[{section}] {key}: {source}")]
    Key {
        /// Section of the key.
        section: String,
        /// Name of the key.
        key: String,
        /// The reason.
        source: ValueError,
    },
    /// A required key is not set.
    #[error("[{section}] {key}: missing")]
    MissingKey {
        /// Section of the key.
        section: &'static str,
        /// Name of the key.
        key: &'static str,
    },
    /// The lease is shorter than the probe interval and would expire between two probes.
    #[error("[fleet] lease_ms: shorter than probe_ms")]
    LeaseShorterThanProbe,
    /// Control servers are configured, but the fleet has no name.
    #[error("[control] machines: [fleet] name is missing, which each connection says first")]
    ControlWithoutFleet,
    /// Control servers do not accept the gateway's name.
    #[error("[control] machines: {0}")]
    GatewayName(#[source] ValueError),
    /// A voter has no file: it would forget its promises at each restart.
    #[error("[fleet] file: missing, and {voter} is a voter")]
    VoterWithoutFile {
        /// Name of the voter.
        voter: String,
    },
}

/// Why a settings file cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The settings in the file cannot be used.
    #[error(transparent)]
    Settings(#[from] TextFileError<SettingsFileError>),
}

/// All settings of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalSettings {
    /// `[cores] count`: number of worker threads for client traffic, 1 to [`MAX_CORES`].
    pub cores: usize,
    /// `[fleet]`: communication between gateways; disabled unless the fleet's name is set.
    pub fleet: FleetSettings,
    /// `[control]`: the sources of configuration versions; disabled unless control servers are set.
    pub control: ControlSettings,
}

/// The name of a member of the fleet and the address on which it receives datagrams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedAddress {
    /// The name in the gateway's configuration.
    pub name: String,
    /// The address on which it receives datagrams.
    pub address: SocketAddr,
}

/// `[fleet]`: membership of the fleet and leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// `name`: the fleet's name. Unless it is set, no fleet is joined, and no socket or thread is created for one.
    pub name: Option<String>,
    /// `listen`: the address on which datagrams are received.
    pub listen: Option<SocketAddr>,
    /// `voters`: the members that are acceptors of the registers, in the same order at all gateways.
    pub voters: Vec<NamedAddress>,
    /// `seeds`: the members to contact first; if there are none, the voters.
    pub seeds: Vec<NamedAddress>,
    /// `size`: the approximate number of gateways.
    pub size: u32,
    /// `lease_ms`: duration of a lease that is not renewed, in milliseconds.
    pub lease_ms: u64,
    /// `probe_ms`: interval between probes of other members, in milliseconds.
    pub probe_ms: u64,
    /// `file`: the file in which a voter persists its acceptor state.
    pub file: Option<PathBuf>,
}

/// `[control]`: distribution of configuration versions; used by gateways, control servers and the operators' commands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlSettings {
    /// `machines`: the control servers and their TCP addresses, in the same order in all settings files of the fleet.
    pub servers: Vec<(ControlServerInfo, SocketAddr)>,
    /// `zone`: the zone of the gateway.
    pub zone: Option<String>,
    /// `file`: the file in which a gateway persists the version in force, or a control server its state.
    pub file: Option<PathBuf>,
    /// The line on which the section starts, if control servers are set; otherwise zero.
    pub line: usize,
}

/// The gateway's own settings for following the control servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerSettings<'a> {
    /// The gateway's zone.
    pub zone: &'a str,
    /// The file in which the gateway persists the version in force.
    pub file: &'a Path,
}

impl Default for LocalSettings {
    fn default() -> Self {
        let fleet = FleetSettings {
            name: None,
            listen: None,
            voters: Vec::new(),
            seeds: Vec::new(),
            size: 3,
            lease_ms: 3_000,
            probe_ms: 500,
            file: None,
        };
        LocalSettings { cores: 1, fleet, control: ControlSettings::default() }
    }
}

impl LocalSettings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    /// The error on the first line that cannot be used.
    pub fn parse(text: &str) -> Result<LocalSettings, LineError<SettingsFileError>> {
        let file = Ini::load_from_str_noescape(text).map_err(|e| {
            // The parser reports a line that is one or two after the invalid one.
            let line = text.lines().position(|line| !lines::is_ini(line)).unwrap_or(e.line);
            LineError::new(line + 1, SettingsFileError::NotIni)
        })?;
        let mut settings = LocalSettings::default();
        settings.apply_all(&file, text)?;
        settings.check_dependencies(text)?;
        Ok(settings)
    }

    /// Applies all keys of a file. After an error some keys are set and others are not: the settings must not be used.
    fn apply_all(&mut self, file: &Ini, text: &str) -> Result<(), LineError<SettingsFileError>> {
        let mut errors = Vec::new();
        let mut seen = Vec::new();
        for (section, values) in file {
            let section = section.unwrap_or_default();
            if !section.is_empty() && !keys::is_section(section) {
                let error = SettingsFileError::UnknownSection { section: section.to_string() };
                errors.push(LineError::new(lines::line_of_section(text, section), error));
                continue;
            }
            for (name, value) in values {
                let repeats = seen.iter().filter(|earlier| **earlier == (section, name)).count();
                seen.push((section, name));
                if let Err(error) = self.apply(section, name, value, repeats > 0) {
                    errors.push(LineError::new(lines::line_of_key(text, section, name, repeats), error));
                }
            }
        }
        match errors.into_iter().min_by_key(|error| error.line) {
            Some(first) => Err(first),
            None => Ok(()),
        }
    }

    fn apply(
        &mut self,
        section: &str,
        name: &str,
        value: &str,
        repeated: bool,
    ) -> Result<(), SettingsFileError> {
        let (section_name, key) = (section.to_string(), name.to_string());
        if repeated {
            return Err(SettingsFileError::DuplicateKey { section: section_name, key });
        }
        keys::set(self, section, name, value).map_err(|source| SettingsFileError::Key {
            section: section_name,
            key,
            source,
        })
    }

    /// Checks the keys that require other keys.
    fn check_dependencies(&mut self, text: &str) -> Result<(), LineError<SettingsFileError>> {
        let line_of = |section| lines::line_of_section(text, section);
        self.fleet.check_complete().map_err(|error| LineError::new(line_of("fleet"), error))?;
        if self.control.servers.is_empty() {
            return Ok(());
        }
        self.control.line = line_of("control");
        match self.fleet.name {
            Some(_) => Ok(()),
            None => Err(LineError::new(self.control.line, SettingsFileError::ControlWithoutFleet)),
        }
    }
}

impl FleetSettings {
    /// Checks that a fleet with a name has the other required keys. Without a name the section is ignored.
    fn check_complete(&self) -> Result<(), SettingsFileError> {
        let missing = |key| Err(SettingsFileError::MissingKey { section: "fleet", key });
        match self.name {
            None => Ok(()),
            Some(_) if self.listen.is_none() => missing("listen"),
            Some(_) if self.voters.is_empty() => missing("voters"),
            Some(_) if self.lease_ms < self.probe_ms => Err(SettingsFileError::LeaseShorterThanProbe),
            Some(_) => Ok(()),
        }
    }

    /// The index of the gateway with this name among the voters, and its file; `None` if it is not a voter.
    ///
    /// # Errors
    /// The gateway is a voter, but `file` is not set.
    pub fn voter(&self, name: &str) -> Result<Option<(usize, &Path)>, SettingsFileError> {
        let Some(index) = self.voters.iter().position(|voter| voter.name == name) else { return Ok(None) };
        let file = self.file.as_deref();
        let file = file.ok_or_else(|| SettingsFileError::VoterWithoutFile { voter: name.to_string() })?;
        Ok(Some((index, file)))
    }
}

impl ControlSettings {
    /// The settings for following the control servers; `None` if no control servers are set.
    ///
    /// # Errors
    /// A required key is missing.
    pub fn follower(&self) -> Result<Option<FollowerSettings<'_>>, LineError<SettingsFileError>> {
        if self.servers.is_empty() {
            return Ok(None);
        }
        let zone = self.zone.as_deref().ok_or_else(|| self.missing("zone"))?;
        Ok(Some(FollowerSettings { zone, file: self.version_file()? }))
    }

    /// The file in which versions are persisted.
    ///
    /// # Errors
    /// The key is missing.
    pub fn version_file(&self) -> Result<&Path, LineError<SettingsFileError>> {
        self.file.as_deref().ok_or_else(|| self.missing("file"))
    }

    /// Checks that the control servers, if any, accept a gateway of this name.
    ///
    /// # Errors
    /// The name is empty or too long.
    pub fn check_gateway_name(&self, name: &str) -> Result<(), LineError<SettingsFileError>> {
        if self.servers.is_empty() {
            return Ok(());
        }
        match values::name(name, "the gateway's name") {
            Ok(_) => Ok(()),
            Err(error) => Err(LineError::new(self.line, SettingsFileError::GatewayName(error))),
        }
    }

    fn missing(&self, key: &'static str) -> LineError<SettingsFileError> {
        LineError::new(self.line, SettingsFileError::MissingKey { section: "control", key })
    }
}

/// The settings of a process and the file that they were loaded from.
#[derive(Clone, Debug, Default)]
pub struct SettingsFile {
    path: PathBuf,
    /// The settings in the file.
    pub settings: LocalSettings,
}

impl SettingsFile {
    /// Loads a settings file. Without a path, all settings have their defaults.
    ///
    /// # Errors
    /// The file cannot be read, even after retries, or cannot be used.
    pub fn load(path: Option<&Path>) -> Result<SettingsFile, LoadError> {
        let Some(path) = path else { return Ok(SettingsFile::default()) };
        let text = text_file::read_within(START_RETRY_TIMEOUT, path)?;
        let settings = LocalSettings::parse(&text).map_err(|error| error.in_file(path))?;
        Ok(SettingsFile { path: path.to_path_buf(), settings })
    }

    /// The settings for following the control servers; `None` if no control servers are set.
    ///
    /// # Errors
    /// A required key is missing.
    pub fn follower(&self) -> Result<Option<FollowerSettings<'_>>, TextFileError<SettingsFileError>> {
        self.settings.control.follower().map_err(|error| error.in_file(&self.path))
    }

    /// The file in which versions are persisted.
    ///
    /// # Errors
    /// The key is missing.
    pub fn version_file(&self) -> Result<&Path, TextFileError<SettingsFileError>> {
        self.settings.control.version_file().map_err(|error| error.in_file(&self.path))
    }

    /// Checks that the control servers, if any, accept a gateway of this name.
    ///
    /// # Errors
    /// The name is empty or too long.
    pub fn check_gateway_name(&self, name: &str) -> Result<(), TextFileError<SettingsFileError>> {
        self.settings.control.check_gateway_name(name).map_err(|error| error.in_file(&self.path))
    }
}
