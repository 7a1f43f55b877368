//! Whether a connection is alive while requests wait on it.

use std::time::Duration;
use std::time::Instant;

/// What was last seen of the connection to a peer.
#[derive(Debug, Default)]
pub struct Liveness {
    /// The connection, and the datagrams that have arrived on it.
    received: (usize, u64),
    waiting_since: Option<Instant>,
}

impl Liveness {
    /// Records that a request waits on `connection`.
    pub fn begin_wait(&mut self, connection: &quinn::Connection) {
        self.observe(connection, Instant::now());
    }

    /// Records that a response has arrived.
    pub fn end_wait(&mut self) {
        self.waiting_since = None;
    }

    /// Returns for how long requests have waited without a datagram on `connection`.
    pub fn silence(&mut self, connection: &quinn::Connection) -> Duration {
        let now = Instant::now();
        self.observe(connection, now)
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Records the number of datagrams that have arrived; returns since when none has.
    fn observe(&mut self, connection: &quinn::Connection, now: Instant) -> Option<Instant> {
        let datagrams = connection.stats().udp_rx.datagrams;
        let received = (connection.stable_id(), datagrams);
        if received != self.received {
            self.received = received;
            self.waiting_since = Some(now);
        }
        self.waiting_since = self.waiting_since.or(Some(now));
        self.waiting_since
    }
}
