//! The status that the node's thread updates and the admin interface reads.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::{ConfigurationStatus, NodeStatus};

/// A status that several threads update and read.
#[derive(Clone, Debug, Default)]
pub struct SharedStatus(Arc<Mutex<NodeStatus>>);

impl SharedStatus {
    /// Updates all but the status of the configuration's versions, which another thread updates.
    pub fn update(&self, status: NodeStatus) {
        let mut shared = self.lock();
        let configuration = shared.configuration.take();
        *shared = NodeStatus { configuration, ..status };
    }

    /// Updates the status of the configuration's versions.
    pub fn update_configuration(&self, configuration: ConfigurationStatus) {
        self.lock().configuration = Some(configuration);
    }

    /// A copy of the status.
    pub fn snapshot(&self) -> NodeStatus {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, NodeStatus> {
        // Each update is a single assignment: a thread that panicked cannot have left a partial one.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
