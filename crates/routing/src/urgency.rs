//! What it costs a caller if its request starts later.
//!
//! An answer within the latency target has its full value, one at the target half of it, and
//! that half declines evenly to nothing at the deadline. The cost of delay is the value that a
//! request loses in each millisecond that it doesn't start, so a request just before its target
//! comes first, and one that is late anyway gives way.

use base::Span;
use base::Time;

/// Fraction of an answer's value that is left just after its latency target.
const LATE_VALUE: f64 = 0.5;

/// Factor between the weights of two neighbouring priorities.
const PRIORITY_FACTOR: f64 = 4.0;

/// Lowest priority that is told apart from lower ones.
const MAX_PRIORITY: u8 = 3;

/// Work up to which requests count as equally short, in tokens.
const SHORT_WORK: f64 = 1_000.0;

/// Fraction of the latency target below which the time left until a late start isn't told
/// apart; estimates aren't more exact.
const SLACK_GRAIN: f64 = 0.25;

/// Fraction of the latency target within which the expected first token must lie, by priority.
/// The remainder covers estimation error.
const TARGET_FRACTION_BY_PRIORITY: [f64; 3] = [1.0, 0.85, 0.7];

/// Fraction of that time for which a request that is late anyway may queue at an engine: enough
/// to keep the engine busy until it's told of the next one. The rest is kept for requests that
/// can be in time.
pub const LATE_QUEUE_FRACTION: f64 = 0.1;

/// What a request needs, from the configuration, its headers and the engines' rates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestNeed {
    /// The priority; zero is the most urgent.
    pub priority: u8,
    /// When the request arrived.
    pub arrived: Time,
    /// The latency target.
    pub target: Span,
    /// When its caller no longer waits.
    pub deadline: Time,
    /// The prompt and output tokens; zero for a service without a model.
    pub work: u64,
    /// The time to first token at an idle engine without cached segments, in milliseconds.
    pub idle_ms: f64,
    /// The team, by the hash of its name.
    pub team: u64,
    /// The length of the body.
    pub bytes: u64,
}

#[allow(clippy::cast_precision_loss)]
fn millis(span: Span) -> f64 {
    span.0 as f64 / 1e3
}

impl RequestNeed {
    fn target_ms(&self) -> f64 {
        millis(self.target).max(1.0)
    }

    /// Returns the time until the latency target, in milliseconds.
    #[must_use]
    pub fn target_left_ms(&self, now: Time) -> f64 {
        millis(now.until(self.arrived + self.target))
    }

    /// Returns the time until the deadline, in milliseconds.
    #[must_use]
    pub fn time_left_ms(&self, now: Time) -> f64 {
        millis(now.until(self.deadline))
    }

    /// Returns the time that the first token may take by the priority's share of the target.
    #[must_use]
    pub fn target_share_ms(&self) -> f64 {
        let index = usize::from(self.priority).min(TARGET_FRACTION_BY_PRIORITY.len() - 1);
        self.target_ms() * TARGET_FRACTION_BY_PRIORITY[index]
    }

    /// Returns the longest expected time to first token that isn't the last at which the request
    /// can start in time, in milliseconds; infinite for one that is late anyway.
    #[must_use]
    pub fn spare_ttft_ms(&self, now: Time) -> f64 {
        if self.can_be_in_time(now) {
            self.target_left_ms(now) - SLACK_GRAIN * self.target_ms()
        } else {
            f64::INFINITY
        }
    }

    /// Returns whether the first token can still come within the latency target.
    #[must_use]
    pub fn can_be_in_time(&self, now: Time) -> bool {
        self.idle_ms <= self.target_share_ms().min(self.target_left_ms(now))
    }

    /// Returns the longest expected time to first token with which the request starts, in
    /// milliseconds. It declines as the request waits: a request that is late anyway starts
    /// where few others queue.
    #[must_use]
    pub fn max_ttft_ms(&self, now: Time) -> f64 {
        let share = self.target_share_ms();
        // Queues of services without a model last milliseconds; estimates aren't as exact.
        if self.work == 0 {
            return share.min(self.time_left_ms(now));
        }
        let late = self.idle_ms + LATE_QUEUE_FRACTION * share;
        let limit = if self.can_be_in_time(now) {
            self.target_left_ms(now).max(late).min(share)
        } else {
            late
        };
        limit.min(self.time_left_ms(now))
    }

    /// Returns the value that is lost in each millisecond of delay, per unit of work.
    ///
    /// `team_excess` is the team's demand as a multiple of its usual one. The work counts by
    /// its root: short requests come first, but a prompt of ten times the length doesn't have
    /// to wait ten times as long.
    #[must_use]
    pub fn cost_of_delay(&self, team_excess: f64, now: Time) -> f64 {
        let target = self.target_ms();
        let loss = if self.can_be_in_time(now) {
            let slack = self.target_left_ms(now) - self.idle_ms;
            (1.0 - LATE_VALUE) / (slack + SLACK_GRAIN * target)
        } else {
            let late_ms = millis((self.arrived + self.target).until(self.deadline));
            LATE_VALUE / late_ms.max(target)
        };
        let weight = PRIORITY_FACTOR.powi(-i32::from(self.priority.min(MAX_PRIORITY)));
        #[allow(clippy::cast_precision_loss)]
        let work = (self.work as f64 / SHORT_WORK).max(1.0).sqrt();
        let waited = millis(self.arrived.until(now));
        loss * weight * (1.0 + waited / target) / (work * team_excess.max(1.0))
    }
}
