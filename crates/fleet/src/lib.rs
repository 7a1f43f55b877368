//! Messages and transport between processes of the fleet.
//!
//! - [`codec`]: length-prefixed messages on a stream.
//! - [`error`]: what can go wrong on the way.
//! - [`keys`]: the fleet's authority and the processes' certificates.
//! - [`mesh`]: messages between processes that forward requests as they are.
//! - [`node`]: one process's connections.
//! - [`runtime`]: the transport's use of the worker pool.
//! - [`wire`]: the messages.

pub mod codec;
pub mod error;
pub mod keys;
pub mod mesh;
pub mod node;
pub mod runtime;
pub mod wire;

pub use crate::error::FleetError;
pub use crate::keys::Keys;
pub use crate::node::Frames;
pub use crate::node::Node;
pub use crate::node::Service;
pub use crate::wire::Answer;
pub use crate::wire::Ask;
