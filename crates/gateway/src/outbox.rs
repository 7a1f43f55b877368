//! The queues of consensus messages to one replica.
//!
//! Entries and snapshots have a queue of their own, so that heartbeats and votes don't wait
//! behind them. Only one batch of a queue is in flight at a time, so that its messages arrive
//! in order: an append that overtakes another one is rejected, and the whole tail of the log
//! is sent again.
//! Load pattern: large configurations over a slow or silent link. The queue is bounded,
//! and the consensus protocol sends dropped messages again.

use std::collections::VecDeque;

use consensus::Envelope;
use consensus::Message;

/// Maximum number of queued messages; a message can have a megabyte.
const MAX_QUEUED_MESSAGES: usize = 16;

/// A queue of messages to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    /// Heartbeats, votes and responses.
    Control,
    /// Entries, snapshots and what must follow them.
    Log,
}

impl Lane {
    /// Returns the queue for a message.
    #[must_use]
    pub fn of(message: &Message) -> Self {
        if message.is_ordered() {
            Self::Log
        } else {
            Self::Control
        }
    }
}

/// One queue of messages to one replica.
#[derive(Debug, Default)]
pub struct Outbox {
    in_flight: bool,
    queue: VecDeque<Envelope>,
}

impl Outbox {
    /// Queues a message; drops the oldest one if the queue is full. A probe replaces one that
    /// waits directly before it.
    pub fn push(&mut self, envelope: Envelope) {
        let after_probe = self
            .queue
            .back()
            .is_some_and(|last| last.message.is_probe());
        if envelope.message.is_probe() && after_probe {
            self.queue.pop_back();
        }
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
