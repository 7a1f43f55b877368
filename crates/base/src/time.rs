//! Monotonic instants and durations in microseconds.
//!
//! Decision logic never reads a clock. It takes a [`Time`] as an argument, so that a
//! test can replay it from a seed. An instant is only meaningful within its own
//! process.

use std::ops::Add;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Span(pub u64);

impl Span {
    /// Returns a span of `ms` milliseconds, or the longest span.
    #[must_use]
    pub const fn millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// Returns a span of `s` seconds, or the longest span.
    #[must_use]
    pub const fn secs(s: u64) -> Self {
        Self(s.saturating_mul(1_000_000))
    }

    /// Returns the span in whole milliseconds.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span in seconds.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "spans stay far below 2^52 microseconds"
    )]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the span extended by a clock drift of `ppm` parts per million, rounded
    /// up.
    #[must_use]
    pub const fn with_drift(self, ppm: u64) -> Self {
        Self(self.0 + (self.0 * ppm).div_ceil(1_000_000))
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        Self::from_micros(span.0)
    }
}

/// An instant in microseconds since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// Returns the span since `earlier`, or zero if `earlier` is after this instant.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Returns the span until `later`, or zero if `later` is before this instant.
    #[must_use]
    pub const fn until(self, later: Self) -> Span {
        Span(later.0.saturating_sub(self.0))
    }
}

impl Add<Span> for Time {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

/// The process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Returns a clock that reads zero at the time of this call.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current instant.
    #[must_use]
    pub fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros();
        Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
