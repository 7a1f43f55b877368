//! The adaptive concurrency limit of an endpoint, from the latency and failures of its
//! responses (additive increase, multiplicative decrease).

use base::Span;

/// Minimum limit, in requests.
const MIN_LIMIT_REQUESTS: f64 = 1.0;

/// Factor by which a slow or failed response reduces the limit.
const DECREASE_FACTOR: f64 = 0.9;

/// A concurrency limit with additive increase and multiplicative decrease.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    value: f64,
    ceiling: f64,
}

impl ConcurrencyLimit {
    /// Returns the limit of an endpoint that announces `max_requests` concurrent requests.
    #[must_use]
    pub fn new(max_requests: u32) -> Self {
        let ceiling = f64::from(max_requests.max(1));
        Self {
            value: ceiling,
            ceiling,
        }
    }

    /// Returns the limit, in requests.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "between one and the ceiling"
    )]
    pub fn get(&self) -> u32 {
        self.value as u32
    }

    /// Updates the maximum number of requests that the endpoint announces.
    pub fn set_ceiling(&mut self, max_requests: u32) {
        let ceiling = f64::from(max_requests.max(1));
        if (ceiling - self.ceiling).abs() > f64::EPSILON {
            // A limit at its ceiling follows the announced maximum.
            let at_ceiling = self.value >= self.ceiling;
            self.ceiling = ceiling;
            self.value = if at_ceiling {
                ceiling
            } else {
                self.value.clamp(MIN_LIMIT_REQUESTS, ceiling)
            };
        }
    }

    /// Records the time to first token of a response, against its target.
    pub fn record_latency(&mut self, ttft: Span, target: Span) {
        if ttft > target {
            self.record_failure();
        } else {
            self.value = (self.value + 1.0 / self.value).min(self.ceiling);
        }
    }

    /// Records a failed request.
    pub fn record_failure(&mut self) {
        self.value = (self.value * DECREASE_FACTOR).max(MIN_LIMIT_REQUESTS);
    }
}
