//! Taking over from the process of this gateway that still serves, if there is one.

use std::io::{self, ErrorKind};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::hot_restart::handover_socket::{take_over, HandoverState};
use crate::shortage::{is_shortage, retry};

/// How long the process before may take to hand over.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// What came of the attempt to take over.
#[derive(Default)]
pub struct Takeover {
    /// Where processes of this gateway meet; none without a folder that they share.
    pub socket_path: Option<PathBuf>,
    /// What the process before has handed over.
    pub state: Option<HandoverState>,
    /// Why a process that is there has handed nothing over.
    pub error: Option<io::Error>,
}

impl Takeover {
    /// Takes over from the process of the gateway with this name, if one waits for it.
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

/// Where processes of this gateway meet: in `TMPDIR`, where one is named.
fn socket_path(name: &str) -> Option<PathBuf> {
    let plain: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '-' }).collect();
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(PathBuf::from(folder).join(format!("dunemount-{plain}.line")))
}
