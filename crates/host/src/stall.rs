//! Detects streams that make no progress.
//!
//! One timer serves a whole stream. It isn't reset for each chunk, because that would
//! cost more than reading the chunk.

use std::time::Duration;

use async_io::Timer;
use futures_lite::StreamExt as _;

/// Number of timer ticks within the timeout.
const TICKS_PER_TIMEOUT: u32 = 2;

/// Detects that no data arrives on a stream within a timeout.
#[derive(Debug)]
pub struct StallDetector {
    timer: Timer,
    idle_ticks: u32,
}

impl StallDetector {
    /// Returns a detector that reports a stall after about `timeout` without progress.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            timer: Timer::interval(timeout / TICKS_PER_TIMEOUT),
            idle_ticks: 0,
        }
    }

    /// Records that a chunk arrived.
    pub fn record_progress(&mut self) {
        self.idle_ticks = 0;
    }

    /// Waits until the stream has made no progress for the timeout, at most half of it
    /// longer.
    pub async fn stalled(&mut self) {
        while self.idle_ticks <= TICKS_PER_TIMEOUT {
            // An interval timer never ends.
            let _ = self.timer.next().await;
            self.idle_ticks += 1;
        }
    }
}
