//! HTTP/1.1 parsing and writing for a forwarding gateway, as pure functions over bytes.
//!
//! - [`body`]: decoding of message bodies.
//! - [`event_stream`]: event boundaries in a `text/event-stream` body.
//! - [`head`]: strict parsing of request and response heads.
//! - [`write`]: writing of heads and chunks.

pub mod body;
pub mod event_stream;
pub mod head;
pub mod write;

pub use crate::body::BodyDecoder;
pub use crate::head::Framing;
pub use crate::head::HeadError;
pub use crate::head::RequestHead;
pub use crate::head::ResponseHead;
