//! Whether what a process knows of engines may be acted on.
//!
//! Peers tell a process of engines that leave as long as both run. A process that has just
//! started, or stood still for longer than peers wait for it, may have missed that; its
//! knowledge is current again once its links have answered an exchange that began since, or
//! have had the time for it.

use base::Span;
use base::Time;

use crate::peers::PeerTable;
use crate::peers::UPDATE_TIMEOUT;

/// Gap between two rounds of updates from which on the process counts as having stood still.
pub const MAX_ROUND_GAP: Span = Span::millis(1_000);

/// Maximum time for which a process that has started waits for peers. Those that it is told
/// of may be down, and others find it by their own probes.
const START_TIMEOUT: Span = Span::millis(1_500);

/// The age of a process's knowledge of engines.
#[derive(Clone, Debug)]
pub struct View {
    last_round: Time,
    /// Since when it isn't current, and until when it waits for peers.
    outdated: Option<(Time, Time)>,
}

impl View {
    /// Returns the view of a process that starts at `now`; `is_alone` if it has no peers.
    #[must_use]
    pub fn open(is_alone: bool, now: Time) -> Self {
        Self {
            last_round: now,
            outdated: (!is_alone).then_some((now, now + START_TIMEOUT)),
        }
    }

    /// Records the beginning of a round of updates; returns the time since the one before.
    pub fn begin_round(&mut self, now: Time) -> Span {
        let gap = self.last_round.until(now);
        if gap > MAX_ROUND_GAP {
            self.outdated = Some((now, now + UPDATE_TIMEOUT));
        }
        self.last_round = now;
        gap
    }

    /// Returns whether the view has become current by the answers of `peers`, or because the
    /// time for them is over.
    pub fn settle(&mut self, peers: &PeerTable, now: Time) -> bool {
        let is_over = |(since, until): (Time, Time)| now >= until || peers.has_asked(since);
        let settles = self.outdated.is_some_and(is_over);
        if settles {
            self.outdated = None;
        }
        settles
    }

    /// Returns whether the process may act on what it knows.
    #[must_use]
    pub fn is_current(&self, now: Time) -> bool {
        self.outdated.is_none() && self.last_round.until(now) <= MAX_ROUND_GAP
    }
}
