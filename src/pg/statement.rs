//! A client's statement: the comment at its end, which holds the routing fields, and the key in its quoted literal.

use std::ops::Range;

use crate::{Micros, SessionKey};

/// Why a statement cannot be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementError {
    /// The statement does not end in a comment.
    #[error("the statement ends in no comment")]
    NoComment,
    /// The comment lacks this field.
    #[error("the comment lacks {0}")]
    MissingField(&'static str),
    /// The value of this field is invalid.
    #[error("the comment's {0} has no usable value")]
    InvalidField(&'static str),
    /// The statement has no quoted key.
    #[error("the statement quotes no key")]
    NoKey,
    /// The statement is neither a read nor a write, or contains control characters.
    #[error("the statement is neither SELECT nor INSERT")]
    UnsupportedStatement,
}

/// Longest time for which a client may wait, in milliseconds.
const MAX_WAIT_MS: f64 = 600_000.0;
/// Longest id or idempotency key, in characters.
const MAX_ID_LENGTH: usize = 64;

/// Whether the text is a valid request id or idempotency key.
fn is_valid_id(text: &str) -> bool {
    (1..=MAX_ID_LENGTH).contains(&text.len())
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
}

/// Hashes a key to its session with FNV-1a. The hash is fixed, since after a hot restart the next process may be
/// another build and has to compute the same session.
fn session_of(key: &str) -> SessionKey {
    let step = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    SessionKey(key.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}

/// A parsed statement with its routing fields.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// The request's id, unique for each request: `id` in the comment.
    pub id: String,
    /// Whether the statement is a write.
    pub is_write: bool,
    /// Whether the comment has an idempotency key: `k`.
    pub has_idempotency_key: bool,
    /// The name of the class: `c` in the comment.
    pub class: String,
    /// The group: `cluster` in the comment.
    pub group: u64,
    /// How long the client waits, counted from when it sent the statement: `d` in the comment.
    pub wait: Micros,
    /// The session of the quoted key.
    pub session: SessionKey,
    /// Whether the client marks the request as a retry: `r` in the comment.
    pub is_retry: bool,
    /// The session's last commit as Unix time in milliseconds, if the client sends it: `after` in the comment.
    pub last_commit_ms: Option<f64>,
    text: String,
    wait_range: Range<usize>,
}

impl Statement {
    /// Parses a statement.
    ///
    /// # Errors
    /// The statement cannot be routed.
    pub fn parse(text: String) -> Result<Statement, StatementError> {
        let is_write = parse_is_write(&text)?;
        let comment = comment_range(&text)?;
        let before_comment = &text[..comment.start - COMMENT_START.len()];
        let mut fields = Fields::default();
        for field in text[comment].split(',') {
            let Some((name, value)) = field.split_once('=') else { continue };
            let value = value.trim();
            let offset = value.as_ptr() as usize - text.as_ptr() as usize;
            fields.set(name.trim(), value, offset)?;
        }
        let key = quoted_key(before_comment).ok_or(StatementError::NoKey)?;
        Ok(Statement {
            id: fields.id.ok_or(StatementError::MissingField("id"))?,
            is_write,
            has_idempotency_key: fields.has_idempotency_key,
            class: fields.class.ok_or(StatementError::MissingField("c"))?,
            group: fields.group.ok_or(StatementError::MissingField("cluster"))?,
            wait: fields.wait.ok_or(StatementError::MissingField("d"))?,
            session: session_of(key),
            is_retry: fields.is_retry,
            last_commit_ms: fields.last_commit_ms,
            wait_range: fields.wait_range,
            text,
        })
    }

    /// The statement as received, with `d` replaced by the time for which the gateway waits.
    pub fn with_wait(&self, wait: Micros) -> String {
        let ms = (wait.0 / 1000).max(1);
        format!("{}{ms}{}", &self.text[..self.wait_range.start], &self.text[self.wait_range.end..])
    }
}

const COMMENT_START: &str = "/*";
const COMMENT_END: &str = "*/";

/// Returns whether the statement is a write.
fn parse_is_write(text: &str) -> Result<bool, StatementError> {
    let is_write = match text.get(..7).map(str::to_ascii_uppercase).as_deref() {
        Some("SELECT ") => false,
        Some("INSERT ") => true,
        _ => return Err(StatementError::UnsupportedStatement),
    };
    if text.contains(|c: char| c.is_control() && !c.is_ascii_whitespace()) {
        return Err(StatementError::UnsupportedStatement);
    }
    Ok(is_write)
}

/// The range of the text within the comment at the end of the statement.
fn comment_range(text: &str) -> Result<Range<usize>, StatementError> {
    let start = text.rfind(COMMENT_START).ok_or(StatementError::NoComment)? + COMMENT_START.len();
    let end = text.rfind(COMMENT_END).filter(|end| *end >= start).ok_or(StatementError::NoComment)?;
    match text[end + COMMENT_END.len()..].trim().trim_end_matches(';').is_empty() {
        true => Ok(start..end),
        false => Err(StatementError::NoComment),
    }
}

/// The first literal in single quotes.
fn quoted_key(text: &str) -> Option<&str> {
    let mut parts = text.split('\'');
    parts.nth(1).filter(|_| parts.next().is_some())
}

/// The known fields of a comment, as far as they are parsed.
#[derive(Default)]
struct Fields {
    id: Option<String>,
    class: Option<String>,
    group: Option<u64>,
    wait: Option<Micros>,
    wait_range: Range<usize>,
    has_idempotency_key: bool,
    is_retry: bool,
    last_commit_ms: Option<f64>,
}

impl Fields {
    /// Sets a field. `offset` is where its value starts in the statement. Unknown fields are ignored.
    fn set(&mut self, name: &str, value: &str, offset: usize) -> Result<(), StatementError> {
        match name {
            "id" if self.id.is_some() || !is_valid_id(value) => {
                return Err(StatementError::InvalidField("id"))
            }
            "id" => self.id = Some(value.to_string()),
            "k" if !is_valid_id(value) => return Err(StatementError::InvalidField("k")),
            "k" => self.has_idempotency_key = true,
            "c" => self.class = Some(value.to_string()),
            "cluster" => {
                self.group = Some(value.parse().map_err(|_| StatementError::InvalidField("cluster"))?);
            }
            "d" => {
                self.wait = Some(self.parse_wait(value)?);
                self.wait_range = offset..offset + value.len();
            }
            "r" => self.is_retry = value == "1",
            "after" => {
                self.last_commit_ms = Some(value.parse().map_err(|_| StatementError::InvalidField("after"))?);
            }
            _ => {}
        }
        Ok(())
    }

    fn parse_wait(&self, value: &str) -> Result<Micros, StatementError> {
        let ms: f64 = value.parse().map_err(|_| StatementError::InvalidField("d"))?;
        if !(0.0..=MAX_WAIT_MS).contains(&ms) || self.wait.is_some() {
            return Err(StatementError::InvalidField("d"));
        }
        Ok(Micros((ms * 1000.0) as u64))
    }
}
