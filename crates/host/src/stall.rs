//! Noticing that a stream has fallen silent.
//!
//! One timer serves a whole stream. It isn't set anew for each part: that would
//! cost more than reading the part.

use std::time::Duration;

use async_io::Timer;
use futures_lite::StreamExt as _;

/// Looks a stream gets within its patience.
const LOOKS: u32 = 2;

/// Watches a stream for silence.
#[derive(Debug)]
pub struct Stall {
    timer: Timer,
    looks: u32,
}

impl Stall {
    /// Returns a watch that gives up after about `patience` without a part.
    #[must_use]
    pub fn new(patience: Duration) -> Self {
        Self {
            timer: Timer::interval(patience / LOOKS),
            looks: 0,
        }
    }

    /// Notes that a part came.
    pub fn moved(&mut self) {
        self.looks = 0;
    }

    /// Waits until the stream has been silent for its patience, at most half of it
    /// more.
    pub async fn silent(&mut self) {
        while self.looks <= LOOKS {
            // An interval never ends.
            let _ = self.timer.next().await;
            self.looks += 1;
        }
    }
}
