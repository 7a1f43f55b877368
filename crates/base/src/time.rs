//! Monotonic instants and spans.
//!
//! Decisions never read a clock: they take a [`Time`] as an input, so that a
//! seed replays them. An instant is only meaningful inside its own process.

use std::ops::Add;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Span(pub u64);

impl Span {
    /// Returns a span of `ms` milliseconds.
    #[must_use]
    pub const fn millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns a span of `s` seconds.
    #[must_use]
    pub const fn secs(s: u64) -> Self {
        Self(s * 1_000_000)
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

    /// Returns the span lengthened by a clock drift of `ppm` parts in a million.
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
    /// Returns the span from `earlier`, or zero where `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Returns the span that is left until `later`, or zero.
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
    /// Returns a clock that starts at zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the present instant.
    #[must_use]
    pub fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros();
        Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
