//! Files that are replaced atomically and durably, by fsync and rename: after a crash there is the old one or the new one,
//! complete.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Added to a file's name for the file that is to replace it.
const STAGED_SUFFIX: &str = ".next";

/// A durable file beside the one that it is to replace.
#[derive(Debug)]
pub struct StagedFile {
    staged: PathBuf,
    path: PathBuf,
}

/// Writes a file beside the one that it is to replace, and syncs it.
///
/// # Errors
/// It is not durable, and nothing has changed.
pub fn stage(path: &Path, bytes: &[u8]) -> io::Result<StagedFile> {
    let mut staged = path.as_os_str().to_owned();
    staged.push(STAGED_SUFFIX);
    let file = StagedFile { staged: staged.into(), path: path.to_path_buf() };
    // After a failed sync nothing of a file is certain, not even that its bytes are there: a new one is written.
    match fs::remove_file(&file.staged) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let mut next = OpenOptions::new().write(true).create_new(true).open(&file.staged)?;
    next.write_all(bytes)?;
    next.sync_all()?;
    Ok(file)
}

impl StagedFile {
    /// Replaces the file.
    ///
    /// # Errors
    /// It is not certain that the replacement is durable.
    pub fn commit(self) -> io::Result<()> {
        fs::rename(&self.staged, &self.path)?;
        // The directory entry has to be durable as well.
        let directory = self.path.parent().filter(|directory| !directory.as_os_str().is_empty());
        File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
    }

    /// Removes the staged file; one that cannot be removed is replaced by the next.
    pub fn discard(self) {
        let _ = fs::remove_file(self.staged);
    }
}

/// Replaces a file.
///
/// # Errors
/// It is not certain that the replacement is durable.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    stage(path, bytes)?.commit()
}
