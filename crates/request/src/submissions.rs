//! Submissions that wait at entries before anything is sent for them.
//!
//! A request with an idempotency key can be submitted through several entries. An entry
//! that gives up may report "not run" only if no other entry still waits under the same
//! key, because that one may send the request later. Keepers hold submissions in memory,
//! at the same places as records.

use base::EntryId;
use base::Map;
use base::RequestId;
use base::Span;
use base::Time;

/// Time added to a submission's deadline for the drift of clocks and messages in transit.
const EXPIRY_MARGIN: Span = Span::secs(5);

/// Least time between two removals of expired submissions.
const SWEEP_INTERVAL: Span = Span::secs(10);

/// The submissions that a keeper knows.
#[derive(Clone, Debug, Default)]
pub struct Submissions {
    table: Map<RequestId, Vec<(EntryId, Time)>>,
    last_sweep: Time,
}

impl Submissions {
    /// Registers that `entry` waits with `request` for at most `time_left`.
    pub fn register(&mut self, request: RequestId, entry: EntryId, time_left: Span, now: Time) {
        self.sweep(now);
        let waiting = self.table.entry(request).or_default();
        waiting.retain(|(other, _)| *other != entry);
        waiting.push((entry, now + time_left + EXPIRY_MARGIN));
    }

    /// Removes the submission of `entry`; returns whether another entry still waits.
    pub fn withdraw(&mut self, request: RequestId, entry: EntryId, now: Time) -> bool {
        let Some(waiting) = self.table.get_mut(&request) else {
            return false;
        };
        waiting.retain(|(other, expires_at)| *other != entry && now < *expires_at);
        let others_wait = !waiting.is_empty();
        if !others_wait {
            self.table.remove(&request);
        }
        others_wait
    }

    /// Returns the number of requests with a submission.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether there are no submissions.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    fn sweep(&mut self, now: Time) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.table.retain(|_, waiting| {
            waiting.retain(|(_, expires_at)| now < *expires_at);
            !waiting.is_empty()
        });
    }
}
