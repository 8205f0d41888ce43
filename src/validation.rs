//! Checks the files that a gateway is started with, and creates a voter's file.

use std::io;
use std::path::{Path, PathBuf};

use dunemount_fleet::register::AcceptorSlot;

use crate::cli::FileArgs;
use crate::config::{ActiveConfig, ConfigError, LoadedConfig};
use crate::fleet::acceptor_file::AcceptorFile;
use crate::settings::Zones;
use crate::settings_file::{LoadError, SettingsFile, SettingsFileError};
use crate::text_file::{self, ReadError, TextFileError};

/// Why the files cannot be used, or a voter's file cannot be created.
#[derive(Debug, thiserror::Error)]
pub enum ValidationError {
    /// No path of a configuration is given.
    #[error("--config or GW_CONFIG must name the configuration")]
    NoConfig,
    /// The configuration cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] TextFileError<ConfigError>),
    /// The settings cannot be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The settings lack a key that this gateway requires, or the control servers do not accept its name.
    #[error(transparent)]
    Settings(#[from] TextFileError<SettingsFileError>),
    /// The settings lack a key that this voter requires.
    #[error(transparent)]
    Voter(#[from] SettingsFileError),
    /// A voter's file was requested for a gateway that is not a voter.
    #[error("{name} is none of the voters that [fleet] names")]
    NotAVoter {
        /// Name of the gateway.
        name: String,
    },
    /// A voter's file cannot be created.
    #[error("cannot lay out {}: {source}", path.display())]
    CreateVoterFile {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Loads and checks the configuration and the settings as a start would, without changing anything. Returns a line that
/// summarises them.
///
/// # Errors
/// The first error.
pub fn validate(files: &FileArgs) -> Result<String, ValidationError> {
    let path = files.config.as_deref().ok_or(ValidationError::NoConfig)?;
    let text = text_file::read(path)?;
    let LoadedConfig { file, settings: site, .. } = load_config(path, text.clone())?;
    file.check_listen_addresses(&text).map_err(|error| error.in_file(path))?;
    let settings_file = SettingsFile::load(files.settings.as_deref())?;
    settings_file.settings.fleet.voter(&file.name)?;
    settings_file.follower()?;
    settings_file.check_gateway_name(&file.name)?;
    let (classes, hosts) = (site.class_names.len(), file.known.len());
    let cores = settings_file.settings.cores;
    Ok(format!("usable: {classes} classes, {hosts} hosts known, {cores} cores"))
}

/// Creates the file of a voter of a new fleet. Without a `name`, the voter is the gateway that the configuration or
/// `GW_NAME` names. Returns a line that reports the created file.
///
/// # Errors
/// The gateway is not a voter, or its file cannot be created.
pub fn create_voter_file(files: &FileArgs, name: Option<&str>) -> Result<String, ValidationError> {
    let name = match name {
        Some(name) => name.to_string(),
        None => configured_name(files)?,
    };
    let fleet = SettingsFile::load(files.settings.as_deref())?.settings.fleet;
    let Some((index, path)) = fleet.voter(&name)? else { return Err(ValidationError::NotAVoter { name }) };
    let created = AcceptorFile::new(path).create(AcceptorSlot(index as u8));
    created.map_err(|source| ValidationError::CreateVoterFile { path: path.to_path_buf(), source })?;
    Ok(format!("{}: laid out for voter {index} of a new fleet", path.display()))
}

fn configured_name(files: &FileArgs) -> Result<String, ValidationError> {
    let path = files.config.as_deref().ok_or(ValidationError::NoConfig)?;
    let loaded = load_config(path, text_file::read(path)?)?;
    Ok(std::env::var("GW_NAME").unwrap_or(loaded.file.name))
}

fn load_config(path: &Path, text: String) -> Result<LoadedConfig, TextFileError<ConfigError>> {
    ActiveConfig::default().replace(text, &mut Zones::default()).map_err(|error| error.in_file(path))
}
