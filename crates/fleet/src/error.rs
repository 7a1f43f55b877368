//! What can go wrong on the way to another process.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// A failure between two processes.
#[derive(Debug, Error)]
pub enum FleetError {
    /// No connection could be made: nothing was sent.
    #[error("no connection to the peer: {0}")]
    Connect(String),
    /// The connection broke; what was sent may have arrived.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// No answer came in time; what was sent may have arrived.
    #[error("no answer came in time")]
    Timeout,
    /// A message is longer than allowed.
    #[error("a message of {0} bytes is too long")]
    TooLong(usize),
    /// A message can't be read.
    #[error("a message can't be read: {0}")]
    Codec(#[from] postcard::Error),
    /// A file of keys can't be used.
    #[error("{}: {reason}", path.display())]
    Keys {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// The address can't be used.
    #[error("the address can't be used: {0}")]
    Bind(#[from] io::Error),
    /// The peer can't answer this.
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
