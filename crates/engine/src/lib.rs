//! The HTTP interface towards model engines.
//!
//! - [`chat`]: a streamed chat.
//! - [`control`]: load, orders and cancellation.
//! - [`error`]: what can go wrong.
//! - [`link`]: a request over a connection of its own.

pub mod chat;
pub mod control;
pub mod error;
pub mod link;

pub use crate::chat::Chat;
pub use crate::chat::Event;
pub use crate::chat::Stream;
pub use crate::control::Load;
pub use crate::error::EngineError;
