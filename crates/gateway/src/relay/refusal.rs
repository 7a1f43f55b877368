//! Why a request isn't answered by an engine.

use ledger::grants::ChargeError;

/// Why a request isn't answered by an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refuse {
    /// No configuration is known.
    Unconfigured,
    /// No route matches.
    NoRoute,
    /// No team holds the key.
    NoKey,
    /// The team's total doesn't cover the request at its most.
    Budget,
    /// No grant came in time, and why.
    Grant(ChargeError),
    /// No witness can be reached, so that nothing more may be spent here.
    Unwitnessed,
    /// No engine could start it in time.
    Busy(f64),
    /// No engine is known.
    Nowhere,
    /// No engine ran it.
    NotRun,
    /// The process stops before the request's time is over.
    Stopping,
    /// An engine may have run it and didn't answer.
    Unknown,
    /// The time was over before an engine answered.
    Late {
        /// Whether it was sent.
        sent: bool,
    },
}

impl Refuse {
    /// Returns the status.
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::NoKey => 401,
            Self::Budget => 402,
            Self::Unconfigured
            | Self::Grant(_)
            | Self::Unwitnessed
            | Self::Busy(_)
            | Self::Nowhere
            | Self::NotRun
            | Self::Stopping
            | Self::Late { sent: false } => 503,
            Self::Unknown => 502,
            Self::Late { sent: true } => 504,
        }
    }

    /// Returns the reason for the caller's log.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Unconfigured => {
                "no configuration is in force here yet; the request did not run\n"
            }
            Self::NoRoute => "no such route\n",
            Self::NoKey => "unknown key\n",
            Self::Budget => "the team's budget does not cover the request\n",
            Self::Grant(_) | Self::Unwitnessed => {
                "the team's budget can't be reached; the request did not run\n"
            }
            Self::Busy(_) => "all endpoints are busy; the request did not run\n",
            Self::Nowhere => "no endpoint is available; the request did not run\n",
            Self::NotRun => "the endpoints had no room; the request did not run\n",
            Self::Stopping => "this process stops; the request did not run\n",
            Self::Unknown => "the endpoint failed; whether the request ran is unknown\n",
            Self::Late { sent: false } => "the time is over; the request did not run\n",
            Self::Late { sent: true } => "the time is over; whether the request ran is unknown\n",
        }
    }

    /// Returns when room is expected, in milliseconds.
    pub fn room_ms(self) -> Option<f64> {
        match self {
            Self::Busy(ms) => Some(ms),
            Self::Unconfigured | Self::Nowhere | Self::Grant(_) => Some(400.0),
            Self::NotRun => Some(300.0),
            // Another process can take it at once.
            Self::Stopping | Self::Unwitnessed => Some(0.0),
            _ => None,
        }
    }
}
