//! The queue of consensus messages to one replica.
//!
//! Only one batch to a replica is in flight at a time, so that messages arrive in order:
//! an append that overtakes another one is rejected, and the whole tail of the log is
//! sent again.
//! Load pattern: large configurations over a slow or silent link. The queue is bounded,
//! and the consensus protocol sends dropped messages again.

use std::collections::VecDeque;

use consensus::Envelope;

/// Maximum number of queued messages; a message can have a megabyte.
const MAX_QUEUED_MESSAGES: usize = 16;

/// The queue of messages to one replica.
#[derive(Debug, Default)]
pub struct Outbox {
    in_flight: bool,
    queue: VecDeque<Envelope>,
}

impl Outbox {
    /// Queues a message; drops the oldest one if the queue is full.
    pub fn push(&mut self, envelope: Envelope) {
        if self.queue.len() >= MAX_QUEUED_MESSAGES {
            self.queue.pop_front();
        }
        self.queue.push_back(envelope);
    }

    /// Returns the batch to send now; `None` while another is in flight or the queue is
    /// empty.
    pub fn next_batch(&mut self) -> Option<Vec<Envelope>> {
        if self.in_flight || self.queue.is_empty() {
            return None;
        }
        self.in_flight = true;
        Some(self.queue.drain(..).collect())
    }

    /// Records that the batch in flight has arrived or has failed.
    pub fn finish_batch(&mut self) {
        self.in_flight = false;
    }
}
