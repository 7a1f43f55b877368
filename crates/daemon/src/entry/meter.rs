//! Counts for metrics and the service-level report.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use host::metrics::IntCounter;
use host::metrics::IntGauge;
use host::metrics::Metrics;
use serde::Deserialize;
use serde::Serialize;

use super::tables::lock;

/// Length of one slot of the service-level counts, in seconds.
pub const SLOT_SECS: u64 = 60;

/// Slots kept: three days.
const SLOTS: usize = 3 * 24 * 60;

/// How requests of one team fared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answered whole, once and in time.
    pub good: u64,
    /// Answered whole, but late.
    pub late: u64,
    /// Refused for want of budget; counts as neither good nor bad.
    pub budget: u64,
    /// Refused or lost.
    pub bad: u64,
}

impl Tally {
    /// Adds another tally.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.late += other.late;
        self.budget += other.budget;
        self.bad += other.bad;
    }

    /// Returns the requests that count for the objective.
    #[must_use]
    pub fn counted(&self) -> u64 {
        self.good + self.late + self.bad
    }
}

/// Counts by slot and team.
pub type Slots = BTreeMap<u64, BTreeMap<String, Tally>>;

/// The counts of one entry.
#[derive(Debug)]
pub struct Meter {
    /// Requests received.
    pub requests: IntCounter,
    /// Requests answered whole.
    pub answered: IntCounter,
    /// Requests refused as not run.
    pub refused: IntCounter,
    /// Requests whose outcome is unknown.
    pub unknown: IntCounter,
    /// Attempts after the first.
    pub retries: IntCounter,
    /// Frames that belonged elsewhere.
    pub dropped: IntCounter,
    /// Tokens billed.
    pub tokens: IntCounter,
    /// Requests refused for want of budget.
    pub short: IntCounter,
    /// Requests that waited for an endpoint.
    pub queued: IntCounter,
    /// Answers under way.
    pub open: IntGauge,
    slots: Mutex<Slots>,
}

impl Meter {
    /// Registers the counts.
    #[must_use]
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            requests: metrics.counter("entry_requests", "Requests received"),
            answered: metrics.counter("entry_answered", "Requests answered whole"),
            refused: metrics.counter("entry_refused", "Requests refused as not run"),
            unknown: metrics.counter("entry_unknown", "Requests whose outcome is unknown"),
            retries: metrics.counter("entry_retries", "Attempts after the first"),
            dropped: metrics.counter("entry_frames_dropped", "Frames that belonged elsewhere"),
            tokens: metrics.counter("entry_tokens", "Tokens billed"),
            short: metrics.counter(
                "entry_budget_refused",
                "Requests refused for want of budget",
            ),
            queued: metrics.counter("entry_queued", "Requests that waited for an endpoint"),
            open: metrics.gauge("entry_open", "Answers under way"),
            slots: Mutex::default(),
        }
    }

    /// Adds to a team's tally at `unix` seconds.
    pub fn tally(&self, team: &Arc<str>, unix: u64, tally: &Tally) {
        let mut slots = lock(&self.slots);
        let slot = slots.entry(unix / SLOT_SECS).or_default();
        slot.entry(team.to_string()).or_default().add(tally);
        while slots.len() > SLOTS {
            slots.pop_first();
        }
    }

    /// Returns the tallies.
    #[must_use]
    pub fn slots(&self) -> Slots {
        lock(&self.slots).clone()
    }
}
