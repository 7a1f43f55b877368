//! The HTTP interface towards callers.
//!
//! - [`chat`]: chat requests and the events of their answers.
//! - [`error`]: typed errors that say whether the request ran.
//! - [`inbound`]: what a request says of its sender, key and body.

pub mod chat;
pub mod error;
pub mod inbound;

pub use crate::chat::ChatRequest;
pub use crate::error::CallerError;
pub use crate::error::Ran;
pub use crate::inbound::Inbound;
