//! What a leader knows of a follower.

/// Most entries sent ahead of what a follower has confirmed.
const MAX_AHEAD: u64 = 8192;

/// A leader's knowledge of one follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The index up to which the follower's log is known to match.
    pub matched: u64,
    /// The index to send next.
    pub next: u64,
    /// The latest round that the follower has answered.
    pub round: u64,
    /// Whether the follower has answered since the last quorum check.
    pub recent: bool,
    /// Ticks until a snapshot may be sent again.
    pub pause: u32,
}

impl Progress {
    /// Returns what is known of a follower at the start of a term.
    #[must_use]
    pub fn new(last: u64) -> Self {
        Self {
            matched: 0,
            next: last + 1,
            round: 0,
            recent: false,
            pause: 0,
        }
    }

    /// Returns whether more entries may be sent.
    #[must_use]
    pub fn open(&self) -> bool {
        self.next.saturating_sub(self.matched) <= MAX_AHEAD
    }
}
