//! The project's own settings: an INI file beside the platform's JSON configuration. A key that is not set has the value
//! that the platform's deployment needs; a key that is not known is an error and never passed over.

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

/// Most control servers: one a zone of the largest fleet, and room to move one.
pub const MAX_CONTROL_SERVERS: usize = 16;
/// Most worker threads that may be asked for.
pub const MAX_CORES: u64 = 64;

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsFileError {
    /// A line is no INI.
    #[error("neither a [section] nor a key with its value")]
    NotIni,
    /// A section is not known.
    #[error("[{section}]: no such section")]
    UnknownSection {
        /// Its name.
        section: String,
    },
    /// A key stands in its section more than once.
    #[error("[{section}] {key}: set twice")]
    DuplicateKey {
        /// Its section.
        section: String,
        /// Its name.
        key: String,
    },
    /// A key is not known, or its value cannot be used.
    #[error("[{section}] {key}: {source}")]
    Key {
        /// Its section.
        section: String,
        /// Its name.
        key: String,
        /// What is wrong with it.
        source: ValueError,
    },
    /// A key is needed and is not set.
    #[error("[{section}] {key}: missing")]
    MissingKey {
        /// Its section.
        section: &'static str,
        /// Its name.
        key: &'static str,
    },
    /// A lease would end between two probes.
    #[error("[fleet] lease_ms: shorter than probe_ms")]
    LeaseShorterThanProbe,
    /// Control servers are named, but no fleet.
    #[error("[control] machines: [fleet] name is missing, which each connection says first")]
    ControlWithoutFleet,
    /// Control servers cannot take a gateway of this name.
    #[error("[control] machines: {0}")]
    GatewayName(#[source] ValueError),
    /// A voter without a file would have promised nothing after each start.
    #[error("[fleet] file: missing, and {voter} is a voter")]
    VoterWithoutFile {
        /// Its name.
        voter: String,
    },
}

/// Why a settings file cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// It cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// It cannot be used.
    #[error(transparent)]
    Settings(#[from] TextFileError<SettingsFileError>),
}

/// Everything that the file may set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalSettings {
    /// `[cores] count`: worker threads for the traffic, 1 to [`MAX_CORES`].
    pub cores: usize,
    /// `[fleet]`: communication between gateways; none unless the fleet is named.
    pub fleet: FleetSettings,
    /// `[control]`: where versions of the configuration come from; nowhere unless control servers are named.
    pub control: ControlSettings,
}

/// The name of a member of the fleet, and the address of its datagrams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedAddress {
    /// The name, as in the gateway's configuration.
    pub name: String,
    /// Its datagrams' address.
    pub address: SocketAddr,
}

/// `[fleet]`: what a gateway needs to know of the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// `name`: unless it is set there is no fleet, no socket and no thread for it.
    pub name: Option<String>,
    /// `listen`: where datagrams are received.
    pub listen: Option<SocketAddr>,
    /// `voters`: those that keep the registers, in the same order at all gateways.
    pub voters: Vec<NamedAddress>,
    /// `seeds`: whom to contact first; the voters if none are named.
    pub seeds: Vec<NamedAddress>,
    /// `size`: about how many gateways there are.
    pub size: u32,
    /// `lease_ms`: how long a role is held without a renewal, in milliseconds.
    pub lease_ms: u64,
    /// `probe_ms`: time between two probes of other members, in milliseconds.
    pub probe_ms: u64,
    /// `file`: where a voter persists what it has promised.
    pub file: Option<PathBuf>,
}

/// `[control]`: what a gateway, a control server and the operators' commands need to know of versions of the
/// configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlSettings {
    /// `machines`: the control servers and where they listen (TCP), in the same order everywhere.
    pub servers: Vec<(ControlServerInfo, SocketAddr)>,
    /// `zone`: a gateway's.
    pub zone: Option<String>,
    /// `file`: where a gateway persists the version in force, and a control server its state.
    pub file: Option<PathBuf>,
    /// The line on which the section starts, where control servers are named.
    pub line: usize,
}

