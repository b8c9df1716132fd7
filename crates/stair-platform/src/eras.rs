//! The newest era of the store that a process knows.
//!
//! A return of the store from a copy is first known to whoever calls it next, or from another
//! process. All others that use the store's state in this process then read it again.

use std::sync::Arc;

use stair_types::Era;
use tokio::sync::watch;

/// The newest era that is known, shared by all that learn of it.
#[derive(Clone)]
pub struct Eras {
    newest: Arc<watch::Sender<Era>>,
}

impl Default for Eras {
    fn default() -> Self {
        Self {
            newest: Arc::new(watch::Sender::new(Era::default())),
        }
    }
}

impl Eras {
    /// The newest era that is known.
    pub fn newest(&self) -> Era {
        *self.newest.borrow()
    }

    /// Records an era that the store or another process has stated. Returns whether it is newer than
    /// all before.
    pub fn observe(&self, era: Era) -> bool {
        self.newest.send_if_modified(|newest| {
            let is_newer = era > *newest;
            *newest = era.max(*newest);
            is_newer
        })
    }

    /// Waits until an era after `era` is known.
    pub async fn after(&self, era: Era) {
        // The sender outlives this wait.
        let _ = self.newest.subscribe().wait_for(|e| *e > era).await;
    }
}
