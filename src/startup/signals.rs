//! Signals: a pipe wakes the thread that waits for a signal, and a flag reports the signal even if the pipe could not
//! be written.

use std::io;
use std::os::unix::net::UnixStream;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Instant;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::fleet::rollout::version_channel::VersionReceiver;
use crate::net::event_loop::{ReadConfig, Signals};
use crate::shortage::{is_shortage, retry, START_RETRY_TIMEOUT};

type Signal = libc::c_int;

const TERMINATION: [Signal; 2] = [SIGTERM, SIGINT];
const RELOAD: [Signal; 1] = [SIGHUP];

/// Watches for all signals that an event loop handles.
///
/// # Errors
/// The system cannot create a pipe or register a handler.
pub fn watch(versions: Option<VersionReceiver>, read_config: ReadConfig) -> io::Result<Signals> {
    // The flags are registered before the pipes, so that each flag is set before its pipe becomes readable.
    let (shutdown_requested, reload_requested) = (flag(&TERMINATION)?, flag(&RELOAD)?);
    Ok(Signals {
        shutdown: termination()?,
        reload: pipe(&RELOAD)?,
        shutdown_requested,
        reload_requested,
        versions,
        read_config,
    })
}

/// A pipe that becomes readable when a signal to end the process arrives.
///
/// # Errors
/// The system cannot create a pipe or register a handler.
pub fn termination() -> io::Result<UnixStream> {
    pipe(&TERMINATION)
}

/// A flag that is set when one of the signals arrives.
fn flag(signals: &[Signal]) -> io::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in signals {
        signal_hook::flag::register(*signal, flag.clone())?;
    }
    Ok(flag)
}

/// A pipe that becomes readable when one of the signals arrives.
fn pipe(signals: &[Signal]) -> io::Result<UnixStream> {
    let (writer, reader) = retry(Instant::now() + START_RETRY_TIMEOUT, is_shortage, UnixStream::pair)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
    }
    Ok(reader)
}
