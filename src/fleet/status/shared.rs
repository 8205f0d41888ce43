//! The status as the node's thread updates it and the admin interface reads it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::{ConfigurationStatus, NodeStatus};

/// A status that threads share.
#[derive(Clone, Debug, Default)]
pub struct SharedStatus(Arc<Mutex<NodeStatus>>);

impl SharedStatus {
    /// Updates all but the status of the configuration's versions, which is another thread's.
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
        // Each update is a single assignment: a thread that panicked has left no half of one.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
