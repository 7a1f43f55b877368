//! When the replica's thread ticks.

use std::time::Duration;
use std::time::Instant;

/// Ticks at an interval, also if handling inputs takes a part of it.
#[derive(Clone, Copy, Debug)]
pub struct Ticker {
    interval: Duration,
    due: Instant,
}

impl Ticker {
    /// Returns a ticker whose first tick is due one interval after `now`.
    #[must_use]
    pub fn new(interval: Duration, now: Instant) -> Self {
        Self {
            interval,
            due: now + interval,
        }
    }

    /// Returns the time until the next tick is due.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        self.due.saturating_duration_since(now)
    }

    /// Returns whether a tick is due at `now`, and schedules the next one.
    ///
    /// Ticks missed during a pause of the process are skipped: no message could be received
    /// in it.
    pub fn take_due(&mut self, now: Instant) -> bool {
        if now < self.due {
            return false;
        }
        let next = self.due + self.interval;
        self.due = if next > now {
            next
        } else {
            now + self.interval
        };
        true
    }
}
