//! Whether an engine takes new requests, and if not why and until when.
//!
//! Every decision to send a request to an engine asks [`EngineStatus::at`]. Requests that
//! an engine already works on are not affected.
//!
//! An exclusion comes from the directory and ends as [`Exclusion`] says. An engine that
//! asked for a pause is sent nothing before its end, not even a probe: it said itself when
//! it can work again, and each probe would cost a caller a rejection. After a failure that
//! names no time, the engine is in backoff, and is used if no other engine is available.

use base::Span;
use base::Time;

/// Longest pause that an engine can ask for. It's shorter than the time for which the
/// directory remembers a silent engine, so that a pause ends before it is forgotten.
pub const MAX_PAUSE: Span = Span::millis(100_000);

/// First backoff after an engine was unavailable. It doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Span = Span::millis(400);

/// Maximum backoff.
const MAX_BACKOFF: Span = Span::millis(3_200);

/// Why the directory excludes an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// An answer said that the engine leaves. Ends with a later run.
    Leaving,
    /// An announcement said that the engine drains. Ends with a later run.
    Draining,
    /// The run has ended. Ends with a later run.
    Ended,
    /// A later run of another engine uses the address. Ends with a later run.
    Superseded,
    /// Announcements are overdue. Ends with the next one.
    Silent,
    /// The operators have ordered to evacuate its failure domain. Ends when they withdraw the
    /// order.
    Evacuated,
}

/// Whether an engine takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It does.
    Available,
    /// It was unreachable or had no capacity; it's used if no other engine is available.
    Backoff {
        /// The end of the backoff.
        until: Time,
    },
    /// It asked for a pause and is sent nothing.
    Paused {
        /// The end of the pause.
        until: Time,
    },
    /// The directory excludes it, and it is sent nothing.
    Excluded(Exclusion),
}

impl Availability {
    /// The labels of all states, for logs and metrics.
    pub const LABELS: [&'static str; 9] = [
        "available",
        "backoff",
        "paused",
        "leaving",
        "draining",
        "ended",
        "superseded",
        "silent",
        "evacuated",
    ];

    /// Returns the label of the state.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Available => "available",
            Self::Backoff { .. } => "backoff",
            Self::Paused { .. } => "paused",
            Self::Excluded(Exclusion::Leaving) => "leaving",
            Self::Excluded(Exclusion::Draining) => "draining",
            Self::Excluded(Exclusion::Ended) => "ended",
            Self::Excluded(Exclusion::Superseded) => "superseded",
            Self::Excluded(Exclusion::Silent) => "silent",
            Self::Excluded(Exclusion::Evacuated) => "evacuated",
        }
    }

    /// Returns whether a request may be sent to the engine at all.
    #[must_use]
    pub fn allows_requests(self) -> bool {
        matches!(self, Self::Available | Self::Backoff { .. })
    }
}

/// What decides whether one run of an engine takes new requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineStatus {
    exclusion: Option<Exclusion>,
    paused_until: Time,
    backoff_until: Time,
    failure_streak: u32,
}

impl EngineStatus {
    /// Returns whether the engine takes new requests at `now`.
    #[must_use]
    pub fn at(&self, now: Time) -> Availability {
        if let Some(exclusion) = self.exclusion {
            return Availability::Excluded(exclusion);
        }
        if self.paused_until > now {
            return Availability::Paused {
                until: self.paused_until,
            };
        }
        if self.backoff_until > now {
            return Availability::Backoff {
                until: self.backoff_until,
            };
        }
        Availability::Available
    }

    /// Returns whether the directory excludes the engine.
    #[must_use]
    pub fn is_excluded(&self) -> bool {
        self.exclusion.is_some()
    }

    /// Sets whether the directory excludes the engine. Its failures don't count after an
    /// exclusion; a pause does.
    pub fn set_exclusion(&mut self, exclusion: Option<Exclusion>) {
        if exclusion.is_some() {
            self.backoff_until = Time::default();
            self.failure_streak = 0;
        }
        self.exclusion = exclusion;
    }

    /// Records that the engine asked for a pause, [`MAX_PAUSE`] at most. A shorter one
    /// doesn't end a pause early.
    pub fn record_pause(&mut self, pause: Span, now: Time) {
        self.paused_until = self.paused_until.max(now + pause.min(MAX_PAUSE));
    }

    /// Records that the engine was unreachable or had no capacity.
    pub fn record_unavailable(&mut self, now: Time) {
        let backoff = MIN_BACKOFF.0 << self.failure_streak.min(3);
        self.failure_streak += 1;
        self.backoff_until = now + Span(backoff.min(MAX_BACKOFF.0));
    }

    /// Records that the engine has begun to answer a request.
    pub fn record_response(&mut self) {
        self.failure_streak = 0;
    }
}
