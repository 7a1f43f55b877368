//! The budget for sending a request to a further endpoint, shared by all entries.
//!
//! Load pattern: endpoints of a service fail together, every request would be sent
//! again, and the repeats alone keep the rest from recovering. The bound is on the
//! sum over all entries in any window, so each entry counts the repeats that the
//! others report and keeps its own part of what is free.

use base::Map;
use base::Span;
use base::Time;

/// Buckets of a window.
const BUCKETS: usize = 10;

/// Part of the bound that is used; the rest covers what others did and have not
/// reported yet.
const USED: f64 = 0.7;

/// What the rules allow.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides.
    pub slack: f64,
    /// The window.
    pub window: Span,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one service in the last window.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    buckets: [Bucket; BUCKETS],
}

/// One entry's part of the budget.
#[derive(Clone, Debug)]
pub struct Repeats {
    bound: Bound,
    services: Map<String, Counts>,
}

impl Repeats {
    /// Returns the budget within `bound`.
    #[must_use]
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            services: Map::default(),
        }
    }

    fn number(&self, now: Time) -> u64 {
        let bucket = (self.bound.window.0 / BUCKETS as u64).max(1);
        now.0 / bucket
    }

    fn bucket(&mut self, service: &str, now: Time) -> &mut Bucket {
        let number = self.number(now);
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Counts::default());
        }
        let counts = self.services.entry(service.to_owned()).or_default();
        let place = usize::try_from(number % BUCKETS as u64).unwrap_or(0);
        let bucket = &mut counts.buckets[place];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }

    fn sums(&self, service: &str, now: Time) -> (u32, u32) {
        let number = self.number(now);
        let Some(counts) = self.services.get(service) else {
            return (0, 0);
        };
        let recent = |bucket: &&Bucket| bucket.number + BUCKETS as u64 > number;
        let buckets = counts.buckets.iter().filter(recent);
        buckets.fold((0, 0), |(requests, repeats), bucket| {
            (requests + bucket.requests, repeats + bucket.repeats)
        })
    }

    /// Notes a request's first send.
    pub fn request(&mut self, service: &str, now: Time) {
        self.bucket(service, now).requests += 1;
    }

    /// Returns whether a request may be sent once more, and counts it.
    ///
    /// `entries` is the number of entries that share the budget.
    pub fn repeat(&mut self, service: &str, entries: usize, now: Time) -> bool {
        let (requests, repeats) = self.sums(service, now);
        #[allow(clippy::cast_precision_loss)]
        let slack = self.bound.slack / entries.max(1) as f64;
        let allowed = USED * (self.bound.ratio * f64::from(requests) + slack);
        let free = f64::from(repeats) + 1.0 <= allowed;
        if free {
            self.bucket(service, now).repeats += 1;
        }
        free
    }
}
