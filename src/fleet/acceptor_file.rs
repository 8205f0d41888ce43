//! The file of this gateway's acceptor (the operators' pages call it a voter), on disk.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use dunemount_fleet::acceptor::{Acceptor, AcceptorFileError};
use dunemount_fleet::node::AcceptorStorage;
use dunemount_fleet::register::AcceptorSlot;
use thiserror::Error;

use super::durable_file;

/// Why an acceptor starts without what it has promised before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum UnusableFile {
    /// There is no file.
    #[error("there is none")]
    Missing,
    /// The file holds something else, or is damaged.
    #[error(transparent)]
    Invalid(#[from] AcceptorFileError),
}

/// The path of an acceptor's file.
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

    /// The acceptor of this slot. Without a usable file it is uninitialized, and the reason is given.
    ///
    /// # Errors
    /// The file cannot be read. Whether there is one is not known then: it has to be tried again.
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
    /// An existing file is left as it is: it may hold promises.
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
