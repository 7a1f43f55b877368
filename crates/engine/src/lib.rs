//! The HTTP client for model engines.
//!
//! - [`chat`]: chat requests and their response streams.
//! - [`client`]: sends one HTTP request over a new connection.
//! - [`control`]: load reports, model loading and cancellation.
//! - [`error`]: errors of requests to endpoints.

pub mod chat;
pub mod client;
pub mod control;
pub mod error;

pub use crate::chat::ChatEvent;
pub use crate::chat::ChatRequest;
pub use crate::chat::ChatStream;
pub use crate::control::LoadReport;
pub use crate::error::EngineError;
