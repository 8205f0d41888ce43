//! Shortages of this machine: system calls that fail for a while because descriptors, ports, buffers, memory or a
//! route are lacking. They are transient, and they say nothing of the other end of a connection.

use std::io;
use std::time::{Duration, Instant};

/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// How long a start retries: a process has 30 s to be ready.
pub const START_RETRY_TIMEOUT: Duration = Duration::from_secs(20);

/// Whether an error says that this machine lacks something at the moment.
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

/// Whether a call that reads or writes without blocking is to be made again later: nothing was done, and nothing is wrong
/// with the other end.
pub fn should_try_later(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock || is_shortage(error)
}

/// Whether reading or storing a file may succeed soon.
pub fn is_transient_file_error(error: &io::Error) -> bool {
    is_shortage(error)
        || matches!(
            error.raw_os_error(),
            Some(libc::EIO | libc::EINTR | libc::EAGAIN | libc::ESTALE | libc::EDQUOT)
        )
}

/// Retries an operation as long as its error is transient, up to a deadline.
///
/// # Errors
/// The last one.
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