/// What a gateway that follows control servers needs of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerSettings<'a> {
    /// The gateway's zone.
    pub zone: &'a str,
    /// Where it persists the version in force.
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
    /// Reads a file's text.
    ///
    /// # Errors
    /// The error on the first line that cannot be used.
    pub fn parse(text: &str) -> Result<LocalSettings, LineError<SettingsFileError>> {
        let file = Ini::load_from_str_noescape(text).map_err(|e| {
            // The parser gives up a line or two behind what it could not read.
            let line = text.lines().position(|line| !lines::is_ini(line)).unwrap_or(e.line);
            LineError::new(line + 1, SettingsFileError::NotIni)
        })?;
        let mut settings = LocalSettings::default();
        settings.apply_all(&file, text)?;
        settings.check_dependencies(text)?;
        Ok(settings)
    }

    /// Sets all keys of a file, or none that can be relied on.
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
                let repeats = seen.iter().filter(|known| **known == (section, name)).count();
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

    /// Checks keys that need each other.
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
    /// Checks that a fleet with a name has all that it needs; nothing else of the section counts without one.
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

    /// The index among the voters of the gateway with this name, and its file; none for one without a vote.
    ///
    /// # Errors
    /// It is a voter without a file.
    pub fn voter(&self, name: &str) -> Result<Option<(usize, &Path)>, SettingsFileError> {
        let Some(index) = self.voters.iter().position(|voter| voter.name == name) else { return Ok(None) };
        let file = self.file.as_deref();
        let file = file.ok_or_else(|| SettingsFileError::VoterWithoutFile { voter: name.to_string() })?;
        Ok(Some((index, file)))
    }
}

impl ControlSettings {
    /// What a gateway needs to follow the control servers; none where no control servers are named.
    ///
    /// # Errors
    /// A key is missing.
    pub fn follower(&self) -> Result<Option<FollowerSettings<'_>>, LineError<SettingsFileError>> {
        if self.servers.is_empty() {
            return Ok(None);
        }
        let zone = self.zone.as_deref().ok_or_else(|| self.missing("zone"))?;
        Ok(Some(FollowerSettings { zone, file: self.version_file()? }))
    }

    /// Where versions are persisted.
    ///
    /// # Errors
    /// It is not named.
    pub fn version_file(&self) -> Result<&Path, LineError<SettingsFileError>> {
        self.file.as_deref().ok_or_else(|| self.missing("file"))
    }

    /// Checks that the control servers, if there are any, accept a gateway of this name.
    ///
    /// # Errors
    /// They do not.
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

/// The settings of a process, and the file that they come from.
#[derive(Clone, Debug, Default)]
pub struct SettingsFile {
    path: PathBuf,
    /// What the file says.
    pub settings: LocalSettings,
}

impl SettingsFile {
    /// Loads a file; without one everything has its default.
    ///
    /// # Errors
    /// It cannot be read, also after some retries, or cannot be used.
    pub fn load(path: Option<&Path>) -> Result<SettingsFile, LoadError> {
        let Some(path) = path else { return Ok(SettingsFile::default()) };
        let text = text_file::read_within(START_RETRY_TIMEOUT, path)?;
        let settings = LocalSettings::parse(&text).map_err(|error| error.in_file(path))?;
        Ok(SettingsFile { path: path.to_path_buf(), settings })
    }

    /// What a gateway needs to follow the control servers; none where no control servers are named.
    ///
    /// # Errors
    /// A key is missing.
    pub fn follower(&self) -> Result<Option<FollowerSettings<'_>>, TextFileError<SettingsFileError>> {
        self.settings.control.follower().map_err(|error| error.in_file(&self.path))
    }

    /// Where versions are persisted.
    ///
    /// # Errors
    /// It is not named.
    pub fn version_file(&self) -> Result<&Path, TextFileError<SettingsFileError>> {
        self.settings.control.version_file().map_err(|error| error.in_file(&self.path))
    }

    /// Checks that the control servers, if there are any, accept a gateway of this name.
    ///
    /// # Errors
    /// They do not.
    pub fn check_gateway_name(&self, name: &str) -> Result<(), TextFileError<SettingsFileError>> {
        self.settings.control.check_gateway_name(name).map_err(|error| error.in_file(&self.path))
    }
}
