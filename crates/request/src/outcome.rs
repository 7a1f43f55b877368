//! What a caller is told.

use base::Tokens;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::frame::Refusal;

/// Why a request did not run and never will under its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum NotRun {
    /// The team's budget doesn't cover the request.
    #[error("the budget does not cover the request")]
    Budget,
    /// No endpoint serves the model.
    #[error("no endpoint serves the request")]
    NoEndpoint,
    /// No endpoint has room before the deadline.
    #[error("no endpoint has room")]
    Overload,
    /// No quorum of keepers recorded the claim of a non-repeatable call.
    #[error("no quorum of keepers can be reached")]
    NoQuorum,
    /// No keeper can be reached and no lease lasts.
    #[error("no lease is in force")]
    NoLease,
    /// The deadline passed before the start.
    #[error("the deadline has passed")]
    Deadline,
    /// The process is stopping.
    #[error("this instance is stopping")]
    Stopping,
    /// The agent refused.
    #[error("{0}")]
    Refused(Refusal),
}

/// What came of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request has not run and will not run.
    NotRun(NotRun),
    /// The request may have run; the key may be asked again.
    Unknown,
    /// The request ran and its answer is whole.
    Finished {
        /// Tokens billed.
        billed: Tokens,
    },
}
