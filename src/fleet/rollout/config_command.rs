//! The operators' commands `dunemount fleet config put`, `show` and `status`: requests to the control servers.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use dunemount_rollout::settings::ControlServerInfo;
use dunemount_rollout::version::{Document, Version, MAX_DOCUMENT_BYTES};
use dunemount_rollout::wire::{ControlServerStatus, Message};

use super::client::{Client, ClientError, REQUEST_TIMEOUT};
use super::control_server::PROPOSAL_TIMEOUT;
use super::status_report::StatusReport;
use crate::config::{line_of, version, ConfigError};
use crate::settings_file::{LoadError, LocalSettings, SettingsFile};
use crate::text_file::{self, LineError, ReadError, TextFileError};

/// Why a command failed, with a message for the operator.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] LoadError),
    /// The settings name no control servers.
    #[error("[control] machines: none are named by --settings or GW_SETTINGS")]
    NoServers,
    /// The file that is to be the next version cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The file that is to be the next version is no valid configuration.
    #[error(transparent)]
    Config(#[from] TextFileError<ConfigError>),
    /// The part of the file that all gateways share is too long.
    #[error("{}: {length} bytes as a version, {MAX_DOCUMENT_BYTES} at most", .path.display())]
    TooLong {
        /// The file.
        path: PathBuf,
        /// Length of the shared part, in bytes.
        length: usize,
    },
    /// No control server answers.
    #[error("no control machine answers: {0}")]
    NoAnswer(String),
    /// No control server answers, as the report shows.
    #[error("no control machine answers\n{0}")]
    NoStatus(Box<StatusReport>),
    /// A control server has not answered a proposal, which may still become a version.
    #[error("{server}: {source}")]
    OutcomeUnknown {
        /// The control server's name.
        server: String,
        /// Why there is no answer.
        source: ClientError,
    },
    /// A control server has not accepted a proposal.
    #[error("{server}: {reason}")]
    NotAccepted {
        /// The control server's name.
        server: String,
        /// The reason that the control server gives.
        reason: String,
        /// The proposal may still become a version.
        uncertain: bool,
    },
    /// No control server has the version that is to be shown.
    #[error("{0}")]
    NotFound(String),
}

impl CommandError {
    /// Whether the command may still take effect.
    pub fn is_uncertain(&self) -> bool {
        matches!(
            self,
            CommandError::OutcomeUnknown { .. } | CommandError::NotAccepted { uncertain: true, .. }
        )
    }
}

/// The operators' commands, to the control servers that the settings name.
pub struct ConfigClient {
    fleet: String,
    servers: Vec<(ControlServerInfo, SocketAddr)>,
}

impl ConfigClient {
    /// Reads the settings.
    ///
    /// # Errors
    /// They cannot be read, or name no control servers.
    pub fn from_settings(settings: Option<&Path>) -> Result<ConfigClient, CommandError> {
        let LocalSettings { fleet, control, .. } = SettingsFile::load(settings)?.settings;
        match fleet.name {
            Some(fleet) if !control.servers.is_empty() => {
                Ok(ConfigClient { fleet, servers: control.servers })
            }
            _ => Err(CommandError::NoServers),
        }
    }

    /// Proposes a file's shared part as the next version, and waits until it is accepted.
    ///
    /// # Errors
    /// The file cannot be used, or the document is not accepted.
    pub fn put(&self, path: &Path) -> Result<Version, CommandError> {
        let text = text_file::read(path)?;
        let document = document_of(path, &text)?;
        let (mut client, server) = self.choose_server()?;
        let unknown = |source| CommandError::OutcomeUnknown { server: server.to_string(), source };
        client.send(&Message::Propose(document.into())).map_err(unknown)?;
        match client.receive(PROPOSAL_TIMEOUT + REQUEST_TIMEOUT).map_err(unknown)? {
            Message::Accepted(version) => Ok(version),
            Message::NotAccepted { reason, uncertain } => {
                let reason = with_line(path, &text, reason);
                Err(CommandError::NotAccepted { server: server.to_string(), reason, uncertain })
            }
            _ => Err(unknown(ClientError::UnexpectedAnswer)),
        }
    }

