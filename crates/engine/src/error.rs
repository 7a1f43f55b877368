//! Errors of requests to endpoints.

use std::io;

use thiserror::Error;

/// Why a request to an endpoint failed.
#[derive(Debug, Error)]
pub enum EngineError {
    /// The connection could not be established; nothing was sent.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The connection broke, or the response or its stream is invalid.
    #[error("the connection broke: {0}")]
    BrokenStream(String),
    /// The endpoint returned an error status.
    #[error("status {0}")]
    Status(u16),
    /// An event or a response body is not the expected JSON.
    #[error("an event can't be read: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// The response carries the identifier of another request.
    #[error("the answer belongs to another request")]
    RequestMismatch,
    /// No event arrived within the timeout.
    #[error("no event came in time")]
    Stalled,
    /// The endpoint sent more than is accepted.
    #[error("the response is too long")]
    TooLong,
    /// The stream or the body ended early.
    #[error("the stream ended early")]
    Truncated,
}

impl EngineError {
    /// Returns whether the request certainly did not reach the endpoint.
    #[must_use]
    pub fn never_sent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}
