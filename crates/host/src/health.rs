//! Answers for the balancer.
//!
//! Before a planned stop the answer turns first, so that the balancer sends no
//! new callers while open streams finish.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Whether this process takes new callers.
#[derive(Clone, Debug, Default)]
pub struct Health {
    ready: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
}

impl Health {
    /// Says that the process can serve.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Says that the process stops; this is final.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the process stops.
    #[must_use]
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether new callers are welcome.
    #[must_use]
    pub fn serving(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.stopping()
    }
}
