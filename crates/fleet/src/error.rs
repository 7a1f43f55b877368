//! Errors of the transport between processes.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Why a message was not exchanged with another process.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The connection could not be established; nothing was sent.
    #[error("no connection to the peer: {0}")]
    Connect(String),
    /// The connection was lost; what was sent may have arrived.
    #[error("the connection broke: {0}")]
    ConnectionLost(String),
    /// No response arrived in time; what was sent may have arrived.
    #[error("no answer came in time")]
    Timeout,
    /// A message is longer than allowed.
    #[error("a message of {0} bytes is too long")]
    TooLong(usize),
    /// A message can't be encoded or decoded.
    #[error("a message can't be read: {0}")]
    Codec(#[from] postcard::Error),
    /// A certificate or key file can't be used.
    #[error("{}: {reason}", path.display())]
    Credentials {
        /// The file.
        path: PathBuf,
        /// The cause.
        reason: String,
    },
    /// The address can't be bound.
    #[error("the address can't be used: {0}")]
    Bind(#[from] io::Error),
    /// The peer doesn't support this message.
    #[error("the peer does not take this message")]
    Unsupported,
}

impl FleetError {
    /// Returns whether the message can't have reached the peer.
    #[must_use]
    pub fn never_sent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::TooLong(_))
    }
}
