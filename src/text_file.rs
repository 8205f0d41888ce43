//! Reads text files written by operators; error types that show the file and the line.

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
    /// The error of the operating system.
    pub source: io::Error,
}

impl ReadError {
    /// Whether a retry may succeed soon: the cause is a shortage of this machine or a passing fault of the file
    /// system, not the file's content.
    pub fn is_transient(&self) -> bool {
        is_transient_file_error(&self.source)
    }
}

/// Reads a file once.
///
/// # Errors
/// The file cannot be read; [`ReadError::is_transient`] tells whether a retry may succeed.
pub fn read(path: &Path) -> Result<String, ReadError> {
    std::fs::read_to_string(path).map_err(|source| ReadError { path: path.to_path_buf(), source })
}

/// Reads a file and retries transient errors until the timeout.
///
/// # Errors
/// The error of the last attempt.
pub fn read_within(timeout: Duration, path: &Path) -> Result<String, ReadError> {
    let attempt = || std::fs::read_to_string(path);
    retry(Instant::now() + timeout, is_transient_file_error, attempt)
        .map_err(|source| ReadError { path: path.to_path_buf(), source })
}

/// An error in a text, with its line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineError<E> {
    /// The line, counted from 1; zero if the error has no line.
    pub line: usize,
    /// The error.
    pub error: E,
}

impl<E> LineError<E> {
    /// Creates an error on a line, counted from 1.
    pub fn new(line: usize, error: impl Into<E>) -> LineError<E> {
        LineError { line, error: error.into() }
    }

    /// Creates an error that concerns no particular line.
    pub fn without_line(error: impl Into<E>) -> LineError<E> {
        LineError::new(0, error)
    }

    /// Adds the path of the file that contains the text.
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

/// An error in a text file. The message shows the path, the line if there is one, and the error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextFileError<E> {
    /// The file.
    pub path: PathBuf,
    /// The error and its line.
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
