//! HTTP/1.1 for opaque forwarding, as pure functions over bytes.
//!
//! - [`body`]: where a body ends, and its bytes without the framing.
//! - [`event`]: the events of a `text/event-stream` body.
//! - [`head`]: heads of requests and responses, read strictly.
//! - [`write`]: heads and chunks to send.

pub mod body;
pub mod event;
pub mod head;
pub mod write;

pub use crate::body::Body;
pub use crate::head::Framing;
pub use crate::head::HeadError;
pub use crate::head::RequestHead;
pub use crate::head::ResponseHead;
