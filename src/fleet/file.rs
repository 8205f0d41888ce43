//! Files that are put in place whole, so that a crash leaves the old one or the new one; and a voter's.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use dunemount_fleet::acceptor::Acceptor;
use dunemount_fleet::node::AcceptorStorage;
use dunemount_fleet::register::AcceptorSlot;

/// A file that has arrived on the disk beside the one whose place it is to take.
#[derive(Debug)]
pub struct Staged {
    beside: PathBuf,
    path: PathBuf,
}

/// Writes beside a file, and makes sure that it has arrived.
///
/// # Errors
/// It has not, and nothing has changed.
pub fn stage(path: &Path, bytes: &[u8]) -> io::Result<Staged> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".next");
    let staged = Staged { beside: beside.into(), path: path.to_path_buf() };
    // Of one whose sync has failed nothing counts, not even that its bytes are there: a new file is written.
    match fs::remove_file(&staged.beside) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let mut next = OpenOptions::new().write(true).create_new(true).open(&staged.beside)?;
    next.write_all(bytes)?;
    next.sync_all()?;
    Ok(staged)
}

impl Staged {
    /// Puts it in place.
    ///
    /// # Errors
    /// It is not certain that it stays there.
    pub fn settle(self) -> io::Result<()> {
        fs::rename(&self.beside, &self.path)?;
        // The name must arrive as well.
        let folder = self.path.parent().filter(|folder| !folder.as_os_str().is_empty());
        File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
    }

    /// Removes it; one that cannot be removed is written over by the next.
    pub fn discard(self) {
        let _ = fs::remove_file(self.beside);
    }
}

/// Puts a file in place, whole.
///
/// # Errors
/// It is not certain that it stays there.
pub fn put(path: &Path, bytes: &[u8]) -> io::Result<()> {
    stage(path, bytes)?.settle()
}

/// Where a voter keeps what it has promised.
#[derive(Debug)]
pub struct VoterFile {
    path: PathBuf,
    /// Why the last step could not be stored.
    pub failed: Option<String>,
}

impl VoterFile {
    /// The file at this path, which need not be there.
    pub fn at(path: &Path) -> VoterFile {
        VoterFile { path: path.to_path_buf(), failed: None }
    }

    /// The voter of this place, with what the file holds. Without one, or with one that holds something else, it is blank,
    /// and the words tell why.
    ///
    /// # Errors
    /// The file cannot be read. Whether there is one is not known then: it has to be tried again.
    pub fn voter(&self, slot: AcceptorSlot, salt: u32) -> io::Result<(Acceptor, Option<String>)> {
        let why = match fs::read(&self.path) {
            Ok(bytes) => match Acceptor::from_file(slot, &bytes) {
                Ok(voter) => return Ok((voter, None)),
                Err(e) => e.to_string(),
            },
            Err(e) if e.kind() == io::ErrorKind::NotFound => "there is none".to_string(),
            Err(e) => return Err(e),
        };
        Ok((Acceptor::uninitialized(slot, salt), Some(why)))
    }

    /// Lays the file out for a voter of a new fleet.
    ///
    /// # Errors
    /// One that is there already is left as it is: what it holds may have been promised.
    pub fn found(&self, slot: AcceptorSlot) -> io::Result<()> {
        if self.path.try_exists()? {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        put(&self.path, &Acceptor::founding(slot).file_bytes().unwrap_or_default())
    }
}

impl AcceptorStorage for VoterFile {
    fn store(&mut self, bytes: &[u8]) -> bool {
        self.failed = put(&self.path, bytes).err().map(|e| e.to_string());
        self.failed.is_none()
    }
}

#[cfg(test)]
mod tests;
