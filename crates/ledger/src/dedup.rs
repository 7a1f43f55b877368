//! The window of requests that have been billed.

use base::RequestId;
use base::Set;
use serde::Deserialize;
use serde::Serialize;

/// How long a billed request is remembered at the least, in milliseconds.
pub const WINDOW_MS: u64 = 12 * 3600 * 1000;

/// The requests billed within the window, in two generations.
///
/// The older generation is dropped whole when the newer one is as old as the
/// window, so a request is remembered for one to two windows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Billed {
    newer: Set<RequestId>,
    older: Set<RequestId>,
    turned: u64,
}

impl Billed {
    /// Records `request` at `at` milliseconds; returns whether it is new.
    pub fn record(&mut self, request: RequestId, at: u64) -> bool {
        if at.saturating_sub(self.turned) >= WINDOW_MS {
            self.older = std::mem::take(&mut self.newer);
            self.turned = at;
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
