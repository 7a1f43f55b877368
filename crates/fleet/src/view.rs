//! Whether what a process knows of engines may be acted on.
//!
//! Peers tell a process of engines that leave as long as both run, and the replicated log keeps
//! the departures that were acknowledged. A process that has just started, or stood still for
//! longer than peers wait for it, may have missed some; its knowledge is current again once its
//! links have answered an exchange that began since and the leader has named the committed
//! departures, or they have had the time for it.

use base::Span;
use base::Time;

use crate::peers::PeerTable;
use crate::peers::UPDATE_TIMEOUT;

/// Gap between two rounds of updates from which on the process counts as having stood still.
pub const MAX_ROUND_GAP: Span = Span::millis(1_000);

/// Maximum time for which a process that has started waits for peers. Those that it is told
/// of may be down, and others find it by their own probes.
const START_TIMEOUT: Span = Span::millis(1_500);

/// Maximum time for which a process that has started waits for the replicated log. If all
/// processes start at the same time, the log has no leader before an election.
pub const LOG_TIMEOUT: Span = Span::millis(3_000);

/// What a process waits for before it acts on what it knows.
#[derive(Clone, Copy, Debug)]
struct Wait {
    /// When it started or went on.
    since: Time,
    /// Until when it waits for peers.
    peers_until: Time,
    /// Until when it waits for the replicated log.
    log_until: Time,
    /// Whether it has just started, so that it may not have heard of a replica yet.
    is_start: bool,
}

/// How a view became current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settled {
    /// Whether peers answered in time, where there are any.
    pub peers: bool,
    /// Whether the leader named the committed departures in time, where there is a log.
    pub log: bool,
}

/// The age of a process's knowledge of engines.
#[derive(Clone, Debug)]
pub struct View {
    last_round: Time,
    /// Set while the view isn't current.
    wait: Option<Wait>,
    /// Since when the process may lack committed departures.
    unconfirmed: Option<Time>,
}

impl View {
    /// Returns the view of a process that starts at `now`; `is_alone` if it has no peers,
    /// `has_log` if it has a replica of the log.
    #[must_use]
    pub fn open(is_alone: bool, has_log: bool, now: Time) -> Self {
        let waits = !is_alone || has_log;
        let peers_until = if is_alone { now } else { now + START_TIMEOUT };
        Self {
            last_round: now,
            wait: waits.then_some(Wait {
                since: now,
                peers_until,
                log_until: now + LOG_TIMEOUT,
                is_start: true,
            }),
            unconfirmed: waits.then_some(now),
        }
    }

    /// Records the beginning of a round of updates; returns the time since the one before.
    pub fn begin_round(&mut self, now: Time) -> Span {
        let gap = self.last_round.until(now);
        if gap > MAX_ROUND_GAP {
            self.wait = Some(Wait {
                since: now,
                peers_until: now + UPDATE_TIMEOUT,
                log_until: now + UPDATE_TIMEOUT,
                is_start: false,
            });
            self.unconfirmed = Some(now);
        }
        self.last_round = now;
        gap
    }

    /// Returns since when the process may lack committed departures, if it does. It asks for
    /// them also after it has stopped waiting.
    #[must_use]
    pub fn unconfirmed(&self) -> Option<Time> {
        self.unconfirmed
    }

    /// Records that the leader has named the committed departures, in answer to a request that
    /// was sent at `sent`.
    pub fn confirm(&mut self, sent: Time) {
        if self.unconfirmed.is_some_and(|since| since <= sent) {
            self.unconfirmed = None;
        }
    }

    /// Returns how the view has become current, if it has: by the answers of `peers` and of the
    /// leader, or because the time for them is over.
    pub fn settle(&mut self, peers: &PeerTable, now: Time) -> Option<Settled> {
        let wait = self.wait?;
        let has_no_log = !peers.knows_replica() && (!wait.is_start || now >= wait.peers_until);
        let settled = Settled {
            peers: peers.has_asked(wait.since),
            log: self.unconfirmed.is_none() || has_no_log,
        };
        let is_over =
            (settled.peers || now >= wait.peers_until) && (settled.log || now >= wait.log_until);
        if !is_over {
            return None;
        }
        self.wait = None;
        Some(settled)
    }

    /// Returns whether the process may act on what it knows.
    #[must_use]
    pub fn is_current(&self, now: Time) -> bool {
        self.wait.is_none() && self.last_round.until(now) <= MAX_ROUND_GAP
    }
}
