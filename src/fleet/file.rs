//! A voter's file: put in place whole, so that a crash leaves the old one or the new one.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use dunemount_fleet::node::Disk;
use dunemount_fleet::register::Slot;
use dunemount_fleet::voter::Voter;

/// Where a voter keeps what it has promised.
#[derive(Debug)]
pub struct VoterFile {
    path: PathBuf,
    /// Why the last step could not be stored.
    pub failed: Option<io::Error>,
}

impl VoterFile {
    /// The file at this path, which need not be there.
    pub fn at(path: &Path) -> VoterFile {
        VoterFile { path: path.to_path_buf(), failed: None }
    }

    /// The voter of this place, with what the file holds. Without one, or with one that cannot be used, it is blank,
    /// and the error tells why.
    pub fn voter(&self, slot: Slot, salt: u32) -> (Voter, Option<String>) {
        let read = match fs::read(&self.path) {
            Ok(bytes) => Voter::resume(slot, &bytes).map_err(|e| e.to_string()),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Err("there is none".to_string()),
            Err(e) => Err(e.to_string()),
        };
        match read {
            Ok(voter) => (voter, None),
            Err(why) => (Voter::blank(slot, salt), Some(why)),
        }
    }

    /// Lays the file out for a voter of a new fleet.
    ///
    /// # Errors
    /// One that is there already is left as it is: what it holds may have been promised.
    pub fn found(&self, slot: Slot) -> io::Result<()> {
        if self.path.exists() {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        self.put(&Voter::founding(slot).file().unwrap_or_default())
    }

    /// Writes beside the file, makes sure that it has arrived, and only then puts it in place.
    fn put(&self, bytes: &[u8]) -> io::Result<()> {
        let mut beside = self.path.as_os_str().to_owned();
        beside.push(".new");
        let mut new = OpenOptions::new().write(true).create(true).truncate(true).open(&beside)?;
        new.write_all(bytes)?;
        new.sync_all()?;
        fs::rename(&beside, &self.path)?;
        // The name must arrive as well.
        let folder = self.path.parent().filter(|folder| !folder.as_os_str().is_empty());
        File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
    }
}

impl Disk for VoterFile {
    fn store(&mut self, bytes: &[u8]) -> bool {
        self.failed = self.put(bytes).err();
        self.failed.is_none()
    }
}

#[cfg(test)]
mod tests;
