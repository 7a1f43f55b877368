//! The metrics of an entry and the request counts of the service-level report.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use host::metrics::IntCounter;
use host::metrics::IntGauge;
use host::metrics::Metrics;
use serde::Deserialize;
use serde::Serialize;

use super::tables::lock;

/// Duration of one slot of the service-level counts, in seconds.
pub const SLOT_SECS: u64 = 60;

/// Maximum number of slots kept: three days.
const MAX_SLOTS: usize = 3 * 24 * 60;

/// The outcomes of one team's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answered completely, once and within the objective.
    pub good: u64,
    /// Answered completely, but later than the objective.
    pub late: u64,
    /// Refused because the budget was exceeded; counts as neither good nor bad.
    pub budget: u64,
    /// Refused for another reason, failed, or of unknown outcome.
    pub bad: u64,
}

impl Tally {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.late += other.late;
        self.budget += other.budget;
        self.bad += other.bad;
    }

    /// Returns the number of requests that count towards the objective.
    #[must_use]
    pub fn objective_total(&self) -> u64 {
        self.good + self.late + self.bad
    }
}

/// The tallies of each slot, by team.
pub type SlotTallies = BTreeMap<u64, BTreeMap<String, Tally>>;

/// The metrics and service-level counts of one entry.
#[derive(Debug)]
pub struct EntryMetrics {
    /// Requests received.
    pub requests: IntCounter,
    /// Requests answered completely.
    pub answered: IntCounter,
    /// Requests refused as not run.
    pub refused: IntCounter,
    /// Requests whose outcome is unknown.
    pub unknown: IntCounter,
    /// Attempts after the first.
    pub retries: IntCounter,
    /// Frames dropped because they don't continue the answer.
    pub dropped_frames: IntCounter,
    /// Tokens billed.
    pub tokens: IntCounter,
    /// Requests refused because the budget was exceeded.
    pub budget_refused: IntCounter,
    /// Requests that waited for an endpoint.
    pub queued: IntCounter,
    /// Answers in progress.
    pub open_answers: IntGauge,
    slots: Mutex<SlotTallies>,
}

impl EntryMetrics {
    /// Registers the metrics.
    #[must_use]
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            requests: metrics.counter("entry_requests", "Requests received"),
            answered: metrics.counter("entry_answered", "Requests answered whole"),
            refused: metrics.counter("entry_refused", "Requests refused as not run"),
            unknown: metrics.counter("entry_unknown", "Requests whose outcome is unknown"),
            retries: metrics.counter("entry_retries", "Attempts after the first"),
            dropped_frames: metrics
                .counter("entry_frames_dropped", "Frames that belonged elsewhere"),
            tokens: metrics.counter("entry_tokens", "Tokens billed"),
            budget_refused: metrics.counter(
                "entry_budget_refused",
                "Requests refused for want of budget",
            ),
            queued: metrics.counter("entry_queued", "Requests that waited for an endpoint"),
            open_answers: metrics.gauge("entry_open", "Answers under way"),
            slots: Mutex::default(),
        }
    }

    /// Adds to a team's tally at `unix_secs`, in seconds since the Unix epoch.
    pub fn add_tally(&self, team: &Arc<str>, unix_secs: u64, tally: &Tally) {
        let mut slots = lock(&self.slots);
        let slot = slots.entry(unix_secs / SLOT_SECS).or_default();
        slot.entry(team.to_string()).or_default().add(tally);
        while slots.len() > MAX_SLOTS {
            slots.pop_first();
        }
    }

    /// Returns the tallies of all slots.
    #[must_use]
    pub fn slots(&self) -> SlotTallies {
        lock(&self.slots).clone()
    }
}
