//! The time of the replicated log, by which leases and departures age.
//!
//! Each replica follows it by its own monotonic clock, and by the entries that it receives, so
//! that a new leader continues where the last one was. It stands still while no replica runs.

use std::time::Duration;
use std::time::Instant;

/// The time of the log at one replica.
#[derive(Clone, Copy, Debug)]
pub struct LogClock {
    base_ms: u64,
    /// When the time of the log was `base_ms`.
    base_at: Instant,
}

impl LogClock {
    /// Returns the clock of a replica that is opened at `now`.
    #[must_use]
    pub fn open(now: Instant) -> Self {
        Self {
            base_ms: 0,
            base_at: now,
        }
    }

    /// Returns the time of the log at `now`, in milliseconds. `last_ms` is the time of the last
    /// entry, `None` for an empty log: its time begins with the first entry.
    pub fn read(&mut self, last_ms: Option<u64>, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.base_at);
        let own_ms = self.base_ms.saturating_add(duration_ms(elapsed));
        match last_ms {
            Some(last_ms) if last_ms <= own_ms => return own_ms,
            Some(last_ms) => self.base_ms = last_ms,
            None => self.base_ms = 0,
        }
        self.base_at = now;
        self.base_ms
    }
}

fn duration_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
