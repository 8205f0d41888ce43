//! Text files that operators write: how they are read, and errors that name the file and the line.

use std::error::Error;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use crate::shortage::{is_transient_file_error, retry};

/// A file that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("cannot read {}: {source}", path.display())]
pub struct ReadError {
    /// The file.
    pub path: PathBuf,
    /// Why not.
    pub source: io::Error,
}

impl ReadError {
    /// Whether the file may be readable soon: the error says nothing of what it holds.
    pub fn is_transient(&self) -> bool {
        is_transient_file_error(&self.source)
    }
}

/// Reads a whole file.
///
/// # Errors
/// It cannot be read, perhaps only at this moment.
pub fn read(path: &Path) -> Result<String, ReadError> {
    std::fs::read_to_string(path).map_err(|source| ReadError { path: path.to_path_buf(), source })
}

/// Reads a whole file, and retries for so long where it cannot be read at this moment.
///
/// # Errors
/// That of the last attempt.
pub fn read_within(timeout: Duration, path: &Path) -> Result<String, ReadError> {
    let attempt = || std::fs::read_to_string(path);
    retry(Instant::now() + timeout, is_transient_file_error, attempt)
        .map_err(|source| ReadError { path: path.to_path_buf(), source })
}

/// An error in a text, and its line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineError<E> {
    /// The line, counted from 1; zero for the text as a whole.
    pub line: usize,
    /// What is wrong there.
    pub error: E,
}

impl<E> LineError<E> {
    /// An error at a line.
    pub fn new(line: usize, error: impl Into<E>) -> LineError<E> {
        LineError { line, error: error.into() }
    }

    /// An error of the text as a whole.
    pub fn without_line(error: impl Into<E>) -> LineError<E> {
        LineError::new(0, error)
    }

    /// Names the file that holds the text.
    pub fn in_file(self, path: impl AsRef<Path>) -> TextFileError<E> {
        TextFileError { path: path.as_ref().to_path_buf(), error: self }
    }
}

impl<E: fmt::Display> fmt::Display for LineError<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => self.error.fmt(f),
            line => write!(f, "line {line}: {}", self.error),
        }
    }
}

impl<E: Error + 'static> Error for LineError<E> {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&self.error)
    }
}

/// An error in a file: its name, the line if there is one, what is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextFileError<E> {
    /// The file.
    pub path: PathBuf,
    /// What is wrong with it, and where.
    pub error: LineError<E>,
}

impl<E: fmt::Display> fmt::Display for TextFileError<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (path, LineError { line, error }) = (self.path.display(), &self.error);
        match line {
            0 => write!(f, "{path}: {error}"),
            line => write!(f, "{path}:{line}: {error}"),
        }
    }
}

impl<E: Error + 'static> Error for TextFileError<E> {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&self.error.error)
    }
}
