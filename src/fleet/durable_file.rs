//! Files that are replaced atomically and durably, by fsync and rename: after a crash there is either the complete old
//! file or the complete new one.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Suffix that is added to a file's name for its staged replacement.
const STAGED_SUFFIX: &str = ".next";

/// The durable replacement of a file, stored beside it under another name.
#[derive(Debug)]
pub struct StagedFile {
    staged: PathBuf,
    path: PathBuf,
}

/// Writes the replacement of a file beside it, and syncs it.
///
/// # Errors
/// The replacement is not durable; the file itself is unchanged.
pub fn stage(path: &Path, bytes: &[u8]) -> io::Result<StagedFile> {
    let mut staged = path.as_os_str().to_owned();
    staged.push(STAGED_SUFFIX);
    let file = StagedFile { staged: staged.into(), path: path.to_path_buf() };
    // After a failed sync it is unknown which bytes of a file are on the disk: an earlier staged file is not reused.
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
    /// The file may or may not be replaced, and a replacement may not be durable.
    pub fn commit(self) -> io::Result<()> {
        fs::rename(&self.staged, &self.path)?;
        // The directory entry has to be durable as well.
        let directory = self.path.parent().filter(|directory| !directory.as_os_str().is_empty());
        File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
    }

    /// Removes the staged file. An error is ignored, since the next call of [`stage`] removes the file as well.
    pub fn discard(self) {
        let _ = fs::remove_file(self.staged);
    }
}

/// Replaces a file.
///
/// # Errors
/// The file may or may not be replaced, and a replacement may not be durable.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    stage(path, bytes)?.commit()
}
