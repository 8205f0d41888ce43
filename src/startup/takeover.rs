//! Takes over from the previous process of this gateway, if one still serves.

use std::io::{self, ErrorKind};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::hot_restart::handover_socket::{take_over, HandoverState};
use crate::shortage::{is_shortage, retry};

/// How long the previous process may take to hand over.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// The result of an attempt to take over.
#[derive(Default)]
pub struct Takeover {
    /// The path of the handover socket; `None` if the gateway's name is unknown or `TMPDIR` names no folder.
    pub socket_path: Option<PathBuf>,
    /// The state that the previous process has handed over.
    pub state: Option<HandoverState>,
    /// Why an existing previous process has not handed over its state.
    pub error: Option<io::Error>,
}

impl Takeover {
    /// Takes over from the process of the gateway with this name that listens for a successor, if there is one.
    pub fn attempt(name: Option<&str>) -> Takeover {
        let Some(path) = name.and_then(socket_path) else { return Takeover::default() };
        let until = Instant::now() + HANDOVER_TIMEOUT;
        let (state, error) = match retry(until, is_shortage, || take_over(&path, HANDOVER_TIMEOUT)) {
            Ok(state) => (Some(state), None),
            Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => (None, None),
            Err(e) => (None, Some(e)),
        };
        Takeover { socket_path: Some(path), state, error }
    }
}

/// The path of the handover socket: in `TMPDIR`, if that names a folder.
fn socket_path(name: &str) -> Option<PathBuf> {
    let plain: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(PathBuf::from(folder).join(format!("dunemount-{plain}.line")))
}
