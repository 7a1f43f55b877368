//! Readiness of this process, as reported to the load balancer.
//!
//! Before a planned stop the process reports that it is not ready, so that the load
//! balancer sends no new callers while open streams finish.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Whether this process accepts new callers; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Health {
    ready: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
}

impl Health {
    /// Sets whether the process is able to serve.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Marks the process as stopping, which can't be undone.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the process is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether new callers are accepted.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.is_stopping()
    }
}
