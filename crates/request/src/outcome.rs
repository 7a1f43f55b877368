//! The outcome of a request as reported to its caller.

use base::Tokens;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::frame::Refusal;

/// The reason why a request did not run and never will under its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum NotRun {
    /// The team's budget does not cover the request.
    #[error("the budget does not cover the request")]
    BudgetExceeded,
    /// No endpoint serves the model.
    #[error("no endpoint serves the request")]
    NoEndpoint,
    /// No endpoint has capacity before the deadline.
    #[error("no endpoint has room")]
    Overload,
    /// No quorum of keepers recorded the claim on a non-repeatable call.
    #[error("no quorum of keepers can be reached")]
    NoQuorum,
    /// No keeper can be reached and no lease is valid.
    #[error("no lease is in force")]
    NoLease,
    /// The deadline passed before the request started.
    #[error("the deadline has passed")]
    DeadlinePassed,
    /// The process is shutting down.
    #[error("this instance is stopping")]
    ShuttingDown,
    /// The agent refused the request.
    #[error("{0}")]
    Refused(Refusal),
    /// The team's budget may cover the request, but the tokens are held elsewhere or no
    /// keeper answers.
    #[error("the team's tokens are not available now")]
    TokensUnavailable,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request has not run and will not run.
    NotRun(NotRun),
    /// The request may have run; the caller may ask again with the same key.
    Unknown,
    /// The request ran and its answer is complete.
    Finished {
        /// Tokens billed.
        billed: Tokens,
    },
}
