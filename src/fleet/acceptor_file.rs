//! The file in which this gateway's acceptor persists its state. Operators know an acceptor as a voter.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use dunemount_fleet::acceptor::{Acceptor, AcceptorFileError};
use dunemount_fleet::node::AcceptorStorage;
use dunemount_fleet::register::AcceptorSlot;
use thiserror::Error;

use super::durable_file;

/// Why an acceptor starts without the promises that it has made before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum UnusableFile {
    /// There is no file.
    #[error("the file does not exist")]
    Missing,
    /// The file is not an acceptor's file, or is damaged.
    #[error(transparent)]
    Invalid(#[from] AcceptorFileError),
}

/// An acceptor's file.
#[derive(Debug)]
pub struct AcceptorFile {
    path: PathBuf,
    /// Why the latest state could not be stored.
    store_error: Option<io::Error>,
}

impl AcceptorFile {
    /// The file at this path, which need not exist.
    pub fn new(path: &Path) -> AcceptorFile {
        AcceptorFile { path: path.to_path_buf(), store_error: None }
    }

    /// Why the latest state could not be stored; none if it was.
    pub fn store_error(&self) -> Option<&io::Error> {
        self.store_error.as_ref()
    }

    /// Loads the acceptor of this slot. Without a usable file the acceptor is uninitialized, and the reason is returned
    /// with it.
    ///
    /// # Errors
    /// The file cannot be read, so it is unknown whether it holds promises: the caller has to retry.
    pub fn load(&self, slot: AcceptorSlot, salt: u32) -> io::Result<(Acceptor, Option<UnusableFile>)> {
        let unusable = match fs::read(&self.path) {
            Ok(bytes) => match Acceptor::from_file(slot, &bytes) {
                Ok(acceptor) => return Ok((acceptor, None)),
                Err(e) => e.into(),
            },
            Err(e) if e.kind() == io::ErrorKind::NotFound => UnusableFile::Missing,
            Err(e) => return Err(e),
        };
        Ok((Acceptor::uninitialized(slot, salt), Some(unusable)))
    }

    /// Creates the file for an acceptor of a new fleet.
    ///
    /// # Errors
    /// The file cannot be written; or it exists already, and is left as it is since it may hold promises.
    pub fn create(&self, slot: AcceptorSlot) -> io::Result<()> {
        if self.path.try_exists()? {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        durable_file::replace(&self.path, &Acceptor::founding(slot).file_bytes().unwrap_or_default())
    }
}

impl AcceptorStorage for AcceptorFile {
    fn store(&mut self, file: &[u8]) -> bool {
        self.store_error = durable_file::replace(&self.path, file).err();
        self.store_error.is_none()
    }
}

#[cfg(test)]
mod tests;
