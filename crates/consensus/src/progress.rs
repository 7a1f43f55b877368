//! A leader's replication state for one follower.

/// Most entries sent to a follower that it hasn't acknowledged yet.
const MAX_INFLIGHT_ENTRIES: u64 = 8192;

/// A leader's replication state for one follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
        }
    }

    /// Records an answer of the follower.
    pub fn record_answer(&mut self) {
        self.recently_active = true;
        self.silent_ticks = 0;
    }

    /// Returns whether the limit of unacknowledged entries allows sending more.
    #[must_use]
    pub fn can_send(&self) -> bool {
        self.next_index.saturating_sub(self.match_index) <= MAX_INFLIGHT_ENTRIES
    }
}
