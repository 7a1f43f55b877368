//! The budget for retries on another endpoint, shared by all entries.
//!
//! When the endpoints of a service fail together, every request would be retried, and
//! the retries alone would keep the remaining endpoints from recovering. The limit
//! applies to the sum over all entries in any window, so each entry limits its own
//! retries to the ratio of its own requests and an equal share of the base retries.

use base::Map;
use base::Span;
use base::Time;

/// Number of buckets in a window.
const BUCKETS_PER_WINDOW: usize = 10;

/// Fraction of the limit that is used. The remainder covers retries of other entries
/// that are not reported yet.
const USABLE_BUDGET_FRACTION: f64 = 0.7;

/// The limits on retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries per request.
    pub retry_ratio: f64,
    /// Retries allowed in a window in addition to the ratio.
    pub base_retries: f64,
    /// The length of the window.
    pub window: Span,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service in the last window.
#[derive(Clone, Copy, Debug, Default)]
struct WindowCounts {
    buckets: [Bucket; BUCKETS_PER_WINDOW],
}

/// One entry's share of the budget.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    limits: RetryLimits,
    services: Map<String, WindowCounts>,
}

impl SharedRetryBudget {
    /// Returns a budget within `limits`.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            services: Map::default(),
        }
    }

    fn bucket_index(&self, now: Time) -> u64 {
        let bucket_length = (self.limits.window.0 / BUCKETS_PER_WINDOW as u64).max(1);
        now.0 / bucket_length
    }

    fn current_bucket(&mut self, service: &str, now: Time) -> &mut Bucket {
        let index = self.bucket_index(now);
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), WindowCounts::default());
        }
        let counts = self.services.entry(service.to_owned()).or_default();
        let position = usize::try_from(index % BUCKETS_PER_WINDOW as u64).unwrap_or(0);
        let bucket = &mut counts.buckets[position];
        if bucket.index != index {
            *bucket = Bucket {
                index,
                ..Bucket::default()
            };
        }
        bucket
    }

    fn window_totals(&self, service: &str, now: Time) -> (u32, u32) {
        let index = self.bucket_index(now);
        let Some(counts) = self.services.get(service) else {
            return (0, 0);
        };
        let in_window = |bucket: &&Bucket| bucket.index + BUCKETS_PER_WINDOW as u64 > index;
        let buckets = counts.buckets.iter().filter(in_window);
        buckets.fold((0, 0), |(requests, retries), bucket| {
            (requests + bucket.requests, retries + bucket.retries)
        })
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, service: &str, now: Time) {
        self.current_bucket(service, now).requests += 1;
    }

    /// Returns whether a request may be retried, and counts the retry.
    ///
    /// `entry_count` is the number of entries that share the budget.
    pub fn try_retry(&mut self, service: &str, entry_count: usize, now: Time) -> bool {
        let (requests, retries) = self.window_totals(service, now);
        #[allow(clippy::cast_precision_loss)]
        let base_retries = self.limits.base_retries / entry_count.max(1) as f64;
        let allowed =
            USABLE_BUDGET_FRACTION * (self.limits.retry_ratio * f64::from(requests) + base_retries);
        let within_budget = f64::from(retries) + 1.0 <= allowed;
        if within_budget {
            self.current_bucket(service, now).retries += 1;
        }
        within_budget
    }
}