    /// The newest version, or the one with this number.
    ///
    /// # Errors
    /// No control server has it.
    pub fn show(&self, number: Option<u64>) -> Result<Document, CommandError> {
        let mut reasons = Vec::new();
        for (server, address) in &self.servers {
            match self.show_from(*address, number) {
                Ok(document) => return Ok(document),
                Err(reason) => reasons.push(format!("{}: {reason}", server.name)),
            }
        }
        Err(CommandError::NotFound(reasons.join("; ")))
    }

    fn show_from(&self, address: SocketAddr, number: Option<u64>) -> Result<Document, ShowError> {
        let mut client = Client::connect(&self.fleet, address)?;
        match client.request(&Message::ShowDocument(number))? {
            Message::FoundDocument(version, bytes) => {
                Document::verify(version, bytes).ok_or(ShowError::DigestMismatch)
            }
            Message::DocumentNotFound(reason) => Err(ShowError::NotFound(reason)),
            _ => Err(ClientError::UnexpectedAnswer.into()),
        }
    }

    /// The combined status of all control servers.
    ///
    /// # Errors
    /// None of them answers.
    pub fn status(&self) -> Result<StatusReport, CommandError> {
        let answers: Vec<Result<ControlServerStatus, ClientError>> = std::thread::scope(|scope| {
            let ask = |address| scope.spawn(move || self.status_of(address).map(|(_, status)| status));
            let threads: Vec<_> = self.servers.iter().map(|(_, address)| ask(*address)).collect();
            let join = |thread: std::thread::ScopedJoinHandle<'_, _>| {
                thread.join().unwrap_or(Err(ClientError::Panicked))
            };
            threads.into_iter().map(join).collect()
        });
        let report = StatusReport::new(&self.servers, answers);
        if report.machines.iter().any(|server| server.reached) {
            Ok(report)
        } else {
            Err(CommandError::NoStatus(Box::new(report)))
        }
    }

    /// Chooses the first control server that is fresh, which means that it has recently read the newest version from a
    /// majority of the voters, else the first that answers. A server must answer before it gets a proposal: a stopped
    /// process would read the proposal once it continues, and it could become a version long after the operator has
    /// retried at another server.
    fn choose_server(&self) -> Result<(Client, &str), CommandError> {
        let mut answering = None;
        let mut silent = Vec::new();
        for (server, address) in &self.servers {
            match self.status_of(*address) {
                Ok((client, status)) if status.fresh => return Ok((client, &server.name)),
                Ok((client, _)) => {
                    answering.get_or_insert((client, &server.name[..]));
                }
                Err(error) => silent.push(format!("{}: {error}", server.name)),
            }
        }
        answering.ok_or_else(|| CommandError::NoAnswer(silent.join("; ")))
    }

    fn status_of(&self, address: SocketAddr) -> Result<(Client, ControlServerStatus), ClientError> {
        let mut client = Client::connect(&self.fleet, address)?;
        match client.request(&Message::QueryStatus)? {
            Message::Status(status) => Ok((client, status)),
            _ => Err(ClientError::UnexpectedAnswer),
        }
    }
}

/// Why a control server does not show a version.
#[derive(Debug, thiserror::Error)]
enum ShowError {
    #[error(transparent)]
    Client(#[from] ClientError),
    #[error("the document does not match its digest")]
    DigestMismatch,
    #[error("{0}")]
    NotFound(String),
}

/// The part of a file that all gateways share, as a document.
fn document_of(path: &Path, text: &str) -> Result<Vec<u8>, CommandError> {
    let document = version::shared_part(text).map_err(|error| error.in_file(path))?;
    match document.len() {
        0..=MAX_DOCUMENT_BYTES => Ok(document),
        length => Err(CommandError::TooLong { path: path.to_path_buf(), length }),
    }
}

/// A control server's reason, with the file and the line that it concerns if a line can be found.
fn with_line(path: &Path, text: &str, reason: String) -> String {
    match line_of(text, &reason) {
        0 => reason,
        line => LineError::<String>::new(line, reason).in_file(path).to_string(),
    }
}
