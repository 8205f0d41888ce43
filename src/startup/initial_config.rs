//! The configuration that a process starts with.

use std::path::Path;

use dunemount_rollout::version::Document;

use super::StartError;
use crate::config::version::overlay;
use crate::config::{ActiveConfig, ConfigError, ConfigFile, ConfigResult, LoadedConfig};
use crate::fleet::rollout::gateway::{self, StoredVersionError};
use crate::hot_restart::handover_socket::HandoverState;
use crate::settings::Zones;
use crate::text_file::{LineError, ReadError};

/// The configuration that a process starts with, and its source: the gateway's own file, overlaid with the persisted
/// version if that can be used. If the file cannot be used, it is the configuration of the previous process.
pub struct InitialConfig {
    /// The configuration.
    pub loaded: LoadedConfig,
    /// The configuration in force, with its text.
    pub active: ActiveConfig,
    /// The zones that the settings name.
    pub zones: Zones,
    /// The text of the gateway's own file or, if that cannot be used, of the previous process's configuration.
    pub file_text: String,
    /// The version with which the file is overlaid.
    pub version: Option<Document>,
    /// Why the persisted version is not used; the control servers send the newest one again.
    pub unusable_version: Option<UnusableVersion>,
}

/// Why a persisted version is not used.
#[derive(Debug, thiserror::Error)]
pub enum UnusableVersion {
    /// Its file cannot be read, or contains no version.
    #[error(transparent)]
    File(#[from] StoredVersionError),
    /// The gateway's own file overlaid with it is no usable configuration.
    #[error("version {number}: {source}")]
    Config {
        /// Its number.
        number: u64,
        /// What is wrong with it.
        source: LineError<ConfigError>,
    },
}

impl InitialConfig {
    /// Loads the configuration of a file with this text.
    ///
    /// # Errors
    /// The file cannot be used, and there is no previous process.
    pub fn load(
        path: &Path,
        text: Result<String, ReadError>,
        predecessor: Option<&HandoverState>,
        version_file: Option<&Path>,
    ) -> Result<InitialConfig, StartError> {
        let mut loader = Loader::default();
        let fallback = predecessor.and_then(|predecessor| loader.load_from(predecessor));
        let version = version_file.and_then(|file| loader.read_version(file));
        match (loader.load_file(path, text, version), fallback) {
            (Ok((loaded, file_text, version)), _) => Ok(loader.into_initial(loaded, file_text, version)),
            // The file cannot be used: the configuration of the previous process stays in force.
            (Err(_), Some(loaded)) => {
                let file_text = loader.active.text().to_string();
                Ok(loader.into_initial(loaded, file_text, None))
            }
            (Err(error), None) => Err(error),
        }
    }
}

/// The gateway's name in a configuration's text; none if the text cannot be parsed.
pub fn configured_name(text: &str) -> Option<String> {
    serde_json::from_str::<ConfigFile>(text).ok().map(|file| file.name)
}

#[derive(Default)]
struct Loader {
    active: ActiveConfig,
    zones: Zones,
    unusable_version: Option<UnusableVersion>,
}

impl Loader {
    /// The configuration of the previous process.
    fn load_from(&mut self, predecessor: &HandoverState) -> Option<LoadedConfig> {
        self.zones = predecessor.snapshot.directory.zones().clone();
        self.active.replace(predecessor.snapshot.config.clone(), &mut self.zones).ok()
    }

    /// The persisted version.
    fn read_version(&mut self, file: &Path) -> Option<Document> {
        gateway::stored_version(file).unwrap_or_else(|error| {
            self.unusable_version = Some(UnusableVersion::File(error));
            None
        })
    }

    /// The gateway's own file overlaid with the version, the file's text, and the version if it is used.
    fn load_file(
        &mut self,
        path: &Path,
        text: Result<String, ReadError>,
        version: Option<Document>,
    ) -> Result<(LoadedConfig, String, Option<Document>), StartError> {
        let file_text = text?;
        if let Some(document) = version {
            match self.load_version(&file_text, &document) {
                Ok(loaded) => return Ok((loaded, file_text, Some(document))),
                Err(source) => {
                    let number = document.version().number;
                    self.unusable_version = Some(UnusableVersion::Config { number, source });
                }
            }
        }
        let loaded = self.active.replace(file_text.clone(), &mut self.zones);
        Ok((loaded.map_err(|error| error.in_file(path))?, file_text, None))
    }

    fn load_version(&mut self, file_text: &str, document: &Document) -> ConfigResult<LoadedConfig> {
        let text = overlay(file_text, document.bytes())?;
        self.active.replace(text, &mut self.zones)
    }

    fn into_initial(
        self,
        loaded: LoadedConfig,
        file_text: String,
        version: Option<Document>,
    ) -> InitialConfig {
        let Loader { active, zones, unusable_version } = self;
        InitialConfig { loaded, active, zones, file_text, version, unusable_version }
    }
}
