//! A leader's replication state for one follower.

use std::collections::VecDeque;

/// Most append messages with entries that a follower hasn't acknowledged yet.
const MAX_INFLIGHT_MESSAGES: usize = 8;

/// Bytes in flight from which no further entries are sent until some are acknowledged.
const MAX_INFLIGHT_BYTES: u64 = 1 << 20;

/// An append message that the follower hasn't acknowledged yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InflightAppend {
    last_index: u64,
    bytes: u64,
}

/// A leader's replication state for one follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The index up to which the follower's log is known to match.
    pub match_index: u64,
    /// The index of the next entry to send.
    pub next_index: u64,
    /// The latest heartbeat round that the follower has answered.
    pub acked_round: u64,
    /// Whether the follower has answered since the last quorum check.
    pub recently_active: bool,
    /// Ticks since the follower's last answer.
    pub silent_ticks: u32,
    /// Ticks until the snapshot may be sent again.
    pub snapshot_pause: u32,
    inflight: VecDeque<InflightAppend>,
}

impl Progress {
    /// Returns the state at the start of a term, where `last_index` is the index of
    /// the leader's last entry.
    #[must_use]
    pub fn new(last_index: u64) -> Self {
        Self {
            match_index: 0,
            next_index: last_index + 1,
            acked_round: 0,
            recently_active: false,
            silent_ticks: 0,
            snapshot_pause: 0,
            inflight: VecDeque::new(),
        }
    }

    /// Records an answer of the follower.
    pub fn record_answer(&mut self) {
        self.recently_active = true;
        self.silent_ticks = 0;
    }

    /// Returns whether the limits of unacknowledged messages allow sending entries. What is
    /// held back goes out together with the next acknowledgement.
    #[must_use]
    pub fn can_send(&self) -> bool {
        let bytes: u64 = self.inflight.iter().map(|append| append.bytes).sum();
        self.inflight.len() < MAX_INFLIGHT_MESSAGES && bytes < MAX_INFLIGHT_BYTES
    }

    /// Returns whether the follower may not have all that was sent to it.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.next_index > self.match_index + 1
    }

    /// Records that entries up to `last_index` were sent.
    pub fn record_sent(&mut self, last_index: u64, bytes: u64) {
        self.next_index = last_index + 1;
        self.inflight
            .push_back(InflightAppend { last_index, bytes });
    }

    /// Records that the follower's log matches up to `index`.
    pub fn record_match(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(index + 1);
        let matched = self.match_index;
        self.inflight.retain(|append| append.last_index > matched);
    }

    /// Records that the follower lacks entries before the last ones sent; they are sent again
    /// from `next_hint` on.
    pub fn record_rejection(&mut self, next_hint: u64) {
        self.next_index = next_hint.max(self.match_index + 1);
        self.inflight.clear();
    }
}
