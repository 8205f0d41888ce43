//! Poll keys of sources other than connections. The poll key of a connection is its index in the table.

pub(super) const LISTENER: usize = usize::MAX - 1;
pub(super) const SHUTDOWN: usize = usize::MAX - 2;
pub(super) const RELOAD: usize = usize::MAX - 3;
pub(super) const ADMIN_LISTENER: usize = usize::MAX - 4;
pub(super) const HANDOVER_LISTENER: usize = usize::MAX - 5;
pub(super) const VERSIONS: usize = usize::MAX - 6;
/// The key of the first handover socket to another process of this gateway; the others follow.
pub(super) const FIRST_PEER: usize = usize::MAX / 2;
