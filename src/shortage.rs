//! Resource shortages of this machine: system calls that fail for a while because descriptors, ports, buffers, memory
//! or a route are lacking. Such errors are transient, and do not indicate a fault of the other end of a connection.

use std::io;
use std::time::{Duration, Instant};

/// Time between two attempts of [`retry`].
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// How long operations are retried during a start, since a process has to be ready within 30 s.
pub const START_RETRY_TIMEOUT: Duration = Duration::from_secs(20);

/// Whether an error means that this machine is temporarily out of a resource.
pub fn is_shortage(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(
            libc::EMFILE
                | libc::ENFILE
                | libc::ENOBUFS
                | libc::ENOMEM
                | libc::ENOSPC
                | libc::EADDRNOTAVAIL
                | libc::ENETUNREACH
                | libc::ENETDOWN
        )
    )
}

/// Whether a non-blocking read or write should be repeated later: nothing was transferred, and the error does not
/// indicate a fault of the other end.
pub fn should_try_later(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock || is_shortage(error)
}

/// Whether reading or writing a file may succeed when it is retried soon.
pub fn is_transient_file_error(error: &io::Error) -> bool {
    is_shortage(error)
        || matches!(
            error.raw_os_error(),
            Some(libc::EIO | libc::EINTR | libc::EAGAIN | libc::ESTALE | libc::EDQUOT)
        )
}

/// Retries an operation while its error is transient, until a deadline.
///
/// # Errors
/// The error of the last attempt.
pub fn retry<T>(
    deadline: Instant,
    is_transient: impl Fn(&io::Error) -> bool,
    mut operation: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    loop {
        match operation() {
            Err(e) if is_transient(&e) && Instant::now() < deadline => std::thread::sleep(RETRY_INTERVAL),
            result => return result,
        }
    }
}
