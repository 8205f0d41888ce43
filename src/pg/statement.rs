//! The comment that a statement carries, and the key that it quotes.

use std::fmt;
use std::ops::Range;

use crate::{Micros, SessionKey};

/// Why a statement cannot be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// It ends in no comment.
    NoComment,
    /// This field is missing.
    Missing(&'static str),
    /// This field's value cannot be.
    Bad(&'static str),
    /// It quotes no key.
    NoKey,
    /// It is neither a read nor a write, or holds what no text does.
    NoStatement,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::NoComment => write!(f, "the statement ends in no comment"),
            Malformed::Missing(field) => write!(f, "the comment lacks {field}"),
            Malformed::Bad(field) => write!(f, "the comment's {field} has no usable value"),
            Malformed::NoStatement => write!(f, "the statement is neither SELECT nor INSERT"),
            Malformed::NoKey => write!(f, "the statement quotes no key"),
        }
    }
}

/// Longest wait that a statement may name, in milliseconds.
const MAX_WAIT: f64 = 600_000.0;

/// Whether the text may name a request or be its key.
fn is_name(text: &str) -> bool {
    (1..=64).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
}

/// The session that a key names: FNV-1a, since the process that follows this one may be built otherwise
/// and must come to the same.
fn session_of(key: &str) -> SessionKey {
    let step = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    SessionKey(key.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}

/// What a statement says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// The request's name: new with every request.
    pub id: String,
    /// It is a write.
    pub writes: bool,
    /// It carries an idempotency key.
    pub keyed: bool,
    /// The class's name.
    pub class: String,
    /// The group.
    pub cluster: u64,
    /// How long the client waits, from when it sent.
    pub wait: Micros,
    /// The session that the quoted key names.
    pub session: SessionKey,
    /// The client's mark of a retry.
    pub repeat: bool,
    /// The session's last commit as Unix time in milliseconds, where clients carry it.
    pub after: Option<f64>,
    text: String,
    wait_at: Range<usize>,
}

impl Statement {
    /// Reads a statement.
    pub fn parse(text: String) -> Result<Statement, Malformed> {
        let writes = match text.get(..7).map(str::to_ascii_uppercase).as_deref() {
            Some("SELECT ") => false,
            Some("INSERT ") => true,
            _ => return Err(Malformed::NoStatement),
        };
        if text.contains(|c: char| c.is_control() && !c.is_ascii_whitespace()) {
            return Err(Malformed::NoStatement);
        }
        let open = text.rfind("/*").ok_or(Malformed::NoComment)?;
        let close = text.rfind("*/").filter(|close| *close >= open + 2).ok_or(Malformed::NoComment)?;
        if !text[close + 2..].trim().trim_end_matches(';').is_empty() {
            return Err(Malformed::NoComment);
        }
        let (mut id, mut class, mut cluster, mut wait, mut keyed) = (None, None, None, None, false);
        let (mut repeat, mut after, mut wait_at) = (false, None, 0..0);
        for field in text[open + 2..close].split(',') {
            let Some((name, value)) = field.split_once('=') else { continue };
            let value = value.trim();
            let value_at = value.as_ptr() as usize - text.as_ptr() as usize;
            match name.trim() {
                "id" if id.is_some() || !is_name(value) => return Err(Malformed::Bad("id")),
                "id" => id = Some(value.to_string()),
                "k" if !is_name(value) => return Err(Malformed::Bad("k")),
                "k" => keyed = true,
                "c" => class = Some(value.to_string()),
                "cluster" => cluster = Some(value.parse().map_err(|_| Malformed::Bad("cluster"))?),
                "d" => {
                    let ms: f64 = value.parse().map_err(|_| Malformed::Bad("d"))?;
                    if !(0.0..=MAX_WAIT).contains(&ms) || wait.is_some() {
                        return Err(Malformed::Bad("d"));
                    }
                    wait = Some(Micros((ms * 1000.0) as u64));
                    wait_at = value_at..value_at + value.len();
                }
                "r" => repeat = value == "1",
                "after" => after = Some(value.parse().map_err(|_| Malformed::Bad("after"))?),
                _ => {}
            }
        }
        let mut quoted = text[..open].split('\'');
        let key = quoted.nth(1).filter(|_| quoted.next().is_some()).ok_or(Malformed::NoKey)?;
        Ok(Statement {
            id: id.ok_or(Malformed::Missing("id"))?,
            writes,
            keyed,
            class: class.ok_or(Malformed::Missing("c"))?,
            cluster: cluster.ok_or(Malformed::Missing("cluster"))?,
            wait: wait.ok_or(Malformed::Missing("d"))?,
            session: session_of(key),
            repeat,
            after,
            wait_at,
            text,
        })
    }

    /// The statement as it came but for `d`, which says how long the gateway waits.
    pub fn with_wait(&self, wait: Micros) -> String {
        let ms = (wait.0 / 1000).max(1);
        format!("{}{ms}{}", &self.text[..self.wait_at.start], &self.text[self.wait_at.end..])
    }
}
