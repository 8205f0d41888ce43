//! Keys of the poller's events that are not about a connection of the table, whose keys are indices.

pub(super) const LISTENER: usize = usize::MAX - 1;
pub(super) const SHUTDOWN: usize = usize::MAX - 2;
pub(super) const RELOAD: usize = usize::MAX - 3;
pub(super) const ADMIN_LISTENER: usize = usize::MAX - 4;
pub(super) const HANDOVER_LISTENER: usize = usize::MAX - 5;
pub(super) const VERSIONS: usize = usize::MAX - 6;
/// From here on: the handover sockets to other processes of this gateway.
pub(super) const FIRST_PEER: usize = usize::MAX / 2;
