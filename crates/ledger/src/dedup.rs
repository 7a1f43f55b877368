//! The deduplication window of billed requests, by identity and log time.

use base::RequestId;
use base::Set;
use serde::Deserialize;
use serde::Serialize;

/// Least time for which a billed request is remembered, in milliseconds.
pub const DEDUP_WINDOW_MS: u64 = 12 * 3600 * 1000;

/// The requests billed within the window, in two generations.
///
/// The older generation is discarded when the newer one has reached the age of the
/// window, so a request is remembered for one to two windows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BilledRequests {
    newer: Set<RequestId>,
    older: Set<RequestId>,
    rotated_at: u64,
}

impl BilledRequests {
    /// Records `request` at `at` milliseconds of log time; returns whether it is new.
    pub fn record(&mut self, request: RequestId, at: u64) -> bool {
        if at.saturating_sub(self.rotated_at) >= DEDUP_WINDOW_MS {
            self.older = std::mem::take(&mut self.newer);
            self.rotated_at = at;
        }
        !self.older.contains(&request) && self.newer.insert(request)
    }

    /// Returns whether `request` has been billed within the window.
    #[must_use]
    pub fn contains(&self, request: RequestId) -> bool {
        self.newer.contains(&request) || self.older.contains(&request)
    }

    /// Returns the number of requests remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
