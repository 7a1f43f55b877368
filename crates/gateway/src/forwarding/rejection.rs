//! The causes for which the gateway itself rejects a request, with their statuses and
//! messages.

use ledger::grants::ChargeError;
use routing::admission;

/// Why the gateway rejects a request; the variant's name is logged as `cause`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RejectionCause {
    /// This process has no configuration yet.
    Unconfigured,
    /// The configuration here lacks what the request needs, or is overdue for a newer one,
    /// and isn't known to be the latest.
    StaleConfig,
    /// No route matches the request.
    NoRoute,
    /// The API key is missing or belongs to no team.
    InvalidKey,
    /// The team's remaining budget doesn't cover the tokens that the request may use.
    BudgetExhausted,
    /// No grant arrived in time, for this reason.
    GrantUnavailable(ChargeError),
    /// No witness is reachable, so this process may not spend more tokens.
    NoWitness,
    /// No engine can start the request in time; the expected wait for capacity is in
    /// milliseconds.
    Overloaded(f64),
    /// Engines crash on this segment of the prompt.
    BlockedSegment(u64),
    /// No engine is available.
    NoEngine,
    /// All engines asked for a pause; the first one ends after this time, in milliseconds.
    EnginesPaused(u64),
    /// No engine executed the request.
    NotRun,
    /// The process shuts down and may end before the request's deadline.
    Stopping,
    /// An engine may have executed the request but did not respond.
    Unknown,
    /// The process ends before the request does.
    Interrupted,
    /// The deadline passed before an engine responded.
    DeadlineExceeded {
        /// Whether the request was sent to an engine.
        sent: bool,
    },
}

impl RejectionCause {
    /// Returns the status code.
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::InvalidKey => 401,
            Self::BudgetExhausted => 402,
            Self::Unconfigured
            | Self::StaleConfig
            | Self::GrantUnavailable(_)
            | Self::NoWitness
            | Self::BlockedSegment(_)
            | Self::Overloaded(_)
            | Self::NoEngine
            | Self::EnginesPaused(_)
            | Self::NotRun
            | Self::Stopping
            | Self::DeadlineExceeded { sent: false } => 503,
            Self::Unknown | Self::Interrupted => 502,
            Self::DeadlineExceeded { sent: true } => 504,
        }
    }

    /// Returns whether the request is rejected for what the configuration lacks.
    pub fn is_denial(self) -> bool {
        matches!(self, Self::NoRoute | Self::InvalidKey)
    }

    /// Returns whether the caller's next request should go to another process.
    pub fn closes_connection(self) -> bool {
        matches!(self, Self::NoWitness | Self::Interrupted)
    }

    /// Returns the response body: the reason, for the caller's log.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Unconfigured => {
                "no configuration is in force here yet; the request did not run\n"
            }
            Self::StaleConfig => {
                "the latest configuration isn't in force here yet; the request did not run\n"
            }
            Self::NoRoute => "no such route\n",
            Self::InvalidKey => "unknown key\n",
            Self::BudgetExhausted => "the team's budget does not cover the request\n",
            Self::GrantUnavailable(_) | Self::NoWitness => {
                "the team's budget can't be reached; the request did not run\n"
            }
            Self::Overloaded(_) => "all endpoints are busy; the request did not run\n",
            Self::BlockedSegment(_) => {
                "endpoints crash on a part of this prompt; the request did not run\n"
            }
            Self::NoEngine => "no endpoint is available; the request did not run\n",
            Self::EnginesPaused(_) => "all endpoints want a pause; the request did not run\n",
            Self::NotRun => "the endpoints had no room; the request did not run\n",
            Self::Stopping => "this process stops; the request did not run\n",
            Self::Unknown => "the endpoint failed; whether the request ran is unknown\n",
            Self::Interrupted => "this process stops; whether the request ran is unknown\n",
            Self::DeadlineExceeded { sent: false } => "the time is over; the request did not run\n",
            Self::DeadlineExceeded { sent: true } => {
                "the time is over; whether the request ran is unknown\n"
            }
        }
    }

    /// Returns the retry delay to state, in milliseconds, if the caller has `remaining_ms`
    /// left; `None` if the response states none.
    pub fn retry_after_ms(self, remaining_ms: u64) -> Option<u64> {
        if let Self::EnginesPaused(ms) = self {
            return Some(admission::pause_retry_after_ms(ms, remaining_ms));
        }
        let wait_ms = self.capacity_wait_ms()?;
        Some(admission::retry_after_ms(wait_ms, remaining_ms))
    }

    /// Returns the expected wait for capacity, in milliseconds.
    fn capacity_wait_ms(self) -> Option<f64> {
        match self {
            Self::Overloaded(ms) => Some(ms),
            Self::Unconfigured | Self::NoEngine | Self::GrantUnavailable(_) => Some(400.0),
            Self::NotRun | Self::StaleConfig => Some(300.0),
            // Another process can accept the request immediately.
            Self::Stopping | Self::NoWitness => Some(0.0),
            _ => None,
        }
    }
}
