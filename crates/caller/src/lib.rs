//! The HTTP interface for callers: request parsing, responses and errors.
//!
//! - [`chat`]: chat requests and their responses.
//! - [`error`]: errors, with the HTTP status and whether the request ran.
//! - [`inbound`]: credentials, idempotency key and body of a request.

pub mod chat;
pub mod error;
pub mod inbound;

pub use crate::chat::ChatRequest;
pub use crate::error::CallerError;
pub use crate::error::ExecutionState;
pub use crate::inbound::InboundRequest;
