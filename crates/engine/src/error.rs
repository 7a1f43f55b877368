//! What can go wrong with an endpoint.

use std::io;

use thiserror::Error;

/// A failure of an endpoint.
#[derive(Debug, Error)]
pub enum EngineError {
    /// No connection could be made: nothing was sent.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The connection broke or the answer is no HTTP.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// The endpoint answered with an error status.
    #[error("status {0}")]
    Status(u16),
    /// An event can't be read.
    #[error("an event can't be read: {0}")]
    Event(#[from] serde_json::Error),
    /// The answer belongs to another request.
    #[error("the answer belongs to another request")]
    OtherRequest,
    /// No event came in time.
    #[error("no event came in time")]
    Stalled,
    /// The stream ended without its last event.
    #[error("the stream ended early")]
    Short,
}

impl EngineError {
    /// Returns whether the request can't have reached the endpoint.
    #[must_use]
    pub fn never_sent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}
