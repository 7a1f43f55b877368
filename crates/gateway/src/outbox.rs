//! Messages of the log that wait for one replica.
//!
//! One batch is under way to a replica at a time, so that messages arrive in order:
//! an append that overtakes another is refused and the whole tail is sent again.
//! Load pattern: large configurations behind a slow or silent link; what waits is
//! bounded, and what is dropped the log's own protocol sends again.

use std::collections::VecDeque;

use consensus::Envelope;

/// Most messages that wait; a message may carry a megabyte.
const WAITING: usize = 16;

/// The messages for one replica.
#[derive(Debug, Default)]
pub struct Outbox {
    busy: bool,
    waiting: VecDeque<Envelope>,
}

impl Outbox {
    /// Adds a message, in place of the oldest where too many wait.
    pub fn push(&mut self, envelope: Envelope) {
        if self.waiting.len() >= WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(envelope);
    }

    /// Returns the batch to send now; `None` while one is under way or nothing waits.
    pub fn take(&mut self) -> Option<Vec<Envelope>> {
        if self.busy || self.waiting.is_empty() {
            return None;
        }
        self.busy = true;
        Some(self.waiting.drain(..).collect())
    }

    /// Notes that the batch under way has arrived or is given up.
    pub fn done(&mut self) {
        self.busy = false;
    }
}
